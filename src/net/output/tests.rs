use super::*;

/// Writes at most this many bytes in all, then would block.
fn limited(limit: usize, written: &mut Vec<u8>) -> impl FnMut(&[u8]) -> io::Result<usize> {
    let mut left = limit;
    move |bytes| {
        let count = left.min(bytes.len());
        left -= count;
        written.extend(&bytes[..count]);
        if count == 0 { Err(io::ErrorKind::WouldBlock.into()) } else { Ok(count) }
    }
}

/// Bytes come out in order, whatever the sizes of the messages and of the writes.
#[test]
fn messages_are_counted_and_written_in_order() {
    let mut queue = OutputQueue::default();
    let messages: Vec<Vec<u8>> = [3, 0, CHUNK_BYTES, 7, 2 * CHUNK_BYTES, 1]
        .iter()
        .zip(1..)
        .map(|(size, byte)| vec![byte; *size])
        .collect();
    messages.iter().for_each(|message| queue.push(message));
    assert_eq!((queue.message_count(), queue.none_written()), (5, true));
    let mut written = vec![];
    assert_eq!(queue.write_to(limited(2, &mut written)).unwrap(), 2);
    assert_eq!((queue.message_count(), queue.none_written()), (5, false));
    assert_eq!(queue.write_to(limited(CHUNK_BYTES + 5, &mut written)).unwrap(), CHUNK_BYTES + 5);
    assert_eq!(queue.message_count(), 3, "the message of 7 bytes is written in part");
    queue.push(b"x");
    while queue.len() > 0 {
        queue.write_to(limited(1000, &mut written)).unwrap();
    }
    assert_eq!(written, [messages.concat(), b"x".to_vec()].concat());
    assert_eq!((queue.message_count(), queue.chunks.len()), (0, 0));
}

/// Memory is freed as it is written, also if the queue never becomes empty.
#[test]
fn a_peer_that_is_always_a_little_behind_keeps_little_memory() {
    let mut queue = OutputQueue::default();
    let mut written = vec![];
    for _ in 0..1000 {
        queue.push(&vec![0; 10_000]);
        queue.push(&vec![0; 10_000]);
        queue.write_to(limited(20_000 - 20, &mut written)).unwrap();
    }
    let kept: usize = queue.chunks.iter().map(Vec::capacity).sum();
    assert!(kept < queue.len() + 4 * CHUNK_BYTES, "{kept} bytes for {}", queue.len());
}

/// A message that has not been begun can be discarded; half a message cannot be taken back.
#[test]
fn output_is_discarded_whole_only_before_its_first_byte() {
    let mut queue = OutputQueue::default();
    queue.push(b"first");
    assert!(queue.discard() && queue.len() == 0);
    queue.push(b"second");
    queue.write_to(limited(2, &mut vec![])).unwrap();
    assert!(!queue.discard());
    assert_eq!((queue.len(), queue.message_count()), (0, 0));
}
