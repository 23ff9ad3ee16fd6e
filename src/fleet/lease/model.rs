//! Model check that a lease never has two holders at once: explores the lease nodes that the daemon runs exhaustively
//! within bounds, with `stateright`. Every message that was sent may be delivered at any later time, any number of times
//! or never, which covers loss, duplication, delay and reordering. Timers fire late or not at all, so that any process may
//! be paused for any time. Clocks run at rates within the bound, and processes crash and restart.

use super::*;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::hash::Hash;

const LEASE_ID: LeaseId = LeaseId(0);
const AT_MOST_ONE_HOLDER: &str = "at most one holder";
const FENCES_INCREASE: &str = "fences increase";
const LEASE_ACQUIRED: &str = "a process holds the lease";
const REACQUIRED_AFTER_CRASH: &str = "a process holds the lease after the holder's crash";

/// Units by which a clock advances with each tick of real time: both rates are within a third of 1.5, see [`DRIFT_PPM`].
const SLOW_UNITS_PER_TICK: u64 = 1;
const FAST_UNITS_PER_TICK: u64 = 2;
const DRIFT_PPM: u64 = 333_333;
/// A term in clock units: two ticks of the fastest clock. A holder counts half of it, two ticks of the slowest clock.
const LEASE_TERM: Duration = Duration(4);

/// What every clock shows in a normalized state.
const NORMALIZED_NOW: Timestamp = Timestamp(1_000);

/// The modelled fleet and the bounds of the exploration.
#[derive(Clone)]
struct Fleet {
    config: LeaseConfig,
    /// Units by which the clock of each process advances in a tick. The first `bounds.len()` processes are candidates.
    rates: Vec<u64>,
    max_crashes: u32,
    /// The process that crashes.
    crashing: usize,
    max_releases: u32,
    /// Highest ballot counter and round number of each proposer.
    bounds: Vec<(u64, u32)>,
    /// Whether acceptors vote from the start, as in a fleet whose grace period has passed.
    skips_grace_period: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<LeaseNode>,
    clocks: Vec<Timestamp>,
    /// Every message sent that may still have an effect: receiver, sender and content.
    sent: BTreeSet<(u32, Process, LeaseMessage)>,
    crashes: u32,
    releases: u32,
    starts: u64,
    /// The fence and the process of the latest tenure.
    fence: Option<(u64, Process)>,
    /// Whether a new tenure ever had a fence no higher than the one before.
    fence_not_increased: bool,
    holder_crashed: bool,
    reacquired: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum ModelAction {
    Tick,
    Timeout(usize),
    Deliver(u32, Process, LeaseMessage),
    Crash(usize),
    Release(usize),
}

fn fleet(bounds: &[(u64, u32)], rates: &[u64]) -> Fleet {
    let acceptors = (0..rates.len() as u32).collect();
    Fleet {
        config: LeaseConfig::new(acceptors, LEASE_TERM, LEASE_TERM, DRIFT_PPM),
        rates: rates.to_vec(),
        max_crashes: 0,
        crashing: 0,
        max_releases: 0,
        bounds: bounds.to_vec(),
        skips_grace_period: true,
    }
}

impl Fleet {
    fn start(&self, index: usize, starts: u64, now: Timestamp) -> LeaseNode {
        let process = Process { index: index as u32, incarnation: starts };
        let mut lease_node = LeaseNode::new(process, now, 0, &self.config);
        if index < self.bounds.len() {
            lease_node.set_rank(now, LEASE_ID, Some(0), &self.config);
        }
        lease_node
    }

    fn send(&self, state: &mut State, from: usize, out: LeaseOutput) {
        let process = state.nodes[from].process();
        for LeaseEnvelope { to, message, .. } in out {
            match to {
                Destination::Acceptor(index) => drop(state.sent.insert((index, process, message))),
                // How long another process holds the lease only affects the time of the next attempt.
                Destination::Process(to) if matches!(message, LeaseMessage::Held(..)) => {
                    let LeaseMessage::Held(ballot, _) = message else { continue };
                    state.sent.insert((to.index, process, LeaseMessage::Held(ballot, 0)));
                }
                // An answer to an incarnation that has crashed changes nothing.
                Destination::Process(to) if state.nodes[to.index as usize].process() == to => {
                    state.sent.insert((to.index, process, message));
                }
                Destination::Process(_) => {}
            }
        }
    }

