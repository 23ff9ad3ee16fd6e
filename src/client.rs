//! The plug-in for an RPC client: runs the scheduler and its back ends in the caller's thread, without the daemon.
//!
//! ```
//! use mintgate::backend::Endpoint;
//! use mintgate::chain::Step;
//! use mintgate::client::{Client, OutgoingRequest};
//! use mintgate::core::Verdict;
//! use mintgate::{FunctionId, Member, Duration, WorkerId, settings};
//! use std::io::{BufRead, BufReader, Write};
//!
//! # let folder = std::env::temp_dir().join(format!("mintgate-doc-{}", std::process::id()));
//! # std::fs::create_dir(&folder)?;
//! # let path = folder.join("checker.sock");
//! // A checker that answers each call with one body.
//! let listener = std::os::unix::net::UnixListener::bind(&path)?;
//! std::thread::spawn(move || {
//!     let (mut stream, _) = listener.accept().unwrap();
//!     for line in BufReader::new(stream.try_clone().unwrap()).lines() {
//!         let call: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
//!         let answer = serde_json::json!({"jsonrpc": "2.0", "id": call["id"], "result": {"body": "NCBvZiA1"}});
//!         stream.write_all(format!("{answer}\n").as_bytes()).unwrap();
//!     }
//! });
//!
//! let site = settings::read_site(br#"{"fleetSize": 1, "index": 0,
//!   "classes": [{"name": "check", "deadlineNs": 3000000000, "effect": "retryable",
//!                "objectiveNs": 1000000000}],
//!   "bounds": {"mostTries": 3},
//!   "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
//!   "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "loadSpanNs": 0}}"#).unwrap();
//! let mut client = Client::new(site, 7)?;
//! let worker = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
//! client.workers(vec![(worker, Endpoint::Unix(path))]);
//!
//! let deadline = client.now() + Duration::millis(3000);
//! let call = client.submit(OutgoingRequest::new("check", FunctionId(9), deadline, b"my exercise".to_vec()));
//! let (answered, answer) = loop {
//!     if let Some(answer) = client.poll_once(deadline)?.pop() {
//!         break answer;
//!     }
//! };
//! assert_eq!((answered, answer.verdict), (call, Verdict::Served(b"4 of 5".to_vec())));
//!
//! // Two steps under one deadline: the second receives the first one's answer.
//! let step = |function, body| Step {
//!     class: "check".to_owned(), function: FunctionId(function), memory_mb: 400.0, concurrency: 2.0,
//!     load_time: None, body,
//! };
//! let steps = vec![step(9, Some(b"my exercise".to_vec())), step(10, None)];
//! let chain = client.chain(Some("one-try".to_owned()), client.now() + Duration::millis(3000), steps);
//! let end = loop {
//!     client.poll_once(deadline)?;
//!     if let Some((_, end)) = client.chain_ends().pop() {
//!         break end;
//!     }
//! };
//! assert_eq!((end.ran, end.answer.verdict), (2, Verdict::Served(b"4 of 5".to_vec())));
//! # std::fs::remove_dir_all(&folder)?;
//! # Ok::<(), std::io::Error>(())
//! ```

use crate::backend::{ConnectionLimits, Endpoint, Pool, WritePeriod};
use crate::chain::{Chain, End, Step};
use crate::core::{Answer, Command, Core, Counters, IncomingRequest, Owner};
use crate::interface::{Duration, FunctionId, ListKind, Member, State, Timestamp};
use crate::net::{Reactor, SystemClock};
use crate::settings::Site;
use std::collections::BTreeSet;
use std::io;

/// Connections that an embedded scheduler opens at most.
const MAX_CONNECTIONS: usize = 256;

/// Identifies a request or chain of the embedding client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle(pub u64);

/// A request to submit.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Name of the class.
    pub class: String,
    /// The function called.
    pub function: FunctionId,
    /// Idempotency key, in keyed classes: the same for all retries of a request by its client.
    pub key: Option<String>,
    /// Memory of one loaded instance, in MB.
    pub memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Usual time to load the function, if known.
    pub load_time: Option<Duration>,
    /// The time after which the answer is of no use.
    pub deadline: Timestamp,
    /// The body.
    pub body: Vec<u8>,
}

impl OutgoingRequest {
    /// A request without a key, for a function whose memory and load time are unknown.
    pub fn new(class: &str, function: FunctionId, deadline: Timestamp, body: Vec<u8>) -> OutgoingRequest {
        let (class, key, load_time) = (class.to_owned(), None, None);
        OutgoingRequest { class, function, key, memory_mb: 0.0, concurrency: 1.0, load_time, deadline, body }
    }
}

/// A scheduler embedded in its client, which runs while [`Client::poll_once`] is called.
pub struct Client {
    core: Core,
    reactor: Reactor,
    pool: Pool,
    /// The number of the last [`RequestHandle`].
    last_handle: u64,
    /// Prefix of request references, which makes them differ from those of other clients of the same workers.
    salt: u32,
    /// Answers that the caller has not fetched yet.
    answers: Vec<(RequestHandle, Answer)>,
    /// Ends of chains that the caller has not fetched yet.
    ends: Vec<(RequestHandle, End)>,
}

