//! The parts that the cases share: the record, the daemon as a process, and stand-ins for clients, exchanges and the
//! journal service.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes the record: one line an event, with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Instant);

impl Record {
    pub fn new() -> Self {
        Record(Instant::now())
    }

    pub fn line(&self, who: &str, text: &str) {
        println!("{:8.3} {who}: {}", self.0.elapsed().as_secs_f64(), text.trim_end());
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Waits until `done` holds; returns whether it did in time.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    loop {
        if done() {
            return true;
        }
        if start.elapsed() >= limit {
            return false;
        }
        std::thread::sleep(ms(2));
    }
}

/// The loopback address of this case: cases that run side by side have different ones.
pub fn ip() -> String {
    let id = std::process::id();
    format!("127.{}.{}.1", 1 + id / 250 % 250, 1 + id % 250)
}

/// A listener on a free port.
pub fn listener() -> TcpListener {
    TcpListener::bind(format!("{}:0", ip())).expect("a port is free")
}

/// An address that is free now.
pub fn free_addr() -> SocketAddr {
    listener().local_addr().expect("it has an address")
}

/// Resets a TCP connection: a socket that is connected to no address is disconnected with RST (Linux, connect(2)).
fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    }
    // A socket address of the family AF_UNSPEC.
    let unspecified = [0u8; 16];
    // SAFETY: the address is valid for its length during the call, and the descriptor is open.
    let result = unsafe { connect(stream.as_raw_fd(), unspecified.as_ptr(), 16) };
    assert_eq!(result, 0, "the connection is reset");
}

/// The text of a string field, or the digits of a number, in a message of one line.
pub fn field(line: &str, name: &str) -> String {
    let Some(at) = line.find(&format!("\"{name}\":")) else {
        return String::new();
    };
    let rest = &line[at + name.len() + 3..];
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or_default().to_owned(),
        None => rest.chars().take_while(char::is_ascii_digit).collect(),
    }
}

/// Settings of a small deployment: three classes that may be repeated freely, as in the brief.
const SETTINGS: &str = r#"{"allowed":{"cancelling":true,"conn_idle_ms":600000.0,"dial_timeout_ms":500.0,"max_retry_after_ms":2000.0,"probing":false,"retry_after":true,"second_copies":false,"try_limit":5},
 "discovery":"pushed","over_share_worth":0.1,"position":0,"report":{"fields":["spare","total","cut_by","latency_ms"],"how":"piggyback"},
 "rules":{"answer_slack_ms":20.0,"ask_within_ms":10000.0,"cold_from":0.32,"cold_ms":14000.0,"drain_grace_ms":500.0,"fall_ms":1000.0,"fall_multiple":4.0},
 "services":[{"deadline_ms":9000.0,"group":"all","late_worth":0.25,"name":"log-lookup","points":1.0,"promise_ms":1500.0,"semantics":"pure","stream":true,"window_ms":5000.0},
  {"deadline_ms":9000.0,"group":"all","late_worth":0.25,"name":"box-photos","points":4.0,"promise_ms":2500.0,"semantics":"pure","stream":true,"window_ms":5000.0},
  {"deadline_ms":6000.0,"group":"all","late_worth":0.25,"name":"rig-query","points":5.0,"promise_ms":1000.0,"semantics":"pure","stream":true,"window_ms":5000.0}],
 "siblings":3,"specifics":{"allowed_pools":[],"channels_needed":[1,2,1],"clear_wait_ms":500.0,"here":0,"layout":"meshed","mean_hold_ms":[12000.0,19200.0,9600.0],"resend_ms":0.0},
 "tenants":[],"tick_ms":5.0,"zones":["suva"]}"#;

/// One exchange in the list of the journal service.
fn server_entry(id: &str, cell: u32, addr: SocketAddr, state: &str, started_ms: u128) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"suva","kind":"std","cell":{cell},"state":"{state}","weight":1,"started_ms":{started_ms}}}"#
    )
}

/// The Unix time.
pub fn unix_time() -> Duration {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970")
}

