//! An exchange that can fail: a scripted peer on loopback whose machine vanishes, hangs, is cut off, is replaced at
//! its address, or crashes, and that keeps a record of every call it was given.

use slateshed_node::net::lines::Message;
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Connections that may wait to be accepted while the exchange serves.
const BACKLOG: i32 = 128;
/// How long a dial to a machine that vanished is watched before it counts as one that never comes up.
const NEVER_UP: Duration = Duration::from_millis(20);
/// The process of a connection that nobody serves.
const DEAD: u32 = u32::MAX;
/// Pause between two looks at the sockets.
const STEP: Duration = Duration::from_millis(1);

/// What the exchange does with its sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It accepts, reads and writes.
    Serving,
    /// The process stands still; the system accepts connections for it.
    Hung,
    /// Open connections stay open and silent, and new ones never come up.
    Unreachable,
    /// New connections are refused, and there is no process.
    Down,
}

/// How the exchange behaves while it serves.
#[derive(Clone, Copy, Debug)]
pub struct Manners {
    /// It states its trunk group first on each new connection.
    pub greets: bool,
    /// It states its trunk group on all connections when that changes.
    pub reports: bool,
    /// It closes a connection that its peer has closed.
    pub closes: bool,
    /// It sends the release of a call on the connection of its set-up even where that has been closed on it.
    pub insists: bool,
    /// It answers set-ups.
    pub answers: bool,
    /// Mean time that a call stands; forever, where there is none.
    pub hold: Option<Duration>,
    /// Out of a hundred answers, how many are lost.
    pub lost_answers: u8,
    /// Out of a hundred answers, how many are spoilt.
    pub spoilt_answers: u8,
    /// Out of a hundred answers, how many are sent twice.
    pub doubled_answers: u8,
    /// Out of a hundred connections, how many are accepted and never served.
    pub dead_connections: u8,
    /// What it does with a connection on which nothing has passed for a time.
    pub idle: Option<(Duration, IdleHabit)>,
}

/// What an exchange does with idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleHabit {
    /// It closes them in good order.
    Closes,
    /// It resets them.
    Resets,
    /// It serves them no more and leaves them open.
    Forgets,
}

impl Manners {
    /// As the protocol has it, with calls that stand until they are released.
    pub const PROTOCOL: Manners = Manners {
        greets: true,
        reports: true,
        closes: true,
        insists: false,
        answers: true,
        hold: None,
        lost_answers: 0,
        spoilt_answers: 0,
        doubled_answers: 0,
        dead_connections: 0,
        idle: None,
    };
}

/// One call as the exchange knows it.
#[derive(Clone, Debug)]
pub struct Record {
    /// When it was answered.
    pub stood: Instant,
    /// When it was over, for whatever reason.
    pub over: Option<Instant>,
    /// When its release was sent, where one could be.
    pub released: Option<Instant>,
    /// The controller has released it.
    pub cut: bool,
    /// Which process of the exchange had it.
    pub process: u32,
    connection: u64,
    ends: Option<Instant>,
}

/// A time in which the exchange did not serve.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// When it began.
    pub from: Instant,
    /// When it was over, if it is.
    pub to: Option<Instant>,
}

struct Connection {
    id: u64,
    stream: TcpStream,
    input: Vec<u8>,
    process: u32,
    /// The peer has closed it.
    is_closed: bool,
    /// When anything last passed on it.
    active: Instant,
}

struct State {
    /// What its answers describe, to know them by.
    port: u16,
    mode: Mode,
    manners: Manners,
    listener: Option<TcpListener>,
    /// Connections of this peer's own that fill the queue of the listener.
    fillers: Vec<Socket>,
    connections: Vec<Connection>,
    next_connection: u64,
    process: u32,
    calls: HashMap<String, Record>,
    /// Releases that are sent once more on the next connection.
    repeats: Vec<String>,
    accepted: u64,
    set_ups: Vec<(Instant, String)>,
    outages: Vec<Outage>,
    circuits: usize,
    random: fastrand::Rng,
}

