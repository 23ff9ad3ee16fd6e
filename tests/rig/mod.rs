//! The real program against stand-ins of this repository: workers, an event bus, clients.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// No wait of a test is longer; it ends a test that would hang, and decides nothing else.
pub const LONG: Duration = Duration::from_secs(20);
/// A function that every test may call.
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

pub trait Wire: Read + Write + Send {
    fn twin(&self) -> Box<dyn Wire>;
    fn end(&self);
}

impl Wire for TcpStream {
    fn twin(&self) -> Box<dyn Wire> {
        Box::new(self.try_clone().unwrap())
    }
    fn end(&self) {
        let _ = self.shutdown(std::net::Shutdown::Both);
    }
}

impl Wire for UnixStream {
    fn twin(&self) -> Box<dyn Wire> {
        Box::new(self.try_clone().unwrap())
    }
    fn end(&self) {
        let _ = self.shutdown(std::net::Shutdown::Both);
    }
}

/// A line that a worker was sent, and the connection to answer on.
pub struct Heard {
    pub line: Value,
    pub connection: usize,
    wire: Box<dyn Wire>,
}

impl Heard {
    pub fn say(&mut self, answer: Value) {
        let _ = self.wire.write_all(format!("{answer}\n").as_bytes());
    }

    pub fn end(&self) {
        self.wire.end();
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        let _ = self.wire.write_all(bytes);
    }

    /// `go`, `halt`, `stage`, ... whichever wire it came by.
    pub fn word(&self) -> &str {
        match self.line["verb"].as_str().or(self.line["method"].as_str()).unwrap() {
            "call" => "go",
            "cancel" => "halt",
            "load" => "stage",
            other => other,
        }
    }

    pub fn name(&self) -> String {
        let name = if self.line.get("verb").is_some() { &self.line["rid"] } else { &self.line["id"] };
        name.as_str().unwrap().to_owned()
    }

    /// Answers in the words of its wire: a body, or a status of the agents' wire.
    pub fn answer(&mut self, status: &str, content: &str) {
        let answer = match self.line.get("verb") {
            Some(_) => {
                json!({"verb": status, "rid": self.name(), "content": content, "attrs": {"replicas": 1}})
            }
            None if status == "200" && self.word() == "stage" => {
                json!({"jsonrpc": "2.0", "id": self.name(), "result": {"copies": 1}})
            }
            None if status == "200" => {
                json!({"jsonrpc": "2.0", "id": self.name(), "result": {"body": content}})
            }
            None => {
                let code = match status {
                    "404" => -32010,
                    "503" => -32011,
                    "504" => -32012,
                    _ => -32000,
                };
                json!({"jsonrpc": "2.0", "id": self.name(), "error": {"code": code, "message": status}})
            }
        };
        self.say(answer);
    }
}

pub enum At {
    Tcp(SocketAddr),
    Unix(PathBuf),
}

/// A worker that hands every line to the test.
pub struct Worker {
    pub at: At,
    heard: Receiver<Heard>,
}

fn hear(wire: Box<dyn Wire>, connection: usize, to: Sender<Heard>) {
    thread::spawn(move || {
        let write = wire.twin();
        for line in BufReader::new(wire).lines() {
            let Ok(line) = line else { return };
            let line = serde_json::from_str(&line).expect("every line is JSON");
            if to.send(Heard { line, connection, wire: write.twin() }).is_err() {
                return;
            }
        }
    });
}

impl Worker {
    pub fn agent() -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = At::Tcp(listener.local_addr().unwrap());
        let (to, heard) = channel();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                hear(Box::new(stream.unwrap()), number, to.clone());
            }
        });
        Worker { at, heard }
    }

    pub fn checker(path: &Path) -> Worker {
        let listener = UnixListener::bind(path).unwrap();
        let (to, heard) = channel();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                hear(Box::new(stream.unwrap()), number, to.clone());
            }
        });
        Worker { at: At::Unix(path.to_owned()), heard }
    }

    /// The next line; orders to load are answered on the way, and counted.
    pub fn next(&self) -> Heard {
        self.heard.recv_timeout(LONG).expect("the worker hears something")
    }

    /// A line, if one has come.
    pub fn poll(&self) -> Option<Heard> {
        thread::sleep(Duration::from_millis(1));
        self.heard.try_recv().ok()
    }

    pub fn address(&self) -> SocketAddr {
        let At::Tcp(address) = self.at else { panic!("an agent") };
        address
    }

    /// Whether nothing has come that the daemon sent before it answered what the caller has just read.
    pub fn quiet(&self) -> bool {
        self.heard.try_recv().is_err()
    }

    /// Answers every line as `how` says, for as long as the test lasts; the lines are kept.
    pub fn serve(self, how: impl Fn(&Heard) -> Option<(&'static str, String)> + Send + 'static) -> Lines {
        let lines = Lines::default();
        let kept = lines.clone();
        thread::spawn(move || {
            while let Ok(mut heard) = self.heard.recv() {
                kept.0.lock().unwrap().push(heard.line.clone());
                if let Some((status, content)) = how(&heard) {
                    heard.answer(status, &content);
                }
            }
        });
        lines
    }
}

