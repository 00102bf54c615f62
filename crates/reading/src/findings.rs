//! The errors found in a document, each with its position.

use miette::{LabeledSpan, MietteDiagnostic, NamedSource, Report};
use std::fmt;

/// One error in a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// JSON path of the field, such as `$.routes[2].kind`.
    pub field_path: String,
    /// Line of the error, counted from 1; `None` if the error has no position in a text.
    pub line: Option<usize>,
    /// Position of the error in bytes from the start of the text; `None` if it has none.
    pub offset: Option<usize>,
    /// Description of the error, as the predicate of a sentence about the field.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(out, "{} (line {line}): {}", self.field_path, self.message),
            None => write!(out, "{}: {}", self.field_path, self.message),
        }
    }
}

/// All errors of a document, in the order in which they were found; `Display` writes a line for
/// each.
#[derive(Clone, Debug, PartialEq)]
pub struct Findings {
    /// The errors; not empty if a function returned the findings as its error.
    pub findings: Vec<Finding>,
}

impl Findings {
    /// Creates a single finding at an offset in the text, in bytes.
    pub fn at_offset(text: &str, offset: usize, json_path: &str, message: String) -> Self {
        let offset = offset.min(text.len());
        let line = text.as_bytes()[..offset].iter().filter(|byte| **byte == b'\n').count() + 1;
        let finding = Finding {
            field_path: json_path.into(),
            line: Some(line),
            offset: Some(offset),
            message,
        };
        Findings { findings: vec![finding] }
    }

    /// Creates a single finding without a position in a text.
    pub fn without_position(json_path: &str, message: String) -> Self {
        Findings {
            findings: vec![Finding {
                field_path: json_path.into(),
                line: None,
                offset: None,
                message,
            }],
        }
    }

    /// Returns a report of all findings. Those with a position are marked in the text, which is
    /// shown under this name; the others are listed below it.
    pub fn report(&self, name: &str, text: &str) -> Report {
        let labels = self.findings.iter().filter_map(|finding| {
            let offset = finding.offset.filter(|offset| *offset <= text.len())?;
            Some(LabeledSpan::at_offset(
                offset,
                format!("{}: {}", finding.field_path, finding.message),
            ))
        });
        let without_offset: Vec<String> = self
            .findings
            .iter()
            .filter(|finding| finding.offset.is_none())
            .map(ToString::to_string)
            .collect();
        let mut diagnostic =
            MietteDiagnostic::new(format!("{} findings", self.findings.len())).with_labels(labels);
        if !without_offset.is_empty() {
            diagnostic = diagnostic.with_help(without_offset.join("\n"));
        }
        Report::new(diagnostic).with_source_code(NamedSource::new(name, text.to_string()))
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, finding) in self.findings.iter().enumerate() {
            if number > 0 {
                writeln!(out)?;
            }
            write!(out, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
