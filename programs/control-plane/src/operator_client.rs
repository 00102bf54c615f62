//! Sends the operator's commands to a control node over HTTP.

use std::time::Duration;
use ureq::Agent;

/// Timeout of one HTTP request in milliseconds. It is longer than `SUBMIT_WAIT_MS`, the time for
/// which a control node waits for a submission's outcome.
const TIMEOUT_MS: u64 = 8_000;
/// Largest body of a response that is read, in bytes.
const BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// The response of a control node.
pub struct CommandResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body: JSON, or a plan's text.
    pub body: String,
    /// Postbarrow's own headers: those that begin with `postbarrow-`.
    pub headers: Vec<(String, String)>,
}

/// No control node responded.
#[derive(Debug, thiserror::Error)]
#[error("no control node responded: {}", join(.failures))]
pub struct CommandError {
    /// The failures, one for each address, in the order of the addresses.
    pub failures: Vec<NodeFailure>,
}

/// The reason why one control node did not respond.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {source}")]
pub struct NodeFailure {
    /// The control node's address, as given on the command line.
    pub address: String,
    /// The error of the HTTP request.
    pub source: ureq::Error,
}

fn join(failures: &[NodeFailure]) -> String {
    failures.iter().map(NodeFailure::to_string).collect::<Vec<_>>().join("; ")
}

/// Sends a command to the control nodes in the given order until one responds. With a plan the
/// command is a submission, else a query.
///
/// # Errors
/// No control node responded.
pub fn send_command(
    control: &[String],
    path: &str,
    plan: Option<Vec<u8>>,
) -> Result<CommandResponse, CommandError> {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(Duration::from_millis(TIMEOUT_MS)))
        .build();
    let agent = Agent::new_with_config(config);
    let mut failures = Vec::new();
    for address in control {
        let url = format!("http://{address}{path}");
        let sent = match &plan {
            Some(plan) => agent.post(&url).send(&plan[..]),
            None => agent.get(&url).call(),
        };
        match sent.and_then(read_response) {
            Ok(response) => return Ok(response),
            Err(source) => failures.push(NodeFailure { address: address.clone(), source }),
        }
    }
    Err(CommandError { failures })
}

fn read_response(
    mut response: ureq::http::Response<ureq::Body>,
) -> Result<CommandResponse, ureq::Error> {
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| name.as_str().starts_with("postbarrow-"))
        .map(|(name, value)| {
            (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        })
        .collect();
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(BODY_MAX_BYTES).read_to_string()?;
    Ok(CommandResponse { status, body, headers })
}
