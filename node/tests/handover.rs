//! Tests of the replacement of a process: the ends of calls that the old process has established reach their
//! callers, whichever process the exchange and the callers are connected to.

mod common;
use common::site::TestSite;
use common::*;
use slateshed_trials::exchange::{Behavior, FaultyExchange};
use std::net::{Ipv4Addr, TcpListener};
use std::time::{Duration, Instant};

const TAG: &str = "9b1f03aa5c7e2d41";
const OTHER_TAG: &str = "00000000000000aa";
const CALLER_HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const OTHER_HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
/// By then a release that is sent at once would have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// A release is forwarded to its caller within this time.
const MAX_RELEASE_FORWARD_DELAY: Duration = Duration::from_millis(1050);

/// Two processes on one inherited socket, and one exchange.
struct Replacement {
    old_daemon: Daemon,
    new_daemon: Daemon,
    /// The connection of the old process to the exchange.
    old_exchange_connection: LinePeer,
    /// The connection of the new process to the exchange.
    new_exchange_connection: LinePeer,
    site: TestSite,
    socket: TcpListener,
}

impl Replacement {
    /// Starts both processes. `prepare` is called before the new process starts, with the old process and its
    /// connection to the exchange.
    fn start(prepare: impl FnOnce(&mut Daemon, &mut LinePeer)) -> Self {
        let (socket, _) = bind_listener();
        let unused_addr = ([127, 0, 0, 1], 1).into();
        let site = TestSite::new().with_admin_addr().with_listen_addr(unused_addr);
        let mut old_daemon = site.start_on(&socket);
        let mut old_exchange_connection = site.accept_exchange();
        prepare(&mut old_daemon, &mut old_exchange_connection);
        let mut new_daemon = site.start_on(&socket);
        assert_eq!(new_daemon.operator_request("HEALTH"), ["done"]);
        let new_exchange_connection = site.accept_exchange();
        Replacement {
            old_daemon,
            new_daemon,
            old_exchange_connection,
            new_exchange_connection,
            site,
            socket,
        }
    }

    /// Stops the old process and waits until it has handed over its calls.
    fn stop_old_daemon(&mut self) {
        self.old_daemon.send_sigterm();
        self.old_daemon.wait_for_log("handover-started");
    }
}

fn release(tag: &str) -> String {
    format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":16}}"#)
}

/// Checks that the next line of a client is the release of a call, and comes in time.
fn expect_release(client: &mut LinePeer, tag: &str, released_at: Instant) {
    let received = client.receive();
    assert!(
        received.contains("FINISH") && received.contains(tag),
        "not the release of {tag}: {received}"
    );
    let delay = released_at.elapsed();
    assert!(delay <= MAX_RELEASE_FORWARD_DELAY, "{tag} was released after {delay:?}");
}

/// Guards against releases that the old process receives and tells nobody, as its callers are connected to the
/// new one.
#[test]
fn releases_to_the_old_process_reach_callers_of_the_new_one() {
    let mut caller = None;
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client();
        establish_call(exchange, &mut client, TAG);
        establish_call(exchange, &mut client, OTHER_TAG);
        caller = Some(client);
    });
    replacement.stop_old_daemon();
    assert_eq!(caller.expect("the calls are established").receive(), "", "the connection is not closed");
    // One release comes before the caller connects to the new process, the other one after that.
    replacement.old_exchange_connection.send(&release(TAG));
    std::thread::sleep(Duration::from_millis(200));
    let connected_at = Instant::now();
    let mut client = replacement.new_daemon.connect_client();
    expect_release(&mut client, TAG, connected_at);
    let released_at = Instant::now();
    replacement.old_exchange_connection.send(&release(OTHER_TAG));
    expect_release(&mut client, OTHER_TAG, released_at);
    assert!(replacement.old_daemon.exits_successfully());
    assert!(replacement.new_daemon.operator_request("DUMP")[0].contains(r#""adopted":0"#));
}

/// Guards against releases that wait for a connection of their caller and end with the process that holds them.
#[test]
fn pending_releases_are_handed_over_to_the_new_process() {
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client();
        establish_call(exchange, &mut client, TAG);
        drop(client);
        exchange.send(&release(TAG));
        daemon.wait_for_log("release-kept");
    });
    replacement.stop_old_daemon();
    assert!(replacement.old_daemon.exits_successfully());
    let mut client = replacement.new_daemon.connect_client();
    expect_release(&mut client, TAG, Instant::now());
}

