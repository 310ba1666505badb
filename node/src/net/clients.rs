//! The callers' side of the platform's wire.

use super::conn::Conn;
use super::lines::{figure, line, Message};
use super::{Context, Due, Kind};
use crate::config::{Limits, Words};
use crate::end::End;
use crate::engine::{CallToken, Cause, Command, Incoming, Offer};
use crate::slots::{Slots, Token};
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
/// Wait before accepting again when there is no descriptor.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

struct Client {
    conn: Conn,
    peer: IpAddr,
    /// Set-ups on it whose answer is owed.
    open: usize,
    last_heard: Duration,
    /// Releases sent on it lately: a close that they cross loses them.
    released: Vec<(Duration, Vec<u8>)>,
}

struct Known {
    tag: String,
    conn: Token,
    peer: IpAddr,
    owed: bool,
}

/// All client connections and the calls that came on them.
pub struct Clients {
    listener: TcpListener,
    limits: Limits,
    conns: Slots<Client>,
    calls: HashMap<CallToken, Known>,
    by_tag: HashMap<String, CallToken>,
    /// Releases that found no connection.
    unsent: VecDeque<(Duration, Vec<u8>)>,
    doomed: Vec<(Token, End)>,
}

impl Clients {
    /// Takes over the listener, which is registered already.
    pub fn new(listener: TcpListener, limits: Limits) -> Self {
        Clients {
            listener,
            limits,
            conns: Slots::default(),
            calls: HashMap::new(),
            by_tag: HashMap::new(),
            unsent: VecDeque::new(),
            doomed: Vec::new(),
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

    /// Accepts all that wait.
    pub fn accept(&mut self, cx: &mut Context) {
        loop {
            match self.listener.accept() {
                Ok((stream, peer)) => {
                    if self.conns.len() >= self.limits.clients() {
                        self.make_way(cx);
                    }
                    self.add(stream, peer.ip(), cx)
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    // No descriptor or no memory.
                    cx.log.line(cx.now, "accept-failed", e);
                    self.make_way(cx);
                    cx.deadlines.set(cx.now + ACCEPT_AGAIN, Due::Accept);
                    return;
                }
            }
        }
    }

    /// Closes the connection that has been idle for longest.
    fn make_way(&mut self, cx: &mut Context) {
        let idle = self.conns.iter().filter(|(_, c)| c.open == 0);
        if let Some((token, _)) = idle.min_by_key(|(_, c)| c.last_heard) {
            self.end(token, End::ClosedHere, cx);
        }
    }

    fn add(&mut self, mut stream: TcpStream, peer: IpAddr, cx: &mut Context) {
        let now = cx.now;
        let (registry, bounds) = (cx.registry, self.limits.client_bounds());
        let mut registered = Ok(());
        let token = self.conns.insert_with(|token| {
            let both = Interest::READABLE | Interest::WRITABLE;
            registered = registry.register(&mut stream, Kind::Client.token(token), both);
            Client {
                conn: Conn::new(stream, bounds, true),
                peer,
                open: 0,
                last_heard: now,
                released: Vec::new(),
            }
        });
        if let Err(e) = registered {
            cx.log.line(now, "register-failed", e);
            self.conns.remove(token);
            return;
        }
        self.unsent.retain(|(until, _)| *until > now);
        for (_, release) in std::mem::take(&mut self.unsent) {
            self.release(Some(token), release, now);
        }
    }

    /// A connection can be read or written.
    pub fn ready(&mut self, token: Token, cx: &mut Context) {
        if let Err(end) = self.read(token, cx) {
            self.end(token, end, cx);
        }
    }

    fn read(&mut self, token: Token, cx: &mut Context) -> Result<(), End> {
        loop {
            let Some(client) = self.conns.get_mut(token) else {
                return Ok(());
            };
            client.conn.flush()?;
            let read = client.conn.fill();
            client.last_heard = cx.now;
            // What came before the end of the stream still counts.
            while let Some(text) = self.conns.get_mut(token).map_or(Ok(None), |c| c.conn.line())? {
                if !text.is_empty() {
                    self.message(token, Message::parse(&text)?, cx)?;
                }
            }
            if read? == 0 {
                return Ok(());
            }
        }
    }

    fn message(&mut self, token: Token, message: Message, cx: &mut Context) -> Result<(), End> {
        match message.verb.as_str() {
            "START" => self.start(token, message, cx),
            "FINISH" => {
                if let Some(call) = self.by_tag.get(&message.tag).copied() {
                    self.forget(call);
                    cx.engine.caller_ends(cx.now, call, cx.deadlines);
                }
                Ok(())
            }
            "ECHO" => {
                let passed = u32::from(!cx.stopping);
                self.send(token, &line("ECHOED", &message.tag, &[], Some(passed), None));
                Ok(())
            }
            "FINISHED" | "PENDING" => Ok(()),
            _ => Err(End::Garbage),
        }
    }

    fn start(&mut self, token: Token, message: Message, cx: &mut Context) -> Result<(), End> {
        let Some(client) = self.conns.get_mut(token) else {
            return Ok(());
        };
        if self.by_tag.contains_key(&message.tag) {
            cx.log.line(cx.now, "set-up-twice", &message.tag);
            return Ok(());
        }
        let peer = client.peer;
        let tag = message.tag.clone();
        let new = match incoming(message, cx.words) {
            Ok(new) => new,
            Err(field) => {
                // Its caller has an id to be answered by, so it costs the call and not the connection.
                cx.log.line(cx.now, "set-up-malformed", format_args!("{tag}: {field}"));
                self.send(token, &line("FINISH", &tag, &[], Some(FAILED), None));
                return Ok(());
            }
        };
        client.open += 1;
        let call = cx.engine.call(cx.now, new, cx.deadlines);
        self.by_tag.insert(tag.clone(), call);
        self.calls.insert(call, Known { tag, conn: token, peer, owed: true });
        Ok(())
    }

    /// Forgets a call that is over.
    fn forget(&mut self, call: CallToken) -> Option<Known> {
        self.settled(call);
        let known = self.calls.remove(&call)?;
        self.by_tag.remove(&known.tag);
        Some(known)
    }

    /// The final answer of a call is given, or not owed any more.
    fn settled(&mut self, call: CallToken) {
        if let Some(known) = self.calls.get_mut(&call).filter(|k| k.owed) {
            known.owed = false;
            if let Some(client) = self.conns.get_mut(known.conn) {
                client.open -= 1;
            }
        }
    }

    /// Carries out a command for a call that came in here.
    pub fn command(&mut self, command: Command, cx: &mut Context) {
        match command {
            Command::Answer(call, description) => {
                self.settled(call);
                if let Some(k) = self.calls.get(&call) {
                    let (conn, answer) =
                        (k.conn, line("STARTED", &k.tag, &[], None, Some(&description)));
                    self.send(conn, &answer);
                }
            }
            Command::Refuse(call, stay) => {
                let wait = stay.map(|s| s.as_millis().to_string());
                let opts: Vec<_> = wait.iter().map(|w| ("wait", w.as_str())).collect();
                if let Some(k) = self.forget(call) {
                    self.send(k.conn, &line("FINISH", &k.tag, &opts, Some(REFUSED), None));
                }
            }
            Command::Fail(call) => {
                if let Some(k) = self.forget(call) {
                    self.send(k.conn, &line("FINISH", &k.tag, &[], Some(FAILED), None));
                }
            }
            Command::ReleaseCaller(call, cause) => {
                let Some(k) = self.forget(call) else {
                    return;
                };
                let rc = if cause == Cause::Normal { ENDED } else { CUT };
                let release = line("FINISH", &k.tag, &[], Some(rc), None);
                let conn = self.way_back(k.conn, k.peer);
                self.release(conn, release, cx.now);
            }
            _ => {}
        }
    }

    /// The connection for a release: the call's own, else one from the same host, else any.
    fn way_back(&self, own: Token, peer: IpAddr) -> Option<Token> {
        if self.conns.get(own).is_some() {
            return Some(own);
        }
        let newest = self.conns.iter().max_by_key(|(_, c)| (c.peer == peer, c.last_heard));
        newest.map(|(token, _)| token)
    }

    /// Sends a release, or keeps it for the next connection.
    fn release(&mut self, conn: Option<Token>, release: Vec<u8>, now: Duration) {
        let Some((token, client)) = conn.and_then(|t| Some((t, self.conns.get_mut(t)?))) else {
            return self.unsent.push_back((now + RELEASE_KEPT, release));
        };
        client.released.retain(|(at, _)| *at + MAY_CROSS > now);
        client.released.push((now, release.clone()));
        self.send(token, &release);
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
    }

    /// Closing a connection gives up the set-ups that are open on it; what stands belongs to none.
    fn end(&mut self, token: Token, end: End, cx: &mut Context) {
        let Some(mut client) = self.conns.remove(token) else {
            return;
        };
        let _ = cx.registry.deregister(&mut client.conn.stream);
        if !matches!(end, End::Closed | End::ClosedHere) {
            cx.log.line(cx.now, "client-ended", format_args!("{}: {end}", client.peer));
        }
        for (_, release) in client.released.into_iter().filter(|(at, _)| *at + MAY_CROSS > cx.now) {
            let conn = self.way_back(token, client.peer);
            self.release(conn, release, cx.now);
        }
        if client.open > 0 {
            let open = self.calls.iter().filter(|(_, k)| k.conn == token && k.owed);
            let open: Vec<_> = open.map(|(call, _)| *call).collect();
            for call in open {
                self.forget(call);
                cx.engine.caller_ends(cx.now, call, cx.deadlines);
            }
        }
    }
}

/// Reads a set-up; names the field at fault.
fn incoming(message: Message, words: &Words) -> Result<Incoming, &'static str> {
    let class = words.classes.iter().position(|c| c == message.opt("class")).ok_or("class")?;
    let left: f64 = message.opt("left").parse().map_err(|_| "left")?;
    let patience = slateshed_settings::duration(left).ok_or("left")?;
    let dialled = u64::from_str_radix(message.opt("key"), 16).map_err(|_| "key")?;
    let extras = message.opt("extras");
    let count = |name| {
        figure(extras, name).filter(|x| (0.0..=f64::from(u32::MAX)).contains(x)).map(|x| x as u32)
    };
    let flag = |name| count(name).is_some_and(|x| x != 0);
    let origin = match () {
        () if flag("transit") => Origin::Transit,
        () if flag("again") => Origin::Cut,
        () => Origin::Subscriber,
    };
    Ok(Incoming {
        class,
        dialled: DialledNumber(dialled),
        patience,
        destination: ExchangeNumber(count("dest").ok_or("extras.dest")?),
        circuits: count("width").ok_or("extras.width")?,
        advice: count("via").map(ExchangeNumber),
        origin,
        offer: Rc::new(Offer {
            class: message.opt("class").to_owned(),
            key: message.opt("key").to_owned(),
            description: message.blob.unwrap_or_default(),
            id: message.tag,
        }),
    })
}
