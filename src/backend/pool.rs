//! Which connections lead to which worker.

use super::{Codec, ConnectionLimits, Job, WorkerConnection};
use crate::core::{Command, Core};
use crate::interface::{Duration, Timestamp, WorkerId};
use crate::net::Reactor;
use crate::request::AttemptId;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Connections to one worker at a time, those coming up included.
const PER_WORKER: usize = 16;
/// Connections that all schedulers together spread their requests over at one worker. Each costs the worker a handshake
/// and a place: a hundred schedulers with two each for requests that met by chance took a quarter more than one each.
const ALL_AT_WORKER: usize = 48;
/// Requests on one connection from which another is opened, while descriptors last. One answer that cannot be
/// read, or one reset, takes everything with it that is open on its connection.
const SHARED: usize = 1;

/// Where a worker listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// A worker.
    Tcp(SocketAddr),
    /// A checker on a Unix socket.
    Unix(PathBuf),
}

#[derive(Default)]
struct PooledWorker {
    endpoint: Option<Endpoint>,
    started: Option<Timestamp>,
    connections: Vec<u64>,
}

/// The workers' addresses and connections.
pub struct Pool {
    workers: BTreeMap<WorkerId, PooledWorker>,
    /// The connection on which each open attempt went.
    went: HashMap<AttemptId, u64>,
    json_lines: Rc<dyn Codec>,
    json_rpc: Rc<dyn Codec>,
    limits: ConnectionLimits,
    connect_limit: Duration,
    /// Descriptors that connections to workers may take.
    budget: usize,
    /// Connections to one worker over which requests are spread.
    spread: usize,
}

impl Pool {
    /// A pool without workers.
    pub fn new(limits: ConnectionLimits, connect_limit: Duration, budget: usize) -> Pool {
        Pool {
            workers: BTreeMap::new(),
            went: HashMap::new(),
            json_lines: Rc::new(super::json_lines::JsonLinesCodec),
            json_rpc: Rc::new(super::jsonrpc::CheckerCodec),
            limits,
            connect_limit,
            budget,
            spread: 1,
        }
    }

    /// The most connections to one worker over which one of so many schedulers spreads its requests.
    pub(super) fn share(fleet: u32) -> usize {
        (ALL_AT_WORKER / fleet.max(1) as usize).clamp(1, PER_WORKER)
    }

    /// New limits. Connections that stand keep the ones they came up with.
    pub fn configure(&mut self, limits: ConnectionLimits, connect_limit: Duration, budget: usize) {
        (self.limits, self.connect_limit, self.budget) = (limits, connect_limit, budget);
    }

    /// The list says where a worker is. A new process has none of the old one's connections: what is open on
    /// them ends by itself, and nothing new goes out there.
    pub fn set_endpoint(&mut self, worker: WorkerId, endpoint: Endpoint, started: Option<Timestamp>) {
        let pooled = self.workers.entry(worker).or_default();
        if pooled.endpoint.as_ref() != Some(&endpoint) || pooled.started != started {
            *pooled = PooledWorker { endpoint: Some(endpoint), started, connections: vec![] };
        }
    }

    /// Where a worker is.
    pub fn address(&self, worker: WorkerId) -> Option<SocketAddr> {
        match self.workers.get(&worker)?.endpoint.as_ref()? {
            Endpoint::Tcp(address) => Some(*address),
            Endpoint::Unix(_) => None,
        }
    }

    /// The list says that a worker is gone.
    pub fn remove(&mut self, worker: WorkerId) {
        self.workers.remove(&worker);
    }

    /// Forgets all workers but these.
    pub fn retain(&mut self, listed: impl Fn(WorkerId) -> bool) {
        self.workers.retain(|worker, _| listed(*worker));
    }

