//! The engine by itself: no wire, no clock. What the rules ask of any front holds whatever comes.

mod common;

use slateshed::*;
use slateshed_node::end::EndReason;
use slateshed_node::engine::*;
use slateshed_node::liveness::{FailureSign, Incarnation};
use slateshed_node::timers::TimerQueue;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct World {
    engine: Engine,
    now: Duration,
    timers: TimerQueue<EngineTimer>,
}

impl World {
    /// Three exchanges in service, the own one is 0.
    fn new() -> Self {
        let settings = slateshed_settings::parse_json(common::SETTINGS, 16).expect("JSON");
        let settings = slateshed_settings::parse_settings(&settings).expect("settings");
        let engine = Engine::new(settings, 7).expect("settings make sense");
        let mut world = World { engine, now: ms(1_000_000), timers: TimerQueue::default() };
        world.list(&[(0, Phase::InService), (1, Phase::InService), (2, Phase::InService)], true, ms(0));
        world
    }

    fn list(&mut self, lines: &[(u32, Phase)], whole: bool, started_at: Duration) {
        let line = |(n, phase): &(u32, Phase)| NamedEntry {
            name: format!("s-{n}"),
            number: ExchangeNumber(*n),
            zone: 0,
            phase: *phase,
            started_at,
        };
        let lines: Vec<_> = lines.iter().map(line).collect();
        self.engine.update_list(self.now, whole, &lines, &mut self.timers);
    }

    fn exchange(&self, n: u32) -> ExchangeId {
        self.engine.exchange(&format!("s-{n}")).expect("listed")
    }

    fn call(&mut self, patience: u64) -> CallToken {
        let new = common::incoming(ms(patience));
        self.engine.new_call(self.now, new, &mut self.timers)
    }

    /// Lets time pass, deadline by deadline.
    fn pass(&mut self, time: u64) {
        let until = self.now + ms(time);
        while let Some(at) = self.timers.next_due().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            while let Some(wake) = self.timers.pop_due(self.now) {
                self.engine.timer_due(self.now, wake, &mut self.timers);
            }
        }
        self.now = until;
    }

    fn commands(&mut self) -> Vec<Command> {
        std::iter::from_fn(|| self.engine.next_command()).collect()
    }

    fn set_up(&mut self) -> (AttemptToken, ExchangeId) {
        match self.commands()[..] {
            [Command::SetUp { attempt, exchange, .. }] => (attempt, exchange),
            ref other => panic!("no set-up alone: {other:?}"),
        }
    }

    fn answered(&mut self, attempt: AttemptToken) -> bool {
        self.engine.answered(self.now, attempt, None, "d".to_owned(), &mut self.timers)
    }

    fn ended(&mut self, attempt: AttemptToken, end: EndReason) {
        self.engine.attempt_ended(self.now, attempt, end, &mut self.timers);
    }
}

/// Guards against a second final answer, from whatever comes late for an attempt that is over.
#[test]
fn one_final_answer_whatever_comes_late() {
    let mut world = World::new();
    let call = world.call(900);
    let (attempt, _) = world.set_up();
    world.pass(900);
    let said = world.commands();
    assert!(
        matches!(said[..], [Command::CancelAttempt(a), Command::Refuse(c, Some(_))] if (a, c) == (attempt, call))
    );
    assert!(!world.answered(attempt));
    world.ended(attempt, EndReason::Dropped);
    world.engine.caller_ended(world.now, call, &mut world.timers);
    world.pass(10_000);
    assert_eq!(world.commands(), []);
    assert_eq!((world.engine.unanswered_calls(), world.engine.established_calls()), (0, 0));
}

#[test]
fn a_call_stands_beyond_its_patience_and_is_released_once() {
    let mut world = World::new();
    let call = world.call(900);
    let (attempt, _) = world.set_up();
    assert!(world.answered(attempt));
    assert!(!world.answered(attempt), "answered twice");
    world.pass(60_000);
    assert_eq!(world.commands(), [Command::Answer(call, "d".to_owned())]);
    world.ended(attempt, EndReason::Ended);
    world.ended(attempt, EndReason::Dropped);
    assert_eq!(world.commands(), [Command::ReleaseCaller(call, ReleaseCause::Normal)]);
}

/// Guards against two attempts out at once, and against a call sent again within 500 ms of a cut.
#[test]
fn after_a_cut_the_call_goes_again_alone_and_not_within_the_release_wait() {
    let mut world = World::new();
    let one = world.exchange(1);
    world.engine.update_circuits(world.now, one, (0, 9), &mut world.timers);
    world.call(3000);
    let (attempt, tandem) = world.set_up();
    assert_ne!(tandem, one, "no circuit direct");
    world.pass(100);
    world.ended(attempt, EndReason::Dropped);
    world.engine.update_circuits(world.now, one, (9, 9), &mut world.timers);
    world.pass(499);
    assert_eq!(world.commands(), []);
    world.pass(60);
    assert_eq!(world.set_up().1, one);
}

/// Guards against new work for an exchange that drains, and against its calls ended before it is gone.
#[test]
fn a_drain_ends_new_work_at_once_and_calls_only_with_the_exchange() {
    let mut world = World::new();
    let call = world.call(3000);
    let (attempt, _) = world.set_up();
    assert!(world.answered(attempt));
    world.list(&[(1, Phase::Draining)], false, ms(0));
    let other = world.call(3000);
    world.pass(3000);
    assert!(matches!(world.commands()[..], [Command::Answer(..), Command::Refuse(c, _)] if c == other));
    world.list(&[(1, Phase::Gone)], false, ms(0));
    let released =
        [Command::ForgetAttempt(attempt), Command::ReleaseCaller(call, ReleaseCause::Dropped)];
    assert_eq!(world.commands(), released);
}

