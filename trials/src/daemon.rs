//! Runs the daemon as a child process: writes its configuration, sends it signals and reads its log.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// An entry of the list of exchanges, as JSON.
pub fn server_json(cell: usize, state: &str, addr: SocketAddr) -> String {
    format!(
        r#"{{"id":"s-{cell}","addr":"{addr}","zone":"east","kind":"std","cell":{cell},"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

/// An event of the journal service that carries list entries, as JSON. `full` marks it as the whole list.
pub fn event_json(pos: usize, full: bool, servers: &[String]) -> String {
    let servers = servers.join(",");
    format!(r#"{{"pos":{pos},"hosts":{{"version":{pos},"full":{full},"servers":[{servers}]}}}}"#)
}

/// The configuration, as JSON, of a controller in cell 0 with one class of calls.
pub fn config_json(
    journal_addr: SocketAddr,
    servers: &[String],
    max_descriptors: u32,
    deadline: Duration,
) -> String {
    let (known_event, deadline_ms) = (event_json(1, true, servers), deadline.as_millis());
    let target_delay_ms = deadline_ms.min(1500);
    let settings = format!(
        r#"{{"allowed":{{"dial_timeout_ms":500.0,"max_retry_after_ms":2000.0,"retry_after":true,"try_limit":5}},"discovery":"pushed","over_share_worth":0.1,"position":0,"report":{{"fields":["spare","total"],"how":"piggyback"}},"rules":{{"cold_from":0.35,"cold_ms":14000.0,"drain_grace_ms":500.0,"fall_ms":1000.0,"fall_multiple":4.0}},"services":[{{"deadline_ms":{deadline_ms}.0,"group":"all","late_worth":0.25,"name":"voice","points":1.0,"promise_ms":{target_delay_ms}.0,"semantics":"pure","window_ms":5000.0}}],"siblings":3,"specifics":{{"allowed_pools":[],"clear_wait_ms":500.0,"here":0,"layout":"meshed","mean_hold_ms":[11100.0],"resend_ms":0.0}},"tenants":[],"tick_ms":5.0,"zones":["east"]}}"#
    );
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":32,"sockets":{max_descriptors}}},"journal":"{journal_addr}","known":{{"pos":1,"entries":[{known_event}]}},"settings":{settings}}}"#
    )
}

/// A running daemon. It is killed when this is dropped.
pub struct Daemon {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    temp_dir: PathBuf,
}

impl Daemon {
    /// Starts the program at a path with a configuration.
    pub fn start(program: &Path, config: &str) -> Self {
        let mut command = Command::new(program);
        command.stdin(Stdio::null());
        Self::spawn(command, config, None)
    }

    /// Starts the program on a listening socket for clients that it inherits. Processes that replace each other share
    /// the directory for temporary files.
    pub fn start_on_socket(
        program: &Path,
        config: &str,
        socket: &TcpListener,
        shared_dir: &Path,
    ) -> Self {
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec 7<&0 </dev/null; export ROUTER_SOCKET_FD=7; exec \"$0\""])
            .arg(program);
        command.stdin(OwnedFd::from(socket.try_clone().expect("the socket can be cloned")));
        Self::spawn(command, config, Some(shared_dir))
    }

    fn spawn(mut command: Command, config: &str, shared_dir: Option<&Path>) -> Self {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let temp_dir =
            std::env::temp_dir().join(format!("slateshed-trial-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&temp_dir).expect("the temporary directory can be created");
        let file = temp_dir.join("config.json");
        std::fs::write(&file, config).expect("the configuration file can be written");
        command.env_clear().env("ROUTER_CONFIG", &file).env("TMPDIR", shared_dir.unwrap_or(&temp_dir));
        command.stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program can be started");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (thread_log, stderr) = (Arc::clone(&log), child.stderr.take().expect("stderr is piped"));
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                thread_log.lock().expect("no thread panicked while holding the lock").push(line);
            }
        });
        Daemon { child, log, temp_dir }
    }

    /// Waits until the daemon listens, and returns the address that clients connect to.
    pub fn wait_for_address(&self) -> SocketAddr {
        let started_waiting = Instant::now();
        while started_waiting.elapsed() < START_TIMEOUT {
            let log_text = "n0 started: listening on ";
            let found =
                self.log().iter().find_map(|l| l.split_once(log_text).map(|(_, a)| a.to_owned()));
            if let Some(addr) = found {
                return addr.parse().expect("the log line ends with an address");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the daemon did not log its address in time; its log: {:#?}", self.log());
    }

    /// The lines that the daemon has logged so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("no thread panicked while holding the lock").clone()
    }

    /// Sends a signal to the daemon. The name has no `SIG`, as in `TERM`.
    pub fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        kill.args([format!("-{name}"), self.child.id().to_string()]).stderr(Stdio::null());
        // The command fails if the daemon has ended by itself.
        let _ = kill.status();
    }

    /// Waits until the daemon has ended, or kills it at a time. Returns whether it exited with status 0 before that.
    pub fn wait_or_kill(&mut self, kill_at: Instant) -> bool {
        while Instant::now() < kill_at {
            if let Some(succeeded) = self.poll_exit() {
                return succeeded;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.signal("KILL");
        false
    }

    /// Returns whether the daemon exited with status 0, or `None` while it runs.
    pub fn poll_exit(&mut self) -> Option<bool> {
        self.child.try_wait().expect("the child can be waited for").map(|status| status.success())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.temp_dir);
    }
}
