//! The scheduler round the decision module, without sockets or a clock of its own.
//!
//! Fronts hand in calls, back ends report how attempts and orders end, and the adapter round it carries out
//! the [`Command`]s. Every method takes `now`. The core alone sees to it that each taken call has exactly
//! one final answer, whatever the front or the back end.

mod counters;

pub use counters::Counters;

use crate::brain::Balancer;
use crate::chain::{self, Chain, Classes, End};
use crate::fleet::lease::Hold;
use crate::handover::message::Known;
use crate::interface::*;
use crate::ops::bans::{Bans, Done};
use crate::ops::figures::Figures;
use crate::settings::Site;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// The part of the memory limit that bodies of open calls may take, as a divisor; beyond it calls are refused.
const BODIES: usize = 6;
/// Log lines a second that clients' doings may cause; the rest is only counted.
const LOGGED: u32 = 10;
/// The limit where none is told.
const MEMORY: usize = 192 << 20;
/// A probe that is not answered by then has failed: the simulator's limit and what sockets are allowed more.
const PROBE_LIMIT: Span = Span::millis(300);
/// So long after its deadline a call that the module has not ended is failed by the core: the one answer is
/// owed whatever the module does, and clients allow 50 ms more than their deadline.
const BACKSTOP: Span = Span::millis(20);
/// Functions remembered as called: those of the present span, up to a number, and of the one before. Clients may
/// name ever new ones, and only orders for what is called are of use.
const CALLED: (Span, usize) = (Span::millis(60_000), 1 << 14);
/// What is done under a lease is written this long before the lease ends, by a clock read just before.
const LEASE_MARGIN: Span = Span::millis(20);
/// A keyed repeat must be written this long before its group forgets.
const KEY_MARGIN: Span = Span::millis(50);

/// A call's place at its front: a connection and a number of the front's choosing there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// The connection, never used twice.
    pub connection: u64,
    /// The call on it.
    pub stream: u64,
}

/// A call as a front has read it.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// Where the answer goes.
    pub owner: Owner,
    /// The client's name for this try; workers see it unchanged.
    pub reference: String,
    /// Name of the class.
    pub class: String,
    /// The function called.
    pub function: FunctionId,
    /// Idempotency key, in keyed classes.
    pub key: Option<String>,
    /// Memory of one copy, in MB.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub lanes: f64,
    /// Usual time of a load, where told.
    pub load_time: Option<Span>,
    /// When the client gives up.
    pub deadline: Time,
    /// The body.
    pub body: Vec<u8>,
}

/// What every attempt of a call carries to a worker.
#[derive(Debug)]
pub struct Work {
    /// The client's name for the try.
    pub reference: String,
    /// Name of the class.
    pub class: String,
    /// The function.
    pub function: FunctionId,
    /// Idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// One attempt of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The call.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub number: u16,
}

/// One order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// One probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

/// How far an attempt or an order had come when it broke. This alone decides whether a repeat is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// No byte was handed to the system.
    NotSent,
    /// Some bytes, not all: what arrives cannot be read, so it never ran.
    PartlyWritten,
    /// All of it: it may have run.
    Out,
    /// An answer came that could not be used.
    Answered,
}

/// An attempt or order that ended without a usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// How far it had come.
    pub reached: Reached,
    /// What broke, for the log.
    pub cause: &'static str,
}

/// What a worker said of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Done, with its body.
    Ok(Vec<u8>),
    /// The function is not loaded there.
    Miss,
    /// Turned away unseen.
    Full,
    /// It failed and may have run.
    Error,
    /// The request was over before it ran.
    Expired,
}

/// What a worker said of an order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// How it ended.
    pub status: Status,
    /// Copies that stand.
    pub copies: u32,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// With a worker's body.
    Served(Vec<u8>),
    /// Not done; trying again is harmless after the cooldown.
    Refused {
        /// How long to stay away.
        cooldown: Span,
    },
    /// Failed, promising nothing.
    Failed,
}

/// The one final answer of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How it ended.
    pub verdict: Verdict,
    /// It ended because its time was up.
    pub expired: bool,
}

/// What the adapter is to do, in this order.
#[derive(Clone, Debug)]
pub enum Command {
    /// Give a call its final answer.
    Answer {
        /// Where to.
        owner: Owner,
        /// What.
        answer: Answer,
    },
    /// Give a chain its one end.
    Chain {
        /// Where to.
        owner: Owner,
        /// What.
        end: End,
    },
    /// Start an attempt.
    Send {
        /// Which.
        attempt: AttemptId,
        /// Where to.
        worker: WorkerId,
        /// What it carries.
        work: Rc<Work>,
        /// When its answer is no longer waited for.
        deadline: Time,
    },
    /// Give an attempt up.
    Halt {
        /// Which.
        attempt: AttemptId,
        /// Where it went.
        worker: WorkerId,
    },
    /// Order a load.
    Stage {
        /// Which order.
        order: OrderId,
        /// Where.
        worker: WorkerId,
        /// What.
        function: FunctionId,
        /// How many copies are to stand.
        copies: u8,
    },
    /// Ask whether a worker lives.
    Probe {
        /// Which probe.
        probe: ProbeId,
        /// Where.
        worker: WorkerId,
        /// When its answer is no longer waited for.
        deadline: Time,
    },
    /// Unload the idle copies.
    Purge {
        /// Where.
        worker: WorkerId,
        /// What.
        function: FunctionId,
    },
    /// Nothing new goes out on the connections that lead there: the process at their end may be another now.
    Renew {
        /// Where.
        worker: WorkerId,
    },
    /// An operator has left a worker out, or put it back, here: other processes of this scheduler are to know.
    ByHand {
        /// Which.
        worker: WorkerId,
        /// Out, or back.
        out: bool,
    },
}

struct Taken {
    owner: Owner,
    work: Rc<Work>,
    class: usize,
    effect: Effect,
    deadline: Time,
    attempts: u16,
    /// When the first attempt that may have run was written.
    first_out: Option<Time>,
}

struct Attempt {
    worker: WorkerId,
    class: usize,
    decided: Time,
    deadline: Time,
    written: Option<Time>,
}

struct Order {
    worker: WorkerId,
    function: FunctionId,
    copies: u8,
    decided: Time,
}

struct Probe {
    worker: WorkerId,
    deadline: Time,
    /// Under this lease, and for all of the fleet.
    part: Option<u16>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    Call(RequestId),
    Attempt(AttemptId),
    Order(OrderId),
    Probe(ProbeId),
}

