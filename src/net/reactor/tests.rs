use super::entry::{MAX_TOTAL_BYTES_PER_TURN, MIN_BYTES_PER_TURN};
use super::*;
use mio::net::UnixStream;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream as StdUnixStream;

/// Echoes its input, and panics at an `!`.
struct EchoOrPanic;

impl Connection for EchoOrPanic {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, link: &mut Link, _context: &mut Context) -> ControlFlow {
        let bytes = std::mem::take(&mut link.input);
        assert!(!bytes.contains(&b'!'), "the panic that the test provokes");
        link.enqueue(&bytes);
        ControlFlow::Continue
    }
    fn closed(&mut self, _link: &Link, _context: &mut Context) {}
}

/// A core without classes, and a reactor without connections.
fn core_and_reactor() -> (Core, Reactor) {
    let site = br#"{"fleetSize": 1, "index": 0, "classes": [], "bounds": {"mostTries": 1},
        "contract": {"coldFrom": 1, "coldNs": 1, "fallMultiple": 1, "fallNs": 1},
        "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;
    let core = Core::new(crate::settings::read_site(site).unwrap(), 1);
    let reactor = Reactor::new(SystemClock::new()).unwrap();
    (core, reactor)
}

/// A peer that does not read must not use unbounded memory.
#[test]
fn output_above_the_limit_closes_the_connection_that_adds_to_it() {
    let (mut core, mut reactor) = core_and_reactor();
    reactor.max_unwritten_bytes = 8 << 20;
    let (near, _far) = StdUnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let stream = Stream::Unix(UnixStream::from_std(near));
    let id = reactor
        .add(stream, Box::new(EchoOrPanic), true, BufferLimits { input: 100, output: usize::MAX }, &mut core)
        .unwrap();
    let mut put = |bytes: usize| {
        reactor.with_connection(id, &mut core, |_, link, _| {
            link.enqueue(&vec![0; bytes]);
            ControlFlow::Continue
        });
        (reactor.count(), reactor.unwritten_total > 0)
    };
    assert_eq!(put(7 << 20), (1, true));
    assert_eq!(put(7 << 20), (0, false));
}

#[test]
fn a_panic_closes_its_connection_and_no_other() {
    let (mut core, mut reactor) = core_and_reactor();
    let mut add = |core: &mut Core| {
        let (near, far) = StdUnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let stream = Stream::Unix(UnixStream::from_std(near));
        reactor
            .add(stream, Box::new(EchoOrPanic), true, BufferLimits { input: 100, output: 100 }, core)
            .unwrap();
        far
    };
    let (mut first, mut second) = (add(&mut core), add(&mut core));
    first.write_all(b"!").unwrap();
    second.write_all(b"x").unwrap();
    while core.counters().panics == 0 || reactor.count() > 1 {
        reactor.poll_once(None, &mut core).unwrap();
    }
    let mut byte = [0];
    assert_eq!(first.read(&mut byte).unwrap(), 0, "closed");
    let soon = Some(reactor.after(Duration::millis(100)));
    reactor.poll_once(soon, &mut core).unwrap();
    second.read_exact(&mut byte).unwrap();
    assert_eq!((byte, core.counters().panics), ([b'x'], 1));
}

/// Writes to another connection's far end when its deadline is reached.
struct WritesAtDeadline(Option<Timestamp>, StdUnixStream);

/// Closes at its deadline if no input has arrived before.
struct ClosesAtDeadline(Option<Timestamp>, Rc<RefCell<Vec<&'static str>>>);

impl Connection for WritesAtDeadline {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn on_timeout(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        self.0 = None;
        self.1.write_all(b"x").unwrap();
        ControlFlow::Continue
    }
    fn deadline(&self) -> Option<Timestamp> {
        self.0
    }
    fn closed(&mut self, _link: &Link, _context: &mut Context) {}
}

impl Connection for ClosesAtDeadline {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        self.0 = None;
        self.1.borrow_mut().push("read");
        ControlFlow::Continue
    }
    fn on_timeout(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Close
    }
    fn deadline(&self) -> Option<Timestamp> {
        self.0
    }
    fn closed(&mut self, _link: &Link, _context: &mut Context) {
        self.1.borrow_mut().push("closed");
    }
}

