//! Tests of a new exchange process at the address of one that has gone: it is not taken for the old one.

mod common;
use common::site::TestSite;
use common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TAG: &str = "9b1f03aa5c7e2d41";
const OTHER_TAG: &str = "00000000000000aa";
/// Nothing new is sent to an exchange later than this after the news that it is gone.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// A call is not set up again within this time after its attempt was cancelled.
const RELEASE_DELAY: Duration = Duration::from_millis(500);

struct Harness {
    daemon: Daemon,
    site: TestSite,
    addr: SocketAddr,
    journal: LinePeer,
}

impl Harness {
    /// Starts the daemon with exchange 1.
    fn new() -> Self {
        let site = TestSite::new();
        let mut daemon = site.start();
        daemon.wait_for_log("started");
        let addr = site.listener.local_addr().expect("the socket has an address");
        let journal = site.journal.accept();
        Harness { daemon, site, addr, journal }
    }

    fn tell(&mut self, pos: u32, servers: &[String]) {
        self.journal.send(&journal_event(pos, false, servers));
        self.daemon.wait_for_log(&format!("list: event {pos}"));
    }
}

/// Guards against a set-up that is out at an exchange that has gone and is answered by whoever has its address: its end
/// would come under another exchange, and its caller would never be told.
#[test]
fn set_up_at_an_exchange_that_has_gone_is_cancelled() {
    let mut harness = Harness::new();
    let mut old_process = harness.site.accept_exchange();
    let mut client = harness.daemon.connect_client();
    client.send_start(TAG, 9000, 1);
    assert_eq!(old_process.receive_start(), TAG);
    let addr = harness.addr;
    let entries =
        [server_entry("s-one", 1, "terminated", addr), server_entry("s-new", 1, "in_service", addr)];
    let told_at = Instant::now();
    harness.tell(2, &entries);
    assert!(old_process.receive().contains("FINISH"), "the set-up is not cancelled");
    old_process.send_bytes(
        format!("{{\"verb\":\"STARTED\",\"tag\":\"{TAG}\",\"opts\":{{}},\"blob\":\"b\"}}\n").as_bytes(),
    );
    let mut new_process = harness.site.accept_exchange();
    assert_eq!(new_process.receive_start(), TAG);
    assert!(told_at.elapsed() >= RELEASE_DELAY, "set up again within the release delay");
    answer_call(&mut new_process, &mut client, TAG);
    new_process.send(&format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":16}}"#));
    assert!(client.receive().contains(r#""rc":16"#), "the caller is not released");
}

/// Guards against set-ups for an exchange whose address another one has got, before the list reports that it is gone, and
/// against calls there whose end is never told.
#[test]
fn exchange_whose_address_another_one_has_got_is_gone() {
    let mut harness = Harness::new();
    let mut old_process = harness.site.accept_exchange();
    let mut client = harness.daemon.connect_client();
    establish_call(&mut old_process, &mut client, TAG);
    let addr = harness.addr;
    harness.tell(2, &[server_entry("s-new", 2, "in_service", addr)]);
    let told_at = Instant::now();
    assert!(client.receive().contains(r#""rc":41"#), "the call at the old process is not released");
    client.send_start(OTHER_TAG, 900, 1);
    assert!(client.receive().contains(OTHER_TAG), "the call is not answered");
    assert!(told_at.elapsed() < Duration::from_secs(2));
    let mut new_process = harness.site.accept_exchange();
    for process in [&mut old_process, &mut new_process] {
        while let Some(line) = process.receive_within(DRAIN_GRACE).filter(|line| !line.is_empty()) {
            assert!(!line.contains("START"), "sent to the wrong exchange: {line}");
        }
    }
}

/// Guards against a new process at the address of a SIP exchange that is sent an INVITE of the old one again.
#[test]
fn invite_is_not_retransmitted_to_the_process_that_replaces_its_exchange() {
    let journal = StubJournal::new();
    let mut exchange = SipPeer::udp("127.0.0.1:9".parse().expect("a valid address"));
    let addr = exchange.local_addr();
    let servers = two_servers(addr);
    let operator_file = format!(
        "[sip]\nudp = \"127.0.0.1:0\"\nt1_ms = 100\n\
         [[sip.exchange]]\ncell = 1\naddress = \"{addr}\"\ntransport = \"udp\"\n"
    );
    let mut daemon = Daemon::start(&config_json(journal.addr, &servers), Some(&operator_file));
    let mut journal = journal.accept();
    let mut client = daemon.connect_client();
    client.send_start(TAG, 9000, 1);
    let invite = exchange.expect_message("INVITE");
    let told_at = Instant::now();
    journal.send(&journal_event(
        2,
        false,
        &[server_entry("s-one", 1, "terminated", addr), server_entry("s-new", 1, "in_service", addr)],
    ));
    daemon.wait_for_log("list: event 2");
    // What was sent before the news is passed over.
    std::thread::sleep(Duration::from_millis(20));
    while exchange.receive_within(Duration::from_millis(1)).is_some() {}
    let next_invite = exchange.receive_within(WAIT_TIMEOUT).expect("the call is set up again");
    assert!(next_invite != invite, "the INVITE of the old process is sent again");
    assert!(next_invite.starts_with("INVITE") && told_at.elapsed() >= RELEASE_DELAY);
}
