//! The cases.

use crate::parts::*;
use crate::sip::{Callers, SipExchange};
use crate::{Setting, Verdict};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

pub fn run(case: &str, setting: &Setting) -> Verdict {
    match case {
        "restart-standing" => restart_standing(setting),
        "second-copy" => second_copy(setting),
        "foreign-release" => foreign_release(setting),
        "slow-journal" => slow_journal(setting),
        "sip-burst" => sip_burst(setting),
        _ => Verdict::CouldNotRun(format!("there is no case {case}")),
    }
}

/// Answers each set-up at once.
fn answers(exchange: &Exchange, conn: &Conn, line: &Line) {
    if line.verb() == "START" {
        exchange.send(conn, &answer(&line.tag(), &exchange.name));
    }
}

/// The entries of the list: the own exchange, and these.
fn list(own: &Exchange, others: &[&Exchange]) -> Vec<String> {
    let mut servers = vec![server("x0", own.addr, 0, "in_service", 0)];
    for (i, exchange) in others.iter().enumerate() {
        servers.push(server(&exchange.name, exchange.addr, i as u32 + 1, "in_service", 0));
    }
    servers
}

/// Ordinary set-ups before the one that ends with an error, so that at most one in a thousand does.
const ORDINARY_CALLS: u64 = 1000;

fn second_copy(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let journal = Journal::start(record);
    let own = Exchange::start("x0", record, |_, _, _| {});
    let failing = tag(ORDINARY_CALLS + 1);
    // The set-ups of the failing call that have arrived, and those that are out: neither ended nor given up.
    let state = Arc::new(Mutex::new((0, 0)));
    let twice = Flag::default();
    let (own_failing, own_twice, trouble) = (failing.clone(), twice.clone(), setting.trouble);
    let x1 = Exchange::start("x1", record, move |x, conn, line| {
        let tag = line.tag();
        let mut state = state.lock().unwrap();
        match line.verb().as_str() {
            "START" if tag != own_failing => {
                x.send(conn, &answer(&tag, &x.name));
                let x = x.clone();
                std::thread::spawn(move || {
                    sleep(ms(300));
                    x.end_call(&tag, 16);
                });
            }
            "START" if state.0 == 0 => {
                state.0 = 1;
                // An error; a copy of this answer follows some milliseconds later.
                x.send(conn, &release(&tag, 47, ""));
                if trouble {
                    x.send_later(conn, ms(20), release(&tag, 47, ""));
                }
            }
            "START" => {
                *state = (state.0 + 1, state.1 + 1);
                if state.1 > 1 {
                    x.record.write(&x.name, &format!("{tag} is out twice"));
                    own_twice.set(true);
                }
                x.send_later(conn, ms(300), answer(&tag, &x.name));
            }
            "FINISH" if tag == own_failing => state.1 = 0,
            _ => {}
        }
    });
    let x2 = Exchange::start("x2", record, answers);
    let mut platform = Platform::new(&setting.root, record, false);
    platform.configure(journal.addr, &list(&own, &[&x1, &x2]), 1);
    platform.start(&[]);
    if !platform.ready(ms(30_000)) {
        return Verdict::CouldNotRun("the call controller is not ready".into());
    }
    sleep(ms(1500));
    let Some(client) = Client::connect("caller", platform.listen, record) else {
        return Verdict::CouldNotRun("the caller can't connect".into());
    };
    for n in 1..=ORDINARY_CALLS {
        client.send(&set_up(&tag(n), "log-lookup", 3000, 1));
        sleep(ms(20));
        if n % 10 == 0 {
            x1.report(25);
        }
    }
    sleep(ms(1000));
    client.send(&set_up(&failing, "log-lookup", 3000, 1));
    let _ = client.wait(&failing, &["STARTED", "FINISH"], ms(3500));
    sleep(ms(1000));
    let set_ups = x1.set_ups();
    if set_ups.len() < ORDINARY_CALLS as usize || !set_ups.iter().any(|l| l.tag() == failing) {
        return Verdict::CouldNotRun(format!("only {} set-ups reached the exchange", set_ups.len()));
    }
    match twice.get() {
        true => Verdict::Broken("a call had two set-ups out at the same time".into()),
        false => Verdict::Held("no call had two set-ups out at the same time".into()),
    }
}

