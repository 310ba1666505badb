//! The state machine of every call, independent of the protocol: it takes protocol-neutral events and returns
//! protocol-neutral commands.
//!
//! The engine owns the [`Controller`] and carries out its decisions. It enforces the rules that hold for
//! every protocol front, whatever the controller decides or a front reports: each call gets one final answer,
//! before its caller abandons the call; each call has at most one pending attempt; the release delay passes
//! before a call is set up again; and an exchange that is draining or gone gets no new set-up.

mod handover;
mod list;
mod liveness;

pub use handover::Establishment;
pub use liveness::ConnectionRequest;

use crate::arena::{Arena, Token};
use crate::end::EndReason;
use crate::liveness::{Incarnation, Liveness};
use crate::log_events::LogEvent;
use crate::timers::{TimerKey, TimerQueue};
use slateshed::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// The final answer is written at least this long before the caller abandons the call.
const ANSWER_DEADLINE_MARGIN: Duration = Duration::from_millis(25);
/// A pending direct set-up (one that was sent to the destination itself, not to a tandem) is cancelled once
/// this many direct set-ups that were sent later have been answered. A processor answers set-ups one at a
/// time and in order, so the missing answer was lost or delayed on the way back.
const MIN_OVERTAKING_SET_UPS: u32 = 4;
/// A set-up counts as overtaking only if it was sent at least this long after the pending one.
const MIN_OVERTAKING_DELAY: Duration = Duration::from_millis(20);

/// Identifies a call in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub Token);

/// Identifies an attempt in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptToken(pub Token);

/// Call details that are forwarded unchanged from the caller to the exchange.
#[derive(Debug, PartialEq, Eq)]
pub struct CallInfo {
    /// The caller's id of the call.
    pub id: String,
    /// The name of the class.
    pub class: String,
    /// The dialled number, as the caller wrote it.
    pub dialled_text: String,
    /// The caller's session description.
    pub description: String,
    /// The host of a caller on the lines' front; `None` for a caller on the SIP front, whose dialog says where it is.
    pub caller_host: Option<IpAddr>,
}

impl CallInfo {
    /// The details of a call of which only the id is known.
    pub fn with_id(id: &str) -> Self {
        CallInfo {
            id: id.to_owned(),
            class: String::new(),
            dialled_text: String::new(),
            description: String::new(),
            caller_host: None,
        }
    }
}

/// A new call received from a caller.
#[derive(Debug)]
pub struct IncomingCall {
    /// Details forwarded unchanged.
    pub info: Rc<CallInfo>,
    /// Index of its class in the settings.
    pub class: usize,
    /// The number that the caller dialled.
    pub dialled: DialledNumber,
    /// How long the caller waits from now.
    pub patience: Duration,
    /// The number of the exchange that serves the dialled number.
    pub destination: ExchangeNumber,
    /// Number of circuits that the call occupies.
    pub circuits: u32,
    /// The tandem suggested by a central service.
    pub route_hint: Option<ExchangeNumber>,
    /// Where the call comes from.
    pub origin: Origin,
}

/// An instruction of the engine to the protocol fronts. Commands are carried out in the order of issue.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the set-up to the exchange.
    SetUp {
        /// The attempt that this command starts.
        attempt: AttemptToken,
        /// The exchange that receives the set-up.
        exchange: ExchangeId,
        /// Details forwarded unchanged.
        info: Rc<CallInfo>,
        /// How long to wait for the answer.
        wait: Duration,
    },
    /// Cancel an unanswered attempt.
    CancelAttempt(AttemptToken),
    /// Send the exchange a release of an established call.
    ReleaseExchange(AttemptToken, ReleaseCause),
    /// Discard the state of an attempt without a message to the exchange: its call was lost there.
    DiscardAttempt(AttemptToken),
    /// Final answer: the call is established, with the exchange's session description.
    Answer(CallToken, String),
    /// Final answer: refused, with the retry-after time.
    Refuse(CallToken, Option<Duration>),
    /// Final answer: failed.
    Fail(CallToken),
    /// Send the caller a release of a call that was established.
    ReleaseCaller(CallToken, ReleaseCause),
}

