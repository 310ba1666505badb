//! Client connections and the calls that arrive on them, in the platform's JSON lines.

mod earlier_calls;
mod handover;
mod pending_releases;
mod recent_ids;
mod releases;
mod set_ups;
mod unconfirmed_releases;

use super::conn::Conn;
use super::handover::{HandoverWriter, Record};
use super::lines::{encode_message, Message};
use super::{lifecycle, Context, SourceKind, TimerEvent, ACCEPT_BATCH, MESSAGE_TIMEOUT};
use crate::arena::{Arena, Token};
use crate::config::Limits;
use crate::end::EndReason;
use crate::engine::{CallToken, Command, ReleaseCause};
use earlier_calls::EarlierCalls;
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use pending_releases::PendingReleases;
use recent_ids::RecentIds;
pub use releases::ReleaseStats;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::time::Duration;
use unconfirmed_releases::{Progress, UnconfirmedReleases};

/// Cause of a final answer: the call is refused.
const CAUSE_REFUSED: u32 = 42;
/// Cause of a final answer: the call has failed.
const CAUSE_FAILED: u32 = 47;
/// Cause of a release: the call has ended normally.
const CAUSE_ENDED: u32 = 16;
/// Cause of a release: the call was dropped.
const CAUSE_DROPPED: u32 = 41;
/// A release is sent again if its connection closes within this time and before the client confirms the
/// release. The close and the release may have crossed, in which case the release was lost.
const UNCONFIRMED_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a release that still waits for a connection is discarded.
const PENDING_RELEASE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before accepting again after the process ran out of connections, descriptors or memory.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a client that still waits for its first answer is reviewed.
const UNANSWERED_RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of reads from one connection in one iteration of the event loop. Remaining data is read in
/// the next iteration, so that one busy connection does not starve the others.
const MAX_READS_PER_ITERATION: usize = 4;
/// Maximum number of messages from one connection that are handled in one iteration of the event loop. The others are
/// handled in the next iteration, so that one busy connection does not keep the others waiting.
const MAX_MESSAGES_PER_ITERATION: usize = 64;
/// Delay before a new connection is read while the process that this one replaces is running. A client that has just
/// left that process may come again with the same call, which is given up there first.
const NEW_CLIENT_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of releases that wait for a connection.
const MAX_PENDING_RELEASES: usize = 4096;

/// One client connection.
struct Client {
    conn: Conn,
    peer: IpAddr,
    accepted_at: Duration,
    /// Number of unanswered set-ups on this connection.
    unanswered: usize,
    /// Number of established calls of this connection, whose releases are sent here.
    established: usize,
    /// Whether it has been sent an answer, to a set-up or to a health check.
    answered: bool,
    /// Whether it has sent a set-up or a release. A client that only sends health checks is not a caller and
    /// cannot use a release.
    is_caller: bool,
    /// Whether it has confirmed a release.
    confirms_releases: bool,
    /// Since when its first message is awaited or a message is partially received; `None` between messages.
    awaiting_since: Option<Duration>,
    /// Whether a timer for that message is scheduled.
    timer_scheduled: bool,
    /// When its last event was handled; before that, when it was accepted.
    last_active_at: Duration,
    /// Whether it has closed its side, so that set-ups that were not read yet are given up.
    has_left: bool,
    /// Whether it is in [`Clients::unflushed`].
    is_unflushed: bool,
    /// Memory that its buffers took when they were last accounted for.
    buffered_bytes: usize,
    /// Unconfirmed releases sent on this connection, with the times of sending. They may be lost if the
    /// client closes the connection before it reads them.
    unconfirmed_releases: UnconfirmedReleases,
}

impl Client {
    /// Whether it has sent health checks only.
    fn is_health_check(&self) -> bool {
        self.answered && !self.is_caller
    }

    /// Whether it has sent a message.
    fn is_identified(&self) -> bool {
        self.answered || self.is_caller
    }

    /// How far its stream has got.
    fn progress(&self, now: Duration) -> Progress {
        Progress { now, written: self.conn.bytes_written(), is_identified: self.is_identified() }
    }

    /// Whether a release sent on it may still be in flight.
    fn is_releasing(&self, now: Duration) -> bool {
        self.unconfirmed_releases.is_any_in_flight(now)
    }

