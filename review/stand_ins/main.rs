//! Cases of the review. `cases CASE FOLDER` plays one; its result is the exit code: 0 if the rule
//! held, 1 if it was broken, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod boots;
mod cluster;
mod frozen;
mod http;
mod json;
mod late_ping;
mod many_ends;
mod reborn;
mod same_id;
mod worker;

use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Time after which a case that has not ended counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments[0] == "worker" {
        worker::run(worker::WorkerConfig::from_arguments(&arguments[1..]));
        return;
    }
    thread::spawn(|| {
        thread::sleep(LIMIT);
        println!("the case did not end in time");
        exit(2);
    });
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case = Path::new(&arguments[1]);
    let play = || match arguments[0].as_str() {
        "late_ping" => late_ping::play(case, with_trouble),
        "frozen" => frozen::play(case, with_trouble),
        "many_ends" => many_ends::play(case, with_trouble),
        "same_id" => same_id::play(case, with_trouble),
        "reborn" => reborn::play(case, with_trouble),
        other => Err(cluster::CannotRun(format!("no such case: {other}"))),
    };
    // A panic of a stand-in ends its processes and tells nothing about the rule.
    let result = std::panic::catch_unwind(play)
        .unwrap_or_else(|_| Err(cluster::CannotRun("a stand-in panicked".to_owned())));
    match result {
        Ok(breaks) if breaks.is_empty() => println!("the rule held"),
        Ok(breaks) => {
            println!("the rule was broken:");
            breaks.iter().for_each(|line| println!("{line}"));
            exit(1);
        }
        Err(error) => {
            println!("the case could not run: {}", error.0);
            exit(2);
        }
    }
}
