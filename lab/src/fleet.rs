//! Workers in virtual time: they hold instances for a while, load what they lack, and queue.

use mintgate::core::AttemptId;
use mintgate::{Duration, FunctionId, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Calls that a worker runs at a time.
const MAX_RUNNING_CALLS: usize = 6;
/// An idle copy is gone after this.
pub const COPY_KEEP_ALIVE: Duration = Duration::millis(9_000);

/// A call at a worker.
#[derive(Clone, Copy)]
pub struct Job {
    /// The attempt that it belongs to.
    pub attempt: AttemptId,
    /// The function.
    pub function: FunctionId,
    /// How long it runs.
    pub work: Duration,
    /// How long a load takes.
    pub load: Duration,
}

/// One worker.
#[derive(Default)]
pub struct Worker {
    /// Until when a copy loaded.
    instances: BTreeMap<FunctionId, Timestamp>,
    queue: VecDeque<Job>,
    running: usize,
}

impl Worker {
    /// A call has come; when it will have ended, if it starts now.
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
        self.instances.insert(job.function, end + COPY_KEEP_ALIVE);
        (end, job)
    }

    /// A call has ended; the next that starts, with its end.
    pub fn finish(&mut self, now: Timestamp) -> Option<(Timestamp, Job)> {
        self.running -= 1;
        self.queue.pop_front().map(|job| self.run(now, job))
    }

    /// Nobody waits for a call any more: it is dropped if it has not begun.
    pub fn abort(&mut self, attempt: AttemptId) {
        self.queue.retain(|job| job.attempt != attempt);
    }

    /// An order to load: the copy loaded after the load.
    pub fn load(&mut self, now: Timestamp, function: FunctionId, load: Duration) {
        let until = self.instances.entry(function).or_insert(Timestamp(0));
        *until = (*until).max(now + load + COPY_KEEP_ALIVE);
    }
}
