//! Reads and validates the whole configuration: the environment, the file that `ROUTER_CONFIG` names, and the
//! operator's file, which `SLATESHED_OPERATOR` names. All defaults are set here. Every error names the faulty
//! key.

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

/// Default timeout for establishing a connection.
const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum nesting depth of the JSON configuration that is accepted; the settings have six levels.
const MAX_JSON_DEPTH: usize = 64;

/// An event of the journal service: an update of the exchange list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// The position of the event in the journal.
    pub position: u64,
    /// Whether the event contains the full list.
    pub full: bool,
    /// The entries, each with the address of the exchange.
    pub entries: Vec<(NamedEntry, SocketAddr)>,
}

/// The resource limits of the process, and the limits of its tables and buffers that are derived from them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Maximum memory in bytes.
    pub memory_bytes: usize,
}

impl Limits {
    /// Number of client connections from which on idle ones are closed to make room for new ones. Callers use
    /// at most a third of the descriptors; the rest of this half is for clients that are not callers.
    pub fn idle_eviction_threshold(&self) -> usize {
        self.sockets / 2
    }

    /// Number of client connections from which on no new one is accepted unless an idle one can be closed.
    pub fn max_clients(&self) -> usize {
        self.sockets * 5 / 8
    }

    /// Number of connections to one exchange. There are several because one malformed answer ends all pending
    /// set-ups on its connection; there are at most four because connections beyond that get no reports.
    pub fn connections_per_exchange(&self) -> usize {
        (self.sockets / 64).clamp(1, 4)
    }

    /// Memory that the buffers of all client connections together may take.
    pub fn max_client_buffer_bytes(&self) -> usize {
        self.memory_bytes / 4
    }

    /// Memory that the buffers of all SIP connections together may take.
    pub fn max_sip_buffer_bytes(&self) -> usize {
        self.memory_bytes / 8
    }

    /// Buffer limits of a client connection.
    pub fn client_buffer_limits(&self) -> BufferLimits {
        let each = self.memory_bytes / 4 / self.sockets.max(1);
        BufferLimits {
            max_line_bytes: lines::MAX_MESSAGE_BYTES,
            max_buffered_bytes: each.max(2 * lines::MAX_MESSAGE_BYTES),
        }
    }

    /// Buffer limits of a connection to an exchange.
    pub fn exchange_buffer_limits(&self) -> BufferLimits {
        BufferLimits {
            max_line_bytes: lines::MAX_MESSAGE_BYTES,
            max_buffered_bytes: (self.memory_bytes / 128).max(4 * lines::MAX_MESSAGE_BYTES),
        }
    }

    /// Buffer limits of the connection to the journal service. A line may exceed the maximum message size, as
    /// a full list is longer than a message.
    pub fn journal_buffer_limits(&self) -> BufferLimits {
        let max_line_bytes =
            (self.memory_bytes / 32).clamp(4 * lines::MAX_MESSAGE_BYTES, 64 * lines::MAX_MESSAGE_BYTES);
        BufferLimits { max_line_bytes, max_buffered_bytes: lines::MAX_MESSAGE_BYTES }
    }

    /// Maximum number of operator connections. When it is reached, one is closed for each new one: answered
    /// ones first, then those without a complete command, the oldest first in each case.
    pub fn max_operators(&self) -> usize {
        (self.sockets / 16).clamp(4, 32)
    }

    /// Buffer limits of an operator connection: both the commands and the answers are short.
    pub fn operator_buffer_limits(&self) -> BufferLimits {
        BufferLimits { max_line_bytes: 256, max_buffered_bytes: 4 * lines::MAX_MESSAGE_BYTES }
    }

    /// Maximum number of TCP connections of the SIP front.
    pub fn max_sip_streams(&self) -> usize {
        self.sockets / 4
    }

    /// Number of SIP connections from which on none is accepted unless an idle one can be closed. The others are left
    /// for requests that are sent on connections opened from here.
    pub fn max_accepted_sip_streams(&self) -> usize {
        self.max_sip_streams() * 7 / 8
    }

    /// Buffer limits of a SIP connection.
    pub fn sip_buffer_limits(&self) -> BufferLimits {
        let each = self.memory_bytes / 4 / self.sockets.max(1);
        BufferLimits {
            max_line_bytes: message::MAX_MESSAGE_BYTES,
            max_buffered_bytes: each.max(2 * message::MAX_MESSAGE_BYTES),
        }
    }

    /// Memory that the SIP transactions may take, and also the SIP call legs, from which on new requests are rejected.
    /// That includes the messages kept for retransmission.
    pub fn max_sip_table_bytes(&self) -> usize {
        (self.memory_bytes / 8).max(1024 * 1024)
    }