/// The scheduler. See the module's page.
///
/// ```
/// use mintgate::core::{Command, Core, Incoming, Owner, Reply, Verdict};
/// use mintgate::{FunctionId, ListKind, Member, Time, WorkerId};
///
/// let site = mintgate::settings::read_site(br#"{"fleetSize": 1, "index": 0,
///   "classes": [{"name": "check", "deadlineNs": 3000000000, "effect": "retryable",
///                "objectiveNs": 1000000000}],
///   "bounds": {"mostTries": 3},
///   "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
///   "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "loadSpanNs": 0}}"#).unwrap();
/// let mut core = Core::new(site, 7);
/// core.members(Time(0), ListKind::Full, vec![Member { worker: WorkerId(1), ..Member::default() }]);
/// let owner = Owner { connection: 1, stream: 1 };
/// core.call(Time(0), Incoming {
///     owner, reference: "9b1f03aa5c7e2d41".into(), class: "check".into(), function: FunctionId(9), key: None,
///     memory_mb: 400.0, lanes: 2.0, load_time: None, deadline: Time(3_000_000_000), body: vec![],
/// });
/// let Some(Command::Send { attempt, .. }) = core.next_command() else { panic!("it is sent") };
/// core.written(Time(1), attempt);
/// core.attempt_ended(Time(2), attempt, Ok(Reply::Ok(b"4 of 5".to_vec())));
/// let Some(Command::Answer { answer, .. }) = core.next_command() else { panic!("it is answered") };
/// assert_eq!(answer.verdict, Verdict::Served(b"4 of 5".to_vec()));
/// ```
pub struct Core {
    site: Site,
    balancer: Balancer,
    next_request: u32,
    next_order: u64,
    requests: BTreeMap<RequestId, Taken>,
    owners: HashMap<Owner, RequestId>,
    /// The clients' names for the open calls.
    names: HashSet<String>,
    attempts: BTreeMap<AttemptId, Attempt>,
    orders: BTreeMap<OrderId, Order>,
    probes: BTreeMap<ProbeId, Probe>,
    /// What the list tells of each worker on it.
    told: BTreeMap<WorkerId, Member>,
    /// Who is out by hand whatever the list tells.
    bans: Bans,
    /// Parts of tasks into which the fleet's are cut, and those that this process holds.
    parts: u16,
    held: BTreeMap<(Task, u16), Hold>,
    chains: chain::Machine,
    /// Final answers of chains' steps, which go to the chains; whether those are at work on them.
    step_answers: VecDeque<(Owner, Answer)>,
    in_chains: bool,
    due: BTreeSet<(Time, Due)>,
    commands: VecDeque<Command>,
    backlog: VecDeque<Event>,
    /// Calls taken and orders written inside the ration's window.
    taken: VecDeque<Time>,
    ordered: VecDeque<Time>,
    called: [BTreeSet<FunctionId>; 2],
    called_since: Time,
    bodies: usize,
    memory: usize,
    /// The second that is running, and the lines logged in it.
    logged: (Time, u32),
    counters: Counters,
}

impl Core {
    /// A scheduler that knows nothing but its settings. The seed decides all ties.
    pub fn new(site: Site, seed: u64) -> Core {
        Core {
            balancer: Balancer::new(site.settings.clone(), seed),
            site,
            next_request: 0,
            next_order: 0,
            requests: BTreeMap::new(),
            owners: HashMap::new(),
            names: HashSet::new(),
            attempts: BTreeMap::new(),
            orders: BTreeMap::new(),
            probes: BTreeMap::new(),
            told: BTreeMap::new(),
            bans: Bans::default(),
            parts: 0,
            held: BTreeMap::new(),
            chains: chain::Machine::new(seed),
            step_answers: VecDeque::new(),
            in_chains: false,
            due: BTreeSet::new(),
            commands: VecDeque::new(),
            backlog: VecDeque::new(),
            taken: VecDeque::new(),
            ordered: VecDeque::new(),
            called: [BTreeSet::new(), BTreeSet::new()],
            called_since: Time(0),
            bodies: 0,
            memory: MEMORY,
            logged: (Time(0), 0),
            counters: Counters::default(),
        }
    }

    /// The site's settings.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Memory that the scheduler may take, in bytes.
    pub fn limit_memory(&mut self, bytes: usize) {
        self.memory = bytes;
    }

    /// Whether a line that a client has caused is to be logged: clients at full speed must not have the
    /// scheduler write, and wait for whoever reads its log, all the time.
    pub fn may_log(&mut self, now: Time) -> bool {
        if now - self.logged.0 >= Span::millis(1_000) {
            self.logged = (now, 0);
        }
        self.logged.1 += 1;
        self.counters.unlogged += u64::from(self.logged.1 > LOGGED);
        self.logged.1 <= LOGGED
    }

    /// A new configuration: calls under way go on in the class in which they were taken.
    pub fn replace_site(&mut self, now: Time, site: Site) {
        for name in self.site.classes.iter().flatten() {
            self.counters.classes.entry(name.clone()).or_default();
        }
        let open: BTreeSet<usize> =
            self.requests.values().map(|t| t.class).chain(self.attempts.values().map(|a| a.class)).collect();
        self.site = self.site.replaced_by(site, |place| open.contains(&place));
        self.balancer.configure(self.site.settings.clone());
        self.settle(now);
    }

    /// What has been counted so far.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Calls that are owed an answer.
    pub fn owed(&self) -> usize {
        self.requests.len()
    }

    /// The next thing to do.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Core::wake`] is to be called next.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    // ---- Events in

