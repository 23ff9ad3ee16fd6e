//! A connection to a worker.
//!
//! The rule on when an attempt may be repeated needs to know how far each attempt had got when its connection broke. A
//! [`WorkerConnection`] therefore writes one command at a time, and only after the one before has been written
//! completely. Right before the first byte of a command, it asks the core whether the command may still be sent.

use super::Pool;
use super::codec::{Codec, ParseError, WorkerReply};
use crate::interface::{Duration, Timestamp};
use crate::net::{BufferLimits, Connection, Context, ControlFlow, Link};
use crate::request::{
    AttemptId, AttemptProgress, Broken, CloseCause, Fenced, Job, LoadId, LoadResult, ProbeId, Reply,
};
use crate::settings::Site;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Longest line accepted from a worker. It leaves ample room for a body of 230,000 bytes in base64.
pub const MAX_LINE_BYTES: usize = 512 << 10;
/// Buffer limits of a connection to a worker: one line of input, and 4 MiB of commands as output.
pub const BUFFER_LIMITS: BufferLimits = BufferLimits { input: MAX_LINE_BYTES, output: 4 << 20 };
/// Most open and queued commands on one connection.
const MAX_OPEN_COMMANDS: usize = 4096;
/// How long the ID of an ended attempt stays reserved on its connection, because a late answer may still arrive.
/// Clients may withdraw hundreds of requests, so the number of reserved IDs is limited as well.
const ENDED_RID_RETENTION: Duration = Duration::millis(10_000);
/// Most IDs of ended attempts that stay reserved on one connection, unless the pool sets a lower limit.
pub(super) const MAX_ENDED_RIDS: usize = 1024;
/// A request whose line has not been written completely after this time is withdrawn. The line carries the time that
/// was left when it was made, which may exceed the actual time left by 150 ms at most.
const WRITE_TIMEOUT: Duration = Duration::millis(100);
/// Time within which a worker's line must arrive completely, extended by [`LINE_TIMEOUT_PER_KIB`]. A line without an
/// end would absorb the start of the next answer on its connection.
const LINE_TIMEOUT: Duration = Duration::millis(300);
/// Extension of [`LINE_TIMEOUT`] for each KiB of the line received so far.
const LINE_TIMEOUT_PER_KIB: Duration = Duration::millis(1);

/// An open command, or the reserved ID of an ended attempt.
#[derive(Clone, Copy, Debug)]
enum OpenEntry {
    Attempt(AttemptId),
    Load(LoadId),
    Probe(ProbeId),
    /// An attempt that ended at this time, cancelled or not served. An answer that still arrives is ignored.
    Ended(Timestamp),
}

/// Limits that apply to each connection to a worker.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Most concurrent attempts on one connection.
    pub multiplex: usize,
    /// Most connections to one worker over which requests are spread.
    pub max_connections: usize,
    /// Time without open commands after which the scheduler closes a connection. It is shorter than the worker's own
    /// limit, so that no command crosses with the worker's close.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Derives the limits from a site's settings, for the daemon and for clients with an embedded scheduler alike.
    pub fn of(site: &Site) -> ConnectionLimits {
        // Shorter than the worker's own limit, so that no command crosses with the worker's close.
        let idle_timeout = site.idle_close.times(0.8);
        ConnectionLimits {
            multiplex: site.multiplex,
            max_connections: Pool::connections_per_scheduler(site.settings.fleet_size),
            idle_timeout,
        }
    }
}

