//! What came of a play: a table, JSON, and a plot.

use super::audit::Broken;
use super::client::{CLASSES, Done, End};
use super::{MS, Moment, SECOND};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Counts of one class at one scheduler, or over all of them.
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
    /// Lost with a scheduler that was killed, stopped or away.
    pub lost: u64,
    /// Median time to an answer 'served', in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// A hold of a part of a task: which scheduler, when it was logged, and under which fence.
#[derive(Clone, Debug, Serialize)]
pub struct Held {
    /// Task and part.
    pub of: String,
    /// Which scheduler.
    pub scheduler: usize,
    /// The fence.
    pub fence: u64,
    /// From when on, in milliseconds since the start.
    pub from_ms: u64,
}

/// All of it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The play.
    pub play: String,
    /// Its seed.
    pub seed: u64,
    /// Rules that were broken.
    pub broken: Vec<Broken>,
    /// By class.
    pub classes: BTreeMap<&'static str, Counts>,
    /// By scheduler.
    pub schedulers: Vec<Counts>,
    /// Served, refused, and failed or lost, by second.
    pub seconds: Vec<[u64; 3]>,
    /// Worth that was served within a second, and that was asked for, by second.
    pub worth: Vec<[f64; 2]>,
    /// Calls that came to workers, for each that clients made.
    pub attempts: f64,
    /// Answers 'full' of workers.
    pub full: u64,
    /// Times that a worker fell over.
    pub fell: u64,
    /// Loads from the store.
    pub loads: u64,
    /// Probes that workers answered, a second and worker.
    pub probes: f64,
    /// Acts under leases, by scheduler.
    pub acts: BTreeMap<usize, u64>,
    /// Who held what, in the order in which it was logged.
    pub held: Vec<Held>,
    /// Milliseconds from a fault that ended a hold to the next hold of the same part, as logged.
    pub gaps_ms: Vec<u64>,
    /// Datagrams between schedulers, and bytes, a second and scheduler.
    pub datagrams: f64,
    /// See above.
    pub bytes: f64,
    /// Processor time of one scheduler, in milliseconds a second.
    pub cpu_ms: f64,
    /// Copies that stand of the three most popular functions, over all workers, by second.
    pub top_copies: Vec<usize>,
    /// Faults, as they came.
    pub faults: Vec<String>,
    /// Processes that were still up when SIGKILL came after SIGTERM.
    pub killed_overdue: u64,
    /// Faults by kind: how many came, and how many were seen to take effect.
    pub effects: BTreeMap<String, [u64; 2]>,
}

/// Counts calls that have ended.
pub fn count<'a>(done: impl Iterator<Item = &'a Done>) -> Counts {
    let mut counts = Counts::default();
    // From 1 to 60,000 ms in steps of a hundredth.
    let mut times: Histogram<u64> = Histogram::new_with_bounds(1, 60_000, 2).expect("bounds are good");
    for one in done {
        counts.calls += 1;
        match one.end {
            End::Served => {
                counts.served += 1;
                times.saturating_record((one.took / MS).max(1));
            }
            End::Refused => counts.refused += 1,
            End::Failed => counts.failed += 1,
            End::Gone => counts.gone += 1,
            End::Lost | End::Owed => counts.lost += 1,
        }
    }
    (counts.p50_ms, counts.p99_ms) =
        (times.value_at_quantile(0.5) as f64, times.value_at_quantile(0.99) as f64);
    counts
}

/// What calls of each class are worth.
pub const WORTH: [f64; 3] = [1.0, 4.0, 4.0];

/// Worth served within a second, and asked for, by second.
pub fn worth(done: &[Done], end: Moment) -> Vec<[f64; 2]> {
    let mut seconds = vec![[0.0; 2]; (end / SECOND) as usize + 1];
    for one in done {
        let Some(second) = seconds.get_mut((one.sent / SECOND) as usize) else { continue };
        second[0] += if one.end == End::Served && one.took <= SECOND { WORTH[one.class] } else { 0.0 };
        second[1] += WORTH[one.class];
    }
    seconds
}

/// By class, by scheduler and by second.
pub fn counts(
    done: &[Done],
    schedulers: usize,
    end: Moment,
) -> (BTreeMap<&'static str, Counts>, Vec<Counts>, Vec<[u64; 3]>) {
    let class = |n: usize| (CLASSES[n], count(done.iter().filter(|one| one.class == n)));
    let at = |n: usize| count(done.iter().filter(|one| one.scheduler == n));
    let mut seconds = vec![[0; 3]; (end / SECOND) as usize + 1];
    for one in done {
        let Some(second) = seconds.get_mut((one.sent / SECOND) as usize) else { continue };
        let place = match one.end {
            End::Served => 0,
            End::Refused => 1,
            _ => 2,
        };
        second[place] += 1;
    }
    ((0..CLASSES.len()).map(class).collect(), (0..schedulers).map(at).collect(), seconds)
}

impl Report {
    /// A table for people.
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
            "\n{:.2} attempts a call, {} told full, {} fell over, {} loads, {:.2} probes a second and worker",
            self.attempts, self.full, self.fell, self.loads, self.probes
        );
        if !self.held.is_empty() {
            let acts: Vec<String> = self.acts.iter().map(|(n, acts)| format!("{n}: {acts}")).collect();
            let _ = writeln!(
                out,
                "{} holds, acts under leases by scheduler: {}; {:.1} datagrams and {:.0} bytes a second and scheduler",
                self.held.len(),
                acts.join(", "),
                self.datagrams,
                self.bytes
            );
            let _ = writeln!(out, "from the end of a hold to the next, in ms: {:?}", self.gaps_ms);
        }
        let _ = writeln!(
            out,
            "{:.1} ms of processor time a second and scheduler; copies of the three most popular functions by second: {:?}",
            self.cpu_ms, self.top_copies
        );
        match self.broken.as_slice() {
            [] => out.push_str("no rule broken\n"),
            broken => {
                for one in broken {
                    let _ = writeln!(out, "BROKEN {}: {}", one.rule, one.what);
                }
            }
        }
        out
    }

    /// Calls by second and what came of them, as an SVG.
    pub fn plot(&self, path: &Path) -> Result<(), String> {
        let odd = |e: &dyn std::fmt::Display| format!("cannot plot to {}: {e}", path.display());
        let area = SVGBackend::new(path, (900, 360)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| odd(&e))?;
        let most = self.seconds.iter().map(|second| second.iter().sum::<u64>()).max().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .caption(format!("{}, seed {}: calls by second", self.play, self.seed), ("sans-serif", 16))
            .x_label_area_size(28)
            .y_label_area_size(40)
            .build_cartesian_2d(0..self.seconds.len().max(1), 0..most)
            .map_err(|e| odd(&e))?;
        chart.configure_mesh().x_desc("second").disable_x_mesh().draw().map_err(|e| odd(&e))?;
        for (place, (name, color)) in
            [("served", BLUE), ("refused", RGBColor(230, 150, 0)), ("failed or lost", RED)]
                .into_iter()
                .enumerate()
        {
            let points = self.seconds.iter().enumerate().map(|(second, counts)| (second, counts[place]));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))
                .map_err(|e| odd(&e))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()
            .map_err(|e| odd(&e))?;
        area.present().map_err(|e| odd(&e))
    }
}
