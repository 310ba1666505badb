//! One test for each failure found in benchmark runs, reproduced without a benchmark. Each test failed without
//! the code that prevents the failure.

use crate::common::*;
use slateshed::*;
use std::time::Duration;

fn two_classes() -> Settings {
    let mut s = settings();
    let high_worth = Class { worth: 6.0, ..s.classes[0].clone() };
    s.classes.push(high_worth);
    s
}

/// A host whose exchange 1 is congested: it answered 50 calls, and then one set-up stays unanswered.
fn congested_host(settings: Settings) -> (Host, CallId) {
    let mut host = Host::new(settings);
    host.answer_calls(1, 50, ms(50), ms(50));
    let (call, actions) = host.place_call(1);
    assert_eq!(sent_to(&actions), Some(exchange_id(1)));
    host.advance(1400);
    host.place_call(1);
    (host, call)
}

/// Guards against sending more calls to a processor that hangs, until its first set-up times out.
#[test]
fn a_long_unanswered_set_up_marks_the_processor_congested_before_its_timeout() {
    let (mut host, _) = congested_host(settings());
    assert_eq!(sent_to(&host.place_call(1).1), None, "sent to a processor that hangs");
    assert_eq!(
        sent_to(&host.place_call(2).1),
        Some(exchange_id(2)),
        "other processors are not congested"
    );
}

/// Guards against trial set-ups that add to the backlog of a congested processor.
#[test]
fn no_trial_set_up_is_sent_while_a_set_up_is_unanswered() {
    let (mut host, _) = congested_host(settings());
    host.advance(5000);
    assert_eq!(sent_to(&host.place_call(1).1), None);
}

/// Guards against trial set-ups that queue behind a set-up that timed out but is still queued at the processor.
#[test]
fn trial_set_ups_pause_after_a_timeout_and_then_go_once_a_second() {
    let (mut host, call) = congested_host(settings());
    host.now += ms(100);
    let end =
        AttemptEnd { call, attempt: 0, delay: ms(1500), outcome: Outcome::TimedOut, call_ended: false };
    host.handle(Event::AttemptEnded(end));
    host.now += ms(1000);
    assert_eq!(sent_to(&host.place_call(1).1), None, "the set-up that timed out may still be queued");
    host.now += ms(600);
    let (trial, actions) = host.place_call(1);
    assert_eq!(sent_to(&actions), Some(exchange_id(1)), "a trial set-up");
    host.now += ms(900);
    host.answer(trial, 0, ms(900));
    assert_eq!(sent_to(&host.place_call(1).1), None, "at most one trial set-up a second");
    host.now += ms(100);
    assert_eq!(sent_to(&host.place_call(1).1), Some(exchange_id(1)));
}

/// Guards against answers that arrive after that of a later set-up, and mark a processor as congested that has
/// already worked off its backlog.
#[test]
fn late_answers_from_a_drained_backlog_do_not_raise_the_ratio() {
    let mut host = Host::new(settings());
    host.answer_calls(1, 50, ms(50), ms(50));
    let earlier: Vec<CallId> = (0..2).map(|_| host.place_call(1).0).collect();
    host.now += ms(400);
    let (later, actions) = host.place_call(1);
    assert!(sent_to(&actions).is_some());
    host.now += ms(50);
    host.answer(later, 0, ms(50));
    host.now += ms(1000);
    for call in earlier {
        host.answer(call, 0, ms(1450));
    }
    host.place_call(1);
    let (_, actions) = host.place_call(1);
    assert_eq!(
        sent_to(&actions),
        Some(exchange_id(1)),
        "not congested: more than a trial set-up is sent"
    );
}

