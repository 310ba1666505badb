//! Runs one case of the second review: `cases-2 CASE ROOT FOLDER`. The exit status is 1 if the rule was broken, 0 if
//! it held and 2 if the case couldn't run. With TROUBLE=0 in the environment, the case leaves its disruption out.

mod cases;
#[allow(dead_code)] // not every case needs every part
mod parts;
mod sip;

use parts::Record;
use std::path::PathBuf;
use std::process::exit;

/// What a case has found.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// What each case needs.
pub struct Setting {
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: cases-2 CASE ROOT FOLDER");
        exit(2);
    };
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record.write("case", &format!("{case}, trouble={trouble}"));
    let pace = parts::Pace::start(&record);
    parts::start_watchdog(&record);
    let setting = Setting { root: PathBuf::from(root), record: record.clone(), trouble };
    let run = std::panic::AssertUnwindSafe(|| cases::run(case, &setting));
    let verdict = std::panic::catch_unwind(run)
        .unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in panicked".into()));
    // A machine that stops the stand-ins for long shows nothing of the software.
    let verdict = match verdict {
        Verdict::Broken(text) if pace.is_uneven() => {
            Verdict::CouldNotRun(format!("the machine was too busy ({text})"))
        }
        verdict => verdict,
    };
    let (status, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.write("case", &text);
    println!("{text}");
    exit(status);
}
