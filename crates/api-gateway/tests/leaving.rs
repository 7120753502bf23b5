//! Clients of the real program that go in numbers and in one moment while their requests wait. Nothing of theirs is begun
//! any more, and nothing stays taken: a next client has as many attempts out at once as they had, and all connections
//! are given back.
#[expect(dead_code, reason = "other tests use the rest")]
mod sockets;

use serde_json::Value;
use sockets::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Where nobody listens.
const NOWHERE: &str = "127.0.0.1:9";
/// Clients that go, and the calls of each.
const CLIENTS: u64 = 100;
const CALLS: u64 = 3;
/// Attempts that one host has out at once.
const SLOTS: usize = 4;
/// Calls of the client that comes after them, and their ids.
const NEXT: std::ops::Range<u64> = 1_000..1_008;
/// What begins within this after a close is none of the gateway's faults.
const GRACE: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
enum Going {
    Closes,
    Resets,
    /// Closes with an answer unread, which its system makes a reset.
    Unread,
}

const GOINGS: [Going; 3] = [Going::Closes, Going::Resets, Going::Unread];

/// Idle connections to hosts last for half a second, so that in the end there are none. Requests have longer than any
/// wait of a test, or a busy machine would have them refused.
fn tight(cancel: bool) -> Value {
    let mut settings = settings();
    for class in settings["services"].as_array_mut().unwrap() {
        (class["aim"], class["hard-limit"]) = (60_000_000_000u64.into(), 60_000_000_000u64.into());
    }
    settings["allowed"]["conn-idle"] = 1_000_000_000u64.into();
    settings["allowed"]["cancel"] = cancel.into();
    settings
}

struct Scene {
    gateway: Program,
    hosts: Vec<SocketAddr>,
    _discovery: Discovery,
    _watch: Watch,
}

impl Scene {
    fn start(settings: Value, hosts: &[SocketAddr], counter: SocketAddr) -> Scene {
        let discovery = Discovery::start();
        let line = |(i, addr): (usize, &SocketAddr)| host_line(&format!("s-{i}"), *addr, "in_service", 0);
        let lines: Vec<Value> = hosts.iter().enumerate().map(line).collect();
        let gateway = Program::with_sockets(512, settings, &lines, discovery.addr, counter);
        let mut watch = discovery.watch();
        watch.tell(&list(1, false, &[]));
        gateway.client().until_ready();
        Scene { gateway, hosts: hosts.to_vec(), _discovery: discovery, _watch: watch }
    }

    /// Clients whose calls have been read: each has the answer to what stood before them.
    fn burst(&self) -> Vec<Client> {
        let ask = |number: u64| {
            let mut client = self.gateway.client();
            client.call(&["PING"]);
            (0..CALLS).for_each(|call| post(&mut client, CALLS * number + call, "of one who goes"));
            client
        };
        let clients: Vec<Client> = (0..CLIENTS).map(ask).collect();
        clients.iter().for_each(Client::until_answered);
        clients
    }

    /// When another client has been answered after them, the ends of these have been read.
    fn until_noticed(&self) {
        thread::sleep(GRACE);
        self.gateway.client().until_ready();
    }

    fn ask_next(&self) -> Client {
        let mut client = self.gateway.client();
        NEXT.for_each(|id| post(&mut client, id, "of the next"));
        client
    }

    /// The next client's calls come to the hosts, so many before any is answered, and no others.
    fn serve_next(&self, mut client: Client, hosts: &Peers, at_once: usize) {
        let command = || {
            let seen = hosts.command();
            assert_eq!(seen.words[4], "of the next", "{} begins after its client has gone", seen.words[2]);
            seen
        };
        let mut out: Vec<Seen> = (0..at_once).map(|_| command()).collect();
        for _ in NEXT {
            out.pop().unwrap_or_else(command).serve("served");
        }
        NEXT.for_each(|id| assert_eq!(client.answer(), "served", "{id}"));
        drop(client);
        let own = self.gateway.addr.port();
        let is_meant = |at: u16, peer: u16| at == own || self.hosts.iter().any(|host| host.port() == peer);
        until("all connections to be given back", || self.gateway.connections(is_meant) == 0);
    }
}

fn post(client: &mut Client, id: u64, body: &str) {
    let list = "c=order,t=team,d=60000,units=2,spread=1,first=0";
    client.call(&["CALL.POST", CUSTOMER, &format!("{id:016x}"), list, body]);
}

fn go(clients: Vec<Client>, going: Going) {
    for mut client in clients {
        match going {
            Going::Closes => assert_eq!(client.answer(), "+PONG"),
            Going::Resets => client.reset(),
            Going::Unread => {}
        }
    }
}