/// Guards against calls that nobody knows once the old process has ended: releases of the exchange reach the
/// callers through the new process, and releases of the callers reach the exchange.
#[test]
fn calls_of_the_old_process_are_released_by_the_new_one() {
    let exchange = FaultyExchange::start(Behavior::PROTOCOL, 1);
    let journal = StubJournal::new();
    let servers = [
        server_entry("s-own", 0, "in_service", exchange.addr),
        server_entry("s-one", 1, "in_service", exchange.addr),
    ];
    let (socket, _) = bind_listener();
    let config = with_admin_addr(&config_json(journal.addr, &servers));
    let mut old_daemon = Daemon::start_with_socket(&config, &socket);
    let mut client = old_daemon.connect_client();
    for tag in [TAG, OTHER_TAG] {
        client.send_start(tag, 3000, 1);
        assert!(client.receive().contains("STARTED"), "{tag} is not answered");
    }
    let mut new_daemon = Daemon::start_with_socket(&config, &socket);
    assert_eq!(new_daemon.operator_request("HEALTH"), ["done"]);
    old_daemon.send_sigterm();
    assert!(old_daemon.exits_successfully());
    new_daemon.wait_for_log("handover-complete");
    let mut client = new_daemon.connect_client();
    client.send_start("00000000000000bb", 3000, 1);
    assert!(client.receive().contains("STARTED"), "the call is not answered");
    let dump = new_daemon.operator_request("DUMP").remove(0);
    assert!(dump.contains(r#""outstanding":1,"adopted":2"#), "unexpected counts: {dump}");
    exchange.release(TAG);
    expect_release(&mut client, TAG, Instant::now());
    client.send(&release(OTHER_TAG));
    let is_released = || exchange.call(OTHER_TAG).is_some_and(|call| call.released_by_controller);
    let start = Instant::now();
    while !is_released() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the exchange does not receive the release");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a call that is established while the old process stops, and is not handed over.
#[test]
fn call_answered_after_sigterm_is_handed_over() {
    let mut caller = None;
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client();
        client.send_start(TAG, 3000, 1);
        assert_eq!(exchange.receive_start(), TAG);
        caller = Some(client);
    });
    let mut caller = caller.expect("the set-up is sent");
    replacement.stop_old_daemon();
    answer_call(&mut replacement.old_exchange_connection, &mut caller, TAG);
    assert_eq!(caller.receive(), "", "the connection is not closed");
    let mut client = replacement.new_daemon.connect_client();
    replacement.old_exchange_connection.send(&release(TAG));
    expect_release(&mut client, TAG, Instant::now());
    assert!(replacement.old_daemon.exits_successfully());
}

/// Guards against releases that are lost with the connections of the old process, and that the exchange repeats
/// on the next connection opened.
#[test]
fn new_process_opens_a_connection_for_repeated_releases_when_the_old_one_has_ended() {
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client();
        establish_call(exchange, &mut client, TAG);
    });
    // The old process is killed before it has read the release.
    replacement.stop_old_daemon();
    replacement.old_daemon.kill();
    let mut repeat_connection = replacement.site.accept_exchange();
    let mut client = replacement.new_daemon.connect_client();
    repeat_connection.send(&release(TAG));
    expect_release(&mut client, TAG, Instant::now());
}

/// Guards against a process that stops without a successor and ends while it holds a release for which its
/// caller has yet to connect.
#[test]
fn stopping_process_waits_for_the_caller_of_a_pending_release() {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut client = daemon.connect_client();
    establish_call(&mut exchange, &mut client, TAG);
    drop(client);
    daemon.send_sigterm();
    daemon.wait_for_log("stopping");
    exchange.send(&release(TAG));
    daemon.wait_for_log("release-kept");
    std::thread::sleep(Duration::from_millis(1500));
    let mut client = daemon.connect_client();
    expect_release(&mut client, TAG, Instant::now());
    assert!(daemon.exits_successfully());
}

/// Guards against a release that the process which is about to be replaced receives for a call of the new one, and sends
/// to every host that is connected to it, as if an earlier process had set the call up.
#[test]
fn release_of_a_call_of_the_new_process_is_not_told_to_hosts_of_the_old_one() {
    let mut other = None;
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client_from(OTHER_HOST);
        establish_call(exchange, &mut client, OTHER_TAG);
        other = Some(client);
    });
    let mut other = other.expect("the call is established");
    std::thread::sleep(SETTLE_TIME);
    // Both processes accept connections until the old one stops.
    let mut caller = replacement.old_daemon.while_paused(|| {
        let mut caller = replacement.new_daemon.connect_client_from(CALLER_HOST);
        establish_call(&mut replacement.new_exchange_connection, &mut caller, TAG);
        caller
    });
    // The exchange may send a release on any of its connections if that of the set-up has closed.
    let released_at = Instant::now();
    replacement.old_exchange_connection.send(&release(TAG));
    expect_release(&mut caller, TAG, released_at);
    assert!(other.receives_nothing_within(SETTLE_TIME), "another host is told");
}

