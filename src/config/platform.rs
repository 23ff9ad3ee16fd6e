//! The platform's configuration file.

use super::ConfigError;
use super::names::{default_weight, index_of, read_worker};
use crate::discovery::{Entry, WatchEvent, started_at};
use crate::interface::*;
use crate::settings::{Site, read_site_value};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The platform's configuration, parsed and with defaults filled in.
#[derive(Clone, Debug)]
pub struct Config {
    /// The scheduler's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The second address, if there is one.
    pub mgmt: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// Most file descriptors that may be open.
    pub sockets: usize,
    /// Memory that may be used, in MB.
    pub memory_mb: usize,
    /// The address of the discovery stream, if there is one.
    pub discovery: Option<SocketAddr>,
    /// Discovery's events that the file contains, by offset.
    pub known_events: Vec<WatchEvent>,
    /// The settings of the site.
    pub site: Site,
    /// The complete file without discovery's events, including keys that are not interpreted.
    pub whole: Value,
    /// The file's text, if it has to be kept for a process that takes over; else empty.
    pub text: Vec<u8>,
}

/// The file parsed in a single pass: discovery's events into structs, everything else into a tree.
struct ParsedFile<'a> {
    known: KnownEvents<'a>,
    rest: Map<String, Value>,
}

impl<'de> Deserialize<'de> for ParsedFile<'de> {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<ParsedFile<'de>, D::Error> {
        struct Keys;
        impl<'de> serde::de::Visitor<'de> for Keys {
            type Value = ParsedFile<'de>;

            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: serde::de::MapAccess<'de>>(
                self,
                mut map: A,
            ) -> Result<ParsedFile<'de>, A::Error> {
                let mut file = ParsedFile { known: KnownEvents::default(), rest: Map::new() };
                while let Some(key) = map.next_key::<String>()? {
                    if file.rest.contains_key(&key) {
                        return Err(serde::de::Error::custom(format!("duplicate field `{key}`")));
                    }
                    let value = match key.as_str() {
                        "known" => {
                            file.known = map.next_value()?;
                            Value::Null
                        }
                        _ => map.next_value()?,
                    };
                    file.rest.insert(key, value);
                }
                // So that a file without events is not rejected for a missing key.
                file.rest.insert("known".to_owned(), Value::Null);
                Ok(file)
            }
        }
        from.deserialize_map(Keys)
    }
}

impl Config {
    /// The classes as they are in the file.
    pub fn classes(&self) -> &[Value] {
        self.whole["settings"]["classes"].as_array().map_or(&[], Vec::as_slice)
    }

    /// A copy without the parts that may be large: discovery's events and the file's text.
    pub fn without_events(&self) -> Config {
        Config {
            name: self.name.clone(),
            known_events: Vec::new(),
            site: self.site.clone(),
            whole: self.whole.clone(),
            text: Vec::new(),
            ..*self
        }
    }

    /// Replaces the classes of these names, and appends those whose names are new.
    ///
    /// # Errors
    /// A class cannot be parsed, or the settings that contain it are invalid.
    pub fn with_classes(mut self, classes: &BTreeMap<String, Value>) -> Result<Config, ConfigError> {
        let list = self.whole.pointer_mut("/settings/classes").and_then(Value::as_array_mut);
        let list = list.ok_or_else(|| ConfigError::MissingKey("settings.classes".to_owned()))?;
        let indices = list.iter().enumerate();
        let indices: BTreeMap<String, usize> =
            indices.filter_map(|(n, class)| Some((class["name"].as_str()?.to_owned(), n))).collect();
        for (name, class) in classes {
            match indices.get(name) {
                Some(index) => list[*index] = class.clone(),
                None => list.push(class.clone()),
            }
        }
        self.site = read_site_value(&self.whole["settings"])?;
        Ok(self)
    }
}

#[derive(Deserialize)]
struct PlatformFile {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    mgmt: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(rename = "bus")]
    discovery: Option<SocketAddr>,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

