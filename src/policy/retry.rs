//! Whether a request that may have run may be sent again, by its class's [`Effect`].

use super::requests::SentTo;
use crate::interface::*;

/// Returns whether a request may be sent again, given when its first attempt that may have run was sent.
pub fn may_repeat(effect: Effect, first_sent_at: Timestamp, now: Timestamp) -> bool {
    match effect {
        Effect::Safe => true,
        Effect::Keyed { window, .. } => now + DEDUP_WINDOW_MARGIN < first_sent_at + window,
        Effect::Unsafe => false,
    }
}

/// Returns whether a worker is in the group that drops repeats of a request that may have run, if its class
/// needs that.
pub fn is_in_group(effect: Effect, first_run: SentTo, member: &Member) -> bool {
    match effect {
        Effect::Keyed { group: Group::Zone, .. } => member.zone == first_run.zone,
        Effect::Keyed { group: Group::Cell, .. } => member.cell == first_run.cell,
        _ => true,
    }
}

/// Returns whether the window is over in which workers drop repeats of a keyed request.
pub fn is_window_over(effect: Effect, first_run: Option<SentTo>, now: Timestamp) -> bool {
    match (first_run, effect) {
        (Some(first_run), Effect::Keyed { window, .. }) => now + DEDUP_WINDOW_MARGIN >= first_run.at + window,
        _ => false,
    }
}

/// Returns whether the client may safely retry a request that is refused.
pub fn may_client_retry(effect: Effect, may_have_run: bool) -> bool {
    match effect {
        Effect::Safe => true,
        Effect::Keyed { group, .. } => !may_have_run || group == Group::All,
        Effect::Unsafe => !may_have_run,
    }
}
