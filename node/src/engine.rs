//! The life of every call, on no wire in particular: neutral events in, neutral commands out.
//!
//! The engine owns the [`Controller`] and carries out what it decides. Whatever the controller or a front
//! says, it holds to what the rules ask of any front: one final answer before the caller gives up, one
//! attempt out, the wait for release, and nothing new to an exchange that drains or is gone.

mod liveness;

pub use liveness::ConnectionRequest;

use crate::arena::{Arena, Token};
use crate::end::EndReason;
use crate::liveness::{Incarnation, Liveness};
use crate::log_events::LogEvent;
use crate::timers::TimerQueue;
use slateshed::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The final answer is written this long before the caller gives up at the latest.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);
/// A processor has one line. A direct set-up that this many sent later have overtaken, each by this time at least,
/// will have no answer: it was lost or held up on its way back.
const OVERTAKEN_BY: u32 = 4;
const SENT_LATER: Duration = Duration::from_millis(20);

/// A call in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub Token);

/// An attempt in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptToken(pub Token);

/// Call details that are forwarded unchanged from the caller to the exchange.
#[derive(Debug, PartialEq, Eq)]
pub struct CallInfo {
    /// The caller's id of the call.
    pub id: String,
    /// The class, by name.
    pub class: String,
    /// The number called, as written.
    pub key: String,
    /// The description.
    pub description: String,
}

/// A new call received from a caller.
#[derive(Debug)]
pub struct IncomingCall {
    /// Details forwarded unchanged.
    pub info: Rc<CallInfo>,
    /// Its class, by position in the settings.
    pub class: usize,
    /// The number called.
    pub dialled: DialledNumber,
    /// How long the caller waits from now.
    pub patience: Duration,
    /// Where it goes.
    pub destination: ExchangeNumber,
    /// Circuits it takes.
    pub circuits: u32,
    /// The tandem suggested by a central service.
    pub route_hint: Option<ExchangeNumber>,
    /// Where it comes from.
    pub origin: Origin,
}

/// What the engine wants of the fronts, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the set-up to the exchange.
    SetUp {
        /// The attempt that it starts.
        attempt: AttemptToken,
        /// Where to.
        exchange: ExchangeId,
        /// Details forwarded unchanged.
        info: Rc<CallInfo>,
        /// How long the answer is waited for.
        wait: Duration,
    },
    /// Cancel an unanswered attempt.
    CancelAttempt(AttemptToken),
    /// Release a call that stands towards the exchange.
    ReleaseExchange(AttemptToken, ReleaseCause),
    /// Discard the state of an attempt: its call is lost, and the exchange need not be told.
    ForgetAttempt(AttemptToken),
    /// Final answer: the call stands, with the exchange's description.
    Answer(CallToken, String),
    /// Final answer: refused, with the time to stay away.
    Refuse(CallToken, Option<Duration>),
    /// Final answer: failed.
    Fail(CallToken),
    /// Release a call that stood towards the caller.
    ReleaseCaller(CallToken, ReleaseCause),
}

impl Command {
    /// Whether it goes to the caller's front, not to the exchange's.
    pub fn is_for_caller(&self) -> bool {
        use Command::*;
        matches!(self, Answer(..) | Refuse(..) | Fail(_) | ReleaseCaller(..))
    }
}

/// Why an established call was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseCause {
    /// Normal clearing.
    Normal,
    /// The call was dropped.
    Dropped,
}

/// A timer of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineTimer {
    /// A timer of the controller.
    Controller(TimerId),
    /// Deadline for a call's final answer.
    AnswerDeadline(CallToken),
    /// Timeout of an attempt.
    AttemptTimeout(AttemptToken),
    /// The next liveness review of an exchange with established calls is due.
    Review(ExchangeId),
}

/// Number of calls of one class by final answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResultCounts {
    /// The call stood.
    pub succeeded: u64,
    /// Refused.
    pub declined: u64,
    /// Failed.
    pub aborted: u64,
}

