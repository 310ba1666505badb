//! The SIP front: calls come in as INVITEs and go out as INVITEs, with the same engine between as on the
//! platform's wire. Each call has a leg towards its caller, one towards its exchange, or both.

pub mod dialog;
pub mod message;
pub mod transaction;
pub mod transport;

use super::{Context, Due};
use crate::config::{Limits, SipConfig, SipNumber};
use crate::end::End;
use crate::engine::{AttemptToken, CallToken, Command, Incoming, Offer};
use crate::slots::{Slots, Token};
use dialog::Dialog;
use ezk_sip_types::header::typed::{Expires, RetryAfter};
use ezk_sip_types::{Headers, Method, Name};
use message::{Malformed, Message};
use slateshed::{DialledNumber, ExchangeNumber, Origin};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use transaction::{Output, Protocol, Sent, Taken, Target, Timer, Transactions};
use transport::Transport;

/// Longest wait that an exchange is believed to have: beyond it, it would stay shut by one wrong header.
const MOST_TOLD: Duration = Duration::from_secs(32);
/// Seconds after which there may be room again for another transaction.
const FULL_FOR: &str = "5";
/// Datagrams taken in one turn.
const DATAGRAMS: usize = 64;
const ALLOW: &str = "INVITE, ACK, CANCEL, BYE, OPTIONS";

/// What the SIP front waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SipDue {
    /// A timer of a transaction.
    Timer(Token, Timer),
    /// A 2xx has had no ACK yet and is sent again.
    AnswerAgain(Token),
    /// A leg that is over need not be known any longer.
    Forget(Token),
}

/// What a leg is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No final response yet.
    Ringing,
    /// Caller's leg: answered, the ACK is awaited.
    Answered,
    /// It stands.
    Standing,
    /// It is over; kept to deal with what still comes for it.
    Over,
}

/// Towards whom a leg goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Party {
    Caller(CallToken),
    Exchange(AttemptToken),
}

struct Leg {
    party: Party,
    state: State,
    dialog: Dialog,
    /// The transaction of the INVITE.
    invite: Token,
    /// Caller's leg: the headers of the INVITE. Its final answer is sent in `invite`.
    headers: Headers,
    /// Exchange's leg: what a CANCEL repeats, and whether one has been sent.
    sent: Option<Rc<Sent>>,
    cancelled: bool,
    /// What is sent again: the 2xx to the caller, or the ACK to the exchange.
    again: Rc<[u8]>,
    interval: Duration,
    since: Duration,
    /// Caller's leg: the release came before the ACK, and waits for it.
    bye_waits: bool,
}

/// The SIP front.
pub struct Sip {
    config: SipConfig,
    transport: Transport,
    transactions: Transactions,
    legs: Slots<Leg>,
    /// Legs beyond which no call is taken; one that is over is kept for a while.
    most_legs: usize,
    by_call: HashMap<CallToken, Token>,
    by_attempt: HashMap<AttemptToken, Token>,
    /// Call-ID and own tag of a dialog.
    by_dialog: HashMap<(String, String), Token>,
    /// The leg of an INVITE's transaction.
    by_invite: HashMap<Token, Token>,
    output: Vec<Output>,
    /// More datagrams have come than one turn allows.
    more_datagrams: bool,
    random: u64,
}

impl Sip {
    /// Binds the front's sockets.
    pub fn new(
        config: SipConfig,
        seed: u64,
        limits: Limits,
        registry: &mio::Registry,
    ) -> io::Result<Self> {
        let transport = Transport::bind(config.udp, config.tcp, limits, registry)?;
        Ok(Sip {
            transactions: Transactions::new(config.times, limits.transactions()),
            most_legs: limits.transactions(),
            config,
            transport,
            legs: Slots::default(),
            by_call: HashMap::new(),
            by_attempt: HashMap::new(),
            by_dialog: HashMap::new(),
            by_invite: HashMap::new(),
            output: Vec::new(),
            more_datagrams: false,
            random: seed,
        })
    }

    /// Where the front listens.
    pub fn listens(&self) -> String {
        let on = |name, protocol| self.transport.local(protocol).map(|a| format!("{name} {a}"));
        let on = [on("udp", Protocol::Udp), on("tcp", Protocol::Tcp)];
        on.into_iter().flatten().collect::<Vec<_>>().join(", ")
    }

