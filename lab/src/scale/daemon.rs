//! Real schedulers: started on generated files, signalled, asked and watched.

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

/// Nothing of a scheduler is waited for longer; a run in which it is has failed.
pub const LONG: Duration = Duration::from_secs(60);

/// Lines of a scheduler's log that an error tells at most.
const SAID: usize = 8;

/// A running scheduler.
pub struct Daemon {
    child: Child,
    log: Receiver<(Instant, String)>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Its second address.
    pub mgmt: SocketAddr,
    /// From its spawn until it served.
    pub start: Duration,
    /// Processor time that it had taken by then.
    pub start_processor: Duration,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts one on these files, and waits until it serves.
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
        let begun = Instant::now();
        let mut child = command.spawn().map_err(|e| format!("cannot start a scheduler: {e}"))?;
        let error = child.stderr.take();
        let (to, log) = channel();
        thread::spawn(move || {
            for line in BufReader::new(error?).lines().map_while(Result::ok) {
                to.send((Instant::now(), line)).ok()?;
            }
            Some(())
        });
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let (start, start_processor) = (Duration::ZERO, Duration::ZERO);
        let mut daemon = Daemon { child, log, listen: at, mgmt: at, start, start_processor };
        let (served, line) = daemon.wait("serving ")?;
        daemon.start = served - begun;
        daemon.start_processor = system::processor_time(daemon.id()).unwrap_or_default();
        let told = |name: &str| {
            let rest = line.split_once(name).map(|(_, rest)| rest)?;
            rest.split(' ').next()?.parse().ok()
        };
        let odd = || format!("a scheduler says where it serves in an odd way: {line}");
        daemon.listen = told(" listen=").ok_or_else(odd)?;
        daemon.mgmt = told(" mgmt=").ok_or_else(odd)?;
        Ok(daemon)
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The next line of its log that holds this, and when it came.
    pub fn wait(&self, what: &str) -> Result<(Instant, String), String> {
        let until = Instant::now() + LONG;
        let mut before = vec![];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.log.recv_timeout(left) {
                Ok((at, line)) if line.contains(what) => return Ok((at, line)),
                Ok((_, line)) if line.contains("refused") => return Err(format!("a scheduler says: {line}")),
                Ok((_, line)) => before.push(line),
                Err(_) => {
                    let said = before[before.len().saturating_sub(SAID)..].join("\n");
                    return Err(format!("a scheduler does not say '{what}', but at last: {said}"));
                }
            }
        }
    }

    /// A figure of its telemetry.
    pub fn figure(&self, name: &str) -> Result<f64, String> {
        let text = self.get("/api/telemetry").map_err(|e| format!("a scheduler tells no figures: {e}"))?;
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
        value
            .and_then(|value| value.trim().parse().ok())
            .ok_or_else(|| format!("a scheduler has no figure {name}"))
    }

    fn get(&self, path: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.mgmt, LONG)?;
        stream.set_read_timeout(Some(LONG))?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.mgmt)?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    }

    /// Resident memory in MB, as it is now.
    pub fn resident_mb(&self) -> f64 {
        system::resident(self.id()).unwrap_or(0) as f64 / 1e6
    }

    /// Resident memory in MB, at the most so far.
    pub fn most_resident_mb(&self) -> f64 {
        system::most_resident(self.id()).unwrap_or(0) as f64 / 1e6
    }
}

/// Sends all of these SIGHUP, at once.
pub fn reload(daemons: &[Daemon]) -> Result<(), String> {
    let mut command = Command::new("kill");
    command.args(["-s", "HUP"]).args(daemons.iter().map(|daemon| daemon.id().to_string()));
    match command.status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("cannot signal schedulers: {status}")),
        Err(why) => Err(format!("cannot signal schedulers: {why}")),
    }
}

/// Processor time that each has taken so far.
pub fn processor_times(daemons: &[Daemon]) -> Vec<Duration> {
    daemons.iter().map(|daemon| system::processor_time(daemon.id()).unwrap_or_default()).collect()
}

/// Each one's processor time while something happens, in percent of a core.
pub fn processor_percent(
    daemons: &[Daemon],
    during: impl FnOnce() -> Result<(), String>,
) -> Result<Vec<f64>, String> {
    let (begun, before) = (Instant::now(), processor_times(daemons));
    during()?;
    let (wall, after) = (begun.elapsed().as_secs_f64(), processor_times(daemons));
    let percent = |(after, before): (&Duration, &Duration)| (*after - *before).as_secs_f64() * 100.0 / wall;
    Ok(after.iter().zip(&before).map(percent).collect())
}

/// A client of the clients' front.
pub struct Client {
    stream: TcpStream,
    next: u32,
}

impl Client {
    /// Connects.
    pub fn connect(at: SocketAddr) -> Result<Client, String> {
        let cannot = |e: std::io::Error| format!("cannot connect to a scheduler: {e}");
        let stream = TcpStream::connect(at).map_err(cannot)?;
        stream.set_read_timeout(Some(LONG)).map_err(cannot)?;
        stream.set_nodelay(true).map_err(cannot)?;
        Ok(Client { stream, next: 1 })
    }

    /// Asks whether it is ready; how long the answer took.
    pub fn ask_ready(&mut self) -> Result<Duration, String> {
        self.round_trip(&stand_ins::frame(6, 0, &[0]))
    }

    /// Calls a function; how long the answer took.
    pub fn call(&mut self, function: u64) -> Result<Duration, String> {
        let (stream, lookup) = (self.next, format!("{function:016x}"));
        self.next += 1;
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
        let begun = Instant::now();
        let mut ask = || -> std::io::Result<()> {
            self.stream.write_all(frame)?;
            let mut head = [0; 4];
            self.stream.read_exact(&mut head)?;
            let mut rest = vec![0; u32::from_be_bytes(head) as usize];
            self.stream.read_exact(&mut rest)
        };
        ask().map_err(|e| format!("a scheduler does not answer: {e}"))?;
        Ok(begun.elapsed())
    }
}
