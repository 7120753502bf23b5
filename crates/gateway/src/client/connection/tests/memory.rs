//! The memory that connections hold together: command slots, and the bytes of commands.

use super::*;

#[tokio::test]
async fn commands_in_flight_are_bounded_across_all_connections() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(2, phases);
    let (address, call) = (start_accepting(context), encoded_call());
    let (mut clients, mut requests) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(&call).await.unwrap();
        requests.push(receive_request(&mut inbox).await);
        clients.push(client);
    }
    let mut other = TcpStream::connect(address).await.unwrap();
    other.write_all(&call).await.unwrap();
    expect_reply(&mut other, b"-BUSY\r\n").await;
    requests.pop().unwrap().reply_to.send(FinalAnswer::Failed);
    expect_reply(&mut clients[1], b"-ERR failed\r\n").await;
    other.write_all(&call).await.unwrap();
    receive_request(&mut inbox).await.reply_to.send(FinalAnswer::Failed);
}

#[tokio::test]
async fn a_connection_with_many_commands_leaves_command_slots_for_others() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(8, phases);
    let (address, call) = (start_accepting(context), encoded_call());
    let mut busy_client = TcpStream::connect(address).await.unwrap();
    busy_client.write_all(&call.repeat(8)).await.unwrap();
    // The connection gets its first slot while it holds 0 and 8 are available, and its second while it holds 1 and 7
    // are available. It gets no third one, since the 2 that it holds are not less than a quarter of the 6 available.
    let (first, second) = (receive_request(&mut inbox).await, receive_request(&mut inbox).await);
    let mut others = Vec::new();
    for _ in 0..6 {
        let mut other = TcpStream::connect(address).await.unwrap();
        other.write_all(&call).await.unwrap();
        receive_request(&mut inbox).await.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"v")));
        expect_reply(&mut other, b"$1\r\nv\r\n").await;
        others.push(other);
    }
    first.reply_to.send(FinalAnswer::Failed);
    second.reply_to.send(FinalAnswer::Failed);
    expect_reply(&mut busy_client, b"-ERR failed\r\n-ERR failed\r\n-BUSY\r\n-BUSY\r\n").await;
}

#[tokio::test]
async fn an_unread_value_keeps_its_command_slot() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(1, phases);
    let (address, call) = (start_accepting(context), encoded_call());
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut slow_reader = socket.connect(address).await.unwrap();
    // The values fill the kernel's buffers at some point, and the next one stays in the gateway.
    let mut unread = 0;
    let mut other = TcpStream::connect(address).await.unwrap();
    loop {
        slow_reader.write_all(&call).await.unwrap();
        let next = timeout(Duration::from_secs(20), inbox.recv());
        let Ok(Some(TrafficEvent::Request(incoming))) = next.await else { panic!("no request") };
        incoming.reply_to.send(FinalAnswer::Response(Bytes::from(vec![b'x'; resp::MAX_VALUE])));
        unread += 1;
        other.write_all(&call).await.unwrap();
        let rejection = async {
            let mut reply = [0; 7];
            other.read_exact(&mut reply).await.unwrap();
            reply
        };
        tokio::select! {
            biased;
            reply = rejection => {
                assert_eq!(&reply, b"-BUSY\r\n");
                break;
            }
            Some(TrafficEvent::Request(incoming)) = inbox.recv() => {
                incoming.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"v")));
            }
        }
        expect_reply(&mut other, b"$1\r\nv\r\n").await;
        assert!(unread < 1000, "unread values hold no command slots");
    }
}

