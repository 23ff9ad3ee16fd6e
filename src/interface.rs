//! The policy's inputs and outputs: settings, events and actions. Makes no decisions.

mod ids;
mod settings;

pub use ids::*;
pub use settings::*;
use std::collections::BTreeSet;

/// State of a listed worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// May be sent work.
    #[default]
    Ready,
    /// Finishes the requests that it has and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the list of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// Which worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell: a group of workers that deduplicate each other's keyed requests.
    pub cell: CellId,
    /// Its state.
    pub state: State,
    /// Relative size.
    pub weight: f64,
    /// When it last started; absent means long ago.
    pub started: Option<Timestamp>,
    /// Its kind of machine.
    pub kind: KindId,
}

/// How a list update relates to the list already held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last known, possibly stale.
    Cached,
    /// A request failed; nothing changes.
    Failed,
}

/// State of the source of the list of workers, which may be unreachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// From now on the list follows a source that changes it. Until then, and without a source, the list itself is
    /// the best information there is.
    Followed {
        /// Workers that are in the list but not managed by the source.
        fixed: BTreeSet<WorkerId>,
    },
    /// The list has no source any more; it changes only when the caller replaces it.
    Fixed,
    /// A message arrived from the source: the list was complete at that time.
    Received {
        /// When.
        at: Timestamp,
    },
    /// A domain confirmed the list: its publisher received a message from discovery at that time, or earlier by no more
    /// than [`DISCOVERY_HEARTBEAT_ALLOWANCE`].
    Confirmed {
        /// When.
        at: Timestamp,
    },
    /// A new subscription was made, and the source has not answered it yet.
    Resubscribed,
}

/// Tasks done once for a whole fleet; each part of a task is done by one scheduler at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum Task {
    /// Health checks of workers.
    Probe,
    /// Renewing the keep-alives of gold functions for schedulers that are gone.
    Renew,
    /// Deciding how much of each class all schedulers admit; has at most one part.
    Shed,
    /// Publishing the list of workers and the classes to a whole domain; has at most one part.
    Publish,
}

impl Task {
    /// All tasks. Lease numbers depend on this order, so a new task is appended.
    pub const ALL: [Task; 4] = [Task::Probe, Task::Renew, Task::Shed, Task::Publish];

    /// Tasks that are divided into several parts.
    pub const PARTITIONED: [Task; 2] = [Task::Probe, Task::Renew];

    /// Name in log lines and operator output.
    pub fn name(self) -> &'static str {
        match self {
            Task::Probe => "probe",
            Task::Renew => "renew",
            Task::Shed => "shed",
            Task::Publish => "publish",
        }
    }
}

/// The parts of the fleet's tasks that one scheduler holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    /// Parts into which each task is divided; 0 where there is no fleet.
    pub parts: u16,
    /// The parts that this scheduler holds now.
    pub own: BTreeSet<(Task, u16)>,
    /// Indices of schedulers that are gone.
    pub gone: BTreeSet<u32>,
}

impl Shares {
    /// Largest number of parts of a task; lease numbers are computed with it.
    pub const MAX_PARTS: u16 = 64;

    /// The part of [`Task::Renew`] under which this scheduler stands in for the scheduler of this index. `None` unless
    /// that one is gone and this one holds the part.
    pub fn stand_in_part(&self, index: u32) -> Option<u16> {
        let part = (index % u32::from(self.parts.max(1))) as u16;
        Some(part).filter(|part| self.gone.contains(&index) && self.own.contains(&(Task::Renew, *part)))
    }
}

/// How an attempt, or a load request, ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Served, or the instances are loaded.
    Ok,
    /// The worker failed; the request may have run.
    Error,
    /// Rejected without being run.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection was made; never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// Cancelled; the request may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The function is not loaded there; never ran.
    Miss,
}

impl std::fmt::Debug for Status {
    /// The name of the status in log lines.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Status::Ok => "Ok",
            Status::Error => "Error",
            Status::Full => "Full",
            Status::Timeout => "Timeout",
            Status::ConnectFailed => "ConnectFailed",
            Status::Reset => "Reset",
            Status::Cancelled => "Cancelled",
            // The established name in log lines.
            Status::NotSent => "Moot",
            Status::Miss => "Miss",
        })
    }
}

