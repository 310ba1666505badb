//! Liveness checks of SIP exchanges that have established calls: an OPTIONS within one of their dialogs (RFC 3261,
//! section 11), if the settings allow active checks. Any final response proves that the exchange is alive; 481 means
//! that it no longer knows the dialog.

use super::{LegState, Party, Sip};
use crate::arena::Token;
use crate::end::EndReason;
use crate::engine::ConnectionRequest;
use crate::net::Context;
use slateshed::ExchangeId;

/// Status code "Call/Transaction Does Not Exist".
const CALL_DOES_NOT_EXIST: u16 = 481;

impl Sip {
    /// Carries out a request of the engine. `Abandon` needs no action here: a dialog is not bound to a connection, and
    /// the engine ends the calls at a dead exchange one by one.
    pub fn handle_connection_request(&mut self, request: ConnectionRequest, cx: &mut Context) {
        if let ConnectionRequest::Check(exchange, _) = request {
            self.check_exchange(exchange, cx);
        }
    }

    /// Checks an exchange with an OPTIONS within one of its dialogs: the one that was checked longest ago.
    fn check_exchange(&mut self, exchange: ExchangeId, cx: &mut Context) {
        let is_at_exchange = |party| match party {
            Party::Exchange(attempt) => cx.engine.attempt_exchange(attempt) == Some(exchange),
            Party::Caller(_) => false,
        };
        let confirmed_legs = self
            .legs
            .iter()
            .filter(|(_, leg)| leg.state == LegState::Confirmed && is_at_exchange(leg.party));
        let leg_token =
            confirmed_legs.min_by_key(|(_, leg)| leg.last_checked_at).map(|(token, _)| token);
        let Some(leg_token) = leg_token.filter(|_| cx.wire.may_probe) else {
            return;
        };
        let name = cx.engine.exchange_name(exchange);
        cx.log.line(cx.now, "exchange-checked", format_args!("exchange={name} by=OPTIONS"));
        cx.engine.check_started(cx.now, exchange, true);
        self.send_options(leg_token, cx);
        self.process_output(cx);
    }

    /// Sends an OPTIONS within the dialog of a leg.
    fn send_options(&mut self, leg_token: Token, cx: &mut Context) {
        let Some(protocol) = self.legs.get(leg_token).map(|leg| leg.dialog.next_hop.protocol) else {
            return;
        };
        let ((via, branch), contact) = (self.new_via(protocol), self.local_contact(protocol));
        if let Some(leg) = self.legs.get_mut(leg_token) {
            leg.last_checked_at = cx.now;
            let options = leg.dialog.request("OPTIONS", &via, &contact);
            let destination = (leg.dialog.next_hop, None);
            let transaction = self.transactions.send_request(
                cx.now,
                "OPTIONS",
                &branch,
                options,
                destination,
                &mut self.pending_output,
            );
            self.legs_by_options.insert(transaction, leg_token);
        }
    }

    /// Handles the response to an OPTIONS. Returns false if the transaction is not that of an OPTIONS.
    pub(super) fn handle_options_response(
        &mut self,
        transaction: Token,
        status: u16,
        cx: &mut Context,
    ) -> bool {
        if !self.legs_by_options.contains_key(&transaction) {
            return false;
        }
        if status < 200 {
            return true;
        }
        let leg_token = self.legs_by_options.remove(&transaction);
        let confirmed_leg = leg_token
            .filter(|token| self.legs.get(*token).is_some_and(|leg| leg.state == LegState::Confirmed));
        let Some(leg_token) = confirmed_leg else {
            return true;
        };
        let Some(Party::Exchange(attempt)) = self.legs.get(leg_token).map(|leg| leg.party) else {
            return true;
        };
        cx.engine.record_attempt_activity(cx.now, attempt);
        if status == CALL_DOES_NOT_EXIST {
            let exchange = cx.engine.attempt_exchange(attempt);
            self.terminate_leg(leg_token, cx);
            cx.engine.attempt_ended(cx.now, attempt, EndReason::ExchangeDead, cx.timers);
            // A process that does not know one of its dialogs may know none of them: the next one is checked.
            exchange.into_iter().for_each(|e| self.check_exchange(e, cx));
        }
        true
    }
}
