//! Connections to exchanges, in the platform's JSON lines.
//!
//! A few connections to each exchange are kept open, because the exchange sends the state of its trunk group
//! on them without a request.

mod liveness;
mod pool;
mod repeats;

use super::conn::Conn;
use super::handover::UnmatchedRelease;
use super::lines::{encode_message, list_value, Message};
use super::{Context, TimerEvent};
use crate::arena::{Arena, Token};
use crate::config::Limits;
use crate::end::EndReason;
use crate::engine::{AttemptToken, CallInfo, Command, ReleaseCause};
use crate::liveness::{FailureSign, Incarnation};
use repeats::Repeats;
use slateshed::{ExchangeId, Phase};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time after which a partially received message counts as incomplete. Exchanges write each message at once.
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(200);
/// A connection counts as silent when each other connection to the same exchange has on average received this
/// many reports of the trunk group's state and this one has received none. A report takes equally long on
/// each connection.
const MISSED_REPORTS_THRESHOLD: u32 = 3;
/// Minimum time without data on the connection before missed reports count.
const MISSED_REPORTS_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of connections on which one exchange reports the state of its trunk group.
const MAX_REPORTING_CONNECTIONS: usize = 4;
/// Maximum number of times that a set-up that was not fully written is reassigned to another connection.
const MAX_REASSIGNMENTS: u32 = 3;
/// Maximum number of reads from one connection in one iteration of the event loop. Remaining data is read in
/// the next iteration, so that one busy connection does not starve the others.
const MAX_READS_PER_ITERATION: usize = 16;
/// Maximum number of ids of cancelled set-ups that are stored for each connection.
const MAX_CANCELLED_IDS: usize = 16;
/// Time after which a release that still waits for a connection is discarded.
const PENDING_RELEASE_TIMEOUT: Duration = Duration::from_secs(8);
/// Cause of a release: the call has ended normally.
const CAUSE_ENDED: u32 = 16;
/// Cause of a release: the call was dropped.
const CAUSE_DROPPED: u32 = 41;
/// Maximum number of releases that wait for a connection to one exchange.
const MAX_PENDING_RELEASES: usize = 1024;

/// State of one exchange.
struct Peer {
    addr: SocketAddr,
    phase: Phase,
    /// Active connections, established or being dialled: those that accept new set-ups.
    connections: Vec<Token>,
    /// Number of consecutive connections that ended without any message received.
    consecutive_failures: u32,
    /// Whether a redial is already scheduled.
    redial_scheduled: bool,
    /// The incarnation under check, if the check started with only one established connection to the exchange.
    /// An additional connection is dialled before that one is closed.
    pending_check: Option<Incarnation>,
    /// Number of consecutive connection resets without any data received in between.
    consecutive_resets: u32,
    /// Whether any of these connections was in use.
    any_reset_in_use: bool,
    last_reset_at: Duration,
    /// Releases of established calls that wait for a connection, with their expiry times.
    pending_releases: Vec<(Duration, Vec<u8>)>,
    /// Whether releases from the exchange may have been lost.
    repeats: Repeats,
}

/// One connection to an exchange.
struct Connection {
    socket: Conn,
    exchange: ExchangeId,
    /// Unanswered set-ups on this connection.
    unanswered: Vec<AttemptToken>,
    /// When data was last received; before that, when the connection was dialled.
    last_received_at: Duration,
    /// When the connection was established; before that, when it was dialled.
    connected_at: Duration,
    /// The process at the other end; `None` until the connection is established.
    incarnation: Option<Incarnation>,
    /// When this side closed the connection; the peer has yet to close its side.
    closing_since: Option<Duration>,
    /// Whether any message has been received. The exchange sends the first message on each new connection.
    has_received_message: bool,
    /// Number of reports of the trunk group's state received on other connections since the last one on this
    /// connection.
    missed_reports: u32,
    /// When the first of these reports was received.
    missing_since: Duration,
    /// Since when a message is partially received.
    partial_since: Option<Duration>,
    /// Ids of set-ups recently cancelled on this connection: a late answer to one of them must not be taken
    /// for the answer to the next attempt of the same call.
    cancelled_ids: VecDeque<String>,
    /// For each set-up that is not fully written, the offset in the stream at which it ends.
    unwritten_ends: VecDeque<u64>,
}

