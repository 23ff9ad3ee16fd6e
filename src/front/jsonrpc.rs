//! The second front: JSON-RPC 2.0 over Unix sockets, one object or batch per line.
//!
//! | method | params | result |
//! | --- | --- | --- |
//! | `call` | `class`, `function`, `allow_ms`; optional `ref`, `key`, `memory_mb`, `concurrency`, `load_ms`, `body` | `{"body": BASE64}` |
//! | `chain` | `steps`, `allow_ms`; optional `key`; see `docs/chains.md` | `{"body": BASE64}` of the last step |
//! | `cancel` | `id` of a request or chain on this connection; a notification | none; the request ends with [`codes::CANCELLED`] |
//! | `ready` | none | `{"ready": BOOL}` |
//!
//! A `call` notification is ignored, because its outcome could not be reported. When a client closes its connection or
//! the half on which it writes, its requests are withdrawn.

mod codec;

pub use codec::{
    ChainParams, DEFAULT_MAX_LINE_BYTES, MAX_BATCH_REQUESTS, Params, ParsedLine, Request, chain_response,
    codes, read_line, response,
};

use super::client_timers::{ClientTimers, Lateness};
use super::{
    ANSWER_TRANSIT_TIME, MAX_MESSAGES_PER_TURN, MAX_UNREAD_MESSAGES, MAX_UNREAD_OUTPUT_BYTES,
    RPC_IDLE_TIMEOUT, has_room_for_request,
};
use crate::chain::{Chain, Classes, End, Step};
use crate::core::{Answer, IncomingRequest, Owner, Verdict};
use crate::interface::{Duration, Timestamp};
use crate::net::{BufferLimits, Connection, Context, ControlFlow, Link};
use crate::request::CloseCause;
use codec::{error, result};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Most bytes of the ids of all requests that are open on a connection.
const MAX_OPEN_ID_BYTES: usize = 32 << 10;

/// An odd number by which the references of connections accepted one after another are spread over all numbers.
const REFERENCE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

struct OpenRequest {
    id: Value,
    /// The batch whose reply includes this request's response.
    batch: Option<u64>,
}

/// A batch whose reply has not been sent yet.
struct Batch {
    /// Responses that are still missing.
    outstanding: usize,
    /// The responses that are there, as text.
    replies: Vec<String>,
}

impl Batch {
    fn byte_count(&self) -> usize {
        self.replies.iter().map(String::len).sum()
    }
}

/// A client's connection to the JSON-RPC front.
pub struct RpcConnection {
    open: BTreeMap<u64, OpenRequest>,
    batches: BTreeMap<u64, Batch>,
    next_number: u64,
    max_line_bytes: usize,
    /// The rest of an oversized line is being skipped.
    skipping: bool,
    /// When the line that is being handled arrived.
    line_arrived: Timestamp,
    timers: ClientTimers,
    accepted_at: Timestamp,
}

impl RpcConnection {
    /// The state of a newly accepted connection, with the operator's limit on the length of a line.
    pub fn new(now: Timestamp, max_line_bytes: usize) -> RpcConnection {
        RpcConnection {
            open: BTreeMap::new(),
            batches: BTreeMap::new(),
            next_number: 1,
            max_line_bytes,
            skipping: false,
            line_arrived: now,
            timers: ClientTimers::new(now),
            accepted_at: now,
        }
    }

    /// Buffer limits of a connection with this limit on the length of a line.
    pub fn buffer_limits(max_line_bytes: usize) -> BufferLimits {
        BufferLimits { input: max_line_bytes + 1, output: MAX_UNREAD_OUTPUT_BYTES }
    }

    fn send(&mut self, batch: Option<u64>, reply: &Value, link: &mut Link) {
        let Some(number) = batch else { return write_line(link, reply.to_string()) };
        let Some(entry) = self.batches.get_mut(&number) else { return };
        let reply = reply.to_string();
        link.hold_output(reply.len());
        entry.replies.push(reply);
        self.count_reply(number, link);
    }

