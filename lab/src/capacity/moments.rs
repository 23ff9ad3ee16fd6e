//! Peak events: their cost to a scheduler and to a control process.

use super::codec;
use super::estimate::{Estimate, format_count, format_figure};
use super::grid::Grid;
use super::model::Model;
use super::roles;

/// A peak event: what one scheduler receives, and how many schedulers receive it at once.
struct PeakEvent {
    name: &'static str,
    /// Changed records that a scheduler receives, and their bytes.
    records: f64,
    bytes: f64,
    /// Schedulers that receive them from the same control process.
    children: f64,
    /// Seconds over which the changes occur; 0 if all occur at once.
    duration_seconds: f64,
    mechanism: &'static str,
}

/// Records and bytes of the full list of a region and the settings.
fn full_state(model: &Model) -> (f64, f64) {
    (model.workers_of_region() + model.assumed("settings_records"), roles::state_bytes(model))
}

fn peak_events(model: &Model) -> Vec<PeakEvent> {
    let worker = codec::with_page_headers(codec::worker_bytes());
    let class = codec::with_page_headers(codec::class_bytes(model.assumed("class_bytes")));
    let (region, zone) = (model.children_alone(), model.schedulers_of_zone());
    let (records, bytes) = full_state(model);
    let missed_changes = (model.target("changes_a_day") / 24.0 * model.target("cut_hours"))
        .min(model.assumed("settings_records"));
    let burst = model.target("burst_times") * model.settings_changes();
    let window = model.assumed("budget_window_seconds");
    let workers_back = model.workers_of_zone();
    let rack = model.assumed("machines_a_rack");
    let event = |name, records, bytes, children, duration_seconds, mechanism| PeakEvent {
        name,
        records,
        bytes,
        children,
        duration_seconds,
        mechanism,
    };
    vec![
        event(
            "a zone's workers back at once, to all of the region",
            workers_back,
            workers_back * worker,
            region,
            0.0,
            "changes, not wholes; pages",
        ),
        event(
            "a rack of workers gone, to all of the region",
            rack,
            rack * worker,
            region,
            0.0,
            "changes, not wholes; pages",
        ),
        event(
            "a region back after an hour's cut: settings",
            missed_changes,
            missed_changes * class,
            region,
            0.0,
            "compacted log: each record once; paced catch-up",
        ),
        event(
            "all schedulers of a zone restarted: list and settings whole",
            records,
            bytes,
            zone,
            0.0,
            "snapshot in pages, paced, round robin",
        ),
        event(
            "changes at ten times the mean, for the window",
            burst * window,
            burst * window * class,
            region,
            window,
            "live pages, one for many changes",
        ),
        event(
            "list and settings asked for whole by all of a region",
            records,
            bytes,
            region,
            0.0,
            "snapshot in pages, paced, round robin",
        ),
    ]
}

/// The cost of each peak event to a scheduler.
pub fn scheduler(model: &Model) -> String {
    let window = model.assumed("budget_window_seconds");
    let mut grid = Grid::new(&[
        "moment",
        "records",
        "bytes",
        "mean over the window, all else besides",
        "holds",
        "processor over the window",
        "holds",
        "memory meanwhile",
        "holds",
        "carried by",
    ]);
    let cpu_per_change = model.slope_of("cpu_by_changes") / 100.0;
    let idle_bytes = roles::scheduler_bytes(model);
    let baseline = model.measured("cpu", model.workers_of_region());
    let memory_baseline = model.measured("memory_mb", model.workers_of_region());
    let memory_per_record = model.slope_of("memory_mb");
    for event in peak_events(model) {
        let mean = idle_bytes + event.bytes / window;
        let cpu = baseline + cpu_per_change * event.records / window * 100.0;
        // Received records are staged in addition to those in force until they are complete.
        let memory = memory_baseline + memory_per_record * event.records;
        grid.push(&[
            event.name.to_owned(),
            format_figure(event.records),
            Estimate::from(event.bytes).show("B"),
            mean.show("B/s"),
            mean.against_budget(model.byte_budget()),
            cpu.show("%"),
            cpu.against_budget(model.target("control_cpu_percent")),
            memory.show("MB"),
            memory.against_budget(model.target("control_memory_mb")),
            event.mechanism.to_owned(),
        ]);
    }
    grid.text()
}

