//! Types shared by the controller and the host that embeds it: settings, events, actions.
//!
//! This module takes no decisions; all of them are in [`crate::control`].

use std::fmt;
use std::time::Duration;

/// The id of a call, assigned by the host; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The id of one processor of an exchange or pool. It survives a restart; a replacement has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u32);

/// The number of an exchange or pool. A replacement of its processor keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeNumber(pub u32);

/// The number dialled by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialledNumber(pub u64);

/// The id of a timer requested by the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Whether the set-up of a call may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated set-ups do no harm.
    Idempotent,
    /// The exchanges in a [`DedupScope`] recognise repeated set-ups of one call for a limited time.
    Deduplicated {
        /// The exchanges that recognise the repeats.
        scope: DedupScope,
        /// How long repeats are recognised, counted from the first set-up that may have run.
        window: Duration,
    },
    /// After a set-up that may have run, the call must neither be set up again nor be refused.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a call may be refused after a set-up that may have run.
    pub fn allows_refusal(self) -> bool {
        let scope = DedupScope::All;
        self == Idempotency::Idempotent
            || matches!(self, Idempotency::Deduplicated { scope: s, .. } if s == scope)
    }
}

/// The set of exchanges among which repeated set-ups are deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All exchanges.
    All,
    /// The exchanges in the zone of the first exchange that was sent the set-up.
    Zone,
    /// The processors with the number of the first exchange that was sent the set-up.
    Number,
}

/// One class of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A call that is answered within this time earns its full worth.
    pub target_delay: Duration,
    /// Time over which a caller keeps trying, redials included.
    pub deadline: Duration,
    /// Worth of a call that is answered within its target delay.
    pub worth: f64,
    /// Share of the worth that a call earns if it is answered after its target delay.
    pub late_worth: f64,
    /// Mean duration of an answered call.
    pub mean_hold: Duration,
    /// Whether set-ups may be repeated.
    pub idempotency: Idempotency,
    /// With pools: the pools that serve the class; empty if all do.
    pub pools: Vec<ExchangeNumber>,
}

/// How the exchanges are connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Trunk groups between exchanges; this controller serves the local exchange.
    Mesh {
        /// The local exchange.
        local: ExchangeNumber,
    },
    /// Pools of agents shared by all controllers; there are no tandem routes.
    Pools,
}

/// How the controller gets changes of the list of exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive without a subscription.
    Pushed,
    /// Changes arrive only after a subscription ([`Action::Subscribe`]).
    OnRequest,
}

/// Limits that the rules of the network set: the grace period of a drain, the overload limit and slow start of a
/// cold exchange, and the release delay before a retry.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Time after the notice of a drain within which new set-ups to the exchange must end. The controller
    /// sends none from the notice on, and does not use this value.
    pub drain_grace: Duration,
    /// A cold exchange becomes overloaded if it is sent more than this multiple of its current capacity.
    pub overload_multiple: f64,
    /// The window over which those set-ups are counted.
    pub overload_window: Duration,
    /// Lowest share of its full capacity that an exchange starts with; above 0 and at most 1.
    pub cold_capacity_ratio: f64,
    /// Time after its start by which an exchange has its full capacity.
    pub warm_up_time: Duration,
    /// Delay before a call is set up again after a timeout, reset or cancel.
    pub release_delay: Duration,
}

/// Settings of the controller, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How the exchanges are connected.
    pub topology: Topology,
    /// Classes; calls refer to them by index.
    pub classes: Vec<Class>,
    /// Quota of each tenant, in set-ups a second over all controllers; may be empty. The controller checks
    /// it at the start but takes no decision by it.
    pub tenant_quota: Vec<f64>,
    /// Worth of a call beyond its tenant's quota, as a share of the worth of its class; no decision uses it
    /// either.
    pub over_share_worth: f64,
    /// Limits that the rules of the network set.
    pub rules: Rules,
    /// Number of controllers, including this one.
    pub controller_count: u32,
    /// Index of this controller among them, from 0.
    pub controller_index: u32,
    /// Maximum number of set-ups for one call.
    pub max_attempts: u32,
    /// Minimum time between two runs of the controller.
    pub tick_interval: Duration,
    /// Interval at which the network retransmits an unanswered set-up; zero: never. Not used in decisions.
    pub resend_interval: Duration,
    /// How changes of the list arrive.
    pub discovery: Discovery,
    /// Longest retry-after that callers honour; zero if none is passed on to them.
    pub max_retry_after: Duration,
}

