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

mod codec;

pub use codec::{
    BATCH, ChainParams, LINE, Params, ParsedLine, Request, chain_response, codes, read_line, response,
};

use super::{IDLE, LINGER, OPEN, OUTBOX, TRANSIT, WHOLE};
use crate::chain::{Chain, Classes, End, Step};
use crate::core::{Answer, Incoming, Owner, Verdict};
use crate::interface::{Span, Time};
use crate::net::{Connection, Flow, Hub, Link};
use codec::{error, result};
use serde_json::{Value, json};
use std::collections::BTreeMap;

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
            ParsedLine::One(request) => self.request(request, None, link, hub),
            ParsedLine::Batch(requests) => {
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