/// A set-up assigned to a connection.
struct SentSetUp {
    info: Rc<CallInfo>,
    exchange: ExchangeId,
    connection: Token,
    sent_at: Duration,
    deadline: Duration,
    /// End offset of the set-up in the stream of its connection.
    end_offset: u64,
    reassignments: u32,
}

/// All connections to exchanges, and the attempts on them.
pub struct Exchanges {
    limits: Limits,
    peers: BTreeMap<ExchangeId, Peer>,
    connections: Arena<Connection>,
    attempts: HashMap<AttemptToken, SentSetUp>,
    by_tag: HashMap<(ExchangeId, String), AttemptToken>,
    /// Connections that [`Exchanges::end_connections`] ends.
    connections_to_end: Vec<(Token, EndReason)>,
    /// Connections with unread data left over from the last iteration.
    unread: Vec<Token>,
    /// Number of releases received under an id that no attempt has.
    unmatched_release_count: u64,
    /// Number of releases towards exchanges that were given up.
    discarded_release_count: u64,
    /// Those of the current iteration.
    unmatched_releases: Vec<UnmatchedRelease>,
}

/// Encodes a set-up for an exchange.
fn encode_set_up(info: &CallInfo, wait: Duration) -> Vec<u8> {
    let left = wait.as_millis().to_string();
    let opts = [("class", info.class.as_str()), ("key", &info.dialled_text), ("left", &left)];
    encode_message("START", &info.id, &opts, None, Some(&info.description))
}

impl Exchanges {
    /// Creates the state without any exchanges.
    pub fn new(limits: Limits) -> Self {
        Exchanges {
            limits,
            peers: BTreeMap::new(),
            connections: Arena::default(),
            attempts: HashMap::new(),
            by_tag: HashMap::new(),
            connections_to_end: Vec::new(),
            unread: Vec::new(),
            unmatched_release_count: 0,
            discarded_release_count: 0,
            unmatched_releases: Vec::new(),
        }
    }

    /// Whether an attempt was sent on one of these connections.
    pub fn has_attempt(&self, attempt: AttemptToken) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Number of releases received under an id that no attempt has.
    pub fn unmatched_release_count(&self) -> u64 {
        self.unmatched_release_count
    }

    /// Number of releases towards exchanges that were given up before they could be sent.
    pub fn discarded_release_count(&self) -> u64 {
        self.discarded_release_count
    }

    /// Takes the releases of this iteration that were received under an id that no attempt has.
    pub fn take_unmatched_releases(&mut self) -> Vec<UnmatchedRelease> {
        std::mem::take(&mut self.unmatched_releases)
    }

    /// Whether the send buffers of all established connections are empty.
    pub fn is_flushed(&self) -> bool {
        self.connections.iter().all(|(_, c)| !c.socket.is_connected() || c.socket.is_flushed())
    }

    /// Whether releases wait for a connection to an exchange.
    pub fn has_pending_releases(&self) -> bool {
        self.peers.values().any(|p| !p.pending_releases.is_empty())
    }

    /// The exchanges at the address of another one. The list gives an address to a new exchange only once the one that
    /// had it is gone, but may report that later.
    pub fn displaced_by(&self, exchange: ExchangeId, addr: SocketAddr) -> Vec<ExchangeId> {
        let at_addr = self.peers.iter().filter(|(other, p)| **other != exchange && p.addr == addr);
        at_addr.map(|(other, _)| *other).collect()
    }

    /// Applies an entry of the exchange list. An exchange that is gone is removed.
    pub fn apply_list_entry(
        &mut self,
        exchange: ExchangeId,
        addr: SocketAddr,
        phase: Phase,
        cx: &mut Context,
    ) {
        if phase == Phase::Gone {
            return self.remove_exchange(exchange, cx);
        }
        let peer = self.peers.entry(exchange).or_insert_with(|| Peer {
            addr,
            phase,
            connections: Vec::new(),
            consecutive_failures: 0,
            redial_scheduled: false,
            pending_check: None,
            consecutive_resets: 0,
            any_reset_in_use: false,
            last_reset_at: Duration::ZERO,
            pending_releases: Vec::new(),
            repeats: Repeats::None,
        });
        peer.phase = phase;
        (peer.consecutive_failures, peer.redial_scheduled) = (0, false);
        let address_changed = peer.addr != addr;
        peer.addr = addr;
        if address_changed {
            self.drain_all_connections(exchange, cx);
        }
        if address_changed {
            self.close_unconnected(exchange, |_| true, cx);
        } else if phase != Phase::InService {
            // One without set-ups is kept: the exchange may already have repeated lost releases on it.
            self.close_unconnected(exchange, |c| !c.unanswered.is_empty(), cx);
        }
        self.ensure_connections(exchange, cx);
    }

