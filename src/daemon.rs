//! The daemon: connects the core to its fronts, back ends, discovery, clock and signals.

mod accept;
mod discovery;
mod distribution;
mod fleet;
mod reload;
mod router;
mod shutdown;
mod upgrade;

use crate::backend::{self, Pool, WritePeriod};
use crate::config::{Config, Operator, Sources, Until};
use crate::core::{Command, Core};
use crate::discovery::ReceivedEvents;
use crate::fleet::gossip::{GossipTopic, GossipUpdate};
use crate::front::socket::{self, SocketFile};
use crate::handover;
use crate::interface::{Duration, ListKind, Member, Timestamp};
use crate::net::{Reactor, SystemClock, Wakeup, inherit, retry_while_transient};
use crate::start_times::StartTimes;
use crate::vrrp::Event;
use accept::PendingAccept;
use distribution::Distribution;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use reload::Reloads;
use router::Router;
use shutdown::ShutdownTimes;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::os::unix::net::UnixStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tracing::{error, info};
use upgrade::Upgrade;

/// Descriptors reserved for the poll, the listeners, the pipes, discovery and the standard streams.
const RESERVED_DESCRIPTORS: usize = 32;

/// The running process: the core, its sockets, and the parts that the operator's file turns on.
struct Daemon {
    sources: Sources,
    core: Core,
    reactor: Reactor,
    pool: Pool,
    config: Config,
    operator: Operator,
    /// The checkers: workers of the operator's file, which discovery does not list.
    checkers: Vec<Member>,
    received_events: Rc<RefCell<ReceivedEvents>>,
    /// When workers started.
    start_times: StartTimes,
    /// Whether the worker list of the configuration has been applied.
    known_list_applied: bool,
    /// Spreads out what the schedulers of a fleet must not all do at the same time.
    rng: Pcg64Mcg,
    next_discovery_attempt: Option<Timestamp>,
    /// The ID of the connection to discovery, while there is one.
    discovery_connection: Option<u64>,
    /// The clients' listener, and whether connections are accepted at it.
    listener: (usize, bool),
    /// Set if the platform passed on that listener, so that a newer process can take over from this one.
    upgrade: Option<Upgrade>,
    /// Offsets and checksums of the last discovery events, the newest one last.
    event_sums: VecDeque<(u64, u64)>,
    /// Listeners at which more connections may be waiting, and when to accept them; see `accept`.
    pending_accepts: BTreeMap<usize, PendingAccept>,
    /// The listener of the second address, and the connections accepted there, oldest first.
    mgmt: Option<usize>,
    operator_connections: VecDeque<u64>,
    /// The listener of the JSON-RPC front, and its socket file.
    rpc: Option<(usize, SocketFile)>,
    rpc_clients: BTreeSet<u64>,
    router: Option<Router>,
    fleet: Option<fleet::Member>,
    /// When to try again to bind the fleet's address, which the old process may still have.
    fleet_retry_at: Option<Timestamp>,
    distribution: Option<Distribution>,
    pipes: Pipes,
    /// The reloads that SIGHUP requests.
    reloads: Reloads,
    /// The times of the shutdown, once it has begun.
    shutdown: Option<ShutdownTimes>,
    /// Whether the connections have been asked to leave again, after `ShutdownTimes::reject_at`.
    notified_late_clients: bool,
}

/// The pipes that wake the loop to shut down, to log the counters, and to reload the files. A further pipe wakes it
/// when the files have been read.
struct Pipes {
    end: usize,
    print: usize,
    reload: usize,
}

/// The read ends of the signals' pipes: to shut down, to log the counters, and to reload the files.
struct Signals {
    end: UnixStream,
    print: UnixStream,
    reload: UnixStream,
}

impl Signals {
    fn new() -> io::Result<Signals> {
        let (end, print) = (signal_pipe(&[SIGTERM, SIGINT])?, signal_pipe(&[SIGUSR1])?);
        Ok(Signals { end, print, reload: signal_pipe(&[SIGHUP])? })
    }
}

/// Runs the daemon until a signal ends it.
///
/// # Errors
/// A file cannot be read or is invalid, an address cannot be bound, or a descriptor cannot be allocated; the text says
/// which.
pub fn start(sources: Sources) -> Result<(), String> {
    // Installed before the files are read: until then a signal ends the process.
    let signals = retry_while_transient(Signals::new).map_err(|e| format!("cannot serve: {e}"))?;
    let name = std::env::var("GW_NAME").unwrap_or_default();
    let (config, operator) = upgrade::read_config_or_saved(&sources, &name)?;
    let served = Daemon::new(config, operator, sources, signals).and_then(|mut daemon| daemon.serve());
    served.map_err(|e| format!("cannot serve: {e}"))
}

