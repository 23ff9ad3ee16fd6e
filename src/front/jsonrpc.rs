//! The second front: JSON-RPC 2.0 over Unix sockets, one object or batch a line.
//!
//! | method | params | result |
//! | --- | --- | --- |
//! | `call` | `class`, `function`, `allow_ms`; optional `ref`, `key`, `memory_mb`, `lanes`, `load_ms`, `body` | `{"body": BASE64}` |
//! | `chain` | `steps`, `allow_ms`; optional `key`; see `docs/chains.md` | `{"body": BASE64}` of the last step |
//! | `cancel` | `id` of a call or chain on this connection; a notification | none; the call ends with [`codes::CANCELLED`] |
//! | `ready` | none | `{"ready": BOOL}` |
//!
//! A `call` notification is not taken: nobody could be told how it ended. A client that closes, or closes the
//! half it writes on, waits for nothing more: its calls are withdrawn.

use super::{BODY, IDLE, LINGER, OPEN, OUTBOX, TRANSIT, WHOLE, read_function};
use crate::chain::{Chain, Classes, End, STEPS, Step};
use crate::core::{Answer, Incoming, Owner, Verdict};
use crate::interface::{FunctionId, Span, Time};
use crate::net::{Connection, Flow, Hub, Link};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Error codes: the standard's, then this front's own.
pub mod codes {
    /// The line is not JSON.
    pub const PARSE: i64 = -32700;
    /// It is JSON, but no request.
    pub const INVALID_REQUEST: i64 = -32600;
    /// There is no such method.
    pub const NO_METHOD: i64 = -32601;
    /// The params cannot be used.
    pub const INVALID_PARAMS: i64 = -32602;
    /// Not done, and a new try is harmless after `data.cooldown_ms`.
    pub const REFUSED: i64 = -32001;
    /// Failed; nothing is promised.
    pub const FAILED: i64 = -32002;
    /// The call's time is up; `data.outcome` is `refused` (a new try is harmless) or `failed`.
    pub const EXPIRED: i64 = -32003;
    /// The client has withdrawn the call.
    pub const CANCELLED: i64 = -32004;
    /// The time that remains does not cover the chain's next step and those after it.
    pub const STOPPED: i64 = -32005;
    /// The chain's step may have run in an earlier try, and its key no longer allows another.
    pub const UNKNOWN: i64 = -32006;
}

/// Requests in one batch.
pub const BATCH: usize = 64;
/// Longest line where the operator has set no other limit.
pub const LINE: usize = 64 << 10;

/// One request of a line.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// It is answered at once with this.
    Reply(Value),
    /// Needs nothing, not even an answer.
    Nothing,
    /// A call with its id.
    Call(Value, Box<Params>),
    /// A chain with its id.
    Chain(Value, Box<ChainParams>),
    /// The call of this id is withdrawn.
    Cancel(Value),
    /// Whether the scheduler is ready.
    Ready(Value),
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    step: Step,
    allow_ms: u64,
    reference: Option<String>,
    key: Option<String>,
}

/// What a chain asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainParams {
    steps: Vec<Step>,
    allow_ms: u64,
    key: Option<String>,
}

/// What a line holds.
#[derive(Debug, PartialEq)]
pub enum Line {
    /// One request.
    One(Request),
    /// A batch, answered by one line.
    Batch(Vec<Request>),
}

fn error(id: &Value, code: i64, message: &str, data: Option<Value>) -> Value {
    let mut error = json!({"code": code, "message": message});
    if let Some(data) = data {
        error["data"] = data;
    }
    json!({"jsonrpc": "2.0", "id": id, "error": error})
}

fn result(id: &Value, result: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}

