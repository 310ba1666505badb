//! Stand-ins for the second review: the platform, exchanges, callers and the journal service, on loopback sockets.
//! Only the standard library is used.

use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const SockAddr, length: u32) -> i32;
    fn connect(socket: i32, address: *const SockAddr, length: u32) -> i32;
}

/// An IPv4 address in the form of the system's calls.
#[repr(C)]
struct SockAddr {
    family: u16,
    port: u16,
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Connects from a loopback address of the caller's own.
fn connect_from(ip: [u8; 4], to: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const LENGTH: u32 = 16;
    let SocketAddr::V4(to) = to else {
        return None;
    };
    let own = SockAddr { family: AF_INET as u16, port: 0, ip, zero: [0; 8] };
    let to =
        SockAddr { family: AF_INET as u16, port: to.port().to_be(), ip: to.ip().octets(), zero: [0; 8] };
    // The descriptor belongs to the stream from the start, which closes it.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let is_connected = bind(descriptor, &own, LENGTH) == 0 && connect(descriptor, &to, LENGTH) == 0;
        is_connected.then_some(stream)
    }
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: every line with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt is created");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn write(&self, who: &str, text: &str) {
        let text: String = text.trim_end().chars().take(300).collect();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {who:<12} {text}", self.now());
    }
}

/// One line received by a stand-in.
#[derive(Clone, Debug)]
pub struct Line {
    pub at: u64,
    pub text: String,
}

impl Line {
    /// The value of a string field, without its escapes resolved.
    pub fn text_of(&self, key: &str) -> Option<String> {
        let mark = format!("\"{key}\":\"");
        let rest = &self.text[self.text.find(&mark)? + mark.len()..];
        let mut escaped = false;
        for (i, c) in rest.char_indices() {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => return Some(rest[..i].to_owned()),
                _ => {}
            }
        }
        None
    }

    pub fn verb(&self) -> String {
        self.text_of("verb").unwrap_or_default()
    }

    pub fn tag(&self) -> String {
        self.text_of("tag").unwrap_or_default()
    }

    pub fn rc(&self) -> Option<u32> {
        let rest = &self.text[self.text.find("\"rc\":")? + 5..];
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    }
}

/// What a stand-in has received, in order.
#[derive(Clone, Default)]
pub struct Inbox {
    lines: Arc<(Mutex<VecDeque<Line>>, Condvar)>,
}

impl Inbox {
    pub fn push(&self, line: Line) {
        self.lines.0.lock().unwrap().push_back(line);
        self.lines.1.notify_all();
    }

    pub fn all(&self) -> Vec<Line> {
        self.lines.0.lock().unwrap().iter().cloned().collect()
    }

    /// Waits until a line fits, for a time. Lines are kept.
    pub fn wait(&self, within: Duration, fits: impl Fn(&Line) -> bool) -> Option<Line> {
        let end = Instant::now() + within;
        let mut lines = self.lines.0.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().find(|l| fits(l)) {
                return Some(line.clone());
            }
            let left = end.checked_duration_since(Instant::now())?;
            lines = self.lines.1.wait_timeout(lines, left).unwrap().0;
        }
    }
}

/// One connection of a stand-in, for sending.
#[derive(Clone)]
pub struct Conn {
    pub id: u64,
    stream: Arc<Mutex<TcpStream>>,
}

static NEXT_CONN: AtomicU64 = AtomicU64::new(1);

impl Conn {
    /// Reads lines from a stream into an inbox, until it ends; the end is put there as the verb CLOSED.
    pub fn start(
        stream: TcpStream,
        name: &str,
        record: &Record,
        on: impl Fn(&Conn, Line) + Send + 'static,
    ) -> Conn {
        let _ = stream.set_nodelay(true);
        let id = NEXT_CONN.fetch_add(1, Ordering::Relaxed);
        let reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
        let conn = Conn { id, stream: Arc::new(Mutex::new(stream)) };
        let (own, record, name) = (conn.clone(), record.clone(), name.to_owned());
        thread::spawn(move || {
            for text in reader.lines().map_while(Result::ok) {
                record.write(&name, &format!("got  [{id}] {text}"));
                on(&own, Line { at: record.now(), text });
            }
            record.write(&name, &format!("end  [{id}]"));
            on(&own, Line { at: record.now(), text: "{\"verb\":\"CLOSED\"}".into() });
        });
        conn
    }

