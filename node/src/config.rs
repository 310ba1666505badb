//! The one place where the environment, `ROUTER_CONFIG` and the operator's file are read, checked and
//! given defaults. Every error names the key at fault.

use crate::net::conn::BufferLimits;
use crate::net::lines;
use crate::net::sip::message;
use crate::net::sip::transaction::{Protocol, Target, Times};
use slateshed::{ExchangeNumber, NamedEntry, Phase, Settings};
use slateshed_settings::{self as read, duration, JsonValue};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use toml::{Table, Value};

/// How long a connection may take to come up where the settings do not say.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Deepest nesting of the configuration that is read; the settings have six levels.
const DEEPEST: usize = 64;

/// An event of the journal service: an update of the exchange list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// The number of the event.
    pub position: u64,
    /// Whether it holds the full list.
    pub full: bool,
    /// The lines, each with the exchange's address.
    pub lines: Vec<(NamedEntry, SocketAddr)>,
}

/// What the process may hold, and the bounds of its tables and buffers that follow from it.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Bytes of memory.
    pub memory: usize,
}

impl Limits {
    /// Number of client connections from which on idle ones are closed for new ones. Callers hold a third
    /// of the descriptors at most; the rest of this half is for those that are not callers.
    pub fn idle_clients_from(&self) -> usize {
        self.sockets / 2
    }

    /// Number of client connections from which on new ones are not accepted while none is idle.
    pub fn max_clients(&self) -> usize {
        self.sockets * 5 / 8
    }

    /// Number of connections to one exchange. A spoilt answer costs all set-ups on its connection, so there are
    /// several; more than four get no reports.
    pub fn connections_per_exchange(&self) -> usize {
        (self.sockets / 64).clamp(1, 4)
    }

    /// Buffer limits of a client's connection: all of them together may hold a quarter of the memory.
    pub fn client_buffer_limits(&self) -> BufferLimits {
        let each = self.memory / 4 / self.sockets.max(1);
        BufferLimits { max_line: lines::MAX_MESSAGE, max_buffered: each.max(2 * lines::MAX_MESSAGE) }
    }

    /// Buffer limits of a connection to an exchange.
    pub fn exchange_buffer_limits(&self) -> BufferLimits {
        BufferLimits {
            max_line: lines::MAX_MESSAGE,
            max_buffered: (self.memory / 128).max(4 * lines::MAX_MESSAGE),
        }
    }

    /// Buffer limits of the connection to the journal service: a whole list is longer than a message.
    pub fn journal_buffer_limits(&self) -> BufferLimits {
        let max_line = (self.memory / 32).clamp(4 * lines::MAX_MESSAGE, 64 * lines::MAX_MESSAGE);
        BufferLimits { max_line, max_buffered: lines::MAX_MESSAGE }
    }

    /// Connections of operators. Silent ones make way beyond this.
    pub fn operators(&self) -> usize {
        (self.sockets / 16).clamp(4, 32)
    }

    /// Buffer limits of an operator's connection: the calls are short, and so are the answers.
    pub fn operator_buffer_limits(&self) -> BufferLimits {
        BufferLimits { max_line: 256, max_buffered: 4 * lines::MAX_MESSAGE }
    }

    /// Streams of the SIP front.
    pub fn sip_streams(&self) -> usize {
        self.sockets / 4
    }

    /// Buffer limits of a SIP connection.
    pub fn sip_buffer_limits(&self) -> BufferLimits {
        let each = self.memory / 4 / self.sockets.max(1);
        BufferLimits { max_line: message::MAX_MESSAGE, max_buffered: each.max(2 * message::MAX_MESSAGE) }
    }

    /// Transactions of the SIP front, and legs of calls there: an eighth of the memory, at 4 KiB for each with what
    /// it may have to send again.
    pub fn transactions(&self) -> usize {
        (self.memory / 8 / 4096).max(256)
    }

    /// Calls that are owed an answer, over all fronts: an eighth of the memory, were each description as long
    /// as a message can be.
    pub fn calls(&self) -> usize {
        (self.memory / 8 / lines::MAX_MESSAGE).max(64)
    }
}

