//! SIP over UDP and TCP: the sockets, and the splitting of received bytes into complete messages.

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

/// A stream on which nothing has been received for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(180);
/// Maximum reads from a stream per iteration of the event loop. The rest is read in the next iteration, so that one
/// busy stream does not starve the others.
const MAX_READS_PER_ITERATION: usize = 4;
/// Maximum number of messages from one stream that are handled in one iteration of the event loop.
const MAX_MESSAGES_PER_ITERATION: usize = 16;
/// Delay before accepting again after a failed accept, e.g. when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A TCP connection.
struct Stream {
    conn: Conn,
    peer: SocketAddr,
    last_received_at: Duration,
    /// A complete message has been received on it, or this side opened it.
    is_in_use: bool,
    /// Whether its peer has closed its side.
    has_left: bool,
    /// Since when its first message, or the rest of an incomplete message, has been awaited.
    awaiting_since: Option<Duration>,
}

impl Stream {
    /// Moves complete messages from the receive buffer to `messages`, up to the limit of one iteration of the event
    /// loop. Line ends between messages are keep-alives and are skipped.
    fn take_messages(&mut self, messages: &mut Vec<Vec<u8>>) -> Result<(), String> {
        let input = self.conn.receive_buffer();
        while messages.len() < MAX_MESSAGES_PER_ITERATION {
            let blank_bytes = input.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            input.drain(..blank_bytes);
            let Some(length) = message::message_length(input)? else {
                break;
            };
            messages.push(input.drain(..length).collect());
            (self.is_in_use, self.awaiting_since) = (true, None);
        }
        Ok(())
    }
}

/// The sockets of the SIP front.
pub struct Transport {
    udp: Option<UdpSocket>,
    tcp: Option<TcpListener>,
    streams: Arena<Stream>,
    limits: Limits,
    datagram_buffer: Vec<u8>,
    /// Streams that failed while a message was sent.
    failed: Vec<(Token, EndReason)>,
    /// Streams with more to read than one iteration of the event loop allows.
    unread: Vec<Token>,
    /// More connections than one iteration accepts may be waiting.
    may_have_connections: bool,
}

impl Transport {
    /// Binds and registers the sockets.
    pub fn bind(
        udp: Option<SocketAddr>,
        tcp: Option<SocketAddr>,
        limits: Limits,
        registry: &mio::Registry,
    ) -> io::Result<Self> {
        let no_token = Token::from_bits(0);
        let mut udp = udp.map(UdpSocket::bind).transpose()?;
        let mut tcp = tcp.map(TcpListener::bind).transpose()?;
        if let Some(socket) = &mut udp {
            registry.register(socket, SourceKind::SipDatagrams.token(no_token), Interest::READABLE)?;
        }
        if let Some(listener) = &mut tcp {
            registry.register(listener, SourceKind::SipListener.token(no_token), Interest::READABLE)?;
        }
        let (streams, failed, unread) = (Arena::default(), Vec::new(), Vec::new());
        let datagram_buffer = vec![0; message::MAX_MESSAGE_BYTES + 1];
        let may_have_connections = false;
        Ok(Transport {
            udp,
            tcp,
            streams,
            limits,
            datagram_buffer,
            failed,
            unread,
            may_have_connections,
        })
    }

    /// The local address of a transport protocol.
    pub fn local_addr(&self, protocol: Protocol) -> Option<SocketAddr> {
        match protocol {
            Protocol::Udp => self.udp.as_ref()?.local_addr().ok(),
            Protocol::Tcp => self.tcp.as_ref()?.local_addr().ok(),
        }
    }

