//! Bytes of a host's answers, good ones and spoilt ones.

use bytes::{BufMut, Bytes, BytesMut};
use cluster_model::requests;
use cluster_model::rng::Rng;
use resp::{encode_array_header, encode_bulk};

/// What a host sends at the most of a value that it said to be huge, and then falls silent.
const HUGE_SENT: usize = 64 * 1024;
const HUGE_CLAIMED: usize = 3 << 30;
const ENDLESS_SENT: usize = 2 * 1024;
const NULL: &[u8] = b"$-1\r\n";

/// What there is to be sent for a served request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Answer {
    /// All of it.
    pub bytes: Bytes,
    /// The value can be read from it.
    pub good: bool,
    /// So can the true units.
    pub figures: bool,
}

impl Answer {
    /// As much of it as is sent before its connection is reset.
    pub fn half(&self) -> Answer {
        Answer { bytes: self.bytes.slice(..self.bytes.len() / 2), good: false, figures: false }
    }
}

/// The answer to a request: its value, the figures where there are any, no load report.
pub(super) fn served(id: u64, units: Option<u32>) -> Answer {
    let figures = units.map(|units| format!("cost={units}"));
    Answer { bytes: array(id, figures.as_deref()), good: true, figures: units.is_some() }
}

fn array(id: u64, figures: Option<&str>) -> Bytes {
    let mut out = BytesMut::with_capacity(96);
    encode_array_header(&mut out, 3);
    encode_bulk(&mut out, requests::response_value(id).as_bytes());
    match figures {
        Some(text) => encode_bulk(&mut out, text.as_bytes()),
        None => out.put_slice(NULL),
    }
    out.put_slice(NULL);
    out.freeze()
}

/// How an answer is spoilt. From `SecondCopy` on the value is good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Spoiling {
    /// Bytes without sense.
    Noise,
    /// A line that does not end.
    EndlessLine,
    /// A value said to be shorter than it is.
    ShortLength,
    /// A value said to be longer than it is.
    LongLength,
    /// A length below nothing.
    NegativeLength,
    /// A value of gigabytes that keeps coming.
    Huge,
    /// The answer stops in the middle.
    Truncated,
    /// Figures that cannot be read.
    OddFigures,
    /// The answer comes twice.
    SecondCopy,
    /// Bytes without sense behind the answer.
    NoiseBehind,
}

impl Spoiling {
    const ALL: [Spoiling; 10] = [
        Spoiling::Noise,
        Spoiling::EndlessLine,
        Spoiling::ShortLength,
        Spoiling::LongLength,
        Spoiling::NegativeLength,
        Spoiling::Huge,
        Spoiling::Truncated,
        Spoiling::OddFigures,
        Spoiling::SecondCopy,
        Spoiling::NoiseBehind,
    ];

    /// Any of them. What brings more than belongs to it does so only if nothing else waits on the connection
    /// (`alone`): the rest would be taken for the answer to that.
    pub(super) fn draw(rng: &mut Rng, alone: bool) -> Spoiling {
        let count = if alone { Self::ALL.len() } else { Self::ALL.len() - 2 };
        Self::ALL[rng.below(count as u64) as usize]
    }

    /// The answer, spoilt so.
    pub(super) fn apply(self, rng: &mut Rng, id: u64, answer: Answer) -> Answer {
        let good = &answer.bytes;
        let bytes = match self {
            Spoiling::Noise => noise(rng),
            Spoiling::EndlessLine => repeat(b"$", ENDLESS_SENT),
            Spoiling::ShortLength => with_length(id, |length| length - 3),
            Spoiling::LongLength => with_length(id, |length| length + 300),
            Spoiling::NegativeLength => with_length(id, |length| -length),
            Spoiling::Huge => repeat(format!("*3\r\n${HUGE_CLAIMED}\r\n").as_bytes(), HUGE_SENT),
            Spoiling::Truncated => good.slice(..1 + rng.below(good.len() as u64 - 1) as usize),
            Spoiling::OddFigures => array(id, Some("cost=,=4,used=\u{fffd}")),
            Spoiling::SecondCopy => [good.clone(), good.clone()].concat().into(),
            Spoiling::NoiseBehind => [good.clone(), noise(rng)].concat().into(),
        };
        let behind = matches!(self, Spoiling::SecondCopy | Spoiling::NoiseBehind);
        let good = behind || self == Spoiling::OddFigures;
        Answer { bytes, good, figures: answer.figures && behind }
    }
}

/// Bytes without sense, the first of which begins no kind of answer.
fn noise(rng: &mut Rng) -> Bytes {
    let count = 8 + rng.below(57);
    let bytes = std::iter::once(0x07).chain((1..count).map(|_| rng.below(256) as u8));
    bytes.collect()
}

fn repeat(start: &[u8], length: usize) -> Bytes {
    let mut out = BytesMut::from(start);
    out.put_bytes(b'x', length.saturating_sub(start.len()));
    out.freeze()
}

fn with_length(id: u64, length: impl Fn(i64) -> i64) -> Bytes {
    let value = requests::response_value(id);
    let claimed = length(value.len() as i64);
    format!("*3\r\n${claimed}\r\n{value}\r\n$-1\r\n$-1\r\n").into()
}

#[cfg(test)]
mod tests {
    use super::*;
    use resp::{decode, Frame};

    /// The first answer that a reader makes of it, if any.
    fn read(answer: &Answer) -> Option<Frame> {
        decode(&mut BytesMut::from(&answer.bytes[..])).ok().flatten()
    }

    fn value(frame: &Frame) -> Option<Bytes> {
        match frame {
            Frame::Array(parts) if parts.len() == 3 => match &parts[0] {
                Frame::Bulk(value) => Some(value.clone()),
                _ => None,
            },
            _ => None,
        }
    }

    #[test]
    fn a_good_answer_has_value_figures_and_no_report() {
        let bulk = |text: &str| Frame::Bulk(Bytes::copy_from_slice(text.as_bytes()));
        let first = Frame::Array(vec![bulk(&requests::response_value(7)), bulk("cost=4"), Frame::Null]);
        assert_eq!(read(&served(7, Some(4))), Some(first));
        assert_eq!(
            read(&served(7, None)),
            Some(Frame::Array(vec![bulk(&requests::response_value(7)), Frame::Null, Frame::Null]))
        );
    }

    #[test]
    fn spoilt_answers_are_bounded_and_can_be_read_only_where_they_say_so() {
        let mut rng = Rng::stream(1, "test", 0);
        for spoiling in Spoiling::ALL {
            for _ in 0..50 {
                let answer = spoiling.apply(&mut rng, 7, served(7, Some(4)));
                let found = read(&answer).as_ref().and_then(value);
                assert_eq!(found.is_some(), answer.good, "{spoiling:?}");
                assert!(found.is_none_or(|value| value == requests::response_value(7)), "{spoiling:?}");
                assert!(answer.bytes.len() <= HUGE_SENT, "{spoiling:?}");
            }
        }
    }

    #[test]
    fn all_kinds_are_drawn_and_nothing_comes_behind_when_more_waits() {
        let mut rng = Rng::stream(1, "test", 0);
        let mut drawn = |alone| (0..500).map(|_| Spoiling::draw(&mut rng, alone)).collect::<Vec<_>>();
        let alone = drawn(true);
        assert!(Spoiling::ALL.iter().all(|kind| alone.contains(kind)));
        let behind = [Spoiling::SecondCopy, Spoiling::NoiseBehind];
        assert!(!drawn(false).iter().any(|kind| behind.contains(kind)));
    }
}
