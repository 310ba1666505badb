//! Whether this process takes new work, and how it gets rid of the connections that bring it.

use std::time::Duration;

/// A drained call controller leaves its clients this long to notice before it closes their idle connections.
const NOTICED_AFTER: Duration = Duration::from_millis(600);
/// And refuses set-ups after this, on connections that have not fallen idle by then.
const REFUSED_AFTER: Duration = Duration::from_millis(1800);
/// After a planned stop was asked for, connections and set-ups keep coming for this long.
const STOP_TAKES: Duration = Duration::from_millis(800);
/// All answers are out by then: well before the process may be killed.
const STOP_BY: Duration = Duration::from_millis(3300);

/// What becomes of the clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clients {
    /// They stay.
    Stay,
    /// Each is closed once no call is on it; one that came after this time, as soon as it has its answers and there
    /// is another to tell the end of its calls on.
    Close(Duration),
    /// The same, and set-ups are refused on those from before that time. What comes on a new connection is meant for
    /// this controller and no other, as a call in transit is.
    Refuse(Duration),
}

/// The state of duty.
#[derive(Clone, Copy, Debug, Default)]
pub struct Duty {
    drained_at: Option<Duration>,
    stopped_at: Option<Duration>,
    /// The listening socket is the platform's: another process takes what arrives.
    replaced: bool,
}

impl Duty {
    /// On duty. `inherited`: the clients' listening socket is held by the platform.
    pub fn new(inherited: bool) -> Self {
        Duty { replaced: inherited, ..Duty::default() }
    }

    /// An operator has this call controller drained.
    pub fn drain(&mut self, now: Duration) {
        self.drained_at.get_or_insert(now);
    }

    /// An operator has it back at work.
    pub fn join(&mut self) {
        self.drained_at = None;
    }

    /// A planned stop was asked for; when all answers have to be out. None if one was asked for before.
    pub fn stop(&mut self, now: Duration) -> Option<Duration> {
        let first = self.stopped_at.is_none();
        self.stopped_at.get_or_insert(now);
        first.then_some(now + STOP_BY)
    }

    /// Whether a planned stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.stopped_at.is_some()
    }

    /// Whether this process says that it takes new work.
    pub fn is_ready(&self) -> bool {
        self.drained_at.is_none() && !self.is_stopping()
    }

    /// Whether it leaves new connections to the process that replaces it.
    pub fn leaves_door(&self) -> bool {
        self.replaced && self.is_stopping()
    }

    /// What becomes of the clients' connections at a time.
    pub fn clients(&self, now: Duration) -> Clients {
        match self.drained_at {
            // What stands need not be told of: whoever is left at the end takes it over.
            _ if self.leaves_door() => Clients::Close(Duration::ZERO),
            Some(at) if now >= at + REFUSED_AFTER => Clients::Refuse(at + NOTICED_AFTER),
            Some(at) if now >= at + NOTICED_AFTER => Clients::Close(at + NOTICED_AFTER),
            _ => Clients::Stay,
        }
    }

    /// When that or the end next has to be looked at again.
    pub fn next(&self, now: Duration) -> Option<Duration> {
        let drained = self.drained_at.map(|at| [at + NOTICED_AFTER, at + REFUSED_AFTER]);
        let stopped = self.stopped_at.map(|at| [at + STOP_TAKES, at + STOP_BY + STOP_TAKES]);
        drained.into_iter().chain(stopped).flatten().filter(|at| *at > now).min()
    }

    /// After a planned stop: whether nothing new is to be expected, so that the process may end once all is settled.
    pub fn may_end(&self, now: Duration) -> bool {
        self.stopped_at.is_some_and(|at| now >= at + STOP_TAKES)
    }

    /// After a planned stop: whether the process ends, whatever has not been written.
    pub fn must_end(&self, now: Duration) -> bool {
        self.stopped_at.is_some_and(|at| now >= at + STOP_BY + STOP_TAKES)
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
        let mut duty = Duty::new(false);
        assert!(duty.is_ready());
        duty.drain(at(1000));
        duty.drain(at(1500));
        assert!(!duty.is_ready());
        let steps = [1300, 1700, 2900].map(|ms| duty.clients(at(ms)));
        assert_eq!(steps, [Clients::Stay, Clients::Close(at(1600)), Clients::Refuse(at(1600))]);
        assert_eq!(duty.next(at(1000)), Some(at(1600)), "the first call counts");
        duty.join();
        assert!(duty.is_ready());
        assert_eq!((duty.clients(at(9000)), duty.next(at(1000))), (Clients::Stay, None));
    }

    /// Guards against two processes that both take what arrives, one of which is about to end.
    #[test]
    fn at_a_stop_the_door_is_left_to_the_process_that_replaces_this_one() {
        let at = Duration::from_millis;
        for inherited in [true, false] {
            let mut duty = Duty::new(inherited);
            assert!(duty.stop(at(1000)).is_some() && duty.stop(at(2000)).is_none());
            assert_eq!(duty.leaves_door(), inherited);
            assert!(!duty.is_ready() && !duty.may_end(at(1500)) && duty.may_end(at(1900)));
        }
    }
}
