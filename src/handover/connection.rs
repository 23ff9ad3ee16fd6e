//! A connection between the old and the new process.

use super::HandoverInput;
use super::message::{self, MAX_MESSAGE_LENGTH};
use crate::net::{BufferLimits, Connection, Context, ControlFlow, Link};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Buffers of a peer's connection, in bytes: a message to read, and no bound on what waits to be written.
pub const BUFFER_LIMITS: BufferLimits = BufferLimits { input: MAX_MESSAGE_LENGTH + 4, output: usize::MAX };
/// What happened at connections to peers, for the daemon to take.
#[derive(Default)]
pub struct InputQueue {
    /// In the order in which they happened.
    pub inputs: VecDeque<HandoverInput>,
}

/// A connection to a peer.
pub struct PeerConnection {
    queue: Rc<RefCell<InputQueue>>,
    /// Whether this process opens it, and it is not up yet.
    connecting: bool,
}

impl PeerConnection {
    /// A connection that is being opened (`connecting`), or has come in.
    pub fn new(queue: Rc<RefCell<InputQueue>>, connecting: bool) -> PeerConnection {
        PeerConnection { queue, connecting }
    }
}

impl Connection for PeerConnection {
    fn kind(&self) -> &'static str {
        "process"
    }

    fn opened(&mut self, link: &mut Link, _hub: &mut Context) -> ControlFlow {
        if std::mem::take(&mut self.connecting) {
            self.queue.borrow_mut().inputs.push_back(HandoverInput::Connected(link.id()));
        }
        ControlFlow::Continue
    }

    fn received(&mut self, link: &mut Link, _hub: &mut Context) -> ControlFlow {
        let mut read = 0;
        let mut queue = self.queue.borrow_mut();
        loop {
            match message::read(&link.input[read..]) {
                Ok(None) => break,
                Ok(Some((message, size))) => {
                    read += size;
                    queue.inputs.push_back(HandoverInput::Received(link.id(), message));
                }
                Err(_) => {
                    queue.inputs.push_back(HandoverInput::Malformed(link.id()));
                    return ControlFlow::Close;
                }
            }
        }
        link.consume(read);
        if link.peer_closed { ControlFlow::Close } else { ControlFlow::Continue }
    }

    fn closed(&mut self, link: &Link, _hub: &mut Context) {
        let input = if self.connecting {
            HandoverInput::ConnectFailed
        } else {
            HandoverInput::Disconnected(link.id())
        };
        self.queue.borrow_mut().inputs.push_back(input);
    }
}
