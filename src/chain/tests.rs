use super::records::{MAX_MAY_HAVE_RUN, MAY_HAVE_RUN_RETENTION};
use super::*;
use crate::interface::Group;
use proptest::prelude::*;

const NOW: Timestamp = Timestamp(1_000_000_000_000);
const OWNER: Owner = Owner { connection: 1, stream: 7 };

struct Site;

impl Classes for Site {
    fn class(&self, name: &str) -> Option<StepClass> {
        let keyed = |group| Effect::Keyed { group, window: Duration::millis(6_000) };
        let (objective_ms, effect) = match name {
            "check" => (1_500, Effect::Safe),
            "credit" => (1_000, keyed(Group::All)),
            "seat" => (1_000, keyed(Group::Cell)),
            "print" => (1_500, Effect::Unsafe),
            _ => return None,
        };
        Some(StepClass { latency_objective: Duration::millis(objective_ms), effect })
    }
    fn keep_alive(&self) -> Duration {
        Duration::millis(9_000)
    }
    fn cooldown(&self) -> Duration {
        Duration::millis(250)
    }
}

fn step(class: &str, function: u64, load: u64, body: Option<&[u8]>) -> Step {
    Step {
        class: class.to_owned(),
        function: FunctionId(function),
        memory_mb: 1.0,
        concurrency: 1.0,
        load_time: (load > 0).then_some(Duration::millis(load)),
        body: body.map(<[u8]>::to_vec),
    }
}

fn chain(steps: Vec<Step>) -> Chain {
    Chain { owner: OWNER, key: Some("k".to_owned()), deadline: NOW + Duration::millis(3_000), steps }
}

fn served(body: &[u8]) -> Answer {
    Answer { verdict: Verdict::Served(body.to_vec()), expired: false }
}

fn started(actions: &[Action]) -> &IncomingRequest {
    match actions {
        [Action::Start(incoming), rest @ ..]
            if rest.iter().all(|action| matches!(action, Action::Prewarm(..))) =>
        {
            incoming
        }
        other => panic!("{other:?}"),
    }
}

fn ended(actions: &[Action]) -> &End {
    match actions {
        [Action::Finish(OWNER, end), rest @ ..]
            if rest.iter().all(|action| matches!(action, Action::Prewarm(..))) =>
        {
            end
        }
        other => panic!("{other:?}"),
    }
}

/// Records a latency of a function with a loaded instance.
fn record(machine: &mut Machine, class: &str, function: u64, ms: u64) {
    machine.estimates.record_latency(NOW, FunctionId(function), class, Duration::millis(ms));
}

#[test]
fn steps_run_one_after_another_and_the_chain_has_one_answer() {
    let mut machine = Machine::default();
    let steps =
        vec![step("check", 1, 0, Some(b"a")), step("check", 2, 0, None), step("credit", 3, 0, Some(b"c"))];
    let mut at = NOW;
    let mut all = machine.begin(at, chain(steps), &Site);
    for (n, body) in [b"a", b"1", b"c"].into_iter().enumerate() {
        let (owner, incoming) = (started(&all).owner, started(&all));
        assert_eq!(
            incoming.deadline,
            NOW + Duration::millis(1_000),
            "the last step's latency objective, for all"
        );
        assert_eq!((incoming.body.as_slice(), incoming.key.clone()), (&body[..], Some(format!("k.{n}"))));
        assert_eq!(machine.outstanding(), 1);
        at = at + Duration::millis(50);
        all = machine.step_ended(at, owner, served(format!("{}", n + 1).as_bytes()), &Site);
        assert!(
            machine.step_ended(at, owner, served(b"late"), &Site).is_empty(),
            "a second answer is ignored"
        );
    }
    let end = ended(&all);
    assert_eq!((&end.answer, end.step, end.ran, end.short), (&served(b"3"), 2, 3, None));
    assert_eq!(machine.outstanding(), 0);
}