    /// News of the list of workers.
    pub fn members(&mut self, now: Time, kind: ListKind, members: Vec<Member>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: BTreeSet<WorkerId> = members.iter().map(|m| m.worker).collect();
            self.told.retain(|worker, _| listed.contains(worker));
        }
        for member in &members {
            match member.state {
                State::Gone => drop(self.told.remove(&member.worker)),
                _ => drop(self.told.insert(member.worker, *member)),
            }
        }
        self.bans.forget_gone(|worker| self.told.contains_key(&worker));
        self.counters.list_events += 1;
        let members = members.into_iter().map(|member| self.bans.laid_over(member)).collect();
        self.step(now, Event::Members(kind, members));
    }

    /// An operator leaves a worker out, so that from now on nothing new is written to it whatever the list tells,
    /// or puts it back.
    pub fn by_hand(&mut self, now: Time, worker: WorkerId, out: bool) -> Done {
        let done = self.set_by_hand(now, worker, out, self.told.contains_key(&worker));
        if done == Done::Changed {
            self.commands.push_back(Command::ByHand { worker, out });
        }
        done
    }

    /// The same, called at another process of this scheduler, which knew the worker.
    pub fn by_hand_elsewhere(&mut self, now: Time, worker: WorkerId, out: bool) {
        self.set_by_hand(now, worker, out, true);
    }

    fn set_by_hand(&mut self, now: Time, worker: WorkerId, out: bool, listed: bool) -> Done {
        let done = match out {
            true => self.bans.exclude(worker, listed),
            false => self.bans.include(now, worker, listed),
        };
        if done == Done::Changed {
            // It has most likely been restarted meanwhile, so nothing that was known of it holds.
            if !out {
                self.commands.push_back(Command::Renew { worker });
            }
            if let Some(member) = self.told.get(&worker) {
                let member = self.bans.laid_over(*member);
                self.step(now, Event::Members(ListKind::Delta, vec![member]));
            }
        }
        done
    }

    /// What another process of this scheduler has to know; the adapter adds where the workers are.
    pub fn known(&self) -> Known {
        Known {
            out: self.bans.out().map(|worker| worker.0).collect(),
            back: self.bans.back().map(|(worker, at)| (worker.0, at.0)).collect(),
            orders: self.ordered.iter().map(|at| at.0).collect(),
            taken: self.taken.iter().map(|at| at.0).collect(),
            called: self.called.iter().flatten().map(|function| function.0).collect(),
            ..Known::default()
        }
    }

    /// Takes over what the process before this one knew. The list is told as any other.
    pub fn take_over(&mut self, now: Time, known: &Known) {
        let out = known.out.iter().map(|worker| WorkerId(*worker));
        let back = known.back.iter().map(|(worker, at)| (WorkerId(*worker), Time(*at)));
        self.bans.take_over(out, back);
        for (times, more) in [(&mut self.ordered, &known.orders), (&mut self.taken, &known.taken)] {
            times.extend(more.iter().map(|at| Time(*at).min(now)));
            times.make_contiguous().sort_unstable();
        }
        self.called[1].extend(known.called.iter().map(|function| FunctionId(*function)));
        let members = self.told.values().map(|member| self.bans.laid_over(*member)).collect();
        self.step(now, Event::Members(ListKind::Full, members));
    }

    /// What the list tells of each worker on it.
    pub fn list(&self) -> impl Iterator<Item = &Member> {
        self.told.values()
    }

    /// Whether a call taken now could be placed: some worker may be sent work.
    pub fn places(&self) -> bool {
        self.told.keys().any(|worker| self.open_to_work(*worker))
    }

    /// The figures as they stand now.
    pub fn figures(&self) -> Figures {
        let mut classes = self.counters.classes.clone();
        for name in self.site.classes.iter().flatten() {
            classes.entry(name.clone()).or_default();
        }
        let out = self.bans.out().filter(|worker| self.told.contains_key(worker)).count();
        Figures {
            classes,
            sends: self.counters.sent,
            current: self.owed(),
            cluster_size: self.told.len(),
            cluster_unhealthy: out + self.balancer.avoided(),
            conf_loaded: self.counters.conf_loaded,
            conf_invalid: self.counters.conf_invalid,
        }
    }

    /// A call has come in whole. From here on one final answer is owed.
    pub fn call(&mut self, now: Time, call: Incoming) {
        self.counters.taken += 1;
        self.taken.push_back(now);
        let class = self.site.class(&call.class);
        let Some(class) = class else {
            // One that a new configuration has dropped: nothing has run, and nothing will.
            if self.counters.classes.contains_key(&call.class) {
                let refused = Verdict::Refused { cooldown: self.advice() };
                return self.answer(call.owner, Some(&call.class), refused, false);
            }
            return self.answer(call.owner, None, Verdict::Failed, false);
        };
        // A name that is open already would make two calls' answers look alike at a worker.
        if self.names.contains(&call.reference) {
            return self.answer(call.owner, Some(&call.class), Verdict::Failed, false);
        }
        let full =
            self.requests.len() >= self.site.max_open || self.bodies + call.body.len() > self.memory / BODIES;
        if full || call.deadline <= now || self.owners.contains_key(&call.owner) {
            let cooldown = self.advice();
            let refused = Verdict::Refused { cooldown };
            return self.answer(call.owner, Some(&call.class), refused, call.deadline <= now);
        }
        let id = RequestId(self.next_request);
        self.next_request = self.next_request.wrapping_add(1);
        self.note_called(now, call.function);
        self.bodies += call.body.len();
        self.names.insert(call.reference.clone());
        let work = Rc::new(Work {
            reference: call.reference,
            class: call.class,
            function: call.function,
            key: call.key,
            body: call.body,
        });
        let effect = self.site.settings.classes[class].effect;
        let (owner, deadline) = (call.owner, call.deadline);
        let taken = Taken { owner, work, class, effect, deadline, attempts: 0, first_out: None };
        self.requests.insert(id, taken);
        self.owners.insert(owner, id);
        self.due.insert((deadline + BACKSTOP, Due::Call(id)));
        self.step(
            now,
            Event::Call(Call {
                id,
                function: call.function,
                class: ClassId(class as u16),
                tenant: TenantId(0),
                remaining: deadline - now,
                memory_mb: call.memory_mb,
                lanes: call.lanes,
                load_time: call.load_time,
            }),
        );
    }

    /// Chains may take until their clients give up, and not only the wanted time of their last step's class.
    pub fn chains_until_given_up(&mut self, until_given_up: bool) {
        self.chains.until_given_up = until_given_up;
    }

    /// A client has named this function.
    fn note_called(&mut self, now: Time, function: FunctionId) {
        if now - self.called_since > CALLED.0 || self.called[0].len() >= CALLED.1 {
            self.called_since = now;
            self.called = [BTreeSet::new(), std::mem::take(&mut self.called[0])];
        }
        self.called[0].insert(function);
    }

    /// A chain has come in whole. Its steps are taken as calls, and one end is owed.
    pub fn chain(&mut self, now: Time, chain: Chain) {
        self.counters.chains += 1;
        let all = self.chains.begin(now, chain, &self.site);
        self.run_chains(now, all);
    }

    /// Does what chains want, until none has an answer to go on from.
    fn run_chains(&mut self, now: Time, all: Vec<chain::Do>) {
        let mut all = VecDeque::from(all);
        let outer = std::mem::replace(&mut self.in_chains, true);
        loop {
            // Whoever is at work on them further out takes the answers.
            if all.is_empty()
                && !outer
                && let Some((owner, answer)) = self.step_answers.pop_front()
            {
                all.extend(self.chains.step_ended(now, owner, answer, &self.site));
            }
            match all.pop_front() {
                Some(chain::Do::Start(incoming)) => self.call(now, incoming),
                Some(chain::Do::Withdraw(step)) => self.withdraw(now, step),
                Some(chain::Do::Want(function, memory_mb)) => {
                    // A client has named it; whether an order goes out is for the module and the ration to say.
                    self.note_called(now, function);
                    self.step(now, Event::Wanted(function, memory_mb));
                }
                Some(chain::Do::Finish(owner, end)) => {
                    match (&end.answer.verdict, end.short) {
                        (Verdict::Served(_), _) => self.counters.chains_served += 1,
                        (_, Some(_)) => self.counters.chains_stopped += 1,
                        _ => self.counters.chains_failed += 1,
                    }
                    self.commands.push_back(Command::Chain { owner, end });
                }
                None if outer || self.step_answers.is_empty() => break,
                None => {}
            }
        }
        self.in_chains = outer;
    }

    /// Nobody waits for this call any more.
    pub fn withdraw(&mut self, now: Time, owner: Owner) {
        let Some(id) = self.owners.get(&owner).copied() else {
            let all = self.chains.withdraw(owner);
            return self.run_chains(now, all);
        };
        self.counters.withdrawn += 1;
        let taken = self.forget(id);
        self.step_out(now, taken.as_ref());
        self.step(now, Event::ClientGone(id));
    }

    /// An attempt has been handed to the system whole.
    pub fn written(&mut self, now: Time, attempt: AttemptId) {
        let Some(entry) = self.attempts.get_mut(&attempt) else { return };
        entry.written = Some(now);
        self.counters.sent += 1;
        if let Some(taken) = self.requests.get_mut(&attempt.request) {
            taken.first_out.get_or_insert(now);
        }
    }

    /// An attempt has ended at its worker, or broke on the way.
    pub fn attempt_ended(&mut self, now: Time, id: AttemptId, end: Result<Reply, Broken>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (written, mut body) = (attempt.written, None);
        let status = match end {
            Ok(reply) => {
                let status = status_of(&reply);
                if let Reply::Ok(bytes) = reply {
                    body = Some(bytes);
                }
                status
            }
            Err(broken) => match broken.reached {
                Reached::NotSent | Reached::PartlyWritten => Status::ConnectFailed,
                Reached::Out => Status::Reset,
                Reached::Answered => Status::Error,
            },
        };
        self.counters.end(status);
        if let Some(taken) = self.requests.get_mut(&id.request)
            && status.never_ran()
            && taken.first_out == written
        {
            taken.first_out = None;
        }
        if let Some(bytes) = body
            && let Some(taken) = self.forget(id.request)
        {
            if taken.owner.connection != chain::STEP
                && let Some(attempt) = self.attempts.get(&id)
            {
                let took = now - attempt.decided;
                self.chains.note(now, taken.work.function, &taken.work.class, took);
            }
            self.answer(taken.owner, Some(&taken.work.class), Verdict::Served(bytes), false);
        }
        self.end_attempt(now, id, status);
        self.settle(now);
    }

    /// An attempt that never left, for a reason of our own: it was no longer allowed, or there was nothing to
    /// send it on. It says nothing of the worker, unlike a connection that could not be made.
    pub fn attempt_held(&mut self, now: Time, id: AttemptId) {
        if self.attempts.contains_key(&id) {
            self.counters.end(Status::Moot);
            self.end_attempt(now, id, Status::Moot);
            self.settle(now);
        }
    }

    /// An order to load has ended at its worker, or broke on the way.
    pub fn order_ended(&mut self, now: Time, id: OrderId, end: Result<Standing, Broken>) {
        let standing = end.unwrap_or_else(|broken| {
            let status = match broken.reached {
                Reached::NotSent | Reached::PartlyWritten => Status::ConnectFailed,
                Reached::Out => Status::Reset,
                Reached::Answered => Status::Error,
            };
            Standing { status, copies: 0 }
        });
        self.end_order(now, id, standing);
        self.settle(now);
    }

    /// An order to load that never left, for a reason of our own; see [`Core::attempt_held`].
    pub fn order_held(&mut self, now: Time, id: OrderId) {
        self.end_order(now, id, Standing { status: Status::Moot, copies: 0 });
        self.settle(now);
    }

    /// A probe has been answered, or broke on the way.
    pub fn probe_ended(&mut self, now: Time, id: ProbeId, end: Result<(), Broken>) {
        let status = end.map_or(Status::Reset, |()| Status::Ok);
        self.end_probe(id, status);
        self.settle(now);
    }

    /// A probe that never left, for a reason of our own; see [`Core::attempt_held`].
    pub fn probe_held(&mut self, now: Time, id: ProbeId) {
        self.end_probe(id, Status::Moot);
        self.settle(now);
    }

    /// This process is one of a fleet whose tasks are cut into so many parts.
    pub fn join_fleet(&mut self, now: Time, parts: u16) {
        self.parts = parts;
        self.step(now, Event::Shares(Shares { parts, own: BTreeSet::new() }));
    }

    /// A part of one of the fleet's tasks is this process's from now on, until then, or no longer.
    pub fn hold(&mut self, now: Time, task: Task, part: u16, hold: Option<Hold>) {
        let had = match hold {
            Some(hold) => self.held.insert((task, part), hold),
            None => self.held.remove(&(task, part)),
        };
        if had.is_some() != hold.is_some() {
            let own = self.held.keys().copied().collect();
            self.step(now, Event::Shares(Shares { parts: self.parts, own }));
        }
    }

    /// The time told by [`Core::next_due`] has come.
    pub fn wake(&mut self, now: Time) {
        while let Some(&(at, due)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, due));
            match due {
                Due::Wake => self.backlog.push_back(Event::Wake),
                Due::Call(id) => {
                    self.settle(now);
                    if self.requests.contains_key(&id) {
                        self.counters.overdue += 1;
                        self.conclude(now, id, Verdict::Failed);
                        self.backlog.push_back(Event::ClientGone(id));
                    }
                }
                Due::Attempt(id) => {
                    let Some(attempt) = self.attempts.get(&id) else { continue };
                    self.commands.push_back(Command::Halt { attempt: id, worker: attempt.worker });
                    self.counters.end(Status::Timeout);
                    self.end_attempt(now, id, Status::Timeout);
                }
                Due::Probe(id) => self.end_probe(id, Status::Timeout),
                Due::Order(id) => self.end_order(now, id, Standing { status: Status::Timeout, copies: 0 }),
            }
        }
        self.settle(now);
    }

    /// How long a client is told to stay away where the module has not said.
    pub fn advice(&self) -> Span {
        self.site.cooldown()
    }

    /// Counts a call that its front has answered by itself because it could not be taken, under its class
    /// where that could be read.
    pub fn turned_away(&mut self, class: Option<&str>, verdict: &Verdict) {
        if let Some(class) = class.filter(|class| self.site.class(class).is_some()) {
            self.counters.final_answer(class, verdict);
        }
        match verdict {
            Verdict::Refused { .. } => self.counters.turned_away_refused += 1,
            _ => self.counters.turned_away_failed += 1,
        }
    }

    // ---- Gates that are asked when bytes are about to be written

    /// Whether an attempt may still go out: it may have waited for its connection while its request ended,
    /// its worker began to drain or its key's window passed.
    pub fn may_write(&self, now: Time, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(&id).filter(|a| now < a.deadline) else { return false };
        let Some(taken) = self.requests.get(&id.request) else { return false };
        let in_window = match (taken.effect, taken.first_out) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { window, .. }, Some(first)) => now + KEY_MARGIN < first + window,
        };
        in_window && self.open_to_work(attempt.worker)
    }

    /// Whether an order may still go out, and counts it as gone out if so. The ration is looked at here
    /// too: orders that queued behind a slow connection must not bunch up in one window.
    pub fn may_write_order(&mut self, now: Time, id: OrderId) -> bool {
        let Some(order) = self.orders.get(&id) else { return false };
        if order.copies == 0 {
            return true;
        }
        if !self.open_to_work(order.worker)
            || !self.called.iter().any(|called| called.contains(&order.function))
        {
            return false;
        }
        if let Some(ration) = self.site.settings.rules.ration {
            let since = now - ration.span;
            self.ordered.retain(|at| *at >= since);
            self.taken.retain(|at| *at > since);
            let room = ration.free + ration.share * self.taken.len() as f64;
            if self.ordered.len() as f64 + 1.0 > room {
                self.counters.orders_rationed += 1;
                return false;
            }
        }
        self.ordered.push_back(now);
        self.counters.orders += 1;
        true
    }

    /// Whether a probe may still go out: one for all of the fleet only under its lease. The time is read for this
    /// question alone.
    pub fn may_write_probe(&self, now: Time, id: ProbeId) -> bool {
        let Some(probe) = self.probes.get(&id) else { return false };
        probe.part.is_none_or(|part| self.holds(now, Task::Probe, part))
    }

    fn holds(&self, now: Time, task: Task, part: u16) -> bool {
        self.held.get(&(task, part)).is_some_and(|hold| now + LEASE_MARGIN < hold.until)
    }

    /// An event of the bus counts as told from the moment it is in the bus, which may be long before it was
    /// heard here. So nothing that still waits is written once a drain is known, whatever grace there is.
    fn open_to_work(&self, worker: WorkerId) -> bool {
        self.told.get(&worker).is_some_and(|member| self.bans.laid_over(*member).state == State::Ready)
    }

    // ---- Inside

    fn step(&mut self, now: Time, event: Event) {
        self.backlog.push_back(event);
        self.settle(now);
    }

    /// Gives the module what waits for it and carries out what it decides, until nothing waits.
    fn settle(&mut self, now: Time) {
        let mut actions = Vec::new();
        while let Some(event) = self.backlog.pop_front() {
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
        }
        if !self.step_answers.is_empty() {
            self.run_chains(now, vec![]);
        }
        let Some(ration) = self.site.settings.rules.ration else { return self.taken.clear() };
        while self.taken.front().is_some_and(|at| *at + ration.span < now) {
            self.taken.pop_front();
        }
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { id, worker, timeout } => {
                let Some(taken) = self.requests.get_mut(&id) else { return };
                let attempt = AttemptId { request: id, number: taken.attempts };
                taken.attempts += 1;
                let deadline = (now + timeout).min(taken.deadline);
                let (work, class) = (taken.work.clone(), taken.class);
                self.attempts
                    .insert(attempt, Attempt { worker, class, decided: now, deadline, written: None });
                self.due.insert((deadline, Due::Attempt(attempt)));
                self.commands.push_back(Command::Send { attempt, worker, work, deadline });
            }
            Action::Cancel { id, attempt } => {
                let id = AttemptId { request: id, number: attempt };
                let Some(attempt) = self.attempts.get(&id) else { return };
                self.commands.push_back(Command::Halt { attempt: id, worker: attempt.worker });
                self.counters.end(Status::Cancelled);
                self.end_attempt(now, id, Status::Cancelled);
            }
            Action::Refuse { id, wait } => self.conclude(now, id, Verdict::Refused { cooldown: wait }),
            Action::Fail { id } => self.conclude(now, id, Verdict::Failed),
            Action::Load { worker, function, copies } => {
                let order = OrderId(self.next_order);
                self.next_order += 1;
                self.orders.insert(order, Order { worker, function, copies, decided: now });
                self.due.insert((now + self.site.load_wait, Due::Order(order)));
                self.commands.push_back(Command::Stage { order, worker, function, copies });
            }
            Action::Probe { worker, part } => {
                let probe = ProbeId(self.next_order);
                self.next_order += 1;
                let deadline = now + PROBE_LIMIT;
                self.probes.insert(probe, Probe { worker, deadline, part });
                self.due.insert((deadline, Due::Probe(probe)));
                self.counters.probes += 1;
                self.commands.push_back(Command::Probe { probe, worker, deadline });
            }
            Action::Unload { worker, function } => {
                self.commands.push_back(Command::Purge { worker, function });
            }
            Action::Wake { after } => drop(self.due.insert((now + after, Due::Wake))),
            // The list is pushed on sockets.
            Action::Subscribe => {}
        }
    }

    fn conclude(&mut self, now: Time, id: RequestId, verdict: Verdict) {
        let Some(taken) = self.requests.get(&id) else { return };
        let expired = now + self.site.settings.tick >= taken.deadline;
        if let Some(taken) = self.forget(id) {
            self.step_out(now, Some(&taken));
            self.answer(taken.owner, Some(&taken.work.class), verdict, expired);
        }
    }

    /// A chain's step has ended unserved: its chain is to know if it may have run.
    fn step_out(&mut self, now: Time, taken: Option<&Taken>) {
        let Some(taken) = taken.filter(|taken| taken.owner.connection == chain::STEP) else { return };
        if let (Effect::Keyed { .. }, Some(key), Some(since)) =
            (taken.effect, &taken.work.key, taken.first_out)
        {
            self.chains.may_have_run(now, key, since);
        }
    }

    fn answer(&mut self, owner: Owner, class: Option<&str>, verdict: Verdict, expired: bool) {
        if let Some(class) = class {
            self.counters.final_answer(class, &verdict);
        }
        match &verdict {
            Verdict::Served(_) => self.counters.served += 1,
            Verdict::Refused { .. } => self.counters.refused += 1,
            Verdict::Failed => self.counters.failed += 1,
        }
        let answer = Answer { verdict, expired };
        match owner.connection {
            chain::STEP => self.step_answers.push_back((owner, answer)),
            _ => self.commands.push_back(Command::Answer { owner, answer }),
        }
    }

    fn forget(&mut self, id: RequestId) -> Option<Taken> {
        let taken = self.requests.remove(&id)?;
        self.bodies -= taken.work.body.len();
        self.names.remove(&taken.work.reference);
        self.due.remove(&(taken.deadline + BACKSTOP, Due::Call(id)));
        self.owners.remove(&taken.owner);
        Some(taken)
    }

    fn end_attempt(&mut self, now: Time, id: AttemptId, status: Status) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.due.remove(&(attempt.deadline, Due::Attempt(id)));
        let finished = !self.requests.contains_key(&id.request);
        self.backlog.push_back(Event::Outcome(Outcome {
            id: id.request,
            attempt: id.number,
            status,
            latency: now - attempt.decided,
            finished,
            copy: CopyNote::Untold,
            company: 0,
            report: vec![],
        }));
    }

    fn end_probe(&mut self, id: ProbeId, status: Status) {
        let Some(probe) = self.probes.remove(&id) else { return };
        self.due.remove(&(probe.deadline, Due::Probe(id)));
        match status {
            Status::Ok => {}
            Status::Moot => self.counters.probes_held += 1,
            _ => self.counters.probes_unanswered += 1,
        }
        self.backlog.push_back(Event::Probed(probe.worker, status));
    }

    fn end_order(&mut self, now: Time, id: OrderId, standing: Standing) {
        let Some(order) = self.orders.remove(&id) else { return };
        self.due.remove(&(order.decided + self.site.load_wait, Due::Order(id)));
        let (worker, function) = (order.worker, order.function);
        let (copies, status, latency) = (standing.copies, standing.status, now - order.decided);
        self.backlog.push_back(Event::Loaded(Loaded { worker, function, copies, status, latency }));
    }
}

