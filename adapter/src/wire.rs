//! The simulator's line protocol: reads batches of messages, one message a line, and writes a reply to each batch.

use slateshed::*;
use slateshed_settings::{self as settings_json, duration, JsonValue};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;

/// One line, split into the name of its message and its fields.
struct Line<'a> {
    message: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Parses `MESSAGE name=value name=value`. The value of the field named `last_field` runs to the end of the line
    /// and may contain spaces.
    fn parse(line: &'a str, last_field: &str) -> Result<Self, String> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(format!("{message}: a field without '='"));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(format!("{message}: a field without a name or '='"));
            }
            if name == last_field {
                fields.push((name, after));
                break;
            }
            let (value, next) = after.split_once(' ').unwrap_or((after, ""));
            fields.push((name, value));
            rest = next;
        }
        Ok(Line { message, fields })
    }

    /// The value of an optional field.
    fn find(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// The value of a required field.
    fn get(&self, name: &str) -> Result<&'a str, String> {
        self.find(name).ok_or_else(|| format!("{}: {name} is missing", self.message))
    }

    fn invalid(&self, name: &str) -> String {
        format!("{}: {name} is malformed or out of range", self.message)
    }

    fn int<T: std::str::FromStr>(&self, name: &str) -> Result<T, String> {
        self.get(name)?.parse().map_err(|_| self.invalid(name))
    }

    fn float(&self, name: &str) -> Result<f64, String> {
        let x: f64 = self.int(name)?;
        if x.is_finite() {
            Ok(x)
        } else {
            Err(self.invalid(name))
        }
    }

    /// A time in milliseconds.
    fn millis(&self, name: &str) -> Result<Duration, String> {
        duration(self.float(name)?).ok_or_else(|| self.invalid(name))
    }

    /// A 32-bit whole number, which may have a fraction of zero (`7.0`).
    fn whole_number(&self, name: &str) -> Result<u32, String> {
        let x = self.float(name)?;
        let fits = x.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&x);
        fits.then_some(x as u32).ok_or_else(|| self.invalid(name))
    }

    /// A field that is 0 or 1; 0 if missing.
    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(self.invalid(name)),
        }
    }
}

/// One entry of a list, as received: its exchange has no id yet, since each instance assigns its own.
#[derive(Clone)]
struct ListedExchange {
    name: String,
    number: ExchangeNumber,
    zone: u32,
    phase: Phase,
    started_at: Duration,
}

/// One controller, with the names and ids of the exchanges that it knows.
struct Instance {
    controller: Controller,
    ids: HashMap<String, ExchangeId>,
    /// Names of the exchanges, by id.
    names: Vec<String>,
    /// Names of the report fields with the free circuits and the size of a trunk group.
    report_fields: [String; 2],
}

impl Instance {
    /// Returns the id of an exchange; a new name gets the next id.
    fn id(&mut self, name: &str) -> ExchangeId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = ExchangeId(self.names.len() as u32);
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }
}

/// The state of the session with the simulator.
#[derive(Default)]
pub struct Session {
    /// The time of the current batch; none between batches.
    now: Option<Duration>,
    /// The instance that the messages are for.
    target: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    /// The defined lists, by their page number.
    lists: BTreeMap<u8, Vec<ListedExchange>>,
    /// The page number of the list being read, and how many of its lines are missing.
    list_in_progress: Option<(u8, usize)>,
    reply: String,
    /// The instance named by the last `AS` line of the reply.
    reply_instance: Option<u64>,
    actions: Vec<Action>,
}

impl Session {
    /// The reply to the last complete batch.
    pub fn reply(&self) -> &str {
        &self.reply
    }

    /// Checks that the input has not ended inside a batch.
    pub fn end_of_input(&self) -> Result<(), String> {
        match self.now {
            None => Ok(()),
            Some(_) => Err("end of input inside a batch".into()),
        }
    }

    /// Handles one line; returns true if it completes a batch, whose reply is then ready.
    pub fn handle_line(&mut self, line: &str) -> Result<bool, String> {
        if line.is_empty() {
            return match self.now {
                None => Ok(false),
                Some(_) => Err("an empty line inside a batch".into()),
            };
        }
        let line = Line::parse(line, if line.starts_with("POWER_ON ") { "info" } else { "" })?;
        if let Some((page, missing)) = self.list_in_progress {
            if line.message != "M" {
                return Err(format!("DEFINE_LIST: {missing} lines are missing before {}", line.message));
            }
            let entry = parse_listed_exchange(&line)?;
            self.lists.entry(page).or_default().push(entry);
            self.list_in_progress = (missing > 1).then_some((page, missing - 1));
            return Ok(false);
        }
        match (line.message, self.now) {
            ("MARK", None) => {
                self.now = Some(line.millis("at_time_ms")?);
                self.target = None;
                self.reply_instance = None;
                self.reply.clear();
            }
            ("MARK", Some(_)) => return Err("MARK: the previous batch has not ended".into()),
            (message, None) => return Err(format!("{message}: outside a batch")),
            ("EOF_BATCH", Some(_)) => {
                self.now = None;
                self.reply.push_str("NEXT\n");
                return Ok(true);
            }
            ("TARGET_INSTANCE", _) => self.target = Some(line.int("i")?),
            ("DEFINE_LIST", _) => {
                let page: u8 = line.int("page")?;
                if page > 15 {
                    return Err(line.invalid("page"));
                }
                let lines: usize = line.int("lines")?;
                self.lists.insert(page, Vec::new());
                self.list_in_progress = (lines > 0).then_some((page, lines));
            }
            (_, Some(now)) => self.handle_message(&line, now)?,
        }
        Ok(false)
    }

