//! The figures that operators ask for, as JSON on one line.

use crate::engine::Figures;
use std::collections::BTreeMap;
use std::fmt::Write;
use tinyjson::JsonValue;

/// How often SIGHUP had the configuration read again, and with what result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reloads {
    /// It was taken over.
    pub applied: u64,
    /// It was wrong and changed nothing.
    pub rejected: u64,
}

/// Writes the figures, classes by name.
pub fn json(figures: &Figures, reloads: Reloads, classes: &[String]) -> String {
    let mut out = String::from("{\"results\":{");
    for (i, (class, r)) in classes.iter().zip(&figures.results).enumerate() {
        let comma = if i == 0 { "" } else { "," };
        // Only numbers can fail to be written as JSON, and writing to a string does not fail.
        let class = JsonValue::String(class.clone()).stringify().unwrap_or_default();
        let _ = write!(
            out,
            "{comma}{class}:{{\"succeeded\":{},\"declined\":{},\"aborted\":{}}}",
            r.succeeded, r.declined, r.aborted
        );
    }
    out.push('}');
    let counts = [
        ("forwards", figures.forwards),
        ("outstanding", figures.outstanding as u64),
        ("discovered", figures.discovered as u64),
        ("ejected", figures.ejected as u64),
        ("sighup_applied", reloads.applied),
        ("sighup_rejected", reloads.rejected),
        ("standing", figures.standing as u64),
        ("retries", figures.retries),
        ("checks", figures.checks),
        ("adverse_observations", figures.adverse_observations),
    ];
    for (name, count) in counts {
        let _ = write!(out, ",\"{name}\":{count}");
    }
    write_by_reason(&mut out, "releases", &figures.releases);
    write_by_reason(&mut out, "attempt_ends", &figures.attempt_ends);
    out.push('}');
    out
}

/// Writes counts by their reasons, whose names need no quoting.
fn write_by_reason(out: &mut String, name: &str, counts: &BTreeMap<&'static str, u64>) {
    let _ = write!(out, ",\"{name}\":{{");
    for (i, (reason, count)) in counts.iter().enumerate() {
        let comma = if i == 0 { "" } else { "," };
        let _ = write!(out, "{comma}\"{reason}\":{count}");
    }
    out.push('}');
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::Results;

    /// Guards against figures under other names than those that are read, and against names that break the line.
    #[test]
    fn figures_are_one_line_of_json() {
        let results = vec![Results { succeeded: 8, declined: 2, aborted: 1 }; 2];
        let figures = Figures {
            results,
            forwards: 14,
            outstanding: 3,
            discovered: 5,
            ejected: 1,
            standing: 2,
            releases: BTreeMap::from([("cut", 1), ("ended", 5)]),
            attempt_ends: BTreeMap::from([("timed out", 4)]),
            retries: 3,
            checks: 6,
            adverse_observations: 2,
        };
        let classes = ["voice".to_owned(), "a \"b\"\n".to_owned()];
        let line = json(&figures, Reloads { applied: 2, rejected: 1 }, &classes);
        insta::assert_snapshot!(line, @r#"{"results":{"voice":{"succeeded":8,"declined":2,"aborted":1},"a \"b\"\n":{"succeeded":8,"declined":2,"aborted":1}},"forwards":14,"outstanding":3,"discovered":5,"ejected":1,"sighup_applied":2,"sighup_rejected":1,"standing":2,"retries":3,"checks":6,"adverse_observations":2,"releases":{"cut":1,"ended":5},"attempt_ends":{"timed out":4}}"#);
    }
}
