//! The reactor's listeners, pipes, datagram sockets and outgoing connections.

use super::Stream;
use super::reactor::{FIRST_PIPE_TOKEN, FIRST_SOCKET_TOKEN, Listener, Reactor};
use super::receive::enable_timestamps;
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Token};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::Path;

/// Failed receives on one datagram socket before other sockets have their turn.
const MAX_FAILED_RECEIVES: usize = 16;
/// Datagrams received from one socket in one turn of the event loop, so that a flood doesn't keep requests waiting.
pub const MAX_DATAGRAMS_PER_TURN: usize = 256;

impl Reactor {
    /// Listens on a TCP address. Returns the listener's number and the address, with the port that was assigned if it
    /// was 0.
    ///
    /// # Errors
    /// The address cannot be bound, or the listener not be registered with the poll.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<(usize, SocketAddr)> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        Ok((self.add_listener(Listener::Tcp(listener))?, at))
    }

    /// Adds a listening TCP socket that other processes may share, and returns its number and address. No client is
    /// accepted from it before [`Reactor::set_accepting`].
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

    /// Sets whether clients are accepted from a listener. While they are not, they wait in the kernel's queue, from
    /// which another process that shares the socket may accept them.
    ///
    /// # Errors
    /// The poll registration cannot be changed; the listener stays as it was.
    pub fn set_accepting(&mut self, listener: usize, accept: bool) -> io::Result<()> {
        let registry = self.poll.registry();
        match (self.listeners.get_mut(listener).and_then(Option::as_mut), accept) {
            (Some(Listener::Tcp(l)), true) => registry.register(l, Token(listener), Interest::READABLE),
            (Some(Listener::Tcp(l)), false) => registry.deregister(l),
            _ => Ok(()),
        }
    }

    /// Adds a bound Unix listener and returns its number.
    ///
    /// # Errors
    /// The listener cannot be made non-blocking, or not be registered with the poll.
    pub fn listen_unix(&mut self, listener: std::os::unix::net::UnixListener) -> io::Result<usize> {
        listener.set_nonblocking(true)?;
        self.add_listener(Listener::Unix(UnixListener::from_std(listener)))
    }

    fn add_listener(&mut self, mut listener: Listener) -> io::Result<usize> {
        let number = self.listeners.len();
        let registry = self.poll.registry();
        match &mut listener {
            Listener::Tcp(l) => {
                // A client may send before it is accepted; accepted sockets inherit the option.
                enable_timestamps(l);
                registry.register(l, Token(number), Interest::READABLE)?;
            }
            Listener::Unix(l) => registry.register(l, Token(number), Interest::READABLE)?,
        }
        self.listeners.push(Some(listener));
        Ok(number)
    }

    /// Closes a listener.
    pub fn close_listener(&mut self, listener: usize) {
        let removed = self.listeners.get_mut(listener).and_then(Option::take);
        let _ = match removed {
            Some(Listener::Tcp(mut l)) => self.poll.registry().deregister(&mut l),
            Some(Listener::Unix(mut l)) => self.poll.registry().deregister(&mut l),
            None => Ok(()),
        };
    }

    /// Watches the read end of a pipe, and returns its number.
    ///
    /// # Errors
    /// The pipe cannot be made non-blocking, or not be registered with the poll.
    pub fn watch(&mut self, pipe: StdUnixStream) -> io::Result<usize> {
        pipe.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(pipe);
        let number = self.pipes.len();
        self.poll.registry().register(&mut pipe, Token(FIRST_PIPE_TOKEN + number), Interest::READABLE)?;
        self.pipes.push(pipe);
        Ok(number)
    }

    /// Binds a UDP socket. Returns its number and the address, with the port that was assigned if it was 0.
    ///
    /// # Errors
    /// The address cannot be bound, or the socket not be registered with the poll.
    pub fn bind_datagram_socket(&mut self, at: SocketAddr) -> io::Result<(usize, SocketAddr)> {
        let mut socket = mio::net::UdpSocket::bind(at)?;
        let (number, at) = (self.sockets.len(), socket.local_addr()?);
        self.poll.registry().register(&mut socket, Token(FIRST_SOCKET_TOKEN + number), Interest::READABLE)?;
        self.sockets.push(Some(socket));
        Ok((number, at))
    }

    /// Closes a datagram socket, which frees its address.
    pub fn close_datagram_socket(&mut self, socket: usize) {
        if let Some(mut socket) = self.sockets.get_mut(socket).and_then(Option::take) {
            let _ = self.poll.registry().deregister(&mut socket);
        }
    }

    /// Receives the next datagram of a socket, if there is one, and returns its size and sender. A caller that stops
    /// before `None` must call [`Reactor::resume_receiving`].
    pub fn receive_datagram(&mut self, number: usize, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let socket = self.sockets.get(number)?.as_ref()?;
        for _ in 0..MAX_FAILED_RECEIVES {
            match socket.recv_from(into) {
                Ok(received) => return Some(received),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                // An unreachable peer or a lost route is reported as an error of the socket; queued datagrams are still
                // there.
                Err(_) => {}
            }
        }
        self.resume_receiving(number);
        None
    }

    /// Has the poll report a socket again in which datagrams were left.
    pub fn resume_receiving(&mut self, socket: usize) {
        let token = Token(FIRST_SOCKET_TOKEN + socket);
        if let Some(Some(source)) = self.sockets.get_mut(socket) {
            let _ = self.poll.registry().reregister(source, token, Interest::READABLE);
        }
    }

    /// Sends a datagram. One that the system does not take is dropped, as any datagram may be.
    pub fn send_datagram(&self, socket: usize, bytes: &[u8], to: SocketAddr) {
        if let Some(Some(socket)) = self.sockets.get(socket) {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Accepts the next client of a listener, if one is waiting.
    ///
    /// # Errors
    /// The system's accept failed; [`super::is_transient`] tells whether a later one may succeed.
    pub fn accept(&mut self, listener: usize) -> io::Result<Option<Stream>> {
        let accepted = match &self.listeners[listener] {
            None => return Ok(None),
            Some(Listener::Tcp(l)) => l.accept().map(|(stream, _)| {
                let _ = stream.set_nodelay(true);
                Stream::Tcp(stream)
            }),
            Some(Listener::Unix(l)) => l.accept().map(|(stream, _)| Stream::Unix(stream)),
        };
        match accepted {
            Ok(stream) => Ok(Some(stream)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Starts a non-blocking TCP connect.
    ///
    /// # Errors
    /// The connect could not be started.
    pub fn connect(&self, to: SocketAddr) -> io::Result<Stream> {
        let stream = TcpStream::connect(to)?;
        let _ = stream.set_nodelay(true);
        Ok(Stream::Tcp(stream))
    }

    /// Connects to a Unix socket.
    ///
    /// # Errors
    /// No process listens at the path, or the system refuses.
    pub fn connect_unix(&self, to: &Path) -> io::Result<Stream> {
        UnixStream::connect(to).map(Stream::Unix)
    }
}
