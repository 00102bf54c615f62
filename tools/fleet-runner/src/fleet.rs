//! Every process of one deployment on this machine, and how they are started, reached and stopped.

use crate::addresses::{BIND_OFFSET, Ports, local};
use crate::cli::Cli;
use crate::deployment::{CONTROL_NODES, Deployment, zone};
use crate::endpoint_list::{Endpoint, EndpointList};
use crate::error::FleetError;
use crate::plan_text::plan_text;
use crate::process::{Launcher, Process, arguments};
use crate::relay::Relays;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use tools_shared::client_config;
use ureq::Agent;

/// How long a node may take to respond.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// The response of a control node to a submitted plan.
pub struct Submission {
    /// The HTTP status.
    pub status: u16,
    /// How long it took.
    pub took_ms: u64,
}

/// A response of a control node.
pub struct ControlResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub text: String,
}

/// Where clients reach a data node.
pub struct DataEndpoint {
    /// The node's zone.
    pub zone: &'static str,
    /// Its address for clients.
    pub http: String,
}

/// A line of the load generator's file of nodes.
impl Display for DataEndpoint {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{} {}", self.zone, self.http)
    }
}

/// Every process of one deployment on this machine, and what is known of each.
pub struct Fleet {
    /// The control nodes.
    pub control: Vec<Process>,
    /// The data nodes.
    pub data: Vec<Process>,
    /// The targets by their instance names, ended ones too.
    pub targets: BTreeMap<String, Process>,
    /// The platform's endpoint list.
    pub list: EndpointList,
    /// Starts the processes.
    pub launcher: Launcher,
    /// Sizes and rates.
    pub deployment: Deployment,
    /// The version of the plan in force.
    pub version: String,
    /// The fleet's ports.
    pub ports: Ports,
    /// The position of the next control node that comes back empty.
    pub next_control_position: u16,
    /// The relays between the processes.
    pub relays: Relays,
    /// For requests to control and data nodes.
    pub agent: Agent,
    /// The data nodes as clients reach them.
    pub data_endpoints: Vec<DataEndpoint>,
    last_target_port: u16,
    target_arguments: Vec<String>,
    /// Advertised ports of control and data nodes that have their relay.
    relayed: BTreeSet<u16>,
    _list_process: Process,
}

impl Fleet {
    /// Starts every process and brings the first plan into force.
    ///
    /// # Errors
    /// When a file, port or process is refused, or the first plan is not accepted in time.
    pub fn start(cli: &Cli, deployment: Deployment) -> Result<Fleet, FleetError> {
        let launcher = Launcher { programs: cli.programs.clone(), folder: cli.folder.clone() };
        let _ = std::fs::remove_dir_all(&launcher.folder);
        let records = format!("{}/records", launcher.folder);
        std::fs::create_dir_all(&records).map_err(FleetError::system(records.as_str()))?;
        launcher.set_variables(&cli.variables)?;
        let ports = Ports::new(cli.port);
        let list = EndpointList::new(&launcher.folder);
        list.write()?;
        let list_process = start_list(&launcher, &list, ports)?;
        let mut fleet = Fleet {
            control: Vec::new(),
            data: Vec::new(),
            targets: BTreeMap::new(),
            list,
            launcher,
            deployment,
            version: "v1".into(),
            ports,
            next_control_position: CONTROL_NODES as u16,
            relays: Relays::default(),
            agent: Agent::new_with_config(client_config(REQUEST_TIMEOUT).build()),
            data_endpoints: Vec::new(),
            last_target_port: ports.before_targets(),
            target_arguments: target_arguments(cli),
            relayed: BTreeSet::new(),
            _list_process: list_process,
        };
        let zone_delay = fleet.deployment.zone_delay;
        fleet.relays.change_rules(|rules| rules.zone_delay = zone_delay);
        fleet.start_processes()?;
        std::thread::sleep(Duration::from_secs(3));
        fleet.submit_first_plan(cli.routes)?;
        Ok(fleet)
    }

