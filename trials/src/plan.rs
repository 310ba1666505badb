//! The fault plan of a trial, drawn from its seed.

use crate::exchange::{Behavior, IdlePolicy};
use clap::ValueEnum;
use fastrand::Rng;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Number of fake exchanges, in the cells from 1 on. Cell 0 is the controller's own exchange; its entry in the list has
/// the address of the first fake exchange.
pub const EXCHANGE_COUNT: usize = 3;
/// The last number of the address of the first caller's host, where each has its own.
const FIRST_CALLER_HOST: u8 = 2;
/// The time of each exchange's first fault is drawn from this range. At its start, some calls are already established.
const FIRST_FAULT_FROM_MS: u64 = 1500;
const FIRST_FAULT_UNTIL_MS: u64 = 5000;
/// The time of the graceful shutdown in a trial that runs its full length. By then, the controller has had time to
/// report the end of every call that a fault ended.
const FULL_LENGTH_MS: u64 = 14_500;

/// What the trials of a range of seeds exercise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Exchanges and the journal service fail.
    #[default]
    Faults,
    /// The controller's process is replaced while calls are established.
    Replacement,
    /// Releases are lost with connections of exchanges, most of which drain.
    LostReleases,
    /// Callers on several hosts leave and return while calls end and the controller's process is replaced.
    Hosts,
}

/// A fault that a trial injects, or the recovery from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The host of an exchange fails: its calls end, and its connections stay half-open.
    LoseHost(usize),
    /// A new process serves at the address of an exchange whose host failed.
    ReplaceHost(usize),
    /// The network path to an exchange is cut; its process and its calls continue.
    Partition(usize),
    /// The process of an exchange hangs.
    Hang(usize),
    /// The network path to an exchange is restored, or its hung process resumes.
    Recover(usize),
    /// The process of an exchange crashes.
    Crash(usize),
    /// The crashed process of an exchange is started again.
    Restart(usize),
    /// All connections to an exchange are reset.
    ResetConnections(usize),
    /// Releases of an exchange are lost with a connection that is reset.
    LoseReleases(usize),
    /// Another process of the controller is started and replaces the current one.
    ReplaceController,
    /// The list announces that an exchange drains.
    Drain(usize),
    /// The journal service closes its open connections and every new one.
    JournalDown,
    /// The journal service keeps its connections open and sends nothing.
    JournalSilent,
    /// The journal service works again.
    JournalUp,
    /// The controller receives SIGHUP, which makes it read its configuration again.
    Reload,
}

