//! Which hosts a caller is told of that asks for a few.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::driver::Member;

/// From how many hosts in the caller's data centre on it is told of these alone.
///
/// Requests that cross data centres cost the operators. With fewer hosts than
/// that, the loss of some would leave the caller none to go to until it asks again.
const ENOUGH_NEAR: usize = 8;

/// Chooses at most `most` of the hosts that stay, for a caller in a data centre.
///
/// Where there are more than that, each answer names others. Were they always
/// the same, the rest would get no requests at all.
pub fn choose(
    members: &[Member],
    data_centre: Option<&str>,
    most: usize,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    let staying: Vec<&Member> = members.iter().filter(|member| !member.leaving).collect();
    let is_near = |member: &&Member| Some(member.data_centre.as_str()) == data_centre;
    let near: Vec<&Member> = staying.iter().copied().filter(is_near).collect();
    let chosen = if near.len() >= ENOUGH_NEAR { near } else { staying };
    chosen.choose_multiple(rng, most).map(|member| member.caller_address).collect()
}
