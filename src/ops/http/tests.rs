use super::*;
use proptest::prelude::*;

const WORKER: WorkerId = WorkerId(0xc4_1f7a);

fn head(line: &str) -> Vec<u8> {
    format!("{line} HTTP/1.1\r\nHost: 127.0.0.1\r\nAccept: */*\r\n\r\n").into_bytes()
}

#[test]
fn requests_are_parsed() {
    let cases = [
        ("GET /api/ready", Ok(OperatorRequest::Ready)),
        ("GET /api/telemetry", Ok(OperatorRequest::Figures)),
        ("GET /api/telemetry?x=1", Ok(OperatorRequest::Figures)),
        ("GET /api/fleet", Ok(OperatorRequest::Fleet)),
        ("POST /api/fleet", Err(405)),
        ("POST /api/exclude?name=s-00c41f7a", Ok(OperatorRequest::Exclude(WORKER))),
        ("POST /api/include?name=s-00c41f7a", Ok(OperatorRequest::Include(WORKER))),
        ("POST /api/ready", Err(405)),
        ("GET /api/exclude?name=s-00c41f7a", Err(405)),
        ("GET /api/else", Err(404)),
        ("GET /", Err(404)),
        ("POST /api/exclude", Err(400)),
        ("POST /api/exclude?", Err(400)),
        ("POST /api/exclude?id=s-00c41f7a", Err(400)),
        ("POST /api/exclude?name=", Err(400)),
        ("POST /api/exclude?name=s-00c41f7", Err(400)),
        ("POST /api/exclude?name=s%2D00c41f7a", Err(400)),
        ("POST /api/exclude?name=s-00c41f7a&name=s-00c41f7b", Err(400)),
    ];
    for (line, expected) in cases {
        let got = read(&head(line)).map(|request| request.unwrap()).map_err(|error| error.0);
        assert_eq!(got, expected, "{line}");
    }
}

/// Input that is not exactly one complete request without a body is rejected, so that it changes nothing.
#[test]
fn invalid_requests_are_rejected() {
    let post = |rest: &str| format!("POST /api/exclude?name=s-00c41f7a HTTP/1.1\r\n{rest}").into_bytes();
    let cases: Vec<(Vec<u8>, u16)> = vec![
        (post("Content-Length: 4\r\n\r\nbody"), 400),
        (post("Content-Length: 4\r\n\r\n"), 400),
        (post("Transfer-Encoding: chunked\r\n\r\n"), 400),
        ([head("GET /api/ready"), head("GET /api/ready")].concat(), 400),
        (post(&"X: y\r\n".repeat(100)), 431),
        (post(&format!("X: {}", "y".repeat(MAX_HEAD_BYTES))), 431),
        (post(&format!("X: {}\r\n\r\n", "y".repeat(MAX_HEAD_BYTES))), 431),
        (b"GET /api/ready HTTP/2.0\r\n\r\n".to_vec(), 505),
        (b"\x16\x03\x01\x02\x00\x01".to_vec(), 400),
    ];
    for (bytes, status) in cases {
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(60)]).into_owned();
        assert_eq!(read(&bytes).map_err(|error| error.0), Err(status), "{text}");
    }
    let complete = post("Content-Length: 0\r\n\r\n");
    assert_eq!(read(&complete), Ok(Some(OperatorRequest::Exclude(WORKER))));
    for cut in 0..complete.len() {
        assert_eq!(read(&complete[..cut]), Ok(None), "{cut}");
    }
}

proptest! {
    #![proptest_config(crate::proptest_config())]

    /// Random bytes are never parsed as a request.
    #[test]
    fn random_bytes_are_not_a_request(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(!matches!(read(&bytes), Ok(Some(_))));
    }

    /// A request with one changed byte is another request, an error or incomplete. It never names a worker whose id
    /// is not in the text.
    #[test]
    fn a_request_with_a_changed_byte_names_no_other_worker(at in 0usize..34, byte in any::<u8>()) {
        let mut bytes = head("POST /api/exclude?name=s-00c41f7a");
        bytes[at] = byte;
        if let Ok(Some(request)) = read(&bytes) {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let named = match request {
                OperatorRequest::Exclude(WorkerId(id)) | OperatorRequest::Include(WorkerId(id)) => id,
                _ => u64::MAX,
            };
            prop_assert!(text.to_lowercase().contains(&format!("name=s-{named:08x} ")), "{text}");
        }
    }
}
