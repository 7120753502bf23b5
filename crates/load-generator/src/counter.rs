//! A counter that answers at once and never fails: what it costs a gateway to ask is wanted here, not what becomes of
//! quotas.

use bytes::BytesMut;
use resp::{decode, encode_bulk, Frame};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Names that are kept at the most; then all are forgotten, as by a counter that is replaced.
const MOST_NAMES: usize = 4_000_000;

/// The counts.
#[derive(Debug, Default)]
pub struct Counter {
    totals: Mutex<HashMap<Vec<u8>, f64>>,
    /// Calls answered.
    pub calls: AtomicU64,
}

impl Counter {
    /// What a command gets.
    fn answer(&self, frame: &Frame, out: &mut BytesMut) {
        let words: Vec<&[u8]> = match frame {
            Frame::Array(words) => words.iter().filter_map(bulk).collect(),
            _ => Vec::new(),
        };
        let amount = |text: &[u8]| std::str::from_utf8(text).ok()?.parse::<f64>().ok();
        match words[..] {
            [name, key, by, _] if name.eq_ignore_ascii_case(b"ADDGET") => {
                self.calls.fetch_add(1, Ordering::Relaxed);
                let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
                if totals.len() >= MOST_NAMES {
                    totals.clear();
                }
                let total = totals.entry(key.to_vec()).or_default();
                *total += amount(by).unwrap_or(0.0);
                // Seven digits are exact, as the protocol says.
                encode_bulk(out, format!("{:.6e}", *total).as_bytes());
            }
            [name] if name.eq_ignore_ascii_case(b"PING") => out.extend_from_slice(b"+PONG\r\n"),
            _ => out.extend_from_slice(b"-ERR unknown\r\n"),
        }
    }
}

fn bulk(frame: &Frame) -> Option<&[u8]> {
    match frame {
        Frame::Bulk(bytes) => Some(bytes),
        _ => None,
    }
}

/// Starts one on loopback; it runs as long as the runtime does.
pub async fn start() -> io::Result<(Arc<Counter>, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let counter = Arc::new(Counter::default());
    let shared = counter.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve(stream, shared.clone()));
        }
    });
    Ok((counter, address))
}

async fn serve(mut stream: TcpStream, counter: Arc<Counter>) {
    let (mut input, mut out) = (BytesMut::with_capacity(16 * 1024), BytesMut::new());
    while let Ok(1..) = stream.read_buf(&mut input).await {
        while let Ok(Some(frame)) = decode(&mut input) {
            counter.answer(&frame, &mut out);
        }
        if stream.write_all(&out).await.is_err() {
            return;
        }
        out.clear();
        input.reserve(16 * 1024);
    }
}
