//! Many commands on one connection, and clients that read slowly.

use super::*;

/// A client that sends more than the limits allow is abandoned: its request in flight is reported as disconnected and
/// answered with a failure, before the replies to later commands. A late response is discarded.
#[tokio::test]
async fn a_client_that_sends_beyond_the_limits_is_abandoned() {
    let alternating = [&encoded_call()[..], PING].concat();
    for (input, flood) in [
        ("undecodable bytes", vec![b'x'; 2 * MAX_DISCARDED_BYTES]),
        ("commands with alternating replies", alternating.repeat(8 * MAX_PENDING_RUNS)),
    ] {
        let mut served = ServedConnection::start().await;
        let (mut reader, mut writer) = served.client.split();
        let sending = async {
            writer.write_all(&encoded_call()).await.unwrap();
            // The connection is closed before all of it has been written.
            let _ = writer.write_all(&flood).await;
        };
        let reading = async {
            let in_flight = receive_request(&mut served.inbox).await;
            let event =
                timeout(Duration::from_secs(20), served.inbox.recv()).await.expect("client not abandoned");
            assert!(
                matches!(event, Some(TrafficEvent::ClientDisconnected(id)) if id == in_flight.request.id),
                "{input}: {event:?}"
            );
            in_flight.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"late")));
            let mut first = [0; 13];
            reader.read_exact(&mut first).await.unwrap();
            assert_eq!(&first, b"-ERR failed\r\n", "{input}");
        };
        timeout(Duration::from_secs(20), async { tokio::join!(sending, reading) }).await.expect(input);
    }
}

#[tokio::test]
async fn commands_far_beyond_a_full_pipeline_are_rejected_in_order() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (mut context, mut inbox) = context(2, phases);
    context.budget =
        CommandBudget { slots: Arc::new(Semaphore::new(512)), bytes: Arc::new(Semaphore::new(64 << 20)) };
    let (mut reader, mut writer) = TcpStream::connect(start_accepting(context)).await.unwrap().into_split();
    // Encodes a call. With a length above zero, it is long and invalid, since it has an additional argument of this
    // length.
    let encode_call = |length: usize| {
        let list = "c=read,t=team,d=900,units=1,spread=1,first=0";
        let parts = ["CALL.GET", "0000000000000001", "0000000000000002", list];
        let mut call = BytesMut::new();
        resp::encode_array_header(&mut call, parts.len() + usize::from(length > 0));
        parts.iter().for_each(|part| resp::encode_bulk(&mut call, part.as_bytes()));
        if length > 0 {
            resp::encode_bulk(&mut call, &vec![b'x'; length]);
        }
        call
    };
    // Far more than the kernel's buffers hold: once all of it has been written, most of it has been read.
    let long_calls = 500;
    let all: Vec<u8> = std::iter::repeat_n(encode_call(0), MAX_PIPELINE)
        .chain(std::iter::repeat_n(encode_call(60_000), long_calls))
        .flatten()
        .collect();
    let writing = async {
        timeout(Duration::from_secs(20), writer.write_all(&all)).await.expect("input not read").unwrap()
    };
    let mut requests = Vec::new();
    let receiving = async {
        for _ in 0..MAX_PIPELINE {
            requests.push(receive_request(&mut inbox).await);
        }
    };
    tokio::join!(writing, receiving);
    for (number, incoming) in (0..).zip(requests.drain(..).rev()) {
        incoming.reply_to.send(if number % 2 == 0 {
            FinalAnswer::Failed
        } else {
            FinalAnswer::Rejected(Some(MS))
        });
    }
    let mut replies = Vec::new();
    let mut lines = tokio::io::BufReader::new(&mut reader);
    for _ in 0..MAX_PIPELINE + long_calls {
        let mut line = String::new();
        let read = tokio::io::AsyncBufReadExt::read_line(&mut lines, &mut line);
        timeout(Duration::from_secs(20), read).await.expect("no reply in time").unwrap();
        replies.push(line);
    }
    let (pipeline, beyond) = replies.split_at(MAX_PIPELINE);
    let is_expected = |(number, line): (usize, &String)| {
        line == if number % 2 == 0 { "-BUSY 1\r\n" } else { "-ERR failed\r\n" }
    };
    assert!(pipeline.iter().enumerate().all(is_expected), "{pipeline:?}");
    // A long call that is processed instead of rejected gets an error. That is so for the last ones, which were still
    // in the kernel's buffers when the pipeline became free.
    let rejected = beyond.iter().take_while(|line| *line == "-BUSY\r\n").count();
    assert!(rejected >= long_calls / 2 && rejected < long_calls, "{rejected} are rejected");
    assert!(beyond[rejected..].iter().all(|line| line.starts_with("-ERR wrong number")), "{beyond:?}");
}

/// The client writes more commands at once than the pipeline holds, and then nothing: no command may wait for another
/// event.
#[tokio::test]
async fn commands_beyond_the_pipeline_are_answered_without_a_further_event() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, _inbox) = context(2, phases);
    let mut client = TcpStream::connect(start_accepting(context)).await.unwrap();
    for count in [MAX_PIPELINE + 1, 3 * MAX_PIPELINE] {
        client.write_all(&b"*1\r\n$4\r\nPING\r\n".repeat(count)).await.unwrap();
        expect_reply(&mut client, &b"+PONG\r\n".repeat(count)).await;
    }
}

