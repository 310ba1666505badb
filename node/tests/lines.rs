//! End-to-end tests of the JSON-lines front, with scripted clients and exchanges and a stub journal service.

mod common;
use common::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

const TAG: &str = "9b1f03aa5c7e2d41";

/// Starts the daemon with one exchange besides its own.
fn start_daemon() -> (Daemon, TcpListener, StubJournal) {
    let (exchange_listener, addr) = bind_listener();
    let journal = StubJournal::new();
    let servers =
        [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)];
    (Daemon::start(&config_json(journal.addr, &servers), None), exchange_listener, journal)
}

/// Guards against calls that stay established because the connection of their set-up has closed. The release is sent
/// on another connection of the caller, even if it was first sent on the closing connection and lost with it.
#[test]
fn call_is_answered_and_its_release_is_sent_on_the_clients_next_connection() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut client = daemon.connect_client();
    client.send_start(TAG, 3000, 1);
    insta::assert_snapshot!(mask_times(&exchange.receive()), @r#"{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"voice","key":"9b1f03aa5c7e2d41","left":"…"},"blob":"v=0\r\nm=audio \"9b1f03aa5c7e2d41\"\r\n"}"#);
    exchange.send(&format!(r#"{{"verb":"PENDING","tag":"{TAG}","opts":{{}}}}"#));
    exchange.send(&format!(
        r#"{{"verb":"STARTED","tag":"{TAG}","opts":{{}},"blob":"its own\u0007 words"}}"#
    ));
    insta::assert_snapshot!(client.receive(), @r#"{"verb":"STARTED","tag":"9b1f03aa5c7e2d41","opts":{},"blob":"its own\u0007 words"}"#);
    // The daemon may send the release before it detects this close.
    drop(client);
    exchange.send(&format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":16}}"#));
    let mut next_client = daemon.connect_client();
    insta::assert_snapshot!(next_client.receive(), @r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":16}"#);
}

/// Guards against refusals that don't say when to retry, and against a call to a full exchange that is kept waiting for
/// as long as its caller waits.
#[test]
fn call_to_a_full_exchange_is_refused_once_with_a_retry_delay() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut client = daemon.connect_client();
    let started_at = Instant::now();
    client.send_start(TAG, 9000, 1);
    exchange.receive_start();
    exchange.send(&format!(
        r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{"note":"processor_full","load":"spare:3;total:9"}},"rc":34}}"#
    ));
    insta::assert_snapshot!(mask_times(&client.receive()), @r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{"wait":"…"},"rc":42}"#);
    assert!(started_at.elapsed() < Duration::from_secs(5), "the refusal came too late");
    assert!(client.receives_nothing_within(Duration::from_millis(200)), "the call got a second answer");
}

/// Guards against attempts that continue without their caller, against a retry within 500 ms of the cancellation, and
/// against declaring a connection dead because nothing was received on it in the short time before the set-up was
/// cancelled.
#[test]
fn attempt_is_cancelled_when_its_caller_gives_up_or_disconnects() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut client = daemon.connect_client();
    client.send_start(TAG, 3000, 1);
    exchange.receive_start();
    client.send(&format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":16}}"#));
    insta::assert_snapshot!(exchange.receive(), @r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":16}"#);
    client.send_start("00000000000000aa", 3000, 1);
    assert_eq!(exchange.receive_start(), "00000000000000aa");
    drop(client);
    insta::assert_snapshot!(exchange.receive(), @r#"{"verb":"FINISH","tag":"00000000000000aa","opts":{},"rc":16}"#);
    assert!(
        exchange.receives_nothing_within(Duration::from_millis(600)),
        "a cancelled call was retried"
    );
}

/// Guards against calls without an answer when an exchange sends nothing, or its connection closes.
#[test]
fn call_is_refused_in_time_when_the_exchange_is_silent_or_disconnects() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut client = daemon.connect_client();
    let started_at = Instant::now();
    client.send_start(TAG, 900, 1);
    exchange.receive_start();
    insta::assert_snapshot!(mask_times(&client.receive()), @r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{"wait":"…"},"rc":42}"#);
    assert!(
        started_at.elapsed() >= Duration::from_millis(500),
        "the exchange had too little time to answer"
    );
    insta::assert_snapshot!(exchange.receive(), @r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":16}"#);
    // The daemon replaces the silent connection. The new one is closed next.
    let mut exchange = LinePeer::accept(&exchange_listener);
    std::thread::sleep(Duration::from_millis(2000));
    client.send_start("00000000000000bb", 3000, 1);
    exchange.receive_start();
    drop(exchange);
    let answer = mask_times(&client.receive());
    insta::assert_snapshot!(answer, @r#"{"verb":"FINISH","tag":"00000000000000bb","opts":{"wait":"…"},"rc":42}"#);
}

/// Guards against malformed input that affects more than the connection that it arrives on.
#[test]
fn malformed_input_closes_only_its_own_connection() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut good_client = daemon.connect_client();
    let oversized = [b'x'; 20_000];
    let deeply_nested = [b'['; 16_000];
    for input in [
        &b"what is this\n"[..],
        &oversized,
        &[&deeply_nested[..], b"\n"].concat(),
        b"\xff\xfe\n",
        b"{}\n",
    ] {
        let mut client = daemon.connect_client();
        client.send_bytes(input);
        assert_eq!(client.receive(), "", "the connection is not closed");
    }
    good_client.send(r#"{"verb":"ECHO","tag":"e","opts":{},"rc":0}"#);
    insta::assert_snapshot!(good_client.receive(), @r#"{"verb":"ECHOED","tag":"e","opts":{},"rc":1}"#);
    good_client.send_start(TAG, 3000, 1);
    assert_eq!(exchange.receive_start(), TAG);
}

/// Guards against forwarding set-ups that an exchange can't parse, since it would close its connection, and against
/// numbers out of range that are corrected and served. Each such set-up is refused in an answer with its id; without a
/// valid id, its connection is closed.
#[test]
fn invalid_set_up_is_refused_and_not_forwarded() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut client = daemon.connect_client();
    let valid = format!(
        r#"{{"verb":"START","tag":"{TAG}","opts":{{"class":"voice","left":"3000","key":"{TAG}","extras":"dest:1;width:1;via:-1"}},"blob":"b"}}"#
    );
    let replacements = [
        ("voice", "none"),
        ("\"3000\"", "\"-3000\""),
        ("\"3000\"", "\"NaN\""),
        ("\"3000\"", "1e300"),
        ("\"3000\"", "\"100000\""),
        ("dest:1", "dest:1.5"),
        ("dest:1", "dest:1e9"),
        ("width:1", "width:0"),
        ("width:1", "width:-1"),
        (r#""key":"9b"#, r#""key":"+9"#),
        (r#","blob":"b""#, ""),
    ];
    for (original, replacement) in replacements {
        let invalid = valid.replace(original, replacement);
        assert_ne!(invalid, valid);
        client.send(&invalid);
        let refusal = format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":47}}"#);
        assert_eq!(client.receive(), refusal, "{invalid:.300}");
    }
    for id in ["", "9b1f", "../../etc/passwd"] {
        let mut client = daemon.connect_client();
        client.send(&valid.replacen(TAG, id, 1));
        assert_eq!(client.receive(), "", "the connection is not closed");
    }
    client.send(&valid);
    assert_eq!(exchange.receive_start(), TAG, "an invalid set-up was forwarded");
}

/// Guards against a second set-up with the id of an open call, which would be served in its place or get its answer.
/// On another connection it is refused; on that of the call, where the refusal would be taken for the answer to the call,
/// it closes the connection.
#[test]
fn second_set_up_with_the_id_of_an_open_call_is_refused_or_closes_its_connection() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let (mut client, mut other) = (daemon.connect_client(), daemon.connect_client());
    client.send_start(TAG, 3000, 1);
    assert_eq!(exchange.receive_start(), TAG);
    other.send_start(TAG, 2000, 1);
    let refusal = other.receive();
    assert!(refusal.contains(TAG) && refusal.contains(r#""rc":42"#), "not refused: {refusal}");
    assert!(exchange.receives_nothing_within(Duration::from_millis(100)), "set up twice");
    answer_call(&mut exchange, &mut client, TAG);
    assert!(other.receives_nothing_within(Duration::from_millis(100)), "answered twice");
    client.send_start(TAG, 2000, 1);
    assert_eq!(client.receive(), "", "the connection is not closed");
}

/// Guards against clients that occupy a connection without sending a complete request, and against closing the
/// connection of a caller that was answered and keeps it open.
#[test]
fn clients_without_a_complete_request_are_closed_and_answered_clients_are_kept() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut caller = daemon.connect_client();
    establish_call(&mut exchange, &mut caller, TAG);
    let (mut silent_client, mut partial_client, mut unknown_call_client, mut abandoning_client) = (
        daemon.connect_client(),
        daemon.connect_client(),
        daemon.connect_client(),
        daemon.connect_client(),
    );
    partial_client.send_bytes(br#"{"verb":"START","tag":"9b"#);
    unknown_call_client.send(r#"{"verb":"FINISH","tag":"00000000000000ff","opts":{},"rc":16}"#);
    abandoning_client.send_start("00000000000000aa", 3000, 1);
    abandoning_client.send(r#"{"verb":"FINISH","tag":"00000000000000aa","opts":{},"rc":16}"#);
    let started_at = Instant::now();
    for client in
        [&mut silent_client, &mut partial_client, &mut unknown_call_client, &mut abandoning_client]
    {
        assert_eq!(client.receive(), "", "the connection is not closed");
    }
    assert!(
        started_at.elapsed() >= Duration::from_secs(1),
        "the clients had too little time to send a request"
    );
    // A message that begins after an answer has the same time to become complete.
    caller.send_bytes(br#"{"verb":"ECHO","#);
    caller.send_bytes(b"\"tag\":\"e\",\"opts\":{},\"rc\":0}\n");
    assert!(caller.receive().contains("ECHOED"));
    exchange.send(&format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":16}}"#));
    assert!(caller.receive().contains(r#""rc":16"#));
    caller.send_bytes(br#"{"verb":"ECHO","#);
    assert_eq!(caller.receive(), "", "the connection is not closed");
}

/// Guards against many silent connections that make the daemon close a caller's connection, which is needed for the
/// release of its call.
#[test]
fn client_with_an_established_call_keeps_its_connection_at_the_client_limit() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut caller = daemon.connect_client();
    establish_call(&mut exchange, &mut caller, TAG);
    // From 63 clients on, this configuration closes idle ones to make room for new ones.
    let mut silent_clients: Vec<_> = (0..120).map(|_| daemon.connect_client()).collect();
    assert_eq!(
        silent_clients[0].receive(),
        "",
        "the client that has been idle for longest is not closed"
    );
    exchange.send(&format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":16}}"#));
    assert!(caller.receive().contains(r#""rc":16"#));
}

/// Guards against many connections that already have their answers and keep out clients that are about to send a
/// request. A connection with a partial request is kept, and the answered ones are closed.
#[test]
fn answered_idle_connections_are_closed_first_at_the_client_limit() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut partial_client = daemon.connect_client();
    partial_client.send_bytes(br#"{"verb":"START","#);
    // From 63 clients on, this configuration closes idle ones to make room for new ones. Each of these clients has had
    // its answer.
    let mut answered_clients = Vec::new();
    for _ in 0..80 {
        answered_clients.push(daemon.connect_client());
        assert!(answered_clients.last_mut().is_some_and(LinePeer::is_ready));
    }
    assert_eq!(
        answered_clients[0].receive(),
        "",
        "the answered client that has been idle for longest is not closed"
    );
    let mut new_client = daemon.connect_client();
    establish_call(&mut exchange, &mut new_client, TAG);
    let rest_of_line = r#""tag":"00000000000000aa","opts":{"class":"voice","left":"3000","key":"00000000000000aa","extras":"dest:1;width:1;via:-1"},"blob":"b"}"#;
    partial_client.send(rest_of_line);
    assert_eq!(exchange.receive_start(), "00000000000000aa");
}

/// Guards against a release that is sent to an unrelated client after its caller's connection has closed. It goes to a
/// client that has confirmed a release before, even if others have been active more recently.
#[test]
fn release_goes_to_a_client_that_has_confirmed_one_before() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let (mut confirming_client, mut disconnected_client, mut other_client) =
        (daemon.connect_client(), daemon.connect_client(), daemon.connect_client());
    establish_call(&mut exchange, &mut confirming_client, TAG);
    exchange.send(&format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":16}}"#));
    assert!(confirming_client.receive().contains(TAG));
    confirming_client.send(&format!(r#"{{"verb":"FINISHED","tag":"{TAG}","opts":{{}}}}"#));
    establish_call(&mut exchange, &mut disconnected_client, "00000000000000aa");
    drop(disconnected_client);
    establish_call(&mut exchange, &mut other_client, "00000000000000bb");
    // This ECHO makes the other client the one that was active last.
    assert!(other_client.is_ready(), "the daemon is not ready");
    exchange.send(r#"{"verb":"FINISH","tag":"00000000000000aa","opts":{},"rc":16}"#);
    assert!(confirming_client.receive().contains("00000000000000aa"));
}

/// Guards against losing the rest of a long burst: the daemon reads a limited amount from a connection in one
/// iteration of its event loop.
#[test]
fn burst_longer_than_one_iteration_reads_is_read_completely() {
    let (mut daemon, _exchange, _journal) = start_daemon();
    let mut client = daemon.connect_client();
    let echo =
        format!("{{\"verb\":\"ECHO\",\"tag\":\"e\",\"opts\":{{}},\"rc\":0{}}}\n", " ".repeat(200));
    client.send_bytes(echo.repeat(800).as_bytes());
    for index in 0..800 {
        assert!(client.receive().contains("ECHOED"), "answer {index}");
    }
}

/// Starts the daemon with four connections to one exchange besides its own, which reports its load on each.
fn start_daemon_with_four_connections() -> (Daemon, Vec<LinePeer>, StubJournal, TcpListener) {
    let (exchange_listener, addr) = bind_listener();
    let journal = StubJournal::new();
    let servers =
        [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)];
    let daemon = Daemon::start(&with_four_connections(&config_json(journal.addr, &servers)), None);
    let mut connections: Vec<_> = (0..4).map(|_| LinePeer::accept(&exchange_listener)).collect();
    connections.iter_mut().for_each(|connection| connection.send(LOAD_REPORT));
    (daemon, connections, journal, exchange_listener)
}

/// The exchange's unsolicited report that its trunk group has nine of nine circuits free.
const LOAD_REPORT: &str = r#"{"verb":"LOAD","tag":"","opts":{"load":"spare:9;total:9"}}"#;

/// Waits for a set-up on any of the connections. Returns the index of its connection, and its tag.
fn receive_start_on_any(connections: &mut [LinePeer]) -> (usize, String) {
    let started_at = Instant::now();
    while started_at.elapsed() < WAIT_TIMEOUT {
        for (index, connection) in connections.iter_mut().enumerate() {
            // An empty line is the end of the stream: the daemon has replaced the connection, because the exchange was
            // silent while a call was established there.
            if let Some(line) =
                connection.receive_within(Duration::from_millis(20)).filter(|line| !line.is_empty())
            {
                assert!(line.contains(r#""verb":"START""#), "not a START: {line}");
                return (
                    index,
                    line.split(r#""tag":""#).nth(1).expect("the line has a tag")[..16].to_owned(),
                );
            }
        }
    }
    panic!("no set-up was received")
}

/// Guards against a malformed answer that is forwarded, that affects set-ups on other connections, or whose call is
/// refused although it may be retried. Each kind of malformed answer closes its connection at once.
#[test]
fn malformed_answer_closes_its_connection_and_the_call_is_retried() {
    let partial = format!(r#"{{"verb":"STARTED","tag":"{TAG}","opts":{{}},"blo"#);
    let without_blob = format!("{{\"verb\":\"STARTED\",\"tag\":\"{TAG}\",\"opts\":{{}}}}\n");
    for malformed in
        [&b"\x00\xff noise\n"[..], &[b'x'; 20_000], partial.as_bytes(), without_blob.as_bytes()]
    {
        let (mut daemon, mut connections, _journal, _exchange) = start_daemon_with_four_connections();
        let mut client = daemon.connect_client();
        client.send_start(TAG, 3000, 1);
        let (failed, tag) = receive_start_on_any(&mut connections);
        assert_eq!(tag, TAG);
        client.send_start("00000000000000aa", 3000, 1);
        let (intact, tag) = receive_start_on_any(&mut connections);
        assert_ne!(intact, failed, "both set-ups are on the same connection");
        let started_at = Instant::now();
        connections[failed].send_bytes(malformed);
        assert_eq!(connections[failed].receive(), "", "the connection is not closed");
        answer_call(&mut connections[intact], &mut client, &tag);
        connections.remove(failed);
        let (retried_on, tag) = receive_start_on_any(&mut connections);
        assert_eq!(tag, TAG);
        assert!(started_at.elapsed() >= Duration::from_millis(500), "retried within the release delay");
        answer_call(&mut connections[retried_on], &mut client, TAG);
    }
}

/// Guards against repeated dials to a draining exchange that accepts no more connections. Its established calls need
/// one connection, and one is open.
#[test]
fn draining_exchange_is_not_dialled_while_a_connection_to_it_is_open() {
    let (mut daemon, mut connections, journal, exchange_listener) = start_daemon_with_four_connections();
    let addr = exchange_listener.local_addr().expect("the socket has an address");
    let mut journal_stream = journal.accept();
    journal_stream.send(&journal_event(2, false, &[server_entry("s-one", 1, "terminating", addr)]));
    daemon.wait_for_log("list: event 2");
    drop(connections.pop());
    daemon.wait_for_log("exchange-ended");
    exchange_listener.set_nonblocking(true).expect("the listener's mode is set");
    std::thread::sleep(Duration::from_millis(300));
    assert!(exchange_listener.accept().is_err(), "the draining exchange was dialled");
    // Once no connection is open, the daemon dials one for the expected releases.
    drop(connections);
    exchange_listener.set_nonblocking(false).expect("the listener's mode is set");
    exchange_listener.accept().expect("a connection is accepted");
}

/// Guards against an answer that overwrites the state of a trunk group with an older one: the answer may have been sent
/// before the group last changed, and the next call would be sent although no circuit is free.
#[test]
fn unsolicited_load_report_overrides_the_load_in_an_answer() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut client = daemon.connect_client();
    client.send_start(TAG, 3000, 1);
    exchange.receive_start();
    exchange.send(&LOAD_REPORT.replace("spare:9", "spare:0"));
    exchange.send(&format!(
        r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{"note":"user_busy","load":"spare:9;total:9"}},"rc":17}}"#
    ));
    assert!(client.receive().contains(TAG));
    client.send_start("00000000000000aa", 900, 1);
    assert!(client.receive().contains("00000000000000aa"), "the call is not refused");
    exchange.send(LOAD_REPORT);
    client.send_start("00000000000000bb", 3000, 1);
    assert_eq!(
        exchange.receive_start(),
        "00000000000000bb",
        "a call was sent while no circuit was free"
    );
}

/// Guards against set-ups that wait for their timeout on a connection that is open but silent, although the exchange
/// sends reports on the others.
#[test]
fn connection_that_misses_reports_sent_on_the_others_is_closed() {
    let (mut daemon, mut connections, _journal, _exchange) = start_daemon_with_four_connections();
    let mut client = daemon.connect_client();
    client.send_start(TAG, 3000, 1);
    let (silent_connection, _) = receive_start_on_any(&mut connections);
    let started_at = Instant::now();
    let mut silent_connection = connections.remove(silent_connection);
    while started_at.elapsed() < Duration::from_millis(400) {
        connections.iter_mut().for_each(|connection| connection.send(LOAD_REPORT));
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(silent_connection.receive(), "", "the connection is not closed");
    let (retried_on, _) = receive_start_on_any(&mut connections);
    answer_call(&mut connections[retried_on], &mut client, TAG);
}

/// Guards against a daemon that stops accepting when it runs out of descriptors: it closes idle clients and continues.
#[test]
fn idle_clients_are_closed_when_descriptors_run_out() {
    let (exchange_listener, addr) = bind_listener();
    let journal = StubJournal::new();
    let servers =
        [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)];
    let mut daemon = Daemon::start_with_descriptor_limit(&config_json(journal.addr, &servers), 24);
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut busy_client = daemon.connect_client();
    busy_client.send_start(TAG, 9000, 1);
    exchange.receive_start();
    let idle_clients: Vec<_> = (0..40).map(|_| daemon.connect_client()).collect();
    daemon.wait_for_log("accept-failed");
    let mut new_client = daemon.connect_client();
    new_client.send(r#"{"verb":"ECHO","tag":"e","opts":{},"rc":0}"#);
    assert!(new_client.receive().contains("ECHOED"));
    exchange.send(&format!(r#"{{"verb":"STARTED","tag":"{TAG}","opts":{{}},"blob":"b"}}"#));
    assert!(busy_client.receive().contains("STARTED"), "the connection with an open set-up is closed");
    drop(idle_clients);
    assert!(daemon.is_running());
}

/// Guards against a stale list: a stream that is not resumed after a break, an event that is missed, or a drain that is
/// ignored.
#[test]
fn journal_stream_is_resumed_after_a_break_and_drains_are_applied() {
    let (mut daemon, exchange_listener, journal) = start_daemon();
    let addr = exchange_listener.local_addr().expect("the socket has an address");
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut journal_stream = journal.accept();
    assert_eq!(journal_stream.receive(), "tail 1");
    journal_stream.send(r#"{"pos":1}"#);
    drop(journal_stream);
    let mut journal_stream = journal.accept();
    assert_eq!(journal_stream.receive(), "tail 1");
    journal_stream.send(&journal_event(2, false, &[server_entry("s-one", 1, "terminating", addr)]));
    daemon.wait_for_log("list: event 2");
    let mut client = daemon.connect_client();
    client.send_start(TAG, 2000, 1);
    assert!(client.receive().contains(r#""rc":42"#));
    assert!(
        exchange.receives_nothing_within(Duration::from_millis(100)),
        "a set-up was sent to a draining exchange"
    );
    drop(journal_stream);
    assert_eq!(journal.accept().receive(), "tail 2");
}

/// Guards against a SIGHUP that ends the daemon, against positions that start again at another journal service, calls
/// that are lost with the old one, and an invalid file that replaces a valid configuration.
#[test]
fn sighup_switches_the_journal_service_and_keeps_position_and_calls() {
    let (exchange_listener, addr) = bind_listener();
    let (journal, next_journal) = (StubJournal::new(), StubJournal::new());
    let servers =
        [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)];
    let mut daemon = Daemon::start(&config_json(journal.addr, &servers), None);
    let mut journal_stream = journal.accept();
    assert_eq!(journal_stream.receive(), "tail 1");
    let (_other_listener, other_addr) = bind_listener();
    journal_stream.send(&journal_event(2, false, &[server_entry("s-two", 2, "in_service", other_addr)]));
    daemon.wait_for_log("list: event 2");
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut client = daemon.connect_client();
    client.send_start(TAG, 9000, 1);
    exchange.receive_start();
    daemon.reload_config("{");
    daemon.wait_for_log("reload-failed");
    daemon.reload_config(&config_json(next_journal.addr, &servers));
    let mut next_journal_stream = next_journal.accept();
    assert_eq!(next_journal_stream.receive(), "tail 2");
    assert_eq!(journal_stream.receive(), "", "the old stream is not closed");
    next_journal_stream.send(&journal_event(3, false, &[server_entry("s-one", 1, "terminating", addr)]));
    daemon.wait_for_log("list: event 3");
    answer_call(&mut exchange, &mut client, TAG);
    // The daemon also reconnects to the new journal service after a break.
    drop(next_journal_stream);
    assert_eq!(next_journal.accept().receive(), "tail 3");
}

/// Guards against a planned restart that loses calls which the daemon has accepted.
#[test]
fn sigterm_completes_open_calls_and_exits_with_0() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut client = daemon.connect_client();
    client.send_start(TAG, 3000, 1);
    exchange.receive_start();
    daemon.send_sigterm();
    daemon.wait_for_log("stopping");
    let mut late_client = daemon.connect_client();
    late_client.send_start("00000000000000dd", 3000, 1);
    assert_eq!(exchange.receive_start(), "00000000000000dd");
    for (client, tag) in [(&mut client, TAG), (&mut late_client, "00000000000000dd")] {
        exchange.send(&format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"b"}}"#));
        assert!(client.receive().contains("STARTED"));
    }
    // The daemon forwards releases until its time for the shutdown is used up, and exits at once after the last one.
    std::thread::sleep(Duration::from_millis(1200));
    for (client, tag) in [(&mut client, TAG), (&mut late_client, "00000000000000dd")] {
        assert!(daemon.is_running(), "the daemon exited while a call was established");
        exchange.send(&format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":16}}"#));
        assert!(client.receive().contains(r#""rc":16"#));
    }
    let started_at = Instant::now();
    assert!(daemon.exits_successfully());
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "the daemon did not exit after the last release"
    );
}

/// Guards against a process that waits for the end of established calls until it is killed.
#[test]
fn after_sigterm_the_process_exits_although_a_call_is_established() {
    let (mut daemon, exchange_listener, _journal) = start_daemon();
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut client = daemon.connect_client();
    establish_call(&mut exchange, &mut client, TAG);
    daemon.send_sigterm();
    let started_at = Instant::now();
    assert!(daemon.exits_successfully());
    daemon.wait_for_log("why=\"shut down\"");
    daemon.wait_for_log("stopped: 0 calls stand");
    assert!(client.receive().contains(r#""rc":41"#), "the caller is not released");
    assert!(started_at.elapsed() > Duration::from_secs(3), "the daemon did not wait for the release");
}

/// Guards against starting with an invalid configuration, and against error messages that don't name the key.
#[test]
fn startup_error_names_the_invalid_key() {
    let journal = StubJournal::new();
    let valid = config_json(journal.addr, &[]);
    let sip_section = "[sip]\nudp = \"127.0.0.1:0\"\n";
    for (config, operator_file, error) in [
        (
            valid.replace(r#""listen":"127.0.0.1:0""#, r#""listen":"here""#),
            None,
            "listen: here is not an address",
        ),
        (
            with_admin_addr(&valid).replacen("127.0.0.1:0", &journal.addr.to_string(), 1),
            None,
            "admin_addr: Address already in use",
        ),
        (
            valid.replace(r#""tick_ms":5.0"#, r#""tick_ms":"5""#),
            None,
            "settings.tick_ms is not a number",
        ),
        (valid.replace(r#""full":true"#, r#""full":1"#), None, "known.entries[0]: hosts.full"),
        (valid.clone(), Some(format!("{sip_section}t1 = 5")), "sip.t1 is unknown"),
        (valid.clone(), Some("[sip]\n".into()), "sip.udp and sip.tcp are missing"),
        (
            valid.clone(),
            Some(format!("{sip_section}[[sip.number]]\nprefix = \"2\"\n")),
            "sip.number[0].class is missing",
        ),
    ] {
        let mut daemon = Daemon::start(&config, operator_file.as_deref());
        assert!(!daemon.exits_successfully());
        daemon.wait_for_log(error);
    }
}
