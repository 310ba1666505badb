//! Tests of the layer around an RPC service with scripted results. The clock uses threads, so the tests need no async
//! runtime.

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
struct ThreadClock(Instant);

impl Clock for ThreadClock {
    type Sleep = Pin<Box<dyn Future<Output = ()> + Send>>;

    fn now(&self) -> Duration {
        ms(100_000) + self.0.elapsed()
    }

    fn sleep(&self, delay: Duration) -> Self::Sleep {
        let deadline = Instant::now() + delay;
        let mut is_thread_started = false;
        Box::pin(poll_fn(move |cx| {
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
            if !std::mem::replace(&mut is_thread_started, true) {
                let waker = cx.waker().clone();
                std::thread::spawn(move || {
                    std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
                    waker.wake();
                });
            }
            Poll::Pending
        }))
    }
}

#[derive(Clone)]
struct NumberPolicy;

impl Policy<u64, &'static str, Outcome> for NumberPolicy {
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

/// Returns the scripted results in order, then never completes; records the exchange of each request.
#[derive(Clone, Default)]
struct ScriptedService {
    results: Arc<Mutex<VecDeque<Result<&'static str, Outcome>>>>,
    exchanges: Arc<Mutex<Vec<String>>>,
}

impl Service<Routed<u64>> for ScriptedService {
    type Response = &'static str;
    type Error = Outcome;
    type Future = Pin<Box<dyn Future<Output = Result<&'static str, Outcome>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Outcome>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, routed: Routed<u64>) -> Self::Future {
        self.exchanges.lock().expect("the lock is not poisoned").push(routed.exchange);
        match self.results.lock().expect("the lock is not poisoned").pop_front() {
            Some(result) => Box::pin(ready(result)),
            None => Box::pin(pending()),
        }
    }
}

fn entry(name: &str, number: u32) -> NamedEntry {
    NamedEntry {
        name: name.to_owned(),
        number: ExchangeNumber(number),
        zone: 0,
        phase: Phase::InService,
        started_at: Duration::ZERO,
    }
}

fn service(
    results: &[Result<&'static str, Outcome>],
) -> (Slateshed<ScriptedService, ThreadClock, NumberPolicy>, ScriptedService) {
    let (service, inner, _) = service_with_handle(results);
    (service, inner)
}

/// The same, with the handle that updates the list.
fn service_with_handle(
    results: &[Result<&'static str, Outcome>],
) -> (Slateshed<ScriptedService, ThreadClock, NumberPolicy>, ScriptedService, Handle<ThreadClock>) {
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
    let handle = Handle::new(settings, 7, ThreadClock(Instant::now())).expect("the settings are valid");
    handle.update_list(true, &[entry("own", 0), entry("one", 1), entry("two", 2)]);
    handle.set_circuits("one", 5);
    handle.set_circuits("two", 5);
    let inner = ScriptedService::default();
    inner.results.lock().expect("the lock is not poisoned").extend(results.iter().copied());
    (SlateshedLayer::new(handle.clone(), NumberPolicy).layer(inner.clone()), inner, handle)
}

/// Guards against a request that fails because its direct route has no free circuit, although a tandem has one.
#[test]
fn request_takes_the_direct_route_and_a_tandem_when_no_circuit_is_free() {
    let (mut service, inner) = service(&[Ok("first"), Err(Outcome::NoCircuit), Ok("second")]);
    assert_eq!(pollster::block_on(service.call(1)), Ok("first"));
    assert_eq!(pollster::block_on(service.call(2)), Ok("second"));
    assert_eq!(*inner.exchanges.lock().expect("the lock is not poisoned"), ["one", "one", "two"]);
}

/// Guards against requests that wait for ever for an exchange that does not answer, and against refusals
/// without a retry delay.
#[test]
fn unanswered_request_times_out_and_is_refused_with_a_retry_delay() {
    let (mut service, inner) = service(&[]);
    let started = Instant::now();
    let result = pollster::block_on(service.call(1));
    assert!(matches!(result, Err(Error::Refused(Some(delay))) if delay <= ms(2000)), "{result:?}");
    assert!(started.elapsed() >= ms(400), "the request was refused before its attempt timed out");
    assert_eq!(inner.exchanges.lock().expect("the lock is not poisoned").len(), 1);
}

/// Guards against requests that wait until their timeout although the list says that the process of their exchange is
/// gone or has restarted.
#[test]
fn request_ends_at_once_when_its_exchange_is_gone_or_restarts() {
    for (phase, started_at) in [(Phase::Gone, 0), (Phase::InService, 90_000)] {
        let (service, inner, handle) = service_with_handle(&[]);
        let request = std::thread::spawn({
            let mut service = service.clone();
            move || pollster::block_on(service.call(1))
        });
        let started = Instant::now();
        while inner.exchanges.lock().expect("the lock is not poisoned").is_empty() {
            assert!(started.elapsed() < ms(5000), "the request was not sent");
            std::thread::sleep(ms(1));
        }
        handle
            .update_list(false, &[NamedEntry { phase, started_at: ms(started_at), ..entry("one", 1) }]);
        let result = request.join().expect("the request thread does not panic");
        assert!(matches!(result, Err(Error::Refused(_))), "{result:?}");
        // The attempt times out after 400 ms, and no other may be sent within 500 ms of its end.
        assert!(started.elapsed() < ms(350), "{phase:?}: {:?}", started.elapsed());
    }
}

/// Guards against dropped requests that count as in flight for ever: they would keep their circuits, and the
/// controller would go on refusing calls to their exchange.
#[test]
fn dropped_request_is_cancelled() {
    let (mut service, inner) = service(&[]);
    for n in 0..12 {
        let mut future = service.call(n);
        let polled = pollster::block_on(poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))));
        assert!(polled.is_pending());
    }
    inner.results.lock().expect("the lock is not poisoned").push_back(Ok("admitted"));
    assert_eq!(pollster::block_on(service.call(99)), Ok("admitted"));
    assert_eq!(inner.exchanges.lock().expect("the lock is not poisoned").len(), 13);
}
