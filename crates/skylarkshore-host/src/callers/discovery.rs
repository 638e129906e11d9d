//! Discovery: the lists of entry hosts and of models.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::header::CACHE_CONTROL;
use http::{HeaderValue, StatusCode};
use skylarkshore_core::id::DataCentre;
use skylarkshore_wire::caller::{EntryAnswer, EntryHost, ModelEntry, ModelsAnswer};
use xitca_web::http::WebResponse;

use crate::driver::{Member, Snapshot};
use crate::server;

/// Counts answers, so that each one starts with another host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rotation(Arc<AtomicUsize>);

impl Rotation {
    fn next(&self) -> usize {
        self.0.fetch_add(1, Ordering::Relaxed)
    }
}

/// Lists the hosts, those of this host's data centre first, each group rotated per answer.
pub(super) fn hosts(
    snapshot: &Snapshot,
    data_centre: &DataCentre,
    entry_ttl: Duration,
    rotation: &Rotation,
) -> WebResponse {
    let listed = snapshot.members.iter().filter(|member| !member.leaving);
    let (local, remote): (Vec<&Member>, Vec<&Member>) =
        listed.partition(|member| member.data_centre == *data_centre);
    let offset = rotation.next();
    let hosts = rotate(local, offset)
        .into_iter()
        .chain(rotate(remote, offset))
        .map(|member| EntryHost { address: member.caller_address, data_centre: member.data_centre.clone() });
    let max_age_s = entry_ttl.as_secs();
    let answer = EntryAnswer { hosts: hosts.collect(), max_age_s };
    let mut res = server::json(StatusCode::OK, &answer);
    if let Ok(value) = HeaderValue::try_from(format!("max-age={max_age_s}")) {
        res.headers_mut().insert(CACHE_CONTROL, value);
    }
    res
}

fn rotate(mut members: Vec<&Member>, offset: usize) -> Vec<&Member> {
    if !members.is_empty() {
        let count = offset % members.len();
        members.rotate_left(count);
    }
    members
}

/// Lists the models and adapters.
pub(super) fn models(snapshot: &Snapshot) -> WebResponse {
    let entry = |id: &str, parent: Option<&str>| ModelEntry {
        id: id.to_owned(),
        object: "model".to_owned(),
        parent: parent.map(str::to_owned),
    };
    let mut data = Vec::new();
    for (name, model) in &snapshot.document.catalogue.models {
        data.push(entry(name.as_str(), None));
        data.extend(model.adapters.keys().map(|adapter| entry(adapter.as_str(), Some(name.as_str()))));
    }
    server::json(StatusCode::OK, &ModelsAnswer { object: "list".to_owned(), data })
}