    /// Ends the selected connections to an exchange that are not established yet. Set-ups queued on one would be
    /// sent once it is established, long after the list reported that the exchange drains or has another address.
    fn close_unconnected(
        &mut self,
        exchange: ExchangeId,
        is_selected: impl Fn(&Connection) -> bool,
        cx: &mut Context,
    ) {
        let unconnected =
            self.connections.iter().filter(|(_, c)| c.exchange == exchange && !c.socket.is_connected());
        let unconnected: Vec<_> =
            unconnected.filter(|(_, c)| is_selected(c)).map(|(token, _)| token).collect();
        unconnected.into_iter().for_each(|token| self.end(token, EndReason::ClosedLocally, cx));
    }

    /// Removes the exchanges that a full list does not contain.
    pub fn remove_unlisted(&mut self, listed_exchanges: &[ExchangeId], cx: &mut Context) {
        let unlisted: Vec<_> =
            self.peers.keys().filter(|e| !listed_exchanges.contains(e)).copied().collect();
        unlisted.into_iter().for_each(|exchange| self.remove_exchange(exchange, cx));
    }

    /// Removes an exchange that is gone. Connections with unanswered set-ups stay until these have ended.
    pub fn remove_exchange(&mut self, exchange: ExchangeId, cx: &mut Context) {
        self.drain_all_connections(exchange, cx);
        self.peers.remove(&exchange);
        self.close_unconnected(exchange, |_| true, cx);
    }

    /// Assigns no more set-ups to a connection, and closes it once no set-up on it is unanswered.
    fn drain_connection(&mut self, token: Token, cx: &mut Context) {
        if let Some(peer) = self.connections.get(token).and_then(|c| self.peers.get_mut(&c.exchange)) {
            peer.connections.retain(|t| *t != token);
        }
        self.close_if_drained(token, cx);
    }

    fn drain_all_connections(&mut self, exchange: ExchangeId, cx: &mut Context) {
        let connections = self.peers.get(&exchange).map_or(Vec::new(), |p| p.connections.clone());
        connections.into_iter().for_each(|token| self.drain_connection(token, cx));
    }

    fn close_if_drained(&mut self, token: Token, cx: &mut Context) {
        let Some(connection) = self.connections.get(token).filter(|c| c.unanswered.is_empty()) else {
            return;
        };
        if self.peers.get(&connection.exchange).is_none_or(|p| !p.connections.contains(&token)) {
            self.close_gracefully(token, cx);
        }
    }

    /// Handles the timeout of a partially received message.
    pub fn partial_message_timeout_due(&mut self, token: Token, cx: &mut Context) {
        match self.connections.get(token).and_then(|c| c.partial_since) {
            Some(since) if cx.now >= since + PARTIAL_MESSAGE_TIMEOUT => {
                self.end(token, EndReason::MessageIncomplete, cx)
            }
            Some(since) => cx
                .timers
                .schedule(since + PARTIAL_MESSAGE_TIMEOUT, TimerEvent::PartialMessageTimeout(token)),
            None => {}
        }
    }

