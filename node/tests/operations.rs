//! Tests of what operators do with a running call controller: query its state, drain it, and replace its process.

mod common;
use common::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

const TAG: &str = "9b1f03aa5c7e2d41";
const OTHER_TAG: &str = "00000000000000aa";

/// Starts the daemon with an address for operators and one exchange besides its own, and accepts the daemon's
/// connection to it.
fn start_daemon() -> (Daemon, LinePeer, StubJournal) {
    let (exchange_listener, addr) = bind_listener();
    let journal = StubJournal::new();
    let servers =
        [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)];
    let daemon = Daemon::start(&with_admin_addr(&config_json(journal.addr, &servers)), None);
    (daemon, LinePeer::accept(&exchange_listener), journal)
}

/// Guards against operators' requests that wait for one another or for silent connections, and against executing an
/// incomplete request.
#[test]
fn operators_are_answered_while_other_connections_are_silent() {
    let (mut daemon, _exchange, _journal) = start_daemon();
    // More than the seven connections of operators that the limit of descriptors allows at a time.
    let silent_operators: Vec<_> = (0..12).map(|_| daemon.connect_operator()).collect();
    let mut partial_operator = daemon.connect_operator();
    partial_operator.send_bytes(b"LEAVE");
    let started_at = Instant::now();
    assert_eq!(daemon.operator_request("HEALTH"), ["done"]);
    assert_eq!(daemon.operator_request("WHO"), ["error unknown call"]);
    assert_eq!(daemon.operator_request(&"x".repeat(9000)), [""; 0], "an oversized request was answered");
    assert!(started_at.elapsed() < Duration::from_secs(1), "the answers took too long");
    drop((partial_operator, silent_operators));
    assert!(daemon.connect_client().is_ready(), "an incomplete request was executed");
}

