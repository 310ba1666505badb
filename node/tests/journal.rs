//! Tests of the connection to the journal service: what it has to tell arrives although the service is slow, stops or
//! breaks off, and the service is not flooded with connections.

mod common;
use common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What the journal service has to tell counts as told after this time, even if it is slow.
const MAX_SLOWNESS: Duration = Duration::from_secs(7);
/// What the journal service has to tell counts as told at most this long after it stopped serving a connection.
const MAX_STOP_DELAY: Duration = Duration::from_secs(4);
/// The same after a connection broke off.
const MAX_BREAK_DELAY: Duration = Duration::from_secs(2);
/// The daemon has at most this many connections to the journal service at a time.
const MAX_CONNECTIONS: usize = 2;
/// A service that serves a connection this late is still slow within the limit.
const SLOWNESS: Duration = Duration::from_millis(6800);
/// The service sends a line in each interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

fn start_daemon(journal: &StubJournal) -> (Daemon, SocketAddr) {
    let (_, addr) = bind_listener();
    (Daemon::start(&config(journal, addr), None), addr)
}

fn config(journal: &StubJournal, addr: SocketAddr) -> String {
    let servers = two_servers(addr);
    config_json(journal.addr, &servers)
}

/// The event that exchange 1 drains.
fn drain_event(pos: u32, addr: SocketAddr) -> String {
    journal_event(pos, false, &[server_entry("s-one", 1, "terminating", addr)])
}

/// Serves no connection for a time, and checks that the daemon does not open too many. Returns the connections that are
/// still open, the oldest first.
fn leave_unserved(journal: &StubJournal, duration: Duration) -> Vec<LinePeer> {
    let until = Instant::now() + duration;
    let mut connections: Vec<LinePeer> = Vec::new();
    while let Some(time_left) = until.checked_duration_since(Instant::now()) {
        if let Some(mut connection) = journal.accept_within(time_left.min(Duration::from_millis(50))) {
            assert!(connection.receive().starts_with("tail "));
            connections.push(connection);
        }
        connections.retain_mut(|c| c.receive_within(Duration::from_millis(1)).is_none());
        assert!(connections.len() <= MAX_CONNECTIONS, "the daemon opens too many connections");
    }
    connections
}

/// Checks that a slow service is listened to, and that the connection that was opened in the meantime is closed.
fn check_slow_service(slowness: Duration) {
    let journal = StubJournal::new();
    let (mut daemon, addr) = start_daemon(&journal);
    let mut connections = leave_unserved(&journal, slowness);
    assert_eq!(connections.len(), MAX_CONNECTIONS, "a connection that was not served yet is closed");
    connections[0].send(&drain_event(2, addr));
    daemon.wait_for_log("to=Draining");
    assert_eq!(connections[1].receive(), "", "the other connection is not closed");
    connections[0].send(r#"{"pos":2}"#);
    assert!(connections[0].receives_nothing_within(Duration::from_millis(100)));
}

/// Guards against connections that are closed before a slow service gets to serve them, so that it never tells
/// anything.
#[test]
fn slow_service_is_listened_to() {
    check_slow_service(Duration::from_secs(3));
}

#[test]
fn service_that_is_slow_up_to_the_limit_is_listened_to() {
    assert!(SLOWNESS < MAX_SLOWNESS);
    check_slow_service(SLOWNESS);
}

/// Guards against a second connection that is opened too late for a service that has stopped serving the first one and
/// is slow to serve another.
#[test]
fn service_that_stops_serving_a_connection_is_asked_on_another() {
    let journal = StubJournal::new();
    let (mut daemon, addr) = start_daemon(&journal);
    let mut stopped = journal.accept();
    assert_eq!(stopped.receive(), "tail 1");
    stopped.send(r#"{"pos":1}"#);
    std::thread::sleep(HEARTBEAT_INTERVAL);
    stopped.send(r#"{"pos":1}"#);
    let stopped_at = Instant::now();
    let mut connection = journal.accept();
    assert_eq!(connection.receive(), "tail 1");
    std::thread::sleep(Duration::from_secs(2));
    connection.send(&drain_event(2, addr));
    daemon.wait_for_log("to=Draining");
    assert!(stopped_at.elapsed() < MAX_STOP_DELAY);
    assert_eq!(stopped.receive(), "", "the silent connection is not closed");
}

/// Guards against a new connection that is opened too late, or too impatiently, after a service that is slow breaks
/// off in the middle of an event.
#[test]
fn slow_service_that_breaks_off_in_an_event_is_asked_again() {
    let journal = StubJournal::new();
    let (mut daemon, addr) = start_daemon(&journal);
    let mut connection = journal.accept();
    assert_eq!(connection.receive(), "tail 1");
    connection.send(r#"{"pos":1}"#);
    connection.send_bytes(&drain_event(2, addr).as_bytes()[..40]);
    let broken_at = Instant::now();
    drop(connection);
    let mut connections = leave_unserved(&journal, MAX_BREAK_DELAY - Duration::from_millis(200));
    connections[0].send(&drain_event(2, addr));
    daemon.wait_for_log("to=Draining");
    assert!(broken_at.elapsed() < MAX_BREAK_DELAY);
}

/// Guards against a new address whose service is slow and never listened to.
#[test]
fn slow_service_at_a_new_address_is_listened_to() {
    let (journal, next_journal) = (StubJournal::new(), StubJournal::new());
    let (mut daemon, addr) = start_daemon(&journal);
    let mut connection = journal.accept();
    assert_eq!(connection.receive(), "tail 1");
    connection.send(r#"{"pos":1}"#);
    daemon.reload_config(&config(&next_journal, addr));
    let mut connections = leave_unserved(&next_journal, Duration::from_secs(3));
    assert_eq!(connections.len(), MAX_CONNECTIONS, "a connection that was not served yet is closed");
    connections[0].send(&drain_event(2, addr));
    daemon.wait_for_log("to=Draining");
    assert_eq!(connection.receive(), "", "the old connection is not closed");
}

/// Guards against a service that closes each connection at once and is dialled without a pause.
#[test]
fn service_that_closes_each_connection_is_dialled_with_growing_pauses() {
    const MAX_DIALS: usize = 8;
    let journal = StubJournal::new();
    let (mut daemon, addr) = start_daemon(&journal);
    let until = Instant::now() + Duration::from_secs(3);
    let mut dials = 0;
    while Instant::now() < until {
        dials += usize::from(journal.accept_within(Duration::from_millis(50)).is_some());
    }
    assert!((3..=MAX_DIALS).contains(&dials), "{dials} dials");
    let works_again_at = Instant::now();
    journal.accept().send(&drain_event(2, addr));
    daemon.wait_for_log("to=Draining");
    assert!(works_again_at.elapsed() < MAX_BREAK_DELAY);
}
