//! Where each value of a JSON text stands.
//!
//! `facet-json` reads the values; this scan only notes positions, so it takes malformed text too.

use postbarrow_constants::plans::DEPTH;
use std::collections::HashMap;

/// The text is nested too deep to be read.
#[derive(Debug, thiserror::Error)]
#[error("nested deeper than {DEPTH}")]
pub(crate) struct NestedTooDeep {
    /// Of the first bracket that is too deep.
    pub offset: usize,
}

/// Where each JSON path stands in the text, in bytes.
pub(crate) struct Positions {
    offsets: HashMap<String, usize>,
    newlines: Vec<usize>,
    /// Paths that stand more than once.
    pub duplicates: Vec<String>,
}

impl Positions {
    /// Notes the positions of all values and keys.
    ///
    /// # Errors
    /// Brackets are nested deeper than `DEPTH`.
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

    /// The position of the path itself, or of the nearest that contains it.
    pub fn offset(&self, json_path: &str) -> Option<usize> {
        let mut json_path = json_path;
        loop {
            if let Some(offset) = self.offsets.get(json_path) {
                return Some(*offset);
            }
            json_path = &json_path[..json_path.rfind(['.', '['])?];
        }
    }

    /// The line of an offset, counted from 1.
    pub fn line(&self, offset: usize) -> usize {
        self.newlines.partition_point(|newline| *newline < offset) + 1
    }
}

/// An object or array that is not closed yet.
enum Level {
    /// The key whose value follows; none before the first key and after each comma.
    Object {
        key: Option<String>,
    },
    Array {
        index: usize,
    },
}

/// A scan on its way through the text.
struct Scan<'t> {
    text: &'t str,
    positions: Positions,
    levels: Vec<Level>,
    /// Of the value at which the scan is.
    path: String,
    /// Of the path of each level, in bytes.
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

    /// A key, or a value that is a string.
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
        if self.levels.len() >= DEPTH {
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

    /// A value starts; in an array its path is that of its index, and elsewhere that of its key.
    fn on_value(&mut self, start: usize) {
        if let Some(Level::Array { index }) = self.levels.last() {
            self.path.truncate(*self.path_lengths.last().unwrap_or(&1));
            self.path.push_str(&format!("[{index}]"));
        }
        self.positions.offsets.entry(self.path.clone()).or_insert(start);
    }
}

/// The offset after the closing quote, or the text's end.
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
