//! Received SIP messages: requests of callers and exchanges, and responses of exchanges.

use super::caller_id::LineCaller;
use super::dialog::Dialog;
use super::message::{self, Message};
use super::transaction::{Admission, ReceiveResult, Target};
use super::{Leg, LegState, Party, Sip, LEG_OVERHEAD_BYTES};
use crate::arena::Token;
use crate::config::{SipConfig, SipNumber};
use crate::end::EndReason;
use crate::engine::{CallInfo, IncomingCall};
use crate::net::Context;
use ezk_sip_types::header::typed::{Expires, RetryAfter};
use ezk_sip_types::{Headers, Method, Name};
use slateshed::{DialledNumber, Origin};
use std::rc::Rc;
use std::time::Duration;

/// Upper limit for the Retry-After of an exchange. Without it, one wrong header value would keep the exchange out
/// of use for as long as it says.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(32);
/// Retry-After, in seconds, sent while the limit of transactions or legs is reached. After that time, some of them
/// may have ended.
const FULL_RETRY_AFTER_SECS: &str = "5";

/// Copies of a received INVITE that are kept until its final response: its header fields, the description, and the
/// INVITE to the exchange.
const KEPT_INVITE_COPIES: usize = 3;

impl Sip {
    /// Handles a received request.
    pub(super) fn handle_request(
        &mut self,
        request: Message,
        method: Method,
        source: Target,
        cx: &mut Context,
    ) {
        let is_new_call = method == Method::INVITE && request.to.tag.is_none();
        if is_new_call && source.conn.is_some_and(|stream| self.transport.has_left(stream)) {
            return;
        }
        let leg_token = self.leg_of_request(&request);
        if !self.needs_transaction(&request, &method, leg_token) {
            return self.answer_without_transaction(&request, &method, leg_token, source, cx);
        }
        let admission = match self.ends_call(&request, &method, leg_token) {
            true => Admission::Always,
            false => Admission::IfRoom,
        };
        match self.transactions.receive_request(
            cx.now,
            &request,
            &method,
            source,
            admission,
            &mut self.pending_output,
        ) {
            ReceiveResult::Request(transaction) => {
                let respond = |sip: &mut Self, status, extra_headers: &[(&str, &str)]| {
                    sip.respond(transaction, &request.headers, status, extra_headers, cx.now);
                };
                if request.header(Name::MAX_FORWARDS).is_some_and(|h| h == "0") {
                    respond(self, 483, &[]);
                } else if let Some(extensions) = request.header(Name::REQUIRE).filter(|r| !r.is_empty())
                {
                    respond(self, 420, &[("Unsupported", extensions)]);
                } else if method == Method::CANCEL {
                    self.handle_cancel(&request, transaction, cx);
                } else if let Some(leg_token) = leg_token.filter(|_| method == Method::BYE) {
                    self.handle_bye(leg_token, &request, transaction, cx);
                } else if is_new_call && self.is_merged_request(&request) {
                    respond(self, 482, &[]);
                } else if is_new_call {
                    self.handle_invite(&request, transaction, source, cx);
                } else {
                    // A re-INVITE is rejected: the session description of an established call can't be changed.
                    respond(self, if leg_token.is_some() { 488 } else { 481 }, &[]);
                }
            }
            ReceiveResult::Ack => self.handle_ack(&request, cx),
            ReceiveResult::TableFull => {
                self.reject_for_lack_of_room(&request, &method, FULL_RETRY_AFTER_SECS, source, cx)
            }
            ReceiveResult::Response(_) | ReceiveResult::Absorbed | ReceiveResult::Stray => {}
        }
    }

    /// The leg of the dialog that a request belongs to.
    fn leg_of_request(&self, request: &Message) -> Option<Token> {
        let to_tag = request.to.tag.as_ref()?.to_string();
        let leg_token = *self.legs_by_dialog.get(&(request.call_id.clone(), to_tag))?;
        let from_tag = request.from.tag.as_ref().map_or("", |t| t);
        self.legs.get(leg_token).filter(|leg| leg.dialog.remote_tag == from_tag)?;
        Some(leg_token)
    }

