#![doc = include_str!("../README.md")]

mod fields;
mod findings;
mod positions;

pub use facet_value::Value;
pub use fields::{Fields, text};
pub use findings::{Finding, Findings};

use positions::Positions;
use postbarrow_constants::plans::FINDINGS;

pub struct Reading {
    places: Positions,
    findings: Vec<Finding>,
    dropped: usize,
}

impl Reading {
    /// Reads the text; what can't be parsed at all is the only finding.
    pub fn parse(text: &str) -> Result<(Value, Reading), Findings> {
        let places = Positions::scan(text)
            .map_err(|(offset, message)| Findings::one(text, offset, "$", message))?;
        let value: Value = facet_json::from_str(text).map_err(|error| {
            let offset = error.span.map_or(0, |span| span.offset as usize);
            Findings::one(text, offset, "$", error.kind.to_string())
        })?;
        let mut reading = Reading { places, findings: Vec::new(), dropped: 0 };
        for place in std::mem::take(&mut reading.places.duplicates) {
            reading.find(&place, "stands twice".into());
        }
        Ok((value, reading))
    }

    pub fn find(&mut self, place: &str, message: String) {
        if self.findings.len() >= FINDINGS {
            self.dropped += 1;
            return;
        }
        let at = self.places.offset(place);
        self.findings.push(Finding {
            field_path: place.to_string(),
            line: at.map(|offset| self.places.line(offset)),
            offset: at,
            message,
        });
    }

    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    pub fn finish<T>(mut self, made: T) -> Result<T, Findings> {
        if self.findings.is_empty() {
            return Ok(made);
        }
        if self.dropped > 0 {
            let message = format!("{} more findings are not shown", self.dropped);
            self.findings.push(Finding {
                field_path: "$".into(),
                line: None,
                offset: None,
                message,
            });
        }
        Err(Findings { findings: self.findings })
    }
}
