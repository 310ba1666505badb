//! The journal service: numbered changes of the exchange list.

use super::conn::Conn;
use super::lines::json;
use super::{Context, SourceKind, TimerEvent};
use crate::arena::Token;
use crate::config::{parse_list_event, Limits, ListEvent};
use crate::end::EndReason;
use mio::net::TcpStream;
use mio::Interest;
use slateshed_settings::{lookup, JsonValue};
use std::net::SocketAddr;
use std::time::Duration;

/// A stream without a line for this long is dead: one comes each second.
const SILENT: Duration = Duration::from_millis(2500);
/// Wait before dialling again after a dial that failed.
const AGAIN: Duration = Duration::from_millis(150);

/// The connection to the journal service.
pub struct Journal {
    addr: SocketAddr,
    limits: Limits,
    /// The last event that was taken in.
    position: u64,
    conn: Option<Conn>,
    /// Counts connections, to know stale deadlines and events.
    turn: u64,
    last_heard: Duration,
}

impl Journal {
    /// A journal that knows all events up to a number.
    pub fn new(addr: SocketAddr, position: u64, limits: Limits) -> Self {
        Journal { addr, limits, position, conn: None, turn: 0, last_heard: Duration::ZERO }
    }

    /// The configuration was read again. At another address the numbers go on: the stream there begins after
    /// the last event that was taken in, and what the old one still had to tell comes on the new one.
    pub fn switch(&mut self, addr: SocketAddr, cx: &mut Context) {
        let same = if self.addr == addr { "as before" } else { "new" };
        cx.log.line(cx.now, "reloaded", format_args!("journal service at {addr}, {same}"));
        if self.addr != addr {
            self.addr = addr;
            if let Some(mut conn) = self.conn.take() {
                let _ = cx.registry.deregister(&mut conn.stream);
            }
            self.dial(cx);
        }
    }

    /// Connects, and asks for all events after the last one known.
    pub fn dial(&mut self, cx: &mut Context) {
        self.turn += 1;
        self.last_heard = cx.now;
        let dialled = TcpStream::connect(self.addr).and_then(|mut stream| {
            let token = SourceKind::Journal.token(Token::from_bits(self.turn));
            cx.registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            Ok(Conn::new(stream, self.limits.journal_buffer_limits(), false))
        });
        match dialled {
            Ok(mut conn) => {
                // Queued until the connection is up.
                let _ = conn.send(format!("tail {}\n", self.position).as_bytes());
                self.conn = Some(conn);
                cx.timers.schedule(cx.now + cx.dial_timeout, TimerEvent::JournalDial(self.turn));
                cx.timers.schedule(cx.now + SILENT, TimerEvent::JournalSilent(self.turn));
            }
            Err(e) => {
                cx.log.line(cx.now, "journal-unreachable", e);
                cx.timers.schedule(cx.now + AGAIN, TimerEvent::JournalAgain(self.turn));
            }
        }
    }

    /// A dial that failed may be repeated now.
    pub fn again_due(&mut self, turn: u64, cx: &mut Context) {
        if turn == self.turn && self.conn.is_none() {
            self.dial(cx);
        }
    }

    /// The connection should be up by now.
    pub fn dial_due(&mut self, turn: u64, cx: &mut Context) {
        if turn == self.turn && self.conn.as_ref().is_some_and(|c| !c.is_connected()) {
            self.end(EndReason::DialTimedOut, cx);
        }
    }

    /// A line should have come by now.
    pub fn silent_due(&mut self, turn: u64, cx: &mut Context) {
        if turn != self.turn || self.conn.is_none() {
            return;
        }
        if cx.now >= self.last_heard + SILENT {
            self.end(EndReason::PeerSilent, cx);
        } else {
            cx.timers.schedule(self.last_heard + SILENT, TimerEvent::JournalSilent(turn));
        }
    }

    /// The connection can be read or written, or has come up. The events that it brings are added to `out`.
    pub fn ready(&mut self, token: Token, out: &mut Vec<ListEvent>, cx: &mut Context) {
        if token == Token::from_bits(self.turn) {
            if let Err(end) = self.read(out, cx) {
                self.end(end, cx);
            }
        }
    }

    fn read(&mut self, out: &mut Vec<ListEvent>, cx: &mut Context) -> Result<(), EndReason> {
        let Some(conn) = self.conn.as_mut() else {
            return Ok(());
        };
        if !conn.check_connected()? {
            return Ok(());
        }
        conn.flush()?;
        loop {
            let read = conn.fill();
            while let Some(line) = conn.next_line()? {
                self.last_heard = cx.now;
                if line.is_empty() {
                    continue;
                }
                let value = json(&line)?;
                if let Some(last) = heartbeat(&value) {
                    // Something that should have come before it has not.
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
                    out.push(event);
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
            cx.timers.schedule(cx.now + AGAIN, TimerEvent::JournalAgain(self.turn));
        }
    }
}

/// The last event's number, where the line holds that alone.
fn heartbeat(line: &JsonValue) -> Option<f64> {
    match lookup(line, "hosts") {
        Some(_) => None,
        None => line.get::<f64>().or_else(|| lookup(line, "pos")?.get::<f64>()).copied(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against taking the line of each second for a malformed event, which ended the stream over
    /// and over.
    #[test]
    fn a_position_alone_is_a_heartbeat() {
        let read = |text: &str| heartbeat(&text.parse().expect("JSON"));
        assert_eq!((read("{\"pos\":41}"), read("41")), (Some(41.0), Some(41.0)));
        assert_eq!(read("{\"pos\":41,\"hosts\":{\"full\":true,\"servers\":[]}}"), None);
    }
}
