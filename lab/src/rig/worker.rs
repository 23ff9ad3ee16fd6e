//! A stand-in worker: lanes, a queue, memory, loads from one shared store, and a cold start in which it falls
//! over if it is sent too much. No sockets, no clock.

use super::{MS, Moment, SECOND};
use rand::RngExt;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// What workers are like; times in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Calls that run at a time.
    pub lanes: usize,
    /// Calls that wait, beyond which one more is told that it is full.
    pub queue: usize,
    /// Copies that it holds.
    pub copies: usize,
    /// How long a call runs on average.
    pub work_ms: f64,
    /// How long a load takes, when nobody else loads.
    pub load_ms: u64,
    /// The part of its pace that it starts with, and how long it takes to the whole.
    pub cold_from: f64,
    /// See above.
    pub cold_ms: u64,
    /// It falls over if it is sent this multiple of what it can do, while it is cold.
    pub fall_multiple: f64,
    /// Over such a time.
    pub fall_ms: u64,
    /// Loads a second that the store gives, to all of them.
    pub store_loads: f64,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind {
            lanes: 4,
            queue: 8,
            copies: 24,
            work_ms: 40.0,
            load_ms: 300,
            cold_from: 0.15,
            cold_ms: 15_000,
            fall_multiple: 3.0,
            fall_ms: 2_000,
            store_loads: 30.0,
        }
    }
}

/// How long an idle copy stands.
pub const KEEP: u64 = 8_700 * MS;

/// Where all workers load from.
#[derive(Debug)]
pub struct Store {
    /// How many times slower than usual it is.
    pub slow: f64,
    /// Loads begun.
    pub loads: u64,
    free: Moment,
}

impl Store {
    /// One that is idle.
    pub fn new() -> Store {
        Store { slow: 1.0, loads: 0, free: 0 }
    }

    fn load(&mut self, now: Moment, kind: &Kind) -> Moment {
        self.loads += 1;
        let start = self.free.max(now);
        self.free = start + (SECOND as f64 / kind.store_loads * self.slow) as u64;
        start + (kind.load_ms as f64 * MS as f64 * self.slow) as u64
    }
}

impl Default for Store {
    fn default() -> Store {
        Store::new()
    }
}

/// A call at a worker.
#[derive(Clone, Debug)]
struct Call {
    connection: u64,
    rid: String,
    function: String,
    until: Moment,
    body: String,
}

struct Copy {
    ready: Moment,
    until: Moment,
}

/// What it says: on which connection, and the line.
pub type Said = (u64, String);

/// See the module's page.
pub struct SimulatedWorker {
    kind: Kind,
    /// When its process started; none for long ago.
    pub started: Option<Moment>,
    /// Whether it is there at all.
    pub up: bool,
    /// How many times slower than usual it is.
    pub slow: f64,
    /// It takes what comes, and does nothing.
    pub hangs: bool,
    /// Since when it drains: it finishes what it has, and takes nothing new.
    pub draining: Option<Moment>,
    copies: BTreeMap<String, Copy>,
    waiting: VecDeque<Call>,
    running: Vec<(Moment, Call)>,
    arrivals: VecDeque<Moment>,
    orders: Vec<(Moment, u64, String)>,
    /// Calls that came, and how they ended here.
    pub calls: u64,
    /// Told that it is full.
    pub full: u64,
    /// Probes answered.
    pub probes: u64,
    /// Times that it fell over.
    pub fell: u64,
}

impl SimulatedWorker {
    /// One that has run for long.
    pub fn new(kind: Kind) -> SimulatedWorker {
        SimulatedWorker {
            kind,
            started: None,
            up: true,
            slow: 1.0,
            hangs: false,
            draining: None,
            copies: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: vec![],
            arrivals: VecDeque::new(),
            orders: vec![],
            calls: 0,
            full: 0,
            probes: 0,
            fell: 0,
        }
    }

    /// Its process ends: all that it knew and did is gone.
    pub fn end(&mut self) {
        self.up = false;
        (self.waiting, self.running, self.orders) = Default::default();
        self.copies.clear();
        self.arrivals.clear();
    }

    /// It starts anew, and cold.
    pub fn start(&mut self, now: Moment) {
        (self.up, self.started, self.draining) = (true, Some(now), None);
    }

