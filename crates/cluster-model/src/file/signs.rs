//! What stands behind `when`: by what an event begins, if not by the clock.

use super::errors::{Parsed, Place};
use super::events::{Marks, Named};
use super::line::Line;
use super::{MAX_GATEWAYS, MAX_HOSTS, MAX_LOG_TEXT_CHARS};
use crate::scenario::Trigger;
use crate::seen::Told;
use std::fmt;

/// How manieth a call or an answer may be.
const NTH: (u32, u32) = (1, 1_000_000);
/// In which states discovery tells of hosts.
const STATES: [(&str, Told); 3] =
    [("is there", Told::InService), ("drains", Told::Draining), ("is gone", Told::Gone)];

struct Reader<'l, 'a> {
    line: &'l mut Line<'a>,
    marks: Marks,
}

/// Reads a sign, up to what stands behind it.
pub(super) fn read(line: &mut Line<'_>) -> Parsed<(Trigger, Marks)> {
    let mut reader = Reader { line, marks: Marks::default() };
    let sign = reader.sign()?;
    Ok((sign, reader.marks))
}

impl Reader<'_, '_> {
    fn sign(&mut self) -> Parsed<Trigger> {
        match self.line.one_of("sign", &["call", "answer", "gateway", "host"])? {
            "call" => self.call(),
            "answer" => {
                let n = self.line.count("answer", NTH, "")?;
                self.line.require("from")?;
                let gateway = self.named_gateway()?;
                self.words(&["to", "the", "clients"])?;
                Ok(Trigger::Response(gateway, n))
            }
            "gateway" => self.of_gateway(),
            _ => {
                let host = self.host()?;
                Ok(match self.line.one_of("sign of a host", &["is", "starts", "ends"])? {
                    "is" => {
                        self.words(&["told", "to", "drain"])?;
                        Trigger::HostDrain(host)
                    }
                    word => Trigger::HostProcess(host, word == "starts"),
                })
            }
        }
    }

    /// `100 from gateway 1 to the counter`.
    fn call(&mut self) -> Parsed<Trigger> {
        let n = self.line.count("call", NTH, "")?;
        self.line.require("from")?;
        if self.line.accept("the") {
            self.words(&["clients", "to"])?;
            return Ok(Trigger::Request(self.named_gateway()?, n));
        }
        let gateway = self.named_gateway()?;
        self.line.require("to")?;
        if self.line.accept("the") {
            self.line.require("counter")?;
            return Ok(Trigger::CounterCall(gateway, n));
        }
        if self.line.accept("any") {
            self.line.require("host")?;
            return Ok(Trigger::HostAttempt(gateway, None, n));
        }
        self.line.require("host")?;
        Ok(Trigger::HostAttempt(gateway, Some(self.host()?), n))
    }

    /// `2 logs "counter is degraded"`.
    fn of_gateway(&mut self) -> Parsed<Trigger> {
        let gateway = self.gateway()?;
        Ok(match self.line.one_of("sign of a gateway", &["logs", "is", "starts", "ends"])? {
            "logs" => Trigger::LogLine(gateway, self.logged()?),
            "is" => {
                self.words(&["told", "that", "host"])?;
                Trigger::DiscoveryUpdate(gateway, self.host()?, self.state()?)
            }
            word => Trigger::GatewayProcess(gateway, word == "starts"),
        })
    }

    fn logged(&mut self) -> Parsed<String> {
        let place = self.line.place();
        let text = self.line.text("a part of a line of the log, in quotes")?;
        let letters = text.chars().count();
        if (1..=MAX_LOG_TEXT_CHARS).contains(&letters) {
            return Ok(text);
        }
        Err(super::errors::Fault::new(place, super::Reason::Sign(letters)))
    }

    fn state(&mut self) -> Parsed<Told> {
        if self.line.one_of("state of a host", &["is", "drains"])? == "drains" {
            return Ok(Told::Draining);
        }
        let there = self.line.one_of("state of a host", &["there", "gone"])? == "there";
        Ok(if there { Told::InService } else { Told::Gone })
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
        self.line.count("gateway", (1, MAX_GATEWAYS), "")
    }

    fn host(&mut self) -> Parsed<u32> {
        self.mark();
        self.line.count("host", (1, MAX_HOSTS), "")
    }

    fn mark(&mut self) {
        let place: Place = self.line.place();
        self.marks.0.push(place);
    }
}

/// What a sign names, as its marks stand.
pub(super) fn named(sign: &Trigger) -> Vec<Named<'static>> {
    match *sign {
        Trigger::HostAttempt(gateway, Some(host), _) | Trigger::DiscoveryUpdate(gateway, host, _) => {
            vec![Named::Gateway(gateway), Named::Host(host)]
        }
        Trigger::HostDrain(host) | Trigger::HostProcess(host, _) => vec![Named::Host(host)],
        Trigger::CounterCall(gateway, _)
        | Trigger::HostAttempt(gateway, None, _)
        | Trigger::Request(gateway, _)
        | Trigger::Response(gateway, _)
        | Trigger::GatewayProcess(gateway, _)
        | Trigger::LogLine(gateway, _) => vec![Named::Gateway(gateway)],
    }
}

/// The words of a scenario file.
impl fmt::Display for Trigger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let does = |starts: bool| if starts { "starts" } else { "ends" };
        match self {
            Trigger::CounterCall(gateway, n) => write!(f, "call {n} from gateway {gateway} to the counter"),
            Trigger::HostAttempt(gateway, None, n) => {
                write!(f, "call {n} from gateway {gateway} to any host")
            }
            Trigger::HostAttempt(gateway, Some(host), n) => {
                write!(f, "call {n} from gateway {gateway} to host {host}")
            }
            Trigger::Request(gateway, n) => write!(f, "call {n} from the clients to gateway {gateway}"),
            Trigger::Response(gateway, n) => write!(f, "answer {n} from gateway {gateway} to the clients"),
            Trigger::DiscoveryUpdate(gateway, host, told) => {
                let state = STATES.iter().find(|(_, state)| state == told).map_or("", |(words, _)| words);
                write!(f, "gateway {gateway} is told that host {host} {state}")
            }
            Trigger::HostDrain(host) => write!(f, "host {host} is told to drain"),
            Trigger::GatewayProcess(gateway, starts) => write!(f, "gateway {gateway} {}", does(*starts)),
            Trigger::HostProcess(host, starts) => write!(f, "host {host} {}", does(*starts)),
            Trigger::LogLine(gateway, text) => {
                write!(f, "gateway {gateway} logs \"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
            }
        }
    }
}
