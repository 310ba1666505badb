//! Whether the process at an exchange still lives, from what passes anyway. Nothing is asked of the exchange for it.
//!
//! A sign of life is something that only a living process brings about: bytes on a connection, or a connection closed
//! in good order. It proves the process at the other end of that connection, and no other. A new process may serve at
//! the same address, so connections are told apart by [`Incarnation`]: one that comes up while there is reason to doubt
//! the process before begins a new incarnation, until an older connection shows that both lead to the same process.
//! Where the reason is weak, both are assumed to be the same until something speaks against it.
//!
//! What stands at an incarnation without a sign of life for [`DEAD_AFTER`] is lost, where something speaks against its
//! life as well: dials that failed, set-ups without an answer, checks without a result, or a newer incarnation.

use crate::end::EndReason;
use std::collections::BTreeSet;
use std::time::Duration;

/// What stands at a process without a sign of life for this long is over. The rules leave 8 s from its end, which may
/// have come right after the last sign; the rest is for the way to the caller and a loop that is late.
pub const DEAD_AFTER: Duration = Duration::from_millis(7200);
/// A process is checked this long after the first call stood there, silent or not, to learn its [`Habit`] while it is
/// sure to live.
const CHECK_AFTER_AT_FIRST: Duration = Duration::from_millis(500);
/// A process at which calls stand is checked when it has been silent for this long: a dial that fails, and another, fit
/// into an outage of three seconds then.
const CHECK_AFTER: Duration = Duration::from_secs(2);
/// A check without a sign of life within this time has failed, and another may begin.
const CHECK_TAKES: Duration = Duration::from_secs(1);
/// Adverse observations in a row from which on a new connection is not taken for one to the same process: one dial in
/// fifty never comes up, and an answer may be lost.
const DOUBTED_FROM: u32 = 2;
/// Where dials failed and no connection in use is known to be dead, whoever comes back within this time of the last sign of
/// life is taken for the same process: it stalled or was cut off for a while, and a process takes longer to be replaced.
const STALLS_FOR: Duration = Duration::from_millis(4750);
/// Incarnations kept in mind; beyond it the two oldest count as one.
const MOST_INCARNATIONS: usize = 16;

/// One process at an exchange, as far as connections tell processes apart. Later ones are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u32);

/// One observation which indicates that the process has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureSign {
    /// A dial was refused or did not come up in time.
    DialFailed,
    /// So many set-ups were given up with nothing heard since they were sent, on a connection to this incarnation that had
    /// been in use.
    Unanswered(u32, Incarnation),
    /// The same on a connection that had rested: the exchange may have forgotten it.
    UnansweredAtRest(u32),
    /// One connection was reset while others were left.
    Reset,
    /// All connections to an incarnation were reset at once, and not for being idle: a process that dies does that.
    AllReset(Incarnation),
    /// A connection to an incarnation that had been in use has missed what others have brought.
    MissedReports(Incarnation),
    /// The same of one that had rested: the exchange may have forgotten it, unless it could not be reached meanwhile.
    MissedReportsAtRest(Incarnation),
    /// A check brought no sign of life.
    CheckFailed,
}

impl FailureSign {
    /// The failure sign that the end of a dial amounts to, if any. What this side ended or had no socket for
    /// shows nothing, and one that was reset while new shows that somebody is there.
    pub fn from_dial(end: EndReason) -> Option<Self> {
        matches!(end, EndReason::ConnectionRefused | EndReason::DialTimedOut)
            .then_some(FailureSign::DialFailed)
    }

    fn weight(self) -> u32 {
        match self {
            FailureSign::Reset | FailureSign::MissedReports(_) | FailureSign::MissedReportsAtRest(_) => {
                0
            }
            FailureSign::DialFailed | FailureSign::CheckFailed => 1,
            FailureSign::Unanswered(set_ups, _) | FailureSign::UnansweredAtRest(set_ups) => set_ups,
            FailureSign::AllReset(_) => DOUBTED_FROM,
        }
    }

