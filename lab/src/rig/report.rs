//! The report of a run: a table, JSON, and a plot.

use super::audit::Violation;
use super::client::{CLASS_NAMES, CallOutcome, FinishedCall};
use super::{MILLISECOND, Moment, SECOND};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Outcomes of the calls of one class or at one scheduler.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Calls made.
    pub calls: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Given up by their clients.
    pub gone: u64,
    /// Lost with a scheduler that was killed, stopped or unreachable.
    pub lost: u64,
    /// Median time to the answer of a served call, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
}

/// A grant of one part of a task, as logged.
#[derive(Clone, Debug, Serialize)]
pub struct Hold {
    /// Task and part.
    pub of: String,
    /// Index of the scheduler that holds it.
    pub scheduler: usize,
    /// The fence of the lease.
    pub fence: u64,
    /// When it was logged, in milliseconds since the start.
    pub from_ms: u64,
}

/// The report of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub play: String,
    /// Its seed.
    pub seed: u64,
    /// Violated rules.
    pub broken: Vec<Violation>,
    /// Outcomes by class.
    pub classes: BTreeMap<&'static str, Counts>,
    /// Outcomes by scheduler.
    pub schedulers: Vec<Counts>,
    /// Calls served, refused, and failed or lost, by second.
    pub seconds: Vec<[u64; 3]>,
    /// Priority weight of the calls served within a second, and of all calls made, by second.
    pub worth: Vec<[f64; 2]>,
    /// Attempts received by workers, per call made.
    pub attempts: f64,
    /// Answers 'full' given by workers.
    pub full: u64,
    /// Times a worker crashed under overload.
    pub fell: u64,
    /// Loads from the store.
    pub loads: u64,
    /// Probes answered, per second and worker.
    pub probes: f64,
    /// Actions under leases, by scheduler.
    pub acts: BTreeMap<usize, u64>,
    /// Holders of the leases, in the order in which they were logged.
    pub held: Vec<Hold>,
    /// Milliseconds from a fault that ended a hold to the next logged hold of the same part.
    pub gaps_ms: Vec<u64>,
    /// Datagrams between schedulers, per second and scheduler.
    pub datagrams: f64,
    /// Bytes of these datagrams, per second and scheduler.
    pub bytes: f64,
    /// Processor time per scheduler, in milliseconds per second.
    pub cpu_ms: f64,
    /// Instances of the three most popular functions that are ready, over all workers, by second.
    pub top_copies: Vec<usize>,
    /// Faults in the order in which they began.
    pub faults: Vec<String>,
    /// Processes still running when SIGKILL followed SIGTERM.
    pub killed_overdue: u64,
    /// By kind of fault: how many began, and how many were observed to take effect.
    pub effects: BTreeMap<String, [u64; 2]>,
}

/// Counts the outcomes of finished calls.
pub fn count_outcomes<'a>(done: impl Iterator<Item = &'a FinishedCall>) -> Counts {
    let mut counts = Counts::default();
    // From 1 to 60,000 ms with two significant digits.
    let mut times: Histogram<u64> = Histogram::new_with_bounds(1, 60_000, 2).expect("bounds are good");
    for one in done {
        counts.calls += 1;
        match one.outcome {
            CallOutcome::Served => {
                counts.served += 1;
                times.saturating_record((one.latency / MILLISECOND).max(1));
            }
            CallOutcome::Refused => counts.refused += 1,
            CallOutcome::Failed => counts.failed += 1,
            CallOutcome::ClientGone => counts.gone += 1,
            CallOutcome::Lost | CallOutcome::Unanswered => counts.lost += 1,
        }
    }
    (counts.p50_ms, counts.p99_ms) =
        (times.value_at_quantile(0.5) as f64, times.value_at_quantile(0.99) as f64);
    counts
}

/// Priority weight of a call, by class.
pub const PRIORITY_WEIGHTS: [f64; 3] = [1.0, 4.0, 4.0];

/// Priority weight of the calls served within a second, and of all calls made, by second.
pub fn served_worth(done: &[FinishedCall], end: Moment) -> Vec<[f64; 2]> {
    let mut seconds = vec![[0.0; 2]; (end / SECOND) as usize + 1];
    for one in done {
        let Some(second) = seconds.get_mut((one.sent / SECOND) as usize) else { continue };
        second[0] += if one.outcome == CallOutcome::Served && one.latency <= SECOND {
            PRIORITY_WEIGHTS[one.class]
        } else {
            0.0
        };
        second[1] += PRIORITY_WEIGHTS[one.class];
    }
    seconds
}

