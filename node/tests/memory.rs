//! Tests of the memory limit: many clients that send large messages slowly, in part or with very many fields.

mod common;
use common::site::TestSite;
use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MEMORY_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// By then the daemon has read what was sent to it.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Pause of the client that writes a small message slowly, well below the time that it has for its message.
const SMALL_MESSAGE_PAUSE: Duration = Duration::from_millis(500);
/// So many clients may be connected before idle ones have to make way for others.
const CLIENT_COUNT: usize = 500;
/// More SIP streams than may be open at a time.
const STREAM_COUNT: usize = 250;
/// Just below the maximum length of a message of the platform.
const LARGE_LINE_BYTES: usize = 16_000;
/// Just below the maximum length of a SIP message.
const LARGE_SIP_BYTES: usize = 65_000;

/// The daemon with both fronts, a limit of 1,024 descriptors and one exchange over lines.
struct MemoryHarness {
    daemon: Daemon,
    site: TestSite,
}

impl MemoryHarness {
    fn new() -> Self {
        let site = TestSite::new().with_four_connections().with_sip_front();
        let daemon = site.start();
        MemoryHarness { daemon, site }
    }

    /// Checks the memory, and that another client of the lines' front is answered.
    fn expect_within_limit(&mut self) {
        std::thread::sleep(SETTLE_TIME);
        assert!(self.daemon.is_running());
        let peak = self.daemon.peak_memory_bytes();
        eprintln!("peak {} KB", peak / 1024);
        assert!(peak < MEMORY_LIMIT_BYTES, "{} KB at most", peak / 1024);
        assert!(self.daemon.connect_client().is_ready());
    }
}

/// Connects many clients, each of which writes the same bytes in pieces of a length.
fn write_slowly(addr: SocketAddr, count: usize, bytes: &[u8], piece_length: usize) -> Vec<TcpStream> {
    let connect = || TcpStream::connect(addr).expect("the daemon listens");
    let mut streams: Vec<_> = (0..count).map(|_| connect()).collect();
    for stream in &streams {
        stream.set_nodelay(true).expect("the option is set");
    }
    for piece in bytes.chunks(piece_length) {
        for stream in &mut streams {
            // The daemon may have closed it.
            let _ = stream.write_all(piece);
        }
    }
    streams
}

/// Guards against clients that stop half way through a large set-up and together take more memory than the limit.
#[test]
fn clients_that_stop_in_a_large_set_up_stay_within_the_memory_limit() {
    let mut harness = MemoryHarness::new();
    let addr = harness.daemon.client_addr();
    let part = format!(r#"{{"verb":"START","blob":"{}"#, "x".repeat(LARGE_LINE_BYTES));
    let _clients = write_slowly(addr, CLIENT_COUNT, part.as_bytes(), 1000);
    harness.expect_within_limit();
}

/// Guards against SIP streams that stop half way through a large head of very many short fields.
#[test]
fn streams_that_stop_in_a_large_head_stay_within_the_memory_limit() {
    let mut harness = MemoryHarness::new();
    let addr = harness.daemon.sip_addr("tcp");
    let head = format!("INVITE sip:2101@127.0.0.1 SIP/2.0\r\n{}", "a:b\r\n".repeat(LARGE_SIP_BYTES / 5));
    let _streams = write_slowly(addr, STREAM_COUNT, head.as_bytes(), 4000);
    harness.expect_within_limit();
}

/// Guards against clients of both fronts that each stay within their limit and together do not, and against the end of
/// a client that writes a small message slowly meanwhile.
#[test]
fn slow_clients_of_both_fronts_together_stay_within_the_memory_limit() {
    let mut harness = MemoryHarness::new();
    let (addr, sip_addr) = (harness.daemon.client_addr(), harness.daemon.sip_addr("tcp"));
    let part = format!(r#"{{"verb":"START","blob":"{}"#, "x".repeat(LARGE_LINE_BYTES));
    let _clients = write_slowly(addr, CLIENT_COUNT, part.as_bytes(), 1000);
    let head = format!("INVITE sip:2101@127.0.0.1 SIP/2.0\r\n{}", "a:b\r\n".repeat(LARGE_SIP_BYTES / 5));
    let _streams = write_slowly(sip_addr, STREAM_COUNT, head.as_bytes(), 4000);
    let mut small = LinePeer::new(TcpStream::connect(addr).expect("the daemon listens"));
    small.send_bytes(br#"{"verb":"ECHO","tag":"e","#);
    std::thread::sleep(SMALL_MESSAGE_PAUSE);
    small.send(r#""opts":{},"rc":0}"#);
    assert!(small.receive().contains("ECHOED"), "the small message is lost");
    harness.expect_within_limit();
}

/// Guards against calls over SIP whose very many short header fields are kept.
#[test]
fn calls_with_very_many_header_fields_stay_within_the_memory_limit() {
    let mut harness = MemoryHarness::new();
    let mut caller = SipPeer::udp(harness.daemon.sip_addr("udp"));
    let fields = "a:b\r\n".repeat(LARGE_SIP_BYTES / 5 - 200);
    for n in 0..300 {
        caller.send(&sip_request("INVITE", &caller, n, "", &fields, "v=0\r\n"));
        caller.receive_within(Duration::from_millis(5));
    }
    harness.expect_within_limit();
}

/// Guards against established calls that keep the large descriptions with which they were set up.
#[test]
fn established_calls_with_large_descriptions_stay_within_the_memory_limit() {
    let mut harness = MemoryHarness::new();
    let mut exchanges: Vec<_> = (0..4).map(|_| harness.site.accept_exchange()).collect();
    let mut client = harness.daemon.connect_client();
    let description = "x".repeat(LARGE_LINE_BYTES - 300);
    for n in 0..2000 {
        let tag = format!("{n:016x}");
        client.send(&format!(
            r#"{{"verb":"START","tag":"{tag}","opts":{{"class":"voice","left":"3000","key":"{tag}","extras":"dest:1;width:1;via:-1"}},"blob":"{description}"}}"#
        ));
        let exchange = (0..exchanges.len()).cycle().find(|i| {
            exchanges[*i].receive_within(Duration::from_millis(1)).is_some_and(|l| l.contains("START"))
        });
        let exchange = &mut exchanges[exchange.expect("the set-up is received")];
        exchange.send(&format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"b"}}"#));
        assert!(client.receive().contains("STARTED"));
    }
    harness.expect_within_limit();
}
