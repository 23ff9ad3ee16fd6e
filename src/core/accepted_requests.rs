//! Requests that were accepted and have no final answer yet, indexed by id, by owner and by the client's reference.

use crate::interface::{Effect, FunctionId, RequestId, Timestamp};
use crate::policy::may_client_retry;
use crate::request::{Owner, RequestPayload};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// Open requests may bring the memory limit divided by this in bodies and texts; beyond that, requests are rejected.
const PAYLOAD_MEMORY_DIVISOR: usize = 6;
/// Memory limit in bytes until [`AcceptedRequests::limit_memory`] is called.
const DEFAULT_MEMORY_LIMIT: usize = 192 << 20;

/// A request that was accepted and has no final answer yet.
pub(super) struct AcceptedRequest {
    pub(super) owner: Owner,
    pub(super) work: Rc<RequestPayload>,
    /// Index of its class in the site's settings.
    pub(super) class: usize,
    pub(super) effect: Effect,
    pub(super) deadline: Timestamp,
    /// Attempts started so far.
    pub(super) attempts: u16,
    /// The first attempt that may have run.
    pub(super) first_written: Option<WrittenAttempt>,
}

impl AcceptedRequest {
    /// Whether its client may safely repeat it, given the attempts so far.
    pub(super) fn may_client_retry(&self) -> bool {
        let effect = self.effect.of_request(self.work.key.is_some());
        may_client_retry(effect, self.first_written.is_some())
    }
}

/// An attempt that was completely written to its worker, so that it may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct WrittenAttempt {
    /// Which of the request's attempts, from 0.
    pub(super) number: u16,
    pub(super) at: Timestamp,
}

/// The table of accepted requests and its indices, which always hold the same requests.
pub(super) struct AcceptedRequests {
    by_id: BTreeMap<RequestId, AcceptedRequest>,
    by_owner: HashMap<Owner, RequestId>,
    /// The clients' names for the requests.
    references: HashSet<String>,
    /// Bytes of all bodies, keys and other texts of the requests.
    payload_bytes: usize,
    /// Memory that the whole scheduler may use, in bytes.
    memory_limit: usize,
    next_id: u32,
}

impl Default for AcceptedRequests {
    fn default() -> AcceptedRequests {
        AcceptedRequests {
            by_id: BTreeMap::new(),
            by_owner: HashMap::new(),
            references: HashSet::new(),
            payload_bytes: 0,
            memory_limit: DEFAULT_MEMORY_LIMIT,
            next_id: 0,
        }
    }
}

impl AcceptedRequests {
    /// Sets the memory that the whole scheduler may use, in bytes.
    pub(super) fn limit_memory(&mut self, bytes: usize) {
        self.memory_limit = bytes;
    }

    /// Whether so many more bytes of bodies and texts would exceed the memory for them.
    pub(super) fn exceeds_memory(&self, payload_bytes: usize) -> bool {
        self.payload_bytes + payload_bytes > self.memory_limit / PAYLOAD_MEMORY_DIVISOR
    }

    /// A new id, unique until the numbers wrap.
    pub(super) fn new_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        id
    }

    /// Adds a request under its id.
    pub(super) fn insert(&mut self, id: RequestId, accepted: AcceptedRequest) {
        self.payload_bytes += accepted.work.byte_count();
        self.references.insert(accepted.work.reference.clone());
        self.by_owner.insert(accepted.owner, id);
        self.by_id.insert(id, accepted);
    }

    /// Removes a request from the table and all indices.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<AcceptedRequest> {
        let accepted = self.by_id.remove(&id)?;
        self.payload_bytes -= accepted.work.byte_count();
        self.references.remove(&accepted.work.reference);
        self.by_owner.remove(&accepted.owner);
        Some(accepted)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&AcceptedRequest> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut AcceptedRequest> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &AcceptedRequest> + '_ {
        self.by_id.values()
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(super) fn id_of(&self, owner: Owner) -> Option<RequestId> {
        self.by_owner.get(&owner).copied()
    }

    pub(super) fn has_owner(&self, owner: Owner) -> bool {
        self.by_owner.contains_key(&owner)
    }

    pub(super) fn has_reference(&self, reference: &str) -> bool {
        self.references.contains(reference)
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Number of entries in the index by owner, for the invariant on table sizes.
    pub(super) fn owner_count(&self) -> usize {
        self.by_owner.len()
    }

    /// Number of entries in the index by reference, for the invariant on table sizes.
    pub(super) fn reference_count(&self) -> usize {
        self.references.len()
    }

    /// Whether any of the requests calls this function.
    pub(super) fn includes_function(&self, function: FunctionId) -> bool {
        self.by_id.values().any(|accepted| accepted.work.function == function)
    }

    /// Classes of the requests, as indices into the site's settings.
    pub(super) fn classes(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_id.values().map(|accepted| accepted.class)
    }
}

#[cfg(test)]
impl AcceptedRequests {
    /// Bytes of all bodies and texts.
    pub(super) fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }

    /// Makes the index by reference inconsistent with the table, which the invariant checks must detect.
    pub(super) fn clear_references(&mut self) {
        self.references.clear();
    }
}
