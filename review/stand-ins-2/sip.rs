//! SIP stand-ins over UDP: callers that share a socket, and an exchange that releases each call after a time.

use crate::parts::{ms, Record};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The first line and the header fields of a message.
struct Message {
    first: String,
    fields: Vec<(String, String)>,
}

impl Message {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let head = text.split("\r\n\r\n").next()?;
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let fields = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Some(Message { first, fields })
    }

    fn get(&self, name: &str) -> &str {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
    }

    fn status(&self) -> Option<u16> {
        self.first.strip_prefix("SIP/2.0 ")?.get(..3)?.parse().ok()
    }

    /// The URI in Contact.
    fn contact(&self) -> &str {
        let contact = self.get("Contact");
        contact
            .split_once('<')
            .and_then(|(_, rest)| rest.split_once('>'))
            .map_or(contact, |(uri, _)| uri)
    }

    /// A response to this request. `tag` is added to To if it has none.
    fn response(&self, status: &str, tag: &str, extra: &str, body: &str) -> String {
        let mut to = self.get("To").to_owned();
        if !to.contains(";tag=") {
            to.push_str(&format!(";tag={tag}"));
        }
        let vias: String = self
            .fields
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case("Via"))
            .map(|(_, v)| format!("Via: {v}\r\n"))
            .collect();
        format!(
            "SIP/2.0 {status}\r\n{vias}From: {}\r\nTo: {to}\r\nCall-ID: {}\r\nCSeq: {}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            self.get("From"),
            self.get("Call-ID"),
            self.get("CSeq"),
            body.len()
        )
    }
}

fn request(
    method: &str,
    uri: &str,
    via: &str,
    from: &str,
    to: &str,
    call_id: &str,
    cseq: u32,
) -> String {
    format!(
        "{method} {uri} SIP/2.0\r\nVia: {via}\r\nMax-Forwards: 70\r\nFrom: {from}\r\nTo: {to}\r\nCall-ID: {call_id}\r\n\
         CSeq: {cseq} {method}\r\nContent-Length: 0\r\n\r\n"
    )
}

fn receive(socket: &UdpSocket, name: &str, record: &Record) -> Option<Message> {
    let mut buffer = [0; 65_536];
    let length = socket.recv(&mut buffer).ok()?;
    let message = Message::parse(&buffer[..length])?;
    record.write(name, &format!("got  {} {}", message.first, message.get("Call-ID")));
    Some(message)
}

fn send(socket: &UdpSocket, to: SocketAddr, name: &str, record: &Record, text: &str) {
    let call_id = Message::parse(text.as_bytes()).map_or(String::new(), |m| m.get("Call-ID").to_owned());
    record.write(name, &format!("sent {} {call_id}", text.lines().next().unwrap_or("")));
    let _ = socket.send_to(text.as_bytes(), to);
}

/// What became of the calls, by number.
#[derive(Default)]
pub struct Calls {
    /// Calls that stand or have stood.
    pub stood: HashSet<u64>,
    /// Calls that were refused.
    pub refused: HashSet<u64>,
    /// When the caller was told that its call is over.
    pub released: HashMap<u64, u64>,
}

/// Callers that share a socket.
#[derive(Clone)]
pub struct Callers {
    socket: Arc<UdpSocket>,
    addr: SocketAddr,
    front: SocketAddr,
    record: Record,
    pub calls: Arc<Mutex<Calls>>,
}

impl Callers {
    pub fn start(front: SocketAddr, record: &Record) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").expect("a free port"));
        let addr = socket.local_addr().expect("an address");
        let callers = Callers { socket, addr, front, record: record.clone(), calls: Arc::default() };
        let own = callers.clone();
        thread::spawn(move || loop {
            if let Some(message) = receive(&own.socket, "callers", &own.record) {
                own.handle(&message);
            }
        });
        callers
    }

    pub fn call(&self, n: u64) {
        let body = "v=0\r\n";
        let head = request(
            "INVITE",
            &format!("sip:21{n}@{}", self.front),
            &format!("SIP/2.0/UDP {};branch=z9hG4bKi{n}", self.addr),
            &format!("<sip:caller@{}>;tag=f{n}", self.addr),
            &format!("<sip:21{n}@{}>", self.front),
            &format!("c{n}"),
            1,
        );
        let fields = format!(
            "Contact: <sip:caller@{}>\r\nContent-Type: application/sdp\r\nContent-Length: 5\r\n",
            self.addr
        );
        let text = head.replace("Content-Length: 0\r\n", &fields) + body;
        send(&self.socket, self.front, "callers", &self.record, &text);
    }

    fn handle(&self, message: &Message) {
        // Replies to a BYE come under the Call-ID of the call's INVITE.
        let Some(n) = message.get("Call-ID").strip_prefix('c').and_then(|n| n.parse::<u64>().ok())
        else {
            return;
        };
        let (from, to, call_id) = (message.get("From"), message.get("To"), message.get("Call-ID"));
        let reply = |text: &str| send(&self.socket, self.front, "callers", &self.record, text);
        match message.status() {
            Some(200..=299) if message.get("CSeq").ends_with("INVITE") => {
                self.calls.lock().unwrap().stood.insert(n);
                let via = format!("SIP/2.0/UDP {};branch=z9hG4bKa{n}", self.addr);
                reply(&request("ACK", message.contact(), &via, from, to, call_id, 1));
            }
            Some(300..) if message.get("CSeq").ends_with("INVITE") => {
                self.calls.lock().unwrap().refused.insert(n);
                let via = format!("SIP/2.0/UDP {};branch=z9hG4bKi{n}", self.addr);
                reply(&request("ACK", &format!("sip:21{n}@{}", self.front), &via, from, to, call_id, 1));
            }
            None if message.first.starts_with("BYE ") => {
                let now = self.record.now();
                self.calls.lock().unwrap().released.entry(n).or_insert(now);
                reply(&message.response("200 OK", "", "", ""));
            }
            _ => {}
        }
    }
}

