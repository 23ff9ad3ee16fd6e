//! An outage of discovery, with real processes, that lasts longer than a drain may go unreceived.
//!
//! Guards against this failure: discovery became unreachable for all schedulers, and two busy workers began to drain
//! right after, rejecting every new request and load request. A drain counts as received seven seconds after it was put
//! into discovery, whether it arrived or not, and a grace later no new work may be sent to the worker. All schedulers
//! went on for the whole outage: 2,331 sends and 71 load requests too many. A worker once listed as ready was taken to
//! be ready while discovery was silent: no decision considered the age of the list, and the workers were not probed,
//! although a draining worker answers a probe with `dead` and a ready one with `alive`. The evidence: each scheduler's
//! log showed only `discovery silent`, and the sends were spread evenly over all schedulers and the whole outage.

#![allow(
    clippy::unwrap_used,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use rig::*;
use serde_json::{Value, json};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SCHEDULER_COUNT: usize = 3;
const WORKER_COUNT: usize = 6;
const FUNCTION_COUNT: u64 = 12;
/// The deployment's grace after a drain is received.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// What discovery has listed counts as received after this time at the latest.
const MAX_RECEIVE_DELAY: Duration = Duration::from_secs(7);
/// What the platform adds to every limit.
const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);
/// How long the outage lasts after the last moment at which a draining worker may be sent new work.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Interval between requests at each scheduler.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The kind of discovery outage.
#[derive(Clone, Copy, PartialEq)]
enum Outage {
    /// Its connections stay open, but nothing is sent on them.
    Silent,
    /// Its connections are closed, and new ones are refused.
    Closed,
    /// It continues to send heartbeats but reports no changes.
    Mute,
}

/// A discovery service that sends an empty frame each second until the outage.
struct Discovery {
    address: std::net::SocketAddr,
    out: Arc<AtomicBool>,
}

impl Discovery {
    fn start(outage: Outage) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let out = Arc::new(AtomicBool::new(false));
        let is_out = out.clone();
        thread::spawn(move || Discovery::serve(&listener, outage, &is_out));
        Discovery { address, out }
    }

    fn serve(listener: &TcpListener, outage: Outage, is_out: &AtomicBool) {
        use std::io::Write;
        let mut subscribers: Vec<TcpStream> = vec![];
        let mut next_beat = Instant::now();
        while outage == Outage::Mute || !is_out.load(Ordering::Relaxed) {
            subscribers.extend(listener.accept().ok().map(|(stream, _)| stream));
            if next_beat <= Instant::now() {
                next_beat += Duration::from_secs(1);
                let empty = [&9u32.to_be_bytes()[..], &[0; 9]].concat();
                subscribers.retain_mut(|stream| stream.write_all(&empty).is_ok());
            }
            thread::sleep(Duration::from_millis(5));
        }
        if outage == Outage::Silent {
            // New connections stay in the listener's backlog and are never answered.
            thread::sleep(LONG * 2);
        }
    }
}

