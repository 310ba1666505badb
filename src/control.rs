//! All decisions of the controller. Its types, events, actions and settings: `src/interface.rs`.
//!
//! The ordinary path follows the bang-bang control of "Congestion Avoidance with S-CSCF Selection in
//! IMS Networks" (section III), kept per first-hop processor; `docs/design.md` lists each departure.
//! In order: far-processor estimate and latch; admission; route choice; attempts; guards.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Upper bound of the latch, as a share of the own calls' mean aim (turned into a ratio over the lowest
/// delay): delays go on rising for as long as what was let in before is worked off.
const UPPER_OF_AIM: f64 = 0.35;
/// Lower bound over the upper one: the paper's best pair is 60 to 80.
const LOWER_OF_UPPER: f64 = 0.6;
/// Bounds of the upper ratio itself. 3: a processor heard only while it was slow has no true floor; it is
/// given one that leaves the ratio here. 80: the paper's best upper bound, for a very low floor.
const UPPER_RATIO: (f64, f64) = (3.0, 80.0);
/// Span of the smoothing, seconds: the design's "about two seconds".
const SMOOTHING: f64 = 2.0;
/// Least weight of one sample, so that a burst of answers counts too.
const LEAST_WEIGHT: f64 = 0.2;
/// A sample below the estimate weighs this many times more: in a line served in turn the newest answer
/// is the best word on the backlog, so a drained backlog must not hold the ratio up.
const FALL_FASTER: f64 = 2.0;
/// Span over which the most answers seen in a second fade, seconds: several times the smoothing.
const ANSWER_SPAN: f64 = 20.0;
/// Set-ups out at once that are never too many, or one for each exchange where there are fewer.
const LEAST_OUT: f64 = 6.0;
/// A class of this many times the mean worth of own calls is valued: under pressure it goes first.
const VALUED_WORTH: f64 = 1.5;
/// Valued calls pass a shut latch while the delay to expect is below this share of their aim.
const VALUED_OF_AIM: f64 = 0.6;
/// A call without a way is looked at again after this time, a few ticks.
const HOLD_STEP: Duration = Duration::from_millis(50);
/// It is held for this share of its aim; the rest is for the set-up, or for its caller to be back in time.
const HOLD_OF_AIM: f64 = 0.5;
/// A refused caller who could still have the call stand in time is told to stay away for this share of the
/// time left: it leaves room for the way, the look and the wait of another try or two.
const STAY_OF_LEFT: f64 = 0.2;
/// Late calls go out under this part of the backlog limit: what they can earn is less than half.
const LATE_PART: f64 = 0.3;
/// Weight of one caller in the mean patience: some thirty callers.
const CALLER_WEIGHT: f64 = 0.03;
/// Gap between sample set-ups to a shut processor: one a second, by design.
const SAMPLE_GAP: Duration = Duration::from_secs(1);
/// Outcomes that tell what the own exchange adds: fewer may all come from one slow processor.
const ENOUGH_OUTCOMES: usize = 4;
/// No event for this share of the aim is a standstill of this controller.
const STANDSTILL_OF_AIM: f64 = 0.2;
/// Circuits that tandem legs leave free: this many square roots of the group's size, one at least.
const RESERVE_ROOTS: f64 = 0.5;
/// A pair that a tandem turned back is left alone for this long, seconds: the mean time in which a full
/// group of some tens of circuits gets one free again and others take it.
const TURNED_BACK_REST: f64 = 1.0;
/// Tandems tried for one call at most: each turn-back is work for two processors.
const MOST_TANDEMS: usize = 2;
/// Faults and ends of a connection that are excused for one call: they speak of that set-up alone.
const MOST_EXCUSED: u32 = 4;
/// Faults in a row, with no other answer between, by which a processor has failed as a whole.
const FAULTS_IN_A_ROW: u32 = 50;
/// Each turn-back in a row doubles the rest, up to this many mean holds: by then half the calls on the
/// second leg are others.
const TURNED_BACK_MOST: f64 = 0.7;
/// First gap between calls to a number found busy, as a share of the class's mean hold.
const BUSY_GAP_OF_HOLD: f64 = 0.05;
/// Longest such gap, in mean holds: a line comes free about this often at the worst.
const BUSY_GAP_MOST: f64 = 0.5;
/// Set-ups that a processor can do over the most answers ever seen here in a second: each exchange ends
/// about as many calls as it originates, and the best second is a third above what can be kept up.
const OWN_AND_THEIRS: f64 = 1.5;
/// Weight of one call in the mean over own calls: some hundred calls.
const MIX_WEIGHT: f64 = 0.01;
/// Weight of one caller who leaves early in the estimate of how soon they do; half of it, each call that
/// stands speaks for the full aim.
const HURRY_WEIGHT: f64 = 0.1;
/// Wait before asking for the list again after a failure; longer after several, spread by the seed.
const LIST_RETRY: Duration = Duration::from_secs(1);

fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

/// What own set-ups tell of one processor: smoothed delay, lowest delay, and the latch.
#[derive(Debug, Default)]
struct Estimate {
    smoothed: Option<f64>,
    lowest: Option<f64>,
    /// When the newest sample that counted was sent.
    sent_newest: Duration,
    shut: bool,
    last_set_up: Option<Duration>,
    /// No sample before this: a set-up given up may still wait in line for as long again.
    rest_until: Duration,
    /// Faults since the last other answer.
    faults: u32,
    unanswered: BTreeSet<(Duration, CallId)>,
}

