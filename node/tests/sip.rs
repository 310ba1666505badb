//! Stories on the SIP front, against small stand-in callers and exchanges, over UDP and TCP.

mod common;
use common::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const SDP: &str = "v=0\r\nm=audio 31000 RTP/AVP 0\r\n";
const ANSWER: &str = "v=0\r\nm=audio 32000 RTP/AVP 0\r\n";

/// Where the stand-in exchange waits for its first message.
enum Place {
    Udp(SipPeer),
    Tcp(TcpListener),
}

struct World {
    node: Node,
    place: Place,
    journal: Lines,
    addr: SocketAddr,
}

impl World {
    /// The program with one exchange, reached over SIP, and numbers from 21 on there.
    fn new(exchange: &str) -> World {
        Self::configured(exchange, |config| config)
    }

    /// The same where exchanges may be asked whether they live.
    fn probing(exchange: &str) -> World {
        Self::configured(exchange, |c| c.replace(r#""allowed":{"#, r#""allowed":{"probing":true,"#))
    }

    fn configured(exchange: &str, adapt: impl Fn(String) -> String) -> World {
        let anywhere = "127.0.0.1:9".parse().expect("an address");
        let (place, addr) = match exchange {
            "udp" => {
                let peer = SipPeer::udp(anywhere);
                let addr = peer.local();
                (Place::Udp(peer), addr)
            }
            _ => {
                let (listener, addr) = listener();
                (Place::Tcp(listener), addr)
            }
        };
        let journal = JournalPeer::new();
        let servers = [server("s-own", 0, "in_service", addr), server("s-one", 1, "in_service", addr)];
        // T1 is short, so that retransmissions are many.
        let operator = format!(
            "[sip]\nudp = \"127.0.0.1:0\"\ntcp = \"127.0.0.1:0\"\nt1_ms = 100\n\
             [[sip.exchange]]\ncell = 1\naddress = \"{addr}\"\ntransport = \"{exchange}\"\n\
             [[sip.number]]\nprefix = \"21\"\nexchange = 1\nclass = \"voice\"\n\
             [[sip.number]]\nprefix = \"3\"\nexchange = 2\nclass = \"voice\"\n"
        );
        let node = Node::start(&adapt(operated(&config(journal.addr, &servers))), Some(&operator));
        let journal = journal.accept();
        World { node, place, journal, addr }
    }

    fn caller(&mut self, protocol: &str) -> SipPeer {
        let addr = self.node.sip(protocol);
        match protocol {
            "udp" => SipPeer::udp(addr),
            _ => SipPeer::tcp(TcpStream::connect(addr).expect("the front listens")),
        }
    }

    /// The exchange, once it has a message to hear.
    fn exchange(&mut self) -> &mut SipPeer {
        if let Place::Tcp(listener) = &self.place {
            self.place = Place::Udp(SipPeer::tcp(listener.accept().expect("a stream").0));
        }
        match &mut self.place {
            Place::Udp(peer) => peer,
            Place::Tcp(_) => unreachable!("accepted above"),
        }
    }

    /// A call is taken as far as the exchange, which has heard its INVITE and rings.
    fn ring(&mut self, caller: &mut SipPeer, n: u32, more: &str) -> String {
        caller.say(&request("INVITE", caller, n, "", more, SDP));
        caller.hear("SIP/2.0 100");
        let addr = self.addr;
        let exchange = self.exchange();
        let invite = exchange.hear("INVITE sip:2101@");
        assert!(invite.ends_with(SDP), "the description goes on unchanged");
        exchange.say(&response(&invite, "180 Ringing", addr, ""));
        invite
    }

    /// A call that stands on both sides; the To tag of the caller's dialog and the exchange's INVITE.
    fn stand(&mut self, caller: &mut SipPeer, n: u32) -> (String, String) {
        let invite = self.ring(caller, n, "");
        let addr = self.addr;
        self.exchange().say(&response(&invite, "200 OK", addr, ANSWER));
        self.exchange().hear("ACK");
        let ok = caller.hear("SIP/2.0 200");
        assert!(ok.ends_with(ANSWER), "the answer comes back unchanged");
        let tag = to_tag(&ok);
        caller.say(&request("ACK", caller, n, &tag, "", "").replace("z9hG4bKinvite", "z9hG4bKack"));
        (tag, invite)
    }
}

/// A request of the exchange within the dialog of an INVITE that it answered.
fn from_exchange(method: &str, invite: &str, own: SocketAddr) -> String {
    let via = header(invite, "Via");
    let transport = &via[..via.find(' ').expect("a space")];
    format!(
        "{method} sip:slateshed SIP/2.0\r\nVia: {transport} {own};branch=z9hG4bKx1\r\nMax-Forwards: 70\r\n\
         From: {};tag=callee\r\nTo: {}\r\nCall-ID: {}\r\nCSeq: 7 {method}\r\nContent-Length: 0\r\n\r\n",
        header(invite, "To"),
        header(invite, "From"),
        header(invite, "Call-ID"),
    )
}

fn stands_and_ends(from: &str, to: &str) {
    let mut world = World::new(to);
    let mut caller = world.caller(from);
    let (tag, _) = world.stand(&mut caller, 1);
    caller.say(&request("BYE", &caller, 1, &tag, "", ""));
    caller.hear("SIP/2.0 200");
    let addr = world.addr;
    let bye = world.exchange().hear("BYE");
    world.exchange().say(&response(&bye, "200 OK", addr, ""));
    // The other way round.
    let (_, invite) = world.stand(&mut caller, 2);
    let bye = from_exchange("BYE", &invite, addr);
    world.exchange().say(&bye);
    world.exchange().hear("SIP/2.0 200");
    let bye = caller.hear("BYE sip:drill@");
    let own = caller.local();
    caller.say(&response(&bye, "200 OK", own, ""));
    assert_eq!(caller.new_within(Duration::from_millis(400)), None, "one final answer, and no more");
}

#[test]
fn a_call_stands_and_is_ended_from_either_side_over_udp() {
    stands_and_ends("udp", "udp");
}

#[test]
fn a_call_stands_and_is_ended_from_either_side_over_tcp() {
    stands_and_ends("tcp", "tcp");
}

#[test]
fn a_call_may_come_over_tcp_and_go_on_over_udp() {
    stands_and_ends("tcp", "udp");
}

/// Guards against a retransmission that is taken for a new call after its INVITE was cancelled, and against
/// a call that is sent again within 500 ms of a cancel.
#[test]
fn a_retransmission_after_the_cancel_gets_the_same_answer_and_starts_nothing() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    let invite = world.ring(&mut caller, 1, "");
    caller.say(&request("CANCEL", &caller, 1, "", "", ""));
    caller.hear("SIP/2.0 200");
    let terminated = caller.hear("SIP/2.0 487");
    let cancel = world.exchange().hear("CANCEL");
    assert_eq!(header(&cancel, "Via"), header(&invite, "Via"), "the INVITE's own branch");
    let addr = world.addr;
    world.exchange().say(&response(&cancel, "200 OK", addr, ""));
    world.exchange().say(&response(&invite, "487 Request Terminated", addr, ""));
    world.exchange().hear("ACK");
    caller.say(&request("INVITE", &caller, 1, "", "", SDP));
    caller.hear_again(&terminated);
    caller.say(&request("ACK", &caller, 1, &to_tag(&terminated), "", ""));
    assert_eq!(world.exchange().new_within(Duration::from_millis(700)), None, "nothing new goes out");
    assert_eq!(caller.new_within(Duration::from_millis(300)), None, "one final answer");
}

/// Guards against an answer that crosses the CANCEL and leaves a call standing with nobody there.
#[test]
fn an_answer_that_crosses_the_cancel_is_acknowledged_and_released() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    let invite = world.ring(&mut caller, 1, "");
    caller.say(&request("CANCEL", &caller, 1, "", "", ""));
    world.exchange().hear("CANCEL");
    let addr = world.addr;
    world.exchange().say(&response(&invite, "200 OK", addr, ANSWER));
    world.exchange().hear("ACK");
    world.exchange().hear("BYE");
}

