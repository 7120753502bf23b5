//! The handle on a thread of links.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

use mio::Waker;

use crate::error::LinkError;
use crate::plan::{ConnectionSelector, Fault, FaultId, LinkId, Plan};
use crate::runner::{Command, Runner};
use crate::trace::{Event, Trace};

/// Bounds and the seed of a set of links.
#[derive(Clone, Debug)]
pub struct Settings {
    /// All chance comes from it.
    pub seed: u64,
    /// Descriptors that the set may hold: four of its own, one a link, two a connection.
    pub descriptors: usize,
    /// Bytes that may wait in one direction of a connection; beyond that its sender is not read.
    pub queue: usize,
    /// Events that the trace keeps.
    pub events: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { seed: 1, descriptors: 1024, queue: 256 * 1024, events: 100_000 }
    }
}

/// What a link counts as messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Framing {
    /// RESP2: an array with all its elements, or a line.
    #[default]
    Resp,
    /// Each line that ends with a line feed, as HTTP's heads have them.
    Lines,
    /// No messages; the cheapest.
    None,
}

/// A link that is wanted.
#[derive(Clone, Debug)]
pub struct LinkSpec {
    /// For errors and people.
    pub name: String,
    /// Where to listen; port 0 for one that the system picks.
    pub listen: SocketAddr,
    /// Where calls are led.
    pub target: SocketAddr,
    /// What counts as a message.
    pub messages: Framing,
}

impl LinkSpec {
    /// A link on a port of 127.0.0.1 that the system picks, with RESP2 messages.
    pub fn to(name: &str, target: SocketAddr) -> LinkSpec {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        LinkSpec { name: name.to_string(), listen, target, messages: Framing::Resp }
    }

    /// The same with other messages.
    pub fn messages(mut self, messages: Framing) -> LinkSpec {
        self.messages = messages;
        self
    }

    /// The same on an address of one's own.
    pub fn listen(mut self, listen: SocketAddr) -> LinkSpec {
        self.listen = listen;
        self
    }
}

/// What a set holds just now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Links that listen or refuse.
    pub links: usize,
    /// Connections that are open.
    pub connections: usize,
    /// Descriptors in use.
    pub descriptors: usize,
    /// Bytes that wait.
    pub waiting: usize,
    /// The most that ever waited in one direction of a connection.
    pub most_waiting: usize,
}

/// Links between processes, run by one thread. Calls return when what they ask for is in force. Dropping it
/// closes all listeners and connections and ends the thread.
pub struct LinkSet {
    commands: Sender<Command>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl LinkSet {
    /// Starts the thread, without links.
    pub fn start(settings: Settings) -> Result<LinkSet, LinkError> {
        let (commands, inbox) = mpsc::channel();
        let (runner, waker) = Runner::new(settings, inbox)?;
        let thread = std::thread::Builder::new()
            .name("links".into())
            .spawn(move || runner.run())
            .map_err(|error| LinkError::System { what: "start a thread", error })?;
        Ok(LinkSet { commands, waker, thread: Some(thread) })
    }

    /// Adds a link and says where it listens.
    pub fn add(&self, spec: LinkSpec) -> Result<(LinkId, SocketAddr), LinkError> {
        self.ask(move |runner| runner.add(spec))?
    }

    /// Closes a link's listener and resets its connections.
    pub fn remove(&self, link: LinkId) -> Result<(), LinkError> {
        self.ask(move |runner| runner.remove(link))?
    }

    /// Leads connections that come from now on to another address.
    pub fn retarget(&self, link: LinkId, target: SocketAddr) -> Result<(), LinkError> {
        self.ask(move |runner| runner.retarget(link, target))?
    }

    /// Begins a fault now, and gives the number by which it is taken back.
    pub fn begin(&self, link: LinkId, who: ConnectionSelector, fault: Fault) -> Result<FaultId, LinkError> {
        self.ask(move |runner| runner.begin(link, who, fault))?
    }

    /// Takes a fault back.
    pub fn end(&self, link: LinkId, fault: FaultId) -> Result<(), LinkError> {
        self.ask(move |runner| runner.end(link, fault))?
    }

    /// Takes all faults of a link back that are in force. What is planned stays planned.
    pub fn heal(&self, link: LinkId) -> Result<(), LinkError> {
        self.ask(move |runner| runner.heal(link))?
    }

    /// Adds a plan to what is planned. Nothing of it is taken where an entry can never come.
    pub fn plan(&self, plan: Plan) -> Result<(), LinkError> {
        self.ask(move |runner| runner.plan(plan))?
    }

    /// Tells all links of a signal.
    pub fn send_signal(&self, name: &str) -> Result<(), LinkError> {
        let name = name.to_string();
        self.ask(move |runner| runner.send_signal(&name))
    }

    /// What was done so far.
    pub fn trace(&self) -> Result<Trace, LinkError> {
        self.ask(|runner| runner.trace())
    }

    /// What it holds now.
    pub fn counts(&self) -> Result<Counts, LinkError> {
        self.ask(|runner| runner.counts())
    }

    /// Waits until the trace has an event like this, also an earlier one; `None` after the time-out.
    pub fn wait(
        &self,
        timeout: Duration,
        like: impl Fn(&Event) -> bool + Send + 'static,
    ) -> Result<Option<Event>, LinkError> {
        let (found, event) = mpsc::channel();
        self.ask(move |runner| runner.watch(Box::new(like), found))?;
        Ok(event.recv_timeout(timeout).ok())
    }

    /// Stops, and gives the whole trace.
    pub fn stop(self) -> Result<Trace, LinkError> {
        self.trace()
    }

    fn ask<T: Send + 'static>(
        &self,
        what: impl FnOnce(&mut Runner) -> T + Send + 'static,
    ) -> Result<T, LinkError> {
        let (reply, answer) = mpsc::channel();
        let command: Command = Box::new(move |runner| {
            // Who asked may be gone.
            let _ = reply.send(what(runner));
        });
        self.commands.send(command).map_err(|_| LinkError::Stopped)?;
        self.waker.wake().map_err(|error| LinkError::System { what: "wake the thread", error })?;
        answer.recv().map_err(|_| LinkError::Stopped)
    }
}

impl Drop for LinkSet {
    fn drop(&mut self) {
        // The thread may have ended by a panic; there is nothing left to end then.
        let _ = self.ask(|runner| runner.stop());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