/// Opens the clients' listener at the configured address, or takes the one that the platform has passed on.
fn listen_for_clients(sources: &Sources, config: &mut Config, reactor: &mut Reactor) -> io::Result<usize> {
    let (listener, own) = match sources.listen_fd {
        None => retry_while_transient(|| reactor.listen(config.listen))?,
        Some(number) => {
            let with_descriptor = |e: io::Error| {
                io::Error::new(e.kind(), format!("GW_PASSED_SOCKET names descriptor {number}: {e}"))
            };
            reactor.listen_shared(
                retry_while_transient(|| inherit::listener(number)).map_err(with_descriptor)?,
            )?
        }
    };
    config.listen = own;
    Ok(listener)
}

/// Opens the listener of the second address, if the configuration names one.
fn listen_for_operators(config: &mut Config, reactor: &mut Reactor) -> io::Result<Option<usize>> {
    let Some(address) = &mut config.mgmt else { return Ok(None) };
    let (listener, own) = retry_while_transient(|| reactor.listen(*address))?;
    *address = own;
    Ok(Some(listener))
}

/// The parts that the operator's file turns on.
struct OperatorParts {
    rpc: Option<(usize, SocketFile)>,
    router: Option<Router>,
    fleet: Option<fleet::Member>,
    distribution: Option<Distribution>,
}

impl OperatorParts {
    /// Opens their sockets, in this order. At an upgrade the old process still has them; see `upgrade`.
    fn open(
        operator: &Operator,
        config: &Config,
        upgrading: bool,
        reactor: &mut Reactor,
    ) -> io::Result<OperatorParts> {
        let rpc = match operator.jsonrpc.as_ref().filter(|_| !upgrading) {
            None => None,
            Some(front) => {
                let (listener, file) = retry_while_transient(|| socket::bind(&front.socket, front.mode))?;
                Some((reactor.listen_unix(listener)?, file))
            }
        };
        let router = match operator.vrrp.as_ref().filter(|_| !upgrading) {
            None => None,
            Some(setting) => Some(retry_while_transient(|| Router::new(setting, reactor))?),
        };
        let fleet = match operator.fleet.as_ref().filter(|_| !upgrading) {
            None => None,
            Some(setting) => {
                let publishes = operator.publishes();
                Some(retry_while_transient(|| fleet::Member::new(setting, publishes, config, reactor))?)
            }
        };
        let mut distribution = operator.distribution.as_ref().map(|_| Distribution::new(config));
        if let (Some(distribution), Some(setting), false) =
            (&mut distribution, &operator.distribution, upgrading)
        {
            retry_while_transient(|| distribution.join(setting, config, reactor))?;
        }
        Ok(OperatorParts { rpc, router, fleet, distribution })
    }
}

impl Daemon {
    fn new(mut config: Config, operator: Operator, sources: Sources, signals: Signals) -> io::Result<Daemon> {
        let clock = match (&operator.fleet, &operator.distribution) {
            (None, None) => SystemClock::new(),
            _ => SystemClock::including_suspend(),
        };
        let mut reactor = retry_while_transient(|| Reactor::new(clock))?;
        let Signals { end, print, reload } = signals;
        let (reload_done, done) = retry_while_transient(UnixStream::pair)?;
        let pipes =
            Pipes { end: reactor.watch(end)?, print: reactor.watch(print)?, reload: reactor.watch(reload)? };
        reactor.watch(reload_done)?;
        let listener = listen_for_clients(&sources, &mut config, &mut reactor)?;
        let upgrade = sources.listen_fd.map(|_| Upgrade::new(&config.name));
        let mgmt = listen_for_operators(&mut config, &mut reactor)?;
        let OperatorParts { rpc, router, fleet, distribution } =
            OperatorParts::open(&operator, &config, upgrade.is_some(), &mut reactor)?;
        reactor.active = operator.vrrp.is_none();
        let mut core = Core::new(config.site.clone(), config.seed);
        core.chains_until_given_up(operator.chains.until == Until::GivenUp);
        limit_memory(&config, 1, &mut core, &mut reactor);
        let (limits, connect) = worker_limits(&config);
        let mut pool = Pool::new(limits, connect, descriptors(&config));
        let mut checkers = Vec::new();
        for (member, path) in operator.members(&config.site) {
            pool.set_endpoint(member.worker, backend::Endpoint::Unix(path), None);
            checkers.push(member);
        }
        let received_events =
            Rc::new(RefCell::new(ReceivedEvents { down: true, ..ReceivedEvents::default() }));
        let (next_discovery_attempt, seed) = (Some(reactor.now()), config.seed);
        Ok(Daemon {
            sources,
            core,
            reactor,
            pool,
            config,
            received_events,
            start_times: StartTimes::default(),
            known_list_applied: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            next_discovery_attempt,
            discovery_connection: None,
            operator,
            checkers,
            listener: (listener, upgrade.is_none()),
            upgrade,
            event_sums: VecDeque::new(),
            pending_accepts: BTreeMap::new(),
            mgmt,
            operator_connections: VecDeque::new(),
            rpc,
            rpc_clients: BTreeSet::new(),
            router,
            fleet,
            fleet_retry_at: None,
            distribution,
            pipes,
            reloads: Reloads::new(done),
            shutdown: None,
            notified_late_clients: false,
        })
    }