fn refused_with_the_time_to_come_back(protocol: &str) {
    let mut world = World::new(protocol);
    let mut caller = world.caller(protocol);
    let invite = world.ring(&mut caller, 1, "");
    let addr = world.addr;
    world.exchange().say(&response(&invite, "503 Service Unavailable", addr, ""));
    world.exchange().hear("ACK");
    let refusal = caller.hear("SIP/2.0 503");
    assert_eq!(header(&refusal, "Retry-After"), "1", "whole seconds, rounded up");
    caller.say(&request("ACK", &caller, 1, &to_tag(&refusal), "", ""));
    assert_eq!(
        caller.new_within(Duration::from_millis(500)),
        None,
        "one final answer, once acknowledged"
    );
}

#[test]
fn a_full_exchange_is_a_503_with_retry_after_over_udp() {
    refused_with_the_time_to_come_back("udp");
}

#[test]
fn a_full_exchange_is_a_503_with_retry_after_over_tcp() {
    refused_with_the_time_to_come_back("tcp");
}

/// Guards against callers who get no answer within the time that Expires gives.
#[test]
fn an_exchange_that_only_rings_is_cancelled_before_the_caller_gives_up() {
    for protocol in ["udp", "tcp"] {
        let mut world = World::new(protocol);
        let mut caller = world.caller(protocol);
        let begun = Instant::now();
        world.ring(&mut caller, 1, "Expires: 1\r\n");
        caller.hear("SIP/2.0 503");
        assert!(begun.elapsed() >= Duration::from_millis(800), "given its time");
        world.exchange().hear("CANCEL");
    }
}

