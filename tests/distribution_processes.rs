//! A domain of real processes: the configuration of one of them is published to all, and processes fail or restart.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use rig::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// A version of the domain: fence and sequence.
type Version = (u64, u64);

/// Polls until there is a result.
fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(start.elapsed() < LONG, "timed out waiting for {what}");
        sleep(Duration::from_millis(10));
    }
}

/// The version in the last log line that contains this text.
fn logged_version(daemon: &Daemon, text: &str) -> Option<Version> {
    let log = daemon.log.lock().unwrap();
    let line = log.lines().rfind(|line| line.contains(text))?;
    let (fence, rest) = line.split_once("version=")?.1.split_once('.')?;
    let sequence = rest.split(' ').next()?;
    Some((fence.parse().ok()?, sequence.parse().ok()?))
}

fn installed_version(daemon: &Daemon) -> Option<Version> {
    logged_version(daemon, "distribution installed")
}

fn log_count(daemon: &Daemon, text: &str) -> usize {
    daemon.log.lock().unwrap().matches(text).count()
}

/// The settings of a process with this index, which allow communication with peers.
fn peer_settings(index: usize) -> Value {
    let mut settings = settings();
    settings["fleetSize"] = json!(16);
    settings["index"] = json!(index);
    settings["bounds"]["peers"] = json!(true);
    settings
}

/// Free UDP addresses in this block, which no other test uses; the system chooses the ports.
fn free_addresses(block: usize, from: usize, count: usize) -> Vec<SocketAddr> {
    let address = |n| UdpSocket::bind(format!("127.0.{block}.{}:0", from + n)).unwrap().local_addr().unwrap();
    (0..count).map(address).collect()
}

fn address_list(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<String> = addresses.iter().map(|at| format!("\"{at}\"")).collect();
    format!("[{}]", addresses.join(", "))
}

/// All processes of a domain, by role.
struct Domain {
    replicas: Vec<Daemon>,
    relays: Vec<Daemon>,
    subscribers: Vec<Daemon>,
    replica_addresses: Vec<SocketAddr>,
    relay_addresses: Vec<SocketAddr>,
}

/// The operator's file of a relay or subscriber.
fn child_operator_file(role: &str, bind: SocketAddr, parents: &[SocketAddr]) -> String {
    format!(
        "[distribution]\nname = \"test\"\nbind = \"{bind}\"\nrole = \"{role}\"\nparents = {}\n",
        address_list(parents)
    )
}

impl Domain {
    /// Starts three replicas that know these workers, and relays and subscribers that know none.
    fn start(block: usize, workers: &[&Worker], relays: usize, subscribers: usize) -> Domain {
        Domain::start_with(block, workers, (relays, subscribers), None, |_, _| {})
    }

    /// Like [`Domain::start`], with replicas that follow this discovery bus; `adjust` changes the settings of the
    /// process with an index.
    fn start_with(
        block: usize,
        workers: &[&Worker],
        (relays, subscribers): (usize, usize),
        bus: Option<SocketAddr>,
        adjust: impl Fn(usize, &mut Value),
    ) -> Domain {
        let (fleet, replica_addresses) = (free_addresses(block, 1, 3), free_addresses(block, 11, 3));
        let (relay_addresses, subscriber_addresses) =
            (free_addresses(block, 21, relays), free_addresses(block, 31, subscribers));
        let electors: Vec<String> =
            fleet.iter().enumerate().map(|(n, at)| format!("{{ index = {n}, at = \"{at}\" }}")).collect();
        let replica = |n: usize| {
            let mut settings = peer_settings(n);
            adjust(n, &mut settings);
            Daemon::start_with(workers, settings, bus, |_| {
                format!(
                    "[fleet]\nname = \"test\"\nbind = \"{}\"\nelectors = [{}]\nterm_ms = 800\ndelay_ms = 20\n\
                     parts = 0\n[distribution]\nname = \"test\"\nbind = \"{}\"\nrole = \"replica\"\nreplicas = {}\n",
                    fleet[n],
                    electors.join(", "),
                    replica_addresses[n],
                    address_list(&replica_addresses)
                )
            })
        };
        let replicas: Vec<Daemon> = (0..3).map(replica).collect();
        let relay = |(n, at): (usize, &SocketAddr)| {
            Daemon::start_with(&[], peer_settings(3 + n), None, |_| {
                child_operator_file("relay", *at, &replica_addresses)
            })
        };
        let relays: Vec<Daemon> = relay_addresses.iter().enumerate().map(relay).collect();
        let parents = if relays.is_empty() { &replica_addresses } else { &relay_addresses };
        let subscriber = |(n, at): (usize, &SocketAddr)| {
            let index = 3 + relays.len() + n;
            let mut settings = peer_settings(index);
            adjust(index, &mut settings);
            Daemon::start_with(&[], settings, None, |_| child_operator_file("subscriber", *at, parents))
        };
        let subscribers = subscriber_addresses.iter().enumerate().map(subscriber).collect();
        Domain { replicas, relays, subscribers, replica_addresses, relay_addresses }
    }

