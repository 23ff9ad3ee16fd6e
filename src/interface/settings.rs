//! What a scheduler is configured with: its classes, rules, limits and how functions are loaded.

use super::ids::{Duration, ZoneId};

/// A keyed request is repeated no later than this before its group forgets it: the bytes of an attempt may take so
/// long to be written. The decisions, the check before the write and chains use this one figure.
pub const DEDUP_WINDOW_MARGIN: Duration = Duration::millis(100);

/// Discovery sends a frame each second: one that is heard counts for this long, with some delay of the next. The decisions and
/// the publisher of a domain use this one figure.
pub const DISCOVERY_HEARTBEAT_ALLOWANCE: Duration = Duration::millis(1250);

/// Whether, and by which workers, a request that may have run may be run again (idempotency).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: safe to repeat anywhere.
    Safe,
    /// Idempotent by its key: the workers of a group drop repeats, for a while after the first send.
    Keyed {
        /// Which workers drop the repeat.
        group: Group,
        /// For how long, from the send of the first attempt that may have run.
        window: Duration,
    },
    /// Must never run twice.
    Unsafe,
}

/// Workers that drop repeats of each other's keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time counts in full.
    pub latency_objective: Duration,
    /// A client waits no longer than this over all its tries.
    pub deadline: Duration,
    /// Relative worth of a request.
    pub priority_weight: f64,
    /// Share of the worth that an answer between latency objective and deadline has.
    pub late_value: f64,
    /// Whether a request may be repeated.
    pub effect: Effect,
    /// Most attempts of one request. A new configuration may bring other figures: a class that they change is
    /// another class, and requests under way stay in the one that they came in.
    pub max_attempts: u16,
}

/// A tenant and its share of the fleet.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all schedulers, that count as within its share.
    pub allowance_per_s: f64,
}

/// Limits that a scheduler keeps.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A cold worker starts at no less than this part of its capacity...
    pub cold_from: f64,
    /// ...and is warm after this time at the latest.
    pub cold_span: Duration,
    /// A cold worker falls over when sent more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall_span: Duration,
    /// Nothing new is sent to a worker later than this after its drain was received, or counts as received.
    pub drain_grace: Duration,
    /// Load requests are rate-limited so, where they are.
    pub load_rate_limit: Option<LoadRateLimit>,
}

/// At each load request, load requests in `span` are at most `free + share x requests accepted in span`.
#[derive(Clone, Copy, Debug)]
pub struct LoadRateLimit {
    /// Load requests that are always allowed.
    pub free: f64,
    /// Further load requests for each request accepted.
    pub share: f64,
    /// The window of the count.
    pub span: Duration,
}

/// What a site lets a scheduler do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Workers may be sent health checks.
    pub may_probe: bool,
    /// Load and unload requests may be sent.
    pub may_load: bool,
    /// Longest Retry-After that a client may be given; absent where none is passed on.
    pub retry_after: Option<Duration>,
}

/// What a worker does with a request of a function that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnMiss {
    /// It loads the function while the request waits.
    Load,
    /// It answers [`Status::Miss`](super::Status::Miss); only a load request loads.
    Miss,
}

/// How workers load and keep functions.
#[derive(Clone, Debug)]
pub struct Loading {
    /// An idle instance stays at least this long.
    pub keep_alive: Duration,
    /// What happens on a miss.
    pub on_miss: OnMiss,
    /// Memory of each kind of worker.
    pub memory_mb: Vec<f64>,
}

/// Points of the result, as parts of one, for each unit.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// All memory held by idle instances all the time.
    pub idle: f64,
    /// One fetch from the store for each request.
    pub fetch: f64,
    /// Each request crossing zones once.
    pub cross_zone: f64,
    /// All work wasted.
    pub waste: f64,
    /// One health check or load request for each request.
    pub probe: f64,
}

/// Meaning of a value in a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Requests held.
    InFlight,
    /// Requests waiting.
    Queue,
    /// How busy the cores are, 0 to 1.
    Busy,
    /// Loads under way or waiting.
    Loads,
    /// Share of memory that cannot be freed.
    PinnedMemory,
    /// Anything else.
    Other,
}

/// Whether list changes come by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// They do.
    Pushed,
    /// Only to schedulers that subscribed.
    OnRequest,
}

/// What a scheduler is configured with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many schedulers there are.
    pub fleet_size: u32,
    /// The number of this one, from 0.
    pub index: u32,
    /// Its zone.
    pub zone: ZoneId,
    /// Shortest time between two rounds of events.
    pub tick: Duration,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_weight: f64,
    /// Figures of the rules.
    pub rules: Rules,
    /// What is permitted.
    pub limits: Limits,
    /// How functions are loaded.
    pub loading: Loading,
    /// What costs points.
    pub prices: Prices,
    /// Values of a load report, in their order.
    pub gauges: Vec<Gauge>,
    /// Whether answers carry [`Outcome::company`](super::Outcome::company).
    pub tells_company: bool,
    /// How changes of the list of workers arrive.
    pub discovery: Discovery,
    /// A worker's listed weight is a lasting size.
    pub weights_are_sizes: bool,
}
