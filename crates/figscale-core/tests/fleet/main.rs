//! Tests of the fleet scheduler with workers, store and advisory service
//! simulated in memory.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod advice;
mod backlog;
mod callers;
mod carriers;
mod crashes;
mod customers;
mod ends;
mod fitness;
mod gang_limits;
mod gangs;
mod hopeless;
mod kit;
mod leaving;
mod load;
mod losses;
mod passes;
mod placing;
mod proof;
mod records;
mod recovery;
mod shrinking;
mod silence;
mod standing;
mod starving;
mod terms;
mod trouble;
mod waits;