/// A connection to a worker.
pub struct WorkerConnection {
    codec: Rc<dyn Codec>,
    limits: ConnectionLimits,
    /// Jobs that are not yet written, in order.
    pending: VecDeque<Job>,
    open: HashMap<String, OpenEntry>,
    /// The ID of each open attempt.
    rids: HashMap<AttemptId, String>,
    /// The command that is being written.
    writing: Option<OpenEntry>,
    /// When the line of the command being written was made.
    line_made_at: Timestamp,
    /// Number of open attempts.
    attempts: usize,
    /// Deadline for establishing the connection; `None` once it is established.
    connect_deadline: Option<Timestamp>,
    /// When the connection was established, or last received a job or an answer.
    last_used: Timestamp,
    /// Reserved IDs of ended attempts, oldest first.
    ended_rids: VecDeque<(Timestamp, String)>,
    max_ended_rids: usize,
    /// The outstanding probe and the time at which it fails.
    probe_deadline: Option<(Timestamp, ProbeId)>,
    /// When the first byte of the incomplete input line was read.
    line_started: Option<Timestamp>,
    /// Bytes of the input already searched for a line feed.
    searched_bytes: usize,
    /// A probe was not answered and nothing has been received since. A connection through a network partition stays
    /// established without traffic, and recovers slowly afterwards. New work takes a new connection, whose refusal
    /// proves that nothing ran.
    unresponsive: bool,
    /// A command was written in part and the rest discarded: answers are still read, but nothing more is written.
    write_aborted: bool,
}

impl WorkerConnection {
    /// A connection that is being established and fails if it isn't by `connect_deadline`.
    pub fn new(
        codec: Rc<dyn Codec>,
        limits: ConnectionLimits,
        connect_deadline: Timestamp,
    ) -> WorkerConnection {
        WorkerConnection {
            codec,
            limits,
            pending: VecDeque::new(),
            open: HashMap::new(),
            rids: HashMap::new(),
            writing: None,
            line_made_at: Timestamp(0),
            attempts: 0,
            connect_deadline: Some(connect_deadline),
            last_used: connect_deadline,
            ended_rids: VecDeque::new(),
            max_ended_rids: MAX_ENDED_RIDS,
            probe_deadline: None,
            line_started: None,
            searched_bytes: 0,
            unresponsive: false,
            write_aborted: false,
        }
    }

    /// Limits the IDs of ended attempts that stay reserved.
    pub fn limit_ended_rids(&mut self, max_ended_rids: usize) {
        self.max_ended_rids = max_ended_rids;
    }

    fn load_rid(load: LoadId) -> String {
        format!("load-{}{}", load.number, Fenced::suffix(load.lease))
    }

    fn probe_rid(probe: ProbeId) -> String {
        format!("probe-{}{}", probe.number, Fenced::suffix(probe.lease))
    }

    /// Writes queued commands one after another, each after the one before has been written completely, up to the next
    /// attempt. Attempts are written by [`Connection::write_next_attempt`].
    fn write_commands(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.write_pending(false, link, context)
    }

    /// Writes queued commands; at most one attempt, and only if `attempt_allowed`.
    fn write_pending(
        &mut self,
        mut attempt_allowed: bool,
        link: &mut Link,
        context: &mut Context,
    ) -> ControlFlow {
        if self.write_aborted {
            return self.drop_all(context);
        }
        while link.is_connected() && link.unwritten_bytes() == 0 {
            if let Some(OpenEntry::Attempt(attempt)) = self.writing.take() {
                context.core.written(context.now, attempt);
            }
            if matches!(self.pending.front(), Some(Job::Send { .. })) && !std::mem::take(&mut attempt_allowed)
            {
                break;
            }
            let Some(job) = self.pending.pop_front() else { break };
            match job {
                Job::Send { attempt, work, deadline } => {
                    if !context.core.may_write(context.now, attempt) {
                        self.drop_attempt(attempt, context);
                        continue;
                    }
                    link.enqueue(&self.codec.go(&work, context.now, deadline));
                    (self.writing, self.line_made_at) = (Some(OpenEntry::Attempt(attempt)), context.now);
                }
                Job::Cancel { attempt } => {
                    if let Some(rid) = self.rids.remove(&attempt) {
                        link.enqueue(&self.codec.halt(&rid));
                    }
                }
                Job::Load { load, function, instances } => {
                    if !context.core.may_write_load(context.clock.now(), load) {
                        self.drop_load(load, context);
                        continue;
                    }
                    link.enqueue(&self.codec.stage(&Self::load_rid(load), function, instances));
                    self.writing = Some(OpenEntry::Load(load));
                }
                Job::Probe { probe, .. } => {
                    if !context.core.may_write_probe(context.clock.now(), probe) {
                        self.drop_probe(probe, context);
                        continue;
                    }
                    link.enqueue(&self.codec.probe(&Self::probe_rid(probe)));
                }
                Job::Unload { function } => link.enqueue(&self.codec.purge(function)),
            }
            match link.flush() {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => return ControlFlow::Close,
            }
        }
        ControlFlow::Continue
    }

