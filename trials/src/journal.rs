//! A journal service that can be down or silent.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(2);

/// What the service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It works.
    Up,
    /// Connections stay open, and nothing comes.
    Silent,
    /// Connections are closed as soon as they are there.
    Down,
}

struct State {
    health: Health,
    /// Events from number 2 on.
    events: Vec<String>,
    /// Each connection, and the number of the last event that was sent on it.
    streams: Vec<(TcpStream, usize)>,
    last_heartbeat: Instant,
}

/// The service, which ends with the trial.
pub struct Journal {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Journal {
    /// Starts a service that works.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("an option");
        let addr = listener.local_addr().expect("an address");
        let state = State {
            health: Health::Up,
            events: Vec::new(),
            streams: Vec::new(),
            last_heartbeat: Instant::now(),
        };
        let (state, over) = (Arc::new(Mutex::new(state)), Arc::new(AtomicBool::new(false)));
        let (shared, ended) = (Arc::clone(&state), Arc::clone(&over));
        let thread = std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                shared.lock().expect("no panic").step(&listener);
                std::thread::sleep(STEP);
            }
        });
        Journal { addr, state, over, thread: Some(thread) }
    }

    /// Changes what the service does.
    pub fn set(&self, health: Health) {
        self.state.lock().expect("no panic").health = health;
    }

    /// The number of the next event.
    pub fn next_event(&self) -> usize {
        self.state.lock().expect("no panic").events.len() + 2
    }

    /// Adds an event.
    pub fn add(&self, event: String) {
        self.state.lock().expect("no panic").events.push(event);
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl State {
    fn step(&mut self, listener: &TcpListener) {
        match self.health {
            Health::Silent => return,
            Health::Down => self.streams.clear(),
            Health::Up => {}
        }
        while let Ok((stream, _)) = listener.accept() {
            if self.health == Health::Up {
                self.streams.push((stream, 1));
            }
        }
        let beat = self.last_heartbeat.elapsed() >= HEARTBEAT;
        if beat {
            self.last_heartbeat = Instant::now();
        }
        let events = &self.events;
        self.streams.retain_mut(|(stream, sent)| {
            let mut text: String = events.iter().skip(*sent - 1).map(|e| format!("{e}\n")).collect();
            *sent = events.len() + 1;
            if beat {
                text.push_str(&format!("{{\"pos\":{sent}}}\n"));
            }
            text.is_empty() || stream.write_all(text.as_bytes()).is_ok()
        });
    }
}
