//! Hollow processes of a distribution domain in virtual time: replicas that hold the log, relays, and schedulers as
//! subscribers of one zone's workers each, all with the production state machine. The domain checks its invariants
//! throughout, and a run with a violation fails.

use super::costs::{self, Cost, Snapshot};
use super::faults::{FaultTarget, Faults};
use super::plan::{HOLLOW_RELAYS, HOLLOW_REPLICAS, ZONE_COUNT};
use super::report::mean_and_max;
use super::{Plan, Row, Rows, Setup, system};
use crate::domain::{self, Domain};
use crate::hollow::HollowNode;
use crate::network::Link;
use mintgate::fleet::distribution::{Change, Role, Version};
use mintgate::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Relays that are killed together with the publisher, which makes one in four control processes.
const KILLED_RELAYS: usize = 2;
/// The link between processes of different regions.
const INTER_REGION_LINK: Link = Link {
    cut: false,
    loss: 0.0,
    duplicate: 0.0,
    corrupt: 0.0,
    delay: Duration::millis(40),
    jitter: Duration::millis(10),
};
/// How often a source checks the outcome of a publication, and how long it waits for it before it submits again.
const OUTCOME_POLL_INTERVAL: Duration = Duration::millis(100);
const OUTCOME_TIMEOUT: Duration = Duration::millis(1_000);
/// How long a domain may take to settle.
const SETTLE_TIMEOUT: Duration = Duration::millis(120_000);
/// How often restarted processes are checked.
const RESTART_POLL_INTERVAL: Duration = Duration::millis(20);
/// Time within which a change reaches all processes, if it ever does.
const PROPAGATION_TIMEOUT: Duration = Duration::millis(10_000);
/// Time after which parents have dropped a child that is gone.
const CHILD_EXPIRY: Duration = Duration::millis(5_000);
/// Schedulers restarted at once, as after the failure of a zone.
const ZONE_SCHEDULERS: usize = 900;
/// Schedulers restarted while the others run.
const SINGLE_RESTARTS: usize = 50;

const ROLE_NAMES: [(Role, &str); 3] =
    [(Role::Subscriber, "scheduler"), (Role::Relay, "relay"), (Role::Replica, "replica")];

struct Run<'a> {
    plan: &'a Plan,
    domain: Domain,
    rows: Rows,
}

/// Runs the measurements of hollow processes of a domain.
pub fn run(plan: &Plan) -> Result<Vec<Row>, String> {
    let own = std::process::id();
    // Allocates what any domain needs once, before memory is measured.
    drop(settled_domain(&Plan { workers: ZONE_COUNT, ..plan.clone() }, 1)?);
    let before = system::resident_bytes(own).unwrap_or(0);
    let (control, _) = settled_domain(plan, 0)?;
    let control_bytes = system::growth_per_process(before, 1);
    let before = system::resident_bytes(own).unwrap_or(0);
    // The first domain is kept: if the second one reused its memory, it would seem to need less.
    let (domain, publish_time) = settled_domain(plan, plan.hollow)?;
    let all_bytes = system::growth_per_process(before, 1);
    drop(control);
    let mut run = Run { plan, domain, rows: Rows::new(plan, "hollow", Setup::Distribution) };
    let bytes_per_process = (
        (all_bytes - control_bytes).max(0.0) / plan.hollow as f64,
        control_bytes / (HOLLOW_REPLICAS + HOLLOW_RELAYS) as f64,
    );
    run.rows.add("replica", "list_seconds", "s", publish_time.secs());
    run.add_memory(bytes_per_process);
    run.measure_idle();
    if plan.changes > 0.0 {
        run.measure_changes()?;
        run.measure_quarter_dead()?;
    }
    run.restart_single()?;
    run.restart_zone()?;
    let violations = run.domain.audit();
    if !violations.is_empty() {
        return Err(format!("an invariant of the domain was violated: {}", violations.join("; ")));
    }
    Ok(run.rows.rows)
}

/// A domain in which all processes have installed the complete list, and how long publishing it took.
fn settled_domain(plan: &Plan, subscribers: usize) -> Result<(Domain, Duration), String> {
    let mut domain = Domain::new(domain::Plan {
        replicas: HOLLOW_REPLICAS,
        relays: HOLLOW_RELAYS,
        subscribers,
        regions: plan.regions,
        zones: ZONE_COUNT,
        zones_per_subscriber: 1,
        workers: plan.workers,
        inter_region_link: INTER_REGION_LINK,
        seed: plan.seed,
        ..domain::Plan::default()
    });
    let started_at = domain.now();
    domain.publish_all()?;
    let publish_time = domain.now() - started_at;
    if !domain.settle(SETTLE_TIMEOUT) {
        return Err(format!(
            "{subscribers} schedulers did not have the list within {} s",
            SETTLE_TIMEOUT.secs()
        ));
    }
    let took = domain.now() - started_at;
    eprintln!(
        "scale: {subscribers} hollow subscribers have the list after {:.1} s of virtual time",
        took.secs()
    );
    Ok((domain, publish_time))
}

