//! The slateshed daemon: the decision module of the `slateshed` crate on real sockets.
//!
//! `engine` owns the life of every call and knows no wire; `net` holds the sockets, a file for each kind
//! of peer; `config` is the one place where settings come in.

pub mod arena;
pub mod config;
pub mod end;
pub mod engine;
pub mod liveness;
pub mod log;
pub mod log_events;
pub mod net;
pub mod stats;
pub mod timers;
