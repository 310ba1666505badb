//! The listening socket that the platform holds and hands down, so that a process can be replaced while the clients'
//! connections go on arriving.

use listenfd::ListenFd;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// Takes over the listening socket under a descriptor, if it is one. To be called once, before there are threads.
pub fn listener(descriptor: u16) -> io::Result<TcpListener> {
    // The platform has a variable of its own for what the common convention calls these.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    let listener = ListenFd::from_env().take_tcp_listener(0)?;
    let listener = listener.ok_or_else(|| io::Error::other("no descriptor was handed down"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Which process serves on a socket that is handed down, for the process that it replaces: both share the folder for
/// temporary files.
#[derive(Debug)]
pub struct Serving {
    file: PathBuf,
}

impl Serving {
    /// Takes over from whichever process served before.
    pub fn take_over(folder: &Path, listen: SocketAddr) -> io::Result<Self> {
        let name = format!("slateshed-{listen}.pid").replace(':', "-");
        let serving = Serving { file: folder.join(name) };
        std::fs::write(&serving.file, std::process::id().to_string())?;
        Ok(serving)
    }

    /// Whether another process serves in the place of this one. One that has died does not.
    pub fn is_taken_over(&self) -> bool {
        let pid = std::fs::read_to_string(&self.file).ok().and_then(|text| text.parse::<u32>().ok());
        pid.is_some_and(|p| p != std::process::id() && Path::new(&format!("/proc/{p}")).exists())
    }
}
