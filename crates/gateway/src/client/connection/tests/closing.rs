//! Requests that arrive while their connection closes, is evicted, or times out.
//!
//! These tests run on one thread: the connection's task reads nothing until the test waits.

use super::*;

#[tokio::test]
async fn a_request_in_the_kernel_buffer_before_a_close_is_answered() {
    for trigger in CLOSE_TRIGGERS {
        let mut served = ServedConnection::start().await;
        if trigger == CloseTrigger::SlotWanted {
            served.send_without_yielding(&encoded_call());
            let first = receive_request(&mut served.inbox).await;
            served.send_without_yielding(&encoded_call());
            served.trigger_close(trigger);
            first.reply_to.send(FinalAnswer::Failed);
            expect_reply(&mut served.client, b"-ERR failed\r\n").await;
        } else {
            served.send_without_yielding(&encoded_call());
            served.trigger_close(trigger);
        }
        receive_request(&mut served.inbox).await.reply_to.send(FinalAnswer::Failed);
        expect_reply(&mut served.client, b"-ERR failed\r\n").await;
    }
}

#[tokio::test]
async fn bytes_that_arrive_after_a_close_are_discarded_without_a_reset() {
    for trigger in CLOSE_TRIGGERS {
        let mut served = ServedConnection::start().await;
        served.send_without_yielding(&encoded_call());
        let last = receive_request(&mut served.inbox).await;
        match trigger {
            // The slot is released before the client has closed the connection.
            CloseTrigger::SlotWanted => served.trigger_close(trigger),
            CloseTrigger::Eviction | CloseTrigger::Shutdown => {}
        }
        last.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"last")));
        // The reply has been sent, and the client has not read it yet.
        served.client.readable().await.unwrap();
        served.trigger_close(trigger);
        if trigger == CloseTrigger::Shutdown {
            // The connection is evicted while it lingers.
            while served.slot.get().0 != Activity::Lingering {
                tokio::task::yield_now().await;
            }
            served.trigger_close(CloseTrigger::Eviction);
        }
        let slot_permit = timeout(Duration::from_secs(20), served.slot_permits.acquire()).await;
        drop(slot_permit.expect("the slot has not been released").unwrap());
        for _ in 0..3 {
            served.send_without_yielding(&encoded_call());
            tokio::task::yield_now().await;
        }
        let mut all = Vec::new();
        let read = timeout(Duration::from_secs(20), served.client.read_to_end(&mut all)).await;
        assert!(read.expect("connection not closed").is_ok(), "{trigger:?}: reset after {all:?}");
        assert_eq!(all, b"$4\r\nlast\r\n", "{trigger:?}");
        assert!(
            served.inbox.try_recv().is_err(),
            "{trigger:?}: a request was read and forwarded after the close"
        );
    }
}

#[tokio::test]
async fn a_connection_that_closes_for_another_reason_clears_the_request_for_a_slot() {
    for client_disconnects in [false, true] {
        let mut served = ServedConnection::start().await;
        served.trigger_close(CloseTrigger::SlotWanted);
        if client_disconnects {
            served.client.shutdown().await.unwrap();
        } else {
            served.trigger_close(CloseTrigger::Shutdown);
        }
        let slot_permit = timeout(Duration::from_secs(20), served.slot_permits.acquire()).await;
        drop(slot_permit.expect("the slot has not been released").unwrap());
        let is_slot_wanted = served.contention.is_wanted();
        assert!(
            !is_slot_wanted,
            "another connection would close too; client disconnects: {client_disconnects}"
        );
    }
}

#[tokio::test]
async fn the_oldest_connections_that_linger_without_a_slot_are_closed() {
    let contention = SlotContention::default();
    let linger = |contention: SlotContention| {
        tokio::spawn(async move { contention.linger_without_slot(std::future::pending::<()>()).await })
    };
    let mut lingering: Vec<_> = (0..MAX_LINGERING + 2).map(|_| linger(contention.clone())).collect();
    for oldest in lingering.drain(..2) {
        timeout(Duration::from_secs(20), oldest).await.expect("too many connections linger").unwrap();
    }
    assert!(lingering.iter().all(|task| !task.is_finished()));
}

/// The kernel has already established the connections in the accept queue when the phase `Closing` begins: they are
/// served instead of reset.
#[tokio::test]
async fn connections_in_the_accept_queue_when_closing_begins_are_answered() {
    let (phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(8, phases);
    let address = start_accepting(context);
    let mut early = TcpStream::connect(address).await.unwrap();
    early.write_all(&encoded_call()).await.unwrap();
    let in_flight = receive_request(&mut inbox).await;
    // No task is notified of the following until the test waits.
    let mut late: Vec<std::net::TcpStream> =
        (0..3).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    late.iter_mut().for_each(|client| std::io::Write::write_all(client, &encoded_call()).unwrap());
    phase.send_replace(LifecyclePhase::Closing);
    for _ in &late {
        receive_request(&mut inbox).await.reply_to.send(FinalAnswer::Failed);
    }
    in_flight.reply_to.send(FinalAnswer::Failed);
    let to_tokio = |client: std::net::TcpStream| {
        client.set_nonblocking(true).unwrap();
        TcpStream::from_std(client).unwrap()
    };
    for mut client in late.into_iter().map(to_tokio).chain([early]) {
        let mut all = String::new();
        let read = timeout(Duration::from_secs(20), client.read_to_string(&mut all)).await;
        read.expect("connection not closed").expect("connection reset");
        assert_eq!(all, "-ERR failed\r\n");
    }
    let stopped_listening = async { while TcpStream::connect(address).await.is_ok() {} };
    timeout(Duration::from_secs(20), stopped_listening).await.expect("still listening");
}

/// When the command deadline expires, the connection checks the kernel for input that the runtime has not been notified
/// of.
#[test]
fn a_first_command_in_the_kernel_buffer_at_the_command_timeout_is_accepted() {
    for has_kernel_input in [true, false] {
        let mut connection = SimulatedConnection::start();
        connection.run(COMMAND_TIMEOUT - 1);
        connection.stream.0.lock().unwrap().has_kernel_input = has_kernel_input;
        assert_eq!(
            connection.run(2),
            has_kernel_input,
            "closed despite a command, or still open without one"
        );
        if has_kernel_input {
            connection.stream.send(&encoded_call());
            assert!(connection.run(MS));
            connection.receive_request();
        }
    }
}

/// The connection is evicted, once or several times, after it has received another request. It refuses, so that another
/// connection is evicted, and stays open when it becomes idle.
#[test]
fn an_eviction_while_busy_does_not_close_the_connection_when_it_becomes_idle() {
    for evictions in [1, 2] {
        let mut connection = SimulatedConnection::start();
        connection.stream.0.lock().unwrap().writable = usize::MAX;
        connection.stream.send(&encoded_call());
        connection.run(MS);
        (0..evictions).for_each(|_| connection.slot.evict.notify_one());
        assert!(connection.run(MS), "closed with a request in flight");
        let eviction_refused = connection.contention.eviction_refused.clone();
        assert!(pin!(eviction_refused.notified()).enable(), "the listener is not notified of the refusal");
        connection.receive_request().reply_to.send(FinalAnswer::Failed);
        assert!(connection.run(MS), "closed after {evictions} evictions");
        connection.slot.evict.notify_one();
        assert!(!connection.run(MS), "not closed by an eviction while idle");
    }
}
