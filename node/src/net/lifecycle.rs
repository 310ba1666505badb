//! The lifecycle of this process: whether it accepts new calls, and how it closes client connections while
//! draining or stopping.

use std::time::Duration;

/// Delay between the start of a drain and the closing of idle client connections: the clients have this time
/// to notice the drain through their health checks.
const DRAIN_CLOSE_DELAY: Duration = Duration::from_millis(600);
/// Delay between the start of a drain and the refusal of set-ups. The refusal is needed because calls in
/// transit keep arriving: the other controllers are not notified of a drain.
const DRAIN_REFUSE_DELAY: Duration = Duration::from_millis(1800);
/// Time for which connections and set-ups keep arriving after a graceful shutdown is requested. The process
/// does not exit earlier.
const MIN_STOP_TIME: Duration = Duration::from_millis(800);
/// The longest deadline of any class counts as at most this in a graceful shutdown. The platform kills the
/// process at the time of the stop request plus this deadline plus 0.7 s. The three delays below also start
/// when this deadline has passed since the stop request.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// When all calls must have been answered.
const STOP_ANSWER_DELAY: Duration = Duration::from_millis(300);
/// When established calls are abandoned.
const STOP_ABANDON_DELAY: Duration = Duration::from_millis(400);
/// When the process exits, even with unwritten data.
const STOP_EXIT_DELAY: Duration = Duration::from_millis(550);

/// How client connections are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPolicy {
    /// Connections are kept.
    Keep,
    /// Each connection is closed once it has no calls. A connection accepted at or after this time is closed
    /// once it has been sent its answers, if an older connection can carry the releases of its calls. A set-up
    /// on a connection that is kept open only for established calls is refused. If the time is zero, no
    /// connection is kept for established calls.
    Close(Duration),
    /// The same, and all set-ups are refused, so that no new call keeps a connection open.
    Refuse(Duration),
}

/// The lifecycle state: in service, draining or stopping.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    draining_since: Option<Duration>,
    stopping_since: Option<Duration>,
    /// Whether another process accepts the new connections on the same listening socket.
    replaced: bool,
    /// The longest deadline of any class, limited to [`MAX_DEADLINE`].
    deadline: Duration,
}

impl Lifecycle {
    /// Creates the state in service. `deadline`: the longest deadline of any class.
    pub fn new(deadline: Duration) -> Self {
        let deadline = deadline.min(MAX_DEADLINE);
        Lifecycle { draining_since: None, stopping_since: None, replaced: false, deadline }
    }

    /// Starts a drain at an operator's request.
    pub fn drain(&mut self, now: Duration) {
        self.draining_since.get_or_insert(now);
    }

    /// Ends a drain at an operator's request.
    pub fn join(&mut self) {
        self.draining_since = None;
    }

    /// Starts a graceful shutdown and returns the time by which all calls must be answered, or `None` if it was
    /// requested before. `replaced`: another process serves on the same listening socket.
    pub fn begin_shutdown(&mut self, now: Duration, replaced: bool) -> Option<Duration> {
        let first = self.stopping_since.is_none();
        self.replaced = if first { replaced } else { self.replaced };
        self.stopping_since.get_or_insert(now);
        first.then_some(now + self.deadline + STOP_ANSWER_DELAY)
    }

    /// Whether a graceful shutdown was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// Whether this process reports that it accepts new calls, in its answers to ECHO and OPTIONS.
    pub fn is_ready(&self) -> bool {
        self.draining_since.is_none() && !self.is_stopping()
    }

    /// Whether new connections are left to the process that replaces this one.
    pub fn yields_listener(&self) -> bool {
        self.replaced && self.is_stopping()
    }

    /// Whether a graceful shutdown was requested and no other process takes over the calls.
    pub fn stops_without_successor(&self) -> bool {
        self.is_stopping() && !self.replaced
    }

