//! Resource usage per second of hollow processes between two snapshots.

use super::report::{Rows, mean_and_max};
use super::system;
use crate::network::Traffic;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Accumulated traffic and busy time of processes at one moment.
pub struct Snapshot {
    processes: BTreeMap<SocketAddr, (Traffic, Duration)>,
    /// Of the simulating thread: wall clock, and processor time if the system reports it.
    thread: (Instant, Option<Duration>),
}

/// The resource usage of one process per second.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Address of the process.
    pub at: SocketAddr,
    /// Bytes sent and received per second.
    pub bytes: f64,
    /// Datagrams sent and received per second.
    pub messages: f64,
    /// Processor time, in percent of a core.
    pub cpu_percent: f64,
}

impl Snapshot {
    /// Takes a snapshot of these processes: traffic, and time spent in the state machine's own calls.
    pub fn new(processes: impl Iterator<Item = (SocketAddr, Traffic, Duration)>) -> Snapshot {
        let processes = processes.map(|(at, traffic, busy_time)| (at, (traffic, busy_time))).collect();
        Snapshot { processes, thread: (Instant::now(), system::thread_time()) }
    }

    /// Usage since an earlier snapshot, over `seconds`, of the processes that ran throughout.
    pub fn since(&self, from: &Snapshot, seconds: f64) -> Vec<Cost> {
        let wall = (self.thread.0 - from.thread.0).as_secs_f64();
        let cpu = self.thread.1.zip(from.thread.1).map(|(to, from)| to.saturating_sub(from).as_secs_f64());
        // On a busy machine the thread waits for a processor, during calls as well as between them, so that their
        // wall time is scaled by the fraction of time in which the thread ran.
        let cpu_fraction = cpu.map_or(1.0, |cpu| (cpu / wall.max(1e-9)).min(1.0));
        let cost = |(at, (traffic, busy_time)): (&SocketAddr, &(Traffic, Duration))| {
            let (before, busy_time_before) = from.processes.get(at)?;
            let busy_time = busy_time.checked_sub(*busy_time_before)?;
            let bytes = (traffic.bytes_sent + traffic.bytes_received)
                .checked_sub(before.bytes_sent + before.bytes_received)?;
            let messages = (traffic.datagrams_sent + traffic.datagrams_received)
                .checked_sub(before.datagrams_sent + before.datagrams_received)?;
            Some(Cost {
                at: *at,
                bytes: bytes as f64 / seconds,
                messages: messages as f64 / seconds,
                cpu_percent: busy_time.as_secs_f64() * cpu_fraction * 100.0 / seconds,
            })
        };
        self.processes.iter().filter_map(cost).collect()
    }
}

/// Adds the rows for the processes of a role.
pub fn add(rows: &mut Rows, role: &str, costs: &[Cost]) {
    let (bytes, max_bytes) = mean_and_max(costs.iter().map(|cost| cost.bytes));
    let (messages, max_messages) = mean_and_max(costs.iter().map(|cost| cost.messages));
    let (cpu, max_cpu) = mean_and_max(costs.iter().map(|cost| cost.cpu_percent));
    rows.add(role, "control_bytes_per_second", "B/s", bytes);
    rows.add(role, "control_bytes_per_second_max", "B/s", max_bytes);
    rows.add(role, "messages_per_second", "1/s", messages);
    rows.add(role, "messages_per_second_max", "1/s", max_messages);
    rows.add(role, "cpu_percent_of_core", "%", cpu);
    rows.add(role, "cpu_percent_of_core_max", "%", max_cpu);
}
