//! Finds the headers that a rule reads, from the rule's text.

/// Returns the names of the headers that a rule reads as `headers['x']`, `'x' in headers` or
/// `headers.x`, in lower case.
pub(crate) fn header_names(rule: &str) -> Vec<String> {
    let pieces: Vec<&str> = rule.split(['\'', '"']).collect();
    let quoted = pieces.windows(3).step_by(2).filter(|window| {
        let is_indexed = window[0].trim_end().ends_with('[') && window[0].contains("headers");
        let is_membership = window[2].trim_start().starts_with("in ");
        is_indexed || is_membership
    });
    let is_field_end = |c: char| !c.is_ascii_alphanumeric() && c != '_';
    let fields = rule.split("headers.").skip(1).filter_map(|rest| rest.split(is_field_end).next());
    quoted.map(|window| window[1]).chain(fields).map(str::to_ascii_lowercase).collect()
}
