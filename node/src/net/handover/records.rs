//! The records of a handover file, one JSON object per line.

use crate::engine::ReleaseCause;
use crate::net::lines::decode_json;
use slateshed_settings as read;
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Duration;
use tinyjson::JsonValue;

/// One record of the handover file.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// All calls that were established and all releases that waited when the writing process was told to stop have been
    /// handed over. Those that follow are handed over one by one.
    HandedOver,
    /// An established call that the new process adopts.
    Call(EstablishedCall),
    /// A call has ended, and its caller is owed a release.
    Release(Release),
    /// An exchange has released a call that the writing process does not know.
    UnmatchedRelease(UnmatchedRelease),
    /// The release of a call of an earlier process, which callers that connect later are to be sent.
    EarlierRelease(EarlierRelease),
    /// A call has ended. Its id is not set up again until this time.
    RecentId {
        /// The caller's id of the call.
        tag: String,
        /// The time, as Unix time.
        until: Duration,
    },
    /// A call has ended, and nobody is owed a release.
    Forget {
        /// The caller's id of the call.
        tag: String,
    },
}

/// An established call.
#[derive(Clone, Debug, PartialEq)]
pub struct EstablishedCall {
    /// The caller's id of the call.
    pub tag: String,
    /// The host of the caller.
    pub host: IpAddr,
    /// The name of the exchange.
    pub exchange: String,
    /// When it was established, as Unix time.
    pub answered_at: Duration,
    /// Time of the last activity of the exchange's process, as Unix time.
    pub last_activity: Duration,
}

/// A release towards a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    /// The caller's id of the call.
    pub tag: String,
    /// The host of the caller.
    pub host: IpAddr,
    /// Why the call was released.
    pub cause: ReleaseCause,
}

/// A release from an exchange under an id that no call of the process has.
#[derive(Clone, Debug, PartialEq)]
pub struct UnmatchedRelease {
    /// The caller's id of the call.
    pub tag: String,
    /// The name of the exchange.
    pub exchange: String,
    /// Why the call was released.
    pub cause: ReleaseCause,
    /// Whether the writing process is sure that an earlier one has set the call up, unless the reading one has.
    pub is_earlier_call: bool,
}

/// The release of a call whose caller is not known, as neither process has set it up.
#[derive(Clone, Debug, PartialEq)]
pub struct EarlierRelease {
    /// The caller's id of the call.
    pub tag: String,
    /// Why the call was released.
    pub cause: ReleaseCause,
    /// The hosts that it was sent to.
    pub informed_hosts: BTreeSet<IpAddr>,
}

fn parse_cause(root: &JsonValue) -> Result<ReleaseCause, String> {
    match read::text(root, "cause")? {
        "normal" => Ok(ReleaseCause::Normal),
        "dropped" => Ok(ReleaseCause::Dropped),
        other => Err(format!("cause: {other} is unknown")),
    }
}

fn cause_name(cause: ReleaseCause) -> &'static str {
    match cause {
        ReleaseCause::Normal => "normal",
        ReleaseCause::Dropped => "dropped",
    }
}

impl Record {
    /// Encodes the record as a line of JSON.
    pub(super) fn encode(&self) -> String {
        let text = |value: &str| JsonValue::String(value.to_owned());
        let millis = |time: Duration| JsonValue::Number(time.as_millis() as f64);
        let fields = match self {
            Record::Call(call) => vec![
                ("type", text("call")),
                ("tag", text(&call.tag)),
                ("host", text(&call.host.to_string())),
                ("exchange", text(&call.exchange)),
                ("answered_ms", millis(call.answered_at)),
                ("last_activity_ms", millis(call.last_activity)),
            ],
            Record::Release(release) => vec![
                ("type", text("release")),
                ("tag", text(&release.tag)),
                ("host", text(&release.host.to_string())),
                ("cause", text(cause_name(release.cause))),
            ],
            Record::UnmatchedRelease(release) => vec![
                ("type", text("unmatched_release")),
                ("tag", text(&release.tag)),
                ("exchange", text(&release.exchange)),
                ("cause", text(cause_name(release.cause))),
                ("earlier", JsonValue::Boolean(release.is_earlier_call)),
            ],
            Record::EarlierRelease(release) => {
                let hosts = release.informed_hosts.iter().map(|host| text(&host.to_string()));
                vec![
                    ("type", text("earlier_release")),
                    ("tag", text(&release.tag)),
                    ("cause", text(cause_name(release.cause))),
                    ("informed_hosts", JsonValue::Array(hosts.collect())),
                ]
            }
            Record::HandedOver => vec![("type", text("handed_over"))],
            Record::RecentId { tag, until } => {
                vec![("type", text("recent_id")), ("tag", text(tag)), ("until_ms", millis(*until))]
            }
            Record::Forget { tag } => vec![("type", text("forget")), ("tag", text(tag))],
        };
        let fields: HashMap<_, _> = fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect();
        // Only numbers that are not finite fail to serialize, and there are none.
        let mut line = JsonValue::Object(fields).stringify().unwrap_or_default();
        line.push('\n');
        line
    }

