//! Runs the seeded trials for a few seeds. The `slateshed-trials` program runs more seeds on request.

use slateshed_trials::trial::run;
use std::path::Path;

/// Together these seeds produce every kind of fault, and callers with every deadline.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;

/// Guards, while several faults occur at the same time, against calls without an answer, releases that reach the
/// caller late or never, calls released although their exchange is alive, and graceful shutdowns that take too long.
#[test]
fn rules_hold_while_exchanges_and_the_journal_service_fail() {
    let program = Path::new(env!("CARGO_BIN_EXE_slateshed"));
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let trials: Vec<_> = SEEDS.map(|seed| scope.spawn(move || run(seed, program))).collect();
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
    let established: usize = outcomes.iter().map(|o| o.counts.established).sum();
    let without_release: usize = outcomes.iter().map(|o| o.counts.without_release).sum();
    assert!(
        established > 1000 && without_release > 50,
        "the trials cover too few calls: {established} established, {without_release} without a release"
    );
}
