//! End-to-end tests of the SIP front, with scripted callers and exchanges, over UDP and TCP.

mod common;
use common::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const OFFER_SDP: &str = "v=0\r\nm=audio 31000 RTP/AVP 0\r\n";
const ANSWER_SDP: &str = "v=0\r\nm=audio 32000 RTP/AVP 0\r\n";

/// The exchange that the harness plays. Over TCP it listens until the daemon connects.
enum FakeExchange {
    Connected(SipPeer),
    Listening(TcpListener),
}

/// The daemon with a SIP front, one exchange that the test scripts, and the stream of the stub journal service.
struct SipHarness {
    daemon: Daemon,
    fake_exchange: FakeExchange,
    journal: LinePeer,
    addr: SocketAddr,
}

impl SipHarness {
    /// Starts the daemon with one exchange, which it reaches over SIP and which serves the numbers that begin with 21.
    fn new(transport: &str) -> SipHarness {
        Self::with_config(transport, |config| config)
    }

    /// The same with settings that allow liveness checks of exchanges.
    fn with_probing(transport: &str) -> SipHarness {
        Self::with_config(transport, |config| {
            config.replace(r#""allowed":{"#, r#""allowed":{"probing":true,"#)
        })
    }

    fn with_config(transport: &str, edit_config: impl Fn(String) -> String) -> SipHarness {
        let placeholder_addr = "127.0.0.1:9".parse().expect("a valid address");
        let (fake_exchange, addr) = match transport {
            "udp" => {
                let peer = SipPeer::udp(placeholder_addr);
                let addr = peer.local_addr();
                (FakeExchange::Connected(peer), addr)
            }
            _ => {
                let (listener, addr) = bind_listener();
                (FakeExchange::Listening(listener), addr)
            }
        };
        let journal = StubJournal::new();
        let servers =
            [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)];
        // A short T1 causes many retransmissions.
        let operator_file = format!(
            "[sip]\nudp = \"127.0.0.1:0\"\ntcp = \"127.0.0.1:0\"\nt1_ms = 100\n\
             [[sip.exchange]]\ncell = 1\naddress = \"{addr}\"\ntransport = \"{transport}\"\n\
             [[sip.number]]\nprefix = \"21\"\nexchange = 1\nclass = \"voice\"\n\
             [[sip.number]]\nprefix = \"3\"\nexchange = 2\nclass = \"voice\"\n"
        );
        let daemon = Daemon::start(
            &edit_config(with_admin_addr(&config_json(journal.addr, &servers))),
            Some(&operator_file),
        );
        let journal = journal.accept();
        SipHarness { daemon, fake_exchange, journal, addr }
    }

    /// A caller that sends to the SIP front.
    fn connect_caller(&mut self, transport: &str) -> SipPeer {
        let addr = self.daemon.sip_addr(transport);
        match transport {
            "udp" => SipPeer::udp(addr),
            _ => SipPeer::tcp(TcpStream::connect(addr).expect("the SIP front listens")),
        }
    }

    /// The scripted exchange. Over TCP the first call waits until the daemon connects.
    fn exchange(&mut self) -> &mut SipPeer {
        if let FakeExchange::Listening(listener) = &self.fake_exchange {
            self.fake_exchange = FakeExchange::Connected(SipPeer::tcp(
                listener.accept().expect("a connection is accepted").0,
            ));
        }
        match &mut self.fake_exchange {
            FakeExchange::Connected(peer) => peer,
            FakeExchange::Listening(_) => unreachable!("the connection is accepted above"),
        }
    }

    /// The caller sends an INVITE, and the exchange receives it and answers 180. Returns the INVITE that the exchange
    /// received.
    fn ring_exchange(&mut self, caller: &mut SipPeer, call_number: u32, extra_headers: &str) -> String {
        caller.send(&sip_request("INVITE", caller, call_number, "", extra_headers, OFFER_SDP));
        caller.expect_message("SIP/2.0 100");
        let addr = self.addr;
        let exchange = self.exchange();
        let invite = exchange.expect_message("INVITE sip:2101@");
        assert!(invite.ends_with(OFFER_SDP), "the session description was changed");
        exchange.send(&sip_response(&invite, "180 Ringing", addr, ""));
        invite
    }

