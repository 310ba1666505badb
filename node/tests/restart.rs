//! Tests of a restart without a successor on the same socket: whoever can still be told of the end of a call is told,
//! by the process that ends or by the next one.

mod common;
use common::site::TestSite;
use common::*;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

const TAG: &str = "9b1f03aa5c7e2d41";
const OTHER_TAG: &str = "00000000000000aa";
const CALLER_HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const OTHER_HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
const RELEASE: &str = r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":16}"#;
/// The platform does not kill the process earlier than this after SIGTERM, as the longest deadline is 9 s.
const MIN_KILL_DELAY: Duration = Duration::from_millis(3700);
/// A release is forwarded to its caller within this time.
const MAX_RELEASE_FORWARD_DELAY: Duration = Duration::from_millis(1050);
/// By then a release that is sent at once would have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Establishes a call, closes its caller's connection, and restarts the process while the call is established.
fn restart_without_caller(site: &TestSite) -> (Daemon, LinePeer) {
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut caller = daemon.connect_client();
    establish_call(&mut exchange, &mut caller, TAG);
    drop(caller);
    daemon.send_sigterm();
    assert!(daemon.exits_successfully());
    expect_no_release(&mut exchange);
    // The exchange would repeat releases on it that no later process is told.
    let is_opened = LinePeer::accept_within(&site.listener, Duration::ZERO).is_some();
    assert!(!is_opened, "the process has opened another connection during its shutdown");
    site.start_with_exchange()
}

/// Checks that the process has ended without a release of the call to its exchange, which would have no caller to tell.
fn expect_no_release(exchange: &mut LinePeer) {
    while let Some(line) = exchange.receive_within(SETTLE_TIME).filter(|line| !line.is_empty()) {
        assert!(!line.contains("FINISH"), "the call of an unreachable caller is released: {line}");
    }
}

/// Checks that a peer is sent the release of a call before a time.
fn expect_release(peer: &mut LinePeer, tag: &str, until: Instant) {
    loop {
        let time_left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let line = peer.receive_within(time_left);
        if line.as_ref().is_some_and(|l| l.contains("FINISH") && l.contains(tag)) {
            return;
        }
        assert!(Instant::now() < until, "{tag} is not released, last received: {line:?}");
    }
}

/// Guards against calls that nobody knows after a planned restart, so that their callers are never told of the end.
#[test]
fn planned_restart_releases_established_calls_on_both_sides() {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut caller = daemon.connect_client();
    establish_call(&mut exchange, &mut caller, TAG);
    daemon.send_sigterm();
    let stopped_at = Instant::now();
    expect_release(&mut caller, TAG, stopped_at + MIN_KILL_DELAY);
    assert!(
        stopped_at.elapsed() > Duration::from_secs(3),
        "the call was released although it might still have ended by itself"
    );
    expect_release(&mut exchange, TAG, stopped_at + MIN_KILL_DELAY);
    assert!(daemon.exits_successfully());
    assert!(stopped_at.elapsed() < MIN_KILL_DELAY);
    daemon.wait_for_log("stopped: 0 calls stand");
}

/// Guards against a release on another connection of the caller's host that is not sent, since the connection of the
/// call has closed.
#[test]
fn planned_restart_releases_a_call_on_another_connection_of_its_host() {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut caller = daemon.connect_client();
    establish_call(&mut exchange, &mut caller, TAG);
    daemon.send_sigterm();
    let stopped_at = Instant::now();
    daemon.wait_for_log("stopping");
    let mut other_connection = daemon.connect_client();
    establish_call(&mut exchange, &mut other_connection, OTHER_TAG);
    drop(caller);
    expect_release(&mut other_connection, TAG, stopped_at + MIN_KILL_DELAY);
    assert!(daemon.exits_successfully());
}

