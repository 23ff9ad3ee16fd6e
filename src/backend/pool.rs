//! The pool of connections to workers.

use super::connection::MAX_ENDED_RIDS;
use super::{Codec, ConnectionLimits, Job, WorkerConnection};
use crate::core::{Command, Core};
use crate::interface::{Duration, Timestamp, WorkerId};
use crate::net::Reactor;
use crate::request::AttemptId;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Most connections to one worker, including those being established.
const MAX_CONNECTIONS_PER_WORKER: usize = 16;
/// Connections over which all schedulers together spread their requests to one worker. Each costs the worker a
/// handshake and a slot: a hundred schedulers that opened a second connection for requests that coincided cost a
/// quarter more than with one each.
const FLEET_CONNECTIONS_PER_WORKER: usize = 48;
/// Requests on one connection from which another is opened, as long as descriptors are available. One answer that
/// cannot be decoded, or one reset, fails everything that is open on its connection.
const REQUESTS_PER_CONNECTION: usize = 1;

/// IDs of ended attempts that may stay reserved on all connections together.
const MAX_TOTAL_ENDED_RIDS: usize = 1 << 16;
/// The same on each connection, however many connections there may be.
const MIN_ENDED_RIDS: usize = 128;
/// Entries of attempts below which none is dropped.
const MIN_FORGOTTEN_ATTEMPTS: usize = 8192;

/// How long attempts are written before the event loop polls again. What is read from the client of each attempt may bring
/// further attempts, so that writing them may never come to an end.
const MAX_WRITE_TIME: Duration = Duration::millis(20);

/// The time in which attempts are written in one turn of the event loop; it begins with the first one.
#[derive(Default)]
pub struct WritePeriod {
    end: Option<Timestamp>,
}

impl WritePeriod {
    /// Whether the event loop is to poll before it writes the next attempt.
    pub fn is_over(&mut self, reactor: &Reactor) -> bool {
        let end = *self.end.get_or_insert_with(|| reactor.after(MAX_WRITE_TIME));
        reactor.now() >= end
    }
}

/// The address at which a worker listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// A worker over TCP.
    Tcp(SocketAddr),
    /// A checker on a Unix socket.
    Unix(PathBuf),
}

/// A worker's address, the start time of its process, and the connections to it.
#[derive(Default)]
struct PooledWorker {
    endpoint: Option<Endpoint>,
    started: Option<Timestamp>,
    connections: Vec<u64>,
}

/// The addresses of the workers and the connections to them.
pub struct Pool {
    workers: BTreeMap<WorkerId, PooledWorker>,
    /// The connection on which each open attempt was queued. Entries of attempts that have ended are dropped later.
    attempt_connections: HashMap<AttemptId, u64>,
    /// Number of these entries from which those of ended attempts are dropped.
    forget_attempts_at: usize,
    json_lines: Rc<dyn Codec>,
    json_rpc: Rc<dyn Codec>,
    limits: ConnectionLimits,
    connect_timeout: Duration,
    /// Descriptors for the reactor's connections. Once they are in use, a new connection requires closing an idle one.
    max_descriptors: usize,
    /// Number of connections per worker up to which a new one is opened rather than one shared.
    target_connections: usize,
}

impl Pool {
    /// Creates a pool without workers.
    pub fn new(limits: ConnectionLimits, connect_timeout: Duration, max_descriptors: usize) -> Pool {
        Pool {
            workers: BTreeMap::new(),
            attempt_connections: HashMap::new(),
            forget_attempts_at: MIN_FORGOTTEN_ATTEMPTS,
            json_lines: Rc::new(super::json_lines::JsonLinesCodec),
            json_rpc: Rc::new(super::jsonrpc::CheckerCodec),
            limits,
            connect_timeout,
            max_descriptors,
            target_connections: 1,
        }
    }

    /// Most connections to one worker over which each of `fleet_size` schedulers spreads its requests.
    pub(super) fn connections_per_scheduler(fleet_size: u32) -> usize {
        (FLEET_CONNECTIONS_PER_WORKER / fleet_size.max(1) as usize).clamp(1, MAX_CONNECTIONS_PER_WORKER)
    }

