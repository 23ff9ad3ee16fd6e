//! Delay, loss and repetition of what is in transit in one direction of one link.

use super::{MILLISECOND, Moment};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::VecDeque;

/// Extra delay of a lost segment of a stream, which the operating system would retransmit.
const RETRANSMISSION_DELAY: u64 = 200 * MILLISECOND;

/// The condition of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Nothing passes. Streams keep their bytes until the link is restored; datagrams are lost.
    pub cut: bool,
    /// Fraction of the datagrams that are lost. On streams, that fraction of the segments is delayed instead.
    pub loss: f64,
    /// Additional delay, in nanoseconds.
    pub delay: u64,
    /// Maximum random delay on top of `delay`, in nanoseconds, drawn for each datagram or segment: datagrams are
    /// reordered.
    pub jitter: u64,
    /// Fraction of the datagrams that are delivered twice.
    pub repeat: f64,
}

impl LinkCondition {
    fn draw_delay(&self, rng: &mut SmallRng) -> u64 {
        self.delay + if self.jitter > 0 { rng.random_range(0..=self.jitter) } else { 0 }
    }

    fn draw_chance(part: f64, rng: &mut SmallRng) -> bool {
        part > 0.0 && rng.random_bool(part.min(1.0))
    }
}

/// One direction of a stream: ordered and lossless.
#[derive(Default)]
pub struct Stream {
    in_transit: VecDeque<(Moment, Vec<u8>)>,
    last_exit: Moment,
}

impl Stream {
    /// Adds bytes that enter the link.
    pub fn put(&mut self, now: Moment, bytes: Vec<u8>, condition: &LinkCondition, rng: &mut SmallRng) {
        let lost = if LinkCondition::draw_chance(condition.loss, rng) { RETRANSMISSION_DELAY } else { 0 };
        self.last_exit = self.last_exit.max(now + condition.draw_delay(rng) + lost);
        self.in_transit.push_back((self.last_exit, bytes));
    }

    /// Takes the next bytes that are due to leave the link.
    pub fn take(&mut self, now: Moment, condition: &LinkCondition) -> Option<Vec<u8>> {
        if !self.is_due(now, condition) {
            return None;
        }
        self.in_transit.pop_front().map(|(_, bytes)| bytes)
    }

    /// Whether bytes are in transit and due to leave the link.
    pub fn is_due(&self, now: Moment, condition: &LinkCondition) -> bool {
        !condition.cut && self.in_transit.front().is_some_and(|(at, _)| *at <= now)
    }
}

/// One direction of a link that carries datagrams.
#[derive(Default)]
pub struct Datagrams {
    in_transit: Vec<(Moment, Vec<u8>)>,
    /// Number of datagrams lost on this link.
    pub lost: u64,
}

impl Datagrams {
    /// Adds a datagram that enters the link.
    pub fn put(&mut self, now: Moment, bytes: &[u8], condition: &LinkCondition, rng: &mut SmallRng) {
        if condition.cut || LinkCondition::draw_chance(condition.loss, rng) {
            self.lost += 1;
            return;
        }
        let times = if LinkCondition::draw_chance(condition.repeat, rng) { 2 } else { 1 };
        for _ in 0..times {
            self.in_transit.push((now + condition.draw_delay(rng), bytes.to_vec()));
        }
    }

    /// Takes the datagrams that are due, the earliest first.
    pub fn take(&mut self, now: Moment) -> Vec<Vec<u8>> {
        let mut due: Vec<(Moment, Vec<u8>)> = self.in_transit.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        due.into_iter().map(|(_, bytes)| bytes).collect()
    }
}

#[cfg(test)]
mod tests;
