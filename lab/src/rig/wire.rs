//! A stream that is never waited for, with what has come and what is to go.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// See the module's page.
pub struct Wire {
    stream: TcpStream,
    /// What has come and was not used yet.
    pub inbox: Vec<u8>,
    /// What is to go.
    pub outbox: Vec<u8>,
}

impl Wire {
    /// Over a connection that stands.
    pub fn new(stream: TcpStream) -> std::io::Result<Wire> {
        stream.set_nonblocking(true)?;
        let _ = stream.set_nodelay(true);
        let (inbox, outbox) = Default::default();
        Ok(Wire { stream, inbox, outbox })
    }

    /// Writes what can be written; false once the connection has ended.
    pub fn write(&mut self) -> bool {
        while !self.outbox.is_empty() {
            match self.stream.write(&self.outbox) {
                Ok(0) => return false,
                Ok(size) => drop(self.outbox.drain(..size)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }

    /// Reads all that has come; false once the connection has ended.
    pub fn read(&mut self) -> bool {
        let mut bytes = [0; 16_384];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(size) => self.inbox.extend(&bytes[..size]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
    }
}
