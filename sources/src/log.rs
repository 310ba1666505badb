//! Parser for access logs in the Common and the Combined Log Format.

use crate::{sort_by_start, Location, RecordedRequest, SourceError};
use jiff::fmt::strtime;
use std::time::Duration;

/// The format of an access log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// `host ident user [time] "request" status size`.
    Common,
    /// The same, followed by `"referer" "user agent"`.
    Combined,
}

/// The part of a line that is not parsed yet.
struct Remainder<'a>(&'a str);

impl<'a> Remainder<'a> {
    /// Reads the field up to the next space; `field` is its name for errors.
    fn word(&mut self, field: &str) -> Result<&'a str, String> {
        let (word, after) = self.0.split_once(' ').unwrap_or((self.0, ""));
        self.0 = after;
        if word.is_empty() {
            Err(format!("{field} is missing"))
        } else {
            Ok(word)
        }
    }

    /// Reads the field between two delimiters. A delimiter after a backslash is part of the field.
    fn delimited(&mut self, (open, close): (char, char), field: &str) -> Result<&'a str, String> {
        let inside =
            self.0.strip_prefix(open).ok_or_else(|| format!("{field} does not begin with {open}"))?;
        let mut escaped = false;
        let end = inside.char_indices().find(|(_, c)| {
            let is_end = *c == close && !escaped;
            escaped = *c == '\\' && !escaped;
            is_end
        });
        let (end, _) = end.ok_or_else(|| format!("{field} does not end with {close}"))?;
        let after = &inside[end + close.len_utf8()..];
        self.0 = after.strip_prefix(' ').unwrap_or(after);
        Ok(&inside[..end])
    }
}

/// Parses a line of the log.
fn parse_line(text: &str, format: Format) -> Result<(jiff::Timestamp, RecordedRequest), String> {
    let mut remainder = Remainder(text);
    let host = remainder.word("host")?;
    remainder.word("ident")?;
    remainder.word("user")?;
    let time = remainder.delimited(('[', ']'), "time")?;
    let start = strtime::parse("%d/%b/%Y:%H:%M:%S %z", time).and_then(|t| t.to_timestamp());
    let start = start.map_err(|_| format!("time {time} is malformed"))?;
    let request = remainder.delimited(('"', '"'), "request")?;
    let mut words = request.split(' ');
    let (Some(method), Some(target), Some(_) | None, None) =
        (words.next().filter(|m| !m.is_empty()), words.next(), words.next(), words.next())
    else {
        return Err(format!("request {request} is malformed"));
    };
    let status = match remainder.word("status")? {
        "-" => None,
        s => Some(
            s.parse().ok().filter(|s| (100..1000).contains(s)).ok_or("status is not a status code")?,
        ),
    };
    let body_bytes = match remainder.word("size")? {
        "-" => None,
        s => Some(s.parse().map_err(|_| format!("size {s} is not a whole number"))?),
    };
    if format == Format::Combined {
        remainder.delimited(('"', '"'), "referer")?;
        remainder.delimited(('"', '"'), "user agent")?;
    }
    if !remainder.0.trim().is_empty() {
        return Err(format!("unexpected text after the last field: {}", remainder.0.trim()));
    }
    let (client, method, target) = (Some(host.to_owned()), method.to_owned(), target.to_owned());
    Ok((
        start,
        RecordedRequest {
            started_at: Duration::ZERO,
            client,
            method,
            target,
            status,
            duration: None,
            body_bytes,
        },
    ))
}

/// Parses an access log; blank lines are skipped.
pub fn read(text: &str, format: Format) -> Result<Vec<RecordedRequest>, SourceError> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty());
    let requests = lines
        .map(|(i, l)| parse_line(l, format).map_err(|e| SourceError::new(Location::Line(i + 1), e)));
    Ok(sort_by_start(requests.collect::<Result<_, _>>()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    const COMMON: &str = r#"10.0.0.7 - - [10/Oct/2026:13:55:38 +1200] "GET /logs/7?q=\"x\" HTTP/1.1" 200 2326
::1 - ann [10/Oct/2026:01:55:36 +0000] "POST /photos HTTP/1.1" 503 -
"#;

    /// Guards against time zones that are ignored, and against requests left in the order in which
    /// they ended.
    #[test]
    fn lines_are_sorted_by_time_across_time_zones() {
        let requests = read(COMMON, Format::Common).expect("well formed");
        let times: Vec<_> = requests.iter().map(|r| r.started_at.as_secs()).collect();
        assert_eq!((times, requests[0].status, requests[0].body_bytes), (vec![0, 2], Some(503), None));
        assert_eq!(
            (requests[1].method.as_str(), requests[1].target.as_str()),
            ("GET", r#"/logs/7?q=\"x\""#)
        );
    }

    /// Guards against escaped quotes that end a field, and against fields of another format that are ignored.
    #[test]
    fn combined_format_has_two_more_fields_which_the_common_format_rejects() {
        let combined =
            COMMON.replace("2326", r#"2326 "http://x/" "a \"b\"""#).replace("503 -", r#"503 - "-" "-""#);
        assert_eq!(read(&combined, Format::Combined), read(COMMON, Format::Common));
        let error = read(&combined, Format::Common).expect_err("the common format has no such fields");
        assert_eq!(error.location, Location::Line(1));
    }

    /// Guards against malformed lines that are accepted, and against errors that don't say where they are.
    #[test]
    fn errors_name_the_malformed_line() {
        for (valid, malformed, expected) in [
            ("10/Oct", "32/Oct", "line 1: time 32/Oct/2026:13:55:38 +1200 is malformed"),
            ("503", "none", "line 2: status is not a status code"),
            ("POST /photos HTTP/1.1", "POST", "line 2: request POST is malformed"),
            ("\" 503", " 503", "line 2: request does not end with \""),
            ("2326", "x", "line 1: size x is not a whole number"),
        ] {
            let error =
                read(&COMMON.replacen(valid, malformed, 1), Format::Common).expect_err(malformed);
            assert_eq!(error.to_string(), expected);
        }
    }
}
