//! SIP over UDP and TCP: datagrams and streams in, whole messages out.

use super::message;
use super::transaction::{Protocol, Target};
use crate::arena::{Arena, Token};
use crate::config::Limits;
use crate::end::EndReason;
use crate::net::conn::Conn;
use crate::net::{Context, SourceKind, TimerEvent, ACCEPT_BATCH, MESSAGE_TIMEOUT};
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::Interest;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

/// A stream on which nothing has come for this long is closed.
const IDLE: Duration = Duration::from_secs(180);
/// Reads of a stream in one turn. What is left is read in the next, after all others have had theirs.
const READS: usize = 4;
/// Wait before accepting again when there is no descriptor.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

struct Stream {
    conn: Conn,
    peer: SocketAddr,
    last_heard: Duration,
    /// A whole message has come on it, or it was dialled.
    spoke: bool,
    /// Since when its first message has been awaited, or another is not whole.
    awaited: Option<Duration>,
}

/// The sockets of the SIP front.
pub struct Transport {
    udp: Option<UdpSocket>,
    tcp: Option<TcpListener>,
    streams: Arena<Stream>,
    limits: Limits,
    buffer: Vec<u8>,
    /// Streams that broke while something was sent.
    doomed: Vec<(Token, EndReason)>,
    /// Streams that had more to read than one turn allows.
    unread: Vec<Token>,
    /// More may wait to be accepted than one turn allows.
    unaccepted: bool,
}

impl Transport {
    /// Binds the sockets and registers them.
    pub fn bind(
        udp: Option<SocketAddr>,
        tcp: Option<SocketAddr>,
        limits: Limits,
        registry: &mio::Registry,
    ) -> io::Result<Self> {
        let none = Token::from_bits(0);
        let mut udp = udp.map(UdpSocket::bind).transpose()?;
        let mut tcp = tcp.map(TcpListener::bind).transpose()?;
        if let Some(socket) = &mut udp {
            registry.register(socket, SourceKind::SipDatagrams.token(none), Interest::READABLE)?;
        }
        if let Some(listener) = &mut tcp {
            registry.register(listener, SourceKind::SipListener.token(none), Interest::READABLE)?;
        }
        let (streams, doomed, unread) = (Arena::default(), Vec::new(), Vec::new());
        let buffer = vec![0; message::MAX_MESSAGE + 1];
        let unaccepted = false;
        Ok(Transport { udp, tcp, streams, limits, buffer, doomed, unread, unaccepted })
    }

    /// The own address of a transport.
    pub fn local(&self, protocol: Protocol) -> Option<SocketAddr> {
        match protocol {
            Protocol::Udp => self.udp.as_ref()?.local_addr().ok(),
            Protocol::Tcp => self.tcp.as_ref()?.local_addr().ok(),
        }
    }

