//! Decodes the simulator's frames and records into the library's events, and encodes its actions.

use mintgate::*;
use std::fmt;
use std::io::{self, Read};

/// An error in the input or the connection; the text says what is wrong and where.
#[derive(Debug, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A batch: its time, the number of its records, and their bytes.
#[derive(Debug)]
pub struct Frame {
    pub now: Timestamp,
    pub count: u32,
    pub body: Vec<u8>,
}

/// A record of a batch. `Skipped` is one that is not used or has an unknown code.
#[derive(Debug)]
pub enum Record {
    Open { instance: u16, seed: u64, settings: Vec<u8> },
    Kill { instance: u16 },
    Roster { number: u16, entries: Vec<Member> },
    Sync { instance: u16, kind: ListKind, roster: u16 },
    Event { instance: u16, event: Event },
    Skipped,
}

/// Fills the buffer as far as the input goes, and returns the number of bytes read.
fn fill(input: &mut impl Read, buf: &mut [u8], what: &str) -> Result<usize, WireError> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(WireError(format!("{what}: cannot read: {error}"))),
        }
    }
    Ok(got)
}

/// Reads the next batch; `None` at the end of the input between two batches.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, WireError> {
    let mut head = [0u8; 16];
    match fill(input, &mut head, "batch header")? {
        0 => return Ok(None),
        16 => {}
        n => {
            return Err(WireError(format!("batch header: cut short after {n} of 16 bytes")));
        }
    }
    let mut fields = Fields { bytes: &head, at: 0, name: "batch header", base: 0 };
    let (now, length, count) = (Timestamp(fields.u64()?), fields.u32()? as usize, fields.u32()?);
    if length < 4 {
        return Err(WireError(format!("batch header: length {length} at position 8 does not fit")));
    }
    let mut body = Vec::new();
    let wanted = length - 4;
    let got = input
        .take(wanted as u64)
        .read_to_end(&mut body)
        .map_err(|error| WireError(format!("batch: cannot read: {error}")))?;
    if got < wanted {
        return Err(WireError(format!("batch: cut short after {got} of {wanted} bytes of records")));
    }
    Ok(Some(Frame { now, count, body }))
}

/// A cursor over the fields of a record, which are big-endian.
struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
    /// The record's name, for errors.
    name: &'static str,
    /// The record's position in the batch, for errors.
    base: usize,
}

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        let end = self.at.checked_add(n).filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(WireError(format!(
                "{} at position {}: {n} bytes wanted at its byte {}, it has {}",
                self.name,
                self.base,
                self.at,
                self.bytes.len()
            )));
        };
        let part = &self.bytes[self.at..end];
        self.at = end;
        Ok(part)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    fn worker(&mut self) -> Result<WorkerId, WireError> {
        let id_bytes: [u8; 6] = self.array()?;
        Ok(WorkerId(id_bytes.iter().fold(0, |id, byte| id << 8 | u64::from(*byte))))
    }

    fn status(&mut self) -> Result<Status, WireError> {
        let at = self.at;
        Ok(match self.u8()? {
            0 => Status::Ok,
            13 => Status::Error,
            8 => Status::Full,
            4 => Status::Timeout,
            14 => Status::ConnectFailed,
            10 => Status::Reset,
            1 => Status::Cancelled,
            9 => Status::NotSent,
            5 => Status::Miss,
            other => return Err(self.unknown_value("status", other, at)),
        })
    }

    fn unknown_value(&self, what: &str, value: u8, at: usize) -> WireError {
        let (name, base) = (self.name, self.base);
        WireError(format!("{name} at position {base}: {what} {value} at its byte {at} is not known"))
    }
}

