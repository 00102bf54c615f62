use postbarrow_reading::{Fields, Reading, text};
use postbarrow_state::Labels;

/// Who a target says it is.
pub struct TargetIdentity {
    pub instance: String,
    pub service: String,
    pub labels: Labels,
    pub in_flight: u64,
}

pub fn read_proof(given: &str) -> Result<TargetIdentity, String> {
    let (value, mut reading) = Reading::parse(given).map_err(|findings| findings.to_string())?;
    let mut proof = None;
    if let Some(mut fields) = Fields::of(&value, "$", &mut reading) {
        let instance = fields.text("instance", &mut reading).unwrap_or_default().to_string();
        let service = fields.text("service", &mut reading).unwrap_or_default().to_string();
        let occupancy = fields.number("occupancy", 0..=u64::MAX, &mut reading).unwrap_or(0);
        let mut labels = Labels::new();
        if fields.get("labels").is_some() {
            for (label, place, value) in fields.named("labels", &mut reading) {
                if let Some(value) = text(value, &place, &mut reading) {
                    labels.insert(label.into(), value.into());
                }
            }
        }
        proof = Some(TargetIdentity { instance, service, labels, in_flight: occupancy });
    }
    let read = reading.finish(proof).map_err(|findings| format!("probe: {findings}"))?;
    read.ok_or_else(|| "probe: not an object".into())
}
