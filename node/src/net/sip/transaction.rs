//! The client and server transactions of RFC 3261, section 17, with the Accepted states of RFC 6026:
//! sending and absorbing retransmissions, and timeouts. This module does no I/O; it returns what has to be
//! done as [`Output`]. "TU" is the transaction user of RFC 3261: here, the code that handles legs
//! and dialogs.

use super::message::{self, Message};
use crate::arena::{Arena, Token};
use ezk_sip_types::{Method, Name};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The transport protocol of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Protocol {
    /// Datagrams; the transactions retransmit lost messages.
    Udp,
    /// A byte stream; TCP itself retransmits.
    Tcp,
}

/// Destination of a message. Over TCP, the message is sent on the given connection if that is still open, and
/// otherwise on any connection to the address, which is opened if there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The address.
    pub addr: SocketAddr,
    /// The TCP connection, if known.
    pub conn: Option<Token>,
}

/// The base timer values of RFC 3261.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Estimate of the round-trip time.
    pub t1: Duration,
    /// Maximum retransmission interval of non-INVITE requests and of responses to INVITE.
    pub t2: Duration,
    /// Maximum time that a message stays in the network.
    pub t4: Duration,
}

impl Times {
    /// Timeout of a transaction: 64 times T1.
    pub fn transaction_timeout(&self) -> Duration {
        self.t1 * 64
    }
}

/// The timers, under their names in RFC 3261 (table 4) and RFC 6026.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Retransmits an INVITE.
    A,
    /// Timeout of an INVITE without any response.
    B,
    /// Ends the wait for retransmissions of a non-2xx final response to an INVITE.
    D,
    /// Retransmits a non-INVITE request.
    E,
    /// Timeout of a non-INVITE request without a final response.
    F,
    /// Retransmits a non-2xx final response to an INVITE.
    G,
    /// Timeout of a non-2xx final response to an INVITE without an ACK.
    H,
    /// Ends the wait for retransmissions of an ACK.
    I,
    /// Ends the wait for retransmissions of a non-INVITE request.
    J,
    /// Ends the wait for retransmissions of a final response to a non-INVITE request.
    K,
    /// Ends the wait for retransmissions of an INVITE that was answered with a 2xx.
    L,
    /// Ends the wait for further 2xx responses to an INVITE, which are passed on to the TU.
    M,
}

/// The four kinds of transaction of RFC 3261.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    InviteClient,
    NonInviteClient,
    InviteServer,
    NonInviteServer,
}

/// State of a transaction. A terminated transaction is no longer in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No response received or sent yet; the RFC calls this Calling for an INVITE client transaction.
    Trying,
    Proceeding,
    Completed,
    Confirmed,
    Accepted,
}

/// An action that a transaction asks for.
#[derive(Debug)]
pub enum Output {
    /// Send these bytes for this transaction.
    Send(Token, Target, Rc<[u8]>),
    /// Start a timer of this transaction that is due at this time.
    StartTimer(Duration, Token, Timer),
}

/// The result of processing a received message.
#[derive(Debug, PartialEq, Eq)]
pub enum ReceiveResult {
    /// A new request, with the server transaction created for it.
    Request(Token),
    /// A response that the TU has to process, with its client transaction.
    Response(Token),
    /// The ACK of a 2xx. It is for the dialog, since it belongs to no transaction (RFC 3261, section 17).
    Ack,
    /// Fully processed here: a retransmission, or the ACK of a non-2xx final response.
    Absorbed,
    /// A response that matches no client transaction.
    Stray,
    /// A new request while the limit of transactions is reached. Any response has to be sent without a transaction.
    TableFull,
}

/// Whether a new request gets a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Only while the table has room.
    IfRoom,
    /// Always: it ends a call that exists here. There is at most one such request for each call and side.
    Always,
}

/// Memory that an entry of the table takes besides its messages: its state, its keys and its timers.
pub const TRANSACTION_OVERHEAD_BYTES: usize = 1024;

/// A client or server transaction.
struct Transaction {
    kind: Kind,
    state: State,
    target: Target,
    key: Key,
    /// The last message sent, for retransmission. Empty in a server transaction before its first response.
    last_message: Rc<[u8]>,
    retransmit_interval: Duration,
    /// Whether a request was sent again because its connection ended.
    was_resent: bool,
    /// The TU has abandoned the request: it is not retransmitted, but responses are still processed.
    retransmission_stopped: bool,
    /// INVITE client transaction: what its ACK or CANCEL repeats.
    sent_invite: Option<Rc<SentInvite>>,
}

