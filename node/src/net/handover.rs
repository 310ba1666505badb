//! Handover of established calls to the process that replaces this one.
//!
//! The old process appends records to a file in the directory for temporary files, which both processes share;
//! the new process polls that file until the old one has ended. From its handover on, a call belongs to the new
//! process: the old one still receives its release on the connections to the exchange and passes it on. In the
//! other direction, the new process returns the releases of callers that are connected to the old one only.

mod records;

pub use records::{EarlierRelease, EstablishedCall, Record, Release, UnmatchedRelease};

use super::clients::Clients;
use super::exchanges::Exchanges;
use super::{Context, TimerEvent, SUCCESSOR_POLL_INTERVAL};
use std::collections::{BTreeSet, HashSet};
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::PathBuf;
use std::time::Duration;

/// Interval at which new records are read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum bytes that are read in one iteration of the event loop. The rest is read in the next iteration.
const MAX_READ_BYTES: u64 = 256 * 1024;

/// The writing end of a handover file.
#[derive(Debug)]
pub struct HandoverWriter {
    path: PathBuf,
    file: File,
}

impl HandoverWriter {
    /// Opens the handover file, and creates it if it does not exist.
    pub fn open(path: PathBuf) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        Ok(HandoverWriter { path, file })
    }

    /// Removes the file. If that fails, the file only takes up space.
    pub fn remove(self) {
        let _ = std::fs::remove_file(self.path);
    }

    /// Appends a record.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        self.file.write_all(record.encode().as_bytes())
    }
}

/// The reading end of a handover file.
#[derive(Debug)]
pub struct HandoverReader {
    path: PathBuf,
    /// The process that writes the records.
    writer: ProcessIdentity,
    /// The file, once the other process has created it.
    file: Option<File>,
    /// Bytes of a record that is partially read.
    partial_record: Vec<u8>,
    /// Whether the other process has ended and all its records are read.
    is_complete: bool,
}

impl HandoverReader {
    /// Creates the reader of the records of a process.
    pub fn new(path: PathBuf, writer: ProcessIdentity) -> Self {
        HandoverReader { path, writer, file: None, partial_record: Vec::new(), is_complete: false }
    }

    /// Reads and parses the new records. If the file cannot be read, the handover is complete.
    fn poll(&mut self, cx: &mut Context) -> Vec<Record> {
        let lines = self.read_lines().unwrap_or_else(|e| {
            cx.log.line(cx.now, "handover-failed", format_args!("{}: {e}", self.path.display()));
            self.is_complete = true;
            Vec::new()
        });
        let mut records = Vec::new();
        for line in lines {
            match Record::parse(&line) {
                Ok(record) => records.push(record),
                Err(e) => cx.log.line(cx.now, "handover-malformed", e),
            }
        }
        records
    }

    /// Reads the complete lines that the other process has appended since the last call.
    fn read_lines(&mut self) -> io::Result<Vec<Vec<u8>>> {
        // Checked before the read: what a process has written before its end is then read below.
        let is_writer_running = self.writer.is_running();
        if self.file.is_none() {
            match File::open(&self.path) {
                Ok(file) => self.file = Some(file),
                Err(e) if e.kind() == ErrorKind::NotFound => {}
                Err(e) => return Err(e),
            }
        }
        let read_bytes = match &mut self.file {
            Some(file) => file.take(MAX_READ_BYTES).read_to_end(&mut self.partial_record)?,
            None => 0,
        };
        self.is_complete = read_bytes == 0 && !is_writer_running;
        let complete_bytes =
            self.partial_record.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        let complete: Vec<u8> = self.partial_record.drain(..complete_bytes).collect();
        Ok(complete.split(|b| *b == b'\n').filter(|l| !l.is_empty()).map(<[u8]>::to_vec).collect())
    }
}

/// Reads what the processes that this one replaces, or that replace this one, hand over.
#[derive(Debug, Default)]
pub struct Handover {
    from_predecessor: Option<HandoverReader>,
    from_successor: Option<HandoverReader>,
    /// Ids of the calls that were adopted, including those that have been released since.
    adopted: HashSet<String>,
    /// Ids of the releases that were received: a process passes those that wait on when it is replaced, and again when it
    /// stops.
    forwarded: HashSet<String>,
    /// Whether the process that this one replaces has handed over all its calls.
    is_handed_over: bool,
    is_poll_scheduled: bool,
}

impl Handover {
    /// Starts to read the records of the process that this one replaces.
    pub fn follow_predecessor(&mut self, reader: HandoverReader, cx: &mut Context) {
        self.from_predecessor = Some(reader);
        self.schedule_poll(cx);
    }

    /// Starts to read the records of the process that replaces this one, unless they are read already. They begin when
    /// that process starts to serve, as callers and exchanges are connected to both from then on.
    pub fn follow_successor(&mut self, reader: Option<HandoverReader>, cx: &mut Context) {
        if self.from_successor.is_none() {
            self.from_successor = reader;
            self.schedule_poll(cx);
        }
    }

