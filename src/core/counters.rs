//! Running totals: requests accepted, attempts sent, answers given, connections and datagrams.

use super::figures::ClassOutcomes;
use crate::interface::Status;
use crate::request::{CloseCause, Verdict};
use std::collections::BTreeMap;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Running totals since the start of the process.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
            /// Final answers by class name.
            pub classes: BTreeMap<String, ClassOutcomes>,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters")?;
                $(write!(f, " {}={}", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests that were read completely.
    taken,
    /// Final answers 'served'.
    served,
    /// Final answers 'refused'.
    refused,
    /// Final answers 'failed'.
    failed,
    /// Requests rejected by their listener because too many are open on the connection.
    turned_away_refused,
    /// Requests failed by their listener because of invalid fields.
    turned_away_failed,
    /// Requests rejected at once because the fleet had agreed to shed them.
    shed,
    /// Requests that the core had to fail because the policy had not ended them.
    overdue,
    /// Requests that their clients withdrew, explicitly or by closing the connection.
    withdrawn,
    /// Chains received; each of their steps also counts as a request.
    chains,
    /// Chains of which all steps were served.
    chains_served,
    /// Chains stopped because the remaining time did not cover the next step and those after it.
    chains_stopped,
    /// Chains of which a step was rejected or failed.
    chains_failed,
    /// Requests rejected because too many are open, or their bodies take too much memory.
    refused_full,
    /// Requests rejected because this process is about to end.
    refused_ending,
    /// Requests rejected because their deadline had passed when they arrived.
    refused_late,
    /// Requests rejected because a new configuration has removed their class.
    refused_class,
    /// Requests rejected by the policy: no attempt, or no retry, could be made in time.
    refused_unplaced,
    /// Attempts started; each ends in one of the ways below or is still open.
    attempts,
    /// Attempts that were not the first of their request.
    retries,
    /// Attempts written completely to a worker.
    sent,
    /// Attempts that succeeded.
    ok,
    /// Attempts answered with an error.
    error,
    /// Attempts rejected by their worker without being run.
    full,
    /// Attempts that timed out.
    timeout,
    /// Attempts whose connection was never established, or that were never written completely.
    connect_failed,
    /// Attempts whose connection broke after they were written completely.
    reset,
    /// Attempts cancelled.
    cancelled,
    /// Attempts that were never sent, or expired before they ran.
    moot,
    /// Attempts whose function was not loaded on the worker.
    miss,
    /// Load requests started.
    orders_begun,
    /// Load requests ended.
    orders_ended,
    /// Load requests written.
    orders,
    /// Load requests that the rate limit of loads stopped when they were about to be written.
    orders_rationed,
    /// Probes started.
    probes,
    /// Probes that were not answered in time.
    probes_unanswered,
    /// Probes that a worker answered by rejecting new work.
    probes_rejected,
    /// Probes that were not written because their fleet lease had ended or there was no connection.
    probes_held,
    /// Updates of the list of workers.
    list_events,
    /// Times that discovery became unreachable.
    discovery_lost,
    /// Times that the list became possibly outdated, so that workers were probed before they were sent work.
    list_unconfirmed,
    /// Attempts rejected by their worker without being run while discovery was unreachable.
    full_unheard,
    /// Connections accepted from clients.
    accepted,
    /// Connections opened to workers.
    opened,
    /// Connections closed by the peer.
    closed_ended,
    /// Connections on which a read or write failed.
    closed_broken,
    /// Connections that were never established.
    closed_not_connected,
    /// Connections closed for being idle.
    closed_idle,
    /// Idle connections closed because their place was needed for another one.
    closed_made_room,
    /// Connections closed because the peer did not read and buffered output took too much memory.
    closed_clogged,
    /// Connections closed for malformed input, or for a message that was not complete in time.
    closed_unreadable,
    /// Connections closed because expected input did not arrive in time.
    closed_silent,
    /// Connections closed because everything that they were opened for was sent.
    closed_finished,
    /// Connections closed by this program because another one replaces them or their peer was replaced.
    closed_replaced,
    /// Connections ended by a caught panic.
    closed_fault,
    /// Client connections closed for malformed input.
    malformed,
    /// Log lines about clients that were suppressed because there were too many in one second.
    unlogged,
    /// Messages from workers or the discovery stream that could not be parsed.
    unreadable,
    /// Panics caught at a connection.
    panics,
    /// Datagrams of the distribution dropped as malformed, of another version or of another domain.
    distribution_dropped,
    /// Changes submitted for publication that were not published, or are not known to have been.
    unpublished,
    /// VRRP advertisements dropped as malformed.
    vrrp_dropped,
    /// Datagrams of the fleet dropped as malformed, of another version or of another fleet.
    fleet_dropped,
    /// Configurations loaded at SIGHUP.
    conf_loaded,
    /// Configurations rejected at SIGHUP.
    conf_invalid,
}

impl Counters {
    /// Counts a final answer under its class.
    pub fn final_answer(&mut self, class: &str, verdict: &Verdict) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.to_owned(), ClassOutcomes::default());
        }
        if let Some(outcomes) = self.classes.get_mut(class) {
            match verdict {
                Verdict::Served(_) => outcomes.answered += 1,
                Verdict::Refused { .. } => outcomes.deferred += 1,
                Verdict::Failed => outcomes.errored += 1,
            }
        }
    }

    /// Counts the end of a connection.
    pub fn close(&mut self, cause: CloseCause) {
        let counter = match cause {
            CloseCause::Ended => &mut self.closed_ended,
            CloseCause::Broken => &mut self.closed_broken,
            CloseCause::NotConnected => &mut self.closed_not_connected,
            CloseCause::Idle => &mut self.closed_idle,
            CloseCause::MadeRoom => &mut self.closed_made_room,
            CloseCause::Clogged => &mut self.closed_clogged,
            CloseCause::Unreadable => &mut self.closed_unreadable,
            CloseCause::Silent => &mut self.closed_silent,
            CloseCause::Finished => &mut self.closed_finished,
            CloseCause::Replaced => &mut self.closed_replaced,
            CloseCause::Fault => &mut self.closed_fault,
        };
        *counter += 1;
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self, status: Status) {
        let counter = match status {
            Status::Ok => &mut self.ok,
            Status::Error => &mut self.error,
            Status::Full => &mut self.full,
            Status::Timeout => &mut self.timeout,
            Status::ConnectFailed => &mut self.connect_failed,
            Status::Reset => &mut self.reset,
            Status::Cancelled => &mut self.cancelled,
            Status::NotSent => &mut self.moot,
            Status::Miss => &mut self.miss,
        };
        *counter += 1;
    }
}
