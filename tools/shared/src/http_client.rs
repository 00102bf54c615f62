//! The settings that all HTTP clients of the tools have.

use std::time::Duration;
use ureq::Agent;
use ureq::config::ConfigBuilder;
use ureq::typestate::AgentScope;

/// A client that reports each status as a response, uses no proxy, and gives a call up after the
/// timeout.
pub fn client_config(timeout: Duration) -> ConfigBuilder<AgentScope> {
    Agent::config_builder().http_status_as_error(false).proxy(None).timeout_global(Some(timeout))
}
