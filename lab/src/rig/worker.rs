//! A stand-in worker: lanes, a queue, memory, loads from one shared store, and a cold start during which it crashes
//! if it is overloaded. It has no sockets and no clock.

use super::{MILLISECOND, Moment, SECOND};
use rand::RngExt;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// Parameters of a worker; times in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Calls that run concurrently.
    pub lanes: usize,
    /// Calls that may wait in the queue; further calls are answered with 'full'.
    pub queue: usize,
    /// Instances that fit into its memory.
    pub copies: usize,
    /// Mean time a call runs.
    pub work_ms: f64,
    /// Time a load takes when the store is idle.
    pub load_ms: u64,
    /// Fraction of the full speed at which a cold worker starts.
    pub cold_from: f64,
    /// Time until a cold worker reaches full speed.
    pub cold_ms: u64,
    /// A cold worker crashes if it is sent more than this multiple of its capacity.
    pub fall_multiple: f64,
    /// Window over which that load is measured.
    pub fall_ms: u64,
    /// Loads per second that the store supports, over all workers.
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

/// How long an idle instance is kept, in nanoseconds.
pub const INSTANCE_KEEP_ALIVE: u64 = 8_700 * MILLISECOND;

/// The store from which all workers load.
#[derive(Debug)]
pub struct Store {
    /// Factor by which loads are slower than usual.
    pub slowdown: f64,
    /// Number of loads started.
    pub loads: u64,
    next_free: Moment,
}

impl Store {
    /// Creates an idle store.
    pub fn new() -> Store {
        Store { slowdown: 1.0, loads: 0, next_free: 0 }
    }

    fn load(&mut self, now: Moment, kind: &Kind) -> Moment {
        self.loads += 1;
        let start = self.next_free.max(now);
        self.next_free = start + (SECOND as f64 / kind.store_loads * self.slowdown) as u64;
        start + (kind.load_ms as f64 * MILLISECOND as f64 * self.slowdown) as u64
    }
}

impl Default for Store {
    fn default() -> Store {
        Store::new()
    }
}

/// A call received by a worker.
#[derive(Clone, Debug)]
struct Call {
    connection: u64,
    rid: String,
    function: String,
    deadline: Moment,
    body: String,
}

struct Instance {
    ready: Moment,
    until: Moment,
}

/// A line that the worker sends: the number of the connection, and the text.
pub type SentLine = (u64, String);

/// A worker without sockets: it is handed lines and returns the lines it sends.
pub struct SimulatedWorker {
    kind: Kind,
    /// When its process started; `None` if that was long ago.
    pub started: Option<Moment>,
    /// Whether its process is running.
    pub up: bool,
    /// Factor by which calls run slower than usual.
    pub slowdown: f64,
    /// Whether it accepts everything and does nothing.
    pub is_hung: bool,
    /// When it began draining: it finishes what it has and accepts nothing new.
    pub draining: Option<Moment>,
    instances: BTreeMap<String, Instance>,
    waiting: VecDeque<Call>,
    running: Vec<(Moment, Call)>,
    arrivals: VecDeque<Moment>,
    loads: Vec<(Moment, u64, String)>,
    /// Calls received.
    pub calls: u64,
    /// Answers 'full' that it gave.
    pub full_answers: u64,
    /// Probes answered.
    pub probes: u64,
    /// Times it crashed under overload.
    pub crashes: u64,
}

impl SimulatedWorker {
    /// Creates a worker that has been running for a long time.
    pub fn new(kind: Kind) -> SimulatedWorker {
        SimulatedWorker {
            kind,
            started: None,
            up: true,
            slowdown: 1.0,
            is_hung: false,
            draining: None,
            instances: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: vec![],
            arrivals: VecDeque::new(),
            loads: vec![],
            calls: 0,
            full_answers: 0,
            probes: 0,
            crashes: 0,
        }
    }

    /// Ends the process and drops all its state.
    pub fn end(&mut self) {
        self.up = false;
        (self.waiting, self.running, self.loads) = Default::default();
        self.instances.clear();
        self.arrivals.clear();
    }

    /// Starts the process again, cold.
    pub fn start(&mut self, now: Moment) {
        (self.up, self.started, self.draining) = (true, Some(now), None);
    }

