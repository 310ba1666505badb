//! The life of every call, on no wire in particular: neutral events in, neutral commands out.
//!
//! The engine owns the [`Controller`] and carries out what it decides. Whatever the controller or a front
//! says, it holds to what the rules ask of any front: one final answer before the caller gives up, one
//! attempt out, the wait for release, and nothing new to an exchange that drains or is gone.

mod upkeep;

pub use upkeep::Upkeep;

use crate::deadlines::Deadlines;
use crate::end::End;
use crate::liveness::{Incarnation, Liveness};
use crate::notices::Notice;
use crate::slots::{Slots, Token};
use slateshed::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The final answer is written this long before the caller gives up at the latest.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);
/// A processor has one line. A direct set-up that this many sent later have overtaken, each by this time at least,
/// will have no answer: it was lost or held up on its way back.
const OVERTAKEN_BY: u32 = 4;
const SENT_LATER: Duration = Duration::from_millis(20);

/// A call in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub Token);

/// An attempt in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptToken(pub Token);

/// What goes on unchanged from the caller to the exchange.
#[derive(Debug, PartialEq, Eq)]
pub struct Offer {
    /// The caller's id of the call.
    pub id: String,
    /// The class, by name.
    pub class: String,
    /// The number called, as written.
    pub key: String,
    /// The description.
    pub description: String,
}

/// A call as a front hands it over.
#[derive(Debug)]
pub struct Incoming {
    /// What goes on unchanged.
    pub offer: Rc<Offer>,
    /// Its class, by position in the settings.
    pub class: usize,
    /// The number called.
    pub dialled: DialledNumber,
    /// How long the caller waits from now.
    pub patience: Duration,
    /// Where it goes.
    pub destination: ExchangeNumber,
    /// Circuits it takes.
    pub circuits: u32,
    /// The tandem that a centre advised.
    pub advice: Option<ExchangeNumber>,
    /// Where it comes from.
    pub origin: Origin,
}

/// What the engine wants of the fronts, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the set-up to the exchange.
    SetUp {
        /// The attempt that it starts.
        attempt: AttemptToken,
        /// Where to.
        exchange: ExchangeId,
        /// What goes on unchanged.
        offer: Rc<Offer>,
        /// How long the answer is waited for.
        wait: Duration,
    },
    /// Give an attempt up that has no answer.
    GiveUp(AttemptToken),
    /// Release a call that stands towards the exchange.
    ReleaseExchange(AttemptToken, Cause),
    /// Nothing is owed for an attempt any more: what stood there is lost.
    Forget(AttemptToken),
    /// Final answer: the call stands, with the exchange's description.
    Answer(CallToken, String),
    /// Final answer: refused, with the time to stay away.
    Refuse(CallToken, Option<Duration>),
    /// Final answer: failed.
    Fail(CallToken),
    /// Release a call that stood towards the caller.
    ReleaseCaller(CallToken, Cause),
}

impl Command {
    /// Whether it goes to the caller's front, not to the exchange's.
    pub fn is_for_caller(&self) -> bool {
        use Command::*;
        matches!(self, Answer(..) | Refuse(..) | Fail(_) | ReleaseCaller(..))
    }
}

/// Why a call that stood is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It came to its end.
    Normal,
    /// It was cut.
    Cut,
}

/// What the engine waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A timer of the controller.
    Controller(TimerId),
    /// The last moment for a call's final answer.
    Answer(CallToken),
    /// The end of the wait for an attempt.
    Attempt(AttemptToken),
    /// It is time to look whether an exchange at which calls stand still lives.
    Review(ExchangeId),
}

/// How many calls of a class have got which final answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Results {
    /// The call stood.
    pub succeeded: u64,
    /// Refused.
    pub declined: u64,
    /// Failed.
    pub aborted: u64,
}

/// What has been done since the start, and what there is now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Final answers, by class.
    pub results: Vec<Results>,
    /// Set-ups written whole to exchanges.
    pub forwards: u64,
    /// Calls taken and not ended.
    pub outstanding: usize,
    /// Exchanges in the list.
    pub discovered: usize,
    /// Of these the ones that the controller avoids.
    pub ejected: usize,
    /// Calls that stand.
    pub standing: usize,
    /// Calls that stood and whose callers were told of their end, by why they were over.
    pub releases: BTreeMap<&'static str, u64>,
    /// Set-ups that ended without an answer, by how.
    pub attempt_ends: BTreeMap<&'static str, u64>,
    /// Set-ups that were not the first of their call.
    pub retries: u64,
    /// Checks of exchanges at which calls stand and that were silent.
    pub checks: u64,
    /// Observations that spoke against the life of an exchange.
    pub adverse_observations: u64,
}

