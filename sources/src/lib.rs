//! Load sources: parsers for HAR files and access logs, whose requests can be replayed as calls.
//!
//! Each request becomes a [`RecordedRequest`]: when it started, what it asked for, and its result.
//! [`CallRules`] convert it to a call for the controller. An error names the line or entry that is malformed.
//!
//! ```
//! use slateshed::{CallId, ExchangeNumber};
//! use slateshed_sources::{read_log, CallRule, CallRules, Format};
//! use std::time::Duration;
//!
//! let log = r#"10.0.0.7 - - [10/Oct/2026:13:55:38 +1200] "GET /logs/7 HTTP/1.1" 200 2326"#;
//! let rules = CallRules(vec![CallRule {
//!     prefix: "/logs/".to_owned(),
//!     class: 0,
//!     destination: ExchangeNumber(3),
//!     circuits: 1,
//!     patience: Duration::from_secs(3),
//! }]);
//! let requests = read_log(log, Format::Common)?;
//! let call = rules.call_for(CallId(1), &requests[0]).expect("a rule matches");
//! assert_eq!((requests[0].started_at, call.destination), (Duration::ZERO, ExchangeNumber(3)));
//!
//! let error = read_log("10.0.0.7 - -", Format::Common).expect_err("the line is cut short");
//! assert_eq!(error.to_string(), "line 1: time does not begin with [");
//! # Ok::<(), slateshed_sources::SourceError>(())
//! ```

mod har;
mod log;

pub use har::read as read_har;
pub use log::{read as read_log, Format};

use slateshed::{CallId, DialledNumber, ExchangeNumber, NewCall, Origin};
use std::fmt;
use std::time::Duration;

/// A recorded request.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    /// When it started, counted from the start of the earliest request.
    pub started_at: Duration,
    /// The client's address, name or connection, if it is known.
    pub client: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The request target: a URL or its path.
    pub target: String,
    /// The status code of the response; none if there was no response.
    pub status: Option<u16>,
    /// The time from the request to the end of the response, if it was recorded.
    pub duration: Option<Duration>,
    /// The size of the response body in bytes, if it was recorded.
    pub body_bytes: Option<u64>,
}

/// The part of a source that an error is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// The whole source.
    Document,
    /// A line, counted from 1.
    Line(usize),
    /// An entry of the HAR log, counted from 0 as in `log.entries[0]`.
    Entry(usize),
}

/// The error for a malformed source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceError {
    /// The malformed part.
    pub location: Location,
    /// What is wrong with it.
    pub message: String,
}

impl SourceError {
    fn new(location: Location, message: impl Into<String>) -> Self {
        SourceError { location, message: message.into() }
    }
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.location {
            Location::Document => f.write_str(&self.message),
            Location::Line(n) => write!(f, "line {n}: {}", self.message),
            Location::Entry(n) => write!(f, "log.entries[{n}]: {}", self.message),
        }
    }
}

impl std::error::Error for SourceError {}

/// A rule that converts the requests whose targets begin with a prefix to calls.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRule {
    /// The prefix of the targets.
    pub prefix: String,
    /// The class, by position in the settings.
    pub class: usize,
    /// The number of the exchange that the call is for.
    pub destination: ExchangeNumber,
    /// The number of circuits that it occupies.
    pub circuits: u32,
    /// How long its caller waits for an answer.
    pub patience: Duration,
}

/// A list of rules; of those that match a request, the one with the longest prefix applies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallRules(pub Vec<CallRule>);

impl CallRules {
    /// Converts a request to a call; none if no rule matches. The dialled number is a hash of the target, so requests
    /// for the same target get the same number.
    pub fn call_for(&self, id: CallId, request: &RecordedRequest) -> Option<NewCall> {
        let matching = self.0.iter().filter(|r| request.target.starts_with(&r.prefix));
        let rule = matching.max_by_key(|r| r.prefix.len())?;
        // FNV-1a hash.
        let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
        Some(NewCall {
            call: id,
            class: rule.class,
            tenant: 0,
            dialled: DialledNumber(request.target.bytes().fold(0xcbf2_9ce4_8422_2325, hash)),
            patience: rule.patience,
            destination: rule.destination,
            circuits: rule.circuits,
            route_hint: None,
            origin: Origin::Subscriber,
        })
    }
}

/// Sorts requests by their start, and sets `started_at` to the time since the earliest start. Sorting is needed
/// because servers log requests in the order in which they end.
fn sort_by_start(mut requests: Vec<(jiff::Timestamp, RecordedRequest)>) -> Vec<RecordedRequest> {
    requests.sort_by_key(|(start, _)| *start);
    let first = requests.first().map(|(start, _)| *start);
    let since_first = |start: jiff::Timestamp| {
        first.and_then(|first| Duration::try_from(start.duration_since(first)).ok()).unwrap_or_default()
    };
    requests
        .into_iter()
        .map(|(start, request)| RecordedRequest { started_at: since_first(start), ..request })
        .collect()
}
