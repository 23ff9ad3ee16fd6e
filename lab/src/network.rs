//! A simulated datagram network in virtual time. Links lose, delay, duplicate, reorder, corrupt or drop all datagrams;
//! processes can be suspended, resumed, killed and restarted. A run is determined by its seed.

pub use mintgate::{Duration, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// Datagrams to send, each with its destination.
pub type Outgoing = Vec<(SocketAddr, Vec<u8>)>;

/// A state machine without sockets or a clock.
pub trait Process {
    /// When [`Process::on_timer`] is due next.
    fn next_timeout(&self) -> Option<Timestamp>;
    /// Handles a received datagram and returns what to send.
    fn on_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) -> Outgoing;
    /// Handles the timeout given by [`Process::next_timeout`] and returns what to send.
    fn on_timer(&mut self, now: Timestamp) -> Outgoing;
}

/// What a link does to datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Drops every datagram.
    pub cut: bool,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are delivered twice.
    pub duplicate: f64,
    /// Fraction of datagrams in which one bit is flipped.
    pub corrupt: f64,
    /// Minimum latency.
    pub delay: Duration,
    /// Maximum additional latency, drawn for each datagram, so that datagrams are reordered.
    pub jitter: Duration,
}

impl Default for Link {
    /// A healthy link within one site.
    fn default() -> Link {
        let (delay, jitter) = (Duration(200_000), Duration(300_000));
        Link { cut: false, loss: 0.0, duplicate: 0.0, corrupt: 0.0, delay, jitter }
    }
}

/// Datagrams and bytes sent and received by a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

struct Host<P> {
    process: P,
    /// Distinguishes it from earlier processes at this address.
    incarnation: u64,
    suspended: bool,
    /// Datagrams queued in the socket while the process is suspended.
    queued: Vec<(SocketAddr, Vec<u8>)>,
    wake_at: Option<Timestamp>,
    traffic: Traffic,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake { at: SocketAddr, incarnation: u64 },
    Deliver { to: SocketAddr, from: SocketAddr, bytes: Vec<u8> },
}

/// Datagrams queued for a suspended process at most; the rest is lost, as with a full socket buffer.
const MAX_QUEUED_DATAGRAMS: usize = 1_000;

/// A simulated network and the processes on it.
pub struct Network<P> {
    now: Timestamp,
    rng: SmallRng,
    hosts: BTreeMap<SocketAddr, Host<P>>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    next_number: u64,
    /// Applies where the function given to [`Network::set_links`] returns `None`.
    default_link: Link,
    links: Box<dyn Fn(SocketAddr, SocketAddr) -> Option<Link>>,
}

impl<P: Process> Network<P> {
    /// Creates a network without processes, at a time well after 0.
    pub fn new(seed: u64, default_link: Link) -> Network<P> {
        Network {
            now: Timestamp(1_000_000_000_000),
            rng: SmallRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_number: 0,
            default_link,
            links: Box::new(|_, _| None),
        }
    }

    /// The current virtual time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Sets the function that determines the link from one address to another; `None` selects the default link.
    pub fn set_links(&mut self, links: impl Fn(SocketAddr, SocketAddr) -> Option<Link> + 'static) {
        self.links = Box::new(links);
    }

    /// Starts a process at an address, replacing one that ran there.
    pub fn start(&mut self, at: SocketAddr, process: P) {
        self.next_number += 1;
        let host = Host {
            process,
            incarnation: self.next_number,
            suspended: false,
            queued: vec![],
            wake_at: None,
            traffic: Traffic::default(),
        };
        self.hosts.insert(at, host);
        self.schedule_wake(at);
    }

    /// Kills the process at an address. Datagrams in flight to it are lost.
    pub fn kill(&mut self, at: SocketAddr) -> Option<P> {
        Some(self.hosts.remove(&at)?.process)
    }

    /// Suspends a process as SIGSTOP does, or resumes it.
    pub fn set_suspended(&mut self, at: SocketAddr, suspended: bool) {
        let Some(host) = self.hosts.get_mut(&at) else { return };
        host.suspended = suspended;
        if suspended {
            return;
        }
        for (from, bytes) in std::mem::take(&mut host.queued) {
            self.receive(at, from, &bytes);
        }
        self.on_timeout(at);
    }

    /// The running process at an address.
    pub fn process(&self, at: SocketAddr) -> Option<&P> {
        self.hosts.get(&at).map(|host| &host.process)
    }

