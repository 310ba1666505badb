//! Runs the trials of a range of seeds and prints a report of each one.

use clap::Parser;
use slateshed_trials::plan::Scenario;
use slateshed_trials::trial::{run, Outcome};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Runs seeded trials of the slateshed daemon against exchanges, callers and a journal service that fail.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// What the trials exercise.
    #[arg(long, value_enum, default_value_t)]
    scenario: Scenario,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// The number of seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// The number of trials that run at the same time.
    #[arg(long, default_value_t = 8)]
    jobs: usize,
    /// The path of the daemon's executable.
    #[arg(long, default_value = "target/release/slateshed")]
    program: PathBuf,
    /// Print the fault plan and the daemon's log of each trial that violates a rule.
    #[arg(long)]
    verbose: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (next_seed, end_seed) = (AtomicU64::new(arguments.first), arguments.first + arguments.seeds);
    let failed_seeds = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= end_seed {
                    return;
                }
                let outcome = run(arguments.scenario, seed, &arguments.program);
                report(&outcome, arguments.verbose);
                if !outcome.violations.is_empty() {
                    failed_seeds.lock().expect("no thread panicked while holding the lock").push(seed);
                }
            });
        }
    });
    let mut failed_seeds = failed_seeds.into_inner().expect("no thread panicked while holding the lock");
    failed_seeds.sort_unstable();
    println!("{} passed, {} failed", arguments.seeds - failed_seeds.len() as u64, failed_seeds.len());
    if failed_seeds.is_empty() {
        return ExitCode::SUCCESS;
    }
    println!("seeds with broken rules: {failed_seeds:?}");
    ExitCode::FAILURE
}

fn report(outcome: &Outcome, verbose: bool) {
    let (plan, counts) = (&outcome.plan, outcome.counts);
    let mut text = format!(
        "seed {}: {} set-ups, {} stood, {} told, {} without a release; {} broken\n",
        plan.seed,
        counts.set_ups,
        counts.established,
        counts.ends_reported,
        counts.without_release,
        outcome.violations.len()
    );
    for violation in outcome.violations.iter().take(5) {
        text.push_str(&format!("  {violation}\n"));
    }
    if verbose && !outcome.violations.is_empty() {
        text.push_str(&format!("{plan:#?}\n{}\n", outcome.log.join("\n")));
    }
    print!("{text}");
}
