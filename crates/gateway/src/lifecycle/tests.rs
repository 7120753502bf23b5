use super::*;
use policy::api::{Action, Event, Settings, Time};
use runtime::SystemEnv;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// The decision module, except that it panics at a request of six units after it has added its actions.
struct PanicsAtSixUnits(Policy);

impl DecisionModule for PanicsAtSixUnits {
    fn start(settings: Settings, seed: u64) -> Self {
        PanicsAtSixUnits(Policy::new(settings, seed))
    }
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let panics = matches!(&event, Event::Request(request) if request.units == 6.0);
        self.0.handle(now, event, actions);
        if panics {
            panic!("intended by the test");
        }
    }
}

/// The decision module, except that it panics when its plans change.
struct PanicsAtChangedPlans(Policy);

impl DecisionModule for PanicsAtChangedPlans {
    fn start(settings: Settings, seed: u64) -> Self {
        PanicsAtChangedPlans(Policy::new(settings, seed))
    }
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        assert!(!matches!(event, Event::PlansChanged(_)), "intended by the test");
        self.0.handle(now, event, actions);
    }
}

fn config(host: SocketAddr) -> Config {
    let closed_port = "127.0.0.1:9";
    let host = json!({"instanceId": "s-1", "hostPort": host.to_string(), "lifecycle": "in_service"});
    let document = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": closed_port, "seed": "7",
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
    async fn send_request(&mut self, id: u64, units: u32) {
        let arguments = format!("c=order,t=team,d=8500,units={units},spread=1,first=0");
        let text = format!(
            "*5\r\n$9\r\nCALL.POST\r\n$16\r\n0000000000000001\r\n$16\r\n{id:016x}\r\n${}\r\n{arguments}\r\n$1\r\nb\r\n",
            arguments.len()
        );
        self.0.get_mut().write_all(text.as_bytes()).await.unwrap();
    }
    async fn line(&mut self) -> String {
        let mut line = String::new();
        timeout(Duration::from_secs(20), self.0.read_line(&mut line)).await.expect("no answer").unwrap();
        line
    }
}

/// Returns the next command that a host receives, and its connection.
async fn command(host: &TcpListener) -> (String, TcpStream) {
    let mut stream = timeout(Duration::from_secs(20), host.accept()).await.expect("no command").unwrap().0;
    let (mut text, mut buf) = (String::new(), [0; 512]);
    while !text.ends_with("\r\nb\r\n") {
        let n = stream.read(&mut buf).await.unwrap();
        text.push_str(std::str::from_utf8(&buf[..n]).unwrap());
    }
    (text, stream)
}

#[tokio::test]
async fn a_panic_of_the_decision_module_fails_its_requests_and_no_later_ones() {
    let host = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let config = config(host.local_addr().unwrap());
    let (_signals, signals) = mpsc::unbounded_channel();
    // The port of the gateway's listener is not accessible from here, so the test chooses a free one beforehand.
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = Config { listen: free, ..config };

    tokio::spawn(serve_with::<SystemEnv, PanicsAtSixUnits, _>(
        SystemEnv::start(),
        config,
        || anyhow::bail!("none"),
        signals,
    ));
    let (mut first, mut panicking) = loop {
        tokio::task::yield_now().await;
        if let Ok(stream) = TcpStream::connect(free).await {
            break (Client(BufReader::new(stream)), Client::connect(free).await);
        }
    };
    first.send_request(1, 1).await;
    let (_, mut abandoned) = command(&host).await;
    let start = std::time::Instant::now();
    panicking.send_request(2, 6).await;
    assert_eq!(panicking.line().await, "-ERR failed\r\n");
    assert_eq!(first.line().await, "-ERR failed\r\n", "the other request of the module");
    assert_eq!(
        abandoned.read(&mut [0]).await.unwrap(),
        0,
        "the connection of the abandoned attempt was not closed"
    );
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "the requests failed only at their deadline, after 8.5 s"
    );
    first.send_request(3, 1).await;
    let (text, mut stream) = command(&host).await;
    assert!(
        text.contains("0000000000000003"),
        "the actions of the module that panicked were executed: {text}"
    );
    stream.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n").await.unwrap();
    assert_eq!(first.line().await, "$1\r\n");
}

#[tokio::test]
async fn a_reload_without_changes_does_not_notify_the_decision_module() {
    let host = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = host.local_addr().unwrap();
    let (sender, signals) = mpsc::unbounded_channel();
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let first = Config { listen: free, ..config(address) };
    tokio::spawn(serve_with::<SystemEnv, PanicsAtChangedPlans, _>(
        SystemEnv::start(),
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
    client.send_request(1, 1).await;
    let (_, mut stream) = command(&host).await;
    (0..3).for_each(|_| sender.send(Signal::Reload).unwrap());
    // A second command is processed after the reloads.
    let mut other = Client::connect(free).await;
    other.send_request(2, 1).await;
    let (_, mut second) = command(&host).await;
    second.write_all(b"*3\r\n$1\r\nw\r\n$-1\r\n$-1\r\n").await.unwrap();
    assert_eq!(other.line().await, "$1\r\n");
    stream.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n").await.unwrap();
    assert_eq!(client.line().await, "$1\r\n", "the request in flight was not answered");
}
