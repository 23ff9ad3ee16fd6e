//! Real schedulers as child processes: started with generated files, signalled, queried and measured.

use super::Plan;
use super::system;
use crate::stand_ins::{self, Folder};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// How long to wait for a log line or a reply of a scheduler before the run fails.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Log lines that an error message quotes at most.
const MAX_QUOTED_LINES: usize = 8;

/// A running scheduler.
pub struct Daemon {
    child: Child,
    log: Receiver<(Instant, String)>,
    /// The address for clients.
    pub listen: SocketAddr,
    /// Its second address.
    pub mgmt: SocketAddr,
    /// Time from the spawn until it served.
    pub start: Duration,
    /// Processor time used by then.
    pub start_cpu: Duration,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts a scheduler with these files and waits until it serves.
    pub fn start(plan: &Plan, folder: &Folder, config: &Path, operator: &Path) -> Result<Daemon, String> {
        let mut command = match &plan.program {
            Some(program) => Command::new(program),
            None => {
                let own = std::env::current_exe().map_err(|e| format!("cannot find this program: {e}"))?;
                let mut command = Command::new(own);
                command.arg("scheduler");
                command
            }
        };
        command.arg("--operator").arg(operator).env("GW_CONFIG", config).env("TMPDIR", &folder.0);
        command.env_remove("GW_MGMT").env_remove("GW_PASSED_SOCKET").env_remove("GW_NAME");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let started_at = Instant::now();
        let mut child = command.spawn().map_err(|e| format!("cannot start a scheduler: {e}"))?;
        let error = child.stderr.take();
        let (to, log) = channel();
        thread::spawn(move || {
            for line in BufReader::new(error?).lines().map_while(Result::ok) {
                to.send((Instant::now(), line)).ok()?;
            }
            Some(())
        });
        let unbound = SocketAddr::from(([127, 0, 0, 1], 0));
        let (start, start_cpu) = (Duration::ZERO, Duration::ZERO);
        let mut daemon = Daemon { child, log, listen: unbound, mgmt: unbound, start, start_cpu };
        let (served, line) = daemon.wait_for_line("serving ")?;
        daemon.start = served - started_at;
        daemon.start_cpu = system::cpu_time(daemon.id()).unwrap_or_default();
        let parse_field = |name: &str| {
            let rest = line.split_once(name).map(|(_, rest)| rest)?;
            rest.split(' ').next()?.parse().ok()
        };
        let unreadable = || format!("cannot read a scheduler's addresses in its log line: {line}");
        daemon.listen = parse_field(" listen=").ok_or_else(unreadable)?;
        daemon.mgmt = parse_field(" mgmt=").ok_or_else(unreadable)?;
        Ok(daemon)
    }

    /// The process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the next log line that contains this text, and returns it with the time of its arrival.
    pub fn wait_for_line(&self, what: &str) -> Result<(Instant, String), String> {
        self.wait_for_line_within(what, RESPONSE_TIMEOUT)
    }

    /// Like [`Daemon::wait_for_line`], with another timeout.
    pub fn wait_for_line_within(&self, what: &str, limit: Duration) -> Result<(Instant, String), String> {
        let until = Instant::now() + limit;
        let mut earlier_lines = vec![];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.log.recv_timeout(left) {
                Ok((at, line)) if line.contains(what) => return Ok((at, line)),
                Ok((_, line)) if line.contains("refused") => return Err(format!("scheduler logged: {line}")),
                Ok((_, line)) => earlier_lines.push(line),
                Err(_) => {
                    let quoted =
                        earlier_lines[earlier_lines.len().saturating_sub(MAX_QUOTED_LINES)..].join("\n");
                    return Err(format!("a scheduler did not log '{what}'; its last lines: {quoted}"));
                }
            }
        }
    }

    /// Reads a figure of its telemetry.
    pub fn figure(&self, name: &str) -> Result<f64, String> {
        let text = self
            .get("/api/telemetry")
            .map_err(|e| format!("a scheduler does not answer a request for its figures: {e}"))?;
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
        value
            .and_then(|value| value.trim().parse().ok())
            .ok_or_else(|| format!("a scheduler has no figure {name}"))
    }

    fn get(&self, path: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.mgmt, RESPONSE_TIMEOUT)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.mgmt)?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    }

    /// Current resident memory in MB.
    pub fn resident_mb(&self) -> f64 {
        system::resident_bytes(self.id()).unwrap_or(0) as f64 / 1e6
    }

    /// Peak resident memory in MB.
    pub fn peak_resident_mb(&self) -> f64 {
        system::peak_resident_bytes(self.id()).unwrap_or(0) as f64 / 1e6
    }
}

