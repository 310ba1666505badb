//! The memory that ended calls leave behind in the engine and the decision module, without sockets. It has a test program
//! of its own, as it measures the memory of the whole process.

mod common;

use slateshed::*;
use slateshed_node::engine::{Engine, EngineTimer};
use slateshed_node::timers::TimerQueue;
use std::time::Duration;

const CALL_COUNT: u64 = 150_000;
/// Memory that all ended calls together may keep, which is an eighth of the least limit of memory.
const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;

/// The memory that this process takes now.
fn memory_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process is running");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("the memory is listed");
    let kilobytes = line.split_whitespace().next().and_then(|n| n.parse::<usize>().ok());
    kilobytes.expect("the memory is a number") * 1024
}

/// Guards against a flood of calls to ever new numbers, given up at once, each of which is remembered until its deadline.
#[test]
fn flood_of_calls_to_new_numbers_keeps_little_memory() {
    let settings = slateshed_settings::parse_json(common::SETTINGS, 16).expect("the settings are JSON");
    let settings = slateshed_settings::parse_settings(&settings).expect("the settings are complete");
    let mut engine = Engine::new(settings, 7).expect("the settings are valid");
    let (now, mut timers) = (Duration::from_secs(1000), TimerQueue::<EngineTimer>::default());
    let before = memory_bytes();
    for n in 0..CALL_COUNT {
        let mut incoming = common::incoming_call(Duration::from_secs(9));
        incoming.dialled = DialledNumber(n);
        let call = engine.new_call(now, incoming, &mut timers);
        engine.caller_ended(now, call, &mut timers);
        while engine.next_command().is_some() {}
        while engine.next_log_event().is_some() {}
    }
    let kept = memory_bytes().saturating_sub(before);
    assert!(kept < MAX_KEPT_BYTES, "{} KB are kept", kept / 1024);
}
