//! Whether SIP exchanges at which calls stand still live and know their dialogs: an OPTIONS within one of them (RFC 3261,
//! section 11), where the settings allow to ask. Any response is a sign of life; 481 says that the dialog is gone.

use super::{Party, Sip, State};
use crate::arena::Token;
use crate::end::EndReason;
use crate::engine::ConnectionRequest;
use crate::net::Context;
use slateshed::ExchangeId;

/// "Call/Transaction Does Not Exist".
const NO_SUCH_CALL: u16 = 481;

impl Sip {
    /// Carries out what the engine wants of an exchange. What has stood at one that is gone is ended call by call.
    pub fn upkeep(&mut self, upkeep: ConnectionRequest, cx: &mut Context) {
        if let ConnectionRequest::Check(exchange, _) = upkeep {
            self.check(exchange, cx);
        }
    }

    /// Asks within the dialog of an exchange that was not asked about for longest.
    fn check(&mut self, exchange: ExchangeId, cx: &mut Context) {
        let there = |party| match party {
            Party::Exchange(attempt) => cx.engine.exchange_of(attempt) == Some(exchange),
            Party::Caller(_) => false,
        };
        let standing = self.legs.iter().filter(|(_, l)| l.state == State::Standing && there(l.party));
        let leg = standing.min_by_key(|(_, l)| l.checked).map(|(token, _)| token);
        let Some(leg) = leg.filter(|_| cx.wire.may_probe) else {
            return;
        };
        let name = cx.engine.name(exchange);
        cx.log.line(cx.now, "exchange-checked", format_args!("exchange={name} by=OPTIONS"));
        cx.engine.check_started(cx.now, exchange, true);
        self.send_options(leg, cx);
        self.send_all(cx);
    }

    fn send_options(&mut self, leg: Token, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg).map(|l| l.dialog.target.protocol) else {
            return;
        };
        let ((via, branch), contact) = (self.via(protocol), self.contact(protocol));
        if let Some(l) = self.legs.get_mut(leg) {
            l.checked = cx.now;
            let options = l.dialog.request("OPTIONS", &via, &contact);
            let to = (l.dialog.target, None);
            let tx =
                self.transactions.request(cx.now, "OPTIONS", &branch, options, to, &mut self.output);
            self.by_options.insert(tx, leg);
        }
    }

    /// The response to an OPTIONS; false where the transaction is of something else.
    pub(super) fn options_answered(&mut self, tx: Token, status: u16, cx: &mut Context) -> bool {
        if !self.by_options.contains_key(&tx) {
            return false;
        }
        if status < 200 {
            return true;
        }
        let leg = self.by_options.remove(&tx);
        let standing = leg.filter(|l| self.legs.get(*l).is_some_and(|l| l.state == State::Standing));
        let Some(leg) = standing else {
            return true;
        };
        let Some(Party::Exchange(attempt)) = self.legs.get(leg).map(|l| l.party) else {
            return true;
        };
        cx.engine.record_attempt_activity(cx.now, attempt);
        if status == NO_SUCH_CALL {
            let exchange = cx.engine.exchange_of(attempt);
            self.over(leg, cx);
            cx.engine.attempt_ended(cx.now, attempt, EndReason::ExchangeDead, cx.timers);
            // A process that does not know one of its dialogs may know none of them.
            exchange.into_iter().for_each(|e| self.check(e, cx));
        }
        true
    }
}
