//! The lifecycle of this process: whether it accepts new work, and how it sheds client connections.

use std::time::Duration;

/// A drained call controller leaves its clients this long to notice before it closes their idle connections.
const NOTICED_AFTER: Duration = Duration::from_millis(600);
/// And refuses set-ups after this: calls in transit go on coming, as nothing tells the other controllers.
const REFUSED_AFTER: Duration = Duration::from_millis(1800);
/// After a planned stop was asked for, connections and set-ups keep coming for this long.
const STOP_TAKES: Duration = Duration::from_millis(800);
/// The process is killed the longest deadline after a planned stop was asked for, counted as this where it is longer,
/// and 0.7 s more. These times after the deadline all answers are out, what still stands is let go, and the process
/// ends whatever has not been written.
const MOST_DEADLINE: Duration = Duration::from_secs(3);
const ANSWERED_AFTER: Duration = Duration::from_millis(300);
const LET_GO_AFTER: Duration = Duration::from_millis(400);
const END_AFTER: Duration = Duration::from_millis(550);

/// How client connections are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPolicy {
    /// They are kept.
    Keep,
    /// Each is closed once no call is on it; one that came after this time, as soon as it has its answers and there
    /// is another to tell the end of its calls on.
    Close(Duration),
    /// The same, and set-ups are refused, so that no connection stays for one that has just come.
    Refuse(Duration),
}

/// The lifecycle state: in service, draining or stopping.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    drained_at: Option<Duration>,
    stopped_at: Option<Duration>,
    /// Another process serves on the same listening socket: it takes what arrives.
    replaced: bool,
    /// The longest that a caller waits, as far as it counts here.
    deadline: Duration,
}

impl Lifecycle {
    /// In service. `deadline`: the longest that a caller waits.
    pub fn new(deadline: Duration) -> Self {
        let deadline = deadline.min(MOST_DEADLINE);
        Lifecycle { drained_at: None, stopped_at: None, replaced: false, deadline }
    }

    /// An operator has this call controller drained.
    pub fn drain(&mut self, now: Duration) {
        self.drained_at.get_or_insert(now);
    }

    /// An operator has it back at work.
    pub fn join(&mut self) {
        self.drained_at = None;
    }

    /// A planned stop was asked for; when all answers have to be out. None if one was asked for before. `replaced`:
    /// another process serves on the same listening socket.
    pub fn stop(&mut self, now: Duration, replaced: bool) -> Option<Duration> {
        let first = self.stopped_at.is_none();
        self.replaced = if first { replaced } else { self.replaced };
        self.stopped_at.get_or_insert(now);
        first.then_some(now + self.deadline + ANSWERED_AFTER)
    }

    /// Whether a planned stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.stopped_at.is_some()
    }

    /// Whether this process says that it takes new work.
    pub fn is_ready(&self) -> bool {
        self.drained_at.is_none() && !self.is_stopping()
    }

    /// Whether new connections are left to the process that replaces this one.
    pub fn yields_listener(&self) -> bool {
        self.replaced && self.is_stopping()
    }

    /// How client connections are treated at a time.
    pub fn client_policy(&self, now: Duration) -> ClientPolicy {
        match self.drained_at {
            // What stands need not be told of: whoever is left at the end takes it over.
            _ if self.yields_listener() => ClientPolicy::Close(Duration::ZERO),
            Some(at) if now >= at + REFUSED_AFTER => ClientPolicy::Refuse(at + NOTICED_AFTER),
            Some(at) if now >= at + NOTICED_AFTER => ClientPolicy::Close(at + NOTICED_AFTER),
            _ => ClientPolicy::Keep,
        }
    }

    /// When that or the end next has to be looked at again.
    pub fn next_step(&self, now: Duration) -> Option<Duration> {
        let drained = self.drained_at.map(|at| [at + NOTICED_AFTER, at + REFUSED_AFTER]);
        let deadline = self.deadline;
        let steps = [STOP_TAKES, deadline, deadline + LET_GO_AFTER, deadline + END_AFTER];
        let stopped = self.stopped_at.map(|at| steps.map(|step| at + step));
        let drained = drained.into_iter().flatten();
        drained.chain(stopped.into_iter().flatten()).filter(|at| *at > now).min()
    }

    /// After a planned stop: whether nothing new is to be expected, so that the process may end once all is settled.
    pub fn may_end(&self, now: Duration) -> bool {
        self.stopped_at.is_some_and(|at| now >= at + STOP_TAKES)
    }

    /// After a planned stop: whether dialogs are ended from this side, in time for their peers' answers.
    pub fn ends_dialogs(&self, now: Duration) -> bool {
        let wait = if self.replaced { STOP_TAKES } else { self.deadline };
        self.stopped_at.is_some_and(|at| now >= at + wait)
    }

    /// After a planned stop: whether calls that still stand are let go. Until then their ends are passed on, except
    /// where another process has taken over the clients.
    pub fn abandons_calls(&self, now: Duration) -> bool {
        let wait = if self.replaced { STOP_TAKES } else { self.deadline + LET_GO_AFTER };
        self.stopped_at.is_some_and(|at| now >= at + wait)
    }

    /// After a planned stop: whether the process ends, whatever has not been written.
    pub fn must_end(&self, now: Duration) -> bool {
        self.stopped_at.is_some_and(|at| now >= at + self.deadline + END_AFTER)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a drain that leaves clients on their connections, closes on them before they can notice, or
    /// outlives the call that ends it.
    #[test]
    fn a_drain_goes_by_steps_and_back() {
        let at = Duration::from_millis;
        let mut lifecycle = Lifecycle::new(Duration::from_secs(9));
        assert!(lifecycle.is_ready());
        lifecycle.drain(at(1000));
        lifecycle.drain(at(1500));
        assert!(!lifecycle.is_ready());
        let steps = [1300, 1700, 2900].map(|ms| lifecycle.client_policy(at(ms)));
        assert_eq!(
            steps,
            [ClientPolicy::Keep, ClientPolicy::Close(at(1600)), ClientPolicy::Refuse(at(1600))]
        );
        assert_eq!(lifecycle.next_step(at(1000)), Some(at(1600)), "the first call counts");
        lifecycle.join();
        assert!(lifecycle.is_ready());
        assert_eq!(
            (lifecycle.client_policy(at(9000)), lifecycle.next_step(at(1000))),
            (ClientPolicy::Keep, None)
        );
    }

    /// Guards against two processes that both take what arrives, one of which is about to end.
    #[test]
    fn at_a_stop_the_door_is_left_to_the_process_that_replaces_this_one() {
        let at = Duration::from_millis;
        for replaced in [true, false] {
            let mut lifecycle = Lifecycle::new(at(9000));
            assert!(
                lifecycle.stop(at(1000), replaced).is_some() && lifecycle.stop(at(2000), true).is_none()
            );
            assert_eq!(lifecycle.yields_listener(), replaced);
            assert!(
                !lifecycle.is_ready() && !lifecycle.may_end(at(1500)) && lifecycle.may_end(at(1900))
            );
            assert_eq!(lifecycle.abandons_calls(at(1900)), replaced, "the ends of calls are passed on");
            // Killed after the deadline, three seconds of it at most, and 0.7 s more.
            assert!(
                lifecycle.abandons_calls(at(4400))
                    && !lifecycle.must_end(at(4500))
                    && lifecycle.must_end(at(4600))
            );
        }
    }
}