    /// Descriptors for connections to workers; clients may hold a third of all.
    fn worker_descriptors(max_descriptors: usize) -> usize {
        max_descriptors * 2 / 3
    }

    /// IDs of ended attempts that may stay reserved on each connection.
    fn ended_rids_per_connection(max_descriptors: usize) -> usize {
        let connections = Pool::worker_descriptors(max_descriptors).max(1);
        (MAX_TOTAL_ENDED_RIDS / connections).clamp(MIN_ENDED_RIDS, MAX_ENDED_RIDS)
    }

    /// Sets new limits. Existing connections keep those with which they were opened.
    pub fn configure(&mut self, limits: ConnectionLimits, connect_timeout: Duration, max_descriptors: usize) {
        (self.limits, self.connect_timeout, self.max_descriptors) =
            (limits, connect_timeout, max_descriptors);
    }

    /// Sets a worker's address from the worker list. A worker with a new address or start time is a new process:
    /// commands that are open on the old one's connections end by themselves, and nothing new is sent on them.
    pub fn set_endpoint(&mut self, worker: WorkerId, endpoint: Endpoint, started: Option<Timestamp>) {
        let pooled = self.workers.entry(worker).or_default();
        if pooled.endpoint.as_ref() != Some(&endpoint) || pooled.started != started {
            *pooled = PooledWorker { endpoint: Some(endpoint), started, connections: vec![] };
        }
    }

    /// A worker's TCP address.
    pub fn address(&self, worker: WorkerId) -> Option<SocketAddr> {
        match self.workers.get(&worker)?.endpoint.as_ref()? {
            Endpoint::Tcp(address) => Some(*address),
            Endpoint::Unix(_) => None,
        }
    }

    /// Removes a worker that has left the worker list.
    pub fn remove(&mut self, worker: WorkerId) {
        self.workers.remove(&worker);
    }

    /// Removes all workers for which `listed` is false.
    pub fn retain(&mut self, listed: impl Fn(WorkerId) -> bool) {
        self.workers.retain(|worker, _| listed(*worker));
    }

    /// Executes a command of the core that concerns a worker.
    pub fn execute(&mut self, command: Command, reactor: &mut Reactor, core: &mut Core) {
        match command {
            Command::Send { attempt, worker, work, deadline } => {
                let connection = self.connection_to(worker, Some(&work.reference), reactor, core);
                let Some(connection) = connection else {
                    return core.attempt_not_sent(reactor.now(), attempt);
                };
                self.forget_ended_attempts(reactor);
                self.attempt_connections.insert(attempt, connection);
                submit_job(connection, Job::Send { attempt, work, deadline }, reactor, core);
            }
            Command::Cancel { attempt, .. } => {
                if let Some(connection) = self.attempt_connections.remove(&attempt) {
                    submit_job(connection, Job::Cancel { attempt }, reactor, core);
                }
            }
            Command::Load { load, worker, function, instances } => {
                match self.connection_to(worker, None, reactor, core) {
                    Some(connection) => {
                        submit_job(connection, Job::Load { load, function, instances }, reactor, core);
                    }
                    None => core.load_not_sent(reactor.now(), load),
                }
            }
            Command::Probe { probe, worker, deadline } => {
                match self.connection_to(worker, None, reactor, core) {
                    Some(connection) => submit_job(connection, Job::Probe { probe, deadline }, reactor, core),
                    None => core.probe_not_sent(reactor.now(), probe),
                }
            }
            Command::Unload { worker, function } => {
                if let Some(connection) = self.connection_to(worker, None, reactor, core) {
                    submit_job(connection, Job::Unload { function }, reactor, core);
                }
            }
            // A restarted process gets new connections, whose refusal proves that nothing ran.
            Command::Renew { worker } => {
                if let Some(pooled) = self.workers.get_mut(&worker) {
                    pooled.connections.clear();
                }
            }
            Command::Answer { .. }
            | Command::Chain { .. }
            | Command::PublishCordon { .. }
            | Command::PublishHealth { .. } => {}
        }
    }

