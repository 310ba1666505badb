//! The SIP front, a back-to-back user agent: it receives calls as INVITEs (as UAS) and sends them to exchanges as
//! INVITEs (as UAC). The engine in between also serves the platform's JSON lines: a call may have a SIP leg towards
//! its caller, one towards its exchange, or both.

mod caller_id;
mod checks;
mod commands;
pub mod dialog;
mod incoming;
pub mod message;
mod stateless;
pub mod transaction;
pub mod transport;

use super::{Context, TimerEvent};
use crate::arena::{Arena, Token};
use crate::config::{Limits, SipConfig};
use crate::end::EndReason;
use crate::engine::{AttemptToken, CallToken};
pub use caller_id::LineCaller;
use dialog::Dialog;
use ezk_sip_types::Headers;
use message::Malformed;
use slateshed::ExchangeNumber;
use stateless::StatelessTags;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use transaction::{Output, Protocol, SentInvite, Target, Timer, Transactions};
use transport::Transport;

/// Maximum datagrams received per iteration of the event loop.
const MAX_DATAGRAMS_PER_ITERATION: usize = 16;
/// Memory that a leg takes besides its messages: its state, its dialog and its keys.
const LEG_OVERHEAD_BYTES: usize = 2048;
/// Value of the Allow header field: the supported methods.
const ALLOW: &str = "INVITE, ACK, CANCEL, BYE, OPTIONS";

/// A timer of the SIP front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SipTimer {
    /// A timer of a transaction.
    TransactionTimer(Token, Timer),
    /// The 2xx of a leg is retransmitted, as its ACK has not arrived yet.
    RetransmitAnswer(Token),
    /// The state of a terminated leg is removed.
    RemoveLeg(Token),
}

/// What a stream is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StreamUse {
    /// For established calls. Their requests can be sent on another stream.
    Established,
    /// For a response or an ACK that is awaited or owed.
    Needed,
}

/// State of a leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LegState {
    /// No final response yet.
    Pending,
    /// Caller's leg: a 2xx has been sent, and its ACK is awaited.
    AwaitingAck,
    /// The dialog is confirmed: the call is established.
    Confirmed,
    /// The leg has ended; it is kept to process messages that still arrive for it.
    Terminated,
}

/// The remote party of a leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Party {
    Caller(CallToken),
    Exchange(AttemptToken),
}

/// One SIP side of a call: the dialog with its caller or with its exchange.
struct Leg {
    party: Party,
    state: LegState,
    dialog: Dialog,
    /// The transaction of its INVITE.
    invite_transaction: Token,
    /// Caller's leg: the header fields of the INVITE, from which its final response is built. The response is sent
    /// in `invite_transaction`. Empty after that.
    invite_headers: Headers,
    /// Exchange's leg: the parts of the INVITE that a CANCEL repeats.
    sent_invite: Option<Rc<SentInvite>>,
    /// Exchange's leg: a CANCEL has been sent.
    cancel_sent: bool,
    /// The message to retransmit: the 2xx to the caller until its ACK arrives, or the ACK of a 2xx to the exchange. Empty
    /// until that message is written.
    retransmission: Rc<[u8]>,
    /// Caller's leg: the current retransmission interval of the 2xx.
    retransmit_interval: Duration,
    /// When the leg was created or `state` last changed; the change to `Confirmed` is not recorded.
    state_changed_at: Duration,
    /// Exchange's leg: when it was created, or last checked with an OPTIONS within the dialog.
    last_checked_at: Duration,
    /// Caller's leg: the call was released before the ACK arrived, so that the BYE is sent after the ACK.
    bye_after_ack: bool,
    /// The sequence number (CSeq) of its INVITE.
    invite_cseq: u32,
    /// Memory that the leg takes.
    held_bytes: usize,
}

