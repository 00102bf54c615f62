use compact_str::CompactString;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    Literal(CompactString),
    One,
    Rest,
}

/// A path such as `/loans/{id}/notes` or `/photos/*`; compared by raw segments.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pattern {
    pub segments: Vec<Segment>,
}

impl Pattern {
    pub fn read(text: &str) -> Result<Pattern, String> {
        let Some(rest) = text.strip_prefix('/') else { return Err("must begin with /".into()) };
        if !text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'?' && byte != b'#') {
            return Err("must be a raw path without query, fragment or spaces".into());
        }
        let parts: Vec<&str> = rest.split('/').collect();
        let mut segments = Vec::new();
        for (at, part) in parts.iter().enumerate() {
            let last = at + 1 == parts.len();
            segments.push(match *part {
                "*" if last => Segment::Rest,
                "." | ".." => return Err("must not hold . or .. as a segment".into()),
                one if one.starts_with('{') && one.ends_with('}') && one.len() > 2 => Segment::One,
                other if other.contains(['*', '{', '}']) => {
                    return Err(format!("{other:?} is neither a name, {{name}} nor a last *"));
                }
                other => Segment::Literal(CompactString::from(other)),
            });
        }
        Ok(Pattern { segments })
    }

    /// Equal for patterns that match the same paths.
    pub fn shape(&self) -> Vec<Segment> {
        self.segments.clone()
    }

    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix('/') else { return false };
        let mut parts = rest.split('/');
        for segment in &self.segments {
            match segment {
                Segment::Rest => return parts.next().is_some(),
                Segment::One => match parts.next() {
                    Some(part) if !part.is_empty() && part != "." && part != ".." => {}
                    _ => return false,
                },
                Segment::Literal(name) => {
                    if parts.next() != Some(name.as_str()) {
                        return false;
                    }
                }
            }
        }
        parts.next().is_none()
    }
}
