//! An upgrade under load: an old and a new process that are one scheduler to everybody else.
//!
//! [`HandoverState`] decides, without I/O, what each does and when; [`message`] has what they send each other;
//! [`PeerConnection`] carries it.

mod connection;
pub mod message;
mod state;

pub use connection::{BUFFER_LIMITS, InputQueue, PeerConnection};
pub use state::{
    DisconnectReason, HandoverError, HandoverInput, HandoverOutput, HandoverState, STATE_TIMEOUT,
};

#[cfg(test)]
mod tests;
