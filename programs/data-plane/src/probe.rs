use crate::core::Command;
use crate::share::Shared;
use crate::target_connection::TargetConnection;
use postbarrow_constants::nodes::PROBE_INTERVAL_MS;
use postbarrow_constants::traffic::{PROOF_WAIT_MS, STACK_BYTES};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_state::{Name, Target};
use postbarrow_transport::clock_ms;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::Duration;

/// One small thread a target: probes it on a kept connection, and ends with the target.
pub fn run(shared: Arc<Shared>) {
    let mut probed: HashSet<Name> = HashSet::new();
    let (ended, ends) = std::sync::mpsc::channel::<Name>();
    loop {
        for gone in ends.try_iter() {
            probed.remove(&gone);
        }
        let table = shared.table.load_full();
        for instance in table.state.targets.keys() {
            if probed.insert(instance.clone()) {
                let (shared, name, ended) = (shared.clone(), instance.clone(), ended.clone());
                let spawned = thread::Builder::new()
                    .name(format!("probe {instance}"))
                    .stack_size(STACK_BYTES)
                    .spawn(move || {
                        watch(&shared, &name);
                        let _ = ended.send(name);
                    });
                if spawned.is_err() {
                    probed.remove(instance);
                }
            }
        }
        thread::sleep(Duration::from_millis(PROBE_INTERVAL_MS / 2));
    }
}

fn watch(shared: &Shared, instance: &Name) {
    loop {
        let start_ms = clock_ms();
        let table = shared.table.load_full();
        let Some(target) = table.state.targets.get(instance).cloned() else { return };
        let sound = match probe(shared, &target) {
            Ok(occupancy) => {
                if let Some(load) = table.loads().get(instance) {
                    load.report(occupancy);
                }
                true
            }
            Err(_) => false,
        };
        let end = shared.table.load();
        if end.state.targets.get(instance).is_none_or(|now| now.address == target.address) {
            shared.command(Command::Probed { instance: instance.clone(), sound });
        }
        if shared.stopping.load(Relaxed) {
            return;
        }
        let pause_ms = (start_ms + PROBE_INTERVAL_MS).saturating_sub(clock_ms());
        thread::sleep(Duration::from_millis(pause_ms));
    }
}

/// The oldest idle connection is proved anew and put back, which also keeps one warm.
fn probe(shared: &Shared, target: &Target) -> Result<u64, String> {
    let pools = shared.pools.load();
    let nobody = ClientWatch::nobody();
    let until_ms = clock_ms() + PROOF_WAIT_MS;
    if let Some(mut connection) = pools.take(target)
        && let Ok(occupancy) = connection.prove(target, until_ms, &nobody)
    {
        pools.give(target, connection);
        return Ok(occupancy);
    }
    let mut connection = TargetConnection::open(target.address, until_ms, &nobody)?;
    let occupancy = connection.prove(target, until_ms, &nobody)?;
    pools.give(target, connection);
    Ok(occupancy)
}