impl Estimate {
    /// Takes in the delay of a set-up sent at `sent`.
    fn sample(&mut self, sent: Duration, delay: f64) {
        let Some(old) = self.smoothed else {
            self.smoothed = Some(delay);
            self.sent_newest = sent;
            return;
        };
        // Judge by send order: once a later set-up is answered, the backlog's older answers are old news
        // and may not raise the ratio.
        if sent < self.sent_newest && delay > old {
            return;
        }
        let gap = secs(sent.saturating_sub(self.sent_newest));
        let mut weight = (1.0 - (-gap / SMOOTHING).exp()).max(LEAST_WEIGHT);
        if delay < old {
            weight = (weight * FALL_FASTER).min(1.0);
        }
        self.smoothed = Some(old + weight * (delay - old));
        self.sent_newest = self.sent_newest.max(sent);
    }

    /// The delay to expect: the smoothed one, or the age of the oldest unanswered set-up, less what the
    /// own exchange adds.
    fn expected(&self, now: Duration, own: &Own) -> f64 {
        let oldest = self.unanswered.first();
        let age = oldest.map_or(0.0, |(t, _)| secs(now.saturating_sub((*t).max(own.woke))) - own.delay);
        self.smoothed.unwrap_or(0.0).max(age)
    }

    /// Sets the latch from the response ratio. The age of the oldest unanswered set-up counts as a delay
    /// already seen: it guards against processors that answer nothing (hang, crash, lost link) before a
    /// time-out tells. It could harm where one lost answer stands for none; the sample a second repairs it.
    fn latch(&mut self, now: Duration, aim: f64, own: &Own) -> bool {
        let floor = self.lowest.unwrap_or(f64::INFINITY).min(aim * UPPER_OF_AIM / UPPER_RATIO.0);
        let upper = (aim * UPPER_OF_AIM / floor).min(UPPER_RATIO.1);
        let ratio = self.expected(now, own) / floor;
        if ratio > upper {
            self.shut = true;
        } else if ratio < upper * LOWER_OF_UPPER {
            self.shut = false;
        }
        self.shut
    }
}

/// What the own exchange adds to every delay seen from it, and must not be held against the others.
#[derive(Debug, Default)]
struct Own {
    /// Outcomes of the last second, a few at least: when, how far above the lowest for their processor,
    /// and whether it was an answer.
    outcomes: VecDeque<(Duration, f64, bool)>,
    /// The lowest delay of any answer, for processors not heard yet.
    lowest: f64,
    /// The least that any of them exceeded its lowest by: a wait that all share is here.
    delay: f64,
    /// The own processor is shut for own calls: the two-bound latch of the far ones.
    shut: bool,
    /// End of the last standstill, from where ages run, and how long it was.
    woke: Duration,
    stood_still: Duration,
}

/// One processor of the list, with its trunk group.
#[derive(Debug)]
struct Far {
    number: ExchangeNumber,
    zone: u32,
    /// Gone ones are kept until the number has another: the trunk group outlives them.
    phase: Phase,
    started_at: Duration,
    /// When this controller was told of that start, and when its last set-up was due under the cold budget.
    told: Duration,
    due: Option<Duration>,
    free: Option<u32>,
    size: u32,
    est: Estimate,
}

impl Far {
    /// Circuits that a tandem leg leaves free here.
    fn reserve(&self, rank: Rank) -> u32 {
        if rank == Rank::Valued {
            return 0;
        }
        ((f64::from(self.size).sqrt() * RESERVE_ROOTS).round() as u32).max(1)
    }

    fn has_room(&self, circuits: u32, reserve: u32) -> bool {
        self.free.is_none_or(|f| f >= circuits.saturating_add(reserve))
    }
}

#[derive(Debug)]
enum CallState {
    /// Between attempts, until then.
    Waiting(Duration),
    Out(ExchangeId, Duration),
    Standing,
}

#[derive(Debug)]
struct Held {
    new: NewCall,
    state: CallState,
    deadline: Duration,
    /// When its caller first tried, as far as is known here.
    first_try: Duration,
    attempts: u32,
    /// No answer is owed any more; kept for the outcome of its attempt.
    over: bool,
    /// Processors tried in vain.
    tried: Vec<ExchangeId>,
    /// Faults and ends of a connection after which it was sent again all the same.
    excused: u32,
    /// The first attempt that may have run: where and when.
    may_have_run: Option<(ExchangeId, Duration)>,
}

enum Wake {
    Call(CallId),
    List,
}

/// What is known of the group between two other exchanges. A group serves both directions alike, so one
/// entry speaks for either of the two as the tandem.
#[derive(Default)]
struct Pair {
    /// Left alone until then, after a turn-back.
    rest_until: Duration,
    /// Turn-backs in a row; none where the last news was a call that stood.
    times: u32,
}

fn pair(a: ExchangeNumber, b: ExchangeNumber) -> (ExchangeNumber, ExchangeNumber) {
    (a.min(b), a.max(b))
}

/// What a call can still earn, against the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rank {
    /// It can only stand late.
    Late,
    Ordinary,
    /// Of much more than the mean worth.
    Valued,
}

/// What admission and route choice come to.
enum Verdict {
    Send(ExchangeId),
    /// No way now, but there may soon be one.
    Hold,
    Refuse,
}