/// What a worker's word means to the module.
pub(crate) fn status_of(reply: &Reply) -> Status {
    match reply {
        Reply::Ok(_) => Status::Ok,
        Reply::Miss => Status::Miss,
        Reply::Full => Status::Full,
        Reply::Error => Status::Error,
        Reply::Expired => Status::Moot,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: fn(u64) -> Time = |ms| Time(1_000_000_000_000 + ms * 1_000_000);
    const FUNCTION: FunctionId = FunctionId(9);

    const SITE: &str = r#"{"fleetSize": 1, "index": 0, "tickNs": 2000000, "classes": [
        {"name": "safe", "deadlineNs": 3000000000, "effect": "retryable", "objectiveNs": 1000000000},
        {"name": "keyed", "deadlineNs": 3000000000, "effect": "dedup", "group": "all",
         "repeatWindowNs": 1000000000, "objectiveNs": 1000000000},
        {"name": "unsafe", "deadlineNs": 3000000000, "effect": "fragile", "objectiveNs": 1000000000}],
      "bounds": {"mostTries": 9, "mayCancel": true},
      "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
      "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "mayOrder": true,
        "loadSpanNs": 5000000000, "loadsAnyway": 3, "loadPart": 0.3}}"#;

    fn site(text: &str) -> Site {
        crate::settings::read_site(text.as_bytes()).unwrap()
    }

    fn core() -> Core {
        let mut core = Core::new(site(SITE), 7);
        let member = |n| Member { worker: WorkerId(n), weight: 1.0, ..Member::default() };
        core.members(MS(0), ListKind::Full, vec![member(1), member(2)]);
        core
    }

    fn call(core: &mut Core, stream: u64, class: &str) -> Vec<Command> {
        let owner = Owner { connection: 1, stream };
        let (reference, class) = (format!("{stream:016x}"), class.to_owned());
        core.call(
            MS(0),
            Incoming {
                owner,
                reference,
                class,
                function: FUNCTION,
                key: None,
                memory_mb: 100.0,
                lanes: 2.0,
                load_time: None,
                deadline: MS(3000),
                body: vec![],
            },
        );
        std::iter::from_fn(|| core.next_command()).collect()
    }

    fn sent(commands: &[Command]) -> (AttemptId, WorkerId) {
        let send = commands.iter().find_map(|command| match command {
            Command::Send { attempt, worker, .. } => Some((*attempt, *worker)),
            _ => None,
        });
        send.expect("it is sent")
    }

    fn broken(reached: Reached) -> Result<Reply, Broken> {
        Err(Broken { reached, cause: "test" })
    }

    fn load(core: &mut Core, now: Time) -> OrderId {
        core.carry_out(now, Action::Load { worker: WorkerId(1), function: FUNCTION, copies: 1 });
        match core.next_command() {
            Some(Command::Stage { order, .. }) => order,
            other => panic!("{other:?}"),
        }
    }

    /// A send that waited for its connection while its worker began to drain must not go out.
    #[test]
    fn what_queued_is_held_back_after_a_drain() {
        let mut core = core();
        let (attempt, worker) = sent(&call(&mut core, 1, "safe"));
        let order = load(&mut core, MS(0));
        let draining = |worker| Member { worker, state: State::Draining, ..Member::default() };
        assert!(core.may_write(MS(9), attempt));
        core.members(MS(10), ListKind::Delta, vec![draining(worker), draining(WorkerId(1))]);
        assert!(!core.may_write(MS(11), attempt));
        assert!(!core.may_write_order(MS(11), order));
        core.members(MS(12), ListKind::Delta, vec![Member { worker, ..Member::default() }]);
        assert!(core.may_write(MS(12), attempt));
        core.members(MS(13), ListKind::Full, vec![]);
        assert!(!core.may_write(MS(13), attempt), "absent from the whole list is gone");
    }

    /// Whatever waits for its connection when its worker is left out by hand stays here: an attempt, the repeat of
    /// one, an order. What comes back is met as a new process.
    #[test]
    fn what_queued_is_held_back_after_a_ban_whatever_the_bus_tells() {
        let mut core = core();
        let (attempt, worker) = sent(&call(&mut core, 1, "safe"));
        let (open, home) = sent(&call(&mut core, 2, "safe"));
        core.written(MS(1), open);
        let order = load(&mut core, MS(1));
        let ready = |worker| Member { worker, weight: 1.0, ..Member::default() };
        for worker in [worker, home, WorkerId(1)] {
            core.by_hand(MS(2), worker, true);
        }
        assert!(!core.may_write(MS(2), attempt) && !core.may_write_order(MS(2), order));
        // Gone, back under another address, and the whole list anew: it stays out.
        core.members(MS(3), ListKind::Delta, vec![Member { state: State::Gone, ..ready(worker) }]);
        core.members(MS(4), ListKind::Delta, vec![Member { started: Some(MS(3)), ..ready(worker) }]);
        core.members(MS(5), ListKind::Full, vec![ready(WorkerId(1)), ready(WorkerId(2))]);
        core.replace_site(MS(6), site(SITE));
        assert!(!core.may_write(MS(7), attempt) && !core.may_write_order(MS(7), order));
        // What was open there fails: its repeat goes elsewhere.
        while core.next_command().is_some() {}
        core.attempt_ended(MS(8), open, broken(Reached::Out));
        let other = std::iter::from_fn(|| core.next_command()).find_map(|command| match command {
            Command::Send { worker, .. } => Some(worker),
            _ => None,
        });
        assert!(other.is_none_or(|other| other != home && other != worker), "{other:?}");
        core.by_hand(MS(9), worker, false);
        let renewed = |c: &Command| matches!(c, Command::Renew { worker: w } if *w == worker);
        assert!(std::iter::from_fn(|| core.next_command()).any(|c| renewed(&c)));
        assert_eq!(core.bans.laid_over(ready(worker)).started, Some(MS(9)), "cold");
        assert!(core.open_to_work(worker));
    }

    proptest! {
        #![proptest_config(crate::drawn())]

        /// Whatever lists, calls by hand, settings and ends come in whatever order: each call has one final answer,
        /// nothing is sent where the list or an operator forbids it, and nothing is left behind.
        #[test]
        fn any_order_of_events_leaves_one_answer_each(
            ops in prop::collection::vec((0u8..8, 0u64..6, 0u64..64, 0u8..12), 1..120)
        ) {
            let (mut core, mut now, mut stream) = (core(), MS(0), 10);
            let retuned = SITE.replace("retryable", "fragile").replace("\"mostTries\": 9", "\"mostTries\": 2");
            let mut open: Vec<AttemptId> = vec![];
            let mut orders: Vec<OrderId> = vec![];
            let (mut asked, mut answered) = (BTreeSet::new(), BTreeSet::new());
            let member = |id: u64, b: u64, c: u8, now: Time| Member {
                worker: WorkerId(id),
                zone: ZoneId(c % 2),
                state: [State::Ready, State::Draining, State::Gone][usize::from(c % 3)],
                weight: [1.0, 0.0, 1e9][usize::from(c % 3)],
                started: [None, Some(now), Some(MS(1 << 40))][b as usize % 3],
                ..Member::default()
            };
            for (op, a, b, c) in ops {
                match op {
                    0 => {
                        // Several changes of one worker in one event, and the same told twice.
                        let changes = vec![member(a, b, c, now), member(a, b / 3, c / 3, now), member(a, b, c, now)];
                        core.members(now, ListKind::Delta, changes);
                    }
                    1 => {
                        let listed = (0..6).filter(|id| b >> id & 1 == 1).map(|id| member(id, a, c / 3, now));
                        core.members(now, ListKind::Full, listed.collect());
                    }
                    2 => {
                        stream += 1;
                        let owner = Owner { connection: 1, stream };
                        asked.insert(owner);
                        core.call(now, Incoming {
                            owner,
                            reference: format!("{:016x}", stream - u64::from(c == 11)),
                            class: ["safe", "keyed", "unsafe", "other"][usize::from(c % 4)].to_owned(),
                            function: FunctionId(a),
                            key: None,
                            memory_mb: 1e15,
                            lanes: 0.0,
                            load_time: None,
                            deadline: now + Span::millis(b * 40),
                            body: vec![0; 9],
                        });
                    }
                    3 => drop(core.by_hand(now, WorkerId(a), c % 2 == 0)),
                    4 if !open.is_empty() => {
                        let attempt = open.swap_remove(b as usize % open.len());
                        if c < 8 && core.may_write(now, attempt) {
                            core.written(now, attempt);
                        }
                        match c {
                            0..4 => core.attempt_ended(now, attempt, Ok(Reply::Ok(vec![]))),
                            4 => core.attempt_ended(now, attempt, Ok(Reply::Error)),
                            5 => core.attempt_ended(now, attempt, Ok(Reply::Full)),
                            6 | 7 => core.attempt_ended(now, attempt, broken(Reached::Out)),
                            8 => core.attempt_ended(now, attempt, broken(Reached::NotSent)),
                            _ => core.attempt_held(now, attempt),
                        }
                    }
                    5 => {
                        now = now + Span::millis(b * b);
                        core.wake(now);
                    }
                    6 => core.replace_site(now, site(if c % 2 == 0 { SITE } else { &retuned })),
                    _ => {
                        for order in orders.drain(..) {
                            if core.may_write_order(now, order) {
                                core.order_ended(now, order, Ok(Standing { status: Status::Ok, copies: 1 }));
                            }
                        }
                    }
                }
                while let Some(command) = core.next_command() {
                    match command {
                        Command::Send { attempt, worker, .. } => {
                            prop_assert!(core.open_to_work(worker), "sent where nothing may go");
                            open.push(attempt);
                        }
                        Command::Stage { order, .. } => orders.push(order),
                        Command::Answer { owner, .. } => prop_assert!(answered.insert(owner), "a second answer"),
                        _ => {}
                    }
                }
            }
            for _ in 0..400 {
                now = now + Span::millis(50);
                core.wake(now);
            }
            while let Some(command) = core.next_command() {
                if let Command::Answer { owner, .. } = command {
                    prop_assert!(answered.insert(owner), "a second answer");
                }
            }
            prop_assert_eq!(asked, answered);
            prop_assert_eq!((core.owed(), core.attempts.len(), core.bodies, core.names.len()), (0, 0, 0, 0));
        }
    }

    /// Orders that waited behind a slow connection must not bunch up beyond the ration.
    #[test]
    fn the_ration_holds_when_orders_are_written() {
        let mut core = core();
        for stream in 0..10 {
            call(&mut core, stream, "safe");
        }
        let orders: Vec<OrderId> = (0..9).map(|_| load(&mut core, MS(0))).collect();
        let written = orders.iter().filter(|order| core.may_write_order(MS(1), **order)).count();
        assert_eq!(written, 6, "3 and 30% of 10");
        let late = load(&mut core, MS(5002));
        assert!(core.may_write_order(MS(5002), late), "the window has moved on");
    }

    #[test]
    fn only_functions_that_were_called_are_loaded() {
        let mut core = core();
        let order = load(&mut core, MS(0));
        assert!(!core.may_write_order(MS(0), order));
    }

    /// The window counts from the first attempt that may have run, not from the latest.
    #[test]
    fn repeats_that_queued_keep_to_their_class() {
        let cases = [
            ("keyed", Reached::Out, MS(900), true),
            ("keyed", Reached::Out, MS(960), false),
            ("keyed", Reached::PartlyWritten, MS(2000), true),
            ("safe", Reached::Out, MS(2000), true),
            ("unsafe", Reached::PartlyWritten, MS(2000), true),
        ];
        for (class, reached, at, allowed) in cases {
            let mut core = core();
            let (first, _) = sent(&call(&mut core, 1, class));
            core.written(MS(1), first);
            core.attempt_ended(MS(2), first, broken(reached));
            let commands: Vec<_> = std::iter::from_fn(|| core.next_command()).collect();
            assert_eq!(core.may_write(at, sent(&commands).0), allowed, "{class} {reached:?}");
        }
    }

    /// What we held back ourselves says nothing of the worker: it must not be taken for one that refuses
    /// connections, which nothing goes to for a while.
    #[test]
    fn what_never_left_is_not_held_against_its_worker() {
        let mut core = core();
        let (first, worker) = sent(&call(&mut core, 1, "safe"));
        core.attempt_held(MS(1), first);
        let (again, at) = sent(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
        assert_eq!(at, worker, "the function's home still");
        core.attempt_ended(MS(2), again, broken(Reached::NotSent));
        let (_, at) = sent(&std::iter::from_fn(|| core.next_command()).collect::<Vec<_>>());
        assert_ne!(at, worker, "it refused a connection");
    }

    /// A new configuration brings other rules: they bind whoever comes after it, and nobody who came before.
    #[test]
    fn calls_keep_the_class_in_which_they_were_taken() {
        let retuned = SITE.replace("retryable", "fragile").replace("\"mostTries\": 9", "\"mostTries\": 1");
        let retuned = retuned.replace("keyed", "other");
        let fails = |core: &mut Core, stream, attempt| {
            core.written(MS(1), attempt);
            core.attempt_ended(MS(2), attempt, broken(Reached::Out));
            let commands: Vec<_> = std::iter::from_fn(|| core.next_command()).collect();
            let answer = |c: &Command| matches!(c, Command::Answer { owner, .. } if owner.stream == stream);
            (commands.iter().any(answer), commands)
        };
        let mut core = core();
        let (before, _) = sent(&call(&mut core, 1, "safe"));
        let (keyed, _) = sent(&call(&mut core, 2, "keyed"));
        core.replace_site(MS(0), site(&retuned));
        let (after, _) = sent(&call(&mut core, 3, "safe"));
        assert!(matches!(
            &call(&mut core, 4, "keyed")[..],
            [Command::Answer { answer, .. }] if matches!(answer.verdict, Verdict::Refused { .. })
        ));
        assert!(fails(&mut core, 3, after).0, "unsafe, and one attempt");
        let (answered, commands) = fails(&mut core, 1, before);
        assert!(!answered && core.may_write(MS(3), sent(&commands).0), "safe, and more attempts");
        let (answered, commands) = fails(&mut core, 2, keyed);
        assert!(!answered && core.may_write(MS(3), sent(&commands).0), "inside its window");
        // The places are used again: configurations that come and go leave nothing behind.
        let again = sent(&commands).0;
        core.attempt_ended(MS(4), again, Ok(Reply::Ok(vec![])));
        for round in 0..20 {
            core.replace_site(MS(5), site(if round % 2 == 0 { SITE } else { &retuned }));
        }
        assert!(core.site.classes.len() <= 7, "{:?}", core.site.classes);
        let figures = core.figures();
        assert_eq!(figures.classes["keyed"].answered, 1, "a dropped class keeps its counts");
        assert!(figures.classes.contains_key("other"));
    }

    #[test]
    fn lines_that_clients_cause_are_bounded() {
        let mut core = core();
        let lines: Vec<usize> =
            [0, 1_000, 1_500].map(|ms| (0..25).filter(|_| core.may_log(MS(ms))).count()).to_vec();
        assert_eq!((lines, core.counters().unlogged), (vec![10, 10, 0], 55));
    }

    /// Nothing that goes wrong in the module may leave a call without an answer.
    #[test]
    fn a_call_that_the_module_has_lost_is_failed_after_its_deadline() {
        let mut core = core();
        call(&mut core, 1, "safe");
        core.balancer = Balancer::new(core.site.settings.clone(), 1);
        core.wake(MS(3019));
        assert_eq!(core.owed(), 1);
        core.wake(MS(3021));
        let answers =
            |c: &Command| matches!(c, Command::Answer { answer, .. } if answer.verdict == Verdict::Failed);
        assert_eq!(std::iter::from_fn(|| core.next_command()).filter(answers).count(), 1);
        assert_eq!((core.owed(), core.counters().overdue), (0, 1));
    }

    #[test]
    fn a_call_has_one_answer_whatever_still_comes() {
        let mut core = core();
        let (first, worker) = sent(&call(&mut core, 1, "safe"));
        core.written(MS(1), first);
        core.wake(MS(2999));
        let answers = |core: &mut Core| {
            std::iter::from_fn(|| core.next_command()).filter(|c| matches!(c, Command::Answer { .. })).count()
        };
        assert_eq!(answers(&mut core), 1, "at its end");
        core.attempt_ended(MS(3000), first, Ok(Reply::Ok(vec![])));
        core.members(MS(3000), ListKind::Delta, vec![Member { worker, ..Member::default() }]);
        core.wake(MS(9000));
        assert_eq!((answers(&mut core), core.owed()), (0, 0));
        let commands = call(&mut core, 2, "no such class");
        assert!(
            matches!(&commands[..], [Command::Answer { answer, .. }] if answer.verdict == Verdict::Failed)
        );
    }
}
