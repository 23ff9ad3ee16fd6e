//! Chains: requests whose steps run one after another under a common deadline, with one final answer.
//! [`Machine`] is a state machine without I/O.

pub mod estimate;
mod records;

use crate::interface::{DEDUP_WINDOW_MARGIN, Duration, FunctionId, Timestamp};
use crate::request::{Answer, IncomingRequest, Owner, Verdict};
use estimate::{Estimates, Need, PlannedStep};
use records::StepRecords;
use std::collections::BTreeMap;

/// Most steps of a chain.
pub const MAX_STEPS: usize = 8;
/// The connection number of the requests that steps are submitted as. No front's connection has it.
pub const STEP_CONNECTION: u64 = u64::MAX;
/// Memory in bytes that open chains may take until [`Machine::limit_memory`] is called.
const DEFAULT_MEMORY_LIMIT: usize = 32 << 20;

/// A step as the client specifies it.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Name of the class.
    pub class: String,
    /// The function called.
    pub function: FunctionId,
    /// Memory of one instance, in MB.
    pub memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Usual time of a load, if the client gave one.
    pub load_time: Option<Duration>,
    /// The body; `None` if the previous step's answer is the body.
    pub body: Option<Vec<u8>>,
}

impl Step {
    /// Bytes of the class's name and the body.
    fn byte_count(&self) -> usize {
        self.class.len() + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// A chain as a front has parsed it.
#[derive(Clone, Debug)]
pub struct Chain {
    /// The client's request that the final answer belongs to.
    pub owner: Owner,
    /// Idempotency key, the same for all retries of the chain.
    pub key: Option<String>,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// The steps, at least one.
    pub steps: Vec<Step>,
}

impl Chain {
    /// Bytes of the key and the steps.
    fn byte_count(&self) -> usize {
        let step_bytes: usize = self.steps.iter().map(Step::byte_count).sum();
        self.key.as_ref().map_or(0, String::len) + step_bytes
    }
}

/// How a chain ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// The answer of the last step that was started, or the reason why no further step was started.
    pub answer: Answer,
    /// The index of the step that the chain ended at.
    pub step: usize,
    /// Number of steps that were served.
    pub ran: usize,
    /// Whether that step was not sent because it may have run in an earlier try and its key no longer prevents a
    /// second run.
    pub unknown: bool,
    /// Set if that step was not started because the time left does not cover it and all steps after it.
    pub short: Option<Short>,
}

impl End {
    /// The end of a chain at this step, which was not served.
    fn at(step: usize, answer: Answer) -> End {
        End { answer, step, ran: step, unknown: false, short: None }
    }
}

/// The time that was left, and the time that was needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// Time until the deadline.
    pub left: Duration,
    /// Estimated time of the step and all steps after it.
    pub need: Duration,
}

/// An action that the caller carries out for a chain.
#[derive(Debug)]
pub enum Action {
    /// Submit a step as this request; its answer goes to [`Machine::step_ended`].
    Start(IncomingRequest),
    /// Withdraw a step's request.
    Withdraw(Owner),
    /// Prewarm an instance of a later step's function, which takes this much memory in MB.
    Prewarm(FunctionId, f64),
    /// Report the end of the chain to its client; happens exactly once.
    Finish(Owner, End),
}

/// The settings of the site that the machine needs.
pub trait Classes {
    /// The latency objective of a class that new requests may name, and its deduplication window if it is keyed.
    fn class(&self, name: &str) -> Option<(Duration, Option<Duration>)>;
    /// How long an idle instance stays loaded.
    fn keep_alive(&self) -> Duration;
    /// How long a refused client should wait before it retries.
    fn cooldown(&self) -> Duration;
}

/// A chain in progress.
struct OpenChain {
    chain: Chain,
    /// The index of the current step.
    step: usize,
    /// The previous step's answer.
    previous_answer: Vec<u8>,
    /// When the current step was started.
    started: Timestamp,
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
    /// The chains in progress, by id.
    open: BTreeMap<u64, OpenChain>,
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
    fn close(&mut self, id: u64) -> Option<OpenChain> {
        let open = self.open.remove(&id)?;
        self.open_bytes -= open.byte_count();
        Some(open)
    }

