//! Chains: steps one after another under one deadline, with one final answer. A state machine without I/O.

pub mod estimate;

use crate::interface::{DEDUP_WINDOW_MARGIN, Duration, FunctionId, Timestamp};
use crate::request::{Answer, IncomingRequest, Owner, Verdict};
use estimate::{Estimates, Need, PlannedStep};
use std::collections::{BTreeMap, VecDeque};

/// Steps of one chain at most.
pub const MAX_STEPS: usize = 8;
/// The connection number under which steps are requests of the core; no front has it.
pub const STEP_CONNECTION: u64 = u64::MAX;
/// Answers of finished steps that are cached for retries of their chain.
const MAX_CACHED_ANSWERS: usize = 1024;
/// Bytes of the cached answers together.
const MAX_CACHED_BYTES: usize = 4 << 20;
/// Keyed steps of which it is remembered that they may have run.
const MAX_MAY_HAVE_RUN: usize = 4096;
/// For how long that is remembered: clients have given up long before.
const MAY_HAVE_RUN_LASTS: Duration = Duration::millis(600_000);

/// A step as a client words it.
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
    /// Usual time of a load, where told.
    pub load_time: Option<Duration>,
    /// The body; none where the answer of the step before is the body.
    pub body: Option<Vec<u8>>,
}

/// A chain as a front has read it.
#[derive(Clone, Debug)]
pub struct Chain {
    /// Where the one answer goes.
    pub owner: Owner,
    /// Idempotency key: the same for all tries of the chain.
    pub key: Option<String>,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// The steps, one at least.
    pub steps: Vec<Step>,
}

/// How a chain ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Of the last step that was started, or why none was started any more.
    pub answer: Answer,
    /// The step that it stopped at, counted from 0.
    pub step: usize,
    /// Steps that were served.
    pub ran: usize,
    /// That step may have run in another try, and its key no longer keeps it from running twice: it is not sent.
    pub unknown: bool,
    /// That step was not started: what remained did not cover what it and all after it need.
    pub short: Option<Short>,
}

impl End {
    /// A chain that stops at this step, which was not served.
    fn at(step: usize, answer: Answer) -> End {
        End { answer, step, ran: step, unknown: false, short: None }
    }
}

/// What remained, and what would have been needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// Time until the deadline.
    pub left: Duration,
    /// What the step and all after it need.
    pub need: Duration,
}

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Take this request; its answer goes to [`Machine::step_ended`].
    Start(IncomingRequest),
    /// Call a step off.
    Withdraw(Owner),
    /// Have a instance of a later step's function stand by then, with the memory of one.
    Prewarm(FunctionId, f64),
    /// The chain's one end.
    Finish(Owner, End),
}

/// What the machine asks of the site: the time wanted for a class, and the window in which a repeat is dropped.
pub trait Classes {
    /// Wanted time and window, of a class that may be called.
    fn class(&self, name: &str) -> Option<(Duration, Option<Duration>)>;
    /// How long an idle instance stays.
    fn keep_alive(&self) -> Duration;
    /// How long a refused client is told to stay away.
    fn cooldown(&self) -> Duration;
}

struct Open {
    chain: Chain,
    step: usize,
    last: Vec<u8>,
    started: Timestamp,
}

struct Done {
    key: String,
    step: Step,
    body: Vec<u8>,
    until: Timestamp,
}

/// See the module's page.
#[derive(Default)]
pub struct Machine {
    /// Makes steps' names unlike those of other schedulers.
    salt: u64,
    /// Chains may take until their clients give up, and not only the wanted time of their last step's class.
    pub until_given_up: bool,
    open: BTreeMap<u64, Open>,
    next: u64,
    estimates: Estimates,
    /// Answers of finished keyed steps, oldest first.
    done: VecDeque<Done>,
    bytes: usize,
    /// When keyed steps first went out, by their keys, and the keys in the order in which they came.
    out: BTreeMap<String, Timestamp>,
    out_order: VecDeque<(Timestamp, String)>,
}

impl Machine {
    /// No chains yet. The salt is to differ between schedulers.
    pub fn new(salt: u64) -> Machine {
        Machine { salt, ..Machine::default() }
    }