    /// Drops an attempt that is not sent for a reason on this side.
    fn drop_attempt(&mut self, attempt: AttemptId, context: &mut Context) {
        if let Some(rid) = self.rids.remove(&attempt) {
            self.attempts -= 1;
            self.open.remove(&rid);
            context.core.attempt_not_sent(context.now, attempt);
        }
    }

    fn drop_load(&mut self, load: LoadId, context: &mut Context) {
        self.open.remove(&Self::load_rid(load));
        context.core.load_not_sent(context.now, load);
    }

    fn drop_probe(&mut self, probe: ProbeId, context: &mut Context) {
        self.open.remove(&Self::probe_rid(probe));
        self.probe_deadline = self.probe_deadline.filter(|(_, waited)| *waited != probe);
        context.core.probe_not_sent(context.now, probe);
    }

    /// Drops all queued commands, as nothing can be written here any more. The connection closes once no answer is
    /// outstanding.
    fn drop_all(&mut self, context: &mut Context) -> ControlFlow {
        while let Some(job) = self.pending.pop_front() {
            match job {
                Job::Send { attempt, .. } => self.drop_attempt(attempt, context),
                Job::Load { load, .. } => self.drop_load(load, context),
                Job::Probe { probe, .. } => self.drop_probe(probe, context),
                Job::Cancel { .. } | Job::Unload { .. } => {}
            }
        }
        if self.idle_since().is_some() { ControlFlow::Close } else { ControlFlow::Continue }
    }

    fn handle_line(&mut self, line: &[u8], context: &mut Context) -> ControlFlow {
        self.unresponsive = false;
        let (rid, reply, instances) = match self.codec.read(line) {
            Ok(WorkerReply::Alive { rid, report }) => {
                if let Some(OpenEntry::Probe(probe)) = self.open.get(&rid) {
                    let probe = *probe;
                    self.open.remove(&rid);
                    self.probe_deadline = None;
                    context.core.probe_ended(context.now, probe, Ok(report));
                }
                return ControlFlow::Continue;
            }
            Ok(WorkerReply::Answer { rid, reply, instances }) => (rid, Ok(reply), instances),
            Err(ParseError { rid, cause }) => {
                context.core.counters().unreadable += 1;
                if let Some(OpenEntry::Attempt(attempt)) = rid.as_ref().and_then(|rid| self.open.remove(rid))
                {
                    self.attempts -= 1;
                    self.rids.remove(&attempt);
                    let broken = Broken { progress: AttemptProgress::Answered, cause };
                    context.core.attempt_ended(context.now, attempt, Err(broken));
                }
                // The line boundaries are no longer certain, so the connection is of no more use, and whatever is open
                // on it would only wait for its deadline.
                return ControlFlow::Close;
            }
        };
        // An answer with an ID that is not open, or no longer, is ignored.
        match self.open.remove(&rid) {
            Some(OpenEntry::Attempt(attempt)) => {
                self.attempts -= 1;
                self.rids.remove(&attempt);
                // A retry must take another connection: a second answer to this attempt, which may still arrive,
                // would be taken for the retry's.
                if !matches!(reply, Ok(Reply::Ok(_))) {
                    self.reserve_rid(rid, context.now);
                }
                context.core.attempt_ended(context.now, attempt, reply);
            }
            Some(OpenEntry::Load(load)) => {
                let result = reply
                    .map(|reply| LoadResult { status: reply.status(), instances: instances.unwrap_or(0) });
                context.core.load_ended(context.now, load, result);
            }
            // An answer other than `alive`.
            Some(OpenEntry::Probe(probe)) => {
                self.probe_deadline = None;
                let broken = Broken { progress: AttemptProgress::Answered, cause: "not alive" };
                context.core.probe_ended(context.now, probe, Err(broken));
            }
            Some(OpenEntry::Ended(_)) | None => {}
        }
        self.last_used = context.now;
        ControlFlow::Continue
    }

