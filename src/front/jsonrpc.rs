//! The second front: JSON-RPC 2.0 over Unix sockets, one object or batch a line.
//!
//! | method | params | result |
//! | --- | --- | --- |
//! | `call` | `class`, `function`, `allow_ms`; optional `ref`, `key`, `memory_mb`, `concurrency`, `load_ms`, `body` | `{"body": BASE64}` |
//! | `chain` | `steps`, `allow_ms`; optional `key`; see `docs/chains.md` | `{"body": BASE64}` of the last step |
//! | `cancel` | `id` of a request or chain on this connection; a notification | none; the request ends with [`codes::CANCELLED`] |
//! | `ready` | none | `{"ready": BOOL}` |
//!
//! A `call` notification is not taken: nobody could be told how it ended. A client that closes, or closes the
//! half it writes on, waits for nothing more: its requests are withdrawn.

mod codec;

pub use codec::{
    ChainParams, DEFAULT_MAX_LINE_BYTES, MAX_BATCH_REQUESTS, Params, ParsedLine, Request, chain_response,
    codes, read_line, response,
};

use super::{
    ANSWER_TRANSIT_TIME, LINGER_TIMEOUT, MAX_OPEN_REQUESTS, MAX_UNREAD_OUTPUT_BYTES, MESSAGE_TIMEOUT,
    RPC_IDLE_TIMEOUT,
};
use crate::chain::{Chain, Classes, End, Step};
use crate::core::{Answer, IncomingRequest, Owner, Verdict};
use crate::interface::{Duration, Timestamp};
use crate::net::{BufferLimits, Connection, Context, ControlFlow, Link};
use crate::request::CloseCause;
use codec::{error, result};
use serde_json::{Value, json};
use std::collections::BTreeMap;

struct Open {
    id: Value,
    /// The batch whose one reply this answer belongs to.
    batch: Option<u64>,
}

struct Batch {
    outstanding: usize,
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
    last: Timestamp,
    /// Until when the line that has begun must have ended.
    whole_by: Option<Timestamp>,
    finish_by: Option<Timestamp>,
}

impl RpcConnection {
    /// A connection that has just been accepted, with the operator's limit on lines.
    pub fn new(now: Timestamp, line_limit: usize) -> RpcConnection {
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
    pub fn limits(line_limit: usize) -> BufferLimits {
        BufferLimits { input: line_limit + 1, output: MAX_UNREAD_OUTPUT_BYTES }
    }

    fn send(&mut self, batch: Option<u64>, reply: Value, link: &mut Link) {
        let Some(number) = batch else { return put(link, &reply) };
        let Some(entry) = self.batches.get_mut(&number) else { return };
        entry.replies.push(reply);
        self.answered(number, link);
    }

    /// One fewer owed in a batch; its reply goes out once all have come.
    fn answered(&mut self, number: u64, link: &mut Link) {
        let Some(batch) = self.batches.get_mut(&number) else { return };
        batch.outstanding -= 1;
        if batch.outstanding == 0
            && let Some(batch) = self.batches.remove(&number)
            && !batch.replies.is_empty()
        {
            put(link, &Value::Array(batch.replies));
        }
    }

    fn line(&mut self, line: &[u8], link: &mut Link, context: &mut Context) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        match read_line(line) {
            ParsedLine::One(request) => self.request(request, None, link, context),
            ParsedLine::Batch(requests) => {
                let number = self.next;
                self.next += 1;
                // One more is owed until all have been read: answers may come while they are.
                let outstanding = 1 + requests.iter().filter(|r| has_reply(r)).count();
                self.batches.insert(number, Batch { outstanding, replies: vec![] });
                for request in requests {
                    self.request(request, Some(number), link, context);
                }
                self.answered(number, link);
            }
        }
    }

    fn request(&mut self, request: Request, batch: Option<u64>, link: &mut Link, context: &mut Context) {
        match request {
            Request::Nothing => {}
            Request::Reply(reply) => {
                context.core.counters().malformed += 1;
                self.send(batch, reply, link);
            }
            Request::Ready(id) => {
                let ready = context.ready && context.active;
                self.send(batch, result(&id, &json!({"ready": ready})), link);
            }
            Request::Cancel(id) => {
                let Some(stream) = self.open.iter().find(|(_, open)| open.id == id).map(|(s, _)| *s) else {
                    return;
                };
                context.core.withdraw(context.now, Owner { connection: link.id(), stream });
                if let Some(open) = self.open.remove(&stream) {
                    self.send(open.batch, error(&open.id, codes::CANCELLED, "cancelled", None), link);
                }
            }
            Request::Call(id, params) => self.call(id, *params, batch, link, context),
            Request::Chain(id, params) => self.chain(id, *params, batch, link, context),
        }
    }

