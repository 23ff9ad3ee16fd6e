//! Running totals: requests accepted, attempts sent, answers given, connections and datagrams.

use super::figures::ClassOutcomes;
use crate::interface::Status;
use crate::request::{CloseCause, Verdict};
use std::collections::BTreeMap;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Running totals since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
            /// Final answers by the name of their class.
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
    /// Requests that came in whole.
    taken,
    /// Final answers 'served'.
    served,
    /// Final answers 'refused'.
    refused,
    /// Final answers 'failed'.
    failed,
    /// Requests rejected by their listener: too many open on the connection.
    turned_away_refused,
    /// Requests failed by their listener: fields that cannot be used.
    turned_away_failed,
    /// Requests rejected at once because the fleet had agreed to shed them.
    shed,
    /// Requests that the core had to fail because the policy had not ended them.
    overdue,
    /// Requests that their clients withdrew, or left by closing the connection.
    withdrawn,
    /// Chains that came in; each of their steps counts as a request too.
    chains,
    /// Chains of which all steps were served.
    chains_served,
    /// Chains that were stopped because the time that remained did not cover the next step and those after it.
    chains_stopped,
    /// Chains of which a step was rejected or failed.
    chains_failed,
    /// Requests rejected because too many are open, or their bodies take too much memory.
    refused_full,
    /// Requests rejected because this process ends.
    refused_ending,
    /// Requests rejected because their deadline had passed when they came.
    refused_late,
    /// Requests rejected because a new configuration has dropped their class.
    refused_class,
    /// Requests rejected by the policy: no attempt, or no retry, could be made in time.
    refused_unplaced,
    /// Attempts begun; each ends in one of the ways below, or is still open.
    attempts,
    /// Those of them that were not the first of their request.
    retries,
    /// Attempts written whole to a worker.
    sent,
    /// Attempts that ended well.
    ok,
    /// Attempts answered with an error.
    error,
    /// Attempts rejected by their worker unseen.
    full,
    /// Attempts that ran out of time.
    timeout,
    /// Attempts whose connection never came up, or that were never written whole.
    connect_failed,
    /// Attempts whose connection broke after they were written whole.
    reset,
    /// Attempts cancelled.
    cancelled,
    /// Attempts that were never sent, or were over before they ran.
    moot,
    /// Attempts that found the function missing.
    miss,
    /// Load requests begun, and ended.
    orders_begun,
    /// See above.
    orders_ended,
    /// Load requests that were written.
    orders,
    /// Load requests not sent, by the rate limit of loads, when they were about to be written.
    orders_rationed,
    /// Probes begun.
    probes,
    /// Those that were not answered in time.
    probes_unanswered,
    /// Those that a worker answered by taking no work.
    probes_rejected,
    /// Those that were not written: for all of the fleet, whose lease had ended, or for want of a connection.
    probes_held,
    /// Updates of the list of workers.
    list_events,
    /// Times that discovery went out of reach.
    discovery_lost,
    /// Times that the list could be out of date, so that workers were asked before they were sent anything.
    list_unconfirmed,
    /// Attempts rejected by their worker unseen while discovery was out of reach.
    full_unheard,
    /// Connections accepted from clients.
    accepted,
    /// Connections opened to workers.
    opened,
    /// Connections that the other side ended.
    closed_ended,
    /// Connections of which a read or write failed.
    closed_broken,
    /// Connections that never came up.
    closed_not_connected,
    /// Connections closed for being idle.
    closed_idle,
    /// Idle connections closed because their place was needed.
    closed_made_room,
    /// Connections closed because output that nobody read took too much memory.
    closed_clogged,
    /// Connections closed for what came, or did not come whole.
    closed_unreadable,
    /// Connections closed for silence.
    closed_silent,
    /// Connections closed because all that they were for was sent.
    closed_finished,
    /// Connections closed because another one replaces them.
    closed_replaced,
    /// Connections ended by a caught panic.
    closed_fault,
    /// Client connections closed for malformed input.
    malformed,
    /// Log lines about clients left out because too many came in one second.
    unlogged,
    /// Lines of workers or of the discovery stream that could not be read.
    unreadable,
    /// Panics caught at a connection.
    panics,
    /// Datagrams of the distribution dropped: malformed, or of another version or domain.
    distribution_dropped,
    /// Changes handed over to be published that were not, or not known to be.
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
        if let Some(ends) = self.classes.get_mut(class) {
            match verdict {
                Verdict::Served(_) => ends.answered += 1,
                Verdict::Refused { .. } => ends.deferred += 1,
                Verdict::Failed => ends.errored += 1,
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
