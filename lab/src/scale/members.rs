//! Hollow members of one fleet in virtual time: membership, gossip, leases and the overload controller as shipped, and
//! the list as it comes today, by a whole configuration for each change.

use super::configuration::Configuration;
use super::faults::{Faults, Regions};
use super::report::{mean_and_most, quantile};
use super::{Plan, Row, Rows, Setup, system};
use crate::network::{Network, Outgoing, Process, Traffic};
use mintgate::core::Core;
use mintgate::fleet::news::{Subject, Word};
use mintgate::fleet::overload::{self, Demand};
use mintgate::fleet::{self, Do, Event, Machine, lease, message};
use mintgate::{ListKind, Span, Time, config};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Members that grant leases.
const ELECTORS: usize = 3;
/// The terms and parts that an operator's file has by default.
const TERM: Span = Span::millis(4_000);
const DRIFT_PPM: u64 = 5_000;
const PARTS: u16 = 3;
/// Answers are wanted within this time, by the strictest class.
const AIM: Span = Span::millis(1_000);
/// Members start within this time.
const STARTS: Span = Span::millis(1_000);
/// The longest that is waited for all to know all.
const SETTLES: Span = Span::millis(60_000);
/// Between two looks whether they do.
const LOOK: Span = Span::millis(250);
/// What a change that is told as news is waited for beyond the measured time.
const REACHES: Span = Span::millis(10_000);

/// A member and what it has cost.
struct Member {
    machine: Machine,
    started: Time,
    /// When it is told next what has come to it.
    demand: Time,
    /// When news came here first, by the worker that it is of.
    news: BTreeMap<u64, Time>,
    /// When it knew all others.
    knew_all: Option<Time>,
    size: usize,
    /// In the machine's own calls.
    spent: Duration,
}

impl Member {
    fn new(now: Time, index: usize, incarnation: u64, plan: &Plan, regions: Regions) -> Member {
        let electors: Vec<u32> = (0..ELECTORS as u32).collect();
        let size = plan.members();
        let setting = fleet::Setting {
            process: fleet::Process { index: index as u32, incarnation },
            generation: incarnation,
            at: place(index),
            fleet: message::fleet("scale", &[]),
            electors: electors.iter().map(|index| (*index, place(*index as usize))).collect(),
            via: BTreeMap::new(),
            lease: lease::Setting::new(electors, TERM, TERM, DRIFT_PPM),
            delay: regions.longest(),
            size: size as u32,
            parts: PARTS,
            shed: Some(AIM),
            guess: now.0 / 1_000_000,
            seed: plan.seed.wrapping_mul(1_000_003).wrapping_add(incarnation),
        };
        let begun = Instant::now();
        let machine = Machine::new(now, setting);
        let spent = begun.elapsed();
        Member { machine, started: now, demand: now, news: BTreeMap::new(), knew_all: None, size, spent }
    }

    fn handle(&mut self, now: Time, event: Event) -> Outgoing {
        let begun = Instant::now();
        let all = self.machine.handle(now, event);
        self.spent += begun.elapsed();
        if self.knew_all.is_none() && self.machine.members().count() + 1 >= self.size {
            self.knew_all = Some(now);
        }
        let mut out = vec![];
        for what in all {
            match what {
                Do::Send(to, bytes) => out.push((to, bytes)),
                Do::Heard(Subject::Worker(worker), ..) => drop(self.news.entry(worker).or_insert(now)),
                _ => {}
            }
        }
        out
    }
}

impl Process for Member {
    fn due(&self) -> Option<Time> {
        self.machine.due().into_iter().chain([self.demand]).min()
    }

    fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) -> Outgoing {
        self.handle(now, Event::Datagram(bytes, from))
    }

    fn timer(&mut self, now: Time) -> Outgoing {
        if self.demand > now {
            return self.handle(now, Event::Timer);
        }
        self.demand = now + overload::TICK;
        // What comes stays well under what the workers bear: nothing is shed.
        let demand = Demand { offered: [100, 11, 0, 0], served: 110, open: 5 };
        self.handle(now, Event::Demand(demand))
    }
}

fn place(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x7f00_0001 + index as u32), 9_200))
}

fn index_of(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return 0 };
    u32::from(*at.ip()).saturating_sub(0x7f00_0001) as usize
}

