//! Errors of the routing tables as diagnostics of the configuration language.

use config_language::diagnostic::{Place, Spot};
use config_language::model::Origin;
use config_language::Diagnostic;
use routing::{RoutingError, RoutingErrorKind};

/// Returns the diagnostic for an error of the routing tables.
pub fn routing_diagnostic(error: &RoutingError) -> Diagnostic {
    Diagnostic::error(code(&error.kind), &place(&error.origin), error.kind.to_string())
}

/// Returns the place in a file where a value was written.
pub fn place(origin: &Origin) -> Place {
    let spot = Spot { line: origin.line, column: origin.column, length: 1 };
    Place { file: origin.file.clone(), spot }
}

/// Returns the diagnostic's code, which scripts read. Where the language's own checker finds the same mistake, the
/// codes are equal.
fn code(kind: &RoutingErrorKind) -> &'static str {
    match kind {
        RoutingErrorKind::UnknownClass(_)
        | RoutingErrorKind::UnknownPlan(_)
        | RoutingErrorKind::UnknownZone(_)
        | RoutingErrorKind::UnknownMachineType(_)
        | RoutingErrorKind::UnknownPool(_) => "unknown",
        RoutingErrorKind::DuplicatePool(_) | RoutingErrorKind::DuplicateRoute(_) => "twice",
        RoutingErrorKind::InvalidLimit { .. } => "bounds",
        RoutingErrorKind::TooManyPools(_)
        | RoutingErrorKind::TooManySitePools { .. }
        | RoutingErrorKind::TooManyRoutes(_)
        | RoutingErrorKind::TooManyRanges(_) => "too-many",
        RoutingErrorKind::NoFreePoolBit(_) => "no-place",
        RoutingErrorKind::RateWithoutBurst(_) | RoutingErrorKind::BurstWithoutRate(_) => "half-quota",
    }
}