/// Guards against a dialog that dies, or a call that is sent, once its exchange starts to drain.
#[test]
fn a_dialog_goes_on_while_its_exchange_drains_and_ends_with_it() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    world.stand(&mut caller, 1);
    let addr = world.addr;
    world.journal.say(&event(2, false, &[server("s-one", 1, "terminating", addr)]));
    world.node.logged("list: event 2");
    assert_eq!(caller.new_within(Duration::from_millis(600)), None, "the dialog goes on");
    caller.say(&request("INVITE", &caller, 2, "", "", SDP));
    caller.hear("SIP/2.0 100");
    let refusal = caller.hear("SIP/2.0 503");
    caller.say(&request("ACK", &caller, 2, &to_tag(&refusal), "", ""));
    assert_eq!(world.exchange().new_within(Duration::from_millis(300)), None, "nothing new goes there");
    world.journal.say(&event(3, false, &[server("s-one", 1, "terminated", addr)]));
    caller.hear("BYE sip:drill@");
}

/// Guards against malformed messages that are taken, pass without a word, or cost more than they should.
#[test]
fn malformed_messages_get_400_and_what_is_no_message_costs_a_stream_at_most() {
    for protocol in ["udp", "tcp"] {
        let mut world = World::new(protocol);
        let mut caller = world.caller(protocol);
        let good = request("INVITE", &caller, 1, "", "", SDP);
        for bad in [good.replace("CSeq: 1 INVITE", "CSeq: one"), good.replace("From: <", "From: <<")] {
            caller.say(&bad);
            caller.hear("SIP/2.0 400");
        }
        caller.say(&good.replace("sip:2101@", "sip:99@").replace("invite1", "invite99"));
        caller.hear("SIP/2.0 404");
        caller.say(&request("BYE", &caller, 3, ";tag=none", "", ""));
        caller.hear("SIP/2.0 481");
        let mut other = world.caller(protocol);
        other.say("\u{0}\u{1} what\r\nis this\r\n\r\n");
        if protocol == "tcp" {
            assert_eq!(other.new_within(PATIENCE), None, "closed");
        }
        let mut fresh = world.caller(protocol);
        world.ring(&mut fresh, 4, "");
        assert!(world.node.runs());
    }
}

/// Guards against streams that hold their place and say nothing, or never end what they say.
#[test]
fn a_stream_that_says_nothing_whole_is_closed() {
    let mut world = World::new("udp");
    let (mut mute, mut half, mut more) = (world.caller("tcp"), world.caller("tcp"), world.caller("tcp"));
    half.say("INVITE sip:2101@127.0.0.1 SIP/2.0\r\nVia: ");
    let options = request("OPTIONS", &more, 1, "", "", "");
    more.say(&format!("{options}INVITE sip:"));
    more.hear("SIP/2.0 200");
    for stream in [&mut mute, &mut half, &mut more] {
        assert!(stream.closed());
    }
}

/// Guards against an answer that is spoilt and is passed on as a good one with an empty description.
#[test]
fn an_answer_whose_body_is_no_text_is_released_and_not_passed_on() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    let invite = world.ring(&mut caller, 1, "");
    let (addr, exchange) = (world.addr, world.exchange());
    let mut spoilt = response(&invite, "200 OK", addr, "v=0!").into_bytes();
    let end = spoilt.len() - 1;
    spoilt[end] = 0xff;
    exchange.raw(&spoilt);
    exchange.hear("ACK");
    let bye = exchange.hear("BYE");
    exchange.say(&response(&bye, "200 OK", addr, ""));
    // It may be repeated, and is sent again after the wait for release.
    let again = exchange.hear("INVITE");
    exchange.say(&response(&again, "486 Busy Here", addr, ""));
    assert!(caller.hear("SIP/2.0 503").contains("Retry-After"));
}

