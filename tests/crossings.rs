//! Pairs of events that meet at the wrong instant, in the order that a test gives them. `docs/acceptance.md` has
//! them all; those of the whole program are in `tests/instants.rs`.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use mintgate::backend::{ConnectionLimits, Endpoint, Pool};
use mintgate::client::{Client, OutgoingRequest, RequestHandle};
use mintgate::core::{Command, Core};
use mintgate::front::frames::{self, FrameConnection};
use mintgate::front::jsonrpc::RpcConnection;
use mintgate::net::{Reactor, Stream, SystemClock};
use mintgate::{Duration, FunctionId, ListKind, Member, State, Timestamp, WorkerId};
use rig::*;
use serde_json::json;
use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::Instant;

/// A scheduler with one worker that accepts and reads nothing.
struct Stuck {
    client: Client,
    listener: UnixListener,
    folder: Folder,
}

fn stuck(site: &serde_json::Value) -> Stuck {
    let folder = Folder::new();
    let path = folder.at("checker.sock");
    let listener = UnixListener::bind(&path).unwrap();
    let site = mintgate::settings::read_site(site.to_string().as_bytes()).unwrap();
    let mut client = Client::new(site, 7).unwrap();
    let worker = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
    client.workers(vec![(worker, Endpoint::Unix(path))]);
    Stuck { client, listener, folder }
}

/// One connection a worker, as where many schedulers share it.
fn one_connection() -> serde_json::Value {
    let mut site = rig::settings();
    site["fleetSize"] = json!(100);
    site
}

impl Stuck {
    fn call(&mut self, size: usize) -> RequestHandle {
        let deadline = self.client.now() + Duration::millis(600_000);
        let call = OutgoingRequest::new("practice-check", FunctionId(9), deadline, vec![7; size]);
        self.client.submit(call)
    }

    fn turn(&mut self) {
        let now = self.client.now();
        self.client.poll_once(now).unwrap();
    }

    /// Calls with bodies of this size until one finds no room in the system's buffer: that one.
    fn fill(&mut self, size: usize) -> RequestHandle {
        self.call(1);
        while self.client.counters().sent == 0 {
            self.turn();
        }
        loop {
            let sent = self.client.counters().sent;
            let call = self.call(size);
            if self.client.counters().sent == sent {
                return call;
            }
        }
    }

    /// What the worker finds when it reads again, and whether the connection has ended.
    fn read(&mut self, stream: &mut UnixStream) -> (Vec<String>, bool) {
        stream.set_nonblocking(true).unwrap();
        let (mut all, mut chunk, mut ended, mut idle) = (Vec::new(), vec![0; 1 << 16], false, 0);
        while !ended && idle < 3 {
            self.turn();
            match stream.read(&mut chunk) {
                Ok(0) => ended = true,
                Ok(n) => {
                    all.extend_from_slice(&chunk[..n]);
                    idle = 0;
                }
                Err(_) => idle += 1,
            }
        }
        let whole = all.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        let lines = String::from_utf8(all[..whole].to_vec()).unwrap();
        (lines.lines().map(str::to_owned).collect(), ended)
    }
}

/// How many calls stand among lines.
fn calls(lines: &[String]) -> u64 {
    lines.iter().filter(|line| line.contains("\"method\":\"call\"")).count() as u64
}

/// Bodies whose lines the system takes whole or not at all, and in part.
const SIZES: [usize; 2] = [40_000, 300_000];

/// A call that waits for its turn in an output buffer when its client goes: the worker never has it whole, however
/// late it reads on.
#[test]
fn a_call_in_the_output_buffer_goes_with_its_client() {
    for size in SIZES {
        let mut stuck = stuck(&one_connection());
        let call = stuck.fill(size);
        let (mut stream, _) = stuck.listener.accept().unwrap();
        let sent = stuck.client.counters().sent;
        stuck.client.cancel(call);
        let (lines, _) = stuck.read(&mut stream);
        assert_eq!(calls(&lines), sent, "{size}: no attempt begins after its client has gone");
        // The next one finds its way, on this connection or on a new one.
        stuck.call(1);
        while stuck.client.counters().sent == sent {
            stuck.turn();
        }
        drop(stuck.folder);
    }
}

