//! Handover during an upgrade under load: an old and a new process appear as one scheduler to workers, clients and
//! operators.
//!
//! [`HandoverState`] is the state machine of each process, without I/O; [`message`] is the protocol between them;
//! [`PeerConnection`] carries it over a socket.

mod connection;
pub mod message;
mod state;

pub use connection::{BUFFER_LIMITS, InputQueue, PeerConnection};
pub use state::{
    DisconnectReason, HandoverError, HandoverInput, HandoverOutput, HandoverState, STATE_TIMEOUT,
};

#[cfg(test)]
mod tests;
