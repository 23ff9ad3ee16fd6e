//! Requests and chains that a front has read and the scheduler has not accepted yet. What its client withdraws in the same
//! input is never placed: it takes no worker's capacity from others.

use super::{Core, IncomingRequest, Owner};
use crate::chain::Chain;
use crate::interface::Timestamp;

/// A request or chain as a front has read it.
pub(super) enum EnqueuedWork {
    Request(IncomingRequest),
    Chain(Chain),
}

impl EnqueuedWork {
    fn owner(&self) -> Owner {
        match self {
            EnqueuedWork::Request(request) => request.owner,
            EnqueuedWork::Chain(chain) => chain.owner,
        }
    }
}

impl Core {
    /// Takes a request that has been read completely; [`Core::submit_enqueued`] submits it.
    pub fn enqueue(&mut self, request: IncomingRequest) {
        self.enqueued.push(EnqueuedWork::Request(request));
    }

    /// Takes a chain that has been read completely; [`Core::submit_enqueued`] starts it.
    pub fn enqueue_chain(&mut self, chain: Chain) {
        self.enqueued.push(EnqueuedWork::Chain(chain));
    }

    /// Submits what has been enqueued and not withdrawn, in order. Called when a connection's input has been read.
    pub fn submit_enqueued(&mut self, now: Timestamp) {
        for work in std::mem::take(&mut self.enqueued) {
            match work {
                EnqueuedWork::Request(request) => self.submit(now, request),
                EnqueuedWork::Chain(chain) => self.chain(now, chain),
            }
        }
    }

    /// Removes the enqueued work of this owner, whose client has withdrawn it; false if there is none.
    pub(super) fn withdraw_enqueued(&mut self, owner: Owner) -> bool {
        let Some(position) = self.enqueued.iter().position(|work| work.owner() == owner) else {
            return false;
        };
        if let EnqueuedWork::Request(_) = self.enqueued.remove(position) {
            self.counters.taken += 1;
            self.counters.withdrawn += 1;
        }
        true
    }
}
