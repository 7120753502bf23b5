//! The platform's settings document: what the module is told, and what the program around it reads there.

use fennelbeam_policy::api::*;
use serde_json::Value;

/// Why a settings document cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(pub String);

/// The settings document: values by path, with what is missing taken as zero, false or empty.
struct Doc<'a>(&'a Value, &'static str);

impl Doc<'_> {
    fn get<'a, T>(
        &'a self,
        key: &str,
        kind: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, SettingsError> {
        match self.0.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => match read(value) {
                Some(v) => Ok(Some(v)),
                None => Err(SettingsError(format!("`{}{key}` is {value}, not {kind}", self.1))),
            },
        }
    }
    fn f64(&self, key: &str) -> Result<f64, SettingsError> {
        let number = |v: &Value| v.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        Ok(self.get(key, "a number from 0 up", number)?.unwrap_or(0.0))
    }
    fn u64(&self, key: &str) -> Result<u64, SettingsError> {
        Ok(self.f64(key)? as u64)
    }
    fn bool(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.get(key, "true or false", Value::as_bool)?.unwrap_or(false))
    }
    fn text(&self, key: &str) -> Result<&str, SettingsError> {
        Ok(self.get(key, "a text", Value::as_str)?.unwrap_or(""))
    }
    fn list(&self, key: &str) -> Result<&[Value], SettingsError> {
        Ok(self.get(key, "a list", Value::as_array)?.map_or(&[], |l| l.as_slice()))
    }
    fn part(&self, key: &str, path: &'static str) -> Result<Doc<'_>, SettingsError> {
        let part = self.get(key, "an object", |v| v.is_object().then_some(v))?;
        Ok(Doc(part.unwrap_or(&Value::Null), path))
    }
}

/// A settings document: what the module is told, and what the program around it reads there.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// The module's settings.
    pub settings: Settings,
    /// Names of the values in a load report.
    pub fields: Vec<String>,
    /// Answers to requests hold load reports.
    pub answers_report: bool,
    /// The most units that a request counts; zero: no bound is known.
    pub units_top: f64,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the plans.
    pub plans: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub kinds: Vec<String>,
    /// A connection that is not up by then counts as failed.
    pub dial_timeout: Span,
    /// Servers close a connection that has stood idle for this long.
    pub conn_idle: Span,
}

impl Site {
    /// Reads the document.
    pub fn parse(json: &Value) -> Result<Site, SettingsError> {
        let doc = Doc(json, "");
        let (allowed, domain) = (doc.part("allowed", "allowed.")?, doc.part("domain", "domain.")?);
        let (rules, feedback) = (doc.part("rules", "rules.")?, doc.part("feedback", "feedback.")?);
        let (services, tariffs) = (doc.list("services")?, doc.list("tariffs")?);
        let classes: Result<Vec<_>, _> = services.iter().map(class).collect();
        let plans: Result<Vec<_>, _> = tariffs.iter().map(plan).collect();
        let settings = Settings {
            gateways: doc.u64("balancers")?.max(1) as u32,
            me: doc.u64("me")? as u32,
            zone: doc.u64("zone")? as u32,
            classes: classes?,
            plans: plans?,
            may_cancel: allowed.bool("cancel")?,
            may_duplicate: allowed.bool("may-duplicate")?,
            max_retry_after: allowed.bool("retry-after")?.then_some(allowed.u64("max-retry-after")?),
            max_attempts: allowed.u64("max-attempts")? as u32,
            counter: domain.bool("shared-counter")?,
            counter_timeout: domain.u64("counter-timeout")?,
            must_subscribe: doc.text("discovery")? == "subscribe",
            must_ask_in: rules.u64("must-ask-in")?,
            cold_share: rules.f64("cold-share")?,
            cold: rules.u64("cold")?,
        };
        if settings.classes.is_empty() {
            return Err(SettingsError("`services` names no class".into()));
        }
        let text = |v: &Value| v.as_str().unwrap_or("").to_owned();
        let name = |v: &Value| v.get("name").map(text).unwrap_or_default();
        Ok(Site {
            settings,
            fields: feedback.list("fields")?.iter().map(text).collect(),
            answers_report: feedback.text("how")? == "answers",
            units_top: domain.f64("units-top")?,
            classes: services.iter().map(name).collect(),
            plans: tariffs.iter().map(name).collect(),
            zones: doc.list("localities")?.iter().map(text).collect(),
            kinds: doc.list("machine-types")?.iter().map(text).collect(),
            dial_timeout: allowed.u64("dial-timeout")?,
            conn_idle: allowed.u64("conn-idle")?,
        })
    }
}

fn class(value: &Value) -> Result<Class, SettingsError> {
    let doc = Doc(value, "services[].");
    let scope = match doc.text("dedup-scope")? {
        "all" => Scope::All,
        "zone" => Scope::Zone,
        _ => Scope::Cell,
    };
    let effect = match doc.text("semantics")? {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed(scope, doc.u64("key-ttl")?),
        "unsafe" => Effect::Unsafe,
        other => return Err(SettingsError(format!("`services[].semantics` is unknown: `{other}`"))),
    };
    Ok(Class {
        aim: doc.u64("aim")?,
        aim_stretch: doc.f64("aim-stretch")?,
        deadline: doc.u64("hard-limit")?,
        worth: doc.f64("worth")?,
        late_worth: doc.f64("late-worth")?,
        effect,
        stream: doc.bool("stream")?,
    })
}

fn plan(value: &Value) -> Result<Plan, SettingsError> {
    let doc = Doc(value, "tariffs[].");
    Ok(Plan {
        rate: doc.f64("refill")?,
        burst: doc.f64("burst")?,
        open: doc.u64("concurrency")? as u32,
        price: doc.f64("worth-factor")?,
        extra_worth: doc.f64("extra-worth")?,
        overrun_cost: doc.f64("overrun-cost")?,
        ceiling_rate: doc.f64("ceiling-rate")?,
        ceiling_burst: doc.f64("never-over-depth")?,
        ceiling_slack: doc.f64("cap-slack")?,
    })
}
