use super::*;
use mio::{Events, Poll};
use std::time::Duration;

/// Epoll reports input once. Input left in the socket while output was pending must be reported again.
#[test]
fn input_left_unread_is_reported_again() {
    let (near, mut far) = UnixStream::pair().unwrap();
    let mut poll = Poll::new().unwrap();
    let mut events = Events::with_capacity(4);
    let clock = SystemClock::new();
    let limits = BufferLimits { input: 100, output: 0 };
    let mut link = Link::new(Stream::Unix(near), Token(1), true, limits, clock.reading());
    link.register(poll.registry()).unwrap();
    far.write_all(b"x").unwrap();
    poll.poll(&mut events, Some(Duration::from_secs(10))).unwrap();
    link.enqueue(b"y");
    assert!(!link.fill_input(usize::MAX, clock).unwrap() && link.input.is_empty(), "reading is paused");
    assert!(link.flush().unwrap());
    link.register(poll.registry()).unwrap();
    poll.poll(&mut events, Some(Duration::from_secs(10))).unwrap();
    assert!(events.iter().any(mio::event::Event::is_readable));
    assert!(link.fill_input(usize::MAX, clock).unwrap());
    assert_eq!(link.input, b"x");
}
