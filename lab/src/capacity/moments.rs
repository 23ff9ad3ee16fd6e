//! The worst moments: what they bring to a scheduler and to a control process.

use super::codec;
use super::estimate::{Estimate, count, show};
use super::grid::Grid;
use super::model::Model;
use super::roles;

/// A moment as it reaches one scheduler, and how many it reaches at once.
struct Moment {
    name: &'static str,
    /// Changed records, and their bytes, that a scheduler takes in.
    records: f64,
    bytes: f64,
    /// Schedulers that take them in at the same control process.
    children: f64,
    /// Seconds over which it comes by itself; 0 where all is there at once.
    over: f64,
    carries: &'static str,
}

/// The list of a region and the settings, whole.
fn whole(model: &Model) -> (f64, f64) {
    (model.workers_of_region() + model.assumed("settings_records"), roles::state_bytes(model))
}

fn moments(model: &Model) -> Vec<Moment> {
    let worker = codec::paged(codec::worker_bytes());
    let class = codec::paged(codec::class_bytes(model.assumed("class_bytes")));
    let (region, zone) = (model.children_alone(), model.schedulers_of_zone());
    let (records, bytes) = whole(model);
    let missed = (model.target("changes_a_day") / 24.0 * model.target("cut_hours"))
        .min(model.assumed("settings_records"));
    let burst = model.target("burst_times") * model.settings_changes();
    let window = model.assumed("budget_window_seconds");
    let back = model.workers_of_zone();
    let rack = model.assumed("machines_a_rack");
    let of = |name, records, bytes, children, over, carries| Moment {
        name,
        records,
        bytes,
        children,
        over,
        carries,
    };
    vec![
        of(
            "a zone's workers back at once, to all of the region",
            back,
            back * worker,
            region,
            0.0,
            "changes, not wholes; pages",
        ),
        of(
            "a rack of workers gone, to all of the region",
            rack,
            rack * worker,
            region,
            0.0,
            "changes, not wholes; pages",
        ),
        of(
            "a region back after an hour's cut: settings",
            missed,
            missed * class,
            region,
            0.0,
            "compacted log: each record once; paced catch-up",
        ),
        of(
            "all schedulers of a zone restarted: list and settings whole",
            records,
            bytes,
            zone,
            0.0,
            "snapshot in pages, paced, round robin",
        ),
        of(
            "changes at ten times the mean, for the window",
            burst * window,
            burst * window * class,
            region,
            window,
            "live pages, one for many changes",
        ),
        of(
            "list and settings asked for whole by all of a region",
            records,
            bytes,
            region,
            0.0,
            "snapshot in pages, paced, round robin",
        ),
    ]
}

/// What each moment costs a scheduler.
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
    let each = model.growth("cpu_by_changes") / 100.0;
    let idle = roles::scheduler_bytes(model);
    let resting = model.measured("cpu", model.workers_of_region());
    let held = model.measured("memory_mb", model.workers_of_region());
    let staged = model.growth("memory_mb");
    for moment in moments(model) {
        let mean = idle + moment.bytes / window;
        let cpu = resting + each * moment.records / window * 100.0;
        // What comes stands beside what is in force until it is whole.
        let memory = held + staged * moment.records;
        grid.push(&[
            moment.name.to_owned(),
            show(moment.records),
            Estimate::from(moment.bytes).show("B"),
            mean.show("B/s"),
            mean.against(model.byte_budget()),
            cpu.show("%"),
            cpu.against(model.target("control_cpu_percent")),
            memory.show("MB"),
            memory.against(model.target("control_memory_mb")),
            moment.carries.to_owned(),
        ]);
    }
    grid.text()
}

/// Seconds in which a control process has served a catch-up of so many children, at the pace that it is set to.
pub fn seconds_paced(model: &Model, bytes: f64, children: f64) -> f64 {
    bytes * children / model.assumed("catch_up_bytes_per_second")
}

/// What each moment costs a control process that is alone in its region.
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
    let pace = model.assumed("catch_up_bytes_per_second");
    let resting = model.measured("relay_bytes", model.children_alone());
    let idle_cpu = model.measured("relay_cpu", model.children_alone());
    let byte = model.growth("relay_cpu") / 100.0 / model.growth("relay_bytes");
    for moment in moments(model) {
        let bytes = moment.bytes * moment.children;
        let live = moment.over > 0.0;
        let rate = if live { bytes / moment.over } else { pace };
        let seconds = if live { moment.over } else { bytes / pace };
        let sent = resting + rate;
        let cpu = idle_cpu + byte * rate * 100.0;
        grid.push(&[
            moment.name.to_owned(),
            show(moment.children),
            Estimate::from(bytes).show("B"),
            if live { "as they come".to_owned() } else { Estimate::from(seconds).show("s") },
            if live { String::new() } else { Estimate::from(seconds).against(window) },
            sent.show("B/s"),
            sent.against(model.assumed("control_machine_bytes")),
            cpu.show("%"),
            cpu.against(model.assumed("control_machine_cpu_percent")),
        ]);
    }
    grid.text()
}

/// How long commits take: one batch at a time, each a round trip to a majority of replicas.
pub fn commits(model: &Model) -> String {
    let (far, near) = (model.assumed("round_trip_between_regions"), model.assumed("round_trip_in_a_region"));
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
    let classes = (codec::page_room() / class).floor().max(1.0);
    for (what, changes, each, by_regions) in [
        ("one change of settings, in the global domain", 1.0, 1.0, far),
        ("a second of settings at ten times the mean, in the global domain", burst, classes, far),
        ("a rack of workers gone", model.assumed("machines_a_rack"), codec::workers_a_batch(), near),
        ("a zone's workers back at once", model.workers_of_zone(), codec::workers_a_batch(), near),
        ("the first list of the fleet", model.workers(), codec::workers_a_batch(), near),
    ] {
        let batches = (changes / each).ceil();
        let times = [far, by_regions].map(|round_trip| Estimate::from(batches * round_trip));
        grid.push(&[
            what.to_owned(),
            show(changes),
            count(batches),
            times[0].show("s"),
            times[0].against(target),
            times[1].show("s"),
            times[1].against(target),
        ]);
    }
    grid.text()
}