impl Status {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::NotSent | Status::Miss)
    }
}

/// What an answer reports about the instance that served the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceNote {
    /// Not reported.
    Untold,
    /// A warm instance served it.
    Stood,
    /// The request started a load.
    BeganLoad,
    /// The request waited for a load that was already under way.
    WaitedForLoad,
    /// The load failed.
    LoadFailed,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The function called.
    pub function: FunctionId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// How long until the client gives up waiting.
    pub remaining: Duration,
    /// Memory of one instance.
    pub memory_mb: f64,
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Typical duration of a load, where known.
    pub load_time: Option<Duration>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: u16,
    /// How it ended.
    pub status: Status,
    /// Time since it was sent.
    pub latency: Duration,
    /// Whether the request has its final answer, from this attempt or before it.
    pub finished: bool,
    /// What the answer reports about the instance.
    pub instance: InstanceNote,
    /// Requests of the same function at the worker when this one arrived.
    pub company: u32,
    /// Load report as listed in [`Settings::gauges`]; often empty.
    pub report: Vec<f32>,
}

/// The end of a load request.
#[derive(Clone, Copy, Debug)]
pub struct Loaded {
    /// Where.
    pub worker: WorkerId,
    /// What.
    pub function: FunctionId,
    /// Instances that are loaded.
    pub instances: u32,
    /// How it ended.
    pub status: Status,
    /// Time since the load request.
    pub latency: Duration,
}

/// An input of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the list of workers.
    Members(ListKind, Vec<Member>),
    /// A request has arrived; it must get exactly one final answer.
    Request(Request),
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has disconnected or withdrawn the request; no answer is needed.
    ClientGone(RequestId),
    /// A load request has ended.
    Loaded(Loaded),
    /// A health check has ended: [`Status::Ok`] if the worker answered it, with its load report as listed in
    /// [`Settings::gauges`]; values that it does not report are NaN, and the report may be empty.
    Probed(WorkerId, Status, Vec<f32>),
    /// A request of this function is likely to arrive soon; with the memory of one instance in MB.
    Wanted(FunctionId, f64),
    /// Another scheduler has checked a worker: whether it answered, and the latest time at which that can have been.
    PeerHealth(WorkerId, bool, Timestamp),
    /// The parts of the fleet's tasks that this scheduler holds from now on.
    Shares(Shares),
    /// The state of the source of the list of workers has changed.
    ListSource(ListSource),
    /// A timer set by [`Action::SetTimer`] has expired.
    Timeout,
}

/// An output of the policy; actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; the attempts of a request are numbered from 0 in the order in which they are sent.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        worker: WorkerId,
        /// How long to wait for its answer.
        timeout: Duration,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u16,
    },
    /// Final answer: rejected; the client may retry safely.
    Refuse {
        /// The request.
        id: RequestId,
        /// Retry-After for the client; zero for none.
        wait: Duration,
    },
    /// Final answer: failed; the request may or may not have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Keep at least `instances` instances warm on a worker.
    Load {
        /// Where.
        worker: WorkerId,
        /// What.
        function: FunctionId,
        /// How many instances.
        instances: u8,
        /// The part of [`Task::Renew`] under which it is sent for a scheduler that is gone.
        part: Option<u16>,
    },
    /// Unload the idle instances on a worker.
    Unload {
        /// Where.
        worker: WorkerId,
        /// What.
        function: FunctionId,
    },
    /// Send a health check to a worker.
    Probe {
        /// Which.
        worker: WorkerId,
        /// The part of [`Task::Probe`] under which it is sent for the whole fleet, if it is.
        part: Option<u16>,
    },
    /// Deliver [`Event::Timeout`] after this time.
    SetTimer {
        /// How long from now.
        after: Duration,
    },
    /// Subscribe to updates of the list of workers.
    Subscribe,
}