    /// Executes a command for an exchange.
    pub fn execute(&mut self, command: Command, cx: &mut Context) {
        match command {
            Command::SetUp { attempt, exchange, info, wait } => {
                let deadline = cx.now + wait;
                self.send_set_up(attempt, exchange, info, (cx.now, deadline), 0, cx);
            }
            Command::CancelAttempt(attempt) => {
                let Some(sent) = self.remove_attempt(attempt) else {
                    return;
                };
                if self.connections.get(sent.connection).is_some_and(|c| !c.socket.is_connected()) {
                    // If the connection were kept, the set-up would be sent once it is established, when
                    // another exchange may have the call.
                    return self.end(sent.connection, EndReason::ClosedLocally, cx);
                }
                if let Some(connection) = self.connections.get_mut(sent.connection) {
                    connection.cancelled_ids.truncate(MAX_CANCELLED_IDS - 1);
                    connection.cancelled_ids.push_front(sent.info.id.clone());
                }
                self.send(
                    sent.connection,
                    &encode_message("FINISH", &sent.info.id, &[], Some(CAUSE_ENDED), None),
                );
                self.observe_unanswered(&sent, cx);
                self.close_if_drained(sent.connection, cx);
            }
            Command::ReleaseExchange(attempt, cause) => {
                let Some(sent) = self.remove_attempt(attempt) else {
                    return;
                };
                let rc = if cause == ReleaseCause::Normal { CAUSE_ENDED } else { CAUSE_DROPPED };
                let release = encode_message("FINISH", &sent.info.id, &[], Some(rc), None);
                let target = Some(sent.connection).filter(|t| self.is_usable(t));
                let target = target
                    .or_else(|| self.pick_connection(sent.exchange, "", cx))
                    .filter(|t| self.is_usable(t));
                match target {
                    Some(token) => self.send(token, &release),
                    None => {
                        if let Some(peer) = self.peers.get_mut(&sent.exchange) {
                            if peer.pending_releases.len() < MAX_PENDING_RELEASES {
                                peer.pending_releases.push((cx.now + PENDING_RELEASE_TIMEOUT, release));
                            } else {
                                self.discard_release(sent.exchange, "too many wait", cx);
                            }
                        }
                    }
                }
            }
            Command::DiscardAttempt(attempt) => drop(self.remove_attempt(attempt)),
            _ => {}
        }
    }

    /// Sends a set-up, for the first time or again because it was not fully written before.
    fn send_set_up(
        &mut self,
        attempt: AttemptToken,
        exchange: ExchangeId,
        info: Rc<CallInfo>,
        (sent_at, deadline): (Duration, Duration),
        reassignments: u32,
        cx: &mut Context,
    ) {
        let Some(token) = self.pick_connection(exchange, &info.id, cx) else {
            return cx.engine.attempt_ended(cx.now, attempt, EndReason::NoSocket, cx.timers);
        };
        let bytes = encode_set_up(&info, deadline.saturating_sub(cx.now));
        self.by_tag.insert((exchange, info.id.clone()), attempt);
        let end_offset =
            self.connections.get(token).map_or(0, |c| c.socket.bytes_queued()) + bytes.len() as u64;
        self.attempts.insert(
            attempt,
            SentSetUp {
                info,
                exchange,
                connection: token,
                sent_at,
                deadline,
                end_offset,
                reassignments,
            },
        );
        if let Some(connection) = self.connections.get_mut(token) {
            connection.unanswered.push(attempt);
            connection.unwritten_ends.push_back(end_offset);
        }
        self.send(token, &bytes);
        self.count_written(token, cx);
    }

    /// Counts the set-ups of a connection that are fully written.
    fn count_written(&mut self, token: Token, cx: &mut Context) {
        if let Some(connection) = self.connections.get_mut(token) {
            let written = connection
                .unwritten_ends
                .iter()
                .take_while(|end| connection.socket.has_written(**end))
                .count();
            connection.unwritten_ends.drain(..written);
            cx.engine.count_forwards(written as u64);
        }
    }

    /// Removes an attempt that has ended.
    fn remove_attempt(&mut self, attempt: AttemptToken) -> Option<SentSetUp> {
        let sent = self.attempts.remove(&attempt)?;
        // A later attempt of the same call at the same exchange may have replaced this entry.
        let key = (sent.exchange, sent.info.id.clone());
        if self.by_tag.get(&key) == Some(&attempt) {
            self.by_tag.remove(&key);
        }
        self.remove_unanswered(sent.connection, attempt);
        Some(sent)
    }

    fn remove_unanswered(&mut self, connection: Token, attempt: AttemptToken) {
        if let Some(connection) = self.connections.get_mut(connection) {
            connection.unanswered.retain(|a| *a != attempt);
        }
    }

    fn send(&mut self, token: Token, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(token) {
            if let Err(end) = connection.socket.send(bytes) {
                self.connections_to_end.push((token, end));
            }
        }
    }

    /// Handles an event on a connection: readable, writable or established.
    pub fn ready(&mut self, token: Token, cx: &mut Context) {
        if let Err(end) = self.read(token, cx) {
            self.end(token, end, cx);
        }
    }

    /// Whether a connection has unread data left over from the last iteration.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Reads the data left over from the last iteration.
    pub fn continue_reading(&mut self, cx: &mut Context) {
        for token in std::mem::take(&mut self.unread) {
            self.ready(token, cx);
        }
    }

