//! Tests of the SIP transactions without sockets and on a simulated clock: what the timers of RFC 3261 send, and when.

use ezk_sip_types::Method;
use slateshed_node::arena::Token;
use slateshed_node::net::sip::message::{self, Message};
use slateshed_node::net::sip::transaction::*;
use std::rc::Rc;
use std::time::Duration;

/// Number of transactions from which on the tested table rejects new requests that it receives.
const MAX_TRANSACTIONS: usize = 3;

/// A table of transactions, its timers, and a clock that the test advances.
struct TransactionHarness {
    transactions: Transactions,
    protocol: Protocol,
    now: Duration,
    pending_timers: Vec<(Duration, Token, Timer)>,
    /// What was sent, and when in milliseconds: the method or status of each message, and `failed` for each transaction
    /// that timed out.
    trace: String,
}

impl TransactionHarness {
    fn new(protocol: Protocol) -> Self {
        let ms = Duration::from_millis;
        let times = Times { t1: ms(500), t2: ms(4000), t4: ms(5000) };
        let transactions = Transactions::new(times, MAX_TRANSACTIONS * TRANSACTION_OVERHEAD_BYTES);
        TransactionHarness {
            transactions,
            protocol,
            now: Duration::ZERO,
            pending_timers: Vec::new(),
            trace: String::new(),
        }
    }

    fn target(&self) -> Target {
        Target {
            protocol: self.protocol,
            addr: "127.0.0.1:5060".parse().expect("a valid address"),
            conn: None,
        }
    }

    /// Appends an entry with the current time to the trace.
    fn record(&mut self, text: &str) {
        self.trace +=
            &format!("{}{} {text}", if self.trace.is_empty() { "" } else { ", " }, self.now.as_millis());
    }

    /// Traces the messages and keeps the timers that the transactions ask for.
    fn handle_output(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(_, _, bytes) => {
                    let text = String::from_utf8(bytes.to_vec()).expect("the message is UTF-8");
                    let method_or_status = text
                        .split(' ')
                        .find(|word| *word != "SIP/2.0")
                        .expect("the message has a first line")
                        .to_owned();
                    self.record(&method_or_status);
                }
                Output::StartTimer(at, token, timer) => self.pending_timers.push((at, token, timer)),
            }
        }
    }

    /// Advances the clock, and runs each timer at its due time.
    fn advance(&mut self, duration_ms: u64) {
        let end = self.now + Duration::from_millis(duration_ms);
        loop {
            self.pending_timers.sort_by_key(|(at, ..)| *at);
            if self.pending_timers.first().is_none_or(|(at, ..)| *at > end) {
                break;
            }
            let (at, token, timer) = self.pending_timers.remove(0);
            self.now = at;
            let mut outputs = Vec::new();
            if self.transactions.timer_due(at, token, timer, &mut outputs) {
                self.record("failed");
            }
            self.handle_output(outputs);
        }
        self.now = end;
    }

    /// Sends a request in a new client transaction.
    fn send_request(&mut self, method: &str) -> Token {
        let sent = SentInvite {
            uri: "sip:21@127.0.0.1".into(),
            via: "SIP/2.0/UDP 127.0.0.1;branch=z9hG4bKb".into(),
            from: "<sip:a@127.0.0.1>;tag=a".into(),
            to: "<sip:21@127.0.0.1>".into(),
            call_id: "c".into(),
            cseq: 1,
            routes: Vec::new(),
        };
        let bytes = sent.ack_or_cancel(method, &sent.to);
        let (mut outputs, to) = (Vec::new(), (self.target(), Some(Rc::new(sent))));
        let token =
            self.transactions.send_request(self.now, method, "z9hG4bKb", bytes, to, &mut outputs);
        self.handle_output(outputs);
        token
    }

    /// Receives a response to a request that [`Self::send_request`] sent.
    fn receive_response(&mut self, method: &str, status: u16) -> ReceiveResult {
        let parsed =
            parse(&message::response(&parse(&request_bytes(method)).headers, status, "b", &[], ""));
        let mut outputs = Vec::new();
        let result = self.transactions.receive_response(self.now, &parsed, &mut outputs);
        self.handle_output(outputs);
        result
    }

    /// Receives a request of a peer.
    fn receive_request(&mut self, method: Method) -> ReceiveResult {
        self.receive_admitted_request(method, Admission::IfRoom)
    }

    fn receive_admitted_request(&mut self, method: Method, admission: Admission) -> ReceiveResult {
        let (parsed, target, mut outputs) =
            (parse(&request_bytes(&method.to_string())), self.target(), Vec::new());
        let result = self.transactions.receive_request(
            self.now,
            &parsed,
            &method,
            target,
            admission,
            &mut outputs,
        );
        self.handle_output(outputs);
        result
    }

    /// Sends a response in a server transaction.
    fn send_response(&mut self, token: Token, method: &str, status: u16) {
        let bytes = message::response(&parse(&request_bytes(method)).headers, status, "b", &[], "");
        let mut outputs = Vec::new();
        self.transactions.send_response(self.now, token, status, bytes, &mut outputs);
        self.handle_output(outputs);
    }
}

