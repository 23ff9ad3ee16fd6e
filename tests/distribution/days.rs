//! Random faults, drawn from a seed: processes are killed, restarted without state, suspended and resumed, links are
//! cut or impaired, and former publishers still believe that they hold the lease. A majority of the replicas is always
//! alive. The domain checks the invariants of every process at every step; after the last fault has ended, all
//! processes must end up with the same records.

use crate::lagging_processes;
use lab::domain::{Domain, Plan};
use lab::network::Link;
use mintgate::fleet::distribution::{PublishError, Role, Version};
use mintgate::fleet::lease::LeaseGrant;
use mintgate::{Duration, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const RUN_LENGTH: Duration = Duration::millis(90_000);
const STEP_DURATION: Duration = Duration::millis(250);

/// The end of a fault, which is due later.
enum Recovery {
    Start(Role, usize),
    Continue(Role, usize),
    Heal,
    DropLease(usize),
}

struct FaultRun {
    domain: Domain,
    rng: SmallRng,
    recoveries: Vec<(Timestamp, Recovery)>,
    faults: usize,
}

impl FaultRun {
    fn schedule_recovery(&mut self, recovery: Recovery) {
        let span = Duration::millis(self.rng.random_range(300..9_000));
        self.recoveries.push((self.domain.now() + span, recovery));
    }

    /// Whether a majority that has all committed changes is left without this replica.
    fn may_lose(&self, index: usize) -> bool {
        let replicas = self.domain.plan().replicas;
        let ledger = self.domain.ledger();
        let others = (0..replicas).filter(|other| *other != index);
        let informed =
            others.filter(|other| ledger.is_established(self.domain.address(Role::Replica, *other)));
        informed.count() > replicas / 2
    }

    fn inject_fault(&mut self) {
        let all = self.domain.all();
        let control = self.domain.control();
        let any = all[self.rng.random_range(0..all.len())];
        let (role, index) = control[self.rng.random_range(0..control.len())];
        let replica = self.rng.random_range(0..self.domain.plan().replicas);
        self.faults += 1;
        match self.rng.random_range(0..8) {
            0 | 1 if role != Role::Replica || self.may_lose(index) => {
                self.domain.kill(role, index);
                self.schedule_recovery(Recovery::Start(role, index));
            }
            // Restarted at once, without any state.
            2 if role != Role::Replica || self.may_lose(index) => self.domain.start(role, index),
            3 => {
                let (role, index) = if any.0 == Role::Replica { (role, index) } else { any };
                self.domain.set_suspended(role, index, true);
                self.schedule_recovery(Recovery::Continue(role, index));
            }
            4 => {
                let share = self.rng.random_range(0.1..0.6);
                let side = all.into_iter().filter(|_| self.rng.random_bool(share)).collect();
                self.domain.partition(&[side]);
                self.schedule_recovery(Recovery::Heal);
            }
            5 => {
                let link = Link {
                    loss: self.rng.random_range(0.0..0.5),
                    duplicate: 0.2,
                    corrupt: 0.05,
                    jitter: Duration::millis(self.rng.random_range(1..1_000)),
                    ..Link::default()
                };
                self.domain.set_all_links(link);
                self.schedule_recovery(Recovery::Heal);
            }
            6 => {
                let link =
                    Link { delay: Duration::millis(self.rng.random_range(50..800)), ..Link::default() };
                self.domain.set_links_of(role, index, link);
                self.schedule_recovery(Recovery::Heal);
            }
            _ => {
                // A suspended clock or a failed lease service: a former holder still believes that it has the lease.
                let Some(fence) = self.domain.fence_of(replica) else { return };
                let until = self.domain.now() + Duration::millis(20_000);
                self.domain.notify_lease(replica, Some(LeaseGrant { fence, until }));
                let change = self.domain.modify_workers(1);
                self.domain.publish_at(replica, change);
                self.schedule_recovery(Recovery::DropLease(replica));
            }
        }
    }

    fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::Start(role, index) if self.domain.process(role, index).is_none() => {
                self.domain.start(role, index);
            }
            Recovery::Start(..) => {}
            Recovery::Continue(role, index) => self.domain.set_suspended(role, index, false),
            Recovery::Heal => self.domain.restore_links(),
            Recovery::DropLease(replica) => {
                if self.domain.holder() != Some(replica) {
                    self.domain.notify_lease(replica, None);
                }
            }
        }
    }

    fn recover_due(&mut self) {
        let now = self.domain.now();
        let (due, rest) = std::mem::take(&mut self.recoveries).into_iter().partition(|(at, _)| *at <= now);
        self.recoveries = rest;
        for (_, recovery) in due {
            self.recover(recovery);
        }
    }

    fn run(&mut self) {
        let end = self.domain.now() + RUN_LENGTH;
        while self.domain.now() < end {
            if self.rng.random_bool(0.2) {
                self.inject_fault();
            }
            let count = self.rng.random_range(1..5);
            let mut changes = self.domain.modify_workers(count);
            if self.rng.random_bool(0.1) {
                let worker = self.rng.random_range(0..self.domain.plan().workers as u64);
                changes.extend(self.domain.remove_worker(worker));
            }
            self.domain.publish(changes);
            self.domain.run(STEP_DURATION);
            self.recover_due();
        }
        for (_, recovery) in std::mem::take(&mut self.recoveries) {
            self.recover(recovery);
        }
        self.domain.restore_links();
    }
}

