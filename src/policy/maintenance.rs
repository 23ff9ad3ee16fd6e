//! Periodic maintenance.

use super::{Actions, Policy, Timer};
use crate::interface::*;

/// Time between two rounds of maintenance: short compared to any keep-alive.
pub(super) const MAINTENANCE_INTERVAL: Duration = Duration::millis(200);
/// Window in which requests are counted where no load rate limit sets one.
const DEFAULT_RATE_WINDOW: Duration = Duration::millis(5000);
/// Lower bound of the served requests assumed for slow-start budgets, as a share of the accepted ones.
const MIN_SERVED_SHARE: f64 = 0.25;

impl Policy {
    /// Runs one round of maintenance and schedules the next.
    pub(super) fn maintain(&mut self, out: &mut Actions) {
        self.timers.add(self.now + MAINTENANCE_INTERVAL, Timer::Maintenance);
        let rate_window =
            self.settings.rules.load_rate_limit.map_or(DEFAULT_RATE_WINDOW, |rate_limit| rate_limit.span);
        self.recent.forget(self.now, rate_window);
        self.update_saturation();
        self.refill_slow_start(rate_window);
        self.rank_functions();
        self.check_silent_workers(out);
        self.check_idle_workers(out);
        self.unreachable_zones.update(self.now, &self.workers, self.requests.attempts.values());
        self.renew_keep_alives(out);
    }

    fn refill_slow_start(&mut self, rate_window: Duration) {
        let accepted = self.recent.arrivals.count();
        let served = self.recent.served.count().max(accepted * MIN_SERVED_SHARE);
        let period_s = self.popularity.window(self.now).secs().clamp(1.0, rate_window.secs().max(1.0));
        self.slow_start.refill(self.now, &self.settings.rules, &mut self.workers, served / period_s);
    }

    /// Ranks the functions if a ranking is due, and forgets idle instances.
    fn rank_functions(&mut self) {
        if !self.popularity.is_ranking_due(self.now) {
            return;
        }
        let loading = &self.settings.loading;
        self.popularity.rank(self.now, &loading.memory_mb);
        self.workers.forget_idle_instances(self.now, loading.keep_alive);
    }
}