/// All that the call controller is told.
#[derive(Debug)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The descriptor of the listening socket at that address, where the platform holds it and hands it down.
    pub inherited_fd: Option<u16>,
    /// Where operators call; nowhere, should it be missing.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What the process may hold.
    pub limits: Limits,
    /// The journal service.
    pub journal: SocketAddr,
    /// The last event known at the start.
    pub position: u64,
    /// The events up to it.
    pub known: Vec<ListEvent>,
    /// What the decision module is told.
    pub settings: Settings,
    /// Settings for reading messages.
    pub wire: WireConfig,
    /// How long a connection may take to come up.
    pub dial_timeout: Duration,
    /// The SIP front; off where there is no operator's file, or none in it.
    pub sip: Option<SipConfig>,
}

/// The SIP front, as the operator's file sets it up.
#[derive(Clone, Debug)]
pub struct SipConfig {
    /// Where it listens.
    pub udp: Option<SocketAddr>,
    /// Where it listens.
    pub tcp: Option<SocketAddr>,
    /// The base times of RFC 3261.
    pub times: Times,
    /// Exchanges that are reached over SIP.
    pub exchanges: BTreeMap<ExchangeNumber, Target>,
    /// The number plan.
    pub numbers: Vec<SipNumber>,
}

/// A line of the number plan.
#[derive(Clone, Debug)]
pub struct SipNumber {
    /// How the numbers begin.
    pub prefix: String,
    /// Where calls to them go.
    pub exchange: ExchangeNumber,
    /// The class of calls to them.
    pub class: String,
    /// Circuits that such a call takes.
    pub circuits: u32,
}

/// The part of the settings that is needed to read messages.
#[derive(Clone, Debug, Default)]
pub struct WireConfig {
    /// Classes, in order.
    pub classes: Vec<String>,
    /// How long callers of each class wait at most.
    pub deadlines: Vec<Duration>,
    /// Zones, in order.
    pub zones: Vec<String>,
    /// The report fields for free circuits and group size.
    pub report: [String; 2],
    /// Whether exchanges may be asked whether they live.
    pub may_probe: bool,
}

