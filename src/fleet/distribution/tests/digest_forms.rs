//! Digests are compared between processes, so that all program versions must compute the same ones.

use super::super::log::Log;
use super::*;

/// Changes of every kind, with a record that is changed, one that is removed, and one that moves to another zone.
fn sample_log() -> Log {
    let mut log = Log::default();
    log.commit(3, [worker(1, 0, 1_000), worker(2, 1, 500), worker(3, 1, 500), class("chat", "{}")]);
    log.commit(4, [worker(2, 1, 700), removal(3, 1), removal(1, 0), worker(1, 2, 1_000), completion()]);
    log
}

#[test]
fn digests_of_a_log_stay_the_same() {
    let log = sample_log();
    assert_eq!(log.version(), Version { fence: 4, sequence: 9 });
    let cases = [
        ("all", Interest::All, 0xaf98_4d72_e967_18f7),
        ("a zone", zone_interest(&[1]), 0x28bf_37e8_ad95_507c),
        ("a zone without workers", zone_interest(&[0]), 0xe65a_4b7f_e860_094e),
        ("settings alone", zone_interest(&[]), 0xe65a_4b7f_e860_094e),
    ];
    for (name, interest, digest) in cases {
        assert_eq!(log.digest_of(&interest), digest, "{name}: {:#x}", log.digest_of(&interest));
    }
    assert_eq!((Log::default().digest(), log.digest()), (0, 0xaf98_4d72_e967_18f7));
}

/// The content of a page, and the size counted for it.
#[test]
fn parts_of_a_log_stay_the_same() {
    let part = sample_log().part(&Interest::All, 0, 0);
    let changes = [
        class("chat", "{}"),
        worker(2, 1, 700),
        removal(3, 1),
        removal(1, 0),
        worker(1, 2, 1_000),
        completion(),
    ];
    assert_eq!(part.changes, changes);
    assert_eq!((part.upto, part.steps, part.bytes), (9, vec![4, 1, 1, 1, 1, 1], 68));
}