    /// Whether it shows that the exchange could not be reached for a while. All else may come of single connections, as
    /// exchanges close, reset or forget those that rest.
    fn is_interruption(self) -> bool {
        match self {
            FailureSign::DialFailed | FailureSign::CheckFailed => true,
            FailureSign::AllReset(_) | FailureSign::Unanswered(..) => true,
            FailureSign::Reset | FailureSign::UnansweredAtRest(_) => false,
            FailureSign::MissedReports(_) | FailureSign::MissedReportsAtRest(_) => false,
        }
    }

    /// The incarnation whose own connections it speaks of.
    fn incarnation(self) -> Option<Incarnation> {
        match self {
            FailureSign::Unanswered(_, i) | FailureSign::AllReset(i) | FailureSign::MissedReports(i) => {
                Some(i)
            }
            FailureSign::DialFailed | FailureSign::CheckFailed => None,
            FailureSign::Reset | FailureSign::UnansweredAtRest(_) => None,
            FailureSign::MissedReportsAtRest(i) => Some(i),
        }
    }
}

/// What an exchange does with a connection that is closed on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Habit {
    /// Not known yet.
    #[default]
    Unknown,
    /// It closes it in return: where it does not, it is not there.
    Closes,
    /// It keeps it open for longer than a check takes.
    Keeps,
}

/// Connections that are known to lead to one process.
#[derive(Clone, Copy, Debug)]
struct Group {
    /// The first incarnation in it; the group ends where the next begins.
    first: Incarnation,
    /// When its first connection came up.
    began: Duration,
    /// The last sign of life on its own connections.
    proven: Duration,
    /// It is assumed to be the same process as the group before.
    is_assumed_same: bool,
    /// The exchange could not be reached for a while since the last sign of life on its own connections.
    is_interrupted: bool,
}

/// What a review of an exchange comes to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Review {
    /// Incarnations that are considered dead, by the first of each group; their calls are lost.
    pub dead: Vec<Incarnation>,
    /// The incarnation to be checked now.
    pub check: Option<Incarnation>,
    /// When to look again.
    pub next: Duration,
}

/// What is known of the processes at one exchange.
#[derive(Debug, Default)]
pub struct Liveness {
    /// Oldest first.
    groups: Vec<Group>,
    /// The incarnation that the next doubtful connection begins.
    next: u32,
    /// Weight of adverse observations since the newest process last gave a sign of life, and whether there was any.
    adverse: u32,
    is_suspect: bool,
    /// Among these: a connection in use was dead.
    has_dead_connection: bool,
    /// When calls stood there first.
    first_review: Option<Duration>,
    /// When a check was last asked for, and since when one is under way.
    asked: Option<Duration>,
    checking: Option<Duration>,
    /// The connection that is closed for it had been in use, so that the exchange can't have forgotten it.
    is_conclusive: bool,
    /// It says something first on each new connection.
    greets: bool,
    habit: Habit,
}

impl Liveness {
    fn index(&self, incarnation: Incarnation) -> Option<usize> {
        self.groups.iter().rposition(|g| g.first <= incarnation)
    }

    /// The first incarnation of the group that one belongs to; those of one group are the same process.
    pub fn group(&self, incarnation: Incarnation) -> Incarnation {
        self.index(incarnation).map_or(incarnation, |i| self.groups[i].first)
    }

    /// Whether newer connections than those of an incarnation may lead to another process.
    pub fn has_newer(&self, incarnation: Incarnation) -> bool {
        self.index(incarnation).is_none_or(|i| i + 1 < self.groups.len())
    }

    /// Whether a process is suspected to have failed.
    pub fn is_suspected(&self, incarnation: Incarnation) -> bool {
        let newer = self.index(incarnation).map_or(&self.groups[..], |i| &self.groups[i + 1..]);
        self.adverse > 0 || newer.iter().any(|g| !g.is_assumed_same)
    }

    /// Whether it is known to close a connection in response to a close from this side.
    pub fn closes_in_response(&self) -> bool {
        self.habit == Habit::Closes
    }

