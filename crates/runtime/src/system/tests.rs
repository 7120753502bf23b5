use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn pair(env: SystemEnv) -> (TcpStream, TcpStream) {
    let mut listener = env.listen("127.0.0.1:0".parse().unwrap(), 8).unwrap();
    let near = env.connect(listener.local_addr().unwrap()).await.unwrap();
    (near, listener.accept().await.unwrap().0)
}

#[tokio::test]
async fn a_reset_is_reported_to_the_peer() {
    let (near, far) = pair(SystemEnv::start()).await;
    let (reader, writer) = Stream::into_split(far);
    writer.reset();
    drop(reader);
    let (mut reader, _writer) = Stream::into_split(near);
    let error = reader.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn bytes_and_the_end_of_a_stream_both_count_as_unread_input() {
    let (near, mut far) = pair(SystemEnv::start()).await;
    let (mut reader, writer) = Stream::into_split(near);
    assert!(writer.has_no_unread_input());
    far.write_all(b"x").await.unwrap();
    far.shutdown().await.unwrap();
    while writer.has_no_unread_input() {
        tokio::task::yield_now().await;
    }
    reader.read_u8().await.unwrap();
    while writer.has_no_unread_input() {
        tokio::task::yield_now().await;
    }
    assert_eq!(reader.read_u8().await.unwrap_err().kind(), io::ErrorKind::UnexpectedEof);
}

#[tokio::test]
async fn a_timeout_ends_a_future_that_takes_too_long_and_no_other() {
    let env = SystemEnv::start();
    assert_eq!(env.timeout(1_000_000, std::future::pending::<()>()).await, Err(crate::Elapsed));
    assert_eq!(env.timeout(Span::MAX / 2, async { 7 }).await, Ok(7));
}

#[tokio::test]
async fn small_writes_are_sent_at_once_on_both_sides() {
    let (near, far) = pair(SystemEnv::start()).await;
    assert!(near.nodelay().unwrap() && far.nodelay().unwrap());
}