    /// Whether an exchange is reached over SIP.
    pub fn serves(&self, number: ExchangeNumber) -> bool {
        self.config.exchanges.contains_key(&number)
    }

    /// Whether a call came in here.
    pub fn owns(&self, call: CallToken) -> bool {
        self.by_call.contains_key(&call)
    }

    /// Whether an attempt went out here.
    pub fn sent(&self, attempt: AttemptToken) -> bool {
        self.by_attempt.contains_key(&attempt)
    }

    /// Whether all that was sent has been written, and each BYE and CANCEL answered.
    pub fn is_settled(&self) -> bool {
        self.transport.is_flushed() && !self.transactions.is_waiting()
    }

    /// Ends all dialogs at a planned stop: without the front nobody could pass their end on.
    pub fn end_dialogs(&mut self, cx: &mut Context) {
        let live = |l: &Leg| matches!(l.state, State::Answered | State::Standing);
        let legs: Vec<_> =
            self.legs.iter().filter(|(_, l)| live(l)).map(|(t, l)| (t, l.party)).collect();
        for (leg, party) in legs {
            self.say_bye(leg, cx);
            match party {
                Party::Caller(call) => cx.engine.caller_ends(cx.now, call, cx.deadlines),
                Party::Exchange(attempt) => {
                    cx.engine.attempt_ended(cx.now, attempt, End::Cut, cx.deadlines)
                }
            }
        }
        self.send_all(cx);
    }

    /// Numbers that can't be guessed from those before: tags, branches, Call-IDs (SplitMix64).
    fn unique(&mut self) -> String {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        format!("{:016x}", z ^ (z >> 31))
    }

    fn own(&self, protocol: Protocol) -> String {
        self.transport.local(protocol).map_or("127.0.0.1".to_owned(), |a| a.to_string())
    }

    fn via(&mut self, protocol: Protocol) -> (String, String) {
        let branch = format!("z9hG4bK{}", self.unique());
        let name = if protocol == Protocol::Udp { "UDP" } else { "TCP" };
        (format!("SIP/2.0/{name} {};branch={branch}", self.own(protocol)), branch)
    }

    fn contact(&self, protocol: Protocol) -> String {
        let transport = if protocol == Protocol::Tcp { ";transport=tcp" } else { "" };
        format!("<sip:{}{transport}>", self.own(protocol))
    }

    // ---- From the sockets -----------------------------------------------------------------------

    /// Datagrams have come.
    pub fn datagrams(&mut self, cx: &mut Context) {
        for _ in 0..DATAGRAMS {
            let Some((bytes, addr)) = self.transport.datagram() else {
                return;
            };
            self.message(&bytes, Target { protocol: Protocol::Udp, addr, conn: None }, cx);
        }
        self.more_datagrams = true;
    }

    /// Whether more has come than one turn allows.
    pub fn has_unread(&self) -> bool {
        self.more_datagrams || self.transport.has_unread()
    }

    /// Reads on where the last turn left off.
    pub fn read_on(&mut self, cx: &mut Context) {
        if std::mem::take(&mut self.more_datagrams) {
            self.datagrams(cx);
        }
        for token in self.transport.unread() {
            self.stream(token, cx);
        }
    }

    /// Streams wait to be accepted.
    pub fn accept(&mut self, cx: &mut Context) {
        self.transport.accept(cx);
    }

    /// A stream can be read or written.
    pub fn stream(&mut self, token: Token, cx: &mut Context) {
        let (messages, end) = self.transport.read(token, cx);
        if let Some(addr) = self.transport.peer(token) {
            for bytes in messages {
                self.message(&bytes, Target { protocol: Protocol::Tcp, addr, conn: Some(token) }, cx);
            }
        }
        if let Some(end) = end {
            self.stream_ended(token, end, cx);
        }
    }

    /// A stream should be up, or have been heard, by now.
    pub fn stream_due(&mut self, token: Token, cx: &mut Context) {
        if let Some(end) = self.transport.stream_due(token, cx) {
            self.stream_ended(token, end, cx);
        }
    }

    /// Ends the streams that broke while something was sent.
    pub fn reap(&mut self, cx: &mut Context) {
        for (token, end) in self.transport.broken() {
            self.stream_ended(token, end, cx);
        }
    }