    /// Counts one response of a batch as done; sends the batch's reply once all are.
    fn count_reply(&mut self, number: u64, link: &mut Link) {
        let Some(batch) = self.batches.get_mut(&number) else { return };
        batch.outstanding -= 1;
        if batch.outstanding == 0
            && let Some(batch) = self.batches.remove(&number)
            && !batch.replies.is_empty()
        {
            link.release_output(batch.byte_count());
            write_line(link, format!("[{}]", batch.replies.join(",")));
        }
    }

    /// Handles a line, and returns the number of messages in it.
    fn handle_line(&mut self, line: &[u8], link: &mut Link, context: &mut Context) -> usize {
        if line.iter().all(u8::is_ascii_whitespace) {
            return 1;
        }
        match read_line(line) {
            ParsedLine::One(request) => {
                self.handle_request(request, None, link, context);
                1
            }
            ParsedLine::Batch(requests) => {
                let count = requests.len();
                let number = self.next_number;
                self.next_number += 1;
                // One more than the requests, so that answers that arrive while they are read don't complete the batch.
                let outstanding = 1 + requests.iter().filter(|r| has_reply(r)).count();
                self.batches.insert(number, Batch { outstanding, replies: vec![] });
                for request in requests {
                    self.handle_request(request, Some(number), link, context);
                }
                self.count_reply(number, link);
                count
            }
        }
    }

    fn handle_request(
        &mut self,
        request: Request,
        batch: Option<u64>,
        link: &mut Link,
        context: &mut Context,
    ) {
        match request {
            Request::Nothing => {}
            Request::Reply(reply) => {
                context.core.counters().malformed += 1;
                self.send(batch, &reply, link);
            }
            Request::Ready(id) => {
                let ready = context.ready && context.active;
                self.send(batch, &result(&id, &json!({"ready": ready})), link);
            }
            Request::Cancel(id) => {
                let Some(stream) = self.open.iter().find(|(_, open)| open.id == id).map(|(s, _)| *s) else {
                    return;
                };
                context.core.withdraw(context.now, Owner { connection: link.id(), stream });
                if let Some(open) = self.open.remove(&stream) {
                    self.send(open.batch, &error(&open.id, codes::CANCELLED, "cancelled", None), link);
                }
            }
            Request::Call(id, params) => self.start_call(id, *params, batch, link, context),
            Request::Chain(id, params) => self.start_chain(id, *params, batch, link, context),
        }
    }

    fn start_chain(
        &mut self,
        id: Value,
        params: ChainParams,
        batch: Option<u64>,
        link: &mut Link,
        context: &mut Context,
    ) {
        let Some(owner) = self.reserve(&id, None, batch, link, context) else { return };
        // Classes can only be checked here, and an invalid step is reported before anything starts.
        let classes: &dyn Classes = context.core.site();
        let invalid =
            params.steps.iter().enumerate().find_map(|(n, step)| match classes.class(&step.class) {
                None => Some(format!("steps[{n}]: the class is not known")),
                Some(class) if class.window().is_some() && params.key.is_none() => {
                    Some(format!("steps[{n}]: its class needs a key"))
                }
                Some(_) => None,
            });
        if let Some(why) = invalid {
            context.core.counters().malformed += 1;
            return self.send(batch, &error(&id, codes::INVALID_PARAMS, &why, None), link);
        }
        self.open.insert(owner.stream, OpenRequest { id, batch });
        let ChainParams { steps, allow_ms, key } = params;
        let deadline = deadline(self.line_arrived, allow_ms);
        context.core.enqueue_chain(Chain { owner, key, deadline, steps });
    }

    /// Reserves a stream number for a request or a chain. If it cannot be accepted, sends the error response.
    fn reserve(
        &mut self,
        id: &Value,
        class: Option<&str>,
        batch: Option<u64>,
        link: &mut Link,
        context: &mut Context,
    ) -> Option<Owner> {
        // Two open requests with one id could not be told apart by the client or by a `cancel`.
        if self.open.values().any(|open| open.id == *id) {
            self.send(batch, &error(id, codes::INVALID_REQUEST, "id is in use", None), link);
            return None;
        }
        let has_room = has_room_for_request(self.open.len(), link) && self.has_room_for(id);
        if !has_room || !context.active {
            let verdict = Verdict::Refused { cooldown: context.core.default_cooldown() };
            context.core.count_rejected_by_listener(class, &verdict);
            self.send(batch, &response(id, &Answer { verdict, expired: false }), link);
            return None;
        }
        self.next_number += 1;
        Some(Owner { connection: link.id(), stream: self.next_number - 1 })
    }

