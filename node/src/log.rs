//! The log: one line per event on standard error, with a rate limit for each kind of line.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::Write;
use std::time::Duration;

/// Default maximum number of lines of one kind in one rate limit interval. Further lines are left out and
/// counted.
const MAX_LINES: u32 = 5;
const RATE_LIMIT_INTERVAL: Duration = Duration::from_secs(10);

/// State of the rate limit for one kind of line.
struct KindState {
    interval_start: Duration,
    written: u32,
    left_out: u32,
}

/// Writes the log of one call controller.
pub struct Log {
    name: String,
    kinds: BTreeMap<&'static str, KindState>,
}

impl Log {
    /// Creates a log whose lines contain the name of the call controller.
    pub fn new(name: &str) -> Self {
        Log { name: name.to_owned(), kinds: BTreeMap::new() }
    }

    /// Writes a line of a kind, unless the rate limit of that kind is reached.
    pub fn line(&mut self, now: Duration, kind: &'static str, text: impl Display) {
        self.line_limited(now, kind, MAX_LINES, text);
    }

    /// Writes a line of a kind that has a rate limit of its own: at most `max_lines` in one interval.
    pub fn line_limited(
        &mut self,
        now: Duration,
        kind: &'static str,
        max_lines: u32,
        text: impl Display,
    ) {
        let state =
            self.kinds.entry(kind).or_insert(KindState { interval_start: now, written: 0, left_out: 0 });
        if now >= state.interval_start + RATE_LIMIT_INTERVAL {
            if state.left_out > 0 {
                write(&self.name, now, kind, format_args!("{} more lines left out", state.left_out));
            }
            *state = KindState { interval_start: now, written: 0, left_out: 0 };
        }
        if state.written < max_lines {
            state.written += 1;
            write(&self.name, now, kind, text);
        } else {
            state.left_out += 1;
        }
    }
}

fn write(name: &str, now: Duration, kind: &str, text: impl Display) {
    // The text may contain data from a peer: it is kept on one line and cut to 400 characters.
    // An error on standard error is ignored, as it must not end the process.
    let text = text.to_string().replace(|c: char| c.is_control(), " ");
    let _ = writeln!(std::io::stderr().lock(), "{:.3} {name} {kind}: {text:.400}", now.as_secs_f64());
}
