//! Long orders and long answers on connections that clients keep. The platform kills a gateway whose memory goes over
//! its limit.

#[path = "../stand-ins/site.rs"]
mod site;

use site::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Memory in MB and descriptors of the gateway.
const LIMITS: (u64, u64) = (32, 1024);
/// Clients, each with a connection that it keeps. So many of them order at one time, and the next ones so much later.
const CLIENTS: u64 = 384;
const CROWD: u64 = 48;
const EVERY_MS: u64 = 1_100;
const ROUNDS: u64 = 40;
/// Length of a long value, and of a short one.
const LONG: usize = 64 * 1024;
const SHORT: usize = 100;
const WORK_MS: u64 = 60;

fn main() {
    let places = Places::from_arguments();
    let record = Record::create(&places.case.join("record.txt"));
    let length = if trouble() { LONG } else { SHORT };
    record.say(format!("orders and answers of {length} bytes"));
    let hosts = Hosts::start(&record, 10, 8, &Arc::default(), move |_, _, _| Deed {
        value_bytes: length,
        ..Deed::serve(WORK_MS)
    });
    let counter = start_counter();
    let entries = in_service(&hosts.addresses);
    let known = list_json(41, true, &entries);
    let agent = Agent::start(&record, entries, false, str::to_owned);
    let mut gateway = Gateway::start_within(LIMITS, &places, 0, SETTINGS, &known, agent.address, counter);
    gateway.wait_until_ready();
    if gateway.resident_kb() == 0 {
        cannot_run("the system does not tell the memory of a process");
    }
    record.say(format!("ready with {} kB of {} MB", gateway.resident_kb(), LIMITS.0));

    let killed = Arc::new(AtomicBool::new(false));
    let waiting = Arc::new(AtomicUsize::new(0));
    // Served, refused, failed, ended without an answer.
    let counts = Arc::new(Mutex::new([0u64; 4]));
    let start = Instant::now();
    for client in 0..CLIENTS {
        let (record, counts) = (record.clone(), counts.clone());
        let (killed, waiting, address) = (killed.clone(), waiting.clone(), gateway.address);
        thread::spawn(move || {
            let mut connection = None;
            for round in (client / CROWD..ROUNDS).step_by((CLIENTS / CROWD) as usize) {
                let at = start + Duration::from_millis(round * EVERY_MS);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                if killed.load(Ordering::SeqCst) {
                    return;
                }
                // A request that meets the end of a connection at rest is sent once more on a new one.
                for _ in 0..2 {
                    if connection.is_none() {
                        connection = connect(address).ok();
                    }
                    let Some((stream, input)) = connection.as_mut() else { continue };
                    let id = (client + 1) << 20 | round;
                    let bytes = call(true, 0x1000 + client % 60, id, "premium", 2000, &vec![b'x'; length]);
                    waiting.fetch_add(1, Ordering::SeqCst);
                    let written = stream.write_all(&bytes);
                    let answer = written.and_then(|()| input.answer());
                    waiting.fetch_sub(1, Ordering::SeqCst);
                    let (place, text) = match answer {
                        Ok(Answer::Value(_)) => (0, "served".to_owned()),
                        Ok(Answer::Busy) => (1, "refused".to_owned()),
                        Ok(Answer::Failed(line)) => (2, line),
                        Err(error) => (3, format!("no answer ({error})")),
                    };
                    record.line(format!("client gets {id:016x}: {text}"));
                    counts.lock().unwrap()[place] += 1;
                    if place < 3 {
                        break;
                    }
                    connection = None;
                }
            }
        });
    }
    let mut most_kb = 0;
    let mut last_line = Instant::now();
    let mut crashed = false;
    while start.elapsed() < Duration::from_millis(ROUNDS * EVERY_MS + 1_000) && !crashed {
        sleep_ms(20);
        let resident_kb = gateway.resident_kb();
        most_kb = most_kb.max(resident_kb);
        if last_line.elapsed() >= Duration::from_secs(1) {
            record.line(format!("the gateway has {resident_kb} kB, {:?}", counts.lock().unwrap()));
            last_line = Instant::now();
        }
        if resident_kb > LIMITS.0 * 1024 {
            // As the deployment page says; pages of files are left out, though they would count.
            let in_hand = waiting.load(Ordering::SeqCst);
            killed.store(true, Ordering::SeqCst);
            gateway.signal("KILL");
            record.say(format!("KILLED: {resident_kb} kB of {} MB, with {in_hand} orders in hand", LIMITS.0));
            crashed = true;
        } else if gateway.ended().is_some() {
            record.say("the gateway has ended by itself");
            crashed = true;
        }
    }
    let [served, refused, failed, none] = *counts.lock().unwrap();
    record.say(format!(
        "most memory {most_kb} kB of {} MB; orders served {served}, refused {refused}, failed {failed}, connection \
         ended {none}",
        LIMITS.0
    ));
    if served == 0 {
        cannot_run("nothing was served");
    }
    end(i32::from(crashed))
}
