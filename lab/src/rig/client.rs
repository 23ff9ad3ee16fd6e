//! Clients that call whatever comes of it (open loop), over the binary front, and what came of each call.

use super::wire::Wire;
use super::{MS, Moment, SECOND};
use crate::stand_ins::{self, frame};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};

/// Open requests that one connection carries.
const OPEN: usize = 32;
/// How much later than that an answer may come on the way.
const SLACK: u64 = 5 * SECOND;
/// A request that crosses a close within this time is sent again, once.
const CROSSED: u64 = 50 * MS;
/// Connections without an open request are closed after this.
const IDLE: u64 = 4 * SECOND;

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Served.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// No answer, and the scheduler was killed, stopped or away meanwhile.
    Lost,
    /// No answer, though its scheduler was there all the time.
    Owed,
    /// Its client cancelled it, or closed its connection.
    Gone,
}

/// A call that has ended.
#[derive(Clone, Debug)]
pub struct Done {
    /// Which call.
    pub id: u64,
    /// At which scheduler.
    pub scheduler: usize,
    /// Its class, by number.
    pub class: usize,
    /// When it was sent.
    pub sent: Moment,
    /// How long it took.
    pub took: u64,
    /// What came of it.
    pub end: End,
}

/// A call that a client makes.
#[derive(Clone, Debug)]
pub struct Call {
    /// Which.
    pub id: u64,
    /// The function's name.
    pub function: String,
    /// The class, by number.
    pub class: usize,
    sent: Moment,
    again: bool,
    /// How often its client was refused before.
    tries: u32,
}

/// The name of a function, the most popular one being 0.
pub fn function(n: usize) -> String {
    format!("{:016x}", 0x7f3a_9c21_0000_0000 + n as u64)
}

/// Names of the classes.
pub const CLASSES: [&str; 3] = ["practice-check", "credit-submit", "exam-final"];
/// The class of calls that must not run twice.
pub const FRAGILE: usize = 2;

struct Connection {
    scheduler: usize,
    wire: Wire,
    next: u32,
    open: BTreeMap<u32, Call>,
    /// Given up by the client: an answer may have crossed that.
    given_up: BTreeSet<u32>,
    /// It was told to leave, or has been told of no use.
    leaves: bool,
    used: Moment,
}

/// All clients.
pub struct Clients {
    connections: Vec<Connection>,
    next: u64,
    due: Moment,
    /// Calls a second, over all.
    pub rate: f64,
    /// How often a client calls again at once when it is refused.
    repeats: u32,
    /// The part of the calls that must not run twice.
    pub fragile: f64,
    /// How long a client waits for its answer.
    pub allow_ms: u64,
    /// Schedulers that are to end and whose clients go on using their open connections until these end.
    pub persistent: BTreeSet<usize>,
    refused: Vec<Call>,
    weights: Vec<f64>,
    /// Calls that have ended since last asked.
    pub done: Vec<Done>,
    /// Second answers, and bodies that no worker made.
    pub odd: Vec<String>,
}

fn request(call: &Call, allow_ms: u64) -> Vec<u8> {
    let (reference, allow) = (format!("{:016x}", call.id << 1 | u64::from(call.again)), allow_ms.to_string());
    let key = format!("{:032x}", call.id);
    let list = [
        ("service", CLASSES[call.class]),
        ("ref", &reference),
        ("allow", &allow),
        ("lookup", &call.function),
        ("replay", &key),
        ("spec", "memory_mb:256;lanes:2;load_ms:300"),
    ];
    stand_ins::request(&list, &body(call.id))
}

fn body(id: u64) -> Vec<u8> {
    format!("call {id}").into_bytes()
}