/// The configuration of the platform. `exchanges` are the number and the address of each.
pub fn config(
    listen: SocketAddr,
    admin: SocketAddr,
    journal: SocketAddr,
    exchanges: &[(u32, SocketAddr)],
) -> String {
    let server = |(cell, addr): &(u32, SocketAddr)| {
        server_entry(&format!("s-{cell}"), *cell, *addr, "in_service", 0)
    };
    let servers = exchanges.iter().map(server).collect::<Vec<_>>().join(",");
    let nanos = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("after 1970")
        .as_nanos();
    format!(
        r#"{{"name":"n0","listen":"{listen}","admin_addr":"{admin}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":128,"sockets":512}},"journal":"{journal}","known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"version":1,"full":true,"servers":[{servers}]}}}}]}},"settings":{SETTINGS}}}"#,
        nanos as u64
    )
}

/// The call controller as a process, started as the platform does. It is killed when this value is dropped.
pub struct Daemon {
    name: String,
    child: Child,
    log: PathBuf,
    id_file: PathBuf,
    record: Record,
}

impl Daemon {
    /// `socket`: the clients' listening socket, where the platform holds it; it becomes descriptor 7.
    pub fn start(
        name: &str,
        config: &str,
        operator_file: Option<&str>,
        socket: Option<&TcpListener>,
        record: &Record,
    ) -> Self {
        let folder =
            PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names a temporary folder"));
        let run = std::env::var("RUN_COMMAND").expect("RUN_COMMAND holds the deploy file's run");
        let (file, log) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")));
        std::fs::write(&file, config).expect("the configuration is written");
        let mut command = Command::new("/bin/sh");
        command.current_dir(std::env::var("PROJECT_ROOT").expect("PROJECT_ROOT is set"));
        match socket {
            Some(socket) => {
                let descriptor = OwnedFd::from(socket.try_clone().expect("the socket is cloned"));
                command.stdin(Stdio::from(descriptor)).env("ROUTER_SOCKET_FD", "7");
                command.args(["-c", &format!("exec 7<&0 </dev/null; {run}")]);
            }
            None => drop(command.stdin(Stdio::null()).args(["-c", &run])),
        }
        command.env("ROUTER_CONFIG", &file).env("TMPDIR", &folder);
        if let Some(text) = operator_file {
            std::fs::write(folder.join("operator.toml"), text).expect("the operator's file is written");
            command.env("SLATESHED_OPERATOR", folder.join("operator.toml"));
        }
        command.stderr(File::create(&log).expect("the log is created"));
        record.line("platform", &format!("starts {name}"));
        let child = command.spawn().expect("the program starts");
        // The script ends the process, should this one be killed.
        let id_file = folder.join(format!("{name}.id"));
        std::fs::write(&id_file, child.id().to_string()).expect("the id is written");
        Daemon { name: name.to_owned(), child, log, id_file, record: record.clone() }
    }

    /// Waits until HEALTH is answered `done` at the operators' address.
    pub fn wait_healthy(&self, admin: SocketAddr) {
        let healthy = || {
            let Ok(mut stream) = TcpStream::connect(admin) else {
                return false;
            };
            let mut answer = String::new();
            let _ = stream
                .write_all(b"HEALTH\n")
                .and_then(|()| stream.read_to_string(&mut answer).map(drop));
            answer.starts_with("done")
        };
        assert!(wait_until(ms(6000), healthy), "{} does not become healthy", self.name);
        self.record.line("platform", &format!("{} says that it takes clients", self.name));
    }

    pub fn signal(&self, signal: &str) {
        self.record.line("platform", &format!("SIG{signal} to {}", self.name));
        let kill = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.id_file);
        for line in std::fs::read_to_string(&self.log).unwrap_or_default().lines() {
            println!("         log of {}: {line}", self.name);
        }
    }
}

