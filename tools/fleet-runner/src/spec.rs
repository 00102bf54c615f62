use crate::Cli;
use std::time::Duration;

/// A deployment's sizes, from what its operators told.
#[derive(Clone, Debug)]
pub struct Spec {
    pub data_nodes: usize,
    pub targets: [(&'static str, usize); 3],
    pub lookups: usize,
    pub postings: usize,
    pub uploads: usize,
    pub calls: usize,
    pub zone_delay: Duration,
}

pub const ZONES: [&str; 3] = ["a", "b", "c"];

impl Spec {
    pub fn of(cli: &Cli) -> Result<Spec, String> {
        let (data_nodes, sizes, rates, zone_us) = match cli.deployment.as_str() {
            "blue-mahoe" => (11, [20, 9, 6], [80, 30, 10, 15], 500),
            "kutch" => (12, [23, 10, 6], [380, 130, 40, 65], 1_000),
            other => return Err(format!("{other} is no deployment")),
        };
        let scale = cli.scale.max(1);
        let [catalogue, ledger, photos] = sizes.map(|size| size * scale);
        let [lookups, postings, uploads, calls] = rates.map(|rate| rate * scale);
        Ok(Spec {
            data_nodes: data_nodes * scale,
            targets: [("catalogue", catalogue), ("ledger", ledger), ("photos", photos)],
            lookups,
            postings,
            uploads,
            calls,
            zone_delay: Duration::from_micros(zone_us),
        })
    }
}

/// A plan for the stand-ins' three services, and as many further routes as asked for.
pub fn plan(version: &str, base: Option<&str>, routes: usize) -> String {
    let base = base.map_or("null".to_string(), |base| format!("\"{base}\""));
    let service = |name: &str| format!("\"{name}\": {{\"labels\": {{\"service\": \"{name}\"}}}}");
    let mut rows = vec![
        "{\"path\": \"/stock/*\", \"methods\": [\"GET\"], \"kind\": \"lookup\", \"service\": \"catalogue\", \"limits\": {\"deadlineMs\": 4000}}".to_string(),
        "{\"path\": \"/transfers\", \"methods\": [\"POST\"], \"kind\": \"one-time\", \"service\": \"ledger\"}".to_string(),
        "{\"path\": \"/photos/*\", \"methods\": [\"PUT\"], \"kind\": \"one-time\", \"service\": \"photos\", \"limits\": {\"bodyBytes\": 33554432}}".to_string(),
    ];
    rows.extend((0..routes).map(|at| {
        format!("{{\"path\": \"/extra/{at}/{{id}}\", \"methods\": [\"GET\"], \"kind\": \"lookup\", \"service\": \"catalogue\"}}")
    }));
    format!(
        "{{\"version\": \"{version}\", \"base\": {base},\n \"services\": {{{}, {}, {}}},\n \"routes\": [\n  {}\n ]}}\n",
        service("catalogue"),
        service("ledger"),
        service("photos"),
        rows.join(",\n  ")
    )
}