    /// Starts the targets, the control nodes and the data nodes, and writes the file of nodes.
    fn start_processes(&mut self) -> Result<(), FleetError> {
        for size in self.deployment.services {
            for at in 0..size.targets {
                self.add_target(size.service, zone(at), None)?;
            }
        }
        for at in 0..CONTROL_NODES {
            let arguments = self.control_arguments(at, at as u16)?;
            let name = format!("control-{at}");
            let process = self.launcher.start("postbarrow-control-plane", &name, arguments)?;
            self.control.push(process);
        }
        for at in 0..self.deployment.data_nodes {
            let arguments = self.data_arguments(at)?;
            let name = format!("data-{at}");
            let process = self.launcher.start("postbarrow-data-plane", &name, arguments)?;
            self.data.push(process);
            let http = local(self.ports.data_http(at)).to_string();
            self.data_endpoints.push(DataEndpoint { zone: zone(at), http });
        }
        let lines: Vec<String> = self.data_endpoints.iter().map(ToString::to_string).collect();
        Ok(std::fs::write(format!("{}/nodes", self.launcher.folder), lines.join("\n"))?)
    }

    fn submit_first_plan(&mut self, routes: usize) -> Result<(), FleetError> {
        let text = plan_text("v1", None, routes);
        for _ in 0..40 {
            if let Some(submission) = self.submit(&text)
                && submission.status == 200
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        Err(FleetError::FirstPlanNotInForce)
    }

    /// Starts a target and lists it, at this address or a new one; returns its instance name.
    ///
    /// # Errors
    /// When the target can't be started or the list not written.
    pub fn add_target(
        &mut self,
        service: &str,
        zone: &str,
        address: Option<String>,
    ) -> Result<String, FleetError> {
        let address = address.unwrap_or_else(|| {
            self.last_target_port += 1;
            let advertised = local(self.last_target_port);
            let bound = local(self.last_target_port + BIND_OFFSET);
            if let Err(error) = self.relays.relay_bytes(advertised, bound) {
                println!("fleet: relay {advertised}: {error}");
            }
            advertised.to_string()
        });
        let port = address.rsplit(':').next().and_then(|port| port.parse::<u16>().ok());
        let bound = local(port.unwrap_or(0) + BIND_OFFSET);
        let number = self.targets.len();
        let instance = format!("{service}-{number}");
        let mut arguments = arguments(&format!(
            "target --http {bound} --instance {instance} --service {service} --records {}/records/{instance} --seed {number}",
            self.launcher.folder,
        ));
        arguments.extend(self.target_arguments.iter().cloned());
        let process = self.launcher.start("stand-ins", &instance, arguments)?;
        self.targets.insert(instance.clone(), process);
        let row = Endpoint {
            instance: instance.clone(),
            service: service.into(),
            address,
            zone: zone.into(),
            draining: false,
        };
        self.list.rows.insert(instance.clone(), row);
        self.list.write()?;
        Ok(instance)
    }

    /// Two of the first three control nodes, which may be gone, and a data node that a fault
    /// does not take together with the one that starts.
    fn seeds(&self, at: usize) -> String {
        let count = self.deployment.data_nodes;
        let other = self.ports.data((at + count / 2) % count);
        let seeds = [self.ports.control(0), self.ports.control(1), other];
        let arguments = seeds.iter().map(|port| format!("--seed 127.0.0.1:{port}"));
        arguments.collect::<Vec<_>>().join(" ")
    }

    /// The arguments of a control node, whose relay is started. `position` decides the ports, so
    /// that a machine can come back at another address.
    ///
    /// # Errors
    /// When the relay can't be started.
    pub fn control_arguments(
        &mut self,
        at: usize,
        position: u16,
    ) -> Result<Vec<String>, FleetError> {
        let (address, http) = (self.ports.control(position), self.ports.control_http(position));
        self.relay(address, zone(at))?;
        Ok(arguments(&format!(
            "run --name control-{at} --zone {} --address 127.0.0.1:{address} --bind 127.0.0.1:{} --http 127.0.0.1:{http} --data {}/control-{at} --list http://127.0.0.1:{}/targets {}",
            zone(at),
            address + BIND_OFFSET,
            self.launcher.folder,
            self.ports.list(),
            self.seeds(at)
        )))
    }

    /// The arguments of a data node, whose relay is started.
    fn data_arguments(&mut self, at: usize) -> Result<Vec<String>, FleetError> {
        let (address, http) = (self.ports.data(at), self.ports.data_http(at));
        self.relay(address, zone(at))?;
        Ok(arguments(&format!(
            "--name data-{at} --zone {} --address 127.0.0.1:{address} --bind 127.0.0.1:{} --http 127.0.0.1:{http} {}",
            zone(at),
            address + BIND_OFFSET,
            self.seeds(at)
        )))
    }

    fn relay(&mut self, port: u16, zone: &str) -> Result<(), FleetError> {
        if !self.relayed.insert(port) {
            return Ok(());
        }
        let relayed = self.relays.relay_frames(local(port), local(port + BIND_OFFSET), zone);
        relayed.map_err(FleetError::system(format!("relay {port}")))
    }

    fn control_http(&self) -> Vec<String> {
        let running = self.control.iter().filter(|process| process.is_running());
        running.filter_map(|process| process.option("--http").cloned()).collect()
    }

    /// Submits a plan to the first control node that responds.
    pub fn submit(&self, text: &str) -> Option<Submission> {
        let start = Instant::now();
        for address in self.control_http() {
            let sent = self.agent.post(format!("http://{address}/plans")).send(text);
            if let Ok(response) = sent {
                let took_ms = start.elapsed().as_millis() as u64;
                return Some(Submission { status: response.status().as_u16(), took_ms });
            }
        }
        None
    }

    /// What the first control node that responds has at this path.
    pub fn get(&self, path: &str) -> Option<ControlResponse> {
        self.control_http().into_iter().find_map(|address| {
            let mut response = self.agent.get(format!("http://{address}{path}")).call().ok()?;
            let limit = 64 << 20;
            let text = response.body_mut().with_config().limit(limit).read_to_string().ok()?;
            Some(ControlResponse { status: response.status().as_u16(), text })
        })
    }

    /// Starts the load generator.
    ///
    /// # Errors
    /// When its program can't be started.
    pub fn start_load(&self, cli: &Cli) -> Result<Child, FleetError> {
        let rates = self.deployment.rates;
        let text = format!(
            "--nodes {0}/nodes --records {0}/records --seconds {1} --lookups {2} --postings {3} --uploads {4} --calls {5} --seed {6} --storm {7} --workers {8} --greedy {9} --greedy-rate {10} --upload-bytes {11} --leavers {12}",
            self.launcher.folder,
            cli.seconds,
            rates.lookups,
            rates.postings,
            rates.uploads,
            rates.calls,
            cli.seed,
            cli.storm,
            (rates.lookups / 2 + 96).min(600),
            cli.noisy_clients,
            rates.lookups * 10,
            cli.upload_bytes,
            cli.departing_per_s
        );
        let first = self.list.rows.values().find(|row| row.service == "catalogue");
        let direct = first.map(|row| format!(" --direct {}", row.address)).unwrap_or_default();
        Command::new(format!("{}/load-generator", self.launcher.programs))
            .args(arguments(&(text + &direct)))
            .spawn()
            .map_err(FleetError::system("load-generator"))
    }

    /// Stops the data and control nodes by SIGTERM and waits for their ends.
    pub fn stop(&mut self) {
        for process in self.data.iter().chain(&self.control) {
            process.signal(libc::SIGCONT);
            process.signal(libc::SIGTERM);
        }
        for process in self.data.iter_mut().chain(&mut self.control) {
            process.reap();
        }
    }
}

/// Starts the stand-in of the platform's endpoint list.
fn start_list(
    launcher: &Launcher,
    list: &EndpointList,
    ports: Ports,
) -> Result<Process, FleetError> {
    let text = format!(
        "list --http 127.0.0.1:{} --file {} --trouble {}/trouble",
        ports.list(),
        list.file(),
        launcher.folder
    );
    launcher.start("stand-ins", "list", arguments(&text))
}

/// What every target gets beside its own arguments.
fn target_arguments(cli: &Cli) -> Vec<String> {
    if cli.per_mille == 0 {
        return Vec::new();
    }
    arguments(&format!("--faults {} --per-mille {}", cli.target_faults, cli.per_mille))
}
