//! Parser for HAR files (HTTP Archive 1.2).

use crate::{sort_by_start, Location, RecordedRequest, SourceError};
use std::collections::HashMap;
use std::time::Duration;
use tinyjson::JsonValue;

/// Deepest nesting that is accepted; a HAR file has seven levels, and custom fields may add more.
const MAX_DEPTH: usize = 64;

type Object = HashMap<String, JsonValue>;

fn object<'a>(parent: &'a Object, key: &str) -> Result<&'a Object, String> {
    parent.get(key).and_then(JsonValue::get).ok_or_else(|| format!("{key} is not an object"))
}

fn text<'a>(parent: &'a Object, path: &str, key: &str) -> Result<&'a String, String> {
    parent.get(key).and_then(JsonValue::get).ok_or_else(|| format!("{path}{key} is not a string"))
}

/// Reads an optional number of zero or more; HAR files have -1 for an unknown one.
fn number(parent: &Object, path: &str, key: &str) -> Result<Option<f64>, String> {
    match parent.get(key) {
        None | Some(JsonValue::Null) => Ok(None),
        Some(JsonValue::Number(n)) if *n == -1.0 => Ok(None),
        Some(JsonValue::Number(n)) if n.is_finite() && *n >= 0.0 => Ok(Some(*n)),
        Some(_) => Err(format!("{path}{key} is not a number of zero or more")),
    }
}

/// Parses an entry of the log.
fn parse_entry(value: &JsonValue) -> Result<(jiff::Timestamp, RecordedRequest), String> {
    let entry: &Object = value.get().ok_or("the entry is not an object")?;
    let start_text = text(entry, "", "startedDateTime")?;
    let start = start_text.parse().map_err(|_| format!("startedDateTime {start_text} is malformed"))?;
    let request = object(entry, "request")?;
    let response = object(entry, "response")?;
    let duration = match number(entry, "", "time")? {
        Some(ms) => Some(Duration::try_from_secs_f64(ms / 1000.0).map_err(|_| "time is out of range")?),
        None => None,
    };
    // Status 0 means that there was no response.
    let status = number(response, "response.", "status")?.filter(|s| *s != 0.0);
    let is_status_code = |s: &f64| s.fract() == 0.0 && (100.0..1000.0).contains(s);
    if status.is_some_and(|s| !is_status_code(&s)) {
        return Err("response.status is not a status code".into());
    }
    let client = match entry.get("connection") {
        Some(JsonValue::String(connection)) if !connection.is_empty() => Some(connection.clone()),
        _ => None,
    };
    let recorded = RecordedRequest {
        started_at: Duration::ZERO,
        client,
        method: text(request, "request.", "method")?.clone(),
        target: text(request, "request.", "url")?.clone(),
        status: status.map(|s| s as u16),
        duration,
        body_bytes: number(response, "response.", "bodySize")?.map(|s| s as u64),
    };
    Ok((start, recorded))
}

/// Parses a HAR file.
pub fn read(source: &str) -> Result<Vec<RecordedRequest>, SourceError> {
    let invalid_document = |e: String| SourceError::new(Location::Document, e);
    // The format allows a byte order mark.
    let source = source.strip_prefix('\u{feff}').unwrap_or(source);
    let root: JsonValue = slateshed_settings::parse_json(source, MAX_DEPTH).map_err(invalid_document)?;
    let root: &Object =
        root.get().ok_or_else(|| invalid_document("the top level is not an object".into()))?;
    let log = object(root, "log").map_err(invalid_document)?;
    let entries: &Vec<JsonValue> = log
        .get("entries")
        .and_then(JsonValue::get)
        .ok_or_else(|| invalid_document("log.entries is not a list".into()))?;
    let requests = entries.iter().enumerate();
    let requests =
        requests.map(|(i, e)| parse_entry(e).map_err(|e| SourceError::new(Location::Entry(i), e)));
    Ok(sort_by_start(requests.collect::<Result<_, _>>()?))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{CallRule, CallRules};
    use slateshed::{CallId, ExchangeNumber};

    const HAR: &str = r#"{"log":{"version":"1.2","entries":[
        {"startedDateTime":"2026-10-10T13:55:36.500+12:00","time":120.5,"connection":"7",
         "request":{"method":"GET","url":"http://a/logs/1"},"response":{"status":200,"bodySize":512}},
        {"startedDateTime":"2026-10-10T01:55:36Z","time":-1,
         "request":{"method":"GET","url":"http://a/photos/2"},"response":{"status":0,"bodySize":-1}}]}}"#;

    /// Guards against time zones that are ignored, and against the placeholders -1 and 0 taken for values.
    #[test]
    fn entries_are_sorted_by_time_and_unknown_values_are_none() {
        let requests = read(HAR).expect("well formed");
        assert_eq!(
            (requests[0].started_at, requests[0].status, requests[0].duration),
            (Duration::ZERO, None, None)
        );
        assert_eq!(
            (requests[1].started_at, requests[1].status),
            (Duration::from_millis(500), Some(200))
        );
        assert_eq!(
            (requests[1].duration, requests[1].body_bytes),
            (Some(Duration::from_micros(120_500)), Some(512))
        );
    }

    /// Guards against malformed input that is accepted or overflows the stack, and against errors that don't say
    /// where it is.
    #[test]
    fn errors_name_the_malformed_entry() {
        for (valid, malformed, expected) in [
            (
                "2026-10-10T01:55:36Z",
                "yesterday",
                "log.entries[1]: startedDateTime yesterday is malformed",
            ),
            ("\"status\":200", "\"status\":\"ok\"", "log.entries[0]: response.status is not a number"),
            (
                "\"url\":\"http://a/photos/2\"",
                "\"uri\":\"\"",
                "log.entries[1]: request.url is not a string",
            ),
            ("120.5", "1e300", "log.entries[0]: time is out of range"),
            (
                "\"version\":\"1.2\"",
                &format!("\"_x\":{}", "[".repeat(100_000)),
                "nested more than 64 levels deep",
            ),
            ("\"entries\":[", "\"entries\":7,\"x\":[", "log.entries is not a list"),
        ] {
            let error = read(&HAR.replacen(valid, malformed, 1)).expect_err(malformed).to_string();
            assert!(error.starts_with(expected), "{error} does not begin with {expected}");
        }
    }

    /// Guards against a general rule that takes precedence over a specific one because it comes first.
    #[test]
    fn rule_with_the_longest_matching_prefix_determines_the_call() {
        let rule = |prefix: &str, class| CallRule {
            prefix: prefix.to_owned(),
            class,
            destination: ExchangeNumber(class as u32),
            circuits: 1,
            patience: Duration::from_secs(3),
        };
        let rules = CallRules(vec![rule("http://a/", 0), rule("http://a/photos/", 1)]);
        let requests = read(HAR).expect("well formed");
        let calls: Vec<_> = requests.iter().filter_map(|r| rules.call_for(CallId(1), r)).collect();
        assert_eq!(calls.iter().map(|c| c.class).collect::<Vec<_>>(), [1, 0]);
        assert_ne!(calls[0].dialled, calls[1].dialled);
        assert_eq!(CallRules::default().call_for(CallId(1), &requests[0]), None);
    }
}