    /// The part of its usual pace that it has now.
    fn pace(&self, now: Moment) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started) as f64 / (self.kind.cold_ms * MS) as f64;
        self.kind.cold_from + (1.0 - self.kind.cold_from) * age.min(1.0)
    }

    /// Whether it has fallen over: it is cold, and was sent far more than it can do, with the operators' slack for chance.
    fn falls(&mut self, now: Moment) -> bool {
        let span = self.kind.fall_ms * MS;
        self.arrivals.retain(|at| *at + span > now);
        let pace = self.pace(now);
        let able = self.kind.lanes as f64 / (self.kind.work_ms / 1e3) * pace * span as f64 / SECOND as f64;
        let bears = able * self.kind.fall_multiple;
        let chance = if bears < 30.0 { 3.0 * bears.sqrt() + 3.0 } else { 2.0 * bears.sqrt() + 2.0 };
        pace < 1.0 && self.arrivals.len() as f64 > bears + chance
    }

    /// A line has come. Returns whether it fell over by it.
    pub fn hear(
        &mut self,
        now: Moment,
        connection: u64,
        line: &Value,
        store: &mut Store,
        out: &mut Vec<Said>,
    ) -> bool {
        let rid = line["rid"].as_str().unwrap_or_default().to_owned();
        let attrs = &line["attrs"];
        let function = attrs["name"].as_str().unwrap_or_default().to_owned();
        match line["verb"].as_str().unwrap_or_default() {
            "go" if self.draining.is_some() => {
                self.full += 1;
                out.push((connection, json!({"verb": "503", "rid": rid}).to_string()));
            }
            "go" => return self.take_call(now, connection, line, out),
            "halt" => {
                self.waiting.retain(|call| call.connection != connection || call.rid != rid);
                self.running.retain(|(_, call)| call.connection != connection || call.rid != rid);
            }
            // A question for copies, which is answered by whoever drains too.
            "stage" if attrs["replicas"].as_u64() == Some(0) => {
                let copies = u64::from(self.stands(now, &function));
                let answer = json!({"verb": "200", "rid": rid, "attrs": {"replicas": copies}});
                out.push((connection, answer.to_string()));
            }
            "stage" => {
                let ready = match self.draining {
                    Some(_) => None,
                    None => self.copy(now, &function, store),
                };
                match ready {
                    Some(at) => self.orders.push((at, connection, rid)),
                    None => out.push((
                        connection,
                        json!({"verb": "503", "rid": rid, "attrs": {"replicas": 0}}).to_string(),
                    )),
                }
            }
            "purge" => drop(self.copies.remove(&rid)),
            "ping" | "stat" => {
                self.probes += 1;
                let verb = if self.draining.is_some() { "dead" } else { "alive" };
                out.push((connection, json!({"verb": verb, "rid": rid}).to_string()));
            }
            _ => {}
        }
        false
    }

    /// Takes a call that has come; whether it fell over by it.
    fn take_call(&mut self, now: Moment, connection: u64, line: &Value, out: &mut Vec<Said>) -> bool {
        let word = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let (rid, attrs) = (word(&line["rid"]), &line["attrs"]);
        self.calls += 1;
        self.arrivals.push_back(now);
        if self.falls(now) {
            self.fell += 1;
            return true;
        }
        if self.waiting.len() >= self.kind.queue {
            self.full += 1;
            out.push((connection, json!({"verb": "503", "rid": rid}).to_string()));
            return false;
        }
        let until = now + attrs["ttl"].as_u64().unwrap_or_default() * MS;
        let (function, body) = (word(&attrs["name"]), word(&line["content"]));
        self.waiting.push_back(Call { connection, rid, function, until, body });
        false
    }

    /// When a copy stands; none if there is no room for one.
    fn copy(&mut self, now: Moment, function: &str, store: &mut Store) -> Option<Moment> {
        self.copies.retain(|_, copy| copy.until > now);
        if let Some(copy) = self.copies.get_mut(function) {
            copy.until = copy.until.max(now + KEEP);
            return Some(copy.ready.max(now));
        }
        if self.copies.len() >= self.kind.copies {
            let used = |name: &String| self.running.iter().any(|(_, call)| call.function == *name);
            let idle = self.copies.iter().filter(|(name, copy)| copy.ready <= now && !used(name));
            let oldest = idle.min_by_key(|(_, copy)| copy.until).map(|(name, _)| name.clone())?;
            self.copies.remove(&oldest);
        }
        let ready = store.load(now, &self.kind);
        self.copies.insert(function.to_owned(), Copy { ready, until: ready + KEEP });
        Some(ready)
    }

    /// Ends what has run, and begins what can.
    pub fn turn(&mut self, now: Moment, store: &mut Store, rng: &mut SmallRng, out: &mut Vec<Said>) {
        if !self.up || self.hangs {
            return;
        }
        for (_, connection, rid) in self.orders.extract_if(.., |(at, ..)| *at <= now) {
            out.push((connection, json!({"verb": "200", "rid": rid, "attrs": {"replicas": 1}}).to_string()));
        }
        for (_, call) in self.running.extract_if(.., |(at, _)| *at <= now) {
            out.push((
                call.connection,
                json!({"verb": "200", "rid": call.rid, "content": call.body}).to_string(),
            ));
        }
        while self.running.len() < self.kind.lanes {
            let Some(call) = self.waiting.pop_front() else { return };
            if call.until <= now {
                out.push((call.connection, json!({"verb": "504", "rid": call.rid}).to_string()));
                continue;
            }
            let Some(ready) = self.copy(now, &call.function, store) else {
                self.full += 1;
                out.push((call.connection, json!({"verb": "503", "rid": call.rid}).to_string()));
                continue;
            };
            // Shares of the average from a half to one and a half.
            let work = self.kind.work_ms * rng.random_range(0.5..1.5) * self.slow / self.pace(now);
            let end = ready + (work * MS as f64) as u64;
            if let Some(copy) = self.copies.get_mut(&call.function) {
                copy.until = copy.until.max(end + KEEP);
            }
            self.running.push((end, call));
        }
    }

    /// Whether a copy stands.
    pub fn stands(&self, now: Moment, function: &str) -> bool {
        self.copies.get(function).is_some_and(|copy| copy.ready <= now && now < copy.until)
    }

    /// A connection has ended: what was open on it is given up.
    pub fn left(&mut self, connection: u64) {
        self.waiting.retain(|call| call.connection != connection);
        self.running.retain(|(_, call)| call.connection != connection);
        self.orders.retain(|(_, one, _)| *one != connection);
    }
}

#[cfg(test)]
mod tests;
