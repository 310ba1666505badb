//! Releases while callers on several hosts are connected: each one waits for a connection from the host of its caller,
//! and no other host is sent it.

mod common;
use common::site::TestSite;
use common::*;
use std::net::Ipv4Addr;
use std::time::Duration;

const TAG: &str = "9b1f03aa5c7e2d41";
const OTHER_TAG: &str = "00000000000000aa";
const CALLER_HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const OTHER_HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
/// A caller that connects is sent the release that waits for it within this time.
const MAX_RELEASE_FORWARD_DELAY: Duration = Duration::from_millis(1050);
/// By then a release that is sent at once would have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// The daemon with one exchange and callers on two hosts, each of which has an established call.
struct HostsHarness {
    daemon: Daemon,
    exchange: LinePeer,
    caller: LinePeer,
    other: LinePeer,
    _site: TestSite,
}

impl HostsHarness {
    fn new() -> Self {
        let site = TestSite::new();
        let (mut daemon, mut exchange) = site.start_with_exchange();
        let mut caller = daemon.connect_client_from(CALLER_HOST);
        establish_call(&mut exchange, &mut caller, TAG);
        let mut other = daemon.connect_client_from(OTHER_HOST);
        establish_call(&mut exchange, &mut other, OTHER_TAG);
        HostsHarness { daemon, exchange, caller, other, _site: site }
    }

    /// Closes the connection of the call, and has the exchange release the call once the daemon has seen that.
    fn release_without_caller(&mut self) {
        self.caller.close();
        std::thread::sleep(SETTLE_TIME);
        self.exchange.send(&release(TAG));
        self.daemon.wait_for_log("call-released");
    }

    /// Checks that the caller is sent the release when it connects again.
    fn expect_release_on_return(&mut self) {
        let mut caller = self.daemon.connect_client_from(CALLER_HOST);
        let line = caller.receive_within(MAX_RELEASE_FORWARD_DELAY);
        assert!(line.as_ref().is_some_and(|l| l.contains(TAG)), "not released: {line:?}");
    }
}

fn release(tag: &str) -> String {
    format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":16}}"#)
}

/// Guards against a release that counts as sent although it went to a caller on another host, since the connection of
/// its call had closed.
#[test]
fn release_waits_for_its_caller_while_another_host_is_connected() {
    let mut harness = HostsHarness::new();
    harness.release_without_caller();
    assert!(harness.other.receives_nothing_within(SETTLE_TIME), "another host is told");
    harness.expect_release_on_return();
}

/// Guards against a release that is sent again to another host, as it was lost with the connection of its call.
#[test]
fn release_lost_with_its_connection_is_not_sent_to_another_host() {
    let mut harness = HostsHarness::new();
    harness.exchange.send(&release(TAG));
    harness.daemon.wait_for_log("call-released");
    harness.caller.close();
    assert!(harness.other.receives_nothing_within(SETTLE_TIME), "another host is told");
    harness.expect_release_on_return();
}

/// Guards against a release that is sent to another host, as the connection from its caller's host is a health check.
#[test]
fn release_sent_to_a_health_check_is_not_sent_to_another_host() {
    let mut harness = HostsHarness::new();
    harness.other.close();
    harness.release_without_caller();
    let mut health_check = harness.daemon.connect_client_from(CALLER_HOST);
    assert!(health_check.receive().contains(TAG), "the release is not sent to the new connection");
    let mut other = harness.daemon.connect_client_from(OTHER_HOST);
    establish_call(&mut harness.exchange, &mut other, "00000000000000bb");
    assert!(health_check.is_ready());
    assert!(other.receives_nothing_within(SETTLE_TIME), "another host is told");
    harness.expect_release_on_return();
}

/// Guards against a release that waits for its caller and is sent to the next caller that sends a set-up, on any host.
#[test]
fn release_that_waits_is_not_sent_to_a_set_up_of_another_host() {
    let mut harness = HostsHarness::new();
    harness.other.close();
    harness.release_without_caller();
    let mut other = harness.daemon.connect_client_from(OTHER_HOST);
    other.send_start("00000000000000bb", 3000, 1);
    assert_eq!(harness.exchange.receive_start(), "00000000000000bb");
    answer_call(&mut harness.exchange, &mut other, "00000000000000bb");
    assert!(other.receives_nothing_within(SETTLE_TIME), "another host is told");
    harness.expect_release_on_return();
}

/// Guards against a release that counts as told although the connection that it was sent on never sent a message.
#[test]
fn release_sent_on_a_silent_connection_is_sent_again_when_that_ends() {
    let mut harness = HostsHarness::new();
    harness.caller.close();
    let mut silent = harness.daemon.connect_client_from(CALLER_HOST);
    harness.exchange.send(&release(TAG));
    assert!(silent.receive().contains(TAG));
    assert_eq!(silent.receive(), "", "the silent connection is not closed");
    harness.expect_release_on_return();
    assert!(harness.other.receives_nothing_within(SETTLE_TIME), "another host is told");
}

/// Guards against a release that goes on waiting while its caller is connected, as that caller has begun with a health
/// check and then sends only what ends another call.
#[test]
fn release_that_waits_is_sent_to_its_caller_when_that_ends_a_call() {
    let mut harness = HostsHarness::new();
    establish_call(&mut harness.exchange, &mut harness.caller, "00000000000000cc");
    harness.other.close();
    harness.caller.close();
    let mut caller = harness.daemon.connect_client_from(CALLER_HOST);
    assert!(caller.is_ready());
    harness.exchange.send(&release(TAG));
    harness.daemon.wait_for_log("call-released");
    caller.send(&release("00000000000000cc"));
    let line = caller.receive_within(MAX_RELEASE_FORWARD_DELAY);
    assert!(line.as_ref().is_some_and(|l| l.contains(TAG)), "not released: {line:?}");
}
