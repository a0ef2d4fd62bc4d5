//! A worker leaves while it is cut off and starts again under its ID; its departure arrives late.

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{ANSWER_DELAY, Context, KEY, QUEUE, SERVICE, Setup, Verdict, job, manifest, route};
use crate::deployment::wait_for;
use crate::http::{self, Request};
use crate::worker::Worker;

const ID: &str = "i-0000c001";
const JOB: &str = "00000000000000c1";

/// Length of the cut: the largest of `node_cut` on side machines in the site file is longer.
const CUT: Duration = Duration::from_secs(5);

/// Time after the cut until the held-up bytes are sent again. The sender doubles the time between
/// two attempts, so that it is as long as the cut at most.
const RETRANSMISSION_DELAY: Duration = Duration::from_secs(3);

/// Worker at an address; `None` while it does not answer.
type Host = Arc<Mutex<Option<Worker>>>;

pub fn run(setup: &Setup, context: &Context) -> Option<Verdict> {
    let record = &setup.record;
    let deployment = context.start(setup)?;
    let agent = deployment.agent(0);
    let address = deployment.worker(0);
    let boot = || Worker::new(ID, address, SERVICE, ANSWER_DELAY, record);
    let first = boot();
    let host: Host = Arc::new(Mutex::new(Some(first.clone())));
    serve_host(TcpListener::bind(address).ok()?, Arc::clone(&host));
    deployment.start_agent(0)?;
    deployment.start_agent(1)?;
    if !deployment.configure(&manifest(1, &[route("r-a", QUEUE)])) {
        return None;
    }
    if !wait_for(Duration::from_secs(10), || first.ping(agent)) {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    first.set_draining();
    if !first.ping(agent) {
        return None;
    }
    // `DrainMs` and a little longer.
    thread::sleep(Duration::from_millis(2_500));
    let depart = || {
        let path = format!("/instances/{ID}");
        let answer = http::call(agent, "DELETE", &path, &[], "", Duration::from_secs(1));
        let status = answer.map(|answer| answer.status);
        record.line(&format!("DELETE {path} of the first boot arrives -> {status:?}"));
    };
    if setup.trouble {
        record.line("the worker is cut off; its DELETE is held up");
        *host.lock().unwrap() = None;
    } else {
        depart();
    }
    first.end();
    thread::sleep(CUT);
    let second = boot();
    record.line("the worker can be reached");
    *host.lock().unwrap() = Some(second.clone());
    second.keep_pinging(agent);
    let path = format!("{QUEUE}{JOB}");
    if !deployment.submit(&path, KEY, &job(1, 15_000)) {
        return None;
    }
    let has_run = || !record.runs_of(JOB).is_empty();
    if !wait_for(Duration::from_secs(10), has_run) {
        return None;
    }
    let other_address = deployment.worker(1);
    let other = Worker::new("i-0000c002", other_address, SERVICE, ANSWER_DELAY, record);
    other.listen(other_address).ok()?;
    other.keep_pinging(deployment.agent(1));
    thread::sleep(RETRANSMISSION_DELAY);
    if setup.trouble {
        depart();
    }
    thread::sleep(Duration::from_secs(6));
    let runs = record.runs_of(JOB);
    let first_end_ms = runs[0].ended.as_ref().map_or(u64::MAX, |(ended_ms, _)| *ended_ms);
    let overlapping = runs.iter().skip(1).find(|run| run.begun_ms < first_end_ms);
    Some(match overlapping {
        Some(other) => Verdict::Broken(format!(
            "{} runs on {} as run {} and on {} as run {} at the same time",
            other.task, runs[0].worker, runs[0].number, other.worker, other.number
        )),
        None => Verdict::Held,
    })
}

/// Serves the boots of a worker, which follow each other at one address. A connection belongs to the
/// boot that accepted it.
fn serve_host(listener: TcpListener, host: Host) {
    http::serve(listener, move || {
        let worker = host.lock().unwrap().clone();
        move |request: &Request| match &worker {
            Some(worker) => worker.handle(request),
            // Nothing passes a cut; the caller gives up first.
            None => {
                thread::sleep(CUT);
                None
            }
        }
    });
}
