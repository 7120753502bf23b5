//! The process signals that a gateway acts on.

use anyhow::Result;
use gateway::Signal;
use tokio::signal::unix::{signal, Signal as UnixSignal, SignalKind};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

/// Installs handlers for SIGHUP and SIGTERM, and returns the channel on which the signals arrive in their order.
///
/// # Errors
/// The operating system refuses a handler.
pub fn listen() -> Result<UnboundedReceiver<Signal>> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    tokio::spawn(forward(terminate, Signal::Terminate, sender.clone()));
    tokio::spawn(forward(hangup, Signal::Reload, sender));
    Ok(receiver)
}

/// Sends a message for each signal, until the receiver is dropped.
async fn forward(mut source: UnixSignal, message: Signal, sender: UnboundedSender<Signal>) {
    while source.recv().await.is_some() {
        if sender.send(message).is_err() {
            return;
        }
    }
}