#[derive(Deserialize, Default)]
struct KnownEvents<'a> {
    #[serde(default, borrow)]
    batch: Vec<KnownEvent<'a>>,
}

#[derive(Deserialize)]
struct KnownEvent<'a> {
    offset: u64,
    #[serde(borrow)]
    topology: Topology<'a>,
}

#[derive(Deserialize)]
struct Topology<'a> {
    all: bool,
    #[serde(default, borrow, rename = "targets")]
    workers: Vec<WorkerRecord<'a>>,
}

#[derive(Deserialize)]
struct WorkerRecord<'a> {
    #[serde(borrow)]
    uid: Cow<'a, str>,
    endpoint: SocketAddr,
    #[serde(borrow)]
    az: Cow<'a, str>,
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    pod_group: u16,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(default = "default_weight")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

/// Limit on open file descriptors if none is configured.
const DEFAULT_SOCKETS: usize = 1024;
/// Limit on memory if none is configured, in MB.
const DEFAULT_MEMORY_MB: usize = 192;

/// Parses the platform's configuration file.
///
/// # Errors
/// [`ConfigError`] names the key that is missing or invalid.
pub fn read(bytes: &[u8]) -> Result<Config, ConfigError> {
    read_after(bytes, None)
}

/// Like [`read`], for a process that knows discovery's events up to this offset: those are checked but not kept.
///
/// # Errors
/// As [`read`].
pub fn read_after(bytes: &[u8], offset: Option<u64>) -> Result<Config, ConfigError> {
    let file: ParsedFile = serde_json::from_slice(bytes).map_err(ConfigError::Malformed)?;
    let whole = Value::Object(file.rest);
    let text = PlatformFile::deserialize(&whole).map_err(ConfigError::Malformed)?;
    let settings = whole.get("settings").ok_or(ConfigError::MissingSettings)?;
    let site = read_site_value(settings)?;
    let mut known_events = Vec::new();
    for event in file.known.batch {
        let mut entries = event.topology.workers.iter().map(|record| read_worker_record(record, &site));
        if offset.is_some_and(|offset| event.offset <= offset) {
            entries.try_for_each(|entry| entry.map(drop))?;
            continue;
        }
        let kind = if event.topology.all { ListKind::Full } else { ListKind::Delta };
        known_events.push(WatchEvent {
            offset: event.offset,
            kind,
            entries: entries.collect::<Result<_, _>>()?,
        });
    }
    known_events.sort_by_key(|event| event.offset);
    Ok(Config {
        name: text.name,
        listen: text.listen,
        mgmt: text.mgmt,
        seed: u64::from_str_radix(&text.seed, 16).unwrap_or_default(),
        sockets: text.limits.sockets.unwrap_or(DEFAULT_SOCKETS),
        memory_mb: text.limits.memory_mb.map_or(DEFAULT_MEMORY_MB, |mb| mb.clamp(1.0, 1e6) as usize),
        discovery: text.discovery,
        known_events,
        site,
        whole,
        text: Vec::new(),
    })
}

fn read_worker_record(record: &WorkerRecord<'_>, site: &Site) -> Result<Entry, ConfigError> {
    let invalid = |key, value: &str| ConfigError::InvalidWorker { key, value: value.to_owned() };
    let member = Member {
        worker: read_worker(&record.uid).ok_or_else(|| invalid("uid", &record.uid))?,
        zone: ZoneId(index_of(&site.zones, &record.az)),
        cell: CellId(record.pod_group),
        state: match record.state.as_ref() {
            "SERVING" => State::Ready,
            "DRAINING" => State::Draining,
            "DELETED" => State::Gone,
            other => return Err(invalid("state", other)),
        },
        weight: record.capacity_hint,
        started: started_at(record.boot_ms),
        kind: KindId(index_of(&site.kinds, &record.model)),
    };
    Ok(Entry { member, address: record.endpoint })
}
