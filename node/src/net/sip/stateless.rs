//! Requests that neither begin nor end a call: they are answered without a transaction, so that a flood of them takes no
//! memory (RFC 3261, section 8.2.7). A retransmission gets the same response once more.

use super::message::{self, Message};
use super::transaction::Target;
use super::{LegState, Sip, ALLOW};
use crate::arena::Token;
use crate::net::Context;
use ezk_sip_types::{Method, Name};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// The response to a request that concerns no call.
struct Response {
    status: u16,
    extra_headers: Vec<(&'static str, String)>,
}

impl Response {
    fn new(status: u16) -> Self {
        Response { status, extra_headers: Vec::new() }
    }

    fn with(mut self, name: &'static str, value: &str) -> Self {
        self.extra_headers.push((name, value.to_owned()));
        self
    }
}

/// Creates the To tags of responses that are sent without a transaction: always the same one for the same request.
pub(super) struct StatelessTags(RandomState);

impl StatelessTags {
    pub(super) fn new() -> Self {
        StatelessTags(RandomState::new())
    }

    fn tag(&self, request: &Message) -> String {
        let from_tag = request.from.tag.as_ref().map_or("", |t| t);
        let hash = self.0.hash_one((&request.call_id, from_tag, request.branch(), request.cseq.cseq));
        format!("{hash:016x}")
    }
}

impl Sip {
    /// Whether a request needs a transaction: it begins a call, ends one, or belongs to a transaction that exists.
    pub(super) fn needs_transaction(
        &self,
        request: &Message,
        method: &Method,
        leg_token: Option<Token>,
    ) -> bool {
        matches!(*method, Method::INVITE | Method::ACK)
            || self.ends_call(request, method, leg_token)
            || self.transactions.is_known(request, method)
    }

    /// Answers a request that needs no transaction.
    pub(super) fn answer_without_transaction(
        &mut self,
        request: &Message,
        method: &Method,
        leg_token: Option<Token>,
        source: Target,
        cx: &mut Context,
    ) {
        if *method == Method::BYE && leg_token.is_none() {
            self.record_ended_earlier_call(request, source);
        }
        let response = self.response_without_transaction(request, method, leg_token, cx);
        self.send_without_transaction(request, &response, source, cx);
    }

    /// Rejects an INVITE for which there is no room.
    pub(super) fn reject_for_lack_of_room(
        &mut self,
        request: &Message,
        method: &Method,
        retry_after_secs: &str,
        source: Target,
        cx: &mut Context,
    ) {
        cx.log.line(cx.now, "sip-full", format_args!("{method} from {}", source.addr));
        let response = Response::new(503).with("Retry-After", retry_after_secs);
        self.send_without_transaction(request, &response, source, cx);
    }

    fn response_without_transaction(
        &self,
        request: &Message,
        method: &Method,
        leg_token: Option<Token>,
        cx: &Context,
    ) -> Response {
        if request.header(Name::MAX_FORWARDS).is_some_and(|h| h == "0") {
            return Response::new(483);
        }
        if let Some(extensions) = request.header(Name::REQUIRE).filter(|r| !r.is_empty()) {
            return Response::new(420).with("Unsupported", extensions);
        }
        let leg = leg_token.and_then(|token| self.legs.get(token));
        match *method {
            // A BYE of a dialog that exists is out of order, as it would need a transaction otherwise.
            Method::BYE if leg.is_some_and(|leg| leg.state != LegState::Terminated) => {
                Response::new(500)
            }
            Method::BYE => Response::new(481),
            // After the final response, a CANCEL has no effect.
            Method::CANCEL if self.transactions.invite_of_cancel(request).is_some() => {
                Response::new(200)
            }
            Method::CANCEL => Response::new(481),
            // While this process drains or stops, a 503 makes peers that poll with OPTIONS send their calls
            // elsewhere. Calls that arrive nevertheless are accepted.
            Method::OPTIONS if !cx.lifecycle.is_ready() => Response::new(503),
            Method::OPTIONS => Response::new(200).with("Allow", ALLOW).with("Accept", "application/sdp"),
            _ => Response::new(405).with("Allow", ALLOW),
        }
    }

    fn send_without_transaction(
        &mut self,
        request: &Message,
        response: &Response,
        source: Target,
        cx: &mut Context,
    ) {
        let tag = self.stateless_tags.tag(request);
        let headers = response.extra_headers.iter().map(|(name, value)| (*name, value.as_str()));
        let headers: Vec<_> = headers.collect();
        let bytes = message::response(&request.headers, response.status, &tag, &headers, "");
        // A response that can't be sent counts as lost; the request is sent again.
        let _ = self.transport.send(source, &bytes, cx);
    }
}
