//! Hollow processes of a distribution domain in virtual time: replicas that hold the log, relays, and schedulers as
//! subscribers of one zone's workers each, all with the shipped machine. The domain holds them to its rules meanwhile, and
//! a run in which one is broken has failed.

use super::costs::{self, Cost, Moment};
use super::faults::{Breakable, Faults};
use super::plan::{HOLLOW_RELAYS, HOLLOW_REPLICAS, ZONES};
use super::report::mean_and_most;
use super::{Plan, Row, Rows, Setup, system};
use crate::domain::{self, Domain};
use crate::hollow::HollowNode;
use crate::network::Link;
use mintgate::fleet::distribution::{Change, Role, Version};
use mintgate::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Control processes that die together at most: one in four, the publisher among them.
const DEAD_RELAYS: usize = 2;
/// Between processes of two regions.
const FAR: Link = Link {
    cut: false,
    loss: 0.0,
    duplicate: 0.0,
    corrupt: 0.0,
    delay: Duration::millis(40),
    jitter: Duration::millis(10),
};
/// How often a source looks what came of what it wants published, and how long it waits for a word of it.
const AGAIN: Duration = Duration::millis(100);
const UNANSWERED: Duration = Duration::millis(1_000);
/// The longest that anything is waited for.
const LONG: Duration = Duration::millis(120_000);
/// Between two looks.
const LOOK: Duration = Duration::millis(20);
/// What is on its way arrives within this time, where it ever does.
const ARRIVES: Duration = Duration::millis(10_000);
/// Parents have forgotten a child that is gone after this.
const FORGOTTEN: Duration = Duration::millis(5_000);
/// Schedulers that start again at once, as after a zone's failure.
const RETURN: usize = 900;
/// Schedulers that start again among others that run.
const STARTS: usize = 50;

const ROLES: [(Role, &str); 3] =
    [(Role::Subscriber, "scheduler"), (Role::Relay, "relay"), (Role::Replica, "replica")];

struct Play<'a> {
    plan: &'a Plan,
    domain: Domain,
    rows: Rows,
}

/// Plays them.
pub fn play(plan: &Plan) -> Result<Vec<Row>, String> {
    let own = std::process::id();
    // What any domain needs once is there before anything is measured.
    drop(standing(&Plan { workers: ZONES, ..plan.clone() }, 1)?);
    let before = system::resident(own).unwrap_or(0);
    let (control, _) = standing(plan, 0)?;
    let control_bytes = system::growth_each(before, 1);
    let before = system::resident(own).unwrap_or(0);
    // What the first domain keeps must not be used again by the second, or that would seem to need less.
    let (domain, filled) = standing(plan, plan.hollow)?;
    let all_bytes = system::growth_each(before, 1);
    drop(control);
    let mut play = Play { plan, domain, rows: Rows::new(plan, "hollow", Setup::Distribution) };
    let each = (
        (all_bytes - control_bytes).max(0.0) / plan.hollow as f64,
        control_bytes / (HOLLOW_REPLICAS + HOLLOW_RELAYS) as f64,
    );
    play.rows.add("replica", "list_seconds", "s", filled.secs());
    play.memory(each);
    play.idle();
    if plan.changes > 0.0 {
        play.with_changes()?;
        play.quarter_dead()?;
    }
    play.starts()?;
    play.come_back()?;
    let broken = play.domain.audit();
    if !broken.is_empty() {
        return Err(format!("a rule of the domain was broken: {}", broken.join("; ")));
    }
    Ok(play.rows.rows)
}

/// A domain in which the whole list is in force everywhere, and how long it took to be committed.
fn standing(plan: &Plan, subscribers: usize) -> Result<(Domain, Duration), String> {
    let mut domain = Domain::new(domain::Plan {
        replicas: HOLLOW_REPLICAS,
        relays: HOLLOW_RELAYS,
        subscribers,
        regions: plan.regions,
        zones: ZONES,
        zones_per_subscriber: 1,
        workers: plan.workers,
        inter_region_link: FAR,
        seed: plan.seed,
        ..domain::Plan::default()
    });
    let begun = domain.now();
    domain.publish_all()?;
    let filled = domain.now() - begun;
    if !domain.settle(LONG) {
        return Err(format!("{subscribers} schedulers did not have the list within {} s", LONG.secs()));
    }
    let took = domain.now() - begun;
    eprintln!(
        "scale: {subscribers} hollow subscribers have the list after {:.1} s of virtual time",
        took.secs()
    );
    Ok((domain, filled))
}

/// A change that the source wants published.
struct Asked {
    since: Timestamp,
    changes: Vec<Change>,
    ticket: u64,
    /// When it was asked for last.
    last: Timestamp,
    version: Option<Version>,
}

impl Asked {
    fn new(domain: &mut Domain, changes: Vec<Change>) -> Asked {
        let (since, ticket) = (domain.now(), domain.publish(changes.clone()));
        Asked { since, changes, ticket, last: since, version: None }
    }

