//! Updates of the list of workers.

use super::token_bucket::TokenBucket;
use super::workers::Worker;
use super::{Actions, Policy};
use crate::interface::*;
use rand_core::RngCore;
use std::collections::BTreeSet;

impl Policy {
    /// Applies a list, or changes of one.
    pub(super) fn on_members(&mut self, kind: ListKind, members: Vec<Member>, out: &mut Actions) {
        if kind == ListKind::Failed {
            out.push(Action::Subscribe);
            return;
        }
        if kind != ListKind::Delta {
            let listed: BTreeSet<WorkerId> = members.iter().map(|member| member.worker).collect();
            self.workers.retain(&listed);
        }
        for member in members {
            self.on_member(member);
        }
    }

    fn on_member(&mut self, member: Member) {
        if member.state == State::Gone {
            self.workers.remove(member.worker);
            return;
        }
        self.workers.set_size(&member, self.settings.weights_are_sizes);
        if self.workers.update(member) {
            return;
        }
        self.insert_process(member);
    }

    /// Lists a new process without known state.
    pub(super) fn insert_process(&mut self, member: Member) {
        // A new process is empty. Each scheduler starts with a random fraction of a token, so that the whole
        // fleet together sends what these fractions add up to.
        let tokens = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let mut worker = Worker::new(member, self.now, TokenBucket::new(tokens, self.now));
        // The answer to a check that is under way must not be taken for the answer to a later one.
        let before = self.workers.get(member.worker).filter(|before| before.health.check_pending);
        if let Some(before) = before.filter(|_| self.list_validity.applies_to(member.worker)) {
            worker.health.begin_check(before.health.check_begun_at);
        }
        self.workers.insert(worker);
        if member.started.is_some() {
            self.slow_start.add(member.worker);
        }
    }
}
