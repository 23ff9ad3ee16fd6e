use super::message::{Message, TransferredState, VERSION};
use super::state::RETRY_PAUSE;
use super::*;
use crate::interface::{Duration, Timestamp};
use proptest::prelude::*;

const START_TIME: Timestamp = Timestamp(1_000_000_000);

fn hello(version: u32, name: &str) -> Message {
    Message::Hello { version, name: name.to_owned() }
}

fn state(version: u32) -> Message {
    Message::State(Box::new(TransferredState {
        version,
        name: "n0".to_owned(),
        ..TransferredState::default()
    }))
}

fn serving_state() -> HandoverState {
    let mut handover = HandoverState::new("n0");
    assert_eq!(handover.handle(START_TIME, HandoverInput::Started), [HandoverOutput::Connect]);
    assert_eq!(
        handover.handle(START_TIME, HandoverInput::NoPeer),
        [HandoverOutput::SetProcessCount(1), HandoverOutput::Serve]
    );
    handover
}

fn awaiting_state() -> HandoverState {
    let mut handover = HandoverState::new("n0");
    handover.handle(START_TIME, HandoverInput::Started);
    assert_eq!(
        handover.handle(START_TIME, HandoverInput::Connected(1)),
        [HandoverOutput::Send(1, hello(VERSION, "n0"))]
    );
    assert!(!handover.serves());
    handover
}

#[test]
fn the_new_process_serves_once_it_has_the_old_ones_state() {
    let mut handover = awaiting_state();
    let Message::State(transferred) = state(VERSION) else { return };
    let outputs =
        handover.handle(START_TIME, HandoverInput::Received(1, Message::State(transferred.clone())));
    assert_eq!(
        outputs,
        [
            HandoverOutput::TakeOver(transferred),
            HandoverOutput::SetProcessCount(2),
            HandoverOutput::Serve,
            HandoverOutput::Send(1, Message::Serving)
        ]
    );
    assert_eq!(
        handover.handle(START_TIME, HandoverInput::Disconnected(1)),
        [HandoverOutput::SetProcessCount(1)]
    );
    assert!(handover.serves());
}

/// Guards against losing cordons: a new process does not start while another runs whose state it cannot read, and starts
/// if no other process runs.
#[test]
fn a_new_process_fails_unless_it_can_read_the_old_ones_state() {
    let cases: Vec<(Vec<HandoverInput>, bool)> = vec![
        (vec![HandoverInput::Received(1, state(VERSION + 1))], true),
        (vec![HandoverInput::Malformed(1)], true),
        (vec![HandoverInput::Timeout], false),
        (vec![HandoverInput::Disconnected(1), HandoverInput::NoPeer], false),
    ];
    for (inputs, fails) in cases {
        let mut handover = awaiting_state();
        let outputs: Vec<HandoverOutput> =
            inputs.iter().flat_map(|input| handover.handle(START_TIME, input.clone())).collect();
        assert_eq!(
            outputs.iter().any(|output| matches!(output, HandoverOutput::Fail(_))),
            fails,
            "{inputs:?}"
        );
        assert_eq!(
            outputs.contains(&HandoverOutput::Serve),
            inputs.contains(&HandoverInput::NoPeer),
            "{inputs:?}"
        );
    }
    let mut silent = awaiting_state();
    assert_eq!(silent.next_timeout(), Some(START_TIME + STATE_TIMEOUT));
    assert!(matches!(
        silent.handle(START_TIME + STATE_TIMEOUT, HandoverInput::Timeout)[..],
        [HandoverOutput::Fail(_)]
    ));
    // The connection is lost: the new process connects again, until the time for the state has passed.
    let mut disconnected = awaiting_state();
    assert_eq!(disconnected.handle(START_TIME, HandoverInput::Disconnected(1)), []);
    assert_eq!(
        disconnected.handle(START_TIME + RETRY_PAUSE, HandoverInput::Timeout),
        [HandoverOutput::Connect]
    );
    disconnected.handle(START_TIME + RETRY_PAUSE, HandoverInput::Connected(2));
    assert!(matches!(
        disconnected.handle(START_TIME + STATE_TIMEOUT, HandoverInput::Timeout)[..],
        [HandoverOutput::Fail(_)]
    ));
}

