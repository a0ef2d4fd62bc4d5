//! Guards against example deployments that the program refuses or whose files contradict each
//! other.

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

fn file_paths(deployment: &str, folder: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let folder = root.join(deployment).join(folder);
    let mut paths: Vec<PathBuf> =
        std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

fn read_deployment(deployment: &str) -> Deployment {
    let (mut controls, mut entries, mut agents) = (Vec::new(), Vec::new(), Vec::new());
    for file in file_paths(deployment, "settings") {
        match yuccatack_settings::load(file).unwrap() {
            Settings::Control(control) => controls.push(control),
            Settings::Entry(entry) => entries.push(entry),
            Settings::Agent(agent) => agents.push(agent),
        }
    }
    let mut records = Vec::new();
    for file in file_paths(deployment, "records") {
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
    [("timing", read_deployment("timing"), 4), ("lending", read_deployment("lending"), 3)]
}

/// Guards against example files that `check` rejects.
#[test]
fn check_finds_no_problem() {
    for deployment in ["timing", "lending"] {
        let mut paths = file_paths(deployment, "settings");
        paths.extend(file_paths(deployment, "records"));
        let mut arguments = vec!["check"];
        arguments.extend(paths.iter().map(|path| path.to_str().unwrap()));
        let outcome = run(&arguments);
        assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    }
}

/// Guards against examples whose numbers of nodes, data centres, organisations, slots or
/// connections differ from those of the deployment that they describe.
#[test]
fn deployment_sizes() {
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

/// Guards against two processes of a deployment with the same node name or address.
#[test]
fn names_and_addresses_distinct() {
    for (name, deployment, _) in deployments() {
        let mut nodes = BTreeSet::new();
        let mut addresses: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut add = |node: &NodeName, node_addresses: &[Option<SocketAddr>]| {
            assert!(nodes.insert(node.clone()), "{name}: {node} is used twice");
            for address in node_addresses.iter().flatten() {
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

/// Guards against settings and membership records that list different control replicas.
#[test]
fn replica_lists_equal() {
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

/// Guards against a record that is refused because it refers to a later or missing record.
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

/// Guards against an agent whose service has no record, or one with other slot or connection
/// counts.
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
            assert!(found, "{name}: no matching record of service {}", agent.service);
        }
    }
}

/// Builds a cluster with one worker for each agent, in its data centre, and three workers per rack.
fn build_cluster(deployment: &Deployment, task_capacity: Resources) -> Cluster {
    let mut cluster = Cluster::default();
    for (number, agent) in deployment.agents.iter().enumerate() {
        let data_centre = &agent.data_centre;
        let members = cluster.workers().filter(|(_, worker)| {
            cluster.data_centre_name(worker.data_centre) == Some(data_centre)
        });
        let rack = RackName::new(&format!("rack-{}", members.count() / 3)).unwrap();
        let name = WorkerName::new(&format!("worker-{number}")).unwrap();
        cluster.add_worker(&name, data_centre, &rack, task_capacity);
    }
    cluster
}

/// Returns the capacity of each worker; it is zero for the reserve workers of each data centre.
fn capacity_without_reserve(cluster: &Cluster, reserve_worker_count: u32) -> Vec<Resources> {
    let mut seen_counts = vec![0; cluster.data_centre_count() as usize];
    let available = |(_, worker): (u32, &WorkerCapacity)| {
        let seen_count = &mut seen_counts[worker.data_centre as usize];
        *seen_count += 1;
        if *seen_count <= reserve_worker_count { Resources::default() } else { worker.total }
    };
    cluster.workers().map(available).collect()
}

/// Guards against guarantees that together exceed the capacity of the deployment's workers.
#[test]
fn guarantees_fit_together() {
    for (name, deployment, _) in deployments() {
        // The workers have 32 cores and 128 GB, or 128 cores and 512 GB, as on the design page.
        let factor = if name == "timing" { 1 } else { 4 };
        let capacity = Resources {
            cores_milli: 32_000 * factor,
            memory_bytes: 128_000_000_000 * factor,
            accelerator_count: 8,
        };
        let cluster = build_cluster(&deployment, capacity);
        let policy = deployment.records.iter().find_map(|(_, record)| match record {
            Record::Policy(policy) => Some(policy.reserve_worker_count),
            _ => None,
        });
        let mut available = capacity_without_reserve(&cluster, policy.unwrap());
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

/// Guards against deployments with the same priorities: `timing` has to weight completion more than
/// fragmentation, and `lending` the reverse.
#[test]
fn policy_weights_differ() {
    let weights = |deployment: &Deployment| {
        let policy = deployment.records.iter().find_map(|(_, record)| match record {
            Record::Policy(policy) => Some(policy.clone()),
            _ => None,
        });
        policy.map(|policy| (policy.completion_weight, policy.fragmentation_weight)).unwrap()
    };
    let (completion, fragmentation) = weights(&read_deployment("timing"));
    assert!(completion > fragmentation);
    let (completion, fragmentation) = weights(&read_deployment("lending"));
    assert!(fragmentation > completion);
}