/// Reads a line.
pub fn read_line(line: &[u8]) -> Line {
    let invalid = |why| Line::One(Request::Reply(error(&Value::Null, codes::INVALID_REQUEST, why, None)));
    match serde_json::from_slice(line) {
        Err(_) => Line::One(Request::Reply(error(&Value::Null, codes::PARSE, "not JSON", None))),
        Ok(Value::Array(list)) if list.is_empty() => invalid("an empty batch"),
        Ok(Value::Array(list)) if list.len() > BATCH => invalid("too large a batch"),
        Ok(Value::Array(list)) => Line::Batch(list.into_iter().map(read_request).collect()),
        Ok(value) => Line::One(read_request(value)),
    }
}

fn read_request(value: Value) -> Request {
    let invalid = |id: &Value, why| Request::Reply(error(id, codes::INVALID_REQUEST, why, None));
    let Value::Object(mut object) = value else { return invalid(&Value::Null, "not an object") };
    let id = object.remove("id");
    if matches!(id, Some(Value::Array(_) | Value::Object(_) | Value::Bool(_))) {
        return invalid(&Value::Null, "id is neither text, a number nor null");
    }
    let shown = id.clone().unwrap_or_default();
    if object.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
        return invalid(&shown, "not JSON-RPC 2.0");
    }
    let Some(method) = object.get("method").and_then(Value::as_str) else {
        return invalid(&shown, "no method");
    };
    let params = match object.get("params") {
        None => Ok(Map::new()),
        Some(Value::Object(params)) => Ok(params.clone()),
        Some(Value::Array(_)) => Err("params are by name here"),
        Some(_) => return invalid(&shown, "params are neither an object nor an array"),
    };
    match (method, id, params) {
        // Nobody could be told how a call without an id has ended; an odd notification is not answered.
        ("cancel", None, Ok(params)) => {
            params.get("id").map_or(Request::Nothing, |id| Request::Cancel(id.clone()))
        }
        (_, None, _) => Request::Nothing,
        ("cancel", Some(id), _) => invalid(&id, "cancel is a notification"),
        ("ready", Some(id), _) => Request::Ready(id),
        ("call", Some(id), params) => match params.and_then(|params| read_params(&params)) {
            Ok(params) => Request::Call(id, Box::new(params)),
            Err(why) => Request::Reply(error(&id, codes::INVALID_PARAMS, why, None)),
        },
        ("chain", Some(id), params) => {
            match params.map_err(str::to_owned).and_then(|params| read_chain(&params)) {
                Ok(params) => Request::Chain(id, Box::new(params)),
                Err(why) => Request::Reply(error(&id, codes::INVALID_PARAMS, &why, None)),
            }
        }
        (_, Some(id), _) => Request::Reply(error(&id, codes::NO_METHOD, "no such method", None)),
    }
}

fn read_text(
    params: &Map<String, Value>,
    name: &str,
    why: &'static str,
) -> Result<Option<String>, &'static str> {
    match params.get(name) {
        None => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.clone())),
        Some(_) => Err(why),
    }
}

/// What says what is to be run. A body that is absent is empty, except where `previous` asks for another answer.
fn read_step(params: &Map<String, Value>) -> Result<Step, &'static str> {
    let figure = |name: &str, usual: f64, why| match params.get(name).map(Value::as_f64) {
        None => Ok(usual),
        Some(Some(figure)) if figure.is_finite() && figure >= 0.0 => Ok(figure),
        Some(_) => Err(why),
    };
    let function = read_text(params, "function", "function is not text")?.ok_or("no function")?;
    let body = STANDARD.decode(read_text(params, "body", "body is not text")?.unwrap_or_default());
    let body = body.map_err(|_| "body is not base64")?;
    if body.len() > BODY {
        return Err("body too large");
    }
    let load_ms = figure("load_ms", 0.0, "odd load_ms")?;
    Ok(Step {
        class: read_text(params, "class", "class is not text")?.ok_or("no class")?,
        function: FunctionId(read_function(&function).ok_or("function is not 16 hex digits")?),
        memory_mb: figure("memory_mb", 0.0, "odd memory_mb")?,
        lanes: figure("lanes", 1.0, "odd lanes")?,
        load_time: Some(Span((load_ms * 1e6) as u64)).filter(|span| span.0 > 0),
        body: Some(body),
    })
}

