//! Test harness: the daemon as a child process, and scripted peers that talk to it over loopback. The system
//! chooses every port, so that tests can run at the same time.
#![allow(dead_code)] // each test binary uses only some of these items

pub mod site;
mod socket_table;
pub mod trials;

use mio::Poll;
use slateshed::{DialledNumber, ExchangeNumber, Origin};
use slateshed_node::config::{Config, Limits, WireConfig};
use slateshed_node::engine::{CallInfo, Engine, IncomingCall};
use slateshed_node::log::Log;
use slateshed_node::net::lifecycle::Lifecycle;
use slateshed_node::net::{Context, TimerEvent};
use slateshed_node::timers::TimerQueue;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Timeout of each wait for something that a test expects. It is far longer than any answer takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// One exchange in the list of the journal service, as JSON: its id, its number (`cell`), state and address.
pub fn server_entry(id: &str, cell: u32, state: &str, addr: SocketAddr) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"east","kind":"std","cell":{cell},"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

/// The own exchange and exchange 1, both in service at an address.
pub fn two_servers(addr: SocketAddr) -> [String; 2] {
    [server_entry("s-own", 0, "in_service", addr), server_entry("s-one", 1, "in_service", addr)]
}

/// An operator's file with a SIP front over both transports, whose numbers that begin with 21 belong to exchange 1.
pub const SIP_FRONT_FILE: &str = "[sip]\nudp = \"127.0.0.1:0\"\ntcp = \"127.0.0.1:0\"\n\
     [[sip.number]]\nprefix = \"21\"\nexchange = 1\nclass = \"voice\"\n";

/// One event of the journal service as a JSON line. `full`: it has the whole list, not only the changes.
pub fn journal_event(pos: u32, full: bool, servers: &[String]) -> String {
    let servers = servers.join(",");
    format!(r#"{{"pos":{pos},"hosts":{{"version":{pos},"full":{full},"servers":[{servers}]}}}}"#)
}

/// Settings for three call controllers and one class of calls. A refusal asks the caller to wait 2 s at most
/// before the next attempt.
pub const SETTINGS: &str = r#"{"allowed":{"dial_timeout_ms":500.0,"max_retry_after_ms":2000.0,"retry_after":true,"try_limit":5},"discovery":"pushed","over_share_worth":0.1,"position":0,"report":{"fields":["spare","total"],"how":"piggyback"},"rules":{"cold_from":0.35,"cold_ms":14000.0,"drain_grace_ms":500.0,"fall_ms":1000.0,"fall_multiple":4.0},"services":[{"deadline_ms":9000.0,"group":"all","late_worth":0.25,"name":"voice","points":1.0,"promise_ms":1500.0,"semantics":"pure","window_ms":5000.0}],"siblings":3,"specifics":{"allowed_pools":[],"clear_wait_ms":500.0,"here":0,"layout":"meshed","mean_hold_ms":[11100.0],"resend_ms":0.0},"tenants":[],"tick_ms":5.0,"zones":["east"]}"#;

/// The daemon's configuration as JSON. Its limit of descriptors allows one connection to each exchange;
/// [`with_four_connections`] raises it.
pub fn config_json(journal: SocketAddr, servers: &[String]) -> String {
    let known = journal_event(1, true, servers);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":32,"sockets":127}},"journal":"{journal}","known":{{"pos":1,"entries":[{known}]}},"settings":{SETTINGS}}}"#
    )
}