/// Guards against a burst that overloads the processors before any delay shows it.
#[test]
fn a_burst_is_limited_once_set_ups_in_flight_amount_to_the_upper_bound() {
    let mut host = Host::new(settings());
    for n in [1, 2, 3] {
        host.answer_calls(n, 15, ms(20), ms(80));
    }
    // Ten answers a second; in 0.35 of the target delay that makes about five.
    let sent = (0..60).filter(|i| {
        let (_, actions) = host.place_call(1 + i % 3);
        sent_to(&actions).is_some()
    });
    let sent = sent.count();
    assert!((4..=8).contains(&sent), "{sent} of 60 calls sent at once");
}

/// Guards against sending calls again and again to a tandem whose second leg stays full.
#[test]
fn tandem_backoff_grows_with_consecutive_refusals() {
    let mut host = Host::new(settings());
    host.set_free_circuits(1, 0);
    host.set_free_circuits(3, 0);
    let mut backoffs = Vec::new();
    for _ in 0..3 {
        let start = host.now;
        let call = loop {
            let (call, actions) = host.place_call(1);
            if sent_to(&actions) == Some(exchange_id(2)) {
                break call;
            }
            host.now += ms(100);
            assert!(host.now < start + ms(20_000));
        };
        backoffs.push(host.now - start);
        host.end_attempt(call, 0, Outcome::TandemRefused);
    }
    assert!(backoffs[1] >= ms(1000) && backoffs[2] >= ms(2000), "backoffs: {backoffs:?}");
}

/// Guards against counting a full second leg as congestion of the tandem itself.
#[test]
fn a_refusal_by_a_tandem_does_not_affect_direct_calls_to_it() {
    let mut host = Host::new(settings());
    host.set_free_circuits(1, 0);
    let (call, actions) = host.place_call(1);
    let tandem = sent_to(&actions).expect("sent over a tandem");
    let other = if tandem == exchange_id(2) { exchange_id(3) } else { exchange_id(2) };
    let actions = host.end_attempt(call, 0, Outcome::TandemRefused);
    assert_eq!(sent_to(&actions), Some(other), "the other tandem is tried next");
    let number = tandem.0 - 10;
    assert_eq!(
        sent_to(&host.place_call(number).1),
        Some(tandem),
        "direct calls to the tandem are still sent"
    );
}

/// Guards against a call that loads one tandem after the other while its destination is full.
#[test]
fn at_most_two_tandems_are_tried_for_a_call() {
    let mut s = settings();
    s.max_attempts = 9;
    let mut host = Host::new(s);
    for n in 4..8 {
        host.update_entry(n, Phase::InService, Duration::ZERO);
        host.set_free_circuits(n, 30);
    }
    host.set_free_circuits(1, 0);
    let (call, mut actions) = host.place_call(1);
    let mut attempts = 0;
    while sent_to(&actions).is_some() {
        actions = host.end_attempt(call, attempts, Outcome::TandemRefused);
        attempts += 1;
    }
    assert_eq!(attempts, 2);
}

/// Guards against tandem calls that take the circuits needed for direct calls.
#[test]
fn only_high_priority_calls_take_the_last_circuit_of_a_tandem_leg() {
    let mut host = Host::new(two_classes());
    host.answer_calls(1, 50, ms(50), ms(50));
    host.set_free_circuits(1, 0);
    host.set_free_circuits(2, 1);
    host.set_free_circuits(3, 0);
    assert_eq!(sent_to(&host.place_call(1).1), None);
    let mut new = host.new_call(1);
    new.class = 1;
    assert_eq!(sent_to(&host.handle(Event::Call(new))), Some(exchange_id(2)));
}

/// Guards against refusing calls of high worth that a congested processor would still answer in time.
#[test]
fn high_priority_calls_go_to_a_congested_processor_while_they_would_be_answered_in_time() {
    let mut host = Host::new(two_classes());
    host.answer_calls(1, 50, ms(50), ms(50));
    host.place_call(1);
    host.advance(700);
    assert_eq!(sent_to(&host.place_call(1).1), None, "congested for ordinary calls");
    let mut new = host.new_call(1);
    new.class = 1;
    assert_eq!(sent_to(&host.handle(Event::Call(new))), Some(exchange_id(1)));
    host.now += ms(300);
    let mut new = host.new_call(1);
    new.class = 1;
    assert_eq!(sent_to(&host.handle(Event::Call(new))), None, "the answer would come too late");
}