    /// The incarnation of the newest process, which is taken to live where nothing is known of any.
    pub fn newest(&mut self, now: Duration) -> Incarnation {
        match self.groups.last() {
            Some(group) => group.first,
            None => self.begin(now, false),
        }
    }

    /// Since when there has been no sign of life of a process.
    pub fn silent_for(&self, now: Duration, incarnation: Incarnation) -> Duration {
        now.saturating_sub(self.index(incarnation).map_or(Duration::ZERO, |i| self.proven(i)))
    }

    /// The last sign of life of a process: on its own connections, or on those assumed to lead there.
    fn proven(&self, index: usize) -> Duration {
        let assumed = self.groups[index + 1..].iter().take_while(|g| g.is_assumed_same);
        assumed.fold(self.groups[index].proven, |proven, g| proven.max(g.proven))
    }

    fn begin(&mut self, now: Duration, is_assumed_same: bool) -> Incarnation {
        let first = Incarnation(self.next);
        self.next = self.next.saturating_add(1);
        // That it came up proves nothing where there is doubt: the system accepts connections for a process that hangs.
        let proven = self.groups.len().checked_sub(1).map_or(now, |last| self.proven(last));
        self.groups.push(Group { first, began: now, proven, is_assumed_same, is_interrupted: false });
        if self.groups.len() > MOST_INCARNATIONS {
            self.groups.remove(1);
        }
        if !is_assumed_same {
            self.clear_adverse();
        }
        first
    }

    /// A connection has come up; the incarnation that it leads to.
    pub fn connected(&mut self, now: Duration) -> Incarnation {
        let Some(newest) = self.groups.last().copied() else {
            return self.begin(now, false);
        };
        let is_checked = self.checking.is_some_and(|since| newest.began.max(newest.proven) < since);
        let closes = self.habit == Habit::Closes;
        let is_stall = !self.has_dead_connection && now < self.last_proven() + STALLS_FOR;
        let is_suspected = self.adverse >= DOUBTED_FROM && !is_stall;
        let is_told_apart = newest.is_interrupted && (closes || is_suspected);
        if is_told_apart || is_checked && self.is_conclusive && closes {
            return self.begin(now, false);
        }
        if (self.is_suspect || is_checked) && !newest.is_assumed_same {
            let incarnation = self.begin(now, true);
            return self.came_up(now, incarnation, is_stall);
        }
        self.came_up(now, newest.first, is_stall)
    }

    /// That a connection comes up is a sign of life where nothing speaks against it, or failed dials alone; but not of
    /// whoever speaks first on each, and has not done so yet.
    fn came_up(&mut self, now: Duration, incarnation: Incarnation, is_stall: bool) -> Incarnation {
        if !self.greets && (!self.is_suspect || is_stall) {
            self.record_activity(now, incarnation);
        }
        incarnation
    }

    /// A sign of life on a connection of an incarnation: connections that came up since lead to the same process.
    pub fn record_activity(&mut self, now: Duration, incarnation: Incarnation) {
        let Some(index) = self.index(incarnation) else {
            return;
        };
        self.groups.truncate(index + 1);
        self.groups[index].proven = now;
        self.groups[index].is_interrupted = false;
        self.clear_adverse();
    }

    fn clear_adverse(&mut self) {
        (self.adverse, self.is_suspect, self.has_dead_connection) = (0, false, false);
    }

    /// The last sign of life of the newest process.
    fn last_proven(&self) -> Duration {
        self.groups.len().checked_sub(1).map_or(Duration::ZERO, |last| self.proven(last))
    }

    /// The peer has closed a connection in good order; `in_response`: this side had closed it before.
    pub fn peer_closed(&mut self, now: Duration, incarnation: Incarnation, in_response: bool) {
        if in_response {
            self.habit = Habit::Closes;
        }
        self.record_activity(now, incarnation);
    }

    /// The peer sent data first on a new connection.
    pub fn peer_spoke_first(&mut self) {
        self.greets = true;
    }

