//! Replicas on disks that are small, full or unresponsive.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use support::{Deployment, LARGE_DISK_BYTES, configuration, job, target};
use tokio::time::{Instant, sleep};
use yuccatack_queue_client::protocol::{Request, Response};
use yuccatack_queues::Configuration;
use yuccatack_runs::JobPhase;

/// Size of a disk on which a hundred large configurations do not fit.
const SMALL_DISK_BYTES: u64 = 16_000_000;

const LARGE_DOCUMENT_BYTES: usize = 190_000;

/// Longest time in which a change must be refused that no disk can take.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time in which the replicas report a full disk to a new leader.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Time for which reads must be served while all disks are full. Many elections fit into it.
const FULL_TIME: Duration = Duration::from_secs(4);

/// Time for which a disk does not respond; changes must be accepted within half of it.
const HANG_TIME: Duration = Duration::from_secs(6);

/// Time in which replicas compact a log that is too large once they know what is committed.
const COMPACTION_TIME: Duration = Duration::from_secs(2);

fn large_configuration(version: u64) -> Arc<Configuration> {
    let mut configuration = configuration(version, "key");
    let version = version.to_string();
    configuration.document = Arc::from(version.repeat(LARGE_DOCUMENT_BYTES / version.len()));
    Arc::new(configuration)
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = folder.read_dir().unwrap();
    files.map(|file| file.unwrap().metadata().unwrap().len()).sum()
}

impl Deployment {
    /// Lets the disks take no more bytes; shortened files leave space.
    fn fill_disks(&self) {
        for replica in &self.replicas {
            let used_bytes = folder_bytes(&replica.data_folder());
            self.disks[&replica.address].set_capacity(used_bytes);
        }
    }

    fn set_capacities(&self, capacity_bytes: u64) {
        self.disks.values().for_each(|disk| disk.set_capacity(capacity_bytes));
    }

    async fn assert_document(&self, version: u64) {
        let expected = Response::Configuration(Some(Arc::from(format!("document {version}"))));
        self.call_until(&Request::ReadConfiguration, |response| *response == expected).await;
    }

