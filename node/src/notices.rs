//! What the engine has to say for the log: transitions and ends, each with its ids and its reason.

use crate::end::End;
use crate::liveness::Adverse;
use slateshed::Phase;
use std::fmt;
use std::time::Duration;

/// One thing that happened in the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A call that stood is over, and its caller is being told.
    Released {
        /// The caller's id of the call.
        call: String,
        /// Where it stood.
        exchange: String,
        /// Why it is over.
        why: End,
        /// For how long it stood.
        stood: Duration,
    },
    /// A call was refused.
    Refused {
        /// The caller's id of the call.
        call: String,
        /// Set-ups that were sent for it.
        attempts: u32,
        /// How the last one ended.
        last: Option<End>,
    },
    /// A call has failed.
    Failed {
        /// The caller's id of the call.
        call: String,
        /// Set-ups that were sent for it.
        attempts: u32,
        /// How the last one ended.
        last: Option<End>,
    },
    /// A call is set up again.
    Retried {
        /// The caller's id of the call.
        call: String,
        /// Where it goes now.
        exchange: String,
        /// Which of its attempts this is, from 0.
        attempt: u32,
        /// How the one before ended.
        after: Option<End>,
    },
    /// Something speaks against the life of an exchange at which calls stand.
    Doubted {
        /// The exchange.
        exchange: String,
        /// What was observed.
        observation: Adverse,
        /// For how long there had been no sign of life.
        silent: Duration,
    },
    /// A connection came up that may lead to another process than the ones before.
    Followed {
        /// The exchange.
        exchange: String,
        /// It is assumed to be the same process until something speaks against it.
        is_assumed_same: bool,
    },
    /// A process has given no sign of life for too long: its calls are released.
    Lost {
        /// The exchange.
        exchange: String,
        /// How many calls stood there.
        calls: usize,
        /// For how long there had been no sign of life.
        silent: Duration,
    },
    /// The list has changed what an exchange is doing.
    Listed {
        /// The exchange.
        exchange: String,
        /// What it did before; none where it is new.
        from: Option<Phase>,
        /// What it does now.
        to: Phase,
        /// Whether it has started anew.
        restarted: bool,
    },
}

impl Notice {
    /// The kind of the log's line.
    pub fn kind(&self) -> &'static str {
        match self {
            Notice::Released { .. } => "call-released",
            Notice::Refused { .. } => "call-refused",
            Notice::Failed { .. } => "call-failed",
            Notice::Retried { .. } => "call-retried",
            Notice::Doubted { .. } => "exchange-doubted",
            Notice::Followed { .. } => "exchange-followed",
            Notice::Lost { .. } => "exchange-lost",
            Notice::Listed { .. } => "exchange-listed",
        }
    }

    /// How many lines of its kind may be written in one span of the log.
    pub fn most(&self) -> u32 {
        match self {
            Notice::Released { .. } => MOST_RELEASES,
            _ => MOST_OTHERS,
        }
    }
}

/// Lines in one span of a kind by which single calls are followed: some hundred calls stand at an exchange.
const MOST_RELEASES: u32 = 200;
/// Lines in one span of any other kind.
const MOST_OTHERS: u32 = 10;

/// How an attempt ended, where there was one.
struct Last<'a>(&'a Option<End>);

impl fmt::Display for Last<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(end) => f.write_str(end.name()),
            None => f.write_str("none"),
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Released { call, exchange, why, stood } => {
                write!(f, "call={call} exchange={exchange} why=\"{why}\" stood_ms={}", stood.as_millis())
            }
            Notice::Refused { call, attempts, last } | Notice::Failed { call, attempts, last } => {
                write!(f, "call={call} attempts={attempts} last=\"{}\"", Last(last))
            }
            Notice::Retried { call, exchange, attempt, after } => {
                write!(f, "call={call} exchange={exchange} attempt={attempt} after=\"{}\"", Last(after))
            }
            Notice::Doubted { exchange, observation, silent } => {
                write!(f, "exchange={exchange} by={observation:?} silent_ms={}", silent.as_millis())
            }
            Notice::Followed { exchange, is_assumed_same } => {
                write!(f, "exchange={exchange} assumed_same={is_assumed_same}")
            }
            Notice::Lost { exchange, calls, silent } => {
                write!(f, "exchange={exchange} calls={calls} silent_ms={}", silent.as_millis())
            }
            Notice::Listed { exchange, from, to, restarted } => {
                write!(f, "exchange={exchange} from={from:?} to={to:?} restarted={restarted}")
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against lines that lack the id to follow a call by, or the reason.
    #[test]
    fn a_notice_names_ids_and_reasons() {
        let notice = Notice::Released {
            call: "9b1f".to_owned(),
            exchange: "s-one".to_owned(),
            why: End::Cut,
            stood: Duration::from_millis(1500),
        };
        let line = format!("{}: {notice}", notice.kind());
        insta::assert_snapshot!(line, @r#"call-released: call=9b1f exchange=s-one why="cut" stood_ms=1500"#);
        let notice = Notice::Refused { call: "9b1f".to_owned(), attempts: 0, last: None };
        insta::assert_snapshot!(notice.to_string(), @r#"call=9b1f attempts=0 last="none""#);
    }
}
