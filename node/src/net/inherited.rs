//! Socket activation: the platform owns the listening socket and passes it to the process, so that a process
//! can be replaced while clients keep connecting.

use super::handover::{HandoverReader, HandoverWriter, ProcessIdentity};
use listenfd::ListenFd;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// Takes the listening socket from an inherited descriptor; fails if the descriptor is not a listening
/// socket. Call this once, before any threads are started, because it sets environment variables.
pub fn listener(descriptor: u16) -> io::Result<TcpListener> {
    // The platform passes the descriptor in a variable of its own, and `listenfd` reads the systemd variables.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    let listener = ListenFd::from_env().take_tcp_listener(0)?;
    let listener =
        listener.ok_or_else(|| io::Error::other("no listening socket was passed to this process"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// A file with the id of the process that serves on an inherited socket. It tells the previous process that
/// it has been replaced: both processes use the same directory for temporary files.
#[derive(Debug)]
pub struct PidFile {
    path: PathBuf,
    /// The process that this one replaces, if one was running.
    predecessor: Option<ProcessIdentity>,
}

impl PidFile {
    /// Writes the id of this process to the file, which replaces the id of the previous process.
    pub fn claim(directory: &Path, listen: SocketAddr) -> io::Result<Self> {
        let name = format!("slateshed-{listen}.pid").replace(':', "-");
        let mut pid_file = PidFile { path: directory.join(name), predecessor: None };
        pid_file.predecessor = pid_file.other_running_process();
        if let Some(predecessor) = pid_file.predecessor {
            // A process of that id may have left a file behind. The predecessor writes its own only once it is
            // replaced.
            let _ = std::fs::remove_file(pid_file.handover_path(predecessor.id));
            let _ = std::fs::remove_file(pid_file.return_path(predecessor.id));
        }
        let this_process = ProcessIdentity::of_running(std::process::id());
        let this_process = this_process.ok_or_else(|| io::Error::other("/proc is not readable"))?;
        std::fs::write(pid_file.identity_path(), this_process.to_string())?;
        // This is written last, as it tells the previous process that it is replaced.
        std::fs::write(&pid_file.path, this_process.id.to_string())?;
        Ok(pid_file)
    }

    /// Whether another live process has replaced this one.
    pub fn is_taken_over(&self) -> bool {
        self.other_running_process().is_some()
    }

    /// Opens the handover to the process that replaces this one.
    pub fn handover_writer(&self) -> io::Result<HandoverWriter> {
        HandoverWriter::open(self.handover_path(std::process::id()))
    }

    /// The handover from the process that this one replaces, if there is one.
    pub fn handover_reader(&self) -> Option<HandoverReader> {
        self.predecessor.map(|p| HandoverReader::new(self.handover_path(p.id), p))
    }

    /// The file in which releases are returned to the process that this one replaces, if there is one.
    pub fn return_writer(&self) -> Option<io::Result<HandoverWriter>> {
        self.predecessor.map(|p| HandoverWriter::open(self.return_path(p.id)))
    }

    /// The releases that the process that replaces this one returns.
    pub fn return_reader(&self) -> Option<HandoverReader> {
        let successor = self.other_running_process()?;
        Some(HandoverReader::new(self.return_path(std::process::id()), successor))
    }

    /// The process in the file, if it is another one and is running.
    fn other_running_process(&self) -> Option<ProcessIdentity> {
        let id = std::fs::read_to_string(&self.path).ok()?.parse::<u32>().ok()?;
        let identity = std::fs::read_to_string(self.identity_path()).ok();
        let written = identity.and_then(|text| ProcessIdentity::parse(&text)).filter(|p| p.id == id);
        // Earlier versions write no identity.
        let process = written.or_else(|| ProcessIdentity::of_running(id))?;
        Some(process).filter(|p| p.id != std::process::id() && p.is_running())
    }

    /// The file with the identity of the process, beside the one with its id.
    fn identity_path(&self) -> PathBuf {
        self.path.with_extension("identity")
    }

    /// The file in which a process hands over its calls.
    fn handover_path(&self, process_id: u32) -> PathBuf {
        self.path.with_extension(format!("{process_id}.handover"))
    }

    /// The file in which releases are returned to a process that is replaced.
    fn return_path(&self, process_id: u32) -> PathBuf {
        self.path.with_extension(format!("{process_id}.return"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a process that is taken for the one that had its id before: this one would wait for its handover,
    /// or leave the clients to it.
    #[test]
    fn process_that_was_given_the_id_of_an_earlier_one_is_no_predecessor() {
        let directory = std::env::temp_dir().join(format!("slateshed-pid-test-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the folder is created");
        let listen = SocketAddr::from(([127, 0, 0, 1], 1));
        let pid_file = PidFile::claim(&directory, listen).expect("the file is written");
        // The parent of this process is running, but was not started at this time.
        let parent = std::os::unix::process::parent_id();
        std::fs::write(&pid_file.path, parent.to_string()).expect("the file is written");
        assert!(pid_file.is_taken_over(), "an earlier version writes no identity");
        std::fs::write(pid_file.identity_path(), format!("{parent} 1")).expect("the file is written");
        assert!(!pid_file.is_taken_over());
        let claimed = PidFile::claim(&directory, listen).expect("the file is written");
        assert!(claimed.handover_reader().is_none() && claimed.return_writer().is_none());
        std::fs::remove_dir_all(&directory).expect("the folder is removed");
    }
}
