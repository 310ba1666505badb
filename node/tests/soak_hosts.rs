//! Runs the seeded trials with callers on several hosts for a few seeds. They are apart from the other soak tests, whose
//! trials would run at the same time.

mod common;
use common::trials::run_trials;
use slateshed_trials::plan::Scenario;
use std::ops::RangeInclusive;

/// Together these seeds have callers on two to four hosts, and one and two replacements.
const HOSTS_SEEDS: RangeInclusive<u64> = 1..=8;

/// Guards against releases that another host is told, or that a caller is told late or never, while callers leave and
/// return and the process is replaced.
#[test]
fn rules_hold_while_callers_leave_and_the_process_is_replaced() {
    let outcomes = run_trials(Scenario::Hosts, HOSTS_SEEDS);
    let ends_reported: usize = outcomes.iter().map(|o| o.counts.ends_reported).sum();
    assert!(ends_reported > 500, "the trials cover too few calls: {ends_reported} ends reported");
}
