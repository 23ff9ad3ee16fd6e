//! The second front on real sockets: JSON-RPC clients and checkers.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use rig::*;
use serde_json::{Value, json};
use std::io::Write;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;

const REFERENCE: &str = "9b1f03aa5c7e2d41";

fn operator(folder: &Folder) -> String {
    format!("[jsonrpc]\nsocket = {:?}\nmax_line = 40000\n", folder.at("calls.sock"))
}

fn start(workers: &[&Worker]) -> Daemon {
    Daemon::start_with(workers, settings(), None, operator)
}

fn connect(daemon: &Daemon) -> RpcClient {
    RpcClient::connect(&daemon.folder.at("calls.sock"))
}

#[test]
fn calls_are_served_and_ids_keep_their_types() {
    let worker = Worker::over_tcp();
    let daemon = start(&[&worker]);
    worker.serve(echo);
    let mut client = connect(&daemon);
    for id in [
        json!("7"),
        json!(7),
        json!(-1.5),
        Value::Null,
        serde_json::from_str("18446744073709551617").unwrap(),
    ] {
        client.send(&rpc_call(&id, "practice-check", REFERENCE, 2900, "aGk=").to_string());
        assert_eq!(client.next(), json!({"jsonrpc": "2.0", "id": id, "result": {"body": "aGk="}}));
    }
    client.send(r#"{"jsonrpc":"2.0","id":1,"method":"ready"}"#);
    assert_eq!(client.next()["result"], json!({"ready": true}));
}

#[test]
fn a_batch_gets_one_reply_and_notifications_none() {
    let worker = Worker::over_tcp();
    let daemon = start(&[&worker]);
    let lines = worker.serve(echo);
    let mut client = connect(&daemon);
    let mut silent = rpc_call(&Value::Null, "practice-check", REFERENCE, 2900, "");
    silent.as_object_mut().unwrap().remove("id");
    client.send(&silent.to_string());
    client.send(&json!([silent, silent]).to_string());
    let batch = json!([
        rpc_call(&json!(1), "practice-check", REFERENCE, 2900, "YQ=="),
        silent,
        5,
        rpc_call(&json!("b"), "practice-check", "00000000000000aa", 2900, "Yg==")
    ]);
    client.send(&batch.to_string());
    let reply = client.next();
    let mut ids: Vec<String> = reply.as_array().unwrap().iter().map(|r| r["id"].to_string()).collect();
    ids.sort();
    assert_eq!(ids, ["\"b\"", "1", "null"]);
    assert_eq!(count_by_verb(&lines)["go"], 2, "a call without an id is not accepted");
}

#[test]
fn an_invalid_line_gets_an_error_and_its_connection_stays_open() {
    let worker = Worker::over_tcp();
    let daemon = start(&[&worker]);
    worker.serve(echo);
    let (mut client, mut other) = (connect(&daemon), connect(&daemon));
    let long = format!("\"{}\"", "x".repeat(300_000));
    for (line, code) in [("{\"jsonrpc\"", -32700), ("[]", -32600), (long.as_str(), -32600), ("3", -32600)] {
        client.send(line);
        let reply = client.next();
        assert_eq!((&reply["error"]["code"], &reply["id"]), (&json!(code), &Value::Null));
    }
    for client in [&mut client, &mut other] {
        client.send(&rpc_call(&json!(1), "practice-check", REFERENCE, 2900, "aGk=").to_string());
        assert_eq!(client.next()["result"]["body"], "aGk=");
    }
    let mut cut = connect(&daemon);
    cut.0.get_mut().write_all(b"{\"jsonrpc\":\"2.0\",").unwrap();
    cut.0.get_mut().shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(cut.next()["error"]["code"], -32700, "the line has no end");
}

/// A client with an incomplete line is closed, and an idle client is closed when another one needs its place.
#[test]
fn a_client_with_an_incomplete_line_is_closed_and_an_idle_one_makes_room() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start_with(&[&worker], settings(), None, |folder| {
        format!("{}max_clients = 2\n", operator(folder))
    });
    let mut half = connect(&daemon);
    half.0.get_mut().write_all(b"{\"jsonrpc\":").unwrap();
    assert_eq!(half.next()["error"]["code"], -32700);
    let mut line = String::new();
    assert_eq!(std::io::BufRead::read_line(&mut half.0, &mut line).unwrap(), 0, "closed");
    let _silent = [connect(&daemon), connect(&daemon)];
    for _ in 0..2 {
        let mut client = connect(&daemon);
        client.send(&rpc_call(&json!(1), "practice-check", REFERENCE, 2900, "").to_string());
        worker.next().answer("200", "eA==");
        assert_eq!(client.next()["result"]["body"], "eA==");
    }
}

