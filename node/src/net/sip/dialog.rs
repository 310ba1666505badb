//! Dialogs (RFC 3261, section 12): the state from which requests within a call are built, as UAC and as UAS.

use super::message::{self, Message};
use super::transaction::{SentInvite, Target};
use ezk_sip_types::header::typed::Routing;
use ezk_sip_types::host::Host;
use ezk_sip_types::print::AppendCtx;
use ezk_sip_types::uri::SipUri;
use ezk_sip_types::Name;
use std::net::{IpAddr, SocketAddr};

/// The state of a dialog on this side.
#[derive(Clone, Debug)]
pub struct Dialog {
    /// The Call-ID.
    pub call_id: String,
    /// The local tag.
    pub local_tag: String,
    /// The remote tag; empty until it is known.
    pub remote_tag: String,
    /// The From header field of requests that this side sends, with its tag.
    pub local_party: String,
    /// The To header field of requests that this side sends, with its tag if known.
    pub remote_party: String,
    /// The remote target: the request URI of requests within the dialog.
    pub remote_target: String,
    /// The route set, as the values of the Route header fields.
    pub route_set: Vec<String>,
    /// The local sequence number (CSeq).
    pub local_cseq: u32,
    /// The remote sequence number (CSeq).
    pub remote_cseq: u32,
    /// Where requests within the dialog, and retransmissions of the 2xx to its INVITE, are sent.
    pub next_hop: Target,
}

/// The socket address of a URI; `None` if its host is a name, since no DNS lookup is made.
pub fn socket_addr(uri: &SipUri) -> Option<SocketAddr> {
    let ip = match uri.host_port.host {
        Host::IP4(ip) => IpAddr::V4(ip),
        Host::IP6(ip) => IpAddr::V6(ip),
        Host::Name(_) => return None,
    };
    Some(SocketAddr::new(ip, uri.host_port.port.unwrap_or(5060)))
}

impl Dialog {
    /// Creates the dialog on the UAS side from the received INVITE.
    pub fn for_uas(invite: &Message, local_tag: &str, source: Target) -> Self {
        let header_text = |name| invite.header(name).unwrap_or_default().to_owned();
        let mut dialog = Dialog {
            call_id: invite.call_id.clone(),
            local_tag: local_tag.to_owned(),
            remote_tag: invite.from.tag.as_ref().map_or(String::new(), |t| t.to_string()),
            local_party: format!("{};tag={local_tag}", header_text(Name::TO)),
            remote_party: header_text(Name::FROM),
            remote_target: message::format_uri(&invite.from.uri.uri),
            route_set: Vec::new(),
            local_cseq: 0,
            remote_cseq: invite.cseq.cseq,
            next_hop: source,
        };
        dialog.update_target(invite, false);
        dialog
    }

    /// Completes the dialog on the UAC side from the 2xx response to its INVITE.
    pub fn update_from_answer(&mut self, response: &Message) {
        self.remote_tag = response.to.tag.as_ref().map_or(String::new(), |t| t.to_string());
        self.remote_party = response.header(Name::TO).unwrap_or_default().to_owned();
        self.update_target(response, true);
    }

    /// Sets the remote target from Contact and the route set from Record-Route; the UAC reverses the order of the
    /// latter. The address of the next hop is that of the first route, or of Contact if there is no route; it stays
    /// unchanged if that URI contains a host name instead of an IP address. A known TCP connection stays in use.
    fn update_target(&mut self, message: &Message, is_uac: bool) {
        let mut routes: Vec<Routing> = message.headers.get(Name::RECORD_ROUTE).unwrap_or_default();
        if is_uac {
            routes.reverse();
        }
        let contact = message.contact();
        let next_hop_uri = routes.first().map(|r| &r.uri.uri).or(contact.as_ref());
        if let Some(addr) = next_hop_uri.and_then(socket_addr) {
            self.next_hop.addr = addr;
        }
        if let Some(contact) = &contact {
            self.remote_target = message::format_uri(contact);
        }
        self.route_set = routes.iter().map(|r| r.default_print_ctx().to_string()).collect();
    }

    /// Length of all texts of the dialog.
    pub fn text_bytes(&self) -> usize {
        let tags = [&self.call_id, &self.local_tag, &self.remote_tag];
        let parties = [&self.local_party, &self.remote_party, &self.remote_target];
        tags.into_iter().chain(parties).chain(&self.route_set).map(String::len).sum()
    }

    /// Writes a request within the dialog. An ACK has the sequence number of its INVITE; any other request has the
    /// next one.
    pub fn request(&mut self, method: &str, via: &str, contact: &str) -> Vec<u8> {
        if method != "ACK" {
            self.local_cseq += 1;
        }
        let cseq = format!("{} {method}", self.local_cseq);
        let mut headers = vec![("Via", via), ("Max-Forwards", "70"), ("From", &self.local_party)];
        headers.extend([
            ("To", self.remote_party.as_str()),
            ("Call-ID", &self.call_id),
            ("CSeq", &cseq),
        ]);
        headers.push(("Contact", contact));
        headers.extend(self.route_set.iter().map(|r| ("Route", r.as_str())));
        message::request(method, &self.remote_target, &headers, "")
    }

    /// The parts of this dialog's INVITE that its CANCEL and the ACK of a non-2xx final response repeat.
    pub fn sent_invite(&self, uri: &str, via: &str) -> SentInvite {
        SentInvite {
            uri: uri.to_owned(),
            via: via.to_owned(),
            from: self.local_party.clone(),
            to: self.remote_party.clone(),
            call_id: self.call_id.clone(),
            cseq: self.local_cseq,
            routes: self.route_set.clone(),
        }
    }
}
