//! Graceful shutdown after SIGTERM.

use crate::crash_points::{self, CrashPoint};
use crate::messages::LifecyclePhase;
use crate::telemetry::in_flight::InFlightGauge;
use runtime::{Env, Span};
use std::pin::pin;
use tokio::sync::watch;

const MS: Span = 1_000_000;
/// New connections may arrive for up to 0.4 s after SIGTERM; they are accepted for this long.
const ACCEPTING: Span = 450 * MS;
/// New requests are accepted for this long after SIGTERM: each has its full deadline, and 0.1 s remain for its answer to
/// be written and read.
const ADMITTING: Span = 500 * MS;
/// The shutdown ends this long after the longest deadline. SIGKILL comes no sooner than the longest deadline and 0.7 s
/// after SIGTERM.
const AFTER_LONGEST_DEADLINE: Span = 600 * MS;

/// Shuts down: goes on accepting for a while, then answers the accepted requests and lets connections close between
/// requests. Returns when that is done, or when the time for it is over.
pub(super) async fn shut_down<E: Env>(
    env: &E,
    phase: watch::Sender<LifecyclePhase>,
    in_flight: InFlightGauge,
    longest_deadline: Span,
) {
    let completed =
        env.timeout(longest_deadline + AFTER_LONGEST_DEADLINE, drain(env, phase, in_flight)).await;
    if completed.is_err() {
        tracing::warn!("shutdown timed out with requests in flight");
    }
}

async fn drain<E: Env>(env: &E, phase: watch::Sender<LifecyclePhase>, in_flight: InFlightGauge) {
    phase.send_replace(LifecyclePhase::Stopping);
    env.sleep(ACCEPTING).await;
    crash_points::crash_if_armed(CrashPoint::Stopping);
    phase.send_replace(LifecyclePhase::Closing);
    let mut drained = pin!(async {
        in_flight.wait_until_zero().await;
        // All connections hold a receiver of the phase.
        phase.closed().await;
    });
    if env.timeout(ADMITTING - ACCEPTING, drained.as_mut()).await.is_err() {
        phase.send_replace(LifecyclePhase::Rejecting);
        drained.await;
    }
}
