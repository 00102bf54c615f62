//! Tracks when the leader's lease is gained or lost.

use crate::ControlNode;

impl ControlNode {
    /// Records when the leader's lease is gained or lost. Without the lease, the endpoint list may
    /// have changed unseen and data nodes' lease requests were refused. So whenever the lease is
    /// gained, the scan of the list restarts, unless a former leader sent its scan state, and
    /// so does the time since each node's last report.
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
