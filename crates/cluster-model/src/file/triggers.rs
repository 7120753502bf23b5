//! Parses and formats triggers, the conditions after `when` that start an event.

use super::errors::{ParseResult, Position};
use super::events::{NamePositions, Reference};
use super::line::Line;
use super::{MAX_GATEWAYS, MAX_HOSTS, MAX_LOG_TEXT_CHARS};
use crate::observation::Lifecycle;
use crate::scenario::Trigger;
use std::fmt;

/// Bounds of the ordinal number of a call or an answer.
const ORDINAL: (u32, u32) = (1, 1_000_000);
/// The states of a host that discovery announces, with their words.
const HOST_STATES: [(&str, Lifecycle); 3] =
    [("is there", Lifecycle::InService), ("drains", Lifecycle::Draining), ("is gone", Lifecycle::Removed)];

struct TriggerParser<'l, 'a> {
    line: &'l mut Line<'a>,
    positions: NamePositions,
}

/// Reads a trigger, up to the comma or colon after it.
pub(super) fn read(line: &mut Line<'_>) -> ParseResult<(Trigger, NamePositions)> {
    let mut parser = TriggerParser { line, positions: NamePositions::default() };
    let trigger = parser.trigger()?;
    Ok((trigger, parser.positions))
}

impl TriggerParser<'_, '_> {
    fn trigger(&mut self) -> ParseResult<Trigger> {
        match self.line.one_of("trigger", &["call", "answer", "gateway", "host"])? {
            "call" => self.call(),
            "answer" => {
                let n = self.line.integer("answer", ORDINAL, "")?;
                self.line.require("from")?;
                let gateway = self.gateway_keyword_and_number()?;
                self.require_words(&["to", "the", "clients"])?;
                Ok(Trigger::Response(gateway, n))
            }
            "gateway" => self.gateway_trigger(),
            _ => {
                let host = self.host_number()?;
                Ok(match self.line.one_of("trigger of a host", &["is", "starts", "ends"])? {
                    "is" => {
                        self.require_words(&["told", "to", "drain"])?;
                        Trigger::HostDrain(host)
                    }
                    word => Trigger::HostProcess(host, word == "starts"),
                })
            }
        }
    }

    /// Reads what follows `call`, such as `100 from gateway 1 to the counter`.
    fn call(&mut self) -> ParseResult<Trigger> {
        let n = self.line.integer("call", ORDINAL, "")?;
        self.line.require("from")?;
        if self.line.accept("the") {
            self.require_words(&["clients", "to"])?;
            return Ok(Trigger::Request(self.gateway_keyword_and_number()?, n));
        }
        let gateway = self.gateway_keyword_and_number()?;
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
        Ok(Trigger::HostAttempt(gateway, Some(self.host_number()?), n))
    }

    /// Reads what follows `gateway`, such as `2 logs "counter is degraded"`.
    fn gateway_trigger(&mut self) -> ParseResult<Trigger> {
        let gateway = self.gateway_number()?;
        Ok(match self.line.one_of("trigger of a gateway", &["logs", "is", "starts", "ends"])? {
            "logs" => Trigger::LogLine(gateway, self.log_text()?),
            "is" => {
                self.require_words(&["told", "that", "host"])?;
                Trigger::DiscoveryUpdate(gateway, self.host_number()?, self.host_state()?)
            }
            word => Trigger::GatewayProcess(gateway, word == "starts"),
        })
    }

    fn log_text(&mut self) -> ParseResult<String> {
        let position = self.line.position();
        let text = self.line.quoted("a part of a log line in quotes")?;
        let length = text.chars().count();
        if (1..=MAX_LOG_TEXT_CHARS).contains(&length) {
            return Ok(text);
        }
        Err(super::errors::ParseError::new(position, super::Reason::LogTextLength(length)))
    }

    fn host_state(&mut self) -> ParseResult<Lifecycle> {
        if self.line.one_of("state of a host", &["is", "drains"])? == "drains" {
            return Ok(Lifecycle::Draining);
        }
        let in_service = self.line.one_of("state of a host", &["there", "gone"])? == "there";
        Ok(if in_service { Lifecycle::InService } else { Lifecycle::Removed })
    }

    fn require_words(&mut self, words: &[&str]) -> ParseResult<()> {
        words.iter().try_for_each(|word| self.line.require(word))
    }

    fn gateway_keyword_and_number(&mut self) -> ParseResult<u32> {
        self.line.require("gateway")?;
        self.gateway_number()
    }

    fn gateway_number(&mut self) -> ParseResult<u32> {
        self.record_position();
        self.line.integer("gateway", (1, MAX_GATEWAYS), "")
    }

    fn host_number(&mut self) -> ParseResult<u32> {
        self.record_position();
        self.line.integer("host", (1, MAX_HOSTS), "")
    }

    fn record_position(&mut self) {
        let position: Position = self.line.position();
        self.positions.0.push(position);
    }
}

/// Returns the machines that a trigger refers to, in the order of the recorded positions.
pub(super) fn references(trigger: &Trigger) -> Vec<Reference<'static>> {
    match *trigger {
        Trigger::HostAttempt(gateway, Some(host), _) | Trigger::DiscoveryUpdate(gateway, host, _) => {
            vec![Reference::Gateway(gateway), Reference::Host(host)]
        }
        Trigger::HostDrain(host) | Trigger::HostProcess(host, _) => vec![Reference::Host(host)],
        Trigger::CounterCall(gateway, _)
        | Trigger::HostAttempt(gateway, None, _)
        | Trigger::Request(gateway, _)
        | Trigger::Response(gateway, _)
        | Trigger::GatewayProcess(gateway, _)
        | Trigger::LogLine(gateway, _) => vec![Reference::Gateway(gateway)],
    }
}

/// Formats a trigger as in a scenario file.
impl fmt::Display for Trigger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = |starts: bool| if starts { "starts" } else { "ends" };
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
            Trigger::DiscoveryUpdate(gateway, host, announced) => {
                let state =
                    HOST_STATES.iter().find(|(_, state)| state == announced).map_or("", |(words, _)| words);
                write!(f, "gateway {gateway} is told that host {host} {state}")
            }
            Trigger::HostDrain(host) => write!(f, "host {host} is told to drain"),
            Trigger::GatewayProcess(gateway, starts) => write!(f, "gateway {gateway} {}", verb(*starts)),
            Trigger::HostProcess(host, starts) => write!(f, "host {host} {}", verb(*starts)),
            Trigger::LogLine(gateway, text) => {
                write!(f, "gateway {gateway} logs \"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
            }
        }
    }
}
