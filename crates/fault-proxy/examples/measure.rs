//! Measures the cost of a link compared with a direct connection: throughput, round trips, latency, CPU and memory.
//!
//!     cargo run --release -p fault-proxy --example measure
//!
//! Under `taskset -c N` all threads share one core.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fault_proxy::{ConnectionSelector, Directions, Fault, Framing, LinkSet, LinkSpec, Settings};

type Outcome<T> = Result<T, Box<dyn std::error::Error>>;

const MESSAGE: usize = 200;
const ROUND_TRIPS: usize = 10_000;
const BULK: usize = 1 << 28;
/// Rounds per variant. The variants alternate, so that other load on the machine affects all of them.
const ROUNDS_PER_VARIANT: usize = 15;

fn main() -> Outcome<()> {
    let host = echo()?;
    let links = LinkSet::start(Settings { descriptors: 8192, ..Settings::default() })?;
    // Runs first, before this process has freed memory that could be reused.
    memory(&links, host)?;
    // Each variant with the name of the threads that relay.
    let ways = [
        ("direct", "none"),
        ("two threads a connection", "relay"),
        ("tokio, one thread", "tokio"),
        ("link, no messages counted", "links"),
        ("link, RESP2 counted", "links"),
    ];
    println!("{MESSAGE} bytes there and back, {ROUND_TRIPS} times; {} MiB one way", BULK >> 20);
    println!("medians of {ROUNDS_PER_VARIANT} rounds, the best in parentheses\n");
    println!("| way | round trips/s | median us | p99 us | CPU of the relay, us a message | MB/s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut rounds: Vec<Vec<[f64; 5]>> = vec![Vec::new(); ways.len()];
    let link = |name: &str, messages, target| -> Outcome<SocketAddr> {
        Ok(links.add(LinkSpec::to(name, target).messages(messages))?.1)
    };
    let end = sink()?;
    let addresses = [
        (host, end),
        (by_threads(host)?, by_threads(end)?),
        (by_tokio(host)?, by_tokio(end)?),
        (link("none", Framing::None, host)?, link("none", Framing::None, end)?),
        (link("resp", Framing::Resp, host)?, link("resp", Framing::Resp, end)?),
    ];
    for _ in 0..ROUNDS_PER_VARIANT {
        for (way, (echo, sink)) in addresses.iter().enumerate() {
            let (per_s, median, p99, cpu) = round_trips(*echo, ways[way].1)?;
            rounds[way].push([per_s, median, p99, cpu, bulk(*sink)?]);
        }
    }
    for ((name, _), rounds) in ways.iter().zip(&rounds) {
        let of = |figure: usize, digits: usize, high: bool| {
            let mut of: Vec<f64> = rounds.iter().map(|round| round[figure]).collect();
            of.sort_by(f64::total_cmp);
            let best = if high { of[ROUNDS_PER_VARIANT - 1] } else { of[0] };
            format!("{:.digits$} ({best:.digits$})", of[ROUNDS_PER_VARIANT / 2])
        };
        let (per_s, median, p99, cpu) = (of(0, 0, true), of(1, 1, false), of(2, 1, false), of(3, 2, false));
        println!("| {name} | {per_s} | {median} | {p99} | {cpu} | {} |", of(4, 0, true));
    }
    delays(&links, host)?;
    many_links(&links, host)
}

/// Rerounds the round trips per second, the median and 99th percentile of their latency, and the CPU time of the
/// relay's threads per message, in microseconds.
fn round_trips(address: SocketAddr, threads: &str) -> Outcome<(f64, f64, f64, f64)> {
    let mut stream = connect(address)?;
    // A RESP2 message of `MESSAGE` bytes.
    let mut message = format!("*2\r\n$4\r\nECHO\r\n${}\r\n", MESSAGE - 22).into_bytes();
    message.resize(MESSAGE - 2, b'x');
    message.extend(b"\r\n");
    let mut answer = [0; MESSAGE];
    let mut latencies = Vec::with_capacity(ROUND_TRIPS);
    // One round trip before the measurement, so that the relay's threads exist.
    stream.write_all(&message)?;
    stream.read_exact(&mut answer)?;
    let cpu = cpu_of(threads)?;
    let started = Instant::now();
    for _ in 0..ROUND_TRIPS {
        let sent = Instant::now();
        stream.write_all(&message)?;
        stream.read_exact(&mut answer)?;
        latencies.push(sent.elapsed().as_nanos() as f64 / 1e3);
    }
    let per_s = ROUND_TRIPS as f64 / started.elapsed().as_secs_f64();
    let cpu = (cpu_of(threads)? - cpu).as_secs_f64() * 1e6 / (2 * ROUND_TRIPS) as f64;
    latencies.sort_by(f64::total_cmp);
    Ok((per_s, latencies[ROUND_TRIPS / 2], latencies[ROUND_TRIPS * 99 / 100], cpu))
}

/// Rerounds the throughput in one direction in MB/s; the other side answers one byte at the end.
fn bulk(address: SocketAddr) -> Outcome<f64> {
    let mut stream = connect(address)?;
    let piece = vec![b'x'; 256 * 1024];
    let started = Instant::now();
    for _ in 0..BULK / piece.len() {
        stream.write_all(&piece)?;
    }
    stream.shutdown(std::net::Shutdown::Write)?;
    stream.read_exact(&mut [0])?;
    Ok(BULK as f64 / 1e6 / started.elapsed().as_secs_f64())
}

/// Measures round trips with injected delays.
fn delays(links: &LinkSet, host: SocketAddr) -> Outcome<()> {
    println!("\n| delay each way | round trip, median us | p99 us |\n| --- | --- | --- |");
    let (link, address) = links.add(LinkSpec::to("late", host))?;
    for micros in [0, 300, 1000, 5000] {
        let base = Duration::from_micros(micros);
        let fault = Fault::Delay { way: Directions::Both, base, jitter: Duration::ZERO };
        let fault =
            if micros > 0 { Some(links.begin(link, ConnectionSelector::Every, fault)?) } else { None };
        let mut stream = connect(address)?;
        let mut latencies = Vec::new();
        for _ in 0..400 {
            let sent = Instant::now();
            stream.write_all(b"PING\r\n")?;
            stream.read_exact(&mut [0; 6])?;
            latencies.push(sent.elapsed().as_nanos() as f64 / 1e3);
        }
        latencies.sort_by(f64::total_cmp);
        println!("| {:.1} ms | {:.0} | {:.0} |", micros as f64 / 1e3, latencies[200], latencies[396]);
        if let Some(fault) = fault {
            links.end(link, fault)?;
        }
    }
    Ok(())
}

/// Measures 300 links with one connection each: sends a message on all of them, then reads all answers.
fn many_links(links: &LinkSet, host: SocketAddr) -> Outcome<()> {
    const LINKS: usize = 300;
    const ROUNDS: usize = 200;
    println!(
        "\n| 300 connections at once | round trips/s | CPU of the relay, us a message |\n| --- | --- | --- |"
    );
    for linked in [false, true] {
        let mut streams = Vec::new();
        for number in 0..LINKS {
            let link = || links.add(LinkSpec::to(&number.to_string(), host));
            streams.push(connect(if linked { link()?.1 } else { host })?);
        }
        let cpu = cpu_of("links")?;
        let started = Instant::now();
        for _ in 0..ROUNDS {
            for stream in &mut streams {
                stream.write_all(b"PING\r\n")?;
            }
            for stream in &mut streams {
                stream.read_exact(&mut [0; 6])?;
            }
        }
        let count = (LINKS * ROUNDS) as f64;
        let cpu = (cpu_of("links")? - cpu).as_secs_f64() * 1e6 / (2.0 * count);
        let name = if linked { "300 links" } else { "direct" };
        println!("| {name} | {:.0} | {cpu:.2} |", count / started.elapsed().as_secs_f64());
    }
    Ok(())
}

/// Measures the memory of this process per idle link and connection; kernel memory is not counted.
fn memory(links: &LinkSet, host: SocketAddr) -> Outcome<()> {
    const LINKS: usize = 1000;
    const CONNECTIONS: usize = 1000;
    let before = resident()?;
    let mut addresses = Vec::new();
    for number in 0..LINKS {
        addresses.push(links.add(LinkSpec::to(&number.to_string(), host))?.1);
    }
    let with_links = resident()?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let (link, address) = links.add(LinkSpec::to("idle", listener.local_addr()?))?;
    let mut open = Vec::with_capacity(2 * CONNECTIONS);
    let open_before = resident()?;
    for _ in 0..CONNECTIONS {
        let client = connect(address)?;
        open.push(listener.accept()?.0);
        open.push(client);
    }
    // One message each, so that memory allocated by a first message is included.
    for pair in open.chunks_mut(2) {
        pair[1].write_all(b"PING\r\n")?;
        pair[0].read_exact(&mut [0; 6])?;
    }
    let with_connections = resident()?;
    links.remove(link)?;
    println!("| idle | bytes of memory each |\n| --- | --- |");
    println!("| link | {} |", (with_links - before) / LINKS as u64);
    println!(
        "| connection that has carried a message | {} |",
        (with_connections - open_before) / CONNECTIONS as u64
    );
    Ok(())
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Starts a host that echoes all bytes.
fn echo() -> io::Result<SocketAddr> {
    serve(|mut stream| {
        let mut piece = [0; 4096];
        while let Ok(count @ 1..) = stream.read(&mut piece) {
            if stream.write_all(&piece[..count]).is_err() {
                break;
            }
        }
    })
}

/// Starts a host that discards all bytes and answers one byte at the end.
fn sink() -> io::Result<SocketAddr> {
    serve(|mut stream| {
        let mut piece = vec![0; 256 * 1024];
        while let Ok(1..) = stream.read(&mut piece) {}
        // The client may have closed; then it does not need the answer.
        let _ = stream.write_all(b"!");
    })
}

fn serve(with: fn(TcpStream)) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            thread::spawn(move || with(stream));
        }
    });
    Ok(address)
}