    /// Receives the next datagram, if there is one.
    pub fn receive_datagram(&mut self) -> Option<(Vec<u8>, SocketAddr)> {
        let socket = self.udp.as_ref()?;
        loop {
            match socket.recv_from(&mut self.datagram_buffer) {
                Ok((length, peer)) => return Some((self.datagram_buffer[..length].to_vec(), peer)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Reports that a datagram sent earlier was refused; it doesn't concern received datagrams.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => return None,
            }
        }
    }

    /// Accepts waiting connections, up to the limit of one iteration of the event loop. While there are too many,
    /// `rank` tells which ones may be closed for them; see [`Transport::close_idle_stream`].
    pub fn accept<R: Ord>(&mut self, rank: impl Fn(Token) -> Option<R>, cx: &mut Context) {
        for _ in 0..ACCEPT_BATCH {
            let Some(listener) = &self.tcp else {
                return;
            };
            match listener.accept() {
                Ok((stream, peer)) => {
                    if self.is_crowded() {
                        self.close_idle_stream(&rank, cx);
                    }
                    let _ = self.add_stream(stream, peer, true, cx);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    cx.log.line(cx.now, "sip-accept-failed", e);
                    cx.timers.schedule(cx.now + ACCEPT_RETRY_DELAY, TimerEvent::SipAccept);
                    return;
                }
            }
        }
        self.may_have_connections = true;
    }

    /// Whether streams have to be closed before another one is accepted. The rest of the limit is left to streams that
    /// are opened from here.
    fn is_crowded(&self) -> bool {
        self.streams.len() >= self.limits.max_accepted_sip_streams()
    }

    /// Whether the next connections may have to make room for each other.
    pub fn is_near_limit(&self) -> bool {
        self.streams.len() + ACCEPT_BATCH >= self.limits.max_accepted_sip_streams()
    }

    /// Makes room for another stream: closes one that `rank` does not protect by `None`, the one with the lowest rank
    /// and, among equals, the one that has been silent for longest. Streams without a complete message so far come
    /// first.
    fn close_idle_stream<R: Ord>(&mut self, rank: impl Fn(Token) -> Option<R>, cx: &mut Context) {
        let silent = self.streams.iter().filter(|(_, s)| s.last_received_at < cx.now);
        let idle =
            silent.filter(|(_, s)| s.conn.is_flushed() && !s.conn.has_partial_line() || !s.is_in_use);
        let ranked = idle.filter_map(|(token, s)| {
            let rank = if s.is_in_use { Some(rank(token)?) } else { None };
            Some(((rank, s.last_received_at), token))
        });
        let selected = ranked.min_by(|(one, _), (other, _)| one.cmp(other)).map(|(_, token)| token);
        if let Some(token) = selected {
            self.close(token, cx);
        }
    }

    /// Registers a stream and starts its first timeout. `is_connected` is true for an accepted stream and false for
    /// one that is being opened from here. Returns `None` if there is no room for it or registering it fails.
    fn add_stream(
        &mut self,
        mut socket: TcpStream,
        peer: SocketAddr,
        is_connected: bool,
        cx: &mut Context,
    ) -> Option<Token> {
        let (now, registry, buffer_limits) = (cx.now, cx.registry, self.limits.sip_buffer_limits());
        let max_streams = match is_connected {
            true => self.limits.max_accepted_sip_streams(),
            false => self.limits.max_sip_streams(),
        };
        if self.streams.len() >= max_streams {
            cx.log.line(
                now,
                "sip-too-many-streams",
                format_args!("no room for a connection with {peer}"),
            );
            return None;
        }
        let mut registered = Ok(());
        let token = self.streams.insert_with(|token| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            registered = registry.register(&mut socket, SourceKind::SipStream.token(token), interest);
            let awaiting_since = is_connected.then_some(now);
            Stream {
                conn: Conn::new(socket, buffer_limits, is_connected),
                peer,
                last_received_at: now,
                is_in_use: !is_connected,
                has_left: false,
                awaiting_since,
            }
        });
        if registered.is_err() {
            self.streams.remove(token);
            return None;
        }
        let timeout = if is_connected { MESSAGE_TIMEOUT } else { cx.dial_timeout };
        cx.timers.schedule(now + timeout, TimerEvent::SipStreamTimeout(token));
        Some(token)
    }

    /// Handles a timeout of a stream. Returns the reason if the stream has to be closed; otherwise starts the next
    /// timeout.
    pub fn stream_timeout_due(&mut self, token: Token, cx: &mut Context) -> Option<EndReason> {
        let stream = self.streams.get(token)?;
        if !stream.conn.is_connected() {
            return Some(EndReason::DialTimedOut);
        }
        let due_at = stream
            .awaiting_since
            .map_or(stream.last_received_at + IDLE_TIMEOUT, |since| since + MESSAGE_TIMEOUT);
        if cx.now >= due_at {
            return Some(EndReason::PeerSilent);
        }
        cx.timers.schedule(due_at, TimerEvent::SipStreamTimeout(token));
        None
    }