fn foreign_release(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let journal = Journal::start(record);
    let own = Exchange::start("x0", record, |_, _, _| {});
    let x1 = Exchange::start("x1", record, answers);
    let x2 = Exchange::start("x2", record, answers);
    let mut platform = Platform::new(&setting.root, record, false);
    platform.configure(journal.addr, &list(&own, &[&x1, &x2]), 1);
    platform.start(&[]);
    if !platform.ready(ms(30_000)) {
        return Verdict::CouldNotRun("the call controller is not ready".into());
    }
    sleep(ms(1000));
    let connect =
        |name: &str, host: u8| Client::connect_from([127, 0, 0, host], name, platform.listen, record);
    let (Some(first), Some(other)) = (connect("caller-2", 2), connect("caller-3", 3)) else {
        return Verdict::CouldNotRun("the callers can't connect".into());
    };
    let (call, others) = (tag(1), tag(2));
    first.send(&set_up(&call, "log-lookup", 3000, 1));
    other.send(&set_up(&others, "log-lookup", 3000, 2));
    let stands = |c: &Client, t: &str| c.wait(t, &["STARTED"], ms(3000)).is_some();
    if !stands(&first, &call) || !stands(&other, &others) {
        return Verdict::CouldNotRun("the calls do not stand".into());
    }
    // The caller's connection has no set-up open, and a call that stands belongs to no connection.
    sleep(ms(4000));
    if setting.trouble {
        first.conn.close();
    }
    sleep(ms(500));
    x1.end_call(&call, 16);
    sleep(ms(300));
    let again = connect("caller-2", 2);
    if let Some(again) = &again {
        again.send(&set_up(&tag(3), "log-lookup", 3000, 2));
    }
    sleep(ms(8500));
    let heard = |c: &Client| c.inbox.all().iter().any(|l| l.verb() == "FINISH" && l.tag() == call);
    let own_caller = heard(&first) || again.as_ref().is_some_and(heard);
    match (own_caller, heard(&other)) {
        (true, false) => Verdict::Held("the caller was released".into()),
        (false, true) => {
            Verdict::Broken("the release went to another caller, and its own never got it".into())
        }
        (true, true) => Verdict::Broken("the release went to another caller too".into()),
        (false, false) => Verdict::Broken("the caller was never released".into()),
    }
}

fn slow_journal(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let journal = Journal::start(record);
    let own = Exchange::start("x0", record, |_, _, _| {});
    let x1 = Exchange::start("x1", record, |x, conn, line| {
        if line.verb() == "START" {
            x.send(conn, &answer(&line.tag(), &x.name));
            x.send_later(conn, ms(300), release(&line.tag(), 16, ""));
        }
    });
    let x2 = Exchange::start("x2", record, answers);
    let mut platform = Platform::new(&setting.root, record, false);
    platform.configure(journal.addr, &list(&own, &[&x1, &x2]), 1);
    if setting.trouble {
        journal.set_wait(ms(3000));
    }
    platform.start(&[]);
    if !platform.ready(ms(30_000)) {
        return Verdict::CouldNotRun("the call controller is not ready".into());
    }
    sleep(ms(1500));
    let Some(client) = Client::connect("caller", platform.listen, record) else {
        return Verdict::CouldNotRun("the caller can't connect".into());
    };
    journal.tell(&[server("x1", x1.addr, 1, "terminating", 0)]);
    let held_at = record.now();
    let mut n = 0;
    while record.now() < held_at + 16_000 {
        n += 1;
        client.send(&set_up(&tag(n), "log-lookup", 3000, 1));
        sleep(ms(100));
        x1.report(20);
    }
    let bound = held_at + 7000 + 550;
    let late: Vec<_> = x1.set_ups().into_iter().filter(|l| l.at > bound).collect();
    match late.len() {
        0 => Verdict::Held("no set-up after the grace".into()),
        n => Verdict::Broken(format!(
            "{n} set-ups to x1 after the grace; last {} ms late",
            late[n - 1].at - bound
        )),
    }
}

