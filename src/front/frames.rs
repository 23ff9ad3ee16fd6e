//! The platform's front: binary frames over TCP. A pure codec, and the connection object over it.

use super::{
    ANSWER_TRANSIT_TIME, LINGER_TIMEOUT, MAX_BODY_BYTES, MAX_OPEN_REQUESTS, MAX_UNREAD_OUTPUT_BYTES,
    MESSAGE_TIMEOUT, read_function,
};
use crate::core::{Answer, IncomingRequest, Owner, Verdict};
use crate::interface::{Duration, FunctionId, Timestamp};
use crate::net::{BufferLimits, Connection, Context, ControlFlow, Link};
use crate::request::CloseCause;
use std::collections::BTreeSet;

/// Largest length field.
pub const MAX_FRAME_LENGTH: usize = 262_144;
/// Largest length of a frame that can be of use: a body and its fields. A longer one is not kept, for hundreds
/// of connections may bring one each: its request has failed once its head is known, and the rest is passed over.
pub const MAX_USABLE_FRAME_LENGTH: usize = 32 << 10;
/// Buffers of a client's connection: a usable frame, and output that waits.
pub const BUFFER_LIMITS: BufferLimits =
    BufferLimits { input: MAX_USABLE_FRAME_LENGTH + 4, output: MAX_UNREAD_OUTPUT_BYTES };
/// A connection on which nothing is open and nothing comes is closed after this. Clients close theirs after
/// 4 s, so no request crosses it.
pub const IDLE_TIMEOUT: Duration = Duration::millis(5_000);
/// The same for one that has never sent a whole frame: some clients open connections by hundreds and send nothing.
pub const FIRST_FRAME_TIMEOUT: Duration = Duration::millis(2_600);

/// Types of frames.
pub mod kinds {
    /// A request.
    pub const REQUEST: u8 = 0;
    /// An answer.
    pub const ANSWER: u8 = 1;
    /// Nobody waits any more.
    pub const CANCEL: u8 = 2;
    /// Is the scheduler ready?
    pub const READY: u8 = 6;
    /// The answer to that.
    pub const READINESS: u8 = 7;
    /// No new request on this connection.
    pub const LEAVE: u8 = 9;
}

/// Codes of answers.
pub mod codes {
    /// Served, or ready.
    pub const SERVED: u8 = 79;
    /// Refused, or not ready.
    pub const REFUSED: u8 = 66;
    /// Failed.
    pub const FAILED: u8 = 69;
}

/// A frame in its buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Its type.
    pub kind: u8,
    /// Its stream.
    pub stream: u32,
    /// The rest.
    pub payload: &'a [u8],
}

/// Reads the first frame of a buffer with the bytes it took; `Ok(None)` where it is not whole yet.
///
/// # Errors
/// The frame's length is out of range; the connection cannot go on.
pub fn read_frame(bytes: &[u8]) -> Result<Option<(Frame<'_>, usize)>, &'static str> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if !(5..=MAX_FRAME_LENGTH).contains(&length) {
        return Err("length out of range");
    }
    let Some(rest) = bytes.get(4..4 + length) else { return Ok(None) };
    let stream = u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]);
    Ok(Some((Frame { kind: rest[0], stream, payload: &rest[5..] }, 4 + length)))
}

/// Appends a frame.
pub fn put_frame(kind: u8, stream: u32, payload: &[&[u8]], out: &mut Vec<u8>) {
    let length = 5 + payload.iter().map(|part| part.len()).sum::<usize>();
    out.extend((length as u32).to_be_bytes());
    out.push(kind);
    out.extend(stream.to_be_bytes());
    payload.iter().for_each(|part| out.extend(*part));
}

/// Fields as they stand, and what follows them.
pub type Fields<'a> = (Vec<(&'a str, &'a str)>, &'a [u8]);

/// Reads fields.
///
/// # Errors
/// A field is cut short, or its name or value is no text.
pub fn read_fields(mut bytes: &[u8]) -> Result<Fields<'_>, &'static str> {
    fn take<'a>(bytes: &mut &'a [u8], count: usize) -> Result<&'a [u8], &'static str> {
        let (part, rest) = bytes.split_at_checked(count).ok_or("fields cut short")?;
        *bytes = rest;
        Ok(part)
    }
    let text = |part| std::str::from_utf8(part).map_err(|_| "a field is not text");
    let count = take(&mut bytes, 1)?[0];
    let mut fields = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let size = usize::from(take(&mut bytes, 1)?[0]);
        let name = text(take(&mut bytes, size)?)?;
        let size = take(&mut bytes, 2)?;
        let value = text(take(&mut bytes, usize::from(u16::from_be_bytes([size[0], size[1]])))?)?;
        fields.push((name, value));
    }
    Ok((fields, bytes))
}

