//! The reasons for the end of a connection or of an attempt, and the outcome that the controller is given for
//! each.

use slateshed::Outcome;
use std::fmt;
use std::time::Duration;

/// Why a connection or an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The connection was refused.
    ConnectionRefused,
    /// The connection was not established in time.
    DialTimedOut,
    /// The connection was reset before anything was written to it.
    ResetBeforeUse,
    /// This side could not open a connection: no file descriptor was free, or there was no route.
    NoSocket,
    /// The peer closed the connection gracefully.
    PeerClosed,
    /// The connection was reset or broke.
    ConnectionBroken,
    /// The peer has been silent for too long.
    PeerSilent,
    /// The peer began a message and did not complete it in time.
    MessageIncomplete,
    /// The peer sent data that is not a valid message.
    MalformedMessage,
    /// The peer sent a message above the size limit.
    MessageTooLong,
    /// The send buffer is full because the peer does not read.
    SendBufferFull,
    /// The buffers of all connections together take too much memory, and those of this one the most.
    BuffersFull,
    /// This side closed the connection.
    ClosedLocally,
    /// The attempt was not answered in time and was cancelled.
    TimedOut,
    /// Set-ups that were sent later were answered, so no answer is expected, and the attempt was cancelled.
    Overtaken,
    /// The caller cancelled the attempt.
    Cancelled,
    /// The set-up was not sent.
    NotSent,
    /// The call was established and has ended normally.
    Ended,
    /// No circuit (or agent) was free.
    NoCircuit,
    /// The tandem refused the call.
    TandemRefused,
    /// The tandem refused the call because the destination's processor was full.
    DestinationProcessorFull,
    /// The processor was full; with the waiting time that it stated, if any.
    ProcessorFull(Option<Duration>),
    /// The processor of the local exchange is down.
    LocalProcessorDown,
    /// All lines of the number are busy.
    NumberBusy,
    /// A signalling fault.
    Fault,
    /// The exchange reset the set-up or dropped the call.
    Dropped,
    /// The call was established at a process that is considered dead because it has been silent for too long.
    ExchangeDead,
    /// The call was established at the end of a graceful shutdown, and no other process takes it over.
    ShutDown,
}

impl EndReason {
    /// The outcome that is reported to the controller. Only a connection that was refused, never established,
    /// or reset before use proves that the set-up did not run; with any other end of a connection it may have
    /// run.
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
            EndReason::SendBufferFull | EndReason::BuffersFull => Outcome::Disconnected,
            EndReason::ClosedLocally | EndReason::Overtaken => Outcome::Disconnected,
            EndReason::Dropped | EndReason::ExchangeDead | EndReason::ShutDown => Outcome::Reset,
            EndReason::TimedOut => Outcome::TimedOut,
            EndReason::Cancelled => Outcome::Cancelled,
            EndReason::NotSent => Outcome::NotSent,
            EndReason::Ended => Outcome::Ended,
            EndReason::NoCircuit => Outcome::NoCircuit,
            EndReason::TandemRefused => Outcome::TandemRefused,
            EndReason::DestinationProcessorFull => Outcome::DestinationProcessorFull,
            EndReason::ProcessorFull(wait) => Outcome::ProcessorFull(wait),
            EndReason::LocalProcessorDown => Outcome::LocalProcessorDown,
            EndReason::NumberBusy => Outcome::NumberBusy,
            EndReason::Fault => Outcome::Fault,
        }
    }

    /// Whether the circuits of the attempt may stay occupied for a while after its end.
    pub fn needs_release_delay(self) -> bool {
        use Outcome::*;
        matches!(self.outcome(), TimedOut | Reset | Disconnected | Cancelled)
    }

    /// The name that is used in the log and in the statistics.
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
            EndReason::BuffersFull => "buffers full",
            EndReason::ClosedLocally => "closed here",
            EndReason::TimedOut => "timed out",
            EndReason::Overtaken => "overtaken",
            EndReason::Cancelled => "given up",
            EndReason::NotSent => "not sent",
            EndReason::Ended => "ended",
            EndReason::NoCircuit => "no circuit",
            EndReason::TandemRefused => "turned back",
            EndReason::DestinationProcessorFull => "far processor full",
            EndReason::ProcessorFull(_) => "processor full",
            EndReason::LocalProcessorDown => "own processor down",
            EndReason::NumberBusy => "number busy",
            EndReason::Fault => "fault",
            EndReason::Dropped => "cut",
            EndReason::ExchangeDead => "lost",
            EndReason::ShutDown => "shut down",
        }
    }
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