    /// Whether this id and those of the open requests are within [`MAX_OPEN_ID_BYTES`].
    fn has_room_for(&self, id: &Value) -> bool {
        let byte_count = |id: &Value| id.as_str().map_or(0, str::len);
        let open_bytes: usize = self.open.values().map(|open| byte_count(&open.id)).sum();
        open_bytes + byte_count(id) <= MAX_OPEN_ID_BYTES
    }

    fn start_call(
        &mut self,
        id: Value,
        params: Params,
        batch: Option<u64>,
        link: &mut Link,
        context: &mut Context,
    ) {
        let Some(owner) = self.reserve(&id, Some(&params.step.class), batch, link, context) else { return };
        self.open.insert(owner.stream, OpenRequest { id, batch });
        let generated = || self.generated_reference(owner.stream);
        let Step { class, function, memory_mb, concurrency, load_time, body } = params.step;
        context.core.enqueue(IncomingRequest {
            owner,
            reference: params.reference.unwrap_or_else(generated),
            class,
            function,
            key: params.key,
            memory_mb,
            concurrency,
            load_time,
            deadline: deadline(self.line_arrived, params.allow_ms),
            body: body.unwrap_or_default(),
        });
    }

    /// A reference for a request without one of its own. It differs from those of the other process of an upgrade, which
    /// numbers its connections in the same way.
    fn generated_reference(&self, stream: u64) -> String {
        format!("{:016x}", self.accepted_at.0.wrapping_mul(REFERENCE_MULTIPLIER).wrapping_add(stream))
    }

    /// Sends the response of a request or a chain that has ended, unless it was withdrawn.
    fn finish_request(
        &mut self,
        stream: u64,
        reply: impl Fn(&Value) -> Value,
        link: &mut Link,
        context: &Context,
    ) -> ControlFlow {
        if let Some(open) = self.open.remove(&stream) {
            self.timers.last_activity = context.now;
            self.send(open.batch, &reply_within_room(reply(&open.id), link), link);
        }
        ControlFlow::Continue
    }

    /// Handles the complete lines of the input, and notes whether an incomplete one follows.
    fn read_lines(&mut self, link: &mut Link, context: &mut Context) {
        let mut consumed = 0;
        let input = std::mem::take(&mut link.input);
        let mut handled = 0;
        let mut left = false;
        while let Some(length) = input[consumed..].iter().position(|b| *b == b'\n') {
            left = handled >= MAX_MESSAGES_PER_TURN || link.is_output_unread();
            if left {
                break;
            }
            let line = &input[consumed..consumed + length];
            consumed += length + 1;
            handled += 1;
            if std::mem::take(&mut self.skipping) {
                continue;
            }
            if length <= self.max_line_bytes {
                self.line_arrived = link.arrival_time(input.len() - consumed);
                handled += self.handle_line(line, link, context) - 1;
            } else {
                self.reject_oversized(link, context);
            }
        }
        link.input = input;
        link.consume(consumed);
        link.leave_messages(left);
        if link.input.len() > self.max_line_bytes && !left {
            link.drop_input();
            if !std::mem::replace(&mut self.skipping, true) {
                self.reject_oversized(link, context);
            }
        }
        let incomplete = !left && (self.skipping || !link.input.is_empty());
        self.timers.record_input(context.now, incomplete, handled > 0);
    }

    /// The time that the client has for its next request; `None` while requests are open.
    fn idle_timeout(&self) -> Option<Duration> {
        self.open.is_empty().then_some(RPC_IDLE_TIMEOUT)
    }

    /// Withdraws all open requests of the connection.
    fn withdraw_all(&mut self, link: &Link, context: &mut Context) {
        self.batches.clear();
        for stream in std::mem::take(&mut self.open).into_keys() {
            context.core.withdraw(context.now, Owner { connection: link.id(), stream });
        }
    }

