use super::*;
use fennelbeam_env::Real;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

fn context(room: usize, phase: watch::Receiver<Phase>) -> (Context<Real>, UnboundedReceiver<Input>) {
    let settings = crate::config::sample("safe", 1_000_000_000, 1_000_000_000);
    let (gateway, inbox) = mpsc::unbounded_channel();
    let context = Context {
        site: Arc::new(Site::parse(&settings).unwrap()),
        env: Real::start(),
        gateway,
        phase,
        ids: Arc::default(),
        crowd: Crowd::default(),
        room: Room::within(&Budget::within(room * 2 * resp::MAX_VALUE, 0)),
    };
    (context, inbox)
}

async fn request(inbox: &mut UnboundedReceiver<Input>) -> Incoming {
    match timeout(Duration::from_secs(20), inbox.recv()).await.unwrap() {
        Some(Input::Request(incoming)) => *incoming,
        other => panic!("{other:?}"),
    }
}

fn a_call() -> BytesMut {
    let mut call = BytesMut::new();
    resp::put_header(&mut call, b'*', 4);
    for word in
        ["CALL.GET", "0000000000000001", "0000000000000002", "c=read,t=team,d=900,units=1,spread=1,first=0"]
    {
        resp::put_bulk(&mut call, word.as_bytes());
    }
    call
}

/// Accepts connections with this room for their commands.
fn accepting(context: Context<Real>) -> SocketAddr {
    let listener = listen(&context.env, "127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(accept(listener, Limits { connections: 16, callers: 16 }, context));
    address
}

async fn expect(client: &mut TcpStream, wanted: &[u8]) {
    let mut got = vec![0; wanted.len()];
    timeout(Duration::from_secs(20), client.read_exact(&mut got)).await.expect("starved").unwrap();
    assert_eq!(String::from_utf8_lossy(&got), String::from_utf8_lossy(wanted));
}

#[tokio::test]
async fn commands_in_hand_are_bounded_over_all_connections() {
    let (_phase, phases) = watch::channel(Phase::Ready);
    let (context, mut inbox) = context(2, phases);
    let (address, call) = (accepting(context), a_call());
    let (mut clients, mut taken) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(&call).await.unwrap();
        taken.push(request(&mut inbox).await);
        clients.push(client);
    }
    let mut other = TcpStream::connect(address).await.unwrap();
    other.write_all(&call).await.unwrap();
    expect(&mut other, b"-BUSY\r\n").await;
    taken.pop().unwrap().reply.answer(Answer::Failed);
    expect(&mut clients[1], b"-ERR failed\r\n").await;
    other.write_all(&call).await.unwrap();
    request(&mut inbox).await.reply.answer(Answer::Failed);
}

#[tokio::test]
async fn a_connection_that_takes_many_places_leaves_some_to_others() {
    let (_phase, phases) = watch::channel(Phase::Ready);
    let (context, mut inbox) = context(8, phases);
    let (address, call) = (accepting(context), a_call());
    let mut greedy = TcpStream::connect(address).await.unwrap();
    greedy.write_all(&call.repeat(8)).await.unwrap();
    // The first holds none of eight, the second one of seven left; two are not fewer than a quarter of six.
    let (first, second) = (request(&mut inbox).await, request(&mut inbox).await);
    let mut others = Vec::new();
    for _ in 0..6 {
        let mut other = TcpStream::connect(address).await.unwrap();
        other.write_all(&call).await.unwrap();
        request(&mut inbox).await.reply.answer(Answer::Served(Bytes::from_static(b"v")));
        expect(&mut other, b"$1\r\nv\r\n").await;
        others.push(other);
    }
    first.reply.answer(Answer::Failed);
    second.reply.answer(Answer::Failed);
    expect(&mut greedy, b"-ERR failed\r\n-ERR failed\r\n-BUSY\r\n-BUSY\r\n").await;
}

#[tokio::test]
async fn a_value_that_is_not_read_keeps_its_place() {
    let (_phase, phases) = watch::channel(Phase::Ready);
    let (context, mut inbox) = context(1, phases);
    let (address, call) = (accepting(context), a_call());
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut deaf = socket.connect(address).await.unwrap();
    // So many values that some are not taken by the system's buffers.
    let mut unread = 0;
    let mut other = TcpStream::connect(address).await.unwrap();
    loop {
        deaf.write_all(&call).await.unwrap();
        let next = timeout(Duration::from_secs(20), inbox.recv());
        let Ok(Some(Input::Request(incoming))) = next.await else { panic!("no request") };
        incoming.reply.answer(Answer::Served(Bytes::from(vec![b'x'; resp::MAX_VALUE])));
        unread += 1;
        other.write_all(&call).await.unwrap();
        let busy = async {
            let mut answer = [0; 7];
            other.read_exact(&mut answer).await.unwrap();
            answer
        };
        tokio::select! {
            biased;
            answer = busy => {
                assert_eq!(&answer, b"-BUSY\r\n");
                break;
            }
            Some(Input::Request(incoming)) = inbox.recv() => {
                incoming.reply.answer(Answer::Served(Bytes::from_static(b"v")));
            }
        }
        expect(&mut other, b"$1\r\nv\r\n").await;
        assert!(unread < 1000, "unread values take no places");
    }
}

#[tokio::test]
async fn without_room_each_whole_command_gets_an_answer_of_its_own() {
    let (_phase, phases) = watch::channel(Phase::Ready);
    let (mut context, mut inbox) = context(2, phases);
    context.room = Room { places: Arc::new(Semaphore::new(64)), bytes: Arc::new(Semaphore::new(1)) };
    tokio::spawn(async move {
        while let Some(Input::Request(incoming)) = inbox.recv().await {
            incoming.reply.answer(Answer::Failed);
        }
    });
    let mut client = TcpStream::connect(accepting(context)).await.unwrap();
    // More than the free bytes, in one go.
    let mut all = a_call().repeat(200);
    all.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
    client.write_all(&all).await.unwrap();
    let mut answers = String::new();
    while !answers.ends_with("+PONG\r\n") {
        let byte = timeout(Duration::from_secs(20), client.read_u8()).await.expect("no PONG").unwrap();
        answers.push(char::from(byte));
    }
    let count = |what: &str| answers.matches(what).count();
    assert_eq!(count("-BUSY\r\n") + count("-ERR failed\r\n"), 200, "{answers}");
    assert!(count("-BUSY\r\n") > 0, "there was room");
}

#[tokio::test]
async fn long_commands_beyond_the_room_are_an_error_not_a_wait() {
    let (_phase, phases) = watch::channel(Phase::Ready);
    let (mut context, _inbox) = context(2, phases);
    context.room = Room::within(&Budget::within(8 * 64 * 1024, 0));
    let address = accepting(context);
    let mut begun = BytesMut::new();
    resp::put_header(&mut begun, b'*', 5);
    resp::put_header(&mut begun, b'$', resp::MAX_VALUE);
    begun.resize(40 * 1024, b'x');
    let mut first = TcpStream::connect(address).await.unwrap();
    first.write_all(&begun).await.unwrap();
    let mut second = TcpStream::connect(address).await.unwrap();
    second.write_all(&begun).await.unwrap();
    // Either may be the one without room.
    let refused = tokio::select! {
        byte = first.read_u8() => byte.unwrap(),
        byte = second.read_u8() => byte.unwrap(),
    };
    assert_eq!(refused, b'-');
}