impl Client {
    /// A scheduler without workers. The seed breaks ties and must differ between clients.
    ///
    /// # Errors
    /// The system's poll or clock cannot be opened.
    pub fn new(site: Site, seed: u64) -> io::Result<Client> {
        let reactor = Reactor::new(SystemClock::new())?;
        let pool = Pool::new(ConnectionLimits::of(&site), site.connect_limit, MAX_CONNECTIONS);
        let salt = (seed ^ seed >> 32) as u32 ^ std::process::id();
        Ok(Client {
            core: Core::new(site, seed),
            reactor,
            pool,
            last_handle: 0,
            salt,
            answers: vec![],
            ends: vec![],
        })
    }

    /// The current time on the clock that deadlines refer to.
    pub fn now(&self) -> Timestamp {
        self.reactor.now()
    }

    /// Replaces the list of workers, and is to be called whenever it has changed. Workers that are not on it are
    /// removed.
    pub fn workers(&mut self, list: Vec<(Member, Endpoint)>) {
        let listed =
            |worker| list.iter().any(|(member, _)| member.worker == worker && member.state != State::Gone);
        self.pool.retain(listed);
        for (member, endpoint) in list.iter().filter(|(member, _)| member.state != State::Gone) {
            self.pool.set_endpoint(member.worker, endpoint.clone(), member.started);
        }
        let members = list.into_iter().map(|(member, _)| member).collect();
        self.core.members(self.reactor.now(), ListKind::Full, members);
        self.execute_commands();
    }

    /// Confirms that the list of workers is complete and up to date. If the source of the list may become unreachable,
    /// call this about once a second while it is reachable, whether or not anything has changed. After the first call,
    /// once the last confirmation is older than 1.25 s plus 0.8 of the drain grace, workers are probed before anything
    /// is sent to them; where health checks are not allowed, nothing is sent to workers from which nothing was received
    /// for 7 s plus 0.8 of the grace. Without any call the list is valid until it is replaced.
    pub fn list_confirmed(&mut self) {
        let now = self.reactor.now();
        self.core.set_list_source(now, true, BTreeSet::new());
        self.core.discovery_received(now, now);
        self.execute_commands();
    }

    /// Submits a request. [`Client::poll_once`] returns its one answer, unless the request is cancelled before.
    pub fn submit(&mut self, call: OutgoingRequest) -> RequestHandle {
        self.last_handle += 1;
        let OutgoingRequest { class, function, key, memory_mb, concurrency, load_time, deadline, body } =
            call;
        let reference = format!("{:08x}{:08x}", self.salt, self.last_handle as u32);
        let owner = Owner { connection: 0, stream: self.last_handle };
        let call = IncomingRequest {
            owner,
            reference,
            class,
            function,
            key,
            memory_mb,
            concurrency,
            load_time,
            deadline,
            body,
        };
        self.core.submit(self.reactor.now(), call);
        self.execute_commands();
        RequestHandle(self.last_handle)
    }

    /// Submits a chain, whose steps run one after another. [`Client::chain_ends`] returns its one end. The deadline is
    /// also the latency objective of the last step's class, if it is earlier.
    pub fn chain(&mut self, key: Option<String>, deadline: Timestamp, steps: Vec<Step>) -> RequestHandle {
        self.last_handle += 1;
        let owner = Owner { connection: 0, stream: self.last_handle };
        self.core.chain(self.reactor.now(), Chain { owner, key, deadline, steps });
        self.execute_commands();
        RequestHandle(self.last_handle)
    }

    /// Returns the chains that have ended since the last call.
    pub fn chain_ends(&mut self) -> Vec<(RequestHandle, End)> {
        std::mem::take(&mut self.ends)
    }

    /// Cancels a request or chain: it gets no answer, and workers are notified where that helps.
    pub fn cancel(&mut self, call: RequestHandle) {
        self.core.withdraw(self.reactor.now(), Owner { connection: 0, stream: call.0 });
        self.answers.retain(|(id, _)| *id != call);
        self.ends.retain(|(id, _)| *id != call);
        self.execute_commands();
    }

    /// Runs the scheduler until an event was handled or `until` is reached, and returns the requests that have ended.
    ///
    /// # Errors
    /// The poll failed. The failure of a connection ends only its own requests.
    pub fn poll_once(&mut self, until: Timestamp) -> io::Result<Vec<(RequestHandle, Answer)>> {
        if self.answers.is_empty() && self.ends.is_empty() {
            let due = self.core.next_timeout().into_iter().chain([until]).min();
            self.reactor.poll_once(due, &mut self.core)?;
            self.execute_commands();
        }
        Ok(std::mem::take(&mut self.answers))
    }

    /// The scheduler's counters.
    pub fn counters(&mut self) -> &Counters {
        self.core.counters()
    }

    /// Runs expired timers, executes the core's commands until none are left, and writes attempts.
    fn execute_commands(&mut self) {
        self.core.on_timeout(self.reactor.now());
        let mut period = WritePeriod::default();
        loop {
            match self.core.next_command() {
                Some(Command::Answer { owner, answer }) => {
                    self.answers.push((RequestHandle(owner.stream), answer));
                }
                Some(Command::Chain { owner, end }) => self.ends.push((RequestHandle(owner.stream), end)),
                Some(command) => self.pool.execute(command, &mut self.reactor, &mut self.core),
                None if period.is_over(&self.reactor) => return,
                None if self.pool.write_next_attempt(&mut self.reactor, &mut self.core) => {}
                None => return,
            }
        }
    }
}
