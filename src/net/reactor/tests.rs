use super::*;
use mio::net::UnixStream;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream as StdUnixStream;

/// Echoes, and panics at an `!`.
struct Fragile;

impl Connection for Fragile {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, link: &mut Link, _hub: &mut Context) -> ControlFlow {
        let bytes = std::mem::take(&mut link.inbox);
        assert!(!bytes.contains(&b'!'), "as the test wants");
        link.put(&bytes);
        ControlFlow::Continue
    }
    fn closed(&mut self, _link: &Link, _hub: &mut Context) {}
}

/// A scheduler without classes, and a reactor without connections.
fn parts() -> (Core, Reactor) {
    let site = br#"{"fleetSize": 1, "index": 0, "classes": [], "bounds": {"mostTries": 1},
        "contract": {"coldFrom": 1, "coldNs": 1, "fallMultiple": 1, "fallNs": 1},
        "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;
    let core = Core::new(crate::settings::read_site(site).unwrap(), 1);
    let reactor = Reactor::new(SystemClock::new()).unwrap();
    (core, reactor)
}

/// Whoever reads nothing must not hold memory without bound.
#[test]
fn output_beyond_the_limit_ends_the_connection_that_adds_to_it() {
    let (mut core, mut reactor) = parts();
    reactor.waiting_limit = 8 << 20;
    let (near, _far) = StdUnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let stream = Stream::Unix(UnixStream::from_std(near));
    let id = reactor
        .add(stream, Box::new(Fragile), true, BufferLimits { inbox: 100, outbox: usize::MAX }, &mut core)
        .unwrap();
    let mut put = |bytes: usize| {
        reactor.with(id, &mut core, |_, link, _| {
            link.put(&vec![0; bytes]);
            ControlFlow::Continue
        });
        (reactor.count(), reactor.waiting > 0)
    };
    assert_eq!(put(7 << 20), (1, true));
    assert_eq!(put(7 << 20), (0, false));
}

#[test]
fn a_panic_ends_its_connection_and_no_other() {
    let (mut core, mut reactor) = parts();
    let mut add = |core: &mut Core| {
        let (near, far) = StdUnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let stream = Stream::Unix(UnixStream::from_std(near));
        reactor.add(stream, Box::new(Fragile), true, BufferLimits { inbox: 100, outbox: 100 }, core).unwrap();
        far
    };
    let (mut first, mut second) = (add(&mut core), add(&mut core));
    first.write_all(b"!").unwrap();
    second.write_all(b"x").unwrap();
    while core.counters().panics == 0 || reactor.count() > 1 {
        reactor.poll_once(None, &mut core).unwrap();
    }
    let mut byte = [0];
    assert_eq!(first.read(&mut byte).unwrap(), 0, "ended");
    let soon = Some(reactor.after(Duration::millis(100)));
    reactor.poll_once(soon, &mut core).unwrap();
    second.read_exact(&mut byte).unwrap();
    assert_eq!((byte, core.counters().panics), ([b'x'], 1));
}

/// Writes to another connection's far end when its own time comes.
struct Writer(Option<Timestamp>, StdUnixStream);

/// Ends at its time if nothing has come before.
struct Idle(Option<Timestamp>, Rc<RefCell<Vec<&'static str>>>);

impl Connection for Writer {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn on_timeout(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        self.0 = None;
        self.1.write_all(b"x").unwrap();
        ControlFlow::Continue
    }
    fn deadline(&self) -> Option<Timestamp> {
        self.0
    }
    fn closed(&mut self, _link: &Link, _hub: &mut Context) {}
}

impl Connection for Idle {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        self.0 = None;
        self.1.borrow_mut().push("read");
        ControlFlow::Continue
    }
    fn on_timeout(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Close
    }
    fn deadline(&self) -> Option<Timestamp> {
        self.0
    }
    fn closed(&mut self, _link: &Link, _hub: &mut Context) {
        self.1.borrow_mut().push("closed");
    }
}

/// Something comes on a connection after the poll and before its time, in the same turn: it is read, and counts.
#[test]
fn what_came_before_the_time_was_up_is_read_first() {
    let (mut core, mut reactor) = parts();
    let now = reactor.now();
    let log = Rc::new(RefCell::new(vec![]));
    let (near, far) = StdUnixStream::pair().unwrap();
    let (other, _far) = StdUnixStream::pair().unwrap();
    let writer: Box<dyn Connection> = Box::new(Writer(Some(now), far));
    let idle: Box<dyn Connection> = Box::new(Idle(Some(now + Duration(1)), log.clone()));
    for (stream, connection) in [(other, writer), (near, idle)] {
        stream.set_nonblocking(true).unwrap();
        let stream = Stream::Unix(UnixStream::from_std(stream));
        reactor.add(stream, connection, true, BufferLimits { inbox: 100, outbox: 100 }, &mut core).unwrap();
    }
    reactor.poll_once(None, &mut core).unwrap();
    assert_eq!(*log.borrow(), ["read"]);
}

/// Says what it has heard, and counts ends.
struct Listener(std::rc::Rc<std::cell::RefCell<Vec<u8>>>);

impl Connection for Listener {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, link: &mut Link, _hub: &mut Context) -> ControlFlow {
        self.0.borrow_mut().append(&mut link.inbox);
        ControlFlow::Continue
    }
    fn closed(&mut self, _link: &Link, _hub: &mut Context) {
        self.0.borrow_mut().push(b'.');
    }
}

/// What the other side had said before it went is heard though the first to notice its end is a write.
#[test]
fn a_failed_write_leaves_nothing_unread() {
    let (mut core, mut reactor) = parts();
    let (near, mut far) = StdUnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let stream = Stream::Unix(UnixStream::from_std(near));
    let heard = std::rc::Rc::default();
    let listener = Box::new(Listener(std::rc::Rc::clone(&heard)));
    let id =
        reactor.add(stream, listener, true, BufferLimits { inbox: 100, outbox: 100 }, &mut core).unwrap();
    far.write_all(b"last word").unwrap();
    drop(far);
    let put = |_: &mut dyn Connection, link: &mut Link, _: &mut Context| {
        link.put(b"into the void");
        ControlFlow::Continue
    };
    reactor.with(id, &mut core, put);
    assert_eq!(heard.borrow().as_slice(), b"last word.");
    assert_eq!(reactor.count(), 0);
}

/// A signal that continues a stopped process ends its poll early: what the next poll tells of had come before, however long that
/// one takes beside other processes.
#[test]
fn what_came_while_the_process_stood_still_counts_from_the_last_look() {
    let (_core, mut reactor) = parts();
    let (before, rest) = (reactor.polled, Some(Duration::millis(80)));
    let ms = |ms| before + Duration::millis(ms);
    // Interrupted after a stop, and then slow to return what has lain there.
    reactor.overslept |= overslept(Duration::millis(2_000), rest);
    reactor.note_poll(ms(2_000), ms(2_005), rest);
    assert_eq!(reactor.arrived, before);
    reactor.note_poll(ms(2_006), ms(2_011), rest);
    assert_eq!(reactor.arrived, ms(2_011), "it has waited, and nothing was late");
    // An interruption in time is none.
    reactor.overslept |= overslept(Duration::millis(60), rest);
    reactor.note_poll(ms(2_012), ms(2_017), rest);
    assert_eq!(reactor.arrived, ms(2_017));
    // A stop, or a long turn, between two polls: the second finds it at once, or a little later beside load.
    reactor.note_poll(ms(2_060), ms(2_065), rest);
    assert_eq!(reactor.arrived, ms(2_017));
}