impl Settings {
    /// Checks the settings; the error names the first invalid one.
    pub fn check(&self) -> Result<(), SettingsError> {
        let invalid = |setting, expected| Err(SettingsError { setting, expected });
        if self.classes.is_empty() {
            return invalid("classes", "at least one class");
        }
        for class in &self.classes {
            if class.target_delay.is_zero() || class.deadline < class.target_delay {
                return invalid("classes.aim", "above zero and within the deadline");
            }
            let worth_valid = class.worth.is_finite() && class.worth >= 0.0;
            if !worth_valid || !(0.0..=1.0).contains(&class.late_worth) {
                return invalid("classes.worth", "zero or more, and late worth from 0 to 1");
            }
        }
        let rules = &self.rules;
        if !(rules.overload_multiple.is_finite() && rules.overload_multiple > 0.0) {
            return invalid("rules.fall_multiple", "above zero");
        }
        if !(rules.cold_capacity_ratio > 0.0 && rules.cold_capacity_ratio <= 1.0) {
            return invalid("rules.cold_from", "above 0, at most 1");
        }
        if self.controller_count == 0 {
            return invalid("siblings", "at least one controller");
        }
        if self.max_attempts == 0 {
            return invalid("attempts", "at least one attempt");
        }
        let is_valid = |q: &f64| q.is_finite() && *q >= 0.0;
        if !self.tenant_quota.iter().all(is_valid) || !is_valid(&self.over_share_worth) {
            return invalid("tenant_quota", "rates and worth of zero or more");
        }
        Ok(())
    }
}

/// An invalid setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The name of the setting in error messages; it can differ from the name of the field.
    pub setting: &'static str,
    /// The accepted values.
    pub expected: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.expected)
    }
}

impl std::error::Error for SettingsError {}

/// The state of a processor, according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts set-ups.
    InService,
    /// It completes its calls and accepts no new set-ups.
    Draining,
    /// It has left the network.
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
    /// Its state.
    pub phase: Phase,
    /// When it last started, by the host's clock; zero if that was long ago.
    pub started_at: Duration,
}

/// One entry of the list as a host receives it, with the name of the processor in place of its id.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedEntry {
    /// The name of the processor.
    pub name: String,
    /// The number it serves.
    pub number: ExchangeNumber,
    /// Its zone.
    pub zone: u32,
    /// Its state.
    pub phase: Phase,
    /// When it last started, by the host's clock; zero if that was long ago.
    pub started_at: Duration,
}

impl NamedEntry {
    /// Converts the entry for the controller, which knows the processor by the id that the host assigns.
    pub fn to_list_entry(&self, exchange: ExchangeId) -> ListEntry {
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
    /// The changed entries only.
    Delta(Vec<ListEntry>),
    /// All entries; an exchange that is missing is gone.
    Full(Vec<ListEntry>),
    /// The list could not be fetched, or the subscription broke; the old list stays valid.
    Failed,
}

/// The source of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A subscriber of this exchange.
    Subscriber,
    /// A subscriber who redials.
    Redial,
    /// A subscriber whose answered call was dropped.
    DroppedCall,
    /// Another exchange, for which this one is the tandem.
    Transit,
}

