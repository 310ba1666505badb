//! The exchanges' side of the platform's wire by itself, with connections that this test lets come up or not.

mod common;

use mio::Poll;
use slateshed::*;
use slateshed_node::config::{Config, Words};
use slateshed_node::deadlines::Deadlines;
use slateshed_node::engine::*;
use slateshed_node::log::Log;
use slateshed_node::net::duty::Duty;
use slateshed_node::net::exchanges::Exchanges;
use slateshed_node::net::{Context, Due};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

struct World {
    poll: Poll,
    engine: Engine,
    exchanges: Exchanges,
    deadlines: Deadlines<Due>,
    log: Log,
    words: Words,
    listener: TcpListener,
    addr: SocketAddr,
}

impl World {
    /// The own exchange, and one whose connection is begun and never seen to be up.
    fn new() -> Self {
        let (listener, addr) = common::listener();
        let config = Config::parse(&common::config(addr, &[])).expect("a configuration");
        let mut world = World {
            poll: Poll::new().expect("a poll"),
            engine: Engine::new(config.settings, 7).expect("settings make sense"),
            exchanges: Exchanges::new(config.limits),
            deadlines: Deadlines::default(),
            log: Log::new("n0"),
            words: config.words,
            listener,
            addr,
        };
        world.list(Phase::InService);
        world
    }

    fn with<T>(&mut self, then: impl FnOnce(&mut Exchanges, &mut Context) -> T) -> T {
        let mut cx = Context {
            now: Duration::from_secs(1000),
            engine: &mut self.engine,
            deadlines: &mut self.deadlines,
            log: &mut self.log,
            words: &self.words,
            registry: self.poll.registry(),
            dial_timeout: Duration::from_millis(500),
            duty: Duty::new(false, Duration::ZERO),
        };
        then(&mut self.exchanges, &mut cx)
    }

    fn list(&mut self, phase: Phase) {
        let line = |n, phase| Listed {
            name: format!("s-{n}"),
            number: ExchangeNumber(n),
            zone: 0,
            phase,
            started: Duration::ZERO,
        };
        let (addr, lines) = (self.addr, [line(0, Phase::InService), line(1, phase)]);
        self.with(|exchanges, cx| {
            cx.engine.list(cx.now, false, &lines, cx.deadlines);
            let id = cx.engine.exchange("s-1").expect("listed");
            exchanges.listed(id, addr, phase, cx);
        });
        self.carry_out();
    }

    fn call(&mut self) -> CallToken {
        let new = common::incoming(Duration::from_secs(3));
        let call = self.with(|_, cx| cx.engine.call(cx.now, new, cx.deadlines));
        self.carry_out();
        call
    }

    fn carry_out(&mut self) {
        while let Some(command) = self.engine.next_command() {
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
    world.with(|_, cx| cx.engine.caller_ends(cx.now, call, cx.deadlines));
    world.carry_out();
    assert_eq!(world.heard(), "");
}