#[derive(Debug)]
struct Call {
    offer: Rc<Offer>,
    class: usize,
    destination: ExchangeNumber,
    /// The final answer has been given before then.
    answer_by: Duration,
    /// No set-up before then, after an attempt that may still hold what it took.
    not_before: Duration,
    /// Attempts so far, and the one that is out or stands.
    attempts: u32,
    attempt: Option<AttemptToken>,
    /// How the last attempt ended.
    last_end: Option<End>,
}

#[derive(Debug)]
struct Attempt {
    call: CallToken,
    exchange: ExchangeId,
    number: u32,
    sent: Duration,
    stands: bool,
    /// When it was answered, and by which process.
    stood: Duration,
    incarnation: Incarnation,
    /// It went to its destination; how many later ones that did have been answered since.
    direct: bool,
    overtaken: u32,
}

#[derive(Debug)]
struct Exchange {
    name: String,
    number: ExchangeNumber,
    phase: Phase,
    started: Duration,
    liveness: Liveness,
    /// A review is due in time.
    is_watched: bool,
}

/// The engine.
pub struct Engine {
    controller: Controller,
    /// The longest that a refused caller may be told to stay away.
    stay_away: Duration,
    calls: Slots<Call>,
    attempts: Slots<Attempt>,
    /// Those of the list, and those gone on which an attempt is still out.
    exchanges: BTreeMap<ExchangeId, Exchange>,
    names: HashMap<String, ExchangeId>,
    next_exchange: u32,
    /// Events for the controller that came up while others were handled.
    pending: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// After a planned stop was asked for: no answer is owed beyond this.
    stop_by: Option<Duration>,
    results: Vec<Results>,
    forwards: u64,
    releases: BTreeMap<&'static str, u64>,
    attempt_ends: BTreeMap<&'static str, u64>,
    retries: u64,
    checks: u64,
    adverse_observations: u64,
    /// What the log has not been told yet.
    notices: VecDeque<Notice>,
    /// What is wanted of the connections to exchanges.
    upkeep: VecDeque<Upkeep>,
}

