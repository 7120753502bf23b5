//! A client's call: parsed from its command, and forwarded to a host with a deadline of its own.

use bytes::{Buf, Bytes, BytesMut};
use platform_settings::PlatformSettings;
use policy::api::{CustomerId, Idempotency, Request, RequestId, Span};
use resp::Frame;

const MS: Span = 1_000_000;
/// Bodies up to this length are copied behind their command: that costs less than writing in parts.
const MAX_COPIED: usize = 4 * 1024;
/// Capacity for a command without its body.
const COMMAND_CAPACITY: usize = 256;
/// Maximum length of the argument list.
const MAX_LIST: usize = 1024;
/// Maximum units of a request if the settings give no bound: far above any use, and far below what would disturb a quota
/// for long.
const MAX_UNITS: f64 = 1e4;
/// Identifiers of customers are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;

/// A command as it is written to a host: its bytes, and a body that is not copied.
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

/// The two commands of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verb {
    /// `CALL.GET`, for idempotent classes.
    Get,
    /// `CALL.POST`, with a body, for all other classes.
    Post,
}

/// What is forwarded to a host unchanged, except for the remaining deadline.
#[derive(Debug)]
pub struct Call {
    /// The client's identifier of the request.
    pub client_id: u64,
    /// Name of the command, customer and identifier.
    head: [Bytes; 3],
    /// The argument list before and after the digits of the remaining deadline.
    before_deadline: Bytes,
    after_deadline: Bytes,
    body: Option<Bytes>,
}

impl Call {
    /// Returns the memory that the call takes, in bytes.
    pub fn size(&self) -> usize {
        let head: usize = self.head.iter().map(Bytes::len).sum();
        let body = self.body.as_ref().map_or(0, Bytes::len);
        head + self.before_deadline.len() + self.after_deadline.len() + body
    }

    /// Returns the command for a host with this remaining deadline. A long body is not copied.
    pub fn command(&self, remaining: Span) -> Command {
        let copied_body = self.body.as_ref().filter(|body| body.len() <= MAX_COPIED);
        let capacity = COMMAND_CAPACITY + copied_body.map_or(0, Bytes::len);
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

/// Parses the words of a command as a call.
///
/// # Errors
/// What is wrong with the command.
pub fn parse(
    platform: &PlatformSettings,
    id: RequestId,
    frames: &[Frame],
) -> Result<(Request, Call), CallError> {
    let words: Option<Vec<Bytes>> = frames.iter().map(bulk).collect();
    let words = words.ok_or(CallError::Arguments)?;
    let verb = match words.first() {
        Some(name) if name.eq_ignore_ascii_case(b"CALL.GET") => Verb::Get,
        Some(name) if name.eq_ignore_ascii_case(b"CALL.POST") => Verb::Post,
        _ => return Err(CallError::UnknownCommand),
    };
    let (head, list, body) = match (&words[..], verb) {
        ([name, customer, id, list], Verb::Get) => ([name, customer, id], list, None),
        ([name, customer, id, list, body], Verb::Post) => ([name, customer, id], list, Some(body.clone())),
        _ => return Err(CallError::Arguments),
    };
    let customer = hexadecimal(head[1]).filter(|customer| *customer < CUSTOMER_LIMIT);
    let customer = customer.ok_or(CallError::Customer)?;
    let client_id = hexadecimal(head[2]).ok_or(CallError::Argument("id"))?;
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
        before_deadline: list.slice(..deadline.start),
        after_deadline: list.slice(deadline.start + deadline.text.len()..),
        body,
    };
    Ok((request, call))
}

fn bulk(frame: &Frame) -> Option<Bytes> {
    match frame {
        Frame::Bulk(bytes) => Some(bytes.clone()),
        _ => None,
    }
}

/// Reads a number of 16 hexadecimal digits.
fn hexadecimal(digits: &[u8]) -> Option<u64> {
    if digits.len() != 16 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    std::str::from_utf8(digits).ok().and_then(|text| u64::from_str_radix(text, 16).ok())
}

/// The value of an argument, and where it starts in the list.
#[derive(Clone, Copy)]
struct Value<'a> {
    start: usize,
    text: &'a str,
}

/// The argument list: names and values, each name once at most. Unknown names are ignored.
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
        let text = std::str::from_utf8(list).ok().filter(|text| text.len() <= MAX_LIST);
        let Some(text) = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_graphic())) else {
            return Err(invalid);
        };
        let mut arguments = Arguments::default();
        let mut position = 0;
        for pair in text.split(',') {
            let Some((name, value)) = pair.split_once('=') else { return Err(invalid) };
            let start = position + name.len() + 1;
            if let Some((name, slot)) = arguments.slot(name) {
                if slot.replace(Value { start, text: value }).is_some() {
                    return Err(CallError::Argument(name));
                }
            }
            position += pair.len() + 1;
        }
        Ok(arguments)
    }

    /// Returns where the value of a known name is kept.
    fn slot(&mut self, name: &str) -> Option<(&'static str, &mut Option<Value<'a>>)> {
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
        let class = self.class.and_then(|value| position(&platform.class_names, value.text));
        let class = class.ok_or(CallError::UnknownClass)?;
        let plan = self.plan.and_then(|value| position(&platform.plan_names, value.text));
        let plan = plan.ok_or(CallError::UnknownPlan)?;
        // No client waits longer than its class allows.
        let longest_ms = platform.settings.classes[class].deadline.div_ceil(MS);
        let remaining_ms = integer(self.deadline).filter(|ms| (1..=longest_ms).contains(ms));
        let remaining = remaining_ms.ok_or(CallError::Argument("d"))? * MS;
        let is_retry = match self.is_retry.map(|value| value.text) {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(CallError::Argument("r")),
        };
        let units = self.units.and_then(|value| units(value.text, platform.max_request_units));
        let units = units.ok_or(CallError::Argument("units"))?;
        let set_size = integer(self.set_size).filter(|size| (1..=gateways).contains(size));
        let set_size = set_size.ok_or(CallError::Argument("spread"))? as u32;
        let first_gateway = integer(self.first_gateway).filter(|index| *index < gateways);
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

/// Reads an integer of decimal digits only.
fn integer(value: Option<Value>) -> Option<u64> {
    let text = value?.text;
    text.parse().ok().filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()))
}

/// Reads units: more than zero, and at most what a request may cost (zero for no known bound).
fn units(text: &str, max_request_units: f64) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let max_units = if max_request_units > 0.0 { max_request_units } else { MAX_UNITS };
    text.parse::<f64>().ok().filter(|units| is_plain && *units > 0.0 && *units <= max_units)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| candidate == name)
}
