//! The state machine of a process in an upgrade, without I/O.

use super::message::{Message, TransferredState, VERSION};
use crate::interface::{Duration, Timestamp};
use std::fmt;

/// Time within which a new process must receive the old one's state; otherwise it fails. The platform waits 6 s for the
/// new process to serve.
pub const STATE_TIMEOUT: Duration = Duration::millis(4_000);
/// Pause before a new process connects to the old one again.
pub(super) const RETRY_PAUSE: Duration = Duration::millis(50);

/// An input of a [`HandoverState`]. A peer is identified by the id of its connection.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverInput {
    /// This process has started, with a listener that other processes may share.
    Started,
    /// No other process runs: there is no socket, or no process listens on it.
    NoPeer,
    /// Another process listens, but no connection could be established.
    ConnectFailed,
    /// A connection that this process opened is established.
    Connected(u64),
    /// A peer has sent a message.
    Received(u64, Message),
    /// A peer has sent data that cannot be decoded.
    Malformed(u64),
    /// A connection has ended.
    Disconnected(u64),
    /// An operator has cordoned or uncordoned a worker here.
    CordonChanged {
        /// The worker's id.
        worker: u64,
        /// Whether it is cordoned now.
        cordoned: bool,
    },
    /// This process has received SIGTERM.
    ShutdownRequested,
    /// The time of [`HandoverState::next_timeout`] has been reached.
    Timeout,
}

/// An action requested by a [`HandoverState`]. Actions are to be carried out in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverOutput {
    /// Connect to the old process.
    Connect,
    /// Send a message to a peer.
    Send(u64, Message),
    /// Send the state of this process to a peer.
    SendState(u64),
    /// Take over the old process's state.
    TakeOver(Box<TransferredState>),
    /// Start serving: open the listener, and let the next process connect.
    Serve,
    /// Start (`true`) or stop (`false`) accepting clients from the listener.
    SetListening(bool),
    /// An operator has cordoned or uncordoned a worker at a peer.
    CordonChanged {
        /// The worker's id.
        worker: u64,
        /// Whether it is cordoned now.
        cordoned: bool,
    },
    /// The number of processes that now share the configured limits.
    SetProcessCount(usize),
    /// Close the connection to a peer.
    Disconnect(u64, DisconnectReason),
    /// Give up starting.
    Fail(HandoverError),
}

/// Why a new process cannot take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverError {
    /// The old process has sent data that cannot be decoded.
    Unreadable,
    /// The old process has not sent its state in time.
    NoState,
    /// The old process is of another version, or belongs to another scheduler.
    OtherScheduler,
}

impl fmt::Display for HandoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HandoverError::Unreadable => "the old process has sent a message that cannot be read",
            HandoverError::NoState => "the old process has not sent its state in time",
            HandoverError::OtherScheduler => "the old process has another version or name",
        })
    }
}

impl std::error::Error for HandoverError {}

/// Why a connection to a peer is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// It has sent data that cannot be decoded.
    Unreadable,
    /// It is of another version, or belongs to another scheduler.
    OtherScheduler,
    /// Another new process is taking over.
    Occupied,
    /// Its message is not allowed in the present phase.
    Unexpected,
}

impl DisconnectReason {
    /// The reason as it is written to log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            DisconnectReason::Unreadable => "unreadable",
            DisconnectReason::OtherScheduler => "another version or name",
            DisconnectReason::Occupied => "another new process is taking over",
            DisconnectReason::Unexpected => "unexpected message",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Has not started to connect to another process, or need not do so.
    NotStarted,
    /// Waits for the state of the old process.
    AwaitingState {
        deadline: Timestamp,
        retry_at: Option<Timestamp>,
    },
    Serving,
    Failed,
}

/// The state of one process in an upgrade: whether it serves, and the processes before and after it.
#[derive(Clone, Debug)]
pub struct HandoverState {
    name: String,
    phase: Phase,
    /// The connection to the process before this one.
    older: Option<u64>,
    /// The connection to the process after this one.
    newer: Option<u64>,
    /// Whether this process has left new clients to the newer one.
    yielded: bool,
    shutting_down: bool,
}

impl HandoverState {
    /// A process that has just started; `name` is the scheduler's name.
    pub fn new(name: &str) -> HandoverState {
        let name = name.to_owned();
        HandoverState {
            name,
            phase: Phase::NotStarted,
            older: None,
            newer: None,
            yielded: false,
            shutting_down: false,
        }
    }

    /// Whether this process may accept clients.
    pub fn serves(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether an older process is connected, which may still accept clients.
    pub fn has_older_process(&self) -> bool {
        self.older.is_some()
    }

    /// Whether this process has sent its state to a newer one that is still connected.
    pub fn state_was_sent(&self) -> bool {
        self.newer.is_some()
    }

    /// Whether this process has left new clients to a newer one.
    pub fn yielded(&self) -> bool {
        self.yielded
    }

    /// When [`HandoverInput::Timeout`] is to be passed to [`HandoverState::handle`].
    pub fn next_timeout(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::AwaitingState { deadline, retry_at } => {
                Some(retry_at.map_or(deadline, |at| at.min(deadline)))
            }
            _ => None,
        }
    }

