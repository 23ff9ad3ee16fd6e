//! Calls of a keyed class that carry no key, over JSON-RPC, while connections to node agents are reset under requests.

use crate::common::*;
use std::collections::BTreeMap;
use std::fs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// One call in so many has its connection ended after it ran.
const RESET_ONE_IN: u64 = 20;
const CLIENTS: u64 = 4;
const CALLS_EACH: u64 = 60;

/// What ran: the id of a call, and each run of it as (node agent, key).
type Runs = Arc<Mutex<BTreeMap<String, Vec<(u32, Option<String>)>>>>;

fn agent(uid: u32, record: Record, runs: Runs, seen: Arc<AtomicU64>, keys: Arc<Mutex<Vec<String>>>) -> Agent {
    Agent::start(uid, move |line| match line.verb.as_str() {
        "go" => {
            let key = text_field(&line.text, "dedupe");
            let class = text_field(&line.text, "lane").unwrap_or_default();
            // All run boxes drop a repeat: what has a key runs once.
            if let Some(key) = &key {
                let mut keys = keys.lock().unwrap();
                if keys.contains(key) {
                    record.add(format!("agent {uid} dropped the repeat of {} by its key", line.rid));
                    return line.answer("200", "", "ZG9uZQ==");
                }
                keys.push(key.clone());
            }
            let number = seen.fetch_add(1, Ordering::SeqCst) + 1;
            record.add(format!("agent {uid} runs {} class {class} key {}", line.rid, key.as_deref().unwrap_or("none")));
            runs.lock().unwrap().entry(line.rid.clone()).or_default().push((uid, key));
            let (record, reset) = (record.clone(), trouble() && number % RESET_ONE_IN == 0);
            thread::spawn(move || {
                sleep(120);
                if reset {
                    record.add(format!("agent {uid} ends the connection under {}", line.rid));
                    return line.close();
                }
                line.answer("200", "", "ZG9uZQ==");
            });
        }
        "stage" => line.answer("200", "\"replicas\":1", ""),
        "stat" | "ping" => line.answer("alive", "\"rep\":\"cpu_share:0.2;x0:0.1;x1:0\"", ""),
        _ => {}
    })
}

pub fn play() -> ! {
    let (record, folder) = (Record::new(), Folder::new());
    let (runs, seen, keys) = (Runs::default(), Arc::new(AtomicU64::new(0)), Arc::default());
    let agents: Vec<Agent> =
        (1..=4).map(|uid| agent(uid, record.clone(), runs.clone(), seen.clone(), Arc::clone(&keys))).collect();
    let bus = Bus::start();
    let site = tyww(1, 0);
    let known: Vec<String> = agents.iter().map(|agent| agent.known(site.zone, site.kind, 0, 4)).collect();
    let listen = free_address();
    let socket = folder.at("calls.sock");
    let operator = folder.at("jsonrpc.toml");
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
    let answered = Counts::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, socket, answered) = (record.clone(), socket.clone(), answered.clone());
            thread::spawn(move || {
                let Ok(mut rpc) = Rpc::connect(&socket) else { return };
                for n in 0..CALLS_EACH {
                    let reference = reference();
                    let function = 0x7f3a_9c21_e0b4_d600_u64 + (client * 7 + n) % 6;
                    rpc.send(&format!(
                        r#"{{"jsonrpc":"2.0","id":{n},"method":"call","params":{{"class":"credit-submit","function":"{function:016x}","allow_ms":2500,"ref":"{reference}","memory_mb":512,"lanes":4,"load_ms":640,"body":"aGk="}}}}"#
                    ));
                    record.add(format!("client {client} calls {reference} credit-submit without a key"));
                    let Some(answer) = rpc.next() else { return };
                    let how = if answer.contains("\"result\"") { "served" } else if answer.contains("-32001") { "refused" } else { "failed" };
                    answered.add(how);
                    record.add(format!("client {client} has {how} for {reference}"));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let total = answered.of("served") + answered.of("refused") + answered.of("failed");
    let twice: Vec<String> = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, runs)| runs.len() > 1)
        .map(|(rid, runs)| format!("TWICE {rid} ran at {:?}", runs.iter().map(|run| run.0).collect::<Vec<_>>()))
        .collect();
    twice.iter().for_each(|line| {
        record.add(line.clone());
    });
    record.add(format!(
        "calls {total}, served {}, refused {}, failed {}, ran twice {}",
        answered.of("served"),
        answered.of("refused"),
        answered.of("failed"),
        twice.len()
    ));
    let verdict = if total < CLIENTS * CALLS_EACH { Err(format!("only {total} calls were answered")) } else { Ok(!twice.is_empty()) };
    finish(&record, &folder, &mut schedulers, verdict)
}
