//! Graceful shutdown after SIGTERM.

use crate::crash_points::{self, CrashPoint};
use crate::messages::LifecyclePhase;
use crate::telemetry::in_flight::InFlightGauge;
use runtime::{Env, Span};
use std::pin::pin;
use tokio::sync::watch;

const MS: Span = 1_000_000;
/// New connections are accepted for this long after SIGTERM; they may arrive for up to 0.4 s.
const ACCEPT_PERIOD: Span = 450 * MS;
/// New requests are accepted for this long after SIGTERM. Even the last one then has its full deadline.
const ADMIT_PERIOD: Span = 500 * MS;
/// Time for the last replies to be written and read, after all deadlines have passed.
const LAST_REPLY_PERIOD: Span = 100 * MS;

/// Shuts down: continues to accept connections and requests for a short time, then answers the accepted requests and
/// lets connections close between requests. Returns when all connections have closed or the shutdown has timed out: 0.6 s
/// after the longest deadline, counted from SIGTERM. SIGKILL follows no earlier than 0.7 s after the longest deadline.
pub(super) async fn shut_down<E: Env>(
    env: &E,
    phase: watch::Sender<LifecyclePhase>,
    in_flight: InFlightGauge,
    longest_deadline: Span,
) {
    let timeout = ADMIT_PERIOD + longest_deadline + LAST_REPLY_PERIOD;
    let completed = env.timeout(timeout, drain(env, phase, in_flight, longest_deadline)).await;
    if completed.is_err() {
        tracing::warn!("shutdown timed out with requests in flight");
    }
}

async fn drain<E: Env>(
    env: &E,
    phase: watch::Sender<LifecyclePhase>,
    in_flight: InFlightGauge,
    longest_deadline: Span,
) {
    phase.send_replace(LifecyclePhase::Stopping);
    env.sleep(ACCEPT_PERIOD).await;
    crash_points::crash_if_armed(CrashPoint::Stopping);
    phase.send_replace(LifecyclePhase::Closing);
    let mut drained = pin!(async {
        in_flight.wait_until_zero().await;
        // The channel closes with its last receiver; each connection holds one.
        phase.closed().await;
    });
    if env.timeout(ADMIT_PERIOD - ACCEPT_PERIOD, drained.as_mut()).await.is_ok() {
        return;
    }
    phase.send_replace(LifecyclePhase::Rejecting);
    // All requests in flight are answered within the longest deadline. What remains are commands of which a part has
    // arrived.
    if env.timeout(longest_deadline, drained.as_mut()).await.is_ok() {
        return;
    }
    phase.send_replace(LifecyclePhase::Ending);
    drained.await;
}
