//! Tests of a client that sends small or unsound requests on one connection at full speed: others are answered as ever,
//! and the memory stays within its limit.

mod common;
use common::site::TestSite;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Others are answered within this time, which is a quarter of the shortest time within which a call is wanted to stand.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(250);
const MEMORY_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// Requests that the flood writes at a time.
const BATCH_SIZE: u64 = 200;
/// Interval at which an INVITE without a response is sent again.
const INVITE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between the requests of the other client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The daemon with both fronts, and an exchange that answers no set-up.
struct FloodHarness {
    /// Held so that the floods of other tests do not take the processor.
    _turn: MutexGuard<'static, ()>,
    daemon: Daemon,
    _exchange: LinePeer,
    _site: TestSite,
}

impl FloodHarness {
    fn new() -> Self {
        static TURN: Mutex<()> = Mutex::new(());
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let site = TestSite::new().with_admin_addr().with_sip_front();
        let (daemon, exchange) = site.start_with_exchange();
        FloodHarness { _turn: turn, daemon, _exchange: exchange, _site: site }
    }

    /// Checks that other clients of both fronts are answered in time while a flood is sent on a connection.
    fn check(&mut self, name: &str, addr: SocketAddr, request: impl Fn(u64) -> String + Send + 'static) {
        self.check_during(name, || Flood::start(addr, request));
    }

    /// Checks that other clients of both fronts are answered in time while a flood is sent, and the memory after that.
    fn check_during(&mut self, name: &str, start_flood: impl FnOnce() -> Flood) {
        let mut client = self.daemon.connect_client();
        let mut stream = SipPeer::tcp(
            TcpStream::connect(self.daemon.sip_addr("tcp")).expect("the SIP front listens"),
        );
        let flood = start_flood();
        let started_at = Instant::now();
        let mut slowest = [Duration::ZERO; 2];
        let mut number = 0;
        while started_at.elapsed() < FLOOD_TIME {
            number += 1;
            let sent_at = Instant::now();
            assert!(client.is_ready());
            slowest[0] = slowest[0].max(sent_at.elapsed());
            let sent_at = Instant::now();
            stream.send(&sip_request("OPTIONS", &stream, 1_000_000 + number, "", "", ""));
            // While there is no room for new calls, the answer is 503.
            stream.expect_message(if name == "INVITE" { "SIP/2.0 " } else { "SIP/2.0 200" });
            slowest[1] = slowest[1].max(sent_at.elapsed());
            std::thread::sleep(REQUEST_INTERVAL);
        }
        let sent = flood.stop();
        let peak = self.daemon.peak_memory_bytes();
        eprintln!("{name}: {sent} requests, slowest answers {slowest:?}, peak {} KB", peak / 1024);
        assert!(slowest.iter().all(|time| *time <= MAX_ANSWER_TIME), "answered after {slowest:?}");
        assert!(peak < MEMORY_LIMIT_BYTES, "{} KB at most", peak / 1024);
    }
}

/// A client that sends requests at full speed and reads what it is sent. It connects again if it is closed.
struct Flood {
    is_stopping: Arc<AtomicBool>,
    thread: JoinHandle<u64>,
}

impl Flood {
    fn start(addr: SocketAddr, request: impl Fn(u64) -> String + Send + 'static) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let is_stopping_flood = Arc::clone(&is_stopping);
        let thread = std::thread::spawn(move || {
            let mut sent = 0;
            while !is_stopping_flood.load(Ordering::Relaxed) {
                let mut stream = TcpStream::connect(addr).expect("the daemon listens");
                let mut reader = stream.try_clone().expect("the stream is cloned");
                std::thread::spawn(move || while reader.read(&mut [0; 65_536]).is_ok_and(|n| n > 0) {});
                while !is_stopping_flood.load(Ordering::Relaxed) {
                    let batch: String = (sent..sent + BATCH_SIZE).map(&request).collect();
                    if stream.write_all(batch.as_bytes()).is_err() {
                        break;
                    }
                    sent += BATCH_SIZE;
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            sent
        });
        Flood { is_stopping, thread }
    }

    /// Sends the requests in datagrams.
    fn start_datagrams(addr: SocketAddr, request: impl Fn(u64) -> String + Send + 'static) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let is_stopping_flood = Arc::clone(&is_stopping);
        let thread = std::thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port is bound");
            let mut sent = 0;
            while !is_stopping_flood.load(Ordering::Relaxed) {
                // A datagram that is not sent is lost like any other.
                let _ = socket.send_to(request(sent).as_bytes(), addr);
                sent += 1;
            }
            sent
        });
        Flood { is_stopping, thread }
    }

