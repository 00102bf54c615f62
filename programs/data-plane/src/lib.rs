//! The data plane: takes requests, finds their route, passes each to a proved target.

#![deny(missing_docs)]

mod answer;
mod calls;
mod core;
mod dialect;
mod downstream;
mod fair;
mod forward;
mod pools;
mod probe;
mod proof;
mod read_call;
mod share;
mod target_connection;

#[cfg(test)]
mod tests;

pub use dialect::{Dialect, NativeDialect, NodeEndpoint, ResponseJudgement, TargetIdentification};

use crate::core::{Command, Core};
use log::info;
use postbarrow_node::DataNode;
use postbarrow_startup::Startup;
use postbarrow_state::{Name, Node};
use postbarrow_transport::{clock_ms, listen, random};
use share::Shared;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::*;
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

    /// The same node for callers and targets that speak another dialect.
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
        info!("node: {} is {:016x}, zone {}", own.name, own.incarnation, own.zone);
        let (commands, queue) = channel();
        let shared = Arc::new(Shared::new(own.clone(), dialect, &startup.bounds, commands));
        let hold_ms = startup.bounds.node_lease_ms();
        let node = DataNode::new(own, startup.seeds.clone(), clock_ms()).with_lease(hold_ms);
        let core = Core::new(node, shared.clone());
        thread::Builder::new().name("node".into()).spawn(move || core.run(queue))?;
        let hand = shared.clone();
        listen(links, move |envelope| {
            hand.command(Command::Envelope(envelope));
            true
        })?;
        if shared.dialect.target_identification().is_none() {
            let probing = shared.clone();
            thread::Builder::new().name("probes".into()).spawn(move || probe::run(probing))?;
        }
        if let Some(condition) = startup.readiness {
            downstream::listen(TcpListener::bind(condition)?, shared.clone())?;
        }
        downstream::listen(http, shared.clone())?;
        Ok(DataPlane { shared, stop_ms: startup.bounds.stop_ms() })
    }

    /// Other addresses that may lead to the control plane.
    pub fn seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared.command(Command::Seeds(seeds));
    }

    /// Whether clients may be sent here.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Where callers reach it.
    pub fn http(&self) -> SocketAddr {
        self.shared.own.http
    }

    /// Unready first, then requests in flight finish, then the node ends.
    pub fn stop(&self) {
        info!("node: stops");
        self.shared.stopping.store(true, SeqCst);
        self.shared.command(Command::Stop);
        let (unready_ms, end_ms) = self.stop_ms;
        let until_ms = clock_ms() + end_ms;
        thread::sleep(Duration::from_millis(unready_ms));
        self.shared.closed.store(true, SeqCst);
        let _woken = TcpStream::connect(self.shared.own.http);
        while self.shared.downstreams.load(SeqCst) > 0 && clock_ms() < until_ms {
            thread::sleep(Duration::from_millis(20));
        }
        let (done, ended) = channel();
        self.shared.command(Command::End { until_ms, done });
        let _ =
            ended.recv_timeout(Duration::from_millis(until_ms.saturating_sub(clock_ms()) + 100));
        info!("node: ends");
    }
}
