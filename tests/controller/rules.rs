//! One test for each rule. Each test fails without the check that it names.

use crate::common::*;
use slateshed::*;
use std::time::Duration;

/// Guards against a call that never gets a final answer, or gets two.
#[test]
fn a_call_that_timed_out_at_its_deadline_is_refused_at_once() {
    let mut host = Host::new(settings());
    let mut new = host.new_call(1);
    new.patience = ms(800);
    let call = new.call;
    host.handle(Event::Call(new));
    host.now += ms(800);
    assert!(is_refused(&host.end_attempt(call, 0, Outcome::TimedOut)));
    assert!(host.end_attempt(call, 0, Outcome::TimedOut).is_empty(), "a second final answer");
}

/// Guards against a final answer after the caller has abandoned the call.
#[test]
fn the_timeout_of_a_set_up_never_exceeds_the_patience() {
    let mut host = Host::new(settings());
    let mut new = host.new_call(1);
    new.patience = ms(700);
    let actions = host.handle(Event::Call(new));
    assert!(matches!(actions[..], [Action::SetUp { timeout, .. }] if timeout <= ms(700)));
}

/// Guards against a call that waits for its release delay beyond its deadline.
#[test]
fn a_call_whose_release_delay_exceeds_the_remaining_patience_is_refused() {
    let mut host = Host::new(settings());
    host.set_free_circuits(1, 0);
    let mut new = host.new_call(1);
    new.patience = ms(900);
    let call = new.call;
    let actions = host.handle(Event::Call(new));
    assert!(sent_to(&actions).is_some_and(|e| e != exchange_id(1)), "sent over a tandem");
    host.now += ms(600);
    assert!(is_refused(&host.end_attempt(call, 0, Outcome::TimedOut)));
}

/// Guards against calls from other exchanges that get no final answer, or two.
#[test]
fn a_transit_call_gets_exactly_one_final_answer() {
    let mut host = Host::new(settings());
    let mut new = host.new_call(1);
    new.origin = Origin::Transit;
    let call = new.call;
    assert_eq!(sent_to(&host.handle(Event::Call(new))), Some(exchange_id(1)));
    host.now += ms(1500);
    assert!(is_refused(&host.end_attempt(call, 0, Outcome::TimedOut)));
    assert!(host.handle(Event::CallerAbandoned(call)).is_empty());
}

/// Guards against two pending attempts of one call, after a repeated call event or a wrong end of an attempt.
#[test]
fn no_second_attempt_is_sent_while_one_is_pending() {
    let mut host = Host::new(settings());
    let (call, actions) = host.place_call(1);
    assert!(sent_to(&actions).is_some());
    let repeated = NewCall { call, ..host.new_call(1) };
    assert!(host.handle(Event::Call(repeated)).is_empty());
    assert!(
        host.end_attempt(call, 7, Outcome::NoCircuit).is_empty(),
        "an end of an attempt that does not exist is ignored"
    );
}

/// Guards against set-ups, direct or over a tandem, to an exchange that no longer accepts them.
#[test]
fn no_set_up_goes_to_a_draining_or_gone_exchange() {
    for phase in [Phase::Draining, Phase::Gone] {
        let mut host = Host::new(settings());
        host.update_entry(1, phase, Duration::ZERO);
        assert!(is_refused(&host.place_call(1).1));
        host.set_free_circuits(2, 0);
        assert_eq!(
            sent_to(&host.place_call(2).1),
            Some(exchange_id(3)),
            "not over the draining or gone exchange"
        );
    }
}

/// Guards against set-ups to an exchange whose removal is known only from its absence from a full list.
#[test]
fn an_exchange_missing_from_a_full_list_is_gone() {
    let mut host = Host::new(settings());
    let list = [0, 2, 3].map(|n| entry(n, Phase::InService, Duration::ZERO));
    host.handle(Event::List(ListUpdate::Full(list.to_vec())));
    assert!(is_refused(&host.place_call(1).1));
}

fn set_ups_sent_in_600_ms(host: &mut Host, transit: bool) -> usize {
    let sent_calls = (0..60).filter(|_| {
        let mut new = host.new_call(1);
        if transit {
            new.origin = Origin::Transit;
        }
        let call = new.call;
        let sent = sent_to(&host.handle(Event::Call(new))).is_some();
        host.now += ms(10);
        host.answer(call, 0, ms(10));
        host.set_free_circuits(1, 30);
        sent
    });
    sent_calls.count()
}

