//! Clients of the binary front that call at a fixed rate whatever the outcomes (open loop), and the outcome of each
//! call.

use super::wire::NonBlockingStream;
use super::{MILLISECOND, Moment, SECOND};
use crate::stand_ins::{self, frame};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};

/// Open requests per connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Time beyond the client's deadline in which an answer may still arrive, in nanoseconds.
const ANSWER_SLACK: u64 = 5 * SECOND;
/// A request sent less than this long before its connection closes is sent again, once; in nanoseconds.
const CLOSE_RACE_WINDOW: u64 = 50 * MILLISECOND;
/// Connections without an open request are closed after this time, in nanoseconds.
const IDLE_TIMEOUT: u64 = 4 * SECOND;

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// Served.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// No answer, and the scheduler was killed, stopped or unreachable in the meantime.
    Lost,
    /// No answer, although the scheduler was available all the time.
    Unanswered,
    /// The client cancelled the call or closed its connection.
    ClientGone,
}

/// A finished call.
#[derive(Clone, Debug)]
pub struct FinishedCall {
    /// The call's id.
    pub id: u64,
    /// Index of the scheduler.
    pub scheduler: usize,
    /// Index of the class.
    pub class: usize,
    /// When it was sent.
    pub sent: Moment,
    /// Time until the outcome, in nanoseconds.
    pub latency: u64,
    /// The outcome.
    pub outcome: CallOutcome,
}

/// A call that a client makes.
#[derive(Clone, Debug)]
pub struct Call {
    /// The call's id.
    pub id: u64,
    /// Name of the function.
    pub function: String,
    /// Index of the class.
    pub class: usize,
    sent: Moment,
    resent: bool,
    /// How often the call was refused before.
    refusals: u32,
}

/// Name of a function; function 0 is the most popular one.
pub fn function_name(n: usize) -> String {
    format!("{:016x}", 0x7f3a_9c21_0000_0000 + n as u64)
}

/// Names of the classes.
pub const CLASS_NAMES: [&str; 3] = ["practice-check", "credit-submit", "exam-final"];
/// Index of the class of calls that must not run twice.
pub const FRAGILE_CLASS: usize = 2;

struct Connection {
    scheduler: usize,
    socket: NonBlockingStream,
    next_stream: u32,
    open: BTreeMap<u32, Call>,
    /// Streams of calls that the client gave up; an answer may already be under way.
    abandoned: BTreeSet<u32>,
    /// No new calls are sent on it: the scheduler asked clients to leave, or the connection is no longer usable.
    leaving: bool,
    last_used: Moment,
}

/// All clients.
pub struct Clients {
    connections: Vec<Connection>,
    next_id: u64,
    next_call_at: Moment,
    /// Calls per second over all clients.
    pub rate: f64,
    /// How often a client retries at once a call that is refused.
    max_retries: u32,
    /// Fraction of the calls that must not run twice.
    pub fragile: f64,
    /// How long a client waits for its answer, in milliseconds.
    pub allow_ms: u64,
    /// Schedulers that are shutting down and whose clients keep using their open connections until those end.
    pub persistent: BTreeSet<usize>,
    to_retry: Vec<Call>,
    weights: Vec<f64>,
    /// Calls finished since the caller last drained this list.
    pub finished: Vec<FinishedCall>,
    /// Duplicate answers, and bodies that no worker produced.
    pub unexpected: Vec<String>,
}

fn request(call: &Call, allow_ms: u64) -> Vec<u8> {
    let (reference, allow) =
        (format!("{:016x}", call.id << 1 | u64::from(call.resent)), allow_ms.to_string());
    let key = format!("{:032x}", call.id);
    let list = [
        ("service", CLASS_NAMES[call.class]),
        ("ref", &reference),
        ("allow", &allow),
        ("lookup", &call.function),
        ("replay", &key),
        ("spec", "memory_mb:256;lanes:2;load_ms:300"),
    ];
    stand_ins::request(&list, &call_body(call.id))
}

fn call_body(id: u64) -> Vec<u8> {
    format!("call {id}").into_bytes()
}

/// Parses an answer's payload into its code and its body.
fn parse_answer(payload: &[u8]) -> Option<(u8, &[u8])> {
    let (code, mut rest) = payload.split_first()?;
    let (count, after) = rest.split_first()?;
    rest = after;
    for _ in 0..*count {
        let name = usize::from(*rest.first()?);
        let size = rest.get(1 + name..3 + name)?;
        let size = usize::from(u16::from_be_bytes(size.try_into().ok()?));
        rest = rest.get(3 + name + size..)?;
    }
    Some((*code, rest))
}

