//! Commands of the engine to the SIP front: set-ups, final responses and releases, each carried out on its leg.

use super::dialog::Dialog;
use super::message;
use super::{Leg, LegState, LineCaller, Party, Sip, SipTimer, ALLOW, LEG_OVERHEAD_BYTES};
use crate::arena::Token;
use crate::end::EndReason;
use crate::engine::{AttemptToken, CallInfo, Command};
use crate::net::{Context, TimerEvent};
use ezk_sip_types::Headers;
use slateshed::ExchangeNumber;
use std::rc::Rc;
use std::time::Duration;

impl Sip {
    /// Carries out a command of the engine.
    pub fn execute(
        &mut self,
        command: Command,
        exchange_number: Option<ExchangeNumber>,
        cx: &mut Context,
    ) {
        match command {
            Command::SetUp { attempt, info, wait, .. } => {
                self.send_invite(attempt, &info, wait, exchange_number, cx)
            }
            Command::CancelAttempt(attempt) => {
                if let Some(leg_token) = self.legs_by_attempt.get(&attempt).copied() {
                    self.terminate_leg(leg_token, cx);
                    self.send_cancel(leg_token, cx.now);
                }
            }
            Command::ReleaseExchange(attempt, _) | Command::DiscardAttempt(attempt) => {
                if let Some(leg_token) = self.legs_by_attempt.get(&attempt).copied() {
                    self.send_bye(leg_token, cx);
                }
            }
            Command::Answer(call, description) => {
                if let Some(leg_token) = self.legs_by_call.get(&call).copied() {
                    self.answer_caller(leg_token, &description, cx);
                }
            }
            Command::Refuse(call, retry_after) => {
                // Retry-After has whole seconds. They are rounded up, so that no caller retries too early.
                let retry_after_secs =
                    retry_after.map(|wait| wait.as_millis().div_ceil(1000).to_string());
                let extra_headers: Vec<_> =
                    retry_after_secs.iter().map(|secs| ("Retry-After", secs.as_str())).collect();
                if let Some(leg_token) = self.legs_by_call.get(&call).copied() {
                    self.send_failure_response(leg_token, 503, &extra_headers, "", cx);
                }
            }
            Command::Fail(call) => {
                if let Some(leg_token) = self.legs_by_call.get(&call).copied() {
                    self.send_failure_response(leg_token, 500, &[], "", cx);
                }
            }
            Command::ReleaseCaller(call, _) => {
                if let Some(leg_token) = self.legs_by_call.get(&call).copied() {
                    match self.legs.get_mut(leg_token) {
                        // A BYE must not be sent before the ACK has arrived (RFC 3261, section 15).
                        Some(leg) if leg.state == LegState::AwaitingAck => leg.bye_after_ack = true,
                        _ => self.send_bye(leg_token, cx),
                    }
                }
            }
        }
        self.process_output(cx);
    }

