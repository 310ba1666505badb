//! The daemon as a process, with its configuration and its log.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const STARTS_WITHIN: Duration = Duration::from_secs(10);

/// A line of the list of exchanges.
pub fn server(cell: usize, state: &str, addr: SocketAddr) -> String {
    format!(
        r#"{{"id":"s-{cell}","addr":"{addr}","zone":"east","kind":"std","cell":{cell},"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

/// An event of the journal service.
pub fn event(pos: usize, full: bool, servers: &[String]) -> String {
    let servers = servers.join(",");
    format!(r#"{{"pos":{pos},"hosts":{{"version":{pos},"full":{full},"servers":[{servers}]}}}}"#)
}

/// The configuration of a controller of exchange 0 with one class of calls.
pub fn config(journal: SocketAddr, servers: &[String], descriptors: u32, deadline: Duration) -> String {
    let (known, deadline) = (event(1, true, servers), deadline.as_millis());
    let aim = deadline.min(1500);
    let settings = format!(
        r#"{{"allowed":{{"dial_timeout_ms":500.0,"max_retry_after_ms":2000.0,"retry_after":true,"try_limit":5}},"discovery":"pushed","over_share_worth":0.1,"position":0,"report":{{"fields":["spare","total"],"how":"piggyback"}},"rules":{{"cold_from":0.35,"cold_ms":14000.0,"drain_grace_ms":500.0,"fall_ms":1000.0,"fall_multiple":4.0}},"services":[{{"deadline_ms":{deadline}.0,"group":"all","late_worth":0.25,"name":"voice","points":1.0,"promise_ms":{aim}.0,"semantics":"pure","window_ms":5000.0}}],"siblings":3,"specifics":{{"allowed_pools":[],"clear_wait_ms":500.0,"here":0,"layout":"meshed","mean_hold_ms":[11100.0],"resend_ms":0.0}},"tenants":[],"tick_ms":5.0,"zones":["east"]}}"#
    );
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":32,"sockets":{descriptors}}},"journal":"{journal}","known":{{"pos":1,"entries":[{known}]}},"settings":{settings}}}"#
    )
}

/// A running daemon, ended with the trial.
pub struct Daemon {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    dir: PathBuf,
}

impl Daemon {
    /// Starts the program on a configuration.
    pub fn start(program: &Path, config: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("slateshed-trial-{}-{next}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let file = dir.join("config.json");
        std::fs::write(&file, config).expect("a file");
        let mut command = Command::new(program);
        command.env_clear().env("ROUTER_CONFIG", &file).env("TMPDIR", &dir);
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, errors) = (Arc::clone(&log), child.stderr.take().expect("a pipe"));
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                lines.lock().expect("no panic").push(line);
            }
        });
        Daemon { child, log, dir }
    }

    /// Where clients connect, once it listens.
    pub fn listens(&self) -> SocketAddr {
        let begun = Instant::now();
        while begun.elapsed() < STARTS_WITHIN {
            let words = "n0 started: listening on ";
            let found = self.log().iter().find_map(|l| l.split_once(words).map(|(_, a)| a.to_owned()));
            if let Some(addr) = found {
                return addr.parse().expect("an address");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("not started: {:#?}", self.log());
    }

    /// The log so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("no panic").clone()
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        kill.args([format!("-{name}"), self.child.id().to_string()]).stderr(Stdio::null());
        // One that has ended by itself can't be signalled.
        let _ = kill.status();
    }

    /// Whether it has ended, and if so whether with 0.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().expect("a child").map(|status| status.success())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
