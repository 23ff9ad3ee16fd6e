//! Numbering of leases: one for each part of each task.

use crate::fleet::lease::LeaseId;
use crate::interface::{Shares, Task};

/// The lease of [`Task::Publish`], which has a single part.
pub(super) const PUBLISH_LEASE: LeaseId = lease_of(Task::Publish, 0);

/// One part of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TaskPart {
    pub task: Task,
    pub part: u16,
}

/// The lease of a task's part.
pub(super) const fn lease_of(task: Task, part: u16) -> LeaseId {
    LeaseId(task as u16 * Shares::MAX_PARTS + part)
}

/// The part of a task that a lease stands for; `None` if the number belongs to no task.
pub(super) fn task_part_of(lease: LeaseId) -> Option<TaskPart> {
    let task = *Task::ALL.get(usize::from(lease.0 / Shares::MAX_PARTS))?;
    Some(TaskPart { task, part: lease.0 % Shares::MAX_PARTS })
}
