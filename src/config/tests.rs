use super::*;
use crate::interface::*;
use serde_json::{Value, json};

#[test]
fn the_operators_file_is_parsed_and_invalid_values_are_reported() {
    let uncommented = include_str!("../../deploy/jsonrpc.toml").replace("# [", "[").replace("# id", "id");
    let commented = [
        "until",
        "socket",
        "zone",
        "kind",
        "weight",
        "vrid",
        "priority",
        "interval_cs",
        "preempt",
        "bind",
        "peers",
        "address",
    ];
    let uncommented = commented
        .iter()
        .fold(uncommented, |text, key| text.replace(&format!("# {key} ="), &format!("{key} =")));
    let operator = read_operator(&uncommented).unwrap();
    assert_eq!(operator.jsonrpc.unwrap().mode, 0o660);
    assert_eq!((operator.checkers.len(), operator.vrrp.unwrap().vrid), (1, 7));
    assert_eq!(operator.chains.until, Until::Wanted);
    assert_eq!(read_operator("[chains]\nuntil = \"given-up\"").unwrap().chains.until, Until::GivenUp);
    assert!(read_operator("").unwrap().jsonrpc.is_none(), "off by default");
    let cases = [
        ("[chains]\nuntil = \"later\"", "until"),
        ("[chains]\nsteps = 9", "steps"),
        ("[jsonrpc]", "socket"),
        ("[jsonrpc]\nsocket = \"s\"\nmode = \"999\"", "octal"),
        ("[jsonrpc]\nsocket = \"s\"\nmax_line = 1", "max_line"),
        ("[jsonrpc]\nsocket = \"s\"\nmax_lines = 1", "max_lines"),
        ("[[checkers]]\nid = \"c1\"\nsocket = \"s\"", "checker id 'c1'"),
        (
            "[vrrp]\nvrid = 0\npriority = 1\nbind = \"127.0.0.1:1\"\npeers = []\naddress = \"127.0.0.9\"",
            "start from 1",
        ),
        (
            "[vrrp]\nvrid = 1\npriority = 1\nbind = \"10.0.0.1:1\"\npeers = []\naddress = \"127.0.0.9\"",
            "loopback",
        ),
    ];
    for (text, word) in cases {
        let error = read_operator(text).unwrap_err().to_string();
        assert!(error.contains(word), "{text}: {error}");
    }
}