    /// Moves a chain to its next step, given the answer of the current one.
    fn move_on(&mut self, id: u64, answer: Vec<u8>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        self.open_bytes -= open.byte_count();
        open.previous_answer = answer;
        open.step += 1;
        self.open_bytes += open.byte_count();
    }

    /// Starts a chain. Unless `until_given_up` is set, its deadline is at most the latency objective of its last step's
    /// class from now. A chain with too many steps or an unknown last class fails.
    pub fn begin(&mut self, now: Timestamp, mut chain: Chain, classes: &impl Classes) -> Vec<Action> {
        let count_allowed = chain.steps.len() <= MAX_STEPS;
        let last_class =
            chain.steps.last().filter(|_| count_allowed).and_then(|step| classes.class(&step.class));
        let Some((latency_objective, _)) = last_class else {
            let answer = Answer { verdict: Verdict::Failed, expired: false };
            return vec![Action::Finish(chain.owner, End::at(0, answer))];
        };
        let has_same_key = |open: &&OpenChain| chain.key.is_some() && open.chain.key == chain.key;
        if let Some(open) = self.open.values().find(has_same_key) {
            // A retry of a chain in progress is refused until that one ends. A different chain with its key fails.
            let same = open.chain.steps == chain.steps;
            let verdict =
                if same { Verdict::Refused { cooldown: classes.cooldown() } } else { Verdict::Failed };
            let answer = Answer { verdict, expired: false };
            return vec![Action::Finish(chain.owner, End::at(0, answer))];
        }
        if self.open_bytes + chain.byte_count() > self.max_open_bytes {
            let verdict = Verdict::Refused { cooldown: classes.cooldown() };
            let answer = Answer { verdict, expired: false };
            return vec![Action::Finish(chain.owner, End::at(0, answer))];
        }
        if !self.until_given_up {
            chain.deadline = chain.deadline.min(now + latency_objective);
        }
        let id = self.next_id;
        self.next_id += 1;
        let open = OpenChain { chain, step: 0, previous_answer: vec![], started: now };
        self.open_bytes += open.byte_count();
        self.open.insert(id, open);
        self.advance(now, id, classes)
    }

    /// Handles the final answer of a step.
    pub fn step_ended(
        &mut self,
        now: Timestamp,
        owner: Owner,
        answer: Answer,
        classes: &impl Classes,
    ) -> Vec<Action> {
        let id = owner.stream / MAX_STEPS as u64;
        let Some(open) = self.open.get_mut(&id).filter(|open| owner == step_owner(id, open.step)) else {
            return vec![];
        };
        let Verdict::Served(body) = answer.verdict else {
            let (step, owner) = (open.step, open.chain.owner);
            self.close(id);
            return vec![Action::Finish(owner, End::at(step, answer))];
        };
        let step = &open.chain.steps[open.step];
        self.estimates.record_latency(now, step.function, &step.class, now - open.started);
        let window = classes.class(&step.class).and_then(|(_, window)| window);
        let (started, step) = (open.started, step.clone());
        let key = step_key(&open.chain, open.step);
        if let (Some(key), Some(window)) = (key, window) {
            self.may_have_run(now, &key, started);
            let until = self.records.first_sent(&key).unwrap_or(started) + window;
            self.records.add_answer(key, step, body.clone(), until);
        }
        self.move_on(id, body);
        self.records.evict_answers(now);
        self.advance(now, id, classes)
    }

    /// Withdraws a chain whose client no longer waits for it.
    pub fn withdraw(&mut self, owner: Owner) -> Vec<Action> {
        let Some(id) = self.open.iter().find(|(_, open)| open.chain.owner == owner).map(|(id, _)| *id) else {
            return vec![];
        };
        let step = self.close(id).map_or(0, |open| open.step);
        vec![Action::Withdraw(step_owner(id, step))]
    }

