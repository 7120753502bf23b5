//! System calls of a link: a listener that can refuse connections and keep its port, resets, and a timer that
//! is finer than the timeout of a poll, which has millisecond resolution.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, OwnedFd};
use std::time::Duration;

use mio::net::TcpListener;
use mio::unix::SourceFd;
use mio::{Interest, Registry, Token};
use rustix::time::{Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec};
use socket2::{Domain, SockRef, Socket, Type};

use crate::core::Listening;

/// Connections that the system may establish before the link accepts them.
const BACKLOG: i32 = 1024;
/// Timeout of a connection to the link's own listener. The system alone establishes it, within this time even
/// on a loaded machine.
const PLUG_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Listener that keeps its port while it refuses connections.
pub(crate) struct Listener {
    pub socket: TcpListener,
    pub address: SocketAddr,
    listening: Listening,
    /// Local address of the connection that fills the one backlog entry that remains while connection
    /// attempts are not answered.
    plug: Option<SocketAddr>,
}

impl Listener {
    pub fn open(address: SocketAddr) -> io::Result<Listener> {
        let mut socket = bound(address)?;
        let address = local(&socket)?;
        // A port that the system picked is released when the socket stops listening; an explicitly bound port
        // is not. Both sockets can be bound to the port because neither listens yet.
        let picked = std::mem::replace(&mut socket, bound(address)?);
        drop(picked);
        socket.listen(BACKLOG)?;
        let socket = TcpListener::from_std(socket.into());
        Ok(Listener { socket, address, listening: Listening::Open, plug: None })
    }

    /// Returns whether connections are to be accepted.
    pub fn is_open(&self) -> bool {
        self.listening == Listening::Open
    }

    /// Returns whether this peer is the link's own plug connection.
    pub fn is_plug(&self, peer: SocketAddr) -> bool {
        self.plug == Some(peer)
    }

    /// Clears the plug after it was accepted.
    pub fn clear_plug(&mut self) {
        self.plug = None;
    }

    pub fn set(&mut self, listening: Listening) -> io::Result<()> {
        if self.listening == Listening::Refusing && listening != Listening::Refusing {
            SockRef::from(&self.socket).listen(BACKLOG)?;
        }
        match listening {
            Listening::Open => SockRef::from(&self.socket).listen(BACKLOG)?,
            Listening::Refusing => {
                self.plug = None;
                SockRef::from(&self.socket).shutdown(std::net::Shutdown::Both)?;
            }
            Listening::Unanswering => {
                // One connection fits into a backlog of 0. The plug occupies it even after its own end is
                // closed, so it costs no descriptor. The connect fails only if another process's connection
                // is already there.
                SockRef::from(&self.socket).listen(0)?;
                let plug = Socket::new(Domain::for_address(self.address), Type::STREAM, None)?;
                match plug.connect_timeout(&self.address.into(), PLUG_CONNECT_TIMEOUT) {
                    Err(error) if error.kind() != io::ErrorKind::TimedOut => return Err(error),
                    Err(_) => {}
                    Ok(()) => self.plug = Some(local(&plug)?),
                }
            }
        }
        self.listening = listening;
        Ok(())
    }
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn local(socket: &Socket) -> io::Result<SocketAddr> {
    let address = socket.local_addr()?;
    address.as_socket().ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))
}

/// Makes the close of a socket send a reset to its peer.
pub(crate) fn reset(stream: &mio::net::TcpStream) {
    // If this fails, the system decides whether the peer sees an end of stream or a reset; the socket is
    // closed in any case.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Timer that wakes the thread.
pub(crate) struct WakeupTimer(OwnedFd);

impl WakeupTimer {
    pub fn new(registry: &Registry, token: Token) -> io::Result<WakeupTimer> {
        let flags = TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC;
        let timer = rustix::time::timerfd_create(TimerfdClockId::Monotonic, flags)?;
        registry.register(&mut SourceFd(&timer.as_raw_fd()), token, Interest::READABLE)?;
        Ok(WakeupTimer(timer))
    }

    /// Sets the timer to expire once after this time, replacing the previous setting. The timer need not be
    /// read: setting it clears the expiration.
    pub fn set(&self, after: Option<Duration>) -> io::Result<()> {
        let zero = Timespec { tv_sec: 0, tv_nsec: 0 };
        // A value of zero would disarm the timer.
        let after = after.map_or(zero, |after| {
            let after = after.max(Duration::from_nanos(1));
            Timespec { tv_sec: after.as_secs() as _, tv_nsec: after.subsec_nanos() as _ }
        });
        let when = Itimerspec { it_interval: zero, it_value: after };
        rustix::time::timerfd_settime(&self.0, TimerfdTimerFlags::empty(), &when)?;
        Ok(())
    }
}
