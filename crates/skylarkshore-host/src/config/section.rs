//! Reads an object of the settings and collects what is wrong with it.

use std::fmt;
use std::str::FromStr;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

/// Something wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The keys that lead to the place, joined by dots.
    pub path: String,
    /// The line, the first one being 1.
    pub line: usize,
    /// What is wrong, and the remedy.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, {}: {}", self.line, self.path, self.problem)
    }
}

/// The settings' text and what was found wrong in it so far.
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

/// An object of the settings; keys that nobody asked for are faults.
#[derive(Debug)]
pub(super) struct Section<'a> {
    path: String,
    line: usize,
    object: Option<&'a Object<'a>>,
    known: Vec<&'static str>,
}

impl<'a> Section<'a> {
    pub(super) fn root(report: &Report<'_>, object: &'a Object<'a>) -> Self {
        Self { path: String::new(), line: report.line_of(object), object: Some(object), known: Vec::new() }
    }

    /// Returns the line of a key, or of the section where it is absent.
    pub(super) fn line(&self, report: &Report<'_>, key: &str) -> usize {
        let prop = self.object.and_then(|object| object.properties.iter().find(|p| p.name.as_str() == key));
        prop.map_or(self.line, |prop| report.line_of(prop))
    }

    /// Returns the keys that lead to `key`.
    pub(super) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Reads a key that has to be there.
    pub(super) fn required<T>(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
        example: &str,
        read: impl FnOnce(&'a Value<'a>) -> Result<T, String>,
    ) -> Option<T> {
        let Some(value) = self.value(key) else {
            // A section that is missing as a whole has its own fault.
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

    /// Reads a key that may be absent.
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

    /// Opens an object that has to be there.
    pub(super) fn required_section(&mut self, report: &mut Report<'_>, key: &'static str) -> Self {
        let object = self.required(report, key, "{ ... }", object);
        self.opened(report, key, object)
    }

    /// Opens an object if it is there.
    pub(super) fn present_section(&mut self, report: &mut Report<'_>, key: &'static str) -> Option<Self> {
        let found = self.optional(report, key, None, |value| object(value).map(Some));
        found.map(|found| self.opened(report, key, Some(found)))
    }

    /// Opens an object that may be absent.
    pub(super) fn optional_section(&mut self, report: &mut Report<'_>, key: &'static str) -> Self {
        let found = self.optional(report, key, None, |value| object(value).map(Some));
        self.opened(report, key, found)
    }

    /// Reports the keys that nobody asked for.
    pub(super) fn finish(self, report: &mut Report<'_>) {
        let Some(object) = self.object else { return };
        for (i, prop) in object.properties.iter().enumerate() {
            let key = prop.name.as_str();
            if object.properties[..i].iter().any(|earlier| earlier.name.as_str() == key) {
                report.add(self.path_of(key), report.line_of(prop), "stands twice; remove one of them");
            }
            if !self.known.contains(&key) {
                let remedy = format!("is unknown; remove it, or use one of: {}", self.known.join(", "));
                report.add(self.path_of(key), report.line_of(prop), remedy);
            }
        }
    }

    fn opened(&self, report: &Report<'_>, key: &'static str, object: Option<&'a Object<'a>>) -> Self {
        Self { path: self.path_of(key), line: self.line(report, key), object, known: Vec::new() }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a Value<'a>> {
        self.known.push(key);
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
    value.as_object().ok_or_else(|| "is no object; write { ... }".to_owned())
}

/// Reads a text that stands for a checked value.
pub(super) fn text<T>(value: &Value<'_>) -> Result<T, String>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let text = value.as_string_lit().ok_or_else(|| "is no text; write it in double quotes".to_owned())?;
    text.value.parse().map_err(|err: T::Err| err.to_string())
}

/// Reads a list of texts with at least one entry.
pub(super) fn texts<T>(value: &Value<'_>) -> Result<Vec<T>, String>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let list = value.as_array().ok_or_else(|| "is no list; write [ ... ]".to_owned())?;
    if list.elements.is_empty() {
        return Err("is empty; name at least one".to_owned());
    }
    list.elements.iter().map(text).collect()
}

/// Reads a whole number within a range.
pub(super) fn number(value: &Value<'_>, min: u64, max: u64) -> Result<u64, String> {
    value
        .as_number_lit()
        .and_then(|number| number.value.parse().ok())
        .filter(|number| (min..=max).contains(number))
        .ok_or_else(|| format!("is no whole number from {min} to {max}; write one"))
}

/// Reads a number within a range, which may be a fraction.
///
/// What a platform fills in may be one; a host that refused to start for it
/// would be missing for nothing.
pub(super) fn fraction(value: &Value<'_>, min: f64, max: f64) -> Result<f64, String> {
    value
        .as_number_lit()
        .and_then(|number| number.value.parse().ok())
        .filter(|number| (min..=max).contains(number))
        .ok_or_else(|| format!("is no number from {min} to {max}; write one"))
}

/// Reads true or false.
pub(super) fn flag(value: &Value<'_>) -> Result<bool, String> {
    match value {
        Value::BooleanLit(literal) => Ok(literal.value),
        _ => Err("is neither true nor false; write one of them without quotes".to_owned()),
    }
}

/// Turns a part of the settings into plain JSON, for what has a format of its own.
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
