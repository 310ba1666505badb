//! The words between the controller and whoever embeds it: settings, events, actions.
//!
//! Nothing here decides anything; every decision is in [`crate::control`].

use std::fmt;
use std::time::Duration;

/// A call, as the host names it; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One processor of an exchange or pool: it outlives a restart, but its replacement has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u32);

/// The number of an exchange or pool, which a replacement takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeNumber(pub u32);

/// The number that the caller dialled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialledNumber(pub u64);

/// A timer that the controller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Whether the set-up of a call may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// The exchanges within the [`DedupScope`] recognise repeated set-ups of one call for a limited time.
    Deduplicated {
        /// The exchanges that recognise the repeats.
        scope: DedupScope,
        /// How long after the first set-up that may have run repeats are recognised.
        window: Duration,
    },
    /// A set-up that may have run must not be repeated, nor the call be refused.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a call may be refused although a set-up may have run.
    pub fn allows_refusal(self) -> bool {
        let scope = DedupScope::All;
        self == Idempotency::Idempotent
            || matches!(self, Idempotency::Deduplicated { scope: s, .. } if s == scope)
    }
}

/// The set of exchanges among which repeated set-ups are deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of the first exchange's zone.
    Zone,
    /// Those of the first exchange's number.
    Number,
}

/// One class of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A call that is answered within this time earns its full worth.
    pub target_delay: Duration,
    /// How long a caller keeps trying, over all tries.
    pub deadline: Duration,
    /// What a call that stands in time is worth.
    pub worth: f64,
    /// Share of the worth for a call that stands after its aim.
    pub late_worth: f64,
    /// Mean duration of an answered call.
    pub mean_hold: Duration,
    /// Whether set-ups may be repeated.
    pub idempotency: Idempotency,
    /// With pools: those that serve the class; empty for all.
    pub pools: Vec<ExchangeNumber>,
}

/// How the exchanges are connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Trunk groups between exchanges; this controller serves the local one.
    Mesh {
        /// The local exchange.
        local: ExchangeNumber,
    },
    /// Pools of agents that all controllers share; no transit.
    Pools,
}

/// How the list of exchanges comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    Pushed,
    /// Changes come only once asked for.
    OnRequest,
}

/// The figures of the five rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// New set-ups to a draining exchange end within this time of the notice.
    pub drain_grace: Duration,
    /// A cold exchange becomes overloaded when sent more than this multiple of its current capacity.
    pub overload_multiple: f64,
    /// The window over which those set-ups are counted.
    pub overload_window: Duration,
    /// Lowest share of its full capacity with which an exchange starts, above 0 and at most 1.
    pub cold_capacity_ratio: f64,
    /// An exchange has its full capacity at the latest this long after its start.
    pub warm_up_time: Duration,
    /// Delay before a call is set up again after a time-out, reset or cancel.
    pub release_delay: Duration,
}

/// All that the controller is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Mesh or pools.
    pub topology: Topology,
    /// Classes, in the order in which calls name them.
    pub classes: Vec<Class>,
    /// Set-ups a second, of all controllers, within each tenant's share; may be empty.
    pub tenant_quota: Vec<f64>,
    /// Worth of a call beyond its tenant's share, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// The figures of the five rules.
    pub rules: Rules,
    /// How many controllers there are, this one included.
    pub controller_count: u32,
    /// Which of them this one is, counted from 0.
    pub controller_index: u32,
    /// Maximum number of set-ups for one call.
    pub max_attempts: u32,
    /// Minimum time between two runs of the controller.
    pub tick_interval: Duration,
    /// Interval at which the network retransmits an unanswered set-up; zero: never.
    pub resend_interval: Duration,
    /// How the list comes.
    pub discovery: Discovery,
    /// Longest retry-after that callers honour; zero where none is passed on.
    pub max_retry_after: Duration,
}

impl Settings {
    /// Whether the settings make sense; names the first that does not.
    pub fn check(&self) -> Result<(), SettingsError> {
        let wrong = |setting, expected| Err(SettingsError { setting, expected });
        if self.classes.is_empty() {
            return wrong("classes", "at least one class");
        }
        for c in &self.classes {
            if c.target_delay.is_zero() || c.deadline < c.target_delay {
                return wrong("classes.aim", "above zero and within the deadline");
            }
            let worth = c.worth.is_finite() && c.worth >= 0.0;
            if !worth || !(0.0..=1.0).contains(&c.late_worth) {
                return wrong("classes.worth", "zero or more, and late worth from 0 to 1");
            }
        }
        let r = &self.rules;
        if !(r.overload_multiple.is_finite() && r.overload_multiple > 0.0) {
            return wrong("rules.fall_multiple", "above zero");
        }
        if !(r.cold_capacity_ratio > 0.0 && r.cold_capacity_ratio <= 1.0) {
            return wrong("rules.cold_from", "above 0, at most 1");
        }
        if self.controller_count == 0 {
            return wrong("siblings", "at least one controller");
        }
        if self.max_attempts == 0 {
            return wrong("attempts", "at least one attempt");
        }
        let quota = |q: &f64| q.is_finite() && *q >= 0.0;
        if !self.tenant_quota.iter().all(quota) || !quota(&self.over_share_worth) {
            return wrong("tenant_quota", "rates and worth of zero or more");
        }
        Ok(())
    }
}

