//! The members and the leader, as the control nodes report them.

use crate::fleet::Fleet;
use std::net::SocketAddr;

/// Age of a member's last message to the leader from which the member may be down, in
/// milliseconds.
const LAST_CONTACT_MAX_MS: u64 = 1_000;

impl Fleet {
    /// Returns the control nodes' report of their members, as JSON; empty if none responds.
    fn members(&self) -> String {
        self.get("/members").map(|response| response.text).unwrap_or_default()
    }

    /// Returns whether the leader has two voters and is in contact with them and with all learners.
    /// An operator waits for that before working on another control node.
    pub fn has_three_voters(&self) -> bool {
        let members = self.members();
        let last_contacts_ms = members
            .split("\"silentMs\":")
            .skip(1)
            .filter_map(|rest| rest.split(',').next()?.parse::<u64>().ok());
        members.matches("\"voter\"").count() == 2
            && last_contacts_ms.max().is_some_and(|max_ms| max_ms < LAST_CONTACT_MAX_MS)
    }

    /// Returns whether the control node with this address is a voter or the leader, not a learner.
    pub fn is_voter(&self, address: SocketAddr) -> bool {
        let members = self.members();
        let row = members.split('{').find(|row| row.contains(&format!("\"{address}\"")));
        row.is_some_and(|row| row.contains("\"voter\"") || row.contains("\"controller\""))
    }

    /// Returns the index of the leader among the control nodes; 0 while none is known.
    pub fn leader(&self) -> usize {
        let status = self.get("/status").map(|response| response.text).unwrap_or_default();
        let is_leader =
            |address: &String| status.contains(&format!("\"controller\":\"{address}\""));
        let found = self
            .control
            .iter()
            .position(|process| process.option("--address").is_some_and(is_leader));
        found.unwrap_or(0)
    }
}
