use super::*;

const START: Timestamp = Timestamp(1_000_000_000_000);

/// References are forgotten after a while, and the oldest ones first if there are too many.
#[test]
fn remembered_references_are_bounded_in_time_and_number() {
    let mut used = UsedReferences::default();
    used.record(START, 0xab);
    assert!(used.contains(START + RETENTION, "00000000000000ab"));
    assert!(!used.contains(START + RETENTION + Duration(1), "00000000000000ab"));
    for number in 0..=MAX_REFERENCES as u64 {
        used.record(START, number);
    }
    assert!(!used.contains(START, "0000000000000000"));
    assert!(used.contains(START, "0000000000000001"));
    assert_eq!((used.iter().count(), used.all.len()), (MAX_REFERENCES, MAX_REFERENCES));
}

/// A reference that is no number is not remembered: both fronts turn it away.
#[test]
fn other_texts_are_no_references() {
    assert_eq!(number_of("9b1f03aa5c7e2d41"), Some(0x9b1f_03aa_5c7e_2d41));
    assert_eq!(number_of("not hex"), None);
}