    /// Looks what came of it, and asks again where nothing did.
    fn look(&mut self, domain: &mut Domain) {
        if self.version.is_some() {
            return;
        }
        let now = domain.now();
        match domain.outcome(self.ticket) {
            Some(Ok(version)) => self.version = Some(version),
            None if now - self.last < UNANSWERED => {}
            _ => (self.ticket, self.last) = (domain.publish(self.changes.clone()), now),
        }
    }

    fn is_wanted_at(&self, node: &HollowNode) -> bool {
        self.changes.iter().any(|change| node.interest().covers(change.topic))
    }
}

/// When a process had anything in force first.
fn first_install(node: &HollowNode) -> Option<Timestamp> {
    node.installs().first().map(|(at, _)| *at)
}

impl Play<'_> {
    fn moment(&self) -> Moment {
        let traffic = self.domain.traffic();
        let all = ROLES.iter().flat_map(|(role, _)| self.domain.running(*role));
        Moment::of(
            all.map(|(at, node)| (at, traffic.get(&at).copied().unwrap_or_default(), node.busy_time())),
        )
    }

    fn memory(&mut self, (subscriber, control): (f64, f64)) {
        for (role, name) in ROLES {
            let bytes = if role == Role::Subscriber { subscriber } else { control };
            self.rows.add(name, "resident_mb", "MB", bytes / 1e6);
            let records = self.domain.running(role).map(|(_, node)| node.node().records().count() as f64);
            let records = mean_and_most(records).0;
            self.rows.add(name, "records", "records", records);
        }
    }

    fn add_costs(&mut self, costs: &[Cost]) {
        for (role, name) in ROLES {
            let at: BTreeMap<SocketAddr, ()> = self.domain.running(role).map(|(at, _)| (at, ())).collect();
            let of: Vec<Cost> = costs.iter().filter(|cost| at.contains_key(&cost.at)).copied().collect();
            costs::add(&mut self.rows, name, &of);
        }
    }

    fn idle(&mut self) {
        let from = self.moment();
        self.domain.run(Duration::millis(self.plan.seconds * 1_000));
        let costs = self.moment().since(&from, self.plan.seconds as f64);
        self.add_costs(&costs);
    }

    /// Plays the measured seconds with changes, and with faults where they are wanted; the changes, and what
    /// the processes cost meanwhile. A change that could not be published is asked for again, as by a publisher's source.
    fn change(&mut self, rate: f64) -> (Vec<Asked>, Vec<Cost>) {
        let from = self.moment();
        let base = self.domain.now();
        let end = base + Duration::millis(self.plan.seconds * 1_000);
        let step = Duration((1e9 / self.plan.changes) as u64);
        let mut next = base + Duration(step.0 / 2);
        let mut faults = Faults::new(self.plan.seed, rate, base);
        let count = self.domain.all().len();
        let mut all = vec![];
        while self.domain.now() < end {
            let now = self.domain.now();
            let until = faults.due().into_iter().chain([next, end, now + AGAIN]).min().unwrap_or(end);
            self.domain.run(Duration(until.0.saturating_sub(now.0)));
            faults.happen(&mut self.domain, count);
            if next <= self.domain.now() && next < end {
                let changes = self.domain.modify_workers(1);
                all.push(Asked::new(&mut self.domain, changes));
                next = next + step;
            }
            all.iter_mut().for_each(|asked| asked.look(&mut self.domain));
        }
        faults.heal(&mut self.domain);
        let costs = self.moment().since(&from, self.plan.seconds as f64);
        let arrived = self.domain.now() + ARRIVES;
        while self.domain.now() < arrived && all.iter().any(|asked| asked.version.is_none()) {
            self.domain.run(AGAIN);
            all.iter_mut().for_each(|asked| asked.look(&mut self.domain));
        }
        self.domain.run(ARRIVES);
        (all, costs)
    }

    fn with_changes(&mut self) -> Result<(), String> {
        let like = self.rows.like();
        (like.changes_per_second, like.faults_per_second) = (self.plan.changes, self.plan.faults);
        let (all, costs) = self.change(self.plan.faults);
        self.add_costs(&costs);
        self.reached("seconds_to_all", &all);
        self.settle()
    }

    fn settle(&mut self) -> Result<(), String> {
        if self.domain.settle(LONG) {
            Ok(())
        } else {
            Err(format!("not all had the last version {} s after the changes", LONG.secs()))
        }
    }

    /// Seconds from when a change was asked for first until it was in force at those that want it and ran by then.
    fn reached(&mut self, quantity: &str, all: &[Asked]) {
        let (mut published, mut missing) = (0.0, 0.0);
        let mut seconds: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for asked in all {
            let Some(version) = asked.version else { continue };
            published += 1.0;
            for (role, name) in ROLES {
                for (_, node) in self.domain.running(role).filter(|(_, node)| asked.is_wanted_at(node)) {
                    match node.in_force(version) {
                        // It has started since, with all there was.
                        _ if first_install(node).is_none_or(|first| first > asked.since) => {}
                        Some(at) => seconds.entry(name).or_default().push((at - asked.since).secs()),
                        None => missing += 1.0,
                    }
                }
            }
        }
        for (name, mut seconds) in seconds {
            self.rows.add_seconds(name, quantity, &mut seconds);
        }
        let part = published / all.len().max(1) as f64;
        self.rows.add("scheduler", &format!("{quantity}_missing"), "processes", missing);
        self.rows.add("replica", &format!("{quantity}_published_part"), "of 1", part);
    }

    /// One control process in four dies, the publisher among them, while changes come as before; and then they come
    /// without those.
    fn quarter_dead(&mut self) -> Result<(), String> {
        let holder = self.domain.holder().unwrap_or(0);
        let dead = (0..DEAD_RELAYS).map(|index| (Role::Relay, index)).chain([(Role::Replica, holder)]);
        let dead: Vec<(Role, usize)> = dead.collect();
        dead.iter().for_each(|(role, index)| self.domain.kill(*role, *index));
        let (dying, _) = self.change(0.0);
        self.reached("seconds_to_all_as_a_quarter_dies", &dying);
        let (without, _) = self.change(0.0);
        self.reached("seconds_to_all_quarter_dead", &without);
        dead.iter().for_each(|(role, index)| self.domain.start(*role, *index));
        let like = self.rows.like();
        (like.changes_per_second, like.faults_per_second) = (0.0, 0.0);
        self.settle()
    }

    /// Starts processes again; how long each took until it had the list in force.
    fn restart(&mut self, role: Role, indices: &[usize], down: Duration) -> Result<Vec<f64>, String> {
        indices.iter().for_each(|index| self.domain.kill(role, *index));
        self.domain.run(down);
        let started = self.domain.now();
        indices.iter().for_each(|index| self.domain.start(role, *index));
        let have = |domain: &Domain| {
            let has = |index: &usize| domain.process(role, *index).and_then(first_install).is_some();
            indices.iter().all(has)
        };
        if !self.domain.run_until(LOOK, LONG, have) {
            return Err(format!(
                "of {} that started again not all had the list within {} s",
                indices.len(),
                LONG.secs()
            ));
        }
        let took = |index: &usize| {
            Some((self.domain.process(role, *index).and_then(first_install)? - started).secs())
        };
        Ok(indices.iter().filter_map(took).collect())
    }

    /// Single processes start again while the others run.
    fn starts(&mut self) -> Result<(), String> {
        let follower = (0..HOLLOW_REPLICAS).find(|index| Some(*index) != self.domain.holder()).unwrap_or(0);
        let some: Vec<usize> = (0..self.plan.hollow.min(STARTS)).collect();
        for (role, indices) in
            [(Role::Subscriber, &some[..]), (Role::Relay, &[0]), (Role::Replica, &[follower])]
        {
            let seconds = self.restart(role, indices, FORGOTTEN)?;
            let name = ROLES.iter().find(|(other, _)| *other == role).map_or("", |(_, name)| *name);
            self.rows.add(name, "start_seconds", "s", mean_and_most(seconds).0);
        }
        self.settle()
    }

    /// All schedulers of a zone start again at once.
    fn come_back(&mut self) -> Result<(), String> {
        let indices: Vec<usize> = (0..self.plan.hollow.min(RETURN)).collect();
        self.domain.reset_peaks();
        let mut seconds = self.restart(Role::Subscriber, &indices, FORGOTTEN)?;
        let received = |index: &usize| {
            let at = self.domain.address(Role::Subscriber, *index);
            self.domain.traffic().get(&at).map_or(0.0, |traffic| traffic.bytes_received as f64)
        };
        let sample: Vec<f64> = indices.iter().take(STARTS).map(received).collect();
        let peak = self.domain.peaks().values().copied().max().unwrap_or(0);
        self.rows.add("scheduler", "return_processes", "processes", indices.len() as f64);
        self.rows.add_seconds("scheduler", "return_seconds", &mut seconds);
        self.rows.add("scheduler", "return_bytes", "B", mean_and_most(sample).0);
        self.rows.add("relay", "return_bytes_per_second_max", "B/s", peak as f64);
        self.settle()
    }
}

impl Breakable for Domain {
    fn now(&self) -> Timestamp {
        Domain::now(self)
    }

    fn kill(&mut self, index: usize) {
        let (role, index) = self.all()[index];
        Domain::kill(self, role, index);
    }

    fn start(&mut self, index: usize) {
        let (role, index) = self.all()[index];
        Domain::start(self, role, index);
    }

    fn set_suspended(&mut self, index: usize, stopped: bool) {
        let (role, index) = self.all()[index];
        Domain::set_suspended(self, role, index, stopped);
    }

    fn cut(&mut self, index: usize, cut: bool) {
        let (role, index) = self.all()[index];
        let well = if self.plan().regions > 1 { FAR } else { self.plan().link };
        self.set_links_of(role, index, Link { cut, ..well });
    }
}
