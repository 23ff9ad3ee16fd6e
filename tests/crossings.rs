//! Races between two events, run in an order that the test sets. `docs/acceptance.md` lists them all; those of the
//! complete program are tested in `tests/instants.rs`.

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

/// A client with an embedded scheduler and one worker, which accepts connections but doesn't read from them.
struct StalledSetup {
    client: Client,
    listener: UnixListener,
    folder: Folder,
}

fn stalled_setup(site: &serde_json::Value) -> StalledSetup {
    let folder = Folder::new();
    let path = folder.at("checker.sock");
    let listener = UnixListener::bind(&path).unwrap();
    let site = mintgate::settings::read_site(site.to_string().as_bytes()).unwrap();
    let mut client = Client::new(site, 7).unwrap();
    let worker = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
    client.workers(vec![(worker, Endpoint::Unix(path))]);
    StalledSetup { client, listener, folder }
}

/// Settings with one connection per worker, as with many schedulers.
fn one_connection() -> serde_json::Value {
    let mut site = rig::settings();
    site["fleetSize"] = json!(100);
    site
}

impl StalledSetup {
    fn call(&mut self, size: usize) -> RequestHandle {
        let deadline = self.client.now() + Duration::millis(600_000);
        let call = OutgoingRequest::new("practice-check", FunctionId(9), deadline, vec![7; size]);
        self.client.submit(call)
    }

    fn poll(&mut self) {
        let now = self.client.now();
        self.client.poll_once(now).unwrap();
    }

    /// Submits calls with bodies of this size until one does not fit into the socket buffer, and returns that one.
    fn fill(&mut self, size: usize) -> RequestHandle {
        self.call(1);
        while self.client.counters().sent == 0 {
            self.poll();
        }
        loop {
            let sent = self.client.counters().sent;
            let call = self.call(size);
            if self.client.counters().sent == sent {
                return call;
            }
        }
    }

    /// Reads at the worker's end until nothing more arrives. Returns the complete lines, and whether the connection was
    /// closed.
    fn read(&mut self, stream: &mut UnixStream) -> (Vec<String>, bool) {
        stream.set_nonblocking(true).unwrap();
        let (mut all, mut chunk, mut ended, mut idle) = (Vec::new(), vec![0; 1 << 16], false, 0);
        while !ended && idle < 3 {
            self.poll();
            match stream.read(&mut chunk) {
                Ok(0) => ended = true,
                Ok(n) => {
                    all.extend_from_slice(&chunk[..n]);
                    idle = 0;
                }
                Err(_) => idle += 1,
            }
        }
        let complete = all.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        let lines = String::from_utf8(all[..complete].to_vec()).unwrap();
        (lines.lines().map(str::to_owned).collect(), ended)
    }
}

/// Number of calls among the lines.
fn calls(lines: &[String]) -> u64 {
    lines.iter().filter(|line| line.contains("\"method\":\"call\"")).count() as u64
}

/// Body sizes whose lines the system takes entirely or not at all, and in part.
const BODY_SIZES: [usize; 2] = [40_000, 300_000];

/// A client cancels while its call is in the output buffer: the worker never gets the complete call, however late it
/// reads.
#[test]
fn a_call_in_the_output_buffer_is_discarded_when_its_client_cancels() {
    for size in BODY_SIZES {
        let mut setup = stalled_setup(&one_connection());
        let call = setup.fill(size);
        let (mut stream, _) = setup.listener.accept().unwrap();
        let sent = setup.client.counters().sent;
        setup.client.cancel(call);
        let (lines, _) = setup.read(&mut stream);
        assert_eq!(calls(&lines), sent, "{size}: no attempt starts after its client has cancelled");
        // The next call is sent, on this connection or on a new one.
        setup.call(1);
        while setup.client.counters().sent == sent {
            setup.poll();
        }
        drop(setup.folder);
    }
}

