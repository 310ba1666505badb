//! The cases.

use crate::parts::*;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limits grow by 50 ms on sockets.
const SLACK: Duration = Duration::from_millis(50);

pub fn play(name: &str, trouble: bool) -> Option<bool> {
    match name {
        "takeover" => Some(takeover(trouble)),
        "silent-client" => Some(silent_client(trouble)),
        "vanished-sip-exchange" => Some(vanished_sip_exchange(trouble)),
        "replaced" => Some(replaced(trouble)),
        "quiet-drain" => Some(quiet_drain(trouble)),
        "draining-reset" => Some(draining_reset(trouble)),
        _ => {
            println!("unknown case {name}");
            None
        }
    }
}

fn tag(n: u64) -> String {
    format!("{:016x}", 0xa000_0000_0000_0000 + n)
}

/// The process is replaced while calls stand; the exchange releases them while the old process still runs.
fn takeover(trouble: bool) -> bool {
    let record = Record::new();
    let (exchange, exchange_addr) = Lines::exchange(
        "exchange 1",
        r#"{"verb":"LOAD","tag":"","opts":{"load":"spare:40;total:40"}}"#,
        &record,
    );
    let journal = Journal::start(&record).addr;
    let socket = listener();
    let listen = socket.local_addr().expect("it has an address");
    let (old_admin, new_admin) = (free_addr(), free_addr());
    let servers = [(0, free_addr()), (1, exchange_addr)];
    let mut old = Daemon::start(
        "old",
        &config(listen, old_admin, journal, &servers),
        None,
        Some(&socket),
        &record,
    );
    old.wait_healthy(old_admin);
    std::thread::sleep(ms(300));
    let client = Lines::new("client", &record);
    let conns = [client.connect(listen), client.connect(listen)];
    let calls: Vec<String> = (1..=6).map(tag).collect();
    for (i, call) in calls.iter().enumerate() {
        client.send(conns[i % 2], &set_up(call, "log-lookup", 3000, 1, 1));
        exchange.expect("START", call);
        exchange.answer(call);
        client.expect("STARTED", call);
    }
    std::thread::sleep(ms(1500));
    let mut new = None;
    if trouble {
        let daemon = Daemon::start(
            "new",
            &config(listen, new_admin, journal, &servers),
            None,
            Some(&socket),
            &record,
        );
        daemon.wait_healthy(new_admin);
        new = Some(daemon);
        old.signal("TERM");
    }
    let term_at = Instant::now();
    // The exchange ends the calls one after the other, 0.2 to 0.7 s after SIGTERM.
    let mut ends = Vec::new();
    for (i, call) in calls.iter().enumerate() {
        std::thread::sleep(
            (term_at + ms(200 + 100 * i as u64)).saturating_duration_since(Instant::now()),
        );
        if !old.runs() {
            record.line("platform", "the old process has ended");
            break;
        }
        exchange.release(call, 16);
        ends.push((call.clone(), Instant::now()));
    }
    // The client goes on calling; a connection that was closed is replaced by a new one.
    let (mut conn, mut next, mut killed) = (conns[0], 100, false);
    while term_at.elapsed() < ms(9500) {
        if !client.is_open(conn) {
            conn = client.connect(listen);
        }
        let call = tag(next);
        next += 1;
        client.send(conn, &set_up(&call, "log-lookup", 3000, 1, 1));
        if wait_until(ms(400), || exchange.find(&["START"], &call).is_some()) {
            exchange.answer(&call);
            let _ = wait_until(ms(400), || client.find(&["STARTED"], &call).is_some());
            client.send(conn, &format!(r#"{{"verb":"FINISH","tag":"{call}","opts":{{}},"rc":16}}"#));
        }
        // SIGKILL comes after the longest deadline, 5 s of it at most, and 0.7 s.
        if trouble && !killed && term_at.elapsed() >= ms(5700) {
            killed = true;
            if old.runs() {
                old.signal("KILL");
            }
        }
        std::thread::sleep(ms(700));
    }
    let mut kept = !ends.is_empty();
    for (call, ended_at) in &ends {
        let released = client.find(&["FINISH"], call).map(|r| r.at.saturating_duration_since(*ended_at));
        // One second where a release could be sent, eight where none could: the longer bound is checked.
        let in_time = released.is_some_and(|after| after <= ms(8000) + SLACK);
        record.line(
            "check",
            &format!("call {call}: released towards its client after {released:?}, kept={in_time}"),
        );
        kept &= in_time;
    }
    drop(new);
    kept
}

/// A client goes silent in the middle of a message, while another set-up of its connection waits for its answer.
fn silent_client(trouble: bool) -> bool {
    let record = Record::new();
    let full = r#"{"verb":"LOAD","tag":"","opts":{"load":"spare:0;total:20"}}"#;
    let free = r#"{"verb":"LOAD","tag":"","opts":{"load":"spare:6;total:20"}}"#;
    let (exchange, exchange_addr) = Lines::exchange("exchange 1", full, &record);
    let (listen, admin) = (free_addr(), free_addr());
    let servers = [(0, free_addr()), (1, exchange_addr)];
    let daemon = Daemon::start(
        "n0",
        &config(listen, admin, Journal::start(&record).addr, &servers),
        None,
        None,
        &record,
    );
    daemon.wait_healthy(admin);
    std::thread::sleep(ms(500));
    let client = Lines::new("client", &record);
    let conn = client.connect(listen);
    let (call, next) = (tag(1), tag(2));
    let left = 3600;
    client.send(conn, &set_up(&call, "box-photos", left, 1, 2));
    let taken_at = Instant::now();
    std::thread::sleep(ms(50));
    if trouble {
        let line = set_up(&next, "log-lookup", left, 1, 1);
        client.send_bytes(conn, &line[..line.len() / 2]);
        record.line("client", "goes silent and keeps the connection open");
    }
    // Circuits become free after a second; the processor of the exchange answers 1.9 s later.
    std::thread::sleep((taken_at + ms(1000)).saturating_duration_since(Instant::now()));
    exchange.send_all(free);
    std::thread::sleep((taken_at + ms(2950)).saturating_duration_since(Instant::now()));
    if exchange.find(&["START"], &call).is_some() {
        exchange.answer(&call);
    }
    let answered = || client.find(&["STARTED", "FINISH"], &call);
    wait_until(ms(u64::from(left)).saturating_sub(taken_at.elapsed()) + ms(550), || {
        answered().is_some()
    });
    let after = answered().map(|r| r.at.saturating_duration_since(taken_at));
    // An answer up to half a second after the caller's time is late and not lost.
    let kept = after.is_some_and(|after| after <= ms(u64::from(left) + 500) + SLACK);
    let open = client.is_open(conn);
    record.line(
        "check",
        &format!("set-up {call}: answered after {after:?}, its connection is open: {open}, kept={kept}"),
    );
    kept
}

/// The value of a header field of a SIP message.
fn header<'a>(message: &'a str, name: &str) -> &'a str {
    message.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": ")).unwrap_or_default()
}

