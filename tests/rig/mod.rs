//! The real program, against the stand-ins of `lab`.
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
    /// Makes its system calls fail, where it was started to meet that.
    pub faults: Option<Arc<Faults>>,
}

impl Daemon {
    pub fn start(workers: &[&Worker]) -> Daemon {
        Daemon::start_with(workers, settings(), None, |_| String::new())
    }

    pub fn with_limits(workers: &[&Worker], limits: Value) -> Daemon {
        Daemon::start_with_limits(workers, settings(), limits, None, |_| String::new())
    }

    /// Starts the daemon with these agents, settings, bus and operator's file.
    pub fn start_with(
        workers: &[&Worker],
        settings: Value,
        bus: Option<SocketAddr>,
        operator: impl Fn(&Folder) -> String,
    ) -> Daemon {
        Daemon::start_with_limits(workers, settings, json!({"sockets": 256}), bus, operator)
    }

    /// The same, where system calls can be made to fail and the wall clock stepped, which is off by so much from the
    /// start on.
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

    /// What steers this daemon's system calls.
    pub fn faults(&self) -> &Faults {
        self.faults.as_ref().expect("it was started to meet faults")
    }

    fn start_with_limits(
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

    /// Writes the files of a daemon into a folder of its own.
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

    /// Starts the daemon beside this one, on the same door, as the platform does at an upgrade.
    pub fn spawn_beside(&self, listener: &TcpListener) -> Daemon {
        Daemon::spawn_faulty(self.folder.clone(), self.config.clone(), Some(listener), self.faults.clone())
    }

    /// Starts another daemon on the configuration of this one, where the system hands out so few descriptors.
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

    /// Starts the program on what stands in the folder. The door is passed as standard input, for that needs no
    /// unsafe code; the platform passes it under another number.
    pub fn spawn(folder: Arc<Folder>, config: Value, listener: Option<&TcpListener>) -> Daemon {
        Daemon::spawn_faulty(folder, config, listener, None)
    }

    /// The same, whose system calls can be made to fail.
    pub fn spawn_faulty(
        folder: Arc<Folder>,
        config: Value,
        listener: Option<&TcpListener>,
        faults: Option<Arc<Faults>>,
    ) -> Daemon {
        Daemon::run(Command::new(env!("CARGO_BIN_EXE_mintgate")), folder, config, listener, faults)
    }

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
        let (kept, error) = (log.clone(), child.stderr.take().unwrap());
        thread::spawn(move || {
            for line in BufReader::new(error).lines().map_while(Result::ok) {
                let mut log = kept.lock().unwrap();
                log.push_str(&line);
                log.push('\n');
            }
        });
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        Daemon { child, listen: any, mgmt: any, folder, log, config, faults }
    }

    /// Waits until it serves, and learns where.
    pub fn serves(&mut self) {
        let log = self.wait_log("mintgate: serving");
        let word = |what| log.split_whitespace().find_map(|word| word.strip_prefix(what)).unwrap();
        (self.listen, self.mgmt) = (word("listen=").parse().unwrap(), word("mgmt=").parse().unwrap());
    }

    /// Waits for its end; whether it went well.
    pub fn ends(&mut self) -> bool {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(start.elapsed() < LONG, "it does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Calls the second address; the status and what follows the head.
    pub fn operate(&self, method: &str, target: &str) -> (u16, String) {
        operate(self.mgmt, format!("{method} {target} HTTP/1.1\r\nHost: here\r\n\r\n").as_bytes())
    }

    /// A figure as the second address shows it.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let (_, text) = self.operate("GET", "/api/telemetry");
        let lines = text.lines().find_map(|line| line.strip_prefix(&format!("scheduler.{name}=")));
        lines.map(|value| value.parse().unwrap())
    }

    /// Waits for a word in the log.
    pub fn wait_log(&self, word: &str) -> String {
        self.wait_log_times(word, 1)
    }

    /// Waits for a word to have come up so often.
    pub fn wait_log_times(&self, word: &str, times: usize) -> String {
        let start = Instant::now();
        loop {
            let log = self.log.lock().unwrap().clone();
            if log.matches(word).count() >= times {
                return log;
            }
            assert!(start.elapsed() < LONG, "no '{word}' in the log:\n{log}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Puts another configuration in place and has it read; the log's word for how that went.
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

    /// A counter, as printed on request.
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
    /// Waits until a counter has come so far.
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
