//! The pool of connections to each exchange: how many are kept, when they are dialled, and which one a set-up is sent on.

use super::{Connection, Exchanges};
use crate::arena::Token;
use crate::end::EndReason;
use crate::liveness::FailureSign;
use crate::net::conn::{dial_end_reason, Conn};
use crate::net::{Context, SourceKind, TimerEvent};
use mio::net::TcpStream;
use mio::Interest;
use slateshed::{ExchangeId, Phase};
use std::collections::VecDeque;
use std::time::Duration;

/// Delay before an unreachable exchange is dialled again when no call requires it. Each consecutive failure
/// doubles the delay, up to [`MAX_REDIAL_DELAY`].
const REDIAL_DELAY: Duration = Duration::from_millis(250);
/// Delay before replacing a connection that ended without any message received, while others are established.
/// It doubles in the same way.
const REPLACE_DELAY: Duration = Duration::from_millis(50);
/// Upper limit of both delays.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(2);

impl Exchanges {
    /// Number of established active connections to an exchange.
    pub(super) fn connected_count(&self, exchange: ExchangeId) -> usize {
        let connections = self.peers.get(&exchange).map_or(&[][..], |p| &p.connections);
        connections
            .iter()
            .filter(|t| self.connections.get(**t).is_some_and(|c| c.socket.is_connected()))
            .count()
    }

    /// Whether a connection is established and not being closed.
    pub(super) fn is_usable(&self, token: &Token) -> bool {
        self.connections
            .get(*token)
            .is_some_and(|c| c.socket.is_connected() && c.closing_since.is_none())
    }

    /// Dials the missing connections to an exchange. Without an established connection, one is dialled at a
    /// time. Once one is established, several are kept to an exchange that is in service.
    pub(super) fn ensure_connections(&mut self, exchange: ExchangeId, cx: &mut Context) {
        loop {
            let Some(peer) = self.peers.get(&exchange) else {
                return;
            };
            let wants_several = peer.phase == Phase::InService && self.connected_count(exchange) > 0;
            let target_count = if wants_several { self.limits.connections_per_exchange() } else { 1 };
            let target_count = target_count + usize::from(peer.pending_check.is_some());
            let has_enough = peer.connections.len() >= target_count;
            if peer.redial_scheduled
                || has_enough && !self.needs_connection_for_repeats(exchange, cx)
                || self.dial(exchange, cx).is_none()
            {
                return;
            }
        }
    }

    /// Selects the connection for a new set-up: among those with messages received, the one with the fewest
    /// unanswered set-ups; otherwise an established one; otherwise one that is being dialled. Connections to
    /// a superseded process rank lower. A connection with a partially received message ranks last, and so
    /// does one on which the same call was cancelled before, because the answer to that attempt may still
    /// arrive there.
    pub(super) fn pick_connection(
        &mut self,
        exchange: ExchangeId,
        id: &str,
        cx: &mut Context,
    ) -> Option<Token> {
        let peer = self.peers.get(&exchange)?;
        let connections = peer.connections.iter().filter_map(|t| Some((*t, self.connections.get(*t)?)));
        let avoided = |c: &Connection| {
            c.partial_since.is_some() || c.cancelled_ids.iter().any(|cancelled| cancelled == id)
        };
        let superseded =
            |c: &Connection| c.incarnation.is_some_and(|i| cx.engine.has_newer(exchange, i));
        let rank = |c: &Connection| {
            (
                avoided(c),
                superseded(c),
                !c.has_received_message,
                !c.socket.is_connected(),
                c.unanswered.len(),
            )
        };
        let selected = connections.min_by_key(|(_, c)| rank(c)).map(|(token, _)| token);
        selected.or_else(|| self.dial(exchange, cx))
    }

    /// Dials an exchange.
    pub(super) fn dial(&mut self, exchange: ExchangeId, cx: &mut Context) -> Option<Token> {
        let addr = self.peers.get(&exchange)?.addr;
        let log_failure = |cx: &mut Context, end: EndReason| {
            let name = cx.engine.exchange_name(exchange);
            cx.log.line(cx.now, "exchange-unreachable", format_args!("{name}: {end}"));
        };
        let mut stream = match TcpStream::connect(addr) {
            Ok(stream) => stream,
            Err(e) => {
                let end = dial_end_reason(e.kind());
                log_failure(cx, end);
                if let Some(failure_sign) = FailureSign::from_dial(end) {
                    cx.engine.record_failure_sign(cx.now, exchange, failure_sign);
                }
                self.schedule_redial(exchange, cx);
                return None;
            }
        };
        let (registry, now, buffer_limits) = (cx.registry, cx.now, self.limits.exchange_buffer_limits());
        let mut registered = Ok(());
        let token = self.connections.insert_with(|token| {
            let interests = Interest::READABLE | Interest::WRITABLE;
            registered = registry.register(&mut stream, SourceKind::Exchange.token(token), interests);
            Connection {
                socket: Conn::new(stream, buffer_limits, false),
                exchange,
                unanswered: Vec::new(),
                last_received_at: now,
                connected_at: now,
                incarnation: None,
                closing_since: None,
                has_received_message: false,
                missed_reports: 0,
                missing_since: now,
                partial_since: None,
                cancelled_ids: VecDeque::new(),
                unwritten_ends: VecDeque::new(),
            }
        });
        if registered.is_err() {
            self.connections.remove(token);
            log_failure(cx, EndReason::NoSocket);
            self.schedule_redial(exchange, cx);
            return None;
        }
        self.peers.get_mut(&exchange)?.connections.push(token);
        cx.timers.schedule(now + cx.dial_timeout, TimerEvent::DialTimeout(token));
        Some(token)
    }

    pub(super) fn schedule_redial(&mut self, exchange: ExchangeId, cx: &mut Context) {
        let is_any_connected = self.connected_count(exchange) > 0;
        if let Some(peer) = self.peers.get_mut(&exchange).filter(|p| !p.redial_scheduled) {
            peer.redial_scheduled = true;
            let initial_delay = if is_any_connected { REPLACE_DELAY } else { REDIAL_DELAY };
            let wait = (initial_delay * (1 << peer.consecutive_failures.min(6))).min(MAX_REDIAL_DELAY);
            peer.consecutive_failures += 1;
            cx.timers.schedule(cx.now + wait, TimerEvent::Redial(exchange));
        }
    }

    /// Handles the redial timer.
    pub fn redial_due(&mut self, exchange: ExchangeId, cx: &mut Context) {
        if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.redial_scheduled = false;
            self.ensure_connections(exchange, cx);
        }
    }

    /// Handles the dial timeout: ends the connection if it is not established.
    pub fn dial_timeout_due(&mut self, token: Token, cx: &mut Context) {
        if self.connections.get(token).is_some_and(|c| !c.socket.is_connected()) {
            self.end(token, EndReason::DialTimedOut, cx);
        }
    }
}