    /// Whether all calls of the process that this one replaces have been received.
    pub fn is_received(&self) -> bool {
        self.from_predecessor.is_none()
    }

    fn schedule_poll(&mut self, cx: &mut Context) {
        if !self.is_poll_scheduled {
            self.is_poll_scheduled = true;
            cx.timers.schedule(cx.now + POLL_INTERVAL, TimerEvent::HandoverPoll);
        }
    }

    /// Handles the poll timer.
    pub fn poll_due(&mut self, clients: &mut Clients, exchanges: &mut Exchanges, cx: &mut Context) {
        self.is_poll_scheduled = false;
        self.poll(clients, exchanges, cx);
    }

    /// Reads and applies new records, and schedules the next poll while records may follow.
    fn poll(&mut self, clients: &mut Clients, exchanges: &mut Exchanges, cx: &mut Context) {
        if let Some(mut reader) = self.from_predecessor.take() {
            for record in reader.poll(cx) {
                self.apply_from_predecessor(record, clients, exchanges, cx);
            }
            if reader.is_complete {
                self.complete(&reader, clients, exchanges, cx);
            } else {
                self.from_predecessor = Some(reader);
            }
        }
        if let Some(mut reader) = self.from_successor.take() {
            for record in reader.poll(cx) {
                apply_from_successor(record, clients, cx);
            }
            if reader.is_complete {
                successor_ended(clients, cx);
            } else {
                self.from_successor = Some(reader);
            }
        }
        if self.from_predecessor.is_some() || self.from_successor.is_some() {
            self.schedule_poll(cx);
        }
    }

    /// Ends the handover from a process that has ended.
    fn complete(
        &self,
        reader: &HandoverReader,
        clients: &mut Clients,
        exchanges: &mut Exchanges,
        cx: &mut Context,
    ) {
        // If a file cannot be removed, it only takes up space.
        let _ = std::fs::remove_file(&reader.path);
        clients.end_return();
        if !self.is_handed_over {
            cx.log.line(
                cx.now,
                "handover-missing",
                "the process has ended without handing its calls over",
            );
            clients.expect_calls_of_unknown_processes();
        }
        cx.log.line(cx.now, "handover-complete", format_args!("{} calls adopted", self.adopted.len()));
        // A release that was in flight on a connection of the old process is lost.
        exchanges.request_repeats_for_adopted_calls(cx);
    }

    fn apply_from_predecessor(
        &mut self,
        record: Record,
        clients: &mut Clients,
        exchanges: &mut Exchanges,
        cx: &mut Context,
    ) {
        match record {
            Record::Call(call) => {
                let tag = call.tag.clone();
                if adopt(call, clients, exchanges, cx) {
                    self.adopted.insert(tag);
                }
            }
            Record::Release(release) => match clients.call_by_tag(&release.tag) {
                Some(call) => cx.engine.released_elsewhere(cx.now, call, release.cause, cx.timers),
                // An adopted call that is no longer known has been released here already.
                None if self.adopted.contains(&release.tag) => {}
                None if !self.forwarded.insert(release.tag.clone()) => {}
                None => clients.forward_release(release, cx),
            },
            Record::UnmatchedRelease(release) => {
                let is_known = apply_unmatched_release(&release, clients, cx);
                if release.is_earlier_call && !is_known {
                    clients.add_earlier_release(&release.tag, release.cause, BTreeSet::new(), cx);
                }
            }
            Record::EarlierRelease(release) => {
                let EarlierRelease { tag, cause, informed_hosts } = release;
                clients.add_earlier_release(&tag, cause, informed_hosts, cx);
            }
            Record::HandedOver => self.is_handed_over = true,
            Record::RecentId { tag, until } => clients.add_recent_id(tag, until, cx.now),
            Record::Forget { tag } => {
                self.adopted.remove(&tag);
                if let Some(call) = clients.call_by_tag(&tag) {
                    clients.forget_call(call, cx);
                    cx.engine.forget_adopted_call(cx.now, call, cx.timers);
                }
            }
        }
    }
}

/// Applies a release that an exchange has sent to the other process, if the call is established here. Returns whether a
/// call has its id.
fn apply_unmatched_release(release: &UnmatchedRelease, clients: &Clients, cx: &mut Context) -> bool {
    let Some(call) = clients.call_by_tag(&release.tag) else {
        return false;
    };
    if cx.engine.establishment(cx.now, call).is_some_and(|e| e.exchange == release.exchange) {
        cx.engine.released_elsewhere(cx.now, call, release.cause, cx.timers);
    }
    true
}

/// The process that was to replace this one has ended. If this one goes on, another one may replace it later.
fn successor_ended(clients: &mut Clients, cx: &mut Context) {
    if !cx.lifecycle.is_stopping() {
        cx.log.line(cx.now, "successor-ended", "the process that was to replace this one has ended");
        clients.end_sharing();
        cx.timers.schedule(cx.now + SUCCESSOR_POLL_INTERVAL, TimerEvent::SuccessorPoll);
    }
}

