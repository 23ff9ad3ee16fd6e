//! Real schedulers as members of one fleet on loopback: what membership, leases, gossip and the overload controller cost
//! them, by their own figures and by the operating system.

use super::configuration::Configuration;
use super::daemon::{self, Daemon, LONG};
use super::plan::MOST_PROBED;
use super::report::mean_and_most;
use super::{Plan, Row, Rows, Setup};
use crate::stand_ins::{Folder, Worker, echo};
use std::net::UdpSocket;
use std::thread;
use std::time::{Duration, Instant};

/// Members that grant leases.
const ELECTORS: usize = 3;
/// Three terms: until leases have found their holders.
const CALM: Duration = Duration::from_secs(12);
/// Between two looks whether all have met.
const LOOK: Duration = Duration::from_millis(200);

/// Plays them.
pub fn play(plan: &Plan) -> Result<Vec<Row>, String> {
    let plan = &Plan { workers: plan.workers.min(MOST_PROBED), ..plan.clone() };
    let worker = Worker::over_tcp();
    let configuration = Configuration::new(plan.workers, worker.address());
    worker.serve(|heard| match heard.verb() {
        "stat" => Some(("alive", String::new())),
        _ => echo(heard),
    });
    let folder = Folder::new();
    let daemons = start(plan, &folder, &configuration)?;
    let met = meet(&daemons)?;
    eprintln!("scale: {} real members have met after {:.1} s", daemons.len(), met.as_secs_f64());
    thread::sleep(CALM);
    let sent = |name: &str| -> Result<Vec<f64>, String> {
        daemons.iter().map(|daemon| daemon.figure(&format!("scheduler.fleet.{name}"))).collect()
    };
    let (bytes, messages, begun) = (sent("bytes")?, sent("datagrams")?, Instant::now());
    let percent = daemon::processor_percent(&daemons, || {
        thread::sleep(Duration::from_secs(plan.seconds));
        Ok(())
    })?;
    let seconds = begun.elapsed().as_secs_f64();
    let each = |before: Vec<f64>, after: Vec<f64>| -> Vec<f64> {
        after.iter().zip(before).map(|(after, before)| (after - before) / seconds).collect()
    };
    let (bytes, messages) = (each(bytes, sent("bytes")?), each(messages, sent("datagrams")?));
    let mut rows = Rows::new(plan, "real", Setup::Members);
    // All that one sends another one receives: the mean of what is received is that of what is sent.
    let ((received_bytes, _), (received, _)) =
        (mean_and_most(bytes.clone()), mean_and_most(messages.clone()));
    for (role, range) in [("elector", 0..ELECTORS), ("scheduler", ELECTORS..daemons.len())] {
        if range.is_empty() {
            continue;
        }
        let (mean, most) = mean_and_most(bytes[range.clone()].iter().copied());
        let (mean_messages, _) = mean_and_most(messages[range.clone()].iter().copied());
        let (cpu, most_cpu) = mean_and_most(percent[range.clone()].iter().copied());
        let (resident, _) = mean_and_most(daemons[range.clone()].iter().map(Daemon::resident_mb));
        let (start, _) = mean_and_most(daemons[range].iter().map(|daemon| daemon.start.as_secs_f64()));
        rows.add(role, "control_bytes_per_second", "B/s", mean + received_bytes);
        rows.add(role, "control_bytes_per_second_max", "B/s", most + received_bytes);
        rows.add(role, "messages_per_second", "1/s", mean_messages + received);
        rows.add(role, "cpu_percent_of_core", "%", cpu);
        rows.add(role, "cpu_percent_of_core_max", "%", most_cpu);
        rows.add(role, "resident_mb", "MB", resident);
        rows.add(role, "start_seconds", "s", start);
    }
    rows.add("scheduler", "seconds_to_meet", "s", met.as_secs_f64());
    Ok(rows.rows)
}

fn start(plan: &Plan, folder: &Folder, configuration: &Configuration) -> Result<Vec<Daemon>, String> {
    // Each must know the electors' ports before it starts. Nobody else binds addresses of this network.
    let bind = |n: usize| UdpSocket::bind(format!("127.9.{}.{}:0", n / 200, n % 200 + 1))?.local_addr();
    let at: Result<Vec<_>, _> = (0..plan.real).map(bind).collect();
    let at = at.map_err(|e| format!("cannot find addresses for a fleet: {e}"))?;
    let elector = |n: usize| format!("{{ index = {n}, at = \"{}\" }}", at[n]);
    let electors: Vec<String> = (0..ELECTORS).map(elector).collect();
    let mut daemons = vec![];
    for (n, at) in at.iter().enumerate() {
        let operator = format!(
            "[fleet]\nname = \"scale\"\nbind = \"{at}\"\nvotes = {}\nshed = true\nelectors = [{}]\n",
            n < ELECTORS,
            electors.join(", ")
        );
        let (config, file) = (folder.at(&format!("{n}.json")), folder.at(&format!("{n}.toml")));
        let text = configuration.of_member(n, plan.real).text();
        let put = std::fs::write(&config, text).and_then(|()| std::fs::write(&file, operator));
        put.map_err(|e| format!("cannot write a configuration: {e}"))?;
        daemons.push(Daemon::start(plan, folder, &config, &file)?);
    }
    Ok(daemons)
}

/// Waits until all know all; how long that took after the last one's start.
fn meet(daemons: &[Daemon]) -> Result<Duration, String> {
    let begun = Instant::now();
    loop {
        let known = daemons.iter().map(|daemon| daemon.figure("scheduler.fleet.members"));
        let known = known.collect::<Result<Vec<f64>, _>>()?;
        if known.iter().all(|known| *known >= daemons.len() as f64) {
            return Ok(begun.elapsed());
        }
        if begun.elapsed() > LONG {
            return Err(format!("not all real members have met: they know {known:?}"));
        }
        thread::sleep(LOOK);
    }
}