/// The exchange, which ends with the test.
pub struct FaultyExchange {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn listen(addr: SocketAddr) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("an option");
    // A process that is being started elsewhere may hold a copy of the socket that listened there, for a moment.
    let until = Instant::now() + Duration::from_secs(1);
    while socket.bind(&SockAddr::from(addr)).is_err() {
        assert!(Instant::now() < until, "the address is free");
        std::thread::sleep(STEP);
    }
    socket.listen(BACKLOG).expect("it listens");
    socket.set_nonblocking(true).expect("an option");
    socket.into()
}

fn release(tag: &str) -> String {
    format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":16}}"#)
}

impl FaultyExchange {
    /// Starts an exchange on a port of the system's choice. `seed` draws the times that calls stand.
    pub fn start(manners: Manners, seed: u64) -> Self {
        let listener = listen(([127, 0, 0, 1], 0).into());
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            port: addr.port(),
            mode: Mode::Serving,
            manners,
            listener: Some(listener),
            fillers: Vec::new(),
            connections: Vec::new(),
            next_connection: 0,
            process: 0,
            calls: HashMap::new(),
            repeats: Vec::new(),
            accepted: 0,
            set_ups: Vec::new(),
            outages: Vec::new(),
            circuits: 30,
            random: fastrand::Rng::with_seed(seed),
        }));
        let over = Arc::new(AtomicBool::new(false));
        let (shared, ended) = (Arc::clone(&state), Arc::clone(&over));
        let thread = std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                shared.lock().expect("no panic").step();
                std::thread::sleep(STEP);
            }
        });
        FaultyExchange { addr, state, over, thread: Some(thread) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// The machine vanishes for good: its calls are over, and nobody says so.
    pub fn vanish(&self) {
        let mut state = self.state();
        state.unreachable();
        state.end_all(Instant::now());
    }

    /// The way to the machine is cut: the process and its calls go on.
    pub fn cut_off(&self) {
        self.state().unreachable();
    }

    /// The way is there again: what was said meanwhile arrives.
    pub fn reconnect(&self) {
        let mut state = self.state();
        state.reopen();
        state.serve();
    }

    /// The process stands still until [`Self::reconnect`]; its calls go on.
    pub fn hang(&self) {
        self.state().fail(Mode::Hung);
    }

    /// A new process serves at the address and knows nothing of the calls before. The old connections stay open and
    /// silent: nobody is left to close them.
    pub fn replace(&self) {
        let mut state = self.state();
        state.end_all(Instant::now());
        state.process += 1;
        state.repeats.clear();
        state.reopen();
        state.serve();
    }

    /// The process dies: its connections are reset, and new ones refused.
    pub fn crash(&self) {
        let mut state = self.state();
        state.end_all(Instant::now());
        state.listener = None;
        state.fillers.clear();
        state.process += 1;
        state.repeats.clear();
        state.reset_all();
        state.fail(Mode::Down);
    }

    /// A new process listens at the address of the one that died.
    pub fn restart(&self) {
        let mut state = self.state();
        state.listener = Some(listen(self.addr));
        state.serve();
    }

    /// Resets every open connection; the process lives on.
    pub fn reset_connections(&self) {
        self.state().reset_all();
    }

    /// Changes how it behaves.
    pub fn behave(&self, manners: Manners) {
        self.state().manners = manners;
    }

    /// Ends a call that stands, and says so if it can.
    pub fn release(&self, tag: &str) {
        if let Some(call) = self.state().calls.get_mut(tag) {
            call.ends = Some(Instant::now());
        }
    }

    /// The record of a call.
    pub fn call(&self, tag: &str) -> Option<Record> {
        self.state().calls.get(tag).cloned()
    }

    /// The records of all calls.
    pub fn calls(&self) -> HashMap<String, Record> {
        self.state().calls.clone()
    }

    /// Set-ups received, and when.
    pub fn set_ups(&self) -> Vec<(Instant, String)> {
        self.state().set_ups.clone()
    }

    /// When the exchange did not serve.
    pub fn outages(&self) -> Vec<Outage> {
        self.state().outages.clone()
    }

    /// What it does now.
    pub fn mode(&self) -> Mode {
        self.state().mode
    }

    /// Connections accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.state().accepted
    }
}