#[derive(Clone, Default)]
pub struct Lines(pub Arc<Mutex<Vec<Value>>>);

/// A folder of the test's own, removed with it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("mintgate-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).unwrap();
        Folder(path)
    }

    pub fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn target(uid: u32, address: SocketAddr, state: &str) -> Value {
    json!({"uid": format!("s-{uid:08x}"), "endpoint": address.to_string(), "az": "a", "model": "std",
        "pod_group": 0, "state": state, "capacity_hint": 4, "boot_ms": 0})
}

pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "deadlineNs": 3_000_000_000u64, "objectiveNs": 1_000_000_000u64, "worth": 1.0,
            "effect": effect, "group": "all", "repeatWindowNs": 6_000_000_000u64})
    };
    json!({"fleetSize": 1, "index": 0, "zone": 0, "tickNs": 2_000_000, "zones": ["a"], "kinds": ["std"],
        "classes": [class("practice-check", "retryable"), class("credit-submit", "dedup")],
        "bounds": {"mostTries": 3, "mayCancel": true, "retryAfter": true, "maxRetryAfterNs": 500_000_000,
            "multiplex": 100, "maxOpen": 1000, "idleCloseNs": 15_000_000_000u64, "connectTimeoutNs": 250_000_000},
        "contract": {"coldFrom": 0.15, "coldNs": 15_000_000_000u64, "fallMultiple": 3.0, "fallNs": 2_000_000_000,
            "drainGraceNs": 2_000_000_000},
        "familyInfo": {"keepNs": 8_700_000_000u64, "notLoaded": "load", "mayOrder": true, "loadSpanNs": 5_000_000_000u64,
            "loadsAnyway": 3.0, "loadPart": 0.3, "loadWaitNs": 10_000_000_000u64, "memoryMbByKind": [18432.0]}})
}

/// A running daemon.
pub struct Daemon {
    pub child: Child,
    pub listen: SocketAddr,
    pub mgmt: SocketAddr,
    pub folder: Arc<Folder>,
    pub log: Arc<Mutex<String>>,
    pub config: Value,
}

impl Daemon {
    pub fn start(workers: &[&Worker]) -> Daemon {
        Daemon::with(workers, settings(), None, |_| String::new())
    }

    pub fn limited(workers: &[&Worker], limits: Value) -> Daemon {
        Daemon::begin(workers, settings(), limits, None, |_| String::new())
    }

    /// Starts the daemon with these agents, settings, bus and operator's file.
    pub fn with(
        workers: &[&Worker],
        settings: Value,
        bus: Option<SocketAddr>,
        operator: impl Fn(&Folder) -> String,
    ) -> Daemon {
        Daemon::begin(workers, settings, json!({"sockets": 256}), bus, operator)
    }

    fn begin(
        workers: &[&Worker],
        settings: Value,
        limits: Value,
        bus: Option<SocketAddr>,
        operator: impl Fn(&Folder) -> String,
    ) -> Daemon {
        let folder = Folder::new();
        let targets: Vec<Value> =
            workers.iter().enumerate().map(|(n, w)| target(n as u32 + 1, w.address(), "SERVING")).collect();
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
        let mut daemon = Daemon::spawn(Arc::new(folder), config, None);
        daemon.serves();
        daemon
    }

    /// Starts the daemon beside this one, on the same door, as the platform does at an upgrade.
    pub fn beside(&self, door: &TcpListener) -> Daemon {
        Daemon::spawn(self.folder.clone(), self.config.clone(), Some(door))
    }

