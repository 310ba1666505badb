//! Passive failure detection: decides whether the process of an exchange is alive from the traffic on its
//! connections. It does not depend on probe messages to the exchange.
//!
//! Activity is something that only a living process causes: bytes on a connection, or its graceful close. It
//! shows that the process at the other end of that connection is alive, and nothing about any other process.
//! A new process may be serving at the same address, so each connection belongs to an [`Incarnation`]. A
//! connection that is established while the current process is suspected to have failed starts a new
//! incarnation. Later activity on an older connection shows that both lead to the same process; their
//! incarnations are then merged into one group. Where the suspicion is weak, both incarnations are assumed to
//! be the same process until there is evidence against it.
//!
//! An incarnation is considered dead, and its calls are dropped, after [`DEAD_PROCESS_TIMEOUT`] without activity,
//! provided that there is also a sign of failure: failed dials, unanswered set-ups, failed checks, or a newer
//! incarnation.

use crate::end::EndReason;
use std::collections::BTreeSet;
use std::time::Duration;

/// A suspected process without activity for this long is considered dead, and its calls are dropped. The
/// caller has to get the release within 8 s of the failure, which may have come right after the last
/// activity; the remaining time allows for the transmission to the caller and for delays of the event loop.
pub const DEAD_PROCESS_TIMEOUT: Duration = Duration::from_millis(7200);
/// The first check at an exchange comes this long after the first call was established there, whether the
/// process is silent or not, to learn its [`CloseBehavior`] while it is certainly alive.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(500);
/// A process with established calls is checked after this long without activity. A failed dial and a second
/// one then fit into an outage of 3 s.
pub const CHECK_DELAY: Duration = Duration::from_secs(2);
/// A check without activity within this time has failed, and another may start.
pub const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Weight of failure signs in a row from which on a new connection is not assumed to lead to the same
/// process. A single sign is not enough, as one dial in fifty never succeeds and an answer may be lost.
const MIN_SUSPICION_WEIGHT: u32 = 2;
/// If dials failed and no connection in use is known to be dead, a process that is reachable again within
/// this time of the last activity is assumed to be the same. It stalled or was unreachable for a while;
/// replacing a process takes longer.
const MAX_STALL_DURATION: Duration = Duration::from_millis(4750);
/// Maximum number of incarnation groups that are tracked; beyond it, the two oldest count as one.
const MAX_INCARNATION_GROUPS: usize = 16;

/// Identifies one process of an exchange, as far as connections allow processes to be distinguished. Later
/// incarnations compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u32);

/// One observation which indicates that the process has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureSign {
    /// A dial was refused or timed out.
    DialFailed,
    /// This number of set-ups were cancelled with no bytes received since they were sent, on a connection to
    /// this incarnation that had been in use.
    Unanswered(u32, Incarnation),
    /// The same on an idle connection, which the exchange may have dropped without closing it.
    UnansweredAtRest(u32),
    /// One connection was reset while others remained.
    Reset,
    /// All connections to an incarnation were reset at once, and not for being idle, as happens when a
    /// process dies.
    AllReset(Incarnation),
    /// A connection to this incarnation had been in use and did not receive the reports that other
    /// connections received.
    MissedReports(Incarnation),
    /// The same on an idle connection. Unless the exchange was unreachable in between, it may have dropped
    /// that connection without closing it.
    MissedReportsAtRest(Incarnation),
    /// A check caused no activity.
    CheckFailed,
}

impl FailureSign {
    /// The failure sign that follows from the end of a dial, if any. A dial that this side ended or had no
    /// socket for shows nothing, and a reset of a new connection shows that a process is there.
    pub fn from_dial(end: EndReason) -> Option<Self> {
        matches!(end, EndReason::ConnectionRefused | EndReason::DialTimedOut)
            .then_some(FailureSign::DialFailed)
    }

