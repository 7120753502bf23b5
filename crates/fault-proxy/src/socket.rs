//! What the system does for a link: a listener that can refuse and keep its port, resets, and an alarm finer
//! than a poll's time-out, which is of whole milliseconds.

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

/// Connections that the system may complete before a link has accepted them.
const BACKLOG: i32 = 1024;
/// A connection to ourselves is made within this, by the system alone, also on a loaded machine.
const PLUG_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// A listener whose port stays its own while it refuses.
pub(crate) struct Listener {
    pub socket: TcpListener,
    pub address: SocketAddr,
    listening: Listening,
    /// Whose connection fills the place that the system leaves where nobody is to be answered.
    plug: Option<SocketAddr>,
}

impl Listener {
    pub fn open(address: SocketAddr) -> io::Result<Listener> {
        let mut socket = bound(address)?;
        let address = local(&socket)?;
        // A port that the system picked is lost when the socket stops listening; one that was asked for is not.
        // Both may be bound to it, since neither listens yet.
        let picked = std::mem::replace(&mut socket, bound(address)?);
        drop(picked);
        socket.listen(BACKLOG)?;
        let socket = TcpListener::from_std(socket.into());
        Ok(Listener { socket, address, listening: Listening::Open, plug: None })
    }

    /// Whether connections are to be accepted.
    pub fn is_open(&self) -> bool {
        self.listening == Listening::Open
    }

    /// Whether this peer is our own plug.
    pub fn is_plug(&self, peer: SocketAddr) -> bool {
        self.plug == Some(peer)
    }

    /// Forgets the plug, once it was accepted.
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
                // One connection may wait beyond a backlog of 0. Ours does, also when its own end is closed, so it
                // costs no descriptor. It cannot be made only where somebody else's waits there already.
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

/// Closes a socket so that its peer sees a reset.
pub(crate) fn reset(stream: &mio::net::TcpStream) {
    // Without it the peer sees an end or a reset as the system finds; the socket is closed in any case.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Wakes the thread at a time.
pub(crate) struct WakeupTimer(OwnedFd);

impl WakeupTimer {
    pub fn new(registry: &Registry, token: Token) -> io::Result<WakeupTimer> {
        let flags = TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC;
        let timer = rustix::time::timerfd_create(TimerfdClockId::Monotonic, flags)?;
        registry.register(&mut SourceFd(&timer.as_raw_fd()), token, Interest::READABLE)?;
        Ok(WakeupTimer(timer))
    }

    /// Rings once after this, and not at what was set before. It need not be read: being set anew clears it.
    pub fn set(&self, after: Option<Duration>) -> io::Result<()> {
        let zero = Timespec { tv_sec: 0, tv_nsec: 0 };
        // Zero would unset it.
        let after = after.map_or(zero, |after| {
            let after = after.max(Duration::from_nanos(1));
            Timespec { tv_sec: after.as_secs() as _, tv_nsec: after.subsec_nanos() as _ }
        });
        let when = Itimerspec { it_interval: zero, it_value: after };
        rustix::time::timerfd_settime(&self.0, TimerfdTimerFlags::empty(), &when)?;
        Ok(())
    }
}