/// Plays them.
pub fn play(plan: &Plan) -> Result<Vec<Row>, String> {
    let before = system::resident(std::process::id()).unwrap_or(0);
    let count = plan.members();
    let regions = Regions(plan.regions);
    let mut network = Network::new(plan.seed, regions.link(0, 0));
    let mut faults = Faults::new(plan.seed, plan.faults, regions, index_of);
    network.set_links(faults.links());
    start(&mut network, plan, regions);
    let settled = settle(&mut network);
    eprintln!("scale: {count} hollow members have met after {:.1} s of virtual time", settled.secs());
    let from = Window::of(&network);
    let told = measure(&mut network, plan, &mut faults, regions);
    let window = Window::of(&network).since(&from, plan.seconds as f64);
    // What was told last may still be on its way.
    let end = network.now() + REACHES;
    network.run_until(end);
    let memory = system::growth_each(before, count);
    Ok(rows(plan, &network, &window, &told, memory))
}

fn start(network: &mut Network<Member>, plan: &Plan, regions: Regions) {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let base = network.now();
    let mut starts: Vec<(Time, usize)> =
        (0..plan.members()).map(|index| (base + Span(rng.random_range(0..STARTS.0)), index)).collect();
    starts.sort_unstable();
    for (at, index) in starts {
        network.run_until(at);
        network.start(place(index), Member::new(at, index, 1, plan, regions));
    }
}

/// Lets all meet, and a little more; how long it took.
fn settle(network: &mut Network<Member>) -> Span {
    let base = network.now();
    loop {
        let next = network.now() + LOOK;
        network.run_until(next);
        let all = network.processes().all(|(_, member)| member.knew_all.is_some());
        if all || next - base >= SETTLES {
            break;
        }
    }
    let took = network.now() - base;
    let calm = network.now() + Span(TERM.0 * 3);
    network.run_until(calm);
    took
}

/// Plays the measured seconds, with faults and news; when each piece of news was told, by the worker that it is of.
fn measure(
    network: &mut Network<Member>,
    plan: &Plan,
    faults: &mut Faults,
    regions: Regions,
) -> BTreeMap<u64, Time> {
    let mut told = BTreeMap::new();
    let (base, length) = (network.now(), Span::millis(plan.seconds * 1_000));
    let step = if plan.changes > 0.0 { Span((1e9 / plan.changes) as u64) } else { length };
    let mut next = base + Span(step.0 / 2);
    let mut incarnation = 1;
    faults.begin(base);
    while network.now() < base + length {
        let until = next.min(faults.due().unwrap_or(next)).min(base + length);
        network.run_until(until);
        faults.happen(network, place, plan.members(), |now, index| {
            incarnation += 1;
            Member::new(now, index, incarnation, plan, regions)
        });
        if until == next && plan.changes > 0.0 {
            let (worker, now) = (told.len() as u64 + 1, network.now());
            let at = place(worker as usize % plan.members());
            if network.process(at).is_some() {
                told.insert(worker, now);
                network.act(at, |member, now| {
                    member.handle(now, Event::Seen(Subject::Worker(worker), Word::Answers(true)))
                });
            }
            next = next + step;
        } else if until == next {
            next = base + length;
        }
    }
    faults.heal(network, place, |now, index| {
        incarnation += 1;
        Member::new(now, index, incarnation, plan, regions)
    });
    told
}

/// What processes have sent, received and spent up to a moment.
struct Window {
    traffic: BTreeMap<SocketAddr, Traffic>,
    spent: BTreeMap<SocketAddr, Duration>,
    /// Of the thread that plays: on the clock, and on a processor.
    thread: (Instant, Option<Duration>),
}

/// The cost of one process a second.
struct Cost {
    at: SocketAddr,
    bytes: f64,
    messages: f64,
    cpu_percent: f64,
}

impl Window {
    fn of(network: &Network<Member>) -> Window {
        Window {
            traffic: network.processes().map(|(at, _)| (at, network.traffic(at))).collect(),
            spent: network.processes().map(|(at, member)| (at, member.spent)).collect(),
            thread: (Instant::now(), system::thread_time()),
        }
    }

