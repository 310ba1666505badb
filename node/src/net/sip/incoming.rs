//! What comes in over SIP: requests of callers and exchanges, and the exchanges' responses.

use super::dialog::Dialog;
use super::message::{self, Message};
use super::transaction::{Taken, Target};
use super::{Leg, Party, Sip, State, ALLOW};
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

/// Longest wait that an exchange is believed to have: beyond it, it would stay shut by one wrong header.
const MOST_TOLD: Duration = Duration::from_secs(32);
/// Seconds after which there may be room again for another transaction.
const FULL_FOR: &str = "5";

impl Sip {
    pub(super) fn request(&mut self, m: Message, method: Method, source: Target, cx: &mut Context) {
        match self.transactions.take_request(cx.now, &m, &method, source, &mut self.output) {
            Taken::Request(tx) => {
                let respond = |sip: &mut Self, status, more: &[(&str, &str)]| {
                    sip.respond(tx, &m.headers, status, more, cx.now);
                };
                let to_tag = m.to.tag.as_ref().map(|t| t.to_string());
                let leg = to_tag.and_then(|tag| self.by_dialog.get(&(m.call_id.clone(), tag)).copied());
                let from_tag = m.from.tag.as_ref().map_or("", |t| t);
                let its_peer =
                    |leg: &Token| self.legs.get(*leg).is_some_and(|l| l.dialog.remote_tag == from_tag);
                let leg = leg.filter(its_peer);
                let in_dialog = m.to.tag.is_some();
                if m.header(Name::MAX_FORWARDS).is_some_and(|h| h == "0") {
                    respond(self, 483, &[]);
                } else if let Some(wanted) = m.header(Name::REQUIRE).filter(|r| !r.is_empty()) {
                    respond(self, 420, &[("Unsupported", wanted)]);
                } else if method == Method::CANCEL {
                    self.cancel(&m, tx, cx);
                } else if method == Method::BYE {
                    match leg {
                        Some(leg) => self.bye(leg, &m, tx, cx),
                        None => respond(self, 481, &[]),
                    }
                } else if method == Method::INVITE && !in_dialog {
                    self.invite(&m, tx, source, cx);
                } else if method == Method::INVITE {
                    // The description of a standing call is not changed.
                    respond(self, if leg.is_some() { 488 } else { 481 }, &[]);
                } else if method == Method::OPTIONS && !cx.lifecycle.is_ready() {
                    // Who asks in turn sends its calls elsewhere; those that come all the same are taken.
                    respond(self, 503, &[]);
                } else if method == Method::OPTIONS {
                    respond(self, 200, &[("Allow", ALLOW), ("Accept", "application/sdp")]);
                } else {
                    respond(self, 405, &[("Allow", ALLOW)]);
                }
            }
            Taken::Ack => self.ack(&m, cx),
            Taken::Full => {
                cx.log.line(cx.now, "sip-full", format_args!("{method} of {}", source.addr));
                let tag = self.unique();
                let more = [("Retry-After", FULL_FOR)];
                let bytes = message::response(&m.headers, 503, &tag, &more, "");
                let _ = self.transport.send(source, &bytes, cx);
            }
            Taken::Response(_) | Taken::Absorbed | Taken::Stray => {}
        }
    }

    pub(super) fn respond(
        &mut self,
        tx: Token,
        to: &Headers,
        status: u16,
        more: &[(&str, &str)],
        now: Duration,
    ) {
        let tag = self.unique();
        let bytes = message::response(to, status, &tag, more, "");
        self.transactions.respond(now, tx, status, bytes, &mut self.output);
    }

    /// A new call.
    pub(super) fn invite(&mut self, m: &Message, tx: Token, source: Target, cx: &mut Context) {
        if self.legs.len() >= self.most_legs {
            cx.log.line(cx.now, "sip-full", format_args!("INVITE of {}", source.addr));
            return self.respond(tx, &m.headers, 503, &[("Retry-After", FULL_FOR)], cx.now);
        }
        let number = m.called().and_then(|called| Some((self.config.number(&called)?.clone(), called)));
        let Some((plan, called)) = number else {
            return self.respond(tx, &m.headers, 404, &[], cx.now);
        };
        let (Some(class), Some(text)) =
            (cx.wire.classes.iter().position(|c| *c == plan.class), m.text())
        else {
            return self.respond(tx, &m.headers, 415, &[("Accept", "application/sdp")], cx.now);
        };
        let tag = self.unique();
        let trying = message::response(&m.headers, 100, &tag, &[], "");
        self.transactions.respond(cx.now, tx, 100, trying, &mut self.output);
        let expires = m.headers.get_named::<Expires>().ok().map(|e| Duration::from_secs(e.0.into()));
        let deadline = cx.wire.deadlines[class];
        let new = IncomingCall {
            class,
            dialled: dialled(&called),
            patience: expires.map_or(deadline, |e| e.min(deadline)),
            destination: plan.exchange,
            circuits: plan.circuits,
            route_hint: None,
            origin: Origin::Subscriber,
            info: Rc::new(CallInfo {
                id: self.unique(),
                class: plan.class.clone(),
                key: called,
                description: text.to_owned(),
            }),
        };
        let dialog = Dialog::called(m, &tag, source);
        let key = (dialog.call_id.clone(), tag);
        let call = cx.engine.new_call(cx.now, new, cx.timers);
        let leg = self.legs.insert(Leg {
            party: Party::Caller(call),
            state: State::Ringing,
            dialog,
            invite: tx,
            headers: m.headers.clone(),
            sent: None,
            cancelled: false,
            again: Rc::from([]),
            interval: self.config.times.t1,
            since: cx.now,
            checked: cx.now,
            bye_waits: false,
        });
        self.by_call.insert(call, leg);
        self.by_dialog.insert(key, leg);
        self.by_invite.insert(tx, leg);
    }

