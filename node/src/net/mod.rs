//! The sockets: one poll, one loop, a module for each kind of peer.

pub mod clients;
pub mod conn;
pub mod exchanges;
pub mod inherited;
pub mod journal;
pub mod lifecycle;
pub mod lines;
pub mod operators;
pub mod sip;

use crate::arena::Token;
use crate::config::{Config, ListEvent, WireConfig};
use crate::engine::{Command, Engine, EngineTimer};
use crate::log::Log;
use crate::stats::{self, Reloads};
use crate::timers::TimerQueue;
use clients::Clients;
use exchanges::Exchanges;
use inherited::Serving;
use journal::Journal;
use lifecycle::Lifecycle;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry};
use operators::{Call, Operators};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use sip::{Sip, SipDue};
use slateshed::{ExchangeId, ExchangeNumber, Topology};
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Whoever connects and has said nothing whole within this time is closed on, on either front; so is one whose
/// message has begun and is not whole by then. Some take two seconds to write one.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2700);

/// Connections accepted in one turn, on any listener. The rest are in the next, after all others have had theirs.
const ACCEPT_BATCH: usize = 64;

/// The kind of event source that a poll token belongs to; the rest of the poll token is an arena token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// The listener for clients.
    Listener,
    /// The signals.
    Signals,
    /// A client's connection.
    Client,
    /// A connection to an exchange.
    Exchange,
    /// The connection to the journal service.
    Journal,
    /// The SIP front's datagrams.
    SipDatagrams,
    /// The SIP front's listener.
    SipListener,
    /// A stream of the SIP front.
    SipStream,
    /// The listener for operators.
    OperatorListener,
    /// An operator's connection.
    Operator,
}

impl SourceKind {
    const ALL: [SourceKind; 10] = [
        SourceKind::Listener,
        SourceKind::Signals,
        SourceKind::Client,
        SourceKind::Exchange,
        SourceKind::Journal,
        SourceKind::SipDatagrams,
        SourceKind::SipListener,
        SourceKind::SipStream,
        SourceKind::OperatorListener,
        SourceKind::Operator,
    ];

    /// The poll token of a slot.
    pub fn token(self, token: Token) -> mio::Token {
        mio::Token((self as usize) << 60 | token.bits() as usize)
    }

    fn split(token: mio::Token) -> (Option<SourceKind>, Token) {
        let slot = Token::from_bits((token.0 & ((1 << 60) - 1)) as u64);
        (Self::ALL.get(token.0 >> 60).copied(), slot)
    }
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// Something of the engine.
    Engine(EngineTimer),
    /// Accepting may work again.
    Accept,
    /// A connection to an exchange should be up.
    DialTimeout(Token),
    /// A client should have said something, or have ended its message.
    Client(Token),
    /// A message of an exchange should have been completed.
    PartialMessage(Token),
    /// An exchange should have closed its side of a connection that was closed here.
    CloseTimeout(Token),
    /// An exchange is to be dialled again.
    Redial(ExchangeId),
    /// The journal service is to be dialled again.
    JournalAgain(u64),
    /// The connection to the journal service should be up.
    JournalDial(u64),
    /// The journal service should have been heard.
    JournalSilent(u64),
    /// Something of the SIP front.
    Sip(SipDue),
    /// The SIP front may accept again.
    SipAccept,
    /// A stream of the SIP front should be up, or have been heard.
    SipStream(Token),
    /// Operators may be accepted again.
    OperatorAccept,
    /// An operator has had the time to ask.
    Operator(Token),
}

impl From<EngineTimer> for TimerEvent {
    fn from(due: EngineTimer) -> Self {
        TimerEvent::Engine(due)
    }
}

/// What every kind of peer needs.
pub struct Context<'a> {
    /// The time, by the Unix clock at the start and steady from there.
    pub now: Duration,
    /// The engine.
    pub engine: &'a mut Engine,
    /// All timers.
    pub timers: &'a mut TimerQueue<TimerEvent>,
    /// The log.
    pub log: &'a mut Log,
    /// Settings for reading messages.
    pub wire: &'a WireConfig,
    /// Where sockets are registered.
    pub registry: &'a Registry,
    /// How long a connection may take to come up.
    pub dial_timeout: Duration,
    /// The lifecycle state of this process.
    pub lifecycle: Lifecycle,
}

