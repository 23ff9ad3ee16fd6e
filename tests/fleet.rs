//! Tests of several real processes of one fleet: leases, membership, `fleet status` and `check`.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a failed unwrap ends the test, and a test is read from top to bottom"
)]

mod rig;

use rig::*;
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

/// The indices of the processes that probed the workers, in the order of the probes.
type Probes = Arc<Mutex<Vec<usize>>>;

/// Starts processes of one fleet. Each has a worker of its own, whose probes are recorded in the shared list.
fn fleet(count: usize, term_ms: u64, probes: &Probes) -> Vec<Daemon> {
    fleet_with(count, term_ms, 71, probes, |_, _| String::new())
}

/// Does the same with additional sections in the operator's file of each process, on loopback addresses from
/// 127.0.0.`first_address` up, which no other test uses.
fn fleet_with(
    count: usize,
    term_ms: u64,
    first_address: usize,
    probes: &Probes,
    extra_sections: impl Fn(usize, &Folder) -> String,
) -> Vec<Daemon> {
    // Each process must know the others' ports before it starts. No other test binds these addresses, so the ports
    // that the system assigns stay free.
    let addresses: Vec<SocketAddr> = (0..count)
        .map(|n| UdpSocket::bind(format!("127.0.0.{}:0", first_address + n)).unwrap().local_addr().unwrap())
        .collect();
    let electors: Vec<String> =
        addresses.iter().enumerate().map(|(n, at)| format!("{{ index = {n}, at = \"{at}\" }}")).collect();
    (0..count)
        .map(|n| {
            let worker = Worker::over_tcp();
            let mut settings = settings();
            settings["fleetSize"] = json!(count);
            settings["index"] = json!(n);
            settings["bounds"]["peers"] = json!(true);
            let daemon = Daemon::start_with(&[&worker], settings, None, |folder| {
                extra_sections(n, folder)
                    + &format!(
                        "[fleet]\nname = \"test\"\nbind = \"{}\"\nelectors = [{}]\nterm_ms = {term_ms}\n\
                     delay_ms = 20\nparts = 1\n",
                        addresses[n],
                        electors.join(", ")
                    )
            });
            let probes = probes.clone();
            worker.serve(move |received| {
                let is_probe = received.verb() == "stat";
                probes.lock().unwrap().extend(is_probe.then_some(n));
                is_probe.then(|| ("alive", String::new()))
            });
            daemon
        })
        .collect()
}

/// The fence under which a process last acquired the probe lease, from its log.
fn fence(daemon: &Daemon) -> Option<u64> {
    let log = daemon.log.lock().unwrap();
    let line = log.lines().rfind(|line| line.contains("fleet lease held task=probe"))?;
    line.rsplit_once("fence=")?.1.parse().ok()
}

