//! A fake exchange on loopback that fails on request: its host fails or is replaced at its address, its network path is
//! cut, or its process hangs or crashes. It records every call that it receives.

use slateshed_node::net::lines::Message;
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How many connections may wait to be accepted while the exchange serves.
const LISTEN_BACKLOG: i32 = 128;
/// A connection attempt that is not established after this time shows that the listener's queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// The process number of a connection that no process serves.
const UNSERVED_PROCESS: u32 = u32::MAX;
/// Pause between two polls of the sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What the exchange does with its sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It accepts, reads and writes.
    Serving,
    /// The process hangs; the kernel still establishes connections for it.
    Hung,
    /// Open connections stay open without any traffic, and new ones are never established.
    Unreachable,
    /// No process runs, and new connections are refused.
    Down,
}

/// How the exchange behaves while it serves.
#[derive(Clone, Copy, Debug)]
pub struct Behavior {
    /// It reports the load of its trunk group first on each new connection.
    pub reports_on_connect: bool,
    /// It reports the load of its trunk group on all connections when it changes.
    pub reports_changes: bool,
    /// It closes a connection when its peer has closed it.
    pub closes_in_response: bool,
    /// It sends the release of a call on the connection of its set-up even if the peer has closed that connection.
    pub releases_on_closed: bool,
    /// It answers set-ups.
    pub answers_set_ups: bool,
    /// The mean hold of a call. Without one, calls last until they are released.
    pub mean_hold: Option<Duration>,
    /// The percentage of answers that are not sent.
    pub lost_answer_percent: u8,
    /// The percentage of answers that are malformed.
    pub malformed_answer_percent: u8,
    /// The percentage of answers that are sent twice.
    pub duplicated_answer_percent: u8,
    /// The percentage of connections that are accepted and never served.
    pub unserved_connection_percent: u8,
    /// What it does with a connection that has had no traffic for a time, and that time.
    pub idle: Option<(Duration, IdlePolicy)>,
}

/// What an exchange does with its idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// It closes them gracefully.
    Close,
    /// It resets them.
    Reset,
    /// It stops serving them and leaves them open.
    StopServing,
}

impl Behavior {
    /// Follows the protocol. Calls last until they are released.
    pub const PROTOCOL: Behavior = Behavior {
        reports_on_connect: true,
        reports_changes: true,
        closes_in_response: true,
        releases_on_closed: false,
        answers_set_ups: true,
        mean_hold: None,
        lost_answer_percent: 0,
        malformed_answer_percent: 0,
        duplicated_answer_percent: 0,
        unserved_connection_percent: 0,
        idle: None,
    };
}

/// A call, as the exchange recorded it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// When the exchange answered its set-up, even if the answer was lost.
    pub answered_at: Instant,
    /// When it ended, for any reason.
    pub ended_at: Option<Instant>,
    /// When the exchange sent its release; `None` if it has not or could not.
    pub released_at: Option<Instant>,
    /// Whether the controller released it.
    pub released_by_controller: bool,
    /// The number of the process that it was established at.
    pub process: u32,
    connection_id: u64,
    scheduled_end: Option<Instant>,
    /// Whether its release was lost with a connection.
    is_release_lost: bool,
}

/// A period in which the exchange did not serve.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// When it began.
    pub from: Instant,
    /// When it ended; `None` if it has not.
    pub to: Option<Instant>,
}

struct Connection {
    id: u64,
    stream: TcpStream,
    input: Vec<u8>,
    /// The number of the process that serves it, or `UNSERVED_PROCESS`.
    process: u32,
    /// Whether the peer has closed it.
    peer_closed: bool,
    /// When data was last sent or received on it.
    last_active: Instant,
}

