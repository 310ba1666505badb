//! The log: one line an event on standard error, each kind of line limited in rate.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::Write;
use std::time::Duration;

/// Lines of one kind that are written in one span; what is over is counted.
const MOST: u32 = 5;
const SPAN: Duration = Duration::from_secs(10);

struct Kind {
    since: Duration,
    written: u32,
    left_out: u32,
}

/// Writes the log of one call controller.
pub struct Log {
    name: String,
    kinds: BTreeMap<&'static str, Kind>,
}

impl Log {
    /// A log whose lines carry the call controller's name.
    pub fn new(name: &str) -> Self {
        Log { name: name.to_owned(), kinds: BTreeMap::new() }
    }

    /// Writes a line of a kind, unless too many of that kind were written lately.
    pub fn line(&mut self, now: Duration, kind: &'static str, text: impl Display) {
        self.line_limited(now, kind, MOST, text);
    }

    /// The same for a kind of which so many lines may be written in one span.
    pub fn line_limited(&mut self, now: Duration, kind: &'static str, most: u32, text: impl Display) {
        let k = self.kinds.entry(kind).or_insert(Kind { since: now, written: 0, left_out: 0 });
        if now >= k.since + SPAN {
            if k.left_out > 0 {
                write(&self.name, now, kind, format_args!("{} more lines left out", k.left_out));
            }
            *k = Kind { since: now, written: 0, left_out: 0 };
        }
        if k.written < most {
            k.written += 1;
            write(&self.name, now, kind, text);
        } else {
            k.left_out += 1;
        }
    }
}

fn write(name: &str, now: Duration, kind: &str, text: impl Display) {
    // A log that cannot be written must not end the process.
    // What a peer sent may be in it: it stays one line, and short.
    let text = text.to_string().replace(|c: char| c.is_control(), " ");
    let _ = writeln!(std::io::stderr().lock(), "{:.3} {name} {kind}: {text:.400}", now.as_secs_f64());
}
