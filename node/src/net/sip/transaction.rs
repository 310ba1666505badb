//! The transactions of RFC 3261, section 17, with the Accepted states of RFC 6026: what is sent again, what
//! is absorbed, and when a transaction is over. No sockets here; all output is in [`Output`].

use super::message::{self, Message};
use crate::arena::{Arena, Token};
use ezk_sip_types::{Method, Name};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How a message travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Protocol {
    /// Datagrams, with retransmissions.
    Udp,
    /// A stream.
    Tcp,
}

/// Where a message goes: over TCP on the connection where that is known and still there, else on one to
/// the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// How.
    pub protocol: Protocol,
    /// Where to.
    pub addr: SocketAddr,
    /// On which connection.
    pub conn: Option<Token>,
}

/// The base times of RFC 3261.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Round-trip estimate.
    pub t1: Duration,
    /// Longest retransmission interval of requests but INVITE, and of responses to INVITE.
    pub t2: Duration,
    /// How long a message stays in the network.
    pub t4: Duration,
}

impl Times {
    /// How long a transaction waits: 64 times T1.
    pub fn transaction(&self) -> Duration {
        self.t1 * 64
    }
}

/// The timers, by their names in RFC 3261 (table 4) and RFC 6026.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// INVITE is sent again.
    A,
    /// INVITE has had no response.
    B,
    /// Responses to INVITE are no longer absorbed.
    D,
    /// Another request is sent again.
    E,
    /// Another request has had no final response.
    F,
    /// The response to INVITE is sent again.
    G,
    /// No ACK has come.
    H,
    /// ACKs are no longer absorbed.
    I,
    /// Other requests are no longer absorbed.
    J,
    /// Other responses are no longer absorbed.
    K,
    /// INVITEs after a 2xx are no longer absorbed.
    L,
    /// 2xx responses are no longer passed on.
    M,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    ClientInvite,
    Client,
    ServerInvite,
    Server,
}

/// The states; a transaction that is terminated is out of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Calling, or Trying.
    Waiting,
    Proceeding,
    Completed,
    Confirmed,
    Accepted,
}

/// What the transactions want done.
#[derive(Debug)]
pub enum Output {
    /// Send the bytes, for this transaction.
    Send(Token, Target, Rc<[u8]>),
    /// Wake the transaction then.
    Wake(Duration, Token, Timer),
}

/// What a received message comes to.
#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    /// A request in a new server transaction.
    Request(Token),
    /// A response that the user of the client transaction wants to see.
    Response(Token),
    /// An ACK that belongs to no transaction: that of a 2xx.
    Ack,
    /// Dealt with: a retransmission, or the ACK of a refusal.
    Absorbed,
    /// A response that belongs to nothing.
    Stray,
    /// A new request for which there is no room: to be answered without a transaction, if at all.
    Full,
}

struct Transaction {
    kind: Kind,
    state: State,
    target: Target,
    key: Key,
    /// What was sent last, to be sent again.
    last: Rc<[u8]>,
    interval: Duration,
    /// Its user has given it up: it only waits for what may still come.
    hushed: bool,
    /// Of a client transaction: what an ACK or CANCEL repeats.
    sent: Option<Rc<Sent>>,
}

/// What an ACK or a CANCEL repeats of its INVITE.
#[derive(Debug)]
pub struct Sent {
    /// The request URI.
    pub uri: String,
    /// The Via, with its branch.
    pub via: String,
    /// From, To and Call-ID.
    pub from: String,
    /// From, To and Call-ID.
    pub to: String,
    /// From, To and Call-ID.
    pub call_id: String,
    /// The number in CSeq.
    pub cseq: u32,
    /// The Route headers.
    pub routes: Vec<String>,
}

impl Sent {
    /// Writes the ACK of a refusal (with the To of the response) or the CANCEL.
    pub fn follow_up(&self, method: &str, to: &str) -> Vec<u8> {
        let cseq = format!("{} {method}", self.cseq);
        let mut headers = vec![("Via", self.via.as_str()), ("Max-Forwards", "70"), ("From", &self.from)];
        headers.extend([("To", to), ("Call-ID", &self.call_id), ("CSeq", &cseq)]);
        headers.extend(self.routes.iter().map(|r| ("Route", r.as_str())));
        message::request(method, &self.uri, &headers, "")
    }
}

/// What tells transactions apart, by section 17.1.3 and 17.2.3. A branch without the magic cookie comes
/// from a sender of RFC 2543: then Call-ID, CSeq and the From tag stand in for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    client: bool,
    branch: String,
    method: String,
}

fn server_key(m: &Message, method: &Method) -> Key {
    let sent_by = format!("{:?}", m.via.sent_by);
    let branch = match m.branch() {
        b if b.starts_with("z9hG4bK") => format!("{b} {sent_by}"),
        _ => {
            let tag = m.from.tag.as_ref().map_or("", |t| t);
            format!("{} {} {tag} {sent_by}", m.call_id, m.cseq.cseq)
        }
    };
    let method = if *method == Method::ACK { Method::INVITE } else { method.clone() };
    Key { client: false, branch, method: method.to_string() }
}

