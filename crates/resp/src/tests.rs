use super::decode::MAX_LINE;
use super::*;
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn bulk(text: &[u8]) -> Frame {
    Frame::Bulk(Bytes::copy_from_slice(text))
}

fn read_buffer(input: &[u8]) -> ReadBuffer {
    let mut buffer = ReadBuffer::new();
    buffer.extend_from_slice(input);
    buffer
}

#[test]
fn frames_of_every_kind_are_decoded() {
    let mut buffer = BytesMut::from(
        &b"+OK\r\n-BUSY 5\r\n:7\r\n$2\r\nhi\r\n$-1\r\n*2\r\n$0\r\n\r\n$-1\r\n*-1\r\n*0\r\n"[..],
    );
    let text = Bytes::from_static;
    for expected in [
        Frame::Simple(text(b"OK")),
        Frame::Error(text(b"BUSY 5")),
        Frame::Integer(text(b"7")),
        bulk(b"hi"),
        Frame::Null,
        Frame::Array(vec![bulk(b""), Frame::Null]),
        Frame::Null,
        Frame::Array(vec![]),
    ] {
        assert_eq!(decode(&mut buffer).unwrap(), Some(expected));
    }
    assert!(buffer.is_empty());
}

#[test]
fn lengths_and_counts_that_are_malformed_or_exceed_their_maximum_are_rejected() {
    let long = format!("+{}", "x".repeat(MAX_LINE));
    let nested = "*1\r\n".repeat(20_000);
    let many_values = format!("*2\r\n$65536\r\n{}\r\n$65536\r\n", "x".repeat(MAX_VALUE));
    for text in ["$65537\r\n", "*17\r\n", "$-2\r\n", "$+1\r\n", "*1e3\r\n", &long, &nested, &many_values] {
        assert!(decode(&mut BytesMut::from(text)).is_err(), "{}", &text[..text.len().min(20)]);
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    #[test]
    fn a_command_in_two_fragments_is_decoded_when_the_second_arrives(
        words in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..6),
        split_at in 0usize..2000,
    ) {
        let mut text = BytesMut::new();
        encode_array_header(&mut text, words.len());
        words.iter().for_each(|word| encode_bulk(&mut text, word));
        let split_at = split_at.min(text.len() - 1);
        let mut buffer = BytesMut::from(&text[..split_at]);
        prop_assert_eq!(decode(&mut buffer).unwrap(), None);
        buffer.extend_from_slice(&text[split_at..]);
        let expected = Frame::Array(words.iter().map(|word| bulk(word)).collect());
        prop_assert_eq!(decode(&mut buffer).unwrap(), Some(expected));
    }

    /// An array that arrives in fragments is skipped exactly up to its end, and at most a line of it is kept meanwhile.
    #[test]
    fn an_array_in_fragments_is_skipped_up_to_its_end(
        words in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..3000), 0..6),
        fragment_length in 1usize..4000,
    ) {
        let mut text = BytesMut::new();
        encode_array_header(&mut text, words.len());
        words.iter().for_each(|word| encode_bulk(&mut text, word));
        let length = text.len();
        text.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
        let (mut skipper, mut buffer, mut arrived) = (ArraySkipper::default(), ReadBuffer::new(), 0);
        for fragment in text.chunks(fragment_length) {
            buffer.extend_from_slice(fragment);
            arrived += fragment.len();
            let is_complete = skipper.skip(&mut buffer).unwrap();
            prop_assert_eq!(is_complete, arrived >= length);
            if is_complete {
                break;
            }
            prop_assert!(buffer.len() < MAX_LINE);
        }
        prop_assert_eq!(buffer.as_slice(), &text[length..arrived]);
    }

    /// Bytes after the header of an array are skipped or rejected as they are decoded or rejected.
    #[test]
    fn an_array_is_skipped_if_and_only_if_it_is_decoded(
        count in 0usize..20,
        items in prop::collection::vec(
            prop::sample::select(vec![
                "$3\r\nabc\r\n", "$-1\r\n", ":5\r\n", "+OK\r\n", "$3\r\nabcd\r\n", "$65537\r\n", "$65536\r\n", "x", "$1",
            ]),
            0..6,
        ),
    ) {
        let text = format!("*{count}\r\n{}", items.concat());
        let decoded = read_buffer(text.as_bytes()).decode();
        let skipped = ArraySkipper::default().skip(&mut read_buffer(text.as_bytes()));
        match (decoded, skipped) {
            (Ok(frame), Ok(is_complete)) => prop_assert_eq!(frame.is_some(), is_complete, "{}", text),
            (decoded, skipped) => {
                let decoded = decoded.expect_err("an error").to_string();
                prop_assert_eq!(decoded, skipped.expect_err("an error").to_string(), "{}", text);
            }
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = decode(&mut buffer) {}
        let mut buffer = read_buffer(&bytes);
        while let Ok(Some(_)) = buffer.decode() {}
        let _ = ArraySkipper::default().skip(&mut read_buffer(&bytes));
    }
}

/// Commands with these lengths of their last argument.
fn commands(lengths: &[usize]) -> BytesMut {
    let mut text = BytesMut::new();
    for length in lengths {
        encode_array_header(&mut text, 2);
        encode_bulk(&mut text, b"CALL.POST");
        encode_bulk(&mut text, &vec![b'x'; *length]);
    }
    text
}

fn length_of_last(frame: &Frame) -> usize {
    match frame {
        Frame::Array(items) => match items.last() {
            Some(Frame::Bulk(value)) => value.len(),
            other => panic!("{other:?}"),
        },
        other => panic!("{other:?}"),
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(8), failure_persistence: None, cases: 64, ..Config::default() })]

    /// Guards against buffers that stay allocated when their frames are gone: the memory of a buffer is bounded by the
    /// input that it holds, in whatever pieces that arrives.
    #[test]
    fn a_read_buffer_allocates_little_more_than_its_input(
        lengths in prop::collection::vec(prop::sample::select(vec![0, 10, 900, 1_100, 5_000, 40_000, MAX_VALUE]), 1..6),
        piece_length in prop::sample::select(vec![7, 512, 4_000, 16 * 1024, 200_000]),
    ) {
        let (text, mut buffer, mut decoded) = (commands(&lengths), ReadBuffer::new(), Vec::new());
        for piece in text.chunks(piece_length) {
            buffer.extend_from_slice(piece);
            prop_assert!(buffer.allocated_bytes() <= (2 * buffer.len()).max(4 * 1024 + 512));
            while let Some(frame) = buffer.decode().unwrap() {
                decoded.push(length_of_last(&frame));
                prop_assert!(buffer.allocated_bytes() <= (2 * buffer.len()).max(4 * 1024 + 512));
            }
        }
        prop_assert_eq!(decoded, lengths);
        prop_assert_eq!(buffer.allocated_bytes(), 0);
    }
}

/// A skipped array leaves no allocation behind, also where it stops in the middle.
#[test]
fn a_skipped_array_holds_no_memory() {
    let text = commands(&[MAX_VALUE]);
    for arrived in [40_000, text.len()] {
        let (mut skipper, mut buffer) = (ArraySkipper::default(), read_buffer(&text[..arrived]));
        assert_eq!(skipper.skip(&mut buffer).unwrap(), arrived == text.len());
        assert_eq!(buffer.allocated_bytes(), 0);
    }
}
