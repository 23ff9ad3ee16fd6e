//! The fleet of the targets, and what was measured, as tables ask for them.

use super::data::{Data, Measure};
use super::estimate::{Basis, Estimate};
use super::fit::{Fit, Shape};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// The data with every measure fitted.
pub struct Model<'a> {
    /// What it was made from.
    pub data: &'a Data,
    /// The fits, by the measures' names.
    pub fits: BTreeMap<&'a str, (&'a Measure, Fit)>,
    /// Names that tables have asked for: what nobody asks for is a mistake.
    asked: RefCell<BTreeSet<String>>,
    /// Targets and assumptions that tables have asked for and the data lack.
    lacking: RefCell<BTreeSet<String>>,
}

impl<'a> Model<'a> {
    /// Fits every measure; says all that is wrong with them otherwise.
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
        Ok(Model { data, fits, asked: RefCell::default(), lacking: RefCell::default() })
    }

    fn given(&self, kind: &str, name: &str, value: f64) -> f64 {
        if value.is_nan() {
            self.lacking.borrow_mut().insert(format!("{kind} `{name}` is missing"));
        }
        value
    }

    /// A target.
    pub fn target(&self, name: &str) -> f64 {
        self.given("target", name, self.data.target(name))
    }

    /// An assumption.
    pub fn assumed(&self, name: &str) -> f64 {
        self.given("assumption", name, self.data.assumption(name))
    }

    /// A measured quantity at a place on its axis; missing where no run gives it, and as it is where it has no axis.
    pub fn measured(&self, name: &str, at: f64) -> Estimate {
        self.asked.borrow_mut().insert(name.to_owned());
        match self.fits.get(name) {
            Some((measure, fit)) if measure.along.is_none() => {
                Estimate { value: fit.points[0].1, basis: Basis::AsRun }
            }
            Some((_, fit)) => Estimate::read(fit.at(at)),
            None => Estimate::MISSING,
        }
    }

    /// The most of a measured quantity at any size that was run: for what neither grows with the fleet nor follows a line.
    pub fn most(&self, name: &str) -> Estimate {
        let most = |(_, fit): &(&Measure, Fit)| fit.points.iter().map(|(_, y)| *y).fold(f64::MIN, f64::max);
        let most = self.points(name).map(most);
        most.map_or(Estimate::MISSING, |value| Estimate { value, basis: Basis::AsRun })
    }

    /// The points of a measured quantity, where there is one.
    pub fn points(&self, name: &str) -> Option<&(&'a Measure, Fit)> {
        self.asked.borrow_mut().insert(name.to_owned());
        self.fits.get(name)
    }

    /// How much a measured quantity grows for each unit of its axis; missing where it is no line.
    pub fn growth(&self, name: &str) -> Estimate {
        self.asked.borrow_mut().insert(name.to_owned());
        let fit = self.fits.get(name).map(|(_, fit)| fit);
        let line = fit.filter(|fit| matches!(fit.shape, Shape::Line | Shape::Flat));
        line.map_or(Estimate::MISSING, |fit| Estimate { value: fit.slope, basis: Basis::Measured })
    }

    /// What tables have asked for in vain, and measures that none has asked for.
    pub fn mistakes(&self) -> Vec<String> {
        let asked = self.asked.borrow();
        let idle = self.fits.keys().filter(|name| !asked.contains(**name));
        let idle = idle.map(|name| format!("table `slopes`: measure `{name}` is used by no table"));
        self.lacking.borrow().iter().cloned().chain(idle).collect()
    }

    // ---- The fleet of the targets

    /// Workers of the whole fleet.
    pub fn workers(&self) -> f64 {
        self.target("instances") / self.assumed("instances_a_worker")
    }

    /// Workers of one region: those that a scheduler knows.
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

    /// Calls a second at one scheduler.
    pub fn calls_of_scheduler(&self) -> f64 {
        self.target("calls_a_second") / self.target("schedulers")
    }

    /// Functions that are called in one region.
    pub fn functions_of_region(&self) -> f64 {
        let share = self.assumed("regions_a_function") / self.target("regions");
        self.target("functions") * share.min(1.0)
    }

    /// Functions of which a scheduler has had a call in the module's window, at most.
    pub fn functions_in_window(&self) -> f64 {
        (self.calls_of_scheduler() * self.assumed("window_seconds")).min(self.functions_of_region())
    }

    /// Machines of all kinds.
    pub fn machines(&self) -> f64 {
        self.workers() + self.target("schedulers") + self.target("control_machines")
    }

    /// Workers that are restarted or replaced in a second.
    pub fn worker_restarts(&self) -> f64 {
        self.target("restarts_a_day") * self.workers() / self.machines() / DAY
    }

    /// Schedulers that are restarted or replaced in a second.
    pub fn scheduler_restarts(&self) -> f64 {
        self.target("restarts_a_day") * self.target("schedulers") / self.machines() / DAY
    }

    /// Changes of configuration a second that a scheduler hears.
    pub fn settings_changes(&self) -> f64 {
        self.target("changes_a_day") / DAY * self.assumed("part_of_changes_for_all")
    }

    /// Changes of its region's list a second that a scheduler hears.
    pub fn list_changes(&self) -> f64 {
        self.worker_restarts() / self.target("regions") * self.assumed("changes_a_restart")
    }

    /// Schedulers that a control process of a region serves while the other one of its two is gone.
    pub fn children_alone(&self) -> f64 {
        self.schedulers_of_region()
    }

    /// Schedulers that it serves while both are up.
    pub fn children(&self) -> f64 {
        self.schedulers_of_region() / self.assumed("control_machines_a_region")
    }

    /// The budget of bytes a second of one scheduler.
    pub fn byte_budget(&self) -> f64 {
        self.target("control_kb_a_second") * 1e3
    }
}
