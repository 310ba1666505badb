//! Set-ups received from clients: their checks, and whether they are handed to the engine or refused.

use super::{encode_refusal, ClientCall, Clients, CAUSE_FAILED};
use crate::arena::Token;
use crate::config::WireConfig;
use crate::end::EndReason;
use crate::engine::{CallInfo, IncomingCall};
use crate::net::lifecycle::ClientPolicy;
use crate::net::lines::{encode_message, is_16_hex_digits, list_value, Message};
use crate::net::Context;
use slateshed::{DialledNumber, ExchangeNumber, Origin};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// Tolerance for clock differences and rounding when a caller's patience is compared with the deadline of its
/// class.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(100);
/// Upper limit of the number of an exchange and of the circuits of a call.
const MAX_LIST_NUMBER: f64 = 65_535.0;

/// Why a set-up is refused before it reaches the engine.
enum Refusal {
    /// A call with this id exists on another connection or has ended recently: it may be set up again after this time.
    Repeated(Duration),
    /// This process drains. Another controller can take the call at once.
    Draining,
    /// Too many calls have no final answer.
    TooManyCalls,
}

impl Clients {
    pub(super) fn handle_set_up(
        &mut self,
        token: Token,
        message: Message,
        cx: &mut Context,
    ) -> Result<(), EndReason> {
        // A client that has closed its side has given the set-up up.
        let Some(peer) = self.conns.get(token).filter(|c| !c.has_left).map(|c| c.peer) else {
            return Ok(());
        };
        // A set-up without a valid id cannot be answered. If it were forwarded, the exchange would close its
        // connection, and all other set-ups on that connection would be lost.
        if !is_16_hex_digits(&message.tag) {
            return Err(EndReason::MalformedMessage);
        }
        if self.connection_of_call(&message.tag) == Some(token) {
            // The client would take an answer under this id for the answer to the existing call.
            cx.log.line(cx.now, "set-up-twice", &message.tag);
            return Err(EndReason::MalformedMessage);
        }
        let tag = message.tag.clone();
        self.record_own_id(&tag);
        self.mark_as_caller(token, cx);
        let incoming = match parse_set_up(message, peer, cx.wire) {
            Ok(incoming) => incoming,
            Err(field) => {
                // The set-up has a valid id, so the call is answered as failed and the connection is kept.
                cx.log.line(cx.now, "set-up-malformed", format_args!("{tag}: {field}"));
                self.answer(token, &encode_message("FINISH", &tag, &[], Some(CAUSE_FAILED), None));
                return Ok(());
            }
        };
        match self.refusal(token, &tag, cx) {
            Some(refusal) => self.refuse_set_up(token, &tag, incoming.class, refusal, cx),
            None => self.start_call(token, peer, tag, incoming, cx),
        }
        Ok(())
    }

    /// The connection of the call with this id, if there is one.
    fn connection_of_call(&self, tag: &str) -> Option<Token> {
        let call = self.by_tag.get(tag)?;
        self.calls.get(call).map(|client_call| client_call.conn)
    }

    /// Whether a set-up is refused before it reaches the engine, and why.
    fn refusal(&self, token: Token, tag: &str, cx: &Context) -> Option<Refusal> {
        let is_draining = match cx.lifecycle.client_policy(cx.now) {
            ClientPolicy::Keep => false,
            ClientPolicy::Close(cutoff) => self.is_kept_for_calls(token, cutoff),
            ClientPolicy::Refuse(_) => true,
        };
        // A client that has come again with a call may have left the connection on which the call is unanswered.
        let repeated_after = match self.by_tag.contains_key(tag) {
            true => Some(cx.engine.release_delay()),
            false => self.recent_ids.time_left(tag, cx.now),
        };
        match repeated_after {
            Some(wait) => Some(Refusal::Repeated(wait)),
            None if is_draining => Some(Refusal::Draining),
            None if self.unanswered_calls >= self.limits.max_unanswered_calls() => {
                Some(Refusal::TooManyCalls)
            }
            None => None,
        }
    }

    fn refuse_set_up(
        &mut self,
        token: Token,
        tag: &str,
        class: usize,
        refusal: Refusal,
        cx: &mut Context,
    ) {
        let max_retry_after = cx.engine.max_retry_after();
        let retry_after = match refusal {
            Refusal::Repeated(wait) => {
                cx.log.line(cx.now, "set-up-repeated", format_args!("call={tag}"));
                max_retry_after.map(|longest| wait.min(longest))
            }
            Refusal::Draining => None,
            Refusal::TooManyCalls => {
                let unanswered = self.unanswered_calls;
                cx.log.line(cx.now, "too-many-calls", format_args!("{unanswered} unanswered"));
                max_retry_after
            }
        };
        cx.engine.count_refused(class);
        self.answer(token, &encode_refusal(tag, retry_after));
    }

    fn start_call(
        &mut self,
        token: Token,
        peer: IpAddr,
        tag: String,
        incoming: IncomingCall,
        cx: &mut Context,
    ) {
        if let Some(client) = self.conns.get_mut(token) {
            client.unanswered += 1;
        }
        self.unanswered_calls += 1;
        let call = cx.engine.new_call(cx.now, incoming, cx.timers);
        self.by_tag.insert(tag.clone(), call);
        let client_call =
            ClientCall { tag, conn: token, peer, is_unanswered: true, is_established: false };
        self.calls.insert(call, client_call);
    }
}

/// Parses a set-up; the error names the invalid field. Fields forwarded unchanged must be valid for the
/// exchange, because it closes its connection on any invalid message. A number in `extras` that is out of range
/// is not clamped: it counts as absent.
fn parse_set_up(
    message: Message,
    peer: IpAddr,
    wire: &WireConfig,
) -> Result<IncomingCall, &'static str> {
    let class = wire.classes.iter().position(|c| c == message.opt("class")).ok_or("class")?;
    let left: f64 = message.opt("left").parse().map_err(|_| "left")?;
    let patience = slateshed_settings::duration(left).ok_or("left")?;
    if patience.is_zero() || patience > wire.deadlines[class] + DEADLINE_TOLERANCE {
        return Err("left");
    }
    let key = Some(message.opt("key")).filter(|k| is_16_hex_digits(k)).ok_or("key")?;
    let dialled = u64::from_str_radix(key, 16).map_err(|_| "key")?;
    let extras = message.opt("extras");
    let count = |name| {
        let whole = |x: &f64| x.fract() == 0.0 && (0.0..=MAX_LIST_NUMBER).contains(x);
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
            dialled_text: key.to_owned(),
            description: message.blob.ok_or("blob")?,
            id: message.tag,
            caller_host: Some(peer),
        }),
    })
}