/// A machine with a SIP exchange vanishes while a call of a JSON caller stands at it.
fn vanished_sip_exchange(trouble: bool) -> bool {
    let record = Record::new();
    let socket = UdpSocket::bind(format!("{}:0", ip())).expect("a port is free");
    let exchange_addr = socket.local_addr().expect("it has an address");
    let front =
        UdpSocket::bind(format!("{}:0", ip())).and_then(|s| s.local_addr()).expect("a port is free");
    let (listen, admin) = (free_addr(), free_addr());
    let operator_file = format!(
        "[sip]\nudp = \"{front}\"\n\n[[sip.exchange]]\ncell = 1\naddress = \"{exchange_addr}\"\ntransport = \"udp\"\n"
    );
    let servers = [(0, free_addr()), (1, exchange_addr)];
    let vanished = Arc::new(AtomicBool::new(false));
    let release = Arc::new(AtomicBool::new(false));
    // The exchange: 180 and 200 to each INVITE, 200 to each BYE and CANCEL, a BYE of its own for the first call.
    let (gone, end_first, log) = (Arc::clone(&vanished), Arc::clone(&release), record.clone());
    std::thread::spawn(move || {
        let mut buffer = [0; 65_536];
        let mut first_invite = None;
        socket.set_read_timeout(Some(ms(20))).expect("the timeout is set");
        loop {
            if let (true, Some(invite)) = (end_first.swap(false, Ordering::SeqCst), &first_invite) {
                let invite: &String = invite;
                let contact = header(invite, "Contact").trim_matches(['<', '>']);
                let bye = format!(
                    "BYE {contact} SIP/2.0\r\nVia: SIP/2.0/UDP {exchange_addr};branch=z9hG4bKbye1\r\nMax-Forwards: 70\r\n\
                     From: {};tag=callee\r\nTo: {}\r\nCall-ID: {}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n",
                    header(invite, "To"), header(invite, "From"), header(invite, "Call-ID")
                );
                log.line("exchange 1", "> BYE");
                let _ = socket.send_to(bye.as_bytes(), front);
            }
            let Ok((length, peer)) = socket.recv_from(&mut buffer) else { continue };
            let message = String::from_utf8_lossy(&buffer[..length]).into_owned();
            let method = message.split(' ').next().unwrap_or_default().to_owned();
            if gone.load(Ordering::SeqCst) {
                log.line("exchange 1", &format!("(vanished) {method} is not heard"));
                continue;
            }
            log.line("exchange 1", &format!("< {}", message.lines().next().unwrap_or_default()));
            let respond = |status: &str, body: &str| {
                let text = format!(
                    "SIP/2.0 {status}\r\nVia: {}\r\nFrom: {}\r\nTo: {}{}\r\nCall-ID: {}\r\nCSeq: {}\r\nContact: <sip:{exchange_addr}>\r\nContent-Length: {}\r\n\r\n{body}",
                    header(&message, "Via"), header(&message, "From"), header(&message, "To"),
                    if header(&message, "To").contains(";tag=") { "" } else { ";tag=callee" },
                    header(&message, "Call-ID"), header(&message, "CSeq"), body.len()
                );
                log.line("exchange 1", &format!("> {status}"));
                let _ = socket.send_to(text.as_bytes(), peer);
            };
            match method.as_str() {
                "INVITE" => {
                    first_invite.get_or_insert(message.clone());
                    respond("180 Ringing", "");
                    respond("200 OK", "v=0 answer");
                }
                "BYE" | "CANCEL" | "OPTIONS" => respond("200 OK", ""),
                _ => {}
            }
        }
    });
    let daemon = Daemon::start(
        "n0",
        &config(listen, admin, Journal::start(&record).addr, &servers),
        Some(&operator_file),
        None,
        &record,
    );
    daemon.wait_healthy(admin);
    std::thread::sleep(ms(300));
    let client = Lines::new("client", &record);
    let conn = client.connect(listen);
    let call = tag(1);
    client.send(conn, &set_up(&call, "log-lookup", 3000, 1, 1));
    client.expect("STARTED", &call);
    std::thread::sleep(ms(3000));
    if trouble {
        record.line("exchange 1", "its machine vanishes: the call there is over");
        vanished.store(true, Ordering::SeqCst);
    } else {
        release.store(true, Ordering::SeqCst);
    }
    let ended_at = Instant::now();
    // The client goes on calling that exchange.
    let (mut next, mut next_at) = (100, Instant::now() + ms(500));
    while ended_at.elapsed() < ms(9500) && client.find(&["FINISH"], &call).is_none() {
        if Instant::now() >= next_at {
            client.send(conn, &set_up(&tag(next), "log-lookup", 3000, 1, 1));
            (next, next_at) = (next + 1, next_at + ms(1000));
        }
        std::thread::sleep(ms(5));
    }
    let after = client.find(&["FINISH"], &call).map(|r| r.at.saturating_duration_since(ended_at));
    let limit = if trouble { ms(8000) } else { ms(1000) };
    let kept = after.is_some_and(|after| after <= limit + SLACK);
    record.line(
        "check",
        &format!("call {call}: released towards its client after {after:?}, kept={kept}"),
    );
    kept
}