    pub fn send_raw(&self, name: &str, record: &Record, text: &str) {
        record.write(name, &format!("sent [{}] {text}", self.id));
        let _ = self.stream.lock().unwrap().write_all(text.as_bytes());
    }

    pub fn send(&self, name: &str, record: &Record, text: &str) {
        self.send_raw(name, record, &format!("{text}\n"));
    }

    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }
}

pub fn release(tag: &str, rc: u32, note: &str) -> String {
    let opts = if note.is_empty() { String::new() } else { format!("\"note\":\"{note}\"") };
    format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{{opts}}},\"rc\":{rc}}}")
}

pub fn answer(tag: &str, name: &str) -> String {
    format!("{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{}},\"blob\":\"answer of {name} for {tag}\"}}")
}

pub fn load(free: u32, size: u32) -> String {
    format!("{{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{{\"load\":\"x0:{free};x1:{size};eps:0;latency_ms:1\"}}}}")
}

pub fn set_up(tag: &str, class: &str, left: u64, dest: u32) -> String {
    format!(
        "{{\"verb\":\"START\",\"tag\":\"{tag}\",\"opts\":{{\"class\":\"{class}\",\"left\":\"{left}\",\"key\":\"{tag}\",\
         \"extras\":\"dest:{dest};width:1;via:-1\"}},\"blob\":\"{tag}\\r\\nc=IN IP4 127.0.0.1\\r\\n\"}}"
    )
}

/// An id that is new for each call of a case.
pub fn tag(n: u64) -> String {
    format!("{:016x}", 0x5a00_0000_0000_0000 | n)
}

type Behaviour = Arc<dyn Fn(&Exchange, &Conn, &Line) + Send + Sync>;

/// An exchange. What it does with a line is given by the case.
#[derive(Clone)]
pub struct Exchange {
    pub name: String,
    pub addr: SocketAddr,
    pub inbox: Inbox,
    pub record: Record,
    pub conns: Arc<Mutex<Vec<Conn>>>,
    /// Free circuits, as reported first on each new connection.
    pub free: Arc<AtomicU64>,
    /// The connection of each call's last set-up.
    set_up_on: Arc<Mutex<HashMap<String, u64>>>,
    /// Releases that are sent again on the next connection that is opened.
    repeats: Arc<Mutex<Vec<String>>>,
    behaviour: Behaviour,
}

