//! The rules that have to hold in every trial, checked against what the callers and the exchanges recorded.

use crate::caller::ReceivedMessage;
use crate::exchange::{CallRecord, Outage};
use crate::load::{CallerRecord, SentSetUp};
use std::collections::HashMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// An answer may come at most this long after its caller's deadline. A later one breaks the rule, since the call is
/// lost by then.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(550);
/// A set-up needs no answer if its connection closes, or the controller ends, at most this long after it was sent: the
/// controller may not have received it. A caller is expected to send it again then, but the callers of a trial
/// don't.
const MAX_CLOSE_RACE_DELAY: Duration = Duration::from_millis(50);
/// The controller forwards a release to the caller within this time after the exchange sent it.
const MAX_RELEASE_FORWARD_DELAY: Duration = Duration::from_millis(1050);
/// If the exchange sends no release, the controller reports the end of the call within this time after that end.
const MAX_END_REPORT_DELAY: Duration = Duration::from_millis(8050);
/// A release that the exchange sends more than this long after the end of the call counts as not sent: the controller
/// need not wait for it.
const MAX_RELEASE_SEND_DELAY: Duration = Duration::from_millis(7000);
/// The controller must keep the calls of an exchange whose outage is shorter than this. Its latest information about
/// the exchange may already be some seconds old when the outage begins.
const MIN_EXCUSING_OUTAGE_TIME: Duration = Duration::from_millis(3500);
/// When the controller declares an exchange dead, the failure signs against it are at most this old.
const MAX_FAILURE_SIGN_AGE: Duration = Duration::from_secs(9);
/// If both sides end a call at about the same time, their records of the end may differ by this much.
const END_TIME_TOLERANCE: Duration = Duration::from_millis(100);

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The id of the call.
    pub tag: String,
    /// What was wrong.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.tag, self.description)
    }
}

/// What one exchange recorded.
pub struct ExchangeRecord {
    /// The port, which identifies the exchange in its answers.
    pub port: u16,
    /// Its calls, by id.
    pub calls: HashMap<String, CallRecord>,
    /// When it did not serve.
    pub outages: Vec<Outage>,
    /// Whether all its connections were reset while its process lived. To the controller, the process
    /// may seem to have crashed.
    pub was_reset: bool,
}

/// What a trial recorded, for the rules to be checked against.
pub struct TrialRecord {
    /// What the callers recorded.
    pub callers: Vec<CallerRecord>,
    /// What the exchanges recorded.
    pub exchanges: Vec<ExchangeRecord>,
    /// When the trial began.
    pub started_at: Instant,
    /// When the controller was signalled to stop.
    pub stop_signalled_at: Instant,
    /// When the controller had ended.
    pub ended_at: Instant,
}

/// Counts of a trial, for its report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Set-ups that were sent.
    pub set_ups: usize,
    /// Of these, set-ups that led to an established call.
    pub established: usize,
    /// Of the established calls, those whose end the controller reported to the caller.
    pub ends_reported: usize,
    /// Of the established calls, those that ended at their exchange and whose release it did not send in time, because
    /// its host or process had failed or it could not send one. Calls that their caller finished don't count.
    pub without_release: usize,
}

impl TrialRecord {
    /// Checks all rules, and counts the calls.
    pub fn check(&self) -> (Vec<Violation>, Counts) {
        let (mut violations, mut counts) = (Vec::new(), Counts::default());
        // The controller may report the end of a call on any connection from the caller's host.
        let mut received: HashMap<(Ipv4Addr, &str), Vec<&ReceivedMessage>> = HashMap::new();
        for caller in &self.callers {
            for m in caller.received.iter().flatten() {
                received.entry((caller.host, &m.message.tag)).or_default().push(m);
            }
        }
        for caller in &self.callers {
            for set_up in &caller.set_ups {
                let messages = received
                    .get_mut(&(caller.host, set_up.tag.as_str()))
                    .map(std::mem::take)
                    .unwrap_or_default();
                counts.set_ups += 1;
                let description = self.check_call(caller, set_up, &messages, &mut counts);
                violations.extend(
                    description.map(|description| Violation { tag: set_up.tag.clone(), description }),
                );
            }
        }
        // What is left belongs to no call of the host.
        let foreign = received.into_iter().filter(|(_, messages)| !messages.is_empty());
        violations.extend(foreign.map(|((host, tag), messages)| {
            let (verb, at) = (&messages[0].message.verb, self.seconds_since_start(messages[0].at));
            let description = format!("{verb} told to {host} at {at}, which is not its caller's host");
            Violation { tag: tag.to_owned(), description }
        }));
        (violations, counts)
    }

    /// A time, in seconds since the start of the trial.
    fn seconds_since_start(&self, at: Instant) -> String {
        format!("{:.3}", at.saturating_duration_since(self.started_at).as_secs_f64())
    }