    fn chain(
        &mut self,
        id: Value,
        params: ChainParams,
        batch: Option<u64>,
        link: &mut Link,
        context: &mut Context,
    ) {
        let Some(owner) = self.place(&id, None, batch, link, context) else { return };
        // What can only be known here is said before anything starts.
        let classes: &dyn Classes = context.core.site();
        let odd = params.steps.iter().enumerate().find_map(|(n, step)| match classes.class(&step.class) {
            None => Some(format!("steps[{n}]: the class is not known")),
            Some((_, Some(_))) if params.key.is_none() => Some(format!("steps[{n}]: its class needs a key")),
            Some(_) => None,
        });
        if let Some(why) = odd {
            context.core.counters().malformed += 1;
            return self.send(batch, error(&id, codes::INVALID_PARAMS, &why, None), link);
        }
        self.open.insert(owner.stream, Open { id, batch });
        let ChainParams { steps, allow_ms, key } = params;
        context
            .core
            .chain(context.now, Chain { owner, key, deadline: deadline(arrived(link), allow_ms), steps });
    }

    /// A place for a request or a chain, or its answer where there is none.
    fn place(
        &mut self,
        id: &Value,
        class: Option<&str>,
        batch: Option<u64>,
        link: &mut Link,
        context: &mut Context,
    ) -> Option<Owner> {
        // Two open requests of one id could not be told apart, neither by the client nor by a cancel.
        if self.open.values().any(|open| open.id == *id) {
            self.send(batch, error(id, codes::INVALID_REQUEST, "id is in use", None), link);
            return None;
        }
        if self.open.len() >= MAX_OPEN_REQUESTS || !context.active {
            let verdict = Verdict::Refused { cooldown: context.core.default_cooldown() };
            context.core.count_rejected_by_listener(class, &verdict);
            self.send(batch, response(id, &Answer { verdict, expired: false }), link);
            return None;
        }
        self.next += 1;
        Some(Owner { connection: link.id(), stream: self.next - 1 })
    }

    fn call(
        &mut self,
        id: Value,
        params: Params,
        batch: Option<u64>,
        link: &mut Link,
        context: &mut Context,
    ) {
        let Some(owner) = self.place(&id, Some(&params.step.class), batch, link, context) else { return };
        self.open.insert(owner.stream, Open { id, batch });
        let made = || format!("{:08x}{:08x}", owner.connection as u32, owner.stream as u32);
        let Step { class, function, memory_mb, concurrency, load_time, body } = params.step;
        context.core.submit(
            context.now,
            IncomingRequest {
                owner,
                reference: params.reference.unwrap_or_else(made),
                class,
                function,
                key: params.key,
                memory_mb,
                concurrency,
                load_time,
                deadline: deadline(arrived(link), params.allow_ms),
                body: body.unwrap_or_default(),
            },
        );
    }

    /// A request or a chain has ended; whoever withdrew it is owed nothing.
    fn over(
        &mut self,
        stream: u64,
        reply: impl Fn(&Value) -> Value,
        link: &mut Link,
        context: &Context,
    ) -> ControlFlow {
        if let Some(open) = self.open.remove(&stream) {
            self.last = context.now;
            self.send(open.batch, reply(&open.id), link);
        }
        ControlFlow::Continue
    }

    fn read_lines(&mut self, link: &mut Link, context: &mut Context) {
        // A client that does not read its answers is not read from either: see `flushed`.
        while link.unwritten_bytes() <= MAX_UNREAD_OUTPUT_BYTES {
            let Some(end) = link.input.iter().position(|b| *b == b'\n') else { break };
            let line: Vec<u8> = link.input.drain(..=end).collect();
            if std::mem::take(&mut self.skipping) {
                continue;
            }
            if end <= self.line_limit {
                self.line(&line[..end], link, context);
            } else {
                self.too_long(link, context);
            }
        }
        if link.input.len() > self.line_limit && !link.input.contains(&b'\n') {
            link.input.clear();
            if !std::mem::replace(&mut self.skipping, true) {
                self.too_long(link, context);
            }
        }
    }

