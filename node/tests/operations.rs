//! What operators do to a running call controller: they ask, drain it, and replace its process.

mod common;
use common::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

const TAG: &str = "9b1f03aa5c7e2d41";
const OTHER: &str = "00000000000000aa";

/// The program with an address for operators and one exchange besides its own.
fn world() -> (Node, Lines, JournalPeer) {
    let (exchange, addr) = listener();
    let journal = JournalPeer::new();
    let servers = [server("s-own", 0, "in_service", addr), server("s-one", 1, "in_service", addr)];
    let node = Node::start(&operated(&config(journal.addr, &servers)), None);
    (node, Lines::accept(&exchange), journal)
}

/// Guards against calls that wait for one another, or behind callers who say nothing; and against half a call that
/// is carried out.
#[test]
fn operators_are_answered_whoever_else_is_silent() {
    let (mut node, _exchange, _journal) = world();
    // More than the seven that the configuration's descriptors leave at a time.
    let silent: Vec<_> = (0..12).map(|_| node.operator()).collect();
    let mut half = node.operator();
    half.raw(b"LEAVE");
    let begun = Instant::now();
    assert_eq!(node.ask("HEALTH"), ["done"]);
    assert_eq!(node.ask("WHO"), ["error unknown call"]);
    assert_eq!(node.ask(&"x".repeat(9000)), [""; 0], "closed");
    assert!(begun.elapsed() < Duration::from_secs(1), "kept waiting");
    drop((half, silent));
    assert!(node.client().test(), "half a call drains nothing");
}

