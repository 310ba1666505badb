//! Signs of life of exchanges, as fronts hand them in, and what becomes of the calls at one that gives none.

use super::{AttemptToken, Command, Engine, EngineTimer, ReleaseCause};
use crate::end::EndReason;
use crate::liveness::{FailureSign, Incarnation, Review};
use crate::log_events::LogEvent;
use crate::timers::TimerQueue;
use slateshed::ExchangeId;
use std::collections::BTreeSet;
use std::time::Duration;

/// A request of the engine to the connections to an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRequest {
    /// Calls stand at a process that has been silent: bring about a sign of life, without asking for one.
    Check(ExchangeId, Incarnation),
    /// The process that connections of this incarnation lead to is gone, as far as can be told.
    Abandon(ExchangeId, Incarnation),
}

impl ConnectionRequest {
    /// The exchange that it is about.
    pub fn exchange(self) -> ExchangeId {
        match self {
            ConnectionRequest::Check(exchange, _) | ConnectionRequest::Abandon(exchange, _) => exchange,
        }
    }
}

impl Engine {
    /// The next request to the connections.
    pub fn next_connection_request(&mut self) -> Option<ConnectionRequest> {
        self.connection_requests.pop_front()
    }

    /// A requested check has started.
    /// `is_conclusive`: what it goes by had been in use.
    pub fn check_started(&mut self, now: Duration, exchange: ExchangeId, is_conclusive: bool) {
        if let Some(e) = self.exchanges.get_mut(&exchange) {
            e.liveness.check_started(now, is_conclusive);
            self.checks += 1;
        }
    }

    /// A connection to an exchange has come up; the process that it leads to.
    pub fn connected(&mut self, now: Duration, exchange: ExchangeId) -> Incarnation {
        let Some(e) = self.exchanges.get_mut(&exchange) else {
            return Incarnation::default();
        };
        let before = e.liveness.newest(now);
        let incarnation = e.liveness.connected(now);
        if incarnation != before {
            let (exchange, is_assumed_same) = (e.name.clone(), !e.liveness.is_suspected(before));
            self.log_events.push_back(LogEvent::NewIncarnation { exchange, is_assumed_same });
        }
        incarnation
    }

    /// Records a message that only the process of this incarnation can have sent.
    pub fn record_activity(&mut self, now: Duration, exchange: ExchangeId, incarnation: Incarnation) {
        if let Some(e) = self.exchanges.get_mut(&exchange) {
            e.liveness.record_activity(now, incarnation);
        }
    }

    /// Records activity of the exchange of an attempt, for protocols that do not distinguish its processes.
    pub fn record_attempt_activity(&mut self, now: Duration, attempt: AttemptToken) {
        let exchange = self.exchange_of(attempt);
        if let Some(e) = exchange.and_then(|e| self.exchanges.get_mut(&e)) {
            let newest = e.liveness.newest(now);
            e.liveness.record_activity(now, newest);
        }
    }

    /// Where an attempt went.
    pub fn exchange_of(&self, attempt: AttemptToken) -> Option<ExchangeId> {
        self.attempts.get(attempt.0).map(|a| a.exchange)
    }

    /// The exchange has closed a connection in good order; `in_response`: this side had closed it before.
    pub fn peer_closed(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        incarnation: Incarnation,
        in_response: bool,
    ) {
        if let Some(e) = self.exchanges.get_mut(&exchange) {
            e.liveness.peer_closed(now, incarnation, in_response);
        }
    }

    /// The exchange sent data first on a new connection.
    pub fn peer_spoke_first(&mut self, exchange: ExchangeId) {
        if let Some(e) = self.exchanges.get_mut(&exchange) {
            e.liveness.peer_spoke_first();
        }
    }

    /// Records a sign that the process of the exchange has failed.
    pub fn record_failure_sign(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        observation: FailureSign,
    ) {
        let Some(e) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let newest = e.liveness.newest(now);
        let silent = e.liveness.silent_for(now, newest);
        e.liveness.record_failure_sign(observation);
        self.adverse_observations += 1;
        if self.has_standing(exchange) {
            let exchange = self.name(exchange).to_owned();
            self.log_events.push_back(LogEvent::Suspected { exchange, observation, silent });
        }
    }

