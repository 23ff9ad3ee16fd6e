//! The controller and the gates against workers in virtual time, and each rule by itself.

use super::controller::FleetDemand;
use super::*;
use crate::interface::Timestamp;
use proptest::prelude::*;
use std::collections::VecDeque;

const MS: fn(u64) -> Timestamp = |ms| Timestamp(ms * 1_000_000);

const LATENCY_OBJECTIVE: Duration = Duration::millis(1_000);
/// The only controller of most tests.
const CONTROLLER: Controller = Controller { fence: 1, index: 0 };

fn demand(offered: [u16; RANK_COUNT], served: u16, open: u16) -> Demand {
    Demand { offered, served, open }
}

#[test]
fn classes_are_ranked_by_worth() {
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
        meter.record_arrival(MS(n * 100), usize::from(n % 3 == 0));
        if n % 4 == 0 {
            meter.served(MS(n * 100));
        }
    }
    assert_eq!(meter.demand(MS(2_999), 10), demand([7, 3, 0, 0], 3, 10));
    assert_eq!(meter.demand(MS(3_600), 10), demand([2, 0, 0, 0], 1, 10));
    assert_eq!(meter.demand(MS(9_000), 10), demand([0; RANK_COUNT], 0, 10));
    meter.record_arrival(MS(1), RANK_COUNT + 5);
    assert_eq!(
        meter.demand(MS(9_000), 10).offered[RANK_COUNT - 1],
        0,
        "a clock that goes back counts nothing now"
    );
}

#[test]
fn a_gate_lets_in_the_part_told_evenly_and_forgets_old_words() {
    let mut gate = AdmissionGate::default();
    let count = |gate: &mut AdmissionGate, now| (0..510).filter(|_| gate.admits(now, 1)).count();
    assert_eq!(count(&mut gate, MS(1_000)), 510, "nobody has said anything");
    assert!(gate.receive(AdmissionLevel { fence: 7, by: 0, admit: [255, 51, 0, 0] }, MS(1_000)));
    assert_eq!(count(&mut gate, MS(1_500)), 102);
    assert_eq!((0..99).filter(|_| gate.admits(MS(1_500), 0)).count(), 99);
    assert_eq!((0..99).filter(|_| gate.admits(MS(1_500), 2)).count(), 0);
    assert_eq!(count(&mut gate, MS(4_000)), 510, "three seconds later it is of no use");
}

/// A controller that was paused, or cut off, goes on saying what was right under its earlier fence.
#[test]
fn an_earlier_governors_word_is_not_followed_after_a_later_ones() {
    let mut gate = AdmissionGate::default();
    let word = |fence, part| AdmissionLevel { fence, by: 0, admit: [255, part, 0, 0] };
    assert!(gate.receive(word(8, 100), MS(500)));
    assert!(!gate.receive(word(7, 9), MS(900)), "an earlier fence");
    assert!(!gate.receive(word(8, 9), MS(400)), "an older word of the same");
    assert!(
        gate.receive(word(8, 90), MS(600)) && gate.receive(word(9, 80), MS(550)),
        "a later fence, or a younger word"
    );
    assert_eq!(gate.level(MS(700)), Some(word(9, 80)));
}

#[test]
fn cooldowns_are_spread() {
    let mut gate = AdmissionGate::default();
    let mut all: Vec<u64> = (0..100).map(|_| gate.cooldown(Duration::millis(500)).0 / 1_000_000).collect();
    all.sort_unstable();
    assert!(all[0] >= 250 && all[99] <= 500, "{all:?}");
    let widest = all.windows(2).map(|two| two[1] - two[0]).max();
    assert!(widest < Some(8), "no two lie far apart: {all:?}");
}

