//! What the connections to an exchange show of its process, and how they are renewed while it is silent.
//!
//! A check renews one idle connection: a new one is dialled, and the one that was silent for longest is closed in good
//! order. Whether the new one comes up, and whether the exchange closes the old one in return, are the signs of life.
//! No message is sent for it.

use super::{Exchanges, Link, Sent};
use crate::arena::Token;
use crate::end::EndReason;
use crate::engine::ConnectionRequest;
use crate::liveness::{FailureSign, Incarnation};
use crate::net::{Context, TimerEvent};
use slateshed::ExchangeId;
use std::time::Duration;

/// A set-up given up after this time, with nothing heard on its connection since, makes that suspect. So does one after the
/// shorter time, where nothing was heard of the process for the longer one.
const SILENT: Duration = Duration::from_millis(750);
const SILENT_FOR_ONE: Duration = Duration::from_millis(300);
/// Whoever speaks first on a new connection does so within this time.
const GREETS_WITHIN: Duration = Duration::from_millis(500);
/// No exchange closes, resets or forgets a connection that has rested for less than this.
const IN_USE: Duration = Duration::from_secs(3);
/// Connections that are reset within this time of each other are reset at once.
const AT_ONCE: Duration = Duration::from_millis(500);
/// How long the peer has to close a connection that is closed on it, before that is looked at again.
const CLOSES_WITHIN: Duration = Duration::from_secs(1);
/// How long one to a silent process at which calls stand is kept for that.
const CLOSES_AT_LAST: Duration = Duration::from_secs(8);

impl Exchanges {
    /// Carries out what the engine wants of the connections to an exchange.
    pub fn upkeep(&mut self, upkeep: ConnectionRequest, cx: &mut Context) {
        match upkeep {
            ConnectionRequest::Check(exchange, incarnation) => self.check(exchange, incarnation, cx),
            ConnectionRequest::Abandon(exchange, incarnation) => self.abandon(exchange, incarnation, cx),
        }
    }

