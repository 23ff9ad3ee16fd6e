use super::*;
use proptest::prelude::*;

const NOW: Time = Time(1_000_000_000);

fn hello(version: u32, name: &str) -> Message {
    Message::Hello { version, name: name.to_owned() }
}

fn state(version: u32) -> Message {
    Message::State(Box::new(Known { version, name: "n0".to_owned(), ..Known::default() }))
}

fn serving() -> Machine {
    let mut machine = Machine::new("n0");
    assert_eq!(machine.handle(NOW, Event::Started), [Output::Meet]);
    assert_eq!(machine.handle(NOW, Event::Nobody), [Output::Share(1), Output::Serve]);
    machine
}

fn asking() -> Machine {
    let mut machine = Machine::new("n0");
    machine.handle(NOW, Event::Started);
    assert_eq!(machine.handle(NOW, Event::Met(1)), [Output::Say(1, hello(VERSION, "n0"))]);
    assert!(!machine.serves());
    machine
}

#[test]
fn the_new_one_serves_once_it_has_what_the_old_one_knows() {
    let mut machine = asking();
    let Message::State(known) = state(VERSION) else { return };
    let all = machine.handle(NOW, Event::Heard(1, Message::State(known.clone())));
    assert_eq!(
        all,
        [Output::TakeOver(known), Output::Share(2), Output::Serve, Output::Say(1, Message::Serving)]
    );
    assert_eq!(machine.handle(NOW, Event::Ended(1)), [Output::Share(1)]);
    assert!(machine.serves());
}

/// Where bans may be lost the new one does not start; where nobody is left to ask it does.
#[test]
fn a_peer_that_is_there_must_be_understood() {
    let cases: Vec<(Vec<Event>, bool)> = vec![
        (vec![Event::Heard(1, state(VERSION + 1))], true),
        (vec![Event::Malformed(1)], true),
        (vec![Event::Timer], false),
        (vec![Event::Ended(1), Event::Nobody], false),
    ];
    for (events, fails) in cases {
        let mut machine = asking();
        let all: Vec<Output> = events.iter().flat_map(|e| machine.handle(NOW, e.clone())).collect();
        assert_eq!(all.iter().any(|d| matches!(d, Output::Fail(_))), fails, "{events:?}");
        assert_eq!(all.contains(&Output::Serve), events.contains(&Event::Nobody), "{events:?}");
    }
    let mut silent = asking();
    assert_eq!(silent.due(), Some(NOW + MEET));
    assert!(matches!(silent.handle(NOW + MEET, Event::Timer)[..], [Output::Fail(_)]));
    // Broken off: it is asked again, until it is silent for good.
    let mut broken = asking();
    assert_eq!(broken.handle(NOW, Event::Ended(1)), []);
    assert_eq!(broken.handle(NOW + AGAIN, Event::Timer), [Output::Meet]);
    broken.handle(NOW + AGAIN, Event::Met(2));
    assert!(matches!(broken.handle(NOW + MEET, Event::Timer)[..], [Output::Fail(_)]));
}

#[test]
fn the_old_one_shuts_its_door_only_while_another_is_open() {
    let mut machine = serving();
    let other = machine.handle(NOW, Event::Heard(5, hello(VERSION + 1, "n0")));
    assert!(matches!(other[..], [Output::Drop(5, _)]));
    assert_eq!(
        machine.handle(NOW, Event::Heard(6, hello(VERSION, "n0"))),
        [Output::Share(2), Output::SayState(6)]
    );
    assert_eq!(machine.handle(NOW, Event::Heard(6, Message::Serving)), [Output::Door(false)]);
    assert!(machine.yielded());
    assert_eq!(machine.handle(NOW, Event::Leaving), []);
    assert_eq!(machine.handle(NOW, Event::Ended(6)), [Output::Door(true), Output::Share(1)]);
    // SIGTERM may come before the word that the new one serves.
    machine.handle(NOW, Event::Heard(7, hello(VERSION, "n0")));
    assert_eq!(machine.handle(NOW, Event::Leaving), []);
    assert!(machine.yielded());
    // Two that start at a time do not take the old one from each other.
    let mut two = serving();
    two.handle(NOW, Event::Heard(6, hello(VERSION, "n0")));
    assert!(matches!(two.handle(NOW, Event::Heard(7, hello(VERSION, "n0")))[..], [Output::Drop(7, _)]));
    assert_eq!(two.handle(NOW, Event::Heard(6, Message::Serving)), [Output::Door(false)]);
    let mut alone = serving();
    assert_eq!(alone.handle(NOW, Event::Leaving), [], "a planned restart: clients still come here");
}

#[test]
fn calls_by_hand_reach_both_and_the_one_after() {
    let mut middle = asking();
    middle.handle(NOW, Event::Heard(1, state(VERSION)));
    middle.handle(NOW, Event::Heard(2, hello(VERSION, "n0")));
    let message = Message::ByHand { worker: 7, out: true, at: NOW.0 };
    assert_eq!(
        middle.handle(NOW, Event::ByHand { worker: 7, out: true }),
        [Output::Say(1, message.clone()), Output::Say(2, message.clone())]
    );
    assert_eq!(
        middle.handle(NOW, Event::Heard(1, message.clone())),
        [Output::ByHand { worker: 7, out: true }, Output::Say(2, message.clone())]
    );
    assert!(
        matches!(serving().handle(NOW, Event::Heard(9, message))[..], [Output::Drop(9, _)]),
        "a stranger"
    );
}

proptest! {
    #![proptest_config(crate::drawn())]

    /// Whatever happens in whatever order: it serves at most once, never after it failed, and takes clients
    /// unless a younger one is there.
    #[test]
    fn one_door_is_open_at_any_time(picks in prop::collection::vec((0u8..12, 1u64..4, 0u64..3), 0..60)) {
        let (mut machine, mut now) = (Machine::new("n0"), NOW);
        machine.handle(now, Event::Started);
        let (mut door, mut served, mut failed, mut younger) = (false, 0, false, 0usize);
        for (what, peer, later) in picks {
            now = now + Span::millis(later * 900);
            let event = match what {
                0 => [Event::Nobody, Event::Unmet][peer as usize % 2].clone(),
                1 => Event::Met(peer),
                2 => Event::Heard(peer, hello(VERSION, "n0")),
                3 => Event::Heard(peer, state(VERSION)),
                4 | 5 => Event::Heard(peer, Message::Serving),
                6 => Event::Malformed(peer),
                7 | 8 => Event::Ended(peer),
                9 => Event::ByHand { worker: peer, out: true },
                10 => Event::Leaving,
                _ => Event::Timer,
            };
            for action in machine.handle(now, event) {
                match action {
                    Output::Serve => {
                        prop_assert!(!failed);
                        served += 1;
                        door = true;
                    }
                    Output::Door(open) => {
                        prop_assert!(door != open);
                        door = open;
                    }
                    Output::Fail(_) => failed = true,
                    Output::Share(count) => younger = count - 1,
                    _ => {}
                }
            }
            prop_assert!(served <= 1 && machine.serves() == (served == 1));
            prop_assert!(door || served == 0 || younger > 0, "nobody is at the door");
        }
    }
}