/// Each of these files would stop or change the service if any part of it were applied.
#[test]
fn an_invalid_configuration_does_not_replace_the_one_in_use() {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "deadlineNs": 3, "objectiveNs": 1, "worth": 1.0, "effect": effect, "group": "all",
            "repeatWindowNs": 6})
    };
    let good = json!({"name": "n3", "listen": "127.0.0.1:1", "seed": "8c", "bus": "127.0.0.1:2",
        "limits": {"memory_mb": 48, "sockets": 384}, "known": {"offset": 1, "batch": []},
        "settings": {"fleetSize": 1, "index": 0, "zones": ["a"], "classes": [class("a", "retryable"),
            class("b", "dedup")], "bounds": {"mostTries": 3, "mayCancel": true},
            "contract": {"coldFrom": 0.2, "coldNs": 1, "fallMultiple": 3.0, "fallNs": 1},
            "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}});
    let used = read(good.to_string().as_bytes()).unwrap();
    let check = |text: &str| read(text.as_bytes()).and_then(|new| check(&new, &used)).map_err(String::from);
    let mut retuned = good.clone();
    retuned["settings"]["bounds"]["mostTries"] = json!(1);
    retuned["settings"]["classes"] = json!([class("b", "fragile"), class("c", "retryable")]);
    retuned["settings"]["classes"][0].as_object_mut().unwrap().remove("group");
    retuned["known"] = Value::Null;
    retuned.as_object_mut().unwrap().remove("known");
    assert_eq!(check(&retuned.to_string()), Ok(()));
    let text = good.to_string();
    for cut in 0..text.len() {
        assert!(check(&text[..cut]).is_err(), "{cut}");
    }
    let cases = [
        ("/settings/classes/0/deadlineNs", json!(0), "classes[0].deadlineNs"),
        ("/settings/classes/0/deadlineNs", json!(-5), "settings"),
        ("/settings/classes/1/objectiveNs", json!(0), "classes[1].objectiveNs"),
        ("/settings/classes/1/repeatWindowNs", json!(0), "classes[1].repeatWindowNs"),
        ("/settings/classes/1/name", json!("a"), "classes[1].name is 'a'"),
        ("/settings/classes/1/name", json!(""), "classes[1].name is ''"),
        ("/settings/classes/1/effect", json!("sometimes"), "classes[1].effect"),
        ("/settings/classes", json!([]), "classes is empty"),
        ("/settings/bounds/mostTries", json!(0), "mostTries"),
        ("/settings/bounds/mostTries", json!("3"), "settings"),
        ("/settings/bounds/mayCancel", Value::Null, "settings"),
        ("/settings/zones", json!("a"), "settings"),
        ("/limits", json!(7), "configuration"),
        ("/seed", json!(7), "configuration"),
    ];
    for (path, value, text) in cases {
        let mut broken = good.clone();
        *broken.pointer_mut(path).unwrap() = value.clone();
        let error = check(&broken.to_string()).unwrap_err();
        assert!(error.contains(text), "{path} {value}: {error}");
    }
    // Each key is removed once.
    let paths =
        ["", "/limits", "/settings", "/settings/bounds", "/settings/contract", "/settings/familyInfo"];
    let paths = paths.into_iter().chain(["/settings/classes/0", "/settings/classes/1"]);
    for path in paths {
        let keys: Vec<String> = good.pointer(path).unwrap().as_object().unwrap().keys().cloned().collect();
        for key in keys {
            // Discovery's events are only used at startup, and a class that is not keyed needs no key settings.
            let optional =
                key == "known" || path.ends_with('0') && ["group", "repeatWindowNs"].contains(&&*key);
            let mut broken = good.clone();
            broken.pointer_mut(path).unwrap().as_object_mut().unwrap().remove(&key);
            assert_eq!(check(&broken.to_string()).is_ok(), optional, "{path}/{key}");
        }
    }
}

#[test]
fn the_configuration_is_parsed_and_invalid_values_are_reported() {
    let good = r#"{"name":"n3","listen":"10.0.0.4:10080","seed":"8c1f30d27a5be964","bus":"10.2.0.1:8500",
        "limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},"known":{"offset":41,"batch":[{"offset":41,"topology":
        {"rev":7,"all":true,"targets":[{"uid":"s-00c41f7a","endpoint":"10.1.0.9:10080","az":"b","model":"std",
        "pod_group":2,"state":"SERVING","capacity_hint":4,"boot_ms":5}]}}]},"settings":{"fleetSize":1,"index":0,
        "zones":["a","b"],"kinds":["std"],"classes":[],"bounds":{"mostTries":3},"contract":{"coldFrom":0.2,
        "coldNs":1,"fallMultiple":3,"fallNs":1},"familyInfo":{"keepNs":1,"notLoaded":"load","loadSpanNs":0}}}"#;
    let config = read(good.as_bytes()).unwrap();
    let member = config.known_events[0].entries[0].member;
    assert_eq!(
        (config.seed, config.sockets, config.known_events[0].offset),
        (0x8c1f_30d2_7a5b_e964, 4096, 41)
    );
    assert_eq!(
        (member.worker, member.zone, member.started),
        (WorkerId(0xc4_1f7a), ZoneId(1), Some(Timestamp(5_000_000)))
    );
    let cases = [
        ("10.0.0.4:10080", "here", "socket address"),
        ("s-00c41f7a", "s-1", "uid is 's-1'"),
        ("SERVING", "SINGING", "state is 'SINGING'"),
        ("settings", "sittings", "settings"),
        ("}]}}]", "", "column"),
    ];
    for (from, to, text) in cases {
        let error = read(good.replace(from, to).as_bytes()).unwrap_err().to_string();
        assert!(error.contains(text), "{from}: {error}");
    }
}

/// Events up to the known offset are dropped, but a file in which one of them is invalid is still rejected, and so is
/// a file with a duplicate key.
#[test]
fn known_events_are_checked_and_dropped() {
    let event = |offset: u64, uid: &str| {
        json!({"offset": offset, "topology": {"all": offset == 1, "targets": [{"uid": uid, "az": "a", "model": "std",
            "endpoint": "127.0.0.1:1", "state": "SERVING"}]}})
    };
    let file = |events: &[Value]| {
        json!({"listen": "127.0.0.1:1", "known": {"batch": events}, "settings": {"classes": [],
            "bounds": {"mostTries": 3}, "contract": {"coldFrom": 0.2, "coldNs": 1, "fallMultiple": 3, "fallNs": 1},
            "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}})
        .to_string()
    };
    let events = [event(2, "s-00000002"), event(1, "s-00000001"), event(3, "s-00000003")];
    let kept = |after| {
        let config = read_after(file(&events).as_bytes(), after).unwrap();
        config.known_events.iter().map(|event| event.offset).collect::<Vec<_>>()
    };
    assert_eq!(kept(None), [1, 2, 3]);
    assert_eq!(kept(Some(2)), [3]);
    assert!(kept(Some(3)).is_empty());
    let invalid = file(&[event(1, "s-1")]);
    assert!(read_after(invalid.as_bytes(), Some(9)).unwrap_err().to_string().contains("uid is 's-1'"));
    for duplicate in ["\"listen\":\"127.0.0.1:2\"", "\"known\":{}"] {
        let text = file(&events).replacen('{', &format!("{{{duplicate},"), 1);
        assert!(read(text.as_bytes()).unwrap_err().to_string().contains("duplicate field"), "{duplicate}");
    }
}