    /// Starts the program on what stands in the folder. The door is passed as standard input, for that needs no
    /// unsafe code; the platform passes it under another number.
    pub fn spawn(folder: Arc<Folder>, config: Value, door: Option<&TcpListener>) -> Daemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mintgate"));
        command.env("GW_CONFIG", folder.at("config.json")).stdin(Stdio::null()).stderr(Stdio::piped());
        command.env("TMPDIR", &folder.0).env("GW_NAME", "n0");
        if let Some(door) = door {
            command.env("GW_PASSED_SOCKET", "0").env("GW_MGMT", "127.0.0.1:0");
            command.stdin(std::os::fd::OwnedFd::from(door.try_clone().unwrap()));
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
        Daemon { child, listen: any, mgmt: any, folder, log, config }
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

/// What the second address says to these bytes: the status, 0 for a close, and what follows the head.
pub fn operate(at: SocketAddr, bytes: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    (head.split(' ').nth(1).map_or(0, |status| status.parse().unwrap()), body.to_owned())
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

/// A client of the binary front.
pub struct Frames(pub TcpStream);

pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = 5 + payload.len() as u32;
    [&length.to_be_bytes()[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

pub fn request(list: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![list.len() as u8];
    for (name, value) in list {
        out.push(name.len() as u8);
        out.extend(name.as_bytes());
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(value.as_bytes());
    }
    out.extend(body);
    out
}

/// The payload of a plain call.
pub fn call(class: &str, reference: &str, allow: u64, body: &[u8]) -> Vec<u8> {
    let allow = allow.to_string();
    let list = [
        ("service", class),
        ("ref", reference),
        ("allow", &allow),
        ("lookup", FUNCTION),
        ("replay", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ("spec", "memory_mb:512;lanes:2;load_ms:640"),
    ];
    request(&list, body)
}

impl Frames {
    pub fn connect(daemon: &Daemon) -> Frames {
        let stream = TcpStream::connect(daemon.listen).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Frames(stream)
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// The next frame's type, stream and payload; none at the end.
    pub fn next(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        let mut head = [0; 4];
        self.0.read_exact(&mut head).ok()?;
        let mut rest = vec![0; u32::from_be_bytes(head) as usize];
        self.0.read_exact(&mut rest).ok()?;
        Some((rest[0], u32::from_be_bytes(rest[1..5].try_into().unwrap()), rest[5..].to_vec()))
    }
}

/// A client of the JSON-RPC front.
pub struct Rpc(pub BufReader<UnixStream>);

impl Rpc {
    pub fn connect(path: &Path) -> Rpc {
        let stream = UnixStream::connect(path).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Rpc(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(format!("{text}\n").as_bytes()).unwrap();
    }

    pub fn next(&mut self) -> Value {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        serde_json::from_str(&line).unwrap_or_else(|_| panic!("a line of JSON, not '{line}'"))
    }
}

pub fn rpc_call(id: &Value, class: &str, reference: &str, allow: u64, body: &str) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "method": "call", "params": {"class": class, "function": FUNCTION,
        "ref": reference, "allow_ms": allow, "key": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
        "memory_mb": 512, "lanes": 2, "load_ms": 640, "body": body}})
}

/// Answers with the body it was sent; orders stand.
pub fn echo(heard: &Heard) -> Option<(&'static str, String)> {
    match heard.word() {
        "go" => {
            let line = &heard.line;
            let body = line.get("content").or(line.pointer("/params/body")).unwrap().as_str().unwrap();
            Some(("200", body.to_owned()))
        }
        "stage" => Some(("200", String::new())),
        _ => None,
    }
}

/// Counts of the words heard.
pub fn tally(lines: &Lines) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for line in lines.0.lock().unwrap().iter() {
        let word = line["verb"].as_str().or(line["method"].as_str()).unwrap();
        *counts.entry(word.to_owned()).or_default() += 1;
    }
    counts
}

/// A bus that the test plays by hand.
pub struct Bus(pub TcpListener);

impl Bus {
    pub fn new() -> Bus {
        Bus(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// The next connection and the offset from which it wants to go on.
    pub fn accept(&self) -> (TcpStream, u64) {
        let (mut stream, _) = self.0.accept().unwrap();
        let mut offset = [0; 8];
        stream.read_exact(&mut offset).unwrap();
        (stream, u64::from_be_bytes(offset))
    }
}

pub fn event(offset: u64, id: u32, worker: &Worker, state: u8) -> Vec<u8> {
    let mut record = id.to_be_bytes().to_vec();
    record.extend([127, 0, 0, 1]);
    record.extend(worker.address().port().to_be_bytes());
    record.extend([state, 0, 0, 0, 0]);
    record.extend(4000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    [&(9 + record.len() as u32).to_be_bytes()[..], &offset.to_be_bytes(), &[2], &record].concat()
}
