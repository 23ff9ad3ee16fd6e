//! What an assumption moves: key figures derived anew with another value of it.

use super::codec;
use super::estimate::Estimate;
use super::model::Model;
use super::{moments, questions, roles};

/// A move that is told: a tenth of the figure.
const TOLD: f64 = 0.1;

/// The figures on which the page's verdicts rest.
fn key_figures(model: &Model) -> Vec<(&'static str, Estimate, &'static str)> {
    let window = model.assumed("budget_window_seconds");
    let state = roles::state_bytes(model);
    let burst = model.settings_changes()
        * model.target("burst_times")
        * codec::class_bytes(model.assumed("class_bytes"));
    let cold = questions::cold_bound(model) / model.assumed("stores");
    let lanes = questions::lanes_wanted(model, cold).map_or(f64::INFINITY, |lanes| lanes as f64);
    let zone = moments::seconds_paced(model, state, model.schedulers_of_zone());
    let record = model.assumed("instance_record_bytes");
    let hearing = model.target("instances") * record / model.byte_budget();
    let reach =
        if model.assumed("cut_off_regions_count") > 0.0 { model.target("cut_hours") * 3_600.0 } else { 0.0 };
    let zone_part = model.workers_of_zone() / model.workers();
    let pace = model.assumed("catch_up_bytes_per_second");
    let alone = model.children_alone();
    let (far, near) = (model.assumed("round_trip_between_regions"), model.assumed("round_trip_in_a_region"));
    let zone_batches = (model.workers_of_zone() / codec::workers_a_batch()).ceil();
    let cpu_part = model.measured("relay_cpu", alone) / model.assumed("control_machine_cpu_percent");
    let memory_part =
        model.measured("relay_memory_mb", model.workers()) / model.assumed("control_machine_mb");
    vec![
        ("workers", model.workers().into(), ""),
        ("workers of a region", model.workers_of_region().into(), ""),
        ("list and settings whole", state.into(), "B"),
        ("the same, mean over the window", (state / window).into(), "B/s"),
        ("a burst of changes", burst.into(), "B/s"),
        ("changes of the list heard", (model.list_changes() * codec::worker_bytes()).into(), "B/s"),
        ("a zone's schedulers restarted, until all have all", zone.into(), "s"),
        ("workers back with a zone", model.workers_of_zone().into(), ""),
        ("functions homed at a worker", (model.target("functions") / model.workers()).into(), ""),
        ("functions in a region", model.functions_of_region().into(), ""),
        ("hearing of all instances once", hearing.into(), "s"),
        (
            "hearing of rare ones' loads and unloads",
            (2.0 * questions::cold_bound(model) * record).into(),
            "B/s",
        ),
        ("cold starts a second at most", questions::cold_bound(model).into(), ""),
        ("fetches at a time at a store", lanes.into(), ""),
        ("a change in force in a region that is cut off, at the latest", reach.into(), "s"),
        (
            "workers in a rack, of the region",
            (model.assumed("machines_a_rack") / model.workers_of_region() * 100.0).into(),
            "%",
        ),
        ("a zone's workers back, committed over regions", (zone_batches * far).into(), "s"),
        ("the same in a region", (zone_batches * near).into(), "s"),
        ("spare control machines", spare(model).into(), ""),
        ("children of a control process", model.children().into(), ""),
        (
            "all instances in memory",
            (model.target("instances") * model.assumed("instance_memory_bytes")).into(),
            "B",
        ),
        (
            "hearing how busy all are",
            (model.target("instances") * model.assumed("instance_load_bytes")).into(),
            "B/s",
        ),
        ("functions in the module's window", model.functions_in_window().into(), ""),
        (
            "cold starts in the second after a zone's loss",
            questions::lost_in_a_second(model, zone_part).into(),
            "",
        ),
        ("bytes a second from a store at most", (cold * model.assumed("image_mb") * 1e6).into(), "B/s"),
        (
            "calls out in a zone",
            (model.target("calls_a_second") * model.assumed("call_seconds") * zone_part).into(),
            "",
        ),
        ("without control until it is no longer bearable", questions::bearable_seconds(model).into(), "s"),
        (
            "catch-ups, of a control machine's link",
            (pace / model.assumed("control_machine_bytes") * 100.0).into(),
            "%",
        ),
        ("processor of a relay alone, of what it may", cpu_part * 100.0, "%"),
        ("memory of a relay, of what it may", memory_part * 100.0, "%"),
        ("idle processor with a region's list", model.measured("cpu", model.workers_of_region()), "%"),
    ]
}

fn spare(model: &Model) -> f64 {
    let regional = model.target("regions") * model.assumed("control_machines_a_region");
    model.target("control_machines") - regional - model.assumed("global_replicas")
}

/// Key figures that move by a tenth or more, with their new values.
pub fn effects(model: &Model, name: &str, value: f64) -> Result<String, Vec<String>> {
    let data = model.data.with(name, value);
    let changed = Model::new(&data)?;
    let both = key_figures(model).into_iter().zip(key_figures(&changed));
    let moved = both.filter(|((_, before, _), (_, after, _))| {
        (before.value - after.value).abs() > TOLD * before.value.abs() || before.stands() != after.stands()
    });
    let told: Vec<String> = moved
        .map(|((name, before, unit), (_, after, _))| {
            format!("{name} {} (for {})", text(after, unit), text(before, unit))
        })
        .collect();
    Ok(if told.is_empty() { "no key figure moves by a tenth".to_owned() } else { told.join("; ") })
}

fn text(value: Estimate, unit: &str) -> String {
    if value.value.is_infinite() { "none is enough".to_owned() } else { value.show(unit) }
}
