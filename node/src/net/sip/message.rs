//! Parsing and writing of SIP messages. They are parsed with `ezk-sip-types` and checked for the header fields
//! that RFC 3261 requires in every message.

use super::transaction::{Protocol, Target};
use bytes::Bytes;
use ezk_sip_types::header::typed::{CSeq, Contact, FromTo, Via};
use ezk_sip_types::msg::{Line, MessageLine, PullParser};
use ezk_sip_types::print::AppendCtx;
use ezk_sip_types::uri::SipUri;
use ezk_sip_types::{Headers, Method, Name, StatusCode};
use std::fmt::Write;

/// Maximum bytes of a message, over UDP and TCP.
pub const MAX_MESSAGE_BYTES: usize = 65_535;

/// Maximum number of header fields of a message. Each takes far more memory than its text.
const MAX_HEADER_FIELDS: usize = 256;

/// A received message, with the header fields that every message has.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request or status line.
    pub line: MessageLine,
    /// All header fields.
    pub headers: Headers,
    /// The topmost Via.
    pub via: Via,
    /// The From header field.
    pub from: FromTo,
    /// The To header field.
    pub to: FromTo,
    /// The Call-ID header field.
    pub call_id: String,
    /// The CSeq header field.
    pub cseq: CSeq,
    /// The body.
    pub body: Bytes,
    /// Length of the message that was received. The header fields and the body keep all of it.
    pub length: usize,
}

/// Why a message is rejected.
#[derive(Debug)]
pub enum Malformed {
    /// A malformed request that can be answered: its header fields, of which a response repeats some, and the error.
    Request(Headers, String),
    /// A malformed message that can't be answered, and the error.
    Other(String),
}

/// Length of the first message in the bytes received on a stream; `None` while the message is incomplete.
pub fn message_length(input: &[u8]) -> Result<Option<usize>, String> {
    let end_after = |separator: &[u8]| {
        input.windows(separator.len()).position(|w| w == separator).map(|at| at + separator.len())
    };
    let Some(head_length) = [end_after(b"\r\n\r\n"), end_after(b"\n\n")].into_iter().flatten().min()
    else {
        return if input.len() > MAX_MESSAGE_BYTES { Err("head is too long".into()) } else { Ok(None) };
    };
    let head = std::str::from_utf8(&input[..head_length]).map_err(|_| "head is not UTF-8")?;
    let fields = head.lines().filter_map(|l| l.split_once(':'));
    let mut length_fields = fields.filter(|(name, _)| {
        let name = name.trim();
        name.eq_ignore_ascii_case("content-length") || name.eq_ignore_ascii_case("l")
    });
    let body_length: usize = match length_fields.next() {
        Some((_, length)) => length.trim().parse().map_err(|_| "Content-Length is not a number")?,
        None => 0,
    };
    match head_length.checked_add(body_length) {
        Some(total_length) if total_length <= MAX_MESSAGE_BYTES => {
            Ok((input.len() >= total_length).then_some(total_length))
        }
        _ => Err("message is too long".into()),
    }
}

/// Parses one complete message.
pub fn parse(input: &[u8]) -> Result<Message, Malformed> {
    let unanswerable = |e: &str| Malformed::Other(e.to_owned());
    let source = Bytes::copy_from_slice(input);
    let mut lines = PullParser::new(&source, 0);
    let as_text = |line: Option<Result<_, _>>| match line {
        Some(Ok(line)) => {
            std::str::from_utf8(line).map(Some).map_err(|_| unanswerable("head is not UTF-8"))
        }
        Some(Err(_)) => Err(unanswerable("head is incomplete")),
        None => Ok(None),
    };
    let first_line = as_text(lines.next())?.ok_or_else(|| unanswerable("first line is missing"))?;
    let (mut headers, mut header_error, mut field_count) = (Headers::new(), None, 0);
    while let Some(line) = as_text(lines.next())? {
        field_count += 1;
        if field_count > MAX_HEADER_FIELDS {
            header_error = header_error.or(Some("too many header fields".to_owned()));
            continue;
        }
        match Line::parse(&source, line) {
            Ok((_, line)) => headers.insert(line.name, line.value),
            Err(_) => header_error = header_error.or(Some("a header line is malformed".to_owned())),
        }
    }
    let is_request = !first_line.starts_with("SIP/");
    let malformed = |headers: Headers, e: String| match is_request {
        true if headers.contains(&Name::VIA) => Malformed::Request(headers, e),
        _ => Malformed::Other(e),
    };
    if let Some(header_error) = header_error {
        return Err(malformed(headers, header_error));
    }
    let parsed_head: Result<_, String> = (|| {
        let error_text = |e: ezk_sip_types::header::HeaderError| e.to_string();
        let line: MessageLine = first_line.parse().map_err(|_| "first line is malformed".to_owned())?;
        let via = headers.get_named::<Vec<Via>>().map_err(error_text)?.into_iter().next();
        let cseq: CSeq = headers.get_named().map_err(error_text)?;
        let call_id = headers.get_raw(&Name::CALL_ID).next().ok_or("Call-ID is missing")?.to_string();
        if line.request_method().is_some_and(|m| *m != cseq.method) {
            return Err("method in CSeq differs from the request line".to_owned());
        }
        Ok((
            line,
            via.ok_or("Via is missing")?,
            headers.get(Name::FROM).map_err(error_text)?,
            headers.get(Name::TO).map_err(error_text)?,
            call_id,
            cseq,
        ))
    })();
    let (line, via, from, to, call_id, cseq) = match parsed_head {
        Ok(parsed_head) => parsed_head,
        Err(e) => return Err(malformed(headers, e)),
    };
    let rest = source.slice(lines.head_end().min(source.len())..);
    let body = match headers.get_raw(&Name::CONTENT_LENGTH).next().map(|l| l.trim().parse::<usize>()) {
        None => rest,
        Some(Ok(length)) if length <= rest.len() => rest.slice(..length),
        Some(_) => {
            return Err(malformed(headers, "Content-Length is malformed or exceeds the body".into()))
        }
    };
    Ok(Message { line, headers, via, from, to, call_id, cseq, body, length: input.len() })
}

