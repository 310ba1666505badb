//! The caller of a call from the lines' front, in the Call-ID of the leg to its exchange. It outlives the process: when a
//! BYE ends the call, a later process knows which host to tell.

use crate::net::lines::is_16_hex_digits;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Separates the caller's id, the caller's host and the random part.
const SEPARATOR: char = '.';
/// Number of hexadecimal digits of an IPv4 address.
const IPV4_DIGITS: usize = 8;
/// Number of hexadecimal digits of an IPv6 address.
const IPV6_DIGITS: usize = 32;

/// The caller of a call from the lines' front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineCaller {
    /// The caller's id of the call.
    pub id: String,
    /// The caller's host; `None` in a Call-ID of an earlier version.
    pub host: Option<IpAddr>,
}

impl LineCaller {
    /// Formats the part of a Call-ID before the `@`.
    pub(super) fn call_id(&self, random_id: &str) -> String {
        let id = &self.id;
        match self.host.map(host_digits) {
            Some(host) => format!("{id}{SEPARATOR}{host}{SEPARATOR}{random_id}"),
            None => format!("{id}{SEPARATOR}{random_id}"),
        }
    }

    /// Parses a Call-ID; `None` if it is not that of a call from the lines' front.
    pub(super) fn parse(call_id: &str) -> Option<Self> {
        let (local_part, _) = call_id.split_once('@')?;
        let mut parts = local_part.split(SEPARATOR);
        let id = parts.next().filter(|id| is_16_hex_digits(id))?;
        let (host, random_id) = (parts.next()?, parts.next());
        let host = random_id.and_then(|_| parse_host(host));
        Some(LineCaller { id: id.to_owned(), host })
    }
}

/// Formats an address as digits, which are valid in a Call-ID.
fn host_digits(host: IpAddr) -> String {
    match host {
        IpAddr::V4(host) => format!("{:08x}", u32::from(host)),
        IpAddr::V6(host) => format!("{:032x}", u128::from(host)),
    }
}

fn parse_host(digits: &str) -> Option<IpAddr> {
    match digits.len() {
        IPV4_DIGITS => u32::from_str_radix(digits, 16).ok().map(|host| Ipv4Addr::from(host).into()),
        IPV6_DIGITS => u128::from_str_radix(digits, 16).ok().map(|host| Ipv6Addr::from(host).into()),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a caller that a later process reads differently from what the earlier one has written.
    #[test]
    fn call_id_names_the_caller_and_its_host() {
        let hosts = [Some([127, 0, 0, 2].into()), Some(Ipv6Addr::LOCALHOST.into()), None];
        for host in hosts {
            let caller = LineCaller { id: "9b1f03aa5c7e2d41".to_owned(), host };
            let call_id = format!("{}@127.0.0.1:5060", caller.call_id("00112233445566aa"));
            assert_eq!(LineCaller::parse(&call_id), Some(caller));
        }
        assert_eq!(LineCaller::parse("00112233445566aa@127.0.0.1:5060"), None);
    }
}
