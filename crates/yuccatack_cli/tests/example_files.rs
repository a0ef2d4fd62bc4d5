//! Guards against examples that the program refuses or that do not fit together.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use support::run;
use yuccatack_cli::ExitStatus;
use yuccatack_core::prelude::*;
use yuccatack_placement::{Cluster, GuaranteedShape, WorkerCapacity, pack};
use yuccatack_records::{Change, ChangeOutcome, Operation, Record, RecordStore};
use yuccatack_settings::{AgentSettings, ControlSettings, EntrySettings, Settings};

struct Deployment {
    controls: Vec<ControlSettings>,
    entries: Vec<EntrySettings>,
    agents: Vec<AgentSettings>,
    records: Vec<(String, Record)>,
}

fn files(deployment: &str, folder: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let folder = root.join(deployment).join(folder);
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    files
}

fn read(deployment: &str) -> Deployment {
    let (mut controls, mut entries, mut agents) = (Vec::new(), Vec::new(), Vec::new());
    for file in files(deployment, "settings") {
        match yuccatack_settings::load(file).unwrap() {
            Settings::Control(control) => controls.push(control),
            Settings::Entry(entry) => entries.push(entry),
            Settings::Agent(agent) => agents.push(agent),
        }
    }
    let mut records = Vec::new();
    for file in files(deployment, "records") {
        let text = std::fs::read_to_string(file).unwrap();
        for document in serde_yaml_ng::Deserializer::from_str(&text) {
            let document = serde_json::Value::deserialize(document).unwrap().to_string();
            let record = yuccatack_records::decode(document.as_bytes()).unwrap();
            records.push((document, record));
        }
    }
    Deployment { controls, entries, agents, records }
}

