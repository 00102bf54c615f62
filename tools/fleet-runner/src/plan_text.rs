//! The texts of the plans that the runner submits.

/// Returns a plan for the three services of the stand-in targets, with this many further routes
/// without load. `base` is the version that the plan replaces; `None` for the first plan.
pub fn plan_text(version: &str, base: Option<&str>, routes: usize) -> String {
    let base = base.map_or("null".to_string(), |base| format!("\"{base}\""));
    let service = |name: &str| format!("\"{name}\": {{\"labels\": {{\"service\": \"{name}\"}}}}");
    let mut rows = vec![
        "{\"path\": \"/stock/*\", \"methods\": [\"GET\"], \"kind\": \"lookup\", \"service\": \"catalogue\", \"limits\": {\"deadlineMs\": 4000}}".to_string(),
        "{\"path\": \"/transfers\", \"methods\": [\"POST\"], \"kind\": \"one-time\", \"service\": \"ledger\"}".to_string(),
        "{\"path\": \"/photos/*\", \"methods\": [\"PUT\"], \"kind\": \"one-time\", \"service\": \"photos\", \"limits\": {\"bodyBytes\": 33554432}}".to_string(),
    ];
    rows.extend((0..routes).map(|index| {
        format!("{{\"path\": \"/extra/{index}/{{id}}\", \"methods\": [\"GET\"], \"kind\": \"lookup\", \"service\": \"catalogue\"}}")
    }));
    format!(
        "{{\"version\": \"{version}\", \"base\": {base},\n \"services\": {{{}, {}, {}}},\n \"routes\": [\n  {}\n ]}}\n",
        service("catalogue"),
        service("ledger"),
        service("photos"),
        rows.join(",\n  ")
    )
}
