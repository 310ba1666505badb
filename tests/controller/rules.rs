//! One test per rule: each fails without the guard it names.

use crate::common::*;
use slateshed::*;
use std::time::Duration;

#[test]
fn a_call_that_timed_out_at_its_deadline_is_answered_at_once() {
    let mut host = Host::new(settings());
    let mut new = host.new_call(1);
    new.patience = ms(800);
    let call = new.call;
    host.tell(Event::Call(new));
    host.now += ms(800);
    assert!(refused(&host.over(call, 0, Outcome::TimedOut)));
    assert!(host.over(call, 0, Outcome::TimedOut).is_empty(), "answered twice");
}

#[test]
fn a_set_up_never_outlives_the_patience() {
    let mut host = Host::new(settings());
    let mut new = host.new_call(1);
    new.patience = ms(700);
    let actions = host.tell(Event::Call(new));
    assert!(matches!(actions[..], [Action::SetUp { timeout, .. }] if timeout <= ms(700)));
}

#[test]
fn a_wait_for_release_that_would_outlive_the_patience_is_refused() {
    let mut host = Host::new(settings());
    host.circuits(1, 0);
    let mut new = host.new_call(1);
    new.patience = ms(900);
    let call = new.call;
    let actions = host.tell(Event::Call(new));
    assert!(sent_to(&actions).is_some_and(|e| e != far(1)), "over a tandem");
    host.now += ms(600);
    assert!(refused(&host.over(call, 0, Outcome::TimedOut)));
}

#[test]
fn a_transit_call_gets_its_one_answer_too() {
    let mut host = Host::new(settings());
    let mut new = host.new_call(1);
    new.origin = Origin::Transit;
    let call = new.call;
    assert_eq!(sent_to(&host.tell(Event::Call(new))), Some(far(1)));
    host.now += ms(1500);
    assert!(refused(&host.over(call, 0, Outcome::TimedOut)));
    assert!(host.tell(Event::CallerAbandoned(call)).is_empty());
}

#[test]
fn no_second_attempt_while_one_is_out() {
    let mut host = Host::new(settings());
    let (call, actions) = host.call(1);
    assert!(sent_to(&actions).is_some());
    let repeated = NewCall { call, ..host.new_call(1) };
    assert!(host.tell(Event::Call(repeated)).is_empty());
    assert!(host.over(call, 7, Outcome::NoCircuit).is_empty(), "no such attempt");
}

#[test]
fn nothing_new_goes_to_an_exchange_told_to_drain_or_gone() {
    for phase in [Phase::Draining, Phase::Gone] {
        let mut host = Host::new(settings());
        host.change(1, phase, Duration::ZERO);
        assert!(refused(&host.call(1).1));
        host.circuits(2, 0);
        assert_eq!(sent_to(&host.call(2).1), Some(far(3)), "not over the one that drains");
    }
}

#[test]
fn one_missing_from_a_whole_list_is_gone() {
    let mut host = Host::new(settings());
    let list = [0, 2, 3].map(|n| entry(n, Phase::InService, Duration::ZERO));
    host.tell(Event::List(ListUpdate::Full(list.to_vec())));
    assert!(refused(&host.call(1).1));
}

fn sends_in_a_window(host: &mut Host, transit: bool) -> usize {
    let sends = (0..60).filter(|_| {
        let mut new = host.new_call(1);
        if transit {
            new.origin = Origin::Transit;
        }
        let call = new.call;
        let sent = sent_to(&host.tell(Event::Call(new))).is_some();
        host.now += ms(10);
        host.stands(call, 0, ms(10));
        host.circuits(1, 30);
        sent
    });
    sends.count()
}

#[test]
fn a_cold_exchange_gets_no_more_than_this_part_of_its_budget() {
    for transit in [false, true] {
        let mut host = Host::new(settings());
        host.answer_calls(2, 100, ms(50), ms(50));
        // Ten calls a second: 2.5 x 0.35 x 16 a second / 4 controllers is 3.5 a second, and the burst adds to it.
        let now = host.now;
        host.change(1, Phase::InService, now);
        let sent = sends_in_a_window(&mut host, transit);
        assert!((1..=5).contains(&sent), "{sent} set-ups to a cold exchange in 0.6 s");
        host.now += ms(14_000);
        assert!(sends_in_a_window(&mut host, transit) > 20, "warm again");
    }
}

