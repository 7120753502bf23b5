//! A gateway from its start to its stop.

use crate::clients::{self, Context, Limits, Room};
use crate::config::Config;
use crate::counter::MAX_LINKS;
use crate::crash::{self, CrashPoint};
use crate::discovery;
use crate::gateway::{Decisions, Gateway};
use crate::messages::{News, Phase};
use crate::routing::Routing;
use crate::unanswered::Unanswered;
use anyhow::{Context as _, Result};
use fennelbeam_env::{Env, Listener, Span, Task};
use fennelbeam_policy::policy::Policy;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;

const MS: Span = 1_000_000;
/// Descriptors for the listener, discovery, the runtime, standard streams and what is just closing.
const SPARE_SOCKETS: usize = 24;
/// New connections go on coming for up to 0.4 s after SIGTERM.
const STILL_ACCEPTING: Span = 450 * MS;
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
const AFTER_DEADLINE: Span = 600 * MS;

/// What the process is told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Answer what was taken, then end (SIGTERM).
    Terminate,
}

/// Serves until it is told to end and all that it has taken is answered, or its time for that is over.
///
/// `again` reads the configuration anew at each [`Signal::Reload`]; what it gives moves the addresses of
/// discovery and the counter, and puts the operators' files in force; an error changes nothing. Fails where it
/// cannot listen or the operators' files cannot be used.
pub async fn serve<E, F>(env: E, config: Config, again: F, signals: UnboundedReceiver<Signal>) -> Result<()>
where
    E: Env,
    F: Fn() -> Result<Config> + Send + Sync + 'static,
{
    serve_with::<E, Policy, F>(env, config, again, signals).await
}

pub(crate) async fn serve_with<E, D, F>(
    env: E,
    config: Config,
    again: F,
    mut signals: UnboundedReceiver<Signal>,
) -> Result<()>
where
    E: Env,
    D: Decisions,
    F: Fn() -> Result<Config> + Send + Sync + 'static,
{
    let site = Arc::new(config.site.clone());
    let routing = Routing::new(site.clone(), &config.operators).context("cannot use the operators' files")?;
    let listener = clients::listen(&env, config.listen);
    let listener = listener.with_context(|| format!("cannot listen on {}", config.listen))?;
    let address = listener.local_addr()?;
    let (inputs, inbox) = mpsc::unbounded_channel();
    let (tell, news) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(Phase::Starting);
    // A quarter for hosts: clients hold up to a third of all for requests, and what holds the rest open and
    // says nothing must not crowd those.
    let sockets = config.sockets - SPARE_SOCKETS - 2 * MAX_LINKS;
    let for_hosts = sockets / 4;
    let gateway: Gateway<E, D> =
        Gateway::new(env.clone(), &config, site.clone(), routing, &inputs, for_hosts, phase.clone());
    let unanswered = gateway.unanswered();
    env.spawn(gateway.run(news, inbox));
    let (agent, agents) = watch::channel(config.discovery);
    env.spawn(discovery::watch(env.clone(), agents, config.known.generation, tell.clone()));
    let context = Context {
        env: env.clone(),
        site: site.clone(),
        gateway: inputs.clone(),
        phase: phases,
        ids: Arc::default(),
        crowd: clients::Crowd::default(),
        room: Room::within(&config.budget()),
    };
    let limits = Limits { connections: sockets - for_hosts, callers: config.sockets / 4 };
    let accepting = env.spawn(clients::accept(listener, limits, context));
    tracing::info!("{} listens on {address}", config.name);

    let reloading = until_terminated(&mut signals, &again, &agent, &tell);
    reloading.await;
    // Signals go on coming while the gateway stops.
    env.spawn(async move { until_terminated(&mut signals, &again, &agent, &tell).await });
    let longest = site.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let stopping = stop(env.clone(), accepting, phase, unanswered);
    if env.timeout(longest + AFTER_DEADLINE, stopping).await.is_err() {
        tracing::warn!("stopped with requests unanswered");
    }
    Ok(())
}

/// Until the process is told to end. At each reload reads the configuration again, for the operators' files and
/// the addresses of discovery and the counter only.
async fn until_terminated<F: Fn() -> Result<Config>>(
    signals: &mut UnboundedReceiver<Signal>,
    again: &F,
    agent: &watch::Sender<SocketAddr>,
    gateway: &UnboundedSender<News>,
) {
    while let Some(Signal::Reload) = signals.recv().await {
        let config = match again() {
            Ok(config) => config,
            Err(error) => {
                tracing::warn!("configuration kept as it was: {error:#}");
                continue;
            }
        };
        crash::here(CrashPoint::ReloadRead);
        agent.send_if_modified(|addr| std::mem::replace(addr, config.discovery) != config.discovery);
        let _ = gateway.send(News::CounterAt(config.counter));
        let _ = gateway.send(News::Operators(Box::new(config.operators)));
        tracing::info!("configuration read again");
    }
}

/// Accepts a while longer, then answers what was taken and lets connections close between requests.
async fn stop<E: Env>(env: E, accepting: E::Task, phase: watch::Sender<Phase>, unanswered: Unanswered) {
    phase.send_replace(Phase::Stopping);
    env.sleep(STILL_ACCEPTING).await;
    accepting.abort();
    crash::here(CrashPoint::Stopping);
    phase.send_replace(Phase::Closing);
    // No request is unanswered, then no connection is left.
    unanswered.until_none().await;
    phase.closed().await;
}

