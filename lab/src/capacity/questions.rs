//! Tables that answer one question each: who needs which information, how many parts a failure affects, how stale a list
//! becomes without control, where functions have their home, how much memory a function may use, and the load on the
//! store.

use super::codec;
use super::estimate::{Estimate, format_count, format_figure};
use super::grid::Grid;
use super::model::{Model, SECONDS_PER_DAY};

/// Cost to a scheduler of knowing all instances, and of the worker list that it receives instead.
pub fn who_knows(model: &Model) -> String {
    let (instances, record) = (model.target("instances"), model.assumed("instance_record_bytes"));
    let (budget, window) = (model.byte_budget(), model.assumed("budget_window_seconds"));
    let memory = Estimate::from(instances * model.assumed("instance_memory_bytes"));
    let full_list = Estimate::from(instances * record);
    let keep_alive = model.assumed("keep_alive_seconds");
    let turnover = Estimate::from(2.0 * max_cold_starts_per_second(model) * record);
    let zone_bytes = model.workers_of_zone() * model.assumed("instances_a_worker") * record;
    let zone_rate = Estimate::from(zone_bytes / model.target("in_force_seconds"));
    let load = Estimate::from(instances * model.assumed("instance_load_bytes"));
    let list = Estimate::from(codec::with_page_headers(model.workers_of_region() * codec::worker_bytes()));
    let changes = Estimate::from(model.list_changes() * codec::worker_bytes());
    let row_cells = |what: &str, size: String, holds: String| [what.to_owned(), size, holds];
    Grid::new(&["what one scheduler would know", "what it takes", "of its budget"])
        .row(row_cells(
            &format!("all {} instances: memory", format_count(instances)),
            memory.show("B"),
            memory.against_budget(model.target("control_memory_mb") * 1e6),
        ))
        .row(row_cells(
            "all instances, heard once after a restart",
            format!("{}, {} at the whole budget", full_list.show("B"), (full_list / budget).show("s")),
            (full_list / window).against_budget(budget),
        ))
        .row(row_cells(
            &format!("all loads and unloads of rare ones, idle copies kept {} s", format_figure(keep_alive)),
            turnover.show("B/s"),
            turnover.against_budget(budget),
        ))
        .row(row_cells(
            "the instances of a zone that is gone, in time",
            zone_rate.show("B/s"),
            zone_rate.against_budget(budget),
        ))
        .row(row_cells(
            "how busy each instance is, once a second",
            load.show("B/s"),
            load.against_budget(budget),
        ))
        .row(row_cells(
            &format!(
                "its region's {} workers, whole, after a restart",
                format_count(model.workers_of_region())
            ),
            format!("{}, {} at the whole budget", list.show("B"), (list / budget).show("s")),
            (list / window).against_budget(budget),
        ))
        .row(row_cells("changes of its region's list", changes.show("B/s"), changes.against_budget(budget)))
        .text()
}

/// Upper bound of cold starts per second: every function is rare and is called at the worst rate for its idle copy. With
/// a keep-alive of K seconds, a call of a function that is called r times per second is cold with probability e^-rK, which
/// is r e^-rK cold starts per second, at most 1/eK.
pub fn max_cold_starts_per_second(model: &Model) -> f64 {
    model.target("functions") / (std::f64::consts::E * model.assumed("keep_alive_seconds"))
}

/// The parts of the fleet that one failure affects.
pub fn reach(model: &Model) -> String {
    let calls = model.target("calls_a_second") * model.assumed("call_seconds");
    let (all, workers) = (model.target("schedulers"), model.workers());
    let mut grid = Grid::new(&[
        "what fails",
        "schedulers",
        "workers",
        "instances",
        "functions with their home there",
        "calls out there",
        "of the fleet",
        "who is told, and what they do",
    ]);
    let mut row = |what: &str, schedulers: f64, affected_workers: f64, reaction: &str| {
        let part = affected_workers / workers;
        let share = part.max(schedulers / all);
        grid.push(&[
            what.to_owned(),
            format_count(schedulers),
            format_count(affected_workers),
            format_count(part * model.target("instances")),
            format_count(part * model.target("functions")),
            format_count(calls * share),
            format!("{}%", format_figure(share * 100.0)),
            reaction.to_owned(),
        ]);
    };
    let rack = model.assumed("machines_a_rack");
    row("a worker", 0.0, 1.0, "each scheduler finds it silent by itself; the list follows");
    row("a scheduler", 1.0, 0.0, "its clients turn to others; nothing is handed over");
    row("a rack of workers", 0.0, rack, "as a worker, and its lines leave the list in one batch");
    row(
        "a zone",
        model.schedulers_of_zone(),
        model.workers_of_zone(),
        "calls leave it by the dark-zone rule",
    );
    row(
        "a region",
        model.schedulers_of_region(),
        model.workers_of_region(),
        "other regions' lists do not hold it; settings go on where a majority is",
    );
    let children = format!("its {} children turn to the second parent", format_count(model.children()));
    row("a control machine", 0.0, 0.0, &children);
    row("all control machines", 0.0, 0.0, "lists and settings stand still, calls go on");
    row("a cut between regions", 0.0, 0.0, "lists go on in each, settings where a majority is");
    grid.text()
}

