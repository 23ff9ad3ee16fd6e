//! Random and oversized messages and datagrams from peers.

use super::*;
use crate::fleet::message::{self, DatagramError};
use proptest::prelude::*;

fn largest(changes: Vec<Change>) -> Vec<DistributionMessage> {
    let version = Version { fence: u64::MAX, sequence: u64::MAX };
    let proposal = Proposal { fence: u64::MAX, after: version, changes: changes.clone() };
    let page = Page {
        start: u64::MAX,
        after: u64::MAX,
        upto: u64::MAX,
        head: version,
        since: u64::MAX,
        digest: u64::MAX,
        publishes: u64::MAX,
        age_ms: u32::MAX,
        steps: vec![u64::MAX; changes.len()],
        changes,
    };
    let accepted = Some((u64::MAX, proposal.clone()));
    vec![
        DistributionMessage::Page(page),
        DistributionMessage::Promise { fence: u64::MAX, version, recovered: true, accepted },
        DistributionMessage::Accept { fence: u64::MAX, proposal },
        DistributionMessage::Report(ChildReport {
            interest: zone_interest(&(0..=255).collect::<Vec<_>>()),
            version,
            digest: u64::MAX,
            staged: Some(Progress { start: u64::MAX, begun: u64::MAX, upto: u64::MAX }),
        }),
    ]
}

#[test]
fn the_largest_message_fits_into_a_datagram_and_is_decoded_unchanged() {
    let room = PAGE_BYTES - class("", "").size();
    let changes = vec![class("n", &"x".repeat(room - 3))];
    assert!(changes[0].size() >= PAGE_BYTES - 2, "{}", changes[0].size());
    let from = ProcessId { index: u32::MAX, incarnation: u64::MAX };
    for message in largest(changes) {
        let bytes = datagram(FLEET_ID, from, std::slice::from_ref(&message));
        assert!(bytes.len() <= message::LARGEST, "{}", bytes.len());
        assert_eq!(read(FLEET_ID, &bytes), Ok((from, vec![message])));
        assert_eq!(read(FLEET_ID + 1, &bytes), Err(DatagramError::Fleet));
        let mut earlier = bytes[..bytes.len() - 4].to_vec();
        earlier[3] = 2;
        earlier.extend(crc32fast::hash(&earlier).to_be_bytes());
        assert_eq!(read(FLEET_ID, &earlier), Err(DatagramError::Version));
    }
}

#[test]
fn oversized_datagrams_are_rejected() {
    let message = DistributionMessage::Prepare { fence: 1 };
    let bytes = datagram(FLEET_ID, ProcessId { index: 0, incarnation: 0 }, &vec![message; 1_000]);
    assert!(bytes.len() > message::LARGEST);
    assert_eq!(read(FLEET_ID, &bytes), Err(DatagramError::Malformed));
}

fn any_version() -> impl Strategy<Value = Version> {
    let number = || prop_oneof![0u64..6, Just(10), Just(u64::MAX), any::<u64>()];
    (number(), number()).prop_map(|(fence, sequence)| Version { fence, sequence })
}

fn any_change() -> impl Strategy<Value = Change> {
    let key = prop_oneof![
        Just(Key::Complete),
        (0u64..3).prop_map(Key::Worker),
        (0u8..3).prop_map(|name| Key::Class(name.to_string())),
    ];
    let value = prop_oneof![
        Just(None),
        Just(Some(Value::Complete)),
        Just(Some(Value::Class("bad".into()))),
        Just(worker(1, 0, 3).value),
    ];
    (0u16..4, key, value).prop_map(|(topic, key, value)| Change { topic: Topic(topic), key, value })
}

