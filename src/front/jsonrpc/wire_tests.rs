//! The wire forms that are private to this module: params of calls and chains, and the responses it composes itself.

use super::*;
use crate::interface::FunctionId;

fn step(class: &str, body: Option<&[u8]>) -> Step {
    Step {
        class: class.into(),
        function: FunctionId(0x7f3a_9c21_e0b4_d655),
        memory_mb: 0.0,
        concurrency: 1.0,
        load_time: None,
        body: body.map(<[u8]>::to_vec),
    }
}

#[test]
fn calls_are_decoded_unchanged() {
    let few = r#"{"jsonrpc":"2.0","id":7,"method":"call","params":{"class":"chat",
        "function":"7f3a9c21e0b4d655","allow_ms":1500}}"#;
    let params = Params { step: step("chat", Some(&[])), allow_ms: 1_500, reference: None, key: None };
    assert_eq!(read_line(few.as_bytes()), ParsedLine::One(Request::Call(json!(7), Box::new(params))));
    let all = r#"{"jsonrpc":"2.0","id":"a","method":"call","params":{"class":"chat",
        "function":"7f3a9c21e0b4d655","memory_mb":512.5,"lanes":2,"load_ms":640,"body":"AP8=",
        "allow_ms":1500,"ref":"9b1f03aa5c7e2d41","key":"5c0f"}}"#;
    let load_time = Some(Duration(640_000_000));
    let params = Params {
        step: Step { memory_mb: 512.5, concurrency: 2.0, load_time, ..step("chat", Some(&[0, 255])) },
        allow_ms: 1_500,
        reference: Some("9b1f03aa5c7e2d41".into()),
        key: Some("5c0f".into()),
    };
    assert_eq!(read_line(all.as_bytes()), ParsedLine::One(Request::Call(json!("a"), Box::new(params))));
}

#[test]
fn chains_are_decoded_unchanged() {
    let line = r#"{"jsonrpc":"2.0","id":"a","method":"chain","params":{"allow_ms":9,"key":"k","steps":[
        {"class":"chat","function":"7f3a9c21e0b4d655","body":"AP8=","previous":false},
        {"class":"bulk","function":"7f3a9c21e0b4d655","previous":true},
        {"class":"bulk","function":"7f3a9c21e0b4d655"}]}}"#;
    let steps = vec![step("chat", Some(&[0, 255])), step("bulk", None), step("bulk", Some(&[]))];
    let params = ChainParams { steps, allow_ms: 9, key: Some("k".into()) };
    assert_eq!(read_line(line.as_bytes()), ParsedLine::One(Request::Chain(json!("a"), Box::new(params))));
}

#[test]
fn results_and_errors_are_encoded_unchanged() {
    let cases = [
        (
            result(&json!("r"), &json!({"ready": true})),
            r#"{"id":"r","jsonrpc":"2.0","result":{"ready":true}}"#,
        ),
        (
            error(&json!(7), -32004, "cancelled", None),
            r#"{"error":{"code":-32004,"message":"cancelled"},"id":7,"jsonrpc":"2.0"}"#,
        ),
        (
            error(&Value::Null, -32001, "refused", Some(json!({"cooldown_ms": 2}))),
            r#"{"error":{"code":-32001,"data":{"cooldown_ms":2},"message":"refused"},"id":null,"jsonrpc":"2.0"}"#,
        ),
    ];
    for (reply, line) in cases {
        assert_eq!(reply.to_string(), line);
    }
}
