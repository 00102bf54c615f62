//! When the leader's lease is gained or lost.

use crate::ControlNode;

impl ControlNode {
    /// A lease that is gained, or gained again, starts with nothing known: neither what the endpoint
    /// list showed meanwhile, nor which data nodes requested a lease in vain.
    pub(super) fn lease_tick(&mut self, now_ms: u64) {
        let has_lease = self.has_lease(now_ms);
        let had_none = self.leader.as_ref().is_some_and(|leader| leader.lease_since_ms.is_none());
        let is_gained = has_lease && had_none;
        let handover = if is_gained { self.take_handover(now_ms) } else { None };
        let Some(leader) = &mut self.leader else { return };
        if !has_lease {
            leader.lease_since_ms = None;
        } else if is_gained {
            leader.lease_since_ms = Some(now_ms);
            leader.nodes.on_lease_gained(now_ms);
            leader.endpoint_list.on_lease_gained(now_ms, handover);
        }
    }
}
