//! Real schedulers as members of one fleet on loopback: the cost of membership, leases, gossip and the overload
//! controller, by their own figures and those of the operating system.

use super::configuration::Configuration;
use super::daemon::{self, Daemon, RESPONSE_TIMEOUT};
use super::plan::MAX_PROBED;
use super::report::mean_and_max;
use super::{Plan, Row, Rows, Setup};
use crate::stand_ins::{Folder, Worker, echo};
use std::net::UdpSocket;
use std::thread;
use std::time::{Duration, Instant};

/// Members that grant leases.
const ELECTOR_COUNT: usize = 3;
/// Three lease terms, after which all leases have holders.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// How often it is checked whether all members know each other.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the measurements of real members.
pub fn run(plan: &Plan) -> Result<Vec<Row>, String> {
    let plan = &Plan { workers: plan.workers.min(MAX_PROBED), ..plan.clone() };
    let worker = Worker::over_tcp();
    let configuration = Configuration::new(plan.workers, worker.address());
    worker.serve(|received_line| match received_line.verb() {
        "stat" => Some(("alive", String::new())),
        _ => echo(received_line),
    });
    let folder = Folder::new();
    let daemons = start(plan, &folder, &configuration)?;
    let discovery_time = wait_until_all_known(&daemons)?;
    eprintln!(
        "scale: {} real members know each other after {:.1} s",
        daemons.len(),
        discovery_time.as_secs_f64()
    );
    thread::sleep(SETTLE_TIME);
    let sent = |name: &str| -> Result<Vec<f64>, String> {
        daemons.iter().map(|daemon| daemon.figure(&format!("scheduler.fleet.{name}"))).collect()
    };
    let (bytes, messages, started_at) = (sent("bytes")?, sent("datagrams")?, Instant::now());
    let percent = daemon::cpu_percent_during(&daemons, || {
        thread::sleep(Duration::from_secs(plan.seconds));
        Ok(())
    })?;
    let seconds = started_at.elapsed().as_secs_f64();
    let rates = |before: Vec<f64>, after: Vec<f64>| -> Vec<f64> {
        after.iter().zip(before).map(|(after, before)| (after - before) / seconds).collect()
    };
    let (bytes, messages) = (rates(bytes, sent("bytes")?), rates(messages, sent("datagrams")?));
    let mut rows = Rows::new(plan, "real", Setup::Members);
    // Every datagram sent is received by another member, so that the means of both directions are equal.
    let ((received_bytes, _), (received, _)) = (mean_and_max(bytes.clone()), mean_and_max(messages.clone()));
    for (role, range) in [("elector", 0..ELECTOR_COUNT), ("scheduler", ELECTOR_COUNT..daemons.len())] {
        if range.is_empty() {
            continue;
        }
        let (mean, max) = mean_and_max(bytes[range.clone()].iter().copied());
        let (mean_messages, _) = mean_and_max(messages[range.clone()].iter().copied());
        let (cpu, max_cpu) = mean_and_max(percent[range.clone()].iter().copied());
        let (resident, _) = mean_and_max(daemons[range.clone()].iter().map(Daemon::resident_mb));
        let (start, _) = mean_and_max(daemons[range].iter().map(|daemon| daemon.start.as_secs_f64()));
        rows.add(role, "control_bytes_per_second", "B/s", mean + received_bytes);
        rows.add(role, "control_bytes_per_second_max", "B/s", max + received_bytes);
        rows.add(role, "messages_per_second", "1/s", mean_messages + received);
        rows.add(role, "cpu_percent_of_core", "%", cpu);
        rows.add(role, "cpu_percent_of_core_max", "%", max_cpu);
        rows.add(role, "resident_mb", "MB", resident);
        rows.add(role, "start_seconds", "s", start);
    }
    rows.add("scheduler", "seconds_to_meet", "s", discovery_time.as_secs_f64());
    Ok(rows.rows)
}

fn start(plan: &Plan, folder: &Folder, configuration: &Configuration) -> Result<Vec<Daemon>, String> {
    // The electors' ports must be known before any member starts. Nothing else binds addresses of this network.
    let bind = |n: usize| UdpSocket::bind(format!("127.9.{}.{}:0", n / 200, n % 200 + 1))?.local_addr();
    let at: Result<Vec<_>, _> = (0..plan.real).map(bind).collect();
    let at = at.map_err(|e| format!("cannot find addresses for a fleet: {e}"))?;
    let elector = |n: usize| format!("{{ index = {n}, at = \"{}\" }}", at[n]);
    let electors: Vec<String> = (0..ELECTOR_COUNT).map(elector).collect();
    let mut daemons = vec![];
    for (n, at) in at.iter().enumerate() {
        let operator = format!(
            "[fleet]\nname = \"scale\"\nbind = \"{at}\"\nvotes = {}\nshed = true\nelectors = [{}]\n",
            n < ELECTOR_COUNT,
            electors.join(", ")
        );
        let (config, file) = (folder.at(&format!("{n}.json")), folder.at(&format!("{n}.toml")));
        let text = configuration.for_member(n, plan.real).text();
        let written = std::fs::write(&config, text).and_then(|()| std::fs::write(&file, operator));
        written.map_err(|e| format!("cannot write a configuration: {e}"))?;
        daemons.push(Daemon::start(plan, folder, &config, &file)?);
    }
    Ok(daemons)
}

/// Waits until all members know each other. Returns the time since the last one's start.
fn wait_until_all_known(daemons: &[Daemon]) -> Result<Duration, String> {
    let started_at = Instant::now();
    loop {
        let known = daemons.iter().map(|daemon| daemon.figure("scheduler.fleet.members"));
        let known = known.collect::<Result<Vec<f64>, _>>()?;
        if known.iter().all(|known| *known >= daemons.len() as f64) {
            return Ok(started_at.elapsed());
        }
        if started_at.elapsed() > RESPONSE_TIMEOUT {
            return Err(format!(
                "not all real members know each other: numbers of known members are {known:?}"
            ));
        }
        thread::sleep(POLL_INTERVAL);
    }
}
