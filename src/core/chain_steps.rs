//! Chains, whose steps are submitted as requests of the core.

use super::accepted_requests::AcceptedRequest;
use super::timers::Timer;
use super::{Answer, Command, Core, Owner, Verdict};
use crate::chain::{self, Chain, ChainId, Classes, StepClass};
use crate::interface::*;
use crate::settings::Site;
use std::collections::VecDeque;

/// The final answer of a chain's step.
pub(super) struct StepAnswer {
    pub(super) owner: Owner,
    pub(super) answer: Answer,
}

/// The chains under way, and the answers to steps that they have not processed yet.
pub(super) struct ChainSteps {
    pub(super) machine: chain::Machine,
    pub(super) answers: VecDeque<StepAnswer>,
    /// Whether [`Core::run_chains`] is running; the outermost call processes all answers.
    running: bool,
}

impl ChainSteps {
    pub(super) fn new(seed: u64) -> ChainSteps {
        ChainSteps { machine: chain::Machine::new(seed), answers: VecDeque::new(), running: false }
    }
}

impl Core {
    /// Sets whether chains may take until their clients give up, and not only the latency objective of their last
    /// step's class.
    pub fn chains_until_given_up(&mut self, until_given_up: bool) {
        self.chain_steps.machine.until_given_up = until_given_up;
    }

    /// Handles a chain that has been read completely. Its steps are submitted as requests, and it ends exactly once.
    pub fn chain(&mut self, now: Timestamp, chain: Chain) {
        self.counters.chains += 1;
        let actions = self.chain_steps.machine.begin(now, chain, &self.site);
        self.run_chains(now, actions);
    }

    /// Carries out the chains' actions until no step's answer is left to process.
    pub(super) fn run_chains(&mut self, now: Timestamp, actions: Vec<chain::Action>) {
        let mut actions = VecDeque::from(actions);
        let nested = std::mem::replace(&mut self.chain_steps.running, true);
        loop {
            // In a nested call, the outermost call processes the answers.
            if actions.is_empty()
                && !nested
                && let Some(step) = self.chain_steps.answers.pop_front()
            {
                let next = self.chain_steps.machine.step_ended(now, step.owner, step.answer, &self.site);
                actions.extend(next);
            }
            match actions.pop_front() {
                Some(action) => self.carry_out_chain(now, action),
                None if nested || self.chain_steps.answers.is_empty() => break,
                None => {}
            }
        }
        self.chain_steps.running = nested;
    }

    fn carry_out_chain(&mut self, now: Timestamp, action: chain::Action) {
        match action {
            chain::Action::Start(incoming) => self.submit(now, incoming),
            chain::Action::Withdraw(step) => self.withdraw(now, step),
            chain::Action::Prewarm(function, memory_mb) => {
                // A client has named the function; the policy and the rate limit decide whether a load request is sent.
                self.loads.called.record(now, function);
                self.process_event(now, Event::Wanted(function, memory_mb));
            }
            chain::Action::RetryAt(at, id) => self.timers.set(at, Timer::ChainStep(id)),
            chain::Action::CancelRetry(at, id) => {
                self.timers.cancel(at, Timer::ChainStep(id));
            }
            chain::Action::Finish(owner, end) => {
                match (&end.answer.verdict, end.short) {
                    (Verdict::Served(_), _) => self.counters.chains_served += 1,
                    (_, Some(_)) => self.counters.chains_stopped += 1,
                    _ => self.counters.chains_failed += 1,
                }
                self.commands.push_back(Command::Chain { owner, end });
            }
        }
    }

    /// Tries a step of a chain again that was refused.
    pub(super) fn retry_chain_step(&mut self, now: Timestamp, id: ChainId) {
        let actions = self.chain_steps.machine.retry_step(now, id, &self.site);
        self.run_chains(now, actions);
    }

    /// Records in its chain that a step which ended unserved may have run, if it may have.
    pub(super) fn record_unserved_step(&mut self, now: Timestamp, accepted: Option<&AcceptedRequest>) {
        let Some(accepted) = accepted.filter(|accepted| accepted.owner.connection == chain::STEP_CONNECTION)
        else {
            return;
        };
        if let (Effect::Keyed { .. }, Some(key), Some(first)) =
            (accepted.effect, &accepted.work.key, accepted.first_written)
        {
            self.chain_steps.machine.may_have_run(now, key, first.at);
        }
    }
}

impl Classes for Site {
    fn class(&self, name: &str) -> Option<StepClass> {
        let class = &self.settings.classes[Site::class(self, name)?];
        Some(StepClass { latency_objective: class.latency_objective, effect: class.effect })
    }

    fn keep_alive(&self) -> Duration {
        self.settings.loading.keep_alive
    }

    fn cooldown(&self) -> Duration {
        self.settings.limits.retry_after.unwrap_or(Duration(0))
    }
}
