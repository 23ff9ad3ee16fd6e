//! A connection between the old and the new process.

use super::HandoverInput;
use super::message::{self, MAX_MESSAGE_LENGTH};
use crate::net::{BufferLimits, Connection, Context, ControlFlow, Link};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Buffer limits of a connection to a peer, in bytes: one message to read, and no limit for pending output.
pub const BUFFER_LIMITS: BufferLimits = BufferLimits { input: MAX_MESSAGE_LENGTH + 4, output: usize::MAX };

/// Events of the connections to peers, for the daemon to handle.
#[derive(Default)]
pub struct InputQueue {
    /// The events, oldest first.
    pub inputs: VecDeque<HandoverInput>,
}

/// A connection to a peer.
pub struct PeerConnection {
    queue: Rc<RefCell<InputQueue>>,
    /// Whether this process is opening the connection and it is not established yet.
    connecting: bool,
}

impl PeerConnection {
    /// A connection that is being opened (`connecting`) or was accepted.
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
        let mut consumed = 0;
        let mut queue = self.queue.borrow_mut();
        loop {
            match message::read(&link.input[consumed..]) {
                Ok(None) => break,
                Ok(Some((message, size))) => {
                    consumed += size;
                    queue.inputs.push_back(HandoverInput::Received(link.id(), message));
                }
                Err(_) => {
                    queue.inputs.push_back(HandoverInput::Malformed(link.id()));
                    return ControlFlow::Close;
                }
            }
        }
        link.consume(consumed);
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
