//! The platform's front: binary frames over TCP. A codec without state, and the connection that uses it.

use super::client_timers::{ClientTimers, Lateness};
use super::{
    ANSWER_TRANSIT_TIME, MAX_BODY_BYTES, MAX_MESSAGES_PER_TURN, MAX_OPEN_REQUESTS, MAX_UNREAD_OUTPUT_BYTES,
    has_room_for_request, read_function,
};
use crate::core::{Answer, IncomingRequest, Owner, Verdict};
use crate::interface::{Duration, FunctionId, Timestamp};
use crate::net::{BufferLimits, Connection, Context, ControlFlow, Link};
use crate::request::CloseCause;
use std::collections::BTreeSet;

/// Largest value of a frame's length field.
pub const MAX_FRAME_LENGTH: usize = 262_144;
/// Largest length of a usable frame: a body and its fields. A longer frame is not buffered, because hundreds of
/// connections may each send one: its request fails once its header is known, and the rest is skipped.
pub const MAX_USABLE_FRAME_LENGTH: usize = 32 << 10;
/// Buffer limits of a client's connection: one usable frame as input, and the unread output.
pub const BUFFER_LIMITS: BufferLimits =
    BufferLimits { input: MAX_USABLE_FRAME_LENGTH + 4, output: MAX_UNREAD_OUTPUT_BYTES };
/// A connection without open requests and input is closed after this time. Clients close theirs after 4 s, so that no
/// request crosses with the close.
pub const IDLE_TIMEOUT: Duration = Duration::millis(5_000);
/// The same limit until the first complete frame: some clients open hundreds of connections and send nothing.
pub const FIRST_FRAME_TIMEOUT: Duration = Duration::millis(2_600);

/// Frame types.
pub mod kinds {
    /// A request.
    pub const REQUEST: u8 = 0;
    /// The answer to a request.
    pub const ANSWER: u8 = 1;
    /// The client no longer waits for this request.
    pub const CANCEL: u8 = 2;
    /// Asks whether the scheduler is ready.
    pub const READY: u8 = 6;
    /// The answer to [`READY`].
    pub const READINESS: u8 = 7;
    /// Asks the client to send no new request on this connection.
    pub const LEAVE: u8 = 9;
}

/// Answer codes.
pub mod codes {
    /// Served, or ready.
    pub const SERVED: u8 = 79;
    /// Refused, or not ready.
    pub const REFUSED: u8 = 66;
    /// Failed.
    pub const FAILED: u8 = 69;
}

/// A frame, borrowed from its buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The frame's type.
    pub kind: u8,
    /// The number of the stream that the frame belongs to.
    pub stream: u32,
    /// The bytes after the header.
    pub payload: &'a [u8],
}

/// Reads the first frame of a buffer. Returns it with its size in bytes; `Ok(None)` if it is still incomplete.
///
/// # Errors
/// The frame's length is out of range; the connection has to be closed.
pub fn read_frame(bytes: &[u8]) -> Result<Option<(Frame<'_>, usize)>, &'static str> {
    let Some(header) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*header) as usize;
    if !(5..=MAX_FRAME_LENGTH).contains(&length) {
        return Err("frame length out of range");
    }
    let Some(rest) = bytes.get(4..4 + length) else { return Ok(None) };
    let stream = u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]);
    Ok(Some((Frame { kind: rest[0], stream, payload: &rest[5..] }, 4 + length)))
}

/// Bytes of a frame before its payload.
const HEAD_BYTES: usize = 9;

/// The length field and the stream number of the request whose frame starts here.
///
/// # Errors
/// The frame's head is incomplete, or it is no request.
fn request_head(bytes: &[u8]) -> Result<(usize, u32), &'static str> {
    let head: &[u8; HEAD_BYTES] = bytes.first_chunk().ok_or("frame without a head")?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
    if head[4] == kinds::REQUEST && stream != 0 {
        Ok((length, stream))
    } else {
        Err("frame is not a request")
    }
}

/// Appends a frame.
pub fn put_frame(kind: u8, stream: u32, payload: &[&[u8]], out: &mut Vec<u8>) {
    let length = 5 + payload.iter().map(|part| part.len()).sum::<usize>();
    out.extend((length as u32).to_be_bytes());
    out.push(kind);
    out.extend(stream.to_be_bytes());
    payload.iter().for_each(|part| out.extend(*part));
}

