//! What a daemon is started with: a stub journal service, the exchanges of its list, and its configuration.

use super::{
    bind_listener, config_json, two_servers, with_admin_addr, with_four_connections, Daemon, LinePeer,
    StubJournal, SIP_FRONT_FILE,
};
use std::net::{SocketAddr, TcpListener};

/// The surroundings of the processes that a test starts. They last for as long as this value.
pub struct TestSite {
    /// The listener of the exchanges that are reached over lines.
    pub listener: TcpListener,
    /// The journal service.
    pub journal: StubJournal,
    config: String,
    operator_file: Option<String>,
}

impl TestSite {
    /// The own exchange and exchange 1 are reached over lines, at the address of the listener.
    pub fn new() -> Self {
        let (listener, addr) = bind_listener();
        Self::with_servers(listener, &two_servers(addr))
    }

    /// The exchanges of a list.
    pub fn with_servers(listener: TcpListener, servers: &[String]) -> Self {
        let journal = StubJournal::new();
        let config = config_json(journal.addr, servers);
        TestSite { listener, journal, config, operator_file: None }
    }

    /// Adds a SIP front over both transports, whose numbers that begin with 21 belong to exchange 1.
    pub fn with_sip_front(self) -> Self {
        self.with_operator_file(SIP_FRONT_FILE.to_owned())
    }

    /// Adds an operator's file.
    pub fn with_operator_file(mut self, contents: String) -> Self {
        self.operator_file = Some(contents);
        self
    }

    /// Adds a listening address for operators.
    pub fn with_admin_addr(self) -> Self {
        self.with_config(with_admin_addr)
    }

    /// Raises the limit of descriptors so that the daemon opens four connections to each exchange.
    pub fn with_four_connections(self) -> Self {
        self.with_config(with_four_connections)
    }

    /// Sets the address that the daemon listens on.
    pub fn with_listen_addr(self, addr: SocketAddr) -> Self {
        let listen = format!("\"listen\":\"{addr}\"");
        self.with_config(|config| config.replace("\"listen\":\"127.0.0.1:0\"", &listen))
    }

    /// Edits the configuration.
    pub fn with_config(mut self, edit: impl FnOnce(&str) -> String) -> Self {
        self.config = edit(&self.config);
        self
    }

    /// Starts a process.
    pub fn start(&self) -> Daemon {
        Daemon::start(&self.config, self.operator_file.as_deref())
    }

    /// Starts a process on an inherited listening socket, without a SIP front.
    pub fn start_on(&self, socket: &TcpListener) -> Daemon {
        Daemon::start_with_socket(&self.config, socket)
    }

    /// Starts a process and accepts its connection to the exchange.
    pub fn start_with_exchange(&self) -> (Daemon, LinePeer) {
        (self.start(), self.accept_exchange())
    }

    /// Waits for the connection of a process to the exchange.
    pub fn accept_exchange(&self) -> LinePeer {
        LinePeer::accept(&self.listener)
    }
}