/// Guards against counts that differ from the messages on the sockets.
#[test]
fn dump_counts_match_the_traffic() {
    let (mut daemon, mut exchange, _journal) = start_daemon();
    let mut client = daemon.connect_client();
    establish_call(&mut exchange, &mut client, TAG);
    client.send_start(OTHER_TAG, 3000, 1);
    exchange.receive_start();
    exchange.send(&format!(
        r#"{{"verb":"FINISH","tag":"{OTHER_TAG}","opts":{{"note":"processor_full"}},"rc":34}}"#
    ));
    assert!(client.receive().contains(OTHER_TAG));
    insta::assert_snapshot!(daemon.operator_request("DUMP").join("\n"), @r#"
    {"results":{"voice":{"succeeded":1,"declined":1,"aborted":0}},"forwards":2,"outstanding":1,"adopted":0,"discovered":2,"ejected":0,"sighup_applied":0,"sighup_rejected":0,"journal_event":1,"journal_dials":1,"journal_unserved":0,"standing":1,"retries":0,"checks":0,"adverse_observations":0,"pending_releases":0,"redirected_releases":0,"discarded_releases":0,"unmatched_releases":0,"earlier_releases":0,"discarded_exchange_releases":0,"releases":{},"attempt_ends":{"processor full":1}}
    end
    "#);
    exchange.send(&format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":16}}"#));
    assert!(client.receive().contains(TAG));
    let dump = daemon.operator_request("DUMP").remove(0);
    assert!(dump.contains(r#""outstanding":0"#), "a call is still outstanding");
    assert!(
        dump.contains(
            r#""standing":0,"retries":0,"checks":0,"adverse_observations":0,"pending_releases":0,"redirected_releases":0,"discarded_releases":0,"unmatched_releases":0,"earlier_releases":0,"discarded_exchange_releases":0,"releases":{"ended":1}"#
        ),
        "unexpected counts: {dump}"
    );
    daemon.wait_for_log(&format!(r#"call-released: call={TAG} exchange=s-one why="ended""#));
    daemon.wait_for_log(&format!(r#"call-refused: call={OTHER_TAG} attempts=1 last="processor full""#));
}

/// Guards against a drain that health checks and clients can't detect, that loses calls or their releases, or that
/// can't be reversed.
#[test]
fn drained_controller_closes_its_clients_and_serves_again_after_join() {
    let (mut daemon, mut exchange, _journal) = start_daemon();
    let (mut caller, mut idle_client) = (daemon.connect_client(), daemon.connect_client());
    assert!(idle_client.is_ready());
    establish_call(&mut exchange, &mut caller, TAG);
    assert_eq!(daemon.operator_request("LEAVE"), ["done"]);
    assert_eq!(daemon.operator_request("HEALTH"), ["done"], "the drained process is not healthy");
    assert!(!daemon.connect_client().is_ready(), "the drained daemon reports ready");
    // The daemon still accepts set-ups, also on new connections.
    establish_call(&mut exchange, &mut caller, OTHER_TAG);
    assert_eq!(idle_client.receive(), "", "the connection is not closed");
    let mut late_client = daemon.connect_client();
    establish_call(&mut exchange, &mut late_client, "00000000000000bb");
    assert_eq!(late_client.receive(), "", "the connection is not closed after the answer");
    // A connection that is kept only for the releases of its calls accepts no new set-ups.
    caller.send_start("00000000000000cd", 3000, 1);
    assert!(caller.receive().contains(r#""rc":42"#), "the set-up is not refused");
    std::thread::sleep(Duration::from_millis(1400));
    caller.send_start("00000000000000cc", 3000, 1);
    insta::assert_snapshot!(caller.receive(), @r#"{"verb":"FINISH","tag":"00000000000000cc","opts":{},"rc":42}"#);
    // By now set-ups on new connections are refused too, and the connection is closed at once.
    let mut new_client = daemon.connect_client();
    new_client.send_start("00000000000000ce", 3000, 1);
    assert!(new_client.receive().contains(r#""rc":42"#));
    assert_eq!(new_client.receive(), "", "the connection is not closed");
    // Releases are not sent on the connection of a health check, but on the caller's.
    let mut probe = daemon.connect_client();
    assert!(!probe.is_ready());
    for tag in ["00000000000000bb", TAG, OTHER_TAG] {
        exchange.send(&format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":16}}"#));
        let received = caller.receive();
        assert!(
            received.contains(tag) && received.contains(r#""rc":16"#),
            "not the release of {tag}: {received}"
        );
        caller.send(&format!(r#"{{"verb":"FINISHED","tag":"{tag}","opts":{{}}}}"#));
    }
    assert_eq!(caller.receive(), "", "the connection is not closed after its last call");
    assert_eq!(daemon.operator_request("JOIN"), ["done"]);
    let mut client = daemon.connect_client();
    assert!(client.is_ready(), "the daemon is not ready after JOIN");
    establish_call(&mut exchange, &mut client, "00000000000000dd");
}

/// Guards against a new process that can't start while the old one runs, and against calls or connections that are lost
/// during the change.
#[test]
fn new_process_takes_over_on_the_inherited_socket() {
    let (exchange_listener, addr) = bind_listener();
    let journal = StubJournal::new();
    let servers =
        [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)];
    let (socket, listen_addr): (TcpListener, _) = bind_listener();
    let config = with_admin_addr(&config_json(journal.addr, &servers))
        .replace("127.0.0.1:0\",\"seed", "127.0.0.1:1\",\"seed");
    let mut old_daemon = Daemon::start_with_socket(&config, &socket);
    let mut exchange = LinePeer::accept(&exchange_listener);
    let (mut caller, mut idle_client) = (old_daemon.connect_client(), old_daemon.connect_client());
    assert!(idle_client.is_ready());
    caller.send_start(TAG, 3000, 1);
    assert_eq!(exchange.receive_start(), TAG);
    let mut new_daemon = Daemon::start_with_socket(&config, &socket);
    assert_eq!(new_daemon.operator_request("HEALTH"), ["done"]);
    assert_eq!(new_daemon.wait_for_log("n0 started: listening on "), listen_addr.to_string());
    let mut new_exchange_connection = LinePeer::accept(&exchange_listener);
    old_daemon.send_sigterm();
    old_daemon.wait_for_log("stopping");
    assert_eq!(idle_client.receive(), "", "the connection is not closed");
    let mut client = new_daemon.connect_client();
    assert!(client.is_ready(), "a new connection did not reach the new process");
    establish_call(&mut new_exchange_connection, &mut client, OTHER_TAG);
    answer_call(&mut exchange, &mut caller, TAG);
    assert!(old_daemon.exits_successfully());
    assert!(client.is_ready() && new_daemon.is_running());
}

/// Guards against clients that no process accepts: if no other process serves on the inherited socket, this one
/// continues to accept connections after SIGTERM, as it does on a socket of its own.
#[test]
fn process_without_a_successor_keeps_accepting_after_sigterm() {
    let (exchange_listener, addr) = bind_listener();
    let journal = StubJournal::new();
    let servers =
        [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)];
    let (socket, _) = bind_listener();
    let mut daemon =
        Daemon::start_with_socket(&with_admin_addr(&config_json(journal.addr, &servers)), &socket);
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut old_client = daemon.connect_client();
    establish_call(&mut exchange, &mut old_client, TAG);
    daemon.send_sigterm();
    daemon.wait_for_log("stopping");
    establish_call(&mut exchange, &mut daemon.connect_client(), OTHER_TAG);
}