/// Fields in their order as name and value, and the bytes that follow them.
pub type Fields<'a> = (Vec<(&'a str, &'a str)>, &'a [u8]);

/// Decodes fields.
///
/// # Errors
/// A field is truncated, or its name or value is not UTF-8.
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

/// Encodes fields.
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

/// Why a payload is not a valid request.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The payload cannot be decoded: the connection is closed.
    Malformed(&'static str),
    /// The payload can be decoded but has an invalid field: only this request fails.
    Unusable(&'static str),
}

fn has_duplicate_names(list: &[(&str, &str)]) -> bool {
    let mut names: Vec<&str> = list.iter().map(|(name, _)| *name).collect();
    names.sort_unstable();
    names.windows(2).any(|pair| pair[0] == pair[1])
}

/// Decodes a request. Its deadline counts from its arrival.
///
/// # Errors
/// [`RequestError`] says what is wrong, and whether only the request fails or the connection as well.
pub fn read_request(
    payload: &[u8],
    owner: Owner,
    arrived: Timestamp,
) -> Result<IncomingRequest, RequestError> {
    let (list, body) = read_fields(payload).map_err(RequestError::Malformed)?;
    if has_duplicate_names(&list) {
        return Err(RequestError::Unusable("a field stands twice"));
    }
    let field = |name: &str| list.iter().find(|(n, _)| *n == name).map(|(_, value)| *value);
    let required = |name: &str, why| field(name).ok_or(RequestError::Unusable(why));
    let class = required("service", "no service")?;
    let reference = required("ref", "no ref")?;
    if read_function(reference).is_none() {
        return Err(RequestError::Unusable("ref is not 16 hex digits"));
    }
    let function = read_function(required("lookup", "no lookup")?);
    let function = FunctionId(function.ok_or(RequestError::Unusable("lookup is not 16 hex digits"))?);
    let allow = required("allow", "no allow")?;
    let only_digits = allow.bytes().all(|b| b.is_ascii_digit());
    let allow = allow
        .parse::<u64>()
        .ok()
        .filter(|_| only_digits)
        .ok_or(RequestError::Unusable("allow is not a number"))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(RequestError::Unusable("body too large"));
    }
    let (mut memory_mb, mut concurrency, mut load_time) = (0.0, 1.0, None);
    for part in field("spec").unwrap_or("").split(';').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once(':').ok_or(RequestError::Unusable("invalid spec"))?;
        let value: f64 = value.parse().map_err(|_| RequestError::Unusable("invalid spec"))?;
        if !value.is_finite() || value < 0.0 {
            return Err(RequestError::Unusable("invalid spec"));
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

/// Appends an answer's frame.
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

/// Most used stream numbers above one that has not been used. Each client may fill this table.
const MAX_STREAM_GAPS: usize = 512;

/// The stream numbers that have been used: all up to `floor`, and those in `above`.
#[derive(Default)]
struct UsedStreams {
    floor: u32,
    above: BTreeSet<u32>,
}

impl UsedStreams {
    /// Marks a number as used; false if it already was.
    fn mark_used(&mut self, stream: u32) -> bool {
        if stream <= self.floor || !self.above.insert(stream) {
            return false;
        }
        while self.above.remove(&(self.floor + 1)) {
            self.floor += 1;
        }
        // Numbers need not arrive in order, but the number of remembered gaps is limited.
        if self.above.len() > MAX_STREAM_GAPS
            && let Some(first) = self.above.pop_first()
        {
            self.floor = first;
        }
        true
    }
}

/// A client's connection to the platform's front.
pub struct FrameConnection {
    /// Streams of open requests.
    open: BTreeSet<u32>,
    used_streams: UsedStreams,
    timers: ClientTimers,
    /// When input was last received, so that a connection on which a request arrives slowly does not count as idle.
    last_received: Timestamp,
    leave_sent: bool,
    /// A complete frame has been received.
    received_frame: bool,
    /// Bytes of an oversized frame that are still to be skipped.
    skip_bytes: usize,
}

impl FrameConnection {
    /// The state of a newly accepted connection.
    pub fn new(now: Timestamp) -> FrameConnection {
        let (open, used_streams) = (BTreeSet::new(), UsedStreams::default());
        FrameConnection {
            open,
            used_streams,
            timers: ClientTimers::new(now),
            last_received: now,
            leave_sent: false,
            received_frame: false,
            skip_bytes: 0,
        }
    }

    /// Handles a frame whose last byte arrived at `arrived`.
    fn handle_frame(
        &mut self,
        frame: &Frame,
        arrived: Timestamp,
        link: &mut Link,
        context: &mut Context,
    ) -> Result<(), &'static str> {
        match frame.kind {
            kinds::REQUEST => {
                if frame.stream == 0 || !self.used_streams.mark_used(frame.stream) {
                    return Err("stream number already used");
                }
                let owner = Owner { connection: link.id(), stream: u64::from(frame.stream) };
                let call = match read_request(frame.payload, owner, arrived) {
                    Err(RequestError::Malformed(why)) => return Err(why),
                    other => other,
                };
                let (class, verdict) = match call {
                    Ok(call) if !has_room_for_request(self.open.len(), link) => {
                        (Some(call.class), Verdict::Refused { cooldown: context.core.default_cooldown() })
                    }
                    Ok(call) => {
                        self.open.insert(frame.stream);
                        context.core.enqueue(call);
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
            _ => return Err("unknown frame type"),
        }
        Ok(())
    }

    /// Gives up the request whose frame has been received in part: it is refused, and the rest of the frame is skipped.
    fn refuse_partial(&mut self, link: &mut Link, context: &mut Context) -> Result<(), &'static str> {
        let (length, stream) = request_head(&link.input)?;
        if !self.used_streams.mark_used(stream) {
            return Err("stream number already used");
        }
        self.skip_bytes = (4 + length).saturating_sub(link.input.len());
        link.drop_input();
        let verdict = Verdict::Refused { cooldown: context.core.default_cooldown() };
        context.core.count_rejected_by_listener(None, &verdict);
        let mut bytes = Vec::new();
        put_answer(stream, &verdict, &mut bytes);
        link.enqueue(&bytes);
        Ok(())
    }

    /// If the frame that starts here is oversized and its header has been received, answers it and returns its size;
    /// otherwise 0.
    fn reject_oversized(
        &mut self,
        bytes: &[u8],
        link: &mut Link,
        context: &mut Context,
    ) -> Result<usize, &'static str> {
        let long = |header: &[u8; 4]| u32::from_be_bytes(*header) as usize > MAX_USABLE_FRAME_LENGTH;
        if bytes.len() < HEAD_BYTES || !bytes.first_chunk().is_some_and(long) {
            return Ok(0);
        }
        let (length, stream) = request_head(bytes)?;
        if !self.used_streams.mark_used(stream) {
            return Err("stream number already used");
        }
        context.core.count_rejected_by_listener(None, &Verdict::Failed);
        let mut bytes = Vec::new();
        put_answer(stream, &Verdict::Failed, &mut bytes);
        link.enqueue(&bytes);
        Ok(4 + length)
    }

    /// Withdraws all open requests of the connection.
    fn withdraw_all(&mut self, link: &Link, context: &mut Context) {
        for stream in std::mem::take(&mut self.open) {
            context.core.withdraw(context.now, Owner { connection: link.id(), stream: u64::from(stream) });
        }
    }

    /// The time that the client has for its next request; `None` while requests are open.
    fn idle_timeout(&self) -> Option<Duration> {
        let timeout = if self.received_frame { IDLE_TIMEOUT } else { FIRST_FRAME_TIMEOUT };
        self.open.is_empty().then_some(timeout)
    }

    /// Sends the answer for malformed input on stream 0; the connection finishes once it has been written.
    fn close_malformed(&mut self, why: &str, link: &mut Link, context: &mut Context) -> ControlFlow {
        context.core.counters().malformed += 1;
        if context.core.may_log(context.now) {
            tracing::warn!(front = "frames", connection = link.id(), why, "malformed");
        }
        let mut bytes = Vec::new();
        put_answer(0, &Verdict::Failed, &mut bytes);
        link.enqueue(&bytes);
        self.withdraw_all(link, context);
        link.set_close_cause(CloseCause::Unreadable);
        self.timers.begin_finish(context.now);
        ControlFlow::Finish
    }
}

impl Connection for FrameConnection {
    fn kind(&self) -> &'static str {
        "client"
    }

    fn opened(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        link.allow_unwritten_messages(MAX_OPEN_REQUESTS);
        context.core.counters().accepted += 1;
        ControlFlow::Continue
    }

    fn received(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        self.last_received = context.now;
        let bytes = std::mem::take(&mut link.input);
        let mut from = self.skip_bytes.min(bytes.len());
        self.skip_bytes -= from;
        // What is still being skipped belongs to a frame that started earlier.
        let mut frame_started = self.skip_bytes == 0 && from > 0;
        let mut handled = 0;
        let mut left = false;
        let error = loop {
            match read_frame(&bytes[from..]) {
                _ if self.skip_bytes > 0 => break None,
                Ok(Some(_)) if handled == MAX_MESSAGES_PER_TURN || link.is_output_unread() => {
                    left = true;
                    break None;
                }
                Ok(None) => match self.reject_oversized(&bytes[from..], link, context) {
                    Ok(0) => break None,
                    Ok(size) => {
                        self.skip_bytes = size.saturating_sub(bytes.len() - from);
                        from = bytes.len().min(from + size);
                        frame_started = true;
                    }
                    Err(why) => break Some(why),
                },
                Ok(Some((frame, size))) => {
                    handled += 1;
                    from += size;
                    frame_started = true;
                    self.received_frame = true;
                    self.timers.last_activity = context.now;
                    let arrived = link.arrival_time(bytes.len() - from);
                    if let Err(why) = self.handle_frame(&frame, arrived, link, context) {
                        break Some(why);
                    }
                }
                Err(why) => break Some(why),
            }
        };
        link.input = bytes;
        link.consume(from);
        link.leave_messages(left);
        let incomplete = !left && !link.input.is_empty() || self.skip_bytes > 0;
        self.timers.record_input(context.now, incomplete, frame_started);
        match error {
            Some(why) => self.close_malformed(why, link, context),
            // A client that closes its half waits for no more answers.
            None if link.peer_closed => ControlFlow::Close,
            None => ControlFlow::Continue,
        }
    }

    fn on_timeout(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        let Some(lateness) = self.timers.lateness(context.now, self.idle_timeout(), link) else {
            return ControlFlow::Continue;
        };
        if lateness == Lateness::Message {
            return self.close_malformed("frame not completed in time", link, context);
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
        let stream = stream as u32;
        // A withdrawn request gets no answer.
        if self.open.remove(&stream) {
            let verdict = match &answer.verdict {
                Verdict::Served(body) if !link.has_output_room(body.len()) => &Verdict::Failed,
                verdict => verdict,
            };
            let mut bytes = Vec::new();
            put_answer(stream, verdict, &mut bytes);
            link.enqueue(&bytes);
            self.timers.last_activity = context.now;
        }
        ControlFlow::Continue
    }

    fn send_leave(&mut self, link: &mut Link, _context: &mut Context) -> ControlFlow {
        if !self.leave_sent {
            self.leave_sent = true;
            let mut bytes = Vec::new();
            put_frame(kinds::LEAVE, 0, &[], &mut bytes);
            link.enqueue(&bytes);
        }
        ControlFlow::Continue
    }

    fn has_partial_request(&self) -> bool {
        self.timers.message_started.is_some()
    }

    fn drop_partial_request(&mut self, link: &mut Link, context: &mut Context) -> ControlFlow {
        match self.refuse_partial(link, context) {
            Ok(()) => ControlFlow::Continue,
            Err(why) => self.close_malformed(why, link, context),
        }
    }

    fn open_requests(&self) -> usize {
        self.open.len()
    }

    fn ends_at_peer_close(&self) -> bool {
        true
    }

    fn may_receive_request(&self) -> bool {
        !self.timers.is_finishing() && (self.has_partial_request() || !self.received_frame)
    }

    fn idle_since(&self) -> Option<Timestamp> {
        (self.open.is_empty() && !self.timers.is_finishing())
            .then_some(self.timers.last_activity.max(self.last_received))
    }
}

#[cfg(test)]
mod tests;
