//! All decisions of the controller. Its types, events, actions and settings: `src/interface.rs`.
//!
//! The basic scheme is the bang-bang control of "Congestion Avoidance with S-CSCF Selection in IMS
//! Networks" (section III): a congestion flag with hysteresis, here one for each first-hop processor.
//! `docs/design.md` lists each difference from the paper.
//! In order: delay estimate and congestion flag; admission; route choice; attempts; rule checks.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Delay above which a processor counts as congested, as a share of the mean target delay of originating
/// calls. Well under 1, because delays keep rising while earlier set-ups are worked off.
const UPPER_BOUND_SHARE: f64 = 0.35;
/// Lower bound, below which it counts as recovered, over the upper one: the paper's best pair is 60 and 80.
const LOWER_BOUND_RATIO: f64 = 0.6;
/// Limits of the upper bound as a response ratio (delay over reference delay). 3: the lowest delay of a
/// processor observed only while slow is too high a reference, which is therefore at most a third of the
/// upper bound. 80: the paper's best upper bound, for a very low reference delay.
const UPPER_RATIO_LIMITS: (f64, f64) = (3.0, 80.0);
/// Time constant, in seconds, of the exponential smoothing of delays: the design asks for about two.
const SMOOTHING_TIME_SECS: f64 = 2.0;
/// Minimum weight of one delay sample, so that a burst of answers counts too.
const MIN_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample below the estimate over that of one above it: in a first-in, first-out queue the newest
/// answer tells most about the backlog, so a backlog already worked off must not keep the ratio high.
const FALLING_WEIGHT_RATIO: f64 = 2.0;
/// Time constant, in seconds, with which the peak answer rate decays: several times the smoothing time.
const PEAK_RATE_DECAY_SECS: f64 = 20.0;
/// Minimum of the limit on set-ups in flight; the number of listed processors where that is lower.
const MIN_IN_FLIGHT_LIMIT: f64 = 6.0;
/// A class has high priority if its worth is at least this multiple of the mean worth of originating calls.
const HIGH_PRIORITY_WORTH_RATIO: f64 = 1.5;
/// High-priority calls ignore congestion while the expected delay is below this share of their target delay.
const HIGH_PRIORITY_DELAY_SHARE: f64 = 0.6;
/// A call without a usable route is decided again at this interval, a few ticks.
const ROUTE_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum wait for a route, as a share of the target delay; the rest is for the set-up or a redial in time.
const MAX_ROUTE_WAIT_SHARE: f64 = 0.5;
/// Retry-after of a refused call that could still be answered in time, as a share of the time left to its
/// target delay: it leaves room for the signalling, processing and waiting of one or two more tries.
const RETRY_AFTER_SHARE: f64 = 0.2;
/// Share of the limit on set-ups in flight that late calls may use: they earn less than half their worth.
const LATE_IN_FLIGHT_SHARE: f64 = 0.3;
/// Weight of one caller in the mean patience, which averages over about thirty callers.
const PATIENCE_WEIGHT: f64 = 0.03;
/// Minimum interval between trial set-ups to a congested processor: one a second, by design. It is also the
/// window over which recent outcomes and answers are counted.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);
/// Outcomes needed to estimate the delay of the local processor: fewer may all come from one slow processor.
const MIN_OUTCOMES: usize = 4;
/// Time without an event that counts as a stall of this controller, as a share of the mean target delay.
const STALL_TIME_SHARE: f64 = 0.2;
/// Trunk reservation against tandem and late calls, in square roots of the group size; at least one circuit.
const RESERVATION_SQRT_RATIO: f64 = 0.5;
/// Initial backoff, in seconds, for the trunk group from a tandem that refused a call to the destination: the
/// mean time in which a full group of some tens of circuits gets a free one and other calls take it.
const INITIAL_TANDEM_BACKOFF_SECS: f64 = 1.0;
/// A call tries no tandem after this many failed processors: a tandem's refusal costs work on two processors.
const MAX_TANDEM_ATTEMPTS: usize = 2;
/// Retries of a call that may use the same processor: a fault or lost connection may concern one set-up only.
const MAX_SAME_PROCESSOR_RETRIES: u32 = 4;
/// Number of consecutive faults, with no other answer between, after which a processor counts as failed.
const CONSECUTIVE_FAULT_LIMIT: u32 = 50;
/// Maximum of the tandem backoff, in mean holds. Each consecutive refusal doubles the backoff; after this
/// time other calls have replaced half of those on the second leg.
const MAX_TANDEM_BACKOFF_HOLDS: f64 = 0.7;
/// Initial interval between calls to a number found busy, in mean holds of the class.
const INITIAL_BUSY_INTERVAL_HOLDS: f64 = 0.05;
/// Maximum of that interval, in mean holds: even in the worst case a line becomes free about this often.
const MAX_BUSY_INTERVAL_HOLDS: f64 = 0.5;
/// Set-ups a second that a processor can handle, over the highest answer rate ever observed here: exchanges
/// receive about as many calls as they originate, and the best second is a third above the sustainable rate.
const CAPACITY_PEAK_RATIO: f64 = 1.5;
/// First tries that a check of their expiry may leave. If it leaves more, the next check forgets all.
const MAX_FIRST_TRIES: usize = 8192;
/// Weight of one call in the means over originating calls, which average over about a hundred calls.
const CALL_WEIGHT: f64 = 0.01;
/// Weight of an early abandonment in `stay_ratio`; an answered call counts as 1 with half this weight.
const ABANDON_WEIGHT: f64 = 0.1;
/// Delay before requesting the list again after a failure; grows with more failures, spread by the seed.
const LIST_RETRY_DELAY: Duration = Duration::from_secs(1);

fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