    /// How strongly the sign indicates a failure, to be added up and compared with [`MIN_SUSPICION_WEIGHT`].
    fn weight(self) -> u32 {
        match self {
            FailureSign::Reset | FailureSign::MissedReports(_) | FailureSign::MissedReportsAtRest(_) => {
                0
            }
            FailureSign::DialFailed | FailureSign::CheckFailed => 1,
            FailureSign::Unanswered(set_ups, _) | FailureSign::UnansweredAtRest(set_ups) => set_ups,
            FailureSign::AllReset(_) => MIN_SUSPICION_WEIGHT,
        }
    }

    /// Whether it shows that the exchange was unreachable for a while. All other signs may concern single
    /// connections only, as exchanges close, reset or silently drop idle ones.
    fn is_interruption(self) -> bool {
        match self {
            FailureSign::DialFailed | FailureSign::CheckFailed => true,
            FailureSign::AllReset(_) | FailureSign::Unanswered(..) => true,
            FailureSign::Reset | FailureSign::UnansweredAtRest(_) => false,
            FailureSign::MissedReports(_) | FailureSign::MissedReportsAtRest(_) => false,
        }
    }

    /// The incarnation whose own connections the sign concerns, if the sign names one.
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

/// What an exchange does with a connection after this side has closed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CloseBehavior {
    /// Not known yet.
    #[default]
    Unknown,
    /// It closes the connection in response; a missing close therefore shows that the process is not there.
    ClosesInResponse,
    /// It keeps the connection open for longer than a check takes.
    KeepsOpen,
}

/// Connections that are known to lead to one process.
#[derive(Clone, Copy, Debug)]
struct IncarnationGroup {
    /// The first incarnation in the group, which ends where the next group begins.
    first: Incarnation,
    /// When its first connection was established.
    connected_at: Duration,
    /// Time of the last activity on its own connections.
    last_activity: Duration,
    /// Whether it is assumed to be the same process as the previous group.
    is_assumed_same: bool,
    /// Whether the exchange was unreachable for a while since the last activity on the group's own
    /// connections.
    is_interrupted: bool,
}

/// The result of a liveness review of an exchange.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Review {
    /// Incarnations that are considered dead, by the first of each group; their calls are lost.
    pub dead: Vec<Incarnation>,
    /// The incarnation to be checked now.
    pub check: Option<Incarnation>,
    /// When the next review is due.
    pub next: Duration,
}

/// Tracks the liveness of the processes at one exchange.
#[derive(Debug, Default)]
pub struct Liveness {
    /// Oldest first.
    groups: Vec<IncarnationGroup>,
    /// Number of the next incarnation.
    next_incarnation: u32,
    /// Total weight of the failure signs since the last activity of the newest process.
    failure_weight: u32,
    /// Whether there was any failure sign since then, including those of weight 0.
    has_failure_signs: bool,
    /// Whether one of these signs showed that a connection in use is dead.
    has_dead_connection: bool,
    /// Time of the first review, which is when the first call was established.
    first_review_at: Option<Duration>,
    /// When a check was last requested.
    check_requested_at: Option<Duration>,
    /// Start of the check in progress.
    check_started_at: Option<Duration>,
    /// Whether the connection or dialog that the check uses had been in use, so that the exchange cannot have
    /// dropped it as idle.
    is_check_conclusive: bool,
    /// Whether the exchange sends data first on each new connection.
    peer_sends_first: bool,
    close_behavior: CloseBehavior,
}

impl Liveness {
    /// The index of the group that an incarnation belongs to.
    fn index(&self, incarnation: Incarnation) -> Option<usize> {
        self.groups.iter().rposition(|g| g.first <= incarnation)
    }

    /// The first incarnation of the group that an incarnation belongs to. All incarnations of a group are the
    /// same process.
    pub fn group_id(&self, incarnation: Incarnation) -> Incarnation {
        self.index(incarnation).map_or(incarnation, |i| self.groups[i].first)
    }

