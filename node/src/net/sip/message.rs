//! SIP messages: read with the `ezk-sip-types` parser, checked for what RFC 3261 asks of every message, and
//! written.

use super::transaction::{Protocol, Target};
use bytes::Bytes;
use ezk_sip_types::header::typed::{CSeq, Contact, FromTo, Via};
use ezk_sip_types::msg::{Line, MessageLine, PullParser};
use ezk_sip_types::print::AppendCtx;
use ezk_sip_types::uri::SipUri;
use ezk_sip_types::{Headers, Method, Name, StatusCode};
use std::fmt::Write;

/// Most bytes of a message, over either transport.
pub const MAX_MESSAGE: usize = 65_535;

/// A message that was received, with the headers that every message has.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request or status line.
    pub line: MessageLine,
    /// All headers.
    pub headers: Headers,
    /// The topmost Via.
    pub via: Via,
    /// From and To.
    pub from: FromTo,
    /// From and To.
    pub to: FromTo,
    /// The Call-ID.
    pub call_id: String,
    /// The CSeq.
    pub cseq: CSeq,
    /// The body.
    pub body: Bytes,
}

/// Why a message can't be taken.
#[derive(Debug)]
pub enum Malformed {
    /// A request that can be answered: the headers that a response repeats, and what is wrong.
    Request(Headers, String),
    /// Nothing that could be answered.
    Other(String),
}

/// Where the first message in a stream of bytes ends; `None` while it is not whole.
pub fn length(input: &[u8]) -> Result<Option<usize>, String> {
    let ends = |end: &[u8]| input.windows(end.len()).position(|w| w == end).map(|at| at + end.len());
    let Some(head) = [ends(b"\r\n\r\n"), ends(b"\n\n")].into_iter().flatten().min() else {
        return if input.len() > MAX_MESSAGE { Err("head too long".into()) } else { Ok(None) };
    };
    let head_text = std::str::from_utf8(&input[..head]).map_err(|_| "head is not UTF-8")?;
    let fields = head_text.lines().filter_map(|l| l.split_once(':'));
    let mut lengths = fields.filter(|(name, _)| {
        let name = name.trim();
        name.eq_ignore_ascii_case("content-length") || name.eq_ignore_ascii_case("l")
    });
    let body: usize = match lengths.next() {
        Some((_, length)) => length.trim().parse().map_err(|_| "Content-Length is no number")?,
        None => 0,
    };
    match head.checked_add(body) {
        Some(whole) if whole <= MAX_MESSAGE => Ok((input.len() >= whole).then_some(whole)),
        _ => Err("message too long".into()),
    }
}

/// Reads one whole message.
pub fn parse(input: &[u8]) -> Result<Message, Malformed> {
    let other = |e: &str| Malformed::Other(e.to_owned());
    let src = Bytes::copy_from_slice(input);
    let mut lines = PullParser::new(&src, 0);
    let text = |line: Option<Result<_, _>>| match line {
        Some(Ok(line)) => std::str::from_utf8(line).map(Some).map_err(|_| other("head is not UTF-8")),
        Some(Err(_)) => Err(other("head has no end")),
        None => Ok(None),
    };
    let first = text(lines.next())?.ok_or_else(|| other("no first line"))?;
    let (mut headers, mut wrong) = (Headers::new(), None);
    while let Some(line) = text(lines.next())? {
        match Line::parse(&src, line) {
            Ok((_, line)) => headers.insert(line.name, line.value),
            Err(_) => wrong = wrong.or(Some("a header without a name".to_owned())),
        }
    }
    let is_request = !first.starts_with("SIP/");
    let fail = |headers: Headers, e: String| match is_request {
        true if headers.contains(&Name::VIA) => Malformed::Request(headers, e),
        _ => Malformed::Other(e),
    };
    if let Some(wrong) = wrong {
        return Err(fail(headers, wrong));
    }
    let head: Result<_, String> = (|| {
        let header = |e: ezk_sip_types::header::HeaderError| e.to_string();
        let line: MessageLine = first.parse().map_err(|_| "first line is malformed".to_owned())?;
        let via = headers.get_named::<Vec<Via>>().map_err(header)?.into_iter().next();
        let cseq: CSeq = headers.get_named().map_err(header)?;
        let call_id = headers.get_raw(&Name::CALL_ID).next().ok_or("Call-ID is missing")?.to_string();
        if line.request_method().is_some_and(|m| *m != cseq.method) {
            return Err("CSeq names another method".to_owned());
        }
        Ok((
            line,
            via.ok_or("Via is missing")?,
            headers.get(Name::FROM).map_err(header)?,
            headers.get(Name::TO).map_err(header)?,
            call_id,
            cseq,
        ))
    })();
    let (line, via, from, to, call_id, cseq) = match head {
        Ok(head) => head,
        Err(e) => return Err(fail(headers, e)),
    };
    let after = src.slice(lines.head_end().min(src.len())..);
    let body = match headers.get_raw(&Name::CONTENT_LENGTH).next().map(|l| l.trim().parse::<usize>()) {
        None => after,
        Some(Ok(length)) if length <= after.len() => after.slice(..length),
        Some(_) => return Err(fail(headers, "Content-Length does not fit the body".into())),
    };
    Ok(Message { line, headers, via, from, to, call_id, cseq, body })
}