/// Guards against the release of a call of an earlier process that is passed over while its caller is connected.
#[test]
fn release_after_a_restart_reaches_the_caller_that_has_returned() {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = restart_without_caller(&site);
    let mut caller = daemon.connect_client();
    establish_call(&mut exchange, &mut caller, OTHER_TAG);
    exchange.send(RELEASE);
    expect_release(&mut caller, TAG, Instant::now() + MAX_RELEASE_FORWARD_DELAY);
}

/// Guards against the release of a call of an earlier process that is passed over because its caller, or only a health
/// check, is not connected yet.
#[test]
fn release_after_a_restart_waits_for_the_caller() {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = restart_without_caller(&site);
    exchange.send(RELEASE);
    daemon.wait_for_log("earlier-call-released");
    let mut health_check = daemon.connect_client();
    health_check.send(r#"{"verb":"ECHO","tag":"e","opts":{},"rc":0}"#);
    while !health_check.receive().contains("ECHOED") {}
    let mut caller = daemon.connect_client();
    expect_release(&mut caller, TAG, Instant::now() + MAX_RELEASE_FORWARD_DELAY);
}

/// Guards against the release of a call of an earlier process that goes on waiting while its caller is connected, as that
/// caller has begun with a health check.
#[test]
fn release_after_a_restart_reaches_a_caller_that_began_with_a_health_check() {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = restart_without_caller(&site);
    let mut caller = daemon.connect_client();
    assert!(caller.is_ready());
    exchange.send(RELEASE);
    daemon.wait_for_log("earlier-call-released");
    caller.send_start(OTHER_TAG, 3000, 1);
    expect_release(&mut caller, TAG, Instant::now() + MAX_RELEASE_FORWARD_DELAY);
}

/// Guards against calls of a process that was killed whose ends are never told.
#[test]
fn release_after_a_crash_reaches_the_caller() {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut caller = daemon.connect_client();
    establish_call(&mut exchange, &mut caller, TAG);
    daemon.kill();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    exchange.send(RELEASE);
    let mut caller = daemon.connect_client();
    expect_release(&mut caller, TAG, Instant::now() + MAX_RELEASE_FORWARD_DELAY);
}

/// Guards against the end of a call that other hosts are told, although its caller has ended it itself at the new process,
/// which did not know the call.
#[test]
fn release_of_a_call_that_its_caller_has_ended_after_a_crash_is_told_to_nobody() {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut caller = daemon.connect_client_from(CALLER_HOST);
    establish_call(&mut exchange, &mut caller, TAG);
    daemon.kill();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut other = daemon.connect_client_from(OTHER_HOST);
    let mut caller = daemon.connect_client_from(CALLER_HOST);
    caller.send(RELEASE);
    assert!(caller.is_ready());
    exchange.send(RELEASE);
    daemon.wait_for_log("release-unmatched");
    assert!(other.receives_nothing_within(SETTLE_TIME), "another host is told");
    assert!(caller.receives_nothing_within(SETTLE_TIME), "the caller is told of its own release");
}

/// Guards against a release that its caller is sent again because the exchange repeats it, or because it refuses a
/// set-up that was cancelled.
#[test]
fn repeated_release_of_an_own_call_is_not_forwarded() {
    let site = TestSite::new();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut caller = daemon.connect_client();
    establish_call(&mut exchange, &mut caller, TAG);
    exchange.send(RELEASE);
    expect_release(&mut caller, TAG, Instant::now() + MAX_RELEASE_FORWARD_DELAY);
    exchange.send(RELEASE);
    exchange.send(&RELEASE.replace(TAG, OTHER_TAG).replace(r#""rc":16"#, r#""rc":34"#));
    assert!(caller.receives_nothing_within(SETTLE_TIME));
}

/// Starts the daemon with an exchange over lines (cell 1) and one over SIP (cell 2, numbers that begin with 22).
fn start_with_both_fronts(journal: &StubJournal) -> (Daemon, LinePeer, SipPeer) {
    let (listener, addr) = bind_listener();
    let sip_exchange = SipPeer::udp("127.0.0.1:9".parse().expect("a valid address"));
    let sip_addr = sip_exchange.local_addr();
    let mut servers = two_servers(addr).to_vec();
    servers.push(server_entry("s-two", 2, "in_service", sip_addr));
    let operator_file = format!(
        "[sip]\nudp = \"127.0.0.1:0\"\nt1_ms = 100\n\
         [[sip.exchange]]\ncell = 2\naddress = \"{sip_addr}\"\ntransport = \"udp\"\n\
         [[sip.number]]\nprefix = \"21\"\nexchange = 1\nclass = \"voice\"\n"
    );
    let daemon = Daemon::start(&config_json(journal.addr, &servers), Some(&operator_file));
    let exchange = LinePeer::accept(&listener);
    (daemon, exchange, sip_exchange)
}

/// Establishes a call of a caller on a host at a SIP exchange, restarts the process without the caller, and has the
/// exchange end the call. `prepare` is called with the new process before that.
fn restart_and_end_sip_call<T>(
    journal: &StubJournal,
    host: Ipv4Addr,
    prepare: impl FnOnce(&mut Daemon) -> T,
) -> (Daemon, T) {
    let (mut daemon, _exchange, mut sip_exchange) = start_with_both_fronts(journal);
    let mut caller = daemon.connect_client_from(host);
    caller.send_start(TAG, 3000, 2);
    let invite = sip_exchange.expect_message("INVITE");
    let sip_addr = sip_exchange.local_addr();
    sip_exchange.send(&sip_response(&invite, "200 OK", sip_addr, "v=0\r\n"));
    sip_exchange.expect_message("ACK");
    assert!(caller.receive().contains("STARTED"));
    drop(caller);
    daemon.send_sigterm();
    assert!(daemon.exits_successfully());
    assert_eq!(
        sip_exchange.receive_new_within(SETTLE_TIME),
        None,
        "the call is ended without its caller"
    );
    let (mut daemon, _exchange, _) = start_with_both_fronts(journal);
    let prepared = prepare(&mut daemon);
    let mut sender = SipPeer::udp(daemon.sip_addr("udp"));
    let bye = format!(
        "BYE sip:slateshed SIP/2.0\r\nVia: SIP/2.0/UDP {};branch=z9hG4bKb1\r\nMax-Forwards: 70\r\n\
         From: {};tag=callee\r\nTo: {}\r\nCall-ID: {}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n",
        sender.local_addr(),
        sip_header(&invite, "To"),
        sip_header(&invite, "From"),
        sip_header(&invite, "Call-ID"),
    );
    sender.send(&bye);
    sender.expect_message("SIP/2.0 481");
    (daemon, prepared)
}

/// Guards against calls of the lines' front at a SIP exchange whose callers are not connected at a planned restart: the
/// next process is told of the end and tells them.
#[test]
fn bye_after_a_restart_reaches_the_caller_that_has_returned() {
    let journal = StubJournal::new();
    let (mut daemon, ()) = restart_and_end_sip_call(&journal, Ipv4Addr::LOCALHOST, |_| ());
    let mut caller = daemon.connect_client();
    expect_release(&mut caller, TAG, Instant::now() + MAX_RELEASE_FORWARD_DELAY);
}

/// Guards against the end of such a call that other hosts are told, although the Call-ID can name the caller's host.
#[test]
fn bye_after_a_restart_is_told_to_no_other_host() {
    let journal = StubJournal::new();
    let connect_other = |daemon: &mut Daemon| daemon.connect_client_from(OTHER_HOST);
    let (mut daemon, mut other) = restart_and_end_sip_call(&journal, CALLER_HOST, connect_other);
    assert!(other.receives_nothing_within(SETTLE_TIME), "another host is told");
    let mut caller = daemon.connect_client_from(CALLER_HOST);
    expect_release(&mut caller, TAG, Instant::now() + MAX_RELEASE_FORWARD_DELAY);
}

/// Guards against calls with a leg on each front whose other leg is never released at a planned restart.
#[test]
fn planned_restart_releases_both_legs_of_calls_between_the_fronts() {
    let journal = StubJournal::new();
    let (mut daemon, mut exchange, mut sip_exchange) = start_with_both_fronts(&journal);
    let mut sip_caller = SipPeer::udp(daemon.sip_addr("udp"));
    sip_caller.send(&sip_request("INVITE", &sip_caller, 1, "", "", "v=0\r\n"));
    sip_caller.expect_message("SIP/2.0 100");
    let sip_call_tag = exchange.receive_start();
    exchange.send(&format!(r#"{{"verb":"STARTED","tag":"{sip_call_tag}","opts":{{}},"blob":"b"}}"#));
    let answer = sip_caller.expect_message("SIP/2.0 200");
    let ack = sip_request("ACK", &sip_caller, 1, &to_tag(&answer), "", "");
    sip_caller.send(&ack.replace("z9hG4bKinvite", "z9hG4bKack"));
    let mut caller = daemon.connect_client();
    caller.send_start(TAG, 3000, 2);
    let invite = sip_exchange.expect_message("INVITE");
    let sip_addr = sip_exchange.local_addr();
    sip_exchange.send(&sip_response(&invite, "200 OK", sip_addr, "v=0\r\n"));
    sip_exchange.expect_message("ACK");
    assert!(caller.receive().contains("STARTED"));
    daemon.send_sigterm();
    let stopped_at = Instant::now();
    let bye = sip_exchange.expect_message("BYE");
    sip_exchange.send(&sip_response(&bye, "200 OK", sip_addr, ""));
    let bye = sip_caller.expect_message("BYE");
    let caller_addr = sip_caller.local_addr();
    sip_caller.send(&sip_response(&bye, "200 OK", caller_addr, ""));
    expect_release(&mut caller, TAG, stopped_at + MIN_KILL_DELAY);
    expect_release(&mut exchange, &sip_call_tag, stopped_at + MIN_KILL_DELAY);
    assert!(daemon.exits_successfully());
    assert!(stopped_at.elapsed() < MIN_KILL_DELAY);
}

/// Guards against set-ups that arrive while many calls are released at the end of a planned restart, and are not read.
#[test]
fn set_ups_that_arrive_while_calls_are_released_are_answered() {
    const CALL_COUNT: u64 = 1000;
    /// A set-up that crosses the end of its connection within this time is sent again elsewhere.
    const MAX_CROSSING_TIME: Duration = Duration::from_millis(50);
    const SEND_INTERVAL: Duration = Duration::from_millis(2);
    let site = TestSite::new();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let (mut caller, mut sender) = (daemon.connect_client(), daemon.connect_client());
    for n in 0..CALL_COUNT {
        establish_call(&mut exchange, &mut caller, &format!("{n:016x}"));
    }
    // A connection without an answer would be closed.
    assert!(sender.is_ready());
    daemon.send_sigterm();
    std::thread::sleep(Duration::from_millis(3300));
    let mut sent = Vec::new();
    while daemon.is_running() {
        let tag = format!("{:016x}", 0xf000 + sent.len());
        let set_up = format!(
            r#"{{"verb":"START","tag":"{tag}","opts":{{"class":"voice","left":"3000","key":"{tag}","extras":"dest:1;width:1;via:-1"}},"blob":"b"}}"#
        );
        sent.push((tag, Instant::now()));
        sender.send_bytes(format!("{set_up}\n").as_bytes());
        std::thread::sleep(SEND_INTERVAL);
    }
    let ended_at = Instant::now();
    let lines = std::iter::repeat_with(|| sender.receive()).take_while(|line| !line.is_empty());
    let answers: Vec<_> = lines.collect();
    let owed = sent.iter().filter(|(_, at)| *at + MAX_CROSSING_TIME < ended_at);
    let lost: Vec<_> = owed.filter(|(tag, _)| !answers.iter().any(|line| line.contains(tag))).collect();
    assert!(lost.is_empty(), "{} of {} set-ups are lost", lost.len(), sent.len());
}
