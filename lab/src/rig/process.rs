//! Real schedulers: started, stopped, killed, and listened to.

use crate::faults::Faults;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Sender;
use std::thread;

/// A line of a process's log: of which scheduler, of which of its processes, and the text.
pub type Logged = (usize, u32, String);

/// One process.
pub struct Process {
    child: Child,
    /// Which of its scheduler's processes, from 0.
    pub number: u32,
    /// It is ready for clients.
    pub serves: bool,
    /// SIGSTOP was sent, and no SIGCONT since.
    pub stopped: bool,
    /// SIGTERM was sent.
    pub ending: bool,
    /// When SIGKILL follows, if it is up still.
    pub kill_at: Option<u64>,
}

impl Process {
    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }

    /// Processor time that it has taken, in hundredths of a second, as Linux counts it.
    pub fn ticks(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = text.rsplit_once(") ").map_or("", |(_, after)| after);
        let field = |n: usize| after.split(' ').nth(n).and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
        field(11) + field(12)
    }

    /// Whether it has ended, and whether that went well.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One scheduler: its door, which outlives its processes, and those.
pub struct Scheduler {
    index: usize,
    folder: PathBuf,
    program: PathBuf,
    listener: TcpListener,
    /// Where clients connect.
    pub at: SocketAddr,
    /// The youngest comes last.
    pub processes: Vec<Process>,
    started: u32,
    /// Makes its system calls fail; none where it is not to meet that.
    pub faults: Option<Faults>,
}

impl Scheduler {
    /// One whose files are in a folder of its own, and which is not started yet.
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
        Ok(Scheduler { index, folder, program, listener, at, processes, started: 0, faults })
    }

    /// Starts a process, as the platform does: the door is passed to it.
    pub fn start(&mut self, log: &Sender<Logged>) -> std::io::Result<()> {
        let (index, number) = (self.index, self.started);
        self.started += 1;
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
            serves: false,
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

    /// Where its configuration stands.
    pub fn configuration(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// The process that clients reach.
    pub fn serving(&self) -> Option<&Process> {
        self.processes.iter().rfind(|process| process.serves)
    }
}
