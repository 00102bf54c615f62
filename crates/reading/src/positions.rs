//! The positions of the values in a JSON text.
//!
//! `facet-json` parses the values; this scan only records positions, so it accepts malformed text
//! too.

use postbarrow_constants::plans::DOCUMENT_DEPTH_MAX;
use std::collections::HashMap;

/// The error that the text is nested deeper than `DOCUMENT_DEPTH_MAX`, so that it can't be parsed.
#[derive(Debug, thiserror::Error)]
#[error("nested deeper than {DOCUMENT_DEPTH_MAX}")]
pub(crate) struct NestedTooDeep {
    /// Offset in bytes of the first bracket that is nested too deep.
    pub offset: usize,
}

/// The positions in a text of its JSON paths and lines, as offsets in bytes.
pub(crate) struct Positions {
    offsets: HashMap<String, usize>,
    newlines: Vec<usize>,
    /// JSON paths that occur more than once.
    pub duplicates: Vec<String>,
}

impl Positions {
    /// Records the positions of all values and keys.
    ///
    /// # Errors
    /// Brackets are nested deeper than `DOCUMENT_DEPTH_MAX`.
    pub fn scan(text: &str) -> Result<Self, NestedTooDeep> {
        let bytes = text.as_bytes().iter().enumerate();
        let newlines = bytes.filter(|(_, byte)| **byte == b'\n').map(|(offset, _)| offset);
        let positions = Positions {
            offsets: HashMap::new(),
            newlines: newlines.collect(),
            duplicates: Vec::new(),
        };
        let mut scan = Scan {
            text,
            positions,
            levels: Vec::new(),
            path: String::from("$"),
            path_lengths: Vec::new(),
        };
        scan.run()?;
        Ok(scan.positions)
    }

    /// Returns the position of the path, or of the nearest path in the text that contains it.
    pub fn offset(&self, json_path: &str) -> Option<usize> {
        let mut json_path = json_path;
        loop {
            if let Some(offset) = self.offsets.get(json_path) {
                return Some(*offset);
            }
            json_path = &json_path[..json_path.rfind(['.', '['])?];
        }
    }

    /// Returns the line of an offset, counted from 1.
    pub fn line(&self, offset: usize) -> usize {
        self.newlines.partition_point(|newline| *newline < offset) + 1
    }
}

/// An object or array whose closing bracket the scan has not reached yet.
enum Level {
    Object {
        /// Key of the value that follows; `None` before the first key and after each comma.
        key: Option<String>,
    },
    Array {
        /// Index of the item that the scan is at.
        index: usize,
    },
}

/// The state of a scan of a text.
struct Scan<'t> {
    text: &'t str,
    positions: Positions,
    levels: Vec<Level>,
    /// JSON path of the value that the scan is at.
    path: String,
    /// Length in bytes of the JSON path of each level.
    path_lengths: Vec<usize>,
}

impl Scan<'_> {
    fn run(&mut self) -> Result<(), NestedTooDeep> {
        let bytes = self.text.as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            let start = at;
            at += 1;
            match bytes[start] {
                b'"' => {
                    at = string_end(bytes, start);
                    self.on_string(start, at);
                }
                bracket @ (b'{' | b'[') => self.on_opening(bracket, start)?,
                b'}' | b']' => {
                    self.levels.pop();
                    self.path.truncate(self.path_lengths.pop().unwrap_or(1));
                }
                b',' => self.on_comma(),
                byte if byte == b':' || byte.is_ascii_whitespace() => {}
                _ => {
                    self.on_value(start);
                    while at < bytes.len() && !b",]}:\"".contains(&bytes[at]) {
                        at += 1;
                    }
                }
            }
        }
        Ok(())
    }

    /// Records a string, which is a key or a value.
    fn on_string(&mut self, start: usize, end: usize) {
        let Some(Level::Object { key: key @ None }) = self.levels.last_mut() else {
            return self.on_value(start);
        };
        let raw = self.text.get(start + 1..end.saturating_sub(1)).unwrap_or("");
        self.path.truncate(*self.path_lengths.last().unwrap_or(&1));
        self.path.push('.');
        self.path.push_str(raw);
        *key = Some(raw.to_string());
        if self.positions.offsets.insert(self.path.clone(), start).is_some() {
            self.positions.duplicates.push(self.path.clone());
        }
    }

    fn on_opening(&mut self, bracket: u8, start: usize) -> Result<(), NestedTooDeep> {
        self.on_value(start);
        if self.levels.len() >= DOCUMENT_DEPTH_MAX {
            return Err(NestedTooDeep { offset: start });
        }
        self.path_lengths.push(self.path.len());
        self.levels.push(match bracket {
            b'{' => Level::Object { key: None },
            _ => Level::Array { index: 0 },
        });
        Ok(())
    }

    fn on_comma(&mut self) {
        match self.levels.last_mut() {
            Some(Level::Object { key }) => *key = None,
            Some(Level::Array { index }) => *index += 1,
            None => {}
        }
    }

    /// Records the start of a value, whose path ends in its index in an array, and in its key
    /// elsewhere.
    fn on_value(&mut self, start: usize) {
        if let Some(Level::Array { index }) = self.levels.last() {
            self.path.truncate(*self.path_lengths.last().unwrap_or(&1));
            self.path.push_str(&format!("[{index}]"));
        }
        self.positions.offsets.entry(self.path.clone()).or_insert(start);
    }
}

/// Returns the offset after the closing quote, or the end of the text if there is none.
fn string_end(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while at < bytes.len() {
        match bytes[at] {
            b'\\' => at += 2,
            b'"' => return at + 1,
            _ => at += 1,
        }
    }
    bytes.len()
}
