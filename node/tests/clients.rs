//! Tests of [`Clients`], the module for client connections, without the event loop: a test calls it once for each
//! iteration of the event loop.

mod common;

use common::ContextFixture;
use slateshed_node::net::clients::Clients;
use std::net::TcpStream;

/// Guards against starvation: a flood of new connections that is accepted in one iteration keeps every other
/// connection waiting for as long as it lasts.
#[test]
fn accept_stops_after_one_batch_during_a_connection_flood() {
    let (listener, addr) = common::bind_listener();
    listener.set_nonblocking(true).expect("the listener is set to non-blocking mode");
    let mut fixture = ContextFixture::new();
    let mut clients = Clients::new(mio::net::TcpListener::from_std(listener), fixture.limits);
    // More than one iteration accepts, and fewer than the listen backlog of the system holds.
    let flood: Vec<_> =
        (0..100).map(|_| TcpStream::connect(addr).expect("the connection is queued")).collect();
    clients.accept(&mut fixture.context());
    assert!(clients.has_unread(), "the first iteration accepted all connections");
    clients.continue_reading(&mut fixture.context());
    assert!(!clients.has_unread(), "the next iteration did not accept the rest");
    drop(flood);
}
