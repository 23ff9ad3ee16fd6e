//! A non-blocking stream with read and write buffers.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// A TCP stream that never blocks, with its read and write buffers.
pub struct NonBlockingStream {
    stream: TcpStream,
    /// Bytes received and not yet consumed.
    pub read_buffer: Vec<u8>,
    /// Bytes to be written.
    pub write_buffer: Vec<u8>,
}

impl NonBlockingStream {
    /// Wraps a connected stream and makes it non-blocking.
    pub fn new(stream: TcpStream) -> std::io::Result<NonBlockingStream> {
        stream.set_nonblocking(true)?;
        let _ = stream.set_nodelay(true);
        let (read_buffer, write_buffer) = Default::default();
        Ok(NonBlockingStream { stream, read_buffer, write_buffer })
    }

    /// Writes as much as possible without blocking; false once the connection has ended.
    pub fn write(&mut self) -> bool {
        while !self.write_buffer.is_empty() {
            match self.stream.write(&self.write_buffer) {
                Ok(0) => return false,
                Ok(size) => drop(self.write_buffer.drain(..size)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }

    /// Reads everything that has arrived; false once the connection has ended.
    pub fn read(&mut self) -> bool {
        let mut bytes = [0; 16_384];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(size) => self.read_buffer.extend(&bytes[..size]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
    }
}