struct State {
    /// The port that the exchange listens on. Its answers carry it, so that they identify the exchange.
    port: u16,
    mode: Mode,
    behavior: Behavior,
    listener: Option<TcpListener>,
    /// Connections that the exchange makes to its own listener to fill its queue.
    queue_fillers: Vec<Socket>,
    connections: Vec<Connection>,
    last_connection_id: u64,
    /// The number of the current process. It counts up with each new one.
    process: u32,
    calls: HashMap<String, CallRecord>,
    /// Calls whose releases are sent once more on the next connection.
    releases_to_repeat: Vec<String>,
    accepted_count: u64,
    set_ups: Vec<(Instant, String)>,
    outages: Vec<Outage>,
    circuit_count: usize,
    rng: fastrand::Rng,
}

/// The exchange. It ends when it is dropped.
pub struct FaultyExchange {
    /// The address that the exchange listens on.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn listen(addr: SocketAddr) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
    socket.set_reuse_address(true).expect("SO_REUSEADDR can be set");
    // A child process that another thread is starting may hold, for a moment, a copy of the socket that listened
    // here.
    let until = Instant::now() + Duration::from_secs(1);
    while socket.bind(&SockAddr::from(addr)).is_err() {
        assert!(Instant::now() < until, "the address {addr} is still in use after a second");
        std::thread::sleep(POLL_INTERVAL);
    }
    socket.listen(LISTEN_BACKLOG).expect("the socket listens");
    socket.set_nonblocking(true).expect("O_NONBLOCK can be set");
    socket.into()
}

fn release_message(tag: &str) -> String {
    format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":16}}"#)
}

