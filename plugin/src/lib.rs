//! slateshed's decisions on the client's side of an RPC library: a [`Layer`] whose [`Service`] asks the
//! controller to which exchange each request goes, sends it there, and retries, refuses or fails it as the
//! controller decides.
//!
//! The inner service takes a [`Routed`] request and sends it to the exchange named in it. No particular
//! async runtime is needed: the host implements [`Clock`] on its own runtime, and the futures of pending
//! requests run the controller's timers.

mod directory;

use directory::Directory;
use slateshed::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tower_layer::Layer;
use tower_service::Service;

/// The clock of the host.
pub trait Clock: Clone + Send + Sync + 'static {
    /// A future that completes after a delay.
    type Sleep: Future<Output = ()> + Send;
    /// The current time of a monotonic clock. Start times in the list are measured on the same clock.
    fn now(&self) -> Duration;
    /// Returns a future that completes after the given delay.
    fn sleep(&self, delay: Duration) -> Self::Sleep;
}

/// The properties of a request that the controller decides by. The controller treats each request as a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Its class, by position in the settings.
    pub class: usize,
    /// Identifies what is asked for: a request that its caller repeats has the same number.
    pub dialled: DialledNumber,
    /// The number of the exchange that it is for.
    pub destination: ExchangeNumber,
    /// The number of circuits that it occupies.
    pub circuits: u32,
    /// How long its caller waits for the response.
    pub patience: Duration,
}

/// Translates the RPC library's requests and errors for the controller.
pub trait Policy<R, T, E>: Clone + Send + 'static {
    /// Returns the properties of a request.
    fn describe(&self, request: &R) -> Call;
    /// Returns the outcome of an attempt that ended with this error. An outcome that proves that the request
    /// did not run ([`Outcome::proves_not_run`]) is allowed only if this is certain: the controller may send
    /// the request again.
    fn outcome(&self, error: &E) -> Outcome;
}

/// A request with the exchange that the controller has chosen for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Routed<R> {
    /// The request, unchanged.
    pub request: R,
    /// The name of the exchange, as in the list.
    pub exchange: String,
}

/// The reason why a request has no response.
#[derive(Debug, PartialEq)]
pub enum Error<E> {
    /// The request was refused; it can safely be sent again, after the given delay if there is one.
    Refused(Option<Duration>),
    /// The request failed, and may have run; the inner service returned no error for it.
    Failed,
    /// The request failed; holds the last error that the inner service returned for it.
    Service(E),
}

impl<E: fmt::Display> fmt::Display for Error<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(Some(delay)) => write!(f, "refused; retry after {} ms", delay.as_millis()),
            Error::Refused(None) => write!(f, "refused"),
            Error::Failed => write!(f, "failed"),
            Error::Service(e) => e.fmt(f),
        }
    }
}

impl<E: std::error::Error + 'static> std::error::Error for Error<E> {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Service(e) => Some(e),
            Error::Refused(_) | Error::Failed => None,
        }
    }
}

/// A decision of the controller about a request.
#[derive(Debug)]
enum Decision {
    /// Send an attempt to this exchange, with this timeout.
    SetUp(ExchangeId, Duration),
    /// Refuse the request; the caller may repeat it after this delay.
    Refuse(Option<Duration>),
    Fail,
}

/// The part of a request's state that other requests and updates of the list change.
#[derive(Default)]
struct RequestState {
    /// Decisions that the request's future has not taken yet.
    decisions: VecDeque<Decision>,
    waker: Option<Waker>,
    /// The exchange to which the attempt in flight was sent.
    in_flight_at: Option<ExchangeId>,
    /// The process of that exchange has terminated.
    exchange_terminated: bool,
}

/// The circuits to an exchange.
#[derive(Default)]
struct TrunkGroup {
    /// How many circuits there are; none if the host has not set it.
    size: Option<u32>,
    /// How many of them this plug-in's own requests occupy.
    used: u32,
}

/// The state that all requests of a controller share.
struct Shared {
    controller: Controller,
    trunk_groups: HashMap<ExchangeId, TrunkGroup>,
    requests: HashMap<CallId, RequestState>,
    next_call_id: u64,
    timers: BTreeMap<(Duration, TimerId), ()>,
    directory: Directory,
}

