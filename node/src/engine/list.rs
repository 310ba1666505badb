//! Updates of the exchange list, and what ends at an exchange that is gone or was started anew.

use super::{AttemptToken, Command, Engine, EngineTimer, Exchange};
use crate::end::EndReason;
use crate::liveness::Liveness;
use crate::log_events::LogEvent;
use crate::timers::TimerQueue;
use slateshed::{Event, ExchangeId, ListUpdate, NamedEntry, Phase};
use std::time::Duration;

impl Engine {
    /// The list entry that says that an exchange is gone.
    pub fn gone_entry(&self, exchange: ExchangeId) -> Option<NamedEntry> {
        let entry = self.exchanges.get(&exchange)?;
        Some(NamedEntry {
            name: entry.name.clone(),
            number: entry.number,
            zone: 0,
            phase: Phase::Gone,
            started_at: entry.started_at,
        })
    }

    /// Applies an update of the list.
    pub fn update_list<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        full: bool,
        entries: &[NamedEntry],
        timers: &mut TimerQueue<D>,
    ) {
        let mut restarted_or_gone = Vec::new();
        let mut list_entries = Vec::with_capacity(entries.len());
        if full {
            for (id, exchange) in &mut self.exchanges {
                if !entries.iter().any(|e| e.name == exchange.name) && exchange.phase != Phase::Gone {
                    exchange.phase = Phase::Gone;
                    restarted_or_gone.push((*id, Duration::MAX));
                }
            }
        }
        for entry in entries {
            let next = ExchangeId(self.next_exchange);
            self.log_list_change(entry);
            let id = *self.names.entry(entry.name.clone()).or_insert(next);
            self.next_exchange += u32::from(id == next);
            let exchange = self.exchanges.entry(id).or_insert_with(|| Exchange {
                name: entry.name.clone(),
                number: entry.number,
                phase: entry.phase,
                started_at: entry.started_at,
                liveness: Liveness::default(),
                is_review_scheduled: false,
            });
            // A restarted process has lost the calls that were established before its start; an exchange that
            // is withdrawn from the list has lost all.
            if entry.phase == Phase::Gone {
                restarted_or_gone.push((id, Duration::MAX));
            } else if entry.started_at > exchange.started_at {
                restarted_or_gone.push((id, entry.started_at));
            }
            (exchange.phase, exchange.started_at) = (entry.phase, entry.started_at);
            list_entries.push(entry.to_list_entry(id));
        }
        let list = if full { ListUpdate::Full(list_entries) } else { ListUpdate::Delta(list_entries) };
        self.pending.push_back(Event::List(list));
        for (id, until) in restarted_or_gone {
            self.cancel_attempts(now, id, until);
            self.drop_calls(now, id, until, timers);
        }
        self.handle_pending(now, timers);
    }

    /// Logs an entry of the list that changes the phase of an exchange or reports its restart.
    fn log_list_change(&mut self, entry: &NamedEntry) {
        let known = self.names.get(&entry.name).and_then(|id| self.exchanges.get(id));
        let from = known.map(|e| e.phase);
        let restarted = known.is_some_and(|e| entry.started_at > e.started_at);
        if from != Some(entry.phase) || restarted {
            let (exchange, to) = (entry.name.clone(), entry.phase);
            self.log_events.push_back(LogEvent::PhaseChanged { exchange, from, to, restarted });
        }
    }

    /// Removes the exchanges that are gone and have no attempt left. They are replaced by exchanges of other
    /// names and never come back, so memory would grow without bound if they were kept. Fronts look up names
    /// while they process an update of the list, so this has to be called after that.
    pub fn remove_gone(&mut self) {
        let attempts = &self.attempts;
        self.exchanges
            .retain(|id, e| e.phase != Phase::Gone || attempts.iter().any(|(_, a)| a.exchange == *id));
        let exchanges = &self.exchanges;
        self.names.retain(|_, id| exchanges.contains_key(id));
    }

    /// Cancels the pending attempts that were sent to an exchange at `sent_until` or before, as their process is gone.
    /// Another process at its address must not be sent them again, nor be taken for the one that they were sent to.
    fn cancel_attempts(&mut self, now: Duration, exchange: ExchangeId, sent_until: Duration) {
        let pending = self.attempts.iter().filter(|(_, a)| a.exchange == exchange && !a.is_established);
        let pending = pending.filter(|(_, a)| a.sent_at <= sent_until);
        let pending: Vec<_> = pending.map(|(token, _)| AttemptToken(token)).collect();
        for attempt in pending {
            self.commands.push_back(Command::CancelAttempt(attempt));
            self.remove_attempt(now, attempt, EndReason::Dropped, false);
        }
    }

    /// Drops the calls that an exchange answered at `answered_until` or before, as their process is gone. An
    /// update of the list may arrive late, so calls that the restarted process has answered after its start
    /// are kept.
    pub(super) fn drop_calls<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        answered_until: Duration,
        timers: &mut TimerQueue<D>,
    ) {
        let dropped = self.attempts.iter().filter(|(_, a)| a.exchange == exchange && a.is_established);
        let dropped = dropped.filter(|(_, a)| a.answered_at <= answered_until);
        let dropped: Vec<_> = dropped.map(|(t, _)| AttemptToken(t)).collect();
        for attempt in dropped {
            self.commands.push_back(Command::DiscardAttempt(attempt));
            self.attempt_ended(now, attempt, EndReason::Dropped, timers);
        }
    }
}
