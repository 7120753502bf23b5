//! How fast it goes: exchanges between clients and a host, in messages a second of real time.
//!
//! `cargo run --release -p simulated-runtime --example pingpong [EXCHANGES [CONNECTIONS]]`

use cluster_model::scenario::NetworkSpec;
use cluster_model::{MS, SECOND};
use runtime::{Env, Listener};
use simulated_runtime::{Halt, Place, Sim, SimConfig, SimEnv, SimListener, SimStream};
use std::io;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SIZE: usize = 200;

async fn serve(env: SimEnv, mut listener: SimListener) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        env.spawn(async move { drop(echo(stream).await) });
    }
}

async fn echo(mut stream: SimStream) -> io::Result<()> {
    let mut request = [0; SIZE];
    loop {
        stream.read_exact(&mut request).await?;
        stream.write_all(&request).await?;
    }
}

async fn ask(env: SimEnv, host: SocketAddr, exchanges: u64) -> io::Result<()> {
    let mut stream = env.connect(host).await?;
    let mut answer = [0; SIZE];
    for _ in 0..exchanges {
        stream.write_all(&[1; SIZE]).await?;
        stream.read_exact(&mut answer).await?;
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let argument = |position, usual| std::env::args().nth(position).map_or(Ok(usual), |text| text.parse());
    let exchanges: u64 = argument(1, 200_000)?;
    let connections: u64 = argument(2, 1)?.max(1);
    let network = NetworkSpec { inter_building: MS, jitter: 0.3, ..NetworkSpec::default() };
    let sim = Sim::new(SimConfig { seed: 1, start: 0, network });
    let host = sim.machine("host", Place::Building(1)).process("host");
    let listener = host.listen("0.0.0.0:80".parse()?, 65_535)?;
    let addr = listener.local_addr()?;
    host.clone().spawn(async move { drop(serve(host, listener).await) });
    let client = sim.machine("client", Place::Building(2)).process("client");
    for _ in 0..connections {
        let env = client.clone();
        client.spawn(async move { drop(ask(env, addr, exchanges / connections).await) });
    }
    measure(&sim, exchanges)?;
    Ok(())
}

fn measure(sim: &Sim, exchanges: u64) -> Result<(), Halt> {
    let start = Instant::now();
    // An exchange takes 2.6 ms at most.
    sim.run_until(exchanges * 3 * MS + SECOND)?;
    let seconds = start.elapsed().as_secs_f64();
    let stats = sim.stats();
    println!(
        "{exchanges} exchanges in {seconds:.3} s: {:.0} exchanges, {:.0} messages and {:.0} polls a second",
        exchanges as f64 / seconds,
        stats.packets as f64 / seconds,
        stats.polls as f64 / seconds
    );
    println!("digest {:032x}", sim.digest());
    Ok(())
}