    /// Records the BYE of an exchange for a dialog that is not known here: an earlier process may have set the call up.
    pub(super) fn record_ended_earlier_call(&mut self, bye: &Message, source: Target) {
        let exchanges = self.config.exchanges.values();
        if exchanges.into_iter().any(|exchange| exchange.addr.ip() == source.addr.ip()) {
            self.ended_earlier_calls.extend(LineCaller::parse(&bye.call_id));
        }
    }

    /// Whether a call exists here, or has ended recently, that was set up by the same INVITE, received on another path
    /// (RFC 3261, section 8.2.2.2).
    fn is_merged_request(&self, invite: &Message) -> bool {
        let from_tag = invite.from.tag.as_ref().map_or("", |t| t);
        self.legs.iter().any(|(_, leg)| {
            matches!(leg.party, Party::Caller(_))
                && leg.dialog.call_id == invite.call_id
                && leg.dialog.remote_tag == from_tag
                && leg.invite_cseq == invite.cseq.cseq
        })
    }

    /// Whether a request ends a call: the BYE of a dialog, or the CANCEL of an INVITE without a final response. It is
    /// never rejected for lack of room, as its sender need not repeat it (RFC 3261, section 15.1.1).
    pub(super) fn ends_call(
        &self,
        request: &Message,
        method: &Method,
        leg_token: Option<Token>,
    ) -> bool {
        let leg = leg_token.and_then(|token| self.legs.get(token));
        match *method {
            Method::BYE => {
                leg.is_some_and(|leg| leg.state != LegState::Terminated && leg.expects(request))
            }
            Method::CANCEL => self
                .transactions
                .invite_of_cancel(request)
                .is_some_and(|invite| self.transactions.awaits_final_response(invite)),
            _ => false,
        }
    }

    /// Sends a response without a body in a server transaction.
    pub(super) fn respond(
        &mut self,
        transaction: Token,
        request_headers: &Headers,
        status: u16,
        extra_headers: &[(&str, &str)],
        now: Duration,
    ) {
        let tag = self.random_id();
        let bytes = message::response(request_headers, status, &tag, extra_headers, "");
        self.transactions.send_response(now, transaction, status, bytes, &mut self.pending_output);
    }

    /// Handles the INVITE of a new call.
    pub(super) fn handle_invite(
        &mut self,
        invite: &Message,
        transaction: Token,
        source: Target,
        cx: &mut Context,
    ) {
        let needed_bytes = LEG_OVERHEAD_BYTES + KEPT_INVITE_COPIES * invite.length;
        if self.held_leg_bytes + needed_bytes > self.max_leg_bytes {
            cx.log.line(cx.now, "sip-full", format_args!("INVITE from {}", source.addr));
            return self.respond(
                transaction,
                &invite.headers,
                503,
                &[("Retry-After", FULL_RETRY_AFTER_SECS)],
                cx.now,
            );
        }
        let plan_and_number = invite.called_number().and_then(|called_number| {
            Some((self.config.number_plan_entry(&called_number)?.clone(), called_number))
        });
        let Some((plan_entry, called_number)) = plan_and_number else {
            return self.respond(transaction, &invite.headers, 404, &[], cx.now);
        };
        let (Some(class), Some(description)) =
            (cx.wire.classes.iter().position(|c| *c == plan_entry.class), invite.body_text())
        else {
            return self.respond(
                transaction,
                &invite.headers,
                415,
                &[("Accept", "application/sdp")],
                cx.now,
            );
        };
        let local_tag = self.random_id();
        let trying = message::response(&invite.headers, 100, &local_tag, &[], "");
        self.transactions.send_response(cx.now, transaction, 100, trying, &mut self.pending_output);
        let expires =
            invite.headers.get_named::<Expires>().ok().map(|e| Duration::from_secs(e.0.into()));
        let deadline = cx.wire.deadlines[class];
        let incoming_call = IncomingCall {
            class,
            dialled: dialled_number(&called_number),
            patience: expires.map_or(deadline, |expires| expires.min(deadline)),
            destination: plan_entry.exchange,
            circuits: plan_entry.circuits,
            route_hint: None,
            origin: Origin::Subscriber,
            info: Rc::new(CallInfo {
                id: self.random_id(),
                class: plan_entry.class.clone(),
                dialled_text: called_number,
                description: description.to_owned(),
                caller_host: None,
            }),
        };
        let dialog = Dialog::for_uas(invite, &local_tag, source);
        let dialog_key = (dialog.call_id.clone(), local_tag);
        let call = cx.engine.new_call(cx.now, incoming_call, cx.timers);
        let leg_token = self.insert_leg(Leg {
            party: Party::Caller(call),
            state: LegState::Pending,
            dialog,
            invite_transaction: transaction,
            invite_headers: message::response_headers(&invite.headers),
            sent_invite: None,
            cancel_sent: false,
            retransmission: Rc::from([]),
            retransmit_interval: self.config.times.t1,
            state_changed_at: cx.now,
            last_checked_at: cx.now,
            bye_after_ack: false,
            invite_cseq: invite.cseq.cseq,
            held_bytes: needed_bytes,
        });
        self.legs_by_call.insert(call, leg_token);
        self.legs_by_dialog.insert(dialog_key, leg_token);
        self.legs_by_invite.insert(transaction, leg_token);
    }

