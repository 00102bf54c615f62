use crate::Cli;
use crate::world::{self, Body, World};
use postbarrow_messages::{Request, Submission};
use postbarrow_state::{Labels, Name, Record, Route, RouteKind, Service};

fn submission(version: u64, routes: usize, services: usize) -> Submission {
    let name = |version: u64| Name::from(format!("v{version}"));
    let base = (version > 1).then(|| name(version - 1));
    let mut records = vec![Record::PlanStart { version: name(version), base: base.clone() }];
    for at in 0..services {
        let service = Name::from(format!("service-{at}"));
        let labels = Labels::from([("service".into(), service.clone())]);
        records.push(Record::Service(Service { name: service, labels }));
    }
    for at in 0..routes {
        records.push(Record::Route(Route {
            path: Name::from(format!("/path{at:05}/*")),
            methods: vec!["*".into()],
            kind: RouteKind::Lookup,
            service: Name::from(format!("service-{}", at % services)),
            when: None,
            body_bytes: 1_000_000,
            rate_per_s: None,
            concurrency: None,
            deadline_ms: 1_500 + version,
            host: Some(Name::from(format!("host{at:05}.example"))),
            weighted_services: Vec::new(),
            max_attempts: Some(2),
            latency_target_ms: Some(600),
            priority: 1,
        }));
    }
    let text = vec![b'x'; routes * 250];
    records.extend(text.chunks(16_384).map(|part| Record::PlanText(part.to_vec())));
    Submission { version: name(version), base, records, dry_run: false, allow_empty: true }
}

/// Hands a plan over; milliseconds to the yes, and to each node's image.
fn change(world: &mut World, version: u64, routes: usize, services: usize) -> (u64, Vec<u64>) {
    let start_us = world.now_us;
    world.answers.clear();
    if let Some(leader) = world.leader() {
        world.ask(leader, version, Request::Submit(submission(version, routes, services)));
    }
    let wanted = Some(Name::from(format!("v{version}")));
    for _ in 0..500 {
        world.run_until(world.now_us + 10_000);
        if world
            .versions()
            .get(&wanted)
            .is_some_and(|count| *count == world.processes.len() - world.control)
        {
            break;
        }
    }
    let data = &world.processes[world.control..];
    let mut times: Vec<u64> = data
        .iter()
        .filter(|process| process.version == wanted)
        .map(|process| process.published_us.saturating_sub(start_us) / 1_000)
        .collect();
    times.sort_unstable();
    let yes_ms = world.answers.first().map_or(u64::MAX, |(at_us, _)| (at_us - start_us) / 1_000);
    (yes_ms, times)
}

/// Until every node that is up may serve again: milliseconds, and the longest time below nine tenths.
fn recover(world: &mut World) -> Option<u64> {
    let start_us = world.now_us;
    let mut shed = false;
    let mut well_us = None;
    while world.now_us < start_us + 20_000_000 {
        world.run_until(world.now_us + 10_000);
        let (up, serving) = world.serving();
        match up == serving {
            true if shed || world.now_us > start_us + 3_000_000 => {
                well_us.get_or_insert(if shed { world.now_us - start_us } else { 0 });
                if world.now_us > start_us + 3_000_000 {
                    return well_us.map(|well_us| well_us / 1_000);
                }
            }
            true => {}
            false => {
                shed = true;
                well_us = None;
            }
        }
    }
    None
}

fn told(name: &str, recovered: Option<u64>) -> Option<u64> {
    match recovered {
        Some(ms) => println!("recovery,{name},{ms}"),
        None => println!("recovery,{name},not within 20000"),
    }
    recovered
}

/// What one size showed, beside what it printed.
#[derive(Debug, Default)]
pub struct Measured {
    /// Of a data node at rest, both ways.
    pub node_bytes_per_s: f64,
    pub changed_nodes: usize,
    pub slowest_ms: u64,
    pub recovered_ms: Vec<Option<u64>>,
}