impl Shared {
    /// Applies an update of the list. Attempts in flight at an exchange whose process has terminated end at
    /// once instead of waiting for their timeout.
    fn update_list(&mut self, now: Duration, full: bool, named_entries: &[NamedEntry]) {
        let update = self.directory.update(full, named_entries);
        let entries = update.entries;
        let list = if full { ListUpdate::Full(entries) } else { ListUpdate::Delta(entries) };
        self.handle_event(now, Event::List(list));
        for request in self.requests.values_mut() {
            if request.in_flight_at.is_some_and(|e| update.terminated.contains(&e)) {
                request.exchange_terminated = true;
                request.waker.take().into_iter().for_each(Waker::wake);
            }
        }
        let requests = &self.requests;
        self.directory.remove_gone(|id| requests.values().any(|r| r.in_flight_at == Some(id)));
        let directory = &self.directory;
        self.trunk_groups.retain(|id, _| directory.name(*id).is_some());
    }

    /// Passes an event to the controller and distributes its actions: decisions to their requests, and timers
    /// to the timer queue.
    fn handle_event(&mut self, now: Duration, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        for action in actions {
            let (call, decision) = match action {
                Action::SetUp { call, exchange, timeout } => (call, Decision::SetUp(exchange, timeout)),
                Action::Refuse { call, retry_after } => (call, Decision::Refuse(retry_after)),
                Action::Fail(call) => (call, Decision::Fail),
                Action::SetTimer { timer, after } => {
                    self.timers.insert((now + after, timer), ());
                    continue;
                }
                // The host sends changes of the list without being asked.
                Action::Subscribe => continue,
            };
            if let Some(request) = self.requests.get_mut(&call) {
                request.decisions.push_back(decision);
                request.waker.take().into_iter().for_each(Waker::wake);
            }
        }
    }

    /// Adds `change`, which is negative when circuits become free, to the number of circuits in use to an
    /// exchange. Reports the free circuits to the controller if the size of the trunk group is known.
    fn change_used_circuits(&mut self, now: Duration, exchange: ExchangeId, change: i64) {
        if self.directory.name(exchange).is_none() {
            return;
        }
        let group = self.trunk_groups.entry(exchange).or_default();
        let used = i64::from(group.used) + change;
        group.used = u32::try_from(used.max(0)).unwrap_or(u32::MAX);
        if let Some(size) = group.size {
            let free = size.saturating_sub(group.used);
            self.handle_event(now, Event::Circuits { exchange, free, size });
        }
    }

    /// Runs the timers that are due.
    fn run_due_timers(&mut self, now: Duration) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let ((_, timer), ()) = entry.remove_entry();
            self.handle_event(now, Event::Timer(timer));
        }
    }
}

/// A controller, shared by all services that send requests through it.
#[derive(Clone)]
pub struct Handle<C> {
    shared: Arc<Mutex<Shared>>,
    clock: C,
}

impl<C: Clock> Handle<C> {
    /// Starts a controller that has no list of exchanges yet. Each controller of a network needs its own `seed`:
    /// with the same one, all would take the same of several equal routes and act at the same times.
    pub fn new(settings: Settings, seed: u64, clock: C) -> Result<Self, SettingsError> {
        let mut shared = Shared {
            controller: Controller::new(settings, seed)?,
            trunk_groups: HashMap::new(),
            requests: HashMap::new(),
            next_call_id: 0,
            timers: BTreeMap::new(),
            directory: Directory::default(),
        };
        shared.handle_event(clock.now(), Event::Started);
        Ok(Handle { shared: Arc::new(Mutex::new(shared)), clock })
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        // The state is consistent between events, so a lock that a panic in another thread has poisoned is usable.
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an update of the list: all entries if `full`, otherwise the changed entries only.
    pub fn update_list(&self, full: bool, named_entries: &[NamedEntry]) {
        self.lock().update_list(self.clock.now(), full, named_entries);
    }

    /// Sets the number of circuits (connections, streams) to an exchange of the list. The plug-in counts how many
    /// of them its own requests occupy. If no number is set, the controller assumes that circuits to the
    /// exchange are always free.
    pub fn set_circuits(&self, exchange: &str, size: u32) {
        let mut shared = self.lock();
        if let Some(exchange) = shared.directory.id(exchange) {
            shared.trunk_groups.entry(exchange).or_default().size = Some(size);
            shared.change_used_circuits(self.clock.now(), exchange, 0);
        }
    }
}

/// A request that is registered with the controller. The end of the request is reported to the controller in
/// any case, also when the caller drops the future.
struct RequestGuard<C: Clock> {
    handle: Handle<C>,
    call: CallId,
    attempts: u32,
    /// The attempt in flight: the exchange to which it was sent, and when.
    in_flight: Option<(ExchangeId, Duration)>,
    circuits: i64,
    /// The call has ended for the controller; otherwise dropping this cancels it.
    call_ended: bool,
}

impl<C: Clock> RequestGuard<C> {
    fn new(handle: Handle<C>, call: Call) -> Self {
        let circuits = i64::from(call.circuits);
        let id = {
            let mut shared = handle.lock();
            shared.next_call_id += 1;
            let id = CallId(shared.next_call_id);
            shared.requests.insert(id, RequestState::default());
            let event = Event::Call(NewCall {
                call: id,
                class: call.class,
                tenant: 0,
                dialled: call.dialled,
                patience: call.patience,
                destination: call.destination,
                circuits: call.circuits,
                route_hint: None,
                origin: Origin::Subscriber,
            });
            shared.handle_event(handle.clock.now(), event);
            id
        };
        RequestGuard { handle, call: id, attempts: 0, in_flight: None, circuits, call_ended: false }
    }

