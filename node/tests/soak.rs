//! The trials of a few seeds; `slateshed-trials` plays more of them by hand.

use slateshed_trials::trial::run;
use std::path::Path;

/// The seeds: together they draw every kind of fault, and callers with every deadline.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;

/// Guards against calls without an answer, ends of calls that are told late or never, calls cut at exchanges that live, and
/// planned stops that don't end in time, under faults that come together.
#[test]
fn the_rules_hold_while_exchanges_and_the_journal_service_fail() {
    let program = Path::new(env!("CARGO_BIN_EXE_slateshed"));
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let trials: Vec<_> = SEEDS.map(|seed| scope.spawn(move || run(seed, program))).collect();
        trials.into_iter().map(|t| t.join().expect("no panic")).collect()
    });
    let broken: Vec<_> = outcomes.iter().filter(|o| !o.breaches.is_empty()).collect();
    for outcome in &broken {
        eprintln!("seed {}: {:#?}\n{}", outcome.plan.seed, outcome.plan, outcome.log.join("\n"));
        outcome.breaches.iter().for_each(|breach| eprintln!("seed {}: {breach}", outcome.plan.seed));
    }
    assert!(broken.is_empty(), "{} of {} seeds", broken.len(), outcomes.len());
    let stood: usize = outcomes.iter().map(|o| o.counts.stood).sum();
    let lost: usize = outcomes.iter().map(|o| o.counts.lost).sum();
    assert!(stood > 1000 && lost > 50, "nothing was tried: {stood} stood, {lost} without a release");
}
