//! The daemon as a VRRP router: its advertisements, and whether it accepts new requests on the JSON-RPC front.

use super::Daemon;
use crate::config;
use crate::interface::{Duration, Timestamp};
use crate::net::{MAX_DATAGRAMS_PER_TURN, Reactor};
use crate::vrrp::packet::{Advertisement, MAX_ADVERTISEMENT_BYTES};
use crate::vrrp::{self, Event};
use std::io;
use tracing::{info, warn};

/// The virtual router whose state decides whether this daemon accepts new requests on the JSON-RPC front.
pub(super) struct Router {
    machine: vrrp::Machine,
    setting: config::Vrrp,
    socket: usize,
}

impl Router {
    /// Binds the router's socket.
    pub(super) fn new(setting: &config::Vrrp, reactor: &mut Reactor) -> io::Result<Router> {
        let (socket, own) = reactor.bind_datagram_socket(setting.bind)?;
        let machine = vrrp::Machine::new(vrrp::RouterConfig {
            priority: setting.priority,
            interval: Duration::millis(u64::from(setting.interval_cs) * 10),
            preempt: setting.preempt,
            own_address: own,
        });
        Ok(Router { machine, setting: setting.clone(), socket })
    }

    /// When the virtual router's next timer expires.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        self.machine.next_timeout()
    }

    fn advertisement(&self, priority: u8) -> Vec<u8> {
        let (vrid, interval) = (self.setting.vrid, self.setting.interval_cs);
        Advertisement { vrid, priority, interval, addresses: vec![self.setting.address] }.write()
    }
}

impl Daemon {
    /// Passes an event to the virtual router, sends its advertisement, and applies its state.
    pub(super) fn handle_vrrp(&mut self, event: Event) {
        let Some(router) = &mut self.router else { return };
        let (now, before) = (self.reactor.now(), router.machine.state());
        if let Some(advertise) = router.machine.handle(now, event) {
            let message = router.advertisement(advertise.priority);
            for peer in &router.setting.peers {
                self.reactor.send_datagram(router.socket, &message, *peer);
            }
        }
        let state = router.machine.state();
        self.reactor.active = state == vrrp::State::Active;
        if state != before {
            info!(vrid = router.setting.vrid, ?state, was = ?before, "vrrp");
        }
    }

    /// Receives pending advertisements.
    pub(super) fn receive_vrrp_datagrams(&mut self, socket: usize) {
        let mut bytes = [0; MAX_ADVERTISEMENT_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Some((size, from)) = self.reactor.receive_datagram(socket, &mut bytes) else { return };
            let Some(router) = &self.router else { return };
            let read = if router.setting.peers.contains(&from) {
                Advertisement::read(&bytes[..size])
            } else {
                Err("not from a peer")
            };
            match read {
                Ok(message) if message.vrid == router.setting.vrid => {
                    let (priority, interval) = (message.priority, message.interval_duration());
                    self.handle_vrrp(Event::Advertisement { priority, interval, from });
                }
                Ok(_) => self.core.counters().vrrp_dropped += 1,
                Err(why) => {
                    self.core.counters().vrrp_dropped += 1;
                    if self.core.may_log(self.reactor.now()) {
                        warn!(%from, why, "vrrp dropped");
                    }
                }
            }
        }
        self.reactor.resume_receiving(socket);
    }
}
