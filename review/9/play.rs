//! A planned restart of a gateway, while some clients write slowly: a request takes them 0.36 s. What has begun to come
//! before the gateway closes, and is written whole on a connection that it had accepted before SIGTERM, needs an answer.

#[path = "../stand-ins/site.rs"]
mod site;

use site::*;
use std::io::Write;
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Restarts, one after the other.
const RESTARTS: usize = 6;
/// Clients whose connections are open when SIGTERM comes.
const CLIENTS: u64 = 12;
/// Each begins its request this long after SIGTERM, and one more of these for each client before it.
const FIRST_BEGIN_MS: u64 = 100;
const BEGIN_STEP_MS: u64 = 30;
/// A request is written in so many pieces, with so much between them.
const PIECES: usize = 4;
const PAUSE_MS: u64 = 120;

fn main() {
    let places = Places::from_arguments();
    let record = Record::create(&places.case.join("record.txt"));
    let trouble = trouble();
    record.say(format!("planned restarts: {}", if trouble { RESTARTS } else { 0 }));
    let hosts = Hosts::start(&record, 9, 8, &Arc::default(), |_, _, _| Deed::serve(60));
    let counter = start_counter();
    let entries = in_service(&hosts.addresses);
    let known = list_json(41, true, &entries);
    let agent = Agent::start(&record, entries, false, str::to_owned);
    // Served, refused, failed, ended without an answer.
    let counts = Arc::new(Mutex::new([0u64; 4]));
    for restart in 0..RESTARTS {
        let mut gateway = Gateway::start(&places, 0, SETTINGS, &known, agent.address, counter);
        gateway.wait_until_ready();
        let barrier = Arc::new(Barrier::new(CLIENTS as usize + 1));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (record, all_counts, barrier) =
                    (record.clone(), counts.clone(), barrier.clone());
                let address = gateway.address;
                thread::spawn(move || {
                    let (mut stream, mut input) = connect(address).expect("a connection to the gateway");
                    let first_id = (restart as u64 + 1) << 16 | client << 1;
                    // Its connection has carried a request before.
                    stream
                        .write_all(&call(false, 0x1000 + client, first_id, "premium", 1500, b""))
                        .expect("written");
                    if !matches!(input.answer(), Ok(Answer::Value(_))) {
                        cannot_run("a request before the restart was not served");
                    }
                    barrier.wait();
                    let start = Instant::now();
                    let begin = Duration::from_millis(FIRST_BEGIN_MS + client * BEGIN_STEP_MS);
                    thread::sleep((start + begin).saturating_duration_since(Instant::now()));
                    let id = first_id + 1;
                    let bytes = call(true, 0x1000 + client, id, "premium", 2000, &[b'x'; 2000]);
                    let began = start.elapsed().as_millis();
                    let mut written = true;
                    for (number, piece) in bytes.chunks(bytes.len().div_ceil(PIECES)).enumerate() {
                        if number > 0 {
                            sleep_ms(PAUSE_MS);
                        }
                        written &= stream.write_all(piece).is_ok();
                    }
                    let whole = start.elapsed().as_millis();
                    record.line(format!(
                        "client writes {id:016x} from {began} to {whole} ms after SIGTERM, whole: {written}"
                    ));
                    let answer = input.answer();
                    let mut counts = all_counts.lock().unwrap();
                    let text = match answer {
                        Ok(Answer::Value(_)) => {
                            counts[0] += 1;
                            "served".to_owned()
                        }
                        Ok(Answer::Busy) => {
                            counts[1] += 1;
                            "refused".to_owned()
                        }
                        Ok(Answer::Failed(line)) => {
                            counts[2] += 1;
                            line
                        }
                        Err(error) if written => {
                            drop(counts);
                            // As PROTOCOL says, the client sends the request once more on a new connection.
                            let again = again(address, &bytes);
                            let mut counts = all_counts.lock().unwrap();
                            counts[if again.is_ok() { 0 } else { 3 }] += 1;
                            format!(
                                "NO ANSWER ({error}), begun {began} ms and whole {whole} ms after SIGTERM; on a new \
                                 connection: {again:?}"
                            )
                        }
                        Err(error) => format!("not written whole, {error}"),
                    };
                    record.say(format!("client gets {id:016x}: {text}"));
                })
            })
            .collect();
        barrier.wait();
        if trouble {
            gateway.signal("TERM");
        }
        for client in clients {
            if client.join().is_err() {
                cannot_run("a client has failed");
            }
        }
    }
    let [served, refused, failed, lost] = *counts.lock().unwrap();
    record.say(format!("served {served}, refused {refused}, failed {failed}, no answer {lost}"));
    end(i32::from(lost > 0))
}

/// Sends a request again on a new connection. Returns its answer.
fn again(address: std::net::SocketAddr, bytes: &[u8]) -> std::io::Result<Answer> {
    let (mut stream, mut input) = connect(address)?;
    stream.write_all(bytes)?;
    input.answer()
}
