//! A load generator for one caller: it sends set-ups, some of them in two parts, cancels some set-ups and releases some
//! calls early.

use crate::caller::{Caller, ReceivedMessage};
use fastrand::Rng;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::plan::EXCHANGE_COUNT;

/// A caller picks the calls that it releases or cancels from this many of its latest set-ups.
const MAX_RECENT_CALLS: usize = 8;
/// Pause before a caller opens a connection. It limits the rate of reconnects if the controller closes each
/// connection at once.
const RECONNECT_DELAY: Duration = Duration::from_millis(30);
/// A caller that leaves does so in one of this many steps on average.
const STEPS_BETWEEN_ABSENCES: u8 = 25;
/// The range of the time for which a caller that has left has no connection.
const ABSENCE_MS: RangeInclusive<u64> = 100..=2500;

/// A set-up, as its caller recorded it.
#[derive(Clone, Debug)]
pub struct SentSetUp {
    /// The call's id.
    pub tag: String,
    /// When the last byte was written.
    pub at: Instant,
    /// How long the caller waits for an answer.
    pub time_left: Duration,
    /// When the caller cancelled the set-up or released the call; `None` if it did neither.
    pub finished_at: Option<Instant>,
    /// The index of the caller's connection that the set-up was sent on.
    pub connection_index: usize,
}

/// What one caller recorded.
#[derive(Debug)]
pub struct CallerRecord {
    /// The caller's host.
    pub host: Ipv4Addr,
    /// When the caller had no connection because it had left: from when, and until when.
    pub absences: Vec<(Instant, Instant)>,
    /// The set-ups that it sent.
    pub set_ups: Vec<SentSetUp>,
    /// The messages that it received on each connection.
    pub received: Vec<Vec<ReceivedMessage>>,
    /// When the controller closed each connection.
    pub closed_at: Vec<Option<Instant>>,
}

impl CallerRecord {
    /// When the caller returned from the first absence that overlaps a period; `None` if there is none.
    pub fn return_after(&self, from: Instant, to: Instant) -> Option<Instant> {
        let absence = self.absences.iter().find(|(left_at, back_at)| *left_at <= to && *back_at >= from);
        absence.map(|(_, back_at)| *back_at)
    }
}

/// The load generator of one caller.
pub struct LoadGenerator {
    /// The address that the controller listens on.
    pub addr: SocketAddr,
    /// The number of the caller. It is part of the ids of its calls and of the seed of its random choices.
    pub number: u64,
    /// The seed of the trial.
    pub seed: u64,
    /// The longest time that the caller waits for an answer.
    pub deadline: Duration,
    /// The caller's host.
    pub host: Ipv4Addr,
    /// Whether the caller closes its connection from time to time and returns later. It does so while it has no set-up
    /// without an answer.
    pub leaves: bool,
}

impl LoadGenerator {
    /// Generates load until `stop` is set, and returns what the caller recorded. Retries connection attempts that
    /// fail.
    pub fn run(self, stop: &AtomicBool) -> CallerRecord {
        let mut rng = Rng::with_seed(self.seed.wrapping_mul(31).wrapping_add(self.number));
        let mut record = CallerRecord {
            host: self.host,
            absences: Vec::new(),
            set_ups: Vec::new(),
            received: Vec::new(),
            closed_at: Vec::new(),
        };
        let mut connections = Vec::<Caller>::new();
        let mut sequence = 0;
        while !stop.load(Ordering::Relaxed) {
            if connections.last().is_none_or(|c| c.closed_at().is_some()) {
                std::thread::sleep(RECONNECT_DELAY);
                let Some(connection) = Caller::connect_from(self.host, self.addr) else {
                    continue;
                };
                connections.push(connection);
            }
            if self.leaves && rng.u8(0..STEPS_BETWEEN_ABSENCES) == 0 {
                self.leave(&mut connections, &mut record, &mut rng);
            }
            sequence += 1;
            let tag = format!("{:08x}{sequence:08x}", self.seed as u32 ^ (self.number as u32) << 24);
            let connection_index = connections.len() - 1;
            if let Some(connection) = connections.last_mut() {
                self.step(&tag, connection_index, connection, &mut record, &mut rng);
            }
            std::thread::sleep(Duration::from_millis(rng.u64(15..90)));
        }
        // The trial sets `stop` only after it has waited for the messages that were still in flight.
        record.received = connections.iter().map(Caller::received).collect();
        record.closed_at = connections.iter().map(Caller::closed_at).collect();
        record
    }

    /// Closes the caller's connection and connects again after a pause, unless a set-up has no answer yet.
    fn leave(&self, connections: &mut Vec<Caller>, record: &mut CallerRecord, rng: &mut Rng) {
        let pause = Duration::from_millis(rng.u64(ABSENCE_MS));
        let index = connections.len() - 1;
        let received = connections[index].received();
        let is_answered = |s: &SentSetUp| received.iter().any(|m| m.message.tag == s.tag);
        let own = record.set_ups.iter().filter(|s| s.connection_index == index);
        if !own.into_iter().all(|s| s.finished_at.is_some() || is_answered(s)) {
            return;
        }
        let left_at = Instant::now();
        connections[index].close();
        std::thread::sleep(pause);
        loop {
            if let Some(connection) = Caller::connect_from(self.host, self.addr) {
                connections.push(connection);
                break;
            }
            std::thread::sleep(RECONNECT_DELAY);
        }
        record.absences.push((left_at, Instant::now()));
    }

    /// Releases or cancels a recent call, or sends a set-up with this tag.
    fn step(
        &self,
        tag: &str,
        connection_index: usize,
        connection: &mut Caller,
        record: &mut CallerRecord,
        rng: &mut Rng,
    ) {
        if rng.u8(0..12) == 0 {
            let recent = record.set_ups.iter_mut().rev().take(MAX_RECENT_CALLS);
            let mut unfinished: Vec<_> = recent.filter(|s| s.finished_at.is_none()).collect();
            if !unfinished.is_empty() {
                let chosen = rng.usize(0..unfinished.len());
                if connection.finish(&unfinished[chosen].tag) {
                    unfinished[chosen].finished_at = Some(Instant::now());
                }
                return;
            }
        }
        let min_ms = (self.deadline / 3).as_millis() as u64;
        let time_left = Duration::from_millis(rng.u64(min_ms..=self.deadline.as_millis() as u64));
        let dest = rng.u32(1..=EXCHANGE_COUNT as u32);
        let pause_ms = if rng.u8(0..10) == 0 { rng.u64(5..60) } else { 0 };
        if connection.set_up_in_two_parts(tag, time_left, dest, Duration::from_millis(pause_ms)) {
            let (tag, at) = (tag.to_owned(), Instant::now());
            record.set_ups.push(SentSetUp { tag, at, time_left, finished_at: None, connection_index });
        }
    }
}