/// The plan of a trial.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that the plan is drawn from.
    pub seed: u64,
    /// What the trial exercises.
    pub scenario: Scenario,
    /// The number of file descriptors that the controller may use.
    pub max_descriptors: u32,
    /// The longest time that a caller waits for an answer.
    pub deadline: Duration,
    /// The behavior of each exchange.
    pub exchange_behaviors: Vec<Behavior>,
    /// The number of callers that generate load, each on one connection at a time.
    pub caller_count: usize,
    /// The number of client connections that stay idle throughout the trial.
    pub idle_connection_count: usize,
    /// The faults, each with the time of its injection.
    pub faults: Vec<(Duration, Fault)>,
    /// When the controller is signalled to stop.
    pub stop_at: Duration,
    /// Whether each caller is on a host of its own, and leaves and returns.
    pub has_several_hosts: bool,
    /// Whether the controller receives further signals while it stops.
    pub has_extra_stop_signals: bool,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Plan {
    /// Draws the plan of a seed. The seeds of each scenario have plans of their own.
    pub fn draw(scenario: Scenario, seed: u64) -> Self {
        match scenario {
            Scenario::Faults => Self::draw_faults(seed),
            Scenario::Replacement => Self::draw_calm(scenario, seed, draw_replacements),
            Scenario::LostReleases => Self::draw_calm(scenario, seed, draw_lost_releases),
            Scenario::Hosts => Self::draw_calm(scenario, seed, draw_process_replacements),
        }
    }

    /// Draws a plan of full length whose faults come from one function.
    fn draw_calm(
        scenario: Scenario,
        seed: u64,
        draw_faults: fn(&mut Rng) -> Vec<(Duration, Fault)>,
    ) -> Self {
        let mut generator = Rng::with_seed(seed);
        let rng = &mut generator;
        let exchange_behaviors = (0..EXCHANGE_COUNT).map(|_| draw_behavior(rng)).collect();
        let mut faults = draw_faults(rng);
        faults.sort_by_key(|(at, _)| *at);
        Plan {
            seed,
            scenario,
            max_descriptors: *pick(rng, &[256, 1024]),
            deadline: ms(*pick(rng, &[400, 1000, 3000, 9000])),
            exchange_behaviors,
            caller_count: rng.usize(2..5),
            idle_connection_count: 0,
            faults,
            stop_at: ms(FULL_LENGTH_MS),
            has_several_hosts: scenario == Scenario::Hosts,
            has_extra_stop_signals: false,
        }
    }

    /// Whether the controller's process is replaced.
    pub fn has_replacements(&self) -> bool {
        matches!(self.scenario, Scenario::Replacement | Scenario::Hosts)
    }

    /// The host of a caller, as a loopback address.
    pub fn caller_host(&self, number: u64) -> Ipv4Addr {
        match self.has_several_hosts {
            true => Ipv4Addr::new(127, 0, 0, FIRST_CALLER_HOST + number as u8),
            false => Ipv4Addr::LOCALHOST,
        }
    }

    fn draw_faults(seed: u64) -> Self {
        let mut generator = Rng::with_seed(seed);
        let rng = &mut generator;
        let exchange_behaviors = (0..EXCHANGE_COUNT).map(|_| draw_behavior(rng)).collect();
        let mut faults: Vec<_> =
            (0..EXCHANGE_COUNT).flat_map(|i| draw_exchange_faults(i, rng)).collect();
        faults.extend(draw_journal_faults(rng));
        if rng.bool() {
            faults.extend((0..rng.u64(1..4)).map(|n| (ms(3000 + n * 70), Fault::Reload)));
        }
        faults.sort_by_key(|(at, _)| *at);
        let stop_at = if rng.u8(0..3) == 0 { rng.u64(4000..11_000) } else { FULL_LENGTH_MS };
        Plan {
            seed,
            scenario: Scenario::Faults,
            max_descriptors: *pick(rng, &[127, 256, 1024]),
            deadline: ms(*pick(rng, &[400, 1000, 3000, 9000])),
            exchange_behaviors,
            caller_count: rng.usize(2..5),
            idle_connection_count: if rng.u8(0..4) == 0 { rng.usize(40..120) } else { 0 },
            faults,
            stop_at: ms(stop_at),
            has_several_hosts: false,
            has_extra_stop_signals: rng.bool(),
        }
    }
}

fn pick<'a, T>(rng: &mut Rng, from: &'a [T]) -> &'a T {
    &from[rng.usize(0..from.len())]
}

/// Draws the behavior of an exchange. Most exchanges follow the protocol. Some keep open the connections that the
/// controller has closed, and some never send an unsolicited load report.
fn draw_behavior(rng: &mut Rng) -> Behavior {
    let mean_hold = Some(ms(rng.u64(2000..12_000)));
    let usual = Behavior {
        mean_hold,
        lost_answer_percent: *pick(rng, &[0, 0, 3]),
        malformed_answer_percent: *pick(rng, &[0, 0, 2]),
        duplicated_answer_percent: *pick(rng, &[0, 0, 2]),
        unserved_connection_percent: *pick(rng, &[0, 0, 4]),
        idle: *pick(
            rng,
            &[
                None,
                None,
                None,
                Some((ms(1500), IdlePolicy::Close)),
                Some((ms(3000), IdlePolicy::Reset)),
                Some((ms(3000), IdlePolicy::StopServing)),
            ],
        ),
        ..Behavior::PROTOCOL
    };
    match rng.u8(0..6) {
        0 => Behavior { closes_in_response: false, ..usual },
        1 => Behavior { reports_changes: false, reports_on_connect: false, ..usual },
        _ => usual,
    }
}

