//! The ring of data nodes, and the relay tree that is laid over it.

use postbarrow_constants::nodes::{RELAY_CHILDREN, RING_WATCHERS};

/// A node's position on the ring: a mix of its incarnation's bits (the finalizer of SplitMix64), so
/// that nodes started together are far apart.
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

enum Direction {
    Forward,
    Backward,
}

/// The nearest nodes in one direction, nearest first.
fn neighbours(own: u64, nodes: &[u64], direction: Direction) -> Vec<u64> {
    let ring = ring(nodes);
    let Some(position) = ring.iter().position(|node| *node == own) else { return Vec::new() };
    let count = ring.len();
    let neighbour = |step| match direction {
        Direction::Forward => ring[(position + step) % count],
        Direction::Backward => ring[(position + count - step) % count],
    };
    (1..count.min(RING_WATCHERS + 1)).map(neighbour).collect()
}

/// The nodes that get this node's heartbeats: the next ones on the ring.
pub fn watchers(own: u64, nodes: &[u64]) -> Vec<u64> {
    neighbours(own, nodes, Direction::Forward)
}

/// The nodes whose heartbeats this node expects: the ones before it on the ring.
pub fn watched(own: u64, nodes: &[u64]) -> Vec<u64> {
    neighbours(own, nodes, Direction::Backward)
}

/// This node's parent in the relay tree; None means the controller itself.
pub fn parent(own: u64, nodes: &[u64]) -> Option<u64> {
    let ring = ring(nodes);
    let position = ring.iter().position(|node| *node == own)?;
    if position < RELAY_CHILDREN { None } else { Some(ring[position / RELAY_CHILDREN - 1]) }
}

#[cfg(test)]
mod tests;
