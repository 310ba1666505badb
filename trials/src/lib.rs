//! Fault-injection trials of the daemon. Each trial runs the daemon as a process on loopback against exchanges, callers
//! and a journal service that fail as real ones do, injects the faults of a plan that is drawn from a seed, and checks
//! rules that have to hold under every plan.

pub mod caller;
pub mod daemon;
pub mod exchange;
pub mod journal;
pub mod load;
pub mod plan;
pub mod rules;
pub mod trial;
