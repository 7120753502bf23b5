use super::*;
use fennelbeam_env::Real;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

async fn pair() -> (Line<Real>, tokio::net::TcpStream, UnboundedReceiver<Input>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (gateway, mut events) = mpsc::unbounded_channel();
    let limits = Limits { dial: 20_000 * MS, idle: 20_000 * MS };
    let (line, _) = open(&Real::start(), 7, listener.local_addr().unwrap(), limits, gateway);
    let host = listener.accept().await.unwrap().0;
    assert!(matches!(events.recv().await, Some(Input::Host(HostEvent::Up(7)))));
    (line, host, events)
}

fn text(body: usize) -> Text {
    BytesMut::from("request").chain(Bytes::from(vec![b'x'; body])).chain(Bytes::new())
}

#[tokio::test]
async fn bytes_that_lie_there_are_no_answer_to_the_next_request() {
    let (mut line, mut host, mut events) = pair().await;
    host.write_all(b"*3\r\n$5\r\nstale\r\n$-1\r\n$-1\r\n").await.unwrap();
    line.writer = line.shared.take();
    // Whether the task has been told of it, or only the system knows.
    while line.writer.as_ref().is_some_and(Writer::is_quiet) && !line.rests.is_closed() {
        tokio::task::yield_now().await;
    }
    assert_eq!(line.write(text(0)), Err(Unusable::Dead));
    assert!(!line.is_sent());
    assert!(matches!(events.recv().await, Some(Input::Host(HostEvent::Nonsense { id: 7, .. }))));
    assert!(matches!(events.recv().await, Some(Input::Host(HostEvent::Down(7)))));
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
    assert!(!line.is_sent());
    let mut got = vec![0; body + 7];
    host.read_exact(&mut got).await.unwrap();
    while !line.is_sent() {
        tokio::task::yield_now().await;
    }
    host.write_all(b"$2\r\nok\r\n").await.unwrap();
    let Some(Input::Host(HostEvent::Answered { clean: true, .. })) = events.recv().await else {
        panic!("no answer")
    };
    assert_eq!(line.write(text(0)), Ok(()));
    assert!(line.is_sent(), "it can carry another");
}
