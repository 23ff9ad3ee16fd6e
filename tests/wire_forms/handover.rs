//! What an old and a new process of one scheduler say to each other.

use mintgate::handover::message::{Message, TransferredState, TransferredWorker, VERSION, read, write};
use mintgate::{CellId, Duration, KindId, Member, State, Timestamp, WorkerId, ZoneId};

fn known() -> TransferredState {
    let member = Member {
        worker: WorkerId(900),
        zone: ZoneId(3),
        cell: CellId(515),
        state: State::Draining,
        weight: 1.5,
        started: Some(Timestamp(1_700_000_000_000_000_000)),
        kind: KindId(1),
    };
    let plain = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
    TransferredState {
        version: VERSION,
        now: Some(5),
        name: "n0".into(),
        offset: 41,
        workers: vec![
            TransferredWorker::of(&member, "10.1.2.3:7000".parse().unwrap(), Some(Duration(6))),
            TransferredWorker::of(&plain, "[::1]:80".parse().unwrap(), None),
        ],
        event_sums: vec![(40, 1), (41, u64::MAX)],
        cordoned: vec![900],
        uncordoned_at: vec![(1, 2)],
        load_times: vec![3],
        accept_times: vec![4],
        called_functions: vec![0x7f],
        used_references: vec![],
        descriptors: 12,
    }
}

#[test]
fn handover_messages_keep_their_bytes() {
    let untimed = TransferredState { version: VERSION, ..TransferredState::default() };
    let cases = [
        (Message::Hello { version: VERSION, name: "n0".into() }, r#"{"hello":{"version":1,"name":"n0"}}"#),
        (
            Message::State(Box::new(known())),
            r#"{"state":{"version":1,"now":5,"name":"n0","offset":41,"list":[{"id":900,"address":"10.1.2.3:7000","zone":3,"kind":1,"cell":515,"draining":true,"weight":1.5,"started":1700000000000000000,"age":6},{"id":1,"address":"[::1]:80","zone":0,"kind":0,"cell":0,"draining":false,"weight":1.0,"started":null}],"events":[[40,1],[41,18446744073709551615]],"out":[900],"back":[[1,2]],"orders":[3],"taken":[4],"called":[127],"descriptors":12}}"#,
        ),
        (
            Message::State(Box::new(untimed)),
            r#"{"state":{"version":1,"name":"","offset":0,"list":[],"events":[],"out":[],"back":[],"orders":[],"taken":[],"called":[],"descriptors":0}}"#,
        ),
        (
            Message::State(Box::new(TransferredState {
                used_references: vec![(0x9b1f, 8)],
                ..TransferredState::default()
            })),
            r#"{"state":{"version":0,"name":"","offset":0,"list":[],"events":[],"out":[],"back":[],"orders":[],"taken":[],"called":[],"used":[[39711,8]],"descriptors":0}}"#,
        ),
        (Message::Serving, r#""serving""#),
        (
            Message::CordonChanged { worker: 900, cordoned: true, at: 7 },
            r#"{"by-hand":{"worker":900,"out":true,"at":7}}"#,
        ),
    ];
    for (message, text) in cases {
        let bytes = write(&message);
        let (length, rest) = bytes.split_first_chunk::<4>().unwrap();
        assert_eq!(str::from_utf8(rest).unwrap(), text);
        assert_eq!(u32::from_be_bytes(*length) as usize, text.len());
        assert_eq!(read(&bytes), Ok(Some((message, bytes.len()))), "{text}");
    }
    assert_eq!(VERSION, 1);
}