    /// When the connection is closed as idle; one on which a line has begun is not.
    fn unused_by(&self) -> Option<Timestamp> {
        (self.open.is_empty() && self.whole_by.is_none()).then_some(self.last + RPC_IDLE_TIMEOUT)
    }

    /// Whatever is open here will find nobody to answer to.
    fn withdraw_all(&mut self, link: &Link, context: &mut Context) {
        self.batches.clear();
        for stream in std::mem::take(&mut self.open).into_keys() {
            context.core.withdraw(context.now, Owner { connection: link.id(), stream });
        }
    }

    fn cut_short(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        context.core.counters().malformed += 1;
        put(link, &error(&Value::Null, codes::PARSE, "the line has no end", None));
        self.withdraw_all(link, context);
        link.set_close_cause(CloseCause::Unreadable);
        self.finish_by = Some(context.now + LINGER_TIMEOUT);
        ControlFlow::Finish
    }

    fn too_long(&mut self, link: &mut Link, context: &mut Context) {
        context.core.counters().malformed += 1;
        put(link, &error(&Value::Null, codes::INVALID_REQUEST, "line too long", None));
    }
}

/// When the line came that has just been taken from the input.
fn arrived(link: &Link) -> Timestamp {
    link.arrival_time(link.input.len())
}

/// When a client that waits so long, counted from when its line came, is to have its answer.
fn deadline(arrived: Timestamp, allow_ms: u64) -> Timestamp {
    arrived + Duration((allow_ms.min(3_600_000) * 1_000_000).saturating_sub(ANSWER_TRANSIT_TIME.0))
}

fn has_reply(request: &Request) -> bool {
    !matches!(request, Request::Nothing | Request::Cancel(_))
}

fn put(link: &mut Link, reply: &Value) {
    let mut bytes = reply.to_string().into_bytes();
    bytes.push(b'\n');
    link.enqueue(&bytes);
}

impl Connection for RpcConnection {
    fn kind(&self) -> &'static str {
        "caller"
    }

    fn opened(&mut self, _link: &mut Link, context: &mut Context) -> ControlFlow {
        context.core.counters().accepted += 1;
        ControlFlow::Continue
    }

    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.last = context.now;
        let held = link.input.len();
        self.read_lines(link, context);
        if !link.peer_closed {
            // A line cut short is owed a word; one that is held back until its client reads is not cut short.
            let part = self.skipping || !link.input.is_empty() && !link.input.contains(&b'\n');
            self.whole_by = if !part {
                None
            } else {
                // What is left after a complete line has only just begun.
                self.whole_by.filter(|_| link.input.len() >= held).or(Some(context.now + MESSAGE_TIMEOUT))
            };
            return ControlFlow::Continue;
        }
        if link.input.iter().all(u8::is_ascii_whitespace) || link.input.contains(&b'\n') {
            return ControlFlow::Close;
        }
        // A line cut short by the end: said, in case the client still reads.
        self.cut_short(link, context)
    }

    fn flushed(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.read_lines(link, context);
        ControlFlow::Continue
    }

    fn on_timeout(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        if self.finish_by.is_none() && self.whole_by.is_some_and(|by| by <= context.now) {
            return self.cut_short(link, context);
        }
        let idle = self.unused_by().is_some_and(|by| by <= context.now);
        let over = self.finish_by.is_some_and(|by| by <= context.now);
        if idle {
            link.set_close_cause(CloseCause::Idle);
        }
        if idle || over { ControlFlow::Close } else { ControlFlow::Continue }
    }

    fn deadline(&self) -> Option<Timestamp> {
        let idle = self.unused_by();
        let whole = self.whole_by.filter(|_| self.finish_by.is_none());
        self.finish_by.into_iter().chain(whole).chain(idle).min()
    }

    fn closed(&mut self, link: &Link, context: &mut Context) {
        self.withdraw_all(link, context);
    }

    fn answer(
        &mut self,
        stream: u64,
        answer: &Answer,
        link: &mut Link,
        context: &mut Context,
    ) -> ControlFlow {
        self.over(stream, |id| response(id, answer), link, context)
    }

    fn chain_ended(&mut self, stream: u64, end: &End, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.over(stream, |id| chain_response(id, end), link, context)
    }

    fn has_partial_request(&self) -> bool {
        self.whole_by.is_some()
    }

    fn idle_since(&self) -> Option<Timestamp> {
        (self.open.is_empty() && self.finish_by.is_none()).then_some(self.last)
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod wire_tests;
