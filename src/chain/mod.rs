//! Chains: requests whose steps run one after another under a common deadline, with one final answer.
//! [`Machine`] is a state machine without I/O.

pub mod estimate;
mod records;
mod types;

pub use types::{Action, Chain, ChainId, Classes, End, Short, Step, StepClass};

use crate::interface::{DEDUP_WINDOW_MARGIN, Duration, Effect, FunctionId, Timestamp};
use crate::policy::may_client_retry;
use crate::request::{Answer, IncomingRequest, Owner, Verdict};
use estimate::{Estimates, Need, PlannedStep};
use records::StepRecords;
use std::collections::BTreeMap;

/// Most steps of a chain.
pub const MAX_STEPS: usize = 8;
/// The connection number of the requests that steps are submitted as. No front's connection has it.
pub const STEP_CONNECTION: u64 = u64::MAX;
/// Most times that a refused step is tried again.
const MAX_STEP_RETRIES: u64 = 10;
/// Shortest pause before a refused step is tried again.
const MIN_STEP_RETRY_PAUSE: Duration = Duration::millis(50);
/// Position of the number of a step's try in the number that its reference is made from, above all owners' numbers.
const STEP_TRY_SHIFT: u32 = 48;
/// Memory in bytes that open chains may take until [`Machine::limit_memory`] is called.
const DEFAULT_MEMORY_LIMIT: usize = 32 << 20;

/// The state of a chain in progress.
struct OpenChain {
    chain: Chain,
    /// The index of the current step.
    step: usize,
    /// The previous step's answer.
    previous_answer: Vec<u8>,
    /// When the current step was started.
    started: Timestamp,
    /// The effect of the current step, by the settings under which it was started.
    effect: Effect,
    /// Number of tries of the current step before this one, each of which was refused.
    refused_tries: u64,
    /// When the current step, which was refused, is tried again.
    retry_at: Option<Timestamp>,
    /// Whether the client may safely repeat the chain, given the steps that may have run.
    may_repeat: bool,
}

impl OpenChain {
    fn byte_count(&self) -> usize {
        self.chain.byte_count() + self.previous_answer.len()
    }
}

/// The state machine of all chains of a scheduler.
pub struct Machine {
    /// Makes the references of steps differ from those of other schedulers.
    salt: u64,
    /// Whether chains may take until their clients give up, and not only the latency objective of their last step's
    /// class.
    pub until_given_up: bool,
    /// The chains in progress.
    open: BTreeMap<ChainId, OpenChain>,
    /// The id of the next chain.
    next_id: u64,
    estimates: Estimates,
    records: StepRecords,
    /// Bytes of all open chains.
    open_bytes: usize,
    /// Bytes of open chains above which new ones are refused.
    max_open_bytes: usize,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine {
            salt: 0,
            until_given_up: false,
            open: BTreeMap::new(),
            next_id: 0,
            estimates: Estimates::default(),
            records: StepRecords::default(),
            open_bytes: 0,
            max_open_bytes: DEFAULT_MEMORY_LIMIT,
        }
    }
}

impl Machine {
    /// Creates a machine without chains. The salt must differ between schedulers.
    pub fn new(salt: u64) -> Machine {
        Machine { salt, ..Machine::default() }
    }

    /// Sets the memory in bytes that open chains may take.
    pub fn limit_memory(&mut self, bytes: usize) {
        self.max_open_bytes = bytes;
    }

    /// Removes a chain that has ended.
    fn close(&mut self, id: ChainId) -> Option<OpenChain> {
        let open = self.open.remove(&id)?;
        self.open_bytes -= open.byte_count();
        Some(open)
    }

    /// Moves a chain to its next step, given the answer of the current one.
    fn move_on(&mut self, id: ChainId, answer: Vec<u8>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        self.open_bytes -= open.byte_count();
        open.previous_answer = answer;
        open.step += 1;
        open.refused_tries = 0;
        self.open_bytes += open.byte_count();
    }

