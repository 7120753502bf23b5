//! What stands behind `when`: by what an event begins, if not by the clock.

use super::errors::{Parsed, Place};
use super::events::{Marks, Named};
use super::line::Line;
use super::{MOST_GATEWAYS, MOST_HOSTS, MOST_SIGN};
use crate::observation::Lifecycle;
use crate::scenario::Sign;
use std::fmt;

/// How manieth a call or an answer may be.
const NTH: (u32, u32) = (1, 1_000_000);
/// In which states discovery tells of hosts.
const STATES: [(&str, Lifecycle); 3] =
    [("is there", Lifecycle::InService), ("drains", Lifecycle::Draining), ("is gone", Lifecycle::Removed)];

struct Reader<'l, 'a> {
    line: &'l mut Line<'a>,
    marks: Marks,
}

/// Reads a sign, up to what stands behind it.
pub(super) fn read(line: &mut Line<'_>) -> Parsed<(Sign, Marks)> {
    let mut reader = Reader { line, marks: Marks::default() };
    let sign = reader.sign()?;
    Ok((sign, reader.marks))
}

impl Reader<'_, '_> {
    fn sign(&mut self) -> Parsed<Sign> {
        match self.line.one_of("sign", &["call", "answer", "gateway", "host"])? {
            "call" => self.call(),
            "answer" => {
                let n = self.line.count("answer", NTH, "")?;
                self.line.require("from")?;
                let gateway = self.named_gateway()?;
                self.words(&["to", "the", "clients"])?;
                Ok(Sign::Answer(gateway, n))
            }
            "gateway" => self.of_gateway(),
            _ => {
                let host = self.host()?;
                Ok(match self.line.one_of("sign of a host", &["is", "starts", "ends"])? {
                    "is" => {
                        self.words(&["told", "to", "drain"])?;
                        Sign::Drains(host)
                    }
                    word => Sign::Host(host, word == "starts"),
                })
            }
        }
    }

    /// `100 from gateway 1 to the counter`.
    fn call(&mut self) -> Parsed<Sign> {
        let n = self.line.count("call", NTH, "")?;
        self.line.require("from")?;
        if self.line.accept("the") {
            self.words(&["clients", "to"])?;
            return Ok(Sign::Request(self.named_gateway()?, n));
        }
        let gateway = self.named_gateway()?;
        self.line.require("to")?;
        if self.line.accept("the") {
            self.line.require("counter")?;
            return Ok(Sign::CounterCall(gateway, n));
        }
        if self.line.accept("any") {
            self.line.require("host")?;
            return Ok(Sign::HostCall(gateway, None, n));
        }
        self.line.require("host")?;
        Ok(Sign::HostCall(gateway, Some(self.host()?), n))
    }

    /// `2 logs "counter is degraded"`.
    fn of_gateway(&mut self) -> Parsed<Sign> {
        let gateway = self.gateway()?;
        Ok(match self.line.one_of("sign of a gateway", &["logs", "is", "starts", "ends"])? {
            "logs" => Sign::Log(gateway, self.logged()?),
            "is" => {
                self.words(&["told", "that", "host"])?;
                Sign::Told(gateway, self.host()?, self.state()?)
            }
            word => Sign::Gateway(gateway, word == "starts"),
        })
    }

    fn logged(&mut self) -> Parsed<String> {
        let place = self.line.place();
        let text = self.line.text("a part of a line of the log, in quotes")?;
        let letters = text.chars().count();
        if (1..=MOST_SIGN).contains(&letters) {
            return Ok(text);
        }
        Err(super::errors::Fault::new(place, super::Reason::Sign(letters)))
    }

    fn state(&mut self) -> Parsed<Lifecycle> {
        if self.line.one_of("state of a host", &["is", "drains"])? == "drains" {
            return Ok(Lifecycle::Draining);
        }
        let there = self.line.one_of("state of a host", &["there", "gone"])? == "there";
        Ok(if there { Lifecycle::InService } else { Lifecycle::Removed })
    }

    fn words(&mut self, words: &[&str]) -> Parsed<()> {
        words.iter().try_for_each(|word| self.line.require(word))
    }

    fn named_gateway(&mut self) -> Parsed<u32> {
        self.line.require("gateway")?;
        self.gateway()
    }

    fn gateway(&mut self) -> Parsed<u32> {
        self.mark();
        self.line.count("gateway", (1, MOST_GATEWAYS), "")
    }

    fn host(&mut self) -> Parsed<u32> {
        self.mark();
        self.line.count("host", (1, MOST_HOSTS), "")
    }

    fn mark(&mut self) {
        let place: Place = self.line.place();
        self.marks.0.push(place);
    }
}

/// What a sign names, as its marks stand.
pub(super) fn named(sign: &Sign) -> Vec<Named<'static>> {
    match *sign {
        Sign::HostCall(gateway, Some(host), _) | Sign::Told(gateway, host, _) => {
            vec![Named::Gateway(gateway), Named::Host(host)]
        }
        Sign::Drains(host) | Sign::Host(host, _) => vec![Named::Host(host)],
        Sign::CounterCall(gateway, _)
        | Sign::HostCall(gateway, None, _)
        | Sign::Request(gateway, _)
        | Sign::Answer(gateway, _)
        | Sign::Gateway(gateway, _)
        | Sign::Log(gateway, _) => vec![Named::Gateway(gateway)],
    }
}

/// The words of a scenario file.
impl fmt::Display for Sign {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let does = |starts: bool| if starts { "starts" } else { "ends" };
        match self {
            Sign::CounterCall(gateway, n) => write!(f, "call {n} from gateway {gateway} to the counter"),
            Sign::HostCall(gateway, None, n) => write!(f, "call {n} from gateway {gateway} to any host"),
            Sign::HostCall(gateway, Some(host), n) => {
                write!(f, "call {n} from gateway {gateway} to host {host}")
            }
            Sign::Request(gateway, n) => write!(f, "call {n} from the clients to gateway {gateway}"),
            Sign::Answer(gateway, n) => write!(f, "answer {n} from gateway {gateway} to the clients"),
            Sign::Told(gateway, host, told) => {
                let state = STATES.iter().find(|(_, state)| state == told).map_or("", |(words, _)| words);
                write!(f, "gateway {gateway} is told that host {host} {state}")
            }
            Sign::Drains(host) => write!(f, "host {host} is told to drain"),
            Sign::Gateway(gateway, starts) => write!(f, "gateway {gateway} {}", does(*starts)),
            Sign::Host(host, starts) => write!(f, "host {host} {}", does(*starts)),
            Sign::Log(gateway, text) => {
                write!(f, "gateway {gateway} logs \"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
            }
        }
    }
}
