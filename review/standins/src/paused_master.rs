//! A VRRP master that pauses while a run box begins to drain, and goes on.

use crate::bus::Bus;
use crate::rpc::Rpc;
use crate::run_box::{Rules, RunBox, Treat, listed};
use crate::settings::{Class, KEYED, SAFE, config};
use crate::util::{Scheduler, base64, field, file, ms, note, sleep_ms, trouble};
use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::Arc;

const CHECKERS: [&str; 4] =
    ["7f3a9c21e0b4d601", "7f3a9c21e0b4d602", "7f3a9c21e0b4d603", "7f3a9c21e0b4d604"];
const WORK_MS: u64 = 20;
/// `drainGraceNs`, and the 50 ms by which every limit is longer on sockets.
const GRACE_MS: f64 = 2_050.0;
/// An idle copy is renewed when this much of its 8.7 s has passed.
const RENEWED_AFTER_MS: f64 = 6_090.0;
/// The master is stopped this long after a frame of the event bus, and for this long in all.
const STOP_AFTER_MS: f64 = 25.0;
const GO_ON_AFTER_MS: f64 = 2_650.0;

/// A client that calls one scheduler, one call after another, and counts.
struct Calls {
    client: Rpc,
    sent: u32,
    answered: u32,
    refused: u32,
}

impl Calls {
    fn connect(socket: &PathBuf) -> Calls {
        Calls { client: Rpc::connect(socket), sent: 0, answered: 0, refused: 0 }
    }

    fn call(&mut self) {
        let (id, checker) = (self.sent, CHECKERS[self.sent as usize % CHECKERS.len()]);
        self.sent += 1;
        let body = base64(format!("exercise {id}").as_bytes());
        self.client.send(&format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"call","params":{{"class":"practice-check","function":"{checker}","allow_ms":1500,"memory_mb":230,"lanes":2,"load_ms":360,"body":"{body}"}}}}"#
        ));
        let answer = self.client.next().expect("an answer");
        self.answered += 1;
        self.refused += u32::from(field(&answer, "code").is_some());
    }
}

/// Two free UDP addresses for the virtual router.
fn addresses() -> [String; 2] {
    let sockets = ["127.0.0.11:0", "127.0.0.12:0"].map(|at| UdpSocket::bind(at).expect("a port"));
    [0, 1].map(|n: usize| sockets[n].local_addr().expect("an address").to_string())
}

/// A box and a checker whose idle copy the master is due to renew between these times: it did so before, at its pace.
fn due(boxes: &[Arc<RunBox>], from: f64, to: f64) -> Option<(Arc<RunBox>, &'static str, f64)> {
    for run_box in boxes {
        let seen = run_box.seen.lock().unwrap();
        for checker in CHECKERS {
            let of = |what: &str| -> Vec<f64> {
                seen.iter().filter(|s| s.what == what && s.function == checker).map(|s| s.at).collect()
            };
            let (orders, runs) = (of("stage"), of("run"));
            let Some(last) = orders.last().copied().filter(|_| orders.len() > 1) else { continue };
            let at = last + RENEWED_AFTER_MS;
            let run_since = runs.last().is_some_and(|run| run + WORK_MS as f64 > last);
            if !run_since && at > from && at < to {
                return Some((run_box.clone(), checker, at));
            }
        }
    }
    None
}

pub fn play() -> bool {
    let rules = || Rules {
        load_ms: Box::new(|_| 360),
        work_ms: WORK_MS,
        treat: Box::new(|_| Treat::Serve),
        body: Box::new(|seen| seen.content.clone()),
    };
    let boxes: Vec<Arc<RunBox>> = (1..=4).map(|uid| RunBox::start(uid, rules())).collect();
    let list: Vec<String> = boxes.iter().map(|run_box| listed(run_box, "bldg-a")).collect();
    let bus = Bus::start();
    let classes = [Class("practice-check", SAFE, 1500), Class("credit-submit", KEYED, 1000)];
    let at = addresses();
    let schedulers: Vec<(Scheduler, PathBuf)> = (0..2)
        .map(|n: usize| {
            let socket = file(&format!("calls-{n}.sock"));
            let operator = format!(
                "[jsonrpc]\nsocket = {socket:?}\n[vrrp]\nvrid = 7\npriority = {}\ninterval_cs = 50\nbind = \"{}\"\npeers = [\"{}\"]\n\
                 address = \"127.0.0.100\"\n",
                [200, 100][n],
                at[n],
                at[1 - n]
            );
            let name = format!("n{n}");
            let config = config(&name, (2, n as u32), &classes, &list, Some(bus.at));
            (Scheduler::start(&name, &config, &operator), socket)
        })
        .collect();
    let (master, socket) = &schedulers[0];
    let (backup, other_socket) = &schedulers[1];
    master.wait_log("state=Active");
    let mut calls = Calls::connect(socket);
    // Traffic at the master until a renewal falls into the time for which it will be stopped.
    let (run_box, checker, beat) = loop {
        if ms() > 60_000.0 {
            panic!("no renewal was seen");
        }
        let beat = (ms() / 1000.0).ceil() * 1000.0;
        while ms() < beat - 150.0 {
            calls.call();
            sleep_ms(20);
        }
        // Nothing is open at the master when it is stopped.
        while ms() < beat + STOP_AFTER_MS {
            sleep_ms(1);
        }
        if let Some((run_box, checker, at)) = due(&boxes, beat + 300.0, beat + GO_ON_AFTER_MS - 350.0) {
            note(&format!("the master is due to renew {checker} at {} at {at:.0} ms", run_box.name()));
            break (run_box, checker, beat);
        }
    };
    assert!(*bus.last_beat.lock().unwrap() >= beat - 5.0, "the frame has been sent");
    if trouble() {
        master.signal("STOP");
    }
    sleep_ms(40);
    run_box.drain();
    let told = bus.tell(run_box.uid, run_box.at, 1);
    // Meanwhile clients call the other scheduler, which takes over.
    let mut other = Calls::connect(other_socket);
    while ms() < beat + GO_ON_AFTER_MS - 50.0 {
        other.call();
        sleep_ms(100);
    }
    while ms() < beat + GO_ON_AFTER_MS {
        sleep_ms(1);
    }
    if trouble() {
        master.signal("CONT");
    }
    for _ in 0..20 {
        other.call();
        sleep_ms(50);
    }
    sleep_ms(1_500);
    let late: Vec<_> = {
        let seen = run_box.seen.lock().unwrap();
        let work = |s: &&crate::run_box::Seen| s.what == "go" || s.what == "stage";
        seen.iter().filter(work).filter(|s| s.at > told + GRACE_MS).cloned().collect()
    };
    for seen in &late {
        let after = seen.at - told;
        note(&format!("{} got {} {} {after:.0} ms after its drain was told", run_box.name(), seen.what, seen.rid));
    }
    note(&format!("{}: {}", master.name, states(master)));
    note(&format!("{}: {}", backup.name, states(backup)));
    note(&format!(
        "{checker}: calls at {}: {} sent, {} answered, {} refused; at {}: {} sent, {} answered, {} refused",
        master.name, calls.sent, calls.answered, calls.refused, backup.name, other.sent, other.answered, other.refused
    ));
    !late.is_empty()
}

/// The states of a scheduler's virtual router, as its log has them.
fn states(scheduler: &Scheduler) -> String {
    let log = scheduler.log();
    let words = log.split_whitespace().filter(|word| word.starts_with("state="));
    words.collect::<Vec<_>>().join(" ")
}