/// A worker that drains on command as the platform's workers do: it answers probes accordingly, rejects new requests
/// and load requests, and keeps running.
struct DrainingWorker {
    /// Since when it drains.
    since: Arc<Mutex<Option<Instant>>>,
    /// The time and verb of each message that it rejected while draining.
    rejected: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl DrainingWorker {
    fn serve(worker: Worker) -> DrainingWorker {
        let since = Arc::new(Mutex::new(None));
        let rejected = Arc::new(Mutex::new(vec![]));
        let (drains_since, rejected_by_handler) = (since.clone(), rejected.clone());
        worker.serve(move |received| {
            let drains = drains_since.lock().unwrap().is_some();
            match received.verb() {
                "stat" => Some((if drains { "dead" } else { "alive" }, String::new())),
                "stage" if received.line["attrs"]["replicas"] == 0 => Some(("200", String::new())),
                word @ ("go" | "stage") if drains => {
                    rejected_by_handler.lock().unwrap().push((Instant::now(), word.to_owned()));
                    Some(("503", String::new()))
                }
                _ => echo(received),
            }
        });
        DrainingWorker { since, rejected }
    }

    fn drain(&self) {
        *self.since.lock().unwrap() = Some(Instant::now());
    }

    /// Rejected messages that were sent too late, as milliseconds after the drain began and verb.
    fn late_messages(&self) -> Vec<(u128, String)> {
        let since = self.since.lock().unwrap().unwrap();
        let allowed = MAX_RECEIVE_DELAY + DRAIN_GRACE + SOCKET_ALLOWANCE;
        let rejected = self.rejected.lock().unwrap();
        let late = rejected.iter().filter(|(at, _)| *at > since + allowed);
        late.map(|(at, word)| ((*at - since).as_millis(), word.clone())).collect()
    }
}

/// Whether schedulers may send health checks to workers.
#[derive(Clone, Copy, PartialEq)]
enum HealthChecks {
    Allowed,
    Forbidden,
}

fn site_settings(index: usize, checks: HealthChecks) -> Value {
    let mut settings = settings();
    (settings["fleetSize"], settings["index"]) = (json!(SCHEDULER_COUNT), json!(index));
    settings["bounds"]["probes"] = json!(checks == HealthChecks::Allowed);
    settings["contract"]["drainGraceNs"] = json!(DRAIN_GRACE.as_nanos() as u64);
    settings
}

/// A client's requests: how many were sent, and the thread that collects their verdicts in order of arrival.
struct Client {
    sent: usize,
    verdicts: thread::JoinHandle<Vec<u8>>,
}

impl Client {
    /// Sends requests for several functions at a constant rate until the given time and collects their answers.
    fn run(listen: std::net::SocketAddr, scheduler: usize, until: Instant) -> Client {
        let mut frames = FrameClient::connect(listen);
        let mut answers = FrameClient(frames.0.try_clone().unwrap());
        let verdicts = thread::spawn(move || {
            let mut verdicts = vec![];
            while let Some((kind, _, payload)) = answers.next() {
                assert_eq!(kind, 1, "only answers are expected");
                verdicts.push(payload[0]);
            }
            verdicts
        });
        let mut sent = 0;
        while Instant::now() < until {
            sent += 1;
            let reference = format!("{:016x}", (scheduler as u64) << 32 | sent as u64);
            let function = format!("{:016x}", sent as u64 % FUNCTION_COUNT + 1);
            let list = [
                ("service", "practice-check"),
                ("ref", &reference),
                ("allow", "1000"),
                ("lookup", &function),
                ("spec", "memory_mb:512;lanes:2;load_ms:640"),
            ];
            frames.send(&frame(0, sent as u32, &request(&list, b"x")));
            thread::sleep(REQUEST_INTERVAL);
        }
        thread::sleep(Duration::from_millis(1500));
        frames.0.shutdown(std::net::Shutdown::Write).unwrap();
        Client { sent, verdicts }
    }
}

fn no_late_work_goes_to_draining_workers_during(outage: Outage, checks: HealthChecks) {
    let workers: Vec<Worker> = (0..WORKER_COUNT).map(|_| Worker::over_tcp()).collect();
    let listed: Vec<&Worker> = workers.iter().collect();
    let discoveries: Vec<Discovery> = (0..SCHEDULER_COUNT).map(|_| Discovery::start(outage)).collect();
    let daemons: Vec<Daemon> = discoveries
        .iter()
        .enumerate()
        .map(|(n, discovery)| {
            Daemon::start_with(&listed, site_settings(n, checks), Some(discovery.address), |_| String::new())
        })
        .collect();
    let workers: Vec<DrainingWorker> = workers.into_iter().map(DrainingWorker::serve).collect();
    let start = Instant::now();
    let drain_at = start + Duration::from_millis(1500);
    let until = drain_at + MAX_RECEIVE_DELAY + DRAIN_GRACE + SOCKET_ALLOWANCE + OBSERVATION_TIME;
    let clients: Vec<_> = daemons
        .iter()
        .enumerate()
        .map(|(n, daemon)| {
            let listen = daemon.listen;
            thread::spawn(move || Client::run(listen, n, until))
        })
        .collect();
    thread::sleep(Duration::from_millis(1200));
    for discovery in &discoveries {
        discovery.out.store(true, Ordering::Relaxed);
    }
    thread::sleep(drain_at.saturating_duration_since(Instant::now()));
    workers[..2].iter().for_each(DrainingWorker::drain);
    for client in clients {
        let client = client.join().unwrap();
        let verdicts = client.verdicts.join().unwrap();
        assert_eq!(verdicts.len(), client.sent, "each request has exactly one answer");
        let served = verdicts.iter().filter(|code| **code == 79).count();
        assert!(served * 100 >= client.sent * 95, "too few requests served: {served} of {}", client.sent);
    }
    for daemon in &daemons {
        let outages = u64::from(outage != Outage::Mute);
        assert_eq!(
            daemon.counter("discovery_lost"),
            outages,
            "each scheduler notices the expected number of outages"
        );
    }
    for (n, worker) in workers[..2].iter().enumerate() {
        let late = worker.late_messages();
        assert!(
            late.is_empty(),
            "{} new messages to worker {n} after the grace, the first at {:?} (ms)",
            late.len(),
            late.first()
        );
    }
}

#[test]
fn nothing_new_goes_to_a_draining_worker_while_discovery_is_silent() {
    no_late_work_goes_to_draining_workers_during(Outage::Silent, HealthChecks::Allowed);
}

#[test]
fn nothing_new_goes_to_a_draining_worker_while_discovery_refuses() {
    no_late_work_goes_to_draining_workers_during(Outage::Closed, HealthChecks::Allowed);
}

/// The drains begin before the next frame from discovery is due, and without health checks an idle worker is confirmed
/// only by the list.
#[test]
fn nothing_new_goes_to_a_draining_worker_without_health_checks() {
    no_late_work_goes_to_draining_workers_during(Outage::Closed, HealthChecks::Forbidden);
}

/// The heartbeats keep the list valid here: only the workers' own answers show that they drain.
#[test]
fn nothing_new_goes_to_a_draining_worker_while_discovery_reports_no_changes() {
    no_late_work_goes_to_draining_workers_during(Outage::Mute, HealthChecks::Allowed);
}

/// The list at the start of the process may be as old as the outage.
#[test]
fn a_scheduler_that_starts_in_an_outage_probes_before_it_sends() {
    let workers: Vec<Worker> = (0..2).map(|_| Worker::over_tcp()).collect();
    // The listener is dropped at once, so connections are refused.
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let listed: Vec<&Worker> = workers.iter().collect();
    let daemon = Daemon::start_with(&listed, site_settings(0, HealthChecks::Allowed), Some(nowhere), |_| {
        String::new()
    });
    let workers: Vec<DrainingWorker> = workers.into_iter().map(DrainingWorker::serve).collect();
    workers[0].drain();
    let until = Instant::now() + Duration::from_secs(2);
    let client = Client::run(daemon.listen, 0, until);
    let verdicts = client.verdicts.join().unwrap();
    assert_eq!(verdicts, vec![79; client.sent], "all requests are served by the other worker");
    assert_eq!(*workers[0].rejected.lock().unwrap(), vec![], "the draining worker is sent nothing new");
}
