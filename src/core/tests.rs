//! The core against every kind of end and every order of events.

use super::fleet_leases::LEASE_MARGIN;
use super::*;
use crate::fleet::lease::LeaseGrant;
use proptest::prelude::*;

const AT_MS: fn(u64) -> Timestamp = |ms| Timestamp(1_000_000_000_000 + ms * 1_000_000);
const CALLED_FUNCTION: FunctionId = FunctionId(9);

const SITE_SETTINGS: &str = r#"{"fleetSize": 1, "index": 0, "tickNs": 2000000, "classes": [
    {"name": "safe", "deadlineNs": 3000000000, "effect": "retryable", "objectiveNs": 1000000000},
    {"name": "keyed", "deadlineNs": 3000000000, "effect": "dedup", "group": "all",
     "repeatWindowNs": 1000000000, "objectiveNs": 1000000000},
    {"name": "unsafe", "deadlineNs": 3000000000, "effect": "fragile", "objectiveNs": 1000000000}],
  "bounds": {"mostTries": 9, "mayCancel": true},
  "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
  "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "mayOrder": true,
    "loadSpanNs": 5000000000, "loadsAnyway": 3, "loadPart": 0.3}}"#;

fn site(text: &str) -> Site {
    crate::settings::read_site(text.as_bytes()).unwrap()
}

fn core() -> Core {
    let mut core = Core::new(site(SITE_SETTINGS), 7);
    let member = |n| Member { worker: WorkerId(n), weight: 1.0, ..Member::default() };
    core.members(AT_MS(0), ListKind::Full, vec![member(1), member(2)]);
    core
}

fn call(core: &mut Core, stream: u64, class: &str) -> Vec<Command> {
    let owner = Owner { connection: 1, stream };
    let (reference, class) = (format!("{stream:016x}"), class.to_owned());
    core.submit(
        AT_MS(0),
        IncomingRequest {
            owner,
            reference,
            class,
            function: CALLED_FUNCTION,
            key: None,
            memory_mb: 100.0,
            concurrency: 2.0,
            load_time: None,
            deadline: AT_MS(3000),
            body: vec![],
        },
    );
    std::iter::from_fn(|| core.next_command()).collect()
}

fn sent(commands: &[Command]) -> (AttemptId, WorkerId) {
    let send = commands.iter().find_map(|command| match command {
        Command::Send { attempt, worker, .. } => Some((*attempt, *worker)),
        _ => None,
    });
    send.expect("it is sent")
}

fn broken(progress: AttemptProgress) -> Result<Reply, Broken> {
    Err(Broken { progress, cause: "test" })
}

fn load(core: &mut Core, now: Timestamp) -> LoadId {
    core.carry_out(
        now,
        &Action::Load { worker: WorkerId(1), function: CALLED_FUNCTION, instances: 1, part: None },
    );
    match core.next_command() {
        Some(Command::Load { load, .. }) => load,
        other => panic!("{other:?}"),
    }
}

/// A send that waited for its connection while its worker began to drain must not go out.
#[test]
fn what_queued_is_held_back_after_a_drain() {
    let mut core = core();
    let (attempt, worker) = sent(&call(&mut core, 1, "safe"));
    let load = load(&mut core, AT_MS(0));
    let draining = |worker| Member { worker, state: State::Draining, ..Member::default() };
    assert!(core.may_write(AT_MS(9), attempt));
    core.members(AT_MS(10), ListKind::Delta, vec![draining(worker), draining(WorkerId(1))]);
    assert!(!core.may_write(AT_MS(11), attempt));
    assert!(!core.may_write_load(AT_MS(11), load));
    core.members(AT_MS(12), ListKind::Delta, vec![Member { worker, ..Member::default() }]);
    assert!(core.may_write(AT_MS(12), attempt));
    core.members(AT_MS(13), ListKind::Full, vec![]);
    assert!(!core.may_write(AT_MS(13), attempt), "absent from the whole list is gone");
}