fn read_allow(params: &Map<String, Value>) -> Result<u64, &'static str> {
    params.get("allow_ms").and_then(Value::as_u64).ok_or("allow_ms is no whole number")
}

fn read_params(params: &Map<String, Value>) -> Result<Params, &'static str> {
    let reference = read_text(params, "ref", "ref is not text")?;
    if reference.as_deref().is_some_and(|text| read_function(text).is_none()) {
        return Err("ref is not 16 hex digits");
    }
    let (step, key) = (read_step(params)?, read_text(params, "key", "key is not text")?);
    Ok(Params { step, allow_ms: read_allow(params)?, reference, key })
}

fn read_chain(params: &Map<String, Value>) -> Result<ChainParams, String> {
    let Some(list) = params.get("steps").and_then(Value::as_array) else { return Err("no steps".to_owned()) };
    if !(1..=STEPS).contains(&list.len()) {
        return Err(format!("steps are not 1 to {STEPS}"));
    }
    let mut steps = Vec::with_capacity(list.len());
    for (n, step) in list.iter().enumerate() {
        let odd = |why: &str| format!("steps[{n}]: {why}");
        let fields = step.as_object().ok_or_else(|| odd("not an object"))?;
        let mut step = read_step(fields).map_err(odd)?;
        match fields.get("previous") {
            None | Some(Value::Bool(false)) => {}
            Some(Value::Bool(true)) if n == 0 => return Err(odd("there is no answer before the first step")),
            Some(Value::Bool(true)) if fields.contains_key("body") => {
                return Err(odd("both previous and body"));
            }
            Some(Value::Bool(true)) => step.body = None,
            Some(_) => return Err(odd("previous is neither true nor false")),
        }
        steps.push(step);
    }
    match read_allow(params)? {
        0 => Err("allow_ms is not over 0".to_owned()),
        allow_ms => Ok(ChainParams { steps, allow_ms, key: read_text(params, "key", "key is not text")? }),
    }
}

/// The response that tells a call's final answer.
pub fn response(id: &Value, answer: &Answer) -> Value {
    match &answer.verdict {
        Verdict::Served(body) => result(id, json!({"body": STANDARD.encode(body)})),
        Verdict::Refused { cooldown } => {
            let wait = cooldown.0.div_ceil(1_000_000);
            match answer.expired {
                true => {
                    let data = json!({"outcome": "refused", "cooldown_ms": wait});
                    error(id, codes::EXPIRED, "deadline passed", Some(data))
                }
                false => error(id, codes::REFUSED, "refused", Some(json!({"cooldown_ms": wait}))),
            }
        }
        Verdict::Failed if answer.expired => {
            error(id, codes::EXPIRED, "deadline passed", Some(json!({"outcome": "failed"})))
        }
        Verdict::Failed => error(id, codes::FAILED, "failed", None),
    }
}

/// The response that tells a chain's one end.
pub fn chain_response(id: &Value, end: &End) -> Value {
    let mut reply = match (&end.answer.verdict, end.short) {
        (Verdict::Refused { cooldown }, Some(short)) => {
            let ms = |span: Span| span.0.div_ceil(1_000_000);
            let data =
                json!({"cooldown_ms": ms(*cooldown), "left_ms": ms(short.left), "need_ms": ms(short.need)});
            error(id, codes::STOPPED, "the time left does not cover the steps left", Some(data))
        }
        _ if end.unknown => {
            error(id, codes::UNKNOWN, "the step may have run, and is not sent again", Some(json!({})))
        }
        _ => response(id, &end.answer),
    };
    if let Some(error) = reply.get_mut("error") {
        error["data"]["step"] = json!(end.step);
        error["data"]["ran"] = json!(end.ran);
    }
    reply
}

