//! Signs of life of exchanges, as fronts hand them in, and what becomes of the calls at one that gives none.

use super::{AttemptToken, Cause, Command, Engine, Wake};
use crate::deadlines::Deadlines;
use crate::end::End;
use crate::liveness::{Adverse, Incarnation, Review};
use crate::notices::Notice;
use slateshed::ExchangeId;
use std::collections::BTreeSet;
use std::time::Duration;

/// What the engine wants of the connections to an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upkeep {
    /// Calls stand at a process that has been silent: bring about a sign of life, without asking for one.
    Check(ExchangeId, Incarnation),
    /// The process that connections of this incarnation lead to is gone, as far as can be told.
    Abandon(ExchangeId, Incarnation),
}

impl Upkeep {
    /// The exchange that it is about.
    pub fn exchange(self) -> ExchangeId {
        match self {
            Upkeep::Check(exchange, _) | Upkeep::Abandon(exchange, _) => exchange,
        }
    }
}

impl Engine {
    /// What is wanted of the connections to exchanges next.
    pub fn next_upkeep(&mut self) -> Option<Upkeep> {
        self.upkeep.pop_front()
    }

    /// A check that was wanted has begun.
    /// `is_conclusive`: what it goes by had been in use.
    pub fn began_check(&mut self, now: Duration, exchange: ExchangeId, is_conclusive: bool) {
        if let Some(e) = self.exchanges.get_mut(&exchange) {
            e.liveness.began_check(now, is_conclusive);
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
            let (exchange, is_assumed_same) = (e.name.clone(), !e.liveness.is_doubted(before));
            self.notices.push_back(Notice::Followed { exchange, is_assumed_same });
        }
        incarnation
    }

    /// Something that only the process of an incarnation can have sent has arrived.
    pub fn heard(&mut self, now: Duration, exchange: ExchangeId, incarnation: Incarnation) {
        if let Some(e) = self.exchanges.get_mut(&exchange) {
            e.liveness.heard(now, incarnation);
        }
    }

    /// The exchange of an attempt has been heard, on a front that does not tell processes apart.
    pub fn heard_at(&mut self, now: Duration, attempt: AttemptToken) {
        let exchange = self.exchange_of(attempt);
        if let Some(e) = exchange.and_then(|e| self.exchanges.get_mut(&e)) {
            let newest = e.liveness.newest(now);
            e.liveness.heard(now, newest);
        }
    }

    /// Where an attempt went.
    pub fn exchange_of(&self, attempt: AttemptToken) -> Option<ExchangeId> {
        self.attempts.get(attempt.0).map(|a| a.exchange)
    }

    /// The exchange has closed a connection in good order; `asked`: it had been closed on it before.
    pub fn closed(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        incarnation: Incarnation,
        asked: bool,
    ) {
        if let Some(e) = self.exchanges.get_mut(&exchange) {
            e.liveness.closed(now, incarnation, asked);
        }
    }

    /// The exchange said something as soon as a connection was up.
    pub fn greeted(&mut self, exchange: ExchangeId) {
        if let Some(e) = self.exchanges.get_mut(&exchange) {
            e.liveness.greeted();
        }
    }

    /// Something speaks against the life of the exchange's process.
    pub fn adverse(&mut self, now: Duration, exchange: ExchangeId, observation: Adverse) {
        let Some(e) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let newest = e.liveness.newest(now);
        let silent = e.liveness.silent_for(now, newest);
        e.liveness.adverse(observation);
        self.adverse_observations += 1;
        if self.has_standing(exchange) {
            let exchange = self.name(exchange).to_owned();
            self.notices.push_back(Notice::Doubted { exchange, observation, silent });
        }
    }

    /// An exchange refuses connections, and none is open: its process is gone, and so are its calls.
    pub fn refused<D: From<Wake>>(&mut self, now: Duration, exchange: ExchangeId, d: &mut Deadlines<D>) {
        self.lose(now, exchange, Duration::MAX, d);
    }

