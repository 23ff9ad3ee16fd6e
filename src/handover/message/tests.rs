use super::*;
use crate::interface::{Member, Timestamp, WorkerId};

#[test]
fn a_message_is_read_only_once_it_is_complete() {
    let member =
        Member { worker: WorkerId(7), started: Some(Timestamp(5)), weight: 0.1, ..Member::default() };
    let transferred = TransferredState {
        version: VERSION,
        workers: vec![TransferredWorker::of(&member, "127.0.0.1:9".parse().unwrap(), None)],
        cordoned: vec![7],
        uncordoned_at: vec![(8, 9)],
        ..TransferredState::default()
    };
    let cases = [
        Message::Hello { version: 1, name: "n0".to_owned() },
        Message::State(Box::new(transferred)),
        Message::Serving,
        Message::CordonChanged { worker: 7, cordoned: true, at: 3 },
    ];
    for message in cases {
        let bytes = write(&message);
        for cut in 0..bytes.len() {
            assert_eq!(read(&bytes[..cut]), Ok(None), "{message:?} cut at {cut}");
        }
        assert_eq!(read(&bytes), Ok(Some((message, bytes.len()))));
    }
    assert_eq!(TransferredWorker::of(&member, "127.0.0.1:9".parse().unwrap(), None).member(), member);
}

#[test]
fn wrong_lengths_and_other_versions_are_rejected() {
    let framed = |text: &str| [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat();
    let cases = [
        vec![0, 0, 0, 0],
        vec![255, 255, 255, 255],
        vec![0, 128, 0, 1],
        framed("{}"),
        framed("nonsense"),
        framed(r#"{"farewell":{}}"#),
        framed(r#"{"hello":{"version":-1,"name":""}}"#),
        framed(r#"{"state":{"version":1}}"#),
    ];
    for bytes in cases {
        assert!(read(&bytes).is_err(), "{bytes:?}");
    }
    let mut encoded = write(&Message::Serving);
    encoded[3] -= 1;
    assert!(read(&encoded).is_err(), "a length one too small");
    encoded[3] += 2;
    assert_eq!(read(&encoded), Ok(None), "a length one too large: the message is incomplete");
}
