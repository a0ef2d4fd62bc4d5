//! Changes of the table that the leader proposes in batches, one batch at a time.

use crate::dispatcher::TableChange;

/// Changes of the table that are not known to be committed.
///
/// The dispatcher returns the end of a run from only one of the reports that list it, so a reported
/// change stays here until a batch with it is committed. The order is kept too: after an
/// acknowledgement that is committed without the ends before it, the worker drops ends that the
/// table does not hold.
#[derive(Debug, Default)]
pub struct PendingChanges {
    /// Changes that follow from agents' reports, in the order of their arrival.
    reported: Vec<TableChange>,
    /// Number of reported changes in the batch in flight; `None` if no batch is in flight.
    in_flight_count: Option<usize>,
}

impl PendingChanges {
    /// Adds changes that follow from an agent's report.
    pub fn report(&mut self, changes: Vec<TableChange>) {
        self.reported.extend(changes);
    }

    /// Returns `true` if there are reported changes, in flight or not.
    pub fn has_reported(&self) -> bool {
        !self.reported.is_empty()
    }

    /// Returns `true` while a batch is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight_count.is_some()
    }

    /// Returns the next batch, which is in flight from now on; `None` if there is nothing to
    /// propose.
    ///
    /// `decided` follows from the current table and is dropped if the batch fails: the next
    /// decision builds on the table as it is by then.
    pub fn next_batch(&mut self, decided: Vec<TableChange>) -> Option<Vec<TableChange>> {
        if self.reported.is_empty() && decided.is_empty() {
            return None;
        }
        self.in_flight_count = Some(self.reported.len());
        Some(self.reported.iter().cloned().chain(decided).collect())
    }

    /// Removes the changes of the batch in flight, which the table holds now.
    pub fn on_committed(&mut self) {
        if let Some(count) = self.in_flight_count.take() {
            self.reported.drain(..count);
        }
    }

    /// Keeps the reported changes of the batch in flight for the next batch.
    pub fn on_failed(&mut self) {
        self.in_flight_count = None;
    }
}
