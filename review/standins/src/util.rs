//! The record of a play, the processes that it starts, and small helpers.

use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// A play that lasts longer than this could not run.
const WATCHDOG: Duration = Duration::from_secs(105);

/// Opens the record and starts the watchdog.
pub fn begin(record: &Path) {
    let file = File::create(record).expect("the record can be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let _ = FOLDER.set(folder);
    std::panic::set_hook(Box::new(|info| note(&format!("stand-in failed: {info}"))));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        note("watchdog: the play took too long");
        end(2);
    });
}

/// Ends all processes that the play started, removes its folder and exits.
pub fn end(code: i32) -> ! {
    for child in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// A path in the play's own folder.
pub fn file(name: &str) -> PathBuf {
    FOLDER.get().expect("begun").join(name)
}

/// Milliseconds since the play began.
pub fn ms() -> f64 {
    RECORD.get().map_or(0.0, |(_, start)| start.elapsed().as_secs_f64() * 1e3)
}

/// Writes a line to the record.
pub fn note(text: &str) {
    if let Some((file, _)) = RECORD.get() {
        let line = format!("{:10.1} ms  {text}\n", ms());
        let _ = file.lock().unwrap_or_else(|e| e.into_inner()).write_all(line.as_bytes());
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the play has its disruption: `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The value of a field of a line of JSON whose names do not repeat: text without its quotes, or a number.
pub fn field(line: &str, name: &str) -> Option<String> {
    let key = format!("\"{name}\":");
    let rest = line[line.find(&key)? + key.len()..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => Some(text[..text.find('"')?].to_owned()),
        None => Some(rest[..rest.find([',', '}', ']'])?].trim().to_owned()),
    }
}

/// Base64 of some bytes.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for place in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * place)) as usize & 63] as char;
            out.push(if place <= part.len() { sign } else { '=' });
        }
    }
    out
}

/// A scheduler process, started as the deploy file says.
pub struct Scheduler {
    pub pid: u32,
    pub name: String,
    log: PathBuf,
}

impl Scheduler {
    /// Starts `target/release/mintgate` with this configuration and operator's file, and waits until it serves.
    pub fn start(name: &str, config: &str, operator: &str) -> Scheduler {
        let (config_path, operator_path) = (file(&format!("{name}.json")), file(&format!("{name}.toml")));
        std::fs::write(&config_path, config).expect("configuration");
        std::fs::write(&operator_path, operator).expect("operator's file");
        let mut run = "exec target/release/mintgate".to_owned();
        if !operator.is_empty() {
            run += &format!(" --operator {}", operator_path.display());
        }
        let log = file(&format!("{name}.log"));
        let out = File::create(&log).expect("log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("GW_CONFIG", &config_path)
            .env("GW_NAME", name)
            .env("TMPDIR", file(""))
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("log"))
            .stderr(out)
            .spawn()
            .expect("the scheduler starts");
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        let scheduler = Scheduler { pid, name: name.to_owned(), log };
        scheduler.wait_log("serving");
        note(&format!("scheduler {name} serves"));
        scheduler
    }

    pub fn log(&self) -> String {
        let mut text = String::new();
        let _ = File::open(&self.log).and_then(|mut file| file.read_to_string(&mut text));
        text
    }

    /// The value of a word `NAME=VALUE` of its log.
    pub fn logged(&self, name: &str) -> String {
        let (log, name) = (self.log(), format!("{name}="));
        let value = log.split_whitespace().find_map(|word| word.strip_prefix(&name));
        value.unwrap_or_default().to_owned()
    }

    /// Waits until a text is in its log.
    pub fn wait_log(&self, text: &str) {
        let start = Instant::now();
        while !self.log().contains(text) {
            if start.elapsed() > Duration::from_secs(15) {
                note(&format!("scheduler {}: no '{text}' in its log:\n{}", self.name, self.log()));
                end(2);
            }
            sleep_ms(5);
        }
    }

    /// Sends a signal to this process.
    pub fn signal(&self, signal: &str) {
        note(&format!("scheduler {}: SIG{signal}", self.name));
        let sent = Command::new("kill").args(["-s", signal, &self.pid.to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill");
    }
}
