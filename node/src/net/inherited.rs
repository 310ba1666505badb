//! The listening socket that the platform holds and hands down, so that a process can be replaced while the clients'
//! connections go on arriving.

use listenfd::ListenFd;
use std::io;
use std::net::TcpListener;

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
