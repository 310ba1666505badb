//! Releases that were lost with a connection, and calls whose set-up was sent on none of these connections.
//!
//! An exchange sends a release on the connection of the set-up or on any open one, and again on the next
//! connection that is established. A release that was lost with a connection is therefore received only if
//! another connection is opened afterwards.

use super::{Connection, Exchanges, SentSetUp};
use crate::arena::Token;
use crate::end::EndReason;
use crate::engine::{AttemptToken, CallInfo};
use crate::net::{Context, TimerEvent};
use slateshed::ExchangeId;
use std::rc::Rc;
use std::time::Duration;

/// Time within which an exchange that sends data first on each new connection has done so.
const REPEATS_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether releases from an exchange may have been lost, and are to be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Repeats {
    /// None are missing.
    #[default]
    None,
    /// Some may have been lost at this time. They are repeated on the next connection that is opened.
    Lost {
        /// The time of the loss.
        at: Duration,
    },
    /// This connection was opened after the loss and has not received any data yet.
    ExpectedOn(Token),
}

impl Exchanges {
    /// Opens another connection to each exchange with adopted calls, on which the exchange repeats the releases
    /// that were lost with the connections of the previous process.
    pub fn request_repeats_for_adopted_calls(&mut self, cx: &mut Context) {
        let exchanges = self.peers.keys().copied().filter(|e| cx.engine.has_adopted_calls(*e));
        for exchange in exchanges.collect::<Vec<_>>() {
            self.set_repeats(exchange, Repeats::Lost { at: cx.now });
            self.ensure_connections(exchange, cx);
        }
    }

    fn set_repeats(&mut self, exchange: ExchangeId, repeats: Repeats) {
        if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.repeats = repeats;
        }
    }

    fn repeats(&self, exchange: ExchangeId) -> Repeats {
        self.peers.get(&exchange).map_or(Repeats::None, |p| p.repeats)
    }

    /// Handles the end of a connection: what the exchange had sent on it and this side had not read is lost. The
    /// connection was active, or calls that were set up on it are established.
    pub(super) fn observe_loss(
        &mut self,
        token: Token,
        connection: &Connection,
        was_active: bool,
        end: EndReason,
        cx: &mut Context,
    ) {
        let exchange = connection.exchange;
        if self.repeats(exchange) == Repeats::ExpectedOn(token) {
            return self.set_repeats(exchange, Repeats::Lost { at: cx.now });
        }
        let is_complete = match end {
            EndReason::PeerClosed => !connection.socket.has_partial_line(),
            EndReason::ClosedLocally => true,
            _ => !connection.socket.is_connected(),
        };
        let carried_releases = was_active || self.has_established_calls(token, cx);
        if !is_complete && carried_releases && cx.engine.has_established_calls(exchange) {
            self.set_repeats(exchange, Repeats::Lost { at: cx.now });
        }
    }

    /// Whether another connection has to be dialled for the repeated releases of established calls.
    pub(super) fn needs_connection_for_repeats(&self, exchange: ExchangeId, cx: &Context) -> bool {
        let (Repeats::Lost { at }, Some(peer)) = (self.repeats(exchange), self.peers.get(&exchange))
        else {
            return false;
        };
        let connections = peer.connections.iter().filter_map(|t| self.connections.get(*t));
        let is_dialling =
            connections.into_iter().any(|c| !c.socket.is_connected() && c.connected_at >= at);
        !is_dialling && cx.engine.has_established_calls(exchange)
    }

    /// Handles a connection that was dialled at `dialled_at` and is now established: the exchange repeats on it
    /// what was lost before. An exchange that sends data first is expected to have done so within a time.
    pub(super) fn expect_repeats(&mut self, token: Token, dialled_at: Duration, cx: &mut Context) {
        let Some(exchange) = self.connections.get(token).map(|c| c.exchange) else {
            return;
        };
        if !matches!(self.repeats(exchange), Repeats::Lost { at } if dialled_at >= at) {
            return;
        }
        if cx.engine.sends_first(exchange) {
            self.set_repeats(exchange, Repeats::ExpectedOn(token));
            cx.timers.schedule(cx.now + REPEATS_TIMEOUT, TimerEvent::RepeatsTimeout(token));
        } else {
            self.set_repeats(exchange, Repeats::None);
        }
        self.close_surplus(token, exchange, cx);
    }

    /// Handles the first message on a connection.
    pub(super) fn observe_repeats(&mut self, token: Token, exchange: ExchangeId) {
        if self.repeats(exchange) == Repeats::ExpectedOn(token) {
            self.set_repeats(exchange, Repeats::None);
        }
    }

    /// Handles the timeout of a connection that should have brought repeated releases: no process may be
    /// serving it, so another one is opened.
    pub fn repeats_timeout_due(&mut self, token: Token, cx: &mut Context) {
        let Some(exchange) = self.connections.get(token).map(|c| c.exchange) else {
            return;
        };
        if self.repeats(exchange) == Repeats::ExpectedOn(token) {
            self.set_repeats(exchange, Repeats::Lost { at: cx.now });
            self.drain_connection(token, cx);
            self.ensure_connections(exchange, cx);
        }
    }

    /// Closes the connection that has been idle for the longest time, if one was established for repeated
    /// releases beyond the limit.
    fn close_surplus(&mut self, newest: Token, exchange: ExchangeId, cx: &mut Context) {
        let Some(peer) = self.peers.get(&exchange) else {
            return;
        };
        if peer.connections.len() <= self.limits.connections_per_exchange() {
            return;
        }
        let others = peer.connections.iter().filter(|t| **t != newest);
        let others = others.filter_map(|t| Some((*t, self.connections.get(*t)?)));
        let longest_idle =
            others.min_by_key(|(t, c)| (self.has_established_calls(*t, cx), c.last_received_at));
        if let Some(token) = longest_idle.map(|(token, _)| token) {
            self.drain_connection(token, cx);
        }
    }

    /// Whether an exchange is reached over these connections.
    pub fn is_known(&self, exchange: ExchangeId) -> bool {
        self.peers.contains_key(&exchange)
    }

    /// Adopts the attempt of a call that the previous process has handed over. It was sent on none of the
    /// connections of this process.
    pub fn adopt_attempt(
        &mut self,
        attempt: AttemptToken,
        exchange: ExchangeId,
        tag: &str,
        now: Duration,
    ) {
        let info = Rc::new(CallInfo::with_id(tag));
        self.by_tag.insert((exchange, tag.to_owned()), attempt);
        self.attempts.insert(
            attempt,
            SentSetUp {
                info,
                exchange,
                connection: Token::NONE,
                sent_at: now,
                deadline: now,
                end_offset: 0,
                reassignments: 0,
            },
        );
    }
}
