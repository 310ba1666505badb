//! slateshed's decisions on the client's side of an RPC library: a [`Layer`] whose [`Service`] asks the
//! controller where each request goes, sends it there, and gives it up or refuses it as decided.
//!
//! The inner service takes a [`Routed`] request and sends it to the exchange named in it. No runtime is
//! needed: time comes from a [`Clock`] that the host implements on whatever it runs on, and timers are
//! driven by the requests that wait.

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

/// The time of the host.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Done after a while.
    type Sleep: Future<Output = ()> + Send;
    /// The time now, steady; start times in the list count on the same clock.
    fn now(&self) -> Duration;
    /// Waits.
    fn sleep(&self, time: Duration) -> Self::Sleep;
}

/// What the controller has to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Its class, by position in the settings.
    pub class: usize,
    /// What it is about: requests that are tried again have the same.
    pub dialled: DialledNumber,
    /// Where it goes.
    pub destination: ExchangeNumber,
    /// Circuits it takes.
    pub circuits: u32,
    /// How long its caller waits.
    pub patience: Duration,
}

/// What the plug-in has to know of the RPC library's requests and results.
pub trait Policy<R, T, E>: Clone + Send + 'static {
    /// Describes a request.
    fn describe(&self, request: &R) -> Call;
    /// How an error ended the attempt. What is not known to prove that nothing ran must not be said to.
    fn outcome(&self, error: &E) -> Outcome;
}

/// A request on its way to an exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct Routed<R> {
    /// The request, unchanged.
    pub request: R,
    /// The exchange that it goes to, as the list names it.
    pub exchange: String,
}

/// Why there is no response.
#[derive(Debug, PartialEq)]
pub enum Error<E> {
    /// The request was turned away; trying again is harmless, after the time given.
    Refused(Option<Duration>),
    /// The request failed, and may have run.
    Failed,
    /// The last attempt's own error, after which the request was given up.
    Service(E),
}

impl<E: fmt::Display> fmt::Display for Error<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(Some(stay)) => write!(f, "refused; come back in {} ms", stay.as_millis()),
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

/// What the controller wants of a request.
#[derive(Debug)]
enum Order {
    SetUp(ExchangeId, Duration),
    Refuse(Option<Duration>),
    Fail,
}

#[derive(Default)]
struct Mailbox {
    orders: VecDeque<Order>,
    waker: Option<Waker>,
    /// Where its attempt is out.
    out: Option<ExchangeId>,
    /// The process that its attempt was out at is gone.
    is_lost: bool,
}

/// The circuits towards an exchange.
#[derive(Default)]
struct Group {
    size: Option<u32>,
    used: u32,
}

struct Shared {
    controller: Controller,
    groups: HashMap<ExchangeId, Group>,
    calls: HashMap<CallId, Mailbox>,
    next_call: u64,
    timers: BTreeMap<(Duration, TimerId), ()>,
    directory: Directory,
}

impl Shared {
    /// News of the list. Requests that are out at a process that is gone wait for nothing.
    fn list(&mut self, now: Duration, whole: bool, lines: &[NamedEntry]) {
        let update = self.directory.update(whole, lines);
        let entries = update.entries;
        let list = if whole { ListUpdate::Full(entries) } else { ListUpdate::Delta(entries) };
        self.tell(now, Event::List(list));
        for mailbox in self.calls.values_mut() {
            if mailbox.out.is_some_and(|e| update.lost.contains(&e)) {
                mailbox.is_lost = true;
                mailbox.waker.take().into_iter().for_each(Waker::wake);
            }
        }
        let calls = &self.calls;
        self.directory.forget_gone(|id| calls.values().any(|m| m.out == Some(id)));
        let directory = &self.directory;
        self.groups.retain(|id, _| directory.name(*id).is_some());
    }
    fn tell(&mut self, now: Duration, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        for action in actions {
            let (call, order) = match action {
                Action::SetUp { call, exchange, timeout } => (call, Order::SetUp(exchange, timeout)),
                Action::Refuse { call, retry_after } => (call, Order::Refuse(retry_after)),
                Action::Fail(call) => (call, Order::Fail),
                Action::SetTimer { timer, after } => {
                    self.timers.insert((now + after, timer), ());
                    continue;
                }
                // The host tells of the list by itself.
                Action::Subscribe => continue,
            };
            if let Some(mailbox) = self.calls.get_mut(&call) {
                mailbox.orders.push_back(order);
                mailbox.waker.take().into_iter().for_each(Waker::wake);
            }
        }
    }

