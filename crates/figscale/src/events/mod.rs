//! Numbered events: all that a process logs.
//!
//! Each event has a number whose meaning never changes, a name, a level and one
//! line of help text. docs/EVENTS.md lists all events, and a test compares that
//! page with the definitions here. Each area has its range of numbers: process
//! from 1000, claims and store from 2000, catalogue from 3000, requests from 4000,
//! jobs from 5000, fleet from 6000.
//!
//! Use [`crate::event!`] to log an event, with fields as `name = value` pairs that
//! are formatted by `Display`.

pub mod catalogue;
pub mod claims;
pub mod fleet;
pub mod jobs;
pub mod process;
pub mod requests;

/// A kind of event.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Its number.
    pub code: u16,
    /// Its name.
    pub name: &'static str,
    /// Its level.
    pub level: log::Level,
    /// Help text: what the event means and what to do.
    pub help: &'static str,
}

/// Defines the events of an area and `ALL`, the list of them.
macro_rules! define_events {
    ($($code:literal $name:ident $level:ident $help:literal;)*) => {
        $(
            #[doc = $help]
            pub const $name: $crate::events::Event = $crate::events::Event {
                code: $code,
                name: stringify!($name),
                level: log::Level::$level,
                help: $help,
            };
        )*

        /// The events of this area.
        pub const ALL: &[$crate::events::Event] = &[$($name),*];
    };
}
pub(crate) use define_events;

/// All events, grouped by area.
pub fn all() -> Vec<Event> {
    [
        process::ALL,
        claims::ALL,
        catalogue::ALL,
        requests::ALL,
        jobs::ALL,
        fleet::ALL,
    ]
    .concat()
}

/// Logs an event with its fields.
#[macro_export]
macro_rules! event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::events::Event = $event;
        log::log!(
            target: "figscale",
            event.level,
            event = event.code $(, $key:% = $value)*;
            "{}",
            event.name
        );
    }};
}