    /// Takes the unconfirmed releases that are lost if the connection ends now.
    fn take_undelivered_releases(&mut self, now: Duration) -> Vec<Release> {
        let progress = self.progress(now);
        self.unconfirmed_releases.take_undelivered(progress)
    }
}

/// The release of an established call towards its caller.
struct Release {
    tag: String,
    /// The address of the caller.
    host: IpAddr,
    cause: ReleaseCause,
    /// The release is discarded after this time.
    expires_at: Duration,
}

/// A call that arrived on a client connection.
struct ClientCall {
    tag: String,
    conn: Token,
    peer: IpAddr,
    is_unanswered: bool,
    is_established: bool,
}

/// All client connections, and the calls that arrived on them.
pub struct Clients {
    /// `None` once new connections are left to the process that replaces this one.
    listener: Option<TcpListener>,
    limits: Limits,
    conns: Arena<Client>,
    /// Memory that the buffers of all connections take.
    buffered_bytes: usize,
    calls: HashMap<CallToken, ClientCall>,
    /// Number of unanswered calls.
    unanswered_calls: usize,
    by_tag: HashMap<String, CallToken>,
    /// Releases that wait for a connection.
    pending_releases: PendingReleases,
    /// The handover to the process that replaces this one. Releases without a connection are written there.
    handover: Option<HandoverWriter>,
    /// The file in which releases are returned to the process that this one replaces. Their callers may still be
    /// connected there.
    return_writer: Option<HandoverWriter>,
    /// Calls of earlier processes that have not handed them over.
    earlier_calls: EarlierCalls,
    /// Counts of releases, but for those that wait for a connection.
    release_stats: ReleaseStats,
    /// Ids of calls that have ended recently.
    recent_ids: RecentIds,
    /// Where records are written for the process that replaces this one before this one stops.
    shared_records: Option<HandoverWriter>,
    /// Connections that [`Clients::end_connections`] ends.
    connections_to_end: Vec<(Token, EndReason)>,
    /// Connections with unread data left over from the last iteration.
    unread: Vec<Token>,
    /// Connections on which messages are queued that are written at the end of the iteration.
    unflushed: Vec<Token>,
    /// Whether accepting is paused for lack of connections, descriptors or memory.
    paused: bool,
    /// Whether more connections may be pending on the listener after the last iteration.
    unaccepted: bool,
}

impl Clients {
    /// Creates the state for a listener that is already registered.
    pub fn new(listener: TcpListener, limits: Limits) -> Self {
        Clients {
            listener: Some(listener),
            limits,
            conns: Arena::default(),
            buffered_bytes: 0,
            calls: HashMap::new(),
            unanswered_calls: 0,
            by_tag: HashMap::new(),
            pending_releases: PendingReleases::new(MAX_PENDING_RELEASES),
            handover: None,
            return_writer: None,
            earlier_calls: EarlierCalls::new(limits.max_own_ids()),
            release_stats: ReleaseStats::default(),
            recent_ids: RecentIds::new(limits.max_own_ids()),
            shared_records: None,
            connections_to_end: Vec::new(),
            unread: Vec::new(),
            unflushed: Vec::new(),
            paused: false,
            unaccepted: false,
        }
    }

    /// Whether a call arrived on one of these connections.
    pub fn has_call(&self, call: CallToken) -> bool {
        self.calls.contains_key(&call)
    }