    /// Takes circuits, or gives them back where the number is negative.
    fn occupy(&mut self, now: Duration, exchange: ExchangeId, circuits: i64) {
        if self.directory.name(exchange).is_none() {
            return;
        }
        let group = self.groups.entry(exchange).or_default();
        let used = i64::from(group.used) + circuits;
        group.used = u32::try_from(used.max(0)).unwrap_or(u32::MAX);
        if let Some(size) = group.size {
            let free = size.saturating_sub(group.used);
            self.tell(now, Event::Circuits { exchange, free, size });
        }
    }

    /// Has the timers run that are due.
    fn advance(&mut self, now: Duration) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let ((_, timer), ()) = entry.remove_entry();
            self.tell(now, Event::Timer(timer));
        }
    }
}

/// The controller, shared by all that send through it.
#[derive(Clone)]
pub struct Handle<C> {
    shared: Arc<Mutex<Shared>>,
    clock: C,
}

impl<C: Clock> Handle<C> {
    /// A controller without exchanges. `seed` spreads what siblings would otherwise do in step.
    pub fn new(settings: Settings, seed: u64, clock: C) -> Result<Self, SettingsError> {
        let mut shared = Shared {
            controller: Controller::new(settings, seed)?,
            groups: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            timers: BTreeMap::new(),
            directory: Directory::default(),
        };
        shared.tell(clock.now(), Event::Started);
        Ok(Handle { shared: Arc::new(Mutex::new(shared)), clock })
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        // The state is whole between events; a panic of another thread does not spoil it.
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// News of the list: all of it, or changed lines only.
    pub fn list(&self, whole: bool, lines: &[NamedEntry]) {
        self.lock().list(self.clock.now(), whole, lines);
    }

    /// How many circuits (connections, streams) there are towards an exchange. The plug-in counts its own
    /// requests on them; where this is not said, there is always room.
    pub fn circuits(&self, exchange: &str, size: u32) {
        let mut shared = self.lock();
        if let Some(exchange) = shared.directory.id(exchange) {
            shared.groups.entry(exchange).or_default().size = Some(size);
            shared.occupy(self.clock.now(), exchange, 0);
        }
    }
}

/// A request with the controller. However it ends, the controller hears of it.
struct Ticket<C: Clock> {
    handle: Handle<C>,
    call: CallId,
    attempts: u32,
    /// The attempt that is out: where and since when.
    out: Option<(ExchangeId, Duration)>,
    circuits: i64,
    settled: bool,
}

impl<C: Clock> Ticket<C> {
    fn new(handle: Handle<C>, call: Call) -> Self {
        let circuits = i64::from(call.circuits);
        let id = {
            let mut shared = handle.lock();
            shared.next_call += 1;
            let id = CallId(shared.next_call);
            shared.calls.insert(id, Mailbox::default());
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
            shared.tell(handle.clock.now(), event);
            id
        };
        Ticket { handle, call: id, attempts: 0, out: None, circuits, settled: false }
    }

    /// Waits for what the controller wants next.
    async fn order(&mut self) -> Order {
        loop {
            let now = self.handle.clock.now();
            let wait = {
                let mut shared = self.handle.lock();
                shared.advance(now);
                let next = shared.timers.keys().next().map(|(at, _)| at.saturating_sub(now));
                next.unwrap_or(Duration::from_secs(1))
            };
            let mut sleep = pin!(self.handle.clock.sleep(wait));
            let (handle, call) = (&self.handle, self.call);
            let order = poll_fn(|cx| {
                if let Some(mailbox) = handle.lock().calls.get_mut(&call) {
                    if let Some(order) = mailbox.orders.pop_front() {
                        return Poll::Ready(Some(order));
                    }
                    mailbox.waker = Some(cx.waker().clone());
                }
                sleep.as_mut().poll(cx).map(|()| None)
            });
            if let Some(order) = order.await {
                return order;
            }
        }
    }

