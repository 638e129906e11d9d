//! Selects the entry hosts to list for a caller. Start with [`choose`].

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::driver::Member;

/// The number of hosts in the caller's data centre from which only these are listed.
///
/// Requests across data centres cost the operators. With fewer hosts, the loss
/// of some could leave the caller without any until it requests a new list.
const MIN_LOCAL_HOSTS: usize = 8;

/// Chooses at most `max` hosts for a caller; hosts that are shutting down are excluded.
///
/// The choice is random, since hosts that are never listed would receive no
/// requests.
pub fn choose(
    members: &[Member],
    data_centre: Option<&str>,
    max: usize,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    let active: Vec<&Member> = members.iter().filter(|member| !member.leaving).collect();
    let is_local = |member: &&Member| Some(member.data_centre.as_str()) == data_centre;
    let local: Vec<&Member> = active.iter().copied().filter(is_local).collect();
    let chosen = if local.len() >= MIN_LOCAL_HOSTS { local } else { active };
    chosen.choose_multiple(rng, max).map(|member| member.caller_address).collect()
}
