use super::*;

/// Guards against connections at rest that keep the memory of the longest queue of replies that they have had.
#[test]
fn queues_of_replies_hold_little_memory_once_they_are_empty() {
    let (mut pending, mut output) = (PendingReplies::default(), Output::default());
    for number in 0..1_000 {
        pending.push(PendingReply::Ready(Reply::error(number)));
    }
    while let Some(reply) = pending.pop_ready() {
        output.push(reply);
    }
    assert!(pending.runs.capacity() <= MAX_IDLE_CAPACITY, "{}", pending.runs.capacity());
    assert_eq!(output.replies(), 1_000);
    output.bytes.advance(output.bytes.remaining());
    assert!(output.on_written());
    assert!(output.is_empty() && output.reply_ends.capacity() <= MAX_IDLE_CAPACITY);
    output.push(Reply::error("another"));
    assert_eq!((output.replies(), output.bytes.remaining()), (1, b"-ERR another\r\n".len()));
}