    /// Whether newer connections than those of an incarnation may lead to a different process.
    pub fn has_newer(&self, incarnation: Incarnation) -> bool {
        self.index(incarnation).is_none_or(|i| i + 1 < self.groups.len())
    }

    /// Whether a process is suspected to have failed.
    pub fn is_suspected(&self, incarnation: Incarnation) -> bool {
        self.failure_weight > 0 || self.is_superseded(incarnation)
    }

    /// Whether newer connections lead to a process that is not assumed to be the same.
    pub fn is_superseded(&self, incarnation: Incarnation) -> bool {
        let newer = self.index(incarnation).map_or(&self.groups[..], |i| &self.groups[i + 1..]);
        newer.iter().any(|g| !g.is_assumed_same)
    }

    /// Whether the exchange is known to close a connection in response to a close from this side.
    pub fn closes_in_response(&self) -> bool {
        self.close_behavior == CloseBehavior::ClosesInResponse
    }

    /// Whether the exchange is known to send data first on each new connection.
    pub fn sends_first(&self) -> bool {
        self.peer_sends_first
    }

    /// The incarnation of the newest process. If none is known yet, a first one is created and assumed to be
    /// alive.
    pub fn newest(&mut self, now: Duration) -> Incarnation {
        match self.groups.last() {
            Some(group) => group.first,
            None => self.begin_incarnation(now, false),
        }
    }

    /// A call was adopted that another process of this controller has set up. Returns the incarnation that it
    /// belongs to: the newest one, or a first one whose last activity is that seen by the other process.
    pub fn adopt(&mut self, last_activity: Duration) -> Incarnation {
        if let Some(group) = self.groups.last() {
            return group.first;
        }
        let first = Incarnation(self.next_incarnation);
        self.next_incarnation = self.next_incarnation.saturating_add(1);
        self.groups.push(IncarnationGroup {
            first,
            connected_at: last_activity,
            last_activity,
            is_assumed_same: false,
            is_interrupted: false,
        });
        first
    }

    /// Time since the last activity of a process.
    pub fn silent_for(&self, now: Duration, incarnation: Incarnation) -> Duration {
        now.saturating_sub(self.index(incarnation).map_or(Duration::ZERO, |i| self.last_activity(i)))
    }

    /// Time of the last activity of a process, on its own connections or on later ones that are assumed to
    /// lead to it.
    fn last_activity(&self, index: usize) -> Duration {
        let assumed = self.groups[index + 1..].iter().take_while(|g| g.is_assumed_same);
        assumed.fold(self.groups[index].last_activity, |last_activity, g| {
            last_activity.max(g.last_activity)
        })
    }

    /// Adds a group that starts with a new incarnation.
    fn begin_incarnation(&mut self, now: Duration, is_assumed_same: bool) -> Incarnation {
        let first = Incarnation(self.next_incarnation);
        self.next_incarnation = self.next_incarnation.saturating_add(1);
        // Under suspicion, an established connection is no proof of life: the operating system accepts
        // connections on behalf of a process that hangs.
        let last_activity =
            self.groups.len().checked_sub(1).map_or(now, |last| self.last_activity(last));
        self.groups.push(IncarnationGroup {
            first,
            connected_at: now,
            last_activity,
            is_assumed_same,
            is_interrupted: false,
        });
        if self.groups.len() > MAX_INCARNATION_GROUPS {
            self.groups.remove(1);
        }
        if !is_assumed_same {
            self.clear_failure_signs();
        }
        first
    }

