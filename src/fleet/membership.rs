//! Membership of the fleet: SWIM (Das, Gupta, Motivala 2002) by the `foca` crate, without sockets and without a clock.
//!
//! The traffic of one process does not grow with the fleet: each period it probes one random member, probes it through
//! a few others if it does not answer, and gossips changes to a few members. Members that are considered down are
//! contacted periodically, so that the two sides of a partition find each other again.
//!
//! Membership does not decide which process holds a lease, since member lists differ from process to process.

use super::Process;
use crate::interface::{Duration, Timestamp};
use foca::{Foca, Notification, PeriodicParams, PostcardCodec, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};

/// Largest packet in bytes: leaves room for the header of a datagram.
pub const MAX_PACKET_BYTES: usize = 1_200;
/// Number of members through which an unresponsive member is probed, and to which changes are gossiped at a time.
const MEMBERSHIP_FANOUT: usize = 3;
/// Periods after which a process that knows no other member, or misses some acceptor, announces itself to acceptors again.
const ACCEPTOR_RETRY_PERIODS: u64 = 4;
/// How long a member that is down is remembered.
const DOWN_MEMBER_MEMORY: Duration = Duration::millis(60_000);
/// Periods after which another process that is reported under this one's index counts as running: if it were an earlier
/// process that has crashed, it would be considered down by then.
const DUPLICATE_CONFIRM_PERIODS: u64 = 10;

/// Identity of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The process.
    pub process: Process,
    /// Orders processes that share an index: the one with the higher generation is the member. It is the later one unless
    /// a clock was set back.
    pub generation: u64,
    /// How often it has rejoined with this generation after it was considered down. Bounded, so that it never exceeds a
    /// later generation.
    pub turn: u8,
    /// The address that the process announces.
    pub at: SocketAddr,
}

impl foca::Identity for Identity {
    type Addr = u32;

    fn renew(&self) -> Option<Identity> {
        Some(Identity { turn: self.turn.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> u32 {
        self.process.index
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.generation, self.turn, self.process) > (other.generation, other.turn, other.process)
    }
}

/// A query for the process known under an index, or its answer. A process asks the acceptors when it starts or was
/// considered down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdentityQuery {
    /// Request for the process known under the sender's index.
    Ask,
    /// Answer: the process known under the index, its generation, and whether it is up.
    Known(Process, u64, bool),
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A process has joined.
    Up(Identity),
    /// A process has left, or is considered down.
    Down(Identity),
    /// Another process with this one's index is the member, so this process has left the fleet.
    DuplicateIdentity,
}

/// What foca requests and reports during one call.
#[derive(Default)]
struct PendingOutput {
    send: Vec<(Identity, Vec<u8>)>,
    after: Vec<(std::time::Duration, Timer<Identity>)>,
    up: Vec<Identity>,
    down: Vec<Identity>,
    /// Whether this process was considered down and has rejoined under a new identity.
    rejoined: bool,
    /// Whether this process was considered down too often to rejoin by itself.
    defunct: bool,
    /// Whether other members have accepted its present identity.
    active: bool,
}

impl foca::Runtime<Identity> for PendingOutput {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(member) => self.up.push(member.clone()),
            Notification::MemberDown(member) => self.down.push(member.clone()),
            Notification::Rejoin(_) => self.rejoined = true,
            Notification::Active => self.active = true,
            Notification::Defunct => self.defunct = true,
            _ => {}
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: std::time::Duration) {
        self.after.push((after, event));
    }
}

/// Configuration of the membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Longest transit time of a datagram on a healthy link.
    pub delay: Duration,
    /// Expected number of processes in the fleet.
    pub size: u32,
    /// Addresses of the lease acceptors, by index: this process joins through them.
    pub contacts: BTreeMap<u32, SocketAddr>,
}

impl MembershipConfig {
    /// Timeout of a direct probe.
    fn round_trip(&self) -> Duration {
        Duration(self.delay.0 * 2 + self.delay.0 / 2)
    }

