//! Catalogue: events from 3000.

use crate::events::define_events;

define_events! {}
