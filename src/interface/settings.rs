//! A scheduler's configuration: its classes, rules, limits and how functions are loaded.

use super::ids::{Duration, ZoneId};

/// A keyed request is retried no later than this before its deduplication window ends, because the bytes of an attempt
/// may take that long to be written. Shared by the policy, the check before the write and chains.
pub const DEDUP_WINDOW_MARGIN: Duration = Duration::millis(100);

/// For how long a received discovery frame confirms the list. Discovery sends a frame each second; this allows for some
/// delay of the next one. Shared by the policy and the publisher of a domain.
pub const DISCOVERY_HEARTBEAT_ALLOWANCE: Duration = Duration::millis(1250);

/// Idempotency of a request: whether, and on which workers, it may run again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: safe to repeat anywhere.
    Safe,
    /// Idempotent by its key: the workers of a group drop duplicates for a while after the first send.
    Keyed {
        /// Which workers drop the duplicate.
        group: Group,
        /// For how long, counted from the send of the first attempt that may have run.
        window: Duration,
    },
    /// Must never run twice.
    Unsafe,
}

impl Effect {
    /// The effect of a request of the class: without its key, workers cannot recognize a repeat.
    pub fn of_request(self, has_key: bool) -> Effect {
        match self {
            Effect::Keyed { .. } if !has_key => Effect::Unsafe,
            effect => effect,
        }
    }
}

/// Workers that drop duplicates of each other's keyed requests.
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
    /// A client waits no longer than this, over all its retries.
    pub deadline: Duration,
    /// Relative value of a request.
    pub priority_weight: f64,
    /// Fraction of the value that an answer between latency objective and deadline has.
    pub late_value: f64,
    /// Whether a request may be retried after an attempt that may have run.
    pub effect: Effect,
    /// Most attempts of one request. A new configuration that changes a class defines another class: requests under
    /// way stay in the class under which they were accepted.
    pub max_attempts: u16,
}

/// A tenant and its share of the fleet.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all schedulers, that count as within its share.
    pub allowance_per_s: f64,
}

/// Rules that a scheduler keeps when it sends work to workers.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Slow start: a cold worker begins with at least this fraction of its capacity...
    pub cold_from: f64,
    /// ...and has its full capacity after this time at the latest.
    pub cold_span: Duration,
    /// A cold worker fails when it is sent more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall_span: Duration,
    /// Nothing new is sent to a worker later than this after its drain was received, or counts as received.
    pub drain_grace: Duration,
    /// Rate limit of load requests, where there is one.
    pub load_rate_limit: Option<LoadRateLimit>,
}

/// Rate limit of load requests: at each one, the load requests within `span` are at most
/// `free + share x requests accepted within span`.
#[derive(Clone, Copy, Debug)]
pub struct LoadRateLimit {
    /// Load requests that are allowed regardless of the requests accepted.
    pub free: f64,
    /// Further load requests for each request accepted.
    pub share: f64,
    /// Length of the sliding window.
    pub span: Duration,
}

/// What a site permits a scheduler to do.
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

/// What a worker does with a request for a function that it has not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnMiss {
    /// It loads the function while the request waits.
    Load,
    /// It answers [`Status::Miss`](super::Status::Miss); only a load request loads the function.
    Miss,
}

/// How workers load and keep functions.
#[derive(Clone, Debug)]
pub struct Loading {
    /// An idle instance stays loaded at least this long.
    pub keep_alive: Duration,
    /// What happens on a miss.
    pub on_miss: OnMiss,
    /// Memory of each kind of worker, in MB.
    pub memory_mb: Vec<f64>,
}

/// Cost of each resource, as a fraction of the whole result. Each field names the usage that costs this much.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// All memory is held by idle instances all the time.
    pub idle: f64,
    /// Each request causes one fetch from the store.
    pub fetch: f64,
    /// Each request crosses zones once.
    pub cross_zone: f64,
    /// All work is wasted.
    pub waste: f64,
    /// Each request causes one health check or load request.
    pub probe: f64,
}

/// Meaning of a value in a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Requests in flight.
    InFlight,
    /// Requests queued.
    Queue,
    /// CPU utilization, 0 to 1.
    Busy,
    /// Loads running or queued.
    Loads,
    /// Fraction of memory that cannot be freed.
    PinnedMemory,
    /// Anything else.
    Other,
}

/// How changes of the list of workers are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// To every scheduler, without a subscription.
    Pushed,
    /// Only to schedulers that have subscribed.
    OnRequest,
}

/// The configuration of a scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of schedulers.
    pub fleet_size: u32,
    /// Index of this scheduler, from 0.
    pub index: u32,
    /// Its zone.
    pub zone: ZoneId,
    /// Shortest time between two rounds of events.
    pub tick: Duration,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's share, as a fraction of its usual value.
    pub over_share_weight: f64,
    /// Rules for sending work to workers.
    pub rules: Rules,
    /// What is permitted.
    pub limits: Limits,
    /// How functions are loaded.
    pub loading: Loading,
    /// What each resource costs.
    pub prices: Prices,
    /// Meanings of the values of a load report, in their order.
    pub gauges: Vec<Gauge>,
    /// Whether answers carry [`Outcome::company`](super::Outcome::company).
    pub tells_company: bool,
    /// How changes of the list of workers are delivered.
    pub discovery: Discovery,
    /// Whether a worker's listed weight is a lasting size.
    pub weights_are_sizes: bool,
}