/// Guards against the release of a call of a process that was killed which ends with the next process, as its caller has
/// not connected to that one.
#[test]
fn release_of_an_earlier_call_is_handed_over_to_the_new_process() {
    let mut other = None;
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client_from(OTHER_HOST);
        establish_call(exchange, &mut client, OTHER_TAG);
        exchange.send(&release(TAG));
        expect_release(&mut client, TAG, Instant::now());
        client.send(&format!(r#"{{"verb":"FINISHED","tag":"{TAG}","opts":{{}}}}"#));
        other = Some(client);
    });
    replacement.stop_old_daemon();
    drop(other);
    assert!(replacement.old_daemon.exits_successfully());
    replacement.new_daemon.wait_for_log("handover-complete");
    let mut other = replacement.new_daemon.connect_client_from(OTHER_HOST);
    assert!(other.receives_nothing_within(SETTLE_TIME), "the host is told again");
    let mut caller = replacement.new_daemon.connect_client_from(CALLER_HOST);
    expect_release(&mut caller, TAG, Instant::now());
}

/// Guards against a release that the new process receives for a call of the old one, and that the old one is told of only
/// when it stops.
#[test]
fn release_to_the_new_process_reaches_a_caller_of_the_old_one_that_still_serves() {
    let mut caller = None;
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client();
        establish_call(exchange, &mut client, TAG);
        caller = Some(client);
    });
    let mut caller = caller.expect("the call is established");
    std::thread::sleep(SETTLE_TIME);
    let released_at = Instant::now();
    replacement.new_exchange_connection.send(&release(TAG));
    expect_release(&mut caller, TAG, released_at);
}

/// Guards against a release that waits in the new process while its caller is connected to the old one, which still
/// serves.
#[test]
fn release_of_a_call_of_the_new_process_reaches_a_caller_connected_to_the_old_one() {
    let mut replacement = Replacement::start(|_, _| ());
    let mut caller = replacement.old_daemon.while_paused(|| {
        let mut caller = replacement.new_daemon.connect_client_from(CALLER_HOST);
        establish_call(&mut replacement.new_exchange_connection, &mut caller, TAG);
        caller
    });
    caller.close();
    std::thread::sleep(SETTLE_TIME);
    let mut caller = replacement.new_daemon.while_paused(|| {
        let mut caller = replacement.old_daemon.connect_client_from(CALLER_HOST);
        establish_call(&mut replacement.old_exchange_connection, &mut caller, OTHER_TAG);
        caller
    });
    let released_at = Instant::now();
    replacement.new_exchange_connection.send(&release(TAG));
    expect_release(&mut caller, TAG, released_at);
}

/// Guards against a release that waits in the old process, which still serves, while its caller is connected to the new
/// one.
#[test]
fn release_of_a_call_of_the_old_process_reaches_a_caller_connected_to_the_new_one() {
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client_from(CALLER_HOST);
        establish_call(exchange, &mut client, TAG);
        client.close();
    });
    std::thread::sleep(SETTLE_TIME);
    let mut caller = replacement.old_daemon.while_paused(|| {
        let mut caller = replacement.new_daemon.connect_client_from(CALLER_HOST);
        establish_call(&mut replacement.new_exchange_connection, &mut caller, OTHER_TAG);
        caller
    });
    let released_at = Instant::now();
    replacement.old_exchange_connection.send(&release(TAG));
    expect_release(&mut caller, TAG, released_at);
}

/// Guards against calls that nobody knows after the old process has crashed while both served: the releases are passed over
/// as if they were of calls that had been handed over and told.
#[test]
fn release_after_a_crash_of_the_old_process_reaches_the_caller() {
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client();
        establish_call(exchange, &mut client, TAG);
    });
    std::thread::sleep(SETTLE_TIME);
    replacement.old_daemon.kill();
    replacement.new_daemon.wait_for_log("handover-complete");
    replacement.new_exchange_connection.send(&release(TAG));
    replacement.new_daemon.wait_for_log("release-unmatched");
    let mut caller = replacement.new_daemon.connect_client();
    expect_release(&mut caller, TAG, Instant::now());
}

/// Guards against a process that goes on passing releases to one that was to replace it and has ended, and does not notice
/// the next one.
#[test]
fn process_whose_successor_has_crashed_tells_its_callers_and_follows_the_next_one() {
    let mut caller = None;
    let mut replacement = Replacement::start(|daemon, exchange| {
        let mut client = daemon.connect_client();
        establish_call(exchange, &mut client, OTHER_TAG);
        caller = Some(client);
    });
    let mut caller = caller.expect("the call is established");
    std::thread::sleep(SETTLE_TIME);
    replacement.new_daemon.kill();
    std::thread::sleep(SETTLE_TIME);
    // An earlier process has set the call up.
    let released_at = Instant::now();
    replacement.old_exchange_connection.send(&release(TAG));
    expect_release(&mut caller, TAG, released_at);
    let mut next_daemon = replacement.site.start_on(&replacement.socket);
    assert_eq!(next_daemon.operator_request("HEALTH"), ["done"]);
    let mut next_exchange_connection = replacement.site.accept_exchange();
    std::thread::sleep(SETTLE_TIME);
    let released_at = Instant::now();
    next_exchange_connection.send(&release(OTHER_TAG));
    expect_release(&mut caller, OTHER_TAG, released_at);
}
