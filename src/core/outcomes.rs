//! The ends of attempts, load requests and probes: answered by the worker, broken in transit, or never sent.

use super::accepted_requests::WrittenAttempt;
use super::timers::Timer;
use super::{
    AttemptId, AttemptProgress, Broken, Command, Core, LoadId, LoadReport, LoadResult, ProbeId, Reply,
    Verdict,
};
use crate::chain;
use crate::interface::*;

impl Core {
    /// An attempt has been handed to the operating system completely.
    pub fn written(&mut self, now: Timestamp, attempt: AttemptId) {
        self.check_written(now, attempt);
        let Some(entry) = self.attempts.get_mut(&attempt) else { return };
        entry.written = Some(now);
        let worker = entry.worker.0;
        self.counters.sent += 1;
        if let Some(accepted) = self.requests.get_mut(attempt.request) {
            accepted.first_written.get_or_insert(WrittenAttempt { number: attempt.number, at: now });
            let reference = &accepted.work.reference;
            tracing::debug!(%reference, attempt = attempt.number, worker, "attempt written");
        }
    }

    /// An attempt was answered by its worker, or its connection broke.
    pub fn attempt_ended(&mut self, now: Timestamp, id: AttemptId, end: Result<Reply, Broken>) {
        if !self.attempts.contains_key(&id) {
            return;
        }
        let (status, cause) = match &end {
            Ok(reply) => (reply.status(), "answer"),
            Err(broken) => (broken.progress.status(), broken.cause),
        };
        self.counters.end(status);
        self.counters.full_unheard += u64::from(status == Status::Full && self.list_watch.discovery_lost);
        self.trace_end(id, status, cause);
        if status.never_ran()
            && let Some(accepted) = self.requests.get_mut(id.request)
            && accepted.first_written.is_some_and(|first| first.number == id.number)
        {
            accepted.first_written = None;
        }
        if let Ok(Reply::Ok(body)) = end {
            self.serve(now, id, body);
        }
        self.end_attempt(now, id, status);
        self.process_backlog(now);
    }

    /// Answers a request with the body received for one of its attempts, unless it has already been answered.
    fn serve(&mut self, now: Timestamp, id: AttemptId, body: Vec<u8>) {
        let Some(accepted) = self.remove_request(id.request) else { return };
        self.used_references.record_end(now, &accepted);
        self.count_served(now);
        self.loads.called.record_served(now, accepted.work.function);
        if accepted.owner.connection != chain::STEP_CONNECTION
            && let Some(attempt) = self.attempts.get(&id)
        {
            let latency = now - attempt.decided_at;
            self.chain_steps.machine.record_latency(
                now,
                accepted.work.function,
                &accepted.work.class,
                latency,
            );
        }
        self.answer(accepted.owner, Some(&accepted.work.class), Verdict::Served(body), false);
    }

    /// An attempt was not sent for a reason on this side: it was no longer allowed, or there was no connection to send
    /// it on. Unlike a failed connect, this says nothing about the worker.
    pub fn attempt_not_sent(&mut self, now: Timestamp, id: AttemptId) {
        if self.attempts.contains_key(&id) {
            self.counters.end(Status::NotSent);
            self.trace_end(id, Status::NotSent, "no longer allowed");
            self.end_attempt(now, id, Status::NotSent);
            self.process_backlog(now);
        }
    }

    /// A load request was answered by its worker, or its connection broke.
    pub fn load_ended(&mut self, now: Timestamp, id: LoadId, end: Result<LoadResult, Broken>) {
        let progress = end.as_ref().map_or_else(|broken| broken.progress, |_| AttemptProgress::Answered);
        self.check_load(now, id, progress);
        let result =
            end.unwrap_or_else(|broken| LoadResult { status: broken.progress.status(), instances: 0 });
        self.end_load(now, id, result);
        self.process_backlog(now);
    }

    /// A load request was not sent for a reason on this side; see [`Core::attempt_not_sent`].
    pub fn load_not_sent(&mut self, now: Timestamp, id: LoadId) {
        self.end_load(now, id, LoadResult { status: Status::NotSent, instances: 0 });
        self.process_backlog(now);
    }

