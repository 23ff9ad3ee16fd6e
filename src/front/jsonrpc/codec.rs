//! What the JSON-RPC front's lines say: a pure codec.

use super::super::{MAX_BODY_BYTES, read_function};
use crate::chain::{End, STEPS, Step};
use crate::core::{Answer, Verdict};
use crate::interface::{Duration, FunctionId};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Map, Value, json};

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
    /// The request's time is up; `data.outcome` is `refused` (a new try is harmless) or `failed`.
    pub const EXPIRED: i64 = -32003;
    /// The client has withdrawn the request.
    pub const CANCELLED: i64 = -32004;
    /// The time that remains does not cover the chain's next step and those after it.
    pub const STOPPED: i64 = -32005;
    /// The chain's step may have run in an earlier try, and its key no longer allows another.
    pub const UNKNOWN: i64 = -32006;
}

/// Requests in one batch.
pub const MAX_BATCH_REQUESTS: usize = 64;
/// Longest line where the operator has set no other limit.
pub const DEFAULT_MAX_LINE_BYTES: usize = 64 << 10;

/// One request of a line.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// It is answered at once with this.
    Reply(Value),
    /// Needs nothing, not even an answer.
    Nothing,
    /// A request with its id.
    Call(Value, Box<Params>),
    /// A chain with its id.
    Chain(Value, Box<ChainParams>),
    /// The request of this id is withdrawn.
    Cancel(Value),
    /// Whether the scheduler is ready.
    Ready(Value),
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    pub(super) step: Step,
    pub(super) allow_ms: u64,
    pub(super) reference: Option<String>,
    pub(super) key: Option<String>,
}

/// What a chain asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainParams {
    pub(super) steps: Vec<Step>,
    pub(super) allow_ms: u64,
    pub(super) key: Option<String>,
}

/// What a line holds.
#[derive(Debug, PartialEq)]
pub enum ParsedLine {
    /// One request.
    One(Request),
    /// A batch, answered by one line.
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

/// Reads a line.
pub fn read_line(line: &[u8]) -> ParsedLine {
    let invalid =
        |why| ParsedLine::One(Request::Reply(error(&Value::Null, codes::INVALID_REQUEST, why, None)));
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
        // Nobody could be told how a request without an id has ended; an odd notification is not answered.
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
    if body.len() > MAX_BODY_BYTES {
        return Err("body too large");
    }
    let load_ms = figure("load_ms", 0.0, "odd load_ms")?;
    Ok(Step {
        class: read_text(params, "class", "class is not text")?.ok_or("no class")?,
        function: FunctionId(read_function(&function).ok_or("function is not 16 hex digits")?),
        memory_mb: figure("memory_mb", 0.0, "odd memory_mb")?,
        concurrency: figure("lanes", 1.0, "odd lanes")?,
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

/// The response that tells a request's final answer.
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

/// The response that tells a chain's one end.
pub fn chain_response(id: &Value, end: &End) -> Value {
    let mut reply = match (&end.answer.verdict, end.short) {
        (Verdict::Refused { cooldown }, Some(short)) => {
            let ms = |span: Duration| span.0.div_ceil(1_000_000);
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