    /// Interval between probes: time for a direct answer and for one through other members.
    pub fn period(&self) -> Duration {
        Duration(self.round_trip().0 * 3)
    }

    fn foca(&self) -> foca::Config {
        let std_duration = |span: Duration| std::time::Duration::from_nanos(span.0.max(1_000_000));
        let fanout = NonZeroUsize::new(MEMBERSHIP_FANOUT).unwrap_or(NonZeroUsize::MIN);
        let transmissions = 32 - self.size.max(2).leading_zeros();
        let periodic = |frequency: Duration, num_members| {
            Some(PeriodicParams { frequency: std_duration(frequency), num_members })
        };
        let period = self.period();
        foca::Config {
            probe_period: std_duration(period),
            probe_rtt: std_duration(self.round_trip()),
            num_indirect_probes: fanout,
            // After this many transmissions a change has reached almost all members; periodic gossip reaches the rest.
            max_transmissions: NonZeroU8::new(transmissions.clamp(4, 15) as u8).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: std_duration(Duration(period.0 * 2)),
            remove_down_after: Some(std_duration(DOWN_MEMBER_MEMORY)),
            max_packet_size: NonZeroUsize::new(MAX_PACKET_BYTES).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: periodic(Duration(period.0 * 16), NonZeroUsize::MIN),
            periodic_announce_to_down_members: periodic(Duration(period.0 * 4), NonZeroUsize::MIN),
            periodic_gossip: periodic(Duration(period.0 / 2), fanout),
        }
    }
}

/// A later process was reported under this one's index while this one is a member.
#[derive(Clone, Copy, Debug)]
struct IdentityDoubt {
    since: Timestamp,
    /// When to ask the acceptors which process is the member.
    ask_at: Timestamp,
}

/// Key of a foca timer. The number keeps timers that expire at the same time in the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at: Timestamp,
    number: u64,
}

/// The membership of the fleet as this process knows it.
pub struct Membership {
    foca: Foca<Identity, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    config: MembershipConfig,
    timers: BTreeMap<TimerKey, Timer<Identity>>,
    next_timer: u64,
    /// The other members that are up, by index.
    members: BTreeMap<u32, Identity>,
    /// When to announce this process to an acceptor.
    announce_at: Timestamp,
    /// How often it was announced, including the first identity query.
    announcements: usize,
    /// Since when this process has been joining; `None` once it is a member. Until then the acceptors may report an
    /// earlier process with this index.
    joining_since: Option<Timestamp>,
    doubt: Option<IdentityDoubt>,
    /// Whether this process is no longer a member.
    left: bool,
}

/// Packets to be sent, and changes of the membership.
#[derive(Default, Debug)]
pub struct MembershipOutput {
    /// Packets and their receivers.
    pub packets: Vec<(Identity, Vec<u8>)>,
    /// Identity queries and answers, each with the index of its receiver.
    pub identity_queries: Vec<(u32, IdentityQuery)>,
    /// Changes, in order.
    pub changes: Vec<MembershipChange>,
}

impl Membership {
    /// A process that has just started and knows no other member. `seed` determines all random choices.
    pub fn new(now: Timestamp, identity: Identity, seed: u64, config: MembershipConfig) -> Membership {
        let foca = Foca::new(identity, config.foca(), SmallRng::seed_from_u64(seed), PostcardCodec);
        Membership {
            foca,
            config,
            timers: BTreeMap::new(),
            next_timer: 0,
            members: BTreeMap::new(),
            announce_at: now,
            announcements: 0,
            joining_since: Some(now),
            doubt: None,
            left: false,
        }
    }

    /// The other members that are up, by index.
    pub fn members(&self) -> &BTreeMap<u32, Identity> {
        &self.members
    }