/// Guards against overloading an exchange just after its start.
#[test]
fn a_controller_sends_a_cold_exchange_at_most_its_part_of_the_budget() {
    for transit in [false, true] {
        let mut host = Host::new(settings());
        host.answer_calls(2, 100, ms(50), ms(50));
        // Ten calls a second: 2.5 x 0.35 x 16 a second / 4 controllers is 3.5 a second, plus the initial burst.
        let now = host.now;
        host.update_entry(1, Phase::InService, now);
        let sent = set_ups_sent_in_600_ms(&mut host, transit);
        assert!((1..=5).contains(&sent), "{sent} set-ups to a cold exchange in 0.6 s");
        host.now += ms(14_000);
        assert!(
            set_ups_sent_in_600_ms(&mut host, transit) > 20,
            "limited although the exchange is warm"
        );
    }
}

/// One of several controllers with calls to exchange 1. It carries ten calls a second to exchange 2, and is
/// offered more calls than it can place.
struct LoadedController {
    host: Host,
    timers: Vec<(Duration, TimerId)>,
    answers: Vec<(Duration, CallId)>,
}

impl LoadedController {
    fn new(controller_count: u32, controller_index: u32) -> Self {
        let mut host = Host::new(Settings { controller_count, controller_index, ..settings() });
        host.answer_calls(2, 100, ms(50), ms(50));
        LoadedController { host, timers: vec![], answers: vec![] }
    }

    /// Passes an event to the controller and returns the number of set-ups to exchange 1. All set-ups are
    /// answered after 100 ms.
    fn handle(&mut self, event: Event) -> usize {
        let now = self.host.now;
        let actions = self.host.handle(event);
        let mut sent = 0;
        for action in actions {
            match action {
                Action::SetTimer { timer, after } => self.timers.push((now + after, timer)),
                Action::SetUp { call, exchange, .. } => {
                    sent += usize::from(exchange == exchange_id(1));
                    self.answers.push((now + ms(100), call));
                }
                _ => {}
            }
        }
        sent
    }

    /// Advances the clock by 10 ms, with a new call to `destination` if there is one. Returns the number of
    /// set-ups to exchange 1.
    fn step(&mut self, destination: Option<u32>, origin: Origin) -> usize {
        self.host.now += ms(10);
        let now = self.host.now;
        let mut sent = 0;
        if let Some(destination) = destination {
            let new = NewCall { origin, ..self.host.new_call(destination) };
            sent += self.handle(Event::Call(new));
        }
        for n in 1..4 {
            self.host.set_free_circuits(n, 30);
        }
        let (due, later) = self.timers.drain(..).partition(|(at, _)| *at <= now);
        self.timers = later;
        let due: Vec<(Duration, TimerId)> = due;
        sent += due.into_iter().map(|(_, timer)| self.handle(Event::Timer(timer))).sum::<usize>();
        let (due, later) = self.answers.drain(..).partition(|(at, _)| *at <= now);
        self.answers = later;
        let due: Vec<(Duration, CallId)> = due;
        let answered =
            due.into_iter().map(|(_, call)| Event::Answered { call, attempt: 0, delay: ms(100) });
        sent + answered.map(|event| self.handle(event)).sum::<usize>()
    }
}

