//! Checks each fault of a link with plain sockets on both sides of the link.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fault_proxy::{
    ConnectionSelector, Counts, Direction, Directions, End, EventKind, Fault, Framing, LinkError, LinkId,
    LinkSet, LinkSpec, Plan, Settings, Trigger,
};
use socket2::{Domain, SockRef, Socket, Type};

use Direction::{Answers, Calls};

/// Timeout for expected events; long enough for a heavily loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// One link in front of a listener.
struct LinkFixture {
    links: LinkSet,
    link: LinkId,
    address: SocketAddr,
    host: TcpListener,
}

impl LinkFixture {
    fn new() -> LinkFixture {
        LinkFixture::with(Settings::default())
    }

    fn with(settings: Settings) -> LinkFixture {
        let host = TcpListener::bind("127.0.0.1:0").expect("a port");
        let links = LinkSet::start(settings).expect("a thread");
        let spec = LinkSpec::to("to host", host.local_addr().expect("an address"));
        let (link, address) = links.add(spec.messages(Framing::Lines)).expect("a link");
        LinkFixture { links, link, address, host }
    }

    fn begin(&self, fault: Fault) -> fault_proxy::FaultId {
        self.links.begin(self.link, ConnectionSelector::Every, fault).expect("a fault")
    }

    fn connect(&self) -> TcpStream {
        with_read_timeout(TcpStream::connect(self.address).expect("a connection"))
    }

    fn accept(&self) -> TcpStream {
        self.host.set_nonblocking(false).expect("blocking");
        with_read_timeout(self.host.accept().expect("a connection").0)
    }

    /// Opens a connection through the link and returns both ends.
    fn pair(&self) -> (TcpStream, TcpStream) {
        (self.connect(), self.accept())
    }

    fn wait(&self, matches: impl Fn(&EventKind) -> bool + Send + 'static) {
        let event = self.links.wait(TIMEOUT, move |event| matches(&event.what)).expect("a thread");
        assert!(event.is_some(), "the event never occurred");
    }

    /// Waits until the set's resource usage matches.
    fn until(&self, mut matches: impl FnMut(&Counts) -> bool) {
        let started = Instant::now();
        while !matches(&self.links.counts().expect("counts")) {
            assert!(started.elapsed() < TIMEOUT, "timeout; usage: {:?}", self.links.counts());
            std::thread::yield_now();
        }
    }
}

fn with_read_timeout(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    stream
}

fn read(mut stream: &TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).expect("bytes");
    bytes
}

/// Reads to the end. Returns the bytes, and `Ok` for an end of stream or the error.
fn read_all(mut stream: &TcpStream) -> (Vec<u8>, Result<(), ErrorKind>) {
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes);
    (bytes, end.map(|_| ()).map_err(|error| error.kind()))
}

fn reset_after(bytes: &[u8]) -> (Vec<u8>, Result<(), ErrorKind>) {
    (bytes.to_vec(), Err(ErrorKind::ConnectionReset))
}

/// Connects and reads to the end. A link without a descriptor left may reset the connection before `connect` has returned
/// to a thread that waits for a core: then the reset is the result of `connect` instead of the read.
fn connect_and_read_all(address: SocketAddr) -> (Vec<u8>, Result<(), ErrorKind>) {
    match TcpStream::connect(address) {
        Ok(stream) => read_all(&with_read_timeout(stream)),
        Err(error) => (Vec::new(), Err(error.kind())),
    }
}

fn is_silent(mut stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("not blocking");
    let got = stream.read(&mut [0; 1]).map_err(|error| error.kind());
    stream.set_nonblocking(false).expect("blocking");
    got == Err(ErrorKind::WouldBlock)
}

fn write(mut stream: &TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("write succeeds");
}

