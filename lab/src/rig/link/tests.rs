use super::*;
use rand::SeedableRng;

#[test]
fn a_cut_keeps_the_bytes_of_streams_and_loses_datagrams() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (cut, fair) = (LinkCondition { cut: true, ..LinkCondition::default() }, LinkCondition::default());
    let (mut stream, mut datagrams) = (Stream::default(), Datagrams::default());
    stream.put(0, vec![1], &cut, &mut rng);
    datagrams.put(0, &[1], &cut, &mut rng);
    assert!(!stream.is_due(5, &cut));
    assert_eq!(stream.take(5, &fair), Some(vec![1]));
    assert_eq!((datagrams.take(5).len(), datagrams.lost), (0, 1));
}

#[test]
fn streams_keep_their_order_and_datagrams_are_reordered() {
    let mut rng = SmallRng::seed_from_u64(1);
    let rough = LinkCondition { jitter: 50 * MILLISECOND, ..LinkCondition::default() };
    let (mut stream, mut datagrams) = (Stream::default(), Datagrams::default());
    for n in 0..100 {
        stream.put(n, vec![n as u8], &rough, &mut rng);
        datagrams.put(n, &[n as u8], &rough, &mut rng);
    }
    let all: Vec<u8> = std::iter::from_fn(|| stream.take(100 * MILLISECOND, &rough)).flatten().collect();
    assert!(all.is_sorted() && all.len() == 100);
    let all: Vec<u8> = datagrams.take(100 * MILLISECOND).into_iter().flatten().collect();
    assert!(!all.is_sorted() && all.len() == 100);
}