    pub(super) fn cancel(&mut self, m: &Message, tx: Token, cx: &mut Context) {
        let Some(invite) = self.transactions.cancelled(m) else {
            return self.respond(tx, &m.headers, 481, &[], cx.now);
        };
        self.respond(tx, &m.headers, 200, &[], cx.now);
        // Once there is a final response the CANCEL changes nothing.
        let leg = self.by_invite.get(&invite).copied().filter(|_| self.transactions.is_owed(invite));
        if let Some((leg, Party::Caller(call))) =
            leg.and_then(|leg| Some((leg, self.legs.get(leg)?.party)))
        {
            self.final_answer(leg, 487, &[], "", cx);
            cx.engine.caller_ended(cx.now, call, cx.timers);
        }
    }

    pub(super) fn bye(&mut self, leg: Token, m: &Message, tx: Token, cx: &mut Context) {
        let Some(l) = self.legs.get_mut(leg).filter(|l| l.state != State::Over) else {
            return self.respond(tx, &m.headers, 481, &[], cx.now);
        };
        if m.cseq.cseq <= l.dialog.remote_seq && matches!(l.party, Party::Caller(_)) {
            return self.respond(tx, &m.headers, 500, &[], cx.now);
        }
        l.dialog.remote_seq = m.cseq.cseq;
        let (party, ringing) = (l.party, l.state == State::Ringing);
        self.respond(tx, &m.headers, 200, &[], cx.now);
        if ringing && matches!(party, Party::Caller(_)) {
            // A caller may end its early dialog this way; its INVITE still wants an answer.
            self.final_answer(leg, 487, &[], "", cx);
        }
        self.over(leg, cx);
        match party {
            Party::Caller(call) => cx.engine.caller_ended(cx.now, call, cx.timers),
            Party::Exchange(attempt) => {
                cx.engine.attempt_ended(cx.now, attempt, EndReason::Ended, cx.timers)
            }
        }
    }

    /// The ACK of a 2xx.
    pub(super) fn ack(&mut self, m: &Message, cx: &mut Context) {
        let tag = m.to.tag.as_ref().map_or(String::new(), |t| t.to_string());
        let Some(leg) = self.by_dialog.get(&(m.call_id.clone(), tag)).copied() else {
            return;
        };
        if let Some(l) = self.legs.get_mut(leg).filter(|l| l.state == State::Answered) {
            l.state = State::Standing;
            if l.bye_waits {
                self.say_bye(leg, cx);
            }
        }
    }

    pub(super) fn response(&mut self, m: Message, cx: &mut Context) {
        let Taken::Response(tx) = self.transactions.response(cx.now, &m, &mut self.output) else {
            return;
        };
        let Some(status) = m.status() else {
            return;
        };
        if self.options_answered(tx, status, cx) {
            return;
        }
        let Some(leg) = self.by_invite.get(&tx).copied() else {
            return;
        };
        let Some(l) = self.legs.get(leg) else {
            return;
        };
        let Party::Exchange(attempt) = l.party else {
            return;
        };
        cx.engine.record_attempt_activity(cx.now, attempt);
        match (status, l.state) {
            (100..=199, State::Over) => self.send_cancel(leg, cx.now),
            (100..=199, _) => {}
            (200..=299, State::Ringing) => {
                self.acknowledge(leg, &m, cx);
                if let Some(l) = self.legs.get_mut(leg) {
                    l.state = State::Standing;
                }
                // A description that can't be read is never passed on, not even as an empty one.
                let Some(description) = m.text().map(str::to_owned) else {
                    cx.log.line(cx.now, "sip-malformed", "an answer whose body is no text");
                    self.say_bye(leg, cx);
                    return cx.engine.attempt_ended(
                        cx.now,
                        attempt,
                        EndReason::MalformedMessage,
                        cx.timers,
                    );
                };
                if !cx.engine.answered(cx.now, attempt, None, description, cx.timers) {
                    self.say_bye(leg, cx);
                }
            }
            // The answer crossed the CANCEL: the call stands there, and is ended at once.
            (200..=299, State::Over) if l.again.is_empty() => {
                self.acknowledge(leg, &m, cx);
                self.say_bye(leg, cx);
            }
            (200..=299, _) => {
                let tag = m.to.tag.as_ref().map_or("", |t| t);
                if tag == l.dialog.remote_tag {
                    let (target, ack) = (l.dialog.target, Rc::clone(&l.again));
                    let _ = self.transport.send(target, &ack, cx);
                } else {
                    self.end_fork(leg, &m, cx);
                }
            }
            (_, State::Ringing) => {
                self.over(leg, cx);
                cx.engine.attempt_ended(cx.now, attempt, end_of(status, &m), cx.timers);
            }
            _ => {}
        }
    }

