//! Tests of [`Exchanges`], the module for connections to exchanges, without the event loop. No test reports a
//! connection as established, so set-ups stay queued for it.

mod common;

use common::ContextFixture;
use slateshed::*;
use slateshed_node::engine::*;
use slateshed_node::net::exchanges::Exchanges;
use slateshed_node::net::Context;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// The module with an engine, and a listener in place of exchange 1.
struct ExchangesHarness {
    context_fixture: ContextFixture,
    exchanges: Exchanges,
    listener: TcpListener,
    addr: SocketAddr,
}

impl ExchangesHarness {
    /// Lists the local exchange and exchange 1. The module dials exchange 1, but no event reports that connection as
    /// established.
    fn new() -> Self {
        let (listener, addr) = common::bind_listener();
        let context_fixture = ContextFixture::new();
        let exchanges = Exchanges::new(context_fixture.limits);
        let mut harness = ExchangesHarness { context_fixture, exchanges, listener, addr };
        harness.update_list(Phase::InService);
        harness
    }

    /// Calls the module with a fresh context.
    fn with_context<T>(&mut self, action: impl FnOnce(&mut Exchanges, &mut Context) -> T) -> T {
        action(&mut self.exchanges, &mut self.context_fixture.context())
    }

    /// Puts both exchanges on the list, with exchange 1 in the given phase.
    fn update_list(&mut self, phase: Phase) {
        let entry = |number, phase| NamedEntry {
            name: format!("s-{number}"),
            number: ExchangeNumber(number),
            zone: 0,
            phase,
            started_at: Duration::ZERO,
        };
        let (addr, entries) = (self.addr, [entry(0, Phase::InService), entry(1, phase)]);
        self.with_context(|exchanges, cx| {
            cx.engine.update_list(cx.now, false, &entries, cx.timers);
            let id = cx.engine.exchange_id("s-1").expect("the exchange is listed");
            exchanges.apply_list_entry(id, addr, phase, cx);
        });
        self.execute_commands();
    }

    /// Starts a call to exchange 1.
    fn start_call(&mut self) -> CallToken {
        let info = common::incoming_call(Duration::from_secs(3));
        let call = self.with_context(|_, cx| cx.engine.new_call(cx.now, info, cx.timers));
        self.execute_commands();
        call
    }

    /// Executes the engine's pending commands, except those for the caller.
    fn execute_commands(&mut self) {
        while let Some(command) = self.context_fixture.engine.next_command() {
            if !command.is_for_caller() {
                self.with_context(|exchanges, cx| exchanges.execute(command, cx));
            }
        }
    }

    /// Everything that exchange 1 received on its first connection until that was closed.
    fn received_before_close(&self) -> String {
        let (mut stream, _) = self.listener.accept().expect("a connection is accepted");
        stream.set_read_timeout(Some(common::WAIT_TIMEOUT)).expect("the read timeout is set");
        let mut received = String::new();
        stream.read_to_string(&mut received).expect("the connection is closed, not reset");
        received
    }
}

/// Guards against a set-up that is queued until its connection is established, and is sent although the exchange has
/// begun to drain or is gone.
#[test]
fn unsent_set_up_is_not_sent_to_a_draining_or_gone_exchange() {
    for phase in [Phase::Draining, Phase::Gone] {
        let mut harness = ExchangesHarness::new();
        harness.start_call();
        harness.update_list(phase);
        assert_eq!(harness.received_before_close(), "", "{phase:?}");
    }
}

/// Guards against a set-up that is queued until its connection is established, and is sent although its caller has
/// abandoned it.
#[test]
fn unsent_set_up_is_not_sent_after_its_caller_abandons_it() {
    let mut harness = ExchangesHarness::new();
    let call = harness.start_call();
    harness.with_context(|_, cx| cx.engine.caller_ended(cx.now, call, cx.timers));
    harness.execute_commands();
    assert_eq!(harness.received_before_close(), "");
}
