//! Probes targets: verifies the identity of each periodically, on an idle connection if there is
//! one.

use crate::command::Command;
use crate::error::Result;
use crate::shared::Shared;
use crate::target_connection::TargetConnection;
use postbarrow_constants::nodes::PROBE_INTERVAL_MS;
use postbarrow_constants::traffic::{IDENTITY_TIMEOUT_MS, STACK_BYTES};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_state::{Name, Target};
use postbarrow_transport::clock_ms;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// Runs one thread with a small stack for each target, which ends when the target is removed.
pub fn run(shared: Arc<Shared>) {
    let mut probed: HashSet<Name> = HashSet::new();
    let (ended, ended_probes) = channel::<Name>();
    loop {
        for instance in ended_probes.try_iter() {
            probed.remove(&instance);
        }
        let table = shared.routing.load_full();
        for instance in table.state.targets.keys() {
            if probed.insert(instance.clone()) {
                let (shared, name, ended) = (shared.clone(), instance.clone(), ended.clone());
                let spawned = thread::Builder::new()
                    .name(format!("probe {instance}"))
                    .stack_size(STACK_BYTES)
                    .spawn(move || {
                        probe_periodically(&shared, &name);
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

/// Probes one target every `PROBE_INTERVAL_MS` until the target is removed or the node stops.
fn probe_periodically(shared: &Shared, instance: &Name) {
    loop {
        let start_ms = clock_ms();
        let table = shared.routing.load_full();
        let Some(target) = table.state.targets.get(instance).cloned() else { return };
        let in_flight = probe(shared, &target);
        let identified = in_flight.is_ok();
        if let (Ok(in_flight), Some(load)) = (in_flight, table.loads().get(instance)) {
            load.store_report(in_flight);
        }
        let current_table = shared.routing.load();
        if current_table
            .state
            .targets
            .get(instance)
            .is_none_or(|current_target| current_target.address == target.address)
        {
            shared.control_loop.send(Command::Probed { instance: instance.clone(), identified });
        }
        if shared.lifecycle.is_stopping() {
            return;
        }
        let pause_ms = (start_ms + PROBE_INTERVAL_MS).saturating_sub(clock_ms());
        thread::sleep(Duration::from_millis(pause_ms));
    }
}

/// Verifies the target's identity on its oldest idle connection, or on a new one if there is no
/// idle connection or the verification on it fails. The connection then stays open for requests.
/// Returns how many requests the target has in flight.
fn probe(shared: &Shared, target: &Target) -> Result<u64> {
    let pools = shared.pools.load();
    let no_client = ClientWatch::without_client();
    let until_ms = clock_ms() + IDENTITY_TIMEOUT_MS;
    if let Some(mut connection) = pools.take(target)
        && let Ok(in_flight) = connection.identify(target, until_ms, &no_client)
    {
        pools.put(target, connection);
        return Ok(in_flight);
    }
    let mut connection = TargetConnection::open(target.address, until_ms, &no_client)?;
    let in_flight = connection.identify(target, until_ms, &no_client)?;
    pools.put(target, connection);
    Ok(in_flight)
}
