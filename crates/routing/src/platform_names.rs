//! Names that the platform's settings define, and the look-up of names that the operators' files refer to.

use std::collections::BTreeMap;

use config_language::model::At;

use crate::error::{RoutingError, RoutingErrorKind};

/// Names that the platform's settings define. The position of a name in its list is the number that the gateway uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformNames<'a> {
    /// Classes of requests.
    pub classes: &'a [String],
    /// Plans of customers.
    pub plans: &'a [String],
    /// Zones of hosts.
    pub zones: &'a [String],
    /// Machine types of hosts.
    pub machine_types: &'a [String],
}

/// The positions of each name of a list. A name that is listed twice has both positions.
pub(crate) struct NameIndex<'a>(BTreeMap<&'a str, Vec<usize>>);

impl<'a> NameIndex<'a> {
    /// Indexes a list of names.
    pub(crate) fn new(names: &'a [String]) -> NameIndex<'a> {
        let mut positions: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (position, name) in names.iter().enumerate() {
            positions.entry(name).or_default().push(position);
        }
        NameIndex(positions)
    }

    /// Returns the positions of `names` in the list.
    ///
    /// # Errors
    /// The result of `unknown` for the first name that is not in the list.
    pub(crate) fn positions(
        &self,
        names: &At<Vec<String>>,
        unknown: impl Fn(String) -> RoutingErrorKind,
    ) -> Result<Vec<usize>, RoutingError> {
        let mut positions = Vec::new();
        for name in &names.value {
            let matching = self.0.get(name.as_str());
            positions.extend(matching.ok_or_else(|| unknown(name.clone()).at(&names.origin))?);
        }
        Ok(positions)
    }
}

/// Checks that each of `names` is in `defined`, a list of the platform.
///
/// # Errors
/// The result of `unknown` for the first name that is not.
pub(crate) fn check_names(
    names: &At<Vec<String>>,
    defined: &[String],
    unknown: impl Fn(String) -> RoutingErrorKind,
) -> Result<(), RoutingError> {
    match names.value.iter().find(|name| !defined.contains(name)) {
        Some(name) => Err(unknown(name.clone()).at(&names.origin)),
        None => Ok(()),
    }
}