/// Draws the fault of one exchange, and the recovery from it if there is one.
fn draw_exchange_faults(i: usize, rng: &mut Rng) -> Vec<(Duration, Fault)> {
    let at = rng.u64(FIRST_FAULT_FROM_MS..FIRST_FAULT_UNTIL_MS);
    match rng.u8(0..10) {
        0 | 1 => vec![(ms(at), Fault::LoseHost(i))],
        2 | 3 => {
            let replaced_at = at + rng.u64(800..7000);
            vec![(ms(at), Fault::LoseHost(i)), (ms(replaced_at), Fault::ReplaceHost(i))]
        }
        4 => vec![(ms(at), Fault::Partition(i)), (ms(at + rng.u64(500..4500)), Fault::Recover(i))],
        5 => vec![(ms(at), Fault::Hang(i)), (ms(at + rng.u64(500..4500)), Fault::Recover(i))],
        6 => vec![(ms(at), Fault::Hang(i))],
        7 => vec![(ms(at), Fault::Crash(i)), (ms(at + rng.u64(0..3000)), Fault::Restart(i))],
        8 => (0..rng.u64(1..4)).map(|n| (ms(at + n * 1500), Fault::ResetConnections(i))).collect(),
        _ => vec![(ms(at), Fault::Drain(i))],
    }
}

/// Draws the fault of the journal service, if any, and the recovery from it if there is one.
fn draw_journal_faults(rng: &mut Rng) -> Vec<(Duration, Fault)> {
    let (from, to) = (ms(rng.u64(500..3000)), ms(rng.u64(7000..14_000)));
    let fault = if rng.bool() { Fault::JournalDown } else { Fault::JournalSilent };
    match rng.u8(0..3) {
        0 => Vec::new(),
        1 => vec![(from, fault)],
        _ => vec![(from, fault), (to, Fault::JournalUp)],
    }
}

/// Draws one or two replacements of the controller's process. The first one comes first.
fn draw_process_replacements(rng: &mut Rng) -> Vec<(Duration, Fault)> {
    let first = rng.u64(FIRST_FAULT_FROM_MS..FIRST_FAULT_UNTIL_MS);
    let mut faults = vec![(ms(first), Fault::ReplaceController)];
    if rng.bool() {
        faults.push((ms(first + rng.u64(1000..4000)), Fault::ReplaceController));
    }
    faults
}

/// Draws one or two replacements of the controller's process, and at most one fault of each exchange.
fn draw_replacements(rng: &mut Rng) -> Vec<(Duration, Fault)> {
    let mut faults = draw_process_replacements(rng);
    let first = faults[0].0.as_millis() as u64;
    for i in 0..EXCHANGE_COUNT {
        let at = ms(first + rng.u64(0..2000));
        match rng.u8(0..8) {
            0 => faults.push((at, Fault::LoseHost(i))),
            1 => faults.push((at, Fault::Drain(i))),
            2 => faults.push((at, Fault::ResetConnections(i))),
            3 => faults.push((at, Fault::LoseReleases(i))),
            _ => {}
        }
    }
    faults
}

/// Draws, for each exchange, the drain that most of them have and some losses of releases before and after it.
fn draw_lost_releases(rng: &mut Rng) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    for i in 0..EXCHANGE_COUNT {
        let at = rng.u64(FIRST_FAULT_FROM_MS..FIRST_FAULT_UNTIL_MS);
        if rng.u8(0..4) > 0 {
            faults.push((ms(at), Fault::Drain(i)));
        }
        let losses = (0..rng.u64(1..5)).map(|_| ms(at - 500 + rng.u64(0..4000)));
        faults.extend(losses.map(|at| (at, Fault::LoseReleases(i))));
    }
    faults
}
