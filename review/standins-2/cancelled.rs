//! A client that reads slowly gives up a call while its long answers are on their way.

use crate::common::*;
use crate::fleet::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

const ROUNDS: u64 = 5;
const ROUND_MS: u64 = 8_000;
/// Calls of a round whose answers are long.
const LONG_CALLS: u32 = 30;
/// "Some clients read at most 1 MB a second".
const READ_RATE: u64 = 1_000_000;
/// When the client gives the call up, after it sent it.
const GIVE_UP_MS: u64 = 500;
/// An attempt that begins later than this after the client has gone is a break; 50 ms for sockets are added.
const GONE_MS: u64 = 100 + 50;

pub fn play() -> ! {
    let (record, folder) = (Record::new(), Folder::new());
    let seen: Arc<Mutex<Vec<Go>>> = Arc::default();
    let modules: Vec<u64> = (1..=6).map(|n| 0x11_0000 + n).collect();
    let mut warm = modules.clone();
    warm.push(LONG_MODULE);
    let agents: Vec<Agent> =
        (1..=6).map(|uid| agent(uid, record.clone(), seen.clone(), warm.clone())).collect();
    let bus = Bus::start();
    let site = spojnica(1, 0);
    let known: Vec<String> = agents.iter().map(|agent| agent.known(site.zone, site.kind, 0, 3)).collect();
    let listen = free_address();
    let text = config("n1", listen, 96, 512, bus.address, &known, &site);
    let mut schedulers = match Scheduler::start(&folder, "n1", listen, &text, &std::env::var("EXTRA").unwrap_or_default()) {
        Ok(scheduler) => vec![scheduler],
        Err(why) => finish(&record, &folder, &mut [], Err(why)),
    };
    if let Err(why) = schedulers[0].wait_ready() {
        finish(&record, &folder, &mut schedulers, Err(why));
    }
    let (counts, stop) = (Counts::default(), Arc::new(AtomicBool::new(false)));
    let callers = short_callers(10, listen, &modules, counts.clone(), stop.clone());
    sleep(2_000);
    let mut long = 0;
    let mut given_up: Vec<(String, u64)> = vec![];
    for round in 0..ROUNDS {
        let Ok(mut client) = Frames::connect(listen) else { break };
        set_receive_buffer(&client.stream, 64 << 10);
        let Ok(reader) = client.stream.try_clone() else { break };
        let (kept, own) = (record.clone(), counts.clone());
        let rate = trouble().then_some(READ_RATE);
        read_paced(
            reader,
            rate,
            move |kind, stream, payload| {
                if kind == 1 {
                    own.add(if payload.first() == Some(&79) { "long served" } else { "long unserved" });
                    kept.add(format!("round {round}: the client has read the answer on stream {stream}, {} bytes", payload.len()));
                }
            },
            || {},
        );
        // One input: the calls with long answers, and one of a module that was not called before.
        let mut bytes = vec![];
        for stream in 1..=LONG_CALLS {
            bytes.extend(frame(0, stream, &query(&reference(), LONG_MODULE, 3_000)));
            long += 1;
        }
        let (name, unseen) = (reference(), 0x22_0000 + round);
        let stream = LONG_CALLS + 1;
        bytes.extend(frame(0, stream, &query(&name, unseen, 3_000)));
        use std::io::Write;
        let _ = client.stream.write_all(&bytes);
        record.add(format!("round {round}: the client sends {} calls with long answers, and {name} of a new module", LONG_CALLS));
        sleep(GIVE_UP_MS);
        client.send(2, stream, &[]);
        let at = record.add(format!("round {round}: the client gives up {name} (type 2)"));
        given_up.push((name, at));
        // Until all long answers are read, at 1 MB a second.
        let end = Instant::now() + ms(ROUND_MS - GIVE_UP_MS);
        sleep(end.saturating_duration_since(Instant::now()).as_millis() as u64);
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let seen = seen.lock().unwrap().clone();
    let mut broken = 0;
    for (name, at) in &given_up {
        for go in seen.iter().filter(|go| go.rid == *name && go.at > at + GONE_MS) {
            broken += 1;
            record.add(format!("BREAK {name} was given up at {at} and sent to agent {} at {}, {} ms later", go.agent, go.at, go.at - at));
        }
    }
    let all = counts.of("short") + long + ROUNDS;
    record.add(format!(
        "calls {all}, of them with long answers {long} (one in {:.1}); long served {}, unserved {}; short served {}, unserved {}, lost {}; attempts after the client had gone {broken}",
        all as f64 / long as f64,
        counts.of("long served"), counts.of("long unserved"), counts.of("short served"), counts.of("short unserved"), counts.of("short lost"),
    ));
    let verdict = if given_up.len() < ROUNDS as usize || all < long * 16 {
        Err(format!("{} rounds, long answers {long} of {all}", given_up.len()))
    } else {
        Ok(broken > 0)
    };
    finish(&record, &folder, &mut schedulers, verdict)
}