#[tokio::test]
async fn each_complete_command_gets_its_own_reply_when_the_byte_budget_is_exhausted() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (mut context, mut inbox) = context(2, phases);
    context.budget =
        CommandBudget { slots: Arc::new(Semaphore::new(64)), bytes: Arc::new(Semaphore::new(1)) };
    tokio::spawn(async move {
        while let Some(TrafficEvent::Request(incoming)) = inbox.recv().await {
            incoming.reply_to.send(FinalAnswer::Failed);
        }
    });
    let mut client = TcpStream::connect(start_accepting(context)).await.unwrap();
    // More than the unbudgeted bytes, in one write.
    let mut all = encoded_call().repeat(200);
    all.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
    client.write_all(&all).await.unwrap();
    let mut replies = String::new();
    while !replies.ends_with("+PONG\r\n") {
        let byte = timeout(Duration::from_secs(20), client.read_u8()).await.expect("no PONG").unwrap();
        replies.push(char::from(byte));
    }
    let count = |reply: &str| replies.matches(reply).count();
    assert_eq!(count("-BUSY\r\n") + count("-ERR failed\r\n"), 200, "{replies}");
    assert!(count("-BUSY\r\n") > 0, "no command was rejected");
}

fn encoded_order(body_length: usize) -> BytesMut {
    let list = "c=order,t=team,d=900,units=1,spread=1,first=0";
    let mut order = BytesMut::new();
    resp::encode_array_header(&mut order, 5);
    for part in ["CALL.POST", "0000000000000001", "0000000000000002", list] {
        resp::encode_bulk(&mut order, part.as_bytes());
    }
    resp::encode_bulk(&mut order, &vec![b'b'; body_length]);
    order
}

/// A connection with an order in flight, and the permits that leave no memory for the bytes of further commands.
fn connection_without_command_memory() -> (SimulatedConnection, OwnedSemaphorePermit) {
    let bytes = Arc::new(Semaphore::new(resp::MAX_FRAME));
    let budget = CommandBudget { slots: Arc::new(Semaphore::new(64)), bytes: bytes.clone() };
    let connection = SimulatedConnection::start_with("unsafe", Some(budget));
    connection.stream.0.lock().unwrap().writable = usize::MAX;
    // Longer than the unbudgeted bytes.
    connection.stream.send(&encoded_order(5_000));
    assert!(connection.run(MS));
    let available = u32::try_from(bytes.available_permits()).unwrap();
    (connection, bytes.try_acquire_many_owned(available).unwrap())
}

/// Guards against orders that were written completely and never answered: when the memory for commands had no room for
/// the rest of one, it and all behind it were discarded, and the connection was closed.
#[test]
fn a_long_command_without_memory_is_rejected_at_its_end_and_the_commands_behind_it_are_answered() {
    let order = encoded_order(60_000);
    let commands = [&order[..], &order, PING].concat();
    let within_first = [1, 1_000, 5_000, 40_000].into_iter().chain(order.len() - 3..order.len() + 3);
    for split_at in within_first.chain([order.len() + 5_000, 2 * order.len()]) {
        let (mut connection, permits) = connection_without_command_memory();
        for part in [&commands[..split_at], &commands[split_at..]] {
            connection.stream.send(part);
            assert!(connection.run(MS), "closed; first part of {split_at} bytes");
        }
        assert_eq!(connection.take_replies(), "", "the first command has no reply yet");
        connection.receive_request().reply_to.send(FinalAnswer::Failed);
        assert!(connection.run(COMMAND_TIMEOUT + MS), "closed; first part of {split_at} bytes");
        assert_eq!(
            connection.take_replies(),
            "-ERR failed\r\n-BUSY\r\n-BUSY\r\n+PONG\r\n",
            "first part of {split_at} bytes"
        );
        drop(permits);
        connection.stream.send(&order);
        assert!(connection.run(MS));
        connection.receive_request();
    }
}

/// Guards against health checks that are skipped because they arrive in pieces: what a connection holds for its
/// requests in flight has room for one.
#[test]
fn a_health_check_in_pieces_is_answered_without_memory_for_commands() {
    let (mut connection, _permits) = connection_without_command_memory();
    for piece in [&PING[..5], &PING[5..]] {
        connection.stream.send(piece);
        assert!(connection.run(MS));
    }
    connection.receive_request().reply_to.send(FinalAnswer::Failed);
    assert!(connection.run(MS));
    assert_eq!(connection.take_replies(), "-ERR failed\r\n+PONG\r\n");
}

