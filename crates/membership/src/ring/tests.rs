//! Tests of the ring and the relay tree.

use super::*;

#[test]
fn every_node_reaches_the_controller_and_no_relay_has_too_many_children() {
    for count in [1u64, 3, 4, 12, 40] {
        let nodes: Vec<u64> = (0..count).map(|index| index * 7919 + 3).collect();
        let mut children = std::collections::BTreeMap::<Option<u64>, usize>::new();
        for node in &nodes {
            let mut hops = 0;
            let mut current = *node;
            *children.entry(parent(current, &nodes)).or_default() += 1;
            while let Some(next) = parent(current, &nodes) {
                current = next;
                hops += 1;
                assert!(hops < 10, "the path from node {node} to the controller has a loop");
            }
        }
        assert!(children.values().all(|count| *count <= RELAY_CHILDREN));
    }
}

#[test]
fn each_watcher_of_a_node_lists_it_as_watched() {
    let nodes: Vec<u64> = (1..=12).collect();
    for node in &nodes {
        for watcher in watchers(*node, &nodes) {
            assert!(watched(watcher, &nodes).contains(node));
        }
        assert_eq!(watchers(*node, &nodes).len(), RING_WATCHERS);
    }
}
