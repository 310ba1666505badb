//! The wire: batches of lines in, replies of lines out.

use slateshed::*;
use slateshed_settings::{self as info, duration, JsonValue};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;

/// One line, split: the message and its fields.
struct Line<'a> {
    message: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// `text` fields run to the end of the line.
    fn parse(line: &'a str, text: &str) -> Result<Self, String> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(format!("{message}: a part without '='"));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(format!("{message}: a part without a name or '='"));
            }
            if name == text {
                fields.push((name, after));
                break;
            }
            let (value, next) = after.split_once(' ').unwrap_or((after, ""));
            fields.push((name, value));
            rest = next;
        }
        Ok(Line { message, fields })
    }

    fn find(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    fn get(&self, name: &str) -> Result<&'a str, String> {
        self.find(name).ok_or_else(|| format!("{}: {name} is missing", self.message))
    }

    fn bad(&self, name: &str) -> String {
        format!("{}: {name} is malformed or out of range", self.message)
    }

    fn int<T: std::str::FromStr>(&self, name: &str) -> Result<T, String> {
        self.get(name)?.parse().map_err(|_| self.bad(name))
    }

    fn float(&self, name: &str) -> Result<f64, String> {
        let x: f64 = self.int(name)?;
        if x.is_finite() {
            Ok(x)
        } else {
            Err(self.bad(name))
        }
    }

    fn time(&self, name: &str) -> Result<Duration, String> {
        duration(self.float(name)?).ok_or_else(|| self.bad(name))
    }

    /// A whole number of 32 bits that may be written with a fraction of zero.
    fn whole(&self, name: &str) -> Result<u32, String> {
        let x = self.float(name)?;
        let fits = x.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&x);
        fits.then_some(x as u32).ok_or_else(|| self.bad(name))
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(self.bad(name)),
        }
    }
}

/// A line of a list, before the exchange has an id.
#[derive(Clone)]
struct ListLine {
    exchange: String,
    number: ExchangeNumber,
    zone: u32,
    phase: Phase,
    started_at: Duration,
}

/// One controller and the names it knows.
struct Instance {
    controller: Controller,
    ids: HashMap<String, ExchangeId>,
    names: Vec<String>,
    fields: [String; 2],
}

impl Instance {
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

/// The state of the pipe.
#[derive(Default)]
pub struct Link {
    now: Option<Duration>,
    target: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u8, Vec<ListLine>>,
    /// The list being read, and how many lines it lacks.
    filling: Option<(u8, usize)>,
    reply: String,
    last_said: Option<u64>,
    actions: Vec<Action>,
}

impl Link {
    /// The reply to the batch that has just ended.
    pub fn reply(&self) -> &str {
        &self.reply
    }

    /// End of input: fine between batches only.
    pub fn at_end(&self) -> Result<(), String> {
        match self.now {
            None => Ok(()),
            Some(_) => Err("end of input inside a batch".into()),
        }
    }

