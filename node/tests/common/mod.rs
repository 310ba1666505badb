//! The program as a process, and peers that follow a script. Every port is the system's choice.
#![allow(dead_code)] // each test binary uses a part

use mio::Poll;
use slateshed::{DialledNumber, ExchangeNumber, Origin};
use slateshed_node::config::{Config, Limits, WireConfig};
use slateshed_node::engine::{CallInfo, Engine, IncomingCall};
use slateshed_node::log::Log;
use slateshed_node::net::lifecycle::Lifecycle;
use slateshed_node::net::{Context, TimerEvent};
use slateshed_node::timers::TimerQueue;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Far beyond what any answer takes.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A line of the list: id, number, state and address.
pub fn server(id: &str, cell: u32, state: &str, addr: SocketAddr) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"east","kind":"std","cell":{cell},"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

pub fn event(pos: u32, full: bool, servers: &[String]) -> String {
    let servers = servers.join(",");
    format!(r#"{{"pos":{pos},"hosts":{{"version":{pos},"full":{full},"servers":[{servers}]}}}}"#)
}

/// Three exchanges, one class, callers who are told to stay away 2 s at most.
pub const SETTINGS: &str = r#"{"allowed":{"dial_timeout_ms":500.0,"max_retry_after_ms":2000.0,"retry_after":true,"try_limit":5},"discovery":"pushed","over_share_worth":0.1,"position":0,"report":{"fields":["spare","total"],"how":"piggyback"},"rules":{"cold_from":0.35,"cold_ms":14000.0,"drain_grace_ms":500.0,"fall_ms":1000.0,"fall_multiple":4.0},"services":[{"deadline_ms":9000.0,"group":"all","late_worth":0.25,"name":"voice","points":1.0,"promise_ms":1500.0,"semantics":"pure","window_ms":5000.0}],"siblings":3,"specifics":{"allowed_pools":[],"clear_wait_ms":500.0,"here":0,"layout":"meshed","mean_hold_ms":[11100.0],"resend_ms":0.0},"tenants":[],"tick_ms":5.0,"zones":["east"]}"#;

/// The configuration. Its descriptors leave one connection to each exchange; see `wide` for four.
pub fn config(journal: SocketAddr, servers: &[String]) -> String {
    let known = event(1, true, servers);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":32,"sockets":127}},"journal":"{journal}","known":{{"pos":1,"entries":[{known}]}},"settings":{SETTINGS}}}"#
    )
}

