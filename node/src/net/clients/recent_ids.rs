//! Ids of calls that have ended recently. A caller gives each set-up a new id, so one that comes again is the same call:
//! it may only be set up again once its last attempt can no longer occupy circuits.

use super::{Clients, Release};
use crate::net::handover::{HandoverWriter, Record};
use crate::net::Context;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Added to the release delay, since a cancellation and a new set-up reach the exchange on different connections.
const CONNECTION_DELAY_MARGIN: Duration = Duration::from_millis(50);

/// The ids, each with the time until which it is not set up again.
pub(super) struct RecentIds {
    until_by_id: HashMap<String, Duration>,
    /// The same in the order of insertion.
    order: VecDeque<(Duration, String)>,
    max_ids: usize,
}

impl RecentIds {
    /// Creates an empty table for at most `max_ids` ids.
    pub(super) fn new(max_ids: usize) -> Self {
        RecentIds { until_by_id: HashMap::new(), order: VecDeque::new(), max_ids }
    }

    /// Records an id.
    pub(super) fn insert(&mut self, tag: String, until: Duration, now: Duration) {
        self.remove_expired(now);
        if self.until_by_id.insert(tag.clone(), until).is_none_or(|before| before < until) {
            self.order.push_back((until, tag));
        }
    }

    /// Removes the ids that have expired, and the oldest ones beyond the limit.
    fn remove_expired(&mut self, now: Duration) {
        while let Some((until, tag)) = self.order.front() {
            if *until > now && self.order.len() < self.max_ids {
                return;
            }
            if self.until_by_id.get(tag) == Some(until) {
                self.until_by_id.remove(tag);
            }
            self.order.pop_front();
        }
    }

    /// How long an id must not be set up again; `None` if it may be.
    pub(super) fn time_left(&self, tag: &str, now: Duration) -> Option<Duration> {
        self.until_by_id.get(tag)?.checked_sub(now).filter(|left| !left.is_zero())
    }
}

impl Clients {
    /// Records the id of a call that has ended, also for the process that replaces this one.
    pub(super) fn record_recent_id(&mut self, tag: &str, cx: &mut Context) {
        let until = cx.now + cx.engine.release_delay() + CONNECTION_DELAY_MARGIN;
        self.recent_ids.insert(tag.to_owned(), until, cx.now);
        let record = Record::RecentId { tag: tag.to_owned(), until };
        self.share(&record, cx);
    }

    /// Starts to share the ids of calls that end, and the releases that wait, with the process that replaces this one.
    pub fn begin_sharing(&mut self, writer: HandoverWriter, cx: &mut Context) {
        self.shared_records = Some(writer);
        let recent: Vec<_> = self.recent_ids.order.iter().cloned().collect();
        for (until, tag) in recent {
            self.share(&Record::RecentId { tag, until }, cx);
        }
        let releases: Vec<_> = self.pending_releases.iter().map(Release::record).collect();
        for record in releases {
            self.share(&record, cx);
        }
    }

    /// Shares nothing more, as the process that was to replace this one has ended.
    pub fn end_sharing(&mut self) {
        if let Some(writer) = self.shared_records.take() {
            writer.remove();
        }
    }

    /// Writes a record for the process that replaces this one. Returns whether it was written.
    pub(super) fn share(&mut self, record: &Record, cx: &mut Context) -> bool {
        let Some(written) = self.shared_records.as_mut().map(|writer| writer.write(record)) else {
            return false;
        };
        if let Err(e) = &written {
            cx.log.line(cx.now, "handover-failed", e);
        }
        written.is_ok()
    }

    /// Records the id of a call that has ended in the process that this one replaces.
    pub fn add_recent_id(&mut self, tag: String, until: Duration, now: Duration) {
        self.recent_ids.insert(tag, until, now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against ids that are forgotten too early, or kept without a limit.
    #[test]
    fn ids_are_kept_until_their_time_and_up_to_the_limit() {
        let ms = Duration::from_millis;
        let mut ids = RecentIds::new(3);
        ids.insert("a".to_owned(), ms(500), ms(0));
        ids.insert("a".to_owned(), ms(800), ms(300));
        ids.insert("b".to_owned(), ms(900), ms(600));
        assert_eq!((ids.time_left("a", ms(600)), ids.time_left("a", ms(800))), (Some(ms(200)), None));
        for (n, tag) in ["c", "d", "e", "f"].into_iter().enumerate() {
            ids.insert(tag.to_owned(), ms(1000 + n as u64), ms(700));
        }
        assert!(ids.order.len() <= 3 && ids.until_by_id.len() <= 3);
        assert!(ids.time_left("f", ms(900)).is_some());
    }
}