impl Command {
    /// Whether the front of the caller carries out the command; otherwise the front of the exchange does.
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
    /// Established.
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
    /// Set-ups that were written completely to exchanges.
    pub forwards: u64,
    /// Calls that were accepted and have not ended. Adopted calls are not included.
    pub outstanding: usize,
    /// Established calls that the previous process has handed over.
    pub adopted: usize,
    /// Exchanges in the list.
    pub discovered: usize,
    /// Exchanges in the list that the controller avoids.
    pub ejected: usize,
    /// Established calls.
    pub established: usize,
    /// Established calls that were released towards their callers, by the reason for the release.
    pub releases: BTreeMap<&'static str, u64>,
    /// Set-ups that ended without establishing the call, by the reason.
    pub attempt_ends: BTreeMap<&'static str, u64>,
    /// Set-ups that were not the first of their call.
    pub retries: u64,
    /// Liveness checks that were started, of exchanges with established calls.
    pub checks: u64,
    /// Observations that indicated that an exchange had failed.
    pub adverse_observations: u64,
}

#[derive(Debug)]
struct Call {
    info: Rc<CallInfo>,
    class: usize,
    destination: ExchangeNumber,
    /// Deadline for the final answer.
    answer_by: Duration,
    /// No set-up is sent before this time, as an earlier attempt may still occupy circuits.
    not_before: Duration,
    /// Number of attempts so far.
    attempts: u32,
    /// The attempt that is pending or established.
    attempt: Option<AttemptToken>,
    /// How the last set-up that was sent ended.
    last_end: Option<EndReason>,
    /// Whether another process of this controller has set it up and handed it over.
    is_adopted: bool,
    /// The timer of its answer deadline.
    deadline_timer: Option<TimerKey>,
}

#[derive(Debug)]
struct Attempt {
    call: CallToken,
    exchange: ExchangeId,
    /// The number of the attempt within its call, from 0.
    number: u32,
    sent_at: Duration,
    is_established: bool,
    /// When it was answered.
    answered_at: Duration,
    /// The process that answered it.
    incarnation: Incarnation,
    /// Whether the set-up went to the destination itself, not to a tandem.
    is_direct: bool,
    /// Number of direct set-ups that were sent later and answered earlier.
    overtaking_answers: u32,
    /// The timer of its timeout.
    timeout_timer: Option<TimerKey>,
}

#[derive(Debug)]
struct Exchange {
    name: String,
    number: ExchangeNumber,
    phase: Phase,
    started_at: Duration,
    liveness: Liveness,
    /// Whether a liveness review is scheduled.
    is_review_scheduled: bool,
}

/// Tracks every call, its attempts and the exchanges, and carries out the decisions of the controller.
pub struct Engine {
    controller: Controller,
    /// Longest retry-after that a refused caller may get.
    max_retry_after: Duration,
    calls: Arena<Call>,
    attempts: Arena<Attempt>,
    /// The exchanges in the list, and those that are gone but still have an attempt.
    exchanges: BTreeMap<ExchangeId, Exchange>,
    names: HashMap<String, ExchangeId>,
    next_exchange: u32,
    /// Events that the controller has not handled yet; handling one event may cause more.
    pending: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// During a graceful shutdown: every call gets its final answer at this time at the latest.
    stop_by: Option<Duration>,
    results: Vec<ResultCounts>,
    forwards: u64,
    releases: BTreeMap<&'static str, u64>,
    attempt_ends: BTreeMap<&'static str, u64>,
    retries: u64,
    checks: u64,
    adverse_observations: u64,
    /// Events that are not written to the log yet.
    log_events: VecDeque<LogEvent>,
    /// Timers of calls and attempts that have ended. They are cancelled, as a flood of calls would leave very many.
    obsolete_timers: Vec<TimerKey>,
    /// Requests that the fronts have not handled yet.
    connection_requests: VecDeque<ConnectionRequest>,
}

