//! Path patterns, which are matched against the raw segments of a path.

use compact_str::CompactString;

/// One segment of a pattern. The order of the variants decides the order in which routes are tried.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// Matches exactly this segment.
    Literal(CompactString),
    /// Matches any one segment except an empty one, `.` and `..`; written `{name}`.
    Any,
    /// Matches all remaining segments, of which there must be at least one, if only an empty one;
    /// written `*`, and only allowed as the last segment.
    Rest,
}

/// A path pattern such as `/loans/{id}/notes` or `/photos/*`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pattern {
    /// The segments in the order of the path.
    pub segments: Vec<Segment>,
}

/// Why a text is not a valid pattern; the error texts are shown to operators as findings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// The text does not begin with `/`.
    #[error("must begin with /")]
    NoSlash,
    /// The text has a query, a fragment, spaces, control characters or bytes outside ASCII.
    #[error("must be a raw path without query, fragment or spaces")]
    NotRaw,
    /// The text has a segment `.` or `..`, which clients and targets resolve differently.
    #[error("must not hold . or .. as a segment")]
    DotSegment,
    /// This segment has `*`, `{` or `}` in a place where it is not allowed.
    #[error("{0:?} is neither a name, {{name}} nor a last *")]
    Wildcard(String),
}

impl Pattern {
    /// Parses a pattern.
    ///
    /// # Errors
    /// Returns the first reason why the text is not a valid pattern.
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
                one if one.starts_with('{') && one.ends_with('}') && one.len() > 2 => Segment::Any,
                other if other.contains(['*', '{', '}']) => {
                    return Err(PatternError::Wildcard(other.to_string()));
                }
                literal => Segment::Literal(CompactString::from(literal)),
            });
        }
        Ok(Pattern { segments })
    }

    /// Returns a key that is equal for patterns that match the same paths.
    pub fn shape(&self) -> Vec<Segment> {
        self.segments.clone()
    }

    /// Returns whether the pattern matches a raw path, given without its query.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix('/') else { return false };
        let mut texts = rest.split('/');
        for segment in &self.segments {
            match segment {
                Segment::Rest => return texts.next().is_some(),
                Segment::Any => match texts.next() {
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
