//! `serve`: reads the configuration and runs one gateway until it is stopped.

use crate::command::{Files, LogFormat, Serve};
use crate::source::ConfigSource;
use crate::{clock, descriptors, signals};
use anyhow::{Context as _, Result};
use gateway::{Config, MIN_SOCKETS};
use std::path::PathBuf;

/// Target of this module's log lines: the program's name, by which operators filter them.
const LOG_TARGET: &str = "api_gateway";
/// Environment variable that names the configuration file where the command line does not.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";

/// Runs a gateway until SIGTERM.
///
/// # Errors
/// The configuration cannot be used, or the gateway cannot start.
pub fn run(Serve { files, log_format }: Serve) -> Result<()> {
    start_log(log_format);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_gateway(files))
}

/// Sends the log to standard error.
fn start_log(format: LogFormat) {
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
}

async fn run_gateway(files: Files) -> Result<()> {
    // Before all else: without a handler either signal ends the process.
    let signals = signals::listen()?;
    let config_path = match files.config {
        Some(path) => path,
        None => configured_path()?,
    };
    let source = ConfigSource::new(config_path, files.operator);
    let mut config = source.read()?;
    config.sockets = descriptors::raise_limit(config.sockets);
    check_descriptors(config.sockets)?;
    log_unknown_keys(&config);
    Ok(gateway::serve(clock::start(), config, move || source.read(), signals).await?)
}

fn configured_path() -> Result<PathBuf> {
    let path = std::env::var_os(CONFIG_VARIABLE).with_context(|| format!("{CONFIG_VARIABLE} is not set"))?;
    Ok(PathBuf::from(path))
}

fn check_descriptors(sockets: usize) -> Result<()> {
    anyhow::ensure!(
        sockets >= MIN_SOCKETS,
        "{sockets} descriptors are too few: {MIN_SOCKETS} are the least (see ulimit -n)"
    );
    Ok(())
}

fn log_unknown_keys(config: &Config) {
    for key in &config.unknown_keys {
        tracing::warn!(target: LOG_TARGET, "configuration: `{key}` is skipped, this version does not know it");
    }
}
