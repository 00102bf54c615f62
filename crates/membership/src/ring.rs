use postbarrow_constants::nodes::{RELAY_CHILDREN, RING_WATCHERS};

/// A node's place on the ring: its incarnation, mixed so that neighbours by birth part.
pub fn ring_position(incarnation: u64) -> u64 {
    let mut mixed = incarnation.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn ring(nodes: &[u64]) -> Vec<u64> {
    let mut ring = nodes.to_vec();
    ring.sort_unstable_by_key(|incarnation| ring_position(*incarnation));
    ring.dedup();
    ring
}

fn neighbours(own: u64, nodes: &[u64], forward: bool) -> Vec<u64> {
    let ring = ring(nodes);
    let Some(at) = ring.iter().position(|one| *one == own) else { return Vec::new() };
    let count = ring.len();
    (1..count.min(RING_WATCHERS + 1))
        .map(
            |step| {
                if forward { ring[(at + step) % count] } else { ring[(at + count - step) % count] }
            },
        )
        .collect()
}

/// The next few on the ring, who hear this node's heartbeats.
pub fn watchers(own: u64, nodes: &[u64]) -> Vec<u64> {
    neighbours(own, nodes, true)
}

/// The few before, whose heartbeats this node hears.
pub fn watched(own: u64, nodes: &[u64]) -> Vec<u64> {
    neighbours(own, nodes, false)
}

/// This node's parent in the relay tree; None means the controller itself.
pub fn parent(own: u64, nodes: &[u64]) -> Option<u64> {
    let ring = ring(nodes);
    let at = ring.iter().position(|one| *one == own)?;
    if at < RELAY_CHILDREN { None } else { Some(ring[at / RELAY_CHILDREN - 1]) }
}

#[cfg(test)]
mod tests;
