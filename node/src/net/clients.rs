//! The callers' side of the platform's wire.

use super::conn::Conn;
use super::lines::{is_hex, line, list_value, Message};
use super::{lifecycle, Context, SourceKind, TimerEvent, ACCEPT_BATCH, MESSAGE_TIMEOUT};
use crate::arena::{Arena, Token};
use crate::config::{Limits, WireConfig};
use crate::end::EndReason;
use crate::engine::{CallInfo, CallToken, Command, IncomingCall, ReleaseCause};
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use slateshed::{DialledNumber, ExchangeNumber, Origin};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// Causes of a final answer: refused, failed; of a release: ended, cut.
const REFUSED: u32 = 42;
const FAILED: u32 = 47;
const ENDED: u32 = 16;
const CUT: u32 = 41;
/// A connection that closes within this time of a release on it may have lost it: it is sent again.
const MAY_CROSS: Duration = Duration::from_secs(1);
/// How long a release waits for a connection to go out on.
const RELEASE_KEPT: Duration = Duration::from_secs(30);
/// Wait before accepting again when there is no room.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Wait before looking again at one that is still owed its first answer.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// Reads of a connection in one turn. What is left is read in the next, after all others have had theirs.
const READS: usize = 4;
/// A caller waits no longer than its class's deadline; this is for clocks and rounding.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// Numbers of exchanges and of circuits are below this.
const MOST_FIGURE: f64 = 65_535.0;
/// Releases that wait for a connection at most.
const MOST_UNSENT: usize = 4096;

struct Client {
    conn: Conn,
    peer: IpAddr,
    since: Duration,
    /// Set-ups on it whose answer is owed.
    open: usize,
    /// Calls of it that stand: their end is told here.
    standing: usize,
    /// It has been given an answer, to a set-up or a test.
    answered: bool,
    /// A set-up has come on it: whoever only tests is no caller, and has no use for a release.
    calls: bool,
    /// It has confirmed the end of a call.
    confirms: bool,
    /// Since when its next message has been awaited or unfinished; none between messages.
    awaited: Option<Duration>,
    /// A deadline is set for that.
    watched: bool,
    last_heard: Duration,
    /// Releases sent on it lately that have not been heard, with their ids: a close that they cross loses them.
    released: Vec<(Duration, Release)>,
}

impl Client {
    /// Whether a release sent on it may still be on its way.
    fn is_releasing(&self, now: Duration) -> bool {
        self.released.iter().any(|(at, _)| *at + MAY_CROSS > now)
    }
}

/// The end of a call that stood, as its caller is told.
struct Release {
    tag: String,
    /// Where its caller is.
    host: IpAddr,
    cause: u32,
    /// Nobody can be told any more after this.
    until: Duration,
}

struct Known {
    tag: String,
    conn: Token,
    peer: IpAddr,
    owed: bool,
    stands: bool,
}

/// All client connections and the calls that came on them.
pub struct Clients {
    /// None once what arrives is left to another process.
    listener: Option<TcpListener>,
    limits: Limits,
    conns: Arena<Client>,
    calls: HashMap<CallToken, Known>,
    /// Calls whose answer is owed.
    owed: usize,
    by_tag: HashMap<String, CallToken>,
    /// Releases that found no connection.
    unsent: VecDeque<Release>,
    doomed: Vec<(Token, EndReason)>,
    /// Connections that had more to read than one turn allows.
    unread: Vec<Token>,
    /// There is no room, so nothing is accepted for a moment.
    paused: bool,
    /// More may wait to be accepted than one turn allows.
    unaccepted: bool,
}

impl Clients {
    /// Takes over the listener, which is registered already.
    pub fn new(listener: TcpListener, limits: Limits) -> Self {
        Clients {
            listener: Some(listener),
            limits,
            conns: Arena::default(),
            calls: HashMap::new(),
            owed: 0,
            by_tag: HashMap::new(),
            unsent: VecDeque::new(),
            doomed: Vec::new(),
            unread: Vec::new(),
            paused: false,
            unaccepted: false,
        }
    }

