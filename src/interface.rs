//! What goes in and out of the decisions: settings, events, actions. No decisions.

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
    /// Finishes what it has; nothing new.
    Draining,
    /// Taken away.
    Gone,
}

/// A line of the list of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// Which worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell: workers that drop repeats of the same keys.
    pub cell: CellId,
    /// Its state.
    pub state: State,
    /// Relative size.
    pub weight: f64,
    /// When it last started; absent means long ago.
    pub started: Option<Timestamp>,
    /// What machine it is.
    pub kind: KindId,
}

/// How a list update relates to the list already held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last held, perhaps stale.
    Cached,
    /// A request failed; nothing changes.
    Failed,
}

/// What becomes of the source of the list of workers, which may be out of reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// From now on the list follows a source that changes it. Before that, and where there is none, nobody knows
    /// more than the list.
    Followed {
        /// Workers that are not of that list.
        fixed: BTreeSet<WorkerId>,
    },
    /// Nothing changes the list any more but who gives it.
    Fixed,
    /// The source was heard: the list was complete at that time.
    Received {
        /// When.
        at: Timestamp,
    },
    /// A domain confirmed the list: its publisher's discovery was heard at that time, or earlier by no more than
    /// [`DISCOVERY_HEARTBEAT_ALLOWANCE`].
    Confirmed {
        /// When.
        at: Timestamp,
    },
    /// It was asked anew and has not answered yet.
    Resubscribed,
}

/// Tasks of a whole fleet; one scheduler at a time does each part of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum Task {
    /// Health checks of workers.
    Probe,
    /// Renewing the gold instances of schedulers that are gone.
    Renew,
    /// Deciding how much of each class all schedulers admit; one part, where there is one.
    Shed,
    /// Publishing the list of workers and the classes to all of a domain; one part, where there is one.
    Publish,
}

impl Task {
    /// All of them, in the order in which leases are numbered: a new one comes last.
    pub const ALL: [Task; 4] = [Task::Probe, Task::Renew, Task::Shed, Task::Publish];

    /// Those that are cut into parts.
    pub const PARTITIONED: [Task; 2] = [Task::Probe, Task::Renew];

    /// As operators read it.
    pub fn name(self) -> &'static str {
        match self {
            Task::Probe => "probe",
            Task::Renew => "renew",
            Task::Shed => "shed",
            Task::Publish => "publish",
        }
    }
}

/// What one scheduler does for all of its fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    /// Parts into which each task is divided; 0 where there is no fleet.
    pub parts: u16,
    /// The parts that this scheduler has now.
    pub own: BTreeSet<(Task, u16)>,
    /// Indices of schedulers that are gone.
    pub gone: BTreeSet<u32>,
}

impl Shares {
    /// Largest number of parts of a task.
    pub const MAX_PARTS: u16 = 64;

    /// The part of [`Task::Renew`] under which this scheduler renews the gold instances of another that is gone.
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
    /// Rejected unseen.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection was made; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The function is not loaded there; never ran.
    Miss,
}

impl std::fmt::Debug for Status {
    /// The word under which log lines show the outcome.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Status::Ok => "Ok",
            Status::Error => "Error",
            Status::Full => "Full",
            Status::Timeout => "Timeout",
            Status::ConnectFailed => "ConnectFailed",
            Status::Reset => "Reset",
            Status::Cancelled => "Cancelled",
            // The word that log readers know.
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

/// What an answer says of the instance that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceNote {
    /// Nothing.
    Untold,
    /// An instance was warm.
    Stood,
    /// The request began a load.
    BeganLoad,
    /// It waited for a load begun before.
    WaitedForLoad,
    /// The load failed.
    LoadFailed,
}

/// A request that has come in.
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
    /// Usual time of a load, where known.
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
    /// The request has ended with it, or before.
    pub finished: bool,
    /// What is said of the instance.
    pub instance: InstanceNote,
    /// Requests of the same function there when this one came.
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

/// What happens to a scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the list of workers.
    Members(ListKind, Vec<Member>),
    /// A request has come in; it must get one final answer.
    Request(Request),
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has left; no answer is needed.
    ClientGone(RequestId),
    /// A load request has ended.
    Loaded(Loaded),
    /// A health check has ended: [`Status::Ok`] if the worker answered it, with its load report as listed in
    /// [`Settings::gauges`]; values that it does not report are NaN, and the report may be empty.
    Probed(WorkerId, Status, Vec<f32>),
    /// A request of this function, with the memory of one instance, is likely to come soon.
    Wanted(FunctionId, f64),
    /// Another scheduler has checked a worker, at that time at the latest: whether it answered.
    PeerHealth(WorkerId, bool, Timestamp),
    /// The parts of the fleet's tasks that this scheduler has from now on.
    Shares(Shares),
    /// What became of the source of the list of workers.
    ListSource(ListSource),
    /// A time asked for by [`Action::SetTimer`] has come.
    Timeout,
}

/// What the scheduler is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; attempts of a request are numbered from 0 in the order of these.
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
    /// Final answer: failed; it may or may not have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Keep at least `instances` instances warm there.
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
    /// Give back the idle instances there.
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
        /// The part of [`Task::Probe`] as which it is sent for all of the fleet, if it is.
        part: Option<u16>,
    },
    /// Send [`Event::Timeout`] after this time.
    SetTimer {
        /// How long from now.
        after: Duration,
    },
    /// Subscribe to updates of the list of workers.
    Subscribe,
}
