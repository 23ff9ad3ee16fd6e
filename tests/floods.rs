//! Clients that name or withdraw without end: what they leave behind in the scheduler is bounded, and usual clients keep
//! their answers and their functions' tiers.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use mintgate::chain::{Chain, End, Step};
use mintgate::core::{Command, Core, IncomingRequest, Owner, Reply, TableSizes};
use mintgate::{Duration, FunctionId, ListKind, Member, Timestamp, WorkerId};
use rig::*;
use serde_json::json;

/// Workers of the core's tests: enough for a full cached order of each function.
const WORKERS: u64 = 40;
/// Requests of a flood in the core's tests.
const FLOOD_REQUESTS: u64 = 100_000;
/// Most entries of any table after a flood. With the largest entries, of 1 KB, they take half of the smallest memory
/// limit, which is 32 MB.
const MAX_ENTRIES: usize = 16_384;
/// The smallest memory limit of a scheduler, in kB.
const MEMORY_KB: u64 = 32 << 10;

/// A core in virtual time, with workers that answer at once.
struct CoreRig {
    core: Core,
    now: Timestamp,
    next_stream: u64,
    /// Load requests that were allowed to be written, by function.
    loads: Vec<FunctionId>,
    chain_ends: Vec<End>,
}

impl CoreRig {
    fn new() -> CoreRig {
        let site = mintgate::settings::read_site(settings().to_string().as_bytes()).unwrap();
        let now = Timestamp(1_000_000_000_000);
        let mut core = Core::new(site, 7);
        let members = (1..=WORKERS).map(|id| Member { worker: WorkerId(id), ..Member::default() }).collect();
        core.members(now, ListKind::Full, members);
        CoreRig { core, now, next_stream: 0, loads: vec![], chain_ends: vec![] }
    }

    fn submit(&mut self, function: u64, allow: Duration) -> Owner {
        self.next_stream += 1;
        let owner = Owner { connection: 1, stream: self.next_stream };
        let request = IncomingRequest {
            owner,
            reference: format!("{:016x}", self.next_stream),
            class: "practice-check".into(),
            function: FunctionId(function),
            key: None,
            memory_mb: 370.0,
            concurrency: 4.0,
            load_time: None,
            deadline: self.now + allow,
            body: vec![],
        };
        self.core.submit(self.now, request);
        owner
    }

