//! The exchanges' side of the platform's wire: few connections, kept open, since the state of a trunk
//! group arrives unasked on them.

mod liveness;

use super::conn::{dial_end_reason, Conn};
use super::lines::{line, list_value, Message};
use super::{Context, SourceKind, TimerEvent};
use crate::arena::{Arena, Token};
use crate::config::Limits;
use crate::end::EndReason;
use crate::engine::{AttemptToken, CallInfo, Command, ReleaseCause};
use crate::liveness::{FailureSign, Incarnation};
use mio::net::TcpStream;
use mio::Interest;
use slateshed::{ExchangeId, Phase};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Wait before an exchange that could not be reached is dialled again without a call for it, and before a
/// connection is replaced that ended with nothing heard on it while others are up. Each time in a row doubles it,
/// up to the longest.
const REDIAL: Duration = Duration::from_millis(250);
const REPLACE: Duration = Duration::from_millis(50);
const REDIAL_MOST: Duration = Duration::from_secs(2);

/// A message is written at once: what is still not whole after this time has stopped short.
const STOPPED_SHORT: Duration = Duration::from_millis(200);
/// States of the group that the other connections to an exchange brought while one brought none: that one is
/// silent. A report travels no longer on one than on the other.
const MISSED: u32 = 3;
/// And not before this time.
const MISSED_FOR: Duration = Duration::from_millis(150);
/// Connections on which an exchange tells the state of the group.
const REPORTED_ON: usize = 4;
/// Times that a set-up which never left goes on another connection.
const MOVES: u32 = 3;
/// Reads of a connection in one turn. What is left is read in the next, after all others have had theirs.
const READS: usize = 16;
/// Ids of set-ups given up on a connection that are kept in mind.
const GIVEN_UP: usize = 16;
/// How long a release waits for a connection, and how many do.
const RELEASE_KEPT: Duration = Duration::from_secs(8);
const MOST_UNSENT: usize = 1024;

struct Peer {
    addr: SocketAddr,
    phase: Phase,
    /// The connections that new set-ups go on, up or on their way.
    links: Vec<Token>,
    /// Connections in a row that ended with nothing heard.
    failures: u32,
    /// A redial is set already.
    waiting: bool,
    /// The only connection is renewed, as the process that it leads to is silent: one more is dialled beside it.
    renews: Option<Incarnation>,
    /// Connections that were reset in a row, with nothing heard between.
    resets: u32,
    /// One of them was in use.
    resets_in_use: bool,
    reset_at: Duration,
    /// Releases of calls that stand, with no connection to go on yet.
    unsent: Vec<(Duration, Vec<u8>)>,
}

struct Link {
    conn: Conn,
    exchange: ExchangeId,
    /// Set-ups on it that have no answer yet.
    open: Vec<AttemptToken>,
    last_heard: Duration,
    /// When it came up, and the process that it leads to; none before.
    up_since: Duration,
    incarnation: Option<Incarnation>,
    /// Closed on this side since then: the peer is to close it as well.
    closing: Option<Duration>,
    /// Anything has been heard on it: the exchange speaks first on each new one.
    heard: bool,
    /// States of the group heard on others since the last on this.
    missed: u32,
    /// When the first of these came.
    missed_since: Duration,
    /// Since when a message has begun and is not whole.
    part_since: Option<Duration>,
    /// Ids of set-ups given up here of late: an answer that comes late is none to the next attempt.
    given_up: VecDeque<String>,
    /// Where the set-ups end in the stream that are not written whole.
    unwritten: VecDeque<u64>,
}

struct Sent {
    info: Rc<CallInfo>,
    exchange: ExchangeId,
    link: Token,
    at: Duration,
    until: Duration,
    /// Where it ends in the stream of its connection.
    end_at: u64,
    moves: u32,
}

/// All connections to exchanges and the attempts on them.
pub struct Exchanges {
    limits: Limits,
    peers: BTreeMap<ExchangeId, Peer>,
    links: Arena<Link>,
    attempts: HashMap<AttemptToken, Sent>,
    by_tag: HashMap<(ExchangeId, String), AttemptToken>,
    doomed: Vec<(Token, EndReason)>,
    /// Connections that had more to read than one turn allows.
    unread: Vec<Token>,
}

