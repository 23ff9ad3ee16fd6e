//! A scheduler of requests to workers that load programs on demand.
//!
//! An RPC client that embeds the scheduler uses [`client`]. [`core`] is the scheduler without sockets or a clock,
//! [`backend`] and [`front`] implement the protocols of workers and clients, and [`daemon`] is the program.
//!
//! # The policy
//!
//! [`Policy`] is a state machine without a clock, I/O or threads: pass it events with the time at which they happened,
//! execute the actions that it appends, and call it again when a timer that it has set expires.
//!
//! ```
//! use mintgate::*;
//!
//! let settings = Settings {
//!     fleet_size: 2,
//!     index: 0,
//!     zone: ZoneId(0),
//!     tick: Duration::millis(2),
//!     classes: vec![Class {
//!         latency_objective: Duration::millis(400),
//!         deadline: Duration::millis(2500),
//!         priority_weight: 1.0,
//!         late_value: 0.1,
//!         effect: Effect::Safe,
//!         max_attempts: 5,
//!     }],
//!     tenants: vec![],
//!     over_share_weight: 1.0,
//!     rules: Rules {
//!         cold_from: 0.2,
//!         cold_span: Duration::millis(18_000),
//!         fall_multiple: 2.5,
//!         fall_span: Duration::millis(2_000),
//!         drain_grace: Duration::millis(2_000),
//!         load_rate_limit: None,
//!     },
//!     limits: Limits { may_cancel: true, may_probe: true, may_load: true, retry_after: None },
//!     loading: Loading { keep_alive: Duration::millis(8_000), on_miss: OnMiss::Load, memory_mb: vec![16_000.0] },
//!     prices: Prices::default(),
//!     gauges: vec![],
//!     tells_company: false,
//!     discovery: Discovery::Pushed,
//!     weights_are_sizes: true,
//! };
//! let mut policy = Policy::new(settings, 7);
//! let mut actions = Vec::new();
//! let worker = Member {
//!     worker: WorkerId(1),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     state: State::Ready,
//!     weight: 1.0,
//!     started: None,
//!     kind: KindId(0),
//! };
//! policy.handle(Timestamp(0), Event::Members(ListKind::Full, vec![worker]), &mut actions);
//! actions.clear();
//! let call = Request {
//!     id: RequestId(1),
//!     function: FunctionId(9),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     remaining: Duration::millis(2500),
//!     memory_mb: 400.0,
//!     concurrency: 2.0,
//!     load_time: None,
//! };
//! policy.handle(Timestamp(1_000_000), Event::Request(call), &mut actions);
//! assert!(matches!(actions[0], Action::Send { worker: WorkerId(1), .. }));
//! ```
#![forbid(unsafe_code)]

pub mod backend;
pub mod chain;
pub mod client;
pub mod config;
pub mod core;
pub mod daemon;
pub mod discovery;
pub mod fleet;
pub mod front;
pub mod handover;
mod interface;
pub mod log;
pub mod net;
pub mod ops;
mod policy;
pub mod request;
pub mod settings;
mod start_times;
pub mod vrrp;

pub use interface::*;
pub use policy::Policy;

/// The configuration of property tests: a fixed seed, so that results do not change from run to run. Set
/// `PROPTEST_RNG_SEED` for other cases and `PROPTEST_CASES` for more.
#[cfg(test)]
pub(crate) fn proptest_config() -> proptest::test_runner::Config {
    use proptest::test_runner::{Config, RngSeed};
    let config = Config { failure_persistence: None, ..Config::default() };
    match config.rng_seed {
        RngSeed::Random => Config { rng_seed: RngSeed::Fixed(7), ..config },
        RngSeed::Fixed(_) => config,
    }
}