/// The controller of one exchange (or one sender to pools).
pub struct Controller {
    settings: Settings,
    now: Duration,
    far: BTreeMap<ExchangeId, Far>,
    calls: BTreeMap<CallId, Held>,
    timers: BTreeMap<TimerId, Wake>,
    next_timer: u64,
    /// The processor in service at a number: the one started last, should there be two.
    serving: BTreeMap<ExchangeNumber, ExchangeId>,
    /// What calls over tandems told of the groups between other exchanges.
    pairs: BTreeMap<(ExchangeNumber, ExchangeNumber), Pair>,
    /// Numbers found busy: gap between calls, seconds, and the next one.
    busy: BTreeMap<DialledNumber, (f64, Duration)>,
    /// First tries of calls refused or failed, to know them when dialled again, until their deadline.
    refused: BTreeMap<DialledNumber, (Duration, Duration)>,
    refused_swept: usize,
    /// Mean aim of the own calls, seconds.
    mean_aim: f64,
    mean_worth: f64,
    /// Mean patience of the own calls that were not found late, seconds.
    mean_patience: f64,
    /// How soon callers leave, as a share of the aim; 1 while they stay.
    hurry: f64,
    own: Own,
    /// The most answers seen in a second, fading and ever.
    most_answers: f64,
    most_ever: f64,
    seed: u64,
    list_fails: u32,
}

