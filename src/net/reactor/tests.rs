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
        let bytes = std::mem::take(&mut link.input);
        assert!(!bytes.contains(&b'!'), "as the test wants");
        link.enqueue(&bytes);
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
    reactor.max_unwritten_bytes = 8 << 20;
    let (near, _far) = StdUnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let stream = Stream::Unix(UnixStream::from_std(near));
    let id = reactor
        .add(stream, Box::new(Fragile), true, BufferLimits { input: 100, output: usize::MAX }, &mut core)
        .unwrap();
    let mut put = |bytes: usize| {
        reactor.with_connection(id, &mut core, |_, link, _| {
            link.enqueue(&vec![0; bytes]);
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
        reactor.add(stream, Box::new(Fragile), true, BufferLimits { input: 100, output: 100 }, core).unwrap();
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
        reactor.add(stream, connection, true, BufferLimits { input: 100, output: 100 }, &mut core).unwrap();
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
        self.0.borrow_mut().append(&mut link.input);
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
        reactor.add(stream, listener, true, BufferLimits { input: 100, output: 100 }, &mut core).unwrap();
    far.write_all(b"last word").unwrap();
    drop(far);
    let put = |_: &mut dyn Connection, link: &mut Link, _: &mut Context| {
        link.enqueue(b"into the void");
        ControlFlow::Continue
    };
    reactor.with_connection(id, &mut core, put);
    assert_eq!(heard.borrow().as_slice(), b"last word.");
    assert_eq!(reactor.count(), 0);
}

/// Notes when each of its bytes came.
struct Clocked(Rc<RefCell<Vec<Timestamp>>>);

impl Connection for Clocked {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _hub: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, link: &mut Link, _hub: &mut Context) -> ControlFlow {
        for unused in (0..link.input.len()).rev() {
            self.0.borrow_mut().push(link.arrived(unused));
        }
        link.input.clear();
        ControlFlow::Continue
    }
    fn closed(&mut self, _link: &Link, _hub: &mut Context) {}
}

/// How far the time that counts may lie from that at which a byte was written.
struct Tolerance {
    early: Duration,
    late: Duration,
}

/// The process stands still before and after a byte comes.
fn arrives_in_time(stream: Stream, mut far: impl Write, tolerance: &Tolerance) {
    let (mut core, mut reactor) = parts();
    let arrived = Rc::default();
    let connection = Box::new(Clocked(Rc::clone(&arrived)));
    reactor.add(stream, connection, true, BufferLimits { input: 100, output: 100 }, &mut core).unwrap();
    for _ in 0..3 {
        reactor.poll_once(Some(reactor.now()), &mut core).unwrap();
        std::thread::sleep(STOP);
        let before = reactor.now();
        far.write_all(b"x").unwrap();
        let written = reactor.now();
        std::thread::sleep(STOP);
        while arrived.borrow().is_empty() {
            reactor.poll_once(None, &mut core).unwrap();
        }
        let [at] = arrived.borrow_mut().drain(..).collect::<Vec<_>>()[..] else { panic!("one byte") };
        assert!(at <= written + tolerance.late, "{} ns late", (at - written).0);
        assert!(at + tolerance.early >= before, "{} ns early", (before - at).0);
    }
}

fn tcp_pair() -> (Stream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let far = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    far.set_nodelay(true).unwrap();
    let (near, _) = listener.accept().unwrap();
    near.set_nonblocking(true).unwrap();
    (Stream::Tcp(mio::net::TcpStream::from_std(near)), far)
}

/// Longer than any two looks of a process that runs are apart.
const STOP: std::time::Duration = std::time::Duration::from_millis(150);
/// The kernel's time of TCP bytes is right to far less. Early it may be by a pause of the process between its looks at two
/// clocks.
const STAMPED: Tolerance = Tolerance { early: Duration::millis(100), late: Duration::millis(2) };

/// A stop between two polls, however long the one after it takes beside other processes.
#[test]
fn what_came_while_the_process_stood_still_counts_from_when_it_came() {
    let (near, far) = tcp_pair();
    arrives_in_time(near, far, &STAMPED);
}

/// Unix streams tell no times: what may have come long ago counts from the last look.
#[test]
fn what_came_over_unix_while_the_process_stood_still_counts_from_the_last_look() {
    let (near, far) = StdUnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let near = Stream::Unix(UnixStream::from_std(near));
    arrives_in_time(near, far, &Tolerance { early: Duration::millis(1_000), late: Duration(0) });
}

/// Input is held back while its client reads no answers: what comes meanwhile counts from when it came, not from when reading
/// stopped.
#[test]
fn input_that_was_held_back_counts_from_when_it_came() {
    let (mut core, mut reactor) = parts();
    let (near, mut far) = tcp_pair();
    let arrived = Rc::default();
    let connection = Box::new(Clocked(Rc::clone(&arrived)));
    let limits = BufferLimits { input: 100, output: 1000 };
    let id = reactor.add(near, connection, true, limits, &mut core).unwrap();
    reactor.with_connection(id, &mut core, |_, link, _| {
        link.enqueue(&vec![0; 16 << 20]);
        ControlFlow::Continue
    });
    let mut written = vec![];
    for byte in [b"x", b"y"] {
        far.write_all(byte).unwrap();
        written.push(reactor.now());
        let until = reactor.after(Duration::millis(300));
        while reactor.now() < until {
            reactor.poll_once(Some(until), &mut core).unwrap();
        }
    }
    assert!(arrived.borrow().is_empty(), "it is held back");
    let reader = std::thread::spawn(move || {
        far.read_exact(&mut vec![0; 16 << 20]).unwrap();
        far
    });
    while arrived.borrow().len() < written.len() {
        reactor.poll_once(None, &mut core).unwrap();
    }
    let (first, second) = (arrived.borrow()[0], arrived.borrow()[1]);
    assert!(first <= written[0] + STAMPED.late, "{} ns late", (first - written[0]).0);
    assert!(second <= written[1] + STAMPED.late, "{} ns late", (second - written[1]).0);
    assert!(second + STAMPED.early >= written[1], "{} ns early", (written[1] - second).0);
    drop(reader.join().unwrap());
}