    /// Parses a line; the error names the invalid field.
    pub(super) fn parse(line: &[u8]) -> Result<Self, String> {
        let root = decode_json(line).map_err(|e| e.to_string())?;
        let tag = || read::text(&root, "tag").map(str::to_owned);
        let host = || {
            let address = read::text(&root, "host")?.parse::<IpAddr>();
            address.map_err(|_| "host is not an address".to_owned())
        };
        match read::text(&root, "type")? {
            "call" => Ok(Record::Call(EstablishedCall {
                tag: tag()?,
                host: host()?,
                exchange: read::text(&root, "exchange")?.to_owned(),
                answered_at: read::millis(&root, "answered_ms")?,
                last_activity: read::millis(&root, "last_activity_ms")?,
            })),
            "release" => {
                let cause = parse_cause(&root)?;
                Ok(Record::Release(Release { tag: tag()?, host: host()?, cause }))
            }
            "unmatched_release" => {
                let exchange = read::text(&root, "exchange")?.to_owned();
                let cause = parse_cause(&root)?;
                // Earlier versions do not write the field.
                let earlier = read::lookup(&root, "earlier").and_then(|v| v.get::<bool>());
                let is_earlier_call = earlier.copied().unwrap_or(false);
                let release = UnmatchedRelease { tag: tag()?, exchange, cause, is_earlier_call };
                Ok(Record::UnmatchedRelease(release))
            }
            "earlier_release" => {
                let cause = parse_cause(&root)?;
                let hosts = read::list(&root, "informed_hosts")?.iter();
                let hosts = hosts.map(|v| v.get::<String>().and_then(|host| host.parse().ok()));
                let informed_hosts = hosts.collect::<Option<_>>().ok_or("informed_hosts")?;
                Ok(Record::EarlierRelease(EarlierRelease { tag: tag()?, cause, informed_hosts }))
            }
            "recent_id" => {
                let until = read::millis(&root, "until_ms")?;
                Ok(Record::RecentId { tag: tag()?, until })
            }
            "handed_over" => Ok(Record::HandedOver),
            "forget" => Ok(Record::Forget { tag: tag()? }),
            other => Err(format!("type: {other} is unknown")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against records that the new process reads differently from what the old one has written.
    #[test]
    fn an_encoded_record_parses_to_the_same_record() {
        let (tag, host) = ("9b1f03aa5c7e2d41".to_owned(), IpAddr::from([127, 0, 0, 1]));
        let time = Duration::from_millis;
        let records = [
            Record::HandedOver,
            Record::Call(EstablishedCall {
                tag: tag.clone(),
                host,
                exchange: "s \"one\"".to_owned(),
                answered_at: time(1_796_000_000_123),
                last_activity: time(1_796_000_000_456),
            }),
            Record::Release(Release { tag: tag.clone(), host, cause: ReleaseCause::Normal }),
            Record::Release(Release { tag: tag.clone(), host, cause: ReleaseCause::Dropped }),
            Record::UnmatchedRelease(UnmatchedRelease {
                tag: tag.clone(),
                exchange: "s-one".to_owned(),
                cause: ReleaseCause::Normal,
                is_earlier_call: true,
            }),
            Record::EarlierRelease(EarlierRelease {
                tag: tag.clone(),
                cause: ReleaseCause::Dropped,
                informed_hosts: BTreeSet::from([host]),
            }),
            Record::RecentId { tag: tag.clone(), until: time(1_796_000_000_789) },
            Record::Forget { tag },
        ];
        for record in records {
            let line = record.encode();
            assert_eq!(line.matches('\n').count(), 1, "{line}");
            assert_eq!(Record::parse(line.trim_end().as_bytes()), Ok(record));
        }
        assert!(Record::parse(b"{\"type\":\"call\"}").is_err());
    }
}