    /// The next datagram.
    pub fn datagram(&mut self) -> Option<(Vec<u8>, SocketAddr)> {
        let socket = self.udp.as_ref()?;
        loop {
            match socket.recv_from(&mut self.buffer) {
                Ok((length, peer)) => return Some((self.buffer[..length].to_vec(), peer)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                // Errors of datagrams sent before come up here and are theirs alone.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => return None,
            }
        }
    }

    /// Accepts the streams that wait, as far as the turn allows.
    pub fn accept(&mut self, cx: &mut Context) {
        for _ in 0..ACCEPT_BATCH {
            let Some(listener) = &self.tcp else {
                return;
            };
            match listener.accept() {
                Ok((stream, peer)) => drop(self.add(stream, peer, true, cx)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    cx.log.line(cx.now, "sip-accept-failed", e);
                    cx.timers.schedule(cx.now + ACCEPT_AGAIN, TimerEvent::SipAccept);
                    return;
                }
            }
        }
        self.unaccepted = true;
    }

    /// Closes the stream that has said nothing for longest since it was accepted.
    fn make_way(&mut self, cx: &mut Context) {
        let silent = self.streams.iter().filter(|(_, s)| !s.spoke && s.last_heard < cx.now);
        if let Some((token, _)) = silent.min_by_key(|(_, s)| s.last_heard) {
            self.close(token, cx);
        }
    }

    fn add(&mut self, mut s: TcpStream, peer: SocketAddr, up: bool, cx: &mut Context) -> Option<Token> {
        let (now, registry, bounds) = (cx.now, cx.registry, self.limits.sip_buffer_limits());
        if self.streams.len() >= self.limits.sip_streams() {
            self.make_way(cx);
        }
        if self.streams.len() >= self.limits.sip_streams() {
            cx.log.line(now, "sip-too-many-streams", format_args!("{peer} is turned away"));
            return None;
        }
        let mut registered = Ok(());
        let token = self.streams.insert_with(|token| {
            let both = Interest::READABLE | Interest::WRITABLE;
            registered = registry.register(&mut s, SourceKind::SipStream.token(token), both);
            let awaited = up.then_some(now);
            Stream { conn: Conn::new(s, bounds, up), peer, last_heard: now, spoke: !up, awaited }
        });
        if registered.is_err() {
            self.streams.remove(token);
            return None;
        }
        let due = if up { MESSAGE_TIMEOUT } else { cx.dial_timeout };
        cx.timers.schedule(now + due, TimerEvent::SipStream(token));
        Some(token)
    }

    /// A stream should be up, or have been heard, by now.
    pub fn stream_due(&mut self, token: Token, cx: &mut Context) -> Option<EndReason> {
        let stream = self.streams.get(token)?;
        if !stream.conn.is_connected() {
            return Some(EndReason::DialTimedOut);
        }
        let due = stream.awaited.map_or(stream.last_heard + IDLE, |since| since + MESSAGE_TIMEOUT);
        if cx.now >= due {
            return Some(EndReason::PeerSilent);
        }
        cx.timers.schedule(due, TimerEvent::SipStream(token));
        None
    }

    /// Reads a stream; the whole messages that have come, and how it ended if it has.
    pub fn read(&mut self, token: Token, cx: &mut Context) -> (Vec<Vec<u8>>, Option<EndReason>) {
        let now = cx.now;
        let mut messages = Vec::new();
        let Some(stream) = self.streams.get_mut(token) else {
            return (messages, None);
        };
        let mut reads = 0;
        let end = loop {
            reads += 1;
            if reads > READS {
                self.unread.push(token);
                break None;
            }
            match stream.conn.check_connected() {
                Ok(true) => {}
                Ok(false) => break None,
                Err(end) => break Some(end),
            }
            let read = stream.conn.flush().and_then(|()| stream.conn.fill());
            let input = stream.conn.received();
            // Line ends between messages keep a stream alive.
            loop {
                let blank = input.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
                input.drain(..blank);
                match message::length(input) {
                    Ok(Some(length)) => {
                        messages.push(input.drain(..length).collect());
                        (stream.spoke, stream.awaited) = (true, None);
                    }
                    Ok(None) => break,
                    Err(_) => return (messages, Some(EndReason::MalformedMessage)),
                }
            }
            match read {
                Ok(0) => break None,
                Ok(_) => stream.last_heard = now,
                Err(end) => break Some(end),
            }
        };
        // A message that has begun is to get whole.
        if stream.spoke && stream.awaited.is_none() && stream.conn.has_partial_line() {
            stream.awaited = Some(now);
            cx.timers.schedule(now + MESSAGE_TIMEOUT, TimerEvent::SipStream(token));
        }
        (messages, end)
    }

    /// Whether a stream has more to read than its last turn allowed, or more wait to be accepted.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty() || self.unaccepted
    }

    /// Accepts on where the last turn left off.
    pub fn accept_on(&mut self, cx: &mut Context) {
        if std::mem::take(&mut self.unaccepted) {
            self.accept(cx);
        }
    }

    /// The streams that had more to read than their last turn allowed.
    pub fn unread(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.unread)
    }

    /// The peer of a stream.
    pub fn peer(&self, token: Token) -> Option<SocketAddr> {
        self.streams.get(token).map(|s| s.peer)
    }

    /// Sends a message; over TCP on the target's connection, else on any to its address, else on a new one.
    /// The connection that it went on, or why it could not go.
    pub fn send(
        &mut self,
        target: Target,
        bytes: &[u8],
        cx: &mut Context,
    ) -> Result<Option<Token>, EndReason> {
        if target.protocol == Protocol::Udp {
            // A datagram that can't go now is one lost: the transaction sends again.
            let socket = self.udp.as_ref().ok_or(EndReason::NoSocket)?;
            return match socket.send_to(bytes, target.addr) {
                Ok(_) => Ok(None),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionRefused) => {
                    Ok(None)
                }
                Err(_) => Err(EndReason::NoSocket),
            };
        }
        let known = target.conn.filter(|t| self.streams.get(*t).is_some());
        let same = || self.streams.iter().find(|(_, s)| s.peer == target.addr).map(|(t, _)| t);
        let token = match known.or_else(same) {
            Some(token) => token,
            None => {
                let stream = TcpStream::connect(target.addr)
                    .map_err(|e| crate::net::conn::dial_end_reason(e.kind()))?;
                self.add(stream, target.addr, false, cx).ok_or(EndReason::NoSocket)?
            }
        };
        let stream = self.streams.get_mut(token).ok_or(EndReason::NoSocket)?;
        if let Err(end) = stream.conn.send(bytes) {
            self.doomed.push((token, end));
        }
        Ok(Some(token))
    }

    /// Streams that broke while something was sent.
    pub fn broken(&mut self) -> Vec<(Token, EndReason)> {
        std::mem::take(&mut self.doomed)
    }

    /// Closes a stream.
    pub fn close(&mut self, token: Token, cx: &mut Context) {
        if let Some(mut stream) = self.streams.remove(token) {
            let _ = cx.registry.deregister(&mut stream.conn.stream);
        }
    }

    /// Whether all that was sent has been written.
    pub fn is_flushed(&self) -> bool {
        self.streams.iter().all(|(_, s)| !s.conn.is_connected() || s.conn.is_flushed())
    }
}
