//! Runs the real program against the stand-ins of `lab`.
#![allow(dead_code)]

use lab::faults::Faults;
pub use lab::stand_ins::*;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A running daemon.
pub struct Daemon {
    pub child: Child,
    pub listen: SocketAddr,
    pub mgmt: SocketAddr,
    pub folder: Arc<Folder>,
    pub log: Arc<Mutex<String>>,
    pub config: Value,
    /// Injects faults into its system calls, if it was started with them.
    pub faults: Option<Arc<Faults>>,
}

impl Daemon {
    /// Starts a daemon with the default settings.
    pub fn start(workers: &[&Worker]) -> Daemon {
        Daemon::start_with(workers, settings(), None, |_| String::new())
    }

    /// Starts a daemon with these limits on sockets and memory.
    pub fn with_limits(workers: &[&Worker], limits: Value) -> Daemon {
        Daemon::start_with_limits(workers, settings(), limits, None, |_| String::new())
    }

    /// Starts a daemon with these workers, settings, discovery address and operator's file.
    pub fn start_with(
        workers: &[&Worker],
        settings: Value,
        bus: Option<SocketAddr>,
        operator: impl Fn(&Folder) -> String,
    ) -> Daemon {
        Daemon::start_with_limits(workers, settings, json!({"sockets": 256}), bus, operator)
    }

    /// The same with fault injection: system calls can be made to fail, and the wall clock can be stepped. It differs
    /// from the real time by `wall_clock_ms` from the start.
    pub fn with_faults(
        workers: &[&Worker],
        settings: Value,
        bus: Option<SocketAddr>,
        operator: impl Fn(&Folder) -> String,
        wall_clock_ms: i64,
    ) -> Daemon {
        let limits = json!({"sockets": 256});
        let (folder, config) = Daemon::write_files(workers, settings, limits, bus, operator);
        let faults = Faults::new(&folder.at("faults")).unwrap();
        faults.step_wall_clock(wall_clock_ms).unwrap();
        let mut daemon = Daemon::spawn_faulty(Arc::new(folder), config, None, Some(Arc::new(faults)));
        daemon.serves();
        daemon
    }

    /// The faults injected into this daemon's system calls.
    pub fn faults(&self) -> &Faults {
        self.faults.as_ref().expect("the daemon was not started with fault injection")
    }

    /// Starts a daemon and waits until it serves.
    pub fn start_with_limits(
        workers: &[&Worker],
        settings: Value,
        limits: Value,
        bus: Option<SocketAddr>,
        operator: impl Fn(&Folder) -> String,
    ) -> Daemon {
        let (folder, config) = Daemon::write_files(workers, settings, limits, bus, operator);
        let mut daemon = Daemon::spawn(Arc::new(folder), config, None);
        daemon.serves();
        daemon
    }

