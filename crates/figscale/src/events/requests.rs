//! Requests: events from 4000.

use crate::events::define_events;

define_events! {}