    /// Handles a CANCEL: ends the call if its INVITE has no final response yet.
    pub(super) fn handle_cancel(&mut self, cancel: &Message, transaction: Token, cx: &mut Context) {
        let Some(invite_transaction) = self.transactions.invite_of_cancel(cancel) else {
            return self.respond(transaction, &cancel.headers, 481, &[], cx.now);
        };
        self.respond(transaction, &cancel.headers, 200, &[], cx.now);
        // After the final response, a CANCEL has no effect.
        let leg_token = self
            .legs_by_invite
            .get(&invite_transaction)
            .copied()
            .filter(|_| self.transactions.awaits_final_response(invite_transaction));
        if let Some((leg_token, Party::Caller(call))) =
            leg_token.and_then(|leg_token| Some((leg_token, self.legs.get(leg_token)?.party)))
        {
            self.send_failure_response(leg_token, 487, &[], "", cx);
            cx.engine.caller_ended(cx.now, call, cx.timers);
        }
    }

    /// Handles a BYE of the caller or the exchange.
    pub(super) fn handle_bye(
        &mut self,
        leg_token: Token,
        bye: &Message,
        transaction: Token,
        cx: &mut Context,
    ) {
        let Some(leg) = self.legs.get_mut(leg_token).filter(|leg| leg.state != LegState::Terminated)
        else {
            return self.respond(transaction, &bye.headers, 481, &[], cx.now);
        };
        if !leg.expects(bye) {
            return self.respond(transaction, &bye.headers, 500, &[], cx.now);
        }
        leg.dialog.remote_cseq = bye.cseq.cseq;
        let (party, is_pending) = (leg.party, leg.state == LegState::Pending);
        self.respond(transaction, &bye.headers, 200, &[], cx.now);
        if is_pending && matches!(party, Party::Caller(_)) {
            // A caller may end its early dialog with a BYE; its INVITE still needs a final response.
            self.send_failure_response(leg_token, 487, &[], "", cx);
        }
        self.terminate_leg(leg_token, cx);
        match party {
            Party::Caller(call) => cx.engine.caller_ended(cx.now, call, cx.timers),
            Party::Exchange(attempt) => {
                cx.engine.attempt_ended(cx.now, attempt, EndReason::Ended, cx.timers)
            }
        }
    }