    /// The last version that a running replica has published, and the index of that replica.
    fn last_published(&self) -> Option<(Version, usize)> {
        let all = self.replicas.iter().enumerate();
        all.filter_map(|(n, daemon)| Some((logged_version(daemon, "distribution published")?, n))).max()
    }

    /// Waits until a replica has published under a fence higher than this one.
    fn wait_for_publisher(&self, over: u64) -> usize {
        wait_for("a publisher", || self.last_published().filter(|((fence, _), _)| *fence > over)).1
    }

    /// Waits until these subscribers have installed the version that was published last.
    fn wait_installed(&self, subscribers: &[usize]) -> Version {
        let ((fence, least), _) = self.last_published().unwrap();
        for n in subscribers {
            let subscriber = &self.subscribers[*n];
            let what = format!("distribution installed version={fence}.{least}");
            let start = Instant::now();
            while installed_version(subscriber).is_none_or(|version| version < (fence, least)) {
                let log = || subscriber.log.lock().unwrap().clone();
                assert!(start.elapsed() < LONG, "no '{what}' at subscriber {n}:\n{}", log());
                sleep(Duration::from_millis(10));
            }
        }
        (fence, least)
    }

    /// Replaces the configuration of a replica, and waits until the change was published.
    fn publish(&self, replica: usize, config: &Value) {
        let before = log_count(&self.replicas[replica], "distribution published");
        assert_ne!(self.replicas[replica].reload(&config.to_string()), "refused");
        self.replicas[replica].wait_log_times("distribution published", before + 1);
    }
}

/// The configuration with these workers as the next event of its list.
fn with_workers(config: &Value, offset: u64, workers: &[&Worker]) -> Value {
    let mut config = config.clone();
    let targets: Vec<Value> = workers
        .iter()
        .enumerate()
        .map(|(n, w)| worker_record(n as u32 + 1, w.address(), "SERVING"))
        .collect();
    config["known"] = json!({"offset": offset, "batch": [
        {"offset": offset, "topology": {"rev": offset, "all": true, "targets": targets}}]});
    config
}

/// The configuration with an additional class, a copy of the first one.
fn with_class(config: &Value, name: &str) -> Value {
    let mut config = config.clone();
    let mut class = config["settings"]["classes"][0].clone();
    class["name"] = json!(name);
    config["settings"]["classes"].as_array_mut().unwrap().push(class);
    config
}

/// Sends a call whose worker echoes the body, and returns the status byte of the reply: 79 if it was served.
fn call_status(daemon: &Daemon, class: &str, number: u32) -> u8 {
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&frame(0, number, &call(class, &format!("{number:016x}"), 2900, b"x")));
    client.next().expect("a reply").2[0]
}

fn wait_figure(daemon: &Daemon, name: &str, value: u64) {
    wait_for(&format!("{name}={value}"), || daemon.figure(name).filter(|is| *is == value));
}

fn kill(daemon: &mut Daemon) {
    daemon.child.kill().unwrap();
    daemon.child.wait().unwrap();
}

