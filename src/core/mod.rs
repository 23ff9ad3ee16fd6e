//! The scheduler around the policy, without sockets or a clock of its own.
//!
//! Listeners submit requests, connections to workers report how attempts and load requests end, and the surrounding
//! adapter executes the [`Command`]s. Every method takes `now`. The core alone ensures that each accepted request has
//! exactly one final answer, whatever the listener or the worker does. Each part of its state is a type in a file of
//! its own.

mod accepted_requests;
mod actions;
mod admission;
mod chain_steps;
mod command;
pub mod cordons;
mod counters;
mod enqueued;
pub mod figures;
mod fleet_leases;
mod invariants;
mod list_watch;
mod load_requests;
mod log_limiter;
mod outcomes;
mod overload;
mod state_transfer;
mod table_sizes;
mod timers;
pub mod transferred_state;
mod used_references;
mod worker_list;
mod worker_updates;
mod write_checks;

pub use crate::request::*;
pub use command::Command;
pub use counters::Counters;
pub use invariants::{Violation, Violations};
pub use table_sizes::TableSizes;

use crate::chain::Classes;
use crate::interface::*;
use crate::policy::Policy;
use crate::settings::Site;
use accepted_requests::AcceptedRequests;
use chain_steps::ChainSteps;
use command::{Attempt, Probe};
use enqueued::EnqueuedWork;
use figures::Figures;
use fleet_leases::FleetLeases;
use invariants::InvariantChecks;
use list_watch::ListWatch;
use load_requests::LoadRequests;
use log_limiter::LogLimiter;
use overload::Overload;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use timers::{Timer, Timers};
use used_references::UsedReferences;
use worker_list::WorkerList;

/// The core fails a request that the policy has not ended this long after its deadline, so that it has one final answer
/// whatever the policy does. Clients allow 50 ms more than their deadline.
const DEADLINE_GUARD: Duration = Duration::millis(20);

/// Open chains may take the memory limit divided by this.
const CHAIN_MEMORY_DIVISOR: usize = 6;

/// The scheduler: it owns the policy and the state of all requests, attempts, load requests and probes under way, and
/// turns events into commands.
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
/// let Some(Command::Send { attempt, .. }) = core.next_command() else { panic!("no attempt was sent") };
/// core.written(Timestamp(1), attempt);
/// core.attempt_ended(Timestamp(2), attempt, Ok(Reply::Ok(b"4 of 5".to_vec())));
/// let Some(Command::Answer { answer, .. }) = core.next_command() else { panic!("no answer was sent") };
/// assert_eq!(answer.verdict, Verdict::Served(b"4 of 5".to_vec()));
/// ```
pub struct Core {
    site: Site,
    policy: Policy,
    /// Events that the policy has not handled yet.
    backlog: VecDeque<Event>,
    /// Commands that the adapter has not fetched yet.
    commands: VecDeque<Command>,
    timers: Timers,
    /// What the current callback of a front has read.
    enqueued: Vec<EnqueuedWork>,
    requests: AcceptedRequests,
    /// References of ended requests that must not run again.
    used_references: UsedReferences,
    attempts: BTreeMap<AttemptId, Attempt>,
    loads: LoadRequests,
    probes: BTreeMap<ProbeId, Probe>,
    /// The number of the next load request or probe.
    next_load_or_probe: u64,
    chain_steps: ChainSteps,
    workers: WorkerList,
    leases: FleetLeases,
    /// Whether the source of the list is reachable.
    list_watch: ListWatch,
    /// Demand and load shedding, if the fleet sheds load.
    overload: Option<Overload>,
    /// Whether new requests are rejected at once because this process is about to end. The next steps of a chain under
    /// way do not count as new.
    pub rejecting_new: bool,
    log_limiter: LogLimiter,
    counters: Counters,
    invariants: InvariantChecks,
}

impl Core {
    /// Creates a scheduler without workers. The seed decides all ties.
    pub fn new(site: Site, seed: u64) -> Core {
        Core {
            policy: Policy::new(site.settings.clone(), seed),
            site,
            backlog: VecDeque::new(),
            commands: VecDeque::new(),
            timers: Timers::default(),
            enqueued: Vec::new(),
            requests: AcceptedRequests::default(),
            used_references: UsedReferences::default(),
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

    /// Sets the memory that the scheduler may use, in bytes.
    pub fn limit_memory(&mut self, bytes: usize) {
        self.requests.limit_memory(bytes);
        self.chain_steps.machine.limit_memory(bytes / CHAIN_MEMORY_DIVISOR);
    }

    /// Whether a log line caused by a client may be written; counts those that may not.
    pub fn may_log(&mut self, now: Timestamp) -> bool {
        let admitted = self.log_limiter.admits(now);
        self.counters.unlogged += u64::from(!admitted);
        admitted
    }

    /// Applies a new configuration. Requests under way stay in the class under which they were accepted.
    pub fn replace_site(&mut self, now: Timestamp, site: Site) {
        for name in self.site.classes.iter().flatten() {
            self.counters.classes.entry(name.clone()).or_default();
        }
        let open: BTreeSet<usize> =
            self.requests.classes().chain(self.attempts.values().map(|attempt| attempt.class)).collect();
        self.site = self.site.replaced_by(site, |index| open.contains(&index));
        self.policy.configure(self.site.settings.clone());
        self.rank_classes();
        self.process_backlog(now);
    }

    /// The counters.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Requests that have no final answer yet.
    pub fn outstanding(&self) -> usize {
        self.requests.len() + self.chain_steps.machine.waiting_for_retry()
    }

    /// Removes and returns the next command.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Core::on_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// The current figures.
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

    /// The client of this request or chain has withdrawn it or disconnected.
    pub fn withdraw(&mut self, now: Timestamp, owner: Owner) {
        if self.withdraw_enqueued(owner) {
            return;
        }
        let Some(id) = self.requests.id_of(owner) else {
            let actions = self.chain_steps.machine.withdraw(owner);
            return self.run_chains(now, actions);
        };
        self.counters.withdrawn += 1;
        let accepted = self.remove_request(id);
        if let Some(accepted) = &accepted {
            self.used_references.record_end(now, accepted);
            tracing::debug!(reference = %accepted.work.reference, "withdrawn");
        }
        self.record_unserved_step(now, accepted.as_ref());
        self.process_event(now, Event::ClientGone(id));
    }

    /// Handles the timers that have expired; called at the time given by [`Core::next_timeout`].
    pub fn on_timeout(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Policy => self.backlog.push_back(Event::Timeout),
                Timer::Request(id) => self.fail_overdue(now, id),
                Timer::Attempt(id) => self.time_out_attempt(now, id),
                Timer::Probe(id) => self.end_probe(id, Status::Timeout, vec![]),
                Timer::ChainStep(id) => self.retry_chain_step(now, id),
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

    /// Cancels an attempt whose deadline has passed.
    fn time_out_attempt(&mut self, now: Timestamp, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        self.commands.push_back(Command::Cancel { attempt: id, worker: attempt.worker });
        self.counters.end(Status::Timeout);
        self.trace_end(id, Status::Timeout, "deadline");
        self.end_attempt(now, id, Status::Timeout);
    }

    /// The cooldown that a rejected client gets unless the policy sets another.
    pub fn default_cooldown(&self) -> Duration {
        self.site.cooldown()
    }
}

#[cfg(test)]
mod stored_forms;
#[cfg(test)]
mod tests;