    /// A probe was answered, with a load report by names, or its connection broke.
    pub fn probe_ended(&mut self, now: Timestamp, id: ProbeId, end: Result<LoadReport, Broken>) {
        let status = end.as_ref().map_or_else(|broken| check_status(broken.progress), |_| Status::Ok);
        let reported = end.unwrap_or_default();
        let value_of = |gauge| {
            let found = reported.iter().find(|(name, _)| name == gauge);
            found.map_or(f32::NAN, |(_, value)| *value)
        };
        let report = self.site.gauges.iter().map(value_of).collect();
        self.end_probe(id, status, report);
        self.process_backlog(now);
    }

    /// A probe was not sent for a reason on this side; see [`Core::attempt_not_sent`].
    pub fn probe_not_sent(&mut self, now: Timestamp, id: ProbeId) {
        self.end_probe(id, Status::NotSent, vec![]);
        self.process_backlog(now);
    }

    /// Logs how an attempt ended, under its request's reference.
    pub(super) fn trace_end(&self, id: AttemptId, status: Status, cause: &'static str) {
        let Some(accepted) = self.requests.get(id.request) else { return };
        let reference = &accepted.work.reference;
        tracing::debug!(%reference, attempt = id.number, ?status, cause, "attempt ended");
    }

    /// Removes an attempt and its timer, and reports its end to the policy.
    pub(super) fn end_attempt(&mut self, now: Timestamp, id: AttemptId, status: Status) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.cancel(attempt.deadline, Timer::Attempt(id));
        let finished = !self.requests.contains(id.request);
        self.backlog.push_back(Event::Outcome(Outcome {
            id: id.request,
            attempt: id.number,
            status,
            latency: now - attempt.decided_at,
            finished,
            instance: InstanceNote::Untold,
            company: 0,
            report: vec![],
        }));
    }

    /// Removes a probe and its timer, and reports its end to the policy and, if it was sent for the fleet, to the
    /// fleet.
    pub(super) fn end_probe(&mut self, id: ProbeId, status: Status, report: Vec<f32>) {
        let Some(probe) = self.probes.remove(&id) else { return };
        // The end of a probe of a process that has been replaced says nothing about the process that is listed now.
        let replaced = self.workers.was_replaced(probe.worker, probe.worker_started);
        let status = if replaced { Status::NotSent } else { status };
        if id.lease.is_some() && status != Status::NotSent {
            let answers = status == Status::Ok;
            self.commands.push_back(Command::PublishHealth { worker: probe.worker, answers });
        }
        self.timers.cancel(probe.deadline, Timer::Probe(id));
        match status {
            Status::Ok => {}
            Status::NotSent => self.counters.probes_held += 1,
            Status::Full => self.record_rejected_probe(probe.worker),
            _ => self.counters.probes_unanswered += 1,
        }
        self.backlog.push_back(Event::Probed(probe.worker, status, report));
    }

    /// Counts, and possibly logs, a probe that was answered by a worker that is listed as ready but rejects new work.
    fn record_rejected_probe(&mut self, worker: WorkerId) {
        self.counters.probes_rejected += 1;
        if self.list_watch.is_unconfirmed() && !self.policy.is_unavailable(worker) {
            tracing::warn!(worker = %format_args!("s-{:08x}", worker.0), "worker rejects new work");
        }
    }

    /// Removes a load request and its timer, and reports its end to the policy.
    pub(super) fn end_load(&mut self, now: Timestamp, id: LoadId, result: LoadResult) {
        let Some(load) = self.loads.open.remove(&id) else { return };
        self.counters.orders_ended += 1;
        self.timers.cancel(load.decided_at + self.site.load_wait, Timer::Load(id));
        // What a process that has been replaced loaded is not at the process that is listed now.
        let replaced = self.workers.was_replaced(load.worker, load.worker_started);
        let result = if replaced { LoadResult { status: Status::NotSent, instances: 0 } } else { result };
        self.backlog.push_back(Event::Loaded(Loaded {
            worker: load.worker,
            function: load.function,
            instances: result.instances,
            status: result.status,
            latency: now - load.decided_at,
        }));
    }
}

/// The status of a health check that brought no report.
fn check_status(progress: AttemptProgress) -> Status {
    match progress {
        // The worker answers but rejects new work: it is draining or about to end.
        AttemptProgress::Answered => Status::Full,
        AttemptProgress::NotSent => Status::ConnectFailed,
        AttemptProgress::PartlyWritten | AttemptProgress::Out => Status::Reset,
    }
}
