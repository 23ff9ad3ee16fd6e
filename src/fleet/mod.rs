//! Processes of one fleet: who holds the tasks that one process at a time does for all.
//!
//! [`Machine`] is what one process knows and does, without sockets or a clock: datagrams and the time go in,
//! datagrams and news come out. `docs/fleet.md` says why it is made so.

pub mod lease;
pub mod message;

use crate::interface::{Shares, Span, Task, Time};
use lease::{Hold, LeaseId, Seat, To};
use message::{Datagram, Odd};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A process of the fleet. One that starts again is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Its number, as its settings tell it.
    pub index: u32,
    /// Drawn at its start.
    pub incarnation: u64,
}

/// What a process is set to.
#[derive(Clone, Debug)]
pub struct Setting {
    /// This process.
    pub process: Process,
    /// Stands for the fleet's name, and for all that its processes must agree on.
    pub fleet: u64,
    /// Where the electors are, by index.
    pub electors: BTreeMap<u32, SocketAddr>,
    /// Terms and majorities.
    pub lease: lease::Setting,
    /// Parts into which each task is cut.
    pub parts: u16,
    /// How far fences may have come, for the case that a majority of the electors has forgotten at once.
    pub guess: u64,
}

/// What happens to a process.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A datagram has come. The time is read after it was.
    Datagram(&'a [u8], SocketAddr),
    /// The time of [`Machine::due`] has come.
    Timer,
    /// It is about to end: what it holds it gives back.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// A task's part is held from now on, under this fence, or no longer.
    Held(Task, u16, Option<Hold>),
    /// A datagram was dropped.
    Dropped(SocketAddr, Odd),
}

/// See the module's page.
#[derive(Clone, Debug)]
pub struct Machine {
    setting: Setting,
    seat: Seat,
    /// What was last said to be held.
    held: BTreeMap<LeaseId, Hold>,
    /// Where processes were last heard from.
    heard: BTreeMap<u32, (Process, SocketAddr)>,
    left: bool,
}

/// Processes whose addresses are remembered.
const HEARD: usize = 4_096;

/// The name of a task's part among leases.
fn lease_of(task: Task, part: u16) -> LeaseId {
    LeaseId(task as u16 * Shares::PARTS + part)
}

impl Machine {
    /// A process that has just started.
    pub fn new(now: Time, setting: Setting) -> Machine {
        let seat = Seat::new(setting.process, now, setting.guess, &setting.lease);
        let mut machine =
            Machine { setting, seat, held: BTreeMap::new(), heard: BTreeMap::new(), left: false };
        machine.rank(now);
        machine
    }

    /// Who would have each part first: the electors in turn.
    fn rank(&mut self, now: Time) {
        let electors: Vec<u32> = self.setting.electors.keys().copied().collect();
        let own = electors.iter().position(|index| *index == self.setting.process.index);
        for task in Task::ALL {
            for part in 0..self.setting.parts {
                let count = electors.len();
                let rank = own.map(|own| ((own + count - usize::from(part) % count) % count) as u32);
                self.seat.want(now, lease_of(task, part), rank, &self.setting.lease);
            }
        }
    }

    /// When [`Event::Timer`] is to be given.
    pub fn due(&self) -> Option<Time> {
        self.seat.due().filter(|_| !self.left)
    }

    /// Takes in what has happened.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Do> {
        let (mut out, mut leases) = (vec![], vec![]);
        match event {
            _ if self.left => return out,
            Event::Datagram(bytes, from) => match message::read(self.setting.fleet, bytes) {
                Ok(datagram) => self.heard(now, datagram, from, &mut leases),
                Err(odd) => out.push(Do::Dropped(from, odd)),
            },
            Event::Timer => {}
            Event::Leave => {
                for lease in self.held.keys().copied().collect::<Vec<_>>() {
                    self.seat.release(now, lease, &self.setting.lease, &mut leases);
                }
                self.left = true;
            }
        }
        if !self.left {
            self.seat.wake(now, &self.setting.lease, &mut leases);
        }
        self.tell(now, &mut out);
        self.send(leases, &mut out);
        out
    }

    fn heard(&mut self, now: Time, datagram: Datagram, from: SocketAddr, out: &mut lease::Out) {
        if datagram.from == self.setting.process {
            return;
        }
        if self.heard.len() < HEARD || self.heard.contains_key(&datagram.from.index) {
            self.heard.insert(datagram.from.index, (datagram.from, from));
        }
        for (lease, message) in datagram.leases {
            let known = usize::from(lease.0) < Task::ALL.len() * usize::from(Shares::PARTS);
            if known {
                self.seat.handle(now, datagram.from, lease, message, &self.setting.lease, out);
            }
        }
    }

    /// Says what has changed of what is held.
    fn tell(&mut self, now: Time, out: &mut Vec<Do>) {
        let held: BTreeMap<LeaseId, Hold> = self.seat.held(now).collect();
        let leases: std::collections::BTreeSet<LeaseId> =
            held.keys().chain(self.held.keys()).copied().collect();
        for lease in leases {
            if held.get(&lease) != self.held.get(&lease) {
                let task = Task::ALL[usize::from(lease.0 / Shares::PARTS)];
                out.push(Do::Held(task, lease.0 % Shares::PARTS, held.get(&lease).copied()));
            }
        }
        self.held = held;
    }

    /// Puts what goes to one process into as few datagrams as it fits.
    fn send(&self, leases: lease::Out, out: &mut Vec<Do>) {
        let mut bundles: BTreeMap<SocketAddr, Vec<(LeaseId, lease::Message)>> = BTreeMap::new();
        for (to, lease, message) in leases {
            let address = match to {
                To::Elector(index) => self.setting.electors.get(&index).copied(),
                To::Process(process) => self
                    .heard
                    .get(&process.index)
                    .filter(|(heard, _)| *heard == process)
                    .map(|(_, address)| *address),
            };
            if let Some(address) = address {
                bundles.entry(address).or_default().push((lease, message));
            }
        }
        for (address, leases) in bundles {
            // A message takes 40 bytes at most.
            for leases in leases.chunks(message::LARGEST / 48) {
                let datagram = Datagram { from: self.setting.process, leases: leases.to_vec() };
                out.push(Do::Send(address, message::write(self.setting.fleet, &datagram)));
            }
        }
    }

    /// The lease of a task's part, while this process holds it.
    pub fn holds(&self, now: Time, task: Task, part: u16) -> Option<Hold> {
        self.seat.holds(now, lease_of(task, part))
    }

    /// Terms and majorities.
    pub fn term(&self) -> Span {
        self.setting.lease.term
    }
}
