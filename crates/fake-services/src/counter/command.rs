//! Commands as the counter reads them.

use bytes::Bytes;
use cluster_model::counter::Amount;
use cluster_model::{Span, MS};
use resp::Frame;

const LONGEST_NAME: usize = 64;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// A call: name, amount, life of a new name.
    Add(Bytes, Amount, Span),
    /// Anything that has this answer and costs nothing.
    Say(&'static str),
}

/// Reads a command. What is none is answered so.
pub(super) fn read(frame: Frame) -> Command {
    let Frame::Array(words) = frame else { return Command::Say("-ERR not a command\r\n") };
    let words: Option<Vec<Bytes>> = words.into_iter().map(bulk).collect();
    let Some(words) = words else { return Command::Say("-ERR not a command\r\n") };
    match words.split_first() {
        Some((word, rest)) if word.eq_ignore_ascii_case(b"ADDGET") => {
            addition(rest).unwrap_or_else(Command::Say)
        }
        Some((word, _)) if word.eq_ignore_ascii_case(b"PING") => Command::Say("+PONG\r\n"),
        Some((word, _)) if word.eq_ignore_ascii_case(b"CLIENT") => Command::Say("+OK\r\n"),
        Some((word, _)) if word.eq_ignore_ascii_case(b"SELECT") => Command::Say("+OK\r\n"),
        _ => Command::Say("-ERR unknown command\r\n"),
    }
}

fn bulk(frame: Frame) -> Option<Bytes> {
    match frame {
        Frame::Bulk(word) => Some(word),
        _ => None,
    }
}

fn addition(words: &[Bytes]) -> Result<Command, &'static str> {
    let [name, amount, keep] = words else { return Err("-ERR ADDGET takes name, amount and life\r\n") };
    if !(1..=LONGEST_NAME).contains(&name.len()) {
        return Err("-ERR a name has 1 to 64 bytes\r\n");
    }
    let amount = Amount::parse(amount).ok_or("-ERR an amount is a decimal number, 1e9 at most\r\n")?;
    let keep = milliseconds(keep).ok_or("-ERR a life is a number of milliseconds from 1\r\n")?;
    Ok(Command::Add(name.clone(), amount, keep))
}

/// However long; the counter has a bound of its own.
fn milliseconds(text: &[u8]) -> Option<Span> {
    let digits =
        std::str::from_utf8(text).ok().filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()))?;
    let count: u64 = digits.parse().unwrap_or(u64::MAX);
    (count > 0).then(|| count.saturating_mul(MS))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(words: &[&str]) -> Command {
        read(Frame::Array(words.iter().map(|word| Frame::Bulk(word.to_string().into())).collect()))
    }

    fn is_error(command: &Command) -> bool {
        matches!(command, Command::Say(text) if text.starts_with("-ERR ") && text.ends_with("\r\n"))
    }

    #[test]
    fn calls_are_read() {
        let amount = Amount::parse(b"-2.5").unwrap();
        assert_eq!(of(&["ADDGET", "n", "-2.5", "4000"]), Command::Add("n".into(), amount, 4000 * MS));
        let (name, life) = ("n".repeat(64), "9".repeat(40));
        assert_eq!(of(&["addget", &name, "-2.5", &life]), Command::Add(name.into(), amount, u64::MAX));
        assert_eq!(of(&["PING"]), Command::Say("+PONG\r\n"));
        assert_eq!(of(&["CLIENT", "SETINFO", "a", "b"]), Command::Say("+OK\r\n"));
        assert_eq!(of(&["SELECT", "0"]), Command::Say("+OK\r\n"));
    }

    #[test]
    fn nonsense_is_an_error() {
        let long = "n".repeat(65);
        for words in [
            &["ADDGET", "n", "1"][..],
            &["ADDGET", "n", "1", "1", "1"],
            &["ADDGET", "", "1", "1"],
            &["ADDGET", &long, "1", "1"],
            &["ADDGET", "n", "one", "1"],
            &["ADDGET", "n", "1000000001", "1"],
            &["ADDGET", "n", "-1000000001", "1"],
            &["ADDGET", "n", "1", "0"],
            &["ADDGET", "n", "1", "-1"],
            &["ADDGET", "n", "1", ""],
            &["HELLO", "3"],
            &["GET", "n"],
            &[],
        ] {
            assert!(is_error(&of(words)), "{words:?}");
        }
        assert!(is_error(&read(Frame::Null)));
        assert!(is_error(&read(Frame::Array(vec![Frame::Null]))));
    }
}