impl Message {
    /// Notes in the topmost Via where a request came from, and gives where its responses go (RFC 3261,
    /// section 18.2; RFC 3581).
    pub fn arrived(&mut self, source: Target) -> Target {
        let sent_by = self.via.sent_by.clone();
        let asks_port = self.via.params.get("rport").is_some();
        let mut vias: Vec<String> =
            self.headers.get_raw(&Name::VIA).map(|v| v.trim().to_owned()).collect();
        if let Some(first) = vias.first_mut() {
            let (top, below) =
                first.split_once(',').map_or((first.as_str(), None), |(a, b)| (a, Some(b)));
            let mut top = top.trim().to_owned();
            if asks_port {
                top = top.replacen(";rport", &format!(";rport={}", source.addr.port()), 1);
            }
            if asks_port || sent_by.ip() != Some(source.addr.ip()) {
                let _ = write!(top, ";received={}", source.addr.ip());
            }
            *first = below.map_or(top.clone(), |below| format!("{top},{below}"));
        }
        self.headers.remove(&Name::VIA);
        vias.into_iter().for_each(|via| self.headers.insert(Name::VIA, via));
        let mut back = source;
        if source.protocol == Protocol::Udp && !asks_port {
            back.addr.set_port(sent_by.port.unwrap_or(5060));
        }
        back
    }

    /// The method of a request.
    pub fn method(&self) -> Option<&Method> {
        self.line.request_method()
    }

    /// The status of a response.
    pub fn status(&self) -> Option<u16> {
        match &self.line {
            MessageLine::Response(line) => Some(line.code.into_u16()),
            MessageLine::Request(_) => None,
        }
    }

    /// The branch of the topmost Via.
    pub fn branch(&self) -> &str {
        self.via.params.get_val("branch").map_or("", |b| b)
    }

    /// The number called: the user part of the request URI.
    pub fn called(&self) -> Option<String> {
        match &self.line {
            MessageLine::Request(line) => match &line.uri.user_part {
                ezk_sip_types::uri::SipUriUserPart::User(user) => Some(user.to_string()),
                ezk_sip_types::uri::SipUriUserPart::UserPw(user) => Some(user.user.to_string()),
                ezk_sip_types::uri::SipUriUserPart::Empty => None,
            },
            MessageLine::Response(_) => None,
        }
    }

    /// Where requests of the dialog go.
    pub fn contact(&self) -> Option<SipUri> {
        let contacts: Vec<Contact> = self.headers.get_named().ok()?;
        contacts.into_iter().next().map(|c| c.uri.uri)
    }

    /// A header's first value.
    pub fn header(&self, name: Name) -> Option<&str> {
        self.headers.get_raw(&name).next().map(|v| v.trim())
    }