/// Raises the limit of descriptors so that the daemon opens four connections to each exchange.
pub fn with_four_connections(config: &str) -> String {
    config.replace(r#""sockets":127"#, r#""sockets":1024"#)
}

/// Adds a listening address for operators to the configuration.
pub fn with_admin_addr(config: &str) -> String {
    config.replacen('{', r#"{"admin_addr":"127.0.0.1:0","#, 1)
}

/// A call to exchange 1, as a front passes it to the engine.
pub fn incoming_call(patience: Duration) -> IncomingCall {
    let owned = |text: &str| text.to_owned();
    let (id, class, dialled_text, description) = (owned("id"), owned("voice"), owned("7"), owned("v=0"));
    IncomingCall {
        info: Rc::new(CallInfo { id, class, dialled_text, description, caller_host: None }),
        class: 0,
        dialled: DialledNumber(7),
        patience,
        destination: ExchangeNumber(1),
        circuits: 1,
        route_hint: None,
        origin: Origin::Subscriber,
    }
}

/// Supplies the [`Context`] that a network module needs, so that a test can call the module without the event
/// loop.
pub struct ContextFixture {
    pub poll: Poll,
    pub engine: Engine,
    pub limits: Limits,
    timers: TimerQueue<TimerEvent>,
    log: Log,
    wire: WireConfig,
}

impl ContextFixture {
    /// An engine with a configuration that lists no exchanges.
    pub fn new() -> Self {
        let unused_addr = ([127, 0, 0, 1], 1).into();
        let config = Config::parse(&config_json(unused_addr, &[])).expect("the configuration is valid");
        ContextFixture {
            poll: Poll::new().expect("the poll is created"),
            engine: Engine::new(config.settings, 7).expect("the settings are valid"),
            limits: config.limits,
            timers: TimerQueue::default(),
            log: Log::new("n0"),
            wire: config.wire,
        }
    }

    /// A context at a fixed time, with a dial timeout of 500 ms.
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

/// The daemon as a child process. It is killed when this value is dropped.
pub struct Daemon {
    child: Child,
    log_receiver: Receiver<String>,
    /// The lines of the log that have been read so far.
    pub log_lines: Vec<String>,
    dir: PathBuf,
}

impl Daemon {
    /// Starts the daemon with a configuration and an optional operator's file.
    pub fn start(config: &str, operator_file: Option<&str>) -> Self {
        Self::spawn_without_stdin(Command::new(env!("CARGO_BIN_EXE_slateshed")), config, operator_file)
    }

    /// Starts the daemon with a limit on its open file descriptors.
    pub fn start_with_descriptor_limit(config: &str, descriptors: u32) -> Self {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\"")]);
        command.arg(env!("CARGO_BIN_EXE_slateshed"));
        Self::spawn_without_stdin(command, config, None)
    }

    /// Starts the daemon with an inherited listening socket for clients, as the platform does.
    pub fn start_with_socket(config: &str, socket: &TcpListener) -> Self {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec 7<&0 </dev/null; export ROUTER_SOCKET_FD=7; exec \"$0\""]);
        command.arg(env!("CARGO_BIN_EXE_slateshed"));
        command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().expect("the socket is cloned"))));
        Self::spawn_daemon(command, config, None)
    }

    fn spawn_without_stdin(mut command: Command, config: &str, operator_file: Option<&str>) -> Self {
        command.stdin(Stdio::null());
        Self::spawn_daemon(command, config, operator_file)
    }

    fn spawn_daemon(mut command: Command, config: &str, operator_file: Option<&str>) -> Self {
        static NEXT_SEQUENCE_NUMBER: AtomicU32 = AtomicU32::new(0);
        let sequence_number = NEXT_SEQUENCE_NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("slateshed-{}-{sequence_number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the temporary folder is created");
        command.env_clear().stderr(Stdio::piped());
        std::fs::write(dir.join("config.json"), config).expect("the configuration is written");
        command.env("ROUTER_CONFIG", dir.join("config.json"));
        // Processes that replace each other share a pid file in this folder. The file is named after the listening
        // address, so no other test uses it.
        command.env("TMPDIR", std::env::temp_dir());
        if let Some(contents) = operator_file {
            std::fs::write(dir.join("operator.toml"), contents).expect("the operator's file is written");
            command.env("SLATESHED_OPERATOR", dir.join("operator.toml"));
        }
        let mut child = command.spawn().expect("the daemon starts");
        let (line_sender, log_receiver) = channel();
        let stderr = BufReader::new(child.stderr.take().expect("stderr is piped"));
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|l| line_sender.send(l))
        });
        Daemon { child, log_receiver, log_lines: Vec::new(), dir }
    }

    /// Waits for a line of the log that contains `text`. Returns the rest of that line.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        loop {
            let found = self
                .log_lines
                .iter()
                .find_map(|line| line.split_once(text).map(|(_, rest)| rest.to_owned()));
            if let Some(rest) = found {
                return rest;
            }
            let line = self.log_receiver.recv_timeout(WAIT_TIMEOUT);
            self.log_lines.push(
                line.unwrap_or_else(|_| panic!("no log line contains '{text}': {:#?}", self.log_lines)),
            );
        }
    }

    /// The address on which the daemon listens for clients.
    pub fn client_addr(&mut self) -> SocketAddr {
        let addr = self.wait_for_log("n0 started: listening on ");
        addr.parse().expect("the logged address is valid")
    }

    /// Connects as a client, once the daemon listens.
    pub fn connect_client(&mut self) -> LinePeer {
        let addr = self.client_addr();
        LinePeer::new(TcpStream::connect(addr).expect("the daemon listens"))
    }

    /// Connects as a client on a host with a loopback address of its own, once the daemon listens.
    pub fn connect_client_from(&mut self, host: Ipv4Addr) -> LinePeer {
        let addr = self.client_addr();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("the socket is created");
        socket.bind(&SocketAddr::from((host, 0)).into()).expect("the host's address is bound");
        socket.connect(&addr.into()).expect("the daemon listens");
        LinePeer::new(socket.into())
    }

    /// Connects as an operator, once the daemon listens.
    pub fn connect_operator(&mut self) -> LinePeer {
        let addr: SocketAddr = self
            .wait_for_log("operators-started: listening on ")
            .parse()
            .expect("the logged address is valid");
        LinePeer::new(TcpStream::connect(addr).expect("the daemon listens"))
    }

    /// Sends one operator's request on a connection of its own. Returns all lines of the answer.
    pub fn operator_request(&mut self, request: &str) -> Vec<String> {
        let mut connection = self.connect_operator();
        connection.send(request);
        std::iter::repeat_with(|| connection.receive()).take_while(|line| !line.is_empty()).collect()
    }

    /// The address on which the SIP front listens for a transport, `udp` or `tcp`.
    pub fn sip_addr(&mut self, protocol: &str) -> SocketAddr {
        let addresses = self.wait_for_log("sip-started: listening on ");
        let address = addresses
            .split(", ")
            .find_map(|address| address.strip_prefix(protocol))
            .expect("the SIP front has this transport");
        address.trim().parse().expect("the logged address is valid")
    }

    /// Sends SIGTERM, which asks for a graceful shutdown.
    pub fn send_sigterm(&mut self) {
        self.send_signal("-TERM");
    }

    /// Overwrites the configuration file and sends SIGHUP, on which the daemon reads it.
    pub fn reload_config(&mut self, config: &str) {
        std::fs::write(self.dir.join("config.json"), config).expect("the configuration is written");
        self.send_signal("-HUP");
    }

    /// Stops the process for as long as a function runs, so that what peers do meanwhile arrives all at once: it goes on
    /// once the system has delivered all that they have sent, and the ends of their connections.
    pub fn while_paused<T>(&mut self, run: impl FnOnce() -> T) -> T {
        let mut ports = vec![self.client_addr().port()];
        if self.log_lines.iter().any(|line| line.contains("sip-started") && line.contains("tcp")) {
            ports.push(self.sip_addr("tcp").port());
        }
        self.send_signal("-STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&path).is_ok_and(|stat| stat.contains(") T ")) {
            std::thread::sleep(Duration::from_millis(1));
        }
        let result = run();
        socket_table::wait_until_delivered(&ports);
        self.send_signal("-CONT");
        result
    }

    fn send_signal(&mut self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the process to exit. Returns whether its exit status is 0.
    pub fn exits_successfully(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("the process status is read") {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the daemon is still running")
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process has ended");
    }

    /// The most memory that the process has taken at a time.
    pub fn peak_memory_bytes(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process is running");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("the peak is listed");
        let kilobytes = line.split_whitespace().next().and_then(|n| n.parse::<usize>().ok());
        kilobytes.expect("the peak is a number") * 1024
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process status is read").is_none()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.log_lines.extend(self.log_receiver.try_iter());
            eprintln!("{:#?}", self.log_lines);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A listener on a free port, and its address.
pub fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let addr = listener.local_addr().expect("the socket has an address");
    (listener, addr)
}

/// A scripted peer that exchanges lines with the daemon over TCP: a client, an exchange, the journal service or an
/// operator.
pub struct LinePeer {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl LinePeer {
    /// A peer on a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
        let reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
        LinePeer { stream, reader }
    }

    /// Waits for the daemon to connect.
    pub fn accept(listener: &TcpListener) -> Self {
        Self::accept_within(listener, WAIT_TIMEOUT).expect("the daemon connects")
    }

    /// Waits for the daemon to connect, for a time.
    pub fn accept_within(listener: &TcpListener, timeout: Duration) -> Option<Self> {
        listener.set_nonblocking(true).expect("the listener is set to non-blocking");
        let start = Instant::now();
        loop {
            match listener.accept() {
                Ok((stream, _)) => return Some(LinePeer::new(stream)),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => panic!("no connection is accepted: {error}"),
            }
            if start.elapsed() >= timeout {
                return None;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// The stream, for a peer of another protocol.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.stream.shutdown(Shutdown::Both).expect("the connection is closed");
    }

    /// Sends a line.
    pub fn send(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).expect("the line is written");
    }

    /// Sends bytes as they are, without an end of line.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        // The daemon may close the connection before all bytes are written.
        let _ = self.stream.write_all(bytes);
    }

    /// Receives the next line; an empty one if the daemon has closed or reset the connection.
    pub fn receive(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line.trim_end().to_owned(),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => String::new(),
            Err(error) => panic!("no line received: {error}"),
        }
    }

    /// Whether no line is received within a time.
    pub fn receives_nothing_within(&mut self, timeout: Duration) -> bool {
        self.receive_within(timeout).is_none()
    }

    /// Receives the next line, if one arrives within a time; an empty one at the end of the stream.
    pub fn receive_within(&mut self, timeout: Duration) -> Option<String> {
        self.stream.set_read_timeout(Some(timeout)).expect("the read timeout is set");
        let mut line = String::new();
        let received = self.reader.read_line(&mut line).is_ok();
        self.stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
        received.then(|| line.trim_end().to_owned())
    }

    /// Sends ECHO, the health check of the clients' wire. Returns whether the daemon answers that it is ready.
    pub fn is_ready(&mut self) -> bool {
        self.send(r#"{"verb":"ECHO","tag":"e","opts":{},"rc":0}"#);
        let received = self.receive();
        assert!(received.contains("ECHOED"), "not an answer to ECHO: {received}");
        received.contains(r#""rc":1"#)
    }

    /// Sends a set-up to an exchange. `left_ms`: how long the caller still waits for the answer.
    pub fn send_start(&mut self, tag: &str, left_ms: u32, dest: u32) {
        self.send(&format!(
            r#"{{"verb":"START","tag":"{tag}","opts":{{"class":"voice","left":"{left_ms}","key":"{tag}","extras":"dest:{dest};width:1;via:-1"}},"blob":"v=0\r\nm=audio \"{tag}\"\r\n"}}"#
        ));
    }

    /// Receives a set-up, which has to be the next line. Returns its tag.
    pub fn receive_start(&mut self) -> String {
        let line = self.receive();
        assert!(line.contains(r#""verb":"START""#), "not a START: {line}");
        let tag = line.split(r#""tag":""#).nth(1).expect("the line has a tag");
        tag[..16].to_owned()
    }
}

/// Replaces the times in a line, which differ from run to run, so that a snapshot can hold it.
pub fn mask_times(line: &str) -> String {
    let mut line = line.to_owned();
    for field in [r#""left":""#, r#""wait":""#] {
        if let Some(start) = line.find(field).map(|start| start + field.len()) {
            let end = start + line[start..].find('"').expect("the value ends with a quote");
            line.replace_range(start..end, "…");
        }
    }
    line
}

/// A stub journal service. It accepts connections, and the test sends the events on them.
pub struct StubJournal {
    pub addr: SocketAddr,
    listener: TcpListener,
}

impl StubJournal {
    /// Listens on a free port.
    pub fn new() -> Self {
        let (listener, addr) = bind_listener();
        StubJournal { addr, listener }
    }

    /// Waits for the daemon to connect.
    pub fn accept(&self) -> LinePeer {
        LinePeer::accept(&self.listener)
    }

    /// Waits for the daemon to connect, for a time.
    pub fn accept_within(&self, timeout: Duration) -> Option<LinePeer> {
        LinePeer::accept_within(&self.listener, timeout)
    }
}

enum SipSocket {
    Udp(UdpSocket, SocketAddr),
    Tcp(TcpStream, Vec<u8>),
}

/// A scripted SIP peer, over either transport. [`Self::expect_message`] and [`Self::receive_new_within`] skip
/// retransmissions, since a slow machine may cause some.
pub struct SipPeer {
    socket: SipSocket,
    received: Vec<String>,
}

impl SipPeer {
    /// A UDP peer on a free port that sends to an address.
    pub fn udp(to: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port is bound");
        SipPeer { socket: SipSocket::Udp(socket, to), received: Vec::new() }
    }

    /// A TCP peer on a connected stream.
    pub fn tcp(stream: TcpStream) -> Self {
        SipPeer { socket: SipSocket::Tcp(stream, Vec::new()), received: Vec::new() }
    }

    /// The peer's own address.
    pub fn local_addr(&self) -> SocketAddr {
        match &self.socket {
            SipSocket::Udp(socket, _) => socket.local_addr(),
            SipSocket::Tcp(stream, _) => stream.local_addr(),
        }
        .expect("the socket has an address")
    }

    fn transport(&self) -> &str {
        match &self.socket {
            SipSocket::Udp(..) => "UDP",
            SipSocket::Tcp(..) => "TCP",
        }
    }

    /// Sends a message.
    pub fn send(&mut self, message: &str) {
        self.send_bytes(message.as_bytes());
    }

    /// Sends bytes as they are.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        match &mut self.socket {
            SipSocket::Udp(socket, to) => socket.send_to(bytes, *to).map(drop),
            SipSocket::Tcp(stream, _) => stream.write_all(bytes),
        }
        .expect("the message is sent");
    }

    /// Waits until the daemon closes or resets the stream. Returns false if the daemon sends bytes instead, if it does
    /// nothing within the timeout, or if this is a UDP peer.
    pub fn wait_for_close(&mut self) -> bool {
        let SipSocket::Tcp(stream, _) = &mut self.socket else {
            return false;
        };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
        match stream.read(&mut [0; 64]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Receives the next message, if one arrives within a time. A UDP peer then sends its next messages to the source
    /// address of the datagram.
    pub fn receive_within(&mut self, timeout: Duration) -> Option<String> {
        let mut buffer = vec![0; 65_536];
        match &mut self.socket {
            SipSocket::Udp(socket, to) => {
                socket.set_read_timeout(Some(timeout)).expect("the read timeout is set");
                let (length, from) = socket.recv_from(&mut buffer).ok()?;
                *to = from;
                Some(String::from_utf8(buffer[..length].to_vec()).expect("the message is UTF-8"))
            }
            SipSocket::Tcp(stream, input) => loop {
                if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) {
                    let head = String::from_utf8(input[..end].to_vec()).expect("the message is UTF-8");
                    let length = sip_header(&head, "Content-Length")
                        .parse::<usize>()
                        .expect("Content-Length is a number");
                    if input.len() >= end + length {
                        return Some(
                            String::from_utf8(input.drain(..end + length).collect())
                                .expect("the message is UTF-8"),
                        );
                    }
                }
                stream.set_read_timeout(Some(timeout)).expect("the read timeout is set");
                match stream.read(&mut buffer).ok()? {
                    0 => return None,
                    length => input.extend_from_slice(&buffer[..length]),
                }
            },
        }
    }

    /// Receives the next message that is not a retransmission, if one arrives. The timeout begins anew with each
    /// retransmission that is skipped.
    pub fn receive_new_within(&mut self, timeout: Duration) -> Option<String> {
        loop {
            let message = self.receive_within(timeout)?;
            if !self.received.contains(&message) {
                self.received.push(message.clone());
                return Some(message);
            }
        }
    }

    /// Receives the next message that is not a retransmission; it has to begin with `prefix`.
    pub fn expect_message(&mut self, prefix: &str) -> String {
        let message = self
            .receive_new_within(WAIT_TIMEOUT)
            .unwrap_or_else(|| panic!("no message received, expected {prefix}"));
        assert!(message.starts_with(prefix), "expected {prefix}, received:\n{message}");
        message
    }

    /// Waits until a message is received again, and ignores all others.
    pub fn expect_retransmission(&mut self, message: &str) {
        while self.receive_within(WAIT_TIMEOUT).expect("a retransmission is received") != message {}
    }
}

/// The value of a header field; empty if the message has no such field.
pub fn sip_header<'a>(message: &'a str, name: &str) -> &'a str {
    let mut lines = message.lines().take_while(|line| !line.is_empty());
    let field = lines.find_map(|line| line.split_once(": ").filter(|(key, _)| *key == name));
    field.map_or("", |(_, value)| value)
}

/// A peer's response to a request of the daemon. It sets the To tag unless the request has one or the status is 100.
pub fn sip_response(request: &str, status: &str, contact: SocketAddr, body: &str) -> String {
    let to = match sip_header(request, "To") {
        to if to.contains(";tag=") || status.starts_with("100") => to.to_owned(),
        to => format!("{to};tag=callee"),
    };
    format!(
        "SIP/2.0 {status}\r\nVia: {}\r\nFrom: {}\r\nTo: {to}\r\nCall-ID: {}\r\nCSeq: {}\r\n\
         Contact: <sip:{contact}>\r\nContent-Length: {}\r\n\r\n{body}",
        sip_header(request, "Via"),
        sip_header(request, "From"),
        sip_header(request, "Call-ID"),
        sip_header(request, "CSeq"),
        body.len()
    )
}

/// A caller's request. `to_tag`: the parameter that the daemon added to To, or empty before there is a dialog.
pub fn sip_request(
    method: &str,
    peer: &SipPeer,
    call_number: u32,
    to_tag: &str,
    extra_headers: &str,
    body: &str,
) -> String {
    let (own_addr, transport) = (peer.local_addr(), peer.transport());
    // CANCEL and the ACK of a refusal have the same branch as their INVITE.
    let branch = if method == "BYE" { "bye" } else { "invite" };
    let cseq = if method == "BYE" { 2 } else { 1 };
    format!(
        "{method} sip:2101@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/{transport} {own_addr};branch=z9hG4bK{branch}{call_number}\r\n\
         Max-Forwards: 70\r\nFrom: <sip:drill@127.0.0.1>;tag=caller{call_number}\r\nTo: <sip:2101@127.0.0.1>{to_tag}\r\n\
         Call-ID: call-{call_number}\r\nCSeq: {cseq} {method}\r\nContact: <sip:drill@{own_addr}>\r\n{extra_headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The tag parameter that the daemon added to To, with the `;tag=` before it.
pub fn to_tag(response: &str) -> String {
    let to = sip_header(response, "To");
    to[to.find(";tag=").expect("To has a tag")..].to_owned()
}

/// The exchange answers a set-up, and the client receives the answer.
pub fn answer_call(exchange: &mut LinePeer, client: &mut LinePeer, tag: &str) {
    exchange.send(&format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"b"}}"#));
    let received = client.receive();
    assert!(
        received.contains("STARTED") && received.contains(tag),
        "not the answer to {tag}: {received}"
    );
}

/// The client sends a set-up to exchange 1, and the exchange answers it.
pub fn establish_call(exchange: &mut LinePeer, client: &mut LinePeer, tag: &str) {
    client.send_start(tag, 3000, 1);
    assert_eq!(exchange.receive_start(), tag);
    answer_call(exchange, client, tag);
}