/// The same where the worker leaves the list while the call waits in the buffer. Of one whose first byte is out the
/// rest may follow: a send counts from its first byte.
#[test]
fn a_call_in_the_output_buffer_is_not_written_to_a_worker_that_has_left() {
    let mut stuck = stuck(&one_connection());
    stuck.fill(SIZES[0]);
    let (mut stream, _) = stuck.listener.accept().unwrap();
    let sent = stuck.client.counters().sent;
    stuck.client.workers(vec![]);
    let (lines, _) = stuck.read(&mut stream);
    assert_eq!(calls(&lines), sent);
    drop(stuck.folder);
}

/// The scheduler's parts turned by hand, so that a test says what is read, and when what was decided is written.
struct Parts {
    core: Core,
    reactor: Reactor,
    pool: Pool,
}

impl Parts {
    fn new(worker: &Worker) -> Parts {
        let site = mintgate::settings::read_site(rig::settings().to_string().as_bytes()).unwrap();
        let mut pool = Pool::new(ConnectionLimits::of(&site), site.connect_limit, 64);
        let member = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
        pool.set_endpoint(member.worker, Endpoint::Tcp(worker.address()), None);
        let mut reactor = Reactor::new(SystemClock::new()).unwrap();
        reactor.ready = true;
        let mut core = Core::new(site, 7);
        core.members(reactor.now(), ListKind::Full, vec![member]);
        Parts { core, reactor, pool }
    }

    /// A client's end, and its connection's number.
    fn client(&mut self) -> (UnixStream, u64) {
        let now = self.reactor.now();
        self.client_since(now)
    }

    /// One that has been there since then.
    fn client_since(&mut self, since: Timestamp) -> (UnixStream, u64) {
        let (near, far) = UnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let stream = Stream::Unix(mio::net::UnixStream::from_std(near));
        let connection = Box::new(FrameConnection::new(since));
        let id = self.reactor.add(stream, connection, true, frames::BUFFER_LIMITS, &mut self.core);
        (far, id.unwrap())
    }

    /// A client of the second front.
    fn rpc_client(&mut self) -> UnixStream {
        let (near, far) = UnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let connection = Box::new(RpcConnection::new(self.reactor.now(), 64 << 10));
        let stream = Stream::Unix(mio::net::UnixStream::from_std(near));
        let limits = RpcConnection::buffer_limits(64 << 10);
        self.reactor.add(stream, connection, true, limits, &mut self.core).unwrap();
        far
    }

    /// One turn, which finds something.
    fn turn(&mut self) {
        self.reactor.poll_once(None, &mut self.core).unwrap();
    }

    /// Reads what has come, until so many calls have been taken.
    fn take(&mut self, calls: u64) {
        while self.core.counters().taken < calls {
            self.turn();
        }
    }

    /// Carries out what has been decided, as the daemon does.
    fn carry_out(&mut self) {
        loop {
            match self.core.next_command() {
                Some(Command::Answer { owner, answer }) => {
                    self.reactor.with_connection(
                        owner.connection,
                        &mut self.core,
                        |connection, link, hub| connection.answer(owner.stream, &answer, link, hub),
                    );
                }
                Some(command) => self.pool.execute(command, &mut self.reactor, &mut self.core),
                None if self.pool.write_next_attempt(&mut self.reactor, &mut self.core) => {}
                None => return,
            }
        }
    }

    /// Turns until so many calls have been served.
    fn serve(&mut self, calls: u64) {
        while self.core.counters().served < calls {
            let soon = self.reactor.after(Duration::millis(20));
            self.reactor.poll_once(Some(soon), &mut self.core).unwrap();
            let now = self.reactor.now();
            self.core.on_timeout(now);
            self.carry_out();
        }
    }
}