/// Outcomes by class, by scheduler and by second.
pub fn group_counts(
    done: &[FinishedCall],
    schedulers: usize,
    end: Moment,
) -> (BTreeMap<&'static str, Counts>, Vec<Counts>, Vec<[u64; 3]>) {
    let class = |n: usize| (CLASS_NAMES[n], count_outcomes(done.iter().filter(|one| one.class == n)));
    let at = |n: usize| count_outcomes(done.iter().filter(|one| one.scheduler == n));
    let mut seconds = vec![[0; 3]; (end / SECOND) as usize + 1];
    for one in done {
        let Some(second) = seconds.get_mut((one.sent / SECOND) as usize) else { continue };
        let column = match one.outcome {
            CallOutcome::Served => 0,
            CallOutcome::Refused => 1,
            _ => 2,
        };
        second[column] += 1;
    }
    ((0..CLASS_NAMES.len()).map(class).collect(), (0..schedulers).map(at).collect(), seconds)
}

impl Report {
    /// Formats the report as a table.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(out, "{} with seed {}", self.play, self.seed);
        for fault in &self.faults {
            let _ = writeln!(out, "  {fault}");
        }
        let _ = writeln!(
            out,
            "\n{:<16} {:>7} {:>7} {:>8} {:>7} {:>6} {:>8} {:>8}",
            "", "calls", "served", "refused", "failed", "lost", "p50 ms", "p99 ms"
        );
        let mut row = |name: &str, c: &Counts| {
            let _ = writeln!(
                out,
                "{name:<16} {:>7} {:>7} {:>8} {:>7} {:>6} {:>8.0} {:>8.0}",
                c.calls, c.served, c.refused, c.failed, c.lost, c.p50_ms, c.p99_ms
            );
        };
        self.classes.iter().for_each(|(name, counts)| row(name, counts));
        self.schedulers.iter().enumerate().for_each(|(n, counts)| row(&format!("scheduler {n}"), counts));
        let _ = writeln!(
            out,
            "\n{:.2} attempts per call, {} answers 'full', {} worker crashes, {} loads, {:.2} probes per second and worker",
            self.attempts, self.full, self.fell, self.loads, self.probes
        );
        if !self.held.is_empty() {
            let acts: Vec<String> = self.acts.iter().map(|(n, acts)| format!("{n}: {acts}")).collect();
            let _ = writeln!(
                out,
                "{} holds, actions under leases by scheduler: {}; {:.1} datagrams and {:.0} bytes per second and scheduler",
                self.held.len(),
                acts.join(", "),
                self.datagrams,
                self.bytes
            );
            let _ = writeln!(out, "from the end of a hold to the next, in ms: {:?}", self.gaps_ms);
        }
        let _ = writeln!(
            out,
            "{:.1} ms of processor time per second and scheduler; instances of the three most popular functions by second: {:?}",
            self.cpu_ms, self.top_copies
        );
        match self.broken.as_slice() {
            [] => out.push_str("no rule violated\n"),
            broken => {
                for one in broken {
                    let _ = writeln!(out, "BROKEN {}: {}", one.rule, one.what);
                }
            }
        }
        out
    }

    /// Plots the outcomes of calls by second, as an SVG.
    pub fn plot(&self, path: &Path) -> Result<(), String> {
        let plot_error = |e: &dyn std::fmt::Display| format!("cannot plot to {}: {e}", path.display());
        let area = SVGBackend::new(path, (900, 360)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| plot_error(&e))?;
        let max_calls =
            self.seconds.iter().map(|second| second.iter().sum::<u64>()).max().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .caption(format!("{}, seed {}: calls by second", self.play, self.seed), ("sans-serif", 16))
            .x_label_area_size(28)
            .y_label_area_size(40)
            .build_cartesian_2d(0..self.seconds.len().max(1), 0..max_calls)
            .map_err(|e| plot_error(&e))?;
        chart.configure_mesh().x_desc("second").disable_x_mesh().draw().map_err(|e| plot_error(&e))?;
        for (column, (name, color)) in
            [("served", BLUE), ("refused", RGBColor(230, 150, 0)), ("failed or lost", RED)]
                .into_iter()
                .enumerate()
        {
            let points = self.seconds.iter().enumerate().map(|(second, counts)| (second, counts[column]));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))
                .map_err(|e| plot_error(&e))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()
            .map_err(|e| plot_error(&e))?;
        area.present().map_err(|e| plot_error(&e))
    }
}
