use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn connected_pair(env: SystemEnv) -> (TcpStream, TcpStream) {
    let mut listener = env.listen("127.0.0.1:0".parse().unwrap(), 8).unwrap();
    let client = env.connect(listener.local_addr().unwrap()).await.unwrap();
    (client, listener.accept().await.unwrap().0)
}

#[tokio::test]
async fn the_peer_of_a_connection_that_is_reset_reads_an_error() {
    let (client, server) = connected_pair(SystemEnv::start()).await;
    let (reader, writer) = Stream::into_split(server);
    writer.reset();
    drop(reader);
    let (mut reader, _writer) = Stream::into_split(client);
    let error = reader.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn bytes_and_the_end_of_a_stream_are_reported_as_unread_input() {
    let (client, mut server) = connected_pair(SystemEnv::start()).await;
    let (mut reader, writer) = Stream::into_split(client);
    assert!(writer.has_no_unread_input());
    server.write_all(b"x").await.unwrap();
    server.shutdown().await.unwrap();
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
async fn only_a_future_that_exceeds_its_timeout_is_ended() {
    let env = SystemEnv::start();
    assert_eq!(env.timeout(1_000_000, std::future::pending::<()>()).await, Err(crate::Elapsed));
    assert_eq!(env.timeout(Span::MAX / 2, async { 7 }).await, Ok(7));
}

#[tokio::test]
async fn connecting_and_accepting_set_nodelay() {
    let (client, server) = connected_pair(SystemEnv::start()).await;
    assert!(client.nodelay().unwrap() && server.nodelay().unwrap());
}