/// A set-up as it goes to an exchange.
fn set_up(info: &CallInfo, wait: Duration) -> Vec<u8> {
    let left = wait.as_millis().to_string();
    let opts = [("class", info.class.as_str()), ("key", &info.key), ("left", &left)];
    line("START", &info.id, &opts, None, Some(&info.description))
}

impl Exchanges {
    /// No exchanges yet.
    pub fn new(limits: Limits) -> Self {
        Exchanges {
            limits,
            peers: BTreeMap::new(),
            links: Arena::default(),
            attempts: HashMap::new(),
            by_tag: HashMap::new(),
            doomed: Vec::new(),
            unread: Vec::new(),
        }
    }

    /// Whether an attempt went out here.
    pub fn owns(&self, attempt: AttemptToken) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Whether all that was sent has been written to the connections that are up.
    pub fn is_flushed(&self) -> bool {
        self.links.iter().all(|(_, l)| !l.conn.is_connected() || l.conn.is_flushed())
    }

    /// The list has named an exchange, or has news of it. One that is gone is not known here any longer.
    pub fn listed(&mut self, exchange: ExchangeId, addr: SocketAddr, phase: Phase, cx: &mut Context) {
        if phase == Phase::Gone {
            return self.gone(exchange, cx);
        }
        let peer = self.peers.entry(exchange).or_insert_with(|| Peer {
            addr,
            phase,
            links: Vec::new(),
            failures: 0,
            waiting: false,
            renews: None,
            resets: 0,
            resets_in_use: false,
            reset_at: Duration::ZERO,
            unsent: Vec::new(),
        });
        peer.phase = phase;
        (peer.failures, peer.waiting) = (0, false);
        let moved = peer.addr != addr;
        peer.addr = addr;
        if moved {
            self.retire_all(exchange, cx);
        }
        if moved || phase != Phase::InService {
            self.drop_unsent(exchange, cx);
        }
        self.refill(exchange, cx);
    }

    /// Ends the connections to an exchange that are not up. What waits on one would go out as soon as it is,
    /// long after the exchange was said to drain or to have moved.
    fn drop_unsent(&mut self, exchange: ExchangeId, cx: &mut Context) {
        let late = self.links.iter().filter(|(_, l)| l.exchange == exchange && !l.conn.is_connected());
        let late: Vec<_> = late.map(|(token, _)| token).collect();
        late.into_iter().for_each(|token| self.end(token, EndReason::ClosedLocally, cx));
    }

    /// Exchanges that the whole list lacks are gone.
    pub fn keep_only(&mut self, named: &[ExchangeId], cx: &mut Context) {
        let gone: Vec<_> = self.peers.keys().filter(|e| !named.contains(e)).copied().collect();
        gone.into_iter().for_each(|exchange| self.gone(exchange, cx));
    }

    fn gone(&mut self, exchange: ExchangeId, cx: &mut Context) {
        self.retire_all(exchange, cx);
        self.peers.remove(&exchange);
        self.drop_unsent(exchange, cx);
    }

    /// No new set-up goes on a connection; it is closed once none is open on it.
    fn retire(&mut self, token: Token, cx: &mut Context) {
        if let Some(peer) = self.links.get(token).and_then(|l| self.peers.get_mut(&l.exchange)) {
            peer.links.retain(|t| *t != token);
        }
        self.close_if_done(token, cx);
    }

    fn retire_all(&mut self, exchange: ExchangeId, cx: &mut Context) {
        let links = self.peers.get(&exchange).map_or(Vec::new(), |p| p.links.clone());
        links.into_iter().for_each(|token| self.retire(token, cx));
    }

    fn close_if_done(&mut self, token: Token, cx: &mut Context) {
        let Some(link) = self.links.get(token).filter(|l| l.open.is_empty()) else {
            return;
        };
        if self.peers.get(&link.exchange).is_none_or(|p| !p.links.contains(&token)) {
            self.close_in_good_order(token, cx);
        }
    }