    /// A stream that ends takes the set-ups on it with it; dialogs belong to no connection.
    fn stream_ended(&mut self, token: Token, end: End, cx: &mut Context) {
        let Some(peer) = self.transport.peer(token) else {
            return;
        };
        if end != End::Closed {
            cx.log.line(cx.now, "sip-stream-ended", format_args!("{peer}: {end}"));
        }
        self.transport.close(token, cx);
        let on_it = |l: &Leg| l.state == State::Ringing && l.dialog.target.conn == Some(token);
        let ended: Vec<_> =
            self.legs.iter().filter(|(_, l)| on_it(l)).map(|(t, l)| (t, l.party)).collect();
        for (leg, party) in ended {
            self.over(leg, cx);
            match party {
                Party::Caller(call) => cx.engine.caller_ends(cx.now, call, cx.deadlines),
                Party::Exchange(attempt) => cx.engine.attempt_ended(cx.now, attempt, end, cx.deadlines),
            }
        }
    }

    fn message(&mut self, bytes: &[u8], source: Target, cx: &mut Context) {
        if bytes.iter().all(|b| b.is_ascii_whitespace()) {
            return;
        }
        match message::parse(bytes) {
            Ok(mut m) => match m.method().cloned() {
                Some(method) => {
                    let source = m.arrived(source);
                    self.request(m, method, source, cx)
                }
                None => self.response(m, cx),
            },
            Err(Malformed::Request(headers, why)) => {
                cx.log.line(cx.now, "sip-malformed", format_args!("{}: {why}", source.addr));
                let tag = self.unique();
                let bytes = message::response(&headers, 400, &tag, &[], "");
                let _ = self.transport.send(source, &bytes, cx);
            }
            Err(Malformed::Other(why)) => {
                cx.log.line(cx.now, "sip-garbage", format_args!("{}: {why}", source.addr));
                if let Some(token) = source.conn {
                    self.stream_ended(token, End::Garbage, cx);
                }
            }
        }
        self.send_all(cx);
    }

    /// Sends what the transactions want sent and sets their timers.
    fn send_all(&mut self, cx: &mut Context) {
        while !self.output.is_empty() {
            for output in std::mem::take(&mut self.output) {
                match output {
                    Output::Wake(at, token, timer) => {
                        cx.deadlines.set(at, Due::Sip(SipDue::Timer(token, timer)));
                    }
                    Output::Send(token, target, bytes) => {
                        match self.transport.send(target, &bytes, cx) {
                            Ok(conn) => {
                                if let Some(leg) = self.by_invite.get(&token).copied() {
                                    if let Some(leg) = self.legs.get_mut(leg) {
                                        leg.dialog.target.conn = conn.or(leg.dialog.target.conn);
                                    }
                                }
                            }
                            Err(end) => self.failed(token, end, cx),
                        }
                    }
                }
            }
        }
    }

    /// A transaction ended without its response.
    fn failed(&mut self, token: Token, end: End, cx: &mut Context) {
        self.transactions.terminate(token);
        let Some(leg) = self.by_invite.get(&token).copied() else {
            return;
        };
        match self.legs.get(leg).map(|l| (l.party, l.state)) {
            Some((Party::Exchange(attempt), State::Ringing)) => {
                self.over(leg, cx);
                cx.engine.attempt_ended(cx.now, attempt, end, cx.deadlines);
            }
            Some((Party::Caller(call), State::Ringing | State::Answered)) => {
                self.over(leg, cx);
                cx.engine.caller_ends(cx.now, call, cx.deadlines);
            }
            Some(_) => self.over(leg, cx),
            None => {}
        }
    }

    /// A deadline of the front is due.
    pub fn due(&mut self, due: SipDue, cx: &mut Context) {
        match due {
            SipDue::Timer(token, timer) => {
                if self.transactions.due(cx.now, token, timer, &mut self.output) {
                    self.failed(token, End::TimedOut, cx);
                }
            }
            SipDue::AnswerAgain(leg) => self.answer_again(leg, cx),
            SipDue::Forget(leg) => self.forget(leg),
        }
        self.send_all(cx);
    }

    // ---- Requests -------------------------------------------------------------------------------