struct Open {
    id: Value,
    /// The batch whose one reply this answer belongs to.
    batch: Option<u64>,
}

struct Batch {
    owed: usize,
    replies: Vec<Value>,
}

/// A client's connection.
pub struct RpcConnection {
    open: BTreeMap<u64, Open>,
    batches: BTreeMap<u64, Batch>,
    next: u64,
    line_limit: usize,
    /// The rest of a line that was too long is passed over.
    skipping: bool,
    last: Time,
    /// Until when the line that has begun must have ended.
    whole_by: Option<Time>,
    finish_by: Option<Time>,
}

impl RpcConnection {
    /// A connection that has just been accepted, with the operator's limit on lines.
    pub fn new(now: Time, line_limit: usize) -> RpcConnection {
        RpcConnection {
            open: BTreeMap::new(),
            batches: BTreeMap::new(),
            next: 1,
            line_limit,
            skipping: false,
            last: now,
            whole_by: None,
            finish_by: None,
        }
    }

    /// Buffers of such a connection.
    pub fn limits(line_limit: usize) -> (usize, usize) {
        (line_limit + 1, OUTBOX)
    }

    fn say(&mut self, batch: Option<u64>, reply: Value, link: &mut Link) {
        let Some(number) = batch else { return put(link, &reply) };
        let Some(entry) = self.batches.get_mut(&number) else { return };
        entry.replies.push(reply);
        self.answered(number, link);
    }

    /// One fewer owed in a batch; its reply goes out once all have come.
    fn answered(&mut self, number: u64, link: &mut Link) {
        let Some(batch) = self.batches.get_mut(&number) else { return };
        batch.owed -= 1;
        if batch.owed == 0
            && let Some(batch) = self.batches.remove(&number)
            && !batch.replies.is_empty()
        {
            put(link, &Value::Array(batch.replies));
        }
    }

