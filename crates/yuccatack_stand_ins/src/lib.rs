//! Stand-ins for the platform's workers and minions, for tests and examples.
