//! The scheduler round the policy, without sockets or a clock of its own.
//!
//! Listeners submit requests, connections to workers report how attempts and load requests end, and the adapter round it
//! carries out the [`Command`]s. Every method takes `now`. The core alone sees to it that each accepted request has exactly
//! one final answer, whatever the listener or the worker does. Each part of its state has an object in a file of its own.

mod accepted_requests;
mod actions;
mod admission;
mod chain_steps;
mod command;
pub mod cordons;
mod counters;
pub mod figures;
mod fleet_leases;
mod invariants;
mod list_watch;
mod load_requests;
mod log_limiter;
mod outcomes;
mod overload;
mod state_transfer;
mod timers;
pub mod transferred_state;
mod worker_list;
mod worker_updates;
mod write_checks;

pub use crate::request::*;
pub use command::Command;
pub use counters::Counters;
pub use invariants::{Violation, Violations};

use crate::chain::Classes;
use crate::interface::*;
use crate::policy::Policy;
use crate::settings::Site;
use accepted_requests::AcceptedRequests;
use chain_steps::ChainSteps;
use command::{Attempt, Probe};
use figures::Figures;
use fleet_leases::FleetLeases;
use invariants::InvariantChecks;
use list_watch::ListWatch;
use load_requests::LoadRequests;
use log_limiter::LogLimiter;
use overload::Overload;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use timers::{Timer, Timers};
use worker_list::WorkerList;

/// So long after its deadline a request that the policy has not ended is failed by the core: it has one final answer
/// whatever the policy does, and clients allow 50 ms more than their deadline.
const DEADLINE_GUARD: Duration = Duration::millis(20);

/// The scheduler: it owns the policy and all state of what is under way, and turns events into commands.
///
/// ```
/// use mintgate::core::{Command, Core, IncomingRequest, Owner, Reply, Verdict};
/// use mintgate::{FunctionId, ListKind, Member, Timestamp, WorkerId};
///
/// let site = mintgate::settings::read_site(br#"{"fleetSize": 1, "index": 0,
///   "classes": [{"name": "check", "deadlineNs": 3000000000, "effect": "retryable",
///                "objectiveNs": 1000000000}],
///   "bounds": {"mostTries": 3},
///   "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
///   "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "loadSpanNs": 0}}"#).unwrap();
/// let mut core = Core::new(site, 7);
/// core.members(Timestamp(0), ListKind::Full, vec![Member { worker: WorkerId(1), ..Member::default() }]);
/// let owner = Owner { connection: 1, stream: 1 };
/// core.submit(Timestamp(0), IncomingRequest {
///     owner, reference: "9b1f03aa5c7e2d41".into(), class: "check".into(), function: FunctionId(9), key: None,
///     memory_mb: 400.0, concurrency: 2.0, load_time: None, deadline: Timestamp(3_000_000_000), body: vec![],
/// });
/// let Some(Command::Send { attempt, .. }) = core.next_command() else { panic!("it is sent") };
/// core.written(Timestamp(1), attempt);
/// core.attempt_ended(Timestamp(2), attempt, Ok(Reply::Ok(b"4 of 5".to_vec())));
/// let Some(Command::Answer { answer, .. }) = core.next_command() else { panic!("it is answered") };
/// assert_eq!(answer.verdict, Verdict::Served(b"4 of 5".to_vec()));
/// ```
pub struct Core {
    site: Site,
    policy: Policy,
    /// Events that the policy has not seen yet.
    backlog: VecDeque<Event>,
    /// What the adapter is to do, and has not fetched yet.
    commands: VecDeque<Command>,
    timers: Timers,
    requests: AcceptedRequests,
    attempts: BTreeMap<AttemptId, Attempt>,
    loads: LoadRequests,
    probes: BTreeMap<ProbeId, Probe>,
    /// The number of the next load request or probe.
    next_load_or_probe: u64,
    chain_steps: ChainSteps,
    workers: WorkerList,
    leases: FleetLeases,
    /// Whether the source of the list is in reach.
    list_watch: ListWatch,
    /// Arrivals and what is shed, where the fleet agrees on that.
    overload: Option<Overload>,
    /// Whether new requests are rejected at once, for this process ends soon. A chain's next steps are not new.
    pub rejecting_new: bool,
    log_limiter: LogLimiter,
    counters: Counters,
    invariants: InvariantChecks,
}

