//! Chains over JSON-RPC: the daemon between a client on its Unix socket and stand-in workers.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use rig::*;
use serde_json::{Value, json};

fn daemon(worker: &Worker) -> (Daemon, RpcClient) {
    // Far more time than a busy machine takes: no verdict here may hang on how fast it is.
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["objectiveNs"] = json!(20_000_000_000u64);
        class["deadlineNs"] = json!(30_000_000_000u64);
        class["repeatWindowNs"] = json!(60_000_000_000u64);
    }
    let daemon = Daemon::start_with(&[worker], settings, None, |folder| {
        format!("[jsonrpc]\nsocket = \"{}\"\n", folder.at("calls.sock").display())
    });
    let client = RpcClient::connect(&daemon.folder.at("calls.sock"));
    (daemon, client)
}

fn step(class: &str, function: &str, more: Value) -> Value {
    let mut step = json!({"class": class, "function": function, "memory_mb": 100, "lanes": 2});
    step.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
    step
}

fn chain(id: u64, steps: Vec<Value>) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "method": "chain", "params": {"allow_ms": 29_000, "key": "k1", "steps": steps}})
}

fn three() -> Vec<Value> {
    vec![
        step("practice-check", "00000000000000a1", json!({"body": "YQ=="})),
        step("practice-check", "00000000000000a2", json!({"previous": true})),
        step("credit-submit", "00000000000000a3", json!({"previous": true})),
    ]
}

/// A build check, the checker run, the record of credit: one request, one final answer, one deadline.
#[test]
fn a_chain_of_three_steps_has_one_answer() {
    let worker = Worker::over_tcp();
    let (daemon, mut client) = daemon(&worker);
    // Each worker's answer is its body and a letter more.
    let lines = worker.serve(|heard| match heard.verb() {
        "go" => {
            let engine = &base64::engine::general_purpose::STANDARD;
            let body = base64::Engine::decode(engine, heard.line["content"].as_str().unwrap()).unwrap();
            Some(("200", base64::Engine::encode(engine, [body, b"x".to_vec()].concat())))
        }
        _ => Some(("200", String::new())),
    });
    client.send(&chain(1, three()).to_string());
    assert_eq!(client.next(), json!({"jsonrpc": "2.0", "id": 1, "result": {"body": "YXh4eA=="}}));
    let goes: Vec<Value> = lines.0.lock().unwrap().iter().filter(|l| l["verb"] == "go").cloned().collect();
    let names: Vec<_> = goes.iter().map(|l| l["attrs"]["name"].as_str().unwrap().to_owned()).collect();
    assert_eq!(names, ["00000000000000a1", "00000000000000a2", "00000000000000a3"]);
    assert_eq!(goes[2]["attrs"]["dedupe"], "k1.2");
    assert!(goes.iter().all(|l| l["attrs"]["ttl"].as_u64().unwrap() <= 20_000), "the credit's wanted time");
    // A repeat inside the window runs the credit step no second time.
    client.send(&chain(2, three()).to_string());
    assert_eq!(client.next()["result"]["body"], "YXh4eA==");
    assert_eq!(count_by_verb(&lines)["go"], 5, "two steps that may be repeated were");
    assert_eq!((daemon.counter("chains"), daemon.counter("chains_served")), (2, 2));
}

/// The time left does not cover a cold load in the middle: nothing starts, the client hears why at once, and the
/// copy is ordered, or the chain would be cold for ever.
#[test]
fn a_chain_that_cannot_be_covered_starts_nothing() {
    let worker = Worker::over_tcp();
    let (daemon, mut client) = daemon(&worker);
    let mut steps = three();
    steps[1]["load_ms"] = json!(17_000);
    client.send(&chain(1, steps).to_string());
    let error = &client.next()["error"];
    assert_eq!(
        (&error["code"], &error["data"]["step"], &error["data"]["ran"]),
        (&json!(-32005), &json!(0), &json!(0))
    );
    assert!(error["data"]["need_ms"].as_u64() > error["data"]["left_ms"].as_u64(), "{error}");
    assert!(error["data"]["cooldown_ms"].as_u64().unwrap() > 0);
    let mut order = worker.next();
    assert_eq!(
        (order.verb(), &order.line["attrs"]["name"]),
        ("stage", &json!("00000000000000a2")),
        "for its next try"
    );
    order.answer("200", "");
    assert_eq!((daemon.counter("chains_stopped"), daemon.counter("taken")), (1, 0));
}

#[test]
fn a_client_that_closes_calls_its_step_off_and_a_failed_step_ends_the_chain() {
    let worker = Worker::over_tcp();
    let (daemon, mut client) = daemon(&worker);
    let mut other = RpcClient::connect(&daemon.folder.at("calls.sock"));
    client.send(&chain(1, three()).to_string());
    let first = worker.next();
    drop(client);
    let halt = worker.next();
    assert_eq!((halt.verb(), halt.request_id()), ("halt", first.request_id()));
    other.send(&chain(7, three()).to_string());
    for _ in 0..3 {
        let mut heard = worker.next();
        assert_eq!(heard.line["attrs"]["name"], "00000000000000a1", "no later step starts");
        heard.answer("500", "");
    }
    let error = other.next()["error"].clone();
    assert_eq!((&error["data"]["step"], &error["data"]["ran"]), (&json!(0), &json!(0)), "{error}");
}