    /// Carries out all commands; attempts are written and get this answer.
    fn answer(&mut self, reply: &Reply) {
        while let Some(command) = self.core.next_command() {
            match command {
                Command::Send { attempt, .. } => {
                    if self.core.may_write(self.now, attempt) {
                        self.core.written(self.now, attempt);
                        self.core.attempt_ended(self.now, attempt, Ok(reply.clone()));
                    } else {
                        self.core.attempt_not_sent(self.now, attempt);
                    }
                }
                Command::Load { load, function, .. } => {
                    if self.core.may_write_load(self.now, load) {
                        self.loads.push(function);
                    }
                    self.core.load_not_sent(self.now, load);
                }
                Command::Probe { probe, .. } => self.core.probe_ended(self.now, probe, Ok(vec![])),
                Command::Chain { end, .. } => self.chain_ends.push(end),
                _ => {}
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.core.next_timeout().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.core.on_timeout(self.now);
        }
        self.now = end;
    }
}

fn assert_bounded(sizes: &TableSizes) {
    let policy = &sizes.policy;
    let tables = [
        ("requests", sizes.requests),
        ("attempts", sizes.attempts),
        ("timers", sizes.timers),
        ("arrivals", sizes.arrivals),
        ("pending", policy.pending),
        ("policy timers", policy.timers),
        ("functions", policy.functions),
        ("instances", policy.instances),
        ("recent events", policy.recent_events),
    ];
    for (name, entries) in tables {
        assert!(entries <= MAX_ENTRIES, "{name}: {entries} entries of {sizes:?}");
    }
}

/// Functions of requests that are withdrawn at once, and the requests' timers, do not fill the memory.
#[test]
fn requests_withdrawn_at_once_leave_nothing_behind() {
    let mut rig = CoreRig::new();
    for number in 0..FLOOD_REQUESTS {
        let owner = rig.submit(number, Duration::millis(3_600_000));
        rig.core.withdraw(rig.now, owner);
        rig.answer(&Reply::Error);
        rig.now = rig.now + Duration(10_000);
    }
    assert_bounded(&rig.core.table_sizes());
}

/// The same if they are withdrawn after their attempts were written.
#[test]
fn requests_withdrawn_later_leave_nothing_behind() {
    let mut rig = CoreRig::new();
    let mut open = std::collections::VecDeque::new();
    for number in 0..FLOOD_REQUESTS {
        open.push_back(rig.submit(number, Duration::millis(3_600_000)));
        while let Some(command) = rig.core.next_command() {
            match command {
                Command::Send { attempt, .. } if rig.core.may_write(rig.now, attempt) => {
                    rig.core.written(rig.now, attempt);
                }
                _ => {}
            }
        }
        if open.len() > 32 {
            rig.core.withdraw(rig.now, open.pop_front().unwrap());
        }
        rig.now = rig.now + Duration(10_000);
    }
    assert_bounded(&rig.core.table_sizes());
}

/// Functions that no worker knows do not fill the memory either if their requests are answered.
#[test]
fn functions_unknown_to_workers_do_not_fill_the_memory() {
    let mut rig = CoreRig::new();
    for number in 0..FLOOD_REQUESTS {
        rig.submit(number, Duration::millis(3_000));
        rig.answer(&Reply::Error);
        rig.now = rig.now + Duration(10_000);
    }
    assert_bounded(&rig.core.table_sizes());
}

/// Functions that chains name for later steps do not fill the memory.
#[test]
fn functions_of_withdrawn_chains_do_not_fill_the_memory() {
    let mut rig = CoreRig::new();
    let step = |function: u64| Step {
        class: "practice-check".into(),
        function: FunctionId(function),
        memory_mb: 370.0,
        concurrency: 4.0,
        load_time: Some(Duration::millis(300)),
        body: Some(vec![]),
    };
    for number in 0..FLOOD_REQUESTS / 4 {
        rig.next_stream += 1;
        let owner = Owner { connection: 2, stream: rig.next_stream };
        let steps = (0..4).map(|place| step(number * 4 + place)).collect();
        let deadline = rig.now + Duration::millis(3_000);
        rig.core.chain(rig.now, Chain { owner, key: None, deadline, steps });
        rig.core.withdraw(rig.now, owner);
        rig.answer(&Reply::Error);
        rig.now = rig.now + Duration(10_000);
    }
    assert_bounded(&rig.core.table_sizes());
}

/// Made-up functions, however often they are named, push no served one out of the gold tier, and its loads stay allowed.
#[test]
fn a_flood_of_names_does_not_cost_a_called_function_its_tier() {
    const USUAL: u64 = 0xabcd;
    const NAMED_OFTEN: u64 = 0x5555;
    let mut rig = CoreRig::new();
    let mut made_up = 1 << 32;
    for flooded in [false, true] {
        rig.loads.clear();
        for _ in 0..1_500 {
            rig.submit(USUAL, Duration::millis(3_000));
            rig.answer(&Reply::Ok(vec![]));
            for _ in 0..if flooded { 50 } else { 0 } {
                made_up += 1;
                let withdrawn = [
                    rig.submit(made_up, Duration::millis(3_000)),
                    rig.submit(NAMED_OFTEN, Duration::millis(3_000)),
                ];
                for owner in withdrawn {
                    rig.core.withdraw(rig.now, owner);
                }
                rig.submit(NAMED_OFTEN + 1, Duration::millis(3_000));
                rig.answer(&Reply::Error);
            }
            rig.advance(Duration::millis(20));
            rig.answer(&Reply::Error);
        }
        let renewed = rig.loads.iter().filter(|function| function.0 == USUAL).count();
        let others =
            rig.loads.iter().filter(|function| (NAMED_OFTEN..NAMED_OFTEN + 2).contains(&function.0)).count();
        // A keep-alive lasts 8.7 s: in 30 s each worker is due several times.
        assert!(renewed >= WORKERS as usize, "flooded: {flooded}; {renewed} loads of the usual function");
        assert_eq!(others, 0, "flooded: {flooded}; a function that was never served is not kept warm");
    }
}

/// Keys count as memory of the requests that bring them: beyond a sixth of the limit requests are refused.
#[test]
fn keys_of_open_requests_are_bounded_like_their_bodies() {
    let mut rig = CoreRig::new();
    rig.core.limit_memory(6 << 20);
    for _ in 0..100 {
        rig.next_stream += 1;
        let request = IncomingRequest {
            owner: Owner { connection: 1, stream: rig.next_stream },
            reference: format!("{:016x}", rig.next_stream),
            class: "credit-submit".into(),
            function: FunctionId(1),
            key: Some("k".repeat(30_000)),
            memory_mb: 370.0,
            concurrency: 4.0,
            load_time: None,
            deadline: rig.now + Duration::millis(3_000),
            body: vec![],
        };
        rig.core.submit(rig.now, request);
    }
    let open = rig.core.outstanding();
    assert!((30..=34).contains(&open), "{open} requests with 30 kB each are open within 1 MB");
}

/// Kilobytes of a process's memory that it shares with no file.
fn own_memory_kb(daemon: &Daemon) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// A usual client beside clients that withdraw requests for ever new functions is answered, and the memory stays below
/// its limit: binary front.
#[test]
fn withdrawn_requests_for_new_functions_keep_the_memory_limit() {
    const BURST: u64 = 32;
    let worker = Worker::over_tcp();
    let daemon = Daemon::with_limits(&[&worker], json!({"sockets": 256, "memory_mb": 32}));
    worker.serve(echo);
    let mut usual = FrameClient::connect(daemon.listen);
    let mut bad = FrameClient::connect(daemon.listen);
    let mut peak_kb = 0;
    for round in 0..FLOOD_REQUESTS / BURST {
        let mut burst = Vec::new();
        let streams = round * BURST + 1..=(round + 1) * BURST;
        for stream in streams.clone() {
            let name = format!("{stream:016x}");
            let fields = [
                ("service", "practice-check"),
                ("ref", name.as_str()),
                ("allow", "3600000"),
                ("lookup", name.as_str()),
                ("spec", "memory_mb:370;lanes:2"),
            ];
            burst.extend(frame(0, stream as u32, &request(&fields, b"")));
        }
        for stream in streams {
            burst.extend(frame(2, stream as u32, &[]));
        }
        bad.send(&burst);
        if round % 100 == 0 {
            let stream = round as u32 + 1;
            let reference = format!("{:016x}", 0xf000_0000_0000_0000 + round);
            usual.send(&frame(0, stream, &call("practice-check", &reference, 20_000, b"x")));
            assert_eq!(usual.next(), Some((1, stream, vec![79, 0, b'x'])));
            peak_kb = peak_kb.max(own_memory_kb(&daemon));
        }
    }
    peak_kb = peak_kb.max(own_memory_kb(&daemon));
    assert!(peak_kb < MEMORY_KB, "{peak_kb} kB");
}

/// The same on the JSON-RPC front, where the answers to cancelled requests are read at once.
#[test]
fn cancelled_requests_for_new_functions_keep_the_memory_limit() {
    const BURST: u64 = 16;
    let worker = Worker::over_tcp();
    let folder_of = |folder: &Folder| folder.at("calls.sock");
    let daemon = Daemon::start_with_limits(
        &[&worker],
        settings(),
        json!({"sockets": 256, "memory_mb": 32}),
        None,
        |folder| format!("[jsonrpc]\nsocket = \"{}\"\n", folder_of(folder).display()),
    );
    worker.serve(echo);
    let mut usual = RpcClient::connect(&folder_of(&daemon.folder));
    let mut bad = RpcClient::connect(&folder_of(&daemon.folder));
    let mut peak_kb = 0;
    for round in 0..FLOOD_REQUESTS / BURST {
        let mut lines = Vec::new();
        let ids = round * BURST + 1..=(round + 1) * BURST;
        for id in ids.clone() {
            let params = json!({"class": "practice-check", "function": format!("{id:016x}"), "allow_ms": 3_600_000,
                "memory_mb": 370, "lanes": 2});
            lines.push(json!({"jsonrpc": "2.0", "id": id, "method": "call", "params": params}).to_string());
        }
        for id in ids.clone() {
            lines.push(json!({"jsonrpc": "2.0", "method": "cancel", "params": {"id": id}}).to_string());
        }
        bad.send(&lines.join("\n"));
        for _ in ids {
            assert_eq!(bad.next()["error"]["code"], -32004);
        }
        if round % 100 == 0 {
            let reference = format!("{:016x}", 0xf000_0000_0000_0000 + round);
            usual.send(&rpc_call(&json!(1), "practice-check", &reference, 20_000, "eA==").to_string());
            assert_eq!(usual.next()["result"]["body"], "eA==");
            peak_kb = peak_kb.max(own_memory_kb(&daemon));
        }
    }
    peak_kb = peak_kb.max(own_memory_kb(&daemon));
    assert!(peak_kb < MEMORY_KB, "{peak_kb} kB");
}

/// Long ids of open JSON-RPC requests are refused like too many requests.
#[test]
fn long_ids_of_open_requests_are_bounded() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start_with(&[&worker], settings(), None, |folder| {
        format!("[jsonrpc]\nsocket = \"{}\"\n", folder.at("calls.sock").display())
    });
    worker.serve(|_| None);
    let mut client = RpcClient::connect(&daemon.folder.at("calls.sock"));
    for number in 0..8 {
        let id = json!(format!("{number}{}", "i".repeat(20_000)));
        client.send(&rpc_call(&id, "practice-check", &format!("{number:016x}"), 20_000, "").to_string());
    }
    for _ in 1..8 {
        assert_eq!(client.next()["error"]["code"], -32001, "one request with so long an id is open");
    }
}

