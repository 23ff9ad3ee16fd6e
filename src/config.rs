//! What a scheduler is told at its start, and the operator's file for the second front.

use crate::bus::{Entry, News, started_at};
use crate::interface::*;
use crate::settings::{Site, read_site};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

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

// ---- The operator's file

/// What an operator has set up beside the platform: the second front, checkers of the same host, VRRP.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// The JSON-RPC front; off where absent.
    pub jsonrpc: Option<JsonRpc>,
    /// Checkers on Unix sockets of this host.
    pub checkers: Vec<Checker>,
}

/// The JSON-RPC front.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JsonRpc {
    /// Where clients connect.
    pub socket: PathBuf,
    /// Who may: the socket file's mode, as octal digits.
    #[serde(default = "default_mode", deserialize_with = "read_mode")]
    pub mode: u32,
    /// Connections at a time.
    #[serde(default = "default_clients")]
    pub max_clients: usize,
    /// Longest line.
    #[serde(default = "default_line")]
    pub max_line: usize,
}

/// A checker that speaks JSON-RPC.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checker {
    /// Its name: `s-` and 8 hex digits, as the bus names workers.
    pub id: String,
    /// Where it listens.
    pub socket: PathBuf,
    /// Its zone, by name.
    #[serde(default)]
    pub zone: String,
    /// Its machine kind, by name.
    #[serde(default)]
    pub kind: String,
    /// Relative size.
    #[serde(default = "one")]
    pub weight: f64,
}

fn default_mode() -> u32 {
    0o660
}

fn default_clients() -> usize {
    64
}

fn default_line() -> usize {
    crate::front::jsonrpc::LINE
}

fn read_mode<'de, D: serde::Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    let text = String::deserialize(from)?;
    let mode = u32::from_str_radix(&text, 8).ok().filter(|mode| *mode <= 0o777);
    mode.ok_or_else(|| serde::de::Error::custom(format!("mode '{text}' is not octal digits up to 777")))
}

/// Reads an operator's file; the error names what is missing or odd.
pub fn read_operator(text: &str) -> Result<Operator, String> {
    let operator: Operator = toml::from_str(text).map_err(|e| format!("operator's file: {e}"))?;
    if let Some(front) = &operator.jsonrpc
        && !(1024..=1 << 20).contains(&front.max_line)
    {
        return Err("operator's file: jsonrpc.max_line is not between 1024 and 1048576".to_owned());
    }
    let mut names = std::collections::BTreeSet::new();
    for checker in &operator.checkers {
        if read_worker(&checker.id).is_none_or(|id| !names.insert(id)) {
            return Err(format!("operator's file: checker id '{}' is odd or stands twice", checker.id));
        }
    }
    Ok(operator)
}

impl Operator {
    /// The checkers as lines of the list of workers.
    pub fn members(&self, site: &Site) -> Vec<(Member, PathBuf)> {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0) as u8;
        let line = |checker: &Checker| {
            let member = Member {
                worker: read_worker(&checker.id)?,
                zone: ZoneId(place(&site.zones, &checker.zone)),
                kind: KindId(place(&site.kinds, &checker.kind)),
                weight: checker.weight,
                ..Member::default()
            };
            Some((member, checker.socket.clone()))
        };
        self.checkers.iter().filter_map(line).collect()
    }
}
