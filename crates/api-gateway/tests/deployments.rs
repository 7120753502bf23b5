//! The same program serves any deployment: the settings determine its behaviour, and a reload with another
//! configuration changes only addresses and operators' files.
#[allow(dead_code)] // other tests use the rest of it
mod sockets;

use serde_json::{json, Value};
use sockets::*;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
const DEPLOY: &str = include_str!("../../../deploy/balancer.toml");
/// An address on which nothing listens.
const CLOSED_ADDRESS: &str = "127.0.0.1:9";
const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
/// Lifetime of the keyed class's idempotency keys: a retry may start up to 0.1 s before its end.
const KEY_TTL: Duration = Duration::from_millis(1000);

/// Returns a class, with the lifetime of its keys if it is keyed.
fn class(name: &str, semantics: &str, limit_s: u64) -> Value {
    let mut class = settings()["services"][0].take();
    class["name"] = name.into();
    class["semantics"] = semantics.into();
    class["aim"] = (limit_s * NANOSECONDS_PER_SECOND).into();
    class["hard-limit"] = (limit_s * NANOSECONDS_PER_SECOND).into();
    if semantics == "keyed" {
        class["dedup-scope"] = "all".into();
        class["key-ttl"] = (KEY_TTL.as_nanos() as u64).into();
    }
    class
}

fn plan(name: &str, burst: f64) -> Value {
    let mut plan = settings()["tariffs"][0].take();
    plan["name"] = name.into();
    plan["burst"] = burst.into();
    plan["refill"] = (burst / 1e6).into();
    plan
}

/// Returns two deployments in which the same names have different meanings.
fn deployments() -> [Value; 2] {
    let mut one = settings();
    one["services"] = json!([class("look", "safe", 9), class("book", "unsafe", 9)]);
    one["tariffs"] = json!([plan("gold", 1e6), plan("tin", 2.0)]);
    one["allowed"]["max-attempts"] = 2.into();
    let mut other = settings();
    other["services"] =
        json!([class("book", "keyed", 9), class("look", "unsafe", 3), class("move", "safe", 5)]);
    other["tariffs"] = json!([plan("tin", 1e6)]);
    other["localities"] = json!(["hall", "a"]);
    [one, other]
}

/// Returns the command of the deploy file, with the path of the program under test.
fn deploy_command() -> Command {
    let run = DEPLOY.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"')).unwrap();
    let (built, here) =
        ("target/release/api-gateway ", concat!("'", env!("CARGO_BIN_EXE_api-gateway"), "' "));
    assert!(run.contains(built), "{run}");
    let mut command = Command::new("sh");
    command.args(["-c", &run.replace(built, here)]).current_dir(ROOT);
    command
}

/// A host that closes the connection of the next commands after their last byte, and serves all others.
struct Host {
    addr: SocketAddr,
    /// The number of commands whose connections are closed, and the delay before each close.
    failures: Arc<Mutex<(u32, Duration)>>,
}

impl Host {
    fn start() -> Host {
        let (peers, failures) = (Peers::start(1), Arc::new(Mutex::new((0, Duration::ZERO))));
        let (addr, remaining) = (peers.addrs[0], failures.clone());
        thread::spawn(move || loop {
            let mut command = peers.next_command();
            let (count, delay) = *remaining.lock().unwrap();
            if count == 0 {
                command.serve("served");
            } else {
                remaining.lock().unwrap().0 = count - 1;
                thread::sleep(delay);
                command.close();
            }
        });
        Host { addr, failures }
    }
}

fn start(command: Command, settings: Value, host: &Host, agent: SocketAddr, counter: SocketAddr) -> Program {
    let limits = json!({"cores": 1.0, "memory_mb": 64, "sockets": 128});
    let known = [host_entry("s-0", host.addr, "in_service", 0)];
    let program = Program::spawn(command, limits, settings, &known, agent, counter);
    program.client().wait_until_ready();
    program
}

/// Returns the answer to a request of a customer for one unit.
fn answer(program: &Program, verb: &str, customer: u64, list: &str) -> String {
    static ID: AtomicU64 = AtomicU64::new(1);
    let id = format!("{:016x}", ID.fetch_add(1, Ordering::Relaxed));
    let (customer, list) = (format!("{customer:016x}"), format!("{list},units=1,spread=1,first=0"));
    let mut arguments = vec![verb, &customer, &id, &list];
    if verb == "CALL.POST" {
        arguments.push("body");
    }
    let mut client = program.client();
    client.send_command(&arguments);
    client.read_answer()
}