/// A core whose list follows discovery, which was not heard yet.
fn following_core() -> Core {
    let text = SITE_SETTINGS.replace(r#""mayCancel": true"#, r#""mayCancel": true, "probes": true"#);
    let mut core = Core::new(site(&text), 7);
    let member = |n| Member { worker: WorkerId(n), weight: 1.0, ..Member::default() };
    core.set_list_source(AT_MS(0), true, BTreeSet::new());
    core.members(AT_MS(0), ListKind::Full, vec![member(1), member(2)]);
    core
}

/// Nor once the list may be out of date: its worker may have begun to drain, and nobody has told.
#[test]
fn what_queued_is_held_back_once_the_list_may_be_out_of_date() {
    let mut core = following_core();
    core.discovery_received(AT_MS(0), AT_MS(0));
    let (attempt, _) = sent(&call(&mut core, 1, "safe"));
    let load = load(&mut core, AT_MS(0));
    // Valid for 1.25 s and 0.8 of a grace of 2 s.
    assert!(core.may_write(AT_MS(2850), attempt) && core.load_still_allowed(AT_MS(2850), load));
    assert!(!core.may_write(AT_MS(2851), attempt) && !core.load_still_allowed(AT_MS(2851), load));
    assert!(!core.may_write_load(AT_MS(2851), load));
    core.discovery_received(AT_MS(2900), AT_MS(2900));
    assert!(core.may_write(AT_MS(2900), attempt) && core.may_write_load(AT_MS(2900), load));
}

/// A drained worker says so when it is asked: the request goes elsewhere, and its one answer comes.
#[test]
fn a_request_for_an_unconfirmed_worker_is_sent_once_a_probe_has_confirmed_one() {
    let mut core = following_core();
    let probe_of = |commands: &[Command]| match commands {
        [Command::Probe { probe, worker, .. }] => (*probe, *worker),
        other => panic!("{other:?}"),
    };
    let (probe, drained) = probe_of(&call(&mut core, 1, "safe"));
    core.probe_ended(
        AT_MS(2),
        probe,
        Err(Broken { progress: AttemptProgress::Answered, cause: "not alive" }),
    );
    let (probe, ready) = probe_of(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
    assert_ne!(ready, drained);
    core.probe_ended(AT_MS(4), probe, Ok(vec![]));
    let (attempt, worker) = sent(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
    assert_eq!(worker, ready);
    assert!(core.may_write(AT_MS(5), attempt));
    assert_eq!((core.counters().probes_rejected, core.counters().probes_unanswered), (1, 0));
}

/// Whatever waits for its connection when its worker is left out by hand stays here: an attempt, the repeat of
/// one, an order. What comes back is met as a new process.
#[test]
fn what_queued_is_held_back_after_a_ban_whatever_the_bus_tells() {
    let mut core = core();
    let (attempt, worker) = sent(&call(&mut core, 1, "safe"));
    let (open, home) = sent(&call(&mut core, 2, "safe"));
    core.written(AT_MS(1), open);
    let load = load(&mut core, AT_MS(1));
    let ready = |worker| Member { worker, weight: 1.0, ..Member::default() };
    for worker in [worker, home, WorkerId(1)] {
        core.cordon(AT_MS(2), worker);
    }
    assert!(!core.may_write(AT_MS(2), attempt) && !core.may_write_load(AT_MS(2), load));
    // Gone, back under another address, and the whole list anew: it stays out.
    core.members(AT_MS(3), ListKind::Delta, vec![Member { state: State::Gone, ..ready(worker) }]);
    core.members(AT_MS(4), ListKind::Delta, vec![Member { started: Some(AT_MS(3)), ..ready(worker) }]);
    core.members(AT_MS(5), ListKind::Full, vec![ready(WorkerId(1)), ready(WorkerId(2))]);
    core.replace_site(AT_MS(6), site(SITE_SETTINGS));
    assert!(!core.may_write(AT_MS(7), attempt) && !core.may_write_load(AT_MS(7), load));
    // What was open there fails: its repeat goes elsewhere.
    while core.next_command().is_some() {}
    core.attempt_ended(AT_MS(8), open, broken(AttemptProgress::Out));
    let other = std::iter::from_fn(|| core.next_command()).find_map(|command| match command {
        Command::Send { worker, .. } => Some(worker),
        _ => None,
    });
    assert!(other.is_none_or(|other| other != home && other != worker), "{other:?}");
    core.uncordon(AT_MS(9), worker);
    let renewed = |c: &Command| matches!(c, Command::Renew { worker: w } if *w == worker);
    assert!(std::iter::from_fn(|| core.next_command()).any(|c| renewed(&c)));
    assert_eq!(core.workers.cordons.applied_to(ready(worker)).started, Some(AT_MS(9)), "cold");
    assert!(core.workers.accepts_work(worker));
}

proptest! {
    #![proptest_config(crate::drawn())]

    /// Whatever lists, requests by hand, settings and ends come in whatever order: each request has one final answer,
    /// nothing is sent where the list or an operator forbids it, and nothing is left behind.
    #[test]
    fn any_order_of_events_leaves_one_answer_each(
        ops in prop::collection::vec((0u8..9, 0u64..6, 0u64..64, 0u8..12), 1..120)
    ) {
        let (mut core, mut now, mut stream) = (core(), AT_MS(0), 10);
        let retuned = SITE_SETTINGS.replace("retryable", "fragile").replace("\"mostTries\": 9", "\"mostTries\": 2");
        let mut open: Vec<AttemptId> = vec![];
        let mut loads: Vec<LoadId> = vec![];
        let (mut asked, mut answered) = (BTreeSet::new(), BTreeSet::new());
        let member = |id: u64, b: u64, c: u8, now: Timestamp| Member {
            worker: WorkerId(id),
            zone: ZoneId(c % 2),
            state: [State::Ready, State::Draining, State::Gone][usize::from(c % 3)],
            weight: [1.0, 0.0, 1e9][usize::from(c % 3)],
            started: [None, Some(now), Some(AT_MS(1 << 40))][b as usize % 3],
            ..Member::default()
        };
        for (op, a, b, c) in ops {
            match op {
                0 => {
                    // Several changes of one worker in one event, and the same told twice.
                    let changes = vec![member(a, b, c, now), member(a, b / 3, c / 3, now), member(a, b, c, now)];
                    core.members(now, ListKind::Delta, changes);
                }
                1 => {
                    let listed = (0..6).filter(|id| b >> id & 1 == 1).map(|id| member(id, a, c / 3, now));
                    core.members(now, ListKind::Full, listed.collect());
                }
                2 => {
                    stream += 1;
                    let owner = Owner { connection: 1, stream };
                    asked.insert(owner);
                    core.submit(now, IncomingRequest {
                        owner,
                        reference: format!("{:016x}", stream - u64::from(c == 11)),
                        class: ["safe", "keyed", "unsafe", "other"][usize::from(c % 4)].to_owned(),
                        function: FunctionId(a),
                        key: None,
                        memory_mb: 1e15,
                        concurrency: 0.0,
                        load_time: None,
                        deadline: now + Duration::millis(b * 40),
                        body: vec![0; 9],
                    });
                }
                3 if c % 2 == 0 => drop(core.cordon(now, WorkerId(a))),
                3 => drop(core.uncordon(now, WorkerId(a))),
                4 if !open.is_empty() => {
                    let attempt = open.swap_remove(b as usize % open.len());
                    if c < 8 && core.may_write(now, attempt) {
                        core.written(now, attempt);
                    }
                    match c {
                        0..4 => core.attempt_ended(now, attempt, Ok(Reply::Ok(vec![]))),
                        4 => core.attempt_ended(now, attempt, Ok(Reply::Error)),
                        5 => core.attempt_ended(now, attempt, Ok(Reply::Full)),
                        6 | 7 => core.attempt_ended(now, attempt, broken(AttemptProgress::Out)),
                        8 => core.attempt_ended(now, attempt, broken(AttemptProgress::NotSent)),
                        _ => core.attempt_not_sent(now, attempt),
                    }
                }
                5 => {
                    now = now + Duration::millis(b * b);
                    core.on_timeout(now);
                }
                6 => core.replace_site(now, site(if c % 2 == 0 { SITE_SETTINGS } else { &retuned })),
                7 if stream > 10 => {
                    // Whoever withdraws is owed nothing, whether the answer was on its way or not.
                    let owner = Owner { connection: 1, stream: 11 + b % (stream - 10) };
                    if core.requests.has_owner(owner) {
                        answered.insert(owner);
                    }
                    core.withdraw(now, owner);
                }
                _ => {
                    for load in loads.drain(..) {
                        if core.may_write_load(now, load) {
                            core.load_ended(now, load, Ok(LoadResult { status: Status::Ok, instances: 1 }));
                        }
                    }
                }
            }
            while let Some(command) = core.next_command() {
                match command {
                    Command::Send { attempt, worker, .. } => {
                        prop_assert!(core.workers.accepts_work(worker), "sent where nothing may go");
                        open.push(attempt);
                    }
                    Command::Load { load, .. } => loads.push(load),
                    Command::Answer { owner, .. } => prop_assert!(answered.insert(owner), "a second answer"),
                    _ => {}
                }
            }
            prop_assert_eq!(core.violations().total(), 0, "{}", core.violations());
        }
        for _ in 0..400 {
            now = now + Duration::millis(50);
            core.on_timeout(now);
        }
        while let Some(command) = core.next_command() {
            if let Command::Answer { owner, .. } = command {
                prop_assert!(answered.insert(owner), "a second answer");
            }
        }
        prop_assert_eq!(asked, answered);
        prop_assert_eq!(core.violations().total(), 0, "{}", core.violations());
        prop_assert_eq!((core.outstanding(), core.attempts.len(), core.requests.body_bytes(), core.requests.reference_count()), (0, 0, 0, 0));
    }
}

/// Load requests that waited behind a slow connection must not bunch up beyond the rate limit of loads.
#[test]
fn the_ration_holds_when_orders_are_written() {
    let mut core = core();
    for stream in 0..10 {
        call(&mut core, stream, "safe");
    }
    let loads: Vec<LoadId> = (0..9).map(|_| load(&mut core, AT_MS(0))).collect();
    let written = loads.iter().filter(|load| core.may_write_load(AT_MS(1), **load)).count();
    assert_eq!(written, 6, "3 and 30% of 10");
    let late = load(&mut core, AT_MS(5002));
    assert!(core.may_write_load(AT_MS(5002), late), "the window has moved on");
}

#[test]
fn only_functions_that_were_called_are_loaded() {
    let mut core = core();
    let load = load(&mut core, AT_MS(0));
    assert!(!core.may_write_load(AT_MS(0), load));
}

/// The window counts from the first attempt that may have run, not from the latest.
#[test]
fn repeats_that_queued_keep_to_their_class() {
    let cases = [
        ("keyed", AttemptProgress::Out, AT_MS(900), true),
        ("keyed", AttemptProgress::Out, AT_MS(960), false),
        // The bytes may take 100 ms to go, and must have gone by the end of the window.
        ("keyed", AttemptProgress::Out, AT_MS(905), false),
        ("keyed", AttemptProgress::PartlyWritten, AT_MS(2000), true),
        ("safe", AttemptProgress::Out, AT_MS(2000), true),
        ("unsafe", AttemptProgress::PartlyWritten, AT_MS(2000), true),
    ];
    for (class, progress, at, allowed) in cases {
        let mut core = core();
        let (first, _) = sent(&call(&mut core, 1, class));
        core.written(AT_MS(1), first);
        core.attempt_ended(AT_MS(2), first, broken(progress));
        let commands: Vec<_> = std::iter::from_fn(|| core.next_command()).collect();
        assert_eq!(core.may_write(at, sent(&commands).0), allowed, "{class} {progress:?}");
    }
}

/// What we held back ourselves says nothing of the worker: it must not be taken for one that refuses
/// connections, which nothing goes to for a while.
#[test]
fn what_never_left_is_not_held_against_its_worker() {
    let mut core = core();
    let (first, worker) = sent(&call(&mut core, 1, "safe"));
    core.attempt_not_sent(AT_MS(1), first);
    let (again, at) = sent(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
    assert_eq!(at, worker, "the function's home still");
    core.attempt_ended(AT_MS(2), again, broken(AttemptProgress::NotSent));
    let (_, at) = sent(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
    assert_ne!(at, worker, "it refused a connection");
}

/// A new configuration brings other rules: they bind whoever comes after it, and nobody who came before.
#[test]
fn calls_keep_the_class_in_which_they_were_taken() {
    let retuned =
        SITE_SETTINGS.replace("retryable", "fragile").replace("\"mostTries\": 9", "\"mostTries\": 1");
    let retuned = retuned.replace("keyed", "other");
    let fails = |core: &mut Core, stream, attempt| {
        core.written(AT_MS(1), attempt);
        core.attempt_ended(AT_MS(2), attempt, broken(AttemptProgress::Out));
        let commands: Vec<_> = std::iter::from_fn(|| core.next_command()).collect();
        let answer = |c: &Command| matches!(c, Command::Answer { owner, .. } if owner.stream == stream);
        (commands.iter().any(answer), commands)
    };
    let mut core = core();
    let (before, _) = sent(&call(&mut core, 1, "safe"));
    let (keyed, _) = sent(&call(&mut core, 2, "keyed"));
    core.replace_site(AT_MS(0), site(&retuned));
    let (after, _) = sent(&call(&mut core, 3, "safe"));
    assert!(matches!(
        &call(&mut core, 4, "keyed")[..],
        [Command::Answer { answer, .. }] if matches!(answer.verdict, Verdict::Refused { .. })
    ));
    assert!(fails(&mut core, 3, after).0, "unsafe, and one attempt");
    let (answered, commands) = fails(&mut core, 1, before);
    assert!(!answered && core.may_write(AT_MS(3), sent(&commands).0), "safe, and more attempts");
    let (answered, commands) = fails(&mut core, 2, keyed);
    assert!(!answered && core.may_write(AT_MS(3), sent(&commands).0), "inside its window");
    // The places are used again: configurations that come and go leave nothing behind.
    let again = sent(&commands).0;
    core.attempt_ended(AT_MS(4), again, Ok(Reply::Ok(vec![])));
    for round in 0..20 {
        core.replace_site(AT_MS(5), site(if round % 2 == 0 { SITE_SETTINGS } else { &retuned }));
    }
    assert!(core.site.classes.len() <= 7, "{:?}", core.site.classes);
    let figures = core.figures();
    assert_eq!(figures.classes["keyed"].answered, 1, "a dropped class keeps its counts");
    assert!(figures.classes.contains_key("other"));
}

#[test]
fn lines_that_clients_cause_are_bounded() {
    let mut core = core();
    let lines: Vec<usize> =
        [0, 1_000, 1_500].map(|ms| (0..25).filter(|_| core.may_log(AT_MS(ms))).count()).to_vec();
    assert_eq!((lines, core.counters().unlogged), (vec![10, 10, 0], 55));
}

/// Nothing that goes wrong in the module may leave a request without an answer.
#[test]
fn a_call_that_the_module_has_lost_is_failed_after_its_deadline() {
    let mut core = core();
    call(&mut core, 1, "safe");
    core.policy = Policy::new(core.site.settings.clone(), 1);
    core.on_timeout(AT_MS(3019));
    assert_eq!(core.outstanding(), 1);
    core.on_timeout(AT_MS(3021));
    let answers =
        |c: &Command| matches!(c, Command::Answer { answer, .. } if answer.verdict == Verdict::Failed);
    assert_eq!(std::iter::from_fn(|| core.next_command()).filter(answers).count(), 1);
    assert_eq!((core.outstanding(), core.counters().overdue), (0, 1));
}

#[test]
fn a_call_has_one_answer_whatever_still_comes() {
    let mut core = core();
    let (first, worker) = sent(&call(&mut core, 1, "safe"));
    core.written(AT_MS(1), first);
    core.on_timeout(AT_MS(2999));
    let answers = |core: &mut Core| {
        std::iter::from_fn(|| core.next_command()).filter(|c| matches!(c, Command::Answer { .. })).count()
    };
    assert_eq!(answers(&mut core), 1, "at its end");
    core.attempt_ended(AT_MS(3000), first, Ok(Reply::Ok(vec![])));
    core.members(AT_MS(3000), ListKind::Delta, vec![Member { worker, ..Member::default() }]);
    core.on_timeout(AT_MS(9000));
    assert_eq!((answers(&mut core), core.outstanding()), (0, 0));
    let commands = call(&mut core, 2, "no such class");
    assert!(matches!(&commands[..], [Command::Answer { answer, .. }] if answer.verdict == Verdict::Failed));
}

/// Shed at once, with a cooldown, before the module has seen it; the rate limit of loads counts it as taken, and no attempt goes out.
#[test]
fn what_the_fleet_sheds_is_refused_at_once_and_what_is_let_in_is_counted() {
    let mut core = core();
    core.join_fleet(AT_MS(0), 1, true);
    let level = |fence, part| crate::fleet::overload::AdmissionLevel { fence, by: 0, admit: [part; 4] };
    assert!(core.follow(level(3, 0), AT_MS(0)));
    let commands = call(&mut core, 1, "safe");
    let [Command::Answer { answer, .. }] = &commands[..] else { panic!("{commands:?}") };
    assert!(matches!(answer.verdict, Verdict::Refused { .. }) && !answer.expired);
    assert_eq!((core.outstanding(), core.counters().shed, core.counters().refused), (0, 1, 1));
    assert!(!core.follow(level(2, 255), AT_MS(1)), "an earlier controller");
    assert!(core.follow(level(3, 255), AT_MS(1)));
    assert!(call(&mut core, 2, "safe").iter().any(|command| matches!(command, Command::Send { .. })));
    let demand = core.demand(AT_MS(2));
    assert_eq!((demand.offered.iter().sum::<u16>(), demand.served, demand.open), (2, 0, 1));
    core.on_timeout(AT_MS(9_000));
    assert_eq!(core.demand(AT_MS(9_000)).open, 0, "given up is not open");
}

/// What was decided under a lease goes out under that hold of it, with time left, and under no later one: a
/// process that was stopped between the two must not act beside the next holder.
#[test]
fn what_queued_under_a_lease_is_held_back_once_that_hold_has_ended() {
    let mut core = core();
    call(&mut core, 1, "safe");
    core.join_fleet(AT_MS(0), 2, false);
    let grant = |fence, ms| Some(LeaseGrant { fence, until: AT_MS(ms) });
    let decide = |core: &mut Core| {
        while core.next_command().is_some() {}
        core.carry_out(AT_MS(1), &Action::Probe { worker: WorkerId(1), part: Some(1) });
        let Some(Command::Probe { probe, .. }) = core.next_command() else { panic!("a probe") };
        let load =
            Action::Load { worker: WorkerId(1), function: CALLED_FUNCTION, instances: 1, part: Some(1) };
        core.carry_out(AT_MS(1), &load);
        let Some(Command::Load { load, .. }) = core.next_command() else { panic!("an order") };
        (probe, load)
    };
    let may = |core: &mut Core, ms, (probe, load): (ProbeId, LoadId)| {
        let may = core.may_write_probe(AT_MS(ms), probe);
        assert_eq!(core.may_write_load(AT_MS(ms), load), may);
        may
    };
    for task in Task::PARTITIONED {
        core.set_lease(AT_MS(0), task, 1, grant(5, 1_000));
        core.set_lease(AT_MS(0), task, 0, grant(9, 9_000));
    }
    let decided = decide(&mut core);
    assert!(may(&mut core, 900, decided));
    assert!(!may(&mut core, 1_000 - LEASE_MARGIN.0 / 1_000_000, decided), "too close to its end");
    Task::PARTITIONED.iter().for_each(|task| core.set_lease(AT_MS(10), *task, 1, grant(5, 2_000)));
    assert!(may(&mut core, 1_500, decided), "renewed");
    Task::PARTITIONED.iter().for_each(|task| core.set_lease(AT_MS(20), *task, 1, None));
    assert!(!may(&mut core, 30, decided), "given back");
    let homeless = decide(&mut core);
    Task::PARTITIONED.iter().for_each(|task| core.set_lease(AT_MS(40), *task, 1, grant(6, 3_000)));
    assert!(!may(&mut core, 50, decided), "won again, under another fence");
    assert!(!may(&mut core, 50, homeless), "decided while nothing was held");
    let again = decide(&mut core);
    assert!(may(&mut core, 60, again));
}

/// Two attempts are written at one reading of the clock. That the second never ran says nothing of the first, which
/// may have: outside its window the request must not go out again.
#[test]
fn what_never_ran_leaves_the_window_of_what_may_have() {
    let mut core = core();
    let (first, _) = sent(&call(&mut core, 1, "keyed"));
    core.written(AT_MS(5), first);
    core.attempt_ended(AT_MS(5), first, broken(AttemptProgress::Out));
    let all: Vec<Command> = std::iter::from_fn(|| core.next_command()).collect();
    let (second, _) = sent(&all);
    assert!(core.may_write(AT_MS(5), second));
    core.written(AT_MS(5), second);
    core.attempt_ended(AT_MS(500), second, Ok(Reply::Full));
    let (mut now, mut all) = (AT_MS(500), vec![]);
    while !all.iter().any(|command| matches!(command, Command::Send { .. })) {
        all.extend(std::iter::from_fn(|| core.next_command()));
        now = now + Duration::millis(10);
        core.on_timeout(now);
        assert!(now < AT_MS(1000), "there is time for a third");
    }
    let (third, _) = sent(&all);
    assert!(core.may_write(now, third));
    assert!(!core.may_write(AT_MS(1000), third), "the window of the first has passed");
}