impl Exchange {
    pub fn start(
        name: &str,
        record: &Record,
        behaviour: impl Fn(&Exchange, &Conn, &Line) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let exchange = Exchange {
            name: name.to_owned(),
            addr: listener.local_addr().expect("an address"),
            inbox: Inbox::default(),
            record: record.clone(),
            conns: Arc::default(),
            free: Arc::new(AtomicU64::new(30)),
            set_up_on: Arc::default(),
            repeats: Arc::default(),
            behaviour: Arc::new(behaviour),
        };
        let own = exchange.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                own.serve(stream);
            }
        });
        exchange
    }

    fn serve(&self, stream: TcpStream) {
        let own = self.clone();
        let conn = Conn::start(stream, &self.name, &self.record, move |conn, line| {
            if line.verb() == "CLOSED" {
                own.conns.lock().unwrap().retain(|c| c.id != conn.id);
                // An exchange closes its side of a connection that its peer has closed.
                conn.close();
            }
            if line.verb() == "START" {
                own.set_up_on.lock().unwrap().insert(line.tag(), conn.id);
            }
            own.inbox.push(line.clone());
            (own.behaviour)(&own, conn, &line);
        });
        let repeats = {
            // A release is either sent on a connection that is open already or repeated on this one.
            let mut conns = self.conns.lock().unwrap();
            conns.push(conn.clone());
            std::mem::take(&mut *self.repeats.lock().unwrap())
        };
        conn.send(&self.name, &self.record, &load(self.free.load(Ordering::SeqCst) as u32, 30));
        repeats.iter().for_each(|r| self.send(&conn, r));
    }

    /// Releases a call that stands: on the connection of its set-up, else on any open one, and on the next one that is
    /// opened.
    pub fn end_call(&self, tag: &str, rc: u32) {
        let text = release(tag, rc, "");
        let set_up_on = self.set_up_on.lock().unwrap().get(tag).copied();
        let conns = self.conns.lock().unwrap();
        let conn = conns.iter().find(|c| Some(c.id) == set_up_on).or(conns.first()).cloned();
        self.repeats.lock().unwrap().push(text.clone());
        drop(conns);
        if let Some(conn) = conn {
            self.send(&conn, &text);
        }
    }

    pub fn send(&self, conn: &Conn, text: &str) {
        conn.send(&self.name, &self.record, text);
    }

    pub fn send_later(&self, conn: &Conn, after: Duration, text: String) {
        let (own, conn) = (self.clone(), conn.clone());
        thread::spawn(move || {
            thread::sleep(after);
            own.send(&conn, &text);
        });
    }

    /// Reports the free circuits on all open connections.
    pub fn report(&self, free: u64) {
        self.free.store(free, Ordering::SeqCst);
        let conns = self.conns.lock().unwrap().clone();
        conns.iter().for_each(|c| self.send(c, &load(free as u32, 30)));
    }

    pub fn set_ups(&self) -> Vec<Line> {
        self.inbox.all().into_iter().filter(|l| l.verb() == "START").collect()
    }
}

/// A caller's connection.
pub struct Client {
    pub name: String,
    pub inbox: Inbox,
    pub conn: Conn,
    record: Record,
}

impl Client {
    pub fn connect(name: &str, addr: SocketAddr, record: &Record) -> Option<Self> {
        Self::connect_from([127, 0, 0, 1], name, addr, record)
    }

    /// Connects from a host with a loopback address of its own.
    pub fn connect_from(ip: [u8; 4], name: &str, addr: SocketAddr, record: &Record) -> Option<Self> {
        let stream = connect_from(ip, addr)?;
        let inbox = Inbox::default();
        let own = inbox.clone();
        let conn = Conn::start(stream, name, record, move |_, line| own.push(line));
        record.write(name, &format!("open [{}] to {addr}", conn.id));
        Some(Client { name: name.to_owned(), inbox, conn, record: record.clone() })
    }

    pub fn send(&self, text: &str) {
        self.conn.send(&self.name, &self.record, text);
    }

    pub fn send_raw(&self, text: &str) {
        self.conn.send_raw(&self.name, &self.record, text);
    }

    /// The first line with this id, and with one of these verbs.
    pub fn wait(&self, tag: &str, verbs: &[&str], within: Duration) -> Option<Line> {
        self.inbox.wait(within, |l| l.tag() == tag && verbs.contains(&l.verb().as_str()))
    }

    /// The front's test: whether the call controller says that it is ready.
    pub fn test(&self, within: Duration) -> bool {
        let id = tag(0xec00 + self.inbox.all().len() as u64);
        self.send(&format!("{{\"verb\":\"ECHO\",\"tag\":\"{id}\",\"opts\":{{}},\"rc\":0}}"));
        self.wait(&id, &["ECHOED"], within).is_some_and(|l| l.rc() == Some(1))
    }
}

/// The journal service.
#[derive(Clone)]
pub struct Journal {
    pub addr: SocketAddr,
    state: Arc<Mutex<JournalState>>,
    record: Record,
}

