//! Socket activation: the platform owns the listening socket and passes it to the process, so that a process
//! can be replaced while clients keep connecting.

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
}

impl PidFile {
    /// Writes the id of this process to the file, which replaces the id of the previous process.
    pub fn claim(directory: &Path, listen: SocketAddr) -> io::Result<Self> {
        let name = format!("slateshed-{listen}.pid").replace(':', "-");
        let pid_file = PidFile { path: directory.join(name) };
        std::fs::write(&pid_file.path, std::process::id().to_string())?;
        Ok(pid_file)
    }

    /// Whether another live process has replaced this one.
    pub fn is_taken_over(&self) -> bool {
        let pid = std::fs::read_to_string(&self.path).ok().and_then(|text| text.parse::<u32>().ok());
        pid.is_some_and(|p| p != std::process::id() && Path::new(&format!("/proc/{p}")).exists())
    }
}