/// Restarts a killed process with this configuration.
fn restart(daemon: &mut Daemon, config: Value) {
    std::fs::write(daemon.folder.at("config.json"), config.to_string()).unwrap();
    *daemon = Daemon::spawn(daemon.folder.clone(), config, None);
    daemon.serves();
}

#[test]
fn a_change_by_sighup_at_the_publisher_reaches_all() {
    let workers = [Worker::over_tcp(), Worker::over_tcp()];
    let domain = Domain::start(2, &[&workers[0]], 2, 3);
    let publisher = domain.wait_for_publisher(0);
    domain.subscribers.iter().for_each(|subscriber| wait_figure(subscriber, "cluster_size", 1));
    let config = with_workers(&domain.replicas[publisher].config, 2, &[&workers[0], &workers[1]]);
    let _served = workers.map(|worker| worker.serve(echo));
    domain
        .subscribers
        .iter()
        .for_each(|subscriber| assert_eq!(call_status(subscriber, "practice-check", 1), 79));
    // Publish an additional worker and an additional class.
    domain.publish(publisher, &with_class(&config, "mock-exam"));
    let (fence, _) = domain.wait_installed(&[0, 1, 2]);
    for subscriber in &domain.subscribers {
        wait_figure(subscriber, "cluster_size", 2);
        wait_for("the class", || (call_status(subscriber, "mock-exam", 2) == 79).then_some(()));
        assert_eq!(subscriber.figure("distribution.fence"), Some(fence));
        assert_eq!(subscriber.figure("distribution.refused"), Some(0));
    }
    // A reload without changes publishes nothing; on a subscriber, published settings take precedence over its own
    // file.
    let before = domain.last_published();
    assert_ne!(domain.replicas[publisher].reload(&with_class(&config, "mock-exam").to_string()), "refused");
    let subscriber = &domain.subscribers[0];
    assert_ne!(subscriber.reload(&subscriber.config.to_string()), "refused");
    assert_eq!((call_status(subscriber, "mock-exam", 3), subscriber.figure("cluster_size")), (79, Some(2)));
    assert_eq!(domain.last_published(), before);
    // The status for operators.
    let (status, text) = subscriber.operate("GET", "/api/fleet");
    let follows = domain.relay_addresses.iter().any(|at| text.contains(&at.to_string()));
    assert!(status == 200 && text.contains("subscriber") && follows, "{text}");
    let (_, text) = domain.replicas[publisher].operate("GET", "/api/fleet");
    assert!(text.contains(&format!("process {publisher} (")) && text.contains("publish"), "{text}");
    // A reload does not change the role in the domain.
    let path = subscriber.folder.at("operator.toml");
    let other = std::fs::read_to_string(&path).unwrap().replace("\"test\"", "\"rest\"");
    std::fs::write(&path, other).unwrap();
    assert_ne!(subscriber.reload(&subscriber.config.to_string()), "refused");
    subscriber.wait_log("reload ignored what=distribution");
}

#[test]
fn after_the_publisher_is_killed_another_replica_publishes_under_a_higher_fence() {
    let worker = Worker::over_tcp();
    let mut domain = Domain::start(3, &[&worker], 1, 2);
    worker.serve(echo);
    let first = domain.wait_for_publisher(0);
    let (fence, _) = domain.wait_installed(&[0, 1]);
    kill(&mut domain.replicas[first]);
    // The other replicas hold the lease one after the other; the holder publishes its own configuration.
    let rest: Vec<usize> = (0..3).filter(|n| *n != first).collect();
    for replica in rest.iter().map(|n| &domain.replicas[*n]) {
        assert_ne!(replica.reload(&with_class(&replica.config, "mock-exam").to_string()), "refused");
    }
    let next = domain.wait_for_publisher(fence);
    assert!(rest.contains(&next));
    domain.wait_installed(&[0, 1]);
    for subscriber in &domain.subscribers {
        wait_for("the class", || (call_status(subscriber, "mock-exam", 1) == 79).then_some(()));
        assert!(subscriber.figure("distribution.fence") > Some(fence));
    }
}

