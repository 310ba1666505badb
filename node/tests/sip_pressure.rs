//! Tests of the SIP front under pressure: while there is no room for new calls, those that exist here are ended as ever,
//! and the memory stays within its limit.

mod common;
use common::site::TestSite;
use common::*;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const SDP: &str = "v=0\r\n";
/// A release is forwarded to its caller within this time.
const MAX_RELEASE_FORWARD_DELAY: Duration = Duration::from_millis(1050);
/// Requests of a flood that are sent before their responses are read.
const FLOOD_BATCH: u32 = 50;
/// Upper limit of the requests that fill the table of transactions.
const MAX_FLOOD: u32 = 20_000;

/// The daemon with a SIP front and one exchange, over the same transport as the callers.
struct PressureHarness {
    daemon: Daemon,
    transport: &'static str,
    exchange: Option<SipPeer>,
    addr: SocketAddr,
    site: TestSite,
}

impl PressureHarness {
    fn new(transport: &'static str) -> Self {
        Self::with_config(transport, str::to_owned)
    }

    fn with_config(transport: &'static str, edit_config: impl Fn(&str) -> String) -> Self {
        let (listener, tcp_addr) = bind_listener();
        let udp_peer = SipPeer::udp(tcp_addr);
        let (exchange, addr) = match transport {
            "udp" => {
                let addr = udp_peer.local_addr();
                (Some(udp_peer), addr)
            }
            _ => (None, tcp_addr),
        };
        let operator_file = format!(
            "[sip]\nudp = \"127.0.0.1:0\"\ntcp = \"127.0.0.1:0\"\n\
             [[sip.exchange]]\ncell = 1\naddress = \"{addr}\"\ntransport = \"{transport}\"\n\
             [[sip.number]]\nprefix = \"21\"\nexchange = 1\nclass = \"voice\"\n"
        );
        let site = TestSite::with_servers(listener, &two_servers(addr))
            .with_operator_file(operator_file)
            .with_config(edit_config);
        PressureHarness { daemon: site.start(), transport, exchange, addr, site }
    }

    fn connect_caller(&mut self) -> SipPeer {
        let addr = self.daemon.sip_addr(self.transport);
        match self.transport {
            "udp" => SipPeer::udp(addr),
            _ => SipPeer::tcp(TcpStream::connect(addr).expect("the SIP front listens")),
        }
    }

    /// The exchange. Over TCP the first call waits until the daemon connects.
    fn exchange(&mut self) -> &mut SipPeer {
        let site = &self.site;
        self.exchange.get_or_insert_with(|| SipPeer::tcp(site.accept_exchange().into_stream()))
    }

    /// The caller sends an INVITE, and the exchange receives it.
    fn invite(&mut self, caller: &mut SipPeer, call_number: u32) -> String {
        caller.send(&sip_request("INVITE", caller, call_number, "", "", SDP));
        caller.expect_message("SIP/2.0 100");
        self.exchange().expect_message("INVITE")
    }

    /// The exchange answers an INVITE. Returns the answer that the caller receives.
    fn answer(&mut self, caller: &mut SipPeer, invite: &str) -> String {
        let addr = self.addr;
        self.exchange().send(&sip_response(invite, "200 OK", addr, SDP));
        self.exchange().expect_message("ACK");
        caller.expect_message("SIP/2.0 200")
    }

    /// Fills the table of transactions over UDP, where they are kept, with INVITEs to a number that does not exist.
    fn fill_table(&mut self) {
        let mut flooder = SipPeer::udp(self.daemon.sip_addr("udp"));
        for first in (0..MAX_FLOOD).step_by(FLOOD_BATCH as usize) {
            for n in first..first + FLOOD_BATCH {
                let invite = sip_request("INVITE", &flooder, 1_000_000 + n, "", "", SDP);
                flooder.send(&invite.replace("sip:2101@", "sip:9901@"));
            }
            while let Some(response) = flooder.receive_within(Duration::from_millis(20)) {
                if response.starts_with("SIP/2.0 503") {
                    return;
                }
            }
        }
        panic!("the table has room for {MAX_FLOOD} transactions");
    }
}

/// The ACK of a 2xx.
fn ack(caller: &SipPeer, call_number: u32, answer: &str) -> String {
    sip_request("ACK", caller, call_number, &to_tag(answer), "", "")
        .replace("z9hG4bKinvite", "z9hG4bKack")
}