/// Guards against figures that differ from what has passed on the sockets.
#[test]
fn the_figures_are_what_has_passed() {
    let (mut node, mut exchange, _journal) = world();
    let mut client = node.client();
    stand(&mut exchange, &mut client, TAG);
    client.start(OTHER, 3000, 1);
    exchange.hear_start();
    exchange.say(&format!(
        r#"{{"verb":"FINISH","tag":"{OTHER}","opts":{{"note":"processor_full"}},"rc":34}}"#
    ));
    assert!(client.hear().contains(OTHER));
    insta::assert_snapshot!(node.ask("DUMP").join("\n"), @r#"
    {"results":{"voice":{"succeeded":1,"declined":1,"aborted":0}},"forwards":2,"outstanding":1,"discovered":2,"ejected":0,"sighup_applied":0,"sighup_rejected":0,"standing":1,"retries":0,"checks":0,"adverse_observations":0,"releases":{},"attempt_ends":{"processor full":1}}
    end
    "#);
    exchange.say(&format!(r#"{{"verb":"FINISH","tag":"{TAG}","opts":{{}},"rc":16}}"#));
    assert!(client.hear().contains(TAG));
    let figures = node.ask("DUMP").remove(0);
    assert!(figures.contains(r#""outstanding":0"#), "ended");
    assert!(
        figures.contains(
            r#""standing":0,"retries":0,"checks":0,"adverse_observations":0,"releases":{"ended":1}"#
        ),
        "{figures}"
    );
    node.logged(&format!(r#"call-released: call={TAG} exchange=s-one why="ended""#));
    node.logged(&format!(r#"call-refused: call={OTHER} attempts=1 last="processor full""#));
}

/// Guards against a drain that front and clients don't notice, that costs calls or the word of their end, or that
/// nobody can take back.
#[test]
fn a_drained_controller_lets_its_clients_go_and_comes_back() {
    let (mut node, mut exchange, _journal) = world();
    let (mut caller, mut idle) = (node.client(), node.client());
    assert!(idle.test());
    stand(&mut exchange, &mut caller, TAG);
    assert_eq!(node.ask("LEAVE"), ["done"]);
    assert_eq!(node.ask("HEALTH"), ["done"], "the process is well");
    assert!(!node.client().test(), "not ready");
    // Set-ups that are still sent here are taken, also on connections that come later.
    stand(&mut exchange, &mut caller, OTHER);
    assert_eq!(idle.hear(), "", "closed");
    let mut late = node.client();
    stand(&mut exchange, &mut late, "00000000000000bb");
    assert_eq!(late.hear(), "", "closed once answered");
    // A connection that stays for the ends of its calls takes no more of them.
    caller.start("00000000000000cd", 3000, 1);
    assert!(caller.hear().contains(r#""rc":42"#), "kept for its calls alone");
    std::thread::sleep(Duration::from_millis(1400));
    caller.start("00000000000000cc", 3000, 1);
    insta::assert_snapshot!(caller.hear(), @r#"{"verb":"FINISH","tag":"00000000000000cc","opts":{},"rc":42}"#);
    // So it is on a connection that comes now, which is closed at once.
    let mut new = node.client();
    new.start("00000000000000ce", 3000, 1);
    assert!(new.hear().contains(r#""rc":42"#));
    assert_eq!(new.hear(), "", "closed");
    // A probe's connection is none to tell the end of a call on: it is told on the caller's.
    let mut probe = node.client();
    assert!(!probe.test());
    for tag in ["00000000000000bb", TAG, OTHER] {
        exchange.say(&format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":16}}"#));
        let heard = caller.hear();
        assert!(heard.contains(tag) && heard.contains(r#""rc":16"#), "{heard}");
        caller.say(&format!(r#"{{"verb":"FINISHED","tag":"{tag}","opts":{{}}}}"#));
    }
    assert_eq!(caller.hear(), "", "closed with its last call");
    assert_eq!(node.ask("JOIN"), ["done"]);
    let mut client = node.client();
    assert!(client.test(), "ready again");
    stand(&mut exchange, &mut client, "00000000000000dd");
}

/// Guards against a new process that can't start while the old one runs, and against calls or connections lost
/// between the two.
#[test]
fn a_process_is_replaced_on_the_socket_that_is_handed_down() {
    let (exchange, addr) = listener();
    let journal = JournalPeer::new();
    let servers = [server("s-own", 0, "in_service", addr), server("s-one", 1, "in_service", addr)];
    let (socket, listen): (TcpListener, _) = listener();
    let config = operated(&config(journal.addr, &servers))
        .replace("127.0.0.1:0\",\"seed", "127.0.0.1:1\",\"seed");
    let mut old = Node::start_on(&config, &socket);
    let mut link = Lines::accept(&exchange);
    let (mut caller, mut idle) = (old.client(), old.client());
    assert!(idle.test());
    caller.start(TAG, 3000, 1);
    assert_eq!(link.hear_start(), TAG);
    let mut new = Node::start_on(&config, &socket);
    assert_eq!(new.ask("HEALTH"), ["done"]);
    assert_eq!(new.logged("n0 started: listening on "), listen.to_string());
    let mut new_link = Lines::accept(&exchange);
    old.terminate();
    old.logged("stopping");
    assert_eq!(idle.hear(), "", "closed");
    let mut client = new.client();
    assert!(client.test(), "whoever comes now finds the new process");
    stand(&mut new_link, &mut client, OTHER);
    answer(&mut link, &mut caller, TAG);
    assert!(old.ended_well());
    assert!(client.test() && new.runs());
}

/// Guards against clients that meet nobody: where no other process serves on the socket, this one goes on taking what
/// arrives after SIGTERM, as it does on a socket of its own.
#[test]
fn a_process_that_nobody_replaces_keeps_the_door_after_sigterm() {
    let (exchange, addr) = listener();
    let journal = JournalPeer::new();
    let servers = [server("s-own", 0, "in_service", addr), server("s-one", 1, "in_service", addr)];
    let (socket, _) = listener();
    let mut node = Node::start_on(&operated(&config(journal.addr, &servers)), &socket);
    let mut link = Lines::accept(&exchange);
    let mut before = node.client();
    stand(&mut link, &mut before, TAG);
    node.terminate();
    node.logged("stopping");
    stand(&mut link, &mut node.client(), OTHER);
}