    /// A chain has come. Its deadline is also the wanted time of its last step's class.
    pub fn begin(&mut self, now: Timestamp, mut chain: Chain, classes: &impl Classes) -> Vec<Action> {
        let few = chain.steps.len() <= MAX_STEPS;
        let wanted = chain.steps.last().filter(|_| few).and_then(|step| classes.class(&step.class));
        let Some((latency_objective, _)) = wanted else {
            let answer = Answer { verdict: Verdict::Failed, expired: false };
            return vec![Action::Finish(chain.owner, End::at(0, answer))];
        };
        let twin = |open: &&Open| chain.key.is_some() && open.chain.key == chain.key;
        if let Some(twin) = self.open.values().find(twin) {
            // The first is still at work on it; what has another content is another chain, and no good one.
            let same = twin.chain.steps == chain.steps;
            let verdict =
                if same { Verdict::Refused { cooldown: classes.cooldown() } } else { Verdict::Failed };
            let answer = Answer { verdict, expired: false };
            return vec![Action::Finish(chain.owner, End::at(0, answer))];
        }
        if !self.until_given_up {
            chain.deadline = chain.deadline.min(now + latency_objective);
        }
        let id = self.next;
        self.next += 1;
        self.open.insert(id, Open { chain, step: 0, last: vec![], started: now });
        self.go_on(now, id, classes)
    }

    /// A step has had its final answer.
    pub fn step_ended(
        &mut self,
        now: Timestamp,
        owner: Owner,
        answer: Answer,
        classes: &impl Classes,
    ) -> Vec<Action> {
        let id = owner.stream / MAX_STEPS as u64;
        let Some(open) = self.open.get_mut(&id).filter(|open| owner == name(id, open.step)) else {
            return vec![];
        };
        let Verdict::Served(body) = answer.verdict else {
            let (step, owner) = (open.step, open.chain.owner);
            self.open.remove(&id);
            return vec![Action::Finish(owner, End::at(step, answer))];
        };
        let step = &open.chain.steps[open.step];
        self.estimates.record_latency(now, step.function, &step.class, now - open.started);
        let window = classes.class(&step.class).and_then(|(_, window)| window);
        let (started, step) = (open.started, step.clone());
        let key = step_key(&open.chain, open.step);
        (open.last, open.step) = (body.clone(), open.step + 1);
        if let (Some(key), Some(window)) = (key, window) {
            self.may_have_run(now, &key, started);
            let until = self.out.get(&key).copied().unwrap_or(started) + window;
            self.bytes += body.len();
            self.done.push_back(Done { key, step, body, until });
        }
        self.forget(now);
        self.go_on(now, id, classes)
    }

    /// Nobody waits for this chain any more.
    pub fn withdraw(&mut self, owner: Owner) -> Vec<Action> {
        let Some(id) = self.open.iter().find(|(_, open)| open.chain.owner == owner).map(|(id, _)| *id) else {
            return vec![];
        };
        let step = self.open.remove(&id).map_or(0, |open| open.step);
        vec![Action::Withdraw(name(id, step))]
    }

    /// Who waits for the chain of which this is a step.
    pub fn owner(&self, step: Owner) -> Option<Owner> {
        self.open.get(&(step.stream / MAX_STEPS as u64)).map(|open| open.chain.owner)
    }

    /// A step of this key may have run since then: its attempt went out, and had no answer that says otherwise.
    pub fn may_have_run(&mut self, now: Timestamp, key: &str, since: Timestamp) {
        if !self.out.contains_key(key) {
            self.out.insert(key.to_owned(), since);
            self.out_order.push_back((now, key.to_owned()));
        }
        let old = |(at, _): &(Timestamp, String)| *at + MAY_HAVE_RUN_LASTS <= now;
        while self.out.len() > MAX_MAY_HAVE_RUN || self.out_order.front().is_some_and(old) {
            let Some((_, key)) = self.out_order.pop_front() else { return };
            self.out.remove(&key);
        }
    }

    /// A request that belongs to no chain was answered after so long.
    pub fn record_latency(&mut self, now: Timestamp, function: FunctionId, class: &str, took: Duration) {
        self.estimates.record_latency(now, function, class, took);
    }

    /// Chains that are owed an answer.
    pub fn outstanding(&self) -> usize {
        self.open.len()
    }