/// Guards against late redials, which earn little, taking the last circuits from fresh calls.
#[test]
fn a_redial_after_the_target_delay_leaves_the_last_circuit_to_a_fresh_call() {
    let mut host = Host::new(settings());
    host.set_free_circuits(1, 0);
    host.set_free_circuits(2, 0);
    host.set_free_circuits(3, 0);
    let new = host.new_call(1);
    let (call, dialled) = (new.call, new.dialled);
    let (mut timer, _) =
        timer_request(&host.handle(Event::Call(new))).expect("the call waits for a route");
    let answer = loop {
        host.now += ms(50);
        let actions = host.handle(Event::Timer(timer));
        match timer_request(&actions) {
            Some((next, _)) => timer = next,
            None => break actions,
        }
    };
    assert!(matches!(answer[..], [Action::Refuse { call: c, .. }] if c == call));
    host.now += ms(1500);
    host.set_free_circuits(1, 1);
    let mut again = host.new_call(1);
    again.dialled = dialled;
    let actions = host.handle(Event::Call(again));
    assert_eq!(sent_to(&actions), None, "past its target delay");
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "refused at once");
    assert_eq!(sent_to(&host.place_call(1).1), Some(exchange_id(1)), "a fresh call takes the circuit");
}

/// Guards against refusing a call although a circuit becomes free a moment later.
#[test]
fn a_call_without_a_route_waits_and_is_sent_once_there_is_one() {
    let mut host = Host::new(settings());
    for n in 1..4 {
        host.set_free_circuits(n, 0);
    }
    let (_, actions) = host.place_call(1);
    let (timer, after) = timer_request(&actions).expect("the call waits for a route");
    host.set_free_circuits(1, 1);
    host.now += after;
    assert_eq!(sent_to(&host.handle(Event::Timer(timer))), Some(exchange_id(1)));
}

/// Guards against calls that wait for a route until their callers have left.
#[test]
fn calls_no_longer_wait_for_a_route_once_callers_abandon_early() {
    let mut host = Host::new(settings());
    for n in 1..4 {
        host.set_free_circuits(n, 0);
    }
    let mut waiting = 0;
    for _ in 0..60 {
        let (call, actions) = host.place_call(1);
        host.now += ms(20);
        if timer_request(&actions).is_some() {
            waiting += 1;
            host.handle(Event::CallerAbandoned(call));
        }
        host.now += ms(20);
    }
    assert!(
        (10..40).contains(&waiting),
        "{waiting} of 60 calls waited although their callers abandon at once"
    );
}

/// Guards against callers of a busy number who redial at once and load the processors with set-ups that cannot succeed.
#[test]
fn calls_to_a_busy_number_are_spaced_but_not_calls_to_other_numbers() {
    let mut host = Host::new(settings());
    let mut to_busy = host.new_call(1);
    to_busy.dialled = DialledNumber(5);
    let call = to_busy.call;
    host.handle(Event::Call(to_busy));
    host.end_attempt(call, 0, Outcome::NumberBusy);
    let sent = |host: &mut Host| {
        let mut to_busy = host.new_call(1);
        to_busy.dialled = DialledNumber(5);
        sent_to(&host.handle(Event::Call(to_busy))).is_some()
    };
    host.now += ms(200);
    assert!(!sent(&mut host));
    let (other, actions) = host.place_call(1);
    assert!(sent_to(&actions).is_some());
    host.answer(other, 0, ms(50));
    host.now += ms(1000);
    assert!(sent(&mut host), "one call for each interval");
    assert!(!sent(&mut host));
}