    /// Maximum number of ids of received set-ups that are recorded after the start: a 64th of the memory, at 32 bytes
    /// each.
    pub fn max_own_ids(&self) -> usize {
        (self.memory_bytes / 64 / 32).max(1024)
    }

    /// Maximum number of calls without a final answer, over all fronts: an eighth of the memory, if each
    /// session description has the maximum message size.
    pub fn max_unanswered_calls(&self) -> usize {
        (self.memory_bytes / 8 / lines::MAX_MESSAGE_BYTES).max(64)
    }
}

/// The complete configuration of the call controller.
#[derive(Debug)]
pub struct Config {
    /// The name of this call controller in the log.
    pub name: String,
    /// Listening address for clients.
    pub listen: SocketAddr,
    /// File descriptor of the listening socket at that address, if the platform has opened it and passes it
    /// on.
    pub inherited_fd: Option<u16>,
    /// Listening address for operators; `None` disables operator access.
    pub admin: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The resource limits.
    pub limits: Limits,
    /// Address of the journal service.
    pub journal: SocketAddr,
    /// Position of the last journal event that is known at the start.
    pub position: u64,
    /// The journal events up to that position.
    pub known: Vec<ListEvent>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Settings that the protocol fronts need.
    pub wire: WireConfig,
    /// Timeout for establishing a connection.
    pub dial_timeout: Duration,
    /// Settings of the SIP front; `None` disables it. They are `None` if there is no operator's file, or no
    /// `sip` table in it.
    pub sip: Option<SipConfig>,
}

/// Settings of the SIP front, from the operator's file.
#[derive(Clone, Debug)]
pub struct SipConfig {
    /// Listening address for UDP.
    pub udp: Option<SocketAddr>,
    /// Listening address for TCP.
    pub tcp: Option<SocketAddr>,
    /// The timers T1, T2 and T4 of RFC 3261.
    pub times: Times,
    /// Addresses of the exchanges that are reached over SIP.
    pub exchanges: BTreeMap<ExchangeNumber, Target>,
    /// The number plan.
    pub numbers: Vec<SipNumber>,
}

/// An entry of the number plan.
#[derive(Clone, Debug)]
pub struct SipNumber {
    /// Prefix of the dialled numbers that this entry applies to.
    pub prefix: String,
    /// The exchange that serves these numbers.
    pub exchange: ExchangeNumber,
    /// The class of calls to these numbers.
    pub class: String,
    /// Number of circuits that such a call occupies.
    pub circuits: u32,
}

/// The settings that the protocol fronts need to read messages and to probe exchanges.
#[derive(Clone, Debug, Default)]
pub struct WireConfig {
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Maximum time that callers of each class wait.
    pub deadlines: Vec<Duration>,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of the report fields for the number of free circuits and the size of the trunk group.
    pub report: [String; 2],
    /// Whether liveness probes may be sent to exchanges.
    pub may_probe: bool,
}

