//! A caller's connection to the daemon. It records each message that it receives, with the time, and confirms the
//! releases of its calls.

use slateshed_node::net::lines::Message;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A message that the caller received.
#[derive(Clone, Debug)]
pub struct ReceivedMessage {
    /// When the message arrived.
    pub at: Instant,
    /// The message.
    pub message: Message,
}

impl ReceivedMessage {
    /// Whether the message answers a set-up with an established call.
    pub fn is_started(&self) -> bool {
        self.message.verb == "STARTED"
    }
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    /// Held while a message is written. It keeps the caller's own messages and the confirmations of releases, which
    /// another thread writes, from mixing.
    write_lock: Arc<Mutex<()>>,
    received: Arc<Mutex<Vec<ReceivedMessage>>>,
    closed_at: Arc<Mutex<Option<Instant>>>,
}

impl Caller {
    /// Connects, or returns `None` if the connection fails.
    pub fn connect(addr: SocketAddr) -> Option<Self> {
        Self::connect_from(Ipv4Addr::LOCALHOST, addr)
    }

    /// Connects from a loopback address, which stands for a host, or returns `None` if the connection fails.
    pub fn connect_from(host: Ipv4Addr, addr: SocketAddr) -> Option<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.bind(&SocketAddr::from((host, 0)).into()).ok()?;
        socket.connect(&addr.into()).ok()?;
        let stream = TcpStream::from(socket);
        let received = Arc::new(Mutex::new(Vec::<ReceivedMessage>::new()));
        let closed_at = Arc::new(Mutex::new(None));
        let (reader_received, reader) = (Arc::clone(&received), stream.try_clone().ok()?);
        let reader_closed_at = Arc::clone(&closed_at);
        let write_lock = Arc::new(Mutex::new(()));
        let reader_write_lock = Arc::clone(&write_lock);
        std::thread::spawn(move || {
            let mut writer = reader.try_clone().expect("the socket can be duplicated");
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                let message =
                    Message::parse(line.as_bytes()).expect("the controller sends valid messages");
                let mut received =
                    reader_received.lock().expect("no thread panicked while holding the lock");
                let was_established =
                    received.iter().any(|m| m.is_started() && m.message.tag == message.tag);
                if message.verb == "FINISH" && was_established {
                    let tag = &message.tag;
                    let line = format!("{{\"verb\":\"FINISHED\",\"tag\":\"{tag}\",\"opts\":{{}}}}\n");
                    let _guard =
                        reader_write_lock.lock().expect("no thread panicked while holding the lock");
                    let _ = writer.write_all(line.as_bytes());
                }
                received.push(ReceivedMessage { at: Instant::now(), message });
            }
            *reader_closed_at.lock().expect("no thread panicked while holding the lock") =
                Some(Instant::now());
        });
        Some(Caller { stream, write_lock, received, closed_at })
    }

    /// Closes the connection.
    pub fn close(&self) {
        // It may have been closed by the controller.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// When the controller closed the connection; `None` while it is open.
    pub fn closed_at(&self) -> Option<Instant> {
        *self.closed_at.lock().expect("no thread panicked while holding the lock")
    }

    /// Sends a set-up. Returns false if the connection is closed.
    pub fn set_up(&mut self, tag: &str, time_left: Duration, dest: u32) -> bool {
        self.set_up_in_two_parts(tag, time_left, dest, Duration::ZERO)
    }

    /// Sends a set-up in two parts, with a pause between them, or whole if the pause is zero. Returns false if the
    /// connection is closed.
    pub fn set_up_in_two_parts(
        &mut self,
        tag: &str,
        time_left: Duration,
        dest: u32,
        pause: Duration,
    ) -> bool {
        let left_ms = time_left.as_millis();
        let line = format!(
            "{{\"verb\":\"START\",\"tag\":\"{tag}\",\"opts\":{{\"class\":\"voice\",\"left\":\"{left_ms}\",\"key\":\"{tag}\",\
             \"extras\":\"dest:{dest};width:1;via:-1\"}},\"blob\":\"v=0\"}}\n"
        );
        let _guard = self.write_lock.lock().expect("no thread panicked while holding the lock");
        let (first, rest) = line.as_bytes().split_at(line.len() / 2);
        if pause.is_zero() {
            return self.stream.write_all(line.as_bytes()).is_ok();
        }
        let first_written = self.stream.write_all(first).is_ok();
        std::thread::sleep(pause);
        first_written && self.stream.write_all(rest).is_ok()
    }

    /// Releases a call, or cancels its set-up. Returns false if the connection is closed.
    pub fn finish(&mut self, tag: &str) -> bool {
        let line = format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":16}}\n");
        let _guard = self.write_lock.lock().expect("no thread panicked while holding the lock");
        self.stream.write_all(line.as_bytes()).is_ok()
    }

    /// All messages that were received so far.
    pub fn received(&self) -> Vec<ReceivedMessage> {
        self.received.lock().expect("no thread panicked while holding the lock").clone()
    }

    /// When the controller reported the end of an established call; `None` if it has not.
    pub fn end_reported_at(&self, tag: &str) -> Option<Instant> {
        let received = self.received();
        let started_index = received.iter().position(|m| m.is_started() && m.message.tag == tag)?;
        received[started_index..]
            .iter()
            .find(|m| m.message.verb == "FINISH" && m.message.tag == tag)
            .map(|m| m.at)
    }

    /// Waits until a call is established. Returns false if that takes longer than `timeout`.
    pub fn wait_established(&self, tag: &str, timeout: Duration) -> bool {
        self.wait(timeout, |received| received.iter().any(|m| m.is_started() && m.message.tag == tag))
    }

    /// Waits until the controller reports the end of a call, and returns when it did; `None` if that takes longer than
    /// `timeout`.
    pub fn wait_end_reported(&self, tag: &str, timeout: Duration) -> Option<Instant> {
        self.wait(timeout, |_| self.end_reported_at(tag).is_some());
        self.end_reported_at(tag)
    }

    fn wait(&self, timeout: Duration, mut condition: impl FnMut(&[ReceivedMessage]) -> bool) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if condition(&self.received()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        false
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.close();
    }
}