/// Guards against set-ups that look unanswered only because the controller itself read no answers.
#[test]
fn a_stall_of_the_controller_marks_no_processor_congested() {
    let mut host = Host::new(settings());
    host.answer_calls(1, 50, ms(50), ms(50));
    assert_eq!(sent_to(&host.place_call(1).1), Some(exchange_id(1)));
    host.now += ms(1400);
    assert_eq!(
        sent_to(&host.place_call(1).1),
        Some(exchange_id(1)),
        "the delay arose at the controller"
    );
}

/// A host whose calls of the last second were all answered after 1.1 s instead of 0.05 s.
fn host_with_local_queue() -> Host {
    let mut host = Host::new(settings());
    for n in [1, 2, 3] {
        host.answer_calls(n, 20, ms(50), ms(50));
    }
    let calls: Vec<CallId> = (0..6).map(|i| host.place_call(1 + i % 3).0).collect();
    host.advance(1100);
    for call in calls {
        host.answer(call, 0, ms(1100));
    }
    host
}

/// Guards against marking all remote processors as congested because of a queue at the local one.
#[test]
fn a_delay_common_to_all_answers_marks_only_the_local_processor_congested() {
    let mut host = host_with_local_queue();
    assert_eq!(sent_to(&host.place_call(1).1), Some(exchange_id(1)), "one set-up at a time, as a trial");
    assert_eq!(sent_to(&host.place_call(2).1), None, "the local processor is congested");
}

/// Guards against a local overload that goes unnoticed because all set-ups time out, and those of processors
/// without any answer have no lowest delay to compare with.
#[test]
fn timeouts_of_processors_that_never_answered_reveal_local_congestion() {
    let mut s = settings();
    s.controller_count = 20;
    let mut host = Host::new(s);
    for n in 4..20 {
        host.update_entry(n, Phase::InService, Duration::ZERO);
        host.set_free_circuits(n, 30);
    }
    host.answer_calls(1, 50, ms(50), ms(50));
    host.advance(2000);
    let calls: Vec<CallId> = (4..10).map(|n| host.place_call(n).0).collect();
    host.advance(1500);
    for call in calls {
        let (delay, outcome) = (ms(1500), Outcome::TimedOut);
        host.handle(Event::AttemptEnded(AttemptEnd {
            call,
            attempt: 0,
            delay,
            outcome,
            call_ended: true,
        }));
    }
    assert!(sent_to(&host.place_call(11).1).is_some(), "the trial set-up");
    assert_eq!(sent_to(&host.place_call(12).1), None);
}

/// Guards against taking the lowest delay of a processor that has only been observed while slow as its delay
/// without load.
#[test]
fn a_processor_observed_only_while_slow_is_marked_congested() {
    let mut host = Host::new(settings());
    host.answer_calls(2, 10, ms(50), ms(50));
    host.answer_calls(1, 1, ms(900), ms(0));
    host.answer_calls(2, 1, ms(50), ms(0));
    assert_eq!(sent_to(&host.place_call(1).1), None, "its lowest delay is not its delay without load");
}

/// Guards against set-ups over tandems that have no trunk group to the destination.
#[test]
fn the_hinted_tandem_goes_first_then_one_whose_last_call_was_answered() {
    let mut host = Host::new(settings());
    for n in 4..12 {
        host.update_entry(n, Phase::InService, Duration::ZERO);
        host.set_free_circuits(n, 30);
    }
    host.set_free_circuits(1, 0);
    for n in [9, 6] {
        let mut new = host.new_call(1);
        new.route_hint = Some(ExchangeNumber(n));
        let call = new.call;
        assert_eq!(sent_to(&host.handle(Event::Call(new))), Some(exchange_id(n)));
        host.now += ms(50 + u64::from(n) * 10);
        host.answer(call, 0, ms(50 + u64::from(n) * 10));
    }
    assert_eq!(
        sent_to(&host.place_call(1).1),
        Some(exchange_id(6)),
        "the tandem with an answered call and the lowest delay"
    );
}

