/// Both lists rise; the entries' own order decides between them.
pub(crate) fn in_order(named: &[usize], any: &[usize]) -> impl Iterator<Item = usize> {
    let (mut named, mut any) = (named.iter().peekable(), any.iter().peekable());
    std::iter::from_fn(move || match (named.peek(), any.peek()) {
        (Some(one), Some(other)) if one > other => any.next().copied(),
        (Some(_), _) => named.next().copied(),
        (None, _) => any.next().copied(),
    })
}

/// The host a request is for, without its port.
pub(crate) fn host_of(headers: &[(String, String)]) -> &str {
    let found = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("host"));
    let host = found.map_or("", |(_, value)| value.as_str());
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// `headers['x']`, `'x' in headers` and `headers.x`.
pub(crate) fn header_names(rule: &str) -> Vec<String> {
    let parts: Vec<&str> = rule.split(['\'', '"']).collect();
    let quoted = parts.windows(3).step_by(2).filter(|three| {
        let asked = three[0].trim_end().ends_with('[') && three[0].contains("headers");
        let looked = three[2].trim_start().starts_with("in ");
        asked || looked
    });
    let ends = |c: char| !c.is_ascii_alphanumeric() && c != '_';
    let fields = rule.split("headers.").skip(1).filter_map(|rest| rest.split(ends).next());
    quoted.map(|three| three[1]).chain(fields).map(str::to_ascii_lowercase).collect()
}
