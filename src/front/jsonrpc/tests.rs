use super::*;

fn code(line: &ParsedLine) -> Option<i64> {
    match line {
        ParsedLine::One(Request::Reply(reply)) => reply["error"]["code"].as_i64(),
        _ => None,
    }
}

#[test]
fn invalid_lines_are_answered_with_error_code_and_id() {
    let call = r#"{"jsonrpc":"2.0","id":1,"method":"call","params":"#;
    let cases = [
        ("{".to_owned(), codes::PARSE, "null"),
        ("\u{0}".to_owned(), codes::PARSE, "null"),
        ("[]".to_owned(), codes::INVALID_REQUEST, "null"),
        (format!("[{}1]", "1,".repeat(MAX_BATCH_REQUESTS)), codes::INVALID_REQUEST, "null"),
        ("7".to_owned(), codes::INVALID_REQUEST, "null"),
        (r#"{"id":"a","method":"call"}"#.to_owned(), codes::INVALID_REQUEST, "\"a\""),
        (r#"{"jsonrpc":"2.0","id":"a"}"#.to_owned(), codes::INVALID_REQUEST, "\"a\""),
        (r#"{"jsonrpc":"2.0","id":[],"method":"call"}"#.to_owned(), codes::INVALID_REQUEST, "null"),
        (r#"{"jsonrpc":"2.0","id":5,"method":"call","params":5}"#.to_owned(), codes::INVALID_REQUEST, "5"),
        (r#"{"jsonrpc":"2.0","id":1.5,"method":"sing"}"#.to_owned(), codes::NO_METHOD, "1.5"),
        (r#"{"jsonrpc":"2.0","id":null,"method":"call"}"#.to_owned(), codes::INVALID_PARAMS, "null"),
        (
            r#"{"jsonrpc":"2.0","id":2,"method":"cancel","params":{"id":1}}"#.to_owned(),
            codes::INVALID_REQUEST,
            "2",
        ),
        (format!("{call}[1]}}"), codes::INVALID_PARAMS, "1"),
        (format!(r#"{call}{{"class":"c","function":"7f","allow_ms":1}}}}"#), codes::INVALID_PARAMS, "1"),
        (format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655"}}}}"#), codes::INVALID_PARAMS, "1"),
        (
            format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655","allow_ms":-1}}}}"#),
            codes::INVALID_PARAMS,
            "1",
        ),
        (
            format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655","allow_ms":9,"body":"%"}}}}"#),
            codes::INVALID_PARAMS,
            "1",
        ),
        (
            format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655","allow_ms":9,"ref":"x"}}}}"#),
            codes::INVALID_PARAMS,
            "1",
        ),
        (
            format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655","allow_ms":9,"lanes":1e999}}}}"#),
            codes::INVALID_PARAMS,
            "1",
        ),
    ];
    for (text, expected, id) in cases {
        let line = read_line(text.as_bytes());
        assert_eq!(code(&line), Some(expected), "{text}");
        let ParsedLine::One(Request::Reply(reply)) = line else { panic!("{text}") };
        assert_eq!(reply["id"].to_string(), id, "{text}");
    }
}

/// A decoded line must take little more memory than its bytes; a full batch of full chains is still decoded.
#[test]
fn lines_of_very_many_values_are_rejected_undecoded() {
    let many = format!("[{}1]", "1,".repeat(20_000));
    let ParsedLine::One(Request::Reply(reply)) = read_line(many.as_bytes()) else { panic!("not rejected") };
    assert_eq!(reply["error"]["message"], "too many values");
    let step = json!({"class": "c", "function": "7f3a9c21e0b4d655", "memory_mb": 1, "lanes": 1, "load_ms": 1,
        "body": "", "previous": false});
    let params = json!({"allow_ms": 1, "key": "k", "steps": vec![step; crate::chain::MAX_STEPS]});
    let chain = json!({"jsonrpc": "2.0", "id": 1, "method": "chain", "params": params});
    let batch = Value::Array(vec![chain; MAX_BATCH_REQUESTS]).to_string();
    assert!(
        matches!(read_line(batch.as_bytes()), ParsedLine::Batch(list) if list.len() == MAX_BATCH_REQUESTS)
    );
}

#[test]
fn valid_lines_are_decoded() {
    let text = r#"{"jsonrpc":"2.0","id":"a","method":"call","params":{"class":"c","function":"7f3a9c21e0b4d655","allow_ms":1500,"key":"k","lanes":2,"body":"aGk="}}"#;
    let ParsedLine::One(Request::Call(id, params)) = read_line(text.as_bytes()) else { panic!("a call") };
    assert_eq!((id, params.allow_ms, params.step.concurrency), (json!("a"), 1500, 2.0));
    assert_eq!((params.key.as_deref(), params.step.body.as_deref()), (Some("k"), Some(&b"hi"[..])));
    let cases = [
        (r#"{"jsonrpc":"2.0","method":"cancel","params":{"id":7}}"#, Request::Cancel(json!(7))),
        (r#"{"jsonrpc":"2.0","method":"cancel"}"#, Request::Nothing),
        (r#"{"jsonrpc":"2.0","method":"call","params":{}}"#, Request::Nothing),
        (r#"{"jsonrpc":"2.0","method":"sing"}"#, Request::Nothing),
        (r#"{"jsonrpc":"2.0","id":0,"method":"ready"}"#, Request::Ready(json!(0))),
    ];
    for (text, expected) in cases {
        assert_eq!(read_line(text.as_bytes()), ParsedLine::One(expected), "{text}");
    }
    let batch = format!("[{},1]", cases_text());
    let ParsedLine::Batch(requests) = read_line(batch.as_bytes()) else { panic!("a batch") };
    assert_eq!((requests.len(), has_reply(&requests[0]), has_reply(&requests[1])), (2, false, true));
}

fn cases_text() -> &'static str {
    r#"{"jsonrpc":"2.0","method":"cancel","params":{"id":7}}"#
}

#[test]
fn answers_are_encoded() {
    let refused = Verdict::Refused { cooldown: Duration::millis(250) };
    let cases = [
        (Verdict::Served(b"hi".to_vec()), false, json!({"result": {"body": "aGk="}})),
        (
            refused.clone(),
            false,
            json!({"error": {"code": -32001, "message": "refused", "data": {"cooldown_ms": 250}}}),
        ),
        (
            refused,
            true,
            json!({"error": {"code": -32003, "message": "deadline passed",
            "data": {"outcome": "refused", "cooldown_ms": 250}}}),
        ),
        (Verdict::Failed, false, json!({"error": {"code": -32002, "message": "failed"}})),
        (
            Verdict::Failed,
            true,
            json!({"error": {"code": -32003, "message": "deadline passed", "data": {"outcome": "failed"}}}),
        ),
    ];
    for (verdict, expired, mut expected) in cases {
        expected["jsonrpc"] = json!("2.0");
        expected["id"] = json!("7");
        assert_eq!(response(&json!("7"), &Answer { verdict, expired }), expected);
    }
}