/// Applies a record of the process that replaces this one: a release whose caller is not connected there, but
/// may still be connected here, or one that is unknown there.
fn apply_from_successor(record: Record, clients: &mut Clients, cx: &mut Context) {
    let release = match record {
        Record::Release(release) => release,
        Record::UnmatchedRelease(release) => {
            apply_unmatched_release(&release, clients, cx);
            return;
        }
        Record::Call(_)
        | Record::EarlierRelease(_)
        | Record::HandedOver
        | Record::RecentId { .. }
        | Record::Forget { .. } => return,
    };
    if !clients.is_caller_connected(release.host) {
        return clients.return_release(&Record::Release(release), cx);
    }
    match clients.call_by_tag(&release.tag) {
        Some(call) => cx.engine.released_elsewhere(cx.now, call, release.cause, cx.timers),
        None => clients.forward_release(release, cx),
    }
}

/// Adopts a call, if its exchange is in the list and is reached over the platform's lines. Otherwise only the
/// old process can receive its release. Returns whether the call was adopted.
fn adopt(
    call: EstablishedCall,
    clients: &mut Clients,
    exchanges: &mut Exchanges,
    cx: &mut Context,
) -> bool {
    let exchange = cx.engine.exchange_id(&call.exchange).filter(|e| exchanges.is_known(*e));
    let exchange = exchange.filter(|_| clients.call_by_tag(&call.tag).is_none());
    let times = (call.answered_at, call.last_activity);
    let adopted =
        exchange.and_then(|e| cx.engine.adopt_call(cx.now, &call.tag, e, times, cx.timers).zip(Some(e)));
    let Some(((token, attempt), exchange)) = adopted else {
        let reason = format_args!("call={} exchange={}", call.tag, call.exchange);
        cx.log.line(cx.now, "call-not-adopted", reason);
        return false;
    };
    exchanges.adopt_attempt(attempt, exchange, &call.tag, cx.now);
    clients.adopt_call(token, call.tag, call.host, cx);
    true
}

/// A process. The system may give its id to another one after its end, so its start belongs to its identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The process id.
    pub id: u32,
    /// When it was started, in clock ticks since the start of the system.
    started_at: u64,
}

/// Position of the start time in `/proc/PID/stat`, counted from the state, which is the first field after the name.
const START_TIME_FIELD: usize = 19;

impl ProcessIdentity {
    /// The process that has this id now. One that has ended and whose parent has not collected its status counts as
    /// ended.
    pub fn of_running(id: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The state follows the name of the program, which is in parentheses and may contain any character.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let has_ended = matches!(fields.first(), Some(&"Z" | &"X"));
        let started_at = fields.get(START_TIME_FIELD)?.parse().ok()?;
        Some(ProcessIdentity { id, started_at }).filter(|_| !has_ended)
    }

    /// Parses the form that [`fmt::Display`] writes.
    pub fn parse(text: &str) -> Option<Self> {
        let (id, started_at) = text.trim().split_once(' ')?;
        Some(ProcessIdentity { id: id.parse().ok()?, started_at: started_at.parse().ok()? })
    }

    /// Whether the process has not ended.
    pub fn is_running(self) -> bool {
        Self::of_running(self.id) == Some(self)
    }
}

impl fmt::Display for ProcessIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.id, self.started_at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against another process that has been given the id of one that has ended, and is taken for it.
    #[test]
    fn a_process_with_the_same_id_and_another_start_is_another_one() {
        let this_process = ProcessIdentity::of_running(std::process::id()).expect("it is running");
        assert_eq!(ProcessIdentity::parse(&this_process.to_string()), Some(this_process));
        assert!(this_process.is_running());
        let earlier = ProcessIdentity { started_at: this_process.started_at - 1, ..this_process };
        assert!(!earlier.is_running());
        assert_eq!(ProcessIdentity::parse("17"), None);
    }

    /// Guards against a record that is applied when only a part of it is written, or twice.
    #[test]
    fn only_complete_records_are_read_and_each_once() {
        let name = format!("slateshed-handover-test-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = std::fs::remove_file(&path);
        let this_process = ProcessIdentity::of_running(std::process::id()).expect("it is running");
        let mut reader = HandoverReader::new(path.clone(), this_process);
        assert!(reader.read_lines().expect("a missing file is no error").is_empty());
        let mut writer = HandoverWriter::open(path.clone()).expect("the file is created");
        writer.write(&Record::Forget { tag: "a".to_owned() }).expect("the record is written");
        writer.file.write_all(b"{\"type\":").expect("the bytes are written");
        assert_eq!(reader.read_lines().expect("the file is read").len(), 1);
        assert!(reader.read_lines().expect("the file is read").is_empty());
        writer.file.write_all(b"\"forget\"}\n").expect("the bytes are written");
        assert_eq!(reader.read_lines().expect("the file is read"), [b"{\"type\":\"forget\"}"]);
        assert!(!reader.is_complete, "this process is still running");
        std::fs::remove_file(&path).expect("the file is removed");
    }
}
