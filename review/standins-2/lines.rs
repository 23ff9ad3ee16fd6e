//! Callers on the second front read slowly, and each writes its last call in two pieces. One answer in sixteen is long.

use crate::common::*;
use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CALLERS: u64 = 120;
/// A caller begins so long after the one before.
const APART_MS: u64 = 450;
/// Calls that a caller has open beside the one in pieces; a connection carries 32 at most.
const OPEN: u64 = 31;
/// "One answer in sixteen is long, as much as 230,000 bytes."
const LONG_ONE_IN: u64 = 16;
const LONG_BYTES: usize = 225_000;
/// "Some clients read at most 1 MB a second": a quarter of it.
const READ_RATE: u64 = 250_000;
/// "some written in 2 s": from the first piece to the last.
const PIECES_MS: u64 = 1_800;
/// For how long a caller waits for its answers after that.
const WAIT_MS: u64 = 20_000;

/// What a caller knows: its calls without an answer, whether it has read the error about a line without an end, and
/// when its connection ended.
#[derive(Default)]
struct Calls {
    open: BTreeMap<u64, String>,
    error: bool,
    ended: Option<u64>,
    cut: bool,
}

fn number(line: &str) -> Option<u64> {
    let from = line.find("\"id\":")? + 5;
    let digits: String = line[from..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn call(id: u64, name: &str, function: u64) -> String {
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"call\",\"params\":{{\"class\":\"practice-check\",\"function\":\"{function:016x}\",\"allow_ms\":3000,\"ref\":\"{name}\",\"memory_mb\":500,\"lanes\":2,\"load_ms\":600,\"body\":\"aGk=\"}}}}\n"
    )
}

/// One caller; gives the number of its calls and those that were lost.
fn caller(number_: u64, socket: &std::path::Path, record: &Record, counts: &Counts) -> Vec<String> {
    let Ok(rpc) = Rpc::connect(socket) else { return vec![] };
    let Ok(mut reader) = rpc.stream.get_ref().try_clone() else { return vec![] };
    let mut writer = rpc.stream.into_inner();
    let _ = reader.set_read_timeout(Some(ms(200)));
    let calls = Arc::new(Mutex::new(Calls::default()));
    let until = Instant::now() + ms(PIECES_MS + WAIT_MS);
    let all_sent = Instant::now() + ms(PIECES_MS + 1_000);
    let (own, counted, kept) = (calls.clone(), counts.clone(), record.clone());
    let reads = thread::spawn(move || {
        let (mut buffer, mut chunk) = (Vec::<u8>::new(), vec![0; 16_384]);
        while Instant::now() < until {
            let begun = Instant::now();
            match reader.read(&mut chunk) {
                Ok(0) => {
                    let at = kept.add(format!("caller {number_}: the scheduler has ended the connection"));
                    let mut own = own.lock().unwrap();
                    (own.ended, own.cut) = (Some(at), !buffer.is_empty());
                    return;
                }
                Ok(n) => {
                    buffer.extend_from_slice(&chunk[..n]);
                    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                        let line: Vec<u8> = buffer.drain(..=end).collect();
                        let ends = String::from_utf8_lossy(&line[line.len().saturating_sub(200)..]).into_owned()
                            + &String::from_utf8_lossy(&line[..line.len().min(200)]);
                        let mut own = own.lock().unwrap();
                        if ends.contains("-32700") {
                            kept.add(format!("caller {number_}: has read the error -32700 (the line has no end)"));
                            own.error = true;
                        }
                        if let Some(id) = number(&ends).filter(|id| own.open.contains_key(id)) {
                            own.open.remove(&id);
                            counted.add(if ends.contains("\"result\"") { "served" } else { "unserved" });
                        }
                    }
                    if trouble() {
                        let least = Duration::from_secs_f64(n as f64 / READ_RATE as f64);
                        thread::sleep(least.saturating_sub(begun.elapsed()));
                    }
                }
                Err(_) if Instant::now() > all_sent && own.lock().unwrap().open.is_empty() => return,
                Err(_) => {}
            }
        }
    });
    let mut bytes = vec![];
    for id in 0..OPEN {
        let name = reference();
        bytes.extend(call(id, &name, 0x55_0000 + (number_ + id) % 12).into_bytes());
        calls.lock().unwrap().open.insert(id, name);
    }
    let last = reference();
    let whole = call(OPEN, &last, 0x55_0000).into_bytes();
    bytes.extend(&whole[..whole.len() / 2]);
    let _ = writer.write_all(&bytes);
    sleep(PIECES_MS);
    calls.lock().unwrap().open.insert(OPEN, last);
    if writer.write_all(&whole[whole.len() / 2..]).is_err() {
        // The connection had ended before: nobody has taken this one.
        calls.lock().unwrap().open.remove(&OPEN);
    } else {
        counts.add("in pieces");
    }
    (0..=OPEN).for_each(|_| {
        counts.add("calls");
    });
    let _ = reads.join();
    let calls = calls.lock().unwrap();
    let Some(at) = calls.ended else { return vec![] };
    // A line that was cut off belongs to one call, whose client can tell.
    calls
        .open
        .iter()
        .skip(usize::from(calls.cut))
        .map(|(id, name)| format!("LOST caller {number_} id {id} {name}: taken, and the connection ended at {at} without its answer"))
        .collect()
}

