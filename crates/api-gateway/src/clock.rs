//! The clock of a gateway.
//!
//! A test build with the feature `told-clock` can run with a clock that differs from the machine's, to show what gateways
//! do whose machines disagree on the time: `FENNELBEAM_CLOCK=-2000` starts it 2,000 ms behind. Timers are not affected.
//! No release has the feature, which `.ci/run` checks.

use runtime::SystemEnv;

/// Returns the machine's clock.
#[cfg(not(feature = "told-clock"))]
pub fn start() -> SystemEnv {
    SystemEnv::start()
}

/// Returns the machine's clock, shifted by `FENNELBEAM_CLOCK` milliseconds if the environment has it.
#[cfg(feature = "told-clock")]
pub fn start() -> SystemEnv {
    const NANOSECONDS_PER_MILLISECOND: i64 = 1_000_000;
    let machine_clock = SystemEnv::start();
    let Ok(offset) = std::env::var("FENNELBEAM_CLOCK") else { return machine_clock };
    // A test with an invalid offset must fail at once, instead of running with the machine's time.
    let offset_ms: i64 = offset.parse().expect("FENNELBEAM_CLOCK is a number of milliseconds");
    let now = runtime::Env::now(&machine_clock);
    SystemEnv::with_clock_at(now.saturating_add_signed(offset_ms * NANOSECONDS_PER_MILLISECOND))
}