    /// Stops the flood and returns the number of requests that were sent.
    fn stop(self) -> u64 {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.thread.join().expect("the flood does not panic")
    }
}

fn set_up(n: u64) -> String {
    format!(
        "{{\"verb\":\"START\",\"tag\":\"{n:016x}\",\"opts\":{{\"class\":\"voice\",\"left\":\"9000\",\"key\":\"{n:016x}\",\
         \"extras\":\"dest:1;width:1;via:-1\"}},\"blob\":\"b\"}}\n"
    )
}

/// Guards against a flood of tests that keeps others waiting.
#[test]
fn others_are_answered_during_a_flood_of_tests() {
    let mut harness = FloodHarness::new();
    let addr = harness.daemon.client_addr();
    harness
        .check("ECHO", addr, |_| "{\"verb\":\"ECHO\",\"tag\":\"e\",\"opts\":{},\"rc\":0}\n".to_owned());
}

/// Guards against a flood of unsound set-ups under new ids that keeps others waiting or fills the memory.
#[test]
fn others_are_answered_during_a_flood_of_unsound_set_ups() {
    let mut harness = FloodHarness::new();
    let addr = harness.daemon.client_addr();
    harness.check("START without a class", addr, |n| set_up(n).replace("voice", ""));
}

/// Guards against a flood of set-ups under new ids and numbers that keeps others waiting or fills the memory.
#[test]
fn others_are_answered_during_a_flood_of_set_ups() {
    let mut harness = FloodHarness::new();
    let addr = harness.daemon.client_addr();
    harness.check("START", addr, set_up);
}

/// Guards against a flood of set-ups that are given up at once that keeps others waiting or fills the memory.
#[test]
fn others_are_answered_during_a_flood_of_set_ups_that_are_given_up() {
    let mut harness = FloodHarness::new();
    let addr = harness.daemon.client_addr();
    harness.check("START and FINISH", addr, |n| {
        set_up(n) + &format!("{{\"verb\":\"FINISH\",\"tag\":\"{n:016x}\",\"opts\":{{}},\"rc\":16}}\n")
    });
}

/// Guards against a flood of lines that are no message, each of which ends its connection.
#[test]
fn others_are_answered_during_a_flood_of_lines_that_are_no_message() {
    let mut harness = FloodHarness::new();
    let addr = harness.daemon.client_addr();
    harness.check("no message", addr, |n| format!("{n}\n"));
}

/// A SIP request of its own transaction and dialog, without a CSeq if it is unsound.
fn sip_flood_request(method: &str, n: u64, is_sound: bool) -> String {
    let cseq = if is_sound { format!("CSeq: 1 {method}\r\n") } else { String::new() };
    format!(
        "{method} sip:2101@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/TCP 127.0.0.1:9;branch=z9hG4bKf{n}\r\nMax-Forwards: 70\r\n\
         From: <sip:f@127.0.0.1>;tag=f{n}\r\nTo: <sip:2101@127.0.0.1>\r\nCall-ID: f{n}\r\n{cseq}Content-Length: 0\r\n\r\n"
    )
}

/// Guards against floods of SIP requests under new names that keep others waiting or fill the memory.
#[test]
fn others_are_answered_during_floods_of_sip_requests() {
    let mut harness = FloodHarness::new();
    let addr = harness.daemon.sip_addr("tcp");
    harness.check("no CSeq", addr, |n| sip_flood_request("OPTIONS", n, false));
    for method in ["OPTIONS", "CANCEL", "INVITE"] {
        harness.check(method, addr, move |n| sip_flood_request(method, n, true));
    }
}

/// Guards against floods of SIP requests in datagrams, under new names, that take up the room for calls of others.
#[test]
fn others_are_answered_during_floods_of_sip_datagrams() {
    let mut harness = FloodHarness::new();
    let addr = harness.daemon.sip_addr("udp");
    for method in ["OPTIONS", "CANCEL", "BYE", "REGISTER"] {
        let request = move |n| sip_flood_request(method, n, true).replace("SIP/2.0/TCP", "SIP/2.0/UDP");
        harness
            .check_during(&format!("{method} in datagrams"), || Flood::start_datagrams(addr, request));
    }
    // The socket may still be full of the flood, in which case the caller sends its INVITE again.
    let mut caller = SipPeer::udp(addr);
    let invite = sip_request("INVITE", &caller, 1, "", "", "v=0\r\n");
    let answer = (0..10).find_map(|_| {
        caller.send(&invite);
        caller.receive_within(INVITE_INTERVAL)
    });
    assert!(answer.is_some_and(|a| a.starts_with("SIP/2.0 100")), "there is no room for another call");
}
