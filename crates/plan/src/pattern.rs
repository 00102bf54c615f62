//! Patterns of paths, compared by raw segments.

use compact_str::CompactString;

/// One segment of a pattern. Their order is the order in which routes are tried.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// This very segment.
    Literal(CompactString),
    /// Any one segment but an empty one, `.` and `..`; written `{name}`.
    One,
    /// All that remains, at least an empty segment; written `*`, and last.
    Rest,
}

/// A pattern of paths such as `/loans/{id}/notes` or `/photos/*`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pattern {
    /// In their order.
    pub segments: Vec<Segment>,
}

/// Why a text is no pattern; operators read the texts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// It does not begin with `/`.
    #[error("must begin with /")]
    NoSlash,
    /// It has a query, a fragment, spaces or bytes outside ASCII.
    #[error("must be a raw path without query, fragment or spaces")]
    NotRaw,
    /// It has a segment that clients and targets resolve differently.
    #[error("must not hold . or .. as a segment")]
    DotSegment,
    /// A segment has a wildcard in the wrong place.
    #[error("{0:?} is neither a name, {{name}} nor a last *")]
    Wildcard(String),
}

impl Pattern {
    /// Reads a pattern.
    ///
    /// # Errors
    /// What of it is not allowed.
    pub fn read(text: &str) -> Result<Pattern, PatternError> {
        let Some(rest) = text.strip_prefix('/') else { return Err(PatternError::NoSlash) };
        if !text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'?' && byte != b'#') {
            return Err(PatternError::NotRaw);
        }
        let texts: Vec<&str> = rest.split('/').collect();
        let mut segments = Vec::new();
        for (at, text) in texts.iter().enumerate() {
            let is_last = at + 1 == texts.len();
            segments.push(match *text {
                "*" if is_last => Segment::Rest,
                "." | ".." => return Err(PatternError::DotSegment),
                one if one.starts_with('{') && one.ends_with('}') && one.len() > 2 => Segment::One,
                other if other.contains(['*', '{', '}']) => {
                    return Err(PatternError::Wildcard(other.to_string()));
                }
                literal => Segment::Literal(CompactString::from(literal)),
            });
        }
        Ok(Pattern { segments })
    }

    /// Equal for patterns that match the same paths.
    pub fn shape(&self) -> Vec<Segment> {
        self.segments.clone()
    }

    /// Whether it matches a raw path, without its query.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix('/') else { return false };
        let mut texts = rest.split('/');
        for segment in &self.segments {
            match segment {
                Segment::Rest => return texts.next().is_some(),
                Segment::One => match texts.next() {
                    Some(text) if !text.is_empty() && text != "." && text != ".." => {}
                    _ => return false,
                },
                Segment::Literal(name) => {
                    if texts.next() != Some(name.as_str()) {
                        return false;
                    }
                }
            }
        }
        texts.next().is_none()
    }
}
