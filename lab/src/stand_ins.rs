//! Stand-ins for the peers of a scheduler, controlled by the test: workers, discovery, clients. Tests of one daemon
//! use them, and the rig uses their encodings of wire messages.
#![allow(
    clippy::unwrap_used,
    clippy::missing_panics_doc,
    reason = "a test whose stand-in cannot be set up has to fail"
)]

use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Timeout of every wait in a test. It only ends a test that would otherwise hang.
pub const LONG: Duration = Duration::from_secs(20);
/// Name of a function that every test may call.
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

/// A TCP or Unix stream.
pub trait Wire: Read + Write + Send {
    /// Another handle of the same stream.
    fn clone_handle(&self) -> Box<dyn Wire>;
    /// Shuts the stream down in both directions.
    fn end(&self);
}

impl Wire for TcpStream {
    fn clone_handle(&self) -> Box<dyn Wire> {
        Box::new(self.try_clone().unwrap())
    }
    fn end(&self) {
        let _ = self.shutdown(std::net::Shutdown::Both);
    }
}

impl Wire for UnixStream {
    fn clone_handle(&self) -> Box<dyn Wire> {
        Box::new(self.try_clone().unwrap())
    }
    fn end(&self) {
        let _ = self.shutdown(std::net::Shutdown::Both);
    }
}

/// A line received by a worker, and the connection to answer on.
pub struct ReceivedLine {
    /// The line.
    pub line: Value,
    /// The number of its connection, from 0.
    pub connection: usize,
    wire: Box<dyn Wire>,
}

impl ReceivedLine {
    /// Sends a line.
    pub fn send_line(&mut self, answer: Value) {
        let _ = self.wire.write_all(format!("{answer}\n").as_bytes());
    }

    /// Shuts down the connection.
    pub fn end(&self) {
        self.wire.end();
    }

    /// Sends raw bytes.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.wire.write_all(bytes);
    }

    /// `go`, `halt`, `stage` and so on, for either protocol.
    pub fn verb(&self) -> &str {
        match self.line["verb"].as_str().or(self.line["method"].as_str()).unwrap() {
            "call" => "go",
            "cancel" => "halt",
            "load" => "stage",
            other => other,
        }
    }

    /// The id that the answer has to carry.
    pub fn request_id(&self) -> String {
        let name = if self.line.get("verb").is_some() { &self.line["rid"] } else { &self.line["id"] };
        name.as_str().unwrap().to_owned()
    }

    /// Answers in the protocol of the line: `status` is a verb of the workers' protocol, which JSON-RPC answers
    /// translate.
    pub fn answer(&mut self, status: &str, content: &str) {
        let answer = match self.line.get("verb") {
            Some(_) => {
                json!({"verb": status, "rid": self.request_id(), "content": content, "attrs": {"replicas": 1}})
            }
            None if status == "200" && self.verb() == "stage" => {
                json!({"jsonrpc": "2.0", "id": self.request_id(), "result": {"copies": 1}})
            }
            None if status == "200" => {
                json!({"jsonrpc": "2.0", "id": self.request_id(), "result": {"body": content}})
            }
            None => {
                let code = match status {
                    "404" => -32010,
                    "503" => -32011,
                    "504" => -32012,
                    _ => -32000,
                };
                json!({"jsonrpc": "2.0", "id": self.request_id(), "error": {"code": code, "message": status}})
            }
        };
        self.send_line(answer);
    }
}

/// Address on which a worker listens.
pub enum WorkerAddress {
    /// TCP, for workers.
    Tcp(SocketAddr),
    /// A Unix socket, for checkers.
    Unix(PathBuf),
}

/// A worker that passes every received line to the test.
pub struct Worker {
    /// Address on which it listens.
    pub at: WorkerAddress,
    received: Receiver<ReceivedLine>,
}

