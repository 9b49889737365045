//! Numbered events: everything that a process logs.
//!
//! Each event has a number that never changes its meaning, a name, a level and
//! a line of help. docs/EVENTS.md lists them all, and a test holds the page
//! against this table. Numbers go by area: 1000 process, 2000 claims and store,
//! 3000 catalogue, 4000 requests, 5000 jobs, 6000 the fleet.
//!
//! Use [`crate::event!`] to log one, with fields as `name = value` pairs that
//! are written by `Display`.

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
    /// What it means and what to do.
    pub help: &'static str,
}

/// Defines the events of an area and the list of them.
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

/// Every event, by area.
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