    fn request(&mut self, m: Message, method: Method, source: Target, cx: &mut Context) {
        match self.transactions.take_request(cx.now, &m, &method, source, &mut self.output) {
            Taken::Request(tx) => {
                let respond = |sip: &mut Self, status, more: &[(&str, &str)]| {
                    sip.respond(tx, &m.headers, status, more, cx.now);
                };
                let to_tag = m.to.tag.as_ref().map(|t| t.to_string());
                let leg = to_tag.and_then(|tag| self.by_dialog.get(&(m.call_id.clone(), tag)).copied());
                let from_tag = m.from.tag.as_ref().map_or("", |t| t);
                let its_peer =
                    |leg: &Token| self.legs.get(*leg).is_some_and(|l| l.dialog.remote_tag == from_tag);
                let leg = leg.filter(its_peer);
                let in_dialog = m.to.tag.is_some();
                if m.header(Name::MAX_FORWARDS).is_some_and(|h| h == "0") {
                    respond(self, 483, &[]);
                } else if let Some(wanted) = m.header(Name::REQUIRE).filter(|r| !r.is_empty()) {
                    respond(self, 420, &[("Unsupported", wanted)]);
                } else if method == Method::CANCEL {
                    self.cancel(&m, tx, cx);
                } else if method == Method::BYE {
                    match leg {
                        Some(leg) => self.bye(leg, &m, tx, cx),
                        None => respond(self, 481, &[]),
                    }
                } else if method == Method::INVITE && !in_dialog {
                    self.invite(&m, tx, source, cx);
                } else if method == Method::INVITE {
                    // The description of a standing call is not changed.
                    respond(self, if leg.is_some() { 488 } else { 481 }, &[]);
                } else if method == Method::OPTIONS {
                    respond(self, 200, &[("Allow", ALLOW), ("Accept", "application/sdp")]);
                } else {
                    respond(self, 405, &[("Allow", ALLOW)]);
                }
            }
            Taken::Ack => self.ack(&m, cx),
            Taken::Full => {
                cx.log.line(cx.now, "sip-full", format_args!("{method} of {}", source.addr));
                let tag = self.unique();
                let more = [("Retry-After", FULL_FOR)];
                let bytes = message::response(&m.headers, 503, &tag, &more, "");
                let _ = self.transport.send(source, &bytes, cx);
            }
            Taken::Response(_) | Taken::Absorbed | Taken::Stray => {}
        }
    }

    fn respond(&mut self, tx: Token, to: &Headers, status: u16, more: &[(&str, &str)], now: Duration) {
        let tag = self.unique();
        let bytes = message::response(to, status, &tag, more, "");
        self.transactions.respond(now, tx, status, bytes, &mut self.output);
    }

    /// A new call.
    fn invite(&mut self, m: &Message, tx: Token, source: Target, cx: &mut Context) {
        if self.legs.len() >= self.most_legs {
            cx.log.line(cx.now, "sip-full", format_args!("INVITE of {}", source.addr));
            return self.respond(tx, &m.headers, 503, &[("Retry-After", FULL_FOR)], cx.now);
        }
        let number = m.called().and_then(|called| Some((self.config.number(&called)?.clone(), called)));
        let Some((plan, called)) = number else {
            return self.respond(tx, &m.headers, 404, &[], cx.now);
        };
        let (Some(class), Some(text)) =
            (cx.words.classes.iter().position(|c| *c == plan.class), m.text())
        else {
            return self.respond(tx, &m.headers, 415, &[("Accept", "application/sdp")], cx.now);
        };
        let tag = self.unique();
        let trying = message::response(&m.headers, 100, &tag, &[], "");
        self.transactions.respond(cx.now, tx, 100, trying, &mut self.output);
        let expires = m.headers.get_named::<Expires>().ok().map(|e| Duration::from_secs(e.0.into()));
        let deadline = cx.words.deadlines[class];
        let new = Incoming {
            class,
            dialled: dialled(&called),
            patience: expires.map_or(deadline, |e| e.min(deadline)),
            destination: plan.exchange,
            circuits: plan.circuits,
            advice: None,
            origin: Origin::Subscriber,
            offer: Rc::new(Offer {
                id: self.unique(),
                class: plan.class.clone(),
                key: called,
                description: text.to_owned(),
            }),
        };
        let dialog = Dialog::called(m, &tag, source);
        let key = (dialog.call_id.clone(), tag);
        let call = cx.engine.call(cx.now, new, cx.deadlines);
        let leg = self.legs.insert(Leg {
            party: Party::Caller(call),
            state: State::Ringing,
            dialog,
            invite: tx,
            headers: m.headers.clone(),
            sent: None,
            cancelled: false,
            again: Rc::from([]),
            interval: self.config.times.t1,
            since: cx.now,
            bye_waits: false,
        });
        self.by_call.insert(call, leg);
        self.by_dialog.insert(key, leg);
        self.by_invite.insert(tx, leg);
    }

