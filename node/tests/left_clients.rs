//! Tests of clients that leave: what they gave up by that is not sent on, and a call that comes again on another connection
//! is not set up twice.

mod common;
use common::site::TestSite;
use common::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const TAG: &str = "9b1f03aa5c7e2d41";
const OTHER_TAG: &str = "00000000000000aa";
const GIVE_UP: &str = r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":16}"#;
/// A call is not set up again within this time after its attempt was cancelled.
const RELEASE_DELAY: Duration = Duration::from_millis(500);
/// The release delay is longer by this much, as two connections are involved.
const MARGIN: Duration = Duration::from_millis(100);
/// By then a message that is sent at once would have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(300);

struct Harness {
    daemon: Daemon,
    exchange: LinePeer,
    addr: SocketAddr,
    site: TestSite,
    socket: TcpListener,
}

impl Harness {
    /// Starts the daemon on a socket that another process can take over, with both fronts and one exchange.
    fn new() -> Self {
        let (socket, addr) = bind_listener();
        let site = TestSite::new().with_listen_addr(addr);
        let daemon = site.start_on(&socket);
        let exchange = site.accept_exchange();
        Harness { daemon, exchange, addr, site, socket }
    }

    fn connect_client(&self) -> LinePeer {
        LinePeer::new(TcpStream::connect(self.addr).expect("the daemon listens"))
    }

    /// The set-ups and cancellations that the exchange receives within a time.
    fn received_within(&mut self, timeout: Duration) -> Vec<String> {
        let until = Instant::now() + timeout;
        let mut lines = Vec::new();
        while let Some(time_left) = until.checked_duration_since(Instant::now()) {
            let time_left = time_left.max(Duration::from_millis(1));
            lines.extend(self.exchange.receive_within(time_left).filter(|line| !line.is_empty()));
        }
        lines.retain(|line| line.contains("START") || line.contains("FINISH"));
        lines
    }

    /// Checks that the exchange receives no set-up of a call until the release delay has passed, and that the caller,
    /// which has sent its set-up again, gets its final answer.
    fn expect_not_set_up_again(&mut self, caller: &mut LinePeer) {
        let received = self.received_within(RELEASE_DELAY);
        assert!(!received.iter().any(|line| line.contains("START")), "set up again: {received:?}");
        let answer = caller.receive();
        assert!(answer.contains(r#""rc":42"#), "the repeated set-up is not refused: {answer}");
    }
}

/// Guards against set-ups that are sent on although their client has left, and against ends of calls that are passed
/// over with them.
#[test]
fn set_ups_that_were_not_read_before_the_client_left_are_given_up() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    establish_call(&mut harness.exchange, &mut client, TAG);
    harness.daemon.while_paused(|| {
        for n in 0..300 {
            client.send_start(&format!("{n:016x}"), 3000, 1);
        }
        client.send(GIVE_UP);
        drop(client);
    });
    let received = harness.received_within(SETTLE_TIME);
    assert!(!received.iter().any(|line| line.contains("START")), "sent on: {received:?}");
    assert!(received.iter().any(|line| line.contains(TAG)), "the call is not ended");
}

/// Guards against a call that runs twice: once for the connection that its client has left, and once for the next one.
#[test]
fn call_of_a_client_that_has_left_and_come_again_is_set_up_once() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    establish_call(&mut harness.exchange, &mut client, OTHER_TAG);
    let addr = harness.addr;
    let mut client = harness.daemon.while_paused(|| {
        client.send_start(TAG, 3000, 1);
        drop(client);
        let mut client = LinePeer::new(TcpStream::connect(addr).expect("the daemon listens"));
        client.send_start(TAG, 3000, 1);
        client
    });
    let received = harness.received_within(SETTLE_TIME);
    assert_eq!(received.iter().filter(|line| line.contains("START")).count(), 1, "{received:?}");
    answer_call(&mut harness.exchange, &mut client, TAG);
}

/// Guards against a call that is set up again within the release delay, as its set-up comes again on another connection
/// just after its client has left.
#[test]
fn call_that_comes_again_after_its_client_has_left_waits_for_the_release_delay() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    client.send_start(TAG, 3000, 1);
    assert_eq!(harness.exchange.receive_start(), TAG);
    drop(client);
    let mut client = harness.connect_client();
    client.send_start(TAG, 3000, 1);
    harness.expect_not_set_up_again(&mut client);
}

/// Guards against the same after the caller has given the set-up up on a connection that stays open.
#[test]
fn call_that_comes_again_after_it_was_given_up_waits_for_the_release_delay() {
    let mut harness = Harness::new();
    let (mut client, mut other) = (harness.connect_client(), harness.connect_client());
    assert!(other.is_ready());
    client.send_start(TAG, 3000, 1);
    assert_eq!(harness.exchange.receive_start(), TAG);
    client.send(GIVE_UP);
    assert!(harness.exchange.receive().contains("FINISH"));
    other.send_start(TAG, 3000, 1);
    harness.expect_not_set_up_again(&mut other);
    std::thread::sleep(MARGIN);
    other.send_start(TAG, 3000, 1);
    assert_eq!(harness.exchange.receive_start(), TAG, "the id is refused for too long");
}