impl Drop for FaultyExchange {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl State {
    fn step(&mut self) {
        if matches!(self.mode, Mode::Serving) {
            self.accept();
            self.read();
            self.treat_idle();
        }
        self.end_calls();
    }

    fn fail(&mut self, mode: Mode) {
        if self.mode == Mode::Serving {
            self.outages.push(Outage { from: Instant::now(), to: None });
        }
        self.mode = mode;
    }

    fn serve(&mut self) {
        self.mode = Mode::Serving;
        if let Some(outage) = self.outages.last_mut().filter(|o| o.to.is_none()) {
            outage.to = Some(Instant::now());
        }
    }

    /// No further connection comes up: the queue of the listener is as short as can be, and full.
    fn unreachable(&mut self) {
        self.fail(Mode::Unreachable);
        let Some(listener) = &self.listener else {
            return;
        };
        SockRef::from(listener).listen(0).expect("it listens");
        let addr = SockAddr::from(listener.local_addr().expect("an address"));
        loop {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            filler.set_nonblocking(true).expect("an option");
            let _ = filler.connect(&addr);
            std::thread::sleep(NEVER_UP);
            let is_up = filler.peer_addr().is_ok();
            self.fillers.push(filler);
            if !is_up {
                return;
            }
        }
    }

    fn reopen(&mut self) {
        self.fillers.clear();
        if let Some(listener) = &self.listener {
            SockRef::from(listener).listen(BACKLOG).expect("it listens");
        }
    }