/// The worker leaves the list while the call is in the output buffer: the call is not written. The rest of a call may
/// follow if its first byte has been written, because that counts as sent.
#[test]
fn a_call_in_the_output_buffer_is_not_written_to_a_worker_that_has_left() {
    let mut setup = stalled_setup(&one_connection());
    setup.fill(BODY_SIZES[0]);
    let (mut stream, _) = setup.listener.accept().unwrap();
    let sent = setup.client.counters().sent;
    setup.client.workers(vec![]);
    let (lines, _) = setup.read(&mut stream);
    assert_eq!(calls(&lines), sent);
    drop(setup.folder);
}

/// A core, a reactor and a pool that the test steps, so that it decides what is read and when commands are executed.
struct SteppedScheduler {
    core: Core,
    reactor: Reactor,
    pool: Pool,
}

impl SteppedScheduler {
    fn new(worker: &Worker) -> SteppedScheduler {
        let site = mintgate::settings::read_site(rig::settings().to_string().as_bytes()).unwrap();
        let mut pool = Pool::new(ConnectionLimits::of(&site), site.connect_limit, 64);
        let member = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
        pool.set_endpoint(member.worker, Endpoint::Tcp(worker.address()), None);
        let mut reactor = Reactor::new(SystemClock::new()).unwrap();
        reactor.ready = true;
        let mut core = Core::new(site, 7);
        core.members(reactor.now(), ListKind::Full, vec![member]);
        SteppedScheduler { core, reactor, pool }
    }

    /// Adds a client; returns its end of the connection and the connection's ID.
    fn client(&mut self) -> (UnixStream, u64) {
        let now = self.reactor.now();
        self.client_since(now)
    }

    /// Adds a client that has been connected since then.
    fn client_since(&mut self, since: Timestamp) -> (UnixStream, u64) {
        let (near, far) = UnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let stream = Stream::Unix(mio::net::UnixStream::from_std(near));
        let connection = Box::new(FrameConnection::new(since));
        let id = self.reactor.add(stream, connection, true, frames::BUFFER_LIMITS, &mut self.core);
        (far, id.unwrap())
    }

    /// Adds a client of the second front.
    fn rpc_client(&mut self) -> UnixStream {
        let (near, far) = UnixStream::pair().unwrap();
        near.set_nonblocking(true).unwrap();
        let connection = Box::new(RpcConnection::new(self.reactor.now(), 64 << 10));
        let stream = Stream::Unix(mio::net::UnixStream::from_std(near));
        let limits = RpcConnection::buffer_limits(64 << 10);
        self.reactor.add(stream, connection, true, limits, &mut self.core).unwrap();
        far
    }

    /// Waits for an event and handles it.
    fn poll(&mut self) {
        self.reactor.poll_once(None, &mut self.core).unwrap();
    }

    /// Reads input until this many calls have been accepted.
    fn read_calls(&mut self, calls: u64) {
        while self.core.counters().taken < calls {
            self.poll();
        }
    }

    /// Executes the core's commands, as the daemon does.
    fn execute_commands(&mut self) {
        loop {
            match self.core.next_command() {
                Some(Command::Answer { owner, answer }) => {
                    self.reactor.with_connection(
                        owner.connection,
                        &mut self.core,
                        |connection, link, context| connection.answer(owner.stream, &answer, link, context),
                    );
                }
                Some(command) => self.pool.execute(command, &mut self.reactor, &mut self.core),
                None if self.pool.write_next_attempt(&mut self.reactor, &mut self.core) => {}
                None => return,
            }
        }
    }

    /// Runs until this many calls have been served.
    fn serve(&mut self, calls: u64) {
        while self.core.counters().served < calls {
            let soon = self.reactor.after(Duration::millis(20));
            self.reactor.poll_once(Some(soon), &mut self.core).unwrap();
            let now = self.reactor.now();
            self.core.on_timeout(now);
            self.execute_commands();
        }
    }
}

fn plain_call(stream: u32) -> Vec<u8> {
    frame(0, stream, &call("practice-check", &format!("{stream:016x}"), 60_000, b"x"))
}

/// Executes the core's commands, and checks that the second call, whose client has gone, is not written.
fn assert_second_call_not_written(scheduler: &mut SteppedScheduler, lines: &Lines, close: bool) {
    scheduler.execute_commands();
    assert_eq!(scheduler.core.counters().withdrawn, 1, "close {close}");
    // Once the next call is served, the worker has read everything sent before it.
    let (mut other, _) = scheduler.client();
    other.write_all(&plain_call(3)).unwrap();
    scheduler.serve(2);
    assert_eq!(count_by_verb(lines)["go"], 2, "close {close}");
}

