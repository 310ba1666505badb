//! The figures that operators ask for, as JSON on one line.

use crate::engine::Figures;
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
    let _ = write!(
        out,
        "}},\"forwards\":{},\"outstanding\":{},\"discovered\":{},\"ejected\":{},\"sighup_applied\":{},\"sighup_rejected\":{}}}",
        figures.forwards,
        figures.outstanding,
        figures.discovered,
        figures.ejected,
        reloads.applied,
        reloads.rejected
    );
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::Results;

    /// Guards against figures under other names than those that are read, and against names that break the line.
    #[test]
    fn figures_are_one_line_of_json() {
        let results = vec![Results { succeeded: 8, declined: 2, aborted: 1 }; 2];
        let figures = Figures { results, forwards: 14, outstanding: 3, discovered: 5, ejected: 1 };
        let classes = ["voice".to_owned(), "a \"b\"\n".to_owned()];
        let line = json(&figures, Reloads { applied: 2, rejected: 1 }, &classes);
        insta::assert_snapshot!(line, @r#"{"results":{"voice":{"succeeded":8,"declined":2,"aborted":1},"a \"b\"\n":{"succeeded":8,"declined":2,"aborted":1}},"forwards":14,"outstanding":3,"discovered":5,"ejected":1,"sighup_applied":2,"sighup_rejected":1}"#);
    }
}