/// The SIP front.
pub struct Sip {
    config: SipConfig,
    transport: Transport,
    transactions: Transactions,
    legs: Arena<Leg>,
    /// While the legs take this much memory or more, new calls are rejected. Terminated legs count, too, until they are
    /// removed. Legs towards exchanges count as well, but a new one is always accepted.
    max_leg_bytes: usize,
    /// Memory that the buffers of all streams may take.
    max_buffer_bytes: usize,
    /// Memory that the legs take.
    held_leg_bytes: usize,
    /// The caller's leg of a call.
    legs_by_call: HashMap<CallToken, Token>,
    /// The exchange's leg of an attempt.
    legs_by_attempt: HashMap<AttemptToken, Token>,
    /// The leg of a dialog, by Call-ID and local tag.
    legs_by_dialog: HashMap<(String, String), Token>,
    /// The leg of an INVITE transaction.
    legs_by_invite: HashMap<Token, Token>,
    /// The leg of an OPTIONS transaction within its dialog.
    legs_by_options: HashMap<Token, Token>,
    /// Actions that the transactions have asked for and that are not carried out yet.
    pending_output: Vec<Output>,
    /// See [`Sip::take_ended_earlier_calls`].
    ended_earlier_calls: Vec<LineCaller>,
    /// More datagrams than one iteration of the event loop receives may be waiting.
    may_have_datagrams: bool,
    /// To tags of responses without a transaction.
    stateless_tags: StatelessTags,
    /// State of the generator of [`Sip::random_id`].
    random_state: u64,
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
            transactions: Transactions::new(config.times, limits.max_sip_table_bytes()),
            max_leg_bytes: limits.max_sip_table_bytes(),
            max_buffer_bytes: limits.max_sip_buffer_bytes(),
            held_leg_bytes: 0,
            config,
            transport,
            legs: Arena::default(),
            legs_by_call: HashMap::new(),
            legs_by_attempt: HashMap::new(),
            legs_by_dialog: HashMap::new(),
            legs_by_invite: HashMap::new(),
            legs_by_options: HashMap::new(),
            pending_output: Vec::new(),
            ended_earlier_calls: Vec::new(),
            may_have_datagrams: false,
            stateless_tags: StatelessTags::new(),
            random_state: seed,
        })
    }

    /// The addresses that the front listens on, for the log.
    pub fn listen_addresses(&self) -> String {
        let address =
            |name, protocol| self.transport.local_addr(protocol).map(|a| format!("{name} {a}"));
        let addresses = [address("udp", Protocol::Udp), address("tcp", Protocol::Tcp)];
        addresses.into_iter().flatten().collect::<Vec<_>>().join(", ")
    }

    fn insert_leg(&mut self, leg: Leg) -> Token {
        self.held_leg_bytes += leg.held_bytes;
        self.legs.insert(leg)
    }

    /// Sets the memory that the messages of a leg take.
    fn set_message_bytes(&mut self, leg_token: Token, message_bytes: usize) {
        if let Some(leg) = self.legs.get_mut(leg_token) {
            self.held_leg_bytes -= leg.held_bytes;
            leg.held_bytes = LEG_OVERHEAD_BYTES + leg.dialog.text_bytes() + message_bytes;
            self.held_leg_bytes += leg.held_bytes;
        }
    }

    /// Whether an exchange is reached over SIP.
    pub fn reaches_exchange(&self, number: ExchangeNumber) -> bool {
        self.config.exchanges.contains_key(&number)
    }

    /// Whether a call was received over SIP.
    pub fn has_call(&self, call: CallToken) -> bool {
        self.legs_by_call.contains_key(&call)
    }

    /// Whether an attempt was sent over SIP.
    pub fn has_attempt(&self, attempt: AttemptToken) -> bool {
        self.legs_by_attempt.contains_key(&attempt)
    }

    /// Whether all messages have been written and no BYE, CANCEL or OPTIONS sent from here awaits a final response.
    pub fn is_settled(&self) -> bool {
        self.transport.is_flushed() && !self.transactions.has_pending_requests()
    }

    /// Takes the callers on the lines' front whose calls were ended by a BYE of an exchange, and set up by an earlier process.
    pub fn take_ended_earlier_calls(&mut self) -> Vec<LineCaller> {
        std::mem::take(&mut self.ended_earlier_calls)
    }

    /// Ends all dialogs at a graceful shutdown: once this front has stopped, the end of a call could no longer be
    /// passed on from one leg to the other. A dialog with an exchange is left if the caller is not reachable; a later
    /// process is told of its end.
    pub fn end_dialogs(&mut self, is_reachable: impl Fn(CallToken) -> bool, cx: &mut Context) {
        let has_caller = |leg: &Leg| match leg.party {
            Party::Caller(_) => true,
            Party::Exchange(attempt) => cx
                .engine
                .attempt_call(attempt)
                .is_none_or(|call| self.legs_by_call.contains_key(&call) || is_reachable(call)),
        };
        let has_dialog = |leg: &Leg| {
            matches!(leg.state, LegState::AwaitingAck | LegState::Confirmed) && has_caller(leg)
        };
        let legs: Vec<_> = self
            .legs
            .iter()
            .filter(|(_, leg)| has_dialog(leg))
            .map(|(leg_token, leg)| (leg_token, leg.party))
            .collect();
        for (leg_token, party) in legs {
            self.send_bye(leg_token, cx);
            match party {
                Party::Caller(call) => cx.engine.caller_ended(cx.now, call, cx.timers),
                Party::Exchange(attempt) => {
                    cx.engine.attempt_ended(cx.now, attempt, EndReason::Dropped, cx.timers)
                }
            }
        }
        self.process_output(cx);
    }

    /// The next pseudo-random identifier for a tag, branch or Call-ID (SplitMix64), so that none can be guessed by
    /// counting up from an earlier one.
    fn random_id(&mut self) -> String {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        format!("{:016x}", z ^ (z >> 31))
    }

    /// The local address, as text for header fields; 127.0.0.1 if the front does not listen on this protocol.
    fn local_address(&self, protocol: Protocol) -> String {
        self.transport.local_addr(protocol).map_or("127.0.0.1".to_owned(), |a| a.to_string())
    }

    /// A Via value with a new branch, and that branch.
    fn new_via(&mut self, protocol: Protocol) -> (String, String) {
        let branch = format!("z9hG4bK{}", self.random_id());
        let name = if protocol == Protocol::Udp { "UDP" } else { "TCP" };
        (format!("SIP/2.0/{name} {};branch={branch}", self.local_address(protocol)), branch)
    }

    /// The value of the Contact header field of this front.
    fn local_contact(&self, protocol: Protocol) -> String {
        let transport = if protocol == Protocol::Tcp { ";transport=tcp" } else { "" };
        format!("<sip:{}{transport}>", self.local_address(protocol))
    }

    // ---- Socket events --------------------------------------------------------------------------

    /// Receives datagrams, up to the limit of one iteration of the event loop.
    pub fn receive_datagrams(&mut self, cx: &mut Context) {
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let Some((bytes, addr)) = self.transport.receive_datagram() else {
                return;
            };
            self.handle_message(&bytes, Target { protocol: Protocol::Udp, addr, conn: None }, cx);
        }
        self.may_have_datagrams = true;
    }

    /// Whether input may be left over from the last iteration of the event loop.
    pub fn has_unread(&self) -> bool {
        self.may_have_datagrams || self.transport.has_unread()
    }

    /// Reads the input left over from the last iteration.
    pub fn continue_reading(&mut self, cx: &mut Context) {
        if std::mem::take(&mut self.may_have_datagrams) {
            self.receive_datagrams(cx);
        }
        if self.transport.take_may_have_connections() {
            self.accept(cx);
        }
        for token in self.transport.take_unread() {
            self.stream_ready(token, cx);
        }
    }

    /// Accepts waiting connections.
    pub fn accept(&mut self, cx: &mut Context) {
        let use_of_streams = match self.transport.is_near_limit() {
            true => self.use_of_streams(),
            false => HashMap::new(),
        };
        let rank = |stream_token| match use_of_streams.get(&stream_token) {
            Some(StreamUse::Needed) => None,
            other => Some(other.copied()),
        };
        self.transport.accept(rank, cx);
    }

    /// What the streams are used for. Those without a use are not contained.
    fn use_of_streams(&self) -> HashMap<Token, StreamUse> {
        let mut uses = HashMap::new();
        for (_, leg) in self.legs.iter() {
            let stream_use = match leg.state {
                LegState::Pending | LegState::AwaitingAck => StreamUse::Needed,
                LegState::Confirmed => StreamUse::Established,
                LegState::Terminated => continue,
            };
            if let Some(stream_token) = leg.dialog.next_hop.conn {
                let entry = uses.entry(stream_token).or_insert(stream_use);
                *entry = (*entry).max(stream_use);
            }
        }
        uses.extend(self.transactions.pending_connections().map(|conn| (conn, StreamUse::Needed)));
        uses
    }

    /// Records that the peer of a stream has closed its side. Calls on it that were not read yet are given up.
    pub fn mark_as_left(&mut self, token: Token) {
        self.transport.mark_as_left(token);
    }

    /// Handles a stream that is readable or writable.
    pub fn stream_ready(&mut self, token: Token, cx: &mut Context) {
        let (messages, end_reason) = self.transport.read(token, cx);
        if let Some(addr) = self.transport.peer(token) {
            for bytes in messages {
                self.handle_message(
                    &bytes,
                    Target { protocol: Protocol::Tcp, addr, conn: Some(token) },
                    cx,
                );
            }
        }
        if let Some(end_reason) = end_reason {
            self.stream_ended(token, end_reason, cx);
        }
        self.limit_buffers(cx);
    }

    /// Ends streams until the buffers of the others take no more memory than allowed: those with the largest buffers
    /// first, and those that are needed last.
    fn limit_buffers(&mut self, cx: &mut Context) {
        while self.transport.buffered_bytes() > self.max_buffer_bytes {
            let uses = self.use_of_streams();
            let is_needed = |token| uses.get(&token) == Some(&StreamUse::Needed);
            let Some(token) = self.transport.largest_stream(|token| !is_needed(token)) else {
                return;
            };
            self.stream_ended(token, EndReason::BuffersFull, cx);
        }
    }

    /// Handles a timeout of a stream.
    pub fn stream_timeout_due(&mut self, token: Token, cx: &mut Context) {
        if let Some(end_reason) = self.transport.stream_timeout_due(token, cx) {
            self.stream_ended(token, end_reason, cx);
        }
    }

    /// Closes the streams that failed while a message was sent.
    pub fn end_failed_streams(&mut self, cx: &mut Context) {
        for (token, end_reason) in self.transport.take_failed() {
            self.stream_ended(token, end_reason, cx);
        }
    }

    /// Closes a stream and ends the unanswered calls and attempts on it. Answered ones stay, since a dialog is not
    /// bound to a connection.
    fn stream_ended(&mut self, stream_token: Token, end_reason: EndReason, cx: &mut Context) {
        let Some(peer) = self.transport.peer(stream_token) else {
            return;
        };
        if end_reason != EndReason::PeerClosed {
            cx.log.line(cx.now, "sip-stream-ended", format_args!("{peer}: {end_reason}"));
        }
        self.transport.close(stream_token, cx);
        self.transactions.connection_ended(stream_token, &mut self.pending_output);
        let is_pending_on_stream =
            |leg: &Leg| leg.state == LegState::Pending && leg.dialog.next_hop.conn == Some(stream_token);
        let ended_legs: Vec<_> = self
            .legs
            .iter()
            .filter(|(_, leg)| is_pending_on_stream(leg))
            .map(|(leg_token, leg)| (leg_token, leg.party))
            .collect();
        for (leg_token, party) in ended_legs {
            self.terminate_leg(leg_token, cx);
            match party {
                Party::Caller(call) => {
                    // An INVITE that comes again on another stream is answered there.
                    if let Some(leg) = self.legs.get(leg_token) {
                        self.transactions.terminate(leg.invite_transaction);
                    }
                    cx.engine.caller_ended(cx.now, call, cx.timers)
                }
                Party::Exchange(attempt) => {
                    cx.engine.attempt_ended(cx.now, attempt, end_reason, cx.timers)
                }
            }
        }
        self.process_output(cx);
    }

    /// Handles a received message. Blank ones are keep-alives and are ignored.
    fn handle_message(&mut self, bytes: &[u8], source: Target, cx: &mut Context) {
        if bytes.iter().all(|b| b.is_ascii_whitespace()) {
            return;
        }
        match message::parse(bytes) {
            Ok(mut message) => match message.method().cloned() {
                Some(method) => {
                    let source = message.record_source(source);
                    self.handle_request(message, method, source, cx)
                }
                None => self.handle_response(message, cx),
            },
            Err(Malformed::Request(headers, error)) => {
                cx.log.line(cx.now, "sip-malformed", format_args!("{}: {error}", source.addr));
                let tag = self.random_id();
                let bytes = message::response(&headers, 400, &tag, &[], "");
                let _ = self.transport.send(source, &bytes, cx);
            }
            Err(Malformed::Other(error)) => {
                cx.log.line(cx.now, "sip-garbage", format_args!("{}: {error}", source.addr));
                if let Some(token) = source.conn {
                    self.stream_ended(token, EndReason::MalformedMessage, cx);
                }
            }
        }
        self.process_output(cx);
    }

    /// Carries out the actions that the transactions have asked for: sends messages and starts timers. The leg of an
    /// INVITE stores the connection that was used, so that its later messages are sent on it, too.
    fn process_output(&mut self, cx: &mut Context) {
        while !self.pending_output.is_empty() {
            for output in std::mem::take(&mut self.pending_output) {
                match output {
                    Output::StartTimer(due_at, transaction, timer) => {
                        cx.timers.schedule(
                            due_at,
                            TimerEvent::Sip(SipTimer::TransactionTimer(transaction, timer)),
                        );
                    }
                    Output::Send(transaction, target, bytes) => {
                        match self.transport.send(target, &bytes, cx) {
                            Ok(conn) => {
                                self.transactions.record_connection(transaction, conn);
                                if let Some(leg_token) = self.legs_by_invite.get(&transaction).copied() {
                                    if let Some(leg) = self.legs.get_mut(leg_token) {
                                        leg.dialog.next_hop.conn = conn.or(leg.dialog.next_hop.conn);
                                    }
                                }
                            }
                            Err(end_reason) => self.transaction_failed(transaction, end_reason, cx),
                        }
                    }
                }
            }
        }
    }

    /// Removes a transaction that timed out or whose message could not be sent. If it is that of an INVITE, its leg
    /// ends, too.
    fn transaction_failed(&mut self, transaction: Token, end_reason: EndReason, cx: &mut Context) {
        self.transactions.terminate(transaction);
        self.legs_by_options.remove(&transaction);
        let Some(leg_token) = self.legs_by_invite.get(&transaction).copied() else {
            return;
        };
        match self.legs.get(leg_token).map(|leg| (leg.party, leg.state)) {
            Some((Party::Exchange(attempt), LegState::Pending)) => {
                self.terminate_leg(leg_token, cx);
                cx.engine.attempt_ended(cx.now, attempt, end_reason, cx.timers);
            }
            Some((Party::Caller(call), LegState::Pending | LegState::AwaitingAck)) => {
                self.terminate_leg(leg_token, cx);
                cx.engine.caller_ended(cx.now, call, cx.timers);
            }
            Some(_) => self.terminate_leg(leg_token, cx),
            None => {}
        }
    }

    /// Handles a timer that is due.
    pub fn timer_due(&mut self, sip_timer: SipTimer, cx: &mut Context) {
        match sip_timer {
            SipTimer::TransactionTimer(transaction, timer) => {
                if self.transactions.timer_due(cx.now, transaction, timer, &mut self.pending_output) {
                    self.transaction_failed(transaction, EndReason::TimedOut, cx);
                }
            }
            SipTimer::RetransmitAnswer(leg_token) => self.retransmit_answer(leg_token, cx),
            SipTimer::RemoveLeg(leg_token) => self.remove_leg(leg_token),
        }
        self.process_output(cx);
    }
}