/// A client closes or cancels after its request was read and before the attempt is written: the attempt is not written,
/// however late that is.
#[test]
fn no_attempt_is_written_after_its_client_closed_or_cancelled_unread() {
    for close in [true, false] {
        let worker = Worker::over_tcp();
        let mut scheduler = SteppedScheduler::new(&worker);
        let lines = worker.serve(echo);
        let (mut client, _) = scheduler.client();
        client.write_all(&plain_call(1)).unwrap();
        scheduler.serve(1);
        let taken = scheduler.core.counters().taken;
        client.write_all(&plain_call(2)).unwrap();
        scheduler.read_calls(taken + 1);
        if close {
            drop(client);
        } else {
            client.write_all(&frame(2, 2, &[])).unwrap();
        }
        assert_second_call_not_written(&mut scheduler, &lines, close);
    }
}

/// Descriptors run out while there is an unread request on the connection that has been idle longest: another is closed.
#[test]
fn a_connection_with_an_unread_request_is_not_closed_as_idle() {
    let worker = Worker::over_tcp();
    let mut scheduler = SteppedScheduler::new(&worker);
    worker.serve(echo);
    let (mut first, unread) = scheduler.client();
    let (_second, idle) = scheduler.client();
    first.write_all(&plain_call(1)).unwrap();
    assert!(scheduler.reactor.close_longest_idle(&mut scheduler.core));
    assert!(!scheduler.reactor.ids().contains(&idle), "the idle connection is closed");
    assert!(scheduler.reactor.ids().contains(&unread));
    assert!(!scheduler.reactor.close_longest_idle(&mut scheduler.core), "no other is idle");
    scheduler.serve(1);
}

/// A connection with an incomplete frame is not closed as idle, and not to free a descriptor while another is idle.
#[test]
fn a_connection_with_an_incomplete_frame_is_not_idle() {
    let worker = Worker::over_tcp();
    let mut scheduler = SteppedScheduler::new(&worker);
    worker.serve(echo);
    // Its idle timeout expires as the first bytes arrive.
    let since = scheduler.reactor.now() - frames::FIRST_FRAME_TIMEOUT;
    let (mut slow, partial) = scheduler.client_since(since);
    let (complete, (_other, idle)) = (plain_call(1), scheduler.client());
    slow.write_all(&complete[..20]).unwrap();
    scheduler.poll();
    assert!(scheduler.reactor.ids().contains(&partial), "not idle");
    assert!(scheduler.reactor.close_longest_idle(&mut scheduler.core));
    assert!(
        !scheduler.reactor.ids().contains(&idle),
        "the idle connection is closed first, though it is newer"
    );
    slow.write_all(&complete[20..]).unwrap();
    scheduler.serve(1);
}

/// A client that does not read closes its half while reading from it is paused by its unread output: the close is
/// noticed and its open request is withdrawn.
#[test]
fn a_close_is_noticed_while_reading_is_paused() {
    let worker = Worker::over_tcp();
    let mut scheduler = SteppedScheduler::new(&worker);
    let (mut client, id) = scheduler.client();
    let calls = 31;
    for stream in 1..=calls {
        let reference = format!("{stream:016x}");
        client
            .write_all(&frame(0, stream, &call("practice-check", &reference, 60_000, &[7; 16_000])))
            .unwrap();
        scheduler.read_calls(u64::from(stream));
        scheduler.execute_commands();
    }
    // All calls but one are answered, with more output than the socket and the connection's buffer hold.
    let body = "A".repeat(40_000);
    let mut answered = 0;
    while answered < calls - 1 {
        let soon = scheduler.reactor.after(Duration::millis(5));
        scheduler.reactor.poll_once(Some(soon), &mut scheduler.core).unwrap();
        let now = scheduler.reactor.now();
        scheduler.core.on_timeout(now);
        scheduler.execute_commands();
        while answered < calls - 1
            && let Some(mut command) = worker.poll()
        {
            if command.verb() == "go" {
                command.answer("200", &body);
                answered += 1;
            }
        }
    }
    scheduler.serve(u64::from(calls) - 1);
    client.shutdown(std::net::Shutdown::Write).unwrap();
    let start = Instant::now();
    while scheduler.reactor.ids().contains(&id) {
        assert!(start.elapsed() < LONG, "the close is not noticed");
        let soon = scheduler.reactor.after(Duration::millis(5));
        scheduler.reactor.poll_once(Some(soon), &mut scheduler.core).unwrap();
        assert!(scheduler.core.counters().withdrawn == 0 || !scheduler.reactor.ids().contains(&id));
        assert!(scheduler.core.outstanding() <= 1);
    }
    assert_eq!((scheduler.core.counters().withdrawn, scheduler.core.outstanding()), (1, 0));
}

