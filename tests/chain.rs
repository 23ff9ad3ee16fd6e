//! Chains over JSON-RPC: a daemon serves a client on its Unix socket with stand-in workers.

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
    // Far more time than a busy machine takes, so that no result depends on its speed.
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

/// One request with three steps (a build check, the checker's run, the record of credit) has one final answer and one
/// deadline, and a retry does not run the keyed step again.
#[test]
fn a_chain_of_three_steps_has_one_answer() {
    let worker = Worker::over_tcp();
    let (daemon, mut client) = daemon(&worker);
    // Each answer of a worker is the request's body with a letter appended.
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
    assert!(
        goes.iter().all(|l| l["attrs"]["ttl"].as_u64().unwrap() <= 20_000),
        "the latency objective of the credit step"
    );
    // A retry within the deduplication window does not run the credit step again.
    client.send(&chain(2, three()).to_string());
    assert_eq!(client.next()["result"]["body"], "YXh4eA==");
    assert_eq!(count_by_verb(&lines)["go"], 5, "the two retryable steps ran again");
    assert_eq!((daemon.counter("chains"), daemon.counter("chains_served")), (2, 2));
}

/// The time left does not cover a cold start in the middle: no step starts, the client is told the reason immediately,
/// and the instance is prewarmed, because the chain would stay cold otherwise.
#[test]
fn a_chain_that_the_time_left_does_not_cover_starts_no_step() {
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
    let mut load = worker.next();
    assert_eq!(
        (load.verb(), &load.line["attrs"]["name"]),
        ("stage", &json!("00000000000000a2")),
        "prewarmed for the next try"
    );
    load.answer("200", "");
    assert_eq!((daemon.counter("chains_stopped"), daemon.counter("taken")), (1, 0));
}

#[test]
fn a_closing_client_withdraws_its_step_and_a_failed_step_ends_the_chain() {
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
        let mut attempt = worker.next();
        assert_eq!(attempt.line["attrs"]["name"], "00000000000000a1", "no later step starts");
        attempt.answer("500", "");
    }
    let error = other.next()["error"].clone();
    assert_eq!((&error["data"]["step"], &error["data"]["ran"]), (&json!(0), &json!(0)), "{error}");
}

#[test]
fn invalid_chains_are_rejected_with_the_reason_and_start_no_step() {
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
    for (params, expected) in cases {
        client.send(&json!({"jsonrpc": "2.0", "id": 1, "method": "chain", "params": params}).to_string());
        let error = client.next()["error"].clone();
        assert_eq!(error["code"], -32602, "{expected}");
        assert!(error["message"].as_str().unwrap().contains(expected), "{expected}: {error}");
    }
    // A notification starts no chain, and the key of a chain in progress cannot be used by another one.
    let mut notification = chain(1, three());
    notification.as_object_mut().unwrap().remove("id");
    client.send(&notification.to_string());
    assert!(worker.received_nothing());
    client.send(&chain(1, three()).to_string());
    let mut first = worker.next();
    client.send(&chain(2, three()).to_string());
    assert_eq!(client.next()["error"]["code"], -32001, "a retry of the open chain is refused");
    client.send(&chain(3, vec![three().remove(0)]).to_string());
    assert_eq!(client.next()["error"]["code"], -32002, "a different chain with the key fails");
    first.answer("404", "");
    assert_eq!(daemon.counter("panics"), 0);
}

