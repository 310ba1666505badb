//! Releases of callers whose connections are closed while health checks from the same host are connected.

mod common;
use common::site::TestSite;
use common::*;
use std::time::{Duration, Instant};

const TAG: &str = "9b1f03aa5c7e2d41";
const RELEASE: &str = r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":16}"#;
/// A caller that connects is sent the release that waits for it within this time.
const MAX_RELEASE_FORWARD_DELAY: Duration = Duration::from_millis(1050);

/// Starts the daemon with one exchange, establishes a call there, and closes the caller's connection.
fn start_with_call_of_closed_caller() -> (Daemon, LinePeer, TestSite) {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut caller = daemon.connect_client();
    establish_call(&mut exchange, &mut caller, TAG);
    (daemon, exchange, site)
}

/// Checks that a new caller is sent the release, before or after the answer to its set-up.
fn expect_release_to_new_caller(daemon: &mut Daemon, exchange: &mut LinePeer) {
    let mut caller = daemon.connect_client();
    let started_at = Instant::now();
    caller.send_start("00000000000000aa", 3000, 1);
    assert_eq!(exchange.receive_start(), "00000000000000aa");
    while !caller.receive_within(MAX_RELEASE_FORWARD_DELAY).is_some_and(|line| line.contains(TAG)) {
        assert!(started_at.elapsed() <= MAX_RELEASE_FORWARD_DELAY, "the call is not released");
    }
}

/// Guards against a release that counts as sent because a health check connected before the caller did.
#[test]
fn release_sent_to_a_health_check_is_sent_again_to_the_caller() {
    let (mut daemon, mut exchange, _site) = start_with_call_of_closed_caller();
    exchange.send(RELEASE);
    daemon.wait_for_log("release-kept");
    let mut health_check = daemon.connect_client();
    health_check.send(r#"{"verb":"ECHO","tag":"e","opts":{},"rc":0}"#);
    while !health_check.receive().contains("ECHOED") {}
    expect_release_to_new_caller(&mut daemon, &mut exchange);
}

/// Guards against a release that is sent to a health check, as no other connection from the caller's host is open.
#[test]
fn release_waits_for_the_caller_while_only_a_health_check_is_connected() {
    let (mut daemon, mut exchange, _site) = start_with_call_of_closed_caller();
    let mut health_check = daemon.connect_client();
    assert!(health_check.is_ready());
    exchange.send(RELEASE);
    daemon.wait_for_log("call-released");
    expect_release_to_new_caller(&mut daemon, &mut exchange);
}

/// Guards against a release that was queued for another connection, as its own one has closed, and is written only when
/// something else happens.
#[test]
fn release_that_is_sent_again_is_written_at_once() {
    const MAX_DELAY: Duration = Duration::from_millis(400);
    let site = TestSite::new();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let (mut caller, mut other) = (daemon.connect_client(), daemon.connect_client());
    establish_call(&mut exchange, &mut other, "00000000000000aa");
    establish_call(&mut exchange, &mut caller, TAG);
    exchange.send(RELEASE);
    daemon.wait_for_log("call-released");
    drop(caller);
    let closed_at = Instant::now();
    assert!(other.receive().contains(TAG), "the release is not sent again");
    assert!(closed_at.elapsed() < MAX_DELAY, "sent again after {:?}", closed_at.elapsed());
}