    /// Handles an input and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, input: HandoverInput) -> Vec<HandoverOutput> {
        match input {
            HandoverInput::Started => {
                self.phase = Phase::AwaitingState { deadline: now + STATE_TIMEOUT, retry_at: None };
                vec![HandoverOutput::Connect]
            }
            HandoverInput::NoPeer if self.awaits_state() => self.serve(vec![]),
            HandoverInput::Connected(peer) if self.awaits_state() => {
                self.older = Some(peer);
                vec![HandoverOutput::Send(peer, Message::Hello { version: VERSION, name: self.name.clone() })]
            }
            HandoverInput::ConnectFailed => {
                if let Phase::AwaitingState { retry_at, .. } = &mut self.phase {
                    *retry_at = Some(now + RETRY_PAUSE);
                }
                vec![]
            }
            HandoverInput::NoPeer | HandoverInput::Connected(_) => vec![],
            HandoverInput::Received(peer, message) => self.receive(peer, message),
            // Its cordons would be lost, and it still serves.
            HandoverInput::Malformed(peer) if self.awaits_state() && self.older == Some(peer) => {
                self.fail(HandoverError::Unreadable)
            }
            HandoverInput::Malformed(peer) => {
                vec![HandoverOutput::Disconnect(peer, DisconnectReason::Unreadable)]
            }
            HandoverInput::Disconnected(peer) => self.disconnected(now, peer),
            HandoverInput::CordonChanged { worker, cordoned } => {
                self.relay(None, &Message::CordonChanged { worker, cordoned, at: now.0 })
            }
            HandoverInput::ShutdownRequested => {
                self.shutting_down = true;
                self.stop_listening()
            }
            HandoverInput::Timeout => self.on_timeout(now),
        }
    }

    fn on_timeout(&mut self, now: Timestamp) -> Vec<HandoverOutput> {
        match self.phase {
            Phase::AwaitingState { deadline, .. } if deadline <= now => self.fail(HandoverError::NoState),
            Phase::AwaitingState { deadline, retry_at: Some(at) } if at <= now => {
                self.phase = Phase::AwaitingState { deadline, retry_at: None };
                vec![HandoverOutput::Connect]
            }
            _ => vec![],
        }
    }

    fn awaits_state(&self) -> bool {
        matches!(self.phase, Phase::AwaitingState { .. })
    }

    fn fail(&mut self, error: HandoverError) -> Vec<HandoverOutput> {
        self.phase = Phase::Failed;
        vec![HandoverOutput::Fail(error)]
    }

    fn process_count(&self) -> HandoverOutput {
        HandoverOutput::SetProcessCount(
            1 + usize::from(self.older.is_some()) + usize::from(self.newer.is_some()),
        )
    }

    fn serve(&mut self, mut outputs: Vec<HandoverOutput>) -> Vec<HandoverOutput> {
        self.phase = Phase::Serving;
        outputs.extend([self.process_count(), HandoverOutput::Serve]);
        outputs.extend(self.older.map(|older| HandoverOutput::Send(older, Message::Serving)));
        outputs
    }

    /// Stops accepting clients if there is a newer process, which accepts them. The listener itself stays open.
    fn stop_listening(&mut self) -> Vec<HandoverOutput> {
        if self.newer.is_none() || std::mem::replace(&mut self.yielded, true) {
            return vec![];
        }
        vec![HandoverOutput::SetListening(false)]
    }

    /// Forwards the change of a cordon to the adjacent processes except the one that it came from.
    fn relay(&self, from: Option<u64>, message: &Message) -> Vec<HandoverOutput> {
        let others = self.older.into_iter().chain(self.newer).filter(|peer| Some(*peer) != from);
        others.map(|peer| HandoverOutput::Send(peer, message.clone())).collect()
    }

    fn receive(&mut self, peer: u64, message: Message) -> Vec<HandoverOutput> {
        let older = self.older == Some(peer);
        let newer = self.newer == Some(peer);
        match message {
            Message::Hello { version, name } if self.serves() && !older && !newer => {
                self.receive_hello(peer, version, &name)
            }
            Message::State(state) if self.awaits_state() && older => {
                if state.version != VERSION || state.name != self.name {
                    return self.fail(HandoverError::OtherScheduler);
                }
                self.serve(vec![HandoverOutput::TakeOver(state)])
            }
            Message::Serving if newer => self.stop_listening(),
            Message::CordonChanged { worker, cordoned, at } if (older || newer) && self.serves() => {
                let mut outputs = vec![HandoverOutput::CordonChanged { worker, cordoned }];
                outputs.extend(self.relay(Some(peer), &Message::CordonChanged { worker, cordoned, at }));
                outputs
            }
            _ => vec![HandoverOutput::Disconnect(peer, DisconnectReason::Unexpected)],
        }
    }

    fn receive_hello(&mut self, peer: u64, version: u32, name: &str) -> Vec<HandoverOutput> {
        if version != VERSION || name != self.name {
            return vec![HandoverOutput::Disconnect(peer, DisconnectReason::OtherScheduler)];
        }
        // Only one process takes over at a time. The rejected one retries, and connects to the process that serves by
        // then.
        if self.newer.is_some() {
            return vec![HandoverOutput::Disconnect(peer, DisconnectReason::Occupied)];
        }
        self.newer = Some(peer);
        let mut outputs = vec![self.process_count(), HandoverOutput::SendState(peer)];
        if self.shutting_down {
            outputs.extend(self.stop_listening());
        }
        outputs
    }

    fn disconnected(&mut self, now: Timestamp, peer: u64) -> Vec<HandoverOutput> {
        if self.older == Some(peer) {
            self.older = None;
            // Either it was killed or only the connection was lost. Connecting again tells: a killed process no
            // longer listens.
            if let Phase::AwaitingState { deadline, .. } = self.phase {
                self.phase = Phase::AwaitingState { deadline, retry_at: Some(now + RETRY_PAUSE) };
                return vec![];
            }
            return vec![self.process_count()];
        }
        if self.newer == Some(peer) {
            self.newer = None;
            let reopen = std::mem::take(&mut self.yielded).then_some(HandoverOutput::SetListening(true));
            return reopen.into_iter().chain([self.process_count()]).collect();
        }
        vec![]
    }
}
