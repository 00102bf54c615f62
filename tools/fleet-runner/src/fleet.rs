use crate::Cli;
use crate::clocks;
use crate::list::{List, Row};
use crate::process::Process;
use crate::relay::Relays;
use crate::spec::{Spec, ZONES, plan};
use crate::words::{BOUND, local};
use std::collections::{BTreeMap, BTreeSet};
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use ureq::Agent;

/// Every process of one deployment on this machine, and what is known of each.
pub struct Fleet {
    pub control: Vec<Process>,
    pub data: Vec<Process>,
    pub targets: BTreeMap<String, Process>,
    pub list: List,
    pub folder: String,
    pub programs: String,
    pub spec: Spec,
    pub version: String,
    pub next_port: u16,
    pub next_place: u16,
    pub target_words: Vec<String>,
    pub port: u16,
    _list: Process,
    pub relays: Relays,
    /// Places of control machines, and targets, that have their relay already.
    pub relayed: BTreeSet<u16>,
    pub agent: Agent,
    /// Each data node's zone and address for callers.
    pub zones: Vec<String>,
}

pub struct Submitted {
    pub status: u16,
    pub took_ms: u64,
}

impl Fleet {
    pub fn start(cli: &Cli, spec: Spec) -> Result<Fleet, String> {
        let folder = cli.folder.clone();
        let _ = std::fs::remove_dir_all(&folder);
        let records = format!("{folder}/records");
        std::fs::create_dir_all(&records).map_err(|error| format!("{records}: {error}"))?;
        clocks::prepare(&folder, &cli.variables)?;
        let list = List::new(&folder);
        list.write()?;
        let words = |text: String| text.split(' ').map(str::to_string).collect::<Vec<String>>();
        let list_words = words(format!(
            "list --http 127.0.0.1:{} --file {} --trouble {folder}/trouble",
            cli.port,
            list.file()
        ));
        let listed = Process::start(&cli.programs, "stand-ins", "list", list_words, &folder)?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(Duration::from_secs(8)))
            .build();
        let mut fleet = Fleet {
            control: Vec::new(),
            data: Vec::new(),
            targets: BTreeMap::new(),
            list,
            folder,
            programs: cli.programs.clone(),
            spec,
            version: "v1".into(),
            next_port: cli.port + 1_000,
            next_place: 3,
            target_words: Vec::new(),
            port: cli.port,
            _list: listed,
            relays: Relays::default(),
            relayed: BTreeSet::new(),
            agent: Agent::new_with_config(config),
            zones: Vec::new(),
        };
        if cli.per_mille > 0 {
            fleet.target_words =
                words(format!("--faults {} --per-mille {}", cli.target_faults, cli.per_mille));
        }
        let zone_delay = fleet.spec.zone_delay;
        fleet.relays.rule(|rules| rules.zone_delay = zone_delay);
        for (service, count) in fleet.spec.targets {
            for at in 0..count {
                fleet.add_target(service, ZONES[at % ZONES.len()], None)?;
            }
        }
        for at in 0..3 {
            let words = fleet.control_words(at, at as u16)?;
            let process = Process::start(
                &fleet.programs,
                "postbarrow-control-plane",
                &format!("control-{at}"),
                words,
                &fleet.folder,
            )?;
            fleet.control.push(process);
        }
        for at in 0..fleet.spec.data_nodes {
            let zone = ZONES[at % ZONES.len()];
            let (address, http) = (cli.port + 200 + at as u16, cli.port + 400 + at as u16);
            let words = words(format!(
                "--name data-{at} --zone {zone} --address 127.0.0.1:{address} --bind 127.0.0.1:{} --http 127.0.0.1:{http} {}",
                address + BOUND,
                fleet.seeds(at)
            ));
            fleet.relay(address, zone)?;
            let name = format!("data-{at}");
            let process = Process::start(
                &fleet.programs,
                "postbarrow-data-plane",
                &name,
                words,
                &fleet.folder,
            )?;
            fleet.data.push(process);
            fleet.zones.push(format!("{zone} 127.0.0.1:{http}"));
        }
        let nodes = format!("{}/nodes", fleet.folder);
        std::fs::write(nodes, fleet.zones.join("\n")).map_err(|error| error.to_string())?;
        std::thread::sleep(Duration::from_secs(3));
        fleet.first_plan(cli)?;
        Ok(fleet)
    }

    fn first_plan(&mut self, cli: &Cli) -> Result<(), String> {
        let text = plan("v1", None, cli.routes);
        for _ in 0..40 {
            if let Some(told) = self.submit(&text)
                && told.status == 200
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        Err("the first plan was never in force".into())
    }

    pub fn add_target(
        &mut self,
        service: &str,
        zone: &str,
        address: Option<String>,
    ) -> Result<String, String> {
        let address = address.unwrap_or_else(|| {
            self.next_port += 1;
            let (told, bound) = (local(self.next_port), local(self.next_port + BOUND));
            if let Err(error) = self.relays.bytes(told, bound) {
                println!("fleet: relay {told}: {error}");
            }
            told.to_string()
        });
        let bound = address.rsplit(':').next().and_then(|port| port.parse::<u16>().ok());
        let bound = local(bound.unwrap_or(0) + BOUND);
        let instance = format!("{service}-{}", self.targets.len());
        let text = format!(
            "target --http {bound} --instance {instance} --service {service} --records {}/records/{instance} --seed {}",
            self.folder,
            self.targets.len()
        );
        let mut words: Vec<String> = text.split(' ').map(str::to_string).collect();
        words.extend(self.target_words.iter().cloned());
        let process = Process::start(&self.programs, "stand-ins", &instance, words, &self.folder)?;
        self.targets.insert(instance.clone(), process);
        let row = Row {
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

    fn control_http(&self) -> Vec<String> {
        let port = |process: &Process| {
            let at = process.words().iter().position(|word| word == "--http")?;
            process.words().get(at + 1).cloned()
        };
        self.control.iter().filter(|process| process.is_running()).filter_map(port).collect()
    }

    pub fn submit(&self, text: &str) -> Option<Submitted> {
        let start = Instant::now();
        for address in self.control_http() {
            let sent = self.agent.post(format!("http://{address}/plans")).send(text);
            if let Ok(response) = sent {
                let took_ms = start.elapsed().as_millis() as u64;
                return Some(Submitted { status: response.status().as_u16(), took_ms });
            }
        }
        None
    }

    pub fn get(&self, path: &str) -> Option<(u16, String)> {
        self.control_http().into_iter().find_map(|address| {
            let mut response = self.agent.get(format!("http://{address}{path}")).call().ok()?;
            let limit = 64 << 20;
            let text = response.body_mut().with_config().limit(limit).read_to_string().ok()?;
            Some((response.status().as_u16(), text))
        })
    }

    pub fn start_load(&self, cli: &Cli) -> Result<Child, String> {
        let spec = &self.spec;
        let text = format!(
            "--nodes {0}/nodes --records {0}/records --seconds {1} --lookups {2} --postings {3} --uploads {4} --calls {5} --seed {6} --storm {7} --workers {8} --greedy {9} --greedy-rate {10} --upload-bytes {11} --leavers {12}",
            self.folder,
            cli.seconds,
            spec.lookups,
            spec.postings,
            spec.uploads,
            spec.calls,
            cli.seed,
            cli.storm,
            (spec.lookups / 2 + 96).min(600),
            cli.greedy,
            spec.lookups * 10,
            cli.upload_bytes,
            cli.leavers
        );
        let first = self.list.rows.values().find(|row| row.service == "catalogue");
        let direct = first.map(|row| format!(" --direct {}", row.address)).unwrap_or_default();
        Command::new(format!("{}/load-generator", self.programs))
            .args((text + &direct).split(' '))
            .spawn()
            .map_err(|error| format!("load-generator: {error}"))
    }

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
