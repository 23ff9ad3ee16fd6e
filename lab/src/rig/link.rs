//! What happens to what is on its way, in one direction of one link.

use super::{MS, Moment};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::VecDeque;

/// How long a lost piece of a stream takes longer: it is sent again by the system.
const AGAIN: u64 = 200 * MS;

/// The state of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Nothing passes. Streams keep what they carry until it does; datagrams are lost.
    pub cut: bool,
    /// The part of the datagrams that is lost. Pieces of streams come late instead.
    pub loss: f64,
    /// How much longer everything takes, in nanoseconds.
    pub delay: u64,
    /// How much longer than that at most, drawn anew each time: datagrams overtake each other.
    pub jitter: u64,
    /// The part of the datagrams that comes twice.
    pub repeat: f64,
}

impl LinkCondition {
    fn late(&self, rng: &mut SmallRng) -> u64 {
        self.delay + if self.jitter > 0 { rng.random_range(0..=self.jitter) } else { 0 }
    }

    fn chance(part: f64, rng: &mut SmallRng) -> bool {
        part > 0.0 && rng.random_bool(part.min(1.0))
    }
}

/// A direction of a stream: in order, and nothing lost.
#[derive(Default)]
pub struct Stream {
    waiting: VecDeque<(Moment, Vec<u8>)>,
    last: Moment,
}

impl Stream {
    /// Bytes have entered the link.
    pub fn put(&mut self, now: Moment, bytes: Vec<u8>, condition: &LinkCondition, rng: &mut SmallRng) {
        let lost = if LinkCondition::chance(condition.loss, rng) { AGAIN } else { 0 };
        self.last = self.last.max(now + condition.late(rng) + lost);
        self.waiting.push_back((self.last, bytes));
    }

    /// The next bytes that leave it, if it is time.
    pub fn take(&mut self, now: Moment, condition: &LinkCondition) -> Option<Vec<u8>> {
        if !self.is_due(now, condition) {
            return None;
        }
        self.waiting.pop_front().map(|(_, bytes)| bytes)
    }

    /// Whether anything is on its way and may leave.
    pub fn is_due(&self, now: Moment, condition: &LinkCondition) -> bool {
        !condition.cut && self.waiting.front().is_some_and(|(at, _)| *at <= now)
    }
}

/// A direction between two that exchange datagrams.
#[derive(Default)]
pub struct Datagrams {
    waiting: Vec<(Moment, Vec<u8>)>,
    /// How many were lost here.
    pub lost: u64,
}

impl Datagrams {
    /// A datagram has entered the link.
    pub fn put(&mut self, now: Moment, bytes: &[u8], condition: &LinkCondition, rng: &mut SmallRng) {
        if condition.cut || LinkCondition::chance(condition.loss, rng) {
            self.lost += 1;
            return;
        }
        let times = if LinkCondition::chance(condition.repeat, rng) { 2 } else { 1 };
        for _ in 0..times {
            self.waiting.push((now + condition.late(rng), bytes.to_vec()));
        }
    }

    /// Those whose time has come, the earliest first.
    pub fn take(&mut self, now: Moment) -> Vec<Vec<u8>> {
        let mut due: Vec<(Moment, Vec<u8>)> = self.waiting.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        due.into_iter().map(|(_, bytes)| bytes).collect()
    }
}

#[cfg(test)]
mod tests;