    /// Records which process holds the lease, drops messages that can no longer have an effect, and normalizes times.
    fn record_holder_and_normalize(&self, state: &mut State) {
        for (n, lease_node) in state.nodes.iter().enumerate() {
            let Some(grant) = lease_node.holds(state.clocks[n], LEASE_ID) else { continue };
            let tenure = (grant.fence, lease_node.process());
            match state.fence {
                Some(last) if last == tenure => {}
                Some((fence, _)) if grant.fence <= fence => state.fence_not_increased = true,
                _ => {
                    state.reacquired |= state.holder_crashed;
                    state.fence = Some(tenure);
                }
            }
        }
        let (nodes, may_crash) = (&state.nodes, (state.crashes < self.max_crashes).then_some(self.crashing));
        state.sent.retain(|(to, from, message)| {
            let request = matches!(message, LeaseMessage::Prepare(_) | LeaseMessage::Propose(..));
            let sender = &nodes[from.index as usize];
            let awaited = || sender.process() == *from && sender.awaits_answer_to(LEASE_ID, *message);
            // An acceptor that loses its state in a crash may accept again what it rejects now.
            nodes[*to as usize].may_have_effect(LEASE_ID, *from, *message, &self.config)
                || request && (may_crash == Some(*to as usize) || awaited())
        });
        // States that differ only by a shift in time are equal: each clock is reset, and all its times are shifted
        // with it.
        for (lease_node, clock) in state.nodes.iter_mut().zip(&mut state.clocks) {
            lease_node.shift_times(*clock, NORMALIZED_NOW, &self.config);
            *clock = NORMALIZED_NOW;
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        let count = self.rates.len();
        let mut nodes: Vec<LeaseNode> =
            (0..count).map(|n| self.start(n, 1 + n as u64, NORMALIZED_NOW)).collect();
        if self.skips_grace_period {
            nodes.iter_mut().for_each(LeaseNode::skip_grace_period);
        }
        vec![State {
            nodes,
            clocks: vec![NORMALIZED_NOW; count],
            sent: BTreeSet::new(),
            crashes: 0,
            releases: 0,
            starts: count as u64,
            fence: None,
            fence_not_increased: false,
            holder_crashed: false,
            reacquired: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<ModelAction>) {
        actions.push(ModelAction::Tick);
        for n in 0..state.nodes.len() {
            if state.nodes[n].next_timeout().is_some_and(|at| at <= state.clocks[n]) {
                actions.push(ModelAction::Timeout(n));
            }
            if state.crashes < self.max_crashes && self.crashing == n {
                actions.push(ModelAction::Crash(n));
            }
            if state.releases < self.max_releases && state.nodes[n].holds(state.clocks[n], LEASE_ID).is_some()
            {
                actions.push(ModelAction::Release(n));
            }
        }
        actions
            .extend(state.sent.iter().map(|(to, from, message)| ModelAction::Deliver(*to, *from, *message)));
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let mut state = last.clone();
        let mut out = vec![];
        let from = match action {
            ModelAction::Tick => {
                for (clock, rate) in state.clocks.iter_mut().zip(&self.rates) {
                    *clock = *clock + Duration(*rate);
                }
                0
            }
            ModelAction::Timeout(n) => {
                state.nodes[n].on_timeout(state.clocks[n], &self.config, &mut out);
                n
            }
            ModelAction::Deliver(to, from, message) => {
                let n = to as usize;
                state.nodes[n].handle(state.clocks[n], from, LEASE_ID, message, &self.config, &mut out);
                n
            }
            ModelAction::Crash(n) => {
                state.crashes += 1;
                state.starts += 1;
                state.holder_crashed |= state.nodes[n].holds(state.clocks[n], LEASE_ID).is_some();
                state.nodes[n] = self.start(n, state.starts, state.clocks[n]);
                n
            }
            ModelAction::Release(n) => {
                state.releases += 1;
                let now = state.clocks[n];
                state.nodes[n].release(now, LEASE_ID, &self.config, &mut out);
                state.nodes[n].set_rank(now, LEASE_ID, Some(0), &self.config);
                n
            }
        };
        self.send(&mut state, from, out);
        self.record_holder_and_normalize(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(AT_MOST_ONE_HOLDER, |_: &Fleet, state: &State| {
                let holders = state.nodes.iter().zip(&state.clocks);
                holders.filter(|(lease_node, clock)| lease_node.holds(**clock, LEASE_ID).is_some()).count()
                    <= 1
            }),
            Property::always(FENCES_INCREASE, |_: &Fleet, state: &State| !state.fence_not_increased),
            Property::sometimes(LEASE_ACQUIRED, |_: &Fleet, state: &State| state.fence.is_some()),
            Property::sometimes(REACQUIRED_AFTER_CRASH, |fleet: &Fleet, state: &State| {
                state.reacquired || fleet.max_crashes == 0 || fleet.crashing >= fleet.bounds.len()
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        let reached = state.nodes.iter().map(|lease_node| lease_node.counters(LEASE_ID));
        self.bounds.iter().zip(reached).all(|(bound, reached)| reached.0 <= bound.0 && reached.1 <= bound.1)
    }
}

/// Explores all states within the bounds, or only those within `depth` steps from the start.
fn explore(fleet: Fleet, depth: Option<usize>) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = fleet.checker().threads(threads);
    match depth {
        // Breadth first, so that all omitted states are further than `depth` from the start.
        Some(depth) => verify(&checker.target_max_depth(depth).spawn_bfs().join(), &[LEASE_ACQUIRED]),
        None => verify(&checker.spawn_dfs().join(), &[LEASE_ACQUIRED, REACQUIRED_AFTER_CRASH]),
    }
}

fn verify(checker: &impl Checker<Fleet>, sometimes: &[&'static str]) {
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_no_discovery(AT_MOST_ONE_HOLDER);
    checker.assert_no_discovery(FENCES_INCREASE);
    sometimes.iter().for_each(|property| drop(checker.assert_any_discovery(property)));
}

/// Two candidates with two ballots each. The holder's clock may be slow, so that it counts its term too long: each
/// candidate has the slow clock in one of the cases.
#[test]
fn two_candidates_never_hold_at_once() {
    for rates in [
        [SLOW_UNITS_PER_TICK, FAST_UNITS_PER_TICK, FAST_UNITS_PER_TICK],
        [FAST_UNITS_PER_TICK, SLOW_UNITS_PER_TICK, FAST_UNITS_PER_TICK],
    ] {
        explore(fleet(&[(2, 2), (2, 1)], &rates), None);
    }
}

#[test]
fn a_released_lease_has_at_most_one_holder() {
    explore(
        Fleet {
            max_releases: 1,
            ..fleet(&[(2, 1), (2, 1)], &[SLOW_UNITS_PER_TICK, FAST_UNITS_PER_TICK, FAST_UNITS_PER_TICK])
        },
        None,
    );
}

/// Explores eleven million states.
#[test]
#[ignore = "takes minutes; docs/fleet.md has the command"]
fn a_lease_released_and_reacquired_has_at_most_one_holder() {
    explore(
        Fleet {
            max_releases: 1,
            ..fleet(&[(2, 2), (3, 1)], &[SLOW_UNITS_PER_TICK, FAST_UNITS_PER_TICK, FAST_UNITS_PER_TICK])
        },
        None,
    );
}

/// All processes start together, so that at first no acceptor votes. Explores three million states.
#[test]
#[ignore = "takes minutes; docs/fleet.md has the command"]
fn a_fleet_that_starts_together_has_at_most_one_holder() {
    explore(
        Fleet {
            skips_grace_period: false,
            ..fleet(&[(1, 1), (1, 1)], &[SLOW_UNITS_PER_TICK, FAST_UNITS_PER_TICK, FAST_UNITS_PER_TICK])
        },
        None,
    );
}

/// An acceptor that is not a candidate crashes and loses all its promises and grants.
fn acceptor_crashes() -> Fleet {
    Fleet {
        max_crashes: 1,
        crashing: 2,
        ..fleet(&[(1, 1), (2, 1)], &[SLOW_UNITS_PER_TICK, FAST_UNITS_PER_TICK, FAST_UNITS_PER_TICK])
    }
}

/// The holder, which is also an acceptor, crashes and becomes a candidate again.
fn holder_crashes() -> Fleet {
    Fleet {
        max_crashes: 1,
        crashing: 0,
        ..fleet(&[(1, 1), (2, 1)], &[SLOW_UNITS_PER_TICK, FAST_UNITS_PER_TICK, FAST_UNITS_PER_TICK])
    }
}

#[test]
fn a_crash_in_the_first_steps_leaves_at_most_one_holder() {
    explore(acceptor_crashes(), Some(13));
    explore(holder_crashes(), Some(13));
}

/// Explores ten million states.
#[test]
#[ignore = "takes minutes; docs/fleet.md has the command"]
fn an_acceptor_crash_leaves_at_most_one_holder() {
    explore(acceptor_crashes(), None);
}

/// Explores thirty million states.
#[test]
#[ignore = "takes minutes; docs/fleet.md has the command"]
fn a_holder_crash_leaves_at_most_one_holder() {
    explore(holder_crashes(), None);
}

/// Guards against a model check that cannot fail: with any one guard disabled, the checker finds a path to two holders or
/// to a fence that is no higher than the one before.
#[test]
fn the_checker_finds_a_violation_without_any_one_guard() {
    let default_fleet =
        || fleet(&[(1, 2), (2, 1)], &[SLOW_UNITS_PER_TICK, FAST_UNITS_PER_TICK, FAST_UNITS_PER_TICK]);
    let config = |change: &dyn Fn(&mut LeaseConfig), mut fleet: Fleet| {
        change(&mut fleet.config);
        fleet
    };
    let without =
        |guard| config(&move |config: &mut LeaseConfig| config.disabled_guard = Some(guard), default_fleet());
    let released = Fleet {
        max_releases: 1,
        ..fleet(&[(2, 2), (3, 1)], &[SLOW_UNITS_PER_TICK, FAST_UNITS_PER_TICK, FAST_UNITS_PER_TICK])
    };
    let cases = [
        ("majority", AT_MOST_ONE_HOLDER, config(&|config| config.quorum = 1, default_fleet())),
        (
            "clock drift margin",
            AT_MOST_ONE_HOLDER,
            config(&|config| config.holder_term = config.term, default_fleet()),
        ),
        ("term counted from the send", AT_MOST_ONE_HOLDER, without(DisabledGuard::CountsFromAnswers)),
        ("grants count only for their round", AT_MOST_ONE_HOLDER, without(DisabledGuard::AnyRound)),
        (
            "no promise while another grant is valid",
            AT_MOST_ONE_HOLDER,
            without(DisabledGuard::PromisesOthers),
        ),
        (
            "grace period after a start",
            AT_MOST_ONE_HOLDER,
            config(&|config| config.grace_period = Duration(0), acceptor_crashes()),
        ),
        (
            "recovery of counters",
            FENCES_INCREASE,
            config(&|config| config.recovery_quorum = 0, acceptor_crashes()),
        ),
        (
            "a release ends no later grant",
            AT_MOST_ONE_HOLDER,
            config(&|config| config.disabled_guard = Some(DisabledGuard::AnyRelease), released),
        ),
    ];
    for (guard, property, fleet) in cases {
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        let found = HasDiscoveries::AnyOf(BTreeSet::from([property]));
        let checker = fleet.checker().threads(threads).finish_when(found).spawn_bfs().join();
        let path = checker.discovery(property);
        assert!(path.is_some(), "{guard}: no violation found in {} states", checker.unique_state_count());
        println!(
            "{guard}: {property} fails after {} steps",
            path.map_or(0, |path| path.into_actions().len())
        );
    }
}
