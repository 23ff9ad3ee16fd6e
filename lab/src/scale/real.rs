//! Standalone real schedulers: the list is part of a complete configuration file, which is reloaded on SIGHUP.

use super::configuration::Configuration;
use super::daemon::{self, Client, Daemon};
use super::plan::CALLED_SCHEDULERS;
use super::report::{mean_and_max, quantile};
use super::{Plan, Row, Rows, Setup};
use crate::stand_ins::{Folder, Worker, echo};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time after a start until its activity has ended.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Reloads of one scheduler while the others are idle.
const SINGLE_RELOADS: usize = 5;
/// Interval of the readiness requests that detect stalls.
const READY_REQUEST_INTERVAL: Duration = Duration::from_millis(1);

struct Run<'a> {
    plan: &'a Plan,
    folder: Folder,
    configuration: Configuration,
    daemons: Vec<Daemon>,
    rows: Rows,
}

/// Runs the measurements of standalone schedulers.
pub fn run(plan: &Plan) -> Result<Vec<Row>, String> {
    let worker = Worker::over_tcp();
    let configuration = Configuration::new(plan.workers, worker.address());
    worker.serve(echo);
    let rows = Rows::new(plan, "real", Setup::Alone);
    let mut run = Run { plan, folder: Folder::new(), configuration, daemons: vec![], rows };
    run.start()?;
    run.measure_idle()?;
    run.measure_stall()?;
    if plan.changes > 0.0 {
        run.measure_changes()?;
    }
    if plan.functions > 0 {
        run.measure_functions()?;
    }
    Ok(run.rows.rows)
}

