//! The order in which a child tries its configured parents.

use crate::fleet::mix;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Sorts and deduplicates parents by rendezvous hashing. The order differs between processes, so that the children of a
/// failed parent spread over the remaining ones.
pub fn by_preference(mut parents: Vec<SocketAddr>, own_address: SocketAddr, seed: u64) -> Vec<SocketAddr> {
    let hash = |address: &SocketAddr| {
        let mut hasher = DefaultHasher::new();
        address.hash(&mut hasher);
        hasher.finish()
    };
    let own_hash = mix(hash(&own_address), seed);
    parents.sort_by_key(|parent| (mix(own_hash, hash(parent)), *parent));
    parents.dedup();
    parents
}
