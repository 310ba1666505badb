//! The rules that have to hold in a trial, checked on what the callers and the exchanges have noted.

use crate::caller::Told;
use crate::exchange::{Outage, Record};
use crate::load::{History, SetUp};
use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Beyond its caller's time, an answer may be this late before the call is lost.
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// A set-up that crosses the close of its connection by this much goes again.
const CROSSING: Duration = Duration::from_millis(50);
/// A release that arrives is passed on within this time; without one, the end of a call is told within the other.
const PASSED_ON: Duration = Duration::from_millis(1050);
const TOLD: Duration = Duration::from_millis(8050);
/// A release that the exchange could send this late after the end is one too late to wait for.
const RELEASED_IN_TIME: Duration = Duration::from_millis(7000);
/// An exchange that did not serve for less than this keeps its calls. What is known of it may be some seconds old when
/// that begins.
const KEPT_FOR: Duration = Duration::from_millis(3500);
/// What speaks against the life of an exchange is at most this old when its calls are lost.
const LOST_AFTER: Duration = Duration::from_secs(9);
/// Ends of a call that are seen at both sides at about the same time.
const ABOUT: Duration = Duration::from_millis(100);

/// One breach of a rule.
#[derive(Clone, Debug)]
pub struct Breach {
    /// The call.
    pub tag: String,
    /// What was wrong.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.tag, self.what)
    }
}

/// What one exchange has noted.
pub struct Witness {
    /// The port that its answers name.
    pub port: u16,
    /// Its calls.
    pub calls: HashMap<String, Record>,
    /// When it did not serve.
    pub outages: Vec<Outage>,
    /// All its connections were reset while it lived: it may look as if it had died.
    pub was_reset: bool,
}

/// What a trial has left to be checked.
pub struct Evidence {
    /// What the callers have noted.
    pub histories: Vec<History>,
    /// What the exchanges have noted.
    pub witnesses: Vec<Witness>,
    /// When the trial began.
    pub begun: Instant,
    /// When the controller was asked to stop.
    pub stopped: Instant,
    /// When the controller had ended.
    pub ended: Instant,
}

/// Figures of a trial.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Set-ups sent.
    pub set_ups: usize,
    /// Of these, calls that stood.
    pub stood: usize,
    /// Of these, calls whose end was told.
    pub told: usize,
    /// Of these, told since their exchange had vanished or could not say so.
    pub lost: usize,
}

impl Evidence {
    /// Checks all rules.
    pub fn check(&self) -> (Vec<Breach>, Counts) {
        let (mut breaches, mut counts) = (Vec::new(), Counts::default());
        // The end of a call may be told on any connection from its host.
        let mut told: HashMap<&str, Vec<&Told>> = HashMap::new();
        for t in self.histories.iter().flat_map(|h| h.told.iter().flatten()) {
            told.entry(&t.message.tag).or_default().push(t);
        }
        for history in &self.histories {
            for set_up in &history.set_ups {
                let told = told.get_mut(set_up.tag.as_str()).map(std::mem::take).unwrap_or_default();
                counts.set_ups += 1;
                let what = self.check_call(history, set_up, &told, &mut counts);
                breaches.extend(what.map(|what| Breach { tag: set_up.tag.clone(), what }));
            }
        }
        (breaches, counts)
    }

    fn since(&self, at: Instant) -> String {
        format!("{:.3}", at.saturating_duration_since(self.begun).as_secs_f64())
    }

    fn check_call(
        &self,
        history: &History,
        set_up: &SetUp,
        told: &[&Told],
        counts: &mut Counts,
    ) -> Option<String> {
        let mut told: Vec<_> = told.to_vec();
        told.sort_by_key(|t| t.at);
        let Some(answer) = told.iter().find(|t| matches!(t.message.verb.as_str(), "STARTED" | "FINISH"))
        else {
            return self.check_unanswered(history, set_up);
        };
        if answer.at > set_up.at + set_up.left + ANSWER_SLACK {
            return Some(format!("answered {:?} after its time", answer.at - set_up.at - set_up.left));
        }
        let answers = told.iter().filter(|t| t.message.verb == "STARTED").count();
        if answers > 1 || !answer.stands() && told.len() > 1 {
            return Some("a second answer".to_owned());
        }
        if !answer.stands() {
            return None;
        }
        counts.stood += 1;
        let over = told.iter().find(|t| t.message.verb == "FINISH").map(|t| t.at);
        counts.told += usize::from(over.is_some());
        if set_up.finished.is_some() {
            return None;
        }
        self.check_end(set_up, answer, over, counts)
    }

    fn check_unanswered(&self, history: &History, set_up: &SetUp) -> Option<String> {
        let closed = history.closed.get(set_up.connection).copied().flatten();
        let crossed = |at: Instant| at <= set_up.at + CROSSING;
        if set_up.finished.is_some() || closed.is_some_and(crossed) || crossed(self.ended) {
            return None;
        }
        let closed = closed.map_or("open".to_owned(), |at| format!("closed at {}", self.since(at)));
        Some(format!("no answer; sent at {}, connection {closed}", self.since(set_up.at)))
    }

    fn check_end(
        &self,
        set_up: &SetUp,
        answer: &Told,
        told: Option<Instant>,
        counts: &mut Counts,
    ) -> Option<String> {
        // A call may have been tried at other exchanges before.
        let port = answer.message.blob.as_ref()?.parse::<u16>().ok();
        let Some(witness) = self.witnesses.iter().find(|w| Some(w.port) == port) else {
            return Some("an answer that no exchange made".to_owned());
        };
        let Some(record) = witness.calls.get(&set_up.tag) else {
            return Some("an answer of an exchange that does not know the call".to_owned());
        };
        // Told while it stood at the exchange, which hears of that later if at all.
        let early = told.filter(|at| record.over.is_none_or(|over| over > *at + ABOUT));
        if let Some(told) = early {
            return self.check_cut(witness, told);
        }
        let over = record.over.filter(|_| !record.cut)?;
        let released = record.released.filter(|at| *at <= over + RELEASED_IN_TIME);
        let due = released.map_or(over + TOLD, |at| at + PASSED_ON);
        counts.lost += usize::from(released.is_none());
        // Whoever has ended can't tell any more.
        if due >= self.ended {
            return None;
        }
        let late = told.is_none_or(|at| at > due);
        late.then(|| {
            let told = told.map_or("never".to_owned(), |at| self.since(at));
            let released = record.released.map_or("never".to_owned(), |at| self.since(at));
            format!("over at {}, released at {released}, told {told}", self.since(over))
        })
    }

    /// A call was released towards its caller while it stood at its exchange.
    fn check_cut(&self, witness: &Witness, told: Instant) -> Option<String> {
        let excused = witness.outages.iter().any(|o| {
            let to = o.to.unwrap_or(told);
            o.from <= told && to + LOST_AFTER >= told && to.saturating_duration_since(o.from) >= KEPT_FOR
        });
        if excused || witness.was_reset || told >= self.stopped {
            return None;
        }
        Some(format!("cut at {} while it stood", self.since(told)))
    }
}