/// A change that the source publishes, and submits again until it is committed.
struct PendingChange {
    since: Timestamp,
    changes: Vec<Change>,
    ticket: u64,
    /// When it was last submitted.
    submitted_at: Timestamp,
    version: Option<Version>,
}

impl PendingChange {
    fn new(domain: &mut Domain, changes: Vec<Change>) -> PendingChange {
        let (since, ticket) = (domain.now(), domain.publish(changes.clone()));
        PendingChange { since, changes, ticket, submitted_at: since, version: None }
    }

    /// Checks the outcome, and submits the change again if it failed or timed out.
    fn poll(&mut self, domain: &mut Domain) {
        if self.version.is_some() {
            return;
        }
        let now = domain.now();
        match domain.outcome(self.ticket) {
            Some(Ok(version)) => self.version = Some(version),
            None if now - self.submitted_at < OUTCOME_TIMEOUT => {}
            _ => (self.ticket, self.submitted_at) = (domain.publish(self.changes.clone()), now),
        }
    }

    fn concerns(&self, node: &HollowNode) -> bool {
        self.changes.iter().any(|change| node.interest().covers(change.topic))
    }
}

/// When a process installed its first version.
fn first_install(node: &HollowNode) -> Option<Timestamp> {
    node.installs().first().map(|(at, _)| *at)
}