/// A client that does not read must not use unbounded memory, and must be served once it reads again.
#[test]
fn reading_pauses_until_a_client_reads_its_output() {
    let worker = Worker::over_tcp();
    let daemon = start(&[&worker]);
    let client = connect(&daemon);
    let mut write = client.0.get_ref().try_clone().unwrap();
    let count = 40_000;
    let writer = std::thread::spawn(move || {
        for n in 0..count {
            write
                .write_all(format!("{{\"jsonrpc\":\"2.0\",\"id\":{n},\"method\":\"sing\"}}\n").as_bytes())
                .unwrap();
        }
    });
    let mut client = client;
    daemon.wait_counter("malformed", 1000);
    for n in 0..count {
        assert_eq!(client.next()["id"], json!(n));
    }
    writer.join().unwrap();
}

#[test]
fn refusals_failures_and_deadlines_are_reported_by_code() {
    let worker = Worker::over_tcp();
    let daemon = start(&[&worker]);
    let mut client = connect(&daemon);
    client.send(&rpc_call(&json!(1), "no-such-class", REFERENCE, 2900, "").to_string());
    assert_eq!(client.next()["error"]["code"], -32002);
    client.send(&rpc_call(&json!(2), "practice-check", REFERENCE, 2900, "").to_string());
    for _ in 0..3 {
        worker.next().answer("503", "");
    }
    let error = client.next()["error"].clone();
    assert_eq!((&error["code"], &error["data"]["cooldown_ms"]), (&json!(-32001), &json!(250)));
    client.send(&rpc_call(&json!(3), "practice-check", REFERENCE, 1000, "").to_string());
    assert_eq!(worker.next().verb(), "go");
    let error = client.next()["error"].clone();
    assert_eq!((&error["code"], &error["data"]["outcome"]), (&json!(-32003), &json!("refused")));
    assert_eq!(worker.next().verb(), "halt");
}