impl Clients {
    /// Creates clients that call functions with a Zipf distribution of popularity.
    pub fn new(rate: f64, max_retries: u32, functions: usize) -> Clients {
        let weights = (1..=functions).map(|n| 1.0 / n as f64).collect();
        let (connections, to_retry, finished, unexpected) = Default::default();
        let persistent = BTreeSet::new();
        let (fragile, allow_ms) = (0.0, 3_000);
        Clients {
            connections,
            next_id: 1,
            next_call_at: 0,
            rate,
            max_retries,
            fragile,
            allow_ms,
            persistent,
            to_retry,
            weights,
            finished,
            unexpected,
        }
    }

    fn draw_call(&mut self, now: Moment, rng: &mut SmallRng) -> Call {
        let mut left = rng.random_range(0.0..self.weights.iter().sum());
        let mut function = 0;
        while function + 1 < self.weights.len() && left > self.weights[function] {
            left -= self.weights[function];
            function += 1;
        }
        let fragile = self.fragile > 0.0 && rng.random_bool(self.fragile);
        let class = if fragile { FRAGILE_CLASS } else { usize::from(rng.random_bool(0.3)) };
        let id = self.next_id;
        self.next_id += 1;
        Call { id, function: self::function_name(function), class, sent: now, resent: false, refusals: 0 }
    }

    /// Makes the calls that are due, each at a random scheduler of `at`, and returns them.
    pub fn make_calls(
        &mut self,
        now: Moment,
        at: &[(usize, SocketAddr)],
        rng: &mut SmallRng,
    ) -> Vec<(usize, Call)> {
        let mut made = vec![];
        for call in std::mem::take(&mut self.to_retry) {
            let call =
                Call { id: self.next_id, sent: now, resent: false, refusals: call.refusals + 1, ..call };
            self.next_id += 1;
            made.extend(self.send_to_any(now, at, call, rng));
        }
        // Calls that were due while no client was to call are skipped.
        self.next_call_at = self.next_call_at.max(now.saturating_sub(SECOND / 10));
        while self.next_call_at <= now && self.rate > 0.0 {
            let unit: f64 = rng.random_range(f64::EPSILON..1.0);
            self.next_call_at += (-unit.ln() / self.rate * SECOND as f64) as u64;
            let call = self.draw_call(now, rng);
            made.extend(self.send_to_any(now, at, call, rng));
        }
        made
    }

    /// Sends a call to a random scheduler of `at` and returns which one; `None` if there is none.
    fn send_to_any(
        &mut self,
        now: Moment,
        at: &[(usize, SocketAddr)],
        call: Call,
        rng: &mut SmallRng,
    ) -> Option<(usize, Call)> {
        if at.is_empty() {
            return None;
        }
        let (scheduler, address) = at[rng.random_range(0..at.len())];
        self.send(now, scheduler, address, call.clone());
        Some((scheduler, call))
    }

    fn send(&mut self, now: Moment, scheduler: usize, address: SocketAddr, call: Call) {
        let persists = self.persistent.contains(&scheduler);
        let usable = |c: &Connection| {
            c.scheduler == scheduler && (persists || !c.leaving) && c.open.len() < MAX_OPEN_REQUESTS
        };
        let found = match self.connections.iter().position(usable) {
            Some(found) => found,
            // Its connections are closed or full, and such a client calls elsewhere.
            None if persists => return self.finish_call(now, scheduler, call, CallOutcome::Lost),
            None => {
                let Ok(socket) = TcpStream::connect(address).and_then(NonBlockingStream::new) else {
                    return self.finish_call(now, scheduler, call, CallOutcome::Lost);
                };
                let (open, abandoned) = Default::default();
                let connection = Connection {
                    scheduler,
                    socket,
                    next_stream: 1,
                    open,
                    abandoned,
                    leaving: false,
                    last_used: now,
                };
                self.connections.push(connection);
                self.connections.len() - 1
            }
        };
        let connection = &mut self.connections[found];
        connection.socket.write_buffer.extend(frame(
            0,
            connection.next_stream,
            &request(&call, self.allow_ms),
        ));
        connection.open.insert(connection.next_stream, call);
        connection.next_stream += 1;
        connection.last_used = now;
    }

    fn finish_call(&mut self, now: Moment, scheduler: usize, call: Call, outcome: CallOutcome) {
        let latency = now - call.sent;
        self.finished.push(FinishedCall {
            id: call.id,
            scheduler,
            class: call.class,
            sent: call.sent,
            latency,
            outcome,
        });
    }