struct JournalState {
    events: Vec<(u64, String)>,
    last: u64,
    /// The connections, each with the last event told on it and the time from which it is served.
    conns: Vec<(Conn, u64, Instant)>,
    /// How long a connection waits until it is served.
    wait: Duration,
}

impl Journal {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("the listener is set to non-blocking");
        let addr = listener.local_addr().expect("an address");
        let state = JournalState { events: Vec::new(), last: 1, conns: Vec::new(), wait: ms(0) };
        let journal = Journal { addr, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let own = journal.clone();
        thread::spawn(move || own.serve(listener));
        journal
    }

    fn serve(&self, listener: TcpListener) {
        let mut beat = Instant::now();
        loop {
            thread::sleep(ms(5));
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(false);
                let own = self.clone();
                Conn::start(stream, "journal", &self.record, move |conn, line| {
                    if line.verb() == "CLOSED" {
                        own.state.lock().unwrap().conns.retain(|(c, ..)| c.id != conn.id);
                        conn.close();
                    }
                    if let Some(n) = line.text.strip_prefix("tail ").and_then(|n| n.trim().parse().ok())
                    {
                        let mut state = own.state.lock().unwrap();
                        let from = Instant::now() + state.wait;
                        state.conns.push((conn.clone(), n, from));
                    }
                });
            }
            let mut state = self.state.lock().unwrap();
            let (events, last) = (state.events.clone(), state.last);
            let beat_due = beat.elapsed() >= ms(1000);
            if beat_due {
                beat = Instant::now();
            }
            for (conn, told, _) in state.conns.iter_mut().filter(|(.., from)| Instant::now() >= *from) {
                let before = *told;
                for (pos, event) in events.iter().filter(|(pos, _)| *pos > before) {
                    conn.send("journal", &self.record, event);
                    *told = *pos;
                }
                if beat_due {
                    conn.send("journal", &self.record, &format!("{{\"pos\":{last}}}"));
                }
            }
        }
    }

    /// The service holds a change of the list from now on.
    pub fn tell(&self, servers: &[String]) {
        let mut state = self.state.lock().unwrap();
        state.last += 1;
        let event = list_event(state.last, false, servers);
        self.record.write("journal", &format!("has  {event}"));
        let last = state.last;
        state.events.push((last, event));
    }

    /// From now on, each new connection is served only after this time.
    pub fn set_wait(&self, wait: Duration) {
        self.state.lock().unwrap().wait = wait;
    }
}

pub fn server(id: &str, addr: SocketAddr, cell: u32, state: &str, started_ms: u64) -> String {
    let zone = ["suva", "lautoka", "labasa"][cell as usize % 3];
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"kind\":\"single-core\",\"cell\":{cell},\
         \"state\":\"{state}\",\"weight\":1,\"started_ms\":{started_ms}}}"
    )
}

pub fn list_event(pos: u64, full: bool, servers: &[String]) -> String {
    let servers = servers.join(",");
    format!("{{\"pos\":{pos},\"hosts\":{{\"version\":{pos},\"full\":{full},\"servers\":[{servers}]}}}}")
}

