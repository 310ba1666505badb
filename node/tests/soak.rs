//! Runs the seeded trials for a few seeds. The `slateshed-trials` program runs more seeds on request.

use slateshed_trials::plan::Scenario;
use slateshed_trials::trial::{run, Outcome};
use std::ops::RangeInclusive;
use std::path::Path;

/// Together these seeds produce every kind of fault, and callers with every deadline.
const FAULT_SEEDS: RangeInclusive<u64> = 1..=12;
/// Together these seeds produce one and two replacements, and callers with every deadline.
const REPLACEMENT_SEEDS: RangeInclusive<u64> = 1..=8;

/// Together these seeds lose releases before, during and without a drain.
const LOST_RELEASE_SEEDS: RangeInclusive<u64> = 1..=12;

/// Together these seeds have callers on two to four hosts, and one and two replacements.
const HOSTS_SEEDS: RangeInclusive<u64> = 1..=8;

/// Runs the trials of a scenario side by side, and checks that no rule is broken.
fn run_trials(scenario: Scenario, seeds: RangeInclusive<u64>) -> Vec<Outcome> {
    let program = Path::new(env!("CARGO_BIN_EXE_slateshed"));
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let trials: Vec<_> =
            seeds.map(|seed| scope.spawn(move || run(scenario, seed, program))).collect();
        trials.into_iter().map(|t| t.join().expect("the trial does not panic")).collect()
    });
    let failed: Vec<_> = outcomes.iter().filter(|o| !o.violations.is_empty()).collect();
    for outcome in &failed {
        eprintln!("seed {}: {:#?}\n{}", outcome.plan.seed, outcome.plan, outcome.log.join("\n"));
        outcome
            .violations
            .iter()
            .for_each(|violation| eprintln!("seed {}: {violation}", outcome.plan.seed));
    }
    assert!(failed.is_empty(), "{} of {} seeds broke a rule", failed.len(), outcomes.len());
    outcomes
}

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

/// Guards against releases that another host is told, or that a caller is told late or never, while callers leave and
/// return and the process is replaced.
#[test]
fn rules_hold_while_callers_leave_and_the_process_is_replaced() {
    let outcomes = run_trials(Scenario::Hosts, HOSTS_SEEDS);
    let ends_reported: usize = outcomes.iter().map(|o| o.counts.ends_reported).sum();
    assert!(ends_reported > 500, "the trials cover too few calls: {ends_reported} ends reported");
}