    /// The attempt that is still in the output buffer, in whole or in part.
    fn unwritten_attempt(&self, link: &Link) -> Option<AttemptId> {
        match self.writing {
            Some(OpenEntry::Attempt(attempt)) if link.unwritten_bytes() > 0 => Some(attempt),
            _ => None,
        }
    }

    /// Time by which the request that is being written must be written completely.
    fn write_deadline(&self) -> Option<Timestamp> {
        matches!(self.writing, Some(OpenEntry::Attempt(_))).then_some(self.line_made_at + WRITE_TIMEOUT)
    }

    /// Discards the unwritten part of the request that is being written. The request cannot have run, because a worker
    /// ignores a line without an end.
    fn abort_write(&mut self, attempt: AttemptId, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.writing = None;
        self.write_aborted = !link.discard_output();
        if let Some(rid) = self.rids.remove(&attempt) {
            self.attempts -= 1;
            self.open.remove(&rid);
            let progress =
                if self.write_aborted { AttemptProgress::PartlyWritten } else { AttemptProgress::NotSent };
            let broken = Broken { progress, cause: "the worker does not read" };
            context.core.attempt_ended(context.now, attempt, Err(broken));
        }
        self.write_commands(link, context)
    }

    /// Time by which the incomplete input line must end.
    fn line_deadline(&self) -> Option<Timestamp> {
        Some(
            self.line_started?
                + Duration(LINE_TIMEOUT.0 + LINE_TIMEOUT_PER_KIB.0 * (self.searched_bytes as u64 >> 10)),
        )
    }

    /// Reserves the ID of an ended attempt on this connection, because an answer to it may still arrive.
    fn reserve_rid(&mut self, rid: String, now: Timestamp) {
        self.open.insert(rid.clone(), OpenEntry::Ended(now));
        self.ended_rids.push_back((now, rid));
        self.drop_ended_rids(now);
    }

    fn drop_ended_rids(&mut self, now: Timestamp) {
        let excess = self.ended_rids.len().saturating_sub(self.max_ended_rids);
        let mut expired =
            self.ended_rids.iter().position(|(at, _)| *at + ENDED_RID_RETENTION >= now).unwrap_or(usize::MAX);
        expired = expired.min(self.ended_rids.len()).max(excess);
        for _ in 0..expired {
            let Some((at, _)) = self.ended_rids.front() else { return };
            let at = *at;
            let Some((_, rid)) = self.ended_rids.pop_front() else { return };
            if matches!(self.open.get(&rid), Some(OpenEntry::Ended(since)) if *since == at) {
                self.open.remove(&rid);
            }
        }
    }
}

