//! A client's call: read from its command, written on to a host with a `d` of our own.

use super::resp::{self, Frame};
use bytes::{Bytes, BytesMut};
use fennelbeam::api::{CustomerId, Effect, Request, RequestId, Span};
use fennelbeam::wire::Site;

const MS: Span = 1_000_000;

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
    head: [Bytes; 3],
    before: Bytes,
    after: Bytes,
    body: Option<Bytes>,
}

impl Call {
    /// The command for a host, in parts so that the body is not copied.
    pub fn for_host(&self, wait: Span, out: &mut Vec<Bytes>) {
        let mut text = BytesMut::with_capacity(256);
        resp::put_header(&mut text, b'*', 4 + usize::from(self.body.is_some()));
        self.head.iter().for_each(|part| resp::put_bulk(&mut text, part));
        let d = (wait / MS).max(1).to_string();
        resp::put_header(&mut text, b'$', self.before.len() + d.len() + self.after.len());
        for part in [&self.before[..], d.as_bytes(), &self.after[..], b"\r\n"] {
            text.extend_from_slice(part);
        }
        if let Some(body) = &self.body {
            resp::put_header(&mut text, b'$', body.len());
            out.extend([text.freeze(), body.clone(), Bytes::from_static(b"\r\n")]);
        } else {
            out.push(text.freeze());
        }
    }
}

/// Reads a command's arguments as a call.
pub fn parse(site: &Site, id: RequestId, frames: &[Frame]) -> Result<(Request, Call), CallError> {
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
    hex(head[2]).ok_or(CallError::Value("id"))?;
    let request = Request { id, customer: CustomerId(customer), ..Request::default() };
    let (request, d) = values(site, request, list)?;
    let class = site.settings.classes.get(request.class).ok_or(CallError::Class)?;
    if post == (class.effect == Effect::Safe) {
        return Err(CallError::Effect);
    }
    let (before, after) = (list.slice(..d.0), list.slice(d.1..));
    Ok((request, Call { head: head.map(Bytes::clone), before, after, body }))
}

fn hex(digits: &[u8]) -> Option<u64> {
    let plain = digits.len() == 16 && digits.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(digits).ok().filter(|_| plain).and_then(|t| u64::from_str_radix(t, 16).ok())
}

/// The list of names and values; also where the digits of `d` stand in it.
fn values(site: &Site, mut r: Request, list: &[u8]) -> Result<(Request, (usize, usize)), CallError> {
    let text = std::str::from_utf8(list).map_err(|_| CallError::Value("list"))?;
    let (mut class, mut plan, mut d) = (None, None, None);
    (r.units, r.spread) = (1.0, 1);
    let mut at = 0;
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=').ok_or(CallError::Value("list"))?;
        let start = at + name.len() + 1;
        at += pair.len() + 1;
        let whole = |name| value.parse::<u32>().map_err(|_| CallError::Value(name));
        match name {
            "c" => class = Some(position(&site.classes, value).ok_or(CallError::Class)?),
            "t" => plan = Some(position(&site.plans, value).ok_or(CallError::Plan)?),
            "d" => {
                r.patience = Span::from(whole("d")?) * MS;
                d = Some((start, start + value.len()));
            }
            "r" => r.repeat = value == "1",
            "units" => {
                let units = value.parse::<f64>().ok().filter(|u| u.is_finite() && *u >= 0.0);
                r.units = units.ok_or(CallError::Value("units"))?;
            }
            "spread" => r.spread = whole("spread")?,
            "first" => drop(whole("first")?),
            _ => {}
        }
    }
    r.class = class.ok_or(CallError::Class)?;
    r.plan = plan.ok_or(CallError::Plan)?;
    Ok((r, d.ok_or(CallError::Value("d"))?))
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}