/// Input arrives on a connection after the poll and before the connection's deadline, in the same turn: it is read
/// first.
#[test]
fn input_that_arrived_before_a_deadline_is_read_first() {
    let (mut core, mut reactor) = core_and_reactor();
    let now = reactor.now();
    let log = Rc::new(RefCell::new(vec![]));
    let (near, far) = StdUnixStream::pair().unwrap();
    let (other, _far) = StdUnixStream::pair().unwrap();
    let writer: Box<dyn Connection> = Box::new(WritesAtDeadline(Some(now), far));
    let idle: Box<dyn Connection> = Box::new(ClosesAtDeadline(Some(now + Duration(1)), log.clone()));
    for (stream, connection) in [(other, writer), (near, idle)] {
        stream.set_nonblocking(true).unwrap();
        let stream = Stream::Unix(UnixStream::from_std(stream));
        reactor.add(stream, connection, true, BufferLimits { input: 100, output: 100 }, &mut core).unwrap();
    }
    reactor.poll_once(None, &mut core).unwrap();
    assert_eq!(*log.borrow(), ["read"]);
}

/// Records its input, and a `.` when it is closed.
struct InputRecorder(std::rc::Rc<std::cell::RefCell<Vec<u8>>>);

impl Connection for InputRecorder {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, link: &mut Link, _context: &mut Context) -> ControlFlow {
        self.0.borrow_mut().append(&mut link.input);
        ControlFlow::Continue
    }
    fn closed(&mut self, _link: &Link, _context: &mut Context) {
        self.0.borrow_mut().push(b'.');
    }
}

/// What a peer sent before it closed is read even if a failed write is the first sign of the close.
#[test]
fn input_is_read_after_a_failed_write() {
    let (mut core, mut reactor) = core_and_reactor();
    let (near, mut far) = StdUnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let stream = Stream::Unix(UnixStream::from_std(near));
    let received_bytes = std::rc::Rc::default();
    let listener = Box::new(InputRecorder(std::rc::Rc::clone(&received_bytes)));
    let id =
        reactor.add(stream, listener, true, BufferLimits { input: 100, output: 100 }, &mut core).unwrap();
    far.write_all(b"last word").unwrap();
    drop(far);
    let put = |_: &mut dyn Connection, link: &mut Link, _: &mut Context| {
        link.enqueue(b"into the void");
        ControlFlow::Continue
    };
    reactor.with_connection(id, &mut core, put);
    assert_eq!(received_bytes.borrow().as_slice(), b"last word.");
    assert_eq!(reactor.count(), 0);
}

/// Records the arrival time of each of its bytes.
struct ArrivalRecorder(Rc<RefCell<Vec<Timestamp>>>);

impl Connection for ArrivalRecorder {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, link: &mut Link, _context: &mut Context) -> ControlFlow {
        for unused in (0..link.input.len()).rev() {
            self.0.borrow_mut().push(link.arrival_time(unused));
        }
        link.input.clear();
        ControlFlow::Continue
    }
    fn closed(&mut self, _link: &Link, _context: &mut Context) {}
}

/// How far the recorded arrival time of a byte may be from the time at which it was written.
struct Tolerance {
    early: Duration,
    late: Duration,
}

