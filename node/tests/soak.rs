//! Runs the seeded trials for a few seeds. The `slateshed-trials` program runs more seeds on request.

mod common;
use common::trials::run_trials;
use slateshed_trials::plan::Scenario;
use std::ops::RangeInclusive;

/// Together these seeds produce every kind of fault, and callers with every deadline.
const FAULT_SEEDS: RangeInclusive<u64> = 1..=12;
/// Together these seeds produce one and two replacements, and callers with every deadline.
const REPLACEMENT_SEEDS: RangeInclusive<u64> = 1..=8;

/// Together these seeds lose releases before, during and without a drain.
const LOST_RELEASE_SEEDS: RangeInclusive<u64> = 1..=12;

/// Guards, while several faults occur at the same time, against calls without an answer, releases that reach the
/// caller late or never, calls released although their exchange is alive, and graceful shutdowns that take too long.
#[test]
fn rules_hold_while_exchanges_and_the_journal_service_fail() {
    let outcomes = run_trials(Scenario::Faults, FAULT_SEEDS);
    let established: usize = outcomes.iter().map(|o| o.counts.established).sum();
    let without_release: usize = outcomes.iter().map(|o| o.counts.without_release).sum();
    assert!(
        established > 1000 && without_release > 50,
        "the trials cover too few calls: {established} established, {without_release} without a release"
    );
}

/// Guards against releases that reach the caller late or never while one or two processes are replaced.
#[test]
fn rules_hold_while_the_process_is_replaced() {
    let outcomes = run_trials(Scenario::Replacement, REPLACEMENT_SEEDS);
    let ends_reported: usize = outcomes.iter().map(|o| o.counts.ends_reported).sum();
    assert!(ends_reported > 1000, "the trials cover too few calls: {ends_reported} ends reported");
}

/// Guards against releases that are lost for good with connections that are reset, most of them in a drain.
#[test]
fn rules_hold_while_releases_are_lost_with_connections() {
    let outcomes = run_trials(Scenario::LostReleases, LOST_RELEASE_SEEDS);
    let without_release: usize = outcomes.iter().map(|o| o.counts.without_release).sum();
    assert!(without_release > 50, "the trials cover too few calls: {without_release} without a release");
}