    fn serve(&mut self) -> io::Result<()> {
        self.set_list_source();
        self.apply_known_events();
        self.execute_commands();
        self.known_list_applied = true;
        match self.upgrade {
            None => self.begin_serving(),
            Some(_) => self.handle_handover(handover::HandoverInput::Started),
        }
        loop {
            let until = self.next_wakeup();
            for signal in self.reactor.poll_once(until, &mut self.core)? {
                self.handle_signal(signal);
            }
            self.run_timers();
            self.execute_commands();
            self.advance_shutdown();
            if let Some(why) = self.upgrade.as_ref().and_then(|upgrade| upgrade.failed) {
                return Err(io::Error::other(why));
            }
            if self.may_exit() && (self.reactor.last_poll_was_empty() || self.shutdown_overdue()) {
                self.log_counters();
                info!(name = %self.config.name, "ended");
                return Ok(());
            }
        }
    }

    /// Adds the checkers, and queues the events of the configuration as if they had just been received.
    fn apply_known_events(&mut self) {
        if !self.checkers.is_empty() {
            let now = self.reactor.now();
            self.core.members(now, ListKind::Full, self.checkers.clone());
        }
        for event in std::mem::take(&mut self.config.known_events) {
            let mut received = self.received_events.borrow_mut();
            received.offset = received.offset.max(event.offset);
            received.events.push_back(event);
        }
    }

    /// The earliest time at which a timer expires.
    fn next_wakeup(&mut self) -> Option<Timestamp> {
        let timeouts = [
            self.upgrade.as_ref().and_then(|upgrade| upgrade.machine.next_timeout()),
            self.router.as_ref().and_then(Router::next_timeout),
            self.core.next_timeout(),
            self.next_discovery_attempt,
            self.save_timeout(),
            self.endpoints_timeout(),
            self.fleet_timeout(),
            self.distribution_timeout(),
            // Polls once more before the process exits, for input that has arrived in the meantime.
            self.may_exit().then(|| self.reactor.now()),
            self.next_shutdown_step(),
        ];
        let accepts = self.pending_accepts.values().map(|pending| pending.due);
        timeouts.into_iter().flatten().chain(accepts).min()
    }

    fn handle_signal(&mut self, signal: Wakeup) {
        match signal {
            Wakeup::Client(listener) => self.accept(listener),
            Wakeup::Pipe(pipe) if pipe == self.pipes.end => self.begin_shutdown(),
            Wakeup::Pipe(pipe) if pipe == self.pipes.print => self.log_counters(),
            Wakeup::Pipe(pipe) if pipe == self.pipes.reload => self.reload(),
            Wakeup::Pipe(_) => self.finish_reload(),
            Wakeup::Datagram(socket) if self.is_fleet_socket(socket) => self.receive_fleet_datagrams(),
            Wakeup::Datagram(socket) if self.is_distribution_socket(socket) => {
                self.receive_distribution_datagrams();
            }
            Wakeup::Datagram(socket) => self.receive_vrrp_datagrams(socket),
        }
    }

