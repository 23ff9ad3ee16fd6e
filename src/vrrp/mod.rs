//! VRRP (RFC 9568): decides which of several daemons accepts new requests on the JSON-RPC front.
//!
//! [`Machine`] is the protocol's state machine without I/O; [`packet`] is the advertisement of version 3. Instead of
//! IP multicast, the daemon sends advertisements over UDP to peers that the operator configures. A datagram from any
//! other sender is dropped, which replaces the protocol's check of the TTL.

pub mod packet;

use crate::interface::{Duration, Timestamp};
use std::net::SocketAddr;

/// States of a virtual router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not started, or shut down.
    Initialize,
    /// Monitors the active router.
    Backup,
    /// Accepts new requests.
    Active,
}

/// The configuration of a virtual router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// 1 to 254, or 255 for the owner of the address, which is always active while it runs.
    pub priority: u8,
    /// Time between advertisements while this router is active.
    pub interval: Duration,
    /// Whether this router takes over from an active one of lower priority.
    pub preempt: bool,
    /// This router's own address: between equal priorities the higher address wins.
    pub own_address: SocketAddr,
}

/// An event that the state machine handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The daemon has begun to serve.
    Startup,
    /// The daemon is about to exit.
    Shutdown,
    /// The timer of [`Machine::next_timeout`] has expired.
    Timer,
    /// A valid advertisement of this virtual router was received.
    Advertisement {
        /// The sender's priority; 0 means that the sender stops.
        priority: u8,
        /// The sender's time between advertisements.
        interval: Duration,
        /// The sender's address.
        from: SocketAddr,
    },
}

/// An advertisement to send to all peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advertise {
    /// The priority in the advertisement.
    pub priority: u8,
}

/// The state machine of one virtual router.
#[derive(Clone, Debug)]
pub struct Machine {
    config: RouterConfig,
    state: State,
    /// Adver_Timer while active, Active_Down_Timer while in backup.
    timer: Option<Timestamp>,
    /// Active_Adver_Interval: the interval in the advertisements of the active router.
    active_interval: Duration,
}

impl Machine {
    /// Creates a machine in the state Initialize.
    pub fn new(config: RouterConfig) -> Machine {
        let active_interval = config.interval;
        Machine { config, state: State::Initialize, timer: None, active_interval }
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// When [`Event::Timer`] has to be passed to [`Machine::handle`].
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timer
    }

    /// Skew_Time: the higher the priority, the sooner a backup becomes active.
    fn skew(&self) -> Duration {
        Duration((256 - u64::from(self.config.priority)) * self.active_interval.0 / 256)
    }

    /// Active_Down_Interval: the time of three missed advertisements plus the skew time.
    fn active_down(&self) -> Duration {
        Duration(3 * self.active_interval.0 + self.skew().0)
    }

    /// Handles an event, and returns the advertisement to send, if any.
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
            // The owner of the address ignores all advertisements.
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
                // Notifies the other router immediately that this one is active.
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
