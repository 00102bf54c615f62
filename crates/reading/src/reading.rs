//! The reading of one document: what was found so far, and where it stands in the text.

use crate::positions::Positions;
use crate::{Finding, Findings, Value};
use postbarrow_constants::plans::FINDINGS;

/// Collects the findings of one document, with their lines.
pub struct Reading {
    positions: Positions,
    findings: Vec<Finding>,
    /// Findings beyond the most that are reported.
    dropped: usize,
}

impl Reading {
    /// Parses the text.
    ///
    /// # Errors
    /// Text that can't be parsed at all, as the only finding.
    pub fn parse(text: &str) -> Result<(Value, Reading), Findings> {
        let positions = Positions::scan(text)
            .map_err(|error| Findings::at_offset(text, error.offset, "$", error.to_string()))?;
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

    /// Adds a finding; beyond `FINDINGS` they are only counted.
    pub fn find(&mut self, json_path: &str, message: String) {
        if self.findings.len() >= FINDINGS {
            self.dropped += 1;
            return;
        }
        let offset = self.positions.offset(json_path);
        self.findings.push(Finding {
            field_path: json_path.to_string(),
            line: offset.map(|offset| self.positions.line(offset)),
            offset,
            message,
        });
    }

    /// Whether nothing was found so far.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// Ends the reading.
    ///
    /// # Errors
    /// The findings, if there are any.
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