    fn cancel(&mut self, m: &Message, tx: Token, cx: &mut Context) {
        let Some(invite) = self.transactions.cancelled(m) else {
            return self.respond(tx, &m.headers, 481, &[], cx.now);
        };
        self.respond(tx, &m.headers, 200, &[], cx.now);
        // Once there is a final response the CANCEL changes nothing.
        let leg = self.by_invite.get(&invite).copied().filter(|_| self.transactions.is_owed(invite));
        if let Some((leg, Party::Caller(call))) =
            leg.and_then(|leg| Some((leg, self.legs.get(leg)?.party)))
        {
            self.final_answer(leg, 487, &[], "", cx);
            cx.engine.caller_ends(cx.now, call, cx.deadlines);
        }
    }

    fn bye(&mut self, leg: Token, m: &Message, tx: Token, cx: &mut Context) {
        let Some(l) = self.legs.get_mut(leg).filter(|l| l.state != State::Over) else {
            return self.respond(tx, &m.headers, 481, &[], cx.now);
        };
        if m.cseq.cseq <= l.dialog.remote_seq && matches!(l.party, Party::Caller(_)) {
            return self.respond(tx, &m.headers, 500, &[], cx.now);
        }
        l.dialog.remote_seq = m.cseq.cseq;
        let (party, ringing) = (l.party, l.state == State::Ringing);
        self.respond(tx, &m.headers, 200, &[], cx.now);
        if ringing && matches!(party, Party::Caller(_)) {
            // A caller may end its early dialog this way; its INVITE still wants an answer.
            self.final_answer(leg, 487, &[], "", cx);
        }
        self.over(leg, cx);
        match party {
            Party::Caller(call) => cx.engine.caller_ends(cx.now, call, cx.deadlines),
            Party::Exchange(attempt) => {
                cx.engine.attempt_ended(cx.now, attempt, End::Ended, cx.deadlines)
            }
        }
    }

    /// The ACK of a 2xx.
    fn ack(&mut self, m: &Message, cx: &mut Context) {
        let tag = m.to.tag.as_ref().map_or(String::new(), |t| t.to_string());
        let Some(leg) = self.by_dialog.get(&(m.call_id.clone(), tag)).copied() else {
            return;
        };
        if let Some(l) = self.legs.get_mut(leg).filter(|l| l.state == State::Answered) {
            l.state = State::Standing;
            if l.bye_waits {
                self.say_bye(leg, cx);
            }
        }
    }

    // ---- Responses ------------------------------------------------------------------------------

    fn response(&mut self, m: Message, cx: &mut Context) {
        let Taken::Response(tx) = self.transactions.response(cx.now, &m, &mut self.output) else {
            return;
        };
        let (Some(leg), Some(status)) = (self.by_invite.get(&tx).copied(), m.status()) else {
            return;
        };
        let Some(l) = self.legs.get(leg) else {
            return;
        };
        let Party::Exchange(attempt) = l.party else {
            return;
        };
        match (status, l.state) {
            (100..=199, State::Over) => self.send_cancel(leg, cx.now),
            (100..=199, _) => {}
            (200..=299, State::Ringing) => {
                self.acknowledge(leg, &m, cx);
                if let Some(l) = self.legs.get_mut(leg) {
                    l.state = State::Standing;
                }
                // A description that can't be read is never passed on, not even as an empty one.
                let Some(description) = m.text().map(str::to_owned) else {
                    cx.log.line(cx.now, "sip-malformed", "an answer whose body is no text");
                    self.say_bye(leg, cx);
                    return cx.engine.attempt_ended(cx.now, attempt, End::Garbage, cx.deadlines);
                };
                if !cx.engine.answered(cx.now, attempt, description, cx.deadlines) {
                    self.say_bye(leg, cx);
                }
            }
            // The answer crossed the CANCEL: the call stands there, and is ended at once.
            (200..=299, State::Over) if l.again.is_empty() => {
                self.acknowledge(leg, &m, cx);
                self.say_bye(leg, cx);
            }
            (200..=299, _) => {
                let tag = m.to.tag.as_ref().map_or("", |t| t);
                if tag == l.dialog.remote_tag {
                    let (target, ack) = (l.dialog.target, Rc::clone(&l.again));
                    let _ = self.transport.send(target, &ack, cx);
                } else {
                    self.end_fork(leg, &m, cx);
                }
            }
            (_, State::Ringing) => {
                self.over(leg, cx);
                cx.engine.attempt_ended(cx.now, attempt, end_of(status, &m), cx.deadlines);
            }
            _ => {}
        }
    }

