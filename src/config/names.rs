//! Names of workers, zones and machine kinds in configuration files.

use crate::interface::WorkerId;

/// Parses a worker's name: `s-` and 8 hex digits.
pub fn read_worker(uid: &str) -> Option<WorkerId> {
    let digits = uid.strip_prefix("s-")?;
    if digits.len() != 8 || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().map(WorkerId)
}

/// The index of a name in a list of the site's settings; 0 if the list doesn't contain it.
pub(super) fn index_of(names: &[String], name: &str) -> u8 {
    names.iter().position(|known| known == name).unwrap_or(0) as u8
}

/// The relative size of a worker if none is given.
pub(super) fn default_weight() -> f64 {
    1.0
}
