//! The connection to the journal service, which sends numbered updates of the exchange list.
//!
//! A service that is slow to serve a connection serves it sooner if the connection stays open, and one that has
//! stopped serving a connection may serve a new one. Both look the same from here, so a silent connection is kept
//! while a second one is opened beside it. The first of the two that receives a line stays.

use super::conn::Conn;
use super::lines::decode_json;
use super::{Context, SourceKind, TimerEvent};
use crate::arena::Token;
use crate::config::{parse_list_event, Limits, ListEvent};
use crate::end::EndReason;
use mio::net::TcpStream;
use mio::Interest;
use slateshed_settings::{lookup, JsonValue};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a line after which another connection is opened beside the silent one. The journal service sends a
/// line each second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of connections at a time.
const MAX_STREAMS: usize = 2;
/// Time without a line after which a connection is closed: the service may be slow by 7 s, and sends the first line
/// up to a second later if there is no event. Each consecutive connection that was never served doubles the time, up to
/// [`MAX_SERVE_TIMEOUT`].
const SERVE_TIMEOUT: Duration = Duration::from_secs(9);
/// Upper limit of that time.
const MAX_SERVE_TIMEOUT: Duration = Duration::from_secs(36);
/// Delay before dialling again after a connection that received no line, or an invalid one. Each consecutive one
/// doubles the delay, up to [`MAX_REDIAL_DELAY`].
const REDIAL_DELAY: Duration = Duration::from_millis(150);
/// Upper limit of that delay.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(1);

/// One connection to the journal service.
struct Stream {
    /// Its number. Timers and poll events of connections that have ended are stale.
    generation: u64,
    conn: Conn,
    dialled_at: Duration,
    /// When the last line was received; until the first line, when the connection was dialled.
    last_received_at: Duration,
    /// Number of valid lines received.
    line_count: u64,
}

/// Counters of the connections to the journal service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalStats {
    /// The number of the last event received.
    pub position: u64,
    /// Connections that were dialled.
    pub dials: u64,
    /// Connections that ended without a line received.
    pub unserved: u64,
}

/// The connections to the journal service.
pub struct Journal {
    addr: SocketAddr,
    limits: Limits,
    /// The open connections, the oldest first.
    streams: Vec<Stream>,
    /// Number of consecutive connections that ended without a valid line.
    consecutive_failures: u32,
    /// Number of consecutive connections that were established and never served within the time.
    consecutive_unserved: u32,
    is_redial_scheduled: bool,
    stats: JournalStats,
}

impl Journal {
    /// Creates the state after the event numbered `position`.
    pub fn new(addr: SocketAddr, position: u64, limits: Limits) -> Self {
        Journal {
            addr,
            limits,
            streams: Vec::new(),
            consecutive_failures: 0,
            consecutive_unserved: 0,
            is_redial_scheduled: false,
            stats: JournalStats { position, ..JournalStats::default() },
        }
    }

    /// The counters.
    pub fn stats(&self) -> JournalStats {
        self.stats
    }

    /// Applies a reload of the configuration. The event numbers are the same at a new address: the stream
    /// there starts after the last event received, so the new connection delivers the events that the old one
    /// had not delivered.
    pub fn switch(&mut self, addr: SocketAddr, cx: &mut Context) {
        let address_state = if self.addr == addr { "unchanged" } else { "new" };
        cx.log.line(cx.now, "reloaded", format_args!("journal service at {addr}, {address_state}"));
        if self.addr != addr {
            self.addr = addr;
            self.close_streams(|_| true, cx);
            (self.consecutive_failures, self.consecutive_unserved) = (0, 0);
            self.dial(cx);
        }
    }

