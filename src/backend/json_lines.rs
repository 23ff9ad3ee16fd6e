//! The codec of workers over TCP: one JSON object per line, with bodies in base64.

use super::{Codec, ParseError, WorkerReply};
use crate::interface::{FunctionId, Timestamp};
use crate::request::{Reply, RequestPayload};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

/// Encodes commands and decodes replies in the JSON-lines protocol.
pub struct JsonLinesCodec;

#[derive(Deserialize)]
struct ReplyLine {
    verb: Value,
    #[serde(default)]
    rid: Value,
    #[serde(default)]
    attrs: Value,
    #[serde(default)]
    content: Option<String>,
}

fn encode_line(object: &Value) -> Vec<u8> {
    let mut bytes = object.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

/// The text of a field that may be a string or a number.
fn scalar(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

impl Codec for JsonLinesCodec {
    fn go(&self, work: &RequestPayload, now: Timestamp, deadline: Timestamp) -> Vec<u8> {
        let ttl = super::left_ms(now, deadline);
        let name = format!("{:016x}", work.function.0);
        let mut attrs = json!({"lane": work.class, "name": name, "ttl": ttl});
        if let Some(key) = &work.key {
            attrs["dedupe"] = json!(key);
        }
        let content = STANDARD.encode(&work.body);
        encode_line(&json!({"verb": "go", "rid": work.reference, "attrs": attrs, "content": content}))
    }

    fn halt(&self, rid: &str) -> Vec<u8> {
        encode_line(&json!({"verb": "halt", "rid": rid}))
    }

    fn stage(&self, rid: &str, function: FunctionId, instances: u8) -> Vec<u8> {
        let name = format!("{:016x}", function.0);
        encode_line(&json!({"verb": "stage", "rid": rid, "attrs": {"name": name, "replicas": instances}}))
    }

    fn purge(&self, function: FunctionId) -> Vec<u8> {
        encode_line(&json!({"verb": "purge", "rid": format!("{:016x}", function.0)}))
    }

    fn probe(&self, rid: &str) -> Vec<u8> {
        encode_line(&json!({"verb": "stat", "rid": rid}))
    }

    fn read(&self, line: &[u8]) -> Result<WorkerReply, ParseError> {
        let parsed: ReplyLine =
            serde_json::from_slice(line).map_err(|_| ParseError { rid: None, cause: "not a JSON answer" })?;
        let Some(rid) = scalar(&parsed.rid) else { return Err(ParseError { rid: None, cause: "no rid" }) };
        let parse_error = |cause| ParseError { rid: Some(rid.clone()), cause };
        let verb = scalar(&parsed.verb).ok_or_else(|| parse_error("no verb"))?;
        let reply = match verb.as_str() {
            "200" => {
                let content = parsed.content.unwrap_or_default();
                Reply::Ok(STANDARD.decode(content).map_err(|_| parse_error("content is not base64"))?)
            }
            "404" => Reply::Miss,
            "503" => Reply::Full,
            "500" => Reply::Error,
            "504" => Reply::Expired,
            "alive" => {
                let text = parsed.attrs.get("rep").and_then(scalar).unwrap_or_default();
                let value = |field: &str| {
                    let (name, value) = field.split_once(':')?;
                    Some((name.to_owned(), value.parse().ok()?))
                };
                return Ok(WorkerReply::Alive { rid, report: text.split(';').filter_map(value).collect() });
            }
            // The worker answers, but its process accepts no work.
            "dead" => Reply::Error,
            _ => return Err(parse_error("unknown verb")),
        };
        let instances = parsed.attrs.get("replicas").and_then(scalar).and_then(|text| text.parse().ok());
        Ok(WorkerReply::Answer { rid, reply, instances })
    }
}

#[cfg(test)]
mod tests;
