//! Reads the settings document.

use crate::classes::class;
use crate::keys;
use crate::plans::plan;
use crate::reader::{Reader, Result};
use policy::api::{Class, Plan, Settings, Span};
use serde_json::Value;

/// The platform's settings: those of the decision module, and those of the program that hosts it.
#[derive(Clone, Debug, Default)]
pub struct PlatformSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the values in a load report, in order (`feedback.fields`).
    pub load_report_fields: Vec<String>,
    /// Whether responses of hosts carry load reports (`feedback.how`).
    pub responses_carry_reports: bool,
    /// Maximum units that a request costs (`domain.units-top`); zero for no known bound.
    pub max_request_units: f64,
    /// Names of the classes, by index (`services`).
    pub class_names: Vec<String>,
    /// Names of the plans, by index (`tariffs`).
    pub plan_names: Vec<String>,
    /// Names of the zones, by index (`localities`).
    pub zone_names: Vec<String>,
    /// Names of the machine types, by index (`machine-types`).
    pub machine_types: Vec<String>,
    /// Time after which the attempt to open a connection fails (`allowed.dial-timeout`).
    pub connect_timeout: Span,
    /// Time after which hosts close an idle connection (`allowed.conn-idle`).
    pub idle_timeout: Span,
    /// Full names of the unknown keys, which are ignored.
    pub unknown_keys: Vec<String>,
}

impl PlatformSettings {
    /// Reads the document.
    ///
    /// # Errors
    /// Reports the first key that is missing, misspelt, or has a value of the wrong type or one with which no gateway
    /// could serve requests.
    pub fn parse(json: &Value) -> Result<PlatformSettings> {
        let mut unknown_keys = Vec::new();
        let document = Reader::new(json, "", keys::DOCUMENT, &mut unknown_keys)?;
        let allowed = document.object("allowed", keys::ALLOWED, &mut unknown_keys)?;
        let domain = document.object("domain", keys::DOMAIN, &mut unknown_keys)?;
        let rules = document.object("rules", keys::RULES, &mut unknown_keys)?;
        let feedback = document.object("feedback", keys::FEEDBACK, &mut unknown_keys)?;
        let services = named_entries(&document, "services", keys::SERVICE, &mut unknown_keys)?;
        let tariffs = named_entries(&document, "tariffs", keys::TARIFF, &mut unknown_keys)?;
        let zone_names = document.texts("localities")?;
        let sections = Sections { document: &document, allowed: &allowed, domain: &domain, rules: &rules };
        let classes = services.iter().map(class).collect::<Result<_>>()?;
        let plans = tariffs.iter().map(plan).collect::<Result<_>>()?;
        let zone = zone(&document, zone_names.len())?;
        Ok(PlatformSettings {
            settings: sections.settings(classes, plans, zone)?,
            load_report_fields: feedback.texts("fields")?,
            responses_carry_reports: feedback.text("how")? == "answers",
            max_request_units: domain.number("units-top")?,
            class_names: names(&services)?,
            plan_names: names(&tariffs)?,
            zone_names,
            machine_types: document.texts("machine-types")?,
            connect_timeout: allowed.positive_span("dial-timeout")?,
            idle_timeout: allowed.positive_span("conn-idle")?,
            unknown_keys,
        })
    }
}

/// The objects of the document that contain gateway-wide settings.
struct Sections<'a> {
    document: &'a Reader<'a>,
    allowed: &'a Reader<'a>,
    domain: &'a Reader<'a>,
    rules: &'a Reader<'a>,
}

impl Sections<'_> {
    fn settings(&self, classes: Vec<Class>, plans: Vec<Plan>, zone: u32) -> Result<Settings> {
        let Sections { document, allowed, domain, rules } = self;
        let gateways = document.count("balancers")?;
        let gateway_index = document.count("me")?;
        if gateway_index >= gateways {
            let reason =
                format!("is {gateway_index}, but `balancers` is {gateways}: gateways are numbered from 0");
            return Err(document.invalid("me", reason));
        }
        let max_attempts = allowed.count("max-attempts")?;
        if max_attempts == 0 {
            return Err(allowed.invalid("max-attempts", "is 0: no request could be forwarded"));
        }
        let has_counter = domain.boolean("shared-counter")?;
        let may_send_retry_after = allowed.boolean("retry-after")?;
        Ok(Settings {
            gateways,
            gateway_index,
            zone,
            classes,
            plans,
            may_cancel: allowed.boolean("cancel")?,
            may_hedge: allowed.boolean("may-duplicate")?,
            max_retry_after: if may_send_retry_after { Some(allowed.span("max-retry-after")?) } else { None },
            max_attempts,
            has_counter,
            counter_timeout: if has_counter { domain.positive_span("counter-timeout")? } else { 0 },
            must_subscribe: document.one_of("discovery", &["automatic", "subscribe"])? == 1,
            must_poll_within: rules.span("must-ask-in")?,
            initial_capacity: rules.fraction("cold-share")?,
            warm_up: rules.span("cold")?,
            customer_bytes: 0,
        })
    }
}

fn zone(document: &Reader, zones: usize) -> Result<u32> {
    let zone = document.count("zone")?;
    if zones > 0 && zone as usize >= zones {
        let reason = format!("is {zone}, but `localities` names {zones} zones, numbered from 0");
        return Err(document.invalid("zone", reason));
    }
    Ok(zone)
}

/// Reads a list of at least one entry, each with a unique name.
fn named_entries<'a>(
    document: &Reader<'a>,
    key: &'static str,
    accepted: &'static [&'static str],
    unknown_keys: &mut Vec<String>,
) -> Result<Vec<Reader<'a>>> {
    document.required(key)?;
    let mut entries = Vec::new();
    for (path, value) in document.list(key)? {
        entries.push(Reader::new(value, path, accepted, unknown_keys)?);
    }
    if entries.is_empty() {
        return Err(document.invalid(key, "is empty: no request could be served"));
    }
    let mut names = Vec::new();
    for entry in &entries {
        let name = entry.text("name")?;
        if name.is_empty() {
            return Err(entry.invalid("name", "is empty"));
        }
        if names.contains(&name) {
            return Err(entry.invalid("name", format!("is `{name}`, the name of an earlier entry")));
        }
        names.push(name);
    }
    Ok(entries)
}

fn names(entries: &[Reader]) -> Result<Vec<String>> {
    entries.iter().map(|entry| entry.text("name").map(str::to_owned)).collect()
}
