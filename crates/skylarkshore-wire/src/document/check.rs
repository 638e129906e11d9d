//! Checks a document before it is applied; start with [`check`].

use derive_more::Display;
use skylarkshore_core::catalogue::{Catalogue, Document};
use skylarkshore_core::id::{AdapterName, ModelName};
use skylarkshore_core::rules::Rule;

/// Whether a finding prevents the document from being applied.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Severity {
    /// The document can't be applied.
    #[display("error")]
    Error,
    /// The document can be applied, but probably doesn't do what was intended.
    #[display("warning")]
    Warning,
}

/// A problem in a document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{severity}: {location}: {problem}; {remedy}")]
pub struct Finding {
    /// Whether it prevents the document from being applied.
    pub severity: Severity,
    /// Path of the value, or the rule's name.
    pub location: String,
    /// Description of the problem.
    pub problem: String,
    /// How to correct it.
    pub remedy: &'static str,
}

impl Finding {
    fn error(location: &str, problem: String, remedy: &'static str) -> Self {
        Self { severity: Severity::Error, location: location.to_owned(), problem, remedy }
    }

    fn warning(location: &str, problem: String, remedy: &'static str) -> Self {
        Self { severity: Severity::Warning, location: location.to_owned(), problem, remedy }
    }
}

/// Returns all problems of a document.
pub fn check(document: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_adapter_names(&document.catalogue, &mut findings);
    if document.power_caps.is_empty() {
        let problem = "no site has a power cap".to_owned();
        findings.push(Finding::error("power_caps", problem, "name each site with its watts"));
    }
    for (i, rule) in document.rules.list.iter().enumerate() {
        check_rule(&document.catalogue, rule, &mut findings);
        check_power_pressure(rule, &mut findings);
        check_reachability(&document.rules.list[..i], rule, &mut findings);
    }
    findings
}

fn check_adapter_names(catalogue: &Catalogue, findings: &mut Vec<Finding>) {
    let adapters: Vec<(&ModelName, &AdapterName)> = catalogue
        .models
        .iter()
        .flat_map(|(model, spec)| spec.adapters.keys().map(move |adapter| (model, adapter)))
        .collect();
    for (i, (model, adapter)) in adapters.iter().enumerate() {
        let location = format!("models.{model}.adapters.{adapter}");
        if catalogue.models.keys().any(|name| name.as_str() == adapter.as_str()) {
            let problem = "a model has the same name".to_owned();
            findings.push(Finding::error(&location, problem, "choose another name for the adapter"));
        }
        if let Some((other, _)) = adapters[..i].iter().find(|(_, earlier)| earlier == adapter) {
            let problem = format!("the model {other} has an adapter of the same name");
            findings.push(Finding::error(&location, problem, "choose another name for one of them"));
        }
    }
}

fn check_rule(catalogue: &Catalogue, rule: &Rule, findings: &mut Vec<Finding>) {
    let location = format!("rule '{}'", rule.name);
    for model in rule.when.models.iter().flatten() {
        if !catalogue.models.contains_key(model) {
            let problem = format!("there is no model '{model}'");
            findings.push(Finding::error(
                &location,
                problem,
                "correct the name or add the model under models",
            ));
        }
    }
    for adapter in rule.when.adapters.iter().flatten() {
        if !catalogue.models.values().any(|model| model.adapters.contains_key(adapter)) {
            let problem = format!("there is no adapter '{adapter}'");
            findings.push(Finding::error(
                &location,
                problem,
                "correct the name or add the adapter to its model",
            ));
        }
    }
    for service in rule.when.services.iter().flatten() {
        if !catalogue.services.contains_key(service) {
            let problem = format!("there is no service '{service}'");
            findings.push(Finding::error(
                &location,
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
        findings.push(Finding::error(&location, problem, "raise replicas_max or lower replicas_min"));
    }
}

/// Warns about a condition that no process can evaluate yet.
///
/// Power is granted ahead of need, so the granted share doesn't show the power
/// in use, and processes aren't informed of the power drawn elsewhere.
fn check_power_pressure(rule: &Rule, findings: &mut Vec<Finding>) {
    if rule.when.power_pressure.is_none() {
        return;
    }
    let location = format!("rule '{}'", rule.name);
    let problem = "power_pressure isn't measured yet, so the rule never matches".to_owned();
    findings.push(Finding::warning(&location, problem, "use queue_at_least, or order and refuse without it"));
}

fn check_reachability(earlier: &[Rule], rule: &Rule, findings: &mut Vec<Finding>) {
    let location = format!("rule '{}'", rule.name);
    if rule.when.is_unsatisfiable() {
        let problem = "it can never match, since nothing fulfils all of its conditions".to_owned();
        findings.push(Finding::warning(&location, problem, "remove a condition or the rule"));
        return;
    }
    if let Some(other) = earlier.iter().find(|other| other.when.covers(&rule.when)) {
        let problem = format!("it can never match, since '{}' matches first wherever it would", other.name);
        findings.push(Finding::warning(&location, problem, "move it up or remove it"));
    }
}