    /// Takes one line; true once a batch is complete and its reply ready.
    pub fn line(&mut self, line: &str) -> Result<bool, String> {
        if line.is_empty() {
            return match self.now {
                None => Ok(false),
                Some(_) => Err("an empty line inside a batch".into()),
            };
        }
        let line = Line::parse(line, if line.starts_with("POWER_ON ") { "info" } else { "" })?;
        if let Some((page, lacking)) = self.filling {
            if line.message != "M" {
                return Err(format!("DEFINE_LIST: {lacking} lines are missing before {}", line.message));
            }
            let entry = list_line(&line)?;
            self.lists.entry(page).or_default().push(entry);
            self.filling = (lacking > 1).then_some((page, lacking - 1));
            return Ok(false);
        }
        match (line.message, self.now) {
            ("MARK", None) => {
                self.now = Some(line.time("at_time_ms")?);
                self.target = None;
                self.last_said = None;
                self.reply.clear();
            }
            ("MARK", Some(_)) => return Err("MARK: the batch before has not ended".into()),
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
                    return Err(line.bad("page"));
                }
                let lines: usize = line.int("lines")?;
                self.lists.insert(page, Vec::new());
                self.filling = (lines > 0).then_some((page, lines));
            }
            (_, Some(now)) => self.event(&line, now)?,
        }
        Ok(false)
    }

    fn event(&mut self, line: &Line, now: Duration) -> Result<(), String> {
        let target = self.target.ok_or_else(|| format!("{}: no instance was named", line.message))?;
        match line.message {
            "POWER_ON" => {
                let seed: u64 = line.int("prng")?;
                let wrong = |e: String| format!("POWER_ON: info: {e}");
                let root: JsonValue = info::parse_json(line.get("info")?, 64).map_err(wrong)?;
                let settings = info::parse_settings(&root).map_err(wrong)?;
                let controller =
                    Controller::new(settings, seed).map_err(|e| format!("POWER_ON: info: {e}"))?;
                let fields = info::report_fields(&root).map_err(wrong)?;
                let instance = Instance { controller, ids: HashMap::new(), names: Vec::new(), fields };
                self.instances.insert(target, instance);
                self.hand(target, now, Event::Started)
            }
            "KILL" => match self.instances.remove(&target) {
                Some(_) => Ok(()),
                None => Err(format!("KILL: instance {target} was never started")),
            },
            _ => {
                let Some(instance) = self.instances.get_mut(&target) else {
                    return Err(format!("{}: instance {target} was never started", line.message));
                };
                for event in events(line, instance, &self.lists)? {
                    self.hand(target, now, event)?;
                }
                Ok(())
            }
        }
    }

    /// Hands an event to a controller and writes its actions down.
    fn hand(&mut self, target: u64, now: Duration, event: Event) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&target) else {
            return Ok(());
        };
        instance.controller.handle(now, event, &mut self.actions);
        if !self.actions.is_empty() && self.last_said != Some(target) {
            self.last_said = Some(target);
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
                Action::Refuse { call, retry_after: Some(stay) } => {
                    writeln!(out, "DECLINE tid={} retry_after_ms={}", call.0, ms(stay))
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

fn list_line(line: &Line) -> Result<ListLine, String> {
    let phase = match line.get("phase")? {
        "in_service" => Phase::InService,
        "terminating" => Phase::Draining,
        "terminated" => Phase::Gone,
        _ => return Err(line.bad("phase")),
    };
    let started_at = match line.find("ready_at_ms") {
        Some(_) => line.time("ready_at_ms")?,
        None => Duration::ZERO,
    };
    let zone = line.find("az").map_or(Ok(0), |_| line.int("az"))?;
    let number = ExchangeNumber(line.whole("place_no")?);
    Ok(ListLine { exchange: line.get("exchange")?.to_owned(), number, zone, phase, started_at })
}

/// The free circuits and the group size of a report, where it has them.
fn circuits(line: &Line, instance: &mut Instance) -> Result<Option<Event>, String> {
    let Some(pairs) = line.find("feedback") else {
        return Ok(None);
    };
    let (mut free, mut size) = (None, None);
    for pair in pairs.split(',').filter(|p| !p.is_empty() && *p != "-") {
        let (name, value) = pair.split_once(':').ok_or_else(|| line.bad("feedback"))?;
        let value: f64 = value.parse().map_err(|_| line.bad("feedback"))?;
        let known = (value >= 0.0 && value <= f64::from(u32::MAX)).then_some(value as u32);
        if name == instance.fields[0] {
            free = known;
        } else if name == instance.fields[1] {
            size = known;
        }
    }
    let exchange = instance.id(line.get("exchange")?);
    Ok(free.zip(size).map(|(free, size)| Event::Circuits { exchange, free, size }))
}

fn events(
    line: &Line,
    instance: &mut Instance,
    lists: &BTreeMap<u8, Vec<ListLine>>,
) -> Result<Vec<Event>, String> {
    let mut out = Vec::new();
    let call = || line.int::<u32>("tid").map(|n| CallId(u64::from(n)));
    match line.message {
        "FLEET" => out.push(Event::List(fleet(line, instance, lists)?)),
        "JOB_IN" => {
            let options: u32 = line.find("options").map_or(Ok(0), |_| line.int("options"))?;
            let origin = match options {
                o if o & 8 != 0 => Origin::Transit,
                o if o & 16 != 0 => Origin::DroppedCall,
                o if o & 2 != 0 => Origin::Redial,
                _ => Origin::Subscriber,
            };
            let advised = match line.find("advised_route") {
                Some(_) => line.float("advised_route")?,
                None => -1.0,
            };
            let route_hint = (advised >= 0.0).then_some(ExchangeNumber(advised as u32));
            let dialled: u64 = line.find("item").map_or(Ok(0), |_| line.int("item"))?;
            if dialled >= 1 << 53 {
                return Err(line.bad("item"));
            }
            out.push(Event::Call(NewCall {
                call: call()?,
                class: line.int("priority")?,
                tenant: line.find("tenant").map_or(Ok(0), |_| line.int("tenant"))?,
                dialled: DialledNumber(dialled),
                patience: line.time("patience_left_ms")?,
                destination: ExchangeNumber(line.whole("far_end")?),
                circuits: line.whole("channels")?,
                route_hint,
                origin,
            }));
        }
        "UNDER_WAY" => out.push(Event::Answered {
            call: call()?,
            attempt: line.int("hop")?,
            delay: line.time("rtt_ms")?,
        }),
        "COMPLETED" => {
            let outcome = outcome(line)?;
            out.extend(circuits(line, instance)?);
            out.push(Event::AttemptEnded(AttemptEnd {
                call: call()?,
                attempt: line.int("hop")?,
                delay: line.time("rtt_ms")?,
                outcome,
                call_ended: line.flag("settled")?,
            }));
        }
        "LAPSED" => out.push(Event::CallerAbandoned(call()?)),
        "FIRED" => out.push(Event::Timer(TimerId(line.int("cookie")?))),
        "PROBE_DONE" => {
            line.get("exchange")?;
            if line.get("rc")? == "OK" {
                out.extend(circuits(line, instance)?);
            }
        }
        "WHISPER" => {
            line.get("octets")?;
        }
        other => return Err(format!("{other}: unknown message")),
    }
    Ok(out)
}

fn fleet(
    line: &Line,
    instance: &mut Instance,
    lists: &BTreeMap<u8, Vec<ListLine>>,
) -> Result<ListUpdate, String> {
    let form = line.get("form")?;
    if form == "error" {
        return Ok(ListUpdate::Failed);
    }
    let lines = lists.get(&line.int::<u8>("page")?).ok_or_else(|| line.bad("page"))?;
    let mut entries = Vec::with_capacity(lines.len());
    for l in lines {
        entries.push(ListEntry {
            exchange: instance.id(&l.exchange),
            number: l.number,
            zone: l.zone,
            phase: l.phase,
            started_at: l.started_at,
        });
    }
    match form {
        "diff" => Ok(ListUpdate::Delta(entries)),
        "snapshot" | "disk" => Ok(ListUpdate::Full(entries)),
        _ => Err(line.bad("form")),
    }
}

fn outcome(line: &Line) -> Result<Outcome, String> {
    let note: u64 = line.find("note").map_or(Ok(0), |_| line.int("note"))?;
    Ok(match line.get("rc")? {
        "OK" => Outcome::Ended,
        "INTERNAL" if note == 4 => Outcome::NumberBusy,
        "INTERNAL" => Outcome::Fault,
        "RESOURCE_EXHAUSTED" => match note % 16 {
            1 => Outcome::NoCircuit,
            2 if note >= 16 => Outcome::FarProcessorFull,
            2 => Outcome::TandemRefused,
            _ => Outcome::ProcessorFull((note >= 16).then(|| Duration::from_millis(note / 16))),
        },
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::Unreachable,
        "ABORTED" => Outcome::Reset,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => match note {
            1 => Outcome::NoCircuit,
            3 => Outcome::OwnProcessorDown,
            _ => Outcome::NotSent,
        },
        _ => return Err(line.bad("rc")),
    })
}