/// A new call for the controller to decide.
#[derive(Clone, Debug, PartialEq)]
pub struct NewCall {
    /// Its id.
    pub call: CallId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings. Not used in decisions.
    pub tenant: usize,
    /// The number dialled.
    pub dialled: DialledNumber,
    /// Time until the caller abandons the call.
    pub patience: Duration,
    /// Its destination; with pools, the first choice.
    pub destination: ExchangeNumber,
    /// Number of circuits that it takes on each trunk group.
    pub circuits: u32,
    /// The tandem or pool with the most free circuits, as reported by a central service some time ago.
    pub route_hint: Option<ExchangeNumber>,
    /// Its source.
    pub origin: Origin,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call was answered and has ended.
    Ended,
    /// No circuit (or agent) was free.
    NoCircuit,
    /// The tandem refused the call.
    TandemRefused,
    /// The tandem refused the call because the destination's processor was full.
    DestinationProcessorFull,
    /// The processor was full; with the retry-after from its answer, if there was one.
    ProcessorFull(Option<Duration>),
    /// All lines of the dialled number are busy.
    NumberBusy,
    /// A signalling fault.
    Fault,
    /// No answer before the timeout.
    TimedOut,
    /// No connection to the processor could be made.
    Unreachable,
    /// The set-up was reset, or the established call was dropped.
    Reset,
    /// The connection of the set-up ended, data on it was corrupted, or the answer was lost; the set-up may
    /// have run.
    Disconnected,
    /// The set-up was cancelled.
    Cancelled,
    /// The set-up was not sent.
    NotSent,
    /// The set-up was not sent because the local processor is down.
    LocalProcessorDown,
}

impl Outcome {
    /// Whether this outcome proves that the set-up never ran.
    pub fn proves_not_run(self) -> bool {
        use Outcome::*;
        let was_rejected =
            matches!(self, NoCircuit | TandemRefused | DestinationProcessorFull | ProcessorFull(_));
        was_rejected || matches!(self, Unreachable | NotSent | LocalProcessorDown)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The call.
    pub call: CallId,
    /// Index of the attempt within the call, from 0.
    pub attempt: u32,
    /// Time from the set-up to this end.
    pub delay: Duration,
    /// Its outcome.
    pub outcome: Outcome,
    /// Whether the call itself has ended; otherwise its final answer is still outstanding.
    pub call_ended: bool,
}

/// An input to the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The controller starts; sent once, before all other events.
    Started,
    /// An update of the list.
    List(ListUpdate),
    /// A call to decide.
    Call(NewCall),
    /// A call has been answered.
    Answered {
        /// The call.
        call: CallId,
        /// Index of the attempt within the call, from 0.
        attempt: u32,
        /// Time from the set-up to the answer.
        delay: Duration,
    },
    /// An attempt has ended; exactly one event for each set-up.
    AttemptEnded(AttemptEnd),
    /// The caller abandoned the call; no final answer is expected any more.
    CallerAbandoned(CallId),
    /// State of the trunk group to an exchange (or of the agents of a pool).
    Circuits {
        /// The exchange at the other end.
        exchange: ExchangeId,
        /// Number of free circuits.
        free: u32,
        /// Number of all circuits.
        size: u32,
    },
    /// A timer is due.
    Timer(TimerId),
}

/// A request of the controller to its host; actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up of the call to an exchange. The attempts of a call are numbered from 0.
    SetUp {
        /// The call.
        call: CallId,
        /// The first exchange of the route.
        exchange: ExchangeId,
        /// Cancel the attempt after this time.
        timeout: Duration,
    },
    /// Give the final answer: refused.
    Refuse {
        /// The call.
        call: CallId,
        /// Time after which the caller should redial.
        retry_after: Option<Duration>,
    },
    /// Give the final answer: failed. Used in place of a refusal where the call may have run and a redial
    /// could run it twice, and for a call of an unknown class.
    Fail(CallId),
    /// Send [`Event::Timer`] after a time.
    SetTimer {
        /// The id of the timer.
        timer: TimerId,
        /// The time, from now.
        after: Duration,
    },
    /// Subscribe to the changes of the list.
    Subscribe,
}