/// Guards against trying a full trunk group again in the other direction.
#[test]
fn a_refusal_by_a_tandem_counts_for_both_directions_of_the_trunk_group() {
    let mut host = Host::new(settings());
    host.set_free_circuits(1, 0);
    host.set_free_circuits(3, 0);
    let (call, actions) = host.place_call(1);
    assert_eq!(sent_to(&actions), Some(exchange_id(2)));
    host.end_attempt(call, 0, Outcome::TandemRefused);
    host.set_free_circuits(1, 30);
    host.set_free_circuits(2, 0);
    assert_eq!(sent_to(&host.place_call(2).1), None, "exchange 1 has no free circuit to 2 either");
}

/// Guards against set-ups to a full or missing trunk group after its processor was replaced: the state of the
/// group is not reported again.
#[test]
fn a_replacement_keeps_the_state_of_the_trunk_group() {
    let mut host = Host::new(settings());
    host.set_free_circuits(1, 0);
    let now = host.now;
    let replacement = ListEntry { exchange: ExchangeId(99), ..entry(1, Phase::InService, now) };
    host.handle(Event::List(ListUpdate::Delta(vec![replacement])));
    assert_ne!(sent_to(&host.place_call(1).1), Some(ExchangeId(99)), "its trunk group is full");
    host.update_entry(2, Phase::Gone, Duration::ZERO);
    host.set_free_circuits(2, 0);
    let now = host.now;
    host.update_entry(2, Phase::InService, now);
    assert_ne!(
        sent_to(&host.place_call(2).1),
        Some(exchange_id(2)),
        "its trunk group was full before it was gone"
    );
}

/// Guards against late calls that use capacity needed by fresh ones.
#[test]
fn a_late_call_is_sent_only_well_below_the_in_flight_limit() {
    let mut host = Host::new(settings());
    for n in 1..4 {
        host.set_free_circuits(n, 0);
    }
    let new = host.new_call(1);
    let dialled = new.dialled;
    let (mut timer, _) =
        timer_request(&host.handle(Event::Call(new))).expect("the call waits for a route");
    loop {
        host.now += ms(50);
        match timer_request(&host.handle(Event::Timer(timer))) {
            Some((next, _)) => timer = next,
            None => break,
        }
    }
    host.advance(1500);
    for n in 1..4 {
        host.set_free_circuits(n, 30);
    }
    for n in [2, 3] {
        assert!(sent_to(&host.place_call(n).1).is_some());
    }
    let mut again = host.new_call(1);
    again.dialled = dialled;
    assert_eq!(sent_to(&host.handle(Event::Call(again))), None, "two set-ups are in flight already");
    assert_eq!(sent_to(&host.place_call(1).1), Some(exchange_id(1)), "a fresh call is sent");
}

/// Guards against late calls that wait for a route until their deadline, so that their callers cannot redial.
#[test]
fn a_late_call_is_refused_at_once_on_every_redial() {
    let wait_of_call = |host: &mut Host, dialled: Option<DialledNumber>| {
        let mut new = host.new_call(1);
        new.dialled = dialled.unwrap_or(new.dialled);
        let (dialled, start) = (new.dialled, host.now);
        let mut actions = host.handle(Event::Call(new));
        while let Some((timer, after)) = timer_request(&actions) {
            host.now += after;
            actions = host.handle(Event::Timer(timer));
        }
        (dialled, host.now - start)
    };
    let mut host = Host::new(settings());
    for n in 1..4 {
        host.set_free_circuits(n, 0);
    }
    for _ in 0..60 {
        let (dialled, waited) = wait_of_call(&mut host, None);
        assert!(
            waited < ms(1000),
            "a fresh call waits only while a set-up could still be answered in time"
        );
        host.now += ms(600);
        for _ in 0..3 {
            assert_eq!(wait_of_call(&mut host, Some(dialled)).1, ms(0));
        }
    }
}