    /// When [`Membership::on_timeout`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        if self.left {
            return None;
        }
        let timer = self.timers.keys().next().map(|key| key.at);
        let doubt = self.doubt.map(|doubt| doubt.ask_at);
        [timer, Some(self.announce_at), doubt].into_iter().flatten().min()
    }

    /// The time of [`Membership::next_timeout`] has been reached.
    pub fn on_timeout(&mut self, now: Timestamp, out: &mut MembershipOutput) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().at <= now) {
            let timer = entry.remove();
            let mut pending = PendingOutput::default();
            // An error only means that the timer is outdated.
            let _ = self.foca.handle_timer(timer, &mut pending);
            self.apply(now, pending, out);
        }
        if let Some(doubt) = self.doubt.filter(|doubt| doubt.ask_at <= now) {
            self.doubt = Some(IdentityDoubt { ask_at: now + self.config.period(), ..doubt });
            self.query_identity(out);
        }
        if self.announce_at <= now && !self.left {
            self.join_or_announce(now, out);
        }
    }

    /// First asks which process is known under this index, then announces this process.
    fn join_or_announce(&mut self, now: Timestamp, out: &mut MembershipOutput) {
        let just_started =
            self.joining_since.is_some_and(|since| since <= self.announce_at) && self.announcements == 0;
        if just_started {
            self.announcements = 1;
            self.announce_at = now + self.config.round_trip();
            self.query_identity(out);
        } else {
            self.joining_since = None;
            self.announce_at = now + Duration(self.config.period().0 * ACCEPTOR_RETRY_PERIODS);
            self.announce_to_acceptors(now, out);
        }
    }

    fn query_identity(&mut self, out: &mut MembershipOutput) {
        let own = self.foca.identity().process.index;
        out.identity_queries.extend(
            self.config
                .contacts
                .keys()
                .filter(|index| **index != own)
                .map(|index| (*index, IdentityQuery::Ask)),
        );
    }

    /// Handles another process's query about its own index, or an answer about this process's index.
    pub fn handle_identity_query(
        &mut self,
        now: Timestamp,
        from: Process,
        query: IdentityQuery,
        out: &mut MembershipOutput,
    ) {
        let own = self.foca.identity().clone();
        match query {
            IdentityQuery::Ask => {
                let mut known = self.foca.iter_membership_state();
                let known = known.find(|member| member.id().process.index == from.index);
                out.identity_queries.extend(known.map(|member| {
                    let id = member.id();
                    let up = member.state() != foca::State::Down;
                    (from.index, IdentityQuery::Known(id.process, id.generation, up))
                }));
            }
            IdentityQuery::Known(..) if self.left => {}
            IdentityQuery::Known(process, _, false) if process == own.process && self.doubt.is_some() => {
                self.supersede(now, own.generation + 1, out);
            }
            IdentityQuery::Known(process, ..) if process == own.process => {}
            IdentityQuery::Known(_, _, true) if self.is_duplicate_confirmed(now) => {
                self.left = true;
                out.changes.push(MembershipChange::DuplicateIdentity);
            }
            // An earlier process with this index, or a second one: the later of the two is the member.
            IdentityQuery::Known(_, generation, up)
                if generation >= own.generation && (!up || self.joining_since.is_some()) =>
            {
                self.supersede(now, generation + 1, out);
            }
            // A later process has started while this one was a member. foca answers both, so the acceptors are asked.
            IdentityQuery::Known(_, generation, true) if generation > own.generation => {
                self.doubt = self.doubt.or(Some(IdentityDoubt { since: now, ask_at: now }));
            }
            IdentityQuery::Known(..) => {}
        }
    }

    /// Whether another process has been up under this one's index for so long that it cannot be a crashed earlier one.
    fn is_duplicate_confirmed(&self, now: Timestamp) -> bool {
        let limit = Duration(self.config.period().0 * DUPLICATE_CONFIRM_PERIODS);
        self.doubt.is_some_and(|doubt| now - doubt.since > limit)
    }

    /// Rejoins with a generation higher than any that other members know.
    fn supersede(&mut self, now: Timestamp, generation: u64, out: &mut MembershipOutput) {
        let mut pending = PendingOutput::default();
        let next = Identity { generation, turn: 0, ..self.foca.identity().clone() };
        let _ = self.foca.change_identity(next, &mut pending);
        self.doubt = None;
        self.apply(now, pending, out);
    }

    /// Announces this process to an acceptor that is not known to be up, or to all acceptors if it knows no member.
    fn announce_to_acceptors(&mut self, now: Timestamp, out: &mut MembershipOutput) {
        let own = self.foca.identity().process.index;
        let missing = |index: &u32| *index != own && !self.members.contains_key(index);
        let missing: Vec<u32> = self.config.contacts.keys().copied().filter(missing).collect();
        // A process that knows no member announces itself to all acceptors, otherwise to one at a time: hundreds of
        // processes that start together must not flood the acceptors repeatedly.
        let alone = self.members.is_empty();
        let chosen: Vec<u32> = match missing.len() {
            0 => return,
            _ if alone => missing,
            count => vec![missing[self.announcements % count]],
        };
        self.announcements += 1;
        for index in chosen {
            let at = self.config.contacts[&index];
            // Its incarnation is not known; the process that has this index accepts the announcement.
            let process = Process { index, incarnation: 0 };
            let mut pending = PendingOutput::default();
            let _ = self.foca.announce(Identity { process, generation: 0, turn: 0, at }, &mut pending);
            self.apply(now, pending, out);
        }
    }

    /// The member that has the index of `process`, if it is another process.
    pub fn current_member_for(&self, process: Process) -> Option<IdentityQuery> {
        let member = self.members.get(&process.index).filter(|member| member.process != process)?;
        Some(IdentityQuery::Known(member.process, member.generation, true))
    }

    /// Handles a packet of another member; returns false if it is malformed.
    pub fn receive(&mut self, now: Timestamp, packet: &[u8], out: &mut MembershipOutput) -> bool {
        if self.left {
            return true;
        }
        let mut pending = PendingOutput::default();
        let read = self.foca.handle_data(packet, &mut pending);
        self.apply(now, pending, out);
        !matches!(read, Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig))
    }

    /// Notifies other members that this process leaves.
    pub fn leave(&mut self, now: Timestamp, out: &mut MembershipOutput) {
        let mut pending = PendingOutput::default();
        let _ = self.foca.leave_cluster(&mut pending);
        self.apply(now, pending, out);
        self.left = true;
    }

    fn apply(&mut self, now: Timestamp, pending: PendingOutput, out: &mut MembershipOutput) {
        for (after, timer) in pending.after {
            self.next_timer += 1;
            let at = now + Duration(after.as_nanos() as u64);
            self.timers.insert(TimerKey { at, number: self.next_timer }, timer);
        }
        out.packets.extend(pending.send);
        let own = self.foca.identity().process.index;
        for member in pending.down {
            if self.members.get(&member.process.index).is_some_and(|known| known.process == member.process) {
                self.members.remove(&member.process.index);
            }
            out.changes.push(MembershipChange::Down(member));
        }
        for member in pending.up.into_iter().filter(|member| member.process.index != own) {
            self.members.insert(member.process.index, member.clone());
            out.changes.push(MembershipChange::Up(member));
        }
        // A member that has changed its identity has stayed up: no change is reported.
        for member in self.foca.iter_members().map(foca::Member::id) {
            if self.members.get(&member.process.index).is_some_and(|known| known != member) {
                self.members.insert(member.process.index, member.clone());
            }
        }
        if (pending.rejoined || pending.defunct) && self.doubt.is_none() {
            self.doubt = Some(IdentityDoubt { since: now, ask_at: now });
        }
        if pending.active {
            self.doubt = None;
        }
    }
}