/// Settings that make no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting at fault.
    pub setting: &'static str,
    /// The values that it accepts.
    pub expected: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.expected)
    }
}

impl std::error::Error for SettingsError {}

/// What a processor is doing, as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes set-ups.
    InService,
    /// It ends what it has.
    Draining,
    /// It is withdrawn.
    Gone,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The processor.
    pub exchange: ExchangeId,
    /// The number it serves.
    pub number: ExchangeNumber,
    /// Its zone.
    pub zone: u32,
    /// What it is doing.
    pub phase: Phase,
    /// When it last started, by the host's clock; zero: long ago.
    pub started_at: Duration,
}

/// One entry of the list as a host receives it, with the name of the exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedEntry {
    /// The name of the processor.
    pub name: String,
    /// The number it serves.
    pub number: ExchangeNumber,
    /// Its zone.
    pub zone: u32,
    /// What it is doing.
    pub phase: Phase,
    /// When it last started, by the host's clock; zero: long ago.
    pub started_at: Duration,
}

impl NamedEntry {
    /// Converts the entry for the controller, which identifies exchanges by the host's ids.
    pub fn entry(&self, exchange: ExchangeId) -> ListEntry {
        ListEntry {
            exchange,
            number: self.number,
            zone: self.zone,
            phase: self.phase,
            started_at: self.started_at,
        }
    }
}

/// An update of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta(Vec<ListEntry>),
    /// All entries; an exchange that is missing is gone.
    Full(Vec<ListEntry>),
    /// The list could not be had, or the subscription broke; the old list stays.
    Failed,
}

/// Where a call comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A subscriber of this exchange.
    Subscriber,
    /// A subscriber who dialled before.
    Redial,
    /// A subscriber whose answered call was dropped.
    DroppedCall,
    /// Another exchange, for which this one is the tandem.
    Transit,
}

/// A call handed to this controller.
#[derive(Clone, Debug, PartialEq)]
pub struct NewCall {
    /// Its id.
    pub call: CallId,
    /// Its class, by position in the settings.
    pub class: usize,
    /// Its tenant, by position in the settings.
    pub tenant: usize,
    /// The number dialled.
    pub dialled: DialledNumber,
    /// Time until the caller gives up.
    pub patience: Duration,
    /// Where it goes; with pools the first choice.
    pub destination: ExchangeNumber,
    /// Circuits it takes on each trunk group.
    pub circuits: u32,
    /// The tandem or pool with the most free circuits, as reported by a central service some time ago.
    pub route_hint: Option<ExchangeNumber>,
    /// Where it comes from.
    pub origin: Origin,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call stood and has ended.
    Ended,
    /// No circuit (or agent) was free.
    NoCircuit,
    /// The tandem refused it.
    TandemRefused,
    /// The tandem refused it because the destination's processor was full.
    FarProcessorFull,
    /// The processor was full; with the wait that it told, where it tells one.
    ProcessorFull(Option<Duration>),
    /// All lines of the dialled number are busy.
    NumberBusy,
    /// A signalling fault.
    Fault,
    /// No answer in time.
    TimedOut,
    /// No connection to the processor.
    Unreachable,
    /// The set-up or the standing call was cut.
    Reset,
    /// The connection that the set-up was on ended, what came on it was spoilt, or the answer was lost on its
    /// way; it may have run.
    Disconnected,
    /// Called off.
    Cancelled,
    /// Not sent at all.
    NotSent,
    /// Not sent as the own processor is down.
    OwnProcessorDown,
}

impl Outcome {
    /// Whether this outcome proves that the set-up never ran.
    pub fn proves_not_run(self) -> bool {
        use Outcome::*;
        let was_rejected =
            matches!(self, NoCircuit | TandemRefused | FarProcessorFull | ProcessorFull(_));
        was_rejected || matches!(self, Unreachable | NotSent | OwnProcessorDown)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The call.
    pub call: CallId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// From the set-up to this end.
    pub delay: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the call itself has ended; otherwise its final answer is still outstanding.
    pub call_ended: bool,
}

/// What the controller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The controller runs from now on; once, before all else.
    Started,
    /// An update of the list.
    List(ListUpdate),
    /// A call to decide.
    Call(NewCall),
    /// A call has been answered.
    Answered {
        /// The call.
        call: CallId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// From the set-up to the answer.
        delay: Duration,
    },
    /// An attempt has ended; exactly one event for each set-up.
    AttemptEnded(AttemptEnd),
    /// The caller abandoned the call; no final answer is expected any more.
    CallerAbandoned(CallId),
    /// Circuits of the trunk group to an exchange (or agents of a pool).
    Circuits {
        /// The exchange at the other end.
        exchange: ExchangeId,
        /// Free ones.
        free: u32,
        /// All of them.
        size: u32,
    },
    /// A timer is due.
    Timer(TimerId),
}

/// What the controller wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to an exchange; attempts count up from 0.
    SetUp {
        /// The call.
        call: CallId,
        /// The first exchange on the way.
        exchange: ExchangeId,
        /// Give the attempt up after this time.
        timeout: Duration,
    },
    /// Final answer: refused.
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller should stay away.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed.
    Fail(CallId),
    /// Wake the controller.
    SetTimer {
        /// Its name.
        timer: TimerId,
        /// From now.
        after: Duration,
    },
    /// Ask for the changes of the list from now on.
    Subscribe,
}
