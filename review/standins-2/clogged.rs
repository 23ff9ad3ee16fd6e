//! Callers on the second front read slowly, and one answer in sixteen is long.

use crate::common::*;
use std::collections::BTreeMap;
use std::fs;
use std::io::Read;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CALLERS: u64 = 32;
/// Those of them that read slowly.
const SLOW_CALLERS: u64 = 20;
/// Calls that a caller has open at a time: a connection carries 32 at most.
const OPEN: u64 = 32;
/// "One answer in sixteen is long, as much as 230,000 bytes."
const LONG_ONE_IN: u64 = 16;
const LONG_BYTES: usize = 225_000;
/// "Some clients read at most 1 MB a second": a quarter of it.
const READ_RATE: u64 = 250_000;
/// "32 to 192 MB depending on language and day".
const MEMORY_MB: u32 = 32;
/// Calls of each slow caller and of each other one in a second: 560 in all at most; "two of them receive up to 950".
const SLOW_CALLS_PER_S: u64 = 25;
const CALLS_PER_S: u64 = 5;
const ALLOW_MS: u64 = 3_000;
const ROUNDS: u64 = 4;
const ROUND_MS: u64 = 8_000;

/// The calls of one caller that have no answer yet: when each was sent, by its id.
type Open = Arc<Mutex<BTreeMap<u64, u64>>>;

fn number(line: &str) -> Option<u64> {
    let from = line.find("\"id\":")? + 5;
    let digits: String = line[from..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

pub fn play() -> ! {
    let (record, folder) = (Record::new(), Folder::new());
    let (count, long) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let ran: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let body = Arc::new((base64(&vec![0x5a; LONG_BYTES]), base64(b"ok")));
    let agents: Vec<Agent> = (1..=12)
        .map(|uid| {
            let (count, long, ran, body, record) = (count.clone(), long.clone(), ran.clone(), body.clone(), record.clone());
            Agent::start(uid, move |line| match line.verb.as_str() {
                "go" => {
                    let is_long = count.fetch_add(1, Ordering::SeqCst) % LONG_ONE_IN == 7;
                    long.fetch_add(u64::from(is_long), Ordering::SeqCst);
                    ran.lock().unwrap().insert(line.rid.clone(), record.now());
                    let body = body.clone();
                    thread::spawn(move || {
                        sleep(150);
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
    let text = config("n1", listen, MEMORY_MB, 384, bus.address, &known, &site);
    let started = Scheduler::start(&folder, "n1", listen, &text, &format!("--operator {}", operator.display()));
    let mut schedulers: Vec<Scheduler> = match started {
        Ok(scheduler) => vec![scheduler],
        Err(why) => finish(&record, &folder, &mut [], Err(why)),
    };
    if let Err(why) = schedulers[0].wait_ready() {
        finish(&record, &folder, &mut schedulers, Err(why));
    }
    let counts = Counts::default();
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    for round in 0..ROUNDS {
        let mut callers = vec![];
        for caller in 0..CALLERS {
            let Ok(mut rpc) = Rpc::connect(&socket) else { continue };
            let Ok(mut reader) = rpc.stream.get_ref().try_clone() else { continue };
            let _ = reader.set_read_timeout(Some(ms(200)));
            let open: Open = Arc::default();
            let (own, counted, lost, kept) = (open.clone(), counts.clone(), lost.clone(), record.clone());
            let until: Instant = Instant::now() + ms(ROUND_MS - 500);
            let reads = thread::spawn(move || {
                let (mut buffer, mut chunk) = (Vec::<u8>::new(), vec![0; 16_384]);
                while Instant::now() < until {
                    let begun = Instant::now();
                    match reader.read(&mut chunk) {
                        Ok(0) => {
                            let at = kept.add(format!("round {round} caller {caller}: the scheduler has closed the connection"));
                            let open = own.lock().unwrap();
                            // A line that was cut off belongs to one call, whose client can tell.
                            let cut = usize::from(!buffer.is_empty());
                            for (id, sent) in open.iter().take(open.len().saturating_sub(cut)) {
                                lost.lock().unwrap().push(format!(
                                    "LOST round {round} caller {caller} id {id}: taken at {sent}, its connection was closed at {at} without an answer"
                                ));
                            }
                            return;
                        }
                        Ok(n) => {
                            buffer.extend_from_slice(&chunk[..n]);
                            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                                let line: Vec<u8> = buffer.drain(..=end).collect();
                                let head = String::from_utf8_lossy(&line[line.len().saturating_sub(200)..]).into_owned()
                                    + &String::from_utf8_lossy(&line[..line.len().min(200)]);
                                let Some(id) = number(&head) else { continue };
                                if own.lock().unwrap().remove(&id).is_some() {
                                    counted.add(if head.contains("\"result\"") { "served" } else { "unserved" });
                                }
                            }
                            if trouble() && caller < SLOW_CALLERS {
                                let least = Duration::from_secs_f64(n as f64 / READ_RATE as f64);
                                thread::sleep(least.saturating_sub(begun.elapsed()));
                            }
                        }
                        Err(_) => {}
                    }
                }
            });
            let (opened, record, counts) = (open.clone(), record.clone(), counts.clone());
            let sends = thread::spawn(move || {
                sleep(caller * 5);
                let mut id = 0;
                while Instant::now() + ms(2_500) < until {
                    sleep(1_000 / if caller < SLOW_CALLERS { SLOW_CALLS_PER_S } else { CALLS_PER_S });
                    if opened.lock().unwrap().len() as u64 >= OPEN {
                        continue;
                    }
                    let (name, function) = (reference(), 0x44_0000 + (caller + id) % 12);
                    opened.lock().unwrap().insert(id, record.now());
                    counts.add("calls");
                    let sent = rpc.send(&format!(
                        r#"{{"jsonrpc":"2.0","id":{id},"method":"call","params":{{"class":"credit-submit","function":"{function:016x}","allow_ms":{ALLOW_MS},"ref":"{name}","key":"{name}","memory_mb":500,"lanes":4,"load_ms":600,"body":"aGk="}}}}"#
                    ));
                    if !sent {
                        // The connection had ended: nobody has taken this call.
                        opened.lock().unwrap().remove(&id);
                        return rpc;
                    }
                    id += 1;
                }
                rpc
            });
            callers.push((sends, reads));
        }
        for (sends, reads) in callers {
            let _ = reads.join();
            drop(sends.join());
        }
        sleep(500);
    }
    let lost = lost.lock().unwrap().clone();
    for line in &lost {
        record.add(line.clone());
    }
    record.add(format!("the scheduler's own counter: {}", schedulers[0].counter(&folder, "n1", "closed_clogged")));
    record.add(format!(
        "calls {}, served {}, unserved {}, lost {}; attempts that ran {}, with long answers {}",
        counts.of("calls"), counts.of("served"), counts.of("unserved"), lost.len(), count.load(Ordering::SeqCst), long.load(Ordering::SeqCst)
    ));
    let verdict = if counts.of("calls") < ROUNDS * SLOW_CALLERS * OPEN { Err("too few calls".to_owned()) } else { Ok(!lost.is_empty()) };
    finish(&record, &folder, &mut schedulers, verdict)
}