#[test]
fn the_children_of_a_killed_relay_follow_another_one() {
    let worker = Worker::over_tcp();
    let mut domain = Domain::start(4, &[&worker], 2, 3);
    worker.serve(echo);
    let publisher = domain.wait_for_publisher(0);
    domain.wait_installed(&[0, 1, 2]);
    let parent = |subscriber: &Daemon| {
        let log = subscriber.log.lock().unwrap();
        let line = log.lines().rfind(|line| line.contains("distribution parent at="))?;
        line.rsplit_once("at=").map(|(_, at)| at.parse::<SocketAddr>().unwrap())
    };
    let left = parent(&domain.subscribers[0]).unwrap();
    let dead = domain.relay_addresses.iter().position(|at| *at == left).unwrap();
    kill(&mut domain.relays[dead]);
    wait_for("another parent", || parent(&domain.subscribers[0]).filter(|at| *at != left));
    domain.publish(publisher, &with_class(&domain.replicas[publisher].config, "mock-exam"));
    domain.wait_installed(&[0, 1, 2]);
    for subscriber in &domain.subscribers {
        assert_eq!(parent(subscriber), Some(domain.relay_addresses[1 - dead]));
        wait_for("the class", || (call_status(subscriber, "mock-exam", 1) == 79).then_some(()));
    }
}

/// Adds a key to the classes of these settings that the classes of other processes lack.
fn add_tone(settings: &mut Value) {
    for class in settings["classes"].as_array_mut().unwrap() {
        class["tone"] = json!("blue");
    }
}

/// Replies to requests and loads as [`echo`] does, and to health checks as a worker that accepts work.
fn echo_or_alive(heard: &ReceivedLine) -> Option<(&'static str, String)> {
    if heard.verb() == "stat" { Some(("alive", String::new())) } else { echo(heard) }
}

/// A configuration that fails the checks of the publisher changes nothing on any process. A version that passes there
/// but fails on one subscriber is refused completely by that subscriber, which keeps its state and installs a later
/// version.
#[test]
fn an_invalid_change_is_refused_completely_and_the_last_valid_state_stays() {
    let workers = [Worker::over_tcp(), Worker::over_tcp()];
    // One of the subscribers has the key in its own file, like the replicas; it refuses a class without the key. While
    // no publisher is up, health checks of the workers confirm the list, however long the election takes.
    let adjust = |index: usize, settings: &mut Value| {
        settings["bounds"]["probes"] = json!(true);
        if index != 3 {
            add_tone(settings);
        }
    };
    let mut domain = Domain::start_with(5, &[&workers[0]], (0, 2), None, adjust);
    let publisher = domain.wait_for_publisher(0);
    let (fence, _) = domain.wait_installed(&[0, 1]);
    domain.subscribers.iter().for_each(|subscriber| wait_figure(subscriber, "cluster_size", 1));
    let good = installed_version(&domain.subscribers[1]);
    // Nothing of an invalid configuration is published, even though its list is valid.
    let config = with_workers(&domain.replicas[publisher].config, 2, &[&workers[0], &workers[1]]);
    let _served = workers.map(|worker| worker.serve(echo_or_alive));
    let before = domain.last_published();
    let replica = &domain.replicas[publisher];
    let mut bad = config.clone();
    bad["settings"]["classes"][0]["deadlineNs"] = json!(0);
    assert_eq!(replica.reload(&bad.to_string()), "refused");
    let mut long = with_class(&config, "mock-exam");
    long["settings"]["classes"][2]["note"] = json!("x".repeat(1_200));
    assert_eq!(replica.reload(&long.to_string()), "refused");
    replica.wait_log("too long to be distributed");
    assert_eq!((domain.last_published(), replica.figure("conf_invalid")), (before, Some(2)));
    // The other replicas restart with classes that lack the key, and one of them becomes the publisher.
    for n in (0..3).filter(|n| *n != publisher) {
        let mut plain = with_class(&config, "mock-exam");
        plain["settings"]["index"] = json!(n);
        for class in plain["settings"]["classes"].as_array_mut().unwrap() {
            class.as_object_mut().unwrap().remove("tone");
        }
        kill(&mut domain.replicas[n]);
        restart(&mut domain.replicas[n], plain);
    }
    kill(&mut domain.replicas[publisher]);
    let next = domain.wait_for_publisher(fence);
    domain.wait_installed(&[0]);
    let [plain, with_tone] = &domain.subscribers[..] else { panic!("two subscribers") };
    wait_figure(plain, "cluster_size", 2);
    wait_for("the class", || (call_status(plain, "mock-exam", 1) == 79).then_some(()));
    with_tone.wait_log("distribution refused version=");
    assert!(with_tone.log.lock().unwrap().contains("tone is missing"));
    assert_eq!((installed_version(with_tone), with_tone.figure("cluster_size")), (good, Some(1)));
    assert_eq!(call_status(with_tone, "practice-check", 2), 79);
    assert_ne!(call_status(with_tone, "mock-exam", 3), 79);
    // The corrected version contains everything that was refused before.
    let mut corrected = domain.replicas[next].config.clone();
    add_tone(&mut corrected["settings"]);
    domain.publish(next, &corrected);
    domain.wait_installed(&[0, 1]);
    let with_tone = &domain.subscribers[1];
    wait_figure(with_tone, "cluster_size", 2);
    wait_for("the class", || (call_status(with_tone, "mock-exam", 4) == 79).then_some(()));
}