    /// Records a sign that the process has failed.
    pub fn record_failure_sign(&mut self, observation: FailureSign) {
        if observation.is_interruption() {
            self.groups.iter_mut().for_each(|g| g.is_interrupted = true);
        }
        let index = observation.incarnation().and_then(|i| self.index(i));
        let is_at_rest = matches!(observation, FailureSign::MissedReportsAtRest(_));
        match index.filter(|i| i + 1 < self.groups.len()) {
            Some(index) if is_at_rest && !self.groups[index].is_interrupted => {}
            Some(index) => self.tell_apart(index),
            None if is_at_rest => {}
            None => {
                self.adverse = self.adverse.saturating_add(observation.weight());
                self.is_suspect = true;
                self.has_dead_connection |= observation.incarnation().is_some();
            }
        }
    }

    /// The connections of a group are dead while newer ones live: these lead elsewhere.
    fn tell_apart(&mut self, index: usize) {
        self.groups[index + 1].is_assumed_same = false;
    }

    /// Looks at the processes at which calls stand, by the groups of their incarnations.
    pub fn review(&mut self, now: Duration, with_calls: &BTreeSet<Incarnation>) -> Review {
        self.first_review.get_or_insert(now);
        self.settle_check(now, with_calls);
        let there: Vec<_> =
            (0..self.groups.len()).filter(|i| with_calls.contains(&self.groups[*i].first)).collect();
        let is_lost =
            |i: &usize| now >= self.proven(*i) + DEAD_AFTER && self.is_suspected(self.groups[*i].first);
        let (dead, live): (Vec<_>, Vec<_>) = there.into_iter().partition(is_lost);
        let dead = dead.into_iter().map(|i| self.groups[i].first).collect();
        // What is assumed of a process is looked into as well: its own signs of life count here.
        let oldest = live.iter().copied().min_by_key(|i| self.groups[*i].proven);
        let check = oldest.filter(|i| now >= self.next_check(now, *i));
        if check.is_some() {
            self.asked = Some(now);
        }
        let next = self.next_review(now, oldest, &live);
        Review { dead, check: check.map(|i| self.groups[i].first), next }
    }

    /// A check that was asked for has begun. Without one that could begin, silence proves nothing.
    /// `is_conclusive`: the connection that is closed for it had been in use.
    pub fn check_started(&mut self, now: Duration, is_conclusive: bool) {
        self.checking = Some(now);
        self.is_conclusive = is_conclusive;
    }

    /// When a process is to be checked: once it has been silent, and again while it is. One that is assumed to live is
    /// not checked as often.
    fn next_check(&self, now: Duration, index: usize) -> Duration {
        if self.habit == Habit::Unknown {
            let first = self.first_review.map_or(now, |at| at + CHECK_AFTER_AT_FIRST);
            return first.max(self.asked.map_or(Duration::ZERO, |at| at + CHECK_TAKES));
        }
        let is_assumed = now < self.proven(index) + CHECK_AFTER;
        let pause = if is_assumed { CHECK_AFTER } else { CHECK_TAKES };
        let again = self.asked.map_or(Duration::ZERO, |at| at + pause);
        again.max(self.groups[index].proven + CHECK_AFTER)
    }

    /// A check that has had its time without a sign of life has failed.
    fn settle_check(&mut self, now: Duration, with_calls: &BTreeSet<Incarnation>) {
        let Some(since) = self.checking.filter(|since| now >= *since + CHECK_TAKES) else {
            return;
        };
        self.checking = None;
        if self.habit == Habit::Unknown {
            self.habit = Habit::Keeps;
        }
        let failed =
            |i: &usize| with_calls.contains(&self.groups[*i].first) && self.groups[*i].proven < since;
        let Some(index) = (0..self.groups.len()).find(failed) else {
            return;
        };
        if self.proven(index) < since {
            self.record_failure_sign(FailureSign::CheckFailed);
        } else if self.habit == Habit::Closes
            && index + 1 < self.groups.len()
            && (self.is_conclusive || self.groups[index].is_interrupted)
        {
            self.tell_apart(index);
        }
    }

