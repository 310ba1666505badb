//! The log events of the engine: state changes and ends of calls and exchanges, each with its ids and its
//! reason.

use crate::end::EndReason;
use crate::liveness::FailureSign;
use slateshed::Phase;
use std::fmt;
use std::time::Duration;

/// One event of the engine that is written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An established call has ended, and its caller is sent a release.
    Released {
        /// The caller's id of the call.
        call: String,
        /// The exchange at which it was established.
        exchange: String,
        /// Why it has ended.
        why: EndReason,
        /// How long it was established.
        duration: Duration,
    },
    /// A call was refused.
    Refused {
        /// The caller's id of the call.
        call: String,
        /// Number of its attempts.
        attempts: u32,
        /// How the last set-up that was sent ended; `None` if none was sent.
        last: Option<EndReason>,
    },
    /// A call has failed.
    Failed {
        /// The caller's id of the call.
        call: String,
        /// Number of its attempts.
        attempts: u32,
        /// How the last set-up that was sent ended; `None` if none was sent.
        last: Option<EndReason>,
    },
    /// A call is set up again.
    Retried {
        /// The caller's id of the call.
        call: String,
        /// The exchange that receives the new set-up.
        exchange: String,
        /// The number of this attempt, counted from 0.
        attempt: u32,
        /// How the last set-up that was sent before it ended; `None` if none was sent.
        after: Option<EndReason>,
    },
    /// An exchange with established calls is suspected to have failed.
    Suspected {
        /// The exchange.
        exchange: String,
        /// What was observed.
        failure_sign: FailureSign,
        /// Time since the last activity.
        silent_for: Duration,
    },
    /// A connection was established that may lead to a different process than the earlier ones.
    NewIncarnation {
        /// The exchange.
        exchange: String,
        /// Whether it is assumed to be the same process until there is evidence against it.
        is_assumed_same: bool,
    },
    /// A suspected process has been silent for too long: its calls are released.
    ExchangeDead {
        /// The exchange.
        exchange: String,
        /// Number of calls that were established there.
        calls: usize,
        /// Time since the last activity.
        silent_for: Duration,
    },
    /// An update of the list changed the phase of an exchange or reported its restart.
    PhaseChanged {
        /// The exchange.
        exchange: String,
        /// The previous phase; `None` if the exchange is new.
        from: Option<Phase>,
        /// The current phase.
        to: Phase,
        /// Whether the exchange was restarted.
        restarted: bool,
    },
}

impl LogEvent {
    /// The kind of the log line.
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
            LogEvent::Released { .. } => MAX_RELEASE_LINES,
            _ => MAX_LINES,
        }
    }
}

/// Maximum number of release lines in one rate limit interval. These lines allow single calls to be traced,
/// and some hundred calls are established at one exchange.
const MAX_RELEASE_LINES: u32 = 200;
/// Maximum number of lines of any other kind in one rate limit interval.
const MAX_LINES: u32 = 10;

/// Formats how the last set-up that was sent ended; `none` if none was sent.
struct LastEnd<'a>(&'a Option<EndReason>);

impl fmt::Display for LastEnd<'_> {
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
            LogEvent::Released { call, exchange, why, duration } => {
                write!(
                    f,
                    "call={call} exchange={exchange} why=\"{why}\" stood_ms={}",
                    duration.as_millis()
                )
            }
            LogEvent::Refused { call, attempts, last } | LogEvent::Failed { call, attempts, last } => {
                write!(f, "call={call} attempts={attempts} last=\"{}\"", LastEnd(last))
            }
            LogEvent::Retried { call, exchange, attempt, after } => {
                write!(
                    f,
                    "call={call} exchange={exchange} attempt={attempt} after=\"{}\"",
                    LastEnd(after)
                )
            }
            LogEvent::Suspected { exchange, failure_sign, silent_for } => {
                write!(f, "exchange={exchange} by={failure_sign:?} silent_ms={}", silent_for.as_millis())
            }
            LogEvent::NewIncarnation { exchange, is_assumed_same } => {
                write!(f, "exchange={exchange} assumed_same={is_assumed_same}")
            }
            LogEvent::ExchangeDead { exchange, calls, silent_for } => {
                write!(f, "exchange={exchange} calls={calls} silent_ms={}", silent_for.as_millis())
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

    /// Guards against log lines without the reason or without the ids that are needed to trace a call.
    #[test]
    fn a_log_event_contains_ids_and_reasons() {
        let event = LogEvent::Released {
            call: "9b1f".to_owned(),
            exchange: "s-one".to_owned(),
            why: EndReason::Dropped,
            duration: Duration::from_millis(1500),
        };
        let line = format!("{}: {event}", event.kind());
        insta::assert_snapshot!(line, @r#"call-released: call=9b1f exchange=s-one why="cut" stood_ms=1500"#);
        let event = LogEvent::Refused { call: "9b1f".to_owned(), attempts: 0, last: None };
        insta::assert_snapshot!(event.to_string(), @r#"call=9b1f attempts=0 last="none""#);
    }
}