    /// Establishes a call: both sides have their answer and its ACK. Returns the To tag of the caller's dialog, and the
    /// INVITE that the exchange received.
    fn establish_call(&mut self, caller: &mut SipPeer, call_number: u32) -> (String, String) {
        let invite = self.ring_exchange(caller, call_number, "");
        let addr = self.addr;
        self.exchange().send(&sip_response(&invite, "200 OK", addr, ANSWER_SDP));
        self.exchange().expect_message("ACK");
        let answer = caller.expect_message("SIP/2.0 200");
        assert!(answer.ends_with(ANSWER_SDP), "the session description of the answer was changed");
        let tag = to_tag(&answer);
        caller.send(
            &sip_request("ACK", caller, call_number, &tag, "", "")
                .replace("z9hG4bKinvite", "z9hG4bKack"),
        );
        (tag, invite)
    }
}

/// A request from the exchange within the dialog of an INVITE that it has answered.
fn request_from_exchange(method: &str, invite: &str, own_addr: SocketAddr) -> String {
    let via = sip_header(invite, "Via");
    let transport = &via[..via.find(' ').expect("Via has a space after the transport")];
    format!(
        "{method} sip:slateshed SIP/2.0\r\nVia: {transport} {own_addr};branch=z9hG4bKx1\r\nMax-Forwards: 70\r\n\
         From: {};tag=callee\r\nTo: {}\r\nCall-ID: {}\r\nCSeq: 7 {method}\r\nContent-Length: 0\r\n\r\n",
        sip_header(invite, "To"),
        sip_header(invite, "From"),
        sip_header(invite, "Call-ID"),
    )
}

/// Guards against messages that are not forwarded between the two legs, or answered twice, whichever side ends the
/// call.
fn check_call_and_release_from_both_sides(caller_transport: &str, exchange_transport: &str) {
    let mut harness = SipHarness::new(exchange_transport);
    let mut caller = harness.connect_caller(caller_transport);
    let (tag, _) = harness.establish_call(&mut caller, 1);
    caller.send(&sip_request("BYE", &caller, 1, &tag, "", ""));
    caller.expect_message("SIP/2.0 200");
    let addr = harness.addr;
    let bye = harness.exchange().expect_message("BYE");
    harness.exchange().send(&sip_response(&bye, "200 OK", addr, ""));
    // The exchange ends the next call.
    let (_, invite) = harness.establish_call(&mut caller, 2);
    let bye = request_from_exchange("BYE", &invite, addr);
    harness.exchange().send(&bye);
    harness.exchange().expect_message("SIP/2.0 200");
    let bye = caller.expect_message("BYE sip:drill@");
    let own_addr = caller.local_addr();
    caller.send(&sip_response(&bye, "200 OK", own_addr, ""));
    assert_eq!(
        caller.receive_new_within(Duration::from_millis(400)),
        None,
        "the caller received more than one final answer"
    );
}

#[test]
fn call_is_answered_and_released_from_either_side_over_udp() {
    check_call_and_release_from_both_sides("udp", "udp");
}

#[test]
fn call_is_answered_and_released_from_either_side_over_tcp() {
    check_call_and_release_from_both_sides("tcp", "tcp");
}

#[test]
fn call_received_over_tcp_is_forwarded_over_udp() {
    check_call_and_release_from_both_sides("tcp", "udp");
}

