//! The child side: chooses a parent, reports to it, and installs complete versions from its pages.

use super::interface::DistributionOutput;
use super::log::Log;
use super::page_context::{PageContext, PageOutcome};
use super::parents::by_preference;
use super::record::{Change, Version};
use super::stage::Staging;
use super::status::{DistributionCounters, RefusedVersion};
use super::wire::{ChildReport, DistributionMessage, Interest, Page};
use crate::fleet::mix;
use crate::interface::{Duration, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;

/// Interval between the reports of a child. It varies by a quarter, so that the reports of children that started
/// together spread out.
pub const REPORT_INTERVAL: Duration = Duration::millis(500);
/// A parent that is silent for this long is left: three report intervals.
pub const PARENT_TIMEOUT: Duration = Duration::millis(1_500);
/// Without a parent, the interval between reports doubles with each round over all parents, at most this many times: to
/// 1 s. That is less load than regular reports of the same children, and a parent that is back is found within one
/// round.
const MAX_BACKOFF_DOUBLINGS: u32 = 1;
/// A parent whose version is older than this is stale, so that another one is probed.
const MAX_PARENT_AGE_MS: u32 = 5_000;
/// A probed parent replaces a stale one only if it is more up to date by at least this time.
const MIN_AGE_GAIN_MS: u32 = 1_000;
/// Interval at which a child checks whether its parent is stale.
const STALENESS_CHECK_INTERVAL: Duration = Duration::millis(5_000);
/// Interval at which a child probes its preferred parent while it follows another one.
const PREFERRED_PARENT_CHECK_INTERVAL: Duration = Duration::millis(60_000);
/// Number of pages that are acknowledged together.
const PAGES_PER_ACKNOWLEDGEMENT: u32 = 4;
/// Minimum time between acknowledgements of pages that contain nothing new.
const MIN_ACKNOWLEDGEMENT_INTERVAL: Duration = Duration::millis(50);

/// Highest sequence that is accepted, so that arithmetic on sequences cannot overflow. No domain reaches it.
const MAX_SEQUENCE: u64 = 1 << 60;

/// The state of the parent as of its last page.
#[derive(Clone, Copy, Debug, Default)]
struct ParentHead {
    version: Version,
    age_ms: u32,
}

/// The child side of a process: its parent, and the version that it is receiving.
pub struct Follower {
    interest: Interest,
    /// The configured parents, in order of preference.
    parents: Vec<SocketAddr>,
    current_parent: Option<SocketAddr>,
    /// Index of the parent to try next.
    next_parent: usize,
    /// Number of complete rounds over all parents since the last parent was left.
    rounds: u32,
    last_seen: Timestamp,
    report_at: Timestamp,
    reported_at: Timestamp,
    staleness_check_at: Timestamp,
    preferred_check_at: Timestamp,
    /// Another parent that is being probed.
    probe: Option<SocketAddr>,
    parent_head: ParentHead,
    staging: Staging,
    /// Pages that advanced the stage since the last report.
    unacknowledged: u32,
    /// Whether any page with changes was received since the last report.
    acknowledgement_pending: bool,
    /// The records differ from the parent's under the same version, so that a snapshot is needed.
    needs_snapshot: bool,
    /// Number of successive digest mismatches.
    mismatches: u32,
    up_to_date_at: Option<Timestamp>,
    refused: Option<RefusedVersion>,
    rng: SmallRng,
}

impl Follower {
    /// Creates a child without a parent and without records. Its first report is due at once.
    pub fn new(
        now: Timestamp,
        interest: Interest,
        parents: Vec<SocketAddr>,
        own_address: SocketAddr,
        seed: u64,
    ) -> Follower {
        let parents = parents.into_iter().filter(|parent| *parent != own_address).collect();
        Follower {
            interest,
            parents: by_preference(parents, own_address, seed),
            current_parent: None,
            next_parent: 0,
            rounds: 0,
            last_seen: now,
            report_at: now,
            reported_at: Timestamp(0),
            staleness_check_at: now + STALENESS_CHECK_INTERVAL,
            preferred_check_at: now + PREFERRED_PARENT_CHECK_INTERVAL,
            probe: None,
            parent_head: ParentHead::default(),
            staging: Staging::default(),
            unacknowledged: 0,
            acknowledgement_pending: false,
            needs_snapshot: false,
            mismatches: 0,
            up_to_date_at: None,
            refused: None,
            rng: SmallRng::seed_from_u64(mix(seed, 3)),
        }
    }

    /// The parent that is followed.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.current_parent
    }

    /// When the installed version was last known to be up to date.
    pub fn up_to_date_at(&self) -> Option<Timestamp> {
        self.up_to_date_at
    }

    /// Marks the log as up to date; called while this process is the publisher.
    pub fn mark_up_to_date(&mut self, now: Timestamp) {
        self.up_to_date_at = Some(now);
    }

    /// Discards the version being received, after another one was installed by other means.
    pub fn discard_staged(&mut self) {
        self.staging.clear();
    }

    /// The last version that was refused, if none was installed since.
    pub fn refused(&self) -> Option<&RefusedVersion> {
        self.refused.as_ref()
    }

    /// Leaves the current parent, and follows only this process from now on, or none.
    pub fn follow(&mut self, now: Timestamp, parent: Option<SocketAddr>, out: &mut Vec<DistributionOutput>) {
        if self.parents.as_slice() == parent.as_slice() {
            return;
        }
        self.parents = parent.into_iter().collect();
        self.next_parent = 0;
        self.rounds = 0;
        self.report_at = now;
        self.staging.change_parent(now);
        if self.current_parent.take().is_some() {
            out.push(DistributionOutput::Parent(None));
        }
    }

    /// When [`Follower::on_timeout`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        if self.parents.is_empty() {
            return None;
        }
        let silence = self.current_parent.map(|_| self.last_seen + PARENT_TIMEOUT);
        let check = self.current_parent.filter(|_| self.parents.len() > 1).map(|_| self.staleness_check_at);
        [Some(self.report_at), silence, check].into_iter().flatten().min()
    }

    /// Handles the timeout given by [`Follower::next_timeout`].
    pub fn on_timeout(
        &mut self,
        now: Timestamp,
        log: &Log,
        counters: &mut DistributionCounters,
        out: &mut Vec<DistributionOutput>,
    ) {
        if self.parents.is_empty() {
            return;
        }
        if self.current_parent.is_some() && now - self.last_seen >= PARENT_TIMEOUT {
            counters.parents_left += 1;
            self.leave_parent(now, out);
        }
        if self.current_parent.is_some() && self.parents.len() > 1 && self.staleness_check_at <= now {
            self.check_parent(now, log, out);
        }
        if self.report_at <= now {
            self.send_periodic_report(now, log, out);
        }
    }

    /// Leaves the parent. The next one in order is tried at once.
    fn leave_parent(&mut self, now: Timestamp, out: &mut Vec<DistributionOutput>) {
        let Some(left) = self.current_parent.take() else { return };
        let index = self.parents.iter().position(|parent| *parent == left).unwrap_or(0);
        self.next_parent = (index + 1) % self.parents.len().max(1);
        self.rounds = 0;
        self.report_at = now;
        self.probe = None;
        out.push(DistributionOutput::Parent(None));
    }

    fn send_periodic_report(&mut self, now: Timestamp, log: &Log, out: &mut Vec<DistributionOutput>) {
        let pause = if let Some(parent) = self.current_parent {
            self.send_report(now, parent, log, out);
            self.jittered(REPORT_INTERVAL)
        } else {
            let Some(parent) = self.parents.get(self.next_parent).copied() else { return };
            self.send_report(now, parent, log, out);
            self.next_parent = (self.next_parent + 1) % self.parents.len();
            let pause = self.jittered(Duration(REPORT_INTERVAL.0 << self.rounds.min(MAX_BACKOFF_DOUBLINGS)));
            self.rounds += u32::from(self.next_parent == 0);
            pause
        };
        self.report_at = now + pause;
    }

    /// Varies a time span by up to a quarter in both directions.
    fn jittered(&mut self, span: Duration) -> Duration {
        Duration(span.0 / 4 * 3 + self.rng.random_range(0..=span.0 / 2))
    }

    fn send_report(
        &mut self,
        now: Timestamp,
        parent: SocketAddr,
        log: &Log,
        out: &mut Vec<DistributionOutput>,
    ) {
        let mut version = log.version();
        if self.needs_snapshot {
            version.sequence = 0;
        }
        let staged = self.staging.progress().filter(|staged| !self.needs_snapshot || staged.start == 0);
        let report = ChildReport { interest: self.interest.clone(), version, digest: log.digest(), staged };
        if self.current_parent.is_none_or(|current| current == parent) {
            self.reported_at = now;
            self.unacknowledged = 0;
            self.acknowledgement_pending = false;
        }
        out.push(DistributionOutput::Send(parent, DistributionMessage::Report(report)));
    }

    /// Whether the parent has not been up to date for too long, or is behind this process.
    fn is_stale(&self, log: &Log) -> bool {
        self.parent_head.age_ms > MAX_PARENT_AGE_MS || self.parent_head.version < log.version()
    }

    /// Probes another parent: the next one if the current one is stale, or the preferred one at intervals.
    fn check_parent(&mut self, now: Timestamp, log: &Log, out: &mut Vec<DistributionOutput>) {
        self.staleness_check_at = now + self.jittered(STALENESS_CHECK_INTERVAL);
        let current =
            self.parents.iter().position(|parent| Some(*parent) == self.current_parent).unwrap_or(0);
        if self.is_stale(log) {
            let probed = self.probe.and_then(|probe| self.parents.iter().position(|at| *at == probe));
            let after = probed.unwrap_or(current);
            let next = (after + 1) % self.parents.len();
            let next = if next == current { (next + 1) % self.parents.len() } else { next };
            self.probe = Some(self.parents[next]);
        } else if current != 0 && self.preferred_check_at <= now {
            self.preferred_check_at = now + self.jittered(PREFERRED_PARENT_CHECK_INTERVAL);
            self.probe = Some(self.parents[0]);
        } else {
            self.probe = None;
        }
        if let Some(probe) = self.probe {
            self.send_report(now, probe, log, out);
        }
    }

    /// Handles a page. Pages from processes that are not configured as parents are ignored.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        page: Page,
        context: PageContext,
    ) -> PageOutcome {
        if !self.is_valid(&page) || !self.parents.contains(&from) {
            context.counters.odd += 1;
            return PageOutcome::Nothing;
        }
        if self.current_parent != Some(from) {
            let wanted = self.current_parent.is_none()
                || self.probe == Some(from) && self.is_better_parent(&page, &context);
            if !wanted {
                return PageOutcome::Nothing;
            }
            self.adopt_parent(now, from, context.out);
        }
        self.last_seen = now;
        self.parent_head = ParentHead { version: page.head, age_ms: page.age_ms };
        self.apply_page(now, from, page, context)
    }

    /// Whether a page is valid. Nothing of a peer's page is used before this check.
    fn is_valid(&self, page: &Page) -> bool {
        let ordered = page.start <= page.after && page.after <= page.upto && page.upto <= page.head.sequence;
        let fits = |change: &Change| self.interest.covers(change.topic) && change.is_well_formed();
        let in_range = page.head.sequence <= MAX_SEQUENCE;
        ordered && in_range && page.sequences().is_some() && page.changes.iter().all(fits)
    }

    fn is_better_parent(&self, page: &Page, context: &PageContext) -> bool {
        if page.head < context.log.version() {
            return false;
        }
        if self.is_stale(context.log) {
            let present = self.parent_head;
            page.head > present.version || page.age_ms.saturating_add(MIN_AGE_GAIN_MS) < present.age_ms
        } else {
            page.age_ms <= MAX_PARENT_AGE_MS
        }
    }

    fn adopt_parent(&mut self, now: Timestamp, parent: SocketAddr, out: &mut Vec<DistributionOutput>) {
        self.staging.change_parent(now);
        self.current_parent = Some(parent);
        self.probe = None;
        self.rounds = 0;
        self.report_at = self.report_at.min(now + REPORT_INTERVAL);
        self.preferred_check_at = now + self.jittered(PREFERRED_PARENT_CHECK_INTERVAL);
        self.staleness_check_at = now + self.jittered(STALENESS_CHECK_INTERVAL);
        out.push(DistributionOutput::Parent(Some(parent)));
    }

    fn apply_page(
        &mut self,
        now: Timestamp,
        parent: SocketAddr,
        page: Page,
        context: PageContext,
    ) -> PageOutcome {
        let installed = context.log.version();
        let age_ms = page.age_ms;
        if page.head <= installed
            && !page.changes.is_empty()
            && now - self.reported_at >= MIN_ACKNOWLEDGEMENT_INTERVAL
        {
            // The page was sent again because its acknowledgement was lost.
            self.send_report(now, parent, context.log, context.out);
        }
        if page.head < installed {
            return PageOutcome::Nothing;
        }
        let same = page.digest == context.log.digest();
        if page.head == installed && same {
            self.staging.clear();
            self.needs_snapshot = false;
            self.mismatches = 0;
            self.update_freshness(now, age_ms);
            return PageOutcome::Nothing;
        }
        if page.head == installed && !self.needs_snapshot {
            return self.handle_mismatch(now, parent, context);
        }
        let empty = page.after == page.head.sequence && page.changes.is_empty();
        if empty && same && installed.sequence > 0 && page.start == page.after {
            return self.adopt_version(now, parent, &page, context);
        }
        if self.needs_snapshot && page.start != 0 {
            return PageOutcome::Nothing;
        }
        if page.after == page.upto && page.upto < page.head.sequence {
            // This is a heartbeat; pages with the changes will follow.
            return PageOutcome::Nothing;
        }
        self.stage_page(now, parent, page, context)
    }

    /// Adds a page to the version being received, and installs that version once it is complete.
    fn stage_page(
        &mut self,
        now: Timestamp,
        parent: SocketAddr,
        page: Page,
        mut context: PageContext,
    ) -> PageOutcome {
        let installed = context.log.version();
        let age_ms = page.age_ms;
        let base = if self.needs_snapshot { 0 } else { installed.sequence };
        self.acknowledgement_pending |= !page.changes.is_empty();
        let advanced_by = self.staging.add_page(now, base, page);
        if advanced_by == 0 {
            // The page was out of order or a repetition: the progress is reported, but not for each such page.
            if self.acknowledgement_pending && now - self.reported_at >= MIN_ACKNOWLEDGEMENT_INTERVAL {
                self.send_report(now, parent, context.log, context.out);
            }
            return PageOutcome::Nothing;
        }
        self.unacknowledged += advanced_by;
        let outcome = self.install_complete(now, parent, age_ms, &mut context);
        if outcome == PageOutcome::Nothing && self.unacknowledged >= PAGES_PER_ACKNOWLEDGEMENT {
            self.send_report(now, parent, context.log, context.out);
        }
        outcome
    }

    /// Adopts the version of a parent that has the same records under another history.
    #[allow(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    fn adopt_version(
        &mut self,
        now: Timestamp,
        parent: SocketAddr,
        page: &Page,
        context: PageContext,
    ) -> PageOutcome {
        self.staging.clear();
        self.needs_snapshot = false;
        context.log.rebase(page.head, page.since);
        context.counters.installed += 1;
        context.out.push(DistributionOutput::Installed { version: page.head, changes: vec![] });
        self.refused = None;
        self.update_freshness(now, page.age_ms);
        self.send_report(now, parent, context.log, context.out);
        PageOutcome::Replaced
    }

    /// Installs the version being received once it is complete and passes the checks.
    fn install_complete(
        &mut self,
        now: Timestamp,
        parent: SocketAddr,
        age_ms: u32,
        context: &mut PageContext,
    ) -> PageOutcome {
        let mut outcome = PageOutcome::Nothing;
        while let Some(complete) = self.staging.complete_version(context.log) {
            if !complete.is_consistent {
                let context = PageContext {
                    log: &mut *context.log,
                    check: context.check,
                    counters: &mut *context.counters,
                    out: &mut *context.out,
                };
                self.handle_mismatch(now, parent, context);
                return outcome;
            }
            if let Some(why) = context.check.and_then(|check| check.check(&complete.changes).err()) {
                self.record_refusal(complete.head, why, context);
                self.send_report(now, parent, context.log, context.out);
                return outcome;
            }
            let snapshot = self.staging.is_snapshot();
            context.counters.snapshots += u64::from(snapshot);
            context.counters.installed += 1;
            outcome = outcome.and_installed(snapshot, &complete.changes);
            let next = self.staging.install(context.log);
            self.needs_snapshot = false;
            self.mismatches = 0;
            self.refused = None;
            context
                .out
                .push(DistributionOutput::Installed { version: complete.head, changes: complete.changes });
            self.update_freshness(now, age_ms);
            if self.acknowledgement_pending {
                self.send_report(now, parent, context.log, context.out);
            }
            if let Some(page) = next {
                self.acknowledgement_pending = true;
                self.staging.add_page(now, context.log.version().sequence, page);
            }
        }
        outcome
    }

    fn record_refusal(&mut self, version: Version, why: String, context: &mut PageContext) {
        if self.refused.as_ref().is_some_and(|refused| refused.version == version) {
            return;
        }
        context.counters.refused += 1;
        context.out.push(DistributionOutput::Refused { version, why: why.clone() });
        self.refused = Some(RefusedVersion { version, why });
    }

    /// Handles records that differ from the parent's. Requests a snapshot, at once on the first mismatch; if a snapshot
    /// itself repeatedly does not match, another parent is tried.
    #[allow(clippy::needless_pass_by_value, reason = "the caller has no further use for it")]
    fn handle_mismatch(&mut self, now: Timestamp, parent: SocketAddr, context: PageContext) -> PageOutcome {
        let was_snapshot = self.staging.is_snapshot();
        self.staging.clear();
        context.counters.mismatches += 1;
        self.mismatches += 1;
        self.needs_snapshot = true;
        if was_snapshot && self.mismatches > 1 && self.parents.len() > 1 {
            self.leave_parent(now, context.out);
            self.report_at = now + REPORT_INTERVAL;
        } else if self.mismatches == 1 {
            self.send_report(now, parent, context.log, context.out);
        }
        PageOutcome::Nothing
    }

    fn update_freshness(&mut self, now: Timestamp, age_ms: u32) {
        if age_ms != Page::NEVER {
            let at = now - Duration::millis(u64::from(age_ms));
            self.up_to_date_at = Some(self.up_to_date_at.map_or(at, |fresh| fresh.max(at)));
        }
    }
}