    fn reset_all(&mut self) {
        for connection in self.connections.drain(..) {
            let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// All calls of the process are over, with nobody to say so.
    fn end_all(&mut self, now: Instant) {
        for call in self.calls.values_mut().filter(|c| c.over.is_none()) {
            call.over = Some(now);
        }
    }

    fn load(&self) -> String {
        let busy = self.calls.values().filter(|c| c.over.is_none()).count();
        let (free, size) = (self.circuits.saturating_sub(busy), self.circuits);
        format!(r#"{{"verb":"LOAD","tag":"","opts":{{"load":"spare:{free};total:{size}"}}}}"#)
    }

    fn accept(&mut self) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(TcpListener::accept) {
            stream.set_nonblocking(true).expect("an option");
            stream.set_nodelay(true).expect("an option");
            self.accepted += 1;
            self.next_connection += 1;
            let is_dead = self.random.u8(0..100) < self.manners.dead_connections;
            let (id, process) = (self.next_connection, if is_dead { DEAD } else { self.process });
            self.connections.push(Connection {
                id,
                stream,
                input: Vec::new(),
                process,
                is_closed: false,
                active: Instant::now(),
            });
            if is_dead {
                continue;
            }
            if self.manners.greets {
                let load = self.load();
                self.say(id, &load);
            }
            for tag in std::mem::take(&mut self.repeats) {
                self.say(id, &release(&tag));
            }
        }
    }

    fn read(&mut self) {
        let mut lines = Vec::new();
        let (process, closes) = (self.process, self.manners.closes);
        self.connections.retain_mut(|c| {
            if c.process != process {
                return true;
            }
            let mut chunk = [0; 4096];
            loop {
                match c.stream.read(&mut chunk) {
                    Ok(0) => {
                        c.is_closed = true;
                        return !closes;
                    }
                    Ok(n) => {
                        c.active = Instant::now();
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
        for (connection, line) in lines {
            let message = Message::parse(&line).expect("the controller writes messages");
            self.message(connection, message);
        }
    }

    fn treat_idle(&mut self) {
        let Some((after, habit)) = self.manners.idle else {
            return;
        };
        let process = self.process;
        self.connections.retain_mut(|c| {
            if c.process != process || c.active.elapsed() < after {
                return true;
            }
            match habit {
                IdleHabit::Closes => return false,
                IdleHabit::Resets => {
                    let _ = SockRef::from(&c.stream).set_linger(Some(Duration::ZERO));
                    return false;
                }
                IdleHabit::Forgets => c.process = DEAD,
            }
            true
        });
    }

    fn message(&mut self, connection: u64, message: Message) {
        let now = Instant::now();
        match message.verb.as_str() {
            "START" => {
                self.set_ups.push((now, message.tag.clone()));
                // A call that comes again is another; a release of the one before would be taken for its own.
                self.repeats.retain(|tag| *tag != message.tag);
                if !self.manners.answers {
                    return;
                }
                let hold = self.manners.hold.map(|mean| {
                    let longer = -self.random.f64().max(1e-6).ln();
                    mean.mul_f64(longer.clamp(0.05, 3.0))
                });
                let record = Record {
                    stood: now,
                    over: None,
                    released: None,
                    cut: false,
                    process: self.process,
                    connection,
                    ends: hold.map(|h| now + h),
                };
                self.calls.insert(message.tag.clone(), record);
                self.answer(connection, &message.tag);
                self.report();
            }
            "FINISH" => {
                let process = self.process;
                let known = self.calls.get_mut(&message.tag).filter(|c| c.process == process);
                if let Some(call) = known.filter(|c| c.over.is_none()) {
                    (call.over, call.cut) = (Some(now), true);
                    self.report();
                }
            }
            _ => {}
        }
    }

    /// Answers a set-up, as well as this exchange does.
    fn answer(&mut self, connection: u64, tag: &str) {
        let port = self.port;
        let answer = format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"{port}"}}"#);
        let (manners, drawn) = (self.manners, self.random.u8(0..100));
        if drawn < manners.lost_answers {
            return;
        }
        if drawn < manners.lost_answers + manners.spoilt_answers {
            return self.say(connection, &answer.replace(':', "#"));
        }
        self.say(connection, &answer);
        if drawn >= 100 - manners.doubled_answers {
            self.say(connection, &answer);
        }
    }

    fn end_calls(&mut self) {
        let now = Instant::now();
        let due = |c: &Record| c.over.is_none() && c.ends.is_some_and(|e| e <= now);
        let ended: Vec<_> = self.calls.iter().filter(|(_, c)| due(c)).map(|(t, _)| t.clone()).collect();
        for tag in &ended {
            if let Some(call) = self.calls.get_mut(tag) {
                call.over = call.ends;
            }
        }
        if self.mode != Mode::Serving {
            return;
        }
        let process = self.process;
        let unsaid =
            |c: &Record| c.process == process && c.over.is_some() && c.released.is_none() && !c.cut;
        let unsaid: Vec<_> =
            self.calls.iter().filter(|(_, c)| unsaid(c)).map(|(t, _)| t.clone()).collect();
        for tag in &unsaid {
            self.say_release(tag);
        }
        if !unsaid.is_empty() {
            self.report();
        }
    }

    /// Says that a call has ended: on the connection of its set-up, else on any.
    fn say_release(&mut self, tag: &str) {
        let Some(call) = self.calls.get(tag) else {
            return;
        };
        let (process, insists) = (self.process, self.manners.insists);
        let own = self.connections.iter().filter(|c| c.process == process);
        let open = own.filter(|c| !c.is_closed || insists && c.id == call.connection);
        let Some(on) = open.max_by_key(|c| c.id == call.connection).map(|c| c.id) else {
            return;
        };
        self.say(on, &release(tag));
        self.repeats.push(tag.to_owned());
        if let Some(call) = self.calls.get_mut(tag) {
            call.released = Some(Instant::now());
        }
    }

    /// States the trunk group on all connections of the process.
    fn report(&mut self) {
        if self.manners.reports {
            let (load, process) = (self.load(), self.process);
            let open: Vec<_> =
                self.connections.iter().filter(|c| c.process == process).map(|c| c.id).collect();
            open.into_iter().for_each(|id| self.say(id, &load));
        }
    }

    fn say(&mut self, connection: u64, line: &str) {
        if let Some(c) = self.connections.iter_mut().find(|c| c.id == connection) {
            c.active = Instant::now();
            let _ = c.stream.write_all(format!("{line}\n").as_bytes());
        }
    }
}