impl Transaction {
    /// Memory that the transaction takes.
    fn held_bytes(&self) -> usize {
        let sent_invite_bytes = self.sent_invite.as_ref().map_or(0, |invite| invite.text_bytes());
        // The key is kept twice.
        let text_bytes = 2 * self.key.branch.len() + sent_invite_bytes;
        TRANSACTION_OVERHEAD_BYTES + text_bytes + self.last_message.len()
    }
}

/// The parts of a sent INVITE that its CANCEL, or the ACK of a non-2xx final response, repeats.
#[derive(Debug)]
pub struct SentInvite {
    /// The request URI.
    pub uri: String,
    /// The topmost Via, with its branch parameter.
    pub via: String,
    /// The From header field.
    pub from: String,
    /// The To header field.
    pub to: String,
    /// The Call-ID header field.
    pub call_id: String,
    /// The sequence number in CSeq.
    pub cseq: u32,
    /// The Route header fields.
    pub routes: Vec<String>,
}

impl SentInvite {
    /// Length of all parts.
    fn text_bytes(&self) -> usize {
        let fields = [&self.uri, &self.via, &self.from, &self.to, &self.call_id];
        fields.into_iter().chain(&self.routes).map(String::len).sum()
    }

    /// Writes the ACK of a non-2xx final response (`to` is the To of that response) or the CANCEL.
    pub fn ack_or_cancel(&self, method: &str, to: &str) -> Vec<u8> {
        let cseq = format!("{} {method}", self.cseq);
        let mut headers = vec![("Via", self.via.as_str()), ("Max-Forwards", "70"), ("From", &self.from)];
        headers.extend([("To", to), ("Call-ID", &self.call_id), ("CSeq", &cseq)]);
        headers.extend(self.routes.iter().map(|r| ("Route", r.as_str())));
        message::request(method, &self.uri, &headers, "")
    }
}

/// Identifies a transaction (RFC 3261, sections 17.1.3 and 17.2.3). A branch without the magic cookie comes from
/// an RFC 2543 sender and need not be unique; Call-ID, CSeq number and From tag then replace it. In a server
/// transaction, the sent-by of the topmost Via is part of `branch`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    is_client: bool,
    branch: String,
    method: String,
}

/// The key of the server transaction of a request. An ACK belongs to the transaction of its INVITE.
fn server_key(message: &Message, method: &Method) -> Key {
    let sent_by = format!("{:?}", message.via.sent_by);
    let branch = match message.branch() {
        b if b.starts_with("z9hG4bK") => format!("{b} {sent_by}"),
        _ => {
            let tag = message.from.tag.as_ref().map_or("", |t| t);
            format!("{} {} {tag} {sent_by}", message.call_id, message.cseq.cseq)
        }
    };
    let method = if *method == Method::ACK { Method::INVITE } else { method.clone() };
    Key { is_client: false, branch, method: method.to_string() }
}

/// The table of all client and server transactions.
pub struct Transactions {
    times: Times,
    /// While the transactions take this much memory or more, new requests received are rejected, since over UDP each
    /// would be kept for 64 times T1. Requests sent from here are not limited.
    max_bytes: usize,
    /// Memory that the transactions take.
    held_bytes: usize,
    table: Arena<Transaction>,
    tokens_by_key: HashMap<Key, Token>,
}

impl Transactions {
    /// Creates an empty table.
    pub fn new(times: Times, max_bytes: usize) -> Self {
        let (table, tokens_by_key) = (Arena::default(), HashMap::new());
        Transactions { times, max_bytes, held_bytes: 0, table, tokens_by_key }
    }

    /// Memory that the transactions take.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Replaces the message that a transaction keeps for retransmission.
    fn replace_message(held_bytes: &mut usize, transaction: &mut Transaction, message: Rc<[u8]>) {
        *held_bytes += message.len();
        *held_bytes -= transaction.last_message.len();
        transaction.last_message = message;
    }

    fn insert(&mut self, transaction: Transaction) -> Token {
        let key = transaction.key.clone();
        self.held_bytes += transaction.held_bytes();
        let token = self.table.insert(transaction);
        self.tokens_by_key.insert(key, token);
        token
    }

    /// Removes a transaction from the table.
    pub fn terminate(&mut self, token: Token) {
        if let Some(transaction) = self.table.remove(token) {
            self.held_bytes -= transaction.held_bytes();
            if self.tokens_by_key.get(&transaction.key) == Some(&token) {
                self.tokens_by_key.remove(&transaction.key);
            }
        }
    }

