//! The scheduler of a fleet of workers: takes jobs and issues start and stop
//! orders.
//!
//! One entry instance is the leader at a time and runs one [`Scheduler`] for its
//! term. The scheduler is a pure state machine: it receives messages from
//! callers, workers, the advisory service and the store, each with the current
//! time, and produces [`Action`]s for its owner to execute. It opens no sockets
//! and reads no clock.
//!
//! Its view of the workers comes from their own reports, so placements are not
//! persisted: a new leader asks every worker for its list of runs, under its own
//! higher epoch, and treats the lists as authoritative. State that must outlive
//! a leader (jobs, and ends of runs that were acknowledged to workers) is in
//! `durable` records. An end is acknowledged only after its record is in the
//! store.
//!
//! A single scheduler that sees all workers makes better decisions, and places
//! gangs without an agreement between several placers. The price is that the
//! leader's processor bounds the rate of starts, and that a takeover has to read
//! all state again.

mod action;
mod admission;
mod advice;
mod advice_backlog;
mod aging;
mod call_schedule;
mod cancelled_ids;
mod candidacy;
mod channel_failures;
mod channels;
mod config_proof;
mod consistency;
mod crash_evidence;
mod crashes;
mod customers;
mod demand;
mod durable;
mod free_rooms;
mod health;
mod incarnations;
mod isolation;
mod job;
mod leader_loss;
mod leadership_proof;
mod lease;
mod leaving;
mod lost_answers;
mod lost_machines;
mod machine_health;
mod maps;
mod open_workers;
mod pass;
mod plan;
mod predicted;
mod preempt;
mod preemption;
mod query;
mod records;
mod recovery;
mod relay_choice;
mod report;
mod reserve;
mod scheduler;
mod speed;
mod speed_evidence;
mod starts;
mod starvation;
mod stops;
mod store_forwarders;
mod submit;
mod turns;
mod unsaved;
mod validation;
mod view;
mod worker;

pub use action::Action;
pub use action::AdviceQuery;
pub use action::LogEntry;
pub use action::StepHold;
pub use admission::Admission;
pub use admission::RefusalCause;
pub use call_schedule::CallSchedule;
pub use cancelled_ids::IdCancel;
pub use candidacy::LeaderEvidence;
pub use candidacy::RENEWAL_GRACE;
pub use candidacy::candidacy_delay;
pub use candidacy::is_clearly_stronger;
pub use candidacy::may_have_leader;
pub use config_proof::ConfigProof;
pub use config_proof::ProofStamp;
pub use config_proof::StampOutcome;
pub use config_proof::follower_renewal_age;
pub use config_proof::max_age_without_watch;
pub use demand::CustomerShare;
pub use durable::Record;
pub use durable::RecordError;
pub use durable::RecordKey;
pub use durable::Records;
pub use isolation::Isolation;
pub use isolation::may_return;
pub use leader_loss::HEARTBEAT_INTERVAL;
pub use leader_loss::HEARTBEAT_TIMEOUT;
pub use leader_loss::LATE_RESPONSE;
pub use leader_loss::LEADER_QUERY_TIMEOUT;
pub use leader_loss::MAX_PEERS_QUERIED;
pub use leader_loss::NotLeading;
pub use leader_loss::PeerView;
pub use leader_loss::ResponseTimes;
pub use leader_loss::UNRESPONSIVE_AFTER;
pub use leader_loss::heartbeat_interval;
pub use leader_loss::is_lost;
pub use leader_loss::leader_watch_wait;
pub use leader_loss::member_timeout;
pub use leader_loss::scaled_interval;
pub use leader_loss::time_without_contact;
pub use leadership_proof::LeadershipProof;
pub use leadership_proof::MAX_TIME_WITHOUT_STORE;
pub use leadership_proof::Predecessors;
pub use lost_answers::LostAnswers;
pub use machine_health::HandoverLag;
pub use machine_health::MachineHealth;
pub use machine_health::MachineHealthChange;
pub use machine_health::SAMPLE_INTERVAL;
pub use preemption::PreemptionCosts;
pub use relay_choice::RelayTable;
pub use scheduler::Config;
pub use scheduler::Counts;
pub use scheduler::Scheduler;
pub use speed::RunTimes;
pub use speed::Speeds;
pub use store_forwarders::StoreForwarders;
pub use unsaved::Ends;
pub use validation::MAX_TASKS;
pub use validation::validation_error;
pub use worker::ReportDue;
