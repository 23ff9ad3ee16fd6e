//! The codec of checkers on Unix sockets: JSON-RPC 2.0, one object per line.

use super::{Codec, ParseError, WorkerReply};
use crate::interface::{FunctionId, Timestamp};
use crate::request::{Reply, RequestPayload};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Error codes of a checker. After any other code the request may have run.
pub mod codes {
    /// The function is not loaded; the request did not run.
    pub const MISS: i64 = -32010;
    /// The checker is full; the request did not run.
    pub const FULL: i64 = -32011;
    /// The deadline had already passed; the request did not run.
    pub const EXPIRED: i64 = -32012;
}

/// Encodes commands and decodes replies in the checkers' protocol.
pub struct CheckerCodec;

fn encode_line(object: &Value) -> Vec<u8> {
    let mut bytes = object.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

fn request(rid: &str, method: &str, params: &Value) -> Vec<u8> {
    encode_line(&json!({"jsonrpc": "2.0", "id": rid, "method": method, "params": params}))
}

fn notification(method: &str, params: &Value) -> Vec<u8> {
    encode_line(&json!({"jsonrpc": "2.0", "method": method, "params": params}))
}

impl Codec for CheckerCodec {
    fn go(&self, work: &RequestPayload, now: Timestamp, deadline: Timestamp) -> Vec<u8> {
        let mut params = json!({
            "class": work.class,
            "function": format!("{:016x}", work.function.0),
            "ttl_ms": super::left_ms(now, deadline),
            "body": STANDARD.encode(&work.body),
        });
        if let Some(key) = &work.key {
            params["key"] = json!(key);
        }
        request(&work.reference, "call", &params)
    }

    fn halt(&self, rid: &str) -> Vec<u8> {
        notification("cancel", &json!({"id": rid}))
    }

    fn stage(&self, rid: &str, function: FunctionId, instances: u8) -> Vec<u8> {
        request(rid, "load", &json!({"function": format!("{:016x}", function.0), "copies": instances}))
    }

    fn purge(&self, function: FunctionId) -> Vec<u8> {
        notification("unload", &json!({"function": format!("{:016x}", function.0)}))
    }

    fn probe(&self, rid: &str) -> Vec<u8> {
        request(rid, "probe", &json!({}))
    }

    fn read(&self, line: &[u8]) -> Result<WorkerReply, ParseError> {
        let without_id = |cause| ParseError { rid: None, cause };
        let parsed: Value = serde_json::from_slice(line).map_err(|_| without_id("not JSON"))?;
        let Value::Object(object) = parsed else { return Err(without_id("not an object")) };
        let Some(Value::String(rid)) = object.get("id") else { return Err(without_id("no id of ours")) };
        let parse_error = |cause| ParseError { rid: Some(rid.clone()), cause };
        if object.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
            return Err(parse_error("not JSON-RPC 2.0"));
        }
        let rid = rid.clone();
        match (object.get("result"), object.get("error")) {
            (Some(result), None) => {
                if let Some(load) = result.get("load") {
                    let values = load.as_object().into_iter().flatten();
                    let value = |(name, v): (&String, &Value)| Some((name.clone(), v.as_f64()? as f32));
                    return Ok(WorkerReply::Alive { rid, report: values.filter_map(value).collect() });
                }
                let instances = result.get("copies").and_then(Value::as_u64).map(|n| n as u32);
                let body = match result.get("body") {
                    None if instances.is_some() => vec![],
                    Some(Value::String(text)) => {
                        STANDARD.decode(text).map_err(|_| parse_error("body is not base64"))?
                    }
                    _ => return Err(parse_error("no body")),
                };
                Ok(WorkerReply::Answer { rid, reply: Reply::Ok(body), instances })
            }
            (None, Some(error)) => {
                let reply = match error.get("code").and_then(Value::as_i64) {
                    Some(codes::MISS) => Reply::Miss,
                    Some(codes::FULL) => Reply::Full,
                    Some(codes::EXPIRED) => Reply::Expired,
                    Some(_) => Reply::Error,
                    None => return Err(parse_error("an error without a code")),
                };
                let instances = error.pointer("/data/copies").and_then(Value::as_u64).map(|n| n as u32);
                Ok(WorkerReply::Answer { rid, reply, instances })
            }
            _ => Err(parse_error("neither a result nor an error")),
        }
    }
}

#[cfg(test)]
mod tests;