fn sip_burst(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let journal = Journal::start(record);
    let own = Exchange::start("x0", record, |_, _, _| {});
    let x1 = Exchange::start("x1", record, |_, _, _| {});
    let mut platform = Platform::new(&setting.root, record, false);
    platform.configure_with_memory(journal.addr, &list(&own, &[&x1]), 1, 32);
    let front = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr());
    let front = front.expect("a free port");
    let exchange = SipExchange::start(front, ms(7300), record);
    let operator = format!(
        "[sip]\nudp = \"{front}\"\n[[sip.exchange]]\ncell = 1\naddress = \"{}\"\ntransport = \"udp\"\n\
         [[sip.number]]\nprefix = \"21\"\nexchange = 1\nclass = \"rig-query\"\n",
        exchange.addr
    );
    let file = platform.folder.join("operator.toml");
    std::fs::write(&file, operator).expect("the operator's file is written");
    platform.start(&[("SLATESHED_OPERATOR", &file.to_string_lossy())]);
    if !platform.ready(ms(30_000)) {
        return Verdict::CouldNotRun("the call controller is not ready".into());
    }
    let callers = Callers::start(front, record);
    let start = record.now();
    let (mut n, mut next) = (0u64, 0.0);
    while record.now() < start + 70_000 {
        let at = record.now() - start;
        if at as f64 >= next {
            n += 1;
            callers.call(n);
            let is_burst = setting.trouble && (45_000..53_600).contains(&at);
            next += if is_burst { 1000.0 / 9.0 / 1.8 } else { 1000.0 / 9.0 };
        }
        sleep(ms(2));
    }
    sleep(ms(8500));
    let calls = callers.calls.lock().unwrap();
    let released = exchange.released.lock().unwrap();
    let over: Vec<_> = released.iter().filter(|(_, at)| **at + 8050 < record.now()).collect();
    let lost =
        over.iter().filter(|(n, _)| calls.stood.contains(n) && !calls.released.contains_key(n)).count();
    let figures = format!(
        "{n} calls, {} stood, {} refused; {} releases, {} got another response than 200",
        calls.stood.len(),
        calls.refused.len(),
        over.len(),
        exchange.refused.lock().unwrap()
    );
    match lost {
        0 => Verdict::Held(figures),
        lost => Verdict::Broken(format!("{lost} callers were never released ({figures})")),
    }
}

fn restart_standing(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let journal = Journal::start(record);
    let own = Exchange::start("x0", record, |_, _, _| {});
    let x1 = Exchange::start("x1", record, answers);
    let x2 = Exchange::start("x2", record, answers);
    let mut platform = Platform::new(&setting.root, record, false);
    let servers = list(&own, &[&x1, &x2]);
    platform.configure(journal.addr, &servers, 1);
    let old = platform.start(&[]);
    if !platform.ready(ms(30_000)) {
        return Verdict::CouldNotRun("the call controller is not ready".into());
    }
    sleep(ms(1000));
    let Some(client) = Client::connect("caller", platform.listen, record) else {
        return Verdict::CouldNotRun("the caller can't connect".into());
    };
    client.send(&set_up(&tag(1), "log-lookup", 3000, 1));
    if client.wait(&tag(1), &["STARTED"], ms(3000)).is_none() {
        return Verdict::CouldNotRun("the call does not stand".into());
    }
    let mut again = None;
    if setting.trouble {
        platform.signal(old, SIGTERM);
        for _ in 0..100 {
            sleep(ms(50));
            if platform.has_ended(old) {
                break;
            }
        }
        platform.kill(old);
        platform.start(&[]);
        if !platform.ready(ms(30_000)) {
            return Verdict::CouldNotRun("the new call controller is not ready".into());
        }
        sleep(ms(500));
        again = Client::connect("caller", platform.listen, record);
        if let Some(again) = &again {
            again.send(&set_up(&tag(2), "log-lookup", 3000, 1));
            let _ = again.wait(&tag(2), &["STARTED"], ms(3000));
        }
    }
    sleep(ms(3000));
    // The call comes to its end, unless the call controller has cut it.
    if !x1.inbox.all().iter().any(|l| l.verb() == "FINISH" && l.tag() == tag(1)) {
        x1.end_call(&tag(1), 16);
    }
    let heard = |c: &Client, within: Duration| c.wait(&tag(1), &["FINISH"], within).is_some();
    let released = heard(&client, ms(1500)) || again.as_ref().is_some_and(|c| heard(c, ms(8500)));
    match released {
        true => Verdict::Held("the caller was released".into()),
        false => Verdict::Broken("the caller was never released".into()),
    }
}
