use super::*;
use crate::interface::RequestId;
use crate::net::{Connection, Context, ControlFlow, Link, Stream, SystemClock};

/// A hundred schedulers with several connections each cost a worker more than the collisions of their requests do.
#[test]
fn connections_to_a_worker_are_divided_among_all_schedulers() {
    let shares = [0, 1, 3, 6, 48, 100, u32::MAX].map(Pool::connections_per_scheduler);
    assert_eq!(shares, [16, 16, 16, 8, 1, 1, 1]);
}

/// A connection that is never idle and has one attempt open.
struct BusyConnection {
    attempt: AttemptId,
}

impl Connection for BusyConnection {
    fn kind(&self) -> &'static str {
        "test"
    }
    fn opened(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn received(&mut self, _link: &mut Link, _context: &mut Context) -> ControlFlow {
        ControlFlow::Continue
    }
    fn closed(&mut self, _link: &Link, _context: &mut Context) {}
    fn has_attempt(&self, attempt: AttemptId) -> bool {
        attempt == self.attempt
    }
}

/// Ended attempts on connections that are never idle are forgotten, and not looked through at each further attempt.
#[test]
fn ended_attempts_on_busy_connections_are_forgotten() {
    let site = br#"{"fleetSize": 1, "index": 0, "classes": [], "bounds": {"mostTries": 1},
        "contract": {"coldFrom": 1, "coldNs": 1, "fallMultiple": 1, "fallNs": 1},
        "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;
    let site = crate::settings::read_site(site).unwrap();
    let mut pool = Pool::new(ConnectionLimits::of(&site), Duration::millis(100), 16);
    let mut core = Core::new(site, 1);
    let mut reactor = Reactor::new(SystemClock::new()).unwrap();
    let (near, _far) = std::os::unix::net::UnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let stream = Stream::Unix(mio::net::UnixStream::from_std(near));
    let open = AttemptId { request: RequestId(0), number: 0 };
    let limits = crate::net::BufferLimits { input: 100, output: 100 };
    let connection =
        reactor.add(stream, Box::new(BusyConnection { attempt: open }), true, limits, &mut core).unwrap();
    let mut sweeps = 0;
    for number in 0..100_000 {
        let before = pool.attempt_connections.len();
        pool.forget_ended_attempts(&reactor);
        sweeps += u32::from(pool.attempt_connections.len() < before);
        pool.attempt_connections.insert(AttemptId { request: RequestId(number), number: 0 }, connection);
    }
    assert!(pool.attempt_connections.contains_key(&open));
    assert!(pool.attempt_connections.len() <= MIN_FORGOTTEN_ATTEMPTS, "{}", pool.attempt_connections.len());
    assert!((1..20).contains(&sweeps), "{sweeps} sweeps");
}

#[test]
fn a_write_period_begins_with_the_first_attempt_and_ends() {
    let reactor = Reactor::new(SystemClock::new()).unwrap();
    let mut period = WritePeriod::default();
    assert!(!period.is_over(&reactor));
    std::thread::sleep(std::time::Duration::from_nanos(MAX_WRITE_TIME.0));
    assert!(period.is_over(&reactor));
}

/// Whatever the limit on descriptors, the IDs reserved on all connections to workers are bounded.
#[test]
fn reserved_ids_are_divided_among_the_connections() {
    let shares = [16, 96, 224, 992, 100_000].map(Pool::ended_rids_per_connection);
    assert_eq!(shares, [1024, 1024, 439, 128, 128]);
}