pub fn play() -> ! {
    let (record, folder) = (Record::new(), Folder::new());
    let (count, long) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let draw = Arc::new(Mutex::new(Draw(2_026)));
    let body = Arc::new((base64(&vec![0x5a; LONG_BYTES]), base64(b"ok")));
    let agents: Vec<Agent> = (1..=8)
        .map(|uid| {
            let (count, long, draw, body) = (count.clone(), long.clone(), draw.clone(), body.clone());
            Agent::start(uid, move |line| match line.verb.as_str() {
                "go" => {
                    let is_long = draw.lock().unwrap().below(LONG_ONE_IN) == 0;
                    count.fetch_add(1, Ordering::SeqCst);
                    long.fetch_add(u64::from(is_long), Ordering::SeqCst);
                    let body = body.clone();
                    thread::spawn(move || {
                        sleep(200);
                        line.answer("200", "", if is_long { &body.0 } else { &body.1 });
                    });
                }
                "stage" => line.answer("200", "\"replicas\":1", ""),
                "stat" | "ping" => line.answer("alive", "\"rep\":\"cpu_share:0.3;x0:0.1;x1:0\"", ""),
                _ => {}
            })
        })
        .collect();
    let bus = Bus::start();
    let site = tyww(1, 0);
    let known: Vec<String> = agents.iter().map(|agent| agent.known(site.zone, site.kind, 0, 4)).collect();
    let listen = free_address();
    let (socket, operator) = (folder.at("calls.sock"), folder.at("jsonrpc.toml"));
    let _ = fs::write(&operator, format!("[jsonrpc]\nsocket = {socket:?}\nmode = \"660\"\nmax_clients = 64\nmax_line = 65536\n"));
    let text = config("n1", listen, 96, 512, bus.address, &known, &site);
    let started = Scheduler::start(&folder, "n1", listen, &text, &format!("--operator {}", operator.display()));
    let mut schedulers: Vec<Scheduler> = match started {
        Ok(scheduler) => vec![scheduler],
        Err(why) => finish(&record, &folder, &mut [], Err(why)),
    };
    if let Err(why) = schedulers[0].wait_ready() {
        finish(&record, &folder, &mut schedulers, Err(why));
    }
    let counts = Counts::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (socket, record, counts) = (socket.clone(), record.clone(), counts.clone());
            thread::spawn(move || {
                sleep(number * APART_MS);
                caller(number, &socket, &record, &counts)
            })
        })
        .collect();
    let lost: Vec<String> = callers.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect();
    for line in &lost {
        record.add(line.clone());
    }
    record.add(format!(
        "calls {}, in pieces {}, served {}, unserved {}, lost {}; attempts that ran {}, with long answers {}",
        counts.of("calls"), counts.of("in pieces"), counts.of("served"), counts.of("unserved"), lost.len(),
        count.load(Ordering::SeqCst), long.load(Ordering::SeqCst)
    ));
    let verdict = if counts.of("calls") < CALLERS * OPEN { Err("a caller could not connect".to_owned()) } else { Ok(!lost.is_empty()) };
    finish(&record, &folder, &mut schedulers, verdict)
}