    /// Writes the attempt at the head of a connection's queue; false if there is none. Its client's connection is read
    /// first, because unread input may hold the client's close or cancellation, however late the event loop is.
    pub fn write_next_attempt(&mut self, reactor: &mut Reactor, core: &mut Core) -> bool {
        let Some((connection, attempt)) = reactor.next_attempt() else { return false };
        if let Some(owner) = core.owner(attempt)
            && !reactor.hear_client(owner.connection, core)
        {
            core.reject_unheard(reactor.now(), attempt);
        }
        reactor.with_connection(connection, core, |target, link, context| {
            target.write_next_attempt(link, context)
        });
        true
    }

    /// A connection to the worker on which this ID is not in use, otherwise a new one. Two open attempts of one request
    /// must not share a connection, because their answers could not be told apart.
    fn connection_to(
        &mut self,
        worker: WorkerId,
        name: Option<&str>,
        reactor: &mut Reactor,
        core: &mut Core,
    ) -> Option<u64> {
        // The descriptors of workers are shared equally by them.
        self.target_connections = (Pool::worker_descriptors(self.max_descriptors)
            / self.workers.len().max(1))
        .clamp(1, self.limits.max_connections);
        let pooled = self.workers.get_mut(&worker)?;
        pooled.connections.retain(|id| reactor.inspect(*id, |_| ()).is_some());
        let load = |id: &u64| {
            let load = reactor
                .inspect(*id, |connection| connection.can_accept(name).then(|| connection.open_requests()));
            load.flatten().map(|load| (load, *id))
        };
        let least_loaded = pooled.connections.iter().filter_map(load).min();
        // Load commands and probes share existing connections.
        let free = least_loaded.filter(|(load, _)| name.is_none() || *load < REQUESTS_PER_CONNECTION);
        let may_open = pooled.connections.len() < self.target_connections;
        if let Some((_, id)) =
            free.or(least_loaded.filter(|_| !may_open || reactor.count() >= self.max_descriptors))
        {
            return Some(id);
        }
        if pooled.connections.len() >= MAX_CONNECTIONS_PER_WORKER
            || reactor.count() >= self.max_descriptors && !reactor.close_longest_idle(core)
        {
            return None;
        }
        let (stream, codec) = match pooled.endpoint.as_ref()? {
            Endpoint::Tcp(address) => (reactor.connect(*address), &self.json_lines),
            Endpoint::Unix(path) => (reactor.connect_unix(path), &self.json_rpc),
        };
        let connect_deadline = reactor.after(self.connect_timeout);
        let mut connection = WorkerConnection::new(codec.clone(), self.limits, connect_deadline);
        connection.limit_ended_rids(Pool::ended_rids_per_connection(self.max_descriptors));
        let id = reactor.add(stream.ok()?, Box::new(connection), false, super::BUFFER_LIMITS, core)?;
        pooled.connections.push(id);
        Some(id)
    }

    /// Drops the entries of ended attempts, whenever the entries have doubled since the last time.
    fn forget_ended_attempts(&mut self, reactor: &Reactor) {
        if self.attempt_connections.len() < self.forget_attempts_at {
            return;
        }
        let is_open = |attempt: &AttemptId, id: u64| {
            reactor.inspect(id, |connection| connection.has_attempt(*attempt)).unwrap_or(false)
        };
        self.attempt_connections.retain(|attempt, id| is_open(attempt, *id));
        self.forget_attempts_at = (2 * self.attempt_connections.len()).max(MIN_FORGOTTEN_ATTEMPTS);
    }
}

fn submit_job(connection: u64, job: Job, reactor: &mut Reactor, core: &mut Core) {
    reactor.with_connection(connection, core, |target, link, context| target.submit_job(job, link, context));
}

#[cfg(test)]
mod tests;
