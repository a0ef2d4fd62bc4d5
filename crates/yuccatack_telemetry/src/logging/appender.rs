//! Appender that sends log lines to the writer thread.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender, TrySendError};
use std::time::Duration;

use chrono::Utc;
use log::{Level, LevelFilter, Log, Metadata, Record};

use super::error::LoggingError;
use super::line::event_name;
use super::writer::{self, Line, Message};
use super::{LineContext, LogDestination};

/// Maximum number of lines that wait for the writer; further ones are dropped and counted, because
/// a full disk or a blocked pipe must not block the tasks that log.
const QUEUE_LINE_COUNT: usize = 8192;

/// Time for which an exiting process waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Common prefix of the targets of the project's own crates.
const OWN_TARGET_PREFIX: &str = "yuccatack";

/// Appender of log records as JSON lines. `log4rs` uses it through its `Log` implementation.
pub struct JsonLines {
    context: LineContext,
    own_level: LevelFilter,
    library_level: LevelFilter,
    queue: SyncSender<Message>,
    dropped_line_count: AtomicU64,
}

impl JsonLines {
    /// Opens `destination` and starts the thread that writes to it.
    pub fn open(
        context: LineContext,
        level: LevelFilter,
        destination: LogDestination,
    ) -> Result<Self, LoggingError> {
        let (queue, messages) = mpsc::sync_channel(QUEUE_LINE_COUNT);
        writer::spawn(context.clone(), destination, messages)?;
        // The lower levels of libraries hold internal details on which no operator acts.
        let library_level = level.min(LevelFilter::Warn);
        let dropped_line_count = AtomicU64::new(0);
        Ok(Self { context, own_level: level, library_level, queue, dropped_line_count })
    }

    fn level_of(&self, target: &str) -> LevelFilter {
        if target.starts_with(OWN_TARGET_PREFIX) { self.own_level } else { self.library_level }
    }

    fn send(&self, line: Line) {
        match self.queue.try_send(Message::Line(line)) {
            Ok(()) => self.report_dropped(),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped_line_count.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn report_dropped(&self) {
        let count = self.dropped_line_count.swap(0, Ordering::Relaxed);
        if count > 0 && self.queue.try_send(Message::Dropped(count)).is_err() {
            self.dropped_line_count.fetch_add(count, Ordering::Relaxed);
        }
    }
}

impl Log for JsonLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level_of(metadata.target())
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let time = Utc::now();
        self.send(Line {
            event: event_name(record),
            level: record.level(),
            text: self.context.encode(record, time),
        });
    }

    fn flush(&self) {
        let (done_sender, done) = mpsc::sync_channel(1);
        if self.queue.send(Message::Flush(done_sender)).is_ok() {
            // A blocked destination must not prevent the process from exiting.
            let _ = done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl fmt::Debug for JsonLines {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("JsonLines").field("level", &self.own_level).finish_non_exhaustive()
    }
}

/// Level of the line that reports dropped lines.
pub(super) const DROPPED_LEVEL: Level = Level::Warn;
