//! Runs the policy: gives it events in order and turns its actions into commands, timers and answers.

use super::accepted_requests::AcceptedRequest;
use super::admission::RejectReason;
use super::chain_steps::StepAnswer;
use super::command::{Attempt, Probe};
use super::load_requests::LoadRequest;
use super::timers::Timer;
use super::{Answer, AttemptId, Command, Core, DEADLINE_GUARD, LoadId, Owner, ProbeId, Verdict};
use crate::chain;
use crate::interface::*;

/// A probe that is not answered within this time has failed: the simulator's limit, plus an allowance for sockets.
const PROBE_TIMEOUT: Duration = Duration::millis(300);

impl Core {
    /// Queues an event for the policy and processes the queue.
    pub(super) fn process_event(&mut self, now: Timestamp, event: Event) {
        self.backlog.push_back(event);
        self.process_backlog(now);
    }

    /// Gives the policy the queued events and carries out its actions until the queue is empty.
    pub(super) fn process_backlog(&mut self, now: Timestamp) {
        let mut actions = Vec::new();
        while let Some(event) = self.backlog.pop_front() {
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, &action);
            }
        }
        if !self.chain_steps.answers.is_empty() {
            self.run_chains(now, vec![]);
        }
        self.update_list_validity(now);
        self.check_totals(now);
        self.loads.rate.expire_arrivals(now, self.site.settings.rules.load_rate_limit);
    }

    /// Carries out one action of the policy.
    pub(super) fn carry_out(&mut self, now: Timestamp, action: &Action) {
        match *action {
            Action::Send { id, worker, timeout } => self.start_attempt(now, id, worker, timeout),
            Action::Cancel { id, attempt } => {
                self.cancel_attempt(now, AttemptId { request: id, number: attempt });
            }
            Action::Refuse { id, wait } => self.finish_request(now, id, Verdict::Refused { cooldown: wait }),
            Action::Fail { id } => self.finish_request(now, id, Verdict::Failed),
            Action::Load { worker, function, instances, part } => {
                self.start_load(now, worker, function, instances, part);
            }
            Action::Probe { worker, part } => self.start_probe(now, worker, part),
            Action::Unload { worker, function } => {
                self.commands.push_back(Command::Unload { worker, function });
            }
            Action::SetTimer { after } => self.timers.set(now + after, Timer::Policy),
            // On sockets, discovery pushes the list.
            Action::Subscribe => {}
        }
    }

    fn start_attempt(&mut self, now: Timestamp, id: RequestId, worker: WorkerId, timeout: Duration) {
        let Some(accepted) = self.requests.get_mut(id) else { return };
        let attempt = AttemptId { request: id, number: accepted.attempts };
        accepted.attempts += 1;
        let deadline = (now + timeout).min(accepted.deadline);
        let work = accepted.work.clone();
        let class = accepted.class;
        self.counters.attempts += 1;
        self.counters.retries += u64::from(attempt.number > 0);
        tracing::debug!(
            reference = %work.reference,
            attempt = attempt.number,
            worker = worker.0,
            "attempt"
        );
        let worker_started = self.workers.started(worker);
        let entry = Attempt {
            worker,
            worker_started,
            class,
            decided_at: now,
            deadline,
            written: None,
            allowed: false,
        };
        self.attempts.insert(attempt, entry);
        self.timers.set(deadline, Timer::Attempt(attempt));
        self.commands.push_back(Command::Send { attempt, worker, work, deadline });
    }

    fn cancel_attempt(&mut self, now: Timestamp, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        self.commands.push_back(Command::Cancel { attempt: id, worker: attempt.worker });
        self.counters.end(Status::Cancelled);
        self.trace_end(id, Status::Cancelled, "cancelled");
        self.end_attempt(now, id, Status::Cancelled);
    }

    fn start_load(
        &mut self,
        now: Timestamp,
        worker: WorkerId,
        function: FunctionId,
        instances: u8,
        part: Option<u16>,
    ) {
        let load = LoadId { number: self.next_number(), lease: self.leases.fenced(Task::Renew, part) };
        self.counters.orders_begun += 1;
        let worker_started = self.workers.started(worker);
        let entry =
            LoadRequest { worker, worker_started, function, instances, decided_at: now, allowed: false };
        self.loads.open.insert(load, entry);
        self.timers.set(now + self.site.load_wait, Timer::Load(load));
        self.commands.push_back(Command::Load { load, worker, function, instances });
    }

    fn start_probe(&mut self, now: Timestamp, worker: WorkerId, part: Option<u16>) {
        let probe = ProbeId { number: self.next_number(), lease: self.leases.fenced(Task::Probe, part) };
        let deadline = now + PROBE_TIMEOUT;
        self.probes.insert(probe, Probe { worker, worker_started: self.workers.started(worker), deadline });
        self.timers.set(deadline, Timer::Probe(probe));
        self.counters.probes += 1;
        self.commands.push_back(Command::Probe { probe, worker, deadline });
    }

    /// The next number for a load request or a probe.
    fn next_number(&mut self) -> u64 {
        let number = self.next_load_or_probe;
        self.next_load_or_probe += 1;
        number
    }

    /// Ends an accepted request with a final answer other than a worker's.
    pub(super) fn finish_request(&mut self, now: Timestamp, id: RequestId, verdict: Verdict) {
        let Some(accepted) = self.remove_request(id) else { return };
        self.used_references.record_end(now, &accepted);
        let verdict = if accepted.may_client_retry() { verdict } else { Verdict::Failed };
        let expired = now + self.site.settings.tick >= accepted.deadline;
        if let Verdict::Refused { .. } = verdict {
            self.count_rejection(&accepted.work.reference, RejectReason::Unplaced);
        }
        self.record_unserved_step(now, Some(&accepted));
        self.answer(accepted.owner, Some(&accepted.work.class), verdict, expired);
    }

    /// Counts a final answer and sends it to its client, or to its chain.
    pub(super) fn answer(&mut self, owner: Owner, class: Option<&str>, verdict: Verdict, expired: bool) {
        if let Some(class) = class {
            self.counters.final_answer(class, &verdict);
        }
        tracing::debug!(
            connection = owner.connection,
            stream = owner.stream,
            verdict = verdict.name(),
            "answered"
        );
        match &verdict {
            Verdict::Served(_) => self.counters.served += 1,
            Verdict::Refused { .. } => self.counters.refused += 1,
            Verdict::Failed => self.counters.failed += 1,
        }
        let answer = Answer { verdict, expired };
        if owner.connection == chain::STEP_CONNECTION {
            self.chain_steps.answers.push_back(StepAnswer { owner, answer });
        } else {
            self.commands.push_back(Command::Answer { owner, answer });
        }
    }

    /// Removes a request and its timer.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<AcceptedRequest> {
        let accepted = self.requests.remove(id)?;
        self.timers.cancel(accepted.deadline + DEADLINE_GUARD, Timer::Request(id));
        Some(accepted)
    }
}
