//! One trial: the plan of a seed, played against the daemon.

use crate::daemon::{config, event, server, Daemon};
use crate::exchange::FaultyExchange;
use crate::journal::{Health, Journal};
use crate::load::Load;
use crate::plan::{Fault, Plan, EXCHANGES};
use crate::rules::{Breach, Counts, Evidence, Witness};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The longest deadline as it counts for the kill.
const MOST_DEADLINE: Duration = Duration::from_secs(3);
/// The controller is killed this much after the longest deadline.
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// Answers that are on their way at the end are waited for.
const SETTLE: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(2);

/// What a trial has come to.
#[derive(Debug)]
pub struct Outcome {
    /// The plan.
    pub plan: Plan,
    /// The rules that were broken.
    pub breaches: Vec<Breach>,
    /// Figures.
    pub counts: Counts,
    /// The daemon's log.
    pub log: Vec<String>,
}

struct Stage {
    exchanges: Vec<FaultyExchange>,
    was_reset: Vec<bool>,
    journal: Journal,
    daemon: Daemon,
}

impl Stage {
    fn inflict(&mut self, fault: Fault) {
        match fault {
            Fault::Vanish(i) => self.exchanges[i].vanish(),
            Fault::Replace(i) => self.exchanges[i].replace(),
            Fault::CutOff(i) => self.exchanges[i].cut_off(),
            Fault::Hang(i) => self.exchanges[i].hang(),
            Fault::GoOn(i) => self.exchanges[i].reconnect(),
            Fault::Crash(i) => self.exchanges[i].crash(),
            Fault::Restart(i) => self.exchanges[i].restart(),
            Fault::Reset(i) => {
                self.was_reset[i] = true;
                self.exchanges[i].reset_connections();
            }
            Fault::Drain(i) => {
                let line = server(i + 1, "terminating", self.exchanges[i].addr);
                self.journal.add(event(self.journal.next_event(), false, &[line]));
            }
            Fault::JournalDown => self.journal.set(Health::Down),
            Fault::JournalSilent => self.journal.set(Health::Silent),
            Fault::JournalUp => self.journal.set(Health::Up),
            Fault::Reload => self.daemon.signal("HUP"),
        }
    }

    /// Asks for a planned stop and waits for its end, or for the kill; whether it ended well and in time.
    fn stop(&mut self, plan: &Plan) -> bool {
        let killed = Instant::now() + plan.deadline.min(MOST_DEADLINE) + KILLED_AFTER;
        self.daemon.signal("TERM");
        if plan.signals_in_series {
            for signal in ["HUP", "TERM", "HUP"] {
                std::thread::sleep(Duration::from_millis(40));
                self.daemon.signal(signal);
            }
        }
        while Instant::now() < killed {
            if let Some(well) = self.daemon.ended() {
                return well;
            }
            std::thread::sleep(STEP);
        }
        self.daemon.signal("KILL");
        false
    }
}

/// Plays the plan of a seed with the program at a path.
pub fn run(seed: u64, program: &Path) -> Outcome {
    let plan = Plan::draw(seed);
    let exchanges: Vec<_> =
        plan.manners.iter().zip(0..).map(|(m, n)| FaultyExchange::start(*m, seed ^ n)).collect();
    let journal = Journal::start();
    let mut servers = vec![server(0, "in_service", exchanges[0].addr)];
    servers.extend((0..EXCHANGES).map(|i| server(i + 1, "in_service", exchanges[i].addr)));
    let daemon =
        Daemon::start(program, &config(journal.addr, &servers, plan.descriptors, plan.deadline));
    let addr = daemon.listens();
    let mut stage = Stage { exchanges, was_reset: vec![false; EXCHANGES], journal, daemon };
    let (begun, over) = (Instant::now(), AtomicBool::new(false));
    let crowd: Vec<_> = (0..plan.crowd).filter_map(|_| TcpStream::connect(addr).ok()).collect();
    let deadline = plan.deadline;
    let (histories, stopped, ended, ended_well) = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..plan.callers as u64)
            .map(|number| {
                scope.spawn({
                    let over = &over;
                    move || Load { addr, number, seed, deadline }.run(over)
                })
            })
            .collect();
        for (at, fault) in plan.faults.iter().filter(|(at, _)| *at < plan.stop_at) {
            std::thread::sleep((begun + *at).saturating_duration_since(Instant::now()));
            stage.inflict(*fault);
        }
        std::thread::sleep((begun + plan.stop_at).saturating_duration_since(Instant::now()));
        let ended_early = stage.daemon.ended().is_some();
        let stopped = Instant::now();
        let ended_well = stage.stop(&plan) && !ended_early;
        let ended = Instant::now();
        std::thread::sleep(SETTLE);
        over.store(true, Ordering::Relaxed);
        let histories = callers.into_iter().map(|c| c.join().expect("no panic")).collect();
        (histories, stopped, ended, ended_well)
    });
    drop(crowd);
    let witnesses = stage.exchanges.iter().zip(&stage.was_reset);
    let witnesses = witnesses
        .map(|(e, r)| Witness {
            port: e.addr.port(),
            calls: e.calls(),
            outages: e.outages(),
            was_reset: *r,
        })
        .collect();
    let evidence = Evidence { histories, witnesses, stopped, ended, begun };
    let (mut breaches, counts) = evidence.check();
    if !ended_well {
        let what = "did not end with 0 between the signal and the kill".to_owned();
        breaches.push(Breach { tag: "controller".to_owned(), what });
    }
    Outcome { plan, breaches, counts, log: stage.daemon.log() }
}
