//! Generated platform configurations with a given number of workers, which change one worker at a time.

use super::plan::ZONE_COUNT;
use crate::stand_ins;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Index distance between the workers of consecutive changes: a prime, so that every worker is changed in turn.
const WORKER_STRIDE: usize = 7_919;

/// A complete configuration file of the platform.
pub struct Configuration {
    targets: Vec<Value>,
    /// Everything but the list of workers.
    base: Value,
    offset: u64,
}

impl Configuration {
    /// Creates a configuration with this many workers, all at one address.
    pub fn new(workers: usize, at: SocketAddr) -> Configuration {
        let target = |n: usize| {
            let mut target = stand_ins::worker_record(n as u32 + 1, at, "SERVING");
            target["az"] = json!(zone(n));
            target["pod_group"] = json!(n % 64);
            target
        };
        let mut settings = stand_ins::settings();
        settings["zones"] = (0..ZONE_COUNT).map(zone).collect();
        let base = json!({"name": "n0", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "seed": "7",
            "settings": settings, "limits": {"sockets": 256, "memory_mb": 256}});
        Configuration { targets: (0..workers).map(target).collect(), base, offset: 1 }
    }

    /// The same configuration for one process of a fleet of `size`.
    pub fn for_member(&self, index: usize, size: usize) -> Configuration {
        let mut base = self.base.clone();
        base["name"] = json!(format!("n{index}"));
        base["settings"]["fleetSize"] = json!(size);
        base["settings"]["index"] = json!(index);
        base["settings"]["bounds"]["peers"] = json!(true);
        Configuration { targets: self.targets.clone(), base, offset: self.offset }
    }

    /// Switches one worker between serving and draining.
    pub fn change(&mut self) {
        let count = self.targets.len();
        let worker = (self.offset as usize).wrapping_mul(WORKER_STRIDE) % count;
        let state = &mut self.targets[worker]["state"];
        *state = json!(if *state == "SERVING" { "DRAINING" } else { "SERVING" });
        self.offset += 1;
    }

    /// The content of the file.
    pub fn text(&self) -> Vec<u8> {
        let mut file = self.base.clone();
        let topology = json!({"rev": self.offset, "all": true, "targets": self.targets});
        file["known"] =
            json!({"offset": self.offset, "batch": [{"offset": self.offset, "topology": topology}]});
        file.to_string().into_bytes()
    }
}

fn zone(n: usize) -> Value {
    json!(format!("z{:02}", n % ZONE_COUNT))
}
