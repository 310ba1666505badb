//! The plug-in around an RPC service that follows a script, on a clock made of threads: no runtime.

use slateshed::*;
use slateshed_tower::*;
use std::collections::VecDeque;
use std::future::{pending, poll_fn, ready, Future};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tower_layer::Layer;
use tower_service::Service;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Clone)]
struct Threads(Instant);

impl Clock for Threads {
    type Sleep = Pin<Box<dyn Future<Output = ()> + Send>>;

    fn now(&self) -> Duration {
        ms(100_000) + self.0.elapsed()
    }

    fn sleep(&self, time: Duration) -> Self::Sleep {
        let until = Instant::now() + time;
        let mut set = false;
        Box::pin(poll_fn(move |cx| {
            if Instant::now() >= until {
                return Poll::Ready(());
            }
            if !std::mem::replace(&mut set, true) {
                let waker = cx.waker().clone();
                std::thread::spawn(move || {
                    std::thread::sleep(until.saturating_duration_since(Instant::now()));
                    waker.wake();
                });
            }
            Poll::Pending
        }))
    }
}

#[derive(Clone)]
struct Numbers;

impl Policy<u64, &'static str, Outcome> for Numbers {
    fn describe(&self, request: &u64) -> Call {
        Call {
            class: 0,
            dialled: DialledNumber(*request),
            destination: ExchangeNumber(1),
            circuits: 1,
            patience: ms(3000),
        }
    }

    fn outcome(&self, error: &Outcome) -> Outcome {
        *error
    }
}

/// Answers by its script, and with silence after that; notes where requests went.
#[derive(Clone, Default)]
struct Script {
    script: Arc<Mutex<VecDeque<Result<&'static str, Outcome>>>>,
    went: Arc<Mutex<Vec<String>>>,
}

impl Service<Routed<u64>> for Script {
    type Response = &'static str;
    type Error = Outcome;
    type Future = Pin<Box<dyn Future<Output = Result<&'static str, Outcome>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Outcome>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, routed: Routed<u64>) -> Self::Future {
        self.went.lock().expect("no panic").push(routed.exchange);
        match self.script.lock().expect("no panic").pop_front() {
            Some(result) => Box::pin(ready(result)),
            None => Box::pin(pending()),
        }
    }
}

fn line(name: &str, n: u32) -> NamedEntry {
    NamedEntry {
        name: name.to_owned(),
        number: ExchangeNumber(n),
        zone: 0,
        phase: Phase::InService,
        started_at: Duration::ZERO,
    }
}

fn service(script: &[Result<&'static str, Outcome>]) -> (Slateshed<Script, Threads, Numbers>, Script) {
    let (service, inner, _) = handled(script);
    (service, inner)
}

/// The same with the handle by which the list is told.
fn handled(
    script: &[Result<&'static str, Outcome>],
) -> (Slateshed<Script, Threads, Numbers>, Script, Handle<Threads>) {
    let class = Class {
        target_delay: ms(400),
        deadline: ms(9000),
        worth: 1.0,
        late_worth: 0.2,
        mean_hold: ms(10_000),
        idempotency: Idempotency::Idempotent,
        pools: vec![],
    };
    let rules = Rules {
        drain_grace: ms(500),
        overload_multiple: 4.0,
        overload_window: ms(1000),
        cold_capacity_ratio: 0.3,
        warm_up_time: ms(10_000),
        release_delay: ms(500),
    };
    let settings = Settings {
        topology: Topology::Mesh { local: ExchangeNumber(0) },
        classes: vec![class],
        tenant_quota: vec![],
        over_share_worth: 1.0,
        rules,
        controller_count: 3,
        controller_index: 0,
        max_attempts: 5,
        tick_interval: ms(5),
        resend_interval: Duration::ZERO,
        discovery: Discovery::Pushed,
        max_retry_after: ms(2000),
    };
    let handle = Handle::new(settings, 7, Threads(Instant::now())).expect("settings make sense");
    handle.list(true, &[line("own", 0), line("one", 1), line("two", 2)]);
    handle.circuits("one", 5);
    handle.circuits("two", 5);
    let inner = Script::default();
    inner.script.lock().expect("no panic").extend(script.iter().copied());
    (SlateshedLayer::new(handle.clone(), Numbers).layer(inner.clone()), inner, handle)
}

#[test]
fn a_request_goes_direct_and_by_the_tandem_once_there_is_no_circuit() {
    let (mut service, inner) = service(&[Ok("first"), Err(Outcome::NoCircuit), Ok("second")]);
    assert_eq!(pollster::block_on(service.call(1)), Ok("first"));
    assert_eq!(pollster::block_on(service.call(2)), Ok("second"));
    assert_eq!(*inner.went.lock().expect("no panic"), ["one", "one", "two"]);
}

/// Guards against requests that wait for ever for a silent exchange, and against refusals that don't say
/// when to come back.
#[test]
fn silence_is_timed_out_and_refused_with_the_time_to_come_back() {
    let (mut service, inner) = service(&[]);
    let begun = Instant::now();
    let result = pollster::block_on(service.call(1));
    assert!(matches!(result, Err(Error::Refused(Some(stay))) if stay <= ms(2000)), "{result:?}");
    assert!(begun.elapsed() >= ms(400), "given its time");
    assert_eq!(inner.went.lock().expect("no panic").len(), 1);
}

/// Guards against requests that wait out their time at a process that is gone, as the list says, or has started anew.
#[test]
fn a_request_at_a_process_that_is_gone_waits_for_nothing() {
    for (phase, started_at) in [(Phase::Gone, 0), (Phase::InService, 90_000)] {
        let (service, inner, handle) = handled(&[]);
        let request = std::thread::spawn({
            let mut service = service.clone();
            move || pollster::block_on(service.call(1))
        });
        let begun = Instant::now();
        while inner.went.lock().expect("no panic").is_empty() {
            assert!(begun.elapsed() < ms(5000), "it goes out");
            std::thread::sleep(ms(1));
        }
        handle.list(false, &[NamedEntry { phase, started_at: ms(started_at), ..line("one", 1) }]);
        let result = request.join().expect("no panic");
        assert!(matches!(result, Err(Error::Refused(_))), "{result:?}");
        // Its own time is 400 ms, and it may not go again within 500.
        assert!(begun.elapsed() < ms(350), "{phase:?}: {:?}", begun.elapsed());
    }
}

/// Guards against a dropped request that counts as out for ever, its circuit taken and its latch shut.
#[test]
fn a_dropped_request_is_called_off() {
    let (mut service, inner) = service(&[]);
    for n in 0..12 {
        let mut future = service.call(n);
        let polled = pollster::block_on(poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))));
        assert!(polled.is_pending());
    }
    inner.script.lock().expect("no panic").push_back(Ok("still open"));
    assert_eq!(pollster::block_on(service.call(99)), Ok("still open"));
    assert_eq!(inner.went.lock().expect("no panic").len(), 13);
}
