//! Reads the keys of one JSON object. A key that is missing or misspelt, or has a value of the wrong type, is an error
//! that contains its full name.

use crate::SettingsError;
use policy::api::Span;
use serde_json::{Map, Value};

/// Shortest span other than zero, in nanoseconds: a shorter one is probably in another unit.
const MIN_SPAN: Span = 1_000_000;
/// Spans at or above this do not fit into 64 bits, in nanoseconds.
const SPAN_LIMIT: f64 = 1.8e19;
/// Maximum edit distance at which an unknown key is considered a misspelt known one.
const MAX_EDIT_DISTANCE: usize = 2;
/// Maximum length of a string in an error message, in characters.
const MAX_STRING_IN_MESSAGE: usize = 40;

pub(crate) type Result<T> = std::result::Result<T, SettingsError>;

/// One object of the document.
pub(crate) struct Reader<'a> {
    object: &'a Map<String, Value>,
    path: String,
    accepted: &'static [&'static str],
}

impl<'a> Reader<'a> {
    /// Opens the object at a path (empty for the document itself). An unknown key is rejected if it is similar
    /// to a known one that is missing, and otherwise added to `unknown_keys`: later versions of the platform may send
    /// additional keys.
    pub fn new(
        value: &'a Value,
        path: impl Into<String>,
        accepted: &'static [&'static str],
        unknown_keys: &mut Vec<String>,
    ) -> Result<Reader<'a>> {
        let path = path.into();
        let Some(object) = value.as_object() else { return Err(not_an_object(path, value)) };
        let reader = Reader { object, path, accepted };
        for key in object.keys().filter(|key| !accepted.contains(&key.as_str())) {
            if let Some(suggestion) = reader.similar_missing_key(key) {
                return Err(SettingsError::Unknown { key: reader.full_name(key), suggestion });
            }
            unknown_keys.push(reader.full_name(key));
        }
        Ok(reader)
    }

    /// Returns the most similar of the known keys that are missing, if one is similar enough.
    fn similar_missing_key(&self, key: &str) -> Option<&'static str> {
        let missing = self.accepted.iter().filter(|accepted| !self.object.contains_key(**accepted));
        let by_distance = missing.map(|accepted| (strsim::osa_distance(key, accepted), *accepted));
        let similar =
            by_distance.filter(|(distance, accepted)| *distance <= MAX_EDIT_DISTANCE.min(accepted.len() / 2));
        similar.min().map(|(_, accepted)| accepted)
    }

    fn full_name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns the error for a key with a value with which no gateway could serve requests.
    pub fn invalid(&self, key: &str, reason: impl Into<String>) -> SettingsError {
        SettingsError::Invalid { key: self.full_name(key), reason: reason.into() }
    }

    /// Returns the value of a required key.
    pub fn required(&self, key: &str) -> Result<&'a Value> {
        debug_assert!(self.accepted.contains(&key), "`{key}` is read but not accepted");
        self.optional(key).ok_or_else(|| SettingsError::Missing { key: self.full_name(key) })
    }

    fn optional(&self, key: &str) -> Option<&'a Value> {
        self.object.get(key).filter(|value| !value.is_null())
    }

    fn read<T>(&self, key: &str, expected: &'static str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T> {
        let value = self.required(key)?;
        read(value).ok_or_else(|| wrong_type(self.full_name(key), value, expected))
    }

    /// Returns a number that is not negative.
    pub fn number(&self, key: &str) -> Result<f64> {
        let number = |value: &Value| value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        self.read(key, "a number of at least 0", number)
    }

    /// Returns a number that is not negative, or 0 if the key is absent.
    pub fn number_or_zero(&self, key: &str) -> Result<f64> {
        self.optional(key).map_or(Ok(0.0), |_| self.number(key))
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&self, key: &str) -> Result<f64> {
        let fraction = |value: &Value| value.as_f64().filter(|number| (0.0..=1.0).contains(number));
        self.read(key, "a fraction from 0 to 1", fraction)
    }

    /// Returns a number without a fractional part.
    pub fn count(&self, key: &str) -> Result<u32> {
        let integer = |value: &Value| value.as_f64().filter(|number| number.fract() == 0.0 && *number >= 0.0);
        let count = |value: &Value| {
            let number = integer(value).filter(|number| *number <= f64::from(u32::MAX))?;
            Some(number as u32)
        };
        self.read(key, "an integer from 0 to 4294967295", count)
    }

    /// Returns a span, in nanoseconds: zero, or at least [`MIN_SPAN`], which a number in another unit would not reach.
    pub fn span(&self, key: &str) -> Result<Span> {
        let nanoseconds = |value: &Value| {
            value.as_f64().filter(|number| number.fract() == 0.0 && (0.0..SPAN_LIMIT).contains(number))
        };
        let span = self.read(key, "an integer number of nanoseconds", nanoseconds)? as Span;
        if span > 0 && span < MIN_SPAN {
            let reason = format!("is {span}: times are in nanoseconds, and the shortest is {MIN_SPAN}");
            return Err(self.invalid(key, reason));
        }
        Ok(span)
    }

    /// Returns a span above zero, in nanoseconds.
    pub fn positive_span(&self, key: &str) -> Result<Span> {
        match self.span(key)? {
            0 => Err(self.invalid(key, "is 0, but has to be above 0")),
            span => Ok(span),
        }
    }

    pub fn boolean(&self, key: &str) -> Result<bool> {
        self.read(key, "true or false", Value::as_bool)
    }

    pub fn text(&self, key: &str) -> Result<&'a str> {
        self.read(key, "a string", Value::as_str)
    }

    /// Returns the index of a string among the allowed ones.
    pub fn one_of(&self, key: &str, allowed: &[&str]) -> Result<usize> {
        let text = self.text(key)?;
        let index = allowed.iter().position(|candidate| *candidate == text);
        index.ok_or_else(|| {
            self.invalid(key, format!("is `{text}`, which is none of `{}`", allowed.join("`, `")))
        })
    }

    /// Returns the entries of an array with their paths; none if the key is absent.
    pub fn list(&self, key: &str) -> Result<Vec<(String, &'a Value)>> {
        if self.optional(key).is_none() {
            return Ok(Vec::new());
        }
        let list = self.read(key, "an array", Value::as_array)?;
        let path = |index: usize| format!("{}[{index}]", self.full_name(key));
        Ok(list.iter().enumerate().map(|(index, value)| (path(index), value)).collect())
    }

    /// Returns the entries of an array of strings.
    pub fn texts(&self, key: &str) -> Result<Vec<String>> {
        let text = |(path, value): (String, &Value)| match value.as_str() {
            Some(text) => Ok(text.to_owned()),
            None => Err(wrong_type(path, value, "a string")),
        };
        self.list(key)?.into_iter().map(text).collect()
    }

    /// Opens a required object within this one.
    pub fn object(
        &self,
        key: &str,
        accepted: &'static [&'static str],
        unknown_keys: &mut Vec<String>,
    ) -> Result<Reader<'a>> {
        Reader::new(self.required(key)?, self.full_name(key), accepted, unknown_keys)
    }
}

fn not_an_object(path: String, value: &Value) -> SettingsError {
    if path.is_empty() {
        SettingsError::NotAnObject { found: abbreviated(value) }
    } else {
        wrong_type(path, value, "an object")
    }
}

fn wrong_type(key: String, value: &Value, expected: &'static str) -> SettingsError {
    SettingsError::WrongType { key, found: abbreviated(value), expected }
}

/// Returns a value in the form that an error message shows, abbreviated.
fn abbreviated(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".into(),
        Value::Array(_) => "an array".into(),
        Value::String(text) if text.chars().count() > MAX_STRING_IN_MESSAGE => "a long string".into(),
        other => other.to_string(),
    }
}