    /// Sends the INVITE of a new attempt to its exchange. The Call-ID of a call from the lines' front names the
    /// caller and its host, so that a later process can tell whose call a BYE ends.
    pub(super) fn send_invite(
        &mut self,
        attempt: AttemptToken,
        info: &CallInfo,
        wait: Duration,
        exchange_number: Option<ExchangeNumber>,
        cx: &mut Context,
    ) {
        let Some(next_hop) = exchange_number.and_then(|n| self.config.exchanges.get(&n).copied()) else {
            return cx.engine.attempt_ended(cx.now, attempt, EndReason::NotSent, cx.timers);
        };
        let (via, branch) = self.new_via(next_hop.protocol);
        let (local_tag, call_id, local_address) =
            (self.random_id(), self.random_id(), self.local_address(next_hop.protocol));
        let caller = info.caller_host.map(|host| LineCaller { id: info.id.clone(), host: Some(host) });
        let call_id = caller.map_or(call_id.clone(), |caller| caller.call_id(&call_id));
        let contact = self.local_contact(next_hop.protocol);
        let uri = format!("sip:{}@{}", info.dialled_text, next_hop.addr);
        let dialog = Dialog {
            call_id: format!("{call_id}@{local_address}"),
            local_party: format!("<sip:{local_address}>;tag={local_tag}"),
            local_tag: local_tag.clone(),
            remote_tag: String::new(),
            remote_party: format!("<{uri}>"),
            remote_target: uri.clone(),
            route_set: Vec::new(),
            local_cseq: 1,
            remote_cseq: 0,
            next_hop,
        };
        let expires_secs = wait.as_millis().div_ceil(1000).max(1).to_string();
        let headers = [
            ("Via", via.as_str()),
            ("Max-Forwards", "70"),
            ("From", &dialog.local_party),
            ("To", &dialog.remote_party),
            ("Call-ID", &dialog.call_id),
            ("CSeq", "1 INVITE"),
            ("Contact", &contact),
            ("Allow", ALLOW),
            ("Expires", &expires_secs),
            ("X-Class", &info.class),
        ];
        let bytes = message::request("INVITE", &uri, &headers, &info.description);
        let sent_invite = Rc::new(dialog.sent_invite(&uri, &via));
        let destination = (next_hop, Some(Rc::clone(&sent_invite)));
        let transaction = self.transactions.send_request(
            cx.now,
            "INVITE",
            &branch,
            bytes,
            destination,
            &mut self.pending_output,
        );
        cx.engine.count_forwards(1);
        let dialog_key = (dialog.call_id.clone(), local_tag);
        let leg_token = self.insert_leg(Leg {
            party: Party::Exchange(attempt),
            state: LegState::Pending,
            dialog,
            invite_transaction: transaction,
            invite_headers: Headers::new(),
            sent_invite: Some(sent_invite),
            cancel_sent: false,
            retransmission: Rc::from([]),
            retransmit_interval: self.config.times.t1,
            state_changed_at: cx.now,
            last_checked_at: cx.now,
            bye_after_ack: false,
            invite_cseq: 1,
            held_bytes: LEG_OVERHEAD_BYTES,
        });
        self.legs_by_attempt.insert(attempt, leg_token);
        self.legs_by_dialog.insert(dialog_key, leg_token);
        self.legs_by_invite.insert(transaction, leg_token);
    }

    /// Stops the retransmission of a leg's INVITE and cancels it. A CANCEL must not be sent before a provisional
    /// response (RFC 3261, section 9.1); this is called again when one arrives.
    pub(super) fn send_cancel(&mut self, leg_token: Token, now: Duration) {
        let Some(leg) = self.legs.get_mut(leg_token) else {
            return;
        };
        self.transactions.stop_retransmission(leg.invite_transaction);
        let Some(sent_invite) = leg
            .sent_invite
            .clone()
            .filter(|_| !leg.cancel_sent && self.transactions.is_proceeding(leg.invite_transaction))
        else {
            return;
        };
        leg.cancel_sent = true;
        let branch = sent_invite.via.rsplit_once("branch=").map_or("", |(_, branch)| branch);
        let (bytes, destination) =
            (sent_invite.ack_or_cancel("CANCEL", &sent_invite.to), (leg.dialog.next_hop, None));
        self.transactions.send_request(
            now,
            "CANCEL",
            branch,
            bytes,
            destination,
            &mut self.pending_output,
        );
    }

    /// Sends a non-2xx final response on a caller's leg and terminates the leg.
    pub(super) fn send_failure_response(
        &mut self,
        leg_token: Token,
        status: u16,
        extra_headers: &[(&str, &str)],
        body: &str,
        cx: &mut Context,
    ) {
        if let Some(leg) = self.legs.get(leg_token) {
            let bytes = message::response(
                &leg.invite_headers,
                status,
                &leg.dialog.local_tag,
                extra_headers,
                body,
            );
            self.transactions.send_response(
                cx.now,
                leg.invite_transaction,
                status,
                bytes,
                &mut self.pending_output,
            );
            self.terminate_leg(leg_token, cx);
        }
    }

