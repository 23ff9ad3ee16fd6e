//! Input of connections beyond what the poll reports: read before a decision rests on it, and bounded over all connections.

use super::Reactor;
use super::entry::{Entry, ReadBudget};
use crate::core::Core;
use crate::interface::Duration;
use crate::request::CloseCause;
use mio::Token;

/// How often a client's input is read before an attempt for it is written, if there is more each time.
const MAX_READS_BEFORE_ATTEMPT: usize = 4;
/// No attempt is written if a message of its client may have been unhandled for longer. Clients allow an attempt to begin
/// 100 ms after they have left.
const MAX_UNHANDLED_TIME: Duration = Duration::millis(50);
/// Memory of a partly received request up to which it is given up only after longer ones.
const SHORT_PARTIAL_INPUT_BYTES: usize = 2 << 10;

impl Reactor {
    /// Notes messages that are left for the next turn, and the memory of a partly received one.
    pub(super) fn update_input(&mut self, token: Token) {
        let Some(entry) = self.entries.get_mut(&token) else { return };
        if entry.link.has_messages_left() && !entry.link.is_output_unread() {
            self.unhandled.insert(token);
        }
        let partial_input = entry.partial_input();
        self.partial_input_total -= std::mem::replace(&mut entry.partial_input_bytes, partial_input);
        self.partial_input_total += partial_input;
    }

    /// Gives up partly received requests until they keep to the memory for them: those that began first, as most requests
    /// are complete at once; those of connections with open requests, and short ones, only after all others.
    pub(super) fn drop_partial_requests(&mut self, core: &mut Core) {
        while self.partial_input_total > self.max_partial_input_bytes {
            let rank = |entry: &Entry| {
                let is_short = entry.partial_input_bytes <= SHORT_PARTIAL_INPUT_BYTES;
                (is_short, entry.connection.open_requests() > 0, entry.connection.partial_request_since())
            };
            let partial = self.entries.iter().filter(|(_, entry)| entry.partial_input_bytes > 0);
            let Some((_, token)) = partial.map(|(token, entry)| (rank(entry), *token)).min() else { return };
            let before = self.partial_input_total;
            self.invoke(token, core, |entry, context| {
                entry.connection.drop_partial_request(&mut entry.link, context)
            });
            if self.partial_input_total >= before {
                self.close_for(token, CloseCause::MadeRoom, core);
            }
        }
    }

    /// Reads a connection's input without waiting for the poll to report it.
    pub fn catch_up(&mut self, id: u64, core: &mut Core) {
        let token = Token(id as usize);
        if self.entries.get(&token).is_some_and(|entry| entry.link.connected) {
            self.handle_ready(token, true, self.polled_at, core);
        }
    }

    /// Reads a client's input before an attempt for it is written, as its close or cancellation may be unread. False if a
    /// message may remain that arrived too long ago: the client sends faster than it is read, or does not read its answers.
    pub fn hear_client(&mut self, id: u64, core: &mut Core) -> bool {
        let token = Token(id as usize);
        let turn_budget = std::mem::take(&mut self.read_budget);
        for _ in 0..MAX_READS_BEFORE_ATTEMPT {
            self.read_budget = ReadBudget::default();
            self.catch_up(id, core);
            if self.entries.get(&token).is_none_or(|entry| entry.link.unhandled_since().is_none()) {
                break;
            }
        }
        self.read_budget = turn_budget;
        let unhandled_since = self.entries.get(&token).and_then(|entry| entry.link.unhandled_since());
        unhandled_since.is_none_or(|since| self.now() - since <= MAX_UNHANDLED_TIME)
    }

    /// Closes the connection that has been idle longest, as the least likely to be used again; false if none is idle. A
    /// connection with unread input is not idle, and one with a part of a request is closed only after all others.
    pub fn close_longest_idle(&mut self, core: &mut Core) -> bool {
        for _ in 0..self.entries.len() {
            let rank = |entry: &Entry| Some((entry.connection.has_partial_request(), entry.idle_since()?));
            let idle = self.entries.iter().filter_map(|(token, entry)| Some((rank(entry)?, *token)));
            let Some((before, token)) = idle.min() else { return false };
            self.catch_up(token.0 as u64, core);
            if self.entries.get(&token).and_then(rank) == Some(before) {
                self.close_for(token, CloseCause::MadeRoom, core);
            }
            // A connection that closed by itself frees a descriptor as well.
            if !self.entries.contains_key(&token) {
                return true;
            }
        }
        false
    }
}