    /// The body, if it is text.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.body).ok()
    }
}

/// A URI as text.
pub fn uri(uri: &SipUri) -> String {
    uri.default_print_ctx().to_string()
}

/// All values of a header, one a line as they came.
fn copy(out: &mut String, headers: &Headers, name: Name, label: &str) {
    for value in headers.get_raw(&name) {
        let _ = write!(out, "{label}: {}\r\n", value.trim());
    }
}

/// Writes the end of a head, and the body.
fn finish(mut head: String, body: &str) -> Vec<u8> {
    if !body.is_empty() {
        head.push_str("Content-Type: application/sdp\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n{body}", body.len());
    head.into_bytes()
}

/// Writes a response to a request with these headers. `to_tag` is added where To has none.
pub fn response(
    request: &Headers,
    status: u16,
    to_tag: &str,
    more: &[(&str, &str)],
    body: &str,
) -> Vec<u8> {
    let reason = StatusCode::from(status).text().unwrap_or("Unknown");
    let mut out = format!("SIP/2.0 {status} {reason}\r\n");
    copy(&mut out, request, Name::VIA, "Via");
    copy(&mut out, request, Name::FROM, "From");
    if let Some(to) = request.get_raw(&Name::TO).next() {
        let tagged = status == 100 || request.get::<FromTo>(Name::TO).is_ok_and(|to| to.tag.is_some());
        let tag = if tagged { String::new() } else { format!(";tag={to_tag}") };
        let _ = write!(out, "To: {}{tag}\r\n", to.trim());
    }
    copy(&mut out, request, Name::CALL_ID, "Call-ID");
    copy(&mut out, request, Name::CSEQ, "CSeq");
    if (200..300).contains(&status) {
        copy(&mut out, request, Name::RECORD_ROUTE, "Record-Route");
    }
    for (name, value) in more {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    finish(out, body)
}

/// Writes a request.
pub fn request(method: &str, uri: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut out = format!("{method} {uri} SIP/2.0\r\n");
    for (name, value) in headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    finish(out, body)
}

#[cfg(test)]
mod tests {
    use super::*;

    const INVITE: &str = "INVITE sip:21@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5062;branch=z9hG4bK1\r\n\
        From: <sip:a@127.0.0.1>;tag=a\r\nTo: <sip:21@127.0.0.1>\r\ni: c1\r\nCSeq: 1 INVITE\r\nl: 4\r\n\r\nv=0\n";

    #[test]
    fn a_request_is_read_with_compact_names() {
        let m = parse(INVITE.as_bytes()).expect("well formed");
        assert_eq!(
            (m.branch(), m.call_id.as_str(), m.called().as_deref()),
            ("z9hG4bK1", "c1", Some("21"))
        );
        assert_eq!((m.text(), length(INVITE.as_bytes())), (Some("v=0\n"), Ok(Some(INVITE.len()))));
        assert_eq!(length(&INVITE.as_bytes()[..INVITE.len() - 1]), Ok(None), "not whole yet");
    }

    /// Guards against input that ends the process or is answered as if it were sound.
    #[test]
    fn every_cut_and_every_spoilt_byte_is_taken_or_turned_away() {
        for cut in 0..INVITE.len() {
            assert!(parse(&INVITE.as_bytes()[..cut]).is_err(), "cut at {cut}");
            let _ = length(&INVITE.as_bytes()[..cut]);
        }
        for at in 0..INVITE.len() {
            for byte in [0u8, b'\n', b'\r', b':', b'<', b';', 0xff] {
                let mut spoilt = INVITE.as_bytes().to_vec();
                spoilt[at] = byte;
                let _ = (parse(&spoilt), length(&spoilt));
            }
        }
        let wrong = INVITE.replace("CSeq: 1 INVITE", "CSeq: 1 BYE");
        assert!(
            matches!(parse(wrong.as_bytes()), Err(Malformed::Request(..))),
            "can be answered with 400"
        );
    }
}