fn plain(stream: u32) -> Vec<u8> {
    frame(0, stream, &call("practice-check", &format!("{stream:016x}"), 60_000, b"x"))
}

/// The second call, of a client that has gone, is not written, though what was decided is carried out.
fn nothing_went_on(parts: &mut Parts, lines: &Lines, close: bool) {
    parts.carry_out();
    assert_eq!(parts.core.counters().withdrawn, 1, "close {close}");
    // The next call shows that the worker has read all that came before it.
    let (mut other, _) = parts.client();
    other.write_all(&plain(3)).unwrap();
    parts.serve(2);
    assert_eq!(tally(lines)["go"], 2, "close {close}");
}

/// The client closes, or calls its request off, after the loop has read the request and before the attempt is written,
/// however long that takes: nothing is written.
#[test]
fn no_attempt_is_written_whose_client_has_gone_unread() {
    for close in [true, false] {
        let worker = Worker::over_tcp();
        let mut parts = Parts::new(&worker);
        let lines = worker.serve(echo);
        let (mut client, _) = parts.client();
        client.write_all(&plain(1)).unwrap();
        parts.serve(1);
        let taken = parts.core.counters().taken;
        client.write_all(&plain(2)).unwrap();
        parts.take(taken + 1);
        if close {
            drop(client);
        } else {
            client.write_all(&frame(2, 2, &[])).unwrap();
        }
        nothing_went_on(&mut parts, &lines, close);
    }
}

/// Descriptors run out while a request lies unread on the connection that has been idle longest: another makes room.
#[test]
fn a_connection_with_an_unread_request_makes_no_room() {
    let worker = Worker::over_tcp();
    let mut parts = Parts::new(&worker);
    worker.serve(echo);
    let (mut first, asked) = parts.client();
    let (_second, idle) = parts.client();
    first.write_all(&plain(1)).unwrap();
    assert!(parts.reactor.close_longest_idle(&mut parts.core));
    assert!(!parts.reactor.ids().contains(&idle), "the idle one goes");
    assert!(parts.reactor.ids().contains(&asked));
    assert!(!parts.reactor.close_longest_idle(&mut parts.core), "there is no other");
    parts.serve(1);
}

/// A frame that has begun keeps its connection from being closed as idle, and from making room where another can.
#[test]
fn half_a_frame_is_not_idle() {
    let worker = Worker::over_tcp();
    let mut parts = Parts::new(&worker);
    worker.serve(echo);
    // Its time is up as the first bytes come.
    let since = parts.reactor.now() - frames::FIRST_FRAME_TIMEOUT;
    let (mut slow, half) = parts.client_since(since);
    let (whole, (_other, idle)) = (plain(1), parts.client());
    slow.write_all(&whole[..20]).unwrap();
    parts.turn();
    assert!(parts.reactor.ids().contains(&half), "not idle");
    assert!(parts.reactor.close_longest_idle(&mut parts.core));
    assert!(!parts.reactor.ids().contains(&idle), "the idle one goes first, though it came later");
    slow.write_all(&whole[20..]).unwrap();
    parts.serve(1);
}

/// A client that reads nothing ends its half while more waits for it than is read ahead: it has gone all the same, and
/// what it has open is called off.
#[test]
fn a_close_is_heard_though_input_is_held_back() {
    let worker = Worker::over_tcp();
    let mut parts = Parts::new(&worker);
    let (mut client, id) = parts.client();
    let calls = 31;
    for stream in 1..=calls {
        let reference = format!("{stream:016x}");
        client
            .write_all(&frame(0, stream, &call("practice-check", &reference, 60_000, &[7; 16_000])))
            .unwrap();
        parts.take(u64::from(stream));
        parts.carry_out();
    }
    // All but one are answered, with more than the system and the connection take.
    let body = "A".repeat(40_000);
    let mut gone = 0;
    while gone < calls - 1 {
        let soon = parts.reactor.after(Duration::millis(5));
        parts.reactor.poll_once(Some(soon), &mut parts.core).unwrap();
        let now = parts.reactor.now();
        parts.core.on_timeout(now);
        parts.carry_out();
        while gone < calls - 1
            && let Some(mut heard) = worker.poll()
        {
            if heard.word() == "go" {
                heard.answer("200", &body);
                gone += 1;
            }
        }
    }
    parts.serve(u64::from(calls) - 1);
    client.shutdown(std::net::Shutdown::Write).unwrap();
    let start = Instant::now();
    while parts.reactor.ids().contains(&id) {
        assert!(start.elapsed() < LONG, "the close is not heard");
        let soon = parts.reactor.after(Duration::millis(5));
        parts.reactor.poll_once(Some(soon), &mut parts.core).unwrap();
        assert!(parts.core.counters().withdrawn == 0 || !parts.reactor.ids().contains(&id));
        assert!(parts.core.outstanding() <= 1);
    }
    assert_eq!((parts.core.counters().withdrawn, parts.core.outstanding()), (1, 0));
}

