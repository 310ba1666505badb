//! The platform's messages: one JSON object a line.

use crate::end::EndReason;
use std::collections::HashMap;
use std::fmt::Write;
use tinyjson::JsonValue;

/// Maximum bytes of a message.
pub const MAX_MESSAGE: usize = 16 * 1024;
/// Deepest nesting that is read; messages have two levels, events of the list four.
const DEEPEST: usize = 16;

/// One message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// Its type.
    pub verb: String,
    /// The call's id.
    pub tag: String,
    /// Its fields.
    pub opts: HashMap<String, String>,
    /// The cause.
    pub rc: Option<u32>,
    /// The description.
    pub blob: Option<String>,
}

/// Reads JSON that a peer sent.
pub fn json(line: &[u8]) -> Result<JsonValue, EndReason> {
    let text = std::str::from_utf8(line).map_err(|_| EndReason::MalformedMessage)?;
    slateshed_settings::parse_json(text, DEEPEST).map_err(|_| EndReason::MalformedMessage)
}

fn word(value: &JsonValue) -> Option<String> {
    match value {
        JsonValue::String(s) => Some(s.clone()),
        JsonValue::Number(n) => Some(n.to_string()),
        _ => None,
    }
}

impl Message {
    /// Reads a message.
    pub fn parse(line: &[u8]) -> Result<Self, EndReason> {
        let JsonValue::Object(mut fields) = json(line)? else {
            return Err(EndReason::MalformedMessage);
        };
        let mut text = |name: &str| match fields.remove(name) {
            Some(JsonValue::String(s)) => Ok(Some(s)),
            None | Some(JsonValue::Null) => Ok(None),
            _ => Err(EndReason::MalformedMessage),
        };
        let (verb, tag, blob) = (text("verb")?, text("tag")?, text("blob")?);
        let opts = match fields.remove("opts") {
            Some(JsonValue::Object(o)) => {
                o.iter().filter_map(|(k, v)| Some((k.clone(), word(v)?))).collect()
            }
            None | Some(JsonValue::Null) => HashMap::new(),
            _ => return Err(EndReason::MalformedMessage),
        };
        let rc = match fields.remove("rc") {
            Some(JsonValue::Number(n)) if n.fract() == 0.0 && (0.0..1e9).contains(&n) => Some(n as u32),
            None | Some(JsonValue::Null) => None,
            _ => return Err(EndReason::MalformedMessage),
        };
        Ok(Message {
            verb: verb.ok_or(EndReason::MalformedMessage)?,
            tag: tag.unwrap_or_default(),
            opts,
            rc,
            blob,
        })
    }

    /// A field, empty where there is none.
    pub fn opt(&self, name: &str) -> &str {
        self.opts.get(name).map_or("", String::as_str)
    }
}

/// Whether a text is an id or a number called: 16 hex digits.
pub fn is_hex(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// The value of a name in a list such as `x0:12;x1:40`.
pub fn list_value(list: &str, name: &str) -> Option<f64> {
    let mut pairs = list.split(';').filter_map(|p| p.split_once(':'));
    let value: f64 = pairs.find(|(n, _)| *n == name)?.1.parse().ok()?;
    value.is_finite().then_some(value)
}

fn quoted(text: &str) -> String {
    // Only numbers can fail to be written.
    JsonValue::String(text.to_owned()).stringify().unwrap_or_default()
}

/// Writes a message as a line.
pub fn line(
    verb: &str,
    tag: &str,
    opts: &[(&str, &str)],
    rc: Option<u32>,
    blob: Option<&str>,
) -> Vec<u8> {
    let mut out = format!("{{\"verb\":{},\"tag\":{},\"opts\":{{", quoted(verb), quoted(tag));
    for (i, (name, value)) in opts.iter().enumerate() {
        let comma = if i == 0 { "" } else { "," };
        // Writing to a string does not fail.
        let _ = write!(out, "{comma}{}:{}", quoted(name), quoted(value));
    }
    out.push('}');
    if let Some(rc) = rc {
        let _ = write!(out, ",\"rc\":{rc}");
    }
    if let Some(blob) = blob {
        let _ = write!(out, ",\"blob\":{}", quoted(blob));
    }
    out.push_str("}\n");
    out.into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_comes_back_as_it_was_written() {
        let description = "9d41\r\nc=IN IP4 10.4.7.9\r\n\"q\" \\ \u{7} \u{1F4DE}";
        let written =
            line("START", "9b1f", &[("class", "voice"), ("left", "1500")], Some(34), Some(description));
        let read = Message::parse(written.strip_suffix(b"\n").expect("a line")).expect("a message");
        assert_eq!((read.verb.as_str(), read.tag.as_str(), read.rc), ("START", "9b1f", Some(34)));
        assert_eq!((read.opt("class"), read.opt("left"), read.opt("none")), ("voice", "1500", ""));
        assert_eq!(read.blob.as_deref(), Some(description));
    }

    /// Guards against input that ends the process: a deep nest would overflow the parser's stack.
    #[test]
    fn what_is_no_message_is_garbage() {
        let deep = "[".repeat(MAX_MESSAGE);
        let nest = format!("{{\"verb\":{}", "{\"a\":".repeat(3000));
        for bad in
            ["", "{", "41", "{}", "{\"verb\":3}", "{\"verb\":\"A\",\"rc\":-1}", &deep, &nest, "\u{0}"]
        {
            assert_eq!(Message::parse(bad.as_bytes()), Err(EndReason::MalformedMessage), "{bad:.20}");
        }
        assert_eq!(Message::parse(b"\"\xff\""), Err(EndReason::MalformedMessage));
    }
}