pub fn one(cli: &Cli, nodes: usize, targets: usize, routes: usize) -> Measured {
    let mut measured = Measured::default();
    println!("size,{nodes} nodes,{targets} targets,{routes} routes");
    let mut world = World::new(cli, nodes, targets);
    world.run_until(5_000_000);
    let (yes_ms, times) = change(&mut world, 1, routes, cli.services);
    println!("first plan,yes ms {yes_ms},nodes {}", times.len());
    world.run_until(world.now_us + 4_000_000);
    world.clear();
    let from_us = world.now_us;
    world.run_until(from_us + cli.seconds * 1_000_000);
    let leader = world.leader();
    let rate = |sum: u64, count: usize| sum as f64 / cli.seconds as f64 / count.max(1) as f64;
    println!("role,count,sent/s,bytes out/s,got/s,bytes in/s,work % of a core");
    let control = 0..world.control;
    let roles: [(&str, Vec<usize>); 4] = [
        ("controller", leader.into_iter().collect()),
        ("voter", control.clone().filter(|at| Some(*at) != leader).collect()),
        ("data node", (world.control..world.processes.len()).collect()),
        ("busiest data node", busiest(&world)),
    ];
    for (role, members) in roles {
        let sum = |of: fn(&world::Counts) -> u64| -> f64 {
            let all = members.iter().map(|at| of(&world.processes[*at].counts)).sum();
            rate(all, members.len())
        };
        if role == "data node" {
            measured.node_bytes_per_s =
                sum(|counts| counts.sent_bytes) + sum(|counts| counts.got_bytes);
        }
        println!(
            "{role},{},{:.1},{:.0},{:.1},{:.0},{:.3}",
            members.len(),
            sum(|counts| counts.sent),
            sum(|counts| counts.sent_bytes),
            sum(|counts| counts.got),
            sum(|counts| counts.got_bytes),
            sum(|counts| counts.work_ns) / 1e7,
        );
    }
    world.clear();
    let (yes_ms, times) = change(&mut world, 2, routes, cli.services);
    measured.changed_nodes = times.len();
    measured.slowest_ms = times.last().copied().unwrap_or(0);
    let at = |part: usize| times.get(times.len() * part / 100).or(times.last()).copied();
    println!(
        "change,yes ms {yes_ms},p50 {:?},p99 {:?},max {:?},nodes {}",
        at(50),
        at(99),
        times.last(),
        times.len()
    );
    let data: Vec<usize> = (world.control..world.processes.len()).collect();
    let bytes = |world: &World, at: usize| {
        world.processes[at].counts.sent_bytes + world.processes[at].counts.got_bytes
    };
    let all: u64 = data.iter().map(|at| bytes(&world, *at)).sum();
    let most = data.iter().map(|at| bytes(&world, *at)).max().unwrap_or(0);
    println!("change bytes,a data node {},busiest {most}", all / data.len().max(1) as u64);
    for (name, part) in [("a tenth restarted", 10), ("a rack of eight lost", 0)] {
        let some: Vec<usize> = match part {
            0 => data.iter().copied().take(8).collect(),
            part => data.iter().copied().step_by(part).collect(),
        };
        some.iter().for_each(|at| world.end(*at));
        if part > 0 {
            some.iter().for_each(|at| world.start(*at));
        }
        measured.recovered_ms.push(told(name, recover(&mut world)));
        some.iter().filter(|_| part == 0).for_each(|at| world.start(*at));
        world.run_until(world.now_us + 3_000_000);
    }
    if cli.zones > 2 {
        world.cut = Some(cli.zones.div_ceil(2));
        world.run_until(world.now_us + 5_000_000);
        let (up, serving) = world.serving();
        println!("parted,{serving} of {up} nodes serve");
        world.cut = None;
        measured.recovered_ms.push(told("parted halves joined", recover(&mut world)));
    }
    if let Some(leader) = world.leader() {
        world.end(leader);
        measured.recovered_ms.push(told("controller lost", recover(&mut world)));
    }
    measured
}

fn busiest(world: &World) -> Vec<usize> {
    let data = world.control..world.processes.len();
    let most = data.max_by_key(|at| world.processes[*at].counts.sent_bytes);
    most.into_iter().filter(|at| !matches!(world.processes[*at].body, Body::Down)).collect()
}

#[cfg(test)]
mod tests;
