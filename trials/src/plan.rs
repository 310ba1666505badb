//! What goes wrong in a trial, drawn from its seed.

use crate::exchange::{IdleHabit, Manners};
use fastrand::Rng;
use std::time::Duration;

/// Exchanges besides the controller's own.
pub const EXCHANGES: usize = 3;
/// Faults begin after this time, once calls stand, and before the other.
const FAULTS_FROM: u64 = 1500;
const FAULTS_UNTIL: u64 = 5000;
/// The planned stop of a trial that is played to its end: every call that was over by then has been told of.
const FULL_LENGTH: u64 = 14_500;

/// One thing that goes wrong, or is mended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The machine of an exchange vanishes.
    Vanish(usize),
    /// A new process serves at the address of one that vanished.
    Replace(usize),
    /// The way to an exchange is cut.
    CutOff(usize),
    /// The process of an exchange stands still.
    Hang(usize),
    /// The way is there again, or the process goes on.
    GoOn(usize),
    /// The process of an exchange dies.
    Crash(usize),
    /// And is started again.
    Restart(usize),
    /// All connections to an exchange are reset.
    Reset(usize),
    /// The list says that an exchange drains.
    Drain(usize),
    /// The journal service takes no connections any more, and its open ones are closed.
    JournalDown,
    /// It says nothing any more.
    JournalSilent,
    /// It works again.
    JournalUp,
    /// The controller is told to read its configuration again.
    Reload,
}

/// A trial.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// File descriptors that the controller may hold.
    pub descriptors: u32,
    /// The longest that a caller waits.
    pub deadline: Duration,
    /// How each exchange behaves.
    pub manners: Vec<Manners>,
    /// Connections of callers in use.
    pub callers: usize,
    /// Connections that never say anything.
    pub crowd: usize,
    /// What goes wrong, and when.
    pub faults: Vec<(Duration, Fault)>,
    /// When the controller is asked to stop, and whether that is said several times.
    pub stop_at: Duration,
    /// Further signals in the course of the stop.
    pub signals_in_series: bool,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Plan {
    /// Draws a trial.
    pub fn draw(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let r = &mut random;
        let manners = (0..EXCHANGES).map(|_| manners(r)).collect();
        let mut faults: Vec<_> = (0..EXCHANGES).flat_map(|i| story(i, r)).collect();
        faults.extend(journal(r));
        if r.bool() {
            faults.extend((0..r.u64(1..4)).map(|n| (ms(3000 + n * 70), Fault::Reload)));
        }
        faults.sort_by_key(|(at, _)| *at);
        let stop_at = if r.u8(0..3) == 0 { r.u64(4000..11_000) } else { FULL_LENGTH };
        Plan {
            seed,
            descriptors: *pick(r, &[127, 256, 1024]),
            deadline: ms(*pick(r, &[400, 1000, 3000, 9000])),
            manners,
            callers: r.usize(2..5),
            crowd: if r.u8(0..4) == 0 { r.usize(40..120) } else { 0 },
            faults,
            stop_at: ms(stop_at),
            signals_in_series: r.bool(),
        }
    }
}

fn pick<'a, T>(r: &mut Rng, from: &'a [T]) -> &'a T {
    &from[r.usize(0..from.len())]
}

/// Most exchanges are as the protocol has it; some keep what is closed on them, and some say nothing unasked.
fn manners(r: &mut Rng) -> Manners {
    let hold = Some(ms(r.u64(2000..12_000)));
    let usual = Manners {
        hold,
        lost_answers: *pick(r, &[0, 0, 3]),
        spoilt_answers: *pick(r, &[0, 0, 2]),
        doubled_answers: *pick(r, &[0, 0, 2]),
        dead_connections: *pick(r, &[0, 0, 4]),
        idle: *pick(
            r,
            &[
                None,
                None,
                None,
                Some((ms(1500), IdleHabit::Closes)),
                Some((ms(3000), IdleHabit::Resets)),
                Some((ms(3000), IdleHabit::Forgets)),
            ],
        ),
        ..Manners::PROTOCOL
    };
    match r.u8(0..6) {
        0 => Manners { closes: false, ..usual },
        1 => Manners { reports: false, greets: false, ..usual },
        _ => usual,
    }
}

/// What happens to one exchange.
fn story(i: usize, r: &mut Rng) -> Vec<(Duration, Fault)> {
    let at = r.u64(FAULTS_FROM..FAULTS_UNTIL);
    match r.u8(0..10) {
        0 | 1 => vec![(ms(at), Fault::Vanish(i))],
        2 | 3 => {
            let again = at + r.u64(800..7000);
            vec![(ms(at), Fault::Vanish(i)), (ms(again), Fault::Replace(i))]
        }
        4 => vec![(ms(at), Fault::CutOff(i)), (ms(at + r.u64(500..4500)), Fault::GoOn(i))],
        5 => vec![(ms(at), Fault::Hang(i)), (ms(at + r.u64(500..4500)), Fault::GoOn(i))],
        6 => vec![(ms(at), Fault::Hang(i))],
        7 => vec![(ms(at), Fault::Crash(i)), (ms(at + r.u64(0..3000)), Fault::Restart(i))],
        8 => (0..r.u64(1..4)).map(|n| (ms(at + n * 1500), Fault::Reset(i))).collect(),
        _ => vec![(ms(at), Fault::Drain(i))],
    }
}

/// What happens to the journal service.
fn journal(r: &mut Rng) -> Vec<(Duration, Fault)> {
    let (from, to) = (ms(r.u64(500..3000)), ms(r.u64(7000..14_000)));
    let broken = if r.bool() { Fault::JournalDown } else { Fault::JournalSilent };
    match r.u8(0..3) {
        0 => Vec::new(),
        1 => vec![(from, broken)],
        _ => vec![(from, broken), (to, Fault::JournalUp)],
    }
}