    /// Runs the expired timers of all parts.
    fn run_timers(&mut self) {
        self.retry_accepts();
        self.retry_save_config();
        self.retry_take_endpoints();
        self.handle_vrrp(Event::Timer);
        self.retry_join_fleet();
        self.publish_demand();
        self.handle_fleet(crate::fleet::FleetInput::Timer);
        self.retry_join_distribution();
        self.handle_distribution(crate::fleet::distribution::DistributionInput::Timer);
        self.report_list_freshness();
        self.handle_handover(handover::HandoverInput::Timeout);
    }

    /// Reports this process as ready, and starts VRRP and the fleet.
    fn begin_serving(&mut self) {
        self.reactor.ready = true;
        self.handle_vrrp(Event::Startup);
        self.join_fleet();
        let (listen, mgmt, offset) =
            (self.config.listen, self.config.mgmt, self.received_events.borrow().offset);
        info!(name = %self.config.name, %listen, mgmt = mgmt.map(tracing::field::display), offset, "serving");
    }

    /// Applies discovery's events, executes the core's commands until none are left, and writes attempts.
    fn execute_commands(&mut self) {
        let now = self.reactor.now();
        self.advance_discovery(now);
        if self.core.next_timeout().is_some_and(|at| at <= now) {
            // A panic here belongs to no connection that could be closed. The requests it affects end at their
            // deadlines.
            let result = catch_unwind(AssertUnwindSafe(|| self.core.on_timeout(now)));
            if result.is_err() {
                self.core.counters().panics += 1;
                error!("panic timer");
            }
        }
        let mut period = WritePeriod::default();
        loop {
            let Some(command) = self.core.next_command() else {
                if period.is_over(&self.reactor)
                    || !self.pool.write_next_attempt(&mut self.reactor, &mut self.core)
                {
                    return;
                }
                continue;
            };
            match command {
                Command::Answer { owner, answer } => {
                    self.reactor.with_connection(
                        owner.connection,
                        &mut self.core,
                        |connection, link, context| connection.answer(owner.stream, &answer, link, context),
                    );
                }
                Command::Chain { owner, end } => {
                    self.reactor.with_connection(
                        owner.connection,
                        &mut self.core,
                        |connection, link, context| connection.chain_ended(owner.stream, &end, link, context),
                    );
                }
                Command::PublishHealth { worker, answers } => {
                    let (topic, update) = (GossipTopic::Worker(worker.0), GossipUpdate::Answers(answers));
                    self.handle_fleet(crate::fleet::FleetInput::Observed(topic, update));
                }
                Command::PublishCordon { worker, cordoned } => {
                    let worker = worker.0;
                    self.handle_handover(handover::HandoverInput::CordonChanged { worker, cordoned });
                }
                command => self.pool.execute(command, &mut self.reactor, &mut self.core),
            }
        }
    }

    /// Logs the figures, the counters, the violations and the sizes of the tables.
    fn log_counters(&mut self) {
        info!("figures {}", self.core.figures().to_string().trim_end().replace('\n', " "));
        info!("{}", self.core.counters());
        info!("violations{}", self.core.violations());
        info!("tables{}", self.core.table_sizes());
    }
}

/// Limits the memory of one of `process_count` processes that share the configured amount: the bodies of open requests
/// may take a sixth of it. Unwritten output may take another sixth before new requests and long answers to clients that do
/// not read are rejected, and a quarter at most. Requests of which a part has been received may take a sixth.
fn limit_memory(config: &Config, process_count: usize, core: &mut Core, reactor: &mut Reactor) {
    let memory = (config.memory_mb << 20) / process_count;
    core.limit_memory(memory);
    reactor.max_unwritten_bytes = memory / 4;
    reactor.max_partial_input_bytes = memory / 6;
}

/// Descriptors that connections may use when no other process shares them.
fn descriptors(config: &Config) -> usize {
    config.sockets.saturating_sub(RESERVED_DESCRIPTORS)
}

/// The configured limits of connections to workers, and their connect timeout.
fn worker_limits(config: &Config) -> (backend::ConnectionLimits, Duration) {
    let site = &config.site;
    let limits = backend::ConnectionLimits::of(site);
    // The platform allows connects 50 ms more than the simulator does.
    let connect = Duration(site.connect_limit.0 + Duration::millis(50).0);
    (limits, connect)
}

/// Returns the read end of a pipe to which each of these signals writes a byte.
fn signal_pipe(signals: &[i32]) -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    write.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
    }
    Ok(read)
}
