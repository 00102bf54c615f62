use crate::Cli;
use crate::faults::Told;
use crate::fleet::Fleet;
use crate::spec::plan;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn next_version(fleet: &Fleet) -> String {
    let number: u64 = fleet.version.trim_start_matches('v').parse().unwrap_or(0);
    format!("v{}", number + 1)
}

/// Submitted again until there is a clear end; then every ready node must serve it soon.
pub fn change_plan(fleet: &mut Fleet, told: &mut Told, routes: usize) -> Result<(), String> {
    let version = next_version(fleet);
    let text = plan(&version, Some(&fleet.version), routes);
    for _ in 0..20 {
        match fleet.submit(&text) {
            Some(submitted) if submitted.status == 200 => {
                println!("fleet: {version} acknowledged after {} ms", submitted.took_ms);
                fleet.version = version;
                told.plan = text;
                return in_force(fleet, told);
            }
            Some(submitted) if submitted.status == 409 => return Err("409 on its own base".into()),
            _ => sleep(Duration::from_millis(300)),
        }
    }
    Err("never acknowledged".into())
}

fn in_force(fleet: &Fleet, told: &mut Told) -> Result<(), String> {
    let start = Instant::now();
    let wanted = format!("\"version\":\"{}\"", fleet.version);
    while start.elapsed() < Duration::from_secs(5) {
        let stale =
            fleet.nodes().iter().flatten().any(|(ready, text)| *ready && !text.contains(&wanted));
        if !stale {
            told.in_force_ms.push(start.elapsed().as_millis() as u64);
            return Ok(());
        }
    }
    Err("not in force after 5 s".into())
}

/// Two plans on one base at once: at most one may be acknowledged.
pub fn race(fleet: &mut Fleet, told: &mut Told, cli: &Cli) -> Result<(), String> {
    let base = fleet.version.clone();
    let first = next_version(fleet);
    let texts = [
        plan(&first, Some(&base), cli.routes),
        plan(&format!("{first}0"), Some(&base), cli.routes),
    ];
    let here: &Fleet = fleet;
    let statuses: Vec<Option<u16>> = std::thread::scope(|scope| {
        let racing: Vec<_> = texts
            .iter()
            .map(|text| scope.spawn(move || here.submit(text).map(|told| told.status)))
            .collect();
        racing.into_iter().map(|one| one.join().unwrap_or(None)).collect()
    });
    let won: Vec<usize> = (0..2).filter(|at| statuses[*at] == Some(200)).collect();
    match won[..] {
        [at] => {
            fleet.version = if at == 0 { first } else { format!("{first}0") };
            told.plan = texts[at].clone();
            in_force(fleet, told)
        }
        _ => Err(format!("{statuses:?}")),
    }
}
