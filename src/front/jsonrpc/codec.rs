//! The codec of the JSON-RPC front: decodes lines and encodes responses, without state.

use super::super::{MAX_BODY_BYTES, read_function};
use crate::chain::{End, MAX_STEPS, Step};
use crate::core::{Answer, Verdict};
use crate::interface::{Duration, FunctionId};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Map, Value, json};

/// Error codes: those of JSON-RPC 2.0, then this front's own.
pub mod codes {
    /// The line is not valid JSON.
    pub const PARSE: i64 = -32700;
    /// The line is JSON, but not a valid request.
    pub const INVALID_REQUEST: i64 = -32600;
    /// The method does not exist.
    pub const NO_METHOD: i64 = -32601;
    /// The params are invalid.
    pub const INVALID_PARAMS: i64 = -32602;
    /// The request did not run and may be repeated safely after `data.cooldown_ms`.
    pub const REFUSED: i64 = -32001;
    /// The request failed, and may have run.
    pub const FAILED: i64 = -32002;
    /// The request's deadline passed; `data.outcome` is `refused` (may be repeated safely) or `failed`.
    pub const EXPIRED: i64 = -32003;
    /// The client cancelled the request.
    pub const CANCELLED: i64 = -32004;
    /// The time left does not cover the chain's remaining steps.
    pub const STOPPED: i64 = -32005;
    /// The chain's step may have run in an earlier attempt, and its key no longer allows another one.
    pub const UNKNOWN: i64 = -32006;
}

/// Most requests in one batch.
pub const MAX_BATCH_REQUESTS: usize = 64;
/// Most commas, colons and opening brackets in a line. Each value of a decoded line takes up to 100 bytes, and a full batch
/// of full chains has some 11,000.
const MAX_LINE_SEPARATORS: usize = 16 << 10;
/// Longest line, unless the operator sets another limit.
pub const DEFAULT_MAX_LINE_BYTES: usize = 64 << 10;

/// A decoded request.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// An invalid request, with its error response.
    Reply(Value),
    /// A notification that is ignored.
    Nothing,
    /// A call, with its id.
    Call(Value, Box<Params>),
    /// A chain, with its id.
    Chain(Value, Box<ChainParams>),
    /// Cancels the request with this id.
    Cancel(Value),
    /// Asks whether the scheduler is ready; with the request's id.
    Ready(Value),
}

/// The params of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    pub(super) step: Step,
    pub(super) allow_ms: u64,
    pub(super) reference: Option<String>,
    pub(super) key: Option<String>,
}

/// The params of a chain.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainParams {
    pub(super) steps: Vec<Step>,
    pub(super) allow_ms: u64,
    pub(super) key: Option<String>,
}

/// A decoded line.
#[derive(Debug, PartialEq)]
pub enum ParsedLine {
    /// A single request.
    One(Request),
    /// A batch, answered with one line.
    Batch(Vec<Request>),
}

pub(super) fn error(id: &Value, code: i64, message: &str, data: Option<Value>) -> Value {
    let mut error = json!({"code": code, "message": message});
    if let Some(data) = data {
        error["data"] = data;
    }
    json!({"jsonrpc": "2.0", "id": id, "error": error})
}

pub(super) fn result(id: &Value, result: &Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}

/// Decodes a line.
pub fn read_line(line: &[u8]) -> ParsedLine {
    let invalid =
        |why| ParsedLine::One(Request::Reply(error(&Value::Null, codes::INVALID_REQUEST, why, None)));
    let separators = line.iter().filter(|byte| matches!(byte, b',' | b':' | b'[' | b'{'));
    if separators.count() > MAX_LINE_SEPARATORS {
        return invalid("too many values");
    }
    match serde_json::from_slice(line) {
        Err(_) => ParsedLine::One(Request::Reply(error(&Value::Null, codes::PARSE, "not JSON", None))),
        Ok(Value::Array(list)) if list.is_empty() => invalid("an empty batch"),
        Ok(Value::Array(list)) if list.len() > MAX_BATCH_REQUESTS => invalid("too large a batch"),
        Ok(Value::Array(list)) => ParsedLine::Batch(list.into_iter().map(read_request).collect()),
        Ok(value) => ParsedLine::One(read_request(value)),
    }
}

