//! A job is cancelled some seconds after the open channels to its worker went silent.

use std::thread;
use std::time::Duration;

use super::{Context, KEY, QUEUE, SERVICE, Setup, Verdict, job, manifest, route};
use crate::deployment::wait_for;
use crate::proxy::Proxy;
use crate::worker::Worker;

const CANCEL_MS: u64 = 3_000;
const STOP_TIMEOUT_MS: u64 = 400;

/// Calm time before the cancellation, more than twice `ContactMs`.
const CALM: Duration = Duration::from_secs(7);

const SHORT_JOB: &str = "00000000000000a0";
const LONG_JOB: &str = "00000000000000a1";

pub fn run(setup: &Setup, context: &Context) -> Option<Verdict> {
    let record = &setup.record;
    let deployment = context.start(setup)?;
    let proxy = Proxy::start(deployment.worker(0), deployment.hidden_worker(0)).ok()?;
    let address = deployment.hidden_worker(0);
    let answer_delay = Duration::from_millis(20);
    let worker = Worker::new("i-0000a001", address, SERVICE, answer_delay, record);
    worker.listen(address).ok()?;
    deployment.start_agent(0)?;
    if !deployment.configure(&manifest(1, &[route("r-a", QUEUE)])) {
        return None;
    }
    worker.keep_pinging(deployment.agent(0));
    // Eight work items begin at the same time, as many as the worker has GPUs.
    if !deployment.submit(&format!("{QUEUE}{SHORT_JOB}"), KEY, &job(8, 1_500)) {
        return None;
    }
    let short_job_is_over = || {
        let runs = record.runs_of(SHORT_JOB);
        runs.len() == 8 && runs.iter().all(|run| run.ended.is_some())
    };
    if !wait_for(Duration::from_secs(20), short_job_is_over) {
        return None;
    }
    let path = format!("{QUEUE}{LONG_JOB}");
    if !deployment.submit(&path, KEY, &job(1, 60_000)) {
        return None;
    }
    if !wait_for(Duration::from_secs(10), || !record.runs_of(LONG_JOB).is_empty()) {
        return None;
    }
    thread::sleep(Duration::from_secs(1));
    record.line(&format!("{} channels to the worker are open", proxy.open_count()));
    if setup.trouble {
        record.line("the open channels to the worker go silent; new ones work");
        proxy.silence();
    }
    thread::sleep(CALM);
    let answer = deployment.consume(deployment.entry(), "DELETE", &path, KEY, "")?;
    if answer.status != 200 {
        return None;
    }
    let cancelled_ms = record.now_ms();
    thread::sleep(Duration::from_secs(10));
    let run = record.runs_of(LONG_JOB).into_iter().next()?;
    let ended_ms = run.ended.map_or(u64::MAX, |(ended_ms, _)| ended_ms);
    let bound_ms = CANCEL_MS + STOP_TIMEOUT_MS;
    Some(if ended_ms > cancelled_ms + bound_ms {
        let excess = match ended_ms {
            u64::MAX => "more than 10 s".to_owned(),
            ended_ms => format!("{} ms", ended_ms - cancelled_ms),
        };
        Verdict::Broken(format!(
            "the work item runs on {excess} after the cancelling was acknowledged; the bound is \
             {bound_ms} ms"
        ))
    } else {
        Verdict::Held
    })
}