/// Writes fields.
pub fn fields(list: &[(&str, &str)]) -> Vec<u8> {
    let mut out = vec![list.len() as u8];
    for (name, value) in list {
        out.push(name.len() as u8);
        out.extend(name.as_bytes());
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(value.as_bytes());
    }
    out
}

/// Why a request's payload makes no request.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The frame itself cannot be read: the connection ends.
    Malformed(&'static str),
    /// It can be read but not be used: this request has failed.
    Unusable(&'static str),
}

/// Reads a request, whose time counts from when it came.
///
/// # Errors
/// [`RequestError`] says what is wrong and whether the request can still be answered.
pub fn read_request(
    payload: &[u8],
    owner: Owner,
    arrived: Timestamp,
) -> Result<IncomingRequest, RequestError> {
    let (list, body) = read_fields(payload).map_err(RequestError::Malformed)?;
    let twice = |n: usize| list[..n].iter().any(|(name, _)| *name == list[n].0);
    if (1..list.len()).any(twice) {
        return Err(RequestError::Unusable("a field stands twice"));
    }
    let field = |name: &str| list.iter().find(|(n, _)| *n == name).map(|(_, value)| *value);
    let need = |name: &str, why| field(name).ok_or(RequestError::Unusable(why));
    let class = need("service", "no service")?;
    let reference = need("ref", "no ref")?;
    if read_function(reference).is_none() {
        return Err(RequestError::Unusable("ref is not 16 hex digits"));
    }
    let function = read_function(need("lookup", "no lookup")?);
    let function = FunctionId(function.ok_or(RequestError::Unusable("lookup is not 16 hex digits"))?);
    let allow = need("allow", "no allow")?;
    let digits = allow.bytes().all(|b| b.is_ascii_digit());
    let allow =
        allow.parse::<u64>().ok().filter(|_| digits).ok_or(RequestError::Unusable("allow is no number"))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(RequestError::Unusable("body too large"));
    }
    let (mut memory_mb, mut concurrency, mut load_time) = (0.0, 1.0, None);
    for part in field("spec").unwrap_or("").split(';').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once(':').ok_or(RequestError::Unusable("odd spec"))?;
        let value: f64 = value.parse().map_err(|_| RequestError::Unusable("odd spec"))?;
        if !value.is_finite() || value < 0.0 {
            return Err(RequestError::Unusable("odd spec"));
        }
        match name {
            "memory_mb" => memory_mb = value,
            "lanes" => concurrency = value,
            "load_ms" => load_time = Some(Duration((value * 1e6) as u64)).filter(|span| span.0 > 0),
            _ => {}
        }
    }
    let deadline =
        arrived + Duration((allow.min(3_600_000) * 1_000_000).saturating_sub(ANSWER_TRANSIT_TIME.0));
    Ok(IncomingRequest {
        owner,
        reference: reference.to_owned(),
        class: class.to_owned(),
        function,
        key: field("replay").map(str::to_owned),
        memory_mb,
        concurrency,
        load_time,
        deadline,
        body: body.to_vec(),
    })
}

/// Writes an answer.
pub fn put_answer(stream: u32, verdict: &Verdict, out: &mut Vec<u8>) {
    match verdict {
        Verdict::Served(body) => put_frame(kinds::ANSWER, stream, &[&[codes::SERVED, 0], body], out),
        Verdict::Refused { cooldown } if cooldown.0 == 0 => {
            put_frame(kinds::ANSWER, stream, &[&[codes::REFUSED, 0]], out);
        }
        Verdict::Refused { cooldown } => {
            let ms = cooldown.0.div_ceil(1_000_000).to_string();
            let list = fields(&[("cooldown", &ms)]);
            put_frame(kinds::ANSWER, stream, &[&[codes::REFUSED], &list], out);
        }
        Verdict::Failed => put_frame(kinds::ANSWER, stream, &[&[codes::FAILED, 0]], out),
    }
}