#[cfg(test)]
mod tests {
    use super::*;
    use fennelbeam_env::Real;
    use fennelbeam_policy::api::{Action, Event, Settings, Time};
    use serde_json::json;
    use std::time::Duration;
    use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
    use tokio::net::{TcpListener, TcpStream};
    use tokio::time::timeout;

    /// The decision module, but that it panics at requests of six units, with half of what it wants said.
    struct Panics(Policy);

    impl Decisions for Panics {
        fn start(settings: Settings, seed: u64) -> Self {
            Panics(Policy::new(settings, seed))
        }
        fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
            let bad = matches!(&event, Event::Request(request) if request.units == 6.0);
            self.0.handle(now, event, actions);
            if bad {
                panic!("as the test wants");
            }
        }
    }

    /// The decision module, but that it panics where its plans change.
    struct Settled(Policy);

    impl Decisions for Settled {
        fn start(settings: Settings, seed: u64) -> Self {
            Settled(Policy::new(settings, seed))
        }
        fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
            assert!(!matches!(event, Event::Plans(_)), "as the test wants");
            self.0.handle(now, event, actions);
        }
    }

    fn config(host: SocketAddr) -> Config {
        let nowhere = "127.0.0.1:9";
        let host = json!({"instanceId": "s-1", "hostPort": host.to_string(), "lifecycle": "in_service"});
        let document = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": nowhere, "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"generation": 1, "reset": true, "instances": [host]},
            "settings": crate::config::sample("unsafe", 8_000_000_000, 9_000_000_000),
        });
        Config::parse(document.to_string().as_bytes()).unwrap()
    }

    struct Client(BufReader<TcpStream>);

    impl Client {
        async fn connect(address: SocketAddr) -> Client {
            Client(BufReader::new(TcpStream::connect(address).await.unwrap()))
        }
        async fn post(&mut self, id: u64, units: u32) {
            let list = format!("c=order,t=team,d=8500,units={units},spread=1,first=0");
            let text = format!(
                "*5\r\n$9\r\nCALL.POST\r\n$16\r\n0000000000000001\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n$1\r\nb\r\n",
                list.len()
            );
            self.0.get_mut().write_all(text.as_bytes()).await.unwrap();
        }
        async fn line(&mut self) -> String {
            let mut line = String::new();
            timeout(Duration::from_secs(20), self.0.read_line(&mut line)).await.expect("no answer").unwrap();
            line
        }
    }

    /// The next command that comes to a host, and its connection.
    async fn command(host: &TcpListener) -> (String, TcpStream) {
        let mut stream =
            timeout(Duration::from_secs(20), host.accept()).await.expect("no command").unwrap().0;
        let (mut text, mut buf) = (String::new(), [0; 512]);
        while !text.ends_with("\r\nb\r\n") {
            let n = stream.read(&mut buf).await.unwrap();
            text.push_str(std::str::from_utf8(&buf[..n]).unwrap());
        }
        (text, stream)
    }

    #[tokio::test]
    async fn a_panic_of_the_module_fails_what_it_held_and_nothing_after() {
        let host = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let config = config(host.local_addr().unwrap());
        let (_signals, signals) = mpsc::unbounded_channel();
        // Its own listener cannot be asked for its port from here: a free one is taken beforehand.
        let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let config = Config { listen: free, ..config };

        tokio::spawn(serve_with::<Real, Panics, _>(Real::start(), config, || anyhow::bail!("none"), signals));
        let (mut first, mut bad) = loop {
            tokio::task::yield_now().await;
            if let Ok(stream) = TcpStream::connect(free).await {
                break (Client(BufReader::new(stream)), Client::connect(free).await);
            }
        };
        first.post(1, 1).await;
        let (_, mut silent) = command(&host).await;
        let start = std::time::Instant::now();
        bad.post(2, 6).await;
        assert_eq!(bad.line().await, "-ERR failed\r\n");
        assert_eq!(first.line().await, "-ERR failed\r\n", "held by the module that is gone");
        assert_eq!(silent.read(&mut [0]).await.unwrap(), 0, "nobody waits for its attempt any more");
        assert!(start.elapsed() < Duration::from_secs(6), "only when they were overdue, after 8.5 s");
        first.post(3, 1).await;
        let (text, mut stream) = command(&host).await;
        assert!(text.contains("0000000000000003"), "half-said actions were carried out: {text}");
        stream.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n").await.unwrap();
        assert_eq!(first.line().await, "$1\r\n");
    }

    #[tokio::test]
    async fn a_reload_that_changes_nothing_is_no_news_to_the_module() {
        let host = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = host.local_addr().unwrap();
        let (tell, signals) = mpsc::unbounded_channel();
        let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let first = Config { listen: free, ..config(address) };
        tokio::spawn(serve_with::<Real, Settled, _>(
            Real::start(),
            first,
            move || Ok(config(address)),
            signals,
        ));
        let mut client = loop {
            tokio::task::yield_now().await;
            if let Ok(stream) = TcpStream::connect(free).await {
                break Client(BufReader::new(stream));
            }
        };
        client.post(1, 1).await;
        let (_, mut stream) = command(&host).await;
        (0..3).for_each(|_| tell.send(Signal::Reload).unwrap());
        // A second command is taken in behind the reloads.
        let mut other = Client::connect(free).await;
        other.post(2, 1).await;
        let (_, mut second) = command(&host).await;
        second.write_all(b"*3\r\n$1\r\nw\r\n$-1\r\n$-1\r\n").await.unwrap();
        assert_eq!(other.line().await, "$1\r\n");
        stream.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n").await.unwrap();
        assert_eq!(client.line().await, "$1\r\n", "what was in hand goes on");
    }
}
