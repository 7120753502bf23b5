//! A relay that decides nothing: it takes RESP commands from clients and passes them to hosts in turn, over a few
//! pipelined connections each. What it costs is the floor that any proxy of this kind pays on this runtime.

use bytes::BytesMut;
use resp::{decode, encode_array_header, encode_bulk, Frame};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, LocalSet};

const READ: usize = 16 * 1024;

/// A command on its way, and where its answer goes.
type Job = (BytesMut, oneshot::Sender<BytesMut>);

/// Serves until the process is ended: each host has so many connections.
pub fn run(listen: SocketAddr, hosts: &[SocketAddr], connections: usize) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(serve(listen, hosts, connections)))
}

async fn serve(listen: SocketAddr, hosts: &[SocketAddr], connections: usize) -> io::Result<()> {
    let mut lines = Vec::new();
    for host in hosts.iter().cycle().take(hosts.len() * connections) {
        let stream = TcpStream::connect(host).await?;
        stream.set_nodelay(true)?;
        let (jobs, inbox) = mpsc::unbounded_channel();
        spawn_local(carry(stream, inbox));
        lines.push(jobs);
    }
    let listener = TcpListener::bind(listen).await?;
    let lines = Rc::new(lines);
    let next = Rc::new(std::cell::Cell::new(0));
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        spawn_local(client(stream, lines.clone(), next.clone()));
    }
}

/// A client's connection: one command after the other.
async fn client(
    mut stream: TcpStream,
    lines: Rc<Vec<mpsc::UnboundedSender<Job>>>,
    next: Rc<std::cell::Cell<usize>>,
) -> io::Result<()> {
    let mut input = BytesMut::with_capacity(READ);
    loop {
        while let Some(frame) = decode(&mut input).map_err(|_| io::ErrorKind::InvalidData)? {
            let Frame::Array(words) = frame else { return Err(io::ErrorKind::InvalidData.into()) };
            if words.len() < 2 {
                stream.write_all(b"+PONG\r\n").await?;
                continue;
            }
            let mut command = BytesMut::with_capacity(256);
            put(&Frame::Array(words), &mut command);
            let (tell, answer) = oneshot::channel();
            next.set((next.get() + 1) % lines.len());
            if lines[next.get()].send((command, tell)).is_err() {
                return Err(io::ErrorKind::NotConnected.into());
            }
            let answer = answer.await.map_err(|_| io::ErrorKind::NotConnected)?;
            stream.write_all(&answer).await?;
        }
        input.reserve(READ);
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

/// A host's connection: commands are gathered into one write, and answers come in their order.
async fn carry(stream: TcpStream, mut jobs: mpsc::UnboundedReceiver<Job>) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let (expect, expected) = mpsc::unbounded_channel();
    spawn_local(answers(reader, expected));
    let (mut batch, mut out) = (Vec::new(), BytesMut::new());
    while jobs.recv_many(&mut batch, 64).await > 0 {
        for (command, tell) in batch.drain(..) {
            out.extend_from_slice(&command);
            if expect.send(tell).is_err() {
                return Err(io::ErrorKind::NotConnected.into());
            }
        }
        writer.write_all(&out).await?;
        out.clear();
    }
    Ok(())
}

async fn answers(
    mut reader: OwnedReadHalf,
    mut expected: mpsc::UnboundedReceiver<oneshot::Sender<BytesMut>>,
) -> io::Result<()> {
    let mut input = BytesMut::with_capacity(READ);
    let mut waiting = VecDeque::new();
    loop {
        if reader.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
        while let Some(frame) = decode(&mut input).map_err(|_| io::ErrorKind::InvalidData)? {
            while let Ok(tell) = expected.try_recv() {
                waiting.push_back(tell);
            }
            let Some(tell): Option<oneshot::Sender<BytesMut>> = waiting.pop_front() else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let mut answer = BytesMut::with_capacity(128);
            // As the gateway does, it passes on the value of an answer.
            match frame {
                Frame::Array(parts) => parts.first().into_iter().for_each(|value| put(value, &mut answer)),
                other => put(&other, &mut answer),
            }
            let _ = tell.send(answer);
        }
        input.reserve(READ);
    }
}

fn put(frame: &Frame, out: &mut BytesMut) {
    let mut line = |kind: u8, text: &[u8]| {
        out.extend_from_slice(&[kind]);
        out.extend_from_slice(text);
        out.extend_from_slice(b"\r\n");
    };
    match frame {
        Frame::Simple(text) => line(b'+', text),
        Frame::Error(text) => line(b'-', text),
        Frame::Integer(text) => line(b':', text),
        Frame::Null => line(b'$', b"-1"),
        Frame::Bulk(value) => encode_bulk(out, value),
        Frame::Array(parts) => {
            encode_array_header(out, parts.len());
            parts.iter().for_each(|part| put(part, out));
        }
    }
}
