//! Node agents of spojnica-main that load modules, and course front ends with short answers: the ordinary traffic beside
//! a client that reads slowly.

use crate::common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The module whose answers are long.
pub const LONG_MODULE: u64 = 0x7f3a_9c21_e0b4_d000;
/// Bytes of a long answer; the pages have "as much as 230,000 bytes".
pub const LONG_BYTES: usize = 225_000;
/// How long a load takes; the pages have 0.41 to 1.1 s.
pub const LOAD_MS: u64 = 800;
/// How long a call runs; the pages have 100 to 180 ms on average.
pub const WORK_MS: u64 = 120;

/// A `go` line that a node agent has read: when, the id, the module.
#[derive(Clone)]
pub struct Go {
    pub at: u64,
    pub agent: u32,
    pub rid: String,
    pub module: u64,
    /// Whether it was answered as a miss, so that it never ran.
    pub miss: bool,
}

/// A node agent that answers `miss` for a module that it lacks, and loads it when ordered. Calls run side by side.
pub fn agent(uid: u32, record: Record, seen: Arc<Mutex<Vec<Go>>>, warm: Vec<u64>) -> Agent {
    // When each module stands.
    let loaded: Arc<Mutex<HashMap<u64, Instant>>> =
        Arc::new(Mutex::new(warm.into_iter().map(|module| (module, Instant::now())).collect()));
    let body = Arc::new((base64(&vec![0x5a; LONG_BYTES]), base64(b"ok")));
    Agent::start(uid, move |line| match line.verb.as_str() {
        "go" => {
            let module = text_field(&line.text, "name").and_then(|name| u64::from_str_radix(&name, 16).ok()).unwrap_or(0);
            let stands = loaded.lock().unwrap().get(&module).copied();
            let at = record.now();
            seen.lock().unwrap().push(Go { at, agent: uid, rid: line.rid.clone(), module, miss: stands.is_none() });
            let Some(stands) = stands else {
                record.add(format!("agent {uid} answers miss for {}", line.rid));
                return line.answer("404", "", "");
            };
            record.add(format!("agent {uid} takes {}", line.rid));
            let body = body.clone();
            thread::spawn(move || {
                thread::sleep(stands.saturating_duration_since(Instant::now()) + Duration::from_millis(WORK_MS));
                line.answer("200", "\"why\":\"hot\"", if module == LONG_MODULE { &body.0 } else { &body.1 });
            });
        }
        "stage" => {
            let module = text_field(&line.text, "name").and_then(|name| u64::from_str_radix(&name, 16).ok()).unwrap_or(0);
            if line.text.contains("\"replicas\":0") {
                let count = u8::from(loaded.lock().unwrap().contains_key(&module));
                return line.answer("200", &format!("\"replicas\":{count}"), "");
            }
            let stands = *loaded.lock().unwrap().entry(module).or_insert_with(|| Instant::now() + ms(LOAD_MS));
            record.add(format!("agent {uid} is ordered to load {module:016x}"));
            thread::spawn(move || {
                thread::sleep(stands.saturating_duration_since(Instant::now()));
                line.answer("200", "\"replicas\":1", "");
            });
        }
        "halt" => {
            record.add(format!("agent {uid} reads halt for {}", line.rid));
        }
        "stat" | "ping" => line.answer("alive", "\"rep\":\"cpu_share:0.3;busy_reqs:2;x1:0\"", ""),
        _ => {}
    })
}

/// The payload of a call of route-query.
pub fn query(reference: &str, module: u64, allow: u64) -> Vec<u8> {
    let (module, allow) = (format!("{module:016x}"), allow.to_string());
    request(
        &[
            ("service", "route-query"),
            ("ref", reference),
            ("allow", &allow),
            ("lookup", &module),
            ("effort", "120"),
            ("spec", "memory_mb:300;lanes:2"),
        ],
        b"query",
    )
}

/// Course front ends with short answers: each has one call open at a time. Counts "short", and "short lost" for calls on
/// a connection that ended without their answer.
pub fn short_callers(clients: u64, at: std::net::SocketAddr, modules: &[u64], counts: Counts, stop: Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
    (0..clients)
        .map(|client| {
            let (modules, counts, stop) = (modules.to_vec(), counts.clone(), stop.clone());
            thread::spawn(move || {
                let mut draw = Draw(client + 77);
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut frames) = Frames::connect(at) else { return };
                    let _ = frames.stream.set_read_timeout(Some(ms(5_000)));
                    for stream in 1..10_000 {
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        let module = modules[draw.below(modules.len() as u64) as usize];
                        counts.add("short");
                        let sent = frames.send(0, stream, &query(&reference(), module, 2_500));
                        match frames.next().filter(|_| sent) {
                            Some((1, _, payload)) if payload.first() == Some(&79) => counts.add("short served"),
                            Some((1, _, _)) => counts.add("short unserved"),
                            _ => {
                                counts.add("short lost");
                                break;
                            }
                        };
                    }
                }
            })
        })
        .collect()
}

/// Reads a connection at no more than `bytes_per_s`, or as fast as it can if that is `None`, and gives each whole frame
/// to `handle` until the connection ends.
pub fn read_paced(
    mut stream: std::net::TcpStream,
    bytes_per_s: Option<u64>,
    mut handle: impl FnMut(u8, u32, &[u8]) + Send + 'static,
    ended: impl FnOnce() + Send + 'static,
) {
    thread::spawn(move || {
        use std::io::Read;
        let _ = stream.set_read_timeout(None);
        let mut buffer: Vec<u8> = Vec::new();
        let mut chunk = vec![0; 20_000];
        loop {
            let begun = Instant::now();
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 => {
                    buffer.extend_from_slice(&chunk[..n]);
                    if let Some(rate) = bytes_per_s {
                        let least = Duration::from_secs_f64(n as f64 / rate as f64);
                        thread::sleep(least.saturating_sub(begun.elapsed()));
                    }
                }
                _ => break,
            }
            loop {
                let Some(head) = buffer.first_chunk::<4>() else { break };
                let length = u32::from_be_bytes(*head) as usize;
                if buffer.len() < 4 + length {
                    break;
                }
                let kind = buffer[4];
                let number = u32::from_be_bytes(buffer[5..9].try_into().unwrap());
                handle(kind, number, &buffer[9..4 + length]);
                buffer.drain(..4 + length);
            }
        }
        ended();
    });
}