/// Guards against the same at the process that replaces the one whose client has left.
#[test]
fn call_that_comes_again_at_the_new_process_waits_for_the_release_delay() {
    let mut harness = Harness::new();
    let mut client = harness.connect_client();
    client.send_start(TAG, 3000, 1);
    assert_eq!(harness.exchange.receive_start(), TAG);
    let mut new_daemon = harness.site.start_on(&harness.socket);
    new_daemon.wait_for_log("started: listening");
    let mut new_exchange = harness.site.accept_exchange();
    harness.daemon.send_sigterm();
    harness.daemon.wait_for_log("handover-started");
    drop(client);
    let mut client = harness.connect_client();
    client.send_start(TAG, 3000, 1);
    assert!(client.receive().contains(r#""rc":42"#), "the repeated set-up is not refused");
    let received = new_exchange.receive_within(SETTLE_TIME);
    assert!(!received.is_some_and(|line| line.contains("START")), "set up again");
}

/// Guards against INVITEs that are sent on although the peer has left their stream.
#[test]
fn invites_that_were_not_read_before_the_peer_left_are_given_up() {
    let site = TestSite::new().with_sip_front();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let addr = daemon.sip_addr("tcp");
    let mut caller = SipPeer::tcp(TcpStream::connect(addr).expect("the SIP front listens"));
    caller.send(&sip_request("OPTIONS", &caller, 1000, "", "", ""));
    caller.expect_message("SIP/2.0 200");
    daemon.while_paused(|| {
        for n in 0..100 {
            caller.send(&sip_request("INVITE", &caller, n, "", "", "v=0\r\n"));
        }
        drop(caller);
    });
    let received = exchange.receive_within(SETTLE_TIME);
    assert!(!received.as_ref().is_some_and(|line| line.contains("START")), "sent on: {received:?}");
}

/// Guards against a call that runs twice, as its INVITE comes again on another path.
#[test]
fn invite_that_comes_again_on_another_path_is_rejected() {
    let site = TestSite::new().with_sip_front();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let mut caller = SipPeer::udp(daemon.sip_addr("udp"));
    let mut other_path = SipPeer::udp(daemon.sip_addr("udp"));
    let invite = sip_request("INVITE", &caller, 1, "", "", "v=0\r\n");
    caller.send(&invite);
    caller.expect_message("SIP/2.0 100");
    exchange.receive_start();
    for is_cancelled in [false, true] {
        if is_cancelled {
            caller.send(&sip_request("CANCEL", &caller, 1, "", "", ""));
            assert!(exchange.receive().contains("FINISH"));
        }
        let branch = format!("z9hG4bKpath{is_cancelled}");
        let addr = other_path.local_addr().to_string();
        let copy = invite.replace("z9hG4bKinvite1", &branch);
        other_path.send(&copy.replace(&caller.local_addr().to_string(), &addr));
        other_path.expect_message("SIP/2.0 482");
    }
    let received = exchange.receive_within(SETTLE_TIME);
    assert!(!received.as_ref().is_some_and(|line| line.contains("START")), "set up again: {received:?}");
}

/// Guards against a call whose INVITE comes again on another stream, after its peer has left the first one, and gets no
/// final response there or is set up again.
#[test]
fn invite_that_comes_again_on_another_stream_gets_a_final_response() {
    let site = TestSite::new().with_sip_front();
    let (mut daemon, mut exchange) = site.start_with_exchange();
    let addr = daemon.sip_addr("tcp");
    let connect = || SipPeer::tcp(TcpStream::connect(addr).expect("the SIP front listens"));
    let mut caller = connect();
    let invite = sip_request("INVITE", &caller, 1, "", "", "v=0\r\n");
    caller.send(&invite);
    caller.expect_message("SIP/2.0 100");
    exchange.receive_start();
    drop(caller);
    assert!(exchange.receive().contains("FINISH"), "the call is not given up");
    let mut caller = connect();
    caller.send(&invite);
    caller.expect_message("SIP/2.0 482");
    // The call is given up by a CANCEL, and its INVITE comes again on another stream.
    let invite = sip_request("INVITE", &caller, 2, "", "", "v=0\r\n");
    caller.send(&invite);
    caller.expect_message("SIP/2.0 100");
    exchange.receive_start();
    caller.send(&sip_request("CANCEL", &caller, 2, "", "", ""));
    assert!(exchange.receive().contains("FINISH"), "the call is not given up");
    let mut other = connect();
    other.send(&invite);
    other.expect_message("SIP/2.0 487");
    let received = exchange.receive_within(SETTLE_TIME);
    assert!(!received.as_ref().is_some_and(|line| line.contains("START")), "set up again: {received:?}");
}
