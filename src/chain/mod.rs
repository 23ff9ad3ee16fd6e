//! Chains: steps one after another under one deadline, with one final answer. A state machine without I/O.

pub mod estimate;

use crate::call::{Answer, Incoming, Owner, Verdict};
use crate::interface::{FunctionId, Span, Time};
use estimate::{Ahead, Estimates, Need};
use std::collections::{BTreeMap, VecDeque};

/// Steps of one chain at most.
pub const STEPS: usize = 8;
/// The connection number under which steps are calls of the core; no front has it.
pub const STEP: u64 = u64::MAX;
/// Answers of finished steps that are kept for repeats, and their bytes.
const KEPT: (usize, usize) = (1024, 4 << 20);
/// Keyed steps of which it is kept that they may have run, and for how long: clients have given up long before.
const MAY_HAVE_RUN: (usize, Span) = (4096, Span::millis(600_000));
/// A keyed step is written this long before its group forgets, or not at all.
const KEY_MARGIN: Span = Span::millis(100);

/// A step as a client words it.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Name of the class.
    pub class: String,
    /// The function called.
    pub function: FunctionId,
    /// Memory of one copy, in MB.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub lanes: f64,
    /// Usual time of a load, where told.
    pub load_time: Option<Span>,
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
    pub deadline: Time,
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
    pub left: Span,
    /// What the step and all after it need.
    pub need: Span,
}

/// What is to be done.
#[derive(Debug)]
pub enum Do {
    /// Take this call; its answer goes to [`Machine::step_ended`].
    Start(Incoming),
    /// Call a step off.
    Withdraw(Owner),
    /// Have a copy of a later step's function stand by then, with the memory of one.
    Want(FunctionId, f64),
    /// The chain's one end.
    Finish(Owner, End),
}

/// What the machine asks of the site: the time wanted for a class, and the window in which a repeat is dropped.
pub trait Classes {
    /// Wanted time and window, of a class that may be called.
    fn class(&self, name: &str) -> Option<(Span, Option<Span>)>;
    /// How long an idle copy stays.
    fn keep(&self) -> Span;
    /// How long a refused client is told to stay away.
    fn cooldown(&self) -> Span;
}

struct Open {
    chain: Chain,
    step: usize,
    last: Vec<u8>,
    started: Time,
}

struct Done {
    key: String,
    step: Step,
    body: Vec<u8>,
    until: Time,
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
    out: BTreeMap<String, Time>,
    out_order: VecDeque<(Time, String)>,
}

impl Machine {
    /// No chains yet. The salt is to differ between schedulers.
    pub fn new(salt: u64) -> Machine {
        Machine { salt, ..Machine::default() }
    }

    /// A chain has come. Its deadline is also the wanted time of its last step's class.
    pub fn begin(&mut self, now: Time, mut chain: Chain, classes: &impl Classes) -> Vec<Do> {
        let few = chain.steps.len() <= STEPS;
        let wanted = chain.steps.last().filter(|_| few).and_then(|step| classes.class(&step.class));
        let Some((aim, _)) = wanted else {
            let answer = Answer { verdict: Verdict::Failed, expired: false };
            return vec![Do::Finish(chain.owner, End::at(0, answer))];
        };
        let twin = |open: &&Open| chain.key.is_some() && open.chain.key == chain.key;
        if let Some(twin) = self.open.values().find(twin) {
            // The first is still at work on it; what has another content is another chain, and no good one.
            let same = twin.chain.steps == chain.steps;
            let verdict =
                if same { Verdict::Refused { cooldown: classes.cooldown() } } else { Verdict::Failed };
            let answer = Answer { verdict, expired: false };
            return vec![Do::Finish(chain.owner, End::at(0, answer))];
        }
        if !self.until_given_up {
            chain.deadline = chain.deadline.min(now + aim);
        }
        let id = self.next;
        self.next += 1;
        self.open.insert(id, Open { chain, step: 0, last: vec![], started: now });
        self.go_on(now, id, classes)
    }