    /// Sends a request in a new client transaction. `sent_invite` is needed for an INVITE only.
    pub fn send_request(
        &mut self,
        now: Duration,
        method: &str,
        branch: &str,
        bytes: Vec<u8>,
        (target, sent_invite): (Target, Option<Rc<SentInvite>>),
        output: &mut Vec<Output>,
    ) -> Token {
        let is_invite = method == "INVITE";
        let key = Key { is_client: true, branch: branch.to_owned(), method: method.to_owned() };
        let kind = if is_invite { Kind::InviteClient } else { Kind::NonInviteClient };
        let (last_message, retransmit_interval): (Rc<[u8]>, _) = (bytes.into(), self.times.t1);
        let state = State::Trying;
        let token = self.insert(Transaction {
            kind,
            state,
            target,
            key,
            last_message: Rc::clone(&last_message),
            retransmit_interval,
            was_resent: false,
            retransmission_stopped: false,
            sent_invite,
        });
        output.push(Output::Send(token, target, last_message));
        if target.protocol == Protocol::Udp {
            let retransmit_timer = if is_invite { Timer::A } else { Timer::E };
            output.push(Output::StartTimer(now + retransmit_interval, token, retransmit_timer));
        }
        let timeout_timer = if is_invite { Timer::B } else { Timer::F };
        output.push(Output::StartTimer(now + self.times.transaction_timeout(), token, timeout_timer));
        token
    }