    /// Handles the ACK of a 2xx.
    pub(super) fn handle_ack(&mut self, ack: &Message, cx: &mut Context) {
        let to_tag = ack.to.tag.as_ref().map_or(String::new(), |t| t.to_string());
        let Some(leg_token) = self.legs_by_dialog.get(&(ack.call_id.clone(), to_tag)).copied() else {
            return;
        };
        if let Some(leg) = self.legs.get_mut(leg_token).filter(|leg| leg.state == LegState::AwaitingAck)
        {
            leg.state = LegState::Confirmed;
            leg.retransmission = Rc::from([]);
            let bye_after_ack = leg.bye_after_ack;
            self.set_message_bytes(leg_token, 0);
            if bye_after_ack {
                self.send_bye(leg_token, cx);
            }
        }
    }

    /// Handles a received response.
    pub(super) fn handle_response(&mut self, response: Message, cx: &mut Context) {
        let ReceiveResult::Response(transaction) =
            self.transactions.receive_response(cx.now, &response, &mut self.pending_output)
        else {
            return;
        };
        let Some(status) = response.status() else {
            return;
        };
        if self.handle_options_response(transaction, status, cx) {
            return;
        }
        let Some(leg_token) = self.legs_by_invite.get(&transaction).copied() else {
            return;
        };
        let Some(leg) = self.legs.get(leg_token) else {
            return;
        };
        let Party::Exchange(attempt) = leg.party else {
            return;
        };
        cx.engine.record_attempt_activity(cx.now, attempt);
        match (status, leg.state) {
            (100..=199, LegState::Terminated) => self.send_cancel(leg_token, cx.now),
            (100..=199, _) => {}
            (200..=299, LegState::Pending) => {
                self.send_ack(leg_token, &response, cx);
                if let Some(leg) = self.legs.get_mut(leg_token) {
                    leg.state = LegState::Confirmed;
                }
                // An unreadable session description is never passed on, not even as an empty one.
                let Some(description) = response.body_text().map(str::to_owned) else {
                    cx.log.line(cx.now, "sip-malformed", "the body of a 2xx is not UTF-8 text");
                    self.send_bye(leg_token, cx);
                    return cx.engine.attempt_ended(
                        cx.now,
                        attempt,
                        EndReason::MalformedMessage,
                        cx.timers,
                    );
                };
                if !cx.engine.answered(cx.now, attempt, None, description, cx.timers) {
                    self.send_bye(leg_token, cx);
                }
            }
            // The 2xx crossed the CANCEL: the call is established at the exchange and is released at once.
            (200..=299, LegState::Terminated) if leg.retransmission.is_empty() => {
                self.send_ack(leg_token, &response, cx);
                self.send_bye(leg_token, cx);
            }
            // A retransmitted 2xx gets the ACK again; one with another To tag comes from another fork.
            (200..=299, _) => {
                let to_tag = response.to.tag.as_ref().map_or("", |t| t);
                if to_tag == leg.dialog.remote_tag {
                    let (next_hop, ack) = (leg.dialog.next_hop, Rc::clone(&leg.retransmission));
                    let _ = self.transport.send(next_hop, &ack, cx);
                } else {
                    self.release_fork(leg_token, &response, cx);
                }
            }
            (_, LegState::Pending) => {
                self.terminate_leg(leg_token, cx);
                cx.engine.attempt_ended(cx.now, attempt, failure_reason(status, &response), cx.timers);
            }
            _ => {}
        }
    }