impl Config {
    /// Reads the configuration that the environment names.
    pub fn from_env() -> Result<Self, String> {
        let var = |key: &str| std::env::var(key).map_err(|_| format!("{key}: not set, or not UTF-8"));
        let path = var("ROUTER_CONFIG")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))?;
        let mut config = Self::parse(&text).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))?;
        // The environment repeats some of the keys; where it has them, it is right.
        if let Ok(name) = std::env::var("ROUTER_NAME") {
            config.name = name;
        }
        if let Ok(listen) = std::env::var("ROUTER_LISTEN") {
            config.listen =
                listen.parse().map_err(|_| format!("ROUTER_LISTEN: {listen} is no address"))?;
        }
        if let Ok(admin) = std::env::var("ROUTER_ADMIN_ADDR") {
            let wrong = |_| format!("ROUTER_ADMIN_ADDR: {admin} is no address");
            config.admin = Some(admin.parse().map_err(wrong)?);
        }
        if let Ok(descriptor) = std::env::var("ROUTER_SOCKET_FD") {
            let wrong = |_| format!("ROUTER_SOCKET_FD: {descriptor} is no descriptor");
            config.inherited_fd = Some(descriptor.parse().map_err(wrong)?);
        }
        if let Ok(path) = std::env::var("SLATESHED_OPERATOR") {
            let wrong = |e: String| format!("SLATESHED_OPERATOR: {path}: {e}");
            let text = std::fs::read_to_string(&path).map_err(|e| wrong(e.to_string()))?;
            config.operator(&text).map_err(wrong)?;
        }
        Ok(config)
    }

    /// Reads the operator's file, in TOML.
    pub fn operator(&mut self, text: &str) -> Result<(), String> {
        let root: Table = text.parse().map_err(|e: toml::de::Error| e.message().to_owned())?;
        only(&root, "", &["sip"])?;
        self.sip = match root.get("sip") {
            Some(Value::Table(sip)) => Some(sip_config(sip, &self.wire.classes)?),
            Some(_) => return Err("sip is no table".into()),
            None => None,
        };
        Ok(())
    }

    /// Reads the configuration's JSON.
    pub fn parse(text: &str) -> Result<Self, String> {
        let root: JsonValue = read::parse_json(text, DEEPEST)?;
        let seed = read::text(&root, "seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| "seed is no hex number of 64 bits")?;
        let settings = read::lookup(&root, "settings").ok_or("settings is missing")?;
        let prefixed = |e: String| format!("settings.{e}");
        let names = |path: &str, field: &str| -> Result<Vec<String>, String> {
            let list = read::list(settings, path).map_err(prefixed)?;
            let name = |v: &JsonValue| match field {
                "" => v.get::<String>().cloned().ok_or_else(|| format!("{path} holds no text")),
                _ => read::text(v, field).map(str::to_owned).map_err(|e| format!("{path}: {e}")),
            };
            list.iter().map(name).collect::<Result<_, _>>().map_err(prefixed)
        };
        let module = read::parse_settings(settings).map_err(prefixed)?;
        let wire = WireConfig {
            classes: names("services", "name")?,
            deadlines: module.classes.iter().map(|c| c.deadline).collect(),
            zones: names("zones", "")?,
            report: read::report_fields(settings).map_err(prefixed)?,
            may_probe: may_probe(settings)?,
        };
        let dial_timeout = match read::lookup(settings, "allowed.dial_timeout_ms") {
            Some(_) => read::millis(settings, "allowed.dial_timeout_ms").map_err(prefixed)?,
            None => DIAL_TIMEOUT,
        };
        let entries = read::list(&root, "known.entries")?;
        let known = entries.iter().enumerate().map(|(i, e)| {
            parse_list_event(e, &wire.zones).map_err(|error| format!("known.entries[{i}]: {error}"))
        });
        Ok(Config {
            name: read::text(&root, "name")?.to_owned(),
            listen: address(&root, "listen")?,
            inherited_fd: None,
            admin: read::lookup(&root, "admin_addr")
                .map(|_| address(&root, "admin_addr"))
                .transpose()?,
            seed,
            limits: Limits {
                sockets: read::count(&root, "limits.sockets")? as usize,
                memory: read::count(&root, "limits.memory_mb")? as usize * 1024 * 1024,
            },
            journal: address(&root, "journal")?,
            position: read::number(&root, "known.pos")? as u64,
            known: known.collect::<Result<_, _>>()?,
            settings: module,
            wire,
            dial_timeout,
            sip: None,
        })
    }
}

/// Refuses keys that mean nothing: most are misspelt.
fn only(table: &Table, path: &str, keys: &[&str]) -> Result<(), String> {
    match table.keys().find(|k| !keys.contains(&k.as_str())) {
        Some(key) => Err(format!("{path}{key} is unknown")),
        None => Ok(()),
    }
}

fn word<'a>(table: &'a Table, path: &str, key: &str) -> Result<Option<&'a str>, String> {
    match table.get(key) {
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(format!("{path}{key} is no text")),
        None => Ok(None),
    }
}

fn needed<'a>(table: &'a Table, path: &str, key: &str) -> Result<&'a str, String> {
    word(table, path, key)?.ok_or_else(|| format!("{path}{key} is missing"))
}

fn whole(table: &Table, path: &str, key: &str, default: Option<u32>) -> Result<u32, String> {
    match table.get(key) {
        Some(Value::Integer(n)) => u32::try_from(*n).map_err(|_| format!("{path}{key} is out of range")),
        Some(_) => Err(format!("{path}{key} is no whole number")),
        None => default.ok_or_else(|| format!("{path}{key} is missing")),
    }
}

fn socket(text: &str, path: &str, key: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{path}{key}: {text} is no address"))
}

fn tables<'a>(sip: &'a Table, key: &str) -> Result<Vec<(String, &'a Table)>, String> {
    let Some(list) = sip.get(key) else {
        return Ok(Vec::new());
    };
    let wrong = || format!("sip.{key} is no list of tables");
    let list = list.as_array().ok_or_else(wrong)?.iter().enumerate();
    list.map(|(i, v)| Ok((format!("sip.{key}[{i}]."), v.as_table().ok_or_else(wrong)?))).collect()
}

