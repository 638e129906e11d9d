//! Reads objects of the settings and collects their faults. Start with [`Section`].

use std::fmt;
use std::str::FromStr;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The keys on the path to it, joined by dots.
    pub path: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The problem and its remedy.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, {}: {}", self.line, self.path, self.problem)
    }
}

/// The text of the settings and the faults found so far.
#[derive(Debug)]
pub(super) struct Report<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Report<'a> {
    pub(super) const fn new(text: &'a str) -> Self {
        Self { text, faults: Vec::new() }
    }

    pub(super) fn into_faults(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }

    pub(super) fn add(&mut self, path: impl Into<String>, line: usize, problem: impl Into<String>) {
        self.faults.push(Fault { path: path.into(), line, problem: problem.into() });
    }

    pub(super) fn line_of(&self, node: &impl Ranged) -> usize {
        1 + self.text[..node.start()].matches('\n').count()
    }
}

/// An object of the settings; keys that are never read are faults.
#[derive(Debug)]
pub(super) struct Section<'a> {
    path: String,
    line: usize,
    object: Option<&'a Object<'a>>,
    read_keys: Vec<&'static str>,
}

impl<'a> Section<'a> {
    pub(super) fn root(report: &Report<'_>, object: &'a Object<'a>) -> Self {
        Self {
            path: String::new(),
            line: report.line_of(object),
            object: Some(object),
            read_keys: Vec::new(),
        }
    }

    /// Returns the line of a key, or that of the section if the key is absent.
    pub(super) fn line(&self, report: &Report<'_>, key: &str) -> usize {
        let prop = self.object.and_then(|object| object.properties.iter().find(|p| p.name.as_str() == key));
        prop.map_or(self.line, |prop| report.line_of(prop))
    }

    /// Returns the full path of `key`.
    pub(super) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Reads a required key.
    pub(super) fn required<T>(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
        example: &str,
        read: impl FnOnce(&'a Value<'a>) -> Result<T, String>,
    ) -> Option<T> {
        let Some(value) = self.value(key) else {
            // A missing section is reported as one fault.
            if self.object.is_some() {
                report.add(
                    self.path_of(key),
                    self.line,
                    format!("is missing; add it, for example {example}"),
                );
            }
            return None;
        };
        self.read(report, key, value, read)
    }

    /// Reads an optional key.
    pub(super) fn optional<T>(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
        default: T,
        read: impl FnOnce(&'a Value<'a>) -> Result<T, String>,
    ) -> T {
        let Some(value) = self.value(key) else { return default };
        self.read(report, key, value, read).unwrap_or(default)
    }

    /// Opens a required object.
    pub(super) fn required_section(&mut self, report: &mut Report<'_>, key: &'static str) -> Self {
        let object = self.required(report, key, "{ ... }", object);
        self.subsection(report, key, object)
    }

    /// Opens an object if it is present.
    pub(super) fn present_section(&mut self, report: &mut Report<'_>, key: &'static str) -> Option<Self> {
        let found = self.optional(report, key, None, |value| object(value).map(Some));
        found.map(|found| self.subsection(report, key, Some(found)))
    }

    /// Opens an optional object; if it is absent, its keys are too.
    pub(super) fn optional_section(&mut self, report: &mut Report<'_>, key: &'static str) -> Self {
        let found = self.optional(report, key, None, |value| object(value).map(Some));
        self.subsection(report, key, found)
    }

    /// Reports duplicate keys and keys that were never read.
    pub(super) fn finish(self, report: &mut Report<'_>) {
        let Some(object) = self.object else { return };
        for (i, prop) in object.properties.iter().enumerate() {
            let key = prop.name.as_str();
            if object.properties[..i].iter().any(|previous| previous.name.as_str() == key) {
                report.add(self.path_of(key), report.line_of(prop), "stands twice; remove one of them");
            }
            if !self.read_keys.contains(&key) {
                let remedy = format!("is unknown; remove it, or use one of: {}", self.read_keys.join(", "));
                report.add(self.path_of(key), report.line_of(prop), remedy);
            }
        }
    }

    fn subsection(&self, report: &Report<'_>, key: &'static str, object: Option<&'a Object<'a>>) -> Self {
        Self { path: self.path_of(key), line: self.line(report, key), object, read_keys: Vec::new() }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a Value<'a>> {
        self.read_keys.push(key);
        let prop = self.object?.properties.iter().find(|prop| prop.name.as_str() == key)?;
        Some(&prop.value)
    }

    fn read<T>(
        &self,
        report: &mut Report<'_>,
        key: &str,
        value: &'a Value<'a>,
        read: impl FnOnce(&'a Value<'a>) -> Result<T, String>,
    ) -> Option<T> {
        match read(value) {
            Ok(value) => Some(value),
            Err(problem) => {
                report.add(self.path_of(key), report.line_of(value), problem);
                None
            }
        }
    }
}

fn object<'a>(value: &'a Value<'a>) -> Result<&'a Object<'a>, String> {
    value.as_object().ok_or_else(|| "is not an object; write { ... }".to_owned())
}

/// Parses a string into a typed value.
pub(super) fn text<T>(value: &Value<'_>) -> Result<T, String>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let text =
        value.as_string_lit().ok_or_else(|| "is not a string; write it in double quotes".to_owned())?;
    text.value.parse().map_err(|err: T::Err| err.to_string())
}

/// Parses a non-empty list of strings into typed values.
pub(super) fn texts<T>(value: &Value<'_>) -> Result<Vec<T>, String>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let list = value.as_array().ok_or_else(|| "is not a list; write [ ... ]".to_owned())?;
    if list.elements.is_empty() {
        return Err("is empty; name at least one".to_owned());
    }
    list.elements.iter().map(text).collect()
}

/// Reads an integer within a range.
pub(super) fn number(value: &Value<'_>, min: u64, max: u64) -> Result<u64, String> {
    value
        .as_number_lit()
        .and_then(|number| number.value.parse().ok())
        .filter(|number| (min..=max).contains(number))
        .ok_or_else(|| format!("is no whole number from {min} to {max}; write one"))
}

/// Reads a number within a range; fractions are accepted.
///
/// Platforms may fill in fractions, and a host must not refuse to start for that.
pub(super) fn fraction(value: &Value<'_>, min: f64, max: f64) -> Result<f64, String> {
    value
        .as_number_lit()
        .and_then(|number| number.value.parse().ok())
        .filter(|number| (min..=max).contains(number))
        .ok_or_else(|| format!("is not a number from {min} to {max}; write one"))
}

/// Reads a boolean.
pub(super) fn boolean(value: &Value<'_>) -> Result<bool, String> {
    match value {
        Value::BooleanLit(literal) => Ok(literal.value),
        _ => Err("is neither true nor false; write one of them without quotes".to_owned()),
    }
}

/// Converts a value to plain JSON, for parts with a format of their own.
pub(super) fn json_of(value: &Value<'_>) -> serde_json::Value {
    match value {
        Value::StringLit(text) => serde_json::Value::from(text.value.to_string()),
        Value::NumberLit(number) => serde_json::from_str(number.value).unwrap_or_default(),
        Value::BooleanLit(literal) => serde_json::Value::from(literal.value),
        Value::NullKeyword(_) => serde_json::Value::Null,
        Value::Array(array) => array.elements.iter().map(json_of).collect(),
        Value::Object(object) => {
            let entries = object.properties.iter().map(|prop| (prop.name.as_str(), json_of(&prop.value)));
            entries.collect()
        }
    }
}
