//! Each fault of a link as raw sockets on both sides of it see it.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fault_proxy::{
    ConnectionSelector, Counts, Direction, Directions, End, EventKind, Fault, Framing, LinkError, LinkId,
    LinkSet, LinkSpec, Plan, Settings, Trigger,
};
use socket2::{Domain, SockRef, Socket, Type};

use Direction::{Answers, Calls};

/// Something that has to come has this long on the most loaded machine.
const LONG: Duration = Duration::from_secs(20);

/// One link before a listener.
struct Bed {
    links: LinkSet,
    link: LinkId,
    address: SocketAddr,
    host: TcpListener,
}

impl Bed {
    fn new() -> Bed {
        Bed::with(Settings::default())
    }

    fn with(settings: Settings) -> Bed {
        let host = TcpListener::bind("127.0.0.1:0").expect("a port");
        let links = LinkSet::start(settings).expect("a thread");
        let spec = LinkSpec::to("to host", host.local_addr().expect("an address"));
        let (link, address) = links.add(spec.messages(Framing::Lines)).expect("a link");
        Bed { links, link, address, host }
    }

    fn begin(&self, fault: Fault) -> fault_proxy::FaultId {
        self.links.begin(self.link, ConnectionSelector::Every, fault).expect("a fault")
    }

    fn connect(&self) -> TcpStream {
        ready(TcpStream::connect(self.address).expect("a connection"))
    }

    fn accept(&self) -> TcpStream {
        self.host.set_nonblocking(false).expect("blocking");
        ready(self.host.accept().expect("a connection").0)
    }

    /// Both ends of a connection through the link.
    fn pair(&self) -> (TcpStream, TcpStream) {
        (self.connect(), self.accept())
    }

    fn wait(&self, like: impl Fn(&EventKind) -> bool + Send + 'static) {
        let event = self.links.wait(LONG, move |event| like(&event.what)).expect("a thread");
        assert!(event.is_some(), "it never came");
    }

    /// Until the set's counts are like this.
    fn until(&self, mut like: impl FnMut(&Counts) -> bool) {
        let begun = Instant::now();
        while !like(&self.links.counts().expect("counts")) {
            assert!(begun.elapsed() < LONG, "never: {:?}", self.links.counts());
            std::thread::yield_now();
        }
    }
}

fn ready(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    stream
}

fn read(mut stream: &TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).expect("bytes");
    bytes
}

/// All that comes, and how it ends: `Ok` with an end, or the error.
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
        Ok(stream) => read_all(&ready(stream)),
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
    stream.write_all(bytes).expect("room");
}

fn abort(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

#[test]
fn what_is_stopped_waits_and_then_passes_all_at_once() {
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
        let bed = Bed::new();
        let (client, served) = bed.pair();
        bed.wait(|what| *what == EventKind::Joined);
        let id = bed.begin(fault.clone());
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
        bed.until(|counts| counts.waiting == waits);
        for (direction, _, to) in sides {
            assert!(is_silent(to), "{fault:?} {direction:?}");
        }
        bed.links.end(bed.link, id).expect("the fault");
        for (direction, _, to) in sides.into_iter().filter(|(direction, ..)| stopped.covers(*direction)) {
            assert_eq!(read(to, 7), b"one two", "{fault:?} {direction:?}");
        }
    }
}

#[test]
fn delays_and_rates_take_their_time() {
    let bed = Bed::new();
    let (client, served) = bed.pair();
    let (base, jitter) = (Duration::from_millis(30), Duration::from_millis(5));
    let delay = bed.begin(Fault::Delay { way: Directions::Calls, base, jitter });
    let begun = Instant::now();
    write(&client, b"late");
    assert_eq!(read(&served, 4), b"late");
    assert!(begun.elapsed() >= base, "{:?}", begun.elapsed());
    bed.links.end(bed.link, delay).expect("the fault");

    bed.begin(Fault::Rate { way: Directions::Answers, bytes_per_s: 1_000_000 });
    let begun = Instant::now();
    write(&served, &[7; 60_000]);
    assert_eq!(read(&client, 60_000), [7; 60_000]);
    // Less the burst of 10 ms, and what passes at once at the end.
    assert!(begun.elapsed() >= Duration::from_millis(45), "{:?}", begun.elapsed());
}