/// Delay estimate, in seconds, and congestion flag of one processor, from the set-ups sent to it.
#[derive(Debug, Default)]
struct DelayEstimate {
    smoothed: Option<f64>,
    lowest: Option<f64>,
    /// Latest send time of the set-ups that gave a sample.
    newest_sent_at: Duration,
    congested: bool,
    last_sent_at: Option<Duration>,
    /// No trial set-up before this: a set-up that timed out may stay in the queue for as long again.
    next_trial_at: Duration,
    /// Number of faults since the last other answer.
    faults: u32,
    unanswered: BTreeSet<(Duration, CallId)>,
}

impl DelayEstimate {
    /// Adds the delay of a set-up sent at `sent_at` to the smoothed delay.
    fn add_sample(&mut self, sent_at: Duration, delay: f64) {
        let Some(old) = self.smoothed else {
            self.smoothed = Some(delay);
            self.newest_sent_at = sent_at;
            return;
        };
        // Once a later set-up is answered, a higher delay of an earlier one is outdated and must not raise
        // the ratio.
        if sent_at < self.newest_sent_at && delay > old {
            return;
        }
        let elapsed = secs(sent_at.saturating_sub(self.newest_sent_at));
        let mut weight = (1.0 - (-elapsed / SMOOTHING_TIME_SECS).exp()).max(MIN_SAMPLE_WEIGHT);
        if delay < old {
            weight = (weight * FALLING_WEIGHT_RATIO).min(1.0);
        }
        self.smoothed = Some(old + weight * (delay - old));
        self.newest_sent_at = self.newest_sent_at.max(sent_at);
    }

    /// The smoothed delay, or the age of the oldest unanswered set-up less the local delay if that is higher.
    fn expected(&self, now: Duration, local: &LocalDelay) -> f64 {
        let oldest = self.unanswered.first();
        let age = oldest.map_or(0.0, |(sent_at, _)| {
            secs(now.saturating_sub((*sent_at).max(local.stall_end))) - local.delay
        });
        self.smoothed.unwrap_or(0.0).max(age)
    }

    /// Updates the congestion flag, with hysteresis. The age of the oldest unanswered set-up counts as an
    /// observed delay: this detects processors that answer nothing (hang, crash, lost link) before a timeout
    /// does. One lost answer can set the flag wrongly; after that set-up ends, a trial set-up corrects it.
    fn update_flag(&mut self, now: Duration, target: f64, local: &LocalDelay) -> bool {
        let reference =
            self.lowest.unwrap_or(f64::INFINITY).min(target * UPPER_BOUND_SHARE / UPPER_RATIO_LIMITS.0);
        let upper = (target * UPPER_BOUND_SHARE / reference).min(UPPER_RATIO_LIMITS.1);
        let ratio = self.expected(now, local) / reference;
        if ratio > upper {
            self.congested = true;
        } else if ratio < upper * LOWER_BOUND_RATIO {
            self.congested = false;
        }
        self.congested
    }
}

/// The delay that the local processor adds to all observed delays; it must not count against remote ones.
#[derive(Debug, Default)]
struct LocalDelay {
    /// Recent outcomes: time, excess over the lowest delay of the processor, and whether it is an answer.
    outcomes: VecDeque<(Duration, f64, bool)>,
    /// The lowest delay of any answer, for processors that have not answered yet.
    lowest: f64,
    /// Minimum of the excess delays in `outcomes`, seconds: a delay common to all recent ones arises here.
    delay: f64,
    /// Whether the local processor is congested for originating calls, by the same two bounds.
    congested: bool,
    /// End of the last stall of this controller; ages count from here.
    stall_end: Duration,
    stall_duration: Duration,
}

/// One processor of the list, with its trunk group.
#[derive(Debug)]
struct Peer {
    number: ExchangeNumber,
    zone: u32,
    /// A processor that is gone is kept until its number gets another processor: the trunk group outlives it.
    phase: Phase,
    started_at: Duration,
    /// When this controller learned of that start.
    learned_at: Duration,
    /// When the last set-up was due under the cold budget, the limit during warm-up (`cold_budget_allows`).
    last_due: Option<Duration>,
    /// Free circuits of the trunk group, if known.
    free: Option<u32>,
    size: u32,
    estimate: DelayEstimate,
}

impl Peer {
    /// Number of circuits of this trunk group that tandem, transit and late calls leave free.
    fn reserve(&self, priority: Priority) -> u32 {
        if priority == Priority::High {
            return 0;
        }
        ((f64::from(self.size).sqrt() * RESERVATION_SQRT_RATIO).round() as u32).max(1)
    }

    fn has_room(&self, circuits: u32, reserved: u32) -> bool {
        self.free.is_none_or(|free| free >= circuits.saturating_add(reserved))
    }
}

#[derive(Debug)]
enum CallState {
    /// No attempt is pending; the call is decided again at this time.
    Waiting(Duration),
    /// An attempt is pending: its processor, and when it was sent.
    Pending(ExchangeId, Duration),
    Established,
}

#[derive(Debug)]
struct CallRecord {
    info: NewCall,
    state: CallState,
    deadline: Duration,
    /// When the caller first tried, as far as this controller knows.
    first_try_at: Duration,
    attempts: u32,
    /// The caller has left, so no final answer is due; the record is kept for the outcome of the attempt.
    abandoned: bool,
    /// Processors that failed for this call.
    tried: Vec<ExchangeId>,
    /// Number of retries on the same processor after a fault or a lost connection.
    same_processor_retries: u32,
    /// The first attempt that may have run: its processor, and when it was sent.
    may_have_run: Option<(ExchangeId, Duration)>,
}

/// What the controller does when a timer is due.
enum Timer {
    Route(CallId),
    Subscribe,
}

/// Trunk group between two other exchanges. It carries calls in both directions: either can be the tandem.
#[derive(Default)]
struct RemoteGroup {
    /// Not used before this time, after a refusal by the tandem.
    backoff_until: Duration,
    /// Number of refusals since the last answered call.
    refusals: u32,
}

