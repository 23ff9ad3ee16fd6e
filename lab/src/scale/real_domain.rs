//! Real processes of one distribution domain on loopback: three replicas that publish what their files say, two relays,
//! and the schedulers as subscribers that want all workers. Taps between schedulers and relays count datagrams.

use super::configuration::Configuration;
use super::daemon::{self, Daemon};
use super::plan::{REAL_RELAYS, REAL_REPLICAS};
use super::real::longest_round_trip;
use super::report::{mean_and_most, quantile};
use super::tap::{Count, Tap};
use super::{Plan, Row, Rows, Setup};
use crate::stand_ins::{Folder, Worker, echo};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time after a start until all that belongs to it has passed.
const CALM: Duration = Duration::from_secs(2);
/// The longest that the whole list may take from the replicas' start until a relay has it.
const LIST: Duration = Duration::from_secs(600);
/// Changes during which a client looks for standstills of a scheduler.
const WATCHED: usize = 5;
/// After a change all that belongs to it has passed at a scheduler.
const AFTER: Duration = Duration::from_millis(50);

struct Play<'a> {
    plan: &'a Plan,
    folder: Folder,
    /// What the replicas publish.
    configuration: Configuration,
    replicas: Vec<Daemon>,
    relays: Vec<Daemon>,
    subscribers: Vec<Daemon>,
    counts: Vec<Arc<Count>>,
    taps: Vec<Tap>,
    rows: Rows,
}

/// Plays them.
pub fn play(plan: &Plan) -> Result<Vec<Row>, String> {
    let worker = Worker::over_tcp();
    let configuration = Configuration::new(plan.workers, worker.address());
    worker.serve(|heard| match heard.verb() {
        "stat" => Some(("alive", String::new())),
        _ => echo(heard),
    });
    let rows = Rows::new(plan, "real", Setup::Distribution);
    let (replicas, relays, subscribers, counts, taps) = (vec![], vec![], vec![], vec![], vec![]);
    let folder = Folder::new();
    let mut play = Play { plan, folder, configuration, replicas, relays, subscribers, counts, taps, rows };
    play.start()?;
    thread::sleep(CALM);
    play.idle()?;
    play.standstill()?;
    if plan.changes > 0.0 {
        play.changes()?;
    }
    play.come_back()?;
    Ok(play.rows.rows)
}

/// Addresses that the system gives out on a network that nothing else binds.
fn places(network: u8, count: usize) -> Result<Vec<SocketAddr>, String> {
    let bind =
        |n: usize| UdpSocket::bind(format!("127.{network}.{}.{}:0", n / 200, n % 200 + 1))?.local_addr();
    let all: Result<Vec<_>, _> = (0..count).map(bind).collect();
    all.map_err(|e| format!("cannot find addresses for a domain: {e}"))
}

fn list(places: &[SocketAddr]) -> String {
    let places: Vec<String> = places.iter().map(|at| format!("\"{at}\"")).collect();
    format!("[{}]", places.join(", "))
}

fn child(role: &str, at: SocketAddr, parents: &[SocketAddr]) -> String {
    format!(
        "[distribution]\nname = \"scale\"\nbind = \"{at}\"\nrole = \"{role}\"\nparents = {}\n",
        list(parents)
    )
}