/// Guards against treating a retransmission as a new call after its INVITE was cancelled, and against a retry within
/// 500 ms of a CANCEL.
#[test]
fn retransmitted_invite_after_cancel_gets_the_same_487_and_starts_no_call() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    let invite = harness.ring_exchange(&mut caller, 1, "");
    caller.send(&sip_request("CANCEL", &caller, 1, "", "", ""));
    caller.expect_message("SIP/2.0 200");
    let terminated = caller.expect_message("SIP/2.0 487");
    let cancel = harness.exchange().expect_message("CANCEL");
    assert_eq!(
        sip_header(&cancel, "Via"),
        sip_header(&invite, "Via"),
        "CANCEL and its INVITE differ in their branch"
    );
    let addr = harness.addr;
    harness.exchange().send(&sip_response(&cancel, "200 OK", addr, ""));
    harness.exchange().send(&sip_response(&invite, "487 Request Terminated", addr, ""));
    harness.exchange().expect_message("ACK");
    caller.send(&sip_request("INVITE", &caller, 1, "", "", OFFER_SDP));
    caller.expect_retransmission(&terminated);
    caller.send(&sip_request("ACK", &caller, 1, &to_tag(&terminated), "", ""));
    assert_eq!(
        harness.exchange().receive_new_within(Duration::from_millis(700)),
        None,
        "the exchange received a new message"
    );
    assert_eq!(
        caller.receive_new_within(Duration::from_millis(300)),
        None,
        "the caller received more than one final answer"
    );
}

/// Guards against an answer that crosses the CANCEL and leaves a call established without a caller.
#[test]
fn answer_that_crosses_the_cancel_is_acknowledged_and_released() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    let invite = harness.ring_exchange(&mut caller, 1, "");
    caller.send(&sip_request("CANCEL", &caller, 1, "", "", ""));
    harness.exchange().expect_message("CANCEL");
    let addr = harness.addr;
    harness.exchange().send(&sip_response(&invite, "200 OK", addr, ANSWER_SDP));
    harness.exchange().expect_message("ACK");
    harness.exchange().expect_message("BYE");
}

/// Guards against refusals without the time after which to retry, and against retransmissions after the ACK.
fn check_refusal_with_retry_after(transport: &str) {
    let mut harness = SipHarness::new(transport);
    let mut caller = harness.connect_caller(transport);
    let invite = harness.ring_exchange(&mut caller, 1, "");
    let addr = harness.addr;
    harness.exchange().send(&sip_response(&invite, "503 Service Unavailable", addr, ""));
    harness.exchange().expect_message("ACK");
    let refusal = caller.expect_message("SIP/2.0 503");
    assert_eq!(sip_header(&refusal, "Retry-After"), "1", "not in whole seconds, rounded up");
    caller.send(&sip_request("ACK", &caller, 1, &to_tag(&refusal), "", ""));
    assert_eq!(
        caller.receive_new_within(Duration::from_millis(500)),
        None,
        "the caller received a message after its ACK"
    );
}

#[test]
fn call_to_a_full_exchange_gets_503_with_retry_after_over_udp() {
    check_refusal_with_retry_after("udp");
}

#[test]
fn call_to_a_full_exchange_gets_503_with_retry_after_over_tcp() {
    check_refusal_with_retry_after("tcp");
}

/// Guards against callers that get no final answer within the time in Expires.
#[test]
fn call_that_only_rings_is_refused_and_cancelled_by_its_expires_time() {
    for transport in ["udp", "tcp"] {
        let mut harness = SipHarness::new(transport);
        let mut caller = harness.connect_caller(transport);
        let started_at = Instant::now();
        harness.ring_exchange(&mut caller, 1, "Expires: 1\r\n");
        caller.expect_message("SIP/2.0 503");
        assert!(
            started_at.elapsed() >= Duration::from_millis(800),
            "the exchange had too little time to answer"
        );
        harness.exchange().expect_message("CANCEL");
    }
}