    /// Carries out what the core wants of a worker.
    pub fn execute(&mut self, command: Command, reactor: &mut Reactor, core: &mut Core) {
        match command {
            Command::Send { attempt, worker, work, deadline } => {
                let connection = self.connection(worker, Some(&work.reference), reactor, core);
                let Some(connection) = connection else {
                    return core.attempt_not_sent(reactor.now(), attempt);
                };
                self.went.insert(attempt, connection);
                self.forget_ended(reactor);
                give(connection, Job::Send { attempt, work, deadline }, reactor, core);
            }
            Command::Cancel { attempt, .. } => {
                if let Some(connection) = self.went.remove(&attempt) {
                    give(connection, Job::Cancel { attempt }, reactor, core);
                }
            }
            Command::Load { load, worker, function, instances } => {
                match self.connection(worker, None, reactor, core) {
                    Some(connection) => {
                        give(connection, Job::Load { load, function, instances }, reactor, core);
                    }
                    None => core.load_not_sent(reactor.now(), load),
                }
            }
            Command::Probe { probe, worker, deadline } => {
                match self.connection(worker, None, reactor, core) {
                    Some(connection) => give(connection, Job::Probe { probe, deadline }, reactor, core),
                    None => core.probe_not_sent(reactor.now(), probe),
                }
            }
            Command::Unload { worker, function } => {
                if let Some(connection) = self.connection(worker, None, reactor, core) {
                    give(connection, Job::Unload { function }, reactor, core);
                }
            }
            // A process that came back is met on new connections, whose refusal proves that nothing ran.
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

    /// Writes an attempt that is next in line on a connection; false where there is none. Its client may have gone or
    /// called it off in what is still unread, however late this loop is, so that is read first.
    pub fn write_next_attempt(&mut self, reactor: &mut Reactor, core: &mut Core) -> bool {
        let Some((connection, attempt)) = reactor.next_attempt() else { return false };
        if let Some(owner) = core.owner(attempt) {
            reactor.catch_up(owner.connection, core);
        }
        reactor.with_connection(connection, core, |object, link, context| {
            object.write_next_attempt(link, context)
        });
        true
    }

    /// A connection to the worker on which this name is not open, else a new one. Two open attempts of one
    /// request must not share a connection: their answers would look alike.
    fn connection(
        &mut self,
        worker: WorkerId,
        name: Option<&str>,
        reactor: &mut Reactor,
        core: &mut Core,
    ) -> Option<u64> {
        // Clients may hold a third of the descriptors; what is left after them is for all workers alike.
        self.spread = (self.budget * 2 / 3 / self.workers.len().max(1)).clamp(1, self.limits.spread);
        let pooled = self.workers.get_mut(&worker)?;
        pooled.connections.retain(|id| reactor.inspect(*id, |_| ()).is_some());
        let load = |id: &u64| {
            let load = reactor
                .inspect(*id, |connection| connection.can_accept(name).then(|| connection.open_requests()));
            load.flatten().map(|load| (load, *id))
        };
        let least = pooled.connections.iter().filter_map(load).min();
        // Orders and probes share what there is.
        let free = least.filter(|(load, _)| name.is_none() || *load < SHARED);
        let spread = pooled.connections.len() < self.spread;
        if let Some((_, id)) = free.or(least.filter(|_| !spread || reactor.count() >= self.budget)) {
            return Some(id);
        }
        if pooled.connections.len() >= PER_WORKER
            || reactor.count() >= self.budget && !reactor.close_longest_idle(core)
        {
            return None;
        }
        let (stream, codec) = match pooled.endpoint.as_ref()? {
            Endpoint::Tcp(address) => (reactor.connect(*address), &self.json_lines),
            Endpoint::Unix(path) => (reactor.connect_unix(path), &self.json_rpc),
        };
        let by = reactor.after(self.connect_limit);
        let connection = Box::new(WorkerConnection::new(codec.clone(), self.limits, by));
        let id = reactor.add(stream.ok()?, connection, false, super::BUFFER_LIMITS, core)?;
        pooled.connections.push(id);
        Some(id)
    }

    /// Drops notes of attempts whose connections have gone or that are long over.
    fn forget_ended(&mut self, reactor: &Reactor) {
        if self.went.len() > 8192 {
            self.went.retain(|_, id| {
                reactor.inspect(*id, |connection| connection.idle_since().is_none()).unwrap_or(false)
            });
        }
    }
}

fn give(connection: u64, job: Job, reactor: &mut Reactor, core: &mut Core) {
    reactor.with_connection(connection, core, |object, link, context| object.submit_job(job, link, context));
}

#[cfg(test)]
mod tests;