#[test]
fn the_command_of_the_deploy_file_serves_each_deployment_by_its_settings() {
    const NONE: Duration = Duration::ZERO;
    let nowhere = CLOSED_ADDRESS.parse().unwrap();
    let hosts = [Host::start(), Host::start()];
    let [one, other] = deployments();
    let one = start(deploy_command(), one, &hosts[0], nowhere, nowhere);
    let other = start(deploy_command(), other, &hosts[1], nowhere, nowhere);
    let (wrong_command, no_class, no_plan) =
        ("-ERR wrong command for this class", "-ERR unknown class", "-ERR unknown plan");
    let bad_deadline = "-ERR bad or missing d";
    for (customer, (verb, list, at_one, at_other)) in (1..).zip([
        // Semantics: the command that a class requires.
        ("CALL.GET", "c=look,t=tin,d=2000", "served", wrong_command),
        ("CALL.POST", "c=look,t=tin,d=2000", wrong_command, "served"),
        ("CALL.POST", "c=book,t=tin,d=2000", "served", "served"),
        // Classes and plans that only one deployment has, and a class at another position in the list.
        ("CALL.GET", "c=move,t=tin,d=2000", no_class, "served"),
        ("CALL.POST", "c=book,t=gold,d=2000", "served", no_plan),
        // Deadlines.
        ("CALL.POST", "c=book,t=tin,d=9000", "served", "served"),
        ("CALL.POST", "c=look,t=tin,d=3001", wrong_command, bad_deadline),
        ("CALL.GET", "c=look,t=tin,d=3001", "served", bad_deadline),
        ("CALL.GET", "c=move,t=tin,d=5001", no_class, bad_deadline),
    ]) {
        for (program, expected) in [(&one, at_one), (&other, at_other)] {
            assert_eq!(answer(program, verb, customer, list), expected, "{verb} {list}");
        }
    }
    // Whether a request whose connection broke after its last byte is retried depends on the semantics, the lifetime of
    // the key and the limit of attempts. If it is not retried, a rejection allows the client to retry, which is not
    // allowed with an unsafe class.
    for (customer, (at_one, verb, list, failures, delay, expected)) in (100..).zip([
        (true, "CALL.GET", "c=look,t=gold,d=9000", 1, NONE, "served"),
        (true, "CALL.GET", "c=look,t=gold,d=9000", 2, NONE, "-BUSY"),
        (true, "CALL.POST", "c=book,t=gold,d=9000", 1, NONE, "-ERR failed"),
        (false, "CALL.POST", "c=look,t=tin,d=3000", 1, NONE, "-ERR failed"),
        (false, "CALL.GET", "c=move,t=tin,d=5000", 2, NONE, "served"),
        (false, "CALL.POST", "c=book,t=tin,d=9000", 1, NONE, "served"),
        (false, "CALL.POST", "c=book,t=tin,d=9000", 1, 2 * KEY_TTL, "-BUSY"),
    ]) {
        let (program, host) = if at_one { (&one, &hosts[0]) } else { (&other, &hosts[1]) };
        *host.failures.lock().unwrap() = (failures, delay);
        assert_eq!(answer(program, verb, customer, list), expected, "{verb} {list}, {failures} failures");
        assert_eq!(host.failures.lock().unwrap().0, 0, "{verb} {list}: too few attempts");
    }
    // The same plan has a burst of two units in one deployment, and a large one in the other.
    for (program, expected_range) in [(&one, 1..=2), (&other, 5..=5)] {
        let answers = (0..5).map(|_| answer(program, "CALL.POST", 7, "c=book,t=tin,d=2000"));
        assert!(
            expected_range.contains(&answers.filter(|answer| answer == "served").count()),
            "{expected_range:?}"
        );
    }
}

/// Returns the configuration of a program with different settings and these addresses.
fn document(program: &Program, settings: &Value, agent: SocketAddr, counter: SocketAddr) -> Value {
    let mut document = program.document().clone();
    document["settings"] = settings.clone();
    document["discovery"] = agent.to_string().into();
    document["counter"] = counter.to_string().into();
    document
}

fn lines_with(program: &Program, text: &str) -> Vec<String> {
    program.log().into_iter().filter(|line| line.contains(text)).collect()
}

