//! Failure detection for exchanges that become silent. Calls at an exchange that is alive are kept. Calls at an
//! exchange that is dead are released to their callers within eight seconds, with or without further set-ups to it.

mod common;
use common::*;
use slateshed_trials::caller::Caller;
use slateshed_trials::exchange::{Behavior, FaultyExchange, IdlePolicy};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// If the exchange can't send a release, the daemon sends one to the caller within this time after the end of the call.
const MAX_END_REPORT_DELAY: Duration = Duration::from_millis(8050);
/// The daemon forwards a release of the exchange to the caller within this time.
const MAX_RELEASE_FORWARD_DELAY: Duration = Duration::from_millis(1050);
const TAG: &str = "9b1f03aa5c7e2d41";

/// The daemon with one exchange that can fail, and no journal service.
struct LivenessHarness {
    daemon: Daemon,
    exchange: FaultyExchange,
    caller: Caller,
    next_tag: u64,
}

impl LivenessHarness {
    fn new(behavior: Behavior, has_four_connections: bool) -> Self {
        let exchange = FaultyExchange::start(behavior, 1);
        // The listener is closed again at once, so the journal service is down from the start.
        let journal =
            TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port is bound");
        let own_entry = server_entry("s-own", 0, "in_service", exchange.addr);
        let config =
            config_json(journal, &[own_entry, server_entry("s-one", 1, "in_service", exchange.addr)]);
        let config = if has_four_connections { with_four_connections(&config) } else { config };
        let mut daemon = Daemon::start(&with_admin_addr(&config), None);
        let daemon_addr = daemon
            .wait_for_log("n0 started: listening on ")
            .parse()
            .expect("the logged address is valid");
        let caller = Caller::connect(daemon_addr).expect("the daemon listens");
        LivenessHarness { daemon, exchange, caller, next_tag: 0xa000 }
    }

    fn next_unused_tag(&mut self) -> String {
        self.next_tag += 1;
        format!("{:016x}", self.next_tag)
    }

    /// Establishes `count` calls at the exchange. Returns their tags, of which the first is [`TAG`].
    fn establish_calls(&mut self, count: usize) -> Vec<String> {
        let mut tags = vec![TAG.to_owned()];
        tags.extend((1..count).map(|_| self.next_unused_tag()));
        for tag in &tags {
            assert!(self.caller.set_up(tag, Duration::from_secs(9), 1));
            assert!(self.caller.wait_established(tag, WAIT_TIMEOUT), "{tag} is not answered");
        }
        tags
    }

    /// Waits for a time. If there is an interval, sends one set-up to the exchange in each interval meanwhile.
    fn run_for(&mut self, duration: Duration, set_up_interval: Option<Duration>) {
        let end = Instant::now() + duration;
        while let Some(time_left) = end.checked_duration_since(Instant::now()) {
            std::thread::sleep(set_up_interval.unwrap_or(time_left).min(time_left));
            if set_up_interval.is_some() {
                let tag = self.next_unused_tag();
                self.caller.set_up(&tag, Duration::from_secs(2), 1);
            }
        }
    }

    /// Checks that the caller receives the releases of calls that ended at a given time within the allowed delay.
    fn expect_released(&self, tags: &[String], ended_at: Instant) {
        for tag in tags {
            let time_left =
                MAX_END_REPORT_DELAY.saturating_sub(ended_at.elapsed()) + Duration::from_secs(1);
            let released_at = self.caller.wait_end_reported(tag, time_left);
            let delay = released_at.map(|at| at.saturating_duration_since(ended_at));
            eprintln!("{tag} released after {delay:?}");
            assert!(delay.is_some_and(|d| d <= MAX_END_REPORT_DELAY), "{tag} released after {delay:?}");
        }
    }

    /// Checks that calls are still established, and that their releases are forwarded once the exchange ends them.
    fn expect_kept_then_released(&self, tags: &[String]) {
        for tag in tags {
            assert_eq!(self.caller.end_reported_at(tag), None, "{tag} was released");
            self.exchange.release(tag);
            let ended_at = Instant::now();
            let received_at =
                self.caller.wait_end_reported(tag, WAIT_TIMEOUT).expect("the release is forwarded");
            // The exchange can send the release only once it has a connection that it serves.
            let sent_at = self
                .exchange
                .call(tag)
                .and_then(|c| c.released_at)
                .expect("the exchange sent the release");
            let delay = received_at.saturating_duration_since(sent_at);
            assert!(
                delay < MAX_RELEASE_FORWARD_DELAY && received_at < ended_at + MAX_END_REPORT_DELAY,
                "{tag} released after {delay:?}"
            );
        }
    }
}

/// Guards against calls that stay established at an exchange whose host fails without a reset. `set_up_interval`:
/// how often a new set-up is sent to it, if at all.
fn check_failed_host(call_count: usize, has_four_connections: bool, set_up_interval: Option<Duration>) {
    let mut harness = LivenessHarness::new(Behavior::PROTOCOL, has_four_connections);
    let tags = harness.establish_calls(call_count);
    harness.exchange.lose_host();
    let ended_at = Instant::now();
    harness.run_for(MAX_END_REPORT_DELAY, set_up_interval);
    harness.expect_released(&tags, ended_at);
}

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn call_at_a_failed_host_is_released_without_new_set_ups() {
    check_failed_host(1, true, None);
}