/// The same race on the second front.
#[test]
fn no_attempt_is_written_after_its_json_rpc_client_closed_or_cancelled_unread() {
    for close in [true, false] {
        let worker = Worker::over_tcp();
        let mut scheduler = SteppedScheduler::new(&worker);
        let lines = worker.serve(echo);
        let mut client = scheduler.rpc_client();
        let send_call = |client: &mut UnixStream, id: u32| {
            let call = rpc_call(&json!(id), "practice-check", &format!("{id:016x}"), 60_000, "eA==");
            client.write_all(format!("{call}\n").as_bytes()).unwrap();
        };
        scheduler.reactor.active = true;
        send_call(&mut client, 1);
        scheduler.serve(1);
        let taken = scheduler.core.counters().taken;
        send_call(&mut client, 2);
        scheduler.read_calls(taken + 1);
        if close {
            drop(client);
        } else {
            let cancel = json!({"jsonrpc": "2.0", "method": "cancel", "params": {"id": 2}});
            client.write_all(format!("{cancel}\n").as_bytes()).unwrap();
        }
        assert_second_call_not_written(&mut scheduler, &lines, close);
    }
}

/// A connection to a worker is established after the call for which it was opened was cancelled, or after the worker
/// started draining, left the list or was cordoned: nothing is written on it.
#[test]
fn nothing_is_written_on_a_connection_established_too_late() {
    for case in ["cancelled", "closed", "draining", "removed", "cordoned"] {
        let worker = Worker::over_tcp();
        let mut scheduler = SteppedScheduler::new(&worker);
        let (mut client, _) = scheduler.client();
        client.write_all(&plain_call(1)).unwrap();
        scheduler.read_calls(1);
        scheduler.execute_commands();
        assert_eq!(
            (scheduler.core.counters().opened, scheduler.core.counters().sent),
            (0, 0),
            "{case}: the connection is being established"
        );
        let now = scheduler.reactor.now();
        let mut member = Member { worker: WorkerId(1), weight: 1.0, ..Member::default() };
        match case {
            "cancelled" => client.write_all(&frame(2, 1, &[])).unwrap(),
            "closed" => client.shutdown(std::net::Shutdown::Both).unwrap(),
            "cordoned" => drop(scheduler.core.cordon(now, WorkerId(1))),
            other => {
                member.state = if other == "removed" { State::Gone } else { State::Draining };
                scheduler.core.members(now, ListKind::Delta, vec![member]);
            }
        }
        while scheduler.core.counters().opened == 0 {
            scheduler.poll();
        }
        scheduler.execute_commands();
        assert_eq!(scheduler.core.counters().sent, 0, "{case}");
        assert!(worker.received_nothing(), "{case}");
    }
}

/// In the plug-in, a call is cancelled while its connection is being established: it is not written.
#[test]
fn a_plug_in_call_cancelled_before_its_connection_is_established_is_not_written() {
    let mut setup = stalled_setup(&rig::settings());
    let call = setup.call(10);
    assert_eq!(setup.client.counters().sent, 0, "the connection is being established");
    setup.client.cancel(call);
    setup.call(10);
    while setup.client.counters().sent == 0 {
        setup.poll();
    }
    let (mut stream, _) = setup.listener.accept().unwrap();
    let (lines, _) = setup.read(&mut stream);
    assert_eq!(calls(&lines), 1, "only the second call");
}