/// One call at the exchange.
struct Held {
    bye: String,
    due: Instant,
    interval: Duration,
    /// The BYE got a final response.
    is_done: bool,
}

/// An exchange that answers each call at once and releases it after `hold`.
#[derive(Clone)]
pub struct SipExchange {
    socket: Arc<UdpSocket>,
    pub addr: SocketAddr,
    front: SocketAddr,
    hold: Duration,
    record: Record,
    calls: Arc<Mutex<HashMap<String, Held>>>,
    /// When it first sent the release of a call, by the number in the called URI.
    pub released: Arc<Mutex<HashMap<u64, u64>>>,
    /// Responses other than 200 to a BYE.
    pub refused: Arc<Mutex<u64>>,
}

impl SipExchange {
    pub fn start(front: SocketAddr, hold: Duration, record: &Record) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").expect("a free port"));
        let addr = socket.local_addr().expect("an address");
        let exchange = SipExchange {
            socket,
            addr,
            front,
            hold,
            record: record.clone(),
            calls: Arc::default(),
            released: Arc::default(),
            refused: Arc::default(),
        };
        let own = exchange.clone();
        thread::spawn(move || loop {
            if let Some(message) = receive(&own.socket, "x1", &own.record) {
                own.handle(&message);
            }
        });
        let own = exchange.clone();
        thread::spawn(move || loop {
            thread::sleep(ms(10));
            own.release_due();
        });
        exchange
    }

    fn handle(&self, message: &Message) {
        let call_id = message.get("Call-ID").to_owned();
        if message.first.starts_with("INVITE ") {
            let mut calls = self.calls.lock().unwrap();
            let number = calls.len();
            let tag = format!("x{call_id}");
            calls.entry(call_id.clone()).or_insert_with(|| {
                let via = format!("SIP/2.0/UDP {};branch=z9hG4bKb{number}", self.addr);
                let from = format!("{};tag={tag}", message.get("To"));
                Held {
                    bye: request(
                        "BYE",
                        message.contact(),
                        &via,
                        &from,
                        message.get("From"),
                        &call_id,
                        1,
                    ),
                    due: Instant::now() + self.hold,
                    interval: ms(500),
                    is_done: false,
                }
            });
            let extra = format!("Contact: <sip:x1@{}>\r\nContent-Type: application/sdp\r\n", self.addr);
            let text = message.response("200 OK", &tag, &extra, "v=0\r\n");
            send(&self.socket, self.front, "x1", &self.record, &text);
        } else if message.first.starts_with("BYE ") {
            self.calls.lock().unwrap().entry(call_id).and_modify(|c| c.is_done = true);
            let text = message.response("200 OK", "", "", "");
            send(&self.socket, self.front, "x1", &self.record, &text);
        } else if message.status().is_some_and(|s| s >= 200) && message.get("CSeq").ends_with("BYE") {
            if message.status() != Some(200) {
                *self.refused.lock().unwrap() += 1;
            }
            self.calls.lock().unwrap().entry(call_id).and_modify(|c| c.is_done = true);
        }
    }

    /// Sends the BYE of each call that is over, and again until it gets a final response.
    fn release_due(&self) {
        let mut due = Vec::new();
        for call in
            self.calls.lock().unwrap().values_mut().filter(|c| !c.is_done && c.due <= Instant::now())
        {
            due.push(call.bye.clone());
            call.due += call.interval;
            call.interval = (call.interval * 2).min(ms(4000));
        }
        for bye in due {
            let called = bye.split("From: <sip:21").nth(1).and_then(|t| t.split('@').next());
            if let Some(n) = called.and_then(|n| n.parse().ok()) {
                let now = self.record.now();
                self.released.lock().unwrap().entry(n).or_insert(now);
            }
            send(&self.socket, self.front, "x1", &self.record, &bye);
        }
    }
}
