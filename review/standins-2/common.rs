//! Stand-ins for the peers of a scheduler, on loopback and on the real clock: node agents, the event bus, clients of both
//! fronts, and the start and end of the project's own processes. Standard library only.

use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Whether the disruption is played; `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep(n: u64) {
    thread::sleep(ms(n));
}

/// What was sent, answered and run, by time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    pub fn add(&self, text: impl Into<String>) -> u64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }
    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.0);
        for (at, line) in lines {
            text += &format!("{at:>7} {line}\n");
        }
        let _ = fs::write(path, text);
    }
}

/// Ends a case: writes the record and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, folder: &Folder, schedulers: &mut [Scheduler], verdict: Result<bool, String>) -> ! {
    for scheduler in schedulers {
        scheduler.end();
    }
    let code = match &verdict {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    let text = match verdict {
        Ok(true) => "RESULT: the rule was broken".to_owned(),
        Ok(false) => "RESULT: the rule held".to_owned(),
        Err(why) => format!("RESULT: could not run: {why}"),
    };
    record.add(&text);
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    record.write(Path::new(&path));
    println!("{text}");
    let _ = fs::remove_dir_all(&folder.0);
    std::process::exit(code)
}

/// A temporary folder.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("mg-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
    pub fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

/// The text of a string field of a line of JSON that has no escapes in it.
pub fn text_field(line: &str, key: &str) -> Option<String> {
    let mark = format!("\"{key}\":\"");
    let from = line.find(&mark)? + mark.len();
    let to = line[from..].find('"')?;
    Some(line[from..from + to].to_owned())
}

/// A free port of the loopback address, as the system gives it out.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(LETTERS[(n >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// A scheduler, started with the command of the deploy file.
pub struct Scheduler {
    child: Child,
    pub listen: SocketAddr,
    pub pid: u32,
}

/// The `run` command of deploy/balancer.toml.
pub fn run_command() -> Result<String, String> {
    let text = fs::read_to_string("deploy/balancer.toml").map_err(|e| e.to_string())?;
    let line = text.lines().find(|line| line.starts_with("run = ")).ok_or("no run in the deploy file")?;
    line.split('"').nth(1).map(str::to_owned).ok_or_else(|| "no text in run".to_owned())
}

impl Scheduler {
    /// Starts one from the root, by `/bin/sh -c`, with its configuration and a private `$TMPDIR`; `arguments` follow the
    /// command of the deploy file.
    pub fn start(folder: &Folder, name: &str, listen: SocketAddr, config: &str, arguments: &str) -> Result<Scheduler, String> {
        let file = folder.at(&format!("{name}.json"));
        fs::write(&file, config).map_err(|e| e.to_string())?;
        let temporary = folder.at(&format!("{name}.tmp"));
        fs::create_dir_all(&temporary).map_err(|e| e.to_string())?;
        let log = fs::File::create(folder.at(&format!("{name}.log"))).map_err(|e| e.to_string())?;
        let other = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{} {arguments}", run_command()?))
            .env("GW_NAME", name)
            .env("GW_LISTEN", listen.to_string())
            .env("GW_CONFIG", &file)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(other)
            .spawn()
            .map_err(|e| e.to_string())?;
        let pid = child.id();
        Ok(Scheduler { child, listen, pid })
    }

    /// Waits until it answers type 6 with code 79.
    pub fn wait_ready(&mut self) -> Result<(), String> {
        let end = Instant::now() + ms(10_000);
        while Instant::now() < end {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                let mut client = Frames { stream };
                let _ = client.stream.set_read_timeout(Some(ms(500)));
                client.send(6, 1, &[0]);
                if let Some((7, _, payload)) = client.next() {
                    if payload.first() == Some(&79) {
                        return Ok(());
                    }
                }
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("the scheduler ended: {status}"));
            }
            sleep(50);
        }
        Err("the scheduler is not ready".to_owned())
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/kill").arg(format!("-{name}")).arg(self.pid.to_string()).status();
    }

    /// A counter of its own that it prints on SIGUSR1, for the record only.
    pub fn counter(&self, folder: &Folder, name: &str, counter: &str) -> String {
        self.signal("USR1");
        sleep(400);
        let text = fs::read_to_string(folder.at(&format!("{name}.log"))).unwrap_or_default();
        let mark = format!(" {counter}=");
        let from = text.rfind(&mark).map(|at| at + 1);
        from.map(|at| text[at..].split_whitespace().next().unwrap_or("").to_owned()).unwrap_or_default()
    }

    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A command that a node agent has read.
pub struct Line {
    pub verb: String,
    pub rid: String,
    pub text: String,
    pub connection: u64,
    pub stream: Arc<Mutex<TcpStream>>,
}

impl Line {
    pub fn write(&self, line: &str) {
        let mut stream = self.stream.lock().unwrap();
        let _ = stream.write_all(line.as_bytes());
        let _ = stream.write_all(b"\n");
    }
    pub fn answer(&self, verb: &str, attrs: &str, content: &str) {
        self.write(&format!(
            "{{\"verb\":\"{verb}\",\"rid\":\"{}\",\"attrs\":{{{attrs}}},\"content\":\"{content}\"}}",
            self.rid
        ));
    }
    /// Closes the connection; what is unread makes it a reset.
    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(std::net::Shutdown::Both);
    }
}

/// A node agent: every line that it reads is given to `handle`, on a thread of its connection.
pub struct Agent {
    pub uid: u32,
    pub address: SocketAddr,
}

impl Agent {
    pub fn start(uid: u32, handle: impl Fn(Line) + Send + Sync + 'static) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let handle = Arc::new(handle);
        let connections = AtomicU64::new(0);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                let number = connections.fetch_add(1, Ordering::Relaxed);
                let handle = handle.clone();
                thread::spawn(move || {
                    let Ok(reader) = stream.try_clone() else { return };
                    let shared = Arc::new(Mutex::new(stream));
                    let mut reader = BufReader::new(reader);
                    loop {
                        let mut text = String::new();
                        match reader.read_line(&mut text) {
                            Ok(n) if n > 0 && text.ends_with('\n') => {}
                            _ => return,
                        }
                        let verb = text_field(&text, "verb").unwrap_or_default();
                        let rid = text_field(&text, "rid").unwrap_or_default();
                        handle(Line { verb, rid, text, connection: number, stream: shared.clone() });
                    }
                });
            }
        });
        Agent { uid, address }
    }

    pub fn id(&self) -> String {
        format!("s-{:08x}", self.uid)
    }

    /// Its record in the configuration, as ready.
    pub fn known(&self, zone: &str, kind: &str, cell: u16, weight: u32) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{zone}\",\"model\":\"{kind}\",\"pod_group\":{cell},\"state\":\"SERVING\",\"capacity_hint\":{weight},\"boot_ms\":0}}",
            self.id(), self.address
        )
    }

    /// Its record of 27 bytes on the event bus: state 0 ready, 1 draining, 2 gone.
    pub fn record(&self, state: u8, zone: u8, kind: u8, cell: u16, weight: u32) -> Vec<u8> {
        let SocketAddr::V4(address) = self.address else { unreachable!() };
        let mut out = self.uid.to_be_bytes().to_vec();
        out.extend(address.ip().octets());
        out.extend(address.port().to_be_bytes());
        out.extend([state, zone, kind]);
        out.extend(cell.to_be_bytes());
        out.extend((weight * 1000).to_be_bytes());
        out.extend(0u64.to_be_bytes());
        out
    }
}

/// The event bus: events after those of the configuration, and an empty frame each second.
#[derive(Clone)]
pub struct Bus {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, Vec<u8>)>>>,
    down: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Bus {
    pub fn start() -> Bus {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let bus = Bus {
            address: listener.local_addr().unwrap(),
            events: Arc::default(),
            down: Arc::default(),
            open: Arc::default(),
        };
        let own = bus.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                // While it is down, a connection is ended at once.
                if own.down.load(Ordering::SeqCst) {
                    continue;
                }
                let own = own.clone();
                thread::spawn(move || {
                    let mut last = [0; 8];
                    if stream.read_exact(&mut last).is_err() {
                        return;
                    }
                    own.open.lock().unwrap().push(stream.try_clone().unwrap());
                    let mut sent = u64::from_be_bytes(last);
                    let mut beat = Instant::now() - ms(2_000);
                    loop {
                        if own.down.load(Ordering::SeqCst) {
                            let _ = stream.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                        let later: Vec<_> =
                            own.events.lock().unwrap().iter().filter(|event| event.0 > sent).cloned().collect();
                        for (number, records) in later {
                            if stream.write_all(&bus_frame(number, 2, &records)).is_err() {
                                return;
                            }
                            sent = number;
                        }
                        if beat.elapsed() >= ms(1_000) {
                            beat = Instant::now();
                            if stream.write_all(&bus_frame(sent, 0, &[])).is_err() {
                                return;
                            }
                        }
                        sleep(10);
                    }
                });
            }
        });
        bus
    }

    pub fn add(&self, number: u64, records: Vec<u8>) {
        self.events.lock().unwrap().push((number, records));
    }

    /// Ends all connections, and ends new ones at once until it is up again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        if down {
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

fn bus_frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (9 + payload.len() as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(payload);
    out
}

/// A client of the binary front.
pub struct Frames {
    pub stream: TcpStream,
}

impl Frames {
    pub fn connect(at: SocketAddr) -> std::io::Result<Frames> {
        let stream = TcpStream::connect(at)?;
        stream.set_nodelay(true)?;
        Ok(Frames { stream })
    }
    pub fn send(&mut self, kind: u8, stream: u32, payload: &[u8]) -> bool {
        self.stream.write_all(&frame(kind, stream, payload)).is_ok()
    }
    /// The next frame: its type, its stream and its payload; `None` at the end of the connection.
    pub fn next(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).ok()?;
        let mut rest = vec![0; u32::from_be_bytes(head) as usize];
        self.stream.read_exact(&mut rest).ok()?;
        Some((rest[0], u32::from_be_bytes(rest[1..5].try_into().ok()?), rest[5..].to_vec()))
    }
}

pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (5 + payload.len() as u32).to_be_bytes().to_vec();
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

/// The payload of a request.
pub fn request(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![fields.len() as u8];
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend(name.as_bytes());
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(value.as_bytes());
    }
    out.extend(body);
    out
}

/// A client of the JSON-RPC front.
pub struct Rpc {
    pub stream: BufReader<UnixStream>,
}

impl Rpc {
    pub fn connect(path: &Path) -> std::io::Result<Rpc> {
        let stream = UnixStream::connect(path)?;
        stream.set_read_timeout(Some(ms(6_000)))?;
        Ok(Rpc { stream: BufReader::new(stream) })
    }
    pub fn send(&mut self, line: &str) -> bool {
        let stream = self.stream.get_mut();
        stream.write_all(line.as_bytes()).is_ok() && stream.write_all(b"\n").is_ok()
    }
    pub fn next(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(n) if n > 0 => Some(line),
            _ => None,
        }
    }
}

/// Numbers in a row that look random, from a seed.
pub struct Draw(pub u64);

impl Draw {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let x = self.0 ^ (self.0 >> 29);
        x.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (x >> 32)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 16) % n
    }
}

/// A new `ref`.
pub fn reference() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let mut draw = Draw(n.wrapping_mul(0x1234_5677) ^ (u64::from(std::process::id()) << 32));
    format!("{:016x}", draw.next() ^ n)
}

/// A site of the pages in the form of the settings.
pub struct Site {
    pub settings: String,
    pub zone: &'static str,
    pub kind: &'static str,
}

/// Settings of tyww-coding-lab: practice-check is safe to repeat, credit-submit is keyed and all run boxes drop a repeat
/// for 6 s; a run box loads what it lacks.
pub fn tyww(schedulers: u32, index: u32) -> Site {
    Site {
        zone: "bldg-a",
        kind: "std-5c",
        settings: format!(
            r#"{{"accounts":[],"bounds":{{"connectTimeoutNs":250000000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"idleCloseNs":15000000000,"maxOpen":20000,"maxRetryAfterNs":500000000,"mayCancel":true,"mostTries":3,"multiplex":100,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true}},
"classes":[{{"deadlineNs":3000000000,"effect":"retryable","group":"all","lateShare":0.1,"name":"practice-check","objectiveNs":1500000000,"repeatWindowNs":5000000000,"streamed":false,"worth":1.0}},{{"deadlineNs":3000000000,"effect":"dedup","group":"all","lateShare":0.3,"name":"credit-submit","objectiveNs":1000000000,"repeatWindowNs":6000000000,"streamed":false,"worth":5.0}}],
"clients":{{"marksRetry":true}},
"contract":{{"askWithinNs":10000000000,"coldFrom":0.15,"coldNs":15000000000,"drainGraceNs":2000000000,"fallMultiple":3.0,"fallNs":2000000000,"graceToAnswerNs":8000000}},
"discovery":"pushed","family":"warm",
"familyInfo":{{"keepNs":8700000000,"loadPart":0.3,"loadSpanNs":5000000000,"loadWaitNs":10000000000,"loadsAnyway":3.0,"mayOrder":true,"memoryMbByKind":[18432.0,18880.0],"notLoaded":"load","priceOfIdle":0.15,"reportX0":"share of memory that is at work or loading","reportX1":"loads under way or waiting","saysCompany":false,"warmNotes":false}},
"fleetSize":{schedulers},"index":{index},"kinds":["std-5c","slow-5c"],"layers":["checker-fleet"],
"loadInfo":{{"how":"probe","names":["cpu_share","x0","x1"]}},"overShareWorth":0.1,
"prices":{{"connection":0.0,"crossZone":0.0094,"discovery":0.0,"handshake":0.0,"lateFail":0.051,"moves":0.0,"origin":0.1,"peer":0.0,"probe":0.01,"waste":0.03}},
"scoringMix":{{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2}},
"tickNs":2000000,"tier":0,"weightSource":"rough","worthBy":"request","zone":0,"zones":["bldg-a","bldg-b","bldg-c"]}}"#
        ),
    }
}

/// Settings of spojnica-main: route-query is safe to repeat, seat-hold is keyed and the workers of one pod drop a repeat
/// for 6 s; a worker that lacks the module answers `miss`, and only an order loads it.
pub fn spojnica(schedulers: u32, index: u32) -> Site {
    Site {
        zone: "room-a",
        kind: "std-3core",
        settings: format!(
            r#"{{"accounts":[],"bounds":{{"connectTimeoutNs":250000000,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"idleCloseNs":15000000000,"maxOpen":20000,"maxRetryAfterNs":2000000000,"mayCancel":true,"mostTries":5,"multiplex":100,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true}},
"classes":[{{"deadlineNs":3000000000,"effect":"retryable","group":"all","lateShare":0.1,"name":"route-query","objectiveNs":750000000,"repeatWindowNs":5000000000,"streamed":false,"worth":1.0}},{{"deadlineNs":3000000000,"effect":"dedup","group":"cell","lateShare":0.3,"name":"seat-hold","objectiveNs":750000000,"repeatWindowNs":6000000000,"streamed":false,"worth":2.0}}],
"clients":{{"marksRetry":true}},
"contract":{{"askWithinNs":10000000000,"coldFrom":0.17,"coldNs":16000000000,"drainGraceNs":2000000000,"fallMultiple":4.0,"fallNs":1500000000,"graceToAnswerNs":8000000}},
"discovery":"pushed","family":"warm",
"familyInfo":{{"keepNs":9100000000,"loadPart":0.0,"loadSpanNs":0,"loadWaitNs":10000000000,"loadsAnyway":0.0,"mayOrder":true,"memoryMbByKind":[18432.0],"notLoaded":"miss","priceOfIdle":0.15,"reportX0":"","reportX1":"loads under way or waiting","saysCompany":false,"warmNotes":true}},
"fleetSize":{schedulers},"index":{index},"kinds":["std-3core"],"layers":["planner-workers"],
"loadInfo":{{"how":"probe","names":["cpu_share","busy_reqs","x1"]}},"overShareWorth":0.1,
"prices":{{"connection":0.0,"crossZone":0.0098,"discovery":0.0,"handshake":0.0,"lateFail":0.077,"moves":0.0,"origin":0.1,"peer":0.0,"probe":0.0098,"waste":0.08}},
"scoringMix":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.4}},
"tickNs":2000000,"tier":0,"weightSource":"nominal","worthBy":"work","zone":0,"zones":["room-a","room-b","room-c"]}}"#
        ),
    }
}

/// A scheduler's configuration. `known` holds the records of the first event, which is the whole list.
pub fn config(name: &str, listen: SocketAddr, memory_mb: u32, sockets: u32, bus: SocketAddr, known: &[String], site: &Site) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"bus":"{bus}","known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"rev":1,"all":true,"targets":[{}]}}}}]}},"settings":{}}}"#,
        known.join(","),
        site.settings
    )
}

/// How often something happened, by name.
#[derive(Clone, Default)]
pub struct Counts(pub Arc<Mutex<HashMap<String, u64>>>);

impl Counts {
    pub fn add(&self, name: &str) -> u64 {
        let mut counts = self.0.lock().unwrap();
        let count = counts.entry(name.to_owned()).or_default();
        *count += 1;
        *count
    }
    pub fn of(&self, name: &str) -> u64 {
        self.0.lock().unwrap().get(name).copied().unwrap_or(0)
    }
}

/// Sets the size of a socket's receive buffer (SO_RCVBUF), so that the system does not read ahead of its client.
pub fn set_receive_buffer(socket: &impl std::os::fd::AsRawFd, bytes: i32) {
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    // SOL_SOCKET and SO_RCVBUF of Linux.
    let _ = unsafe { setsockopt(socket.as_raw_fd(), 1, 8, &bytes, 4) };
}
