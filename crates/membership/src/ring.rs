//! The ring of data nodes, ordered by `ring_position`, and the relay tree whose levels follow that
//! order.

use postbarrow_constants::nodes::{RELAY_CHILDREN, RING_WATCHERS};

/// Returns a node's position on the ring: a hash of its incarnation (the finalizer of SplitMix64),
/// so that nodes that were started together are spread over the ring.
pub fn ring_position(incarnation: u64) -> u64 {
    let mut hash = incarnation.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the nodes in the order of the ring, without duplicates.
fn sorted_ring(nodes: &[u64]) -> Vec<u64> {
    let mut ring = nodes.to_vec();
    ring.sort_unstable_by_key(|incarnation| ring_position(*incarnation));
    ring.dedup();
    ring
}

enum Direction {
    Forward,
    Backward,
}

/// Returns up to `RING_WATCHERS` nodes next to this one in one direction, nearest first; none if
/// `nodes` doesn't contain this node.
fn neighbours(own: u64, nodes: &[u64], direction: Direction) -> Vec<u64> {
    let ring = sorted_ring(nodes);
    let Some(position) = ring.iter().position(|node| *node == own) else { return Vec::new() };
    let count = ring.len();
    let neighbour = |step| match direction {
        Direction::Forward => ring[(position + step) % count],
        Direction::Backward => ring[(position + count - step) % count],
    };
    (1..count.min(RING_WATCHERS + 1)).map(neighbour).collect()
}

/// Returns the nodes to which this node sends heartbeats: the next ones on the ring.
pub fn watchers(own: u64, nodes: &[u64]) -> Vec<u64> {
    neighbours(own, nodes, Direction::Forward)
}

/// Returns the nodes from which this node expects heartbeats: the previous ones on the ring.
pub fn watched(own: u64, nodes: &[u64]) -> Vec<u64> {
    neighbours(own, nodes, Direction::Backward)
}

/// Returns this node's parent in the relay tree; `None` if its parent is the controller, or if
/// `nodes` doesn't contain this node.
pub fn parent(own: u64, nodes: &[u64]) -> Option<u64> {
    let ring = sorted_ring(nodes);
    let position = ring.iter().position(|node| *node == own)?;
    if position < RELAY_CHILDREN { None } else { Some(ring[position / RELAY_CHILDREN - 1]) }
}

#[cfg(test)]
mod tests;
