//! Tests of the engine without sockets and on a simulated clock: the guarantees that hold for calls from any front,
//! whatever events arrive.

mod common;

use slateshed::*;
use slateshed_node::end::EndReason;
use slateshed_node::engine::*;
use slateshed_node::liveness::{FailureSign, Incarnation};
use slateshed_node::timers::TimerQueue;
use std::time::Duration;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// An engine, its timers, and a clock that the test advances.
struct EngineHarness {
    engine: Engine,
    now: Duration,
    timers: TimerQueue<EngineTimer>,
}

impl EngineHarness {
    /// Lists three exchanges in service; the local exchange is number 0.
    fn new() -> Self {
        let settings =
            slateshed_settings::parse_json(common::SETTINGS, 16).expect("the settings are JSON");
        let settings = slateshed_settings::parse_settings(&settings).expect("the settings are complete");
        let engine = Engine::new(settings, 7).expect("the settings are valid");
        let mut harness = EngineHarness { engine, now: ms(1_000_000), timers: TimerQueue::default() };
        harness.update_list(
            &[(0, Phase::InService), (1, Phase::InService), (2, Phase::InService)],
            true,
            ms(0),
        );
        harness
    }

    /// Applies an update of the list. `full`: it names all exchanges, not only the changed ones.
    fn update_list(&mut self, entries: &[(u32, Phase)], full: bool, started_at: Duration) {
        let to_entry = |(number, phase): &(u32, Phase)| NamedEntry {
            name: format!("s-{number}"),
            number: ExchangeNumber(*number),
            zone: 0,
            phase: *phase,
            started_at,
        };
        let entries: Vec<_> = entries.iter().map(to_entry).collect();
        self.engine.update_list(self.now, full, &entries, &mut self.timers);
    }

    fn exchange(&self, number: u32) -> ExchangeId {
        self.engine.exchange_id(&format!("s-{number}")).expect("the exchange is listed")
    }

    /// Starts a call to exchange 1 whose caller waits this long for an answer.
    fn new_call(&mut self, time_limit_ms: u64) -> CallToken {
        let info = common::incoming_call(ms(time_limit_ms));
        self.engine.new_call(self.now, info, &mut self.timers)
    }

    /// Advances the clock, and runs each timer at its due time.
    fn advance(&mut self, duration_ms: u64) {
        let end = self.now + ms(duration_ms);
        while let Some(at) = self.timers.next_due().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            while let Some(timer) = self.timers.pop_due(self.now) {
                self.engine.timer_due(self.now, timer, &mut self.timers);
            }
        }
        self.now = end;
    }

    fn take_commands(&mut self) -> Vec<Command> {
        std::iter::from_fn(|| self.engine.next_command()).collect()
    }

    /// Takes the pending commands, which have to be one set-up and nothing else.
    fn expect_only_set_up(&mut self) -> (AttemptToken, ExchangeId) {
        match self.take_commands()[..] {
            [Command::SetUp { attempt, exchange, .. }] => (attempt, exchange),
            ref other => panic!("expected one set-up and no other command: {other:?}"),
        }
    }

    fn answer_attempt(&mut self, attempt: AttemptToken) -> bool {
        self.engine.answered(self.now, attempt, None, "d".to_owned(), &mut self.timers)
    }

    fn end_attempt(&mut self, attempt: AttemptToken, end: EndReason) {
        self.engine.attempt_ended(self.now, attempt, end, &mut self.timers);
    }
}

/// Guards against a second final answer to the caller, caused by an event that arrives late, for an attempt that has
/// already ended.
#[test]
fn call_gets_only_one_final_answer() {
    let mut harness = EngineHarness::new();
    let call = harness.new_call(900);
    let (attempt, _) = harness.expect_only_set_up();
    harness.advance(900);
    let commands = harness.take_commands();
    assert!(
        matches!(commands[..], [Command::CancelAttempt(a), Command::Refuse(c, Some(_))] if (a, c) == (attempt, call))
    );
    assert!(!harness.answer_attempt(attempt));
    harness.end_attempt(attempt, EndReason::Dropped);
    harness.engine.caller_ended(harness.now, call, &mut harness.timers);
    harness.advance(10_000);
    assert_eq!(harness.take_commands(), []);
    assert_eq!((harness.engine.unanswered_calls(), harness.engine.established_calls()), (0, 0));
}