    fn read(&mut self, token: Token, cx: &mut Context) -> Result<(), EndReason> {
        for _ in 0..MAX_READS_PER_ITERATION {
            let Some(connection) = self.connections.get_mut(token) else {
                return Ok(());
            };
            if !connection.socket.is_connected() {
                if !connection.socket.check_connected()? {
                    return Ok(());
                }
                self.on_connected(token, cx);
            }
            let Some(connection) = self.connections.get_mut(token) else {
                return Ok(());
            };
            connection.socket.flush()?;
            self.count_written(token, cx);
            let Some(connection) = self.connections.get_mut(token) else {
                return Ok(());
            };
            let read = connection.socket.read_chunk();
            if matches!(read, Ok(n) if n > 0) {
                self.observe_bytes(token, cx);
            }
            while let Some(text) =
                self.connections.get_mut(token).map_or(Ok(None), |c| c.socket.next_line())?
            {
                if let Some(connection) = self.connections.get_mut(token) {
                    connection.partial_since = None;
                }
                if !text.is_empty() {
                    self.handle_message(token, Message::parse(&text)?, cx)?;
                }
            }
            if let Some(connection) =
                self.connections.get_mut(token).filter(|c| c.socket.has_partial_line())
            {
                if connection.partial_since.is_none() {
                    connection.partial_since = Some(cx.now);
                    cx.timers.schedule(
                        cx.now + PARTIAL_MESSAGE_TIMEOUT,
                        TimerEvent::PartialMessageTimeout(token),
                    );
                }
            }
            if read? == 0 {
                return Ok(());
            }
        }
        // A second entry would give the connection a second turn.
        if !self.unread.contains(&token) {
            self.unread.push(token);
        }
        Ok(())
    }

    /// Counts and logs a release towards an exchange that is given up.
    fn discard_release(&mut self, exchange: ExchangeId, why: &str, cx: &mut Context) {
        self.discarded_release_count += 1;
        let name = cx.engine.exchange_name(exchange);
        let text = format_args!("exchange={name} why=\"{why}\"");
        cx.log.line(cx.now, "exchange-release-discarded", text);
    }

    /// Handles an established connection: sends the pending releases and dials the missing connections.
    fn on_connected(&mut self, token: Token, cx: &mut Context) {
        let Some(connection) = self.connections.get_mut(token) else {
            return;
        };
        let exchange = connection.exchange;
        let dialled_at = std::mem::replace(&mut connection.connected_at, cx.now);
        connection.incarnation = Some(cx.engine.connected(cx.now, exchange));
        if let Some(peer) = self.peers.get_mut(&exchange) {
            for (deadline, release) in std::mem::take(&mut peer.pending_releases) {
                if deadline > cx.now {
                    self.send(token, &release);
                } else {
                    self.discard_release(exchange, "no connection in time", cx);
                }
            }
        }
        self.complete_check(token, exchange, cx);
        self.expect_repeats(token, dialled_at, cx);
        self.ensure_connections(exchange, cx);
    }

    /// Handles a report of the trunk group's state: detects the other connections to the same exchange that
    /// have missed several reports. Such a connection is open but silent, and set-ups on it would stay
    /// unanswered. If it is older than the reporting connection, it may lead to another process.
    fn check_missed_reports(&mut self, token: Token, exchange: ExchangeId, cx: &mut Context) {
        let connection_count = self.connections.iter().filter(|(_, c)| c.exchange == exchange).count();
        let reporter = self.connections.get(token).and_then(|c| c.incarnation);
        let threshold = MISSED_REPORTS_THRESHOLD * (connection_count as u32 - 1);
        let others = self
            .connections
            .iter_mut()
            .filter(|(_, c)| c.exchange == exchange && c.has_received_message);
        for (other, connection) in others {
            if connection.missed_reports == 0 {
                connection.missing_since = cx.now;
            }
            connection.missed_reports = if other == token { 0 } else { connection.missed_reports + 1 };
            if connection.missed_reports < threshold
                || cx.now < connection.last_received_at + MISSED_REPORTS_TIMEOUT
            {
                continue;
            }
            // The peer may still close a connection that is being closed here, or send the end of a call on it.
            if connection_count <= MAX_REPORTING_CONNECTIONS && connection.closing_since.is_none() {
                self.connections_to_end.push((other, EndReason::PeerSilent));
            }
            // With more connections than the exchange reports on, the newer ones get no reports. Missed
            // reports are therefore a failure sign only on connections older than the reporting one.
            if let Some(incarnation) = connection.incarnation.filter(|i| Some(*i) < reporter) {
                let failure_sign = match connection.was_in_use(connection.missing_since) {
                    true => FailureSign::MissedReports(incarnation),
                    false => FailureSign::MissedReportsAtRest(incarnation),
                };
                cx.engine.record_failure_sign(cx.now, exchange, failure_sign);
            }
        }
    }

