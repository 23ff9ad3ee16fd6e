//! Tests of a few nodes on perfect links, and of how nodes handle invalid datagrams.

use super::gossip::{GossipEntry, GossipStore, GossipTopic, GossipUpdate, MAX_AGE};
use super::lease::{LeaseConfig, LeaseMessage};
use super::membership::IdentityQuery;
use super::message::{Datagram, DatagramError};
use super::*;
use crate::interface::{Duration, Task, Timestamp};
use proptest::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The point in time `ms` milliseconds after the nodes' start.
const AT_MS: fn(u64) -> Timestamp = |ms| Timestamp(1_000_000_000_000 + ms * 1_000_000);
const LEASE_TERM: Duration = Duration::millis(1_000);

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + n))
}

fn config(index: u32, incarnation: u64, port_offset: u16) -> FleetConfig {
    let acceptors = vec![0, 1, 2];
    FleetConfig {
        process: Process { index, incarnation },
        generation: incarnation,
        address: address(port_offset),
        fleet_hash: 7,
        acceptors: acceptors.iter().map(|n| (*n, address(*n as u16))).collect(),
        address_overrides: Default::default(),
        lease: LeaseConfig::new(acceptors, LEASE_TERM, LEASE_TERM, 1_000),
        delay: Duration::millis(20),
        size: 4,
        parts: 1,
        shed_latency_objective: Some(Duration::millis(1_000)),
        publishes: false,
        fence_floor: 0,
        seed: incarnation,
    }
}

/// Simulated network of nodes, each at its address, in steps of one millisecond.
struct Network {
    now_ms: u64,
    nodes: Vec<(SocketAddr, FleetNode)>,
    /// All outputs but datagrams, with the address of the node.
    outputs: Vec<(SocketAddr, FleetOutput)>,
    /// Sender, receiver and content of every datagram sent while `records` is set.
    recorded: Vec<(SocketAddr, SocketAddr, Vec<u8>)>,
    records: bool,
    /// How far the clocks of nodes are ahead, in milliseconds, by address.
    ahead_ms: std::collections::BTreeMap<SocketAddr, u64>,
}

impl Network {
    fn new(configs: Vec<FleetConfig>) -> Network {
        let nodes =
            configs.into_iter().map(|config| (config.address, FleetNode::new(AT_MS(0), config))).collect();
        Network {
            now_ms: 0,
            nodes,
            outputs: vec![],
            recorded: vec![],
            records: false,
            ahead_ms: Default::default(),
        }
    }

    /// The time by the clock of a node.
    fn clock(&self, address: SocketAddr) -> Timestamp {
        AT_MS(self.now_ms + self.ahead_ms.get(&address).copied().unwrap_or(0))
    }

    fn handle(&mut self, to: SocketAddr, input: FleetInput) {
        let now = self.clock(to);
        let Some((_, node)) = self.nodes.iter_mut().find(|(at, _)| *at == to) else { return };
        let outputs = node.handle(now, input).into_iter().map(|output| (to, output)).collect();
        self.deliver(outputs);
    }

