//! One trial: runs the daemon under the fault plan of a seed.

use crate::daemon::{config_json, event_json, server_json, Daemon};
use crate::exchange::FaultyExchange;
use crate::journal::{FaultyJournal, Health};
use crate::load::LoadGenerator;
use crate::plan::{Fault, Plan, EXCHANGE_COUNT};
use crate::rules::{Counts, ExchangeRecord, TrialRecord, Violation};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The time limit of a graceful shutdown is the callers' deadline, capped at this, plus `KILL_DELAY`.
const MAX_STOP_DEADLINE: Duration = Duration::from_secs(3);
/// The controller is killed if it has not ended this long after the capped deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// How long the trial waits, after the controller has ended, for messages to the callers that are still in flight.
const IN_FLIGHT_DELAY: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The result of a trial.
#[derive(Debug)]
pub struct Outcome {
    /// The plan of the trial.
    pub plan: Plan,
    /// The violations of the rules.
    pub violations: Vec<Violation>,
    /// Counts of the calls.
    pub counts: Counts,
    /// The daemon's log.
    pub log: Vec<String>,
}

/// The processes and fake peers of a trial, which its faults are injected into.
struct Testbed {
    exchanges: Vec<FaultyExchange>,
    was_reset: Vec<bool>,
    journal: FaultyJournal,
    daemon: Daemon,
}

impl Testbed {
    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::LoseHost(i) => self.exchanges[i].lose_host(),
            Fault::ReplaceHost(i) => self.exchanges[i].replace_host(),
            Fault::Partition(i) => self.exchanges[i].partition(),
            Fault::Hang(i) => self.exchanges[i].hang(),
            Fault::Recover(i) => self.exchanges[i].recover(),
            Fault::Crash(i) => self.exchanges[i].crash(),
            Fault::Restart(i) => self.exchanges[i].restart(),
            Fault::ResetConnections(i) => {
                self.was_reset[i] = true;
                self.exchanges[i].reset_connections();
            }
            Fault::Drain(i) => {
                let server = server_json(i + 1, "terminating", self.exchanges[i].addr);
                self.journal.add_event(event_json(self.journal.next_position(), false, &[server]));
            }
            Fault::JournalDown => self.journal.set_health(Health::Down),
            Fault::JournalSilent => self.journal.set_health(Health::Silent),
            Fault::JournalUp => self.journal.set_health(Health::Up),
            Fault::Reload => self.daemon.signal("HUP"),
        }
    }

    /// Signals the daemon to stop and waits until it has ended, or kills it at the time limit. Returns whether it
    /// exited with status 0 in time.
    fn stop(&mut self, plan: &Plan) -> bool {
        let kill_at = Instant::now() + plan.deadline.min(MAX_STOP_DEADLINE) + KILL_DELAY;
        self.daemon.signal("TERM");
        if plan.has_extra_stop_signals {
            for signal in ["HUP", "TERM", "HUP"] {
                std::thread::sleep(Duration::from_millis(40));
                self.daemon.signal(signal);
            }
        }
        while Instant::now() < kill_at {
            if let Some(succeeded) = self.daemon.poll_exit() {
                return succeeded;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.daemon.signal("KILL");
        false
    }
}

/// Runs the trial of a seed with the daemon's executable at a path.
pub fn run(seed: u64, program: &Path) -> Outcome {
    let plan = Plan::draw(seed);
    let exchanges: Vec<_> = plan
        .exchange_behaviors
        .iter()
        .zip(0..)
        .map(|(b, n)| FaultyExchange::start(*b, seed ^ n))
        .collect();
    let journal = FaultyJournal::start();
    let mut servers = vec![server_json(0, "in_service", exchanges[0].addr)];
    servers.extend((0..EXCHANGE_COUNT).map(|i| server_json(i + 1, "in_service", exchanges[i].addr)));
    let daemon = Daemon::start(
        program,
        &config_json(journal.addr, &servers, plan.max_descriptors, plan.deadline),
    );
    let addr = daemon.wait_for_address();
    let mut testbed = Testbed { exchanges, was_reset: vec![false; EXCHANGE_COUNT], journal, daemon };
    let (started_at, stop_load) = (Instant::now(), AtomicBool::new(false));
    let idle_connections: Vec<_> =
        (0..plan.idle_connection_count).filter_map(|_| TcpStream::connect(addr).ok()).collect();
    let deadline = plan.deadline;
    let (callers, stop_signalled_at, ended_at, ended_well) = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..plan.caller_count as u64)
            .map(|number| {
                scope.spawn({
                    let stop_load = &stop_load;
                    move || LoadGenerator { addr, number, seed, deadline }.run(stop_load)
                })
            })
            .collect();
        for (at, fault) in plan.faults.iter().filter(|(at, _)| *at < plan.stop_at) {
            std::thread::sleep((started_at + *at).saturating_duration_since(Instant::now()));
            testbed.inject(*fault);
        }
        std::thread::sleep((started_at + plan.stop_at).saturating_duration_since(Instant::now()));
        let ended_early = testbed.daemon.poll_exit().is_some();
        let stop_signalled_at = Instant::now();
        let ended_well = testbed.stop(&plan) && !ended_early;
        let ended_at = Instant::now();
        std::thread::sleep(IN_FLIGHT_DELAY);
        stop_load.store(true, Ordering::Relaxed);
        let callers =
            threads.into_iter().map(|t| t.join().expect("the caller's thread did not panic")).collect();
        (callers, stop_signalled_at, ended_at, ended_well)
    });
    drop(idle_connections);
    let exchanges = testbed.exchanges.iter().zip(&testbed.was_reset);
    let exchanges = exchanges
        .map(|(e, r)| ExchangeRecord {
            port: e.addr.port(),
            calls: e.calls(),
            outages: e.outages(),
            was_reset: *r,
        })
        .collect();
    let record = TrialRecord { callers, exchanges, stop_signalled_at, ended_at, started_at };
    let (mut violations, counts) = record.check();
    if !ended_well {
        let description = "did not exit with status 0 between the signal and the kill".to_owned();
        violations.push(Violation { tag: "controller".to_owned(), description });
    }
    Outcome { plan, violations, counts, log: testbed.daemon.log() }
}
