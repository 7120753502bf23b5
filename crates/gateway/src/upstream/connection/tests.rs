use super::*;
use bytes::{Bytes, BytesMut};
use runtime::SystemEnv;
use std::io::Write;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Returns an established connection with this idle timeout, the host's end of it, and the events.
async fn connect_with_idle_timeout(
    idle: Span,
) -> (HostConnection<SystemEnv>, TcpStream, UnboundedReceiver<TrafficEvent>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (gateway, mut events) = mpsc::unbounded_channel();
    let timeouts = ConnectionTimeouts { connect: 20_000 * MS, idle };
    let (connection, _) =
        HostConnection::open(&SystemEnv::start(), 7, listener.local_addr().unwrap(), timeouts, gateway);
    let host = listener.accept().await.unwrap().0;
    assert!(matches!(events.recv().await, Some(TrafficEvent::Host(HostEvent::Connected(7)))));
    (connection, host, events)
}

async fn connect() -> (HostConnection<SystemEnv>, TcpStream, UnboundedReceiver<TrafficEvent>) {
    connect_with_idle_timeout(20_000 * MS).await
}

fn request(body: usize) -> Command {
    BytesMut::from("request").chain(Bytes::from(vec![b'x'; body])).chain(Bytes::new())
}

#[tokio::test]
async fn a_request_is_not_written_while_unread_input_is_pending() {
    let (mut connection, mut host, mut events) = connect().await;
    host.write_all(b"*3\r\n$5\r\nstale\r\n$-1\r\n$-1\r\n").await.unwrap();
    connection.writer = connection.shared.take_writer();
    // Waits until the bytes have arrived, whether or not the task has read them.
    while connection.writer.as_ref().is_some_and(Writer::has_no_unread_input)
        && !connection.unwritten.is_closed()
    {
        tokio::task::yield_now().await;
    }
    assert_eq!(connection.write(request(0)), Err(WriteError::Stale));
    assert!(!connection.is_request_written());
    assert!(matches!(
        events.recv().await,
        Some(TrafficEvent::Host(HostEvent::ProtocolViolation { id: 7, .. }))
    ));
    assert!(matches!(events.recv().await, Some(TrafficEvent::Host(HostEvent::Closed(7)))));
    drop(connection);
    // A connection that closes with unread input may be reset.
    let mut received = Vec::new();
    let _ = host.read_to_end(&mut received).await;
    assert!(received.is_empty(), "the request was written");
}

#[tokio::test]
async fn the_remainder_of_a_request_is_written_later_and_the_request_counts_as_written_only_then() {
    let (mut connection, mut host, mut events) = connect().await;
    // More than the socket buffers hold while the host reads nothing.
    let body = 32 << 20;
    assert_eq!(connection.write(request(body)), Ok(()));
    assert!(!connection.is_request_written());
    let mut received = vec![0; body + 7];
    host.read_exact(&mut received).await.unwrap();
    while !connection.is_request_written() {
        tokio::task::yield_now().await;
    }
    host.write_all(b"$2\r\nok\r\n").await.unwrap();
    let Some(TrafficEvent::Host(HostEvent::Response { is_reusable: true, .. })) = events.recv().await else {
        panic!("no response")
    };
    assert_eq!(connection.write(request(0)), Ok(()));
    assert!(connection.is_request_written(), "the second request was not written");
}

/// A host begins to process a command at its last byte, so a reply to a partial command is a protocol violation and the
/// remainder of the command is not written.
#[tokio::test]
async fn an_early_response_is_a_protocol_violation_and_the_remaining_request_is_not_written() {
    let (mut connection, mut host, mut events) = connect().await;
    let body = 32 << 20;
    assert_eq!(connection.write(request(body)), Ok(()));
    assert!(!connection.is_request_written(), "the request fits into the socket buffers");
    host.write_all(b"-BUSY\r\n").await.unwrap();
    let reader_task = tokio::spawn(async move {
        let mut received = Vec::new();
        let _ = host.read_to_end(&mut received).await;
        received.len()
    });
    assert!(matches!(
        events.recv().await,
        Some(TrafficEvent::Host(HostEvent::ProtocolViolation { id: 7, .. }))
    ));
    assert!(matches!(events.recv().await, Some(TrafficEvent::Host(HostEvent::Closed(7)))));
    assert!(!connection.is_request_written());
    assert_eq!(connection.write(request(0)), Err(WriteError::Congested), "the writer was dropped");
    assert!(reader_task.await.unwrap() < body + 7, "the complete request was written");
}

/// When an incomplete reply of the host arrives, relative to the close of the connection by the idle timeout.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PartialReply {
    /// The task reads it before the close.
    Read,
    /// It is in the socket's receive buffer at the close.
    Unread,
    /// It arrives after the close.
    AfterClose,
}

#[tokio::test]
async fn a_connection_closed_by_its_idle_timeout_accepts_no_request_when_a_partial_reply_arrives() {
    for reply in [PartialReply::Read, PartialReply::Unread, PartialReply::AfterClose] {
        let (mut connection, host, mut events) = connect_with_idle_timeout(100 * MS).await;
        connection.writer = connection.shared.take_writer();
        let host = host.into_std().unwrap();
        host.set_nonblocking(false).unwrap();
        let send = || (&host).write_all(b"*3\r\n$5\r\nsta").unwrap();
        match reply {
            PartialReply::Read => send(),
            PartialReply::Unread => {
                // Blocks the thread until both timers have expired. They fire in order of their time, and before any
                // input is read.
                let delay = tokio::time::sleep(Duration::from_millis(50));
                let block_thread = || std::thread::sleep(Duration::from_millis(200));
                let send_early = async {
                    delay.await;
                    send();
                    while connection.writer.as_ref().is_some_and(Writer::has_no_unread_input) {}
                    assert!(!connection.unwritten.is_closed(), "the connection closed too early");
                };
                tokio::join!(biased; send_early, async { block_thread() });
            }
            PartialReply::AfterClose => {}
        }
        let event = events.recv().await;
        let is_violation =
            matches!(event, Some(TrafficEvent::Host(HostEvent::ProtocolViolation { id: 7, .. })));
        assert_eq!(is_violation, reply == PartialReply::Read, "{reply:?}: {event:?}");
        let event = if is_violation { events.recv().await } else { event };
        assert!(matches!(event, Some(TrafficEvent::Host(HostEvent::Closed(7)))), "{reply:?}: {event:?}");
        if reply == PartialReply::AfterClose {
            send();
        }
        assert_eq!(connection.write(request(0)), Err(WriteError::Stale), "{reply:?}");
        assert!(!connection.is_request_written(), "{reply:?}");
        drop(connection);
        let mut received = Vec::new();
        let _ = std::io::Read::read_to_end(&mut &host, &mut received);
        assert!(received.is_empty(), "{reply:?}: the request was written");
    }
}
