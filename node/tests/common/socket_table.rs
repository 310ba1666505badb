//! The system's table of TCP sockets, which shows whether what was sent has been delivered to the peer's socket.

use std::time::{Duration, Instant};

/// A machine under load delivers within this time. What exceeds the receive buffer is delivered only once it is read.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Position of the remote address among the fields of a line, and of the two that follow it here.
const REMOTE_ADDR_FIELD: usize = 2;
const STATE_FIELD: usize = 3;
const QUEUES_FIELD: usize = 4;
/// The state of a socket whose end of stream the peer's socket has not received yet.
const FIN_WAIT_1: &str = "04";

/// Waits until all that was sent to these ports, and the ends of streams, have been delivered.
pub fn wait_until_delivered(ports: &[u16]) {
    let started_at = Instant::now();
    while is_any_undelivered(ports) && started_at.elapsed() < DELIVERY_TIMEOUT {
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn is_any_undelivered(ports: &[u16]) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets is read");
    table.lines().skip(1).any(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let port = fields[REMOTE_ADDR_FIELD].split_once(':').map(|(_, port)| port);
        let port = port.and_then(|port| u16::from_str_radix(port, 16).ok());
        let send_queue = fields[QUEUES_FIELD].split_once(':').map_or("", |(queue, _)| queue);
        let is_undelivered =
            fields[STATE_FIELD] == FIN_WAIT_1 || !send_queue.trim_matches('0').is_empty();
        is_undelivered && port.is_some_and(|port| ports.contains(&port))
    })
}
