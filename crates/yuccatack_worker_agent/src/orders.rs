//! Which orders were carried out in the present incarnation of the worker.

use yuccatack_core::{FastHashMap, FastHashSet};
use yuccatack_dispatch::StartResult;
use yuccatack_runs::RunId;

/// A start that the agent has seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartState {
    UnderWay,
    Finished(StartResult),
}

/// What to do with an ordered start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartAction {
    /// Send it to the worker.
    Send,
    /// It is on its way.
    Wait,
    /// It was carried out; report this again.
    Report(StartResult),
}

/// The orders of the present incarnation.
///
/// A start is sent to the worker once only, since a second answer would hide that the first one is
/// still under way.
#[derive(Debug, Default)]
pub(crate) struct OrderBook {
    starts: FastHashMap<RunId, StartState>,
    stops_under_way: FastHashSet<RunId>,
    /// Stops that the worker confirmed, for the next observation that begins after them.
    stopped: Vec<RunId>,
}

impl OrderBook {
    pub fn on_start_order(&mut self, run: &RunId) -> StartAction {
        match self.starts.get(run) {
            Some(StartState::UnderWay) => StartAction::Wait,
            Some(StartState::Finished(result)) => StartAction::Report(*result),
            None => {
                self.starts.insert(run.clone(), StartState::UnderWay);
                StartAction::Send
            }
        }
    }

    pub fn on_start_result(&mut self, run: &RunId, result: StartResult) {
        self.starts.insert(run.clone(), StartState::Finished(result));
    }

    /// Whether the stop is to be sent; one at a time for each run.
    pub fn on_stop_order(&mut self, run: &RunId) -> bool {
        self.stops_under_way.insert(run.clone())
    }

    pub fn on_stop_result(&mut self, run: &RunId, confirmed: bool) {
        self.stops_under_way.remove(run);
        if confirmed && !self.stopped.contains(run) {
            self.stopped.push(run.clone());
        }
    }

    /// The stops that an observation that begins now includes.
    pub fn stopped(&self) -> Vec<RunId> {
        self.stopped.clone()
    }

    /// Forgets stops that were reported, and what the worker has ended.
    pub fn on_reported(&mut self, stopped: &[RunId], ended: &[RunId]) {
        self.stopped.retain(|run| !stopped.contains(run));
        for run in stopped.iter().chain(ended) {
            if !self.stops_under_way.contains(run) {
                self.starts.remove(run);
            }
        }
    }
}