    /// Sends the ACK of a 2xx, and keeps it to be sent again for each retransmission.
    fn acknowledge(&mut self, leg: Token, m: &Message, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg).map(|l| l.dialog.target.protocol) else {
            return;
        };
        let ((via, _), contact) = (self.via(protocol), self.contact(protocol));
        if let Some(l) = self.legs.get_mut(leg) {
            l.dialog.answered(m);
            l.again = l.dialog.request("ACK", &via, &contact).into();
            let _ = self.transport.send(l.dialog.target, &l.again, cx);
        }
    }

    /// A second exchange behind a forking proxy has answered as well: it is acknowledged and released.
    fn end_fork(&mut self, leg: Token, m: &Message, cx: &mut Context) {
        let Some(mut dialog) = self.legs.get(leg).map(|l| l.dialog.clone()) else {
            return;
        };
        dialog.answered(m);
        let protocol = dialog.target.protocol;
        let ((via, _), contact) = (self.via(protocol), self.contact(protocol));
        let ack = dialog.request("ACK", &via, &contact);
        let _ = self.transport.send(dialog.target, &ack, cx);
        let (via, branch) = self.via(protocol);
        let bye = dialog.request("BYE", &via, &contact);
        self.transactions.request(cx.now, "BYE", &branch, bye, (dialog.target, None), &mut self.output);
    }

    // ---- Commands -------------------------------------------------------------------------------

    /// Carries out a command of the engine.
    pub fn command(&mut self, command: Command, number: Option<ExchangeNumber>, cx: &mut Context) {
        match command {
            Command::SetUp { attempt, offer, wait, .. } => {
                self.set_up(attempt, &offer, wait, number, cx)
            }
            Command::GiveUp(attempt) => {
                if let Some(leg) = self.by_attempt.get(&attempt).copied() {
                    self.over(leg, cx);
                    self.send_cancel(leg, cx.now);
                }
            }
            Command::ReleaseExchange(attempt, _) | Command::Forget(attempt) => {
                if let Some(leg) = self.by_attempt.get(&attempt).copied() {
                    self.say_bye(leg, cx);
                }
            }
            Command::Answer(call, description) => {
                if let Some(leg) = self.by_call.get(&call).copied() {
                    self.answer(leg, &description, cx);
                }
            }
            Command::Refuse(call, stay) => {
                // Whole seconds are all that Retry-After has; rounded up, so that nobody is back early.
                let seconds = stay.map(|s| s.as_millis().div_ceil(1000).to_string());
                let more: Vec<_> = seconds.iter().map(|s| ("Retry-After", s.as_str())).collect();
                if let Some(leg) = self.by_call.get(&call).copied() {
                    self.final_answer(leg, 503, &more, "", cx);
                }
            }
            Command::Fail(call) => {
                if let Some(leg) = self.by_call.get(&call).copied() {
                    self.final_answer(leg, 500, &[], "", cx);
                }
            }
            Command::ReleaseCaller(call, _) => {
                if let Some(leg) = self.by_call.get(&call).copied() {
                    match self.legs.get_mut(leg) {
                        // BYE may not overtake the ACK (RFC 3261, section 15).
                        Some(l) if l.state == State::Answered => l.bye_waits = true,
                        _ => self.say_bye(leg, cx),
                    }
                }
            }
        }
        self.send_all(cx);
    }

    fn set_up(
        &mut self,
        attempt: AttemptToken,
        offer: &Offer,
        wait: Duration,
        number: Option<ExchangeNumber>,
        cx: &mut Context,
    ) {
        let Some(target) = number.and_then(|n| self.config.exchanges.get(&n).copied()) else {
            return cx.engine.attempt_ended(cx.now, attempt, End::NotSent, cx.deadlines);
        };
        let (via, branch) = self.via(target.protocol);
        let (tag, call_id, own) = (self.unique(), self.unique(), self.own(target.protocol));
        let contact = self.contact(target.protocol);
        let uri = format!("sip:{}@{}", offer.key, target.addr);
        let dialog = Dialog {
            call_id: format!("{call_id}@{own}"),
            local: format!("<sip:{own}>;tag={tag}"),
            local_tag: tag.clone(),
            remote_tag: String::new(),
            remote: format!("<{uri}>"),
            remote_target: uri.clone(),
            routes: Vec::new(),
            local_seq: 1,
            remote_seq: 0,
            target,
        };
        let seconds = wait.as_millis().div_ceil(1000).max(1).to_string();
        let headers = [
            ("Via", via.as_str()),
            ("Max-Forwards", "70"),
            ("From", &dialog.local),
            ("To", &dialog.remote),
            ("Call-ID", &dialog.call_id),
            ("CSeq", "1 INVITE"),
            ("Contact", &contact),
            ("Allow", ALLOW),
            ("Expires", &seconds),
            ("X-Class", &offer.class),
        ];
        let bytes = message::request("INVITE", &uri, &headers, &offer.description);
        let sent = Rc::new(dialog.sent(&uri, &via));
        let to = (target, Some(Rc::clone(&sent)));
        let tx = self.transactions.request(cx.now, "INVITE", &branch, bytes, to, &mut self.output);
        let key = (dialog.call_id.clone(), tag);
        let leg = self.legs.insert(Leg {
            party: Party::Exchange(attempt),
            state: State::Ringing,
            dialog,
            invite: tx,
            headers: Headers::new(),
            sent: Some(sent),
            cancelled: false,
            again: Rc::from([]),
            interval: self.config.times.t1,
            since: cx.now,
            bye_waits: false,
        });
        self.by_attempt.insert(attempt, leg);
        self.by_dialog.insert(key, leg);
        self.by_invite.insert(tx, leg);
    }

    /// Cancels the INVITE of a leg; not before a provisional response (RFC 3261, section 9.1).
    fn send_cancel(&mut self, leg: Token, now: Duration) {
        let Some(l) = self.legs.get_mut(leg) else {
            return;
        };
        self.transactions.hush(l.invite);
        let Some(sent) =
            l.sent.clone().filter(|_| !l.cancelled && self.transactions.is_proceeding(l.invite))
        else {
            return;
        };
        l.cancelled = true;
        let branch = sent.via.rsplit_once("branch=").map_or("", |(_, b)| b);
        let (bytes, to) = (sent.follow_up("CANCEL", &sent.to), (l.dialog.target, None));
        self.transactions.request(now, "CANCEL", branch, bytes, to, &mut self.output);
    }

    /// The final answer of a caller's leg that does not stand.
    fn final_answer(
        &mut self,
        leg: Token,
        status: u16,
        more: &[(&str, &str)],
        body: &str,
        cx: &mut Context,
    ) {
        if let Some(l) = self.legs.get(leg) {
            let bytes = message::response(&l.headers, status, &l.dialog.local_tag, more, body);
            self.transactions.respond(cx.now, l.invite, status, bytes, &mut self.output);
            self.over(leg, cx);
        }
    }

    /// The call stands: a 2xx, sent again until its ACK comes.
    fn answer(&mut self, leg: Token, description: &str, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg).map(|l| l.dialog.target.protocol) else {
            return;
        };
        let contact = self.contact(protocol);
        if let Some(l) = self.legs.get_mut(leg) {
            let more = [("Contact", contact.as_str()), ("Allow", ALLOW)];
            let bytes = message::response(&l.headers, 200, &l.dialog.local_tag, &more, description);
            l.again = Rc::from(bytes.as_slice());
            l.state = State::Answered;
            l.since = cx.now;
            cx.deadlines.set(cx.now + l.interval, Due::Sip(SipDue::AnswerAgain(leg)));
            self.transactions.respond(cx.now, l.invite, 200, bytes, &mut self.output);
        }
    }

    fn answer_again(&mut self, leg: Token, cx: &mut Context) {
        let times = self.config.times;
        let Some(l) = self.legs.get_mut(leg).filter(|l| l.state == State::Answered) else {
            return;
        };
        if cx.now >= l.since + times.transaction() {
            // Nobody has acknowledged: the call is ended on both sides (section 13.3.1.4).
            let party = l.party;
            self.say_bye(leg, cx);
            if let Party::Caller(call) = party {
                cx.log.line(cx.now, "sip-no-ack", "an answered call was never acknowledged");
                cx.engine.caller_ends(cx.now, call, cx.deadlines);
            }
            return;
        }
        l.interval = (l.interval * 2).min(times.t2);
        cx.deadlines.set(cx.now + l.interval, Due::Sip(SipDue::AnswerAgain(leg)));
        let (target, bytes) = (l.dialog.target, Rc::clone(&l.again));
        let _ = self.transport.send(target, &bytes, cx);
    }

    /// Ends a dialog from this side.
    fn say_bye(&mut self, leg: Token, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg).map(|l| l.dialog.target.protocol) else {
            return;
        };
        let ((via, branch), contact) = (self.via(protocol), self.contact(protocol));
        if let Some(l) = self.legs.get_mut(leg) {
            let bye = l.dialog.request("BYE", &via, &contact);
            let to = (l.dialog.target, None);
            self.transactions.request(cx.now, "BYE", &branch, bye, to, &mut self.output);
        }
        self.over(leg, cx);
    }

    /// A leg is over. It is known for as long as something may still come for it.
    fn over(&mut self, leg: Token, cx: &mut Context) {
        let Some(l) = self.legs.get_mut(leg) else {
            return;
        };
        match l.party {
            Party::Caller(call) => drop(self.by_call.remove(&call)),
            Party::Exchange(attempt) => drop(self.by_attempt.remove(&attempt)),
        }
        if l.state != State::Over {
            l.state = State::Over;
            l.since = cx.now;
            let until = cx.now + self.config.times.transaction() + self.config.times.t4;
            cx.deadlines.set(until, Due::Sip(SipDue::Forget(leg)));
        }
    }

    fn forget(&mut self, leg: Token) {
        if let Some(l) = self.legs.remove(leg) {
            self.by_dialog.remove(&(l.dialog.call_id, l.dialog.local_tag));
            self.by_invite.remove(&l.invite);
            // An INVITE that was cancelled and never answered waits for nothing any more.
            self.transactions.terminate(l.invite);
        }
    }
}

