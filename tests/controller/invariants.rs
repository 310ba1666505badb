//! The five rules as invariants over made-up events, legal and illegal. No model of a network: events are
//! drawn at random, and only what the controller answers is checked.

use crate::common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use slateshed::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// A step: what happens (by kind), to whom, and how much later than the step before.
type Step = (u8, u16, u16);

#[derive(Default)]
struct Owed {
    attempts: u32,
    out: Option<ExchangeId>,
    until: Duration,
    not_before: Duration,
    standing: bool,
}

struct World {
    host: Host,
    owed: BTreeMap<CallId, Owed>,
    timers: Vec<(Duration, TimerId)>,
    in_service: [bool; 4],
    answered: Vec<CallId>,
}

impl World {
    fn new(settings: Settings) -> Self {
        World {
            host: Host::new(settings),
            owed: BTreeMap::new(),
            timers: Vec::new(),
            in_service: [true; 4],
            answered: Vec::new(),
        }
    }

    fn tell(&mut self, event: Event) {
        let actions = self.host.tell(event);
        self.check(actions);
    }

    /// The rules, on every action.
    fn check(&mut self, actions: Vec<Action>) {
        let now = self.host.now;
        for action in actions {
            match action {
                Action::SetUp { call, exchange, timeout } => {
                    let owed = self.owed.get_mut(&call).expect("a call that is owed nothing");
                    assert!(owed.out.is_none() && !owed.standing, "two attempts out");
                    assert!(now >= owed.not_before, "release not awaited");
                    assert!(now + timeout <= owed.until, "an attempt beyond the patience");
                    let number = exchange.0 as usize - 10;
                    assert!(number != 0 && self.in_service[number], "to a drained exchange");
                    owed.out = Some(exchange);
                    owed.attempts += 1;
                }
                Action::Refuse { call, .. } | Action::Fail(call) => {
                    let owed = self.owed.remove(&call).expect("answered twice");
                    assert!(owed.out.is_none() && !owed.standing && now <= owed.until);
                    self.answered.push(call);
                }
                Action::SetTimer { timer, after } => self.timers.push((now + after, timer)),
                Action::Subscribe => {}
            }
        }
    }

    /// Moves the clock, with timers and time-outs of attempts at the caller's deadline on the way.
    fn pass(&mut self, to: Duration) {
        loop {
            let timer = self.timers.iter().min().copied();
            let deadlines = self.owed.iter().filter(|(_, o)| o.out.is_some());
            let late = deadlines.map(|(c, o)| (o.until, *c)).min();
            match (timer, late) {
                (Some((t, id)), l) if t <= to && l.is_none_or(|(d, _)| t <= d) => {
                    self.host.now = self.host.now.max(t);
                    self.timers.retain(|(_, other)| *other != id);
                    self.tell(Event::Timer(id));
                }
                (_, Some((d, call))) if d <= to => {
                    self.host.now = self.host.now.max(d);
                    self.end(call, Outcome::TimedOut);
                }
                _ => break,
            }
            for (call, owed) in &self.owed {
                let fine = owed.standing || self.host.now <= owed.until;
                assert!(fine, "{call:?} is overdue");
            }
        }
        self.host.now = to;
    }