/// The settings of a small deployment: three classes, three zones, six exchanges.
pub fn settings() -> String {
    let class = |name: &str, points: f64, aim: u32, deadline: u32| {
        format!(
            "{{\"deadline_ms\":{deadline}.0,\"group\":\"all\",\"late_worth\":0.25,\"name\":\"{name}\",\"points\":{points:.1},\
             \"promise_ms\":{aim}.0,\"semantics\":\"pure\",\"stream\":true,\"window_ms\":5000.0}}"
        )
    };
    let classes = [
        class("log-lookup", 1.0, 1500, 9000),
        class("box-photos", 4.0, 2500, 9000),
        class("rig-query", 5.0, 1000, 6000),
    ];
    format!(
        "{{\"allowed\":{{\"cancelling\":true,\"conn_idle_ms\":600000.0,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":300000,\
         \"dial_timeout_ms\":500.0,\"max_open\":20000,\"max_retry_after_ms\":2000.0,\"may_tell\":false,\"probing\":false,\
         \"retry_after\":true,\"second_copies\":false,\"streams_per_conn\":1048576,\"try_limit\":5}},\
         \"clients\":{{\"marks_retry\":false}},\"discovery\":\"pushed\",\"family\":\"trunks\",\
         \"goal\":{{\"whole\":0.7,\"worst_class\":0.2,\"worst_tenant\":0.0,\"worst_window\":0.1}},\
         \"over_share_worth\":0.1,\"position\":0,\
         \"prices\":{{\"late_fail\":0.05,\"waste\":0.027}},\
         \"report\":{{\"fields\":[\"x0\",\"x1\",\"eps\",\"latency_ms\"],\"how\":\"piggyback\"}},\
         \"rules\":{{\"answer_slack_ms\":20.0,\"ask_within_ms\":10000.0,\"cold_from\":0.32,\"cold_ms\":14000.0,\
         \"drain_grace_ms\":500.0,\"fall_ms\":1000.0,\"fall_multiple\":4.0}},\
         \"services\":[{}],\"siblings\":6,\"skus\":[\"single-core\"],\
         \"specifics\":{{\"allowed_pools\":[],\"channels_needed\":[1,2,1],\"clear_wait_ms\":500.0,\"here\":0,\
         \"hints_route\":false,\"layout\":\"meshed\",\"mean_hold_ms\":[12000.0,19200.0,9600.0],\
         \"remote_load\":\"piggyback\",\"resend_ms\":0.0,\"tells_wait\":false}},\"stage\":0,\"tenants\":[],\
         \"tick_ms\":5.0,\"tiers\":[\"core-exchanges\"],\"weight_source\":\"silent\",\"worth_by\":\"request\",\
         \"zone\":0,\"zones\":[\"suva\",\"lautoka\",\"labasa\"]}}",
        classes.join(",")
    )
}

/// The platform: it starts call controllers with the command of the deploy file.
pub struct Platform {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub listen: SocketAddr,
    /// The clients' socket, where the platform holds it.
    pub socket: Option<TcpListener>,
    children: Vec<Child>,
}

impl Platform {
    /// `holds_socket`: the platform holds the clients' socket and hands it down as descriptor 7.
    pub fn new(root: &Path, record: &Record, holds_socket: bool) -> Self {
        let folder = std::env::temp_dir().join(format!("slateshed-review-2-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp")).expect("the temporary folder is created");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let listen = listener.local_addr().expect("an address");
        let socket = Some(listener).filter(|_| holds_socket);
        Platform {
            root: root.to_owned(),
            folder,
            record: record.clone(),
            listen,
            socket,
            children: Vec::new(),
        }
    }

    /// Writes the configuration file.
    pub fn configure(&self, journal: SocketAddr, servers: &[String], pos: u64) {
        self.configure_with_memory(journal, servers, pos, 192);
    }