    /// Whether a connection to an exchange is up, and how many are.
    fn up(&self, exchange: ExchangeId) -> usize {
        let links = self.peers.get(&exchange).map_or(&[][..], |p| &p.links);
        links.iter().filter(|t| self.links.get(**t).is_some_and(|l| l.conn.is_connected())).count()
    }

    /// Whether a connection is up and not about to be closed.
    fn is_usable(&self, token: &Token) -> bool {
        self.links.get(*token).is_some_and(|l| l.conn.is_connected() && l.closing.is_none())
    }

    /// Makes sure that a connection is up or on its way, and several where one is up and set-ups may come. While
    /// none is, one at a time is tried.
    fn refill(&mut self, exchange: ExchangeId, cx: &mut Context) {
        loop {
            let Some(peer) = self.peers.get(&exchange) else {
                return;
            };
            let several = peer.phase == Phase::InService && self.up(exchange) > 0;
            let want = if several { self.limits.connections_per_exchange() } else { 1 };
            let want = want + usize::from(peer.renews.is_some());
            if peer.waiting || peer.links.len() >= want || self.dial(exchange, cx).is_none() {
                return;
            }
        }
    }

    /// The connection for a new set-up: of those that the exchange has spoken on, the one with the fewest
    /// set-ups open; else one that is up; else one on its way. One on which the same call was given up before
    /// comes last, since the answer to that may still come there.
    fn pick(&mut self, exchange: ExchangeId, id: &str, cx: &mut Context) -> Option<Token> {
        let peer = self.peers.get(&exchange)?;
        let links = peer.links.iter().filter_map(|t| Some((*t, self.links.get(*t)?)));
        let spoilt = |l: &Link| l.part_since.is_some() || l.given_up.iter().any(|g| g == id);
        let followed = |l: &Link| l.incarnation.is_some_and(|i| cx.engine.has_newer(exchange, i));
        let rank = |l: &Link| (spoilt(l), followed(l), !l.heard, !l.conn.is_connected(), l.open.len());
        let best = links.min_by_key(|(_, l)| rank(l)).map(|(token, _)| token);
        best.or_else(|| self.dial(exchange, cx))
    }

    /// Begins a connection.
    fn dial(&mut self, exchange: ExchangeId, cx: &mut Context) -> Option<Token> {
        let addr = self.peers.get(&exchange)?.addr;
        let failed = |cx: &mut Context, end: EndReason| {
            let name = cx.engine.name(exchange);
            cx.log.line(cx.now, "exchange-unreachable", format_args!("{name}: {end}"));
        };
        let mut stream = match TcpStream::connect(addr) {
            Ok(stream) => stream,
            Err(e) => {
                let end = dial_end_reason(e.kind());
                failed(cx, end);
                if let Some(observation) = FailureSign::from_dial(end) {
                    cx.engine.record_failure_sign(cx.now, exchange, observation);
                }
                self.redial(exchange, cx);
                return None;
            }
        };
        let (registry, now, bounds) = (cx.registry, cx.now, self.limits.exchange_buffer_limits());
        let mut registered = Ok(());
        let token = self.links.insert_with(|token| {
            let both = Interest::READABLE | Interest::WRITABLE;
            registered = registry.register(&mut stream, SourceKind::Exchange.token(token), both);
            Link {
                conn: Conn::new(stream, bounds, false),
                exchange,
                open: Vec::new(),
                last_heard: now,
                up_since: now,
                incarnation: None,
                closing: None,
                heard: false,
                missed: 0,
                missed_since: now,
                part_since: None,
                given_up: VecDeque::new(),
                unwritten: VecDeque::new(),
            }
        });
        if registered.is_err() {
            self.links.remove(token);
            failed(cx, EndReason::NoSocket);
            self.redial(exchange, cx);
            return None;
        }
        self.peers.get_mut(&exchange)?.links.push(token);
        cx.timers.schedule(now + cx.dial_timeout, TimerEvent::DialTimeout(token));
        Some(token)
    }