/// The number called, as the decision module knows it: hex digits by value, all else by a hash (FNV-1a).
fn dialled(called: &str) -> DialledNumber {
    let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    let by_value = u64::from_str_radix(called, 16).ok();
    DialledNumber(by_value.unwrap_or_else(|| called.bytes().fold(0xcbf2_9ce4_8422_2325, hash)))
}

/// How a refusal by an exchange ends the attempt.
fn end_of(status: u16, m: &Message) -> End {
    match status {
        408 | 504 => End::TimedOut,
        480 => End::NoCircuit,
        486 | 600 => End::NumberBusy,
        487 => End::GivenUp,
        503 => {
            let told = m.headers.get_named::<RetryAfter>().ok();
            End::ProcessorFull(told.map(|r| Duration::from_secs(r.value.into()).min(MOST_TOLD)))
        }
        _ => End::Fault,
    }
}

impl SipConfig {
    /// The line of the number plan with the longest prefix of the number called.
    pub fn number(&self, called: &str) -> Option<&SipNumber> {
        let fits = self.numbers.iter().filter(|n| called.starts_with(&n.prefix));
        fits.max_by_key(|n| n.prefix.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an exchange that a wrong header shuts for years.
    #[test]
    fn the_wait_of_a_full_exchange_is_taken_over_within_reason() {
        let refusal = |retry_after: &str| {
            let head = "Via: SIP/2.0/UDP 127.0.0.1;branch=z9hG4bK1\r\nFrom: <sip:a@127.0.0.1>;tag=a\r\n\
                        To: <sip:b@127.0.0.1>;tag=b\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\n";
            let bytes = format!("SIP/2.0 503 Service Unavailable\r\n{head}{retry_after}\r\n");
            end_of(503, &message::parse(bytes.as_bytes()).expect("well formed"))
        };
        let full = |seconds| End::ProcessorFull(Some(Duration::from_secs(seconds)));
        assert_eq!(refusal(""), End::ProcessorFull(None));
        assert_eq!(refusal("Retry-After: 3 (busy);duration=9\r\n"), full(3));
        assert_eq!(refusal("Retry-After: 4000000000\r\n"), full(32));
        assert_eq!(refusal("Retry-After: soon\r\n"), End::ProcessorFull(None));
    }
}