    /// Reads from a stream. Returns the complete messages received and, if the stream has ended, the reason.
    pub fn read(&mut self, token: Token, cx: &mut Context) -> (Vec<Vec<u8>>, Option<EndReason>) {
        let now = cx.now;
        let mut messages = Vec::new();
        let Some(stream) = self.streams.get_mut(token) else {
            return (messages, None);
        };
        let mut read_count = 0;
        let end_reason = loop {
            match stream.conn.check_connected() {
                Ok(true) => {}
                Ok(false) => break None,
                Err(end_reason) => break Some(end_reason),
            }
            // The messages that were received before come first.
            if stream.take_messages(&mut messages).is_err() {
                return (messages, Some(EndReason::MalformedMessage));
            }
            if read_count == MAX_READS_PER_ITERATION || messages.len() == MAX_MESSAGES_PER_ITERATION {
                // A second entry would give the stream a second turn.
                if !self.unread.contains(&token) {
                    self.unread.push(token);
                }
                break None;
            }
            read_count += 1;
            match stream.conn.flush().and_then(|()| stream.conn.read_chunk()) {
                Ok(0) => break None,
                Ok(_) => stream.last_received_at = now,
                Err(end_reason) => break Some(end_reason),
            }
        };
        // The rest of an incomplete message must arrive within the timeout.
        if stream.is_in_use && stream.awaiting_since.is_none() && stream.conn.has_partial_line() {
            stream.awaiting_since = Some(now);
            cx.timers.schedule(now + MESSAGE_TIMEOUT, TimerEvent::SipStreamTimeout(token));
        }
        (messages, end_reason)
    }

    /// Memory that the buffers of all streams take.
    pub fn buffered_bytes(&self) -> usize {
        self.streams.iter().map(|(_, s)| s.conn.buffered_bytes()).sum()
    }

    /// The stream whose buffers take the most memory, of those with the highest rank.
    pub fn largest_stream<R: Ord>(&self, rank: impl Fn(Token) -> R) -> Option<Token> {
        let key = |(token, s): &(Token, &Stream)| (rank(*token), s.conn.buffered_bytes());
        self.streams.iter().max_by_key(key).map(|(token, _)| token)
    }

    /// Whether streams or connections are left over from the last iteration of the event loop.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty() || self.may_have_connections
    }

    /// Takes whether connections are left over from the last iteration.
    pub fn take_may_have_connections(&mut self) -> bool {
        std::mem::take(&mut self.may_have_connections)
    }

    /// Takes the list of streams with more to read than the last iteration allowed.
    pub fn take_unread(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.unread)
    }

    /// Records that the peer of a stream has closed its side.
    pub fn mark_as_left(&mut self, token: Token) {
        if let Some(stream) = self.streams.get_mut(token) {
            stream.has_left = true;
        }
    }

    /// Whether the peer of a stream has closed its side.
    pub fn has_left(&self, token: Token) -> bool {
        self.streams.get(token).is_some_and(|s| s.has_left)
    }

    /// The address of a stream's peer.
    pub fn peer(&self, token: Token) -> Option<SocketAddr> {
        self.streams.get(token).map(|s| s.peer)
    }

    /// Sends a message. Over TCP, uses the target's connection, or else any connection to its address, or else opens
    /// one. Returns the connection used, or the reason why the message could not be sent.
    pub fn send(
        &mut self,
        target: Target,
        bytes: &[u8],
        cx: &mut Context,
    ) -> Result<Option<Token>, EndReason> {
        if target.protocol == Protocol::Udp {
            // A datagram that can't be sent now counts as lost; the transaction retransmits it.
            let socket = self.udp.as_ref().ok_or(EndReason::NoSocket)?;
            return match socket.send_to(bytes, target.addr) {
                Ok(_) => Ok(None),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionRefused) => {
                    Ok(None)
                }
                Err(_) => Err(EndReason::NoSocket),
            };
        }
        let known_conn = target.conn.filter(|t| self.streams.get(*t).is_some());
        let conn_to_addr = || self.streams.iter().find(|(_, s)| s.peer == target.addr).map(|(t, _)| t);
        let token = match known_conn.or_else(conn_to_addr) {
            Some(token) => token,
            None => {
                let stream = TcpStream::connect(target.addr)
                    .map_err(|e| crate::net::conn::dial_end_reason(e.kind()))?;
                self.add_stream(stream, target.addr, false, cx).ok_or(EndReason::NoSocket)?
            }
        };
        let stream = self.streams.get_mut(token).ok_or(EndReason::NoSocket)?;
        if let Err(end_reason) = stream.conn.send(bytes) {
            self.failed.push((token, end_reason));
        }
        Ok(Some(token))
    }

    /// Takes the list of streams that failed while a message was sent.
    pub fn take_failed(&mut self) -> Vec<(Token, EndReason)> {
        std::mem::take(&mut self.failed)
    }

    /// Closes a stream.
    pub fn close(&mut self, token: Token, cx: &mut Context) {
        if let Some(mut stream) = self.streams.remove(token) {
            let _ = cx.registry.deregister(&mut stream.conn.stream);
        }
    }

    /// Whether all messages have been written to the established connections.
    pub fn is_flushed(&self) -> bool {
        self.streams.iter().all(|(_, s)| !s.conn.is_connected() || s.conn.is_flushed())
    }
}
