//! A client's call: parsed from its command, and encoded for a host with the attempt's own remaining deadline.

use bytes::{Buf, Bytes, BytesMut};
use platform_settings::PlatformSettings;
use policy::api::{CustomerId, Idempotency, Request, RequestId, Span};
use resp::Frame;

const MS: Span = 1_000_000;
/// Bodies up to this length are copied into the buffer of their command, which costs less than writing several buffers.
const MAX_COPIED_BYTES: usize = 4 * 1024;
/// Initial buffer capacity for a command without its body.
const COMMAND_CAPACITY_BYTES: usize = 256;
/// Maximum length of the argument list.
const MAX_LIST_BYTES: usize = 1024;
/// Maximum units of a request if the settings set no bound: far more than any client uses, and far less than would
/// distort a quota for long.
const MAX_UNITS: f64 = 1e4;
/// Exclusive upper bound of customers' identifiers.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;

/// A command as it is written to a host: its encoded bytes, a body that was not copied into them, and the end of line
/// that follows such a body.
pub(crate) type Command = bytes::buf::Chain<bytes::buf::Chain<BytesMut, Bytes>, Bytes>;

/// Why a command is not a valid call.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CallError {
    #[error("unknown command")]
    UnknownCommand,
    #[error("wrong number of arguments")]
    Arguments,
    #[error("bad customer")]
    Customer,
    #[error("bad or missing {0}")]
    Argument(&'static str),
    #[error("unknown class")]
    UnknownClass,
    #[error("unknown plan")]
    UnknownPlan,
    #[error("wrong command for this class")]
    WrongCommand,
}

/// The command of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verb {
    /// `CALL.GET`, for idempotent classes.
    Get,
    /// `CALL.POST`, with a body, for all other classes.
    Post,
}

/// The parts of a client's call. They are forwarded to a host unchanged, except for the remaining deadline.
#[derive(Debug)]
pub struct Call {
    /// The client's identifier of the request.
    pub client_id: u64,
    /// Command name, customer and the client's identifier.
    head: [Bytes; 3],
    /// The argument list before and after the digits of the remaining deadline.
    before_deadline: Bytes,
    after_deadline: Bytes,
    body: Option<Bytes>,
}

impl Call {
    /// Returns the number of bytes that the call's parts hold in memory.
    pub fn size(&self) -> usize {
        let head: usize = self.head.iter().map(Bytes::len).sum();
        let body = self.body.as_ref().map_or(0, Bytes::len);
        head + self.before_deadline.len() + self.after_deadline.len() + body
    }

    /// Encodes the command for a host with this remaining deadline. A body above [`MAX_COPIED_BYTES`] is not copied.
    pub fn command(&self, remaining: Span) -> Command {
        let copied_body = self.body.as_ref().filter(|body| body.len() <= MAX_COPIED_BYTES);
        let capacity = COMMAND_CAPACITY_BYTES + copied_body.map_or(0, Bytes::len);
        let mut command = BytesMut::with_capacity(capacity);
        resp::encode_array_header(&mut command, 4 + usize::from(self.body.is_some()));
        for part in &self.head {
            resp::encode_bulk(&mut command, part);
        }
        self.encode_arguments(&mut command, remaining);
        let shared_body = match (&self.body, copied_body) {
            (_, Some(body)) => {
                resp::encode_bulk(&mut command, body);
                Bytes::new()
            }
            (Some(body), None) => {
                resp::encode_bulk_header(&mut command, body.len());
                body.clone()
            }
            (None, None) => Bytes::new(),
        };
        let end = if shared_body.is_empty() { Bytes::new() } else { Bytes::from_static(b"\r\n") };
        command.chain(shared_body).chain(end)
    }

    fn encode_arguments(&self, command: &mut BytesMut, remaining: Span) {
        let remaining_ms = (remaining / MS).max(1).to_string();
        let length = self.before_deadline.len() + remaining_ms.len() + self.after_deadline.len();
        resp::encode_bulk_header(command, length);
        for part in [&self.before_deadline[..], remaining_ms.as_bytes(), &self.after_deadline[..], b"\r\n"] {
            command.extend_from_slice(part);
        }
    }
}

/// Parses a command, an array of bulk strings, as a call.
///
/// # Errors
/// Returns why the command is not a valid call.
pub fn parse(
    platform: &PlatformSettings,
    id: RequestId,
    frames: &[Frame],
) -> Result<(Request, Call), CallError> {
    let parts: Option<Vec<Bytes>> = frames.iter().map(bulk_string).collect();
    let parts = parts.ok_or(CallError::Arguments)?;
    let verb = match parts.first() {
        Some(name) if name.eq_ignore_ascii_case(b"CALL.GET") => Verb::Get,
        Some(name) if name.eq_ignore_ascii_case(b"CALL.POST") => Verb::Post,
        _ => return Err(CallError::UnknownCommand),
    };
    let (head, list, body) = match (&parts[..], verb) {
        ([name, customer, id, list], Verb::Get) => ([name, customer, id], list, None),
        ([name, customer, id, list, body], Verb::Post) => ([name, customer, id], list, Some(body.clone())),
        _ => return Err(CallError::Arguments),
    };
    let customer = parse_hex(head[1]).filter(|customer| *customer < CUSTOMER_ID_LIMIT);
    let customer = customer.ok_or(CallError::Customer)?;
    let client_id = parse_hex(head[2]).ok_or(CallError::Argument("id"))?;
    let arguments = Arguments::parse(list)?;
    let request = arguments.request(platform, id, CustomerId(customer))?;
    let class = platform.settings.classes.get(request.class).ok_or(CallError::UnknownClass)?;
    if (verb == Verb::Get) != (class.idempotency == Idempotency::Idempotent) {
        return Err(CallError::WrongCommand);
    }
    let deadline = arguments.deadline.ok_or(CallError::Argument("d"))?;
    let call = Call {
        client_id,
        head: head.map(Bytes::clone),
        before_deadline: list.slice(..deadline.offset),
        after_deadline: list.slice(deadline.offset + deadline.text.len()..),
        body,
    };
    Ok((request, call))
}

