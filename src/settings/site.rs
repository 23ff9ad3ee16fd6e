//! The settings of a site, and their replacement while requests are under way.

use crate::interface::{Duration, Settings};

/// The settings of a site: those of the policy, and those of sockets.
#[derive(Clone, Debug)]
pub struct Site {
    /// The settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in their order; none for one that a new configuration no longer has.
    pub classes: Vec<Option<String>>,
    /// Names of the zones, in their order.
    pub zones: Vec<String>,
    /// Names of the machine kinds, in their order.
    pub kinds: Vec<String>,
    /// Names of the values in a load report, in their order.
    pub gauges: Vec<String>,
    /// Attempts that one connection to a worker carries at a time.
    pub multiplex: usize,
    /// Open requests beyond which new ones are refused.
    pub max_open: usize,
    /// A worker closes a connection that has been idle for so long.
    pub idle_close: Duration,
    /// A connection that is not up within this time has failed.
    pub connect_limit: Duration,
    /// A load request that has no answer within this time is lost.
    pub load_wait: Duration,
    /// Schedulers may talk to each other.
    pub peers: bool,
}

impl Site {
    /// The shortest time within which answers of a class are wanted.
    pub fn shortest_latency_objective(&self) -> Duration {
        self.settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(Duration::millis(1_000))
    }

    /// The priority weight of each class.
    pub fn priority_weights(&self) -> Vec<f64> {
        self.settings.classes.iter().map(|class| class.priority_weight).collect()
    }

    /// The place of a class that new requests may name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|known| known.as_deref() == Some(name))
    }

    /// What a new configuration makes of this one. Classes keep their places, for requests under way know theirs
    /// by it: one that the new configuration lacks, or has with other figures, stays for those requests without a
    /// name for new ones. Its place is used again once no request is `open` there.
    pub fn replaced_by(&self, mut new: Site, open: impl Fn(usize) -> bool) -> Site {
        let mut classes = self.settings.classes.clone();
        let mut names: Vec<Option<String>> = Vec::new();
        for (class, name) in classes.iter().zip(&self.classes) {
            let place = name.as_ref().and_then(|name| new.class(name));
            let same = place.filter(|place| new.settings.classes[*place] == *class);
            names.push(same.and_then(|place| new.classes[place].take()));
        }
        for (class, name) in new.settings.classes.iter().zip(&mut new.classes) {
            let Some(name) = name.take() else { continue };
            let free = (0..names.len()).find(|place| names[*place].is_none() && !open(*place));
            match free {
                Some(place) => {
                    classes[place] = class.clone();
                    names[place] = Some(name);
                }
                None => {
                    classes.push(class.clone());
                    names.push(Some(name));
                }
            }
        }
        new.settings.classes = classes;
        new.classes = names;
        new
    }
}
