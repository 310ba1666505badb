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

/// What repeating a call's set-up may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm.
    Pure,
    /// The exchanges of one [`RepeatGroup`] know repeats of one call for a while.
    Token {
        /// Who knows the repeats.
        group: RepeatGroup,
        /// For how long after the first send that may have run.
        window: Duration,
    },
    /// A set-up that may have run must not be repeated, nor the call be refused.
    SideEffect,
}

impl Effect {
    /// Whether a call may be refused although a set-up may have run.
    pub fn lets_refuse(self) -> bool {
        let group = RepeatGroup::All;
        self == Effect::Pure || matches!(self, Effect::Token { group: g, .. } if g == group)
    }
}

/// The exchanges that know each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
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
    /// A call that stands within this time earns its full worth.
    pub aim: Duration,
    /// How long a caller keeps trying, over all tries.
    pub deadline: Duration,
    /// What a call that stands in time is worth.
    pub worth: f64,
    /// Share of the worth for a call that stands after its aim.
    pub late_worth: f64,
    /// Mean duration of a call.
    pub hold: Duration,
    /// What repeats may do.
    pub effect: Effect,
    /// With pools: those that serve the class; empty for all.
    pub pools: Vec<ExchangeNumber>,
}

/// What the exchanges are to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// Trunk groups between exchanges; this controller stands at the one named.
    Mesh {
        /// The own exchange.
        here: ExchangeNumber,
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
    /// A cold exchange falls over when sent more than this multiple of what it can do.
    pub fall_multiple: f64,
    /// The span over which that is counted.
    pub fall_window: Duration,
    /// Least share of its capacity at which an exchange starts.
    pub cold_from: f64,
    /// It is warm at the latest this long after its start.
    pub cold_time: Duration,
    /// Wait before a call is sent again after a time-out, reset or cancel.
    pub release: Duration,
}

/// All that the controller is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Mesh or pools.
    pub layout: Layout,
    /// Classes, in the order in which calls name them.
    pub classes: Vec<Class>,
    /// Set-ups a second, of all controllers, within each tenant's share; may be empty.
    pub tenant_quota: Vec<f64>,
    /// Worth of a call beyond its tenant's share, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// The figures of the five rules.
    pub rules: Rules,
    /// How many controllers there are, this one included.
    pub siblings: u32,
    /// Which of them this one is, counted from 0.
    pub position: u32,
    /// Most set-ups for one call.
    pub attempts: u32,
    /// Least time between two turns of the controller.
    pub tick: Duration,
    /// A set-up that waits is sent again by the network after this time; zero: never.
    pub resend: Duration,
    /// How the list comes.
    pub discovery: Discovery,
    /// Longest stay-away advice that callers follow; zero where none is passed on.
    pub retry_after: Duration,
}

impl Settings {
    /// Whether the settings make sense; names the first that does not.
    pub fn check(&self) -> Result<(), SettingsError> {
        let wrong = |setting, wanted| Err(SettingsError { setting, wanted });
        if self.classes.is_empty() {
            return wrong("classes", "at least one class");
        }
        for c in &self.classes {
            if c.aim.is_zero() || c.deadline < c.aim {
                return wrong("classes.aim", "above zero and within the deadline");
            }
            let worth = c.worth.is_finite() && c.worth >= 0.0;
            if !worth || !(0.0..=1.0).contains(&c.late_worth) {
                return wrong("classes.worth", "zero or more, and late worth from 0 to 1");
            }
        }
        let r = &self.rules;
        if !(r.fall_multiple.is_finite() && r.fall_multiple > 0.0) {
            return wrong("rules.fall_multiple", "above zero");
        }
        if !(r.cold_from > 0.0 && r.cold_from <= 1.0) {
            return wrong("rules.cold_from", "above 0, at most 1");
        }
        if self.siblings == 0 {
            return wrong("siblings", "at least one controller");
        }
        if self.attempts == 0 {
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
    /// What it should have been.
    pub wanted: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.wanted)
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

/// One line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The processor.
    pub exchange: ExchangeId,
    /// The number it serves.
    pub number: ExchangeNumber,
    /// Its zone.
    pub zone: u32,
    /// What it is doing.
    pub phase: Phase,
    /// When it last started, by the host's clock; zero: long ago.
    pub ready_at: Duration,
}

/// One line of the list as a host hears it, with the exchange's own name.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The name of the processor.
    pub name: String,
    /// The number it serves.
    pub number: ExchangeNumber,
    /// Its zone.
    pub zone: u32,
    /// What it is doing.
    pub phase: Phase,
    /// When it last started, by the host's clock; zero: long ago.
    pub started: Duration,
}

impl Listed {
    /// The line for the controller, which knows exchanges by an id of the host's.
    pub fn entry(&self, exchange: ExchangeId) -> Entry {
        Entry {
            exchange,
            number: self.number,
            zone: self.zone,
            phase: self.phase,
            ready_at: self.started,
        }
    }
}

/// A piece of news about the list.
#[derive(Clone, Debug, PartialEq)]
pub enum List {
    /// Changed lines only.
    Change(Vec<Entry>),
    /// All lines; who is missing is gone.
    Whole(Vec<Entry>),
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
    /// A subscriber whose standing call was cut.
    Cut,
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
    /// The tandem or pool that a centre saw with most room some time ago.
    pub advice: Option<ExchangeNumber>,
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
    /// The tandem turned it back.
    TurnedBack,
    /// The tandem turned it back as the destination's processor was full.
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
    /// Whether this end proves that the set-up never ran.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        let turned_away = matches!(self, NoCircuit | TurnedBack | FarProcessorFull | ProcessorFull(_));
        turned_away || matches!(self, Unreachable | NotSent | OwnProcessorDown)
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
    /// Whether the call itself has ended; else an answer is still owed.
    pub settled: bool,
}

/// What the controller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The controller runs from now on; once, before all else.
    Started,
    /// News of the list.
    List(List),
    /// A call to decide.
    Call(NewCall),
    /// A call stands.
    Stands {
        /// The call.
        call: CallId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// From the set-up to the answer.
        delay: Duration,
    },
    /// An attempt is over; exactly one for each set-up.
    AttemptOver(AttemptEnd),
    /// The caller left; no answer is owed any more.
    CallerGone(CallId),
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