    /// Whether the send buffers of all clients are empty.
    pub fn is_flushed(&self) -> bool {
        self.conns.iter().all(|(_, c)| c.conn.is_flushed())
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Number of releases that wait for a connection.
    pub fn pending_release_count(&self) -> usize {
        self.pending_releases.len()
    }

    /// Whether a message from any client is partially received.
    pub fn has_partial_message(&self) -> bool {
        self.conns.iter().any(|(_, c)| c.conn.has_partial_line())
    }

    /// Leaves new connections to the process that replaces this one.
    pub fn close_listener(&mut self, cx: &mut Context) {
        if let Some(mut listener) = self.listener.take() {
            let _ = cx.registry.deregister(&mut listener);
        }
    }

    /// Accepts pending connections, up to the limits of the process and of one iteration. The others stay
    /// pending.
    pub fn accept(&mut self, cx: &mut Context) {
        if self.paused {
            return;
        }
        for _ in 0..ACCEPT_BATCH {
            let client_count = self.conns.len();
            if client_count >= self.limits.max_clients() && !self.evict_idle_client(cx) {
                cx.log.line(cx.now, "accept-paused", format_args!("{client_count} clients"));
                return self.pause(cx);
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, peer)) => {
                    if client_count >= self.limits.idle_eviction_threshold() {
                        self.evict_idle_client(cx);
                    }
                    self.add(stream, peer.ip(), cx);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    // No descriptor or memory is available.
                    cx.log.line(cx.now, "accept-failed", e);
                    if !self.evict_idle_client(cx) {
                        return self.pause(cx);
                    }
                }
            }
        }
        self.unaccepted = true;
    }

    /// Accepts again after a pause.
    pub fn resume_accepting(&mut self, cx: &mut Context) {
        self.paused = false;
        self.accept(cx);
    }

    fn pause(&mut self, cx: &mut Context) {
        self.paused = true;
        cx.timers.schedule(cx.now + ACCEPT_RETRY_DELAY, TimerEvent::ClientAccept);
    }

    /// Closes a connection without unanswered set-ups to make room for another. Connections without calls
    /// that have been sent an answer are preferred, because the close loses nothing. Those that have not been
    /// sent an answer come next: they may be about to send a set-up. Connections that are needed for the
    /// releases of established calls come last. Among equals, the one idle for the longest time is closed.
    /// Returns false if no such connection exists, or if the selected one was active in this iteration: a new
    /// client must get the chance to send a message, and no other client is closed instead.
    fn evict_idle_client(&mut self, cx: &mut Context) -> bool {
        let idle = self.conns.iter().filter(|(_, c)| c.unanswered == 0);
        let is_needed = |c: &Client| c.established > 0 || c.is_releasing(cx.now);
        let rank = |c: &Client| (is_needed(c), !c.answered, c.last_active_at);
        let first = idle.min_by_key(|(_, c)| rank(c)).filter(|(_, c)| c.last_active_at < cx.now);
        let Some((token, client)) = first else {
            return false;
        };
        let (peer, established) = (client.peer, client.established);
        cx.log.line(
            cx.now,
            "client-closed",
            format_args!("{peer} why=\"makes way\" standing={established}"),
        );
        self.end(token, EndReason::ClosedLocally, cx);
        true
    }

    fn add(&mut self, mut stream: TcpStream, peer: IpAddr, cx: &mut Context) {
        let now = cx.now;
        let (registry, buffer_limits) = (cx.registry, self.limits.client_buffer_limits());
        let mut registered = Ok(());
        let token = self.conns.insert_with(|token| {
            let interests = Interest::READABLE | Interest::WRITABLE;
            registered = registry.register(&mut stream, SourceKind::Client.token(token), interests);
            Client {
                conn: Conn::new(stream, buffer_limits, true),
                peer,
                accepted_at: now,
                unanswered: 0,
                established: 0,
                answered: false,
                is_caller: false,
                confirms_releases: false,
                awaiting_since: Some(now),
                timer_scheduled: true,
                last_active_at: now,
                has_left: false,
                is_unflushed: false,
                buffered_bytes: 0,
                unconfirmed_releases: UnconfirmedReleases::default(),
            }
        });
        if let Err(e) = registered {
            cx.log.line(now, "register-failed", e);
            self.conns.remove(token);
            return;
        }
        cx.timers.schedule(now + MESSAGE_TIMEOUT, TimerEvent::ClientTimeout(token));
        self.send_waiting_releases(token, peer, cx);
    }

    /// Handles the message timeout of a client.
    pub fn timeout_due(&mut self, token: Token, cx: &mut Context) {
        let Some(client) = self.conns.get_mut(token) else {
            return;
        };
        let is_unused = client.unanswered == 0 && !client.answered;
        let unfinished_since =
            client.awaiting_since.filter(|_| client.answered || client.conn.has_partial_line());
        let next = match unfinished_since {
            Some(since) if cx.now >= since + MESSAGE_TIMEOUT => {
                return self.end(token, EndReason::PeerSilent, cx)
            }
            Some(since) => since + MESSAGE_TIMEOUT,
            None if is_unused => return self.end(token, EndReason::PeerSilent, cx),
            None if !client.answered => cx.now + UNANSWERED_RECHECK_INTERVAL,
            None => {
                client.timer_scheduled = false;
                return;
            }
        };
        cx.timers.schedule(next, TimerEvent::ClientTimeout(token));
    }

    /// Whether a connection has unread data, or connections may be pending, left over from the last iteration.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty() || self.unaccepted
    }

    /// Accepts the connections and reads the data left over from the last iteration.
    pub fn continue_reading(&mut self, cx: &mut Context) {
        if std::mem::take(&mut self.unaccepted) {
            self.accept(cx);
        }
        for token in std::mem::take(&mut self.unread) {
            self.ready(token, cx);
        }
    }

    /// Records that a client has closed its side of a connection.
    pub fn mark_as_left(&mut self, token: Token) {
        if let Some(client) = self.conns.get_mut(token) {
            client.has_left = true;
        }
    }

    /// Handles an event on a connection: readable or writable. While the process that this one replaces is running, a
    /// new connection is read only after [`NEW_CLIENT_DELAY`].
    pub fn ready(&mut self, token: Token, cx: &mut Context) {
        let accepted_at = self.conns.get(token).map(|client| client.accepted_at);
        let read_at =
            accepted_at.filter(|_| self.return_writer.is_some()).map(|at| at + NEW_CLIENT_DELAY);
        if let Some(read_at) = read_at.filter(|at| *at > cx.now) {
            return cx.timers.schedule(read_at, TimerEvent::ClientReady(token));
        }
        let result = self.read(token, cx);
        self.account_buffers(token);
        if let Err(end) = result {
            self.end(token, end, cx);
        }
    }

    /// Updates the memory that the buffers take by those of one connection.
    fn account_buffers(&mut self, token: Token) {
        if let Some(client) = self.conns.get_mut(token) {
            let buffered_bytes = client.conn.buffered_bytes();
            self.buffered_bytes += buffered_bytes;
            self.buffered_bytes -= std::mem::replace(&mut client.buffered_bytes, buffered_bytes);
        }
    }

    /// Ends connections until the buffers of the others take no more memory than allowed: those with the largest
    /// buffers first, and those with an unanswered set-up last.
    fn limit_buffers(&mut self, cx: &mut Context) {
        while self.buffered_bytes > self.limits.max_client_buffer_bytes() {
            let rank = |c: &Client| (c.unanswered == 0, c.buffered_bytes);
            let Some((token, _)) = self.conns.iter().max_by_key(|(_, c)| rank(c)) else {
                return;
            };
            self.end(token, EndReason::BuffersFull, cx);
        }
    }

    fn read(&mut self, token: Token, cx: &mut Context) -> Result<(), EndReason> {
        let mut message_count = 0;
        for _ in 0..MAX_READS_PER_ITERATION {
            // The messages that were received before come first, also those before the end of the stream.
            while message_count < MAX_MESSAGES_PER_ITERATION {
                let Some(text) = self.next_line(token)? else {
                    break;
                };
                message_count += 1;
                if !text.is_empty() {
                    self.handle_message(token, Message::parse(&text)?, cx)?;
                }
            }
            if message_count == MAX_MESSAGES_PER_ITERATION {
                break;
            }
            let Some(client) = self.conns.get_mut(token) else {
                return Ok(());
            };
            client.conn.flush()?;
            client.last_active_at = cx.now;
            if client.conn.read_chunk()? == 0 {
                self.watch_partial_message(token, cx);
                return Ok(());
            }
        }
        // An event may come for a connection that is in the list. A second entry would give it a second turn.
        if !self.unread.contains(&token) {
            self.unread.push(token);
        }
        Ok(())
    }

    /// Removes the next complete line from the receive buffer of a connection.
    fn next_line(&mut self, token: Token) -> Result<Option<Vec<u8>>, EndReason> {
        let Some(client) = self.conns.get_mut(token) else {
            return Ok(None);
        };
        let line = client.conn.next_line()?;
        if line.is_some() {
            client.awaiting_since = None;
        }
        Ok(line)
    }

    /// Schedules the timeout of a partially received message.
    fn watch_partial_message(&mut self, token: Token, cx: &mut Context) {
        if let Some(client) = self.conns.get_mut(token).filter(|c| c.conn.has_partial_line()) {
            client.awaiting_since.get_or_insert(cx.now);
            if !client.timer_scheduled {
                client.timer_scheduled = true;
                cx.timers.schedule(cx.now + MESSAGE_TIMEOUT, TimerEvent::ClientTimeout(token));
            }
        }
    }

    fn handle_message(
        &mut self,
        token: Token,
        message: Message,
        cx: &mut Context,
    ) -> Result<(), EndReason> {
        match message.verb.as_str() {
            "START" => self.handle_set_up(token, message, cx),
            "FINISH" => {
                self.mark_as_caller(token, cx);
                if let Some(call) = self.by_tag.get(&message.tag).copied() {
                    if self.remove_call(call, cx).is_some_and(|c| c.is_established) {
                        self.write_handover(&Record::Forget { tag: message.tag }, cx);
                    }
                    cx.engine.caller_ended(cx.now, call, cx.timers);
                } else {
                    // If an earlier process has set the call up, nobody needs to be told when its exchange releases it.
                    self.record_own_id(&message.tag);
                }
                Ok(())
            }
            "ECHO" => {
                let passed = u32::from(cx.lifecycle.is_ready());
                self.answer(token, &encode_message("ECHOED", &message.tag, &[], Some(passed), None));
                self.resend_releases_of_health_check(token, cx);
                Ok(())
            }
            "FINISHED" => {
                if let Some(client) = self.conns.get_mut(token) {
                    client.confirms_releases |= client.unconfirmed_releases.confirm(&message.tag);
                }
                Ok(())
            }
            "PENDING" => Ok(()),
            _ => Err(EndReason::MalformedMessage),
        }
    }

    /// Records that a client is a caller. One that has sent health checks only was not sent the releases of its host.
    fn mark_as_caller(&mut self, token: Token, cx: &mut Context) {
        let Some(client) = self.conns.get_mut(token).filter(|c| !c.is_caller) else {
            return;
        };
        client.is_caller = true;
        let host = client.peer;
        self.send_waiting_releases(token, host, cx);
    }

    /// Removes a call that has ended.
    fn remove_call(&mut self, call: CallToken, cx: &mut Context) -> Option<ClientCall> {
        self.mark_answered(call, false);
        let client_call = self.calls.remove(&call)?;
        self.by_tag.remove(&client_call.tag);
        self.record_recent_id(&client_call.tag, cx);
        if let Some(client) = self.conns.get_mut(client_call.conn).filter(|_| client_call.is_established)
        {
            client.established -= 1;
        }
        Some(client_call)
    }

    /// Marks a call as answered, or as no longer waiting for an answer.
    fn mark_answered(&mut self, call: CallToken, is_established: bool) {
        if let Some(client_call) =
            self.calls.get_mut(&call).filter(|client_call| client_call.is_unanswered)
        {
            (client_call.is_unanswered, client_call.is_established) = (false, is_established);
            self.unanswered_calls -= 1;
            if let Some(client) = self.conns.get_mut(client_call.conn) {
                client.unanswered -= 1;
                client.established += usize::from(is_established);
            }
        }
    }

    /// Executes a command for a call of a client.
    pub fn execute(&mut self, command: Command, cx: &mut Context) {
        match command {
            Command::Answer(call, description) => {
                self.mark_answered(call, true);
                if let Some(client_call) = self.calls.get(&call) {
                    let (conn, answer) = (
                        client_call.conn,
                        encode_message("STARTED", &client_call.tag, &[], None, Some(&description)),
                    );
                    self.answer(conn, &answer);
                    self.hand_over(call, cx);
                }
            }
            Command::Refuse(call, retry_after) => {
                if let Some(client_call) = self.remove_call(call, cx) {
                    self.answer(client_call.conn, &encode_refusal(&client_call.tag, retry_after));
                }
            }
            Command::Fail(call) => {
                if let Some(client_call) = self.remove_call(call, cx) {
                    self.answer(
                        client_call.conn,
                        &encode_message("FINISH", &client_call.tag, &[], Some(CAUSE_FAILED), None),
                    );
                }
            }
            Command::ReleaseCaller(call, cause) => {
                let Some(client_call) = self.remove_call(call, cx) else {
                    return;
                };
                let release = Release {
                    tag: client_call.tag.clone(),
                    host: client_call.peer,
                    cause,
                    expires_at: cx.now + PENDING_RELEASE_TIMEOUT,
                };
                if self.send_to_caller(client_call.conn, release, cx) {
                    self.write_handover(&Record::Forget { tag: client_call.tag }, cx);
                }
            }
            _ => {}
        }
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
            if let Err(end) = client.conn.queue(bytes) {
                self.connections_to_end.push((token, end));
            } else if !std::mem::replace(&mut client.is_unflushed, true) {
                self.unflushed.push(token);
            }
        }
        self.account_buffers(token);
    }

    /// Writes the messages that were queued in this iteration.
    fn flush(&mut self) {
        for token in std::mem::take(&mut self.unflushed) {
            if let Some(client) = self.conns.get_mut(token) {
                client.is_unflushed = false;
                if let Err(end) = client.conn.flush() {
                    self.connections_to_end.push((token, end));
                }
            }
            self.account_buffers(token);
        }
    }

    /// Ends the connections that failed during a send, and closes idle ones while draining or after a takeover.
    pub fn end_connections(&mut self, cx: &mut Context) {
        self.discard_expired_releases(cx);
        self.flush();
        for (token, end) in std::mem::take(&mut self.connections_to_end) {
            self.end(token, end, cx);
        }
        self.limit_buffers(cx);
        match cx.lifecycle.client_policy(cx.now) {
            lifecycle::ClientPolicy::Keep => {}
            lifecycle::ClientPolicy::Close(cutoff) | lifecycle::ClientPolicy::Refuse(cutoff) => {
                self.close_idle(cutoff, cx)
            }
        }
        // The end of a connection may have a release sent again on another one.
        self.flush();
    }

    /// Closes the connections that have been sent all their answers, have no release in flight and are not
    /// kept for established calls. A client that has not been sent an answer yet is not closed.
    fn close_idle(&mut self, cutoff: Duration, cx: &mut Context) {
        let is_settled = |c: &Client| c.answered && c.unanswered == 0 && !c.is_releasing(cx.now);
        let is_idle = |c: &Client| is_settled(c) && c.conn.is_flushed() && !c.conn.has_partial_line();
        let idle = self.conns.iter().filter(|(token, c)| is_idle(c) && !self.unread.contains(token));
        let idle = idle.filter(|(token, _)| !self.is_kept_for_calls(*token, cutoff));
        let idle: Vec<_> = idle.map(|(token, _)| token).collect();
        idle.into_iter().for_each(|token| self.end(token, EndReason::ClosedLocally, cx));
    }

    /// Whether a drain keeps a connection open for the releases of its established calls. A connection
    /// accepted at or after `cutoff` is kept only while no older connection with established calls exists. A
    /// `cutoff` of zero keeps none.
    fn is_kept_for_calls(&self, token: Token, cutoff: Duration) -> bool {
        let has_older = || self.conns.iter().any(|(_, c)| c.accepted_at < cutoff && c.established > 0);
        let client = self.conns.get(token).filter(|c| c.established > 0 && !cutoff.is_zero());
        client.is_some_and(|c| c.accepted_at < cutoff || !has_older())
    }

    /// Ends a connection. Its unanswered set-ups are cancelled; established calls belong to no connection and
    /// continue.
    fn end(&mut self, token: Token, end: EndReason, cx: &mut Context) {
        let Some(mut client) = self.conns.remove(token) else {
            return;
        };
        // What was queued before the end is still sent. If that fails, the connection has ended anyway.
        let _ = client.conn.flush();
        let _ = cx.registry.deregister(&mut client.conn.stream);
        self.buffered_bytes -= client.buffered_bytes;
        if !matches!(end, EndReason::PeerClosed | EndReason::ClosedLocally) {
            cx.log.line(cx.now, "client-ended", format_args!("{}: {end}", client.peer));
        }
        for release in client.take_undelivered_releases(cx.now) {
            let why =
                format_args!("call={} why=\"not confirmed when its connection closed\"", release.tag);
            cx.log.line(cx.now, "release-again", why);
            self.send_to_caller(token, release, cx);
        }
        if client.unanswered > 0 {
            let unanswered = self
                .calls
                .iter()
                .filter(|(_, client_call)| client_call.conn == token && client_call.is_unanswered);
            let unanswered: Vec<_> = unanswered.map(|(call, _)| *call).collect();
            for call in unanswered {
                self.remove_call(call, cx);
                cx.engine.caller_ended(cx.now, call, cx.timers);
            }
        }
    }
}

/// Encodes the refusal of a call, with the time for which its caller stays away.
fn encode_refusal(tag: &str, wait: Option<Duration>) -> Vec<u8> {
    let wait = wait.map(|wait| wait.as_millis().to_string());
    let opts: Vec<_> = wait.iter().map(|wait| ("wait", wait.as_str())).collect();
    encode_message("FINISH", tag, &opts, Some(CAUSE_REFUSED), None)
}