    /// A connection was established. Returns the incarnation of the process at its other end.
    pub fn connected(&mut self, now: Duration) -> Incarnation {
        let Some(newest) = self.groups.last().copied() else {
            return self.begin_incarnation(now, false);
        };
        let is_check_unanswered = self
            .check_started_at
            .is_some_and(|since| newest.connected_at.max(newest.last_activity) < since);
        let closes_in_response = self.close_behavior == CloseBehavior::ClosesInResponse;
        let is_stall =
            !self.has_dead_connection && now < self.newest_last_activity() + MAX_STALL_DURATION;
        let is_strongly_suspected = self.failure_weight >= MIN_SUSPICION_WEIGHT && !is_stall;
        let is_different_process =
            newest.is_interrupted && (closes_in_response || is_strongly_suspected);
        if is_different_process || is_check_unanswered && self.is_check_conclusive && closes_in_response
        {
            return self.begin_incarnation(now, false);
        }
        if (self.has_failure_signs || is_check_unanswered) && !newest.is_assumed_same {
            let incarnation = self.begin_incarnation(now, true);
            return self.record_connected(now, incarnation, is_stall);
        }
        self.record_connected(now, newest.first, is_stall)
    }

    /// Counts an established connection as activity, if there is no failure sign or the signs are explained
    /// by a stall (see [`MAX_STALL_DURATION`]). An exchange that sends data first on each connection shows
    /// activity only once it has done so.
    fn record_connected(
        &mut self,
        now: Duration,
        incarnation: Incarnation,
        is_stall: bool,
    ) -> Incarnation {
        if !self.peer_sends_first && (!self.has_failure_signs || is_stall) {
            self.record_activity(now, incarnation);
        }
        incarnation
    }

    /// Records activity on a connection of an incarnation. Newer connections then lead to the same process,
    /// so later groups are merged into its group.
    pub fn record_activity(&mut self, now: Duration, incarnation: Incarnation) {
        let Some(index) = self.index(incarnation) else {
            return;
        };
        self.groups.truncate(index + 1);
        self.groups[index].last_activity = now;
        self.groups[index].is_interrupted = false;
        self.clear_failure_signs();
    }

    fn clear_failure_signs(&mut self) {
        (self.failure_weight, self.has_failure_signs, self.has_dead_connection) = (0, false, false);
    }

    /// Time of the last activity of the newest process.
    fn newest_last_activity(&self) -> Duration {
        self.groups.len().checked_sub(1).map_or(Duration::ZERO, |last| self.last_activity(last))
    }

    /// The peer has closed a connection gracefully. `in_response` says whether this side had closed it first.
    pub fn peer_closed(&mut self, now: Duration, incarnation: Incarnation, in_response: bool) {
        if in_response {
            self.close_behavior = CloseBehavior::ClosesInResponse;
        }
        self.record_activity(now, incarnation);
    }

    /// The peer sent data first on a new connection.
    pub fn peer_sent_first(&mut self) {
        self.peer_sends_first = true;
    }

    /// Records a sign that the process has failed.
    pub fn record_failure_sign(&mut self, failure_sign: FailureSign) {
        if failure_sign.is_interruption() {
            self.groups.iter_mut().for_each(|g| g.is_interrupted = true);
        }
        let index = failure_sign.incarnation().and_then(|i| self.index(i));
        let is_at_rest = matches!(failure_sign, FailureSign::MissedReportsAtRest(_));
        match index.filter(|i| i + 1 < self.groups.len()) {
            Some(index) if is_at_rest && !self.groups[index].is_interrupted => {}
            Some(index) => self.mark_next_group_different(index),
            None if is_at_rest => {}
            None => {
                self.failure_weight = self.failure_weight.saturating_add(failure_sign.weight());
                self.has_failure_signs = true;
                self.has_dead_connection |= failure_sign.incarnation().is_some();
            }
        }
    }

    /// Records that the next group is a different process, as connections of this group are dead while newer
    /// ones are alive.
    fn mark_next_group_different(&mut self, index: usize) {
        self.groups[index + 1].is_assumed_same = false;
    }