    /// Sends the ACK of a 2xx, and keeps it to be sent again for each retransmission.
    pub(super) fn acknowledge(&mut self, leg: Token, m: &Message, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg).map(|l| l.dialog.target.protocol) else {
            return;
        };
        let ((via, _), contact) = (self.via(protocol), self.contact(protocol));
        if let Some(l) = self.legs.get_mut(leg) {
            l.dialog.answered(m);
            l.again = l.dialog.request("ACK", &via, &contact).into();
            let _ = self.transport.send(l.dialog.target, &l.again, cx);
        }
    }

    /// A second exchange behind a forking proxy has answered as well: it is acknowledged and released.
    pub(super) fn end_fork(&mut self, leg: Token, m: &Message, cx: &mut Context) {
        let Some(mut dialog) = self.legs.get(leg).map(|l| l.dialog.clone()) else {
            return;
        };
        dialog.answered(m);
        let protocol = dialog.target.protocol;
        let ((via, _), contact) = (self.via(protocol), self.contact(protocol));
        let ack = dialog.request("ACK", &via, &contact);
        let _ = self.transport.send(dialog.target, &ack, cx);
        let (via, branch) = self.via(protocol);
        let bye = dialog.request("BYE", &via, &contact);
        self.transactions.request(cx.now, "BYE", &branch, bye, (dialog.target, None), &mut self.output);
    }
}

/// The number called, as the decision module knows it: hex digits by value, all else by a hash (FNV-1a).
fn dialled(called: &str) -> DialledNumber {
    let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    let by_value = u64::from_str_radix(called, 16).ok();
    DialledNumber(by_value.unwrap_or_else(|| called.bytes().fold(0xcbf2_9ce4_8422_2325, hash)))
}

/// How a refusal by an exchange ends the attempt.
fn end_of(status: u16, m: &Message) -> EndReason {
    match status {
        408 | 504 => EndReason::TimedOut,
        480 => EndReason::NoCircuit,
        486 | 600 => EndReason::NumberBusy,
        487 => EndReason::Cancelled,
        503 => {
            let told = m.headers.get_named::<RetryAfter>().ok();
            EndReason::ProcessorFull(told.map(|r| Duration::from_secs(r.value.into()).min(MOST_TOLD)))
        }
        _ => EndReason::Fault,
    }
}

impl SipConfig {
    /// The line of the number plan with the longest prefix of the number called.
    pub fn number(&self, called: &str) -> Option<&SipNumber> {
        let fits = self.numbers.iter().filter(|n| called.starts_with(&n.prefix));
        fits.max_by_key(|n| n.prefix.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an exchange that a wrong header shuts for years.
    #[test]
    fn the_wait_of_a_full_exchange_is_taken_over_within_reason() {
        let refusal = |retry_after: &str| {
            let head = "Via: SIP/2.0/UDP 127.0.0.1;branch=z9hG4bK1\r\nFrom: <sip:a@127.0.0.1>;tag=a\r\n\
                        To: <sip:b@127.0.0.1>;tag=b\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\n";
            let bytes = format!("SIP/2.0 503 Service Unavailable\r\n{head}{retry_after}\r\n");
            end_of(503, &message::parse(bytes.as_bytes()).expect("well formed"))
        };
        let full = |seconds| EndReason::ProcessorFull(Some(Duration::from_secs(seconds)));
        assert_eq!(refusal(""), EndReason::ProcessorFull(None));
        assert_eq!(refusal("Retry-After: 3 (busy);duration=9\r\n"), full(3));
        assert_eq!(refusal("Retry-After: 4000000000\r\n"), full(32));
        assert_eq!(refusal("Retry-After: soon\r\n"), EndReason::ProcessorFull(None));
    }
}
