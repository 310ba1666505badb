//! The calls of clients while one process replaces another: handing them over, adopting them, and passing on the
//! releases that only the other process can send.

use super::{ClientCall, Clients};
use crate::arena::Token;
use crate::engine::CallToken;
use crate::net::handover::{EstablishedCall, HandoverWriter, Record, UnmatchedRelease};
use crate::net::Context;
use std::net::IpAddr;

impl Clients {
    /// Starts the handover to the process that replaces this one: hands over all established calls and all
    /// releases that wait for a connection.
    pub fn begin_handover(&mut self, writer: HandoverWriter, cx: &mut Context) {
        self.handover = Some(writer);
        let established = self.calls.iter().filter(|(_, client_call)| client_call.is_established);
        let established: Vec<_> = established.map(|(call, _)| *call).collect();
        let (calls, releases) = (established.len(), self.pending_releases.len());
        for call in established {
            self.hand_over(call, cx);
        }
        for release in self.pending_releases.take_all() {
            self.keep_release(release, cx);
        }
        self.hand_over_earlier_releases(cx);
        self.write_handover(&Record::HandedOver, cx);
        cx.log.line(cx.now, "handover-started", format_args!("{calls} calls, {releases} releases"));
    }

    /// Starts to return releases without a connection to the process that this one replaces.
    pub fn begin_return(&mut self, writer: HandoverWriter) {
        self.return_writer = Some(writer);
        self.expect_calls_of_predecessor();
    }

    /// Returns a release to the process that this one replaces, if that has not ended.
    pub fn return_release(&mut self, record: &Record, cx: &mut Context) {
        if let Some(Err(e)) = self.return_writer.as_mut().map(|writer| writer.write(record)) {
            cx.log.line(cx.now, "handover-failed", e);
        }
    }

    /// Passes a release that matches no call here on to the other process, while one replaces the other. Otherwise the
    /// call may be one of an earlier process.
    pub fn pass_on_unmatched(&mut self, mut release: UnmatchedRelease, cx: &mut Context) {
        release.is_earlier_call = self.is_earlier_call(&release.tag);
        let record = Record::UnmatchedRelease(release.clone());
        self.return_release(&record, cx);
        // The call may be one of the process that replaces this one, which then knows its caller.
        if !self.write_to_successor(&record, cx) {
            self.release_earlier_call(&release.tag, release.cause, cx);
        }
    }

    /// Writes a record for the process that replaces this one, also before this one stops. Returns whether it was written.
    fn write_to_successor(&mut self, record: &Record, cx: &mut Context) -> bool {
        self.write_handover(record, cx) || self.handover.is_none() && self.share(record, cx)
    }

    /// The process that this one replaces has ended.
    pub fn end_return(&mut self) {
        if let Some(writer) = self.return_writer.take() {
            writer.remove();
        }
    }

    /// Whether the caller of a call is connected: on the connection of the call, or on another one from its host.
    pub fn is_caller_reachable(&self, call: CallToken) -> bool {
        let Some(client_call) = self.calls.get(&call) else {
            return false;
        };
        self.conns.get(client_call.conn).is_some() || self.is_caller_connected(client_call.peer)
    }

    /// Whether any caller from a host is connected.
    pub fn is_caller_connected(&self, host: IpAddr) -> bool {
        self.conns.iter().any(|(_, c)| c.is_caller && c.peer == host)
    }

    /// Whether established calls are handed over to the process that replaces this one.
    pub fn is_handing_over(&self) -> bool {
        self.handover.is_some()
    }

    /// Hands over an established call, if this process is replaced.
    pub(super) fn hand_over(&mut self, call: CallToken, cx: &mut Context) {
        let Some(client_call) = self.calls.get(&call).filter(|_| self.handover.is_some()) else {
            return;
        };
        let Some(establishment) = cx.engine.establishment(cx.now, call) else {
            return;
        };
        let record = Record::Call(EstablishedCall {
            tag: client_call.tag.clone(),
            host: client_call.peer,
            exchange: establishment.exchange,
            answered_at: establishment.answered_at,
            last_activity: establishment.last_activity,
        });
        self.write_handover(&record, cx);
    }

    /// Writes a record for the process that replaces this one, if there is one. Returns whether it was written.
    pub(super) fn write_handover(&mut self, record: &Record, cx: &mut Context) -> bool {
        let Some(written) = self.handover.as_mut().map(|writer| writer.write(record)) else {
            return false;
        };
        if let Err(e) = &written {
            cx.log.line(cx.now, "handover-failed", e);
        }
        written.is_ok()
    }

    /// Adopts a call that the previous process has handed over.
    pub fn adopt_call(&mut self, call: CallToken, tag: String, host: IpAddr, cx: &mut Context) {
        self.by_tag.insert(tag.clone(), call);
        let client_call = ClientCall {
            tag,
            conn: Token::NONE,
            peer: host,
            is_unanswered: false,
            is_established: true,
        };
        self.calls.insert(call, client_call);
        self.hand_over(call, cx);
    }

    /// The call of a caller's id.
    pub fn call_by_tag(&self, tag: &str) -> Option<CallToken> {
        self.by_tag.get(tag).copied()
    }

    /// Removes an adopted call that the previous process has ended on both sides.
    pub fn forget_call(&mut self, call: CallToken, cx: &mut Context) {
        if let Some(client_call) = self.remove_call(call, cx) {
            self.write_handover(&Record::Forget { tag: client_call.tag }, cx);
        }
    }
}
