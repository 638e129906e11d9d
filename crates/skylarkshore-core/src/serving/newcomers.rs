//! Members that haven't been told yet what others know.

use crate::collections::OrderedMap;
use crate::cx::Cx;
use crate::id::{HostId, Incarnation};

/// The processes that have been told something.
#[derive(Debug, Default)]
pub(super) struct Told(OrderedMap<HostId, Incarnation>);

impl Told {
    /// Creates the state after all present members were told.
    pub(super) fn all(cx: &Cx<'_>) -> Self {
        Self(cx.cache.members().map(|(host, member)| (host.clone(), member.incarnation)).collect())
    }

    /// Returns the members that have joined or started again since the last call, which are to be told.
    pub(super) fn take_newcomers(&mut self, cx: &Cx<'_>) -> Vec<HostId> {
        let members = cx.cache.members().map(|(host, member)| (host.clone(), member.incarnation));
        let is_new = |(host, incarnation): &(HostId, Incarnation)| self.0.get(host) != Some(incarnation);
        let new: Vec<(HostId, Incarnation)> = members.filter(is_new).collect();
        self.0.extend(new.iter().cloned());
        new.into_iter().map(|(host, _)| host).collect()
    }
}