/// One of several controllers that all want to reach exchange 1: it carries ten calls a second to
/// exchange 2, and is offered more than it can place.
struct Pressed {
    host: Host,
    timers: Vec<(Duration, TimerId)>,
    answers: Vec<(Duration, CallId)>,
}

impl Pressed {
    fn new(controller_count: u32, controller_index: u32) -> Self {
        let mut host = Host::new(Settings { controller_count, controller_index, ..settings() });
        host.answer_calls(2, 100, ms(50), ms(50));
        Pressed { host, timers: vec![], answers: vec![] }
    }

    /// Hands in an event; counts the set-ups to exchange 1, which stand after 100 ms.
    fn tell(&mut self, event: Event) -> usize {
        let now = self.host.now;
        let actions = self.host.tell(event);
        let mut sends = 0;
        for action in actions {
            match action {
                Action::SetTimer { timer, after } => self.timers.push((now + after, timer)),
                Action::SetUp { call, exchange, .. } => {
                    sends += usize::from(exchange == far(1));
                    self.answers.push((now + ms(100), call));
                }
                _ => {}
            }
        }
        sends
    }

    /// Ten more milliseconds, with a further call to `destination` where one comes.
    fn step(&mut self, destination: Option<u32>, origin: Origin) -> usize {
        self.host.now += ms(10);
        let now = self.host.now;
        let mut sends = 0;
        if let Some(destination) = destination {
            let new = NewCall { origin, ..self.host.new_call(destination) };
            sends += self.tell(Event::Call(new));
        }
        for n in 1..4 {
            self.host.circuits(n, 30);
        }
        let (due, later) = self.timers.drain(..).partition(|(at, _)| *at <= now);
        self.timers = later;
        let due: Vec<(Duration, TimerId)> = due;
        sends += due.into_iter().map(|(_, timer)| self.tell(Event::Timer(timer))).sum::<usize>();
        let (due, later) = self.answers.drain(..).partition(|(at, _)| *at <= now);
        self.answers = later;
        let due: Vec<(Duration, CallId)> = due;
        let stand =
            due.into_iter().map(|(_, call)| Event::Answered { call, attempt: 0, delay: ms(100) });
        sends + stand.map(|event| self.tell(event)).sum::<usize>()
    }
}

/// Guards against what siblings do together on the news of a start: each holds calls, and each alone
/// would keep to a part of which the sum is far too much. An exchange originates ten calls a second here
/// and ends as many; at four fifths of what it can do that makes twenty-five set-ups.
#[test]
fn what_all_siblings_send_a_cold_exchange_stays_within_its_budget_in_every_window() {
    for (siblings, origin) in
        [4, 30, 90].into_iter().flat_map(|n| [(n, Origin::Subscriber), (n, Origin::Transit)])
    {
        let mut all: Vec<_> = (0..siblings).map(|n| Pressed::new(siblings, n)).collect();
        let rules = settings().rules;
        let most = (rules.overload_multiple * rules.cold_capacity_ratio * 25.0).floor() as usize;
        // Overload: thirty calls a second for exchange 1 while it is out of service, ten others.
        let call = |t: u64| match t % 10 {
            0 | 3 | 6 => Some(1),
            8 => Some(2),
            _ => None,
        };
        all.iter_mut().for_each(|p| p.host.change(1, Phase::Gone, Duration::ZERO));
        for t in 0..200 {
            all.iter_mut().for_each(|p| {
                p.step(call(t), Origin::Redial);
            });
        }
        let start = all[0].host.now;
        all.iter_mut().for_each(|p| p.host.change(1, Phase::InService, start));
        let steps = rules.warm_up_time.as_millis() as u64 / 10 - 1;
        let sent: Vec<usize> = (0..steps)
            .map(|t| {
                let call = call(t).filter(|to| *to == 1);
                all.iter_mut().map(|p| p.step(call, origin)).sum()
            })
            .collect();
        let window = rules.overload_window.as_millis() as usize / 10;
        let worst = sent.windows(window).map(|w| w.iter().sum::<usize>()).max().unwrap_or(0);
        assert!(worst <= most, "{siblings} siblings sent {worst} set-ups in a window, {most} at most");
        assert!(sent.iter().sum::<usize>() > 14 * most / 4, "{siblings} siblings leave it idle");
    }
}

