//! Thread that owns the destination of log lines.

use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::thread;
use std::time::{Duration, Instant};

use chrono::Utc;
use log::Level;
use snafu::ResultExt;
use yuccatack_core::{DurationMs, TimestampMs};

use super::appender::DROPPED_LEVEL;
use super::error::{LoggingError, OpenSnafu, SpawnSnafu};
use super::{Decision, LineContext, LogDestination, RepeatLimiter, Summary};

/// Maximum number of lines with one event and level that are written in each window.
const LINE_LIMIT_COUNT: u64 = 20;

/// Window of the limits on lines.
const WINDOW_DURATION: DurationMs = DurationMs::from_seconds(10);

/// Maximum number of lines for events that record one decision on one job or run. It is higher, so
/// that the decisions of an ordinary burst are logged completely.
const DECISION_LINE_LIMIT_COUNT: u64 = 400;

/// Events that record one decision on one job or run.
const DECISION_EVENTS: [&str; 11] = [
    "call_answered",
    "job_cancelled",
    "job_ended",
    "job_refused",
    "job_stored",
    "run_ended",
    "run_evicted",
    "run_ordered",
    "start_carried_out",
    "stop_carried_out",
    "stop_ordered",
];

/// Events that are never suppressed: the list of the work that a stopped process leaves unfinished
/// must be complete.
const UNLIMITED_EVENTS: [&str; 2] = ["attempt_left", "requests_left"];

/// Message from the appender to the writer thread.
pub(super) enum Message {
    Line(Line),
    /// Number of lines that were dropped because the queue was full.
    Dropped(u64),
    /// Writes everything received so far, then replies.
    Flush(SyncSender<()>),
}

pub(super) struct Line {
    pub(super) event: Arc<str>,
    pub(super) level: Level,
    pub(super) text: String,
}

struct Writer {
    context: LineContext,
    output: Box<dyn Write + Send>,
    limiter: RepeatLimiter,
    decision_limiter: RepeatLimiter,
    started_at: Instant,
}

/// Opens the destination and starts the writer thread, which ends when the appender is dropped.
pub(super) fn spawn(
    context: LineContext,
    destination: LogDestination,
    messages: Receiver<Message>,
) -> Result<(), LoggingError> {
    let output = open(destination)?;
    let limiter = RepeatLimiter::new(LINE_LIMIT_COUNT, WINDOW_DURATION);
    let decision_limiter = RepeatLimiter::new(DECISION_LINE_LIMIT_COUNT, WINDOW_DURATION);
    let started_at = Instant::now();
    let writer = Writer { context, output, limiter, decision_limiter, started_at };
    let builder = thread::Builder::new().name("log_writer".to_owned());
    builder.spawn(move || writer.run(&messages)).context(SpawnSnafu)?;
    Ok(())
}

fn open(destination: LogDestination) -> Result<Box<dyn Write + Send>, LoggingError> {
    match destination {
        LogDestination::StandardError => Ok(Box::new(BufWriter::new(io::stderr()))),
        LogDestination::StandardOutput => Ok(Box::new(BufWriter::new(io::stdout()))),
        LogDestination::File(path) => {
            let file: File = OpenOptions::new()
                .create(true)
                .append(true)
                .open(&path)
                .context(OpenSnafu { path })?;
            Ok(Box::new(BufWriter::new(file)))
        }
    }
}

impl Writer {
    fn run(mut self, messages: &Receiver<Message>) {
        loop {
            let received = match self.time_to_summary() {
                Some(wait) => messages.recv_timeout(wait),
                None => messages.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match received {
                Ok(message) => self.handle_batch(message, messages),
                Err(RecvTimeoutError::Timeout) => self.write_due_summaries(),
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.flush();
        }
        self.finish();
    }

    /// Handles all queued messages, so that one write to the destination covers all of them.
    fn handle_batch(&mut self, first: Message, messages: &Receiver<Message>) {
        self.handle(first);
        while let Ok(message) = messages.try_recv() {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Line(line) => self.write_line(&line),
            Message::Dropped(count) => self.write_dropped(count),
            Message::Flush(done) => {
                self.finish();
                // The appender may have timed out.
                let _ = done.send(());
            }
        }
    }

    fn write_line(&mut self, line: &Line) {
        self.write_due_summaries();
        if UNLIMITED_EVENTS.contains(&&*line.event) {
            return self.write(&line.text);
        }
        let now = self.now();
        let limiter = if DECISION_EVENTS.contains(&&*line.event) {
            &mut self.decision_limiter
        } else {
            &mut self.limiter
        };
        match limiter.check(&line.event, line.level, now) {
            Decision::Write => self.write(&line.text),
            Decision::Suppress => {}
        }
    }

    fn write_dropped(&mut self, suppressed_count: u64) {
        let event = Arc::from("log_queue_full");
        let summary =
            Summary { event, level: DROPPED_LEVEL, suppressed_count, window: DurationMs::ZERO };
        self.write_summaries(&[summary]);
    }

    fn write_due_summaries(&mut self) {
        let now = self.now();
        let mut summaries = self.limiter.expire(now);
        summaries.extend(self.decision_limiter.expire(now));
        self.write_summaries(&summaries);
    }

    fn finish(&mut self) {
        let mut summaries = self.limiter.finish();
        summaries.extend(self.decision_limiter.finish());
        self.write_summaries(&summaries);
        self.flush();
    }

    fn write_summaries(&mut self, summaries: &[Summary]) {
        for summary in summaries {
            let text = self.context.encode_summary(summary, Utc::now());
            self.write(&text);
        }
    }

    fn write(&mut self, text: &str) {
        // A failure to write the log cannot be reported anywhere else.
        let _ = writeln!(self.output, "{text}");
    }

    fn flush(&mut self) {
        let _ = self.output.flush();
    }

    fn now(&self) -> TimestampMs {
        TimestampMs::default() + DurationMs::from(self.started_at.elapsed())
    }

    fn time_to_summary(&self) -> Option<Duration> {
        let limiters = [&self.limiter, &self.decision_limiter];
        let due = limiters.into_iter().filter_map(RepeatLimiter::next_summary_at).min()?;
        Some(due.since(self.now()).into())
    }
}