#[test]
fn the_old_process_stops_listening_only_while_a_new_one_listens() {
    let mut handover = serving_state();
    let other = handover.handle(START_TIME, HandoverInput::Received(5, hello(VERSION + 1, "n0")));
    assert!(matches!(other[..], [HandoverOutput::Disconnect(5, _)]));
    assert_eq!(
        handover.handle(START_TIME, HandoverInput::Received(6, hello(VERSION, "n0"))),
        [HandoverOutput::SetProcessCount(2), HandoverOutput::SendState(6)]
    );
    assert_eq!(
        handover.handle(START_TIME, HandoverInput::Received(6, Message::Serving)),
        [HandoverOutput::SetListening(false)]
    );
    assert!(handover.yielded());
    assert_eq!(handover.handle(START_TIME, HandoverInput::ShutdownRequested), []);
    assert_eq!(
        handover.handle(START_TIME, HandoverInput::Disconnected(6)),
        [HandoverOutput::SetListening(true), HandoverOutput::SetProcessCount(1)]
    );
    // SIGTERM may arrive before the message that the new process serves.
    handover.handle(START_TIME, HandoverInput::Received(7, hello(VERSION, "n0")));
    assert_eq!(handover.handle(START_TIME, HandoverInput::ShutdownRequested), []);
    assert!(handover.yielded());
    // Of two new processes that start at the same time only one takes over.
    let mut two = serving_state();
    two.handle(START_TIME, HandoverInput::Received(6, hello(VERSION, "n0")));
    assert!(matches!(
        two.handle(START_TIME, HandoverInput::Received(7, hello(VERSION, "n0")))[..],
        [HandoverOutput::Disconnect(7, _)]
    ));
    assert_eq!(
        two.handle(START_TIME, HandoverInput::Received(6, Message::Serving)),
        [HandoverOutput::SetListening(false)]
    );
    let mut alone = serving_state();
    assert_eq!(
        alone.handle(START_TIME, HandoverInput::ShutdownRequested),
        [],
        "a planned restart: clients still connect to this process"
    );
}

#[test]
fn a_cordon_change_reaches_the_older_and_the_newer_process() {
    let mut middle = awaiting_state();
    middle.handle(START_TIME, HandoverInput::Received(1, state(VERSION)));
    middle.handle(START_TIME, HandoverInput::Received(2, hello(VERSION, "n0")));
    let message = Message::CordonChanged { worker: 7, cordoned: true, at: START_TIME.0 };
    assert_eq!(
        middle.handle(START_TIME, HandoverInput::CordonChanged { worker: 7, cordoned: true }),
        [HandoverOutput::Send(1, message.clone()), HandoverOutput::Send(2, message.clone())]
    );
    assert_eq!(
        middle.handle(START_TIME, HandoverInput::Received(1, message.clone())),
        [
            HandoverOutput::CordonChanged { worker: 7, cordoned: true },
            HandoverOutput::Send(2, message.clone())
        ]
    );
    assert!(
        matches!(
            serving_state().handle(START_TIME, HandoverInput::Received(9, message))[..],
            [HandoverOutput::Disconnect(9, _)]
        ),
        "an unknown peer"
    );
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// For any inputs in any order, a process starts serving at most once, never after it has failed, and accepts
    /// clients unless a newer process is connected.
    #[test]
    fn some_process_listens_at_any_time(picks in prop::collection::vec((0u8..12, 1u64..4, 0u64..3), 0..60)) {
        let (mut handover, mut now) = (HandoverState::new("n0"), START_TIME);
        handover.handle(now, HandoverInput::Started);
        let (mut listens, mut served, mut failed, mut newer) = (false, 0, false, 0usize);
        for (kind, peer, later) in picks {
            now = now + Duration::millis(later * 900);
            let input = match kind {
                0 => [HandoverInput::NoPeer, HandoverInput::ConnectFailed][peer as usize % 2].clone(),
                1 => HandoverInput::Connected(peer),
                2 => HandoverInput::Received(peer, hello(VERSION, "n0")),
                3 => HandoverInput::Received(peer, state(VERSION)),
                4 | 5 => HandoverInput::Received(peer, Message::Serving),
                6 => HandoverInput::Malformed(peer),
                7 | 8 => HandoverInput::Disconnected(peer),
                9 => HandoverInput::CordonChanged { worker: peer, cordoned: true },
                10 => HandoverInput::ShutdownRequested,
                _ => HandoverInput::Timeout,
            };
            for output in handover.handle(now, input) {
                match output {
                    HandoverOutput::Serve => {
                        prop_assert!(!failed);
                        served += 1;
                        listens = true;
                    }
                    HandoverOutput::SetListening(open) => {
                        prop_assert!(listens != open);
                        listens = open;
                    }
                    HandoverOutput::Fail(_) => failed = true,
                    HandoverOutput::SetProcessCount(count) => newer = count - 1,
                    _ => {}
                }
            }
            prop_assert!(served <= 1 && handover.serves() == (served == 1));
            prop_assert!(listens || served == 0 || newer > 0, "no process accepts clients");
        }
    }
}
