//! The common settings of the tools' HTTP clients.

use std::time::Duration;
use ureq::Agent;
use ureq::config::ConfigBuilder;
use ureq::typestate::AgentScope;

/// Returns the configuration of a client that returns error statuses as responses, uses no proxy,
/// and limits each call to the timeout.
pub fn client_config(timeout: Duration) -> ConfigBuilder<AgentScope> {
    Agent::config_builder().http_status_as_error(false).proxy(None).timeout_global(Some(timeout))
}
