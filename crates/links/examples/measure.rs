//! What a link costs: throughput, round trips, latency, CPU and memory, beside a direct connection.
//!
//!     cargo run --release -p fennelbeam-links --example measure
//!
//! Under `taskset -c N` all threads share one core.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fennelbeam_links::{Fault, LinkSet, LinkSpec, Messages, Settings, Way, Who};

type Outcome<T> = Result<T, Box<dyn std::error::Error>>;

const MESSAGE: usize = 200;
const ROUND_TRIPS: usize = 50_000;
const BULK: usize = 1 << 30;

fn main() -> Outcome<()> {
    let host = echo()?;
    let links = LinkSet::start(Settings { descriptors: 8192, ..Settings::default() })?;
    let ways = [
        ("direct", None),
        ("link, no messages counted", Some(Messages::None)),
        ("link, RESP2 counted", Some(Messages::Resp)),
    ];
    println!(
        "{MESSAGE} bytes there and back, {ROUND_TRIPS} times; {} MiB one way; medians of 5 turns\n",
        BULK >> 20
    );
    println!("| way | round trips/s | median us | p99 us | CPU of the link, us a message | MB/s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut turns: Vec<Vec<[f64; 5]>> = vec![Vec::new(); ways.len()];
    let mut addresses = Vec::new();
    for (name, messages) in ways {
        addresses.push(match messages {
            None => (host, sink()?),
            Some(messages) => (
                links.add(LinkSpec::to(name, host).messages(messages))?.1,
                links.add(LinkSpec::to(name, sink()?).messages(messages))?.1,
            ),
        });
    }
    // In turns, so that what else the machine does meets all of them.
    for _ in 0..5 {
        for (way, (echo, sink)) in addresses.iter().enumerate() {
            let cpu = link_cpu()?;
            let (per_s, median, p99) = round_trips(*echo)?;
            let cpu = (link_cpu()? - cpu).as_secs_f64() * 1e6 / (2 * ROUND_TRIPS) as f64;
            turns[way].push([per_s, median, p99, cpu, bulk(*sink)?]);
        }
    }
    for ((name, _), turns) in ways.iter().zip(&turns) {
        let of = |figure: usize| median(turns.iter().map(|turn| turn[figure]).collect());
        println!("| {name} | {:.0} | {:.1} | {:.1} | {:.2} | {:.0} |", of(0), of(1), of(2), of(3), of(4));
    }
    delays(&links, host)?;
    memory(&links, host)
}

/// Round trips a second, and the median and 99th percentile of one in microseconds.
fn round_trips(address: SocketAddr) -> Outcome<(f64, f64, f64)> {
    let mut stream = connect(address)?;
    // A RESP2 message of the size.
    let mut message = format!("*2\r\n$4\r\nECHO\r\n${}\r\n", MESSAGE - 22).into_bytes();
    message.resize(MESSAGE - 2, b'x');
    message.extend(b"\r\n");
    let mut answer = [0; MESSAGE];
    let mut took = Vec::with_capacity(ROUND_TRIPS);
    let begun = Instant::now();
    for _ in 0..ROUND_TRIPS {
        let sent = Instant::now();
        stream.write_all(&message)?;
        stream.read_exact(&mut answer)?;
        took.push(sent.elapsed().as_nanos() as f64 / 1e3);
    }
    let per_s = ROUND_TRIPS as f64 / begun.elapsed().as_secs_f64();
    took.sort_by(f64::total_cmp);
    Ok((per_s, took[ROUND_TRIPS / 2], took[ROUND_TRIPS * 99 / 100]))
}

/// Megabytes a second one way; the other side answers one byte at the end.
fn bulk(address: SocketAddr) -> Outcome<f64> {
    let mut stream = connect(address)?;
    let piece = vec![b'x'; 256 * 1024];
    let begun = Instant::now();
    for _ in 0..BULK / piece.len() {
        stream.write_all(&piece)?;
    }
    stream.shutdown(std::net::Shutdown::Write)?;
    stream.read_exact(&mut [0])?;
    Ok(BULK as f64 / 1e6 / begun.elapsed().as_secs_f64())
}

/// What a delay that was asked for comes to.
fn delays(links: &LinkSet, host: SocketAddr) -> Outcome<()> {
    println!("\n| delay each way | round trip, median us | p99 us |\n| --- | --- | --- |");
    let (link, address) = links.add(LinkSpec::to("late", host))?;
    for micros in [0, 300, 1000, 5000] {
        let base = Duration::from_micros(micros);
        let fault = Fault::Delay { way: Way::Both, base, jitter: Duration::ZERO };
        let fault = if micros > 0 { Some(links.begin(link, Who::Every, fault)?) } else { None };
        let mut stream = connect(address)?;
        let mut took = Vec::new();
        for _ in 0..400 {
            let sent = Instant::now();
            stream.write_all(b"PING\r\n")?;
            stream.read_exact(&mut [0; 6])?;
            took.push(sent.elapsed().as_nanos() as f64 / 1e3);
        }
        took.sort_by(f64::total_cmp);
        println!("| {:.1} ms | {:.0} | {:.0} |", micros as f64 / 1e3, took[200], took[396]);
        if let Some(fault) = fault {
            links.end(link, fault)?;
        }
    }
    Ok(())
}

/// What idle links and connections take of this process's memory; that of the system is not counted.
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
    // One message each, so that what a first message takes is in it.
    for pair in open.chunks_mut(2) {
        pair[1].write_all(b"PING\r\n")?;
        pair[0].read_exact(&mut [0; 6])?;
    }
    let with_connections = resident()?;
    links.remove(link)?;
    println!("\n| idle | bytes of memory each |\n| --- | --- |");
    println!("| link | {} |", (with_links - before) / LINKS as u64);
    println!(
        "| connection that has carried a message | {} |",
        (with_connections - open_before) / CONNECTIONS as u64
    );
    Ok(())
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of[of.len() / 2]
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A host that sends everything back.
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

/// A host that throws everything away, and says so at the end.
fn sink() -> io::Result<SocketAddr> {
    serve(|mut stream| {
        let mut piece = vec![0; 256 * 1024];
        while let Ok(1..) = stream.read(&mut piece) {}
        // Who does not wait for it has its figure already.
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

/// CPU time of the thread of links so far.
fn link_cpu() -> Outcome<Duration> {
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        if fs::read_to_string(path.join("comm"))?.trim() == "links" {
            let ran = fs::read_to_string(path.join("schedstat"))?;
            let nanos = ran.split(' ').next().unwrap_or("0").parse()?;
            return Ok(Duration::from_nanos(nanos));
        }
    }
    Err("no thread of links".into())
}

/// Bytes of memory in use.
fn resident() -> Outcome<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS")).ok_or("no VmRSS")?;
    let kib: u64 = line.split_whitespace().nth(1).ok_or("no figure")?.parse()?;
    Ok(kib * 1024)
}