/// Staleness of a list that is no longer updated.
pub fn without_control(model: &Model) -> String {
    let rate = model.worker_restarts() / model.workers();
    let settings = model.target("changes_a_day") / SECONDS_PER_DAY;
    let mut grid = Grid::new(&[
        "without control for",
        "workers restarted or replaced since",
        "machines failed since",
        "settings not in force",
    ]);
    for (name, seconds) in [
        ("a minute", 60.0),
        ("an hour", 3_600.0),
        ("a day", SECONDS_PER_DAY),
        ("a week", 7.0 * SECONDS_PER_DAY),
    ] {
        grid.push(&[
            name.to_owned(),
            format!("{}%", format_figure((1.0 - (-rate * seconds).exp()) * 100.0)),
            format_figure(model.target("failures_a_day") * seconds / SECONDS_PER_DAY),
            format_count(settings * seconds),
        ]);
    }
    let tolerable = model.assumed("stale_part_bearable");
    let until = Estimate::from(tolerable_staleness_seconds(model));
    grid.row([
        format!("**{}**", until.show("s")),
        format!("{}%: as much as first attempts may lose", format_figure(tolerable * 100.0)),
        format_figure(model.target("failures_a_day") * until.value / SECONDS_PER_DAY),
        format_count(settings * until.value),
    ])
    .text()
}

/// How often functions move to another owner.
pub fn homes(model: &Model) -> String {
    let functions = model.target("functions");
    let (restarts, scheduler_restarts) =
        (model.worker_restarts() * SECONDS_PER_DAY, model.scheduler_restarts() * SECONDS_PER_DAY);
    let per_worker = functions / model.workers();
    let per_scheduler = functions / model.target("schedulers");
    let mut grid = Grid::new(&[
        "who owns a function",
        "functions that move when one goes",
        "restarts of those a day",
        "moves a day, there and back",
        "of all functions",
        "who must agree",
    ]);
    let mut row = |who: &str, each: f64, a_day: f64, agreement: String| {
        let moves = 2.0 * each * a_day;
        grid.push(&[
            who.to_owned(),
            format_figure(each),
            format_count(a_day),
            format_count(moves),
            format!("{}%", format_figure(moves / functions * 100.0)),
            agreement,
        ]);
    };
    let members = format!("{} members", format_count(model.target("schedulers")));
    row(
        "a scheduler, by an order over schedulers (rejected)",
        per_scheduler,
        scheduler_restarts,
        members.clone(),
    );
    // When the number of schedulers changes, the remainder changes for all but one in that number of functions.
    let moved_by_remainder = functions * (1.0 - 1.0 / model.target("schedulers"));
    row(
        "a scheduler, by remainder of its number (rejected)",
        moved_by_remainder,
        scheduler_restarts,
        members,
    );
    let list =
        format!("nobody: the order follows from the list of {}", format_count(model.workers_of_region()));
    row("the first worker of its order", per_worker, restarts, list);
    grid.text()
}

/// Memory that a scheduler may use for each function.
pub fn function_memory(model: &Model) -> String {
    let workers = model.workers();
    let before = model.measured("before_function_bytes", workers);
    let after = model.measured("function_bytes", workers);
    let budget = model.target("control_memory_mb") * 1e6;
    let base = model.measured("memory_mb", workers) * 1e6;
    let mut grid = Grid::new(&["functions kept", "how many", "each may take", "before", "after"]);
    for (what, kept) in [
        ("called in the module's window (kept today)", model.functions_in_window()),
        ("called in the region", model.functions_of_region()),
        ("all", model.target("functions")),
    ] {
        let allowance = (Estimate::from(budget) - base) / kept;
        grid.push(&[
            what.to_owned(),
            format_count(kept),
            allowance.show("B"),
            verdict(before, allowance),
            verdict(after, allowance),
        ]);
    }
    grid.text()
}