    fn handle_message(
        &mut self,
        token: Token,
        message: Message,
        cx: &mut Context,
    ) -> Result<(), EndReason> {
        let Some(connection) = self.connections.get(token) else {
            return Ok(());
        };
        let exchange = connection.exchange;
        let (incarnation, is_first) = (connection.incarnation, !connection.has_received_message);
        self.observe_first_message(token, &message.verb, cx);
        let attempt = self.by_tag.get(&(exchange, message.tag.clone())).copied();
        // The answer to a set-up arrives on the connection of the set-up. An answer on another connection is
        // for a cancelled attempt that was sent there.
        let is_for_other_connection = |a: &AttemptToken| {
            let sent_on = self.attempts.get(a).map(|sent| sent.connection);
            !cx.engine.is_answered(*a)
                && sent_on != Some(token)
                && sent_on.is_some_and(|t| self.connections.get(t).is_some())
        };
        let attempt = attempt.filter(|a| !is_for_other_connection(a));
        // The exchange reports each change of the trunk group's state at once. The copies of the state in
        // answers and releases are ignored: they are older than the latest report by the time they arrive.
        if message.verb == "LOAD" {
            // The exchange sends the first report of a connection on that connection alone.
            if !is_first {
                self.check_missed_reports(token, exchange, cx);
            }
            let load = message.opt("load");
            let count = |name: &str| list_value(load, name).filter(|x| *x >= 0.0).map(|x| x as u32);
            if let Some(state) = count(&cx.wire.report[0]).zip(count(&cx.wire.report[1])) {
                cx.engine.update_circuits(cx.now, exchange, state, cx.timers);
            }
        }
        match (message.verb.as_str(), attempt) {
            ("STARTED", Some(attempt)) => {
                // An answer without a description is incomplete.
                let description = message.blob.ok_or(EndReason::MalformedMessage)?;
                if let Some(sent) = self.attempts.get_mut(&attempt) {
                    sent.info = Rc::new(CallInfo::with_id(&sent.info.id));
                    let connection = sent.connection;
                    self.remove_unanswered(connection, attempt);
                }
                if !cx.engine.answered(cx.now, attempt, incarnation, description, cx.timers) {
                    cx.log.line(cx.now, "answer-twice", &message.tag);
                }
            }
            ("FINISH", _) if message.rc.is_none() => return Err(EndReason::MalformedMessage),
            ("FINISH", Some(attempt)) => {
                let end =
                    release_reason(message.rc, message.opt("note"), cx.engine.is_answered(attempt));
                self.observe_call_message(attempt, cx);
                self.remove_attempt(attempt);
                cx.engine.attempt_ended(cx.now, attempt, end, cx.timers);
                self.close_if_drained(token, cx);
            }
            ("FINISH", None) => {
                self.unmatched_release_count += 1;
                let name = cx.engine.exchange_name(exchange).to_owned();
                cx.log.line(
                    cx.now,
                    "release-unmatched",
                    format_args!("call={} exchange={name}", message.tag),
                );
                if let Some(cause) = established_release_cause(message.rc) {
                    let (tag, exchange) = (message.tag, name);
                    let release = UnmatchedRelease { tag, exchange, cause, is_earlier_call: false };
                    self.unmatched_releases.push(release);
                }
            }
            ("STARTED", None) => {}
            ("PENDING" | "FINISHED" | "LOAD" | "ECHOED", _) => {}
            ("ECHO", _) => self.send(token, &encode_message("ECHOED", &message.tag, &[], Some(1), None)),
            _ => return Err(EndReason::MalformedMessage),
        }
        Ok(())
    }

    /// Ends the connections that failed during a send or were found silent.
    pub fn end_connections(&mut self, cx: &mut Context) {
        for (token, end) in std::mem::take(&mut self.connections_to_end) {
            self.end(token, end, cx);
        }
    }

