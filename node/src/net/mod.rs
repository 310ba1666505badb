//! Network I/O: one poll in one event loop, and a module for each kind of peer.

pub mod clients;
pub mod conn;
pub mod exchanges;
pub mod handover;
pub mod inherited;
pub mod journal;
pub mod lifecycle;
pub mod lines;
pub mod operators;
pub mod sip;

use crate::arena::Token;
use crate::config::{Config, ListEvent, WireConfig};
use crate::engine::{Command, Engine, EngineTimer, ReleaseCause};
use crate::log::Log;
use crate::stats::{self, HostStats, Reloads};
use crate::timers::TimerQueue;
use clients::Clients;
use exchanges::Exchanges;
use handover::Handover;
use inherited::PidFile;
use journal::Journal;
use lifecycle::Lifecycle;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry};
use operators::{OperatorCommand, Operators};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use sip::{Sip, SipTimer};
use slateshed::{ExchangeId, ExchangeNumber, NamedEntry, Phase, Topology};
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Timeout for the first complete message on an accepted connection, and for the rest of a partially received
/// message, on both fronts. Some clients take two seconds to write a message. An operator has the same time to
/// send a command and read its answer.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2700);

/// Maximum number of connections accepted from one listener in one iteration of the event loop. The remaining
/// ones are accepted in the next iteration, so that a burst of connections does not starve other peers.
const ACCEPT_BATCH: usize = 64;

/// Interval at which a process on an inherited socket checks whether another one replaces it.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The kind of event source that a poll token belongs to; the rest of the poll token is an arena token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// The listener for clients.
    Listener,
    /// The signal handler.
    Signals,
    /// A client's connection.
    Client,
    /// A connection to an exchange.
    Exchange,
    /// A connection to the journal service.
    Journal,
    /// The SIP front's UDP socket.
    SipDatagrams,
    /// The SIP front's TCP listener.
    SipListener,
    /// A TCP connection of the SIP front.
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

    /// The poll token for an arena token of this kind.
    pub fn token(self, token: Token) -> mio::Token {
        mio::Token((self as usize) << 60 | token.bits() as usize)
    }

    fn split(token: mio::Token) -> (Option<SourceKind>, Token) {
        let arena_token = Token::from_bits((token.0 & ((1 << 60) - 1)) as u64);
        (Self::ALL.get(token.0 >> 60).copied(), arena_token)
    }
}

/// The event that a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer of the engine.
    Engine(EngineTimer),
    /// The listener for clients may accept again.
    ClientAccept,
    /// A dialled connection to an exchange must be established by now.
    DialTimeout(Token),
    /// A client must have sent its first message, or completed its current one, by now.
    ClientTimeout(Token),
    /// An exchange must have completed its current message by now.
    PartialMessageTimeout(Token),
    /// An exchange must have closed its side of a connection that this side closed.
    CloseTimeout(Token),
    /// A client's connection that was accepted during a replacement is read.
    ClientReady(Token),
    /// The pid file is checked for a process that replaces this one.
    SuccessorPoll,
    /// New records of the other process are read while one replaces the other.
    HandoverPoll,
    /// A connection that was opened for repeated releases must have received data by now.
    RepeatsTimeout(Token),
    /// An exchange is dialled again.
    Redial(ExchangeId),
    /// The journal service is dialled again.
    JournalRedial,
    /// A connection to the journal service must be established by now; with its generation.
    JournalDialTimeout(u64),
    /// A connection to the journal service may have been silent for too long; with its generation.
    JournalSilence(u64),
    /// A timer of the SIP front.
    Sip(SipTimer),
    /// The SIP front's TCP listener may accept again.
    SipAccept,
    /// A TCP connection of the SIP front must be established, or must have received data, by now.
    SipStreamTimeout(Token),
    /// The listener for operators may accept again.
    OperatorAccept,
    /// An operator must have sent its command and read the answer by now.
    OperatorTimeout(Token),
}

impl From<EngineTimer> for TimerEvent {
    fn from(timer: EngineTimer) -> Self {
        TimerEvent::Engine(timer)
    }
}

/// State and services shared by the handlers of all kinds of peers.
pub struct Context<'a> {
    /// The current time: the Unix time at the start of the process, advanced by a monotonic clock.
    pub now: Duration,
    /// The engine.
    pub engine: &'a mut Engine,
    /// All timers.
    pub timers: &'a mut TimerQueue<TimerEvent>,
    /// The log.
    pub log: &'a mut Log,
    /// Settings for parsing messages.
    pub wire: &'a WireConfig,
    /// Where sockets are registered.
    pub registry: &'a Registry,
    /// Time within which a dialled connection must be established.
    pub dial_timeout: Duration,
    /// The lifecycle state of this process.
    pub lifecycle: Lifecycle,
}