    /// Reviews the processes that have established calls, given by the first incarnation of each group.
    pub fn review(&mut self, now: Duration, processes_with_calls: &BTreeSet<Incarnation>) -> Review {
        self.first_review_at.get_or_insert(now);
        self.finish_check(now, processes_with_calls);
        let candidates: Vec<_> = (0..self.groups.len())
            .filter(|i| processes_with_calls.contains(&self.groups[*i].first))
            .collect();
        let is_dead = |i: &usize| {
            now >= self.last_activity(*i) + DEAD_PROCESS_TIMEOUT
                && self.is_suspected(self.groups[*i].first)
        };
        let (dead, live): (Vec<_>, Vec<_>) = candidates.into_iter().partition(is_dead);
        let dead = dead.into_iter().map(|i| self.groups[i].first).collect();
        // A process that is only assumed to be alive is checked as well, so this considers the activity on
        // its own connections alone.
        let longest_silent = live.iter().copied().min_by_key(|i| self.groups[*i].last_activity);
        let check = longest_silent.filter(|i| now >= self.next_check(now, *i));
        if check.is_some() {
            self.check_requested_at = Some(now);
        }
        let next = self.next_review(now, longest_silent, &live);
        Review { dead, check: check.map(|i| self.groups[i].first), next }
    }

    /// A requested check has started; silence alone, without a started check, is no sign of failure.
    /// `is_conclusive` says whether the connection or dialog that the check uses had been in use.
    pub fn check_started(&mut self, now: Duration, is_conclusive: bool) {
        self.check_started_at = Some(now);
        self.is_check_conclusive = is_conclusive;
    }

    /// When a process is to be checked: after it has been silent, and repeatedly while it remains silent. A
    /// process that is assumed to be alive is checked less often. As long as the close behavior is unknown,
    /// checks do not wait for silence.
    fn next_check(&self, now: Duration, index: usize) -> Duration {
        if self.close_behavior == CloseBehavior::Unknown {
            let first = self.first_review_at.map_or(now, |at| at + FIRST_CHECK_DELAY);
            return first.max(self.check_requested_at.map_or(Duration::ZERO, |at| at + CHECK_TIMEOUT));
        }
        let is_assumed_alive = now < self.last_activity(index) + CHECK_DELAY;
        let interval = if is_assumed_alive { CHECK_DELAY } else { CHECK_TIMEOUT };
        let next = self.check_requested_at.map_or(Duration::ZERO, |at| at + interval);
        next.max(self.groups[index].last_activity + CHECK_DELAY)
    }

    /// Ends a check that has timed out. It has failed if there was no activity since its start. If only newer
    /// connections had activity, although the process would have closed the old one in response, they lead to
    /// a different process. This is concluded only if the old connection had been in use or the exchange was
    /// unreachable for a while; otherwise the exchange may have dropped the old connection as idle.
    fn finish_check(&mut self, now: Duration, processes_with_calls: &BTreeSet<Incarnation>) {
        let Some(since) = self.check_started_at.filter(|since| now >= *since + CHECK_TIMEOUT) else {
            return;
        };
        self.check_started_at = None;
        if self.close_behavior == CloseBehavior::Unknown {
            self.close_behavior = CloseBehavior::KeepsOpen;
        }
        let failed = |i: &usize| {
            processes_with_calls.contains(&self.groups[*i].first)
                && self.groups[*i].last_activity < since
        };
        let Some(index) = (0..self.groups.len()).find(failed) else {
            return;
        };
        if self.last_activity(index) < since {
            self.record_failure_sign(FailureSign::CheckFailed);
        } else if self.close_behavior == CloseBehavior::ClosesInResponse
            && index + 1 < self.groups.len()
            && (self.is_check_conclusive || self.groups[index].is_interrupted)
        {
            self.mark_next_group_different(index);
        }
    }

