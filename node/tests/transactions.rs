//! The transactions by themselves, on a clock of the test: what is sent when, by the timers of RFC 3261.

use ezk_sip_types::Method;
use slateshed_node::arena::Token;
use slateshed_node::net::sip::message::{self, Message};
use slateshed_node::net::sip::transaction::*;
use std::rc::Rc;
use std::time::Duration;

/// Transactions that each side has room for.
const MOST: usize = 3;

struct Side {
    transactions: Transactions,
    protocol: Protocol,
    now: Duration,
    wakes: Vec<(Duration, Token, Timer)>,
    /// What went out, and when, in milliseconds.
    said: String,
}

impl Side {
    fn new(protocol: Protocol) -> Self {
        let ms = Duration::from_millis;
        let times = Times { t1: ms(500), t2: ms(4000), t4: ms(5000) };
        let transactions = Transactions::new(times, MOST);
        Side { transactions, protocol, now: Duration::ZERO, wakes: Vec::new(), said: String::new() }
    }

    fn target(&self) -> Target {
        Target {
            protocol: self.protocol,
            addr: "127.0.0.1:5060".parse().expect("an address"),
            conn: None,
        }
    }

    fn note(&mut self, what: &str) {
        self.said +=
            &format!("{}{} {what}", if self.said.is_empty() { "" } else { ", " }, self.now.as_millis());
    }

    fn take(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(_, _, bytes) => {
                    let text = String::from_utf8(bytes.to_vec()).expect("text");
                    let word =
                        text.split(' ').find(|w| *w != "SIP/2.0").expect("a first line").to_owned();
                    self.note(&word);
                }
                Output::Wake(at, token, timer) => self.wakes.push((at, token, timer)),
            }
        }
    }

    fn pass(&mut self, time: u64) {
        let until = self.now + Duration::from_millis(time);
        loop {
            self.wakes.sort_by_key(|(at, ..)| *at);
            if self.wakes.first().is_none_or(|(at, ..)| *at > until) {
                break;
            }
            let (at, token, timer) = self.wakes.remove(0);
            self.now = at;
            let mut out = Vec::new();
            if self.transactions.due(at, token, timer, &mut out) {
                self.note("failed");
            }
            self.take(out);
        }
        self.now = until;
    }

    fn request(&mut self, method: &str) -> Token {
        let sent = Sent {
            uri: "sip:21@127.0.0.1".into(),
            via: "SIP/2.0/UDP 127.0.0.1;branch=z9hG4bKb".into(),
            from: "<sip:a@127.0.0.1>;tag=a".into(),
            to: "<sip:21@127.0.0.1>".into(),
            call_id: "c".into(),
            cseq: 1,
            routes: Vec::new(),
        };
        let bytes = sent.follow_up(method, &sent.to);
        let (mut out, to) = (Vec::new(), (self.target(), Some(Rc::new(sent))));
        let token = self.transactions.request(self.now, method, "z9hG4bKb", bytes, to, &mut out);
        self.take(out);
        token
    }

    fn response(&mut self, method: &str, status: u16) -> Taken {
        let m = parse(&message::response(&parse(&wire(method)).headers, status, "b", &[], ""));
        let mut out = Vec::new();
        let taken = self.transactions.response(self.now, &m, &mut out);
        self.take(out);
        taken
    }

    fn take_request(&mut self, method: Method) -> Taken {
        let (m, target, mut out) = (parse(&wire(&method.to_string())), self.target(), Vec::new());
        let taken = self.transactions.take_request(self.now, &m, &method, target, &mut out);
        self.take(out);
        taken
    }

    fn respond(&mut self, token: Token, method: &str, status: u16) {
        let bytes = message::response(&parse(&wire(method)).headers, status, "b", &[], "");
        let mut out = Vec::new();
        self.transactions.respond(self.now, token, status, bytes, &mut out);
        self.take(out);
    }
}

fn wire(method: &str) -> Vec<u8> {
    let cseq = format!("1 {method}");
    let via = "SIP/2.0/UDP 127.0.0.1;branch=z9hG4bKb";
    let headers = [("Via", via), ("From", "<sip:a@127.0.0.1>;tag=a"), ("To", "<sip:21@127.0.0.1>")];
    let headers = [&headers[..], &[("Call-ID", "c"), ("CSeq", &cseq)]].concat();
    message::request(method, "sip:21@127.0.0.1", &headers, "")
}

fn parse(bytes: &[u8]) -> Message {
    message::parse(bytes).expect("well formed")
}

#[test]
fn timers_a_and_b_send_an_invite_again_and_end_it() {
    let mut udp = Side::new(Protocol::Udp);
    udp.request("INVITE");
    udp.pass(60_000);
    insta::assert_snapshot!(udp.said, @"0 INVITE, 500 INVITE, 1500 INVITE, 3500 INVITE, 7500 INVITE, 15500 INVITE, 31500 INVITE, 32000 failed");
    let mut tcp = Side::new(Protocol::Tcp);
    tcp.request("INVITE");
    tcp.pass(60_000);
    insta::assert_snapshot!(tcp.said, @"0 INVITE, 32000 failed");
}

