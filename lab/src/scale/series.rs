//! Prepared series: one size at a time grows, the others stay.

use super::{Part, Plan, Setup};

/// A prepared series.
pub struct Series {
    /// Its name.
    pub name: &'static str,
    /// What it is played for.
    pub about: &'static str,
    points: fn(&Plan) -> Vec<(f64, Plan)>,
}

/// Sizes along the axes.
const SCHEDULERS: [usize; 3] = [500, 2_000, 6_000];
/// Members of one fleet, which can't be more.
const MEMBERS: [usize; 3] = [30, 100, 300];
const WORKERS: [usize; 4] = [1_000, 4_000, 16_000, 46_000];
const MODULE_WORKERS: [usize; 5] = [120, 1_000, 4_000, 16_000, 46_000];
const FUNCTIONS: [usize; 3] = [100, 300, 1_000];
const CHANGES: [f64; 3] = [0.1, 0.78, 7.8];
const REGIONS: [usize; 3] = [1, 3, 10];
/// Members of the fleet that is spread over regions, so that each has ten.
const REGION_MEMBERS: usize = 100;

/// All there are.
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
    /// The one of this name; the error names all.
    pub fn find(name: &str) -> Result<Series, String> {
        let names: Vec<&str> = series().iter().map(|series| series.name).collect();
        let found = series().into_iter().find(|series| series.name == name);
        found.ok_or_else(|| format!("there is no series '{name}', but {}", names.join(", ")))
    }

    /// Where along its axis what is played; sizes along other axes are those of the base.
    pub fn points(&self, base: &Plan) -> Vec<(f64, Plan)> {
        (self.points)(base)
    }
}

/// The parts of the base that are set up so.
fn of_setup(base: &Plan, setup: Setup) -> Vec<Part> {
    base.wanted.iter().copied().filter(|part| part.setup() == setup).collect()
}

fn schedulers(base: &Plan) -> Vec<(f64, Plan)> {
    let of = |setup| Plan { functions: 0, wanted: of_setup(base, setup), ..base.clone() };
    let (members, domain) = (of(Setup::Members), of(Setup::Distribution));
    let members = MEMBERS.map(|hollow| (hollow as f64, Plan { hollow, ..members.clone() }));
    let domain = SCHEDULERS.map(|hollow| (hollow as f64, Plan { hollow, ..domain.clone() }));
    members.into_iter().chain(domain).filter(|(_, plan)| !plan.wanted.is_empty()).collect()
}

fn workers(base: &Plan) -> Vec<(f64, Plan)> {
    // Real members of a fleet are told few workers whatever the plan says.
    let wanted = base.wanted.iter().copied().filter(|part| *part != Part::RealMembers).collect();
    let base = Plan { functions: 0, wanted, ..base.clone() };
    WORKERS.map(|workers| (workers as f64, Plan { workers, ..base.clone() })).to_vec()
}

fn functions(base: &Plan) -> Vec<(f64, Plan)> {
    let module = Plan { wanted: vec![Part::Module], ..base.clone() };
    let real = Plan { wanted: vec![Part::RealAlone], changes: 0.0, ..base.clone() };
    let module = MODULE_WORKERS.map(|workers| (workers as f64, Plan { workers, ..module.clone() }));
    let called = FUNCTIONS.map(|functions| (functions as f64, Plan { functions, ..real.clone() }));
    module.into_iter().chain(called.into_iter().filter(|_| base.real > 0)).collect()
}

fn changes(base: &Plan) -> Vec<(f64, Plan)> {
    let base = Plan { functions: 0, ..base.clone() };
    CHANGES.map(|changes| (changes, Plan { changes, ..base.clone() })).to_vec()
}

fn regions(base: &Plan) -> Vec<(f64, Plan)> {
    let of = |setup, hollow: usize| {
        let hollow = if base.hollow > 0 { hollow } else { 0 };
        Plan { functions: 0, real: 0, hollow, wanted: of_setup(base, setup), ..base.clone() }
    };
    let all = [of(Setup::Members, REGION_MEMBERS), of(Setup::Distribution, base.hollow)];
    let at = |plan: Plan| REGIONS.map(|regions| (regions as f64, Plan { regions, ..plan.clone() }));
    all.into_iter().flat_map(at).filter(|(_, plan)| !plan.wanted.is_empty()).collect()
}
