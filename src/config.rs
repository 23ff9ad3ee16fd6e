//! What a scheduler is told at its start, and the operator's file for the second front.

use crate::bus::{Entry, News, started_at};
use crate::interface::*;
use crate::settings::{Site, read_site};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The platform's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The scheduler's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that may be held.
    pub sockets: usize,
    /// Where the event bus is, if there is one.
    pub bus: Option<SocketAddr>,
    /// The bus's events up to now.
    pub known: Vec<News>,
    /// The site.
    pub site: Site,
}

#[derive(Deserialize)]
struct Text {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    bus: Option<SocketAddr>,
    #[serde(default)]
    known: Known,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
}

#[derive(Deserialize, Default)]
struct Known {
    #[serde(default)]
    batch: Vec<KnownEvent>,
}

#[derive(Deserialize)]
struct KnownEvent {
    offset: u64,
    topology: Topology,
}

#[derive(Deserialize)]
struct Topology {
    all: bool,
    #[serde(default)]
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    az: String,
    model: String,
    #[serde(default)]
    pod_group: u16,
    state: String,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Descriptors held where no limit is told.
const SOCKETS: usize = 1024;

/// Reads the configuration; the error names what is missing or odd.
pub fn read(text: &[u8]) -> Result<Config, String> {
    let text: Text = serde_json::from_slice(text).map_err(|e| format!("configuration: {e}"))?;
    let site = read_site(text.settings.to_string().as_bytes())?;
    let mut known = Vec::new();
    for event in text.known.batch {
        let entries = event.topology.targets.iter().map(|target| read_target(target, &site));
        let kind = if event.topology.all { ListKind::Full } else { ListKind::Delta };
        known.push(News { offset: event.offset, kind, entries: entries.collect::<Result<_, _>>()? });
    }
    known.sort_by_key(|news| news.offset);
    Ok(Config {
        name: text.name,
        listen: text.listen,
        seed: u64::from_str_radix(&text.seed, 16).unwrap_or_default(),
        sockets: text.limits.sockets.unwrap_or(SOCKETS),
        bus: text.bus,
        known,
        site,
    })
}

/// The number in a worker's name: `s-` and 8 hex digits.
pub fn read_worker(uid: &str) -> Option<WorkerId> {
    let digits =
        uid.strip_prefix("s-").filter(|d| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u64::from_str_radix(digits, 16).ok().map(WorkerId)
}

fn read_target(target: &Target, site: &Site) -> Result<Entry, String> {
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0) as u8;
    let odd = |what: &str, value: &str| format!("configuration: known: {what} is '{value}'");
    let member = Member {
        worker: read_worker(&target.uid).ok_or_else(|| odd("uid", &target.uid))?,
        zone: ZoneId(place(&site.zones, &target.az)),
        cell: CellId(target.pod_group),
        state: match target.state.as_str() {
            "SERVING" => State::Ready,
            "DRAINING" => State::Draining,
            "DELETED" => State::Gone,
            other => return Err(odd("state", other)),
        },
        weight: target.capacity_hint,
        started: started_at(target.boot_ms),
        kind: KindId(place(&site.kinds, &target.model)),
    };
    Ok(Entry { member, address: target.endpoint })
}
