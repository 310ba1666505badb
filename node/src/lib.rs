//! The slateshed daemon: runs the decision module of the `slateshed` crate on real sockets.
//!
//! `engine` tracks every call, independent of any protocol; `net` owns the sockets, with one module for each
//! kind of peer; `config` reads all settings.

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
