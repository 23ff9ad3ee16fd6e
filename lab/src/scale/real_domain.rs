//! Real processes of one distribution domain on loopback: three replicas that publish the content of their files, two
//! relays, and schedulers that subscribe to all workers. Proxies between schedulers and relays count datagrams.

use super::configuration::Configuration;
use super::daemon::{self, Daemon};
use super::plan::{REAL_RELAYS, REAL_REPLICAS};
use super::real::longest_round_trip;
use super::report::{mean_and_max, quantile};
use super::tap::{CountingProxy, TrafficCount};
use super::{Plan, Row, Rows, Setup};
use crate::stand_ins::{Folder, Worker, echo};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time after a start until its activity has ended.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// How long the complete list may take from the replicas' start until a relay has it.
const INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(600);
/// Changes during which stalls of a scheduler are measured.
const STALL_CHANGES: usize = 5;
/// Time after a change until its activity at a scheduler has ended.
const CHANGE_SETTLE_TIME: Duration = Duration::from_millis(50);

struct Run<'a> {
    plan: &'a Plan,
    folder: Folder,
    /// The content that the replicas publish.
    configuration: Configuration,
    replicas: Vec<Daemon>,
    relays: Vec<Daemon>,
    subscribers: Vec<Daemon>,
    counts: Vec<Arc<TrafficCount>>,
    proxies: Vec<CountingProxy>,
    rows: Rows,
}

/// Runs the measurements of real processes of a domain.
pub fn run(plan: &Plan) -> Result<Vec<Row>, String> {
    let worker = Worker::over_tcp();
    let configuration = Configuration::new(plan.workers, worker.address());
    worker.serve(|received| match received.verb() {
        "stat" => Some(("alive", String::new())),
        _ => echo(received),
    });
    let rows = Rows::new(plan, "real", Setup::Distribution);
    let (replicas, relays, subscribers, counts, proxies) = (vec![], vec![], vec![], vec![], vec![]);
    let folder = Folder::new();
    let mut run = Run { plan, folder, configuration, replicas, relays, subscribers, counts, proxies, rows };
    run.start()?;
    thread::sleep(SETTLE_TIME);
    run.measure_idle()?;
    run.measure_stall()?;
    if plan.changes > 0.0 {
        run.measure_changes()?;
    }
    run.measure_restart()?;
    Ok(run.rows.rows)
}

/// Free addresses in a loopback network that nothing else uses.
fn free_addresses(network: u8, count: usize) -> Result<Vec<SocketAddr>, String> {
    let bind =
        |n: usize| UdpSocket::bind(format!("127.{network}.{}.{}:0", n / 200, n % 200 + 1))?.local_addr();
    let all: Result<Vec<_>, _> = (0..count).map(bind).collect();
    all.map_err(|e| format!("cannot find addresses for a domain: {e}"))
}

fn toml_list(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<String> = addresses.iter().map(|at| format!("\"{at}\"")).collect();
    format!("[{}]", addresses.join(", "))
}

fn child_config(role: &str, at: SocketAddr, parents: &[SocketAddr]) -> String {
    format!(
        "[distribution]\nname = \"scale\"\nbind = \"{at}\"\nrole = \"{role}\"\nparents = {}\n",
        toml_list(parents)
    )
}