/// Guards against an answered call that is ended by the time limit of its set-up, is answered twice, or is released
/// twice.
#[test]
fn answered_call_outlives_its_set_up_deadline_and_is_released_once() {
    let mut harness = EngineHarness::new();
    let call = harness.new_call(900);
    let (attempt, _) = harness.expect_only_set_up();
    assert!(harness.answer_attempt(attempt));
    assert!(!harness.answer_attempt(attempt), "answered twice");
    harness.advance(60_000);
    assert_eq!(harness.take_commands(), [Command::Answer(call, "d".to_owned())]);
    harness.end_attempt(attempt, EndReason::Ended);
    harness.end_attempt(attempt, EndReason::Dropped);
    assert_eq!(harness.take_commands(), [Command::ReleaseCaller(call, ReleaseCause::Normal)]);
}

/// Guards against two attempts in flight for one call, and against a retry within 500 ms of a dropped attempt.
#[test]
fn dropped_call_is_retried_once_and_only_after_the_release_delay() {
    let mut harness = EngineHarness::new();
    let direct = harness.exchange(1);
    harness.engine.update_circuits(harness.now, direct, (0, 9), &mut harness.timers);
    harness.new_call(3000);
    let (attempt, tandem) = harness.expect_only_set_up();
    assert_ne!(tandem, direct, "sent on the direct route, where no circuit is free");
    harness.advance(100);
    harness.end_attempt(attempt, EndReason::Dropped);
    harness.engine.update_circuits(harness.now, direct, (9, 9), &mut harness.timers);
    harness.advance(499);
    assert_eq!(harness.take_commands(), []);
    harness.advance(60);
    assert_eq!(harness.expect_only_set_up().1, direct);
}

/// Guards against set-ups sent to a draining exchange, and against calls there that are released before the exchange
/// is gone.
#[test]
fn draining_exchange_gets_no_new_calls_and_keeps_its_calls_until_it_is_gone() {
    let mut harness = EngineHarness::new();
    let call = harness.new_call(3000);
    let (attempt, _) = harness.expect_only_set_up();
    assert!(harness.answer_attempt(attempt));
    harness.update_list(&[(1, Phase::Draining)], false, ms(0));
    let refused_call = harness.new_call(3000);
    harness.advance(3000);
    assert!(
        matches!(harness.take_commands()[..], [Command::Answer(..), Command::Refuse(c, _)] if c == refused_call)
    );
    harness.update_list(&[(1, Phase::Gone)], false, ms(0));
    let released =
        [Command::DiscardAttempt(attempt), Command::ReleaseCaller(call, ReleaseCause::Dropped)];
    assert_eq!(harness.take_commands(), released);
}

/// Guards against calls that stay established although the exchange process that held them is dead. The three failures:
/// it refuses connections, the list reports a later start, or a dial fails and it stays silent.
#[test]
fn calls_at_a_dead_exchange_are_released() {
    for failure in 0..3 {
        let mut harness = EngineHarness::new();
        let call = harness.new_call(3000);
        let (attempt, exchange) = harness.expect_only_set_up();
        assert!(harness.answer_attempt(attempt));
        harness.take_commands();
        match failure {
            0 => harness.engine.connection_refused(harness.now, exchange, &mut harness.timers),
            1 => harness.update_list(&[(1, Phase::InService)], false, harness.now),
            _ => {
                harness.engine.record_failure_sign(harness.now, exchange, FailureSign::DialFailed);
                harness.advance(7000);
                assert_eq!(
                    harness.take_commands(),
                    [],
                    "released while the process may still come back"
                );
                harness.advance(500);
            }
        }
        // A silent process may still be alive, so the controller also sends it a release.
        let exchange_command = match failure {
            0 | 1 => Command::DiscardAttempt(attempt),
            _ => Command::ReleaseExchange(attempt, ReleaseCause::Dropped),
        };
        assert_eq!(
            harness.take_commands(),
            [exchange_command, Command::ReleaseCaller(call, ReleaseCause::Dropped)],
            "failure {failure}"
        );
    }
}