/// With a cold start in the middle, the first step starts only if the time left covers the whole chain.
#[test]
fn no_step_starts_unless_the_time_left_covers_the_rest_of_the_chain() {
    for (load, covered) in [(300, true), (950, false)] {
        let mut machine = Machine::default();
        for function in [1, 3] {
            record(&mut machine, "check", function, 100);
            record(&mut machine, "credit", function, 100);
        }
        let steps =
            vec![step("check", 1, 0, Some(b"")), step("check", 2, load, None), step("credit", 3, 0, None)];
        let all = machine.begin(NOW, chain(steps), &Site);
        assert_eq!(matches!(all[0], Action::Start(_)), covered, "{load}");
        assert!(
            matches!(all[1..], [Action::Prewarm(FunctionId(2), _)]),
            "prewarmed for this try or the next"
        );
        if !covered {
            let end = ended(&all);
            assert_eq!((end.step, end.ran, end.short.is_some()), (0, 0, true));
            assert!(matches!(end.answer.verdict, Verdict::Refused { cooldown } if cooldown.0 > 0));
            continue;
        }
        // The first step took longer than estimated: the second is not started, and the client learns what has run.
        let all = machine.step_ended(NOW + Duration::millis(600), started(&all).owner, served(b""), &Site);
        let end = ended(&all);
        assert_eq!((end.step, end.ran), (1, 1));
        assert_eq!(end.short.unwrap().left, Duration::millis(400));
    }
}

#[test]
fn until_given_up_lets_chains_take_until_their_clients_deadline() {
    let mut machine = Machine { until_given_up: true, ..Machine::default() };
    let all = machine.begin(NOW, chain(vec![step("credit", 1, 2_000, Some(b""))]), &Site);
    assert_eq!(started(&all).deadline, NOW + Duration::millis(3_000));
}

/// The credit step has run, but the chain failed after it: a retry uses its cached answer and does not run it again.
#[test]
fn a_retry_uses_cached_answers_within_their_deduplication_window() {
    let steps =
        || vec![step("check", 1, 0, Some(b"a")), step("credit", 2, 0, None), step("credit", 3, 0, None)];
    let mut machine = Machine::default();
    let first = machine.begin(NOW, chain(steps()), &Site);
    let second = machine.step_ended(NOW, started(&first).owner, served(b"1"), &Site);
    let third = machine.step_ended(NOW, started(&second).owner, served(b"2"), &Site);
    let refused = Answer { verdict: Verdict::Refused { cooldown: Duration(0) }, expired: false };
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
    // A different chain with the same key does not use the cached answer.
    let mut other = steps();
    other[1].function = FunctionId(9);
    let all = machine.begin(NOW, chain(other), &Site);
    let all = machine.step_ended(NOW, started(&all).owner, served(b"1"), &Site);
    assert_eq!(started(&all).function, FunctionId(9));
    machine.withdraw(OWNER);
    // After the window the step must not run again, and its result is no longer known.
    let late = NOW + Duration::millis(6_000);
    let all =
        machine.begin(late, Chain { deadline: late + Duration::millis(3_000), ..chain(steps()) }, &Site);
    let all = machine.step_ended(late, started(&all).owner, served(b"1"), &Site);
    let end = ended(&all);
    assert_eq!((end.step, end.ran, end.unknown), (1, 1, true));
}