impl Run<'_> {
    fn snapshot(&self) -> Snapshot {
        let traffic = self.domain.traffic();
        let all = ROLE_NAMES.iter().flat_map(|(role, _)| self.domain.running(*role));
        Snapshot::new(
            all.map(|(at, node)| (at, traffic.get(&at).copied().unwrap_or_default(), node.busy_time())),
        )
    }

    fn add_memory(&mut self, (subscriber, control): (f64, f64)) {
        for (role, name) in ROLE_NAMES {
            let bytes = if role == Role::Subscriber { subscriber } else { control };
            self.rows.add(name, "resident_mb", "MB", bytes / 1e6);
            let records = self.domain.running(role).map(|(_, node)| node.node().records().count() as f64);
            let records = mean_and_max(records).0;
            self.rows.add(name, "records", "records", records);
        }
    }

    fn add_costs(&mut self, costs: &[Cost]) {
        for (role, name) in ROLE_NAMES {
            let at: BTreeMap<SocketAddr, ()> = self.domain.running(role).map(|(at, _)| (at, ())).collect();
            let of: Vec<Cost> = costs.iter().filter(|cost| at.contains_key(&cost.at)).copied().collect();
            costs::add(&mut self.rows, name, &of);
        }
    }

    fn measure_idle(&mut self) {
        let from = self.snapshot();
        self.domain.run(Duration::millis(self.plan.seconds * 1_000));
        let costs = self.snapshot().since(&from, self.plan.seconds as f64);
        self.add_costs(&costs);
    }

    /// Runs the measured seconds with changes and with `rate` faults per second. Returns the changes and the resource
    /// usage. A change that could not be published is submitted again, as a publisher's source does.
    fn run_changes(&mut self, rate: f64) -> (Vec<PendingChange>, Vec<Cost>) {
        let from = self.snapshot();
        let base = self.domain.now();
        let end = base + Duration::millis(self.plan.seconds * 1_000);
        let step = Duration((1e9 / self.plan.changes) as u64);
        let mut next = base + Duration(step.0 / 2);
        let mut faults = Faults::new(self.plan.seed, rate, base);
        let count = self.domain.all().len();
        let mut all = vec![];
        while self.domain.now() < end {
            let now = self.domain.now();
            let until =
                faults.due().into_iter().chain([next, end, now + OUTCOME_POLL_INTERVAL]).min().unwrap_or(end);
            self.domain.run(Duration(until.0.saturating_sub(now.0)));
            faults.apply_due(&mut self.domain, count);
            if next <= self.domain.now() && next < end {
                let changes = self.domain.modify_workers(1);
                all.push(PendingChange::new(&mut self.domain, changes));
                next = next + step;
            }
            all.iter_mut().for_each(|pending| pending.poll(&mut self.domain));
        }
        faults.end_all(&mut self.domain);
        let costs = self.snapshot().since(&from, self.plan.seconds as f64);
        let arrived = self.domain.now() + PROPAGATION_TIMEOUT;
        while self.domain.now() < arrived && all.iter().any(|pending| pending.version.is_none()) {
            self.domain.run(OUTCOME_POLL_INTERVAL);
            all.iter_mut().for_each(|pending| pending.poll(&mut self.domain));
        }
        self.domain.run(PROPAGATION_TIMEOUT);
        (all, costs)
    }

    fn measure_changes(&mut self) -> Result<(), String> {
        let template = self.rows.template();
        (template.changes_per_second, template.faults_per_second) = (self.plan.changes, self.plan.faults);
        let (all, costs) = self.run_changes(self.plan.faults);
        self.add_costs(&costs);
        self.add_propagation("seconds_to_all", &all);
        self.settle()
    }

    fn settle(&mut self) -> Result<(), String> {
        if self.domain.settle(SETTLE_TIMEOUT) {
            Ok(())
        } else {
            Err(format!(
                "not all processes had the last version {} s after the changes",
                SETTLE_TIMEOUT.secs()
            ))
        }
    }

    /// Adds the times from the first submission of each change until it was installed at the interested processes
    /// that ran by then.
    fn add_propagation(&mut self, quantity: &str, all: &[PendingChange]) {
        let (mut published, mut missing) = (0.0, 0.0);
        let mut seconds: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for pending in all {
            let Some(version) = pending.version else { continue };
            published += 1.0;
            for (role, name) in ROLE_NAMES {
                for (_, node) in self.domain.running(role).filter(|(_, node)| pending.concerns(node)) {
                    match node.in_force(version) {
                        // The process started later and received the change with its initial list.
                        _ if first_install(node).is_none_or(|first| first > pending.since) => {}
                        Some(at) => seconds.entry(name).or_default().push((at - pending.since).secs()),
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

    /// Kills one control process in four, the publisher among them, and measures changes while they fail over and then
    /// without them.
    fn measure_quarter_dead(&mut self) -> Result<(), String> {
        let holder = self.domain.holder().unwrap_or(0);
        let killed = (0..KILLED_RELAYS).map(|index| (Role::Relay, index)).chain([(Role::Replica, holder)]);
        let killed: Vec<(Role, usize)> = killed.collect();
        killed.iter().for_each(|(role, index)| self.domain.kill(*role, *index));
        let (during_failure, _) = self.run_changes(0.0);
        self.add_propagation("seconds_to_all_as_a_quarter_dies", &during_failure);
        let (after_failure, _) = self.run_changes(0.0);
        self.add_propagation("seconds_to_all_quarter_dead", &after_failure);
        killed.iter().for_each(|(role, index)| self.domain.start(*role, *index));
        let template = self.rows.template();
        (template.changes_per_second, template.faults_per_second) = (0.0, 0.0);
        self.settle()
    }

    /// Restarts processes and returns the seconds that each took until it had installed the list.
    fn restart(&mut self, role: Role, indices: &[usize], down: Duration) -> Result<Vec<f64>, String> {
        indices.iter().for_each(|index| self.domain.kill(role, *index));
        self.domain.run(down);
        let started = self.domain.now();
        indices.iter().for_each(|index| self.domain.start(role, *index));
        let have = |domain: &Domain| {
            let has = |index: &usize| domain.process(role, *index).and_then(first_install).is_some();
            indices.iter().all(has)
        };
        if !self.domain.run_until(RESTART_POLL_INTERVAL, SETTLE_TIMEOUT, have) {
            return Err(format!(
                "not all of {} restarted processes had the list within {} s",
                indices.len(),
                SETTLE_TIMEOUT.secs()
            ));
        }
        let took = |index: &usize| {
            Some((self.domain.process(role, *index).and_then(first_install)? - started).secs())
        };
        Ok(indices.iter().filter_map(took).collect())
    }

    /// Restarts single processes while the others run.
    fn restart_single(&mut self) -> Result<(), String> {
        let follower = (0..HOLLOW_REPLICAS).find(|index| Some(*index) != self.domain.holder()).unwrap_or(0);
        let some: Vec<usize> = (0..self.plan.hollow.min(SINGLE_RESTARTS)).collect();
        for (role, indices) in
            [(Role::Subscriber, &some[..]), (Role::Relay, &[0]), (Role::Replica, &[follower])]
        {
            let seconds = self.restart(role, indices, CHILD_EXPIRY)?;
            let name = ROLE_NAMES.iter().find(|(other, _)| *other == role).map_or("", |(_, name)| *name);
            self.rows.add(name, "start_seconds", "s", mean_and_max(seconds).0);
        }
        self.settle()
    }

    /// Restarts all schedulers of a zone at once.
    fn restart_zone(&mut self) -> Result<(), String> {
        let indices: Vec<usize> = (0..self.plan.hollow.min(ZONE_SCHEDULERS)).collect();
        self.domain.reset_peaks();
        let mut seconds = self.restart(Role::Subscriber, &indices, CHILD_EXPIRY)?;
        let received = |index: &usize| {
            let at = self.domain.address(Role::Subscriber, *index);
            self.domain.traffic().get(&at).map_or(0.0, |traffic| traffic.bytes_received as f64)
        };
        let sample: Vec<f64> = indices.iter().take(SINGLE_RESTARTS).map(received).collect();
        let peak = self.domain.peaks().values().copied().max().unwrap_or(0);
        self.rows.add("scheduler", "return_processes", "processes", indices.len() as f64);
        self.rows.add_seconds("scheduler", "return_seconds", &mut seconds);
        self.rows.add("scheduler", "return_bytes", "B", mean_and_max(sample).0);
        self.rows.add("relay", "return_bytes_per_second_max", "B/s", peak as f64);
        self.settle()
    }
}

impl FaultTarget for Domain {
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

    fn set_isolated(&mut self, index: usize, isolated: bool) {
        let (role, index) = self.all()[index];
        let healthy = if self.plan().regions > 1 { INTER_REGION_LINK } else { self.plan().link };
        self.set_links_of(role, index, Link { cut: isolated, ..healthy });
    }
}