/// Guards against releasing calls that a restarted exchange process has answered itself, when the list reports the
/// restart only after those answers.
#[test]
fn late_report_of_a_restart_releases_only_calls_before_the_restart() {
    let mut harness = EngineHarness::new();
    let old_call = harness.new_call(3000);
    let (old_attempt, _) = harness.expect_only_set_up();
    assert!(harness.answer_attempt(old_attempt));
    harness.advance(500);
    let restarted_at = harness.now;
    harness.advance(500);
    harness.take_commands();
    harness.new_call(3000);
    let (new_attempt, _) = harness.expect_only_set_up();
    assert!(harness.answer_attempt(new_attempt));
    harness.advance(3000);
    harness.take_commands();
    harness.update_list(&[(1, Phase::InService)], false, restarted_at);
    let released =
        [Command::DiscardAttempt(old_attempt), Command::ReleaseCaller(old_call, ReleaseCause::Dropped)];
    assert_eq!(harness.take_commands(), released);
    assert!(harness.engine.is_answered(new_attempt));
}

/// Guards against answers that are not sent before the process is killed at the end of a graceful shutdown.
#[test]
fn graceful_shutdown_answers_every_call_by_its_deadline() {
    let mut harness = EngineHarness::new();
    let exchange = harness.exchange(1);
    let call = harness.new_call(9000);
    harness.expect_only_set_up();
    harness.engine.begin_shutdown(harness.now + ms(700), &mut harness.timers);
    harness.advance(701);
    assert!(
        matches!(harness.take_commands()[..], [Command::CancelAttempt(_), Command::Refuse(c, _)] if c == call)
    );
    assert_eq!((harness.engine.unanswered_calls(), harness.engine.exchange_name(exchange)), (0, "s-1"));
}

/// Guards against a call that waits for a lost answer until its time is used up, although set-ups that were sent later
/// have been answered. After four of these the attempt is cancelled, and the call is retried after the release delay;
/// with fewer the attempt goes on.
#[test]
fn set_up_overtaken_by_later_ones_is_cancelled_and_retried() {
    let mut harness = EngineHarness::new();
    let slow_call = harness.new_call(3000);
    let (slow_attempt, _) = harness.expect_only_set_up();
    for answered_count in 1..=4 {
        harness.advance(30);
        let call = harness.new_call(3000);
        let (attempt, _) = harness.expect_only_set_up();
        harness.advance(20);
        assert!(harness.answer_attempt(attempt));
        let commands = harness.take_commands();
        assert_eq!(commands[0], Command::Answer(call, "d".to_owned()));
        assert_eq!(
            commands[1..].contains(&Command::CancelAttempt(slow_attempt)),
            answered_count == 4,
            "{commands:?}"
        );
    }
    harness.advance(490);
    assert_eq!(harness.take_commands(), [], "retried within the release delay");
    harness.advance(30);
    let (retried_attempt, _) = harness.expect_only_set_up();
    assert!(!harness.answer_attempt(slow_attempt));
    assert!(harness.answer_attempt(retried_attempt));
    assert_eq!(harness.take_commands(), [Command::Answer(slow_call, "d".to_owned())]);
}

