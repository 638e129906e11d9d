//! State dump entries and metrics of the control plane.

use super::Control;
use crate::cx::Cx;
use crate::dump::{DumpEntry, Gauge};
use crate::id::{StoreRevision, UpstreamId};
use crate::store::Key;

/// Returns the entries on members, ownership, homes and power.
pub(super) fn dump_entries(control: &Control, cx: &Cx<'_>) -> Vec<DumpEntry> {
    let mut entries = vec![own_membership(control, cx), store_sync(control, cx)];
    entries.extend(start(control, cx));
    entries.extend(members(control, cx));
    entries.extend(owners(control, cx));
    entries.extend(homes(control, cx));
    entries.extend(power(control, cx));
    entries
}

/// Returns the gauges for the metrics.
pub(super) fn gauges(control: &Control, cx: &Cx<'_>) -> Vec<Gauge> {
    let counts = control.homes.counts();
    let mut gauges = vec![
        gauge("members", cx.cache.members().count()),
        gauge("owned_engines", control.ownership.owned_engines().len()),
        gauge("vacant_engines", control.ownership.vacant_count()),
        gauge("homes", counts.homes),
        gauge("homes_writes_pending", counts.pending),
        gauge("models_without_engine", counts.unplaceable),
        gauge("watching", usize::from(control.store_sync.watching_since().is_some())),
        gauge("superseded", usize::from(control.membership.is_superseded())),
        gauge("start_stage", usize::from(control.bootstrap.stage_number())),
        count("states_sent_total", control.state_provider.sent()),
        count("states_refused_total", control.state_provider.refused()),
    ];
    if let Some(duration) = control.bootstrap.duration(cx.now) {
        gauges.push(Gauge { name: "start_duration_seconds", value: duration.as_secs_f64() });
    }
    if let Some(confirmed_at) = control.membership.confirmed_at() {
        let value = cx.now.since(confirmed_at).as_secs_f64();
        gauges.push(Gauge { name: "lease_confirmed_age_seconds", value });
    }
    if let Some(complete_at) = control.store_sync.complete_at() {
        let value = cx.now.since(complete_at).as_secs_f64();
        gauges.push(Gauge { name: "configuration_age_seconds", value });
    }
    gauges
}

fn gauge(name: &'static str, value: usize) -> Gauge {
    Gauge { name, value: u32::try_from(value).map_or(f64::MAX, f64::from) }
}

#[expect(clippy::cast_precision_loss, reason = "metrics are floating-point numbers")]
const fn count(name: &'static str, count: u64) -> Gauge {
    Gauge { name, value: count as f64 }
}

fn own_membership(control: &Control, cx: &Cx<'_>) -> DumpEntry {
    let membership = &control.membership;
    let state = match (membership.is_superseded(), membership.registration_revision()) {
        (true, _) => "superseded by a later life".to_owned(),
        (false, Some(revision)) => format!("registered at revision {revision}"),
        (false, None) => "not registered".to_owned(),
    };
    DumpEntry { kind: "lease", subject: cx.cfg.host.to_string(), state, since: membership.confirmed_at() }
}

fn store_sync(control: &Control, cx: &Cx<'_>) -> DumpEntry {
    let since = control.store_sync.watching_since();
    let how = if since.is_some() { "watches" } else { "hears from peers" };
    let state = format!("{how}, complete up to revision {}", control.store_sync.frontier());
    DumpEntry { kind: "feed", subject: cx.cfg.host.to_string(), state, since }
}

/// Returns the entry on the start; none where a process doesn't go through its stages.
fn start(control: &Control, cx: &Cx<'_>) -> Option<DumpEntry> {
    let since = control.bootstrap.since()?;
    let state = control.bootstrap.stage_name().unwrap_or("synchronised").to_owned();
    Some(DumpEntry { kind: "start", subject: cx.cfg.host.to_string(), state, since: Some(since) })
}

fn members(control: &Control, cx: &Cx<'_>) -> Vec<DumpEntry> {
    let members = cx.cache.members();
    members
        .map(|(host, member)| {
            let role = if member.leaving { "leaving" } else { "live" };
            let state = format!(
                "{role}, incarnation {}, {}, callers {}",
                member.incarnation, member.data_centre, member.caller_address
            );
            let since = control.peers.last_heartbeat_at(host);
            DumpEntry { kind: "member", subject: host.to_string(), state, since }
        })
        .collect()
}

fn owners(control: &Control, cx: &Cx<'_>) -> Vec<DumpEntry> {
    let owners = cx.cache.owners();
    owners
        .map(|(engine, owner)| {
            let owned = control.ownership.owned_engines().get(engine);
            let vacant = control.ownership.vacant_since(engine);
            let role = match (owned, vacant) {
                (Some(owned), _) if owned.is_held() => "held here",
                (Some(_), _) => "being handed over",
                (None, Some(_)) => "owner gone",
                (None, None) => "owned",
            };
            let state =
                format!("{role}, by {} incarnation {}, fence {}", owner.host, owner.incarnation, owner.fence);
            let since = owned.map(|owned| owned.since).or(vacant);
            DumpEntry { kind: "ownership", subject: engine.to_string(), state, since }
        })
        .collect()
}

fn homes(control: &Control, cx: &Cx<'_>) -> Vec<DumpEntry> {
    let known = cx.cache.all_homes().map(|(model, homes)| {
        let names: Vec<&str> = homes.engines.iter().map(UpstreamId::as_str).collect();
        DumpEntry {
            kind: "homes",
            subject: model.to_string(),
            state: names.join(" "),
            since: control.homes.since(model),
        }
    });
    let lacking_since = control.homes.lacking_since().iter().map(|(model, since)| DumpEntry {
        kind: "homes",
        subject: model.to_string(),
        state: "lacks a home".to_owned(),
        since: Some(*since),
    });
    known.chain(lacking_since).collect()
}

fn power(control: &Control, cx: &Cx<'_>) -> Vec<DumpEntry> {
    let mut entries = Vec::new();
    for (site, since) in control.power.sites() {
        let entry = cx.cache.get(&Key::Power(site.clone()));
        let revision = entry.map_or(StoreRevision(0), |entry| entry.revision);
        let granted: crate::units::Watts =
            cx.cache.power(site).map(|(_, record)| record.grants.values().copied().sum()).unwrap_or_default();
        let state = format!("{granted} granted at revision {revision}");
        entries.push(DumpEntry { kind: "power", subject: site.to_string(), state, since: Some(since) });
    }
    let revoked = control.power.revoked();
    entries.extend(revoked.map(|engine| DumpEntry {
        kind: "power",
        subject: engine.to_string(),
        state: "grant taken back, record not yet changed".to_owned(),
        since: None,
    }));
    entries
}