/// Counters since the start, and the current state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Final answers, by class.
    pub results: Vec<ResultCounts>,
    /// Set-ups written whole to exchanges.
    pub forwards: u64,
    /// Calls taken and not ended.
    pub outstanding: usize,
    /// Exchanges in the list.
    pub discovered: usize,
    /// Of these the ones that the controller avoids.
    pub ejected: usize,
    /// Established calls.
    pub established: usize,
    /// Calls that stood and whose callers were told of their end, by why they were over.
    pub releases: BTreeMap<&'static str, u64>,
    /// Set-ups that ended without an answer, by how.
    pub attempt_ends: BTreeMap<&'static str, u64>,
    /// Set-ups that were not the first of their call.
    pub retries: u64,
    /// Checks of exchanges at which calls stand and that were silent.
    pub checks: u64,
    /// Observations that spoke against the life of an exchange.
    pub adverse_observations: u64,
}

#[derive(Debug)]
struct Call {
    info: Rc<CallInfo>,
    class: usize,
    destination: ExchangeNumber,
    /// The final answer has been given before then.
    answer_by: Duration,
    /// No set-up before then, after an attempt that may still hold what it took.
    not_before: Duration,
    /// Attempts so far, and the one that is out or stands.
    attempts: u32,
    attempt: Option<AttemptToken>,
    /// How the last attempt ended.
    last_end: Option<EndReason>,
}

#[derive(Debug)]
struct Attempt {
    call: CallToken,
    exchange: ExchangeId,
    number: u32,
    sent: Duration,
    stands: bool,
    /// When it was answered, and by which process.
    stood: Duration,
    incarnation: Incarnation,
    /// It went to its destination; how many later ones that did have been answered since.
    direct: bool,
    overtaken: u32,
}

#[derive(Debug)]
struct Exchange {
    name: String,
    number: ExchangeNumber,
    phase: Phase,
    started_at: Duration,
    liveness: Liveness,
    /// A review is due in time.
    is_watched: bool,
}

/// The engine.
pub struct Engine {
    controller: Controller,
    /// The longest that a refused caller may be told to stay away.
    max_retry_after: Duration,
    calls: Arena<Call>,
    attempts: Arena<Attempt>,
    /// Those of the list, and those gone on which an attempt is still out.
    exchanges: BTreeMap<ExchangeId, Exchange>,
    names: HashMap<String, ExchangeId>,
    next_exchange: u32,
    /// Events for the controller that came up while others were handled.
    pending: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// After a planned stop was asked for: no answer is owed beyond this.
    stop_by: Option<Duration>,
    results: Vec<ResultCounts>,
    forwards: u64,
    releases: BTreeMap<&'static str, u64>,
    attempt_ends: BTreeMap<&'static str, u64>,
    retries: u64,
    checks: u64,
    adverse_observations: u64,
    /// What the log has not been told yet.
    log_events: VecDeque<LogEvent>,
    /// What is wanted of the connections to exchanges.
    connection_requests: VecDeque<ConnectionRequest>,
}