    /// Connects and requests all events after the last one received.
    pub fn dial(&mut self, cx: &mut Context) {
        self.stats.dials += 1;
        let generation = self.stats.dials;
        let dialled = TcpStream::connect(self.addr).and_then(|mut stream| {
            let token = SourceKind::Journal.token(Token::from_bits(generation));
            cx.registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            Ok(Conn::new(stream, self.limits.journal_buffer_limits(), false))
        });
        match dialled {
            Ok(mut conn) => {
                // The request is queued until the connection is established.
                let _ = conn.send(format!("tail {}\n", self.stats.position).as_bytes());
                let (dialled_at, last_received_at) = (cx.now, cx.now);
                self.streams.push(Stream {
                    generation,
                    conn,
                    dialled_at,
                    last_received_at,
                    line_count: 0,
                });
                cx.timers.schedule(cx.now + cx.dial_timeout, TimerEvent::JournalDialTimeout(generation));
                cx.timers.schedule(cx.now + SILENCE_TIMEOUT, TimerEvent::JournalSilence(generation));
            }
            Err(e) => {
                cx.log.line(cx.now, "journal-unreachable", e);
                self.consecutive_failures += 1;
                self.schedule_redial(cx);
            }
        }
    }

    fn schedule_redial(&mut self, cx: &mut Context) {
        if !self.is_redial_scheduled {
            self.is_redial_scheduled = true;
            let doublings = self.consecutive_failures.saturating_sub(1).min(6);
            let delay = (REDIAL_DELAY * (1 << doublings)).min(MAX_REDIAL_DELAY);
            cx.timers.schedule(cx.now + delay, TimerEvent::JournalRedial);
        }
    }

    /// Handles the redial timer.
    pub fn redial_due(&mut self, cx: &mut Context) {
        self.is_redial_scheduled = false;
        if self.needs_stream(cx.now) {
            self.dial(cx);
        }
    }

    /// Whether all connections are silent and another one may be opened.
    fn needs_stream(&self, now: Duration) -> bool {
        self.streams.len() < MAX_STREAMS && self.streams.iter().all(|s| s.is_silent(now))
    }

    /// Handles the dial timeout: ends the connection if it is not established.
    pub fn dial_timeout_due(&mut self, generation: u64, cx: &mut Context) {
        if self.stream_mut(generation).is_some_and(|s| !s.conn.is_connected()) {
            self.end(generation, EndReason::DialTimedOut, cx);
        }
    }

    /// Time without a line after which a connection is closed.
    fn serve_timeout(&self) -> Duration {
        (SERVE_TIMEOUT * (1 << self.consecutive_unserved.min(6))).min(MAX_SERVE_TIMEOUT)
    }

    /// Handles the silence timer of a connection: closes it if it was silent for too long, and otherwise opens another
    /// one if all are silent.
    pub fn silence_due(&mut self, generation: u64, cx: &mut Context) {
        let serve_timeout = self.serve_timeout();
        let Some(stream) = self.stream_mut(generation) else {
            return;
        };
        let last_received_at = stream.last_received_at;
        if cx.now >= last_received_at + serve_timeout {
            return self.end(generation, EndReason::PeerSilent, cx);
        }
        let is_silent = stream.is_silent(cx.now);
        let next = last_received_at + if is_silent { serve_timeout } else { SILENCE_TIMEOUT };
        cx.timers.schedule(next, TimerEvent::JournalSilence(generation));
        if self.needs_stream(cx.now) && !self.is_redial_scheduled {
            self.dial(cx);
        }
    }

    fn stream_mut(&mut self, generation: u64) -> Option<&mut Stream> {
        self.streams.iter_mut().find(|s| s.generation == generation)
    }

    /// Handles an event on a connection: readable, writable or established. Received list events are added
    /// to `events`.
    pub fn ready(&mut self, token: Token, events: &mut Vec<ListEvent>, cx: &mut Context) {
        let generation = token.bits();
        if let Err(end) = self.read(generation, events, cx) {
            self.end(generation, end, cx);
        }
    }

    fn read(
        &mut self,
        generation: u64,
        events: &mut Vec<ListEvent>,
        cx: &mut Context,
    ) -> Result<(), EndReason> {
        let Some(stream) = self.stream_mut(generation) else {
            return Ok(());
        };
        if !stream.conn.check_connected()? {
            return Ok(());
        }
        stream.conn.flush()?;
        loop {
            let Some(stream) = self.stream_mut(generation) else {
                return Ok(());
            };
            let read = stream.conn.read_chunk();
            while let Some(line) = self.next_line(generation)? {
                if !line.is_empty() {
                    self.handle_line(&line, events, cx)?;
                }
                self.line_received(generation, cx);
            }
            if read? == 0 {
                return Ok(());
            }
        }
    }

