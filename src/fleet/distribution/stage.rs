//! Assembles the pages of a catch-up, which may arrive out of order or repeatedly, until they are complete.
//!
//! A stage of changes extends the installed version; a stage that starts at 0 is a snapshot, which builds a log of its
//! own that replaces the installed one. A stage takes effect only once it is complete and its digest matches the
//! parent's.

use super::log::Log;
use super::record::{Change, Key, Topic, Value, Version};
use super::wire::{Page, Progress};
use crate::interface::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Number of pages that a parent sends beyond the acknowledged ones; also the number of early pages that are buffered.
pub const WINDOW_PAGES: usize = 16;
/// Time without progress after which pages of a parent that starts over are accepted rather than treated as late pages:
/// longer than the time over which pages that were sent together arrive, and less than their resend timeout.
const RESTART_DELAY: Duration = Duration::millis(200);

/// The content received so far.
#[derive(Debug)]
enum Content {
    /// The last change of each record, with its sequence.
    Changes(BTreeMap<(Topic, Key), (u64, Option<Value>)>),
    /// All records.
    Snapshot(Box<Log>),
}

/// A version that is being received.
#[derive(Debug)]
pub struct Stage {
    content: Content,
    /// The sequence that it started from; 0 for a snapshot.
    start: u64,
    /// The lowest sequence of the parent's version among the pages that were applied.
    begun: u64,
    /// The sequence up to which pages were applied.
    position: u64,
    /// The parent's version in the last page that was applied.
    head: Version,
    since: u64,
    digest: u64,
    progressed_at: Timestamp,
    /// No page of the current parent was applied yet.
    new_parent: bool,
    /// The record that each sequence belongs to.
    keys_by_sequence: BTreeMap<u64, (Topic, Key)>,
    /// Two records had the same sequence, so pages of two histories were mixed.
    mixed_histories: bool,
}

/// A version that was received completely and can be installed.
#[derive(Debug)]
pub struct CompleteVersion {
    /// The version.
    pub head: Version,
    /// The changes relative to the installed version.
    pub changes: Vec<Change>,
    /// Whether the digest is the parent's and no pages of different histories were mixed.
    pub is_consistent: bool,
}

/// The stage in progress, and the pages that arrived before their turn.
#[derive(Debug, Default)]
pub struct Staging {
    stage: Option<Stage>,
    /// Pages that arrived early, by whether they belong to a snapshot and by the sequence that they follow.
    early: BTreeMap<(bool, u64), Page>,
}

impl Stage {
    fn new(now: Timestamp, start: u64) -> Stage {
        let content =
            if start == 0 { Content::Snapshot(Box::default()) } else { Content::Changes(BTreeMap::new()) };
        Stage {
            content,
            start,
            begun: u64::MAX,
            position: start,
            head: Version::default(),
            since: 0,
            digest: 0,
            progressed_at: now,
            new_parent: false,
            keys_by_sequence: BTreeMap::new(),
            mixed_histories: false,
        }
    }

    fn is_snapshot(&self) -> bool {
        self.start == 0
    }

    fn is_complete(&self) -> bool {
        self.head.sequence > 0 && self.position == self.head.sequence
    }

    /// Applies a page. Pages may overlap: the change of a record with the highest sequence wins.
    fn apply(&mut self, now: Timestamp, page: Page) {
        let sequences = page.sequences().unwrap_or_default();
        for (sequence, change) in sequences.into_iter().zip(page.changes) {
            self.note_sequence(sequence, &change);
            match &mut self.content {
                Content::Snapshot(log) => log.apply_if_newer(sequence, change),
                Content::Changes(changes) => {
                    let slot = changes.entry((change.topic, change.key)).or_default();
                    if slot.0 <= sequence {
                        *slot = (sequence, change.value);
                    }
                }
            }
        }
        self.position = page.upto;
        self.new_parent = false;
        self.begun = self.begun.min(page.head.sequence);
        self.head = page.head;
        self.since = page.since;
        self.digest = page.digest;
        self.progressed_at = now;
    }

    /// Records which record a sequence belongs to. Within one history, no two records share a sequence.
    fn note_sequence(&mut self, sequence: u64, change: &Change) {
        let other = |(topic, key): &(Topic, Key)| (*topic, key) != (change.topic, &change.key);
        self.mixed_histories |= self.keys_by_sequence.get(&sequence).is_some_and(other);
        self.keys_by_sequence.insert(sequence, (change.topic, change.key.clone()));
    }

    fn complete_version(&self, log: &Log) -> CompleteVersion {
        let (changes, digest) =
            match &self.content {
                Content::Snapshot(new) => (log.difference(new), new.digest()),
                Content::Changes(changes) => {
                    let change = |((topic, key), (_, value)): (&(Topic, Key), &(u64, Option<Value>))| {
                        Change { topic: *topic, key: key.clone(), value: value.clone() }
                    };
                    log.net_changes(changes.iter().map(change))
                }
            };
        CompleteVersion {
            head: self.head,
            changes,
            is_consistent: digest == self.digest && !self.mixed_histories,
        }
    }

