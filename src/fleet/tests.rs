//! A few nodes on a perfect link, and what they make of datagrams that are odd.

use super::gossip::{GossipEntry, GossipStore, GossipTopic, GossipUpdate, MAX_AGE};
use super::lease::{LeaseConfig, LeaseMessage};
use super::membership::IdentityQuery;
use super::message::{Datagram, DatagramError};
use super::*;
use crate::interface::{Duration, Task, Timestamp};
use proptest::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;

const MS: fn(u64) -> Timestamp = |ms| Timestamp(1_000_000_000_000 + ms * 1_000_000);
const TERM: Duration = Duration::millis(1_000);

fn place(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + n))
}

fn config(index: u32, incarnation: u64, at: u16) -> FleetConfig {
    let acceptors = vec![0, 1, 2];
    FleetConfig {
        process: Process { index, incarnation },
        generation: incarnation,
        address: place(at),
        fleet_hash: 7,
        acceptors: acceptors.iter().map(|n| (*n, place(*n as u16))).collect(),
        address_overrides: Default::default(),
        lease: LeaseConfig::new(acceptors, TERM, TERM, 1_000),
        delay: Duration::millis(20),
        size: 4,
        parts: 1,
        shed_latency_objective: Some(Duration::millis(1_000)),
        publishes: false,
        fence_floor: 0,
        seed: incarnation,
    }
}

/// Machines at their places, a millisecond apart.
struct Net {
    now: u64,
    nodes: Vec<(SocketAddr, FleetNode)>,
    seen: Vec<(SocketAddr, FleetOutput)>,
    /// All that was sent, if it is to be kept: from, to, and what.
    kept: Vec<(SocketAddr, SocketAddr, Vec<u8>)>,
    keeps: bool,
    /// How far the clocks of processes are ahead, in milliseconds, by place.
    ahead: std::collections::BTreeMap<SocketAddr, u64>,
}

impl Net {
    fn new(configs: Vec<FleetConfig>) -> Net {
        let nodes = configs.into_iter().map(|s| (s.address, FleetNode::new(MS(0), s))).collect();
        Net { now: 0, nodes, seen: vec![], kept: vec![], keeps: false, ahead: Default::default() }
    }

    /// What a process takes the time to be.
    fn at(&self, place: SocketAddr) -> Timestamp {
        MS(self.now + self.ahead.get(&place).copied().unwrap_or(0))
    }

    fn give(&mut self, to: SocketAddr, event: FleetInput) {
        let now = self.at(to);
        let Some((_, node)) = self.nodes.iter_mut().find(|(at, _)| *at == to) else { return };
        let all = node.handle(now, event).into_iter().map(|what| (to, what)).collect();
        self.carry(all);
    }