    /// Whether a call came in here.
    pub fn owns(&self, call: CallToken) -> bool {
        self.calls.contains_key(&call)
    }

    /// Whether all that was sent has been written.
    pub fn is_flushed(&self) -> bool {
        self.conns.iter().all(|(_, c)| c.conn.is_flushed())
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Whether a set-up has begun to come that is not whole.
    pub fn is_asked(&self) -> bool {
        self.conns.iter().any(|(_, c)| c.conn.has_partial_line())
    }

    /// Leaves what arrives from now on to the process that replaces this one.
    pub fn leave_door(&mut self, cx: &mut Context) {
        if let Some(mut listener) = self.listener.take() {
            let _ = cx.registry.deregister(&mut listener);
        }
    }

    /// Accepts those that wait, as far as there is room and the turn allows. The rest wait on for a moment.
    pub fn accept(&mut self, cx: &mut Context) {
        if self.paused {
            return;
        }
        for _ in 0..ACCEPT_BATCH {
            let held = self.conns.len();
            if held >= self.limits.max_clients() && !self.make_way(cx) {
                cx.log.line(cx.now, "accept-paused", format_args!("{held} clients"));
                return self.pause(cx);
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, peer)) => {
                    if held >= self.limits.idle_clients_from() {
                        self.make_way(cx);
                    }
                    self.add(stream, peer.ip(), cx);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    // No descriptor or no memory.
                    cx.log.line(cx.now, "accept-failed", e);
                    if !self.make_way(cx) {
                        return self.pause(cx);
                    }
                }
            }
        }
        self.unaccepted = true;
    }

    /// The pause is over.
    pub fn accept_due(&mut self, cx: &mut Context) {
        self.paused = false;
        self.accept(cx);
    }

    fn pause(&mut self, cx: &mut Context) {
        self.paused = true;
        cx.timers.schedule(cx.now + ACCEPT_AGAIN, TimerEvent::Accept);
    }

    /// Closes a connection that nobody is owed an answer on: first one whose calls are all over, which loses nothing
    /// by it; then one that never had an answer and may be about to ask; then one with calls that stand, whose end
    /// is to be told. Of these the one idle for longest. False if there is none, or if the first in turn was taken
    /// in just now: it has had no chance to speak, and costs nobody else his.
    fn make_way(&mut self, cx: &mut Context) -> bool {
        let idle = self.conns.iter().filter(|(_, c)| c.open == 0);
        let needed = |c: &Client| c.standing > 0 || c.is_releasing(cx.now);
        let rank = |c: &Client| (needed(c), !c.answered, c.last_heard);
        let first = idle.min_by_key(|(_, c)| rank(c)).filter(|(_, c)| c.last_heard < cx.now);
        let Some((token, client)) = first else {
            return false;
        };
        let (peer, standing) = (client.peer, client.standing);
        cx.log.line(
            cx.now,
            "client-closed",
            format_args!("{peer} why=\"makes way\" standing={standing}"),
        );
        self.end(token, EndReason::ClosedLocally, cx);
        true
    }

    fn add(&mut self, mut stream: TcpStream, peer: IpAddr, cx: &mut Context) {
        let now = cx.now;
        let (registry, bounds) = (cx.registry, self.limits.client_buffer_limits());
        let mut registered = Ok(());
        let token = self.conns.insert_with(|token| {
            let both = Interest::READABLE | Interest::WRITABLE;
            registered = registry.register(&mut stream, SourceKind::Client.token(token), both);
            Client {
                conn: Conn::new(stream, bounds, true),
                peer,
                since: now,
                open: 0,
                standing: 0,
                answered: false,
                calls: false,
                confirms: false,
                awaited: Some(now),
                watched: true,
                last_heard: now,
                released: Vec::new(),
            }
        });
        if let Err(e) = registered {
            cx.log.line(now, "register-failed", e);
            self.conns.remove(token);
            return;
        }
        cx.timers.schedule(now + MESSAGE_TIMEOUT, TimerEvent::Client(token));
        self.send_kept(token, Some(peer), now);
    }

    /// Sends the releases that wait for a connection: those for a host, or all.
    fn send_kept(&mut self, token: Token, host: Option<IpAddr>, now: Duration) {
        self.unsent.retain(|r| r.until > now);
        for release in std::mem::take(&mut self.unsent) {
            if host.is_none_or(|h| h == release.host) {
                self.release(Some(token), release, now);
            } else {
                self.unsent.push_back(release);
            }
        }
    }

    /// A client should have said something by now.
    pub fn due(&mut self, token: Token, cx: &mut Context) {
        let Some(client) = self.conns.get_mut(token) else {
            return;
        };
        let idle = client.open == 0 && !client.answered;
        let unfinished = client.awaited.filter(|_| client.answered || client.conn.has_partial_line());
        let next = match unfinished {
            Some(since) if cx.now >= since + MESSAGE_TIMEOUT => {
                return self.end(token, EndReason::PeerSilent, cx)
            }
            Some(since) => since + MESSAGE_TIMEOUT,
            None if idle => return self.end(token, EndReason::PeerSilent, cx),
            None if !client.answered => cx.now + LOOK_AGAIN,
            None => {
                client.watched = false;
                return;
            }
        };
        cx.timers.schedule(next, TimerEvent::Client(token));
    }

    /// Whether a connection has more to read than its last turn allowed, or more wait to be accepted.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty() || self.unaccepted
    }

    /// Accepts and reads on where the last turn left off.
    pub fn read_on(&mut self, cx: &mut Context) {
        if std::mem::take(&mut self.unaccepted) {
            self.accept(cx);
        }
        for token in std::mem::take(&mut self.unread) {
            self.ready(token, cx);
        }
    }

    /// A connection can be read or written.
    pub fn ready(&mut self, token: Token, cx: &mut Context) {
        if let Err(end) = self.read(token, cx) {
            self.end(token, end, cx);
        }
    }

    fn read(&mut self, token: Token, cx: &mut Context) -> Result<(), EndReason> {
        for _ in 0..READS {
            let Some(client) = self.conns.get_mut(token) else {
                return Ok(());
            };
            client.conn.flush()?;
            let read = client.conn.fill();
            client.last_heard = cx.now;
            // What came before the end of the stream still counts.
            while let Some(text) = self.conns.get_mut(token).map_or(Ok(None), |c| c.conn.next_line())? {
                if let Some(client) = self.conns.get_mut(token) {
                    client.awaited = None;
                }
                if !text.is_empty() {
                    self.message(token, Message::parse(&text)?, cx)?;
                }
            }
            if read? == 0 {
                self.watch(token, cx);
                return Ok(());
            }
        }
        self.watch(token, cx);
        self.unread.push(token);
        Ok(())
    }

    /// Sees to it that a message which has begun gets whole.
    fn watch(&mut self, token: Token, cx: &mut Context) {
        if let Some(client) = self.conns.get_mut(token).filter(|c| c.conn.has_partial_line()) {
            client.awaited.get_or_insert(cx.now);
            if !client.watched {
                client.watched = true;
                cx.timers.schedule(cx.now + MESSAGE_TIMEOUT, TimerEvent::Client(token));
            }
        }
    }

    fn message(&mut self, token: Token, message: Message, cx: &mut Context) -> Result<(), EndReason> {
        match message.verb.as_str() {
            "START" => self.start(token, message, cx),
            "FINISH" => {
                if let Some(call) = self.by_tag.get(&message.tag).copied() {
                    self.is_caller(token);
                    self.forget(call);
                    cx.engine.caller_ended(cx.now, call, cx.timers);
                }
                Ok(())
            }
            "ECHO" => {
                let passed = u32::from(cx.lifecycle.is_ready());
                self.answer(token, &line("ECHOED", &message.tag, &[], Some(passed), None));
                Ok(())
            }
            "FINISHED" => {
                if let Some(client) = self.conns.get_mut(token) {
                    let before = client.released.len();
                    client.released.retain(|(_, r)| r.tag != message.tag);
                    client.confirms |= client.released.len() < before;
                }
                Ok(())
            }
            "PENDING" => Ok(()),
            _ => Err(EndReason::MalformedMessage),
        }
    }

    fn start(&mut self, token: Token, message: Message, cx: &mut Context) -> Result<(), EndReason> {
        let Some(client) = self.conns.get(token) else {
            return Ok(());
        };
        // Without an id of its own a set-up can't be answered; forwarded, it would cost the connection to the
        // exchange, whatever else is open there.
        if !is_hex(&message.tag) {
            return Err(EndReason::MalformedMessage);
        }
        if self.by_tag.contains_key(&message.tag) {
            // Answered under the id, it would look like the answer to the call that has it.
            cx.log.line(cx.now, "set-up-twice", &message.tag);
            return Err(EndReason::MalformedMessage);
        }
        let peer = client.peer;
        let tag = message.tag.clone();
        let new = match incoming(message, cx.wire) {
            Ok(new) => new,
            Err(field) => {
                // Its caller has an id to be answered by, so it costs the call and not the connection.
                cx.log.line(cx.now, "set-up-malformed", format_args!("{tag}: {field}"));
                self.answer(token, &line("FINISH", &tag, &[], Some(FAILED), None));
                return Ok(());
            }
        };
        let drained = match cx.lifecycle.client_policy(cx.now) {
            lifecycle::ClientPolicy::Keep => false,
            lifecycle::ClientPolicy::Close(old) => self.stays_for_calls(token, old),
            lifecycle::ClientPolicy::Refuse(_) => true,
        };
        if drained || self.owed >= self.limits.calls() {
            if !drained {
                cx.log.line(cx.now, "too-many-calls", format_args!("{} owed", self.owed));
            }
            cx.engine.count_refused(new.class);
            // There is nothing to wait for at one that is drained: others take the call at once.
            let wait =
                cx.engine.max_retry_after().filter(|_| !drained).map(|s| s.as_millis().to_string());
            let opts: Vec<_> = wait.iter().map(|w| ("wait", w.as_str())).collect();
            self.answer(token, &line("FINISH", &tag, &opts, Some(REFUSED), None));
        } else {
            if let Some(client) = self.conns.get_mut(token) {
                client.open += 1;
            }
            self.owed += 1;
            let call = cx.engine.new_call(cx.now, new, cx.timers);
            self.by_tag.insert(tag.clone(), call);
            self.calls.insert(call, Known { tag, conn: token, peer, owed: true, stands: false });
        }
        // Callers are known by their calls: a release that waits may go to one.
        self.is_caller(token);
        self.send_kept(token, None, cx.now);
        Ok(())
    }

    fn is_caller(&mut self, token: Token) {
        if let Some(client) = self.conns.get_mut(token) {
            client.calls = true;
        }
    }

    /// Forgets a call that is over.
    fn forget(&mut self, call: CallToken) -> Option<Known> {
        self.settled(call, false);
        let known = self.calls.remove(&call)?;
        self.by_tag.remove(&known.tag);
        if let Some(client) = self.conns.get_mut(known.conn).filter(|_| known.stands) {
            client.standing -= 1;
        }
        Some(known)
    }

    /// The final answer of a call is given, or not owed any more.
    fn settled(&mut self, call: CallToken, stands: bool) {
        if let Some(known) = self.calls.get_mut(&call).filter(|k| k.owed) {
            (known.owed, known.stands) = (false, stands);
            self.owed -= 1;
            if let Some(client) = self.conns.get_mut(known.conn) {
                client.open -= 1;
                client.standing += usize::from(stands);
            }
        }
    }

    /// Carries out a command for a call that came in here.
    pub fn command(&mut self, command: Command, cx: &mut Context) {
        match command {
            Command::Answer(call, description) => {
                self.settled(call, true);
                if let Some(k) = self.calls.get(&call) {
                    let (conn, answer) =
                        (k.conn, line("STARTED", &k.tag, &[], None, Some(&description)));
                    self.answer(conn, &answer);
                }
            }
            Command::Refuse(call, stay) => {
                let wait = stay.map(|s| s.as_millis().to_string());
                let opts: Vec<_> = wait.iter().map(|w| ("wait", w.as_str())).collect();
                if let Some(k) = self.forget(call) {
                    self.answer(k.conn, &line("FINISH", &k.tag, &opts, Some(REFUSED), None));
                }
            }
            Command::Fail(call) => {
                if let Some(k) = self.forget(call) {
                    self.answer(k.conn, &line("FINISH", &k.tag, &[], Some(FAILED), None));
                }
            }
            Command::ReleaseCaller(call, cause) => {
                let Some(k) = self.forget(call) else {
                    return;
                };
                let cause = if cause == ReleaseCause::Normal { ENDED } else { CUT };
                let conn = self.way_back(k.conn, k.peer);
                if conn.is_none() {
                    let why = "no connection of its caller";
                    cx.log.line(cx.now, "release-kept", format_args!("call={} why=\"{why}\"", k.tag));
                }
                let release = Release { tag: k.tag, host: k.peer, cause, until: cx.now + RELEASE_KEPT };
                self.release(conn, release, cx.now);
            }
            _ => {}
        }
    }

    /// The connection for a release: the call's own, else one from the same host, else one that has confirmed another,
    /// else one on which a call has come; of these the newest. Any other from elsewhere may be anybody's.
    fn way_back(&self, own: Token, host: IpAddr) -> Option<Token> {
        if self.conns.get(own).is_some() {
            return Some(own);
        }
        let callers = self.conns.iter().filter(|(_, c)| c.calls || c.peer == host);
        let rank = |c: &Client| (c.peer == host, c.confirms, c.calls, c.last_heard);
        callers.max_by_key(|(_, c)| rank(c)).map(|(token, _)| token)
    }

    /// Sends a release, or keeps it for the next connection.
    fn release(&mut self, conn: Option<Token>, release: Release, now: Duration) {
        let Some((token, client)) = conn.and_then(|t| Some((t, self.conns.get_mut(t)?))) else {
            if self.unsent.len() >= MOST_UNSENT {
                self.unsent.pop_front();
            }
            return self.unsent.push_back(release);
        };
        let bytes = line("FINISH", &release.tag, &[], Some(release.cause), None);
        client.released.retain(|(at, _)| *at + MAY_CROSS > now);
        client.released.push((now, release));
        self.send(token, &bytes);
    }

    /// Sends an answer.
    fn answer(&mut self, token: Token, bytes: &[u8]) {
        if let Some(client) = self.conns.get_mut(token) {
            client.answered = true;
        }
        self.send(token, bytes);
    }

    fn send(&mut self, token: Token, bytes: &[u8]) {
        if let Some(client) = self.conns.get_mut(token) {
            if let Err(end) = client.conn.send(bytes) {
                self.doomed.push((token, end));
            }
        }
    }

    /// Ends the connections that broke while something was sent.
    pub fn reap(&mut self, cx: &mut Context) {
        for (token, end) in std::mem::take(&mut self.doomed) {
            self.end(token, end, cx);
        }
        match cx.lifecycle.client_policy(cx.now) {
            lifecycle::ClientPolicy::Keep => {}
            lifecycle::ClientPolicy::Close(old) | lifecycle::ClientPolicy::Refuse(old) => {
                self.close_idle(old, cx)
            }
        }
    }

    /// Closes the connections that have had their answers, on which no release is on its way, and that the end of a
    /// call need not be told on. One that has not spoken yet is left its time to do so.
    fn close_idle(&mut self, old: Duration, cx: &mut Context) {
        let settled = |c: &Client| c.answered && c.open == 0 && !c.is_releasing(cx.now);
        let idle = |c: &Client| settled(c) && c.conn.is_flushed() && !c.conn.has_partial_line();
        let idle = self.conns.iter().filter(|(token, c)| idle(c) && !self.unread.contains(token));
        let idle = idle.filter(|(token, _)| !self.stays_for_calls(*token, old));
        let idle: Vec<_> = idle.map(|(token, _)| token).collect();
        idle.into_iter().for_each(|token| self.end(token, EndReason::ClosedLocally, cx));
    }

    /// Whether a connection would be closed in a drain but for the ends of its calls, which are to be told there. One that
    /// came after the clients could notice stays only while none from before is there for that.
    fn stays_for_calls(&self, token: Token, old: Duration) -> bool {
        let kept = || self.conns.iter().any(|(_, c)| c.since < old && c.standing > 0);
        let client = self.conns.get(token).filter(|c| c.standing > 0 && !old.is_zero());
        client.is_some_and(|c| c.since < old || !kept())
    }

    /// Closing a connection gives up the set-ups that are open on it; what stands belongs to none.
    fn end(&mut self, token: Token, end: EndReason, cx: &mut Context) {
        let Some(mut client) = self.conns.remove(token) else {
            return;
        };
        let _ = cx.registry.deregister(&mut client.conn.stream);
        if !matches!(end, EndReason::PeerClosed | EndReason::ClosedLocally) {
            cx.log.line(cx.now, "client-ended", format_args!("{}: {end}", client.peer));
        }
        for (_, release) in client.released.into_iter().filter(|(at, _)| *at + MAY_CROSS > cx.now) {
            let conn = self.way_back(token, release.host);
            let why = format_args!("call={} why=\"not heard when its connection closed\"", release.tag);
            cx.log.line(cx.now, "release-again", why);
            self.release(conn, release, cx.now);
        }
        if client.open > 0 {
            let open = self.calls.iter().filter(|(_, k)| k.conn == token && k.owed);
            let open: Vec<_> = open.map(|(call, _)| *call).collect();
            for call in open {
                self.forget(call);
                cx.engine.caller_ended(cx.now, call, cx.timers);
            }
        }
    }
}

