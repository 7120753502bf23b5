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
/// New requests are accepted for this long after SIGTERM. Even the last one then has its full deadline, with 0.1 s left
/// to write its answer and for the client to read it.
const ADMIT_PERIOD: Span = 500 * MS;
/// The shutdown times out this long after the longest deadline, counted from SIGTERM. SIGKILL follows no earlier than
/// 0.7 s after the longest deadline.
const SHUTDOWN_MARGIN: Span = 600 * MS;

/// Shuts down: continues to accept connections and requests for a short time, then answers the accepted requests and
/// lets connections close between requests. Returns when all connections have closed or the shutdown has timed out.
pub(super) async fn shut_down<E: Env>(
    env: &E,
    phase: watch::Sender<LifecyclePhase>,
    in_flight: InFlightGauge,
    longest_deadline: Span,
) {
    let completed = env.timeout(longest_deadline + SHUTDOWN_MARGIN, drain(env, phase, in_flight)).await;
    if completed.is_err() {
        tracing::warn!("shutdown timed out with requests in flight");
    }
}

async fn drain<E: Env>(env: &E, phase: watch::Sender<LifecyclePhase>, in_flight: InFlightGauge) {
    phase.send_replace(LifecyclePhase::Stopping);
    env.sleep(ACCEPT_PERIOD).await;
    crash_points::crash_if_armed(CrashPoint::Stopping);
    phase.send_replace(LifecyclePhase::Closing);
    let mut drained = pin!(async {
        in_flight.wait_until_zero().await;
        // The channel closes with its last receiver; each connection holds one.
        phase.closed().await;
    });
    if env.timeout(ADMIT_PERIOD - ACCEPT_PERIOD, drained.as_mut()).await.is_err() {
        phase.send_replace(LifecyclePhase::Rejecting);
        drained.await;
    }
}
