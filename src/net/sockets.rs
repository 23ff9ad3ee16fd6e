//! The reactor's listeners, pipes and datagram sockets, and the connections that it begins.

use super::Stream;
use super::reactor::{Listener, PIPES, Reactor, SOCKETS};
use super::receive::enable_timestamps;
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Token};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::Path;

/// Receives of one datagram that may fail before others have their turn.
const FAILED_RECEIVES: usize = 16;
/// Datagrams taken from one socket in one turn of the loop: a flood must not keep requests waiting.
pub const MAX_DATAGRAMS_PER_TURN: usize = 256;

impl Reactor {
    /// Listens on a TCP address; the listener's number, and the address with its port where any would do.
    ///
    /// # Errors
    /// The address cannot be bound, or the listener not be watched.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<(usize, SocketAddr)> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        Ok((self.add_listener(Listener::Tcp(listener))?, at))
    }

    /// A TCP socket that others may share: its number, and its address. Clients are taken from it once
    /// [`Reactor::set_accepting`] says so.
    ///
    /// # Errors
    /// The listener cannot be made non-blocking, or has no address.
    pub fn listen_shared(&mut self, listener: std::net::TcpListener) -> io::Result<(usize, SocketAddr)> {
        listener.set_nonblocking(true)?;
        enable_timestamps(&listener);
        let listener = TcpListener::from_std(listener);
        let (number, at) = (self.listeners.len(), listener.local_addr()?);
        self.listeners.push(Some(Listener::Tcp(listener)));
        Ok((number, at))
    }

    /// Whether clients are taken from a listener. Those that come meanwhile wait in the system, where whoever
    /// shares the socket may take them.
    ///
    /// # Errors
    /// The poll refuses the change; the listener stays as it was.
    pub fn set_accepting(&mut self, listener: usize, taken: bool) -> io::Result<()> {
        let registry = self.poll.registry();
        match (self.listeners.get_mut(listener).and_then(Option::as_mut), taken) {
            (Some(Listener::Tcp(l)), true) => registry.register(l, Token(listener), Interest::READABLE),
            (Some(Listener::Tcp(l)), false) => registry.deregister(l),
            _ => Ok(()),
        }
    }

    /// Listens on a Unix socket that has been made; the listener's number.
    ///
    /// # Errors
    /// The listener cannot be made non-blocking, or not be watched.
    pub fn listen_unix(&mut self, listener: std::os::unix::net::UnixListener) -> io::Result<usize> {
        listener.set_nonblocking(true)?;
        self.add_listener(Listener::Unix(UnixListener::from_std(listener)))
    }

    fn add_listener(&mut self, mut listener: Listener) -> io::Result<usize> {
        let number = self.listeners.len();
        let registry = self.poll.registry();
        match &mut listener {
            Listener::Tcp(l) => {
                // Whoever is accepted may have sent something before.
                enable_timestamps(l);
                registry.register(l, Token(number), Interest::READABLE)?;
            }
            Listener::Unix(l) => registry.register(l, Token(number), Interest::READABLE)?,
        }
        self.listeners.push(Some(listener));
        Ok(number)
    }

    /// Listens there no longer.
    pub fn close_listener(&mut self, listener: usize) {
        let gone = self.listeners.get_mut(listener).and_then(Option::take);
        let _ = match gone {
            Some(Listener::Tcp(mut l)) => self.poll.registry().deregister(&mut l),
            Some(Listener::Unix(mut l)) => self.poll.registry().deregister(&mut l),
            None => Ok(()),
        };
    }

    /// Watches the reading end of a pipe; its number.
    ///
    /// # Errors
    /// The pipe cannot be made non-blocking, or not be watched.
    pub fn watch(&mut self, pipe: StdUnixStream) -> io::Result<usize> {
        pipe.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(pipe);
        let number = self.pipes.len();
        self.poll.registry().register(&mut pipe, Token(PIPES + number), Interest::READABLE)?;
        self.pipes.push(pipe);
        Ok(number)
    }

    /// Hears datagrams at an address; the socket's number, and the address with its port.
    ///
    /// # Errors
    /// The address cannot be bound, or the socket not be watched.
    pub fn bind_datagram_socket(&mut self, at: SocketAddr) -> io::Result<(usize, SocketAddr)> {
        let mut socket = mio::net::UdpSocket::bind(at)?;
        let (number, at) = (self.sockets.len(), socket.local_addr()?);
        self.poll.registry().register(&mut socket, Token(SOCKETS + number), Interest::READABLE)?;
        self.sockets.push(Some(socket));
        Ok((number, at))
    }

    /// Hears nothing there any more: its address is free for others.
    pub fn close_datagram_socket(&mut self, socket: usize) {
        if let Some(mut socket) = self.sockets.get_mut(socket).and_then(Option::take) {
            let _ = self.poll.registry().deregister(&mut socket);
        }
    }

    /// The next datagram of a socket, with its sender and size, if there is one. A caller that stops before there is none
    /// requests [`Reactor::resume_receiving`].
    pub fn receive_datagram(&mut self, number: usize, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let socket = self.sockets.get(number)?.as_ref()?;
        for _ in 0..FAILED_RECEIVES {
            match socket.recv_from(into) {
                Ok(taken) => return Some(taken),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                // A peer that is down, or a route that is gone, shows as an error of the socket; what waits is still there.
                Err(_) => {}
            }
        }
        self.resume_receiving(number);
        None
    }

    /// Datagrams were left in a socket: it is to be told of again.
    pub fn resume_receiving(&mut self, socket: usize) {
        let token = Token(SOCKETS + socket);
        if let Some(Some(source)) = self.sockets.get_mut(socket) {
            let _ = self.poll.registry().reregister(source, token, Interest::READABLE);
        }
    }

    /// Sends a datagram; what the system does not take is lost, as datagrams may be.
    pub fn send_datagram(&self, socket: usize, bytes: &[u8], to: SocketAddr) {
        if let Some(Some(socket)) = self.sockets.get(socket) {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Takes the next client of a listener, if one waits.
    ///
    /// # Errors
    /// The system's accept failed; [`super::momentary`] tells whether that passes.
    pub fn accept(&mut self, listener: usize) -> io::Result<Option<Stream>> {
        let taken = match &self.listeners[listener] {
            None => return Ok(None),
            Some(Listener::Tcp(l)) => l.accept().map(|(stream, _)| {
                let _ = stream.set_nodelay(true);
                Stream::Tcp(stream)
            }),
            Some(Listener::Unix(l)) => l.accept().map(|(stream, _)| Stream::Unix(stream)),
        };
        match taken {
            Ok(stream) => Ok(Some(stream)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Begins a TCP connection.
    ///
    /// # Errors
    /// The connection could not even be begun.
    pub fn connect(&self, to: SocketAddr) -> io::Result<Stream> {
        let stream = TcpStream::connect(to)?;
        let _ = stream.set_nodelay(true);
        Ok(Stream::Tcp(stream))
    }

    /// Begins a connection to a Unix socket.
    ///
    /// # Errors
    /// Nobody listens at the path, or the system refuses.
    pub fn connect_unix(&self, to: &Path) -> io::Result<Stream> {
        UnixStream::connect(to).map(Stream::Unix)
    }
}
