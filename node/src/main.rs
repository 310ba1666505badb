//! The binary `slateshed`: runs the call controller with the configuration from the environment.

use slateshed_node::{config::Config, net};
use std::process::ExitCode;

fn main() -> ExitCode {
    match net::run(Config::from_env) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("slateshed: {message}");
            ExitCode::FAILURE
        }
    }
}
