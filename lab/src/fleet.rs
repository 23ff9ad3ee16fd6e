//! Simulated workers: they keep function instances loaded for a while, load missing ones, and queue calls.

use mintgate::core::AttemptId;
use mintgate::{Duration, FunctionId, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Calls that a worker runs concurrently.
const MAX_RUNNING_CALLS: usize = 6;
/// How long an idle instance stays loaded.
pub const INSTANCE_KEEP_ALIVE: Duration = Duration::millis(9_000);

/// A call sent to a worker.
#[derive(Clone, Copy)]
pub struct Job {
    /// The attempt that it executes.
    pub attempt: AttemptId,
    /// The function called.
    pub function: FunctionId,
    /// Execution time.
    pub work: Duration,
    /// Time to load an instance.
    pub load: Duration,
}

/// A worker with its loaded instances and its queue.
#[derive(Default)]
pub struct Worker {
    /// Until when an instance of each function stays loaded.
    instances: BTreeMap<FunctionId, Timestamp>,
    queue: VecDeque<Job>,
    running: usize,
}

impl Worker {
    /// Accepts a call. Returns its end if it starts now, `None` if it is queued.
    pub fn accept(&mut self, now: Timestamp, job: Job) -> Option<(Timestamp, Job)> {
        if self.running >= MAX_RUNNING_CALLS {
            self.queue.push_back(job);
            return None;
        }
        Some(self.run(now, job))
    }

    fn run(&mut self, now: Timestamp, job: Job) -> (Timestamp, Job) {
        self.running += 1;
        let loaded = self.instances.get(&job.function).is_some_and(|until| *until > now);
        let end = now + Duration(job.work.0 + if loaded { 0 } else { job.load.0 });
        self.instances.insert(job.function, end + INSTANCE_KEEP_ALIVE);
        (end, job)
    }

    /// Ends a running call. Returns the queued call that starts instead, with its end.
    pub fn finish(&mut self, now: Timestamp) -> Option<(Timestamp, Job)> {
        self.running -= 1;
        self.queue.pop_front().map(|job| self.run(now, job))
    }

    /// Drops a cancelled call if it has not started.
    pub fn abort(&mut self, attempt: AttemptId) {
        self.queue.retain(|job| job.attempt != attempt);
    }

    /// Handles a load request: the instance is loaded after `load`.
    pub fn load(&mut self, now: Timestamp, function: FunctionId, load: Duration) {
        let until = self.instances.entry(function).or_insert(Timestamp(0));
        *until = (*until).max(now + load + INSTANCE_KEEP_ALIVE);
    }
}
