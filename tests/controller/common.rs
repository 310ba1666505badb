//! A controller with a hand on its clock.

use slateshed::*;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

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

pub fn entry(number: u32, phase: Phase, started_at: Duration) -> ListEntry {
    ListEntry {
        exchange: ExchangeId(10 + number),
        number: ExchangeNumber(number),
        zone: 0,
        phase,
        started_at,
    }
}

pub fn far(number: u32) -> ExchangeId {
    ExchangeId(10 + number)
}

pub struct Host {
    pub controller: Controller,
    pub now: Duration,
    next_call: u64,
}

impl Host {
    /// Four exchanges in service, 30 of 30 circuits free to each.
    pub fn new(settings: Settings) -> Self {
        let controller = Controller::new(settings, 1).expect("settings make sense");
        let mut host = Host { controller, now: ms(100_000), next_call: 0 };
        host.tell(Event::Started);
        let list = (0..4).map(|n| entry(n, Phase::InService, Duration::ZERO));
        host.tell(Event::List(ListUpdate::Full(list.collect())));
        for n in 1..4 {
            host.circuits(n, 30);
        }
        host
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        actions
    }

    pub fn circuits(&mut self, number: u32, free: u32) {
        self.tell(Event::Circuits { exchange: far(number), free, size: 30 });
    }

    pub fn change(&mut self, number: u32, phase: Phase, started_at: Duration) {
        let entries = vec![entry(number, phase, started_at)];
        self.tell(Event::List(ListUpdate::Delta(entries)));
    }

    /// A call that has not been handed over yet.
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

    pub fn call(&mut self, destination: u32) -> (CallId, Vec<Action>) {
        let new = self.new_call(destination);
        (new.call, self.tell(Event::Call(new)))
    }

    pub fn stands(&mut self, call: CallId, attempt: u32, delay: Duration) -> Vec<Action> {
        self.tell(Event::Answered { call, attempt, delay })
    }

    pub fn over(&mut self, call: CallId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.tell(Event::AttemptEnded(AttemptEnd {
            call,
            attempt,
            delay: ms(100),
            outcome,
            call_ended: false,
        }))
    }

    /// Lets time pass with small events, as a busy controller sees it.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now += ms(100);
            self.tell(Event::CallerAbandoned(CallId(0)));
        }
    }

    /// Lets calls to one exchange stand one after the other, `gap` apart, each after `delay`.
    pub fn answer_calls(&mut self, destination: u32, calls: u32, delay: Duration, gap: Duration) {
        for _ in 0..calls {
            let (call, actions) = self.call(destination);
            assert!(sent_to(&actions).is_some(), "a call was refused");
            self.now += delay;
            self.stands(call, 0, delay);
            self.circuits(destination, 30);
            self.now += gap;
        }
    }
}

pub fn sent_to(actions: &[Action]) -> Option<ExchangeId> {
    actions.iter().find_map(|a| match a {
        Action::SetUp { exchange, .. } => Some(*exchange),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    matches!(actions, [Action::Refuse { .. }])
}

pub fn timer(actions: &[Action]) -> Option<(TimerId, Duration)> {
    actions.iter().find_map(|a| match a {
        Action::SetTimer { timer, after } => Some((*timer, *after)),
        _ => None,
    })
}