/// A command that is skipped counts as one that has arrived in part: its connection is not evicted, stays open in the
/// phase `Closing`, and gets an error if the rest is late.
#[test]
fn a_long_command_without_memory_keeps_its_connection_until_its_rest_is_late() {
    let (order, arrived) = (encoded_order(60_000), 40_000);
    for (rest_arrives, phase) in [
        (true, LifecyclePhase::Ready),
        (true, LifecyclePhase::Closing),
        (false, LifecyclePhase::Ready),
        (false, LifecyclePhase::Closing),
    ] {
        let case = format!("{phase:?}, rest arrives: {rest_arrives}");
        let (mut connection, _permits) = connection_without_command_memory();
        connection.stream.send(&order[..arrived]);
        assert!(connection.run(MS), "{case}");
        connection.receive_request().reply_to.send(FinalAnswer::Failed);
        assert!(connection.run(MS), "{case}");
        assert_eq!(connection.take_replies(), "-ERR failed\r\n", "{case}");
        connection.slot.evict.notify_one();
        assert!(connection.run(MS), "evicted in the middle of a command; {case}");
        connection.phase.send_replace(phase);
        assert!(connection.run(COMMAND_TIMEOUT - 4 * MS), "closed in the middle of a command; {case}");
        assert_eq!(connection.take_replies(), "", "{case}");
        if rest_arrives {
            connection.stream.send(&order[arrived..]);
        }
        let is_open = connection.run(10 * MS);
        let expected =
            if rest_arrives { "-BUSY\r\n" } else { "-ERR protocol error: command not whole in time\r\n" };
        assert_eq!(connection.take_replies(), expected, "{case}");
        assert_eq!(is_open, rest_arrives && phase == LifecyclePhase::Ready, "{case}");
    }
}

#[test]
fn a_long_command_without_memory_that_is_malformed_ends_with_an_error_after_the_earlier_replies() {
    let (mut connection, _permits) = connection_without_command_memory();
    let (mut order, arrived) = (encoded_order(60_000), 40_000);
    let end = order.len() - 2;
    order[end..].copy_from_slice(b"xx");
    for part in [&order[..arrived], &order[arrived..]] {
        connection.stream.send(part);
        assert!(connection.run(MS));
    }
    connection.receive_request().reply_to.send(FinalAnswer::Failed);
    assert!(!connection.run(MS));
    assert_eq!(connection.take_replies(), "-ERR failed\r\n-ERR protocol error: malformed bulk end\r\n");
}

/// Guards against memory that grows with replies that a client does not read: each connection had room for 1,024 replies
/// that differ from one to the next, regardless of the memory. Without memory for them, the client is abandoned; equal
/// replies need none.
#[test]
fn replies_that_differ_are_bounded_by_the_memory_for_commands() {
    let alternating = [&encoded_call()[..], PING].concat();
    for (flood, is_abandoned) in [
        (alternating.repeat(UNBUDGETED_RUNS / 4), false),
        (alternating.repeat(UNBUDGETED_RUNS), true),
        (encoded_call().repeat(1_000), false),
    ] {
        let (mut connection, _permits) = connection_without_command_memory();
        connection.stream.0.lock().unwrap().writable = 0;
        connection.stream.send(&flood);
        connection.run(MS);
        let in_flight = connection.receive_request().request.id;
        let mut events = std::iter::from_fn(|| connection.inbox.try_recv().ok());
        let disconnected =
            events.any(|event| matches!(event, TrafficEvent::ClientDisconnected(id) if id == in_flight));
        assert_eq!(disconnected, is_abandoned, "{} bytes", flood.len());
    }
}
