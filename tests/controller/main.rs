//! Tests of the decision module through its public interface, without benchmark runs.

mod common;
mod failures;
mod invariants;
mod limits;
mod rules;
