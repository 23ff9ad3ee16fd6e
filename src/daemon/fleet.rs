//! The daemon as a process of a fleet: sends and receives the datagrams of its [`FleetNode`], and applies its outputs.

use super::Daemon;
use crate::config::{self, Config};
use crate::fleet::gossip::{GossipTopic, GossipUpdate};
use crate::fleet::lease::{LeaseConfig, LeaseGrant};
use crate::fleet::message::{self, LARGEST};
use crate::fleet::overload;
use crate::fleet::{FleetConfig, FleetInput, FleetNode, FleetOutput, Process};
use crate::interface::{Duration, Task, Timestamp, WorkerId};
use crate::net::{MAX_DATAGRAMS_PER_TURN, Reactor, is_transient};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tracing::{error, info, warn};

/// Interval between attempts to bind the fleet's address while the old process has it.
const BIND_RETRY_INTERVAL: Duration = Duration::millis(50);

/// This daemon's membership of its fleet.
pub(super) struct Member {
    node: Rc<RefCell<FleetNode>>,
    socket: usize,
    parts: u16,
    /// When the demand is to be published next, if the fleet sheds load together.
    demand_at: Option<Timestamp>,
    /// Whether any load was shed when the admission level was last logged.
    sheds: bool,
    /// Fences of the leases held, as last logged.
    held: BTreeMap<(Task, u16), u64>,
}

impl Member {
    /// Binds the fleet's address for a process that has just started; `publishes` says whether it may publish for its
    /// domain.
    pub(super) fn new(
        setting: &config::Fleet,
        publishes: bool,
        config: &Config,
        reactor: &mut Reactor,
    ) -> io::Result<Member> {
        let (socket, at) = reactor.bind_datagram_socket(setting.bind)?;
        let now = reactor.now();
        let process =
            Process { index: config.site.settings.index, incarnation: random_u64(config.seed, now.0) };
        let mut electors: Vec<u32> = setting.electors.iter().map(|elector| elector.index).collect();
        electors.sort_unstable();
        let term = Duration::millis(setting.term_ms);
        let longest = Duration::millis(setting.longest_ms.unwrap_or(setting.term_ms));
        let elector_indices = electors.iter().map(|index| u64::from(*index));
        let agreed_settings: Vec<u64> =
            elector_indices.chain([setting.term_ms, setting.drift_ppm, u64::from(setting.parts)]).collect();
        let addresses =
            |list: &[config::Elector]| list.iter().map(|elector| (elector.index, elector.at)).collect();
        let setting = FleetConfig {
            process,
            generation: now.0,
            address: at,
            fleet_hash: message::fleet(&setting.name, &agreed_settings),
            acceptors: addresses(&setting.electors),
            address_overrides: addresses(&setting.via),
            delay: Duration::millis(setting.delay_ms),
            size: config.site.settings.fleet_size,
            seed: process.incarnation,
            lease: LeaseConfig::new(electors, term, longest, setting.drift_ppm),
            parts: setting.parts,
            shed_latency_objective: setting.shed.then(|| config.site.shortest_latency_objective()),
            publishes,
            // Fences grow by far less than one per millisecond. Nothing else here depends on the time of day.
            fence_floor: now.0 / 1_000_000,
        };
        let parts = setting.parts;
        let demand_at = setting.shed_latency_objective.map(|_| now);
        Ok(Member {
            demand_at,
            sheds: false,
            node: Rc::new(RefCell::new(FleetNode::new(now, setting))),
            socket,
            parts,
            held: BTreeMap::new(),
        })
    }
}

/// A random number that differs for each start of the process.
pub(super) fn random_u64(seed: u64, now: u64) -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one((seed, now, std::process::id()))
}

impl Daemon {
    /// Starts to take part in the fleet's tasks.
    pub(super) fn join_fleet(&mut self) {
        let Some(member) = &self.fleet else { return };
        self.reactor.fleet = Some(member.node.clone());
        self.core.join_fleet(self.reactor.now(), member.parts, member.demand_at.is_some());
        self.handle_fleet(FleetInput::Timer);
    }

    /// Leaves or rejoins the fleet at an upgrade: the member is the process that accepts clients. An old process leaves
    /// when it closes its listener, and rejoins if the new process exits first.
    pub(super) fn join_or_leave_fleet(&mut self, open: bool) {
        if self.operator.fleet.is_none() {
            return;
        }
        if !open && let Some(member) = &self.fleet {
            let socket = member.socket;
            self.handle_fleet(FleetInput::HandOver);
            self.reactor.close_datagram_socket(socket);
            self.fleet = None;
            self.reactor.fleet = None;
            self.fleet_retry_at = None;
        }
        if open {
            self.fleet_retry_at = Some(self.reactor.now());
        }
    }