#[test]
fn a_reload_to_another_deployment_moves_addresses_and_logs_keys_that_need_a_restart() {
    const RESTART_KEYS: &str = "take effect only at a start keys=";
    let nowhere = CLOSED_ADDRESS.parse().unwrap();
    let (host, agents) = (Host::start(), [(); 2].map(|()| Discovery::start()));
    let [one, other] = deployments();
    let program = start(deploy_command(), one.clone(), &host, agents[0].addr, nowhere);
    let is_one = |program: &Program| {
        answer(program, "CALL.GET", 1, "c=look,t=gold,d=9000") == "served"
            && answer(program, "CALL.GET", 1, "c=move,t=tin,d=2000") == "-ERR unknown class"
    };
    // Only the addresses differ: no key needs a restart.
    program.reload_text(&document(&program, &one, agents[1].addr, nowhere).to_string());
    agents[1].next_request();
    program.wait_for_log(1, "configuration reloaded");
    // A different deployment.
    let mut different = document(&program, &other, agents[0].addr, nowhere);
    different["limits"]["memory_mb"] = 32.into();
    program.reload_text(&different.to_string());
    program.wait_for_log(1, RESTART_KEYS);
    assert!(is_one(&program));
    // Only one key differs.
    let mut settings = one.clone();
    settings["services"][1]["hard-limit"] = (10 * NANOSECONDS_PER_SECOND).into();
    program.reload_text(&document(&program, &settings, agents[1].addr, nowhere).to_string());
    program.wait_for_log(2, RESTART_KEYS);
    // The first configuration again: no key needs a restart.
    program.reload_text(&program.document().to_string());
    program.wait_for_log(4, "configuration reloaded");
    assert!(is_one(&program));
    program.terminate();
    let mut program = program;
    assert!(program.wait_for_exit().success());
    let lines = lines_with(&program, RESTART_KEYS);
    let keys: Vec<&str> = lines.iter().map(|line| line.split(RESTART_KEYS).nth(1).unwrap()).collect();
    assert_eq!(keys.len(), 2, "{lines:?}");
    for key in ["`limits.memory_mb`", "`settings.services`", "`settings.tariffs`", "`settings.localities`"] {
        assert!(keys[0].contains(key), "{key}: {lines:?}");
    }
    assert_eq!(keys[1], "`settings.services[1].hard-limit`");
}

#[test]
fn an_invalid_reload_changes_nothing_and_is_logged_in_one_line_with_file_and_place() {
    let files = tempfile::tempdir().unwrap();
    let file = files.path().join("site.fb");
    let route = |class: &str| {
        format!("pool \"all\" {{}}\nroute \"r\" {{\n  classes = \"{class}\"\n  pool = \"all\"\n}}\n")
    };
    std::fs::write(&file, route("look")).unwrap();
    let nowhere = CLOSED_ADDRESS.parse().unwrap();
    let (host, agents) = (Host::start(), [(); 2].map(|()| Discovery::start()));
    let [one, other] = deployments();
    let mut serve = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
    serve.args(["serve", "--operator"]).arg(&file);
    let program = start(serve, one.clone(), &host, agents[0].addr, nowhere);
    let _watch = agents[0].accept_watch();
    let moved = document(&program, &one, agents[1].addr, nowhere);
    let mut bad_seed = moved.clone();
    bad_seed["seed"] = "no number".into();
    let mut bad_class = moved.clone();
    bad_class["settings"]["services"][1]["aim"] = (10 * NANOSECONDS_PER_SECOND).into();
    let elsewhere = document(&program, &other, agents[1].addr, nowhere);
    for (n, (text, operators, expected)) in (1..).zip([
        ("{\"name\": \"n0\",".to_owned(), route("look"), "EOF while parsing a value at line 1 column 14"),
        (moved.to_string(), "pool \"all\" {\n".to_owned(), "site.fb:1:1: error: "),
        (bad_seed.to_string(), route("look"), "`seed` is `no number`"),
        (bad_class.to_string(), route("look"), "`settings`: `services[1].aim` is 10000000000"),
        // Valid with the settings of that document, which a reload does not apply.
        (elsewhere.to_string(), route("move"), "site.fb:3:13: error: "),
    ]) {
        std::fs::write(&file, &operators).unwrap();
        program.reload_text(&text);
        program.wait_for_log(n, "configuration reload failed, the current one stays in effect error=");
        let line =
            lines_with(&program, "configuration reload failed, the current one stays in effect error=")
                .pop()
                .unwrap();
        assert!(line.contains(expected) && (line.contains(".json") || line.contains("site.fb:")), "{line}");
        assert_eq!(answer(&program, "CALL.GET", 1, "c=look,t=gold,d=9000"), "served");
    }
    // The second agent gets its first request after the first valid reload.
    assert!(!agents[1].has_request());
    std::fs::write(&file, route("book")).unwrap();
    program.reload_text(&moved.to_string());
    agents[1].next_request();
    program.wait_for_log(1, "configuration reloaded");
}

/// Starts a peer that answers each command with this text, and returns the count of commands.
fn start_peer_with_answer(text: &'static str) -> (SocketAddr, Arc<AtomicU64>) {
    let (peers, received) = (Peers::start(1), Arc::new(AtomicU64::new(0)));
    let (addr, count) = (peers.addrs[0], received.clone());
    thread::spawn(move || loop {
        let mut command = peers.next_command();
        count.fetch_add(1, Ordering::Relaxed);
        command.write_ignoring_errors(text);
    });
    (addr, received)
}