impl Engine {
    /// Creates an engine without calls.
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
            obsolete_timers: Vec::new(),
            connection_requests: VecDeque::new(),
        })
    }

    /// Retry-after for calls that are refused without a decision of the controller; `None` if none is passed
    /// on to callers.
    pub fn max_retry_after(&self) -> Option<Duration> {
        Some(self.max_retry_after).filter(|s| !s.is_zero())
    }

    /// Time after the end of an attempt for which it may still occupy circuits.
    pub fn release_delay(&self) -> Duration {
        self.controller.settings().rules.release_delay
    }

    /// Whether any command is still to be carried out.
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
        let is_established =
            |c: &Call| c.attempt.and_then(|a| self.attempts.get(a.0)).is_some_and(|a| a.is_established);
        self.calls.iter().filter(|(_, c)| !is_established(c)).count()
    }

    /// Number of established calls.
    pub fn established_calls(&self) -> usize {
        self.attempts.iter().filter(|(_, a)| a.is_established).count()
    }

    /// Number of exchanges that are tracked.
    pub fn tracked_exchanges(&self) -> usize {
        self.exchanges.len().max(self.names.len())
    }

    /// The statistics for operators.
    pub fn stats(&self) -> Stats {
        let adopted = self.calls.iter().filter(|(_, c)| c.is_adopted).count();
        Stats {
            results: self.results.clone(),
            forwards: self.forwards,
            outstanding: self.calls.len() - adopted,
            adopted,
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

    /// Counts a final answer to a call of a class.
    fn count(&mut self, class: usize, answer: impl FnOnce(&mut ResultCounts) -> &mut u64) {
        if let Some(results) = self.results.get_mut(class) {
            *answer(results) += 1;
        }
    }

    /// The exchange of this name, if it is known.
    pub fn exchange_id(&self, name: &str) -> Option<ExchangeId> {
        self.names.get(name).copied()
    }

    /// The name of an exchange; `?` if it is not known.
    pub fn exchange_name(&self, exchange: ExchangeId) -> &str {
        self.exchanges.get(&exchange).map_or("?", |e| &e.name)
    }

    /// The number that an exchange serves.
    pub fn exchange_number(&self, exchange: ExchangeId) -> Option<ExchangeNumber> {
        self.exchanges.get(&exchange).map(|e| e.number)
    }

    /// Starts a graceful shutdown: every call without a final answer gets one at `by` at the latest.
    pub fn begin_shutdown<D: From<EngineTimer>>(&mut self, by: Duration, timers: &mut TimerQueue<D>) {
        self.stop_by = Some(by);
        for (token, _) in self.calls.iter() {
            timers.schedule(by, EngineTimer::AnswerDeadline(CallToken(token)).into());
        }
    }

    /// Starts a new call.
    pub fn new_call<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        incoming: IncomingCall,
        timers: &mut TimerQueue<D>,
    ) -> CallToken {
        let limit = self.stop_by.unwrap_or(Duration::MAX);
        let answer_by =
            now.saturating_add(incoming.patience).saturating_sub(ANSWER_DEADLINE_MARGIN).min(limit);
        let answer_by = answer_by.max(now);
        let call = CallToken(self.calls.insert(Call {
            info: incoming.info,
            class: incoming.class,
            destination: incoming.destination,
            answer_by,
            not_before: Duration::ZERO,
            attempts: 0,
            attempt: None,
            last_end: None,
            is_adopted: false,
            deadline_timer: None,
        }));
        let timer = timers.schedule_cancellable(answer_by, EngineTimer::AnswerDeadline(call).into());
        if let Some(state) = self.calls.get_mut(call.0) {
            state.deadline_timer = Some(timer);
        }
        let event = Event::Call(NewCall {
            call: CallId(call.0.bits()),
            class: incoming.class,
            tenant: 0,
            dialled: incoming.dialled,
            patience: answer_by - now,
            destination: incoming.destination,
            circuits: incoming.circuits,
            route_hint: incoming.route_hint,
            origin: incoming.origin,
        });
        self.handle_event(now, event, timers);
        call
    }

    /// The caller cancelled the set-up or released the established call.
    pub fn caller_ended<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        call: CallToken,
        timers: &mut TimerQueue<D>,
    ) {
        let Some(state) = self.calls.get(call.0) else {
            return;
        };
        let attempt = state.attempt;
        match attempt.and_then(|a| self.attempts.get(a.0)) {
            Some(attempt_state) if attempt_state.is_established => {
                self.remove_call(call);
                self.end_attempt(now, attempt, EndReason::Cancelled, true, timers);
            }
            _ => {
                self.remove_call(call);
                self.pending.push_back(Event::CallerAbandoned(CallId(call.0.bits())));
                self.end_attempt(now, attempt, EndReason::Cancelled, true, timers);
            }
        }
    }

    /// The exchange has answered: the call is established. Returns false if the attempt has ended or was
    /// answered before. `by` is the process at the other end of the answer's connection; a front that does
    /// not distinguish processes passes `None`, and the newest process is assumed.
    pub fn answered<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        attempt: AttemptToken,
        by: Option<Incarnation>,
        description: String,
        timers: &mut TimerQueue<D>,
    ) -> bool {
        let Some(state) = self.attempts.get_mut(attempt.0).filter(|state| !state.is_established) else {
            return false;
        };
        (state.is_established, state.answered_at) = (true, now);
        self.obsolete_timers.extend(state.timeout_timer.take());
        if let Some(entry) = self.exchanges.get_mut(&state.exchange) {
            state.incarnation = by.unwrap_or_else(|| entry.liveness.newest(now));
            entry.liveness.record_activity(now, state.incarnation);
        }
        let (call, number, delay) = (state.call, state.number, now.saturating_sub(state.sent_at));
        let (exchange, sent_at, is_direct) = (state.exchange, state.sent_at, state.is_direct);
        self.commands.push_back(Command::Answer(call, description));
        if let Some(state) = self.calls.get_mut(call.0) {
            // The details are only needed for further set-ups.
            state.info = Rc::new(CallInfo::with_id(&state.info.id));
            self.obsolete_timers.extend(state.deadline_timer.take());
            let class = state.class;
            self.count(class, |r| &mut r.succeeded);
        }
        if is_direct {
            self.cancel_overtaken(now, exchange, sent_at);
        }
        self.handle_event(
            now,
            Event::Answered { call: CallId(call.0.bits()), attempt: number, delay },
            timers,
        );
        self.ensure_review_scheduled(now, exchange, timers);
        true
    }

    /// A direct set-up sent at `sent_at` was answered: counts it against each direct set-up that was sent to
    /// the same exchange earlier and is pending, and cancels those that [`MIN_OVERTAKING_SET_UPS`] have
    /// overtaken.
    fn cancel_overtaken(&mut self, now: Duration, exchange: ExchangeId, sent_at: Duration) {
        let mut overtaken = Vec::new();
        for (token, other) in self.attempts.iter_mut() {
            if other.exchange == exchange
                && other.is_direct
                && !other.is_established
                && other.sent_at + MIN_OVERTAKING_DELAY <= sent_at
            {
                other.overtaking_answers += 1;
                if other.overtaking_answers >= MIN_OVERTAKING_SET_UPS {
                    overtaken.push(AttemptToken(token));
                }
            }
        }
        for attempt in overtaken {
            self.commands.push_back(Command::CancelAttempt(attempt));
            self.remove_attempt(now, attempt, EndReason::Overtaken, false);
        }
    }

    /// A pending or established attempt was ended by the exchange or by the end of its connection. Fronts
    /// report the end of a connection for its pending attempts only, as an established call is not tied to a
    /// connection.
    pub fn attempt_ended<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        attempt: AttemptToken,
        end: EndReason,
        timers: &mut TimerQueue<D>,
    ) {
        let Some(state) = self.attempts.get(attempt.0) else {
            return;
        };
        if state.is_established {
            let call = state.call;
            let cause =
                if end == EndReason::Ended { ReleaseCause::Normal } else { ReleaseCause::Dropped };
            self.record_release(now, attempt, end);
            self.remove_call(call);
            self.commands.push_back(Command::ReleaseCaller(call, cause));
            self.remove_attempt(now, attempt, end, true);
        } else {
            self.remove_attempt(now, attempt, end, false);
        }
        self.handle_pending(now, timers);
    }

    /// Logs that a call was refused.
    fn log_refusal(&mut self, call: &Call) {
        let (attempts, last) = (call.attempts, call.last_end);
        self.log_events.push_back(LogEvent::Refused { call: call.info.id.clone(), attempts, last });
    }

    /// Counts and logs that an established call is released towards its caller.
    fn record_release(&mut self, now: Duration, attempt: AttemptToken, why: EndReason) {
        let Some(state) = self.attempts.get(attempt.0) else {
            return;
        };
        *self.releases.entry(why.name()).or_default() += 1;
        let call = self.calls.get(state.call.0).map_or(String::new(), |c| c.info.id.clone());
        let (exchange, duration) =
            (self.exchange_name(state.exchange).to_owned(), now.saturating_sub(state.answered_at));
        self.log_events.push_back(LogEvent::Released { call, exchange, why, duration });
    }

    /// Whether an attempt has been answered and not ended.
    pub fn is_answered(&self, attempt: AttemptToken) -> bool {
        self.attempts.get(attempt.0).is_some_and(|a| a.is_established)
    }

    /// Records the number of free circuits and the size of the trunk group to an exchange.
    pub fn update_circuits<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        (free, size): (u32, u32),
        timers: &mut TimerQueue<D>,
    ) {
        self.handle_event(now, Event::Circuits { exchange, free, size }, timers);
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
                if self.attempts.get(attempt.0).is_some_and(|a| !a.is_established) {
                    self.commands.push_back(Command::CancelAttempt(attempt));
                    self.remove_attempt(now, attempt, EndReason::TimedOut, false);
                }
            }
            EngineTimer::AnswerDeadline(call) => self.answer_deadline_due(now, call, timers),
            EngineTimer::Review(exchange) => self.review(now, exchange, timers),
        }
        self.handle_pending(now, timers);
    }

    /// The deadline for the final answer has come: a call without one is refused.
    fn answer_deadline_due<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        call: CallToken,
        timers: &mut TimerQueue<D>,
    ) {
        let Some(state) = self.calls.get(call.0) else {
            return;
        };
        let attempt = state.attempt;
        if attempt.is_some_and(|a| self.is_answered(a)) {
            return;
        }
        if let Some(attempt) = attempt {
            // The timeout is reported to the controller first, as it may give a final answer of its own.
            self.commands.push_back(Command::CancelAttempt(attempt));
            self.remove_attempt(now, attempt, EndReason::TimedOut, false);
            self.handle_pending(now, timers);
        }
        if let Some(removed) = self.remove_call(call) {
            self.count(removed.class, |r| &mut r.declined);
            self.log_refusal(&removed);
            self.pending.push_back(Event::CallerAbandoned(CallId(call.0.bits())));
            let retry_after = self.max_retry_after();
            self.commands.push_back(Command::Refuse(call, retry_after));
        }
    }

    /// Ends the attempt of a call whose caller has already ended it: cancels a pending attempt, releases an
    /// established one.
    fn end_attempt<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        attempt: Option<AttemptToken>,
        end: EndReason,
        call_ended: bool,
        timers: &mut TimerQueue<D>,
    ) {
        if let Some(token) = attempt {
            if let Some(state) = self.attempts.get(token.0) {
                self.commands.push_back(if state.is_established {
                    Command::ReleaseExchange(token, ReleaseCause::Normal)
                } else {
                    Command::CancelAttempt(token)
                });
                self.remove_attempt(now, token, end, call_ended);
            }
        }
        self.handle_pending(now, timers);
    }

    /// Removes a call from the table.
    fn remove_call(&mut self, call: CallToken) -> Option<Call> {
        let removed = self.calls.remove(call.0)?;
        self.obsolete_timers.extend(removed.deadline_timer);
        Some(removed)
    }

    /// Removes an attempt from the table.
    fn take_attempt(&mut self, attempt: AttemptToken) -> Option<Attempt> {
        let removed = self.attempts.remove(attempt.0)?;
        self.obsolete_timers.extend(removed.timeout_timer);
        Some(removed)
    }

    /// Removes an attempt from the tables and reports its end to the controller.
    fn remove_attempt(&mut self, now: Duration, token: AttemptToken, end: EndReason, call_ended: bool) {
        let Some(state) = self.take_attempt(token) else {
            return;
        };
        if let Some(call) = self.calls.get_mut(state.call.0) {
            call.attempt = None;
            call.last_end = Some(end);
        }
        if !state.is_established {
            *self.attempt_ends.entry(end.name()).or_default() += 1;
        }
        self.report_attempt_end(
            now,
            state.call,
            state.number,
            now.saturating_sub(state.sent_at),
            end,
            call_ended,
        );
    }

    /// Queues the end of an attempt for the controller, and starts the release delay of the call where the
    /// attempt may still occupy circuits.
    fn report_attempt_end(
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

    /// Hands an event to the controller, and handles all events that follow from it.
    fn handle_event<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        event: Event,
        timers: &mut TimerQueue<D>,
    ) {
        self.pending.push_back(event);
        self.handle_pending(now, timers);
    }

    /// Hands the pending events to the controller and carries out its decisions.
    fn handle_pending<D: From<EngineTimer>>(&mut self, now: Duration, timers: &mut TimerQueue<D>) {
        while let Some(event) = self.pending.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action, timers);
            }
            self.actions = actions;
        }
        self.obsolete_timers.drain(..).for_each(|timer| timers.cancel(timer));
    }

    /// Carries out one decision of the controller.
    fn execute<D: From<EngineTimer>>(
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
                if let Some(removed) = self.remove_for_final_answer(token(call)) {
                    self.count(removed.class, |r| &mut r.declined);
                    self.commands.push_back(Command::Refuse(token(call), retry_after));
                    self.log_refusal(&removed);
                }
            }
            Action::Fail(call) => {
                if let Some(removed) = self.remove_for_final_answer(token(call)) {
                    self.count(removed.class, |r| &mut r.aborted);
                    self.commands.push_back(Command::Fail(token(call)));
                    let (call, attempts, last) =
                        (removed.info.id.clone(), removed.attempts, removed.last_end);
                    self.log_events.push_back(LogEvent::Failed { call, attempts, last });
                }
            }
            Action::SetTimer { timer, after } => {
                timers.schedule(now + after, EngineTimer::Controller(timer).into())
            }
            // The journal service pushes the updates of the list, so there is nothing to subscribe to.
            Action::Subscribe => {}
        }
    }

    /// Removes a call that gets its final answer, and cancels its attempt if there is one. Returns `None` if
    /// the call has ended already.
    fn remove_for_final_answer(&mut self, call: CallToken) -> Option<Call> {
        let removed = self.remove_call(call)?;
        if let Some(attempt) = removed.attempt.filter(|attempt| self.take_attempt(*attempt).is_some()) {
            self.commands.push_back(Command::CancelAttempt(attempt));
        }
        Some(removed)
    }

    /// Sends the set-up of the next attempt. If the rules don't allow it (another attempt exists, the release
    /// delay is running, the exchange is not in service, or no time is left), the attempt ends with
    /// [`EndReason::NotSent`].
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
            return self.report_attempt_end(
                now,
                token,
                number,
                Duration::ZERO,
                EndReason::NotSent,
                false,
            );
        }
        let (info, destination, after) = (Rc::clone(&call.info), call.destination, call.last_end);
        if number > 0 {
            self.retries += 1;
            let (call, exchange) = (info.id.clone(), self.exchange_name(exchange).to_owned());
            self.log_events.push_back(LogEvent::Retried { call, exchange, attempt: number, after });
        }
        let is_direct = self.exchange_number(exchange) == Some(destination);
        let attempt = Attempt {
            call: token,
            exchange,
            number,
            sent_at: now,
            is_established: false,
            answered_at: now,
            incarnation: Incarnation::default(),
            is_direct,
            overtaking_answers: 0,
            timeout_timer: None,
        };
        let attempt = AttemptToken(self.attempts.insert(attempt));
        if let Some(call) = self.calls.get_mut(token.0) {
            call.attempt = Some(attempt);
        }
        let timer = timers.schedule_cancellable(now + wait, EngineTimer::AttemptTimeout(attempt).into());
        if let Some(state) = self.attempts.get_mut(attempt.0) {
            state.timeout_timer = Some(timer);
        }
        self.commands.push_back(Command::SetUp { attempt, exchange, info, wait });
    }
}