/// Calls are served while all control processes are down. After these have restarted without state, changes arrive
/// again.
#[test]
fn calls_are_served_without_control_processes_and_changes_arrive_after_their_restart() {
    let workers = [Worker::over_tcp(), Worker::over_tcp()];
    let mut domain = Domain::start(6, &[&workers[0]], 1, 2);
    domain.wait_for_publisher(0);
    let (fence, _) = domain.wait_installed(&[0, 1]);
    domain.subscribers.iter().for_each(|subscriber| wait_figure(subscriber, "cluster_size", 1));
    domain.replicas.iter_mut().chain(&mut domain.relays).for_each(kill);
    let config = with_workers(&domain.replicas[0].config, 2, &[&workers[0], &workers[1]]);
    let _served = workers.map(|worker| worker.serve(echo));
    for subscriber in &domain.subscribers {
        subscriber.wait_log_times("distribution parent", 2);
        assert_eq!(call_status(subscriber, "practice-check", 1), 79);
        assert_eq!(subscriber.figure("cluster_size"), Some(1));
    }
    for daemon in &mut domain.replicas {
        let mut replica_config = config.clone();
        replica_config["settings"]["index"] = daemon.config["settings"]["index"].clone();
        restart(daemon, replica_config);
    }
    let relay = domain.relays[0].config.clone();
    restart(&mut domain.relays[0], relay);
    domain.wait_for_publisher(fence);
    domain.wait_installed(&[0, 1]);
    for subscriber in &domain.subscribers {
        wait_figure(subscriber, "cluster_size", 2);
        assert!(subscriber.figure("distribution.fence") > Some(fence));
    }
}

/// A call keeps the settings of its class as of the time when it was accepted, although the class has changed since:
/// the early call may be retried, a later one may not.
#[test]
fn a_call_keeps_the_settings_under_which_it_was_accepted() {
    let worker = Worker::over_tcp();
    let domain = Domain::start(7, &[&worker], 0, 1);
    let publisher = domain.wait_for_publisher(0);
    domain.wait_installed(&[0]);
    let subscriber = &domain.subscribers[0];
    wait_figure(subscriber, "cluster_size", 1);
    let mut client = FrameClient::connect(subscriber.listen);
    client.send(&frame(0, 1, &call("practice-check", "00000000000000aa", 60_000, b"early")));
    let mut early = next_attempt(&worker, "ZWFybHk=");
    let mut config = domain.replicas[publisher].config.clone();
    config["settings"]["classes"][0]["effect"] = json!("fragile");
    domain.publish(publisher, &config);
    domain.wait_installed(&[0]);
    client.send(&frame(0, 2, &call("practice-check", "00000000000000bb", 60_000, b"later")));
    let mut later = next_attempt(&worker, "bGF0ZXI=");
    // The worker reports an error: the early call is retried, the later one fails.
    early.answer("500", "");
    next_attempt(&worker, "ZWFybHk=").answer("200", "eQ==");
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'y'])));
    later.answer("500", "");
    assert_eq!(client.next().map(|(_, stream, payload)| (stream, payload[0])), Some((2, 69)));
}