#[test]
fn timers_e_and_f_send_another_request_again_and_end_it() {
    let mut side = Side::new(Protocol::Udp);
    side.request("BYE");
    side.pass(60_000);
    insta::assert_snapshot!(side.said, @"0 BYE, 500 BYE, 1500 BYE, 3500 BYE, 7500 BYE, 11500 BYE, 15500 BYE, 19500 BYE, 23500 BYE, 27500 BYE, 31500 BYE, 32000 failed");
}

#[test]
fn a_provisional_response_stops_timer_a_and_a_refusal_is_acknowledged_each_time_until_timer_d() {
    let mut side = Side::new(Protocol::Udp);
    let tx = side.request("INVITE");
    side.pass(100);
    assert_eq!(side.response("INVITE", 180), Taken::Response(tx));
    side.pass(40_000);
    assert_eq!(side.response("INVITE", 503), Taken::Response(tx));
    side.pass(4000);
    assert_eq!(side.response("INVITE", 503), Taken::Absorbed);
    side.pass(28_000);
    assert_eq!(side.response("INVITE", 503), Taken::Stray);
    insta::assert_snapshot!(side.said, @"0 INVITE, 40100 ACK, 44100 ACK");
}

#[test]
fn timers_g_and_h_send_a_refusal_again_and_end_it_without_an_ack() {
    let mut side = Side::new(Protocol::Udp);
    let Taken::Request(tx) = side.take_request(Method::INVITE) else { panic!("not new") };
    side.respond(tx, "INVITE", 503);
    side.respond(tx, "INVITE", 200);
    side.pass(60_000);
    insta::assert_snapshot!(side.said, @"0 503, 500 503, 1500 503, 3500 503, 7500 503, 11500 503, 15500 503, 19500 503, 23500 503, 27500 503, 31500 503, 32000 failed");
}

#[test]
fn an_ack_stops_timer_g_and_timer_i_absorbs_what_is_late() {
    let mut side = Side::new(Protocol::Udp);
    let Taken::Request(tx) = side.take_request(Method::INVITE) else { panic!("not new") };
    side.respond(tx, "INVITE", 100);
    assert_eq!(side.take_request(Method::INVITE), Taken::Absorbed);
    side.respond(tx, "INVITE", 503);
    side.pass(600);
    assert_eq!(side.take_request(Method::ACK), Taken::Absorbed);
    side.pass(4900);
    assert_eq!(side.take_request(Method::INVITE), Taken::Absorbed);
    assert_eq!(side.take_request(Method::ACK), Taken::Absorbed);
    side.pass(200);
    assert!(matches!(side.take_request(Method::INVITE), Taken::Request(_)), "timer I is over");
    insta::assert_snapshot!(side.said, @"0 100, 0 100, 0 503, 500 503");
}

#[test]
fn after_a_2xx_invites_are_absorbed_until_timer_l_and_acks_go_to_the_dialog() {
    let mut side = Side::new(Protocol::Udp);
    let Taken::Request(tx) = side.take_request(Method::INVITE) else { panic!("not new") };
    side.respond(tx, "INVITE", 200);
    side.pass(31_000);
    assert_eq!(side.take_request(Method::INVITE), Taken::Absorbed);
    assert_eq!(side.take_request(Method::ACK), Taken::Ack);
    side.pass(2000);
    assert!(matches!(side.take_request(Method::INVITE), Taken::Request(_)));
    insta::assert_snapshot!(side.said, @"0 200");
}

#[test]
fn timers_j_and_k_keep_the_others_for_what_is_late() {
    let mut server = Side::new(Protocol::Udp);
    let Taken::Request(tx) = server.take_request(Method::BYE) else { panic!("not new") };
    server.respond(tx, "BYE", 200);
    server.pass(31_000);
    assert_eq!(server.take_request(Method::BYE), Taken::Absorbed);
    server.pass(2000);
    assert!(matches!(server.take_request(Method::BYE), Taken::Request(_)));
    insta::assert_snapshot!(server.said, @"0 200, 31000 200");
    let mut client = Side::new(Protocol::Udp);
    let tx = client.request("BYE");
    assert_eq!(client.response("BYE", 200), Taken::Response(tx));
    client.pass(4900);
    assert_eq!(client.response("BYE", 200), Taken::Absorbed);
    client.pass(200);
    assert_eq!(client.response("BYE", 200), Taken::Stray);
    insta::assert_snapshot!(client.said, @"0 BYE");
}

/// Guards against an INVITE given up that goes on being sent.
#[test]
fn a_hushed_invite_waits_without_being_sent() {
    let mut side = Side::new(Protocol::Udp);
    let tx = side.request("INVITE");
    side.pass(600);
    side.transactions.hush(tx);
    side.pass(10_000);
    assert_eq!(side.response("INVITE", 180), Taken::Response(tx));
    insta::assert_snapshot!(side.said, @"0 INVITE, 500 INVITE");
}

/// Guards against a flood of requests that fills the memory: over UDP each would be kept for 64 times T1.
#[test]
fn requests_beyond_the_bound_are_not_taken_and_those_taken_go_on() {
    let mut udp = Side::new(Protocol::Udp);
    for method in [Method::INVITE, Method::OPTIONS, Method::BYE] {
        assert!(matches!(udp.take_request(method), Taken::Request(_)));
    }
    assert_eq!(udp.take_request(Method::REGISTER), Taken::Full);
    assert_eq!(udp.take_request(Method::INVITE), Taken::Absorbed, "a retransmission");
    assert!(matches!(udp.response("INVITE", 200), Taken::Stray));
}