fn deployments() -> [(&'static str, Deployment, usize); 2] {
    [("timing", read("timing"), 4), ("lending", read("lending"), 3)]
}

#[test]
fn check_finds_no_problem() {
    for deployment in ["timing", "lending"] {
        let mut paths = files(deployment, "settings");
        paths.extend(files(deployment, "records"));
        let mut arguments = vec!["check"];
        arguments.extend(paths.iter().map(|path| path.to_str().unwrap()));
        let outcome = run(&arguments);
        assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    }
}

#[test]
fn todays_sizes() {
    for (name, deployment, data_centre_count) in deployments() {
        assert_eq!(deployment.controls.len(), 3, "{name}");
        assert_eq!(deployment.entries.len(), data_centre_count, "{name}");
        assert_eq!(deployment.agents.len(), 11, "{name}");
        let data_centres: BTreeSet<&DataCentreName> =
            deployment.agents.iter().map(|agent| &agent.data_centre).collect();
        assert_eq!(data_centres.len(), data_centre_count, "{name}");
        for agent in &deployment.agents {
            assert_eq!((agent.slot_count, agent.connection_count), (8, 64), "{name}");
        }
        let is_organisation =
            |(_, record): &&(String, Record)| matches!(record, Record::Organisation(_));
        assert_eq!(deployment.records.iter().filter(is_organisation).count(), 4, "{name}");
    }
}

#[test]
fn names_and_addresses_distinct() {
    for (name, deployment, _) in deployments() {
        let mut nodes = BTreeSet::new();
        let mut addresses: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut add = |node: &NodeName, own: &[Option<SocketAddr>]| {
            assert!(nodes.insert(node.clone()), "{name}: {node} is used twice");
            for address in own.iter().flatten() {
                assert!(addresses.insert(*address), "{name}: {address} is used twice");
            }
        };
        for control in &deployment.controls {
            let own = [control.listen_address, control.worker_address].map(Some);
            add(&control.node, &[own.as_slice(), &[control.metrics_address]].concat());
        }
        for entry in &deployment.entries {
            add(&entry.node, &[Some(entry.listen_address), entry.metrics_address]);
        }
        for agent in &deployment.agents {
            let own = [agent.listen_address, agent.minion_address].map(Some);
            add(&agent.node, &[own.as_slice(), &[agent.metrics_address]].concat());
        }
    }
}

#[test]
fn replicas_agree() {
    for (name, deployment, _) in deployments() {
        let replicas = &deployment.controls[0].initial_replicas;
        let addresses: Vec<SocketAddr> = replicas.iter().map(|replica| replica.address).collect();
        for control in &deployment.controls {
            assert_eq!(&control.initial_replicas, replicas, "{name}");
        }
        let entries = deployment.entries.iter().map(|entry| &entry.control_addresses);
        let agents = deployment.agents.iter().map(|agent| &agent.control_addresses);
        for controls in entries.chain(agents) {
            assert_eq!(controls, &addresses, "{name}");
        }
        let membership = deployment.records.iter().find_map(|(_, record)| match record {
            Record::Membership(membership) => Some(membership),
            _ => None,
        });
        let listed: Vec<SocketAddr> = membership
            .unwrap()
            .replicas
            .iter()
            .map(|replica| replica.address.parse().unwrap())
            .collect();
        assert_eq!(listed, addresses, "{name}");
    }
}

/// Guards against records that refer to others which come later or not at all.
#[test]
fn records_accepted_in_order() {
    for (name, deployment, _) in deployments() {
        let mut store = RecordStore::default();
        for (number, (document, _)) in deployment.records.iter().enumerate() {
            let change = Change {
                change_id: ChangeId::new(&format!("c-{number}")),
                operation: Operation::Submit,
                replaces_generation: Generation::default(),
                document: document.as_str().into(),
            };
            let outcome = store.apply(&change, TimestampMs::new(1));
            assert!(
                matches!(outcome, ChangeOutcome::Accepted { .. }),
                "{name}: {document}: {outcome:?}"
            );
        }
    }
}

#[test]
fn services_have_records() {
    for (name, deployment, _) in deployments() {
        for agent in &deployment.agents {
            let found = deployment.records.iter().any(|(_, record)| match record {
                Record::Service(service) => {
                    service.name == agent.service
                        && service.slot_count == agent.slot_count
                        && service.connection_count == agent.connection_count
                }
                _ => false,
            });
            assert!(found, "{name}: no fitting record of service {}", agent.service);
        }
    }
}

/// 11 workers spread over the data centres, three to a rack.
fn workers(deployment: &Deployment, task_capacity: Resources) -> Cluster {
    let mut cluster = Cluster::default();
    for (number, agent) in deployment.agents.iter().enumerate() {
        let data_centre = &agent.data_centre;
        let members = cluster
            .workers()
            .filter(|(_, cell)| cluster.data_centre_name(cell.data_centre) == Some(data_centre));
        let rack = RackName::new(&format!("rack-{}", members.count() / 3)).unwrap();
        let name = WorkerName::new(&format!("worker-{number}")).unwrap();
        cluster.add_worker(&name, data_centre, &rack, task_capacity);
    }
    cluster
}

/// What the workers offer without the reserve of each data centre.
fn offered(cluster: &Cluster, reserve_worker_count: u32) -> Vec<Resources> {
    let mut seen = vec![0; cluster.data_centre_count() as usize];
    let offer = |(_, cell): (u32, &WorkerCapacity)| {
        let seen = &mut seen[cell.data_centre as usize];
        *seen += 1;
        if *seen <= reserve_worker_count { Resources::default() } else { cell.total }
    };
    cluster.workers().map(offer).collect()
}

/// Guards against guarantees that the platform of the deployment cannot give together.
#[test]
fn guarantees_fit_together() {
    for (name, deployment, _) in deployments() {
        // 32 cores and 128 GB, or 128 cores and 512 GB, from the design page.
        let factor = if name == "timing" { 1 } else { 4 };
        let capacity = Resources {
            cores_milli: 32_000 * factor,
            memory_bytes: 128_000_000_000 * factor,
            accelerator_count: 8,
        };
        let cluster = workers(&deployment, capacity);
        let policy = deployment.records.iter().find_map(|(_, record)| match record {
            Record::Policy(policy) => Some(policy.reserve_worker_count),
            _ => None,
        });
        let mut available = offered(&cluster, policy.unwrap());
        let mut shapes = Vec::new();
        for (_, record) in &deployment.records {
            let Record::Guarantee(guarantee) = record else { continue };
            let shape = GuaranteedShape { shape: guarantee.shape, data_centres: Vec::new() };
            shapes.extend(std::iter::repeat_n(shape, guarantee.shape_count as usize));
        }
        assert!(shapes.len() > 4, "{name}: only {} shapes", shapes.len());
        let packed = pack(&cluster, &mut available, &shapes);
        assert!(packed.is_ok(), "{name}: {packed:?}");
    }
}

#[test]
fn policies_differ() {
    let weights = |deployment: &Deployment| {
        let policy = deployment.records.iter().find_map(|(_, record)| match record {
            Record::Policy(policy) => Some(policy.clone()),
            _ => None,
        });
        policy.map(|policy| (policy.completion_weight, policy.fragmentation_weight)).unwrap()
    };
    let (completion, fragmentation) = weights(&read("timing"));
    assert!(completion > fragmentation);
    let (completion, fragmentation) = weights(&read("lending"));
    assert!(fragmentation > completion);
}
