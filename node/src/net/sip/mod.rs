//! The SIP front: calls come in as INVITEs and go out as INVITEs, with the same engine between as on the
//! platform's wire. Each call has a leg towards its caller, one towards its exchange, or both.

mod checks;
mod commands;
pub mod dialog;
mod incoming;
pub mod message;
pub mod transaction;
pub mod transport;

use super::{Context, TimerEvent};
use crate::arena::{Arena, Token};
use crate::config::{Limits, SipConfig};
use crate::end::EndReason;
use crate::engine::{AttemptToken, CallToken};
use dialog::Dialog;
use ezk_sip_types::Headers;
use message::Malformed;
use slateshed::ExchangeNumber;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use transaction::{Output, Protocol, Sent, Target, Timer, Transactions};
use transport::Transport;

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
    /// Exchange's leg: when it was last asked within the dialog whether that is still known.
    checked: Duration,
    /// Caller's leg: the release came before the ACK, and waits for it.
    bye_waits: bool,
}

/// The SIP front.
pub struct Sip {
    config: SipConfig,
    transport: Transport,
    transactions: Transactions,
    legs: Arena<Leg>,
    /// Legs beyond which no call is taken; one that is over is kept for a while.
    most_legs: usize,
    by_call: HashMap<CallToken, Token>,
    by_attempt: HashMap<AttemptToken, Token>,
    /// Call-ID and own tag of a dialog.
    by_dialog: HashMap<(String, String), Token>,
    /// The leg of an INVITE's transaction.
    by_invite: HashMap<Token, Token>,
    /// The leg of the transaction of an OPTIONS within its dialog.
    by_options: HashMap<Token, Token>,
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
            legs: Arena::default(),
            by_call: HashMap::new(),
            by_attempt: HashMap::new(),
            by_dialog: HashMap::new(),
            by_invite: HashMap::new(),
            by_options: HashMap::new(),
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
                Party::Caller(call) => cx.engine.caller_ended(cx.now, call, cx.timers),
                Party::Exchange(attempt) => {
                    cx.engine.attempt_ended(cx.now, attempt, EndReason::Dropped, cx.timers)
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
        self.transport.accept_on(cx);
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
    fn stream_ended(&mut self, token: Token, end: EndReason, cx: &mut Context) {
        let Some(peer) = self.transport.peer(token) else {
            return;
        };
        if end != EndReason::PeerClosed {
            cx.log.line(cx.now, "sip-stream-ended", format_args!("{peer}: {end}"));
        }
        self.transport.close(token, cx);
        let on_it = |l: &Leg| l.state == State::Ringing && l.dialog.target.conn == Some(token);
        let ended: Vec<_> =
            self.legs.iter().filter(|(_, l)| on_it(l)).map(|(t, l)| (t, l.party)).collect();
        for (leg, party) in ended {
            self.over(leg, cx);
            match party {
                Party::Caller(call) => cx.engine.caller_ended(cx.now, call, cx.timers),
                Party::Exchange(attempt) => cx.engine.attempt_ended(cx.now, attempt, end, cx.timers),
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
                    self.stream_ended(token, EndReason::MalformedMessage, cx);
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
                        cx.timers.schedule(at, TimerEvent::Sip(SipDue::Timer(token, timer)));
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
    fn failed(&mut self, token: Token, end: EndReason, cx: &mut Context) {
        self.transactions.terminate(token);
        self.by_options.remove(&token);
        let Some(leg) = self.by_invite.get(&token).copied() else {
            return;
        };
        match self.legs.get(leg).map(|l| (l.party, l.state)) {
            Some((Party::Exchange(attempt), State::Ringing)) => {
                self.over(leg, cx);
                cx.engine.attempt_ended(cx.now, attempt, end, cx.timers);
            }
            Some((Party::Caller(call), State::Ringing | State::Answered)) => {
                self.over(leg, cx);
                cx.engine.caller_ended(cx.now, call, cx.timers);
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
                    self.failed(token, EndReason::TimedOut, cx);
                }
            }
            SipDue::AnswerAgain(leg) => self.answer_again(leg, cx),
            SipDue::Forget(leg) => self.forget(leg),
        }
        self.send_all(cx);
    }
}