/// Guards against an answer that is lost, and against one final answer that becomes two.
#[test]
fn over_udp_the_2xx_is_sent_again_until_its_ack() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    let invite = world.ring(&mut caller, 1, "");
    let addr = world.addr;
    world.exchange().say(&response(&invite, "200 OK", addr, ANSWER));
    let ack = world.exchange().hear("ACK");
    let first = caller.hear("SIP/2.0 200");
    caller.hear_again(&first);
    // A late INVITE changes nothing.
    caller.say(&request("INVITE", &caller, 1, "", "", SDP));
    caller.hear_again(&first);
    // The exchange's 2xx again: its ACK was lost.
    world.exchange().say(&response(&invite, "200 OK", addr, ANSWER));
    world.exchange().hear_again(&ack);
}

/// Guards against an INVITE that is sent again after its attempt was given up: it would be a second attempt
/// by the time the call has gone elsewhere.
#[test]
fn an_invite_given_up_without_a_response_is_not_sent_again() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    caller.say(&request("INVITE", &caller, 1, "", "Expires: 1\r\n", SDP));
    caller.hear("SIP/2.0 100");
    let invite = world.exchange().hear("INVITE");
    world.exchange().hear_again(&invite);
    caller.hear("SIP/2.0 503");
    while world.exchange().within(Duration::from_millis(100)).is_some() {}
    assert_eq!(world.exchange().within(Duration::from_millis(1500)), None);
    // A response that comes after all still has it cancelled.
    let addr = world.addr;
    world.exchange().say(&response(&invite, "180 Ringing", addr, ""));
    world.exchange().hear("CANCEL");
}

/// Guards against a dialog that is ended by who is not in it.
#[test]
fn a_bye_with_another_tag_is_not_of_the_dialog() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    let (tag, _) = world.stand(&mut caller, 1);
    caller.say(&request("BYE", &caller, 1, &tag, "", "").replace("tag=caller1", "tag=other"));
    caller.hear("SIP/2.0 481");
    assert_eq!(world.exchange().new_within(Duration::from_millis(300)), None, "the call stands");
}

/// Guards against dialogs that nobody can end once the program has stopped.
#[test]
fn a_planned_stop_ends_the_dialogs_on_both_sides() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    world.stand(&mut caller, 1);
    world.node.terminate();
    let addr = world.addr;
    let bye = world.exchange().hear("BYE");
    world.exchange().say(&response(&bye, "200 OK", addr, ""));
    let (bye, own) = (caller.hear("BYE"), caller.local());
    caller.say(&response(&bye, "200 OK", own, ""));
    assert!(world.node.ended_well());
}

/// Guards against a drain that only one front knows of, or that costs SIP callers their calls: who asks is told to go
/// elsewhere, and what comes all the same is taken.
#[test]
fn a_drained_controller_says_so_over_sip_and_takes_what_comes() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    for (n, call, status) in [(1, "LEAVE", "SIP/2.0 503"), (2, "JOIN", "SIP/2.0 200")] {
        assert_eq!(world.node.ask(call), ["done"]);
        caller.say(&request("OPTIONS", &caller, n, "", "", ""));
        caller.hear(status);
        world.stand(&mut caller, 10 + n);
    }
    assert!(
        world.node.ask("DUMP")[0].contains(r#""succeeded":2,"declined":0,"aborted":0}},"forwards":2"#)
    );
}