#[test]
fn connections_that_are_not_made() {
    let bed = Bed::new();
    for (fault, silent) in
        [(Fault::Silent, true), (Fault::Cut { way: Directions::Calls }, true), (Fault::ResetNew, false)]
    {
        let id = bed.begin(fault.clone());
        let client = bed.connect();
        if silent {
            write(&client, b"hello");
            bed.until(|counts| counts.waiting == 5);
            bed.host.set_nonblocking(true).expect("not blocking");
            assert_eq!(
                bed.host.accept().err().map(|error| error.kind()),
                Some(ErrorKind::WouldBlock),
                "{fault:?}"
            );
            assert!(is_silent(&client), "{fault:?}");
        } else {
            assert_eq!(read_all(&client), reset_after(b""), "{fault:?}");
        }
        bed.links.end(bed.link, id).expect("the fault");
        if silent {
            assert_eq!(read(&bed.accept(), 5), b"hello", "{fault:?}");
        }
    }
    for round in 0..3 {
        let id = bed.begin(Fault::Refuse);
        let refused = TcpStream::connect(bed.address).err().map(|error| error.kind());
        assert_eq!(refused, Some(ErrorKind::ConnectionRefused), "round {round}");
        let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let taken = other.bind(&bed.address.into()).err().map(|error| error.kind());
        assert_eq!(taken, Some(ErrorKind::AddrInUse), "its port stays its own");
        bed.links.end(bed.link, id).expect("the fault");
        bed.pair();
        let id = bed.begin(Fault::Unanswered);
        let hangs = TcpStream::connect_timeout(&bed.address, Duration::from_millis(50));
        assert_eq!(hangs.err().map(|error| error.kind()), Some(ErrorKind::TimedOut), "round {round}");
        let counts = bed.links.counts().expect("counts");
        assert_eq!(counts.descriptors, 4 + 1 + 2 * counts.connections, "it costs none");
        bed.links.end(bed.link, id).expect("the fault");
        let (client, served) = bed.pair();
        write(&client, b"answered");
        assert_eq!(read(&served, 8), b"answered", "nobody else came before");
    }
}

#[test]
fn connections_that_are_ended() {
    let drop_after = |way, end| Fault::DropAfter { way, bytes: 6, end };
    let cut = |end| Fault::CutMessage { way: Answers, message: 2, bytes: 2, end };
    // What the client sees of "one\ntwo\n", and how it ends.
    for (fault, wanted) in [
        (drop_after(Answers, End::Reset), reset_after(b"one\ntw")),
        (drop_after(Answers, End::Close), (b"one\ntw".to_vec(), Ok(()))),
        (cut(End::Reset), reset_after(b"one\ntw")),
        (cut(End::Close), (b"one\ntw".to_vec(), Ok(()))),
        (drop_after(Calls, End::Reset), reset_after(b"")),
    ] {
        let bed = Bed::new();
        bed.begin(fault.clone());
        let (client, served) = bed.pair();
        write(&served, b"one\ntwo\n");
        if let Fault::DropAfter { way: Calls, .. } = fault {
            // What has passed stays readable before the reset.
            assert_eq!(read(&client, 8), b"one\ntwo\n");
            write(&client, b"calling");
            assert_eq!(read_all(&served), reset_after(b"callin"), "{fault:?}");
        }
        assert_eq!(read_all(&client), wanted, "{fault:?}");
    }
    let bed = Bed::new();
    bed.begin(cut(End::Silence));
    let (client, served) = bed.pair();
    write(&served, b"one\ntwo\n");
    assert_eq!(read(&client, 6), b"one\ntw");
    bed.until(|counts| counts.waiting == 2);
    assert!(is_silent(&client));
    bed.links.heal(bed.link).expect("a link");
    assert_eq!(read(&client, 2), b"o\n");
}