#[test]
fn odd_chains_are_told_what_is_odd_and_start_nothing() {
    let worker = Worker::over_tcp();
    let (daemon, mut client) = daemon(&worker);
    let good = |more: Value| step("practice-check", "00000000000000a1", more);
    let params = |steps: Value, more: Value| {
        let mut params = json!({"allow_ms": 2000, "key": "k", "steps": steps});
        params.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
        params
    };
    let cases = [
        (json!({"allow_ms": 2000}), "no steps"),
        (params(json!([]), json!({})), "steps are not 1 to 8"),
        (params(json!(vec![good(json!({})); 9]), json!({})), "steps are not 1 to 8"),
        (params(json!([7]), json!({})), "steps[0]: not an object"),
        (params(json!([good(json!({"previous": true}))]), json!({})), "steps[0]: there is no answer before"),
        (params(json!([good(json!({})), good(json!({"lanes": -1}))]), json!({})), "steps[1]: odd lanes"),
        (
            params(json!([good(json!({})), good(json!({"previous": true, "body": ""}))]), json!({})),
            "steps[1]: both",
        ),
        (params(json!([good(json!({})), good(json!({"function": "x"}))]), json!({})), "steps[1]: function"),
        (params(json!([good(json!({})), good(json!({"class": "none"}))]), json!({})), "steps[1]: the class"),
        (params(json!([good(json!({"class": "credit-submit"}))]), json!({"key": 7})), "key is not text"),
        (params(json!([good(json!({}))]), json!({"allow_ms": 0})), "allow_ms is not over 0"),
        (params(json!([good(json!({}))]), json!({"allow_ms": -5})), "allow_ms is no whole number"),
        (
            json!({"allow_ms": 9, "steps": [good(json!({"class": "credit-submit"}))]}),
            "steps[0]: its class needs a key",
        ),
    ];
    for (params, word) in cases {
        client.send(&json!({"jsonrpc": "2.0", "id": 1, "method": "chain", "params": params}).to_string());
        let error = client.next()["error"].clone();
        assert_eq!(error["code"], -32602, "{word}");
        assert!(error["message"].as_str().unwrap().contains(word), "{word}: {error}");
    }
    // A notification starts nothing, and a key that is open belongs to its chain.
    let mut notification = chain(1, three());
    notification.as_object_mut().unwrap().remove("id");
    client.send(&notification.to_string());
    assert!(worker.received_nothing());
    client.send(&chain(1, three()).to_string());
    let mut first = worker.next();
    client.send(&chain(2, three()).to_string());
    assert_eq!(client.next()["error"]["code"], -32001, "the same: come back later");
    client.send(&chain(3, vec![three().remove(0)]).to_string());
    assert_eq!(client.next()["error"]["code"], -32002, "another");
    first.answer("404", "");
    assert_eq!(daemon.counter("panics"), 0);
}

/// SIGTERM in mid-chain: the steps still to come run, and the one answer is given before the end.
#[test]
fn a_chain_that_is_under_way_is_finished_at_the_end() {
    let worker = Worker::over_tcp();
    let (mut daemon, mut client) = daemon(&worker);
    client.send(&chain(1, three()).to_string());
    let mut first = worker.next();
    daemon.signal("TERM");
    daemon.wait_log("ending");
    first.answer("200", "YQ==");
    worker.serve(echo);
    assert_eq!(client.next()["result"]["body"], "YQ==");
    assert!(daemon.ends());
}

/// A worker is left out between two steps, and comes back: the next step goes elsewhere, under the same deadline.
#[test]
fn a_step_goes_elsewhere_when_its_worker_is_left_out_in_between() {
    let workers = [Worker::over_tcp(), Worker::over_tcp()];
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["objectiveNs"] = json!(20_000_000_000u64);
        class["deadlineNs"] = json!(30_000_000_000u64);
    }
    let daemon = Daemon::start_with(&workers.each_ref(), settings, None, |folder| {
        format!("[jsonrpc]\nsocket = \"{}\"\n", folder.at("calls.sock").display())
    });
    let mut client = RpcClient::connect(&daemon.folder.at("calls.sock"));
    // All steps call one function, whose home the first one shows.
    let one = || step("practice-check", "00000000000000a1", json!({}));
    client.send(&chain(1, vec![one(), one()]).to_string());
    let (home, mut heard) = loop {
        let found = workers.iter().enumerate().find_map(|(n, worker)| Some((n, worker.poll()?)));
        if let Some(found) = found {
            break found;
        }
    };
    assert_eq!(daemon.operate("POST", &format!("/api/exclude?name=s-{:08x}", home + 1)).0, 200);
    heard.answer("200", "YQ==");
    let mut next = workers[1 - home].next();
    while next.verb() != "go" {
        next.answer("200", "");
        next = workers[1 - home].next();
    }
    next.answer("200", "Yg==");
    assert_eq!(client.next()["result"]["body"], "Yg==");
    assert!(workers[home].received_nothing());
}
