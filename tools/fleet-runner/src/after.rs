use crate::faults::Told;
use crate::fleet::Fleet;

const LEFT_MOST_MS: u128 = 2_500;
const IN_FORCE_MOST_MS: u64 = 2_500;

/// What the load's books can't see: how long a leaving target got asks, how long a plan took.
pub fn check(fleet: &Fleet, told: &Told) -> Vec<String> {
    let mut violations = Vec::new();
    let mut lags = Vec::new();
    for (instance, marked_ms) in &told.left {
        let file = format!("{}/records/{instance}", fleet.folder);
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let last = text.lines().filter_map(|line| line.rsplit(' ').next()?.parse::<u128>().ok());
        let lag_ms = last.max().unwrap_or(0).saturating_sub(*marked_ms);
        lags.push(lag_ms);
        if lag_ms > LEFT_MOST_MS {
            violations
                .push(format!("{instance} ran an ask {lag_ms} ms after the list showed it leave"));
        }
    }
    println!("fleet: {} faults drawn", told.drawn);
    for (part, processes) in [("data", &fleet.data), ("control", &fleet.control)] {
        let sizes = processes.iter().filter_map(|process| process.size());
        let (mib, threads): (Vec<u64>, Vec<u64>) = sizes.unzip();
        println!(
            "fleet: {part} nodes: most memory {} MiB, most threads {}",
            mib.into_iter().max().unwrap_or(0),
            threads.into_iter().max().unwrap_or(0)
        );
    }
    if !lags.is_empty() {
        println!("fleet: last ask after the list's mark, ms: {lags:?}");
    }
    if !told.in_force_ms.is_empty() {
        println!("fleet: acknowledged to in force on every ready node, ms: {:?}", told.in_force_ms);
    }
    for took_ms in told.in_force_ms.iter().filter(|took_ms| **took_ms > IN_FORCE_MOST_MS) {
        violations.push(format!("a plan took {took_ms} ms to be in force"));
    }
    violations.extend(told.violations.iter().cloned());
    match fleet.get("/plan") {
        Some((200, text)) if text == told.plan => {}
        Some((200, _)) if told.plan.is_empty() => {}
        other => violations.push(format!(
            "the plan in force does not read back as acknowledged: {:?}",
            other.map(|(status, text)| (status, text.len()))
        )),
    }
    if let Some((_, status)) = fleet.get("/status") {
        let field = |name: &str| {
            let after = status.split(&format!("\"{name}\":")).nth(1)?;
            after.split([',', '}']).next().map(str::to_string)
        };
        for name in ["term", "watermark", "tickets", "openTickets", "longestStallMs"] {
            println!("fleet: {name} {}", field(name).unwrap_or_default());
        }
    }
    violations
}
