//! Tests of the core with every kind of outcome and with events in any order.

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

fn submit_request(core: &mut Core, stream: u64, class: &str) -> Vec<Command> {
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

fn first_send(commands: &[Command]) -> (AttemptId, WorkerId) {
    let send = commands.iter().find_map(|command| match command {
        Command::Send { attempt, worker, .. } => Some((*attempt, *worker)),
        _ => None,
    });
    send.expect("an attempt is sent")
}

fn connection_broken(progress: AttemptProgress) -> Result<Reply, Broken> {
    Err(Broken { progress, cause: "test" })
}

fn start_load(core: &mut Core, now: Timestamp) -> LoadId {
    core.carry_out(
        now,
        &Action::Load { worker: WorkerId(1), function: CALLED_FUNCTION, instances: 1, part: None },
    );
    match core.next_command() {
        Some(Command::Load { load, .. }) => load,
        other => panic!("{other:?}"),
    }
}

/// An attempt that is queued for its connection while its worker begins to drain must not be written.
#[test]
fn queued_messages_are_not_written_after_a_drain() {
    let mut core = core();
    let (attempt, worker) = first_send(&submit_request(&mut core, 1, "safe"));
    let load = start_load(&mut core, AT_MS(0));
    let draining = |worker| Member { worker, state: State::Draining, ..Member::default() };
    assert!(core.may_write(AT_MS(9), attempt));
    core.members(AT_MS(10), ListKind::Delta, vec![draining(worker), draining(WorkerId(1))]);
    assert!(!core.may_write(AT_MS(11), attempt));
    assert!(!core.may_write_load(AT_MS(11), load));
    core.members(AT_MS(12), ListKind::Delta, vec![Member { worker, ..Member::default() }]);
    assert!(core.may_write(AT_MS(12), attempt));
    core.members(AT_MS(13), ListKind::Full, vec![]);
    assert!(!core.may_write(AT_MS(13), attempt), "a worker absent from the complete list is gone");
}

/// Guards against picture (d) of issue 52: what was meant for a process was written to the one that came up after it under
/// its id, often at its address, and ends of its load requests and probes counted for the new one.
#[test]
fn what_was_meant_for_a_replaced_process_is_not_written_to_its_successor() {
    let mut core = following_core();
    core.discovery_received(AT_MS(0), AT_MS(0));
    let (attempt, worker) = first_send(&submit_request(&mut core, 1, "safe"));
    core.carry_out(AT_MS(1), &Action::Load { worker, function: CALLED_FUNCTION, instances: 1, part: None });
    core.carry_out(AT_MS(1), &Action::Probe { worker, part: None });
    let commands: Vec<Command> = std::iter::from_fn(|| core.next_command()).collect();
    let load = commands.iter().rev().find_map(|command| match command {
        Command::Load { load, instances: 1, .. } => Some(*load),
        _ => None,
    });
    let probe = commands.iter().find_map(|command| match command {
        Command::Probe { probe, .. } => Some(*probe),
        _ => None,
    });
    let (load, probe) = (load.unwrap(), probe.unwrap());
    assert!(core.may_write(AT_MS(1), attempt));
    assert!(core.may_write_load(AT_MS(1), load));
    assert!(core.may_write_probe(AT_MS(1), probe));
    let successor = Member { worker, weight: 1.0, started: Some(AT_MS(2)), ..Member::default() };
    core.members(AT_MS(3), ListKind::Delta, vec![successor]);
    assert!(!core.may_write(AT_MS(3), attempt));
    assert!(!core.may_write_load(AT_MS(3), load) && !core.load_still_allowed(AT_MS(3), load));
    assert!(!core.may_write_probe(AT_MS(3), probe));
    // The refused dials of the replaced process do not make its successor count as lost, and its loads are not there.
    let refused = || Broken { progress: AttemptProgress::NotSent, cause: "connect failed" };
    core.probe_ended(AT_MS(4), probe, Err(refused()));
    assert_eq!((core.counters().probes_held, core.counters().probes_unanswered), (1, 0));
    core.load_ended(AT_MS(4), load, Err(refused()));
    assert_eq!(core.policy.avoided(), 0);
}

/// A core whose list follows discovery, from which nothing has been received yet.
fn following_core() -> Core {
    let text = SITE_SETTINGS.replace(r#""mayCancel": true"#, r#""mayCancel": true, "probes": true"#);
    let mut core = Core::new(site(&text), 7);
    let member = |n| Member { worker: WorkerId(n), weight: 1.0, ..Member::default() };
    core.set_list_source(AT_MS(0), true, BTreeSet::new());
    core.members(AT_MS(0), ListKind::Full, vec![member(1), member(2)]);
    core
}

/// The same holds once the list may be outdated: the worker may have begun to drain without discovery reporting it.
#[test]
fn queued_messages_are_not_written_once_the_list_may_be_outdated() {
    let mut core = following_core();
    core.discovery_received(AT_MS(0), AT_MS(0));
    let (attempt, _) = first_send(&submit_request(&mut core, 1, "safe"));
    let load = start_load(&mut core, AT_MS(0));
    // The list is valid for 1.25 s plus 0.8 of the drain grace of 2 s.
    assert!(core.may_write(AT_MS(2850), attempt) && core.load_still_allowed(AT_MS(2850), load));
    assert!(!core.may_write(AT_MS(2851), attempt) && !core.load_still_allowed(AT_MS(2851), load));
    assert!(!core.may_write_load(AT_MS(2851), load));
    core.discovery_received(AT_MS(2900), AT_MS(2900));
    assert!(core.may_write(AT_MS(2900), attempt) && core.may_write_load(AT_MS(2900), load));
}

/// A draining worker rejects the probe: the request is sent to another worker instead.
#[test]
fn a_request_for_an_unconfirmed_worker_is_sent_once_a_probe_has_confirmed_one() {
    let mut core = following_core();
    let probe_of = |commands: &[Command]| match commands {
        [Command::Probe { probe, worker, .. }] => (*probe, *worker),
        other => panic!("{other:?}"),
    };
    let (probe, drained) = probe_of(&submit_request(&mut core, 1, "safe"));
    core.probe_ended(
        AT_MS(2),
        probe,
        Err(Broken { progress: AttemptProgress::Answered, cause: "not alive" }),
    );
    let (probe, ready) = probe_of(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
    assert_ne!(ready, drained);
    core.probe_ended(AT_MS(4), probe, Ok(vec![]));
    let (attempt, worker) = first_send(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
    assert_eq!(worker, ready);
    assert!(core.may_write(AT_MS(5), attempt));
    assert_eq!((core.counters().probes_rejected, core.counters().probes_unanswered), (1, 0));
}

/// Attempts, retries and load requests that are queued for their connections when an operator cordons their worker are
/// not written. After it is uncordoned, the worker is treated as a new process.
#[test]
fn queued_messages_are_not_written_to_a_cordoned_worker_whatever_discovery_lists() {
    let mut core = core();
    let (attempt, worker) = first_send(&submit_request(&mut core, 1, "safe"));
    let (open, home) = first_send(&submit_request(&mut core, 2, "safe"));
    core.written(AT_MS(1), open);
    let load = start_load(&mut core, AT_MS(1));
    let ready = |worker| Member { worker, weight: 1.0, ..Member::default() };
    for worker in [worker, home, WorkerId(1)] {
        core.cordon(AT_MS(2), worker);
    }
    assert!(!core.may_write(AT_MS(2), attempt) && !core.may_write_load(AT_MS(2), load));
    // It is removed, listed again, and the complete list is sent again: it stays cordoned.
    core.members(AT_MS(3), ListKind::Delta, vec![Member { state: State::Gone, ..ready(worker) }]);
    core.members(AT_MS(4), ListKind::Delta, vec![Member { started: Some(AT_MS(3)), ..ready(worker) }]);
    core.members(AT_MS(5), ListKind::Full, vec![ready(WorkerId(1)), ready(WorkerId(2))]);
    core.replace_site(AT_MS(6), site(SITE_SETTINGS));
    assert!(!core.may_write(AT_MS(7), attempt) && !core.may_write_load(AT_MS(7), load));
    // The attempt that was open there fails: its retry goes to another worker.
    while core.next_command().is_some() {}
    core.attempt_ended(AT_MS(8), open, connection_broken(AttemptProgress::Out));
    let other = std::iter::from_fn(|| core.next_command()).find_map(|command| match command {
        Command::Send { worker, .. } => Some(worker),
        _ => None,
    });
    assert!(other.is_none_or(|other| other != home && other != worker), "{other:?}");
    core.uncordon(AT_MS(9), worker);
    let is_renewal = |c: &Command| matches!(c, Command::Renew { worker: w } if *w == worker);
    assert!(std::iter::from_fn(|| core.next_command()).any(|c| is_renewal(&c)));
    assert_eq!(core.workers.cordons.applied_to(ready(worker)).started, Some(AT_MS(9)), "it starts cold");
    assert!(core.workers.accepts_work(worker));
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// For any lists, cordons, settings and outcomes in any order: each request gets one final answer, nothing is sent
    /// to a worker that is not listed as ready or is cordoned, and no state is left over.
    #[test]
    fn any_order_of_events_gives_each_request_one_answer(
        ops in prop::collection::vec((0u8..9, 0u64..6, 0u64..64, 0u8..12), 1..120)
    ) {
        let (mut core, mut now, mut stream) = (core(), AT_MS(0), 10);
        let changed_settings = SITE_SETTINGS.replace("retryable", "fragile").replace("\"mostTries\": 9", "\"mostTries\": 2");
        let mut open: Vec<AttemptId> = vec![];
        let mut loads: Vec<LoadId> = vec![];
        let (mut submitted, mut answered) = (BTreeSet::new(), BTreeSet::new());
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
                    // Several changes of one worker in one event, one of them repeated.
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
                    submitted.insert(owner);
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
                        6 | 7 => core.attempt_ended(now, attempt, connection_broken(AttemptProgress::Out)),
                        8 => core.attempt_ended(now, attempt, connection_broken(AttemptProgress::NotSent)),
                        _ => core.attempt_not_sent(now, attempt),
                    }
                }
                5 => {
                    now = now + Duration::millis(b * b);
                    core.on_timeout(now);
                }
                6 => core.replace_site(now, site(if c % 2 == 0 { SITE_SETTINGS } else { &changed_settings })),
                7 if stream > 10 => {
                    // A client that withdraws needs no answer, whether one was already queued or not.
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
                        prop_assert!(core.workers.accepts_work(worker), "sent to a worker that accepts no work");
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
        prop_assert_eq!(submitted, answered);
        prop_assert_eq!(core.violations().total(), 0, "{}", core.violations());
        prop_assert_eq!((core.outstanding(), core.attempts.len(), core.requests.payload_bytes(), core.requests.reference_count()), (0, 0, 0, 0));
    }
}

/// Load requests that were queued behind a slow connection must not exceed the rate limit when they are written
/// together.
#[test]
fn the_load_rate_limit_holds_when_load_requests_are_written() {
    let mut core = core();
    for stream in 0..10 {
        submit_request(&mut core, stream, "safe");
    }
    let loads: Vec<LoadId> = (0..9).map(|_| start_load(&mut core, AT_MS(0))).collect();
    let written = loads.iter().filter(|load| core.may_write_load(AT_MS(1), **load)).count();
    assert_eq!(written, 6, "3, plus 30% of 10 requests");
    let late = start_load(&mut core, AT_MS(5002));
    assert!(core.may_write_load(AT_MS(5002), late), "the earlier load requests are outside the window");
}

#[test]
fn only_functions_that_were_called_are_loaded() {
    let mut core = core();
    let load = start_load(&mut core, AT_MS(0));
    assert!(!core.may_write_load(AT_MS(0), load));
}

/// The deduplication window starts at the first attempt that may have run, not at the latest.
#[test]
fn queued_retries_respect_the_idempotency_of_their_class() {
    let cases = [
        ("keyed", AttemptProgress::Out, AT_MS(900), true),
        ("keyed", AttemptProgress::Out, AT_MS(960), false),
        // Writing the bytes may take 100 ms, and has to be finished by the end of the window.
        ("keyed", AttemptProgress::Out, AT_MS(905), false),
        ("keyed", AttemptProgress::PartlyWritten, AT_MS(2000), true),
        ("safe", AttemptProgress::Out, AT_MS(2000), true),
        ("unsafe", AttemptProgress::PartlyWritten, AT_MS(2000), true),
    ];
    for (class, progress, at, allowed) in cases {
        let mut core = core();
        let (first, _) = first_send(&submit_request(&mut core, 1, class));
        core.written(AT_MS(1), first);
        core.attempt_ended(AT_MS(2), first, connection_broken(progress));
        let commands: Vec<_> = std::iter::from_fn(|| core.next_command()).collect();
        assert_eq!(core.may_write(at, first_send(&commands).0), allowed, "{class} {progress:?}");
    }
}

/// An attempt that was not sent for a reason on this side says nothing about the worker. It must not be treated as one
/// that refuses connections, which is sent nothing for a while.
#[test]
fn an_unsent_attempt_does_not_count_against_its_worker() {
    let mut core = core();
    let (first, worker) = first_send(&submit_request(&mut core, 1, "safe"));
    core.attempt_not_sent(AT_MS(1), first);
    let (again, at) = first_send(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
    assert_eq!(at, worker, "still the function's preferred worker");
    core.attempt_ended(AT_MS(2), again, connection_broken(AttemptProgress::NotSent));
    let (_, at) = first_send(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
    assert_ne!(at, worker, "the preferred worker has refused a connection");
}

/// The rules of a new configuration apply to requests accepted after it, not to those accepted before.
#[test]
fn requests_keep_the_class_under_which_they_were_accepted() {
    let changed_settings =
        SITE_SETTINGS.replace("retryable", "fragile").replace("\"mostTries\": 9", "\"mostTries\": 1");
    let changed_settings = changed_settings.replace("keyed", "other");
    let break_attempt = |core: &mut Core, stream, attempt| {
        core.written(AT_MS(1), attempt);
        core.attempt_ended(AT_MS(2), attempt, connection_broken(AttemptProgress::Out));
        let commands: Vec<_> = std::iter::from_fn(|| core.next_command()).collect();
        let answer = |c: &Command| matches!(c, Command::Answer { owner, .. } if owner.stream == stream);
        (commands.iter().any(answer), commands)
    };
    let mut core = core();
    let (before, _) = first_send(&submit_request(&mut core, 1, "safe"));
    let (keyed, _) = first_send(&submit_request(&mut core, 2, "keyed"));
    core.replace_site(AT_MS(0), site(&changed_settings));
    let (after, _) = first_send(&submit_request(&mut core, 3, "safe"));
    assert!(matches!(
        &submit_request(&mut core, 4, "keyed")[..],
        [Command::Answer { answer, .. }] if matches!(answer.verdict, Verdict::Refused { .. })
    ));
    assert!(break_attempt(&mut core, 3, after).0, "the new class is unsafe and allows one attempt");
    let (answered, commands) = break_attempt(&mut core, 1, before);
    assert!(
        !answered && core.may_write(AT_MS(3), first_send(&commands).0),
        "the old class is safe and allows more attempts"
    );
    let (answered, commands) = break_attempt(&mut core, 2, keyed);
    assert!(
        !answered && core.may_write(AT_MS(3), first_send(&commands).0),
        "the retry is inside its deduplication window"
    );
    // Indices are reused: replaced configurations do not make the list of classes grow.
    let again = first_send(&commands).0;
    core.attempt_ended(AT_MS(4), again, Ok(Reply::Ok(vec![])));
    for round in 0..20 {
        core.replace_site(AT_MS(5), site(if round % 2 == 0 { SITE_SETTINGS } else { &changed_settings }));
    }
    assert!(core.site.classes.len() <= 7, "{:?}", core.site.classes);
    let figures = core.figures();
    assert_eq!(figures.classes["keyed"].answered, 1, "a removed class keeps its counts");
    assert!(figures.classes.contains_key("other"));
}

#[test]
fn log_lines_caused_by_clients_are_rate_limited() {
    let mut core = core();
    let lines: Vec<usize> =
        [0, 1_000, 1_500].map(|ms| (0..25).filter(|_| core.may_log(AT_MS(ms))).count()).to_vec();
    assert_eq!((lines, core.counters().unlogged), (vec![10, 10, 0], 55));
}

/// A fault in the policy must not leave a request without an answer.
#[test]
fn a_request_that_the_policy_has_lost_fails_after_its_deadline() {
    let mut core = core();
    submit_request(&mut core, 1, "safe");
    core.policy = Policy::new(core.site.settings.clone(), 1);
    core.on_timeout(AT_MS(3019));
    assert_eq!(core.outstanding(), 1);
    core.on_timeout(AT_MS(3021));
    let is_failure =
        |c: &Command| matches!(c, Command::Answer { answer, .. } if answer.verdict == Verdict::Failed);
    assert_eq!(std::iter::from_fn(|| core.next_command()).filter(is_failure).count(), 1);
    assert_eq!((core.outstanding(), core.counters().overdue), (0, 1));
}

#[test]
fn a_request_gets_one_answer_whatever_arrives_later() {
    let mut core = core();
    let (first, worker) = first_send(&submit_request(&mut core, 1, "safe"));
    core.written(AT_MS(1), first);
    core.on_timeout(AT_MS(2999));
    let count_answers = |core: &mut Core| {
        std::iter::from_fn(|| core.next_command()).filter(|c| matches!(c, Command::Answer { .. })).count()
    };
    assert_eq!(count_answers(&mut core), 1, "one at its deadline");
    core.attempt_ended(AT_MS(3000), first, Ok(Reply::Ok(vec![])));
    core.members(AT_MS(3000), ListKind::Delta, vec![Member { worker, ..Member::default() }]);
    core.on_timeout(AT_MS(9000));
    assert_eq!((count_answers(&mut core), core.outstanding()), (0, 0));
    let commands = submit_request(&mut core, 2, "no such class");
    assert!(matches!(&commands[..], [Command::Answer { answer, .. }] if answer.verdict == Verdict::Failed));
}

/// A shed request is rejected at once with a cooldown, before it reaches the policy, and no attempt is sent. The rate
/// limit of loads counts it as received.
#[test]
fn shed_requests_are_rejected_at_once_and_admitted_ones_are_counted() {
    let mut core = core();
    core.join_fleet(AT_MS(0), 1, true);
    let level = |fence, part| crate::fleet::overload::AdmissionLevel { fence, by: 0, admit: [part; 4] };
    assert!(core.follow(level(3, 0), AT_MS(0)));
    let commands = submit_request(&mut core, 1, "safe");
    let [Command::Answer { answer, .. }] = &commands[..] else { panic!("{commands:?}") };
    assert!(matches!(answer.verdict, Verdict::Refused { .. }) && !answer.expired);
    assert_eq!((core.outstanding(), core.counters().shed, core.counters().refused), (0, 1, 1));
    assert!(!core.follow(level(2, 255), AT_MS(1)), "a level of an earlier controller is ignored");
    assert!(core.follow(level(3, 255), AT_MS(1)));
    assert!(
        submit_request(&mut core, 2, "safe").iter().any(|command| matches!(command, Command::Send { .. }))
    );
    let demand = core.demand(AT_MS(2));
    assert_eq!((demand.offered.iter().sum::<u16>(), demand.served, demand.open), (2, 0, 1));
    core.on_timeout(AT_MS(9_000));
    assert_eq!(core.demand(AT_MS(9_000)).open, 0, "a request that has timed out is not open");
}

/// A probe or load request decided under a lease is written only under that grant of the lease, with time left, and
/// under no later grant: a process that was suspended in between must not act at the same time as the next holder.
#[test]
fn queued_messages_are_not_written_once_their_lease_has_ended() {
    let mut core = core();
    submit_request(&mut core, 1, "safe");
    core.join_fleet(AT_MS(0), 2, false);
    let grant = |fence, ms| Some(LeaseGrant { fence, until: AT_MS(ms) });
    let decide = |core: &mut Core| {
        while core.next_command().is_some() {}
        core.carry_out(AT_MS(1), &Action::Probe { worker: WorkerId(1), part: Some(1) });
        let Some(Command::Probe { probe, .. }) = core.next_command() else { panic!("expected a probe") };
        let load =
            Action::Load { worker: WorkerId(1), function: CALLED_FUNCTION, instances: 1, part: Some(1) };
        core.carry_out(AT_MS(1), &load);
        let Some(Command::Load { load, .. }) = core.next_command() else { panic!("expected a load request") };
        (probe, load)
    };
    let may_write = |core: &mut Core, ms, (probe, load): (ProbeId, LoadId)| {
        let may = core.may_write_probe(AT_MS(ms), probe);
        assert_eq!(core.may_write_load(AT_MS(ms), load), may);
        may
    };
    for task in Task::PARTITIONED {
        core.set_lease(AT_MS(0), task, 1, grant(5, 1_000));
        core.set_lease(AT_MS(0), task, 0, grant(9, 9_000));
    }
    let decided = decide(&mut core);
    assert!(may_write(&mut core, 900, decided));
    assert!(
        !may_write(&mut core, 1_000 - LEASE_MARGIN.0 / 1_000_000, decided),
        "too close to the end of the lease"
    );
    Task::PARTITIONED.iter().for_each(|task| core.set_lease(AT_MS(10), *task, 1, grant(5, 2_000)));
    assert!(may_write(&mut core, 1_500, decided), "renewed");
    Task::PARTITIONED.iter().for_each(|task| core.set_lease(AT_MS(20), *task, 1, None));
    assert!(!may_write(&mut core, 30, decided), "released");
    let without_lease = decide(&mut core);
    Task::PARTITIONED.iter().for_each(|task| core.set_lease(AT_MS(40), *task, 1, grant(6, 3_000)));
    assert!(!may_write(&mut core, 50, decided), "granted again, under another fence");
    assert!(!may_write(&mut core, 50, without_lease), "decided while no lease was held");
    let again = decide(&mut core);
    assert!(may_write(&mut core, 60, again));
}

/// Two attempts are written at the same timestamp, and the second never runs. The first may have run all the same, so
/// the request must not be retried outside the window that began with the first.
#[test]
fn an_attempt_that_never_ran_does_not_reset_the_deduplication_window() {
    let mut core = core();
    let (first, _) = first_send(&submit_request(&mut core, 1, "keyed"));
    core.written(AT_MS(5), first);
    core.attempt_ended(AT_MS(5), first, connection_broken(AttemptProgress::Out));
    let all: Vec<Command> = std::iter::from_fn(|| core.next_command()).collect();
    let (second, _) = first_send(&all);
    assert!(core.may_write(AT_MS(5), second));
    core.written(AT_MS(5), second);
    core.attempt_ended(AT_MS(500), second, Ok(Reply::Full));
    let (mut now, mut all) = (AT_MS(500), vec![]);
    while !all.iter().any(|command| matches!(command, Command::Send { .. })) {
        all.extend(std::iter::from_fn(|| core.next_command()));
        now = now + Duration::millis(10);
        core.on_timeout(now);
        assert!(now < AT_MS(1000), "there is time for a third attempt");
    }
    let (third, _) = first_send(&all);
    assert!(core.may_write(now, third));
    assert!(!core.may_write(AT_MS(1000), third), "the window of the first attempt has passed");
}
