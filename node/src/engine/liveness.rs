//! Liveness of exchanges: records the activity and failure signs that fronts report, and releases the calls
//! of processes that are dead.

use super::{AttemptToken, CallToken, Command, Engine, EngineTimer, ReleaseCause};
use crate::end::EndReason;
use crate::liveness::{FailureSign, Incarnation, Review, CHECK_DELAY, CHECK_TIMEOUT};
use crate::log_events::LogEvent;
use crate::timers::TimerQueue;
use slateshed::ExchangeId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of calls that are released in one iteration of the event loop at the end of a graceful shutdown, so
/// that set-ups that arrive meanwhile are read.
const MAX_RELEASES_AT_ONCE: usize = 64;

/// A request of the engine to the front that holds the connections to an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRequest {
    /// Check whether a process with established calls is alive, by causing activity that only a living
    /// process shows. A probe message may be sent only where probing is allowed.
    Check(ExchangeId, Incarnation),
    /// The process at the other end of this incarnation's connections is considered dead: close them.
    Abandon(ExchangeId, Incarnation),
}

impl ConnectionRequest {
    /// The exchange that the request concerns.
    pub fn exchange(self) -> ExchangeId {
        match self {
            ConnectionRequest::Check(exchange, _) | ConnectionRequest::Abandon(exchange, _) => exchange,
        }
    }
}

impl Engine {
    /// The next request for the connections to an exchange.
    pub fn next_connection_request(&mut self) -> Option<ConnectionRequest> {
        self.connection_requests.pop_front()
    }

    /// A requested check has started. `is_conclusive` says whether the connection or dialog that the check
    /// uses had been in use, so that the exchange cannot have dropped it as idle.
    pub fn check_started(&mut self, now: Duration, exchange: ExchangeId, is_conclusive: bool) {
        if let Some(entry) = self.exchanges.get_mut(&exchange) {
            entry.liveness.check_started(now, is_conclusive);
            self.checks += 1;
        }
    }

    /// A connection to an exchange was established. Returns the incarnation of the process at its other end.
    pub fn connected(&mut self, now: Duration, exchange: ExchangeId) -> Incarnation {
        let Some(entry) = self.exchanges.get_mut(&exchange) else {
            return Incarnation::default();
        };
        let before = entry.liveness.newest(now);
        let incarnation = entry.liveness.connected(now);
        if incarnation != before {
            let (exchange, is_assumed_same) = (entry.name.clone(), !entry.liveness.is_suspected(before));
            self.log_events.push_back(LogEvent::NewIncarnation { exchange, is_assumed_same });
        }
        incarnation
    }

    /// Records a message that only the process of this incarnation can have sent.
    pub fn record_activity(&mut self, now: Duration, exchange: ExchangeId, incarnation: Incarnation) {
        if let Some(entry) = self.exchanges.get_mut(&exchange) {
            entry.liveness.record_activity(now, incarnation);
        }
    }

    /// Records activity of the exchange of an attempt, for protocols that do not distinguish its processes.
    pub fn record_attempt_activity(&mut self, now: Duration, attempt: AttemptToken) {
        let exchange = self.attempt_exchange(attempt);
        if let Some(entry) = exchange.and_then(|e| self.exchanges.get_mut(&e)) {
            let newest = entry.liveness.newest(now);
            entry.liveness.record_activity(now, newest);
        }
    }

    /// The exchange that the set-up of an attempt was sent to.
    pub fn attempt_exchange(&self, attempt: AttemptToken) -> Option<ExchangeId> {
        self.attempts.get(attempt.0).map(|a| a.exchange)
    }

    /// The call of an attempt.
    pub fn attempt_call(&self, attempt: AttemptToken) -> Option<CallToken> {
        self.attempts.get(attempt.0).map(|a| a.call)
    }

    /// The exchange has closed a connection gracefully. `in_response` says whether this side had closed it
    /// first.
    pub fn peer_closed(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        incarnation: Incarnation,
        in_response: bool,
    ) {
        if let Some(entry) = self.exchanges.get_mut(&exchange) {
            entry.liveness.peer_closed(now, incarnation, in_response);
        }
    }

    /// The exchange sent data first on a new connection.
    pub fn peer_sent_first(&mut self, exchange: ExchangeId) {
        if let Some(entry) = self.exchanges.get_mut(&exchange) {
            entry.liveness.peer_sent_first();
        }
    }