    /// Delivers the datagrams among these outputs, and those that result from them; records the other outputs.
    fn deliver(&mut self, mut pending: Vec<(SocketAddr, FleetOutput)>) {
        let mut in_transit: VecDeque<(SocketAddr, SocketAddr, Vec<u8>)> = VecDeque::new();
        loop {
            for (at, output) in pending.drain(..) {
                match output {
                    FleetOutput::Send(to, bytes) => in_transit.push_back((at, to, bytes)),
                    other => self.outputs.push((at, other)),
                }
            }
            let Some((from, to, bytes)) = in_transit.pop_front() else { return };
            if self.records {
                self.recorded.push((from, to, bytes.clone()));
            }
            let now = self.clock(to);
            if let Some((_, node)) = self.nodes.iter_mut().find(|(at, _)| *at == to) {
                let out = node.handle(now, FleetInput::Datagram(&bytes, from));
                pending.extend(out.into_iter().map(|output| (to, output)));
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            for at in self.nodes.iter().map(|(at, _)| *at).collect::<Vec<_>>() {
                self.handle(at, FleetInput::Timer);
            }
        }
    }

    fn holders(&self) -> Vec<SocketAddr> {
        let holds =
            |(at, node): &&(SocketAddr, FleetNode)| node.holds(self.clock(*at), Task::Probe, 0).is_some();
        self.nodes.iter().filter(holds).map(|(at, _)| *at).collect()
    }
}

#[test]
fn one_process_holds_a_task_and_releases_it_when_it_leaves() {
    let mut network = Network::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    network.run(900);
    assert!(network.holders().is_empty(), "acceptors that have just started do not vote for a term");
    network.run(1_500);
    let [first] = network.holders()[..] else { panic!("{:?}", network.holders()) };
    network.run(20 * LEASE_TERM.0 / 1_000_000);
    let [holder] = network.holders()[..] else { panic!("{:?}", network.holders()) };
    network.handle(holder, FleetInput::Leave);
    network.run(200);
    let [next] = network.holders()[..] else { panic!("no other holder after the release") };
    assert_ne!(next, holder);
    let fences: Vec<u64> = network
        .outputs
        .iter()
        .filter_map(|(_, output)| match output {
            FleetOutput::LeaseChanged(_, _, Some(grant)) => Some(grant.fence),
            _ => None,
        })
        .collect();
    assert!(fences.is_sorted(), "{fences:?}");
    assert!(first == holder || fences.first() < fences.last());
}

/// Two processes run with the same index: the earlier one leaves the fleet and does nothing more.
#[test]
fn of_two_processes_with_one_index_the_earlier_leaves() {
    let mut configs: Vec<FleetConfig> = (0..4).map(|n| config(n, 10 + u64::from(n), n as u16)).collect();
    let duplicate = config(3, 50, 9);
    configs.push(duplicate);
    let mut network = Network::new(configs);
    network.run(6_000);
    let left = |output: &(SocketAddr, FleetOutput)| output.1 == FleetOutput::DuplicateIdentity;
    let duplicates: Vec<SocketAddr> =
        network.outputs.iter().filter(|output| left(output)).map(|(at, _)| *at).collect();
    assert_eq!(duplicates, [address(3)], "only the earlier one leaves");
    assert_eq!(network.holders().len(), 1);
}

/// Guards against shutting out a restarted process: after its clock was set back, its generation is lower than that of the
/// process before it.
#[test]
fn a_restarted_process_with_a_lower_generation_becomes_a_member() {
    let mut network = Network::new((0..3).map(|n| config(n, 1_000 + u64::from(n), n as u16)).collect());
    network.run(2_000);
    let restarted = FleetNode::new(AT_MS(network.now_ms), config(2, 5, 2));
    network.nodes[2].1 = restarted;
    network.run(5_000);
    assert!(network.nodes.iter().all(|(_, node)| node.members().count() == 2));
    assert!(!network.outputs.iter().any(|(_, output)| *output == FleetOutput::DuplicateIdentity));
}

#[test]
fn invalid_datagrams_change_nothing() {
    let mut network = Network::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    // Long enough for the lease to be held by the preferred member.
    network.run(9_000);
    let [holder] = network.holders()[..] else { panic!("{:?}", network.holders()) };
    let ballot = lease::Ballot { counter: 1 << 40, process: Process { index: 1, incarnation: 99 } };
    let datagram = Datagram {
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
    let encoded = message::write(7, &datagram);
    assert_eq!(message::read(7, &encoded), Ok(datagram.clone()));
    for cut in 0..encoded.len() {
        assert_eq!(message::read(7, &encoded[..cut]), Err(DatagramError::Malformed), "cut at {cut}");
        let mut corrupted = encoded.clone();
        corrupted[cut] ^= 0x20;
        assert!(message::read(7, &corrupted).is_err(), "corrupted at {cut}");
    }
    assert_eq!(message::read(8, &encoded), Err(DatagramError::Fleet));
    let mut later_version = encoded[..encoded.len() - 4].to_vec();
    later_version[3] += 1;
    later_version.extend(crc32fast::hash(&later_version).to_be_bytes());
    assert_eq!(message::read(7, &later_version), Err(DatagramError::Version));
    // Intact datagrams from an unknown address: an acceptor's answer counts only if it comes from the acceptor's address.
    // Gossip that is too old, a lease that no task has, and another process's release change nothing either.
    let release = LeaseMessage::Release(lease::Ballot { counter: u64::MAX, process: ballot.process });
    let unknown_lease = Datagram {
        leases: vec![
            (lease::LeaseId(9_999), LeaseMessage::Prepare(ballot)),
            (lease::LeaseId(0), release),
            (lease::LeaseId(0), LeaseMessage::Floor(u64::MAX, true)),
        ],
        ..datagram
    };
    let unknown_address = address(77);
    for bytes in [encoded, message::write(7, &unknown_lease), vec![], b"mgf".to_vec(), vec![0xff; 2_000]] {
        for at in network.nodes.iter().map(|(at, _)| *at).collect::<Vec<_>>() {
            for (_, node) in network.nodes.iter_mut().filter(|(other, _)| *other == at) {
                let out = node.handle(AT_MS(network.now_ms), FleetInput::Datagram(&bytes, unknown_address));
                assert!(
                    !out.iter().any(|output| matches!(
                        output,
                        FleetOutput::LeaseChanged(..) | FleetOutput::Received(..)
                    )),
                    "{out:?}"
                );
            }
        }
    }
    network.run(3_000);
    assert_eq!(network.holders(), [holder], "the holder keeps the lease");
}

#[test]
fn gossip_is_sent_with_its_age_and_the_latest_observation_counts() {
    let (mut store, delay) = (GossipStore::default(), Duration::millis(50));
    let (topic, unhealthy) = (GossipTopic::Worker(1), GossipUpdate::Answers(false));
    let entry = |update, age_ms| GossipEntry { topic, update, age_ms };
    assert_eq!(
        store.receive(AT_MS(1_000), entry(unhealthy, 300), delay),
        Some(AT_MS(650)),
        "the longest transit time is added to the age"
    );
    assert_eq!(
        store.receive(AT_MS(1_000), entry(GossipUpdate::Answers(true), 400), delay),
        None,
        "older than the known observation"
    );
    assert_eq!(
        store.entries_to_send(AT_MS(1_100), 2, 2),
        [entry(unhealthy, 450)],
        "the age keeps increasing"
    );
    assert_eq!(store.known(AT_MS(1_100), topic), Some((unhealthy, AT_MS(650))));
    store.observe(AT_MS(1_200), topic, GossipUpdate::Answers(true));
    assert_eq!(
        store.entries_to_send(AT_MS(1_200), 2, 2),
        [entry(GossipUpdate::Answers(true), 0)],
        "a changed observation is sent again"
    );
    assert_eq!(store.receive(AT_MS(1_300), entry(unhealthy, u32::MAX), delay), None, "too old");
    for _ in 0..9 {
        store.entries_to_send(AT_MS(1_300), 2, 2);
    }
    assert!(
        store.entries_to_send(AT_MS(1_300), 2, 2).is_empty(),
        "an entry is sent a limited number of times"
    );
    assert!(store.known(AT_MS(1_200) + MAX_AGE + Duration::millis(1), topic).is_none());
    for n in 0..10_000 {
        store.observe(AT_MS(2_000 + n), GossipTopic::Worker(n), unhealthy);
    }
    assert_eq!(store.len(), 4_096, "the store is bounded");
    assert!(
        store.known(AT_MS(12_000), GossipTopic::Worker(9_999)).is_some()
            && store.known(AT_MS(12_000), GossipTopic::Worker(0)).is_none()
    );
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// Whatever datagrams arrive, in any order: no panic, and no lease that this process has not won.
    #[test]
    fn random_datagrams_win_no_lease(
        packets in prop::collection::vec((0u8..6, any::<u64>(), 0u32..4, 0u64..40, prop::collection::vec(any::<u8>(), 0..60)), 1..60)
    ) {
        let mut node = FleetNode::new(AT_MS(0), config(1, 11, 1));
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
            // From an unknown address, so that no acceptor has answered.
            let out = node.handle(AT_MS(now), FleetInput::Datagram(&bytes, address(50)));
            prop_assert!(!out.iter().any(|output| matches!(output, FleetOutput::LeaseChanged(..))), "{:?}", out);
            node.handle(AT_MS(now), FleetInput::Datagram(&noise, address(0)));
            node.handle(AT_MS(now), FleetInput::Timer);
            prop_assert!(node.holds(AT_MS(now), Task::Probe, 0).is_none());
        }
    }
}

/// Guards against reporting a process as gone during a restart, and against not reporting one that stays absent.
#[test]
fn a_process_is_gone_after_it_has_been_absent_for_a_term() {
    let mut network = Network::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    network.run(5_000);
    let gone = |network: &Network| {
        let gone = |(at, output): &(SocketAddr, FleetOutput)| match output {
            FleetOutput::Gone(gone) if *at == address(0) => Some(gone.iter().copied().collect::<Vec<u32>>()),
            _ => None,
        };
        network.outputs.iter().filter_map(gone).collect::<Vec<_>>()
    };
    assert_eq!(gone(&network), [vec![3]], "the fourth has never been a member");
    let node = network.nodes.pop().unwrap();
    network.run(10_000);
    assert_eq!(gone(&network), [vec![3], vec![2, 3]]);
    network.nodes.push(node);
    network.run(5_000);
    assert_eq!(gone(&network), [vec![3], vec![2, 3], vec![3]]);
}

/// All datagrams that were sent are replayed after their senders have restarted: no grant to an earlier incarnation
/// counts, fences never decrease, and there are never two holders.
#[test]
fn replayed_datagrams_of_earlier_incarnations_have_no_effect() {
    let mut network = Network::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    network.records = true;
    network.run(6_000);
    let fence = |network: &Network| {
        let held = network.outputs.iter().rev().find_map(|(_, output)| match output {
            FleetOutput::LeaseChanged(Task::Probe, 0, Some(grant)) => Some(grant.fence),
            _ => None,
        });
        held.unwrap()
    };
    let before = fence(&network);
    let recorded = std::mem::take(&mut network.recorded);
    network.records = false;
    for n in 0..3 {
        let restarted = FleetConfig { fence_floor: network.now_ms, ..config(n as u32, 7_000 + n, n as u16) };
        network.nodes[n as usize].1 = FleetNode::new(AT_MS(network.now_ms), restarted);
    }
    let mut replayed = recorded.iter().cycle();
    for _ in 0..2_000 {
        network.run(1);
        for (from, to, bytes) in replayed.by_ref().take(3) {
            let Some((_, node)) = network.nodes.iter_mut().find(|(at, _)| at == to) else { continue };
            let out = node.handle(AT_MS(network.now_ms), FleetInput::Datagram(bytes, *from));
            let outputs = out.into_iter().map(|output| (*to, output));
            let outputs: Vec<_> = outputs.collect();
            network.deliver(outputs);
        }
        assert!(network.holders().len() < 2, "at {} ms", network.now_ms);
    }
    network.run(4_000);
    assert_eq!(network.holders().len(), 1);
    assert!(fence(&network) > before, "{before} and {}", fence(&network));
}

/// Two processes run with the same index, where the earlier one is already a member when the later one starts, with
/// different gaps between their starts and generations.
#[test]
fn a_later_process_replaces_an_established_one_with_its_index() {
    for (first, second, later) in
        [(0, 6_000, 5_000), (2_000, 2_000, 12), (300, 900, 1 << 60), (5_000, 50, 12)]
    {
        let mut network = Network::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
        network.run(first);
        network.nodes.push((address(8), FleetNode::new(AT_MS(network.now_ms), config(3, 11, 8))));
        network.run(second);
        network.nodes.push((address(9), FleetNode::new(AT_MS(network.now_ms), config(3, later, 9))));
        network.run(6_000);
        let left = |output: &(SocketAddr, FleetOutput)| output.1 == FleetOutput::DuplicateIdentity;
        let duplicates: Vec<SocketAddr> =
            network.outputs.iter().filter(|output| left(output)).map(|(at, _)| *at).collect();
        assert_eq!(duplicates, [address(8)], "{first} {second} {later}");
    }
}

/// The clocks of the processes are hours apart, and processes restart with their clocks set back or forward. Leases stay
/// safe, because each process measures terms by its own clock, and a restarted one asks the others for their fences.
#[test]
fn clock_offsets_and_steps_do_not_affect_leases() {
    const HOUR_MS: u64 = 3_600_000;
    let mut network = Network::new(vec![]);
    let start = |network: &mut Network, n: u16, incarnation: u64, ahead: u64| {
        network.nodes.retain(|(at, _)| *at != address(n));
        network.ahead_ms.insert(address(n), ahead);
        let now = network.clock(address(n));
        let (generation, fence_floor) = (now.0 / 1_000, now.0 / 1_000_000);
        let config = FleetConfig { generation, fence_floor, ..config(u32::from(n), incarnation, n) };
        network.nodes.push((address(n), FleetNode::new(now, config)));
    };
    for n in 0..3 {
        start(&mut network, n, 10 + u64::from(n), 10 * HOUR_MS + u64::from(n) * 3 * HOUR_MS);
    }
    network.run(6_000);
    for (n, ahead) in [(2, 0), (0, 90 * HOUR_MS), (1, HOUR_MS)] {
        start(&mut network, n, 100 + u64::from(n), ahead);
        for _ in 0..6_000 {
            network.run(1);
            assert!(network.holders().len() < 2);
        }
        assert_eq!(network.holders().len(), 1, "after {n} has restarted");
        assert!(network.nodes.iter().all(|(_, node)| node.members().count() == 2));
    }
    let fences: Vec<u64> = network
        .outputs
        .iter()
        .filter_map(|(_, output)| match output {
            FleetOutput::LeaseChanged(Task::Probe, 0, Some(grant)) => Some(grant.fence),
            _ => None,
        })
        .collect();
    assert!(fences.is_sorted() && fences.first() < fences.last(), "{fences:?}");
    assert!(!network.outputs.iter().any(|(_, output)| *output == FleetOutput::DuplicateIdentity));
}

/// All processes apply the same admission level under the controller's fence. When the controller ends, another continues
/// under a higher fence; a process that is left alone has no level after the last one has expired.
#[test]
fn all_apply_the_controllers_level_until_it_expires() {
    let mut network = Network::new((0..3).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    let controller = |network: &Network| {
        let controls =
            |(at, node): &&(SocketAddr, FleetNode)| node.holds(network.clock(*at), Task::Shed, 0).is_some();
        network.nodes.iter().find(controls).map(|(at, _)| *at)
    };
    // Only one of them is overloaded.
    let report_demand = |network: &mut Network, ms: u64| {
        for _ in 0..ms / 250 {
            for n in 0..3 {
                let open = if n == 2 { 120 } else { 5 };
                let demand = overload::Demand { offered: [30, 70, 0, 0], served: 50, open };
                network.handle(address(n), FleetInput::Demand(demand));
            }
            network.run(250);
        }
    };
    let levels = |network: &Network, since: usize| {
        let mut levels: std::collections::BTreeMap<SocketAddr, overload::AdmissionLevel> = Default::default();
        for (at, output) in &network.outputs[since..] {
            if let FleetOutput::AdmissionLevel(level, _) = output {
                let previous = levels.insert(*at, *level);
                assert!(
                    previous.is_none_or(|previous| previous.fence <= level.fence),
                    "{previous:?} {level:?}"
                );
            }
        }
        levels
    };
    report_demand(&mut network, 6_000);
    let first = controller(&network).expect("a process holds the shed lease");
    let latest = levels(&network, 0);
    assert_eq!(latest.len(), 3);
    assert!(latest.values().all(|level| level.admit[0] == 255 && level.admit[1] < 128), "{latest:?}");
    assert!(network.nodes.iter().all(|(at, node)| node.status(network.clock(*at)).level.is_some()));
    let fence = latest[&first].fence;
    network.nodes.retain(|(at, _)| *at != first);
    let since = network.outputs.len();
    report_demand(&mut network, 6_000);
    let latest = levels(&network, since);
    assert!(controller(&network).is_some_and(|next| next != first));
    assert!(latest.len() == 2 && latest.values().all(|level| level.fence > fence), "{latest:?}");
    network.nodes.truncate(1);
    let (alone, _) = network.nodes[0];
    report_demand(&mut network, 6_000);
    assert_eq!(
        network.nodes[0].1.status(network.clock(alone)).level,
        None,
        "no controller, and the last level has expired"
    );
}

/// Demand reaches the controller, and its level all processes, within one tick. By gossip to two members every quarter of
/// a second, a level took a second to reach a fleet of nine; a control loop of one and a half seconds overshoots
/// (`overload/tests.rs`).
#[test]
fn demand_reaches_the_controller_and_its_level_all_members_in_one_step() {
    let mut network = Network::new((0..9).map(|n| config(n, 10 + u64::from(n), n as u16)).collect());
    let report_demand = |network: &mut Network, open: u16| {
        let demand = overload::Demand { offered: [30, 70, 0, 0], served: 50, open };
        let addresses: Vec<SocketAddr> = network.nodes.iter().map(|(at, _)| *at).collect();
        addresses.into_iter().for_each(|at| network.handle(at, FleetInput::Demand(demand)));
    };
    for _ in 0..40 {
        report_demand(&mut network, 5);
        network.run(250);
    }
    let levels = |network: &Network| {
        let level = |(at, node): &(SocketAddr, FleetNode)| node.status(network.clock(*at)).level;
        network.nodes.iter().map(level).collect::<Vec<_>>()
    };
    assert!(levels(&network).iter().all(Option::is_none), "no request is queued: {:?}", levels(&network));
    // All report overload at the same time. The controller may report first, so only its next level accounts for
    // all of them.
    (0..2).for_each(|_| report_demand(&mut network, 200));
    let current = levels(&network);
    assert!(
        current[0].is_some_and(|level| level.admit[1] < 255)
            && current.iter().all(|level| *level == current[0]),
        "{current:?}"
    );
}

/// Two of five processes publish, and neither is an acceptor. One of them at a time holds the publish lease, whichever
/// members come first in the order of preference, and keeps it. When it leaves or ends, the other continues under a higher
/// fence.
#[test]
fn only_publishing_processes_hold_the_publish_lease_and_they_keep_it() {
    let mut configs: Vec<FleetConfig> = (0..5).map(|n| config(n, 10 + u64::from(n), n as u16)).collect();
    configs[3..].iter_mut().for_each(|config| config.publishes = true);
    let mut network = Network::new(configs.clone());
    let held = |network: &Network| {
        let held = network.nodes.iter().filter_map(|(at, node)| {
            let grant = node.holds(network.clock(*at), Task::Publish, 0)?;
            Some((*at, grant.fence))
        });
        held.collect::<Vec<_>>()
    };
    let run = |network: &mut Network, ms: u64| {
        for _ in 0..ms {
            network.run(1);
            let held = held(network);
            assert!(
                held.len() < 2 && held.iter().all(|(at, _)| [address(3), address(4)].contains(at)),
                "{held:?}"
            );
        }
        held(network)
    };
    let first = run(&mut network, 6_000);
    assert_eq!(first.len(), 1);
    assert_eq!(run(&mut network, 20_000), first, "the holder keeps the lease");
    let (holder, fence) = first[0];
    network.handle(holder, FleetInput::Leave);
    let next = run(&mut network, 1_000);
    assert!(next.len() == 1 && next[0].0 != holder && next[0].1 > fence, "{next:?}");
    // The holder ends without leaving, and the process that left has restarted.
    let position = configs.iter().position(|config| config.address == holder).unwrap();
    network.nodes.retain(|(at, _)| *at != holder && *at != next[0].0);
    let restarted = FleetConfig {
        process: Process { incarnation: 90, ..configs[position].process },
        generation: 90,
        ..configs[position].clone()
    };
    network.nodes.push((holder, FleetNode::new(network.clock(holder), restarted)));
    let last = run(&mut network, 6_000);
    assert!(last.len() == 1 && last[0].0 == holder && last[0].1 > next[0].1, "{last:?}");
    assert!(
        network.nodes[0]
            .1
            .status(network.clock(address(0)))
            .leases
            .iter()
            .all(|lease| lease.task != Task::Publish)
    );
}