/// Starts a relay that copies with two threads per connection.
fn by_threads(target: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let copy = |mut from: TcpStream, mut to: TcpStream| {
        let mut piece = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = from.read(&mut piece) {
            if to.write_all(&piece[..count]).is_err() {
                break;
            }
        }
        // The call fails if the peer has already closed.
        let _ = to.shutdown(std::net::Shutdown::Write);
    };
    thread::spawn(move || -> io::Result<()> {
        for client in listener.incoming() {
            let (client, served) = (client?, connect(target)?);
            client.set_nodelay(true)?;
            let (client_too, served_too) = (client.try_clone()?, served.try_clone()?);
            thread::Builder::new().name("relay".into()).spawn(move || copy(client, served))?;
            thread::Builder::new().name("relay".into()).spawn(move || copy(served_too, client_too))?;
        }
        Ok(())
    });
    Ok(address)
}

/// Starts a tokio relay on one thread.
fn by_tokio(target: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let serve = async move {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        loop {
            let (mut client, _) = listener.accept().await?;
            tokio::spawn(async move {
                let mut served = tokio::net::TcpStream::connect(target).await?;
                client.set_nodelay(true)?;
                served.set_nodelay(true)?;
                let size = 64 * 1024;
                tokio::io::copy_bidirectional_with_sizes(&mut client, &mut served, size, size).await
            });
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    thread::Builder::new()
        .name("tokio".into())
        .spawn(move || -> io::Result<()> { runtime.block_on(serve) })?;
    Ok(address)
}

/// Rerounds the CPU time of all running threads with this name.
fn cpu_of(threads: &str) -> Outcome<Duration> {
    let mut nanos = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // The thread may have ended since the directory was read.
        let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
        if name.trim() == threads {
            let ran = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
            nanos += ran.split(' ').next().and_then(|ran| ran.parse().ok()).unwrap_or(0);
        }
    }
    Ok(Duration::from_nanos(nanos))
}

/// Rerounds the resident memory in bytes.
fn resident() -> Outcome<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS")).ok_or("no VmRSS")?;
    let kib: u64 = line.split_whitespace().nth(1).ok_or("no figure")?.parse()?;
    Ok(kib * 1024)
}