/// A credit step was sent and not answered: it is sent again within its deduplication window, and not after it.
#[test]
fn a_step_that_may_have_run_is_sent_again_only_within_its_window() {
    for (at, sent) in [(0, true), (5_500, true), (5_900, false), (60_000, false)] {
        let mut machine = Machine::default();
        let steps = || vec![step("credit", 2, 0, Some(b"c"))];
        let first = machine.begin(NOW, chain(steps()), &Site);
        let (owner, key) = (started(&first).owner, started(&first).key.clone().unwrap());
        machine.may_have_run(NOW, &key, NOW);
        let failed = Answer { verdict: Verdict::Failed, expired: true };
        assert!(!ended(&machine.step_ended(NOW, owner, failed, &Site)).unknown);
        let now = NOW + Duration::millis(at);
        let again =
            machine.begin(now, Chain { deadline: now + Duration::millis(3_000), ..chain(steps()) }, &Site);
        if sent {
            let until = NOW + Duration::millis(5_900);
            assert_eq!(started(&again).deadline, (now + Duration::millis(1_000)).min(until), "{at}");
        } else {
            assert!(ended(&again).unknown, "{at}");
        }
    }
    let mut machine = Machine::default();
    for n in 0..2 * MAX_MAY_HAVE_RUN {
        machine.may_have_run(NOW, &n.to_string(), NOW);
    }
    assert_eq!(machine.records.may_have_run_counts(), (MAX_MAY_HAVE_RUN, MAX_MAY_HAVE_RUN));
    machine.may_have_run(NOW + MAY_HAVE_RUN_RETENTION, "last", NOW);
    assert_eq!(machine.records.may_have_run_counts(), (1, 1));
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// With chains, answers of steps, withdrawals and time in any order, each chain ends exactly once, no step starts
    /// before its predecessor was served or when the time left does not cover it, and no credit step is sent after its
    /// deduplication window.
    #[test]
    fn any_order_of_events_keeps_the_rules_of_chains(
        ops in prop::collection::vec((0u8..5, 0usize..6, 0u64..40), 1..80)
    ) {
        let (mut machine, mut now, mut stream) = (Machine::new(3), NOW, 0);
        let mut running: Vec<IncomingRequest> = vec![];
        let mut unanswered: BTreeMap<Owner, (Vec<Step>, usize)> = BTreeMap::new();
        let mut first_out: BTreeMap<String, Timestamp> = BTreeMap::new();
        for (op, pick, n) in ops {
            let mut actions = vec![];
            match op {
                0 => {
                    stream += 1;
                    let owner = Owner { connection: 1, stream };
                    let first = step("check", n % 3, n * 10, Some(b""));
                    let steps = [first, step("credit", 5, 0, None), step("credit", 6, n * 20, None)];
                    let steps = steps[..1 + pick % 3].to_vec();
                    unanswered.insert(owner, (steps.clone(), 0));
                    let deadline = now + Duration::millis(500 + n * 100);
                    let key = Some(format!("k{}", pick / 3));
                    actions = machine.begin(now, Chain { owner, key, deadline, steps }, &Site);
                }
                1 | 2 if !running.is_empty() => {
                    let step = running.swap_remove(pick % running.len());
                    let key = step.key.clone().unwrap();
                    let answer = if op == 1 || n % 4 == 0 { served(b"ok") } else { Answer { verdict: Verdict::Failed, expired: false } };
                    if step.class == "credit" {
                        machine.may_have_run(now, &key, *first_out.get(&key).unwrap());
                    }
                    actions = machine.step_ended(now, step.owner, answer, &Site);
                }
                3 => {
                    if let Some(owner) = unanswered.keys().nth(pick).copied() {
                        unanswered.remove(&owner);
                        let withdrawn = machine.withdraw(owner);
                        prop_assert!(matches!(withdrawn[..], [Action::Withdraw(_)]));
                        for action in withdrawn {
                            let Action::Withdraw(step) = action else { continue };
                            let Some(at) = running.iter().position(|r| r.owner == step) else { continue };
                            let key = running.swap_remove(at).key.unwrap();
                            if let Some(first) = first_out.get(&key) {
                                machine.may_have_run(now, &key, *first);
                            }
                        }
                    }
                }
                _ => now = now + Duration::millis(n * n),
            }
            for action in actions {
                match action {
                    Action::Start(step) => {
                        let open = machine.open.values().find(|open| current_step_owner(&machine, open) == step.owner);
                        let open = open.expect("the step belongs to an open chain");
                        let (owner, at) = (open.chain.owner, open.step);
                        let (steps, ran) = unanswered.get_mut(&owner).expect("the chain has not been answered");
                        prop_assert!(at >= *ran, "a step started twice in a try");
                        *ran = at;
                        let need = total_time(&needs(&machine.estimates, now, &steps[at..], &Site)).0;
                        prop_assert!((open.chain.deadline - now).0 >= need, "the time left does not cover the rest of the chain");
                        if step.class == "credit" {
                            let first = *first_out.entry(step.key.clone().unwrap()).or_insert(now);
                            prop_assert!(now < first + Duration::millis(6_000) - DEDUP_WINDOW_MARGIN, "sent after its deduplication window");
                        }
                        running.push(step);
                    }
                    Action::Finish(owner, end) => {
                        let (steps, _) = unanswered.remove(&owner).expect("the chain ends once");
                        let served = matches!(end.answer.verdict, Verdict::Served(_));
                        prop_assert_eq!(served, end.ran == steps.len());
                    }
                    Action::Prewarm(..) => {}
                    Action::Withdraw(_) | Action::CancelRetry(..) => prop_assert!(false, "no client has left"),
                    Action::RetryAt(..) => prop_assert!(false, "each of these chains may be repeated"),
                }
            }
            prop_assert_eq!((machine.outstanding(), running.len()), (unanswered.len(), unanswered.len()));
        }
    }
}

