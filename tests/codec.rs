//! The codec of the simulator adapter, and the adapter as a process.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

#[allow(dead_code)]
#[path = "../src/bin/mintgate-simulator-adapter/codec.rs"]
mod codec;

use codec::{Record, Reply, read_frame, read_records};
use mintgate::*;
use std::io::Write;
use std::process::{Command, Stdio};

const VALID_SETTINGS: &str = r#"{"fleetSize": 3, "index": 1, "somethingNew": [1],
  "classes": [{"deadlineNs": 6000000000, "effect": "retryable", "objectiveNs": 1200000000}],
  "bounds": {"mostTries": 5},
  "contract": {"coldFrom": 0.17, "coldNs": 16000000000, "fallMultiple": 2.0, "fallNs": 1000000000},
  "familyInfo": {"keepNs": 8100000000, "notLoaded": "miss", "mayOrder": true, "loadSpanNs": 0}}"#;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap()).collect()
}

fn frame(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut bytes = now.to_be_bytes().to_vec();
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend((records.len() as u32).to_be_bytes());
    bytes.extend(body);
    bytes
}

fn open(instance: u16, text: &str) -> Vec<u8> {
    let mut record = vec![1];
    record.extend((14 + text.len() as u32).to_be_bytes());
    record.extend(instance.to_be_bytes());
    record.extend(7u64.to_be_bytes());
    record.extend((text.len() as u32).to_be_bytes());
    record.extend(text.as_bytes());
    record
}

fn run(input: &[u8]) -> (Option<i32>, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mintgate-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    let output = child.wait_with_output().unwrap();
    (output.status.code(), output.stdout, String::from_utf8(output.stderr).unwrap())
}

const ACCEPT_RECORD: &str = "03 0000002f 0003 5d3a91c4 40000000 0000 00000000 0000 000000000e4e1c00 0000000000b71b00 \
     01 43c00000 0000007c55d20a01";

#[test]
fn records_are_decoded_as_documented() {
    let roster = "0c 00000034 0000 00000002 00 0000 00 0a124a07 1f43 3f800000 0000000000000000 00 \
         01 0000 00 0a9011f2 1f6c 3fc00000 000000016b969d00 00";
    let answer = "05 0000001a 0003 5d3a91c4 0000 0a124a07 1f43 00 00000000011a49a0 01 19 00";
    let sync = "02 00000009 0003 00000029 02 0000";
    let probed = "08 0000001e 0003 0000000000155cc0 04 0a9011f2 1f6c 03 3f1eb8523ecccccd3fa00000";
    let records =
        [hex(roster), hex(sync), hex(ACCEPT_RECORD), hex(answer), hex("63 00000001 ff"), hex(probed)];
    let bytes = frame(9, &records);
    let frame = read_frame(&mut &bytes[..]).unwrap().unwrap();
    let records = read_records(&frame).unwrap();
    let Record::Roster { number: 0, entries } = &records[0] else { panic!() };
    assert_eq!(entries[0].started, None);
    assert_eq!((entries[1].zone, entries[1].weight), (ZoneId(1), 1.5));
    assert_eq!(entries[1].worker, WorkerId(0x0a90_11f2_1f6c));
    assert!(matches!(records[1], Record::Sync { instance: 3, kind: ListKind::Cached, roster: 0 }));
    let Record::Event { event: Event::Request(call), .. } = &records[2] else { panic!() };
    assert_eq!((call.concurrency, call.memory_mb, call.load_time), (2.0, 384.0, None));
    assert_eq!((call.remaining, call.function), (Duration(240_000_000), FunctionId(0x7c_55d2_0a01)));
    let Record::Event { event: Event::Outcome(outcome), .. } = &records[3] else { panic!() };
    assert_eq!((outcome.instance, outcome.company, outcome.finished), (InstanceNote::Stood, 3, true));
    assert!(matches!(records[4], Record::Skipped));
    let Record::Event { event: Event::Probed(worker, status, report), .. } = &records[5] else { panic!() };
    assert_eq!((*worker, *status, report.len()), (WorkerId(0x0a90_11f2_1f6c), Status::Timeout, 3));
}