    fn end(&mut self, token: Token, end: EndReason, cx: &mut Context) {
        let Some(mut connection) = self.connections.remove(token) else {
            return;
        };
        let _ = cx.registry.deregister(&mut connection.socket.stream);
        let exchange = connection.exchange;
        let mut was_active = false;
        if let Some(peer) = self.peers.get_mut(&exchange) {
            was_active = peer.connections.contains(&token);
            peer.connections.retain(|t| *t != token);
        }
        if end != EndReason::ClosedLocally {
            let (name, unanswered) = (cx.engine.exchange_name(exchange), connection.unanswered.len());
            let remaining = self.connected_count(exchange);
            cx.log.line(
                cx.now,
                "exchange-ended",
                format_args!("{name}: {end}, {unanswered} open, {remaining} connections left"),
            );
        }
        self.observe_end(&connection, was_active, end, cx);
        self.observe_loss(token, &connection, was_active, end, cx);
        // A failed dial indicates that the exchange is unreachable only if no other connection is established
        // and this side did not end the dial.
        let dial_failed = !connection.socket.is_connected() && end != EndReason::ClosedLocally;
        let unreachable = dial_failed && was_active && self.connected_count(exchange) == 0;
        let is_connected =
            |(_, c): (Token, &Connection)| c.exchange == exchange && c.socket.is_connected();
        if unreachable
            && end == EndReason::ConnectionRefused
            && !self.connections.iter().any(is_connected)
        {
            cx.engine.connection_refused(cx.now, exchange, cx.timers);
        }
        if was_active {
            if unreachable || !connection.has_received_message {
                self.schedule_redial(exchange, cx);
            } else {
                self.ensure_connections(exchange, cx);
            }
        } else if self.needs_connection_for_repeats(exchange, cx) {
            self.ensure_connections(exchange, cx);
        }
        for attempt in connection.unanswered {
            let Some(sent) = self.remove_attempt(attempt) else {
                continue;
            };
            // The exchange cannot have processed a set-up that was not fully written, so it is sent on another
            // connection if one may be available.
            let can_reassign = !unreachable
                && sent.reassignments < MAX_REASSIGNMENTS
                && !connection.socket.has_written(sent.end_offset);
            let in_service = self.peers.get(&exchange).is_some_and(|p| p.phase == Phase::InService);
            if can_reassign && in_service && cx.now < sent.deadline {
                let times = (sent.sent_at, sent.deadline);
                self.send_set_up(attempt, exchange, sent.info, times, sent.reassignments + 1, cx);
            } else {
                let not_written = !connection.socket.has_written(sent.end_offset);
                let end = match end {
                    EndReason::ClosedLocally if not_written => EndReason::NotSent,
                    _ if not_written && connection.socket.is_connected() => EndReason::ResetBeforeUse,
                    end => end,
                };
                cx.engine.attempt_ended(cx.now, attempt, end, cx.timers);
            }
        }
    }
}

/// The cause of a release that an exchange may send for an established call. The others refuse a set-up.
fn established_release_cause(rc: Option<u32>) -> Option<ReleaseCause> {
    match rc {
        Some(CAUSE_ENDED) => Some(ReleaseCause::Normal),
        Some(CAUSE_DROPPED) => Some(ReleaseCause::Dropped),
        _ => None,
    }
}

/// Maps a release by an exchange to the end reason of the attempt.
fn release_reason(rc: Option<u32>, note: &str, is_established: bool) -> EndReason {
    match (rc, note) {
        (Some(CAUSE_ENDED), _) if is_established => EndReason::Ended,
        _ if is_established => EndReason::Dropped,
        (Some(34), "group_full") => EndReason::NoCircuit,
        (Some(34), "tandem_refused") => EndReason::TandemRefused,
        (Some(34), "destination_full") => EndReason::DestinationProcessorFull,
        (Some(34), _) => EndReason::ProcessorFull(None),
        (Some(17 | 47), "user_busy") => EndReason::NumberBusy,
        (Some(102), "group_full") => EndReason::NoCircuit,
        (Some(102), "processor_full") => EndReason::LocalProcessorDown,
        (Some(102), _) => EndReason::NotSent,
        (Some(CAUSE_DROPPED), _) => EndReason::Dropped,
        _ => EndReason::Fault,
    }
}
