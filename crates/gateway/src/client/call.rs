//! A client's call: read from its command, written on to a host with a `d` of our own.

use crate::upstream::connection::Text;
use bytes::{Buf, Bytes, BytesMut};
use platform_settings::PlatformSettings;
use policy::api::{CustomerId, Idempotency, Request, RequestId, Span};
use resp::Frame;

const MS: Span = 1_000_000;
/// Names in a call's list that mean something here, in the order in which `values` takes them apart.
const NAMES: [&str; 7] = ["c", "t", "d", "r", "units", "spread", "first"];
/// Bodies up to this long are copied behind their command: that costs less than to write in parts.
const COPIED: usize = 4 * 1024;
/// The longest list.
const MAX_LIST: usize = 1024;
/// Where the settings know no bound: far above any use, far below what would upset an account for long.
const MAX_UNITS: f64 = 1e4;

/// Why a command is no call that we take.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CallError {
    #[error("unknown command")]
    Command,
    #[error("wrong number of arguments")]
    Arguments,
    #[error("bad customer")]
    Customer,
    #[error("bad or missing {0}")]
    Value(&'static str),
    #[error("unknown class")]
    Class,
    #[error("unknown plan")]
    Plan,
    #[error("wrong command for this class")]
    Effect,
}

/// What goes on to a host unchanged, but for `d`.
#[derive(Debug)]
pub struct Call {
    /// The id that the client gave it.
    pub client_id: u64,
    head: [Bytes; 3],
    before: Bytes,
    after: Bytes,
    body: Option<Bytes>,
}

impl Call {
    /// Bytes that it keeps.
    pub fn size(&self) -> usize {
        let body = self.body.as_ref().map_or(0, Bytes::len);
        self.head.iter().map(Bytes::len).sum::<usize>() + self.before.len() + self.after.len() + body
    }

    /// The command for a host. A long body is not copied.
    pub fn for_host(&self, wait: Span) -> Text {
        let short = self.body.as_ref().filter(|body| body.len() <= COPIED);
        let mut text = BytesMut::with_capacity(256 + short.map_or(0, Bytes::len));
        resp::encode_array_header(&mut text, 4 + usize::from(self.body.is_some()));
        self.head.iter().for_each(|part| resp::encode_bulk(&mut text, part));
        let d = (wait / MS).max(1).to_string();
        resp::encode_bulk_header(&mut text, self.before.len() + d.len() + self.after.len());
        for part in [&self.before[..], d.as_bytes(), &self.after[..], b"\r\n"] {
            text.extend_from_slice(part);
        }
        let long = match (&self.body, short) {
            (_, Some(body)) => {
                resp::encode_bulk(&mut text, body);
                Bytes::new()
            }
            (Some(body), None) => {
                resp::encode_bulk_header(&mut text, body.len());
                body.clone()
            }
            (None, None) => Bytes::new(),
        };
        let end = if long.is_empty() { Bytes::new() } else { Bytes::from_static(b"\r\n") };
        text.chain(long).chain(end)
    }
}

/// Reads a command's arguments as a call.
pub fn parse(site: &PlatformSettings, id: RequestId, frames: &[Frame]) -> Result<(Request, Call), CallError> {
    let text = |frame: &Frame| match frame {
        Frame::Bulk(bytes) => Some(bytes.clone()),
        _ => None,
    };
    let words: Option<Vec<Bytes>> = frames.iter().map(text).collect();
    let words = words.ok_or(CallError::Arguments)?;
    let post = match words.first() {
        Some(name) if name.eq_ignore_ascii_case(b"CALL.GET") => false,
        Some(name) if name.eq_ignore_ascii_case(b"CALL.POST") => true,
        _ => return Err(CallError::Command),
    };
    let (head, list, body) = match &words[..] {
        [name, customer, id, list] if !post => ([name, customer, id], list, None),
        [name, customer, id, list, body] if post => ([name, customer, id], list, Some(body.clone())),
        _ => return Err(CallError::Arguments),
    };
    let customer = hex(head[1]).filter(|c| *c < 1 << 33).ok_or(CallError::Customer)?;
    let client_id = hex(head[2]).ok_or(CallError::Value("id"))?;
    let request = Request { id, customer: CustomerId(customer), ..Request::default() };
    let (request, d) = values(site, request, list)?;
    let class = site.settings.classes.get(request.class).ok_or(CallError::Class)?;
    if post == (class.idempotency == Idempotency::Idempotent) {
        return Err(CallError::Effect);
    }
    let (before, after) = (list.slice(..d.0), list.slice(d.1..));
    Ok((request, Call { client_id, head: head.map(Bytes::clone), before, after, body }))
}

fn hex(digits: &[u8]) -> Option<u64> {
    let plain = digits.len() == 16 && digits.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(digits).ok().filter(|_| plain).and_then(|t| u64::from_str_radix(t, 16).ok())
}

/// The list of names and values, each once at the most; also where the digits of `d` stand in it.
fn values(
    site: &PlatformSettings,
    mut r: Request,
    list: &[u8],
) -> Result<(Request, (usize, usize)), CallError> {
    let text = std::str::from_utf8(list).ok().filter(|t| t.len() <= MAX_LIST);
    let text = text.filter(|t| t.bytes().all(|b| b.is_ascii_graphic())).ok_or(CallError::Value("list"))?;
    let mut seen: [Option<(usize, &str)>; NAMES.len()] = Default::default();
    let mut at = 0;
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=').ok_or(CallError::Value("list"))?;
        if let Some(i) = NAMES.iter().position(|n| *n == name) {
            if seen[i].replace((at + name.len() + 1, value)).is_some() {
                return Err(CallError::Value(NAMES[i]));
            }
        }
        at += pair.len() + 1;
    }
    let [class, plan, d, repeat, units, spread, first] = seen.map(|found| found.map(|(_, value)| value));
    let gateways = site.settings.gateways;
    r.class = class.and_then(|name| position(&site.class_names, name)).ok_or(CallError::Class)?;
    r.plan = plan.and_then(|name| position(&site.plan_names, name)).ok_or(CallError::Plan)?;
    // No client waits longer than its class allows.
    let longest = site.settings.classes[r.class].deadline.div_ceil(MS);
    let wait = d.and_then(whole).filter(|d| (1..=longest).contains(d)).ok_or(CallError::Value("d"))?;
    r.remaining = wait * MS;
    r.is_retry = match repeat {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return Err(CallError::Value("r")),
    };
    r.units =
        units.and_then(|units| amount(units, site.max_request_units)).ok_or(CallError::Value("units"))?;
    let spread = spread.and_then(whole).filter(|n| (1..=u64::from(gateways)).contains(n));
    r.set_size = spread.ok_or(CallError::Value("spread"))? as u32;
    let first = first.and_then(whole).filter(|n| *n < u64::from(gateways));
    r.first_gateway = first.ok_or(CallError::Value("first"))? as u32;
    let (start, digits) = seen[2].ok_or(CallError::Value("d"))?;
    Ok((r, (start, start + digits.len())))
}

/// A whole number in plain digits.
fn whole(text: &str) -> Option<u64> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit()))
}

/// Units: more than none, and no more than any request counts.
fn amount(text: &str, top: f64) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let most = if top > 0.0 { top } else { MAX_UNITS };
    text.parse::<f64>().ok().filter(|units| plain && *units > 0.0 && *units <= most)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}