    fn install(self, log: &mut Log) {
        match self.content {
            Content::Snapshot(mut new) => {
                new.finish_snapshot(self.head, self.since);
                *log = *new;
            }
            Content::Changes(changes) => {
                let sequenced = |((topic, key), (sequence, value))| (sequence, Change { topic, key, value });
                log.install(self.head, self.since, changes.into_iter().map(sequenced));
            }
        }
    }
}

impl Staging {
    /// The progress of the catch-up; `None` before its first page.
    pub fn progress(&self) -> Option<Progress> {
        let progressed = self.stage.as_ref().filter(|stage| stage.position > stage.start);
        progressed.map(|stage| Progress { start: stage.start, begun: stage.begun, upto: stage.position })
    }

    /// Whether a snapshot is being received.
    pub fn is_snapshot(&self) -> bool {
        self.stage.as_ref().is_some_and(Stage::is_snapshot)
    }

    /// Discards the stage and all early pages.
    pub fn clear(&mut self) {
        *self = Staging::default();
    }

    /// Continues the stage with another parent, which may start over at once.
    pub fn change_parent(&mut self, now: Timestamp) {
        self.early.clear();
        if let Some(stage) = &mut self.stage {
            stage.progressed_at = now;
            stage.new_parent = true;
        }
    }

    /// Adds a page of a version later than the installed one. Returns the number of pages that were applied, including
    /// buffered early pages.
    pub fn add_page(&mut self, now: Timestamp, own_sequence: u64, page: Page) -> u32 {
        self.select_stage(now, own_sequence, &page);
        let Some(stage) = &mut self.stage else { return 0 };
        let snapshot = page.start == 0;
        if page.head < stage.head {
            return 0;
        }
        if snapshot != stage.is_snapshot() || page.after > stage.position {
            self.buffer_early(snapshot, page);
            return 0;
        }
        let completes = page.upto == page.head.sequence && !stage.is_complete();
        if page.upto < stage.position || page.upto == stage.position && !completes {
            return 0;
        }
        stage.apply(now, page);
        1 + self.apply_early(now)
    }

    /// Selects the stage that a page belongs to. Starts a new one if there is none, or if the parent has started over.
    fn select_stage(&mut self, now: Timestamp, own_sequence: u64, page: &Page) {
        let snapshot = page.start == 0;
        // Changes cannot extend an empty log; a snapshot must come first.
        if !snapshot && own_sequence == 0 {
            return;
        }
        let start = if snapshot { 0 } else { own_sequence };
        let restart = match &self.stage {
            None => true,
            Some(stage) => {
                let stalled = now - stage.progressed_at >= RESTART_DELAY;
                // The stage cannot return to a version earlier than one of which a page was applied.
                if page.head < stage.head {
                    stalled
                } else {
                    let stalled = stalled || stage.new_parent;
                    match (stage.is_snapshot(), snapshot) {
                        (false, true) => true,
                        (true, false) => stalled && page.after <= own_sequence,
                        _ => stalled && page.after <= start && page.upto < stage.position,
                    }
                }
            }
        };
        if restart {
            self.stage = Some(Stage::new(now, start));
        }
    }

    fn buffer_early(&mut self, snapshot: bool, page: Page) {
        self.early.insert((snapshot, page.after), page);
        if self.early.len() > WINDOW_PAGES {
            self.early.pop_last();
        }
    }

    /// Applies buffered pages that follow now, up to the point where the stage is complete and has to be verified.
    fn apply_early(&mut self, now: Timestamp) -> u32 {
        let mut applied = 0;
        let Some(stage) = &mut self.stage else { return 0 };
        while !stage.is_complete() {
            let snapshot = stage.is_snapshot();
            let following = self.early.range((snapshot, 0)..=(snapshot, stage.position)).next_back();
            let Some(key) = following.map(|(key, _)| *key) else { break };
            let Some(page) = self.early.remove(&key) else { break };
            if page.upto > stage.position && page.head >= stage.head {
                stage.apply(now, page);
                applied += 1;
            }
        }
        applied
    }

    /// The received version, once it is complete.
    pub fn complete_version(&self, log: &Log) -> Option<CompleteVersion> {
        self.stage.as_ref().filter(|stage| stage.is_complete()).map(|stage| stage.complete_version(log))
    }

    /// Installs the stage. Returns the buffered early page that follows the installed version, if any.
    pub fn install(&mut self, log: &mut Log) -> Option<Page> {
        self.stage.take()?.install(log);
        let installed = log.version().sequence;
        self.early.retain(|(snapshot, _), page| !snapshot && page.upto > installed);
        let key = *self.early.range(..=(false, installed)).next_back()?.0;
        self.early.remove(&key)
    }
}
