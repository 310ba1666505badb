//! The statistics for operators, as JSON on one line.

use crate::engine::Stats;
use crate::net::clients::ReleaseStats;
use crate::net::journal::JournalStats;
use std::collections::BTreeMap;
use std::fmt::Write;
use tinyjson::JsonValue;

/// Number of configuration reloads on SIGHUP, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reloads {
    /// The configuration was applied.
    pub applied: u64,
    /// The configuration was invalid, and nothing was changed.
    pub rejected: u64,
}

/// Statistics that the host of the engine counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostStats {
    /// Reloads of the configuration.
    pub reloads: Reloads,
    /// The connections to the journal service.
    pub journal: JournalStats,
    /// Releases towards callers.
    pub releases: ReleaseStats,
    /// Releases from exchanges under an id that no call or attempt has.
    pub unmatched_releases: u64,
    /// Releases towards exchanges that were given up before they could be sent.
    pub discarded_exchange_releases: u64,
}

/// Formats the statistics; `classes` are the names of the classes in the order of the settings.
pub fn json(stats: &Stats, host: HostStats, classes: &[String]) -> String {
    let mut out = String::from("{\"results\":{");
    for (i, (class, counts)) in classes.iter().zip(&stats.results).enumerate() {
        let comma = if i == 0 { "" } else { "," };
        // Formatting JSON can fail for numbers only, and writing to a string never fails.
        let class = JsonValue::String(class.clone()).stringify().unwrap_or_default();
        let _ = write!(
            out,
            "{comma}{class}:{{\"succeeded\":{},\"declined\":{},\"aborted\":{}}}",
            counts.succeeded, counts.declined, counts.aborted
        );
    }
    out.push('}');
    let totals = [
        ("forwards", stats.forwards),
        ("outstanding", stats.outstanding as u64),
        ("adopted", stats.adopted as u64),
        ("discovered", stats.discovered as u64),
        ("ejected", stats.ejected as u64),
        ("sighup_applied", host.reloads.applied),
        ("sighup_rejected", host.reloads.rejected),
        ("journal_event", host.journal.position),
        ("journal_dials", host.journal.dials),
        ("journal_unserved", host.journal.unserved),
        ("standing", stats.established as u64),
        ("retries", stats.retries),
        ("checks", stats.checks),
        ("adverse_observations", stats.adverse_observations),
        ("pending_releases", host.releases.pending as u64),
        ("redirected_releases", host.releases.redirected),
        ("discarded_releases", host.releases.discarded),
        ("unmatched_releases", host.unmatched_releases),
        ("earlier_releases", host.releases.earlier),
        ("discarded_exchange_releases", host.discarded_exchange_releases),
    ];
    for (name, count) in totals {
        let _ = write!(out, ",\"{name}\":{count}");
    }
    write_by_reason(&mut out, "releases", &stats.releases);
    write_by_reason(&mut out, "attempt_ends", &stats.attempt_ends);
    out.push('}');
    out
}

/// Appends an object of counts by reason. The names of the reasons need no escaping.
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
    use crate::engine::ResultCounts;

    /// Guards against statistics under names that operators' tools do not expect, and against class names
    /// that break the line or its JSON.
    #[test]
    fn statistics_are_one_line_of_json() {
        let results = vec![ResultCounts { succeeded: 8, declined: 2, aborted: 1 }; 2];
        let stats = Stats {
            results,
            forwards: 14,
            outstanding: 3,
            adopted: 6,
            discovered: 5,
            ejected: 1,
            established: 2,
            releases: BTreeMap::from([("cut", 1), ("ended", 5)]),
            attempt_ends: BTreeMap::from([("timed out", 4)]),
            retries: 3,
            checks: 6,
            adverse_observations: 2,
        };
        let classes = ["voice".to_owned(), "a \"b\"\n".to_owned()];
        let reloads = Reloads { applied: 2, rejected: 1 };
        let host = HostStats {
            reloads,
            journal: JournalStats { position: 41, dials: 3, unserved: 1 },
            releases: ReleaseStats { pending: 7, redirected: 4, discarded: 8, earlier: 5 },
            unmatched_releases: 9,
            discarded_exchange_releases: 2,
        };
        let line = json(&stats, host, &classes);
        insta::assert_snapshot!(line, @r#"{"results":{"voice":{"succeeded":8,"declined":2,"aborted":1},"a \"b\"\n":{"succeeded":8,"declined":2,"aborted":1}},"forwards":14,"outstanding":3,"adopted":6,"discovered":5,"ejected":1,"sighup_applied":2,"sighup_rejected":1,"journal_event":41,"journal_dials":3,"journal_unserved":1,"standing":2,"retries":3,"checks":6,"adverse_observations":2,"pending_releases":7,"redirected_releases":4,"discarded_releases":8,"unmatched_releases":9,"earlier_releases":5,"discarded_exchange_releases":2,"releases":{"cut":1,"ended":5},"attempt_ends":{"timed out":4}}"#);
    }
}