/// A request as it is on the wire.
fn request_bytes(method: &str) -> Vec<u8> {
    let cseq = format!("1 {method}");
    let via = "SIP/2.0/UDP 127.0.0.1;branch=z9hG4bKb";
    let headers = [("Via", via), ("From", "<sip:a@127.0.0.1>;tag=a"), ("To", "<sip:21@127.0.0.1>")];
    let headers = [&headers[..], &[("Call-ID", "c"), ("CSeq", &cseq)]].concat();
    message::request(method, "sip:21@127.0.0.1", &headers, "")
}

fn parse(bytes: &[u8]) -> Message {
    message::parse(bytes).expect("the message is well formed")
}

#[test]
fn timers_a_and_b_retransmit_an_invite_and_time_it_out() {
    let mut udp = TransactionHarness::new(Protocol::Udp);
    udp.send_request("INVITE");
    udp.advance(60_000);
    insta::assert_snapshot!(udp.trace, @"0 INVITE, 500 INVITE, 1500 INVITE, 3500 INVITE, 7500 INVITE, 15500 INVITE, 31500 INVITE, 32000 failed");
    let mut tcp = TransactionHarness::new(Protocol::Tcp);
    tcp.send_request("INVITE");
    tcp.advance(60_000);
    insta::assert_snapshot!(tcp.trace, @"0 INVITE, 32000 failed");
}

#[test]
fn timers_e_and_f_retransmit_another_request_and_time_it_out() {
    let mut harness = TransactionHarness::new(Protocol::Udp);
    harness.send_request("BYE");
    harness.advance(60_000);
    insta::assert_snapshot!(harness.trace, @"0 BYE, 500 BYE, 1500 BYE, 3500 BYE, 7500 BYE, 11500 BYE, 15500 BYE, 19500 BYE, 23500 BYE, 27500 BYE, 31500 BYE, 32000 failed");
}

#[test]
fn provisional_response_stops_timer_a_and_each_refusal_gets_an_ack_until_timer_d() {
    let mut harness = TransactionHarness::new(Protocol::Udp);
    let transaction = harness.send_request("INVITE");
    harness.advance(100);
    assert_eq!(harness.receive_response("INVITE", 180), ReceiveResult::Response(transaction));
    harness.advance(40_000);
    assert_eq!(harness.receive_response("INVITE", 503), ReceiveResult::Response(transaction));
    harness.advance(4000);
    assert_eq!(harness.receive_response("INVITE", 503), ReceiveResult::Absorbed);
    harness.advance(28_000);
    assert_eq!(harness.receive_response("INVITE", 503), ReceiveResult::Stray);
    insta::assert_snapshot!(harness.trace, @"0 INVITE, 40100 ACK, 44100 ACK");
}

#[test]
fn timers_g_and_h_retransmit_a_refusal_and_time_it_out_without_an_ack() {
    let mut harness = TransactionHarness::new(Protocol::Udp);
    let ReceiveResult::Request(transaction) = harness.receive_request(Method::INVITE) else {
        panic!("not a new transaction")
    };
    harness.send_response(transaction, "INVITE", 503);
    harness.send_response(transaction, "INVITE", 200);
    harness.advance(60_000);
    insta::assert_snapshot!(harness.trace, @"0 503, 500 503, 1500 503, 3500 503, 7500 503, 11500 503, 15500 503, 19500 503, 23500 503, 27500 503, 31500 503, 32000 failed");
}

