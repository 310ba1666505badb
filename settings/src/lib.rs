//! Parses the settings object of a deployment into [`Settings`]. The adapter receives the object in the
//! simulator's `POWER_ON` message, the daemon in its configuration; the keys and units are the same in both.
//! Every error about a value names its key.

use slateshed::*;
use std::time::Duration;
pub use tinyjson::JsonValue;

/// Parses JSON from an untrusted source. The parser calls itself for each level of nesting, so the depth is
/// checked first: deeply nested input would overflow the stack and end the process.
pub fn parse_json(text: &str, max_depth: usize) -> Result<JsonValue, String> {
    let (mut depth, mut in_string, mut escaped) = (0usize, false, false);
    for b in text.bytes() {
        match b {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > max_depth {
            return Err(format!("nested more than {max_depth} levels deep"));
        }
    }
    text.parse().map_err(|e| format!("invalid JSON: {e}"))
}

/// Looks up the value at a dotted path.
pub fn lookup<'a>(root: &'a JsonValue, path: &str) -> Option<&'a JsonValue> {
    path.split('.').try_fold(root, |v, key| v.get::<std::collections::HashMap<_, _>>()?.get(key))
}

/// Reads the finite number at a dotted path.
pub fn number(root: &JsonValue, path: &str) -> Result<f64, String> {
    let number = lookup(root, path).and_then(JsonValue::get::<f64>).copied();
    number.filter(|x| x.is_finite()).ok_or_else(|| format!("{path} is not a number"))
}

/// Reads the string at a dotted path.
pub fn text<'a>(root: &'a JsonValue, path: &str) -> Result<&'a str, String> {
    let text = lookup(root, path).and_then(JsonValue::get::<String>);
    text.map(String::as_str).ok_or_else(|| format!("{path} is not a string"))
}

/// Reads the list at a dotted path.
pub fn list<'a>(root: &'a JsonValue, path: &str) -> Result<&'a [JsonValue], String> {
    let list = lookup(root, path).and_then(JsonValue::get::<Vec<JsonValue>>);
    list.map(Vec::as_slice).ok_or_else(|| format!("{path} is not a list"))
}

/// Converts milliseconds to a duration, rounded to microseconds; `None` if they are negative, not finite, or 1e15 or
/// more.
pub fn duration(ms: f64) -> Option<Duration> {
    let in_range = ms.is_finite() && (0.0..1e15).contains(&ms);
    in_range.then(|| Duration::from_micros((ms * 1000.0).round() as u64))
}

/// Reads the duration in milliseconds at a dotted path.
pub fn millis(root: &JsonValue, path: &str) -> Result<Duration, String> {
    duration(number(root, path)?).ok_or_else(|| format!("{path} is out of range"))
}

/// Reads the unsigned 32-bit whole number at a dotted path.
pub fn count(root: &JsonValue, path: &str) -> Result<u32, String> {
    let x = number(root, path)?;
    let fits = x.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&x);
    fits.then_some(x as u32).ok_or_else(|| format!("{path} is not an unsigned 32-bit whole number"))
}

/// Reads the class that the entry of `services` at this index describes.
fn parse_class(root: &JsonValue, service: &JsonValue, index: usize) -> Result<Class, String> {
    let scope = match text(service, "group")? {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Number,
        other => return Err(format!("services.group {other} is unknown")),
    };
    let idempotency = match text(service, "semantics")? {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Deduplicated { scope, window: millis(service, "window_ms")? },
        "side_effect" => Idempotency::NonIdempotent,
        other => return Err(format!("services.semantics {other} is unknown")),
    };
    let mean_holds = list(root, "specifics.mean_hold_ms")?;
    let mean_hold = mean_holds.get(index).and_then(JsonValue::get::<f64>).copied();
    let mean_hold =
        mean_hold.and_then(duration).ok_or("specifics.mean_hold_ms has no valid value for a class")?;
    let mut pools = Vec::new();
    let allowed = list(root, "specifics.allowed_pools")?.get(index);
    if let Some(class_pools) = allowed.and_then(JsonValue::get::<Vec<JsonValue>>) {
        for pool in class_pools {
            let number = pool.get::<f64>().copied().filter(|n| n.fract() == 0.0);
            let number = number.filter(|n| (0.0..=f64::from(u32::MAX)).contains(n));
            let number = number.ok_or("specifics.allowed_pools is malformed")?;
            pools.push(ExchangeNumber(number as u32));
        }
    }
    Ok(Class {
        target_delay: millis(service, "promise_ms")?,
        deadline: millis(service, "deadline_ms")?,
        worth: number(service, "points")?,
        late_worth: number(service, "late_worth")?,
        mean_hold,
        idempotency,
        pools,
    })
}

/// The names of the first two report fields: the free circuits and the size of a trunk group. A name is empty if the
/// field is not reported.
pub fn report_fields(root: &JsonValue) -> Result<[String; 2], String> {
    let fields = list(root, "report.fields")?;
    let name = |i: usize| fields.get(i).and_then(JsonValue::get::<String>).cloned().unwrap_or_default();
    Ok([name(0), name(1)])
}

/// Reads the settings object.
pub fn parse_settings(root: &JsonValue) -> Result<Settings, String> {
    let topology = match text(root, "specifics.layout")? {
        "meshed" => Topology::Mesh { local: ExchangeNumber(count(root, "specifics.here")?) },
        "groups" => Topology::Pools,
        other => return Err(format!("specifics.layout {other} is unknown")),
    };
    let discovery = match text(root, "discovery")? {
        "pushed" => Discovery::Pushed,
        "on_request" => Discovery::OnRequest,
        other => return Err(format!("discovery {other} is unknown")),
    };
    let services = list(root, "services")?;
    let classes =
        services.iter().enumerate().map(|(i, s)| parse_class(root, s, i)).collect::<Result<_, _>>()?;
    let quota = |t: &JsonValue| number(t, "quota_per_s");
    let passes_retry_after =
        lookup(root, "allowed.retry_after").and_then(JsonValue::get::<bool>).copied().unwrap_or(false);
    Ok(Settings {
        topology,
        classes,
        tenant_quota: list(root, "tenants")?.iter().map(quota).collect::<Result<_, _>>()?,
        over_share_worth: number(root, "over_share_worth")?,
        rules: Rules {
            drain_grace: millis(root, "rules.drain_grace_ms")?,
            overload_multiple: number(root, "rules.fall_multiple")?,
            overload_window: millis(root, "rules.fall_ms")?,
            cold_capacity_ratio: number(root, "rules.cold_from")?,
            warm_up_time: millis(root, "rules.cold_ms")?,
            release_delay: millis(root, "specifics.clear_wait_ms")?,
        },
        controller_count: count(root, "siblings")?,
        controller_index: count(root, "position")?,
        max_attempts: count(root, "allowed.try_limit")?,
        tick_interval: millis(root, "tick_ms")?,
        resend_interval: millis(root, "specifics.resend_ms")?,
        discovery,
        max_retry_after: if passes_retry_after {
            millis(root, "allowed.max_retry_after_ms")?
        } else {
            Duration::ZERO
        },
    })
}