/// The clock of the program and of the decision module: monotonic, and counted from the Unix epoch, so that
/// the start times of the exchange list need no conversion.
struct Clock {
    /// Unix time at the start.
    unix_start: Duration,
    /// The start by the monotonic clock.
    monotonic_start: Instant,
}

impl Clock {
    fn now(&self) -> Duration {
        self.unix_start + self.monotonic_start.elapsed()
    }
}

/// Runs the call controller until a graceful shutdown is complete. `read` reads the configuration: once at
/// the start, and again at each SIGHUP.
pub fn run(read: impl Fn() -> Result<Config, String>) -> Result<(), String> {
    serve(read()?, read).map_err(|e| e.to_string())
}

fn serve(config: Config, read: impl Fn() -> Result<Config, String>) -> io::Result<()> {
    let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
    let clock = Clock { unix_start, monotonic_start: Instant::now() };
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(1024);
    let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT])?;
    let no_token = Token::from_bits(0);
    poll.registry().register(&mut signals, SourceKind::Signals.token(no_token), Interest::READABLE)?;
    let mut listener = match config.inherited_fd {
        Some(descriptor) => TcpListener::from_std(
            inherited::listener(descriptor).map_err(error_with_key("ROUTER_SOCKET_FD"))?,
        ),
        None => TcpListener::bind(config.listen).map_err(error_with_key("listen"))?,
    };
    poll.registry().register(&mut listener, SourceKind::Listener.token(no_token), Interest::READABLE)?;
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
        Some(admin) => Some(
            Operators::bind(admin, config.limits, &registry).map_err(error_with_key("admin_addr"))?,
        ),
        None => None,
    };
    let longest_deadline = config.wire.deadlines.iter().max().copied().unwrap_or_default();
    let mut lifecycle = Lifecycle::new(longest_deadline);
    let mut reloads = Reloads::default();
    // This is the last step of the start that can fail. Once it succeeds, the previous process considers
    // itself replaced.
    let pid_file = match config.inherited_fd {
        Some(_) => {
            Some(PidFile::claim(&std::env::temp_dir(), listen).map_err(error_with_key("TMPDIR"))?)
        }
        None => None,
    };
    let mut handover = Handover::default();
    let mut list_events: Vec<ListEvent> = config.known.clone();
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
            if let Some(reader) = pid_file.as_ref().and_then(PidFile::handover_reader) {
                handover.follow_predecessor(reader, &mut cx);
            }
            match pid_file.as_ref().and_then(PidFile::return_writer) {
                Some(Ok(writer)) => clients.begin_return(writer),
                Some(Err(e)) => cx.log.line(now, "handover-failed", e),
                None => {}
            }
            if pid_file.is_some() {
                cx.timers.schedule(now + SUCCESSOR_POLL_INTERVAL, TimerEvent::SuccessorPoll);
            }
            cx.log.line(now, "started", format_args!("listening on {listen}"));
            if let Some(sip) = &sip {
                cx.log.line(now, "sip-started", format_args!("listening on {}", sip.listen_addresses()));
            }
            if let Some(operators) = &operators {
                let listen = operators.local_addr()?;
                cx.log.line(now, "operators-started", format_args!("listening on {listen}"));
            }
        }
        for event in events.iter().filter(|event| event.is_read_closed()) {
            match SourceKind::split(event.token()) {
                (Some(SourceKind::Client), token) => clients.mark_as_left(token),
                (Some(SourceKind::SipStream), token) => {
                    sip.iter_mut().for_each(|s| s.mark_as_left(token))
                }
                _ => {}
            }
        }
        clients.continue_reading(&mut cx);
        exchanges.continue_reading(&mut cx);
        sip.iter_mut().for_each(|s| s.continue_reading(&mut cx));
        operators.iter_mut().for_each(|o| o.continue_accepting(&mut cx));
        for event in &events {
            match SourceKind::split(event.token()) {
                (Some(SourceKind::Listener), _) => clients.accept(&mut cx),
                (Some(SourceKind::Client), token) => clients.ready(token, &mut cx),
                (Some(SourceKind::Exchange), token) => exchanges.ready(token, &mut cx),
                (Some(SourceKind::Journal), token) => journal.ready(token, &mut list_events, &mut cx),
                (Some(SourceKind::SipDatagrams), _) => {
                    sip.iter_mut().for_each(|s| s.receive_datagrams(&mut cx))
                }
                (Some(SourceKind::SipListener), _) => sip.iter_mut().for_each(|s| s.accept(&mut cx)),
                (Some(SourceKind::SipStream), token) => {
                    sip.iter_mut().for_each(|s| s.stream_ready(token, &mut cx))
                }
                (Some(SourceKind::Signals), _) => {
                    for signal in signals.pending() {
                        if signal == SIGHUP {
                            // An invalid or missing file leaves the current configuration in force.
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
                        } else if let Some(answer_deadline) = cx
                            .lifecycle
                            .begin_shutdown(now, pid_file.as_ref().is_some_and(PidFile::is_taken_over))
                        {
                            let unanswered = cx.engine.unanswered_calls();
                            cx.log.line(now, "stopping", format_args!("{unanswered} answers owed"));
                            cx.engine.begin_shutdown(answer_deadline, cx.timers);
                            if cx.lifecycle.yields_listener() {
                                clients.close_listener(&mut cx);
                                let reader = pid_file.as_ref().and_then(PidFile::return_reader);
                                handover.follow_successor(reader, &mut cx);
                                match pid_file.as_ref().map(PidFile::handover_writer) {
                                    Some(Ok(writer)) => clients.begin_handover(writer, &mut cx),
                                    Some(Err(e)) => cx.log.line(now, "handover-failed", e),
                                    None => {}
                                }
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
                    if let Some(command) = operators.ready(token, &mut cx) {
                        let host_stats = HostStats {
                            reloads,
                            journal: journal.stats(),
                            releases: clients.release_stats(),
                            unmatched_releases: exchanges.unmatched_release_count(),
                            discarded_exchange_releases: exchanges.discarded_release_count(),
                        };
                        let answer = execute_operator_command(command, host_stats, &mut cx);
                        operators.answer(token, &answer, &mut cx);
                    }
                }
                (None, _) => {}
            }
        }
        for list_event in list_events.drain(..) {
            apply_list_event(&list_event, local, sip.as_ref(), &mut exchanges, &mut cx);
        }
        while let Some(timer_event) = cx.timers.pop_due(now) {
            match timer_event {
                TimerEvent::Engine(engine_timer) => cx.engine.timer_due(now, engine_timer, cx.timers),
                TimerEvent::ClientAccept => clients.resume_accepting(&mut cx),
                TimerEvent::ClientTimeout(token) => clients.timeout_due(token, &mut cx),
                TimerEvent::PartialMessageTimeout(token) => {
                    exchanges.partial_message_timeout_due(token, &mut cx)
                }
                TimerEvent::CloseTimeout(token) => exchanges.close_timeout_due(token, &mut cx),
                TimerEvent::RepeatsTimeout(token) => exchanges.repeats_timeout_due(token, &mut cx),
                TimerEvent::DialTimeout(token) => exchanges.dial_timeout_due(token, &mut cx),
                TimerEvent::HandoverPoll => handover.poll_due(&mut clients, &mut exchanges, &mut cx),
                TimerEvent::ClientReady(token) => clients.ready(token, &mut cx),
                TimerEvent::SuccessorPoll => {
                    let pid_file = pid_file.as_ref().filter(|pid_file| pid_file.is_taken_over());
                    let successor =
                        pid_file.and_then(|p| Some((p.return_reader()?, p.handover_writer())));
                    match successor {
                        Some((reader, Ok(writer))) => {
                            clients.begin_sharing(writer, &mut cx);
                            handover.follow_successor(Some(reader), &mut cx);
                        }
                        Some((_, Err(e))) => cx.log.line(now, "handover-failed", e),
                        None => {
                            cx.timers.schedule(now + SUCCESSOR_POLL_INTERVAL, TimerEvent::SuccessorPoll)
                        }
                    }
                }
                TimerEvent::Redial(exchange) => exchanges.redial_due(exchange, &mut cx),
                TimerEvent::JournalRedial => journal.redial_due(&mut cx),
                TimerEvent::JournalDialTimeout(generation) => {
                    journal.dial_timeout_due(generation, &mut cx)
                }
                TimerEvent::JournalSilence(generation) => journal.silence_due(generation, &mut cx),
                TimerEvent::Sip(sip_timer) => {
                    sip.iter_mut().for_each(|s| s.timer_due(sip_timer, &mut cx))
                }
                TimerEvent::SipAccept => sip.iter_mut().for_each(|s| s.accept(&mut cx)),
                TimerEvent::SipStreamTimeout(token) => {
                    sip.iter_mut().for_each(|s| s.stream_timeout_due(token, &mut cx))
                }
                TimerEvent::OperatorAccept => operators.iter_mut().for_each(|o| o.accept(&mut cx)),
                TimerEvent::OperatorTimeout(token) => {
                    operators.iter_mut().for_each(|o| o.timeout_due(token, &mut cx))
                }
            }
        }
        let mut is_releasing = false;
        if cx.lifecycle.abandons_calls(now) {
            if clients.is_handing_over() {
                cx.engine.release_superseded(now, cx.timers);
            } else {
                let is_reachable = |call| {
                    clients.is_caller_reachable(call) || sip.as_ref().is_some_and(|s| s.has_call(call))
                };
                is_releasing = cx.engine.release_at_shutdown(now, is_reachable, cx.timers);
            }
        }
        if cx.lifecycle.ends_dialogs(now) && cx.engine.unanswered_calls() == 0 {
            let is_reachable = |call| clients.is_caller_reachable(call);
            sip.iter_mut().for_each(|s| s.end_dialogs(is_reachable, &mut cx));
        }
        loop {
            while let Some(request) = cx.engine.next_connection_request() {
                let number = cx.engine.exchange_number(request.exchange());
                match sip.as_mut().filter(|s| number.is_some_and(|n| s.reaches_exchange(n))) {
                    Some(sip) => sip.handle_connection_request(request, &mut cx),
                    None => exchanges.handle_connection_request(request, &mut cx),
                }
            }
            while let Some(command) = cx.engine.next_command() {
                let number = match &command {
                    Command::SetUp { exchange, .. } => cx.engine.exchange_number(*exchange),
                    _ => None,
                };
                let is_sip_command = |s: &&mut Sip| match &command {
                    Command::SetUp { .. } => number.is_some_and(|n| s.reaches_exchange(n)),
                    Command::CancelAttempt(a)
                    | Command::ReleaseExchange(a, _)
                    | Command::DiscardAttempt(a) => s.has_attempt(*a),
                    Command::Answer(c, _) | Command::Refuse(c, _) => s.has_call(*c),
                    Command::Fail(c) | Command::ReleaseCaller(c, _) => s.has_call(*c),
                };
                match sip.as_mut().filter(is_sip_command) {
                    Some(sip) => sip.execute(command, number, &mut cx),
                    None if command.is_for_caller() => clients.execute(command, &mut cx),
                    None => exchanges.execute(command, &mut cx),
                }
            }
            for release in exchanges.take_unmatched_releases() {
                clients.pass_on_unmatched(release, &mut cx);
            }
            for caller in sip.iter_mut().flat_map(Sip::take_ended_earlier_calls) {
                clients.release_earlier_call_of(caller, ReleaseCause::Normal, &mut cx);
            }
            clients.end_connections(&mut cx);
            exchanges.end_connections(&mut cx);
            sip.iter_mut().for_each(|s| s.end_failed_streams(&mut cx));
            if !cx.engine.has_commands() {
                break;
            }
        }
        while let Some(log_event) = cx.engine.next_log_event() {
            cx.log.line_limited(now, log_event.kind(), log_event.max_lines(), &log_event);
        }
        if cx.lifecycle.may_end(now) && cx.engine.unanswered_calls() == 0 {
            let sip_settled = sip.as_ref().is_none_or(Sip::is_settled);
            let operators_flushed = operators.as_ref().is_none_or(Operators::is_flushed);
            let is_flushed = clients.is_flushed()
                && clients.pending_release_count() == 0
                && !is_releasing
                && !clients.has_unread()
                && exchanges.is_flushed()
                && !exchanges.has_pending_releases()
                && handover.is_received()
                && sip_settled
                && operators_flushed;
            let clients_done = !cx.lifecycle.yields_listener() || clients.is_empty();
            let calls_finished = cx.lifecycle.abandons_calls(now)
                || cx.engine.established_calls() == 0 && !clients.has_partial_message();
            if is_flushed && clients_done && calls_finished || cx.lifecycle.must_end(now) {
                cx.log.line(
                    now,
                    "stopped",
                    format_args!(
                        "{} calls stand, {} releases undelivered",
                        cx.engine.established_calls(),
                        clients.pending_release_count()
                    ),
                );
                return Ok(());
            }
        }
        lifecycle = cx.lifecycle;
        let next_wakeup = timers.next_due().into_iter().chain(lifecycle.next_step(now)).min();
        let timeout = next_wakeup.map(|at| at.saturating_sub(clock.now()));
        // Round up to a whole millisecond, because a poll that returns before the timer is due causes a busy
        // loop.
        let timeout =
            timeout.map(|w| w + Duration::from_micros(999)).map(|w| w.min(Duration::from_secs(1)));
        // Do not block while data or connections are left over from this iteration.
        // Releasing many calls takes time, so set-ups that have arrived meanwhile are read before the end.
        let unread = is_releasing || clients.has_unread() || exchanges.has_unread();
        let unread = unread || operators.as_ref().is_some_and(Operators::has_unread);
        let unread = unread || sip.as_ref().is_some_and(Sip::has_unread);
        let timeout = if unread { Some(Duration::ZERO) } else { timeout };
        match poll.poll(&mut events, timeout) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            other => other?,
        }
    }
}