    /// Done once the process that the attempt is out at is gone.
    async fn lost(&self) {
        poll_fn(|cx| match self.handle.lock().calls.get_mut(&self.call) {
            Some(mailbox) if !mailbox.is_lost => {
                mailbox.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        })
        .await;
    }

    /// An attempt goes out; the name of where it goes, unless the list has it no longer.
    fn set_out(&mut self, now: Duration, exchange: ExchangeId) -> Option<String> {
        let mut shared = self.handle.lock();
        let name = shared.directory.name(exchange).map(str::to_owned);
        if let Some(mailbox) = shared.calls.get_mut(&self.call) {
            (mailbox.out, mailbox.is_lost) = (Some(exchange), false);
        }
        shared.occupy(now, exchange, self.circuits);
        self.attempts += 1;
        self.out = Some((exchange, now));
        name
    }

    /// The attempt that is out has ended.
    fn over(&mut self, outcome: Outcome, call_ended: bool) {
        let now = self.handle.clock.now();
        if let Some((exchange, sent)) = self.out.take() {
            let (call, attempt) = (self.call, self.attempts - 1);
            let delay = now.saturating_sub(sent);
            let mut shared = self.handle.lock();
            if let Some(mailbox) = shared.calls.get_mut(&call) {
                mailbox.out = None;
            }
            shared.occupy(now, exchange, -self.circuits);
            if outcome == Outcome::Ended {
                shared.tell(now, Event::Answered { call, attempt, delay });
            }
            shared.tell(
                now,
                Event::AttemptEnded(AttemptEnd { call, attempt, delay, outcome, call_ended }),
            );
        }
        self.settled |= call_ended;
    }
}

impl<C: Clock> Drop for Ticket<C> {
    fn drop(&mut self) {
        // Dropped with its future: the caller is gone, and the attempt with it.
        if !self.settled {
            let (now, call) = (self.handle.clock.now(), self.call);
            self.handle.lock().tell(now, Event::CallerAbandoned(call));
            self.over(Outcome::Cancelled, true);
        }
        self.handle.lock().calls.remove(&self.call);
    }
}

/// Makes [`Slateshed`] services around others.
#[derive(Clone)]
pub struct SlateshedLayer<C, P> {
    handle: Handle<C>,
    policy: P,
}

impl<C, P> SlateshedLayer<C, P> {
    /// A layer on a controller.
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

/// A service that sends each request where the controller decides.
#[derive(Clone)]
pub struct Slateshed<S, C, P> {
    inner: S,
    handle: Handle<C>,
    policy: P,
}

/// The response to come.
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

    /// Always ready: each attempt waits for the inner service by itself, and only while its time lasts.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: R) -> Self::Future {
        let (inner, policy) = (self.inner.clone(), self.policy.clone());
        let ticket = Ticket::new(self.handle.clone(), policy.describe(&request));
        Box::pin(carry(inner, policy, ticket, request))
    }
}

async fn carry<R, S, C, P>(
    inner: S,
    policy: P,
    mut ticket: Ticket<C>,
    request: R,
) -> Result<S::Response, Error<S::Error>>
where
    R: Clone,
    S: Service<Routed<R>> + Clone,
    C: Clock,
    P: Policy<R, S::Response, S::Error>,
{
    let mut last = None;
    loop {
        let (exchange, timeout) = match ticket.order().await {
            Order::SetUp(exchange, timeout) => (exchange, timeout),
            Order::Refuse(stay) => {
                ticket.settled = true;
                return Err(Error::Refused(stay));
            }
            Order::Fail => {
                ticket.settled = true;
                return Err(last.map_or(Error::Failed, Error::Service));
            }
        };
        let now = ticket.handle.clock.now();
        let Some(name) = ticket.set_out(now, exchange) else {
            ticket.over(Outcome::NotSent, false);
            continue;
        };
        let routed = Routed { request: request.clone(), exchange: name };
        let mut service = inner.clone();
        let attempt = async {
            poll_fn(|cx| service.poll_ready(cx)).await?;
            service.call(routed).await
        };
        match attempted(attempt, ticket.handle.clock.sleep(timeout), ticket.lost()).await {
            Attempted::Done(Ok(response)) => {
                ticket.over(Outcome::Ended, true);
                return Ok(response);
            }
            Attempted::Done(Err(error)) => {
                let outcome = policy.outcome(&error);
                last = Some(error);
                ticket.over(outcome, false);
            }
            Attempted::TimedOut => ticket.over(Outcome::TimedOut, false),
            Attempted::Lost => ticket.over(Outcome::Reset, false),
        }
    }
}

/// What an attempt has come to.
enum Attempted<T> {
    Done(T),
    TimedOut,
    /// The process that it was out at is gone.
    Lost,
}

/// The result of a future, unless its time is over first or its process is gone; the future is dropped then.
async fn attempted<T>(
    future: impl Future<Output = T>,
    sleep: impl Future<Output = ()>,
    lost: impl Future<Output = ()>,
) -> Attempted<T> {
    let (mut future, mut sleep, mut lost) = (pin!(future), pin!(sleep), pin!(lost));
    poll_fn(|cx| {
        if let Poll::Ready(result) = future.as_mut().poll(cx) {
            return Poll::Ready(Attempted::Done(result));
        }
        if lost.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Attempted::Lost);
        }
        sleep.as_mut().poll(cx).map(|()| Attempted::TimedOut)
    })
    .await
}
