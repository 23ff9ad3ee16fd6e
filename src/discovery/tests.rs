use super::*;
use proptest::prelude::*;

fn record(state: u8) -> Vec<u8> {
    let mut r = vec![0x00, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x27, 0x60, state, 2, 1, 0, 2, 0, 0, 0x0f, 0xa0];
    r.extend(5u64.to_be_bytes());
    r
}

fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    [&(9 + payload.len() as u32).to_be_bytes()[..], &41u64.to_be_bytes(), &[kind], payload].concat()
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// A list with one damaged byte is decoded, waited for or rejected, and never yields more workers than it had.
    #[test]
    fn damaged_lists_are_read_or_rejected(count in 0usize..400, at in any::<usize>(), byte in any::<u8>()) {
        let records: Vec<u8> = (0..count).flat_map(|n| record((n % 3) as u8)).collect();
        let mut bytes = frame(1, &records);
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(Some((event, size))) = read_frame(&bytes) {
            prop_assert!(size <= bytes.len());
            prop_assert!(event.is_none_or(|event| event.entries.len() <= count));
        }
    }
}

#[test]
fn frames_are_decoded() {
    let bytes = frame(2, &record(1));
    for cut in 0..bytes.len() {
        assert!(matches!(read_frame(&bytes[..cut]), Ok(None)), "{cut}");
    }
    let (event, size) = read_frame(&bytes).unwrap().unwrap();
    let event = event.unwrap();
    assert_eq!((size, event.offset, event.kind), (bytes.len(), 41, ListKind::Delta));
    let entry = &event.entries[0];
    let member = Member {
        worker: WorkerId(0x00c4_1f7a),
        zone: ZoneId(2),
        cell: CellId(2),
        state: State::Draining,
        weight: 4.0,
        started: Some(Timestamp(5_000_000)),
        kind: KindId(1),
    };
    assert_eq!((entry.member, entry.address), (member, "10.1.0.9:10080".parse().unwrap()));
    let empty = frame(0, &[]);
    assert!(matches!(read_frame(&empty), Ok(Some((None, 13)))));
    let malformed =
        [frame(3, &[]), frame(1, &record(3)), frame(1, &record(0)[..26]), vec![0; 8], vec![255; 8]];
    for bytes in malformed {
        assert!(read_frame(&bytes).is_err(), "{bytes:?}");
    }
}

/// A fleet that lost discovery at the same time does not reconnect all at once, and no scheduler waits long.
#[test]
fn reconnects_are_spread_out() {
    use rand_core::SeedableRng;
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    assert_eq!(backoff(0, &mut rng), Duration(0), "the first attempt is immediate");
    for (failures, full) in [(1, 100), (2, 200), (3, 400), (4, 400), (u32::MAX, 400)] {
        let mut pauses: Vec<u64> = (0..300).map(|_| backoff(failures, &mut rng).0 / 1_000_000).collect();
        pauses.sort_unstable();
        assert!(pauses[0] >= full / 2 && pauses[299] <= full, "{failures}: {pauses:?}");
        let most = (0..20).map(|n| {
            let from = full / 2 + full * n / 40;
            pauses.iter().filter(|pause| (from..from + full / 40 + 1).contains(pause)).count()
        });
        assert!(most.max() < Some(60), "{failures}: no tenth of the time has a fifth of the attempts");
    }
}

/// A connection has to be established within the connect timeout.
#[test]
fn a_connection_that_does_not_come_up_times_out() {
    let now = Timestamp(1_000_000_000_000);
    let connection = DiscoveryConnection::new(Rc::default(), now);
    assert_eq!(connection.deadline(), Some(now + CONNECT_TIMEOUT));
}

/// A frame that was in the socket buffer while the process was suspended does not count as received later than it
/// arrived.
#[test]
fn a_frame_read_late_counts_from_its_arrival() {
    use std::io::Write;
    let site = br#"{"fleetSize": 1, "index": 0, "classes": [], "bounds": {"mostTries": 1},
        "contract": {"coldFrom": 1, "coldNs": 1, "fallMultiple": 1, "fallNs": 1},
        "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;
    let mut core = crate::core::Core::new(crate::settings::read_site(site).unwrap(), 1);
    let mut reactor = crate::net::Reactor::new(crate::net::SystemClock::new()).unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = reactor.connect(listener.local_addr().unwrap()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    let received = Rc::new(RefCell::new(ReceivedEvents::default()));
    let limits = crate::net::BufferLimits { input: MAX_FRAME_BYTES + 4, output: 4096 };
    let connection = Box::new(DiscoveryConnection::new(received.clone(), reactor.now()));
    reactor.add(stream, connection, false, limits, &mut core).unwrap();
    for _ in 0..3 {
        reactor.poll_once(Some(reactor.after(Duration::millis(20))), &mut core).unwrap();
    }
    let empty = [&9u32.to_be_bytes()[..], &[0; 9]].concat();
    peer.write_all(&empty).unwrap();
    let written = reactor.now();
    std::thread::sleep(std::time::Duration::from_millis(150));
    while received.borrow().last_frame.is_none() {
        reactor.poll_once(None, &mut core).unwrap();
    }
    assert!(received.borrow().last_frame <= Some(written + Duration::millis(2)));
}