/// Seconds that a control process takes to serve a catch-up of `bytes` to each of its children at the configured rate.
pub fn catch_up_seconds(model: &Model, bytes: f64, children: f64) -> f64 {
    bytes * children / model.assumed("catch_up_bytes_per_second")
}

/// The cost of each peak event to a control process that is alone in its region.
pub fn control(model: &Model) -> String {
    let window = model.assumed("budget_window_seconds");
    let mut grid = Grid::new(&[
        "moment",
        "children",
        "bytes in all",
        "until all have it",
        "holds",
        "bytes a second meanwhile",
        "of the machine",
        "processor meanwhile",
        "of the machine",
    ]);
    let rate_limit = model.assumed("catch_up_bytes_per_second");
    let baseline = model.measured("relay_bytes", model.children_alone());
    let idle_cpu = model.measured("relay_cpu", model.children_alone());
    let cpu_per_byte = model.slope_of("relay_cpu") / 100.0 / model.slope_of("relay_bytes");
    for event in peak_events(model) {
        let bytes = event.bytes * event.children;
        let spread_out = event.duration_seconds > 0.0;
        let rate = if spread_out { bytes / event.duration_seconds } else { rate_limit };
        let seconds = if spread_out { event.duration_seconds } else { bytes / rate_limit };
        let sent = baseline + rate;
        let cpu = idle_cpu + cpu_per_byte * rate * 100.0;
        grid.push(&[
            event.name.to_owned(),
            format_figure(event.children),
            Estimate::from(bytes).show("B"),
            if spread_out { "as they come".to_owned() } else { Estimate::from(seconds).show("s") },
            if spread_out { String::new() } else { Estimate::from(seconds).against_budget(window) },
            sent.show("B/s"),
            sent.against_budget(model.assumed("control_machine_bytes")),
            cpu.show("%"),
            cpu.against_budget(model.assumed("control_machine_cpu_percent")),
        ]);
    }
    grid.text()
}

/// Duration of commits: batches are committed one after another, each in one round trip to a majority of replicas.
pub fn commits(model: &Model) -> String {
    let (between_regions, within_region) =
        (model.assumed("round_trip_between_regions"), model.assumed("round_trip_in_a_region"));
    let target = model.target("in_force_seconds");
    let burst = model.settings_changes() * model.target("burst_times");
    let head = [
        "what",
        "changes",
        "batches",
        "one domain over regions",
        "within the target",
        "a domain a region",
        "within the target",
    ];
    let mut grid = Grid::new(&head);
    let class = codec::class_bytes(model.assumed("class_bytes"));
    let classes = (codec::page_capacity_bytes() / class).floor().max(1.0);
    for (what, changes, per_batch, round_trip) in [
        ("one change of settings, in the global domain", 1.0, 1.0, between_regions),
        ("a second of settings at ten times the mean, in the global domain", burst, classes, between_regions),
        (
            "a rack of workers gone",
            model.assumed("machines_a_rack"),
            codec::workers_per_batch(),
            within_region,
        ),
        ("a zone's workers back at once", model.workers_of_zone(), codec::workers_per_batch(), within_region),
        ("the first list of the fleet", model.workers(), codec::workers_per_batch(), within_region),
    ] {
        let batches = (changes / per_batch).ceil();
        let times = [between_regions, round_trip].map(|seconds| Estimate::from(batches * seconds));
        grid.push(&[
            what.to_owned(),
            format_figure(changes),
            format_count(batches),
            times[0].show("s"),
            times[0].against_budget(target),
            times[1].show("s"),
            times[1].against_budget(target),
        ]);
    }
    grid.text()
}
