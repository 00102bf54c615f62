//! The start and end of this node's term as leader.

use crate::ControlNode;
use crate::leader_state::{LeaderState, unknown_settlements};
use postbarrow_consensus::Role;
use postbarrow_messages::Response;
use postbarrow_transactions::BatchRecord;

impl ControlNode {
    pub(super) fn on_role(&mut self, now_ms: u64, role: Role) {
        match role {
            Role::Leader => {
                let term = self.consensus.term();
                self.log_line(format!("leader elected term={term}"));
                self.leader = Some(LeaderState::new(term, now_ms, self.settings.list_gap_ms));
            }
            _ => self.step_down(),
        }
    }

    /// Starts serving once the first entry of this term is committed and applied. Aborts the
    /// transaction that an earlier leader left open, and settles as unknown the open tickets of
    /// nodes that are no longer registered.
    pub(super) fn start_serving_when_ready(&mut self, now_ms: u64) {
        let has_applied = self.has_applied_commit();
        let Some(leader) = &mut self.leader else { return };
        if leader.is_serving() || !self.consensus.is_ready() || !has_applied {
            return;
        }
        let state = self.tail.image().as_ref().clone();
        let settlements = unknown_settlements(&state, |node| !state.nodes.contains_key(&node));
        leader.start_serving(now_ms, state);
        if self.tail.has_open_transaction() {
            let name = self.tail.open_transaction_name().unwrap_or_default();
            self.log_line(format!(
                "transaction aborted name={name:?} reason=\"left open by an earlier leader\""
            ));
            let abort = BatchRecord::abort("the controller that began it is gone");
            self.propose_batch(now_ms, vec![abort]);
        }
        self.propose_in_batches(now_ms, settlements);
    }

    /// Steps down as leader after a higher term or the loss of the majority. The proposed state
    /// is dropped, the committed state stays, and pending requests get their responses.
    fn step_down(&mut self) {
        let Some(mut leader) = self.leader.take() else { return };
        self.log_line(format!("leader stepped down term={}", leader.term()));
        for reply in leader.writer.into_replies() {
            self.respond(reply.origin, reply.response_when_deposed());
        }
        if let Some(plan) = leader.transaction.take_plan() {
            self.respond(plan.origin, Response::Lost);
        }
        let waiting = leader.transaction.into_waiting().into_iter().map(|waiting| waiting.origin);
        let watching = leader.watches.into_watches().into_iter().map(|watch| watch.origin);
        for origin in waiting.chain(watching) {
            self.respond(origin, Response::NotController { controller: None });
        }
        self.updates.clear();
    }
}
