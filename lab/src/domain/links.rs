//! The state of the links of a domain: regions, partitions, and impaired links.

use crate::network::Link;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The link between two processes; the most specific entry applies.
pub(super) struct Links {
    /// Number of regions. Process `n` is in region `n % regions`.
    pub(super) regions: usize,
    /// The link between processes of different regions.
    pub(super) inter_region_link: Link,
    /// The partition side of each process; processes reach only their own side. Unlisted processes are on side 0.
    pub(super) sides: HashMap<SocketAddr, usize>,
    pub(super) processes: HashMap<SocketAddr, Link>,
    pub(super) pairs: HashMap<(SocketAddr, SocketAddr), Link>,
    pub(super) all: Option<Link>,
}

impl Links {
    pub(super) fn new(regions: usize, inter_region_link: Link) -> Links {
        let (sides, processes, pairs) = (HashMap::new(), HashMap::new(), HashMap::new());
        Links { regions, inter_region_link, sides, processes, pairs, all: None }
    }

    pub(super) fn reaches(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let side = |at| self.sides.get(&at).copied().unwrap_or(0);
        self.sides.is_empty() || side(from) == side(to)
    }

    pub(super) fn link(&self, from: SocketAddr, to: SocketAddr) -> Option<Link> {
        if !self.reaches(from, to) {
            return Some(Link { cut: true, ..Link::default() });
        }
        if let Some(link) = self.pairs.get(&(from, to)) {
            return Some(*link);
        }
        if !self.processes.is_empty()
            && let Some(link) = self.processes.get(&from).or(self.processes.get(&to))
        {
            return Some(*link);
        }
        if self.regions > 1 && super::number_of(from) % self.regions != super::number_of(to) % self.regions {
            return Some(self.inter_region_link);
        }
        self.all
    }
}