    /// Binds the fleet's address and joins, or schedules a retry while another process has the address.
    pub(super) fn retry_join_fleet(&mut self) {
        let now = self.reactor.now();
        let Some(setting) = self.operator.fleet.clone().filter(|_| self.fleet.is_none()) else { return };
        if self.fleet_retry_at.is_none_or(|at| at > now) || self.shutdown.is_some() {
            return;
        }
        self.fleet_retry_at = None;
        let publishes = self.operator.publishes();
        match Member::new(&setting, publishes, &self.config, &mut self.reactor) {
            Ok(member) => {
                self.fleet = Some(member);
                self.join_fleet();
            }
            Err(e) if e.kind() == io::ErrorKind::AddrInUse || is_transient(&e) => {
                self.fleet_retry_at = Some(now + BIND_RETRY_INTERVAL);
            }
            Err(why) => warn!(%why, "upgrade no fleet"),
        }
    }

    /// When the fleet's next timer expires.
    pub(super) fn fleet_timeout(&self) -> Option<Timestamp> {
        let due = self.fleet.as_ref().and_then(|member| member.node.borrow().next_timeout());
        let demand = self.fleet.as_ref().and_then(|member| member.demand_at);
        due.into_iter().chain(demand).chain(self.fleet_retry_at).min()
    }

    /// Publishes the recent demand at this process when it is due.
    pub(super) fn publish_demand(&mut self) {
        let now = self.reactor.now();
        let Some(demand_at) = self.fleet.as_mut().and_then(|member| member.demand_at.as_mut()) else {
            return;
        };
        if *demand_at > now {
            return;
        }
        *demand_at = now + overload::TICK_INTERVAL;
        let demand = self.core.demand(now);
        self.handle_fleet(FleetInput::Demand(demand));
    }

    /// Whether this is the fleet's socket.
    pub(super) fn is_fleet_socket(&self, socket: usize) -> bool {
        self.fleet.as_ref().is_some_and(|member| member.socket == socket)
    }

    /// Receives pending datagrams. The time is read after each one was received: a grant that it contains counts from a
    /// time no earlier than it was sent, however long this process was suspended in between.
    pub(super) fn receive_fleet_datagrams(&mut self) {
        let mut bytes = [0; LARGEST + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Some(member) = &self.fleet else { return };
            let Some((size, from)) = self.reactor.receive_datagram(member.socket, &mut bytes) else { return };
            self.handle_fleet(FleetInput::Datagram(&bytes[..size], from));
        }
        if let Some(member) = &self.fleet {
            self.reactor.resume_receiving(member.socket);
        }
    }

    /// Passes an input to the node and executes its outputs.
    pub(super) fn handle_fleet(&mut self, input: FleetInput) {
        let now = self.reactor.now();
        let Some(member) = &self.fleet else { return };
        if matches!(input, FleetInput::Timer) && member.node.borrow().next_timeout().is_none_or(|at| at > now)
        {
            return;
        }
        let outputs = member.node.borrow_mut().handle(now, input);
        let mut publish_lease = None;
        for output in outputs {
            match output {
                FleetOutput::LeaseChanged(Task::Publish, part, grant) => {
                    self.log_lease(Task::Publish, part, grant);
                    publish_lease = Some(grant);
                }
                FleetOutput::LeaseChanged(task, part, grant) => {
                    self.log_lease(task, part, grant);
                    self.core.set_lease(now, task, part, grant);
                }
                other => self.execute_fleet_output(now, other),
            }
        }
        if let Some(grant) = publish_lease {
            self.set_publish_lease(grant);
        }
    }

    /// Executes an output of the node other than a change of leases.
    fn execute_fleet_output(&mut self, now: Timestamp, output: FleetOutput) {
        let Some(member) = &mut self.fleet else { return };
        match output {
            FleetOutput::Send(to, bytes) => self.reactor.send_datagram(member.socket, &bytes, to),
            FleetOutput::Received(GossipTopic::Worker(worker), GossipUpdate::Answers(answers), at) => {
                self.core.peer_health(now, WorkerId(worker), answers, at);
            }
            FleetOutput::Received(..) | FleetOutput::LeaseChanged(..) => {}
            FleetOutput::AdmissionLevel(level, at) => {
                if self.core.follow(level, at) && member.sheds != (level.shed() > 0) {
                    member.sheds = level.shed() > 0;
                    let admitted = format!("{:?}", level.admit);
                    info!(admitted, fence = level.fence, shedding = member.sheds, "fleet admission");
                }
            }
            FleetOutput::Member(index, up) => {
                info!(index, state = if up { "up" } else { "down" }, "fleet member");
            }
            FleetOutput::Gone(gone) => self.core.gone(now, gone),
            FleetOutput::DuplicateIdentity => {
                error!(why = "another process has this one's index", "fleet left");
            }
            FleetOutput::Dropped(from, error) => {
                self.core.counters().fleet_dropped += 1;
                if self.core.may_log(now) {
                    warn!(%from, why = ?error, "fleet dropped");
                }
            }
        }
    }

    /// Logs a lease that was acquired or lost; renewals under the same fence are not logged.
    fn log_lease(&mut self, task: Task, part: u16, grant: Option<LeaseGrant>) {
        let Some(member) = &mut self.fleet else { return };
        let name = task.name();
        if let Some(grant) = grant {
            let before = member.held.insert((task, part), grant.fence);
            if before != Some(grant.fence) {
                info!(task = name, part, fence = grant.fence, "fleet lease held");
            }
        } else {
            member.held.remove(&(task, part));
            info!(task = name, part, "fleet lease lost");
        }
    }
}
