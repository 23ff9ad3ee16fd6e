//! The platform's front: binary frames over TCP.

mod codec;

pub use codec::{
    Fields, Frame, MAX_FRAME_LENGTH, MAX_USABLE_FRAME_LENGTH, RequestError, codes, fields, kinds, put_answer,
    put_frame, read_fields, read_frame, read_request,
};

use super::client_timers::{ClientTimers, Lateness};
use super::{MAX_MESSAGES_PER_TURN, MAX_UNREAD_MESSAGES, MAX_UNREAD_OUTPUT_BYTES, has_room_for_request};
use crate::core::{Answer, Owner, Verdict};
use crate::interface::{Duration, Timestamp};
use crate::net::{BufferLimits, Connection, Context, ControlFlow, Link};
use crate::request::CloseCause;
use codec::{HEAD_BYTES, request_head};
use std::collections::BTreeSet;

/// Buffer limits of a client's connection: one usable frame as input, and the unread output.
pub const BUFFER_LIMITS: BufferLimits =
    BufferLimits { input: MAX_USABLE_FRAME_LENGTH + 4, output: MAX_UNREAD_OUTPUT_BYTES };
/// A connection without open requests and input is closed after this time. Clients close theirs after 4 s, so that no
/// request crosses with the close.
pub const IDLE_TIMEOUT: Duration = Duration::millis(5_000);
/// The same limit until the first complete frame: some clients open hundreds of connections and send nothing.
pub const FIRST_FRAME_TIMEOUT: Duration = Duration::millis(2_600);

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
        link.allow_unwritten_messages(MAX_UNREAD_MESSAGES);
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

    fn partial_request_since(&self) -> Option<Timestamp> {
        self.timers.message_started
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