fn current_step_owner(machine: &Machine, chain: &OpenChain) -> Owner {
    let id = machine.open.iter().find(|(_, open)| std::ptr::eq(*open, chain)).map(|(id, _)| *id);
    step_owner(id.unwrap_or_default(), chain.step)
}

#[test]
fn withdrawing_a_chain_withdraws_its_step_and_invalid_chains_end_at_once() {
    let mut machine = Machine::default();
    let all = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b""))]), &Site);
    let owner = started(&all).owner;
    assert!(matches!(machine.withdraw(OWNER)[..], [Action::Withdraw(step)] if step == owner));
    assert!(
        machine.withdraw(OWNER).is_empty() && machine.step_ended(NOW, owner, served(b""), &Site).is_empty()
    );
    // A retry while the first try is open is refused; a different chain with its key fails.
    let open = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b""))]), &Site);
    let retry = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b""))]), &Site);
    assert!(matches!(ended(&retry).answer.verdict, Verdict::Refused { .. }));
    let other = machine.begin(NOW, chain(vec![step("check", 2, 0, Some(b""))]), &Site);
    assert_eq!(ended(&other).answer.verdict, Verdict::Failed);
    assert_eq!(machine.step_ended(NOW, started(&open).owner, served(b""), &Site).len(), 1);
    let many = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b"")); MAX_STEPS + 1]), &Site);
    assert_eq!(
        ended(&many).answer.verdict,
        Verdict::Failed,
        "its last step would have the owner of another chain's first"
    );
    let unknown = machine.begin(NOW, chain(vec![step("none", 1, 0, Some(b""))]), &Site);
    assert_eq!(ended(&unknown).answer.verdict, Verdict::Failed);
}

/// Keys, steps and bodies of chains count as memory, in open chains and in the records of finished steps.
#[test]
fn chains_with_long_keys_and_bodies_are_bounded_in_bytes() {
    const LONG: usize = 30_000;
    let mut machine = Machine::default();
    machine.limit_memory(1 << 20);
    let long_chain = |stream: u64| Chain {
        owner: Owner { connection: 1, stream },
        key: Some(format!("{stream}{}", "k".repeat(LONG))),
        deadline: NOW + Duration::millis(3_000),
        steps: vec![step("credit", 1, 0, Some(&[0; LONG])), step("check", 2, 0, None)],
    };
    for stream in 0..100 {
        machine.begin(NOW, long_chain(stream), &Site);
    }
    assert!(
        (15..=17).contains(&machine.outstanding()),
        "{} chains of 60 kB within 1 MB",
        machine.outstanding()
    );
    for stream in 0..100 {
        machine.withdraw(Owner { connection: 1, stream });
    }
    assert_eq!((machine.outstanding(), machine.open_bytes), (0, 0));
    for stream in 0..1_000 {
        let first = machine.begin(NOW, long_chain(stream), &Site);
        let second = machine.step_ended(NOW, started(&first).owner, served(&[0; LONG]), &Site);
        machine.step_ended(NOW, started(&second).owner, served(b""), &Site);
    }
    let (cached_bytes, key_bytes) = machine.records.byte_counts();
    assert!(cached_bytes <= 4 << 20 && key_bytes <= 1 << 20, "{cached_bytes} and {key_bytes} bytes");
    assert_eq!(machine.open_bytes, 0);
}

