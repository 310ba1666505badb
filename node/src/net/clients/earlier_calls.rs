//! Releases of calls that an earlier process of this controller has established. That process has ended without
//! handing them over, so only the exchange knows them: it sends a release under an id that was never seen here. The
//! caller is unknown as well, so the release is sent once to each host that callers connect from.

use super::{Clients, Release};
use crate::arena::Token;
use crate::engine::ReleaseCause;
use crate::net::handover::{self, Record};
use crate::net::sip::LineCaller;
use crate::net::Context;
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::net::IpAddr;
use std::time::Duration;

/// Maximum number of releases that are kept for callers that connect later.
const MAX_KEPT_RELEASES: usize = 1024;
/// Time for which a release is sent to the hosts of callers that connect. It is shorter than for a known caller, since
/// each further host is sent an id that is most likely not its own.
const EARLIER_RELEASE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of hosts that one release is sent to.
const MAX_HOSTS: usize = 64;

/// Tells the calls of an earlier process from those of this one, and keeps their releases.
pub(super) struct EarlierCalls {
    /// The ids of all set-ups that this process has received, and of calls that their callers have ended. An exchange repeats the releases of these calls, too.
    own_ids: HashSet<u64>,
    max_own_ids: usize,
    /// Whether so many ids were recorded that no more are. The calls of an earlier process can't be told from those of
    /// this one then; they have ended long before.
    is_full: bool,
    /// Whether the previous process hands its calls over, so that only it can tell that a call is of an earlier one.
    is_predecessor_known: bool,
    releases: VecDeque<EarlierRelease>,
}

/// A release of a call that an earlier process has established.
struct EarlierRelease {
    tag: String,
    cause: ReleaseCause,
    /// Until then, it is sent to the hosts of callers that connect.
    expires_at: Duration,
    /// The hosts that it was sent to.
    informed_hosts: BTreeSet<IpAddr>,
}

/// The number that a valid id stands for.
fn id_number(tag: &str) -> Option<u64> {
    u64::from_str_radix(tag, 16).ok()
}

impl EarlierCalls {
    /// Creates the state of a process that has received no set-up yet.
    pub(super) fn new(max_own_ids: usize) -> Self {
        EarlierCalls {
            own_ids: HashSet::new(),
            max_own_ids,
            is_full: false,
            is_predecessor_known: false,
            releases: VecDeque::new(),
        }
    }

    /// Records an id. Returns whether it is new, which is not known once there are too many.
    fn record(&mut self, tag: &str) -> bool {
        let is_new = !self.is_full && id_number(tag).is_some_and(|id| self.own_ids.insert(id));
        if self.own_ids.len() >= self.max_own_ids {
            self.own_ids = HashSet::new();
            self.is_full = true;
        }
        is_new
    }

    /// Whether an id that no call has can only be that of a call of an earlier process.
    fn is_earlier_call(&self, tag: &str) -> bool {
        let is_new = id_number(tag).is_some_and(|id| !self.own_ids.contains(&id));
        is_new && !self.is_full && !self.is_predecessor_known
    }

    /// Adds a release, unless the call is one of this process or its release was received before. Returns whether it was
    /// added.
    fn add(
        &mut self,
        tag: &str,
        cause: ReleaseCause,
        informed_hosts: BTreeSet<IpAddr>,
        now: Duration,
    ) -> bool {
        if !self.record(tag) {
            return false;
        }
        self.releases.push_back(EarlierRelease {
            tag: tag.to_owned(),
            cause,
            expires_at: now + EARLIER_RELEASE_TIMEOUT,
            informed_hosts,
        });
        true
    }

    /// Returns the releases that were not sent to a host yet, and records that they are sent now.
    fn take_for_host(&mut self, host: IpAddr, now: Duration) -> Vec<Release> {
        let mut releases = Vec::new();
        for release in self.releases.iter_mut().filter(|r| r.expires_at > now) {
            if release.informed_hosts.len() < MAX_HOSTS && release.informed_hosts.insert(host) {
                releases.push(Release {
                    tag: release.tag.clone(),
                    host,
                    cause: release.cause,
                    expires_at: release.expires_at,
                });
            }
        }
        releases
    }

