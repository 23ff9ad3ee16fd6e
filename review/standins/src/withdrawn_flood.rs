//! Bad clients that withdraw their requests at once, each for another function, beside the limit on memory.

use crate::run_box::{Rules, RunBox, Treat, listed};
use crate::settings::{Class, KEYED, SAFE, config};
use crate::util::{Scheduler, ms, note, sleep_ms, trouble};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CHECKERS: [&str; 2] = ["7f3a9c21e0b4d601", "7f3a9c21e0b4d602"];
/// Up to half a second after its time an answer only earns nothing; every limit is 50 ms longer.
const LATEST_MS: f64 = 3_000.0 + 500.0 + 50.0;
const USUAL_CLIENTS: u32 = 3;
/// Together the usual clients make this many calls a second.
const USUAL_CALLS_PER_S: u64 = 120;
/// One connection carries at most 32 open requests.
const MOST_OPEN: usize = 32;
const WITHDRAWN_AT_ONCE: u32 = 32;
const BAD_FROM_MS: f64 = 3_000.0;
const SECONDS: f64 = 25.0;

fn request(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    payload.extend(body);
    frame(0, stream, &payload)
}

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = 5 + payload.len() as u32;
    [&length.to_be_bytes()[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

/// What a usual client has open, by stream, and how many answers of each code it has.
#[derive(Default)]
struct Ledger {
    open: BTreeMap<u32, f64>,
    codes: BTreeMap<u8, u32>,
    /// Answers that came too late to count.
    late: u32,
}

fn usual_client(number: u32, at: SocketAddr, ledger: &Arc<Mutex<Ledger>>, over: &AtomicBool) {
    let mut stream = TcpStream::connect(at).expect("the clients' address");
    let _ = stream.set_nodelay(true);
    let (mut reader, own) = (stream.try_clone().expect("a handle"), ledger.clone());
    thread::spawn(move || {
        let (mut input, mut part) = (Vec::new(), vec![0; 1 << 16]);
        loop {
            let count = reader.read(&mut part).unwrap_or(0);
            if count == 0 {
                return;
            }
            input.extend_from_slice(&part[..count]);
            while input.len() > 9 {
                let size = 4 + u32::from_be_bytes([input[0], input[1], input[2], input[3]]) as usize;
                if input.len() < size {
                    break;
                }
                let answer: Vec<u8> = input.drain(..size).collect();
                let stream = u32::from_be_bytes([answer[5], answer[6], answer[7], answer[8]]);
                let mut ledger = own.lock().unwrap();
                let took = ms() - ledger.open.remove(&stream).unwrap_or(ms());
                ledger.late += u32::from(took > LATEST_MS);
                *ledger.codes.entry(answer[9]).or_default() += 1;
                note(&format!("client {number} has the answer to {stream}: {}, after {took:.0} ms", answer[9]));
            }
        }
    });
    let mut id = 0;
    while !over.load(Ordering::Relaxed) {
        if ledger.lock().unwrap().open.len() >= MOST_OPEN {
            sleep_ms(1);
            continue;
        }
        id += 1;
        let (reference, keyed) = (format!("{number:08x}{id:08x}"), id % 10 < 3);
        let key = format!("5c0f6e1a2b3d4c59{reference}");
        let mut fields = vec![
            ("service", if keyed { "credit-submit" } else { "practice-check" }),
            ("ref", &reference),
            ("allow", "3000"),
            ("lookup", CHECKERS[usize::from(keyed)]),
            ("spec", "memory_mb:370;lanes:4;load_ms:360"),
        ];
        if keyed {
            fields.push(("replay", &key));
        }
        ledger.lock().unwrap().open.insert(id, ms());
        if stream.write_all(&request(id, &fields, b"exercise")).is_err() {
            ledger.lock().unwrap().open.remove(&id);
            return;
        }
        note(&format!("client {number} has sent {id}"));
        sleep_ms(1_000 * u64::from(USUAL_CLIENTS) / USUAL_CALLS_PER_S);
    }
}

/// Sends requests of the usual form and withdraws them at once, at full speed; reads whatever is sent to it.
fn bad_client(number: u32, at: SocketAddr, withdrawn: &AtomicU64) {
    let mut stream = TcpStream::connect(at).expect("the clients' address");
    let mut reader = stream.try_clone().expect("a handle");
    thread::spawn(move || {
        let mut part = vec![0; 1 << 16];
        while reader.read(&mut part).is_ok_and(|count| count > 0) {}
    });
    let mut id = 0u32;
    loop {
        let mut burst = Vec::new();
        for _ in 0..WITHDRAWN_AT_ONCE {
            id += 1;
            let reference = format!("{:08x}{id:08x}", 0xbad0 + number);
            let function = (u64::from(number) << 32 | u64::from(id)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let function = format!("{function:016x}");
            let fields = [
                ("service", "practice-check"),
                ("ref", &reference),
                ("allow", "3000"),
                ("lookup", &function),
                ("spec", "memory_mb:370;lanes:2;load_ms:640"),
            ];
            burst.extend(request(id, &fields, b""));
        }
        for stream in id - WITHDRAWN_AT_ONCE + 1..=id {
            burst.extend(frame(2, stream, b""));
        }
        if stream.write_all(&burst).is_err() {
            return;
        }
        withdrawn.fetch_add(u64::from(WITHDRAWN_AT_ONCE), Ordering::Relaxed);
    }
}

/// The memory of a process that is its own alone, in kB: less than the platform counts.
fn own_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap_or_default();
    line.split_whitespace().next().and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// What came of a play.
pub struct Outcome {
    pub killed: bool,
    pub late: u32,
    pub never: usize,
}

pub fn play(memory_mb: u64, bad_clients: u32) -> Outcome {
    let rules = || Rules {
        load_ms: Box::new(|_| 360),
        work_ms: 200,
        treat: Box::new(|_| Treat::Serve),
        body: Box::new(|seen| seen.content.clone()),
    };
    let boxes: Vec<Arc<RunBox>> = (1..=12).map(|uid| RunBox::start(uid, rules())).collect();
    let list: Vec<String> = boxes.iter().map(|run_box| listed(run_box, "bldg-a")).collect();
    let classes = [Class("practice-check", SAFE, 1500), Class("credit-submit", KEYED, 1000)];
    let config = config("n0", (1, 0), &classes, &list, None);
    let config = config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"));
    let scheduler = Scheduler::start("n0", &config, "");
    let at: SocketAddr = scheduler.logged("listen").parse().expect("the clients' address");
    let (over, withdrawn) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let ledgers: Vec<Arc<Mutex<Ledger>>> = (0..USUAL_CLIENTS).map(|_| Arc::default()).collect();
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (ledger, over) = (ledgers[number as usize].clone(), over.clone());
            thread::spawn(move || usual_client(number, at, &ledger, &over))
        })
        .collect();
    let (mut peak_kb, mut noted, mut bad_started, mut killed) = (0, 0.0, false, false);
    while ms() < SECONDS * 1e3 && !killed {
        if trouble() && !bad_started && ms() > BAD_FROM_MS {
            bad_started = true;
            note(&format!("{bad_clients} bad clients begin, {WITHDRAWN_AT_ONCE} requests withdrawn at once by each"));
            for number in 0..bad_clients {
                let withdrawn = withdrawn.clone();
                thread::spawn(move || bad_client(number, at, &withdrawn));
            }
        }
        let kb = own_memory_kb(scheduler.pid);
        peak_kb = peak_kb.max(kb);
        if ms() > noted + 500.0 || kb > memory_mb << 10 {
            noted = ms();
            let withdrawn = withdrawn.load(Ordering::Relaxed);
            note(&format!("platform: the scheduler's own memory is {kb} kB of {} kB; withdrawn so far: {withdrawn}", memory_mb << 10));
        }
        if kb > memory_mb << 10 {
            // Over `memory_mb` the scheduler is killed.
            killed = true;
            note("platform: over its limit");
            scheduler.signal("KILL");
        }
        sleep_ms(10);
    }
    over.store(true, Ordering::Relaxed);
    for client in usual {
        client.join().expect("a client");
    }
    // What is open is answered within its time, if there is somebody to answer.
    sleep_ms(if killed { 300 } else { LATEST_MS as u64 + 500 });
    let (mut never, mut late, mut codes) = (0, 0, BTreeMap::<u8, u32>::new());
    for ledger in &ledgers {
        let ledger = ledger.lock().unwrap();
        never += ledger.open.len();
        late += ledger.late;
        ledger.codes.iter().for_each(|(code, count)| *codes.entry(*code).or_default() += count);
    }
    note(&format!("the scheduler's own memory at its peak: {peak_kb} kB of {} kB; killed: {killed}", memory_mb << 10));
    note(&format!(
        "usual clients: answers by code {codes:?}, of them {late} more than half a second after their time; never answered: {never}"
    ));
    Outcome { killed, late, never }
}
