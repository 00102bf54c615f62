//! The data plane: accepts clients' requests, matches their routes and forwards each to an identified
//! target.
//!
//! The way of a request is in the module `phases`, one module a phase, in order; its table is the
//! place to start. Around it:
//!
//! - `shared`: the state that threads share, each concern with one owner;
//! - `control_loop`, `command`: the thread that owns the node's state machine, and its inputs;
//! - `admission`, `balancing`: the decisions whether a request may enter, and what is known of the load
//!   of targets;
//! - `target_connection`, `response_parser`, `target_identity`: HTTP/1.1 towards targets;
//! - `probe`: identifies targets periodically;
//! - `coordination`, `readiness`: the endpoints of the node itself;
//! - [`Dialect`]: what clients and targets speak.

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

pub use dialect::{Dialect, NativeDialect, NodeEndpoint, ResponseJudgement, TargetIdentification};

use command::Command;
use control_loop::ControlLoop;
use log::info;
use phases::accept;
use postbarrow_node::DataNode;
use postbarrow_startup::Startup;
use postbarrow_state::{Name, Node};
use postbarrow_transport::{clock_ms, listen, random};
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
    stop_ms: (u64, u64),
}

impl DataPlane {
    /// Starts a node that speaks the product's own dialect.
    ///
    /// # Errors
    /// An address can't be bound, or a thread not started.
    pub fn start(startup: &Startup) -> io::Result<DataPlane> {
        DataPlane::start_with_dialect(startup, Arc::new(NativeDialect))
    }

    /// The same for clients and targets that speak another dialect.
    ///
    /// # Errors
    /// An address can't be bound, or a thread not started.
    pub fn start_with_dialect(
        startup: &Startup,
        dialect: Arc<dyn Dialect>,
    ) -> io::Result<DataPlane> {
        let (links, address) = startup.listen()?;
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
        let node = DataNode::new(own, startup.seeds.clone(), clock_ms()).with_lease(lease_ms);
        let control_loop = ControlLoop::new(node, shared.clone());
        thread::Builder::new().name("node".into()).spawn(move || control_loop.run(queue))?;
        let receiver = shared.clone();
        listen(links, move |envelope| {
            receiver.control_loop.send(Command::Envelope(envelope));
            true
        })?;
        if shared.dialect.target_identification().is_none() {
            let probed = shared.clone();
            thread::Builder::new().name("probes".into()).spawn(move || probe::run(probed))?;
        }
        if let Some(condition) = startup.readiness {
            accept::listen(TcpListener::bind(condition)?, shared.clone())?;
        }
        accept::listen(http, shared.clone())?;
        Ok(DataPlane { shared, stop_ms: startup.bounds.stop_ms() })
    }

    /// Other addresses that may lead to the control plane.
    pub fn seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared.control_loop.send(Command::Seeds(seeds));
    }

    /// Whether clients may be sent here.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// The address for clients.
    pub fn http(&self) -> SocketAddr {
        self.shared.own.http
    }

    /// Stops gracefully: the node becomes unready, requests in flight finish, then it ends.
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
        let (done, ended) = channel();
        self.shared.control_loop.send(Command::End { until_ms, done });
        let _ =
            ended.recv_timeout(Duration::from_millis(until_ms.saturating_sub(clock_ms()) + 100));
        info!("node: stopped");
    }
}
