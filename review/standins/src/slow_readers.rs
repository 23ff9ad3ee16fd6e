//! Clients that read slowly, each with up to 32 open calls, beside the platform's limit on memory.

use crate::run_box::{Rules, RunBox, Treat, listed};
use crate::settings::{Class, KEYED, SAFE, config};
use crate::util::{Scheduler, base64, field, file, ms, note, sleep_ms, trouble};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CHECKERS: [&str; 2] = ["7f3a9c21e0b4d601", "7f3a9c21e0b4d602"];
const LONG_BYTES: usize = 230_000;
/// One answer in this many is long.
const LONG_ONE_IN: u64 = 16;
const MOST_OPEN: usize = 32;
const ALLOW_MS: u64 = 3_000;
/// The least memory that a scheduler is given; together the clients stay under the most requests a second that one gets.
const MEMORY_MB: u64 = 32;
const CLIENTS: u32 = 17;
const CALLS_PER_S: f64 = 55.0;
const BYTES_PER_S: u64 = 1_000_000;
const SECONDS: f64 = 20.0;

/// What one client has sent and received.
#[derive(Default)]
struct Ledger {
    open: BTreeSet<u32>,
    sent: u32,
    served: u32,
    refused: u32,
    failed: u32,
    /// Calls that were open when the scheduler ended their connection, but for the one whose answer had begun to come.
    lost: u32,
    ended: bool,
    /// The client itself is about to close.
    leaves: bool,
}

/// Numbers drawn from a seed (SplitMix64).
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

fn call(client: u32, connection: u32, id: u32, long: bool, keyed: bool) -> String {
    let (class, key) = if keyed {
        ("credit-submit", format!("\"key\":\"5c0f6e1a2b3d4c59{client:04x}{connection:04x}{id:08x}\","))
    } else {
        ("practice-check", String::new())
    };
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"call\",\"params\":{{\"class\":\"{class}\",\"function\":\"{}\",\
         \"allow_ms\":{ALLOW_MS},{key}\"memory_mb\":230,\"lanes\":4,\"load_ms\":360,\"body\":\"{}\"}}}}\n",
        CHECKERS[usize::from(keyed)],
        base64(if long { b"long" } else { b"short" })
    )
}

/// Reads answers: slowly, or as fast as they come.
fn read(number: u32, mut stream: UnixStream, ledger: &Mutex<Ledger>) {
    let mut part = vec![0; if trouble() { BYTES_PER_S as usize / 100 } else { 1 << 20 }];
    let mut input: Vec<u8> = Vec::new();
    let (mut begun, mut bytes) = (ms(), 0);
    loop {
        let count = stream.read(&mut part).unwrap_or(0);
        if count == 0 {
            let mut ledger = ledger.lock().unwrap();
            let lost = ledger.open.len() - usize::from(!input.is_empty()).min(ledger.open.len());
            let ids: Vec<u32> = ledger.open.iter().copied().collect();
            if lost > 0 && !ledger.leaves {
                let begun = input.len();
                note(&format!("client {number}: the scheduler has ended the connection with calls {ids:?} open; {begun} bytes of an answer had come"));
            }
            ledger.lost += if ledger.leaves { 0 } else { lost as u32 };
            ledger.ended = true;
            return;
        }
        let searched = input.len();
        input.extend_from_slice(&part[..count]);
        let mut from = searched;
        while let Some(end) = input[from..].iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = input.drain(..=from + end).collect();
            from = 0;
            let text = String::from_utf8_lossy(&line);
            let id = field(&text, "id").and_then(|id| id.parse().ok()).unwrap_or(u32::MAX);
            let code = field(&text[..text.len().min(400)], "code");
            let mut ledger = ledger.lock().unwrap();
            if !ledger.open.remove(&id) {
                note(&format!("client {number}: an answer that nobody waits for: {}", &text[..text.len().min(200)]));
            }
            note(&format!("client {number} has the answer to {id}: {}", code.as_deref().unwrap_or("served")));
            match code.as_deref() {
                None => ledger.served += 1,
                Some("-32001") => ledger.refused += 1,
                Some("-32003") if text.contains("\"refused\"") => ledger.refused += 1,
                Some(_) => ledger.failed += 1,
            }
        }
        if trouble() {
            // Never faster than that since it last had to wait for data.
            bytes += count as u64;
            let due = begun + bytes as f64 * 1e3 / BYTES_PER_S as f64;
            if due > ms() {
                thread::sleep(std::time::Duration::from_secs_f64((due - ms()).max(0.0) / 1e3));
            } else {
                (begun, bytes) = (ms(), 0);
            }
        }
    }
}