/// SIGTERM during a chain: its remaining steps run, and it is answered before the daemon exits.
#[test]
fn a_chain_in_progress_is_finished_during_shutdown() {
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

/// The worker of the first step is cordoned before the second: the second step is sent to the other worker.
#[test]
fn a_step_goes_to_another_worker_when_its_own_is_cordoned_between_steps() {
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
    // All steps call the same function. The worker that gets the first step is the function's home.
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

/// Settings with a further class that must never run twice.
fn settings_with_fragile_class() -> Value {
    let mut settings = settings();
    let mut fragile = settings["classes"][0].clone();
    fragile["name"] = json!("certificate-print");
    fragile["effect"] = json!("fragile");
    settings["classes"].as_array_mut().unwrap().push(fragile);
    settings
}

/// A chain whose time is up after its fragile step has run is told 'failed': a client that is told 'refused' comes again,
/// and the step runs twice.
#[test]
fn a_chain_is_not_refused_after_its_fragile_step_has_run() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start_with(&[&worker], settings_with_fragile_class(), None, |folder| {
        format!("[jsonrpc]\nsocket = \"{}\"\n", folder.at("calls.sock").display())
    });
    // The second step's checker never comes up.
    let lines = worker.serve(|heard| {
        let is_print = heard.line["attrs"]["name"] == "00000000000000a1";
        (heard.verb() == "go" && is_print).then(|| ("200", "YQ==".to_owned()))
    });
    let mut client = RpcClient::connect(&daemon.folder.at("calls.sock"));
    let steps = vec![
        step("certificate-print", "00000000000000a1", json!({"body": "YQ=="})),
        step("practice-check", "00000000000000a2", json!({"previous": true})),
    ];
    client.send(&chain(1, steps).to_string());
    let error = client.next()["error"].clone();
    assert_eq!((&error["code"], &error["data"]["outcome"]), (&json!(-32003), &json!("failed")), "{error}");
    assert_eq!((&error["data"]["step"], &error["data"]["ran"]), (&json!(1), &json!(1)), "{error}");
    let prints =
        lines.0.lock().unwrap().iter().filter(|line| line["attrs"]["name"] == "00000000000000a1").count();
    assert_eq!(prints, 1);
}

/// A momentary refusal of a later step does not end a chain whose fragile step has run: the step is tried again.
#[test]
fn a_chain_with_a_fragile_step_survives_rejections_of_a_later_step() {
    let worker = Worker::over_tcp();
    let mut settings = settings_with_fragile_class();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["objectiveNs"] = json!(20_000_000_000u64);
        class["deadlineNs"] = json!(30_000_000_000u64);
    }
    let daemon = Daemon::start_with(&[&worker], settings, None, |folder| {
        format!("[jsonrpc]\nsocket = \"{}\"\n", folder.at("calls.sock").display())
    });
    let most_tries = 3;
    let count = std::sync::atomic::AtomicUsize::new(0);
    worker.serve(move |heard| {
        let is_later = heard.line["attrs"]["name"] == "00000000000000a2";
        match heard.verb() {
            "go" if is_later && count.fetch_add(1, std::sync::atomic::Ordering::Relaxed) < most_tries => {
                Some(("500", String::new()))
            }
            "go" | "stage" => Some(("200", "YQ==".to_owned())),
            _ => None,
        }
    });
    let mut client = RpcClient::connect(&daemon.folder.at("calls.sock"));
    let steps = vec![
        step("certificate-print", "00000000000000a1", json!({"body": "YQ=="})),
        step("practice-check", "00000000000000a2", json!({"previous": true})),
    ];
    client.send(&chain(1, steps).to_string());
    let answer = client.next();
    assert_eq!(answer["result"]["body"], "YQ==", "{answer}");
    assert_eq!((daemon.counter("chains_served"), daemon.counter("chains_failed")), (1, 0));
}

/// A request of a keyed class without its key is not told that a repeat is harmless after it may have run: JSON-RPC and
/// binary front.
#[test]
fn a_keyed_request_without_a_key_is_not_refused_after_it_may_have_run() {
    let worker = Worker::over_tcp();
    let (daemon, mut client) = daemon(&worker);
    let mut call = rpc_call(&json!(1), "credit-submit", "00000000000000c1", 3_000, "YQ==");
    call["params"].as_object_mut().unwrap().remove("key");
    client.send(&call.to_string());
    let break_all_attempts = || {
        for _ in 0..3 {
            let attempt = worker.next();
            assert_eq!(attempt.verb(), "go");
            attempt.end();
        }
    };
    break_all_attempts();
    let answer = client.next();
    assert_eq!(answer["error"]["code"], -32002, "{answer}");
    let mut client = FrameClient::connect(daemon.listen);
    let fields =
        [("service", "credit-submit"), ("ref", "00000000000000c2"), ("allow", "3000"), ("lookup", FUNCTION)];
    client.send(&frame(0, 1, &request(&fields, b"x")));
    break_all_attempts();
    assert_eq!(client.next(), Some((1, 1, vec![69, 0])));
}

/// The plug-in words the end of a chain by the same rule as the daemon's fronts.
#[test]
fn a_chain_of_the_plug_in_is_not_refused_after_its_fragile_step_has_run() {
    let worker = Worker::over_tcp();
    let site = mintgate::settings::read_site(settings_with_fragile_class().to_string().as_bytes()).unwrap();
    let mut client = mintgate::client::Client::new(site, 7).unwrap();
    let member = mintgate::Member { worker: mintgate::WorkerId(1), weight: 1.0, ..Default::default() };
    client.workers(vec![(member, mintgate::backend::Endpoint::Tcp(worker.address()))]);
    worker.serve(|heard| {
        let is_print = heard.line["attrs"]["name"] == "00000000000000a1";
        (heard.verb() == "go" && is_print).then(|| ("200", "YQ==".to_owned()))
    });
    let step = |class: &str, function| mintgate::chain::Step {
        class: class.to_owned(),
        function: mintgate::FunctionId(function),
        memory_mb: 100.0,
        concurrency: 2.0,
        load_time: None,
        body: None,
    };
    let steps = vec![step("certificate-print", 0xa1), step("practice-check", 0xa2)];
    let deadline = client.now() + mintgate::Duration::millis(3_000);
    let handle = client.chain(None, deadline, steps);
    let end = loop {
        client.poll_once(deadline).unwrap();
        if let Some((ended, end)) = client.chain_ends().pop() {
            assert_eq!(ended, handle);
            break end;
        }
    };
    assert_eq!((end.answer.verdict, end.ran), (mintgate::core::Verdict::Failed, 1));
}
