//! Tests that steps of the wall clock, by up to an hour, forward or back, do not distort Unix times received from outside,
//! neither in a process started before the step nor in one started after it.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a failed unwrap ends the test, and a test is read from top to bottom"
)]

mod rig;

use rig::*;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
const CALLS_PER_SERIES: u32 = 120;
/// Interval between two calls of a series.
const CALL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of functions that are called in turn; each has its own preferred worker.
const FUNCTION_COUNT: u32 = 40;

/// Unix time in milliseconds by a clock that is off by `off_by_ms`.
fn unix_ms(off_by_ms: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    (now + off_by_ms) as u64
}

/// Settings under which a worker can take almost no load for `cold_ms` after its start.
fn cold_for(cold_ms: u64) -> Value {
    let mut settings = settings();
    settings["contract"] = json!({"coldFrom": 0.01, "coldNs": cold_ms * 1_000_000, "fallMultiple": 1.0,
        "fallNs": 2_000_000_000u64, "drainGraceNs": 2_000_000_000u64});
    settings
}

fn request_of(number: u32, round: u32) -> Vec<u8> {
    let reference = format!("{:016x}", (u64::from(round) << 32) | (u64::from(number) + 1));
    let function = format!("{:016x}", 0x7f3a_9c21_0000 + u64::from(number % FUNCTION_COUNT));
    let list = [
        ("service", "practice-check"),
        ("ref", reference.as_str()),
        ("allow", "3000"),
        ("lookup", function.as_str()),
        ("spec", "memory_mb:64;lanes:2;load_ms:100"),
    ];
    frame(0, number + 1, &request(&list, b"x"))
}

/// Sends a series of calls at a steady rate; all are answered, and none fails.
fn call_all(daemon: &Daemon, round: u32) {
    let mut client = FrameClient::connect(daemon.listen);
    let mut answers = FrameClient(client.0.try_clone().unwrap());
    let reader = thread::spawn(move || {
        for _ in 0..CALLS_PER_SERIES {
            let (kind, _, payload) = answers.next().expect("an answer");
            assert!(kind == 1 && [79, 66].contains(&payload[0]), "{kind} {payload:?}");
        }
    });
    for number in 0..CALLS_PER_SERIES {
        client.send(&request_of(number, round));
        thread::sleep(CALL_INTERVAL);
    }
    reader.join().unwrap();
}

/// Number of calls that a worker has received.
fn calls_at(lines: &Lines) -> usize {
    count_by_verb(lines).get("go").copied().unwrap_or(0)
}

/// A daemon that knows one long-running worker, its discovery connection, and a second worker to be reported.
struct Site {
    daemon: Daemon,
    discovery: TcpStream,
    reported: SocketAddr,
    reported_lines: Lines,
}

impl Site {
    fn start(settings: Value, wall_clock_ms: i64) -> Site {
        let (known, reported, bus) = (Worker::over_tcp(), Worker::over_tcp(), Bus::new());
        let address = bus.0.local_addr().unwrap();
        let daemon =
            Daemon::with_faults(&[&known], settings, Some(address), |_| String::new(), wall_clock_ms);
        let (discovery, _) = bus.accept();
        let at = reported.address();
        known.serve(echo);
        Site { daemon, discovery, reported: at, reported_lines: reported.serve(echo) }
    }

    /// Discovery reports the second worker as started at this Unix time.
    fn report_start(&mut self, started_ms: u64) {
        use std::io::Write;
        let before = self.daemon.counter("list_events");
        self.discovery.write_all(&change(2, 9, self.reported, 0, started_ms)).unwrap();
        self.daemon.wait_counter("list_events", before + 1);
    }
}

/// Offsets of the clocks in milliseconds: the scheduler's own at its start, its own when the worker is reported, and the
/// clock by which the worker's start is reported.
type Clocks = (i64, i64, i64);

const CLOCK_CASES: [Clocks; 7] = [
    (0, 0, 0),
    // All clocks of the site are stepped.
    (0, -HOUR_MS, -HOUR_MS),
    (0, HOUR_MS, HOUR_MS),
    // The scheduler's own alone.
    (0, -HOUR_MS, 0),
    (0, HOUR_MS, 0),
    // The scheduler's own was off before the scheduler started.
    (HOUR_MS, HOUR_MS, 0),
    (-HOUR_MS, -HOUR_MS, 0),
];

/// Number of calls of a series that a worker receives, `after` it was reported as just started.
fn calls_after(settings: &Value, (at_start, now, outside): Clocks, after: Duration) -> usize {
    let mut site = Site::start(settings.clone(), at_start);
    site.daemon.faults().step_wall_clock(now).unwrap();
    site.report_start(unix_ms(outside));
    thread::sleep(after);
    call_all(&site.daemon, 1);
    calls_at(&site.reported_lines)
}