/// The next attempt of the call with this body.
fn next_attempt(worker: &Worker, body: &str) -> ReceivedLine {
    wait_for(body, || {
        Some(worker.next()).filter(|heard| heard.verb() == "go" && heard.line["content"] == *body)
    })
}

#[test]
fn a_suspended_scheduler_catches_up() {
    let worker = Worker::over_tcp();
    let domain = Domain::start(8, &[&worker], 1, 2);
    worker.serve(echo);
    let publisher = domain.wait_for_publisher(0);
    domain.wait_installed(&[0, 1]);
    let stopped = &domain.subscribers[0];
    let before = installed_version(stopped).unwrap();
    stopped.signal("STOP");
    let mut config = domain.replicas[publisher].config.clone();
    for n in 0..8 {
        config = with_class(&config, &format!("mock-exam-{n}"));
        domain.publish(publisher, &config);
    }
    domain.wait_installed(&[1]);
    assert_eq!(installed_version(stopped), Some(before));
    stopped.signal("CONT");
    domain.wait_installed(&[0]);
    for (n, class) in (0..8).map(|n| format!("mock-exam-{n}")).enumerate() {
        wait_for("the class", || (call_status(stopped, &class, 1 + n as u32) == 79).then_some(()));
    }
    assert_eq!(
        stopped.figure("distribution.snapshots"),
        Some(1),
        "one snapshot at the start, and only changes since"
    );
}

/// The role in the domain moves together with the clients: the new process takes it over when the old one closes its
/// listener, and knows the distributed list from the start.
#[test]
fn after_an_upgrade_the_new_process_takes_over_the_role_in_the_domain() {
    let worker = Worker::over_tcp();
    let domain = Domain::start(9, &[&worker], 0, 0);
    worker.serve(echo);
    let publisher = domain.wait_for_publisher(0);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = free_addresses(9, 31, 1)[0];
    // A process can be replaced only if it was started with a passed listener.
    let plain = Daemon::start_with(&[], peer_settings(9), None, |_| {
        child_operator_file("subscriber", at, &domain.replica_addresses)
    });
    let (folder, config) = (plain.folder.clone(), plain.config.clone());
    drop(plain);
    let mut old = Daemon::spawn(folder, config, Some(&listener));
    old.serves();
    wait_figure(&old, "cluster_size", 1);
    let mut new = old.spawn_beside(&listener);
    new.serves();
    old.wait_log("listener=closed");
    assert_eq!(call_status(&new, "practice-check", 1), 79);
    wait_for("the first version", || installed_version(&new));
    assert_eq!(old.figure("distribution.version"), None, "the old process has left the domain");
    domain.publish(publisher, &with_class(&domain.replicas[publisher].config, "mock-exam"));
    wait_for("the class", || (call_status(&new, "mock-exam", 2) == 79).then_some(()));
    old.signal("TERM");
    assert!(old.ends());
    assert_eq!(call_status(&new, "mock-exam", 3), 79);
}

/// A subscriber of one of two zones receives only the workers of that zone.
#[test]
fn a_subscriber_receives_the_workers_of_its_zones_only() {
    let workers = [Worker::over_tcp(), Worker::over_tcp()];
    let domain = Domain::start(10, &[&workers[0]], 0, 0);
    domain.wait_for_publisher(0);
    let at = free_addresses(10, 31, 2);
    let children: BTreeMap<&str, Daemon> = [("a", at[0]), ("b", at[1])]
        .map(|(zone, at)| {
            let mut settings = peer_settings(9);
            settings["zones"] = json!(["a", "b"]);
            let operator = child_operator_file("subscriber", at, &domain.replica_addresses)
                + &format!("zones = [\"{zone}\"]\n");
            (zone, Daemon::start_with(&[], settings, None, |_| operator.clone()))
        })
        .into();
    wait_for("the first version", || {
        installed_version(&children["a"]).and(installed_version(&children["b"]))
    });
    wait_figure(&children["a"], "cluster_size", 1);
    assert_eq!(children["b"].figure("cluster_size"), Some(0), "all workers are in the other zone");
}

