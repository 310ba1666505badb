//! The timer queue of the daemon.

use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a scheduled timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey(Duration, u64);

/// Timers ordered by their due time. Most timers are not cancelled: the owner of a timer ignores it if its token
/// is no longer valid when it is due.
#[derive(Debug)]
pub struct TimerQueue<T> {
    /// The timers by due time and by the order of scheduling.
    timers: BTreeMap<TimerKey, T>,
    next_number: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { timers: BTreeMap::new(), next_number: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Schedules a timer for the time `at`.
    pub fn schedule(&mut self, at: Duration, timer: T) {
        self.schedule_cancellable(at, timer);
    }

    /// Schedules a timer for the time `at` that can be cancelled.
    pub fn schedule_cancellable(&mut self, at: Duration, timer: T) -> TimerKey {
        let key = TimerKey(at, self.next_number);
        self.timers.insert(key, timer);
        self.next_number += 1;
        key
    }

    /// Cancels a timer, unless it was due already.
    pub fn cancel(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }

    /// The due time of the next timer.
    pub fn next_due(&self) -> Option<Duration> {
        self.timers.keys().next().map(|key| key.0)
    }

    /// Removes the next timer that is due at `now`: the earliest first, and equally early ones in the order
    /// of scheduling.
    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        let first = self.timers.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a timer that fires early or out of order.
    #[test]
    fn timers_are_due_in_order_and_never_early() {
        let ms = Duration::from_millis;
        let mut queue = TimerQueue::default();
        queue.schedule(ms(30), 'c');
        queue.schedule(ms(10), 'a');
        queue.schedule(ms(10), 'b');
        assert_eq!((queue.next_due(), queue.pop_due(ms(9))), (Some(ms(10)), None));
        assert_eq!(
            [queue.pop_due(ms(20)), queue.pop_due(ms(20)), queue.pop_due(ms(20))],
            [Some('a'), Some('b'), None]
        );
        assert_eq!(queue.pop_due(ms(30)), Some('c'));
    }
}
