use miette::{LabeledSpan, MietteDiagnostic, NamedSource, Report};
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// A JSON path such as `$.routes[2].kind`.
    pub field_path: String,
    pub line: Option<usize>,
    pub offset: Option<usize>,
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

#[derive(Clone, Debug, PartialEq)]
pub struct Findings {
    pub findings: Vec<Finding>,
}

impl Findings {
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
        for (at, finding) in self.findings.iter().enumerate() {
            if at > 0 {
                writeln!(out)?;
            }
            write!(out, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