/// Runs all cases in parallel.
fn calls_by_clocks(cold_ms: u64, after: Duration) -> Vec<(Clocks, usize)> {
    let settings = cold_for(cold_ms);
    thread::scope(|scope| {
        let runs = CLOCK_CASES.map(|clocks| {
            let settings = &settings;
            (clocks, scope.spawn(move || calls_after(settings, clocks, after)))
        });
        runs.map(|(clocks, thread)| (clocks, thread.join().unwrap())).to_vec()
    })
}

#[test]
fn a_worker_that_has_just_started_is_cold_whichever_clock_was_stepped() {
    let sent = calls_by_clocks(15_000, Duration::ZERO);
    let most = CALLS_PER_SERIES as usize / 10;
    assert!(
        sent.iter().all(|(_, sent)| *sent <= most),
        "calls of {CALLS_PER_SERIES} at a cold worker: {sent:?}"
    );
}

/// A worker's cold time is measured in real time.
#[test]
fn a_worker_is_warm_after_its_cold_time_whichever_clock_was_stepped() {
    let sent = calls_by_clocks(1_000, Duration::from_millis(1_200));
    let least = CALLS_PER_SERIES as usize / 5;
    assert!(
        sent.iter().all(|(_, sent)| *sent >= least),
        "calls of {CALLS_PER_SERIES} at a warm worker: {sent:?}"
    );
}

/// A start that is reported twice, with a clock step in between, counts as one start: what was learned about the worker
/// is kept.
#[test]
fn a_start_that_is_reported_again_after_a_step_is_the_same_start() {
    use std::io::Write;
    let mut site = Site::start(cold_for(1_000), 0);
    let started = unix_ms(0);
    site.report_start(started);
    thread::sleep(Duration::from_millis(1_200));
    site.daemon.faults().step_wall_clock(-HOUR_MS).unwrap();
    let before = site.daemon.counter("list_events");
    site.discovery.write_all(&change(3, 9, site.reported, 0, started)).unwrap();
    site.daemon.wait_counter("list_events", before + 1);
    call_all(&site.daemon, 1);
    let sent = calls_at(&site.reported_lines);
    assert!(
        sent >= CALLS_PER_SERIES as usize / 5,
        "{sent} of {CALLS_PER_SERIES} calls at a worker that is warm"
    );
}

/// Checks that a worker that an operator uncordons counts as just started at the old and the new process of an upgrade,
/// whichever was called, although their clocks differ by `step_ms`.
fn an_uncordoned_worker_is_cold_at_both(step_ms: i64) {
    let (one, other) = (Worker::over_tcp(), Worker::over_tcp());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first = Daemon::with_faults(&[&one, &other], cold_for(15_000), None, |_| String::new(), 0);
    let (folder, config) = (first.folder.clone(), first.config.clone());
    drop(first);
    let faults = |offset_ms: i64, name: &str| {
        let faults = lab::faults::Faults::new(&folder.at(name)).unwrap();
        faults.step_wall_clock(offset_ms).unwrap();
        Some(Arc::new(faults))
    };
    let mut old = Daemon::spawn_faulty(folder.clone(), config.clone(), Some(&listener), faults(0, "old"));
    old.serves();
    let (one, other) = (one.serve(echo), other.serve(echo));
    // The first worker is cordoned and uncordoned at the old process, before the new one starts.
    assert_eq!(old.operate("POST", "/api/exclude?name=s-00000001").0, 200);
    assert_eq!(old.operate("POST", "/api/include?name=s-00000001").0, 200);
    let mut new = Daemon::spawn_faulty(folder.clone(), config, Some(&listener), faults(step_ms, "new"));
    new.serves();
    old.wait_log("listener=closed");
    call_all(&new, 1);
    let sent = calls_at(&one);
    assert!(
        sent <= CALLS_PER_SERIES as usize / 10,
        "{sent} of {CALLS_PER_SERIES} calls at a worker that was just uncordoned"
    );
    // The other worker is uncordoned at the new process, which notifies the old one.
    assert_eq!(new.operate("POST", "/api/exclude?name=s-00000002").0, 200);
    assert_eq!(new.operate("POST", "/api/include?name=s-00000002").0, 200);
    drop(new);
    old.wait_log("listener=open");
    let before = calls_at(&other);
    call_all(&old, 2);
    let sent = calls_at(&other) - before;
    assert!(
        sent <= CALLS_PER_SERIES as usize / 10,
        "{sent} of {CALLS_PER_SERIES} calls at a worker that was just uncordoned"
    );
}

#[test]
fn an_uncordoned_worker_is_cold_at_both_processes_of_an_upgrade() {
    an_uncordoned_worker_is_cold_at_both(0);
    an_uncordoned_worker_is_cold_at_both(HOUR_MS);
    an_uncordoned_worker_is_cold_at_both(-HOUR_MS);
}
