//! Jobs and tasks: events from 5000.

use crate::events::define_events;

define_events! {}