    /// When the next review is due: when a process may be considered dead, the next check or the end of the
    /// current one is due, and after twice the check timeout at the latest.
    fn next_review(&self, now: Duration, longest_silent: Option<usize>, live: &[usize]) -> Duration {
        let dead_at = live.iter().map(|i| self.last_activity(*i) + DEAD_PROCESS_TIMEOUT);
        let check = longest_silent.map(|i| self.next_check(now, i));
        let check_ends_at = self.check_started_at.map(|since| since + CHECK_TIMEOUT);
        let due = dead_at.chain(check).chain(check_ends_at).filter(|at| *at > now).min();
        due.map_or(now + CHECK_TIMEOUT, |at| at.min(now + CHECK_TIMEOUT * 2))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// Reviews the process every 50 ms from `from` on. Returns the time at which it is considered dead.
    fn dead_at(liveness: &mut Liveness, from: u64, incarnation: Incarnation) -> Option<u64> {
        let processes_with_calls = BTreeSet::from([incarnation]);
        (from..from + 30_000).step_by(50).find(|at| {
            let review = liveness.review(ms(*at), &processes_with_calls);
            review.check.iter().for_each(|_| liveness.check_started(ms(*at), true));
            !review.dead.is_empty()
        })
    }

    /// Guards against suspecting an exchange because a new connection was reset, or because this side had no
    /// socket or ended the dial itself.
    #[test]
    fn only_a_refused_or_timed_out_dial_is_a_failure_sign() {
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

    /// Guards against dropping calls because of silence alone: a silent process is checked first, and is not
    /// considered dead while new connections to it are established.
    #[test]
    fn a_silent_process_is_checked_and_kept_while_connections_succeed() {
        let mut liveness = Liveness::default();
        let incarnation = liveness.connected(ms(0));
        let processes_with_calls = BTreeSet::from([incarnation]);
        let expected = Review { next: ms(500), ..Review::default() };
        assert_eq!(liveness.review(ms(0), &processes_with_calls), expected);
        assert_eq!(liveness.review(ms(500), &processes_with_calls).check, Some(incarnation));
        liveness.check_started(ms(500), true);
        assert_eq!(liveness.review(ms(550), &processes_with_calls).check, None, "one check at a time");
        let new = liveness.connected(ms(600));
        assert_eq!(liveness.silent_for(ms(600), incarnation), ms(0), "assumed to be the same process");
        assert_eq!(
            liveness.review(ms(1500), &processes_with_calls).next,
            ms(2500),
            "the exchange has not closed the old connection in response"
        );
        assert_eq!(liveness.review(ms(2500), &processes_with_calls).check, Some(incarnation));
        assert_eq!(liveness.connected(ms(2700)), new);
        assert!(
            !liveness.is_suspected(incarnation)
                && liveness.review(ms(9000), &processes_with_calls).dead.is_empty()
        );
    }

    /// Guards against dropping calls long before the release is due, or after it is.
    #[test]
    fn a_suspected_process_is_dead_after_the_silence_timeout() {
        let mut liveness = Liveness::default();
        let incarnation = liveness.connected(ms(0));
        liveness.record_activity(ms(1000), incarnation);
        liveness.record_failure_sign(FailureSign::DialFailed);
        assert_eq!(dead_at(&mut liveness, 3500, incarnation), Some(8200));
    }

    /// Guards against taking a hung process for alive because the operating system still accepts its
    /// connections: an exchange that always sends data first on a new connection, and no longer does, is not
    /// alive.
    #[test]
    fn a_new_connection_is_no_activity_of_an_exchange_that_sends_data_first() {
        let mut liveness = Liveness::default();
        liveness.peer_sent_first();
        let incarnation = liveness.connected(ms(0));
        assert_eq!(liveness.connected(ms(2500)), incarnation);
        assert_eq!(dead_at(&mut liveness, 2500, incarnation), Some(7200));
    }

    /// Guards against counting the activity of a new process as activity of the previous one, whose calls are
    /// lost.
    #[test]
    fn after_an_outage_only_old_connections_show_that_the_old_process_is_alive() {
        let mut liveness = Liveness::default();
        let old = liveness.connected(ms(0));
        liveness.record_failure_sign(FailureSign::DialFailed);
        liveness.record_failure_sign(FailureSign::Unanswered(1, old));
        let new = liveness.connected(ms(3100));
        assert!(new != old && liveness.is_suspected(old) && !liveness.is_suspected(new));
        liveness.record_activity(ms(3200), new);
        assert_eq!(liveness.connected(ms(3300)), new, "further connections lead to the same process");
        assert_eq!(dead_at(&mut liveness, 3300, old), Some(7200));
        assert_eq!(liveness.group_id(new), new);
    }

    /// Guards against dropping calls at a process that stalled for a while and has nothing to send, and
    /// against counting the activity of a new process after a longer outage as activity of the previous one.
    #[test]
    fn after_failed_dials_alone_a_process_reachable_soon_is_assumed_to_be_the_same() {
        for (reachable_at, is_same) in [(4500, true), (5000, false)] {
            let mut liveness = Liveness::default();
            let old = liveness.connected(ms(0));
            (0..3).for_each(|_| liveness.record_failure_sign(FailureSign::DialFailed));
            let new = liveness.connected(ms(reachable_at));
            liveness.record_activity(ms(reachable_at), new);
            assert_eq!(liveness.is_suspected(old), !is_same, "reachable at {reachable_at} ms");
        }
    }

    /// Guards against dropping calls at a process that was unreachable for a while and is reachable again.
    #[test]
    fn activity_on_an_old_connection_shows_that_the_process_is_the_same() {
        let mut liveness = Liveness::default();
        let old = liveness.connected(ms(0));
        liveness.record_failure_sign(FailureSign::AllReset(old));
        let new = liveness.connected(ms(4100));
        liveness.record_activity(ms(4200), old);
        assert_eq!(liveness.group_id(new), old);
        assert!(!liveness.has_newer(old));
    }

    /// Guards against assuming that a connection established after an interruption leads to the old process,
    /// although that process has always closed connections in response and has not closed the old one now.
    #[test]
    fn a_process_that_closes_in_response_is_suspected_after_one_failed_dial() {
        let mut liveness = Liveness::default();
        let old = liveness.connected(ms(0));
        liveness.peer_closed(ms(10), old, true);
        liveness.record_failure_sign(FailureSign::DialFailed);
        let new = liveness.connected(ms(3520));
        assert!(liveness.is_suspected(old) && !liveness.is_suspected(new));
        liveness.peer_closed(ms(3530), old, true);
        assert_eq!(liveness.group_id(new), old, "the old process has closed in response");
    }

    /// Guards against dropping calls at an exchange that stops serving idle connections without closing them:
    /// while the exchange is reachable, a check that is not answered by a close proves nothing.
    #[test]
    fn without_an_interruption_dead_idle_connections_are_no_sign_of_failure() {
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

    /// Guards against suspecting a live process because of one dial that failed or one lost answer; and
    /// against counting the activity of a new process as activity of the previous one when the old
    /// connections turn out to be dead.
    #[test]
    fn after_one_failure_sign_new_connections_are_assumed_to_lead_to_the_same_process() {
        let first = Incarnation(0);
        for failure_sign in
            [FailureSign::DialFailed, FailureSign::Unanswered(1, first), FailureSign::Reset]
        {
            let mut liveness = Liveness::default();
            let old = liveness.connected(ms(0));
            liveness.record_failure_sign(failure_sign);
            let new = liveness.connected(ms(2600));
            liveness.record_activity(ms(6000), new);
            assert!(new != old && !liveness.is_suspected(old));
            assert_eq!(liveness.silent_for(ms(6000), old), ms(0));
            liveness.record_failure_sign(FailureSign::MissedReports(old));
            assert!(liveness.is_suspected(old) && !liveness.is_suspected(new), "{failure_sign:?}");
            assert_eq!(dead_at(&mut liveness, 6000, old), Some(7200));
        }
    }
}
