//! Releases that were sent on a connection and that its client has not confirmed. They may be lost with the connection.

use super::{Release, UNCONFIRMED_RELEASE_TIMEOUT};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of unconfirmed releases that are recorded for one connection.
const MAX_UNCONFIRMED_RELEASES: usize = 4096;

/// A release that was sent.
struct SentRelease {
    sent_at: Duration,
    /// The offset in the stream at which it ends.
    end_offset: u64,
    release: Release,
}

/// How far the stream of a connection has got.
#[derive(Clone, Copy)]
pub(super) struct Progress {
    /// The current time.
    pub(super) now: Duration,
    /// The offset in the stream up to which it is written to the socket.
    pub(super) written: u64,
    /// Whether the client has sent a message, so that it reads what it is sent.
    pub(super) is_identified: bool,
}

/// The unconfirmed releases of one connection, in the order of sending.
#[derive(Default)]
pub(super) struct UnconfirmedReleases {
    sent: VecDeque<SentRelease>,
}

impl UnconfirmedReleases {
    /// Records a release that ends at an offset of the stream, and forgets those that have been delivered. Returns the
    /// oldest one if there are too many.
    pub(super) fn push(
        &mut self,
        release: Release,
        end_offset: u64,
        progress: Progress,
    ) -> Option<Release> {
        self.sent.retain(|sent| !sent.is_delivered(progress));
        self.sent.push_back(SentRelease { sent_at: progress.now, end_offset, release });
        let is_full = self.sent.len() > MAX_UNCONFIRMED_RELEASES;
        is_full.then(|| self.sent.pop_front()).flatten().map(|sent| sent.release)
    }

    /// Removes the release that the client confirms. Returns whether there is one.
    pub(super) fn confirm(&mut self, tag: &str) -> bool {
        let before = self.sent.len();
        self.sent.retain(|sent| sent.release.tag != tag);
        self.sent.len() < before
    }

    /// Whether a release may still be in flight.
    pub(super) fn is_any_in_flight(&self, now: Duration) -> bool {
        self.sent.iter().any(|sent| sent.sent_at + UNCONFIRMED_RELEASE_TIMEOUT > now)
    }

    /// Takes all releases.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = Release> {
        std::mem::take(&mut self.sent).into_iter().map(|sent| sent.release)
    }

    /// Takes the releases that are lost if the connection ends now.
    pub(super) fn take_undelivered(&mut self, progress: Progress) -> Vec<Release> {
        self.sent.retain(|sent| !sent.is_delivered(progress));
        self.take_all().collect()
    }
}

impl SentRelease {
    /// Whether the client has had the time to read the release. A client that has not sent a message yet may never read.
    fn is_delivered(&self, progress: Progress) -> bool {
        let is_old = self.sent_at + UNCONFIRMED_RELEASE_TIMEOUT <= progress.now;
        is_old && progress.is_identified && progress.written >= self.end_offset
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::ReleaseCause;

    fn release(tag: &str) -> Release {
        let host = [127, 0, 0, 2].into();
        Release {
            tag: tag.to_owned(),
            host,
            cause: ReleaseCause::Normal,
            expires_at: Duration::from_secs(30),
        }
    }

    /// The releases that are lost with a connection two seconds after they were sent. One ends at offset 10 of the stream,
    /// the other one at 20.
    fn lost(written: u64, is_identified: bool) -> usize {
        let mut releases = UnconfirmedReleases::default();
        let progress = |now| Progress { now, written, is_identified };
        assert!(releases.push(release("a"), 10, progress(Duration::ZERO)).is_none());
        assert!(releases.push(release("b"), 20, progress(Duration::ZERO)).is_none());
        releases.take_undelivered(progress(Duration::from_secs(2))).len()
    }

    /// Guards against a release that counts as delivered because of its age, although it was never written, or was
    /// written to a client that has sent nothing.
    #[test]
    fn release_that_was_not_written_or_not_read_is_lost_with_its_connection() {
        assert_eq!(lost(20, true), 0);
        assert_eq!(lost(10, true), 1, "the second one was not written");
        assert_eq!(lost(20, false), 2, "the client has not sent a message");
    }

    /// Guards against releases that are recorded without a limit.
    #[test]
    fn oldest_release_is_given_up_beyond_the_limit() {
        let mut releases = UnconfirmedReleases::default();
        let progress = Progress { now: Duration::ZERO, written: 0, is_identified: true };
        for n in 0..MAX_UNCONFIRMED_RELEASES {
            assert!(releases.push(release(&n.to_string()), 0, progress).is_none());
        }
        let given_up = releases.push(release("new"), 0, progress);
        assert_eq!(given_up.map(|r| r.tag), Some("0".to_owned()));
    }
}
