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
mod carriers;
mod check;
mod crashes;
mod customers;
mod draft;
mod durable;
mod fitness;
mod health;
mod job;
mod lanes;
mod lease;
mod leaving;
mod losses;
mod maps;
mod pass;
mod places;
mod plan;
mod proof;
mod records;
mod recovery;
mod report;
mod reserve;
mod scheduler;
mod silence;
mod standing;
mod starts;
mod stops;
mod submit;
mod turns;
mod unsaved;
mod view;
mod waits;
mod worker;

pub use action::Action;
pub use action::Note;
pub use action::Question;
pub use admission::Admission;
pub use carriers::Carrier;
pub use carriers::choose_carrier;
pub use check::MAX_TASKS;
pub use check::fault_of;
pub use durable::Record;
pub use durable::RecordError;
pub use durable::RecordKey;
pub use durable::Records;
pub use fitness::BEAT;
pub use fitness::Fitness;
pub use fitness::Lag;
pub use fitness::Turn;
pub use losses::Losses;
pub use proof::ConfigProof;
pub use proof::ProofStamp;
pub use proof::Told;
pub use scheduler::Config;
pub use scheduler::Counts;
pub use scheduler::Scheduler;
pub use silence::AnswerTimes;
pub use silence::HELLO_PAUSE;
pub use silence::HELLO_TIMEOUT;
pub use silence::LATE_ANSWER;
pub use silence::MAX_PEERS_ASKED;
pub use silence::NotLeading;
pub use silence::PeerView;
pub use silence::SIGHTING_TIMEOUT;
pub use silence::SILENCE;
pub use silence::hello_pause;
pub use silence::is_lost;
pub use silence::member_silence;
pub use silence::spread_over;
pub use standing::RENEWAL_GRACE;
pub use standing::Sight;
pub use standing::is_clearly_stronger;
pub use standing::may_be_led;
pub use standing::standing_delay;
pub use worker::ReportDue;
