//! Activation of the operators' documents: the rules and the catalogue in the cache.

use std::sync::Arc;

use super::Node;
use crate::effect::Effect;
use crate::store::{Key, Record};
use crate::time::Time;

impl Node {
    /// Activates the cached document and catalogue if the operators' revision in them is higher than the
    /// active one's.
    ///
    /// Besides its operators' revision, a document has the revision of its key at
    /// the key-value service. A service that was restored from a backup or is stale
    /// can return an older document under a newer store revision. Comparing the
    /// operators' revision keeps withdrawn rules from taking effect again.
    ///
    /// A catalogue under its own key replaces the one in the document.
    pub(super) fn activate_newer_document(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let (rules, catalogue) = (self.document.revision, self.document.catalogue_revision);
        let mut document = Arc::clone(&self.document);
        if let Some(Record::Document(newer)) = self.record(&Key::Document)
            && newer.revision > document.revision
        {
            document = Arc::new(document.with_rules_of(newer));
        }
        if let Some(Record::Catalogue(newer)) = self.record(&Key::Catalogue)
            && newer.revision > document.catalogue_revision
        {
            document = Arc::new(document.with_catalogue(newer));
        }
        if Arc::ptr_eq(&self.document, &document) {
            return self.log_ignored_document(now, effects);
        }
        self.document = document;
        self.with_cx(now, effects, |cx, _| {
            let detail = format!(
                "catalogue {catalogue} -> {}, rules {rules} -> {}",
                cx.document.catalogue_revision, cx.document.revision
            );
            cx.log_event("document_activated", cx.document.catalogue_revision, detail);
        });
    }

    /// Logs cached rules and a cached catalogue that are older than the active ones.
    fn log_ignored_document(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let rules = match self.record(&Key::Document) {
            Some(Record::Document(cached)) if cached.revision < self.document.revision => {
                Some(cached.revision.to_string())
            }
            _ => None,
        };
        let catalogue = match self.record(&Key::Catalogue) {
            Some(Record::Catalogue(cached)) if cached.revision < self.document.catalogue_revision => {
                Some(cached.revision.to_string())
            }
            _ => None,
        };
        if rules.is_none() && catalogue.is_none() {
            return;
        }
        self.with_cx(now, effects, |cx, _| {
            let older = |revision: Option<String>| revision.unwrap_or_else(|| "none".to_owned());
            let detail = format!("older catalogue={} older rules={}", older(catalogue), older(rules));
            cx.log_event("document_ignored", cx.document.catalogue_revision, detail);
        });
    }

    fn record(&self, key: &Key) -> Option<&Record> {
        self.cache.get(key)?.record.as_ref()
    }
}