    /// Answers a caller with a 200, which is retransmitted until its ACK arrives.
    pub(super) fn answer_caller(&mut self, leg_token: Token, description: &str, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg_token).map(|leg| leg.dialog.next_hop.protocol) else {
            return;
        };
        let contact = self.local_contact(protocol);
        if let Some(leg) = self.legs.get_mut(leg_token) {
            let extra_headers = [("Contact", contact.as_str()), ("Allow", ALLOW)];
            let bytes = message::response(
                &leg.invite_headers,
                200,
                &leg.dialog.local_tag,
                &extra_headers,
                description,
            );
            leg.retransmission = Rc::from(bytes.as_slice());
            leg.invite_headers = Headers::new();
            leg.state = LegState::AwaitingAck;
            leg.state_changed_at = cx.now;
            cx.timers.schedule(
                cx.now + leg.retransmit_interval,
                TimerEvent::Sip(SipTimer::RetransmitAnswer(leg_token)),
            );
            let invite_transaction = leg.invite_transaction;
            self.set_message_bytes(leg_token, bytes.len());
            self.transactions.send_response(
                cx.now,
                invite_transaction,
                200,
                bytes,
                &mut self.pending_output,
            );
        }
    }

    /// Retransmits the 200 on a caller's leg, or releases the call if the ACK has not arrived in time.
    pub(super) fn retransmit_answer(&mut self, leg_token: Token, cx: &mut Context) {
        let times = self.config.times;
        let Some(leg) = self.legs.get_mut(leg_token).filter(|leg| leg.state == LegState::AwaitingAck)
        else {
            return;
        };
        if cx.now >= leg.state_changed_at + times.transaction_timeout() {
            // No ACK has arrived: the call is released on both legs (RFC 3261, section 13.3.1.4).
            let party = leg.party;
            self.send_bye(leg_token, cx);
            if let Party::Caller(call) = party {
                cx.log.line(cx.now, "sip-no-ack", "no ACK for the 200 of an answered call");
                cx.engine.caller_ended(cx.now, call, cx.timers);
            }
            return;
        }
        leg.retransmit_interval = (leg.retransmit_interval * 2).min(times.t2);
        cx.timers.schedule(
            cx.now + leg.retransmit_interval,
            TimerEvent::Sip(SipTimer::RetransmitAnswer(leg_token)),
        );
        let (next_hop, bytes) = (leg.dialog.next_hop, Rc::clone(&leg.retransmission));
        let _ = self.transport.send(next_hop, &bytes, cx);
    }

    /// Sends a BYE on a leg and terminates the leg.
    pub(super) fn send_bye(&mut self, leg_token: Token, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg_token).map(|leg| leg.dialog.next_hop.protocol) else {
            return;
        };
        let ((via, branch), contact) = (self.new_via(protocol), self.local_contact(protocol));
        if let Some(leg) = self.legs.get_mut(leg_token) {
            let bye = leg.dialog.request("BYE", &via, &contact);
            let destination = (leg.dialog.next_hop, None);
            self.transactions.send_request(
                cx.now,
                "BYE",
                &branch,
                bye,
                destination,
                &mut self.pending_output,
            );
        }
        self.terminate_leg(leg_token, cx);
    }

    /// Terminates a leg. Its state is kept for as long as messages for it may still arrive.
    pub(super) fn terminate_leg(&mut self, leg_token: Token, cx: &mut Context) {
        let Some(leg) = self.legs.get_mut(leg_token) else {
            return;
        };
        match leg.party {
            Party::Caller(call) => drop(self.legs_by_call.remove(&call)),
            Party::Exchange(attempt) => drop(self.legs_by_attempt.remove(&attempt)),
        }
        if leg.state != LegState::Terminated {
            leg.state = LegState::Terminated;
            leg.state_changed_at = cx.now;
            leg.invite_headers = Headers::new();
            if matches!(leg.party, Party::Caller(_)) {
                leg.retransmission = Rc::from([]);
                self.set_message_bytes(leg_token, 0);
            }
            let remove_at = cx.now + self.config.times.transaction_timeout() + self.config.times.t4;
            cx.timers.schedule(remove_at, TimerEvent::Sip(SipTimer::RemoveLeg(leg_token)));
        }
    }

    /// Removes the state of a terminated leg.
    pub(super) fn remove_leg(&mut self, leg_token: Token) {
        if let Some(leg) = self.legs.remove(leg_token) {
            self.held_leg_bytes -= leg.held_bytes;
            self.legs_by_dialog.remove(&(leg.dialog.call_id, leg.dialog.local_tag));
            self.legs_by_invite.remove(&leg.invite_transaction);
            // A cancelled INVITE that never got a final response has no timer left that ends its transaction.
            self.transactions.terminate(leg.invite_transaction);
        }
    }
}