impl Engine {
    /// An engine without calls.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let stay_away = settings.retry_after;
        let results = vec![Results::default(); settings.classes.len()];
        Ok(Engine {
            controller: Controller::new(settings, seed)?,
            stay_away,
            calls: Slots::default(),
            attempts: Slots::default(),
            exchanges: BTreeMap::new(),
            names: HashMap::new(),
            next_exchange: 0,
            pending: VecDeque::from([Event::Started]),
            actions: Vec::new(),
            commands: VecDeque::new(),
            stop_by: None,
            results,
            forwards: 0,
            releases: BTreeMap::new(),
            attempt_ends: BTreeMap::new(),
            retries: 0,
            checks: 0,
            adverse_observations: 0,
            notices: VecDeque::new(),
            upkeep: VecDeque::new(),
        })
    }

    /// How long a caller is told to stay away whom the controller has not decided on, where callers follow that.
    pub fn stay_away(&self) -> Option<Duration> {
        Some(self.stay_away).filter(|s| !s.is_zero())
    }

    /// Whether a command waits to be carried out.
    pub fn has_commands(&self) -> bool {
        !self.commands.is_empty()
    }

    /// The next command.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// The next thing that the log has to be told.
    pub fn next_notice(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    /// Calls whose final answer is still owed.
    pub fn owed(&self) -> usize {
        let stands = |c: &Call| c.attempt.and_then(|a| self.attempts.get(a.0)).is_some_and(|a| a.stands);
        self.calls.iter().filter(|(_, c)| !stands(c)).count()
    }

    /// Calls that stand.
    pub fn standing(&self) -> usize {
        self.attempts.iter().filter(|(_, a)| a.stands).count()
    }

    /// Exchanges that are kept in mind.
    pub fn known(&self) -> usize {
        self.exchanges.len().max(self.names.len())
    }

    /// The figures that operators ask for.
    pub fn figures(&self) -> Figures {
        Figures {
            results: self.results.clone(),
            forwards: self.forwards,
            outstanding: self.calls.len(),
            discovered: self.exchanges.values().filter(|e| e.phase != Phase::Gone).count(),
            ejected: self.controller.avoided(),
            standing: self.standing(),
            releases: self.releases.clone(),
            attempt_ends: self.attempt_ends.clone(),
            retries: self.retries,
            checks: self.checks,
            adverse_observations: self.adverse_observations,
        }
    }

    /// A front has written so many set-ups whole.
    pub fn forwarded(&mut self, set_ups: u64) {
        self.forwards += set_ups;
    }

    /// A front has refused a call that never came to be one here.
    pub fn turned_away(&mut self, class: usize) {
        self.count(class, |r| &mut r.declined);
    }

    fn count(&mut self, class: usize, answer: impl FnOnce(&mut Results) -> &mut u64) {
        if let Some(results) = self.results.get_mut(class) {
            *answer(results) += 1;
        }
    }

    /// The exchange of a name, if the list has it.
    pub fn exchange(&self, name: &str) -> Option<ExchangeId> {
        self.names.get(name).copied()
    }

    /// The name of an exchange.
    pub fn name(&self, exchange: ExchangeId) -> &str {
        self.exchanges.get(&exchange).map_or("?", |e| &e.name)
    }

    /// The number that an exchange serves.
    pub fn number(&self, exchange: ExchangeId) -> Option<ExchangeNumber> {
        self.exchanges.get(&exchange).map(|e| e.number)
    }

    /// A planned stop: all calls that are owed an answer get one before `by`.
    pub fn stop<D: From<Wake>>(&mut self, by: Duration, deadlines: &mut Deadlines<D>) {
        self.stop_by = Some(by);
        for (token, _) in self.calls.iter() {
            deadlines.set(by, Wake::Answer(CallToken(token)).into());
        }
    }

    /// Takes in a call.
    pub fn call<D: From<Wake>>(
        &mut self,
        now: Duration,
        new: Incoming,
        d: &mut Deadlines<D>,
    ) -> CallToken {
        let limit = self.stop_by.unwrap_or(Duration::MAX);
        let answer_by = now.saturating_add(new.patience).saturating_sub(ANSWER_MARGIN).min(limit);
        let answer_by = answer_by.max(now);
        let call = CallToken(self.calls.insert(Call {
            offer: new.offer,
            class: new.class,
            destination: new.destination,
            answer_by,
            not_before: Duration::ZERO,
            attempts: 0,
            attempt: None,
            last_end: None,
        }));
        d.set(answer_by, Wake::Answer(call).into());
        let event = Event::Call(NewCall {
            call: CallId(call.0.bits()),
            class: new.class,
            tenant: 0,
            dialled: new.dialled,
            patience: answer_by - now,
            destination: new.destination,
            circuits: new.circuits,
            advice: new.advice,
            origin: new.origin,
        });
        self.tell(now, event, d);
        call
    }

    /// The caller has given the set-up up, or released the call that stands.
    pub fn caller_ends<D: From<Wake>>(&mut self, now: Duration, call: CallToken, d: &mut Deadlines<D>) {
        let Some(c) = self.calls.get(call.0) else {
            return;
        };
        let attempt = c.attempt;
        match attempt.and_then(|a| self.attempts.get(a.0)) {
            Some(a) if a.stands => {
                self.calls.remove(call.0);
                self.end_attempt(now, attempt, End::GivenUp, true, d);
            }
            _ => {
                self.calls.remove(call.0);
                self.pending.push_back(Event::CallerGone(CallId(call.0.bits())));
                self.end_attempt(now, attempt, End::GivenUp, true, d);
            }
        }
    }

    /// The exchange has answered: the call stands. False if the attempt is over or stood before. `by`: the process
    /// that the answer's connection leads to; the newest, where fronts don't tell processes apart.
    pub fn answered<D: From<Wake>>(
        &mut self,
        now: Duration,
        attempt: AttemptToken,
        by: Option<Incarnation>,
        description: String,
        d: &mut Deadlines<D>,
    ) -> bool {
        let Some(a) = self.attempts.get_mut(attempt.0).filter(|a| !a.stands) else {
            return false;
        };
        (a.stands, a.stood) = (true, now);
        if let Some(e) = self.exchanges.get_mut(&a.exchange) {
            a.incarnation = by.unwrap_or_else(|| e.liveness.newest(now));
            e.liveness.heard(now, a.incarnation);
        }
        let (call, number, delay) = (a.call, a.number, now.saturating_sub(a.sent));
        let (exchange, sent, direct) = (a.exchange, a.sent, a.direct);
        self.commands.push_back(Command::Answer(call, description));
        if let Some(class) = self.calls.get(call.0).map(|c| c.class) {
            self.count(class, |r| &mut r.succeeded);
        }
        if direct {
            self.overtake(now, exchange, sent);
        }
        self.tell(now, Event::Stands { call: CallId(call.0.bits()), attempt: number, delay }, d);
        self.watch(now, exchange, d);
        true
    }

    /// A direct set-up was answered: those sent before it to the same exchange should have been.
    fn overtake(&mut self, now: Duration, exchange: ExchangeId, sent: Duration) {
        let mut lost = Vec::new();
        for (token, a) in self.attempts.iter_mut() {
            if a.exchange == exchange && a.direct && !a.stands && a.sent + SENT_LATER <= sent {
                a.overtaken += 1;
                if a.overtaken >= OVERTAKEN_BY {
                    lost.push(AttemptToken(token));
                }
            }
        }
        for attempt in lost {
            self.commands.push_back(Command::GiveUp(attempt));
            self.attempts_over(now, attempt, End::Overtaken, false);
        }
    }

    /// An attempt, out or standing, has ended at the exchange or with its connection. A connection that
    /// ends takes with it only what has not been answered: what stands belongs to no connection.
    pub fn attempt_ended<D: From<Wake>>(
        &mut self,
        now: Duration,
        attempt: AttemptToken,
        end: End,
        d: &mut Deadlines<D>,
    ) {
        let Some(a) = self.attempts.get(attempt.0) else {
            return;
        };
        if a.stands {
            let call = a.call;
            let cause = if end == End::Ended { Cause::Normal } else { Cause::Cut };
            self.note_release(now, attempt, end);
            self.calls.remove(call.0);
            self.commands.push_back(Command::ReleaseCaller(call, cause));
            self.attempts_over(now, attempt, end, true);
        } else {
            self.attempts_over(now, attempt, end, false);
        }
        self.run(now, d);
    }

    /// Notes that a call was refused.
    fn note_refused(&mut self, call: &Call) {
        let (attempts, last) = (call.attempts, call.last_end);
        self.notices.push_back(Notice::Refused { call: call.offer.id.clone(), attempts, last });
    }

    /// Notes that the caller of a call that stands is told of its end.
    fn note_release(&mut self, now: Duration, attempt: AttemptToken, why: End) {
        let Some(a) = self.attempts.get(attempt.0) else {
            return;
        };
        *self.releases.entry(why.name()).or_default() += 1;
        let call = self.calls.get(a.call.0).map_or(String::new(), |c| c.offer.id.clone());
        let (exchange, stood) = (self.name(a.exchange).to_owned(), now.saturating_sub(a.stood));
        self.notices.push_back(Notice::Released { call, exchange, why, stood });
    }

    /// Whether an attempt has been answered and not ended.
    pub fn stands(&self, attempt: AttemptToken) -> bool {
        self.attempts.get(attempt.0).is_some_and(|a| a.stands)
    }

    /// The state of the group to an exchange.
    pub fn circuits<D: From<Wake>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        (free, size): (u32, u32),
        d: &mut Deadlines<D>,
    ) {
        self.tell(now, Event::Circuits { exchange, free, size }, d);
    }

    /// News of the list.
    pub fn list<D: From<Wake>>(
        &mut self,
        now: Duration,
        whole: bool,
        lines: &[Listed],
        d: &mut Deadlines<D>,
    ) {
        let mut lost = Vec::new();
        let mut entries = Vec::with_capacity(lines.len());
        if whole {
            for (id, e) in &mut self.exchanges {
                if !lines.iter().any(|l| l.name == e.name) && e.phase != Phase::Gone {
                    e.phase = Phase::Gone;
                    lost.push((*id, Duration::MAX));
                }
            }
        }
        for l in lines {
            let next = ExchangeId(self.next_exchange);
            self.note_listed(l);
            let id = *self.names.entry(l.name.clone()).or_insert(next);
            self.next_exchange += u32::from(id == next);
            let e = self.exchanges.entry(id).or_insert_with(|| Exchange {
                name: l.name.clone(),
                number: l.number,
                phase: l.phase,
                started: l.started,
                liveness: Liveness::default(),
                is_watched: false,
            });
            // A process that has started anew knows nothing of the calls before; one withdrawn has none.
            if l.phase == Phase::Gone {
                lost.push((id, Duration::MAX));
            } else if l.started > e.started {
                lost.push((id, l.started));
            }
            (e.phase, e.started) = (l.phase, l.started);
            entries.push(l.entry(id));
        }
        let list = if whole { List::Whole(entries) } else { List::Change(entries) };
        self.pending.push_back(Event::List(list));
        for (id, until) in lost {
            self.lose(now, id, until, d);
        }
        self.run(now, d);
    }

    /// Notes what a line of the list changes.
    fn note_listed(&mut self, line: &Listed) {
        let known = self.names.get(&line.name).and_then(|id| self.exchanges.get(id));
        let from = known.map(|e| e.phase);
        let restarted = known.is_some_and(|e| line.started > e.started);
        if from != Some(line.phase) || restarted {
            let (exchange, to) = (line.name.clone(), line.phase);
            self.notices.push_back(Notice::Listed { exchange, from, to, restarted });
        }
    }

    /// Forgets the exchanges that are gone, once nothing is out there. They are replaced for good, under other
    /// names, so whoever keeps them grows for as long as it runs. Fronts look names up until the news is dealt
    /// with, so this is for them to call then.
    pub fn forget_gone(&mut self) {
        let attempts = &self.attempts;
        self.exchanges
            .retain(|id, e| e.phase != Phase::Gone || attempts.iter().any(|(_, a)| a.exchange == *id));
        let exchanges = &self.exchanges;
        self.names.retain(|_, id| exchanges.contains_key(id));
    }

    /// A deadline of the engine is due.
    pub fn wake<D: From<Wake>>(&mut self, now: Duration, wake: Wake, d: &mut Deadlines<D>) {
        match wake {
            Wake::Controller(timer) => self.pending.push_back(Event::Timer(timer)),
            Wake::Attempt(attempt) => {
                if self.attempts.get(attempt.0).is_some_and(|a| !a.stands) {
                    self.commands.push_back(Command::GiveUp(attempt));
                    self.attempts_over(now, attempt, End::TimedOut, false);
                }
            }
            Wake::Answer(call) => self.last_moment(now, call, d),
            Wake::Review(exchange) => self.review(now, exchange, d),
        }
        self.run(now, d);
    }

    /// The caller is about to give up and no answer has been given: it is refused.
    fn last_moment<D: From<Wake>>(&mut self, now: Duration, call: CallToken, d: &mut Deadlines<D>) {
        let Some(c) = self.calls.get(call.0) else {
            return;
        };
        let attempt = c.attempt;
        if attempt.is_some_and(|a| self.stands(a)) {
            return;
        }
        if let Some(attempt) = attempt {
            // The controller may still have its say: it hears of a time-out first.
            self.commands.push_back(Command::GiveUp(attempt));
            self.attempts_over(now, attempt, End::TimedOut, false);
            self.run(now, d);
        }
        if let Some(c) = self.calls.remove(call.0) {
            self.count(c.class, |r| &mut r.declined);
            self.note_refused(&c);
            self.pending.push_back(Event::CallerGone(CallId(call.0.bits())));
            let stay = self.stay_away();
            self.commands.push_back(Command::Refuse(call, stay));
        }
    }

    /// Whatever has stood at an exchange since `until` or before is over. News may be late: what its new process has
    /// answered since it started goes on.
    fn lose<D: From<Wake>>(
        &mut self,
        now: Duration,
        exchange: ExchangeId,
        until: Duration,
        d: &mut Deadlines<D>,
    ) {
        let there = self.attempts.iter().filter(|(_, a)| a.exchange == exchange && a.stands);
        let there = there.filter(|(_, a)| a.stood <= until);
        let there: Vec<_> = there.map(|(t, _)| AttemptToken(t)).collect();
        for attempt in there {
            self.commands.push_back(Command::Forget(attempt));
            self.attempt_ended(now, attempt, End::Cut, d);
        }
    }

    /// Ends the attempt of a call that is already over on the caller's side.
    fn end_attempt<D: From<Wake>>(
        &mut self,
        now: Duration,
        attempt: Option<AttemptToken>,
        end: End,
        settled: bool,
        d: &mut Deadlines<D>,
    ) {
        if let Some(token) = attempt {
            if let Some(a) = self.attempts.get(token.0) {
                self.commands.push_back(if a.stands {
                    Command::ReleaseExchange(token, Cause::Normal)
                } else {
                    Command::GiveUp(token)
                });
                self.attempts_over(now, token, end, settled);
            }
        }
        self.run(now, d);
    }

    /// Takes an attempt out of the tables and has the controller told.
    fn attempts_over(&mut self, now: Duration, token: AttemptToken, end: End, settled: bool) {
        let Some(a) = self.attempts.remove(token.0) else {
            return;
        };
        if let Some(call) = self.calls.get_mut(a.call.0) {
            call.attempt = None;
            call.last_end = Some(end);
        }
        if !a.stands {
            *self.attempt_ends.entry(end.name()).or_default() += 1;
        }
        self.over(now, a.call, a.number, now.saturating_sub(a.sent), end, settled);
    }

    fn over(
        &mut self,
        now: Duration,
        call: CallToken,
        attempt: u32,
        delay: Duration,
        end: End,
        settled: bool,
    ) {
        if let Some(call) = self.calls.get_mut(call.0).filter(|_| end.needs_release_wait()) {
            call.not_before = now + self.controller.settings().rules.release;
        }
        self.pending.push_back(Event::AttemptOver(AttemptEnd {
            call: CallId(call.0.bits()),
            attempt,
            delay,
            outcome: end.outcome(),
            settled,
        }));
    }

    fn tell<D: From<Wake>>(&mut self, now: Duration, event: Event, d: &mut Deadlines<D>) {
        self.pending.push_back(event);
        self.run(now, d);
    }

    /// Hands the pending events to the controller and carries out what it decides.
    fn run<D: From<Wake>>(&mut self, now: Duration, d: &mut Deadlines<D>) {
        while let Some(event) = self.pending.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, d);
            }
            self.actions = actions;
        }
    }

    fn carry_out<D: From<Wake>>(&mut self, now: Duration, action: Action, d: &mut Deadlines<D>) {
        let token = |call: CallId| CallToken(Token::from_bits(call.0));
        match action {
            Action::SetUp { call, exchange, timeout } => {
                self.set_up(now, token(call), exchange, timeout, d)
            }
            Action::Refuse { call, retry_after } => {
                if let Some(c) = self.settle(token(call)) {
                    self.count(c.class, |r| &mut r.declined);
                    self.commands.push_back(Command::Refuse(token(call), retry_after));
                    self.note_refused(&c);
                }
            }
            Action::Fail(call) => {
                if let Some(c) = self.settle(token(call)) {
                    self.count(c.class, |r| &mut r.aborted);
                    self.commands.push_back(Command::Fail(token(call)));
                    let (call, attempts, last) = (c.offer.id.clone(), c.attempts, c.last_end);
                    self.notices.push_back(Notice::Failed { call, attempts, last });
                }
            }
            Action::SetTimer { timer, after } => d.set(now + after, Wake::Controller(timer).into()),
            // The list comes by itself on every wire spoken here.
            Action::Subscribe => {}
        }
    }

    /// Takes a call out for its final answer; none if it had one. An attempt still out is given up.
    fn settle(&mut self, call: CallToken) -> Option<Call> {
        let c = self.calls.remove(call.0)?;
        if let Some(a) = c.attempt.filter(|a| self.attempts.remove(a.0).is_some()) {
            self.commands.push_back(Command::GiveUp(a));
        }
        Some(c)
    }

    fn set_up<D: From<Wake>>(
        &mut self,
        now: Duration,
        token: CallToken,
        exchange: ExchangeId,
        timeout: Duration,
        d: &mut Deadlines<D>,
    ) {
        let Some(call) = self.calls.get_mut(token.0) else {
            return;
        };
        let number = call.attempts;
        call.attempts += 1;
        let in_service = self.exchanges.get(&exchange).is_some_and(|e| e.phase == Phase::InService);
        let wait = timeout.min(call.answer_by.saturating_sub(now));
        if call.attempt.is_some() || now < call.not_before || !in_service || wait.is_zero() {
            return self.over(now, token, number, Duration::ZERO, End::NotSent, false);
        }
        let (offer, destination, after) = (Rc::clone(&call.offer), call.destination, call.last_end);
        if number > 0 {
            self.retries += 1;
            let (call, exchange) = (offer.id.clone(), self.name(exchange).to_owned());
            self.notices.push_back(Notice::Retried { call, exchange, attempt: number, after });
        }
        let direct = self.number(exchange) == Some(destination);
        let attempt = Attempt {
            call: token,
            exchange,
            number,
            sent: now,
            stands: false,
            stood: now,
            incarnation: Incarnation::default(),
            direct,
            overtaken: 0,
        };
        let attempt = AttemptToken(self.attempts.insert(attempt));
        if let Some(call) = self.calls.get_mut(token.0) {
            call.attempt = Some(attempt);
        }
        d.set(now + wait, Wake::Attempt(attempt).into());
        self.commands.push_back(Command::SetUp { attempt, exchange, offer, wait });
    }
}
