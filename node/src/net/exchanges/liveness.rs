//! Liveness evidence from the connections to an exchange, and checks of a silent process.
//!
//! A check replaces one idle connection: a new one is dialled, and the one without data for the longest time
//! is closed gracefully. Two events count as signs of life: the new connection is established, and the
//! exchange closes its side of the old one. A check sends no message.

use super::{Connection, Exchanges, SentSetUp};
use crate::arena::Token;
use crate::end::EndReason;
use crate::engine::ConnectionRequest;
use crate::liveness::{FailureSign, Incarnation};
use crate::net::{Context, TimerEvent};
use slateshed::{ExchangeId, Phase};
use std::time::Duration;

/// A connection is suspected to be dead if a set-up on it is cancelled after at least this time without any
/// data received on the connection.
const CONNECTION_SILENCE_TIMEOUT: Duration = Duration::from_millis(750);
/// The same, if there has been no sign of life of the process for [`CONNECTION_SILENCE_TIMEOUT`].
const SHORT_CONNECTION_SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// An exchange that sends the first message on new connections does so within this time.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// No exchange closes, resets or drops a connection that has been idle for less than this time.
const MIN_PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Resets within this time of each other count as simultaneous.
const SIMULTANEOUS_RESETS_INTERVAL: Duration = Duration::from_millis(500);
/// Time that the peer has to close its side after this side has closed a connection; also the interval of later
/// reviews.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time to wait for that close if the connection leads to a silent process with established calls.
const MAX_CLOSE_TIMEOUT: Duration = Duration::from_secs(8);

impl Exchanges {
    /// Executes a request of the engine to the connections to an exchange.
    pub fn handle_connection_request(&mut self, request: ConnectionRequest, cx: &mut Context) {
        match request {
            // The calls are released before a check could show that their process is dead, and a new connection would
            // take releases that the exchange repeats to the next process.
            ConnectionRequest::Check(..) if cx.lifecycle.stops_without_successor() => {}
            ConnectionRequest::Check(exchange, incarnation) => {
                self.start_check(exchange, incarnation, cx)
            }
            ConnectionRequest::Abandon(exchange, incarnation) => self.abandon(exchange, incarnation, cx),
        }
    }

