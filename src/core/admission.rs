//! Admission of new requests: each is accepted and given to the policy, or rejected at once.

use super::accepted_requests::AcceptedRequest;
use super::timers::Timer;
use super::{Core, DEADLINE_GUARD, IncomingRequest, RequestPayload, Verdict};
use crate::chain;
use crate::interface::*;
use std::rc::Rc;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectReason {
    /// Too many requests are open, or their bodies take too much memory.
    Full,
    /// This process is about to end.
    Ending,
    /// Its deadline had passed when it arrived.
    Late,
    /// A new configuration has removed its class.
    Class,
    /// It is shed at the admission level that the fleet has agreed on.
    Shed,
    /// The policy found no worker for it, or none for a retry.
    Unplaced,
}

impl Core {
    /// Handles a request that has been read completely. From here on it gets exactly one final answer.
    pub fn submit(&mut self, now: Timestamp, incoming: IncomingRequest) {
        self.counters.taken += 1;
        self.loads.rate.record_arrival(now);
        let Some(class) = self.site.class(&incoming.class) else {
            self.answer_unknown_class(&incoming);
            return;
        };
        // With two open requests of the same reference, a worker could not tell their attempts apart.
        // One that may have run under this reference must not run again.
        if self.requests.has_reference(&incoming.reference)
            || self.used_references.contains(now, &incoming.reference)
        {
            return self.answer(incoming.owner, Some(&incoming.class), Verdict::Failed, false);
        }
        if let Some(reason) = self.reject_reason(now, &incoming) {
            return self.reject(&incoming, reason, self.default_cooldown());
        }
        if let Some(cooldown) = self.shed_cooldown(now, class, incoming.owner) {
            return self.reject(&incoming, RejectReason::Shed, cooldown);
        }
        self.accept(now, class, incoming);
    }

    /// Rejects a request whose class only a former configuration had: it has not run. Fails one whose class never
    /// existed.
    fn answer_unknown_class(&mut self, incoming: &IncomingRequest) {
        if self.counters.classes.contains_key(&incoming.class) {
            self.reject(incoming, RejectReason::Class, self.default_cooldown());
        } else {
            self.answer(incoming.owner, None, Verdict::Failed, false);
        }
    }

    fn accept(&mut self, now: Timestamp, class: usize, incoming: IncomingRequest) {
        let id = self.requests.new_id();
        self.loads.called.record(now, incoming.function);
        let remaining = incoming.deadline - now;
        tracing::debug!(
            reference = %incoming.reference,
            connection = incoming.owner.connection,
            stream = incoming.owner.stream,
            class = %incoming.class,
            left_ms = remaining.0 / 1_000_000,
            "accepted"
        );
        let request = Request {
            id,
            function: incoming.function,
            class: ClassId(class as u16),
            tenant: TenantId(0),
            remaining,
            memory_mb: incoming.memory_mb,
            concurrency: incoming.concurrency,
            load_time: incoming.load_time,
        };
        self.timers.set(incoming.deadline + DEADLINE_GUARD, Timer::Request(id));
        let accepted = AcceptedRequest {
            owner: incoming.owner,
            class,
            effect: self.site.settings.classes[class].effect,
            deadline: incoming.deadline,
            attempts: 0,
            first_written: None,
            work: Rc::new(RequestPayload {
                reference: incoming.reference,
                class: incoming.class,
                function: incoming.function,
                key: incoming.key,
                body: incoming.body,
            }),
        };
        self.requests.insert(id, accepted);
        self.process_event(now, Event::Request(request));
    }

    /// The reason why a request cannot be accepted now, if there is one.
    fn reject_reason(&self, now: Timestamp, incoming: &IncomingRequest) -> Option<RejectReason> {
        if incoming.deadline <= now {
            return Some(RejectReason::Late);
        }
        if self.rejecting_new && incoming.owner.connection != chain::STEP_CONNECTION {
            return Some(RejectReason::Ending);
        }
        let full = self.requests.len() >= self.site.max_open
            || self.requests.exceeds_memory(incoming.byte_count())
            || self.requests.has_owner(incoming.owner);
        full.then_some(RejectReason::Full)
    }

    /// Rejects a request that was not accepted.
    fn reject(&mut self, incoming: &IncomingRequest, reason: RejectReason, cooldown: Duration) {
        self.count_rejection(&incoming.reference, reason);
        let late = reason == RejectReason::Late;
        self.answer(incoming.owner, Some(&incoming.class), Verdict::Refused { cooldown }, late);
    }

    /// Counts a rejection by its reason and logs it.
    pub(super) fn count_rejection(&mut self, reference: &str, reason: RejectReason) {
        match reason {
            RejectReason::Full => self.counters.refused_full += 1,
            RejectReason::Ending => self.counters.refused_ending += 1,
            RejectReason::Late => self.counters.refused_late += 1,
            RejectReason::Class => self.counters.refused_class += 1,
            RejectReason::Unplaced => self.counters.refused_unplaced += 1,
            // Counted by `shed_cooldown`.
            RejectReason::Shed => {}
        }
        tracing::debug!(reference, why = ?reason, "refused");
    }

    /// Counts a request that its listener has answered itself because it could not be accepted; under its class, if
    /// that could be read.
    pub fn count_rejected_by_listener(&mut self, class: Option<&str>, verdict: &Verdict) {
        if let Some(class) = class.filter(|class| self.site.class(class).is_some()) {
            self.counters.final_answer(class, verdict);
        }
        match verdict {
            Verdict::Refused { .. } => self.counters.turned_away_refused += 1,
            _ => self.counters.turned_away_failed += 1,
        }
    }
}