    /// Sends the error for a line without an end; the connection finishes once it has been written.
    fn close_incomplete(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        context.core.counters().malformed += 1;
        link.release_output(self.batches.values().map(Batch::byte_count).sum());
        write_line(link, error(&Value::Null, codes::PARSE, "the line has no end", None).to_string());
        self.withdraw_all(link, context);
        link.set_close_cause(CloseCause::Unreadable);
        self.timers.begin_finish(context.now);
        ControlFlow::Finish
    }

    fn reject_oversized(&mut self, link: &mut Link, context: &mut Context) {
        context.core.counters().malformed += 1;
        write_line(link, error(&Value::Null, codes::INVALID_REQUEST, "line too long", None).to_string());
    }
}

/// The deadline of a request whose client waits `allow_ms` from the arrival of its line, at most an hour.
fn deadline(arrived: Timestamp, allow_ms: u64) -> Timestamp {
    arrived + Duration((allow_ms.min(3_600_000) * 1_000_000).saturating_sub(ANSWER_TRANSIT_TIME.0))
}

fn has_reply(request: &Request) -> bool {
    !matches!(request, Request::Nothing | Request::Cancel(_))
}

fn write_line(link: &mut Link, mut reply: String) {
    reply.push('\n');
    link.enqueue(reply.as_bytes());
}

/// The reply to a request that has ended; a failure without the body if there is no memory for it.
fn reply_within_room(reply: Value, link: &Link) -> Value {
    let has_room = |body: &Value| body.as_str().is_none_or(|body| link.has_output_room(body.len()));
    if reply.pointer("/result/body").is_none_or(has_room) {
        return reply;
    }
    error(&reply["id"], codes::FAILED, "failed", None)
}

impl Connection for RpcConnection {
    fn kind(&self) -> &'static str {
        "caller"
    }

    fn opened(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        link.allow_unwritten_messages(MAX_UNREAD_MESSAGES);
        context.core.counters().accepted += 1;
        ControlFlow::Continue
    }

    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.timers.last_activity = context.now;
        self.read_lines(link, context);
        if !link.peer_closed {
            return ControlFlow::Continue;
        }
        if link.input.iter().all(u8::is_ascii_whitespace) || link.has_messages_left() {
            return ControlFlow::Close;
        }
        // The client closed its half within a line: answered with an error, as it may still be reading.
        self.close_incomplete(link, context)
    }

    fn on_timeout(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        let Some(lateness) = self.timers.lateness(context.now, self.idle_timeout(), link) else {
            return ControlFlow::Continue;
        };
        if lateness == Lateness::Message {
            return self.close_incomplete(link, context);
        }
        if let Some(cause) = lateness.close_cause() {
            link.set_close_cause(cause);
        }
        ControlFlow::Close
    }

    fn peer_deadline(&self, link: &Link) -> Option<Timestamp> {
        self.timers.next(self.idle_timeout(), link).map(|(at, _)| at)
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
        self.finish_request(stream, |id| response(id, answer), link, context)
    }

    fn chain_ended(&mut self, stream: u64, end: &End, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.finish_request(stream, |id| chain_response(id, end), link, context)
    }

    fn has_partial_request(&self) -> bool {
        self.timers.message_started.is_some()
    }

    fn partial_request_since(&self) -> Option<Timestamp> {
        self.timers.message_started
    }

    fn drop_partial_request(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        link.drop_input();
        self.skipping = true;
        context.core.counters().malformed += 1;
        let data = json!({"cooldown_ms": context.core.default_cooldown().0.div_ceil(1_000_000)});
        let why = "no memory for the rest of the line";
        write_line(link, error(&Value::Null, codes::REFUSED, why, Some(data)).to_string());
        ControlFlow::Continue
    }

    fn open_requests(&self) -> usize {
        self.open.len()
    }

    fn ends_at_peer_close(&self) -> bool {
        true
    }

    fn idle_since(&self) -> Option<Timestamp> {
        (self.open.is_empty() && !self.timers.is_finishing()).then_some(self.timers.last_activity)
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod wire_tests;
