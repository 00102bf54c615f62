use postbarrow_constants::plans::DEPTH;
use std::collections::HashMap;

/// Where each JSON path stands in the text. Only places: facet-json does the reading.
pub struct Positions {
    offsets: HashMap<String, usize>,
    lines: Vec<usize>,
    pub duplicates: Vec<String>,
}

enum Level {
    Object { key: Option<String> },
    Array { index: usize },
}

impl Positions {
    pub fn scan(text: &str) -> Result<Self, (usize, String)> {
        let bytes = text.as_bytes();
        let lines = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n').map(|(at, _)| at);
        let mut places =
            Positions { offsets: HashMap::new(), lines: lines.collect(), duplicates: Vec::new() };
        let mut levels: Vec<Level> = Vec::new();
        let mut path = String::from("$");
        let mut ends: Vec<usize> = Vec::new();
        let mut at = 0;
        while at < bytes.len() {
            let start = at;
            at += 1;
            match bytes[start] {
                b'"' => {
                    at = string_end(bytes, start);
                    if let Some(Level::Object { key: key @ None }) = levels.last_mut() {
                        let raw = text.get(start + 1..at.saturating_sub(1)).unwrap_or("");
                        path.truncate(*ends.last().unwrap_or(&1));
                        path.push('.');
                        path.push_str(raw);
                        *key = Some(raw.to_string());
                        if places.offsets.insert(path.clone(), start).is_some() {
                            places.duplicates.push(path.clone());
                        }
                        continue;
                    }
                    places.mark(&levels, &mut path, &ends, start);
                }
                open @ (b'{' | b'[') => {
                    places.mark(&levels, &mut path, &ends, start);
                    if levels.len() >= DEPTH {
                        return Err((start, format!("nested deeper than {DEPTH}")));
                    }
                    ends.push(path.len());
                    levels.push(match open {
                        b'{' => Level::Object { key: None },
                        _ => Level::Array { index: 0 },
                    });
                }
                b'}' | b']' => {
                    levels.pop();
                    path.truncate(ends.pop().unwrap_or(1));
                }
                b',' => match levels.last_mut() {
                    Some(Level::Object { key }) => *key = None,
                    Some(Level::Array { index }) => *index += 1,
                    None => {}
                },
                byte if byte == b':' || byte.is_ascii_whitespace() => {}
                _ => {
                    places.mark(&levels, &mut path, &ends, start);
                    while at < bytes.len() && !b",]}:\"".contains(&bytes[at]) {
                        at += 1;
                    }
                }
            }
        }
        Ok(places)
    }

    fn mark(&mut self, levels: &[Level], path: &mut String, ends: &[usize], start: usize) {
        if let Some(Level::Array { index }) = levels.last() {
            path.truncate(*ends.last().unwrap_or(&1));
            path.push_str(&format!("[{index}]"));
        }
        self.offsets.entry(path.clone()).or_insert(start);
    }

    /// The place itself, or the nearest that holds it.
    pub fn offset(&self, place: &str) -> Option<usize> {
        let mut place = place;
        loop {
            if let Some(offset) = self.offsets.get(place) {
                return Some(*offset);
            }
            place = &place[..place.rfind(['.', '['])?];
        }
    }

    pub fn line(&self, offset: usize) -> usize {
        self.lines.partition_point(|newline| *newline < offset) + 1
    }
}

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