impl Connection for WorkerConnection {
    fn kind(&self) -> &'static str {
        "worker"
    }

    fn opened(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.connect_deadline = None;
        self.last_used = context.now;
        context.core.counters().opened += 1;
        self.write_commands(link, context)
    }

    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        // A long line arrives in many parts, and what has been searched for a line feed is not searched again.
        let (mut from, mut searched_bytes) = (0, self.searched_bytes.min(link.input.len()));
        while let Some(end) = link.input[searched_bytes..].iter().position(|b| *b == b'\n') {
            let line = link.input[from..searched_bytes + end].to_vec();
            from = searched_bytes + end + 1;
            searched_bytes = from;
            if self.handle_line(&line, context) == ControlFlow::Close {
                link.set_close_cause(CloseCause::Unreadable);
                return ControlFlow::Close;
            }
        }
        link.consume(from);
        if link.input.len() > MAX_LINE_BYTES {
            link.set_close_cause(CloseCause::Unreadable);
        }
        if link.input.len() > MAX_LINE_BYTES || link.peer_closed {
            return ControlFlow::Close;
        }
        self.searched_bytes = link.input.len();
        self.line_started = if link.input.is_empty() {
            None
        } else {
            // What follows a complete line has only just started to arrive.
            self.line_started.filter(|_| from == 0).or(Some(context.now))
        };
        self.write_commands(link, context)
    }

    fn flushed(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.write_commands(link, context)
    }

    /// Checks again whether the command may be sent, as much may have changed since it was queued.
    fn before_first_byte(&mut self, link: &mut Link, context: &mut Context) {
        match self.writing {
            Some(OpenEntry::Attempt(attempt)) if !context.core.may_write(context.now, attempt) => {
                link.discard_output();
                self.writing = None;
                self.drop_attempt(attempt, context);
            }
            Some(OpenEntry::Load(load)) if !context.core.load_still_allowed(context.now, load) => {
                link.discard_output();
                self.writing = None;
                self.drop_load(load, context);
            }
            _ => {}
        }
    }

    fn on_timeout(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.drop_ended_rids(context.now);
        if self.write_deadline().is_some_and(|by| by <= context.now) {
            let flow = match self.unwritten_attempt(link) {
                Some(attempt) => self.abort_write(attempt, link, context),
                None => self.write_commands(link, context),
            };
            if flow == ControlFlow::Close {
                return flow;
            }
        }
        if let Some((_, probe)) = self.probe_deadline.take_if(|(by, _)| *by <= context.now) {
            self.unresponsive = true;
            self.open.remove(&Self::probe_rid(probe));
            let broken = Broken { progress: AttemptProgress::Out, cause: "no answer" };
            context.core.probe_ended(context.now, probe, Err(broken));
        }
        let late = self.connect_deadline.into_iter().chain(self.line_deadline()).any(|by| by <= context.now);
        let idle = self.idle_since().is_some_and(|since| since + self.limits.idle_timeout <= context.now);
        if late || idle {
            let connected = self.connect_deadline.is_none();
            let cause = if late { CloseCause::Unreadable } else { CloseCause::Idle };
            link.set_close_cause(if connected { cause } else { CloseCause::NotConnected });
        }
        if late || idle { ControlFlow::Close } else { ControlFlow::Continue }
    }

    fn deadline(&self) -> Option<Timestamp> {
        let idle = self.idle_since().map(|since| since + self.limits.idle_timeout);
        let ended = self.ended_rids.front().map(|(at, _)| *at + ENDED_RID_RETENTION + Duration(1));
        let probe = self.probe_deadline.map(|(by, _)| by);
        let due = self.connect_deadline.into_iter().chain(probe).chain(self.line_deadline());
        due.chain(idle).chain(ended).chain(self.write_deadline()).min()
    }

    fn closed(&mut self, link: &Link, context: &mut Context) {
        let connected = self.connect_deadline.is_none();
        let waiting: Vec<(bool, OpenEntry)> = self
            .pending
            .drain(..)
            .filter_map(|job| match job {
                Job::Send { attempt, .. } => Some((false, OpenEntry::Attempt(attempt))),
                Job::Load { load, .. } => Some((false, OpenEntry::Load(load))),
                Job::Probe { probe, .. } => Some((false, OpenEntry::Probe(probe))),
                Job::Cancel { .. } | Job::Unload { .. } => None,
            })
            .collect();
        let interrupted = self.writing.take();
        let mut ends: Vec<(OpenEntry, AttemptProgress)> =
            waiting.iter().map(|(_, open)| (*open, AttemptProgress::NotSent)).collect();
        let same = |a: &OpenEntry, b: &OpenEntry| match (a, b) {
            (OpenEntry::Attempt(a), OpenEntry::Attempt(b)) => a == b,
            (OpenEntry::Load(a), OpenEntry::Load(b)) => a == b,
            (OpenEntry::Probe(a), OpenEntry::Probe(b)) => a == b,
            _ => false,
        };
        for open in self.open.values() {
            if waiting.iter().any(|(_, other)| same(open, other)) || matches!(open, OpenEntry::Ended(_)) {
                continue;
            }
            // Part of the line never left the output buffer: without its end, the worker cannot have run it.
            let partly_written = interrupted.as_ref().is_some_and(|interrupted| same(interrupted, open))
                && link.unwritten_bytes() > 0;
            ends.push((
                *open,
                if partly_written { AttemptProgress::PartlyWritten } else { AttemptProgress::Out },
            ));
        }
        let cause = if connected { "connection closed" } else { "connect failed" };
        for (open, progress) in ends {
            let broken = Broken { progress, cause };
            match open {
                OpenEntry::Attempt(attempt) => context.core.attempt_ended(context.now, attempt, Err(broken)),
                OpenEntry::Load(load) => context.core.load_ended(context.now, load, Err(broken)),
                OpenEntry::Probe(probe) => context.core.probe_ended(context.now, probe, Err(broken)),
                OpenEntry::Ended(_) => {}
            }
        }
    }

    fn submit_job(&mut self, job: Job, link: &mut Link, context: &mut Context) -> ControlFlow {
        match &job {
            Job::Send { attempt, work, .. } => {
                self.attempts += 1;
                self.open.insert(work.reference.clone(), OpenEntry::Attempt(*attempt));
                self.rids.insert(*attempt, work.reference.clone());
            }
            Job::Load { load, .. } => {
                self.open.insert(Self::load_rid(*load), OpenEntry::Load(*load));
            }
            Job::Cancel { attempt } => {
                let Some(rid) = self.rids.get(attempt).cloned() else { return ControlFlow::Continue };
                self.attempts -= 1;
                // Still queued here: neither the attempt nor its cancellation is sent.
                let waits = |job: &Job| matches!(job, Job::Send { attempt: a, .. } if a == attempt);
                if let Some(position) = self.pending.iter().position(waits) {
                    self.pending.remove(position);
                    self.open.remove(&rid);
                    self.rids.remove(attempt);
                    return ControlFlow::Continue;
                }
                // In the output buffer and not written completely: it must not start, as no client waits for it.
                if self.unwritten_attempt(link) == Some(*attempt) {
                    self.writing = None;
                    self.open.remove(&rid);
                    self.rids.remove(attempt);
                    self.write_aborted = !link.discard_output();
                    return self.write_commands(link, context);
                }
                self.reserve_rid(rid, context.now);
            }
            Job::Probe { probe, deadline } => {
                self.open.insert(Self::probe_rid(*probe), OpenEntry::Probe(*probe));
                self.probe_deadline = Some((*deadline, *probe));
            }
            Job::Unload { .. } => {}
        }
        self.last_used = context.now;
        self.pending.push_back(job);
        self.write_commands(link, context)
    }

    fn can_accept(&self, reference: Option<&str>) -> bool {
        let free = reference.is_none_or(|rid| !self.open.contains_key(rid));
        free && !self.unresponsive
            && !self.write_aborted
            && self.attempts < self.limits.multiplex
            && self.open.len() - self.ended_rids.len().min(self.open.len()) + self.pending.len()
                < MAX_OPEN_COMMANDS
    }

    fn next_attempt(&self, link: &Link) -> Option<AttemptId> {
        match self.pending.front() {
            Some(Job::Send { attempt, .. }) if link.is_connected() && link.unwritten_bytes() == 0 => {
                Some(*attempt)
            }
            _ => None,
        }
    }

    fn write_next_attempt(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.write_pending(true, link, context)
    }

    fn open_requests(&self) -> usize {
        self.attempts
    }

    fn has_attempt(&self, attempt: AttemptId) -> bool {
        self.rids.contains_key(&attempt)
    }

    fn idle_since(&self) -> Option<Timestamp> {
        let used = self.open.values().any(|open| !matches!(open, OpenEntry::Ended(_)));
        let idle =
            self.connect_deadline.is_none() && self.pending.is_empty() && self.writing.is_none() && !used;
        idle.then_some(self.last_used)
    }
}

#[cfg(test)]
mod wire_tests;
