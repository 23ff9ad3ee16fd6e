//! What an old and a new process say to each other at an upgrade.

use crate::rig::{Daemon, Folder};
use mintgate::discovery::{Entry, WatchEvent};
use mintgate::handover::message::{self, Message, TransferredState, TransferredWorker};
use mintgate::{CellId, Duration, KindId, ListKind, Member, State, Timestamp, WorkerId, ZoneId};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::Arc;
use std::time::Instant;

/// Every field of a state.
const STATE: &str = concat!(
    r#"{"state":{"version":1,"now":9000,"name":"n0","offset":41,"#,
    r#""list":[{"id":12852090,"address":"10.1.0.9:10080","zone":1,"kind":2,"cell":3,"draining":true,"weight":0.5,"#,
    r#""started":5000000,"age":77},"#,
    r#"{"id":7,"address":"[::1]:9","zone":0,"kind":0,"cell":0,"draining":false,"weight":4.0,"started":null}],"#,
    r#""events":[[40,111],[41,222]],"out":[7,8],"back":[[9,8000]],"orders":[8100,8200],"taken":[8300],"#,
    r#""called":[170,171],"descriptors":57}}"#
);

/// The same without what need not be told.
const SPARE: &str = concat!(
    r#"{"state":{"version":1,"name":"n0","offset":0,"list":[],"events":[],"out":[],"back":[],"orders":[],"taken":[],"#,
    r#""called":[],"descriptors":0}}"#
);

fn lines() -> Vec<TransferredWorker> {
    let first = Member {
        worker: WorkerId(0xc4_1b7a),
        zone: ZoneId(1),
        cell: CellId(3),
        state: State::Draining,
        weight: 0.5,
        started: Some(Timestamp(5_000_000)),
        kind: KindId(2),
    };
    let second = Member {
        worker: WorkerId(7),
        zone: ZoneId(0),
        cell: CellId(0),
        state: State::Ready,
        weight: 4.0,
        started: None,
        kind: KindId(0),
    };
    vec![
        TransferredWorker::of(&first, "10.1.0.9:10080".parse().unwrap(), Some(Duration(77))),
        TransferredWorker::of(&second, "[::1]:9".parse().unwrap(), None),
    ]
}

fn state() -> Message {
    Message::State(Box::new(TransferredState {
        version: 1,
        now: Some(9000),
        name: "n0".to_owned(),
        offset: 41,
        workers: lines(),
        event_sums: vec![(40, 111), (41, 222)],
        cordoned: vec![7, 8],
        uncordoned_at: vec![(9, 8000)],
        load_times: vec![8100, 8200],
        accept_times: vec![8300],
        called_functions: vec![170, 171],
        used_references: vec![],
        descriptors: 57,
    }))
}

fn spare() -> Message {
    Message::State(Box::new(TransferredState {
        version: 1,
        name: "n0".to_owned(),
        ..TransferredState::default()
    }))
}

