//! Workers in virtual time: they hold copies for a while, load what they lack, and queue.

use mintgate::core::AttemptId;
use mintgate::{FunctionId, Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Calls that a worker runs at a time.
const LANES: usize = 6;
/// An idle copy is gone after this.
pub const KEEP: Span = Span::millis(9_000);

/// A call at a worker.
#[derive(Clone, Copy)]
pub struct Job {
    /// The attempt that it belongs to.
    pub attempt: AttemptId,
    /// The function.
    pub function: FunctionId,
    /// How long it runs.
    pub work: Span,
    /// How long a load takes.
    pub load: Span,
}

/// One worker.
#[derive(Default)]
pub struct Worker {
    /// Until when a copy stands.
    copies: BTreeMap<FunctionId, Time>,
    waiting: VecDeque<Job>,
    running: usize,
}

impl Worker {
    /// A call has come; when it will have ended, if it starts now.
    pub fn take(&mut self, now: Time, job: Job) -> Option<(Time, Job)> {
        if self.running >= LANES {
            self.waiting.push_back(job);
            return None;
        }
        Some(self.run(now, job))
    }

    fn run(&mut self, now: Time, job: Job) -> (Time, Job) {
        self.running += 1;
        let stands = self.copies.get(&job.function).is_some_and(|until| *until > now);
        let end = now + Span(job.work.0 + if stands { 0 } else { job.load.0 });
        self.copies.insert(job.function, end + KEEP);
        (end, job)
    }

    /// A call has ended; the next that starts, with its end.
    pub fn ended(&mut self, now: Time) -> Option<(Time, Job)> {
        self.running -= 1;
        self.waiting.pop_front().map(|job| self.run(now, job))
    }

    /// Nobody waits for a call any more: it is dropped if it has not begun.
    pub fn halt(&mut self, attempt: AttemptId) {
        self.waiting.retain(|job| job.attempt != attempt);
    }

    /// An order to load: the copy stands after the load.
    pub fn stage(&mut self, now: Time, function: FunctionId, load: Span) {
        let until = self.copies.entry(function).or_insert(Time(0));
        *until = (*until).max(now + load + KEEP);
    }
}