/// Reads a set-up; names the field at fault. What goes on to an exchange unchanged must be what it can read,
/// as it closes its connection on anything else; and a figure that is out of range is not mended.
fn incoming(message: Message, wire: &WireConfig) -> Result<IncomingCall, &'static str> {
    let class = wire.classes.iter().position(|c| c == message.opt("class")).ok_or("class")?;
    let left: f64 = message.opt("left").parse().map_err(|_| "left")?;
    let patience = slateshed_settings::duration(left).ok_or("left")?;
    if patience.is_zero() || patience > wire.deadlines[class] + LEFT_SLACK {
        return Err("left");
    }
    let key = Some(message.opt("key")).filter(|k| is_hex(k)).ok_or("key")?;
    let dialled = u64::from_str_radix(key, 16).map_err(|_| "key")?;
    let extras = message.opt("extras");
    let count = |name| {
        let whole = |x: &f64| x.fract() == 0.0 && (0.0..=MOST_FIGURE).contains(x);
        list_value(extras, name).filter(whole).map(|x| x as u32)
    };
    let flag = |name| count(name).is_some_and(|x| x != 0);
    let origin = match () {
        () if flag("transit") => Origin::Transit,
        () if flag("again") => Origin::DroppedCall,
        () => Origin::Subscriber,
    };
    Ok(IncomingCall {
        class,
        dialled: DialledNumber(dialled),
        patience,
        destination: ExchangeNumber(count("dest").ok_or("extras.dest")?),
        circuits: count("width").filter(|w| *w > 0).ok_or("extras.width")?,
        route_hint: count("via").map(ExchangeNumber),
        origin,
        info: Rc::new(CallInfo {
            class: message.opt("class").to_owned(),
            key: key.to_owned(),
            description: message.blob.ok_or("blob")?,
            id: message.tag,
        }),
    })
}
