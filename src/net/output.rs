//! Output of a connection that waits to be written to its socket.

use std::collections::VecDeque;
use std::io;

/// Messages are gathered in chunks of at least this many bytes, so that many small ones take few writes.
const CHUNK_BYTES: usize = 16 << 10;

/// A queue of messages. Their memory is freed as they are written, also for a peer that is always a little behind.
#[derive(Debug, Default)]
pub(super) struct OutputQueue {
    chunks: VecDeque<Vec<u8>>,
    /// Bytes of the first chunk that have been written.
    written: usize,
    /// Unwritten bytes of all chunks.
    unwritten: usize,
    /// Unwritten bytes of each message that is not written completely, oldest first.
    messages: VecDeque<usize>,
    /// Whether a byte has been written since the queue was last empty.
    partly_written: bool,
}

impl OutputQueue {
    /// Appends a message.
    pub(super) fn push(&mut self, message: &[u8]) {
        if message.is_empty() {
            return;
        }
        match self.chunks.back_mut() {
            Some(chunk) if chunk.len() + message.len() <= CHUNK_BYTES => chunk.extend_from_slice(message),
            _ => self.chunks.push_back(message.to_vec()),
        }
        self.unwritten += message.len();
        self.messages.push_back(message.len());
    }

    /// Unwritten bytes.
    pub(super) fn len(&self) -> usize {
        self.unwritten
    }

    /// Number of messages that are not written completely.
    pub(super) fn message_count(&self) -> usize {
        self.messages.len()
    }

    /// Whether there is output of which no byte has been written.
    pub(super) fn none_written(&self) -> bool {
        self.unwritten > 0 && !self.partly_written
    }

    /// Discards the unwritten output; false if a part of it was already written.
    pub(super) fn discard(&mut self) -> bool {
        let complete = !self.partly_written;
        *self = OutputQueue::default();
        complete
    }

    /// Writes as much as `write` takes, until it would block. Returns the number of bytes written.
    ///
    /// # Errors
    /// `write` failed; what it took before counts as written.
    pub(super) fn write_to(
        &mut self,
        mut write: impl FnMut(&[u8]) -> io::Result<usize>,
    ) -> io::Result<usize> {
        let before = self.unwritten;
        while let Some(chunk) = self.chunks.front() {
            match write(&chunk[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.mark_written(count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(before - self.unwritten)
    }

    fn mark_written(&mut self, count: usize) {
        self.written += count;
        self.unwritten -= count;
        self.partly_written = self.unwritten > 0;
        if self.chunks.front().is_some_and(|chunk| chunk.len() == self.written) {
            self.chunks.pop_front();
            self.written = 0;
        }
        let mut count = count;
        while let Some(first) = self.messages.front_mut() {
            if *first > count {
                *first -= count;
                break;
            }
            count -= *first;
            self.messages.pop_front();
        }
        if self.chunks.is_empty() {
            *self = OutputQueue::default();
        }
    }
}

#[cfg(test)]
mod tests;
