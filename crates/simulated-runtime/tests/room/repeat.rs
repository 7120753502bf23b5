//! The same seed gives the same run.

use crate::support::{echo, network, pair, pair_in, Pair, START};
use cluster_model::scenario::NetworkSpec;
use cluster_model::{MS, SECOND};
use runtime::{Env, Listener};
use simulated_runtime::{Cut, Packet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Four clients in exchanges with one host through jitter, a cut and the death of the host.
fn night(seed: u64, prepare: impl Fn(&Pair)) -> u128 {
    let room = pair_in(seed, NetworkSpec { jitter: 0.3, ..network() });
    prepare(&room);
    start_echo(&room.host, room.addr());
    for _ in 0..4 {
        let (env, addr) = (room.client.clone(), room.addr());
        room.client.spawn(async move {
            loop {
                if let Ok(mut stream) = env.connect(addr).await {
                    while stream.write_all(&[7; 300]).await.is_ok()
                        && stream.read_exact(&mut [0; 300]).await.is_ok()
                    {}
                }
                env.sleep(20 * MS).await;
            }
        });
    }
    let (a, b) = (vec![room.client_machine.id()], vec![room.host_machine.id()]);
    room.sim.at(START + 50 * MS, move |sim| {
        let cut = sim.cut(a, b, Cut::Silent);
        sim.at(START + 80 * MS, move |sim| sim.heal(cut));
    });
    let (host, machine, addr) = (room.host.process_id(), room.host_machine.clone(), room.addr());
    room.sim.at(START + 500 * MS, move |sim| sim.kill(host));
    room.sim.at(START + 600 * MS, move |_| start_echo(&machine.process("host"), addr));
    room.run(SECOND);
    room.sim.digest()
}

fn start_echo(host: &simulated_runtime::SimEnv, addr: std::net::SocketAddr) {
    let mut listener = host.listen(addr, 16).unwrap();
    let env = host.clone();
    host.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            env.spawn(echo(env.clone(), stream));
        }
    });
}

#[test]
fn the_same_seed_gives_the_same_digest_and_another_seed_another() {
    let digest = night(1, |_| {});
    assert_eq!(digest, night(1, |_| {}));
    assert_ne!(digest, night(2, |_| {}));
    // Written down once: debug and release builds, machines and releases agree.
    assert_eq!(format!("{digest:032x}"), "fb05d1f9b1535494c6a177db701f9224");
}

#[test]
fn a_digest_does_not_depend_on_being_watched() {
    let watched = night(1, |room| room.sim.trace(Box::new(|packet: &Packet| drop(packet.to_string()))));
    assert_eq!(watched, night(1, |_| {}));
}

#[test]
fn a_digest_depends_on_bytes_and_on_their_time() {
    let digest = |text: &'static str, pause: u64| {
        let room = pair();
        room.serve(echo);
        room.ask(move |env, mut stream| async move {
            env.sleep(pause).await;
            stream.write_all(text.as_bytes()).await.unwrap();
        });
        room.run(SECOND);
        room.sim.digest()
    };
    assert_eq!(digest("text", 5), digest("text", 5));
    assert_ne!(digest("text", 5), digest("texT", 5));
    assert_ne!(digest("text", 5), digest("text", 6));
}
