//! Every way in which a connection, or an attempt on it, can end, and what it means to the controller.

use slateshed::Outcome;
use std::fmt;
use std::time::Duration;

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection was refused.
    Refused,
    /// The connection did not come up in time.
    DialTimedOut,
    /// The connection was reset before anything was written to it.
    NeverUp,
    /// No connection could be made from here: no descriptor, no route.
    NoSocket,
    /// The peer closed the connection in good order.
    Closed,
    /// The connection was reset or broke.
    Broken,
    /// The peer has been silent for too long.
    Silent,
    /// The peer began a message and did not end it.
    StoppedShort,
    /// The peer sent what is no message.
    Garbage,
    /// The peer sent more than a message may hold.
    Oversized,
    /// The peer takes nothing in, and too much waits for it.
    Backlog,
    /// This side closed the connection.
    ClosedHere,
    /// The attempt was not answered in time and was given up.
    TimedOut,
    /// Set-ups sent later were answered, so that no answer is to be expected, and the attempt was given up.
    Overtaken,
    /// The caller gave the attempt up.
    GivenUp,
    /// The attempt never left this side.
    NotSent,
    /// The call stood and has come to its end.
    Ended,
    /// No circuit (or agent) was free.
    NoCircuit,
    /// The tandem turned the call back.
    TurnedBack,
    /// The tandem turned the call back as the destination's processor was full.
    FarProcessorFull,
    /// The processor was full; with the wait that it told, where it told one.
    ProcessorFull(Option<Duration>),
    /// The own processor is down.
    OwnProcessorDown,
    /// All lines of the number are busy.
    NumberBusy,
    /// A signalling fault.
    Fault,
    /// The exchange reset the set-up or cut the call.
    Cut,
    /// The call stood at a process that has given no sign of life for too long.
    Lost,
}

impl End {
    /// What the controller is told. Only a connection that was refused or never came up proves that
    /// nothing ran; any other end of a connection may have cut a set-up that did.
    pub fn outcome(self) -> Outcome {
        match self {
            End::Refused | End::DialTimedOut | End::NeverUp | End::NoSocket => Outcome::Unreachable,
            End::Closed | End::Broken | End::Silent | End::StoppedShort => Outcome::Disconnected,
            End::Garbage | End::Oversized => Outcome::Disconnected,
            End::Backlog | End::ClosedHere | End::Overtaken => Outcome::Disconnected,
            End::Cut | End::Lost => Outcome::Reset,
            End::TimedOut => Outcome::TimedOut,
            End::GivenUp => Outcome::Cancelled,
            End::NotSent => Outcome::NotSent,
            End::Ended => Outcome::Ended,
            End::NoCircuit => Outcome::NoCircuit,
            End::TurnedBack => Outcome::TurnedBack,
            End::FarProcessorFull => Outcome::FarProcessorFull,
            End::ProcessorFull(wait) => Outcome::ProcessorFull(wait),
            End::OwnProcessorDown => Outcome::OwnProcessorDown,
            End::NumberBusy => Outcome::NumberBusy,
            End::Fault => Outcome::Fault,
        }
    }

    /// Whether what is still held for the attempt may take a while to come free.
    pub fn needs_release_wait(self) -> bool {
        use Outcome::*;
        matches!(self.outcome(), TimedOut | Reset | Disconnected | Cancelled)
    }

    /// Its name, in the log and in the figures.
    pub fn name(self) -> &'static str {
        match self {
            End::Refused => "connection refused",
            End::DialTimedOut => "connection not up in time",
            End::NeverUp => "reset before it was up",
            End::NoSocket => "no socket",
            End::Closed => "closed by the peer",
            End::Broken => "connection broke",
            End::Silent => "peer silent",
            End::StoppedShort => "message not whole",
            End::Garbage => "no message",
            End::Oversized => "message too long",
            End::Backlog => "peer takes nothing in",
            End::ClosedHere => "closed here",
            End::TimedOut => "timed out",
            End::Overtaken => "overtaken",
            End::GivenUp => "given up",
            End::NotSent => "not sent",
            End::Ended => "ended",
            End::NoCircuit => "no circuit",
            End::TurnedBack => "turned back",
            End::FarProcessorFull => "far processor full",
            End::ProcessorFull(_) => "processor full",
            End::OwnProcessorDown => "own processor down",
            End::NumberBusy => "number busy",
            End::Fault => "fault",
            End::Cut => "cut",
            End::Lost => "lost",
        }
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
