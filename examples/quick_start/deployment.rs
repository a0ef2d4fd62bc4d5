//! A complete deployment in one process, with loopback ports and a temporary data folder.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use tempfile::TempDir;
use tokio::task::JoinHandle;
use yuccatack_core::prelude::*;
use yuccatack_leases::WorkerRegistration;
use yuccatack_lifecycle::{ShutdownPhase, ShutdownTrigger, shutdown_channel};
use yuccatack_settings::{AgentSettings, ControlSettings, EntrySettings};
use yuccatack_stand_ins::{MinionBehaviour, MinionStandIn, WorkerSettings, WorkerStandIn};

type RoleTask = JoinHandle<Result<(), String>>;

/// The running roles and the test doubles of a minion and a worker.
pub struct Deployment {
    /// Address of the entry, for callers and operators.
    pub entry_address: SocketAddr,
    trigger: ShutdownTrigger,
    roles: Vec<RoleTask>,
    _minion: MinionStandIn,
    _worker: WorkerStandIn,
    _data_folder: TempDir,
}

impl Deployment {
    /// Starts a control replica, an entry, an agent, a minion and a worker.
    pub async fn start() -> Result<Self, Box<dyn Error>> {
        let data_folder = tempfile::tempdir()?;
        let [control, workers, entry, agent] = free_addresses()?;
        let minion = MinionStandIn::start(MinionBehaviour::default()).await?;
        let worker = WorkerStandIn::start(worker_settings(workers)?);
        let (trigger, shutdown) = shutdown_channel();

        let control_settings = control_settings(control, workers, &data_folder)?;
        let entry_settings = entry_settings(entry, control)?;
        let agent_settings = agent_settings(agent, control, minion.address())?;
        let roles = vec![
            spawn(yuccatack_control::run(control_settings, shutdown.clone())),
            spawn(yuccatack_entry::run(entry_settings, shutdown.clone())),
            spawn(yuccatack_agent::run(agent_settings, shutdown)),
        ];
        Ok(Self {
            entry_address: entry,
            trigger,
            roles,
            _minion: minion,
            _worker: worker,
            _data_folder: data_folder,
        })
    }

    /// Drains every role and waits until each has ended.
    pub async fn stop(self) -> Result<(), Box<dyn Error>> {
        self.trigger.advance(ShutdownPhase::Draining);
        for role in self.roles {
            role.await??;
        }
        Ok(())
    }
}

fn spawn<Role, Failure>(role: Role) -> RoleTask
where
    Role: Future<Output = Result<(), Failure>> + Send + 'static,
    Failure: ToString,
{
    tokio::spawn(async move { role.await.map_err(|error| error.to_string()) })
}

/// Returns loopback addresses with free ports. The listeners that found them are closed again
/// before the roles start.
fn free_addresses<const COUNT: usize>() -> Result<[SocketAddr; COUNT], Box<dyn Error>> {
    let listeners: Vec<TcpListener> = (0..COUNT)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<_, _>>()?;
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
    addresses
        .try_into()
        .map_err(|_| "the number of free addresses differs from the requested number".into())
}

/// Returns the settings of a worker with 32 cores, 128 GB and 8 accelerators, as in
/// `examples/timing`.
fn worker_settings(control: SocketAddr) -> Result<WorkerSettings, Box<dyn Error>> {
    let registration = WorkerRegistration {
        worker: WorkerName::new("worker-1")?,
        incarnation: Incarnation::random(),
        data_centre: DataCentreName::new("putrajaya")?,
        rack: RackName::new("rack-1")?,
        resources: Resources {
            cores_milli: 32_000,
            memory_bytes: 128_000_000_000,
            accelerator_count: 8,
        },
    };
    Ok(WorkerSettings {
        registration,
        control_addresses: vec![control],
        default_run_time: DurationMs::from_seconds(1),
    })
}

fn control_settings(
    control: SocketAddr,
    workers: SocketAddr,
    data_folder: &TempDir,
) -> Result<ControlSettings, Box<dyn Error>> {
    let text = format!(
        "node: control-1\ndata_centre: putrajaya\nreplica_id: 1\nlisten_address: {control}\n\
         worker_address: {workers}\ndata_folder: {}\n\
         initial_replicas: [{{replica_id: 1, address: '{control}'}}]\n",
        data_folder.path().join("control-1").display()
    );
    Ok(serde_yaml_ng::from_str(&text)?)
}

fn entry_settings(entry: SocketAddr, control: SocketAddr) -> Result<EntrySettings, Box<dyn Error>> {
    let text = format!(
        "node: entry-1\ndata_centre: putrajaya\nlisten_address: {entry}\n\
         control_addresses: ['{control}']\n"
    );
    Ok(serde_yaml_ng::from_str(&text)?)
}

fn agent_settings(
    agent: SocketAddr,
    control: SocketAddr,
    minion: SocketAddr,
) -> Result<AgentSettings, Box<dyn Error>> {
    let text = format!(
        "node: agent-1\ndata_centre: putrajaya\nservice: results\nminion: minion-1\n\
         minion_address: {minion}\nlisten_address: {agent}\ncontrol_addresses: ['{control}']\n"
    );
    Ok(serde_yaml_ng::from_str(&text)?)
}
