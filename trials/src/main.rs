//! Plays the trials of a range of seeds and reports each one.

use clap::Parser;
use slateshed_trials::trial::{run, Outcome};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Plays seeded trials of the slateshed daemon: exchanges, callers and a journal service that fail.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Trials at a time.
    #[arg(long, default_value_t = 8)]
    jobs: usize,
    /// The daemon.
    #[arg(long, default_value = "target/release/slateshed")]
    program: PathBuf,
    /// Print the plan and the daemon's log of each trial in which a rule was broken.
    #[arg(long)]
    verbose: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (next, until) = (AtomicU64::new(arguments.first), arguments.first + arguments.seeds);
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= until {
                    return;
                }
                let outcome = run(seed, &arguments.program);
                report(&outcome, arguments.verbose);
                if !outcome.breaches.is_empty() {
                    broken.lock().expect("no panic").push(seed);
                }
            });
        }
    });
    let mut broken = broken.into_inner().expect("no panic");
    broken.sort_unstable();
    println!("{} passed, {} failed", arguments.seeds - broken.len() as u64, broken.len());
    if broken.is_empty() {
        return ExitCode::SUCCESS;
    }
    println!("seeds with broken rules: {broken:?}");
    ExitCode::FAILURE
}

fn report(outcome: &Outcome, verbose: bool) {
    let (plan, counts) = (&outcome.plan, outcome.counts);
    let mut text = format!(
        "seed {}: {} set-ups, {} stood, {} told, {} without a release; {} broken\n",
        plan.seed,
        counts.set_ups,
        counts.stood,
        counts.told,
        counts.lost,
        outcome.breaches.len()
    );
    for breach in outcome.breaches.iter().take(5) {
        text.push_str(&format!("  {breach}\n"));
    }
    if verbose && !outcome.breaches.is_empty() {
        text.push_str(&format!("{plan:#?}\n{}\n", outcome.log.join("\n")));
    }
    print!("{text}");
}