fn sip_config(sip: &Table, classes: &[String]) -> Result<SipConfig, String> {
    only(sip, "sip.", &["udp", "tcp", "t1_ms", "t2_ms", "t4_ms", "exchange", "number"])?;
    let listen = |key| word(sip, "sip.", key)?.map(|a| socket(a, "sip.", key)).transpose();
    let (udp, tcp) = (listen("udp")?, listen("tcp")?);
    if udp.is_none() && tcp.is_none() {
        return Err("sip.udp and sip.tcp are missing: one is needed".into());
    }
    // The defaults are those of RFC 3261, table 4.
    let time = |key, default| match whole(sip, "sip.", key, Some(default))? {
        0 => Err(format!("sip.{key} is out of range")),
        ms => Ok(Duration::from_millis(ms.into())),
    };
    let times = Times { t1: time("t1_ms", 500)?, t2: time("t2_ms", 4000)?, t4: time("t4_ms", 5000)? };
    let mut exchanges = BTreeMap::new();
    for (path, exchange) in tables(sip, "exchange")? {
        only(exchange, &path, &["cell", "address", "transport"])?;
        let protocol = match needed(exchange, &path, "transport")? {
            "udp" if udp.is_some() => Protocol::Udp,
            "tcp" if tcp.is_some() => Protocol::Tcp,
            other => return Err(format!("{path}transport: {other} is not among sip.udp and sip.tcp")),
        };
        let addr = socket(needed(exchange, &path, "address")?, &path, "address")?;
        let cell = ExchangeNumber(whole(exchange, &path, "cell", None)?);
        if exchanges.insert(cell, Target { protocol, addr, conn: None }).is_some() {
            return Err(format!("{path}cell: {} is there twice", cell.0));
        }
    }
    let mut numbers = Vec::new();
    for (path, number) in tables(sip, "number")? {
        only(number, &path, &["prefix", "exchange", "class", "circuits"])?;
        let class = needed(number, &path, "class")?.to_owned();
        if !classes.contains(&class) {
            return Err(format!("{path}class: {class} is not among settings.services"));
        }
        numbers.push(SipNumber {
            prefix: needed(number, &path, "prefix")?.to_owned(),
            exchange: ExchangeNumber(whole(number, &path, "exchange", None)?),
            class,
            circuits: whole(number, &path, "circuits", Some(1))?,
        });
    }
    Ok(SipConfig { udp, tcp, times, exchanges, numbers })
}

fn address(root: &JsonValue, path: &str) -> Result<SocketAddr, String> {
    let text = read::text(root, path)?;
    text.parse().map_err(|_| format!("{path}: {text} is no address"))
}

/// Whether exchanges may be asked; not where the settings don't say.
fn may_probe(settings: &JsonValue) -> Result<bool, String> {
    match read::lookup(settings, "allowed.probing") {
        Some(JsonValue::Boolean(allowed)) => Ok(*allowed),
        Some(_) => Err("settings.allowed.probing is no truth value".into()),
        None => Ok(false),
    }
}

/// Reads one event of the journal service.
pub fn parse_list_event(event: &JsonValue, zones: &[String]) -> Result<ListEvent, String> {
    let position = read::number(event, "pos")? as u64;
    let full = read::lookup(event, "hosts.full").and_then(JsonValue::get::<bool>).copied();
    let full = full.ok_or("hosts.full is no truth value")?;
    let mut lines = Vec::new();
    for server in read::list(event, "hosts.servers")? {
        let phase = match read::text(server, "state")? {
            "in_service" => Phase::InService,
            "terminating" => Phase::Draining,
            "terminated" => Phase::Gone,
            other => return Err(format!("state {other} is unknown")),
        };
        let zone = read::text(server, "zone")?;
        let started_at = match read::lookup(server, "started_ms") {
            Some(_) => {
                duration(read::number(server, "started_ms")?).ok_or("started_ms is out of range")?
            }
            None => Duration::ZERO,
        };
        let listed = NamedEntry {
            name: read::text(server, "id")?.to_owned(),
            number: ExchangeNumber(read::count(server, "cell")?),
            zone: zones.iter().position(|z| z == zone).unwrap_or(zones.len()) as u32,
            phase,
            started_at,
        };
        lines.push((listed, address(server, "addr")?));
    }
    Ok(ListEvent { position, full, lines })
}
