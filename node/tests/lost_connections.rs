//! Releases that an exchange has sent on a connection and that are lost with it. The exchange repeats them on the next
//! connection that is opened, so the daemon has to open one whenever calls are established.

mod common;
use common::*;
use slateshed_trials::exchange::{Behavior, FaultyExchange};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// A release that was lost reaches the caller within this time after the end of the call.
const MAX_END_REPORT_DELAY: Duration = Duration::from_millis(8050);
/// Number of calls that are established before releases are lost.
const CALL_COUNT: usize = 24;
/// The exchange ends another call in each interval, so that it is never silent and no check renews its connections.
const CALL_END_INTERVAL: Duration = Duration::from_millis(300);
/// By then the daemon has learned, by renewing one connection, what the exchange does with closed connections.
const FIRST_CHECK_TIME: Duration = Duration::from_millis(900);
/// Number of connections that the daemon opens to an exchange that is in service.
const CONNECTION_COUNT: u64 = 4;

/// The daemon with one exchange and established calls, and the stream of the journal service.
struct LossHarness {
    daemon: Daemon,
    exchange: FaultyExchange,
    client: LinePeer,
    journal: LinePeer,
    tags: Vec<String>,
}

impl LossHarness {
    /// Establishes calls at an exchange with this behavior.
    fn new(behavior: Behavior) -> Self {
        let exchange = FaultyExchange::start(behavior, 1);
        let journal = StubJournal::new();
        let servers = ["s-own", "s-one"].iter().zip(0..);
        let servers: Vec<_> =
            servers.map(|(id, cell)| server_entry(id, cell, "in_service", exchange.addr)).collect();
        let config = with_four_connections(&config_json(journal.addr, &servers));
        let mut daemon = Daemon::start(&config, None);
        let journal = journal.accept();
        let mut client = daemon.connect_client();
        wait_until("the connections are open", || exchange.accepted_count() >= CONNECTION_COUNT);
        let tags: Vec<_> = (0..CALL_COUNT).map(|n| format!("{:016x}", 0xa000 + n)).collect();
        tags.iter().for_each(|tag| client.send_start(tag, 3000, 1));
        for _ in &tags {
            assert!(client.receive().contains("STARTED"), "a call is not answered");
        }
        std::thread::sleep(FIRST_CHECK_TIME);
        LossHarness { daemon, exchange, client, journal, tags }
    }

    /// The list announces that the exchange drains, and the daemon applies it.
    fn drain(&mut self) {
        let addr = self.exchange.addr;
        self.journal.send(&journal_event(2, false, &[server_entry("s-one", 1, "terminating", addr)]));
        self.daemon.wait_for_log("to=Draining");
    }

    /// Loses up to two releases with a connection.
    fn lose_releases(&self) -> Instant {
        self.exchange.lose_releases(2);
        Instant::now()
    }

    /// Checks that the caller is sent the release of each call that has ended at the exchange.
    fn expect_ended_calls_released(&mut self, lost_at: Instant) {
        let has_ended = |tag: &&String| self.exchange.call(tag).is_some_and(|c| c.ended_at.is_some());
        let mut ended: Vec<_> = self.tags.iter().filter(has_ended).cloned().collect();
        assert!(!ended.is_empty(), "no call has ended");
        let mut others =
            self.tags.iter().filter(|tag| !ended.contains(tag)).cloned().collect::<Vec<_>>();
        let mut next_end = Instant::now();
        while !ended.is_empty() {
            assert!(lost_at.elapsed() <= MAX_END_REPORT_DELAY, "not released: {ended:?}");
            if Instant::now() >= next_end {
                next_end += CALL_END_INTERVAL;
                others.pop().iter().for_each(|tag| self.exchange.release(tag));
            }
            let time_left = next_end.saturating_duration_since(Instant::now());
            let received = self.client.receive_within(time_left.max(Duration::from_millis(1)));
            ended.retain(|tag| !received.as_ref().is_some_and(|line| line.contains(tag.as_str())));
        }
    }
}

fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_true() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "not within the time limit: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against releases that are lost for good with one of several connections to an exchange that drains.
#[test]
fn release_lost_with_a_connection_of_a_draining_exchange_is_repeated() {
    let mut harness = LossHarness::new(Behavior::PROTOCOL);
    harness.drain();
    let lost_at = harness.lose_releases();
    harness.expect_ended_calls_released(lost_at);
}