    /// Removes the next release that is over, and returns its id and, if a caller may not have been told, why it was given
    /// up.
    fn pop_finished(&mut self, now: Duration) -> Option<(String, Option<&'static str>)> {
        let is_full = self.releases.len() > MAX_KEPT_RELEASES;
        let first = self.releases.front().filter(|r| is_full || r.expires_at <= now)?;
        let why = match (is_full, first.informed_hosts.len()) {
            (true, _) => Some("too many calls of unknown callers"),
            (false, 0) => Some("no caller has connected"),
            (false, MAX_HOSTS..) => Some("too many hosts"),
            _ => None,
        };
        self.releases.pop_front().map(|release| (release.tag, why))
    }
}

impl Clients {
    /// Records the id of a set-up, or of a call that its caller has ended.
    pub(super) fn record_own_id(&mut self, tag: &str) {
        self.earlier_calls.record(tag);
    }

    /// Records that the previous process is known and hands its calls over.
    pub(super) fn expect_calls_of_predecessor(&mut self) {
        self.earlier_calls.is_predecessor_known = true;
    }

    /// Records that the previous process has ended without handing its calls over.
    pub fn expect_calls_of_unknown_processes(&mut self) {
        self.earlier_calls.is_predecessor_known = false;
    }

    /// Whether an id that no call has can only be that of a call of an earlier process.
    pub(super) fn is_earlier_call(&self, tag: &str) -> bool {
        self.earlier_calls.is_earlier_call(tag)
    }

    /// Handles a release under an id that no call has: if an earlier process has established the call, its caller is
    /// told.
    pub fn release_earlier_call(&mut self, tag: &str, cause: ReleaseCause, cx: &mut Context) {
        if self.is_earlier_call(tag) {
            self.add_earlier_release(tag, cause, BTreeSet::new(), cx);
        }
    }

    /// Handles the end of a call that an earlier process has established, and whose caller is known.
    pub fn release_earlier_call_of(
        &mut self,
        caller: LineCaller,
        cause: ReleaseCause,
        cx: &mut Context,
    ) {
        let Some(host) = caller.host else {
            return self.release_earlier_call(&caller.id, cause, cx);
        };
        if !self.is_earlier_call(&caller.id) {
            return;
        }
        self.record_own_id(&caller.id);
        self.release_stats.earlier += 1;
        let text = format_args!("call={} caller={host}", caller.id);
        cx.log.line(cx.now, "earlier-call-released", text);
        self.forward_release(handover::Release { tag: caller.id, host, cause }, cx);
    }

    /// Sends the release of a call of an earlier process to the hosts that callers connect from, and have not been
    /// informed yet.
    pub fn add_earlier_release(
        &mut self,
        tag: &str,
        cause: ReleaseCause,
        informed_hosts: BTreeSet<IpAddr>,
        cx: &mut Context,
    ) {
        if !self.earlier_calls.add(tag, cause, informed_hosts, cx.now) {
            return;
        }
        self.release_stats.earlier += 1;
        cx.log.line(cx.now, "earlier-call-released", format_args!("call={tag}"));
        let hosts: BTreeSet<_> = self.conns.iter().map(|(_, client)| client.peer).collect();
        for host in hosts {
            if let Some(token) = self.release_connection_to_host(host) {
                self.send_earlier_releases(token, host, cx);
            }
        }
    }

    /// Gives up the releases of earlier calls whose time is over.
    pub(super) fn discard_finished_earlier_releases(&mut self, cx: &mut Context) {
        while let Some((tag, why)) = self.earlier_calls.pop_finished(cx.now) {
            if let Some(why) = why {
                self.discard_release(&tag, why, cx);
            }
        }
    }