fn bulk_string(frame: &Frame) -> Option<Bytes> {
    match frame {
        Frame::Bulk(bytes) => Some(bytes.clone()),
        _ => None,
    }
}

/// Parses a number of exactly 16 hexadecimal digits.
fn parse_hex(digits: &[u8]) -> Option<u64> {
    if digits.len() != 16 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    std::str::from_utf8(digits).ok().and_then(|text| u64::from_str_radix(text, 16).ok())
}

/// The value of an argument, and its offset in the list.
#[derive(Clone, Copy)]
struct Value<'a> {
    offset: usize,
    text: &'a str,
}

/// The arguments in the list. A known name may occur only once; unknown names are ignored.
#[derive(Default)]
struct Arguments<'a> {
    /// `c`
    class: Option<Value<'a>>,
    /// `t`
    plan: Option<Value<'a>>,
    /// `d`, in milliseconds
    deadline: Option<Value<'a>>,
    /// `r`
    is_retry: Option<Value<'a>>,
    units: Option<Value<'a>>,
    /// `spread`
    set_size: Option<Value<'a>>,
    /// `first`
    first_gateway: Option<Value<'a>>,
}

impl<'a> Arguments<'a> {
    fn parse(list: &'a [u8]) -> Result<Arguments<'a>, CallError> {
        let invalid = CallError::Argument("list");
        let text = std::str::from_utf8(list).ok().filter(|text| text.len() <= MAX_LIST_BYTES);
        let Some(text) = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_graphic())) else {
            return Err(invalid);
        };
        let mut arguments = Arguments::default();
        let mut pair_offset = 0;
        for pair in text.split(',') {
            let Some((name, value)) = pair.split_once('=') else { return Err(invalid) };
            let offset = pair_offset + name.len() + 1;
            if let Some((name, value_slot)) = arguments.value_slot(name) {
                if value_slot.replace(Value { offset, text: value }).is_some() {
                    return Err(CallError::Argument(name));
                }
            }
            pair_offset += pair.len() + 1;
        }
        Ok(arguments)
    }

    /// Returns the field for the value of a known name, with the name as a static string.
    fn value_slot(&mut self, name: &str) -> Option<(&'static str, &mut Option<Value<'a>>)> {
        Some(match name {
            "c" => ("c", &mut self.class),
            "t" => ("t", &mut self.plan),
            "d" => ("d", &mut self.deadline),
            "r" => ("r", &mut self.is_retry),
            "units" => ("units", &mut self.units),
            "spread" => ("spread", &mut self.set_size),
            "first" => ("first", &mut self.first_gateway),
            _ => return None,
        })
    }

    fn request(
        &self,
        platform: &PlatformSettings,
        id: RequestId,
        customer: CustomerId,
    ) -> Result<Request, CallError> {
        let gateways = u64::from(platform.settings.gateways);
        let class = self.class.and_then(|value| index_of(&platform.class_names, value.text));
        let class = class.ok_or(CallError::UnknownClass)?;
        let plan = self.plan.and_then(|value| index_of(&platform.plan_names, value.text));
        let plan = plan.ok_or(CallError::UnknownPlan)?;
        // A client's remaining deadline is never longer than the deadline of the class.
        let max_ms = platform.settings.classes[class].deadline.div_ceil(MS);
        let remaining_ms = parse_integer(self.deadline).filter(|ms| (1..=max_ms).contains(ms));
        let remaining = remaining_ms.ok_or(CallError::Argument("d"))? * MS;
        let is_retry = match self.is_retry.map(|value| value.text) {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(CallError::Argument("r")),
        };
        let units = self.units.and_then(|value| parse_units(value.text, platform.max_request_units));
        let units = units.ok_or(CallError::Argument("units"))?;
        let set_size = parse_integer(self.set_size).filter(|size| (1..=gateways).contains(size));
        let set_size = set_size.ok_or(CallError::Argument("spread"))? as u32;
        let first_gateway = parse_integer(self.first_gateway).filter(|index| *index < gateways);
        let first_gateway = first_gateway.ok_or(CallError::Argument("first"))? as u32;
        Ok(Request {
            id,
            class,
            plan,
            customer,
            remaining,
            units,
            set_size,
            first_gateway,
            is_retry,
            ..Request::default()
        })
    }
}

/// Parses an integer that consists of decimal digits only.
fn parse_integer(value: Option<Value>) -> Option<u64> {
    let text = value?.text;
    text.parse().ok().filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()))
}

/// Parses a number of units, which is above zero and at most `max_request_units`, or [`MAX_UNITS`] if that is zero.
fn parse_units(text: &str, max_request_units: f64) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let max_units = if max_request_units > 0.0 { max_request_units } else { MAX_UNITS };
    text.parse::<f64>().ok().filter(|units| is_plain && *units > 0.0 && *units <= max_units)
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| candidate == name)
}