/// Guards against calls that are read and never answered: a client with more than 1,024 unanswered commands was
/// disconnected, although rejections take almost no memory.
#[test]
fn ten_thousand_calls_written_at_once_are_all_answered() {
    let mut connection = SimulatedConnection::start();
    connection.stream.0.lock().unwrap().writable = usize::MAX;
    let calls = 10_000;
    connection.stream.send(&encoded_call().repeat(calls));
    assert!(connection.run(MS), "closed with unanswered calls");
    assert_eq!(connection.take_replies(), "", "the first call has no reply yet");
    let mut requests = Vec::new();
    while let Ok(TrafficEvent::Request(incoming)) = connection.inbox.try_recv() {
        requests.push(incoming);
    }
    let forwarded = requests.len();
    assert_eq!(forwarded, MAX_PIPELINE);
    requests.into_iter().rev().for_each(|incoming| incoming.reply_to.send(FinalAnswer::Failed));
    assert!(connection.run(MS), "closed with unanswered calls");
    while let Ok(TrafficEvent::Request(incoming)) = connection.inbox.try_recv() {
        incoming.reply_to.send(FinalAnswer::Failed);
        connection.run(MS);
    }
    let replies = connection.take_replies();
    let rejected = replies.matches("-BUSY\r\n").count();
    assert_eq!(rejected + replies.matches("-ERR failed\r\n").count(), calls);
    assert!(replies.starts_with(&"-ERR failed\r\n".repeat(forwarded)), "not in the order of the commands");
    assert!(rejected > calls / 2, "{rejected} calls were rejected");
}

/// A client reads half of a reply each second, and each time the connection first receives the answer to another
/// command: the bytes that are written then renew the write deadline like all others.
#[test]
fn a_client_that_reads_slowly_while_answers_arrive_is_not_disconnected() {
    let mut connection = SimulatedConnection::start();
    connection.stream.send(&encoded_call().repeat(MAX_PIPELINE));
    assert!(connection.run(MS));
    for second in 0..MAX_PIPELINE {
        let value = vec![b'v'; 2_000];
        connection.receive_request().reply_to.send(FinalAnswer::Response(value.into()));
        connection.stream.0.lock().unwrap().writable += 1_000;
        assert!(connection.run(SECOND), "closed after {second} s");
    }
    assert!(!connection.run(READ_TIMEOUT), "the client has stopped reading");
}

/// Guards against a client that sends at full speed and delays the replies to all others: each turn of its connection
/// processed as many commands as had arrived, up to megabytes.
#[test]
fn a_connection_with_many_commands_lets_others_have_their_turn() {
    let unknown: &[u8] = b"*1\r\n$3\r\nFOO\r\n";
    for (command, reply) in [(PING, "+PONG\r\n"), (unknown, "-ERR unknown command\r\n")] {
        let connection = SimulatedConnection::start();
        connection.stream.0.lock().unwrap().writable = usize::MAX;
        let commands = 20_000;
        connection.stream.send(&command.repeat(commands));
        assert!(connection.run(MS));
        assert_eq!(connection.take_replies(), reply.repeat(commands));
        let most = connection.max_written_in_poll.load(Ordering::Relaxed) / reply.len();
        assert!(most <= COMMANDS_PER_TURN + MAX_PIPELINE, "{most} commands in one turn");
    }
}

/// Guards against calls that are forwarded long after their client has disconnected. While a client sends more than the
/// pipeline takes, the end of its connection may lie behind what has not been read: its calls are rejected until all of
/// that has been read.
#[test]
fn calls_behind_a_stale_backlog_are_rejected() {
    let mut connection = SimulatedConnection::start();
    connection.stream.0.lock().unwrap().writable = usize::MAX;
    let calls_in_chunk = resp::MAX_READ_BYTES / encoded_call().len() + 10;
    let chunk = encoded_call().repeat(calls_in_chunk);
    for _ in 0..4 {
        connection.stream.send(&chunk);
        assert!(connection.run(20 * MS));
    }
    let requests: Vec<IncomingRequest> = (0..MAX_PIPELINE).map(|_| connection.receive_request()).collect();
    requests.into_iter().for_each(|incoming| incoming.reply_to.send(FinalAnswer::Failed));
    assert!(connection.run(MS));
    let rejected = "-BUSY\r\n".repeat(4 * calls_in_chunk - MAX_PIPELINE);
    assert_eq!(connection.take_replies(), "-ERR failed\r\n".repeat(MAX_PIPELINE) + &rejected);
    assert!(connection.inbox.try_recv().is_err(), "a call behind the backlog was forwarded");
    // Once nothing more has come for a while, calls are forwarded again.
    assert!(connection.run(100 * MS));
    connection.stream.send(&encoded_call());
    assert!(connection.run(MS));
    connection.receive_request();
}
