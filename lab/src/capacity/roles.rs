//! Memory, traffic and processor time of each role on the median day, against its budget.

use super::codec;
use super::estimate::{Estimate, format_count, format_figure};
use super::grid::Grid;
use super::model::Model;

/// Sizes that follow from targets and assumptions.
pub fn sizes(model: &Model) -> String {
    let mut grid = Grid::new(&[
        "of the",
        "schedulers",
        "workers",
        "functions",
        "calls a second",
        "changes a second heard",
    ]);
    let (regions, zones) = (model.target("regions"), model.assumed("zones_in_all"));
    let restarts = model.worker_restarts() * model.assumed("changes_a_restart");
    let settings = model.settings_changes();
    let row = |what: &str, schedulers: f64, workers: f64, functions: f64, calls: f64, changes: f64| {
        [
            what.to_owned(),
            format_count(schedulers),
            format_count(workers),
            format_count(functions),
            format_count(calls),
            format_figure(changes),
        ]
    };
    let calls = model.target("calls_a_second");
    let (all, workers) = (model.target("schedulers"), model.workers());
    let region_changes = settings + restarts / regions;
    grid.push(&row("whole fleet", all, workers, model.target("functions"), calls, settings + restarts));
    let functions = model.functions_of_region();
    grid.push(&row("region", all / regions, workers / regions, functions, calls / regions, region_changes));
    grid.push(&row("zone", all / zones, workers / zones, functions, calls / zones, region_changes));
    grid.push(&row(
        "scheduler",
        1.0,
        workers / regions,
        functions,
        model.calls_of_scheduler(),
        region_changes,
    ));
    grid.text()
}

/// Fleets and domains that a scheduler may belong to, and their sizes against the program's limits.
pub fn places(model: &Model) -> String {
    let mut grid = Grid::new(&["of which it is a part", "how large", "bound in the program", "holds"]);
    let mut row = |what: &str, size: f64, bound: &str| {
        let limit = model.target(bound);
        grid.push(&[
            what.to_owned(),
            format_count(size),
            format!("{} (`{bound}`)", format_count(limit)),
            Estimate::from(size).against_budget(limit),
        ]);
    };
    let all = model.target("schedulers");
    row("one fleet of members over all regions (rejected)", all, "members_bound");
    row("a fleet of members for each region", model.schedulers_of_region(), "members_bound");
    row(
        "subjects of gossip in such a fleet: its members, and workers that are silent (a zone's at the worst)",
        model.schedulers_of_region() + model.workers_of_zone(),
        "gossip_bound",
    );
    row(
        "children of a control process, the other one of its zone pair gone",
        model.children_alone(),
        "children_bound",
    );
    row(
        "children of one control process, were there one domain with one process (rejected)",
        all,
        "children_bound",
    );
    grid.text()
}

/// A row of the table of roles; a budget of NaN means that none is specified.
struct RoleFigure<'a> {
    role: &'a str,
    what: &'a str,
    value: Estimate,
    unit: &'a str,
    budget: f64,
    mechanism: &'a str,
}

fn render(figures: Vec<RoleFigure>) -> String {
    let mut grid =
        Grid::new(&["role", "what", "at the target size", "budget", "holds", "from", "carried by"]);
    for figure in figures {
        let has_budget = figure.budget.is_finite();
        let budget = if has_budget {
            Estimate::from(figure.budget).show(figure.unit)
        } else {
            "none named".to_owned()
        };
        let holds = if has_budget { figure.value.against_budget(figure.budget) } else { String::new() };
        grid.push(&[
            figure.role.to_owned(),
            figure.what.to_owned(),
            figure.value.show(figure.unit),
            budget,
            holds,
            figure.value.basis.name().to_owned(),
            figure.mechanism.to_owned(),
        ]);
    }
    grid.text()
}

/// Bytes per second that a scheduler sends and receives for two domains on the median day.
pub fn scheduler_bytes(model: &Model) -> Estimate {
    // The measured domain carries all changes; the second one is idle.
    let domain = model.measured("bytes", model.target("schedulers"));
    domain + idle_domain_bytes()
}

/// Bytes per second of the heartbeats of a domain without changes, in both directions.
pub fn idle_domain_bytes() -> f64 {
    HEARTBEATS_PER_SECOND * (codec::report_bytes() + codec::empty_page_bytes())
}

/// Heartbeats per second of a child.
pub const HEARTBEATS_PER_SECOND: f64 = 2.0;

/// Bytes on the wire of a full copy of the state that a scheduler subscribes to.
pub fn state_bytes(model: &Model) -> f64 {
    let settings = model.assumed("settings_records") * codec::class_bytes(model.assumed("class_bytes"));
    codec::with_page_headers(model.workers_of_region() * codec::worker_bytes() + settings)
}

