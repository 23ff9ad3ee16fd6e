//! Which connections lead to which worker.

use super::{Codec, Job, Limits, WorkerConnection};
use crate::core::{AttemptId, Broken, Command, Core, Reached};
use crate::interface::{Span, Time, WorkerId};
use crate::net::Reactor;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Connections to one worker at a time, those coming up included.
const PER_WORKER: usize = 16;

/// Where a worker listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// A node agent.
    Agent(SocketAddr),
    /// A checker on a Unix socket.
    Checker(PathBuf),
}

#[derive(Default)]
struct Target {
    endpoint: Option<Endpoint>,
    started: Option<Time>,
    connections: Vec<u64>,
}

/// The workers' addresses and connections.
pub struct Pool {
    targets: BTreeMap<WorkerId, Target>,
    /// The connection on which each open attempt went.
    went: HashMap<AttemptId, u64>,
    agent: Rc<dyn Codec>,
    checker: Rc<dyn Codec>,
    limits: Limits,
    connect_limit: Span,
    /// Descriptors that connections to workers may take.
    budget: usize,
}

impl Pool {
    /// A pool without workers.
    pub fn new(limits: Limits, connect_limit: Span, budget: usize) -> Pool {
        Pool {
            targets: BTreeMap::new(),
            went: HashMap::new(),
            agent: Rc::new(super::agent::AgentCodec),
            checker: Rc::new(super::jsonrpc::CheckerCodec),
            limits,
            connect_limit,
            budget,
        }
    }

    /// New limits. Connections that stand keep the ones they came up with.
    pub fn configure(&mut self, limits: Limits, connect_limit: Span, budget: usize) {
        (self.limits, self.connect_limit, self.budget) = (limits, connect_limit, budget);
    }

    /// The list says where a worker is. A new process has none of the old one's connections: what is open on
    /// them ends by itself, and nothing new goes out there.
    pub fn place(&mut self, worker: WorkerId, endpoint: Endpoint, started: Option<Time>) {
        let target = self.targets.entry(worker).or_default();
        if target.endpoint.as_ref() != Some(&endpoint) || target.started != started {
            *target = Target { endpoint: Some(endpoint), started, connections: vec![] };
        }
    }

    /// The list says that a worker is gone.
    pub fn remove(&mut self, worker: WorkerId) {
        self.targets.remove(&worker);
    }

    /// Forgets all workers but these.
    pub fn retain(&mut self, listed: impl Fn(WorkerId) -> bool) {
        self.targets.retain(|worker, _| listed(*worker));
    }

    /// Carries out what the core wants of a worker.
    pub fn command(&mut self, command: Command, reactor: &mut Reactor, core: &mut Core) {
        match command {
            Command::Send { attempt, worker, work, deadline } => {
                let connection = self.connection(worker, Some(&work.reference), reactor, core);
                let Some(connection) = connection else {
                    let broken = Broken { reached: Reached::NotSent, cause: "no connection" };
                    return core.attempt_ended(reactor.now(), attempt, Err(broken));
                };
                self.went.insert(attempt, connection);
                self.forget_ended(reactor);
                give(connection, Job::Go { attempt, work, deadline }, reactor, core);
            }
            Command::Halt { attempt, .. } => {
                if let Some(connection) = self.went.remove(&attempt) {
                    give(connection, Job::Halt { attempt }, reactor, core);
                }
            }
            Command::Stage { order, worker, function, copies } => {
                match self.connection(worker, None, reactor, core) {
                    Some(connection) => {
                        give(connection, Job::Stage { order, function, copies }, reactor, core)
                    }
                    None => {
                        let broken = Broken { reached: Reached::NotSent, cause: "no connection" };
                        core.order_ended(reactor.now(), order, Err(broken));
                    }
                }
            }
            Command::Probe { probe, worker, deadline } => {
                match self.connection(worker, None, reactor, core) {
                    Some(connection) => give(connection, Job::Probe { probe, deadline }, reactor, core),
                    None => {
                        let broken = Broken { reached: Reached::NotSent, cause: "no connection" };
                        core.probe_ended(reactor.now(), probe, Err(broken));
                    }
                }
            }
            Command::Purge { worker, function } => {
                if let Some(connection) = self.connection(worker, None, reactor, core) {
                    give(connection, Job::Purge { function }, reactor, core);
                }
            }
            Command::Answer { .. } => {}
        }
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
        let target = self.targets.get_mut(&worker)?;
        target.connections.retain(|id| reactor.look(*id, |_| ()).is_some());
        let usable = |id: &&u64| reactor.look(**id, |connection| connection.accepts(name)).unwrap_or(false);
        if let Some(id) = target.connections.iter().find(usable) {
            return Some(*id);
        }
        if target.connections.len() >= PER_WORKER
            || reactor.count() >= self.budget && !reactor.shed_idle(core)
        {
            return None;
        }
        let (stream, codec) = match target.endpoint.as_ref()? {
            Endpoint::Agent(address) => (reactor.connect(*address), &self.agent),
            Endpoint::Checker(path) => (reactor.connect_unix(path), &self.checker),
        };
        let by = reactor.after(self.connect_limit);
        let connection = Box::new(WorkerConnection::new(codec.clone(), self.limits, by));
        let id = reactor.add(stream.ok()?, connection, false, (super::LINE, 4 << 20), core)?;
        target.connections.push(id);
        Some(id)
    }

    /// Drops notes of attempts whose connections have gone or that are long over.
    fn forget_ended(&mut self, reactor: &Reactor) {
        if self.went.len() > 8192 {
            self.went.retain(|_, id| reactor.look(*id, |connection| !connection.idle()).unwrap_or(false));
        }
    }
}

fn give(connection: u64, job: Job, reactor: &mut Reactor, core: &mut Core) {
    reactor.with(connection, core, |object, link, hub| object.job(job, link, hub));
}
