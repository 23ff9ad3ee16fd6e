//! Codec of the datagrams between processes: a header, a body, and a checksum.
//!
//! The layout is `magic:3 version:1 fleet:8 body checksum:4`: numbers are big-endian, the body is encoded with
//! postcard. Datagrams that are truncated, corrupted, or of another fleet or version are rejected.

use super::Process;
use super::distribution;
use super::gossip::GossipEntry;
use super::lease::{LeaseId, LeaseMessage};
use super::membership::IdentityQuery;
use serde::{Deserialize, Serialize};

/// Largest datagram in bytes: ordinary links carry it without fragmentation.
pub const LARGEST: usize = 1_400;
/// Largest number of lease messages in one datagram; each takes at most 40 bytes.
pub const LEASES: usize = 30;
const MAGIC: &[u8; 3] = b"mgf";
/// Version of the layout of the body.
pub const VERSION: u8 = 3;
const HEADER_BYTES: usize = 12;
const CHECKSUM_BYTES: usize = 4;

/// The contents of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sending process.
    pub from: Process,
    /// Lease messages.
    pub leases: Vec<(LeaseId, LeaseMessage)>,
    /// A SWIM packet of the membership protocol; empty if there is none.
    pub swim: Vec<u8>,
    /// An identity query or its answer.
    pub who: Option<IdentityQuery>,
    /// Gossiped observations.
    pub gossip: Vec<GossipEntry>,
    /// Messages of the distribution protocol.
    pub distribution: Vec<distribution::DistributionMessage>,
}

impl Datagram {
    /// A datagram without contents.
    pub fn empty(from: Process) -> Datagram {
        Datagram { from, leases: vec![], swim: vec![], who: None, gossip: vec![], distribution: vec![] }
    }
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// Not of this protocol, truncated, or corrupted.
    Malformed,
    /// Of an unsupported version.
    Version,
    /// Of a fleet with another name, other acceptors or another term.
    Fleet,
}

/// Hashes a fleet's name and the settings on which its processes must agree.
pub fn fleet(name: &str, agreed: &[u64]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name.bytes().chain(agreed.iter().flat_map(|n| n.to_be_bytes())) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash
}

/// Encodes a datagram.
pub fn write(fleet: u64, datagram: &Datagram) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    out.extend(MAGIC);
    out.push(VERSION);
    out.extend(fleet.to_be_bytes());
    let mut out = postcard::to_extend(datagram, out).unwrap_or_default();
    out.extend(crc32fast::hash(&out).to_be_bytes());
    out
}

/// Decodes a datagram. Datagrams longer than [`LARGEST`] are rejected, which bounds what a peer can make this process
/// allocate.
///
/// # Errors
/// The datagram is truncated or corrupted, of another version, or of another fleet.
pub fn read(fleet: u64, bytes: &[u8]) -> Result<Datagram, DatagramError> {
    if bytes.len() > LARGEST || bytes.len() < HEADER_BYTES + CHECKSUM_BYTES || !bytes.starts_with(MAGIC) {
        return Err(DatagramError::Malformed);
    }
    let (content, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    if crc32fast::hash(content).to_be_bytes() != checksum {
        return Err(DatagramError::Malformed);
    }
    if content[MAGIC.len()] != VERSION {
        return Err(DatagramError::Version);
    }
    if content[MAGIC.len() + 1..HEADER_BYTES] != fleet.to_be_bytes() {
        return Err(DatagramError::Fleet);
    }
    match postcard::take_from_bytes(&content[HEADER_BYTES..]) {
        Ok((datagram, [])) => Ok(datagram),
        _ => Err(DatagramError::Malformed),
    }
}
