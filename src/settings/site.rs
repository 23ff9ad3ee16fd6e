//! The settings of a site, and their replacement while requests are open.

use crate::interface::{Duration, Settings};

/// The settings of a site: those of the policy, and those of the sockets.
#[derive(Clone, Debug)]
pub struct Site {
    /// The settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in their order; `None` for a class that the current configuration no longer has.
    pub classes: Vec<Option<String>>,
    /// Names of the zones, in their order.
    pub zones: Vec<String>,
    /// Names of the machine kinds, in their order.
    pub kinds: Vec<String>,
    /// Names of the values in a load report, in their order.
    pub gauges: Vec<String>,
    /// Most attempts at a time on one connection to a worker.
    pub multiplex: usize,
    /// Most open requests; further ones are refused.
    pub max_open: usize,
    /// How long a connection may be idle before the worker closes it.
    pub idle_close: Duration,
    /// How long connecting to a worker may take before it has failed.
    pub connect_limit: Duration,
    /// How long a load request may remain unanswered before it is taken for lost.
    pub load_wait: Duration,
    /// Whether schedulers may communicate with each other.
    pub peers: bool,
}

impl Site {
    /// The shortest latency objective of all classes; one second without classes.
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

    /// The index of a class that new requests may name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|known| known.as_deref() == Some(name))
    }

    /// The site after the new configuration has replaced this one. Classes keep their indices, because open requests
    /// refer to their class by index. A class that the new configuration lacks or changes stays at its index for the
    /// open requests but has no name, so that new requests cannot use it. Its index is reused once no request of it
    /// is open, which `is_open` tells.
    pub fn replaced_by(&self, mut new: Site, is_open: impl Fn(usize) -> bool) -> Site {
        let mut classes = self.settings.classes.clone();
        let mut names: Vec<Option<String>> = Vec::new();
        for (class, name) in classes.iter().zip(&self.classes) {
            let index = name.as_ref().and_then(|name| new.class(name));
            let unchanged = index.filter(|index| new.settings.classes[*index] == *class);
            names.push(unchanged.and_then(|index| new.classes[index].take()));
        }
        for (class, name) in new.settings.classes.iter().zip(&mut new.classes) {
            let Some(name) = name.take() else { continue };
            let free = (0..names.len()).find(|index| names[*index].is_none() && !is_open(*index));
            match free {
                Some(index) => {
                    classes[index] = class.clone();
                    names[index] = Some(name);
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
