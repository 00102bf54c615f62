//! All processes of one deployment on this machine: starting, reaching and stopping them.

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

/// Timeout of a request to a control node; requests for readiness set their own.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// The response of a control node to a submitted plan.
pub struct Submission {
    /// The HTTP status of the response.
    pub status: u16,
    /// Time from the first attempt to the response, in milliseconds.
    pub took_ms: u64,
}

/// A response of a control node.
pub struct ControlResponse {
    /// The HTTP status of the response.
    pub status: u16,
    /// The body of the response.
    pub text: String,
}

/// The zone and address by which clients reach a data node.
pub struct DataEndpoint {
    /// The zone of the data node.
    pub zone: &'static str,
    /// The IP address and port on which the data node serves clients.
    pub http: String,
}

/// Formats the endpoint as a line of the load generator's file of nodes.
impl Display for DataEndpoint {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{} {}", self.zone, self.http)
    }
}

/// All processes of one deployment on this machine, with their addresses and relays.
pub struct Fleet {
    /// The processes of the control nodes.
    pub control: Vec<Process>,
    /// The processes of the data nodes.
    pub data: Vec<Process>,
    /// The processes of all targets that were ever started, by their instance names.
    pub targets: BTreeMap<String, Process>,
    /// The contents of the platform's endpoint list.
    pub list: EndpointList,
    /// The launcher of all processes.
    pub launcher: Launcher,
    /// The sizes and rates of the deployment.
    pub deployment: Deployment,
    /// The version of the last accepted plan; the first plan's before any is accepted.
    pub version: String,
    /// The ports of all processes.
    pub ports: Ports,
    /// The position, which decides the ports, of the next control node that is started again with
    /// an empty disk.
    pub next_control_position: u16,
    /// The relays through which the processes reach each other.
    pub relays: Relays,
    /// The HTTP client for requests to control and data nodes.
    pub agent: Agent,
    /// The endpoints of the data nodes for clients.
    pub data_endpoints: Vec<DataEndpoint>,
    /// The advertised port of the target that was added last at a new address.
    last_target_port: u16,
    /// The arguments that all targets have in common.
    target_arguments: Vec<String>,
    /// Advertised ports of the control and data nodes whose relay was started.
    relayed_ports: BTreeSet<u16>,
    /// The stand-in of the endpoint list, kept here so that it runs until the fleet is dropped.
    _list_process: Process,
}

impl Fleet {
    /// Starts every process and submits the first plan until it is accepted.
    ///
    /// # Errors
    /// When the system refuses a file, port or process, or no submission of the first plan is
    /// accepted.
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
            relayed_ports: BTreeSet::new(),
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
            for index in 0..size.targets {
                self.add_target(size.service, zone(index), None)?;
            }
        }
        for index in 0..CONTROL_NODES {
            let arguments = self.control_arguments(index, index as u16)?;
            let name = format!("control-{index}");
            let process = self.launcher.start("postbarrow-control-plane", &name, arguments)?;
            self.control.push(process);
        }
        for index in 0..self.deployment.data_nodes {
            let arguments = self.data_arguments(index)?;
            let name = format!("data-{index}");
            let process = self.launcher.start("postbarrow-data-plane", &name, arguments)?;
            self.data.push(process);
            let http = local(self.ports.data_http(index)).to_string();
            self.data_endpoints.push(DataEndpoint { zone: zone(index), http });
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
        Err(FleetError::FirstPlanNotAccepted)
    }

    /// Starts a target and adds it to the endpoint list, at this address or a new one; returns its
    /// instance name.
    ///
    /// # Errors
    /// When the target can't be started or the list can't be written.
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

    /// Returns the seed arguments of the control or data node at this index: the addresses at which
    /// two control nodes were first started, which may no longer be in use, and a data node that no
    /// fault restarts together with the node.
    fn seed_arguments(&self, index: usize) -> String {
        let count = self.deployment.data_nodes;
        let other = self.ports.data((index + count / 2) % count);
        let seeds = [self.ports.control(0), self.ports.control(1), other];
        let arguments = seeds.iter().map(|port| format!("--seed 127.0.0.1:{port}"));
        arguments.collect::<Vec<_>>().join(" ")
    }

    /// Starts the relay of a control node and returns the node's arguments. `position` decides the
    /// ports, so that the node can be started again at another address.
    ///
    /// # Errors
    /// When the relay can't be started.
    pub fn control_arguments(
        &mut self,
        index: usize,
        position: u16,
    ) -> Result<Vec<String>, FleetError> {
        let (address, http) = (self.ports.control(position), self.ports.control_http(position));
        self.start_relay(address, zone(index))?;
        Ok(arguments(&format!(
            "run --name control-{index} --zone {} --address 127.0.0.1:{address} --bind 127.0.0.1:{} --http 127.0.0.1:{http} --data {}/control-{index} --list http://127.0.0.1:{}/targets {}",
            zone(index),
            address + BIND_OFFSET,
            self.launcher.folder,
            self.ports.list(),
            self.seed_arguments(index)
        )))
    }

    /// Starts the relay of a data node and returns the node's arguments.
    fn data_arguments(&mut self, index: usize) -> Result<Vec<String>, FleetError> {
        let (address, http) = (self.ports.data(index), self.ports.data_http(index));
        self.start_relay(address, zone(index))?;
        Ok(arguments(&format!(
            "--name data-{index} --zone {} --address 127.0.0.1:{address} --bind 127.0.0.1:{} --http 127.0.0.1:{http} {}",
            zone(index),
            address + BIND_OFFSET,
            self.seed_arguments(index)
        )))
    }

    /// Starts the relay of a node's advertised port, unless it was started before.
    fn start_relay(&mut self, port: u16, zone: &str) -> Result<(), FleetError> {
        if !self.relayed_ports.insert(port) {
            return Ok(());
        }
        let relayed = self.relays.relay_frames(local(port), local(port + BIND_OFFSET), zone);
        relayed.map_err(FleetError::system(format!("relay {port}")))
    }

    /// Returns the HTTP addresses of the control nodes that are running.
    fn control_http(&self) -> Vec<String> {
        let running = self.control.iter().filter(|process| process.is_running());
        running.filter_map(|process| process.option("--http").cloned()).collect()
    }

    /// Submits a plan to the control nodes in turn until one responds; `None` if none does.
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

    /// Requests this path from the control nodes in turn until one responds; `None` if none does.
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
    /// When the program of the load generator can't be started.
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

    /// Ends the data and control nodes by SIGTERM and waits until they have exited.
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

/// Returns the arguments that all targets have in common: the names and the rate of their faults;
/// none if the rate is 0.
fn target_arguments(cli: &Cli) -> Vec<String> {
    if cli.per_mille == 0 {
        return Vec::new();
    }
    arguments(&format!("--faults {} --per-mille {}", cli.target_faults, cli.per_mille))
}