/// Applies an event of the journal service to the engine and to the connections to exchanges.
fn apply_list_event(
    list_event: &ListEvent,
    local: Option<ExchangeNumber>,
    sip: Option<&Sip>,
    exchanges: &mut Exchanges,
    cx: &mut Context,
) {
    let entries: Vec<_> = list_event.entries.iter().map(|(entry, _)| entry.clone()).collect();
    cx.engine.update_list(cx.now, list_event.full, &entries, cx.timers);
    let is_served_by_sip = |n| sip.is_some_and(|s| s.reaches_exchange(n));
    let is_json_exchange = |n: ExchangeNumber| Some(n) != local && !is_served_by_sip(n);
    let mut listed_exchanges = Vec::new();
    for (entry, addr) in &list_event.entries {
        if let Some(id) = cx.engine.exchange_id(&entry.name).filter(|_| is_json_exchange(entry.number)) {
            listed_exchanges.push(id);
            exchanges.apply_list_entry(id, *addr, entry.phase, cx);
        }
    }
    if list_event.full {
        exchanges.remove_unlisted(&listed_exchanges, cx);
    }
    for (entry, addr) in list_event.entries.iter().filter(|(entry, _)| entry.phase != Phase::Gone) {
        let exchange = cx.engine.exchange_id(&entry.name).filter(|id| listed_exchanges.contains(id));
        let displaced = exchange.map_or(Vec::new(), |id| exchanges.displaced_by(id, *addr));
        for other in displaced.into_iter().filter(|other| !listed_exchanges.contains(other)) {
            remove_displaced(other, entry, exchanges, cx);
        }
    }
    cx.engine.remove_gone();
    let details = format_args!("event {}, {} lines", list_event.position, entries.len());
    cx.log.line(cx.now, "list", details);
}