    fn line(&mut self, line: &[u8], link: &mut Link, hub: &mut Hub) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        match read_line(line) {
            Line::One(request) => self.request(request, None, link, hub),
            Line::Batch(requests) => {
                let number = self.next;
                self.next += 1;
                // One more is owed until all have been read: answers may come while they are.
                let owed = 1 + requests.iter().filter(|r| has_reply(r)).count();
                self.batches.insert(number, Batch { owed, replies: vec![] });
                for request in requests {
                    self.request(request, Some(number), link, hub);
                }
                self.answered(number, link);
            }
        }
    }

    fn request(&mut self, request: Request, batch: Option<u64>, link: &mut Link, hub: &mut Hub) {
        match request {
            Request::Nothing => {}
            Request::Reply(reply) => {
                hub.core.counters().malformed += 1;
                self.say(batch, reply, link);
            }
            Request::Ready(id) => {
                let ready = hub.ready && hub.active;
                self.say(batch, result(&id, json!({"ready": ready})), link);
            }
            Request::Cancel(id) => {
                let Some(stream) = self.open.iter().find(|(_, open)| open.id == id).map(|(s, _)| *s) else {
                    return;
                };
                hub.core.withdraw(hub.now, Owner { connection: link.id(), stream });
                if let Some(open) = self.open.remove(&stream) {
                    self.say(open.batch, error(&open.id, codes::CANCELLED, "cancelled", None), link);
                }
            }
            Request::Call(id, params) => self.call(id, *params, batch, link, hub),
            Request::Chain(id, params) => self.chain(id, *params, batch, link, hub),
        }
    }

    fn chain(&mut self, id: Value, params: ChainParams, batch: Option<u64>, link: &mut Link, hub: &mut Hub) {
        let Some(owner) = self.place(&id, None, batch, link, hub) else { return };
        // What can only be known here is said before anything starts.
        let classes: &dyn Classes = hub.core.site();
        let odd = params.steps.iter().enumerate().find_map(|(n, step)| match classes.class(&step.class) {
            None => Some(format!("steps[{n}]: the class is not known")),
            Some((_, Some(_))) if params.key.is_none() => Some(format!("steps[{n}]: its class needs a key")),
            Some(_) => None,
        });
        if let Some(why) = odd {
            hub.core.counters().malformed += 1;
            return self.say(batch, error(&id, codes::INVALID_PARAMS, &why, None), link);
        }
        self.open.insert(owner.stream, Open { id, batch });
        let ChainParams { steps, allow_ms, key } = params;
        hub.core.chain(hub.now, Chain { owner, key, deadline: deadline(hub.now, allow_ms), steps });
    }

    /// A place for a call or a chain, or its answer where there is none.
    fn place(
        &mut self,
        id: &Value,
        class: Option<&str>,
        batch: Option<u64>,
        link: &mut Link,
        hub: &mut Hub,
    ) -> Option<Owner> {
        // Two open calls of one id could not be told apart, neither by the client nor by a cancel.
        if self.open.values().any(|open| open.id == *id) {
            self.say(batch, error(id, codes::INVALID_REQUEST, "id is in use", None), link);
            return None;
        }
        if self.open.len() >= OPEN || !hub.active {
            let verdict = Verdict::Refused { cooldown: hub.core.advice() };
            hub.core.turned_away(class, &verdict);
            self.say(batch, response(id, &Answer { verdict, expired: false }), link);
            return None;
        }
        self.next += 1;
        Some(Owner { connection: link.id(), stream: self.next - 1 })
    }

    fn call(&mut self, id: Value, params: Params, batch: Option<u64>, link: &mut Link, hub: &mut Hub) {
        let Some(owner) = self.place(&id, Some(&params.step.class), batch, link, hub) else { return };
        self.open.insert(owner.stream, Open { id, batch });
        let made = || format!("{:08x}{:08x}", owner.connection as u32, owner.stream as u32);
        let Step { class, function, memory_mb, lanes, load_time, body } = params.step;
        hub.core.call(
            hub.now,
            Incoming {
                owner,
                reference: params.reference.unwrap_or_else(made),
                class,
                function,
                key: params.key,
                memory_mb,
                lanes,
                load_time,
                deadline: deadline(hub.now, params.allow_ms),
                body: body.unwrap_or_default(),
            },
        );
    }

    /// A call or a chain has ended; whoever withdrew it is owed nothing.
    fn over(&mut self, stream: u64, reply: impl Fn(&Value) -> Value, link: &mut Link, hub: &Hub) -> Flow {
        if let Some(open) = self.open.remove(&stream) {
            self.last = hub.now;
            self.say(open.batch, reply(&open.id), link);
        }
        Flow::Go
    }

    fn lines(&mut self, link: &mut Link, hub: &mut Hub) {
        // A client that does not read its answers is not read from either: see `flushed`.
        while link.waiting() <= OUTBOX {
            let Some(end) = link.inbox.iter().position(|b| *b == b'\n') else { break };
            let line: Vec<u8> = link.inbox.drain(..=end).collect();
            if std::mem::take(&mut self.skipping) {
                continue;
            }
            match end <= self.line_limit {
                true => self.line(&line[..end], link, hub),
                false => self.too_long(link, hub),
            }
        }
        if link.inbox.len() > self.line_limit && !link.inbox.contains(&b'\n') {
            link.inbox.clear();
            if !std::mem::replace(&mut self.skipping, true) {
                self.too_long(link, hub);
            }
        }
    }

    /// When the connection is closed as idle; one on which a line has begun is not.
    fn unused_by(&self) -> Option<Time> {
        (self.open.is_empty() && self.whole_by.is_none()).then_some(self.last + IDLE)
    }

    /// Whatever is open here will find nobody to answer to.
    fn withdraw_all(&mut self, link: &Link, hub: &mut Hub) {
        self.batches.clear();
        for stream in std::mem::take(&mut self.open).into_keys() {
            hub.core.withdraw(hub.now, Owner { connection: link.id(), stream });
        }
    }

    fn cut_short(&mut self, link: &mut Link, hub: &mut Hub) -> Flow {
        hub.core.counters().malformed += 1;
        put(link, &error(&Value::Null, codes::PARSE, "the line has no end", None));
        self.withdraw_all(link, hub);
        self.finish_by = Some(hub.now + LINGER);
        Flow::Finish
    }

    fn too_long(&mut self, link: &mut Link, hub: &mut Hub) {
        hub.core.counters().malformed += 1;
        put(link, &error(&Value::Null, codes::INVALID_REQUEST, "line too long", None));
    }
}

