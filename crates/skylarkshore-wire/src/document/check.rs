//! What an operator ought to know of a document before it is applied.

use derive_more::Display;
use skylarkshore_core::catalogue::{Catalogue, Document};
use skylarkshore_core::id::{AdapterName, ModelName};
use skylarkshore_core::rules::Rule;

/// Whether a finding stands in the way.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Severity {
    /// The document can't be applied.
    #[display("error")]
    Error,
    /// It can be applied, but hardly means what was intended.
    #[display("warning")]
    Warning,
}

/// Something wrong with a document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{severity}: {place}: {problem}; {remedy}")]
pub struct Finding {
    /// Whether it stands in the way.
    pub severity: Severity,
    /// Where it is.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: &'static str,
}

impl Finding {
    fn error(place: &str, problem: String, remedy: &'static str) -> Self {
        Self { severity: Severity::Error, place: place.to_owned(), problem, remedy }
    }

    fn warning(place: &str, problem: String, remedy: &'static str) -> Self {
        Self { severity: Severity::Warning, place: place.to_owned(), problem, remedy }
    }
}

/// Finds everything that is wrong with a document.
pub fn check(document: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_names(&document.catalogue, &mut findings);
    if document.power_caps.is_empty() {
        let problem = "no site has a power cap".to_owned();
        findings.push(Finding::error("power_caps", problem, "name each site with its watts"));
    }
    for (i, rule) in document.rules.list.iter().enumerate() {
        check_rule(&document.catalogue, rule, &mut findings);
        check_power_pressure(rule, &mut findings);
        check_reach(&document.rules.list[..i], rule, &mut findings);
    }
    findings
}

fn check_names(catalogue: &Catalogue, findings: &mut Vec<Finding>) {
    let bases: Vec<(&ModelName, &AdapterName)> = catalogue
        .models
        .iter()
        .flat_map(|(model, spec)| spec.adapters.keys().map(move |adapter| (model, adapter)))
        .collect();
    for (i, (model, adapter)) in bases.iter().enumerate() {
        let place = format!("models.{model}.adapters.{adapter}");
        if catalogue.models.keys().any(|name| name.as_str() == adapter.as_str()) {
            let problem = "a model has the same name".to_owned();
            findings.push(Finding::error(&place, problem, "choose another name for the adapter"));
        }
        if let Some((other, _)) = bases[..i].iter().find(|(_, earlier)| earlier == adapter) {
            let problem = format!("the model {other} has an adapter of the same name");
            findings.push(Finding::error(&place, problem, "choose another name for one of them"));
        }
    }
}

fn check_rule(catalogue: &Catalogue, rule: &Rule, findings: &mut Vec<Finding>) {
    let place = format!("rule '{}'", rule.name);
    for model in rule.when.models.iter().flatten() {
        if !catalogue.models.contains_key(model) {
            let problem = format!("there is no model '{model}'");
            findings.push(Finding::error(&place, problem, "correct the name or add the model under models"));
        }
    }
    for adapter in rule.when.adapters.iter().flatten() {
        if !catalogue.models.values().any(|model| model.adapters.contains_key(adapter)) {
            let problem = format!("there is no adapter '{adapter}'");
            findings.push(Finding::error(
                &place,
                problem,
                "correct the name or add the adapter to its model",
            ));
        }
    }
    for service in rule.when.services.iter().flatten() {
        if !catalogue.services.contains_key(service) {
            let problem = format!("there is no service '{service}'");
            findings.push(Finding::error(
                &place,
                problem,
                "correct the name or add the service under services",
            ));
        }
    }
    if rule.then.replicas_min > rule.then.replicas_max {
        let problem = format!(
            "replicas_min {} is above replicas_max {}",
            rule.then.replicas_min, rule.then.replicas_max
        );
        findings.push(Finding::error(&place, problem, "raise replicas_max or lower replicas_min"));
    }
}

/// Tells of a condition that no process can answer yet.
///
/// Grants are taken ahead of need, so the share that is granted says little of
/// the power in use, and nothing tells every process what the others draw.
fn check_power_pressure(rule: &Rule, findings: &mut Vec<Finding>) {
    if rule.when.power_pressure.is_none() {
        return;
    }
    let place = format!("rule '{}'", rule.name);
    let problem = "power_pressure isn't measured yet, so the rule never matches".to_owned();
    findings.push(Finding::warning(&place, problem, "use queue_at_least, or order and refuse without it"));
}

fn check_reach(earlier: &[Rule], rule: &Rule, findings: &mut Vec<Finding>) {
    let place = format!("rule '{}'", rule.name);
    if rule.when.is_unsatisfiable() {
        let problem = "it can never match, since nothing fulfils all of its conditions".to_owned();
        findings.push(Finding::warning(&place, problem, "remove a condition or the rule"));
        return;
    }
    if let Some(other) = earlier.iter().find(|other| other.when.covers(&rule.when)) {
        let problem = format!("it can never match, since '{}' matches first wherever it would", other.name);
        findings.push(Finding::warning(&place, problem, "move it up or remove it"));
    }
}