    /// Whether an exchange is known to send data first on each new connection.
    pub fn sends_first(&self, exchange: ExchangeId) -> bool {
        self.exchanges.get(&exchange).is_some_and(|e| e.liveness.sends_first())
    }

    /// Records a sign that the process of the exchange has failed.
    pub fn record_failure_sign(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        failure_sign: FailureSign,
    ) {
        let Some(entry) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let newest = entry.liveness.newest(now);
        let silent_for = entry.liveness.silent_for(now, newest);
        entry.liveness.record_failure_sign(failure_sign);
        self.adverse_observations += 1;
        if self.has_established_calls(exchange) {
            let exchange = self.exchange_name(exchange).to_owned();
            self.log_events.push_back(LogEvent::Suspected { exchange, failure_sign, silent_for });
        }
    }

    /// An exchange refuses connections and none to it is open: its process is gone, so all its calls are
    /// dropped.
    pub fn connection_refused<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        timers: &mut TimerQueue<D>,
    ) {
        self.drop_calls(now, exchange, Duration::MAX, timers);
    }

    /// Whether newer connections than those of an incarnation may lead to a different process.
    pub fn has_newer(&self, exchange: ExchangeId, incarnation: Incarnation) -> bool {
        self.exchanges.get(&exchange).is_some_and(|e| e.liveness.has_newer(incarnation))
    }

    /// Whether an exchange is known to close a connection in response to a close from this side.
    pub fn closes_in_response(&self, exchange: ExchangeId) -> bool {
        self.exchanges.get(&exchange).is_some_and(|e| e.liveness.closes_in_response())
    }

    /// Whether a process is suspected to have failed.
    pub fn is_suspected(&self, exchange: ExchangeId, incarnation: Incarnation) -> bool {
        self.exchanges.get(&exchange).is_some_and(|e| e.liveness.is_suspected(incarnation))
    }

    /// Whether newer connections lead to a process that is not assumed to be the same.
    pub fn is_superseded(&self, exchange: ExchangeId, incarnation: Incarnation) -> bool {
        self.exchanges.get(&exchange).is_some_and(|e| e.liveness.is_superseded(incarnation))
    }

    /// Time since the last activity of a process.
    pub fn silent_for(&self, now: Duration, exchange: ExchangeId, incarnation: Incarnation) -> Duration {
        let exchange = self.exchanges.get(&exchange);
        exchange.map_or(Duration::ZERO, |e| e.liveness.silent_for(now, incarnation))
    }

    /// Whether two incarnations are known to be the same process.
    pub fn is_same_process(&self, exchange: ExchangeId, one: Incarnation, other: Incarnation) -> bool {
        let exchange = self.exchanges.get(&exchange);
        exchange.is_some_and(|e| e.liveness.group_id(one) == e.liveness.group_id(other))
    }

    /// The process that answered an established attempt.
    pub fn answering_incarnation(&self, attempt: AttemptToken) -> Option<Incarnation> {
        self.attempts.get(attempt.0).filter(|a| a.is_established).map(|a| a.incarnation)
    }

    /// Whether a process of an exchange has established calls.
    pub fn has_calls_at(&self, exchange: ExchangeId, incarnation: Incarnation) -> bool {
        self.processes_with_calls(exchange).contains(&self.group_id(exchange, incarnation))
    }

    /// Whether any call is established at an exchange.
    pub fn has_established_calls(&self, exchange: ExchangeId) -> bool {
        self.attempts.iter().any(|(_, a)| a.exchange == exchange && a.is_established)
    }

    /// The first incarnation of a group, which identifies the process.
    fn group_id(&self, exchange: ExchangeId, incarnation: Incarnation) -> Incarnation {
        self.exchanges.get(&exchange).map_or(incarnation, |e| e.liveness.group_id(incarnation))
    }

    /// The processes of an exchange that have established calls, each by the first incarnation of its group.
    fn processes_with_calls(&self, exchange: ExchangeId) -> BTreeSet<Incarnation> {
        let established =
            self.attempts.iter().filter(|(_, a)| a.exchange == exchange && a.is_established);
        established.map(|(_, a)| self.group_id(exchange, a.incarnation)).collect()
    }

    /// Starts the liveness reviews of an exchange that has an established call, unless they are scheduled
    /// already.
    pub(super) fn ensure_review_scheduled<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        timers: &mut TimerQueue<D>,
    ) {
        if let Some(entry) = self.exchanges.get_mut(&exchange).filter(|e| !e.is_review_scheduled) {
            entry.is_review_scheduled = true;
            self.review(now, exchange, timers);
        }
    }

    /// Checks whether the processes of an exchange are alive, and schedules the next review for as long as
    /// there are established calls.
    pub(super) fn review<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        timers: &mut TimerQueue<D>,
    ) {
        let processes_with_calls = self.processes_with_calls(exchange);
        let Some(entry) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        if processes_with_calls.is_empty() {
            entry.is_review_scheduled = false;
            return;
        }
        let silences: Vec<_> =
            processes_with_calls.iter().map(|i| (*i, entry.liveness.silent_for(now, *i))).collect();
        let Review { dead, check, next } = entry.liveness.review(now, &processes_with_calls);
        timers.schedule(next, EngineTimer::Review(exchange).into());
        if let Some(incarnation) = check {
            self.connection_requests.push_back(ConnectionRequest::Check(exchange, incarnation));
        }
        for (incarnation, silent_for) in silences.into_iter().filter(|(i, _)| dead.contains(i)) {
            self.drop_calls_of_dead_process(now, exchange, incarnation, silent_for, timers);
        }
    }

    /// Drops the calls at a process that has been silent for too long. The exchange is sent a release for
    /// each, in case the process is alive after all.
    fn drop_calls_of_dead_process<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        incarnation: Incarnation,
        silent_for: Duration,
        timers: &mut TimerQueue<D>,
    ) {
        let attempts: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.exchange == exchange && a.is_established)
            .filter(|(_, a)| self.group_id(exchange, a.incarnation) == incarnation)
            .map(|(token, _)| AttemptToken(token))
            .collect();
        let (name, calls) = (self.exchange_name(exchange).to_owned(), attempts.len());
        self.log_events.push_back(LogEvent::ExchangeDead { exchange: name, calls, silent_for });
        self.connection_requests.push_back(ConnectionRequest::Abandon(exchange, incarnation));
        for attempt in attempts {
            self.commands.push_back(Command::ReleaseExchange(attempt, ReleaseCause::Dropped));
            self.attempt_ended(now, attempt, EndReason::ExchangeDead, timers);
        }
    }

    /// At the end of a graceful shutdown without a successor, releases the established calls on both sides. Once this
    /// process has ended, nobody knows them. A call whose caller is not reachable is left to its exchange, which
    /// repeats the release to the next process. Releases up to [`MAX_RELEASES_AT_ONCE`] calls and returns whether there
    /// were any, in which case it is to be called again.
    pub fn release_at_shutdown<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        is_reachable: impl Fn(CallToken) -> bool,
        timers: &mut TimerQueue<D>,
    ) -> bool {
        let established = self.attempts.iter().filter(|(_, a)| a.is_established);
        let attempts: Vec<_> = established
            .filter(|(_, a)| is_reachable(a.call))
            .map(|(token, _)| AttemptToken(token))
            .take(MAX_RELEASES_AT_ONCE)
            .collect();
        let is_any_released = !attempts.is_empty();
        for attempt in attempts {
            self.commands.push_back(Command::ReleaseExchange(attempt, ReleaseCause::Dropped));
            self.attempt_ended(now, attempt, EndReason::ShutDown, timers);
        }
        is_any_released
    }

    /// At the end of a process that is replaced, sends the callers a release of each call at a process that
    /// another one has superseded. The new process only knows the newest one.
    pub fn release_superseded<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        timers: &mut TimerQueue<D>,
    ) {
        // A live process closes the connection that a check has closed, or shows other activity, by then.
        let min_silence = CHECK_DELAY + CHECK_TIMEOUT;
        let is_lost = |engine: &Engine, exchange, incarnation| {
            engine.is_superseded(exchange, incarnation)
                && engine.silent_for(now, exchange, incarnation) >= min_silence
        };
        let attempts: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.is_established && is_lost(self, a.exchange, a.incarnation))
            .map(|(token, _)| AttemptToken(token))
            .collect();
        for attempt in attempts {
            self.commands.push_back(Command::DiscardAttempt(attempt));
            self.attempt_ended(now, attempt, EndReason::ExchangeDead, timers);
        }
    }
}