impl Controller {
    /// A controller without state. `seed` spreads what siblings would otherwise do in step.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let classes = settings.classes.len() as f64;
        let mean_aim = settings.classes.iter().map(|c| secs(c.target_delay)).sum::<f64>() / classes;
        let mean_worth = settings.classes.iter().map(|c| c.worth).sum::<f64>() / classes;
        Ok(Controller {
            settings,
            now: Duration::ZERO,
            far: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            serving: BTreeMap::new(),
            pairs: BTreeMap::new(),
            busy: BTreeMap::new(),
            refused: BTreeMap::new(),
            refused_swept: 64,
            mean_aim,
            mean_worth,
            mean_patience: 0.0,
            hurry: 1.0,
            own: Own { lowest: mean_aim, ..Own::default() },
            most_answers: 0.0,
            most_ever: 0.0,
            seed,
            list_fails: 0,
        })
    }

    /// What the controller was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Listed processors that get no ordinary set-up now: shut ones, as last judged, and those that drain.
    pub fn avoided(&self) -> usize {
        let avoided = |f: &&Far| f.phase == Phase::Draining || f.phase == Phase::InService && f.est.shut;
        self.far.values().filter(avoided).count()
    }

    /// Takes in one event and appends what is to be done. `now` never goes back.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let before = self.now;
        self.now = self.now.max(now);
        if secs(self.now - before) > self.mean_aim * STANDSTILL_OF_AIM {
            (self.own.woke, self.own.stood_still) = (self.now, self.now - before);
        }
        match event {
            Event::Started => self.subscribe(actions),
            Event::List(list) => self.take_list(list, actions),
            Event::Call(new) => self.take_call(new, actions),
            Event::Answered { call, attempt, delay } => self.stands(call, attempt, delay),
            Event::AttemptEnded(end) => self.attempt_over(end, actions),
            Event::CallerAbandoned(call) => self.caller_gone(call),
            Event::Circuits { exchange, free, size } => {
                if let Some(far) = self.far.get_mut(&exchange) {
                    (far.free, far.size) = (Some(free), size);
                }
            }
            Event::Timer(timer) => match self.timers.remove(&timer) {
                Some(Wake::Call(call)) => self.wake(call, actions),
                Some(Wake::List) => self.subscribe(actions),
                None => {}
            },
        }
    }

    // ---- Far-processor estimate and latch -------------------------------------------------------

    fn shut(&mut self, exchange: ExchangeId) -> bool {
        let (now, aim, own) = (self.now, self.mean_aim * self.hurry, &self.own);
        self.far.get_mut(&exchange).is_none_or(|f| f.est.latch(now, aim, own))
    }

    /// Whether a shut processor is due its sample set-up. A sample unanswered holds the next one back
    /// until it is answered or given up, so that samples do not themselves feed a backlog.
    fn sample_due(&self, exchange: ExchangeId) -> bool {
        self.far.get(&exchange).map(|f| &f.est).is_some_and(|e| {
            let gap_over = e.last_set_up.is_none_or(|t| self.now >= t + SAMPLE_GAP);
            gap_over && e.unanswered.is_empty() && self.now >= e.rest_until
        })
    }

    /// Whether a set-up to a processor would still stand well within a class's aim. Lets calls of much
    /// more than the mean worth pass a latch that is shut for the others' sake.
    fn in_time(&self, exchange: ExchangeId, class: usize) -> bool {
        let most = secs(self.settings.classes[class].target_delay) * VALUED_OF_AIM - self.own.delay;
        self.far.get(&exchange).is_some_and(|f| f.est.expected(self.now, &self.own) < most)
    }

    /// Notes how far an outcome of a set-up lay above the lowest delay of its processor: what all share is
    /// the own processor's. Guards against shutting every latch for a wait that is here, and against a
    /// jam here in which all own set-ups time out. Where all far processors slow alike it takes theirs
    /// for the own one, which then sheds in their place.
    fn outcome(&mut self, exchange: ExchangeId, delay: f64, answer: bool) {
        let (now, own) = (self.now, &mut self.own);
        own.lowest = if answer { own.lowest.min(delay) } else { own.lowest };
        let lowest = self.far.get(&exchange).and_then(|f| f.est.lowest).unwrap_or(own.lowest);
        let gap = own.outcomes.back().map_or(0.0, |(t, ..)| secs(now - *t));
        self.most_answers *= (-gap / ANSWER_SPAN).exp();
        own.outcomes.push_back((now, delay - lowest, answer));
        while own.outcomes.len() > ENOUGH_OUTCOMES && own.outcomes[0].0 + SAMPLE_GAP < now {
            own.outcomes.pop_front();
        }
        let answers = own.outcomes.iter().filter(|(t, _, a)| *a && *t + SAMPLE_GAP >= now).count();
        self.most_answers = self.most_answers.max(answers as f64);
        self.most_ever = self.most_ever.max(self.most_answers);
        let least = own.outcomes.iter().map(|(_, e, _)| *e).fold(f64::INFINITY, f64::min);
        own.delay = if own.outcomes.len() < ENOUGH_OUTCOMES { 0.0 } else { least.max(0.0) };
        let upper = self.mean_aim * self.hurry * UPPER_OF_AIM;
        own.shut = own.delay > upper || own.shut && own.delay > upper * LOWER_OF_UPPER;
    }

    /// Whether the set-ups out, at the rate at which answers come back, already amount to a delay beyond
    /// the upper bound: all of them pass the own processor. Guards against bursts (calls cut and dialled
    /// again, a flash crowd, a slowed own processor) that no far delay shows before it is too late.
    /// Set-ups to shut processors wait there and do not count. Could harm after a lull, until answers show
    /// again what rate is possible; a few are always let out. With the own latch shut it is one, a sample.
    fn backlogged(&self, rank: Rank) -> bool {
        let open = self.far.values().filter(|f| self.own.shut || !f.est.shut);
        let out: usize = open.map(|f| f.est.unanswered.len()).sum();
        let most = self.most_answers * self.mean_aim * self.hurry * UPPER_OF_AIM;
        let part = if rank == Rank::Late { LATE_PART } else { 1.0 };
        let most = part * most.max(LEAST_OUT.min(self.far.len() as f64));
        out as f64 >= if self.own.shut { 1.0 } else { most }
    }

    // ---- Admission ------------------------------------------------------------------------------

    /// Decides a call that has no attempt out: where it goes now, or that it is refused.
    fn decide(&mut self, call: CallId) -> Verdict {
        let Some(held) = self.calls.get(&call) else {
            return Verdict::Refuse;
        };
        let new = held.new.clone();
        if held.attempts >= self.settings.max_attempts
            || held.deadline <= self.now + self.settings.tick_interval
        {
            return Verdict::Refuse;
        }
        let transit = new.origin == Origin::Transit;
        let first = held.attempts == 0;
        if first && !transit && !self.number_open(new.dialled) {
            return Verdict::Refuse;
        }
        let Some(destination) = self.serving(new.destination) else {
            return Verdict::Refuse;
        };
        let rank = self.rank(call);
        let passes = rank == Rank::Valued && self.in_time(destination, new.class);
        let shut = self.shut(destination) && !passes;
        let sample = first && rank != Rank::Late && self.sample_due(destination);
        if self.backlogged(rank) || shut && !sample {
            return Verdict::Hold;
        }
        let reserve = match rank {
            Rank::Ordinary | Rank::Valued if !transit => 0,
            _ => self.far[&destination].reserve(rank),
        };
        let held = &self.calls[&call];
        let direct_ok = !held.tried.contains(&destination) && self.may_send(held, destination);
        if direct_ok && self.far[&destination].has_room(new.circuits, reserve) {
            return Verdict::Send(destination);
        }
        let knocked = self.calls[&call].tried.len() >= MOST_TANDEMS;
        if transit || shut || knocked || rank == Rank::Late || !self.warm_enough(destination, true) {
            return Verdict::Hold;
        }
        self.tandem(call, &new, rank).map_or(Verdict::Hold, Verdict::Send)
    }

    /// A call's rank. The aim runs from the caller's first try, so one who was refused and dials again
    /// late earns little and would take what a fresh call needs: under pressure late calls yield. So does
    /// one that the own exchange's wait will make late: sent, it would only keep others from their time.
    fn rank(&self, call: CallId) -> Rank {
        let held = &self.calls[&call];
        let class = &self.settings.classes[held.new.class];
        if secs(self.now - held.first_try) + self.own.delay >= secs(class.target_delay) {
            Rank::Late
        } else if class.worth >= VALUED_WORTH * self.mean_worth {
            Rank::Valued
        } else {
            Rank::Ordinary
        }
    }

    /// Guards against a number whose lines are all busy and whose callers dial again at once: one call a
    /// gap, the gap doubled by each busy answer and halved by each call that stands.
    fn number_open(&mut self, dialled: DialledNumber) -> bool {
        let now = self.now;
        self.busy.get_mut(&dialled).is_none_or(|(gap, next)| {
            let open = now >= *next;
            *next = if open { now + Duration::from_secs_f64(*gap) } else { *next };
            open
        })
    }

    // ---- Route choice ---------------------------------------------------------------------------

    /// The processor in service at a number. Direct and tandem routes both go by it, so nothing new
    /// reaches a processor told to drain or gone.
    fn serving(&self, number: ExchangeNumber) -> Option<ExchangeId> {
        self.serving.get(&number).copied()
    }

    /// The open tandem of lowest smoothed delay with room on its first leg; unheard counts as lowest.
    /// Tandems whose second leg is known to have had room go first: the advised one, then those over which
    /// a call stood last. Where pairs lack a group a blind try is turned back half the time, at the cost
    /// of two looks. Equal ones are told apart by the seed, so that siblings do not all take the same.
    fn tandem(&mut self, call: CallId, new: &NewCall, rank: Rank) -> Option<ExchangeId> {
        let ids: Vec<_> = self.serving.iter().map(|(n, id)| (*n, *id)).collect();
        let mut best: Option<((u32, f64, u64), ExchangeId)> = None;
        for (number, id) in ids {
            let open = !self.shut(id);
            let (held, far) = (&self.calls[&call], &self.far[&id]);
            let pair = self.pairs.get(&pair(number, new.destination));
            if !open
                || number == new.destination
                || pair.is_some_and(|p| p.rest_until > self.now)
                || held.tried.contains(&id)
                || !far.has_room(new.circuits, far.reserve(rank))
                || !self.may_send(held, id)
            {
                continue;
            }
            let stood = pair.is_some_and(|p| p.times == 0);
            let doubt = if new.route_hint == Some(number) { 0 } else { 2 - u32::from(stood) };
            let delay = self.far[&id].est.smoothed.unwrap_or(0.0);
            let spread = (self.seed ^ u64::from(number.0)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let key = (doubt, delay, spread);
            if best.as_ref().is_none_or(|(k, _)| key < *k) {
                best = Some((key, id));
            }
        }
        best.map(|(_, id)| id)
    }

    // ---- Attempts -------------------------------------------------------------------------------

    fn take_call(&mut self, new: NewCall, actions: &mut Vec<Action>) {
        let call = new.call;
        if new.class >= self.settings.classes.len() {
            return actions.push(Action::Fail(call));
        } else if self.calls.contains_key(&call) {
            return;
        }
        if new.origin != Origin::Transit {
            let aim = secs(self.settings.classes[new.class].target_delay);
            self.mean_aim += (aim - self.mean_aim) * MIX_WEIGHT;
            let worth = self.settings.classes[new.class].worth;
            self.mean_worth += (worth - self.mean_worth) * MIX_WEIGHT;
            if self.now != self.own.woke {
                self.mean_patience += (secs(new.patience) - self.mean_patience) * CALLER_WEIGHT;
            }
        }
        // Found at the end of a standstill, a call has waited by as much as its patience is short.
        let found_late = self.now == self.own.woke && new.origin != Origin::Transit;
        let short = Duration::from_secs_f64((self.mean_patience - secs(new.patience)).max(0.0));
        let waited = if found_late { short.min(self.own.stood_still) } else { Duration::ZERO };
        let fresh = matches!(new.origin, Origin::Transit | Origin::DroppedCall);
        let known = self.refused.get(&new.dialled).filter(|(_, until)| !fresh && *until > self.now);
        let first_try = known.map_or(self.now.saturating_sub(waited), |(first, _)| *first);
        let held = Held {
            first_try,
            deadline: self.now.saturating_add(new.patience),
            new,
            state: CallState::Waiting(self.now),
            attempts: 0,
            over: false,
            tried: Vec::new(),
            excused: 0,
            may_have_run: None,
        };
        self.calls.insert(call, held);
        self.proceed(call, actions);
    }

    /// Carries out the decision on a call that has no attempt out.
    fn proceed(&mut self, call: CallId, actions: &mut Vec<Action>) {
        match self.decide(call) {
            Verdict::Send(exchange) => self.send(call, exchange, actions),
            Verdict::Hold if self.may_hold(call) => {
                if let Some(held) = self.calls.get_mut(&call) {
                    held.state = CallState::Waiting(self.now + HOLD_STEP);
                }
                self.timer(HOLD_STEP, Wake::Call(call), actions);
            }
            _ => self.answer(call, actions),
        }
    }

    /// Whether a call that finds no way now waits for one: only while it could still stand in time. Else it
    /// is answered at once, with the time to come back. Each try costs a look at the own processor, which
    /// a short wait saves; could harm where callers would do better elsewhere at once.
    fn may_hold(&self, call: CallId) -> bool {
        let held = &self.calls[&call];
        let aim = self.settings.classes[held.new.class].target_delay;
        let until = held.first_try + aim.mul_f64(HOLD_OF_AIM * self.hurry);
        let in_time = self.rank(call) != Rank::Late && self.now + HOLD_STEP < until.min(held.deadline);
        held.new.origin != Origin::Transit && in_time
    }

    fn send(&mut self, call: CallId, exchange: ExchangeId, actions: &mut Vec<Action>) {
        let now = self.now;
        let due = self.far.get(&exchange).map(|f| self.cold_due(f));
        let (Some(held), Some(far)) = (self.calls.get_mut(&call), self.far.get_mut(&exchange)) else {
            return;
        };
        far.due = due.map(|(due, gap)| due.max(now.saturating_sub(gap)));
        held.attempts += 1;
        held.state = CallState::Out(exchange, now);
        far.est.last_set_up = Some(now);
        far.est.unanswered.insert((now, call));
        far.free = far.free.map(|f| f.saturating_sub(held.new.circuits));
        // What stands later than the aim earns little, and its work and circuits are wanted by others.
        let aim = self.settings.classes[held.new.class].target_delay;
        let timeout = held.deadline.saturating_sub(now).min(aim);
        actions.push(Action::SetUp { call, exchange, timeout });
    }

    /// The final answer, and the end of the call's state.
    fn answer(&mut self, call: CallId, actions: &mut Vec<Action>) {
        let Some(held) = self.calls.remove(&call) else {
            return;
        };
        self.note_first_try(&held);
        let idempotency = self.settings.classes[held.new.class].idempotency;
        if held.may_have_run.is_none() || idempotency.allows_refusal() {
            let retry_after = Some(self.stay_away(&held)).filter(|d| !d.is_zero());
            actions.push(Action::Refuse { call, retry_after });
        } else {
            actions.push(Action::Fail(call));
        }
    }

    /// How long a refused caller should stay away. While the call could still stand in time it is told to be
    /// back within that time; to a busy number, when the next call may go there; else to stay away for as
    /// long as callers do. Guards against callers who come back when their call is worth little and keep
    /// others from their time; could harm where the way stays shut, by a look for each try.
    fn stay_away(&self, held: &Held) -> Duration {
        let most = self.settings.max_retry_after;
        if let Some((_, next)) = self.busy.get(&held.new.dialled).filter(|(_, next)| *next > self.now) {
            return (*next - self.now).min(most);
        }
        let aim = self.settings.classes[held.new.class].target_delay;
        let left = secs((held.first_try + aim).saturating_sub(self.now)) - self.own.delay;
        if left > 0.0 {
            most.min(Duration::from_secs_f64(left * STAY_OF_LEFT))
        } else {
            most
        }
    }

    /// Remembers when the caller of a call that came to nothing first tried.
    fn note_first_try(&mut self, held: &Held) {
        if held.new.origin == Origin::Transit {
            return;
        }
        let until = held.first_try + self.settings.classes[held.new.class].deadline;
        self.refused.insert(held.new.dialled, (held.first_try, until));
        if self.refused.len() >= self.refused_swept * 2 {
            self.refused.retain(|_, (_, until)| *until > self.now);
            self.refused_swept = self.refused.len().max(64);
        }
    }

    /// Ends the wait for an attempt; gives its processor and send time if it was the one out.
    fn attempt_ended(&mut self, call: CallId, attempt: u32) -> Option<(ExchangeId, Duration)> {
        let held = self.calls.get_mut(&call)?;
        let CallState::Out(exchange, sent) = held.state else {
            return None;
        };
        if attempt.checked_add(1) != Some(held.attempts) {
            return None;
        }
        if let Some(far) = self.far.get_mut(&exchange) {
            far.est.unanswered.remove(&(sent, call));
        }
        Some((exchange, sent))
    }

    fn stands(&mut self, call: CallId, attempt: u32, delay: Duration) {
        let Some((exchange, sent)) = self.attempt_ended(call, attempt) else {
            return;
        };
        let Some(held) = self.calls.get_mut(&call) else {
            return;
        };
        held.state = CallState::Standing;
        self.hurry += (1.0 - self.hurry) * HURRY_WEIGHT * 0.5;
        let (dialled, destination) = (held.new.dialled, held.new.destination);
        if let Some((gap, _)) = self.busy.get_mut(&dialled) {
            *gap *= 0.5;
        }
        if let Some(tandem) = self.far.get(&exchange).map(|f| f.number) {
            if tandem != destination {
                self.pairs.insert(pair(tandem, destination), Pair::default());
            }
        }
        self.outcome(exchange, secs(delay), true);
        self.sample_answer(exchange, sent, secs(delay));
    }

    /// A delay seen by an answer. The lowest is taken as it was seen; of what lies above it, the own
    /// exchange's part is taken off.
    fn sample_answer(&mut self, exchange: ExchangeId, sent: Duration, delay: f64) {
        let own = self.own.delay;
        if let Some(far) = self.far.get_mut(&exchange) {
            let lowest = far.est.lowest.map_or(delay, |l| l.min(delay)).max(1e-3);
            far.est.lowest = Some(lowest);
            far.est.faults = 0;
            far.est.sample(sent, (delay - own).max(lowest.min(delay)));
        }
    }

    /// Takes in a fault, or a connection that ended: they come from more than a jam, as a spoilt answer or
    /// a call that nobody could have served. Each stands for the delay it took where that is above the
    /// estimate, and else for none, since a processor that fails at once is no tandem of low delay. Only
    /// faults in a row stand for a long delay. Guards against shutting a processor that serves most of its
    /// calls; could harm, by the work of some set-ups more, where one fails for good.
    fn failure(&mut self, exchange: ExchangeId, sent: Duration, (delay, long): (f64, f64), fault: bool) {
        let own = self.own.delay;
        if let Some(est) = self.far.get_mut(&exchange).map(|f| &mut f.est) {
            est.faults += u32::from(fault);
            let delay = if est.faults >= FAULTS_IN_A_ROW { long } else { delay } - own;
            if est.smoothed.is_some_and(|s| delay > s) {
                est.sample(sent, delay);
            }
        }
    }

    fn attempt_over(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let (call, call_ended) = (end.call, end.call_ended);
        let Some(held) = self.calls.get(&call) else {
            return;
        };
        let class = &self.settings.classes[held.new.class];
        let (hold, to, dialled) = (secs(class.mean_hold), held.new.destination, held.new.dialled);
        let Some((exchange, sent)) = self.attempt_ended(call, end.attempt) else {
            if call_ended && matches!(self.calls[&call].state, CallState::Standing) {
                self.calls.remove(&call);
            }
            return;
        };
        let (now, delay) = (self.now, secs(end.delay));
        // A failure stands for a long delay: as long as it took, and the aim at least.
        let long = delay.max(self.mean_aim);
        let direct = self.far.get(&exchange).is_some_and(|f| f.number == to);
        let (mut again, mut release, mut excused) = (true, false, false);
        match end.outcome {
            Outcome::Ended => self.sample_answer(exchange, sent, delay),
            Outcome::NoCircuit => {
                if let Some(far) = self.far.get_mut(&exchange) {
                    far.free = Some(0);
                }
            }
            Outcome::TandemRefused | Outcome::FarProcessorFull => {
                // Speaks of the pair, not of the tandem's processor, which did answer.
                let tandem = self.far.get(&exchange).map_or(to, |f| f.number);
                let p = self.pairs.entry(pair(tandem, to)).or_default();
                let rest = TURNED_BACK_REST * f64::from(1 << p.times.min(16));
                p.rest_until = now + Duration::from_secs_f64(rest.min(hold * TURNED_BACK_MOST));
                p.times += 1;
                self.sample_answer(exchange, sent, delay);
            }
            Outcome::NumberBusy => {
                let first = hold * BUSY_GAP_OF_HOLD;
                let (gap, next) = self.busy.entry(dialled).or_insert((first, now));
                *gap = (*gap * 2.0).clamp(first, hold * BUSY_GAP_MOST);
                *next = now + Duration::from_secs_f64(*gap);
                self.busy.retain(|_, (_, next)| now < *next + Duration::from_secs_f64(hold));
                self.sample_answer(exchange, sent, delay);
                again = false;
            }
            Outcome::Cancelled => release = true,
            Outcome::NotSent => {}
            Outcome::OwnProcessorDown => again = false,
            Outcome::Fault | Outcome::Disconnected => {
                self.failure(exchange, sent, (delay, long), end.outcome == Outcome::Fault);
                release = end.outcome == Outcome::Disconnected;
                excused = self.calls[&call].excused < MOST_EXCUSED;
                again = excused || !direct;
            }
            // Full, a time-out, a cut, no connection: each stands for a long delay. A processor that fails at
            // once would else be the tandem of lowest delay and draw calls.
            _ => {
                let (mut told, mut rest) = (0.0, now.saturating_add(end.delay));
                if let Outcome::ProcessorFull(wait) = end.outcome {
                    (told, rest) = (wait.map_or(0.0, secs), now);
                } else if end.outcome == Outcome::TimedOut {
                    self.outcome(exchange, delay, false);
                }
                if let Some(far) = self.far.get_mut(&exchange) {
                    far.est.sample(sent, long.max(told) - self.own.delay);
                    far.est.rest_until = far.est.rest_until.max(rest);
                }
                release = matches!(end.outcome, Outcome::TimedOut | Outcome::Reset);
                again = !direct;
            }
        }
        let Some(held) = self.calls.get_mut(&call) else {
            return;
        };
        if call_ended || held.over {
            self.calls.remove(&call);
            return;
        }
        if !end.outcome.proves_not_run() && held.may_have_run.is_none() {
            held.may_have_run = Some((exchange, sent));
        }
        if excused {
            held.excused += 1;
        } else {
            held.tried.push(exchange);
        }
        held.state = CallState::Waiting(now);
        let wait = self.settings.rules.release_delay * u32::from(release);
        let until = if release {
            held.first_try + self.settings.classes[held.new.class].target_delay
        } else {
            held.deadline
        };
        let in_time = now + wait + self.settings.tick_interval * 4 < until.min(held.deadline);
        if !again || !in_time || held.new.origin == Origin::Transit {
            self.answer(call, actions);
        } else if release {
            held.state = CallState::Waiting(now + wait);
            self.timer(wait, Wake::Call(call), actions);
        } else {
            self.proceed(call, actions);
        }
    }

    /// A call's wait is over.
    fn wake(&mut self, call: CallId, actions: &mut Vec<Action>) {
        let Some(held) = self.calls.get(&call) else {
            return;
        };
        match held.state {
            CallState::Waiting(until) if until <= self.now => self.proceed(call, actions),
            CallState::Waiting(until) => self.timer(until - self.now, Wake::Call(call), actions),
            _ => {}
        }
    }

    /// The caller left. Those who leave well before their time show how soon an answer is wanted: bounds
    /// and holding shrink with it. Guards against calls that would stand in time with nobody there; could
    /// harm, by refusing early, where only a few callers hurry.
    fn caller_gone(&mut self, call: CallId) {
        let Some(mut held) = self.calls.remove(&call) else {
            return;
        };
        if self.now + self.settings.tick_interval * 4 < held.deadline
            && held.new.origin != Origin::Transit
        {
            let came = held.deadline.saturating_sub(held.new.patience);
            let aim = self.settings.classes[held.new.class].target_delay;
            let stayed = (secs(self.now.saturating_sub(came)) / secs(aim)).min(1.0);
            self.hurry += (stayed - self.hurry) * HURRY_WEIGHT;
        }
        self.note_first_try(&held);
        if !matches!(held.state, CallState::Waiting(_)) {
            held.over = true;
            self.calls.insert(call, held);
        }
    }

    fn timer(&mut self, after: Duration, wake: Wake, actions: &mut Vec<Action>) {
        let timer = TimerId(self.next_timer);
        self.next_timer += 1;
        self.timers.insert(timer, wake);
        actions.push(Action::SetTimer { timer, after });
    }

    // ---- Guards ---------------------------------------------------------------------------------

    /// The rules that bind every set-up, besides drains: not to the own exchange, the cold budget, and
    /// repeats of calls that may have run.
    fn may_send(&self, held: &Held, exchange: ExchangeId) -> bool {
        let Some(far) = self.far.get(&exchange) else {
            return false;
        };
        let class = &self.settings.classes[held.new.class];
        let here = match self.settings.topology {
            Topology::Mesh { local } => far.number == local,
            Topology::Pools => !class.pools.is_empty() && !class.pools.contains(&far.number),
        };
        if here || !self.warm_enough(exchange, far.number == held.new.destination) {
            return false;
        }
        let Some((first, sent)) = held.may_have_run else {
            return true;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { scope, window } => {
                self.now < sent + window
                    && match (scope, self.far.get(&first)) {
                        (DedupScope::All, _) => true,
                        (DedupScope::Zone, Some(f)) => f.zone == far.zone,
                        (DedupScope::Number, Some(f)) => f.number == far.number,
                        (_, None) => false,
                    }
            }
        }
    }

    /// Cold budget. All controllers together may send a processor that started lately no more than a
    /// multiple of what it can do in any window. Each sends its part, a gap apart; one not used is kept. The
    /// first waits for its turn, as all hear of the start at once and hold calls. Calls offered grow with
    /// redials, so it goes by those carried. Could harm where one pair has far more traffic than others.
    /// Where a part is under one a window, calls for others wait a gap more: an unheard tandem is lowest in
    /// delay.
    fn warm_enough(&self, exchange: ExchangeId, own: bool) -> bool {
        self.far.get(&exchange).is_some_and(|far| {
            let (due, gap) = self.cold_due(far);
            let more = gap * u32::from(!own && gap > self.settings.rules.overload_window);
            let warm_at = far.started_at.saturating_add(self.settings.rules.warm_up_time);
            far.started_at.is_zero() || self.now >= warm_at.min(due + more)
        })
    }

    /// When the next set-up to a processor is due under the cold budget, and the gap.
    fn cold_due(&self, far: &Far) -> (Duration, Duration) {
        let (rules, siblings) = (&self.settings.rules, f64::from(self.settings.controller_count));
        let can = self.most_ever.max(1.0) * OWN_AND_THEIRS * rules.cold_capacity_ratio;
        let gap = (siblings / (rules.overload_multiple * can)).min(secs(rules.warm_up_time));
        let turn =
            f64::from(far.number.0.wrapping_add(self.settings.controller_index)) % siblings / siblings;
        let gap = Duration::from_secs_f64(gap);
        (far.due.map_or(far.told + gap.mul_f64(turn), |t| t + gap), gap)
    }

    fn subscribe(&mut self, actions: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest {
            actions.push(Action::Subscribe);
        }
    }

    fn take_list(&mut self, list: ListUpdate, actions: &mut Vec<Action>) {
        let whole = matches!(list, ListUpdate::Full(_));
        let entries = match list {
            ListUpdate::Failed => {
                self.list_fails += 1;
                let spread = 1.0 + (self.seed % 1000) as f64 / 1000.0;
                let wait = LIST_RETRY.mul_f64(spread * f64::from(self.list_fails.min(4)));
                self.timer(wait, Wake::List, actions);
                return;
            }
            ListUpdate::Delta(entries) => entries,
            ListUpdate::Full(entries) => {
                self.far.values_mut().for_each(|f| f.phase = Phase::Gone);
                entries
            }
        };
        self.list_fails = 0;
        for e in entries {
            let old = self.far.remove(&e.exchange);
            // A replacement takes over the trunk group: nobody tells again that it is full or missing.
            let same = old.as_ref().or_else(|| self.far.values().find(|f| f.number == e.number));
            let (free, size) = same.map_or((None, 0), |f| (f.free, f.size));
            let start = old.as_ref().filter(|f| f.started_at == e.started_at);
            let (told, due) = start.map_or((self.now, None), |f| (f.told, f.due));
            let est = old
                .filter(|f| f.phase != Phase::Gone || whole)
                .map_or_else(Estimate::default, |f| f.est);
            self.far.retain(|_, f| f.number != e.number || f.phase != Phase::Gone || whole);
            let (number, zone, phase, started_at) = (e.number, e.zone, e.phase, e.started_at);
            self.far
                .insert(e.exchange, Far { number, zone, phase, started_at, told, due, free, size, est });
        }
        self.serving.clear();
        let mut started: BTreeMap<ExchangeNumber, Duration> = BTreeMap::new();
        for (id, f) in self.far.iter().filter(|(_, f)| f.phase == Phase::InService) {
            if started.get(&f.number).is_none_or(|t| f.started_at >= *t) {
                started.insert(f.number, f.started_at);
                self.serving.insert(f.number, *id);
            }
        }
    }
}