    /// The owner of the chain that this step belongs to.
    pub fn owner(&self, step: Owner) -> Option<Owner> {
        self.open.get(&(step.stream / MAX_STEPS as u64)).map(|open| open.chain.owner)
    }

    /// Records that the step with this key may have run since then: an attempt was sent, and no answer rules it out.
    pub fn may_have_run(&mut self, now: Timestamp, key: &str, since: Timestamp) {
        self.records.may_have_run(now, key, since);
    }

    /// Records the latency of a request that does not belong to a chain.
    pub fn record_latency(&mut self, now: Timestamp, function: FunctionId, class: &str, latency: Duration) {
        self.estimates.record_latency(now, function, class, latency);
    }

    /// Number of chains that have not been answered.
    pub fn outstanding(&self) -> usize {
        self.open.len()
    }

    /// Starts the chain's current step, skipping those with a cached answer, or ends the chain.
    fn advance(&mut self, now: Timestamp, id: u64, classes: &impl Classes) -> Vec<Action> {
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
            // The window of a step that an earlier try of the chain sent runs from that time.
            let window = classes.class(&step.class).and_then(|(_, window)| window);
            let first = key.as_ref().and_then(|key| self.records.first_sent(key));
            let until = first.and_then(|first| Some(first + window? - DEDUP_WINDOW_MARGIN));
            let needs = needs(&self.estimates, now, &chain.steps[at..], classes);
            let prewarms: Vec<Action> = chain.steps[at..]
                .iter()
                .zip(&needs)
                .filter(|(_, need)| need.load.0 > 0)
                .map(|(step, _)| Action::Prewarm(step.function, step.memory_mb))
                .collect();
            if until.is_some_and(|until| until <= now + total_time(&needs[..1])) {
                let owner = chain.owner;
                self.close(id);
                let answer = Answer { verdict: Verdict::Failed, expired: false };
                let end = End { unknown: true, ..End::at(at, answer) };
                return vec![Action::Finish(owner, end)];
            }
            let (left, need) = (chain.deadline - now, total_time(&needs));
            if left < need {
                let owner = chain.owner;
                self.close(id);
                // Earlier steps may have run, but their keys are still valid, so a retry is harmless.
                let verdict = Verdict::Refused { cooldown: classes.cooldown() };
                let answer = Answer { verdict, expired: left.0 == 0 };
                let end = End { short: Some(Short { left, need }), ..End::at(at, answer) };
                // Prewarmed instances may be ready for a retry. Otherwise a cold chain would never be served.
                return std::iter::once(Action::Finish(owner, end)).chain(prewarms).collect();
            }
            let deadline = until.map_or(chain.deadline, |until| until.min(chain.deadline));
            let request = step_request(self.salt, id, open, key, deadline);
            open.started = now;
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
            classes.class(&step.class).map_or(Duration(0), |(latency_objective, _)| latency_objective);
        let (function, load_time) = (step.function, step.load_time);
        let planned = PlannedStep { function, class: &step.class, latency_objective, load_time };
        estimates.need(now, &planned, classes.keep_alive())
    };
    steps.iter().map(need).collect()
}

/// The owner under which the core has a step's request.
fn step_owner(id: u64, step: usize) -> Owner {
    Owner { connection: STEP_CONNECTION, stream: id * MAX_STEPS as u64 + step as u64 }
}

/// The request that the current step of an open chain is submitted as.
fn step_request(
    salt: u64,
    id: u64,
    open: &OpenChain,
    key: Option<String>,
    deadline: Timestamp,
) -> IncomingRequest {
    let owner = step_owner(id, open.step);
    let step = &open.chain.steps[open.step];
    IncomingRequest {
        owner,
        // Multiplication by an odd factor is a bijection: different owners have different references.
        reference: format!("{:016x}", (salt ^ owner.stream).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
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