fn refused(expired: bool) -> Answer {
    Answer { verdict: Verdict::Refused { cooldown: Duration::millis(250) }, expired }
}

/// The first step of a chain and whether a refusal is harmless once it has run.
const FIRST_STEPS: [(&str, bool, bool); 5] = [
    // Class, whether the chain has a key, whether it may be repeated.
    ("check", true, true),
    ("credit", true, true),
    ("credit", false, false),
    ("seat", true, false),
    ("print", true, false),
];

fn chain_from(class: &str, has_key: bool, later: Step) -> Chain {
    let chain = chain(vec![step(class, 1, 0, Some(b"a")), later]);
    Chain { key: chain.key.filter(|_| has_key), ..chain }
}

/// A chain whose time is over in a later step is refused only if its steps that ran may run again.
#[test]
fn a_chain_is_refused_only_if_the_steps_that_ran_may_run_again() {
    for (class, has_key, may_repeat) in FIRST_STEPS {
        let later = || step("check", 2, 0, None);
        let assert_wording = |end: &End, cause: &str| {
            let is_refused = matches!(end.answer.verdict, Verdict::Refused { .. });
            assert_eq!(
                (is_refused, end.step, end.ran),
                (may_repeat, 1, 1),
                "{cause}, {class}, key: {has_key}"
            );
        };
        let mut machine = Machine::default();
        let first = machine.begin(NOW, chain_from(class, has_key, later()), &Site);
        let second = machine.step_ended(NOW, started(&first).owner, served(b"1"), &Site);
        let end = machine.step_ended(NOW, started(&second).owner, refused(true), &Site);
        assert_wording(ended(&end), "refused at the deadline");
        // The first step took so long that no time is left for the second.
        let mut machine = Machine::default();
        record(&mut machine, "check", 2, 200);
        let first = machine.begin(NOW, chain_from(class, has_key, later()), &Site);
        let end =
            machine.step_ended(NOW + Duration::millis(1_400), started(&first).owner, served(b"1"), &Site);
        assert_wording(ended(&end), "the time left does not cover the step");
        assert_eq!(ended(&end).short.map(|short| short.left), Some(Duration::millis(100)));
    }
}

/// A chain that its client must not repeat is not given up while it can be served: a refused step is tried again.
#[test]
fn a_refused_step_is_tried_again_if_the_chain_must_not_be_repeated() {
    for (class, has_key, may_repeat) in FIRST_STEPS {
        let mut machine = Machine::default();
        let first = machine.begin(NOW, chain_from(class, has_key, step("check", 2, 0, None)), &Site);
        let second = machine.step_ended(NOW, started(&first).owner, served(b"1"), &Site);
        let (owner, reference) = (started(&second).owner, started(&second).reference.clone());
        let actions = machine.step_ended(NOW, owner, refused(false), &Site);
        if may_repeat {
            assert!(matches!(ended(&actions).answer.verdict, Verdict::Refused { .. }), "{class}");
            continue;
        }
        let [Action::RetryAt(at, id)] = actions[..] else { panic!("{class}: {actions:?}") };
        assert_eq!((at, machine.waiting_for_retry()), (NOW + Duration::millis(250), 1));
        assert!(machine.retry_step(NOW, id, &Site).is_empty(), "too early");
        let again = machine.retry_step(at, id, &Site);
        assert_eq!((started(&again).owner, started(&again).body.as_slice()), (owner, &b"1"[..]));
        assert_ne!(started(&again).reference, reference);
        let end = machine.step_ended(at, owner, served(b"2"), &Site);
        assert_eq!((&ended(&end).answer, ended(&end).ran), (&served(b"2"), 2));
        assert!(machine.retry_step(at, id, &Site).is_empty() && machine.waiting_for_retry() == 0);
    }
}

