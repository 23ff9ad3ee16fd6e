//! The operator's file: optional features that the platform's configuration doesn't cover.

use super::error::OperatorError;
use super::names::{default_weight, index_of, read_worker};
use super::{Distribution, Fleet, Role};
use crate::interface::{KindId, Member, ZoneId};
use crate::settings::Site;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Range of the maximum line length of the JSON-RPC front, in bytes.
const JSON_RPC_LINE_RANGE_BYTES: RangeInclusive<usize> = 1024..=1 << 20;

/// The features that an operator has configured: the second front, checkers on this host, VRRP, chains, the fleet
/// and the distribution.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// The JSON-RPC front; off if absent.
    pub jsonrpc: Option<JsonRpc>,
    /// Checkers on Unix sockets of this host.
    pub checkers: Vec<Checker>,
    /// The virtual router that decides which daemon accepts new requests on the JSON-RPC front; this one always does
    /// if absent.
    pub vrrp: Option<Vrrp>,
    /// How chains are served.
    pub chains: Chains,
    /// The fleet of processes that this daemon divides shared tasks with; off if absent.
    pub fleet: Option<Fleet>,
    /// The domain that distributes the worker list and the classes; off if absent.
    pub distribution: Option<Distribution>,
}

/// How chains are served.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Chains {
    /// How long a chain may take.
    pub until: Until,
}

/// How long a chain may take, at most until its client gives up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Until {
    /// The latency objective of its last step's class.
    #[default]
    Wanted,
    /// Until the client gives up.
    GivenUp,
}

/// The virtual router that this daemon belongs to.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vrrp {
    /// The virtual router's number, 1 to 255.
    pub vrid: u8,
    /// This daemon's priority: 1 to 254, or 255 for the owner of the address.
    pub priority: u8,
    /// Time between advertisements, in centiseconds: 1 to 4095.
    #[serde(default = "default_interval")]
    pub interval_cs: u16,
    /// Whether this daemon takes over from an active one of lower priority.
    #[serde(default = "default_preempt")]
    pub preempt: bool,
    /// Where this daemon receives advertisements, on a loopback address.
    pub bind: SocketAddr,
    /// Where the other daemons receive advertisements.
    pub peers: Vec<SocketAddr>,
    /// The virtual router's address, which advertisements contain.
    pub address: Ipv4Addr,
}

impl Vrrp {
    fn check(&self) -> Result<(), OperatorError> {
        let interval_allowed = (1..=crate::vrrp::packet::MAX_INTERVAL_CS).contains(&self.interval_cs);
        if self.vrid == 0 || self.priority == 0 || !interval_allowed {
            return Err(OperatorError::VrrpBounds);
        }
        if !self.peers.iter().chain([&self.bind]).all(|address| address.ip().is_loopback()) {
            return Err(OperatorError::VrrpAddress);
        }
        Ok(())
    }
}

fn default_interval() -> u16 {
    100
}

fn default_preempt() -> bool {
    true
}

/// The JSON-RPC front.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JsonRpc {
    /// Where clients connect.
    pub socket: PathBuf,
    /// The socket file's mode, which decides who may connect; octal digits in the file.
    #[serde(default = "default_mode", deserialize_with = "read_mode")]
    pub mode: u32,
    /// Most connections at a time.
    #[serde(default = "default_clients")]
    pub max_clients: usize,
    /// Longest line, in bytes.
    #[serde(default = "default_line")]
    pub max_line: usize,
}

/// A checker: a worker on a Unix socket that speaks JSON-RPC.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checker {
    /// Its name: `s-` and 8 hex digits, as discovery names workers.
    pub id: String,
    /// Where it listens.
    pub socket: PathBuf,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of its machine kind.
    #[serde(default)]
    pub kind: String,
    /// Its size relative to other workers.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_mode() -> u32 {
    0o660
}

fn default_clients() -> usize {
    64
}

fn default_line() -> usize {
    crate::front::jsonrpc::DEFAULT_MAX_LINE_BYTES
}

fn read_mode<'de, D: serde::Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    let text = String::deserialize(from)?;
    let mode = u32::from_str_radix(&text, 8).ok().filter(|mode| *mode <= 0o777);
    mode.ok_or_else(|| serde::de::Error::custom(format!("mode '{text}' is not octal digits up to 777")))
}

/// Parses an operator's file and checks what doesn't depend on the settings.
///
/// # Errors
/// The text is not valid TOML, or has a key that is unknown, missing or out of range; the error names the key.
pub fn read_operator(text: &str) -> Result<Operator, OperatorError> {
    let operator: Operator = toml::from_str(text).map_err(OperatorError::Malformed)?;
    operator.check_alone()?;
    Ok(operator)
}

impl Operator {
    /// Checks what doesn't depend on the settings.
    fn check_alone(&self) -> Result<(), OperatorError> {
        if self.jsonrpc.as_ref().is_some_and(|front| !JSON_RPC_LINE_RANGE_BYTES.contains(&front.max_line)) {
            return Err(OperatorError::JsonRpcLine);
        }
        if let Some(vrrp) = &self.vrrp {
            vrrp.check()?;
        }
        if let Some(fleet) = &self.fleet {
            fleet.check_alone(self.publishes())?;
        }
        if let Some(distribution) = &self.distribution {
            distribution.check_alone(self.fleet.is_some())?;
        }
        let mut names = BTreeSet::new();
        for checker in &self.checkers {
            if read_worker(&checker.id).is_none_or(|id| !names.insert(id)) {
                return Err(OperatorError::CheckerId(checker.id.clone()));
            }
        }
        Ok(())
    }

    /// Checks the file against the settings of the site.
    ///
    /// # Errors
    /// The fleet or the distribution contradicts the settings; the error names the key.
    pub fn check_site(&self, site: &Site) -> Result<(), OperatorError> {
        if let Some(fleet) = &self.fleet {
            fleet.check(site)?;
        }
        if let Some(distribution) = &self.distribution {
            distribution.check(site)?;
        }
        Ok(())
    }

    /// Whether this process may become the publisher of its domain.
    pub fn publishes(&self) -> bool {
        self.distribution.as_ref().is_some_and(|distribution| distribution.role == Role::Replica)
    }

    /// Whether this process receives its worker list from its domain.
    pub fn subscribes(&self) -> bool {
        self.distribution.as_ref().is_some_and(|distribution| distribution.role == Role::Subscriber)
    }

    /// The checkers as entries of the worker list, with their sockets. Unknown zones and kinds get index 0.
    pub fn members(&self, site: &Site) -> Vec<(Member, PathBuf)> {
        let member = |checker: &Checker| {
            let member = Member {
                worker: read_worker(&checker.id)?,
                zone: ZoneId(index_of(&site.zones, &checker.zone)),
                kind: KindId(index_of(&site.kinds, &checker.kind)),
                weight: checker.weight,
                ..Member::default()
            };
            Some((member, checker.socket.clone()))
        };
        self.checkers.iter().filter_map(member).collect()
    }
}