/// The clock of the program and of the decision module: steady, and counted from the Unix epoch, so that
/// the start times of the list need no further conversion.
struct Clock {
    base: Duration,
    start: Instant,
}

impl Clock {
    fn now(&self) -> Duration {
        self.base + self.start.elapsed()
    }
}

/// Runs the call controller until a planned stop is done. `read` reads the configuration: once for the start,
/// and again at each SIGHUP.
pub fn run(read: impl Fn() -> Result<Config, String>) -> Result<(), String> {
    serve(read()?, read).map_err(|e| e.to_string())
}

fn serve(config: Config, read: impl Fn() -> Result<Config, String>) -> io::Result<()> {
    let base = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
    let clock = Clock { base, start: Instant::now() };
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(1024);
    let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT])?;
    let none = Token::from_bits(0);
    poll.registry().register(&mut signals, SourceKind::Signals.token(none), Interest::READABLE)?;
    let mut listener = match config.inherited_fd {
        Some(descriptor) => {
            TcpListener::from_std(inherited::listener(descriptor).map_err(named("ROUTER_SOCKET_FD"))?)
        }
        None => TcpListener::bind(config.listen).map_err(named("listen"))?,
    };
    poll.registry().register(&mut listener, SourceKind::Listener.token(none), Interest::READABLE)?;
    let listen = listener.local_addr()?;
    let registry = poll.registry().try_clone()?;
    let local = match config.settings.topology {
        Topology::Mesh { local } => Some(local),
        Topology::Pools => None,
    };
    let mut engine = Engine::new(config.settings.clone(), config.seed).map_err(io::Error::other)?;
    let (mut timers, mut log) = (TimerQueue::default(), Log::new(&config.name));
    let mut clients = Clients::new(listener, config.limits);
    let mut exchanges = Exchanges::new(config.limits);
    let mut journal = Journal::new(config.journal, config.position, config.limits);
    let mut sip = match config.sip.clone() {
        Some(sip) => Some(Sip::new(sip, config.seed, config.limits, &registry)?),
        None => None,
    };
    let mut operators = match config.admin {
        Some(admin) => {
            Some(Operators::bind(admin, config.limits, &registry).map_err(named("admin_addr"))?)
        }
        None => None,
    };
    let deadline = config.wire.deadlines.iter().max().copied().unwrap_or_default();
    let mut lifecycle = Lifecycle::new(deadline);
    let mut reloads = Reloads::default();
    // Last of all that can fail: from here on the process before is the one that is replaced.
    let serving = match config.inherited_fd {
        Some(_) => Some(Serving::take_over(&std::env::temp_dir(), listen).map_err(named("TMPDIR"))?),
        None => None,
    };
    let mut changes: Vec<ListEvent> = config.known.clone();
    let mut started = false;
    loop {
        let now = clock.now();
        let mut cx = Context {
            now,
            engine: &mut engine,
            timers: &mut timers,
            log: &mut log,
            wire: &config.wire,
            registry: &registry,
            dial_timeout: config.dial_timeout,
            lifecycle,
        };
        if !started {
            started = true;
            journal.dial(&mut cx);
            cx.log.line(now, "started", format_args!("listening on {listen}"));
            if let Some(sip) = &sip {
                cx.log.line(now, "sip-started", format_args!("listening on {}", sip.listens()));
            }
            if let Some(operators) = &operators {
                let listen = operators.listens()?;
                cx.log.line(now, "operators-started", format_args!("listening on {listen}"));
            }
        }
        clients.read_on(&mut cx);
        exchanges.read_on(&mut cx);
        sip.iter_mut().for_each(|s| s.read_on(&mut cx));
        operators.iter_mut().for_each(|o| o.read_on(&mut cx));
        for event in &events {
            match SourceKind::split(event.token()) {
                (Some(SourceKind::Listener), _) => clients.accept(&mut cx),
                (Some(SourceKind::Client), token) => clients.ready(token, &mut cx),
                (Some(SourceKind::Exchange), token) => exchanges.ready(token, &mut cx),
                (Some(SourceKind::Journal), token) => journal.ready(token, &mut changes, &mut cx),
                (Some(SourceKind::SipDatagrams), _) => sip.iter_mut().for_each(|s| s.datagrams(&mut cx)),
                (Some(SourceKind::SipListener), _) => sip.iter_mut().for_each(|s| s.accept(&mut cx)),
                (Some(SourceKind::SipStream), token) => {
                    sip.iter_mut().for_each(|s| s.stream(token, &mut cx))
                }
                (Some(SourceKind::Signals), _) => {
                    for signal in signals.pending() {
                        if signal == SIGHUP {
                            // A file that is wrong, or gone, changes nothing.
                            match read() {
                                Ok(new) => {
                                    reloads.applied += 1;
                                    journal.switch(new.journal, &mut cx);
                                }
                                Err(e) => {
                                    reloads.rejected += 1;
                                    cx.log.line(now, "reload-failed", e);
                                }
                            }
                        } else if let Some(by) =
                            cx.lifecycle.stop(now, serving.as_ref().is_some_and(Serving::is_taken_over))
                        {
                            let owed = cx.engine.unanswered_calls();
                            cx.log.line(now, "stopping", format_args!("{owed} answers owed"));
                            cx.engine.stop(by, cx.timers);
                            if cx.lifecycle.yields_listener() {
                                clients.leave_door(&mut cx);
                            }
                        }
                    }
                }
                (Some(SourceKind::OperatorListener), _) => {
                    operators.iter_mut().for_each(|o| o.accept(&mut cx));
                }
                (Some(SourceKind::Operator), token) => {
                    let Some(operators) = operators.as_mut() else {
                        continue;
                    };
                    if let Some(call) = operators.ready(token, &mut cx) {
                        let answer = answer(call, reloads, &mut cx);
                        operators.answer(token, &answer, &mut cx);
                    }
                }
                (None, _) => {}
            }
        }
        for change in changes.drain(..) {
            let lines: Vec<_> = change.lines.iter().map(|(l, _)| l.clone()).collect();
            cx.engine.update_list(now, change.full, &lines, cx.timers);
            let by_sip = |n| sip.as_ref().is_some_and(|s| s.serves(n));
            let by_lines = |n: ExchangeNumber| Some(n) != local && !by_sip(n);
            let mut named = Vec::new();
            for (listed, addr) in &change.lines {
                if let Some(id) = cx.engine.exchange(&listed.name).filter(|_| by_lines(listed.number)) {
                    named.push(id);
                    exchanges.listed(id, *addr, listed.phase, &mut cx);
                }
            }
            if change.full {
                exchanges.keep_only(&named, &mut cx);
            }
            cx.engine.remove_gone();
            cx.log.line(now, "list", format_args!("event {}, {} lines", change.position, lines.len()));
        }
        while let Some(due) = cx.timers.pop_due(now) {
            match due {
                TimerEvent::Engine(due) => cx.engine.timer_due(now, due, cx.timers),
                TimerEvent::Accept => clients.accept_due(&mut cx),
                TimerEvent::Client(token) => clients.due(token, &mut cx),
                TimerEvent::PartialMessage(token) => exchanges.part_due(token, &mut cx),
                TimerEvent::CloseTimeout(token) => exchanges.closing_due(token, &mut cx),
                TimerEvent::DialTimeout(token) => exchanges.dial_due(token, &mut cx),
                TimerEvent::Redial(exchange) => exchanges.redial_due(exchange, &mut cx),
                TimerEvent::JournalAgain(turn) => journal.again_due(turn, &mut cx),
                TimerEvent::JournalDial(turn) => journal.dial_due(turn, &mut cx),
                TimerEvent::JournalSilent(turn) => journal.silent_due(turn, &mut cx),
                TimerEvent::Sip(due) => sip.iter_mut().for_each(|s| s.due(due, &mut cx)),
                TimerEvent::SipAccept => sip.iter_mut().for_each(|s| s.accept(&mut cx)),
                TimerEvent::SipStream(token) => {
                    sip.iter_mut().for_each(|s| s.stream_due(token, &mut cx))
                }
                TimerEvent::OperatorAccept => operators.iter_mut().for_each(|o| o.accept(&mut cx)),
                TimerEvent::Operator(token) => operators.iter_mut().for_each(|o| o.due(token, &mut cx)),
            }
        }
        if cx.lifecycle.abandons_calls(now) {
            cx.engine.release_suspected(now, cx.timers);
        }
        if cx.lifecycle.ends_dialogs(now) && cx.engine.unanswered_calls() == 0 {
            sip.iter_mut().for_each(|s| s.end_dialogs(&mut cx));
        }
        loop {
            while let Some(upkeep) = cx.engine.next_connection_request() {
                let number = cx.engine.number(upkeep.exchange());
                match sip.as_mut().filter(|s| number.is_some_and(|n| s.serves(n))) {
                    Some(sip) => sip.upkeep(upkeep, &mut cx),
                    None => exchanges.upkeep(upkeep, &mut cx),
                }
            }
            while let Some(command) = cx.engine.next_command() {
                let number = match &command {
                    Command::SetUp { exchange, .. } => cx.engine.number(*exchange),
                    _ => None,
                };
                let by_sip = |s: &&mut Sip| match &command {
                    Command::SetUp { .. } => number.is_some_and(|n| s.serves(n)),
                    Command::CancelAttempt(a)
                    | Command::ReleaseExchange(a, _)
                    | Command::ForgetAttempt(a) => s.sent(*a),
                    Command::Answer(c, _) | Command::Refuse(c, _) => s.owns(*c),
                    Command::Fail(c) | Command::ReleaseCaller(c, _) => s.owns(*c),
                };
                match sip.as_mut().filter(by_sip) {
                    Some(sip) => sip.command(command, number, &mut cx),
                    None if command.is_for_caller() => clients.command(command, &mut cx),
                    None => exchanges.command(command, &mut cx),
                }
            }
            clients.reap(&mut cx);
            exchanges.reap(&mut cx);
            sip.iter_mut().for_each(|s| s.reap(&mut cx));
            if !cx.engine.has_commands() {
                break;
            }
        }
        while let Some(notice) = cx.engine.next_log_event() {
            cx.log.line_limited(now, notice.kind(), notice.max_lines(), &notice);
        }
        if cx.lifecycle.may_end(now) && cx.engine.unanswered_calls() == 0 {
            let sip_settled = sip.as_ref().is_none_or(Sip::is_settled);
            let told = operators.as_ref().is_none_or(Operators::is_flushed);
            let flushed = clients.is_flushed() && exchanges.is_flushed() && sip_settled && told;
            let gone = !cx.lifecycle.yields_listener() || clients.is_empty();
            let over = cx.lifecycle.abandons_calls(now)
                || cx.engine.established_calls() == 0 && !clients.is_asked();
            if flushed && gone && over || cx.lifecycle.must_end(now) {
                cx.log.line(
                    now,
                    "stopped",
                    format_args!("{} calls stand", cx.engine.established_calls()),
                );
                return Ok(());
            }
        }
        lifecycle = cx.lifecycle;
        let next = timers.next_due().into_iter().chain(lifecycle.next_step(now)).min();
        let wait = next.map(|at| at.saturating_sub(clock.now()));
        // Rounded up, since a poll that ends early would only spin.
        let wait = wait.map(|w| w + Duration::from_micros(999)).map(|w| w.min(Duration::from_secs(1)));
        // Who has more to say than a turn allows goes on once the others have been heard.
        let unread = clients.has_unread() || exchanges.has_unread();
        let unread = unread || operators.as_ref().is_some_and(Operators::has_unread);
        let unread = unread || sip.as_ref().is_some_and(Sip::has_unread);
        let wait = if unread { Some(Duration::ZERO) } else { wait };
        match poll.poll(&mut events, wait) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            other => other?,
        }
    }
}

/// Names the key whose address or descriptor can't be used.
fn named(key: &str) -> impl Fn(io::Error) -> io::Error + '_ {
    move |e| io::Error::new(e.kind(), format!("{key}: {e}"))
}

/// Carries out what an operator asks for; the answer.
fn answer(call: Call, reloads: Reloads, cx: &mut Context) -> String {
    let now = cx.now;
    match call {
        Call::Health if cx.lifecycle.is_stopping() => "error stopping\n".to_owned(),
        Call::Health => "done\n".to_owned(),
        Call::Dump => {
            format!("{}\nend\n", stats::json(&cx.engine.stats(), reloads, &cx.wire.classes))
        }
        Call::Leave => {
            cx.log.line(now, "drained", format_args!("{} answers owed", cx.engine.unanswered_calls()));
            cx.lifecycle.drain(now);
            "done\n".to_owned()
        }
        Call::Join if cx.lifecycle.is_stopping() => "error stopping\n".to_owned(),
        Call::Join => {
            cx.log.line(now, "joined", "at work again");
            cx.lifecycle.join();
            "done\n".to_owned()
        }
    }
}