/// Reads the records of a batch.
pub fn read_records(frame: &Frame) -> Result<Vec<Record>, WireError> {
    let mut all = Fields { bytes: &frame.body, at: 0, name: "records", base: 16 };
    let mut records = Vec::new();
    for number in 0..frame.count {
        let base = 16 + all.at;
        let code = all.u8().map_err(|_| WireError(format!("record {number} at position {base}: missing")))?;
        let length = all.u32()? as usize;
        let mut fields = Fields { bytes: &[], at: 0, name: record_name(code), base };
        fields.bytes = all.take(length).map_err(|_| {
            WireError(format!("{} at position {base}: its length {length} does not fit", fields.name))
        })?;
        records.push(read_record(code, &mut fields)?);
    }
    match frame.body.len() - all.at {
        0 => Ok(records),
        left => Err(WireError(format!("batch: {left} bytes left after record {}", frame.count))),
    }
}

/// The name of a record's code, for errors.
fn record_name(code: u8) -> &'static str {
    const RECORD_NAMES: [&str; 13] = [
        "record",
        "OPEN_INSTANCE",
        "SYNC",
        "ACCEPT",
        "STARTED",
        "ANSWER",
        "CANCELLED_BY_CLIENT",
        "TIMER",
        "PROBE_RESULT",
        "NOTE_FROM",
        "KILL",
        "STANDS",
        "ROSTER",
    ];
    RECORD_NAMES.get(usize::from(code)).unwrap_or(&"record")
}

fn read_record(code: u8, fields: &mut Fields) -> Result<Record, WireError> {
    if code == 12 {
        let number = fields.u16()?;
        let count = fields.u32()?;
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(read_entry(fields)?);
        }
        return Ok(Record::Roster { number, entries });
    }
    if !matches!(code, 1..=3 | 5..=8 | 10 | 11) {
        return Ok(Record::Skipped);
    }
    let instance = fields.u16()?;
    let event = match code {
        1 => {
            let seed = fields.u64()?;
            let length = fields.u32()? as usize;
            return Ok(Record::Open { instance, seed, settings: fields.take(length)?.to_vec() });
        }
        2 => {
            fields.u32()?;
            let at = fields.at;
            let kind = match fields.u8()? {
                0 => ListKind::Delta,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => return Err(fields.unknown_value("list kind", other, at)),
            };
            return Ok(Record::Sync { instance, kind, roster: fields.u16()? });
        }
        3 => Event::Request(read_request(fields)?),
        5 => Event::Outcome(read_outcome(fields)?),
        6 => Event::ClientGone(RequestId(fields.u32()?)),
        7 => Event::Timeout,
        8 => {
            fields.u64()?;
            let status = fields.status()?;
            Event::Probed(fields.worker()?, status, read_report(fields)?)
        }
        10 => return Ok(Record::Kill { instance }),
        _ => {
            let instances = u32::from(fields.u8()?);
            let (worker, latency) = (fields.worker()?, Duration(fields.u64()?));
            let (status, function) = (fields.status()?, FunctionId(fields.u64()?));
            Event::Loaded(Loaded { worker, function, instances, status, latency })
        }
    };
    Ok(Record::Event { instance, event })
}

fn read_entry(fields: &mut Fields) -> Result<Member, WireError> {
    let (zone, cell) = (ZoneId(fields.u8()?), CellId(fields.u16()?));
    let at = fields.at;
    let state = match fields.u8()? {
        0 => State::Ready,
        1 => State::Draining,
        2 => State::Gone,
        other => return Err(fields.unknown_value("mode", other, at)),
    };
    let (worker, weight) = (fields.worker()?, f64::from(fields.f32()?));
    let started = Some(Timestamp(fields.u64()?)).filter(|t| t.0 > 0);
    Ok(Member { worker, zone, cell, state, weight, started, kind: KindId(fields.u8()?) })
}