impl Play<'_> {
    /// Starts a process on files of its own.
    fn daemon(&self, name: &str, config: &[u8], operator: &str) -> Result<Daemon, String> {
        let (path, file) = (self.folder.at(&format!("{name}.json")), self.folder.at(&format!("{name}.toml")));
        let put = std::fs::write(&path, config).and_then(|()| std::fs::write(&file, operator));
        put.map_err(|e| format!("cannot write a configuration: {e}"))?;
        Daemon::start(self.plan, &self.folder, &path, &file)
    }

    fn size(&self) -> usize {
        REAL_REPLICAS + REAL_RELAYS + self.plan.real
    }

    fn start(&mut self) -> Result<(), String> {
        let (fleet, replicas) = (places(10, REAL_REPLICAS)?, places(11, REAL_REPLICAS)?);
        let electors = fleet.iter().enumerate().map(|(n, at)| format!("{{ index = {n}, at = \"{at}\" }}"));
        let electors = electors.collect::<Vec<_>>().join(", ");
        let begun = Instant::now();
        for n in 0..REAL_REPLICAS {
            let operator = format!(
                "[fleet]\nname = \"scale\"\nbind = \"{}\"\nelectors = [{electors}]\n\
                 [distribution]\nname = \"scale\"\nbind = \"{}\"\nrole = \"replica\"\nreplicas = {}\n",
                fleet[n],
                replicas[n],
                list(&replicas)
            );
            let config = self.configuration.of_member(n, self.size()).text();
            self.replicas.push(self.daemon(&format!("replica-{n}"), &config, &operator)?);
        }
        let relays = places(12, REAL_RELAYS)?;
        let empty = Configuration::new(0, SocketAddr::from(([127, 0, 0, 1], 9)));
        for (n, at) in relays.iter().enumerate() {
            let config = empty.of_member(REAL_REPLICAS + n, self.size()).text();
            let daemon = self.daemon(&format!("relay-{n}"), &config, &child("relay", *at, &replicas))?;
            daemon.wait_for("distribution installed", LIST)?;
            self.relays.push(daemon);
        }
        self.rows.add("replica", "list_seconds", "s", begun.elapsed().as_secs_f64());
        let mut seconds = vec![];
        for (n, at) in places(13, self.plan.real)?.into_iter().enumerate() {
            let count = Arc::new(Count::default());
            let own = format!("127.14.{}.{}", n / 200, n % 200 + 1);
            let taps: Result<Vec<Tap>, _> =
                relays.iter().map(|relay| Tap::new(&own, *relay, &count)).collect();
            let taps = taps.map_err(|e| format!("cannot tap a scheduler: {e}"))?;
            let parents: Vec<SocketAddr> = taps.iter().map(|tap| tap.at).collect();
            let config = empty.of_member(REAL_REPLICAS + REAL_RELAYS + n, self.size()).text();
            let begun = Instant::now();
            let daemon =
                self.daemon(&format!("scheduler-{n}"), &config, &child("subscriber", at, &parents))?;
            let (installed, _) = daemon.wait("distribution installed")?;
            seconds.push((installed - begun).as_secs_f64());
            self.subscribers.push(daemon);
            self.counts.push(count);
            self.taps.extend(taps);
        }
        eprintln!("scale: {} real subscribers have the list", self.subscribers.len());
        let (mean, most) = mean_and_most(seconds);
        self.rows.add("scheduler", "start_seconds", "s", mean);
        self.rows.add("scheduler", "start_seconds_max", "s", most);
        let processor = self.subscribers.iter().map(|daemon| daemon.start_processor.as_secs_f64());
        self.rows.add("scheduler", "start_cpu_seconds", "s", mean_and_most(processor).0);
        let records = self.subscribers[0].figure("scheduler.distribution.records")?;
        self.rows.add("scheduler", "records", "records", records);
        for (role, daemons) in [("replica", &self.replicas), ("relay", &self.relays)] {
            let starts = mean_and_most(daemons.iter().map(|daemon| daemon.start.as_secs_f64()));
            self.rows.add(role, "start_seconds", "s", starts.0);
        }
        Ok(())
    }

    /// What all cost while something happens.
    fn costs(&mut self, during: impl FnOnce(&mut Self) -> Result<(), String>) -> Result<(), String> {
        let read = |play: &Self| play.counts.iter().map(|count| count.read()).collect::<Vec<_>>();
        let times = |play: &Self| {
            [&play.subscribers, &play.relays, &play.replicas].map(|daemons| daemon::processor_times(daemons))
        };
        let (counts, before, begun) = (read(self), times(self), Instant::now());
        during(self)?;
        let (wall, after, later) = (begun.elapsed().as_secs_f64(), times(self), read(self));
        let each = later.iter().zip(&counts);
        let bytes = mean_and_most(each.clone().map(|(after, before)| (after.0 - before.0) as f64 / wall));
        let (messages, _) = mean_and_most(each.map(|(after, before)| (after.1 - before.1) as f64 / wall));
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
            let (cpu, most) = mean_and_most(percent);
            rows.add(role, "cpu_percent_of_core", "%", cpu);
            rows.add(role, "cpu_percent_of_core_max", "%", most);
            let (resident, most) = mean_and_most(daemons.iter().map(Daemon::resident_mb));
            rows.add(role, "resident_mb", "MB", resident);
            rows.add(role, "resident_mb_max", "MB", most);
        }
        Ok(())
    }

    fn idle(&mut self) -> Result<(), String> {
        let length = Duration::from_secs(self.plan.seconds);
        self.costs(|_| {
            thread::sleep(length);
            Ok(())
        })
    }

    /// One worker changes, in the files of all replicas; when they stood.
    fn publish(&mut self) -> Result<Instant, String> {
        self.configuration.change();
        for n in 0..REAL_REPLICAS {
            let text = self.configuration.of_member(n, self.size()).text();
            let (path, draft) = (self.folder.at(&format!("replica-{n}.json")), self.folder.at("draft"));
            let put = std::fs::write(&draft, text).and_then(|()| std::fs::rename(&draft, path));
            put.map_err(|e| format!("cannot write a configuration: {e}"))?;
        }
        let put = Instant::now();
        daemon::reload(&self.replicas)?;
        Ok(put)
    }

    /// Waits until a change is in force at all schedulers; how long each took.
    fn reaches(&self, put: Instant) -> Result<Vec<f64>, String> {
        let wait = |daemon: &Daemon| {
            let (at, _) = daemon.wait("distribution installed")?;
            Ok(at.saturating_duration_since(put).as_secs_f64())
        };
        self.subscribers.iter().map(wait).collect()
    }

    /// Changes come while a client looks how long the serving thread of a scheduler stands still.
    fn standstill(&mut self) -> Result<(), String> {
        let at = self.subscribers[0].listen;
        let quiet = longest_round_trip(at, || {
            thread::sleep(CALM);
            Ok(())
        })?;
        self.rows.add("scheduler", "standstill_idle_ms", "ms", quiet.as_secs_f64() * 1e3);
        if self.plan.changes <= 0.0 {
            return Ok(());
        }
        let mut times = vec![];
        for _ in 0..WATCHED {
            let longest = longest_round_trip(at, || {
                let put = self.publish()?;
                self.reaches(put)?;
                thread::sleep(AFTER);
                Ok(())
            })?;
            times.push(longest.as_secs_f64() * 1e3);
        }
        times.sort_by(f64::total_cmp);
        self.rows.add("scheduler", "standstill_ms", "ms", quantile(&times, 1.0).unwrap_or(0.0));
        self.rows.add("scheduler", "standstill_ms_median", "ms", quantile(&times, 0.5).unwrap_or(0.0));
        Ok(())
    }

    /// Changes come at the plan's rate, or as fast as all have taken in the one before.
    fn changes(&mut self) -> Result<(), String> {
        let step = Duration::from_secs_f64(1.0 / self.plan.changes);
        let length = Duration::from_secs(self.plan.seconds).max(step);
        let (begun, mut done, mut seconds) = (Instant::now(), 0u32, vec![]);
        let first = self.rows.rows.len();
        self.costs(|play| {
            while begun.elapsed() < length {
                let put = play.publish()?;
                seconds.extend(play.reaches(put)?);
                done += 1;
                thread::sleep((step * done).min(length).saturating_sub(begun.elapsed()));
            }
            Ok(())
        })?;
        self.rows.add_seconds("scheduler", "seconds_to_all", &mut seconds);
        let rate = (f64::from(done) / begun.elapsed().as_secs_f64() * 1e3).round() / 1e3;
        self.rows.rows[first..].iter_mut().for_each(|row| row.changes_per_second = rate);
        Ok(())
    }

    /// All schedulers die, and start again at once.
    fn come_back(&mut self) -> Result<(), String> {
        let before: Vec<(u64, u64)> = self.counts.iter().map(|count| count.read()).collect();
        self.subscribers.clear();
        let begun = Instant::now();
        let spawn = |n: usize| {
            let (path, file) = (
                self.folder.at(&format!("scheduler-{n}.json")),
                self.folder.at(&format!("scheduler-{n}.toml")),
            );
            let daemon = Daemon::start(self.plan, &self.folder, &path, &file)?;
            let (at, _) = daemon.wait("distribution installed")?;
            Ok((daemon, (at - begun).as_secs_f64()))
        };
        let spawn = &spawn;
        let back: Result<Vec<(Daemon, f64)>, String> = thread::scope(|scope| {
            let all: Vec<_> = (0..self.plan.real).map(|n| scope.spawn(move || spawn(n))).collect();
            let join = |one: thread::ScopedJoinHandle<'_, Result<_, String>>| {
                one.join().unwrap_or_else(|_| Err("the rig has failed".to_owned()))
            };
            all.into_iter().map(join).collect()
        });
        let (daemons, mut seconds): (Vec<Daemon>, Vec<f64>) = back?.into_iter().unzip();
        self.subscribers = daemons;
        let bytes = self.counts.iter().zip(&before).map(|(count, before)| (count.read().0 - before.0) as f64);
        let bytes = mean_and_most(bytes).0;
        self.rows.add("scheduler", "return_processes", "processes", seconds.len() as f64);
        self.rows.add_seconds("scheduler", "return_seconds", &mut seconds);
        self.rows.add("scheduler", "return_bytes", "B", bytes);
        Ok(())
    }
}
