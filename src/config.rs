//! Reads and checks the configuration: the platform's file, and the operator's file with optional additions.

mod distribution;
mod error;
mod fleet;
mod names;
mod operator;
mod platform;
mod replacement;
mod sources;

pub use distribution::{Distribution, DistributionError, Role};
pub use error::{ConfigError, OperatorError, SourceFile};
pub use fleet::{Elector, Fleet, FleetError};
pub use names::read_worker;
pub use operator::{Chains, Checker, JsonRpc, Operator, Until, Vrrp, read_operator};
pub use platform::{Config, read, read_after};
pub use replacement::check;
pub use sources::Sources;

#[cfg(test)]
mod tests;
