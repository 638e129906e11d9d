//! Explains which rule applies to a model. Start with [`explain`].

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error, From};
use skylarkshore_core::catalogue::Document;
use skylarkshore_core::id::{CallerId, DataCentre, InvalidName};
use skylarkshore_core::rules::{InvalidPercent, Percent, RuleInput};
use skylarkshore_wire::operator::{Explanation, FactsWire, TriedRule};
use skylarkshore_wire::percent::{self, InvalidEncoding};

use crate::clock::time_of_day;

/// Why a query is invalid.
#[derive(Debug, Display, Error, From)]
pub(super) enum InvalidQuery {
    /// The model is missing.
    #[display("name a model or an adapter, as in /debug/explain?model=NAME")]
    NoModel,
    /// The model isn't in the document.
    #[display("there is no model or adapter '{name}'; see /debug/rules for those there are")]
    #[from(skip)]
    UnknownModel {
        /// The name.
        name: String,
    },
    /// The caller's name is invalid.
    #[display("{_0}")]
    Caller(InvalidName),
    /// A percentage is invalid.
    #[display("{_0}")]
    Percent(InvalidPercent),
    /// A number is invalid.
    #[display("'{name}' is no whole number; write one, or leave it out")]
    #[from(skip)]
    Number {
        /// The name of the parameter.
        name: &'static str,
    },
    /// The query can't be decoded.
    #[display("{_0}")]
    Encoding(InvalidEncoding),
}

/// A parsed query.
///
/// Absent values are unknown, and conditions on them don't hold.
struct ParsedQuery {
    model: String,
    caller: Option<CallerId>,
    power_pressure: Option<Percent>,
    memory_pressure: Option<Percent>,
    idle_for: Option<Duration>,
    queue: Option<u32>,
}

impl ParsedQuery {
    /// Parses a query of the form `model=NAME&caller=NAME&queue=3`.
    fn parse(query: &str) -> Result<Self, InvalidQuery> {
        let percent = |name| -> Result<Option<Percent>, InvalidQuery> {
            let value: Option<u64> = number(query, name)?;
            Ok(value.map(Percent::try_from).transpose()?)
        };
        Ok(Self {
            model: parameter(query, "model")?.ok_or(InvalidQuery::NoModel)?,
            caller: parameter(query, "caller")?.map(|name| name.parse()).transpose()?,
            power_pressure: percent("power_pressure")?,
            memory_pressure: percent("memory_pressure")?,
            idle_for: number(query, "idle_for_s")?.map(Duration::from_secs),
            queue: number(query, "queue")?,
        })
    }
}

/// Evaluates the rules for a query.
pub(super) fn explain(
    document: &Document,
    data_centre: &DataCentre,
    query: &str,
) -> Result<Explanation, InvalidQuery> {
    let parsed = ParsedQuery::parse(query)?;
    let target = document.catalogue.resolve(&parsed.model);
    let target = target.ok_or_else(|| InvalidQuery::UnknownModel { name: parsed.model.clone() })?;
    let at = time_of_day();
    let input = RuleInput {
        model: Some(&target.model),
        adapter: target.adapter.as_ref(),
        caller: parsed.caller.as_ref(),
        service: None,
        data_centre: Some(data_centre),
        at: Some(at),
        power_pressure: parsed.power_pressure,
        memory_pressure: parsed.memory_pressure,
        idle_for: parsed.idle_for,
        queue: parsed.queue,
    };
    let decision = document.rules.decide(&input);
    let list = &document.rules.list;
    let tried = list.iter().map(|rule| TriedRule { name: rule.name.clone(), holds: rule.when.holds(&input) });
    let match_index =
        decision.rule.and_then(|rule| list.iter().position(|candidate| std::ptr::eq(candidate, rule)));
    Ok(Explanation {
        model: target.model.to_string(),
        adapter: target.adapter.as_ref().map(ToString::to_string),
        document_revision: document.revision,
        facts: FactsWire {
            data_centre: data_centre.to_string(),
            at: at.to_string(),
            caller: parsed.caller.as_ref().map(ToString::to_string),
            power_pressure: parsed.power_pressure.map(Percent::get),
            memory_pressure: parsed.memory_pressure.map(Percent::get),
            idle_for_s: parsed.idle_for.map(|d| d.as_secs()),
            queue: parsed.queue,
        },
        tried: tried.take(match_index.map_or(list.len(), |i| i + 1)).collect(),
        matched: decision.rule.map(Into::into),
        outcome: decision.outcome.into(),
    })
}

fn parameter(query: &str, name: &str) -> Result<Option<String>, InvalidQuery> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| percent::decode(value));
    Ok(value.transpose()?)
}

fn number<T: FromStr>(query: &str, name: &'static str) -> Result<Option<T>, InvalidQuery> {
    let Some(text) = parameter(query, name)? else { return Ok(None) };
    text.parse().map(Some).map_err(|_invalid| InvalidQuery::Number { name })
}