    /// Checks the answer to a set-up, and the end of the call if one was established. Returns what was wrong, if
    /// anything.
    fn check_call(
        &self,
        caller: &CallerRecord,
        set_up: &SentSetUp,
        messages: &[&ReceivedMessage],
        counts: &mut Counts,
    ) -> Option<String> {
        let mut messages: Vec<_> = messages.to_vec();
        messages.sort_by_key(|m| m.at);
        let Some(answer) =
            messages.iter().find(|m| matches!(m.message.verb.as_str(), "STARTED" | "FINISH"))
        else {
            return self.check_unanswered(caller, set_up);
        };
        if answer.at > set_up.at + set_up.time_left + MAX_ANSWER_DELAY {
            return Some(format!(
                "answered {:?} after its deadline",
                answer.at - set_up.at - set_up.time_left
            ));
        }
        let started_count = messages.iter().filter(|m| m.message.verb == "STARTED").count();
        if started_count > 1 || !answer.is_started() && messages.len() > 1 {
            return Some("a second answer".to_owned());
        }
        if !answer.is_started() {
            return None;
        }
        counts.established += 1;
        let end_reported_at = messages.iter().find(|m| m.message.verb == "FINISH").map(|m| m.at);
        counts.ends_reported += usize::from(end_reported_at.is_some());
        if set_up.finished_at.is_some() {
            return None;
        }
        self.check_end(caller, set_up, answer, end_reported_at, counts)
    }

    /// Checks a set-up that got no answer. That is allowed if its caller finished it, or if its connection closed or the
    /// controller ended by `MAX_CLOSE_RACE_DELAY` after it was sent.
    fn check_unanswered(&self, caller: &CallerRecord, set_up: &SentSetUp) -> Option<String> {
        let closed_at = caller.closed_at.get(set_up.connection_index).copied().flatten();
        let is_excuse = |at: Instant| at <= set_up.at + MAX_CLOSE_RACE_DELAY;
        if set_up.finished_at.is_some() || closed_at.is_some_and(is_excuse) || is_excuse(self.ended_at) {
            return None;
        }
        let state = closed_at
            .map_or("open".to_owned(), |at| format!("closed at {}", self.seconds_since_start(at)));
        Some(format!("no answer; sent at {}, connection {state}", self.seconds_since_start(set_up.at)))
    }

    /// Checks the end of an established call that its caller did not release.
    fn check_end(
        &self,
        caller: &CallerRecord,
        set_up: &SentSetUp,
        answer: &ReceivedMessage,
        end_reported_at: Option<Instant>,
        counts: &mut Counts,
    ) -> Option<String> {
        // Earlier attempts of the call may have gone to other exchanges; the port names the one that answered.
        let port = answer.message.blob.as_ref()?.parse::<u16>().ok();
        let Some(exchange) = self.exchanges.iter().find(|e| Some(e.port) == port) else {
            return Some("the answer does not name the port of an exchange".to_owned());
        };
        let Some(call) = exchange.calls.get(&set_up.tag) else {
            return Some("answered by an exchange that has no record of the call".to_owned());
        };
        // The end was reported while the call was established at the exchange, which learns of it later or never.
        let early_end =
            end_reported_at.filter(|at| call.ended_at.is_none_or(|end| end > *at + END_TIME_TOLERANCE));
        if let Some(reported_at) = early_end {
            return self.check_early_end(exchange, reported_at);
        }
        let ended_at = call.ended_at.filter(|_| !call.released_by_controller)?;
        let released_in_time = call.released_at.filter(|at| *at <= ended_at + MAX_RELEASE_SEND_DELAY);
        let due = released_in_time
            .map_or(ended_at + MAX_END_REPORT_DELAY, |at| at + MAX_RELEASE_FORWARD_DELAY);
        // A caller that has left can be told when it returns.
        let returned_at = caller.return_after(released_in_time.unwrap_or(ended_at), due);
        let due = returned_at.map_or(due, |at| due.max(at + MAX_RELEASE_FORWARD_DELAY));
        counts.without_release += usize::from(released_in_time.is_none());
        // A controller that has ended can't report anything.
        if due >= self.ended_at {
            return None;
        }
        let is_late = end_reported_at.is_none_or(|at| at > due);
        is_late.then(|| {
            let reported = end_reported_at.map_or("never".to_owned(), |at| self.seconds_since_start(at));
            let released =
                call.released_at.map_or("never".to_owned(), |at| self.seconds_since_start(at));
            format!(
                "over at {}, released at {released}, told {reported}",
                self.seconds_since_start(ended_at)
            )
        })
    }

    /// Checks a call whose end was reported to the caller while the call was established at its exchange. An outage of
    /// the exchange, a reset of its connections or the stop of the controller excuses that.
    fn check_early_end(&self, exchange: &ExchangeRecord, reported_at: Instant) -> Option<String> {
        let excused_by_outage = exchange.outages.iter().any(|o| {
            let to = o.to.unwrap_or(reported_at);
            o.from <= reported_at
                && to + MAX_FAILURE_SIGN_AGE >= reported_at
                && to.saturating_duration_since(o.from) >= MIN_EXCUSING_OUTAGE_TIME
        });
        if excused_by_outage || exchange.was_reset || reported_at >= self.stop_signalled_at {
            return None;
        }
        Some(format!("cut at {} while it stood", self.seconds_since_start(reported_at)))
    }
}
