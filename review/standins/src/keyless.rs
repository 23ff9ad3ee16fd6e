//! Tried, no case: calls of a keyed class without a key.

use crate::rpc::Rpc;
use crate::run_box::{Rules, RunBox, Treat, listed};
use crate::settings::{Class, KEYED, SAFE, config};
use crate::util::{Scheduler, base64, file, note, sleep_ms, trouble};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

pub fn play() -> bool {
    let reset = Arc::new(AtomicBool::new(trouble()));
    let rules = || {
        let reset = reset.clone();
        Rules {
            load_ms: Box::new(|_| 50),
            work_ms: 30,
            treat: Box::new(move |_| {
                if reset.swap(false, Ordering::Relaxed) { Treat::Reset { after_ms: 30, ran: true } } else { Treat::Serve }
            }),
            body: Box::new(|seen| seen.content.clone()),
        }
    };
    let boxes: Vec<Arc<RunBox>> = (1..=4).map(|uid| RunBox::start(uid, rules())).collect();
    let list: Vec<String> = boxes.iter().map(|run_box| listed(run_box, "bldg-a")).collect();
    let classes = [Class("practice-check", SAFE, 1500), Class("credit-submit", KEYED, 1000)];
    let socket = file("calls.sock");
    let operator = format!("[jsonrpc]\nsocket = {socket:?}\n");
    let _scheduler = Scheduler::start("n0", &config("n0", (1, 0), &classes, &list, None), &operator);
    let mut client = Rpc::connect(&socket);
    let body = base64(b"credit");
    client.send(&format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"call","params":{{"class":"credit-submit","function":"7f3a9c21e0b4d601","allow_ms":3000,"body":"{body}"}}}}"#
    ));
    client.next();
    sleep_ms(200);
    let runs: usize =
        boxes.iter().map(|b| b.seen.lock().unwrap().iter().filter(|s| s.what == "run").count()).sum();
    note(&format!("runs: {runs}"));
    runs > 1
}
