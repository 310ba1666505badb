//! The platform's messages: one JSON object per line.

use crate::end::EndReason;
use std::collections::HashMap;
use std::fmt::Write;
use tinyjson::JsonValue;

/// Maximum bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Maximum nesting depth of JSON input. Messages have two levels, list events four.
const MAX_NESTING_DEPTH: usize = 16;

/// One message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// The message type.
    pub verb: String,
    /// The id of the call.
    pub tag: String,
    /// The fields.
    pub opts: HashMap<String, String>,
    /// The cause code.
    pub rc: Option<u32>,
    /// The session description.
    pub blob: Option<String>,
}

/// Parses JSON received from a peer.
pub fn decode_json(line: &[u8]) -> Result<JsonValue, EndReason> {
    let text = std::str::from_utf8(line).map_err(|_| EndReason::MalformedMessage)?;
    slateshed_settings::parse_json(text, MAX_NESTING_DEPTH).map_err(|_| EndReason::MalformedMessage)
}

fn scalar_text(value: &JsonValue) -> Option<String> {
    match value {
        JsonValue::String(s) => Some(s.clone()),
        JsonValue::Number(n) => Some(n.to_string()),
        _ => None,
    }
}

impl Message {
    /// Parses a message.
    pub fn parse(line: &[u8]) -> Result<Self, EndReason> {
        let JsonValue::Object(mut fields) = decode_json(line)? else {
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
                o.iter().filter_map(|(k, v)| Some((k.clone(), scalar_text(v)?))).collect()
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

    /// The value of a field, or an empty string if it is absent.
    pub fn opt(&self, name: &str) -> &str {
        self.opts.get(name).map_or("", String::as_str)
    }
}

/// Whether a text is a valid call id or dialled number: 16 hex digits.
pub fn is_16_hex_digits(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// The value of a name in a list such as `x0:12;x1:40`, if it is a finite number.
pub fn list_value(list: &str, name: &str) -> Option<f64> {
    let mut pairs = list.split(';').filter_map(|p| p.split_once(':'));
    let value: f64 = pairs.find(|(n, _)| *n == name)?.1.parse().ok()?;
    value.is_finite().then_some(value)
}

fn quoted(text: &str) -> String {
    // Only numbers can fail to serialize.
    JsonValue::String(text.to_owned()).stringify().unwrap_or_default()
}

/// Encodes a message as a line.
pub fn encode_message(
    verb: &str,
    tag: &str,
    opts: &[(&str, &str)],
    rc: Option<u32>,
    blob: Option<&str>,
) -> Vec<u8> {
    let mut message = format!("{{\"verb\":{},\"tag\":{},\"opts\":{{", quoted(verb), quoted(tag));
    for (i, (name, value)) in opts.iter().enumerate() {
        let comma = if i == 0 { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(message, "{comma}{}:{}", quoted(name), quoted(value));
    }
    message.push('}');
    if let Some(rc) = rc {
        let _ = write!(message, ",\"rc\":{rc}");
    }
    if let Some(blob) = blob {
        let _ = write!(message, ",\"blob\":{}", quoted(blob));
    }
    message.push_str("}\n");
    message.into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an encoding that loses or changes text, such as quotes, control characters or characters
    /// beyond ASCII.
    #[test]
    fn an_encoded_message_parses_to_the_same_fields() {
        let description = "9d41\r\nc=IN IP4 10.4.7.9\r\n\"q\" \\ \u{7} \u{1F4DE}";
        let encoded = encode_message(
            "START",
            "9b1f",
            &[("class", "voice"), ("left", "1500")],
            Some(34),
            Some(description),
        );
        let parsed = Message::parse(encoded.strip_suffix(b"\n").expect("a line")).expect("a message");
        assert_eq!((parsed.verb.as_str(), parsed.tag.as_str(), parsed.rc), ("START", "9b1f", Some(34)));
        assert_eq!((parsed.opt("class"), parsed.opt("left"), parsed.opt("none")), ("voice", "1500", ""));
        assert_eq!(parsed.blob.as_deref(), Some(description));
    }

    /// Guards against input that crashes the process: deeply nested JSON would overflow the parser's stack.
    #[test]
    fn invalid_messages_are_rejected_as_malformed() {
        let deep_array = "[".repeat(MAX_MESSAGE_BYTES);
        let deep_object = format!("{{\"verb\":{}", "{\"a\":".repeat(3000));
        for invalid in [
            "",
            "{",
            "41",
            "{}",
            "{\"verb\":3}",
            "{\"verb\":\"A\",\"rc\":-1}",
            &deep_array,
            &deep_object,
            "\u{0}",
        ] {
            assert_eq!(
                Message::parse(invalid.as_bytes()),
                Err(EndReason::MalformedMessage),
                "{invalid:.20}"
            );
        }
        assert_eq!(Message::parse(b"\"\xff\""), Err(EndReason::MalformedMessage));
    }
}