    /// Reads the configuration and the job `waiting` for [`FULL_TIME`]; every read must be answered.
    async fn assert_reads_served(&self, version: u64) {
        let document = Response::Configuration(Some(Arc::from(format!("document {version}"))));
        let timeout = Duration::from_secs(2);
        let end = Instant::now() + FULL_TIME;
        while Instant::now() < end {
            let read = self.client.call(&Request::ReadConfiguration, timeout).await;
            assert_eq!(read.as_ref(), Ok(&document), "the configuration was not served");
            let read = self.client.call(&Request::Read(target("waiting")), timeout).await;
            assert_eq!(read, Ok(Response::Job(JobPhase::Queued)), "the job was not served");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Checks that changes are refused at once, as having had no effect.
    async fn assert_changes_refused(&self, version: u64) {
        let requests = [
            Request::Configure(Arc::new(configuration(version, "key"))),
            Request::Submit(target("refused"), Box::new(job(1))),
        ];
        for request in requests {
            let sent_at = Instant::now();
            let response = self.client.call(&request, Duration::from_secs(2)).await.unwrap();
            assert!(matches!(response, Response::Busy { .. }), "{response:?}");
            assert!(sent_at.elapsed() < REFUSAL_TIMEOUT, "refused after {:?}", sent_at.elapsed());
        }
    }
}

/// Guards against a log that is compacted by the number of its entries alone: large configurations
/// filled all disks, and after a restart neither configuration nor jobs came back.
#[tokio::test(flavor = "multi_thread")]
async fn large_configurations() {
    let mut deployment = Deployment::start_on_disks(SMALL_DISK_BYTES).await;
    deployment.configure(1, "key").await;
    deployment.submit("waiting", job(1)).await;
    for version in 2..=100 {
        let request = Request::Configure(large_configuration(version));
        let is_accepted = |response: &Response| matches!(response, Response::Configured(_));
        deployment.call_until(&request, is_accepted).await;
    }
    for (folder, address) in deployment.stop_all().await {
        let used_bytes = folder_bytes(&folder.path().join("replica"));
        assert!(used_bytes < SMALL_DISK_BYTES, "{used_bytes} bytes are used");
        deployment.restart(folder, address);
    }
    let newest = Response::Configuration(Some(large_configuration(100).document.clone()));
    deployment.call_until(&Request::ReadConfiguration, |response| *response == newest).await;
    deployment.wait_for_phase("waiting", JobPhase::Queued).await;
}

/// Guards against replicas that stop while all disks are full, so that no read is served and changes
/// wait until they time out, and against a deployment that does not come back by itself.
#[tokio::test(flavor = "multi_thread")]
async fn full_disks() {
    let deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    deployment.submit("waiting", job(1)).await;
    deployment.set_capacities(0);
    // The disks are not known to be full before the first write, whose outcome stays open.
    let request = Request::Configure(Arc::new(configuration(2, "key")));
    let outcome = deployment.client.call(&request, Duration::from_secs(2)).await;
    assert!(outcome.is_err(), "{outcome:?}");
    deployment.assert_changes_refused(3).await;
    deployment.assert_reads_served(1).await;

    deployment.set_capacities(LARGE_DISK_BYTES);
    deployment.configure(3, "key").await;
    deployment.assert_document(3).await;
    deployment.wait_for_phase("waiting", JobPhase::Queued).await;
    let refused = Request::Read(target("refused"));
    deployment.call_until(&refused, |response| *response == Response::NoSuchJob).await;
}

/// Guards against replicas that cannot elect a leader once they restart on full disks, because a
/// vote and the first entry of a leader need space.
#[tokio::test(flavor = "multi_thread")]
async fn restart_on_full_disks() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    deployment.submit("waiting", job(1)).await;
    deployment.fill_disks();
    for (folder, address) in deployment.stop_all().await {
        deployment.restart(folder, address);
    }
    deployment.assert_document(1).await;
    // The leader learns with the heartbeats that the other disks are full, too.
    sleep(REPORT_TIME).await;
    deployment.assert_changes_refused(2).await;
    deployment.assert_reads_served(1).await;

    deployment.set_capacities(LARGE_DISK_BYTES);
    deployment.configure(2, "key").await;
    deployment.assert_document(2).await;
    deployment.wait_for_phase("waiting", JobPhase::Queued).await;
}

/// Guards against a leader that keeps the leadership while its disk does not respond or is full, so
/// that no change completes although the other disks take it.
#[tokio::test(flavor = "multi_thread")]
async fn one_faulty_disk() {
    let deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    let mut version = 1;
    for disk in deployment.disks.values() {
        let began_at = Instant::now();
        disk.hang_for(HANG_TIME);
        version += 1;
        deployment.configure(version, "key").await;
        assert!(began_at.elapsed() < HANG_TIME / 2, "accepted after {:?}", began_at.elapsed());
        sleep(HANG_TIME.saturating_sub(began_at.elapsed())).await;

        disk.set_capacity(0);
        version += 1;
        deployment.configure(version, "key").await;
        deployment.assert_document(version).await;
        disk.set_capacity(LARGE_DISK_BYTES);
    }
}

/// Guards against a snapshot that is never stored because it is requested at an entry without a
/// command, as after a restart on a log that is larger than it may become.
#[tokio::test(flavor = "multi_thread")]
async fn log_of_older_version() {
    let mut deployment = Deployment::start().await;
    for version in 1..=20 {
        let request = Request::Configure(large_configuration(version));
        let is_accepted = |response: &Response| matches!(response, Response::Configured(_));
        deployment.call_until(&request, is_accepted).await;
    }
    deployment.disk_bytes = SMALL_DISK_BYTES;
    for (folder, address) in deployment.stop_all().await {
        deployment.restart(folder, address);
    }
    let newest = Response::Configuration(Some(large_configuration(20).document.clone()));
    deployment.call_until(&Request::ReadConfiguration, |response| *response == newest).await;
    sleep(COMPACTION_TIME).await;
    for (folder, _) in deployment.stop_all().await {
        let log_bytes = folder.path().join("replica/log").metadata().unwrap().len();
        assert!(log_bytes < SMALL_DISK_BYTES / 16, "the log has {log_bytes} bytes");
    }
}