impl Config {
    /// Reads the configuration from the environment and the files that it names.
    pub fn from_env() -> Result<Self, String> {
        let var = |key: &str| std::env::var(key).map_err(|_| format!("{key}: not set, or not UTF-8"));
        let path = var("ROUTER_CONFIG")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))?;
        let mut config = Self::parse(&text).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))?;
        // The environment repeats some of the keys and takes precedence over the file.
        if let Ok(name) = std::env::var("ROUTER_NAME") {
            config.name = name;
        }
        if let Ok(listen) = std::env::var("ROUTER_LISTEN") {
            config.listen =
                listen.parse().map_err(|_| format!("ROUTER_LISTEN: {listen} is not an address"))?;
        }
        if let Ok(admin) = std::env::var("ROUTER_ADMIN_ADDR") {
            let to_error = |_| format!("ROUTER_ADMIN_ADDR: {admin} is not an address");
            config.admin = Some(admin.parse().map_err(to_error)?);
        }
        if let Ok(descriptor) = std::env::var("ROUTER_SOCKET_FD") {
            let to_error = |_| format!("ROUTER_SOCKET_FD: {descriptor} is not a file descriptor number");
            config.inherited_fd = Some(descriptor.parse().map_err(to_error)?);
        }
        if let Ok(path) = std::env::var("SLATESHED_OPERATOR") {
            let to_error = |e: String| format!("SLATESHED_OPERATOR: {path}: {e}");
            let text = std::fs::read_to_string(&path).map_err(|e| to_error(e.to_string()))?;
            config.parse_operator_file(&text).map_err(to_error)?;
        }
        Ok(config)
    }

    /// Reads the operator's file, which is in TOML.
    pub fn parse_operator_file(&mut self, text: &str) -> Result<(), String> {
        let root: Table = text.parse().map_err(|e: toml::de::Error| e.message().to_owned())?;
        reject_unknown_keys(&root, "", &["sip"])?;
        self.sip = match root.get("sip") {
            Some(Value::Table(sip)) => Some(sip_config(sip, &self.wire.classes)?),
            Some(_) => return Err("sip is not a table".into()),
            None => None,
        };
        Ok(())
    }

    /// Reads the JSON configuration.
    pub fn parse(text: &str) -> Result<Self, String> {
        let root: JsonValue = read::parse_json(text, MAX_JSON_DEPTH)?;
        let seed = read::text(&root, "seed")?;
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| "seed is not a hexadecimal number of at most 64 bits")?;
        let settings = read::lookup(&root, "settings").ok_or("settings is missing")?;
        let prefixed = |e: String| format!("settings.{e}");
        // The strings in a list or, if `field` is not empty, that field of each entry.
        let names = |path: &str, field: &str| -> Result<Vec<String>, String> {
            let list = read::list(settings, path).map_err(prefixed)?;
            let name = |v: &JsonValue| match field {
                "" => v
                    .get::<String>()
                    .cloned()
                    .ok_or_else(|| format!("{path} has an entry that is not a string")),
                _ => read::text(v, field).map(str::to_owned).map_err(|e| format!("{path}: {e}")),
            };
            list.iter().map(name).collect::<Result<_, _>>().map_err(prefixed)
        };
        let module_settings = read::parse_settings(settings).map_err(prefixed)?;
        let wire = WireConfig {
            classes: names("services", "name")?,
            deadlines: module_settings.classes.iter().map(|c| c.deadline).collect(),
            zones: names("zones", "")?,
            report: read::report_fields(settings).map_err(prefixed)?,
            may_probe: may_probe(settings)?,
        };
        let dial_timeout = match read::lookup(settings, "allowed.dial_timeout_ms") {
            Some(_) => read::millis(settings, "allowed.dial_timeout_ms").map_err(prefixed)?,
            None => DEFAULT_DIAL_TIMEOUT,
        };
        let entries = read::list(&root, "known.entries")?;
        let known = entries.iter().enumerate().map(|(i, e)| {
            parse_list_event(e, &wire.zones).map_err(|error| format!("known.entries[{i}]: {error}"))
        });
        Ok(Config {
            name: read::text(&root, "name")?.to_owned(),
            listen: lookup_address(&root, "listen")?,
            inherited_fd: None,
            admin: read::lookup(&root, "admin_addr")
                .map(|_| lookup_address(&root, "admin_addr"))
                .transpose()?,
            seed,
            limits: Limits {
                sockets: read::count(&root, "limits.sockets")? as usize,
                memory_bytes: read::count(&root, "limits.memory_mb")? as usize * 1024 * 1024,
            },
            journal: lookup_address(&root, "journal")?,
            position: read::number(&root, "known.pos")? as u64,
            known: known.collect::<Result<_, _>>()?,
            settings: module_settings,
            wire,
            dial_timeout,
            sip: None,
        })
    }
}

/// Rejects unknown keys, as most of them are misspelt.
fn reject_unknown_keys(table: &Table, path: &str, keys: &[&str]) -> Result<(), String> {
    match table.keys().find(|k| !keys.contains(&k.as_str())) {
        Some(key) => Err(format!("{path}{key} is unknown")),
        None => Ok(()),
    }
}

/// The string at a key, if the key is present.
fn optional_string<'a>(table: &'a Table, path: &str, key: &str) -> Result<Option<&'a str>, String> {
    match table.get(key) {
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(format!("{path}{key} is not a string")),
        None => Ok(None),
    }
}

/// The string at a key that has to be present.
fn required_string<'a>(table: &'a Table, path: &str, key: &str) -> Result<&'a str, String> {
    optional_string(table, path, key)?.ok_or_else(|| format!("{path}{key} is missing"))
}

/// The integer at a key, or the default. Without a default, the key has to be present.
fn integer(table: &Table, path: &str, key: &str, default: Option<u32>) -> Result<u32, String> {
    match table.get(key) {
        Some(Value::Integer(n)) => u32::try_from(*n).map_err(|_| format!("{path}{key} is out of range")),
        Some(_) => Err(format!("{path}{key} is not an integer")),
        None => default.ok_or_else(|| format!("{path}{key} is missing")),
    }
}

/// Parses the socket address that was read at a key.
fn parse_address(text: &str, path: &str, key: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{path}{key}: {text} is not an address"))
}

