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
    positions: Positions,
    findings: Vec<Finding>,
    dropped: usize,
}

impl Reading {
    /// Reads the text; what can't be parsed at all is the only finding.
    pub fn parse(text: &str) -> Result<(Value, Reading), Findings> {
        let positions = Positions::scan(text)
            .map_err(|(offset, message)| Findings::at_offset(text, offset, "$", message))?;
        let value: Value = facet_json::from_str(text).map_err(|error| {
            let offset = error.span.map_or(0, |span| span.offset as usize);
            Findings::at_offset(text, offset, "$", error.kind.to_string())
        })?;
        let mut reading = Reading { positions, findings: Vec::new(), dropped: 0 };
        for json_path in std::mem::take(&mut reading.positions.duplicates) {
            reading.find(&json_path, "stands twice".into());
        }
        Ok((value, reading))
    }

    pub fn find(&mut self, json_path: &str, message: String) {
        if self.findings.len() >= FINDINGS {
            self.dropped += 1;
            return;
        }
        let at = self.positions.offset(json_path);
        self.findings.push(Finding {
            field_path: json_path.to_string(),
            line: at.map(|offset| self.positions.line(offset)),
            offset: at,
            message,
        });
    }

    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    pub fn finish<T>(mut self, value: T) -> Result<T, Findings> {
        if self.findings.is_empty() {
            return Ok(value);
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