impl Core {
    /// A scheduler that knows nothing but its settings. The seed decides all ties.
    pub fn new(site: Site, seed: u64) -> Core {
        Core {
            policy: Policy::new(site.settings.clone(), seed),
            site,
            backlog: VecDeque::new(),
            commands: VecDeque::new(),
            timers: Timers::default(),
            requests: AcceptedRequests::default(),
            attempts: BTreeMap::new(),
            loads: LoadRequests::default(),
            probes: BTreeMap::new(),
            next_load_or_probe: 0,
            chain_steps: ChainSteps::new(seed),
            workers: WorkerList::default(),
            leases: FleetLeases::default(),
            list_watch: ListWatch::default(),
            overload: None,
            rejecting_new: false,
            log_limiter: LogLimiter::default(),
            counters: Counters::default(),
            invariants: InvariantChecks::default(),
        }
    }

    /// The site's settings.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Memory that the scheduler may take, in bytes.
    pub fn limit_memory(&mut self, bytes: usize) {
        self.requests.limit_memory(bytes);
    }

    /// Whether a line that a client has caused is to be logged; one that is not is counted.
    pub fn may_log(&mut self, now: Timestamp) -> bool {
        let admitted = self.log_limiter.admits(now);
        self.counters.unlogged += u64::from(!admitted);
        admitted
    }

    /// A new configuration: requests under way go on in the class in which they were accepted.
    pub fn replace_site(&mut self, now: Timestamp, site: Site) {
        for name in self.site.classes.iter().flatten() {
            self.counters.classes.entry(name.clone()).or_default();
        }
        let open: BTreeSet<usize> =
            self.requests.classes().chain(self.attempts.values().map(|attempt| attempt.class)).collect();
        self.site = self.site.replaced_by(site, |place| open.contains(&place));
        self.policy.configure(self.site.settings.clone());
        self.rank_classes();
        self.process_backlog(now);
    }

    /// What has been counted so far.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Requests that have no final answer yet.
    pub fn outstanding(&self) -> usize {
        self.requests.len()
    }

    /// The next thing to do.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Core::on_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// The figures as they stand now.
    pub fn figures(&self) -> Figures {
        let mut classes = self.counters.classes.clone();
        for name in self.site.classes.iter().flatten() {
            classes.entry(name.clone()).or_default();
        }
        Figures {
            classes,
            sends: self.counters.sent,
            current: self.outstanding(),
            cluster_size: self.workers.len(),
            cluster_unhealthy: self.workers.cordoned_count() + self.policy.avoided(),
            violations: self.violations().total(),
            conf_loaded: self.counters.conf_loaded,
            conf_invalid: self.counters.conf_invalid,
        }
    }

    /// Nobody waits for this request any more.
    pub fn withdraw(&mut self, now: Timestamp, owner: Owner) {
        let Some(id) = self.requests.id_of(owner) else {
            let all = self.chain_steps.machine.withdraw(owner);
            return self.run_chains(now, all);
        };
        self.counters.withdrawn += 1;
        let accepted = self.remove_request(id);
        if let Some(accepted) = &accepted {
            tracing::debug!(reference = %accepted.work.reference, "withdrawn");
        }
        self.record_unserved_step(now, accepted.as_ref());
        self.process_event(now, Event::ClientGone(id));
    }

    /// The time given by [`Core::next_timeout`] has come.
    pub fn on_timeout(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Policy => self.backlog.push_back(Event::Timeout),
                Timer::Request(id) => self.fail_overdue(now, id),
                Timer::Attempt(id) => self.time_out_attempt(now, id),
                Timer::Probe(id) => self.end_probe(id, Status::Timeout, vec![]),
                Timer::Load(id) => {
                    self.end_load(now, id, LoadResult { status: Status::Timeout, instances: 0 });
                }
            }
        }
        self.process_backlog(now);
    }

    /// Fails a request that the policy has not ended in time.
    fn fail_overdue(&mut self, now: Timestamp, id: RequestId) {
        self.process_backlog(now);
        if self.requests.contains(id) {
            self.counters.overdue += 1;
            self.finish_request(now, id, Verdict::Failed);
            self.backlog.push_back(Event::ClientGone(id));
        }
    }

    fn time_out_attempt(&mut self, now: Timestamp, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        self.commands.push_back(Command::Cancel { attempt: id, worker: attempt.worker });
        self.counters.end(Status::Timeout);
        self.trace_end(id, Status::Timeout, "deadline");
        self.end_attempt(now, id, Status::Timeout);
    }

    /// The cooldown that a client gets where the policy gives none.
    pub fn default_cooldown(&self) -> Duration {
        self.site.cooldown()
    }
}

#[cfg(test)]
mod stored_forms;
#[cfg(test)]
mod tests;
