//! Established calls that another process of this controller has set up and handed over.

use super::{
    Attempt, AttemptToken, Call, CallInfo, CallToken, Command, Engine, EngineTimer, ReleaseCause,
};
use crate::end::EndReason;
use crate::timers::TimerQueue;
use slateshed::ExchangeId;
use std::rc::Rc;
use std::time::Duration;

/// Where and when a call was established.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Establishment {
    /// The name of the exchange.
    pub exchange: String,
    /// When the call was established.
    pub answered_at: Duration,
    /// Time of the last activity of the exchange's process.
    pub last_activity: Duration,
}

impl Engine {
    /// Where and when a call was established; `None` if it is not.
    pub fn establishment(&self, now: Duration, call: CallToken) -> Option<Establishment> {
        let attempt = self.calls.get(call.0)?.attempt?;
        let state = self.attempts.get(attempt.0).filter(|a| a.is_established)?;
        let silent_for = self.silent_for(now, state.exchange, state.incarnation);
        Some(Establishment {
            exchange: self.exchange_name(state.exchange).to_owned(),
            answered_at: state.answered_at,
            last_activity: now.saturating_sub(silent_for),
        })
    }

    /// Adopts an established call, which from now on gets its release from this process. The times are those
    /// at which it was established and at which the exchange's process was last active. Returns `None` if the
    /// exchange is not known.
    pub fn adopt_call<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        id: &str,
        exchange: ExchangeId,
        (answered_at, last_activity): (Duration, Duration),
        timers: &mut TimerQueue<D>,
    ) -> Option<(CallToken, AttemptToken)> {
        let entry = self.exchanges.get_mut(&exchange)?;
        let (destination, incarnation) = (entry.number, entry.liveness.adopt(last_activity));
        let info = Rc::new(CallInfo::with_id(id));
        let call = CallToken(self.calls.insert(Call {
            info,
            class: 0,
            destination,
            answer_by: answered_at,
            not_before: Duration::ZERO,
            attempts: 1,
            attempt: None,
            last_end: None,
            is_adopted: true,
            deadline_timer: None,
        }));
        let attempt = AttemptToken(self.attempts.insert(Attempt {
            call,
            exchange,
            number: 0,
            sent_at: answered_at,
            is_established: true,
            answered_at,
            incarnation,
            is_direct: false,
            overtaking_answers: 0,
            timeout_timer: None,
        }));
        if let Some(state) = self.calls.get_mut(call.0) {
            state.attempt = Some(attempt);
        }
        self.ensure_review_scheduled(now, exchange, timers);
        Some((call, attempt))
    }

    /// Another process of this controller has received the release of a call from the exchange.
    pub fn released_elsewhere<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        call: CallToken,
        cause: ReleaseCause,
        timers: &mut TimerQueue<D>,
    ) {
        let Some(attempt) = self.calls.get(call.0).and_then(|c| c.attempt) else {
            return;
        };
        let end = match cause {
            ReleaseCause::Normal => EndReason::Ended,
            ReleaseCause::Dropped => EndReason::Dropped,
        };
        self.commands.push_back(Command::DiscardAttempt(attempt));
        self.attempt_ended(now, attempt, end, timers);
    }

    /// The process that handed over a call has ended it on both sides.
    pub fn forget_adopted_call<D: From<EngineTimer>>(
        &mut self,
        now: Duration,
        call: CallToken,
        timers: &mut TimerQueue<D>,
    ) {
        let Some(attempt) = self.remove_call(call).and_then(|c| c.attempt) else {
            return;
        };
        self.commands.push_back(Command::DiscardAttempt(attempt));
        self.remove_attempt(now, attempt, EndReason::Ended, true);
        self.handle_pending(now, timers);
    }

    /// Whether calls that were handed over are established at an exchange.
    pub fn has_adopted_calls(&self, exchange: ExchangeId) -> bool {
        let is_adopted = |call: CallToken| self.calls.get(call.0).is_some_and(|c| c.is_adopted);
        self.attempts.iter().any(|(_, a)| a.exchange == exchange && is_adopted(a.call))
    }
}
