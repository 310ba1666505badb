//! The timer queue of the program.

use std::collections::BTreeMap;
use std::time::Duration;

/// Timers ordered by their due time. Timers are never cancelled: the owner of a timer recognises by its
/// token that it has become stale.
#[derive(Debug)]
pub struct TimerQueue<T> {
    due: BTreeMap<(Duration, u64), T>,
    next: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { due: BTreeMap::new(), next: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Schedules a timer.
    pub fn schedule(&mut self, at: Duration, what: T) {
        self.due.insert((at, self.next), what);
        self.next += 1;
    }

    /// The due time of the next timer.
    pub fn next_due(&self) -> Option<Duration> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    /// Removes the next timer that is due at `now`: the earliest first, and equal ones in the order of scheduling.
    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        let first = self.due.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_fall_due_in_order_and_never_early() {
        let ms = Duration::from_millis;
        let mut d = TimerQueue::default();
        d.schedule(ms(30), 'c');
        d.schedule(ms(10), 'a');
        d.schedule(ms(10), 'b');
        assert_eq!((d.next_due(), d.pop_due(ms(9))), (Some(ms(10)), None));
        assert_eq!(
            [d.pop_due(ms(20)), d.pop_due(ms(20)), d.pop_due(ms(20))],
            [Some('a'), Some('b'), None]
        );
        assert_eq!(d.pop_due(ms(30)), Some('c'));
    }
}