/// When a client that waits so long is to have its answer.
fn deadline(now: Time, allow_ms: u64) -> Time {
    now + Span((allow_ms.min(3_600_000) * 1_000_000).saturating_sub(TRANSIT.0))
}

fn has_reply(request: &Request) -> bool {
    !matches!(request, Request::Nothing | Request::Cancel(_))
}

fn put(link: &mut Link, reply: &Value) {
    let mut bytes = reply.to_string().into_bytes();
    bytes.push(b'\n');
    link.put(&bytes);
}

impl Connection for RpcConnection {
    fn opened(&mut self, _link: &mut Link, hub: &mut Hub) -> Flow {
        hub.core.counters().accepted += 1;
        Flow::Go
    }

    fn received(&mut self, link: &mut Link, hub: &mut Hub) -> Flow {
        self.last = hub.now;
        let held = link.inbox.len();
        self.lines(link, hub);
        if !link.ended {
            // A line cut short is owed a word; one that is held back until its client reads is not cut short.
            let part = self.skipping || !link.inbox.is_empty() && !link.inbox.contains(&b'\n');
            self.whole_by = match part {
                false => None,
                // What is left after a whole line has only just begun.
                true => self.whole_by.filter(|_| link.inbox.len() >= held).or(Some(hub.now + WHOLE)),
            };
            return Flow::Go;
        }
        if link.inbox.iter().all(u8::is_ascii_whitespace) || link.inbox.contains(&b'\n') {
            return Flow::Close;
        }
        // A line cut short by the end: said, in case the client still reads.
        self.cut_short(link, hub)
    }

    fn flushed(&mut self, link: &mut Link, hub: &mut Hub) -> Flow {
        self.lines(link, hub);
        Flow::Go
    }

    fn due(&mut self, link: &mut Link, hub: &mut Hub) -> Flow {
        if self.finish_by.is_none() && self.whole_by.is_some_and(|by| by <= hub.now) {
            return self.cut_short(link, hub);
        }
        let idle = self.unused_by().is_some_and(|by| by <= hub.now);
        let over = self.finish_by.is_some_and(|by| by <= hub.now);
        if idle || over { Flow::Close } else { Flow::Go }
    }

    fn deadline(&self) -> Option<Time> {
        let idle = self.unused_by();
        let whole = self.whole_by.filter(|_| self.finish_by.is_none());
        self.finish_by.into_iter().chain(whole).chain(idle).min()
    }

    fn closed(&mut self, link: &Link, hub: &mut Hub) {
        self.withdraw_all(link, hub);
    }

    fn answer(&mut self, stream: u64, answer: &Answer, link: &mut Link, hub: &mut Hub) -> Flow {
        self.over(stream, |id| response(id, answer), link, hub)
    }

    fn chain_ended(&mut self, stream: u64, end: &End, link: &mut Link, hub: &mut Hub) -> Flow {
        self.over(stream, |id| chain_response(id, end), link, hub)
    }

    fn partial(&self) -> bool {
        self.whole_by.is_some()
    }

    fn idle(&self) -> Option<Time> {
        (self.open.is_empty() && self.finish_by.is_none()).then_some(self.last)
    }
}

#[cfg(test)]
mod tests;
