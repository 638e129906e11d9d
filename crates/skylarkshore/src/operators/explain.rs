//! Tells which rule decides for a model, and why.

use derive_more::{Display, Error, From};
use skylarkshore_core::catalogue::Document;
use skylarkshore_core::id::{CallerId, DataCentre, InvalidName};
use skylarkshore_core::rules::Facts;
use skylarkshore_wire::operator::{Explanation, FactsWire, TriedRule};

use crate::clock::time_of_day;

/// Why a question can't be answered.
#[derive(Debug, Display, Error, From)]
pub(super) enum BadQuestion {
    /// It names no model.
    #[display("name a model or an adapter, as in /debug/explain?model=NAME")]
    NoModel,
    /// The model isn't in the document.
    #[display("there is no model or adapter '{name}'; see /debug/rules for those there are")]
    #[from(skip)]
    UnknownModel {
        /// The name.
        name: String,
    },
    /// The caller's name is none.
    #[display("{_0}")]
    Caller(InvalidName),
}

/// Answers a question of the form `model=NAME&caller=NAME`.
pub(super) fn explain(
    document: &Document,
    data_centre: &DataCentre,
    query: &str,
) -> Result<Explanation, BadQuestion> {
    let name = parameter(query, "model").ok_or(BadQuestion::NoModel)?;
    let caller: Option<CallerId> = parameter(query, "caller").map(str::parse).transpose()?;
    let target = document.catalogue.resolve(name);
    let target = target.ok_or_else(|| BadQuestion::UnknownModel { name: name.to_owned() })?;
    let at = time_of_day();
    let facts = Facts {
        model: Some(&target.model),
        adapter: target.adapter.as_ref(),
        caller: caller.as_ref(),
        data_centre: Some(data_centre),
        at: Some(at),
        ..Facts::default()
    };
    let decision = document.rules.decide(&facts);
    let list = &document.rules.list;
    let tried = list.iter().map(|rule| TriedRule { name: rule.name.clone(), holds: rule.when.holds(&facts) });
    let until = decision.rule.and_then(|rule| list.iter().position(|tried| std::ptr::eq(tried, rule)));
    Ok(Explanation {
        model: target.model.to_string(),
        adapter: target.adapter.as_ref().map(ToString::to_string),
        document_revision: document.revision,
        facts: FactsWire {
            data_centre: data_centre.to_string(),
            at: at.to_string(),
            caller: caller.as_ref().map(ToString::to_string),
        },
        tried: tried.take(until.map_or(list.len(), |i| i + 1)).collect(),
        matched: decision.rule.map(Into::into),
        outcome: decision.outcome.into(),
    })
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}
