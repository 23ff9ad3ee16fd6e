//! Discovery out of reach for longer than any drain may go unheard, between real processes.
//!
//! What happened: discovery went out of reach for all schedulers, and two busy workers began to drain just after. They stayed
//! up, rejecting every new request and load unseen. Seven seconds after a drain was put into discovery it counts as received,
//! whether it arrived or not; a grace later nothing new may be sent there. All schedulers went on for as long as the outage
//! lasted: 2,331 sends and 71 load requests too many.
//!
//! Cause: a worker that was listed ready once was taken to be ready for as long as discovery said nothing. No decision looked at
//! the age of the list, and nobody asked the worker, which would have said that it takes no work.
//!
//! What settled it: each scheduler's log shows only `discovery silent`, its sends to the two workers are spread evenly over
//! all schedulers and the whole outage, and a draining worker answers a probe with `dead`, a ready one with `alive`.

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

const SCHEDULERS: usize = 3;
const WORKERS: usize = 6;
const FUNCTIONS: u64 = 12;
/// The deployment's grace after a drain is known.
const GRACE: Duration = Duration::from_millis(500);
/// What is in discovery counts as received after this time at the latest.
const RECEIVED_AT_THE_LATEST: Duration = Duration::from_secs(7);
/// What the platform adds to every limit.
const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);
/// For how long the outage goes on after the last moment at which a draining worker may be sent something.
const WATCHED: Duration = Duration::from_secs(3);
/// From one request to the next, at each scheduler.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// How discovery goes out of reach.
#[derive(Clone, Copy, PartialEq)]
enum Outage {
    /// Its connections stay up and nothing comes any more.
    Silent,
    /// Its connections end, and new ones are refused.
    Closed,
    /// It goes on saying that there is nothing new.
    Mute,
}

/// A discovery service that sends its empty frame each second until the outage.
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
            // What still connects waits in the backlog for an answer that never comes.
            thread::sleep(LONG * 2);
        }
    }
}

