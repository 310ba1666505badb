//! The connection to the journal service, which sends numbered updates of the exchange list.

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

/// Time without a line after which the connection counts as dead. The journal service sends a line each second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay before dialling again after a failed dial or an invalid line.
const REDIAL_DELAY: Duration = Duration::from_millis(150);

/// The connection to the journal service.
pub struct Journal {
    addr: SocketAddr,
    limits: Limits,
    /// The number of the last event received.
    position: u64,
    conn: Option<Conn>,
    /// The number of the current connection. Timers and poll events of earlier connections are stale.
    generation: u64,
    /// When the last line was received; until the first line, when the connection was dialled.
    last_received_at: Duration,
}

impl Journal {
    /// Creates the state after the event numbered `position`.
    pub fn new(addr: SocketAddr, position: u64, limits: Limits) -> Self {
        Journal { addr, limits, position, conn: None, generation: 0, last_received_at: Duration::ZERO }
    }

    /// Applies a reload of the configuration. The event numbers are the same at a new address: the stream
    /// there starts after the last event received, so the new connection delivers the events that the old one
    /// had not delivered.
    pub fn switch(&mut self, addr: SocketAddr, cx: &mut Context) {
        let address_state = if self.addr == addr { "unchanged" } else { "new" };
        cx.log.line(cx.now, "reloaded", format_args!("journal service at {addr}, {address_state}"));
        if self.addr != addr {
            self.addr = addr;
            if let Some(mut conn) = self.conn.take() {
                let _ = cx.registry.deregister(&mut conn.stream);
            }
            self.dial(cx);
        }
    }

    /// Connects and requests all events after the last one received.
    pub fn dial(&mut self, cx: &mut Context) {
        self.generation += 1;
        self.last_received_at = cx.now;
        let dialled = TcpStream::connect(self.addr).and_then(|mut stream| {
            let token = SourceKind::Journal.token(Token::from_bits(self.generation));
            cx.registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            Ok(Conn::new(stream, self.limits.journal_buffer_limits(), false))
        });
        match dialled {
            Ok(mut conn) => {
                // The request is queued until the connection is established.
                let _ = conn.send(format!("tail {}\n", self.position).as_bytes());
                self.conn = Some(conn);
                cx.timers
                    .schedule(cx.now + cx.dial_timeout, TimerEvent::JournalDialTimeout(self.generation));
                cx.timers
                    .schedule(cx.now + IDLE_TIMEOUT, TimerEvent::JournalIdleTimeout(self.generation));
            }
            Err(e) => {
                cx.log.line(cx.now, "journal-unreachable", e);
                cx.timers.schedule(cx.now + REDIAL_DELAY, TimerEvent::JournalRedial(self.generation));
            }
        }
    }

    /// Handles the redial timer.
    pub fn redial_due(&mut self, generation: u64, cx: &mut Context) {
        if generation == self.generation && self.conn.is_none() {
            self.dial(cx);
        }
    }

    /// Handles the dial timeout: ends the connection if it is not established.
    pub fn dial_timeout_due(&mut self, generation: u64, cx: &mut Context) {
        if generation == self.generation && self.conn.as_ref().is_some_and(|c| !c.is_connected()) {
            self.end(EndReason::DialTimedOut, cx);
        }
    }

    /// Handles the idle timeout: ends the connection if no line was received in time.
    pub fn idle_timeout_due(&mut self, generation: u64, cx: &mut Context) {
        if generation != self.generation || self.conn.is_none() {
            return;
        }
        if cx.now >= self.last_received_at + IDLE_TIMEOUT {
            self.end(EndReason::PeerSilent, cx);
        } else {
            cx.timers.schedule(
                self.last_received_at + IDLE_TIMEOUT,
                TimerEvent::JournalIdleTimeout(generation),
            );
        }
    }

    /// Handles an event on the connection: readable, writable or established. Received list events are added
    /// to `events`.
    pub fn ready(&mut self, token: Token, events: &mut Vec<ListEvent>, cx: &mut Context) {
        if token == Token::from_bits(self.generation) {
            if let Err(end) = self.read(events, cx) {
                self.end(end, cx);
            }
        }
    }

    fn read(&mut self, events: &mut Vec<ListEvent>, cx: &mut Context) -> Result<(), EndReason> {
        let Some(conn) = self.conn.as_mut() else {
            return Ok(());
        };
        if !conn.check_connected()? {
            return Ok(());
        }
        conn.flush()?;
        loop {
            let read = conn.read_chunk();
            while let Some(line) = conn.next_line()? {
                self.last_received_at = cx.now;
                if line.is_empty() {
                    continue;
                }
                let value = decode_json(&line)?;
                if let Some(last) = heartbeat(&value) {
                    // An event before this heartbeat is missing.
                    if last > self.position as f64 {
                        return Err(EndReason::MalformedMessage);
                    }
                    continue;
                }
                let event = parse_list_event(&value, &cx.wire.zones).map_err(|e| {
                    let text = String::from_utf8_lossy(&line);
                    cx.log.line(cx.now, "journal-malformed", format_args!("{e}: {text:.200}"));
                    EndReason::MalformedMessage
                })?;
                if event.position > self.position {
                    self.position = event.position;
                    events.push(event);
                }
            }
            if read? == 0 {
                return Ok(());
            }
        }
    }

    fn end(&mut self, end: EndReason, cx: &mut Context) {
        let Some(mut conn) = self.conn.take() else {
            return;
        };
        let _ = cx.registry.deregister(&mut conn.stream);
        cx.log.line(cx.now, "journal-ended", format_args!("{end} after event {}", self.position));
        if conn.is_connected() && !matches!(end, EndReason::MalformedMessage | EndReason::MessageTooLong)
        {
            self.dial(cx);
        } else {
            cx.timers.schedule(cx.now + REDIAL_DELAY, TimerEvent::JournalRedial(self.generation));
        }
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