fn group_key(a: ExchangeNumber, b: ExchangeNumber) -> (ExchangeNumber, ExchangeNumber) {
    (a.min(b), a.max(b))
}

/// Priority of a call, by the worth that it can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Priority {
    /// It can only be answered after its target delay.
    Late,
    Normal,
    /// Its worth is well above the mean.
    High,
}

/// Result of admission and route choice.
enum Decision {
    Send(ExchangeId),
    /// No usable route now, but one may become available soon.
    Wait,
    Refuse,
}

/// The controller of one exchange (or of one sender to pools).
pub struct Controller {
    settings: Settings,
    now: Duration,
    peers: BTreeMap<ExchangeId, Peer>,
    calls: BTreeMap<CallId, CallRecord>,
    timers: BTreeMap<TimerId, Timer>,
    next_timer: u64,
    /// The processor in service at each number; if there are two, the one started last.
    in_service: BTreeMap<ExchangeNumber, ExchangeId>,
    /// Trunk groups between other exchanges, as observed by calls over tandems.
    remote_groups: BTreeMap<(ExchangeNumber, ExchangeNumber), RemoteGroup>,
    /// Numbers found busy: the interval between calls in seconds, and when the next call may go.
    busy_numbers: BTreeMap<DialledNumber, (f64, Duration)>,
    /// First tries of refused, failed and abandoned calls, to recognise redials: the time, and the expiry.
    first_tries: BTreeMap<DialledNumber, (Duration, Duration)>,
    /// Number of entries in `first_tries` after expired ones were last removed, at least 64.
    first_tries_kept: usize,
    /// Mean target delay of originating calls, seconds.
    mean_target: f64,
    mean_worth: f64,
    /// Mean patience of originating calls, seconds, without those read at the end of a stall.
    mean_patience: f64,
    /// How long callers stay before they abandon, smoothed, over the target delay; 1 while they stay.
    stay_ratio: f64,
    local: LocalDelay,
    /// Peak of the answers in a second, decaying.
    peak_answer_rate: f64,
    /// Highest value of `peak_answer_rate` ever.
    max_answer_rate: f64,
    seed: u64,
    list_failures: u32,
}