    /// Starts a chain. Unless `until_given_up` is set, its deadline is at most the latency objective of its last step's
    /// class from now. A chain with too many steps or an unknown last class fails.
    pub fn begin(&mut self, now: Timestamp, mut chain: Chain, classes: &impl Classes) -> Vec<Action> {
        let count_allowed = chain.steps.len() <= MAX_STEPS;
        let last_class =
            chain.steps.last().filter(|_| count_allowed).and_then(|step| classes.class(&step.class));
        let Some(last_class) = last_class else {
            return vec![Action::Finish(chain.owner, End::at(0, Answer::FAILED))];
        };
        let may_repeat = self.may_repeat_after_earlier_tries(&chain, classes);
        if let Some(answer) = self.rejection(&chain, may_repeat, classes) {
            return vec![Action::Finish(chain.owner, End::at(0, answer))];
        }
        if !self.until_given_up {
            chain.deadline = chain.deadline.min(now + last_class.latency_objective);
        }
        let id = ChainId(self.next_id);
        self.next_id += 1;
        let open = OpenChain {
            chain,
            step: 0,
            previous_answer: vec![],
            started: now,
            effect: Effect::Safe,
            refused_tries: 0,
            retry_at: None,
            may_repeat,
        };
        self.open_bytes += open.byte_count();
        self.open.insert(id, open);
        self.advance(now, id, classes)
    }

    /// The answer to a chain that cannot be started now, if it cannot.
    fn rejection(&self, chain: &Chain, may_repeat: bool, classes: &impl Classes) -> Option<Answer> {
        let has_same_key = |open: &&OpenChain| chain.key.is_some() && open.chain.key == chain.key;
        let may_repeat = match self.open.values().find(has_same_key) {
            // A repeat of a chain in progress is refused until that one ends, if another repeat is harmless whichever of
            // its steps run until then. A different chain with its key fails.
            Some(open) => open.chain.steps == chain.steps && may_repeat_all(chain, classes),
            None if self.open_bytes + chain.byte_count() > self.max_open_bytes => may_repeat,
            None => return None,
        };
        let refusal = Answer { verdict: Verdict::Refused { cooldown: classes.cooldown() }, expired: false };
        Some(if may_repeat { refusal } else { Answer::FAILED })
    }

    /// Whether a chain may be repeated, given its steps that may have run in earlier tries.
    fn may_repeat_after_earlier_tries(&self, chain: &Chain, classes: &impl Classes) -> bool {
        let may_have_run =
            |place: usize| step_key(chain, place).is_some_and(|key| self.records.first_sent(&key).is_some());
        let mut run = chain.steps.iter().enumerate().filter(|(place, _)| may_have_run(*place));
        run.all(|(_, step)| may_client_retry(step_effect(chain, step, classes), true))
    }

    /// Handles the final answer of a step.
    pub fn step_ended(
        &mut self,
        now: Timestamp,
        owner: Owner,
        answer: Answer,
        classes: &impl Classes,
    ) -> Vec<Action> {
        let id = chain_of(owner);
        let Some(open) = self.open.get(&id).filter(|open| owner == step_owner(id, open.step)) else {
            return vec![];
        };
        match answer.verdict {
            Verdict::Served(body) => self.step_served(now, id, body, classes),
            Verdict::Refused { cooldown } if !open.may_repeat => {
                self.retry_or_fail(now, id, cooldown, answer.expired, classes)
            }
            Verdict::Refused { .. } | Verdict::Failed => self.end_unserved(id, End::at(open.step, answer)),
        }
    }

    /// Handles the answer of a served step: the chain goes on with the next.
    fn step_served(
        &mut self,
        now: Timestamp,
        id: ChainId,
        body: Vec<u8>,
        classes: &impl Classes,
    ) -> Vec<Action> {
        let Some(open) = self.open.get_mut(&id) else { return vec![] };
        let step = &open.chain.steps[open.step];
        let (started, step) = (open.started, step.clone());
        self.estimates.record_latency(now, step.function, &step.class, now - started);
        let key = step_key(&open.chain, open.step);
        if let (Some(key), Effect::Keyed { window, .. }) = (key, open.effect) {
            self.records.may_have_run(now, &key, started);
            let until = self.records.first_sent(&key).unwrap_or(started) + window;
            self.records.add_answer(key, step, body.clone(), until);
        }
        open.may_repeat &= may_client_retry(open.effect, true);
        self.move_on(id, body);
        self.records.evict_answers(now);
        self.advance(now, id, classes)
    }

