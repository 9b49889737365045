//! Claims and store: events from 2000.

use crate::events::define_events;

define_events! {}