    fn end(&mut self, call: CallId, outcome: Outcome) {
        let owed = self.owed.get_mut(&call).expect("owed");
        owed.out = None;
        if matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Disconnected | Outcome::Cancelled
        ) {
            owed.not_before = self.host.now + ms(500);
        }
        let end =
            AttemptEnd { call, attempt: owed.attempts - 1, delay: ms(100), outcome, call_ended: false };
        self.tell(Event::AttemptEnded(end));
    }

    fn pick(&self, n: u16, out: bool) -> Option<CallId> {
        let of_kind = |o: &Owed| !o.standing && (o.out.is_some() == out);
        let calls: Vec<CallId> = self.owed.iter().filter(|(_, o)| of_kind(o)).map(|(c, _)| *c).collect();
        (!calls.is_empty()).then(|| calls[n as usize % calls.len()])
    }

    fn step(&mut self, (kind, who, gap): Step) {
        self.pass(self.host.now + ms(u64::from(gap % 300)));
        let number = u32::from(who % 3) + 1;
        match kind % 9 {
            0..=2 => {
                let mut new = self.host.new_call(number);
                new.patience = ms(20 + u64::from(who % 4000));
                if kind % 9 == 2 {
                    new.origin = Origin::Transit;
                }
                let until = self.host.now + new.patience;
                let owed = Owed { until, ..Owed::default() };
                self.owed.insert(new.call, owed);
                self.tell(Event::Call(new));
            }
            3 => {
                if let Some(call) = self.pick(who, true) {
                    let owed = self.owed.get_mut(&call).expect("picked");
                    owed.standing = true;
                    let attempt = owed.attempts - 1;
                    self.tell(Event::Answered { call, attempt, delay: ms(100) });
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
                if let Some(call) = self.pick(who, true) {
                    self.end(call, all[who as usize % all.len()]);
                }
            }
            6 => {
                if let Some(call) = self.pick(who, false) {
                    self.owed.remove(&call);
                    self.tell(Event::CallerAbandoned(call));
                }
            }
            7 if who % 8 == 7 => {
                // All restart at once.
                self.in_service = [true; 4];
                for phase in [Phase::Gone, Phase::InService] {
                    (1..4).for_each(|n| self.host.change(n, phase, self.host.now));
                }
            }
            7 => {
                let phase = [Phase::InService, Phase::Draining, Phase::Gone][who as usize / 3 % 3];
                self.in_service[number as usize] = phase == Phase::InService;
                let started_at = if who % 2 == 0 { self.host.now } else { Duration::ZERO };
                self.host.change(number, phase, started_at);
            }
            _ => self.host.circuits(number, u32::from(who % 7)),
        }
    }
}

fn odd_list(who: u16) -> ListUpdate {
    match who % 12 {
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

fn rules_hold(settings: Settings) {
    runner()
        .run(&steps(), |steps| {
            let mut world = World::new(settings.clone());
            for step in steps {
                world.step(step);
            }
            world.pass(world.host.now + ms(10_000));
            assert!(world.owed.values().all(|o| o.standing), "a call was lost");
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_rules_hold_over_legal_events() {
    rules_hold(settings());
}

#[test]
fn the_rules_hold_with_many_siblings_and_tenants_without_quota() {
    let mut many = settings();
    many.controller_count = 80;
    many.tenant_quota = vec![0.0, 100.0];
    many.over_share_worth = 0.1;
    rules_hold(many);
}

#[test]
fn no_events_however_odd_make_it_panic_and_none_move_it_backwards() {
    runner()
        .run(&steps(), |steps| {
            let mut host = Host::new(settings());
            for (kind, who, gap) in steps {
                host.now = ms(u64::from(gap) * 10);
                let call = CallId(u64::from(who / 4 % 3));
                let end = AttemptEnd {
                    call,
                    attempt: u32::from(gap).wrapping_sub(3),
                    delay: Duration::MAX,
                    outcome: [Outcome::Ended, Outcome::TimedOut, Outcome::NumberBusy][who as usize % 3],
                    call_ended: gap % 2 == 0,
                };
                let mut new = host.new_call(u32::from(who));
                new.call = call;
                new.class = usize::from(who % 30 == 0);
                new.patience = if gap % 2 == 0 { Duration::MAX } else { Duration::ZERO };
                new.circuits = if who % 5 == 0 { u32::MAX } else { 1 };
                new.destination = ExchangeNumber(u32::from(who % 5));
                host.tell(match kind % 7 {
                    0 => Event::Answered { call, attempt: u32::from(gap % 3), delay: Duration::MAX },
                    1 => Event::AttemptEnded(AttemptEnd { attempt: u32::from(gap % 2), ..end }),
                    2 => Event::AttemptEnded(end),
                    3 => Event::CallerAbandoned(call),
                    4 => Event::Timer(TimerId(u64::from(who % 30))),
                    5 => Event::List(odd_list(who)),
                    _ => Event::Call(new),
                });
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_same_events_give_the_same_actions() {
    runner()
        .run(&steps(), |steps| {
            let run = || {
                let mut world = World::new(settings());
                for step in &steps {
                    world.step(*step);
                }
                (world.answered, world.host.now)
            };
            assert_eq!(run(), run());
            Ok(())
        })
        .unwrap();
}