fn any_message() -> impl Strategy<Value = DistributionMessage> {
    let number = || prop_oneof![0u64..6, Just(10), Just(u64::MAX), any::<u64>()];
    let changes = || prop::collection::vec(any_change(), 0..4);
    let interest = prop_oneof![
        Just(Interest::All),
        prop::collection::vec((0u16..600).prop_map(Topic), 0..400).prop_map(Interest::Topics),
    ];
    let staged = prop::option::of((number(), number(), number()))
        .prop_map(|staged| staged.map(|(start, begun, upto)| Progress { start, begun, upto }));
    let proposal = || {
        (number(), any_version(), changes()).prop_map(|(fence, after, changes)| Proposal {
            fence,
            after,
            changes,
        })
    };
    let page = ((number(), number(), number()), any_version(), number(), number(), any::<u32>(), changes())
        .prop_map(|((start, after, upto), head, since, digest, age_ms, changes)| {
            let publishes = since;
            let steps = vec![1 + since % 3; changes.len() + usize::from(since % 7 == 6)];
            DistributionMessage::Page(Page {
                start,
                after,
                upto,
                head,
                since,
                digest,
                publishes,
                age_ms,
                changes,
                steps,
            })
        });
    prop_oneof![
        (interest, any_version(), number(), staged).prop_map(|(interest, version, digest, staged)| {
            DistributionMessage::Report(ChildReport { interest, version, digest, staged })
        }),
        page,
        number().prop_map(|fence| DistributionMessage::Prepare { fence }),
        (number(), any_version(), any::<bool>(), prop::option::of((number(), proposal()))).prop_map(
            |(fence, version, recovered, accepted)| DistributionMessage::Promise {
                fence,
                version,
                recovered,
                accepted
            }
        ),
        (number(), proposal()).prop_map(|(fence, proposal)| DistributionMessage::Accept { fence, proposal }),
        (number(), number()).prop_map(|(fence, after)| DistributionMessage::Accepted { fence, after }),
        (number(), any_version())
            .prop_map(|(promised, version)| DistributionMessage::Rejected { promised, version }),
    ]
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// No message from any sender at any time causes a panic, and a stranger changes nothing.
    #[test]
    fn random_messages_cause_no_panic_and_strangers_change_nothing(
        events in prop::collection::vec((any_message(), 0usize..5, 0u64..70), 1..60),
        trusted in any::<bool>(),
    ) {
        let mut domain = Domain::new(1, 3, 1, vec![Interest::All]);
        let publisher = domain.replicas[0];
        domain.elect(publisher, 600_000);
        domain.run_ms(50);
        domain.publish(publisher, vec![worker(1, 0, 1), class("1", "x"), completion()]);
        domain.run_ms(1_500);
        let before = domain.version(publisher);
        for (message, at, ms) in events {
            let at = domain.all()[at];
            let from = if trusted { domain.all()[(ms % 4) as usize] } else { address(100 + ms as usize) };
            let messages = [message];
            domain.net.with_process(at, |host, now| host.handle(now, DistributionInput::Received { from, messages: &messages }));
            domain.run_ms(ms * ms);
        }
        if !trusted {
            for at in domain.all() {
                prop_assert_eq!(domain.version(at), before);
            }
            prop_assert!(domain.status(publisher).publisher.is_some());
            // A relay that probes another parent is also a child of that one, for three seconds per minute.
            let children = |domain: &mut Domain| {
                domain.run_ms(1_000);
                domain.all().iter().map(|at| domain.status(*at).children).sum::<usize>()
            };
            domain.run_ms(3_000);
            let fewest = (0..10).map(|_| children(&mut domain)).min();
            prop_assert_eq!(fewest, Some(4), "two replicas, a relay and its child: strangers are removed");
        }
    }

    #[test]
    fn random_bytes_are_rejected_without_a_panic(noise in prop::collection::vec(any::<u8>(), 0..1_400)) {
        prop_assert!(read(FLEET_ID, &noise).is_err());
        let mut framed = vec![];
        framed.extend(b"mgf");
        framed.push(message::VERSION);
        framed.extend(FLEET_ID.to_be_bytes());
        framed.extend(noise);
        framed.extend(crc32fast::hash(&framed).to_be_bytes());
        let _ = read(FLEET_ID, &framed);
    }
}