/// A request that is withdrawn in the input that brought it is never placed: hundreds of them would take the workers'
/// capacity from usual clients. Binary and JSON-RPC front.
#[test]
fn requests_withdrawn_in_the_same_input_are_not_placed() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start_with(&[&worker], settings(), None, |folder| {
        format!("[jsonrpc]\nsocket = \"{}\"\n", folder.at("calls.sock").display())
    });
    let mut frames = FrameClient::connect(daemon.listen);
    let withdrawn = frame(0, 1, &call("practice-check", "00000000000000a1", 2_000, b"x"));
    let kept = frame(0, 2, &call("practice-check", "00000000000000a2", 2_000, b"y"));
    frames.send(&[withdrawn, kept, frame(2, 1, &[])].concat());
    let mut lines = RpcClient::connect(&daemon.folder.at("calls.sock"));
    let withdrawn = rpc_call(&json!(1), "practice-check", "00000000000000b1", 2_000, "");
    let kept = rpc_call(&json!(2), "practice-check", "00000000000000b2", 2_000, "eQ==");
    let cancel = json!({"jsonrpc": "2.0", "method": "cancel", "params": {"id": 1}});
    lines.send(&format!("{withdrawn}\n{kept}\n{cancel}"));
    worker.serve(echo);
    assert_eq!(frames.next(), Some((1, 2, vec![79, 0, b'y'])));
    assert_eq!(lines.next()["error"]["code"], -32004);
    assert_eq!(lines.next()["result"]["body"], "eQ==");
    assert_eq!((daemon.counter("taken"), daemon.counter("withdrawn"), daemon.counter("attempts")), (4, 2, 2));
}
