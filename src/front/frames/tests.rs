use super::super::MAX_BODY_BYTES;
use super::*;
use crate::interface::FunctionId;

const OWNER: Owner = Owner { connection: 1, stream: 1 };

#[test]
fn only_complete_frames_of_valid_length_are_read() {
    let mut complete = Vec::new();
    put_frame(2, 7, &[], &mut complete);
    put_frame(0, 8, &[b"xyz"], &mut complete);
    for cut in 0..9 {
        assert_eq!(read_frame(&complete[..cut]), Ok(None), "{cut}");
    }
    let (first, size) = read_frame(&complete).unwrap().unwrap();
    assert_eq!((first, size), (Frame { kind: 2, stream: 7, payload: b"" }, 9));
    let (second, _) = read_frame(&complete[size..]).unwrap().unwrap();
    assert_eq!(second, Frame { kind: 0, stream: 8, payload: b"xyz" });
    for length in [0u32, 4, 262_145, u32::MAX] {
        assert!(read_frame(&length.to_be_bytes()).is_err(), "{length}");
    }
    assert_eq!(read_frame(&262_144u32.to_be_bytes()), Ok(None));
}

#[test]
fn requests_are_decoded() {
    let good = [
        ("service", "call"),
        ("ref", "9b1f03aa5c7e2d41"),
        ("allow", "1500"),
        ("lookup", "7f3a9c21e0b4d655"),
        ("spec", "memory_mb:512;lanes:2;load_ms:640"),
    ];
    let call = read_request(&[fields(&good), b"body".to_vec()].concat(), OWNER, Timestamp(0)).unwrap();
    assert_eq!((call.memory_mb, call.concurrency, call.load_time), (512.0, 2.0, Some(Duration::millis(640))));
    assert_eq!((call.deadline, call.body), (Timestamp(1_495_000_000), b"body".to_vec()));
    assert_eq!((call.function, call.key), (FunctionId(0x7f3a_9c21_e0b4_d655), None));
    let cases = [
        ("service", None),
        ("ref", None),
        ("ref", Some("xyz")),
        ("ref", Some("9b1f03aa5c7e2d4g")),
        ("allow", None),
        ("allow", Some("-1")),
        ("allow", Some("soon")),
        ("allow", Some("+5")),
        ("allow", Some("99999999999999999999999")),
        ("lookup", None),
        ("lookup", Some("+f3a9c21e0b4d655")),
        ("lookup", Some("7f3a9c21e0b4d6551")),
        ("spec", Some("lanes")),
        ("spec", Some("lanes:NaN")),
        ("spec", Some("memory_mb:-1")),
    ];
    for (name, value) in cases {
        let list: Vec<_> =
            good.iter().copied().filter(|(n, _)| *n != name).chain(value.map(|v| (name, v))).collect();
        let got = read_request(&fields(&list), OWNER, Timestamp(0));
        assert!(matches!(got, Err(RequestError::Unusable(_))), "{name} {value:?}: {got:?}");
    }
    let twice: Vec<_> = good.iter().copied().chain([("allow", "9")]).collect();
    let got = read_request(&fields(&twice), OWNER, Timestamp(0)).unwrap_err();
    assert_eq!(got, RequestError::Unusable("a field stands twice"));
    let large = [fields(&good), vec![0; MAX_BODY_BYTES + 1]].concat();
    assert_eq!(
        read_request(&large, OWNER, Timestamp(0)).unwrap_err(),
        RequestError::Unusable("body too large")
    );
    let complete = fields(&good);
    for cut in 0..complete.len() {
        let got = read_request(&complete[..cut], OWNER, Timestamp(0));
        assert_eq!(got.unwrap_err(), RequestError::Malformed("fields cut short"), "{cut}");
    }
    let got = read_request(&[1, 1, 0xff, 0, 0], OWNER, Timestamp(0));
    assert_eq!(got.unwrap_err(), RequestError::Malformed("a field is not text"));
}

#[test]
fn answers_are_encoded() {
    let cases: Vec<(Verdict, Vec<u8>)> = vec![
        (Verdict::Served(b"ok".to_vec()), vec![79, 0, b'o', b'k']),
        (Verdict::Refused { cooldown: Duration(0) }, vec![66, 0]),
        (
            Verdict::Refused { cooldown: Duration(1_000_001) },
            [&[66][..], &fields(&[("cooldown", "2")])].concat(),
        ),
        (Verdict::Failed, vec![69, 0]),
    ];
    for (verdict, payload) in cases {
        let mut bytes = Vec::new();
        put_answer(5, &verdict, &mut bytes);
        let (frame, size) = read_frame(&bytes).unwrap().unwrap();
        assert_eq!((frame.kind, frame.stream, frame.payload), (1, 5, &payload[..]), "{verdict:?}");
        assert_eq!(size, bytes.len());
    }
}

#[test]
fn a_stream_number_can_be_used_once() {
    let mut used_streams = UsedStreams::default();
    let got: Vec<bool> =
        [1, 3, 2, 3, 1, 4, u32::MAX, u32::MAX].iter().map(|n| used_streams.mark_used(*n)).collect();
    assert_eq!(got, [true, true, true, false, false, true, true, false]);
    assert_eq!(used_streams.floor, 4);
}