impl Run<'_> {
    fn config_path(&self) -> PathBuf {
        self.folder.at("config.json")
    }

    /// Atomically replaces the configuration file that schedulers read, and returns its size.
    fn write_config(&self) -> Result<usize, String> {
        let (text, temporary) = (self.configuration.text(), self.folder.at("config.draft"));
        let written =
            std::fs::write(&temporary, &text).and_then(|()| std::fs::rename(&temporary, self.config_path()));
        written.map(|()| text.len()).map_err(|e| format!("cannot write a configuration: {e}"))
    }

    fn start(&mut self) -> Result<(), String> {
        let bytes = self.write_config()?;
        let operator = self.folder.at("operator.toml");
        std::fs::write(&operator, "").map_err(|e| format!("cannot write an operator's file: {e}"))?;
        // In sequence, so that each start has a processor to itself.
        for _ in 0..self.plan.real {
            self.daemons.push(Daemon::start(self.plan, &self.folder, &self.config_path(), &operator)?);
        }
        eprintln!("scale: {} real schedulers serve", self.daemons.len());
        thread::sleep(SETTLE_TIME);
        let starts = mean_and_max(self.daemons.iter().map(|daemon| daemon.start.as_secs_f64()));
        let cpu = mean_and_max(self.daemons.iter().map(|daemon| daemon.start_cpu.as_secs_f64()));
        self.rows.add("scheduler", "start_seconds", "s", starts.0);
        self.rows.add("scheduler", "start_seconds_max", "s", starts.1);
        self.rows.add("scheduler", "start_cpu_seconds", "s", cpu.0);
        self.rows.add("scheduler", "configuration_bytes", "B", bytes as f64);
        Ok(())
    }

    fn measure_idle(&mut self) -> Result<(), String> {
        let length = Duration::from_secs(self.plan.seconds);
        let percent = daemon::cpu_percent_during(&self.daemons, || {
            thread::sleep(length);
            Ok(())
        })?;
        let (bytes, messages) = (0.0, 0.0);
        self.add_costs((bytes, bytes, messages), percent);
        Ok(())
    }

    /// Adds the resource usage while no function is called.
    fn add_costs(&mut self, (bytes, max_bytes, messages): (f64, f64, f64), percent: Vec<f64>) {
        let (cpu, max_cpu) = mean_and_max(percent);
        let (resident, max) = mean_and_max(self.daemons.iter().map(Daemon::resident_mb));
        let (peak, _) = mean_and_max(self.daemons.iter().map(Daemon::peak_resident_mb));
        let rows = &mut self.rows;
        rows.add("scheduler", "control_bytes_per_second", "B/s", bytes);
        rows.add("scheduler", "control_bytes_per_second_max", "B/s", max_bytes);
        rows.add("scheduler", "messages_per_second", "1/s", messages);
        rows.add("scheduler", "cpu_percent_of_core", "%", cpu);
        rows.add("scheduler", "cpu_percent_of_core_max", "%", max_cpu);
        rows.add("scheduler", "resident_mb", "MB", resident);
        rows.add("scheduler", "resident_mb_max", "MB", max);
        rows.add("scheduler", "resident_mb_peak", "MB", peak);
    }

    /// Reloads one scheduler alone, while a client measures how long its serving thread stalls.
    fn measure_stall(&mut self) -> Result<(), String> {
        let at = self.daemons[0].listen;
        let idle_longest = longest_round_trip(at, || {
            thread::sleep(SETTLE_TIME);
            Ok(())
        })?;
        self.rows.add("scheduler", "standstill_idle_ms", "ms", idle_longest.as_secs_f64() * 1e3);
        if self.plan.changes <= 0.0 {
            return Ok(());
        }
        let mut times = vec![];
        for _ in 0..SINGLE_RELOADS {
            self.configuration.change();
            self.write_config()?;
            let daemon = &self.daemons[..1];
            let longest = longest_round_trip(at, || {
                daemon::reload(daemon)?;
                daemon[0].wait_for_line("reloaded")?;
                // A request sent during the reload is answered after it.
                thread::sleep(READY_REQUEST_INTERVAL * 20);
                Ok(())
            })?;
            times.push(longest.as_secs_f64() * 1e3);
        }
        times.sort_by(f64::total_cmp);
        self.rows.add("scheduler", "standstill_ms", "ms", quantile(&times, 1.0).unwrap_or(0.0));
        self.rows.add("scheduler", "standstill_ms_median", "ms", quantile(&times, 0.5).unwrap_or(0.0));
        Ok(())
    }

    /// Applies changes at the plan's rate, or as fast as all schedulers have applied the previous one.
    fn measure_changes(&mut self) -> Result<(), String> {
        let (started_at, step) = (Instant::now(), Duration::from_secs_f64(1.0 / self.plan.changes));
        let length = Duration::from_secs(self.plan.seconds).max(step);
        let (mut done, mut bytes, mut seconds) = (0u32, 0, vec![]);
        let daemons = std::mem::take(&mut self.daemons);
        let percent = daemon::cpu_percent_during(&daemons, || {
            while started_at.elapsed() < length {
                self.configuration.change();
                bytes += self.write_config()?;
                let written_at = Instant::now();
                daemon::reload(&daemons)?;
                for daemon in &daemons {
                    let (at, _) = daemon.wait_for_line("reloaded")?;
                    seconds.push(at.saturating_duration_since(written_at).as_secs_f64());
                }
                done += 1;
                thread::sleep((step * done).min(length).saturating_sub(started_at.elapsed()));
            }
            Ok(())
        });
        self.daemons = daemons;
        let elapsed = started_at.elapsed().as_secs_f64();
        let (bytes, rate) = (bytes as f64 / elapsed, (f64::from(done) / elapsed * 1e3).round() / 1e3);
        self.rows.template().changes_per_second = rate;
        self.add_costs((bytes, bytes, rate), percent?);
        self.rows.add_seconds("scheduler", "seconds_to_all", &mut seconds);
        self.rows.template().changes_per_second = 0.0;
        Ok(())
    }

    /// Calls each function twice at a few schedulers.
    fn measure_functions(&mut self) -> Result<(), String> {
        let called = &self.daemons[self.daemons.len().saturating_sub(CALLED_SCHEDULERS)..];
        let count = self.plan.functions;
        let (mut bytes_per_function, mut first, mut further) = (vec![], vec![], vec![]);
        for daemon in called {
            let before = daemon.resident_mb();
            let mut client = Client::connect(daemon.listen)?;
            for times in [&mut first, &mut further] {
                for function in 0..count as u64 {
                    times.push(
                        client.call(function.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)?.as_secs_f64() * 1e3,
                    );
                }
            }
            bytes_per_function.push((daemon.resident_mb() - before) * 1e6 / count as f64);
        }
        let (resident, _) = mean_and_max(called.iter().map(Daemon::resident_mb));
        first.sort_by(f64::total_cmp);
        further.sort_by(f64::total_cmp);
        let rows = &mut self.rows;
        rows.template().functions = count;
        rows.add("scheduler", "resident_mb", "MB", resident);
        rows.add("scheduler", "kept_bytes_per_function", "B", mean_and_max(bytes_per_function).0);
        for (name, times) in [("first_call_round_trip_ms", first), ("further_call_round_trip_ms", further)] {
            rows.add("scheduler", name, "ms", quantile(&times, 0.5).unwrap_or(0.0));
            rows.add("scheduler", &format!("{name}_p99"), "ms", quantile(&times, 0.99).unwrap_or(0.0));
        }
        rows.template().functions = 0;
        Ok(())
    }
}

/// The longest round trip of readiness requests while `during` runs.
pub fn longest_round_trip(
    at: std::net::SocketAddr,
    during: impl FnOnce() -> Result<(), String>,
) -> Result<Duration, String> {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let client = scope.spawn(|| {
            let (mut client, mut longest) = (Client::connect(at)?, Duration::ZERO);
            while !done.load(Ordering::Relaxed) {
                longest = longest.max(client.ready_round_trip()?);
                thread::sleep(READY_REQUEST_INTERVAL);
            }
            Ok(longest)
        });
        // By then it has connected and sends requests.
        thread::sleep(READY_REQUEST_INTERVAL * 20);
        let result = during();
        done.store(true, Ordering::Relaxed);
        let longest =
            client.join().unwrap_or_else(|_| Err("the client for readiness requests has failed".to_owned()));
        result.and(longest)
    })
}
