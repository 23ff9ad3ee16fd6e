//! A client that reads slowly cancels a call; the scheduler does not read the cancellation and sends the call again.

use crate::run_box::{Rules, RunBox, Treat, listed};
use crate::settings::{Class, KEYED, SAFE, config};
use crate::util::{Scheduler, base64, file, ms, note, sleep_ms, trouble};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

const CHECKER: &str = "7f3a9c21e0b4d601";
const LONG_BYTES: usize = 230_000;
const SHORT_CALLS: u32 = 45;
const LONG_CALLS: u32 = 3;
const ROUNDS: u32 = 5;
/// When the call is cancelled, and when its first run box resets the connection, after it was sent.
const CANCEL_AFTER_MS: u64 = 150;
const RESET_AFTER_MS: u64 = 400;
/// An attempt may begin this long after its client has gone: 0.1 s, and the 50 ms of every limit on sockets.
const GRACE_MS: f64 = 150.0;

fn call(id: u32, class: &str, body: &str) -> String {
    let key = match class {
        "credit-submit" => format!(r#""key":"5c0f6e1a2b3d4c59a8b7c6d5{id:08x}","#),
        _ => String::new(),
    };
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"call","params":{{"class":"{class}","function":"{CHECKER}","allow_ms":3000,{key}"memory_mb":370,"lanes":4,"load_ms":640,"body":"{}"}}}}"#,
        base64(body.as_bytes())
    )
}

pub fn play() -> bool {
    let long = Arc::new(base64(&vec![b'x'; LONG_BYTES]));
    let cancelled = base64(b"withdrawn");
    let resets = Arc::new(AtomicU32::new(0));
    let rules = || {
        let (long, cancelled, resets) = (long.clone(), cancelled.clone(), resets.clone());
        let long_call = base64(b"long");
        Rules {
            load_ms: Box::new(|_| 50),
            work_ms: 30,
            treat: Box::new(move |seen| {
                // The first attempt of each round loses its connection before it has run.
                if seen.content == cancelled && resets.fetch_sub(1, Ordering::Relaxed) == 1 {
                    return Treat::Reset { after_ms: RESET_AFTER_MS, ran: false };
                }
                Treat::Serve
            }),
            body: Box::new(move |seen| {
                if seen.content == long_call { long.as_ref().clone() } else { seen.content.clone() }
            }),
        }
    };
    let boxes: Vec<Arc<RunBox>> = (1..=4).map(|uid| RunBox::start(uid, rules())).collect();
    let list: Vec<String> = boxes.iter().map(|run_box| listed(run_box, "bldg-a")).collect();
    let classes = [Class("practice-check", SAFE, 1500), Class("credit-submit", KEYED, 1000)];
    let socket = file("calls.sock");
    let operator = format!("[jsonrpc]\nsocket = {socket:?}\n");
    let _scheduler = Scheduler::start("n0", &config("n0", (1, 0), &classes, &list, None), &operator);
    let mut broken = 0;
    for round in 0..ROUNDS {
        let mut stream = UnixStream::connect(&socket).expect("the second front's socket");
        let lines = Arc::new(AtomicUsize::new(0));
        // It reads 1 MB a second, or all that there is.
        let (mut reader, answered) = (stream.try_clone().expect("a handle"), lines.clone());
        thread::spawn(move || {
            let mut part = vec![0; if trouble() { 10_000 } else { 1 << 20 }];
            loop {
                let Ok(count) = reader.read(&mut part) else { return };
                if count == 0 {
                    return;
                }
                answered.fetch_add(part[..count].iter().filter(|b| **b == b'\n').count(), Ordering::Relaxed);
                if trouble() {
                    sleep_ms(10 * count as u64 / 10_000);
                }
            }
        });
        let mut send = |line: &str| stream.write_all(format!("{line}\n").as_bytes()).expect("the client can write");
        for id in 0..SHORT_CALLS {
            send(&call(round * 100 + id, "practice-check", "short"));
            while lines.load(Ordering::Relaxed) <= id as usize {
                sleep_ms(1);
            }
        }
        note(&format!("round {round}: {SHORT_CALLS} calls were answered; now {LONG_CALLS} with answers of {LONG_BYTES} bytes, and one more"));
        for id in 0..LONG_CALLS {
            send(&call(round * 100 + 50 + id, "practice-check", "long"));
        }
        resets.store(1, Ordering::Relaxed);
        let id = round * 100 + 60;
        send(&call(id, "credit-submit", "withdrawn"));
        sleep_ms(CANCEL_AFTER_MS);
        send(&format!(r#"{{"jsonrpc":"2.0","method":"cancel","params":{{"id":{id}}}}}"#));
        let gone = ms();
        note(&format!("round {round}: the client cancels call {id}"));
        sleep_ms(2_000);
        for run_box in &boxes {
            let seen = run_box.seen.lock().unwrap();
            for attempt in seen.iter().filter(|s| s.what == "go" && s.content == cancelled && s.at > gone + GRACE_MS) {
                broken += 1;
                note(&format!(
                    "round {round}: {} got an attempt of it, {}, {:.0} ms after the cancellation",
                    run_box.name(),
                    attempt.rid,
                    attempt.at - gone
                ));
            }
        }
        for run_box in &boxes {
            run_box.seen.lock().unwrap().clear();
        }
    }
    note(&format!("attempts that began more than {GRACE_MS} ms after their client had gone: {broken}"));
    broken > 0
}