#[test]
fn thirteen_calls_at_a_failed_host_are_released_without_new_set_ups() {
    check_failed_host(13, true, None);
}

#[test]
fn call_on_the_only_connection_to_a_failed_host_is_released() {
    check_failed_host(1, false, None);
}

#[test]
fn calls_at_a_failed_host_are_released_during_frequent_set_ups() {
    check_failed_host(13, true, Some(MS(200)));
}

#[test]
fn call_at_a_failed_host_is_released_during_rare_set_ups() {
    check_failed_host(1, true, Some(MS(3500)));
}

/// Guards against calls that stay established because a new process answers at the address of the failed host:
/// it knows nothing of them.
fn check_replaced_exchange(
    replaced_after_ms: u64,
    has_four_connections: bool,
    set_up_interval: Option<Duration>,
) {
    let mut harness = LivenessHarness::new(Behavior::PROTOCOL, has_four_connections);
    let tags = harness.establish_calls(3);
    harness.exchange.lose_host();
    let ended_at = Instant::now();
    harness.run_for(MS(replaced_after_ms), set_up_interval);
    harness.exchange.replace_host();
    harness.run_for(MAX_END_REPORT_DELAY.saturating_sub(ended_at.elapsed()), set_up_interval);
    harness.expect_released(&tags, ended_at);
    let new_tag = harness.next_unused_tag();
    assert!(harness.caller.set_up(&new_tag, Duration::from_secs(9), 1));
    assert!(
        harness.caller.wait_established(&new_tag, WAIT_TIMEOUT),
        "a set-up to the new process is not answered"
    );
}

#[test]
fn calls_are_released_when_the_exchange_is_replaced_after_3_s_with_set_ups() {
    check_replaced_exchange(3000, true, Some(MS(200)));
}

#[test]
fn calls_are_released_when_the_exchange_is_replaced_after_6_s_with_set_ups() {
    check_replaced_exchange(6000, true, Some(MS(200)));
}

#[test]
fn calls_are_released_when_the_exchange_is_replaced_after_5_s_without_set_ups() {
    check_replaced_exchange(5000, true, None);
}

#[test]
fn calls_are_released_when_the_exchange_is_replaced_after_5_s_on_one_connection() {
    check_replaced_exchange(5000, false, None);
}

#[test]
fn calls_are_released_when_the_exchange_is_replaced_after_1_s_with_set_ups() {
    check_replaced_exchange(1000, true, Some(MS(200)));
}

/// Guards against calls that stay established when the exchange process dies and another listens at once, so that no
/// connection is refused in between.
#[test]
fn calls_are_released_when_the_exchange_crashes_and_restarts_at_once() {
    let mut harness = LivenessHarness::new(Behavior::PROTOCOL, true);
    let tags = harness.establish_calls(3);
    harness.exchange.crash();
    harness.exchange.restart();
    let ended_at = Instant::now();
    harness.run_for(MAX_END_REPORT_DELAY, None);
    harness.expect_released(&tags, ended_at);
}

/// Guards against a call that stays established because it ends while its exchange hangs for good: a hung process can't
/// send the release.
#[test]
fn call_that_ends_at_a_hung_exchange_is_released() {
    let mut harness = LivenessHarness::new(Behavior::PROTOCOL, true);
    let tags = harness.establish_calls(2);
    harness.exchange.hang();
    let ended_at = Instant::now();
    harness.exchange.release(TAG);
    harness.run_for(MAX_END_REPORT_DELAY, None);
    harness.expect_released(&tags[..1], ended_at);
}

/// Guards against releasing calls at an exchange that is alive and sends nothing because nothing happens there.
fn check_silent_live_exchange(behavior: Behavior, has_four_connections: bool) {
    let mut harness = LivenessHarness::new(behavior, has_four_connections);
    let tags = harness.establish_calls(2);
    harness.run_for(MS(16_000), None);
    harness.expect_kept_then_released(&tags);
}

#[test]
fn calls_at_a_silent_live_exchange_are_kept() {
    check_silent_live_exchange(Behavior::PROTOCOL, true);
}

#[test]
fn calls_at_a_silent_live_exchange_are_kept_on_one_connection() {
    check_silent_live_exchange(Behavior::PROTOCOL, false);
}

#[test]
fn calls_at_a_live_exchange_that_sends_no_reports_are_kept() {
    check_silent_live_exchange(
        Behavior { reports_on_connect: false, reports_changes: false, ..Behavior::PROTOCOL },
        true,
    );
}

#[test]
fn calls_at_a_live_exchange_that_never_closes_connections_are_kept() {
    let behavior = Behavior {
        reports_on_connect: false,
        reports_changes: false,
        closes_in_response: false,
        releases_on_closed: true,
        ..Behavior::PROTOCOL
    };
    check_silent_live_exchange(behavior, true);
}

