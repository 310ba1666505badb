//! Invariants over random valid events: each call gets exactly one final answer by its deadline and has at most one
//! pending set-up; set-ups wait for the release delay, time out by the deadline, and go only to exchanges in service,
//! never to the local one. Invalid events must cause no panic, and the same events must give the same actions. There is
//! no model of a network: only the actions of the controller are checked.

use crate::common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use slateshed::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// A random step: the kind of event, a selector of its subject, and the time since the step before.
type Step = (u8, u16, u16);

/// What the checker knows of a call without a final answer.
#[derive(Default)]
struct OpenCall {
    attempts: u32,
    pending: Option<ExchangeId>,
    deadline: Duration,
    no_set_up_before: Duration,
    established: bool,
}

/// Passes events to a controller and checks its actions against the rules above.
struct RuleChecker {
    host: Host,
    open_calls: BTreeMap<CallId, OpenCall>,
    timers: Vec<(Duration, TimerId)>,
    in_service: [bool; 4],
    final_answers: Vec<CallId>,
}

impl RuleChecker {
    fn new(settings: Settings) -> Self {
        RuleChecker {
            host: Host::new(settings),
            open_calls: BTreeMap::new(),
            timers: Vec::new(),
            in_service: [true; 4],
            final_answers: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.host.handle(event);
        self.check(actions);
    }

    /// Checks every action against the rules.
    fn check(&mut self, actions: Vec<Action>) {
        let now = self.host.now;
        for action in actions {
            match action {
                Action::SetUp { call, exchange, timeout } => {
                    let open_call = self
                        .open_calls
                        .get_mut(&call)
                        .expect("a set-up for a call that has had its final answer");
                    assert!(
                        open_call.pending.is_none() && !open_call.established,
                        "a set-up while another is pending or the call is established"
                    );
                    assert!(
                        now >= open_call.no_set_up_before,
                        "a set-up before the end of the release delay"
                    );
                    assert!(
                        now + timeout <= open_call.deadline,
                        "the timeout of the set-up exceeds the patience"
                    );
                    let number = exchange.0 as usize - 10;
                    assert!(
                        number != 0 && self.in_service[number],
                        "a set-up to the local exchange or to one that is not in service"
                    );
                    open_call.pending = Some(exchange);
                    open_call.attempts += 1;
                }
                Action::Refuse { call, .. } | Action::Fail(call) => {
                    let open_call = self.open_calls.remove(&call).expect("a second final answer");
                    assert!(
                        open_call.pending.is_none()
                            && !open_call.established
                            && now <= open_call.deadline
                    );
                    self.final_answers.push(call);
                }
                Action::SetTimer { timer, after } => self.timers.push((now + after, timer)),
                Action::Subscribe => {}
            }
        }
    }

    /// Advances the clock. Timers fall due on the way, and pending attempts time out at the deadline of their
    /// caller.
    fn advance(&mut self, to: Duration) {
        loop {
            let timer = self.timers.iter().min().copied();
            let deadlines = self.open_calls.iter().filter(|(_, o)| o.pending.is_some());
            let next_deadline = deadlines.map(|(c, o)| (o.deadline, *c)).min();
            match (timer, next_deadline) {
                (Some((t, id)), l) if t <= to && l.is_none_or(|(d, _)| t <= d) => {
                    self.host.now = self.host.now.max(t);
                    self.timers.retain(|(_, other)| *other != id);
                    self.handle(Event::Timer(id));
                }
                (_, Some((d, call))) if d <= to => {
                    self.host.now = self.host.now.max(d);
                    self.end_attempt(call, Outcome::TimedOut);
                }
                _ => break,
            }
            for (call, open_call) in &self.open_calls {
                let in_time = open_call.established || self.host.now <= open_call.deadline;
                assert!(in_time, "{call:?} has no final answer at its deadline");
            }
        }
        self.host.now = to;
    }

    fn end_attempt(&mut self, call: CallId, outcome: Outcome) {
        let open_call = self.open_calls.get_mut(&call).expect("the call is open");
        open_call.pending = None;
        if matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Disconnected | Outcome::Cancelled
        ) {
            open_call.no_set_up_before = self.host.now + ms(500);
        }
        let end = AttemptEnd {
            call,
            attempt: open_call.attempts - 1,
            delay: ms(100),
            outcome,
            call_ended: false,
        };
        self.handle(Event::AttemptEnded(end));
    }

    /// The `n`th open call, wrapping around, that is not established and has or has no pending attempt.
    fn pick_call(&self, n: u16, pending: bool) -> Option<CallId> {
        let matches_state = |o: &OpenCall| !o.established && (o.pending.is_some() == pending);
        let calls: Vec<CallId> =
            self.open_calls.iter().filter(|(_, o)| matches_state(o)).map(|(c, _)| *c).collect();
        (!calls.is_empty()).then(|| calls[n as usize % calls.len()])
    }

