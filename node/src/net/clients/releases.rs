//! Releases of established calls towards their callers: which connection each is sent on, and those that wait for
//! a connection.

use super::{
    encode_message, Client, Clients, Release, CAUSE_DROPPED, CAUSE_ENDED, PENDING_RELEASE_TIMEOUT,
};
use crate::arena::Token;
use crate::engine::ReleaseCause;
use crate::net::handover::{self, Record};
use crate::net::Context;
use std::net::IpAddr;

/// Maximum number of lines about redirected releases in one rate limit interval of the log.
const MAX_REDIRECTED_LINES: u32 = 200;

/// Counts of the releases towards callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReleaseStats {
    /// Releases that wait for a connection now.
    pub pending: usize,
    /// Releases that were sent on another connection than the one of their call.
    pub redirected: u64,
    /// Releases that were given up before they could be sent.
    pub discarded: u64,
    /// Releases of calls that an earlier process has established.
    pub earlier: u64,
}

impl Release {
    /// The record that passes the release on to another process.
    pub(super) fn record(&self) -> Record {
        Record::Release(handover::Release { tag: self.tag.clone(), host: self.host, cause: self.cause })
    }
}

impl Clients {
    /// Counts of the releases towards callers.
    pub fn release_stats(&self) -> ReleaseStats {
        ReleaseStats { pending: self.pending_releases.len(), ..self.release_stats }
    }

    /// Sends all releases that wait for a connection from a host: those of its calls, and those of calls whose callers
    /// are not known.
    pub(super) fn send_waiting_releases(&mut self, token: Token, host: IpAddr, cx: &mut Context) {
        self.send_pending_releases(token, host, cx);
        self.send_earlier_releases(token, host, cx);
    }

    /// Sends the releases that wait for a connection from a host.
    fn send_pending_releases(&mut self, token: Token, host: IpAddr, cx: &mut Context) {
        self.discard_expired_releases(cx);
        for release in self.pending_releases.take_for_host(host) {
            self.redirect_release(token, release, cx);
        }
    }

    /// Gives up the releases whose callers have not connected in time.
    pub(super) fn discard_expired_releases(&mut self, cx: &mut Context) {
        while let Some(release) = self.pending_releases.pop_expired(cx.now) {
            self.discard_release(&release.tag, "its caller has not connected", cx);
        }
        self.discard_finished_earlier_releases(cx);
    }

    /// Sends a release that the previous process could not send to its caller.
    pub fn forward_release(&mut self, release: handover::Release, cx: &mut Context) {
        let release = Release {
            tag: release.tag,
            host: release.host,
            cause: release.cause,
            expires_at: cx.now + PENDING_RELEASE_TIMEOUT,
        };
        self.send_to_caller(Token::NONE, release, cx);
    }

    /// Sends a release on the connection of its call, or on another one if that is closed. Without any, it is kept.
    /// Returns whether it was sent.
    pub(super) fn send_to_caller(&mut self, own: Token, release: Release, cx: &mut Context) -> bool {
        match self.select_release_connection(own, release.host) {
            Some(token) if token == own => self.send_release(token, release, cx),
            Some(token) => self.redirect_release(token, release, cx),
            None => {
                self.keep_release(release, cx);
                return false;
            }
        }
        true
    }

    /// Sends a release on another connection than the one of its call.
    pub(super) fn redirect_release(&mut self, token: Token, release: Release, cx: &mut Context) {
        if let Some(client) = self.conns.get(token) {
            let (tag, host, peer) = (&release.tag, release.host, client.peer);
            let text = format_args!("call={tag} caller={host} to={peer}");
            cx.log.line_limited(cx.now, "release-redirected", MAX_REDIRECTED_LINES, text);
            self.release_stats.redirected += 1;
        }
        self.send_release(token, release, cx);
    }

    /// Selects the connection for a release: the connection of the call, or else one from the host of its caller. A
    /// process that is replaced uses only connections of callers: all others can connect to the new process.
    fn select_release_connection(&self, own: Token, host: IpAddr) -> Option<Token> {
        if self.conns.get(own).is_some() {
            return Some(own);
        }
        let token = self.release_connection_to_host(host)?;
        let is_caller = self.conns.get(token).is_some_and(|c| c.is_caller);
        Some(token).filter(|_| is_caller || !self.is_handing_over())
    }

    /// Selects the connection for a release to a host: one that is not a health check, if there is any. Callers come
    /// first, of these the ones that have confirmed a release, and among equals the most recently active one.
    pub(super) fn release_connection_to_host(&self, host: IpAddr) -> Option<Token> {
        let of_host = self.conns.iter().filter(|(_, c)| c.peer == host && !c.is_health_check());
        let rank = |c: &Client| (c.is_caller, c.confirms_releases, c.last_active_at);
        of_host.max_by_key(|(_, c)| rank(c)).map(|(token, _)| token)
    }

    /// Sends the releases again that were sent on a connection before it turned out to be a health check.
    pub(super) fn resend_releases_of_health_check(&mut self, token: Token, cx: &mut Context) {
        let Some(client) = self.conns.get_mut(token).filter(|c| c.is_health_check()) else {
            return;
        };
        let releases: Vec<_> = client.unconfirmed_releases.take_all().collect();
        for release in releases {
            self.send_to_caller(Token::NONE, release, cx);
        }
    }

    /// Sends a release on a connection. If that has closed, the release is kept.
    fn send_release(&mut self, token: Token, release: Release, cx: &mut Context) {
        let Some(client) = self.conns.get_mut(token) else {
            return self.keep_release(release, cx);
        };
        let rc = if release.cause == ReleaseCause::Normal { CAUSE_ENDED } else { CAUSE_DROPPED };
        let bytes = encode_message("FINISH", &release.tag, &[], Some(rc), None);
        let progress = client.progress(cx.now);
        let end_offset = client.conn.bytes_queued() + bytes.len() as u64;
        let given_up = client.unconfirmed_releases.push(release, end_offset, progress);
        if let Some(release) = given_up {
            self.discard_release(&release.tag, "too many are not confirmed", cx);
        }
        self.send(token, &bytes);
    }

    /// Counts and logs a release that is given up.
    pub(super) fn discard_release(&mut self, tag: &str, why: &str, cx: &mut Context) {
        self.release_stats.discarded += 1;
        cx.log.line(cx.now, "release-discarded", format_args!("call={tag} why=\"{why}\""));
    }

    /// Passes a release on to the process that replaces this one, or queues it for the next connection.
    pub(super) fn keep_release(&mut self, release: Release, cx: &mut Context) {
        let record = release.record();
        if self.write_handover(&record, cx) {
            return;
        }
        // The caller may be connected to the other process, if one replaces the other.
        self.share(&record, cx);
        self.return_release(&record, cx);
        let why = "no connection of its caller";
        cx.log.line(cx.now, "release-kept", format_args!("call={} why=\"{why}\"", release.tag));
        if let Some(given_up) = self.pending_releases.push(release) {
            self.discard_release(&given_up.tag, "too many wait for their callers", cx);
        }
    }
}
