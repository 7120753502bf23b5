//! Reads an entry of `services`: a class of requests.

use crate::reader::{Reader, Result};
use policy::api::{Class, DedupScope, Idempotency};

/// Reads a class.
pub(crate) fn class(service: &Reader) -> Result<Class> {
    let idempotency = idempotency(service)?;
    let latency_objective = service.positive_span("aim")?;
    let deadline = service.positive_span("hard-limit")?;
    if latency_objective > deadline {
        let reason = format!(
            "is {latency_objective}, which exceeds `hard-limit` {deadline}, the deadline of requests"
        );
        return Err(service.invalid("aim", reason));
    }
    Ok(Class {
        latency_objective,
        objective_stretch: service.number_or_zero("aim-stretch")?,
        deadline,
        priority_weight: service.number("worth")?,
        late_fraction: service.fraction("late-worth")?,
        idempotency,
        streaming: service.boolean("stream")?,
    })
}

/// Reads the idempotency of a class: `safe` stands for idempotent, `keyed` for an idempotency key.
fn idempotency(service: &Reader) -> Result<Idempotency> {
    Ok(match service.one_of("semantics", &["safe", "keyed", "unsafe"])? {
        0 => Idempotency::Idempotent,
        1 => Idempotency::WithKey(dedup_scope(service)?, service.positive_span("key-ttl")?),
        _ => Idempotency::NotIdempotent,
    })
}

fn dedup_scope(service: &Reader) -> Result<DedupScope> {
    let scopes = [DedupScope::All, DedupScope::Zone, DedupScope::Cell];
    Ok(scopes[service.one_of("dedup-scope", &["all", "zone", "cell"])?])
}
