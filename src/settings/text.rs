//! The JSON form of the settings.

use serde::Deserialize;

/// The complete settings.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct SettingsText {
    #[serde(default = "alone")]
    pub(super) fleet_size: u32,
    #[serde(default)]
    pub(super) index: u32,
    #[serde(default)]
    pub(super) zone: u8,
    #[serde(default)]
    pub(super) tick_ns: u64,
    pub(super) classes: Vec<ClassText>,
    #[serde(default)]
    pub(super) accounts: Vec<AccountText>,
    pub(super) over_share_worth: Option<f64>,
    pub(super) contract: ContractText,
    pub(super) bounds: BoundsText,
    pub(super) family_info: FamilyInfoText,
    #[serde(default)]
    pub(super) prices: PricesText,
    #[serde(default)]
    pub(super) load_info: LoadInfoText,
    #[serde(default)]
    pub(super) discovery: String,
    #[serde(default)]
    pub(super) weight_source: String,
    #[serde(default)]
    pub(super) zones: Vec<String>,
    #[serde(default)]
    pub(super) kinds: Vec<String>,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ClassText {
    #[serde(default)]
    pub(super) name: String,
    pub(super) objective_ns: u64,
    pub(super) deadline_ns: u64,
    pub(super) effect: String,
    pub(super) group: Option<String>,
    pub(super) repeat_window_ns: Option<u64>,
    pub(super) worth: Option<f64>,
    #[serde(default)]
    pub(super) late_share: f64,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct AccountText {
    #[serde(default)]
    pub(super) allowance_per_s: f64,
}

/// The rules that the site's workers keep.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ContractText {
    pub(super) cold_from: f64,
    pub(super) cold_ns: u64,
    pub(super) fall_multiple: f64,
    pub(super) fall_ns: u64,
    #[serde(default = "two_seconds")]
    pub(super) drain_grace_ns: u64,
}

/// What a scheduler may do, and the limits of its sockets.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct BoundsText {
    pub(super) most_tries: u16,
    #[serde(default)]
    pub(super) may_cancel: bool,
    #[serde(default)]
    pub(super) probes: bool,
    #[serde(default)]
    pub(super) peers: bool,
    #[serde(default)]
    pub(super) retry_after: bool,
    #[serde(default)]
    pub(super) max_retry_after_ns: u64,
    #[serde(default = "default_multiplex")]
    pub(super) multiplex: usize,
    #[serde(default = "default_max_open")]
    pub(super) max_open: usize,
    #[serde(default = "default_idle_close")]
    pub(super) idle_close_ns: u64,
    #[serde(default = "default_connect")]
    pub(super) connect_timeout_ns: u64,
}

/// The size of the fleet if none is given: this scheduler is the only one.
fn alone() -> u32 {
    1
}

fn default_multiplex() -> usize {
    32
}

fn default_max_open() -> usize {
    4096
}

fn default_idle_close() -> u64 {
    15_000_000_000
}

fn default_connect() -> u64 {
    250_000_000
}

fn default_load_wait() -> u64 {
    10_000_000_000
}

/// How workers load functions, keep instances and account for memory.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct FamilyInfoText {
    pub(super) keep_ns: u64,
    pub(super) not_loaded: String,
    #[serde(default)]
    pub(super) may_order: bool,
    #[serde(default)]
    pub(super) memory_mb_by_kind: Vec<f64>,
    pub(super) load_span_ns: u64,
    #[serde(default)]
    pub(super) loads_anyway: f64,
    #[serde(default)]
    pub(super) load_part: f64,
    #[serde(default)]
    pub(super) price_of_idle: f64,
    #[serde(default)]
    pub(super) says_company: bool,
    #[serde(default = "default_load_wait")]
    pub(super) load_wait_ns: u64,
}

/// Costs, relative to each other. Each is 0 if absent.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct PricesText {
    pub(super) origin: f64,
    pub(super) cross_zone: f64,
    pub(super) waste: f64,
    pub(super) probe: f64,
}

/// The names of the values in the workers' load reports.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct LoadInfoText {
    pub(super) names: Vec<String>,
}

/// The grace of a drain if none is given, in nanoseconds.
fn two_seconds() -> u64 {
    2_000_000_000
}