    fn next_review(&self, now: Duration, oldest: Option<usize>, live: &[usize]) -> Duration {
        let dead_at = live.iter().map(|i| self.proven(*i) + DEAD_AFTER);
        let check = oldest.map(|i| self.next_check(now, i));
        let settled = self.checking.map(|since| since + CHECK_TAKES);
        let due = dead_at.chain(check).chain(settled).filter(|at| *at > now).min();
        due.map_or(now + CHECK_TAKES, |at| at.min(now + CHECK_TAKES * 2))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// Reviews every 50 ms until something is lost; when.
    fn lost_at(liveness: &mut Liveness, from: u64, with: Incarnation) -> Option<u64> {
        let with_calls = BTreeSet::from([with]);
        (from..from + 30_000).step_by(50).find(|at| {
            let review = liveness.review(ms(*at), &with_calls);
            review.check.iter().for_each(|_| liveness.check_started(ms(*at), true));
            !review.dead.is_empty()
        })
    }

    /// Guards against doubt in an exchange since a connection was reset while new, or could not be made from here.
    #[test]
    fn only_a_dial_that_was_refused_or_never_came_up_speaks_against_an_exchange() {
        for end in [
            EndReason::ResetBeforeUse,
            EndReason::NoSocket,
            EndReason::ClosedLocally,
            EndReason::PeerClosed,
            EndReason::ConnectionBroken,
        ] {
            assert_eq!(FailureSign::from_dial(end), None, "{end}");
        }
        for end in [EndReason::ConnectionRefused, EndReason::DialTimedOut] {
            assert_eq!(FailureSign::from_dial(end), Some(FailureSign::DialFailed), "{end}");
        }
    }

    /// Guards against calls that are cut since nobody looked: silence alone proves nothing.
    #[test]
    fn silence_is_checked_and_loses_nothing_by_itself_while_connections_come_up() {
        let mut liveness = Liveness::default();
        let one = liveness.connected(ms(0));
        let with_calls = BTreeSet::from([one]);
        let due = Review { next: ms(500), ..Review::default() };
        assert_eq!(liveness.review(ms(0), &with_calls), due);
        assert_eq!(liveness.review(ms(500), &with_calls).check, Some(one));
        liveness.check_started(ms(500), true);
        assert_eq!(liveness.review(ms(550), &with_calls).check, None, "one at a time");
        let new = liveness.connected(ms(600));
        assert_eq!(liveness.silent_for(ms(600), one), ms(0), "assumed to be the same");
        assert_eq!(liveness.review(ms(1500), &with_calls).next, ms(2500), "it has not closed in return");
        assert_eq!(liveness.review(ms(2500), &with_calls).check, Some(one));
        assert_eq!(liveness.connected(ms(2700)), new);
        assert!(!liveness.is_suspected(one) && liveness.review(ms(9000), &with_calls).dead.is_empty());
    }

    /// Guards against a loss long before the rules ask for it, or after.
    #[test]
    fn what_is_doubted_is_lost_in_time() {
        let mut liveness = Liveness::default();
        let one = liveness.connected(ms(0));
        liveness.record_activity(ms(1000), one);
        liveness.record_failure_sign(FailureSign::DialFailed);
        assert_eq!(lost_at(&mut liveness, 3500, one), Some(8200));
    }

    /// Guards against a process that the system answers for: one that always spoke first and no longer does.
    #[test]
    fn a_connection_that_comes_up_proves_nothing_of_whoever_speaks_first() {
        let mut liveness = Liveness::default();
        liveness.peer_spoke_first();
        let one = liveness.connected(ms(0));
        assert_eq!(liveness.connected(ms(2500)), one);
        assert_eq!(lost_at(&mut liveness, 2500, one), Some(7200));
    }

    /// Guards against a new process that vouches for calls at the one before.
    #[test]
    fn after_an_outage_only_the_old_connections_prove_the_old_process() {
        let mut liveness = Liveness::default();
        let old = liveness.connected(ms(0));
        liveness.record_failure_sign(FailureSign::DialFailed);
        liveness.record_failure_sign(FailureSign::Unanswered(1, old));
        let new = liveness.connected(ms(3100));
        assert!(new != old && liveness.is_suspected(old) && !liveness.is_suspected(new));
        liveness.record_activity(ms(3200), new);
        assert_eq!(liveness.connected(ms(3300)), new, "more of them lead to the same process");
        assert_eq!(lost_at(&mut liveness, 3300, old), Some(7200));
        assert_eq!(liveness.group(new), new);
    }

    /// Guards against calls cut at a process that stalled for a while and has nothing to say, and against a new process
    /// that comes after a longer outage and vouches for the one before.
    #[test]
    fn whoever_comes_back_soon_after_failed_dials_alone_is_taken_for_the_same() {
        for (back, is_same) in [(4500, true), (5000, false)] {
            let mut liveness = Liveness::default();
            let old = liveness.connected(ms(0));
            (0..3).for_each(|_| liveness.record_failure_sign(FailureSign::DialFailed));
            let new = liveness.connected(ms(back));
            liveness.record_activity(ms(back), new);
            assert_eq!(liveness.is_suspected(old), !is_same, "{back}");
        }
    }

    /// Guards against calls cut at a process that was cut off and is there again.
    #[test]
    fn an_old_connection_that_speaks_shows_that_it_is_the_same_process() {
        let mut liveness = Liveness::default();
        let old = liveness.connected(ms(0));
        liveness.record_failure_sign(FailureSign::AllReset(old));
        let new = liveness.connected(ms(4100));
        liveness.record_activity(ms(4200), old);
        assert_eq!(liveness.group(new), old);
        assert!(!liveness.has_newer(old));
    }

    /// Guards against trust in a connection that comes up after an interruption while the old ones are not closed in
    /// return, as this process has always done.
    #[test]
    fn whoever_closes_in_return_is_told_apart_after_one_dial_that_failed() {
        let mut liveness = Liveness::default();
        let old = liveness.connected(ms(0));
        liveness.peer_closed(ms(10), old, true);
        liveness.record_failure_sign(FailureSign::DialFailed);
        let new = liveness.connected(ms(3520));
        assert!(liveness.is_suspected(old) && !liveness.is_suspected(new));
        liveness.peer_closed(ms(3530), old, true);
        assert_eq!(liveness.group(new), old, "it has closed in return");
    }

    /// Guards against calls cut at an exchange that leaves idle connections open and serves them no more: a check that is
    /// not answered by a close proves nothing while the exchange can be reached.
    #[test]
    fn without_an_interruption_dead_connections_are_forgotten_ones() {
        let mut liveness = Liveness::default();
        let old = liveness.connected(ms(0));
        liveness.peer_closed(ms(10), old, true);
        liveness.check_started(ms(2010), false);
        let new = liveness.connected(ms(2020));
        liveness.record_activity(ms(2030), new);
        liveness.record_failure_sign(FailureSign::UnansweredAtRest(3));
        liveness.record_activity(ms(2500), new);
        liveness.review(ms(3100), &BTreeSet::from([old]));
        assert!(!liveness.is_suspected(old));
        assert_eq!(liveness.silent_for(ms(2500), old), ms(0));
    }

    /// Guards against one dial that never comes up, or one lost answer, by which a living process is doubted; and against
    /// a new process that vouches for the one before, where the old connections turn out to be dead.
    #[test]
    fn after_one_adverse_observation_connections_are_assumed_to_lead_to_the_same_process() {
        let first = Incarnation(0);
        for observation in
            [FailureSign::DialFailed, FailureSign::Unanswered(1, first), FailureSign::Reset]
        {
            let mut liveness = Liveness::default();
            let old = liveness.connected(ms(0));
            liveness.record_failure_sign(observation);
            let new = liveness.connected(ms(2600));
            liveness.record_activity(ms(6000), new);
            assert!(new != old && !liveness.is_suspected(old));
            assert_eq!(liveness.silent_for(ms(6000), old), ms(0));
            liveness.record_failure_sign(FailureSign::MissedReports(old));
            assert!(liveness.is_suspected(old) && !liveness.is_suspected(new), "{observation:?}");
            assert_eq!(lost_at(&mut liveness, 6000, old), Some(7200));
        }
    }
}