fn abort(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

#[test]
fn blocked_bytes_are_forwarded_when_the_fault_ends() {
    let long = Duration::from_secs(3600);
    let flap = Fault::Flap { way: Directions::Both, down: long, up: long };
    for (fault, stopped) in [
        (Fault::Hold { way: Directions::Both }, Directions::Both),
        (Fault::Hold { way: Directions::Answers }, Directions::Answers),
        (Fault::Cut { way: Directions::Both }, Directions::Both),
        (Fault::Cut { way: Directions::Calls }, Directions::Calls),
        (Fault::Cut { way: Directions::Answers }, Directions::Answers),
        (flap, Directions::Both),
    ] {
        let fixture = LinkFixture::new();
        let (client, served) = fixture.pair();
        fixture.wait(|kind| *kind == EventKind::Joined);
        let id = fixture.begin(fault.clone());
        let sides = [(Calls, &client, &served), (Answers, &served, &client)];
        let mut waits = 0;
        for (direction, from, to) in sides {
            write(from, b"one ");
            write(from, b"two");
            if stopped.covers(direction) {
                waits += 7;
            } else {
                assert_eq!(read(to, 7), b"one two", "{fault:?} {direction:?}");
            }
        }
        fixture.until(|counts| counts.waiting == waits);
        for (direction, _, to) in sides {
            assert!(is_silent(to), "{fault:?} {direction:?}");
        }
        fixture.links.end(fixture.link, id).expect("the fault");
        for (direction, _, to) in sides.into_iter().filter(|(direction, ..)| stopped.covers(*direction)) {
            assert_eq!(read(to, 7), b"one two", "{fault:?} {direction:?}");
        }
    }
}

#[test]
fn delays_and_rate_limits_last_at_least_as_long_as_set() {
    let fixture = LinkFixture::new();
    let (client, served) = fixture.pair();
    let (base, jitter) = (Duration::from_millis(30), Duration::from_millis(5));
    let delay = fixture.begin(Fault::Delay { way: Directions::Calls, base, jitter });
    let started = Instant::now();
    write(&client, b"late");
    assert_eq!(read(&served, 4), b"late");
    assert!(started.elapsed() >= base, "{:?}", started.elapsed());
    fixture.links.end(fixture.link, delay).expect("the fault");

    fixture.begin(Fault::Rate { way: Directions::Answers, bytes_per_s: 1_000_000 });
    let started = Instant::now();
    write(&served, &[7; 60_000]);
    assert_eq!(read(&client, 60_000), [7; 60_000]);
    // 60 ms less the burst of 10 ms and the bytes that are forwarded at once at the end.
    assert!(started.elapsed() >= Duration::from_millis(45), "{:?}", started.elapsed());
}

#[test]
fn faults_keep_new_connections_from_the_target() {
    let fixture = LinkFixture::new();
    for (fault, silent) in
        [(Fault::Silent, true), (Fault::Cut { way: Directions::Calls }, true), (Fault::ResetNew, false)]
    {
        let id = fixture.begin(fault.clone());
        let client = fixture.connect();
        if silent {
            write(&client, b"hello");
            fixture.until(|counts| counts.waiting == 5);
            fixture.host.set_nonblocking(true).expect("not blocking");
            assert_eq!(
                fixture.host.accept().err().map(|error| error.kind()),
                Some(ErrorKind::WouldBlock),
                "{fault:?}"
            );
            assert!(is_silent(&client), "{fault:?}");
        } else {
            assert_eq!(read_all(&client), reset_after(b""), "{fault:?}");
        }
        fixture.links.end(fixture.link, id).expect("the fault");
        if silent {
            assert_eq!(read(&fixture.accept(), 5), b"hello", "{fault:?}");
        }
    }
    for round in 0..3 {
        let id = fixture.begin(Fault::Refuse);
        let refused = TcpStream::connect(fixture.address).err().map(|error| error.kind());
        assert_eq!(refused, Some(ErrorKind::ConnectionRefused), "round {round}");
        let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let taken = other.bind(&fixture.address.into()).err().map(|error| error.kind());
        assert_eq!(taken, Some(ErrorKind::AddrInUse), "a refusing link keeps its port");
        fixture.links.end(fixture.link, id).expect("the fault");
        fixture.pair();
        let id = fixture.begin(Fault::Unanswered);
        let hangs = TcpStream::connect_timeout(&fixture.address, Duration::from_millis(50));
        assert_eq!(hangs.err().map(|error| error.kind()), Some(ErrorKind::TimedOut), "round {round}");
        let counts = fixture.links.counts().expect("counts");
        assert_eq!(
            counts.descriptors,
            4 + 1 + 2 * counts.connections,
            "an unanswered connection costs no descriptor"
        );
        fixture.links.end(fixture.link, id).expect("the fault");
        let (client, served) = fixture.pair();
        write(&client, b"answered");
        assert_eq!(read(&served, 8), b"answered", "no other connection came first");
    }
}

#[test]
fn faults_terminate_connections_at_the_exact_byte() {
    let drop_after = |way, end| Fault::DropAfter { way, bytes: 6, end };
    let cut = |end| Fault::CutMessage { way: Answers, message: 2, bytes: 2, end };
    // The bytes of "one\ntwo\n" that the client receives, and how its stream ends.
    for (fault, expected) in [
        (drop_after(Answers, End::Reset), reset_after(b"one\ntw")),
        (drop_after(Answers, End::Close), (b"one\ntw".to_vec(), Ok(()))),
        (cut(End::Reset), reset_after(b"one\ntw")),
        (cut(End::Close), (b"one\ntw".to_vec(), Ok(()))),
        (drop_after(Calls, End::Reset), reset_after(b"")),
    ] {
        let fixture = LinkFixture::new();
        fixture.begin(fault.clone());
        let (client, served) = fixture.pair();
        write(&served, b"one\ntwo\n");
        if let Fault::DropAfter { way: Calls, .. } = fault {
            // Forwarded bytes stay readable before the reset.
            assert_eq!(read(&client, 8), b"one\ntwo\n");
            write(&client, b"calling");
            assert_eq!(read_all(&served), reset_after(b"callin"), "{fault:?}");
        }
        assert_eq!(read_all(&client), expected, "{fault:?}");
    }
    let fixture = LinkFixture::new();
    fixture.begin(cut(End::Silence));
    let (client, served) = fixture.pair();
    write(&served, b"one\ntwo\n");
    assert_eq!(read(&client, 6), b"one\ntw");
    fixture.until(|counts| counts.waiting == 2);
    assert!(is_silent(&client));
    fixture.links.heal(fixture.link).expect("a link");
    assert_eq!(read(&client, 2), b"o\n");
}

#[test]
fn resets_and_half_closes_are_seen_by_the_affected_sides() {
    let fixture = LinkFixture::new();
    let (first, first_served) = fixture.pair();
    let (second, second_served) = fixture.pair();
    fixture.until(|counts| counts.connections == 2);
    fixture.links.begin(fixture.link, ConnectionSelector::Nth(1), Fault::Reset).expect("a fault");
    assert_eq!((read_all(&first), read_all(&first_served)), (reset_after(b""), reset_after(b"")));
    fixture.begin(Fault::HalfClose { way: Directions::Answers });
    assert_eq!(read_all(&second), (Vec::new(), Ok(())));
    write(&second, b"still heard");
    assert_eq!(read(&second_served, 11), b"still heard");
    // The ends of both sides are forwarded in order, and the connection closes.
    let (third, third_served) = fixture.pair();
    write(&third, b"question");
    third.shutdown(Shutdown::Write).expect("an end");
    assert_eq!(read_all(&third_served), (b"question".to_vec(), Ok(())));
    write(&third_served, b"answer");
    drop(third_served);
    assert_eq!(read_all(&third), (b"answer".to_vec(), Ok(())));
    drop((second, second_served));
    fixture.until(|counts| counts.connections == 0);
}

#[test]
fn a_host_that_fails_within_an_answer_resets_the_client() {
    let fixture = LinkFixture::with(Settings { queue: 8, ..Settings::default() });
    let (client, served) = fixture.pair();
    write(&served, b"half an ans");
    abort(served);
    assert_eq!(read_all(&client), reset_after(b"half an ans"));
    // The same during a cut, with more bytes sent than the link queues: only the reset is forwarded.
    let (client, served) = fixture.pair();
    fixture.until(|counts| counts.connections == 1);
    fixture.begin(Fault::Cut { way: Directions::Answers });
    write(&served, b"half an ans");
    fixture.until(|counts| counts.waiting == 8);
    abort(served);
    fixture.until(|counts| counts.waiting == 0);
    assert!(is_silent(&client));
    fixture.links.heal(fixture.link).expect("a link");
    assert_eq!(read_all(&client), reset_after(b""));
    // The target does not listen any more.
    let LinkFixture { links, link, address, host } = fixture;
    drop(host);
    assert_eq!(read_all(&with_read_timeout(TcpStream::connect(address).expect("a link"))), reset_after(b""));
    assert!(links
        .wait(TIMEOUT, move |event| event.link == link && event.what == EventKind::NotJoined)
        .is_ok_and(|event| event.is_some()));
}

#[test]
fn answers_are_cut_from_a_trigger_until_a_signal_while_calls_arrive() {
    let fixture = LinkFixture::new();
    let cut = Fault::Cut { way: Directions::Answers };
    let plan = Plan::new()
        .at(fixture.link, Trigger::after(Calls, 2), cut)
        .heal(fixture.link, Trigger::Signal("log says lost".into()));
    fixture.links.plan(plan).expect("a plan");
    let (client, served) = fixture.pair();
    write(&client, b"one\ntwo\n");
    assert_eq!(read(&served, 8), b"one\ntwo\n");
    write(&served, b"1\n2\n");
    fixture.until(|counts| counts.waiting == 4);
    assert!(is_silent(&client));
    fixture.links.send_signal("log says nothing").expect("a thread");
    assert!(is_silent(&client));
    fixture.links.send_signal("log says lost").expect("a thread");
    assert_eq!(read(&client, 4), b"1\n2\n");
    let trace = fixture.links.trace().expect("a trace");
    let lines = trace.to_string();
    assert!(
        lines.lines().any(|line| line.contains("Began") && line.contains("way: Calls, bytes: 8")),
        "{lines}"
    );
    assert!(lines.lines().any(|line| line.contains("bytes=4 Ended")), "{lines}");
    assert_eq!(trace.to_plan().expect("a whole trace").entries().len(), 1);
}

#[test]
fn a_stalled_reader_queues_no_more_than_the_bound() {
    let bound = 20_000;
    let fixture = LinkFixture::with(Settings { queue: bound, ..Settings::default() });
    let (client, served) = fixture.pair();
    let piece: Vec<u8> = (0..50_000_u32).map(|byte| (byte % 251) as u8).collect();
    let mut sent = Vec::new();
    client.set_nonblocking(true).expect("not blocking");
    // Writes until every buffer on the path is full, including the queue of the link.
    fixture.until(|counts| {
        while let Ok(count) = (&client).write(&piece) {
            sent.extend_from_slice(&piece[..count]);
        }
        counts.waiting == bound
    });
    assert!(sent.len() > bound);
    client.set_nonblocking(false).expect("blocking");
    client.shutdown(Shutdown::Write).expect("an end");
    assert!(read_all(&served) == (sent, Ok(())), "bytes differ");
    assert_eq!(fixture.links.counts().expect("counts").most_waiting, bound);
}

#[test]
fn three_hundred_links_stay_within_the_descriptor_limit() {
    raise_descriptors();
    let fixture = LinkFixture::with(Settings { descriptors: 1024, ..Settings::default() });
    let target = fixture.host.local_addr().expect("an address");
    let mut addresses = vec![fixture.address];
    for number in 1..300 {
        addresses.push(fixture.links.add(LinkSpec::to(&format!("link {number}"), target)).expect("a link").1);
    }
    // Four descriptors of the set, 300 listeners, and two per connection.
    let capacity = (1024 - 4 - 300) / 2;
    let mut open = Vec::new();
    for number in 0..capacity {
        let client = with_read_timeout(TcpStream::connect(addresses[number % 300]).expect("a link"));
        open.push((client, fixture.accept()));
    }
    for address in &addresses[..5] {
        assert_eq!(connect_and_read_all(*address), reset_after(b""));
    }
    fixture.wait(|kind| *kind == EventKind::OverBound);
    for (client, served) in &open {
        write(client, b"unharmed\n");
        assert_eq!(read(served, 9), b"unharmed\n");
    }
    let counts = fixture.links.counts().expect("counts");
    assert_eq!((counts.links, counts.connections, counts.descriptors), (300, capacity, 1024));
    let full = fixture.links.add(LinkSpec::to("one more", target)).expect_err("no descriptor");
    assert_eq!(full.to_string(), "links: 1024 of 1024 descriptors are in use, and a link needs one");
    // A closed connection frees its descriptors.
    open.pop();
    fixture.until(|counts| counts.connections < capacity);
    fixture.pair();
}

/// Raises the descriptor limit: both ends of all connections are in this process.
fn raise_descriptors() {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    setrlimit(Resource::Nofile, raised).expect("the soft limit can be raised to the hard limit");
}

#[test]
fn invalid_links_and_plans_are_rejected() {
    let fixture = LinkFixture::new();
    let taken = fixture.host.local_addr().expect("an address");
    let spec = LinkSpec::to("gateway-1 to host-1", taken).listen(taken);
    let error = fixture.links.add(spec).expect_err("the port is in use");
    assert_eq!(
        error.to_string(),
        format!("link gateway-1 to host-1: {taken} is already in use by another process")
    );
    let unknown = LinkId(99);
    assert!(matches!(fixture.links.heal(unknown), Err(LinkError::NoLink(link)) if link == unknown));
    let invalid = Plan::new().at(fixture.link, Trigger::Connection(0), Fault::Reset);
    assert!(matches!(fixture.links.plan(invalid), Err(LinkError::Never(_))));
    fixture.links.remove(fixture.link).expect("a link");
    assert!(matches!(fixture.links.remove(fixture.link), Err(LinkError::NoLink(_))));
}

#[test]
fn dropping_the_handle_closes_connections_and_listeners() {
    let fixture = LinkFixture::new();
    let (client, served) = fixture.pair();
    let LinkFixture { links, address, .. } = fixture;
    // Dropping the handle waits for the thread to end.
    drop(links);
    assert_eq!((read_all(&client), read_all(&served)), (reset_after(b""), reset_after(b"")));
    let refused = TcpStream::connect(address).err().map(|error| error.kind());
    assert_eq!(refused, Some(ErrorKind::ConnectionRefused));
}