fn read_lines(wire: Box<dyn Wire>, connection: usize, to: Sender<ReceivedLine>) {
    thread::spawn(move || {
        let write = wire.clone_handle();
        for line in BufReader::new(wire).lines() {
            let Ok(line) = line else { return };
            let line = serde_json::from_str(&line).expect("every line is JSON");
            if to.send(ReceivedLine { line, connection, wire: write.clone_handle() }).is_err() {
                return;
            }
        }
    });
}

impl Worker {
    /// Starts a worker on TCP.
    pub fn over_tcp() -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = WorkerAddress::Tcp(listener.local_addr().unwrap());
        let (to, received) = channel();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                read_lines(Box::new(stream.unwrap()), number, to.clone());
            }
        });
        Worker { at, received }
    }

    /// Starts a checker on a Unix socket at this path.
    pub fn over_unix(path: &Path) -> Worker {
        let listener = UnixListener::bind(path).unwrap();
        let (to, received) = channel();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                read_lines(Box::new(stream.unwrap()), number, to.clone());
            }
        });
        Worker { at: WorkerAddress::Unix(path.to_owned()), received }
    }

    /// Waits for the next line of any kind.
    pub fn next(&self) -> ReceivedLine {
        self.received.recv_timeout(LONG).expect("the worker receives a line")
    }

    /// Returns a line that has arrived, after a pause of 1 ms.
    pub fn poll(&self) -> Option<ReceivedLine> {
        thread::sleep(Duration::from_millis(1));
        self.received.try_recv().ok()
    }

    /// The worker's TCP address.
    pub fn address(&self) -> SocketAddr {
        let WorkerAddress::Tcp(address) = self.at else { panic!("a checker has no TCP address") };
        address
    }

    /// Whether nothing has arrived that the daemon sent before the answer that the caller has just read.
    pub fn received_nothing(&self) -> bool {
        self.received.try_recv().is_err()
    }

    /// Answers every line as `answer` says, for the rest of the test, and records the lines.
    pub fn serve(
        self,
        answer: impl Fn(&ReceivedLine) -> Option<(&'static str, String)> + Send + 'static,
    ) -> Lines {
        let lines = Lines::default();
        let kept = lines.clone();
        thread::spawn(move || {
            while let Ok(mut received) = self.received.recv() {
                kept.0.lock().unwrap().push(received.line.clone());
                if let Some((status, content)) = answer(&received) {
                    received.answer(status, &content);
                }
            }
        });
        lines
    }
}

/// Lines that a worker received.
#[derive(Clone, Default)]
pub struct Lines(pub Arc<Mutex<Vec<Value>>>);