/// A worker that drains when it is told to, as the platform's workers do: it says so when it is asked, rejects
/// what is new, and stays up.
struct DrainingWorker {
    /// Since when it drains.
    since: Arc<Mutex<Option<Instant>>>,
    /// When something new came that it rejected, and what.
    rejected: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl DrainingWorker {
    fn serve(worker: Worker) -> DrainingWorker {
        let since = Arc::new(Mutex::new(None));
        let rejected = Arc::new(Mutex::new(vec![]));
        let (drains_since, kept) = (since.clone(), rejected.clone());
        worker.serve(move |heard| {
            let drains = drains_since.lock().unwrap().is_some();
            match heard.word() {
                "stat" => Some((if drains { "dead" } else { "alive" }, String::new())),
                "stage" if heard.line["attrs"]["replicas"] == 0 => Some(("200", String::new())),
                word @ ("go" | "stage") if drains => {
                    kept.lock().unwrap().push((Instant::now(), word.to_owned()));
                    Some(("503", String::new()))
                }
                _ => echo(heard),
            }
        });
        DrainingWorker { since, rejected }
    }

    fn drain(&self) {
        *self.since.lock().unwrap() = Some(Instant::now());
    }

    /// What came too late to be allowed, as milliseconds after the drain began.
    fn late(&self) -> Vec<(u128, String)> {
        let since = self.since.lock().unwrap().unwrap();
        let allowed = RECEIVED_AT_THE_LATEST + GRACE + SOCKET_ALLOWANCE;
        let rejected = self.rejected.lock().unwrap();
        let late = rejected.iter().filter(|(at, _)| *at > since + allowed);
        late.map(|(at, word)| ((*at - since).as_millis(), word.clone())).collect()
    }
}

/// Whether schedulers may ask workers whether they take work.
#[derive(Clone, Copy, PartialEq)]
enum HealthChecks {
    Allowed,
    Forbidden,
}

fn site(index: usize, checks: HealthChecks) -> Value {
    let mut settings = settings();
    (settings["fleetSize"], settings["index"]) = (json!(SCHEDULERS), json!(index));
    settings["bounds"]["probes"] = json!(checks == HealthChecks::Allowed);
    settings["contract"]["drainGraceNs"] = json!(GRACE.as_nanos() as u64);
    settings
}

/// Verdicts of a client's requests: one each, in the order in which they came.
struct Client {
    sent: usize,
    verdicts: thread::JoinHandle<Vec<u8>>,
}

impl Client {
    /// Sends requests of many functions at an even pace until then, and collects their answers.
    fn run(listen: std::net::SocketAddr, scheduler: usize, until: Instant) -> Client {
        let mut frames = Frames::connect(listen);
        let mut answers = Frames(frames.0.try_clone().unwrap());
        let verdicts = thread::spawn(move || {
            let mut verdicts = vec![];
            while let Some((kind, _, payload)) = answers.next() {
                assert_eq!(kind, 1, "nothing but answers");
                verdicts.push(payload[0]);
            }
            verdicts
        });
        let mut sent = 0;
        while Instant::now() < until {
            sent += 1;
            let reference = format!("{:016x}", (scheduler as u64) << 32 | sent as u64);
            let function = format!("{:016x}", sent as u64 % FUNCTIONS + 1);
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

fn drains_are_kept_through(outage: Outage, checks: HealthChecks) {
    let workers: Vec<Worker> = (0..WORKERS).map(|_| Worker::over_tcp()).collect();
    let listed: Vec<&Worker> = workers.iter().collect();
    let discoveries: Vec<Discovery> = (0..SCHEDULERS).map(|_| Discovery::start(outage)).collect();
    let daemons: Vec<Daemon> = discoveries
        .iter()
        .enumerate()
        .map(|(n, discovery)| {
            Daemon::with(&listed, site(n, checks), Some(discovery.address), |_| String::new())
        })
        .collect();
    let workers: Vec<DrainingWorker> = workers.into_iter().map(DrainingWorker::serve).collect();
    let start = Instant::now();
    let drain_at = start + Duration::from_millis(1500);
    let until = drain_at + RECEIVED_AT_THE_LATEST + GRACE + SOCKET_ALLOWANCE + WATCHED;
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
        assert_eq!(verdicts.len(), client.sent, "each request has its one answer");
        let served = verdicts.iter().filter(|code| **code == 79).count();
        assert!(served * 100 >= client.sent * 95, "service goes on: {served} of {}", client.sent);
    }
    for daemon in &daemons {
        let outages = u64::from(outage != Outage::Mute);
        assert_eq!(daemon.counter("discovery_lost"), outages, "the outage was real, and one");
    }
    for (n, worker) in workers[..2].iter().enumerate() {
        let late = worker.late();
        assert!(
            late.is_empty(),
            "{} new to worker {n} after the grace, as from {:?} ms on",
            late.len(),
            late.first()
        );
    }
}

#[test]
fn nothing_new_goes_to_a_draining_worker_while_discovery_is_silent() {
    drains_are_kept_through(Outage::Silent, HealthChecks::Allowed);
}

#[test]
fn nothing_new_goes_to_a_draining_worker_while_discovery_refuses() {
    drains_are_kept_through(Outage::Closed, HealthChecks::Allowed);
}

/// The drains come before the next word of discovery would have, and idle workers have nothing but the list.
#[test]
fn nothing_new_goes_to_a_draining_worker_where_no_health_checks_are_allowed() {
    drains_are_kept_through(Outage::Closed, HealthChecks::Forbidden);
}

/// The list never ages here: only the workers' own words tell.
#[test]
fn nothing_new_goes_to_a_draining_worker_while_discovery_tells_nothing_new() {
    drains_are_kept_through(Outage::Mute, HealthChecks::Allowed);
}

/// The list of a start may be as old as the outage.
#[test]
fn a_scheduler_that_starts_in_an_outage_asks_before_it_sends() {
    let workers: Vec<Worker> = (0..2).map(|_| Worker::over_tcp()).collect();
    // Nobody listens there any more.
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let listed: Vec<&Worker> = workers.iter().collect();
    let daemon = Daemon::with(&listed, site(0, HealthChecks::Allowed), Some(nowhere), |_| String::new());
    let workers: Vec<DrainingWorker> = workers.into_iter().map(DrainingWorker::serve).collect();
    workers[0].drain();
    let until = Instant::now() + Duration::from_secs(2);
    let client = Client::run(daemon.listen, 0, until);
    let verdicts = client.verdicts.join().unwrap();
    assert_eq!(verdicts, vec![79; client.sent], "all are served by the other worker");
    assert_eq!(*workers[0].rejected.lock().unwrap(), vec![], "nothing new came to the one that drains");
}
