use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn pair(env: Real) -> (TcpStream, TcpStream) {
    let mut listener = env.listen("127.0.0.1:0".parse().unwrap(), 8).unwrap();
    let near = env.connect(listener.local_addr().unwrap()).await.unwrap();
    (near, listener.accept().await.unwrap().0)
}

#[tokio::test]
async fn a_reset_is_seen_as_one() {
    let (near, far) = pair(Real::start()).await;
    let (reader, writer) = Stream::into_split(far);
    writer.reset();
    drop(reader);
    let (mut reader, _writer) = Stream::into_split(near);
    let error = reader.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn bytes_and_an_end_both_disturb_the_quiet() {
    let (near, mut far) = pair(Real::start()).await;
    let (mut reader, writer) = Stream::into_split(near);
    assert!(writer.is_quiet());
    far.write_all(b"x").await.unwrap();
    far.shutdown().await.unwrap();
    while writer.is_quiet() {
        tokio::task::yield_now().await;
    }
    reader.read_u8().await.unwrap();
    while writer.is_quiet() {
        tokio::task::yield_now().await;
    }
    assert_eq!(reader.read_u8().await.unwrap_err().kind(), io::ErrorKind::UnexpectedEof);
}

#[tokio::test]
async fn a_time_out_ends_what_takes_too_long_and_nothing_else() {
    let env = Real::start();
    assert_eq!(env.timeout(1_000_000, std::future::pending::<()>()).await, Err(crate::Elapsed));
    assert_eq!(env.timeout(Span::MAX / 2, async { 7 }).await, Ok(7));
}

#[tokio::test]
async fn small_writes_are_not_held_back_on_either_side() {
    let (near, far) = pair(Real::start()).await;
    assert!(near.nodelay().unwrap() && far.nodelay().unwrap());
}