    /// Starts a check of a silent process: replaces one of its connections. If it has only one, that
    /// connection is kept until another is established.
    fn start_check(&mut self, exchange: ExchangeId, incarnation: Incarnation, cx: &mut Context) {
        let several = self.connected_count(exchange) > 1;
        // No check is needed without an idle connection: the unanswered set-ups or the dials give the same
        // evidence.
        let Some(old_connection) = self.longest_idle_connection(exchange, incarnation, cx) else {
            return;
        };
        let name = cx.engine.exchange_name(exchange);
        cx.log.line(cx.now, "exchange-checked", format_args!("exchange={name} several={several}"));
        // The check is conclusive only with a connection that was in use recently and is known to lead to the
        // process: the exchange may have dropped an idle connection, and a connection that is only assumed to
        // lead to the process proves nothing about it.
        let is_conclusive = self
            .connections
            .get(old_connection)
            .is_some_and(|c| c.was_in_use(cx.now) && c.leads_to(incarnation, cx));
        cx.engine.check_started(cx.now, exchange, is_conclusive);
        if several {
            self.close_gracefully(old_connection, cx);
        } else if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.pending_check = Some(incarnation);
        }
        self.ensure_connections(exchange, cx);
    }

    /// Selects, among the connections to a process, the one without unanswered set-ups that has received no
    /// data for the longest time. Connections with established calls rank lower, because the exchange sends
    /// the ends of these calls there. If no connection is known to lead to that process, the other connections
    /// to the exchange are assumed to lead to it.
    fn longest_idle_connection(
        &self,
        exchange: ExchangeId,
        incarnation: Incarnation,
        cx: &Context,
    ) -> Option<Token> {
        let peer = self.peers.get(&exchange)?;
        let connections = peer.connections.iter().filter_map(|t| Some((*t, self.connections.get(*t)?)));
        connections
            .filter(|(_, c)| c.socket.is_connected() && c.unanswered.is_empty())
            .min_by_key(|(t, c)| {
                (!c.leads_to(incarnation, cx), self.has_established_calls(*t, cx), c.last_received_at)
            })
            .map(|(token, _)| token)
    }

    /// Completes a check of a process with only one connection, once an additional connection is established.
    /// If the exchange is known to close connections in response, the old one is closed, because the response
    /// shows whether the process is alive. Otherwise the new one gives no further evidence and is closed,
    /// unless the process is suspected to have failed.
    pub(super) fn complete_check(&mut self, token: Token, exchange: ExchangeId, cx: &mut Context) {
        let Some(incarnation) = self.peers.get_mut(&exchange).and_then(|p| p.pending_check.take())
        else {
            return;
        };
        let old_connection =
            self.longest_idle_connection(exchange, incarnation, cx).filter(|t| *t != token);
        let Some(old_connection) = old_connection else {
            return;
        };
        if cx.engine.closes_in_response(exchange) {
            self.close_gracefully(old_connection, cx);
        } else if !cx.engine.is_suspected(exchange, incarnation) {
            self.close_gracefully(token, cx);
        }
    }

    /// Closes a connection without unanswered set-ups gracefully: shuts down the send direction and reads on
    /// until the peer closes its side.
    pub(super) fn close_gracefully(&mut self, token: Token, cx: &mut Context) {
        let Some(connection) = self.connections.get_mut(token) else {
            return;
        };
        if !connection.socket.is_connected() {
            return self.end(token, EndReason::ClosedLocally, cx);
        }
        if connection.closing_since.is_some() {
            return;
        }
        connection.closing_since = Some(cx.now);
        connection.socket.shutdown_write();
        let exchange = connection.exchange;
        if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.connections.retain(|t| *t != token);
        }
        cx.timers.schedule(cx.now + CLOSE_TIMEOUT, TimerEvent::CloseTimeout(token));
    }

    /// Handles the timeout of a connection that the peer has not closed yet. A connection with established
    /// calls is kept until they end, because a peer that does not close it may send their ends there. A
    /// connection to a silent process with established calls is kept for up to `MAX_CLOSE_TIMEOUT`: a late
    /// close by the peer may be the only sign that the process is alive.
    pub fn close_timeout_due(&mut self, token: Token, cx: &mut Context) {
        let Some((connection, closing_since)) =
            self.connections.get(token).and_then(|c| Some((c, c.closing_since?)))
        else {
            return;
        };
        let exchange = connection.exchange;
        let may_prove_liveness = connection.incarnation.is_some_and(|i| {
            cx.engine.has_calls_at(exchange, i)
                && cx.engine.silent_for(cx.now, exchange, i) >= CLOSE_TIMEOUT
        });
        let is_needed = may_prove_liveness && cx.now < closing_since + MAX_CLOSE_TIMEOUT;
        if is_needed || self.has_established_calls(token, cx) {
            cx.timers.schedule(cx.now + CLOSE_TIMEOUT, TimerEvent::CloseTimeout(token));
        } else {
            self.end(token, EndReason::ClosedLocally, cx);
        }
    }

    /// Whether any established call was set up on a connection.
    pub(super) fn has_established_calls(&self, token: Token, cx: &Context) -> bool {
        self.attempts
            .iter()
            .any(|(attempt, sent)| sent.connection == token && cx.engine.is_answered(*attempt))
    }

    /// Ends the connections to a process that is considered dead.
    fn abandon(&mut self, exchange: ExchangeId, incarnation: Incarnation, cx: &mut Context) {
        let leads_there = |c: &Connection| c.exchange == exchange && c.leads_to(incarnation, cx);
        let abandoned: Vec<_> =
            self.connections.iter().filter(|(_, c)| leads_there(c)).map(|(t, _)| t).collect();
        abandoned.into_iter().for_each(|token| self.end(token, EndReason::PeerSilent, cx));
        self.ensure_connections(exchange, cx);
    }

    /// Records what the end of a connection indicates about the process at its other end.
    pub(super) fn observe_end(
        &mut self,
        connection: &Connection,
        was_active: bool,
        end: EndReason,
        cx: &mut Context,
    ) {
        let (now, exchange) = (cx.now, connection.exchange);
        let Some(incarnation) = connection.incarnation else {
            // An exchange that drains may accept no more connections and serve those that it has.
            let is_serving = self.peers.get(&exchange).is_some_and(|p| p.phase == Phase::Draining)
                && end == EndReason::ConnectionRefused
                && self.connected_count(exchange) > 0;
            let is_sign = was_active && !is_serving;
            if let Some(failure_sign) = FailureSign::from_dial(end).filter(|_| is_sign) {
                cx.engine.record_failure_sign(now, exchange, failure_sign);
            }
            return;
        };
        match end {
            EndReason::PeerClosed => {
                cx.engine.peer_closed(now, exchange, incarnation, connection.closing_since.is_some())
            }
            EndReason::PeerSilent if connection.was_in_use(connection.missing_since) => {
                cx.engine.record_failure_sign(now, exchange, FailureSign::MissedReports(incarnation));
            }
            EndReason::ConnectionBroken if connection.closing_since.is_none() => {
                self.observe_reset(connection, incarnation, cx)
            }
            _ => {}
        }
    }

    /// Records a connection reset. The death of a process resets all its connections at once. The network may
    /// reset a single connection, and a live exchange may reset idle connections.
    fn observe_reset(&mut self, connection: &Connection, incarnation: Incarnation, cx: &mut Context) {
        let exchange = connection.exchange;
        let was_in_use = !connection.unanswered.is_empty() || connection.was_in_use(cx.now);
        let has_others = self.connections.iter().any(|(_, c)| {
            c.exchange == exchange
                && c.closing_since.is_none()
                && c.incarnation.is_some_and(|o| cx.engine.is_same_process(exchange, o, incarnation))
        });
        let Some(peer) = self.peers.get_mut(&exchange) else {
            return;
        };
        if cx.now > peer.last_reset_at + SIMULTANEOUS_RESETS_INTERVAL {
            (peer.consecutive_resets, peer.any_reset_in_use) = (0, false);
        }
        peer.consecutive_resets += 1;
        peer.last_reset_at = cx.now;
        peer.any_reset_in_use |= was_in_use;
        let is_all_reset = !has_others && peer.consecutive_resets > 1 && peer.any_reset_in_use;
        let failure_sign =
            if is_all_reset { FailureSign::AllReset(incarnation) } else { FailureSign::Reset };
        cx.engine.record_failure_sign(cx.now, exchange, failure_sign);
    }

    /// Records received data: the process at the other end is alive.
    pub(super) fn observe_bytes(&mut self, token: Token, cx: &mut Context) {
        let Some(connection) = self.connections.get_mut(token) else {
            return;
        };
        connection.last_received_at = cx.now;
        let (exchange, incarnation) = (connection.exchange, connection.incarnation);
        if let Some(incarnation) = incarnation {
            cx.engine.record_activity(cx.now, exchange, incarnation);
        }
        if let Some(peer) = self.peers.get_mut(&exchange) {
            (peer.consecutive_resets, peer.any_reset_in_use) = (0, false);
        }
    }

    /// Records the first message on a connection. A report within [`FIRST_MESSAGE_TIMEOUT`] shows that the
    /// exchange sends the first message on each new connection.
    pub(super) fn observe_first_message(&mut self, token: Token, verb: &str, cx: &mut Context) {
        let Some(connection) = self.connections.get_mut(token).filter(|c| !c.has_received_message)
        else {
            return;
        };
        connection.has_received_message = true;
        let exchange = connection.exchange;
        if verb == "LOAD" && cx.now < connection.connected_at + FIRST_MESSAGE_TIMEOUT {
            cx.engine.peer_sent_first(exchange);
        }
        self.observe_repeats(token, exchange);
        if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.consecutive_failures = 0;
        }
    }

    /// Handles the cancellation of an unanswered set-up. If nothing has been received since it was sent, the
    /// host may be gone and its connections may be half-open. The silent ones are closed, so that the next
    /// set-up is sent on a new one.
    pub(super) fn observe_unanswered(&mut self, sent: &SentSetUp, cx: &mut Context) {
        let exchange = sent.exchange;
        let Some(connection) = self.connections.get(sent.connection) else {
            return;
        };
        let incarnation = connection.incarnation.unwrap_or_default();
        let was_in_use = connection.was_in_use(sent.sent_at);
        let is_process_silent =
            cx.engine.silent_for(cx.now, exchange, incarnation) >= CONNECTION_SILENCE_TIMEOUT;
        let silence_timeout = if is_process_silent {
            SHORT_CONNECTION_SILENCE_TIMEOUT
        } else {
            CONNECTION_SILENCE_TIMEOUT
        };
        let is_connection_silent =
            |c: &Connection, at: Duration| c.last_received_at < at && cx.now >= at + silence_timeout;
        let is_silent_since =
            |t: Token, at| self.connections.get(t).is_some_and(|c| is_connection_silent(c, at));
        if !is_silent_since(sent.connection, sent.sent_at) {
            return;
        }
        let unanswered = self.attempts.values().filter(|s| s.exchange == exchange);
        let unanswered = unanswered.filter(|s| is_silent_since(s.connection, s.sent_at)).count();
        let connections = self.peers.get(&exchange).map_or(Vec::new(), |p| p.connections.clone());
        let silent_connections: Vec<_> =
            connections.into_iter().filter(|t| is_silent_since(*t, sent.sent_at)).collect();
        let name = cx.engine.exchange_name(exchange);
        let details =
            format_args!("exchange={name} call={} closes={}", sent.info.id, silent_connections.len());
        cx.log.line(cx.now, "exchange-silent", details);
        let set_ups = unanswered as u32 + 1;
        let failure_sign = match was_in_use {
            true => FailureSign::Unanswered(set_ups, incarnation),
            false => FailureSign::UnansweredAtRest(set_ups),
        };
        cx.engine.record_failure_sign(cx.now, exchange, failure_sign);
        silent_connections.into_iter().for_each(|token| self.drain_connection(token, cx));
        self.ensure_connections(exchange, cx);
    }

    /// Records a message about an established call: it proves that the process of the call is alive,
    /// regardless of the connection on which it arrives.
    pub(super) fn observe_call_message(&self, attempt: crate::engine::AttemptToken, cx: &mut Context) {
        let exchange = self.attempts.get(&attempt).map(|s| s.exchange);
        if let Some((exchange, incarnation)) = exchange.zip(cx.engine.answering_incarnation(attempt)) {
            cx.engine.record_activity(cx.now, exchange, incarnation);
        }
    }
}

impl Connection {
    /// Whether, at the time `at`, data had been received recently enough that the exchange cannot have dropped
    /// the connection as idle.
    pub(super) fn was_in_use(&self, at: Duration) -> bool {
        at < self.last_received_at + MIN_PEER_IDLE_TIMEOUT
    }

    /// Whether the connection is known to lead to the process of an incarnation.
    fn leads_to(&self, incarnation: Incarnation, cx: &Context) -> bool {
        self.incarnation.is_some_and(|i| cx.engine.is_same_process(self.exchange, i, incarnation))
    }
}
