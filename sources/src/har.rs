//! HAR files (HTTP Archive 1.2).

use crate::{from_the_first, Place, SourceError, TimedCall};
use std::collections::HashMap;
use std::time::Duration;
use tinyjson::JsonValue;

/// Deepest nesting that is read; a HAR file has seven levels and custom fields.
const DEEPEST: usize = 64;

type Object = HashMap<String, JsonValue>;

fn object<'a>(parent: &'a Object, key: &str) -> Result<&'a Object, String> {
    parent.get(key).and_then(JsonValue::get).ok_or_else(|| format!("{key} is no object"))
}

fn text<'a>(parent: &'a Object, path: &str, key: &str) -> Result<&'a String, String> {
    parent.get(key).and_then(JsonValue::get).ok_or_else(|| format!("{path}{key} is no text"))
}

/// A number of zero or more; -1 stands for one that is not known.
fn number(parent: &Object, path: &str, key: &str) -> Result<Option<f64>, String> {
    match parent.get(key) {
        None | Some(JsonValue::Null) => Ok(None),
        Some(JsonValue::Number(n)) if *n == -1.0 => Ok(None),
        Some(JsonValue::Number(n)) if n.is_finite() && *n >= 0.0 => Ok(Some(*n)),
        Some(_) => Err(format!("{path}{key} is no number of zero or more")),
    }
}

fn entry(value: &JsonValue) -> Result<(jiff::Timestamp, TimedCall), String> {
    let entry: &Object = value.get().ok_or("it is no object")?;
    let started = text(entry, "", "startedDateTime")?;
    let at = started.parse().map_err(|_| format!("startedDateTime {started} is malformed"))?;
    let request = object(entry, "request")?;
    let response = object(entry, "response")?;
    let took = match number(entry, "", "time")? {
        Some(ms) => Some(Duration::try_from_secs_f64(ms / 1000.0).map_err(|_| "time is out of range")?),
        None => None,
    };
    // Status 0 stands for no response.
    let status = number(response, "response.", "status")?.filter(|s| *s != 0.0);
    let fits = |s: &f64| s.fract() == 0.0 && (100.0..1000.0).contains(s);
    if status.is_some_and(|s| !fits(&s)) {
        return Err("response.status is no status".into());
    }
    let client = match entry.get("connection") {
        Some(JsonValue::String(connection)) if !connection.is_empty() => Some(connection.clone()),
        _ => None,
    };
    let call = TimedCall {
        at: Duration::ZERO,
        client,
        method: text(request, "request.", "method")?.clone(),
        target: text(request, "request.", "url")?.clone(),
        status: status.map(|s| s as u16),
        took,
        size: number(response, "response.", "bodySize")?.map(|s| s as u64),
    };
    Ok((at, call))
}

/// Reads a HAR file.
pub fn read(source: &str) -> Result<Vec<TimedCall>, SourceError> {
    let whole = |e: String| SourceError::new(Place::Whole, e);
    // A byte order mark is allowed by the format.
    let source = source.strip_prefix('\u{feff}').unwrap_or(source);
    let root: JsonValue = slateshed_settings::parse_json(source, DEEPEST).map_err(whole)?;
    let root: &Object = root.get().ok_or_else(|| whole("no object".into()))?;
    let log = object(root, "log").map_err(whole)?;
    let entries: &Vec<JsonValue> = log
        .get("entries")
        .and_then(JsonValue::get)
        .ok_or_else(|| whole("log.entries is no list".into()))?;
    let calls = entries.iter().enumerate();
    let calls = calls.map(|(i, e)| entry(e).map_err(|e| SourceError::new(Place::Entry(i), e)));
    Ok(from_the_first(calls.collect::<Result<_, _>>()?))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Plan, Rule};
    use slateshed::{CallId, ExchangeNumber};

    const HAR: &str = r#"{"log":{"version":"1.2","entries":[
        {"startedDateTime":"2026-10-10T13:55:36.500+12:00","time":120.5,"connection":"7",
         "request":{"method":"GET","url":"http://a/logs/1"},"response":{"status":200,"bodySize":512}},
        {"startedDateTime":"2026-10-10T01:55:36Z","time":-1,
         "request":{"method":"GET","url":"http://a/photos/2"},"response":{"status":0,"bodySize":-1}}]}}"#;

    #[test]
    fn entries_come_by_time_and_what_is_not_known_is_left_out() {
        let calls = read(HAR).expect("well formed");
        assert_eq!((calls[0].at, calls[0].status, calls[0].took), (Duration::ZERO, None, None));
        assert_eq!((calls[1].at, calls[1].status), (Duration::from_millis(500), Some(200)));
        assert_eq!((calls[1].took, calls[1].size), (Some(Duration::from_micros(120_500)), Some(512)));
    }

    #[test]
    fn the_bad_entry_is_named() {
        for (good, bad, words) in [
            (
                "2026-10-10T01:55:36Z",
                "yesterday",
                "log.entries[1]: startedDateTime yesterday is malformed",
            ),
            ("\"status\":200", "\"status\":\"ok\"", "log.entries[0]: response.status is no number"),
            ("\"url\":\"http://a/photos/2\"", "\"uri\":\"\"", "log.entries[1]: request.url is no text"),
            ("120.5", "1e300", "log.entries[0]: time is out of range"),
            ("\"version\":\"1.2\"", &format!("\"_x\":{}", "[".repeat(100_000)), "more than 64 levels"),
            ("\"entries\":[", "\"entries\":7,\"x\":[", "log.entries is no list"),
        ] {
            let error = read(&HAR.replacen(good, bad, 1)).expect_err(bad).to_string();
            assert!(error.starts_with(words), "{error}");
        }
    }

    #[test]
    fn the_rule_with_the_longest_prefix_says_which_call_stands_for_a_request() {
        let rule = |prefix: &str, class| Rule {
            prefix: prefix.to_owned(),
            class,
            destination: ExchangeNumber(class as u32),
            circuits: 1,
            patience: Duration::from_secs(3),
        };
        let plan = Plan(vec![rule("http://a/", 0), rule("http://a/photos/", 1)]);
        let calls = read(HAR).expect("well formed");
        let made: Vec<_> = calls.iter().filter_map(|c| plan.call(CallId(1), c)).collect();
        assert_eq!(made.iter().map(|c| c.class).collect::<Vec<_>>(), [1, 0]);
        assert_ne!(made[0].dialled, made[1].dialled);
        assert_eq!(Plan::default().call(CallId(1), &calls[0]), None);
    }
}