/// Guards against a dialog that ends, or a new call that is sent to the exchange, once the exchange starts to drain.
#[test]
fn dialog_continues_while_its_exchange_drains_and_ends_when_it_is_gone() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    harness.establish_call(&mut caller, 1);
    let addr = harness.addr;
    harness.journal.send(&journal_event(2, false, &[server_entry("s-one", 1, "terminating", addr)]));
    harness.daemon.wait_for_log("list: event 2");
    assert_eq!(
        caller.receive_new_within(Duration::from_millis(600)),
        None,
        "the dialog ended during the drain"
    );
    caller.send(&sip_request("INVITE", &caller, 2, "", "", OFFER_SDP));
    caller.expect_message("SIP/2.0 100");
    let refusal = caller.expect_message("SIP/2.0 503");
    caller.send(&sip_request("ACK", &caller, 2, &to_tag(&refusal), "", ""));
    assert_eq!(
        harness.exchange().receive_new_within(Duration::from_millis(300)),
        None,
        "the draining exchange received a new message"
    );
    harness.journal.send(&journal_event(3, false, &[server_entry("s-one", 1, "terminated", addr)]));
    caller.expect_message("BYE sip:drill@");
}

/// Guards against malformed messages that are accepted, that get no response, or that affect more than their own
/// stream.
#[test]
fn malformed_messages_get_400_and_garbage_closes_at_most_its_stream() {
    for transport in ["udp", "tcp"] {
        let mut harness = SipHarness::new(transport);
        let mut caller = harness.connect_caller(transport);
        let valid = sip_request("INVITE", &caller, 1, "", "", OFFER_SDP);
        for malformed in
            [valid.replace("CSeq: 1 INVITE", "CSeq: one"), valid.replace("From: <", "From: <<")]
        {
            caller.send(&malformed);
            caller.expect_message("SIP/2.0 400");
        }
        caller.send(&valid.replace("sip:2101@", "sip:99@").replace("invite1", "invite99"));
        caller.expect_message("SIP/2.0 404");
        caller.send(&sip_request("BYE", &caller, 3, ";tag=none", "", ""));
        caller.expect_message("SIP/2.0 481");
        let mut invalid_caller = harness.connect_caller(transport);
        invalid_caller.send("\u{0}\u{1} what\r\nis this\r\n\r\n");
        if transport == "tcp" {
            assert_eq!(
                invalid_caller.receive_new_within(WAIT_TIMEOUT),
                None,
                "the stream is not closed"
            );
        }
        let mut new_caller = harness.connect_caller(transport);
        harness.ring_exchange(&mut new_caller, 4, "");
        assert!(harness.daemon.is_running());
    }
}

/// Guards against streams that stay open without sending anything, or without completing a message.
#[test]
fn stream_without_a_complete_message_is_closed() {
    let mut harness = SipHarness::new("udp");
    let (mut silent_stream, mut partial_stream, mut second_message_stream) =
        (harness.connect_caller("tcp"), harness.connect_caller("tcp"), harness.connect_caller("tcp"));
    partial_stream.send("INVITE sip:2101@127.0.0.1 SIP/2.0\r\nVia: ");
    let options = sip_request("OPTIONS", &second_message_stream, 1, "", "", "");
    second_message_stream.send(&format!("{options}INVITE sip:"));
    second_message_stream.expect_message("SIP/2.0 200");
    for stream in [&mut silent_stream, &mut partial_stream, &mut second_message_stream] {
        assert!(stream.wait_for_close());
    }
}

/// Guards against an invalid answer that is forwarded as a valid one with an empty session description.
#[test]
fn answer_whose_body_is_not_utf8_is_released_and_not_forwarded() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    let invite = harness.ring_exchange(&mut caller, 1, "");
    let (addr, exchange) = (harness.addr, harness.exchange());
    let mut invalid = sip_response(&invite, "200 OK", addr, "v=0!").into_bytes();
    let last_index = invalid.len() - 1;
    invalid[last_index] = 0xff;
    exchange.send_bytes(&invalid);
    exchange.expect_message("ACK");
    let bye = exchange.expect_message("BYE");
    exchange.send(&sip_response(&bye, "200 OK", addr, ""));
    // The set-up may be repeated, so it is retried after the release delay.
    let retry = exchange.expect_message("INVITE");
    exchange.send(&sip_response(&retry, "486 Busy Here", addr, ""));
    assert!(caller.expect_message("SIP/2.0 503").contains("Retry-After"));
}

