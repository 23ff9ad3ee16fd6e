use super::*;

#[test]
fn replies_are_decoded() {
    let answer = |rid: &str, reply, instances| Ok(WorkerReply::Answer { rid: rid.into(), reply, instances });
    let alive = |figures: &[(&str, f32)]| {
        let report = figures.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect();
        Ok(WorkerReply::Alive { rid: "p".into(), report })
    };
    let bad = |rid: Option<&str>, cause| Err(ParseError { rid: rid.map(str::to_owned), cause });
    let cases: Vec<(&str, Result<WorkerReply, ParseError>)> = vec![
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
        assert_eq!(JsonLinesCodec.read(text.as_bytes()), expected, "{text}");
    }
}

#[test]
fn commands_other_than_calls_are_encoded() {
    let cases = [
        (JsonLinesCodec.halt("a"), json!({"verb": "halt", "rid": "a"})),
        (
            JsonLinesCodec.stage("t", FunctionId(0x7f), 2),
            json!({"verb": "stage", "rid": "t", "attrs": {"name": "000000000000007f", "replicas": 2}}),
        ),
        (JsonLinesCodec.purge(FunctionId(0x7f)), json!({"verb": "purge", "rid": "000000000000007f"})),
        (JsonLinesCodec.probe("p"), json!({"verb": "stat", "rid": "p"})),
    ];
    for (line, expected) in cases {
        assert_eq!(serde_json::from_slice::<Value>(&line).unwrap(), expected);
    }
}

#[test]
fn a_call_is_encoded_with_its_fields_unchanged() {
    let work = RequestPayload {
        reference: "9b1f03aa5c7e2d41".into(),
        class: "credit-submit".into(),
        function: FunctionId(0x7f),
        key: Some("5c0f".into()),
        body: vec![0, 255],
    };
    let line = JsonLinesCodec.go(&work, Timestamp(5), Timestamp(1_500_000_006));
    let expected = json!({"verb": "go", "rid": "9b1f03aa5c7e2d41", "content": "AP8=",
        "attrs": {"lane": "credit-submit", "name": "000000000000007f", "ttl": 1501, "dedupe": "5c0f"}});
    assert_eq!(line.last(), Some(&b'\n'));
    assert_eq!(serde_json::from_slice::<Value>(&line).unwrap(), expected);
}