impl Controller {
    /// Creates a controller without state. Controllers need different seeds, so that they do not act in step.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let classes = settings.classes.len() as f64;
        let mean_target = settings.classes.iter().map(|c| secs(c.target_delay)).sum::<f64>() / classes;
        let mean_worth = settings.classes.iter().map(|c| c.worth).sum::<f64>() / classes;
        Ok(Controller {
            settings,
            now: Duration::ZERO,
            peers: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            in_service: BTreeMap::new(),
            remote_groups: BTreeMap::new(),
            busy_numbers: BTreeMap::new(),
            first_tries: BTreeMap::new(),
            first_tries_kept: 64,
            mean_target,
            mean_worth,
            mean_patience: 0.0,
            stay_ratio: 1.0,
            local: LocalDelay { lowest: mean_target, ..LocalDelay::default() },
            peak_answer_rate: 0.0,
            max_answer_rate: 0.0,
            seed,
            list_failures: 0,
        })
    }

    /// The settings that the controller was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Number of listed processors without ordinary set-ups: draining ones and those last found congested.
    pub fn avoided(&self) -> usize {
        let avoided = |p: &&Peer| {
            p.phase == Phase::Draining || p.phase == Phase::InService && p.estimate.congested
        };
        self.peers.values().filter(avoided).count()
    }

    /// Handles one event and appends the resulting actions. An earlier `now` counts as the latest one so far.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let before = self.now;
        self.now = self.now.max(now);
        if secs(self.now - before) > self.mean_target * STALL_TIME_SHARE {
            (self.local.stall_end, self.local.stall_duration) = (self.now, self.now - before);
        }
        match event {
            Event::Started => self.subscribe(actions),
            Event::List(list) => self.update_list(list, actions),
            Event::Call(info) => self.new_call(info, actions),
            Event::Answered { call, attempt, delay } => self.call_answered(call, attempt, delay),
            Event::AttemptEnded(end) => self.attempt_ended(end, actions),
            Event::CallerAbandoned(call) => self.caller_abandoned(call),
            Event::Circuits { exchange, free, size } => {
                if let Some(peer) = self.peers.get_mut(&exchange) {
                    (peer.free, peer.size) = (Some(free), size);
                }
            }
            Event::Timer(timer) => match self.timers.remove(&timer) {
                Some(Timer::Route(call)) => self.wait_timer_due(call, actions),
                Some(Timer::Subscribe) => self.subscribe(actions),
                None => {}
            },
        }
    }

    // ---- Delay estimate and congestion flag -----------------------------------------------------

    /// Updates the congestion flag of a processor and returns it; an unknown processor counts as congested.
    fn update_congested(&mut self, exchange: ExchangeId) -> bool {
        let (now, target, local) = (self.now, self.mean_target * self.stay_ratio, &self.local);
        self.peers.get_mut(&exchange).is_none_or(|p| p.estimate.update_flag(now, target, local))
    }

    /// Whether a trial set-up is due: an ordinary call let through to a congested processor. None is due
    /// while another set-up there is unanswered, so that trial set-ups do not add to a backlog.
    fn trial_due(&self, exchange: ExchangeId) -> bool {
        self.peers.get(&exchange).map(|p| &p.estimate).is_some_and(|e| {
            let interval_over = e.last_sent_at.is_none_or(|t| self.now >= t + SAMPLE_PERIOD);
            interval_over && e.unanswered.is_empty() && self.now >= e.next_trial_at
        })
    }

    /// Whether a set-up would be answered well in time, so that a high-priority call may ignore congestion.
    fn answers_in_time(&self, exchange: ExchangeId, class: usize) -> bool {
        let limit = secs(self.settings.classes[class].target_delay) * HIGH_PRIORITY_DELAY_SHARE
            - self.local.delay;
        self.peers.get(&exchange).is_some_and(|p| p.estimate.expected(self.now, &self.local) < limit)
    }

    /// Records by how much a delay exceeds the lowest of its processor. The excess common to all recent
    /// outcomes is attributed to the local processor. Guards against marking every remote processor as
    /// congested because of a queue here, and against an overload here in which all set-ups time out. If all
    /// remote processors slow down alike, the local one counts as slow and sheds load in their place.
    fn record_outcome(&mut self, exchange: ExchangeId, delay: f64, is_answer: bool) {
        let (now, local) = (self.now, &mut self.local);
        local.lowest = if is_answer { local.lowest.min(delay) } else { local.lowest };
        let lowest = self.peers.get(&exchange).and_then(|p| p.estimate.lowest).unwrap_or(local.lowest);
        let elapsed = local.outcomes.back().map_or(0.0, |(t, ..)| secs(now - *t));
        self.peak_answer_rate *= (-elapsed / PEAK_RATE_DECAY_SECS).exp();
        local.outcomes.push_back((now, delay - lowest, is_answer));
        while local.outcomes.len() > MIN_OUTCOMES && local.outcomes[0].0 + SAMPLE_PERIOD < now {
            local.outcomes.pop_front();
        }
        let answers = local.outcomes.iter().filter(|(t, _, a)| *a && *t + SAMPLE_PERIOD >= now).count();
        self.peak_answer_rate = self.peak_answer_rate.max(answers as f64);
        self.max_answer_rate = self.max_answer_rate.max(self.peak_answer_rate);
        let min_excess = local.outcomes.iter().map(|(_, e, _)| *e).fold(f64::INFINITY, f64::min);
        local.delay = if local.outcomes.len() < MIN_OUTCOMES { 0.0 } else { min_excess.max(0.0) };
        let upper = self.mean_target * self.stay_ratio * UPPER_BOUND_SHARE;
        local.congested =
            local.delay > upper || local.congested && local.delay > upper * LOWER_BOUND_RATIO;
    }

    /// Whether the set-ups in flight, at the peak answer rate, amount to a delay above the upper bound: all
    /// pass the local processor. Guards against bursts (dropped calls dialled again, mass calling, a slow
    /// local processor) that remote delays show too late. Set-ups to congested processors wait there and do
    /// not count. After a lull the limit could be too low until answers show the possible rate, so a few are
    /// always allowed. While the local processor is congested, the limit is one: a trial set-up.
    fn in_flight_limit_reached(&self, priority: Priority) -> bool {
        let counted = self.peers.values().filter(|p| self.local.congested || !p.estimate.congested);
        let in_flight: usize = counted.map(|p| p.estimate.unanswered.len()).sum();
        let limit = self.peak_answer_rate * self.mean_target * self.stay_ratio * UPPER_BOUND_SHARE;
        let share = if priority == Priority::Late { LATE_IN_FLIGHT_SHARE } else { 1.0 };
        let limit = share * limit.max(MIN_IN_FLIGHT_LIMIT.min(self.peers.len() as f64));
        in_flight as f64 >= if self.local.congested { 1.0 } else { limit }
    }

    // ---- Admission ------------------------------------------------------------------------------

    /// Decides whether a call without a pending attempt is sent now, waits or is refused.
    fn decide(&mut self, call: CallId) -> Decision {
        let Some(record) = self.calls.get(&call) else {
            return Decision::Refuse;
        };
        let info = record.info.clone();
        if record.attempts >= self.settings.max_attempts
            || record.deadline <= self.now + self.settings.tick_interval
        {
            return Decision::Refuse;
        }
        let transit = info.origin == Origin::Transit;
        let first_attempt = record.attempts == 0;
        if first_attempt && !transit && !self.admit_to_number(info.dialled) {
            return Decision::Refuse;
        }
        let Some(destination) = self.processor_at(info.destination) else {
            return Decision::Refuse;
        };
        let priority = self.priority(call);
        let bypass = priority == Priority::High && self.answers_in_time(destination, info.class);
        let congested = self.update_congested(destination) && !bypass;
        let is_trial = first_attempt && priority != Priority::Late && self.trial_due(destination);
        if self.in_flight_limit_reached(priority) || congested && !is_trial {
            return Decision::Wait;
        }
        let reserved = match priority {
            Priority::Normal | Priority::High if !transit => 0,
            _ => self.peers[&destination].reserve(priority),
        };
        let record = &self.calls[&call];
        let direct_allowed = !record.tried.contains(&destination) && self.may_send(record, destination);
        if direct_allowed && self.peers[&destination].has_room(info.circuits, reserved) {
            return Decision::Send(destination);
        }
        let too_many_tried = self.calls[&call].tried.len() >= MAX_TANDEM_ATTEMPTS;
        if transit
            || congested
            || too_many_tried
            || priority == Priority::Late
            || !self.cold_budget_allows(destination, true)
        {
            return Decision::Wait;
        }
        self.choose_tandem(call, &info, priority).map_or(Decision::Wait, Decision::Send)
    }

    /// Rates a call. Its target delay counts from the caller's first try: a caller who redials after it earns
    /// little and would take resources that a fresh call needs, so late calls yield under load. So do calls
    /// that the local delay will make late: sending them would only delay others.
    fn priority(&self, call: CallId) -> Priority {
        let record = &self.calls[&call];
        let class = &self.settings.classes[record.info.class];
        if secs(self.now - record.first_try_at) + self.local.delay >= secs(class.target_delay) {
            Priority::Late
        } else if class.worth >= HIGH_PRIORITY_WORTH_RATIO * self.mean_worth {
            Priority::High
        } else {
            Priority::Normal
        }
    }

    /// Admits one call per interval to a number found busy; each busy answer doubles the interval, each
    /// answered call halves it. Guards against callers who redial at once while all lines are busy.
    fn admit_to_number(&mut self, dialled: DialledNumber) -> bool {
        let now = self.now;
        self.busy_numbers.get_mut(&dialled).is_none_or(|(interval, next)| {
            let admit = now >= *next;
            *next = if admit { now + Duration::from_secs_f64(*interval) } else { *next };
            admit
        })
    }

    // ---- Route choice ---------------------------------------------------------------------------

    /// The processor in service at a number. All routes use it, so none goes to a draining or gone processor.
    fn processor_at(&self, number: ExchangeNumber) -> Option<ExchangeId> {
        self.in_service.get(&number).copied()
    }

    /// Chooses the tandem of lowest smoothed delay (zero without samples) that is not congested and has room
    /// on its first leg. Tandems whose second leg had room come first: the route hint, then those whose last
    /// call there was answered. Where some exchanges have no trunk group between them, half of the set-ups
    /// over other tandems are refused, at the cost of work on two processors. The seed breaks ties, so that
    /// controllers choose different tandems.
    fn choose_tandem(&mut self, call: CallId, info: &NewCall, priority: Priority) -> Option<ExchangeId> {
        let ids: Vec<_> = self.in_service.iter().map(|(n, id)| (*n, *id)).collect();
        let mut best: Option<((u32, f64, u64), ExchangeId)> = None;
        for (number, id) in ids {
            let usable = !self.update_congested(id);
            let (record, peer) = (&self.calls[&call], &self.peers[&id]);
            let group = self.remote_groups.get(&group_key(number, info.destination));
            if !usable
                || number == info.destination
                || group.is_some_and(|g| g.backoff_until > self.now)
                || record.tried.contains(&id)
                || !peer.has_room(info.circuits, peer.reserve(priority))
                || !self.may_send(record, id)
            {
                continue;
            }
            let answered = group.is_some_and(|g| g.refusals == 0);
            let leg_rank = if info.route_hint == Some(number) { 0 } else { 2 - u32::from(answered) };
            let delay = self.peers[&id].estimate.smoothed.unwrap_or(0.0);
            let tie_breaker = (self.seed ^ u64::from(number.0)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let key = (leg_rank, delay, tie_breaker);
            if best.as_ref().is_none_or(|(k, _)| key < *k) {
                best = Some((key, id));
            }
        }
        best.map(|(_, id)| id)
    }

    // ---- Attempts -------------------------------------------------------------------------------

    fn new_call(&mut self, info: NewCall, actions: &mut Vec<Action>) {
        let call = info.call;
        if info.class >= self.settings.classes.len() {
            return actions.push(Action::Fail(call));
        } else if self.calls.contains_key(&call) {
            return;
        }
        if info.origin != Origin::Transit {
            let target = secs(self.settings.classes[info.class].target_delay);
            self.mean_target += (target - self.mean_target) * CALL_WEIGHT;
            let worth = self.settings.classes[info.class].worth;
            self.mean_worth += (worth - self.mean_worth) * CALL_WEIGHT;
            if self.now != self.local.stall_end {
                self.mean_patience += (secs(info.patience) - self.mean_patience) * PATIENCE_WEIGHT;
            }
        }
        // A call read after a stall has waited; the wait is estimated as the mean patience less its own.
        let after_stall = self.now == self.local.stall_end && info.origin != Origin::Transit;
        let missing = Duration::from_secs_f64((self.mean_patience - secs(info.patience)).max(0.0));
        let waited = if after_stall { missing.min(self.local.stall_duration) } else { Duration::ZERO };
        // A transit call or a dropped one is not a redial, so it has no earlier first try.
        let fresh = matches!(info.origin, Origin::Transit | Origin::DroppedCall);
        let prior = self.first_tries.get(&info.dialled).filter(|(_, until)| !fresh && *until > self.now);
        let first_try_at = prior.map_or(self.now.saturating_sub(waited), |(first, _)| *first);
        let record = CallRecord {
            first_try_at,
            deadline: self.now.saturating_add(info.patience),
            info,
            state: CallState::Waiting(self.now),
            attempts: 0,
            abandoned: false,
            tried: Vec::new(),
            same_processor_retries: 0,
            may_have_run: None,
        };
        self.calls.insert(call, record);
        self.route_call(call, actions);
    }

    /// Decides a call that has no pending attempt, and carries out the decision.
    fn route_call(&mut self, call: CallId, actions: &mut Vec<Action>) {
        match self.decide(call) {
            Decision::Send(exchange) => self.send_set_up(call, exchange, actions),
            Decision::Wait if self.may_wait(call) => {
                if let Some(record) = self.calls.get_mut(&call) {
                    record.state = CallState::Waiting(self.now + ROUTE_RETRY_INTERVAL);
                }
                self.set_timer(ROUTE_RETRY_INTERVAL, Timer::Route(call), actions);
            }
            _ => self.refuse_or_fail(call, actions),
        }
    }

    /// Whether a call waits for a route: only while it could still be answered in time. Otherwise it is
    /// refused at once, which leaves its caller time to redial. Each redial costs processing here, which a
    /// short wait saves. This could harm where callers would do better elsewhere at once.
    fn may_wait(&self, call: CallId) -> bool {
        let record = &self.calls[&call];
        let target = self.settings.classes[record.info.class].target_delay;
        let until = record.first_try_at + target.mul_f64(MAX_ROUTE_WAIT_SHARE * self.stay_ratio);
        let in_time = self.priority(call) != Priority::Late
            && self.now + ROUTE_RETRY_INTERVAL < until.min(record.deadline);
        record.info.origin != Origin::Transit && in_time
    }

    fn send_set_up(&mut self, call: CallId, exchange: ExchangeId, actions: &mut Vec<Action>) {
        let now = self.now;
        let due = self.peers.get(&exchange).map(|p| self.cold_set_up_due(p));
        let (Some(record), Some(peer)) = (self.calls.get_mut(&call), self.peers.get_mut(&exchange))
        else {
            return;
        };
        peer.last_due = due.map(|(due, interval)| due.max(now.saturating_sub(interval)));
        record.attempts += 1;
        record.state = CallState::Pending(exchange, now);
        peer.estimate.last_sent_at = Some(now);
        peer.estimate.unanswered.insert((now, call));
        peer.free = peer.free.map(|f| f.saturating_sub(record.info.circuits));
        // A call answered after its target delay earns little, and others need its processing and circuits.
        let target = self.settings.classes[record.info.class].target_delay;
        let timeout = record.deadline.saturating_sub(now).min(target);
        actions.push(Action::SetUp { call, exchange, timeout });
    }

    /// Gives the final answer and removes the call.
    fn refuse_or_fail(&mut self, call: CallId, actions: &mut Vec<Action>) {
        let Some(record) = self.calls.remove(&call) else {
            return;
        };
        self.remember_first_try(&record);
        let idempotency = self.settings.classes[record.info.class].idempotency;
        if record.may_have_run.is_none() || idempotency.allows_refusal() {
            let retry_after = Some(self.retry_after(&record)).filter(|d| !d.is_zero());
            actions.push(Action::Refuse { call, retry_after });
        } else {
            actions.push(Action::Fail(call));
        }
    }

    /// Time after which a refused caller should redial. For a busy number: when the next call may go there.
    /// While the call could still be answered in time: a share of the time left. Otherwise: the longest that
    /// callers honour. Guards against redials of calls worth little, which delay others. This could harm
    /// where no route becomes available, as each redial costs processing.
    fn retry_after(&self, record: &CallRecord) -> Duration {
        let max = self.settings.max_retry_after;
        if let Some((_, next)) =
            self.busy_numbers.get(&record.info.dialled).filter(|(_, next)| *next > self.now)
        {
            return (*next - self.now).min(max);
        }
        let target = self.settings.classes[record.info.class].target_delay;
        let left = secs((record.first_try_at + target).saturating_sub(self.now)) - self.local.delay;
        if left > 0.0 {
            max.min(Duration::from_secs_f64(left * RETRY_AFTER_SHARE))
        } else {
            max
        }
    }

    /// Remembers when the caller of a refused, failed or abandoned call first tried.
    fn remember_first_try(&mut self, record: &CallRecord) {
        let until = record.first_try_at + self.settings.classes[record.info.class].deadline;
        if record.info.origin != Origin::Transit {
            self.first_tries.insert(record.info.dialled, (record.first_try_at, until));
        }
        if self.first_tries.len() >= self.first_tries_kept * 2 {
            self.first_tries.retain(|_, t| self.first_tries_kept < MAX_FIRST_TRIES && t.1 > self.now);
            self.first_tries_kept = self.first_tries.len().max(64);
        }
    }

    /// Ends an attempt and returns its processor and send time, or `None` if it is not the pending one.
    fn end_pending(&mut self, call: CallId, attempt: u32) -> Option<(ExchangeId, Duration)> {
        let record = self.calls.get_mut(&call)?;
        let CallState::Pending(exchange, sent_at) = record.state else {
            return None;
        };
        if attempt.checked_add(1) != Some(record.attempts) {
            return None;
        }
        if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.estimate.unanswered.remove(&(sent_at, call));
        }
        Some((exchange, sent_at))
    }

    fn call_answered(&mut self, call: CallId, attempt: u32, delay: Duration) {
        let Some((exchange, sent_at)) = self.end_pending(call, attempt) else {
            return;
        };
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        record.state = CallState::Established;
        self.stay_ratio += (1.0 - self.stay_ratio) * ABANDON_WEIGHT * 0.5;
        let (dialled, destination) = (record.info.dialled, record.info.destination);
        if let Some((interval, _)) = self.busy_numbers.get_mut(&dialled) {
            *interval *= 0.5;
        }
        if let Some(tandem) = self.peers.get(&exchange).map(|p| p.number) {
            if tandem != destination {
                self.remote_groups.insert(group_key(tandem, destination), RemoteGroup::default());
            }
        }
        self.record_outcome(exchange, secs(delay), true);
        self.record_answer_delay(exchange, sent_at, secs(delay));
    }

    /// Records the delay of an answer. The lowest delay is kept as observed; the local delay is subtracted
    /// only from the part above the lowest.
    fn record_answer_delay(&mut self, exchange: ExchangeId, sent_at: Duration, delay: f64) {
        let added = self.local.delay;
        if let Some(peer) = self.peers.get_mut(&exchange) {
            let lowest = peer.estimate.lowest.map_or(delay, |l| l.min(delay)).max(1e-3);
            peer.estimate.lowest = Some(lowest);
            peer.estimate.faults = 0;
            peer.estimate.add_sample(sent_at, (delay - added).max(lowest.min(delay)));
        }
    }

    /// Records a fault or a lost connection. Both also have causes other than congestion, such as a corrupted
    /// answer or a call that no processor could serve. The delay counts only if it is above the estimate: a
    /// processor that fails at once must not become the tandem of lowest delay. Only many faults in a row
    /// count as the penalty delay. Guards against marking a processor as congested that serves most of its
    /// calls. This could harm where a processor fails for good, by some more failed set-ups.
    fn record_failure(
        &mut self,
        exchange: ExchangeId,
        sent_at: Duration,
        (delay, penalty): (f64, f64),
        is_fault: bool,
    ) {
        let added = self.local.delay;
        if let Some(estimate) = self.peers.get_mut(&exchange).map(|p| &mut p.estimate) {
            estimate.faults += u32::from(is_fault);
            let delay = if estimate.faults >= CONSECUTIVE_FAULT_LIMIT { penalty } else { delay } - added;
            if estimate.smoothed.is_some_and(|s| delay > s) {
                estimate.add_sample(sent_at, delay);
            }
        }
    }

    fn attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let (call, call_ended) = (end.call, end.call_ended);
        let Some(record) = self.calls.get(&call) else {
            return;
        };
        let class = &self.settings.classes[record.info.class];
        let (mean_hold, destination, dialled) =
            (secs(class.mean_hold), record.info.destination, record.info.dialled);
        let Some((exchange, sent_at)) = self.end_pending(call, end.attempt) else {
            if call_ended && matches!(self.calls[&call].state, CallState::Established) {
                self.calls.remove(&call);
            }
            return;
        };
        let (now, delay) = (self.now, secs(end.delay));
        // A failure counts as a long delay: the time that it took, and at least the mean target delay.
        let penalty = delay.max(self.mean_target);
        let direct = self.peers.get(&exchange).is_some_and(|p| p.number == destination);
        let (mut retry, mut await_release, mut retry_same) = (true, false, false);
        match end.outcome {
            Outcome::Ended => self.record_answer_delay(exchange, sent_at, delay),
            Outcome::NoCircuit => {
                if let Some(peer) = self.peers.get_mut(&exchange) {
                    peer.free = Some(0);
                }
            }
            Outcome::TandemRefused | Outcome::DestinationProcessorFull => {
                // Concerns the second leg, not the tandem's processor, which did answer.
                let tandem = self.peers.get(&exchange).map_or(destination, |p| p.number);
                let group = self.remote_groups.entry(group_key(tandem, destination)).or_default();
                let backoff = INITIAL_TANDEM_BACKOFF_SECS * f64::from(1 << group.refusals.min(16));
                group.backoff_until =
                    now + Duration::from_secs_f64(backoff.min(mean_hold * MAX_TANDEM_BACKOFF_HOLDS));
                group.refusals += 1;
                self.record_answer_delay(exchange, sent_at, delay);
            }
            Outcome::NumberBusy => {
                let initial = mean_hold * INITIAL_BUSY_INTERVAL_HOLDS;
                let (interval, next) = self.busy_numbers.entry(dialled).or_insert((initial, now));
                *interval = (*interval * 2.0).clamp(initial, mean_hold * MAX_BUSY_INTERVAL_HOLDS);
                *next = now + Duration::from_secs_f64(*interval);
                self.busy_numbers
                    .retain(|_, (_, next)| now < *next + Duration::from_secs_f64(mean_hold));
                self.record_answer_delay(exchange, sent_at, delay);
                retry = false;
            }
            Outcome::Cancelled => await_release = true,
            Outcome::NotSent => {}
            Outcome::LocalProcessorDown => retry = false,
            Outcome::Fault | Outcome::Disconnected => {
                self.record_failure(exchange, sent_at, (delay, penalty), end.outcome == Outcome::Fault);
                await_release = end.outcome == Outcome::Disconnected;
                retry_same = self.calls[&call].same_processor_retries < MAX_SAME_PROCESSOR_RETRIES;
                retry = retry_same || !direct;
            }
            // Full, timed out, reset or unreachable: each counts as the penalty delay. Otherwise a processor
            // that fails at once would be the tandem of lowest delay and attract calls.
            _ => {
                let (mut advised_wait, mut trial_from) = (0.0, now.saturating_add(end.delay));
                if let Outcome::ProcessorFull(wait) = end.outcome {
                    (advised_wait, trial_from) = (wait.map_or(0.0, secs), now);
                } else if end.outcome == Outcome::TimedOut {
                    self.record_outcome(exchange, delay, false);
                }
                if let Some(peer) = self.peers.get_mut(&exchange) {
                    peer.estimate.add_sample(sent_at, penalty.max(advised_wait) - self.local.delay);
                    peer.estimate.next_trial_at = peer.estimate.next_trial_at.max(trial_from);
                }
                await_release = matches!(end.outcome, Outcome::TimedOut | Outcome::Reset);
                retry = !direct;
            }
        }
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        if call_ended || record.abandoned {
            self.calls.remove(&call);
            return;
        }
        if !end.outcome.proves_not_run() && record.may_have_run.is_none() {
            record.may_have_run = Some((exchange, sent_at));
        }
        if retry_same {
            record.same_processor_retries += 1;
        } else {
            record.tried.push(exchange);
        }
        record.state = CallState::Waiting(now);
        let wait = self.settings.rules.release_delay * u32::from(await_release);
        let until = if await_release {
            record.first_try_at + self.settings.classes[record.info.class].target_delay
        } else {
            record.deadline
        };
        let in_time = now + wait + self.settings.tick_interval * 4 < until.min(record.deadline);
        if !retry || !in_time || record.info.origin == Origin::Transit {
            self.refuse_or_fail(call, actions);
        } else if await_release {
            record.state = CallState::Waiting(now + wait);
            self.set_timer(wait, Timer::Route(call), actions);
        } else {
            self.route_call(call, actions);
        }
    }

    /// Routes a call whose timer is due, unless its wait was extended; then the timer is set again.
    fn wait_timer_due(&mut self, call: CallId, actions: &mut Vec<Action>) {
        let Some(record) = self.calls.get(&call) else {
            return;
        };
        match record.state {
            CallState::Waiting(until) if until <= self.now => self.route_call(call, actions),
            CallState::Waiting(until) => self.set_timer(until - self.now, Timer::Route(call), actions),
            _ => {}
        }
    }

    /// Handles a caller who has left. Callers who leave well before their patience ends show how soon an
    /// answer is needed: bounds and waits shrink with it. Guards against calls answered in time, but after
    /// their caller has left. This could harm, by early refusals, where only a few callers are in a hurry.
    fn caller_abandoned(&mut self, call: CallId) {
        let Some(mut record) = self.calls.remove(&call) else {
            return;
        };
        if self.now + self.settings.tick_interval * 4 < record.deadline
            && record.info.origin != Origin::Transit
        {
            let arrived_at = record.deadline.saturating_sub(record.info.patience);
            let target = self.settings.classes[record.info.class].target_delay;
            let stayed = (secs(self.now.saturating_sub(arrived_at)) / secs(target)).min(1.0);
            self.stay_ratio += (stayed - self.stay_ratio) * ABANDON_WEIGHT;
        }
        self.remember_first_try(&record);
        if !matches!(record.state, CallState::Waiting(_)) {
            record.abandoned = true;
            self.calls.insert(call, record);
        }
    }

    fn set_timer(&mut self, after: Duration, purpose: Timer, actions: &mut Vec<Action>) {
        let timer = TimerId(self.next_timer);
        self.next_timer += 1;
        self.timers.insert(timer, purpose);
        actions.push(Action::SetTimer { timer, after });
    }

    // ---- Rule checks ----------------------------------------------------------------------------

    /// Whether a set-up is within the cold budget, does not go to the local exchange or to a pool that does
    /// not serve the class, and is no forbidden repeat. `processor_at` excludes draining exchanges.
    fn may_send(&self, record: &CallRecord, exchange: ExchangeId) -> bool {
        let Some(peer) = self.peers.get(&exchange) else {
            return false;
        };
        let class = &self.settings.classes[record.info.class];
        let excluded = match self.settings.topology {
            Topology::Mesh { local } => peer.number == local,
            Topology::Pools => !class.pools.is_empty() && !class.pools.contains(&peer.number),
        };
        if excluded || !self.cold_budget_allows(exchange, peer.number == record.info.destination) {
            return false;
        }
        let Some((first, sent_at)) = record.may_have_run else {
            return true;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { scope, window } => {
                self.now < sent_at + window
                    && match (scope, self.peers.get(&first)) {
                        (DedupScope::All, _) => true,
                        (DedupScope::Zone, Some(p)) => p.zone == peer.zone,
                        (DedupScope::Number, Some(p)) => p.number == peer.number,
                        (_, None) => false,
                    }
            }
        }
    }

    /// Cold budget: in any window, all controllers together may send a recently started processor at most a
    /// multiple of its capacity. Each controller sends its part at a fixed interval and may keep one unused
    /// set-up. The first waits for the controller's turn, as all learn of the start at once and have calls
    /// waiting. The capacity is estimated from answered calls, as offered calls grow with redials; this could
    /// harm where one pair of exchanges has far more traffic than others. Where the part is under one set-up
    /// a window, calls to other destinations wait an interval longer: a tandem without samples counts as the
    /// one of lowest delay.
    fn cold_budget_allows(&self, exchange: ExchangeId, is_destination: bool) -> bool {
        self.peers.get(&exchange).is_some_and(|peer| {
            let (due, interval) = self.cold_set_up_due(peer);
            let extra =
                interval * u32::from(!is_destination && interval > self.settings.rules.overload_window);
            let warm_at = peer.started_at.saturating_add(self.settings.rules.warm_up_time);
            peer.started_at.is_zero() || self.now >= warm_at.min(due + extra)
        })
    }

    /// When the next set-up to a processor is due under the cold budget, and the interval between set-ups.
    fn cold_set_up_due(&self, peer: &Peer) -> (Duration, Duration) {
        let (rules, controllers) = (&self.settings.rules, f64::from(self.settings.controller_count));
        let capacity = self.max_answer_rate.max(1.0) * CAPACITY_PEAK_RATIO * rules.cold_capacity_ratio;
        let interval =
            (controllers / (rules.overload_multiple * capacity)).min(secs(rules.warm_up_time));
        let turn = f64::from(peer.number.0.wrapping_add(self.settings.controller_index)) % controllers
            / controllers;
        let interval = Duration::from_secs_f64(interval);
        (peer.last_due.map_or(peer.learned_at + interval.mul_f64(turn), |t| t + interval), interval)
    }

    fn subscribe(&mut self, actions: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest {
            actions.push(Action::Subscribe);
        }
    }

    fn update_list(&mut self, list: ListUpdate, actions: &mut Vec<Action>) {
        let full = matches!(list, ListUpdate::Full(_));
        let entries = match list {
            ListUpdate::Failed => {
                self.list_failures += 1;
                let spread = 1.0 + (self.seed % 1000) as f64 / 1000.0;
                let wait = LIST_RETRY_DELAY.mul_f64(spread * f64::from(self.list_failures.min(4)));
                self.set_timer(wait, Timer::Subscribe, actions);
                return;
            }
            ListUpdate::Delta(entries) => entries,
            ListUpdate::Full(entries) => {
                self.peers.values_mut().for_each(|p| p.phase = Phase::Gone);
                entries
            }
        };
        self.list_failures = 0;
        for new in entries {
            let old = self.peers.remove(&new.exchange);
            // A replacement keeps the trunk group's state: a full or missing group is not reported again.
            let known = old.as_ref().or_else(|| self.peers.values().find(|p| p.number == new.number));
            let (free, size) = known.map_or((None, 0), |p| (p.free, p.size));
            let start = old.as_ref().filter(|p| p.started_at == new.started_at);
            let (learned_at, last_due) = start.map_or((self.now, None), |p| (p.learned_at, p.last_due));
            let estimate = old
                .filter(|p| p.phase != Phase::Gone || full)
                .map_or_else(DelayEstimate::default, |p| p.estimate);
            self.peers.retain(|_, p| p.number != new.number || p.phase != Phase::Gone || full);
            let (number, zone, phase, started_at) = (new.number, new.zone, new.phase, new.started_at);
            self.peers.insert(
                new.exchange,
                Peer { number, zone, phase, started_at, learned_at, last_due, free, size, estimate },
            );
        }
        self.in_service.clear();
        let mut latest_start: BTreeMap<ExchangeNumber, Duration> = BTreeMap::new();
        for (id, p) in self.peers.iter().filter(|(_, p)| p.phase == Phase::InService) {
            if latest_start.get(&p.number).is_none_or(|t| p.started_at >= *t) {
                latest_start.insert(p.number, p.started_at);
                self.in_service.insert(p.number, *id);
            }
        }
    }
}
