//! What hollow processes cost a second between two moments.

use super::report::{Rows, mean_and_most};
use super::system;
use crate::network::Traffic;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What processes have sent, received and spent up to a moment.
pub struct Moment {
    processes: BTreeMap<SocketAddr, (Traffic, Duration)>,
    /// Of the thread that plays: on the clock, and on a processor.
    thread: (Instant, Option<Duration>),
}

/// The cost of one process a second.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Which.
    pub at: SocketAddr,
    /// Bytes sent and received.
    pub bytes: f64,
    /// Datagrams sent and received.
    pub messages: f64,
    /// Processor time, in percent of a core.
    pub cpu_percent: f64,
}

impl Moment {
    /// Now, of these processes: what each has sent and received, and spent in its machine's own calls.
    pub fn of(processes: impl Iterator<Item = (SocketAddr, Traffic, Duration)>) -> Moment {
        let processes = processes.map(|(at, traffic, spent)| (at, (traffic, spent))).collect();
        Moment { processes, thread: (Instant::now(), system::thread_time()) }
    }

    /// Costs since an earlier moment, over so many seconds, of processes that ran all the time.
    pub fn since(&self, from: &Moment, seconds: f64) -> Vec<Cost> {
        let wall = (self.thread.0 - from.thread.0).as_secs_f64();
        let on = self.thread.1.zip(from.thread.1).map(|(to, from)| to.saturating_sub(from).as_secs_f64());
        // On a busy machine the thread waits for its processor, within calls as without.
        let part = on.map_or(1.0, |on| (on / wall.max(1e-9)).min(1.0));
        let cost = |(at, (traffic, spent)): (&SocketAddr, &(Traffic, Duration))| {
            let (before, spent_before) = from.processes.get(at)?;
            let spent = spent.checked_sub(*spent_before)?;
            let bytes = (traffic.bytes_sent + traffic.bytes_received)
                .checked_sub(before.bytes_sent + before.bytes_received)?;
            let messages = (traffic.datagrams_sent + traffic.datagrams_received)
                .checked_sub(before.datagrams_sent + before.datagrams_received)?;
            Some(Cost {
                at: *at,
                bytes: bytes as f64 / seconds,
                messages: messages as f64 / seconds,
                cpu_percent: spent.as_secs_f64() * part * 100.0 / seconds,
            })
        };
        self.processes.iter().filter_map(cost).collect()
    }
}

/// Adds the rows of a role's processes.
pub fn add(rows: &mut Rows, role: &str, costs: &[Cost]) {
    let (bytes, most_bytes) = mean_and_most(costs.iter().map(|cost| cost.bytes));
    let (messages, most_messages) = mean_and_most(costs.iter().map(|cost| cost.messages));
    let (cpu, most_cpu) = mean_and_most(costs.iter().map(|cost| cost.cpu_percent));
    rows.add(role, "control_bytes_per_second", "B/s", bytes);
    rows.add(role, "control_bytes_per_second_max", "B/s", most_bytes);
    rows.add(role, "messages_per_second", "1/s", messages);
    rows.add(role, "messages_per_second_max", "1/s", most_messages);
    rows.add(role, "cpu_percent_of_core", "%", cpu);
    rows.add(role, "cpu_percent_of_core_max", "%", most_cpu);
}
