//! The node agents' wire: JSON objects, one a line, bodies in base64.

use super::{Codec, Said, Unreadable};
use crate::call::{Reply, Work};
use crate::interface::{FunctionId, Time};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

/// See the module's page.
pub struct AgentCodec;

#[derive(Deserialize)]
struct Line {
    verb: Value,
    #[serde(default)]
    rid: Value,
    #[serde(default)]
    attrs: Value,
    #[serde(default)]
    content: Option<String>,
}

fn line(object: &Value) -> Vec<u8> {
    let mut bytes = object.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

/// Fields may be numbers or strings.
fn word(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

impl Codec for AgentCodec {
    fn go(&self, work: &Work, now: Time, deadline: Time) -> Vec<u8> {
        let ttl = super::left_ms(now, deadline);
        let name = format!("{:016x}", work.function.0);
        let mut attrs = json!({"lane": work.class, "name": name, "ttl": ttl});
        if let Some(key) = &work.key {
            attrs["dedupe"] = json!(key);
        }
        let content = STANDARD.encode(&work.body);
        line(&json!({"verb": "go", "rid": work.reference, "attrs": attrs, "content": content}))
    }

    fn halt(&self, rid: &str) -> Vec<u8> {
        line(&json!({"verb": "halt", "rid": rid}))
    }

    fn stage(&self, rid: &str, function: FunctionId, copies: u8) -> Vec<u8> {
        let name = format!("{:016x}", function.0);
        line(&json!({"verb": "stage", "rid": rid, "attrs": {"name": name, "replicas": copies}}))
    }

    fn purge(&self, function: FunctionId) -> Vec<u8> {
        line(&json!({"verb": "purge", "rid": format!("{:016x}", function.0)}))
    }

    fn probe(&self, rid: &str) -> Vec<u8> {
        line(&json!({"verb": "stat", "rid": rid}))
    }

    fn read(&self, line: &[u8]) -> Result<Said, Unreadable> {
        let parsed: Line =
            serde_json::from_slice(line).map_err(|_| Unreadable { rid: None, cause: "not a JSON answer" })?;
        let Some(rid) = word(&parsed.rid) else { return Err(Unreadable { rid: None, cause: "no rid" }) };
        let bad = |cause| Unreadable { rid: Some(rid.clone()), cause };
        let verb = word(&parsed.verb).ok_or_else(|| bad("no verb"))?;
        let reply = match verb.as_str() {
            "200" => {
                let content = parsed.content.unwrap_or_default();
                Reply::Ok(STANDARD.decode(content).map_err(|_| bad("content is not base64"))?)
            }
            "404" => Reply::Miss,
            "503" => Reply::Full,
            "500" => Reply::Error,
            "504" => Reply::Expired,
            "alive" => {
                let text = parsed.attrs.get("rep").and_then(word).unwrap_or_default();
                let value = |field: &str| {
                    let (name, value) = field.split_once(':')?;
                    Some((name.to_owned(), value.parse().ok()?))
                };
                return Ok(Said::Alive { rid, report: text.split(';').filter_map(value).collect() });
            }
            // It answers, but its process takes no work.
            "dead" => Reply::Error,
            _ => return Err(bad("unknown verb")),
        };
        let copies = parsed.attrs.get("replicas").and_then(word).and_then(|text| text.parse().ok());
        Ok(Said::Answer { rid, reply, copies })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_read() {
        let answer = |rid: &str, reply, copies| Ok(Said::Answer { rid: rid.into(), reply, copies });
        let alive = |told: &[(&str, f32)]| {
            let report = told.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect();
            Ok(Said::Alive { rid: "p".into(), report })
        };
        let bad = |rid: Option<&str>, cause| Err(Unreadable { rid: rid.map(str::to_owned), cause });
        let cases: Vec<(&str, Result<Said, Unreadable>)> = vec![
            (r#"{"verb":"200","rid":"a1","content":"aGk="}"#, answer("a1", Reply::Ok(b"hi".into()), None)),
            (r#"{"verb":200,"rid":"a1"}"#, answer("a1", Reply::Ok(vec![]), None)),
            (r#"{"verb":"200","rid":7,"attrs":{"replicas":"2"}}"#, answer("7", Reply::Ok(vec![]), Some(2))),
            (r#"{"verb":"503","rid":"l","attrs":{"replicas":1}}"#, answer("l", Reply::Full, Some(1))),
            (r#"{"verb":"404","rid":"a"}"#, answer("a", Reply::Miss, None)),
            (r#"{"verb":"500","rid":"a","attrs":null}"#, answer("a", Reply::Error, None)),
            (r#"{"verb":"504","rid":"a"}"#, answer("a", Reply::Expired, None)),
            (r#"{"verb":"alive","rid":"p"}"#, alive(&[])),
            (
                r#"{"verb":"alive","rid":"p","attrs":{"rep":"util:0.5;x0:0"}}"#,
                alive(&[("util", 0.5), ("x0", 0.0)]),
            ),
            (r#"{"verb":"alive","rid":"p","attrs":{"rep":"util;:;x0:y;x1:2;"}}"#, alive(&[("x1", 2.0)])),
            (r#"{"verb":"alive","rid":"p","attrs":{"rep":[1]}}"#, alive(&[])),
            (r#"{"verb":"dead","rid":"p"}"#, answer("p", Reply::Error, None)),
            (r#"{"verb":"200","rid":"a","content":"%"}"#, bad(Some("a"), "content is not base64")),
            (r#"{"verb":"207","rid":"a"}"#, bad(Some("a"), "unknown verb")),
            (r#"{"verb":null,"rid":"a"}"#, bad(Some("a"), "no verb")),
            (r#"{"verb":"200"}"#, bad(None, "no rid")),
            (r#"{"verb":"200","rid":"a""#, bad(None, "not a JSON answer")),
            ("[]", bad(None, "not a JSON answer")),
            ("", bad(None, "not a JSON answer")),
        ];
        for (text, expected) in cases {
            assert_eq!(AgentCodec.read(text.as_bytes()), expected, "{text}");
        }
    }

    #[test]
    fn the_other_commands_are_worded() {
        let cases = [
            (AgentCodec.halt("a"), json!({"verb": "halt", "rid": "a"})),
            (
                AgentCodec.stage("t", FunctionId(0x7f), 2),
                json!({"verb": "stage", "rid": "t", "attrs": {"name": "000000000000007f", "replicas": 2}}),
            ),
            (AgentCodec.purge(FunctionId(0x7f)), json!({"verb": "purge", "rid": "000000000000007f"})),
            (AgentCodec.probe("p"), json!({"verb": "stat", "rid": "p"})),
        ];
        for (line, expected) in cases {
            assert_eq!(serde_json::from_slice::<Value>(&line).unwrap(), expected);
        }
    }

    #[test]
    fn a_call_passes_on_its_fields_unchanged() {
        let work = Work {
            reference: "9b1f03aa5c7e2d41".into(),
            class: "credit-submit".into(),
            function: FunctionId(0x7f),
            key: Some("5c0f".into()),
            body: vec![0, 255],
        };
        let line = AgentCodec.go(&work, Time(5), Time(1_500_000_006));
        let expected = json!({"verb": "go", "rid": "9b1f03aa5c7e2d41", "content": "AP8=",
            "attrs": {"lane": "credit-submit", "name": "000000000000007f", "ttl": 1501, "dedupe": "5c0f"}});
        assert_eq!(line.last(), Some(&b'\n'));
        assert_eq!(serde_json::from_slice::<Value>(&line).unwrap(), expected);
    }
}