    /// Current speed as a fraction of the full speed.
    fn speed(&self, now: Moment) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started) as f64 / (self.kind.cold_ms * MILLISECOND) as f64;
        self.kind.cold_from + (1.0 - self.kind.cold_from) * age.min(1.0)
    }

    /// Whether it crashes: it is cold and was sent far more than it can process, with the slack for random variation
    /// that operators allow.
    fn is_overloaded(&mut self, now: Moment) -> bool {
        let span = self.kind.fall_ms * MILLISECOND;
        self.arrivals.retain(|at| *at + span > now);
        let speed = self.speed(now);
        let capacity =
            self.kind.lanes as f64 / (self.kind.work_ms / 1e3) * speed * span as f64 / SECOND as f64;
        let tolerated = capacity * self.kind.fall_multiple;
        let slack =
            if tolerated < 30.0 { 3.0 * tolerated.sqrt() + 3.0 } else { 2.0 * tolerated.sqrt() + 2.0 };
        speed < 1.0 && self.arrivals.len() as f64 > tolerated + slack
    }

    /// Processes a received line. Returns whether the worker crashed from overload.
    pub fn receive_line(
        &mut self,
        now: Moment,
        connection: u64,
        line: &Value,
        store: &mut Store,
        out: &mut Vec<SentLine>,
    ) -> bool {
        let rid = line["rid"].as_str().unwrap_or_default().to_owned();
        let attrs = &line["attrs"];
        let function = attrs["name"].as_str().unwrap_or_default().to_owned();
        match line["verb"].as_str().unwrap_or_default() {
            "go" if self.draining.is_some() => {
                self.full_answers += 1;
                out.push((connection, json!({"verb": "503", "rid": rid}).to_string()));
            }
            "go" => return self.enqueue_call(now, connection, line, out),
            "halt" => {
                self.waiting.retain(|call| call.connection != connection || call.rid != rid);
                self.running.retain(|(_, call)| call.connection != connection || call.rid != rid);
            }
            // A query of the number of instances, which a draining worker answers too.
            "stage" if attrs["replicas"].as_u64() == Some(0) => {
                let copies = u64::from(self.has_instance(now, &function));
                let answer = json!({"verb": "200", "rid": rid, "attrs": {"replicas": copies}});
                out.push((connection, answer.to_string()));
            }
            "stage" => {
                let ready = match self.draining {
                    Some(_) => None,
                    None => self.start_instance(now, &function, store),
                };
                match ready {
                    Some(at) => self.loads.push((at, connection, rid)),
                    None => out.push((
                        connection,
                        json!({"verb": "503", "rid": rid, "attrs": {"replicas": 0}}).to_string(),
                    )),
                }
            }
            "purge" => drop(self.instances.remove(&rid)),
            "ping" | "stat" => {
                self.probes += 1;
                let verb = if self.draining.is_some() { "dead" } else { "alive" };
                out.push((connection, json!({"verb": verb, "rid": rid}).to_string()));
            }
            _ => {}
        }
        false
    }

    /// Enqueues a received call. Returns whether the worker crashed from overload.
    fn enqueue_call(&mut self, now: Moment, connection: u64, line: &Value, out: &mut Vec<SentLine>) -> bool {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let (rid, attrs) = (text(&line["rid"]), &line["attrs"]);
        self.calls += 1;
        self.arrivals.push_back(now);
        if self.is_overloaded(now) {
            self.crashes += 1;
            return true;
        }
        if self.waiting.len() >= self.kind.queue {
            self.full_answers += 1;
            out.push((connection, json!({"verb": "503", "rid": rid}).to_string()));
            return false;
        }
        let deadline = now + attrs["ttl"].as_u64().unwrap_or_default() * MILLISECOND;
        let (function, body) = (text(&attrs["name"]), text(&line["content"]));
        self.waiting.push_back(Call { connection, rid, function, deadline, body });
        false
    }

    /// When an instance is ready, loading it if needed; `None` if there is no memory for it.
    fn start_instance(&mut self, now: Moment, function: &str, store: &mut Store) -> Option<Moment> {
        self.instances.retain(|_, instance| instance.until > now);
        if let Some(instance) = self.instances.get_mut(function) {
            instance.until = instance.until.max(now + INSTANCE_KEEP_ALIVE);
            return Some(instance.ready.max(now));
        }
        if self.instances.len() >= self.kind.copies {
            let is_used = |name: &String| self.running.iter().any(|(_, call)| call.function == *name);
            let idle =
                self.instances.iter().filter(|(name, instance)| instance.ready <= now && !is_used(name));
            let oldest = idle.min_by_key(|(_, instance)| instance.until).map(|(name, _)| name.clone())?;
            self.instances.remove(&oldest);
        }
        let ready = store.load(now, &self.kind);
        self.instances.insert(function.to_owned(), Instance { ready, until: ready + INSTANCE_KEEP_ALIVE });
        Some(ready)
    }

    /// Finishes the calls and loads that are due, and starts waiting calls.
    pub fn advance(&mut self, now: Moment, store: &mut Store, rng: &mut SmallRng, out: &mut Vec<SentLine>) {
        if !self.up || self.is_hung {
            return;
        }
        for (_, connection, rid) in self.loads.extract_if(.., |(at, ..)| *at <= now) {
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
            if call.deadline <= now {
                out.push((call.connection, json!({"verb": "504", "rid": call.rid}).to_string()));
                continue;
            }
            let Some(ready) = self.start_instance(now, &call.function, store) else {
                self.full_answers += 1;
                out.push((call.connection, json!({"verb": "503", "rid": call.rid}).to_string()));
                continue;
            };
            // Run times are uniform between half and one and a half times the mean.
            let work = self.kind.work_ms * rng.random_range(0.5..1.5) * self.slowdown / self.speed(now);
            let end = ready + (work * MILLISECOND as f64) as u64;
            if let Some(instance) = self.instances.get_mut(&call.function) {
                instance.until = instance.until.max(end + INSTANCE_KEEP_ALIVE);
            }
            self.running.push((end, call));
        }
    }

    /// Whether an instance of the function is ready.
    pub fn has_instance(&self, now: Moment, function: &str) -> bool {
        self.instances.get(function).is_some_and(|instance| instance.ready <= now && now < instance.until)
    }

    /// Drops the calls and loads of a connection that has ended.
    pub fn connection_closed(&mut self, connection: u64) {
        self.waiting.retain(|call| call.connection != connection);
        self.running.retain(|(_, call)| call.connection != connection);
        self.loads.retain(|(_, from, _)| *from != connection);
    }
}

#[cfg(test)]
mod tests;
