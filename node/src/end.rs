//! Every way in which a connection, or an attempt on it, can end, and what it means to the controller.

use slateshed::Outcome;
use std::fmt;
use std::time::Duration;

/// Why a connection or an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The connection was refused.
    ConnectionRefused,
    /// The connection did not come up in time.
    DialTimedOut,
    /// The connection was reset before anything was written to it.
    ResetBeforeUse,
    /// No connection could be made from here: no descriptor, no route.
    NoSocket,
    /// The peer closed the connection in good order.
    PeerClosed,
    /// The connection was reset or broke.
    ConnectionBroken,
    /// The peer has been silent for too long.
    PeerSilent,
    /// The peer did not complete a message that it had begun.
    MessageIncomplete,
    /// The peer sent something that is not a valid message.
    MalformedMessage,
    /// The peer sent a message above the size limit.
    MessageTooLong,
    /// The send buffer is full because the peer does not read.
    SendBufferFull,
    /// This side closed the connection.
    ClosedLocally,
    /// The attempt was not answered in time and was given up.
    TimedOut,
    /// Set-ups sent later were answered, so that no answer is to be expected, and the attempt was given up.
    Overtaken,
    /// The caller cancelled the attempt.
    Cancelled,
    /// The attempt never left this side.
    NotSent,
    /// The call stood and has come to its end.
    Ended,
    /// No circuit (or agent) was free.
    NoCircuit,
    /// The tandem refused the call.
    TandemRefused,
    /// The tandem refused the call because the destination's processor was full.
    FarProcessorFull,
    /// The processor was full; with the wait that it told, where it told one.
    ProcessorFull(Option<Duration>),
    /// The own processor is down.
    OwnProcessorDown,
    /// All lines of the number are busy.
    NumberBusy,
    /// A signalling fault.
    Fault,
    /// The exchange reset the set-up or dropped the call.
    Dropped,
    /// The call was established at a process that has given no sign of life for too long.
    ExchangeDead,
}

impl EndReason {
    /// What the controller is told. Only a connection that was refused or never came up proves that
    /// nothing ran; any other end of a connection may have cut a set-up that did.
    pub fn outcome(self) -> Outcome {
        match self {
            EndReason::ConnectionRefused
            | EndReason::DialTimedOut
            | EndReason::ResetBeforeUse
            | EndReason::NoSocket => Outcome::Unreachable,
            EndReason::PeerClosed
            | EndReason::ConnectionBroken
            | EndReason::PeerSilent
            | EndReason::MessageIncomplete => Outcome::Disconnected,
            EndReason::MalformedMessage | EndReason::MessageTooLong => Outcome::Disconnected,
            EndReason::SendBufferFull | EndReason::ClosedLocally | EndReason::Overtaken => {
                Outcome::Disconnected
            }
            EndReason::Dropped | EndReason::ExchangeDead => Outcome::Reset,
            EndReason::TimedOut => Outcome::TimedOut,
            EndReason::Cancelled => Outcome::Cancelled,
            EndReason::NotSent => Outcome::NotSent,
            EndReason::Ended => Outcome::Ended,
            EndReason::NoCircuit => Outcome::NoCircuit,
            EndReason::TandemRefused => Outcome::TandemRefused,
            EndReason::FarProcessorFull => Outcome::FarProcessorFull,
            EndReason::ProcessorFull(wait) => Outcome::ProcessorFull(wait),
            EndReason::OwnProcessorDown => Outcome::OwnProcessorDown,
            EndReason::NumberBusy => Outcome::NumberBusy,
            EndReason::Fault => Outcome::Fault,
        }
    }

    /// Whether what is still held for the attempt may take a while to come free.
    pub fn needs_release_delay(self) -> bool {
        use Outcome::*;
        matches!(self.outcome(), TimedOut | Reset | Disconnected | Cancelled)
    }

    /// Its name, in the log and in the figures.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::ConnectionRefused => "connection refused",
            EndReason::DialTimedOut => "connection not up in time",
            EndReason::ResetBeforeUse => "reset before it was up",
            EndReason::NoSocket => "no socket",
            EndReason::PeerClosed => "closed by the peer",
            EndReason::ConnectionBroken => "connection broke",
            EndReason::PeerSilent => "peer silent",
            EndReason::MessageIncomplete => "message not whole",
            EndReason::MalformedMessage => "no message",
            EndReason::MessageTooLong => "message too long",
            EndReason::SendBufferFull => "peer takes nothing in",
            EndReason::ClosedLocally => "closed here",
            EndReason::TimedOut => "timed out",
            EndReason::Overtaken => "overtaken",
            EndReason::Cancelled => "given up",
            EndReason::NotSent => "not sent",
            EndReason::Ended => "ended",
            EndReason::NoCircuit => "no circuit",
            EndReason::TandemRefused => "turned back",
            EndReason::FarProcessorFull => "far processor full",
            EndReason::ProcessorFull(_) => "processor full",
            EndReason::OwnProcessorDown => "own processor down",
            EndReason::NumberBusy => "number busy",
            EndReason::Fault => "fault",
            EndReason::Dropped => "cut",
            EndReason::ExchangeDead => "lost",
        }
    }
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