/// Suspends the event loop before and after each byte is sent, and checks the recorded arrival times.
fn assert_arrival_times(stream: Stream, mut far: impl Write, tolerance: &Tolerance) {
    let (mut core, mut reactor) = core_and_reactor();
    let arrived = Rc::default();
    let connection = Box::new(ArrivalRecorder(Rc::clone(&arrived)));
    reactor.add(stream, connection, true, BufferLimits { input: 100, output: 100 }, &mut core).unwrap();
    for _ in 0..3 {
        reactor.poll_once(Some(reactor.now()), &mut core).unwrap();
        std::thread::sleep(SUSPENSION);
        let before = reactor.now();
        far.write_all(b"x").unwrap();
        let written = reactor.now();
        std::thread::sleep(SUSPENSION);
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

/// Longer than the interval between two polls of a running process.
const SUSPENSION: std::time::Duration = std::time::Duration::from_millis(150);
/// The kernel's timestamp is far more exact than this. It may come out too early by a pause of the process between its
/// reads of the two clocks.
const TIMESTAMP_TOLERANCE: Tolerance = Tolerance { early: Duration::millis(100), late: Duration::millis(2) };

/// The event loop is suspended between two polls, and the poll after it may take long on a busy machine.
#[test]
fn tcp_input_that_arrives_while_the_process_is_suspended_has_its_arrival_time() {
    let (near, far) = tcp_pair();
    assert_arrival_times(near, far, &TIMESTAMP_TOLERANCE);
}

/// Unix streams have no timestamps: input that may have arrived long ago counts from when the socket was last known to
/// be empty.
#[test]
fn unix_input_that_arrives_while_the_process_is_suspended_counts_from_when_the_socket_was_empty() {
    let (near, far) = StdUnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let near = Stream::Unix(UnixStream::from_std(near));
    assert_arrival_times(near, far, &Tolerance { early: Duration::millis(1_000), late: Duration(0) });
}

/// Reading is paused while a client does not read its answers: input that arrives meanwhile has its arrival time, not
/// the time at which reading was paused.
#[test]
fn input_that_arrives_while_reading_is_paused_has_its_arrival_time() {
    let (mut core, mut reactor) = core_and_reactor();
    let (near, mut far) = tcp_pair();
    let arrived = Rc::default();
    let connection = Box::new(ArrivalRecorder(Rc::clone(&arrived)));
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
    assert!(arrived.borrow().is_empty(), "reading is paused");
    let reader = std::thread::spawn(move || {
        far.read_exact(&mut vec![0; 16 << 20]).unwrap();
        far
    });
    while arrived.borrow().len() < written.len() {
        reactor.poll_once(None, &mut core).unwrap();
    }
    let (first, second) = (arrived.borrow()[0], arrived.borrow()[1]);
    assert!(first <= written[0] + TIMESTAMP_TOLERANCE.late, "{} ns late", (first - written[0]).0);
    assert!(second <= written[1] + TIMESTAMP_TOLERANCE.late, "{} ns late", (second - written[1]).0);
    assert!(second + TIMESTAMP_TOLERANCE.early >= written[1], "{} ns early", (written[1] - second).0);
    drop(reader.join().unwrap());
}

/// Counts its input and has an attempt that is never written.
struct Recipient {
    received: std::rc::Rc<std::cell::Cell<usize>>,
    has_attempt: bool,
}

impl Connection for Recipient {
    fn kind(&self) -> &'static str {
        "test"
    }

    fn opened(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, link: &mut Link, _context: &mut Context) -> ControlFlow {
        self.received.set(self.received.get() + link.input.len());
        link.input.clear();
        ControlFlow::Continue
    }
    fn closed(&mut self, _link: &Link, _context: &mut Context) {}
    fn next_attempt(&self, _link: &Link) -> Option<AttemptId> {
        self.has_attempt.then_some(AttemptId { request: crate::interface::RequestId(0), number: 0 })
    }
}

/// What many fast senders have written at once is not read in one turn: it would all be in memory as commands.
#[test]
fn a_turn_reads_a_bounded_number_of_bytes_from_all_connections() {
    const SENDERS: usize = 32;
    const BYTES_OF_EACH: usize = 64 << 10;
    let (mut core, mut reactor) = core_and_reactor();
    let received = std::rc::Rc::new(std::cell::Cell::new(0));
    let mut senders = Vec::new();
    for _ in 0..SENDERS {
        let (near, mut far) = StdUnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let recipient = Recipient { received: received.clone(), has_attempt: false };
        let stream = Stream::Unix(UnixStream::from_std(near));
        let limits = BufferLimits { input: usize::MAX, output: usize::MAX };
        reactor.add(stream, Box::new(recipient), true, limits, &mut core).unwrap();
        far.write_all(&vec![0; BYTES_OF_EACH]).unwrap();
        senders.push(far);
    }
    let (mut before, mut turns) = (0, 0);
    while received.get() < SENDERS * BYTES_OF_EACH {
        reactor.poll_once(None, &mut core).unwrap();
        let bytes = received.get() - before;
        // A connection is read to the end of a chunk, whatever is left of the total.
        let most = MAX_TOTAL_BYTES_PER_TURN + SENDERS * MIN_BYTES_PER_TURN;
        assert!(bytes <= most, "{bytes} bytes in one turn");
        before = received.get();
        turns += 1;
    }
    assert!(turns > 1, "{turns} turn");
}

/// Attempts that a turn had no time to write are written in the next, in a round over their connections, and no event is
/// waited for.
#[test]
fn attempts_left_over_are_written_in_a_round_without_waiting() {
    let (mut core, mut reactor) = core_and_reactor();
    let mut peers = Vec::new();
    let mut ids = Vec::new();
    for _ in 0..3 {
        let (near, far) = StdUnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let recipient = Recipient { received: std::rc::Rc::default(), has_attempt: true };
        let limits = BufferLimits { input: 100, output: 100 };
        let stream = Stream::Unix(UnixStream::from_std(near));
        ids.push(reactor.add(stream, Box::new(recipient), true, limits, &mut core).unwrap());
        peers.push(far);
    }
    let mut written = Vec::new();
    for _ in 0..6 {
        assert_eq!(reactor.poll_timeout(reactor.now(), None), Some(Duration(0)));
        reactor.poll_once(None, &mut core).unwrap();
        let (id, _) = reactor.next_attempt().unwrap();
        written.push(id);
        // The connection still has an attempt.
        reactor.with_connection(id, &mut core, |_, _, _| ControlFlow::Continue);
    }
    assert_eq!(written, [ids.clone(), ids].concat());
}