    /// Handles a message for the target instance.
    fn handle_message(&mut self, line: &Line, now: Duration) -> Result<(), String> {
        let target = self.target.ok_or_else(|| format!("{}: no instance was selected", line.message))?;
        match line.message {
            "POWER_ON" => {
                let seed: u64 = line.int("prng")?;
                let invalid_info = |e: String| format!("POWER_ON: info: {e}");
                let root: JsonValue =
                    settings_json::parse_json(line.get("info")?, 64).map_err(invalid_info)?;
                let settings = settings_json::parse_settings(&root).map_err(invalid_info)?;
                let controller =
                    Controller::new(settings, seed).map_err(|e| format!("POWER_ON: info: {e}"))?;
                let report_fields = settings_json::report_fields(&root).map_err(invalid_info)?;
                let instance =
                    Instance { controller, ids: HashMap::new(), names: Vec::new(), report_fields };
                self.instances.insert(target, instance);
                self.handle_event(target, now, Event::Started)
            }
            "KILL" => match self.instances.remove(&target) {
                Some(_) => Ok(()),
                None => Err(format!("KILL: instance {target} is not running")),
            },
            _ => {
                let Some(instance) = self.instances.get_mut(&target) else {
                    return Err(format!("{}: instance {target} is not running", line.message));
                };
                for event in parse_events(line, instance, &self.lists)? {
                    self.handle_event(target, now, event)?;
                }
                Ok(())
            }
        }
    }

    /// Passes an event to the controller of an instance and appends its actions to the reply.
    fn handle_event(&mut self, target: u64, now: Duration, event: Event) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&target) else {
            return Ok(());
        };
        instance.controller.handle(now, event, &mut self.actions);
        if !self.actions.is_empty() && self.reply_instance != Some(target) {
            self.reply_instance = Some(target);
            let _ = writeln!(self.reply, "AS i={target}");
        }
        let ms = |d: Duration| d.as_micros() as f64 / 1000.0;
        for action in self.actions.drain(..) {
            let out = &mut self.reply;
            let _ = match action {
                Action::SetUp { call, exchange, timeout } => {
                    let name = &instance.names[exchange.0 as usize];
                    writeln!(out, "TRY tid={} exchange={name} cap_ms={}", call.0, ms(timeout))
                }
                Action::Refuse { call, retry_after: Some(delay) } => {
                    writeln!(out, "DECLINE tid={} retry_after_ms={}", call.0, ms(delay))
                }
                Action::Refuse { call, retry_after: None } => writeln!(out, "DECLINE tid={}", call.0),
                Action::Fail(call) => writeln!(out, "ABORT tid={}", call.0),
                Action::SetTimer { timer, after } => {
                    writeln!(out, "SCHEDULE sleep_for_ms={} cookie={}", ms(after), timer.0)
                }
                Action::Subscribe => writeln!(out, "FOLLOW want=1"),
            };
        }
        Ok(())
    }
}

fn parse_listed_exchange(line: &Line) -> Result<ListedExchange, String> {
    let phase = match line.get("phase")? {
        "in_service" => Phase::InService,
        "terminating" => Phase::Draining,
        "terminated" => Phase::Gone,
        _ => return Err(line.invalid("phase")),
    };
    let started_at = match line.find("ready_at_ms") {
        Some(_) => line.millis("ready_at_ms")?,
        None => Duration::ZERO,
    };
    let zone = line.find("az").map_or(Ok(0), |_| line.int("az"))?;
    let number = ExchangeNumber(line.whole_number("place_no")?);
    Ok(ListedExchange { name: line.get("exchange")?.to_owned(), number, zone, phase, started_at })
}

/// Reads the free circuits and the size of the trunk group from a report; none if one of them is missing or out of
/// range.
fn parse_circuits(line: &Line, instance: &mut Instance) -> Result<Option<Event>, String> {
    let Some(pairs) = line.find("feedback") else {
        return Ok(None);
    };
    let (mut free, mut size) = (None, None);
    for pair in pairs.split(',').filter(|p| !p.is_empty() && *p != "-") {
        let (name, value) = pair.split_once(':').ok_or_else(|| line.invalid("feedback"))?;
        let value: f64 = value.parse().map_err(|_| line.invalid("feedback"))?;
        let count = (value >= 0.0 && value <= f64::from(u32::MAX)).then_some(value as u32);
        if name == instance.report_fields[0] {
            free = count;
        } else if name == instance.report_fields[1] {
            size = count;
        }
    }
    let exchange = instance.id(line.get("exchange")?);
    Ok(free.zip(size).map(|(free, size)| Event::Circuits { exchange, free, size }))
}

