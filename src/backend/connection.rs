//! A connection to a worker.
//!
//! A [`WorkerConnection`] keeps the rule on repeats honest: it writes one command at a time and only once
//! the one before has gone to the system whole, so that for every attempt it knows how far it had come when
//! the connection broke; and it asks the core right before the first byte whether the command may still go.

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

/// Longest line taken from a worker: a body of 230,000 bytes in base64 with room to spare.
pub const MAX_LINE_BYTES: usize = 512 << 10;
/// Buffers of a connection to a worker: a line, and 4 MiB of commands that wait.
pub const BUFFER_LIMITS: BufferLimits = BufferLimits { input: MAX_LINE_BYTES, output: 4 << 20 };
/// Open commands, with those that wait, on one connection.
const QUEUE: usize = 4096;
/// For how long the name of an attempt that is over is kept from use on its connection: a late answer may still come.
/// Clients may withdraw requests by hundreds, so that the names are bounded too.
const ENDED_NAME_LASTS: Duration = Duration::millis(10_000);
/// The most names of attempts that are over that are kept from use on one connection.
const MAX_ENDED_NAMES: usize = 1024;
/// A request whose line the system has not taken whole after this long is taken back: the time left that the line tells is
/// that of the moment it was made, and may be told 150 ms too long at most.
const STALL: Duration = Duration::millis(100);
/// A worker's line that has begun must have come whole within this time, and so much more for each KiB that has
/// come. One that stops short would swallow the start of every later answer on its connection.
const LINE_TIMEOUT: Duration = Duration::millis(300);
/// What each KiB of a line that has come adds to [`LINE_TIMEOUT`].
const LINE_TIMEOUT_PER_KIB: Duration = Duration::millis(1);

#[derive(Clone, Copy, Debug)]
enum Open {
    Attempt(AttemptId),
    Load(LoadId),
    Probe(ProbeId),
    /// Over at this time, given up or not served: an answer that still comes belongs to nobody.
    Shadow(Timestamp),
}

/// Figures that all connections to workers share.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Attempts at a time.
    pub multiplex: usize,
    /// Connections to one worker over which requests are spread, at most.
    pub spread: usize,
    /// Closed by us after so long without anything open: before the worker does, or a command could cross.
    pub idle: Duration,
}

impl ConnectionLimits {
    /// What a site's settings make of them, for the daemon and for clients with a scheduler inside alike.
    pub fn of(site: &Site) -> ConnectionLimits {
        // Closed before the worker's own limit, or a command could cross its close.
        let idle = site.idle_close.times(0.8);
        ConnectionLimits { multiplex: site.multiplex, spread: Pool::share(site.settings.fleet_size), idle }
    }
}

/// A connection to a worker.
pub struct WorkerConnection {
    codec: Rc<dyn Codec>,
    limits: ConnectionLimits,
    pending: VecDeque<Job>,
    open: HashMap<String, Open>,
    names: HashMap<AttemptId, String>,
    /// The command whose bytes are on their way to the system.
    writing: Option<Open>,
    /// When its line was made.
    written_at: Timestamp,
    attempts: usize,
    /// Until when the connection must be up.
    connect_by: Option<Timestamp>,
    idle_since: Timestamp,
    shadows: VecDeque<(Timestamp, String)>,
    /// When the probe that is out here has failed.
    probe_by: Option<(Timestamp, ProbeId)>,
    /// When the line that has begun did so, and how much of it holds no end.
    begun: Option<Timestamp>,
    searched: usize,
    /// A probe got no answer and nothing has come since. A connection through a cut stays up and silent, and
    /// goes on slowly when the cut ends: new work takes a new one, whose refusal proves that nothing ran.
    silent: bool,
    /// Half a command has gone out and the rest never will: answers are still read, and nothing more is written.
    cut: bool,
}