    /// All processes, by address.
    pub fn processes(&self) -> impl Iterator<Item = (SocketAddr, &P)> {
        self.hosts.iter().map(|(at, host)| (*at, &host.process))
    }

    /// Traffic of the process at an address since its start.
    pub fn traffic(&self, at: SocketAddr) -> Traffic {
        self.hosts.get(&at).map(|host| host.traffic).unwrap_or_default()
    }

    /// Calls `action` on a process, for example to pass it an event, and sends the datagrams that it returns.
    pub fn with_process(&mut self, at: SocketAddr, action: impl FnOnce(&mut P, Timestamp) -> Outgoing) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&at) else { return };
        let outgoing = action(&mut host.process, now);
        self.send(at, outgoing);
        self.schedule_wake(at);
    }

    /// Runs the simulation until this time.
    pub fn run_until(&mut self, end: Timestamp) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            match event {
                Event::Deliver { to, from, bytes } => self.deliver(to, from, bytes),
                Event::Wake { at, incarnation } => {
                    let running = self.hosts.get_mut(&at).filter(|host| host.incarnation == incarnation);
                    let Some(host) = running.filter(|host| host.wake_at == Some(self.now)) else { continue };
                    host.wake_at = None;
                    if !host.suspended {
                        self.on_timeout(at);
                    }
                }
            }
        }
        self.now = self.now.max(end);
    }

    fn deliver(&mut self, to: SocketAddr, from: SocketAddr, bytes: Vec<u8>) {
        let Some(host) = self.hosts.get_mut(&to) else { return };
        if !host.suspended {
            return self.receive(to, from, &bytes);
        }
        if host.queued.len() < MAX_QUEUED_DATAGRAMS {
            host.queued.push((from, bytes));
        }
    }

    fn receive(&mut self, at: SocketAddr, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&at) else { return };
        host.traffic.datagrams_received += 1;
        host.traffic.bytes_received += bytes.len() as u64;
        let outgoing = host.process.on_datagram(now, from, bytes);
        self.send(at, outgoing);
        self.schedule_wake(at);
    }

    fn on_timeout(&mut self, at: SocketAddr) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&at) else { return };
        if host.process.next_timeout().is_some_and(|due| due <= now) {
            let outgoing = host.process.on_timer(now);
            self.send(at, outgoing);
        }
        self.schedule_wake(at);
    }

    /// Schedules the next timeout of a process, at least a microsecond from now: otherwise a process whose timeout is
    /// always in the past would keep virtual time from advancing.
    fn schedule_wake(&mut self, at: SocketAddr) {
        let Some(host) = self.hosts.get_mut(&at) else { return };
        let Some(due) = host.process.next_timeout() else {
            host.wake_at = None;
            return;
        };
        let due = due.max(self.now + Duration(1_000));
        if host.wake_at.is_none_or(|wake_at| due < wake_at || wake_at <= self.now) {
            host.wake_at = Some(due);
            let incarnation = host.incarnation;
            self.schedule(due, Event::Wake { at, incarnation });
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.next_number += 1;
        self.queue.push(Reverse((at, self.next_number, event)));
    }

    fn send(&mut self, from: SocketAddr, outgoing: Outgoing) {
        for (to, bytes) in outgoing {
            if let Some(host) = self.hosts.get_mut(&from) {
                host.traffic.datagrams_sent += 1;
                host.traffic.bytes_sent += bytes.len() as u64;
            }
            let link = (self.links)(from, to).unwrap_or(self.default_link);
            if link.cut || self.chance(link.loss) {
                continue;
            }
            let copies = 1 + usize::from(self.chance(link.duplicate));
            for _ in 0..copies {
                let bytes = self.maybe_corrupt(&bytes, link.corrupt);
                let delay = link.delay.0 + self.rng.random_range(0..=link.jitter.0);
                self.schedule(self.now + Duration(delay), Event::Deliver { to, from, bytes });
            }
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability.min(1.0))
    }

    fn maybe_corrupt(&mut self, bytes: &[u8], probability: f64) -> Vec<u8> {
        let mut bytes = bytes.to_vec();
        if !bytes.is_empty() && self.chance(probability) {
            let at = self.rng.random_range(0..bytes.len());
            bytes[at] ^= 1 << self.rng.random_range(0..8u32);
        }
        bytes
    }
}
