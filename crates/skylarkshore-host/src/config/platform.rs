//! The settings of the platform on which the host runs.

use std::time::Duration;

use super::section::{Report, Section, boolean, text, texts};
use super::{EtcdSettings, PlatformSettings, RegistrySettings, address, timings};
use jsonc_parser::ast::Value;

/// The default of [`RegistrySettings::leaving_notice`].
const LEAVING_NOTICE: Duration = Duration::from_secs(2);
const MIN_LEASE: Duration = Duration::from_secs(1);

/// Reads the section `registry` if it is present, otherwise those of the product's own platform.
pub(super) fn read(root: &mut Section<'_>, report: &mut Report<'_>) -> Option<PlatformSettings> {
    let registry = root.present_section(report, "registry");
    match registry {
        Some(section) => read_registry(section, report).map(PlatformSettings::Registry),
        None => read_etcd(root, report).map(PlatformSettings::Etcd),
    }
}

fn read_etcd(root: &mut Section<'_>, report: &mut Report<'_>) -> Option<EtcdSettings> {
    let mut store = root.required_section(report, "store");
    let endpoints = store.required(report, "endpoints", "[\"http://10.0.0.9:2379\"]", texts);
    store.finish(report);
    let mut hosts = root.required_section(report, "hosts");
    let url = hosts.required(report, "url", "\"http://10.0.0.9:4100/hosts\"", text);
    hosts.finish(report);
    Some(EtcdSettings { store_endpoints: endpoints?, hosts_url: url? })
}

fn read_registry(mut section: Section<'_>, report: &mut Report<'_>) -> Option<RegistrySettings> {
    let store = section.required(report, "address", "\"10.0.0.9:8142\"", address);
    let directory = section.required(report, "directory_address", "\"10.0.0.1:8143\"", address);
    let readiness = section.required(report, "readiness_address", "\"10.0.0.1:8141\"", address);
    let checks_fences = section.optional(report, "checks_fences", false, boolean);
    let leaving_notice =
        section.optional(report, "leaving_notice_ms", LEAVING_NOTICE, timings::millis(100, 600_000));
    let least_lease = section.optional(report, "least_lease_ms", MIN_LEASE, timings::millis(1, 600_000));
    let limit = |value: &Value<'_>| timings::millis(100, 600_000)(value).map(Some);
    let configuration_limit = section.optional(report, "configuration_limit_ms", None, limit);
    section.finish(report);
    Some(RegistrySettings {
        address: store?,
        directory_address: directory?,
        readiness_address: readiness?,
        checks_fences,
        leaving_notice,
        least_lease,
        configuration_limit,
    })
}
