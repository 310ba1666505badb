//! Where operators call: one line a connection, answered at once.

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

/// Wait before accepting again when there is no descriptor.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What an operator may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether the process takes clients.
    Health,
    /// The figures.
    Dump,
    /// Drain: no new work.
    Leave,
    /// Back to work.
    Join,
}

impl Call {
    fn read(line: &[u8]) -> Option<Self> {
        match line.trim_ascii() {
            b"HEALTH" => Some(Call::Health),
            b"DUMP" => Some(Call::Dump),
            b"LEAVE" => Some(Call::Leave),
            b"JOIN" => Some(Call::Join),
            _ => None,
        }
    }
}

struct Operator {
    conn: Conn,
    since: Duration,
    answered: bool,
}

/// The second address to listen on, and the connections there.
pub struct Operators {
    listener: TcpListener,
    limits: Limits,
    conns: Arena<Operator>,
    /// More may wait to be accepted than one turn allows.
    unaccepted: bool,
}

impl Operators {
    /// Listens.
    pub fn bind(addr: SocketAddr, limits: Limits, registry: &Registry) -> io::Result<Self> {
        let mut listener = TcpListener::bind(addr)?;
        let token = SourceKind::OperatorListener.token(Token::from_bits(0));
        registry.register(&mut listener, token, Interest::READABLE)?;
        Ok(Operators { listener, limits, conns: Arena::default(), unaccepted: false })
    }

    /// Where it listens.
    pub fn listens(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Whether more wait to be accepted than the last turn allowed.
    pub fn has_unread(&self) -> bool {
        self.unaccepted
    }

    /// Accepts on where the last turn left off.
    pub fn read_on(&mut self, cx: &mut Context) {
        if std::mem::take(&mut self.unaccepted) {
            self.accept(cx);
        }
    }

    /// Accepts those that wait. Whoever was there longest makes way: nobody who asks stays for long.
    pub fn accept(&mut self, cx: &mut Context) {
        for _ in 0..ACCEPT_BATCH {
            match self.listener.accept() {
                Ok((stream, _)) => self.add(stream, cx),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    cx.log.line(cx.now, "operator-accept-failed", e);
                    if !self.make_way(cx) {
                        cx.timers.schedule(cx.now + ACCEPT_AGAIN, TimerEvent::OperatorAccept);
                        return;
                    }
                }
            }
        }
        self.unaccepted = true;
    }

    fn make_way(&mut self, cx: &mut Context) -> bool {
        let oldest = self.conns.iter().min_by_key(|(_, o)| (!o.answered, o.since));
        let oldest = oldest.map(|(token, _)| token);
        oldest.is_some_and(|token| self.end(token, cx))
    }

    fn add(&mut self, mut stream: TcpStream, cx: &mut Context) {
        if self.conns.len() >= self.limits.operators() {
            self.make_way(cx);
        }
        let (registry, bounds, since) = (cx.registry, self.limits.operator_buffer_limits(), cx.now);
        let mut registered = Ok(());
        let token = self.conns.insert_with(|token| {
            let both = Interest::READABLE | Interest::WRITABLE;
            registered = registry.register(&mut stream, SourceKind::Operator.token(token), both);
            Operator { conn: Conn::new(stream, bounds, true), since, answered: false }
        });
        match registered {
            Ok(()) => cx.timers.schedule(since + MESSAGE_TIMEOUT, TimerEvent::Operator(token)),
            Err(_) => drop(self.conns.remove(token)),
        }
    }

    /// Nobody has until now to ask and to take the answer.
    pub fn due(&mut self, token: Token, cx: &mut Context) {
        self.end(token, cx);
    }

    fn end(&mut self, token: Token, cx: &mut Context) -> bool {
        let ended = self.conns.remove(token);
        ended.map(|mut o| cx.registry.deregister(&mut o.conn.stream)).is_some()
    }

    /// A connection can be read or written. What was asked for, if a call is whole.
    pub fn ready(&mut self, token: Token, cx: &mut Context) -> Option<Call> {
        match self.read(token) {
            Ok(call) => call,
            Err(_) => {
                self.end(token, cx);
                None
            }
        }
    }

    fn read(&mut self, token: Token) -> Result<Option<Call>, EndReason> {
        let Some(operator) = self.conns.get_mut(token) else {
            return Ok(None);
        };
        operator.conn.flush()?;
        operator.hang_up()?;
        let read = operator.conn.fill();
        if operator.answered {
            // Whatever else is said is passed over, until the other side closes.
            operator.conn.received().clear();
            return read.map(|_| None);
        }
        let Some(line) = operator.conn.next_line()? else {
            return read.map(|_| None);
        };
        match Call::read(&line) {
            Some(call) => Ok(Some(call)),
            None => {
                operator.answer("error unknown call\n")?;
                Ok(None)
            }
        }
    }

    /// Answers a call and ends the connection.
    pub fn answer(&mut self, token: Token, text: &str, cx: &mut Context) {
        if self.conns.get_mut(token).is_some_and(|o| o.answer(text).is_err()) {
            self.end(token, cx);
        }
    }

    /// Whether all answers have been written.
    pub fn is_flushed(&self) -> bool {
        self.conns.iter().all(|(_, o)| o.conn.is_flushed())
    }
}

impl Operator {
    fn answer(&mut self, text: &str) -> Result<(), EndReason> {
        self.answered = true;
        self.conn.send(text.as_bytes())?;
        self.hang_up()
    }

    /// Ends the own direction once the answer is written. The other side closes then; to close first could reset
    /// the connection before the answer is read.
    fn hang_up(&mut self) -> Result<(), EndReason> {
        if self.answered && self.conn.is_flushed() {
            self.conn.stream.shutdown(Shutdown::Write).map_err(|_| EndReason::ConnectionBroken)?;
        }
        Ok(())
    }
}