    /// Handles the refusal of a step of a chain that its client must not repeat: nobody but this scheduler can serve the
    /// chain, so the step is tried again while there is time.
    fn retry_or_fail(
        &mut self,
        now: Timestamp,
        id: ChainId,
        cooldown: Duration,
        expired: bool,
        classes: &impl Classes,
    ) -> Vec<Action> {
        let Some(open) = self.open.get_mut(&id) else { return vec![] };
        let retry_at = now + cooldown.max(MIN_STEP_RETRY_PAUSE);
        let needs = needs(&self.estimates, now, &open.chain.steps[open.step..=open.step], classes);
        let is_covered = retry_at + total_time(&needs) < open.chain.deadline;
        if expired || !is_covered || open.refused_tries >= MAX_STEP_RETRIES {
            let failed = Answer { verdict: Verdict::Failed, expired };
            let end = End::at(open.step, failed);
            return self.end_unserved(id, end);
        }
        open.refused_tries += 1;
        open.retry_at = Some(retry_at);
        vec![Action::RetryAt(retry_at, id)]
    }

    /// Tries the step of a chain again that was refused.
    pub fn retry_step(&mut self, now: Timestamp, id: ChainId, classes: &impl Classes) -> Vec<Action> {
        match self.open.get_mut(&id) {
            Some(open) if open.retry_at.is_some_and(|at| at <= now) => {
                open.retry_at = None;
                self.advance(now, id, classes)
            }
            _ => vec![],
        }
    }

    /// Ends a chain at its current step, which was not served. A refusal promises that a repeat is harmless, so it becomes
    /// a failure where that is not so.
    fn end_unserved(&mut self, id: ChainId, mut end: End) -> Vec<Action> {
        let Some(open) = self.close(id) else { return vec![] };
        if !open.may_repeat {
            end.answer.verdict = Verdict::Failed;
        }
        vec![Action::Finish(open.chain.owner, end)]
    }

    /// Withdraws a chain whose client no longer waits for it.
    pub fn withdraw(&mut self, owner: Owner) -> Vec<Action> {
        let Some(id) = self.open.iter().find(|(_, open)| open.chain.owner == owner).map(|(id, _)| *id) else {
            return vec![];
        };
        match self.close(id) {
            Some(OpenChain { retry_at: Some(at), .. }) => vec![Action::CancelRetry(at, id)],
            Some(open) => vec![Action::Withdraw(step_owner(id, open.step))],
            None => vec![],
        }
    }

    /// The owner of the chain that this step belongs to.
    pub fn owner(&self, step: Owner) -> Option<Owner> {
        self.open.get(&chain_of(step)).map(|open| open.chain.owner)
    }

    /// Records that the step with this key may have run since then: an attempt was sent, and no answer rules it out.
    pub fn may_have_run(&mut self, now: Timestamp, key: &str, since: Timestamp) {
        self.records.may_have_run(now, key, since);
    }

    /// Records the latency of a request that does not belong to a chain.
    pub fn record_latency(&mut self, now: Timestamp, function: FunctionId, class: &str, latency: Duration) {
        self.estimates.record_latency(now, function, class, latency);
    }

    /// Number of chains whose step was refused and waits to be tried again.
    pub fn waiting_for_retry(&self) -> usize {
        self.open.values().filter(|open| open.retry_at.is_some()).count()
    }

    /// Number of chains that have not been answered.
    pub fn outstanding(&self) -> usize {
        self.open.len()
    }

    /// Starts the chain's current step, skipping those with a cached answer, or ends the chain.
    fn advance(&mut self, now: Timestamp, id: ChainId, classes: &impl Classes) -> Vec<Action> {
        loop {
            let Some(open) = self.open.get_mut(&id) else { return vec![] };
            let (chain, at) = (&open.chain, open.step);
            let Some(step) = chain.steps.get(at) else {
                let owner = chain.owner;
                let body = self.close(id).map(|open| open.previous_answer).unwrap_or_default();
                let answer = Answer { verdict: Verdict::Served(body), expired: false };
                return vec![Action::Finish(owner, End { ran: at, ..End::at(at - 1, answer) })];
            };
            let key = step_key(chain, at);
            let cached = key.as_ref().and_then(|key| self.records.answer(now, key, step));
            if let Some(body) = cached.map(<[u8]>::to_vec) {
                self.move_on(id, body);
                continue;
            }
            let effect = step_effect(chain, step, classes);
            // The window of a step that an earlier try of the chain sent runs from that time.
            let first = key.as_ref().and_then(|key| self.records.first_sent(key));
            let window = classes.class(&step.class).and_then(|class| class.window());
            let until = first.and_then(|first| Some(first + window? - DEDUP_WINDOW_MARGIN));
            let needs = needs(&self.estimates, now, &chain.steps[at..], classes);
            let prewarms = prewarms(&chain.steps[at..], &needs);
            if until.is_some_and(|until| until <= now + total_time(&needs[..1])) {
                return self.end_unserved(id, End { unknown: true, ..End::at(at, Answer::FAILED) });
            }
            let left = chain.deadline - now;
            // A chain that its client must not repeat goes on while the time covers its next step.
            let need = total_time(if open.may_repeat { &needs } else { &needs[..1] });
            if left < need {
                let verdict = Verdict::Refused { cooldown: classes.cooldown() };
                let answer = Answer { verdict, expired: left.0 == 0 };
                let end = End { short: Some(Short { left, need }), ..End::at(at, answer) };
                let finish = self.end_unserved(id, end);
                // Prewarmed instances may be ready for a retry. Otherwise a cold chain would never be served.
                return finish.into_iter().chain(prewarms).collect();
            }
            let deadline = until.map_or(chain.deadline, |until| until.min(chain.deadline));
            let request = step_request(self.salt, id, open, key, deadline);
            open.started = now;
            open.effect = effect;
            // Instances of later steps are loaded while this step runs. This step's request loads its own instance.
            let own = usize::from(needs[0].load.0 > 0);
            return std::iter::once(Action::Start(request)).chain(prewarms.into_iter().skip(own)).collect();
        }
    }
}