fn read_request(fields: &mut Fields) -> Result<Request, WireError> {
    let id = RequestId(fields.u32()?);
    let concurrency = f64::from(fields.f32()?);
    let tenant = TenantId(fields.u16()?);
    let load_ms = fields.f32()?;
    let class = ClassId(fields.u16()?);
    let remaining = Duration(fields.u64()?);
    fields.u64()?;
    fields.u8()?;
    let memory_mb = f64::from(fields.f32()?);
    let function = FunctionId(fields.u64()?);
    let load_time = (load_ms > 0.0).then(|| Duration((f64::from(load_ms) * 1e6) as u64));
    Ok(Request { id, function, class, tenant, remaining, memory_mb, concurrency, load_time })
}

/// Reads a load report: the number of its values, then the values.
fn read_report(fields: &mut Fields) -> Result<Vec<f32>, WireError> {
    let count = fields.u8()?;
    (0..count).map(|_| fields.f32()).collect()
}

fn read_outcome(fields: &mut Fields) -> Result<Outcome, WireError> {
    let (id, attempt) = (RequestId(fields.u32()?), fields.u16()?);
    fields.worker()?;
    let status = fields.status()?;
    let (latency, finished, remark) = (Duration(fields.u64()?), fields.u8()? != 0, fields.u8()?);
    let report = read_report(fields)?;
    let instance = match remark & 7 {
        1 => InstanceNote::Stood,
        2 => InstanceNote::BeganLoad,
        3 => InstanceNote::WaitedForLoad,
        4 => InstanceNote::LoadFailed,
        _ => InstanceNote::Untold,
    };
    Ok(Outcome { id, attempt, status, latency, finished, instance, company: u32::from(remark >> 3), report })
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Returns the reply's bytes, starting with its header.
    pub fn finish(self) -> Vec<u8> {
        let mut bytes = self.count.to_be_bytes().to_vec();
        bytes.extend((self.body.len() as u32).to_be_bytes());
        bytes.extend(self.body);
        bytes
    }

    fn record(&mut self, code: u8, instance: u16, parts: &[&[u8]]) {
        let length: usize = 2 + parts.iter().map(|part| part.len()).sum::<usize>();
        self.count += 1;
        self.body.push(code);
        self.body.extend((length as u32).to_be_bytes());
        self.body.extend(instance.to_be_bytes());
        for part in parts {
            self.body.extend(*part);
        }
    }

    /// Reports an error after which an instance cannot be used. The text is limited to 1000 bytes.
    pub fn fault(&mut self, instance: u16, text: &str) {
        let text = &text.as_bytes()[..text.len().min(1000)];
        self.record(3, instance, &[&(text.len() as u16).to_be_bytes(), text]);
    }

    /// Adds an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        let worker_bytes = |worker: &WorkerId| -> [u8; 6] {
            let b = worker.0.to_be_bytes();
            [b[2], b[3], b[4], b[5], b[6], b[7]]
        };
        match action {
            Action::Send { id, worker, timeout } => self.record(
                1,
                instance,
                &[&id.0.to_be_bytes(), &timeout.0.to_be_bytes(), &worker_bytes(worker)],
            ),
            Action::Cancel { id, attempt } => {
                self.record(4, instance, &[&id.0.to_be_bytes(), &attempt.to_be_bytes()]);
            }
            Action::Refuse { id, wait } => {
                self.record(9, instance, &[&id.0.to_be_bytes(), &wait.0.to_be_bytes()]);
            }
            Action::Fail { id } => self.record(10, instance, &[&id.0.to_be_bytes()]),
            Action::Load { worker, function, instances, .. } => {
                self.record(5, instance, &[&worker_bytes(worker), &[*instances], &function.0.to_be_bytes()]);
            }
            Action::Unload { worker, function } => {
                self.record(11, instance, &[&worker_bytes(worker), &function.0.to_be_bytes()]);
            }
            Action::Probe { worker, .. } => self.record(6, instance, &[&worker_bytes(worker)]),
            Action::SetTimer { after } => {
                self.record(13, instance, &[&after.0.to_be_bytes(), &[0; 4]]);
            }
            Action::Subscribe => self.record(8, instance, &[&[1]]),
        }
    }
}