/// Removes an exchange whose address now belongs to another one, as if the list had reported that it is gone.
fn remove_displaced(exchange: ExchangeId, by: &NamedEntry, exchanges: &mut Exchanges, cx: &mut Context) {
    let Some(entry) = cx.engine.gone_entry(exchange) else {
        return;
    };
    let details = format_args!("exchange={} by={}", entry.name, by.name);
    cx.log.line(cx.now, "exchange-displaced", details);
    cx.engine.update_list(cx.now, false, &[entry], cx.timers);
    exchanges.remove_exchange(exchange, cx);
}

/// Prefixes an I/O error with the configuration key or environment variable that caused it.
fn error_with_key(key: &str) -> impl Fn(io::Error) -> io::Error + '_ {
    move |e| io::Error::new(e.kind(), format!("{key}: {e}"))
}

/// Executes an operator's command and returns the answer.
fn execute_operator_command(
    command: OperatorCommand,
    host_stats: HostStats,
    cx: &mut Context,
) -> String {
    let now = cx.now;
    match command {
        OperatorCommand::Health if cx.lifecycle.is_stopping() => "error stopping\n".to_owned(),
        OperatorCommand::Health => "done\n".to_owned(),
        OperatorCommand::Dump => {
            format!("{}\nend\n", stats::json(&cx.engine.stats(), host_stats, &cx.wire.classes))
        }
        OperatorCommand::Leave => {
            cx.log.line(now, "drained", format_args!("{} answers owed", cx.engine.unanswered_calls()));
            cx.lifecycle.drain(now);
            "done\n".to_owned()
        }
        OperatorCommand::Join if cx.lifecycle.is_stopping() => "error stopping\n".to_owned(),
        OperatorCommand::Join => {
            cx.log.line(now, "joined", "in service again");
            cx.lifecycle.join();
            "done\n".to_owned()
        }
    }
}