/// The retries of a step end: at the deadline, after a number of them, and when the client leaves.
#[test]
fn the_retries_of_a_step_end() {
    for until_given_up in [false, true] {
        let mut machine = Machine { until_given_up, ..Machine::default() };
        let long = Chain {
            deadline: NOW + Duration::millis(3_600_000),
            ..chain_from("print", true, step("check", 2, 0, None))
        };
        let first = machine.begin(NOW, long, &Site);
        let second = machine.step_ended(NOW, started(&first).owner, served(b"1"), &Site);
        let owner = started(&second).owner;
        let mut now = NOW;
        let mut retries = 0;
        let end = loop {
            let actions = machine.step_ended(now, owner, refused(false), &Site);
            let [Action::RetryAt(at, id)] = actions[..] else { break actions };
            now = at;
            retries += 1;
            started(&machine.retry_step(now, id, &Site));
        };
        assert_eq!(ended(&end).answer.verdict, Verdict::Failed);
        // A pause is 250 ms; the deadline is 1.5 s after the start, unless the chain may take until it is given up.
        assert_eq!(retries, if until_given_up { MAX_STEP_RETRIES } else { 5 });
    }
    let mut machine = Machine::default();
    let first = machine.begin(NOW, chain_from("print", true, step("check", 2, 0, None)), &Site);
    let second = machine.step_ended(NOW, started(&first).owner, served(b"1"), &Site);
    let actions = machine.step_ended(NOW, started(&second).owner, refused(false), &Site);
    let [Action::RetryAt(at, id)] = actions[..] else { panic!("{actions:?}") };
    assert!(
        matches!(machine.withdraw(OWNER)[..], [Action::CancelRetry(cancelled, of)] if (cancelled, of) == (at, id))
    );
    assert!(machine.retry_step(at, id, &Site).is_empty());
}

/// While a chain is in progress, its repeat is refused only if all of its steps may run again.
#[test]
fn a_repeat_of_an_open_chain_is_refused_only_if_its_steps_may_run_again() {
    for (class, has_key, may_repeat) in FIRST_STEPS.into_iter().filter(|(_, has_key, _)| *has_key) {
        let mut machine = Machine::default();
        let twice = || chain_from(class, has_key, step("check", 2, 0, None));
        started(&machine.begin(NOW, twice(), &Site));
        let repeat = machine.begin(NOW, twice(), &Site);
        let is_refused = matches!(ended(&repeat).answer.verdict, Verdict::Refused { .. });
        assert_eq!(is_refused, may_repeat, "{class}");
    }
}

/// A step that may have run in an earlier try counts in the next try as well.
#[test]
fn a_step_that_may_have_run_earlier_decides_whether_a_repeat_is_refused() {
    for (class, may_repeat) in [("credit", true), ("seat", false)] {
        let mut machine = Machine::default();
        let steps = vec![step("check", 1, 0, Some(b"a")), step(class, 2, 0, None)];
        machine.may_have_run(NOW, "k.1", NOW);
        let first = machine.begin(NOW, chain(steps), &Site);
        let end = machine.step_ended(NOW, started(&first).owner, refused(true), &Site);
        let is_refused = matches!(ended(&end).answer.verdict, Verdict::Refused { .. });
        assert_eq!(is_refused, may_repeat, "{class}");
    }
}

/// A chain that must not be repeated goes on while the time covers its next step, though not all steps after it.
#[test]
fn a_chain_that_must_not_be_repeated_goes_on_while_the_next_step_is_covered() {
    for (class, goes_on) in [("check", false), ("print", true)] {
        let mut machine = Machine::default();
        for function in [2, 3] {
            record(&mut machine, "check", function, 500);
        }
        let steps = vec![step(class, 1, 0, Some(b"")), step("check", 2, 0, None), step("check", 3, 0, None)];
        let first = machine.begin(NOW, chain(steps), &Site);
        let all = machine.step_ended(NOW + Duration::millis(700), started(&first).owner, served(b""), &Site);
        assert_eq!(matches!(all[0], Action::Start(_)), goes_on, "{class}: {all:?}");
    }
}
