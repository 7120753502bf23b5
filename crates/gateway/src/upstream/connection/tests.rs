use super::*;
use bytes::Bytes;
use runtime::SystemEnv;
use std::io::Write;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// A connection that may take so long to do nothing, and its host's side.
async fn pair_within(idle: Span) -> (HostConnection<SystemEnv>, TcpStream, UnboundedReceiver<TrafficEvent>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (gateway, mut events) = mpsc::unbounded_channel();
    let limits = ConnectionTimeouts { connect: 20_000 * MS, idle };
    let (line, _) =
        HostConnection::open(&SystemEnv::start(), 7, listener.local_addr().unwrap(), limits, gateway);
    let host = listener.accept().await.unwrap().0;
    assert!(matches!(events.recv().await, Some(TrafficEvent::Host(HostEvent::Connected(7)))));
    (line, host, events)
}

async fn pair() -> (HostConnection<SystemEnv>, TcpStream, UnboundedReceiver<TrafficEvent>) {
    pair_within(20_000 * MS).await
}

fn text(body: usize) -> Command {
    BytesMut::from("request").chain(Bytes::from(vec![b'x'; body])).chain(Bytes::new())
}

#[tokio::test]
async fn bytes_that_lie_there_are_no_answer_to_the_next_request() {
    let (mut line, mut host, mut events) = pair().await;
    host.write_all(b"*3\r\n$5\r\nstale\r\n$-1\r\n$-1\r\n").await.unwrap();
    line.writer = line.shared.take_writer();
    // Whether the task has been told of it, or only the system knows.
    while line.writer.as_ref().is_some_and(Writer::has_no_unread_input) && !line.unwritten.is_closed() {
        tokio::task::yield_now().await;
    }
    assert_eq!(line.write(text(0)), Err(WriteError::Stale));
    assert!(!line.is_request_written());
    assert!(matches!(
        events.recv().await,
        Some(TrafficEvent::Host(HostEvent::ProtocolViolation { id: 7, .. }))
    ));
    assert!(matches!(events.recv().await, Some(TrafficEvent::Host(HostEvent::Closed(7)))));
    drop(line);
    // Closed with bytes unread, it may end as a reset.
    let mut got = Vec::new();
    let _ = host.read_to_end(&mut got).await;
    assert!(got.is_empty(), "the request was written");
}

#[tokio::test]
async fn what_does_not_go_at_once_goes_later_and_counts_as_sent_only_then() {
    let (mut line, mut host, mut events) = pair().await;
    // More than the system takes of what nobody reads.
    let body = 32 << 20;
    assert_eq!(line.write(text(body)), Ok(()));
    assert!(!line.is_request_written());
    let mut got = vec![0; body + 7];
    host.read_exact(&mut got).await.unwrap();
    while !line.is_request_written() {
        tokio::task::yield_now().await;
    }
    host.write_all(b"$2\r\nok\r\n").await.unwrap();
    let Some(TrafficEvent::Host(HostEvent::Response { is_reusable: true, .. })) = events.recv().await else {
        panic!("no answer")
    };
    assert_eq!(line.write(text(0)), Ok(()));
    assert!(line.is_request_written(), "it can carry another");
}

/// It begins a command at its last byte: an answer to half of one is none, and the rest is not written.
#[tokio::test]
async fn what_a_host_says_before_it_has_the_whole_request_is_no_answer_and_the_rest_is_not_sent() {
    let (mut line, mut host, mut events) = pair().await;
    let body = 32 << 20;
    assert_eq!(line.write(text(body)), Ok(()));
    assert!(!line.is_request_written(), "more than the system takes of what nobody reads");
    host.write_all(b"-BUSY\r\n").await.unwrap();
    let reads_on = tokio::spawn(async move {
        let mut got = Vec::new();
        let _ = host.read_to_end(&mut got).await;
        got.len()
    });
    assert!(matches!(
        events.recv().await,
        Some(TrafficEvent::Host(HostEvent::ProtocolViolation { id: 7, .. }))
    ));
    assert!(matches!(events.recv().await, Some(TrafficEvent::Host(HostEvent::Closed(7)))));
    assert!(!line.is_request_written());
    assert_eq!(line.write(text(0)), Err(WriteError::Congested), "its writer has gone");
    assert!(reads_on.await.unwrap() < body + 7, "all of it was written");
}

/// Where half a line from its host is when we close an idle connection at its age.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Half {
    Read,
    /// It lies with the system.
    Unread,
    /// It comes when the connection has closed.
    Late,
}

#[tokio::test]
async fn half_a_line_that_crosses_our_close_of_an_idle_connection_is_no_part_of_an_answer() {
    for half in [Half::Read, Half::Unread, Half::Late] {
        let (mut line, host, mut events) = pair_within(100 * MS).await;
        line.writer = line.shared.take_writer();
        let host = host.into_std().unwrap();
        host.set_nonblocking(false).unwrap();
        let say = || (&host).write_all(b"*3\r\n$5\r\nsta").unwrap();
        match half {
            Half::Read => say(),
            Half::Unread => {
                // Timers fall due in their order, and the connection's own with them, before anything is read.
                let early = tokio::time::sleep(Duration::from_millis(50));
                let nothing_runs = || std::thread::sleep(Duration::from_millis(200));
                let speak = async {
                    early.await;
                    say();
                    while line.writer.as_ref().is_some_and(Writer::has_no_unread_input) {}
                    assert!(!line.unwritten.is_closed(), "it has not closed yet");
                };
                tokio::join!(biased; speak, async { nothing_runs() });
            }
            Half::Late => {}
        }
        let told = events.recv().await;
        let is_nonsense =
            matches!(told, Some(TrafficEvent::Host(HostEvent::ProtocolViolation { id: 7, .. })));
        assert_eq!(is_nonsense, half == Half::Read, "{half:?}: {told:?}");
        let told = if is_nonsense { events.recv().await } else { told };
        assert!(matches!(told, Some(TrafficEvent::Host(HostEvent::Closed(7)))), "{half:?}: {told:?}");
        if half == Half::Late {
            say();
        }
        assert_eq!(line.write(text(0)), Err(WriteError::Stale), "{half:?}");
        assert!(!line.is_request_written(), "{half:?}");
        drop(line);
        let mut got = Vec::new();
        let _ = std::io::Read::read_to_end(&mut &host, &mut got);
        assert!(got.is_empty(), "{half:?}: the request was written");
    }
}