    /// Carries out what nodes want, and what comes of that.
    fn carry(&mut self, mut all: Vec<(SocketAddr, FleetOutput)>) {
        let mut waiting: VecDeque<(SocketAddr, SocketAddr, Vec<u8>)> = VecDeque::new();
        loop {
            for (at, what) in all.drain(..) {
                match what {
                    FleetOutput::Send(to, bytes) => waiting.push_back((at, to, bytes)),
                    other => self.seen.push((at, other)),
                }
            }
            let Some((from, to, bytes)) = waiting.pop_front() else { return };
            if self.keeps {
                self.kept.push((from, to, bytes.clone()));
            }
            let now = self.at(to);
            if let Some((_, node)) = self.nodes.iter_mut().find(|(at, _)| *at == to) {
                let out = node.handle(now, FleetInput::Datagram(&bytes, from));
                all.extend(out.into_iter().map(|what| (to, what)));
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            for at in self.nodes.iter().map(|(at, _)| *at).collect::<Vec<_>>() {
                self.give(at, FleetInput::Timer);
            }
        }
    }

    fn holders(&self) -> Vec<SocketAddr> {
        let holds =
            |(at, node): &&(SocketAddr, FleetNode)| node.holds(self.at(*at), Task::Probe, 0).is_some();
        self.nodes.iter().filter(holds).map(|(at, _)| *at).collect()
    }
}

#[test]
fn one_holds_a_task_and_gives_it_back_when_it_leaves() {
    let mut net = Net::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    net.pass(900);
    assert!(net.holders().is_empty(), "electors that have started are mute for a term");
    net.pass(1_500);
    let [first] = net.holders()[..] else { panic!("{:?}", net.holders()) };
    net.pass(20 * TERM.0 / 1_000_000);
    let [holder] = net.holders()[..] else { panic!("{:?}", net.holders()) };
    net.give(holder, FleetInput::Leave);
    net.pass(200);
    let [next] = net.holders()[..] else { panic!("no other, though it was given back") };
    assert_ne!(next, holder);
    let fences: Vec<u64> = net
        .seen
        .iter()
        .filter_map(|(_, what)| match what {
            FleetOutput::LeaseChanged(_, _, Some(grant)) => Some(grant.fence),
            _ => None,
        })
        .collect();
    assert!(fences.is_sorted(), "{fences:?}");
    assert!(first == holder || fences.first() < fences.last());
}

/// A process comes back after its place was given to another one under the same index: it does nothing any more.
#[test]
fn of_two_processes_with_one_index_the_earlier_steps_back() {
    let mut configs: Vec<FleetConfig> = (0..4).map(|n| config(n, 10 + u64::from(n), n as u16)).collect();
    let twin = config(3, 50, 9);
    configs.push(twin);
    let mut net = Net::new(configs);
    net.pass(6_000);
    let out = |what: &(SocketAddr, FleetOutput)| what.1 == FleetOutput::DuplicateIdentity;
    let doubles: Vec<SocketAddr> = net.seen.iter().filter(|what| out(what)).map(|(at, _)| *at).collect();
    assert_eq!(doubles, [place(3)], "and not the later one");
    assert_eq!(net.holders().len(), 1);
}

/// A clock that was set back makes a process that starts anew look older than its place's last one.
#[test]
fn a_process_that_looks_older_than_the_one_before_is_taken_in() {
    let mut net = Net::new((0..3).map(|n| config(n, 1_000 + u64::from(n), n as u16)).collect());
    net.pass(2_000);
    let again = FleetNode::new(MS(net.now), config(2, 5, 2));
    net.nodes[2].1 = again;
    net.pass(5_000);
    assert!(net.nodes.iter().all(|(_, node)| node.members().count() == 2));
    assert!(!net.seen.iter().any(|(_, what)| *what == FleetOutput::DuplicateIdentity));
}

#[test]
fn odd_datagrams_change_nothing() {
    let mut net = Net::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    // Until it is held by whom it is meant for.
    net.pass(9_000);
    let [holder] = net.holders()[..] else { panic!("{:?}", net.holders()) };
    let ballot = lease::Ballot { counter: 1 << 40, process: Process { index: 1, incarnation: 99 } };
    let all = Datagram {
        from: ballot.process,
        leases: vec![(lease::LeaseId(0), LeaseMessage::Granted(ballot, 1))],
        swim: vec![],
        who: Some(IdentityQuery::Known(ballot.process, 3, true)),
        gossip: vec![GossipEntry {
            topic: GossipTopic::Worker(1),
            update: GossipUpdate::Answers(false),
            age_ms: u32::MAX,
        }],
        distribution: vec![],
    };
    let whole = message::write(7, &all);
    assert_eq!(message::read(7, &whole), Ok(all.clone()));
    for cut in 0..whole.len() {
        assert_eq!(message::read(7, &whole[..cut]), Err(DatagramError::Malformed), "cut at {cut}");
        let mut changed = whole.clone();
        changed[cut] ^= 0x20;
        assert!(message::read(7, &changed).is_err(), "changed at {cut}");
    }
    assert_eq!(message::read(8, &whole), Err(DatagramError::Fleet));
    let mut later = whole[..whole.len() - 4].to_vec();
    later[3] += 1;
    later.extend(crc32fast::hash(&later).to_be_bytes());
    assert_eq!(message::read(7, &later), Err(DatagramError::Version));
    // Whole, and from a stranger: no elector's word counts that does not come from where the elector is; nor does
    // news that is too old, a lease that no task has, or somebody else's release.
    let release = LeaseMessage::Release(lease::Ballot { counter: u64::MAX, process: ballot.process });
    let strange = Datagram {
        leases: vec![
            (lease::LeaseId(9_999), LeaseMessage::Prepare(ballot)),
            (lease::LeaseId(0), release),
            (lease::LeaseId(0), LeaseMessage::Floor(u64::MAX, true)),
        ],
        ..all
    };
    let stranger = place(77);
    for bytes in [whole, message::write(7, &strange), vec![], b"mgf".to_vec(), vec![0xff; 2_000]] {
        for at in net.nodes.iter().map(|(at, _)| *at).collect::<Vec<_>>() {
            for (_, node) in net.nodes.iter_mut().filter(|(other, _)| *other == at) {
                let out = node.handle(MS(net.now), FleetInput::Datagram(&bytes, stranger));
                assert!(
                    !out.iter().any(|what| matches!(
                        what,
                        FleetOutput::LeaseChanged(..) | FleetOutput::Received(..)
                    )),
                    "{out:?}"
                );
            }
        }
    }
    net.pass(3_000);
    assert_eq!(net.holders(), [holder], "it holds on");
}

#[test]
fn news_is_told_with_its_age_and_the_youngest_counts() {
    let (mut news, delay) = (GossipStore::default(), Duration::millis(50));
    let (one, gone) = (GossipTopic::Worker(1), GossipUpdate::Answers(false));
    let item = |update, age_ms| GossipEntry { topic: one, update, age_ms };
    assert_eq!(
        news.receive(MS(1_000), item(gone, 300), delay),
        Some(MS(650)),
        "older by what the link may take"
    );
    assert_eq!(
        news.receive(MS(1_000), item(GossipUpdate::Answers(true), 400), delay),
        None,
        "older than what is known"
    );
    assert_eq!(news.entries_to_send(MS(1_100), 2, 2), [item(gone, 450)], "its age goes on");
    assert_eq!(news.known(MS(1_100), one), Some((gone, MS(650))));
    news.observe(MS(1_200), one, GossipUpdate::Answers(true));
    assert_eq!(
        news.entries_to_send(MS(1_200), 2, 2),
        [item(GossipUpdate::Answers(true), 0)],
        "told anew, for it is another word"
    );
    assert_eq!(news.receive(MS(1_300), item(gone, u32::MAX), delay), None, "too old to be true still");
    for _ in 0..9 {
        news.entries_to_send(MS(1_300), 2, 2);
    }
    assert!(news.entries_to_send(MS(1_300), 2, 2).is_empty(), "nothing is told for ever");
    assert!(news.known(MS(1_200) + MAX_AGE + Duration::millis(1), one).is_none());
    for n in 0..10_000 {
        news.observe(MS(2_000 + n), GossipTopic::Worker(n), gone);
    }
    assert_eq!(news.len(), 4_096, "bounded");
    assert!(
        news.known(MS(12_000), GossipTopic::Worker(9_999)).is_some()
            && news.known(MS(12_000), GossipTopic::Worker(0)).is_none()
    );
}

proptest! {
    #![proptest_config(crate::drawn())]

    /// Whatever comes, in any order: no crash, and no lease that this process did not win.
    #[test]
    fn noise_wins_no_lease(
        packets in prop::collection::vec((0u8..6, any::<u64>(), 0u32..4, 0u64..40, prop::collection::vec(any::<u8>(), 0..60)), 1..60)
    ) {
        let mut node = FleetNode::new(MS(0), config(1, 11, 1));
        let mut now = 0;
        for (kind, counter, index, ms, noise) in packets {
            now += ms * ms;
            let process = Process { index, incarnation: counter % 3 };
            let ballot = lease::Ballot { counter, process: Process { index: 1, incarnation: 11 } };
            let message = match kind {
                0 => LeaseMessage::Promise(ballot),
                1 => LeaseMessage::Granted(ballot, counter as u32),
                2 => LeaseMessage::Held(ballot, counter),
                3 => LeaseMessage::Behind(ballot, counter),
                4 => LeaseMessage::Floor(counter, true),
                _ => LeaseMessage::Propose(lease::Ballot { counter, process }, 1),
            };
            let gossip = vec![GossipEntry { topic: GossipTopic::Worker(counter), update: GossipUpdate::Answers(true), age_ms: index }];
            let datagram = Datagram { from: process, leases: vec![(lease::LeaseId(0), message)], swim: noise.clone(), who: Some(IdentityQuery::Ask), gossip, distribution: vec![] };
            let bytes = message::write(7, &datagram);
            // From a stranger, so that no elector has spoken.
            let out = node.handle(MS(now), FleetInput::Datagram(&bytes, place(50)));
            prop_assert!(!out.iter().any(|what| matches!(what, FleetOutput::LeaseChanged(..))), "{:?}", out);
            node.handle(MS(now), FleetInput::Datagram(&noise, place(0)));
            node.handle(MS(now), FleetInput::Timer);
            prop_assert!(node.holds(MS(now), Task::Probe, 0).is_none());
        }
    }
}

/// Guards that who is away for less than a restart takes is not taken for gone, and who stays away is.
#[test]
fn a_process_that_stays_away_is_gone_after_a_term() {
    let mut net = Net::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    net.pass(5_000);
    let gone = |net: &Net| {
        let of = |(at, what): &(SocketAddr, FleetOutput)| match what {
            FleetOutput::Gone(gone) if *at == place(0) => Some(gone.iter().copied().collect::<Vec<u32>>()),
            _ => None,
        };
        net.seen.iter().filter_map(of).collect::<Vec<_>>()
    };
    assert_eq!(gone(&net), [vec![3]], "the fourth was never there");
    let node = net.nodes.pop().unwrap();
    net.pass(10_000);
    assert_eq!(gone(&net), [vec![3], vec![2, 3]]);
    net.nodes.push(node);
    net.pass(5_000);
    assert_eq!(gone(&net), [vec![3], vec![2, 3], vec![3]]);
}

/// Everything that was ever sent comes once more after its senders were started anew: no grant of an earlier
/// incarnation counts, no fence falls, and two never hold.
#[test]
fn what_earlier_incarnations_have_sent_counts_for_nothing_when_it_is_replayed() {
    let mut net = Net::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    net.keeps = true;
    net.pass(6_000);
    let fence = |net: &Net| {
        let held = net.seen.iter().rev().find_map(|(_, what)| match what {
            FleetOutput::LeaseChanged(Task::Probe, 0, Some(grant)) => Some(grant.fence),
            _ => None,
        });
        held.unwrap()
    };
    let before = fence(&net);
    let kept = std::mem::take(&mut net.kept);
    net.keeps = false;
    for n in 0..3 {
        let again = FleetConfig { fence_floor: net.now, ..config(n as u32, 7_000 + n, n as u16) };
        net.nodes[n as usize].1 = FleetNode::new(MS(net.now), again);
    }
    let mut replayed = kept.iter().cycle();
    for _ in 0..2_000 {
        net.pass(1);
        for (from, to, bytes) in replayed.by_ref().take(3) {
            let Some((_, node)) = net.nodes.iter_mut().find(|(at, _)| at == to) else { continue };
            let out = node.handle(MS(net.now), FleetInput::Datagram(bytes, *from));
            let sends = out.into_iter().map(|what| (*to, what));
            let all: Vec<_> = sends.collect();
            net.carry(all);
        }
        assert!(net.holders().len() < 2, "at {} ms", net.now);
    }
    net.pass(4_000);
    assert_eq!(net.holders().len(), 1);
    assert!(fence(&net) > before, "{before} and {}", fence(&net));
}

/// The same where the earlier one has long been a member when the later one comes, whatever their distance.
#[test]
fn a_later_process_takes_the_place_of_an_established_one() {
    for (first, second, later) in
        [(0, 6_000, 5_000), (2_000, 2_000, 12), (300, 900, 1 << 60), (5_000, 50, 12)]
    {
        let mut net = Net::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
        net.pass(first);
        net.nodes.push((place(8), FleetNode::new(MS(net.now), config(3, 11, 8))));
        net.pass(second);
        net.nodes.push((place(9), FleetNode::new(MS(net.now), config(3, later, 9))));
        net.pass(6_000);
        let out = |what: &(SocketAddr, FleetOutput)| what.1 == FleetOutput::DuplicateIdentity;
        let doubles: Vec<SocketAddr> = net.seen.iter().filter(|what| out(what)).map(|(at, _)| *at).collect();
        assert_eq!(doubles, [place(8)], "{first} {second} {later}");
    }
}

/// Processes whose clocks are hours apart, one of which is started anew with its clock set back, then forth: none of
/// it counts, for terms are counted by each for itself, and a start asks how far fences have come.
#[test]
fn clocks_that_are_hours_apart_and_set_back_and_forth_change_nothing() {
    const HOUR: u64 = 3_600_000;
    let mut net = Net::new(vec![]);
    let start = |net: &mut Net, n: u16, incarnation: u64, ahead: u64| {
        net.nodes.retain(|(at, _)| *at != place(n));
        net.ahead.insert(place(n), ahead);
        let now = net.at(place(n));
        let (generation, fence_floor) = (now.0 / 1_000, now.0 / 1_000_000);
        let config = FleetConfig { generation, fence_floor, ..config(u32::from(n), incarnation, n) };
        net.nodes.push((place(n), FleetNode::new(now, config)));
    };
    for n in 0..3 {
        start(&mut net, n, 10 + u64::from(n), 10 * HOUR + u64::from(n) * 3 * HOUR);
    }
    net.pass(6_000);
    for (n, ahead) in [(2, 0), (0, 90 * HOUR), (1, HOUR)] {
        start(&mut net, n, 100 + u64::from(n), ahead);
        for _ in 0..6_000 {
            net.pass(1);
            assert!(net.holders().len() < 2);
        }
        assert_eq!(net.holders().len(), 1, "after {n} came back");
        assert!(net.nodes.iter().all(|(_, node)| node.members().count() == 2));
    }
    let fences: Vec<u64> = net
        .seen
        .iter()
        .filter_map(|(_, what)| match what {
            FleetOutput::LeaseChanged(Task::Probe, 0, Some(grant)) => Some(grant.fence),
            _ => None,
        })
        .collect();
    assert!(fences.is_sorted() && fences.first() < fences.last(), "{fences:?}");
    assert!(!net.seen.iter().any(|(_, what)| *what == FleetOutput::DuplicateIdentity));
}

/// What one is told to let in, all are, under the controller's fence; when it ends another goes on, under a later one; and
/// where all but one are gone, that one has no word to follow any more.
#[test]
fn all_let_in_what_the_governor_says_and_each_for_itself_where_there_is_none() {
    let mut net = Net::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    let governs = |net: &Net| {
        let governs =
            |(at, node): &&(SocketAddr, FleetNode)| node.holds(net.at(*at), Task::Shed, 0).is_some();
        net.nodes.iter().find(governs).map(|(at, _)| *at)
    };
    // One of them alone is jammed.
    let tell = |net: &mut Net, ms: u64| {
        for _ in 0..ms / 250 {
            for n in 0..3 {
                let open = if n == 2 { 120 } else { 5 };
                let demand = overload::Demand { offered: [30, 70, 0, 0], served: 50, open };
                net.give(place(n), FleetInput::Demand(demand));
            }
            net.pass(250);
        }
    };
    let words = |net: &Net, since: usize| {
        let mut words: std::collections::BTreeMap<SocketAddr, overload::AdmissionLevel> = Default::default();
        for (at, what) in &net.seen[since..] {
            if let FleetOutput::AdmissionLevel(level, _) = what {
                let before = words.insert(*at, *level);
                assert!(before.is_none_or(|before| before.fence <= level.fence), "{before:?} {level:?}");
            }
        }
        words
    };
    tell(&mut net, 6_000);
    let first = governs(&net).expect("somebody governs");
    let said = words(&net, 0);
    assert_eq!(said.len(), 3);
    assert!(said.values().all(|level| level.admit[0] == 255 && level.admit[1] < 128), "{said:?}");
    assert!(net.nodes.iter().all(|(at, node)| node.status(net.at(*at)).level.is_some()));
    let fence = said[&first].fence;
    net.nodes.retain(|(at, _)| *at != first);
    let since = net.seen.len();
    tell(&mut net, 6_000);
    let said = words(&net, since);
    assert!(governs(&net).is_some_and(|next| next != first));
    assert!(said.len() == 2 && said.values().all(|level| level.fence > fence), "{said:?}");
    net.nodes.truncate(1);
    let (alone, _) = net.nodes[0];
    tell(&mut net, 6_000);
    assert_eq!(net.nodes[0].1.status(net.at(alone)).level, None, "nobody grants, and the last word is old");
}

/// The controller hears of all within one tick, and all hear it: handed on by two members a quarter of a second, words took
/// a second through a fleet of nine, and a loop of a second and a half overshoots (`overload/tests.rs`).
#[test]
fn demand_goes_to_the_governor_and_its_word_to_all_in_one_step() {
    let mut net = Net::new((0..9).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    let tell = |net: &mut Net, open: u16| {
        let demand = overload::Demand { offered: [30, 70, 0, 0], served: 50, open };
        let places: Vec<SocketAddr> = net.nodes.iter().map(|(at, _)| *at).collect();
        places.into_iter().for_each(|at| net.give(at, FleetInput::Demand(demand)));
    };
    for _ in 0..40 {
        tell(&mut net, 5);
        net.pass(250);
    }
    let levels = |net: &Net| {
        let level = |(at, node): &(SocketAddr, FleetNode)| node.status(net.at(*at)).level;
        net.nodes.iter().map(level).collect::<Vec<_>>()
    };
    assert!(levels(&net).iter().all(Option::is_none), "nothing waits: {:?}", levels(&net));
    // All tell of a jam at once; the controller, whose turn may come first, says so with its next word.
    (0..2).for_each(|_| tell(&mut net, 200));
    let all = levels(&net);
    assert!(
        all[0].is_some_and(|level| level.admit[1] < 255) && all.iter().all(|level| *level == all[0]),
        "{all:?}"
    );
}

/// Of five processes two publish, and neither is an elector. One of them at a time holds that task, whoever comes first
/// in the order of all; it keeps it, and when it leaves or ends the other goes on, under a higher fence.
#[test]
fn only_processes_that_publish_hold_that_task_and_they_keep_it() {
    let mut configs: Vec<FleetConfig> = (0..5).map(|n| config(n, 10 + u64::from(n), n as u16)).collect();
    configs[3..].iter_mut().for_each(|config| config.publishes = true);
    let mut net = Net::new(configs.clone());
    let held = |net: &Net| {
        let held = net.nodes.iter().filter_map(|(at, node)| {
            let grant = node.holds(net.at(*at), Task::Publish, 0)?;
            Some((*at, grant.fence))
        });
        held.collect::<Vec<_>>()
    };
    let pass = |net: &mut Net, ms: u64| {
        for _ in 0..ms {
            net.pass(1);
            let held = held(net);
            assert!(
                held.len() < 2 && held.iter().all(|(at, _)| [place(3), place(4)].contains(at)),
                "{held:?}"
            );
        }
        held(net)
    };
    let first = pass(&mut net, 6_000);
    assert_eq!(first.len(), 1);
    assert_eq!(pass(&mut net, 20_000), first, "it stays where it is");
    let (holder, fence) = first[0];
    net.give(holder, FleetInput::Leave);
    let next = pass(&mut net, 1_000);
    assert!(next.len() == 1 && next[0].0 != holder && next[0].1 > fence, "{next:?}");
    // It ends without a word, and the one that left has come back.
    let back = configs.iter().position(|config| config.address == holder).unwrap();
    net.nodes.retain(|(at, _)| *at != holder && *at != next[0].0);
    let again = FleetConfig {
        process: Process { incarnation: 90, ..configs[back].process },
        generation: 90,
        ..configs[back].clone()
    };
    net.nodes.push((holder, FleetNode::new(net.at(holder), again)));
    let last = pass(&mut net, 6_000);
    assert!(last.len() == 1 && last[0].0 == holder && last[0].1 > next[0].1, "{last:?}");
    assert!(net.nodes[0].1.status(net.at(place(0))).leases.iter().all(|lease| lease.task != Task::Publish));
}