/// The tables of an array, each with its key path for errors.
fn table_array<'a>(sip: &'a Table, key: &str) -> Result<Vec<(String, &'a Table)>, String> {
    let Some(list) = sip.get(key) else {
        return Ok(Vec::new());
    };
    let to_error = || format!("sip.{key} is not an array of tables");
    let list = list.as_array().ok_or_else(to_error)?.iter().enumerate();
    list.map(|(i, v)| Ok((format!("sip.{key}[{i}]."), v.as_table().ok_or_else(to_error)?))).collect()
}

/// Reads the settings of the SIP front.
fn sip_config(sip: &Table, classes: &[String]) -> Result<SipConfig, String> {
    reject_unknown_keys(sip, "sip.", &["udp", "tcp", "t1_ms", "t2_ms", "t4_ms", "exchange", "number"])?;
    let listen =
        |key| optional_string(sip, "sip.", key)?.map(|a| parse_address(a, "sip.", key)).transpose();
    let (udp, tcp) = (listen("udp")?, listen("tcp")?);
    if udp.is_none() && tcp.is_none() {
        return Err("sip.udp and sip.tcp are missing: at least one is required".into());
    }
    // The defaults are those of RFC 3261, table 4.
    let timer = |key, default| match integer(sip, "sip.", key, Some(default))? {
        0 => Err(format!("sip.{key} is out of range")),
        ms => Ok(Duration::from_millis(ms.into())),
    };
    let times = Times { t1: timer("t1_ms", 500)?, t2: timer("t2_ms", 4000)?, t4: timer("t4_ms", 5000)? };
    let mut exchanges = BTreeMap::new();
    for (path, exchange) in table_array(sip, "exchange")? {
        reject_unknown_keys(exchange, &path, &["cell", "address", "transport"])?;
        let protocol = match required_string(exchange, &path, "transport")? {
            "udp" if udp.is_some() => Protocol::Udp,
            "tcp" if tcp.is_some() => Protocol::Tcp,
            other => {
                return Err(format!("{path}transport: {other} has no address in sip.udp or sip.tcp"))
            }
        };
        let addr = parse_address(required_string(exchange, &path, "address")?, &path, "address")?;
        let cell = ExchangeNumber(integer(exchange, &path, "cell", None)?);
        if exchanges.insert(cell, Target { protocol, addr, conn: None }).is_some() {
            return Err(format!("{path}cell: {} is listed twice", cell.0));
        }
    }
    let mut numbers = Vec::new();
    for (path, number) in table_array(sip, "number")? {
        reject_unknown_keys(number, &path, &["prefix", "exchange", "class", "circuits"])?;
        let class = required_string(number, &path, "class")?.to_owned();
        if !classes.contains(&class) {
            return Err(format!("{path}class: {class} is not a name in settings.services"));
        }
        numbers.push(SipNumber {
            prefix: required_string(number, &path, "prefix")?.to_owned(),
            exchange: ExchangeNumber(integer(number, &path, "exchange", None)?),
            class,
            circuits: integer(number, &path, "circuits", Some(1))?,
        });
    }
    Ok(SipConfig { udp, tcp, times, exchanges, numbers })
}

/// The socket address at a path.
fn lookup_address(root: &JsonValue, path: &str) -> Result<SocketAddr, String> {
    let text = read::text(root, path)?;
    text.parse().map_err(|_| format!("{path}: {text} is not an address"))
}

/// Whether liveness probes may be sent to exchanges; false by default.
fn may_probe(settings: &JsonValue) -> Result<bool, String> {
    match read::lookup(settings, "allowed.probing") {
        Some(JsonValue::Boolean(allowed)) => Ok(*allowed),
        Some(_) => Err("settings.allowed.probing is not a boolean".into()),
        None => Ok(false),
    }
}

/// Reads an event of the journal service.
pub fn parse_list_event(event: &JsonValue, zones: &[String]) -> Result<ListEvent, String> {
    let position = read::number(event, "pos")? as u64;
    let full = read::lookup(event, "hosts.full").and_then(JsonValue::get::<bool>).copied();
    let full = full.ok_or("hosts.full is not a boolean")?;
    let mut entries = Vec::new();
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
        let entry = NamedEntry {
            name: read::text(server, "id")?.to_owned(),
            number: ExchangeNumber(read::count(server, "cell")?),
            zone: zones.iter().position(|z| z == zone).unwrap_or(zones.len()) as u32,
            phase,
            started_at,
        };
        entries.push((entry, lookup_address(server, "addr")?));
    }
    Ok(ListEvent { position, full, entries })
}