    /// Renews a connection to a process that has been silent. The only one there is is closed once another is up.
    fn check(&mut self, exchange: ExchangeId, incarnation: Incarnation, cx: &mut Context) {
        let several = self.up(exchange) > 1;
        // Where set-ups are open on all, or none is up, these or the dials show as much.
        let Some(oldest) = self.longest_silent(exchange, incarnation, cx) else {
            return;
        };
        let name = cx.engine.name(exchange);
        cx.log.line(cx.now, "exchange-checked", format_args!("exchange={name} several={several}"));
        // One that rested may be forgotten, and one that is only assumed to lead there tells nothing of the process.
        let is_conclusive =
            self.links.get(oldest).is_some_and(|l| l.was_in_use(cx.now) && l.leads_to(incarnation, cx));
        cx.engine.check_started(cx.now, exchange, is_conclusive);
        if several {
            self.close_in_good_order(oldest, cx);
        } else if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.renews = Some(incarnation);
        }
        self.refill(exchange, cx);
    }

    /// The connection to a process on which nothing is open and which was silent for longest; one that carries calls comes
    /// late, as their ends are told there. Where none leads to that process for certain, it is assumed to be the one that
    /// the others lead to.
    fn longest_silent(
        &self,
        exchange: ExchangeId,
        incarnation: Incarnation,
        cx: &Context,
    ) -> Option<Token> {
        let peer = self.peers.get(&exchange)?;
        let links = peer.links.iter().filter_map(|t| Some((*t, self.links.get(*t)?)));
        links
            .filter(|(_, l)| l.conn.is_connected() && l.open.is_empty())
            .min_by_key(|(t, l)| {
                (!l.leads_to(incarnation, cx), self.carries_calls(*t, cx), l.last_heard)
            })
            .map(|(token, _)| token)
    }

    /// A connection has come up beside the only one. Of a process that closes in return, the old one is closed: that shows
    /// whether it lives. Of any other, the new one has shown all that it can, unless the old one is in doubt.
    pub(super) fn renewed(&mut self, token: Token, exchange: ExchangeId, cx: &mut Context) {
        let Some(incarnation) = self.peers.get_mut(&exchange).and_then(|p| p.renews.take()) else {
            return;
        };
        let oldest = self.longest_silent(exchange, incarnation, cx).filter(|t| *t != token);
        let Some(oldest) = oldest else {
            return;
        };
        if cx.engine.closes_in_response(exchange) {
            self.close_in_good_order(oldest, cx);
        } else if !cx.engine.is_suspected(exchange, incarnation) {
            self.close_in_good_order(token, cx);
        }
    }

    /// Closes a connection on which nothing is open: no more is sent on it, and what the peer still sends is read until
    /// it closes it as well.
    pub(super) fn close_in_good_order(&mut self, token: Token, cx: &mut Context) {
        let Some(link) = self.links.get_mut(token) else {
            return;
        };
        if !link.conn.is_connected() {
            return self.end(token, EndReason::ClosedLocally, cx);
        }
        if link.closing.is_some() {
            return;
        }
        link.closing = Some(cx.now);
        link.conn.shutdown_write();
        let exchange = link.exchange;
        if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.links.retain(|t| *t != token);
        }
        cx.timers.schedule(cx.now + CLOSES_WITHIN, TimerEvent::CloseTimeout(token));
    }

    /// The peer should have closed a connection by now. One that carries calls is kept until their ends are told, as a
    /// peer that does not close it may tell them there. So is one to a process at which calls stand and that is silent,
    /// for a while: that it is closed at last may be the only sign that this process lives.
    pub fn closing_due(&mut self, token: Token, cx: &mut Context) {
        let Some((link, since)) = self.links.get(token).and_then(|l| Some((l, l.closing?))) else {
            return;
        };
        let exchange = link.exchange;
        let is_witness = link.incarnation.is_some_and(|i| {
            cx.engine.has_calls_at(exchange, i)
                && cx.engine.silent_for(cx.now, exchange, i) >= CLOSES_WITHIN
        });
        let is_needed = is_witness && cx.now < since + CLOSES_AT_LAST;
        if is_needed || self.carries_calls(token, cx) {
            cx.timers.schedule(cx.now + CLOSES_WITHIN, TimerEvent::CloseTimeout(token));
        } else {
            self.end(token, EndReason::ClosedLocally, cx);
        }
    }

    /// Whether calls stand whose set-ups went on a connection.
    fn carries_calls(&self, token: Token, cx: &Context) -> bool {
        self.attempts.iter().any(|(attempt, sent)| sent.link == token && cx.engine.is_answered(*attempt))
    }

    /// Ends the connections to a process that is gone.
    fn abandon(&mut self, exchange: ExchangeId, incarnation: Incarnation, cx: &mut Context) {
        let of_it = |l: &Link| l.exchange == exchange && l.leads_to(incarnation, cx);
        let gone: Vec<_> = self.links.iter().filter(|(_, l)| of_it(l)).map(|(t, _)| t).collect();
        gone.into_iter().for_each(|token| self.end(token, EndReason::PeerSilent, cx));
        self.refill(exchange, cx);
    }

    /// A connection has ended: what that shows of the process at its other end.
    pub(super) fn observe_end(
        &mut self,
        link: &Link,
        was_listed: bool,
        end: EndReason,
        cx: &mut Context,
    ) {
        let (now, exchange) = (cx.now, link.exchange);
        let Some(incarnation) = link.incarnation else {
            if let Some(observation) = FailureSign::from_dial(end).filter(|_| was_listed) {
                cx.engine.record_failure_sign(now, exchange, observation);
            }
            return;
        };
        match end {
            EndReason::PeerClosed => {
                cx.engine.peer_closed(now, exchange, incarnation, link.closing.is_some())
            }
            EndReason::PeerSilent if link.was_in_use(link.missed_since) => {
                cx.engine.record_failure_sign(now, exchange, FailureSign::MissedReports(incarnation));
            }
            EndReason::ConnectionBroken if link.closing.is_none() => {
                self.observe_reset(link, incarnation, cx)
            }
            _ => {}
        }
    }

    /// A process that dies resets all its connections at once. One alone may be reset on the way, and those on which
    /// nothing has passed for a while by an exchange that rids itself of them.
    fn observe_reset(&mut self, link: &Link, incarnation: Incarnation, cx: &mut Context) {
        let exchange = link.exchange;
        let was_in_use = !link.open.is_empty() || link.was_in_use(cx.now);
        let is_left = self.links.iter().any(|(_, l)| {
            l.exchange == exchange
                && l.closing.is_none()
                && l.incarnation.is_some_and(|o| cx.engine.is_same_process(exchange, o, incarnation))
        });
        let Some(peer) = self.peers.get_mut(&exchange) else {
            return;
        };
        if cx.now > peer.reset_at + AT_ONCE {
            (peer.resets, peer.resets_in_use) = (0, false);
        }
        peer.resets += 1;
        peer.reset_at = cx.now;
        peer.resets_in_use |= was_in_use;
        let is_all = !is_left && peer.resets > 1 && peer.resets_in_use;
        let observation = if is_all { FailureSign::AllReset(incarnation) } else { FailureSign::Reset };
        cx.engine.record_failure_sign(cx.now, exchange, observation);
    }

    /// Bytes have arrived on a connection: the process at its other end lives.
    pub(super) fn observe_bytes(&mut self, token: Token, cx: &mut Context) {
        let Some(link) = self.links.get_mut(token) else {
            return;
        };
        link.last_heard = cx.now;
        let (exchange, incarnation) = (link.exchange, link.incarnation);
        if let Some(incarnation) = incarnation {
            cx.engine.record_activity(cx.now, exchange, incarnation);
        }
        if let Some(peer) = self.peers.get_mut(&exchange) {
            (peer.resets, peer.resets_in_use) = (0, false);
        }
    }

    /// The first message on a connection: whether the exchange speaks first on each.
    pub(super) fn observe_first(&mut self, token: Token, verb: &str, cx: &mut Context) {
        let Some(link) = self.links.get_mut(token).filter(|l| !l.heard) else {
            return;
        };
        link.heard = true;
        let exchange = link.exchange;
        if verb == "LOAD" && cx.now < link.up_since + GREETS_WITHIN {
            cx.engine.peer_spoke_first(exchange);
        }
        if let Some(peer) = self.peers.get_mut(&exchange) {
            peer.failures = 0;
        }
    }

    /// A set-up was given up. Nothing heard since it was sent: the machine may have vanished, and its connections would
    /// stay open and silent. They are closed, and the next set-up goes on a new one.
    pub(super) fn observe_unanswered(&mut self, sent: &Sent, cx: &mut Context) {
        let exchange = sent.exchange;
        let Some(link) = self.links.get(sent.link) else {
            return;
        };
        let incarnation = link.incarnation.unwrap_or_default();
        let was_in_use = link.was_in_use(sent.at);
        let is_silent = cx.engine.silent_for(cx.now, exchange, incarnation) >= SILENT;
        let least = if is_silent { SILENT_FOR_ONE } else { SILENT };
        let unheard = |l: &Link, at: Duration| l.last_heard < at && cx.now >= at + least;
        let is_unheard = |t: Token, at| self.links.get(t).is_some_and(|l| unheard(l, at));
        if !is_unheard(sent.link, sent.at) {
            return;
        }
        let waiting = self.attempts.values().filter(|s| s.exchange == exchange);
        let waiting = waiting.filter(|s| is_unheard(s.link, s.at)).count();
        let links = self.peers.get(&exchange).map_or(Vec::new(), |p| p.links.clone());
        let silent: Vec<_> = links.into_iter().filter(|t| is_unheard(*t, sent.at)).collect();
        let name = cx.engine.name(exchange);
        let text = format_args!("exchange={name} call={} closes={}", sent.info.id, silent.len());
        cx.log.line(cx.now, "exchange-silent", text);
        let set_ups = waiting as u32 + 1;
        let observation = match was_in_use {
            true => FailureSign::Unanswered(set_ups, incarnation),
            false => FailureSign::UnansweredAtRest(set_ups),
        };
        cx.engine.record_failure_sign(cx.now, exchange, observation);
        silent.into_iter().for_each(|token| self.retire(token, cx));
        self.refill(exchange, cx);
    }

    /// A message that concerns a call that stands proves the process at which it stands, on whatever connection it comes.
    pub(super) fn observe_call(&self, attempt: crate::engine::AttemptToken, cx: &mut Context) {
        let exchange = self.attempts.get(&attempt).map(|s| s.exchange);
        if let Some((exchange, incarnation)) = exchange.zip(cx.engine.incarnation(attempt)) {
            cx.engine.record_activity(cx.now, exchange, incarnation);
        }
    }
}

impl Link {
    /// Whether it had been heard on lately at a time, so that the exchange can't have forgotten it by then.
    pub(super) fn was_in_use(&self, at: Duration) -> bool {
        at < self.last_heard + IN_USE
    }

    /// Whether it is known to lead to the process of an incarnation.
    fn leads_to(&self, incarnation: Incarnation, cx: &Context) -> bool {
        self.incarnation.is_some_and(|i| cx.engine.is_same_process(self.exchange, i, incarnation))
    }
}