/// Guards against a memory leak: each exchange that is permanently replaced leaves an entry behind. A pending attempt
/// there is cancelled, so that it keeps no entry either.
#[test]
fn gone_exchanges_are_removed_and_their_attempts_cancelled() {
    let mut harness = EngineHarness::new();
    let (attempt, _) = {
        harness.new_call(3000);
        harness.expect_only_set_up()
    };
    harness.update_list(&[(1, Phase::Gone)], false, ms(0));
    harness.engine.remove_gone();
    assert!(
        matches!(harness.take_commands()[..], [Command::CancelAttempt(a), Command::Refuse(..)] if a == attempt)
    );
    assert_eq!(harness.engine.tracked_exchanges(), 2, "a gone exchange is kept");
    harness.end_attempt(attempt, EndReason::PeerClosed);
    for number in 10..200 {
        harness.update_list(&[(number, Phase::InService)], false, ms(0));
        assert!(harness.engine.exchange_id(&format!("s-{number}")).is_some());
        harness.update_list(&[(number, Phase::Gone)], false, ms(0));
        harness.engine.remove_gone();
    }
    assert_eq!(harness.engine.tracked_exchanges(), 2);
    harness.update_list(&[(0, Phase::InService)], true, ms(0));
    harness.engine.remove_gone();
    assert_eq!(
        harness.engine.tracked_exchanges(),
        1,
        "an exchange missing from a full list was not removed"
    );
}

/// Guards against calls that are released at once, although they may still be established, because a dial failed, a
/// set-up had no answer, a connection was reset, a report was missed or a check failed. Only a refused connection while
/// none is open proves that the process is down.
#[test]
fn only_a_refused_connection_releases_established_calls_at_once() {
    let first = Incarnation::default();
    let signs = [
        FailureSign::DialFailed,
        FailureSign::Unanswered(9, first),
        FailureSign::Reset,
        FailureSign::AllReset(first),
        FailureSign::MissedReports(first),
        FailureSign::CheckFailed,
    ];
    for sign in signs.map(Some).into_iter().chain([None]) {
        let mut harness = EngineHarness::new();
        let call = harness.new_call(3000);
        let (attempt, exchange) = harness.expect_only_set_up();
        assert!(harness.answer_attempt(attempt));
        harness.take_commands();
        match sign {
            Some(sign) => harness.engine.record_failure_sign(harness.now, exchange, sign),
            None => harness.engine.connection_refused(harness.now, exchange, &mut harness.timers),
        }
        harness.advance(100);
        let released =
            harness.take_commands().contains(&Command::ReleaseCaller(call, ReleaseCause::Dropped));
        assert_eq!(released, sign.is_none(), "{sign:?}");
    }
}

/// Guards against calls that a replaced process cuts at its end because a check of a live exchange is not finished.
#[test]
fn replaced_process_releases_calls_at_a_superseded_process_only_after_its_silence() {
    let mut harness = EngineHarness::new();
    let exchange = harness.exchange(1);
    let old = harness.engine.connected(harness.now, exchange);
    harness.new_call(3000);
    let (attempt, _) = harness.expect_only_set_up();
    assert!(harness.answer_attempt(attempt));
    harness.take_commands();
    harness.engine.record_failure_sign(harness.now, exchange, FailureSign::AllReset(old));
    harness.now += ms(1);
    assert_ne!(harness.engine.connected(harness.now, exchange), old);
    harness.engine.release_superseded(harness.now, &mut harness.timers);
    assert_eq!(harness.take_commands(), [], "the call is cut");
    harness.now += ms(3000);
    harness.engine.release_superseded(harness.now, &mut harness.timers);
    let commands = harness.take_commands();
    assert!(commands.iter().any(|c| matches!(c, Command::ReleaseCaller(..))), "{commands:?}");
}

/// Guards against a flood of calls that are given up at once and whose timers fill the memory until they are due.
#[test]
fn timers_of_ended_calls_are_cancelled() {
    let mut harness = EngineHarness::new();
    for _ in 0..100 {
        let call = harness.new_call(9000);
        harness.engine.caller_ended(harness.now, call, &mut harness.timers);
    }
    let timers = std::iter::from_fn(|| harness.timers.pop_due(Duration::MAX));
    let of_calls = timers.filter(|timer| !matches!(timer, EngineTimer::Controller(_)));
    assert_eq!(of_calls.count(), 0);
}
