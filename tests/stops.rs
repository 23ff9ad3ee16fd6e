//! A process that is stopped again and again beside busy processors: what clients wrote meanwhile has no more time than they.
//!
//! Guards against deadlines that count from when a request was read: one that lay unread through a stop went out with up to
//! the whole length of the stop too much.

#![allow(
    clippy::unwrap_used,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rig::*;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 6;
/// How long a client waits for its answer, in milliseconds.
const ALLOWED_MS: u64 = 2_900;
/// By so much the time told to a worker may be too long, in milliseconds.
const SLACK_MS: u64 = 150;
/// From one request of a client to its next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Milliseconds for which the process is stopped, and runs until it is stopped again.
const STOPPED_MS: std::ops::Range<u64> = 50..1_500;
const RUNS_MS: std::ops::Range<u64> = 50..250;
/// Stops in one run; more are played by hand.
const STOPS: usize = 24;
const STOPS_VARIABLE: &str = "MINTGATE_STOPS";
const SEED_VARIABLE: &str = "MINTGATE_SEED";

fn from_environment(name: &str, default: usize) -> usize {
    std::env::var(name).map_or(default, |text| text.parse().unwrap())
}

/// Processes that keep every core busy, for as long as this lives.
struct BusyCores(Vec<Child>);

impl BusyCores {
    fn start() -> BusyCores {
        let cores = thread::available_parallelism().unwrap().get();
        let busy = || Command::new("sh").args(["-c", "while :; do :; done"]).spawn().unwrap();
        BusyCores((0..cores).map(|_| busy()).collect())
    }
}

impl Drop for BusyCores {
    fn drop(&mut self) {
        for process in &mut self.0 {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// When each request had been written, by its reference.
type Written = Arc<Mutex<HashMap<String, Instant>>>;

/// One client's part: numbers of its own, and the record of what it wrote.
#[derive(Clone)]
struct Writer {
    next: Arc<AtomicU32>,
    written: Written,
    over: Arc<AtomicBool>,
}

impl Writer {
    fn new() -> Writer {
        Writer { next: Arc::default(), written: Arc::default(), over: Arc::default() }
    }

    /// Has `write` write one request after another, each with a number and a reference of its own.
    fn run(&self, mut write: impl FnMut(u32, &str)) {
        while !self.over.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed) + 1;
            let reference = format!("{number:016x}");
            write(number, &reference);
            // It was in the socket by now.
            self.written.lock().unwrap().insert(reference, Instant::now());
            thread::sleep(REQUEST_INTERVAL);
        }
    }

    fn over_tcp(self, daemon: &Daemon) -> thread::JoinHandle<()> {
        let mut frames = Frames::connect(daemon.listen);
        let mut answers = Frames(frames.0.try_clone().unwrap());
        thread::spawn(move || while answers.next().is_some() {});
        thread::spawn(move || {
            self.run(|number, reference| {
                frames.send(&frame(0, number, &call("practice-check", reference, ALLOWED_MS, b"x")));
            });
            frames.0.shutdown(std::net::Shutdown::Both).unwrap();
        })
    }

    fn over_unix(self, daemon: &Daemon) -> thread::JoinHandle<()> {
        let mut client = Rpc::connect(&daemon.folder.at("calls.sock"));
        let mut answers = client.0.get_ref().try_clone().unwrap();
        thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
        thread::spawn(move || {
            self.run(|number, reference| {
                let request = rpc_call(&json!(number), "practice-check", reference, ALLOWED_MS, "eA==");
                client.send(&request.to_string());
            });
            client.0.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
        })
    }
}

/// A stop: from when the process stood still for certain until just before it was continued.
struct Stop {
    from: Instant,
    until: Instant,
}

impl Stop {
    fn play(daemon: &Daemon, lasts: Duration) -> Stop {
        daemon.signal("STOP");
        let stat = format!("/proc/{}/stat", daemon.child.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            thread::yield_now();
        }
        let from = Instant::now();
        thread::sleep(lasts);
        let until = Instant::now();
        daemon.signal("CONT");
        Stop { from, until }
    }
}

/// An attempt as its worker was told of it.
struct Attempt {
    reference: String,
    left_ms: u64,
}

/// Attempts with more time than their client had when the process was continued, which is the earliest that they can
/// have been written; by stop.
fn too_long(
    attempts: &[Attempt],
    written: &HashMap<String, Instant>,
    stops: &[Stop],
) -> BTreeMap<usize, Vec<String>> {
    let mut found: BTreeMap<usize, Vec<String>> = BTreeMap::new();
    for Attempt { reference, left_ms } in attempts {
        let Some(at) = written.get(reference) else { continue };
        let Some(stop) = stops.iter().position(|stop| stop.from <= *at && *at <= stop.until) else {
            continue;
        };
        let lay_ms = (stops[stop].until - *at).as_millis() as u64;
        if left_ms + lay_ms > ALLOWED_MS + SLACK_MS {
            let what = format!("{left_ms} ms left of {reference}, which lay for {lay_ms} ms");
            found.entry(stop).or_default().push(what);
        }
    }
    found
}

fn what_lay_unread_has_no_more_time_than_its_client(
    connect: impl Fn(Writer, &Daemon) -> thread::JoinHandle<()>,
    seed: u64,
) {
    let workers: Vec<Worker> = (0..2).map(|_| Worker::over_tcp()).collect();
    let listed: Vec<&Worker> = workers.iter().collect();
    let daemon = Daemon::with(&listed, settings(), None, |folder| {
        format!("[jsonrpc]\nsocket = {:?}\n", folder.at("calls.sock"))
    });
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    for worker in workers {
        let attempts = attempts.clone();
        worker.serve(move |heard| {
            if heard.word() == "go" {
                let left_ms = heard.line["attrs"]["ttl"].as_u64().unwrap();
                attempts.lock().unwrap().push(Attempt { reference: heard.name(), left_ms });
            }
            echo(heard)
        });
    }
    let busy = BusyCores::start();
    let writer = Writer::new();
    let clients: Vec<_> = (0..CLIENTS).map(|_| connect(writer.clone(), &daemon)).collect();
    let mut rng = SmallRng::seed_from_u64(from_environment(SEED_VARIABLE, seed as usize) as u64);
    let stops: Vec<Stop> = (0..from_environment(STOPS_VARIABLE, STOPS))
        .map(|_| {
            thread::sleep(Duration::from_millis(rng.random_range(RUNS_MS)));
            Stop::play(&daemon, Duration::from_millis(rng.random_range(STOPPED_MS)))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    writer.over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    drop(busy);
    let (attempts, written) = (attempts.lock().unwrap(), writer.written.lock().unwrap());
    assert!(attempts.len() > stops.len(), "requests are served: {} attempts", attempts.len());
    let found = too_long(&attempts, &written, &stops);
    println!("{} attempts, {} stops, too much time after {}", attempts.len(), stops.len(), found.len());
    assert!(found.is_empty(), "after {} stops of {}: {found:#?}", found.len(), stops.len());
}

#[test]
fn requests_that_lay_unread_through_stops_beside_load_have_no_more_time_than_their_clients() {
    what_lay_unread_has_no_more_time_than_its_client(Writer::over_tcp, 1);
}

#[test]
fn json_rpc_requests_that_lay_unread_through_stops_beside_load_have_no_more_time_than_their_clients() {
    what_lay_unread_has_no_more_time_than_its_client(Writer::over_unix, 2);
}
