//! One caller's share of the load: set-ups whole or in pieces, given up early, tried again at once, and calls released.

use crate::caller::{Caller, Told};
use fastrand::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::plan::EXCHANGES;

/// A caller keeps so many calls in mind, to release them.
const REMEMBERED: usize = 8;
/// A caller's connection has to be used for long before another is opened, where it is closed on.
const RECONNECT: Duration = Duration::from_millis(30);

/// One set-up as its caller knows it.
#[derive(Clone, Debug)]
pub struct SetUp {
    /// Its id.
    pub tag: String,
    /// When its last byte was written.
    pub at: Instant,
    /// How long its caller waits.
    pub left: Duration,
    /// When the caller gave it up, or released the call.
    pub finished: Option<Instant>,
    /// The connection that it went on.
    pub connection: usize,
}

/// All that one caller has done and was told.
#[derive(Debug, Default)]
pub struct History {
    /// Its set-ups.
    pub set_ups: Vec<SetUp>,
    /// What it was told on each connection.
    pub told: Vec<Vec<Told>>,
    /// When each connection was closed on it.
    pub closed: Vec<Option<Instant>>,
}

/// One caller.
pub struct Load {
    /// Where the controller listens.
    pub addr: SocketAddr,
    /// Tells callers apart, and draws what this one does.
    pub number: u64,
    /// The seed of the trial.
    pub seed: u64,
    /// The longest that it waits.
    pub deadline: Duration,
}

impl Load {
    /// Calls until it is told to stop, or nobody listens any more.
    pub fn run(self, over: &AtomicBool) -> History {
        let mut random = Rng::with_seed(self.seed.wrapping_mul(31).wrapping_add(self.number));
        let (mut history, mut callers) = (History::default(), Vec::<Caller>::new());
        let mut next = 0;
        while !over.load(Ordering::Relaxed) {
            if callers.last().is_none_or(|c| c.closed().is_some()) {
                std::thread::sleep(RECONNECT);
                let Some(caller) = Caller::connect(self.addr) else {
                    continue;
                };
                callers.push(caller);
            }
            next += 1;
            let tag = format!("{:08x}{next:08x}", self.seed as u32 ^ (self.number as u32) << 24);
            let connection = callers.len() - 1;
            if let Some(caller) = callers.last_mut() {
                self.step(&tag, connection, caller, &mut history, &mut random);
            }
            std::thread::sleep(Duration::from_millis(random.u64(15..90)));
        }
        // What is still on its way is waited for by whoever ends the trial.
        history.told = callers.iter().map(Caller::told).collect();
        history.closed = callers.iter().map(Caller::closed).collect();
        history
    }

    fn step(
        &self,
        tag: &str,
        connection: usize,
        caller: &mut Caller,
        history: &mut History,
        r: &mut Rng,
    ) {
        if r.u8(0..12) == 0 {
            let open = history.set_ups.iter_mut().rev().take(REMEMBERED);
            let mut open: Vec<_> = open.filter(|s| s.finished.is_none()).collect();
            if !open.is_empty() {
                let chosen = r.usize(0..open.len());
                if caller.finish(&open[chosen].tag) {
                    open[chosen].finished = Some(Instant::now());
                }
                return;
            }
        }
        let least = (self.deadline / 3).as_millis() as u64;
        let left = Duration::from_millis(r.u64(least..=self.deadline.as_millis() as u64));
        let dest = r.u32(1..=EXCHANGES as u32);
        let pause = if r.u8(0..10) == 0 { r.u64(5..60) } else { 0 };
        if caller.set_up_in_pieces(tag, left, dest, Duration::from_millis(pause)) {
            let (tag, at) = (tag.to_owned(), Instant::now());
            history.set_ups.push(SetUp { tag, at, left, finished: None, connection });
        }
    }
}
