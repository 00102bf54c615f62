//! Reads the identity that a target states in its JSON response.

use crate::error::{Result, UpstreamError};
use postbarrow_reading::{DocumentReader, Fields, text};
use postbarrow_state::Labels;

/// The identity that a target states.
pub struct TargetIdentity {
    /// The instance name of the target.
    pub instance: String,
    /// The name of the target's service.
    pub service: String,
    /// The labels of the target, empty if the identity states none.
    pub labels: Labels,
    /// The number of requests in flight at the target (JSON field `occupancy`), 0 if not stated.
    pub in_flight: u64,
}

/// Reads an identity from its JSON text.
///
/// # Errors
/// Returns all findings in the JSON together.
pub fn read_identity(json: &str) -> Result<TargetIdentity> {
    let (value, mut reading) =
        DocumentReader::parse(json).map_err(UpstreamError::IdentityNotJson)?;
    let mut identity = None;
    if let Some(mut fields) = Fields::of(&value, "$", &mut reading) {
        let instance = fields.text("instance", &mut reading).unwrap_or_default().to_string();
        let service = fields.text("service", &mut reading).unwrap_or_default().to_string();
        let in_flight = fields.number("occupancy", 0..=u64::MAX, &mut reading).unwrap_or(0);
        let mut labels = Labels::new();
        if fields.get("labels").is_some() {
            for (label, position, value) in fields.named("labels", &mut reading) {
                if let Some(value) = text(value, &position, &mut reading) {
                    labels.insert(label.into(), value.into());
                }
            }
        }
        identity = Some(TargetIdentity { instance, service, labels, in_flight });
    }
    let identity = reading.finish(identity).map_err(UpstreamError::IdentityFields)?;
    identity.ok_or(UpstreamError::IdentityNotAnObject)
}