#[test]
fn resets_and_half_closes() {
    let bed = Bed::new();
    let (first, first_served) = bed.pair();
    let (second, second_served) = bed.pair();
    bed.until(|counts| counts.connections == 2);
    bed.links.begin(bed.link, ConnectionSelector::Nth(1), Fault::Reset).expect("a fault");
    assert_eq!((read_all(&first), read_all(&first_served)), (reset_after(b""), reset_after(b"")));
    bed.begin(Fault::HalfClose { way: Directions::Answers });
    assert_eq!(read_all(&second), (Vec::new(), Ok(())));
    write(&second, b"still heard");
    assert_eq!(read(&second_served, 11), b"still heard");
    // Ends of both sides pass in order, and the connection is over.
    let (third, third_served) = bed.pair();
    write(&third, b"question");
    third.shutdown(Shutdown::Write).expect("an end");
    assert_eq!(read_all(&third_served), (b"question".to_vec(), Ok(())));
    write(&third_served, b"answer");
    drop(third_served);
    assert_eq!(read_all(&third), (b"answer".to_vec(), Ok(())));
    drop((second, second_served));
    bed.until(|counts| counts.connections == 0);
}

#[test]
fn who_dies_in_the_middle_of_an_answer_is_seen_to() {
    let bed = Bed::with(Settings { queue: 8, ..Settings::default() });
    let (client, served) = bed.pair();
    write(&served, b"half an ans");
    abort(served);
    assert_eq!(read_all(&client), reset_after(b"half an ans"));
    // The same while it is cut, and more was sent than a link takes: only the reset is left.
    let (client, served) = bed.pair();
    bed.until(|counts| counts.connections == 1);
    bed.begin(Fault::Cut { way: Directions::Answers });
    write(&served, b"half an ans");
    bed.until(|counts| counts.waiting == 8);
    abort(served);
    bed.until(|counts| counts.waiting == 0);
    assert!(is_silent(&client));
    bed.links.heal(bed.link).expect("a link");
    assert_eq!(read_all(&client), reset_after(b""));
    // And nobody listens any more.
    let Bed { links, link, address, host } = bed;
    drop(host);
    assert_eq!(read_all(&ready(TcpStream::connect(address).expect("a link"))), reset_after(b""));
    assert!(links
        .wait(LONG, move |event| event.link == link && event.what == EventKind::NotJoined)
        .is_ok_and(|event| event.is_some()));
}

#[test]
fn calls_arrive_and_answers_do_not_from_a_named_moment() {
    let bed = Bed::new();
    let cut = Fault::Cut { way: Directions::Answers };
    let plan = Plan::new()
        .at(bed.link, Trigger::after(Calls, 2), cut)
        .heal(bed.link, Trigger::Signal("log says lost".into()));
    bed.links.plan(plan).expect("a plan");
    let (client, served) = bed.pair();
    write(&client, b"one\ntwo\n");
    assert_eq!(read(&served, 8), b"one\ntwo\n");
    write(&served, b"1\n2\n");
    bed.until(|counts| counts.waiting == 4);
    assert!(is_silent(&client));
    bed.links.send_signal("log says nothing").expect("a thread");
    assert!(is_silent(&client));
    bed.links.send_signal("log says lost").expect("a thread");
    assert_eq!(read(&client, 4), b"1\n2\n");
    let trace = bed.links.trace().expect("a trace");
    let lines = trace.to_string();
    assert!(
        lines.lines().any(|line| line.contains("Began") && line.contains("way: Calls, bytes: 8")),
        "{lines}"
    );
    assert!(lines.lines().any(|line| line.contains("bytes=4 Ended")), "{lines}");
    assert_eq!(trace.to_plan().expect("a whole trace").entries().len(), 1);
}

