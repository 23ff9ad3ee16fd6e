//! A run box drains while discovery is down, and its probes are shallow: they show little more than that it runs.

use crate::common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// For how long discovery is down; how much later the run box begins to drain.
const OUTAGE_MS: u64 = 14_000;
const DRAIN_AFTER_MS: u64 = 300;
/// "counts as told 7 s later at the latest", 2 s of grace, and 50 ms for sockets.
const TOLD_MS: u64 = 7_000;
const GRACE_MS: u64 = 2_000 + 50;
const CALLERS: u64 = 12;

pub fn play() -> ! {
    let (record, folder) = (Record::new(), Folder::new());
    let draining = Arc::new(AtomicBool::new(false));
    // What the draining run box was sent: when, and what.
    let sent: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    let agents: Vec<Agent> = (1..=4)
        .map(|uid| {
            let (record, draining, sent) = (record.clone(), draining.clone(), sent.clone());
            Agent::start(uid, move |line| {
                let drains = uid == 1 && draining.load(Ordering::SeqCst);
                let work = line.verb == "go" || line.verb == "stage" && !line.text.contains("\"replicas\":0");
                if drains && work {
                    sent.lock().unwrap().push((record.now(), format!("{} {}", line.verb, line.rid)));
                    record.add(format!("agent 1 drains and turns away {} {}", line.verb, line.rid));
                    return line.answer("503", "\"replicas\":0", "");
                }
                match line.verb.as_str() {
                    "go" => {
                        thread::spawn(move || {
                            sleep(150);
                            line.answer("200", "", "b2s=");
                        });
                    }
                    "stage" => line.answer("200", "\"replicas\":1", ""),
                    "stat" | "ping" => {
                        if drains {
                            record.add("agent 1 drains and answers a probe: its process runs");
                        }
                        line.answer("alive", "\"rep\":\"cpu_share:0.3;x0:0.1;x1:0\"", "");
                    }
                    _ => {}
                }
            })
        })
        .collect();
    let bus = Bus::start();
    let site = tyww(1, 0);
    let known: Vec<String> = agents.iter().map(|agent| agent.known(site.zone, site.kind, 0, 4)).collect();
    let listen = free_address();
    let text = config("n1", listen, 96, 512, bus.address, &known, &site);
    let mut schedulers = match Scheduler::start(&folder, "n1", listen, &text, "") {
        Ok(scheduler) => vec![scheduler],
        Err(why) => finish(&record, &folder, &mut [], Err(why)),
    };
    if let Err(why) = schedulers[0].wait_ready() {
        finish(&record, &folder, &mut schedulers, Err(why));
    }
    let (counts, stop) = (Counts::default(), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (counts, stop) = (counts.clone(), stop.clone());
            thread::spawn(move || {
                let Ok(mut frames) = Frames::connect(listen) else { return };
                let _ = frames.stream.set_read_timeout(Some(ms(5_000)));
                let mut draw = Draw(caller + 5);
                for stream in 1..100_000 {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let (name, function) = (reference(), format!("{:016x}", 0x33_0000 + draw.below(12)));
                    let payload = request(
                        &[("service", "practice-check"), ("ref", &name), ("allow", "2500"), ("lookup", &function), ("spec", "memory_mb:500;lanes:2;load_ms:600")],
                        b"check",
                    );
                    counts.add("calls");
                    frames.send(0, stream, &payload);
                    match frames.next() {
                        Some((1, _, payload)) if payload.first() == Some(&79) => counts.add("served"),
                        Some(_) => counts.add("unserved"),
                        None => return,
                    };
                }
            })
        })
        .collect();
    sleep(3_000);
    if trouble() {
        bus.set_down(true);
        record.add("discovery goes down");
    }
    sleep(DRAIN_AFTER_MS);
    draining.store(true, Ordering::SeqCst);
    bus.add(2, agents[0].record(1, 0, 0, 0, 4));
    let drained = record.add("agent 1 begins to drain, and the event is in the bus");
    sleep(OUTAGE_MS - DRAIN_AFTER_MS);
    let up = record.add("discovery is up");
    bus.set_down(false);
    sleep(3_000);
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let told = if trouble() { TOLD_MS } else { 0 };
    let sent = sent.lock().unwrap().clone();
    let late: Vec<_> = sent.iter().filter(|(at, _)| *at > drained + told + GRACE_MS).collect();
    for (at, what) in &late {
        record.add(format!("BREAK {what} at agent 1, {} ms after its drain was in the bus", at - drained));
    }
    let soon = sent.iter().filter(|(at, _)| *at > drained + 2_000 + GRACE_MS && *at < up).count();
    record.add(format!(
        "calls {}, served {}, unserved {}; sent to agent 1 after its drain {}, of them more than 4.05 s later {soon}, more than 9.05 s later {}",
        counts.of("calls"), counts.of("served"), counts.of("unserved"), sent.len(), late.len()
    ));
    let verdict = if counts.of("calls") < 500 { Err("too few calls".to_owned()) } else { Ok(!late.is_empty()) };
    finish(&record, &folder, &mut schedulers, verdict)
}