impl Run<'_> {
    /// Starts a process with its own files.
    fn start_daemon(&self, name: &str, config: &[u8], operator: &str) -> Result<Daemon, String> {
        let (path, file) = (self.folder.at(&format!("{name}.json")), self.folder.at(&format!("{name}.toml")));
        let written = std::fs::write(&path, config).and_then(|()| std::fs::write(&file, operator));
        written.map_err(|e| format!("cannot write a configuration: {e}"))?;
        Daemon::start(self.plan, &self.folder, &path, &file)
    }

    fn size(&self) -> usize {
        REAL_REPLICAS + REAL_RELAYS + self.plan.real
    }

    fn start(&mut self) -> Result<(), String> {
        let (fleet, replicas) = (free_addresses(10, REAL_REPLICAS)?, free_addresses(11, REAL_REPLICAS)?);
        let electors = fleet.iter().enumerate().map(|(n, at)| format!("{{ index = {n}, at = \"{at}\" }}"));
        let electors = electors.collect::<Vec<_>>().join(", ");
        let started_at = Instant::now();
        for n in 0..REAL_REPLICAS {
            let operator = format!(
                "[fleet]\nname = \"scale\"\nbind = \"{}\"\nelectors = [{electors}]\n\
                 [distribution]\nname = \"scale\"\nbind = \"{}\"\nrole = \"replica\"\nreplicas = {}\n",
                fleet[n],
                replicas[n],
                toml_list(&replicas)
            );
            let config = self.configuration.for_member(n, self.size()).text();
            self.replicas.push(self.start_daemon(&format!("replica-{n}"), &config, &operator)?);
        }
        let relays = free_addresses(12, REAL_RELAYS)?;
        let empty = Configuration::new(0, SocketAddr::from(([127, 0, 0, 1], 9)));
        for (n, at) in relays.iter().enumerate() {
            let config = empty.for_member(REAL_REPLICAS + n, self.size()).text();
            let daemon =
                self.start_daemon(&format!("relay-{n}"), &config, &child_config("relay", *at, &replicas))?;
            daemon.wait_for_line_within("distribution installed", INITIAL_LIST_TIMEOUT)?;
            self.relays.push(daemon);
        }
        self.rows.add("replica", "list_seconds", "s", started_at.elapsed().as_secs_f64());
        let mut seconds = vec![];
        for (n, at) in free_addresses(13, self.plan.real)?.into_iter().enumerate() {
            let count = Arc::new(TrafficCount::default());
            let proxy_address = format!("127.14.{}.{}", n / 200, n % 200 + 1);
            let proxies: Result<Vec<CountingProxy>, _> =
                relays.iter().map(|relay| CountingProxy::new(&proxy_address, *relay, &count)).collect();
            let proxies = proxies.map_err(|e| format!("cannot start a proxy for a scheduler: {e}"))?;
            let parents: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.at).collect();
            let config = empty.for_member(REAL_REPLICAS + REAL_RELAYS + n, self.size()).text();
            let started_at = Instant::now();
            let daemon = self.start_daemon(
                &format!("scheduler-{n}"),
                &config,
                &child_config("subscriber", at, &parents),
            )?;
            let (installed, _) = daemon.wait_for_line("distribution installed")?;
            seconds.push((installed - started_at).as_secs_f64());
            self.subscribers.push(daemon);
            self.counts.push(count);
            self.proxies.extend(proxies);
        }
        eprintln!("scale: {} real subscribers have the list", self.subscribers.len());
        let (mean, max) = mean_and_max(seconds);
        self.rows.add("scheduler", "start_seconds", "s", mean);
        self.rows.add("scheduler", "start_seconds_max", "s", max);
        let processor = self.subscribers.iter().map(|daemon| daemon.start_cpu.as_secs_f64());
        self.rows.add("scheduler", "start_cpu_seconds", "s", mean_and_max(processor).0);
        let records = self.subscribers[0].figure("scheduler.distribution.records")?;
        self.rows.add("scheduler", "records", "records", records);
        for (role, daemons) in [("replica", &self.replicas), ("relay", &self.relays)] {
            let starts = mean_and_max(daemons.iter().map(|daemon| daemon.start.as_secs_f64()));
            self.rows.add(role, "start_seconds", "s", starts.0);
        }
        Ok(())
    }

    /// Adds the resource usage of all processes while `during` runs.
    fn add_costs(&mut self, during: impl FnOnce(&mut Self) -> Result<(), String>) -> Result<(), String> {
        let read = |run: &Self| run.counts.iter().map(|count| count.read()).collect::<Vec<_>>();
        let times = |run: &Self| {
            [&run.subscribers, &run.relays, &run.replicas].map(|daemons| daemon::cpu_times(daemons))
        };
        let (counts, before, started_at) = (read(self), times(self), Instant::now());
        during(self)?;
        let (wall, after, counts_after) = (started_at.elapsed().as_secs_f64(), times(self), read(self));
        let each = counts_after.iter().zip(&counts);
        let bytes = mean_and_max(each.clone().map(|(after, before)| (after.0 - before.0) as f64 / wall));
        let (messages, _) = mean_and_max(each.map(|(after, before)| (after.1 - before.1) as f64 / wall));
        let rows = &mut self.rows;
        rows.add("scheduler", "control_bytes_per_second", "B/s", bytes.0);
        rows.add("scheduler", "control_bytes_per_second_max", "B/s", bytes.1);
        rows.add("scheduler", "messages_per_second", "1/s", messages);
        let roles = [("scheduler", &self.subscribers), ("relay", &self.relays), ("replica", &self.replicas)];
        for ((role, daemons), (after, before)) in roles.into_iter().zip(after.iter().zip(&before)) {
            let percent = after
                .iter()
                .zip(before)
                .map(|(after, before)| (*after - *before).as_secs_f64() * 100.0 / wall);
            let (cpu, max) = mean_and_max(percent);
            rows.add(role, "cpu_percent_of_core", "%", cpu);
            rows.add(role, "cpu_percent_of_core_max", "%", max);
            let (resident, max) = mean_and_max(daemons.iter().map(Daemon::resident_mb));
            rows.add(role, "resident_mb", "MB", resident);
            rows.add(role, "resident_mb_max", "MB", max);
        }
        Ok(())
    }

    fn measure_idle(&mut self) -> Result<(), String> {
        let length = Duration::from_secs(self.plan.seconds);
        self.add_costs(|_| {
            thread::sleep(length);
            Ok(())
        })
    }

    /// Changes one worker in the files of all replicas. Returns when they were written.
    fn publish(&mut self) -> Result<Instant, String> {
        self.configuration.change();
        for n in 0..REAL_REPLICAS {
            let text = self.configuration.for_member(n, self.size()).text();
            let (path, temporary) = (self.folder.at(&format!("replica-{n}.json")), self.folder.at("draft"));
            let written = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, path));
            written.map_err(|e| format!("cannot write a configuration: {e}"))?;
        }
        let written_at = Instant::now();
        daemon::reload(&self.replicas)?;
        Ok(written_at)
    }

    /// Waits until all schedulers have installed a change. Returns the seconds that each took.
    fn wait_until_installed(&self, written_at: Instant) -> Result<Vec<f64>, String> {
        let wait = |daemon: &Daemon| {
            let (at, _) = daemon.wait_for_line("distribution installed")?;
            Ok(at.saturating_duration_since(written_at).as_secs_f64())
        };
        self.subscribers.iter().map(wait).collect()
    }

    /// Publishes changes while a client measures how long the serving thread of a scheduler stalls.
    fn measure_stall(&mut self) -> Result<(), String> {
        let at = self.subscribers[0].listen;
        let idle_longest = longest_round_trip(at, || {
            thread::sleep(SETTLE_TIME);
            Ok(())
        })?;
        self.rows.add("scheduler", "standstill_idle_ms", "ms", idle_longest.as_secs_f64() * 1e3);
        if self.plan.changes <= 0.0 {
            return Ok(());
        }
        let mut times = vec![];
        for _ in 0..STALL_CHANGES {
            let longest = longest_round_trip(at, || {
                let written_at = self.publish()?;
                self.wait_until_installed(written_at)?;
                thread::sleep(CHANGE_SETTLE_TIME);
                Ok(())
            })?;
            times.push(longest.as_secs_f64() * 1e3);
        }
        times.sort_by(f64::total_cmp);
        self.rows.add("scheduler", "standstill_ms", "ms", quantile(&times, 1.0).unwrap_or(0.0));
        self.rows.add("scheduler", "standstill_ms_median", "ms", quantile(&times, 0.5).unwrap_or(0.0));
        Ok(())
    }

    /// Publishes changes at the plan's rate, or as fast as all schedulers have installed the previous one.
    fn measure_changes(&mut self) -> Result<(), String> {
        let step = Duration::from_secs_f64(1.0 / self.plan.changes);
        let length = Duration::from_secs(self.plan.seconds).max(step);
        let (started_at, mut done, mut seconds) = (Instant::now(), 0u32, vec![]);
        let first = self.rows.rows.len();
        self.add_costs(|run| {
            while started_at.elapsed() < length {
                let written_at = run.publish()?;
                seconds.extend(run.wait_until_installed(written_at)?);
                done += 1;
                thread::sleep((step * done).min(length).saturating_sub(started_at.elapsed()));
            }
            Ok(())
        })?;
        self.rows.add_seconds("scheduler", "seconds_to_all", &mut seconds);
        let rate = (f64::from(done) / started_at.elapsed().as_secs_f64() * 1e3).round() / 1e3;
        self.rows.rows[first..].iter_mut().for_each(|row| row.changes_per_second = rate);
        Ok(())
    }

    /// Kills all schedulers and restarts them at once.
    fn measure_restart(&mut self) -> Result<(), String> {
        let before: Vec<(u64, u64)> = self.counts.iter().map(|count| count.read()).collect();
        self.subscribers.clear();
        let started_at = Instant::now();
        let spawn = |n: usize| {
            let (path, file) = (
                self.folder.at(&format!("scheduler-{n}.json")),
                self.folder.at(&format!("scheduler-{n}.toml")),
            );
            let daemon = Daemon::start(self.plan, &self.folder, &path, &file)?;
            let (at, _) = daemon.wait_for_line("distribution installed")?;
            Ok((daemon, (at - started_at).as_secs_f64()))
        };
        let spawn = &spawn;
        let restarted: Result<Vec<(Daemon, f64)>, String> = thread::scope(|scope| {
            let all: Vec<_> = (0..self.plan.real).map(|n| scope.spawn(move || spawn(n))).collect();
            let join = |one: thread::ScopedJoinHandle<'_, Result<_, String>>| {
                one.join().unwrap_or_else(|_| Err("a thread that starts a scheduler has failed".to_owned()))
            };
            all.into_iter().map(join).collect()
        });
        let (daemons, mut seconds): (Vec<Daemon>, Vec<f64>) = restarted?.into_iter().unzip();
        self.subscribers = daemons;
        let bytes = self.counts.iter().zip(&before).map(|(count, before)| (count.read().0 - before.0) as f64);
        let bytes = mean_and_max(bytes).0;
        self.rows.add("scheduler", "return_processes", "processes", seconds.len() as f64);
        self.rows.add_seconds("scheduler", "return_seconds", &mut seconds);
        self.rows.add("scheduler", "return_bytes", "B", bytes);
        Ok(())
    }
}
