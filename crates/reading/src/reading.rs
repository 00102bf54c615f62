//! Collects the findings of one document while it is read, and finishes the reading.

use crate::positions::Positions;
use crate::{Finding, Findings, Value};
use postbarrow_constants::plans::FINDINGS_MAX;

/// Collects the findings of one document, with their lines and offsets.
pub struct DocumentReader {
    positions: Positions,
    findings: Vec<Finding>,
    /// Number of findings beyond `FINDINGS_MAX`, which are only counted.
    dropped: usize,
}

impl DocumentReader {
    /// Parses a JSON text; a key that occurs twice in an object is added as a finding.
    ///
    /// # Errors
    /// A single finding, if the text can't be parsed.
    pub fn parse(text: &str) -> Result<(Value, DocumentReader), Findings> {
        let positions = Positions::scan(text)
            .map_err(|error| Findings::at_offset(text, error.offset, "$", error.to_string()))?;
        let value: Value = facet_json::from_str(text).map_err(|error| {
            let offset = error.span.map_or(0, |span| span.offset as usize);
            Findings::at_offset(text, offset, "$", error.kind.to_string())
        })?;
        let mut reading = DocumentReader { positions, findings: Vec::new(), dropped: 0 };
        for json_path in std::mem::take(&mut reading.positions.duplicates) {
            reading.add_finding(&json_path, "stands twice".into());
        }
        Ok((value, reading))
    }

    /// Adds a finding about the value at this JSON path; beyond `FINDINGS_MAX` findings are only
    /// counted.
    pub fn add_finding(&mut self, json_path: &str, message: String) {
        if self.findings.len() >= FINDINGS_MAX {
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

    /// Returns whether there are no findings so far.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// Ends the reading of the document; returns `value` if there are no findings.
    ///
    /// # Errors
    /// The findings, followed by the number of those that were only counted.
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
