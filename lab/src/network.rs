//! A network of processes in virtual time: datagrams on links that lose, delay, duplicate, reorder, corrupt and cut, and
//! processes that are suspended, continued, killed and started again. Same seed, same run.

pub use mintgate::{Duration, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// A datagram and where it goes.
pub type Outgoing = Vec<(SocketAddr, Vec<u8>)>;

/// A machine without sockets or a clock.
pub trait Process {
    /// When [`Process::on_timer`] is to be called next.
    fn next_timeout(&self) -> Option<Timestamp>;
    /// A datagram has come; what is sent in turn.
    fn on_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) -> Outgoing;
    /// The time told by [`Process::next_timeout`] has come; what is sent in turn.
    fn on_timer(&mut self, now: Timestamp) -> Outgoing;
}

/// What a link does to datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Nothing passes.
    pub cut: bool,
    /// The part that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub duplicate: f64,
    /// The part of which a byte is changed on the way.
    pub corrupt: f64,
    /// The least time that one takes.
    pub delay: Duration,
    /// Up to so much longer, drawn for each: what is drawn long comes after what was sent later.
    pub jitter: Duration,
}

impl Default for Link {
    /// A link of one site that is well.
    fn default() -> Link {
        let (delay, jitter) = (Duration(200_000), Duration(300_000));
        Link { cut: false, loss: 0.0, duplicate: 0.0, corrupt: 0.0, delay, jitter }
    }
}

/// Datagrams and bytes of a process.
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
    /// Told apart from others that had this address before.
    incarnation: u64,
    suspended: bool,
    /// What waits in the socket of one that is suspended.
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    wake: Option<Timestamp>,
    traffic: Traffic,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Wake { at: SocketAddr, incarnation: u64 },
    Deliver { to: SocketAddr, from: SocketAddr, bytes: Vec<u8> },
}

/// Datagrams that wait in the socket of a suspended process at most; the rest is lost, as by a full buffer.
const SOCKET_BUFFER: usize = 1_000;

/// See the module's page.
pub struct Network<P> {
    now: Timestamp,
    rng: SmallRng,
    hosts: BTreeMap<SocketAddr, Host<P>>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Happening)>>,
    number: u64,
    /// Every link that [`Network::set_links`] named no other way.
    default_link: Link,
    links: Box<dyn Fn(SocketAddr, SocketAddr) -> Option<Link>>,
}

impl<P: Process> Network<P> {
    /// A network without processes, at a time well after 0.
    pub fn new(seed: u64, default_link: Link) -> Network<P> {
        Network {
            now: Timestamp(1_000_000_000_000),
            rng: SmallRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            queue: BinaryHeap::new(),
            number: 0,
            default_link,
            links: Box::new(|_, _| None),
        }
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// From now on a link from one address to another is as this says; where it says nothing, as by default.
    pub fn set_links(&mut self, links: impl Fn(SocketAddr, SocketAddr) -> Option<Link> + 'static) {
        self.links = Box::new(links);
    }

    /// Starts a process at an address; one that ran there is gone.
    pub fn start(&mut self, at: SocketAddr, process: P) {
        self.number += 1;
        let host = Host {
            process,
            incarnation: self.number,
            suspended: false,
            waiting: vec![],
            wake: None,
            traffic: Traffic::default(),
        };
        self.hosts.insert(at, host);
        self.arm(at);
    }

    /// Kills the process at an address; what is on its way there is lost.
    pub fn kill(&mut self, at: SocketAddr) -> Option<P> {
        Some(self.hosts.remove(&at)?.process)
    }

    /// Stops a process as SIGSTOP does, or continues it.
    pub fn set_suspended(&mut self, at: SocketAddr, suspended: bool) {
        let Some(host) = self.hosts.get_mut(&at) else { return };
        host.suspended = suspended;
        if suspended {
            return;
        }
        for (from, bytes) in std::mem::take(&mut host.waiting) {
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

    /// What the process at an address has sent and received.
    pub fn traffic(&self, at: SocketAddr) -> Traffic {
        self.hosts.get(&at).map(|host| host.traffic).unwrap_or_default()
    }

    /// Has a process do something by its own, such as taking in an event, and sends what it says.
    pub fn with_process(&mut self, at: SocketAddr, action: impl FnOnce(&mut P, Timestamp) -> Outgoing) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&at) else { return };
        let outgoing = action(&mut host.process, now);
        self.send(at, outgoing);
        self.arm(at);
    }

    /// Plays until this time.
    pub fn run_until(&mut self, end: Timestamp) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, happening))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            match happening {
                Happening::Deliver { to, from, bytes } => self.deliver(to, from, bytes),
                Happening::Wake { at, incarnation } => {
                    let running = self.hosts.get_mut(&at).filter(|host| host.incarnation == incarnation);
                    let Some(host) = running.filter(|host| host.wake == Some(self.now)) else { continue };
                    host.wake = None;
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
        if host.waiting.len() < SOCKET_BUFFER {
            host.waiting.push((from, bytes));
        }
    }

    fn receive(&mut self, at: SocketAddr, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&at) else { return };
        host.traffic.datagrams_received += 1;
        host.traffic.bytes_received += bytes.len() as u64;
        let outgoing = host.process.on_datagram(now, from, bytes);
        self.send(at, outgoing);
        self.arm(at);
    }

    fn on_timeout(&mut self, at: SocketAddr) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&at) else { return };
        if host.process.next_timeout().is_some_and(|due| due <= now) {
            let outgoing = host.process.on_timer(now);
            self.send(at, outgoing);
        }
        self.arm(at);
    }

    /// Has a process woken when it wants to be. One that is due at once is woken a microsecond later, so that one which
    /// is always due can't stop the time.
    fn arm(&mut self, at: SocketAddr) {
        let Some(host) = self.hosts.get_mut(&at) else { return };
        let Some(due) = host.process.next_timeout() else {
            host.wake = None;
            return;
        };
        let due = due.max(self.now + Duration(1_000));
        if host.wake.is_none_or(|wake| due < wake || wake <= self.now) {
            host.wake = Some(due);
            let incarnation = host.incarnation;
            self.queue_at(due, Happening::Wake { at, incarnation });
        }
    }

    fn queue_at(&mut self, at: Timestamp, happening: Happening) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, happening)));
    }

    fn send(&mut self, from: SocketAddr, outgoing: Outgoing) {
        for (to, bytes) in outgoing {
            if let Some(host) = self.hosts.get_mut(&from) {
                host.traffic.datagrams_sent += 1;
                host.traffic.bytes_sent += bytes.len() as u64;
            }
            let link = (self.links)(from, to).unwrap_or(self.default_link);
            if link.cut || self.draw(link.loss) {
                continue;
            }
            let copies = 1 + usize::from(self.draw(link.duplicate));
            for _ in 0..copies {
                let bytes = self.maybe_corrupt(&bytes, link.corrupt);
                let delay = link.delay.0 + self.rng.random_range(0..=link.jitter.0);
                self.queue_at(self.now + Duration(delay), Happening::Deliver { to, from, bytes });
            }
        }
    }

    fn draw(&mut self, part: f64) -> bool {
        part > 0.0 && self.rng.random_bool(part.min(1.0))
    }

    fn maybe_corrupt(&mut self, bytes: &[u8], part: f64) -> Vec<u8> {
        let mut bytes = bytes.to_vec();
        if !bytes.is_empty() && self.draw(part) {
            let at = self.rng.random_range(0..bytes.len());
            bytes[at] ^= 1 << self.rng.random_range(0..8u32);
        }
        bytes
    }
}