/// Guards against fronts that only work with themselves: a call from the platform's wire goes on over SIP
/// and is ended from there, and one from SIP goes on over lines.
#[test]
fn calls_pass_between_the_fronts() {
    let mut world = World::new("udp");
    let addr = world.addr;
    let mut client = world.node.client();
    client.start("9b1f03aa5c7e2d41", 3000, 1);
    let invite = world.exchange().hear("INVITE sip:9b1f03aa5c7e2d41@");
    world.exchange().say(&response(&invite, "200 OK", addr, ANSWER));
    world.exchange().hear("ACK");
    insta::assert_snapshot!(client.hear(), @r#"{"verb":"STARTED","tag":"9b1f03aa5c7e2d41","opts":{},"blob":"v=0\r\nm=audio 32000 RTP/AVP 0\r\n"}"#);
    world.exchange().say(&from_exchange("BYE", &invite, addr));
    world.exchange().hear("SIP/2.0 200");
    insta::assert_snapshot!(client.hear(), @r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":16}"#);
    // Numbers from 3 on are an exchange's that speaks lines.
    let (exchange, addr) = listener();
    world.journal.say(&event(2, false, &[server("s-two", 2, "in_service", addr)]));
    let mut exchange = Lines::accept(&exchange);
    let mut caller = world.caller("udp");
    let to_lines = |m: String| m.replace("sip:2101@127", "sip:3101@127");
    caller.say(&to_lines(request("INVITE", &caller, 7, "", "", SDP)));
    caller.hear("SIP/2.0 100");
    let tag = exchange.hear_start();
    exchange.say(&format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"by lines"}}"#));
    let ok = caller.hear("SIP/2.0 200");
    assert!(ok.ends_with("by lines"));
    let to = to_tag(&ok);
    caller.say(&to_lines(request("ACK", &caller, 7, &to, "", "")));
    caller.say(&to_lines(request("BYE", &caller, 7, &to, "", "")));
    caller.hear("SIP/2.0 200");
    assert!(exchange.hear().contains(&format!(r#""FINISH","tag":"{tag}","opts":{{}},"rc":16"#)));
}

/// Guards against requests that pass by the proxies that asked to stay on the way.
#[test]
fn requests_of_a_dialog_follow_its_record_route() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    let invite = world.ring(&mut caller, 1, "");
    let (addr, anywhere) = (world.addr, world.addr);
    let mut proxies = [SipPeer::udp(anywhere), SipPeer::udp(anywhere)];
    let [near, far] = [proxies[0].local(), proxies[1].local()];
    let routes = format!("Record-Route: <sip:{far};lr>, <sip:{near};lr>\r\nContact:");
    world.exchange().say(&response(&invite, "200 OK", addr, ANSWER).replace("Contact:", &routes));
    let ack = proxies[0].hear(&format!("ACK sip:{addr} "));
    let route: Vec<_> = ack.lines().filter(|l| l.starts_with("Route: ")).collect();
    assert_eq!(route, [format!("Route: <sip:{near};lr>"), format!("Route: <sip:{far};lr>")]);
    let tag = to_tag(&caller.hear("SIP/2.0 200"));
    caller.say(&request("BYE", &caller, 1, &tag, "", ""));
    proxies[0].hear(&format!("BYE sip:{addr} "));
}

/// Guards against dialogs that stand for good at an exchange that has vanished: one that answers OPTIONS within the dialog
/// keeps its call, and one that no longer answers has lost it.
fn asked_while_it_answers(transport: &str) {
    let mut world = World::probing(transport);
    let mut caller = world.caller("udp");
    world.stand(&mut caller, 1);
    let (addr, begun) = (world.addr, Instant::now());
    while begun.elapsed() < Duration::from_secs(4) {
        let options = world.exchange().hear("OPTIONS");
        world.exchange().say(&response(&options, "200 OK", addr, ""));
    }
    let silent = Instant::now();
    assert_eq!(caller.new_within(Duration::from_millis(100)), None, "it answers");
    caller.hear("BYE sip:drill@");
    assert!(silent.elapsed() < Duration::from_secs(8), "told after {:?}", silent.elapsed());
}

#[test]
fn an_exchange_that_may_be_asked_keeps_its_call_while_it_answers_over_udp() {
    asked_while_it_answers("udp");
}

#[test]
fn an_exchange_that_may_be_asked_keeps_its_call_while_it_answers_over_tcp() {
    asked_while_it_answers("tcp");
}

/// Guards against dialogs that stand at a process which has started anew and knows none of them.
#[test]
fn an_exchange_that_does_not_know_the_dialog_has_lost_its_calls() {
    let mut world = World::probing("udp");
    let mut caller = world.caller("udp");
    world.stand(&mut caller, 1);
    world.stand(&mut caller, 2);
    let addr = world.addr;
    for _ in 0..2 {
        let options = world.exchange().hear("OPTIONS");
        world.exchange().say(&response(&options, "481 Call/Transaction Does Not Exist", addr, ""));
        caller.hear("BYE sip:drill@");
    }
}

/// Guards against questions where the settings don't allow them, and against calls cut for want of an answer to none.
#[test]
fn an_exchange_that_may_not_be_asked_is_not_and_keeps_its_call() {
    let mut world = World::new("udp");
    let mut caller = world.caller("udp");
    world.stand(&mut caller, 1);
    assert_eq!(world.exchange().new_within(Duration::from_secs(9)), None);
    assert_eq!(caller.new_within(Duration::from_millis(100)), None);
}