impl Message {
    /// Adds the `received` and `rport` values to the topmost Via of a request, and returns where its responses are
    /// sent (RFC 3261, section 18.2; RFC 3581).
    pub fn record_source(&mut self, source: Target) -> Target {
        let sent_by = self.via.sent_by.clone();
        let has_rport = self.via.params.get("rport").is_some();
        let mut vias: Vec<String> =
            self.headers.get_raw(&Name::VIA).map(|v| v.trim().to_owned()).collect();
        if let Some(first_field) = vias.first_mut() {
            let (top_via, other_vias) =
                first_field.split_once(',').map_or((first_field.as_str(), None), |(a, b)| (a, Some(b)));
            let mut top_via = top_via.trim().to_owned();
            if has_rport {
                top_via = top_via.replacen(";rport", &format!(";rport={}", source.addr.port()), 1);
            }
            if has_rport || sent_by.ip() != Some(source.addr.ip()) {
                let _ = write!(top_via, ";received={}", source.addr.ip());
            }
            *first_field =
                other_vias.map_or(top_via.clone(), |other_vias| format!("{top_via},{other_vias}"));
        }
        self.headers.remove(&Name::VIA);
        vias.into_iter().for_each(|via| self.headers.insert(Name::VIA, via));
        let mut response_target = source;
        if source.protocol == Protocol::Udp && !has_rport {
            response_target.addr.set_port(sent_by.port.unwrap_or(5060));
        }
        response_target
    }

    /// The method of a request.
    pub fn method(&self) -> Option<&Method> {
        self.line.request_method()
    }

    /// The status code of a response.
    pub fn status(&self) -> Option<u16> {
        match &self.line {
            MessageLine::Response(line) => Some(line.code.into_u16()),
            MessageLine::Request(_) => None,
        }
    }

    /// The branch parameter of the topmost Via; empty if missing.
    pub fn branch(&self) -> &str {
        self.via.params.get_val("branch").map_or("", |b| b)
    }

    /// The called number: the user part of the request URI.
    pub fn called_number(&self) -> Option<String> {
        match &self.line {
            MessageLine::Request(line) => match &line.uri.user_part {
                ezk_sip_types::uri::SipUriUserPart::User(user) => Some(user.to_string()),
                ezk_sip_types::uri::SipUriUserPart::UserPw(user) => Some(user.user.to_string()),
                ezk_sip_types::uri::SipUriUserPart::Empty => None,
            },
            MessageLine::Response(_) => None,
        }
    }

    /// The URI of the first Contact: the remote target of the dialog.
    pub fn contact(&self) -> Option<SipUri> {
        let contacts: Vec<Contact> = self.headers.get_named().ok()?;
        contacts.into_iter().next().map(|c| c.uri.uri)
    }

    /// The first value of a header field, without surrounding white space.
    pub fn header(&self, name: Name) -> Option<&str> {
        self.headers.get_raw(&name).next().map(|v| v.trim())
    }

    /// The body, if it is valid UTF-8.
    pub fn body_text(&self) -> Option<&str> {
        std::str::from_utf8(&self.body).ok()
    }
}