    fn next_line(&mut self, generation: u64) -> Result<Option<Vec<u8>>, EndReason> {
        self.stream_mut(generation).map_or(Ok(None), |s| s.conn.next_line())
    }

    /// Parses a line and adds the event in it, if it is a new one.
    fn handle_line(
        &mut self,
        line: &[u8],
        events: &mut Vec<ListEvent>,
        cx: &mut Context,
    ) -> Result<(), EndReason> {
        let value = decode_json(line)?;
        if let Some(last) = heartbeat(&value) {
            // An event before this heartbeat is missing.
            let is_complete = last <= self.stats.position as f64;
            return if is_complete { Ok(()) } else { Err(EndReason::MalformedMessage) };
        }
        let event = parse_list_event(&value, &cx.wire.zones).map_err(|e| {
            let text = String::from_utf8_lossy(line);
            cx.log.line(cx.now, "journal-malformed", format_args!("{e}: {text:.200}"));
            EndReason::MalformedMessage
        })?;
        if event.position > self.stats.position {
            self.stats.position = event.position;
            events.push(event);
        }
        Ok(())
    }

    /// Records a valid line on a connection, and closes the other connections.
    fn line_received(&mut self, generation: u64, cx: &mut Context) {
        (self.consecutive_failures, self.consecutive_unserved) = (0, 0);
        if let Some(stream) = self.stream_mut(generation) {
            stream.last_received_at = cx.now;
            stream.line_count += 1;
        }
        if self.streams.len() > 1 {
            self.close_streams(|s| s.generation != generation, cx);
        }
    }

    fn close_streams(&mut self, is_selected: impl Fn(&Stream) -> bool, cx: &mut Context) {
        let streams = std::mem::take(&mut self.streams);
        let (closed, kept): (Vec<_>, Vec<_>) = streams.into_iter().partition(is_selected);
        self.streams = kept;
        for mut stream in closed {
            let _ = cx.registry.deregister(&mut stream.conn.stream);
        }
    }

    /// Ends a connection, and dials again unless another connection is served: at once after one that was served, and
    /// otherwise after a delay.
    fn end(&mut self, generation: u64, end: EndReason, cx: &mut Context) {
        let Some(index) = self.streams.iter().position(|s| s.generation == generation) else {
            return;
        };
        let mut stream = self.streams.remove(index);
        let _ = cx.registry.deregister(&mut stream.conn.stream);
        let (lines, open_for) =
            (stream.line_count, cx.now.saturating_sub(stream.dialled_at).as_millis());
        let details =
            format_args!("{end} after event {}, {lines} lines in {open_for} ms", self.stats.position);
        cx.log.line(cx.now, "journal-ended", details);
        let is_invalid = matches!(end, EndReason::MalformedMessage | EndReason::MessageTooLong);
        let was_served = stream.line_count > 0 && !is_invalid;
        if !was_served {
            self.consecutive_failures += 1;
        }
        if stream.line_count == 0 {
            self.stats.unserved += 1;
            self.consecutive_unserved += u32::from(end == EndReason::PeerSilent);
        }
        if was_served && self.needs_stream(cx.now) {
            self.dial(cx);
        } else {
            self.schedule_redial(cx);
        }
    }
}

impl Stream {
    /// Whether no line was received for so long that another connection is opened.
    fn is_silent(&self, now: Duration) -> bool {
        now >= self.last_received_at + SILENCE_TIMEOUT
    }
}

/// The number of the last event, if the line is a heartbeat, which holds only this number.
fn heartbeat(line: &JsonValue) -> Option<f64> {
    match lookup(line, "hosts") {
        Some(_) => None,
        None => line.get::<f64>().or_else(|| lookup(line, "pos")?.get::<f64>()).copied(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against parsing the heartbeat of each second as a malformed event, which ended the connection
    /// again and again.
    #[test]
    fn a_line_with_only_a_position_is_a_heartbeat() {
        let read = |text: &str| heartbeat(&text.parse().expect("JSON"));
        assert_eq!((read("{\"pos\":41}"), read("41")), (Some(41.0), Some(41.0)));
        assert_eq!(read("{\"pos\":41,\"hosts\":{\"full\":true,\"servers\":[]}}"), None);
    }
}
