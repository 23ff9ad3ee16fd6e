//! Several real processes of one fleet, and what happens between them.

mod rig;

use rig::*;
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

/// What a receiver was told to do, in the order in which it came: by which process.
type Acts = Arc<Mutex<Vec<usize>>>;

/// Starts processes of one fleet, each with a way of its own to the same receiver.
fn fleet(count: usize, term_ms: u64, acts: &Acts) -> Vec<Daemon> {
    // Each must know the others' ports before it starts. No other test binds these addresses, so what the
    // system gives out stays free.
    let at: Vec<SocketAddr> = (0..count)
        .map(|n| UdpSocket::bind(format!("127.0.0.{}:0", 71 + n)).unwrap().local_addr().unwrap())
        .collect();
    let electors: Vec<String> =
        at.iter().enumerate().map(|(n, at)| format!("{{ index = {n}, at = \"{at}\" }}")).collect();
    (0..count)
        .map(|n| {
            let worker = Worker::agent();
            let mut settings = settings();
            settings["fleetSize"] = json!(count);
            settings["index"] = json!(n);
            settings["bounds"]["peers"] = json!(true);
            let daemon = Daemon::with(&[&worker], settings, None, |_| {
                format!(
                    "[fleet]\nname = \"test\"\nbind = \"{}\"\nelectors = [{}]\nterm_ms = {term_ms}\n\
                     delay_ms = 20\nparts = 1\n",
                    at[n],
                    electors.join(", ")
                )
            });
            let acts = acts.clone();
            worker.serve(move |heard| {
                let probe = heard.word() == "stat";
                acts.lock().unwrap().extend(probe.then_some(n));
                probe.then(|| ("alive", String::new()))
            });
            daemon
        })
        .collect()
}

fn fence(daemon: &Daemon) -> Option<u64> {
    let log = daemon.log.lock().unwrap();
    let line = log.lines().rfind(|line| line.contains("fleet holds task=probe"))?;
    line.rsplit_once("fence=")?.1.parse().ok()
}

/// Waits until one of these holds the task; which, and under what fence.
fn holder(daemons: &[&Daemon]) -> (usize, u64) {
    let start = std::time::Instant::now();
    loop {
        let held = daemons.iter().enumerate().find_map(|(n, daemon)| Some((n, fence(daemon)?)));
        if let Some(held) = held {
            return held;
        }
        assert!(start.elapsed() < LONG, "nobody holds the task");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

fn wait_act(acts: &Acts, of: usize) {
    let start = std::time::Instant::now();
    while acts.lock().unwrap().last() != Some(&of) {
        assert!(start.elapsed() < LONG, "{of} does nothing: {:?}", acts.lock().unwrap());
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// The holder is killed: another one holds the task next, and at no time did two act.
#[test]
fn a_task_passes_on_when_its_holder_is_killed() {
    let acts = Acts::default();
    let mut daemons = fleet(3, 800, &acts);
    let (first, fence) = holder(&daemons.iter().collect::<Vec<_>>());
    wait_act(&acts, first);
    wait_act(&acts, first);
    daemons[first].child.kill().unwrap();
    daemons[first].child.wait().unwrap();
    let rest: Vec<usize> = (0..3).filter(|n| *n != first).collect();
    let (next, higher) = holder(&rest.iter().map(|n| &daemons[*n]).collect::<Vec<_>>());
    assert!(higher > fence, "{higher} after {fence}");
    wait_act(&acts, rest[next]);
    let acts = acts.lock().unwrap().clone();
    let turn = acts.iter().position(|n| *n == rest[next]).unwrap();
    assert!(acts[..turn].iter().all(|n| *n == first), "{acts:?}");
    assert!(acts[turn..].iter().all(|n| *n == rest[next]), "{acts:?}");
}
