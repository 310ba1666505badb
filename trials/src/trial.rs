//! One trial: runs the daemon under the fault plan of a seed.

use crate::daemon::{config_json, event_json, server_json, Daemon};
use crate::exchange::FaultyExchange;
use crate::journal::{FaultyJournal, Health};
use crate::load::LoadGenerator;
use crate::plan::{Fault, Plan, Scenario, EXCHANGE_COUNT};
use crate::rules::{Counts, ExchangeRecord, TrialRecord, Violation};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The time limit of a graceful shutdown is the callers' deadline, capped at this, plus `KILL_DELAY`.
const MAX_STOP_DEADLINE: Duration = Duration::from_secs(3);
/// The same cap for a process that is replaced.
const MAX_REPLACED_STOP_DEADLINE: Duration = Duration::from_secs(5);
/// At most this many calls end with each loss of releases.
const MAX_LOST_RELEASES: usize = 3;
/// The controller is killed if it has not ended this long after the capped deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// How long the trial waits, after the controller has ended, for messages to the callers that are still in flight.
const IN_FLIGHT_DELAY: Duration = Duration::from_millis(200);

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

/// The controller: one process at a time, or two while one replaces the other.
struct Controller {
    program: PathBuf,
    config: String,
    /// The listening socket and the directory that the processes share, if they replace each other.
    shared: Option<(TcpListener, PathBuf)>,
    current: Daemon,
    /// The processes that were replaced: whether each ended well, and its log.
    replaced: Vec<JoinHandle<(bool, Vec<String>)>>,
}

impl Controller {
    fn start(program: &Path, config: String, is_replaceable: bool) -> Self {
        let shared = is_replaceable.then(|| {
            static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
            let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
            let name = format!("slateshed-shared-{}-{number}", std::process::id());
            let dir = std::env::temp_dir().join(name);
            std::fs::create_dir_all(&dir).expect("the shared directory can be created");
            (TcpListener::bind("127.0.0.1:0").expect("a free port can be bound"), dir)
        });
        let current = Self::spawn(program, &config, shared.as_ref());
        Controller { program: program.to_owned(), config, shared, current, replaced: Vec::new() }
    }

    fn spawn(program: &Path, config: &str, shared: Option<&(TcpListener, PathBuf)>) -> Daemon {
        match shared {
            Some((socket, dir)) => Daemon::start_on_socket(program, config, socket, dir),
            None => Daemon::start(program, config),
        }
    }

    fn addr(&self) -> SocketAddr {
        self.current.wait_for_address()
    }

    /// Starts another process, and signals the current one to stop once that serves.
    fn replace(&mut self, deadline: Duration) {
        let new = Self::spawn(&self.program, &self.config, self.shared.as_ref());
        new.wait_for_address();
        let mut old = std::mem::replace(&mut self.current, new);
        let kill_at = Instant::now() + deadline.min(MAX_REPLACED_STOP_DEADLINE) + KILL_DELAY;
        old.signal("TERM");
        self.replaced.push(std::thread::spawn(move || (old.wait_or_kill(kill_at), old.log())));
    }

    /// Signals the current process to stop, and waits until all processes have ended. Returns whether all of them
    /// exited with status 0 in time.
    fn stop(&mut self, plan: &Plan) -> bool {
        let kill_at = Instant::now() + plan.deadline.min(MAX_STOP_DEADLINE) + KILL_DELAY;
        self.current.signal("TERM");
        if plan.has_extra_stop_signals {
            for signal in ["HUP", "TERM", "HUP"] {
                std::thread::sleep(Duration::from_millis(40));
                self.current.signal(signal);
            }
        }
        self.current.wait_or_kill(kill_at)
    }

    /// The logs of all processes, oldest first, and whether the replaced ones ended well.
    fn finish(self) -> (bool, Vec<String>) {
        let (mut all_ended_well, mut log) = (true, Vec::new());
        for replaced in self.replaced {
            let (ended_well, lines) = replaced.join().expect("the thread did not panic");
            all_ended_well &= ended_well;
            log.extend(lines);
        }
        log.extend(self.current.log());
        if let Some((_, dir)) = &self.shared {
            let _ = std::fs::remove_dir_all(dir);
        }
        (all_ended_well, log)
    }
}

/// The controller and the fake peers of a trial, which its faults are injected into.
struct Testbed {
    exchanges: Vec<FaultyExchange>,
    was_reset: Vec<bool>,
    journal: FaultyJournal,
    controller: Controller,
    deadline: Duration,
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
            Fault::LoseReleases(i) => self.exchanges[i].lose_releases(MAX_LOST_RELEASES),
            Fault::ReplaceController => self.controller.replace(self.deadline),
            Fault::Drain(i) => {
                let server = server_json(i + 1, "terminating", self.exchanges[i].addr);
                self.journal.add_event(event_json(self.journal.next_position(), false, &[server]));
            }
            Fault::JournalDown => self.journal.set_health(Health::Down),
            Fault::JournalSilent => self.journal.set_health(Health::Silent),
            Fault::JournalUp => self.journal.set_health(Health::Up),
            Fault::Reload => self.controller.current.signal("HUP"),
        }
    }
}

/// Runs the trial of a seed with the daemon's executable at a path.
pub fn run(scenario: Scenario, seed: u64, program: &Path) -> Outcome {
    let plan = Plan::draw(scenario, seed);
    let exchanges: Vec<_> = plan
        .exchange_behaviors
        .iter()
        .zip(0..)
        .map(|(b, n)| FaultyExchange::start(*b, seed ^ n))
        .collect();
    let journal = FaultyJournal::start();
    let mut servers = vec![server_json(0, "in_service", exchanges[0].addr)];
    servers.extend((0..EXCHANGE_COUNT).map(|i| server_json(i + 1, "in_service", exchanges[i].addr)));
    let config = config_json(journal.addr, &servers, plan.max_descriptors, plan.deadline);
    let controller = Controller::start(program, config, plan.has_replacements());
    let addr = controller.addr();
    let (was_reset, deadline) = (vec![false; EXCHANGE_COUNT], plan.deadline);
    let mut testbed = Testbed { exchanges, was_reset, journal, controller, deadline };
    let (started_at, stop_load) = (Instant::now(), AtomicBool::new(false));
    let idle_connections: Vec<_> =
        (0..plan.idle_connection_count).filter_map(|_| TcpStream::connect(addr).ok()).collect();
    let (callers, stop_signalled_at, ended_at, ended_well) = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..plan.caller_count as u64)
            .map(|number| {
                scope.spawn({
                    let stop_load = &stop_load;
                    let (host, leaves) = (plan.caller_host(number), plan.has_several_hosts);
                    move || LoadGenerator { addr, number, seed, deadline, host, leaves }.run(stop_load)
                })
            })
            .collect();
        for (at, fault) in plan.faults.iter().filter(|(at, _)| *at < plan.stop_at) {
            std::thread::sleep((started_at + *at).saturating_duration_since(Instant::now()));
            testbed.inject(*fault);
        }
        std::thread::sleep((started_at + plan.stop_at).saturating_duration_since(Instant::now()));
        let ended_early = testbed.controller.current.poll_exit().is_some();
        let stop_signalled_at = Instant::now();
        let ended_well = testbed.controller.stop(&plan) && !ended_early;
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
    let (replaced_ended_well, log) = testbed.controller.finish();
    if !ended_well || !replaced_ended_well {
        let description = "did not exit with status 0 between the signal and the kill".to_owned();
        violations.push(Violation { tag: "controller".to_owned(), description });
    }
    Outcome { plan, violations, counts, log }
}
