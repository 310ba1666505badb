//! The cases of the review. Each starts the call controller with the `run` command of the deploy file and plays
//! clients, exchanges and the journal service around it on loopback sockets. What was sent, answered and run is written
//! to standard output. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod parts;

use std::process::ExitCode;

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    std::panic::set_hook(Box::new(|panic| println!("the case couldn't run: {panic}")));
    let outcome = std::panic::catch_unwind(|| cases::play(&name, trouble));
    match outcome {
        Ok(Some(true)) => ExitCode::SUCCESS,
        Ok(Some(false)) => ExitCode::from(1),
        Ok(None) | Err(_) => ExitCode::from(2),
    }
}
