//! Ranking of mechanisms: candidates by the factor by which they exceeded their budget, before and after.

use super::estimate::{Estimate, format_figure};
use super::grid::Grid;
use super::model::{Model, SECONDS_PER_DAY};
use super::roles;

/// A mechanism and the quantity by which it is ranked.
struct Candidate {
    name: &'static str,
    metric: &'static str,
    unit: &'static str,
    budget: f64,
    before: Estimate,
    after: Estimate,
    enables: &'static str,
}

impl Candidate {
    fn factor(&self) -> f64 {
        // Candidates without a measurement come last.
        Some((self.before / self.budget).value).filter(|factor| factor.is_finite()).unwrap_or(-1.0)
    }
}

fn candidates(model: &Model) -> Vec<Candidate> {
    let (workers, region) = (model.workers(), model.workers_of_region());
    let rate = model.target("changes_a_day") / SECONDS_PER_DAY;
    let (bytes, cpu) = (model.byte_budget(), model.target("control_cpu_percent"));
    let memory = model.target("control_memory_mb");
    let kept = model.functions_in_window();
    let incremental_changes = "a change costs what it is, not the list";
    let regional_state = "state and work by the region, not the fleet";
    let rare_functions = "rare functions at any list";
    let candidate = |name, metric, unit, budget, before, after, enables| Candidate {
        name,
        metric,
        unit,
        budget,
        before,
        after,
        enables,
    };
    vec![
        candidate(
            "distribution of list and settings",
            "bytes a second for changes, list of the fleet",
            "B/s",
            bytes,
            model.measured("before_change_bytes", workers) * rate,
            roles::scheduler_bytes(model),
            incremental_changes,
        ),
        candidate(
            "distribution of list and settings",
            "processor for changes, list of the fleet",
            "%",
            cpu,
            model.measured("before_change_seconds", workers) * rate * 100.0,
            model.measured("cpu_changes", workers),
            incremental_changes,
        ),
        candidate(
            "distribution of list and settings",
            "longest standstill",
            "ms",
            model.target("still_ms"),
            model.measured("before_still_ms", workers),
            model.measured("still_ms", workers),
            incremental_changes,
        ),
        candidate(
            "module's order by function",
            "memory of functions in the window",
            "MB",
            memory,
            model.measured("before_function_bytes", workers) * kept / 1e6,
            model.measured("function_bytes", workers) * kept / 1e6,
            rare_functions,
        ),
        candidate(
            "module's order by function",
            "processor of first calls, one a call",
            "%",
            cpu,
            model.measured("before_first_call_ms", workers) * model.calls_of_scheduler() / 10.0,
            model.measured("first_call_ms", workers) * model.calls_of_scheduler() / 10.0,
            rare_functions,
        ),
        candidate(
            "module's order by function",
            "standstill for one look at holds, one gold function on its way",
            "ms",
            model.target("still_ms"),
            model.measured("before_gold_walk_ms", workers),
            model.measured("gold_walk_ms", workers),
            rare_functions,
        ),
        candidate(
            "cells: a part of the fleet for each scheduler",
            "idle processor",
            "%",
            cpu,
            model.measured("before_cpu", workers),
            model.measured("cpu", region),
            regional_state,
        ),
        candidate(
            "cells: a part of the fleet for each scheduler",
            "memory of the list",
            "MB",
            memory,
            model.measured("before_memory_mb", workers),
            model.measured("memory_mb", region),
            regional_state,
        ),
        candidate(
            "membership beyond its indices",
            "members against indices",
            "",
            model.target("members_bound"),
            model.target("schedulers").into(),
            model.schedulers_of_region().into(),
            "one fleet over all regions; a fleet a region needs it not",
        ),
    ]
}

/// The ranking, with the largest factor over budget first.
pub fn ranking(model: &Model) -> String {
    let mut all = candidates(model);
    all.sort_by(|a, b| b.factor().total_cmp(&a.factor()));
    let mut grid = Grid::new(&[
        "mechanism",
        "by",
        "budget",
        "before",
        "times the budget",
        "after",
        "times the budget",
        "makes possible",
    ]);
    let times = |value: Estimate, budget: f64| {
        if value.is_known() { format_figure((value / budget).value) } else { "not measured".to_owned() }
    };
    for candidate in all {
        grid.push(&[
            candidate.name.to_owned(),
            candidate.metric.to_owned(),
            Estimate::from(candidate.budget).show(candidate.unit),
            candidate.before.show(candidate.unit),
            times(candidate.before, candidate.budget),
            candidate.after.show(candidate.unit),
            times(candidate.after, candidate.budget),
            candidate.enables.to_owned(),
        ]);
    }
    grid.text()
}