impl Engine {
    /// An engine without calls.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let max_retry_after = settings.max_retry_after;
        let results = vec![ResultCounts::default(); settings.classes.len()];
        Ok(Engine {
            controller: Controller::new(settings, seed)?,
            max_retry_after,
            calls: Arena::default(),
            attempts: Arena::default(),
            exchanges: BTreeMap::new(),
            names: HashMap::new(),
            next_exchange: 0,
            pending: VecDeque::from([Event::Started]),
            actions: Vec::new(),
            commands: VecDeque::new(),
            stop_by: None,
            results,
            forwards: 0,
            releases: BTreeMap::new(),
            attempt_ends: BTreeMap::new(),
            retries: 0,
            checks: 0,
            adverse_observations: 0,
            log_events: VecDeque::new(),
            connection_requests: VecDeque::new(),
        })
    }

    /// Retry-after for calls that are refused without a decision of the controller, where callers honour it.
    pub fn max_retry_after(&self) -> Option<Duration> {
        Some(self.max_retry_after).filter(|s| !s.is_zero())
    }

    /// Whether a command waits to be carried out.
    pub fn has_commands(&self) -> bool {
        !self.commands.is_empty()
    }

    /// The next command.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// The next event to be logged.
    pub fn next_log_event(&mut self) -> Option<LogEvent> {
        self.log_events.pop_front()
    }

    /// Number of calls without a final answer.
    pub fn unanswered_calls(&self) -> usize {
        let stands = |c: &Call| c.attempt.and_then(|a| self.attempts.get(a.0)).is_some_and(|a| a.stands);
        self.calls.iter().filter(|(_, c)| !stands(c)).count()
    }

    /// Number of established calls.
    pub fn established_calls(&self) -> usize {
        self.attempts.iter().filter(|(_, a)| a.stands).count()
    }

    /// Number of exchanges that are tracked.
    pub fn known_exchanges(&self) -> usize {
        self.exchanges.len().max(self.names.len())
    }

    /// The statistics for operators.
    pub fn stats(&self) -> Stats {
        Stats {
            results: self.results.clone(),
            forwards: self.forwards,
            outstanding: self.calls.len(),
            discovered: self.exchanges.values().filter(|e| e.phase != Phase::Gone).count(),
            ejected: self.controller.avoided(),
            established: self.established_calls(),
            releases: self.releases.clone(),
            attempt_ends: self.attempt_ends.clone(),
            retries: self.retries,
            checks: self.checks,
            adverse_observations: self.adverse_observations,
        }
    }

    /// Counts set-ups that were written completely to an exchange.
    pub fn count_forwards(&mut self, set_ups: u64) {
        self.forwards += set_ups;
    }

    /// Counts a call that was refused before it reached the engine.
    pub fn count_refused(&mut self, class: usize) {
        self.count(class, |r| &mut r.declined);
    }

    fn count(&mut self, class: usize, answer: impl FnOnce(&mut ResultCounts) -> &mut u64) {
        if let Some(results) = self.results.get_mut(class) {
            *answer(results) += 1;
        }
    }

    /// The exchange of a name, if the list has it.
    pub fn exchange(&self, name: &str) -> Option<ExchangeId> {
        self.names.get(name).copied()
    }

    /// The name of an exchange.
    pub fn name(&self, exchange: ExchangeId) -> &str {
        self.exchanges.get(&exchange).map_or("?", |e| &e.name)
    }

    /// The number that an exchange serves.
    pub fn number(&self, exchange: ExchangeId) -> Option<ExchangeNumber> {
        self.exchanges.get(&exchange).map(|e| e.number)
    }

    /// A planned stop: all calls that are owed an answer get one before `by`.
    pub fn stop<D: From<EngineTimer>>(&mut self, by: Duration, timers: &mut TimerQueue<D>) {
        self.stop_by = Some(by);
        for (token, _) in self.calls.iter() {
            timers.schedule(by, EngineTimer::AnswerDeadline(CallToken(token)).into());
        }
    }

    /// Starts a new call.
    pub fn new_call<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        new: IncomingCall,
        timers: &mut TimerQueue<D>,
    ) -> CallToken {
        let limit = self.stop_by.unwrap_or(Duration::MAX);
        let answer_by = now.saturating_add(new.patience).saturating_sub(ANSWER_MARGIN).min(limit);
        let answer_by = answer_by.max(now);
        let call = CallToken(self.calls.insert(Call {
            info: new.info,
            class: new.class,
            destination: new.destination,
            answer_by,
            not_before: Duration::ZERO,
            attempts: 0,
            attempt: None,
            last_end: None,
        }));
        timers.schedule(answer_by, EngineTimer::AnswerDeadline(call).into());
        let event = Event::Call(NewCall {
            call: CallId(call.0.bits()),
            class: new.class,
            tenant: 0,
            dialled: new.dialled,
            patience: answer_by - now,
            destination: new.destination,
            circuits: new.circuits,
            route_hint: new.route_hint,
            origin: new.origin,
        });
        self.tell(now, event, timers);
        call
    }

    /// The caller cancelled the set-up or released the established call.
    pub fn caller_ended<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        call: CallToken,
        timers: &mut TimerQueue<D>,
    ) {
        let Some(c) = self.calls.get(call.0) else {
            return;
        };
        let attempt = c.attempt;
        match attempt.and_then(|a| self.attempts.get(a.0)) {
            Some(a) if a.stands => {
                self.calls.remove(call.0);
                self.end_attempt(now, attempt, EndReason::Cancelled, true, timers);
            }
            _ => {
                self.calls.remove(call.0);
                self.pending.push_back(Event::CallerAbandoned(CallId(call.0.bits())));
                self.end_attempt(now, attempt, EndReason::Cancelled, true, timers);
            }
        }
    }

    /// The exchange has answered: the call stands. False if the attempt is over or stood before. `by`: the process
    /// that the answer's connection leads to; the newest, where fronts don't tell processes apart.
    pub fn answered<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        attempt: AttemptToken,
        by: Option<Incarnation>,
        description: String,
        timers: &mut TimerQueue<D>,
    ) -> bool {
        let Some(a) = self.attempts.get_mut(attempt.0).filter(|a| !a.stands) else {
            return false;
        };
        (a.stands, a.stood) = (true, now);
        if let Some(e) = self.exchanges.get_mut(&a.exchange) {
            a.incarnation = by.unwrap_or_else(|| e.liveness.newest(now));
            e.liveness.record_activity(now, a.incarnation);
        }
        let (call, number, delay) = (a.call, a.number, now.saturating_sub(a.sent));
        let (exchange, sent, direct) = (a.exchange, a.sent, a.direct);
        self.commands.push_back(Command::Answer(call, description));
        if let Some(class) = self.calls.get(call.0).map(|c| c.class) {
            self.count(class, |r| &mut r.succeeded);
        }
        if direct {
            self.overtake(now, exchange, sent);
        }
        self.tell(now, Event::Answered { call: CallId(call.0.bits()), attempt: number, delay }, timers);
        self.watch(now, exchange, timers);
        true
    }

    /// A direct set-up was answered: those sent before it to the same exchange should have been.
    fn overtake(&mut self, now: Duration, exchange: ExchangeId, sent: Duration) {
        let mut lost = Vec::new();
        for (token, a) in self.attempts.iter_mut() {
            if a.exchange == exchange && a.direct && !a.stands && a.sent + SENT_LATER <= sent {
                a.overtaken += 1;
                if a.overtaken >= OVERTAKEN_BY {
                    lost.push(AttemptToken(token));
                }
            }
        }
        for attempt in lost {
            self.commands.push_back(Command::CancelAttempt(attempt));
            self.attempts_over(now, attempt, EndReason::Overtaken, false);
        }
    }

    /// An attempt, out or standing, has ended at the exchange or with its connection. A connection that
    /// ends takes with it only what has not been answered: what stands belongs to no connection.
    pub fn attempt_ended<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        attempt: AttemptToken,
        end: EndReason,
        timers: &mut TimerQueue<D>,
    ) {
        let Some(a) = self.attempts.get(attempt.0) else {
            return;
        };
        if a.stands {
            let call = a.call;
            let cause =
                if end == EndReason::Ended { ReleaseCause::Normal } else { ReleaseCause::Dropped };
            self.note_release(now, attempt, end);
            self.calls.remove(call.0);
            self.commands.push_back(Command::ReleaseCaller(call, cause));
            self.attempts_over(now, attempt, end, true);
        } else {
            self.attempts_over(now, attempt, end, false);
        }
        self.run(now, timers);
    }

    /// Notes that a call was refused.
    fn note_refused(&mut self, call: &Call) {
        let (attempts, last) = (call.attempts, call.last_end);
        self.log_events.push_back(LogEvent::Refused { call: call.info.id.clone(), attempts, last });
    }

    /// Notes that the caller of a call that stands is told of its end.
    fn note_release(&mut self, now: Duration, attempt: AttemptToken, why: EndReason) {
        let Some(a) = self.attempts.get(attempt.0) else {
            return;
        };
        *self.releases.entry(why.name()).or_default() += 1;
        let call = self.calls.get(a.call.0).map_or(String::new(), |c| c.info.id.clone());
        let (exchange, stood) = (self.name(a.exchange).to_owned(), now.saturating_sub(a.stood));
        self.log_events.push_back(LogEvent::Released { call, exchange, why, stood });
    }

    /// Whether an attempt has been answered and not ended.
    pub fn is_answered(&self, attempt: AttemptToken) -> bool {
        self.attempts.get(attempt.0).is_some_and(|a| a.stands)
    }

    /// The state of the group to an exchange.
    pub fn update_circuits<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        (free, size): (u32, u32),
        timers: &mut TimerQueue<D>,
    ) {
        self.tell(now, Event::Circuits { exchange, free, size }, timers);
    }

    /// Applies an update of the list.
    pub fn update_list<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        full: bool,
        lines: &[NamedEntry],
        timers: &mut TimerQueue<D>,
    ) {
        let mut lost = Vec::new();
        let mut entries = Vec::with_capacity(lines.len());
        if full {
            for (id, e) in &mut self.exchanges {
                if !lines.iter().any(|l| l.name == e.name) && e.phase != Phase::Gone {
                    e.phase = Phase::Gone;
                    lost.push((*id, Duration::MAX));
                }
            }
        }
        for l in lines {
            let next = ExchangeId(self.next_exchange);
            self.note_listed(l);
            let id = *self.names.entry(l.name.clone()).or_insert(next);
            self.next_exchange += u32::from(id == next);
            let e = self.exchanges.entry(id).or_insert_with(|| Exchange {
                name: l.name.clone(),
                number: l.number,
                phase: l.phase,
                started_at: l.started_at,
                liveness: Liveness::default(),
                is_watched: false,
            });
            // A process that has started anew knows nothing of the calls before; one withdrawn has none.
            if l.phase == Phase::Gone {
                lost.push((id, Duration::MAX));
            } else if l.started_at > e.started_at {
                lost.push((id, l.started_at));
            }
            (e.phase, e.started_at) = (l.phase, l.started_at);
            entries.push(l.entry(id));
        }
        let list = if full { ListUpdate::Full(entries) } else { ListUpdate::Delta(entries) };
        self.pending.push_back(Event::List(list));
        for (id, until) in lost {
            self.lose(now, id, until, timers);
        }
        self.run(now, timers);
    }

    /// Notes what a line of the list changes.
    fn note_listed(&mut self, line: &NamedEntry) {
        let known = self.names.get(&line.name).and_then(|id| self.exchanges.get(id));
        let from = known.map(|e| e.phase);
        let restarted = known.is_some_and(|e| line.started_at > e.started_at);
        if from != Some(line.phase) || restarted {
            let (exchange, to) = (line.name.clone(), line.phase);
            self.log_events.push_back(LogEvent::PhaseChanged { exchange, from, to, restarted });
        }
    }

    /// Removes the exchanges that are gone, once no attempt is left there. They are replaced for good, under other
    /// names, so whoever keeps them grows for as long as it runs. Fronts look names up until the news is dealt
    /// with, so this is for them to call then.
    pub fn remove_gone(&mut self) {
        let attempts = &self.attempts;
        self.exchanges
            .retain(|id, e| e.phase != Phase::Gone || attempts.iter().any(|(_, a)| a.exchange == *id));
        let exchanges = &self.exchanges;
        self.names.retain(|_, id| exchanges.contains_key(id));
    }

    /// Handles a timer of the engine that is due.
    pub fn timer_due<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        due: EngineTimer,
        timers: &mut TimerQueue<D>,
    ) {
        match due {
            EngineTimer::Controller(timer) => self.pending.push_back(Event::Timer(timer)),
            EngineTimer::AttemptTimeout(attempt) => {
                if self.attempts.get(attempt.0).is_some_and(|a| !a.stands) {
                    self.commands.push_back(Command::CancelAttempt(attempt));
                    self.attempts_over(now, attempt, EndReason::TimedOut, false);
                }
            }
            EngineTimer::AnswerDeadline(call) => self.last_moment(now, call, timers),
            EngineTimer::Review(exchange) => self.review(now, exchange, timers),
        }
        self.run(now, timers);
    }

    /// The caller is about to give up and no answer has been given: it is refused.
    fn last_moment<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        call: CallToken,
        timers: &mut TimerQueue<D>,
    ) {
        let Some(c) = self.calls.get(call.0) else {
            return;
        };
        let attempt = c.attempt;
        if attempt.is_some_and(|a| self.is_answered(a)) {
            return;
        }
        if let Some(attempt) = attempt {
            // The controller may still have its say: it hears of a time-out first.
            self.commands.push_back(Command::CancelAttempt(attempt));
            self.attempts_over(now, attempt, EndReason::TimedOut, false);
            self.run(now, timers);
        }
        if let Some(c) = self.calls.remove(call.0) {
            self.count(c.class, |r| &mut r.declined);
            self.note_refused(&c);
            self.pending.push_back(Event::CallerAbandoned(CallId(call.0.bits())));
            let stay = self.max_retry_after();
            self.commands.push_back(Command::Refuse(call, stay));
        }
    }

    /// Whatever has stood at an exchange since `until` or before is over. News may be late: what its new process has
    /// answered since it started goes on.
    fn lose<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        until: Duration,
        timers: &mut TimerQueue<D>,
    ) {
        let there = self.attempts.iter().filter(|(_, a)| a.exchange == exchange && a.stands);
        let there = there.filter(|(_, a)| a.stood <= until);
        let there: Vec<_> = there.map(|(t, _)| AttemptToken(t)).collect();
        for attempt in there {
            self.commands.push_back(Command::ForgetAttempt(attempt));
            self.attempt_ended(now, attempt, EndReason::Dropped, timers);
        }
    }

    /// Ends the attempt of a call that is already over on the caller's side.
    fn end_attempt<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        attempt: Option<AttemptToken>,
        end: EndReason,
        call_ended: bool,
        timers: &mut TimerQueue<D>,
    ) {
        if let Some(token) = attempt {
            if let Some(a) = self.attempts.get(token.0) {
                self.commands.push_back(if a.stands {
                    Command::ReleaseExchange(token, ReleaseCause::Normal)
                } else {
                    Command::CancelAttempt(token)
                });
                self.attempts_over(now, token, end, call_ended);
            }
        }
        self.run(now, timers);
    }

    /// Takes an attempt out of the tables and has the controller told.
    fn attempts_over(&mut self, now: Duration, token: AttemptToken, end: EndReason, call_ended: bool) {
        let Some(a) = self.attempts.remove(token.0) else {
            return;
        };
        if let Some(call) = self.calls.get_mut(a.call.0) {
            call.attempt = None;
            call.last_end = Some(end);
        }
        if !a.stands {
            *self.attempt_ends.entry(end.name()).or_default() += 1;
        }
        self.over(now, a.call, a.number, now.saturating_sub(a.sent), end, call_ended);
    }

    fn over(
        &mut self,
        now: Duration,
        call: CallToken,
        attempt: u32,
        delay: Duration,
        end: EndReason,
        call_ended: bool,
    ) {
        if let Some(call) = self.calls.get_mut(call.0).filter(|_| end.needs_release_delay()) {
            call.not_before = now + self.controller.settings().rules.release_delay;
        }
        self.pending.push_back(Event::AttemptEnded(AttemptEnd {
            call: CallId(call.0.bits()),
            attempt,
            delay,
            outcome: end.outcome(),
            call_ended,
        }));
    }

    fn tell<D: From<EngineTimer>>(&mut self, now: Duration, event: Event, timers: &mut TimerQueue<D>) {
        self.pending.push_back(event);
        self.run(now, timers);
    }

    /// Hands the pending events to the controller and carries out what it decides.
    fn run<D: From<EngineTimer>>(&mut self, now: Duration, timers: &mut TimerQueue<D>) {
        while let Some(event) = self.pending.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, timers);
            }
            self.actions = actions;
        }
    }

    fn carry_out<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        action: Action,
        timers: &mut TimerQueue<D>,
    ) {
        let token = |call: CallId| CallToken(Token::from_bits(call.0));
        match action {
            Action::SetUp { call, exchange, timeout } => {
                self.set_up(now, token(call), exchange, timeout, timers)
            }
            Action::Refuse { call, retry_after } => {
                if let Some(c) = self.settle(token(call)) {
                    self.count(c.class, |r| &mut r.declined);
                    self.commands.push_back(Command::Refuse(token(call), retry_after));
                    self.note_refused(&c);
                }
            }
            Action::Fail(call) => {
                if let Some(c) = self.settle(token(call)) {
                    self.count(c.class, |r| &mut r.aborted);
                    self.commands.push_back(Command::Fail(token(call)));
                    let (call, attempts, last) = (c.info.id.clone(), c.attempts, c.last_end);
                    self.log_events.push_back(LogEvent::Failed { call, attempts, last });
                }
            }
            Action::SetTimer { timer, after } => {
                timers.schedule(now + after, EngineTimer::Controller(timer).into())
            }
            // The list comes by itself on every wire spoken here.
            Action::Subscribe => {}
        }
    }

    /// Takes a call out for its final answer; none if it had one. An attempt still out is given up.
    fn settle(&mut self, call: CallToken) -> Option<Call> {
        let c = self.calls.remove(call.0)?;
        if let Some(a) = c.attempt.filter(|a| self.attempts.remove(a.0).is_some()) {
            self.commands.push_back(Command::CancelAttempt(a));
        }
        Some(c)
    }

    fn set_up<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        token: CallToken,
        exchange: ExchangeId,
        timeout: Duration,
        timers: &mut TimerQueue<D>,
    ) {
        let Some(call) = self.calls.get_mut(token.0) else {
            return;
        };
        let number = call.attempts;
        call.attempts += 1;
        let in_service = self.exchanges.get(&exchange).is_some_and(|e| e.phase == Phase::InService);
        let wait = timeout.min(call.answer_by.saturating_sub(now));
        if call.attempt.is_some() || now < call.not_before || !in_service || wait.is_zero() {
            return self.over(now, token, number, Duration::ZERO, EndReason::NotSent, false);
        }
        let (info, destination, after) = (Rc::clone(&call.info), call.destination, call.last_end);
        if number > 0 {
            self.retries += 1;
            let (call, exchange) = (info.id.clone(), self.name(exchange).to_owned());
            self.log_events.push_back(LogEvent::Retried { call, exchange, attempt: number, after });
        }
        let direct = self.number(exchange) == Some(destination);
        let attempt = Attempt {
            call: token,
            exchange,
            number,
            sent: now,
            stands: false,
            stood: now,
            incarnation: Incarnation::default(),
            direct,
            overtaken: 0,
        };
        let attempt = AttemptToken(self.attempts.insert(attempt));
        if let Some(call) = self.calls.get_mut(token.0) {
            call.attempt = Some(attempt);
        }
        timers.schedule(now + wait, EngineTimer::AttemptTimeout(attempt).into());
        self.commands.push_back(Command::SetUp { attempt, exchange, info, wait });
    }
}