    /// Hands the releases over that callers who connect later are to be sent.
    pub(super) fn hand_over_earlier_releases(&mut self, cx: &mut Context) {
        for release in std::mem::take(&mut self.earlier_calls.releases) {
            let record = Record::EarlierRelease(handover::EarlierRelease {
                tag: release.tag,
                cause: release.cause,
                informed_hosts: release.informed_hosts,
            });
            self.write_handover(&record, cx);
        }
    }

    /// Sends the releases of earlier calls on a connection, if they were not sent to its host before.
    pub(super) fn send_earlier_releases(&mut self, token: Token, host: IpAddr, cx: &mut Context) {
        for release in self.earlier_calls.take_for_host(host, cx.now) {
            self.redirect_release(token, release, cx);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a release that is sent to the same host twice, or to a caller that connects long afterwards.
    #[test]
    fn a_release_is_sent_to_each_host_once_until_it_expires() {
        let (now, hosts) =
            (Duration::from_secs(1), [IpAddr::from([127, 0, 0, 2]), [127, 0, 0, 3].into()]);
        let mut calls = EarlierCalls::new(8);
        assert!(calls.add("9b1f03aa5c7e2d41", ReleaseCause::Normal, BTreeSet::new(), now));
        assert!(
            !calls.add("9b1f03aa5c7e2d41", ReleaseCause::Normal, BTreeSet::new(), now),
            "a repeated release"
        );
        assert!(!calls.add("not an id", ReleaseCause::Normal, BTreeSet::new(), now));
        assert_eq!(calls.take_for_host(hosts[0], now).len(), 1);
        assert_eq!(calls.take_for_host(hosts[0], now).len(), 0);
        assert_eq!(calls.take_for_host(hosts[1], now + EARLIER_RELEASE_TIMEOUT).len(), 0);
    }

    /// Guards against releases that vanish when too many ids are recorded, and against calls of this process that are taken
    /// for earlier ones from then on.
    #[test]
    fn releases_are_kept_when_no_more_ids_are_recorded() {
        let (now, host) = (Duration::from_secs(1), IpAddr::from([127, 0, 0, 2]));
        let mut calls = EarlierCalls::new(2);
        assert!(calls.is_earlier_call("a"));
        assert!(calls.add("a", ReleaseCause::Normal, BTreeSet::new(), now));
        assert!(calls.record("b"));
        assert!(
            !calls.is_earlier_call("c") && !calls.add("c", ReleaseCause::Normal, BTreeSet::new(), now)
        );
        assert_eq!(calls.take_for_host(host, now).len(), 1);
    }

    /// Guards against a release that is given up without a reason in the log, or kept beyond its time or the limit.
    #[test]
    fn release_is_given_up_at_its_time_or_beyond_the_limit() {
        let (now, host) = (Duration::from_secs(1), IpAddr::from([127, 0, 0, 2]));
        let mut calls = EarlierCalls::new(MAX_KEPT_RELEASES + 8);
        let add = |calls: &mut EarlierCalls, n: usize| {
            assert!(calls.add(&format!("{n:016x}"), ReleaseCause::Normal, BTreeSet::new(), now));
        };
        (0..MAX_KEPT_RELEASES).for_each(|n| add(&mut calls, n));
        assert_eq!(calls.pop_finished(now), None);
        add(&mut calls, MAX_KEPT_RELEASES);
        let given_up = calls.pop_finished(now).and_then(|(tag, why)| why.map(|_| tag));
        assert_eq!(given_up, Some(format!("{:016x}", 0)));
        assert_eq!(calls.pop_finished(now), None);
        calls.releases.truncate(1);
        assert_eq!(calls.take_for_host(host, now).len(), 1);
        let later = now + EARLIER_RELEASE_TIMEOUT;
        assert_eq!(calls.pop_finished(later), Some((format!("{:016x}", 1), None)), "a host was told");
        add(&mut calls, MAX_KEPT_RELEASES + 1);
        let not_told = calls.pop_finished(later).and_then(|(_, why)| why);
        assert_eq!(not_told, Some("no caller has connected"));
    }
}