    /// The connections on which a response is awaited or owed.
    pub fn pending_connections(&self) -> impl Iterator<Item = Token> + '_ {
        let is_pending = |t: &Transaction| matches!(t.state, State::Trying | State::Proceeding);
        self.table.iter().filter(move |(_, t)| is_pending(t)).filter_map(|(_, t)| t.target.conn)
    }

    /// Records the connection that the last message of a transaction was sent on.
    pub fn record_connection(&mut self, token: Token, conn: Option<Token>) {
        if let Some(transaction) = self.table.get_mut(token) {
            transaction.target.conn = conn.or(transaction.target.conn);
        }
    }

    /// Handles the end of a connection. Requests other than INVITE that were sent on it and have no final response
    /// may be lost: each is sent once more, on another connection.
    pub fn connection_ended(&mut self, conn: Token, output: &mut Vec<Output>) {
        let is_unanswered = |t: &Transaction| {
            t.kind == Kind::NonInviteClient && matches!(t.state, State::Trying | State::Proceeding)
        };
        for (token, transaction) in self.table.iter_mut() {
            if transaction.target.conn == Some(conn)
                && is_unanswered(transaction)
                && !transaction.was_resent
            {
                transaction.was_resent = true;
                transaction.target.conn = None;
                let bytes = Rc::clone(&transaction.last_message);
                output.push(Output::Send(token, transaction.target, bytes));
            }
        }
    }

    /// Processes a received response.
    pub fn receive_response(
        &mut self,
        now: Duration,
        message: &Message,
        output: &mut Vec<Output>,
    ) -> ReceiveResult {
        let key = Key {
            is_client: true,
            branch: message.branch().to_owned(),
            method: message.cseq.method.to_string(),
        };
        let (Some(token), Some(status)) = (self.tokens_by_key.get(&key).copied(), message.status())
        else {
            return ReceiveResult::Stray;
        };
        let Some(transaction) = self.table.get_mut(token) else {
            return ReceiveResult::Stray;
        };
        let is_udp = transaction.target.protocol == Protocol::Udp;
        if transaction.kind == Kind::InviteClient {
            // An INVITE is not retransmitted after a response.
            Self::replace_message(&mut self.held_bytes, transaction, Rc::from([]));
        }
        match (transaction.kind, transaction.state, status) {
            (_, State::Trying | State::Proceeding, 100..=199) => {
                transaction.state = State::Proceeding;
                ReceiveResult::Response(token)
            }
            (Kind::InviteClient, State::Trying | State::Proceeding, 200..=299) => {
                transaction.state = State::Accepted;
                output.push(Output::StartTimer(now + self.times.transaction_timeout(), token, Timer::M));
                ReceiveResult::Response(token)
            }
            (Kind::InviteClient, State::Accepted, 200..=299) => ReceiveResult::Response(token),
            (Kind::InviteClient, State::Trying | State::Proceeding, _) => {
                transaction.state = State::Completed;
                // RFC 3261 requires at least 32 s for timer D over UDP (64 times the default T1), and zero over TCP.
                let wait = if is_udp { self.times.transaction_timeout() } else { Duration::ZERO };
                output.push(Output::StartTimer(now + wait, token, Timer::D));
                Self::send_ack(token, transaction, message, output);
                ReceiveResult::Response(token)
            }
            (Kind::InviteClient, State::Completed, 300..) => {
                Self::send_ack(token, transaction, message, output);
                ReceiveResult::Absorbed
            }
            (Kind::NonInviteClient, State::Trying | State::Proceeding, _) => {
                transaction.state = State::Completed;
                let wait = if is_udp { self.times.t4 } else { Duration::ZERO };
                output.push(Output::StartTimer(now + wait, token, Timer::K));
                ReceiveResult::Response(token)
            }
            _ => ReceiveResult::Absorbed,
        }
    }

    /// Sends the ACK of a non-2xx final response.
    fn send_ack(token: Token, transaction: &Transaction, message: &Message, output: &mut Vec<Output>) {
        if let (Some(sent_invite), Some(to)) = (&transaction.sent_invite, message.header(Name::TO)) {
            output.push(Output::Send(
                token,
                transaction.target,
                sent_invite.ack_or_cancel("ACK", to).into(),
            ));
        }
    }

    /// Processes a received request.
    pub fn receive_request(
        &mut self,
        now: Duration,
        message: &Message,
        method: &Method,
        source: Target,
        admission: Admission,
        output: &mut Vec<Output>,
    ) -> ReceiveResult {
        let key = server_key(message, method);
        if let Some(token) = self.tokens_by_key.get(&key).copied() {
            let Some(transaction) = self.table.get_mut(token) else {
                return ReceiveResult::Absorbed;
            };
            if source.protocol == Protocol::Tcp {
                // The responses are sent on the stream on which the request was received last.
                transaction.target = source;
            }
            match (transaction.kind, transaction.state) {
                (Kind::InviteServer, State::Completed) if *method == Method::ACK => {
                    transaction.state = State::Confirmed;
                    let is_udp = transaction.target.protocol == Protocol::Udp;
                    let wait = if is_udp { self.times.t4 } else { Duration::ZERO };
                    output.push(Output::StartTimer(now + wait, token, Timer::I));
                }
                (Kind::InviteServer, State::Accepted) if *method == Method::ACK => {
                    return ReceiveResult::Ack
                }
                // Accepted: the TU retransmits the 2xx. Confirmed: the ACK has arrived, nothing is retransmitted.
                // In all other states a retransmitted request is answered with the last response again, if any.
                (Kind::InviteServer, State::Confirmed | State::Accepted) => {}
                _ if *method != Method::ACK && !transaction.last_message.is_empty() => {
                    output.push(Output::Send(
                        token,
                        transaction.target,
                        Rc::clone(&transaction.last_message),
                    ));
                }
                _ => {}
            }
            return ReceiveResult::Absorbed;
        }
        if *method == Method::ACK {
            return ReceiveResult::Ack;
        }
        if admission == Admission::IfRoom && self.held_bytes >= self.max_bytes {
            return ReceiveResult::TableFull;
        }
        let kind = if *method == Method::INVITE { Kind::InviteServer } else { Kind::NonInviteServer };
        let (state, retransmit_interval, last_message) = (State::Trying, self.times.t1, Rc::from([]));
        ReceiveResult::Request(self.insert(Transaction {
            kind,
            state,
            target: source,
            key,
            last_message,
            retransmit_interval,
            was_resent: false,
            retransmission_stopped: false,
            sent_invite: None,
        }))
    }

    /// Whether a received request belongs to a server transaction that exists.
    pub fn is_known(&self, message: &Message, method: &Method) -> bool {
        self.tokens_by_key.contains_key(&server_key(message, method))
    }

    /// The server transaction of the INVITE that a CANCEL refers to. It may have sent its final response already.
    pub fn invite_of_cancel(&self, cancel: &Message) -> Option<Token> {
        let token = *self.tokens_by_key.get(&server_key(cancel, &Method::INVITE))?;
        Some(token)
    }

    /// Whether a server transaction has not sent its final response yet.
    pub fn awaits_final_response(&self, token: Token) -> bool {
        self.table.get(token).is_some_and(|t| matches!(t.state, State::Trying | State::Proceeding))
    }

    /// Whether a client transaction has received a provisional response but no final one.
    pub fn is_proceeding(&self, token: Token) -> bool {
        self.table.get(token).is_some_and(|t| t.state == State::Proceeding)
    }

    /// Stops the retransmission of an INVITE that was abandoned before any response. A copy that has reached the
    /// exchange may still be answered, but a retransmission could be the first to reach it and start a new attempt.
    pub fn stop_retransmission(&mut self, token: Token) {
        if let Some(transaction) = self.table.get_mut(token) {
            transaction.retransmission_stopped = true;
        }
    }

    /// Whether a non-INVITE request that was sent from here has no final response yet.
    pub fn has_pending_requests(&self) -> bool {
        let is_pending = |t: &Transaction| matches!(t.state, State::Trying | State::Proceeding);
        self.table.iter().any(|(_, t)| t.kind == Kind::NonInviteClient && is_pending(t))
    }

    /// Sends a response in a server transaction. After a final response, further ones are ignored.
    pub fn send_response(
        &mut self,
        now: Duration,
        token: Token,
        status: u16,
        bytes: Vec<u8>,
        output: &mut Vec<Output>,
    ) {
        let Some(transaction) = self.table.get_mut(token) else {
            return;
        };
        if !matches!(transaction.state, State::Trying | State::Proceeding) {
            return;
        }
        let message: Rc<[u8]> = bytes.into();
        output.push(Output::Send(token, transaction.target, Rc::clone(&message)));
        // The TU retransmits the 2xx to an INVITE.
        let is_accepted = transaction.kind == Kind::InviteServer && (200..300).contains(&status);
        let kept = if is_accepted { Rc::from([]) } else { message };
        Self::replace_message(&mut self.held_bytes, transaction, kept);
        let is_udp = transaction.target.protocol == Protocol::Udp;
        let transaction_timeout = self.times.transaction_timeout();
        match (transaction.kind, status) {
            (_, 100..=199) => transaction.state = State::Proceeding,
            (Kind::InviteServer, 200..=299) => {
                transaction.state = State::Accepted;
                output.push(Output::StartTimer(now + transaction_timeout, token, Timer::L));
            }
            (Kind::InviteServer, _) => {
                transaction.state = State::Completed;
                if is_udp {
                    output.push(Output::StartTimer(now + self.times.t1, token, Timer::G));
                }
                output.push(Output::StartTimer(now + transaction_timeout, token, Timer::H));
            }
            _ => {
                transaction.state = State::Completed;
                let wait = if is_udp { transaction_timeout } else { Duration::ZERO };
                output.push(Output::StartTimer(now + wait, token, Timer::J));
            }
        }
    }

    /// Handles a timer that is due. Returns true if the transaction ended without the response or the ACK that it
    /// was waiting for.
    pub fn timer_due(
        &mut self,
        now: Duration,
        token: Token,
        timer: Timer,
        output: &mut Vec<Output>,
    ) -> bool {
        let Some(transaction) = self.table.get_mut(token) else {
            return false;
        };
        let is_pending = matches!(transaction.state, State::Trying | State::Proceeding);
        match (timer, transaction.state) {
            (Timer::A, _) if transaction.retransmission_stopped => {}
            (Timer::A, State::Trying) | (Timer::G, State::Completed) => {
                let max_interval = if timer == Timer::A { Duration::MAX } else { self.times.t2 };
                transaction.retransmit_interval =
                    (transaction.retransmit_interval * 2).min(max_interval);
                output.push(Output::Send(
                    token,
                    transaction.target,
                    Rc::clone(&transaction.last_message),
                ));
                output.push(Output::StartTimer(now + transaction.retransmit_interval, token, timer));
            }
            (Timer::E, _) if is_pending => {
                transaction.retransmit_interval = match transaction.state {
                    State::Proceeding => self.times.t2,
                    _ => (transaction.retransmit_interval * 2).min(self.times.t2),
                };
                output.push(Output::Send(
                    token,
                    transaction.target,
                    Rc::clone(&transaction.last_message),
                ));
                output.push(Output::StartTimer(now + transaction.retransmit_interval, token, timer));
            }
            // Timer B does not apply in Proceeding: after a provisional response, the TU decides how long to wait.
            (Timer::B, State::Trying) | (Timer::H, State::Completed) => {
                self.terminate(token);
                return true;
            }
            (Timer::F, _) if is_pending => {
                self.terminate(token);
                return true;
            }
            (Timer::D | Timer::J | Timer::K, State::Completed)
            | (Timer::I, State::Confirmed)
            | (Timer::L | Timer::M, State::Accepted) => self.terminate(token),
            _ => {}
        }
        false
    }
}