/// The code and the body of an answer's payload.
fn answer(payload: &[u8]) -> Option<(u8, &[u8])> {
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
    /// Clients that call functions of uneven popularity.
    pub fn new(rate: f64, repeats: u32, functions: usize) -> Clients {
        let weights = (1..=functions).map(|n| 1.0 / n as f64).collect();
        let (connections, refused, done, odd) = Default::default();
        let persistent = BTreeSet::new();
        let (fragile, allow_ms) = (0.0, 3_000);
        Clients {
            connections,
            next: 1,
            due: 0,
            rate,
            repeats,
            fragile,
            allow_ms,
            persistent,
            refused,
            weights,
            done,
            odd,
        }
    }

    fn draw(&mut self, now: Moment, rng: &mut SmallRng) -> Call {
        let mut left = rng.random_range(0.0..self.weights.iter().sum());
        let mut function = 0;
        while function + 1 < self.weights.len() && left > self.weights[function] {
            left -= self.weights[function];
            function += 1;
        }
        let fragile = self.fragile > 0.0 && rng.random_bool(self.fragile);
        let class = if fragile { FRAGILE } else { usize::from(rng.random_bool(0.3)) };
        let id = self.next;
        self.next += 1;
        Call { id, function: self::function(function), class, sent: now, again: false, tries: 0 }
    }

    /// Makes the calls whose time has come, at one of these schedulers each. Returns them.
    pub fn call(
        &mut self,
        now: Moment,
        at: &[(usize, SocketAddr)],
        rng: &mut SmallRng,
    ) -> Vec<(usize, Call)> {
        let mut made = vec![];
        for call in std::mem::take(&mut self.refused) {
            let call = Call { id: self.next, sent: now, again: false, tries: call.tries + 1, ..call };
            self.next += 1;
            made.extend(self.send_to_any(now, at, call, rng));
        }
        // Calls of a time in which nobody was to call are not made up for.
        self.due = self.due.max(now.saturating_sub(SECOND / 10));
        while self.due <= now && self.rate > 0.0 {
            let unit: f64 = rng.random_range(f64::EPSILON..1.0);
            self.due += (-unit.ln() / self.rate * SECOND as f64) as u64;
            let call = self.draw(now, rng);
            made.extend(self.send_to_any(now, at, call, rng));
        }
        made
    }

    /// Sends a call to one of these schedulers, if there is any; which one, and the call.
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
        let (scheduler, place) = at[rng.random_range(0..at.len())];
        self.send(now, scheduler, place, call.clone());
        Some((scheduler, call))
    }

    fn send(&mut self, now: Moment, scheduler: usize, place: SocketAddr, call: Call) {
        let persists = self.persistent.contains(&scheduler);
        let usable =
            |c: &Connection| c.scheduler == scheduler && (persists || !c.leaves) && c.open.len() < OPEN;
        let found = match self.connections.iter().position(usable) {
            Some(found) => found,
            // Their connections are gone, or full: such a client calls elsewhere.
            None if persists => return self.end(now, scheduler, call, End::Lost),
            None => {
                let Ok(wire) = TcpStream::connect(place).and_then(Wire::new) else {
                    return self.end(now, scheduler, call, End::Lost);
                };
                let (open, given_up) = Default::default();
                let connection =
                    Connection { scheduler, wire, next: 1, open, given_up, leaves: false, used: now };
                self.connections.push(connection);
                self.connections.len() - 1
            }
        };
        let connection = &mut self.connections[found];
        connection.wire.outbox.extend(frame(0, connection.next, &request(&call, self.allow_ms)));
        connection.open.insert(connection.next, call);
        connection.next += 1;
        connection.used = now;
    }

    fn end(&mut self, now: Moment, scheduler: usize, call: Call, end: End) {
        let took = now - call.sent;
        self.done.push(Done { id: call.id, scheduler, class: call.class, sent: call.sent, took, end });
    }

    /// Cancels a part of the calls that are open at a scheduler, and closes a part of the connections with calls open.
    /// Returns those whose clients have gone by it.
    pub fn leave(&mut self, now: Moment, scheduler: usize, rng: &mut SmallRng) -> Vec<u64> {
        let mut gone = vec![];
        let mut connections = std::mem::take(&mut self.connections);
        connections.retain_mut(|connection| {
            if connection.scheduler != scheduler || connection.open.is_empty() {
                return true;
            }
            let closes = rng.random_bool(0.3);
            let (left, stay) = std::mem::take(&mut connection.open)
                .into_iter()
                .partition(|_| closes || rng.random_bool(0.3));
            connection.open = stay;
            let left: BTreeMap<u32, Call> = left;
            for (stream, call) in left {
                gone.push(call.id);
                self.end(now, scheduler, call, End::Gone);
                connection.given_up.insert(stream);
                connection.wire.outbox.extend(frame(2, stream, &[]));
            }
            // What has been said goes out first, or the close would be a break in the middle of it.
            !closes || !connection.wire.write()
        });
        self.connections.append(&mut connections);
        gone
    }

    /// Whether clients have a connection to a scheduler.
    pub fn is_connected(&self, scheduler: usize) -> bool {
        self.connections.iter().any(|connection| connection.scheduler == scheduler)
    }

    /// Calls that wait for an answer.
    pub fn open(&self) -> usize {
        self.connections.iter().map(|connection| connection.open.len()).sum()
    }

    /// Reads and writes all that can be. `excused` says whether a scheduler rightly owes no answer now to a call of that
    /// time.
    pub fn turn(
        &mut self,
        now: Moment,
        excused: impl Fn(usize, Moment, Moment) -> bool,
        place: impl Fn(usize) -> SocketAddr,
    ) {
        let mut again = vec![];
        let mut connections = std::mem::take(&mut self.connections);
        let allow = self.allow_ms * MS;
        connections.retain_mut(|connection| {
            let persists = self.persistent.contains(&connection.scheduler);
            let alive = connection.wire.write() && connection.wire.read();
            self.frames(now, connection);
            let scheduler = connection.scheduler;
            let given_up: Vec<u32> = connection
                .open
                .iter()
                .filter(|(_, c)| c.sent + allow + SLACK <= now)
                .map(|(n, _)| *n)
                .collect();
            for stream in given_up {
                let Some(call) = connection.open.remove(&stream) else { continue };
                let end = if excused(scheduler, call.sent, now) { End::Lost } else { End::Owed };
                self.end(now, scheduler, call, end);
                // Nobody waits any more.
                connection.given_up.insert(stream);
                connection.wire.outbox.extend(frame(2, stream, &[]));
            }
            if alive {
                let leaves = connection.leaves && !persists;
                let idle = connection.open.is_empty() && (leaves || connection.used + IDLE <= now);
                return !idle;
            }
            for (_, call) in std::mem::take(&mut connection.open) {
                let crossed = call.sent + CROSSED > now && !call.again;
                match excused(scheduler, call.sent, now) {
                    // It is made again at another scheduler.
                    false if crossed && persists => self.end(now, scheduler, call, End::Lost),
                    false if crossed => again.push((scheduler, Call { again: true, ..call })),
                    true => self.end(now, scheduler, call, End::Lost),
                    false => self.end(now, scheduler, call, End::Owed),
                }
            }
            false
        });
        self.connections.append(&mut connections);
        for (scheduler, call) in again {
            self.send(now, scheduler, place(scheduler), call);
        }
    }

    fn frames(&mut self, now: Moment, connection: &mut Connection) {
        while let Some(head) = connection.wire.inbox.first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            let Some(rest) = connection.wire.inbox.get(4..4 + length) else { return };
            let (kind, stream) = (rest[0], u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]));
            let payload = rest[5..].to_vec();
            connection.wire.inbox.drain(..4 + length);
            match kind {
                1 => match (connection.open.remove(&stream), answer(&payload)) {
                    (Some(call), Some((code, got))) => {
                        let end = match code {
                            79 => End::Served,
                            66 => End::Refused,
                            _ => End::Failed,
                        };
                        if end == End::Served && got != body(call.id) {
                            self.odd
                                .push(format!("call {}: served with what no worker made for it", call.id));
                        }
                        if end == End::Refused && call.tries < self.repeats {
                            self.refused.push(call.clone());
                        }
                        self.end(now, connection.scheduler, call, end);
                    }
                    (None, _) if connection.given_up.remove(&stream) => {}
                    (None, _) if stream < connection.next && stream > 0 => {
                        self.odd.push(format!(
                            "scheduler {}: a second answer on stream {stream}",
                            connection.scheduler
                        ));
                    }
                    _ => self.odd.push(format!("scheduler {}: an odd answer", connection.scheduler)),
                },
                9 => connection.leaves = true,
                _ => {}
            }
        }
    }
}