/// Guards against calls that stay standing at a process that has gone: refused, started anew, or silent.
#[test]
fn calls_at_a_lost_exchange_are_released() {
    for way in 0..3 {
        let mut world = World::new();
        let call = world.call(3000);
        let (attempt, one) = world.set_up();
        assert!(world.answered(attempt));
        world.commands();
        match way {
            0 => world.engine.connection_refused(world.now, one, &mut world.timers),
            1 => world.list(&[(1, Phase::InService)], false, world.now),
            _ => {
                world.engine.record_failure_sign(world.now, one, FailureSign::DialFailed);
                world.pass(7000);
                assert_eq!(world.commands(), [], "it may come back");
                world.pass(500);
            }
        }
        // A process that may live after all is told that the call is over.
        let there = match way {
            0 | 1 => Command::ForgetAttempt(attempt),
            _ => Command::ReleaseExchange(attempt, ReleaseCause::Dropped),
        };
        assert_eq!(
            world.commands(),
            [there, Command::ReleaseCaller(call, ReleaseCause::Dropped)],
            "way {way}"
        );
    }
}

/// Guards against calls cut at a process that has answered them since it started, where the list says so late.
#[test]
fn late_news_of_a_start_ends_only_the_calls_before_it() {
    let mut world = World::new();
    let before = world.call(3000);
    let (old, _) = world.set_up();
    assert!(world.answered(old));
    world.pass(500);
    let started = world.now;
    world.pass(500);
    world.commands();
    world.call(3000);
    let (new, _) = world.set_up();
    assert!(world.answered(new));
    world.pass(3000);
    world.commands();
    world.list(&[(1, Phase::InService)], false, started);
    let released = [Command::ForgetAttempt(old), Command::ReleaseCaller(before, ReleaseCause::Dropped)];
    assert_eq!(world.commands(), released);
    assert!(world.engine.is_answered(new));
}

/// Guards against answers that come after the process is killed at a planned stop.
#[test]
fn at_a_planned_stop_every_answer_is_out_by_its_time() {
    let mut world = World::new();
    let one = world.exchange(1);
    let call = world.call(9000);
    world.set_up();
    world.engine.stop(world.now + ms(700), &mut world.timers);
    world.pass(701);
    assert!(
        matches!(world.commands()[..], [Command::CancelAttempt(_), Command::Refuse(c, _)] if c == call)
    );
    assert_eq!((world.engine.unanswered_calls(), world.engine.name(one)), (0, "s-1"));
}

/// Guards against a call that waits out its time for an answer that was lost: set-ups sent later have theirs. It
/// is given up and sent again after the wait for release; one that the others have not passed waits on.
#[test]
fn a_set_up_that_later_ones_overtake_is_sent_again() {
    let mut world = World::new();
    let late_call = world.call(3000);
    let (late, _) = world.set_up();
    for n in 1..=4 {
        world.pass(30);
        let call = world.call(3000);
        let (attempt, _) = world.set_up();
        world.pass(20);
        assert!(world.answered(attempt));
        let said = world.commands();
        assert_eq!(said[0], Command::Answer(call, "d".to_owned()));
        assert_eq!(said[1..].contains(&Command::CancelAttempt(late)), n == 4, "{said:?}");
    }
    world.pass(490);
    assert_eq!(world.commands(), [], "within the wait for release");
    world.pass(30);
    let (again, _) = world.set_up();
    assert!(!world.answered(late));
    assert!(world.answered(again));
    assert_eq!(world.commands(), [Command::Answer(late_call, "d".to_owned())]);
}

/// Guards against memory that grows with every exchange that is replaced for good.
#[test]
fn exchanges_that_are_gone_are_forgotten_once_nothing_is_out_there() {
    let mut world = World::new();
    let (attempt, _) = {
        world.call(3000);
        world.set_up()
    };
    world.list(&[(1, Phase::Gone)], false, ms(0));
    world.engine.remove_gone();
    assert_eq!(world.engine.known_exchanges(), 3, "one is out there");
    world.ended(attempt, EndReason::PeerClosed);
    for n in 10..200 {
        world.list(&[(n, Phase::InService)], false, ms(0));
        assert!(world.engine.exchange(&format!("s-{n}")).is_some());
        world.list(&[(n, Phase::Gone)], false, ms(0));
        world.engine.remove_gone();
    }
    assert_eq!(world.engine.known_exchanges(), 2);
    world.list(&[(0, Phase::InService)], true, ms(0));
    world.engine.remove_gone();
    assert_eq!(world.engine.known_exchanges(), 1, "a whole list names all there are");
}

/// Guards against calls that are cut at once although they may stand, since dials failed, set-ups had no answer or
/// connections were reset: only a refused connection with none open proves that the process is down.
#[test]
fn nothing_but_a_refused_connection_cuts_what_stands_at_once() {
    let first = Incarnation::default();
    let adverse = [
        FailureSign::DialFailed,
        FailureSign::Unanswered(9, first),
        FailureSign::Reset,
        FailureSign::AllReset(first),
        FailureSign::MissedReports(first),
        FailureSign::CheckFailed,
    ];
    for observation in adverse.map(Some).into_iter().chain([None]) {
        let mut world = World::new();
        let call = world.call(3000);
        let (attempt, exchange) = world.set_up();
        assert!(world.answered(attempt));
        world.commands();
        match observation {
            Some(observation) => world.engine.record_failure_sign(world.now, exchange, observation),
            None => world.engine.connection_refused(world.now, exchange, &mut world.timers),
        }
        world.pass(100);
        let released = world.commands().contains(&Command::ReleaseCaller(call, ReleaseCause::Dropped));
        assert_eq!(released, observation.is_none(), "{observation:?}");
    }
}
