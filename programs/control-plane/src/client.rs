//! The operator's commands, over HTTP.

use std::time::Duration;
use ureq::Agent;

const WAIT_MS: u64 = 8_000;

/// What a control node answered.
pub struct CommandResponse {
    /// HTTP's.
    pub status: u16,
    /// JSON, or a plan's text.
    pub body: String,
    /// The product's own headers.
    pub about: Vec<(String, String)>,
}

/// The operator's questions over HTTP: the first control node that can be reached answers.
///
/// # Errors
/// Why none could be reached, one after the other.
pub fn send_command(
    control: &[String],
    path: &str,
    plan: Option<Vec<u8>>,
) -> Result<CommandResponse, String> {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(Duration::from_millis(WAIT_MS)))
        .build();
    let agent = Agent::new_with_config(config);
    let mut failures = Vec::new();
    for address in control {
        let url = format!("http://{address}{path}");
        let sent = match &plan {
            Some(plan) => agent.post(&url).send(&plan[..]),
            None => agent.get(&url).call(),
        };
        match sent.map_err(|error| error.to_string()).and_then(read) {
            Ok(answer) => return Ok(answer),
            Err(error) => failures.push(format!("{address}: {error}")),
        }
    }
    Err(failures.join("; "))
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Result<CommandResponse, String> {
    let about = response
        .headers()
        .iter()
        .filter(|(name, _)| name.as_str().starts_with("postbarrow-"))
        .map(|(name, value)| {
            (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        })
        .collect();
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(64 * 1024 * 1024).read_to_string();
    Ok(CommandResponse { status, body: body.map_err(|error| error.to_string())?, about })
}
