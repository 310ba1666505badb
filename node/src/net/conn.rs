//! A TCP connection with bounded buffers that handles partial reads and writes and splits the stream into
//! lines.

use crate::end::EndReason;
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

/// Maximum bytes per read.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Minimum number of bytes by which the receive buffer grows. It does not double, as many clients may each leave a
/// large message incomplete.
const MIN_INPUT_GROWTH_BYTES: usize = 1024;
/// Maximum capacity that an empty buffer keeps. Without this limit, one burst on each of many connections
/// would keep its memory allocated for as long as the connections last.
const MAX_IDLE_BUFFER_BYTES: usize = 1024;

/// One connection.
#[derive(Debug)]
pub struct Conn {
    /// The socket, registered for reading and writing.
    pub stream: TcpStream,
    /// Whether the connection is established.
    connected: bool,
    /// The receive buffer.
    input: Vec<u8>,
    /// Number of input bytes that have been returned as lines.
    consumed: usize,
    /// Number of bytes after those that are known to contain no line feed.
    scanned: usize,
    limits: BufferLimits,
    /// The send buffer.
    output: Vec<u8>,
    /// Number of bytes of `output` that have been written to the socket.
    written: usize,
    /// Total bytes queued so far, including those that are still in `output`.
    bytes_queued: u64,
    /// Whether the send direction is shut down once the send buffer is written.
    shutdown_pending: bool,
}

/// Limits of the buffers of one connection.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    /// Maximum bytes of one line.
    pub max_line_bytes: usize,
    /// Maximum bytes in the send buffer, for a peer that does not read.
    pub max_buffered_bytes: usize,
}

impl Conn {
    /// Creates a connection with buffer limits. A dialled connection is not established yet.
    pub fn new(stream: TcpStream, limits: BufferLimits, connected: bool) -> Self {
        // Send each message without delay. If the option cannot be set, the connection still works.
        let _ = stream.set_nodelay(true);
        let (input, output) = (Vec::new(), Vec::new());
        Conn {
            stream,
            connected,
            input,
            consumed: 0,
            scanned: 0,
            limits,
            output,
            written: 0,
            bytes_queued: 0,
            shutdown_pending: false,
        }
    }

    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Checks whether a dialled connection is now established.
    pub fn check_connected(&mut self) -> Result<bool, EndReason> {
        if self.connected {
            return Ok(true);
        }
        match self.stream.take_error() {
            Ok(Some(error)) | Err(error) => return Err(dial_end_reason(error.kind())),
            Ok(None) => {}
        }
        match self.stream.peer_addr() {
            Ok(_) => self.connected = true,
            Err(e) if e.kind() == ErrorKind::NotConnected => {}
            Err(e) => return Err(dial_end_reason(e.kind())),
        }
        Ok(self.connected)
    }

    /// Reads once and returns the number of bytes read, or 0 if no data is available yet.
    pub fn read_chunk(&mut self) -> Result<usize, EndReason> {
        self.compact();
        let mut chunk = [0; READ_CHUNK_BYTES];
        let read = loop {
            match self.stream.read(&mut chunk) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        match read {
            Ok(0) => Err(EndReason::PeerClosed),
            Ok(n) => {
                if self.input.capacity() - self.input.len() < n {
                    self.input.reserve_exact(n.max(MIN_INPUT_GROWTH_BYTES));
                }
                self.input.extend_from_slice(&chunk[..n]);
                Ok(n)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(0),
            Err(_) => Err(EndReason::ConnectionBroken),
        }
    }

    /// Removes the consumed bytes from the receive buffer.
    fn compact(&mut self) {
        self.input.drain(..self.consumed);
        self.consumed = 0;
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.input = Vec::new();
        }
    }

    /// Removes the next complete line from the receive buffer and returns it without its line feed.
    pub fn next_line(&mut self) -> Result<Option<Vec<u8>>, EndReason> {
        let rest = &self.input[self.consumed..];
        let unscanned = &rest[self.scanned.min(rest.len())..];
        let end =
            unscanned.iter().position(|b| *b == b'\n').map(|end| rest.len() - unscanned.len() + end);
        if end.unwrap_or(rest.len()) > self.limits.max_line_bytes {
            return Err(EndReason::MessageTooLong);
        }
        let line = end.map(|end| rest[..end].to_vec());
        match &line {
            Some(line) => {
                self.consumed += line.len() + 1;
                self.scanned = 0;
            }
            None => {
                self.scanned = rest.len();
                self.compact();
            }
        }
        Ok(line)
    }

    /// Whether the receive buffer holds unconsumed data. Once [`Conn::next_line`] has returned all complete
    /// lines, that is a partial line.
    pub fn has_partial_line(&self) -> bool {
        self.consumed < self.input.len()
    }

    /// Memory that both buffers take.
    pub fn buffered_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// The receive buffer. After [`Conn::read_chunk`] it holds only unconsumed bytes.
    pub fn receive_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.input
    }

    /// Queues bytes and writes as many as the socket accepts now.
    pub fn send(&mut self, bytes: &[u8]) -> Result<(), EndReason> {
        self.queue(bytes)?;
        self.flush()
    }

    /// Queues bytes. They are written by the next [`Conn::flush`], or now if the send buffer would be too full.
    pub fn queue(&mut self, bytes: &[u8]) -> Result<(), EndReason> {
        if !self.has_room(bytes.len()) {
            self.flush()?;
        }
        if !self.has_room(bytes.len()) {
            return Err(EndReason::SendBufferFull);
        }
        self.output.extend_from_slice(bytes);
        self.bytes_queued += bytes.len() as u64;
        Ok(())
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.output.len() - self.written + bytes <= self.limits.max_buffered_bytes
    }

    /// Shuts down the send direction once the send buffer is written; the peer may still send.
    pub fn shutdown_write(&mut self) {
        self.shutdown_pending = true;
        // If the connection is already broken, the next read reports it.
        let _ = self.flush();
    }

    /// Total bytes queued so far: the offset of the next message in the stream.
    pub fn bytes_queued(&self) -> u64 {
        self.bytes_queued
    }

    /// Whether all bytes of the stream up to an offset have been written to the socket. A message that is not
    /// fully written cannot have reached the peer completely.
    pub fn has_written(&self, up_to: u64) -> bool {
        up_to <= self.bytes_written()
    }

    /// Total bytes written to the socket so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_queued - (self.output.len() - self.written) as u64
    }

    /// Writes as much of the send buffer as the socket accepts.
    pub fn flush(&mut self) -> Result<(), EndReason> {
        if !self.connected {
            return Ok(());
        }
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(EndReason::ConnectionBroken),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(EndReason::ConnectionBroken),
            }
        }
        self.output.clear();
        self.written = 0;
        if self.output.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.output = Vec::new();
        }
        if std::mem::take(&mut self.shutdown_pending) {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        Ok(())
    }

    /// Whether the send buffer is empty.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }
}

/// Maps the error of a dial to an end reason.
pub fn dial_end_reason(kind: ErrorKind) -> EndReason {
    match kind {
        ErrorKind::ConnectionRefused => EndReason::ConnectionRefused,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            EndReason::DialTimedOut
        }
        // Reset before the connection was seen to be established. Nothing was written to it. A peer must have
        // accepted it first, so the reset does not prove that the process is down.
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe => {
            EndReason::ResetBeforeUse
        }
        _ => EndReason::NoSocket,
    }
}
