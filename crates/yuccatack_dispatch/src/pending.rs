//! Changes of the table that the leader proposes in batches, one batch at a time.

use yuccatack_core::{DurationMs, FastHashSet, TimestampMs};
use yuccatack_runs::RunId;

use crate::table_change::TableChange;

/// Longest time for which decisions wait until no reported changes are left. A decision beside
/// reported ends does not know the capacity that they free and may evict runs in vain. Without a
/// bound there would be seconds without a decision when commits are slow, since new ends arrive
/// during each of them.
const MAX_DECISION_DELAY: DurationMs = DurationMs::new(100);

/// Changes of the table that are not known to be committed. `Proposal` identifies a proposed batch.
///
/// The dispatcher returns the end of a run from only one of the reports that list it, so a reported
/// change stays here until a batch with it is committed. The order is kept too: after an
/// acknowledgement that is committed without the ends before it, the worker drops ends that the
/// table does not hold.
#[derive(Debug)]
pub struct PendingChanges<Proposal> {
    /// Changes that follow from agents' reports, in the order of their arrival.
    reported: Vec<TableChange>,
    in_flight: Option<Batch<Proposal>>,
    /// Time of the last decision.
    decided_at: TimestampMs,
}

/// Batch that was proposed and has neither been committed nor failed.
#[derive(Debug)]
struct Batch<Proposal> {
    proposal: Proposal,
    /// Number of reported changes in the batch.
    reported_count: usize,
}

impl<Proposal> PendingChanges<Proposal>
where
    Proposal: PartialEq,
{
    /// Creates an instance without any changes, for a dispatcher that has reported none.
    pub fn new(now: TimestampMs) -> Self {
        Self { reported: Vec::new(), in_flight: None, decided_at: now }
    }

    /// Adds changes that follow from an agent's report.
    pub fn report(&mut self, changes: Vec<TableChange>) {
        self.reported.extend(changes);
    }

    /// Returns `true` while a batch is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns `true` if the next batch must contain new decisions, which then count as made at
    /// `now`. The caller must not decide while a batch is in flight.
    pub fn begin_decision(&mut self, now: TimestampMs) -> bool {
        let is_due = self.reported.is_empty() || now.since(self.decided_at) >= MAX_DECISION_DELAY;
        if is_due {
            self.decided_at = now;
        }
        is_due
    }

    /// Returns the next batch, which is in flight from now on; `None` if there is nothing to
    /// propose.
    ///
    /// `decided` follows from the current table and is dropped if the batch fails: the next
    /// decision builds on the table as it is by then. In the batch it comes after the reported
    /// changes, so that the table refuses a start that a reported end rules out, and a reported
    /// outcome takes precedence over the decision that the run is lost.
    pub fn next_batch(
        &mut self,
        proposal: Proposal,
        decided: Vec<TableChange>,
    ) -> Option<Vec<TableChange>> {
        if self.reported.is_empty() && decided.is_empty() {
            return None;
        }
        self.in_flight = Some(Batch { proposal, reported_count: self.reported.len() });
        let ended: FastHashSet<_> = self.reported.iter().filter_map(ended_run).collect();
        let is_new =
            |change: &TableChange| ended_run(change).is_none_or(|run| !ended.contains(run));
        let decided = decided.into_iter().filter(is_new);
        Some(self.reported.iter().cloned().chain(decided).collect())
    }

    /// Removes the changes of a batch, which the table holds now. Ignores all other proposals than
    /// the one in flight: a batch of an earlier leadership may complete late.
    pub fn on_committed(&mut self, proposal: &Proposal) {
        if let Some(batch) = self.take_batch(proposal) {
            self.reported.drain(..batch.reported_count);
        }
    }

    /// Keeps the reported changes of a batch for the next one. Ignores all other proposals than the
    /// one in flight.
    pub fn on_failed(&mut self, proposal: &Proposal) {
        self.take_batch(proposal);
    }

    fn take_batch(&mut self, proposal: &Proposal) -> Option<Batch<Proposal>> {
        self.in_flight.take_if(|batch| batch.proposal == *proposal)
    }
}

fn ended_run(change: &TableChange) -> Option<&RunId> {
    match change {
        TableChange::End(end) => Some(&end.run),
        TableChange::Begin(_) | TableChange::AcknowledgeEnds(..) | TableChange::CompleteLate(_) => {
            None
        }
    }
}
