//! The physical floor: two reads and two writes a request, and a wait for what is ready. It looks at no byte that it
//! passes on, so that what is left is the system's own.

use rustix::event::epoll;
use rustix::io::Errno;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};

const EVENTS: usize = 256;
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// A connection, and the one that it is passed on to.
struct Side {
    stream: TcpStream,
    other: RawFd,
}

/// Serves until the process is ended: each client's connection has one to a host of its own.
pub fn run(listen: SocketAddr, hosts: &[SocketAddr]) -> io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let poll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
    let watch = |fd: &dyn AsFdExt| {
        let (fd, number) = (fd.fd(), fd.number());
        epoll::add(&poll, fd, epoll::EventData::new_u64(number as u64), epoll::EventFlags::IN)
    };
    watch(&listener)?;
    let listening = listener.as_raw_fd();
    let mut sides: HashMap<RawFd, Side> = HashMap::new();
    let (mut next, mut buf) = (0, vec![0; 64 * 1024]);
    let mut events = Vec::with_capacity(EVENTS);
    loop {
        match epoll::wait(&poll, rustix::buffer::spare_capacity(&mut events), None) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        for event in events.drain(..) {
            let fd = event.data.u64() as RawFd;
            if fd == listening {
                while let Ok((client, _)) = listener.accept() {
                    let host = TcpStream::connect(hosts[next % hosts.len()])?;
                    next += 1;
                    for stream in [&client, &host] {
                        stream.set_nonblocking(true)?;
                        stream.set_nodelay(true)?;
                        watch(stream)?;
                    }
                    let (near, far) = (client.as_raw_fd(), host.as_raw_fd());
                    sides.insert(near, Side { stream: client, other: far });
                    sides.insert(far, Side { stream: host, other: near });
                }
                continue;
            }
            pass(&mut sides, fd, &mut buf);
        }
    }
}

/// What a file and its number are, for both kinds that are watched.
trait AsFdExt {
    fn fd(&self) -> std::os::fd::BorrowedFd<'_>;
    fn number(&self) -> RawFd;
}

impl<T: std::os::fd::AsFd + AsRawFd> AsFdExt for T {
    fn fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.as_fd()
    }
    fn number(&self) -> RawFd {
        self.as_raw_fd()
    }
}

/// Passes on what has come on one side; an end of one ends both.
fn pass(sides: &mut HashMap<RawFd, Side>, fd: RawFd, buf: &mut [u8]) {
    let Some(side) = sides.get_mut(&fd) else { return };
    let other = side.other;
    let count = match side.stream.read(buf) {
        Ok(count @ 1..) => count,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
        _ => 0,
    };
    let done = match count {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        // Whether it is there is asked before it has a host to ask.
        _ if &buf[..count] == PING => side.stream.write_all(b"+PONG\r\n"),
        _ => sides.get_mut(&other).map_or(Ok(()), |other| other.stream.write_all(&buf[..count])),
    };
    if done.is_err() {
        sides.remove(&fd);
        sides.remove(&other);
    }
}