/// Guards against calls that are sent after a wait although the queue at the local processor makes them late.
#[test]
fn a_waiting_call_that_the_local_delay_will_make_late_is_refused() {
    let mut host = host_with_local_queue();
    for n in 1..4 {
        host.set_free_circuits(n, 0);
    }
    let (call, mut actions) = host.place_call(2);
    let start = host.now;
    while let Some((timer, after)) = timer_request(&actions) {
        host.now += after;
        actions = host.handle(Event::Timer(timer));
    }
    assert!(matches!(actions[..], [Action::Refuse { call: c, .. }] if c == call), "{actions:?}");
    assert!(host.now - start < ms(500), "the local delay is 1.05 s, the target delay 1.5 s");
    host.set_free_circuits(2, 1);
    assert_eq!(
        sent_to(&host.place_call(2).1),
        Some(exchange_id(2)),
        "a fresh call takes the last circuit"
    );
}

/// Guards against a processor that fails every set-up at once, and attracts calls by its low delay.
#[test]
fn a_processor_with_many_immediate_faults_is_marked_congested() {
    let mut host = Host::new(settings());
    host.answer_calls(2, 10, ms(50), ms(50));
    host.answer_calls(1, 10, ms(50), ms(50));
    // Consecutive faults, five for each call: one set-up and four retries on the same processor.
    for _ in 0..11 {
        let (call, actions) = host.place_call(1);
        assert!(actions.len() == 1);
        for attempt in 0..5 {
            host.end_attempt(call, attempt, Outcome::Fault);
            host.set_free_circuits(1, 30);
        }
    }
    assert_eq!(sent_to(&host.place_call(1).1), None, "immediate faults must not count as a low delay");
}

/// Guards against marking a processor as congested that answers only each fourth set-up: with retries, each
/// call is still answered well in time.
#[test]
fn a_processor_that_answers_each_fourth_set_up_still_gets_calls() {
    let mut host = Host::new(settings());
    host.answer_calls(1, 10, ms(50), ms(50));
    for _ in 0..20 {
        let (call, actions) = host.place_call(1);
        assert_eq!(sent_to(&actions), Some(exchange_id(1)));
        for attempt in 0..3 {
            assert_eq!(sent_to(&host.end_attempt(call, attempt, Outcome::Fault)), Some(exchange_id(1)));
        }
        host.answer(call, 3, ms(50));
        host.set_free_circuits(1, 30);
        host.now += ms(50);
    }
}

/// Guards against marking a processor as congested for some immediate faults or corrupted answers although it
/// serves most of its calls, and against failing a call on the first of them.
#[test]
fn occasional_faults_and_lost_connections_mark_no_congestion_and_the_call_is_retried() {
    for (outcome, wait) in [(Outcome::Fault, ms(0)), (Outcome::Disconnected, ms(500))] {
        let mut host = Host::new(settings());
        host.answer_calls(1, 10, ms(50), ms(50));
        for _ in 0..10 {
            let (call, actions) = host.place_call(1);
            assert_eq!(sent_to(&actions), Some(exchange_id(1)));
            let mut actions = host.end_attempt(call, 0, outcome);
            if let Some((timer, after)) = timer_request(&actions) {
                assert_eq!(after, wait);
                host.now += after;
                actions = host.handle(Event::Timer(timer));
            }
            assert_eq!(
                sent_to(&actions),
                Some(exchange_id(1)),
                "retried on the same processor after {outcome:?}"
            );
            host.answer(call, 1, ms(50));
            host.set_free_circuits(1, 30);
            host.now += ms(50);
        }
    }
}