    /// Writes a daemon's files to a new folder.
    fn write_files(
        workers: &[&Worker],
        settings: Value,
        limits: Value,
        bus: Option<SocketAddr>,
        operator: impl Fn(&Folder) -> String,
    ) -> (Folder, Value) {
        let folder = Folder::new();
        let targets: Vec<Value> = workers
            .iter()
            .enumerate()
            .map(|(n, w)| worker_record(n as u32 + 1, w.address(), "SERVING"))
            .collect();
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "seed": "7", "settings": settings,
            "limits": limits, "known": {"offset": 1, "batch": [
                {"offset": 1, "topology": {"rev": 1, "all": true, "targets": targets}}]}});
        if let Some(bus) = bus {
            config["bus"] = json!(bus.to_string());
        }
        std::fs::write(folder.at("config.json"), config.to_string()).unwrap();
        let operator = operator(&folder);
        if !operator.is_empty() {
            std::fs::write(folder.at("operator.toml"), operator).unwrap();
        }
        (folder, config)
    }

    /// Starts a second process on the same listener, as the platform does at an upgrade.
    pub fn spawn_beside(&self, listener: &TcpListener) -> Daemon {
        Daemon::spawn_faulty(self.folder.clone(), self.config.clone(), Some(listener), self.faults.clone())
    }

    /// Starts another daemon with this one's configuration and a limit on its descriptors.
    pub fn spawn_with_descriptor_limit(&self, descriptors: u32) -> Daemon {
        let folder = Arc::new(Folder::new());
        std::fs::write(folder.at("config.json"), self.config.to_string()).unwrap();
        let mut command = Command::new("sh");
        command.args([
            "-c",
            &format!("ulimit -n {descriptors}; exec \"$0\""),
            env!("CARGO_BIN_EXE_mintgate"),
        ]);
        Daemon::run(command, folder, self.config.clone(), None, None)
    }

    /// Starts the program with the files in the folder. The listener is passed as standard input, which needs no unsafe
    /// code; the platform passes it under another number.
    pub fn spawn(folder: Arc<Folder>, config: Value, listener: Option<&TcpListener>) -> Daemon {
        Daemon::spawn_faulty(folder, config, listener, None)
    }

    /// The same with fault injection.
    pub fn spawn_faulty(
        folder: Arc<Folder>,
        config: Value,
        listener: Option<&TcpListener>,
        faults: Option<Arc<Faults>>,
    ) -> Daemon {
        Daemon::run(Command::new(env!("CARGO_BIN_EXE_mintgate")), folder, config, listener, faults)
    }

    /// Runs a command and collects its log.
    fn run(
        mut command: Command,
        folder: Arc<Folder>,
        config: Value,
        listener: Option<&TcpListener>,
        faults: Option<Arc<Faults>>,
    ) -> Daemon {
        if let Some(faults) = &faults {
            faults.preload(&mut command).unwrap();
            command.arg("--trace");
        }
        command.env("GW_CONFIG", folder.at("config.json")).stdin(Stdio::null()).stderr(Stdio::piped());
        command.env("TMPDIR", &folder.0).env("GW_NAME", "n0");
        if let Some(listener) = listener {
            command.env("GW_PASSED_SOCKET", "0").env("GW_MGMT", "127.0.0.1:0");
            command.stdin(std::os::fd::OwnedFd::from(listener.try_clone().unwrap()));
        }
        if folder.at("operator.toml").exists() {
            command.arg("--operator").arg(folder.at("operator.toml"));
        }
        let mut child = command.spawn().unwrap();
        let log = Arc::new(Mutex::new(String::new()));
        let (captured, error) = (log.clone(), child.stderr.take().unwrap());
        thread::spawn(move || {
            for line in BufReader::new(error).lines().map_while(Result::ok) {
                let mut log = captured.lock().unwrap();
                log.push_str(&line);
                log.push('\n');
            }
        });
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        Daemon { child, listen: any, mgmt: any, folder, log, config, faults }
    }

    /// Waits until it serves, and reads its addresses from the log.
    pub fn serves(&mut self) {
        let log = self.wait_log("mintgate: serving");
        let word = |what| log.split_whitespace().find_map(|word| word.strip_prefix(what)).unwrap();
        (self.listen, self.mgmt) = (word("listen=").parse().unwrap(), word("mgmt=").parse().unwrap());
    }

    /// Waits until the process exits, and returns whether it succeeded.
    pub fn ends(&mut self) -> bool {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(start.elapsed() < LONG, "the process does not exit");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends a request to the second address; returns the status and the body.
    pub fn operate(&self, method: &str, target: &str) -> (u16, String) {
        send_operator_request(
            self.mgmt,
            format!("{method} {target} HTTP/1.1\r\nHost: here\r\n\r\n").as_bytes(),
        )
    }

    /// Reads a figure at the second address.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let (_, text) = self.operate("GET", "/api/telemetry");
        let lines = text.lines().find_map(|line| line.strip_prefix(&format!("scheduler.{name}=")));
        lines.map(|value| value.parse().unwrap())
    }

    /// Waits until a text is in the log, and returns the log.
    pub fn wait_log(&self, text: &str) -> String {
        self.wait_log_times(text, 1)
    }

    /// Waits until a text is in the log at least `times` times.
    pub fn wait_log_times(&self, text: &str, times: usize) -> String {
        let start = Instant::now();
        loop {
            let log = self.log.lock().unwrap().clone();
            if log.matches(text).count() >= times {
                return log;
            }
            assert!(start.elapsed() < LONG, "no '{text}' in the log:\n{log}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Replaces the configuration and reloads it; returns the word of the log line that says how that ended.
    pub fn reload(&self, config: &str) -> String {
        let count =
            |log: &str| log.matches("mintgate: reloaded").count() + log.matches("reload refused").count();
        let before = count(&self.log.lock().unwrap());
        std::fs::write(self.folder.at("config.json"), config).unwrap();
        self.signal("HUP");
        let start = Instant::now();
        loop {
            let log = self.log.lock().unwrap().clone();
            if count(&log) > before {
                let line = log.lines().rfind(|line| line.contains("mintgate: reload"));
                return line.unwrap().split(' ').take(3).last().unwrap_or_default().to_owned();
            }
            assert!(start.elapsed() < LONG, "no reload:\n{log}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Reads a counter, which SIGUSR1 logs.
    pub fn counter(&self, name: &str) -> u64 {
        let before = self.log.lock().unwrap().matches("mintgate: counters").count();
        self.signal("USR1");
        let start = Instant::now();
        loop {
            let log = self.log.lock().unwrap().clone();
            if log.matches("mintgate: counters").count() > before {
                let line = log.lines().rfind(|line| line.contains("mintgate: counters")).unwrap();
                let word = line.split(' ').find_map(|word| word.strip_prefix(&format!("{name}="))).unwrap();
                return word.parse().unwrap();
            }
            assert!(start.elapsed() < LONG, "no counters");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Daemon {
    /// Waits until a counter is at least `least`.
    pub fn wait_counter(&self, name: &str, least: u64) {
        let start = Instant::now();
        while self.counter(name) < least {
            assert!(start.elapsed() < LONG, "{name} stays under {least}");
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
