//! Reads a target's identity: who it states that it is.

use crate::error::{Result, UpstreamError};
use postbarrow_reading::{Fields, Reading, text};
use postbarrow_state::Labels;

/// Who a target states that it is.
pub struct TargetIdentity {
    /// Its instance.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Its labels.
    pub labels: Labels,
    /// Requests in flight there.
    pub in_flight: u64,
}

/// Reads an identity from its JSON.
///
/// # Errors
/// All findings in the JSON.
pub fn read_identity(json: &str) -> Result<TargetIdentity> {
    let (value, mut reading) = Reading::parse(json).map_err(UpstreamError::IdentityNotJson)?;
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