/// Guards against releasing calls at an exchange that hangs, or is unreachable, for some time and then continues.
fn check_stalled_exchange(stall_ms: u64, has_four_connections: bool, is_unreachable: bool) {
    let mut harness = LivenessHarness::new(Behavior::PROTOCOL, has_four_connections);
    let tags = harness.establish_calls(2);
    if is_unreachable {
        harness.exchange.partition();
    } else {
        harness.exchange.hang();
    }
    harness.run_for(MS(stall_ms), None);
    harness.exchange.recover();
    harness.run_for(MS(10_000), None);
    harness.expect_kept_then_released(&tags);
}

#[test]
fn calls_are_kept_when_the_exchange_hangs_for_2_s() {
    check_stalled_exchange(2000, true, false);
}

#[test]
fn calls_are_kept_when_the_exchange_hangs_for_4_s() {
    check_stalled_exchange(4000, false, false);
}

#[test]
fn calls_are_kept_when_the_exchange_is_unreachable_for_2_s() {
    check_stalled_exchange(2000, false, true);
}

#[test]
fn calls_are_kept_when_the_exchange_is_unreachable_for_4_s() {
    check_stalled_exchange(4000, true, true);
}

/// Guards against releasing calls because the connections are reset, several times in a row, while the process goes on.
#[test]
fn calls_are_kept_when_the_connections_are_reset_repeatedly() {
    let mut harness = LivenessHarness::new(Behavior::PROTOCOL, false);
    let tags = harness.establish_calls(2);
    for _ in 0..3 {
        harness.exchange.reset_connections();
        harness.run_for(MS(3000), None);
    }
    harness.expect_kept_then_released(&tags);
}

/// Guards against calls without a release when the daemon shuts down gracefully while their exchange is silent: the
/// daemon exits before it would detect the failure, and nothing else can release the calls later.
fn check_graceful_shutdown(is_hung: bool) {
    let mut harness = LivenessHarness::new(Behavior::PROTOCOL, true);
    let tags = harness.establish_calls(3);
    if is_hung {
        harness.exchange.hang();
    } else {
        harness.exchange.lose_host();
    }
    harness.run_for(MS(3000), None);
    harness.daemon.send_sigterm();
    // The platform kills the process 0.7 s after the longest deadline, of which at most three seconds count.
    let killed_at = Instant::now() + MS(3700);
    assert!(harness.daemon.exits_successfully() && Instant::now() < killed_at);
    for tag in &tags {
        assert!(
            harness.caller.end_reported_at(tag).is_some_and(|at| at < killed_at),
            "{tag} was not released in time"
        );
    }
}

#[test]
fn graceful_shutdown_releases_calls_at_a_failed_host() {
    check_graceful_shutdown(false);
}

#[test]
fn graceful_shutdown_releases_calls_at_a_hung_exchange() {
    check_graceful_shutdown(true);
}

/// Guards against releasing calls at an exchange that leaves idle connections open without serving them, and sends only
/// on newer ones.
#[test]
fn calls_are_kept_when_the_exchange_stops_serving_idle_connections() {
    let idle = Some((MS(3000), IdlePolicy::StopServing));
    check_silent_live_exchange(Behavior { idle, ..Behavior::PROTOCOL }, true);
}

#[test]
fn calls_are_kept_when_the_exchange_closes_idle_connections() {
    let idle = Some((MS(1500), IdlePolicy::Close));
    check_silent_live_exchange(Behavior { idle, ..Behavior::PROTOCOL }, true);
}

#[test]
fn calls_are_kept_when_the_exchange_resets_idle_connections() {
    let idle = Some((MS(3000), IdlePolicy::Reset));
    check_silent_live_exchange(Behavior { idle, ..Behavior::PROTOCOL }, true);
}

/// Guards against closing the only connection that an exchange serves: it accepts further ones and never serves them.
#[test]
fn calls_are_kept_when_the_exchange_serves_only_its_first_connection() {
    let no_reports =
        Behavior { reports_on_connect: false, reports_changes: false, ..Behavior::PROTOCOL };
    let mut harness = LivenessHarness::new(no_reports, false);
    let tags = harness.establish_calls(2);
    harness.exchange.set_behavior(Behavior { unserved_connection_percent: 100, ..no_reports });
    harness.run_for(MS(16_000), None);
    harness.expect_kept_then_released(&tags);
}

/// Guards against calls that are not released soon after the exchange process dies for good: its connections are reset
/// and new ones refused, which proves that it is down.
#[test]
fn calls_are_released_soon_after_the_exchange_crashes() {
    for has_four_connections in [true, false] {
        let mut harness = LivenessHarness::new(Behavior::PROTOCOL, has_four_connections);
        let tags = harness.establish_calls(3);
        harness.exchange.crash();
        let crashed_at = Instant::now();
        for tag in &tags {
            let released_at = harness.caller.wait_end_reported(tag, MAX_RELEASE_FORWARD_DELAY);
            assert!(
                released_at.is_some(),
                "{tag} not released {:?} after the crash",
                crashed_at.elapsed()
            );
        }
    }
}
