//! Sensitivity to assumptions: recomputes the key figures with another value of one assumption.

use super::codec;
use super::estimate::Estimate;
use super::model::Model;
use super::{moments, questions, roles};

/// Relative change from which a key figure is reported.
const MIN_REPORTED_CHANGE: f64 = 0.1;

/// The figures behind the page's verdicts: name, value and unit.
fn key_figures(model: &Model) -> Vec<(&'static str, Estimate, &'static str)> {
    let window = model.assumed("budget_window_seconds");
    let state = roles::state_bytes(model);
    let burst = model.settings_changes()
        * model.target("burst_times")
        * codec::class_bytes(model.assumed("class_bytes"));
    let cold_starts_per_store = questions::max_cold_starts_per_second(model) / model.assumed("stores");
    let lanes =
        questions::lanes_needed(model, cold_starts_per_store).map_or(f64::INFINITY, |lanes| lanes as f64);
    let zone_catch_up = moments::catch_up_seconds(model, state, model.schedulers_of_zone());
    let record = model.assumed("instance_record_bytes");
    let all_instances_seconds = model.target("instances") * record / model.byte_budget();
    let cut_off_seconds =
        if model.assumed("cut_off_regions_count") > 0.0 { model.target("cut_hours") * 3_600.0 } else { 0.0 };
    let zone_part = model.workers_of_zone() / model.workers();
    let pace = model.assumed("catch_up_bytes_per_second");
    let alone = model.children_alone();
    let (between_regions, within_region) =
        (model.assumed("round_trip_between_regions"), model.assumed("round_trip_in_a_region"));
    let zone_batches = (model.workers_of_zone() / codec::workers_per_batch()).ceil();
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
        ("a zone's schedulers restarted, until all have all", zone_catch_up.into(), "s"),
        ("workers back with a zone", model.workers_of_zone().into(), ""),
        ("functions homed at a worker", (model.target("functions") / model.workers()).into(), ""),
        ("functions in a region", model.functions_of_region().into(), ""),
        ("hearing of all instances once", all_instances_seconds.into(), "s"),
        (
            "hearing of rare ones' loads and unloads",
            (2.0 * questions::max_cold_starts_per_second(model) * record).into(),
            "B/s",
        ),
        ("cold starts a second at most", questions::max_cold_starts_per_second(model).into(), ""),
        ("fetches at a time at a store", lanes.into(), ""),
        ("a change in force in a region that is cut off, at the latest", cut_off_seconds.into(), "s"),
        (
            "workers in a rack, of the region",
            (model.assumed("machines_a_rack") / model.workers_of_region() * 100.0).into(),
            "%",
        ),
        ("a zone's workers back, committed over regions", (zone_batches * between_regions).into(), "s"),
        ("the same in a region", (zone_batches * within_region).into(), "s"),
        ("spare control machines", spare_machines(model).into(), ""),
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
            questions::cold_starts_after_loss(model, zone_part).into(),
            "",
        ),
        (
            "bytes a second from a store at most",
            (cold_starts_per_store * model.assumed("image_mb") * 1e6).into(),
            "B/s",
        ),
        (
            "calls out in a zone",
            (model.target("calls_a_second") * model.assumed("call_seconds") * zone_part).into(),
            "",
        ),
        (
            "without control until it is no longer bearable",
            questions::tolerable_staleness_seconds(model).into(),
            "s",
        ),
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

fn spare_machines(model: &Model) -> f64 {
    let regional = model.target("regions") * model.assumed("control_machines_a_region");
    model.target("control_machines") - regional - model.assumed("global_replicas")
}

/// The key figures that change by a tenth or more, with their new and old values.
pub fn effects(model: &Model, name: &str, value: f64) -> Result<String, Vec<String>> {
    let data = model.data.with(name, value);
    let changed = Model::new(&data)?;
    let pairs = key_figures(model).into_iter().zip(key_figures(&changed));
    let changed_figures = pairs.filter(|((_, before, _), (_, after, _))| {
        (before.value - after.value).abs() > MIN_REPORTED_CHANGE * before.value.abs()
            || before.is_known() != after.is_known()
    });
    let texts: Vec<String> = changed_figures
        .map(|((name, before, unit), (_, after, _))| {
            format!("{name} {} (for {})", format_effect(after, unit), format_effect(before, unit))
        })
        .collect();
    Ok(if texts.is_empty() { "no key figure moves by a tenth".to_owned() } else { texts.join("; ") })
}

fn format_effect(value: Estimate, unit: &str) -> String {
    if value.value.is_infinite() { "none is enough".to_owned() } else { value.show(unit) }
}