/// Guards against controllers that each send little but together far too much: all of them learn of a start at
/// once and have calls waiting. An exchange originates ten calls a second here and receives as many; if that is
/// four fifths of its capacity, the capacity is 25 set-ups a second.
#[test]
fn all_controllers_together_keep_the_cold_budget_in_every_window() {
    for (controllers, origin) in
        [4, 30, 90].into_iter().flat_map(|n| [(n, Origin::Subscriber), (n, Origin::Transit)])
    {
        let mut loaded: Vec<_> =
            (0..controllers).map(|n| LoadedController::new(controllers, n)).collect();
        let rules = settings().rules;
        let max = (rules.overload_multiple * rules.cold_capacity_ratio * 25.0).floor() as usize;
        // Overload: 30 calls a second to exchange 1 while it is out of service, and 10 to exchange 2.
        let call = |t: u64| match t % 10 {
            0 | 3 | 6 => Some(1),
            8 => Some(2),
            _ => None,
        };
        loaded.iter_mut().for_each(|c| c.host.update_entry(1, Phase::Gone, Duration::ZERO));
        for t in 0..200 {
            loaded.iter_mut().for_each(|c| {
                c.step(call(t), Origin::Redial);
            });
        }
        let start = loaded[0].host.now;
        loaded.iter_mut().for_each(|c| c.host.update_entry(1, Phase::InService, start));
        let steps = rules.warm_up_time.as_millis() as u64 / 10 - 1;
        let sent: Vec<usize> = (0..steps)
            .map(|t| {
                let call = call(t).filter(|to| *to == 1);
                loaded.iter_mut().map(|c| c.step(call, origin)).sum()
            })
            .collect();
        let window = rules.overload_window.as_millis() as usize / 10;
        let worst = sent.windows(window).map(|w| w.iter().sum::<usize>()).max().unwrap_or(0);
        assert!(
            worst <= max,
            "{controllers} controllers sent {worst} set-ups in a window, {max} allowed"
        );
        assert!(
            sent.iter().sum::<usize>() > 14 * max / 4,
            "{controllers} controllers leave the exchange idle"
        );
    }
}

/// Guards against setting a call up again before the release of the first set-up.
#[test]
fn a_retry_waits_for_the_release_delay_after_timeout_reset_disconnect_and_cancel() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Disconnected, Outcome::Cancelled] {
        let mut host = Host::new(settings());
        host.set_free_circuits(1, 0);
        let (call, actions) = host.place_call(1);
        assert!(sent_to(&actions).is_some());
        host.now += ms(300);
        let actions = host.end_attempt(call, 0, outcome);
        assert_eq!(sent_to(&actions), None);
        let (timer, after) = timer_request(&actions).expect("the call waits for the release delay");
        assert!(after >= ms(500));
        host.now += ms(400);
        assert!(host.handle(Event::Timer(TimerId(timer.0 + 1))).is_empty());
        host.now += ms(100);
        assert!(sent_to(&host.handle(Event::Timer(timer))).is_some());
    }
}

/// Guards against a start with invalid settings, and against an error that names the wrong one.
#[test]
fn invalid_settings_are_named() {
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

/// Guards against running a call twice, and against a refusal after which its caller redials it.
#[test]
fn a_non_idempotent_call_that_may_have_run_is_neither_repeated_nor_refused() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut host = Host::new(s);
    host.set_free_circuits(1, 0);
    let (call, actions) = host.place_call(1);
    assert!(sent_to(&actions).is_some());
    let actions = host.end_attempt(call, 0, Outcome::TimedOut);
    let (timer, after) = timer_request(&actions).expect("the call waits for the release delay");
    host.now += after;
    let mut actions = host.handle(Event::Timer(timer));
    while let Some((timer, after)) = timer_request(&actions) {
        host.now += after;
        actions = host.handle(Event::Timer(timer));
    }
    assert_eq!(actions, [Action::Fail(call)]);
}

/// Guards against overflow of a full pool to one that does not serve the class.
#[test]
fn calls_go_only_to_pools_that_serve_their_class() {
    let mut s = settings();
    s.topology = Topology::Pools;
    s.classes[0].pools = vec![ExchangeNumber(1), ExchangeNumber(3)];
    let mut host = Host::new(s);
    assert_eq!(sent_to(&host.place_call(1).1), Some(exchange_id(1)));
    host.set_free_circuits(1, 0);
    assert_eq!(
        sent_to(&host.place_call(1).1),
        Some(exchange_id(3)),
        "not to the pool that does not serve the class"
    );
}

/// Guards against an outdated list after a failure, where changes arrive only after a subscription.
#[test]
fn a_failed_list_subscription_is_requested_again() {
    let mut s = settings();
    s.discovery = Discovery::OnRequest;
    let mut controller = Controller::new(s, 1).expect("valid settings");
    let mut actions = Vec::new();
    controller.handle(ms(0), Event::Started, &mut actions);
    assert_eq!(actions, [Action::Subscribe]);
    actions.clear();
    controller.handle(ms(10), Event::List(ListUpdate::Failed), &mut actions);
    let (timer, after) = timer_request(&actions).expect("a timer for the next request");
    assert!(after >= ms(1000));
    actions.clear();
    controller.handle(ms(10) + after, Event::Timer(timer), &mut actions);
    assert_eq!(actions, [Action::Subscribe]);
}
