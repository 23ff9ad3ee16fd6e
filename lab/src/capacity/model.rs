//! The figures that tables look up: sizes of the target fleet, and measured quantities.

use super::data::{Data, Measure};
use super::estimate::{Basis, Estimate};
use super::fit::{Fit, Shape};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds per day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// The data with every measure fitted.
pub struct Model<'a> {
    /// The data from which it is built.
    pub data: &'a Data,
    /// The fits by name of the measure.
    pub fits: BTreeMap<&'a str, (&'a Measure, Fit)>,
    /// Measures that tables have looked up; an unused one is an error.
    used_measures: RefCell<BTreeSet<String>>,
    /// Errors for targets and assumptions that tables have looked up and that the data does not contain.
    missing_inputs: RefCell<BTreeSet<String>>,
}

impl<'a> Model<'a> {
    /// Fits every measure; returns all errors if any fails.
    pub fn new(data: &'a Data) -> Result<Model<'a>, Vec<String>> {
        let (mut fits, mut wrong) = (BTreeMap::new(), vec![]);
        for measure in &data.measures {
            match data.fit(measure) {
                Ok(fit) => drop(fits.insert(measure.name.as_str(), (measure, fit))),
                Err(why) => wrong.push(why),
            }
        }
        if !wrong.is_empty() {
            return Err(wrong);
        }
        Ok(Model { data, fits, used_measures: RefCell::default(), missing_inputs: RefCell::default() })
    }

    fn check_present(&self, kind: &str, name: &str, value: f64) -> f64 {
        if value.is_nan() {
            self.missing_inputs.borrow_mut().insert(format!("{kind} `{name}` is missing"));
        }
        value
    }

    /// A target.
    pub fn target(&self, name: &str) -> f64 {
        self.check_present("target", name, self.data.target(name))
    }

    /// An assumption.
    pub fn assumed(&self, name: &str) -> f64 {
        self.check_present("assumption", name, self.data.assumption(name))
    }

    /// A measured quantity at a position on its axis, or its average if it has no axis; missing if no run measures it.
    pub fn measured(&self, name: &str, position: f64) -> Estimate {
        self.used_measures.borrow_mut().insert(name.to_owned());
        match self.fits.get(name) {
            Some((measure, fit)) if measure.along.is_none() => {
                Estimate { value: fit.points[0].1, basis: Basis::AllSizes }
            }
            Some((_, fit)) => Estimate::from_reading(fit.value_at(position)),
            None => Estimate::MISSING,
        }
    }

    /// The maximum of a measured quantity over all sizes that were run, for quantities that neither grow with the fleet
    /// nor follow a line.
    pub fn maximum(&self, name: &str) -> Estimate {
        let maximum =
            |(_, fit): &(&Measure, Fit)| fit.points.iter().map(|(_, y)| *y).fold(f64::MIN, f64::max);
        let maximum = self.measure_and_fit(name).map(maximum);
        maximum.map_or(Estimate::MISSING, |value| Estimate { value, basis: Basis::AllSizes })
    }

    /// A measure and its fit, if there is one.
    pub fn measure_and_fit(&self, name: &str) -> Option<&(&'a Measure, Fit)> {
        self.used_measures.borrow_mut().insert(name.to_owned());
        self.fits.get(name)
    }

    /// Growth of a measured quantity per unit of its axis; missing if its shape is neither a line nor flat.
    pub fn slope_of(&self, name: &str) -> Estimate {
        self.used_measures.borrow_mut().insert(name.to_owned());
        let fit = self.fits.get(name).map(|(_, fit)| fit);
        let line = fit.filter(|fit| matches!(fit.shape, Shape::Line | Shape::Flat));
        line.map_or(Estimate::MISSING, |fit| Estimate { value: fit.slope, basis: Basis::Measured })
    }

    /// Errors for lookups of missing targets and assumptions, and for measures that no table uses.
    pub fn input_errors(&self) -> Vec<String> {
        let used_measures = self.used_measures.borrow();
        let unused = self.fits.keys().filter(|name| !used_measures.contains(**name));
        let unused = unused.map(|name| format!("table `slopes`: measure `{name}` is used by no table"));
        self.missing_inputs.borrow().iter().cloned().chain(unused).collect()
    }

    // ---- The target fleet

    /// Workers of the whole fleet.
    pub fn workers(&self) -> f64 {
        self.target("instances") / self.assumed("instances_a_worker")
    }

    /// Workers of one region, which are those on a scheduler's list.
    pub fn workers_of_region(&self) -> f64 {
        self.workers() / self.target("regions")
    }

    /// Workers of one zone.
    pub fn workers_of_zone(&self) -> f64 {
        self.workers() / self.assumed("zones_in_all")
    }

    /// Schedulers of one region.
    pub fn schedulers_of_region(&self) -> f64 {
        self.target("schedulers") / self.target("regions")
    }

    /// Schedulers of one zone.
    pub fn schedulers_of_zone(&self) -> f64 {
        self.target("schedulers") / self.assumed("zones_in_all")
    }

    /// Calls per second at one scheduler.
    pub fn calls_of_scheduler(&self) -> f64 {
        self.target("calls_a_second") / self.target("schedulers")
    }

    /// Functions that are called in one region.
    pub fn functions_of_region(&self) -> f64 {
        let share = self.assumed("regions_a_function") / self.target("regions");
        self.target("functions") * share.min(1.0)
    }

    /// Upper bound of the functions that a scheduler has had calls for within the module's window.
    pub fn functions_in_window(&self) -> f64 {
        (self.calls_of_scheduler() * self.assumed("window_seconds")).min(self.functions_of_region())
    }

    /// Machines of all kinds.
    pub fn machines(&self) -> f64 {
        self.workers() + self.target("schedulers") + self.target("control_machines")
    }

    /// Workers restarted or replaced per second.
    pub fn worker_restarts(&self) -> f64 {
        self.target("restarts_a_day") * self.workers() / self.machines() / SECONDS_PER_DAY
    }

    /// Schedulers restarted or replaced per second.
    pub fn scheduler_restarts(&self) -> f64 {
        self.target("restarts_a_day") * self.target("schedulers") / self.machines() / SECONDS_PER_DAY
    }

    /// Configuration changes per second that a scheduler receives.
    pub fn settings_changes(&self) -> f64 {
        self.target("changes_a_day") / SECONDS_PER_DAY * self.assumed("part_of_changes_for_all")
    }

    /// Changes of its region's list per second that a scheduler receives.
    pub fn list_changes(&self) -> f64 {
        self.worker_restarts() / self.target("regions") * self.assumed("changes_a_restart")
    }

    /// Schedulers that a control process of a region serves while the other one of the pair is down.
    pub fn children_alone(&self) -> f64 {
        self.schedulers_of_region()
    }

    /// Schedulers that a control process of a region serves while both are up.
    pub fn children(&self) -> f64 {
        self.schedulers_of_region() / self.assumed("control_machines_a_region")
    }

    /// A scheduler's budget for control traffic, in bytes per second.
    pub fn byte_budget(&self) -> f64 {
        self.target("control_kb_a_second") * 1e3
    }
}
