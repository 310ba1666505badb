//! Common parts of the tests: settings, and a host that drives a controller with a simulated clock.

use slateshed::*;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Settings of one of four controllers in a mesh, with one class of calls.
pub fn settings() -> Settings {
    Settings {
        topology: Topology::Mesh { local: ExchangeNumber(0) },
        classes: vec![Class {
            target_delay: ms(1500),
            deadline: ms(9000),
            worth: 1.0,
            late_worth: 0.2,
            mean_hold: ms(10_000),
            idempotency: Idempotency::Idempotent,
            pools: vec![],
        }],
        tenant_quota: vec![],
        over_share_worth: 1.0,
        rules: Rules {
            drain_grace: ms(1000),
            overload_multiple: 2.5,
            overload_window: ms(1000),
            cold_capacity_ratio: 0.35,
            warm_up_time: ms(14_000),
            release_delay: ms(500),
        },
        controller_count: 4,
        controller_index: 0,
        max_attempts: 5,
        tick_interval: ms(5),
        resend_interval: Duration::ZERO,
        discovery: Discovery::Pushed,
        max_retry_after: Duration::ZERO,
    }
}

/// A list entry of the processor at a number.
pub fn entry(number: u32, phase: Phase, started_at: Duration) -> ListEntry {
    ListEntry {
        exchange: ExchangeId(10 + number),
        number: ExchangeNumber(number),
        zone: 0,
        phase,
        started_at,
    }
}

/// The id of the processor that [`entry`] lists at a number.
pub fn exchange_id(number: u32) -> ExchangeId {
    ExchangeId(10 + number)
}

/// Drives a controller with a simulated clock.
pub struct Host {
    pub controller: Controller,
    pub now: Duration,
    next_call: u64,
}

impl Host {
    /// A host with four exchanges in service and 30 free circuits of 30 to each but the local one (0).
    pub fn new(settings: Settings) -> Self {
        let controller = Controller::new(settings, 1).expect("valid settings");
        let mut host = Host { controller, now: ms(100_000), next_call: 0 };
        host.handle(Event::Started);
        let list = (0..4).map(|n| entry(n, Phase::InService, Duration::ZERO));
        host.handle(Event::List(ListUpdate::Full(list.collect())));
        for n in 1..4 {
            host.set_free_circuits(n, 30);
        }
        host
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        actions
    }

    pub fn set_free_circuits(&mut self, number: u32, free: u32) {
        self.handle(Event::Circuits { exchange: exchange_id(number), free, size: 30 });
    }

    pub fn update_entry(&mut self, number: u32, phase: Phase, started_at: Duration) {
        let entries = vec![entry(number, phase, started_at)];
        self.handle(Event::List(ListUpdate::Delta(entries)));
    }

    /// Creates a call without passing it to the controller.
    pub fn new_call(&mut self, destination: u32) -> NewCall {
        self.next_call += 1;
        NewCall {
            call: CallId(self.next_call),
            class: 0,
            tenant: 0,
            dialled: DialledNumber(1_000_000 + self.next_call),
            patience: ms(3000),
            destination: ExchangeNumber(destination),
            circuits: 1,
            route_hint: None,
            origin: Origin::Subscriber,
        }
    }

    /// Creates a call to `destination` and passes it to the controller.
    pub fn place_call(&mut self, destination: u32) -> (CallId, Vec<Action>) {
        let new = self.new_call(destination);
        (new.call, self.handle(Event::Call(new)))
    }

    pub fn answer(&mut self, call: CallId, attempt: u32, delay: Duration) -> Vec<Action> {
        self.handle(Event::Answered { call, attempt, delay })
    }

    pub fn end_attempt(&mut self, call: CallId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnd {
            call,
            attempt,
            delay: ms(100),
            outcome,
            call_ended: false,
        }))
    }

    /// Advances the clock, with an event without effect each 100 ms, so that the controller sees no stall.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now += ms(100);
            self.handle(Event::CallerAbandoned(CallId(0)));
        }
    }

    /// Places calls to one exchange one after the other: each is answered after `delay`, and the next follows
    /// `gap` later.
    pub fn answer_calls(&mut self, destination: u32, calls: u32, delay: Duration, gap: Duration) {
        for _ in 0..calls {
            let (call, actions) = self.place_call(destination);
            assert!(sent_to(&actions).is_some(), "the call was not sent");
            self.now += delay;
            self.answer(call, 0, delay);
            self.set_free_circuits(destination, 30);
            self.now += gap;
        }
    }
}

/// The exchange that a set-up goes to, if the actions contain one.
pub fn sent_to(actions: &[Action]) -> Option<ExchangeId> {
    actions.iter().find_map(|a| match a {
        Action::SetUp { exchange, .. } => Some(*exchange),
        _ => None,
    })
}

pub fn is_refused(actions: &[Action]) -> bool {
    matches!(actions, [Action::Refuse { .. }])
}

/// The timer that the actions set, if any, and its delay.
pub fn timer_request(actions: &[Action]) -> Option<(TimerId, Duration)> {
    actions.iter().find_map(|a| match a {
        Action::SetTimer { timer, after } => Some((*timer, *after)),
        _ => None,
    })
}