/// Guards against a repetition that is lost for good with the connection that was opened for it, and against
/// only the first lost connection being replaced.
#[test]
fn releases_lost_with_several_connections_of_a_draining_exchange_are_repeated() {
    let mut harness = LossHarness::new(Behavior::PROTOCOL);
    harness.drain();
    let lost_at = harness.lose_releases();
    std::thread::sleep(Duration::from_millis(20));
    harness.lose_releases();
    harness.expect_ended_calls_released(lost_at);
}

/// Guards against releases that are lost for good because the exchange begins to drain while their connection is being
/// replaced.
#[test]
fn releases_lost_just_before_the_drain_are_repeated() {
    let mut harness = LossHarness::new(Behavior::PROTOCOL);
    let addr = harness.exchange.addr;
    let event = journal_event(2, false, &[server_entry("s-one", 1, "terminating", addr)]);
    let lost_at = harness.lose_releases();
    harness.journal.send(&event);
    harness.expect_ended_calls_released(lost_at);
}

/// Guards against a connection opened for repetitions that no process serves and that is waited for in vain.
#[test]
fn another_connection_is_opened_if_nothing_is_received_on_the_one_for_repetitions() {
    let mut harness = LossHarness::new(Behavior::PROTOCOL);
    harness.drain();
    harness.exchange.set_behavior(Behavior { unserved_connection_percent: 100, ..Behavior::PROTOCOL });
    let accepted_before = harness.exchange.accepted_count();
    let lost_at = harness.lose_releases();
    let exchange = &harness.exchange;
    wait_until("a connection is opened", || exchange.accepted_count() > accepted_before);
    assert!(lost_at.elapsed() < Duration::from_secs(1), "only a check has opened a connection");
    harness.exchange.set_behavior(Behavior::PROTOCOL);
    harness.expect_ended_calls_released(lost_at);
}

/// Accepts the daemon's connections and reads the set-up of a call on one of them. Returns that connection and the
/// others.
fn accept_set_up(listener: &TcpListener) -> (LinePeer, Vec<LinePeer>) {
    let mut connections: Vec<_> = (0..CONNECTION_COUNT).map(|_| LinePeer::accept(listener)).collect();
    let start = Instant::now();
    loop {
        for i in 0..connections.len() {
            if connections[i]
                .receive_within(Duration::from_millis(20))
                .is_some_and(|l| l.contains("START"))
            {
                return (connections.swap_remove(i), connections);
            }
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "no set-up is received");
    }
}

/// Guards against a message that breaks off with its connection in a drain, and takes the releases after it along.
#[test]
fn connection_closed_in_the_middle_of_a_release_is_replaced_in_a_drain() {
    const TAG: &str = "9b1f03aa5c7e2d41";
    let (listener, addr): (TcpListener, SocketAddr) = bind_listener();
    let journal = StubJournal::new();
    let servers =
        [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)];
    let config = with_four_connections(&config_json(journal.addr, &servers));
    let mut daemon = Daemon::start(&config, None);
    let mut journal = journal.accept();
    let mut client = daemon.connect_client();
    client.send_start(TAG, 3000, 1);
    let (mut connection, mut others) = accept_set_up(&listener);
    answer_call(&mut connection, &mut client, TAG);
    std::thread::sleep(FIRST_CHECK_TIME);
    others.push(LinePeer::accept(&listener));
    journal.send(&journal_event(2, false, &[server_entry("s-one", 1, "terminating", addr)]));
    daemon.wait_for_log("to=Draining");
    connection.send_bytes(format!(r#"{{"verb":"FINISH","tag":"{TAG}","#).as_bytes());
    drop(connection);
    let closed_at = Instant::now();
    let mut repeat_connection = loop {
        if let Some(connection) = LinePeer::accept_within(&listener, CALL_END_INTERVAL) {
            break connection;
        }
        assert!(closed_at.elapsed() < MAX_END_REPORT_DELAY, "no connection is opened");
        others.iter_mut().for_each(|c| c.send_bytes(b"{\"verb\":\"PENDING\",\"tag\":\"\"}\n"));
    };
    repeat_connection.send(&format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":16}}"#));
    let received = client.receive();
    assert!(received.contains("FINISH") && received.contains(TAG), "not the release: {received}");
}
