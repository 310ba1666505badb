//! A TCP connection with bounded buffers: partial reads and writes, and lines out of a stream.

use crate::end::EndReason;
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

/// Bytes read at a time.
const CHUNK: usize = 16 * 1024;
/// A buffer that is empty keeps no more room than this: one burst on each of many connections would else hold
/// its memory for good.
const KEPT: usize = 1024;

/// One connection.
#[derive(Debug)]
pub struct Conn {
    /// The socket, registered for both directions.
    pub stream: TcpStream,
    up: bool,
    input: Vec<u8>,
    /// How much of the input has been taken out as lines.
    taken: usize,
    bounds: BufferLimits,
    output: Vec<u8>,
    written: usize,
    /// Bytes sent, ever, and of those the ones that the system has not taken over yet are in `output`.
    sent: u64,
    /// No more is sent: this side is closed once all that waits is written.
    finishing: bool,
}

/// Limits of the buffers of one connection.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    /// Maximum bytes of one line.
    pub max_line: usize,
    /// Maximum bytes in the send buffer, for a peer that does not read.
    pub max_buffered: usize,
}

impl Conn {
    /// A connection within its bounds. One that is dialled is not `up` yet.
    pub fn new(stream: TcpStream, bounds: BufferLimits, up: bool) -> Self {
        // Each message is wanted at once; a connection that can't have it still works.
        let _ = stream.set_nodelay(true);
        let (input, output) = (Vec::new(), Vec::new());
        Conn { stream, up, input, taken: 0, bounds, output, written: 0, sent: 0, finishing: false }
    }

    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.up
    }

    /// Checks whether a dialled connection is established by now.
    pub fn check_connected(&mut self) -> Result<bool, EndReason> {
        if self.up {
            return Ok(true);
        }
        match self.stream.take_error() {
            Ok(Some(error)) | Err(error) => return Err(dial_end_reason(error.kind())),
            Ok(None) => {}
        }
        match self.stream.peer_addr() {
            Ok(_) => self.up = true,
            Err(e) if e.kind() == ErrorKind::NotConnected => {}
            Err(e) => return Err(dial_end_reason(e.kind())),
        }
        Ok(self.up)
    }

    /// Reads once; the bytes read, or none where there is nothing more for now.
    pub fn fill(&mut self) -> Result<usize, EndReason> {
        self.compact();
        let mut chunk = [0; CHUNK];
        let read = loop {
            match self.stream.read(&mut chunk) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        match read {
            Ok(0) => Err(EndReason::PeerClosed),
            Ok(n) => {
                self.input.extend_from_slice(&chunk[..n]);
                Ok(n)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(0),
            Err(_) => Err(EndReason::ConnectionBroken),
        }
    }

    /// Gives up the room of what has been taken out.
    fn compact(&mut self) {
        self.input.drain(..self.taken);
        self.taken = 0;
        if self.input.is_empty() && self.input.capacity() > KEPT {
            self.input = Vec::new();
        }
    }

    /// Takes the next whole line out, without its line feed.
    pub fn next_line(&mut self) -> Result<Option<Vec<u8>>, EndReason> {
        let rest = &self.input[self.taken..];
        let end = rest.iter().position(|b| *b == b'\n');
        if end.unwrap_or(rest.len()) > self.bounds.max_line {
            return Err(EndReason::MessageTooLong);
        }
        let line = end.map(|end| rest[..end].to_vec());
        match &line {
            Some(line) => self.taken += line.len() + 1,
            None => self.compact(),
        }
        Ok(line)
    }

    /// Whether a line has begun and is not whole.
    pub fn has_partial_line(&self) -> bool {
        self.taken < self.input.len()
    }

    /// Bytes received and not taken out yet.
    pub fn received(&mut self) -> &mut Vec<u8> {
        &mut self.input
    }

    /// Queues bytes and writes what the peer takes at once.
    pub fn send(&mut self, bytes: &[u8]) -> Result<(), EndReason> {
        if self.output.len() - self.written + bytes.len() > self.bounds.max_buffered {
            return Err(EndReason::SendBufferFull);
        }
        self.output.extend_from_slice(bytes);
        self.sent += bytes.len() as u64;
        self.flush()
    }

    /// Closes this side once all that waits has been written; the peer may still send.
    pub fn shutdown_write(&mut self) {
        self.finishing = true;
        // A connection that is broken already shows that when it is read.
        let _ = self.flush();
    }

    /// Bytes sent so far: where the next message begins in the stream.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Whether the stream's bytes up to a place have all been handed to the system. What has not can't have
    /// reached the peer whole.
    pub fn has_written(&self, up_to: u64) -> bool {
        let waiting = (self.output.len() - self.written) as u64;
        up_to <= self.sent - waiting
    }

    /// Writes what waits, as far as the peer takes it.
    pub fn flush(&mut self) -> Result<(), EndReason> {
        if !self.up {
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
        if self.output.capacity() > KEPT {
            self.output = Vec::new();
        }
        if std::mem::take(&mut self.finishing) {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        Ok(())
    }

    /// Whether all that was sent has been written.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }
}

/// How a connection ended that never came up.
pub fn dial_end_reason(kind: ErrorKind) -> EndReason {
    match kind {
        ErrorKind::ConnectionRefused => EndReason::ConnectionRefused,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            EndReason::DialTimedOut
        }
        // Reset before it was seen to be up. Nothing was written to it; but somebody was there to take it, so
        // it does not prove that the process is down.
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe => {
            EndReason::ResetBeforeUse
        }
        _ => EndReason::NoSocket,
    }
}
