//! Applies records of targets and data nodes.

use crate::{Incarnation, Name, Node, State, Target};
use std::sync::Arc;

impl State {
    pub(super) fn set_target(&mut self, target: &Target) {
        self.targets.insert(target.instance.clone(), Arc::new(target.clone()));
    }

    pub(super) fn remove_target(&mut self, instance: &Name) {
        self.targets.remove(instance);
    }

    pub(super) fn set_target_down(&mut self, instance: &Name, down: bool) {
        if let Some(target) = self.targets.get_mut(instance) {
            Arc::make_mut(target).down = down;
        }
    }

    pub(super) fn set_node(&mut self, node: &Node) {
        self.nodes.insert(node.incarnation, Arc::new(node.clone()));
    }

    pub(super) fn remove_node(&mut self, incarnation: Incarnation) {
        self.nodes.remove(&incarnation);
    }
}
