//! Tests of each rule by itself, and of the controller and the admission gates with simulated workers in virtual time.

use super::controller::FleetDemand;
use super::*;
use crate::interface::Timestamp;
use proptest::prelude::*;
use std::collections::VecDeque;

/// The point in time `ms` milliseconds after the clock's zero.
const AT_MS: fn(u64) -> Timestamp = |ms| Timestamp(ms * 1_000_000);

const LATENCY_OBJECTIVE: Duration = Duration::millis(1_000);
/// The only controller of most tests.
const ONLY_CONTROLLER: Controller = Controller { fence: 1, index: 0 };

fn demand(offered: [u16; RANK_COUNT], served: u16, open: u16) -> Demand {
    Demand { offered, served, open }
}

#[test]
fn classes_are_ranked_by_priority_weight() {
    let cases: [(&[f64], &[usize]); 4] = [
        (&[1.0, 5.0], &[1, 0]),
        (&[2.0, 2.0, 3.0], &[1, 1, 0]),
        (&[1.0, 2.0, 3.0, 4.0, 5.0, 6.0], &[3, 3, 3, 2, 1, 0]),
        (&[], &[]),
    ];
    for (priority_weights, expected) in cases {
        assert_eq!(ranks(priority_weights), expected, "{priority_weights:?}");
    }
}

#[test]
fn a_meter_counts_the_last_second() {
    let mut meter = DemandMeter::default();
    for n in 0..30 {
        meter.record_arrival(AT_MS(n * 100), usize::from(n % 3 == 0));
        if n % 4 == 0 {
            meter.served(AT_MS(n * 100));
        }
    }
    assert_eq!(meter.demand(AT_MS(2_999), 10), demand([7, 3, 0, 0], 3, 10));
    assert_eq!(meter.demand(AT_MS(3_600), 10), demand([2, 0, 0, 0], 1, 10));
    assert_eq!(meter.demand(AT_MS(9_000), 10), demand([0; RANK_COUNT], 0, 10));
    meter.record_arrival(AT_MS(1), RANK_COUNT + 5);
    assert_eq!(
        meter.demand(AT_MS(9_000), 10).offered[RANK_COUNT - 1],
        0,
        "requests recorded by a clock that went back are not counted now"
    );
}

#[test]
fn a_gate_admits_the_fraction_of_its_level_evenly_until_the_level_expires() {
    let mut gate = AdmissionGate::default();
    let count = |gate: &mut AdmissionGate, now| (0..510).filter(|_| gate.admits(now, 1)).count();
    assert_eq!(count(&mut gate, AT_MS(1_000)), 510, "no level was received");
    assert!(gate.receive(AdmissionLevel { fence: 7, by: 0, admit: [255, 51, 0, 0] }, AT_MS(1_000)));
    assert_eq!(count(&mut gate, AT_MS(1_500)), 102);
    assert_eq!((0..99).filter(|_| gate.admits(AT_MS(1_500), 0)).count(), 99);
    assert_eq!((0..99).filter(|_| gate.admits(AT_MS(1_500), 2)).count(), 0);
    assert_eq!(count(&mut gate, AT_MS(4_000)), 510, "the level expires after three seconds");
}

/// Guards against a controller that was paused or partitioned and goes on to publish levels under its earlier fence.
#[test]
fn a_gate_ignores_an_earlier_controllers_level_after_a_later_ones() {
    let mut gate = AdmissionGate::default();
    let level_under = |fence, fraction| AdmissionLevel { fence, by: 0, admit: [255, fraction, 0, 0] };
    assert!(gate.receive(level_under(8, 100), AT_MS(500)));
    assert!(!gate.receive(level_under(7, 9), AT_MS(900)), "an earlier fence");
    assert!(!gate.receive(level_under(8, 9), AT_MS(400)), "an older level of the same fence");
    assert!(
        gate.receive(level_under(8, 90), AT_MS(600)) && gate.receive(level_under(9, 80), AT_MS(550)),
        "a later fence, or a newer level"
    );
    assert_eq!(gate.level(AT_MS(700)), Some(level_under(9, 80)));
}

