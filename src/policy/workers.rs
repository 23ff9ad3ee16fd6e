//! The listed workers and what is known of each.

use super::concurrency_limit::ConcurrencyLimit;
use super::instance::InstanceState;
use super::latency::Slowness;
use super::readiness::Readiness;
use super::rendezvous::Rendezvous;
use super::token_bucket::TokenBucket;
use super::worker_health::WorkerHealth;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Bounds of a listed weight that is used as a size.
const MIN_SIZE: f64 = 0.01;
const MAX_SIZE: f64 = 100.0;

/// One listed worker process.
pub struct Worker {
    /// Its entry in the list.
    pub member: Member,
    /// When this process was listed; requests sent before went to its predecessor.
    pub listed_at: Timestamp,
    /// The functions that it is known to hold, or was asked to load.
    pub instances: BTreeMap<FunctionId, InstanceState>,
    /// Our requests in flight there.
    pub in_flight: u32,
    /// Whether it answers, and whether it is ejected.
    pub health: WorkerHealth,
    /// Whether it is known to take work.
    pub readiness: Readiness,
    /// Its latency relative to the class means.
    pub slowness: Slowness,
    /// Limit on our requests in flight there.
    pub limit: ConcurrencyLimit,
    /// Budget of what it may be sent while it is warming up.
    pub slow_start: TokenBucket,
}

impl Worker {
    /// Creates the state of a new process, which holds no instances.
    pub fn new(member: Member, now: Timestamp, slow_start: TokenBucket) -> Worker {
        Worker {
            member,
            listed_at: now,
            instances: BTreeMap::new(),
            in_flight: 0,
            health: WorkerHealth::new(now),
            readiness: Readiness::default(),
            slowness: Slowness::new(),
            limit: ConcurrencyLimit::new(),
            slow_start,
        }
    }

    /// Records that the worker cannot be reached: no instances are expected there.
    pub fn mark_lost(&mut self, now: Timestamp) {
        self.health.mark_unreachable(now);
        self.instances.values_mut().for_each(InstanceState::mark_cold);
    }

    /// Drops the entry of a function of which nothing is known here any more.
    pub fn forget_blank_instance(&mut self, function: FunctionId) {
        if self.instances.get(&function).is_some_and(InstanceState::is_blank) {
            self.instances.remove(&function);
        }
    }

    /// Number of loads under way that are not renewals.
    pub fn pending_loads(&self, now: Timestamp) -> usize {
        self.instances.values().filter(|instance| instance.is_loading(now)).count()
    }

    /// Returns until when an instance of a function is kept warm; a time in the past if none is known.
    pub fn warm_until(&self, function: FunctionId) -> Timestamp {
        self.instances.get(&function).map_or(Timestamp(0), |instance| instance.warm_until)
    }
}

/// All listed workers, and their rendezvous order for each function.
#[derive(Default)]
pub struct Workers {
    by_id: BTreeMap<WorkerId, Worker>,
    rendezvous: Rendezvous,
}

impl Workers {
    /// Returns a listed worker.
    pub fn get(&self, id: WorkerId) -> Option<&Worker> {
        self.by_id.get(&id)
    }

    /// Returns a listed worker for modification.
    pub fn get_mut(&mut self, id: WorkerId) -> Option<&mut Worker> {
        self.by_id.get_mut(&id)
    }

    /// Iterates over the workers by id.
    pub fn iter(&self) -> std::collections::btree_map::Iter<'_, WorkerId, Worker> {
        self.by_id.iter()
    }

    /// Iterates over the workers by id, for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&WorkerId, &mut Worker)> {
        self.by_id.iter_mut()
    }

    /// Their ids, in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = WorkerId> {
        self.by_id.keys().copied()
    }

    /// Number of listed workers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Their rendezvous order for each function.
    pub fn rendezvous(&self) -> &Rendezvous {
        &self.rendezvous
    }

    /// Removes all workers that are not in `listed`.
    pub fn retain(&mut self, listed: &BTreeSet<WorkerId>) {
        self.by_id.retain(|id, _| listed.contains(id));
        self.rendezvous.retain(|id| listed.contains(id));
    }

    /// Removes a worker from the list.
    pub fn remove(&mut self, id: WorkerId) {
        self.by_id.remove(&id);
        self.rendezvous.remove(id);
    }

    /// Sets a worker's size in the rendezvous order from its entry in the list.
    pub fn set_size(&mut self, member: &Member, weights_are_sizes: bool) {
        self.rendezvous.set(member.worker, size(member, weights_are_sizes));
    }

    /// Sets the sizes of all workers in the rendezvous order.
    pub fn set_sizes(&mut self, weights_are_sizes: bool) {
        for (id, worker) in &self.by_id {
            self.rendezvous.set(*id, size(&worker.member, weights_are_sizes));
        }
    }

    /// Applies a new entry of a process that is already listed. Returns false if another process is listed,
    /// or none.
    pub fn update(&mut self, member: Member) -> bool {
        let known = self.by_id.get_mut(&member.worker);
        let Some(worker) = known.filter(|worker| worker.member.started == member.started) else {
            return false;
        };
        worker.member = member;
        worker.readiness.mark_listed();
        true
    }

    /// Lists a new process.
    pub fn insert(&mut self, worker: Worker) {
        self.by_id.insert(worker.member.worker, worker);
    }

    /// Returns what is known of a function at a worker.
    pub fn instance(&self, function: FunctionId, worker: WorkerId) -> Option<&InstanceState> {
        self.get(worker)?.instances.get(&function)
    }

    /// Returns whether a warm instance is expected at a worker.
    pub fn is_warm(&self, function: FunctionId, worker: WorkerId, now: Timestamp) -> bool {
        self.instance(function, worker).is_some_and(|instance| instance.is_warm(now))
    }

    /// Returns whether a worker recently answered that it has no instance.
    pub fn missed_recently(&self, function: FunctionId, worker: WorkerId, now: Timestamp) -> bool {
        self.instance(function, worker).is_some_and(|instance| instance.missed_recently(now))
    }

    /// Number of our requests of a function in flight at a worker.
    pub fn concurrency_in_use(&self, function: FunctionId, worker: WorkerId) -> u32 {
        self.instance(function, worker).map_or(0, |instance| instance.in_flight)
    }

    /// Forgets instances that were not in use for a keep-alive.
    pub fn forget_idle_instances(&mut self, now: Timestamp, keep_alive: Duration) {
        for worker in self.by_id.values_mut() {
            worker.instances.retain(|_, instance| instance.is_relevant(now, keep_alive));
        }
    }
}

impl Index<WorkerId> for Workers {
    type Output = Worker;

    /// Returns a worker that is known to be listed; panics if it is not.
    fn index(&self, id: WorkerId) -> &Worker {
        &self.by_id[&id]
    }
}

/// Returns a worker's size in the rendezvous order, relative to the others.
fn size(member: &Member, weights_are_sizes: bool) -> f64 {
    if weights_are_sizes { member.weight.clamp(MIN_SIZE, MAX_SIZE) } else { 1.0 }
}
