//! Texts of plans and of their acknowledgements.

/// Routes of every plan besides its further ones.
pub const ROUTES: usize = 3;

/// A plan for the three services with `routes` further routes; `empty`: one service has no target.
pub fn plan_text(version: &str, base: Option<&str>, routes: u64, empty: bool) -> String {
    let base = base.map_or("null".into(), |base| format!("\"{base}\""));
    let more: String = (0..routes)
        .map(|at| format!(",{{\"path\":\"/more/{at}\",\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"catalogue\"}}"))
        .collect();
    let ledger = if empty { "nobody" } else { "ledger" };
    format!(
        "{{\"version\":\"{version}\",\"base\":{base},\"services\":{{\"catalogue\":{{\"labels\":{{\"service\":\"catalogue\"}}}},\"ledger\":{{\"labels\":{{\"service\":\"{ledger}\"}}}},\"photos\":{{\"labels\":{{\"service\":\"photos\"}}}}}},\"routes\":[{{\"path\":\"/stock/*\",\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"catalogue\"}},{{\"path\":\"/transfers\",\"methods\":[\"POST\"],\"kind\":\"one-time\",\"service\":\"ledger\"}},{{\"path\":\"/photos/*\",\"methods\":[\"PUT\"],\"kind\":\"one-time\",\"service\":\"photos\"}}{more}]}}"
    )
}

/// The log offset of the plan's Begin, as its acknowledgement states it.
pub fn began_at(text: &str) -> Option<u64> {
    let rest = text.split("\"beganAt\":").nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
