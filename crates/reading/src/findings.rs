//! What was found wrong in a document, each with its position.

use miette::{LabeledSpan, MietteDiagnostic, NamedSource, Report};
use std::fmt;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// A JSON path such as `$.routes[2].kind`.
    pub field_path: String,
    /// Counted from 1; none if it has no position.
    pub line: Option<usize>,
    /// In bytes from the text's start.
    pub offset: Option<usize>,
    /// What is wrong, as the end of a sentence about the field.
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

/// All that is wrong, in the order in which it was found; its text has a line for each.
#[derive(Clone, Debug, PartialEq)]
pub struct Findings {
    /// Never empty where it is an error.
    pub findings: Vec<Finding>,
}

impl Findings {
    /// A single finding at an offset of the text.
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

    /// A single finding that has no position in a text.
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

    /// One report with every finding marked in the text.
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
