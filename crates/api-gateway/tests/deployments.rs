//! One program for any deployment: what it goes by comes with the settings, and what a reload takes of another document
//! is addresses and operators' files alone.
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
/// Where nobody listens.
const NOWHERE: &str = "127.0.0.1:9";
const SECOND: u64 = 1_000_000_000;
/// The window of the keyed class: a repeat may begin up to 0.1 s before its end.
const TTL: Duration = Duration::from_millis(1000);

/// A class, with its window where it is keyed.
fn class(name: &str, effect: &str, limit_s: u64) -> Value {
    let mut class = settings()["services"][0].take();
    class["name"] = name.into();
    class["semantics"] = effect.into();
    class["aim"] = (limit_s * SECOND).into();
    class["hard-limit"] = (limit_s * SECOND).into();
    if effect == "keyed" {
        class["dedup-scope"] = "all".into();
        class["key-ttl"] = (TTL.as_nanos() as u64).into();
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

/// Two deployments whose names say the opposite at the other one.
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

/// The program by the words of the deploy file, but for the place of its build.
fn run_words() -> Command {
    let run = DEPLOY.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"')).unwrap();
    let (built, here) =
        ("target/release/api-gateway ", concat!("'", env!("CARGO_BIN_EXE_api-gateway"), "' "));
    assert!(run.contains(built), "{run}");
    let mut command = Command::new("sh");
    command.args(["-c", &run.replace(built, here)]).current_dir(ROOT);
    command
}

/// A host that breaks so many commands after their last byte, each after a wait, and serves all others.
struct Host {
    addr: SocketAddr,
    breaks: Arc<Mutex<(u32, Duration)>>,
}

impl Host {
    fn start() -> Host {
        let (peers, breaks) = (Peers::start(1), Arc::new(Mutex::new((0, Duration::ZERO))));
        let (addr, left) = (peers.addrs[0], breaks.clone());
        thread::spawn(move || loop {
            let mut seen = peers.command();
            let (count, wait) = *left.lock().unwrap();
            if count == 0 {
                seen.serve("served");
            } else {
                left.lock().unwrap().0 = count - 1;
                thread::sleep(wait);
                seen.close();
            }
        });
        Host { addr, breaks }
    }
}

fn start(command: Command, settings: Value, host: &Host, agent: SocketAddr, counter: SocketAddr) -> Program {
    let limits = json!({"cores": 1.0, "memory_mb": 64, "sockets": 128});
    let known = [host_line("s-0", host.addr, "in_service", 0)];
    let program = Program::spawn(command, limits, settings, &known, agent, counter);
    program.client().until_ready();
    program
}

/// The answer to a call of a customer, for one unit.
fn answer(program: &Program, verb: &str, customer: u64, list: &str) -> String {
    static ID: AtomicU64 = AtomicU64::new(1);
    let id = format!("{:016x}", ID.fetch_add(1, Ordering::Relaxed));
    let (customer, list) = (format!("{customer:016x}"), format!("{list},units=1,spread=1,first=0"));
    let mut words = vec![verb, &customer, &id, &list];
    if verb == "CALL.POST" {
        words.push("body");
    }
    let mut client = program.client();
    client.call(&words);
    client.answer()
}

#[test]
fn the_words_of_the_deploy_file_serve_any_deployment_by_its_own_settings() {
    const NONE: Duration = Duration::ZERO;
    let nowhere = NOWHERE.parse().unwrap();
    let hosts = [Host::start(), Host::start()];
    let [one, other] = deployments();
    let one = start(run_words(), one, &hosts[0], nowhere, nowhere);
    let other = start(run_words(), other, &hosts[1], nowhere, nowhere);
    let (wrong, no_class, no_plan) =
        ("-ERR wrong command for this class", "-ERR unknown class", "-ERR unknown plan");
    let long = "-ERR bad or missing d";
    for (customer, (verb, list, at_one, at_other)) in (1..).zip([
        // Effect: the command that a class wants.
        ("CALL.GET", "c=look,t=tin,d=2000", "served", wrong),
        ("CALL.POST", "c=look,t=tin,d=2000", wrong, "served"),
        ("CALL.POST", "c=book,t=tin,d=2000", "served", "served"),
        // Classes and plans that only one has, and a class of another place in the list.
        ("CALL.GET", "c=move,t=tin,d=2000", no_class, "served"),
        ("CALL.POST", "c=book,t=gold,d=2000", "served", no_plan),
        // Deadlines.
        ("CALL.POST", "c=book,t=tin,d=9000", "served", "served"),
        ("CALL.POST", "c=look,t=tin,d=3001", wrong, long),
        ("CALL.GET", "c=look,t=tin,d=3001", "served", long),
        ("CALL.GET", "c=move,t=tin,d=5001", no_class, long),
    ]) {
        for (program, wanted) in [(&one, at_one), (&other, at_other)] {
            assert_eq!(answer(program, verb, customer, list), wanted, "{verb} {list}");
        }
    }
    // Whether what broke after its last byte comes again: by effect, window and limit of attempts. Where it does not, a
    // refusal says that a client may ask again, which it may not with an unsafe class.
    for (customer, (at_one, verb, list, breaks, wait, wanted)) in (100..).zip([
        (true, "CALL.GET", "c=look,t=gold,d=9000", 1, NONE, "served"),
        (true, "CALL.GET", "c=look,t=gold,d=9000", 2, NONE, "-BUSY"),
        (true, "CALL.POST", "c=book,t=gold,d=9000", 1, NONE, "-ERR failed"),
        (false, "CALL.POST", "c=look,t=tin,d=3000", 1, NONE, "-ERR failed"),
        (false, "CALL.GET", "c=move,t=tin,d=5000", 2, NONE, "served"),
        (false, "CALL.POST", "c=book,t=tin,d=9000", 1, NONE, "served"),
        (false, "CALL.POST", "c=book,t=tin,d=9000", 1, 2 * TTL, "-BUSY"),
    ]) {
        let (program, host) = if at_one { (&one, &hosts[0]) } else { (&other, &hosts[1]) };
        *host.breaks.lock().unwrap() = (breaks, wait);
        assert_eq!(answer(program, verb, customer, list), wanted, "{verb} {list}, {breaks} breaks");
        assert_eq!(host.breaks.lock().unwrap().0, 0, "{verb} {list}: it came too seldom");
    }
    // The same plan holds two units at one, and many at the other.
    for (program, wanted) in [(&one, 1..=2), (&other, 5..=5)] {
        let answers = (0..5).map(|_| answer(program, "CALL.POST", 7, "c=book,t=tin,d=2000"));
        assert!(wanted.contains(&answers.filter(|answer| answer == "served").count()), "{wanted:?}");
    }
}

/// The document of a program with other settings, and these addresses.
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
fn a_reload_to_another_deployment_moves_addresses_and_says_what_it_leaves_for_a_start() {
    const LEFT: &str = "take effect only at a start keys=";
    let nowhere = NOWHERE.parse().unwrap();
    let (host, agents) = (Host::start(), [(); 2].map(|()| Discovery::start()));
    let [one, other] = deployments();
    let program = start(run_words(), one.clone(), &host, agents[0].addr, nowhere);
    let is_one = |program: &Program| {
        answer(program, "CALL.GET", 1, "c=look,t=gold,d=9000") == "served"
            && answer(program, "CALL.GET", 1, "c=move,t=tin,d=2000") == "-ERR unknown class"
    };
    // The addresses alone: nothing is left to say.
    program.reload_text(&document(&program, &one, agents[1].addr, nowhere).to_string());
    agents[1].asked();
    program.until_logged(1, "configuration reloaded");
    // Another deployment.
    let mut whole = document(&program, &other, agents[0].addr, nowhere);
    whole["limits"]["memory_mb"] = 32.into();
    program.reload_text(&whole.to_string());
    program.until_logged(1, LEFT);
    assert!(is_one(&program));
    // One key of it.
    let mut settings = one.clone();
    settings["services"][1]["hard-limit"] = (10 * SECOND).into();
    program.reload_text(&document(&program, &settings, agents[1].addr, nowhere).to_string());
    program.until_logged(2, LEFT);
    // Back to the first one: again nothing is left to say.
    program.reload_text(&program.document().to_string());
    program.until_logged(4, "configuration reloaded");
    assert!(is_one(&program));
    program.terminate();
    let mut program = program;
    assert!(program.exit().success());
    let lines = lines_with(&program, LEFT);
    let keys: Vec<&str> = lines.iter().map(|line| line.split(LEFT).nth(1).unwrap()).collect();
    assert_eq!(keys.len(), 2, "{lines:?}");
    for key in ["`limits.memory_mb`", "`settings.services`", "`settings.tariffs`", "`settings.localities`"] {
        assert!(keys[0].contains(key), "{key}: {lines:?}");
    }
    assert_eq!(keys[1], "`settings.services[1].hard-limit`");
}

#[test]
fn a_reload_that_cannot_be_used_changes_nothing_and_is_one_line_with_file_and_place() {
    let files = tempfile::tempdir().unwrap();
    let file = files.path().join("site.fb");
    let route = |class: &str| {
        format!("pool \"all\" {{}}\nroute \"r\" {{\n  classes = \"{class}\"\n  pool = \"all\"\n}}\n")
    };
    std::fs::write(&file, route("look")).unwrap();
    let nowhere = NOWHERE.parse().unwrap();
    let (host, agents) = (Host::start(), [(); 2].map(|()| Discovery::start()));
    let [one, other] = deployments();
    let mut serve = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
    serve.args(["serve", "--operator"]).arg(&file);
    let program = start(serve, one.clone(), &host, agents[0].addr, nowhere);
    let _watch = agents[0].watch();
    let moved = document(&program, &one, agents[1].addr, nowhere);
    let mut bad_seed = moved.clone();
    bad_seed["seed"] = "no number".into();
    let mut bad_class = moved.clone();
    bad_class["settings"]["services"][1]["aim"] = (10 * SECOND).into();
    let elsewhere = document(&program, &other, agents[1].addr, nowhere);
    for (n, (text, operators, named)) in (1..).zip([
        ("{\"name\": \"n0\",".to_owned(), route("look"), "EOF while parsing a value at line 1 column 14"),
        (moved.to_string(), "pool \"all\" {\n".to_owned(), "site.fb:1:1: error: "),
        (bad_seed.to_string(), route("look"), "`seed` is `no number`"),
        (bad_class.to_string(), route("look"), "`settings`: `services[1].aim` is 10000000000"),
        // Good by the settings of that document, which no reload takes.
        (elsewhere.to_string(), route("move"), "site.fb:3:13: error: "),
    ]) {
        std::fs::write(&file, &operators).unwrap();
        program.reload_text(&text);
        program.until_logged(n, "configuration reload failed, the current one stays in effect error=");
        let line =
            lines_with(&program, "configuration reload failed, the current one stays in effect error=")
                .pop()
                .unwrap();
        assert!(line.contains(named) && (line.contains(".json") || line.contains("site.fb:")), "{line}");
        assert_eq!(answer(&program, "CALL.GET", 1, "c=look,t=gold,d=9000"), "served");
    }
    // The first address at which the second agent is asked is the one of the reload that can be used.
    assert!(!agents[1].was_asked());
    std::fs::write(&file, route("book")).unwrap();
    program.reload_text(&moved.to_string());
    agents[1].asked();
    program.until_logged(1, "configuration reloaded");
}

/// Answers with this to each command, and counts them.
fn talker(text: &'static str) -> (SocketAddr, Arc<AtomicU64>) {
    let (peers, asked) = (Peers::start(1), Arc::new(AtomicU64::new(0)));
    let (addr, count) = (peers.addrs[0], asked.clone());
    thread::spawn(move || loop {
        let mut seen = peers.command();
        count.fetch_add(1, Ordering::Relaxed);
        seen.write_late(text);
    });
    (addr, asked)
}

/// An agent that answers each question with the lists that it has then, and tells others on all watches.
struct Agent {
    addr: SocketAddr,
    says: Arc<Mutex<(Vec<Value>, Vec<Watch>)>>,
    answered: Receiver<()>,
}

impl Agent {
    fn start(first: Value) -> Agent {
        let (agent, (tell, answered)) = (Discovery::start(), channel());
        let (addr, says) = (agent.addr, Arc::new(Mutex::new((vec![first], Vec::new()))));
        let told = says.clone();
        thread::spawn(move || loop {
            let mut watch = agent.watch();
            let (lists, watches) = &mut *told.lock().unwrap();
            for list in lists.iter() {
                watch.try_tell(list);
            }
            watches.push(watch);
            if tell.send(()).is_err() {
                return;
            }
        });
        Agent { addr, says, answered }
    }

    /// Tells these lists, and answers so many questions with them.
    fn tell(&self, lists: Vec<Value>, questions: usize) {
        {
            let (says, watches) = &mut *self.says.lock().unwrap();
            watches.retain_mut(|watch| lists.iter().all(|list| watch.try_tell(list)));
            *says = lists;
            self.answered.try_iter().for_each(drop);
        }
        (0..questions).for_each(|_| self.answered.recv_timeout(LONG).expect("no question"));
    }
}

#[test]
fn nonsense_from_a_peer_is_its_own_failure_and_one_line() {
    let mut settings = settings();
    settings["domain"]["shared-counter"] = true.into();
    let good = Host::start();
    let ((host, at_host), (counter, at_counter)) = (talker(":1\r\n"), talker("*1\r\n:1\r\n"));
    let entries = [host_line("s-0", good.addr, "in_service", 0), host_line("s-1", host, "in_service", 0)];
    let (agent, began) = (Agent::start(list(2, true, &entries)), Instant::now());
    let program =
        start(Command::new(env!("CARGO_BIN_EXE_api-gateway")), settings, &good, agent.addr, counter);
    // Reads are asked anew at the other host, so all are served; the counter is asked for each customer.
    for customer in 1..20 {
        assert_eq!(answer(&program, "CALL.GET", customer, "c=read,t=team,d=8500"), "served");
    }
    // Before the bad host alone each attempt meets it.
    agent.tell(vec![list(3, true, &entries[1..])], 0);
    let end = Instant::now() + LONG;
    for customer in 20.. {
        answer(&program, "CALL.POST", customer, "c=order,t=team,d=8500");
        if [&at_host, &at_counter].iter().all(|asked| asked.load(Ordering::Relaxed) > 3) {
            break;
        }
        assert!(Instant::now() < end, "the bad peers were not asked");
    }
    // Discovery goes on with entries that cannot be read, and then with nonsense, at each question.
    let bad = json!({"instanceId": "s-2", "hostPort": 7, "lifecycle": "in_service"});
    let unreadable = |version| list(version, false, &[bad.clone(), entries[1].clone()]);
    agent.tell((4..7).map(unreadable).collect(), 0);
    agent.tell(vec![json!("no list")], 3);
    agent.tell(vec![list(7, true, &entries[..1])], 1);
    program.until_logged(1, "discovery is unreachable");
    for customer in 10_000..10_010 {
        assert_eq!(answer(&program, "CALL.GET", customer, "c=read,t=team,d=8500"), "served");
    }
    for (peer, told) in [
        (host, "host violated the protocol host=s-1 address=ADDR error=malformed answer"),
        (counter, "counter violated the protocol address=ADDR error=malformed answer"),
        (agent.addr, "the latest list stays in effect address=ADDR error=not a list of hosts"),
        (agent.addr, "endpoint list has invalid entries entries=1"),
    ] {
        let lines = lines_with(&program, &told.replace("ADDR", &peer.to_string()));
        // The second line comes 10 s after the first at the earliest.
        let most = 1 + began.elapsed().as_secs() as usize / 10;
        assert!((1..=most).contains(&lines.len()), "{told}: {:?}", program.log());
        assert!(lines[0].contains("WARN"), "{lines:?}");
    }
}