/// The same on the second front.
#[test]
fn no_attempt_is_written_whose_caller_has_gone_unread() {
    for close in [true, false] {
        let worker = Worker::over_tcp();
        let mut parts = Parts::new(&worker);
        let lines = worker.serve(echo);
        let mut client = parts.rpc_client();
        let say = |client: &mut UnixStream, id: u32| {
            let call = rpc_call(&json!(id), "practice-check", &format!("{id:016x}"), 60_000, "eA==");
            client.write_all(format!("{call}\n").as_bytes()).unwrap();
        };
        parts.reactor.active = true;
        say(&mut client, 1);
        parts.serve(1);
        let taken = parts.core.counters().taken;
        say(&mut client, 2);
        parts.take(taken + 1);
        if close {
            drop(client);
        } else {
            let cancel = json!({"jsonrpc": "2.0", "method": "cancel", "params": {"id": 2}});
            client.write_all(format!("{cancel}\n").as_bytes()).unwrap();
        }
        nothing_went_on(&mut parts, &lines, close);
    }
}

/// A connection to a worker comes up after the call for which it was dialled has been called off, or its worker has been
/// told to drain, has gone or is out by hand: nothing is written on it.
#[test]
fn a_dial_that_comes_up_too_late_carries_nothing() {
    for case in ["called off", "closed", "draining", "gone", "out by hand"] {
        let worker = Worker::over_tcp();
        let mut parts = Parts::new(&worker);
        let (mut client, _) = parts.client();
        client.write_all(&plain(1)).unwrap();
        parts.take(1);
        parts.carry_out();
        assert_eq!(
            (parts.core.counters().opened, parts.core.counters().sent),
            (0, 0),
            "{case}: it is being dialled"
        );
        let now = parts.reactor.now();
        let mut member = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
        match case {
            "called off" => client.write_all(&frame(2, 1, &[])).unwrap(),
            "closed" => client.shutdown(std::net::Shutdown::Both).unwrap(),
            "out by hand" => drop(parts.core.cordon(now, WorkerId(1))),
            other => {
                member.state = if other == "gone" { State::Gone } else { State::Draining };
                parts.core.members(now, ListKind::Delta, vec![member]);
            }
        }
        while parts.core.counters().opened == 0 {
            parts.turn();
        }
        parts.carry_out();
        assert_eq!(parts.core.counters().sent, 0, "{case}");
        assert!(worker.quiet(), "{case}");
    }
}

/// In the plug-in a call is called off while its connection is being dialled.
#[test]
fn a_call_of_the_plug_in_is_called_off_before_its_dial_comes_up() {
    let mut stuck = stuck(&rig::settings());
    let call = stuck.call(10);
    assert_eq!(stuck.client.counters().sent, 0, "it is being dialled");
    stuck.client.cancel(call);
    stuck.call(10);
    while stuck.client.counters().sent == 0 {
        stuck.turn();
    }
    let (mut stream, _) = stuck.listener.accept().unwrap();
    let (lines, _) = stuck.read(&mut stream);
    assert_eq!(calls(&lines), 1, "the second alone");
}
