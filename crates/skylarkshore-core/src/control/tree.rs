//! From whom each process of a data centre hears what one of them has read, and whom it tells.
//!
//! The members of a data centre form a tree, the largest ones first. Each has as
//! many children as its capacity allows, so that what one process sends doesn't
//! grow with the fleet, and news takes as many steps as the tree is deep. All who
//! know the same members work out the same tree.

use super::hashing::ranking_by_capacity;
use crate::cx::Cx;
use crate::id::{DataCentre, HostId};
use crate::store::MemberRecord;
use crate::units::Capacity;

/// The capacity that a member needs for each child, in thousandths of a core.
const CAPACITY_PER_CHILD: u32 = 30;
/// The fewest children of a member, so that the tree stays shallow where capacities aren't told.
const FEWEST_CHILDREN: usize = 2;
/// The most children of a member.
const MOST_CHILDREN: usize = 16;

/// A process's place among the members of its data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Tree {
    /// Whether the process stands at the top, which reads for all.
    pub(super) is_root: bool,
    pub(super) parent: Option<HostId>,
    pub(super) children: Vec<HostId>,
}

impl Tree {
    /// Works out the place of this process.
    pub(super) fn of(cx: &Cx<'_>) -> Self {
        let order = order(cx, &cx.cfg.data_centre);
        let Some(own) = order.iter().position(|(host, _)| **host == cx.cfg.host) else {
            return Self::default();
        };
        let mut tree = Self { is_root: own == 0, ..Self::default() };
        let mut next = 1;
        for (place, (host, member)) in order.iter().enumerate() {
            let end = (next + fan_out(member)).min(order.len());
            let children = next.min(end)..end;
            if children.contains(&own) {
                tree.parent = Some((*host).clone());
            }
            if place == own {
                tree.children = order[children].iter().map(|(host, _)| (*host).clone()).collect();
                break;
            }
            next = end;
        }
        tree
    }
}

/// Returns the first member of each data centre.
pub(super) fn roots(cx: &Cx<'_>) -> Vec<HostId> {
    let mut data_centres: Vec<&DataCentre> =
        cx.cache.members().map(|(_, member)| &member.data_centre).collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    data_centres.into_iter().filter_map(|near| Some(order(cx, near).first()?.0.clone())).collect()
}

/// Returns the members of a data centre in the order of the tree; those that leave come last.
fn order<'a>(cx: &Cx<'a>, data_centre: &DataCentre) -> Vec<(&'a HostId, &'a MemberRecord)> {
    let near = || cx.cache.members().filter(|(_, member)| member.data_centre == *data_centre);
    let staying = near().filter(|(_, member)| !member.leaving);
    let ranked = ranking_by_capacity(&format!("news/{data_centre}"), staying);
    let staying = ranked.into_iter().filter_map(|host| Some((host, cx.cache.member(host)?)));
    staying.chain(near().filter(|(_, member)| member.leaving)).collect()
}

fn fan_out(member: &MemberRecord) -> usize {
    if member.leaving {
        return 0;
    }
    let Capacity(mcores) = member.capacity;
    let children = usize::try_from(mcores / CAPACITY_PER_CHILD).unwrap_or(MOST_CHILDREN);
    children.clamp(FEWEST_CHILDREN, MOST_CHILDREN)
}