/// Stream numbers that have been used, with a floor below which all have.
#[derive(Default)]
struct Seen {
    floor: u32,
    above: BTreeSet<u32>,
}

impl Seen {
    /// Notes a number; false if it is not new.
    fn new_stream(&mut self, stream: u32) -> bool {
        if stream <= self.floor || !self.above.insert(stream) {
            return false;
        }
        while self.above.remove(&(self.floor + 1)) {
            self.floor += 1;
        }
        // Numbers need not come in order, but gaps are not remembered for ever.
        if self.above.len() > 4096
            && let Some(first) = self.above.pop_first()
        {
            self.floor = first;
        }
        true
    }
}

/// A client's connection.
pub struct FrameConnection {
    open: BTreeSet<u32>,
    seen: Seen,
    last: Timestamp,
    /// When anything came last: a request that is being written slowly is not taken for one that never will be.
    last_seen: Timestamp,
    leaving: bool,
    /// A whole frame has come.
    used: bool,
    /// What is still to be passed over of a frame that is too long.
    skip: usize,
    /// Until when the frame that has begun must be whole.
    whole_by: Option<Timestamp>,
    /// Ends by then even if the client does not read.
    finish_by: Option<Timestamp>,
}

impl FrameConnection {
    /// A connection that has just been accepted.
    pub fn new(now: Timestamp) -> FrameConnection {
        let (open, seen) = (BTreeSet::new(), Seen::default());
        FrameConnection {
            open,
            seen,
            last: now,
            last_seen: now,
            leaving: false,
            used: false,
            skip: 0,
            whole_by: None,
            finish_by: None,
        }
    }

    /// Acts on a frame, whose last byte came at that time.
    fn frame(
        &mut self,
        frame: &Frame,
        arrived: Timestamp,
        link: &mut Link,
        context: &mut Context,
    ) -> Result<(), &'static str> {
        match frame.kind {
            kinds::REQUEST => {
                if frame.stream == 0 || !self.seen.new_stream(frame.stream) {
                    return Err("stream is not new");
                }
                let owner = Owner { connection: link.id(), stream: u64::from(frame.stream) };
                let call = match read_request(frame.payload, owner, arrived) {
                    Err(RequestError::Malformed(why)) => return Err(why),
                    other => other,
                };
                let (class, verdict) = match call {
                    Ok(call) if self.open.len() >= MAX_OPEN_REQUESTS => {
                        (Some(call.class), Verdict::Refused { cooldown: context.core.default_cooldown() })
                    }
                    Ok(call) => {
                        self.open.insert(frame.stream);
                        context.core.submit(context.now, call);
                        return Ok(());
                    }
                    Err(_) => (None, Verdict::Failed),
                };
                context.core.count_rejected_by_listener(class.as_deref(), &verdict);
                let mut bytes = Vec::new();
                put_answer(frame.stream, &verdict, &mut bytes);
                link.enqueue(&bytes);
            }
            kinds::CANCEL => {
                if self.open.remove(&frame.stream) {
                    let owner = Owner { connection: link.id(), stream: u64::from(frame.stream) };
                    context.core.withdraw(context.now, owner);
                }
            }
            kinds::READY => {
                read_fields(frame.payload)?;
                let code = if context.ready { codes::SERVED } else { codes::REFUSED };
                let mut bytes = Vec::new();
                put_frame(kinds::READINESS, frame.stream, &[&[code, 0]], &mut bytes);
                link.enqueue(&bytes);
            }
            _ => return Err("unknown type"),
        }
        Ok(())
    }

    /// The size of the frame that begins here, if it is too long to be of use and its head is there: then it
    /// has had its answer.
    fn too_long(
        &mut self,
        bytes: &[u8],
        link: &mut Link,
        context: &mut Context,
    ) -> Result<usize, &'static str> {
        let Some(head) = bytes.first_chunk::<9>() else { return Ok(0) };
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length <= MAX_USABLE_FRAME_LENGTH {
            return Ok(0);
        }
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        if head[4] != kinds::REQUEST || stream == 0 || !self.seen.new_stream(stream) {
            return Err("a long frame that is no request");
        }
        context.core.count_rejected_by_listener(None, &Verdict::Failed);
        let mut bytes = Vec::new();
        put_answer(stream, &Verdict::Failed, &mut bytes);
        link.enqueue(&bytes);
        Ok(4 + length)
    }

    /// Whatever is open here will find nobody to answer to.
    fn withdraw_all(&mut self, link: &Link, context: &mut Context) {
        for stream in std::mem::take(&mut self.open) {
            context.core.withdraw(context.now, Owner { connection: link.id(), stream: u64::from(stream) });
        }
    }

    /// When the connection is closed as idle; one on which a frame has begun is not.
    fn unused_by(&self) -> Option<Timestamp> {
        let idle = self.open.is_empty() && self.whole_by.is_none();
        idle.then_some(self.last + if self.used { IDLE_TIMEOUT } else { FIRST_FRAME_TIMEOUT })
    }

    /// Tells the client what is wrong; the connection ends once that has gone out.
    fn malformed(&mut self, why: &str, link: &mut Link, context: &mut Context) -> ControlFlow {
        context.core.counters().malformed += 1;
        if context.core.may_log(context.now) {
            tracing::warn!(front = "frames", connection = link.id(), why, "malformed");
        }
        let mut bytes = Vec::new();
        put_answer(0, &Verdict::Failed, &mut bytes);
        link.enqueue(&bytes);
        self.withdraw_all(link, context);
        link.set_close_cause(CloseCause::Unreadable);
        self.finish_by = Some(context.now + LINGER_TIMEOUT);
        ControlFlow::Finish
    }
}