/// Formats a URI as text.
pub fn format_uri(uri: &SipUri) -> String {
    uri.default_print_ctx().to_string()
}

/// The header fields of a request that its responses repeat, without the rest of the message.
pub fn response_headers(request: &Headers) -> Headers {
    let mut headers = Headers::new();
    for name in [Name::VIA, Name::FROM, Name::TO, Name::CALL_ID, Name::CSEQ, Name::RECORD_ROUTE] {
        for value in request.get_raw(&name) {
            headers.insert(name.clone(), value.to_string());
        }
    }
    headers
}

/// Copies all values of a header field in their order, one per line.
fn copy_headers(text: &mut String, headers: &Headers, name: Name, label: &str) {
    for value in headers.get_raw(&name) {
        let _ = write!(text, "{label}: {}\r\n", value.trim());
    }
}

/// Completes a message: appends Content-Type (if there is a body), Content-Length and the body.
fn finish_message(mut head: String, body: &str) -> Vec<u8> {
    if !body.is_empty() {
        head.push_str("Content-Type: application/sdp\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n{body}", body.len());
    head.into_bytes()
}

/// Writes a response to a request with these header fields. `to_tag` is added if To has no tag and the response
/// is not 100.
pub fn response(
    request: &Headers,
    status: u16,
    to_tag: &str,
    extra_headers: &[(&str, &str)],
    body: &str,
) -> Vec<u8> {
    let reason = StatusCode::from(status).text().unwrap_or("Unknown");
    let mut text = format!("SIP/2.0 {status} {reason}\r\n");
    copy_headers(&mut text, request, Name::VIA, "Via");
    copy_headers(&mut text, request, Name::FROM, "From");
    if let Some(to) = request.get_raw(&Name::TO).next() {
        let omits_new_tag =
            status == 100 || request.get::<FromTo>(Name::TO).is_ok_and(|to| to.tag.is_some());
        let tag = if omits_new_tag { String::new() } else { format!(";tag={to_tag}") };
        let _ = write!(text, "To: {}{tag}\r\n", to.trim());
    }
    copy_headers(&mut text, request, Name::CALL_ID, "Call-ID");
    copy_headers(&mut text, request, Name::CSEQ, "CSeq");
    if (200..300).contains(&status) {
        copy_headers(&mut text, request, Name::RECORD_ROUTE, "Record-Route");
    }
    for (name, value) in extra_headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    finish_message(text, body)
}

/// Writes a request.
pub fn request(method: &str, uri: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {uri} SIP/2.0\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    finish_message(text, body)
}

#[cfg(test)]
mod tests {
    use super::*;

    const INVITE: &str = "INVITE sip:21@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5062;branch=z9hG4bK1\r\n\
        From: <sip:a@127.0.0.1>;tag=a\r\nTo: <sip:21@127.0.0.1>\r\ni: c1\r\nCSeq: 1 INVITE\r\nl: 4\r\n\r\nv=0\n";

    #[test]
    fn request_with_compact_header_names_is_parsed() {
        let message = parse(INVITE.as_bytes()).expect("well formed");
        assert_eq!(
            (message.branch(), message.call_id.as_str(), message.called_number().as_deref()),
            ("z9hG4bK1", "c1", Some("21"))
        );
        assert_eq!(
            (message.body_text(), message_length(INVITE.as_bytes())),
            (Some("v=0\n"), Ok(Some(INVITE.len())))
        );
        assert_eq!(message_length(&INVITE.as_bytes()[..INVITE.len() - 1]), Ok(None), "incomplete");
    }

    /// Guards against malformed input that causes a panic, and against a truncated message that is accepted as
    /// complete.
    #[test]
    fn truncated_or_corrupted_messages_cause_no_panic_and_truncated_ones_are_rejected() {
        for length in 0..INVITE.len() {
            assert!(
                parse(&INVITE.as_bytes()[..length]).is_err(),
                "parsed although truncated to {length} bytes"
            );
            let _ = message_length(&INVITE.as_bytes()[..length]);
        }
        for position in 0..INVITE.len() {
            for byte in [0u8, b'\n', b'\r', b':', b'<', b';', 0xff] {
                let mut corrupted = INVITE.as_bytes().to_vec();
                corrupted[position] = byte;
                let _ = (parse(&corrupted), message_length(&corrupted));
            }
        }
        let wrong_cseq = INVITE.replace("CSeq: 1 INVITE", "CSeq: 1 BYE");
        assert!(
            matches!(parse(wrong_cseq.as_bytes()), Err(Malformed::Request(..))),
            "a request with a wrong CSeq method can be answered with 400"
        );
    }
}