/// Every message with its text.
fn messages() -> Vec<(Message, &'static str)> {
    vec![
        (Message::Hello { version: 1, name: "n0".to_owned() }, r#"{"hello":{"version":1,"name":"n0"}}"#),
        (state(), STATE),
        (spare(), SPARE),
        (Message::Serving, r#""serving""#),
        (
            Message::CordonChanged { worker: 12852090, cordoned: true, at: 3 },
            r#"{"by-hand":{"worker":12852090,"out":true,"at":3}}"#,
        ),
        (
            Message::CordonChanged { worker: 7, cordoned: false, at: 4 },
            r#"{"by-hand":{"worker":7,"out":false,"at":4}}"#,
        ),
    ]
}

fn framed(text: &str) -> Vec<u8> {
    [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat()
}

fn read(text: &str) -> Option<Message> {
    message::read(&framed(text)).ok()?.map(|(message, _)| message)
}

#[test]
fn the_version_that_is_spoken_is_1_and_a_message_has_8_mib_at_most() {
    assert_eq!((message::VERSION, message::MAX_MESSAGE_LENGTH), (1, 8_388_608));
}

#[test]
fn every_message_of_an_upgrade_is_written_word_for_word() {
    for (message, text) in messages() {
        let bytes = message::write(&message);
        assert_eq!(std::str::from_utf8(&bytes[4..]), Ok(text));
        assert_eq!(bytes[..4], (text.len() as u32).to_be_bytes(), "{text}");
    }
    assert_eq!(message::write(&Message::Serving), b"\0\0\0\x09\"serving\"");
}

#[test]
fn every_message_of_an_upgrade_is_read_from_its_words() {
    for (message, text) in messages() {
        assert_eq!(read(text), Some(message), "{text}");
    }
}

#[test]
fn a_worker_of_the_state_is_read_field_by_field() {
    let Some(Message::State(known)) = read(STATE) else { panic!("no state") };
    let [first, second] = &known.workers[..] else { panic!("two workers") };
    let member = first.member();
    assert_eq!(
        (member.worker.0, member.zone.0, member.kind.0, member.cell.0, member.weight),
        (12852090, 1, 2, 3, 0.5)
    );
    assert_eq!((member.state, member.started), (State::Draining, Some(Timestamp(5_000_000))));
    assert_eq!(first.address().to_string(), "10.1.0.9:10080");
    assert_eq!(first.start(), Some((Timestamp(5_000_000), Duration(77))));
    let member = second.member();
    assert_eq!((member.worker.0, member.state, member.weight), (7, State::Ready, 4.0));
    assert_eq!((second.address().to_string(), second.start()), ("[::1]:9".to_owned(), None));
}

#[test]
fn the_fields_that_a_state_may_lack_are_now_age_and_started() {
    let lacking = |text: &str, field: &str, after: &str| {
        assert!(text.contains(field), "{field}");
        read(&text.replacen(field, after, 1))
    };
    let now = lacking(STATE, r#""now":9000,"#, "");
    assert!(matches!(now, Some(Message::State(known)) if known.now.is_none()));
    let now = lacking(STATE, r#""now":9000,"#, r#""now":null,"#);
    assert!(matches!(now, Some(Message::State(known)) if known.now.is_none()));
    for (field, after) in
        [(r#","age":77"#, ""), (r#""age":77"#, r#""age":null"#), (r#""started":5000000,"#, "")]
    {
        let lacking = lacking(STATE, field, after);
        assert!(
            matches!(lacking, Some(Message::State(known)) if known.workers[0].start().is_none()),
            "{field}"
        );
    }
    assert_eq!(lacking(STATE, r#","started":null"#, ""), Some(state()));
}

#[test]
fn every_other_field_of_a_message_is_required() {
    let whole: Value = serde_json::from_str(STATE).unwrap();
    let keys = |place: &str| -> Vec<String> {
        whole.pointer(place).unwrap().as_object().unwrap().keys().cloned().collect()
    };
    let mut required = vec![];
    for place in ["/state", "/state/list/0"] {
        for key in keys(place) {
            let mut lacking = whole.clone();
            lacking.pointer_mut(place).unwrap().as_object_mut().unwrap().remove(&key);
            if read(&lacking.to_string()).is_none() {
                required.push(format!("{place}/{key}"));
            }
        }
    }
    required.sort();
    assert_eq!(
        required,
        [
            "/state/back",
            "/state/called",
            "/state/descriptors",
            "/state/events",
            "/state/list",
            "/state/list/0/address",
            "/state/list/0/cell",
            "/state/list/0/draining",
            "/state/list/0/id",
            "/state/list/0/kind",
            "/state/list/0/weight",
            "/state/list/0/zone",
            "/state/name",
            "/state/offset",
            "/state/orders",
            "/state/out",
            "/state/taken",
            "/state/version",
        ]
    );
    for text in [
        r#"{"hello":{"version":1}}"#,
        r#"{"hello":{"name":"n0"}}"#,
        r#"{"by-hand":{"out":true,"at":3}}"#,
        r#"{"by-hand":{"worker":7,"at":3}}"#,
        r#"{"by-hand":{"worker":7,"out":true}}"#,
        r#"{"byHand":{"worker":7,"out":true,"at":3}}"#,
        r#"{"by_hand":{"worker":7,"out":true,"at":3}}"#,
        r#""Serving""#,
        r#""leaving""#,
    ] {
        assert_eq!(read(text), None, "{text}");
    }
}

#[test]
fn fields_of_a_later_version_are_passed_over() {
    let cases = [
        (r#"{"hello":{"version":1,"name":"n0","more":[1]}}"#.to_owned(), &messages()[0].0),
        (STATE.replacen(r#""version":1"#, r#""more":{"a":1},"version":1"#, 1), &state()),
        (STATE.replacen(r#""id":7"#, r#""more":"x","id":7"#, 1), &state()),
        (r#"{"by-hand":{"worker":7,"out":false,"at":4,"by":"me"}}"#.to_owned(), &messages()[5].0),
    ];
    for (text, message) in cases {
        assert_eq!(read(&text).as_ref(), Some(message), "{text}");
    }
}

/// Both processes reckon it, and the bus's numbers mean the same to both only where it agrees.
#[test]
fn the_sum_over_an_event_of_the_bus_stays_what_it_is() {
    let entries: Vec<Entry> =
        lines().iter().map(|line| Entry { member: line.member(), address: line.address() }).collect();
    let full = WatchEvent { offset: 41, kind: ListKind::Full, entries: entries.clone() };
    let delta = WatchEvent { offset: 42, kind: ListKind::Delta, entries };
    let empty = WatchEvent { offset: 43, kind: ListKind::Full, entries: vec![] };
    assert_eq!([full.sum(), delta.sum(), empty.sum()], SUMS);
}

const SUMS: [u64; 3] = [16826259158570669393, 1589233123290157526, 12161961113530546194];

fn target() -> Value {
    json!({"uid": "s-0000000b", "endpoint": "127.0.0.1:9", "az": "a", "model": "std", "pod_group": 5,
        "state": "SERVING", "capacity_hint": 4, "boot_ms": 0})
}

/// A daemon's folder with a configuration of one worker; and its text, which is spaced as no program would.
fn folder() -> (Arc<Folder>, Value, String) {
    let folder = Folder::new();
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "seed": "7",
        "settings": crate::rig::settings(), "limits": {"sockets": 256}, "known": {"offset": 3, "batch": [
            {"offset": 3, "topology": {"rev": 1, "all": true, "targets": [target()]}}]}});
    let text = format!("\n  {config}\n\n");
    std::fs::write(folder.at("config.json"), &text).unwrap();
    (Arc::new(folder), config, text)
}

fn heard(stream: &mut UnixStream) -> String {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut text = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut text).unwrap();
    String::from_utf8(text).unwrap()
}

/// This test is the new process, in the words of the present version.
#[test]
fn a_running_process_says_its_state_at_its_meeting_place_and_keeps_its_configuration_there() {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let (folder, config, text) = folder();
    let mut old = Daemon::spawn(folder.clone(), config, Some(&door));
    old.serves();
    assert_eq!(old.operate("POST", "/api/exclude?name=s-0000000b").0, 200);
    assert_eq!(
        std::fs::read_to_string(folder.at("mintgate-n0.json")).unwrap(),
        text,
        "as it was read, to the byte"
    );
    let mut stream = UnixStream::connect(folder.at("mintgate-n0.sock")).unwrap();
    stream.set_read_timeout(Some(crate::rig::LONG)).unwrap();
    stream.write_all(&framed(r#"{"hello":{"version":1,"name":"n0"}}"#)).unwrap();
    let said = heard(&mut stream);
    let mut state: Value = serde_json::from_str(&said).unwrap();
    let mut told = |key: &str| state["state"].as_object_mut().unwrap().remove(key).unwrap().as_u64().unwrap();
    assert!(told("now") > 1_600_000_000_000_000_000, "nanoseconds of Unix time");
    assert!(told("descriptors") > 8, "its connections, and 8 to spare");
    assert_eq!(
        state.to_string(),
        concat!(
            r#"{"state":{"back":[],"called":[],"events":[[3,2086668552600660684]],"#,
            r#""list":[{"address":"127.0.0.1:9","cell":5,"draining":false,"id":11,"kind":0,"started":null,"#,
            r#""weight":4.0,"zone":0}],"name":"n0","offset":3,"orders":[],"out":[11],"taken":[],"version":1}}"#
        )
    );
    assert_eq!(old.operate("POST", "/api/include?name=s-0000000b").0, 200);
    let back = heard(&mut stream);
    let start = r#"{"by-hand":{"worker":11,"out":false,"at":"#;
    assert!(back.starts_with(start) && back.ends_with("}}"), "{back}");
    stream.write_all(&framed(r#""serving""#)).unwrap();
    old.wait_log("mintgate: upgrade listener=closed");
    stream.write_all(&framed(r#"{"by-hand":{"worker":11,"out":true,"at":5}}"#)).unwrap();
    let start = Instant::now();
    while old.figure("cluster_unhealthy") != Some(1) {
        assert!(start.elapsed() < crate::rig::LONG, "the word of the new process is not heeded");
    }
    drop(stream);
    old.wait_log("mintgate: upgrade listener=open");
}

/// This test is the old process, in the words of the present version.
#[test]
fn a_new_process_takes_over_what_the_words_of_a_state_say() {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let (folder, config, _) = folder();
    let place = UnixListener::bind(folder.at("mintgate-n0.sock")).unwrap();
    let mut new = Daemon::spawn(folder, config, Some(&door));
    let (mut stream, _) = place.accept().unwrap();
    stream.set_read_timeout(Some(crate::rig::LONG)).unwrap();
    assert_eq!(heard(&mut stream), r#"{"hello":{"version":1,"name":"n0"}}"#);
    drop(place);
    let state = concat!(
        r#"{"state":{"version":1,"name":"n0","offset":5,"list":[{"id":11,"address":"127.0.0.1:9","zone":0,"kind":0,"#,
        r#""cell":5,"draining":false,"weight":4.0,"started":null},{"id":12,"address":"127.0.0.1:8","zone":0,"#,
        r#""kind":0,"cell":5,"draining":true,"weight":1.0,"started":5000000,"age":77}],"#,
        r#""events":[[3,2086668552600660684],[5,1]],"out":[11],"back":[],"orders":[],"taken":[],"called":[],"#,
        r#""descriptors":9}}"#
    );
    stream.write_all(&framed(state)).unwrap();
    assert_eq!(heard(&mut stream), r#""serving""#);
    new.serves();
    new.wait_log("mintgate: upgrade took over offset=5 out=1");
    assert_eq!((new.figure("cluster_size"), new.figure("cluster_unhealthy")), (Some(2), Some(1)));
}