/// Guards against an answer that is lost, and against two different final answers to one INVITE.
#[test]
fn over_udp_a_2xx_is_retransmitted_until_its_ack() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    let invite = harness.ring_exchange(&mut caller, 1, "");
    let addr = harness.addr;
    harness.exchange().send(&sip_response(&invite, "200 OK", addr, ANSWER_SDP));
    let ack = harness.exchange().expect_message("ACK");
    let first = caller.expect_message("SIP/2.0 200");
    caller.expect_retransmission(&first);
    // A late retransmission of the INVITE changes nothing.
    caller.send(&sip_request("INVITE", &caller, 1, "", "", OFFER_SDP));
    caller.expect_retransmission(&first);
    // The exchange retransmits its 2xx, as if the ACK were lost.
    harness.exchange().send(&sip_response(&invite, "200 OK", addr, ANSWER_SDP));
    harness.exchange().expect_retransmission(&ack);
}

/// Guards against retransmitting an INVITE after its attempt was cancelled: it would be a second attempt once the call
/// has been sent to another exchange.
#[test]
fn invite_cancelled_before_any_response_is_not_retransmitted() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    caller.send(&sip_request("INVITE", &caller, 1, "", "Expires: 1\r\n", OFFER_SDP));
    caller.expect_message("SIP/2.0 100");
    let invite = harness.exchange().expect_message("INVITE");
    harness.exchange().expect_retransmission(&invite);
    caller.expect_message("SIP/2.0 503");
    while harness.exchange().receive_within(Duration::from_millis(100)).is_some() {}
    assert_eq!(harness.exchange().receive_within(Duration::from_millis(1500)), None);
    // A late response still causes a CANCEL.
    let addr = harness.addr;
    harness.exchange().send(&sip_response(&invite, "180 Ringing", addr, ""));
    harness.exchange().expect_message("CANCEL");
}

/// Guards against a dialog that is ended by a peer that is not part of it.
#[test]
fn bye_with_a_different_from_tag_gets_481() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    let (tag, _) = harness.establish_call(&mut caller, 1);
    caller.send(&sip_request("BYE", &caller, 1, &tag, "", "").replace("tag=caller1", "tag=other"));
    caller.expect_message("SIP/2.0 481");
    assert_eq!(
        harness.exchange().receive_new_within(Duration::from_millis(300)),
        None,
        "the exchange received a message of the other dialog"
    );
}

/// Guards against dialogs that stay established after the daemon has exited, when nothing can end them any more.
#[test]
fn graceful_shutdown_ends_dialogs_on_both_sides() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    harness.establish_call(&mut caller, 1);
    harness.daemon.send_sigterm();
    let addr = harness.addr;
    let bye = harness.exchange().expect_message("BYE");
    harness.exchange().send(&sip_response(&bye, "200 OK", addr, ""));
    let (bye, own_addr) = (caller.expect_message("BYE"), caller.local_addr());
    caller.send(&sip_response(&bye, "200 OK", own_addr, ""));
    assert!(harness.daemon.exits_successfully());
}

