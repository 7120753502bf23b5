//! The clock that a gateway goes by. A test build can be told that it is another time than the machine says, to show
//! what gateways do whose machines disagree: with the feature `told-clock`, which no release has (`.ci/run` checks
//! that), `FENNELBEAM_CLOCK=-2000` starts it 2,000 ms behind. Its timers go on as ever.

use runtime::SystemEnv;

/// The machine's.
#[cfg(not(feature = "told-clock"))]
pub fn start() -> SystemEnv {
    SystemEnv::start()
}

/// The machine's, or as it is told.
#[cfg(feature = "told-clock")]
pub fn start() -> SystemEnv {
    const MS: i64 = 1_000_000;
    let real = SystemEnv::start();
    let Ok(ahead) = std::env::var("FENNELBEAM_CLOCK") else { return real };
    // A test that asks for what there is not is to end at once, rather than to show nothing.
    let ahead: i64 = ahead.parse().expect("FENNELBEAM_CLOCK is a number of milliseconds");
    SystemEnv::with_clock_at(runtime::Env::now(&real).saturating_add_signed(ahead * MS))
}
