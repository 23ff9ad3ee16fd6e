//! Several clients read slowly; each has calls open when long answers are on their way to all of them.

use crate::common::*;
use crate::fleet::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Clients that read slowly, and the calls with long answers of each; at most 32 are open on a connection.
const SLOW_CLIENTS: u64 = 4;
const LONG_CALLS: u32 = 30;
/// "Some clients read at most 1 MB a second".
const READ_RATE: u64 = 1_000_000;
/// "32 to 192 MB depending on language and day".
const MEMORY_MB: u32 = 32;
/// For how long the ordinary callers go on before and after, so that at most one answer in sixteen is long.
const BEFORE_MS: u64 = 8_000;
const AFTER_MS: u64 = 14_000;

/// What a client knows of its calls: whether each was answered, by stream.
#[derive(Default)]
struct Calls {
    open: BTreeMap<u32, String>,
    ended: Option<u64>,
}

pub fn play() -> ! {
    let (record, folder) = (Record::new(), Folder::new());
    let seen: Arc<Mutex<Vec<Go>>> = Arc::default();
    let modules: Vec<u64> = (1..=6).map(|n| 0x11_0000 + n).collect();
    let mut warm = modules.clone();
    warm.push(LONG_MODULE);
    let agents: Vec<Agent> =
        (1..=8).map(|uid| agent(uid, record.clone(), seen.clone(), warm.clone())).collect();
    let bus = Bus::start();
    let site = spojnica(1, 0);
    let known: Vec<String> = agents.iter().map(|agent| agent.known(site.zone, site.kind, 0, 3)).collect();
    let listen = free_address();
    let text = config("n1", listen, MEMORY_MB, 384, bus.address, &known, &site);
    let mut schedulers = match Scheduler::start(&folder, "n1", listen, &text, "") {
        Ok(scheduler) => vec![scheduler],
        Err(why) => finish(&record, &folder, &mut [], Err(why)),
    };
    if let Err(why) = schedulers[0].wait_ready() {
        finish(&record, &folder, &mut schedulers, Err(why));
    }
    let (counts, stop) = (Counts::default(), Arc::new(AtomicBool::new(false)));
    let callers = short_callers(16, listen, &modules, counts.clone(), stop.clone());
    sleep(BEFORE_MS);
    let mut clients = vec![];
    for number in 0..SLOW_CLIENTS {
        let Ok(client) = Frames::connect(listen) else { continue };
        set_receive_buffer(&client.stream, 64 << 10);
        let calls = Arc::new(Mutex::new(Calls::default()));
        let (own, kept, other) = (calls.clone(), record.clone(), calls.clone());
        let late = record.clone();
        let counts = counts.clone();
        if let Ok(reader) = client.stream.try_clone() {
            read_paced(
                reader,
                trouble().then_some(READ_RATE),
                move |kind, stream, payload| {
                    if kind == 1 && own.lock().unwrap().open.remove(&stream).is_some() {
                        counts.add(if payload.first() == Some(&79) { "slow served" } else { "slow unserved" });
                        kept.add(format!("client {number} has read the answer on stream {stream}, {} bytes", payload.len()));
                    }
                },
                move || {
                    let at = late.add(format!("client {number}: its connection has ended"));
                    other.lock().unwrap().ended = Some(at);
                },
            );
        }
        clients.push((client, calls));
    }
    let mut long = 0;
    for (number, (client, calls)) in clients.iter_mut().enumerate() {
        // The last two are of a module that has to be loaded first: they are open while the long answers arrive.
        let mut bytes = vec![];
        for stream in 1..=LONG_CALLS + 2 {
            let module = if stream <= LONG_CALLS { LONG_MODULE } else { 0x22_0000 + u64::from(stream) };
            let name = reference();
            bytes.extend(frame(0, stream, &query(&name, module, 3_000)));
            calls.lock().unwrap().open.insert(stream, name);
            long += u64::from(stream <= LONG_CALLS);
        }
        let _ = client.stream.write_all(&bytes);
        record.add(format!("client {number} sends {LONG_CALLS} calls with long answers and 2 others"));
    }
    sleep(AFTER_MS);
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let mut lost = 0;
    for (number, (_, calls)) in clients.iter().enumerate() {
        let calls = calls.lock().unwrap();
        if let Some(at) = calls.ended {
            // The first one without an answer may have been cut off in the middle, which the client can tell.
            for (stream, name) in calls.open.iter().skip(1) {
                lost += 1;
                record.add(format!("LOST client {number} stream {stream} {name}: taken, and its connection ended at {at} without an answer"));
            }
        }
    }
    let all = counts.of("short") + long + 2 * SLOW_CLIENTS;
    record.add(format!(
        "calls {all}, of them with long answers {long} (one in {:.1}); slow clients: served {}, unserved {}, lost {lost}; short served {}, unserved {}, lost {}",
        all as f64 / long as f64,
        counts.of("slow served"), counts.of("slow unserved"), counts.of("short served"), counts.of("short unserved"), counts.of("short lost"),
    ));
    let verdict = if clients.len() < SLOW_CLIENTS as usize || all < long * 16 {
        Err(format!("{} slow clients, long answers {long} of {all}", clients.len()))
    } else {
        Ok(lost > 0)
    };
    finish(&record, &folder, &mut schedulers, verdict)
}
