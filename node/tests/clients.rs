//! The clients' side of the platform's wire by itself, turn by turn.

mod common;

use common::Parts;
use slateshed_node::net::clients::Clients;
use std::net::TcpStream;

/// Guards against a flood of connections that is accepted for as long as it lasts, while nobody else has a turn.
#[test]
fn a_flood_of_connections_leaves_the_others_their_turn() {
    let (listener, addr) = common::listener();
    listener.set_nonblocking(true).expect("a listener");
    let mut parts = Parts::new();
    let mut clients = Clients::new(mio::net::TcpListener::from_std(listener), parts.limits);
    // More than a turn takes, and fewer than the system lets wait.
    let flood: Vec<_> = (0..100).map(|_| TcpStream::connect(addr).expect("queued")).collect();
    clients.accept(&mut parts.context());
    assert!(clients.has_unread(), "the turn is over before the flood is");
    clients.read_on(&mut parts.context());
    assert!(!clients.has_unread(), "and goes on in the next");
    drop(flood);
}
