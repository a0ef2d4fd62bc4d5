//! Runs one case of the review: `review-2 CASE`.
//!
//! `TROUBLE=0` leaves the disruption out; `RECORD` is the file of the record. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod json;
mod proxy;
mod record;
mod worker;

use std::process::exit;
use std::thread;
use std::time::Duration;

use cases::Verdict;
use record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let Ok(record) = Record::create(&path) else {
        eprintln!("cannot write {path}");
        exit(2);
    };
    record
        .line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let setup = cases::Setup { trouble, record: record.clone() };
    let Some(run) = cases::find(&case) else {
        eprintln!("unknown case {case}");
        exit(2);
    };
    let context = cases::Context::default();
    let ended = context.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        ended.end();
        exit(2);
    });
    let verdict = run(&setup, &context);
    context.end();
    let (text, code) = match verdict {
        Some(Verdict::Held) => ("the rule held", 0),
        Some(Verdict::Broken(what)) => {
            record.line(&format!("BROKEN: {what}"));
            ("the rule was broken", 1)
        }
        None => ("the case could not run", 2),
    };
    record.line(text);
    exit(code);
}