    /// Waits for the next decision of the controller, and runs its due timers meanwhile.
    async fn next_decision(&mut self) -> Decision {
        loop {
            let now = self.handle.clock.now();
            let wait = {
                let mut shared = self.handle.lock();
                shared.run_due_timers(now);
                let until_next_timer = shared.timers.keys().next().map(|(at, _)| at.saturating_sub(now));
                until_next_timer.unwrap_or(Duration::from_secs(1))
            };
            let mut sleep = pin!(self.handle.clock.sleep(wait));
            let (handle, call) = (&self.handle, self.call);
            let decision = poll_fn(|cx| {
                if let Some(request) = handle.lock().requests.get_mut(&call) {
                    if let Some(decision) = request.decisions.pop_front() {
                        return Poll::Ready(Some(decision));
                    }
                    request.waker = Some(cx.waker().clone());
                }
                sleep.as_mut().poll(cx).map(|()| None)
            });
            if let Some(decision) = decision.await {
                return decision;
            }
        }
    }

    /// Completes once the process of the exchange to which the attempt was sent has terminated.
    async fn exchange_terminated(&self) {
        poll_fn(|cx| match self.handle.lock().requests.get_mut(&self.call) {
            Some(request) if !request.exchange_terminated => {
                request.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        })
        .await;
    }

    /// Records the start of an attempt, and returns the name of its exchange, if still listed.
    fn start_attempt(&mut self, now: Duration, exchange: ExchangeId) -> Option<String> {
        let mut shared = self.handle.lock();
        let name = shared.directory.name(exchange).map(str::to_owned);
        if let Some(request) = shared.requests.get_mut(&self.call) {
            (request.in_flight_at, request.exchange_terminated) = (Some(exchange), false);
        }
        shared.change_used_circuits(now, exchange, self.circuits);
        self.attempts += 1;
        self.in_flight = Some((exchange, now));
        name
    }

    /// Reports the end of the attempt in flight, if there is one, to the controller.
    fn end_attempt(&mut self, outcome: Outcome, call_ended: bool) {
        let now = self.handle.clock.now();
        if let Some((exchange, sent_at)) = self.in_flight.take() {
            let (call, attempt) = (self.call, self.attempts - 1);
            let delay = now.saturating_sub(sent_at);
            let mut shared = self.handle.lock();
            if let Some(request) = shared.requests.get_mut(&call) {
                request.in_flight_at = None;
            }
            shared.change_used_circuits(now, exchange, -self.circuits);
            if outcome == Outcome::Ended {
                shared.handle_event(now, Event::Answered { call, attempt, delay });
            }
            shared.handle_event(
                now,
                Event::AttemptEnded(AttemptEnd { call, attempt, delay, outcome, call_ended }),
            );
        }
        self.call_ended |= call_ended;
    }
}

impl<C: Clock> Drop for RequestGuard<C> {
    fn drop(&mut self) {
        // The caller dropped the future before the call ended, which cancels the attempt in flight.
        if !self.call_ended {
            let (now, call) = (self.handle.clock.now(), self.call);
            self.handle.lock().handle_event(now, Event::CallerAbandoned(call));
            self.end_attempt(Outcome::Cancelled, true);
        }
        self.handle.lock().requests.remove(&self.call);
    }
}

/// A layer that wraps services in [`Slateshed`].
#[derive(Clone)]
pub struct SlateshedLayer<C, P> {
    handle: Handle<C>,
    policy: P,
}

impl<C, P> SlateshedLayer<C, P> {
    /// Creates a layer that sends requests by the decisions of the handle's controller.
    pub fn new(handle: Handle<C>, policy: P) -> Self {
        SlateshedLayer { handle, policy }
    }
}

impl<S, C: Clone, P: Clone> Layer<S> for SlateshedLayer<C, P> {
    type Service = Slateshed<S, C, P>;