fn client(number: u32, socket: &PathBuf, ledger: &Arc<Mutex<Ledger>>) {
    let mut draws = Draws(u64::from(number) + 1);
    let mut next = ms();
    let end = SECONDS * 1e3;
    for connection in 0.. {
        if ms() >= end {
            return;
        }
        let mut stream = UnixStream::connect(socket).expect("the second front's socket");
        {
            let mut ledger = ledger.lock().unwrap();
            (ledger.ended, ledger.open) = (false, BTreeSet::new());
        }
        let (reader, own) = (stream.try_clone().expect("a handle"), ledger.clone());
        let reading = thread::spawn(move || read(number, reader, &own));
        let mut id = 0;
        while ms() < end {
            let (open, ended) = {
                let ledger = ledger.lock().unwrap();
                (ledger.open.len(), ledger.ended)
            };
            if ended {
                break;
            }
            if ms() < next || open >= MOST_OPEN {
                sleep_ms(1);
                continue;
            }
            // Calls come at random moments; what could not be sent is not made up for.
            let unit = (draws.next() >> 11) as f64 / (1u64 << 53) as f64;
            next = next.max(ms() - 50.0) - (1.0 - unit).ln() * 1e3 / CALLS_PER_S;
            let (long, keyed) = (draws.next() % LONG_ONE_IN == 0, draws.next() % 100 < 31);
            id += 1;
            ledger.lock().unwrap().open.insert(id);
            if stream.write_all(call(number, connection, id, long, keyed).as_bytes()).is_err() {
                // The call was not written whole.
                ledger.lock().unwrap().open.remove(&id);
                break;
            }
            note(&format!("client {number} has sent {id}"));
            ledger.lock().unwrap().sent += 1;
        }
        if ledger.lock().unwrap().ended {
            let _ = reading.join();
            continue;
        }
        // The client waits for what is open, and closes.
        let start = ms();
        while ms() < start + ALLOW_MS as f64 + 2_000.0 {
            let ledger = ledger.lock().unwrap();
            if ledger.ended || ledger.open.is_empty() {
                break;
            }
            drop(ledger);
            sleep_ms(5);
        }
        ledger.lock().unwrap().leaves = true;
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// The memory of a process that is its own alone, in kB.
fn own_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap_or_default();
    line.split_whitespace().next().and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

pub fn play() -> bool {
    let long = Arc::new(base64(&vec![b'x'; LONG_BYTES]));
    let rules = || {
        let (long, long_call) = (long.clone(), base64(b"long"));
        Rules {
            load_ms: Box::new(|_| 360),
            work_ms: 40,
            treat: Box::new(|_| Treat::Serve),
            body: Box::new(move |seen| {
                if seen.content == long_call { long.as_ref().clone() } else { seen.content.clone() }
            }),
        }
    };
    let boxes: Vec<Arc<RunBox>> = (1..=12).map(|uid| RunBox::start(uid, rules())).collect();
    let list: Vec<String> = boxes.iter().map(|run_box| listed(run_box, "bldg-a")).collect();
    let classes = [Class("practice-check", SAFE, 1500), Class("credit-submit", KEYED, 1000)];
    let config = config("n0", (1, 0), &classes, &list, None);
    let config = config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{}", MEMORY_MB));
    let socket = file("calls.sock");
    let operator = format!("[jsonrpc]\nsocket = {socket:?}\n");
    let scheduler = Scheduler::start("n0", &config, &operator);
    let ledgers: Vec<Arc<Mutex<Ledger>>> = (0..CLIENTS).map(|_| Arc::default()).collect();
    let start = ms();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (ledger, socket) = (ledgers[number as usize].clone(), socket.clone());
            thread::spawn(move || client(number, &socket, &ledger))
        })
        .collect();
    let (peak, pid) = (Arc::new(AtomicU64::new(0)), scheduler.pid);
    let seen = peak.clone();
    thread::spawn(move || {
        loop {
            seen.fetch_max(own_memory_kb(pid), Ordering::Relaxed);
            sleep_ms(10);
        }
    });
    for thread in threads {
        thread.join().expect("a client");
    }
    scheduler.signal("USR1");
    sleep_ms(300);
    let sum = |of: fn(&Ledger) -> u32| ledgers.iter().map(|ledger| of(&ledger.lock().unwrap())).sum::<u32>();
    let log = scheduler.log();
    let counters = log.lines().rfind(|line| line.contains("counters")).unwrap_or_default();
    let words = counters.split_whitespace().filter(|word| word.starts_with("closed_clogged"));
    note(&format!("the scheduler's own count: {}", words.collect::<Vec<_>>().join(" ")));
    let peak_kb = peak.load(Ordering::Relaxed);
    note(&format!("the scheduler's own memory at its peak: {peak_kb} kB, of {} kB", MEMORY_MB << 10));
    note(&format!(
        "calls: {} sent ({:.0} a second), {} served, {} refused, {} failed; lost with their connection: {}",
        sum(|ledger| ledger.sent),
        f64::from(sum(|ledger| ledger.sent)) * 1e3 / (SECONDS * 1e3 - start),
        sum(|ledger| ledger.served),
        sum(|ledger| ledger.refused),
        sum(|ledger| ledger.failed),
        sum(|ledger| ledger.lost)
    ));
    sum(|ledger| ledger.lost) > 0
}
