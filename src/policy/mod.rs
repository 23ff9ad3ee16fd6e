//! The decisions of a scheduler: which worker gets a request, and which functions are loaded where.
//!
//! [`Policy`] dispatches each event to the module that handles it. Events, actions, settings and the types in
//! them are in `src/interface.rs`; `docs/design.md` says which parts of the published design are implemented.

mod admission;
mod backoff;
mod concurrency_limit;
mod confirmation;
mod health;
mod instance;
mod latency;
mod lifecycle;
mod load_requests;
mod maintenance;
mod membership;
mod placement;
mod popularity;
mod prewarm;
mod readiness;
mod recent;
mod rendezvous;
mod requests;
mod retry;
mod slow_start;
mod table_sizes;
mod timer_queue;
mod token_bucket;
mod unreachable_zones;
mod worker_health;
mod workers;

use crate::interface::*;
use confirmation::WaitingForConfirmation;
use latency::ClassLatencies;
use load_requests::LoadRequests;
use maintenance::MAINTENANCE_INTERVAL;
use popularity::Popularity;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use readiness::ListValidity;
pub(crate) use recent::EventTimes;
use recent::RecentEvents;
use requests::Requests;
pub use retry::may_client_retry;
use slow_start::SlowStart;
pub use table_sizes::PolicyTableSizes;
use timer_queue::TimerQueue;
use unreachable_zones::UnreachableZones;
use workers::Workers;

type Actions = Vec<Action>;

/// Timers of the policy. Those that are due at the same time run in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A round of maintenance.
    Maintenance,
    /// The deadline of a request.
    Deadline(RequestId),
    /// Another try to place a request.
    Place(RequestId),
}

/// The decision logic of one scheduler. It does no I/O: events go in, actions come out.
pub struct Policy {
    settings: Settings,
    /// This scheduler's parts of the fleet's tasks.
    shares: Shares,
    rng: Pcg64Mcg,
    now: Timestamp,
    timers: TimerQueue<Timer>,
    workers: Workers,
    popularity: Popularity,
    requests: Requests,
    load_requests: LoadRequests,
    class_latencies: ClassLatencies,
    recent: RecentEvents,
    slow_start: SlowStart,
    unreachable_zones: UnreachableZones,
    list_validity: ListValidity,
    waiting_for_confirmation: WaitingForConfirmation,
    /// Share of the workers that had no room at the last round of maintenance.
    saturation: f64,
}

impl Policy {
    /// Creates a policy that knows no workers or functions yet. The seed determines all random choices.
    pub fn new(settings: Settings, seed: u64) -> Policy {
        Policy {
            class_latencies: ClassLatencies::new(&settings.classes),
            settings,
            shares: Shares::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Timestamp(0),
            timers: TimerQueue::default(),
            workers: Workers::default(),
            popularity: Popularity::default(),
            requests: Requests::default(),
            load_requests: LoadRequests::default(),
            recent: RecentEvents::default(),
            slow_start: SlowStart::default(),
            unreachable_zones: UnreachableZones::default(),
            list_validity: ListValidity::default(),
            waiting_for_confirmation: WaitingForConfirmation::default(),
            saturation: 0.0,
        }
    }

    /// Applies new settings. Classes are matched by index: a class that differs from the old one at its index
    /// is new.
    pub fn configure(&mut self, settings: Settings) {
        self.class_latencies.configure(&self.settings.classes, &settings.classes);
        self.settings = settings;
        // The new rules may change which workers are warming up.
        self.slow_start.add_all(self.workers.ids());
        self.workers.set_sizes(self.settings.weights_are_sizes);
    }

    /// Processes an event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.timers.is_empty() {
            self.start(out);
        }
        match event {
            Event::Members(kind, members) => self.on_members(kind, members, out),
            Event::Request(request) => self.on_request(request, out),
            Event::Outcome(outcome) => self.on_outcome(outcome, out),
            Event::ClientGone(id) => self.on_client_gone(id, out),
            Event::Loaded(loaded) => self.on_loaded(loaded, out),
            Event::Probed(worker, status, report) => self.on_probed(worker, status, &report, out),
            Event::Wanted(function, memory_mb) => self.on_wanted(function, memory_mb, out),
            Event::Shares(shares) => self.shares = shares,
            Event::ListSource(source) => self.list_validity.observe(self.now, source, &self.settings),
            Event::PeerHealth(worker, answered, at) => self.on_peer_health(worker, answered, at),
            Event::Timeout => self.timers.wakeup_arrived(),
        }
        self.run_timers(out);
    }

    /// Starts the periodic timers on the first event.
    fn start(&mut self, out: &mut Actions) {
        self.timers.add(self.now + MAINTENANCE_INTERVAL, Timer::Maintenance);
        self.popularity.start_window(self.now);
        if self.settings.discovery == Discovery::OnRequest {
            out.push(Action::Subscribe);
        }
    }

    /// Runs the expired timers, and requests a wake-up for the next one.
    fn run_timers(&mut self, out: &mut Actions) {
        let pending = &self.requests.pending;
        // Timers of requests that have ended stay queued until they are due, which may be an hour away.
        self.timers.sweep(|timer| match timer {
            Timer::Maintenance => true,
            Timer::Deadline(id) | Timer::Place(id) => pending.contains_key(id),
        });
        while let Some(due) = self.timers.pop_due(self.now) {
            match due {
                Timer::Maintenance => self.maintain(out),
                Timer::Deadline(id) => self.reject(id, out),
                Timer::Place(id) => self.place(id, out),
            }
        }
        if let Some(after) = self.timers.next_wakeup(self.now) {
            out.push(Action::SetTimer { after });
        }
    }
}

#[cfg(test)]
mod tests;