/// A BYE from the exchange within the dialog of an INVITE that it has answered.
fn bye_from_exchange(invite: &str, own_addr: SocketAddr) -> String {
    let transport = &sip_header(invite, "Via")[..11];
    format!(
        "BYE sip:slateshed SIP/2.0\r\nVia: {transport} {own_addr};branch=z9hG4bKb{}\r\nMax-Forwards: 70\r\n\
         From: {};tag=callee\r\nTo: {}\r\nCall-ID: {}\r\nCSeq: 7 BYE\r\nContent-Length: 0\r\n\r\n",
        sip_header(invite, "Call-ID"),
        sip_header(invite, "To"),
        sip_header(invite, "From"),
        sip_header(invite, "Call-ID"),
    )
}

/// Guards against a BYE, a CANCEL or an ACK that gets lost because there is no room for new requests.
fn check_calls_end_under_pressure(transport: &'static str) {
    let mut harness = PressureHarness::with_config(transport, |config| {
        config.replace(r#""memory_mb":32"#, r#""memory_mb":8"#)
    });
    let addr = harness.addr;
    let mut callers: Vec<_> = (0..4).map(|_| harness.connect_caller()).collect();
    let [by_exchange, by_caller, ringing, unacknowledged] = &mut callers[..] else {
        unreachable!("there are four callers");
    };
    let first_invite = harness.invite(by_exchange, 1);
    let answer = harness.answer(by_exchange, &first_invite);
    by_exchange.send(&ack(by_exchange, 1, &answer));
    let invite = harness.invite(by_caller, 2);
    let second_answer = harness.answer(by_caller, &invite);
    by_caller.send(&ack(by_caller, 2, &second_answer));
    let invite = harness.invite(unacknowledged, 4);
    let late_answer = harness.answer(unacknowledged, &invite);
    let invite = harness.invite(ringing, 3);
    harness.exchange().send(&sip_response(&invite, "180 Ringing", addr, ""));
    harness.fill_table();
    // The ACK ends the retransmission of the answer.
    unacknowledged.send(&ack(unacknowledged, 4, &late_answer));
    // The CANCEL of the caller.
    ringing.send(&sip_request("CANCEL", ringing, 3, "", "", ""));
    let answers = [ringing.expect_message("SIP/2.0 "), ringing.expect_message("SIP/2.0 ")];
    assert!(answers.iter().any(|a| a.starts_with("SIP/2.0 200")), "{answers:?}");
    assert!(answers.iter().any(|a| a.starts_with("SIP/2.0 487")), "{answers:?}");
    harness.exchange().expect_message("CANCEL");
    // The BYE of the exchange.
    let released_at = Instant::now();
    harness.exchange().send(&bye_from_exchange(&first_invite, addr));
    harness.exchange().expect_message("SIP/2.0 200");
    let bye = by_exchange.expect_message("BYE");
    assert!(released_at.elapsed() < MAX_RELEASE_FORWARD_DELAY);
    let own_addr = by_exchange.local_addr();
    by_exchange.send(&sip_response(&bye, "200 OK", own_addr, ""));
    // The BYE of the caller.
    by_caller.send(&sip_request("BYE", by_caller, 2, &to_tag(&second_answer), "", ""));
    by_caller.expect_message("SIP/2.0 200");
    let bye = harness.exchange().expect_message("BYE");
    harness.exchange().send(&sip_response(&bye, "200 OK", addr, ""));
    // A BYE of no call, and a new call.
    by_caller.send(&sip_request("BYE", by_caller, 5, ";tag=none", "", ""));
    by_caller.expect_message("SIP/2.0 481");
    by_caller.send(&sip_request("INVITE", by_caller, 6, "", "", SDP));
    let refusal = by_caller.expect_message("SIP/2.0 503");
    assert!(!sip_header(&refusal, "Retry-After").is_empty());
    while unacknowledged.receive_within(Duration::from_millis(100)).is_some() {}
    assert_eq!(unacknowledged.receive_within(Duration::from_millis(4100)), None, "the ACK is lost");
}

#[test]
fn calls_end_under_pressure_over_udp() {
    check_calls_end_under_pressure("udp");
}

#[test]
fn calls_end_under_pressure_over_tcp() {
    check_calls_end_under_pressure("tcp");
}

/// Guards against releases that cannot be sent, and against new connections that are turned away, because idle
/// connections take up the whole limit.
#[test]
fn release_is_sent_on_a_new_connection_while_all_are_taken() {
    let mut harness = PressureHarness::new("tcp");
    let (contact_listener, contact) = bind_listener();
    let mut caller = harness.connect_caller();
    let own_contact = format!("Contact: <sip:drill@{}>", caller.local_addr());
    let invite = sip_request("INVITE", &caller, 1, "", "", SDP);
    caller.send(&invite.replace(&own_contact, &format!("Contact: <sip:drill@{contact}>")));
    caller.expect_message("SIP/2.0 100");
    let invite = harness.exchange().expect_message("INVITE");
    let answer = harness.answer(&mut caller, &invite);
    caller.send(&ack(&caller, 1, &answer));
    caller.send(&sip_request("OPTIONS", &caller, 2, "", "", ""));
    caller.expect_message("SIP/2.0 200");
    drop(caller);
    // Each connection has been used, so none of them counts as silent.
    let mut idle = Vec::new();
    for n in 0..64 {
        let mut peer = harness.connect_caller();
        peer.send(&sip_request("OPTIONS", &peer, 100 + n, "", "", ""));
        peer.expect_message("SIP/2.0 200");
        idle.push(peer);
    }
    let bye = bye_from_exchange(&invite, harness.addr);
    harness.exchange().send(&bye);
    harness.exchange().expect_message("SIP/2.0 200");
    let released_at = Instant::now();
    let stream = LinePeer::accept_within(&contact_listener, MAX_RELEASE_FORWARD_DELAY);
    let stream = stream.expect("the caller is not released").into_stream();
    SipPeer::tcp(stream).expect_message("BYE sip:drill@");
    assert!(released_at.elapsed() < MAX_RELEASE_FORWARD_DELAY);
}

/// Guards against calls with large session descriptions that take more memory than the limit.
#[test]
fn flood_of_large_invites_stays_within_the_memory_limit() {
    const MEMORY_LIMIT_BYTES: usize = 32 * 1024 * 1024;
    const FLOOD_SIZE: u32 = 1500;
    let mut harness = PressureHarness::new("udp");
    let mut flooder = harness.connect_caller();
    let description = format!("v=0\r\ns={}\r\n", "x".repeat(50_000));
    for n in 0..FLOOD_SIZE {
        flooder.send(&sip_request("INVITE", &flooder, n, "", "", &description));
        if n % 10 == 0 {
            while flooder.receive_within(Duration::from_millis(1)).is_some() {}
            // The exchange answers half of them.
            while let Some(invite) = harness.exchange().receive_within(Duration::from_millis(1)) {
                let addr = harness.addr;
                if invite.starts_with("INVITE") && n % 20 == 0 {
                    harness.exchange().send(&sip_response(&invite, "200 OK", addr, &description));
                }
            }
        }
    }
    let peak = harness.daemon.peak_memory_bytes();
    assert!(peak < MEMORY_LIMIT_BYTES, "{} MB at most", peak / 1024 / 1024);
    assert!(harness.daemon.is_running());
}

/// Guards against BYEs of a standing call that are out of order, each kept in a transaction of its own without a limit.
#[test]
fn flood_of_byes_out_of_order_stays_within_the_memory_limit() {
    const MEMORY_LIMIT_BYTES: usize = 32 * 1024 * 1024;
    const FLOOD_SIZE: u32 = 40_000;
    let mut harness = PressureHarness::new("udp");
    let mut caller = harness.connect_caller();
    let invite = harness.invite(&mut caller, 1);
    let answer = harness.answer(&mut caller, &invite);
    caller.send(&ack(&caller, 1, &answer));
    // The sequence number of the INVITE again.
    let bye = sip_request("BYE", &caller, 1, &to_tag(&answer), "", "").replace("CSeq: 2", "CSeq: 1");
    for n in 0..FLOOD_SIZE {
        caller.send(&bye.replace("z9hG4bKbye1", &format!("z9hG4bKbye1x{n}")));
        if n % FLOOD_BATCH == 0 {
            while caller.receive_within(Duration::from_millis(1)).is_some() {}
        }
    }
    let peak = harness.daemon.peak_memory_bytes();
    assert!(peak < MEMORY_LIMIT_BYTES, "{} KB at most", peak / 1024);
    caller.send(&sip_request("BYE", &caller, 1, &to_tag(&answer), "", ""));
    while !caller.receive_within(WAIT_TIMEOUT).expect("the BYE is answered").starts_with("SIP/2.0 200") {
    }
}