/// An agent that answers each watch with its current lists, and sends new lists on all open watches.
struct Agent {
    addr: SocketAddr,
    /// The current lists, and the open watches.
    state: Arc<Mutex<(Vec<Value>, Vec<Watch>)>>,
    answered: Receiver<()>,
}

impl Agent {
    fn start(first: Value) -> Agent {
        let (agent, (sender, answered)) = (Discovery::start(), channel());
        let (addr, state) = (agent.addr, Arc::new(Mutex::new((vec![first], Vec::new()))));
        let shared = state.clone();
        thread::spawn(move || loop {
            let mut watch = agent.accept_watch();
            let (lists, watches) = &mut *shared.lock().unwrap();
            for list in lists.iter() {
                watch.try_send_list(list);
            }
            watches.push(watch);
            if sender.send(()).is_err() {
                return;
            }
        });
        Agent { addr, state, answered }
    }

    /// Sends these lists, and waits until this number of further watches have been answered with them.
    fn send_lists(&self, lists: Vec<Value>, watches_to_answer: usize) {
        {
            let (current, watches) = &mut *self.state.lock().unwrap();
            watches.retain_mut(|watch| lists.iter().all(|list| watch.try_send_list(list)));
            *current = lists;
            self.answered.try_iter().for_each(drop);
        }
        (0..watches_to_answer)
            .for_each(|_| self.answered.recv_timeout(TIMEOUT).expect("the gateway opens no watch"));
    }
}

#[test]
fn a_protocol_violation_of_a_peer_affects_only_that_peer_and_is_logged_in_one_line() {
    let mut settings = settings();
    settings["domain"]["shared-counter"] = true.into();
    let good = Host::start();
    let ((host, host_commands), (counter, counter_commands)) =
        (start_peer_with_answer(":1\r\n"), start_peer_with_answer("*1\r\n:1\r\n"));
    let entries = [host_entry("s-0", good.addr, "in_service", 0), host_entry("s-1", host, "in_service", 0)];
    let (agent, start_time) = (Agent::start(endpoint_list(2, true, &entries)), Instant::now());
    let program =
        start(Command::new(env!("CARGO_BIN_EXE_api-gateway")), settings, &good, agent.addr, counter);
    // Reads are retried at the other host, so all are served; the gateway calls the counter for each customer.
    for customer in 1..20 {
        assert_eq!(answer(&program, "CALL.GET", customer, "c=read,t=team,d=8500"), "served");
    }
    // With the bad host as the only one, each attempt goes to it.
    agent.send_lists(vec![endpoint_list(3, true, &entries[1..])], 0);
    let end = Instant::now() + TIMEOUT;
    for customer in 20.. {
        answer(&program, "CALL.POST", customer, "c=order,t=team,d=8500");
        if [&host_commands, &counter_commands].iter().all(|count| count.load(Ordering::Relaxed) > 3) {
            break;
        }
        assert!(Instant::now() < end, "the bad peers got too few commands");
    }
    // Discovery sends invalid entries, and then text that is not a list, on each watch.
    let bad = json!({"instanceId": "s-2", "hostPort": 7, "lifecycle": "in_service"});
    let unreadable = |version| endpoint_list(version, false, &[bad.clone(), entries[1].clone()]);
    agent.send_lists((4..7).map(unreadable).collect(), 0);
    agent.send_lists(vec![json!("no list")], 3);
    agent.send_lists(vec![endpoint_list(7, true, &entries[..1])], 1);
    program.wait_for_log(1, "discovery is unreachable");
    for customer in 10_000..10_010 {
        assert_eq!(answer(&program, "CALL.GET", customer, "c=read,t=team,d=8500"), "served");
    }
    for (peer, message) in [
        (host, "host violated the protocol host=s-1 address=ADDR error=malformed answer"),
        (counter, "counter violated the protocol address=ADDR error=malformed answer"),
        (agent.addr, "the latest list stays in effect address=ADDR error=not a list of hosts"),
        (agent.addr, "endpoint list has invalid entries entries=1"),
    ] {
        let lines = lines_with(&program, &message.replace("ADDR", &peer.to_string()));
        // The second line is logged 10 s after the first at the earliest.
        let max_lines = 1 + start_time.elapsed().as_secs() as usize / 10;
        assert!((1..=max_lines).contains(&lines.len()), "{message}: {:?}", program.log());
        assert!(lines[0].contains("WARN"), "{lines:?}");
    }
}