    /// A step has had its final answer.
    pub fn step_ended(&mut self, now: Time, owner: Owner, answer: Answer, classes: &impl Classes) -> Vec<Do> {
        let id = owner.stream / STEPS as u64;
        let Some(open) = self.open.get_mut(&id).filter(|open| owner == name(id, open.step)) else {
            return vec![];
        };
        let Verdict::Served(body) = answer.verdict else {
            let (step, owner) = (open.step, open.chain.owner);
            self.open.remove(&id);
            return vec![Do::Finish(owner, End::at(step, answer))];
        };
        let step = &open.chain.steps[open.step];
        self.estimates.note(now, step.function, &step.class, now - open.started);
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
    pub fn withdraw(&mut self, owner: Owner) -> Vec<Do> {
        let Some(id) = self.open.iter().find(|(_, open)| open.chain.owner == owner).map(|(id, _)| *id) else {
            return vec![];
        };
        let step = self.open.remove(&id).map_or(0, |open| open.step);
        vec![Do::Withdraw(name(id, step))]
    }

    /// Who waits for the chain of which this is a step.
    pub fn owner(&self, step: Owner) -> Option<Owner> {
        self.open.get(&(step.stream / STEPS as u64)).map(|open| open.chain.owner)
    }

    /// A step of this key may have run since then: its attempt went out, and had no answer that says otherwise.
    pub fn may_have_run(&mut self, now: Time, key: &str, since: Time) {
        if !self.out.contains_key(key) {
            self.out.insert(key.to_owned(), since);
            self.out_order.push_back((now, key.to_owned()));
        }
        let old = |(at, _): &(Time, String)| *at + MAY_HAVE_RUN.1 <= now;
        while self.out.len() > MAY_HAVE_RUN.0 || self.out_order.front().is_some_and(old) {
            let Some((_, key)) = self.out_order.pop_front() else { return };
            self.out.remove(&key);
        }
    }

    /// A call that belongs to no chain was answered after so long.
    pub fn note(&mut self, now: Time, function: FunctionId, class: &str, took: Span) {
        self.estimates.note(now, function, class, took);
    }

    /// Chains that are owed an answer.
    pub fn owed(&self) -> usize {
        self.open.len()
    }

    /// Starts the next step, or ends the chain.
    fn go_on(&mut self, now: Time, id: u64, classes: &impl Classes) -> Vec<Do> {
        loop {
            let Some(open) = self.open.get_mut(&id) else { return vec![] };
            let (chain, at) = (&open.chain, open.step);
            let Some(step) = chain.steps.get(at) else {
                let (owner, body) = (chain.owner, std::mem::take(&mut open.last));
                self.open.remove(&id);
                let answer = Answer { verdict: Verdict::Served(body), expired: false };
                return vec![Do::Finish(owner, End { ran: at, ..End::at(at - 1, answer) })];
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
            let until = first.and_then(|first| Some(first + window? - KEY_MARGIN));
            let needs = needs(&self.estimates, now, &chain.steps[at..], classes);
            let cold: Vec<Do> = chain.steps[at..]
                .iter()
                .zip(&needs)
                .filter(|(_, need)| need.load.0 > 0)
                .map(|(step, _)| Do::Want(step.function, step.memory_mb))
                .collect();
            if until.is_some_and(|until| until <= now + along(&needs[..1])) {
                let owner = chain.owner;
                self.open.remove(&id);
                let answer = Answer { verdict: Verdict::Failed, expired: false };
                let end = End { unknown: true, ..End::at(at, answer) };
                return vec![Do::Finish(owner, end)];
            }
            let (left, need) = (chain.deadline - now, along(&needs));
            if left < need {
                let owner = chain.owner;
                self.open.remove(&id);
                // Steps before may have run, and their keys hold: coming back is harmless.
                let verdict = Verdict::Refused { cooldown: classes.cooldown() };
                let answer = Answer { verdict, expired: left.0 == 0 };
                let end = End { short: Some(Short { left, need }), ..End::at(at, answer) };
                // By the time it comes back copies may stand: else a chain that is cold would be so for ever.
                return std::iter::once(Do::Finish(owner, end)).chain(cold).collect();
            }
            let incoming = Incoming {
                owner: name(id, at),
                // An odd factor keeps different names different.
                reference: format!(
                    "{:016x}",
                    (self.salt ^ name(id, at).stream).wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ),
                class: step.class.clone(),
                function: step.function,
                key,
                memory_mb: step.memory_mb,
                lanes: step.lanes,
                load_time: step.load_time,
                deadline: until.map_or(chain.deadline, |until| until.min(chain.deadline)),
                body: step.body.clone().unwrap_or_else(|| open.last.clone()),
            };
            open.started = now;
            // What later steps lack is loaded while this one runs; its own call loads for itself.
            let own = usize::from(needs[0].load.0 > 0);
            return std::iter::once(Do::Start(incoming)).chain(cold.into_iter().skip(own)).collect();
        }
    }

    fn forget(&mut self, now: Time) {
        let many = |machine: &Machine| machine.done.len() > KEPT.0 || machine.bytes > KEPT.1;
        while many(self) || self.done.front().is_some_and(|done| done.until <= now) {
            let Some(done) = self.done.pop_front() else { return };
            self.bytes -= done.body.len();
        }
    }
}

/// How long these steps take one after another, with the copies that later ones lack ordered now.
fn along(needs: &[Need]) -> Span {
    let end = |at: u64, need: &Need| at.max(need.load.0) + need.run.0;
    Span(needs.iter().fold(0, end))
}

/// What each of these steps needs.
fn needs(estimates: &Estimates, now: Time, steps: &[Step], classes: &impl Classes) -> Vec<Need> {
    let need = |step: &Step| {
        let aim = classes.class(&step.class).map_or(Span(0), |(aim, _)| aim);
        let (function, load_time) = (step.function, step.load_time);
        let ahead = Ahead { function, class: &step.class, aim, load_time };
        estimates.need(now, &ahead, classes.keep())
    };
    steps.iter().map(need).collect()
}

/// A step's place among the core's calls.
fn name(id: u64, step: usize) -> Owner {
    Owner { connection: STEP, stream: id * STEPS as u64 + step as u64 }
}

/// A step's key: the same for a repeat of the chain, another for each step.
fn step_key(chain: &Chain, step: usize) -> Option<String> {
    Some(format!("{}.{step}", chain.key.as_ref()?))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const NOW: Time = Time(1_000_000_000_000);
    const OWNER: Owner = Owner { connection: 1, stream: 7 };

    struct Site;

    impl Classes for Site {
        fn class(&self, name: &str) -> Option<(Span, Option<Span>)> {
            match name {
                "check" => Some((Span::millis(1_500), None)),
                "credit" => Some((Span::millis(1_000), Some(Span::millis(6_000)))),
                _ => None,
            }
        }
        fn keep(&self) -> Span {
            Span::millis(9_000)
        }
        fn cooldown(&self) -> Span {
            Span::millis(250)
        }
    }

    fn step(class: &str, function: u64, load: u64, body: Option<&[u8]>) -> Step {
        Step {
            class: class.to_owned(),
            function: FunctionId(function),
            memory_mb: 1.0,
            lanes: 1.0,
            load_time: (load > 0).then_some(Span::millis(load)),
            body: body.map(<[u8]>::to_vec),
        }
    }

    fn chain(steps: Vec<Step>) -> Chain {
        Chain { owner: OWNER, key: Some("k".to_owned()), deadline: NOW + Span::millis(3_000), steps }
    }

    fn served(body: &[u8]) -> Answer {
        Answer { verdict: Verdict::Served(body.to_vec()), expired: false }
    }

    fn started(all: &[Do]) -> &Incoming {
        match all {
            [Do::Start(incoming), wants @ ..] if wants.iter().all(|d| matches!(d, Do::Want(..))) => incoming,
            other => panic!("{other:?}"),
        }
    }

    fn ended(all: &[Do]) -> &End {
        match all {
            [Do::Finish(OWNER, end), wants @ ..] if wants.iter().all(|d| matches!(d, Do::Want(..))) => end,
            other => panic!("{other:?}"),
        }
    }

    /// Learns that a function takes so long, where a copy stands.
    fn learn(machine: &mut Machine, class: &str, function: u64, ms: u64) {
        machine.estimates.note(NOW, FunctionId(function), class, Span::millis(ms));
    }

    #[test]
    fn steps_run_one_after_another_and_have_one_answer() {
        let mut machine = Machine::default();
        let steps = vec![
            step("check", 1, 0, Some(b"a")),
            step("check", 2, 0, None),
            step("credit", 3, 0, Some(b"c")),
        ];
        let mut at = NOW;
        let mut all = machine.begin(at, chain(steps), &Site);
        for (n, body) in [b"a", b"1", b"c"].into_iter().enumerate() {
            let (owner, incoming) = (started(&all).owner, started(&all));
            assert_eq!(incoming.deadline, NOW + Span::millis(1_000), "the last step's wanted time, for all");
            assert_eq!((incoming.body.as_slice(), incoming.key.clone()), (&body[..], Some(format!("k.{n}"))));
            assert_eq!(machine.owed(), 1);
            at = at + Span::millis(50);
            all = machine.step_ended(at, owner, served(format!("{}", n + 1).as_bytes()), &Site);
            assert!(machine.step_ended(at, owner, served(b"late"), &Site).is_empty(), "told twice");
        }
        let end = ended(&all);
        assert_eq!((&end.answer, end.step, end.ran, end.short), (&served(b"3"), 2, 3, None));
        assert_eq!(machine.owed(), 0);
    }

    /// A cold load in the middle: the first step starts only if all of it fits, and nothing starts in vain.
    #[test]
    fn no_step_starts_that_the_time_does_not_cover() {
        for (load, covered) in [(300, true), (950, false)] {
            let mut machine = Machine::default();
            for function in [1, 3] {
                learn(&mut machine, "check", function, 100);
                learn(&mut machine, "credit", function, 100);
            }
            let steps = vec![
                step("check", 1, 0, Some(b"")),
                step("check", 2, load, None),
                step("credit", 3, 0, None),
            ];
            let all = machine.begin(NOW, chain(steps), &Site);
            assert_eq!(matches!(all[0], Do::Start(_)), covered, "{load}");
            assert!(matches!(all[1..], [Do::Want(FunctionId(2), _)]), "ordered ahead, or for the next try");
            if !covered {
                let end = ended(&all);
                assert_eq!((end.step, end.ran, end.short.is_some()), (0, 0, true));
                assert!(matches!(end.answer.verdict, Verdict::Refused { cooldown } if cooldown.0 > 0));
                continue;
            }
            // It took longer than thought: the second is not started, and the client hears what has run.
            let all = machine.step_ended(NOW + Span::millis(600), started(&all).owner, served(b""), &Site);
            let end = ended(&all);
            assert_eq!((end.step, end.ran), (1, 1));
            assert_eq!(end.short.unwrap().left, Span::millis(400));
        }
    }

    #[test]
    fn an_operator_may_let_chains_take_until_clients_give_up() {
        let mut machine = Machine { until_given_up: true, ..Machine::default() };
        let all = machine.begin(NOW, chain(vec![step("credit", 1, 2_000, Some(b""))]), &Site);
        assert_eq!(started(&all).deadline, NOW + Span::millis(3_000));
    }

    /// The credit step has run and its answer was lost with the chain: a repeat does not run it again.
    #[test]
    fn a_repeat_takes_the_answers_of_finished_steps_inside_their_window() {
        let steps =
            || vec![step("check", 1, 0, Some(b"a")), step("credit", 2, 0, None), step("credit", 3, 0, None)];
        let mut machine = Machine::default();
        let first = machine.begin(NOW, chain(steps()), &Site);
        let second = machine.step_ended(NOW, started(&first).owner, served(b"1"), &Site);
        let third = machine.step_ended(NOW, started(&second).owner, served(b"2"), &Site);
        let refused = Answer { verdict: Verdict::Refused { cooldown: Span(0) }, expired: false };
        let end = machine.step_ended(NOW, started(&third).owner, refused, &Site);
        assert_eq!((ended(&end).step, ended(&end).ran), (2, 2));
        let again = machine.begin(NOW, chain(steps()), &Site);
        let again = machine.step_ended(NOW, started(&again).owner, served(b"1"), &Site);
        let incoming = started(&again);
        assert_eq!(
            (incoming.function, incoming.body.as_slice()),
            (FunctionId(3), &b"2"[..]),
            "the credit step is not run again"
        );
        machine.withdraw(OWNER);
        // Another content under the same key has no part in it.
        let mut other = steps();
        other[1].function = FunctionId(9);
        let all = machine.begin(NOW, chain(other), &Site);
        let all = machine.step_ended(NOW, started(&all).owner, served(b"1"), &Site);
        assert_eq!(started(&all).function, FunctionId(9));
        machine.withdraw(OWNER);
        // Once the window has passed it may not run again, and what came of it is no longer known.
        let late = NOW + Span::millis(6_000);
        let all =
            machine.begin(late, Chain { deadline: late + Span::millis(3_000), ..chain(steps()) }, &Site);
        let all = machine.step_ended(late, started(&all).owner, served(b"1"), &Site);
        let end = ended(&all);
        assert_eq!((end.step, end.ran, end.unknown), (1, 1, true));
    }

    /// A credit step that went out and had no answer: sent again inside its window, and not a moment later.
    #[test]
    fn a_step_that_may_have_run_is_sent_again_inside_its_window_only() {
        for (at, sent) in [(0, true), (5_500, true), (5_900, false), (60_000, false)] {
            let mut machine = Machine::default();
            let steps = || vec![step("credit", 2, 0, Some(b"c"))];
            let first = machine.begin(NOW, chain(steps()), &Site);
            let (owner, key) = (started(&first).owner, started(&first).key.clone().unwrap());
            machine.may_have_run(NOW, &key, NOW);
            let failed = Answer { verdict: Verdict::Failed, expired: true };
            assert!(!ended(&machine.step_ended(NOW, owner, failed, &Site)).unknown);
            let now = NOW + Span::millis(at);
            let again =
                machine.begin(now, Chain { deadline: now + Span::millis(3_000), ..chain(steps()) }, &Site);
            match sent {
                true => {
                    let until = NOW + Span::millis(5_900);
                    assert_eq!(started(&again).deadline, (now + Span::millis(1_000)).min(until), "{at}");
                }
                false => assert!(ended(&again).unknown, "{at}"),
            }
        }
        let mut machine = Machine::default();
        for n in 0..2 * MAY_HAVE_RUN.0 {
            machine.may_have_run(NOW, &n.to_string(), NOW);
        }
        assert_eq!((machine.out.len(), machine.out_order.len()), (MAY_HAVE_RUN.0, MAY_HAVE_RUN.0));
        machine.may_have_run(NOW + MAY_HAVE_RUN.1, "last", NOW);
        assert_eq!(machine.out.len(), 1);
    }

    proptest! {
        #![proptest_config(crate::drawn())]

        /// Chains, ends of steps, clients that leave and time in any order: one end each, no step before the one
        /// before it was served, none that the time does not cover, no credit step beyond what its key allows.
        #[test]
        fn any_order_of_events_keeps_the_rules_of_chains(
            ops in prop::collection::vec((0u8..5, 0usize..6, 0u64..40), 1..80)
        ) {
            let (mut machine, mut now, mut stream) = (Machine::new(3), NOW, 0);
            let mut running: Vec<Incoming> = vec![];
            let mut owed: BTreeMap<Owner, (Vec<Step>, usize)> = BTreeMap::new();
            let mut first_out: BTreeMap<String, Time> = BTreeMap::new();
            for (op, pick, n) in ops {
                let mut all = vec![];
                match op {
                    0 => {
                        stream += 1;
                        let owner = Owner { connection: 1, stream };
                        let first = step("check", n % 3, n * 10, Some(b""));
                        let steps = [first, step("credit", 5, 0, None), step("credit", 6, n * 20, None)];
                        let steps = steps[..1 + pick % 3].to_vec();
                        owed.insert(owner, (steps.clone(), 0));
                        let deadline = now + Span::millis(500 + n * 100);
                        let key = Some(format!("k{}", pick / 3));
                        all = machine.begin(now, Chain { owner, key, deadline, steps }, &Site);
                    }
                    1 | 2 if !running.is_empty() => {
                        let step = running.swap_remove(pick % running.len());
                        let key = step.key.clone().unwrap();
                        let answer = match op == 1 || n % 4 == 0 {
                            true => served(b"ok"),
                            false => Answer { verdict: Verdict::Failed, expired: false },
                        };
                        if step.class == "credit" {
                            machine.may_have_run(now, &key, *first_out.get(&key).unwrap());
                        }
                        all = machine.step_ended(now, step.owner, answer, &Site);
                    }
                    3 => {
                        if let Some(owner) = owed.keys().nth(pick).copied() {
                            owed.remove(&owner);
                            let off = machine.withdraw(owner);
                            prop_assert!(matches!(off[..], [Do::Withdraw(_)]));
                            for what in off {
                                let Do::Withdraw(step) = what else { continue };
                                let Some(at) = running.iter().position(|r| r.owner == step) else { continue };
                                let key = running.swap_remove(at).key.unwrap();
                                if let Some(first) = first_out.get(&key) {
                                    machine.may_have_run(now, &key, *first);
                                }
                            }
                        }
                    }
                    _ => now = now + Span::millis(n * n),
                }
                for what in all {
                    match what {
                        Do::Start(step) => {
                            let open = machine.open.values().find(|open| name_of(&machine, open) == step.owner);
                            let open = open.expect("of an open chain");
                            let (owner, at) = (open.chain.owner, open.step);
                            let (steps, ran) = owed.get_mut(&owner).expect("owed");
                            prop_assert!(at >= *ran, "no step twice in a try");
                            *ran = at;
                            let need = along(&needs(&machine.estimates, now, &steps[at..], &Site)).0;
                            prop_assert!((open.chain.deadline - now).0 >= need, "not covered");
                            if step.class == "credit" {
                                let first = *first_out.entry(step.key.clone().unwrap()).or_insert(now);
                                prop_assert!(now < first + Span::millis(6_000) - KEY_MARGIN, "beyond its key");
                            }
                            running.push(step);
                        }
                        Do::Finish(owner, end) => {
                            let (steps, _) = owed.remove(&owner).expect("one end each");
                            let all = matches!(end.answer.verdict, Verdict::Served(_));
                            prop_assert_eq!(all, end.ran == steps.len());
                        }
                        Do::Want(..) => {}
                        Do::Withdraw(_) => prop_assert!(false, "nobody has left"),
                    }
                }
                prop_assert_eq!((machine.owed(), running.len()), (owed.len(), owed.len()));
            }
        }
    }

    fn name_of(machine: &Machine, open: &Open) -> Owner {
        let id = machine.open.iter().find(|(_, o)| std::ptr::eq(*o, open)).map(|(id, _)| *id);
        name(id.unwrap_or_default(), open.step)
    }

    #[test]
    fn a_client_that_leaves_calls_its_step_off() {
        let mut machine = Machine::default();
        let all = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b""))]), &Site);
        let owner = started(&all).owner;
        assert!(matches!(machine.withdraw(OWNER)[..], [Do::Withdraw(step)] if step == owner));
        assert!(
            machine.withdraw(OWNER).is_empty()
                && machine.step_ended(NOW, owner, served(b""), &Site).is_empty()
        );
        // A repeat while the first is open waits for it; another chain under its key is none.
        let open = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b""))]), &Site);
        let twin = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b""))]), &Site);
        assert!(matches!(ended(&twin).answer.verdict, Verdict::Refused { .. }));
        let other = machine.begin(NOW, chain(vec![step("check", 2, 0, Some(b""))]), &Site);
        assert_eq!(ended(&other).answer.verdict, Verdict::Failed);
        assert_eq!(machine.step_ended(NOW, started(&open).owner, served(b""), &Site).len(), 1);
        let many = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b"")); STEPS + 1]), &Site);
        assert_eq!(ended(&many).answer.verdict, Verdict::Failed, "its steps would be taken for another's");
        let unknown = machine.begin(NOW, chain(vec![step("none", 1, 0, Some(b""))]), &Site);
        assert_eq!(ended(&unknown).answer.verdict, Verdict::Failed);
    }
}
