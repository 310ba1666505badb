//! Releases that wait for a connection from the host of their caller.

use super::Release;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Duration;

/// Orders releases by the time at which they expire, then by arrival.
type Key = (Duration, u64);

/// The releases, by expiry and by host. One host can't use up the limit: beyond it, the release that expires first is given
/// up of the host with the most.
pub(super) struct PendingReleases {
    releases: BTreeMap<Key, Release>,
    by_host: HashMap<IpAddr, BTreeSet<Key>>,
    next_sequence_number: u64,
    max_releases: usize,
}

impl PendingReleases {
    /// Creates an empty table for at most `max_releases` releases.
    pub(super) fn new(max_releases: usize) -> Self {
        PendingReleases {
            releases: BTreeMap::new(),
            by_host: HashMap::new(),
            next_sequence_number: 0,
            max_releases,
        }
    }

    /// Number of releases.
    pub(super) fn len(&self) -> usize {
        self.releases.len()
    }

    /// Adds a release. Returns the one that is given up if there are too many.
    pub(super) fn push(&mut self, release: Release) -> Option<Release> {
        let key = (release.expires_at, self.next_sequence_number);
        self.next_sequence_number += 1;
        self.by_host.entry(release.host).or_default().insert(key);
        self.releases.insert(key, release);
        if self.releases.len() <= self.max_releases {
            return None;
        }
        let largest = self.by_host.values().max_by_key(|keys| keys.len())?;
        let first = *largest.first()?;
        self.remove(first)
    }

    /// Removes the next release that has expired.
    pub(super) fn pop_expired(&mut self, now: Duration) -> Option<Release> {
        let first = *self.releases.first_key_value().filter(|(key, _)| key.0 <= now)?.0;
        self.remove(first)
    }

    /// Takes the releases of a host, those that expire first at the front.
    pub(super) fn take_for_host(&mut self, host: IpAddr) -> Vec<Release> {
        let keys = self.by_host.remove(&host).unwrap_or_default();
        keys.iter().filter_map(|key| self.releases.remove(key)).collect()
    }

    /// All releases.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Release> {
        self.releases.values()
    }

    /// Takes all releases.
    pub(super) fn take_all(&mut self) -> Vec<Release> {
        self.by_host.clear();
        std::mem::take(&mut self.releases).into_values().collect()
    }

    fn remove(&mut self, key: Key) -> Option<Release> {
        let release = self.releases.remove(&key)?;
        if let Some(keys) = self.by_host.get_mut(&release.host) {
            keys.remove(&key);
            if keys.is_empty() {
                self.by_host.remove(&release.host);
            }
        }
        Some(release)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::ReleaseCause;

    const HOSTS: [[u8; 4]; 2] = [[127, 0, 0, 2], [127, 0, 0, 3]];

    fn release(host: [u8; 4], tag: &str, expires_at_secs: u64) -> Release {
        Release {
            tag: tag.to_owned(),
            host: host.into(),
            cause: ReleaseCause::Normal,
            expires_at: Duration::from_secs(expires_at_secs),
        }
    }

    fn tags(releases: &[Release]) -> Vec<&str> {
        releases.iter().map(|r| r.tag.as_str()).collect()
    }

    /// Guards against a host whose releases crowd out those of another host, and against a table without a limit.
    #[test]
    fn release_beyond_the_limit_is_given_up_of_the_host_with_the_most() {
        let mut pending = PendingReleases::new(3);
        for (host, tag) in [(1, "other"), (0, "a"), (0, "b")] {
            assert!(pending.push(release(HOSTS[host], tag, 30)).is_none());
        }
        let given_up = pending.push(release(HOSTS[0], "c", 30));
        assert_eq!(given_up.map(|r| r.tag), Some("a".to_owned()));
        assert_eq!(tags(&pending.take_for_host(HOSTS[1].into())), ["other"]);
        assert_eq!(tags(&pending.take_for_host(HOSTS[0].into())), ["b", "c"]);
        assert_eq!(pending.len(), 0);
    }

    /// Guards against a release that is kept after its time, or given up before it.
    #[test]
    fn release_is_removed_when_it_expires() {
        let mut pending = PendingReleases::new(3);
        pending.push(release(HOSTS[0], "late", 9));
        pending.push(release(HOSTS[1], "early", 5));
        assert!(pending.pop_expired(Duration::from_secs(4)).is_none());
        let expired = pending.pop_expired(Duration::from_secs(5));
        assert_eq!(expired.map(|r| r.tag), Some("early".to_owned()));
        assert!(pending.pop_expired(Duration::from_secs(5)).is_none());
        assert_eq!(tags(&pending.take_all()), ["late"]);
        assert!(pending.take_for_host(HOSTS[0].into()).is_empty());
    }
}