    /// Of processes that ran all the time, each one's costs since then.
    fn since(&self, from: &Window, seconds: f64) -> Vec<Cost> {
        let wall = (self.thread.0 - from.thread.0).as_secs_f64();
        let on = self.thread.1.zip(from.thread.1).map(|(to, from)| (to - from).as_secs_f64());
        // On a busy machine the thread waits for its processor, within calls as without.
        let part = on.map_or(1.0, |on| (on / wall.max(1e-9)).min(1.0));
        let cost = |(at, traffic): (&SocketAddr, &Traffic)| {
            let before = from.traffic.get(at)?;
            let spent = self.spent.get(at)?.checked_sub(*from.spent.get(at)?)?;
            let bytes = traffic.bytes_sent + traffic.bytes_received;
            let messages = traffic.datagrams_sent + traffic.datagrams_received;
            let bytes = bytes.checked_sub(before.bytes_sent + before.bytes_received)?;
            let messages = messages.checked_sub(before.datagrams_sent + before.datagrams_received)?;
            let cpu_percent = spent.as_secs_f64() * part * 100.0 / seconds;
            Some(Cost {
                at: *at,
                bytes: bytes as f64 / seconds,
                messages: messages as f64 / seconds,
                cpu_percent,
            })
        };
        self.traffic.iter().filter_map(cost).collect()
    }
}

/// What one change costs by today's way: the bytes of the file, and the seconds in which it is read and taken in.
fn whole_file(plan: &Plan) -> (f64, f64) {
    let mut configuration = Configuration::new(plan.workers, SocketAddr::from((Ipv4Addr::LOCALHOST, 9)));
    let text = configuration.text();
    let Ok(read) = config::read(&text) else { return (text.len() as f64, 0.0) };
    let mut core = Core::new(read.site.clone(), plan.seed);
    let mut times: Vec<f64> = (0..5u64)
        .map(|n| {
            configuration.change();
            let text = configuration.text();
            let begun = Instant::now();
            let read = config::read(&text);
            for news in read.into_iter().flat_map(|read| read.known) {
                let members = news.entries.iter().map(|entry| entry.member).collect();
                core.members(Time(n * 1_000_000_000), ListKind::Full, members);
            }
            begun.elapsed().as_secs_f64()
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (text.len() as f64, quantile(&times, 0.5).unwrap_or(0.0))
}

fn rows(
    plan: &Plan,
    network: &Network<Member>,
    window: &[Cost],
    told: &BTreeMap<u64, Time>,
    memory: f64,
) -> Vec<Row> {
    let mut rows = Rows::new(plan, "hollow", Setup::Members);
    let like = rows.like();
    (like.hollow, like.changes_per_second, like.faults_per_second) =
        (plan.members(), plan.changes, plan.faults);
    let (file_bytes, file_seconds) = whole_file(plan);
    for role in ["scheduler", "elector"] {
        let of_role = |at: SocketAddr| (index_of(at) < ELECTORS) == (role == "elector");
        let costs: Vec<&Cost> = window.iter().filter(|cost| of_role(cost.at)).collect();
        let (bytes, most) = mean_and_most(costs.iter().map(|cost| cost.bytes));
        let (messages, _) = mean_and_most(costs.iter().map(|cost| cost.messages));
        let (cpu, _) = mean_and_most(costs.iter().map(|cost| cost.cpu_percent));
        let (file, reading) = (plan.changes * file_bytes, plan.changes * file_seconds * 100.0);
        rows.add(role, "fleet_bytes_per_second", "B/s", bytes);
        rows.add(role, "configuration_bytes_per_second", "B/s", file);
        rows.add(role, "control_bytes_per_second", "B/s", bytes + file);
        rows.add(role, "control_bytes_per_second_max", "B/s", most + file);
        rows.add(role, "messages_per_second", "1/s", messages);
        rows.add(role, "fleet_cpu_percent_of_core", "%", cpu);
        rows.add(role, "configuration_cpu_percent_of_core", "%", reading);
        rows.add(role, "cpu_percent_of_core", "%", cpu + reading);
        rows.add(role, "resident_mb", "MB", memory / 1e6);
        let first =
            network.processes().filter(|(at, member)| of_role(*at) && member.machine.members().count() > 0);
        let starts = first.filter_map(|(_, member)| Some((member.knew_all? - member.started).secs()));
        rows.add(role, "start_seconds", "s", mean_and_most(starts).0);
    }
    rows.add("scheduler", "configuration_bytes", "B", file_bytes);
    rows.add("scheduler", "configuration_seconds", "s", file_seconds);
    let members = network.processes().map(|(_, member)| member);
    let reached = |member: &Member| -> Vec<f64> {
        let heard = member.news.iter().filter_map(|(worker, at)| Some((*at - *told.get(worker)?).secs()));
        heard.collect()
    };
    let mut seconds: Vec<f64> = members.flat_map(reached).collect();
    rows.add_seconds("scheduler", "gossip_seconds_to_all", &mut seconds);
    rows.rows
}
