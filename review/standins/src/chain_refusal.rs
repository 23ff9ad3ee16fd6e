//! A chain whose first step must not run twice is told 'refused' after that step has run.

use crate::rpc::Rpc;
use crate::run_box::{Rules, RunBox, Treat, listed};
use crate::settings::{Class, FRAGILE, KEYED, SAFE, config};
use crate::util::{Scheduler, base64, field, file, note, sleep_ms, trouble};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

const PRINT: &str = "7f3a9c21e0b4d601";
const CHAINS: u32 = 5;
const TRIES: u32 = 2;

/// The checker of a chain's second step: a new one for each chain, so that it is cold.
fn checker(chain: u32) -> String {
    format!("7f3a9c21e0b4e{chain:03x}")
}

pub fn play() -> bool {
    // The checker store slows down by this factor: 640 ms become 4.5 s.
    let factor = Arc::new(AtomicU64::new(1));
    let rules = || {
        let factor = factor.clone();
        Rules {
            load_ms: Box::new(move |function| {
                if function == PRINT { 1 } else { 640 * factor.load(Ordering::Relaxed) }
            }),
            work_ms: 60,
            treat: Box::new(|_| Treat::Serve),
            body: Box::new(|seen| seen.content.clone()),
        }
    };
    let boxes: Vec<Arc<RunBox>> = (1..=4).map(|uid| RunBox::start(uid, rules())).collect();
    let list: Vec<String> = boxes.iter().map(|run_box| listed(run_box, "bldg-a")).collect();
    let classes = [
        Class("practice-check", SAFE, 1500),
        Class("credit-submit", KEYED, 1000),
        Class("certificate-print", FRAGILE, 1500),
    ];
    let socket = file("calls.sock");
    let operator = format!("[jsonrpc]\nsocket = {socket:?}\n");
    let _scheduler = Scheduler::start("n0", &config("n0", (1, 0), &classes, &list, None), &operator);
    if trouble() {
        note("the checker store runs 7 times slower from here on");
        factor.store(7, Ordering::Relaxed);
    }
    let mut refusals = 0;
    for chain in 0..CHAINS {
        let mut client = Rpc::connect(&socket);
        for attempt in 0..TRIES {
            let (body, checker) = (base64(format!("certificate {chain}").as_bytes()), checker(chain));
            client.send(&format!(
                r#"{{"jsonrpc":"2.0","id":{attempt},"method":"chain","params":{{"allow_ms":3000,"key":"5c0f6e1a2b3d4c59a8b7c6d5e4f302{chain:02}","steps":[{{"class":"certificate-print","function":"{PRINT}","memory_mb":230,"lanes":4,"load_ms":300,"body":"{body}"}},{{"class":"practice-check","function":"{checker}","memory_mb":370,"lanes":2,"load_ms":640,"body":"{body}"}}]}}}}"#
            ));
            let Some(answer) = client.next() else { panic!("no answer to a chain") };
            let code = field(&answer, "code").unwrap_or_default();
            let refused = ["-32001", "-32005"].contains(&code.as_str())
                || code == "-32003" && answer.contains("\"outcome\":\"refused\"");
            if !refused {
                break;
            }
            let ran = field(&answer, "ran").unwrap_or_default();
            note(&format!("chain {chain}, try {attempt}: refused, and {ran} steps had run"));
            refusals += u32::from(ran != "0");
            // The client stays away for as long as it was told, and tries again.
            let wait = field(&answer, "cooldown_ms").and_then(|ms| ms.parse().ok()).unwrap_or(250);
            sleep_ms(wait);
        }
    }
    sleep_ms(300);
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for seen in boxes.iter().flat_map(|run_box| run_box.seen.lock().unwrap().clone()) {
        if seen.what == "run" && seen.function == PRINT {
            *runs.entry(seen.content).or_default() += 1;
        }
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    note(&format!("certificates: {}, printed more than once: {twice}", runs.len()));
    note(&format!("chains that were told 'refused' after their fragile step had run: {refusals}"));
    if runs.is_empty() {
        panic!("nothing ran");
    }
    twice > 0 || refusals > 0
}
