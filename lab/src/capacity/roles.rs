//! What each role holds, says and spends on the median day, against its budget.

use super::codec;
use super::estimate::{Estimate, count, show};
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
    let of = |what: &str, schedulers: f64, workers: f64, functions: f64, calls: f64, changes: f64| {
        [what.to_owned(), count(schedulers), count(workers), count(functions), count(calls), show(changes)]
    };
    let calls = model.target("calls_a_second");
    let (all, workers) = (model.target("schedulers"), model.workers());
    let region_changes = settings + restarts / regions;
    grid.push(&of("whole fleet", all, workers, model.target("functions"), calls, settings + restarts));
    let functions = model.functions_of_region();
    grid.push(&of("region", all / regions, workers / regions, functions, calls / regions, region_changes));
    grid.push(&of("zone", all / zones, workers / zones, functions, calls / zones, region_changes));
    grid.push(&of(
        "scheduler",
        1.0,
        workers / regions,
        functions,
        model.calls_of_scheduler(),
        region_changes,
    ));
    grid.text()
}

/// Which fleets and domains a scheduler belongs to, and their sizes against what the program bears.
pub fn places(model: &Model) -> String {
    let mut grid = Grid::new(&["of which it is a part", "how large", "bound in the program", "holds"]);
    let mut row = |what: &str, large: f64, bound: &str| {
        let most = model.target(bound);
        grid.push(&[
            what.to_owned(),
            count(large),
            format!("{} (`{bound}`)", count(most)),
            Estimate::from(large).against(most),
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

/// A row of the roles' table.
struct Line<'a> {
    role: &'a str,
    what: &'a str,
    value: Estimate,
    unit: &'a str,
    budget: f64,
    by: &'a str,
}

fn lines(of: Vec<Line>) -> String {
    let mut grid =
        Grid::new(&["role", "what", "at the target size", "budget", "holds", "from", "carried by"]);
    for line in of {
        let has = line.budget.is_finite();
        let budget = if has { Estimate::from(line.budget).show(line.unit) } else { "none named".to_owned() };
        let holds = if has { line.value.against(line.budget) } else { String::new() };
        grid.push(&[
            line.role.to_owned(),
            line.what.to_owned(),
            line.value.show(line.unit),
            budget,
            holds,
            line.value.basis.name().to_owned(),
            line.by.to_owned(),
        ]);
    }
    grid.text()
}

/// Bytes that a scheduler sends and receives a second on the median day for two domains.
pub fn scheduler_bytes(model: &Model) -> Estimate {
    // The measured domain carries all changes; the other one is idle beside it.
    let domain = model.measured("bytes", model.target("schedulers"));
    domain + idle_domain()
}

/// Heartbeats of a domain with nothing to tell, both ways.
pub fn idle_domain() -> f64 {
    HEARTBEATS * (codec::report_bytes() + codec::empty_page_bytes())
}

/// A child's heartbeats a second.
pub const HEARTBEATS: f64 = 2.0;

/// Bytes of a scheduler's own copy of what it follows, as they come over the wire.
pub fn state_bytes(model: &Model) -> f64 {
    let settings = model.assumed("settings_records") * codec::class_bytes(model.assumed("class_bytes"));
    codec::paged(model.workers_of_region() * codec::worker_bytes() + settings)
}

/// Bytes a second at whoever holds the overload controller's lease in a fleet of one region.
pub fn controller_bytes(model: &Model) -> f64 {
    let told = model.schedulers_of_region() * DEMANDS * codec::demand_bytes();
    told + model.schedulers_of_region().min(model.target("told_at_once")) * DEMANDS * codec::demand_bytes()
}

/// Words of demand a second from each member; gossip goes out as often.
const DEMANDS: f64 = 4.0;
/// Members that gossip is told to each time.
const TOLD: f64 = 2.0;

/// Bytes of gossip that a member sends and receives a second where no datagram has room left, as with `shed` in a fleet of
/// a region's size: a word of each member is told on and on.
fn gossip_most(model: &Model) -> f64 {
    2.0 * DEMANDS * TOLD * model.target("datagram_bytes")
}

/// The scheduler's table.
pub fn scheduler(model: &Model) -> String {
    let (all, workers, region) = (model.target("schedulers"), model.workers(), model.workers_of_region());
    let memory = model.target("control_memory_mb");
    let cpu = model.target("control_cpu_percent");
    let bytes = model.byte_budget();
    let functions = model.measured("function_bytes", workers) * model.functions_in_window() / 1e6;
    let mut of = vec![];
    let mut push = |by, what, value: Estimate, unit, budget| {
        of.push(Line { role: "scheduler", what, value, unit, budget, by });
    };
    let by = "distribution";
    push(by, "state: list of its region and settings, on the wire", state_bytes(model).into(), "B", f64::NAN);
    push(by, "bytes a second, two domains", scheduler_bytes(model), "B/s", bytes);
    push(by, "messages a second of one domain", model.measured("messages", all), "1/s", f64::NAN);
    push(
        by,
        "processor, mean rate of changes, list of the fleet",
        model.measured("cpu_changes", workers),
        "%",
        cpu,
    );
    push(
        by,
        "longest standstill, list of the fleet",
        model.measured("still_ms", workers),
        "ms",
        model.target("still_ms"),
    );
    let by = "list by regions";
    push(by, "processor, no calls, list of its region", model.measured("cpu", region), "%", cpu);
    push(by, "processor, no calls, list of the fleet", model.measured("cpu", workers), "%", cpu);
    push(by, "memory, list of its region", model.measured("memory_mb", region), "MB", memory);
    push(by, "memory, list of the fleet", model.measured("memory_mb", workers), "MB", memory);
    push(by, "start until it serves, list of the fleet", model.measured("start", workers), "s", f64::NAN);
    let by = "module's order by function";
    push(by, "memory of functions in the window, beside it", functions, "MB", memory);
    let first = model.target("first_call_ms");
    push(by, "first call of a function", model.measured("first_call_ms", workers), "ms", first);
    let by = "fleet of members by regions";
    push(by, "bytes a second of membership, leases, gossip", model.most("members_bytes"), "B/s", bytes);
    push(by, "the same of real processes", model.most("members_real_bytes"), "B/s", bytes);
    push(by, "the same at most, every datagram of gossip full", gossip_most(model).into(), "B/s", bytes);
    push(by, "processor of membership, leases, gossip", model.most("members_cpu"), "%", cpu);
    push(by, "memory of membership", model.most("members_memory_mb"), "MB", memory);
    push(
        "none yet",
        "who holds the overload controller: bytes a second",
        controller_bytes(model).into(),
        "B/s",
        bytes,
    );
    lines(of)
}

/// The control machines' and the plug-in's table.
pub fn control(model: &Model) -> String {
    let (children, alone) = (model.children(), model.children_alone());
    let (bandwidth, core) =
        (model.assumed("control_machine_bytes"), model.assumed("control_machine_cpu_percent"));
    let memory = model.assumed("control_machine_mb");
    let mut all = vec![];
    let serves = "relay, or replica that serves children";
    for (what, name, at, unit, budget) in [
        ("bytes a second, both of a region up", "relay_bytes", children, "B/s", bandwidth),
        ("bytes a second, alone", "relay_bytes", alone, "B/s", bandwidth),
        ("messages a second, alone", "relay_messages", alone, "1/s", f64::NAN),
        ("processor, alone", "relay_cpu", alone, "%", core),
        ("memory, list of the fleet", "relay_memory_mb", model.workers(), "MB", memory),
    ] {
        let value = model.measured(name, at);
        all.push(Line { role: serves, what, value, unit, budget, by: "distribution" });
    }
    for (what, name, unit, budget) in
        [("bytes a second", "replica_bytes", "B/s", bandwidth), ("processor", "replica_cpu", "%", core)]
    {
        let value = model.most(name);
        all.push(Line { role: "replica with relays only", what, value, unit, budget, by: "distribution" });
    }
    for (what, name, unit, budget) in [
        ("bytes a second", "elector_bytes", "B/s", bandwidth),
        ("messages a second", "elector_messages", "1/s", f64::NAN),
        ("processor", "elector_cpu", "%", core),
    ] {
        let value = model.most(name);
        all.push(Line { role: "elector", what, value, unit, budget, by: "fleet of members by regions" });
    }
    // One machine alone in its region: it serves all its schedulers in both domains, and is an elector.
    for (what, name, elector, unit, budget) in [
        ("bytes a second of all, alone", "relay_bytes", "elector_bytes", "B/s", bandwidth),
        ("processor of all, alone", "relay_cpu", "elector_cpu", "%", core),
    ] {
        let value = model.measured(name, alone) * 2.0 + model.most(elector);
        all.push(Line { role: "control machine", what, value, unit, budget, by: "all" });
    }
    let workers = model.workers();
    let functions = model.measured("function_bytes", workers) * model.functions_in_window() / 1e6;
    let first = model.target("first_call_ms");
    let walk = model.measured("walk_ms", workers) * WALKS / 10.0;
    for (what, value, unit, budget) in [
        ("memory of functions, calls as a scheduler's", functions, "MB", model.target("control_memory_mb")),
        ("first call of a function", model.measured("first_call_ms", workers), "ms", first),
        ("processor of the module alone, no calls", walk, "%", model.target("control_cpu_percent")),
    ] {
        all.push(Line { role: "plug-in", what, value, unit, budget, by: "module's order by function" });
    }
    lines(all)
}

/// Times a second that the module looks at its holds (`walk_ms` is of one of them), in calls of 200 ms.
const WALKS: f64 = 5.0;

/// Which control process stands on which machine, in the two layouts.
pub fn machines(model: &Model) -> String {
    let (regions, each) = (model.target("regions"), model.assumed("control_machines_a_region"));
    let (global, all) = (model.assumed("global_replicas"), model.target("control_machines"));
    let mut grid = Grid::new(&["layout", "machines", "how many", "what runs there", "children each"]);
    let mut row = |layout: &str, what: &str, many: f64, runs: &str, children: String| {
        grid.push(&[layout.to_owned(), what.to_owned(), count(many), runs.to_owned(), children]);
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
    let children = format!("{}; {} with a quarter of the machines gone", count(up), count(down));
    row(one, "over all zones", relays, "a relay with the whole list", children);
    let many = "a domain a region";
    let runs =
        "a replica of the region's domain, a relay of the global one, an elector of the region's fleet";
    let children = format!("{}; {} alone", count(model.children()), count(model.children_alone()));
    row(many, "in each region, in different zones", regions * each, runs, children);
    let runs = "a replica of the global domain; the third replica and elector of two other regions";
    row(many, "in as many regions, one each", global, runs, String::new());
    let runs = "takes the place of one that fails, by the operator";
    row(many, "spare", all - regions * each - global, runs, String::new());
    grid.text()
}