impl WorkerConnection {
    /// A connection that is coming up and has failed if it is not up by then.
    pub fn new(codec: Rc<dyn Codec>, limits: ConnectionLimits, connect_by: Timestamp) -> WorkerConnection {
        WorkerConnection {
            codec,
            limits,
            pending: VecDeque::new(),
            open: HashMap::new(),
            names: HashMap::new(),
            writing: None,
            written_at: Timestamp(0),
            attempts: 0,
            connect_by: Some(connect_by),
            idle_since: connect_by,
            shadows: VecDeque::new(),
            probe_by: None,
            begun: None,
            searched: 0,
            silent: false,
            cut: false,
        }
    }

    fn load_name(load: LoadId) -> String {
        format!("load-{}{}", load.number, Fenced::suffix(load.lease))
    }

    fn probe_name(probe: ProbeId) -> String {
        format!("probe-{}{}", probe.number, Fenced::suffix(probe.lease))
    }

    /// Writes commands one after another, each once the one before has gone whole, up to the next attempt: that one is
    /// written by [`Connection::write_next_attempt`].
    fn pump(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.write(false, link, context)
    }

    fn write(&mut self, mut attempt_too: bool, link: &mut Link, context: &mut Context) -> ControlFlow {
        if self.cut {
            return self.drop_all(context);
        }
        while link.is_connected() && link.unwritten_bytes() == 0 {
            if let Some(Open::Attempt(attempt)) = self.writing.take() {
                context.core.written(context.now, attempt);
            }
            if matches!(self.pending.front(), Some(Job::Send { .. })) && !std::mem::take(&mut attempt_too) {
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
                    (self.writing, self.written_at) = (Some(Open::Attempt(attempt)), context.now);
                }
                Job::Cancel { attempt } => {
                    if let Some(name) = self.names.remove(&attempt) {
                        link.enqueue(&self.codec.halt(&name));
                    }
                }
                Job::Load { load, function, instances } => {
                    if !context.core.may_write_load(context.clock.now(), load) {
                        self.drop_load(load, context);
                        continue;
                    }
                    link.enqueue(&self.codec.stage(&Self::load_name(load), function, instances));
                    self.writing = Some(Open::Load(load));
                }
                Job::Probe { probe, .. } => {
                    if !context.core.may_write_probe(context.clock.now(), probe) {
                        self.drop_probe(probe, context);
                        continue;
                    }
                    link.enqueue(&self.codec.probe(&Self::probe_name(probe)));
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

    /// An attempt that does not go out, for a reason of our own.
    fn drop_attempt(&mut self, attempt: AttemptId, context: &mut Context) {
        if let Some(name) = self.names.remove(&attempt) {
            self.attempts -= 1;
            self.open.remove(&name);
            context.core.attempt_not_sent(context.now, attempt);
        }
    }

    fn drop_load(&mut self, load: LoadId, context: &mut Context) {
        self.open.remove(&Self::load_name(load));
        context.core.load_not_sent(context.now, load);
    }

    fn drop_probe(&mut self, probe: ProbeId, context: &mut Context) {
        self.open.remove(&Self::probe_name(probe));
        self.probe_by = self.probe_by.filter(|(_, waited)| *waited != probe);
        context.core.probe_not_sent(context.now, probe);
    }

    /// Nothing can be written here any more: what is in line goes elsewhere, and the connection ends once no answer
    /// is waited for.
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

    fn line(&mut self, line: &[u8], context: &mut Context) -> ControlFlow {
        self.silent = false;
        let (rid, reply, instances) = match self.codec.read(line) {
            Ok(WorkerReply::Alive { rid, report }) => {
                if let Some(Open::Probe(probe)) = self.open.get(&rid) {
                    let probe = *probe;
                    self.open.remove(&rid);
                    self.probe_by = None;
                    context.core.probe_ended(context.now, probe, Ok(report));
                }
                return ControlFlow::Continue;
            }
            Ok(WorkerReply::Answer { rid, reply, instances }) => (rid, Ok(reply), instances),
            Err(ParseError { rid, cause }) => {
                context.core.counters().unreadable += 1;
                if let Some(Open::Attempt(attempt)) = rid.as_ref().and_then(|rid| self.open.remove(rid)) {
                    self.attempts -= 1;
                    self.names.remove(&attempt);
                    let broken = Broken { progress: AttemptProgress::Answered, cause };
                    context.core.attempt_ended(context.now, attempt, Err(broken));
                }
                // Where a line ends and the next begins is no longer sure: nothing more comes of use on this
                // connection, and whatever is open on it would wait in vain until its deadline.
                return ControlFlow::Close;
            }
        };
        // A name that is not open belongs to nobody (any more); a worker may say what it likes.
        match self.open.remove(&rid) {
            Some(Open::Attempt(attempt)) => {
                self.attempts -= 1;
                self.names.remove(&attempt);
                // Sent again, the request goes by another connection: a second answer to this one, which may still come,
                // would pass for the other's.
                if !matches!(reply, Ok(Reply::Ok(_))) {
                    self.shadow(rid, context.now);
                }
                context.core.attempt_ended(context.now, attempt, reply);
            }
            Some(Open::Load(load)) => {
                let standing = reply
                    .map(|reply| LoadResult { status: reply.status(), instances: instances.unwrap_or(0) });
                context.core.load_ended(context.now, load, standing);
            }
            // An answer, but not that it lives.
            Some(Open::Probe(probe)) => {
                self.probe_by = None;
                let broken = Broken { progress: AttemptProgress::Answered, cause: "not alive" };
                context.core.probe_ended(context.now, probe, Err(broken));
            }
            Some(Open::Shadow(_)) | None => {}
        }
        self.idle_since = context.now;
        ControlFlow::Continue
    }

    /// The attempt of which a part, or all, still waits in the output buffer.
    fn unsent_attempt(&self, link: &Link) -> Option<AttemptId> {
        match self.writing {
            Some(Open::Attempt(attempt)) if link.unwritten_bytes() > 0 => Some(attempt),
            _ => None,
        }
    }

    /// Until when the request that is being written must have gone whole.
    fn stalled_by(&self) -> Option<Timestamp> {
        matches!(self.writing, Some(Open::Attempt(_))).then_some(self.written_at + STALL)
    }

    /// Takes back the request that is being written, as far as it has not gone. It cannot have run: a line without an end is no
    /// command.
    fn take_back(&mut self, attempt: AttemptId, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.writing = None;
        self.cut = !link.discard_output();
        if let Some(name) = self.names.remove(&attempt) {
            self.attempts -= 1;
            self.open.remove(&name);
            let progress = if self.cut { AttemptProgress::PartlyWritten } else { AttemptProgress::NotSent };
            let broken = Broken { progress, cause: "the worker reads nothing" };
            context.core.attempt_ended(context.now, attempt, Err(broken));
        }
        self.pump(link, context)
    }

    /// Until when the line that has begun must have ended.
    fn line_by(&self) -> Option<Timestamp> {
        Some(self.begun? + Duration(LINE_TIMEOUT.0 + LINE_TIMEOUT_PER_KIB.0 * (self.searched as u64 >> 10)))
    }

    /// Keeps the name of an attempt that is over from use here: an answer to it may still come.
    fn shadow(&mut self, name: String, now: Timestamp) {
        self.open.insert(name.clone(), Open::Shadow(now));
        self.shadows.push_back((now, name));
        self.drop_shadows(now);
    }

    fn drop_shadows(&mut self, now: Timestamp) {
        let many = self.shadows.len().saturating_sub(MAX_ENDED_NAMES);
        let mut gone =
            self.shadows.iter().position(|(at, _)| *at + ENDED_NAME_LASTS >= now).unwrap_or(usize::MAX);
        gone = gone.min(self.shadows.len()).max(many);
        for _ in 0..gone {
            let Some((at, _)) = self.shadows.front() else { return };
            let at = *at;
            let Some((_, rid)) = self.shadows.pop_front() else { return };
            if matches!(self.open.get(&rid), Some(Open::Shadow(since)) if *since == at) {
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
        self.connect_by = None;
        self.idle_since = context.now;
        context.core.counters().opened += 1;
        self.pump(link, context)
    }

    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        // A long line comes in many pieces; what has been searched is not searched again.
        let (mut from, mut searched) = (0, self.searched.min(link.input.len()));
        while let Some(end) = link.input[searched..].iter().position(|b| *b == b'\n') {
            let line = link.input[from..searched + end].to_vec();
            from = searched + end + 1;
            searched = from;
            if self.line(&line, context) == ControlFlow::Close {
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
        self.searched = link.input.len();
        self.begun = if link.input.is_empty() {
            None
        } else {
            // What is left after a complete line has only just begun.
            self.begun.filter(|_| from == 0).or(Some(context.now))
        };
        self.pump(link, context)
    }

    fn flushed(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.pump(link, context)
    }

    /// Much may have changed since the command was put in line, so the gates are asked once more.
    fn before_first_byte(&mut self, link: &mut Link, context: &mut Context) {
        match self.writing {
            Some(Open::Attempt(attempt)) if !context.core.may_write(context.now, attempt) => {
                link.discard_output();
                self.writing = None;
                self.drop_attempt(attempt, context);
            }
            Some(Open::Load(load)) if !context.core.load_still_allowed(context.now, load) => {
                link.discard_output();
                self.writing = None;
                self.drop_load(load, context);
            }
            _ => {}
        }
    }

    fn on_timeout(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.drop_shadows(context.now);
        if self.stalled_by().is_some_and(|by| by <= context.now) {
            let flow = match self.unsent_attempt(link) {
                Some(attempt) => self.take_back(attempt, link, context),
                None => self.pump(link, context),
            };
            if flow == ControlFlow::Close {
                return flow;
            }
        }
        if let Some((_, probe)) = self.probe_by.take_if(|(by, _)| *by <= context.now) {
            self.silent = true;
            self.open.remove(&Self::probe_name(probe));
            let broken = Broken { progress: AttemptProgress::Out, cause: "no answer" };
            context.core.probe_ended(context.now, probe, Err(broken));
        }
        let late = self.connect_by.into_iter().chain(self.line_by()).any(|by| by <= context.now);
        let idle = self.idle_since().is_some_and(|since| since + self.limits.idle <= context.now);
        if late || idle {
            let up = self.connect_by.is_none();
            let in_time = if late { CloseCause::Unreadable } else { CloseCause::Idle };
            link.set_close_cause(if up { in_time } else { CloseCause::NotConnected });
        }
        if late || idle { ControlFlow::Close } else { ControlFlow::Continue }
    }

    fn deadline(&self) -> Option<Timestamp> {
        let idle = self.idle_since().map(|since| since + self.limits.idle);
        let shadow = self.shadows.front().map(|(at, _)| *at + ENDED_NAME_LASTS + Duration(1));
        let probe = self.probe_by.map(|(by, _)| by);
        let due = self.connect_by.into_iter().chain(probe).chain(self.line_by());
        due.chain(idle).chain(shadow).chain(self.stalled_by()).min()
    }

    fn closed(&mut self, link: &Link, context: &mut Context) {
        let up = self.connect_by.is_none();
        let waiting: Vec<(bool, Open)> = self
            .pending
            .drain(..)
            .filter_map(|job| match job {
                Job::Send { attempt, .. } => Some((false, Open::Attempt(attempt))),
                Job::Load { load, .. } => Some((false, Open::Load(load))),
                Job::Probe { probe, .. } => Some((false, Open::Probe(probe))),
                Job::Cancel { .. } | Job::Unload { .. } => None,
            })
            .collect();
        let half = self.writing.take();
        let mut ends: Vec<(Open, AttemptProgress)> =
            waiting.iter().map(|(_, open)| (*open, AttemptProgress::NotSent)).collect();
        let is = |a: &Open, b: &Open| match (a, b) {
            (Open::Attempt(a), Open::Attempt(b)) => a == b,
            (Open::Load(a), Open::Load(b)) => a == b,
            (Open::Probe(a), Open::Probe(b)) => a == b,
            _ => false,
        };
        for open in self.open.values() {
            if waiting.iter().any(|(_, other)| is(open, other)) || matches!(open, Open::Shadow(_)) {
                continue;
            }
            // Bytes that never left our buffer: the line at the worker has no end, so it cannot have run.
            let partly = half.as_ref().is_some_and(|half| is(half, open)) && link.unwritten_bytes() > 0;
            ends.push((*open, if partly { AttemptProgress::PartlyWritten } else { AttemptProgress::Out }));
        }
        let cause = if up { "connection ended" } else { "no connection" };
        for (open, progress) in ends {
            let broken = Broken { progress, cause };
            match open {
                Open::Attempt(attempt) => context.core.attempt_ended(context.now, attempt, Err(broken)),
                Open::Load(load) => context.core.load_ended(context.now, load, Err(broken)),
                Open::Probe(probe) => context.core.probe_ended(context.now, probe, Err(broken)),
                Open::Shadow(_) => {}
            }
        }
    }

    fn submit_job(&mut self, job: Job, link: &mut Link, context: &mut Context) -> ControlFlow {
        match &job {
            Job::Send { attempt, work, .. } => {
                self.attempts += 1;
                self.open.insert(work.reference.clone(), Open::Attempt(*attempt));
                self.names.insert(*attempt, work.reference.clone());
            }
            Job::Load { load, .. } => {
                self.open.insert(Self::load_name(*load), Open::Load(*load));
            }
            Job::Cancel { attempt } => {
                let Some(name) = self.names.get(attempt).cloned() else { return ControlFlow::Continue };
                self.attempts -= 1;
                // Still in line here: it never goes out, and neither does the word to stop it.
                let waits = |job: &Job| matches!(job, Job::Send { attempt: a, .. } if a == attempt);
                if let Some(place) = self.pending.iter().position(waits) {
                    self.pending.remove(place);
                    self.open.remove(&name);
                    self.names.remove(attempt);
                    return ControlFlow::Continue;
                }
                // In the output buffer, and not gone whole: what nobody waits for does not begin any more.
                if self.unsent_attempt(link) == Some(*attempt) {
                    self.writing = None;
                    self.open.remove(&name);
                    self.names.remove(attempt);
                    self.cut = !link.discard_output();
                    return self.pump(link, context);
                }
                self.shadow(name, context.now);
            }
            Job::Probe { probe, deadline } => {
                self.open.insert(Self::probe_name(*probe), Open::Probe(*probe));
                self.probe_by = Some((*deadline, *probe));
            }
            Job::Unload { .. } => {}
        }
        self.idle_since = context.now;
        self.pending.push_back(job);
        self.pump(link, context)
    }

    fn can_accept(&self, reference: Option<&str>) -> bool {
        let free = reference.is_none_or(|name| !self.open.contains_key(name));
        free && !self.silent
            && !self.cut
            && self.attempts < self.limits.multiplex
            && self.open.len() - self.shadows.len().min(self.open.len()) + self.pending.len() < QUEUE
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
        self.write(true, link, context)
    }

    fn open_requests(&self) -> usize {
        self.attempts
    }

    fn idle_since(&self) -> Option<Timestamp> {
        let used = self.open.values().any(|open| !matches!(open, Open::Shadow(_)));
        let idle = self.connect_by.is_none() && self.pending.is_empty() && self.writing.is_none() && !used;
        idle.then_some(self.idle_since)
    }
}

#[cfg(test)]
mod wire_tests;
