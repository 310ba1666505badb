//! The operators' interface: each connection carries one command line, which is answered at once.

use super::conn::Conn;
use super::{Context, SourceKind, TimerEvent, ACCEPT_BATCH, MESSAGE_TIMEOUT};
use crate::arena::{Arena, Token};
use crate::config::Limits;
use crate::end::EndReason;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

/// Delay before accepting again after an accept error, such as a lack of descriptors, when no connection can
/// be closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Reports whether the process is stopping. A draining process answers like one in service.
    Health,
    /// Reports the statistics.
    Dump,
    /// Starts a drain.
    Leave,
    /// Ends a drain.
    Join,
}

impl OperatorCommand {
    fn read(line: &[u8]) -> Option<Self> {
        match line.trim_ascii() {
            b"HEALTH" => Some(OperatorCommand::Health),
            b"DUMP" => Some(OperatorCommand::Dump),
            b"LEAVE" => Some(OperatorCommand::Leave),
            b"JOIN" => Some(OperatorCommand::Join),
            _ => None,
        }
    }
}

/// One operator connection.
struct Operator {
    conn: Conn,
    accepted_at: Duration,
    answered: bool,
}

/// The listener for operators and its connections.
pub struct Operators {
    listener: TcpListener,
    limits: Limits,
    conns: Arena<Operator>,
    /// Whether more connections may be pending on the listener after the last iteration.
    unaccepted: bool,
}

impl Operators {
    /// Binds the listener and registers it.
    pub fn bind(addr: SocketAddr, limits: Limits, registry: &Registry) -> io::Result<Self> {
        let mut listener = TcpListener::bind(addr)?;
        let token = SourceKind::OperatorListener.token(Token::from_bits(0));
        registry.register(&mut listener, token, Interest::READABLE)?;
        Ok(Operators { listener, limits, conns: Arena::default(), unaccepted: false })
    }

    /// The address of the listener.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Whether connections may be pending, left over from the last iteration.
    pub fn has_unread(&self) -> bool {
        self.unaccepted
    }

    /// Accepts the connections left over from the last iteration.
    pub fn continue_accepting(&mut self, cx: &mut Context) {
        if std::mem::take(&mut self.unaccepted) {
            self.accept(cx);
        }
    }

    /// Accepts pending connections. If there is no room, a connection is closed: answered ones first, then
    /// the oldest, because no operator needs a connection for long.
    pub fn accept(&mut self, cx: &mut Context) {
        for _ in 0..ACCEPT_BATCH {
            match self.listener.accept() {
                Ok((stream, _)) => self.add(stream, cx),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    cx.log.line(cx.now, "operator-accept-failed", e);
                    if !self.evict_connection(cx) {
                        cx.timers.schedule(cx.now + ACCEPT_RETRY_DELAY, TimerEvent::OperatorAccept);
                        return;
                    }
                }
            }
        }
        self.unaccepted = true;
    }

    fn evict_connection(&mut self, cx: &mut Context) -> bool {
        let oldest = self.conns.iter().min_by_key(|(_, o)| (!o.answered, o.accepted_at));
        let oldest = oldest.map(|(token, _)| token);
        oldest.is_some_and(|token| self.end(token, cx))
    }

    fn add(&mut self, mut stream: TcpStream, cx: &mut Context) {
        if self.conns.len() >= self.limits.max_operators() {
            self.evict_connection(cx);
        }
        let (registry, buffer_limits, accepted_at) =
            (cx.registry, self.limits.operator_buffer_limits(), cx.now);
        let mut registered = Ok(());
        let token = self.conns.insert_with(|token| {
            let interests = Interest::READABLE | Interest::WRITABLE;
            registered = registry.register(&mut stream, SourceKind::Operator.token(token), interests);
            Operator { conn: Conn::new(stream, buffer_limits, true), accepted_at, answered: false }
        });
        match registered {
            Ok(()) => {
                cx.timers.schedule(accepted_at + MESSAGE_TIMEOUT, TimerEvent::OperatorTimeout(token))
            }
            Err(_) => drop(self.conns.remove(token)),
        }
    }

    /// Handles the timeout of a connection: ends it, because a command and its answer take less time.
    pub fn timeout_due(&mut self, token: Token, cx: &mut Context) {
        self.end(token, cx);
    }

    fn end(&mut self, token: Token, cx: &mut Context) -> bool {
        let ended = self.conns.remove(token);
        ended.map(|mut o| cx.registry.deregister(&mut o.conn.stream)).is_some()
    }

    /// Handles an event on a connection, readable or writable, and returns the command once it is complete.
    pub fn ready(&mut self, token: Token, cx: &mut Context) -> Option<OperatorCommand> {
        match self.read(token) {
            Ok(command) => command,
            Err(_) => {
                self.end(token, cx);
                None
            }
        }
    }

    fn read(&mut self, token: Token) -> Result<Option<OperatorCommand>, EndReason> {
        let Some(operator) = self.conns.get_mut(token) else {
            return Ok(None);
        };
        operator.conn.flush()?;
        operator.shutdown_if_answered()?;
        let read = operator.conn.read_chunk();
        if operator.answered {
            // Discard further input until the peer closes the connection.
            operator.conn.receive_buffer().clear();
            return read.map(|_| None);
        }
        let Some(line) = operator.conn.next_line()? else {
            return read.map(|_| None);
        };
        match OperatorCommand::read(&line) {
            Some(command) => Ok(Some(command)),
            None => {
                operator.answer("error unknown call\n")?;
                Ok(None)
            }
        }
    }

    /// Sends the answer to a command and shuts down the send direction.
    pub fn answer(&mut self, token: Token, text: &str, cx: &mut Context) {
        if self.conns.get_mut(token).is_some_and(|o| o.answer(text).is_err()) {
            self.end(token, cx);
        }
    }

    /// Whether the send buffers of all operators are empty.
    pub fn is_flushed(&self) -> bool {
        self.conns.iter().all(|(_, o)| o.conn.is_flushed())
    }
}

impl Operator {
    fn answer(&mut self, text: &str) -> Result<(), EndReason> {
        self.answered = true;
        self.conn.send(text.as_bytes())?;
        self.shutdown_if_answered()
    }

    /// Shuts down the send direction once the answer is written. The peer then closes the connection. If this
    /// side closed it first, it could be reset before the peer reads the answer.
    fn shutdown_if_answered(&mut self) -> Result<(), EndReason> {
        if self.answered && self.conn.is_flushed() {
            self.conn.stream.shutdown(Shutdown::Write).map_err(|_| EndReason::ConnectionBroken)?;
        }
        Ok(())
    }
}
