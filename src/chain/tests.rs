use super::*;
use proptest::prelude::*;

const NOW: Timestamp = Timestamp(1_000_000_000_000);
const OWNER: Owner = Owner { connection: 1, stream: 7 };

struct Site;

impl Classes for Site {
    fn class(&self, name: &str) -> Option<(Duration, Option<Duration>)> {
        match name {
            "check" => Some((Duration::millis(1_500), None)),
            "credit" => Some((Duration::millis(1_000), Some(Duration::millis(6_000)))),
            _ => None,
        }
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

fn started(all: &[Action]) -> &IncomingRequest {
    match all {
        [Action::Start(incoming), wants @ ..] if wants.iter().all(|d| matches!(d, Action::Prewarm(..))) => {
            incoming
        }
        other => panic!("{other:?}"),
    }
}

fn ended(all: &[Action]) -> &End {
    match all {
        [Action::Finish(OWNER, end), wants @ ..]
            if wants.iter().all(|d| matches!(d, Action::Prewarm(..))) =>
        {
            end
        }
        other => panic!("{other:?}"),
    }
}

/// Learns that a function takes so long, where a instance stands.
fn learn(machine: &mut Machine, class: &str, function: u64, ms: u64) {
    machine.estimates.record_latency(NOW, FunctionId(function), class, Duration::millis(ms));
}

#[test]
fn steps_run_one_after_another_and_have_one_answer() {
    let mut machine = Machine::default();
    let steps =
        vec![step("check", 1, 0, Some(b"a")), step("check", 2, 0, None), step("credit", 3, 0, Some(b"c"))];
    let mut at = NOW;
    let mut all = machine.begin(at, chain(steps), &Site);
    for (n, body) in [b"a", b"1", b"c"].into_iter().enumerate() {
        let (owner, incoming) = (started(&all).owner, started(&all));
        assert_eq!(incoming.deadline, NOW + Duration::millis(1_000), "the last step's wanted time, for all");
        assert_eq!((incoming.body.as_slice(), incoming.key.clone()), (&body[..], Some(format!("k.{n}"))));
        assert_eq!(machine.outstanding(), 1);
        at = at + Duration::millis(50);
        all = machine.step_ended(at, owner, served(format!("{}", n + 1).as_bytes()), &Site);
        assert!(machine.step_ended(at, owner, served(b"late"), &Site).is_empty(), "told twice");
    }
    let end = ended(&all);
    assert_eq!((&end.answer, end.step, end.ran, end.short), (&served(b"3"), 2, 3, None));
    assert_eq!(machine.outstanding(), 0);
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
        let steps =
            vec![step("check", 1, 0, Some(b"")), step("check", 2, load, None), step("credit", 3, 0, None)];
        let all = machine.begin(NOW, chain(steps), &Site);
        assert_eq!(matches!(all[0], Action::Start(_)), covered, "{load}");
        assert!(
            matches!(all[1..], [Action::Prewarm(FunctionId(2), _)]),
            "ordered ahead, or for the next try"
        );
        if !covered {
            let end = ended(&all);
            assert_eq!((end.step, end.ran, end.short.is_some()), (0, 0, true));
            assert!(matches!(end.answer.verdict, Verdict::Refused { cooldown } if cooldown.0 > 0));
            continue;
        }
        // It took longer than thought: the second is not started, and the client hears what has run.
        let all = machine.step_ended(NOW + Duration::millis(600), started(&all).owner, served(b""), &Site);
        let end = ended(&all);
        assert_eq!((end.step, end.ran), (1, 1));
        assert_eq!(end.short.unwrap().left, Duration::millis(400));
    }
}

#[test]
fn an_operator_may_let_chains_take_until_clients_give_up() {
    let mut machine = Machine { until_given_up: true, ..Machine::default() };
    let all = machine.begin(NOW, chain(vec![step("credit", 1, 2_000, Some(b""))]), &Site);
    assert_eq!(started(&all).deadline, NOW + Duration::millis(3_000));
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
    // Another content under the same key has no part in it.
    let mut other = steps();
    other[1].function = FunctionId(9);
    let all = machine.begin(NOW, chain(other), &Site);
    let all = machine.step_ended(NOW, started(&all).owner, served(b"1"), &Site);
    assert_eq!(started(&all).function, FunctionId(9));
    machine.withdraw(OWNER);
    // Once the window has passed it may not run again, and what came of it is no longer known.
    let late = NOW + Duration::millis(6_000);
    let all =
        machine.begin(late, Chain { deadline: late + Duration::millis(3_000), ..chain(steps()) }, &Site);
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
    assert_eq!((machine.out.len(), machine.out_order.len()), (MAX_MAY_HAVE_RUN, MAX_MAY_HAVE_RUN));
    machine.may_have_run(NOW + MAY_HAVE_RUN_LASTS, "last", NOW);
    assert_eq!(machine.out.len(), 1);
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// Chains, ends of steps, clients that leave and time in any order: one end each, no step before the one
    /// before it was served, none that the time does not cover, no credit step beyond what its key allows.
    #[test]
    fn any_order_of_events_keeps_the_rules_of_chains(
        ops in prop::collection::vec((0u8..5, 0usize..6, 0u64..40), 1..80)
    ) {
        let (mut machine, mut now, mut stream) = (Machine::new(3), NOW, 0);
        let mut running: Vec<IncomingRequest> = vec![];
        let mut owed: BTreeMap<Owner, (Vec<Step>, usize)> = BTreeMap::new();
        let mut first_out: BTreeMap<String, Timestamp> = BTreeMap::new();
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
                    let deadline = now + Duration::millis(500 + n * 100);
                    let key = Some(format!("k{}", pick / 3));
                    all = machine.begin(now, Chain { owner, key, deadline, steps }, &Site);
                }
                1 | 2 if !running.is_empty() => {
                    let step = running.swap_remove(pick % running.len());
                    let key = step.key.clone().unwrap();
                    let answer = if op == 1 || n % 4 == 0 { served(b"ok") } else { Answer { verdict: Verdict::Failed, expired: false } };
                    if step.class == "credit" {
                        machine.may_have_run(now, &key, *first_out.get(&key).unwrap());
                    }
                    all = machine.step_ended(now, step.owner, answer, &Site);
                }
                3 => {
                    if let Some(owner) = owed.keys().nth(pick).copied() {
                        owed.remove(&owner);
                        let off = machine.withdraw(owner);
                        prop_assert!(matches!(off[..], [Action::Withdraw(_)]));
                        for what in off {
                            let Action::Withdraw(step) = what else { continue };
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
            for what in all {
                match what {
                    Action::Start(step) => {
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
                            prop_assert!(now < first + Duration::millis(6_000) - DEDUP_WINDOW_MARGIN, "beyond its key");
                        }
                        running.push(step);
                    }
                    Action::Finish(owner, end) => {
                        let (steps, _) = owed.remove(&owner).expect("one end each");
                        let all = matches!(end.answer.verdict, Verdict::Served(_));
                        prop_assert_eq!(all, end.ran == steps.len());
                    }
                    Action::Prewarm(..) => {}
                    Action::Withdraw(_) => prop_assert!(false, "nobody has left"),
                }
            }
            prop_assert_eq!((machine.outstanding(), running.len()), (owed.len(), owed.len()));
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
    assert!(matches!(machine.withdraw(OWNER)[..], [Action::Withdraw(step)] if step == owner));
    assert!(
        machine.withdraw(OWNER).is_empty() && machine.step_ended(NOW, owner, served(b""), &Site).is_empty()
    );
    // A repeat while the first is open waits for it; another chain under its key is none.
    let open = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b""))]), &Site);
    let twin = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b""))]), &Site);
    assert!(matches!(ended(&twin).answer.verdict, Verdict::Refused { .. }));
    let other = machine.begin(NOW, chain(vec![step("check", 2, 0, Some(b""))]), &Site);
    assert_eq!(ended(&other).answer.verdict, Verdict::Failed);
    assert_eq!(machine.step_ended(NOW, started(&open).owner, served(b""), &Site).len(), 1);
    let many = machine.begin(NOW, chain(vec![step("check", 1, 0, Some(b"")); MAX_STEPS + 1]), &Site);
    assert_eq!(ended(&many).answer.verdict, Verdict::Failed, "its steps would be taken for another's");
    let unknown = machine.begin(NOW, chain(vec![step("none", 1, 0, Some(b""))]), &Site);
    assert_eq!(ended(&unknown).answer.verdict, Verdict::Failed);
}