    /// Starts the next step, or ends the chain.
    fn go_on(&mut self, now: Timestamp, id: u64, classes: &impl Classes) -> Vec<Action> {
        loop {
            let Some(open) = self.open.get_mut(&id) else { return vec![] };
            let (chain, at) = (&open.chain, open.step);
            let Some(step) = chain.steps.get(at) else {
                let (owner, body) = (chain.owner, std::mem::take(&mut open.last));
                self.open.remove(&id);
                let answer = Answer { verdict: Verdict::Served(body), expired: false };
                return vec![Action::Finish(owner, End { ran: at, ..End::at(at - 1, answer) })];
            };
            let key = step_key(chain, at);
            let kept = self
                .done
                .iter()
                .rfind(|done| Some(&done.key) == key.as_ref() && done.step == *step && now < done.until);
            if let Some(done) = kept {
                (open.last, open.step) = (done.body.clone(), at + 1);
                continue;
            }
            // What went out in another try of the chain counts from then.
            let window = classes.class(&step.class).and_then(|(_, window)| window);
            let first = key.as_ref().and_then(|key| self.out.get(key)).copied();
            let until = first.and_then(|first| Some(first + window? - DEDUP_WINDOW_MARGIN));
            let needs = needs(&self.estimates, now, &chain.steps[at..], classes);
            let cold: Vec<Action> = chain.steps[at..]
                .iter()
                .zip(&needs)
                .filter(|(_, need)| need.load.0 > 0)
                .map(|(step, _)| Action::Prewarm(step.function, step.memory_mb))
                .collect();
            if until.is_some_and(|until| until <= now + along(&needs[..1])) {
                let owner = chain.owner;
                self.open.remove(&id);
                let answer = Answer { verdict: Verdict::Failed, expired: false };
                let end = End { unknown: true, ..End::at(at, answer) };
                return vec![Action::Finish(owner, end)];
            }
            let (left, need) = (chain.deadline - now, along(&needs));
            if left < need {
                let owner = chain.owner;
                self.open.remove(&id);
                // Steps before may have run, and their keys hold: coming back is harmless.
                let verdict = Verdict::Refused { cooldown: classes.cooldown() };
                let answer = Answer { verdict, expired: left.0 == 0 };
                let end = End { short: Some(Short { left, need }), ..End::at(at, answer) };
                // By the time it comes back instances may stand: else a chain that is cold would be so for ever.
                return std::iter::once(Action::Finish(owner, end)).chain(cold).collect();
            }
            let deadline = until.map_or(chain.deadline, |until| until.min(chain.deadline));
            let request = step_request(self.salt, id, open, key, deadline);
            open.started = now;
            // What later steps lack is loaded while this one runs; its own call loads for itself.
            let own = usize::from(needs[0].load.0 > 0);
            return std::iter::once(Action::Start(request)).chain(cold.into_iter().skip(own)).collect();
        }
    }

    fn forget(&mut self, now: Timestamp) {
        let many =
            |machine: &Machine| machine.done.len() > MAX_CACHED_ANSWERS || machine.bytes > MAX_CACHED_BYTES;
        while many(self) || self.done.front().is_some_and(|done| done.until <= now) {
            let Some(done) = self.done.pop_front() else { return };
            self.bytes -= done.body.len();
        }
    }
}

/// How long these steps take one after another, with the instances that later ones lack ordered now.
fn along(needs: &[Need]) -> Duration {
    let end = |at: u64, need: &Need| at.max(need.load.0) + need.run.0;
    Duration(needs.iter().fold(0, end))
}

/// What each of these steps needs.
fn needs(estimates: &Estimates, now: Timestamp, steps: &[Step], classes: &impl Classes) -> Vec<Need> {
    let need = |step: &Step| {
        let latency_objective =
            classes.class(&step.class).map_or(Duration(0), |(latency_objective, _)| latency_objective);
        let (function, load_time) = (step.function, step.load_time);
        let ahead = PlannedStep { function, class: &step.class, latency_objective, load_time };
        estimates.need(now, &ahead, classes.keep_alive())
    };
    steps.iter().map(need).collect()
}

/// A step's place among the core's requests.
fn name(id: u64, step: usize) -> Owner {
    Owner { connection: STEP_CONNECTION, stream: id * MAX_STEPS as u64 + step as u64 }
}

/// The request that the present step of an open chain becomes.
fn step_request(
    salt: u64,
    id: u64,
    open: &Open,
    key: Option<String>,
    deadline: Timestamp,
) -> IncomingRequest {
    let owner = name(id, open.step);
    let step = &open.chain.steps[open.step];
    IncomingRequest {
        owner,
        // An odd factor keeps different names different.
        reference: format!("{:016x}", (salt ^ owner.stream).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        class: step.class.clone(),
        function: step.function,
        key,
        memory_mb: step.memory_mb,
        concurrency: step.concurrency,
        load_time: step.load_time,
        deadline,
        body: step.body.clone().unwrap_or_else(|| open.last.clone()),
    }
}

/// A step's key: the same for a repeat of the chain, another for each step.
fn step_key(chain: &Chain, step: usize) -> Option<String> {
    Some(format!("{}.{step}", chain.key.as_ref()?))
}

#[cfg(test)]
mod tests;
