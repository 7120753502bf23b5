//! Many clients of the real program that disconnect simultaneously while their requests wait. None of these requests
//! may be forwarded afterwards, and no resource may stay occupied: the next client has as many attempts in flight as
//! they had, and all connections are closed.
#[expect(dead_code, reason = "other tests use the rest")]
mod sockets;

use serde_json::Value;
use sockets::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// An address on which nothing listens.
const CLOSED_ADDRESS: &str = "127.0.0.1:9";
/// Number of clients that disconnect, and of requests of each.
const CLIENTS: u64 = 100;
const REQUESTS: u64 = 3;
/// Maximum number of concurrent attempts at one host.
const SLOTS: usize = 4;
/// The ids of the requests of the client that connects after them.
const NEXT_IDS: std::ops::Range<u64> = 1_000..1_008;
/// Time after a close within which the gateway may still forward requests.
const CLOSE_GRACE: Duration = Duration::from_millis(100);

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    /// Closes with an answer unread, which the system turns into a reset.
    CloseUnread,
}

const DISCONNECTS: [Disconnect; 3] = [Disconnect::Close, Disconnect::Reset, Disconnect::CloseUnread];

/// Returns settings with an idle lifetime of half a second for connections to hosts, so that none is left at the end.
/// Deadlines are longer than any wait of a test, since requests could be rejected on a busy machine otherwise.
fn test_settings(cancel: bool) -> Value {
    let mut settings = settings();
    for class in settings["services"].as_array_mut().unwrap() {
        (class["aim"], class["hard-limit"]) = (60_000_000_000u64.into(), 60_000_000_000u64.into());
    }
    settings["allowed"]["conn-idle"] = 1_000_000_000u64.into();
    settings["allowed"]["cancel"] = cancel.into();
    settings
}

struct Site {
    gateway: Program,
    hosts: Vec<SocketAddr>,
    _discovery: Discovery,
    _watch: Watch,
}

impl Site {
    fn start(settings: Value, hosts: &[SocketAddr], counter: SocketAddr) -> Site {
        let discovery = Discovery::start();
        let line = |(i, addr): (usize, &SocketAddr)| host_entry(&format!("s-{i}"), *addr, "in_service", 0);
        let lines: Vec<Value> = hosts.iter().enumerate().map(line).collect();
        let gateway = Program::with_sockets(512, settings, &lines, discovery.addr, counter);
        let mut watch = discovery.accept_watch();
        watch.send_list(&endpoint_list(1, false, &[]));
        gateway.client().wait_until_ready();
        Site { gateway, hosts: hosts.to_vec(), _discovery: discovery, _watch: watch }
    }

    /// Connects clients that send requests, and returns them when the gateway has read all: each client has the answer
    /// to the PING before its requests.
    fn connect_clients(&self) -> Vec<Client> {
        let connect = |number: u64| {
            let mut client = self.gateway.client();
            client.send_command(&["PING"]);
            (0..REQUESTS).for_each(|request| {
                post(&mut client, REQUESTS * number + request, "of a disconnected client")
            });
            client
        };
        let clients: Vec<Client> = (0..CLIENTS).map(connect).collect();
        clients.iter().for_each(Client::wait_for_answer);
        clients
    }

    /// Waits until the gateway has noticed the disconnects: when it answers another client, it has read earlier ends.
    fn wait_until_noticed(&self) {
        thread::sleep(CLOSE_GRACE);
        self.gateway.client().wait_until_ready();
    }

    fn connect_next(&self) -> Client {
        let mut client = self.gateway.client();
        NEXT_IDS.for_each(|id| post(&mut client, id, "of the next client"));
        client
    }

    /// Serves the next client's requests, and checks that hosts get only these, with this number of concurrent
    /// attempts.
    fn serve_next(&self, mut client: Client, hosts: &Peers, concurrent: usize) {
        let next_command = || {
            let command = hosts.next_command();
            assert_eq!(
                command.arguments[4], "of the next client",
                "{} is forwarded after its client has disconnected",
                command.arguments[2]
            );
            command
        };
        let mut in_flight: Vec<ReceivedCommand> = (0..concurrent).map(|_| next_command()).collect();
        for _ in NEXT_IDS {
            in_flight.pop().unwrap_or_else(next_command).serve("served");
        }
        NEXT_IDS.for_each(|id| assert_eq!(client.read_answer(), "served", "{id}"));
        drop(client);
        let own_port = self.gateway.addr.port();
        let matches =
            |local: u16, peer: u16| local == own_port || self.hosts.iter().any(|host| host.port() == peer);
        wait_until("all connections to be closed", || self.gateway.count_connections(matches) == 0);
    }
}

fn post(client: &mut Client, id: u64, body: &str) {
    let list = "c=order,t=team,d=60000,units=2,spread=1,first=0";
    client.send_command(&["CALL.POST", CUSTOMER, &format!("{id:016x}"), list, body]);
}

fn disconnect_all(clients: Vec<Client>, kind: Disconnect) {
    for mut client in clients {
        match kind {
            Disconnect::Close => assert_eq!(client.read_answer(), "+PONG"),
            Disconnect::Reset => client.reset(),
            Disconnect::CloseUnread => {}
        }
    }
}