/// An exchange drains while calls stand at it; one of its connections is reset, and releases are lost with it.
fn draining_reset(trouble: bool) -> bool {
    let record = Record::new();
    let calls = 24u64;
    let report =
        |free: u64| format!(r#"{{"verb":"LOAD","tag":"","opts":{{"load":"spare:{free};total:40"}}}}"#);
    let (exchange, exchange_addr) = Lines::exchange("exchange 1", &report(40), &record);
    let (listen, admin) = (free_addr(), free_addr());
    // Six exchanges; all calls of this case go to number 1.
    let others: Vec<_> =
        (2..6).map(|n| (n, Lines::exchange(&format!("exchange {n}"), &report(40), &record).1)).collect();
    let mut servers = vec![(0, free_addr()), (1, exchange_addr)];
    servers.extend(others);
    let journal = Journal::start(&record);
    let daemon =
        Daemon::start("n0", &config(listen, admin, journal.addr, &servers), None, None, &record);
    daemon.wait_healthy(admin);
    std::thread::sleep(ms(300));
    let client = Lines::new("client", &record);
    let conn = client.connect(listen);
    // Four set-ups at a time, so that they are spread over the connections.
    for n in 1..=calls {
        client.send(conn, &set_up(&tag(n), "log-lookup", 3000, 1, 1));
        exchange.expect("START", &tag(n));
        if n % 4 == 0 {
            for n in n - 3..=n {
                exchange.answer(&tag(n));
                exchange.set_report(&report(40 - n));
                exchange.send_all(&report(40 - n));
                client.expect("STARTED", &tag(n));
            }
        }
    }
    std::thread::sleep(ms(700));
    journal.tell("s-1", 1, exchange_addr, "terminating", 0);
    std::thread::sleep(ms(900));
    // Two calls of one connection end.
    let conn_of = |n: u64| exchange.find(&["START"], &tag(n)).expect("it was set up").conn;
    let has_two =
        |conn: usize| exchange.is_open(conn) && (1..=calls).filter(|n| conn_of(*n) == conn).count() >= 2;
    let own = (1..=calls).map(conn_of).find(|conn| has_two(*conn)).expect("a connection has two calls");
    let ended: Vec<u64> = (1..=calls).filter(|n| conn_of(*n) == own).take(2).collect();
    let ended_at = Instant::now();
    for n in &ended {
        let line = Lines::release_line(&tag(*n), 16);
        // An exchange sends its release on the next connection opened, too.
        exchange.repeat_on_next(&line);
        if trouble {
            record.line("exchange 1", &format!("connection {own} > {line} (lost with the connection)"));
        } else {
            exchange.send(own, &line);
        }
    }
    if trouble {
        exchange.reset(own);
    }
    // The other calls end in their time, one each 0.45 s, and the exchange reports each change of the group.
    let mut free = 40 - calls;
    for n in (1..=calls).filter(|n| !ended.contains(n)) {
        if ended_at.elapsed() > ms(9500) {
            break;
        }
        std::thread::sleep(ms(450));
        free += 1;
        exchange.set_report(&report(free));
        exchange.release(&tag(n), 16);
        exchange.send_all(&report(free));
    }
    let mut kept = !ended.is_empty();
    for n in &ended {
        let after = client.find(&["FINISH"], &tag(*n)).map(|r| r.at.saturating_duration_since(ended_at));
        // One second after the release by the exchange; the longer bound, for calls of which no release could be sent, is
        // checked where the release was lost.
        let limit = if trouble { ms(8000) } else { ms(1000) };
        let in_time = after.is_some_and(|after| after <= limit + SLACK);
        record.line(
            "check",
            &format!("call {}: released towards its client after {after:?}, kept={in_time}", tag(*n)),
        );
        kept &= in_time;
    }
    kept
}

/// After a quiet time the machine of an exchange vanishes, and its replacement is at its address 1.1 s later.
fn replaced(trouble: bool) -> bool {
    let record = Record::new();
    let report = r#"{"verb":"LOAD","tag":"","opts":{"load":"spare:28;total:40"}}"#;
    let (exchange, exchange_addr) = Lines::exchange("exchange 1", report, &record);
    let (listen, admin) = (free_addr(), free_addr());
    let servers = [(0, free_addr()), (1, exchange_addr)];
    let journal = Journal::start(&record);
    let config = config(listen, admin, journal.addr, &servers);
    let daemon = Daemon::start("n0", &config, None, None, &record);
    daemon.wait_healthy(admin);
    std::thread::sleep(ms(300));
    let client = Lines::new("client", &record);
    let conn = client.connect(listen);
    let calls: Vec<String> = (1..=6).map(tag).collect();
    for call in &calls {
        client.send(conn, &set_up(call, "box-photos", 3000, 1, 2));
        exchange.expect("START", call);
        exchange.answer(call);
        client.expect("STARTED", call);
    }
    // The calls stand for 9 to 11 s. Then the machine vanishes between two of the connections that the controller opens
    // to a silent exchange, one each two seconds.
    std::thread::sleep(ms(9000));
    let count = exchange.conn_count();
    wait_until(ms(3000), || exchange.conn_count() > count);
    std::thread::sleep(ms(300));
    let count = exchange.conn_count();
    if trouble {
        exchange.vanish();
    } else {
        calls.iter().for_each(|call| exchange.release(call, 16));
    }
    let ended_at = Instant::now();
    let sleep_until = |after: u64| {
        std::thread::sleep((ended_at + ms(after)).saturating_duration_since(Instant::now()));
    };
    if trouble {
        sleep_until(1100);
        assert!(exchange.conn_count() == count, "a connection was opened while the machine was away");
        record.line("exchange 1", "its replacement, a new process with a new id, is at the address");
        exchange.set_report(r#"{"verb":"LOAD","tag":"","opts":{"load":"spare:40;total:40"}}"#);
        let started_ms = unix_time().as_millis();
        // Discovery adds the new exchange 1.1 s after its start, and notices after 10 s that the old one is gone.
        sleep_until(2200);
        journal.tell("s-1b", 1, exchange_addr, "in_service", started_ms);
        sleep_until(10_000);
        journal.tell("s-1", 1, exchange_addr, "terminated", 0);
    }
    sleep_until(11_000);
    let mut kept = true;
    for call in &calls {
        let found = client.find(&["FINISH"], call);
        let after = found.map(|r| r.at.saturating_duration_since(ended_at));
        let limit = if trouble { ms(8000) } else { ms(1000) };
        let in_time = after.is_some_and(|after| after <= limit + SLACK);
        record.line(
            "check",
            &format!("call {call}: released towards its client after {after:?}, kept={in_time}"),
        );
        kept &= in_time;
    }
    kept
}

/// An exchange drains while calls stand at it and it has nothing to say. It keeps open the connections that the controller
/// closes, as calls were set up on them.
fn quiet_drain(trouble: bool) -> bool {
    let record = Record::new();
    let report = r#"{"verb":"LOAD","tag":"","opts":{"load":"spare:37;total:40"}}"#;
    let (exchange, exchange_addr) = Lines::exchange("exchange 1", report, &record);
    exchange.keep_open();
    let (listen, admin) = (free_addr(), free_addr());
    let servers = [(0, free_addr()), (1, exchange_addr)];
    let journal = Journal::start(&record);
    let config = config(listen, admin, journal.addr, &servers);
    let daemon = Daemon::start("n0", &config, None, None, &record);
    daemon.wait_healthy(admin);
    std::thread::sleep(ms(300));
    let client = Lines::new("client", &record);
    let conn = client.connect(listen);
    let calls: Vec<String> = (1..=3).map(tag).collect();
    for call in &calls {
        client.send(conn, &set_up(call, "box-photos", 3000, 1, 2));
        exchange.expect("START", call);
        exchange.answer(call);
        client.expect("STARTED", call);
    }
    std::thread::sleep(ms(2500));
    if trouble {
        journal.tell("s-1", 1, exchange_addr, "terminating", 0);
    }
    std::thread::sleep(ms(13_000));
    let mut kept = true;
    for call in &calls {
        let cut = client.find(&["FINISH"], call).is_some();
        record.line("check", &format!("call {call}: told that it is over though it stands: {cut}"));
        kept &= !cut;
    }
    kept
}