#[test]
fn a_reader_that_does_not_read_costs_no_more_than_the_bound() {
    let bound = 20_000;
    let bed = Bed::with(Settings { queue: bound, ..Settings::default() });
    let (client, served) = bed.pair();
    let piece: Vec<u8> = (0..50_000_u32).map(|byte| (byte % 251) as u8).collect();
    let mut sent = Vec::new();
    client.set_nonblocking(true).expect("not blocking");
    // Until every buffer on the way is full: the link's too, and the writer finds no room.
    bed.until(|counts| {
        while let Ok(count) = (&client).write(&piece) {
            sent.extend_from_slice(&piece[..count]);
        }
        counts.waiting == bound
    });
    assert!(sent.len() > bound);
    client.set_nonblocking(false).expect("blocking");
    client.shutdown(Shutdown::Write).expect("an end");
    assert!(read_all(&served) == (sent, Ok(())), "bytes differ");
    assert_eq!(bed.links.counts().expect("counts").most_waiting, bound);
}

#[test]
fn three_hundred_links_keep_to_their_descriptors() {
    raise_descriptors();
    let bed = Bed::with(Settings { descriptors: 1024, ..Settings::default() });
    let target = bed.host.local_addr().expect("an address");
    let mut addresses = vec![bed.address];
    for number in 1..300 {
        addresses.push(bed.links.add(LinkSpec::to(&format!("link {number}"), target)).expect("a link").1);
    }
    // Four of its own, 300 listeners, and two a connection.
    let places = (1024 - 4 - 300) / 2;
    let mut open = Vec::new();
    for number in 0..places {
        let client = ready(TcpStream::connect(addresses[number % 300]).expect("a link"));
        open.push((client, bed.accept()));
    }
    for address in &addresses[..5] {
        assert_eq!(connect_and_read_all(*address), reset_after(b""));
    }
    bed.wait(|what| *what == EventKind::OverBound);
    for (client, served) in &open {
        write(client, b"unharmed\n");
        assert_eq!(read(served, 9), b"unharmed\n");
    }
    let counts = bed.links.counts().expect("counts");
    assert_eq!((counts.links, counts.connections, counts.descriptors), (300, places, 1024));
    let full = bed.links.add(LinkSpec::to("one more", target)).expect_err("no descriptor");
    assert_eq!(full.to_string(), "links: 1024 of 1024 descriptors are in use, and a link needs one");
    // Who leaves makes room.
    open.pop();
    bed.until(|counts| counts.connections < places);
    bed.pair();
}

/// Both ends of all connections are in this process.
fn raise_descriptors() {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    setrlimit(Resource::Nofile, raised).expect("the soft limit may be the hard one");
}

#[test]
fn links_that_cannot_be() {
    let bed = Bed::new();
    let taken = bed.host.local_addr().expect("an address");
    let spec = LinkSpec::to("gateway-1 to host-1", taken).listen(taken);
    let error = bed.links.add(spec).expect_err("it is taken");
    assert_eq!(
        error.to_string(),
        format!("link gateway-1 to host-1: {taken} is already in use by another process")
    );
    let nobody = LinkId(99);
    assert!(matches!(bed.links.heal(nobody), Err(LinkError::NoLink(link)) if link == nobody));
    let never = Plan::new().at(bed.link, Trigger::Connection(0), Fault::Reset);
    assert!(matches!(bed.links.plan(never), Err(LinkError::Never(_))));
    bed.links.remove(bed.link).expect("a link");
    assert!(matches!(bed.links.remove(bed.link), Err(LinkError::NoLink(_))));
}

#[test]
fn dropping_the_handle_ends_all_of_it() {
    let bed = Bed::new();
    let (client, served) = bed.pair();
    let Bed { links, address, .. } = bed;
    // Drop waits for the thread.
    drop(links);
    assert_eq!((read_all(&client), read_all(&served)), (reset_after(b""), reset_after(b"")));
    let refused = TcpStream::connect(address).err().map(|error| error.kind());
    assert_eq!(refused, Some(ErrorKind::ConnectionRefused));
}