/// Bytes per second at the holder of the overload controller's lease in a fleet of one region.
pub fn controller_bytes(model: &Model) -> f64 {
    let received = model.schedulers_of_region() * DEMAND_REPORTS_PER_SECOND * codec::demand_bytes();
    received
        + model.schedulers_of_region().min(model.target("told_at_once"))
            * DEMAND_REPORTS_PER_SECOND
            * codec::demand_bytes()
}

/// Demand reports per second of each member; gossip is sent at the same rate.
const DEMAND_REPORTS_PER_SECOND: f64 = 4.0;
/// Members that each round of gossip is sent to.
const GOSSIP_FANOUT: f64 = 2.0;

/// Bytes of gossip per second that a member sends and receives if every datagram is full, as with `shed` in a fleet of a
/// region's size, where the demand of each member is passed on continuously.
fn max_gossip_bytes(model: &Model) -> f64 {
    2.0 * DEMAND_REPORTS_PER_SECOND * GOSSIP_FANOUT * model.target("datagram_bytes")
}

/// The table of a scheduler.
pub fn scheduler(model: &Model) -> String {
    let (all, workers, region) = (model.target("schedulers"), model.workers(), model.workers_of_region());
    let memory = model.target("control_memory_mb");
    let cpu = model.target("control_cpu_percent");
    let bytes = model.byte_budget();
    let functions = model.measured("function_bytes", workers) * model.functions_in_window() / 1e6;
    let mut figures = vec![];
    let mut push = |mechanism, what, value: Estimate, unit, budget| {
        figures.push(RoleFigure { role: "scheduler", what, value, unit, budget, mechanism });
    };
    let mechanism = "distribution";
    push(
        mechanism,
        "state: list of its region and settings, on the wire",
        state_bytes(model).into(),
        "B",
        f64::NAN,
    );
    push(mechanism, "bytes a second, two domains", scheduler_bytes(model), "B/s", bytes);
    push(mechanism, "messages a second of one domain", model.measured("messages", all), "1/s", f64::NAN);
    push(
        mechanism,
        "processor, mean rate of changes, list of the fleet",
        model.measured("cpu_changes", workers),
        "%",
        cpu,
    );
    push(
        mechanism,
        "longest standstill, list of the fleet",
        model.measured("still_ms", workers),
        "ms",
        model.target("still_ms"),
    );
    let mechanism = "list by regions";
    push(mechanism, "processor, no calls, list of its region", model.measured("cpu", region), "%", cpu);
    push(mechanism, "processor, no calls, list of the fleet", model.measured("cpu", workers), "%", cpu);
    push(mechanism, "memory, list of its region", model.measured("memory_mb", region), "MB", memory);
    push(mechanism, "memory, list of the fleet", model.measured("memory_mb", workers), "MB", memory);
    push(
        mechanism,
        "start until it serves, list of the fleet",
        model.measured("start", workers),
        "s",
        f64::NAN,
    );
    let mechanism = "module's order by function";
    push(mechanism, "memory of functions in the window, beside it", functions, "MB", memory);
    let first = model.target("first_call_ms");
    push(mechanism, "first call of a function", model.measured("first_call_ms", workers), "ms", first);
    let mechanism = "fleet of members by regions";
    push(
        mechanism,
        "bytes a second of membership, leases, gossip",
        model.maximum("members_bytes"),
        "B/s",
        bytes,
    );
    push(mechanism, "the same of real processes", model.maximum("members_real_bytes"), "B/s", bytes);
    push(
        mechanism,
        "the same at most, every datagram of gossip full",
        max_gossip_bytes(model).into(),
        "B/s",
        bytes,
    );
    push(mechanism, "processor of membership, leases, gossip", model.maximum("members_cpu"), "%", cpu);
    push(mechanism, "memory of membership", model.maximum("members_memory_mb"), "MB", memory);
    push(
        "none yet",
        "who holds the overload controller: bytes a second",
        controller_bytes(model).into(),
        "B/s",
        bytes,
    );
    render(figures)
}