/// Waits until one of these processes holds the probe lease; returns its position and its fence.
fn holder(daemons: &[&Daemon]) -> (usize, u64) {
    let start = std::time::Instant::now();
    loop {
        let held = daemons.iter().enumerate().find_map(|(n, daemon)| Some((n, fence(daemon)?)));
        if let Some(held) = held {
            return held;
        }
        assert!(start.elapsed() < LONG, "no process holds the task");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// Waits until the latest probe is by this process.
fn wait_probe(probes: &Probes, by: usize) {
    let start = std::time::Instant::now();
    while probes.lock().unwrap().last() != Some(&by) {
        assert!(start.elapsed() < LONG, "process {by} does not probe: {:?}", probes.lock().unwrap());
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// The holder of a lease is killed: another process holds it next, and at no time do two processes perform the task.
#[test]
fn a_task_moves_to_another_process_when_its_holder_is_killed() {
    let probes = Probes::default();
    let mut daemons = fleet(3, 800, &probes);
    let (first, fence) = holder(&daemons.iter().collect::<Vec<_>>());
    wait_probe(&probes, first);
    wait_probe(&probes, first);
    daemons[first].child.kill().unwrap();
    daemons[first].child.wait().unwrap();
    let rest: Vec<usize> = (0..3).filter(|n| *n != first).collect();
    let (next, next_fence) = holder(&rest.iter().map(|n| &daemons[*n]).collect::<Vec<_>>());
    assert!(next_fence > fence, "{next_fence} after {fence}");
    wait_probe(&probes, rest[next]);
    let probes = probes.lock().unwrap().clone();
    let change = probes.iter().position(|n| *n == rest[next]).unwrap();
    assert!(probes[..change].iter().all(|n| *n == first), "{probes:?}");
    assert!(probes[change..].iter().all(|n| *n == rest[next]), "{probes:?}");
}

/// Which process is the active virtual router and which holds the fleet's leases are independent: the router fails over
/// without any lease moving.
#[test]
fn the_active_router_need_not_hold_a_lease_and_its_failover_moves_none() {
    let probes = Probes::default();
    let routers =
        ["127.0.0.91:0", "127.0.0.92:0"].map(|at| UdpSocket::bind(at).unwrap().local_addr().unwrap());
    // Which process holds the lease is random, so both orders of priority are tried.
    for priority in [[100, 200], [200, 100]] {
        let mut daemons = fleet_with(3, 800, 81, &probes, |n, folder| match n {
            2 => String::new(),
            n => format!(
                "[jsonrpc]\nsocket = {:?}\n[vrrp]\nvrid = 9\npriority = {}\ninterval_cs = 20\nbind = \"{}\"\n\
                 peers = [\"{}\"]\naddress = \"127.0.0.100\"\n",
                folder.at("calls.sock"),
                priority[n],
                routers[n],
                routers[1 - n]
            ),
        });
        let active = usize::from(priority[1] > priority[0]);
        daemons[active].wait_log("state=Active");
        let (held, fence) = holder(&daemons.iter().collect::<Vec<_>>());
        if held == active {
            continue;
        }
        daemons[active].child.kill().unwrap();
        daemons[active].child.wait().unwrap();
        daemons[1 - active].wait_log("state=Active");
        wait_probe(&probes, held);
        wait_probe(&probes, held);
        assert_eq!(self::fence(&daemons[held]), Some(fence), "the holder keeps the lease");
    }
}

/// At SIGHUP an operator's file with an invalid `[fleet]` section is rejected as a whole, with the key in the message, and
/// the holder keeps its lease.
#[test]
fn an_invalid_fleet_is_refused_at_sighup_and_the_holder_keeps_the_lease() {
    let probes = Probes::default();
    let mut daemons = fleet_with(3, 800, 94, &probes, |_, _| String::new());
    let (held, fence) = holder(&daemons.iter().collect::<Vec<_>>());
    let daemon = &mut daemons[held];
    let path = daemon.folder.at("operator.toml");
    let good = std::fs::read_to_string(&path).unwrap();
    let config = daemon.config.to_string();
    for (from, to, key) in [
        ("term_ms = 800", "term_ms = 100", "fleet.term_ms"),
        (
            "electors = [{",
            "electors = [{ index = 9, at = \"127.0.0.99:1\" }, {",
            "fleet.electors has 4 entries",
        ),
        ("parts = 1", "parts = 1\nspeed = 2", "unknown field"),
    ] {
        std::fs::write(&path, good.replacen(from, to, 1)).unwrap();
        assert_eq!(daemon.reload(&config), "refused");
        daemon.wait_log(key);
    }
    std::fs::write(&path, good.replace("parts = 1", "parts = 2")).unwrap();
    assert_ne!(daemon.reload(&config), "refused");
    daemon.wait_log("reload ignored what=fleet");
    wait_probe(&probes, held);
    wait_probe(&probes, held);
    assert_eq!(self::fence(daemon), Some(fence));
}

/// Two processes with one index: the one that started later is the member, and the earlier one leaves the fleet.
#[test]
fn of_two_processes_with_one_index_the_earlier_leaves_the_fleet() {
    let probes = Probes::default();
    let daemons = fleet_with(3, 800, 101, &probes, |_, _| String::new());
    holder(&daemons.iter().collect::<Vec<_>>());
    let electors = std::fs::read_to_string(daemons[0].folder.at("operator.toml")).unwrap();
    let electors = electors.lines().find(|line| line.starts_with("electors")).unwrap().to_owned();
    // Members that are not electors, both configured with index 3.
    let fourth = |bind: &str| {
        let worker = Worker::over_tcp();
        let mut settings = settings();
        settings["fleetSize"] = json!(4);
        settings["index"] = json!(3);
        settings["bounds"]["peers"] = json!(true);
        Daemon::start_with(&[&worker], settings, None, |_| {
            format!(
                "[fleet]\nname = \"test\"\nbind = \"{bind}\"\n{electors}\nvotes = false\nterm_ms = 800\n\
                 delay_ms = 20\nparts = 1\n"
            )
        })
    };
    let earlier = fourth("127.0.0.104:0");
    daemons[0].wait_log("fleet member index=3 state=up");
    let later = fourth("127.0.0.105:0");
    earlier.wait_log("fleet left why=\"another process has this one's index\"");
    let (status, text) = earlier.operate("GET", "/api/fleet");
    assert!(status == 200 && text.contains("left the fleet"), "{status} {text}");
    later.wait_log("fleet member");
    assert!(!later.log.lock().unwrap().contains("fleet left"));
}

/// Operators see which members are up and which process holds a lease and, at an elector without a majority, that no
/// process holds one.
#[test]
fn operators_see_the_holder_or_that_there_is_none() {
    let probes = Probes::default();
    let mut daemons = fleet_with(3, 800, 107, &probes, |_, _| String::new());
    let (held, fence) = holder(&daemons.iter().collect::<Vec<_>>());
    let (status, text) = daemons[held].operate("GET", "/api/fleet");
    assert_eq!(status, 200);
    assert!(
        text.contains(&format!("process {held} (")) && text.contains(&format!("fence {fence}")),
        "{text}"
    );
    assert_eq!(daemons[held].figure("fleet.members"), Some(3));
    let at = daemons[held].mgmt.to_string();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_mintgate"))
        .args(["fleet", "status", "--at", &at])
        .output()
        .unwrap();
    assert!(output.status.success() && output.stdout.starts_with(b"process "), "{output:?}");
    for other in (0..3).filter(|n| *n != held) {
        daemons[other].child.kill().unwrap();
        daemons[other].child.wait().unwrap();
    }
    daemons[held].wait_log("fleet lease lost task=probe part=0");
    let start = std::time::Instant::now();
    while daemons[held].figure("fleet.fallbacks") != Some(2) {
        assert!(start.elapsed() < LONG, "both tasks are without a holder");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(daemons[held].operate("GET", "/api/ready").0, 200, "it continues to serve");
}

/// `mintgate check` reports what a start would report, and starts nothing.
#[test]
fn check_reports_whether_the_daemon_would_start() {
    let folder = Folder::new();
    let mut settings = settings();
    settings["bounds"]["peers"] = json!(true);
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "settings": settings});
    std::fs::write(folder.at("config.json"), config.to_string()).unwrap();
    let good = include_str!("../deploy/fleet.toml");
    let check = |operator: &str| {
        std::fs::write(folder.at("operator.toml"), operator).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_mintgate"));
        command.arg("--operator").arg(folder.at("operator.toml")).arg("check");
        let output = command.env("GW_CONFIG", folder.at("config.json")).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8(text).unwrap())
    };
    let (succeeded, text) = check(good);
    assert!(succeeded && text.contains("3 electors"), "{text}");
    let (succeeded, text) = check(&good.replace("parts = 3", "parts = 0"));
    assert!(!succeeded && text.contains("fleet.parts"), "{text}");
}
