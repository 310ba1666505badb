//! The log events of the engine: transitions and ends, each with its ids and its reason.

use crate::end::EndReason;
use crate::liveness::FailureSign;
use slateshed::Phase;
use std::fmt;
use std::time::Duration;

/// One event of the engine for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A call that stood is over, and its caller is being told.
    Released {
        /// The caller's id of the call.
        call: String,
        /// Where it stood.
        exchange: String,
        /// Why it is over.
        why: EndReason,
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
        last: Option<EndReason>,
    },
    /// A call has failed.
    Failed {
        /// The caller's id of the call.
        call: String,
        /// Set-ups that were sent for it.
        attempts: u32,
        /// How the last one ended.
        last: Option<EndReason>,
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
        after: Option<EndReason>,
    },
    /// An exchange with established calls is suspected to have failed.
    Suspected {
        /// The exchange.
        exchange: String,
        /// What was observed.
        observation: FailureSign,
        /// For how long there had been no sign of life.
        silent: Duration,
    },
    /// A connection came up that may lead to another process than the ones before.
    NewIncarnation {
        /// The exchange.
        exchange: String,
        /// It is assumed to be the same process until something speaks against it.
        is_assumed_same: bool,
    },
    /// A process has given no sign of life for too long: its calls are released.
    ExchangeDead {
        /// The exchange.
        exchange: String,
        /// How many calls stood there.
        calls: usize,
        /// For how long there had been no sign of life.
        silent: Duration,
    },
    /// An update of the list changed the phase of an exchange.
    PhaseChanged {
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

impl LogEvent {
    /// The kind of the log's line.
    pub fn kind(&self) -> &'static str {
        match self {
            LogEvent::Released { .. } => "call-released",
            LogEvent::Refused { .. } => "call-refused",
            LogEvent::Failed { .. } => "call-failed",
            LogEvent::Retried { .. } => "call-retried",
            LogEvent::Suspected { .. } => "exchange-doubted",
            LogEvent::NewIncarnation { .. } => "exchange-followed",
            LogEvent::ExchangeDead { .. } => "exchange-lost",
            LogEvent::PhaseChanged { .. } => "exchange-listed",
        }
    }

    /// Maximum number of lines of this kind in one rate limit interval of the log.
    pub fn max_lines(&self) -> u32 {
        match self {
            LogEvent::Released { .. } => MOST_RELEASES,
            _ => MOST_OTHERS,
        }
    }
}

/// Lines in one span of a kind by which single calls are followed: some hundred calls stand at an exchange.
const MOST_RELEASES: u32 = 200;
/// Lines in one span of any other kind.
const MOST_OTHERS: u32 = 10;

/// How an attempt ended, where there was one.
struct Last<'a>(&'a Option<EndReason>);

impl fmt::Display for Last<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(end) => f.write_str(end.name()),
            None => f.write_str("none"),
        }
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::Released { call, exchange, why, stood } => {
                write!(f, "call={call} exchange={exchange} why=\"{why}\" stood_ms={}", stood.as_millis())
            }
            LogEvent::Refused { call, attempts, last } | LogEvent::Failed { call, attempts, last } => {
                write!(f, "call={call} attempts={attempts} last=\"{}\"", Last(last))
            }
            LogEvent::Retried { call, exchange, attempt, after } => {
                write!(f, "call={call} exchange={exchange} attempt={attempt} after=\"{}\"", Last(after))
            }
            LogEvent::Suspected { exchange, observation, silent } => {
                write!(f, "exchange={exchange} by={observation:?} silent_ms={}", silent.as_millis())
            }
            LogEvent::NewIncarnation { exchange, is_assumed_same } => {
                write!(f, "exchange={exchange} assumed_same={is_assumed_same}")
            }
            LogEvent::ExchangeDead { exchange, calls, silent } => {
                write!(f, "exchange={exchange} calls={calls} silent_ms={}", silent.as_millis())
            }
            LogEvent::PhaseChanged { exchange, from, to, restarted } => {
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
        let notice = LogEvent::Released {
            call: "9b1f".to_owned(),
            exchange: "s-one".to_owned(),
            why: EndReason::Dropped,
            stood: Duration::from_millis(1500),
        };
        let line = format!("{}: {notice}", notice.kind());
        insta::assert_snapshot!(line, @r#"call-released: call=9b1f exchange=s-one why="cut" stood_ms=1500"#);
        let notice = LogEvent::Refused { call: "9b1f".to_owned(), attempts: 0, last: None };
        insta::assert_snapshot!(notice.to_string(), @r#"call=9b1f attempts=0 last="none""#);
    }
}
