//! A fake journal service that can be down or silent.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How the service treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The service sends events and heartbeats.
    Up,
    /// Connections stay open, and the service sends nothing.
    Silent,
    /// The service closes its open connections, and each new one as soon as it has accepted it.
    Down,
}

struct State {
    health: Health,
    /// The events from position 2 on. Position 1 is the list in the daemon's configuration.
    events: Vec<String>,
    /// Each connection, with the position of the last event that was sent on it.
    connections: Vec<(TcpStream, usize)>,
    last_heartbeat: Instant,
}

/// The service. It ends when it is dropped.
pub struct FaultyJournal {
    /// The address that the service listens on.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FaultyJournal {
    /// Starts a service that works.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("O_NONBLOCK can be set");
        let addr = listener.local_addr().expect("the listener has an address");
        let state = State {
            health: Health::Up,
            events: Vec::new(),
            connections: Vec::new(),
            last_heartbeat: Instant::now(),
        };
        let (state, stopping) = (Arc::new(Mutex::new(state)), Arc::new(AtomicBool::new(false)));
        let (thread_state, thread_stopping) = (Arc::clone(&state), Arc::clone(&stopping));
        let thread = std::thread::spawn(move || {
            while !thread_stopping.load(Ordering::Relaxed) {
                thread_state.lock().expect("no thread panicked while holding the lock").poll(&listener);
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        FaultyJournal { addr, state, stopping, thread: Some(thread) }
    }

    /// Changes how the service treats its connections.
    pub fn set_health(&self, health: Health) {
        self.state.lock().expect("no thread panicked while holding the lock").health = health;
    }

    /// The position of the next event.
    pub fn next_position(&self) -> usize {
        self.state.lock().expect("no thread panicked while holding the lock").events.len() + 2
    }

    /// Adds an event, which the service sends on all its connections.
    pub fn add_event(&self, event: String) {
        self.state.lock().expect("no thread panicked while holding the lock").events.push(event);
    }
}

impl Drop for FaultyJournal {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl State {
    fn poll(&mut self, listener: &TcpListener) {
        match self.health {
            Health::Silent => return,
            Health::Down => self.connections.clear(),
            Health::Up => {}
        }
        while let Ok((stream, _)) = listener.accept() {
            if self.health == Health::Up {
                self.connections.push((stream, 1));
            }
        }
        let heartbeat_due = self.last_heartbeat.elapsed() >= HEARTBEAT_INTERVAL;
        if heartbeat_due {
            self.last_heartbeat = Instant::now();
        }
        let events = &self.events;
        self.connections.retain_mut(|(stream, last_sent)| {
            let mut text: String =
                events.iter().skip(*last_sent - 1).map(|e| format!("{e}\n")).collect();
            *last_sent = events.len() + 1;
            if heartbeat_due {
                text.push_str(&format!("{{\"pos\":{last_sent}}}\n"));
            }
            text.is_empty() || stream.write_all(text.as_bytes()).is_ok()
        });
    }
}
