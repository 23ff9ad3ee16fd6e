//! One client that sends small or unsound messages at full speed: other clients are answered, and memory is bounded.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use rig::*;
use serde_json::json;
use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The smallest memory limit of a scheduler, in MB.
const MEMORY_MB: u64 = 32;
/// How long each flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Name of the flood whose requests are sound.
const SOUND_REQUESTS: &str = "new keys";
/// How long usual clients wait for an answer, in milliseconds.
const USUAL_ALLOW_MS: u64 = 2_000;

/// Kilobytes of a process's memory that it shares with no file.
fn own_memory_kb(daemon: &Daemon) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn start() -> Daemon {
    let worker = Worker::over_tcp();
    let limits = json!({"sockets": 256, "memory_mb": MEMORY_MB});
    let daemon = Daemon::start_with_limits(&[&worker], settings(), limits, None, |folder| {
        format!("[jsonrpc]\nsocket = {:?}\n", folder.at("calls.sock"))
    });
    worker.serve(echo);
    daemon
}

/// Sends parts of a flood at full speed on one connection until the time is over or the connection ends, and reads all
/// answers if `reads`. Meanwhile a usual client of each front makes calls one after another, and all are served. Beside a
/// flood of sound requests, which may take the worker's capacity, they may be refused as well.
fn flood(
    name: &str,
    wire: fn(&Daemon) -> Box<dyn Wire>,
    reads: bool,
    part: impl Fn(u64) -> Vec<u8> + Send + 'static,
) {
    let sound = name == SOUND_REQUESTS;
    let daemon = start();
    let mut usual = FrameClient::connect(daemon.listen);
    let mut usual_lines = RpcClient::connect(&daemon.folder.at("calls.sock"));
    let mut write = wire(&daemon);
    let mut read = write.clone_handle();
    let sent = Arc::new(AtomicU64::new(0));
    let (counted, stop) = (sent.clone(), Arc::new(AtomicBool::new(false)));
    let stopped = stop.clone();
    let writer = std::thread::spawn(move || {
        for number in 0.. {
            let bytes = part(number);
            if stopped.load(Ordering::Relaxed) || write.write_all(&bytes).is_err() {
                break;
            }
            counted.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
    });
    let reader = reads.then(|| {
        std::thread::spawn(move || {
            let mut chunk = vec![0; 1 << 16];
            while read.read(&mut chunk).is_ok_and(|count| count > 0) {}
        })
    });
    let start = Instant::now();
    let (mut calls, mut peak_kb, mut slowest) = (0u32, 0, Duration::ZERO);
    while start.elapsed() < FLOOD_TIME {
        calls += 1;
        let called = Instant::now();
        let reference = format!("{:016x}", 0xe000_0000_0000_0000 + u64::from(calls));
        usual.send(&frame(0, calls, &call("practice-check", &reference, USUAL_ALLOW_MS, b"x")));
        let (_, stream, payload) = usual.next().unwrap();
        assert_eq!(stream, calls, "{name}");
        assert!(payload == [79, 0, b'x'] || payload[0] == 66 && sound, "{name}: {payload:?}");
        let reference = format!("{:016x}", 0xf000_0000_0000_0000 + u64::from(calls));
        let line = rpc_call(&json!(calls), "practice-check", &reference, USUAL_ALLOW_MS, "eA==");
        usual_lines.send(&line.to_string());
        let reply = usual_lines.next();
        let served = reply["result"]["body"] == "eA==";
        assert!(served || reply["error"]["code"] == -32001 && sound, "{name}: {reply}");
        slowest = slowest.max(called.elapsed());
        peak_kb = peak_kb.max(own_memory_kb(&daemon));
    }
    let megabytes = sent.load(Ordering::Relaxed) >> 20;
    println!(
        "{name}: {calls} calls on each front, slowest two {slowest:?}, {megabytes} MB sent, {peak_kb} kB"
    );
    stop.store(true, Ordering::Relaxed);
    drop(daemon);
    writer.join().unwrap();
    if let Some(reader) = reader {
        reader.join().unwrap();
    }
    assert!(peak_kb < MEMORY_MB << 10, "{name}: {peak_kb} kB");
}

fn frames(daemon: &Daemon) -> Box<dyn Wire> {
    Box::new(FrameClient::connect(daemon.listen).0)
}

fn lines(daemon: &Daemon) -> Box<dyn Wire> {
    Box::new(RpcClient::connect(&daemon.folder.at("calls.sock")).0.into_inner())
}

/// Messages of one part.
const PART: u64 = 200;

fn part_of(message: impl Fn(u64) -> Vec<u8>) -> impl Fn(u64) -> Vec<u8> {
    move |part| (part * PART + 1..=part * PART + PART).flat_map(&message).collect()
}

#[test]
fn frames_without_usable_fields() {
    for reads in [true, false] {
        flood("no fields", frames, reads, part_of(|n| frame(0, n as u32, &[0])));
    }
}

#[test]
fn frames_with_very_many_fields() {
    let names: Vec<String> = (0..255).map(|n| format!("{n:02x}")).collect();
    let fields: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "")).collect();
    let payload = request(&fields, b"");
    flood("very many fields", frames, true, part_of(move |n| frame(0, n as u32, &payload)));
}

#[test]
fn frames_under_ever_new_names() {
    flood(
        "new names",
        frames,
        true,
        part_of(|n| {
            let name = format!("{n:016x}");
            let fields = [("service", name.as_str()), ("ref", &name), ("allow", "900000"), ("lookup", &name)];
            frame(0, n as u32, &request(&fields, b""))
        }),
    );
}

#[test]
fn requests_under_ever_new_keys_and_functions() {
    flood(
        SOUND_REQUESTS,
        frames,
        true,
        part_of(|n| {
            let name = format!("{n:016x}");
            let fields = [
                ("service", "credit-submit"),
                ("ref", name.as_str()),
                ("allow", "900000"),
                ("lookup", &name),
                ("replay", &name),
            ];
            frame(0, n as u32, &request(&fields, b""))
        }),
    );
}

#[test]
fn cancellations_and_readiness_questions() {
    flood("cancellations", frames, true, part_of(|n| frame(2, n as u32, &[])));
    flood("readiness", frames, true, part_of(|n| frame(6, n as u32, &[0])));
}

#[test]
fn blank_and_unsound_lines() {
    flood("blank lines", lines, true, part_of(|_| b"\n".to_vec()));
    flood("no JSON", lines, true, part_of(|_| b"x\n".to_vec()));
    flood("no JSON, answers unread", lines, false, part_of(|_| b"x\n".to_vec()));
}

#[test]
fn unknown_methods_and_batches() {
    let call =
        |n: u64| json!({"jsonrpc": "2.0", "id": format!("{n:x}"), "method": format!("m{n}")}).to_string();
    flood("unknown methods", lines, true, part_of(move |n| format!("{}\n", call(n)).into_bytes()));
    flood("batches", lines, true, part_of(|_| format!("[{}1]\n", "1,".repeat(63)).into_bytes()));
    flood("too many values", lines, true, |_| format!("[{}1]\n", "1,".repeat(30_000)).into_bytes());
}

#[test]
fn json_rpc_requests_under_ever_new_names() {
    flood(
        "new names on lines",
        lines,
        true,
        part_of(|n| {
            let name = format!("{n:016x}");
            let params = json!({"class": name, "function": name, "key": name, "allow_ms": 900_000});
            let line = json!({"jsonrpc": "2.0", "id": name, "method": "call", "params": params});
            format!("{line}\n").into_bytes()
        }),
    );
}
