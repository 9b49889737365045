//! Tests of the fleet scheduler with workers, store and advisory service
//! simulated in memory.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod admission;
mod advice;
mod backlog;
mod begun_jobs;
mod call_schedule;
mod caller_responses;
mod cancelled_ids;
mod candidacy;
mod config_proof;
mod crashes;
mod customers;
mod few_channels;
mod gang_contention;
mod gang_limits;
mod gangs;
mod helpers;
mod incarnations;
mod isolation;
mod leader_loss;
mod leadership_proof;
mod leaving_workers;
mod load_peaks;
mod lost_calls;
mod machine_health;
mod mass_crashes;
mod no_capacity;
mod pass_cost;
mod placement;
mod preemption;
mod records;
mod recovery;
mod relay_choice;
mod resized_workers;
mod run_ends;
mod slow_advisory;
mod speed_placement;
mod spread_steps;
mod starvation;
mod starvation_reports;
mod store_forwarders;
mod terms;
mod truncated_reports;
mod unresponsive_channels;
mod worker_faults;
mod worker_speed;
