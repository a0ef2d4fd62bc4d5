//! The roles as separate processes, and test doubles of workers and a minion in this process.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};
use tempfile::TempDir;
use yuccatack_core::prelude::*;
use yuccatack_leases::WorkerRegistration;
use yuccatack_stand_ins::{MinionBehaviour, MinionStandIn, WorkerSettings, WorkerStandIn};

use crate::process::{Sample, sample};

const CONTROL_COUNT: usize = 3;

/// The running role processes, which are killed on drop.
pub struct Roles {
    processes: Vec<(&'static str, Child)>,
    _minion: MinionStandIn,
    _workers: Vec<WorkerStandIn>,
    _folder: TempDir,
}

impl Roles {
    /// Starts three control replicas, an entry, an agent, a minion and `worker_count` workers.
    pub async fn start(worker_count: usize) -> Result<Self, Box<dyn Error>> {
        let folder = tempfile::tempdir()?;
        let addresses = free_addresses(2 * CONTROL_COUNT + 2)?;
        let (control, rest) = addresses.split_at(CONTROL_COUNT);
        let (workers, rest) = rest.split_at(CONTROL_COUNT);
        let minion = MinionStandIn::start(MinionBehaviour::default()).await?;
        let mut processes = Vec::new();
        for number in 1..=CONTROL_COUNT {
            let settings = control_settings(number, control, workers, folder.path());
            processes.push(("control", spawn(folder.path(), &settings)?));
        }
        let entry = json!({
            "role": "entry", "node": "entry-1", "data_centre": "putrajaya",
            "listen_address": rest[0], "control_addresses": control,
        });
        processes.push(("entry", spawn(folder.path(), &entry)?));
        let agent = json!({
            "role": "agent", "node": "agent-1", "data_centre": "putrajaya",
            "service": "results", "minion": "minion-1", "minion_address": minion.address(),
            "listen_address": rest[1], "control_addresses": control,
        });
        processes.push(("agent", spawn(folder.path(), &agent)?));
        let workers = (0..worker_count)
            .map(|number| worker(number, workers))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self { processes, _minion: minion, _workers: workers, _folder: folder })
    }

    /// Reads the resource usage of each process.
    pub fn samples(&self) -> Result<Vec<Sample>, Box<dyn Error>> {
        self.processes.iter().map(|(role, child)| sample(role, child.id())).collect()
    }
}

impl Drop for Roles {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            // Killing fails only if the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn control_settings(
    number: usize,
    control: &[SocketAddr],
    workers: &[SocketAddr],
    folder: &Path,
) -> Value {
    let replicas: Vec<Value> = control
        .iter()
        .enumerate()
        .map(|(index, address)| json!({"replica_id": index + 1, "address": address}))
        .collect();
    json!({
        "role": "control", "node": format!("control-{number}"), "data_centre": "putrajaya",
        "replica_id": number, "listen_address": control[number - 1],
        "worker_address": workers[number - 1], "initial_replicas": replicas,
        "data_folder": folder.join(format!("data-{number}")),
    })
}

fn spawn(folder: &Path, settings: &Value) -> Result<Child, Box<dyn Error>> {
    let name = settings["node"].as_str().ok_or("settings have no `node`")?;
    let path = folder.join(format!("{name}.yaml"));
    std::fs::write(&path, settings.to_string())?;
    let child = Command::new(binary_path()?)
        .arg("run")
        .arg(path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok(child)
}

/// Returns the path of the `yuccatack` binary of the same build profile as this example.
fn binary_path() -> Result<PathBuf, Box<dyn Error>> {
    let example = std::env::current_exe()?;
    let folder =
        example.parent().and_then(Path::parent).ok_or("the example is not in a target folder")?;
    Ok(folder.join("yuccatack"))
}

fn worker(number: usize, control: &[SocketAddr]) -> Result<WorkerStandIn, Box<dyn Error>> {
    let registration = WorkerRegistration {
        worker: WorkerName::new(&format!("worker-{number}"))?,
        incarnation: Incarnation::random(),
        data_centre: DataCentreName::new("putrajaya")?,
        rack: RackName::new(&format!("rack-{}", number / 3))?,
        resources: Resources {
            cores_milli: 32_000,
            memory_bytes: 128_000_000_000,
            accelerator_count: 8,
        },
    };
    // The list of replicas is rotated by the number of the worker, so that the workers connect to
    // different replicas first.
    let mut control_addresses = control.to_vec();
    control_addresses.rotate_left(number % control.len());
    Ok(WorkerStandIn::start(WorkerSettings {
        registration,
        control_addresses,
        default_run_time: DurationMs::from_seconds(1),
    }))
}

fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, Box<dyn Error>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<_, _>>()?;
    Ok(listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?)
}