    /// How client connections are treated at the time `now`.
    pub fn client_policy(&self, now: Duration) -> ClientPolicy {
        match self.draining_since {
            // No connection is kept for the releases of established calls: the process that remains takes
            // these calls over.
            _ if self.yields_listener() => ClientPolicy::Close(Duration::ZERO),
            Some(at) if now >= at + DRAIN_REFUSE_DELAY => ClientPolicy::Refuse(at + DRAIN_CLOSE_DELAY),
            Some(at) if now >= at + DRAIN_CLOSE_DELAY => ClientPolicy::Close(at + DRAIN_CLOSE_DELAY),
            _ => ClientPolicy::Keep,
        }
    }

    /// The next time after `now` at which the drain or the stop reaches another step.
    pub fn next_step(&self, now: Duration) -> Option<Duration> {
        let drain_steps =
            self.draining_since.map(|at| [at + DRAIN_CLOSE_DELAY, at + DRAIN_REFUSE_DELAY]);
        let deadline = self.deadline;
        let steps = [MIN_STOP_TIME, deadline, deadline + STOP_ABANDON_DELAY, deadline + STOP_EXIT_DELAY];
        let stop_steps = self.stopping_since.map(|at| steps.map(|step| at + step));
        let drain_steps = drain_steps.into_iter().flatten();
        drain_steps.chain(stop_steps.into_iter().flatten()).filter(|at| *at > now).min()
    }

    /// During a graceful shutdown: whether no more connections and set-ups are expected, so that the process
    /// may exit once all calls are finished and all data is written.
    pub fn may_end(&self, now: Duration) -> bool {
        self.stopping_since.is_some_and(|at| now >= at + MIN_STOP_TIME)
    }

    /// During a graceful shutdown: whether this side ends the SIP dialogs, early enough to receive the peers'
    /// responses.
    pub fn ends_dialogs(&self, now: Duration) -> bool {
        let wait = if self.replaced { MIN_STOP_TIME } else { self.deadline };
        self.stopping_since.is_some_and(|at| now >= at + wait)
    }

    /// During a graceful shutdown: whether established calls are abandoned. Until then their releases are
    /// forwarded, unless another process has taken over the clients.
    pub fn abandons_calls(&self, now: Duration) -> bool {
        let wait = if self.replaced { MIN_STOP_TIME } else { self.deadline + STOP_ABANDON_DELAY };
        self.stopping_since.is_some_and(|at| now >= at + wait)
    }

    /// During a graceful shutdown: whether the process exits at once, even with unwritten data.
    pub fn must_end(&self, now: Duration) -> bool {
        self.stopping_since.is_some_and(|at| now >= at + self.deadline + STOP_EXIT_DELAY)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a drain that keeps client connections open, closes them before the clients can notice
    /// the drain, or continues after `join`.
    #[test]
    fn a_drain_closes_then_refuses_and_ends_with_a_join() {
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
        assert_eq!(
            lifecycle.next_step(at(1000)),
            Some(at(1600)),
            "only the first drain request sets the start time"
        );
        lifecycle.join();
        assert!(lifecycle.is_ready());
        assert_eq!(
            (lifecycle.client_policy(at(9000)), lifecycle.next_step(at(1000))),
            (ClientPolicy::Keep, None)
        );
    }

    /// Guards against a takeover after which both processes accept new connections, although one is about to
    /// exit.
    #[test]
    fn a_stop_yields_the_listener_only_to_a_replacing_process() {
        let at = Duration::from_millis;
        for replaced in [true, false] {
            let mut lifecycle = Lifecycle::new(at(9000));
            assert!(
                lifecycle.begin_shutdown(at(1000), replaced).is_some()
                    && lifecycle.begin_shutdown(at(2000), true).is_none()
            );
            assert_eq!(lifecycle.yields_listener(), replaced);
            assert!(
                !lifecycle.is_ready() && !lifecycle.may_end(at(1500)) && lifecycle.may_end(at(1900))
            );
            assert_eq!(
                lifecycle.abandons_calls(at(1900)),
                replaced,
                "without a replacing process, releases are still forwarded"
            );
            // The platform kills the process 0.7 s after the deadline, which counts as three seconds at most.
            assert!(
                lifecycle.abandons_calls(at(4400))
                    && !lifecycle.must_end(at(4500))
                    && lifecycle.must_end(at(4600))
            );
        }
    }
}