fn read_request(value: Value) -> Request {
    let invalid = |id: &Value, why| Request::Reply(error(id, codes::INVALID_REQUEST, why, None));
    let Value::Object(mut object) = value else { return invalid(&Value::Null, "not an object") };
    let id = object.remove("id");
    if matches!(id, Some(Value::Array(_) | Value::Object(_) | Value::Bool(_))) {
        return invalid(&Value::Null, "id is neither text, a number nor null");
    }
    let reply_id = id.clone().unwrap_or_default();
    if object.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
        return invalid(&reply_id, "not JSON-RPC 2.0");
    }
    let Some(method) = object.get("method").and_then(Value::as_str) else {
        return invalid(&reply_id, "no method");
    };
    let params = match object.get("params") {
        None => Ok(Map::new()),
        Some(Value::Object(params)) => Ok(params.clone()),
        Some(Value::Array(_)) => Err("params are by name here"),
        Some(_) => return invalid(&reply_id, "params are neither an object nor an array"),
    };
    match (method, id, params) {
        // The outcome of a request without an id cannot be reported, and an invalid notification is not answered.
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

/// Decodes what a call, or one step of a chain, is to run. An absent body is empty, except in a step whose `previous`
/// is true.
fn read_step(params: &Map<String, Value>) -> Result<Step, &'static str> {
    let number = |name: &str, default: f64, why| match params.get(name).map(Value::as_f64) {
        None => Ok(default),
        Some(Some(number)) if number.is_finite() && number >= 0.0 => Ok(number),
        Some(_) => Err(why),
    };
    let function = read_text(params, "function", "function is not text")?.ok_or("no function")?;
    let body = STANDARD.decode(read_text(params, "body", "body is not text")?.unwrap_or_default());
    let body = body.map_err(|_| "body is not base64")?;
    if body.len() > MAX_BODY_BYTES {
        return Err("body too large");
    }
    let load_ms = number("load_ms", 0.0, "odd load_ms")?;
    Ok(Step {
        class: read_text(params, "class", "class is not text")?.ok_or("no class")?,
        function: FunctionId(read_function(&function).ok_or("function is not 16 hex digits")?),
        memory_mb: number("memory_mb", 0.0, "odd memory_mb")?,
        concurrency: number("lanes", 1.0, "odd lanes")?,
        load_time: Some(Duration((load_ms * 1e6) as u64)).filter(|span| span.0 > 0),
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
    if !(1..=MAX_STEPS).contains(&list.len()) {
        return Err(format!("steps are not 1 to {MAX_STEPS}"));
    }
    let mut steps = Vec::with_capacity(list.len());
    for (n, step) in list.iter().enumerate() {
        let bad = |why: &str| format!("steps[{n}]: {why}");
        let fields = step.as_object().ok_or_else(|| bad("not an object"))?;
        let mut step = read_step(fields).map_err(bad)?;
        match fields.get("previous") {
            None | Some(Value::Bool(false)) => {}
            Some(Value::Bool(true)) if n == 0 => return Err(bad("there is no answer before the first step")),
            Some(Value::Bool(true)) if fields.contains_key("body") => {
                return Err(bad("both previous and body"));
            }
            Some(Value::Bool(true)) => step.body = None,
            Some(_) => return Err(bad("previous is neither true nor false")),
        }
        steps.push(step);
    }
    match read_allow(params)? {
        0 => Err("allow_ms is not over 0".to_owned()),
        allow_ms => Ok(ChainParams { steps, allow_ms, key: read_text(params, "key", "key is not text")? }),
    }
}

/// The response with a request's final answer.
pub fn response(id: &Value, answer: &Answer) -> Value {
    match &answer.verdict {
        Verdict::Served(body) => result(id, &json!({"body": STANDARD.encode(body)})),
        Verdict::Refused { cooldown } => {
            let wait = cooldown.0.div_ceil(1_000_000);
            if answer.expired {
                let data = json!({"outcome": "refused", "cooldown_ms": wait});
                error(id, codes::EXPIRED, "deadline passed", Some(data))
            } else {
                error(id, codes::REFUSED, "refused", Some(json!({"cooldown_ms": wait})))
            }
        }
        Verdict::Failed if answer.expired => {
            error(id, codes::EXPIRED, "deadline passed", Some(json!({"outcome": "failed"})))
        }
        Verdict::Failed => error(id, codes::FAILED, "failed", None),
    }
}

/// The response with a chain's result.
pub fn chain_response(id: &Value, end: &End) -> Value {
    let ms = |span: Duration| span.0.div_ceil(1_000_000);
    let mut reply = match (&end.answer.verdict, end.short) {
        (Verdict::Refused { cooldown }, Some(_)) => {
            let data = json!({"cooldown_ms": ms(*cooldown)});
            error(id, codes::STOPPED, "the time left does not cover the steps left", Some(data))
        }
        _ if end.unknown => {
            error(id, codes::UNKNOWN, "the step may have run, and is not sent again", Some(json!({})))
        }
        _ => response(id, &end.answer),
    };
    if let Some(error) = reply.get_mut("error") {
        if let Some(short) = end.short {
            error["data"]["left_ms"] = json!(ms(short.left));
            error["data"]["need_ms"] = json!(ms(short.need));
        }
        error["data"]["step"] = json!(end.step);
        error["data"]["ran"] = json!(end.ran);
    }
    reply
}