/// A simulated discovery bus. Once active, it sends each client the events after the offset that the client named, and
/// heartbeat frames.
#[derive(Default)]
struct BusState {
    active: bool,
    events: Vec<(u64, Vec<u8>)>,
}

fn run_bus(bus: Bus) -> (SocketAddr, Arc<Mutex<BusState>>) {
    let (at, state) = (bus.0.local_addr().unwrap(), Arc::new(Mutex::new(BusState::default())));
    let shared = state.clone();
    thread::spawn(move || {
        loop {
            let ((mut stream, mut offset), state) = (bus.accept(), shared.clone());
            thread::spawn(move || {
                loop {
                    let mut bytes = vec![];
                    if let Some(state) = Some(state.lock().unwrap()).filter(|state| state.active) {
                        let known = offset;
                        for (number, event) in state.events.iter().filter(|(number, _)| *number > known) {
                            bytes.extend(event);
                            offset = *number;
                        }
                        bytes.extend([&[0, 0, 0, 9][..], &[0; 9]].concat());
                    }
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                    sleep(Duration::from_millis(50));
                }
            });
        }
    });
    (at, state)
}

/// A publisher that has not heard from discovery yet publishes nothing, because its list may be old. Afterwards,
/// updates from discovery reach all subscribers, each as a single change.
#[test]
fn updates_from_the_publishers_discovery_reach_all_subscribers() {
    let workers = [Worker::over_tcp(), Worker::over_tcp()];
    let (bus, state) = run_bus(Bus::new());
    let domain = Domain::start_with(11, &[&workers[0]], (1, 1), Some(bus), |_, _| {});
    wait_for("a publisher that is paused", || {
        domain.replicas.iter().find(|replica| log_count(replica, "distribution paused") > 0)
    });
    assert_eq!(domain.last_published(), None);
    state.lock().unwrap().active = true;
    let publisher = domain.wait_for_publisher(0);
    let subscriber = &domain.subscribers[0];
    domain.wait_installed(&[0]);
    wait_figure(subscriber, "cluster_size", 1);
    let published = log_count(&domain.replicas[publisher], "distribution published");
    state.lock().unwrap().events.push((2, event(2, 2, &workers[1], 0)));
    wait_figure(subscriber, "cluster_size", 2);
    domain.replicas[publisher].wait_log_times("distribution published", published + 1);
    let log = domain.replicas[publisher].log.lock().unwrap().clone();
    assert!(
        log.lines().rfind(|line| line.contains("distribution published")).unwrap().ends_with("changes=1")
    );
    state.lock().unwrap().events.push((3, event(3, 1, &workers[0], 2)));
    wait_figure(subscriber, "cluster_size", 1);
    let _served = workers.map(|worker| worker.serve(echo));
    assert_eq!(call_status(subscriber, "practice-check", 1), 79);
}

/// `mintgate check` reports the role in a domain, and rejects an invalid one.
#[test]
fn check_reports_whether_the_distribution_config_is_valid() {
    let folder = Folder::new();
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "settings": peer_settings(0)});
    std::fs::write(folder.at("config.json"), config.to_string()).unwrap();
    let good = include_str!("../deploy/distribution.toml");
    let check = |operator: &str| {
        std::fs::write(folder.at("operator.toml"), operator).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_mintgate"));
        command.arg("--operator").arg(folder.at("operator.toml")).arg("check");
        let output = command.env("GW_CONFIG", folder.at("config.json")).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8(text).unwrap())
    };
    let (valid, text) = check(good);
    assert!(valid && text.contains("distribution tyww-coding-lab: Subscriber"), "{text}");
    let (valid, text) = check(&good.replace("\"subscriber\"", "\"relay\"\nzones = [\"a\"]"));
    assert!(!valid && text.contains("distribution.zones"), "{text}");
}
