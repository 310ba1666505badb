//! Trials of the daemon as a process on loopback: exchanges, callers and a journal service that fail as real ones do, a
//! seeded plan of their failures, and the rules that have to hold whatever the plan.

pub mod caller;
pub mod daemon;
pub mod exchange;
pub mod journal;
pub mod load;
pub mod plan;
pub mod rules;
pub mod trial;