#[test]
fn requests_of_a_client_that_cancels_or_closes_are_withdrawn() {
    let worker = Worker::over_tcp();
    let daemon = start(&[&worker]);
    let mut client = connect(&daemon);
    client.send(&rpc_call(&json!(1), "practice-check", REFERENCE, 2900, "").to_string());
    let mut command = worker.next();
    client.send(r#"{"jsonrpc":"2.0","method":"cancel","params":{"id":"1"}}"#);
    client.send(r#"{"jsonrpc":"2.0","method":"cancel","params":{"id":1}}"#);
    assert_eq!(client.next()["error"]["code"], -32004);
    command.answer("200", "");
    client.send(&rpc_call(&json!(1), "practice-check", "00000000000000aa", 2900, "").to_string());
    worker.next();
    drop(client);
    daemon.wait_counter("withdrawn", 2);
    assert_eq!((daemon.counter("taken"), daemon.counter("served"), daemon.counter("panics")), (2, 0, 0));
    let mut again = connect(&daemon);
    again.send(r#"{"jsonrpc":"2.0","id":1,"method":"ready"}"#);
    assert_eq!(again.next()["result"]["ready"], true);
}

/// A reference in use and an invalid answer have the same effect as on the other front.
#[test]
fn a_reference_in_use_and_an_invalid_answer_affect_no_other_call() {
    let folder = Folder::new();
    let (checker, path) = (Worker::over_unix(&folder.at("checker.sock")), folder.at("checker.sock"));
    let daemon = Daemon::start_with(&[], settings(), None, |folder| {
        format!("{}[[checkers]]\nid = \"s-0000c001\"\nsocket = {path:?}\n", operator(folder))
    });
    let (mut client, mut other) = (connect(&daemon), connect(&daemon));
    client.send(&rpc_call(&json!(1), "practice-check", REFERENCE, 60_000, "YQ==").to_string());
    let mut command = checker.next();
    other.send(&rpc_call(&json!(1), "practice-check", REFERENCE, 60_000, "Yg==").to_string());
    assert_eq!(other.next()["error"]["code"], -32002);
    command.send_bytes(b"[\n");
    let mut again = checker.next();
    assert_eq!(again.request_id(), REFERENCE);
    again.answer("200", "eA==");
    assert_eq!(client.next()["result"]["body"], "eA==");
}

#[test]
fn checkers_on_unix_sockets_serve_both_fronts_under_the_same_rules() {
    let folder = Folder::new();
    let checker = Worker::over_unix(&folder.at("checker.sock"));
    let path: PathBuf = folder.at("checker.sock");
    let daemon = Daemon::start_with(&[], settings(), None, |folder| {
        format!("{}[[checkers]]\nid = \"s-0000c001\"\nsocket = {path:?}\n", operator(folder))
    });
    let mut client = connect(&daemon);
    client.send(&rpc_call(&json!(1), "credit-submit", REFERENCE, 2900, "aGk=").to_string());
    let mut command = checker.next();
    assert_eq!((command.verb(), command.request_id().as_str()), ("go", REFERENCE));
    assert_eq!(command.line["params"]["key"], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    command.answer("500", "");
    checker.next().answer("200", "YQ==");
    assert_eq!(client.next()["result"]["body"], "YQ==");
    let mut frames = FrameClient::connect(daemon.listen);
    frames.send(&frame(0, 1, &call("practice-check", "00000000000000aa", 2900, b"")));
    checker.next().answer("200", "Yg==");
    assert_eq!(frames.next(), Some((1, 1, vec![79, 0, b'b'])));
    frames.send(&frame(0, 2, &call("practice-check", "00000000000000bb", 1000, b"")));
    checker.next();
    let (_, _, payload) = frames.next().unwrap();
    assert_eq!(payload[0], 66);
    assert_eq!(checker.next().verb(), "halt");
}

#[test]
fn unresponsive_checkers_are_probed_and_others_get_load_requests() {
    let folder = Folder::new();
    let paths = [folder.at("one.sock"), folder.at("two.sock")];
    let checkers = [Worker::over_unix(&paths[0]), Worker::over_unix(&paths[1])];
    let mut settings = settings();
    settings["bounds"]["probes"] = json!(true);
    // Functions are only loaded on request here; with other settings, a call loads what is missing.
    settings["familyInfo"]["notLoaded"] = json!("miss");
    let daemon = Daemon::start_with(&[], settings, None, |folder| {
        let checker = |n: usize| format!("[[checkers]]\nid = \"s-0000c00{n}\"\nsocket = {:?}\n", paths[n]);
        format!("{}{}{}", operator(folder), checker(0), checker(1))
    });
    let mut client = connect(&daemon);
    for n in 0..12 {
        client.send(&rpc_call(&json!(n), "practice-check", &format!("{n:016x}"), 60_000, "").to_string());
    }
    // The preferred checker does not answer its calls and is probed; the other one gets a load request.
    let (mut home, mut probed, mut loaded) = (Vec::new(), 0, 0);
    let start = std::time::Instant::now();
    while probed == 0 || loaded == 0 || home.len() < 12 {
        assert!(start.elapsed() < LONG, "{probed} probes, {loaded} load requests, {} calls", home.len());
        for mut command in checkers.iter().filter_map(Worker::poll) {
            match command.verb() {
                "go" => home.push(command),
                "probe" => {
                    probed += 1;
                    command.send_line(
                        json!({"jsonrpc": "2.0", "id": command.request_id(), "result": {"load": {"util": 0.5}}}),
                    );
                }
                "stage" => {
                    loaded += 1;
                    command.answer("200", "");
                }
                other => panic!("{other}"),
            }
        }
    }
    home.iter_mut().for_each(|command| command.answer("200", "eA=="));
    for _ in 0..12 {
        assert_eq!(client.next()["result"]["body"], "eA==");
    }
}

/// A keyed call is not sent again outside its key's window, as on the other front.
#[test]
fn a_keyed_call_outside_its_window_is_sent_once() {
    let worker = Worker::over_tcp();
    let mut settings = settings();
    settings["classes"][1]["repeatWindowNs"] = json!(1);
    let daemon = Daemon::start_with(&[&worker], settings, None, operator);
    let mut client = connect(&daemon);
    client.send(&rpc_call(&json!(1), "credit-submit", REFERENCE, 2900, "").to_string());
    worker.next().end();
    assert_eq!(client.next()["error"]["code"], -32001);
    client.send(r#"{"jsonrpc":"2.0","id":2,"method":"ready"}"#);
    assert_eq!((client.next()["id"].clone(), worker.received_nothing()), (json!(2), true));
}

#[test]
fn stale_sockets_are_replaced_and_other_files_left_unchanged() {
    let worker = Worker::over_tcp();
    let folder = Folder::new();
    let path = folder.at("calls.sock");
    let fail = |path: &PathBuf| {
        let text = format!("[jsonrpc]\nsocket = {path:?}\n");
        std::fs::write(folder.at("operator.toml"), text).unwrap();
        let config = json!({"listen": "127.0.0.1:0", "settings": settings()});
        std::fs::write(folder.at("config.json"), config.to_string()).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_mintgate"));
        command.env("GW_CONFIG", folder.at("config.json")).arg("--operator").arg(folder.at("operator.toml"));
        !command.stderr(std::process::Stdio::null()).status().unwrap().success()
    };
    std::fs::write(&path, "precious").unwrap();
    assert!(fail(&path), "not a socket");
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "precious");
    std::fs::remove_file(&path).unwrap();
    let live = UnixListener::bind(&path).unwrap();
    assert!(fail(&path), "another process listens");
    drop(live);
    let mut daemon = Daemon::start_with(&[&worker], settings(), None, |_| {
        format!("[jsonrpc]\nsocket = {path:?}\nmode = \"600\"\n")
    });
    assert_eq!(std::fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);
    RpcClient::connect(&path);
    daemon.signal("TERM");
    daemon.child.wait().unwrap();
    assert!(!path.exists(), "removed at exit");
}

/// SIGHUP also rereads the operator's file: the socket moves, checkers are replaced, and open calls continue.
#[test]
fn a_new_operators_file_moves_the_socket_and_replaces_checkers() {
    let folder = Folder::new();
    let paths = [folder.at("one.sock"), folder.at("two.sock")];
    let checkers = [Worker::over_unix(&paths[0]), Worker::over_unix(&paths[1])];
    let file = |daemon: &Folder, socket: &str, n: usize| {
        let socket = daemon.at(socket);
        let checker = format!("[[checkers]]\nid = \"s-0000c00{n}\"\nsocket = {:?}\n", paths[n]);
        format!("[jsonrpc]\nsocket = {socket:?}\nmode = \"600\"\n{checker}")
    };
    let daemon = Daemon::start_with(&[], settings(), None, |folder| file(folder, "calls.sock", 0));
    let (path, config) = (daemon.folder.at("operator.toml"), daemon.config.to_string());
    let mut client = connect(&daemon);
    client.send(&rpc_call(&json!(1), "practice-check", REFERENCE, 60_000, "").to_string());
    let mut command = checkers[0].next();
    std::fs::write(&path, "[jsonrpc]\nsocket = 7\n").unwrap();
    assert_eq!(daemon.reload(&config), "refused");
    let precious = daemon.folder.at("precious");
    std::fs::write(&precious, "").unwrap();
    std::fs::write(&path, format!("[jsonrpc]\nsocket = {precious:?}\n")).unwrap();
    assert_eq!(daemon.reload(&config), "refused", "the path exists and is not a socket");
    connect(&daemon);
    std::fs::write(&path, file(&daemon.folder, "moved.sock", 1)).unwrap();
    daemon.reload(&config);
    assert!(!daemon.folder.at("calls.sock").exists());
    let mut second = RpcClient::connect(&daemon.folder.at("moved.sock"));
    second.send(&rpc_call(&json!(1), "practice-check", "00000000000000aa", 2900, "").to_string());
    checkers[1].next().answer("200", "eA==");
    assert_eq!(second.next()["result"]["body"], "eA==");
    command.answer("200", "eQ==");
    assert_eq!(client.next()["result"]["body"], "eQ==", "open when the file changed");
}

/// After SIGTERM the daemon is not ready any more, but open calls and those that still arrive are answered.
#[test]
fn calls_received_after_sigterm_are_answered_on_this_front() {
    let worker = Worker::over_tcp();
    let mut daemon = start(&[&worker]);
    let mut client = connect(&daemon);
    client.send(&rpc_call(&json!(1), "practice-check", REFERENCE, 60_000, "").to_string());
    let mut command = worker.next();
    daemon.signal("TERM");
    daemon.wait_log("ending");
    client.send(r#"{"jsonrpc":"2.0","id":2,"method":"ready"}"#);
    assert_eq!(client.next()["result"]["ready"], false);
    let mut late = connect(&daemon);
    late.send(&rpc_call(&json!(1), "practice-check", "00000000000000aa", 2900, "").to_string());
    worker.next().answer("200", "eA==");
    assert_eq!(late.next()["result"]["body"], "eA==");
    command.answer("200", "eQ==");
    assert_eq!(client.next()["result"]["body"], "eQ==");
    assert!(daemon.child.wait().unwrap().success());
    assert!(!daemon.folder.at("calls.sock").exists());
}

/// Identical calls on both fronts have the same outcomes and cause the same number of load requests.
#[test]
fn both_fronts_have_the_same_outcomes_and_load_requests() {
    fn outcome(payload: &[u8]) -> (u8, Vec<u8>) {
        (payload[0], if payload[0] == 79 { payload[2..].to_vec() } else { vec![] })
    }
    // The outcome of a call depends only on its body.
    let answer = |command: &ReceivedLine| match command.verb() {
        "go" => match command.line["content"].as_str().unwrap() {
            "ZnVsbA==" => Some(("503", String::new())),
            "ZXJyb3I=" => Some(("500", String::new())),
            "c2lsZW5jZQ==" => None,
            body => Some(("200", body.to_owned())),
        },
        _ => echo(command),
    };
    let calls: Vec<(&str, &str)> = (0..160)
        .map(|n| {
            let class = if n % 3 == 0 { "credit-submit" } else { "practice-check" };
            let body = match n % 40 {
                7 => "ZnVsbA==",
                17 => "ZXJyb3I=",
                27 if n < 40 => "c2lsZW5jZQ==",
                _ => "aGk=",
            };
            (class, body)
        })
        .collect();
    let allow = |body: &str| if body == "c2lsZW5jZQ==" { 700 } else { 2900 };
    let mut seen = Vec::new();
    for front in ["frames", "jsonrpc"] {
        let workers = [Worker::over_tcp(), Worker::over_tcp()];
        // No function fits into the gold tier: its holds depend on time, and a slow machine would see more of them.
        let mut settings = settings();
        settings["familyInfo"]["memoryMbByKind"] = json!([1000.0]);
        settings["familyInfo"]["notLoaded"] = json!("miss");
        let daemon = Daemon::start_with(&[&workers[0], &workers[1]], settings, None, operator);
        let lines: Vec<Lines> = workers.into_iter().map(|worker| worker.serve(answer)).collect();
        let mut outcomes = Vec::new();
        let mut frames = FrameClient::connect(daemon.listen);
        let mut rpc = connect(&daemon);
        // A burst of unanswered calls fills the lanes of the first instance, so that a load is requested elsewhere.
        for n in 1000..1012 {
            let reference = format!("{n:016x}");
            match front {
                "frames" => frames.send(&frame(0, n, &call("practice-check", &reference, 1500, b"silence"))),
                _ => rpc.send(
                    &rpc_call(&json!(n), "practice-check", &reference, 1500, "c2lsZW5jZQ==").to_string(),
                ),
            }
        }
        for _ in 0..12 {
            let refused = match front {
                "frames" => frames.next().unwrap().2[0] == 66,
                _ => rpc.next()["error"]["data"]["outcome"] == "refused",
            };
            assert!(refused);
        }
        for (n, (class, body)) in calls.iter().enumerate() {
            let reference = format!("{n:016x}");
            let outcome = match front {
                "frames" => {
                    let bytes = match *body {
                        "ZnVsbA==" => "full",
                        "ZXJyb3I=" => "error",
                        "c2lsZW5jZQ==" => "silence",
                        _ => "hi",
                    };
                    frames.send(&frame(
                        0,
                        n as u32 + 1,
                        &call(class, &reference, allow(body), bytes.as_bytes()),
                    ));
                    outcome(&frames.next().unwrap().2)
                }
                _ => {
                    rpc.send(&rpc_call(&json!(n), class, &reference, allow(body), body).to_string());
                    let reply = rpc.next();
                    match (
                        &reply["result"]["body"],
                        &reply["error"]["code"],
                        &reply["error"]["data"]["outcome"],
                    ) {
                        (Value::String(body), _, _) if body == "aGk=" => (79, b"hi".to_vec()),
                        (_, code, outcome) if *code == -32001 || outcome == "refused" => (66, vec![]),
                        _ => (69, vec![]),
                    }
                }
            };
            outcomes.push(outcome);
        }
        let mut commands = std::collections::BTreeMap::new();
        for (name, count) in lines.iter().flat_map(count_by_verb) {
            *commands.entry(name).or_insert(0) += count;
        }
        seen.push((outcomes, commands));
    }
    assert_eq!(seen[0], seen[1]);
    assert!(seen[0].1["stage"] >= 1, "{:?}", seen[0].1);
    let refused = seen[0].0.iter().filter(|(code, _)| *code == 66).count();
    assert_eq!(refused, 4 + 4 + 1, "full, error and silence");
}
