//! The program serves with the example configuration, which is also the one in the README.

#[allow(dead_code)] // other tests use the rest of it
mod sockets;

use serde_json::{json, Value};
use sockets::{encode_command, Peers, CUSTOMER, TIMEOUT};
use std::io::{BufRead, BufReader, Lines, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
const README: &str = include_str!("../../../README.md");
/// An address on which nothing listens.
const CLOSED_ADDRESS: &str = "127.0.0.1:9";

fn example() -> Value {
    serde_json::from_slice(&std::fs::read(EXAMPLE).unwrap()).unwrap()
}

fn api_gateway() -> Command {
    Command::new(env!("CARGO_BIN_EXE_api-gateway"))
}

/// The program serving with a configuration, which is killed when it is dropped.
struct Serving {
    child: Child,
    /// Kept open, since the program logs as long as it runs.
    log: Lines<BufReader<ChildStderr>>,
    file: PathBuf,
}

impl Serving {
    fn start(document: &Value, arguments: &[&str]) -> Serving {
        let name = format!("fennelbeam-example-{}{}.json", std::process::id(), arguments.len());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, document.to_string()).unwrap();
        let mut serve = api_gateway();
        serve
            .args(["serve", "--config"])
            .arg(&file)
            .args(arguments)
            .env_remove("ROUTER_CONFIG")
            .stderr(Stdio::piped());
        let mut child = serve.spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        Serving { child, log, file }
    }

    fn address(&mut self) -> SocketAddr {
        let mut lines = self.log.by_ref().map(Result::unwrap);
        let line = lines
            .find(|line| line.contains("listening name="))
            .expect("the program ended before it listened");
        line.rsplit_once("address=").unwrap().1.parse().unwrap()
    }

    fn terminate(&mut self) -> ExitStatus {
        let kill = format!("kill -TERM {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the gateway did not exit");
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A client of the gateway that reads answers by line.
struct LineClient(BufReader<TcpStream>);

impl LineClient {
    fn connect(to: SocketAddr) -> LineClient {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        LineClient(BufReader::new(stream))
    }

    fn send_command(&mut self, arguments: &[&str]) {
        self.0.get_mut().write_all(&encode_command(arguments)).unwrap();
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line.trim_end().to_owned()
    }

    /// Waits until the gateway answers PING: without discovery, it uses the cached hosts after a while.
    fn wait_until_ready(&mut self) {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            self.send_command(&["PING"]);
            if self.read_line() == "+PONG" {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the gateway did not become ready");
    }
}

#[test]
fn check_accepts_the_example() {
    let checked = api_gateway().arg("check").arg(EXAMPLE).output().unwrap();
    let output = String::from_utf8(checked.stdout).unwrap();
    assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
    for expected in ["can be used", "price-read, unit-order", "standard, premium", "knows 3 hosts"] {
        assert!(output.contains(expected), "{expected} is not in: {output}");
    }
}

#[test]
fn the_program_serves_with_the_example_and_stops_at_sigterm() {
    let hosts = Peers::start(3);
    let mut document = example();
    document["listen"] = json!("127.0.0.1:0");
    document["discovery"] = json!(CLOSED_ADDRESS);
    document["counter"] = json!(CLOSED_ADDRESS);
    let cached_hosts = document["known"]["instances"].as_array_mut().unwrap();
    assert_eq!(cached_hosts.len(), hosts.addrs.len());
    for (entry, addr) in cached_hosts.iter_mut().zip(&hosts.addrs) {
        entry["hostPort"] = json!(addr.to_string());
    }

    let mut gateway = Serving::start(&document, &[]);
    let mut client = LineClient::connect(gateway.address());
    client.wait_until_ready();
    let list = "c=unit-order,t=premium,d=2500,units=2,spread=3,first=0";
    client.send_command(&["CALL.POST", CUSTOMER, "00000000000000a1", list, "buy"]);
    let mut command = hosts.next_command();
    assert_eq!((command.arguments[0].as_str(), command.arguments[4].as_str()), ("CALL.POST", "buy"));
    command.serve("bought");
    assert_eq!((client.read_line(), client.read_line()), ("$6".to_owned(), "bought".to_owned()));

    assert_eq!(gateway.terminate().code(), Some(0));
}

#[test]
fn the_readme_shows_the_example() {
    assert!(README.contains("(deploy/example.json)"));
    let block = README.split("```json\n").nth(1).and_then(|rest| rest.split("```").next());
    let shown: Value = serde_json::from_str(block.expect("the README has no JSON block")).unwrap();
    let document = example();
    for (key, value) in shown.as_object().unwrap() {
        assert_eq!(value, &document[key], "{key}");
    }
    for key in document.as_object().unwrap().keys() {
        assert!(README.contains(&format!("| `{key}` | ")), "{key} is not documented");
    }
}

#[test]
fn the_json_log_has_the_fields_that_its_page_lists() {
    let mut document = example();
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    document["listen"] = free.to_string().into();
    document["discovery"] = CLOSED_ADDRESS.into();
    let mut serving = Serving::start(&document, &["--log-format", "json"]);
    let lines = serving.log.by_ref().map(|line| serde_json::from_str::<Value>(&line.unwrap()).unwrap());
    let mut lines = lines.filter(|line| line["message"] == "listening");
    let line = lines.next().expect("the program ended before it listened");
    let fields: Vec<&String> = line.as_object().unwrap().keys().collect();
    assert_eq!(fields, ["address", "level", "message", "name", "target", "timestamp"]);
    let page = include_str!("../../../docs/logging.md");
    assert!(fields.iter().all(|field| page.contains(&format!("| `{field}` |"))));
    assert_eq!(line["level"], "INFO");
}