#[test]
fn the_least_worth_goes_first_and_none_of_more_worth_while_any_of_less_is_let_in() {
    let mut controller = OverloadController::default();
    controller.receive(MS(0), 1, demand([30, 70, 0, 0], 60, 50), MS(0));
    assert_eq!(
        controller.tick(MS(0), CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        [255, 37, 0, 0],
        "60 less 20, 30 of them of the first"
    );
    let mut controller = OverloadController::default();
    controller.receive(MS(0), 1, demand([60, 40, 0, 0], 20, 300), MS(0));
    assert_eq!(
        controller.tick(MS(0), CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        [43, 0, 0, 0],
        "a tenth is let in, whatever waits"
    );
}

#[test]
fn what_is_old_or_little_concludes_nothing() {
    let mut controller = OverloadController::default();
    controller.receive(MS(0), 1, demand([30, 70, 0, 0], 10, 90), MS(0));
    assert_eq!(
        controller.tick(MS(3_000), CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        AdmissionLevel::ADMIT_ALL,
        "three seconds old"
    );
    controller.receive(MS(3_000), 1, demand([1, 5, 0, 0], 0, 6), MS(3_000));
    assert_eq!(
        controller.tick(MS(3_000), CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        AdmissionLevel::ADMIT_ALL,
        "six calls"
    );
}

/// A peer that says ten times what it has, and that all of it went badly, moves the fleet by its weight at most.
#[test]
fn a_peer_that_lies_weighs_three_times_the_middle_one() {
    let mut controller = OverloadController::default();
    (0..100).for_each(|index| controller.receive(MS(0), index, demand([3, 7, 0, 0], 10, 3), MS(0)));
    controller.receive(MS(0), 100, demand([30_000, 0, 0, 0], 0, 60_000), MS(0));
    assert_eq!(
        controller.tick(MS(0), CONTROLLER, LATENCY_OBJECTIVE, None).admit,
        AdmissionLevel::ADMIT_ALL,
        "330 wait of 1,000 served"
    );
    controller.receive(MS(900), 101, demand([6, 0, 0, 0], 6, 6), MS(900));
    controller.receive(MS(900), 101, Demand::default(), MS(800));
    assert_eq!(controller.reports[&101].demand.offered[0], 6, "what is older does not count");
}

/// Workers that serve so many requests a second, one after another; clients that give up after three seconds.
struct Workers {
    able: f64,
    credit: f64,
    /// When they came, at which process, and their rank; those whose clients have gone are worked on all the same.
    queue: VecDeque<(u64, usize, usize)>,
    gone: usize,
    /// Calls served in time and all, by rank, in this second of the play.
    seconds: Vec<[(u32, u32); 2]>,
}

/// So many processes and a controller among them; requests a second by rank, as a function of the time.
struct Fleet {
    meters: Vec<DemandMeter>,
    open: Vec<usize>,
    gates: Vec<AdmissionGate>,
    controller: OverloadController,
    fence: u64,
    now: u64,
    workers: Workers,
    arrived_at: [f64; 2],
    turn: usize,
    /// Whether anybody follows anything.
    led: bool,
    /// Ticks that demands, and words, take on the way.
    late: usize,
    demands: VecDeque<Vec<(Demand, Timestamp)>>,
    words: VecDeque<(AdmissionLevel, Timestamp)>,
}

impl Fleet {
    fn new(count: usize, able: f64) -> Fleet {
        let workers = Workers { able, credit: 0.0, queue: VecDeque::new(), gone: 0, seconds: vec![] };
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
            arrived_at: [0.0; 2],
            turn: 0,
            led: true,
            late: 1,
            demands: VecDeque::new(),
            words: VecDeque::new(),
        }
    }

    /// Ten milliseconds with requests at this pace.
    #[allow(clippy::too_many_lines, reason = "one play, read from top to bottom")]
    fn step(&mut self, rates: [f64; 2]) {
        self.now += 10;
        let now = MS(self.now);
        let second = (self.now / 1_000 - 10) as usize;
        self.workers.seconds.resize(second + 1, [(0, 0); 2]);
        for (rank, rate) in rates.into_iter().enumerate() {
            self.arrived_at[rank] += rate / 100.0;
            while self.arrived_at[rank] >= 1.0 {
                self.arrived_at[rank] -= 1.0;
                self.turn += 1;
                let at = self.turn % self.meters.len();
                self.workers.seconds[second][rank].1 += 1;
                let admitted = !self.led || self.gates[at].admits(now, rank);
                self.meters[at].record_arrival(now, rank);
                self.open[at] += usize::from(admitted);
                if admitted {
                    self.workers.queue.push_back((self.now, at, rank));
                }
            }
        }
        while let Some((came, at, _)) = self.workers.queue.get(self.workers.gone) {
            if self.now - came < 3_000 {
                break;
            }
            self.open[*at] -= 1;
            self.workers.gone += 1;
        }
        self.workers.credit += self.workers.able / 100.0;
        while self.workers.credit >= 1.0 {
            self.workers.credit -= 1.0;
            let Some((came, at, rank)) = self.workers.queue.pop_front() else { continue };
            if self.workers.gone > 0 {
                self.workers.gone -= 1;
                continue;
            }
            self.meters[at].served(now);
            self.open[at] -= 1;
            let second = (came / 1_000 - 10) as usize;
            self.workers.seconds[second][rank].0 += u32::from(self.now - came < 1_000);
        }
        if self.now.is_multiple_of(250) && self.led {
            self.demands.push_back(
                self.meters
                    .iter_mut()
                    .zip(&self.open)
                    .map(|(meter, open)| (meter.demand(now, *open), now))
                    .collect(),
            );
            if self.demands.len() > self.late {
                for (index, (demand, at)) in self.demands.pop_front().into_iter().flatten().enumerate() {
                    self.controller.receive(now, index as u32, demand, at);
                }
            }
            self.words.push_back((
                self.controller.tick(
                    now,
                    Controller { fence: self.fence, index: 0 },
                    LATENCY_OBJECTIVE,
                    self.gates[0].level(now),
                ),
                now,
            ));
            if self.words.len() > self.late {
                let (level, at) = self.words.pop_front().expect("there are some");
                self.gates.iter_mut().for_each(|gate| assert!(gate.receive(level, at)));
            }
        }
    }

    fn run(&mut self, seconds: u64, rates: [f64; 2]) {
        (0..seconds * 100).for_each(|_| self.step(rates));
    }

    /// The part served in time of a rank's requests, from one second of the play to another.
    fn served(&self, rank: usize, from: usize, to: usize) -> f64 {
        let (good, all) = self.workers.seconds[from..to]
            .iter()
            .fold((0, 0), |sum, s| (sum.0 + s[rank].0, sum.1 + s[rank].1));
        f64::from(good) / f64::from(all.max(1))
    }
}

#[test]
fn twice_the_load_is_shed_by_worth_and_all_is_let_in_again() {
    let mut fleet = Fleet::new(9, 100.0);
    fleet.run(5, [27.0, 63.0]);
    assert_eq!(fleet.served(1, 0, 5), 1.0, "nothing is shed while the load is borne");
    fleet.run(20, [60.0, 140.0]);
    fleet.run(10, [27.0, 63.0]);
    assert!(fleet.served(0, 8, 25) >= 0.98, "{:?}", fleet.workers.seconds);
    let practice = fleet.served(1, 10, 25);
    // Of 200 requests a second 100 can be served, and 60 are of the first rank.
    assert!((0.2..=0.286).contains(&practice), "{practice}");
    assert!(fleet.served(1, 30, 34) >= 0.95, "within 5 s: {:?}", fleet.workers.seconds);
}

/// Metastable: the trigger has gone, and what waits keeps everything late, for the load leaves no room to catch up.
#[test]
fn what_a_trigger_leaves_behind_does_not_last() {
    for led in [false, true] {
        let mut fleet = Fleet::new(5, 100.0);
        fleet.led = led;
        fleet.run(5, [30.0, 70.0]);
        fleet.workers.able = 60.0;
        fleet.run(3, [30.0, 70.0]);
        fleet.workers.able = 100.0;
        fleet.run(14, [30.0, 70.0]);
        assert_eq!(fleet.served(1, 13, 21) >= 0.95, led, "led: {led} {:?}", fleet.workers.seconds);
    }
}

#[test]
fn a_new_governor_goes_on_from_the_word_before() {
    let mut fleet = Fleet::new(5, 100.0);
    fleet.run(10, [60.0, 140.0]);
    (fleet.controller, fleet.fence) = (OverloadController::default(), 2);
    fleet.run(8, [60.0, 140.0]);
    assert!(fleet.served(0, 10, 17) >= 0.98, "{:?}", fleet.workers.seconds);
}

proptest! {
    /// Whatever is told: by priority weight, never less than a tenth of what was told, and never a word that goes up without end.
    #[test]
    fn words_go_by_worth(
        told in prop::collection::vec((any::<[u16; RANK_COUNT]>(), any::<u16>(), any::<u16>(), 0u64..4_000), 1..40),
    ) {
        let mut controller = OverloadController::default();
        for (n, (offered, ended, spoilt, at)) in told.into_iter().enumerate() {
            let now = MS(n as u64 * 200);
            controller.receive(now, n as u32 % 5, demand(offered, ended, spoilt), MS(at));
            let FleetDemand { offered, .. } = controller.sum(now);
            let admit = controller.tick(now, CONTROLLER, LATENCY_OBJECTIVE, None).admit;
            let shed = (0..RANK_COUNT).find(|rank| admit[*rank] < 254 && offered[*rank] > 0.0);
            if let Some(shed) = shed {
                prop_assert!(admit[shed + 1..].iter().all(|part| *part == 0), "{admit:?} of {offered:?}");
            }
            let load: f64 = offered.iter().sum();
            let let_in: f64 = offered.iter().zip(admit).map(|(n, part)| n * f64::from(part) / 255.0).sum();
            prop_assert!(let_in >= load * 0.09, "{let_in} of {load}");
        }
    }
}
