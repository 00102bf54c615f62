//! The data plane: accepts clients' requests, matches their routes and forwards each to an
//! identified target.
//!
//! The module `phases` processes a request, with one module for each phase; its table lists the
//! phases in order and is the place to start reading. The other modules:
//!
//! - `shared`: the state that threads share, with one type for each concern;
//! - `control_loop`, `command`: the thread that owns the node's state machine, and its inputs;
//! - `admission`, `balancing`: the decision whether a request is admitted, and the counts of
//!   requests in flight at each target;
//! - `target_connection`, `response_parser`, `target_identity`: HTTP/1.1 connections to targets;
//! - `probe`: verifies the identity of each target periodically;
//! - `coordination`, `readiness`: the endpoints that the node serves itself;
//! - [`Dialect`]: the headers and response formats that clients and targets use.

#![deny(missing_docs)]

mod admission;
mod balancing;
mod command;
mod control_loop;
mod coordination;
mod dialect;
mod error;
mod json_response;
mod phases;
mod probe;
mod readiness;
mod response_parser;
mod shared;
mod target_connection;
mod target_identity;

#[cfg(test)]
mod tests;

pub use dialect::{
    Dialect, ListenerRole, NativeDialect, NodeEndpoint, ResponseJudgement, TargetIdentification,
};

use command::Command;
use control_loop::ControlLoop;
use log::info;
use phases::accept;
use postbarrow_node::DataNode;
use postbarrow_startup::Startup;
use postbarrow_state::{Name, Node};
use postbarrow_transport::{clock_ms, listen, random, spawn_essential};
use shared::Shared;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// A running data-plane node.
pub struct DataPlane {
    shared: Arc<Shared>,
    /// The delay after which a stopping node closes its listener, and the time limit of the whole
    /// stop; both in milliseconds from the call of [`DataPlane::stop`].
    stop_ms: (u64, u64),
}

impl DataPlane {
    /// Starts a node with Postbarrow's own dialect, [`NativeDialect`].
    ///
    /// # Errors
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start(startup: &Startup) -> io::Result<DataPlane> {
        DataPlane::start_with_dialect(startup, Arc::new(NativeDialect))
    }

    /// Starts a node for clients and targets that use another dialect than Postbarrow's own.
    ///
    /// # Errors
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start_with_dialect(
        startup: &Startup,
        dialect: Arc<dyn Dialect>,
    ) -> io::Result<DataPlane> {
        let (link_listener, address) = startup.listen()?;
        let http = TcpListener::bind(startup.http)?;
        let own = Node {
            incarnation: random(),
            name: Name::from(&startup.name),
            address,
            http: http.local_addr()?,
            zone: Name::from(&startup.zone),
        };
        info!(
            "node: starting name={} incarnation={:016x} zone={}",
            own.name, own.incarnation, own.zone
        );
        let (commands, queue) = channel();
        let shared = Arc::new(Shared::new(own.clone(), dialect, &startup.bounds, commands));
        let lease_ms = startup.bounds.node_lease_ms();
        let node =
            DataNode::new(own, startup.seeds.clone(), clock_ms()).with_lease_duration_ms(lease_ms);
        let control_loop = ControlLoop::new(node, shared.clone());
        spawn_essential("node", move || control_loop.run(queue))?;
        let link_shared = shared.clone();
        listen(link_listener, move |envelope| {
            link_shared.control_loop.send(Command::Envelope(envelope));
            true
        })?;
        if shared.dialect.target_identification().is_none() {
            let probe_shared = shared.clone();
            spawn_essential("probes", move || probe::run(probe_shared))?;
        }
        if let Some(readiness_address) = startup.readiness {
            let listener = TcpListener::bind(readiness_address)?;
            accept::listen(listener, ListenerRole::Readiness, shared.clone())?;
        }
        accept::listen(http, ListenerRole::Clients, shared.clone())?;
        Ok(DataPlane { shared, stop_ms: startup.bounds.shutdown_times_ms() })
    }

    /// Replaces the seed addresses, through which the node finds the control plane.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared.control_loop.send(Command::Seeds(seeds));
    }

    /// Returns whether the node is ready for client requests: not stopping, with a valid lease and
    /// a plan in force.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the address on which the node listens for clients.
    pub fn http(&self) -> SocketAddr {
        self.shared.own.http
    }

    /// Shuts the node down gracefully: it becomes unready, closes its listener after a delay, lets
    /// requests in flight finish, and sends the pending settlements. Returns once that is done or
    /// its time limit has passed.
    pub fn stop(&self) {
        info!("node: stopping");
        self.shared.lifecycle.begin_stop();
        self.shared.control_loop.send(Command::Stop);
        let (unready_ms, end_ms) = self.stop_ms;
        let until_ms = clock_ms() + end_ms;
        thread::sleep(Duration::from_millis(unready_ms));
        self.shared.lifecycle.close();
        let _wakes_accept = TcpStream::connect(self.shared.own.http);
        while self.shared.admission.connections.load(SeqCst) > 0 && clock_ms() < until_ms {
            thread::sleep(Duration::from_millis(20));
        }
        let (done, on_done) = channel();
        self.shared.control_loop.send(Command::End { until_ms, done });
        let _ =
            on_done.recv_timeout(Duration::from_millis(until_ms.saturating_sub(clock_ms()) + 100));
        info!("node: stopped");
    }
}