impl FaultyExchange {
    /// Starts an exchange on a free port. Random choices, such as the hold of each call, are drawn from `seed`.
    pub fn start(behavior: Behavior, seed: u64) -> Self {
        let listener = listen(([127, 0, 0, 1], 0).into());
        let addr = listener.local_addr().expect("the listener has an address");
        let state = Arc::new(Mutex::new(State {
            port: addr.port(),
            mode: Mode::Serving,
            behavior,
            listener: Some(listener),
            queue_fillers: Vec::new(),
            connections: Vec::new(),
            last_connection_id: 0,
            process: 0,
            calls: HashMap::new(),
            releases_to_repeat: Vec::new(),
            accepted_count: 0,
            set_ups: Vec::new(),
            outages: Vec::new(),
            circuit_count: 30,
            rng: fastrand::Rng::with_seed(seed),
        }));
        let stopping = Arc::new(AtomicBool::new(false));
        let (thread_state, thread_stopping) = (Arc::clone(&state), Arc::clone(&stopping));
        let thread = std::thread::spawn(move || {
            while !thread_stopping.load(Ordering::Relaxed) {
                thread_state.lock().expect("no thread panicked while holding the lock").poll();
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        FaultyExchange { addr, state, stopping, thread: Some(thread) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked while holding the lock")
    }

    /// Simulates a host failure: all calls end without a release, and the connections stay half-open.
    pub fn lose_host(&self) {
        let mut state = self.state();
        state.make_unreachable();
        state.end_all_calls(Instant::now());
    }

    /// Cuts the network path to the exchange. The process and its calls continue.
    pub fn partition(&self) {
        self.state().make_unreachable();
    }

    /// Restores the network path, or resumes a hung process. What was sent meanwhile arrives.
    pub fn recover(&self) {
        let mut state = self.state();
        state.empty_listen_queue();
        state.resume_serving();
    }

    /// Makes the process hang until [`Self::recover`]. Its calls continue.
    pub fn hang(&self) {
        self.state().stop_serving(Mode::Hung);
    }

    /// Starts a new process at the address of a failed host. It knows none of the earlier calls. The old connections
    /// stay half-open: no process is left to close them.
    pub fn replace_host(&self) {
        let mut state = self.state();
        state.end_all_calls(Instant::now());
        state.process += 1;
        state.releases_to_repeat.clear();
        state.empty_listen_queue();
        state.resume_serving();
    }

    /// Crashes the process: its connections are reset, and new ones are refused.
    pub fn crash(&self) {
        let mut state = self.state();
        state.end_all_calls(Instant::now());
        state.listener = None;
        state.queue_fillers.clear();
        state.process += 1;
        state.releases_to_repeat.clear();
        state.reset_connections();
        state.stop_serving(Mode::Down);
    }

    /// Starts a new process, which listens at the address of the crashed one.
    pub fn restart(&self) {
        let mut state = self.state();
        state.listener = Some(listen(self.addr));
        state.resume_serving();
    }

    /// Resets every open connection. The process keeps running.
    pub fn reset_connections(&self) {
        self.state().reset_connections();
    }

    /// Ends up to `max_calls` calls that were set up on one connection and resets it: their releases are lost with it.
    /// The exchange repeats them on the next connection.
    pub fn lose_releases(&self, max_calls: usize) {
        self.state().lose_releases(max_calls);
    }

    /// Changes the behavior of the exchange.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state().behavior = behavior;
    }

    /// Ends an established call. The exchange sends the release if it can.
    pub fn release(&self, tag: &str) {
        if let Some(call) = self.state().calls.get_mut(tag) {
            call.scheduled_end = Some(Instant::now());
        }
    }

    /// The record of a call.
    pub fn call(&self, tag: &str) -> Option<CallRecord> {
        self.state().calls.get(tag).cloned()
    }

    /// The records of all calls.
    pub fn calls(&self) -> HashMap<String, CallRecord> {
        self.state().calls.clone()
    }

    /// The ids of the set-ups that the exchange received, each with the time.
    pub fn set_ups(&self) -> Vec<(Instant, String)> {
        self.state().set_ups.clone()
    }

    /// The periods in which the exchange did not serve.
    pub fn outages(&self) -> Vec<Outage> {
        self.state().outages.clone()
    }

    /// What the exchange does with its sockets now.
    pub fn mode(&self) -> Mode {
        self.state().mode
    }

    /// The number of connections accepted since the start.
    pub fn accepted_count(&self) -> u64 {
        self.state().accepted_count
    }
}

impl Drop for FaultyExchange {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl State {
    fn poll(&mut self) {
        if matches!(self.mode, Mode::Serving) {
            self.accept();
            self.read_messages();
            self.apply_idle_policy();
        }
        self.end_calls();
    }

    fn stop_serving(&mut self, mode: Mode) {
        if self.mode == Mode::Serving {
            self.outages.push(Outage { from: Instant::now(), to: None });
        }
        self.mode = mode;
    }

    fn resume_serving(&mut self) {
        self.mode = Mode::Serving;
        if let Some(outage) = self.outages.last_mut().filter(|o| o.to.is_none()) {
            outage.to = Some(Instant::now());
        }
    }

    /// Keeps new connections from being established: sets the listener's queue to its shortest length and fills it.
    fn make_unreachable(&mut self) {
        self.stop_serving(Mode::Unreachable);
        let Some(listener) = &self.listener else {
            return;
        };
        SockRef::from(listener).listen(0).expect("the socket listens");
        let addr = SockAddr::from(listener.local_addr().expect("the listener has an address"));
        loop {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
            filler.set_nonblocking(true).expect("O_NONBLOCK can be set");
            let _ = filler.connect(&addr);
            std::thread::sleep(CONNECT_TIMEOUT);
            let is_connected = filler.peer_addr().is_ok();
            self.queue_fillers.push(filler);
            if !is_connected {
                return;
            }
        }
    }

    fn empty_listen_queue(&mut self) {
        self.queue_fillers.clear();
        if let Some(listener) = &self.listener {
            SockRef::from(listener).listen(LISTEN_BACKLOG).expect("the socket listens");
        }
    }

    fn reset_connections(&mut self) {
        for connection in self.connections.drain(..) {
            let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
    }

    fn lose_releases(&mut self, max_calls: usize) {
        if self.mode != Mode::Serving {
            return;
        }
        let process = self.process;
        let established_on = |id: u64, c: &CallRecord| {
            c.process == process && c.connection_id == id && c.ended_at.is_none()
        };
        let call_count = |id| self.calls.values().filter(|c| established_on(id, c)).count();
        let open = self.connections.iter().filter(|c| c.process == process && !c.peer_closed);
        let Some(id) = open.map(|c| c.id).max_by_key(|id| call_count(*id)) else {
            return;
        };
        let calls = self.calls.iter_mut().filter(|(_, c)| established_on(id, c));
        for (tag, call) in calls.take(max_calls) {
            call.ended_at = Some(Instant::now());
            call.is_release_lost = true;
            self.releases_to_repeat.push(tag.clone());
        }
        self.connections.retain(|c| {
            if c.id == id {
                let _ = SockRef::from(&c.stream).set_linger(Some(Duration::ZERO));
            }
            c.id != id
        });
    }

    /// Ends all calls of the process without sending their releases.
    fn end_all_calls(&mut self, now: Instant) {
        for call in self.calls.values_mut().filter(|c| c.ended_at.is_none()) {
            call.ended_at = Some(now);
        }
    }

    fn load_message(&self) -> String {
        let busy = self.calls.values().filter(|c| c.ended_at.is_none()).count();
        let (free, total) = (self.circuit_count.saturating_sub(busy), self.circuit_count);
        format!(r#"{{"verb":"LOAD","tag":"","opts":{{"load":"spare:{free};total:{total}"}}}}"#)
    }

    fn accept(&mut self) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(TcpListener::accept) {
            stream.set_nonblocking(true).expect("O_NONBLOCK can be set");
            stream.set_nodelay(true).expect("TCP_NODELAY can be set");
            self.accepted_count += 1;
            self.last_connection_id += 1;
            let is_unserved = self.rng.u8(0..100) < self.behavior.unserved_connection_percent;
            let (id, process) =
                (self.last_connection_id, if is_unserved { UNSERVED_PROCESS } else { self.process });
            self.connections.push(Connection {
                id,
                stream,
                input: Vec::new(),
                process,
                peer_closed: false,
                last_active: Instant::now(),
            });
            if is_unserved {
                continue;
            }
            if self.behavior.reports_on_connect {
                let load = self.load_message();
                self.send(id, &load);
            }
            for tag in std::mem::take(&mut self.releases_to_repeat) {
                self.send(id, &release_message(&tag));
            }
        }
    }

    fn read_messages(&mut self) {
        let mut lines = Vec::new();
        let (process, closes) = (self.process, self.behavior.closes_in_response);
        self.connections.retain_mut(|c| {
            if c.process != process {
                return true;
            }
            let mut chunk = [0; 4096];
            loop {
                match c.stream.read(&mut chunk) {
                    Ok(0) => {
                        c.peer_closed = true;
                        return !closes;
                    }
                    Ok(n) => {
                        c.last_active = Instant::now();
                        c.input.extend_from_slice(&chunk[..n]);
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return false,
                }
            }
            while let Some(end) = c.input.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = c.input.drain(..=end).collect();
                lines.push((c.id, line[..end].to_vec()));
            }
            true
        });
        for (connection_id, line) in lines {
            let message = Message::parse(&line).expect("the controller sends valid messages");
            self.handle_message(connection_id, message);
        }
    }

    fn apply_idle_policy(&mut self) {
        let Some((idle_timeout, policy)) = self.behavior.idle else {
            return;
        };
        let process = self.process;
        self.connections.retain_mut(|c| {
            if c.process != process || c.last_active.elapsed() < idle_timeout {
                return true;
            }
            match policy {
                IdlePolicy::Close => return false,
                IdlePolicy::Reset => {
                    let _ = SockRef::from(&c.stream).set_linger(Some(Duration::ZERO));
                    return false;
                }
                IdlePolicy::StopServing => c.process = UNSERVED_PROCESS,
            }
            true
        });
    }

    fn handle_message(&mut self, connection_id: u64, message: Message) {
        let now = Instant::now();
        match message.verb.as_str() {
            "START" => {
                self.set_ups.push((now, message.tag.clone()));
                // A second set-up with the same id is a new call. A repeated release of the earlier call would be taken
                // for a release of the new one.
                self.releases_to_repeat.retain(|tag| *tag != message.tag);
                if !self.behavior.answers_set_ups {
                    return;
                }
                let hold = self.behavior.mean_hold.map(|mean| {
                    let exponential = -self.rng.f64().max(1e-6).ln();
                    mean.mul_f64(exponential.clamp(0.05, 3.0))
                });
                let record = CallRecord {
                    answered_at: now,
                    ended_at: None,
                    released_at: None,
                    released_by_controller: false,
                    process: self.process,
                    connection_id,
                    scheduled_end: hold.map(|h| now + h),
                    is_release_lost: false,
                };
                self.calls.insert(message.tag.clone(), record);
                self.answer_set_up(connection_id, &message.tag);
                self.report_load();
            }
            "FINISH" => {
                let process = self.process;
                let known = self.calls.get_mut(&message.tag).filter(|c| c.process == process);
                if let Some(call) = known.filter(|c| c.ended_at.is_none()) {
                    (call.ended_at, call.released_by_controller) = (Some(now), true);
                    self.report_load();
                }
            }
            _ => {}
        }
    }

    /// Answers a set-up. The answer may be lost, malformed or duplicated.
    fn answer_set_up(&mut self, connection_id: u64, tag: &str) {
        let port = self.port;
        let answer = format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"{port}"}}"#);
        let (behavior, drawn_percent) = (self.behavior, self.rng.u8(0..100));
        if drawn_percent < behavior.lost_answer_percent {
            return;
        }
        if drawn_percent < behavior.lost_answer_percent + behavior.malformed_answer_percent {
            return self.send(connection_id, &answer.replace(':', "#"));
        }
        self.send(connection_id, &answer);
        if drawn_percent >= 100 - behavior.duplicated_answer_percent {
            self.send(connection_id, &answer);
        }
    }

    fn end_calls(&mut self) {
        let now = Instant::now();
        let is_due = |c: &CallRecord| c.ended_at.is_none() && c.scheduled_end.is_some_and(|e| e <= now);
        let ended: Vec<_> =
            self.calls.iter().filter(|(_, c)| is_due(c)).map(|(t, _)| t.clone()).collect();
        for tag in &ended {
            if let Some(call) = self.calls.get_mut(tag) {
                call.ended_at = call.scheduled_end;
            }
        }
        if self.mode != Mode::Serving {
            return;
        }
        let process = self.process;
        let is_unreleased = |c: &CallRecord| {
            c.process == process
                && c.ended_at.is_some()
                && c.released_at.is_none()
                && !c.released_by_controller
                && !c.is_release_lost
        };
        let unreleased: Vec<_> =
            self.calls.iter().filter(|(_, c)| is_unreleased(c)).map(|(t, _)| t.clone()).collect();
        for tag in &unreleased {
            self.send_release(tag);
        }
        if !unreleased.is_empty() {
            self.report_load();
        }
    }

    /// Sends the release of a call on the connection of its set-up, or on any other connection if that one is gone.
    fn send_release(&mut self, tag: &str) {
        let Some(call) = self.calls.get(tag) else {
            return;
        };
        let (process, releases_on_closed) = (self.process, self.behavior.releases_on_closed);
        let own = self.connections.iter().filter(|c| c.process == process);
        let open = own.filter(|c| !c.peer_closed || releases_on_closed && c.id == call.connection_id);
        let Some(connection_id) = open.max_by_key(|c| c.id == call.connection_id).map(|c| c.id) else {
            return;
        };
        self.send(connection_id, &release_message(tag));
        self.releases_to_repeat.push(tag.to_owned());
        if let Some(call) = self.calls.get_mut(tag) {
            call.released_at = Some(Instant::now());
        }
    }

    /// Reports the load of the trunk group on all connections of the process.
    fn report_load(&mut self) {
        if self.behavior.reports_changes {
            let (load, process) = (self.load_message(), self.process);
            let open: Vec<_> =
                self.connections.iter().filter(|c| c.process == process).map(|c| c.id).collect();
            open.into_iter().for_each(|id| self.send(id, &load));
        }
    }

    fn send(&mut self, connection_id: u64, line: &str) {
        if let Some(c) = self.connections.iter_mut().find(|c| c.id == connection_id) {
            c.last_active = Instant::now();
            let _ = c.stream.write_all(format!("{line}\n").as_bytes());
        }
    }
}
