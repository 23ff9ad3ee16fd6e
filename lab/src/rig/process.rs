//! Scheduler processes: starts them, sends them signals, and reads their logs.

use crate::faults::Faults;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Sender;
use std::thread;

/// A line of a process's log: the scheduler's index, the number of its process, and the text.
pub type LogLine = (usize, u32, String);

/// One process of a scheduler; killed when dropped.
pub struct Process {
    child: Child,
    /// Position among its scheduler's processes, from 0 in the order of their start.
    pub number: u32,
    /// Whether it accepts clients.
    pub is_serving: bool,
    /// SIGSTOP was sent, and no SIGCONT since.
    pub stopped: bool,
    /// SIGTERM was sent.
    pub ending: bool,
    /// When SIGKILL is sent if the process is still running.
    pub kill_at: Option<u64>,
}

impl Process {
    /// Sends the signal of this name, for example `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }

    /// Processor time used so far, in Linux clock ticks (hundredths of a second).
    pub fn cpu_ticks(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = text.rsplit_once(") ").map_or("", |(_, after)| after);
        let field = |n: usize| after.split(' ').nth(n).and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
        field(11) + field(12)
    }

    /// Whether the process exited successfully; `None` while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One scheduler: its listening socket, which outlives its processes, and the processes.
pub struct Scheduler {
    index: usize,
    folder: PathBuf,
    program: PathBuf,
    listener: TcpListener,
    /// The address that clients connect to.
    pub at: SocketAddr,
    /// Its processes, the most recently started last.
    pub processes: Vec<Process>,
    started_count: u32,
    /// Injects failures of system calls; `None` if this scenario has none.
    pub faults: Option<Faults>,
}

impl Scheduler {
    /// Creates a scheduler with its files in a folder of its own, and starts no process yet.
    pub fn new(
        index: usize,
        folder: &Path,
        program: &Path,
        config: impl FnOnce(SocketAddr) -> Value,
        operator: &str,
        faulty: bool,
    ) -> std::io::Result<Scheduler> {
        let folder = folder.join(index.to_string());
        std::fs::create_dir(&folder)?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        std::fs::write(folder.join("config.json"), config(at).to_string())?;
        std::fs::write(folder.join("operator.toml"), operator)?;
        let faults = if faulty { Some(Faults::new(&folder.join("faults"))?) } else { None };
        let (program, processes) = (program.to_owned(), vec![]);
        Ok(Scheduler { index, folder, program, listener, at, processes, started_count: 0, faults })
    }

    /// Starts a process and passes it the listening socket, as the platform does.
    pub fn start(&mut self, log: &Sender<LogLine>) -> std::io::Result<()> {
        let (index, number) = (self.index, self.started_count);
        self.started_count += 1;
        let mut command = Command::new(&self.program);
        command.args(["scheduler", "--operator"]).arg(self.folder.join("operator.toml"));
        command.env("GW_CONFIG", self.folder.join("config.json")).env("GW_NAME", format!("n{index}"));
        command.env("TMPDIR", &self.folder).env("GW_PASSED_SOCKET", "0").env_remove("GW_MGMT");
        command.stdin(std::os::fd::OwnedFd::from(self.listener.try_clone()?)).stderr(Stdio::piped());
        if let Some(faults) = &self.faults {
            faults.preload(&mut command)?;
            command.arg("--trace");
        }
        let mut child = command.spawn()?;
        let error = child.stderr.take();
        self.processes.push(Process {
            child,
            number,
            is_serving: false,
            stopped: false,
            ending: false,
            kill_at: None,
        });
        let log = log.clone();
        thread::spawn(move || {
            for line in BufReader::new(error?).lines().map_while(Result::ok) {
                log.send((index, number, line)).ok()?;
            }
            Some(())
        });
        Ok(())
    }

    /// Path of its configuration file.
    pub fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// The most recently started process that accepts clients.
    pub fn serving(&self) -> Option<&Process> {
        self.processes.iter().rfind(|process| process.is_serving)
    }
}
