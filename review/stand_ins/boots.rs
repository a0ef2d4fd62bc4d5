//! Steps that the cases with a late ping share.

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use crate::cluster::{Cluster, MANIFEST, Outcome};
use crate::http;
use crate::worker::{WorkerConfig, ping_body, unix_ms};

/// Ping of a minion's earlier boot that has not arrived yet.
pub struct HeldUpPing {
    agent: std::net::SocketAddr,
    id: String,
    body: String,
}

/// Starts both minions and sends the manifest. With trouble, each minion sends a ping that is held
/// up, crashes, and a new boot registers at its address under another `Id`.
pub fn start_minions(cluster: &mut Cluster, with_trouble: bool) -> Outcome<Vec<HeldUpPing>> {
    for worker in 0..2 {
        cluster.start_worker(worker, &format!("m{worker}-first"), "a", 0)?;
    }
    cluster.configure(MANIFEST, Duration::from_secs(15))?;
    sleep(Duration::from_secs(2));
    let mut held_up = Vec::new();
    if !with_trouble {
        return Ok(held_up);
    }
    for worker in 0..2 {
        let id = format!("m{worker}-first");
        let boot = cluster.wait_for("the first boot", Duration::from_secs(1), |event| {
            event.kind == "boot" && event.boot.starts_with(&format!("{id}@"))
        })?;
        let born = boot.at_born();
        let config = WorkerConfig {
            id: id.clone(),
            address: cluster.worker(worker),
            agent: cluster.agent(worker),
            label: "a".to_owned(),
            events: String::new(),
            first_ping_ms: 0,
        };
        let body = ping_body(&config, born, unix_ms() - born, 100);
        held_up.push(HeldUpPing { agent: config.agent, id, body });
        cluster.note(&format!("a ping of {} is held up", boot.boot));
        cluster.kill(&format!("worker-{worker}"));
    }
    sleep(Duration::from_millis(300));
    for worker in 0..2 {
        cluster.start_worker(worker, &format!("m{worker}-second"), "a", 0)?;
    }
    sleep(Duration::from_millis(1_500));
    Ok(held_up)
}

impl HeldUpPing {
    /// Delivers the ping; returns `false` if no node listens there yet.
    pub fn arrive(&self, cluster: &mut Cluster) -> bool {
        let path = format!("/instances/{}", self.id);
        let answer = http::call(self.agent, "PUT", &path, &[], &self.body, Duration::from_secs(1));
        if answer.is_some() {
            cluster.note(&format!("the held-up ping of {} arrives -> {answer:?}", self.id));
        }
        answer.is_some()
    }

    /// Delivers the ping and leaves its connection open, without waiting for a response.
    pub fn send(&self, cluster: &mut Cluster) {
        cluster.note(&format!("the held-up ping of {} arrives", self.id));
        let Ok(mut stream) = TcpStream::connect_timeout(&self.agent, Duration::from_secs(1)) else {
            return;
        };
        let head = format!(
            "PUT /instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n",
            self.id,
            self.agent,
            self.body.len()
        );
        let _ = stream.write_all(format!("{head}{}", self.body).as_bytes());
        // The connection stays open until the case ends.
        std::mem::forget(stream);
    }
}