    /// An exchange refuses connections, and none is open: its process is gone, and so are its calls.
    pub fn connection_refused<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        timers: &mut TimerQueue<D>,
    ) {
        self.lose(now, exchange, Duration::MAX, timers);
    }

    /// Whether newer connections than those of an incarnation may lead to another process.
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

    /// Since when there has been no sign of life of a process.
    pub fn silent_for(&self, now: Duration, exchange: ExchangeId, incarnation: Incarnation) -> Duration {
        let exchange = self.exchanges.get(&exchange);
        exchange.map_or(Duration::ZERO, |e| e.liveness.silent_for(now, incarnation))
    }

    /// Whether two incarnations are the same process, as far as is known.
    pub fn is_same_process(&self, exchange: ExchangeId, one: Incarnation, other: Incarnation) -> bool {
        let exchange = self.exchanges.get(&exchange);
        exchange.is_some_and(|e| e.liveness.group(one) == e.liveness.group(other))
    }

    /// The process at which an attempt stands.
    pub fn incarnation(&self, attempt: AttemptToken) -> Option<Incarnation> {
        self.attempts.get(attempt.0).filter(|a| a.stands).map(|a| a.incarnation)
    }

    /// Whether a process of an exchange has established calls.
    pub fn has_calls_at(&self, exchange: ExchangeId, incarnation: Incarnation) -> bool {
        self.with_calls(exchange).contains(&self.group(exchange, incarnation))
    }

    fn has_standing(&self, exchange: ExchangeId) -> bool {
        self.attempts.iter().any(|(_, a)| a.exchange == exchange && a.stands)
    }

    fn group(&self, exchange: ExchangeId, incarnation: Incarnation) -> Incarnation {
        self.exchanges.get(&exchange).map_or(incarnation, |e| e.liveness.group(incarnation))
    }

    /// The processes of an exchange at which calls stand.
    fn with_calls(&self, exchange: ExchangeId) -> BTreeSet<Incarnation> {
        let there = self.attempts.iter().filter(|(_, a)| a.exchange == exchange && a.stands);
        there.map(|(_, a)| self.group(exchange, a.incarnation)).collect()
    }

    /// Sees to it that an exchange at which a call stands is looked at in time.
    pub(super) fn watch<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        timers: &mut TimerQueue<D>,
    ) {
        if let Some(e) = self.exchanges.get_mut(&exchange).filter(|e| !e.is_watched) {
            e.is_watched = true;
            self.review(now, exchange, timers);
        }
    }

    /// Looks whether the processes at an exchange still live, for as long as calls stand there.
    pub(super) fn review<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        timers: &mut TimerQueue<D>,
    ) {
        let with_calls = self.with_calls(exchange);
        let Some(e) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        if with_calls.is_empty() {
            e.is_watched = false;
            return;
        }
        let silent: Vec<_> = with_calls.iter().map(|i| (*i, e.liveness.silent_for(now, *i))).collect();
        let Review { dead, check, next } = e.liveness.review(now, &with_calls);
        timers.schedule(next, EngineTimer::Review(exchange).into());
        if let Some(incarnation) = check {
            self.connection_requests.push_back(ConnectionRequest::Check(exchange, incarnation));
        }
        for (incarnation, silent) in silent.into_iter().filter(|(i, _)| dead.contains(i)) {
            self.lose_silent(now, exchange, incarnation, silent, timers);
        }
    }

    /// Calls at a process that gave no sign of life for too long are over. Should it live after all, it is told so.
    fn lose_silent<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        incarnation: Incarnation,
        silent: Duration,
        timers: &mut TimerQueue<D>,
    ) {
        let there: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.exchange == exchange && a.stands)
            .filter(|(_, a)| self.group(exchange, a.incarnation) == incarnation)
            .map(|(token, _)| AttemptToken(token))
            .collect();
        let (name, calls) = (self.name(exchange).to_owned(), there.len());
        self.log_events.push_back(LogEvent::ExchangeDead { exchange: name, calls, silent });
        self.connection_requests.push_back(ConnectionRequest::Abandon(exchange, incarnation));
        for attempt in there {
            self.commands.push_back(Command::ReleaseExchange(attempt, ReleaseCause::Dropped));
            self.attempt_ended(now, attempt, EndReason::ExchangeDead, timers);
        }
    }

    /// At the end of a planned stop: callers of calls at exchanges that are in doubt are told that these are over, as
    /// nobody is left to tell them later.
    pub fn release_suspected<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        timers: &mut TimerQueue<D>,
    ) {
        let there: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.stands && self.is_suspected(a.exchange, a.incarnation))
            .map(|(token, _)| AttemptToken(token))
            .collect();
        for attempt in there {
            self.commands.push_back(Command::ForgetAttempt(attempt));
            self.attempt_ended(now, attempt, EndReason::ExchangeDead, timers);
        }
    }
}
