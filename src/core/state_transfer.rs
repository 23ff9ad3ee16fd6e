//! The core's part of an upgrade: exports its state to another process of the same scheduler, and imports it there.

use super::Core;
use super::transferred_state::TransferredState;
use super::used_references;
use crate::interface::*;

impl Core {
    /// The state for another process of this scheduler; the adapter adds the workers' addresses.
    pub fn transferred_state(&self) -> TransferredState {
        let cordons = &self.workers.cordons;
        TransferredState {
            cordoned: cordons.cordoned().map(|worker| worker.0).collect(),
            uncordoned_at: cordons.uncordoned_at().map(|(worker, at)| (worker.0, at.0)).collect(),
            load_times: self.loads.rate.load_times().map(|at| at.0).collect(),
            accept_times: self.loads.rate.transferred_arrivals().iter().map(|at| at.0).collect(),
            called_functions: self.loads.called.all().iter().map(|function| function.0).collect(),
            used_references: self.transferred_references(),
            ..TransferredState::default()
        }
    }

    /// References that must not run at another process: of ended requests that may have run, and of open ones.
    fn transferred_references(&self) -> Vec<(u64, u64)> {
        let open = self.requests.iter().filter(|request| used_references::must_not_run_again(request));
        let open = open.filter_map(|request| {
            Some((used_references::number_of(&request.work.reference)?, request.deadline.0))
        });
        self.used_references.iter().map(|(at, number)| (number, at.0)).chain(open).collect()
    }

    /// Sets whether another process of this scheduler sends the load requests instead of this one; both share one rate
    /// limit.
    pub fn yield_loads(&mut self, yielded: bool) {
        self.loads.yielded = yielded;
    }

    /// Takes over the state of the previous process, except the list of workers, which arrives like any other list.
    pub fn take_over(&mut self, now: Timestamp, state: &TransferredState) {
        let cordoned = state.cordoned.iter().map(|worker| WorkerId(*worker));
        let uncordoned_at =
            state.uncordoned_at.iter().map(|(worker, at)| (WorkerId(*worker), Timestamp(*at)));
        self.workers.cordons.take_over(cordoned, uncordoned_at);
        let load_times = state.load_times.iter().map(|at| Timestamp(*at));
        let accept_times = state.accept_times.iter().map(|at| Timestamp(*at));
        self.loads.rate.take_over(now, load_times, accept_times);
        for (number, at) in &state.used_references {
            self.used_references.record(Timestamp(*at).min(now), *number);
        }
        self.loads.called.take_over(state.called_functions.iter().map(|function| FunctionId(*function)));
        self.process_event(now, Event::Members(ListKind::Full, self.workers.effective()));
    }
}
