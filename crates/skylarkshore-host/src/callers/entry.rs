//! Which hosts callers may use, and which models there are.

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

/// Counts the answers, so that each one begins with another host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rotation(Arc<AtomicUsize>);

impl Rotation {
    fn next(&self) -> usize {
        self.0.fetch_add(1, Ordering::Relaxed)
    }
}

/// Names the hosts to use: those of the asked one's data centre first, spread over them.
pub(super) fn hosts(
    snapshot: &Snapshot,
    data_centre: &DataCentre,
    entry_ttl: Duration,
    rotation: &Rotation,
) -> WebResponse {
    let staying = snapshot.members.iter().filter(|member| !member.leaving);
    let (near, far): (Vec<&Member>, Vec<&Member>) =
        staying.partition(|member| member.data_centre == *data_centre);
    let turn = rotation.next();
    let hosts = rotated(near, turn)
        .into_iter()
        .chain(rotated(far, turn))
        .map(|member| EntryHost { address: member.caller_address, data_centre: member.data_centre.clone() });
    let max_age_s = entry_ttl.as_secs();
    let answer = EntryAnswer { hosts: hosts.collect(), max_age_s };
    let mut res = server::json(StatusCode::OK, &answer);
    if let Ok(value) = HeaderValue::try_from(format!("max-age={max_age_s}")) {
        res.headers_mut().insert(CACHE_CONTROL, value);
    }
    res
}

fn rotated(mut members: Vec<&Member>, turn: usize) -> Vec<&Member> {
    if !members.is_empty() {
        let by = turn % members.len();
        members.rotate_left(by);
    }
    members
}

/// Names the models and adapters.
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