/// Guards against treating a call as fresh that was not read for a whole stall of the controller.
#[test]
fn a_call_delayed_by_a_stall_yields_to_a_fresh_call() {
    let mut host = Host::new(settings());
    for n in [1, 2, 3] {
        host.answer_calls(n, 40, ms(50), ms(50));
    }
    for n in 1..4 {
        host.set_free_circuits(n, 1);
    }
    host.now += ms(1700);
    let mut waited = host.new_call(1);
    waited.patience = ms(1400);
    assert_eq!(
        sent_to(&host.handle(Event::Call(waited))),
        None,
        "its target delay passed during the stall"
    );
    assert_eq!(
        sent_to(&host.place_call(1).1),
        Some(exchange_id(1)),
        "a call with its full patience has just arrived"
    );
}

/// Guards against a cold processor that attracts every blocked call, because a tandem without samples counts as
/// the one of lowest delay: its budget is needed for its own subscribers, whom no other processor serves.
#[test]
fn with_many_controllers_a_cold_processor_is_kept_for_calls_to_its_own_number() {
    let mut s = settings();
    s.controller_count = 80;
    s.controller_index = 79; // the first turn after the start of exchange 1
    let mut host = Host::new(s);
    host.answer_calls(2, 100, ms(50), ms(50));
    host.answer_calls(3, 100, ms(50), ms(50));
    host.set_free_circuits(2, 0);
    let now = host.now;
    host.update_entry(1, Phase::InService, now);
    assert_eq!(sent_to(&host.place_call(2).1), Some(exchange_id(3)), "not over the cold processor");
    assert_eq!(
        sent_to(&host.place_call(1).1),
        Some(exchange_id(1)),
        "calls to the cold processor itself are sent"
    );
}

/// Guards against counting set-ups before a restart under the same id as set-ups to the cold processor.
#[test]
fn a_processor_restarted_under_the_same_id_gets_a_new_cold_budget() {
    let mut s = settings();
    s.controller_count = 80;
    s.controller_index = 39; // a turn half an interval after the start of exchange 1
    let mut host = Host::new(s);
    host.answer_calls(1, 100, ms(50), ms(50));
    host.now += ms(20_000);
    assert!(sent_to(&host.place_call(1).1).is_some(), "the processor is warm");
    host.now += ms(15_000);
    let now = host.now;
    host.update_entry(1, Phase::InService, now);
    assert_eq!(sent_to(&host.place_call(1).1), None, "the set-up waits for the turn of this controller");
    host.now += ms(2000);
    host.update_entry(1, Phase::InService, now);
    host.now += ms(1000);
    assert!(
        sent_to(&host.place_call(1).1).is_some(),
        "a repeated list entry does not postpone the turn"
    );
}

/// Guards against too many set-ups by controllers that start together with a cold processor and have no answers
/// yet to estimate its capacity from.
#[test]
fn a_controller_without_answers_sends_little_to_a_cold_processor() {
    let mut s = settings();
    s.controller_count = 80;
    s.controller_index = 39;
    let mut host = Host::new(s);
    let now = host.now;
    host.update_entry(1, Phase::InService, now);
    let sent = (0..50).filter(|_| {
        host.now += ms(100);
        sent_to(&host.place_call(1).1).is_some()
    });
    assert!(sent.count() <= 1, "the interval between set-ups is longer than the five seconds");
}

/// Guards against a jam that lowers the capacity estimate: for seconds after one, a cold processor was left
/// idle while calls to it were refused.
#[test]
fn the_cold_budget_follows_the_highest_answer_rate_even_after_a_jam() {
    let mut s = settings();
    s.controller_count = 80;
    s.controller_index = 39; // a turn half an interval, three seconds, after the start of exchange 1
    let mut host = Host::new(s);
    host.answer_calls(2, 100, ms(50), ms(50));
    host.now += ms(40_000);
    host.answer_calls(3, 1, ms(50), ms(50));
    let now = host.now;
    host.update_entry(1, Phase::InService, now);
    host.now += ms(3500);
    assert_eq!(sent_to(&host.place_call(1).1), Some(exchange_id(1)));
}

