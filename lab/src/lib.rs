//! The lab: runs the scheduler's decisions in virtual time and with real processes, and reports the results.
#![allow(
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "the lab does not follow these lints yet: docs/open.md"
)]

pub mod capacity;
pub mod chains;
pub mod domain;
pub mod faults;
mod fleet;
pub mod hollow;
pub mod ledger;
pub mod network;
pub mod processes;
pub mod rig;
pub mod scale;
pub mod soak;
pub mod stand_ins;