/// A configuration with descriptors for four connections to each exchange.
pub fn wide(config: &str) -> String {
    config.replace(r#""sockets":127"#, r#""sockets":1024"#)
}

/// A configuration with an address for operators.
pub fn operated(config: &str) -> String {
    config.replacen('{', r#"{"admin_addr":"127.0.0.1:0","#, 1)
}

/// A call to exchange 1, as a front hands it over.
pub fn incoming(patience: Duration) -> IncomingCall {
    let word = |w: &str| w.to_owned();
    let (id, class, key, description) = (word("id"), word("voice"), word("7"), word("v=0"));
    IncomingCall {
        info: Rc::new(CallInfo { id, class, key, description }),
        class: 0,
        dialled: DialledNumber(7),
        patience,
        destination: ExchangeNumber(1),
        circuits: 1,
        route_hint: None,
        origin: Origin::Subscriber,
    }
}

/// What a peer's module needs, where it is tested without the loop.
pub struct Parts {
    pub poll: Poll,
    pub engine: Engine,
    pub limits: Limits,
    timers: TimerQueue<TimerEvent>,
    log: Log,
    wire: WireConfig,
}

impl Parts {
    pub fn new() -> Self {
        let nowhere = ([127, 0, 0, 1], 1).into();
        let config = Config::parse(&config(nowhere, &[])).expect("a configuration");
        Parts {
            poll: Poll::new().expect("a poll"),
            engine: Engine::new(config.settings, 7).expect("settings make sense"),
            limits: config.limits,
            timers: TimerQueue::default(),
            log: Log::new("n0"),
            wire: config.wire,
        }
    }

    pub fn context(&mut self) -> Context<'_> {
        Context {
            now: Duration::from_secs(1000),
            engine: &mut self.engine,
            timers: &mut self.timers,
            log: &mut self.log,
            wire: &self.wire,
            registry: self.poll.registry(),
            dial_timeout: Duration::from_millis(500),
            lifecycle: Lifecycle::new(Duration::ZERO),
        }
    }
}

/// The program, ended with the test.
pub struct Node {
    child: Child,
    log: Receiver<String>,
    pub seen: Vec<String>,
    dir: PathBuf,
}

impl Node {
    /// Starts the program on a configuration and, if any, an operator's file.
    pub fn start(config: &str, operator: Option<&str>) -> Self {
        Self::start_with(Command::new(env!("CARGO_BIN_EXE_slateshed")), config, operator)
    }

    /// The same with so many file descriptors at most.
    pub fn start_limited(config: &str, descriptors: u32) -> Self {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\"")]);
        command.arg(env!("CARGO_BIN_EXE_slateshed"));
        Self::start_with(command, config, None)
    }

    /// The same with the clients' listening socket handed down, as the platform does.
    pub fn start_on(config: &str, socket: &TcpListener) -> Self {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec 7<&0 </dev/null; export ROUTER_SOCKET_FD=7; exec \"$0\""]);
        command.arg(env!("CARGO_BIN_EXE_slateshed"));
        command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().expect("a copy"))));
        Self::start_as(command, config, None)
    }

    fn start_with(mut command: Command, config: &str, operator: Option<&str>) -> Self {
        command.stdin(Stdio::null());
        Self::start_as(command, config, operator)
    }

    fn start_as(mut command: Command, config: &str, operator: Option<&str>) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("slateshed-{}-{next}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        command.env_clear().stderr(Stdio::piped());
        std::fs::write(dir.join("config.json"), config).expect("a file");
        command.env("ROUTER_CONFIG", dir.join("config.json"));
        // Shared by the processes that replace each other, and by no other test's.
        command.env("TMPDIR", std::env::temp_dir());
        if let Some(text) = operator {
            std::fs::write(dir.join("operator.toml"), text).expect("a file");
            command.env("SLATESHED_OPERATOR", dir.join("operator.toml"));
        }
        let mut child = command.spawn().expect("the program starts");
        let (lines, log) = channel();
        let errors = BufReader::new(child.stderr.take().expect("a pipe"));
        std::thread::spawn(move || errors.lines().map_while(Result::ok).try_for_each(|l| lines.send(l)));
        Node { child, log, seen: Vec::new(), dir }
    }

    /// Waits for a line of the log that holds the words; the text behind them.
    pub fn logged(&mut self, words: &str) -> String {
        loop {
            let found =
                self.seen.iter().find_map(|l| l.split_once(words).map(|(_, rest)| rest.to_owned()));
            if let Some(rest) = found {
                return rest;
            }
            let line = self.log.recv_timeout(PATIENCE);
            self.seen.push(line.unwrap_or_else(|_| panic!("no '{words}' in {:#?}", self.seen)));
        }
    }

    pub fn client(&mut self) -> Lines {
        let addr: SocketAddr = self.logged("n0 started: listening on ").parse().expect("an address");
        Lines::new(TcpStream::connect(addr).expect("the program listens"))
    }

    /// A connection to where operators call.
    pub fn operator(&mut self) -> Lines {
        let addr: SocketAddr =
            self.logged("operators-started: listening on ").parse().expect("an address");
        Lines::new(TcpStream::connect(addr).expect("the program listens"))
    }

    /// What an operator is answered.
    pub fn ask(&mut self, call: &str) -> Vec<String> {
        let mut operator = self.operator();
        operator.say(call);
        std::iter::repeat_with(|| operator.hear()).take_while(|l| !l.is_empty()).collect()
    }

    /// The address of a transport of the SIP front.
    pub fn sip(&mut self, protocol: &str) -> SocketAddr {
        let on = self.logged("sip-started: listening on ");
        let on = on.split(", ").find_map(|a| a.strip_prefix(protocol)).expect("that transport");
        on.trim().parse().expect("an address")
    }

    pub fn terminate(&mut self) {
        self.signal("-TERM");
    }

    /// Puts another configuration in the place of the old one and has it read.
    pub fn reload(&mut self, config: &str) {
        std::fs::write(self.dir.join("config.json"), config).expect("a file");
        self.signal("-HUP");
    }

    fn signal(&mut self, signal: &str) {
        let done = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(done.expect("kill runs").success());
    }

    /// Waits for the end; whether the exit status was 0.
    pub fn ended_well(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("still running")
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.seen.extend(self.log.try_iter());
            eprintln!("{:#?}", self.seen);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// A peer that speaks lines.
pub struct Lines {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Lines {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a copy"));
        Lines { stream, reader }
    }

    pub fn accept(listener: &TcpListener) -> Self {
        Lines::new(listener.accept().expect("a connection").0)
    }

    pub fn say(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).expect("the peer reads");
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        // The program may close the connection before all is written.
        let _ = self.stream.write_all(bytes);
    }

    /// The next line; empty at the end of the stream.
    pub fn hear(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line.trim_end().to_owned(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => String::new(),
            Err(e) => panic!("nothing heard: {e}"),
        }
    }

    /// Whether nothing comes for a while.
    pub fn silent(&mut self, time: Duration) -> bool {
        self.within(time).is_none()
    }

    /// The next line, if one comes within a time.
    pub fn within(&mut self, time: Duration) -> Option<String> {
        self.stream.set_read_timeout(Some(time)).expect("a time-out");
        let mut line = String::new();
        let heard = self.reader.read_line(&mut line).is_ok();
        self.stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        heard.then(|| line.trim_end().to_owned())
    }

    /// Whether a test is passed.
    pub fn test(&mut self) -> bool {
        self.say(r#"{"verb":"ECHO","tag":"e","opts":{},"rc":0}"#);
        let heard = self.hear();
        assert!(heard.contains("ECHOED"), "{heard}");
        heard.contains(r#""rc":1"#)
    }

    pub fn start(&mut self, tag: &str, left: u32, dest: u32) {
        self.say(&format!(
            r#"{{"verb":"START","tag":"{tag}","opts":{{"class":"voice","left":"{left}","key":"{tag}","extras":"dest:{dest};width:1;via:-1"}},"blob":"v=0\r\nm=audio \"{tag}\"\r\n"}}"#
        ));
    }

    /// A START that was heard; its tag.
    pub fn hear_start(&mut self) -> String {
        let line = self.hear();
        assert!(line.contains(r#""verb":"START""#), "{line}");
        let tag = line.split(r#""tag":""#).nth(1).expect("a tag");
        tag[..16].to_owned()
    }
}

/// The line with the times that differ from run to run taken out, for snapshots.
pub fn without_times(line: &str) -> String {
    let mut line = line.to_owned();
    for field in [r#""left":""#, r#""wait":""#] {
        if let Some(at) = line.find(field).map(|at| at + field.len()) {
            let end = at + line[at..].find('"').expect("a quote");
            line.replace_range(at..end, "…");
        }
    }
    line
}

/// A journal service that says what it is told to, and its line each 100 ms.
pub struct JournalPeer {
    pub addr: SocketAddr,
    listener: TcpListener,
}

impl JournalPeer {
    pub fn new() -> Self {
        let (listener, addr) = listener();
        JournalPeer { addr, listener }
    }

    pub fn accept(&self) -> Lines {
        Lines::accept(&self.listener)
    }
}

enum SipSocket {
    Udp(UdpSocket, SocketAddr),
    Tcp(TcpStream, Vec<u8>),
}

/// A SIP peer, over either transport. It passes over retransmissions, which a slow machine may bring about,
/// unless they are asked for.
pub struct SipPeer {
    socket: SipSocket,
    heard: Vec<String>,
}

impl SipPeer {
    pub fn udp(to: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        SipPeer { socket: SipSocket::Udp(socket, to), heard: Vec::new() }
    }

    pub fn tcp(stream: TcpStream) -> Self {
        SipPeer { socket: SipSocket::Tcp(stream, Vec::new()), heard: Vec::new() }
    }

    pub fn local(&self) -> SocketAddr {
        match &self.socket {
            SipSocket::Udp(s, _) => s.local_addr(),
            SipSocket::Tcp(s, _) => s.local_addr(),
        }
        .expect("an address")
    }

    fn transport(&self) -> &str {
        match &self.socket {
            SipSocket::Udp(..) => "UDP",
            SipSocket::Tcp(..) => "TCP",
        }
    }

    pub fn say(&mut self, message: &str) {
        self.raw(message.as_bytes());
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        match &mut self.socket {
            SipSocket::Udp(s, to) => s.send_to(bytes, *to).map(drop),
            SipSocket::Tcp(s, _) => s.write_all(bytes),
        }
        .expect("sent");
    }

    /// Waits for the stream to be closed.
    pub fn closed(&mut self) -> bool {
        let SipSocket::Tcp(s, _) = &mut self.socket else {
            return false;
        };
        s.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        match s.read(&mut [0; 64]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// The next message within a time. Datagrams come from whoever sends here first.
    pub fn within(&mut self, time: Duration) -> Option<String> {
        let mut buffer = vec![0; 65_536];
        match &mut self.socket {
            SipSocket::Udp(s, to) => {
                s.set_read_timeout(Some(time)).expect("a time-out");
                let (length, from) = s.recv_from(&mut buffer).ok()?;
                *to = from;
                Some(String::from_utf8(buffer[..length].to_vec()).expect("text"))
            }
            SipSocket::Tcp(s, input) => loop {
                if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) {
                    let head = String::from_utf8(input[..end].to_vec()).expect("text");
                    let length = header(&head, "Content-Length").parse::<usize>().expect("a length");
                    if input.len() >= end + length {
                        return Some(
                            String::from_utf8(input.drain(..end + length).collect()).expect("text"),
                        );
                    }
                }
                s.set_read_timeout(Some(time)).expect("a time-out");
                match s.read(&mut buffer).ok()? {
                    0 => return None,
                    n => input.extend_from_slice(&buffer[..n]),
                }
            },
        }
    }

    /// The next message within a time that is no retransmission.
    pub fn new_within(&mut self, time: Duration) -> Option<String> {
        loop {
            let message = self.within(time)?;
            if !self.heard.contains(&message) {
                self.heard.push(message.clone());
                return Some(message);
            }
        }
    }

    /// The next message, which is new and begins with the words.
    pub fn hear(&mut self, words: &str) -> String {
        let message = self.new_within(PATIENCE).unwrap_or_else(|| panic!("no {words}"));
        assert!(message.starts_with(words), "{words} wanted, but:\n{message}");
        message
    }

    /// Waits for a message to come again.
    pub fn hear_again(&mut self, message: &str) {
        while self.within(PATIENCE).expect("a retransmission") != message {}
    }
}

pub fn header<'a>(message: &'a str, name: &str) -> &'a str {
    let mut lines = message.lines().take_while(|l| !l.is_empty());
    let found = lines.find_map(|l| l.split_once(": ").filter(|(n, _)| *n == name));
    found.map_or("", |(_, value)| value)
}

/// A response of a peer to a request.
pub fn response(request: &str, status: &str, contact: SocketAddr, body: &str) -> String {
    let to = match header(request, "To") {
        to if to.contains(";tag=") || status.starts_with("100") => to.to_owned(),
        to => format!("{to};tag=callee"),
    };
    format!(
        "SIP/2.0 {status}\r\nVia: {}\r\nFrom: {}\r\nTo: {to}\r\nCall-ID: {}\r\nCSeq: {}\r\n\
         Contact: <sip:{contact}>\r\nContent-Length: {}\r\n\r\n{body}",
        header(request, "Via"),
        header(request, "From"),
        header(request, "Call-ID"),
        header(request, "CSeq"),
        body.len()
    )
}

/// A caller's request; `to_tag` once there is a dialog.
pub fn request(method: &str, peer: &SipPeer, n: u32, to_tag: &str, more: &str, body: &str) -> String {
    let (own, transport) = (peer.local(), peer.transport());
    // CANCEL and the ACK of a refusal share the branch of their INVITE.
    let branch = if method == "BYE" { "bye" } else { "invite" };
    let cseq = if method == "BYE" { 2 } else { 1 };
    format!(
        "{method} sip:2101@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/{transport} {own};branch=z9hG4bK{branch}{n}\r\n\
         Max-Forwards: 70\r\nFrom: <sip:drill@127.0.0.1>;tag=caller{n}\r\nTo: <sip:2101@127.0.0.1>{to_tag}\r\n\
         Call-ID: call-{n}\r\nCSeq: {cseq} {method}\r\nContact: <sip:drill@{own}>\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The tag that the program has given To.
pub fn to_tag(response: &str) -> String {
    let to = header(response, "To");
    to[to.find(";tag=").expect("a tag")..].to_owned()
}

/// The exchange answers a set-up, and its caller hears that the call stands.
pub fn answer(link: &mut Lines, client: &mut Lines, tag: &str) {
    link.say(&format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"b"}}"#));
    let heard = client.hear();
    assert!(heard.contains("STARTED") && heard.contains(tag), "{heard}");
}

/// A call stands.
pub fn stand(link: &mut Lines, client: &mut Lines, tag: &str) {
    client.start(tag, 3000, 1);
    assert_eq!(link.hear_start(), tag);
    answer(link, client, tag);
}
