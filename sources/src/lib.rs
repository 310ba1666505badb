//! Sources of load: HAR files and access logs, read into timed calls.
//!
//! A recorded request becomes a [`TimedCall`]: when it came, what it asked for and how it went. A [`Plan`]
//! says which call of the controller stands for it. An error names the line or entry at fault.
//!
//! ```
//! use slateshed::{CallId, ExchangeNumber};
//! use slateshed_sources::{read_log, Format, Plan, Rule};
//! use std::time::Duration;
//!
//! let log = r#"10.0.0.7 - - [10/Oct/2026:13:55:38 +1200] "GET /logs/7 HTTP/1.1" 200 2326"#;
//! let plan = Plan(vec![Rule {
//!     prefix: "/logs/".to_owned(),
//!     class: 0,
//!     destination: ExchangeNumber(3),
//!     circuits: 1,
//!     patience: Duration::from_secs(3),
//! }]);
//! let timed = read_log(log, Format::Common)?;
//! let call = plan.call(CallId(1), &timed[0]).expect("a rule fits");
//! assert_eq!((timed[0].at, call.destination), (Duration::ZERO, ExchangeNumber(3)));
//!
//! let error = read_log("10.0.0.7 - -", Format::Common).expect_err("cut short");
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

/// A request as it was recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedCall {
    /// When it came, from the earliest one on.
    pub at: Duration,
    /// Who asked: the client's address or name, where it is known.
    pub client: Option<String>,
    /// The method.
    pub method: String,
    /// What was asked for: a URL, or the path alone.
    pub target: String,
    /// The status of the response; none where there was no response.
    pub status: Option<u16>,
    /// How long the exchange took, where it was recorded.
    pub took: Option<Duration>,
    /// The size of the response body in bytes, where it was recorded.
    pub size: Option<u64>,
}

/// Where a source is malformed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// The source as a whole.
    Whole,
    /// A line, from 1.
    Line(usize),
    /// An entry of the HAR log, from 0 as in `log.entries[0]`.
    Entry(usize),
}

/// A source that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceError {
    /// Where.
    pub place: Place,
    /// What is wrong there.
    pub wrong: String,
}

impl SourceError {
    fn new(place: Place, wrong: impl Into<String>) -> Self {
        SourceError { place, wrong: wrong.into() }
    }
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place {
            Place::Whole => f.write_str(&self.wrong),
            Place::Line(n) => write!(f, "line {n}: {}", self.wrong),
            Place::Entry(n) => write!(f, "log.entries[{n}]: {}", self.wrong),
        }
    }
}

impl std::error::Error for SourceError {}

/// Which requests stand for which calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// How the target begins.
    pub prefix: String,
    /// The class, by position in the settings.
    pub class: usize,
    /// Where the call goes.
    pub destination: ExchangeNumber,
    /// Circuits that it takes.
    pub circuits: u32,
    /// How long its caller waits.
    pub patience: Duration,
}

/// The rules, of which the one with the longest prefix counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan(pub Vec<Rule>);

impl Plan {
    /// The call that stands for a request; none where no rule fits. Requests for one target have one number.
    pub fn call(&self, id: CallId, timed: &TimedCall) -> Option<NewCall> {
        let fits = self.0.iter().filter(|r| timed.target.starts_with(&r.prefix));
        let rule = fits.max_by_key(|r| r.prefix.len())?;
        // FNV-1a.
        let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
        Some(NewCall {
            call: id,
            class: rule.class,
            tenant: 0,
            dialled: DialledNumber(timed.target.bytes().fold(0xcbf2_9ce4_8422_2325, hash)),
            patience: rule.patience,
            destination: rule.destination,
            circuits: rule.circuits,
            route_hint: None,
            origin: Origin::Subscriber,
        })
    }
}

/// Sorts by time and counts times from the earliest; logs are written as requests end.
fn from_the_first(mut calls: Vec<(jiff::Timestamp, TimedCall)>) -> Vec<TimedCall> {
    calls.sort_by_key(|(at, _)| *at);
    let first = calls.first().map(|(at, _)| *at);
    let since = |at: jiff::Timestamp| {
        first.and_then(|first| Duration::try_from(at.duration_since(first)).ok()).unwrap_or_default()
    };
    calls.into_iter().map(|(at, call)| TimedCall { at: since(at), ..call }).collect()
}