    /// Sends the ACK of a 2xx, and stores it to be sent again for each retransmission of the 2xx.
    pub(super) fn send_ack(&mut self, leg_token: Token, response: &Message, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg_token).map(|leg| leg.dialog.next_hop.protocol) else {
            return;
        };
        let ((via, _), contact) = (self.new_via(protocol), self.local_contact(protocol));
        if let Some(leg) = self.legs.get_mut(leg_token) {
            leg.dialog.update_from_answer(response);
            leg.retransmission = leg.dialog.request("ACK", &via, &contact).into();
            let _ = self.transport.send(leg.dialog.next_hop, &leg.retransmission, cx);
            let message_bytes = leg.retransmission.len();
            self.set_message_bytes(leg_token, message_bytes);
        }
    }

    /// A second exchange behind a forking proxy has answered as well: acknowledges its 2xx and releases the call there.
    pub(super) fn release_fork(&mut self, leg_token: Token, response: &Message, cx: &mut Context) {
        let Some(mut dialog) = self.legs.get(leg_token).map(|leg| leg.dialog.clone()) else {
            return;
        };
        dialog.update_from_answer(response);
        let protocol = dialog.next_hop.protocol;
        let ((via, _), contact) = (self.new_via(protocol), self.local_contact(protocol));
        let ack = dialog.request("ACK", &via, &contact);
        let _ = self.transport.send(dialog.next_hop, &ack, cx);
        let (via, branch) = self.new_via(protocol);
        let bye = dialog.request("BYE", &via, &contact);
        self.transactions.send_request(
            cx.now,
            "BYE",
            &branch,
            bye,
            (dialog.next_hop, None),
            &mut self.pending_output,
        );
    }
}

impl Leg {
    /// Whether a request within the dialog is in order. The first one of an exchange may have any sequence number.
    fn expects(&self, request: &Message) -> bool {
        request.cseq.cseq > self.dialog.remote_cseq || matches!(self.party, Party::Exchange(_))
    }
}

/// The called number in the form that the decision module uses: the value of the text if it is a hexadecimal
/// number of at most 64 bits, otherwise its FNV-1a hash.
fn dialled_number(called_number: &str) -> DialledNumber {
    let hash_byte = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    let hex_value = u64::from_str_radix(called_number, 16).ok();
    DialledNumber(
        hex_value.unwrap_or_else(|| called_number.bytes().fold(0xcbf2_9ce4_8422_2325, hash_byte)),
    )
}

/// The end reason of an attempt that an exchange rejected with a non-2xx final response.
fn failure_reason(status: u16, response: &Message) -> EndReason {
    match status {
        408 | 504 => EndReason::TimedOut,
        480 => EndReason::NoCircuit,
        486 | 600 => EndReason::NumberBusy,
        487 => EndReason::Cancelled,
        503 => {
            let retry_after = response.headers.get_named::<RetryAfter>().ok();
            EndReason::ProcessorFull(
                retry_after.map(|r| Duration::from_secs(r.value.into()).min(MAX_RETRY_AFTER)),
            )
        }
        _ => EndReason::Fault,
    }
}

impl SipConfig {
    /// The entry of the number plan with the longest prefix that matches the called number.
    pub fn number_plan_entry(&self, called_number: &str) -> Option<&SipNumber> {
        let matching = self.numbers.iter().filter(|n| called_number.starts_with(&n.prefix));
        matching.max_by_key(|n| n.prefix.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a wrong Retry-After header that keeps an exchange out of use for years.
    #[test]
    fn retry_after_of_an_exchange_is_used_up_to_a_limit() {
        let reason_of_503 = |retry_after: &str| {
            let head = "Via: SIP/2.0/UDP 127.0.0.1;branch=z9hG4bK1\r\nFrom: <sip:a@127.0.0.1>;tag=a\r\n\
                        To: <sip:b@127.0.0.1>;tag=b\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\n";
            let bytes = format!("SIP/2.0 503 Service Unavailable\r\n{head}{retry_after}\r\n");
            failure_reason(503, &message::parse(bytes.as_bytes()).expect("well formed"))
        };
        let processor_full = |seconds| EndReason::ProcessorFull(Some(Duration::from_secs(seconds)));
        assert_eq!(reason_of_503(""), EndReason::ProcessorFull(None));
        assert_eq!(reason_of_503("Retry-After: 3 (busy);duration=9\r\n"), processor_full(3));
        assert_eq!(reason_of_503("Retry-After: 4000000000\r\n"), processor_full(32));
        assert_eq!(reason_of_503("Retry-After: soon\r\n"), EndReason::ProcessorFull(None));
    }
}