/// The order of the disconnects and of the answers that the clients wait for.
#[derive(Clone, Copy, Debug)]
enum Order {
    /// The gateway has read the disconnects before the answers arrive.
    Noticed,
    /// Both are in the system's buffers before the gateway reads either.
    DisconnectsFirst,
    AnswersFirst,
}

/// The answers of hosts to the attempts in flight.
#[derive(Clone, Copy, Debug)]
enum HostAnswer {
    Served,
    /// The request was not executed, so it could be retried at another host.
    Rejected,
}

impl HostAnswer {
    fn send(self, in_flight: &mut [ReceivedCommand]) {
        in_flight.iter_mut().for_each(|command| match self {
            HostAnswer::Served => command.serve("late"),
            HostAnswer::Rejected => command.write("-BUSY\r\n"),
        });
    }
}

#[test]
fn clients_that_disconnect_while_waiting_for_slots_and_hosts_leave_no_requests_or_resources() {
    let orders = [Order::Noticed, Order::DisconnectsFirst, Order::AnswersFirst];
    let pairs = DISCONNECTS.into_iter().zip(orders).chain([(Disconnect::Close, Order::DisconnectsFirst)]);
    for (answer, (disconnect, order)) in
        pairs.flat_map(|pair| [(HostAnswer::Served, pair), (HostAnswer::Rejected, pair)])
    {
        let hosts = Peers::start(2);
        let site = Site::start(test_settings(false), &hosts.addrs, CLOSED_ADDRESS.parse().unwrap());
        let clients = site.connect_clients();
        let mut in_flight: Vec<ReceivedCommand> = (0..2 * SLOTS).map(|_| hosts.next_command()).collect();
        match order {
            Order::Noticed => {
                disconnect_all(clients, disconnect);
                site.wait_until_noticed();
                answer.send(&mut in_flight);
            }
            Order::DisconnectsFirst | Order::AnswersFirst => {
                site.gateway.pause();
                if let Order::AnswersFirst = order {
                    answer.send(&mut in_flight);
                    disconnect_all(clients, disconnect);
                } else {
                    disconnect_all(clients, disconnect);
                    answer.send(&mut in_flight);
                }
                site.gateway.resume();
            }
        }
        // Hosts that rejected requests may get fewer concurrent attempts.
        let concurrent = if let HostAnswer::Served = answer { 2 * SLOTS } else { 1 };
        let client = site.connect_next();
        site.serve_next(client, &hosts, concurrent);
    }
}

#[test]
fn cancels_the_attempts_of_disconnected_clients_if_the_settings_allow() {
    for disconnect in DISCONNECTS {
        let hosts = Peers::start(2);
        let site = Site::start(test_settings(true), &hosts.addrs, CLOSED_ADDRESS.parse().unwrap());
        let clients = site.connect_clients();
        let in_flight: Vec<ReceivedCommand> = (0..2 * SLOTS).map(|_| hosts.next_command()).collect();
        // Long before their deadlines. Simultaneously, since a slot freed by the first disconnect would otherwise be
        // given to a client that is about to disconnect.
        site.gateway.pause();
        disconnect_all(clients, disconnect);
        site.gateway.resume();
        hosts.wait_for_ends(in_flight.iter().map(|command| command.connection).collect());
        let client = site.connect_next();
        site.serve_next(client, &hosts, 2 * SLOTS);
    }
}

#[test]
fn does_not_send_requests_of_clients_that_disconnect_while_waiting_for_connections() {
    for disconnect in [Disconnect::Close, Disconnect::CloseUnread] {
        let (stuck, listener, full) = full_backlog();
        let mut settings = test_settings(false);
        settings["allowed"]["dial-timeout"] = 60_000_000_000u64.into();
        let site = Site::start(settings, &[stuck], CLOSED_ADDRESS.parse().unwrap());
        disconnect_all(site.connect_clients(), disconnect);
        site.wait_until_noticed();
        let client = site.connect_next();
        drop(full);
        site.serve_next(client, &Peers::on_listener(listener.into()), SLOTS);
    }
}

#[test]
fn does_not_forward_requests_of_clients_that_disconnect_while_waiting_for_the_counter() {
    for disconnect in [Disconnect::Close, Disconnect::Reset] {
        let (hosts, counter) = (Peers::start(2), Peers::start(1));
        let mut settings = test_settings(false);
        settings["domain"]["shared-counter"] = true.into();
        settings["domain"]["counter-timeout"] = 9_000_000_000u64.into();
        let site = Site::start(settings, &hosts.addrs, counter.addrs[0]);
        let clients = site.connect_clients();
        let first = counter.next_command();
        assert_eq!(hosts.count_unread_commands(), 0, "the requests do not wait for the counter");
        disconnect_all(clients, disconnect);
        site.wait_until_noticed();
        thread::spawn(move || serve_counter(first, &counter));
        let client = site.connect_next();
        site.serve_next(client, &hosts, 2 * SLOTS);
    }
}

/// Answers this counter call and all further ones with the totals of their keys.
fn serve_counter(mut command: ReceivedCommand, counter: &Peers) {
    let mut totals: BTreeMap<String, f64> = BTreeMap::new();
    loop {
        let total = totals.entry(command.arguments[1].clone()).or_default();
        *total += command.arguments[2].parse::<f64>().unwrap();
        let text = total.to_string();
        command.write_ignoring_errors(&format!("${}\r\n{text}\r\n", text.len()));
        command = counter.next_command();
    }
}