/// Publishes a change. The last fault may have ended a moment ago, and the lease with it; then the next holder
/// publishes, as the daemon of the source does. There is a holder within two terms.
fn publish_after_last_fault(domain: &mut Domain) -> Option<Result<Version, PublishError>> {
    let limit = domain.now() + Duration(2 * domain.plan().term.0);
    loop {
        let change = domain.modify_workers(1);
        let outcome = domain.publish_now(change);
        if outcome != Some(Err(PublishError::NotPublisher)) || domain.now() >= limit {
            return outcome;
        }
        domain.run(STEP_DURATION);
    }
}

/// Describes the state of the lease at the lease service, and what each replica believes about it.
fn describe_lease(domain: &Domain) -> String {
    let (now, holder, fence) = (domain.now(), domain.holder(), domain.fence());
    let status = |index| {
        let process = domain.process(Role::Replica, index)?;
        Some((index, domain.fence_of(index), process.node().status(now).publisher))
    };
    let replicas: Vec<_> = (0..domain.plan().replicas).filter_map(status).collect();
    let until = domain.lease_until();
    format!(
        "holder {holder:?} under fence {fence} until {until:?}, at {now:?}; replicas (index, fence, publishes under): {replicas:?}"
    )
}

fn run_seed(seed: u64, plan: Plan) {
    let mut domain = Domain::new(Plan { seed, ..plan });
    domain.run(Duration::millis(1_000));
    domain.publish_all().unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    let mut fault_run =
        FaultRun { domain, rng: SmallRng::seed_from_u64(seed), recoveries: vec![], faults: 0 };
    fault_run.run();
    let settled = fault_run.domain.settle(Duration::millis(30_000));
    // The current publisher still publishes.
    let lease = describe_lease(&fault_run.domain);
    let last = publish_after_last_fault(&mut fault_run.domain);
    let settled = settled && fault_run.domain.settle(Duration::millis(5_000));
    let broken = fault_run.domain.audit();
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    assert!(matches!(last, Some(Ok(_))), "seed {seed}: {last:?}; the lease before it was published: {lease}");
    assert!(
        settled,
        "seed {seed}: not all processes have {:?}: {:#?}",
        fault_run.domain.ledger().head(),
        lagging_processes(&fault_run.domain)
    );
    assert_eq!(fault_run.domain.ledger().histories(), 1, "seed {seed}: the state of the majority was lost");
    assert!(fault_run.faults > 30, "seed {seed}: {} faults", fault_run.faults);
}

/// Runs the default number of seeds, or as many as `DISTRIBUTION_DAYS` says, after skipping `DISTRIBUTION_SKIP` seeds.
fn run_seeds(first: u64, default_count: u64, plan: Plan) {
    let number = |name| std::env::var(name).ok().and_then(|count| count.parse().ok());
    let (count, skip) =
        (number("DISTRIBUTION_DAYS").unwrap_or(default_count), number("DISTRIBUTION_SKIP").unwrap_or(0));
    for seed in first + skip..first + skip + count {
        run_seed(seed, plan.clone());
    }
}

#[test]
fn random_faults_with_three_replicas_converge() {
    run_seeds(10_000, 20, Plan { replicas: 3, relays: 3, subscribers: 16, workers: 300, ..Plan::default() });
}

#[test]
fn random_faults_with_five_replicas_in_two_regions_converge() {
    let plan = Plan { replicas: 5, relays: 4, subscribers: 16, workers: 300, regions: 2, ..Plan::default() };
    run_seeds(20_000, 24, plan);
}

#[test]
fn random_faults_without_relays_converge() {
    run_seeds(30_000, 20, Plan { replicas: 3, relays: 0, subscribers: 12, workers: 300, ..Plan::default() });
}
