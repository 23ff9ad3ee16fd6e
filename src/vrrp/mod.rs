//! VRRP (RFC 9568): which of several daemons takes new requests on the fronts of its host.
//!
//! [`Machine`] is the protocol's state machine without I/O; [`packet`] is version 3's advertisement. The
//! daemon carries advertisements over UDP between peers that the operator names, in place of IP multicast:
//! a datagram from anyone else is dropped, which stands for the protocol's check of the TTL.

pub mod packet;

use crate::interface::{Duration, Timestamp};
use std::net::SocketAddr;

/// States of a virtual router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not started, or shut down.
    Initialize,
    /// Watches the active one.
    Backup,
    /// Takes new requests.
    Active,
}

/// What a virtual router is set to.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// 1 to 254; 255 is the owner of the address, always active while it runs.
    pub priority: u8,
    /// Time between advertisements of this one while it is active.
    pub interval: Duration,
    /// Whether it takes over from an active one of lower priority.
    pub preempt: bool,
    /// Its own address: between equal priorities the higher address wins.
    pub own_address: SocketAddr,
}

/// What happens to the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The daemon serves.
    Startup,
    /// The daemon is about to end.
    Shutdown,
    /// The time of [`Machine::next_timeout`] has come.
    Timer,
    /// A valid advertisement of this virtual router has come.
    Advertisement {
        /// Its sender's priority; 0 says that the sender stops.
        priority: u8,
        /// Its sender's time between advertisements.
        interval: Duration,
        /// Its sender.
        from: SocketAddr,
    },
}

/// An advertisement to send to all peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advertise {
    /// With this priority.
    pub priority: u8,
}

/// The state machine of one virtual router.
#[derive(Clone, Debug)]
pub struct Machine {
    config: RouterConfig,
    state: State,
    /// Adver_Timer while active, Active_Down_Timer while in backup.
    timer: Option<Timestamp>,
    /// Active_Adver_Interval: as the active one tells it.
    active_interval: Duration,
}

impl Machine {
    /// A machine in Initialize.
    pub fn new(config: RouterConfig) -> Machine {
        let active_interval = config.interval;
        Machine { config, state: State::Initialize, timer: None, active_interval }
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// When [`Event::Timer`] is to be given.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timer
    }

    /// Skew_Time: the higher the priority, the sooner a backup steps in.
    fn skew(&self) -> Duration {
        Duration((256 - u64::from(self.config.priority)) * self.active_interval.0 / 256)
    }

    /// Active_Down_Interval: three advertisements missed, and the skew.
    fn active_down(&self) -> Duration {
        Duration(3 * self.active_interval.0 + self.skew().0)
    }

    /// Takes in what has happened; says whether an advertisement is to be sent.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Option<Advertise> {
        match (self.state, event) {
            (State::Initialize, Event::Startup) => match self.config.priority {
                255 => self.rise(now),
                _ => {
                    self.active_interval = self.config.interval;
                    self.watch(now)
                }
            },
            (State::Initialize, _) => None,
            (State::Backup, Event::Shutdown) => self.stop(),
            (State::Active, Event::Shutdown) => {
                self.stop();
                Some(Advertise { priority: 0 })
            }
            (State::Backup, Event::Timer) if self.timer.is_some_and(|at| at <= now) => self.rise(now),
            (State::Active, Event::Timer) if self.timer.is_some_and(|at| at <= now) => self.advertise(now),
            (_, Event::Timer | Event::Startup) => None,
            // The owner of the address heeds nobody.
            (_, Event::Advertisement { .. }) if self.config.priority == 255 => None,
            (State::Backup, Event::Advertisement { priority: 0, .. }) => {
                self.timer = Some(now + self.skew());
                None
            }
            (State::Backup, Event::Advertisement { priority, interval, .. }) => {
                if self.config.preempt && priority < self.config.priority {
                    return None;
                }
                self.active_interval = interval;
                self.watch(now)
            }
            (State::Active, Event::Advertisement { priority: 0, .. }) => self.advertise(now),
            (State::Active, Event::Advertisement { priority, interval, from }) => {
                if (priority, from) > (self.config.priority, self.config.own_address) {
                    self.active_interval = interval;
                    return self.watch(now);
                }
                // Tells the other one at once that this one is active.
                self.advertise(now)
            }
        }
    }

    fn rise(&mut self, now: Timestamp) -> Option<Advertise> {
        self.state = State::Active;
        self.advertise(now)
    }

    fn advertise(&mut self, now: Timestamp) -> Option<Advertise> {
        self.timer = Some(now + self.config.interval);
        Some(Advertise { priority: self.config.priority })
    }

    fn watch(&mut self, now: Timestamp) -> Option<Advertise> {
        self.state = State::Backup;
        self.timer = Some(now + self.active_down());
        None
    }

    fn stop(&mut self) -> Option<Advertise> {
        (self.state, self.timer) = (State::Initialize, None);
        None
    }
}

#[cfg(test)]
mod tests;
