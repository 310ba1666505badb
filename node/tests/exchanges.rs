//! The exchanges' side of the platform's wire by itself, with connections that this test lets come up or not.

mod common;

use common::Parts;
use slateshed::*;
use slateshed_node::engine::*;
use slateshed_node::net::exchanges::Exchanges;
use slateshed_node::net::Context;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

struct World {
    parts: Parts,
    exchanges: Exchanges,
    listener: TcpListener,
    addr: SocketAddr,
}

impl World {
    /// The own exchange, and one whose connection is begun and never seen to be up.
    fn new() -> Self {
        let (listener, addr) = common::listener();
        let parts = Parts::new();
        let exchanges = Exchanges::new(parts.limits);
        let mut world = World { parts, exchanges, listener, addr };
        world.list(Phase::InService);
        world
    }

    fn with<T>(&mut self, then: impl FnOnce(&mut Exchanges, &mut Context) -> T) -> T {
        then(&mut self.exchanges, &mut self.parts.context())
    }

    fn list(&mut self, phase: Phase) {
        let line = |n, phase| NamedEntry {
            name: format!("s-{n}"),
            number: ExchangeNumber(n),
            zone: 0,
            phase,
            started_at: Duration::ZERO,
        };
        let (addr, lines) = (self.addr, [line(0, Phase::InService), line(1, phase)]);
        self.with(|exchanges, cx| {
            cx.engine.update_list(cx.now, false, &lines, cx.timers);
            let id = cx.engine.exchange("s-1").expect("listed");
            exchanges.listed(id, addr, phase, cx);
        });
        self.carry_out();
    }

    fn call(&mut self) -> CallToken {
        let new = common::incoming(Duration::from_secs(3));
        let call = self.with(|_, cx| cx.engine.new_call(cx.now, new, cx.timers));
        self.carry_out();
        call
    }

    fn carry_out(&mut self) {
        while let Some(command) = self.parts.engine.next_command() {
            if !command.is_for_caller() {
                self.with(|exchanges, cx| exchanges.command(command, cx));
            }
        }
    }

    /// What reached the exchange on the first connection before it was closed.
    fn heard(&self) -> String {
        let (mut stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(common::PATIENCE)).expect("a time-out");
        let mut heard = String::new();
        stream.read_to_string(&mut heard).expect("closed in good order");
        heard
    }
}

/// Guards against a set-up that waits for its connection and goes out when the exchange drains or is gone.
#[test]
fn a_set_up_that_has_not_left_does_not_go_to_an_exchange_that_drains() {
    for phase in [Phase::Draining, Phase::Gone] {
        let mut world = World::new();
        world.call();
        world.list(phase);
        assert_eq!(world.heard(), "", "{phase:?}");
    }
}

/// Guards against a set-up that waits for its connection and goes out after its caller has given it up.
#[test]
fn a_set_up_that_has_not_left_goes_nowhere_once_it_is_given_up() {
    let mut world = World::new();
    let call = world.call();
    world.with(|_, cx| cx.engine.caller_ended(cx.now, call, cx.timers));
    world.carry_out();
    assert_eq!(world.heard(), "");
}