/// The table of the control machines and the plug-in.
pub fn control(model: &Model) -> String {
    let (children, alone) = (model.children(), model.children_alone());
    let (bandwidth, cpu_budget) =
        (model.assumed("control_machine_bytes"), model.assumed("control_machine_cpu_percent"));
    let memory = model.assumed("control_machine_mb");
    let mut figures = vec![];
    let serves = "relay, or replica that serves children";
    for (what, name, at, unit, budget) in [
        ("bytes a second, both of a region up", "relay_bytes", children, "B/s", bandwidth),
        ("bytes a second, alone", "relay_bytes", alone, "B/s", bandwidth),
        ("messages a second, alone", "relay_messages", alone, "1/s", f64::NAN),
        ("processor, alone", "relay_cpu", alone, "%", cpu_budget),
        ("memory, list of the fleet", "relay_memory_mb", model.workers(), "MB", memory),
    ] {
        let value = model.measured(name, at);
        figures.push(RoleFigure { role: serves, what, value, unit, budget, mechanism: "distribution" });
    }
    for (what, name, unit, budget) in
        [("bytes a second", "replica_bytes", "B/s", bandwidth), ("processor", "replica_cpu", "%", cpu_budget)]
    {
        let value = model.maximum(name);
        figures.push(RoleFigure {
            role: "replica with relays only",
            what,
            value,
            unit,
            budget,
            mechanism: "distribution",
        });
    }
    for (what, name, unit, budget) in [
        ("bytes a second", "elector_bytes", "B/s", bandwidth),
        ("messages a second", "elector_messages", "1/s", f64::NAN),
        ("processor", "elector_cpu", "%", cpu_budget),
    ] {
        let value = model.maximum(name);
        figures.push(RoleFigure {
            role: "elector",
            what,
            value,
            unit,
            budget,
            mechanism: "fleet of members by regions",
        });
    }
    // A machine that is alone in its region serves all of the region's schedulers in both domains, and is an elector.
    for (what, name, elector, unit, budget) in [
        ("bytes a second of all, alone", "relay_bytes", "elector_bytes", "B/s", bandwidth),
        ("processor of all, alone", "relay_cpu", "elector_cpu", "%", cpu_budget),
    ] {
        let value = model.measured(name, alone) * 2.0 + model.maximum(elector);
        figures.push(RoleFigure { role: "control machine", what, value, unit, budget, mechanism: "all" });
    }
    let workers = model.workers();
    let functions = model.measured("function_bytes", workers) * model.functions_in_window() / 1e6;
    let first = model.target("first_call_ms");
    let hold_checks_cpu = model.measured("walk_ms", workers) * HOLD_CHECKS_PER_SECOND / 10.0;
    for (what, value, unit, budget) in [
        ("memory of functions, calls as a scheduler's", functions, "MB", model.target("control_memory_mb")),
        ("first call of a function", model.measured("first_call_ms", workers), "ms", first),
        (
            "processor of the module alone, no calls",
            hold_checks_cpu,
            "%",
            model.target("control_cpu_percent"),
        ),
    ] {
        figures.push(RoleFigure {
            role: "plug-in",
            what,
            value,
            unit,
            budget,
            mechanism: "module's order by function",
        });
    }
    render(figures)
}

/// Checks of its holds per second by the module, one in each call of 200 ms (`walk_ms` is the time of one check).
const HOLD_CHECKS_PER_SECOND: f64 = 5.0;

/// Placement of the control processes on machines, in the two layouts.
pub fn machines(model: &Model) -> String {
    let (regions, each) = (model.target("regions"), model.assumed("control_machines_a_region"));
    let (global, all) = (model.assumed("global_replicas"), model.target("control_machines"));
    let mut grid = Grid::new(&["layout", "machines", "how many", "what runs there", "children each"]);
    let mut row = |layout: &str, what: &str, count: f64, runs: &str, children: String| {
        grid.push(&[layout.to_owned(), what.to_owned(), format_count(count), runs.to_owned(), children]);
    };
    let relays = all - global;
    let one = "one domain, interest by zones";
    row(
        one,
        "in as many regions, one each",
        global,
        "a replica with the whole list, an elector",
        String::new(),
    );
    let (up, down) =
        (model.target("schedulers") / relays, model.target("schedulers") / (relays - (all / 4.0).floor()));
    let children =
        format!("{}; {} with a quarter of the machines gone", format_count(up), format_count(down));
    row(one, "over all zones", relays, "a relay with the whole list", children);
    let regional = "a domain a region";
    let runs =
        "a replica of the region's domain, a relay of the global one, an elector of the region's fleet";
    let children =
        format!("{}; {} alone", format_count(model.children()), format_count(model.children_alone()));
    row(regional, "in each region, in different zones", regions * each, runs, children);
    let runs = "a replica of the global domain; the third replica and elector of two other regions";
    row(regional, "in as many regions, one each", global, runs, String::new());
    let runs = "takes the place of one that fails, by the operator";
    row(regional, "spare", all - regions * each - global, runs, String::new());
    grid.text()
}
