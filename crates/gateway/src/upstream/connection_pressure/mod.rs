//! Whether hosts are short of connections. A host holds only so many, and each that a gateway keeps idle is one that
//! the others lack: where hosts turn new ones away, ours are given back after use. Those who hold one are not turned
//! away there, so what one host shows is taken to hold for all.

use policy::api::{Span, Time};

const MS: Span = 1_000_000;
/// A connection that ends so soon after it came up, and before an answer, was turned away: a host that holds as many as
/// it can says so at once, while what breaks under a request does so at any time.
const AT_ONCE: Span = 2 * MS;
/// Of new connections, the weight of the last one in the share that is turned away.
const NEWEST: f64 = 0.05;
/// Connections also break for other reasons: a share below this tells nothing.
const TELLS: f64 = 0.1;
/// Once told, it holds for so long: given back, connections are no longer short, and that must not bring it about anew.
const HOLDS: Span = 60_000 * MS;

/// What new connections came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shortage {
    /// The share of new connections that was turned away lately.
    share: f64,
    until: Time,
}

impl Shortage {
    /// A new connection brought its first answer.
    pub fn served(&mut self) {
        self.share -= NEWEST * self.share;
    }

    /// A new connection that came up then has ended before it brought an answer.
    pub fn ended(&mut self, now: Time, up: Time) {
        if now < up.saturating_add(AT_ONCE) {
            self.share += NEWEST * (1.0 - self.share);
            if self.share >= TELLS {
                self.until = now.saturating_add(HOLDS);
            }
        }
    }

    /// Whether connections are to be given back.
    pub fn is_on(&self, now: Time) -> bool {
        now < self.until
    }
}

#[cfg(test)]
mod tests;