/// Converts a message to events for the controller of the instance.
fn parse_events(
    line: &Line,
    instance: &mut Instance,
    lists: &BTreeMap<u8, Vec<ListedExchange>>,
) -> Result<Vec<Event>, String> {
    let mut out = Vec::new();
    let call = || line.int::<u32>("tid").map(|n| CallId(u64::from(n)));
    match line.message {
        "FLEET" => out.push(Event::List(parse_list_update(line, instance, lists)?)),
        "JOB_IN" => {
            let options: u32 = line.find("options").map_or(Ok(0), |_| line.int("options"))?;
            let origin = match options {
                o if o & 8 != 0 => Origin::Transit,
                o if o & 16 != 0 => Origin::DroppedCall,
                o if o & 2 != 0 => Origin::Redial,
                _ => Origin::Subscriber,
            };
            // A negative number means that there is no hint.
            let hint = match line.find("advised_route") {
                Some(_) => line.float("advised_route")?,
                None => -1.0,
            };
            let route_hint = (hint >= 0.0).then_some(ExchangeNumber(hint as u32));
            let dialled: u64 = line.find("item").map_or(Ok(0), |_| line.int("item"))?;
            if dialled >= 1 << 53 {
                return Err(line.invalid("item"));
            }
            out.push(Event::Call(NewCall {
                call: call()?,
                class: line.int("priority")?,
                tenant: line.find("tenant").map_or(Ok(0), |_| line.int("tenant"))?,
                dialled: DialledNumber(dialled),
                patience: line.millis("patience_left_ms")?,
                destination: ExchangeNumber(line.whole_number("far_end")?),
                circuits: line.whole_number("channels")?,
                route_hint,
                origin,
            }));
        }
        "UNDER_WAY" => out.push(Event::Answered {
            call: call()?,
            attempt: line.int("hop")?,
            delay: line.millis("rtt_ms")?,
        }),
        "COMPLETED" => {
            let outcome = parse_outcome(line)?;
            out.extend(parse_circuits(line, instance)?);
            out.push(Event::AttemptEnded(AttemptEnd {
                call: call()?,
                attempt: line.int("hop")?,
                delay: line.millis("rtt_ms")?,
                outcome,
                call_ended: line.flag("settled")?,
            }));
        }
        "LAPSED" => out.push(Event::CallerAbandoned(call()?)),
        "FIRED" => out.push(Event::Timer(TimerId(line.int("cookie")?))),
        "PROBE_DONE" => {
            line.get("exchange")?;
            if line.get("rc")? == "OK" {
                out.extend(parse_circuits(line, instance)?);
            }
        }
        // The controller has no event for this message, which is only checked.
        "WHISPER" => {
            line.get("octets")?;
        }
        other => return Err(format!("{other}: unknown message")),
    }
    Ok(out)
}

fn parse_list_update(
    line: &Line,
    instance: &mut Instance,
    lists: &BTreeMap<u8, Vec<ListedExchange>>,
) -> Result<ListUpdate, String> {
    let form = line.get("form")?;
    if form == "error" {
        return Ok(ListUpdate::Failed);
    }
    let listed_exchanges = lists.get(&line.int::<u8>("page")?).ok_or_else(|| line.invalid("page"))?;
    let mut entries = Vec::with_capacity(listed_exchanges.len());
    for listed in listed_exchanges {
        entries.push(ListEntry {
            exchange: instance.id(&listed.name),
            number: listed.number,
            zone: listed.zone,
            phase: listed.phase,
            started_at: listed.started_at,
        });
    }
    match form {
        "diff" => Ok(ListUpdate::Delta(entries)),
        "snapshot" | "disk" => Ok(ListUpdate::Full(entries)),
        _ => Err(line.invalid("form")),
    }
}

fn parse_outcome(line: &Line) -> Result<Outcome, String> {
    let note: u64 = line.find("note").map_or(Ok(0), |_| line.int("note"))?;
    Ok(match line.get("rc")? {
        "OK" => Outcome::Ended,
        "INTERNAL" if note == 4 => Outcome::NumberBusy,
        "INTERNAL" => Outcome::Fault,
        // `note` modulo 16 is the reason. `note` divided by 16 has the details: for a refusal by the tandem, it is
        // not zero if the destination's processor was full; for a full processor, it is the waiting time that the
        // processor states, in milliseconds, or zero if it states none.
        "RESOURCE_EXHAUSTED" => match note % 16 {
            1 => Outcome::NoCircuit,
            2 if note >= 16 => Outcome::DestinationProcessorFull,
            2 => Outcome::TandemRefused,
            _ => Outcome::ProcessorFull((note >= 16).then(|| Duration::from_millis(note / 16))),
        },
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::Unreachable,
        "ABORTED" => Outcome::Reset,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => match note {
            1 => Outcome::NoCircuit,
            3 => Outcome::LocalProcessorDown,
            _ => Outcome::NotSent,
        },
        _ => return Err(line.invalid("rc")),
    })
}
