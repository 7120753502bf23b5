//! Loads operators' files for the gateways of a run.

use anyhow::{bail, Context, Result};
use cluster_model::scenario::Scenario;
use cluster_model::settings::{config_document, GatewayStart};
use config_language::loader::{Fs, Memory};
use config_language::{load, Loaded, Severity};
use gateway::{check_operators, Config, Operators};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// Loads an operators' file with its includes, and checks that the gateways of this scenario can apply it.
///
/// # Errors
/// Returns the first error, with file, line, column and reason.
pub fn read_operators(path: &Path, scenario: &Scenario) -> Result<Operators> {
    validated(load(path, &Fs, None), &path.display().to_string(), scenario)
}

/// Loads an operators' file from a text, as [`read_operators`] does from a path.
///
/// # Errors
/// Fails as [`read_operators`] does.
pub fn operators_of(name: &str, text: &str, scenario: &Scenario) -> Result<Operators> {
    validated(load(name.as_ref(), &Memory::default().with(name, text), None), name, scenario)
}

fn validated(loaded: Loaded, name: &str, scenario: &Scenario) -> Result<Operators> {
    let Some(set) = loaded.set else {
        let error = loaded.diagnostics.iter().find(|diagnostic| diagnostic.severity == Severity::Error);
        bail!(error.map_or_else(|| format!("{name}: cannot be used"), |error| error.one_line()));
    };
    let unused = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 9);
    let known = json!({"generation": 0, "reset": true, "instances": []});
    let (name, seed) = ("n0".to_owned(), 0);
    let start = GatewayStart {
        name,
        listen: unused,
        discovery: unused,
        counter: unused,
        seed,
        known_endpoints: known,
    };
    let config = Config::parse(config_document(scenario, 0, &start).to_string().as_bytes());
    check_operators(&config.context("the scenario's settings")?.platform, &set.operators)?;
    Ok(set.operators)
}