#[test]
fn the_release_is_awaited_after_time_out_reset_and_cancel() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Disconnected, Outcome::Cancelled] {
        let mut host = Host::new(settings());
        host.circuits(1, 0);
        let (call, actions) = host.call(1);
        assert!(sent_to(&actions).is_some());
        host.now += ms(300);
        let actions = host.over(call, 0, outcome);
        assert_eq!(sent_to(&actions), None);
        let (timer, after) = timer(&actions).expect("the call waits");
        assert!(after >= ms(500));
        host.now += ms(400);
        assert!(host.tell(Event::Timer(TimerId(timer.0 + 1))).is_empty());
        host.now += ms(100);
        assert!(sent_to(&host.tell(Event::Timer(timer))).is_some());
    }
}

#[test]
fn settings_that_make_no_sense_are_named() {
    let named = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Controller::new(s, 1).err().map(|e| e.setting)
    };
    assert_eq!(named(|_| {}), None);
    assert_eq!(named(|s| s.classes.clear()), Some("classes"));
    assert_eq!(named(|s| s.controller_count = 0), Some("siblings"));
    assert_eq!(named(|s| s.max_attempts = 0), Some("attempts"));
    assert_eq!(named(|s| s.rules.cold_capacity_ratio = f64::NAN), Some("rules.cold_from"));
    assert_eq!(named(|s| s.rules.overload_multiple = 0.0), Some("rules.fall_multiple"));
    assert_eq!(named(|s| s.classes[0].late_worth = 2.0), Some("classes.worth"));
}

#[test]
fn a_set_up_that_may_have_run_is_neither_repeated_nor_refused_where_effects_last() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut host = Host::new(s);
    host.circuits(1, 0);
    let (call, actions) = host.call(1);
    assert!(sent_to(&actions).is_some());
    let actions = host.over(call, 0, Outcome::TimedOut);
    let (wake, after) = timer(&actions).expect("the release is awaited");
    host.now += after;
    let mut actions = host.tell(Event::Timer(wake));
    while let Some((wake, after)) = timer(&actions) {
        host.now += after;
        actions = host.tell(Event::Timer(wake));
    }
    assert_eq!(actions, [Action::Fail(call)]);
}

#[test]
fn pools_serve_only_their_classes_and_take_calls_from_everywhere() {
    let mut s = settings();
    s.topology = Topology::Pools;
    s.classes[0].pools = vec![ExchangeNumber(1), ExchangeNumber(3)];
    let mut host = Host::new(s);
    assert_eq!(sent_to(&host.call(1).1), Some(far(1)));
    host.circuits(1, 0);
    assert_eq!(sent_to(&host.call(1).1), Some(far(3)), "not the pool without the skill");
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_again_after_a_failure() {
    let mut s = settings();
    s.discovery = Discovery::OnRequest;
    let mut controller = Controller::new(s, 1).expect("settings make sense");
    let mut actions = Vec::new();
    controller.handle(ms(0), Event::Started, &mut actions);
    assert_eq!(actions, [Action::Subscribe]);
    actions.clear();
    controller.handle(ms(10), Event::List(ListUpdate::Failed), &mut actions);
    let (wake, after) = timer(&actions).expect("asked again later");
    assert!(after >= ms(1000));
    actions.clear();
    controller.handle(ms(10) + after, Event::Timer(wake), &mut actions);
    assert_eq!(actions, [Action::Subscribe]);
}