/// In what order clients go and what they wait for comes.
#[derive(Clone, Copy, Debug)]
enum Order {
    /// The ends of the clients have been read before.
    Noticed,
    /// Both lie with the system as the gateway looks.
    EndsFirst,
    AnswersFirst,
}

/// Answers of hosts to what is out.
#[derive(Clone, Copy, Debug)]
enum Says {
    Serves,
    /// Never ran: another host would do.
    TurnsAway,
}

impl Says {
    fn answer(self, out: &mut [Seen]) {
        out.iter_mut().for_each(|seen| match self {
            Says::Serves => seen.serve("late"),
            Says::TurnsAway => seen.write("-BUSY\r\n"),
        });
    }
}

#[test]
fn a_burst_that_goes_while_it_waits_for_slots_and_hosts_begins_nothing_and_leaves_nothing() {
    let orders = [Order::Noticed, Order::EndsFirst, Order::AnswersFirst];
    let pairs = GOINGS.into_iter().zip(orders).chain([(Going::Closes, Order::EndsFirst)]);
    for (says, (going, order)) in pairs.flat_map(|pair| [(Says::Serves, pair), (Says::TurnsAway, pair)]) {
        let hosts = Peers::start(2);
        let scene = Scene::start(tight(false), &hosts.addrs, NOWHERE.parse().unwrap());
        let clients = scene.burst();
        let mut out: Vec<Seen> = (0..2 * SLOTS).map(|_| hosts.command()).collect();
        match order {
            Order::Noticed => {
                go(clients, going);
                scene.until_noticed();
                says.answer(&mut out);
            }
            Order::EndsFirst | Order::AnswersFirst => {
                scene.gateway.freeze();
                if let Order::AnswersFirst = order {
                    says.answer(&mut out);
                    go(clients, going);
                } else {
                    go(clients, going);
                    says.answer(&mut out);
                }
                scene.gateway.thaw();
            }
        }
        // Turned away, hosts may get fewer.
        let at_once = if let Says::Serves = says { 2 * SLOTS } else { 1 };
        let client = scene.ask_next();
        scene.serve_next(client, &hosts, at_once);
    }
}

#[test]
fn the_attempts_of_a_burst_that_goes_are_cancelled_where_the_site_allows() {
    for going in GOINGS {
        let hosts = Peers::start(2);
        let scene = Scene::start(tight(true), &hosts.addrs, NOWHERE.parse().unwrap());
        let clients = scene.burst();
        let out: Vec<Seen> = (0..2 * SLOTS).map(|_| hosts.command()).collect();
        // Long before their time is over. In one moment: else slots that the first leave would go to those who have yet to leave.
        scene.gateway.freeze();
        go(clients, going);
        scene.gateway.thaw();
        hosts.all_end(out.iter().map(|seen| seen.conn).collect());
        let client = scene.ask_next();
        scene.serve_next(client, &hosts, 2 * SLOTS);
    }
}

#[test]
fn a_burst_that_goes_while_it_waits_for_connections_is_not_written_when_they_come_up() {
    for going in [Going::Closes, Going::Unread] {
        let (stuck, listener, full) = full_backlog();
        let mut settings = tight(false);
        settings["allowed"]["dial-timeout"] = 60_000_000_000u64.into();
        let scene = Scene::start(settings, &[stuck], NOWHERE.parse().unwrap());
        go(scene.burst(), going);
        scene.until_noticed();
        let client = scene.ask_next();
        drop(full);
        scene.serve_next(client, &Peers::behind(listener.into()), SLOTS);
    }
}

#[test]
fn a_burst_that_goes_while_it_waits_for_the_counter_is_not_sent_on_when_that_answers() {
    for going in [Going::Closes, Going::Resets] {
        let (hosts, counter) = (Peers::start(2), Peers::start(1));
        let mut settings = tight(false);
        settings["domain"]["shared-counter"] = true.into();
        settings["domain"]["counter-timeout"] = 9_000_000_000u64.into();
        let scene = Scene::start(settings, &hosts.addrs, counter.addrs[0]);
        let clients = scene.burst();
        let first = counter.command();
        assert_eq!(hosts.others(), 0, "it waits for nothing");
        go(clients, going);
        scene.until_noticed();
        thread::spawn(move || count(first, &counter));
        let client = scene.ask_next();
        scene.serve_next(client, &hosts, 2 * SLOTS);
    }
}

/// Answers all calls of a counter with their totals, from this one on.
fn count(mut seen: Seen, counter: &Peers) {
    let mut totals: BTreeMap<String, f64> = BTreeMap::new();
    loop {
        let total = totals.entry(seen.words[1].clone()).or_default();
        *total += seen.words[2].parse::<f64>().unwrap();
        let text = total.to_string();
        seen.write_late(&format!("${}\r\n{text}\r\n", text.len()));
        seen = counter.command();
    }
}