#[test]
fn actions_are_encoded_as_documented() {
    let mut reply = Reply::default();
    let (worker, function) = (WorkerId(0x0a12_4a07_1f43), FunctionId(0x7c_55d2_0a01));
    let id = RequestId(0x5d3a_91c4);
    reply.action(3, &Action::Send { id, worker, timeout: Duration(80_000_000) });
    reply.action(3, &Action::Load { worker, instances: 1, function, part: None });
    reply.action(3, &Action::Unload { worker, function });
    reply.action(3, &Action::Cancel { id, attempt: 0 });
    reply.action(3, &Action::Refuse { id: RequestId(0x0e6f_2b19), wait: Duration(250_000_000) });
    reply.action(3, &Action::Probe { worker, part: None });
    let expected = "00000006 00000077 \
         01 00000014 0003 5d3a91c4 0000000004c4b400 0a124a07 1f43 \
         05 00000011 0003 0a124a07 1f43 01 0000007c55d20a01 \
         0b 00000010 0003 0a124a07 1f43 0000007c55d20a01 \
         04 00000008 0003 5d3a91c4 0000 \
         09 0000000e 0003 0e6f2b19 000000000ee6b280 \
         06 00000008 0003 0a124a07 1f43";
    let mut expected = hex(expected);
    let length = (expected.len() - 8) as u32;
    expected[4..8].copy_from_slice(&length.to_be_bytes());
    assert_eq!(reply.finish(), expected);
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_no_error() {
    assert_eq!(run(&frame(5, &[])), (Some(0), vec![0; 8], String::new()));
}

#[test]
fn a_malformed_batch_is_reported_and_gets_no_reply() {
    let complete = frame(5, &[hex(ACCEPT_RECORD)]);
    let mut short_record = hex(ACCEPT_RECORD);
    short_record[4] = 0x20;
    short_record.truncate(5 + 0x20);
    let mut long_record = hex(ACCEPT_RECORD);
    long_record[4] = 0x30;
    for (bytes, expected) in [
        (complete[..9].to_vec(), "batch header"),
        (complete[..30].to_vec(), "cut short"),
        (frame(5, &[short_record]), "ACCEPT at position 16"),
        (frame(5, &[long_record]), "ACCEPT at position 16"),
    ] {
        let (code, out, err) = run(&bytes);
        assert_eq!((code, out.len()), (Some(1), 0), "{err}");
        assert!(err.contains(expected), "{err}");
    }
}

#[test]
fn settings_without_a_required_key_are_an_error_that_names_it() {
    assert!(settings::read(VALID_SETTINGS.as_bytes()).is_ok());
    for missing in ["coldFrom", "fallMultiple", "mostTries", "keepNs", "loadSpanNs", "effect"] {
        let error = settings::read(VALID_SETTINGS.replace(missing, "x").as_bytes()).unwrap_err().to_string();
        assert!(error.contains(missing), "{error}");
    }
    let (code, out, _) = run(&frame(5, &[open(2, "no json")]));
    assert_eq!((code, out[8]), (Some(0), 3));
}

#[test]
fn an_instance_is_served_until_it_is_killed() {
    let roster = hex("0c 0000001d 0000 00000001 00 0000 00 0a124a07 1f43 3f800000 0000000000000000 00");
    let sync = hex("02 00000009 0003 00000029 02 0000");
    let mut input = frame(5, &[open(3, VALID_SETTINGS), roster, sync]);
    input.extend(frame(6, &[hex(ACCEPT_RECORD)]));
    input.extend(frame(7, &[hex("0a 00000002 0003"), hex(ACCEPT_RECORD)]));
    let (code, out, _) = run(&input);
    assert_eq!(code, Some(0));
    let send = hex("01 00000014 0003 5d3a91c4 000000000e4e1c00 0a124a07 1f43");
    assert!(out.windows(send.len()).any(|part| part == send));
    assert_eq!(out[out.len() - 8..], [0; 8]);
}