    /// Cancels some of the calls open at a scheduler and closes some of its connections with open calls. Returns the
    /// ids of the calls given up.
    pub fn cancel_some(&mut self, now: Moment, scheduler: usize, rng: &mut SmallRng) -> Vec<u64> {
        let mut cancelled_ids = vec![];
        let mut connections = std::mem::take(&mut self.connections);
        connections.retain_mut(|connection| {
            if connection.scheduler != scheduler || connection.open.is_empty() {
                return true;
            }
            let closes = rng.random_bool(0.3);
            let (cancelled, kept) = std::mem::take(&mut connection.open)
                .into_iter()
                .partition(|_| closes || rng.random_bool(0.3));
            connection.open = kept;
            let cancelled: BTreeMap<u32, Call> = cancelled;
            for (stream, call) in cancelled {
                cancelled_ids.push(call.id);
                self.finish_call(now, scheduler, call, CallOutcome::ClientGone);
                connection.abandoned.insert(stream);
                connection.socket.write_buffer.extend(frame(2, stream, &[]));
            }
            // The cancellations are written before the close, which would otherwise cut off a frame.
            !closes || !connection.socket.write()
        });
        self.connections.append(&mut connections);
        cancelled_ids
    }

    /// Whether clients have a connection to a scheduler.
    pub fn is_connected(&self, scheduler: usize) -> bool {
        self.connections.iter().any(|connection| connection.scheduler == scheduler)
    }

    /// Number of calls that wait for an answer.
    pub fn open_calls(&self) -> usize {
        self.connections.iter().map(|connection| connection.open.len()).sum()
    }

    /// Reads and writes without blocking. `excused` says whether a scheduler may now leave a call sent at that time
    /// without an answer.
    pub fn poll(
        &mut self,
        now: Moment,
        excused: impl Fn(usize, Moment, Moment) -> bool,
        address: impl Fn(usize) -> SocketAddr,
    ) {
        let mut again = vec![];
        let mut connections = std::mem::take(&mut self.connections);
        let allow = self.allow_ms * MILLISECOND;
        connections.retain_mut(|connection| {
            let persists = self.persistent.contains(&connection.scheduler);
            let alive = connection.socket.write() && connection.socket.read();
            self.read_frames(now, connection);
            let scheduler = connection.scheduler;
            let overdue: Vec<u32> = connection
                .open
                .iter()
                .filter(|(_, c)| c.sent + allow + ANSWER_SLACK <= now)
                .map(|(n, _)| *n)
                .collect();
            for stream in overdue {
                let Some(call) = connection.open.remove(&stream) else { continue };
                let outcome = if excused(scheduler, call.sent, now) {
                    CallOutcome::Lost
                } else {
                    CallOutcome::Unanswered
                };
                self.finish_call(now, scheduler, call, outcome);
                // The client no longer waits.
                connection.abandoned.insert(stream);
                connection.socket.write_buffer.extend(frame(2, stream, &[]));
            }
            if alive {
                let may_close = connection.leaving && !persists;
                let idle =
                    connection.open.is_empty() && (may_close || connection.last_used + IDLE_TIMEOUT <= now);
                return !idle;
            }
            for (_, call) in std::mem::take(&mut connection.open) {
                let crossed = call.sent + CLOSE_RACE_WINDOW > now && !call.resent;
                match excused(scheduler, call.sent, now) {
                    // The client calls another scheduler instead.
                    false if crossed && persists => self.finish_call(now, scheduler, call, CallOutcome::Lost),
                    false if crossed => again.push((scheduler, Call { resent: true, ..call })),
                    true => self.finish_call(now, scheduler, call, CallOutcome::Lost),
                    false => self.finish_call(now, scheduler, call, CallOutcome::Unanswered),
                }
            }
            false
        });
        self.connections.append(&mut connections);
        for (scheduler, call) in again {
            self.send(now, scheduler, address(scheduler), call);
        }
    }

    fn read_frames(&mut self, now: Moment, connection: &mut Connection) {
        while let Some(head) = connection.socket.read_buffer.first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            let Some(rest) = connection.socket.read_buffer.get(4..4 + length) else { return };
            let (kind, stream) = (rest[0], u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]));
            let payload = rest[5..].to_vec();
            connection.socket.read_buffer.drain(..4 + length);
            match kind {
                1 => match (connection.open.remove(&stream), parse_answer(&payload)) {
                    (Some(call), Some((code, got))) => {
                        let outcome = match code {
                            79 => CallOutcome::Served,
                            66 => CallOutcome::Refused,
                            _ => CallOutcome::Failed,
                        };
                        if outcome == CallOutcome::Served && got != call_body(call.id) {
                            self.unexpected.push(format!(
                                "call {}: served with a body that no worker produced",
                                call.id
                            ));
                        }
                        if outcome == CallOutcome::Refused && call.refusals < self.max_retries {
                            self.to_retry.push(call.clone());
                        }
                        self.finish_call(now, connection.scheduler, call, outcome);
                    }
                    (None, _) if connection.abandoned.remove(&stream) => {}
                    (None, _) if stream < connection.next_stream && stream > 0 => {
                        self.unexpected.push(format!(
                            "scheduler {}: a second answer on stream {stream}",
                            connection.scheduler
                        ));
                    }
                    _ => self
                        .unexpected
                        .push(format!("scheduler {}: an unexpected answer", connection.scheduler)),
                },
                9 => connection.leaving = true,
                _ => {}
            }
        }
    }
}
