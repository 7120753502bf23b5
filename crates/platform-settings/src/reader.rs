//! A JSON object that is read key by key: what is missing, misspelt or of another kind is an error that names
//! the key in full.

use crate::SettingsError;
use policy::api::Span;
use serde_json::{Map, Value};
use std::fmt::Display;

/// Spans that are not zero are at least this long: less means that another unit was meant.
pub(crate) const LEAST_SPAN: Span = 1_000_000;
/// Names that differ by no more letters than this are taken for one misspelt.
const MISSPELT: usize = 2;

pub(crate) type Result<T> = std::result::Result<T, SettingsError>;

/// One object of the document.
pub(crate) struct Reader<'a> {
    object: &'a Map<String, Value>,
    path: String,
    known: &'static [&'static str],
}

impl<'a> Reader<'a> {
    /// Reads an object at a path (empty for the document itself) whose keys are known. A key that is not is
    /// refused where it looks like a known one that is missing; others are added to `unknown`: the platform
    /// may come to say more than is read here.
    pub fn new(
        value: &'a Value,
        path: impl Into<String>,
        known: &'static [&'static str],
        unknown: &mut Vec<String>,
    ) -> Result<Reader<'a>> {
        let path = path.into();
        let Some(object) = value.as_object() else {
            let what = if path.is_empty() { "the settings are".to_owned() } else { format!("`{path}` is") };
            return Err(SettingsError(format!("{what} {}, not an object", shown(value))));
        };
        let reader = Reader { object, path, known };
        for key in object.keys().filter(|key| !known.contains(&key.as_str())) {
            if let Some(meant) = reader.misspelt(key) {
                return Err(reader.wrong(key, format_args!("is unknown: is `{meant}` meant?")));
            }
            unknown.push(reader.full(key));
        }
        Ok(reader)
    }

    fn misspelt(&self, key: &str) -> Option<&'static str> {
        let missing = self.known.iter().filter(|known| !self.object.contains_key(**known));
        let near = missing.map(|known| (strsim::osa_distance(key, known), *known));
        near.filter(|(far, known)| *far <= MISSPELT.min(known.len() / 2)).min().map(|(_, known)| known)
    }

    fn full(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// An error that names a key.
    pub fn wrong(&self, key: &str, reason: impl Display) -> SettingsError {
        SettingsError(format!("`{}` {reason}", self.full(key)))
    }

    /// A value that has to be there.
    pub fn value(&self, key: &str) -> Result<&'a Value> {
        debug_assert!(self.known.contains(&key), "`{key}` is read but not known");
        self.given(key).ok_or_else(|| self.wrong(key, "is missing"))
    }

    fn given(&self, key: &str) -> Option<&'a Value> {
        self.object.get(key).filter(|value| !value.is_null())
    }

    fn read<T>(&self, key: &str, kind: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T> {
        let value = self.value(key)?;
        read(value).ok_or_else(|| self.wrong(key, format_args!("is {}, not {kind}", shown(value))))
    }

    /// A number from 0 up.
    pub fn number(&self, key: &str) -> Result<f64> {
        let number = |value: &Value| value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        self.read(key, "a number from 0 up", number)
    }

    /// A number from 0 up, or 0 where the key is absent.
    pub fn number_or_zero(&self, key: &str) -> Result<f64> {
        self.given(key).map_or(Ok(0.0), |_| self.number(key))
    }

    /// A share: a number from 0 to 1.
    pub fn share(&self, key: &str) -> Result<f64> {
        let share = |value: &Value| value.as_f64().filter(|n| (0.0..=1.0).contains(n));
        self.read(key, "a share from 0 to 1", share)
    }

    /// A whole number.
    pub fn count(&self, key: &str) -> Result<u32> {
        let whole = |value: &Value| value.as_f64().filter(|n| n.fract() == 0.0 && *n >= 0.0);
        let count = |value: &Value| whole(value).filter(|n| *n <= f64::from(u32::MAX)).map(|n| n as u32);
        self.read(key, "a whole number", count)
    }

    /// A span of whole nanoseconds; zero, or one that a figure in other units would not reach.
    pub fn span(&self, key: &str) -> Result<Span> {
        let whole = |value: &Value| value.as_f64().filter(|n| n.fract() == 0.0 && (0.0..1.8e19).contains(n));
        let span = self.read(key, "whole nanoseconds", whole)? as Span;
        if span > 0 && span < LEAST_SPAN {
            let reason = format!("is {span}: times are nanoseconds, and none is under {LEAST_SPAN}");
            return Err(self.wrong(key, reason));
        }
        Ok(span)
    }

    /// A span above zero.
    pub fn some_span(&self, key: &str) -> Result<Span> {
        match self.span(key)? {
            0 => Err(self.wrong(key, "is 0, which leaves no time at all")),
            span => Ok(span),
        }
    }

    /// True or false.
    pub fn bool(&self, key: &str) -> Result<bool> {
        self.read(key, "true or false", Value::as_bool)
    }

    /// A text.
    pub fn text(&self, key: &str) -> Result<&'a str> {
        self.read(key, "a text", Value::as_str)
    }

    /// One of several words, as its place among them.
    pub fn word(&self, key: &str, words: &[&str]) -> Result<usize> {
        let text = self.text(key)?;
        let reason = || format!("is `{text}`, which is none of `{}`", words.join("`, `"));
        words.iter().position(|word| *word == text).ok_or_else(|| self.wrong(key, reason()))
    }

    /// A list, each entry with its path; empty where the key is absent.
    pub fn list(&self, key: &str) -> Result<Vec<(String, &'a Value)>> {
        if self.given(key).is_none() {
            return Ok(Vec::new());
        }
        let list = self.read(key, "a list", Value::as_array)?;
        Ok(list.iter().enumerate().map(|(i, value)| (format!("{}[{i}]", self.full(key)), value)).collect())
    }

    /// A list of texts.
    pub fn texts(&self, key: &str) -> Result<Vec<String>> {
        let text = |(path, value): (String, &Value)| {
            let wrong = || SettingsError(format!("`{path}` is {}, not a text", shown(value)));
            value.as_str().map(str::to_owned).ok_or_else(wrong)
        };
        self.list(key)?.into_iter().map(text).collect()
    }

    /// An object inside this one, which has to be there.
    pub fn part(
        &self,
        key: &str,
        known: &'static [&'static str],
        unknown: &mut Vec<String>,
    ) -> Result<Reader<'a>> {
        Reader::new(self.value(key)?, self.full(key), known, unknown)
    }
}

/// A value as a message shows it: short, whatever it is.
fn shown(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".into(),
        Value::Array(_) => "a list".into(),
        Value::String(text) if text.chars().count() > 40 => "a long text".into(),
        other => other.to_string(),
    }
}
