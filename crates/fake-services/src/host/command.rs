//! What a gateway's command asks of a host.

use bytes::Bytes;
use cluster_model::scenario::{ClassSpec, Idempotency};
use cluster_model::{Span, MS};
use resp::Frame;

/// The longest list of names and values.
const MAX_LIST: usize = 1024;
/// Customers are numbered below this.
const CUSTOMERS: u64 = 1 << 33;
/// Names that each call has in its list, each once.
const NAMES: [&str; 6] = ["c", "t", "d", "units", "spread", "first"];

/// A command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Command {
    /// A request.
    Call(Call),
    /// It is answered with this line, at once and at no cost.
    Line(&'static str),
    /// No client sends this form.
    Malformed,
}

/// A request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Call {
    /// Its id.
    pub id: u64,
    /// Position of its class.
    pub class: usize,
    /// How long the gateway waits.
    pub wait: Span,
}

impl Command {
    pub(super) fn read(frame: &Frame, classes: &[ClassSpec]) -> Command {
        let Some(words) = words(frame) else { return Command::Malformed };
        let Some(name) = words.first().map(|word| word.to_ascii_uppercase()) else {
            return Command::Malformed;
        };
        match (&name[..], &words[..]) {
            (b"CALL.GET", [_, customer, id, list]) => call(classes, true, [customer, id, list]),
            (b"CALL.POST", [_, customer, id, list, _]) => call(classes, false, [customer, id, list]),
            (b"CALL.GET" | b"CALL.POST", _) => Command::Malformed,
            (b"PING", [_]) => Command::Line("+PONG"),
            (b"CLIENT" | b"SELECT", _) => Command::Line("+OK"),
            (b"INFO", _) => Command::Line("-NOPERM"),
            _ => Command::Line("-ERR unknown command"),
        }
    }
}

fn words(frame: &Frame) -> Option<Vec<Bytes>> {
    let Frame::Array(parts) = frame else { return None };
    let word = |part: &Frame| match part {
        Frame::Bulk(bytes) => Some(bytes.clone()),
        _ => None,
    };
    parts.iter().map(word).collect()
}

fn call(classes: &[ClassSpec], get: bool, words: [&[u8]; 3]) -> Command {
    let [customer, id, list] = words;
    let known = hex(customer).is_some_and(|customer| customer < CUSTOMERS);
    let call = hex(id).filter(|_| known).and_then(|id| listed(classes, id, list));
    let right = |call: &Call| (classes[call.class].idempotency == Idempotency::Idempotent) == get;
    call.filter(right).map_or(Command::Malformed, Command::Call)
}

/// 16 hex digits.
fn hex(digits: &[u8]) -> Option<u64> {
    let plain = digits.len() == 16 && digits.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(digits).ok().filter(|_| plain).and_then(|text| u64::from_str_radix(text, 16).ok())
}

fn listed(classes: &[ClassSpec], id: u64, list: &[u8]) -> Option<Call> {
    let text = std::str::from_utf8(list).ok().filter(|text| text.len() <= MAX_LIST)?;
    let mut found = [None; NAMES.len()];
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        if let Some(position) = NAMES.iter().position(|known| *known == name) {
            if found[position].replace(value).is_some() {
                return None;
            }
        }
    }
    let [class, plan, wait, units, spread, first] = found;
    let class = classes.iter().position(|known| Some(known.name.as_str()) == class)?;
    plan.filter(|name| !name.is_empty())?;
    units?.parse::<f64>().ok().filter(|units| *units > 0.0 && units.is_finite())?;
    whole(spread?).filter(|spread| *spread > 0)?;
    whole(first?)?;
    let wait = whole(wait?).filter(|wait| *wait > 0)?.saturating_mul(MS);
    Some(Call { id, class, wait })
}

/// A whole number in plain digits.
fn whole(text: &str) -> Option<u64> {
    text.parse().ok().filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use cluster_model::scenario::Site;

    const LIST: &str = "c=price-read,t=standard,d=480,units=2,spread=3,first=1";

    fn read(words: &[&str]) -> Command {
        let words = words.iter().map(|word| Frame::Bulk(Bytes::copy_from_slice(word.as_bytes())));
        Command::read(&Frame::Array(words.collect()), &Site::default().classes)
    }

    #[test]
    fn calls_are_read_as_gateways_write_them() {
        let get = read(&["CALL.GET", "00000000b4d65521", "9b1f03aa5c7e2d41", LIST]);
        let call = Call { id: 0x9b1f_03aa_5c7e_2d41, class: 0, wait: 480 * MS };
        assert_eq!(get, Command::Call(call));
        let list = LIST.replace("price-read", "unit-order");
        let post = read(&["call.post", "00000000b4d65521", "9b1f03aa5c7e2d41", &list, "BODY"]);
        assert_eq!(post, Command::Call(Call { class: 1, ..call }));
    }

    #[test]
    fn a_call_in_another_form_is_malformed() {
        let customer = "00000000b4d65521";
        let id = "9b1f03aa5c7e2d41";
        let lists = [("price-read", "other"), ("d=480", "d=-1"), ("d=480", "d=+9"), ("d=480", "d=1,d=1")];
        let more = [("units=2", "units=nan"), ("units=2,", ""), ("t=standard", "t="), ("first=1", "first")];
        for (from, to) in lists.iter().chain(&more) {
            assert_eq!(
                read(&["CALL.GET", customer, id, &LIST.replace(from, to)]),
                Command::Malformed,
                "{to}"
            );
        }
        for words in [
            &["CALL.GET", "0000000200000000", id, LIST][..],
            &["CALL.GET", customer, "9b1f", LIST],
            &["CALL.GET", customer, id, LIST, "BODY"],
            &["CALL.POST", customer, id, LIST, "BODY"],
            &[],
        ] {
            assert_eq!(read(words), Command::Malformed, "{words:?}");
        }
        assert_eq!(Command::read(&Frame::Null, &[]), Command::Malformed);
    }

    #[test]
    fn other_commands_have_their_lines() {
        let line = |words: &[&str]| match read(words) {
            Command::Line(line) => line,
            other => panic!("{other:?}"),
        };
        assert_eq!(line(&["ping"]), "+PONG");
        assert_eq!(line(&["INFO", "load"]), "-NOPERM");
        assert_eq!([line(&["CLIENT", "SETNAME", "x"]), line(&["SELECT", "0"])], ["+OK", "+OK"]);
        assert!(line(&["HELLO", "3"]).starts_with("-ERR"));
    }
}