#[test]
fn cooldowns_are_spread() {
    let mut gate = AdmissionGate::default();
    let mut cooldowns: Vec<u64> =
        (0..100).map(|_| gate.cooldown(Duration::millis(500)).0 / 1_000_000).collect();
    cooldowns.sort_unstable();
    assert!(cooldowns[0] >= 250 && cooldowns[99] <= 500, "{cooldowns:?}");
    let widest_gap = cooldowns.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(widest_gap < Some(8), "gap too wide: {cooldowns:?}");
}

#[test]
fn lower_ranks_are_shed_entirely_before_higher_ones() {
    let mut controller = OverloadController::default();
    controller.receive(AT_MS(0), 1, demand([30, 70, 0, 0], 60, 50), AT_MS(0));
    assert_eq!(
        controller.tick(AT_MS(0), ONLY_CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        [255, 37, 0, 0],
        "a limit of 40: 60 served less an excess of 20; the first rank takes 30 of it"
    );
    let mut controller = OverloadController::default();
    controller.receive(AT_MS(0), 1, demand([60, 40, 0, 0], 20, 300), AT_MS(0));
    assert_eq!(
        controller.tick(AT_MS(0), ONLY_CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        [43, 0, 0, 0],
        "a tenth of the load is always admitted"
    );
}

#[test]
fn expired_or_small_demand_sheds_nothing() {
    let mut controller = OverloadController::default();
    controller.receive(AT_MS(0), 1, demand([30, 70, 0, 0], 10, 90), AT_MS(0));
    assert_eq!(
        controller.tick(AT_MS(3_000), ONLY_CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        AdmissionLevel::ADMIT_ALL,
        "the report has expired"
    );
    controller.receive(AT_MS(3_000), 1, demand([1, 5, 0, 0], 0, 6), AT_MS(3_000));
    assert_eq!(
        controller.tick(AT_MS(3_000), ONLY_CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        AdmissionLevel::ADMIT_ALL,
        "only six requests are open"
    );
}

/// Guards against a peer that reports far too much demand and none of it served: it affects the fleet by its bounded
/// weight only.
#[test]
fn a_peer_with_false_reports_has_at_most_three_times_the_median_weight() {
    let mut controller = OverloadController::default();
    (0..100).for_each(|index| controller.receive(AT_MS(0), index, demand([3, 7, 0, 0], 10, 3), AT_MS(0)));
    controller.receive(AT_MS(0), 100, demand([30_000, 0, 0, 0], 0, 60_000), AT_MS(0));
    assert_eq!(
        controller.tick(AT_MS(0), ONLY_CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        AdmissionLevel::ADMIT_ALL,
        "330 are open where 1,000 are served"
    );
    controller.receive(AT_MS(900), 101, demand([6, 0, 0, 0], 6, 6), AT_MS(900));
    controller.receive(AT_MS(900), 101, Demand::default(), AT_MS(800));
    assert_eq!(controller.reports[&101].demand.offered[0], 6, "an older report is ignored");
}

/// Workers that serve `rate_per_second` requests from one queue, and clients that give up after three seconds.
struct Workers {
    rate_per_second: f64,
    credit: f64,
    /// Arrival in milliseconds, process and rank. Requests whose clients have given up stay queued.
    queue: VecDeque<(u64, usize, usize)>,
    /// Number of requests at the head of the queue whose clients have given up.
    given_up: usize,
    /// Requests served in time, and all requests, by rank, for each second of the simulation.
    seconds: Vec<[(u32, u32); 2]>,
}

/// Processes that shed load together, one of them the controller, in front of simulated workers.
struct Fleet {
    meters: Vec<DemandMeter>,
    open: Vec<usize>,
    gates: Vec<AdmissionGate>,
    controller: OverloadController,
    fence: u64,
    now: u64,
    workers: Workers,
    /// Fraction of the next request that has accrued, by rank.
    arriving: [f64; 2],
    next_process: usize,
    /// Whether the processes shed load at all.
    sheds: bool,
    /// Transit time of demands and levels, in ticks.
    transit_ticks: usize,
    demands_in_transit: VecDeque<Vec<(Demand, Timestamp)>>,
    levels_in_transit: VecDeque<(AdmissionLevel, Timestamp)>,
}

impl Fleet {
    fn new(count: usize, rate_per_second: f64) -> Fleet {
        let workers =
            Workers { rate_per_second, credit: 0.0, queue: VecDeque::new(), given_up: 0, seconds: vec![] };
        let (meters, gates) = (vec![DemandMeter::default(); count], vec![AdmissionGate::default(); count]);
        let controller = OverloadController::default();
        Fleet {
            meters,
            open: vec![0; count],
            gates,
            controller,
            fence: 1,
            now: 10_000,
            workers,
            arriving: [0.0; 2],
            next_process: 0,
            sheds: true,
            transit_ticks: 1,
            demands_in_transit: VecDeque::new(),
            levels_in_transit: VecDeque::new(),
        }
    }

    /// Simulates ten milliseconds with requests at these rates per second, by rank.
    #[allow(clippy::too_many_lines, reason = "one simulation step, read from top to bottom")]
    fn step(&mut self, rates: [f64; 2]) {
        self.now += 10;
        let now = AT_MS(self.now);
        let second = (self.now / 1_000 - 10) as usize;
        self.workers.seconds.resize(second + 1, [(0, 0); 2]);
        for (rank, rate) in rates.into_iter().enumerate() {
            self.arriving[rank] += rate / 100.0;
            while self.arriving[rank] >= 1.0 {
                self.arriving[rank] -= 1.0;
                self.next_process += 1;
                let at = self.next_process % self.meters.len();
                self.workers.seconds[second][rank].1 += 1;
                let admitted = !self.sheds || self.gates[at].admits(now, rank);
                self.meters[at].record_arrival(now, rank);
                self.open[at] += usize::from(admitted);
                if admitted {
                    self.workers.queue.push_back((self.now, at, rank));
                }
            }
        }
        while let Some((arrived_at, at, _)) = self.workers.queue.get(self.workers.given_up) {
            if self.now - arrived_at < 3_000 {
                break;
            }
            self.open[*at] -= 1;
            self.workers.given_up += 1;
        }
        self.workers.credit += self.workers.rate_per_second / 100.0;
        while self.workers.credit >= 1.0 {
            self.workers.credit -= 1.0;
            let Some((arrived_at, at, rank)) = self.workers.queue.pop_front() else { continue };
            if self.workers.given_up > 0 {
                self.workers.given_up -= 1;
                continue;
            }
            self.meters[at].served(now);
            self.open[at] -= 1;
            let second = (arrived_at / 1_000 - 10) as usize;
            self.workers.seconds[second][rank].0 += u32::from(self.now - arrived_at < 1_000);
        }
        if self.now.is_multiple_of(250) && self.sheds {
            self.demands_in_transit.push_back(
                self.meters
                    .iter_mut()
                    .zip(&self.open)
                    .map(|(meter, open)| (meter.demand(now, *open), now))
                    .collect(),
            );
            if self.demands_in_transit.len() > self.transit_ticks {
                for (index, (demand, at)) in
                    self.demands_in_transit.pop_front().into_iter().flatten().enumerate()
                {
                    self.controller.receive(now, index as u32, demand, at);
                }
            }
            self.levels_in_transit.push_back((
                self.controller.tick(
                    now,
                    Controller { fence: self.fence, index: 0 },
                    LATENCY_OBJECTIVE,
                    self.gates[0].level(now),
                ),
                now,
            ));
            if self.levels_in_transit.len() > self.transit_ticks {
                let (level, at) = self.levels_in_transit.pop_front().expect("the queue is not empty");
                self.gates.iter_mut().for_each(|gate| assert!(gate.receive(level, at)));
            }
        }
    }

    fn run(&mut self, seconds: u64, rates: [f64; 2]) {
        (0..seconds * 100).for_each(|_| self.step(rates));
    }

    /// The fraction of a rank's requests that was served in time, from one second of the simulation to another.
    fn served_fraction(&self, rank: usize, from: usize, to: usize) -> f64 {
        let (in_time, all) = self.workers.seconds[from..to]
            .iter()
            .fold((0, 0), |sum, s| (sum.0 + s[rank].0, sum.1 + s[rank].1));
        f64::from(in_time) / f64::from(all.max(1))
    }
}

#[test]
fn double_load_is_shed_by_priority_weight_and_all_is_admitted_after_it() {
    let mut fleet = Fleet::new(9, 100.0);
    fleet.run(5, [27.0, 63.0]);
    assert_eq!(fleet.served_fraction(1, 0, 5), 1.0, "nothing is shed while the workers keep up");
    fleet.run(20, [60.0, 140.0]);
    fleet.run(10, [27.0, 63.0]);
    assert!(fleet.served_fraction(0, 8, 25) >= 0.98, "{:?}", fleet.workers.seconds);
    let second_rank = fleet.served_fraction(1, 10, 25);
    // Of 200 requests a second 100 can be served, and 60 are of the first rank.
    assert!((0.2..=0.286).contains(&second_rank), "{second_rank}");
    assert!(fleet.served_fraction(1, 30, 34) >= 0.95, "within 5 s: {:?}", fleet.workers.seconds);
}

/// Guards against metastable overload: after the trigger has passed, the queue keeps every request late, because the load
/// leaves no capacity to catch up.
#[test]
fn shedding_ends_an_overload_that_outlasts_its_trigger() {
    for sheds in [false, true] {
        let mut fleet = Fleet::new(5, 100.0);
        fleet.sheds = sheds;
        fleet.run(5, [30.0, 70.0]);
        fleet.workers.rate_per_second = 60.0;
        fleet.run(3, [30.0, 70.0]);
        fleet.workers.rate_per_second = 100.0;
        fleet.run(14, [30.0, 70.0]);
        assert_eq!(
            fleet.served_fraction(1, 13, 21) >= 0.95,
            sheds,
            "sheds: {sheds} {:?}",
            fleet.workers.seconds
        );
    }
}

#[test]
fn a_new_controller_continues_from_the_previous_level() {
    let mut fleet = Fleet::new(5, 100.0);
    fleet.run(10, [60.0, 140.0]);
    (fleet.controller, fleet.fence) = (OverloadController::default(), 2);
    fleet.run(8, [60.0, 140.0]);
    assert!(fleet.served_fraction(0, 10, 17) >= 0.98, "{:?}", fleet.workers.seconds);
}

proptest! {
    /// Whatever demand is reported, lower ranks are shed entirely before higher ones, and a tenth of the load is admitted.
    #[test]
    fn levels_follow_priority_weight_for_any_reports(
        reports in prop::collection::vec((any::<[u16; RANK_COUNT]>(), any::<u16>(), any::<u16>(), 0u64..4_000), 1..40),
    ) {
        let mut controller = OverloadController::default();
        for (n, (offered, served, open, at)) in reports.into_iter().enumerate() {
            let now = AT_MS(n as u64 * 200);
            controller.receive(now, n as u32 % 5, demand(offered, served, open), AT_MS(at));
            let FleetDemand { offered, .. } = controller.sum(now);
            let admit = controller.tick(now, ONLY_CONTROLLER, LATENCY_OBJECTIVE, None).admit;
            let shed = (0..RANK_COUNT).find(|rank| admit[*rank] < 254 && offered[*rank] > 0.0);
            if let Some(shed) = shed {
                prop_assert!(admit[shed + 1..].iter().all(|fraction| *fraction == 0), "{admit:?} of {offered:?}");
            }
            let load: f64 = offered.iter().sum();
            let admitted: f64 = offered.iter().zip(admit).map(|(rate, fraction)| rate * f64::from(fraction) / 255.0).sum();
            prop_assert!(admitted >= load * 0.09, "{admitted} of {load}");
        }
    }
}
