//! A library that knows nothing of this, over a simulated connection.

use crate::support::pair;
use cluster_model::SECOND;
use http_body_util::{BodyExt, Empty};
use hyper::{body::Bytes, client::conn::http1, Request};
use hyper_util::rt::TokioIo;
use runtime::Env;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn an_http_client_of_others_works_over_it() {
    let room = pair();
    room.serve(|_, mut stream| async move {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello").await.unwrap();
    });
    let notes = room.notes.clone();
    room.ask(|env, stream| async move {
        let (mut sender, carry) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        env.spawn(async move { carry.await.unwrap() });
        let request = Request::get("/").body(Empty::<Bytes>::new()).unwrap();
        let body = sender.send_request(request).await.unwrap().into_body().collect().await.unwrap();
        notes.add(&env, String::from_utf8_lossy(&body.to_bytes()));
    });
    assert_eq!(room.run(SECOND), ["2.4 hello"]);
}