/// Guards against a drain that only one front applies, or that makes SIP callers lose their calls: OPTIONS gets 503, and
/// calls that still arrive are accepted.
#[test]
fn drained_controller_answers_options_with_503_and_still_accepts_calls() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    for (call_number, operator_command, status) in
        [(1, "LEAVE", "SIP/2.0 503"), (2, "JOIN", "SIP/2.0 200")]
    {
        assert_eq!(harness.daemon.operator_request(operator_command), ["done"]);
        caller.send(&sip_request("OPTIONS", &caller, call_number, "", "", ""));
        caller.expect_message(status);
        harness.establish_call(&mut caller, 10 + call_number);
    }
    assert!(harness.daemon.operator_request("DUMP")[0]
        .contains(r#""succeeded":2,"declined":0,"aborted":0}},"forwards":2"#));
}

/// Guards against fronts that can't forward calls to each other: a call from the JSON-lines front is forwarded over SIP
/// and ended from there, and a call from SIP is forwarded to an exchange over JSON lines.
#[test]
fn calls_are_forwarded_between_the_sip_and_lines_fronts() {
    let mut harness = SipHarness::new("udp");
    let addr = harness.addr;
    let mut client = harness.daemon.connect_client();
    client.send_start("9b1f03aa5c7e2d41", 3000, 1);
    let invite = harness.exchange().expect_message("INVITE sip:9b1f03aa5c7e2d41@");
    harness.exchange().send(&sip_response(&invite, "200 OK", addr, ANSWER_SDP));
    harness.exchange().expect_message("ACK");
    insta::assert_snapshot!(client.receive(), @r#"{"verb":"STARTED","tag":"9b1f03aa5c7e2d41","opts":{},"blob":"v=0\r\nm=audio 32000 RTP/AVP 0\r\n"}"#);
    harness.exchange().send(&request_from_exchange("BYE", &invite, addr));
    harness.exchange().expect_message("SIP/2.0 200");
    insta::assert_snapshot!(client.receive(), @r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":16}"#);
    // Numbers that begin with 3 belong to an exchange that uses JSON lines.
    let (exchange_listener, addr) = bind_listener();
    harness.journal.send(&journal_event(2, false, &[server_entry("s-two", 2, "in_service", addr)]));
    let mut exchange = LinePeer::accept(&exchange_listener);
    let mut caller = harness.connect_caller("udp");
    let to_number_3101 = |message: String| message.replace("sip:2101@127", "sip:3101@127");
    caller.send(&to_number_3101(sip_request("INVITE", &caller, 7, "", "", OFFER_SDP)));
    caller.expect_message("SIP/2.0 100");
    let tag = exchange.receive_start();
    exchange.send(&format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"by lines"}}"#));
    let answer = caller.expect_message("SIP/2.0 200");
    assert!(answer.ends_with("by lines"));
    let dialog_tag = to_tag(&answer);
    caller.send(&to_number_3101(sip_request("ACK", &caller, 7, &dialog_tag, "", "")));
    caller.send(&to_number_3101(sip_request("BYE", &caller, 7, &dialog_tag, "", "")));
    caller.expect_message("SIP/2.0 200");
    assert!(exchange.receive().contains(&format!(r#""FINISH","tag":"{tag}","opts":{{}},"rc":16"#)));
}

/// Guards against requests that bypass the proxies which added themselves in Record-Route.
#[test]
fn requests_within_a_dialog_follow_its_record_route() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    let invite = harness.ring_exchange(&mut caller, 1, "");
    let (addr, unused_target) = (harness.addr, harness.addr);
    let mut proxies = [SipPeer::udp(unused_target), SipPeer::udp(unused_target)];
    let [near, far] = [proxies[0].local_addr(), proxies[1].local_addr()];
    let routes = format!("Record-Route: <sip:{far};lr>, <sip:{near};lr>\r\nContact:");
    harness
        .exchange()
        .send(&sip_response(&invite, "200 OK", addr, ANSWER_SDP).replace("Contact:", &routes));
    let ack = proxies[0].expect_message(&format!("ACK sip:{addr} "));
    let route: Vec<_> = ack.lines().filter(|l| l.starts_with("Route: ")).collect();
    assert_eq!(route, [format!("Route: <sip:{near};lr>"), format!("Route: <sip:{far};lr>")]);
    let tag = to_tag(&caller.expect_message("SIP/2.0 200"));
    caller.send(&sip_request("BYE", &caller, 1, &tag, "", ""));
    proxies[0].expect_message(&format!("BYE sip:{addr} "));
}

/// Guards against dialogs that stay established at an exchange whose host has failed. A call is kept while its exchange
/// answers OPTIONS within the dialog, and released once the exchange no longer answers.
fn check_call_is_kept_while_options_are_answered(transport: &str) {
    let mut harness = SipHarness::with_probing(transport);
    let mut caller = harness.connect_caller("udp");
    harness.establish_call(&mut caller, 1);
    let (addr, started_at) = (harness.addr, Instant::now());
    while started_at.elapsed() < Duration::from_secs(4) {
        let options = harness.exchange().expect_message("OPTIONS");
        harness.exchange().send(&sip_response(&options, "200 OK", addr, ""));
    }
    let silent_since = Instant::now();
    assert_eq!(
        caller.receive_new_within(Duration::from_millis(100)),
        None,
        "the call ended although the exchange answers"
    );
    caller.expect_message("BYE sip:drill@");
    assert!(
        silent_since.elapsed() < Duration::from_secs(8),
        "released after {:?}",
        silent_since.elapsed()
    );
}

#[test]
fn call_is_kept_while_the_exchange_answers_options_over_udp() {
    check_call_is_kept_while_options_are_answered("udp");
}

#[test]
fn call_is_kept_while_the_exchange_answers_options_over_tcp() {
    check_call_is_kept_while_options_are_answered("tcp");
}

/// Guards against dialogs that stay established at an exchange process which has restarted and knows none of them.
#[test]
fn calls_are_released_when_the_exchange_answers_options_with_481() {
    let mut harness = SipHarness::with_probing("udp");
    let mut caller = harness.connect_caller("udp");
    harness.establish_call(&mut caller, 1);
    harness.establish_call(&mut caller, 2);
    let addr = harness.addr;
    for _ in 0..2 {
        let options = harness.exchange().expect_message("OPTIONS");
        harness.exchange().send(&sip_response(
            &options,
            "481 Call/Transaction Does Not Exist",
            addr,
            "",
        ));
        caller.expect_message("BYE sip:drill@");
    }
}

/// Guards against OPTIONS where the settings don't allow liveness checks, and against calls that are released because
/// an OPTIONS that was never sent has no answer.
#[test]
fn without_probing_no_options_are_sent_and_the_call_is_kept() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("udp");
    harness.establish_call(&mut caller, 1);
    assert_eq!(harness.exchange().receive_new_within(Duration::from_secs(9)), None);
    assert_eq!(caller.receive_new_within(Duration::from_millis(100)), None);
}

/// Guards against a BYE that is lost with the caller's stream and never sent again.
#[test]
fn bye_lost_with_the_stream_is_sent_again_on_another_one() {
    let mut harness = SipHarness::new("udp");
    let mut caller = harness.connect_caller("tcp");
    let (listener, contact) = bind_listener();
    // The caller accepts connections at another address than that of its stream.
    let own_addr = caller.local_addr();
    let invite = sip_request("INVITE", &caller, 1, "", "", OFFER_SDP).replace(
        &format!("Contact: <sip:drill@{own_addr}>"),
        &format!("Contact: <sip:drill@{contact}>"),
    );
    caller.send(&invite);
    caller.expect_message("SIP/2.0 100");
    let addr = harness.addr;
    let invite = harness.exchange().expect_message("INVITE sip:2101@");
    harness.exchange().send(&sip_response(&invite, "200 OK", addr, ANSWER_SDP));
    harness.exchange().expect_message("ACK");
    let tag = to_tag(&caller.expect_message("SIP/2.0 200"));
    let ack = sip_request("ACK", &caller, 1, &tag, "", "").replace("z9hG4bKinvite", "z9hG4bKack");
    caller.send(&ack);
    std::thread::sleep(Duration::from_millis(100));
    harness.exchange().send(&request_from_exchange("BYE", &invite, addr));
    harness.exchange().expect_message("SIP/2.0 200");
    // The stream ends with the BYE on it, to which there is no response.
    std::thread::sleep(Duration::from_millis(100));
    drop(caller);
    let stream = LinePeer::accept(&listener).into_stream();
    let bye = SipPeer::tcp(stream).expect_message("BYE sip:drill@");
    assert_eq!(sip_header(&bye, "Call-ID"), "call-1");
}
