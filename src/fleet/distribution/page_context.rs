//! The context in which a child applies a page, and the outcome.

use super::interface::{ChangeCheck, DistributionOutput};
use super::log::Log;
use super::record::{Change, Topic};
use super::status::DistributionCounters;
use std::collections::BTreeSet;

/// The outcome of applying a page.
#[derive(Debug, PartialEq, Eq)]
pub enum PageOutcome {
    /// Nothing was installed.
    Nothing,
    /// A version was installed; the records of these topics have changed, if any.
    Changed(BTreeSet<Topic>),
    /// The log was replaced.
    Replaced,
}

/// The context in which a page is applied.
pub struct PageContext<'a> {
    /// The committed records.
    pub log: &'a mut Log,
    /// Validates changes before they are installed; `None` if they are only forwarded.
    pub check: Option<&'a dyn ChangeCheck>,
    /// Counters to update.
    pub counters: &'a mut DistributionCounters,
    /// Receives the outputs.
    pub out: &'a mut Vec<DistributionOutput>,
}

impl PageOutcome {
    /// Combines the outcome with that of another installed version, which came from a snapshot or with these changes.
    pub fn and_installed(self, snapshot: bool, changes: &[Change]) -> PageOutcome {
        if snapshot {
            return PageOutcome::Replaced;
        }
        let topics = changes.iter().map(|change| change.topic);
        match self {
            PageOutcome::Replaced => PageOutcome::Replaced,
            PageOutcome::Changed(before) => PageOutcome::Changed(topics.chain(before).collect()),
            PageOutcome::Nothing => PageOutcome::Changed(topics.collect()),
        }
    }
}
