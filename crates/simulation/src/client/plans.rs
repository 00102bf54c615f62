//! Texts of plans, and evaluation of their acknowledgements.

/// Number of routes that every plan has besides the additional ones.
pub const FIXED_ROUTES: usize = 3;

/// Returns the JSON text of a plan for the three services with `additional_routes` routes besides
/// the fixed ones. With `empty`, the labels of one service match no target.
pub fn plan_text(version: &str, base: Option<&str>, additional_routes: u64, empty: bool) -> String {
    let base = base.map_or("null".into(), |base| format!("\"{base}\""));
    let additional_text: String = (0..additional_routes)
        .map(|at| format!(",{{\"path\":\"/more/{at}\",\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"catalogue\"}}"))
        .collect();
    let ledger = if empty { "nobody" } else { "ledger" };
    format!(
        "{{\"version\":\"{version}\",\"base\":{base},\"services\":{{\"catalogue\":{{\"labels\":{{\"service\":\"catalogue\"}}}},\"ledger\":{{\"labels\":{{\"service\":\"{ledger}\"}}}},\"photos\":{{\"labels\":{{\"service\":\"photos\"}}}}}},\"routes\":[{{\"path\":\"/stock/*\",\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"catalogue\"}},{{\"path\":\"/transfers\",\"methods\":[\"POST\"],\"kind\":\"one-time\",\"service\":\"ledger\"}},{{\"path\":\"/photos/*\",\"methods\":[\"PUT\"],\"kind\":\"one-time\",\"service\":\"photos\"}}{additional_text}]}}"
    )
}

/// Returns the log offset of the plan's Begin from the text of an acknowledgement; `None` if the
/// text has none.
pub fn began_at(text: &str) -> Option<u64> {
    let rest = text.split("\"beganAt\":").nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