/// All transactions.
pub struct Transactions {
    times: Times,
    /// Most transactions; requests of others beyond it are not taken. Over UDP each is kept for 64 times T1.
    most: usize,
    table: Arena<Transaction>,
    keys: HashMap<Key, Token>,
}

impl Transactions {
    /// No transactions yet.
    pub fn new(times: Times, most: usize) -> Self {
        Transactions { times, most, table: Arena::default(), keys: HashMap::new() }
    }

    fn add(&mut self, transaction: Transaction) -> Token {
        let key = transaction.key.clone();
        let token = self.table.insert(transaction);
        self.keys.insert(key, token);
        token
    }

    /// Ends a transaction.
    pub fn terminate(&mut self, token: Token) {
        if let Some(t) = self.table.remove(token) {
            if self.keys.get(&t.key) == Some(&token) {
                self.keys.remove(&t.key);
            }
        }
    }

    /// Sends a request in a new client transaction.
    pub fn request(
        &mut self,
        now: Duration,
        method: &str,
        branch: &str,
        bytes: Vec<u8>,
        (target, sent): (Target, Option<Rc<Sent>>),
        out: &mut Vec<Output>,
    ) -> Token {
        let invite = method == "INVITE";
        let key = Key { client: true, branch: branch.to_owned(), method: method.to_owned() };
        let kind = if invite { Kind::ClientInvite } else { Kind::Client };
        let (last, interval): (Rc<[u8]>, _) = (bytes.into(), self.times.t1);
        let state = State::Waiting;
        let token = self.add(Transaction {
            kind,
            state,
            target,
            key,
            last: Rc::clone(&last),
            interval,
            hushed: false,
            sent,
        });
        out.push(Output::Send(token, target, last));
        if target.protocol == Protocol::Udp {
            let again = if invite { Timer::A } else { Timer::E };
            out.push(Output::Wake(now + interval, token, again));
        }
        let over = if invite { Timer::B } else { Timer::F };
        out.push(Output::Wake(now + self.times.transaction(), token, over));
        token
    }

    /// Takes in a response.
    pub fn response(&mut self, now: Duration, m: &Message, out: &mut Vec<Output>) -> Taken {
        let key = Key { client: true, branch: m.branch().to_owned(), method: m.cseq.method.to_string() };
        let (Some(token), Some(status)) = (self.keys.get(&key).copied(), m.status()) else {
            return Taken::Stray;
        };
        let Some(t) = self.table.get_mut(token) else {
            return Taken::Stray;
        };
        let udp = t.target.protocol == Protocol::Udp;
        match (t.kind, t.state, status) {
            (_, State::Waiting | State::Proceeding, 100..=199) => {
                t.state = State::Proceeding;
                Taken::Response(token)
            }
            (Kind::ClientInvite, State::Waiting | State::Proceeding, 200..=299) => {
                t.state = State::Accepted;
                out.push(Output::Wake(now + self.times.transaction(), token, Timer::M));
                Taken::Response(token)
            }
            (Kind::ClientInvite, State::Accepted, 200..=299) => Taken::Response(token),
            (Kind::ClientInvite, State::Waiting | State::Proceeding, _) => {
                t.state = State::Completed;
                // Timer D: 32 s at least over UDP, nothing over TCP.
                let wait = if udp { self.times.transaction() } else { Duration::ZERO };
                out.push(Output::Wake(now + wait, token, Timer::D));
                Self::acknowledge(token, t, m, out);
                Taken::Response(token)
            }
            (Kind::ClientInvite, State::Completed, 300..) => {
                Self::acknowledge(token, t, m, out);
                Taken::Absorbed
            }
            (Kind::Client, State::Waiting | State::Proceeding, _) => {
                t.state = State::Completed;
                let wait = if udp { self.times.t4 } else { Duration::ZERO };
                out.push(Output::Wake(now + wait, token, Timer::K));
                Taken::Response(token)
            }
            _ => Taken::Absorbed,
        }
    }

    fn acknowledge(token: Token, t: &Transaction, m: &Message, out: &mut Vec<Output>) {
        if let (Some(sent), Some(to)) = (&t.sent, m.header(Name::TO)) {
            out.push(Output::Send(token, t.target, sent.follow_up("ACK", to).into()));
        }
    }