#[test]
fn ack_stops_timer_g_and_late_messages_are_absorbed_until_timer_i() {
    let mut harness = TransactionHarness::new(Protocol::Udp);
    let ReceiveResult::Request(transaction) = harness.receive_request(Method::INVITE) else {
        panic!("not a new transaction")
    };
    harness.send_response(transaction, "INVITE", 100);
    assert_eq!(harness.receive_request(Method::INVITE), ReceiveResult::Absorbed);
    harness.send_response(transaction, "INVITE", 503);
    harness.advance(600);
    assert_eq!(harness.receive_request(Method::ACK), ReceiveResult::Absorbed);
    harness.advance(4900);
    assert_eq!(harness.receive_request(Method::INVITE), ReceiveResult::Absorbed);
    assert_eq!(harness.receive_request(Method::ACK), ReceiveResult::Absorbed);
    harness.advance(200);
    assert!(
        matches!(harness.receive_request(Method::INVITE), ReceiveResult::Request(_)),
        "absorbed after timer I"
    );
    insta::assert_snapshot!(harness.trace, @"0 100, 0 100, 0 503, 500 503");
}

#[test]
fn after_a_2xx_invites_are_absorbed_until_timer_l_and_acks_go_to_the_dialog() {
    let mut harness = TransactionHarness::new(Protocol::Udp);
    let ReceiveResult::Request(transaction) = harness.receive_request(Method::INVITE) else {
        panic!("not a new transaction")
    };
    harness.send_response(transaction, "INVITE", 200);
    harness.advance(31_000);
    assert_eq!(harness.receive_request(Method::INVITE), ReceiveResult::Absorbed);
    assert_eq!(harness.receive_request(Method::ACK), ReceiveResult::Ack);
    harness.advance(2000);
    assert!(matches!(harness.receive_request(Method::INVITE), ReceiveResult::Request(_)));
    insta::assert_snapshot!(harness.trace, @"0 200");
}

#[test]
fn late_messages_of_other_transactions_are_absorbed_until_timers_j_and_k() {
    let mut server = TransactionHarness::new(Protocol::Udp);
    let ReceiveResult::Request(transaction) = server.receive_request(Method::BYE) else {
        panic!("not a new transaction")
    };
    server.send_response(transaction, "BYE", 200);
    server.advance(31_000);
    assert_eq!(server.receive_request(Method::BYE), ReceiveResult::Absorbed);
    server.advance(2000);
    assert!(matches!(server.receive_request(Method::BYE), ReceiveResult::Request(_)));
    insta::assert_snapshot!(server.trace, @"0 200, 31000 200");
    let mut client = TransactionHarness::new(Protocol::Udp);
    let transaction = client.send_request("BYE");
    assert_eq!(client.receive_response("BYE", 200), ReceiveResult::Response(transaction));
    client.advance(4900);
    assert_eq!(client.receive_response("BYE", 200), ReceiveResult::Absorbed);
    client.advance(200);
    assert_eq!(client.receive_response("BYE", 200), ReceiveResult::Stray);
    insta::assert_snapshot!(client.trace, @"0 BYE");
}

/// Guards against retransmitting an INVITE whose attempt was cancelled before any response.
#[test]
fn cancelled_invite_is_not_retransmitted_but_accepts_responses() {
    let mut harness = TransactionHarness::new(Protocol::Udp);
    let transaction = harness.send_request("INVITE");
    harness.advance(600);
    harness.transactions.stop_retransmission(transaction);
    harness.advance(10_000);
    assert_eq!(harness.receive_response("INVITE", 180), ReceiveResult::Response(transaction));
    insta::assert_snapshot!(harness.trace, @"0 INVITE, 500 INVITE");
}

/// Guards against a flood of requests that exhausts the memory: over UDP each is kept for 64 times T1.
#[test]
fn requests_beyond_the_limit_are_rejected_and_existing_transactions_continue() {
    let mut udp = TransactionHarness::new(Protocol::Udp);
    for method in [Method::INVITE, Method::OPTIONS, Method::BYE] {
        assert!(matches!(udp.receive_request(method), ReceiveResult::Request(_)));
    }
    assert_eq!(udp.receive_request(Method::REGISTER), ReceiveResult::TableFull);
    assert!(
        matches!(
            udp.receive_admitted_request(Method::CANCEL, Admission::Always),
            ReceiveResult::Request(_)
        ),
        "a request that ends a call is rejected"
    );
    assert_eq!(
        udp.receive_request(Method::INVITE),
        ReceiveResult::Absorbed,
        "the retransmission is not absorbed"
    );
    assert!(matches!(udp.receive_response("INVITE", 200), ReceiveResult::Stray));
}
