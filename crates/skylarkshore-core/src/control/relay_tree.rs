//! The tree along which the processes of a data centre forward news.
//!
//! Members are ordered by capacity, the largest first, and each has as many children as
//! its capacity allows. The load of one process does not grow with the cluster, and
//! news takes as many hops as the tree is deep. All processes that know the same
//! members compute the same tree. Start reading at [`RelayTree`].

use super::hashing::ranking_by_capacity;
use crate::cx::Cx;
use crate::id::{DataCentre, HostId};
use crate::store::MemberRecord;
use crate::units::Capacity;

/// Capacity required for each child, in thousandths of a core.
const MCORES_PER_CHILD: u32 = 30;
/// Keeps the tree shallow if capacities are unknown.
const MIN_CHILDREN: usize = 2;
const MAX_CHILDREN: usize = 16;

/// The position of a process in the tree of its data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RelayTree {
    /// Whether the process is the root, which reads the key-value service for all others.
    pub(super) is_root: bool,
    pub(super) parent: Option<HostId>,
    pub(super) children: Vec<HostId>,
}

impl RelayTree {
    /// Returns the position of this process.
    pub(super) fn of(cx: &Cx<'_>) -> Self {
        let tree_order = tree_order(cx, &cx.cfg.data_centre);
        let Some(own) = tree_order.iter().position(|(host, _)| **host == cx.cfg.host) else {
            return Self::default();
        };
        let mut tree = Self { is_root: own == 0, ..Self::default() };
        let mut next = 1;
        for (index, (host, member)) in tree_order.iter().enumerate() {
            let end = (next + children_of(member)).min(tree_order.len());
            let children = next.min(end)..end;
            if children.contains(&own) {
                tree.parent = Some((*host).clone());
            }
            if index == own {
                tree.children = tree_order[children].iter().map(|(host, _)| (*host).clone()).collect();
                break;
            }
            next = end;
        }
        tree
    }
}

/// Returns the root of each data centre's tree.
pub(super) fn roots(cx: &Cx<'_>) -> Vec<HostId> {
    let mut data_centres: Vec<&DataCentre> =
        cx.cache.members().map(|(_, member)| &member.data_centre).collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    data_centres.into_iter().filter_map(|in_data_centre| root_of(cx, in_data_centre)).collect()
}

/// Returns the root of a data centre's tree.
pub(super) fn root_of(cx: &Cx<'_>, data_centre: &DataCentre) -> Option<HostId> {
    tree_order(cx, data_centre).first().map(|(host, _)| (*host).clone())
}

/// Returns the members of a data centre in breadth-first order of the tree, leaving members last.
fn tree_order<'a>(cx: &Cx<'a>, data_centre: &DataCentre) -> Vec<(&'a HostId, &'a MemberRecord)> {
    let in_data_centre = || cx.cache.members().filter(|(_, member)| member.data_centre == *data_centre);
    let staying = in_data_centre().filter(|(_, member)| !member.leaving);
    let ranked = ranking_by_capacity(&format!("news/{data_centre}"), staying);
    let staying = ranked.into_iter().filter_map(|host| Some((host, cx.cache.member(host)?)));
    staying.chain(in_data_centre().filter(|(_, member)| member.leaving)).collect()
}

fn children_of(member: &MemberRecord) -> usize {
    if member.leaving { 0 } else { fan_out(member.capacity) }
}

/// Returns how many others a host of this capacity serves at once.
pub(super) fn fan_out(capacity: Capacity) -> usize {
    let Capacity(mcores) = capacity;
    let children = usize::try_from(mcores / MCORES_PER_CHILD).unwrap_or(MAX_CHILDREN);
    children.clamp(MIN_CHILDREN, MAX_CHILDREN)
}