/// Sends SIGHUP to all of these schedulers with one command.
pub fn reload(daemons: &[Daemon]) -> Result<(), String> {
    let mut command = Command::new("kill");
    command.args(["-s", "HUP"]).args(daemons.iter().map(|daemon| daemon.id().to_string()));
    match command.status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("cannot signal schedulers: {status}")),
        Err(why) => Err(format!("cannot signal schedulers: {why}")),
    }
}

/// Processor time that each has used so far.
pub fn cpu_times(daemons: &[Daemon]) -> Vec<Duration> {
    daemons.iter().map(|daemon| system::cpu_time(daemon.id()).unwrap_or_default()).collect()
}

/// Processor time that each uses while `during` runs, in percent of a core.
pub fn cpu_percent_during(
    daemons: &[Daemon],
    during: impl FnOnce() -> Result<(), String>,
) -> Result<Vec<f64>, String> {
    let (started_at, before) = (Instant::now(), cpu_times(daemons));
    during()?;
    let (wall, after) = (started_at.elapsed().as_secs_f64(), cpu_times(daemons));
    let percent = |(after, before): (&Duration, &Duration)| (*after - *before).as_secs_f64() * 100.0 / wall;
    Ok(after.iter().zip(&before).map(percent).collect())
}

/// A client connected to the clients' front.
pub struct Client {
    stream: TcpStream,
    next_stream: u32,
}

impl Client {
    /// Connects to a scheduler.
    pub fn connect(at: SocketAddr) -> Result<Client, String> {
        let cannot = |e: std::io::Error| format!("cannot connect to a scheduler: {e}");
        let stream = TcpStream::connect(at).map_err(cannot)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(cannot)?;
        stream.set_nodelay(true).map_err(cannot)?;
        Ok(Client { stream, next_stream: 1 })
    }

    /// Sends a readiness request and returns the round trip time.
    pub fn ready_round_trip(&mut self) -> Result<Duration, String> {
        self.round_trip(&stand_ins::frame(6, 0, &[0]))
    }

    /// Calls a function and returns the round trip time.
    pub fn call(&mut self, function: u64) -> Result<Duration, String> {
        let (stream, lookup) = (self.next_stream, format!("{function:016x}"));
        self.next_stream += 1;
        let reference = format!("{:016x}", (u64::from(std::process::id()) << 32) + u64::from(stream));
        let list = [
            ("service", "practice-check"),
            ("ref", reference.as_str()),
            ("allow", "2000"),
            ("lookup", lookup.as_str()),
            ("spec", "memory_mb:512;lanes:2"),
        ];
        self.round_trip(&stand_ins::frame(0, stream, &stand_ins::request(&list, b"x")))
    }

    fn round_trip(&mut self, frame: &[u8]) -> Result<Duration, String> {
        let started_at = Instant::now();
        let mut ask = || -> std::io::Result<()> {
            self.stream.write_all(frame)?;
            let mut head = [0; 4];
            self.stream.read_exact(&mut head)?;
            let mut rest = vec![0; u32::from_be_bytes(head) as usize];
            self.stream.read_exact(&mut rest)
        };
        ask().map_err(|e| format!("a scheduler does not answer: {e}"))?;
        Ok(started_at.elapsed())
    }
}
