//! A control replica is replaced as planned, and another one loses its disk once the successor has had
//! its time.

use std::thread;
use std::time::{Duration, Instant};

use super::{Context, KEY, QUEUE, Setup, Verdict, job, manifest, route, worker};

/// Time that the successor gets: `CatchUpS` and 2 s.
const SUCCESSOR_TIME: Duration = Duration::from_secs(4 + 2);

/// `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which the manifest is read back and jobs are sent, several times `ContactMs`.
const CHECKED: Duration = Duration::from_secs(20);

const VERSION: u64 = 4;

pub fn run(setup: &Setup, context: &Context) -> Option<Verdict> {
    let record = &setup.record;
    let deployment = context.start(setup)?;
    let worker = worker(&deployment, "i-0000d001", setup)?;
    deployment.start_agent(0)?;
    if !deployment.configure(&manifest(1, &[route("r-a", QUEUE)])) {
        return None;
    }
    worker.keep_pinging(deployment.agent(0));
    if !deployment.submit(&format!("{QUEUE}00000000000000d0"), KEY, &job(1, 500)) {
        return None;
    }
    record.line("the successor of control-0 starts on another machine");
    deployment.start_later_control(3)?;
    thread::sleep(SUCCESSOR_TIME);
    if !deployment.configure(&manifest(VERSION, &[route("r-a", QUEUE)])) {
        return None;
    }
    if !deployment.remove("control-0") {
        return None;
    }
    thread::sleep(Duration::from_millis(500));
    if setup.trouble {
        deployment.wipe_control(1, Duration::from_secs(1))?;
    }
    record.line("all machines are back");
    thread::sleep(RECOVERY);
    let (mut served_count, mut sent_count, mut newest) = (0, 0, None);
    let begun_at = Instant::now();
    while begun_at.elapsed() < CHECKED {
        let path = format!("{QUEUE}00000000000d{:04x}", sent_count + 1);
        let answer = deployment.consume(deployment.entry(), "POST", &path, KEY, &job(1, 200));
        sent_count += 1;
        served_count += u64::from(answer.is_some_and(|answer| answer.status == 200));
        for machine in 1..=3 {
            newest = newest.max(deployment.read_version(machine));
        }
        thread::sleep(Duration::from_millis(500));
    }
    Some(if newest.is_none_or(|version| version < VERSION) {
        Verdict::Broken(format!(
            "version {VERSION} was acknowledged and the manifest doesn't come; {served_count} of \
             {sent_count} requests are served"
        ))
    } else if served_count * 4 < sent_count {
        Verdict::Broken(format!("{served_count} of {sent_count} requests are served"))
    } else {
        Verdict::Held
    })
}