/// Time that these steps take one after another if the loads of all of them are requested now.
fn total_time(needs: &[Need]) -> Duration {
    let end = |at: u64, need: &Need| at.max(need.load.0) + need.run.0;
    Duration(needs.iter().fold(0, end))
}

/// Estimates the time that each of these steps needs.
fn needs(estimates: &Estimates, now: Timestamp, steps: &[Step], classes: &impl Classes) -> Vec<Need> {
    let need = |step: &Step| {
        let latency_objective =
            classes.class(&step.class).map_or(Duration(0), |class| class.latency_objective);
        let (function, load_time) = (step.function, step.load_time);
        let planned = PlannedStep { function, class: &step.class, latency_objective, load_time };
        estimates.need(now, &planned, classes.keep_alive())
    };
    steps.iter().map(need).collect()
}

/// Prewarms of the steps that need a load.
fn prewarms(steps: &[Step], needs: &[Need]) -> Vec<Action> {
    let cold = steps.iter().zip(needs).filter(|(_, need)| need.load.0 > 0);
    cold.map(|(step, _)| Action::Prewarm(step.function, step.memory_mb)).collect()
}

/// Whether a client may repeat this chain whichever of its steps may have run.
fn may_repeat_all(chain: &Chain, classes: &impl Classes) -> bool {
    chain.steps.iter().all(|step| may_client_retry(step_effect(chain, step, classes), true))
}

/// The effect of a chain's step; of a class that is not known any more, nothing may be assumed.
fn step_effect(chain: &Chain, step: &Step, classes: &impl Classes) -> Effect {
    let class = classes.class(&step.class);
    class.map_or(Effect::Unsafe, |class| class.effect.of_request(chain.key.is_some()))
}

/// The owner under which the core has a step's request.
fn step_owner(id: ChainId, step: usize) -> Owner {
    Owner { connection: STEP_CONNECTION, stream: id.0 * MAX_STEPS as u64 + step as u64 }
}

/// The chain that a step's request belongs to.
fn chain_of(step: Owner) -> ChainId {
    ChainId(step.stream / MAX_STEPS as u64)
}

/// The request that the current step of an open chain is submitted as.
fn step_request(
    salt: u64,
    id: ChainId,
    open: &OpenChain,
    key: Option<String>,
    deadline: Timestamp,
) -> IncomingRequest {
    let owner = step_owner(id, open.step);
    let step = &open.chain.steps[open.step];
    // A step that is tried again is another request to the workers.
    let tries = open.refused_tries << STEP_TRY_SHIFT;
    IncomingRequest {
        owner,
        // Multiplication by an odd factor is a bijection: different owners have different references.
        reference: format!("{:016x}", (salt ^ owner.stream ^ tries).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        class: step.class.clone(),
        function: step.function,
        key,
        memory_mb: step.memory_mb,
        concurrency: step.concurrency,
        load_time: step.load_time,
        deadline,
        body: step.body.clone().unwrap_or_else(|| open.previous_answer.clone()),
    }
}

/// A step's idempotency key: the same in retries of the chain, different for each step.
fn step_key(chain: &Chain, step: usize) -> Option<String> {
    Some(format!("{}.{step}", chain.key.as_ref()?))
}

#[cfg(test)]
mod tests;
