//! What the engine wants of the SIP front: set-ups, answers and ends of calls, each on the leg that it is for.

use super::dialog::Dialog;
use super::message;
use super::{Leg, Party, Sip, SipDue, State, ALLOW};
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
    pub fn command(&mut self, command: Command, number: Option<ExchangeNumber>, cx: &mut Context) {
        match command {
            Command::SetUp { attempt, info, wait, .. } => self.set_up(attempt, &info, wait, number, cx),
            Command::CancelAttempt(attempt) => {
                if let Some(leg) = self.by_attempt.get(&attempt).copied() {
                    self.over(leg, cx);
                    self.send_cancel(leg, cx.now);
                }
            }
            Command::ReleaseExchange(attempt, _) | Command::ForgetAttempt(attempt) => {
                if let Some(leg) = self.by_attempt.get(&attempt).copied() {
                    self.say_bye(leg, cx);
                }
            }
            Command::Answer(call, description) => {
                if let Some(leg) = self.by_call.get(&call).copied() {
                    self.answer(leg, &description, cx);
                }
            }
            Command::Refuse(call, stay) => {
                // Whole seconds are all that Retry-After has; rounded up, so that nobody is back early.
                let seconds = stay.map(|s| s.as_millis().div_ceil(1000).to_string());
                let more: Vec<_> = seconds.iter().map(|s| ("Retry-After", s.as_str())).collect();
                if let Some(leg) = self.by_call.get(&call).copied() {
                    self.final_answer(leg, 503, &more, "", cx);
                }
            }
            Command::Fail(call) => {
                if let Some(leg) = self.by_call.get(&call).copied() {
                    self.final_answer(leg, 500, &[], "", cx);
                }
            }
            Command::ReleaseCaller(call, _) => {
                if let Some(leg) = self.by_call.get(&call).copied() {
                    match self.legs.get_mut(leg) {
                        // BYE may not overtake the ACK (RFC 3261, section 15).
                        Some(l) if l.state == State::Answered => l.bye_waits = true,
                        _ => self.say_bye(leg, cx),
                    }
                }
            }
        }
        self.send_all(cx);
    }

    pub(super) fn set_up(
        &mut self,
        attempt: AttemptToken,
        info: &CallInfo,
        wait: Duration,
        number: Option<ExchangeNumber>,
        cx: &mut Context,
    ) {
        let Some(target) = number.and_then(|n| self.config.exchanges.get(&n).copied()) else {
            return cx.engine.attempt_ended(cx.now, attempt, EndReason::NotSent, cx.timers);
        };
        let (via, branch) = self.via(target.protocol);
        let (tag, call_id, own) = (self.unique(), self.unique(), self.own(target.protocol));
        let contact = self.contact(target.protocol);
        let uri = format!("sip:{}@{}", info.key, target.addr);
        let dialog = Dialog {
            call_id: format!("{call_id}@{own}"),
            local: format!("<sip:{own}>;tag={tag}"),
            local_tag: tag.clone(),
            remote_tag: String::new(),
            remote: format!("<{uri}>"),
            remote_target: uri.clone(),
            routes: Vec::new(),
            local_seq: 1,
            remote_seq: 0,
            target,
        };
        let seconds = wait.as_millis().div_ceil(1000).max(1).to_string();
        let headers = [
            ("Via", via.as_str()),
            ("Max-Forwards", "70"),
            ("From", &dialog.local),
            ("To", &dialog.remote),
            ("Call-ID", &dialog.call_id),
            ("CSeq", "1 INVITE"),
            ("Contact", &contact),
            ("Allow", ALLOW),
            ("Expires", &seconds),
            ("X-Class", &info.class),
        ];
        let bytes = message::request("INVITE", &uri, &headers, &info.description);
        let sent = Rc::new(dialog.sent(&uri, &via));
        let to = (target, Some(Rc::clone(&sent)));
        let tx = self.transactions.request(cx.now, "INVITE", &branch, bytes, to, &mut self.output);
        cx.engine.count_forwards(1);
        let key = (dialog.call_id.clone(), tag);
        let leg = self.legs.insert(Leg {
            party: Party::Exchange(attempt),
            state: State::Ringing,
            dialog,
            invite: tx,
            headers: Headers::new(),
            sent: Some(sent),
            cancelled: false,
            again: Rc::from([]),
            interval: self.config.times.t1,
            since: cx.now,
            checked: cx.now,
            bye_waits: false,
        });
        self.by_attempt.insert(attempt, leg);
        self.by_dialog.insert(key, leg);
        self.by_invite.insert(tx, leg);
    }

    /// Cancels the INVITE of a leg; not before a provisional response (RFC 3261, section 9.1).
    pub(super) fn send_cancel(&mut self, leg: Token, now: Duration) {
        let Some(l) = self.legs.get_mut(leg) else {
            return;
        };
        self.transactions.hush(l.invite);
        let Some(sent) =
            l.sent.clone().filter(|_| !l.cancelled && self.transactions.is_proceeding(l.invite))
        else {
            return;
        };
        l.cancelled = true;
        let branch = sent.via.rsplit_once("branch=").map_or("", |(_, b)| b);
        let (bytes, to) = (sent.follow_up("CANCEL", &sent.to), (l.dialog.target, None));
        self.transactions.request(now, "CANCEL", branch, bytes, to, &mut self.output);
    }

    /// The final answer of a caller's leg that does not stand.
    pub(super) fn final_answer(
        &mut self,
        leg: Token,
        status: u16,
        more: &[(&str, &str)],
        body: &str,
        cx: &mut Context,
    ) {
        if let Some(l) = self.legs.get(leg) {
            let bytes = message::response(&l.headers, status, &l.dialog.local_tag, more, body);
            self.transactions.respond(cx.now, l.invite, status, bytes, &mut self.output);
            self.over(leg, cx);
        }
    }

    /// The call stands: a 2xx, sent again until its ACK comes.
    pub(super) fn answer(&mut self, leg: Token, description: &str, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg).map(|l| l.dialog.target.protocol) else {
            return;
        };
        let contact = self.contact(protocol);
        if let Some(l) = self.legs.get_mut(leg) {
            let more = [("Contact", contact.as_str()), ("Allow", ALLOW)];
            let bytes = message::response(&l.headers, 200, &l.dialog.local_tag, &more, description);
            l.again = Rc::from(bytes.as_slice());
            l.state = State::Answered;
            l.since = cx.now;
            cx.timers.schedule(cx.now + l.interval, TimerEvent::Sip(SipDue::AnswerAgain(leg)));
            self.transactions.respond(cx.now, l.invite, 200, bytes, &mut self.output);
        }
    }

    pub(super) fn answer_again(&mut self, leg: Token, cx: &mut Context) {
        let times = self.config.times;
        let Some(l) = self.legs.get_mut(leg).filter(|l| l.state == State::Answered) else {
            return;
        };
        if cx.now >= l.since + times.transaction() {
            // Nobody has acknowledged: the call is ended on both sides (section 13.3.1.4).
            let party = l.party;
            self.say_bye(leg, cx);
            if let Party::Caller(call) = party {
                cx.log.line(cx.now, "sip-no-ack", "an answered call was never acknowledged");
                cx.engine.caller_ended(cx.now, call, cx.timers);
            }
            return;
        }
        l.interval = (l.interval * 2).min(times.t2);
        cx.timers.schedule(cx.now + l.interval, TimerEvent::Sip(SipDue::AnswerAgain(leg)));
        let (target, bytes) = (l.dialog.target, Rc::clone(&l.again));
        let _ = self.transport.send(target, &bytes, cx);
    }

    /// Ends a dialog from this side.
    pub(super) fn say_bye(&mut self, leg: Token, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg).map(|l| l.dialog.target.protocol) else {
            return;
        };
        let ((via, branch), contact) = (self.via(protocol), self.contact(protocol));
        if let Some(l) = self.legs.get_mut(leg) {
            let bye = l.dialog.request("BYE", &via, &contact);
            let to = (l.dialog.target, None);
            self.transactions.request(cx.now, "BYE", &branch, bye, to, &mut self.output);
        }
        self.over(leg, cx);
    }

    /// A leg is over. It is known for as long as something may still come for it.
    pub(super) fn over(&mut self, leg: Token, cx: &mut Context) {
        let Some(l) = self.legs.get_mut(leg) else {
            return;
        };
        match l.party {
            Party::Caller(call) => drop(self.by_call.remove(&call)),
            Party::Exchange(attempt) => drop(self.by_attempt.remove(&attempt)),
        }
        if l.state != State::Over {
            l.state = State::Over;
            l.since = cx.now;
            let until = cx.now + self.config.times.transaction() + self.config.times.t4;
            cx.timers.schedule(until, TimerEvent::Sip(SipDue::Forget(leg)));
        }
    }

    pub(super) fn forget(&mut self, leg: Token) {
        if let Some(l) = self.legs.remove(leg) {
            self.by_dialog.remove(&(l.dialog.call_id, l.dialog.local_tag));
            self.by_invite.remove(&l.invite);
            // An INVITE that was cancelled and never answered waits for nothing any more.
            self.transactions.terminate(l.invite);
        }
    }
}