    /// Takes in a request.
    pub fn take_request(
        &mut self,
        now: Duration,
        m: &Message,
        method: &Method,
        source: Target,
        out: &mut Vec<Output>,
    ) -> Taken {
        let key = server_key(m, method);
        if let Some(token) = self.keys.get(&key).copied() {
            let Some(t) = self.table.get_mut(token) else {
                return Taken::Absorbed;
            };
            match (t.kind, t.state) {
                (Kind::ServerInvite, State::Completed) if *method == Method::ACK => {
                    t.state = State::Confirmed;
                    let udp = t.target.protocol == Protocol::Udp;
                    let wait = if udp { self.times.t4 } else { Duration::ZERO };
                    out.push(Output::Wake(now + wait, token, Timer::I));
                }
                (Kind::ServerInvite, State::Accepted) if *method == Method::ACK => return Taken::Ack,
                // The 2xx is sent again by the dialog; all else is answered as before.
                (Kind::ServerInvite, State::Confirmed | State::Accepted) => {}
                _ if *method != Method::ACK && !t.last.is_empty() => {
                    out.push(Output::Send(token, t.target, Rc::clone(&t.last)));
                }
                _ => {}
            }
            return Taken::Absorbed;
        }
        if *method == Method::ACK {
            return Taken::Ack;
        }
        if self.table.len() >= self.most {
            return Taken::Full;
        }
        let kind = if *method == Method::INVITE { Kind::ServerInvite } else { Kind::Server };
        let (state, interval, last) = (State::Waiting, self.times.t1, Rc::from([]));
        Taken::Request(self.add(Transaction {
            kind,
            state,
            target: source,
            key,
            last,
            interval,
            hushed: false,
            sent: None,
        }))
    }

    /// The INVITE transaction that a CANCEL is meant for, while it has no final response.
    pub fn cancelled(&self, cancel: &Message) -> Option<Token> {
        let token = *self.keys.get(&server_key(cancel, &Method::INVITE))?;
        Some(token)
    }

    /// Whether a server transaction still owes its final response.
    pub fn is_owed(&self, token: Token) -> bool {
        self.table.get(token).is_some_and(|t| matches!(t.state, State::Waiting | State::Proceeding))
    }

    /// Whether a client transaction has had a provisional response and no final one.
    pub fn is_proceeding(&self, token: Token) -> bool {
        self.table.get(token).is_some_and(|t| t.state == State::Proceeding)
    }

    /// An INVITE given up before any response is not sent again: what has reached the exchange may still be
    /// answered, but a retransmission would be a new attempt.
    pub fn hush(&mut self, token: Token) {
        if let Some(t) = self.table.get_mut(token) {
            t.hushed = true;
        }
    }

    /// Whether a request but INVITE still waits for its final response.
    pub fn is_waiting(&self) -> bool {
        let waits = |t: &Transaction| matches!(t.state, State::Waiting | State::Proceeding);
        self.table.iter().any(|(_, t)| t.kind == Kind::Client && waits(t))
    }

    /// Sends a response in a server transaction; a final one only once.
    pub fn respond(
        &mut self,
        now: Duration,
        token: Token,
        status: u16,
        bytes: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        let Some(t) = self.table.get_mut(token) else {
            return;
        };
        if !matches!(t.state, State::Waiting | State::Proceeding) {
            return;
        }
        t.last = bytes.into();
        out.push(Output::Send(token, t.target, Rc::clone(&t.last)));
        let udp = t.target.protocol == Protocol::Udp;
        let whole = self.times.transaction();
        match (t.kind, status) {
            (_, 100..=199) => t.state = State::Proceeding,
            (Kind::ServerInvite, 200..=299) => {
                t.state = State::Accepted;
                out.push(Output::Wake(now + whole, token, Timer::L));
            }
            (Kind::ServerInvite, _) => {
                t.state = State::Completed;
                if udp {
                    out.push(Output::Wake(now + self.times.t1, token, Timer::G));
                }
                out.push(Output::Wake(now + whole, token, Timer::H));
            }
            _ => {
                t.state = State::Completed;
                let wait = if udp { whole } else { Duration::ZERO };
                out.push(Output::Wake(now + wait, token, Timer::J));
            }
        }
    }

    /// A timer is due. True if the transaction has ended without what it waited for.
    pub fn due(&mut self, now: Duration, token: Token, timer: Timer, out: &mut Vec<Output>) -> bool {
        let Some(t) = self.table.get_mut(token) else {
            return false;
        };
        let waits = matches!(t.state, State::Waiting | State::Proceeding);
        match (timer, t.state) {
            (Timer::A, _) if t.hushed => {}
            (Timer::A, State::Waiting) | (Timer::G, State::Completed) => {
                let most = if timer == Timer::A { Duration::MAX } else { self.times.t2 };
                t.interval = (t.interval * 2).min(most);
                out.push(Output::Send(token, t.target, Rc::clone(&t.last)));
                out.push(Output::Wake(now + t.interval, token, timer));
            }
            (Timer::E, _) if waits => {
                t.interval = match t.state {
                    State::Proceeding => self.times.t2,
                    _ => (t.interval * 2).min(self.times.t2),
                };
                out.push(Output::Send(token, t.target, Rc::clone(&t.last)));
                out.push(Output::Wake(now + t.interval, token, timer));
            }
            // Once a provisional response has come, INVITE waits for as long as its user does.
            (Timer::B, State::Waiting) | (Timer::H, State::Completed) => {
                self.terminate(token);
                return true;
            }
            (Timer::F, _) if waits => {
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