/// A stand-in for the journal service. It writes the last number each second, and each event as soon as it is added.
#[derive(Clone)]
pub struct Journal {
    pub addr: SocketAddr,
    /// The events from number 2 on; number 1 is known at the start.
    events: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Journal {
    pub fn start(record: &Record) -> Self {
        let listener = listener();
        let addr = listener.local_addr().expect("it has an address");
        let journal = Journal { addr, events: Arc::default(), record: record.clone() };
        let serving = journal.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let journal = serving.clone();
                std::thread::spawn(move || journal.serve(stream));
            }
        });
        journal
    }

    /// Tells a controller all events after the number that it names.
    fn serve(&self, mut stream: TcpStream) {
        let mut request = String::new();
        let mut reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
        let _ = reader.read_line(&mut request);
        let last: usize = request.trim().strip_prefix("tail ").and_then(|n| n.parse().ok()).unwrap_or(1);
        let (mut told, mut beat_at) = (last.max(1) - 1, Instant::now());
        loop {
            let events = self.events.lock().unwrap().clone();
            for event in events.iter().skip(told) {
                self.record.line("journal", &format!("> {event}"));
                if stream.write_all(format!("{event}\n").as_bytes()).is_err() {
                    return;
                }
            }
            told = told.max(events.len());
            if Instant::now() >= beat_at {
                beat_at += ms(1000);
                if stream.write_all(format!("{}\n", told + 1).as_bytes()).is_err() {
                    return;
                }
            }
            std::thread::sleep(ms(5));
        }
    }

    /// Adds an event about one exchange: its id, number, address, state, and when it started late (in Unix
    /// milliseconds) or 0.
    pub fn tell(&self, id: &str, cell: u32, addr: SocketAddr, state: &str, started_ms: u128) {
        let mut events = self.events.lock().unwrap();
        let pos = events.len() + 2;
        let server = server_entry(id, cell, addr, state, started_ms);
        events.push(format!(
            r#"{{"pos":{pos},"hosts":{{"version":{pos},"full":false,"servers":[{server}]}}}}"#
        ));
    }
}

/// What a stand-in received: when, on which of its connections, and the line. An empty line is the connection's end.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    pub conn: usize,
    pub line: String,
}

/// Lines received so far, and the open connections by number.
#[derive(Default)]
struct LinesState {
    received: Vec<Received>,
    conns: Vec<Option<TcpStream>>,
    /// Lines that go out first on the next connection opened.
    on_next: Vec<String>,
    /// The report with which an exchange begins each connection; empty for a client.
    report: String,
    /// Connections with a lower number lead to a machine that has vanished: they are open and silent.
    vanished_below: usize,
    /// A connection that the other side has closed is kept open from this side.
    keeps_open: bool,
}

/// A stand-in that speaks lines on any number of connections: an exchange or a client.
#[derive(Clone)]
pub struct Lines {
    name: String,
    record: Record,
    state: Arc<Mutex<LinesState>>,
}

impl Lines {
    pub fn new(name: &str, record: &Record) -> Self {
        Lines { name: name.to_owned(), record: record.clone(), state: Arc::default() }
    }