impl Connection for FrameConnection {
    fn kind(&self) -> &'static str {
        "client"
    }

    fn opened(&mut self, _link: &mut Link, context: &mut Context) -> ControlFlow {
        context.core.counters().accepted += 1;
        ControlFlow::Continue
    }

    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.last_seen = context.now;
        let bytes = std::mem::take(&mut link.input);
        let mut from = self.skip.min(bytes.len());
        self.skip -= from;
        // What is still passed over belongs to the frame that began before.
        let mut begun = self.skip == 0 && from > 0;
        let error = loop {
            match read_frame(&bytes[from..]) {
                _ if self.skip > 0 => break None,
                Ok(None) => match self.too_long(&bytes[from..], link, context) {
                    Ok(0) => break None,
                    Ok(size) => {
                        self.skip = size.saturating_sub(bytes.len() - from);
                        from = bytes.len().min(from + size);
                        begun = true;
                    }
                    Err(why) => break Some(why),
                },
                Ok(Some((frame, size))) => {
                    from += size;
                    begun = true;
                    (self.used, self.last) = (true, context.now);
                    let arrived = link.arrival_time(bytes.len() - from);
                    if let Err(why) = self.frame(&frame, arrived, link, context) {
                        break Some(why);
                    }
                }
                Err(why) => break Some(why),
            }
        };
        link.input = bytes;
        link.consume(from);
        self.whole_by = if link.input.is_empty() && self.skip == 0 {
            None
        } else {
            // What is left after a complete frame has only just begun.
            self.whole_by.filter(|_| !begun).or(Some(context.now + MESSAGE_TIMEOUT))
        };
        match error {
            Some(why) => self.malformed(why, link, context),
            // A client that closes waits for nothing more.
            None if link.peer_closed => ControlFlow::Close,
            None => ControlFlow::Continue,
        }
    }

    fn on_timeout(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        if self.finish_by.is_none() && self.whole_by.is_some_and(|by| by <= context.now) {
            return self.malformed("a frame without an end", link, context);
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
        let stream = stream as u32;
        // Whoever withdrew is owed nothing.
        if self.open.remove(&stream) {
            let mut bytes = Vec::new();
            put_answer(stream, &answer.verdict, &mut bytes);
            link.enqueue(&bytes);
            self.last = context.now;
        }
        ControlFlow::Continue
    }

    fn send_leave(&mut self, link: &mut Link, _hub: &mut Context) -> ControlFlow {
        if !self.leaving {
            self.leaving = true;
            let mut bytes = Vec::new();
            put_frame(kinds::LEAVE, 0, &[], &mut bytes);
            link.enqueue(&bytes);
        }
        ControlFlow::Continue
    }

    fn has_partial_request(&self) -> bool {
        self.whole_by.is_some()
    }

    fn may_receive_request(&self) -> bool {
        self.finish_by.is_none() && (self.whole_by.is_some() || !self.used)
    }

    fn idle_since(&self) -> Option<Timestamp> {
        (self.open.is_empty() && self.finish_by.is_none()).then_some(self.last.max(self.last_seen))
    }
}

#[cfg(test)]
mod tests;
