//! Runs seeded trials as a test.

use slateshed_trials::plan::Scenario;
use slateshed_trials::trial::{run, Outcome};
use std::ops::RangeInclusive;
use std::path::Path;

/// Runs the trials of a scenario side by side, and checks that no rule is broken.
pub fn run_trials(scenario: Scenario, seeds: RangeInclusive<u64>) -> Vec<Outcome> {
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