/// Guards against refusing one of two calls at about the same time although the controller has not used its
/// part of the budget before.
#[test]
fn exactly_one_unused_set_up_to_a_cold_processor_is_kept() {
    let mut s = settings();
    s.controller_count = 40;
    s.controller_index = 39; // the first turn after the start of exchange 1
    let mut host = Host::new(s);
    host.answer_calls(2, 100, ms(50), ms(50));
    let now = host.now;
    host.update_entry(1, Phase::InService, now);
    assert_eq!(sent_to(&host.place_call(1).1), Some(exchange_id(1)), "the turn of this controller");
    assert_eq!(sent_to(&host.place_call(1).1), None, "less than one interval later");
    host.now += ms(13_000);
    let sent = (0..10).filter(|_| sent_to(&host.place_call(1).1).is_some());
    assert_eq!(sent.count(), 2, "one set-up that is due and one kept");
}

/// Guards against a call that waits for its release delay until it is late: after a late reset of a set-up over
/// a tandem, the call is not set up again, and its caller is refused at once.
#[test]
fn a_call_that_the_release_delay_would_make_late_is_refused_at_once() {
    for (reset_after, retried) in [(200, true), (1100, false)] {
        let mut host = Host::new(settings());
        host.set_free_circuits(1, 0);
        let (call, actions) = host.place_call(1);
        assert!(sent_to(&actions).is_some_and(|to| to != exchange_id(1)), "sent over a tandem");
        host.now += ms(reset_after);
        let actions = host.end_attempt(call, 0, Outcome::Reset);
        assert_eq!(timer_request(&actions).is_some(), retried, "reset after {reset_after} ms");
        assert_eq!(is_refused(&actions), !retried);
    }
}

/// Guards against a retry-after that brings callers back when their call is worth little. They should return
/// within the target delay while that is possible, else as late as they accept, and to a busy number not before
/// the next call may go there.
#[test]
fn a_refusal_carries_a_retry_after_that_fits_its_cause() {
    let retry_after_of = |actions: &[Action]| match actions {
        [Action::Refuse { retry_after, .. }] => retry_after.expect("the refusal has a retry-after"),
        other => panic!("not a refusal: {other:?}"),
    };
    let mut host = Host::new(Settings { max_retry_after: ms(2000), ..settings() });
    for n in 1..4 {
        host.set_free_circuits(n, 0);
    }
    let new = host.new_call(1);
    let (start, dialled) = (host.now, new.dialled);
    let mut actions = host.handle(Event::Call(new));
    while let Some((timer, after)) = timer_request(&actions) {
        host.now += after;
        actions = host.handle(Event::Timer(timer));
    }
    let redial_after = host.now + retry_after_of(&actions) - start;
    assert!(
        retry_after_of(&actions) > ms(0) && redial_after < ms(1500),
        "redial after {redial_after:?}, target delay 1.5 s"
    );
    host.now = start + ms(1600);
    let mut again = host.new_call(1);
    again.dialled = dialled;
    assert_eq!(retry_after_of(&host.handle(Event::Call(again))), ms(2000));
    host.set_free_circuits(2, 30);
    let mut busy = host.new_call(2);
    busy.dialled = DialledNumber(5);
    let call = busy.call;
    assert!(sent_to(&host.handle(Event::Call(busy))).is_some());
    assert_eq!(
        retry_after_of(&host.end_attempt(call, 0, Outcome::NumberBusy)),
        ms(1000),
        "the interval, a tenth of the mean hold"
    );
    // Once the next call may go there, other refusals get a retry-after of their own.
    host.now += ms(1500);
    let mut again = host.new_call(2);
    again.dialled = DialledNumber(5);
    let call = again.call;
    assert!(sent_to(&host.handle(Event::Call(again))).is_some());
    host.now += ms(1200);
    assert!(retry_after_of(&host.end_attempt(call, 0, Outcome::ProcessorFull(None))) > ms(0));
}