    /// An exchange: it listens, begins each connection with the state of its group, and answers tests.
    pub fn exchange(name: &str, report: &str, record: &Record) -> (Self, SocketAddr) {
        let lines = Lines::new(name, record);
        lines.state.lock().unwrap().report = report.to_owned();
        let listener = listener();
        let addr = listener.local_addr().expect("it has an address");
        let accepting = lines.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.add(stream);
            }
        });
        (lines, addr)
    }

    /// Adds a connection and returns its number.
    pub fn add(&self, stream: TcpStream) -> usize {
        let _ = stream.set_nodelay(true);
        let reader = stream.try_clone().expect("the stream is cloned");
        let mut state = self.state.lock().unwrap();
        let conn = state.conns.len();
        state.conns.push(Some(stream));
        let mut first = std::mem::take(&mut state.on_next);
        if !state.report.is_empty() {
            first.insert(0, state.report.clone());
        }
        drop(state);
        self.record.line(&self.name, &format!("connection {conn} is open"));
        first.iter().for_each(|line| {
            self.send(conn, line);
        });
        let lines = self.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(reader).lines() {
                let Ok(line) = line else { break };
                if conn < lines.state.lock().unwrap().vanished_below {
                    lines.record.line(&lines.name, &format!("connection {conn} (vanished): {line}"));
                    continue;
                }
                lines.record.line(&lines.name, &format!("connection {conn} < {line}"));
                if field(&line, "verb") == "ECHO" {
                    let tag = field(&line, "tag");
                    lines
                        .send(conn, &format!(r#"{{"verb":"ECHOED","tag":"{tag}","opts":{{}},"rc":1}}"#));
                }
                lines.state.lock().unwrap().received.push(Received { at: Instant::now(), conn, line });
            }
            lines
                .record
                .line(&lines.name, &format!("connection {conn} has been ended by the other side"));
            let mut state = lines.state.lock().unwrap();
            if conn < state.vanished_below || state.keeps_open {
                return;
            }
            if let Some(stream) = state.conns[conn].take() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            state.received.push(Received { at: Instant::now(), conn, line: String::new() });
        });
        conn
    }

    /// Connects as a client.
    pub fn connect(&self, to: SocketAddr) -> usize {
        self.add(TcpStream::connect(to).expect("the clients' address takes connections"))
    }

    /// Sends a line; returns whether it could be written.
    pub fn send(&self, conn: usize, line: &str) -> bool {
        self.send_bytes(conn, &format!("{line}\n"))
    }

    /// Sends text as it is.
    pub fn send_bytes(&self, conn: usize, text: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let written = state.conns[conn].as_mut().is_some_and(|s| s.write_all(text.as_bytes()).is_ok());
        drop(state);
        let how = if written { ">" } else { "is gone, not written:" };
        self.record.line(&self.name, &format!("connection {conn} {how} {text}"));
        written
    }

    /// Resets a connection from this side. What has not been read there is lost.
    pub fn reset(&self, conn: usize) {
        self.record.line(&self.name, &format!("connection {conn} is reset"));
        if let Some(stream) = self.state.lock().unwrap().conns[conn].take() {
            reset(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_open(&self, conn: usize) -> bool {
        self.state.lock().unwrap().conns[conn].is_some()
    }

    /// The first message of one of these types about a call, if it has been received.
    pub fn find(&self, verbs: &[&str], tag: &str) -> Option<Received> {
        let state = self.state.lock().unwrap();
        let found = state
            .received
            .iter()
            .find(|r| verbs.contains(&field(&r.line, "verb").as_str()) && field(&r.line, "tag") == tag);
        found.cloned()
    }

    /// Waits for a message about a call.
    pub fn expect(&self, verb: &str, tag: &str) -> Received {
        assert!(
            wait_until(ms(5000), || self.find(&[verb], tag).is_some()),
            "{}: no {verb} for {tag}",
            self.name
        );
        self.find(&[verb], tag).expect("it was found")
    }

    /// From now on, connections that the other side closes are kept open from this side.
    pub fn keep_open(&self) {
        self.state.lock().unwrap().keeps_open = true;
    }

    /// Number of connections so far.
    pub fn conn_count(&self) -> usize {
        self.state.lock().unwrap().conns.len()
    }

    /// The machine of an exchange vanishes: what is open stays open and silent.
    pub fn vanish(&self) {
        self.record.line(&self.name, "its machine vanishes: all its calls are over");
        let mut state = self.state.lock().unwrap();
        state.vanished_below = state.conns.len();
        state.on_next.clear();
    }

    /// Changes the report with which an exchange begins each connection.
    pub fn set_report(&self, report: &str) {
        self.state.lock().unwrap().report = report.to_owned();
    }

    /// The line with which an exchange releases a call.
    pub fn release_line(tag: &str, rc: u32) -> String {
        format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":{rc}}}"#)
    }

    /// Sends a line on the next connection opened.
    pub fn repeat_on_next(&self, line: &str) {
        self.state.lock().unwrap().on_next.push(line.to_owned());
    }

    /// Sends a line on all open connections.
    pub fn send_all(&self, line: &str) {
        let count = self.state.lock().unwrap().conns.len();
        (0..count).filter(|c| self.is_open(*c)).for_each(|c| {
            self.send(c, line);
        });
    }

    /// An exchange releases a call that stands: on the connection of its set-up, else on any open one; and on the next
    /// connection opened.
    pub fn release(&self, tag: &str, rc: u32) {
        let line = format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":{rc}}}"#);
        let own = self.find(&["START"], tag).map(|r| r.conn).filter(|c| self.is_open(*c));
        let count = self.state.lock().unwrap().conns.len();
        if let Some(conn) = own.or_else(|| (0..count).find(|c| self.is_open(*c))) {
            self.send(conn, &line);
        }
        self.state.lock().unwrap().on_next.push(line);
    }

    /// An exchange answers a set-up on its connection.
    pub fn answer(&self, tag: &str) {
        let conn = self.find(&["START"], tag).expect("the set-up was received").conn;
        self.send(
            conn,
            &format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"v=0 answer to {tag}"}}"#),
        );
    }
}

/// The line of a set-up from a caller.
pub fn set_up(tag: &str, class: &str, left: u32, dest: u32, width: u32) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag}","opts":{{"class":"{class}","left":"{left}","key":"{tag}","extras":"dest:{dest};width:{width};via:-1"}},"blob":"v=0 offer of {tag}"}}"#
    )
}