    fn redial(&mut self, exchange: ExchangeId, cx: &mut Context) {
        let up = self.up(exchange) > 0;
        if let Some(peer) = self.peers.get_mut(&exchange).filter(|p| !p.waiting) {
            peer.waiting = true;
            let first = if up { REPLACE } else { REDIAL };
            let wait = (first * (1 << peer.failures.min(6))).min(REDIAL_MOST);
            peer.failures += 1;
            cx.timers.schedule(cx.now + wait, TimerEvent::Redial(exchange));
        }
    }

    /// A redial is due.
    pub fn redial_due(&mut self, exchange: ExchangeId, cx: &mut Context) {
        if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.waiting = false;
            self.refill(exchange, cx);
        }
    }

    /// A connection should have come up by now.
    pub fn dial_due(&mut self, token: Token, cx: &mut Context) {
        if self.links.get(token).is_some_and(|l| !l.conn.is_connected()) {
            self.end(token, EndReason::DialTimedOut, cx);
        }
    }

    /// A message should have got whole by now.
    pub fn part_due(&mut self, token: Token, cx: &mut Context) {
        match self.links.get(token).and_then(|l| l.part_since) {
            Some(since) if cx.now >= since + STOPPED_SHORT => {
                self.end(token, EndReason::MessageIncomplete, cx)
            }
            Some(since) => cx.timers.schedule(since + STOPPED_SHORT, TimerEvent::PartialMessage(token)),
            None => {}
        }
    }

    /// Carries out a command for an exchange.
    pub fn command(&mut self, command: Command, cx: &mut Context) {
        match command {
            Command::SetUp { attempt, exchange, info, wait } => {
                let until = cx.now + wait;
                self.start(attempt, exchange, info, (cx.now, until), 0, cx);
            }
            Command::CancelAttempt(attempt) => {
                let Some(sent) = self.forget(attempt) else {
                    return;
                };
                if self.links.get(sent.link).is_some_and(|l| !l.conn.is_connected()) {
                    // It would go out once the connection is up, when the call may be elsewhere.
                    return self.end(sent.link, EndReason::ClosedLocally, cx);
                }
                if let Some(link) = self.links.get_mut(sent.link) {
                    link.given_up.truncate(GIVEN_UP - 1);
                    link.given_up.push_front(sent.info.id.clone());
                }
                self.send(sent.link, &line("FINISH", &sent.info.id, &[], Some(16), None));
                self.observe_unanswered(&sent, cx);
                self.close_if_done(sent.link, cx);
            }
            Command::ReleaseExchange(attempt, cause) => {
                let Some(sent) = self.forget(attempt) else {
                    return;
                };
                let rc = if cause == ReleaseCause::Normal { 16 } else { 41 };
                let release = line("FINISH", &sent.info.id, &[], Some(rc), None);
                let on = Some(sent.link).filter(|t| self.is_usable(t));
                let on = on.or_else(|| self.pick(sent.exchange, "", cx)).filter(|t| self.is_usable(t));
                match on {
                    Some(token) => self.send(token, &release),
                    None => {
                        if let Some(peer) = self.peers.get_mut(&sent.exchange) {
                            if peer.unsent.len() < MOST_UNSENT {
                                peer.unsent.push((cx.now + RELEASE_KEPT, release));
                            }
                        }
                    }
                }
            }
            Command::ForgetAttempt(attempt) => drop(self.forget(attempt)),
            _ => {}
        }
    }

    /// Sends a set-up, for the first time or again because it never left.
    fn start(
        &mut self,
        attempt: AttemptToken,
        exchange: ExchangeId,
        info: Rc<CallInfo>,
        (at, until): (Duration, Duration),
        moves: u32,
        cx: &mut Context,
    ) {
        let Some(token) = self.pick(exchange, &info.id, cx) else {
            return cx.engine.attempt_ended(cx.now, attempt, EndReason::NoSocket, cx.timers);
        };
        let bytes = set_up(&info, until.saturating_sub(cx.now));
        self.by_tag.insert((exchange, info.id.clone()), attempt);
        let end_at = self.links.get(token).map_or(0, |l| l.conn.sent()) + bytes.len() as u64;
        self.attempts.insert(attempt, Sent { info, exchange, link: token, at, until, end_at, moves });
        if let Some(link) = self.links.get_mut(token) {
            link.open.push(attempt);
            link.unwritten.push_back(end_at);
        }
        self.send(token, &bytes);
        self.count_written(token, cx);
    }

    /// Counts the set-ups of a connection that have been written whole.
    fn count_written(&mut self, token: Token, cx: &mut Context) {
        if let Some(link) = self.links.get_mut(token) {
            let written = link.unwritten.iter().take_while(|end| link.conn.has_written(**end)).count();
            link.unwritten.drain(..written);
            cx.engine.count_forwards(written as u64);
        }
    }

    /// Forgets an attempt that is over.
    fn forget(&mut self, attempt: AttemptToken) -> Option<Sent> {
        let sent = self.attempts.remove(&attempt)?;
        // The call may have gone to the same exchange again since.
        let key = (sent.exchange, sent.info.id.clone());
        if self.by_tag.get(&key) == Some(&attempt) {
            self.by_tag.remove(&key);
        }
        self.no_longer_open(sent.link, attempt);
        Some(sent)
    }

    fn no_longer_open(&mut self, link: Token, attempt: AttemptToken) {
        if let Some(link) = self.links.get_mut(link) {
            link.open.retain(|a| *a != attempt);
        }
    }

    fn send(&mut self, token: Token, bytes: &[u8]) {
        if let Some(link) = self.links.get_mut(token) {
            if let Err(end) = link.conn.send(bytes) {
                self.doomed.push((token, end));
            }
        }
    }

    /// A connection can be read or written, or has come up.
    pub fn ready(&mut self, token: Token, cx: &mut Context) {
        if let Err(end) = self.read(token, cx) {
            self.end(token, end, cx);
        }
    }

    /// Whether a connection has more to read than its last turn allowed.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Reads on where the last turn left off.
    pub fn read_on(&mut self, cx: &mut Context) {
        for token in std::mem::take(&mut self.unread) {
            self.ready(token, cx);
        }
    }

    fn read(&mut self, token: Token, cx: &mut Context) -> Result<(), EndReason> {
        for _ in 0..READS {
            let Some(link) = self.links.get_mut(token) else {
                return Ok(());
            };
            if !link.conn.is_connected() {
                if !link.conn.check_connected()? {
                    return Ok(());
                }
                self.came_up(token, cx);
            }
            let Some(link) = self.links.get_mut(token) else {
                return Ok(());
            };
            link.conn.flush()?;
            self.count_written(token, cx);
            let Some(link) = self.links.get_mut(token) else {
                return Ok(());
            };
            let read = link.conn.fill();
            if matches!(read, Ok(n) if n > 0) {
                self.observe_bytes(token, cx);
            }
            while let Some(text) = self.links.get_mut(token).map_or(Ok(None), |l| l.conn.next_line())? {
                if let Some(link) = self.links.get_mut(token) {
                    link.part_since = None;
                }
                if !text.is_empty() {
                    self.message(token, Message::parse(&text)?, cx)?;
                }
            }
            if let Some(link) = self.links.get_mut(token).filter(|l| l.conn.has_partial_line()) {
                if link.part_since.is_none() {
                    link.part_since = Some(cx.now);
                    cx.timers.schedule(cx.now + STOPPED_SHORT, TimerEvent::PartialMessage(token));
                }
            }
            if read? == 0 {
                return Ok(());
            }
        }
        self.unread.push(token);
        Ok(())
    }

    /// A connection has come up: what waited for one goes out, and more are dialled beside it.
    fn came_up(&mut self, token: Token, cx: &mut Context) {
        let Some(link) = self.links.get_mut(token) else {
            return;
        };
        let exchange = link.exchange;
        link.up_since = cx.now;
        link.incarnation = Some(cx.engine.connected(cx.now, exchange));
        if let Some(peer) = self.peers.get_mut(&exchange) {
            for (until, release) in std::mem::take(&mut peer.unsent) {
                if until > cx.now {
                    self.send(token, &release);
                }
            }
        }
        self.renewed(token, exchange, cx);
        self.refill(exchange, cx);
    }

    /// One connection has brought the state of the group. Another to the same exchange that has brought none
    /// for several of these is open and silent: what is on it would wait in vain, and where it is the older one, it may
    /// lead to another process.
    fn reported(&mut self, token: Token, exchange: ExchangeId, cx: &mut Context) {
        let held = self.links.iter().filter(|(_, l)| l.exchange == exchange).count();
        let reporter = self.links.get(token).and_then(|l| l.incarnation);
        let most_missed = MISSED * (held as u32 - 1);
        let others = self.links.iter_mut().filter(|(_, l)| l.exchange == exchange && l.heard);
        for (other, link) in others {
            if link.missed == 0 {
                link.missed_since = cx.now;
            }
            link.missed = if other == token { 0 } else { link.missed + 1 };
            if link.missed < most_missed || cx.now < link.last_heard + MISSED_FOR {
                continue;
            }
            // What is being closed may still be closed in return, or bring the end of a call.
            if held <= REPORTED_ON && link.closing.is_none() {
                self.doomed.push((other, EndReason::PeerSilent));
            }
            // Where there are more than get reports, it is the newer ones that go without.
            if let Some(incarnation) = link.incarnation.filter(|i| Some(*i) < reporter) {
                let observation = match link.was_in_use(link.missed_since) {
                    true => FailureSign::MissedReports(incarnation),
                    false => FailureSign::MissedReportsAtRest(incarnation),
                };
                cx.engine.record_failure_sign(cx.now, exchange, observation);
            }
        }
    }

    fn message(&mut self, token: Token, message: Message, cx: &mut Context) -> Result<(), EndReason> {
        let Some(link) = self.links.get(token) else {
            return Ok(());
        };
        let exchange = link.exchange;
        let (by, is_first) = (link.incarnation, !link.heard);
        self.observe_first(token, &message.verb, cx);
        let attempt = self.by_tag.get(&(exchange, message.tag.clone())).copied();
        // What answers a set-up comes on its own connection; on another it answers one given up there.
        let elsewhere = |a: &AttemptToken| {
            let on = self.attempts.get(a).map(|sent| sent.link);
            !cx.engine.is_answered(*a)
                && on != Some(token)
                && on.is_some_and(|t| self.links.get(t).is_some())
        };
        let attempt = attempt.filter(|a| !elsewhere(a));
        // The state of the group comes unasked with each change, at once. What answers and releases repeat of it
        // was true when they left the exchange, and has been overtaken by the time they are here.
        if message.verb == "LOAD" {
            // What comes first on a connection comes on that one alone.
            if !is_first {
                self.reported(token, exchange, cx);
            }
            let load = message.opt("load");
            let count = |name: &str| list_value(load, name).filter(|x| *x >= 0.0).map(|x| x as u32);
            if let Some(state) = count(&cx.wire.report[0]).zip(count(&cx.wire.report[1])) {
                cx.engine.update_circuits(cx.now, exchange, state, cx.timers);
            }
        }
        match (message.verb.as_str(), attempt) {
            ("STARTED", Some(attempt)) => {
                // An answer without its description is cut short.
                let description = message.blob.ok_or(EndReason::MalformedMessage)?;
                if let Some(sent) = self.attempts.get(&attempt) {
                    self.no_longer_open(sent.link, attempt);
                }
                if !cx.engine.answered(cx.now, attempt, by, description, cx.timers) {
                    cx.log.line(cx.now, "answer-twice", &message.tag);
                }
            }
            ("FINISH", _) if message.rc.is_none() => return Err(EndReason::MalformedMessage),
            ("FINISH", Some(attempt)) => {
                let end = end_of(message.rc, message.opt("note"), cx.engine.is_answered(attempt));
                self.observe_call(attempt, cx);
                self.forget(attempt);
                cx.engine.attempt_ended(cx.now, attempt, end, cx.timers);
                self.close_if_done(token, cx);
            }
            ("STARTED" | "FINISH", None) => {}
            ("PENDING" | "FINISHED" | "LOAD" | "ECHOED", _) => {}
            ("ECHO", _) => self.send(token, &line("ECHOED", &message.tag, &[], Some(1), None)),
            _ => return Err(EndReason::MalformedMessage),
        }
        Ok(())
    }

    /// Ends the connections that broke while something was sent.
    pub fn reap(&mut self, cx: &mut Context) {
        for (token, end) in std::mem::take(&mut self.doomed) {
            self.end(token, end, cx);
        }
    }

    fn end(&mut self, token: Token, end: EndReason, cx: &mut Context) {
        let Some(mut link) = self.links.remove(token) else {
            return;
        };
        let _ = cx.registry.deregister(&mut link.conn.stream);
        let exchange = link.exchange;
        let mut was_listed = false;
        if let Some(peer) = self.peers.get_mut(&exchange) {
            was_listed = peer.links.contains(&token);
            peer.links.retain(|t| *t != token);
        }
        if end != EndReason::ClosedLocally {
            let (name, open) = (cx.engine.name(exchange), link.open.len());
            cx.log.line(cx.now, "exchange-ended", format_args!("{name}: {end}, {open} open"));
        }
        self.observe_end(&link, was_listed, end, cx);
        // A connection that could not be made says something of the exchange only where none is up, and where
        // it was not this side that ended it.
        let failed = !link.conn.is_connected() && end != EndReason::ClosedLocally;
        let unreachable = failed && was_listed && self.up(exchange) == 0;
        let is_open = |(_, l): (Token, &Link)| l.exchange == exchange && l.conn.is_connected();
        if unreachable && end == EndReason::ConnectionRefused && !self.links.iter().any(is_open) {
            cx.engine.connection_refused(cx.now, exchange, cx.timers);
        }
        if was_listed {
            if unreachable || !link.heard {
                self.redial(exchange, cx);
            } else {
                self.refill(exchange, cx);
            }
        }
        for attempt in link.open {
            let Some(sent) = self.forget(attempt) else {
                continue;
            };
            // What was not written whole has not run: it goes on another connection, if there may be one.
            let left = !unreachable && sent.moves < MOVES && !link.conn.has_written(sent.end_at);
            let serves = self.peers.get(&exchange).is_some_and(|p| p.phase == Phase::InService);
            if left && serves && cx.now < sent.until {
                let times = (sent.at, sent.until);
                self.start(attempt, exchange, sent.info, times, sent.moves + 1, cx);
            } else {
                let unsent = !link.conn.has_written(sent.end_at);
                let end = match end {
                    EndReason::ClosedLocally if unsent => EndReason::NotSent,
                    _ if unsent && link.conn.is_connected() => EndReason::ResetBeforeUse,
                    end => end,
                };
                cx.engine.attempt_ended(cx.now, attempt, end, cx.timers);
            }
        }
    }
}

/// How a release by an exchange ends the attempt.
fn end_of(rc: Option<u32>, note: &str, stands: bool) -> EndReason {
    match (rc, note) {
        (Some(16), _) if stands => EndReason::Ended,
        _ if stands => EndReason::Dropped,
        (Some(34), "group_full") => EndReason::NoCircuit,
        (Some(34), "tandem_refused") => EndReason::TandemRefused,
        (Some(34), "destination_full") => EndReason::FarProcessorFull,
        (Some(34), _) => EndReason::ProcessorFull(None),
        (Some(17 | 47), "user_busy") => EndReason::NumberBusy,
        (Some(102), "group_full") => EndReason::NoCircuit,
        (Some(102), "processor_full") => EndReason::OwnProcessorDown,
        (Some(102), _) => EndReason::NotSent,
        (Some(41), _) => EndReason::Dropped,
        _ => EndReason::Fault,
    }
}
