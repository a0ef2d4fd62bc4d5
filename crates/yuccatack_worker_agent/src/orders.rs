//! Progress of the leader's orders in the current incarnation of the worker.

use yuccatack_core::{FastHashMap, FastHashSet};
use yuccatack_dispatch::StartResult;
use yuccatack_runs::RunId;

/// Progress of an ordered start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartState {
    InFlight,
    Completed(StartResult),
}

/// Action that an ordered start requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartAction {
    Send,
    /// The call to the worker is in flight and its result will be reported.
    AwaitResult,
    /// The call has completed; repeats the report of its result.
    Report(StartResult),
}

/// Orders received for the current incarnation of the worker.
///
/// The calls of a start are made one after the other, and its result is reported once. A call without
/// a response may still be in flight then, so that a run whose start is not confirmed must be barred.
#[derive(Debug, Default)]
pub(crate) struct OrderTracker {
    starts: FastHashMap<RunId, StartState>,
    stops_in_flight: FastHashSet<RunId>,
    /// Runs whose stop the worker has confirmed and no delivered observation includes yet.
    confirmed_stops: Vec<RunId>,
}

impl OrderTracker {
    pub fn on_start_order(&mut self, run: &RunId) -> StartAction {
        match self.starts.get(run) {
            Some(StartState::InFlight) => StartAction::AwaitResult,
            Some(StartState::Completed(result)) => StartAction::Report(*result),
            None => {
                self.starts.insert(run.clone(), StartState::InFlight);
                StartAction::Send
            }
        }
    }

    pub fn on_start_result(&mut self, run: &RunId, result: StartResult) {
        self.starts.insert(run.clone(), StartState::Completed(result));
    }

    /// Returns `true` if the stop must be sent; only one is in flight for each run.
    pub fn on_stop_order(&mut self, run: &RunId) -> bool {
        self.stops_in_flight.insert(run.clone())
    }

    pub fn on_stop_result(&mut self, run: &RunId, confirmed: bool) {
        self.stops_in_flight.remove(run);
        if confirmed && !self.confirmed_stops.contains(run) {
            self.confirmed_stops.push(run.clone());
        }
    }

    /// Returns the confirmed stops, which an observation that begins now reflects.
    pub fn confirmed_stops(&self) -> Vec<RunId> {
        self.confirmed_stops.clone()
    }

    /// Removes the orders of runs that a delivered observation listed as stopped or ended.
    pub fn on_reported(&mut self, stopped: &[RunId], ended: &[RunId]) {
        self.confirmed_stops.retain(|run| !stopped.contains(run));
        for run in stopped.iter().chain(ended) {
            if !self.stops_in_flight.contains(run) {
                self.starts.remove(run);
            }
        }
    }
}