    /// Whether newer connections than those of an incarnation may lead to another process.
    pub fn is_followed(&self, exchange: ExchangeId, incarnation: Incarnation) -> bool {
        self.exchanges.get(&exchange).is_some_and(|e| e.liveness.is_followed(incarnation))
    }

    /// Whether an exchange is known to close in return what is closed on it.
    pub fn closes_in_return(&self, exchange: ExchangeId) -> bool {
        self.exchanges.get(&exchange).is_some_and(|e| e.liveness.closes_in_return())
    }

    /// Whether something speaks against the life of a process.
    pub fn is_doubted(&self, exchange: ExchangeId, incarnation: Incarnation) -> bool {
        self.exchanges.get(&exchange).is_some_and(|e| e.liveness.is_doubted(incarnation))
    }

    /// Since when there has been no sign of life of a process.
    pub fn silent_for(&self, now: Duration, exchange: ExchangeId, incarnation: Incarnation) -> Duration {
        let exchange = self.exchanges.get(&exchange);
        exchange.map_or(Duration::ZERO, |e| e.liveness.silent_for(now, incarnation))
    }

    /// Whether two incarnations are the same process, as far as is known.
    pub fn is_same(&self, exchange: ExchangeId, one: Incarnation, other: Incarnation) -> bool {
        let exchange = self.exchanges.get(&exchange);
        exchange.is_some_and(|e| e.liveness.group(one) == e.liveness.group(other))
    }

    /// The process at which an attempt stands.
    pub fn incarnation(&self, attempt: AttemptToken) -> Option<Incarnation> {
        self.attempts.get(attempt.0).filter(|a| a.stands).map(|a| a.incarnation)
    }

    /// Whether calls stand at a process of an exchange.
    pub fn stands_at(&self, exchange: ExchangeId, incarnation: Incarnation) -> bool {
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
    pub(super) fn watch<D: From<Wake>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        d: &mut Deadlines<D>,
    ) {
        if let Some(e) = self.exchanges.get_mut(&exchange).filter(|e| !e.is_watched) {
            e.is_watched = true;
            self.review(now, exchange, d);
        }
    }

    /// Looks whether the processes at an exchange still live, for as long as calls stand there.
    pub(super) fn review<D: From<Wake>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        d: &mut Deadlines<D>,
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
        let Review { lost, check, next } = e.liveness.review(now, &with_calls);
        d.set(next, Wake::Review(exchange).into());
        if let Some(incarnation) = check {
            self.upkeep.push_back(Upkeep::Check(exchange, incarnation));
        }
        for (incarnation, silent) in silent.into_iter().filter(|(i, _)| lost.contains(i)) {
            self.lose_silent(now, exchange, incarnation, silent, d);
        }
    }

    /// Calls at a process that gave no sign of life for too long are over. Should it live after all, it is told so.
    fn lose_silent<D: From<Wake>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        incarnation: Incarnation,
        silent: Duration,
        d: &mut Deadlines<D>,
    ) {
        let there: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.exchange == exchange && a.stands)
            .filter(|(_, a)| self.group(exchange, a.incarnation) == incarnation)
            .map(|(token, _)| AttemptToken(token))
            .collect();
        let (name, calls) = (self.name(exchange).to_owned(), there.len());
        self.notices.push_back(Notice::Lost { exchange: name, calls, silent });
        self.upkeep.push_back(Upkeep::Abandon(exchange, incarnation));
        for attempt in there {
            self.commands.push_back(Command::ReleaseExchange(attempt, Cause::Cut));
            self.attempt_ended(now, attempt, End::Lost, d);
        }
    }

    /// At the end of a planned stop: callers of calls at exchanges that are in doubt are told that these are over, as
    /// nobody is left to tell them later.
    pub fn release_doubted<D: From<Wake>>(&mut self, now: Duration, d: &mut Deadlines<D>) {
        let there: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.stands && self.is_doubted(a.exchange, a.incarnation))
            .map(|(token, _)| AttemptToken(token))
            .collect();
        for attempt in there {
            self.commands.push_back(Command::Forget(attempt));
            self.attempt_ended(now, attempt, End::Lost, d);
        }
    }
}