fn verdict(each: Estimate, allowance: Estimate) -> String {
    if each.is_known() && allowance.is_known() {
        format!("{}: {}", each.show("B"), each.against_budget(allowance.value))
    } else {
        "not measured".to_owned()
    }
}

/// Probability that waiting and fetching together take longer than `limit` seconds, with `lanes` concurrent fetches of
/// `fetch` seconds on average, arriving at `rate` per second (M/M/c queue, first come first served).
fn probability_later_than(limit: f64, rate: f64, fetch: f64, lanes: usize) -> f64 {
    let offered = rate * fetch;
    let lanes_f = lanes as f64;
    if offered >= lanes_f {
        return 1.0;
    }
    // Erlang B by its recursion, then Erlang C: the probability of waiting at all.
    let blocking = (1..=lanes).fold(1.0, |b, n| offered * b / (n as f64 + offered * b));
    let waiting_probability = blocking / (1.0 - offered / lanes_f * (1.0 - blocking));
    let (serve, drain) = (1.0 / fetch, (lanes_f - offered) / fetch);
    let fetch_alone = (-serve * limit).exp();
    if (drain - serve).abs() < 1e-9 * serve {
        return fetch_alone + waiting_probability * serve * limit * fetch_alone;
    }
    let wait_and_fetch = (drain * fetch_alone - serve * (-drain * limit).exp()) / (drain - serve);
    (1.0 - waiting_probability) * fetch_alone + waiting_probability * wait_and_fetch
}

/// The fewest concurrent fetches with which the targeted share of cold starts ends in time at `rate` cold starts per
/// second; `None` if a fetch without waiting already takes too long.
pub fn lanes_needed(model: &Model, rate: f64) -> Option<usize> {
    let late_share = 1.0 - model.target("cold_start_percent") / 100.0;
    let limit = model.target("cold_start_seconds") - model.assumed("load_seconds");
    let fetch = model.assumed("fetch_seconds");
    if limit <= 0.0 || (-limit / fetch).exp() > late_share {
        return None;
    }
    let min_lanes = (rate * fetch).ceil().max(1.0) as usize;
    (min_lanes..min_lanes * 2 + 1_000)
        .find(|lanes| probability_later_than(limit, rate, fetch, *lanes) <= late_share)
}

/// Cold starts in the first second after a part of the fleet is lost. A function whose only copy was there is cold at
/// its next call: popular functions are called at once, rare ones, with at most one call per minute, within a minute.
pub fn cold_starts_after_loss(model: &Model, part: f64) -> f64 {
    let rare = model.assumed("part_rare");
    part * model.target("functions") * (1.0 - rare + rare / 60.0)
}

/// Seconds without updates after which the list loses as large a share of first attempts as is assumed to be tolerable.
pub fn tolerable_staleness_seconds(model: &Model) -> f64 {
    -(1.0 - model.assumed("stale_part_bearable")).ln() * model.workers() / model.worker_restarts()
}

/// Load on the store from cold starts.
pub fn cold_starts(model: &Model) -> String {
    let image = model.assumed("image_mb") * 1e6;
    let stores = model.assumed("stores");
    let per_worker = model.target("instances") / model.workers();
    let restarts = model.worker_restarts() * per_worker;
    let max_cold_starts = max_cold_starts_per_second(model);
    let mut grid = Grid::new(&[
        "when",
        "cold starts a second, whole fleet",
        "fetches at a time that keep 99 in 100",
        "bytes a second from each store",
    ]);
    let zone = model.workers_of_zone() / model.workers();
    for (what, rate, at_stores) in [
        ("median day, copies lost by restarts only", restarts, stores),
        ("median day, rare functions' idle copies run out, at most", max_cold_starts, stores),
        (
            "a rack gone, its functions' calls of the first second",
            cold_starts_after_loss(model, model.assumed("machines_a_rack") / model.workers()),
            1.0,
        ),
        ("a zone gone, its functions' calls of the first second", cold_starts_after_loss(model, zone), 1.0),
    ] {
        let each = rate / at_stores;
        let lanes = lanes_needed(model, each);
        grid.push(&[
            what.to_owned(),
            format_figure(rate),
            lanes.map_or("none would do: one fetch is too long".to_owned(), |lanes| {
                format!("{} a store", format_count(lanes as f64))
            }),
            Estimate::from(each * image).show("B/s"),
        ]);
    }
    grid.text()
}