/// A folder of the test's own, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a new folder.
    pub fn new() -> Folder {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("mintgate-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).unwrap();
        Folder(path)
    }

    /// Path of this name in the folder.
    pub fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Default for Folder {
    fn default() -> Folder {
        Folder::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A worker's record, as the configuration contains it.
pub fn worker_record(uid: u32, address: SocketAddr, state: &str) -> Value {
    json!({"uid": format!("s-{uid:08x}"), "endpoint": address.to_string(), "az": "a", "model": "std",
        "pod_group": 0, "state": state, "capacity_hint": 4, "boot_ms": 0})
}

/// Settings of a site with one zone, one kind and two classes.
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

/// Sends bytes to the operator's HTTP address and returns the status, 0 if the connection was closed, and the body.
pub fn send_operator_request(at: SocketAddr, bytes: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    (head.split(' ').nth(1).map_or(0, |status| status.parse().unwrap()), body.to_owned())
}

/// A client of the binary front.
pub struct FrameClient(pub TcpStream);

/// Encodes a frame of the binary front.
pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = 5 + payload.len() as u32;
    [&length.to_be_bytes()[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

/// Encodes the payload of a request with these fields.
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

/// Encodes the payload of a plain call.
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

impl FrameClient {
    /// Connects to a daemon's client address.
    pub fn connect(at: SocketAddr) -> FrameClient {
        let stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        FrameClient(stream)
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// The next frame's type, stream and payload; `None` at the end of the stream.
    #[expect(clippy::should_implement_trait, reason = "it blocks, and the type is no iterator")]
    pub fn next(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        let mut head = [0; 4];
        self.0.read_exact(&mut head).ok()?;
        let mut rest = vec![0; u32::from_be_bytes(head) as usize];
        self.0.read_exact(&mut rest).ok()?;
        Some((rest[0], u32::from_be_bytes(rest[1..5].try_into().unwrap()), rest[5..].to_vec()))
    }
}

/// A client of the JSON-RPC front.
pub struct RpcClient(pub BufReader<UnixStream>);

impl RpcClient {
    /// Connects to a daemon's socket.
    pub fn connect(path: &Path) -> RpcClient {
        let stream = UnixStream::connect(path).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        RpcClient(BufReader::new(stream))
    }

    /// Sends a line.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(format!("{text}\n").as_bytes()).unwrap();
    }

    /// Waits for the next line.
    #[expect(clippy::should_implement_trait, reason = "it blocks, and the type is no iterator")]
    pub fn next(&mut self) -> Value {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        serde_json::from_str(&line).unwrap_or_else(|_| panic!("expected a line of JSON, received '{line}'"))
    }
}

/// A call on the JSON-RPC front.
pub fn rpc_call(id: &Value, class: &str, reference: &str, allow: u64, body: &str) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "method": "call", "params": {"class": class, "function": FUNCTION,
        "ref": reference, "allow_ms": allow, "key": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
        "memory_mb": 512, "lanes": 2, "load_ms": 640, "body": body}})
}

/// Answers calls with the body received, and load requests with success.
pub fn echo(received: &ReceivedLine) -> Option<(&'static str, String)> {
    match received.verb() {
        "go" => {
            let line = &received.line;
            let body = line.get("content").or(line.pointer("/params/body")).unwrap().as_str().unwrap();
            Some(("200", body.to_owned()))
        }
        "stage" => Some(("200", String::new())),
        _ => None,
    }
}

/// Counts the lines by verb or method.
pub fn count_by_verb(lines: &Lines) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for line in lines.0.lock().unwrap().iter() {
        let word = line["verb"].as_str().or(line["method"].as_str()).unwrap();
        *counts.entry(word.to_owned()).or_default() += 1;
    }
    counts
}

/// Discovery, controlled by the test.
pub struct Bus(pub TcpListener);

impl Default for Bus {
    fn default() -> Bus {
        Bus::new()
    }
}

impl Bus {
    /// Listens on a new port.
    pub fn new() -> Bus {
        Bus(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Accepts the next connection and reads the offset that it resumes from.
    pub fn accept(&self) -> (TcpStream, u64) {
        let (mut stream, _) = self.0.accept().unwrap();
        let mut offset = [0; 8];
        stream.read_exact(&mut offset).unwrap();
        (stream, u64::from_be_bytes(offset))
    }
}

/// Encodes a change of one worker as discovery sends it: state 0 ready, 1 draining, 2 gone; `started` is the worker's
/// start in Unix milliseconds, or 0 if that was long ago.
pub fn change(offset: u64, id: u32, address: SocketAddr, state: u8, started: u64) -> Vec<u8> {
    let SocketAddr::V4(address) = address else { panic!("discovery supports IPv4 only") };
    let mut record = id.to_be_bytes().to_vec();
    record.extend(address.ip().octets());
    record.extend(address.port().to_be_bytes());
    record.extend([state, 0, 0, 0, 0]);
    record.extend(4000u32.to_be_bytes());
    record.extend(started.to_be_bytes());
    [&(9 + record.len() as u32).to_be_bytes()[..], &offset.to_be_bytes(), &[2], &record].concat()
}

/// The same for a worker that has been running for a long time.
pub fn event(offset: u64, id: u32, worker: &Worker, state: u8) -> Vec<u8> {
    change(offset, id, worker.address(), state, 0)
}
