//! A target's proof of who it is, on a connection of its own.

use super::{EndsWithClient, Outgoing, TargetConnection, Terms};
use crate::dialect::ResponseJudgement;
use crate::proof::read_proof;
use postbarrow_constants::traffic::{HEAD_BYTES, PROOF_PATH};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::memory_budget::MemoryBudget;
use postbarrow_node::{AttemptOutcome, TargetResponse};
use postbarrow_state::Target;

impl TargetConnection {
    /// Asks who is there: instance, service and labels must be the target's own. Gives how many
    /// requests are at work at the target.
    ///
    /// # Errors
    /// No proof by then, or that of another target.
    pub fn prove(
        &mut self,
        target: &Target,
        until_ms: u64,
        client: &ClientWatch,
    ) -> Result<u64, String> {
        let host = ("Host".to_string(), target.address.to_string());
        let request = Outgoing {
            method: "GET",
            path: PROOF_PATH,
            headers: &[host],
            body: &[],
            until_ms,
            repeatable: true,
        };
        let terms = Terms {
            may_send: &|| true,
            client,
            ends_with_client: EndsWithClient::Always,
            judge: &|_, _| ResponseJudgement::Complete,
        };
        let space = MemoryBudget::new(HEAD_BYTES as u64);
        let mut memory = space.reserve(0).ok_or("no space for a proof")?;
        match self.exchange(&request, &terms, &mut memory) {
            (AttemptOutcome::Complete(response), true) => check_proof(&response, target),
            (AttemptOutcome::Complete(_), false) => Err("the target closes after its proof".into()),
            (
                AttemptOutcome::Unsent(why)
                | AttemptOutcome::NotRun(why)
                | AttemptOutcome::Unknown { reason: why, .. },
                _,
            ) => Err(format!("proof: {why}")),
        }
    }
}

fn check_proof(response: &TargetResponse, target: &Target) -> Result<u64, String> {
    if response.status != 200 {
        return Err(format!("proof: status {}", response.status));
    }
    let text = std::str::from_utf8(&response.body).map_err(|error| format!("proof: {error}"))?;
    let proof = read_proof(text)?;
    if proof.instance != target.instance
        || proof.service != target.service
        || proof.labels != target.labels
    {
        return Err(format!("another target stands at {}", target.address));
    }
    Ok(proof.in_flight)
}
