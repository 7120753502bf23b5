//! Stand-in hosts that cost little: each answers after a fixed time, with a value made for the request, and has so many
//! in work at once as it has cores. When an answer is due is known the moment its command has come.

use bytes::{BufMut, BytesMut};
use resp::{decode, encode_array_header, encode_bulk, Frame};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep_until, Instant};

/// Commands that may be unanswered on a connection.
const PIPELINE: usize = 256;
const READ: usize = 16 * 1024;

/// What a host is like.
#[derive(Clone, Copy, Debug)]
pub struct HostSpec {
    /// What a request takes.
    pub service: Duration,
    /// Requests in work at once; 0: any number.
    pub cores: usize,
    /// Requests that may wait beyond those.
    pub queue: usize,
    /// Bytes of a value.
    pub value: usize,
}

/// When a host gets to a request. Without I/O.
#[derive(Debug)]
pub struct Line {
    spec: HostSpec,
    /// When each core is free, the earliest first.
    free: VecDeque<Instant>,
}

impl Line {
    /// Of a host with nothing to do.
    pub fn new(spec: HostSpec, now: Instant) -> Line {
        Line { spec, free: VecDeque::from(vec![now; spec.cores]) }
    }

    /// A request comes now: when it is answered; `None`: it is turned away.
    pub fn take(&mut self, now: Instant) -> Option<Instant> {
        let Some(first) = self.free.front().copied() else { return Some(now + self.spec.service) };
        // All take alike, so those that wait are as many as fit between now and when this one begins.
        let wait = first.saturating_duration_since(now);
        let service = self.spec.service.max(Duration::from_micros(1));
        let waiting = (wait.as_secs_f64() / service.as_secs_f64() * self.spec.cores as f64) as usize;
        if waiting > self.spec.queue {
            return None;
        }
        let end = first.max(now) + self.spec.service;
        self.free.pop_front();
        self.free.push_back(end);
        Some(end)
    }
}

/// What all hosts of a run have done.
#[derive(Debug, Default)]
pub struct Work {
    /// Answers with a value.
    pub served: AtomicU64,
    /// Requests turned away.
    pub turned_away: AtomicU64,
    /// Connections taken in.
    pub connections: AtomicU64,
}

/// Starts so many hosts on loopback; they run as long as the runtime does. Gives where they listen.
pub async fn start(count: usize, spec: HostSpec, work: &Arc<Work>) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..count {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        addresses.push(listener.local_addr()?);
        let line = Arc::new(Mutex::new(Line::new(spec, Instant::now())));
        tokio::spawn(accept(listener, spec, line, work.clone()));
    }
    Ok(addresses)
}

async fn accept(listener: TcpListener, spec: HostSpec, line: Arc<Mutex<Line>>, work: Arc<Work>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                work.connections.fetch_add(1, Ordering::Relaxed);
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve(stream, spec, line.clone(), work.clone()));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// An answer that is due then.
struct Due {
    at: Instant,
    answer: BytesMut,
}

async fn serve(mut stream: TcpStream, spec: HostSpec, line: Arc<Mutex<Line>>, work: Arc<Work>) {
    let (mut input, mut out) = (BytesMut::with_capacity(READ), BytesMut::new());
    let mut due: VecDeque<Due> = VecDeque::new();
    loop {
        let next = due.front().map(|due| due.at);
        tokio::select! {
            biased;
            read = stream.read_buf(&mut input), if due.len() < PIPELINE => match read {
                Ok(0) | Err(_) => return,
                Ok(_) => {
                    while let Ok(Some(frame)) = decode(&mut input) {
                        due.push_back(answer(&frame, &spec, &line, &work));
                    }
                }
            },
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                let now = Instant::now();
                while due.front().is_some_and(|first| first.at <= now) {
                    due.pop_front().into_iter().for_each(|first| out.extend_from_slice(&first.answer));
                }
                if stream.write_all(&out).await.is_err() {
                    return;
                }
                out.clear();
            }
        }
        input.reserve(READ);
    }
}

/// What a command gets, and when.
fn answer(frame: &Frame, spec: &HostSpec, line: &Mutex<Line>, work: &Work) -> Due {
    let now = Instant::now();
    let mut answer = BytesMut::new();
    let id = match frame {
        Frame::Array(words) => match &words[..] {
            [Frame::Bulk(name), _, Frame::Bulk(id), ..] if name.starts_with(b"CALL.") => Some(id),
            _ => None,
        },
        _ => None,
    };
    let Some(id) = id else {
        answer.put_slice(b"+PONG\r\n");
        return Due { at: now, answer };
    };
    let at = line.lock().unwrap_or_else(PoisonError::into_inner).take(now);
    let Some(at) = at else {
        work.turned_away.fetch_add(1, Ordering::Relaxed);
        answer.put_slice(b"-BUSY\r\n");
        return Due { at: now, answer };
    };
    work.served.fetch_add(1, Ordering::Relaxed);
    encode_array_header(&mut answer, 3);
    let mut value = BytesMut::with_capacity(spec.value);
    value.put_slice(id);
    value.resize(spec.value.max(id.len()), b'.');
    encode_bulk(&mut answer, &value);
    answer.put_slice(b"$-1\r\n$-1\r\n");
    Due { at, answer }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_host_does_as_much_as_its_cores_can_and_turns_the_rest_away() {
        let service = Duration::from_millis(10);
        let spec = HostSpec { service, cores: 2, queue: 4, value: 16 };
        let now = Instant::now();
        let mut line = Line::new(spec, now);
        let ends: Vec<Option<u32>> =
            (0..9).map(|_| line.take(now).map(|end| ((end - now).as_millis() / 10) as u32)).collect();
        assert_eq!(ends[..6], [Some(1), Some(1), Some(2), Some(2), Some(3), Some(3)]);
        assert_eq!(ends[8], None, "two are in work and more than four wait");
        assert!(line.take(now + service * 4).is_some());
        let mut any = Line::new(HostSpec { cores: 0, ..spec }, now);
        assert!((0..100).all(|_| any.take(now) == Some(now + service)));
    }
}