    /// Writes the configuration file with a limit of memory, in MB.
    pub fn configure_with_memory(&self, journal: SocketAddr, servers: &[String], pos: u64, memory: u32) {
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory},\"sockets\":1024}},\"journal\":\"{journal}\",\
             \"known\":{{\"pos\":{pos},\"entries\":[{}]}},\"settings\":{}}}",
            self.listen,
            list_event(pos, true, servers),
            settings()
        );
        let path = self.folder.join("config.json");
        std::fs::write(path.with_extension("new"), text).expect("the configuration is written");
        std::fs::rename(path.with_extension("new"), path)
            .expect("the configuration is put in its place");
    }

    /// Starts a call controller. Returns its process id.
    pub fn start(&mut self, env: &[(&str, &str)]) -> u32 {
        let deploy =
            std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = deploy.lines().find(|l| l.starts_with("run = \"")).expect("the deploy file has run");
        let run = line.split('"').nth(1).expect("the command").to_owned();
        let log =
            File::create(self.folder.join(format!("log-{}", self.children.len()))).expect("the log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&run).current_dir(&self.root).env_clear();
        command.env("PATH", "/usr/bin:/bin").env("TMPDIR", self.folder.join("tmp"));
        command.env("ROUTER_NAME", "n0").env("ROUTER_LISTEN", self.listen.to_string());
        command.env("ROUTER_CONFIG", self.folder.join("config.json"));
        command.envs(env.iter().copied());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let descriptor = self.socket.as_ref().map(|s| s.as_raw_fd());
        if descriptor.is_some() {
            command.env("ROUTER_SOCKET_FD", "7");
        }
        // The call controller ends with the case, also where the case itself is killed. Only system calls are made
        // between fork and exec.
        unsafe {
            command.pre_exec(move || {
                const PR_SET_PDEATHSIG: i32 = 1;
                if prctl(PR_SET_PDEATHSIG, SIGKILL as u64) != 0 {
                    return Err(std::io::Error::last_os_error());
                }
                match descriptor.map(|d| dup2(d, 7)) {
                    None | Some(7) => Ok(()),
                    Some(_) => Err(std::io::Error::last_os_error()),
                }
            });
        }
        let child = command.spawn().expect("the call controller starts");
        let pid = child.id();
        self.record.write("platform", &format!("started process {} of the case", self.children.len()));
        STARTED.lock().unwrap().push(pid as i32);
        self.children.push(child);
        pid
    }

    /// Waits until the call controller passes the front's test.
    pub fn ready(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if let Some(client) = Client::connect("front", self.listen, &self.record) {
                if client.test(ms(500)) {
                    client.conn.close();
                    return true;
                }
                client.conn.close();
            }
            thread::sleep(ms(100));
        }
        false
    }

    pub fn signal(&self, pid: u32, signal: i32) {
        self.record.write("platform", &format!("signal {signal}"));
        unsafe { kill(pid as i32, signal) };
    }

    pub fn kill(&mut self, pid: u32) {
        if let Some(child) = self.children.iter_mut().find(|c| c.id() == pid) {
            self.record.write("platform", "kill");
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self, pid: u32) -> bool {
        let child = self.children.iter_mut().find(|c| c.id() == pid);
        child.is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        for n in 0..self.children.len() {
            if let Ok(log) = std::fs::read_to_string(self.folder.join(format!("log-{n}"))) {
                log.lines().for_each(|l| self.record.write(&format!("log {n}"), l));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The processes that a case has started.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends a case that takes too long, and the processes that it started.
pub fn start_watchdog(record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(ms(115_000));
        record.write("case", "could not run: it took too long");
        for pid in STARTED.lock().unwrap().iter() {
            unsafe { kill(*pid, SIGKILL) };
        }
        std::process::exit(2);
    });
}

/// Watches whether the machine lets the stand-ins run.
pub struct Pace {
    longest: Arc<AtomicU64>,
}

impl Pace {
    pub fn start(record: &Record) -> Self {
        let longest = Arc::new(AtomicU64::new(0));
        let (own, record) = (Arc::clone(&longest), record.clone());
        thread::spawn(move || loop {
            let before = Instant::now();
            thread::sleep(ms(10));
            let late = before.elapsed().as_millis().saturating_sub(10) as u64;
            if late > own.fetch_max(late, Ordering::SeqCst) && late > 50 {
                record.write("case", &format!("the stand-ins were stopped for {late} ms"));
            }
        });
        Pace { longest }
    }

    /// Whether the stand-ins were stopped for longer than the cases allow for.
    pub fn is_uneven(&self) -> bool {
        self.longest.load(Ordering::SeqCst) > 300
    }
}

/// A flag that a case sets for the behaviour of its exchanges.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self, value: bool) {
        self.0.store(value, Ordering::SeqCst);
    }

    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