    fn layer(&self, inner: S) -> Self::Service {
        Slateshed { inner, handle: self.handle.clone(), policy: self.policy.clone() }
    }
}

/// A service that sends each request to the exchange that the controller chooses.
#[derive(Clone)]
pub struct Slateshed<S, C, P> {
    inner: S,
    handle: Handle<C>,
    policy: P,
}

/// The future that [`Slateshed`] returns.
pub type ResponseFuture<T, E> = Pin<Box<dyn Future<Output = Result<T, Error<E>>> + Send>>;

impl<R, S, C, P> Service<R> for Slateshed<S, C, P>
where
    R: Clone + Send + 'static,
    S: Service<Routed<R>> + Clone + Send + 'static,
    S::Future: Send,
    S::Response: Send + 'static,
    S::Error: Send + 'static,
    C: Clock,
    P: Policy<R, S::Response, S::Error>,
{
    type Response = S::Response;
    type Error = Error<S::Error>;
    type Future = ResponseFuture<S::Response, S::Error>;

    /// Always ready: each attempt waits for the inner service to become ready, within its own timeout.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: R) -> Self::Future {
        let (inner, policy) = (self.inner.clone(), self.policy.clone());
        let guard = RequestGuard::new(self.handle.clone(), policy.describe(&request));
        Box::pin(run_request(inner, policy, guard, request))
    }
}

/// Runs a request: sends attempts as the controller decides, until one succeeds or the controller refuses or
/// fails the request.
async fn run_request<R, S, C, P>(
    inner: S,
    policy: P,
    mut guard: RequestGuard<C>,
    request: R,
) -> Result<S::Response, Error<S::Error>>
where
    R: Clone,
    S: Service<Routed<R>> + Clone,
    C: Clock,
    P: Policy<R, S::Response, S::Error>,
{
    let mut last_error = None;
    loop {
        let (exchange, timeout) = match guard.next_decision().await {
            Decision::SetUp(exchange, timeout) => (exchange, timeout),
            Decision::Refuse(retry_after) => {
                guard.call_ended = true;
                return Err(Error::Refused(retry_after));
            }
            Decision::Fail => {
                guard.call_ended = true;
                return Err(last_error.map_or(Error::Failed, Error::Service));
            }
        };
        let now = guard.handle.clock.now();
        let Some(name) = guard.start_attempt(now, exchange) else {
            guard.end_attempt(Outcome::NotSent, false);
            continue;
        };
        let routed = Routed { request: request.clone(), exchange: name };
        let mut service = inner.clone();
        let attempt = async {
            poll_fn(|cx| service.poll_ready(cx)).await?;
            service.call(routed).await
        };
        match run_attempt(attempt, guard.handle.clock.sleep(timeout), guard.exchange_terminated()).await
        {
            AttemptResult::Completed(Ok(response)) => {
                guard.end_attempt(Outcome::Ended, true);
                return Ok(response);
            }
            AttemptResult::Completed(Err(error)) => {
                let outcome = policy.outcome(&error);
                last_error = Some(error);
                guard.end_attempt(outcome, false);
            }
            AttemptResult::TimedOut => guard.end_attempt(Outcome::TimedOut, false),
            AttemptResult::ExchangeTerminated => guard.end_attempt(Outcome::Reset, false),
        }
    }
}

/// The result of an attempt.
enum AttemptResult<T> {
    Completed(T),
    TimedOut,
    /// The process of the exchange to which it was sent has terminated.
    ExchangeTerminated,
}

/// Runs the future of an attempt until it completes, its timeout expires, or the process of its exchange has
/// terminated; in the last two cases the future is dropped.
async fn run_attempt<T>(
    attempt: impl Future<Output = T>,
    timeout: impl Future<Output = ()>,
    terminated: impl Future<Output = ()>,
) -> AttemptResult<T> {
    let (mut attempt, mut timeout, mut terminated) = (pin!(attempt), pin!(timeout), pin!(terminated));
    poll_fn(|cx| {
        if let Poll::Ready(result) = attempt.as_mut().poll(cx) {
            return Poll::Ready(AttemptResult::Completed(result));
        }
        if terminated.as_mut().poll(cx).is_ready() {
            return Poll::Ready(AttemptResult::ExchangeTerminated);
        }
        timeout.as_mut().poll(cx).map(|()| AttemptResult::TimedOut)
    })
    .await
}
