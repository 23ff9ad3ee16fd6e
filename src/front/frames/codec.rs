//! The codec of the platform's front: decodes frames and requests and encodes answers, without state.

use super::super::{ANSWER_TRANSIT_TIME, MAX_BODY_BYTES, read_function};
use crate::core::{IncomingRequest, Owner, Verdict};
use crate::interface::{Duration, FunctionId, Timestamp};

/// Largest value of a frame's length field.
pub const MAX_FRAME_LENGTH: usize = 262_144;
/// Largest length of a usable frame: a body and its fields. A longer frame is not buffered, because hundreds of
/// connections may each send one: its request fails once its header is known, and the rest is skipped.
pub const MAX_USABLE_FRAME_LENGTH: usize = 32 << 10;
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
pub(super) const HEAD_BYTES: usize = 9;

/// The length field and the stream number of the request whose frame starts here.
///
/// # Errors
/// The frame's head is incomplete, or it is no request.
pub(super) fn request_head(bytes: &[u8]) -> Result<(usize, u32), &'static str> {
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
