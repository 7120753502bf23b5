//! Handle of the thread that runs the links.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

use mio::Waker;

use crate::error::LinkError;
use crate::plan::{ConnectionSelector, Fault, FaultId, LinkId, Plan};
use crate::runner::{Command, Runner};
use crate::trace::{Event, Trace};

/// Limits and the random seed of a set of links.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of all random values.
    pub seed: u64,
    /// Limit on file descriptors: four for the set itself, one per link, two per connection.
    pub descriptors: usize,
    /// Maximum bytes queued in one direction of a connection; at the limit, the link stops reading from the
    /// sender.
    pub queue: usize,
    /// Maximum number of events kept in the trace.
    pub events: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { seed: 1, descriptors: 1024, queue: 256 * 1024, events: 100_000 }
    }
}

/// How a link splits a stream into messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Framing {
    /// RESP2: an array with all its elements, or a line.
    #[default]
    Resp,
    /// Each line that ends with a line feed, as in HTTP headers.
    Lines,
    /// No messages are counted; the cheapest option.
    None,
}

/// Specification of a link.
#[derive(Clone, Debug)]
pub struct LinkSpec {
    /// Name for error messages.
    pub name: String,
    /// Address to listen on; with port 0 the system picks a port.
    pub listen: SocketAddr,
    /// Address that connections are forwarded to.
    pub target: SocketAddr,
    /// How the stream is split into messages.
    pub messages: Framing,
}

impl LinkSpec {
    /// Creates the specification of a link with RESP2 messages on a port of 127.0.0.1 that the system picks.
    pub fn to(name: &str, target: SocketAddr) -> LinkSpec {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        LinkSpec { name: name.to_string(), listen, target, messages: Framing::Resp }
    }

    /// Sets how the stream is split into messages.
    pub fn messages(mut self, messages: Framing) -> LinkSpec {
        self.messages = messages;
        self
    }

    /// Sets the address to listen on.
    pub fn listen(mut self, listen: SocketAddr) -> LinkSpec {
        self.listen = listen;
        self
    }
}

/// Current resource usage of a set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Links that listen or refuse connections.
    pub links: usize,
    /// Open connections.
    pub connections: usize,
    /// Descriptors in use.
    pub descriptors: usize,
    /// Queued bytes.
    pub waiting: usize,
    /// Maximum bytes ever queued in one direction of a connection.
    pub most_waiting: usize,
}

/// A set of links between processes, run by one thread. Methods return once the requested change is in
/// effect. Dropping the set closes all listeners and connections and ends the thread.
pub struct LinkSet {
    commands: Sender<Command>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl LinkSet {
    /// Starts the thread without any links.
    pub fn start(settings: Settings) -> Result<LinkSet, LinkError> {
        let (commands, inbox) = mpsc::channel();
        let (runner, waker) = Runner::new(settings, inbox)?;
        let thread = std::thread::Builder::new()
            .name("links".into())
            .spawn(move || runner.run())
            .map_err(|error| LinkError::System { operation: "start a thread", error })?;
        Ok(LinkSet { commands, waker, thread: Some(thread) })
    }

    /// Adds a link and returns its id and listening address.
    pub fn add(&self, spec: LinkSpec) -> Result<(LinkId, SocketAddr), LinkError> {
        self.call_runner(move |runner| runner.add(spec))?
    }

    /// Closes a link's listener and resets its connections.
    pub fn remove(&self, link: LinkId) -> Result<(), LinkError> {
        self.call_runner(move |runner| runner.remove(link))?
    }

    /// Forwards connections accepted from now on to another target.
    pub fn retarget(&self, link: LinkId, target: SocketAddr) -> Result<(), LinkError> {
        self.call_runner(move |runner| runner.retarget(link, target))?
    }

    /// Starts a fault immediately and returns the id that ends it.
    pub fn begin(&self, link: LinkId, who: ConnectionSelector, fault: Fault) -> Result<FaultId, LinkError> {
        self.call_runner(move |runner| runner.begin(link, who, fault))?
    }

    /// Ends a fault.
    pub fn end(&self, link: LinkId, fault: FaultId) -> Result<(), LinkError> {
        self.call_runner(move |runner| runner.end(link, fault))?
    }

    /// Ends all active faults of a link. Planned faults stay planned.
    pub fn heal(&self, link: LinkId) -> Result<(), LinkError> {
        self.call_runner(move |runner| runner.heal(link))?
    }

    /// Adds the entries of a plan. The whole plan is rejected if an entry can never fire.
    pub fn plan(&self, plan: Plan) -> Result<(), LinkError> {
        self.call_runner(move |runner| runner.plan(plan))?
    }

    /// Sends a signal to all links.
    pub fn send_signal(&self, name: &str) -> Result<(), LinkError> {
        let name = name.to_string();
        self.call_runner(move |runner| runner.send_signal(&name))
    }

    /// Returns the events so far.
    pub fn trace(&self) -> Result<Trace, LinkError> {
        self.call_runner(|runner| runner.trace())
    }

    /// Returns the current resource usage.
    pub fn counts(&self) -> Result<Counts, LinkError> {
        self.call_runner(|runner| runner.counts())
    }

    /// Waits until the trace contains a matching event, earlier events included. Returns `None` after the
    /// timeout.
    pub fn wait(
        &self,
        timeout: Duration,
        matches: impl Fn(&Event) -> bool + Send + 'static,
    ) -> Result<Option<Event>, LinkError> {
        let (found, event) = mpsc::channel();
        self.call_runner(move |runner| runner.watch(Box::new(matches), found))?;
        Ok(event.recv_timeout(timeout).ok())
    }

    /// Stops the set and returns the complete trace.
    pub fn stop(self) -> Result<Trace, LinkError> {
        self.trace()
    }

    fn call_runner<T: Send + 'static>(
        &self,
        call: impl FnOnce(&mut Runner) -> T + Send + 'static,
    ) -> Result<T, LinkError> {
        let (reply_tx, reply_rx) = mpsc::channel();
        let command: Command = Box::new(move |runner| {
            // The caller may have stopped waiting.
            let _ = reply_tx.send(call(runner));
        });
        self.commands.send(command).map_err(|_| LinkError::Stopped)?;
        self.waker.wake().map_err(|error| LinkError::System { operation: "wake the thread", error })?;
        reply_rx.recv().map_err(|_| LinkError::Stopped)
    }
}

impl Drop for LinkSet {
    fn drop(&mut self) {
        // The thread may have ended by a panic; then there is nothing left to stop.
        let _ = self.call_runner(|runner| runner.stop());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
