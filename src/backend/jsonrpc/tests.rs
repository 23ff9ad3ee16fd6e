use super::*;

#[test]
fn commands_are_encoded() {
    let (reference, class, key) = ("9b1f".to_owned(), "c".to_owned(), Some("k".to_owned()));
    let work = RequestPayload { reference, class, function: FunctionId(0x7f), key, body: b"hi".to_vec() };
    let name = "000000000000007f";
    let params = json!({"class": "c", "function": name, "ttl_ms": 2, "body": "aGk=", "key": "k"});
    let cases = [
        (
            CheckerCodec.go(&work, Timestamp(5), Timestamp(1_000_006)),
            json!({"id": "9b1f", "method": "call", "params": params}),
        ),
        (CheckerCodec.halt("9b1f"), json!({"method": "cancel", "params": {"id": "9b1f"}})),
        (
            CheckerCodec.stage("t", FunctionId(0x7f), 2),
            json!({"id": "t", "method": "load", "params": {"function": name, "copies": 2}}),
        ),
        (CheckerCodec.purge(FunctionId(0x7f)), json!({"method": "unload", "params": {"function": name}})),
        (CheckerCodec.probe("p"), json!({"id": "p", "method": "probe", "params": {}})),
    ];
    for (line, mut expected) in cases {
        expected["jsonrpc"] = json!("2.0");
        assert_eq!(serde_json::from_slice::<Value>(&line).unwrap(), expected);
    }
}

#[test]
fn replies_are_decoded() {
    let answer = |reply, instances| Ok(WorkerReply::Answer { rid: "a".into(), reply, instances });
    let bad = |rid: Option<&str>, cause| Err(ParseError { rid: rid.map(str::to_owned), cause });
    let cases: Vec<(&str, Result<WorkerReply, ParseError>)> = vec![
        (r#"{"jsonrpc":"2.0","id":"a","result":{"body":"aGk="}}"#, answer(Reply::Ok(b"hi".into()), None)),
        (r#"{"jsonrpc":"2.0","id":"a","result":{"copies":2}}"#, answer(Reply::Ok(vec![]), Some(2))),
        (
            r#"{"jsonrpc":"2.0","id":"a","result":{"load":{"util":0.5}}}"#,
            Ok(WorkerReply::Alive { rid: "a".into(), report: vec![("util".into(), 0.5)] }),
        ),
        (r#"{"jsonrpc":"2.0","id":"a","error":{"code":-32010}}"#, answer(Reply::Miss, None)),
        (
            r#"{"jsonrpc":"2.0","id":"a","error":{"code":-32011,"data":{"copies":1}}}"#,
            answer(Reply::Full, Some(1)),
        ),
        (r#"{"jsonrpc":"2.0","id":"a","error":{"code":-32012}}"#, answer(Reply::Expired, None)),
        (r#"{"jsonrpc":"2.0","id":"a","error":{"code":-32601}}"#, answer(Reply::Error, None)),
        (r#"{"jsonrpc":"2.0","id":"a","error":{}}"#, bad(Some("a"), "an error without a code")),
        (r#"{"jsonrpc":"2.0","id":"a","result":{}}"#, bad(Some("a"), "no body")),
        (r#"{"jsonrpc":"2.0","id":"a","result":{"body":"%"}}"#, bad(Some("a"), "body is not base64")),
        (r#"{"jsonrpc":"2.0","id":"a"}"#, bad(Some("a"), "neither a result nor an error")),
        (r#"{"id":"a","result":{"body":""}}"#, bad(Some("a"), "not JSON-RPC 2.0")),
        (r#"{"jsonrpc":"2.0","id":1,"result":{"body":""}}"#, bad(None, "no id of ours")),
        ("[1]", bad(None, "not an object")),
        ("{", bad(None, "not JSON")),
    ];
    for (text, expected) in cases {
        assert_eq!(CheckerCodec.read(text.as_bytes()), expected, "{text}");
    }
}