    fn step(&mut self, (kind, selector, gap): Step) {
        self.advance(self.host.now + ms(u64::from(gap % 300)));
        let number = u32::from(selector % 3) + 1;
        match kind % 9 {
            0..=2 => {
                let mut new = self.host.new_call(number);
                new.patience = ms(20 + u64::from(selector % 4000));
                if kind % 9 == 2 {
                    new.origin = Origin::Transit;
                }
                let deadline = self.host.now + new.patience;
                let open_call = OpenCall { deadline, ..OpenCall::default() };
                self.open_calls.insert(new.call, open_call);
                self.handle(Event::Call(new));
            }
            3 => {
                if let Some(call) = self.pick_call(selector, true) {
                    let open_call = self.open_calls.get_mut(&call).expect("the picked call is open");
                    open_call.established = true;
                    let attempt = open_call.attempts - 1;
                    self.handle(Event::Answered { call, attempt, delay: ms(100) });
                }
            }
            4 | 5 => {
                use Outcome::*;
                let all = [
                    NoCircuit,
                    TandemRefused,
                    ProcessorFull(None),
                    TimedOut,
                    Reset,
                    Disconnected,
                    Cancelled,
                    Unreachable,
                    Fault,
                ];
                if let Some(call) = self.pick_call(selector, true) {
                    self.end_attempt(call, all[selector as usize % all.len()]);
                }
            }
            6 => {
                if let Some(call) = self.pick_call(selector, false) {
                    self.open_calls.remove(&call);
                    self.handle(Event::CallerAbandoned(call));
                }
            }
            7 if selector % 8 == 7 => {
                // All exchanges restart at once.
                self.in_service = [true; 4];
                for phase in [Phase::Gone, Phase::InService] {
                    (1..4).for_each(|n| self.host.update_entry(n, phase, self.host.now));
                }
            }
            7 => {
                let phase = [Phase::InService, Phase::Draining, Phase::Gone][selector as usize / 3 % 3];
                self.in_service[number as usize] = phase == Phase::InService;
                let started_at = if selector % 2 == 0 { self.host.now } else { Duration::ZERO };
                self.host.update_entry(number, phase, started_at);
            }
            _ => self.host.set_free_circuits(number, u32::from(selector % 7)),
        }
    }
}

fn arbitrary_list(selector: u16) -> ListUpdate {
    match selector % 12 {
        0 => ListUpdate::Full(vec![]),
        1 => ListUpdate::Delta(vec![]),
        2..=4 => ListUpdate::Delta(vec![entry(1, Phase::InService, Duration::MAX)]),
        5 => ListUpdate::Failed,
        n => ListUpdate::Delta(vec![entry(u32::from(n % 4), Phase::InService, Duration::ZERO)]),
    }
}

fn runner() -> TestRunner {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    proptest::collection::vec(any::<Step>(), 1..150)
}

fn assert_rules_hold(settings: Settings) {
    runner()
        .run(&steps(), |steps| {
            let mut checker = RuleChecker::new(settings.clone());
            for step in steps {
                checker.step(step);
            }
            checker.advance(checker.host.now + ms(10_000));
            assert!(checker.open_calls.values().all(|o| o.established), "a call has no final answer");
            Ok(())
        })
        .unwrap();
}

/// Guards against breaches of the rules that only an unusual order of events brings about.
#[test]
fn the_rules_hold_for_valid_events() {
    assert_rules_hold(settings());
}

/// Guards against breaches where the part of one controller in the cold budget, or a quota, is small or zero.
#[test]
fn the_rules_hold_with_many_controllers_and_a_tenant_without_quota() {
    let mut many = settings();
    many.controller_count = 80;
    many.tenant_quota = vec![0.0, 100.0];
    many.over_share_worth = 0.1;
    assert_rules_hold(many);
}

/// Guards against a panic, such as by overflow, on events that are out of order, concern unknown calls or have
/// extreme values.
#[test]
fn invalid_events_cause_no_panic() {
    runner()
        .run(&steps(), |steps| {
            let mut host = Host::new(settings());
            for (kind, selector, gap) in steps {
                host.now = ms(u64::from(gap) * 10);
                let call = CallId(u64::from(selector / 4 % 3));
                let end = AttemptEnd {
                    call,
                    attempt: u32::from(gap).wrapping_sub(3),
                    delay: Duration::MAX,
                    outcome: [Outcome::Ended, Outcome::TimedOut, Outcome::NumberBusy]
                        [selector as usize % 3],
                    call_ended: gap % 2 == 0,
                };
                let mut new = host.new_call(u32::from(selector));
                new.call = call;
                new.class = usize::from(selector % 30 == 0);
                new.patience = if gap % 2 == 0 { Duration::MAX } else { Duration::ZERO };
                new.circuits = if selector % 5 == 0 { u32::MAX } else { 1 };
                new.destination = ExchangeNumber(u32::from(selector % 5));
                host.handle(match kind % 7 {
                    0 => Event::Answered { call, attempt: u32::from(gap % 3), delay: Duration::MAX },
                    1 => Event::AttemptEnded(AttemptEnd { attempt: u32::from(gap % 2), ..end }),
                    2 => Event::AttemptEnded(end),
                    3 => Event::CallerAbandoned(call),
                    4 => Event::Timer(TimerId(u64::from(selector % 30))),
                    5 => Event::List(arbitrary_list(selector)),
                    _ => Event::Call(new),
                });
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against decisions that depend on anything but the events, such as the order of a hash map.
#[test]
fn the_same_events_give_the_same_actions() {
    runner()
        .run(&steps(), |steps| {
            let run = || {
                let mut checker = RuleChecker::new(settings());
                for step in &steps {
                    checker.step(*step);
                }
                (checker.final_answers, checker.host.now)
            };
            assert_eq!(run(), run());
            Ok(())
        })
        .unwrap();
}
