//! Prepared series: each varies one size and keeps the others.

use super::{Part, Plan, Setup};

/// A prepared series.
pub struct Series {
    /// The name on the command line.
    pub name: &'static str,
    /// A one-line description.
    pub about: &'static str,
    points: fn(&Plan) -> Vec<(f64, Plan)>,
}

/// Hollow schedulers of a domain.
const SCHEDULER_COUNTS: [usize; 3] = [500, 2_000, 6_000];
/// Members of one fleet, whose size is limited to [`super::plan::MAX_MEMBERS`].
const MEMBER_COUNTS: [usize; 3] = [30, 100, 300];
const WORKER_COUNTS: [usize; 4] = [1_000, 4_000, 16_000, 46_000];
const MODULE_WORKER_COUNTS: [usize; 5] = [120, 1_000, 4_000, 16_000, 46_000];
const FUNCTION_COUNTS: [usize; 3] = [100, 300, 1_000];
const CHANGE_RATES: [f64; 3] = [0.1, 0.78, 7.8];
const REGION_COUNTS: [usize; 3] = [1, 3, 10];
/// Members of the fleet in the series of regions: ten for each of the ten regions.
const REGION_MEMBERS: usize = 100;

/// All prepared series.
pub fn series() -> [Series; 5] {
    [
        Series {
            name: "schedulers",
            about: "500 to 6,000 hollow subscribers of a domain and 30 to 300 hollow members of a fleet, beside real ones",
            points: schedulers,
        },
        Series {
            name: "workers",
            about: "workers on the list, 1,000 to 46,000, at real schedulers, idle and with changes",
            points: workers,
        },
        Series {
            name: "functions",
            about: "the module alone at 120 to 46,000 workers, and 100 to 1,000 functions at real schedulers",
            points: functions,
        },
        Series {
            name: "changes",
            about: "changes a second, 0.1 to 7.8, at hollow and real schedulers",
            points: changes,
        },
        Series {
            name: "regions",
            about: "regions, 1 to 10, over which hollow schedulers are spread",
            points: regions,
        },
    ]
}

impl Series {
    /// The series of this name; the error lists all names.
    pub fn find(name: &str) -> Result<Series, String> {
        let names: Vec<&str> = series().iter().map(|series| series.name).collect();
        let found = series().into_iter().find(|series| series.name == name);
        found.ok_or_else(|| format!("there is no series '{name}', but {}", names.join(", ")))
    }

    /// The plans along the axis, each with its size there. All other sizes are those of the base.
    pub fn points(&self, base: &Plan) -> Vec<(f64, Plan)> {
        (self.points)(base)
    }
}

/// The parts of the base with this set-up.
fn parts_of_setup(base: &Plan, setup: Setup) -> Vec<Part> {
    base.wanted.iter().copied().filter(|part| part.setup() == setup).collect()
}

fn schedulers(base: &Plan) -> Vec<(f64, Plan)> {
    let of = |setup| Plan { functions: 0, wanted: parts_of_setup(base, setup), ..base.clone() };
    let (members, domain) = (of(Setup::Members), of(Setup::Distribution));
    let members = MEMBER_COUNTS.map(|hollow| (hollow as f64, Plan { hollow, ..members.clone() }));
    let domain = SCHEDULER_COUNTS.map(|hollow| (hollow as f64, Plan { hollow, ..domain.clone() }));
    members.into_iter().chain(domain).filter(|(_, plan)| !plan.wanted.is_empty()).collect()
}

fn workers(base: &Plan) -> Vec<(f64, Plan)> {
    // Real members of a fleet get only a few workers, whatever the plan's number.
    let wanted = base.wanted.iter().copied().filter(|part| *part != Part::RealMembers).collect();
    let base = Plan { functions: 0, wanted, ..base.clone() };
    WORKER_COUNTS.map(|workers| (workers as f64, Plan { workers, ..base.clone() })).to_vec()
}

fn functions(base: &Plan) -> Vec<(f64, Plan)> {
    let module = Plan { wanted: vec![Part::Module], ..base.clone() };
    let real = Plan { wanted: vec![Part::RealAlone], changes: 0.0, ..base.clone() };
    let module = MODULE_WORKER_COUNTS.map(|workers| (workers as f64, Plan { workers, ..module.clone() }));
    let called = FUNCTION_COUNTS.map(|functions| (functions as f64, Plan { functions, ..real.clone() }));
    module.into_iter().chain(called.into_iter().filter(|_| base.real > 0)).collect()
}

fn changes(base: &Plan) -> Vec<(f64, Plan)> {
    let base = Plan { functions: 0, ..base.clone() };
    CHANGE_RATES.map(|changes| (changes, Plan { changes, ..base.clone() })).to_vec()
}

fn regions(base: &Plan) -> Vec<(f64, Plan)> {
    let of = |setup, hollow: usize| {
        let hollow = if base.hollow > 0 { hollow } else { 0 };
        Plan { functions: 0, real: 0, hollow, wanted: parts_of_setup(base, setup), ..base.clone() }
    };
    let all = [of(Setup::Members, REGION_MEMBERS), of(Setup::Distribution, base.hollow)];
    let at = |plan: Plan| REGION_COUNTS.map(|regions| (regions as f64, Plan { regions, ..plan.clone() }));
    all.into_iter().flat_map(at).filter(|(_, plan)| !plan.wanted.is_empty()).collect()
}
